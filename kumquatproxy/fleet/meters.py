"""Counters, gauges and latency histograms of a host, and their metrics endpoint."""

import opentelemetry.metrics

from kumquatproxy import errors, httpapi, metrics
from kumquatproxy.membership import transport

DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
# The operator may configure hundreds of routes over time, and the histograms of each
# are kept until the host stops. Routes beyond this number share one label.
MAX_ROUTES = 200
OTHER_ROUTES = "other"

# Unit and description of each gauge by name. A host reports those of its role. The
# version held is that applied by the state machine of a control host. Dropped log lines
# are those above the rate limit and those that stdout did not accept in time.
GAUGES = {
    "calls.in_flight": ("{call}", "Calls of callers that are being served"),
    "connections.open": ("{connection}", "Open connections of callers and hosts"),
    "calls.waiting": ("{call}", "Calls that wait for a backend server"),
    "responses.late": ("{response}", "Responses to earlier calls that were discarded"),
    "memory.held": ("By", "Bytes of messages in transit that this host holds"),
    "memory.rejections": ("{message}", "Messages for which there was no memory"),
    "servers.known": ("{server}", "Backend servers that this host knows"),
    "streams.known": ("{stream}", "Streams whose software version is kept"),
    "facts.known": ("{fact}", "Short-lived facts shared by hosts, such as crashes"),
    "models.wanted": ("{model}", "Models without a server that hosts lately wanted"),
    "servers.limited": ("{server}", "Servers that have named a limit of requests"),
    "servers.leaving": ("{server}", "Servers that leave and get no new calls"),
    "servers.silent": ("{server}", "Known servers without a recent heartbeat"),
    "servers.paused": ("{server}", "Servers that have asked this host for a pause"),
    "prompts.rejected": ("{set}", "Sets of prompt parts that crash servers"),
    "services.cut_off": ("{service}", "Services without a server this host reaches"),
    "repetitions.rejected": ("{call}", "Repeated calls that crash servers"),
    "configuration.version": ("{version}", "Configuration in force; 0 without one"),
    "configuration.held": ("{version}", "Newest one in the log; 0 without one"),
    "configuration.known": ("{host}", "1 if the host has a configuration"),
    "control.term": ("{term}", "Term of the control group"),
    "control.leads": ("{host}", "1 at the leader of the control group"),
    "control.serves": ("{host}", "1 at a leader with a lease that has its commits"),
    "control.hosts.heard": ("{host}", "Other control hosts with a recent message"),
    "control.voters": ("{voter}", "Voters of the control group"),
    "control.voters.silent": ("{voter}", "Voters that do not answer the leader"),
    "orders.fence": ("{fence}", "Fence of the ownership of orders; 0 without it"),
    "exchange.direct": ("{host}", "1 if the leader itself pushes loads to this host"),
    "hosts.handed_on": ("{host}", "Entry hosts that this host hands loads on to"),
    "keys.refused": ("{call}", "Calls refused as no team holds their key"),
    "keys.undecided": ("{call}", "Calls with an unknown key while out of touch"),
    "load.held": ("{call}", "Calls held until engines are less busy"),
    "load.waiting": ("{call}", "Calls that wait for a server with their model"),
    "load.returned": ("{call}", "Calls since the start that callers sent once more"),
    "log.dropped": ("{line}", "Log lines held back or not taken by the reader"),
}

# Unit and description of each gauge by team. Hosts report a bounded number of teams.
TEAM_GAUGES = {
    "team.cap": ("{unit}", "Rate of the usage cap a second, in calls or tokens"),
    "team.used": ("{unit}", "Counted since the start for calls of this host"),
    "team.held": ("{unit}", "What calls of this host may use without asking"),
    "team.lease": ("{unit}", "Part of the rate that this host has"),
    "team.refused": ("{call}", "Calls refused as the cap had no room"),
    "team.undecided": ("{call}", "Calls refused as no control host has decided"),
    "team.given": ("{unit}", "Given by this host to calls, since it began to give"),
    "team.leased": ("{unit}", "Part of the rate that this host has leased"),
    "team.delegated": ("{unit}", "Part of the rate that this host has as the delegate"),
    "team.delegate_given": ("{unit}", "Given by this host as the delegate"),
    "team.reserved": ("{unit}", "Part that an earlier giver may have leased"),
}


class Meter(metrics.Instruments):
    """Record metrics of a host.

    ``read_gauges`` returns its gauge values by name, ``read_team_gauges`` those by name
    and team.
    """

    def __init__(
        self,
        read_gauges,
        read_team_gauges=dict,
        traffic: transport.Traffic | None = None,
    ):
        super().__init__()
        if traffic is not None:
            self._observe_traffic(traffic)
        self._read_gauges = read_gauges
        self._read_team_gauges = read_team_gauges
        self._gauge_values: dict[str, float] = {}  # read for the current page
        self._team_gauge_values: dict[tuple[str, str], float] = {}
        self._known_routes: set[str] = set()
        self._call_duration = self._durations(
            "call.duration",
            "Time from arrival to the end of the answer, by outcome",
            DURATION_BUCKETS_S,
        )
        self._call_wait = self._durations(
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
        self._load_decisions = self._counter(
            "load.decisions",
            "{call}",
            "Calls held, released or rejected under hard load, by reason and rank",
        )
        for name, (unit, description) in GAUGES.items():
            self._meter.create_observable_gauge(
                f"{metrics.PREFIX}.{name}", [self._observer(name)], unit, description
            )
        for name, (unit, description) in TEAM_GAUGES.items():
            self._meter.create_observable_gauge(
                f"{metrics.PREFIX}.{name}",
                [self._team_observer(name)],
                unit,
                description,
            )

    def _observe_traffic(self, traffic):
        tables = (
            ("messages.sent", "{message}", traffic.messages_by_kind),
            ("messages.bytes", "By", traffic.bytes_by_kind),
        )
        for name, unit, table in tables:
            self._meter.create_observable_counter(
                f"{metrics.PREFIX}.{name}",
                [_traffic_observer(table)],
                unit,
                "Sent to other hosts, by kind and data centre",
            )

    def _observer(self, name):
        def observe(options):
            if name in self._gauge_values:
                yield opentelemetry.metrics.Observation(self._gauge_values[name])

        return observe

    def _team_observer(self, name):
        def observe(options):
            for (known_name, team), value in self._team_gauge_values.items():
                if known_name == name:
                    yield opentelemetry.metrics.Observation(value, {"team": team})

        return observe

    def _route_label(self, name):
        if name not in self._known_routes:
            if len(self._known_routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            self._known_routes.add(name)
        return name

    def call(self, route: str, mode: str, outcome: str, duration_s, waited_s) -> None:
        """Count a completed call."""
        labels = {"route": self._route_label(route), "mode": mode, "outcome": outcome}
        self._call_duration.record(duration_s, labels)
        self._call_wait.record(waited_s, {"route": labels["route"]})

    def attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a backend server."""
        self._attempts.add(1, {"service": service, "outcome": outcome})

    def order(self, action: str, outcome: str) -> None:
        """Count an order to an engine."""
        self._orders.add(1, {"action": action, "outcome": outcome})

    def load_decision(self, action: str, reason: str, rank: int) -> None:
        """Count a call that is held, released or rejected because of load."""
        labels = {"action": action, "reason": reason, "rank": rank}
        self._load_decisions.add(1, labels)

    def page(self) -> bytes:
        """Return the page that is scraped, with current gauge values."""
        self._gauge_values = self._read_gauges()
        self._team_gauge_values = self._read_team_gauges()
        return super().page()


def _traffic_observer(table):
    def observe(options):
        for (tag, is_near), value in table.items():
            place = "own" if is_near else "other"
            labels = {"kind": tag, "data_centre": place}
            yield opentelemetry.metrics.Observation(value, labels)

    return observe


class MeterApplication(httpapi.Application):
    """Serve the metrics page."""

    def __init__(self, meter: Meter):
        self._meter = meter

    def answer(self, request, now):
        """Return the metrics page; raise ProxyError for other paths."""
        if request.path != metrics.PATH:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, f"metrics are served at {metrics.PATH}"
            )
        return httpapi.Reply(200, self._meter.page(), [metrics.CONTENT_TYPE])
