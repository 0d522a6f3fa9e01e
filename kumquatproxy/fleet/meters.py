"""Counters and latency histograms of a host of a fleet, and where they are read."""

import gevent.pywsgi
import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import prometheus_client

PREFIX = "kumquatproxy"
PATH = "/metrics"
DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
# Routes come from the operator, hundreds at times, and each one keeps its histograms
# for ever. Further ones count as one.
MAX_ROUTES = 200
OTHER_ROUTES = "other"


class Meter:
    """Count what a host does; ``read_gauges`` returns its present values by name."""

    def __init__(self, read_gauges):
        self._read_gauges = read_gauges
        self._routes: set[str] = set()
        self._registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        self._provider = opentelemetry.sdk.metrics.MeterProvider(
            metric_readers=[reader]
        )
        meter = self._provider.get_meter(PREFIX)
        self._duration = meter.create_histogram(
            f"{PREFIX}.call.duration",
            unit="s",
            description="Time from arrival to the end of the answer, by outcome",
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
        )
        self._waited = meter.create_histogram(
            f"{PREFIX}.call.wait",
            unit="s",
            description="Time that calls waited for a backend server",
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
        )
        self._attempts = meter.create_counter(
            f"{PREFIX}.attempts",
            unit="{attempt}",
            description="Attempts at backend servers by outcome",
        )
        self._orders = meter.create_counter(
            f"{PREFIX}.orders",
            unit="{order}",
            description="Orders to engines by action and outcome",
        )
        for name, (unit, description) in GAUGES.items():
            meter.create_observable_gauge(
                f"{PREFIX}.{name}", [self._observer(name)], unit, description
            )

    def _observer(self, name):
        def observe(options):
            value = self._read_gauges().get(name)
            if value is not None:
                yield opentelemetry.metrics.Observation(value)

        return observe

    def _route(self, name):
        if name not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            self._routes.add(name)
        return name

    def call(self, route: str, mode: str, outcome: str, took_s, waited_s) -> None:
        """Count a call that has ended."""
        labels = {"route": self._route(route), "mode": mode, "outcome": outcome}
        self._duration.record(took_s, labels)
        self._waited.record(waited_s, {"route": labels["route"]})

    def attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a backend server."""
        self._attempts.add(1, {"service": service, "outcome": outcome})

    def order(self, action: str, outcome: str) -> None:
        """Count an order to an engine."""
        self._orders.add(1, {"action": action, "outcome": outcome})

    def page(self) -> bytes:
        """Return all values as the text that is scraped."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Release the instruments."""
        self._provider.shutdown()


# Present values: unit and description by name. A host has those of its role.
GAUGES = {
    "calls.in_flight": ("{call}", "Calls of callers that are being served"),
    "calls.waiting": ("{call}", "Calls that wait for a backend server"),
    "servers.known": ("{server}", "Backend servers that this host knows"),
    "configuration.version": ("{version}", "Configuration in force; 0 without one"),
    "configuration.held": ("{version}", "Newest configuration in the log"),
    "control.term": ("{term}", "Term of the control group"),
    "control.leads": ("{host}", "1 at the leader of the control group"),
    "orders.fence": ("{fence}", "Fence of the ownership of orders; 0 without it"),
    "log.dropped": ("{line}", "Log lines held back or not taken by the reader"),
}


class MeterServer:
    """Serve the page of a meter at an address."""

    def __init__(self, address: str, meter: Meter):
        self._meter = meter
        self._server = gevent.pywsgi.WSGIServer(
            address, self._answer, log=None, error_log=None
        )

    def start(self) -> None:
        """Listen; raise OSError if the address is taken."""
        self._server.start()

    def stop(self) -> None:
        """End at once."""
        self._server.stop(0.1)
        self._meter.close()

    @property
    def port(self) -> int:
        """Return the port listened at."""
        return self._server.server_port

    def _answer(self, environ, start_response):
        if environ["PATH_INFO"] != PATH:
            start_response("404 Not Found", [("Content-Type", "text/plain")])
            return [b"not found\n"]
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
        return [self._meter.page()]
