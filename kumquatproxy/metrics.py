"""OpenTelemetry instruments, exported in the Prometheus text format."""

import opentelemetry.exporter.prometheus
import opentelemetry.sdk.metrics
import prometheus_client

PREFIX = "kumquatproxy"
PATH = "/metrics"
CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
DURATION_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0, 10.0, 30.0)


class Instruments:
    """Create the instruments of one host and export them to Prometheus."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        self._provider = opentelemetry.sdk.metrics.MeterProvider(
            metric_readers=[reader]
        )
        self._meter = self._provider.get_meter(PREFIX)

    def _counter(self, name, unit, description):
        return self._meter.create_counter(f"{PREFIX}.{name}", unit, description)

    def _durations(self, name, description, buckets_s):
        return self._meter.create_histogram(
            f"{PREFIX}.{name}",
            "s",
            description,
            explicit_bucket_boundaries_advisory=buckets_s,
        )

    def _gauge(self, name, unit, description):
        return self._meter.create_gauge(f"{PREFIX}.{name}", unit, description)

    def page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


class Metrics(Instruments):
    """Define the instruments of a host that serves the models of a sheet."""

    def __init__(self):
        super().__init__()
        self.retries = self._counter(
            "retries", "{retry}", "Attempts after the first, by service and reason"
        )
        self.request_duration = self._durations(
            "request.duration",
            "Time from arrival to the end of the answer",
            DURATION_BUCKETS_S,
        )
        self.first_token = self._durations(
            "first_token.duration",
            "Time from arrival to the first token, by service",
            DURATION_BUCKETS_S,
        )
        self.orders = self._counter(
            "orders", "{order}", "Orders to engines by the engine's answer"
        )
        self.configuration_version = self._gauge(
            "configuration.version",
            "{version}",
            "Version of the configuration in force at this host",
        )
        self.models_without_replica = self._gauge(
            "models.without_replica",
            "{model}",
            "Listed models and adapters that no backend server has loaded",
        )
