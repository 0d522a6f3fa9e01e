"""Counters and latency histograms of a host of a fleet, and where they are read."""

import opentelemetry.metrics

from kumquatproxy import errors, httpapi, metrics

DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
# Routes come from the operator, hundreds at times, and each one keeps its histograms
# for ever. Further ones count as one.
MAX_ROUTES = 200
OTHER_ROUTES = "other"

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


class Meter(metrics.Instruments):
    """Count what a host does; ``read_gauges`` returns its present values by name."""

    def __init__(self, read_gauges):
        super().__init__()
        self._read_gauges = read_gauges
        self._values: dict[str, float] = {}  # of the page that is being made
        self._routes: set[str] = set()
        self._duration = self._durations(
            "call.duration",
            "Time from arrival to the end of the answer, by outcome",
            DURATION_BUCKETS_S,
        )
        self._waited = self._durations(
            "call.wait",
            "Time that calls waited for a backend server",
            DURATION_BUCKETS_S,
        )
        self._attempts = self._counter(
            "attempts", "{attempt}", "Attempts at backend servers by outcome"
        )
        self._orders = self._counter(
            "orders", "{order}", "Orders to engines by action and outcome"
        )
        for name, (unit, description) in GAUGES.items():
            self._meter.create_observable_gauge(
                f"{metrics.PREFIX}.{name}", [self._observer(name)], unit, description
            )

    def _observer(self, name):
        def observe(options):
            if name in self._values:
                yield opentelemetry.metrics.Observation(self._values[name])

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
        """Return the text page for scraping."""
        self._values = self._read_gauges()
        return super().page()


class MeterApplication(httpapi.Application):
    """Serve the page of a meter."""

    def __init__(self, meter: Meter):
        self._meter = meter

    def answer(self, request, now):
        """Return the page; raise ProxyError for any other path."""
        if request.path != metrics.PATH:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, f"metrics are at {metrics.PATH}"
            )
        return httpapi.Reply(200, self._meter.page(), [metrics.CONTENT_TYPE])
