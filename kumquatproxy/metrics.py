"""OpenTelemetry instruments and the page that is scraped."""

import opentelemetry.exporter.prometheus
import opentelemetry.sdk.metrics
import prometheus_client

PREFIX = "kumquatproxy"
DURATION_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0, 10.0, 30.0)


class Metrics:
    """Own the instruments of one host; each has a unit and a description."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        provider = opentelemetry.sdk.metrics.MeterProvider(metric_readers=[reader])
        meter = provider.get_meter(PREFIX)
        self._provider = provider
        self.retries = meter.create_counter(
            f"{PREFIX}.retries",
            unit="{retry}",
            description="Attempts after the first, by service and reason",
        )
        self.request_duration = meter.create_histogram(
            f"{PREFIX}.request.duration",
            unit="s",
            description="Time from arrival to the end of the answer",
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
        )
        self.first_token = meter.create_histogram(
            f"{PREFIX}.first_token.duration",
            unit="s",
            description="Time from arrival to the first token, by service",
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
        )
        self.orders = meter.create_counter(
            f"{PREFIX}.orders",
            unit="{order}",
            description="Orders to engines by the engine's answer",
        )
        self.configuration_version = meter.create_gauge(
            f"{PREFIX}.configuration.version",
            unit="{version}",
            description="Version of the configuration in force at this host",
        )
        self.models_without_replica = meter.create_gauge(
            f"{PREFIX}.models.without_replica",
            unit="{model}",
            description="Listed models and adapters that no backend server has loaded",
        )

    def page(self) -> bytes:
        """Return the text page for scraping."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Release the instruments."""
        self._provider.shutdown()
