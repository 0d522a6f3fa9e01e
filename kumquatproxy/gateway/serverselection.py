"""Selection of the backend server for a call by predicted delay.

Load reports are delayed and several entry hosts select servers concurrently, so a
server that was reported as idle may be loaded by now. Each host therefore counts its
own calls at once, and selects at random among servers with similar predictions.

How the delay is predicted and a server selected is a policy: ``steady`` here, ``hard``
in ``finishprediction``.
"""

import random

from kumquatproxy import registry
from kumquatproxy.fleet import servers, serviceconfig
from kumquatproxy.gateway import (
    brittleservers,
    calls,
    health,
    prefixcache,
    requestedpauses,
    serverlimits,
    serverwork,
    waiting,
)

STEADY = "steady"
SELECTION_POLICIES = registry.Registry("selection policy")
"""Policies by alias; see ``SteadyPolicy`` for their methods."""

# Assumed prefill rate of an engine.
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
# Increase of the time to first token per running call: each one lengthens the engine's
# decoding steps.
DELAY_PER_RUNNING_CALL_S = 0.0007
# Penalty for another data centre: the round trip, and the cost of traffic between
# data centres.
REMOTE_PENALTY_S = 0.010
# Servers within this margin of the lowest predicted delay are selected with equal
# probability.
EQUIVALENCE_MARGIN_S = 0.008
# Predicted wait at an engine with a full batch, until another call ends.
FULL_BATCH_DELAY_S = 0.5
# Predicted cost of a failed call. It is multiplied by the failure rate of a server.
FAILURE_PENALTY_S = 2.0
# Assumed duration of a call that uses no model engine.
ENGINELESS_CALL_DURATION_S = 0.08
# Longest wait of a begun stream for an ejected server. Ejections double, so this covers
# the first two; a server that has failed more often is likely gone for longer.
MAX_EJECTION_WAIT_S = 1.0
NO_LOAD = (0, 0)  # calls and tokens of servers that a table of loads leaves out


def prefill_delay_s(prefill_tokens: float, running: int) -> float:
    """Return the predicted time to the first event at an engine with free slots."""
    prefill_s = prefill_tokens / DEFAULT_PREFILL_TOKENS_PER_S
    return prefill_s + running * DELAY_PER_RUNNING_CALL_S


class InFlightCall:
    """Hold one call of this host that is in flight at a server."""

    __slots__ = (
        "has_first_event",
        "instance_id",
        "level",
        "memory_tokens",
        "uncached_prompt_tokens",
    )

    def __init__(self, instance_id, uncached_prompt_tokens, memory_tokens=0):
        self.instance_id: str = instance_id
        # Prompt tokens that the server must prefill.
        self.uncached_prompt_tokens: int = uncached_prompt_tokens
        # Tokens that the call will have in the memory of an engine; 0 if not estimated.
        self.memory_tokens: int = memory_tokens
        # True once the first event of a stream is received, which means that prefill is
        # done. Stays False for calls that are not streams.
        self.has_first_event = False
        self.level: int | None = None  # at an engine, set when the call is sent


class ServerView:
    """Hold the load and health of one server as seen by an entry host."""

    __slots__ = (
        "health",
        "in_flight_calls",
        "load",
        "other_host_calls",
        "other_host_tokens",
        "work",
    )

    def __init__(self):
        self.work = serverwork.ServerWork()
        self.health = health.Health()
        self.in_flight_calls: dict[InFlightCall, None] = {}
        self.load: calls.ServerLoad | None = None
        self.other_host_calls = 0  # in flight, sent by other entry hosts
        self.other_host_tokens = 0  # uncached prompt tokens of these that await prefill

    def own_prefill_tokens(self) -> int:
        """Return the uncached prompt tokens of this host's calls that await prefill."""
        return sum(
            call.uncached_prompt_tokens
            for call in self.in_flight_calls
            if not call.has_first_event
        )

    @property
    def running(self) -> int:
        """Return the number of calls in flight, sent by all entry hosts."""
        return len(self.in_flight_calls) + self.other_host_calls


class Candidate:
    """Hold a server that can serve a call, and its predicted delay."""

    __slots__ = (
        "announcement",
        "delay_s",
        "estimate",
        "is_local",
        "move_gain_s",
        "reason",
        "stay_s",
        "turn_wait_s",
    )

    def __init__(
        self,
        announcement,
        delay_s,
        is_local=True,
        estimate=None,
        stay_s=0.0,
        move_gain_s=0.0,
    ):
        self.announcement: servers.Announcement = announcement
        # Predicted time to the first event, plus penalties for failures and for
        # another data centre. Without a model engine, it is estimated from the load.
        self.delay_s: float = delay_s
        self.is_local: bool = is_local
        self.estimate: serverwork.Estimate | None = estimate
        # A call does not leave the data centre for a lower delay than this.
        self.stay_s: float = stay_s
        # It leaves only for a delay that is lower by more than this.
        self.move_gain_s: float = move_gain_s
        self.turn_wait_s = 0.0  # at a server with a limit
        self.reason = ""  # for the log, set when the server is selected

    def add_turn_wait(self, wait_s: float) -> None:
        """Add the wait for a turn at a server with a limit."""
        self.turn_wait_s = wait_s
        self.delay_s += wait_s + serverlimits.LIMITED_PENALTY_S

    @property
    def wait_s(self) -> float:
        """Return the predicted time to the first event, without penalties if known."""
        if self.estimate is None:
            return self.delay_s
        return self.turn_wait_s + self.estimate.ahead_s + self.estimate.own_s


@SELECTION_POLICIES.register(STEADY)
class SteadyPolicy:
    """Predict with fixed speeds and select among servers with nearly the least delay.

    Other policies derive from it. Observations are of this host's own calls; this one
    learns nothing from them, and ``local_share`` is for policies that prefer their own
    data centre.
    """

    def __init__(
        self,
        data_centre: str,
        prefix_cache: prefixcache.PrefixCacheTracker,
        local_share: float = 0.0,
    ):
        self._data_centre = data_centre
        self._prefix_cache = prefix_cache

    def candidate(
        self,
        call: calls.Call,
        service: serviceconfig.Service,
        announcement: servers.Announcement,
        view: ServerView,
        now: float,
    ) -> Candidate:
        """Return a server that can serve a call, with its predicted delay."""
        delay_s = view.health.failure_rate * FAILURE_PENALTY_S
        is_local = announcement.data_centre == self._data_centre
        if not is_local:
            delay_s += REMOTE_PENALTY_S
        if service.engine is None or call.need is None:
            slots = max(1, announcement.slots)
            delay_s += ENGINELESS_CALL_DURATION_S * view.running / slots
            return Candidate(announcement, delay_s, is_local)
        tokens = self._uncached_tokens(call, announcement)
        tokens += view.own_prefill_tokens() + view.other_host_tokens
        delay_s += prefill_delay_s(tokens, view.running)
        if view.running >= service.engine.batch_slots:
            delay_s += FULL_BATCH_DELAY_S
        return Candidate(announcement, delay_s, is_local)

    def select(self, candidates: list[Candidate], rng) -> Candidate:
        """Return one of some candidates, which are sorted by delay."""
        limit_s = candidates[0].delay_s + EQUIVALENCE_MARGIN_S
        return rng.choice(
            [candidate for candidate in candidates if candidate.delay_s <= limit_s]
        )

    def in_flight_call(
        self, call: calls.Call, announcement: servers.Announcement, now: float
    ) -> InFlightCall:
        """Return the record of a call that is sent to a server."""
        tokens = 0 if call.need is None else self._uncached_tokens(call, announcement)
        return InFlightCall(announcement.instance_id, tokens)

    def _uncached_tokens(self, call, announcement):
        cached_tokens = self._prefix_cache.cached_tokens(
            announcement.instance_id, call.need
        )
        return max(0, call.need.prompt_tokens - cached_tokens)

    def record_load(self, view: ServerView, load: calls.ServerLoad, now: float) -> None:
        """Learn from the load that a server has reported with an answer."""

    def record_other_hosts(self, view: ServerView, now: float) -> None:
        """Learn from a push of the load by other hosts."""

    def record_first_event(self, call, attempt, view: ServerView, now: float) -> None:
        """Learn from the first event of a stream."""

    def record_answer(self, call, attempt, view, service, now: float) -> None:
        """Learn from a complete response."""

    def gauges(self, views, now: float) -> dict[str, float]:
        """Return the gauges of the policy by name."""
        return {}


class ServerSelector:
    """Select servers by predicted delay."""

    def __init__(
        self,
        data_centre: str,
        table: servers.ServerTable,
        rng,
        limits: serverlimits.ServerLimits,
        brittle: brittleservers.BrittleServers,
        pauses: requestedpauses.RequestedPauses,
        policy: str = STEADY,
        local_share: float = 0.0,
    ):
        self.table = table
        self._limits = limits
        self._brittle = brittle
        self._pauses = pauses
        self.prefix_cache = prefixcache.PrefixCacheTracker()
        # A lifetime identifies one run of a server: (instance id, time of its start).
        self.views_by_lifetime: dict[tuple, ServerView] = {}
        # Those with calls of this host in flight.
        self._busy_views_by_lifetime: dict[tuple, ServerView] = {}
        # By instance id: loaded adapters, and models that are being unloaded.
        self.adapters_by_id: dict[str, frozenset[str]] = {}
        self.leaving_models_by_id: dict[str, frozenset[str]] = {}
        self._rng: random.Random = rng
        self._policy: SteadyPolicy = SELECTION_POLICIES.get(policy)(
            data_centre, self.prefix_cache, local_share
        )

    def view(self, announcement: servers.Announcement) -> ServerView:
        """Return the load and health of a server, created on first use."""
        view = self.views_by_lifetime.get(announcement.lifetime)
        if view is None:
            view = self.views_by_lifetime[announcement.lifetime] = ServerView()
        return view

    def candidates(
        self,
        call: calls.Call,
        service: serviceconfig.Service,
        excluded,
        now: float,
        max_turn_wait_s: float = 0.0,
    ) -> list[Candidate]:
        """Return the servers that can serve a call now, ordered by predicted delay.

        Servers with a limit are included if a turn is expected in ``max_turn_wait_s``.
        """
        candidates = []
        model = None if call.need is None else call.need.model
        for announcement in self.table.ready(service.name, now, model):
            if announcement.lifetime in excluded or not self._can_serve(
                call, announcement
            ):
                continue
            view = self.view(announcement)
            if not view.health.is_usable(now):
                continue
            if self._pauses.usable_in_s(announcement, now) > 0.0:
                continue
            if not self._brittle.admits(
                announcement, len(view.in_flight_calls), view.running, now
            ):
                continue
            candidate = self._policy.candidate(call, service, announcement, view, now)
            if self._limits.rate(announcement, now) is not None:
                turn_wait_s = self._limits.turn_wait_s(announcement, now)
                if turn_wait_s > max_turn_wait_s:
                    continue
                candidate.add_turn_wait(turn_wait_s)
            candidates.append(candidate)
        candidates.sort(key=lambda candidate: candidate.delay_s)
        return candidates

    def _ready(self, call, now):
        """Return the ready servers of a call's service that have its model, if any."""
        model = None if call.need is None else call.need.model
        return self.table.ready(call.service, now, model)

    def _can_serve(self, call, announcement):
        need = call.need
        if not self._has_model(call, announcement):
            return False
        if need is None:
            return True
        adapters = self.adapters_by_id.get(announcement.instance_id, ())
        return not need.adapter or need.key() in adapters

    def _has_model(self, call, announcement):
        """Return whether a server can serve a call once it has the adapter."""
        if not _has_version(call, announcement):
            return False
        need = call.need
        if need is None:
            return True
        if need.model in self.leaving_models_by_id.get(announcement.instance_id, ()):
            return False
        return announcement.has_model(need.model)

    def least_turn_wait_s(self, call: calls.Call, excluded, now: float) -> float | None:
        """Return the least wait for a turn at a server that can serve a call.

        None if no such server has a limit.
        """
        return min(
            (
                max(
                    self._limits.turn_wait_s(announcement, now),
                    self._pauses.usable_in_s(announcement, now),
                )
                for announcement in self._ready(call, now)
                if announcement.lifetime not in excluded
                and self._can_serve(call, announcement)
                and self._limits.rate(announcement, now) is not None
            ),
            default=None,
        )

    def pause_left_s(self, call: calls.Call, excluded, now: float) -> float | None:
        """Return the time until the first pause of servers for a call ends.

        None if one of them has not asked for a pause, even if it still needs an adapter
        to be loaded, or if there is no such server.
        """
        waits_s = [
            self._pauses.usable_in_s(announcement, now)
            for announcement in self._ready(call, now)
            if announcement.lifetime not in excluded
            and self._has_model(call, announcement)
        ]
        return min(waits_s, default=0.0) or None

    def may_send(self, announcement: servers.Announcement, now: float) -> bool:
        """Return whether a call may still be sent to the server selected for it."""
        return (
            self.table.takes_calls(announcement)
            and self._pauses.left_s(announcement, now) <= 0.0
        )

    def expected_for_begun_stream(
        self, call: calls.Call, excluded, now: float
    ) -> waiting.ExpectedAvailability:
        """Return when a server of a stream's software version is usable again.

        It is unknown if that depends on a load of a model or adapter, because loads are
        planned without regard to software versions.
        """
        ready = [
            announcement
            for announcement in self.table.ready(call.service, now)
            if _has_version(call, announcement)
            and announcement.lifetime not in excluded
        ]
        if not ready:
            return waiting.ExpectedAvailability(None, is_excluded=True)
        waits_s = [
            max(
                self.view(announcement).health.usable_in_s(now),
                self._limits.turn_wait_s(announcement, now),
                self._pauses.usable_in_s(announcement, now),
            )
            for announcement in ready
            if self._can_serve(call, announcement)
        ]
        if not waits_s:
            return waiting.ExpectedAvailability(None)
        return waiting.ExpectedAvailability(
            min(waits_s), is_excluded=min(waits_s) > MAX_EJECTION_WAIT_S
        )

    def remove_adapter(self, announcement: servers.Announcement, need) -> None:
        """Record that a server does not have the adapter that a call requires."""
        if need is None or not need.adapter:
            return
        adapters = self.adapters_by_id.get(announcement.instance_id, frozenset())
        self.adapters_by_id[announcement.instance_id] = adapters - {need.key()}

    def add_adapter(self, instance_id: str, key: str) -> None:
        """Record that a server has loaded an adapter."""
        adapters = self.adapters_by_id.get(instance_id, frozenset())
        self.adapters_by_id[instance_id] = adapters | {key}

    def select(self, candidates: list[Candidate]) -> Candidate | None:
        """Return the candidate that a call is sent to, None if there is none."""
        return self._policy.select(candidates, self._rng) if candidates else None

    def choose(self, candidates: list[Candidate]) -> servers.Announcement | None:
        """Return the server of the selected candidate."""
        candidate = self.select(candidates)
        return None if candidate is None else candidate.announcement

    def start_call(
        self, call: calls.Call, announcement: servers.Announcement, now: float = 0.0
    ) -> InFlightCall:
        """Count a call as in flight at a server."""
        in_flight_call = self._policy.in_flight_call(call, announcement, now)
        if call.need is not None:
            self.prefix_cache.record(announcement.instance_id, call.need)
        self._pauses.record_start(announcement)
        view = self.view(announcement)
        view.in_flight_calls[in_flight_call] = None
        self._busy_views_by_lifetime[announcement.lifetime] = view
        return in_flight_call

    def record_load(
        self, announcement: servers.Announcement, load: calls.ServerLoad, now: float
    ) -> None:
        """Record the load that a server has reported with an answer."""
        view = self.view(announcement)
        view.load = load
        self._policy.record_load(view, load, now)

    def record_first_event(self, call: calls.Call, attempt, now: float) -> None:
        """Record that the first event of a stream was received."""
        if not attempt.is_forwarded:
            view = self.view(attempt.announcement)
            self._policy.record_first_event(call, attempt, view, now)

    def record_answer(self, call: calls.Call, attempt, service, now: float) -> None:
        """Record that a response was received to its end."""
        if not attempt.is_forwarded:
            view = self.view(attempt.announcement)
            self._policy.record_answer(call, attempt, view, service, now)

    def gauges(self, now: float) -> dict[str, float]:
        """Return the gauges of the policy by name."""
        return self._policy.gauges(self.views_by_lifetime.values(), now)

    def end_call(
        self, announcement: servers.Announcement, in_flight_call: InFlightCall
    ) -> None:
        """Remove a call from those in flight at a server."""
        view = self.view(announcement)
        view.in_flight_calls.pop(in_flight_call, None)
        if not view.in_flight_calls:
            self._busy_views_by_lifetime.pop(announcement.lifetime, None)

    def set_other_host_loads(
        self, loads_by_id: dict, own_loads_by_id: dict, now: float = 0.0
    ) -> None:
        """Set the load by other hosts: the totals of all hosts minus this host's."""
        for instance_id, known in self.table.known_by_id.items():
            view = self.view(known.announcement)
            count, tokens = loads_by_id.get(instance_id, NO_LOAD)
            own_count, own_tokens = own_loads_by_id.get(instance_id, NO_LOAD)
            view.other_host_calls = max(0, count - own_count)
            view.other_host_tokens = max(0, tokens - own_tokens)
            self._policy.record_other_hosts(view, now)

    def in_flight_count(self, service: str) -> int:
        """Return the number of this host's calls in flight at servers of a service."""
        return sum(
            len(view.in_flight_calls)
            for announcement, view in self._busy_servers()
            if announcement.service == service
        )

    def _busy_servers(self):
        """Yield the known servers that have calls of this host, and their views."""
        for lifetime, view in self._busy_views_by_lifetime.items():
            announcement = self.table.get(lifetime[0])
            if announcement is not None and announcement.lifetime == lifetime:
                yield announcement, view

    def own_loads(self) -> dict:
        """Return this host's calls and tokens that await prefill, by instance id."""
        return {
            announcement.instance_id: [
                len(view.in_flight_calls),
                view.own_prefill_tokens(),
            ]
            for announcement, view in self._busy_servers()
        }

    def prune(self) -> None:
        """Remove the views of ended server runs that have no calls in flight.

        The prefix cache entries of their instance ids are removed too, including those
        of a later run with the same id.
        """
        live = {announcement.lifetime for announcement in self.table.all()}
        for lifetime in [key for key in self.views_by_lifetime if key not in live]:
            if not self.views_by_lifetime[lifetime].in_flight_calls:
                del self.views_by_lifetime[lifetime]
                self.prefix_cache.remove_server(lifetime[0])


def _has_version(call, announcement):
    """Return whether a stream that may have begun can go on at a server."""
    return call.software_version in (None, announcement.software_version)
