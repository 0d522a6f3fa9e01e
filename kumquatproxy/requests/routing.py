"""Routing table: choose the backend server for a request."""

import collections

from kumquatproxy import errors, records, stalereports
from kumquatproxy.requests import estimates, policies, prefixes

POLICIES = policies.POLICIES

DEFAULT_REPORT_LAG_S = 0.5  # mean age of a load report on arrival
SLOW_START_S = 10.0  # a new server has cold caches and an unknown speed
SLOW_START_MIN_SHARE = 0.1
# Per server. If more requests end within one report lag, those of other hosts are
# overestimated.
MAX_FINISHED_INTERVALS = 64
OTHERS_MEAN_MIN_WEIGHT = 0.02  # least weight of a report in ``others_mean``
MAX_FULL_SCAN = 8  # larger pools are sampled instead of filtered


class Decision(records.Record):
    """Chosen backend server, the reason for it, and the predicted times."""

    __slots__ = ("backend_id", "estimate", "reason")

    def __init__(self, backend_id, reason, estimate):
        self.backend_id: str = backend_id
        self.reason: str = reason
        self.estimate: estimates.Estimate = estimate


class Refusal(records.Record):
    """Reason for which a request is not sent now.

    ``executed`` is about the refused attempt only; earlier ones may have run.
    """

    __slots__ = ("detail", "kind", "retry_after_s")

    executed = "no"

    def __init__(self, kind, detail, retry_after_s=None):
        self.kind: errors.ErrorKind = kind
        self.detail: str = detail
        self.retry_after_s: float = (
            retry_after_s or errors.ANSWERS[kind].retry_after_s or 1
        )

    def error(self) -> errors.ProxyError:
        """Return the error to send to the caller."""
        return errors.ProxyError(
            self.kind, self.detail, "no", max(1, round(self.retry_after_s))
        )


class _RequestInFlight:
    """A request of this host in flight at a backend server."""

    __slots__ = ("cached_share", "gap_s", "load", "priority", "started_at")

    def __init__(self, started_at, load, gap_s, cached_share, priority):
        self.priority: int = priority
        self.started_at: float = started_at
        self.load: float = load
        self.gap_s: float = gap_s
        self.cached_share: float = cached_share


class ServerState:
    """State of one backend server as known to this host."""

    __slots__ = (
        "announced_at",
        "finished_intervals",
        "in_flight_by_id",
        "items",
        "leaving",
        "loaded",
        "others_in_flight",
        "others_mean",
        "prefix_cache",
        "report_count",
        "report_order",
        "reported_at",
        "server",
        "time_factor",
    )

    def __init__(self, server, now):
        self.server: records.BackendServer = server
        self.announced_at: float = now
        self.leaving: bool = server.leaving
        self.loaded: tuple[records.Item, ...] = ()  # as last reported
        self.items: frozenset[records.Item] = frozenset()
        self.report_order: tuple[int, int] = (server.incarnation, -1)
        self.reported_at: float | None = None
        self.report_count: int = 0
        self.others_in_flight: float = 0.0  # as of the last report
        self.others_mean: float = 0.0
        self.in_flight_by_id: dict[str, _RequestInFlight] = {}
        self.finished_intervals: collections.deque = collections.deque(
            maxlen=MAX_FINISHED_INTERVALS
        )
        self.prefix_cache = prefixes.PrefixCacheView()
        self.time_factor: float = 1.0  # observed over expected time between tokens

    @property
    def backend_id(self) -> str:
        """Return the id of the backend server."""
        return self.server.backend_id

    def own_in_flight_at(self, at: float) -> int:
        """Return the number of requests of this host in flight at the time ``at``."""
        requests = self.in_flight_by_id.values()
        count = sum(sent_request.started_at <= at for sent_request in requests)
        return count + sum(
            started_at <= at < ended_at
            for started_at, ended_at in self.finished_intervals
        )

    def slow_start_share(self, now: float) -> float:
        """Return the share of its regular load that a new server gets, 0 to 1."""
        age_s = now - self.announced_at
        if age_s >= SLOW_START_S:
            return 1.0
        return max(age_s / SLOW_START_S, SLOW_START_MIN_SHARE)


class ItemPool:
    """Servers that have one item loaded, in the local and in other data centres."""

    __slots__ = ("local", "remote", "round_robin_count")

    def __init__(self):
        self.local: list[ServerState] = []
        self.remote: list[ServerState] = []
        self.round_robin_count: int = 0  # selections by the round-robin policy


class Candidates:
    """Servers that may take one request.

    ``sample`` scans a large pool only if it finds no allowed server by chance.
    """

    __slots__ = ("_excluded_ids", "_items", "pool", "requested_at")

    def __init__(self, pool, items, excluded_ids, now):
        self.pool: ItemPool = pool
        self._items = items if len(items) > 1 else ()
        self._excluded_ids = excluded_ids
        self.requested_at: float = now

    def allows(self, state: ServerState) -> bool:
        """Return whether the server has every item and is not excluded."""
        if state.server.backend_id in self._excluded_ids:
            return False
        return all(item in state.items for item in self._items)

    def all_allowed(self, states: list[ServerState]) -> list[ServerState]:
        """Return all servers of a list that may take the request."""
        return [state for state in states if self.allows(state)]

    def sample(self, states, count, rng) -> list[ServerState]:
        """Return up to ``count`` distinct allowed servers, chosen uniformly."""
        if len(states) <= max(MAX_FULL_SCAN, count):
            allowed = self.all_allowed(states)
            return allowed if len(allowed) <= count else rng.sample(allowed, count)
        sampled: dict[int, ServerState] = {}
        for _ in range(4 * count):
            index = int(rng.random() * len(states))
            if index not in sampled and self.allows(states[index]):
                sampled[index] = states[index]
                if len(sampled) == count:
                    return list(sampled.values())
        if sampled:
            return list(sampled.values())
        allowed = self.all_allowed(states)
        return allowed if len(allowed) <= count else rng.sample(allowed, count)


class RoutingTable:
    """Backend servers known to one entry host, and the choice among them."""

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
        self._pools_by_item: dict[records.Item, ItemPool] = {}
        self._speeds_by_service: dict[str, estimates.ServiceSpeed] = {}

    def set_service(self, service) -> None:
        """Initialise the speed of a service from the expected times on the sheet."""
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
        """Return the state of a backend server, or None if it is unknown."""
        return self._states_by_id.get(backend_id)

    def server(self, backend_id: str) -> records.BackendServer:
        """Return a backend server; raise KeyError if it is unknown."""
        return self._states_by_id[backend_id].server

    def update_server(self, server: records.BackendServer, now: float) -> None:
        """Apply an announcement; a new incarnation replaces all known state."""
        state = self._states_by_id.get(server.backend_id)
        if state is not None and server.incarnation < state.server.incarnation:
            return
        if state is None or server.incarnation > state.server.incarnation:
            if state is not None:
                self._discard(state)
            state = ServerState(server, now)
            self._states_by_id[server.backend_id] = state
            if server.kind == "plain":
                state.items = frozenset([service_item(server.service)])
            self._index(state)
            return
        self._unindex(state)
        # Announcements may arrive out of order, so ``leaving`` stays set until the
        # server announces a new incarnation.
        state.leaving = state.leaving or server.leaving
        state.server = server
        self._index(state)

    def remove_server(self, backend_id: str) -> None:
        """Remove a backend server."""
        state = self._states_by_id.pop(backend_id, None)
        if state is not None:
            self._discard(state)

    def apply_report(self, load_report: records.LoadReport, now: float) -> bool:
        """Apply a load report; return whether it was applied.

        It is ignored if it is not newer than the last one, or if its server or
        incarnation was not announced.
        """
        state = self._states_by_id.get(load_report.backend_id)
        order = (load_report.incarnation, load_report.sequence)
        if state is None or order <= state.report_order:
            return False
        if load_report.incarnation != state.server.incarnation:
            return False
        state.report_order = order
        own_count = state.own_in_flight_at(now - self.report_lag_s)
        state.others_in_flight = max(
            0.0, load_report.running + load_report.waiting - own_count
        )
        state.report_count += 1
        weight = max(1.0 / state.report_count, OTHERS_MEAN_MIN_WEIGHT)
        state.others_mean += weight * (state.others_in_flight - state.others_mean)
        state.reported_at = now
        speed = self.speed(state.server.service)
        speed.observe_report(load_report.running, load_report.waiting)
        # Most reports repeat the items of the previous one, and the tuples compare
        # quickly because the receiving code reuses equal items.
        if state.server.kind != "plain" and load_report.loaded != state.loaded:
            self._unindex(state)
            state.loaded = load_report.loaded
            state.items = frozenset(load_report.loaded)
            self._index(state)
        return True

    def apply_cache_event(self, backend_id, sequence, stored=(), evicted=()) -> None:
        """Apply an event of a backend server's prefix cache."""
        state = self._states_by_id.get(backend_id)
        if state is not None:
            state.prefix_cache.apply_event(sequence, stored, evicted)

    def record_start(self, backend_id: str, request, now: float) -> None:
        """Count a request that this host has sent as in flight at a backend server."""
        state = self._states_by_id.get(backend_id)
        if state is None:
            return
        load = self.load(state, now)
        speed = self.speed(state.server.service)
        speed.observe_arrival(request.priority)
        share = state.prefix_cache.cached_share(request.prefix_digests)
        gap_s = speed.gap_s(load + 1.0)
        sent_request = _RequestInFlight(now, load, gap_s, share, request.priority)
        state.in_flight_by_id[request.request_id] = sent_request
        state.prefix_cache.add(request.prefix_digests)

    def record_finish(self, backend_id: str, request, outcome, now: float) -> None:
        """Remove a request from those in flight and learn from its outcome."""
        state = self._states_by_id.get(backend_id)
        if state is None:
            return
        sent_request = state.in_flight_by_id.pop(request.request_id, None)
        if sent_request is None:
            return
        state.finished_intervals.append((sent_request.started_at, now))
        speed = self.speed(state.server.service)
        speed.in_flight.add(request.priority, -1.0)
        if outcome.result != "complete":
            return
        speed.observe_outcome(sent_request.load, request, outcome)
        if outcome.tokens > 1:
            streaming_s = outcome.duration_s - outcome.first_token_s
            gap_s = streaming_s / (outcome.tokens - 1)
            state.time_factor = estimates.updated_time_factor(
                state.time_factor, sent_request.gap_s, gap_s
            )
        if outcome.cached_tokens is not None and request.prompt_tokens > 0:
            observed_share = outcome.cached_tokens / request.prompt_tokens
            state.prefix_cache.observe(sent_request.cached_share, observed_share)

    def load(self, state: ServerState, now: float) -> float:
        """Return the estimated number of requests at a server, from all hosts.

        The number of other hosts' requests from the report is replaced gradually by the
        mean of all reports, at the rate at which requests end. All hosts see the same
        report, and would otherwise all send to a server that was idle when it reported.
        """
        others_in_flight = state.others_in_flight
        if state.reported_at is not None:
            age_s = max(0.0, now - state.reported_at) + self.report_lag_s
            weight = stalereports.report_weight(
                age_s, self.speed(state.server.service).request_s
            )
            others_in_flight = stalereports.blend(
                state.others_mean, others_in_flight, weight
            )
        return others_in_flight + len(state.in_flight_by_id)

    def estimate(self, state: ServerState, request, now) -> estimates.Estimate:
        """Return the predicted times of a request at a backend server."""
        share = state.prefix_cache.cached_share(request.prefix_digests)
        speed = self.speed(state.server.service)
        cached_tokens = share * request.prompt_tokens
        load = self.load(state, now)
        factor = estimates.effective_time_factor(state.time_factor)
        return speed.predict(request, load, cached_tokens, factor)

    def choose(self, request, items, excluded_ids, now, rng) -> Decision | Refusal:
        """Choose a backend server that has all ``items`` loaded, or refuse."""
        pool = self._smallest_pool(items)
        if pool is None:
            return self._refuse(items, "is loaded on no backend server")
        candidates = Candidates(pool, items, excluded_ids, now)
        choice = self.policy.pick(self, request, candidates, now, rng)
        if choice is None:
            return self._refuse(
                items,
                "is not completely loaded on any backend server that may be used now",
            )
        state, reason = choice
        return Decision(state.backend_id, reason, self.estimate(state, request, now))

    def can_serve(self, items) -> bool:
        """Return whether a backend server that is not leaving has all items loaded."""
        pool = self._smallest_pool(items)
        if pool is None:
            return False
        candidates = Candidates(pool, items, (), 0.0)
        return any(candidates.allows(state) for state in pool.local + pool.remote)

    def addresses(self) -> list[tuple[str, str]]:
        """Return the ids and addresses of all backend servers."""
        states = self._states_by_id.items()
        return [(backend_id, state.server.address) for backend_id, state in states]

    def holders(self, items, backend_ids) -> list[str]:
        """Return those of some backend servers that have all items loaded."""
        return [
            backend_id
            for backend_id in backend_ids
            if not self._states_by_id[backend_id].leaving
            and self._states_by_id[backend_id].items.issuperset(items)
        ]

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

    def _refuse(self, items, problem):
        item_keys = "+".join(item.key() for item in items)
        return Refusal(errors.ErrorKind.NO_BACKEND_SERVER, f"{item_keys} {problem}")

    def _index(self, state):
        if state.leaving:
            return
        is_local = state.server.data_centre == self.data_centre
        for item in state.items:
            pool = self._pools_by_item.get(item)
            if pool is None:
                pool = self._pools_by_item[item] = ItemPool()
            (pool.local if is_local else pool.remote).append(state)

    def _discard(self, state):
        self._unindex(state)
        speed = self.speed(state.server.service)
        for sent_request in state.in_flight_by_id.values():
            speed.in_flight.add(sent_request.priority, -1.0)

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
    """Return the item that indexes the servers of a plain service."""
    return records.Item("service", service, "")
