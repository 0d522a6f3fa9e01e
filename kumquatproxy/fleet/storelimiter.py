"""Sliding-window rate limiter of loads from the weight store.

Traffic pattern: demand shifts and many models must be loaded at once, while the store
serves about one load a second. The limit holds over all servers and across a change of
the owner of orders.
"""

import collections

from kumquatproxy.fleet import engineorders

# Loads that a window may hold beyond the rate; the store tolerates three.
BURST_LOADS = 1.5


class StoreLoadLimiter:
    """Count the loads that may have started within the last window."""

    __slots__ = ("_started_at", "_uncertain_until", "window_s")

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._started_at: collections.deque[float] = collections.deque()
        self._uncertain_until: list[float] = []

    def allows(self, loads_per_s: float, now: float) -> bool:
        """Return whether one more load may start at ``now``."""
        while self._started_at and now - self._started_at[0] >= self.window_s:
            self._started_at.popleft()
        self._uncertain_until = [end for end in self._uncertain_until if end > now]
        load_count = len(self._started_at) + len(self._uncertain_until)
        return load_count + 1 <= loads_per_s * self.window_s + BURST_LOADS

    def record_load(self, now: float) -> None:
        """Record a load that was ordered."""
        self._started_at.append(now)

    def record_uncertain_load(self, now: float) -> None:
        """Record an order that may still start a load within the next seconds."""
        self._uncertain_until.append(now + engineorders.MAX_ORDER_DELAY_S)

    def fill_window(self, loads_per_s: float, now: float) -> None:
        """Record the loads that the rate allows in a window, as started just now.

        The loads of an earlier owner are unknown. BURST_LOADS remain available.
        """
        for _ in range(int(loads_per_s * self.window_s)):
            self._started_at.append(now)
