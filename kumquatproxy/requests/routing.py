"""Which backend server gets a request: the routing table and its policies."""

import collections
import math

from kumquatproxy import errors, records
from kumquatproxy.requests import estimates, policies, prefixes

POLICIES = policies.POLICIES

DEFAULT_REPORT_LAG_S = 0.5  # age of a report when it arrives, on average
SLOW_START_S = 10.0  # a new server's caches are cold and its speed is unknown
SLOW_START_MIN_SHARE = 0.1
RECENT_FINISHED = 64  # per server; more cannot end within one report lag
OTHERS_SMOOTHING = 0.02  # weight of one report in the mean of others' requests
FULL_SCAN = 8  # pools up to this size are filtered whole, larger ones sampled


class Decision(records.Record):
    """Name the chosen backend server, the reason, and the predicted times."""

    __slots__ = ("backend_id", "estimate", "reason")

    def __init__(self, backend_id, reason, estimate):
        self.backend_id: str = backend_id
        self.reason: str = reason
        self.estimate: estimates.Estimate = estimate


class Refusal(records.Record):
    """Tell why no backend server can take a request; it was not executed."""

    __slots__ = ("detail", "kind", "retry_after_s")

    executed = "no"

    def __init__(self, kind, detail, retry_after_s=None):
        self.kind: errors.ErrorKind = kind
        self.detail: str = detail
        self.retry_after_s: float = (
            retry_after_s or errors.ANSWERS[kind].retry_after_s or 1
        )

    def error(self) -> errors.ProxyError:
        """Return the error that the caller gets."""
        return errors.ProxyError(
            self.kind, self.detail, "no", max(1, round(self.retry_after_s))
        )


class _Flight:
    """Hold one request of this host that is at a backend server."""

    __slots__ = ("cached_share", "gap_s", "load", "priority", "started_at")

    def __init__(self, started_at, load, gap_s, cached_share, priority):
        self.priority: int = priority
        self.started_at: float = started_at
        self.load: float = load
        self.gap_s: float = gap_s
        self.cached_share: float = cached_share


class ServerState:
    """Hold what a host knows of one backend server."""

    __slots__ = (
        "announced_at",
        "factor",
        "finished",
        "in_flight_by_id",
        "items",
        "leaving",
        "loaded",
        "others",
        "others_mean",
        "prefix_knowledge",
        "report_order",
        "reported_at",
        "reports",
        "server",
    )

    def __init__(self, server, now):
        self.server: records.BackendServer = server
        self.announced_at: float = now
        self.leaving: bool = server.leaving
        self.loaded: tuple[records.Item, ...] = ()  # as reported
        self.items: frozenset[records.Item] = frozenset()
        self.report_order: tuple[int, int] = (server.incarnation, -1)
        self.reported_at: float | None = None
        self.reports: int = 0
        self.others: float = 0.0  # requests of other hosts at the last report
        self.others_mean: float = 0.0
        self.in_flight_by_id: dict[str, _Flight] = {}
        self.finished: collections.deque = collections.deque(maxlen=RECENT_FINISHED)
        self.prefix_knowledge = prefixes.PrefixKnowledge()
        self.factor: float = 1.0

    @property
    def backend_id(self) -> str:
        """Return the id of the backend server."""
        return self.server.backend_id

    def own_at(self, moment: float) -> int:
        """Return how many requests of this host were in flight at ``moment``."""
        flights = self.in_flight_by_id.values()
        count = sum(flight.started_at <= moment for flight in flights)
        return count + sum(
            started <= moment < ended for started, ended in self.finished
        )

    def slow_start_share(self, now: float) -> float:
        """Return the share of its even load that the server gets, 0 to 1."""
        age_s = now - self.announced_at
        if age_s >= SLOW_START_S:
            return 1.0
        return max(age_s / SLOW_START_S, SLOW_START_MIN_SHARE)


class Pool:
    """Hold the servers with one item, apart for the own data centre and others."""

    __slots__ = ("local", "remote", "turn")

    def __init__(self):
        self.local: list[ServerState] = []
        self.remote: list[ServerState] = []
        self.turn: int = 0  # of the round-robin policy


class Candidates:
    """Draw servers that may take one request, at a cost that the pool does not set."""

    __slots__ = ("_excluded", "_items", "pool", "requested_at")

    def __init__(self, pool, items, excluded_ids, now):
        self.pool: Pool = pool
        self._items = items if len(items) > 1 else ()
        self._excluded = excluded_ids
        self.requested_at: float = now

    def allows(self, state: ServerState) -> bool:
        """Return whether the server has every item and is not excluded."""
        if state.server.backend_id in self._excluded:
            return False
        return all(item in state.items for item in self._items)

    def everyone(self, states: list[ServerState]) -> list[ServerState]:
        """Return all allowed servers of a list."""
        return [state for state in states if self.allows(state)]

    def sample(self, states, count, rng) -> list[ServerState]:
        """Return up to ``count`` different allowed servers, drawn evenly."""
        if len(states) <= max(FULL_SCAN, count):
            allowed = self.everyone(states)
            return allowed if len(allowed) <= count else rng.sample(allowed, count)
        drawn: dict[int, ServerState] = {}
        for _ in range(4 * count):
            index = int(rng.random() * len(states))
            if index not in drawn and self.allows(states[index]):
                drawn[index] = states[index]
                if len(drawn) == count:
                    return list(drawn.values())
        if drawn:
            return list(drawn.values())
        allowed = self.everyone(states)
        return allowed if len(allowed) <= count else rng.sample(allowed, count)


class RoutingTable:
    """Keep the backend servers that one entry host knows and choose among them."""

    __slots__ = (
        "_pools_by_item",
        "_speeds_by_service",
        "_states_by_id",
        "data_centre",
        "policy",
        "report_lag_s",
    )

    def __init__(
        self, data_centre, policy="estimate", report_lag_s=DEFAULT_REPORT_LAG_S
    ):
        self.data_centre: str = data_centre
        self.policy = POLICIES.get(policy)()
        self.report_lag_s: float = report_lag_s
        self._states_by_id: dict[str, ServerState] = {}
        self._pools_by_item: dict[records.Item, Pool] = {}
        self._speeds_by_service: dict[str, estimates.ServiceSpeed] = {}

    def set_service(self, service) -> None:
        """Take the expected times of a service from its sheet entry."""
        if service.name not in self._speeds_by_service:
            self._speeds_by_service[service.name] = estimates.ServiceSpeed(
                service.first_token, service.token_gap
            )

    def speed(self, service: str) -> estimates.ServiceSpeed:
        """Return the learned speed of a service."""
        if service not in self._speeds_by_service:
            self._speeds_by_service[service] = estimates.ServiceSpeed()
        return self._speeds_by_service[service]

    def state(self, backend_id: str) -> ServerState | None:
        """Return what is known of a backend server, or None."""
        return self._states_by_id.get(backend_id)

    def server(self, backend_id: str) -> records.BackendServer:
        """Return a known backend server; raise KeyError for another."""
        return self._states_by_id[backend_id].server

    def update_server(self, server: records.BackendServer, now: float) -> None:
        """Take in an announcement; a new incarnation starts from nothing."""
        state = self._states_by_id.get(server.backend_id)
        if state is not None and server.incarnation < state.server.incarnation:
            return
        if state is None or server.incarnation > state.server.incarnation:
            if state is not None:
                self._forget(state)
            state = ServerState(server, now)
            self._states_by_id[server.backend_id] = state
            if server.kind == "plain":
                state.items = frozenset([service_item(server.service)])
            self._index(state)
            return
        self._unindex(state)
        # An announcement sent before the one that said ``leaving`` may arrive after
        # it, so a server that is leaving stays so until a new incarnation.
        state.leaving = state.leaving or server.leaving
        state.server = server
        self._index(state)

    def remove_server(self, backend_id: str) -> None:
        """Forget a backend server."""
        state = self._states_by_id.pop(backend_id, None)
        if state is not None:
            self._forget(state)

    def apply_report(self, load_report: records.LoadReport, now: float) -> bool:
        """Take in a load report; return False if it is late or of an unknown server."""
        state = self._states_by_id.get(load_report.backend_id)
        order = (load_report.incarnation, load_report.sequence)
        if state is None or order <= state.report_order:
            return False
        if load_report.incarnation != state.server.incarnation:
            return False
        state.report_order = order
        own = state.own_at(now - self.report_lag_s)
        state.others = max(0.0, load_report.running + load_report.waiting - own)
        state.reports += 1
        weight = max(1.0 / state.reports, OTHERS_SMOOTHING)
        state.others_mean += weight * (state.others - state.others_mean)
        state.reported_at = now
        speed = self.speed(state.server.service)
        speed.observe_report(load_report.running, load_report.waiting)
        # Comparing tuples is cheap where the edge reuses equal items, and most reports
        # repeat the items of the one before.
        if state.server.kind != "plain" and load_report.loaded != state.loaded:
            self._unindex(state)
            state.loaded = load_report.loaded
            state.items = frozenset(load_report.loaded)
            self._index(state)
        return True

    def apply_cache_event(self, backend_id, sequence, stored=(), evicted=()) -> None:
        """Take in one event of a backend server's prefix cache."""
        state = self._states_by_id.get(backend_id)
        if state is not None:
            state.prefix_knowledge.event(sequence, stored, evicted)

    def record_start(self, backend_id: str, request, now: float) -> None:
        """Note that this host has sent a request to a backend server."""
        state = self._states_by_id.get(backend_id)
        if state is None:
            return
        load = self.load(state, now)
        speed = self.speed(state.server.service)
        speed.observe_arrival(request.priority)
        share = state.prefix_knowledge.cached_share(request.prefix_digests)
        gap_s = speed.gap_s(load + 1.0)
        flight = _Flight(now, load, gap_s, share, request.priority)
        state.in_flight_by_id[request.request_id] = flight
        state.prefix_knowledge.add(request.prefix_digests)

    def record_finish(self, backend_id: str, request, outcome, now: float) -> None:
        """Note the end of a request at a backend server and learn from it."""
        state = self._states_by_id.get(backend_id)
        if state is None:
            return
        flight = state.in_flight_by_id.pop(request.request_id, None)
        if flight is None:
            return
        state.finished.append((flight.started_at, now))
        speed = self.speed(state.server.service)
        speed.in_flight.add(request.priority, -1.0)
        if outcome.result != "complete":
            return
        speed.observe_outcome(flight.load, request, outcome)
        if outcome.tokens > 1:
            streaming_s = outcome.duration_s - outcome.first_token_s
            gap_s = streaming_s / (outcome.tokens - 1)
            state.factor = estimates.next_factor(state.factor, flight.gap_s, gap_s)
        if outcome.cached_tokens is not None and request.prompt_tokens > 0:
            seen = outcome.cached_tokens / request.prompt_tokens
            state.prefix_knowledge.observe(flight.cached_share, seen)

    def load(self, state: ServerState, now: float) -> float:
        """Return the requests expected now at a server, own ones and others'.

        What a report says of others' requests is forgotten at the rate at which
        requests end, in favour of the server's mean. All hosts see the same report,
        and would otherwise send to the server that was idle some time ago.
        """
        others = state.others
        if state.reported_at is not None:
            age_s = max(0.0, now - state.reported_at) + self.report_lag_s
            trust = math.exp(-age_s / self.speed(state.server.service).request_s)
            others = state.others_mean + trust * (others - state.others_mean)
        return others + len(state.in_flight_by_id)

    def estimate(self, state: ServerState, request, now) -> estimates.Estimate:
        """Predict a request at a backend server."""
        share = state.prefix_knowledge.cached_share(request.prefix_digests)
        speed = self.speed(state.server.service)
        cached_tokens = share * request.prompt_tokens
        load = self.load(state, now)
        factor = estimates.applied_factor(state.factor)
        return speed.predict(request, load, cached_tokens, factor)

    def choose(self, request, items, excluded_ids, now, rng) -> Decision | Refusal:
        """Choose a backend server that has all ``items``, or refuse."""
        pool = self._smallest_pool(items)
        if pool is None:
            return self._refuse(items, "is loaded on no backend server")
        candidates = Candidates(pool, items, excluded_ids, now)
        picked = self.policy.pick(self, request, candidates, now, rng)
        if picked is None:
            return self._refuse(items, "is loaded only on servers that are excluded")
        state, reason = picked
        return Decision(state.backend_id, reason, self.estimate(state, request, now))

    def can_serve(self, items) -> bool:
        """Return whether some backend server that is not leaving has all items."""
        pool = self._smallest_pool(items)
        if pool is None:
            return False
        candidates = Candidates(pool, items, (), 0.0)
        return any(candidates.allows(state) for state in pool.local + pool.remote)

    def _smallest_pool(self, items):
        smallest = None
        for item in items:
            pool = self._pools_by_item.get(item)
            if pool is None:
                return None
            size = len(pool.local) + len(pool.remote)
            if smallest is None or size < len(smallest.local) + len(smallest.remote):
                smallest = pool
        return smallest

    def _refuse(self, items, why):
        names = "+".join(item.key() for item in items)
        return Refusal(errors.ErrorKind.NO_BACKEND_SERVER, f"{names} {why}")

    def _index(self, state):
        if state.leaving:
            return
        local = state.server.data_centre == self.data_centre
        for item in state.items:
            pool = self._pools_by_item.get(item)
            if pool is None:
                pool = self._pools_by_item[item] = Pool()
            (pool.local if local else pool.remote).append(state)

    def _forget(self, state):
        self._unindex(state)
        speed = self.speed(state.server.service)
        for flight in state.in_flight_by_id.values():
            speed.in_flight.add(flight.priority, -1.0)

    def _unindex(self, state):
        for item in state.items:
            pool = self._pools_by_item.get(item)
            if pool is None:
                continue
            for states in (pool.local, pool.remote):
                if state in states:
                    states.remove(state)
            if not pool.local and not pool.remote:
                del self._pools_by_item[item]


def service_item(service: str) -> records.Item:
    """Return the item under which the servers of a plain service are found."""
    return records.Item("service", service, "")
