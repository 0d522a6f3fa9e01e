"""Deferral of calls whose objective is far off while engines are busy.

The load it answers: bursts of calls that must begin within less than a second, beside
calls for which several seconds are in time. Sent at once, the latter take places and
memory of engines, where this host can no longer reorder them. Held here, they are sent
when the backlog has gone, or when they would else be late.
"""

from collections.abc import Callable

from kumquatproxy.gateway import calls, urgency

# Work ahead at an engine that leaves a call with an objective of half a second in time.
CALM_S = 0.1
# A call is not held for less.
MIN_DEFERRAL_S = 1.0
# Time kept for errors of the prediction, and the same as a share of the objective.
MIN_MARGIN_S = 0.25
MARGIN_SHARE = 0.2
# Callers leave a stream without a first event; until then the call must have run.
PATIENCE_MARGIN_S = 1.0
# Other hosts learn of a call that is sent after about this time.
RELEASE_INTERVAL_S = 0.25
MIN_RECHECK_S = 0.05
MAX_RECHECK_S = 0.25


def latest_start_at(call: calls.Call, outlook: urgency.Outlook, now: float) -> float:
    """Return when a call must be sent to be in time, given what is ahead of it."""
    left_s = urgency.objective_left_s(call, now)
    left_s -= max(MIN_MARGIN_S, MARGIN_SHARE * call.route.objective_s)
    left_s = min(left_s, urgency.useful_left_s(call, now) - PATIENCE_MARGIN_S)
    return now + left_s - outlook.ahead_s - outlook.own_s


def is_near(call: calls.Call, outlook: urgency.Outlook, now: float) -> bool:
    """Return whether a call must be sent soon to be in time."""
    return latest_start_at(call, outlook, now) - now < MIN_DEFERRAL_S


class DeferredCalls:
    """Hold the calls that this host defers, and the order in which they are sent."""

    __slots__ = ("_order_by_call", "_released_at_by_key", "host_count")

    def __init__(self):
        self.host_count = 1  # that send to the same servers
        self._order_by_call: dict[calls.Call, tuple] = {}
        self._released_at_by_key: dict[tuple, float] = {}

    def __len__(self):
        return len(self._order_by_call)

    def __contains__(self, call):
        return call in self._order_by_call

    def wait_s(
        self,
        call: calls.Call,
        outlook: urgency.Outlook,
        now: float,
        draw_spread: Callable[[], float],
    ) -> float:
        """Return how long to hold a call until the next check, 0 to send it now.

        ``draw_spread`` draws from 0 to 1, so that hosts do not send what they hold
        together.
        """
        latest_start = latest_start_at(call, outlook, now)
        is_held = call in self._order_by_call
        if call.need is None or latest_start - now < (0 if is_held else MIN_DEFERRAL_S):
            return 0.0
        # Calls yield less and less as their latest start comes near.
        held_s = now - call.arrived_at
        calm_s = CALM_S * (0.5 + held_s / (latest_start - call.arrived_at))
        is_calm = outlook.all_ahead_s <= (calm_s if is_held else CALM_S)
        if is_calm and self._is_next(call, latest_start, now):
            return 0.0
        if not is_held:
            self._order_by_call[call] = _order(call, latest_start)
        recheck_s = MIN_RECHECK_S + draw_spread() * (MAX_RECHECK_S - MIN_RECHECK_S)
        return max(0.001, min(recheck_s, latest_start - now))

    def _is_next(self, call, latest_start, now):
        """Return whether no held call for the same servers goes first."""
        key = _key(call)
        released_at = self._released_at_by_key.get(key)
        interval_s = RELEASE_INTERVAL_S if self.host_count > 1 else 0.0
        if released_at is not None and 0.0 <= now - released_at < interval_s:
            return False
        order = self._order_by_call.get(call) or _order(call, latest_start)
        return all(
            order <= other_order
            for other, other_order in self._order_by_call.items()
            if _key(other) == key
        )

    def end(self, call: calls.Call, now: float) -> bool:
        """Forget a call that is sent, rejected or left; return whether it was held."""
        if self._order_by_call.pop(call, None) is None:
            return False
        keys = {_key(other) for other in self._order_by_call}
        self._released_at_by_key = {
            key: released_at
            for key, released_at in self._released_at_by_key.items()
            if key in keys
        }
        if _key(call) in keys:
            self._released_at_by_key[_key(call)] = now
        return True


def _order(call, latest_start):
    is_first_attempt = not urgency.is_returning(call)
    return call.priority, is_first_attempt, latest_start, call.arrived_at


def _key(call):
    """Return what the calls have in common that wait for the same servers."""
    return call.service, call.need.model
