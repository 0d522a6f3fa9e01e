"""Decisions for hard load: which calls are sent, held at the host, or rejected.

The load it answers: for seconds, more calls arrive than the servers can run. What is
sent beyond that makes all calls late, so the calls that can be in time go first, calls
whose late answer is still of use take what room is left, and others are rejected at
once with the time at which there will be room.
"""

import math

from kumquatproxy import errors, logs
from kumquatproxy.gateway import (
    calls,
    deferral,
    releases,
    returningcallers,
    shedding,
    teamshares,
    urgency,
    waiting,
)

ALIAS = "hard"
# Share of the objective that may be spent on work ahead of a call. The rest is for the
# call itself, whatever its size, so that large calls are not rejected more often.
AHEAD_SHARE = 0.5
# Share of the time in which an answer is still of use that may be spent on work ahead
# of a late call, and the same for a caller that comes back.
LATE_SHARE = 0.25
RETURNING_LATE_SHARE = 0.4
# Calls at an engine, as a share of its places, beyond which no late call is added.
MAX_TAKEN_SHARE = 2.0
# While room is short, this share of the calls of each less urgent kind is sent as if
# they were of the most urgent rank, so that strict order starves none.
RAISED_SHARE = 0.5
MAX_ROUTES = 500
# Shorter objectives are raised to this value for calls without an engine: the load of
# their servers is known only so exactly.
MIN_PLAIN_OBJECTIVE_S = 0.2
# For this time after a call was held or rejected, room is short.
SHORTAGE_S = 1.0
# Attempts of a call without an engine that servers may refuse while they are full.
MAX_REFUSED_ATTEMPTS = 2
MIN_RETRY_AFTER_S = 0.1
# Share of what is left of the objective that a connection may take, and the least time
# for it: hosts and servers without processor time answer late, too.
CONNECT_SHARE = 0.5
MIN_CONNECT_TIMEOUT_S = 0.3
# Callers are rejected together in a burst, so they are spread over the time it takes
# to serve what is ahead of them.
RETURN_SPREAD_SHARE = 0.5
MIN_RETURN_SPREAD_S = 0.2
TOKENS_PER_WORK = 1000.0
LEAST_URGENT_RANK = 9  # ranks beyond share a count
HELD = "held"


class CallRecord:
    """Hold what was decided for a call."""

    __slots__ = ("is_counted", "is_raised", "level", "reason")

    def __init__(self, is_raised):
        self.is_raised: bool = is_raised  # sent as if of the most urgent rank
        self.level: int | None = None  # at an engine
        self.is_counted = False  # as admitted work of its team
        self.reason = ""


class Verdict:
    """Hold why a call is sent, held or rejected."""

    __slots__ = ("is_near", "is_useful", "limit_s", "may_hold", "reason")

    def __init__(
        self, reason, limit_s=math.inf, is_near=False, may_hold=False, is_useful=True
    ):
        self.reason: str = reason  # bounded, for metrics
        self.limit_s: float = limit_s  # of the work ahead
        self.is_near: bool = is_near  # sent at the more urgent level of its rank
        self.may_hold: bool = may_hold
        self.is_useful: bool = is_useful  # a server can answer while it is of use


@shedding.LOAD_POLICIES.register(ALIAS)
class HardPolicy(shedding.SteadyPolicy):
    """Decide by urgency, by what callers still need, and by what is served too seldom.

    The methods are those of the base class.
    """

    def __init__(self, selector, count_decision=shedding.ignore_decision):
        super().__init__(selector, count_decision)
        self._log = logs.Log("load")
        self.mix = urgency.LevelMix()
        self.deferred = deferral.DeferredCalls()
        self.releases = releases.Releases()
        self.teams = teamshares.TeamShares()
        self.returning = returningcallers.ReturningCallers()
        self._record_by_call: dict[calls.Call, CallRecord] = {}
        self._raise_credit_by_route: dict[str, float] = {}
        self._short_until_by_service: dict[str, float] = {}
        self._count_by_action = {"deferred": 0, "released": 0, "rejected": 0}

    @property
    def call_count(self) -> int:
        """Return the number of calls for which a decision is kept."""
        return len(self._record_by_call)

    # Prediction

    def rank(self, call, service, candidates, now):
        """Return candidates in the order of their delay for a call of this urgency."""
        if service.engine is None or call.need is None:
            return candidates
        for candidate in candidates:
            outlook = self._outlook(call, service, candidate, now)
            candidate.delay_s -= outlook.all_ahead_s - outlook.ahead_s
        return sorted(candidates, key=lambda candidate: candidate.delay_s)

    def _outlook(self, call, service, candidate, now):
        view = self._selector.view(candidate.announcement)
        slots = service.engine.batch_slots if service.engine is not None else 0
        near_level = self.near_level(call, now)
        return urgency.outlook(near_level, candidate, view, slots, self.mix)

    def near_level(self, call, now):
        """Return the level of a call at an engine when it has no time left."""
        return urgency.level(call, True, self._record(call, now).is_raised)

    # Decision

    def outlook(self, call, service, candidates, now):
        """Return what a call can expect at the best of some ranked candidates."""
        outlook = self._outlook(call, service, candidates[0], now)
        if service.engine is not None and call.need is not None:
            # Ranking has left out the work that is behind the call.
            outlook.own_s = max(0.0, candidates[0].delay_s - outlook.ahead_s)
            released_s = self.releases.ahead_s(
                call, outlook.own_s, len(candidates), now
            )
            outlook.ahead_s += released_s
            outlook.all_ahead_s += released_s
        return outlook

    def decide(self, call, outlook, state, now, draw_spread):
        """Return whether to send a call now, to hold it, or to reject it."""
        record = self._record(call, now)
        verdict = self._verdict(call, outlook, state, now)
        if not verdict.is_useful and state.may_reject:
            return self._reject(call, outlook, verdict, now, draw_spread)
        may_hold = (
            verdict.may_hold
            and state.is_first_attempt
            # A model that was loaded for it may be evicted again.
            and not state.has_waited
            and state.stops_at is None
        )
        if may_hold:
            wait_s = self.deferred.wait_s(call, outlook, now, draw_spread)
            if wait_s > 0.0:
                self._record_short(call, now)
                if record.reason != HELD:
                    self._observe("deferred", verdict.reason, call, outlook, now)
                record.reason = HELD
                return waiting.WaitDecision(wait_s=wait_s)
        is_raised = record.is_raised and verdict.is_near
        record.level = urgency.level(call, verdict.is_near, is_raised)
        record.reason = verdict.reason
        return waiting.WaitDecision()

    def _verdict(self, call, outlook, state, now):
        """Return whether a call is in time, late but of use, or not to be served."""
        if call.route.objective_s <= 0.0:
            return Verdict("no-objective", is_near=True)
        if not state.may_reject:
            return Verdict("in-progress", is_near=True)
        if call.need is None:
            return self._plain_verdict(call, outlook, state, now)
        left_s = urgency.objective_left_s(call, now)
        factor = self._team_factor(call, now)
        limit_s = AHEAD_SHARE * left_s * factor
        if left_s > 0.0 and outlook.ahead_s <= limit_s:
            if deferral.is_near(call, outlook, now):
                return Verdict("in-time", limit_s, is_near=True, may_hold=True)
            return Verdict("far-off", limit_s, may_hold=True)
        if call in self.deferred:
            # It was held, as it could still be in time.
            return Verdict("held", limit_s, is_near=True)
        if state.has_waited:
            limit_s = urgency.useful_left_s(call, now) - outlook.own_s
            is_useful = outlook.ahead_s <= limit_s
            reason = "waited" if is_useful else "crowded"
            return Verdict(reason, limit_s, is_useful=is_useful)
        return self._late_verdict(call, outlook, min(1.0, factor), now)

    def _late_verdict(self, call, outlook, factor, now):
        """Return the verdict for a call that is not answered within its objective."""
        share = RETURNING_LATE_SHARE if urgency.is_returning(call) else LATE_SHARE
        limit_s = share * urgency.useful_left_s(call, now) * factor
        if outlook.taken_share >= MAX_TAKEN_SHARE:
            return Verdict("no-place", limit_s, is_useful=False)
        is_calm = outlook.all_ahead_s <= deferral.CALM_S
        if is_calm or outlook.all_ahead_s + outlook.own_s <= limit_s:
            return Verdict("late", limit_s)
        reason = "team-over-due" if factor < 1.0 else "too-late"
        return Verdict(reason, limit_s, is_useful=False)

    def _plain_verdict(self, call, outlook, state, now):
        """Return the verdict for a call without an engine.

        Its servers queue in order of arrival, so a late call makes others late.
        """
        factor = self._team_factor(call, now)
        limit_s = AHEAD_SHARE * max(MIN_PLAIN_OBJECTIVE_S, call.route.objective_s)
        limit_s = min(limit_s, call.deadline - now) * factor
        if outlook.taken_share >= 1.0:
            if outlook.ahead_s > limit_s:
                reason = "team-over-due" if factor < 1.0 else "too-late"
                return Verdict(reason, limit_s, is_useful=False)
            if state.refused_attempts >= MAX_REFUSED_ATTEMPTS:
                return Verdict("refused", limit_s, is_useful=False)
        return Verdict("in-time", limit_s, is_near=True)

    def _team_factor(self, call, now):
        if not self._is_short(call, now):
            return 1.0
        return self.teams.factor(call.team, now)

    def _reject(self, call, outlook, verdict, now, draw_spread):
        self._record_short(call, now)
        self._observe("rejected", verdict.reason, call, outlook, now)
        ahead_s = outlook.all_ahead_s
        retry_after_s = max(MIN_RETRY_AFTER_S, ahead_s - verdict.limit_s)
        spread_s = max(MIN_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * ahead_s)
        retry_after_s += draw_spread() * spread_s
        error = errors.ProxyError(
            errors.ErrorKind.OVERLOADED,
            f"no server can respond in time; {outlook.ahead_s:.2f} s of work as urgent "
            f"as this call and {ahead_s:.2f} s in all are ahead of it, and the limit "
            f"is {max(0.0, verdict.limit_s):.2f} s",
            retry_after_s=retry_after_s,
        )
        return waiting.WaitDecision(error=error)

    # State of calls

    def record_arrival(self, call, now):
        """Estimate whether the caller of a call has come back."""
        self.returning.record_arrival(call, now)

    def record_failed(self, call, now):
        """Expect the caller of a call that is refused or fails to come back."""
        self.returning.record_failed(call, now)

    def level(self, call, now):
        """Return the level of a call at an engine, as decided for its attempt."""
        record = self._record(call, now)
        if record.level is not None:
            return record.level
        left_s = urgency.objective_left_s(call, now)
        is_near = 0.0 < left_s <= deferral.MIN_DEFERRAL_S
        return urgency.level(call, is_near, is_near and record.is_raised)

    def connect_timeout_s(self, call, now):
        """Return how long to try a connection before another server is tried.

        A server that is down lets the time run out, so an urgent call leaves it while
        it can still be in time elsewhere. Nothing was sent to it.
        """
        limit_s = super().connect_timeout_s(call, now)
        left_s = CONNECT_SHARE * urgency.objective_left_s(call, now)
        return min(limit_s, max(MIN_CONNECT_TIMEOUT_S, left_s))

    def record_sent(self, call, in_flight_call, now):
        """Count a call that is sent, and set its level at the server."""
        level = in_flight_call.level = self.level(call, now)
        if level is not None:
            self.mix.record(level, in_flight_call.uncached_prompt_tokens, now)
        record = self._record(call, now)
        if not record.is_counted:
            record.is_counted = True
            self.teams.record_admitted(call.team, _work(call), now)

    def begin_wait(self, call, draw_spread):
        """Record that a call waits until a server can serve it."""
        self.releases.begin_wait(call, draw_spread())

    def end_wait(self, call, now):
        """Forget a call that has an attempt, or has ended without one."""
        self.releases.end_wait(call)
        if self.deferred.end(call, now):
            self._count("released", HELD, call)

    def is_held(self, call):
        """Return whether a call waits although a server could take it."""
        return call in self.deferred

    def end_call(self, call, now):
        """Forget a call that has ended."""
        self._record_by_call.pop(call, None)

    def _record(self, call, now):
        record = self._record_by_call.get(call)
        if record is None:
            self.teams.record_asked(call.team, _work(call), now)
            is_raised = self._is_short(call, now) and self._take_raise(call)
            record = self._record_by_call[call] = CallRecord(is_raised)
        return record

    def _take_raise(self, call):
        """Return whether a call is the next of its kind to be raised."""
        route = call.route.name
        if len(self._raise_credit_by_route) >= MAX_ROUTES:
            self._raise_credit_by_route.clear()
        credit = self._raise_credit_by_route.get(route, 0.0) + RAISED_SHARE
        is_raised = credit >= 1.0
        self._raise_credit_by_route[route] = credit - is_raised
        return is_raised

    def _is_short(self, call, now):
        return now < self._short_until_by_service.get(call.service, -math.inf)

    def _record_short(self, call, now):
        self._short_until_by_service[call.service] = now + SHORTAGE_S

    # Observation

    def _observe(self, action, reason, call, outlook, now):
        rank = self._count(action, reason, call)
        self._log.write_limited(
            now,
            f"{action}-{reason}-{rank}",
            f"{action} a call of rank {rank}: {reason}",
            request_id=call.request_id,
            route=call.route.name,
            team=call.team.name if call.team is not None else "",
            ahead_ms=round(outlook.ahead_s * 1000),
            all_ahead_ms=round(outlook.all_ahead_s * 1000),
            taken_percent=round(outlook.taken_share * 100),
            count=self._count_by_action[action],
        )

    def _count(self, action, reason, call):
        rank = min(LEAST_URGENT_RANK, max(0, call.priority))
        self._count_by_action[action] += 1
        self._count_decision(action, reason, rank)
        return rank

    def set_host_count(self, host_count):
        """Set the number of hosts that send to the same servers."""
        self.deferred.host_count = self.releases.host_count = host_count

    def gauges(self):
        """Return the gauges of the policy by name."""
        return {
            "load.held": len(self.deferred),
            "load.waiting": len(self.releases),
            "load.returned": self.returning.returned_count,
        }


def _work(call):
    """Return the work of a call, by which teams are compared."""
    if call.need is None:
        return 1.0
    return max(1.0, call.need.prompt_tokens / TOKENS_PER_WORK)
