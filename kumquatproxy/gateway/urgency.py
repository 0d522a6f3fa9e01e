"""Urgency of calls at engines, and the work that is ahead of a call there.

The load it answers: bursts of calls with different objectives at the same engines. An
engine runs calls of a more urgent level first, so a call waits only for work of its own
level and of more urgent ones.
"""

import math

from kumquatproxy import records
from kumquatproxy.gateway import calls, serverselection

LEAST_URGENT_LEVEL = 9
# Each rank has a level for calls whose objective is near, and one for other calls.
LEVELS_PER_RANK = 2
MIX_HALF_LIFE_S = 5.0


def level(call: calls.Call, is_near: bool, is_raised: bool = False) -> int | None:
    """Return the level of a call at an engine, or None for other calls.

    Ranks go first. Within a rank, calls that are late anyway and those whose objective
    is far off yield to calls that are in time only if they run at once. A raised call
    counts as one of the most urgent rank.
    """
    if call.need is None:
        return None
    rank = 0 if is_raised else call.priority
    return min(LEAST_URGENT_LEVEL, LEVELS_PER_RANK * rank + (not is_near))


def is_returning(call: calls.Call) -> bool:
    """Return whether the caller was rejected before, and has come back."""
    return call.spent_s > 0.0


def objective_left_s(call: calls.Call, now: float) -> float:
    """Return the time until the call's objective ends, negative if it has ended."""
    objective_s = call.route.objective_s or math.inf
    return objective_s - call.spent_s - (now - call.arrived_at)


def useful_left_s(call: calls.Call, now: float) -> float:
    """Return the time in which a first event is still of use to the caller."""
    return min(call.deadline, call.arrived_at + call.route.patience_s) - now


class LevelMix:
    """Hold the share of each level in the prompt tokens that this host has sent lately.

    The load by other hosts is known as a sum over all levels, and hosts that get their
    callers from the same load balancers send much the same mix.
    """

    __slots__ = ("_decayed_at", "_tokens_by_level")

    def __init__(self):
        self._tokens_by_level = [0.0] * (LEAST_URGENT_LEVEL + 1)
        self._decayed_at = 0.0

    def record(self, sent_level: int, tokens: float, now: float) -> None:
        """Count the prompt tokens of a call that is sent."""
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / MIX_HALF_LIFE_S)
        self._decayed_at = now
        self._tokens_by_level = [factor * count for count in self._tokens_by_level]
        self._tokens_by_level[sent_level] += tokens

    def share(self, least_urgent: int) -> float:
        """Return the share of a level and of more urgent ones; 1 if none is known."""
        total = sum(self._tokens_by_level)
        if total <= 0.0:
            return 1.0
        return sum(self._tokens_by_level[: least_urgent + 1]) / total


class Outlook(records.Record):
    """Hold what a call can expect at a server."""

    __slots__ = ("ahead_s", "all_ahead_s", "own_s", "taken_share")

    def __init__(self, ahead_s, all_ahead_s, own_s, taken_share):
        # Time that the work takes that an engine does before a call that is near.
        self.ahead_s: float = ahead_s
        # The same for a call of the least urgent level.
        self.all_ahead_s: float = all_ahead_s
        self.own_s: float = own_s  # from then to the first event
        # Calls at the server, as a share of those that it runs at once.
        self.taken_share: float = taken_share


def outlook(
    near_level: int | None,
    candidate: serverselection.Candidate,
    view: serverselection.ServerView,
    batch_slots: int,
    mix: LevelMix,
) -> Outlook:
    """Return what a call can expect at a candidate.

    ``batch_slots`` is 0 for servers without a model engine, and ``near_level`` is None
    for calls without one.
    """
    if near_level is None or not batch_slots:
        return _plain_outlook(candidate, view)
    own_tokens = near_tokens = 0
    for sent in view.in_flight_calls:
        if sent.has_first_event:
            continue
        own_tokens += sent.uncached_prompt_tokens
        if sent.level is None or sent.level <= near_level:
            near_tokens += sent.uncached_prompt_tokens
    all_tokens = own_tokens + view.other_host_tokens
    share = 1.0
    if all_tokens > 0:
        others = view.other_host_tokens * mix.share(near_level)
        share = (near_tokens + others) / all_tokens
    all_ahead_s = _all_ahead_s(candidate, view, all_tokens, batch_slots)
    return Outlook(
        all_ahead_s * share,
        all_ahead_s,
        max(0.0, candidate.delay_s - all_ahead_s),
        view.running / batch_slots,
    )


def _plain_outlook(candidate, view):
    """Return what a call can expect at a server that runs calls in order of arrival."""
    slots = max(1, candidate.announcement.slots)
    running = max(1, view.running)
    ahead_s = candidate.delay_s * max(0, running - slots) / running
    if candidate.estimate is not None:
        ahead_s = candidate.estimate.ahead_s
    own_s = max(0.0, candidate.delay_s - ahead_s)
    return Outlook(ahead_s, ahead_s, own_s, view.running / slots)


def _all_ahead_s(candidate, view, all_tokens, batch_slots):
    """Return the part of a predicted delay that is spent on earlier calls."""
    # Some selection policies estimate it with learned speeds.
    if candidate.estimate is not None:
        return candidate.estimate.ahead_s
    ahead_s = all_tokens / serverselection.DEFAULT_PREFILL_TOKENS_PER_S
    if view.running >= batch_slots:
        ahead_s += serverselection.FULL_BATCH_DELAY_S
    return ahead_s
