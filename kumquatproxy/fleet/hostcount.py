"""Number of entry hosts that share the retry budget."""

import math

# A control host that has just started, or is cut off from some entry hosts, counts too
# few of them, so a lower number holds only after this time.
KEPT_S = 60.0


class HostCount:
    """Keep the highest number of entry hosts that control hosts have lately counted."""

    __slots__ = ("_heard_at_by_count",)

    def __init__(self):
        self._heard_at_by_count: dict[int, float] = {}

    def record(self, count: int, now: float) -> None:
        """Record the number that a control host has counted."""
        self._heard_at_by_count[max(1, count)] = now

    def highest(self, now: float) -> float:
        """Return the highest recent number, infinity before the first one."""
        if not self._heard_at_by_count:
            return math.inf
        newest_at = max(self._heard_at_by_count.values())
        self._heard_at_by_count = {
            count: heard_at
            for count, heard_at in self._heard_at_by_count.items()
            if now - heard_at < KEPT_S or heard_at == newest_at
        }
        return max(self._heard_at_by_count)
