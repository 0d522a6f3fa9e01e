"""Limit on loads from the weight store that begin within any window of time.

Load pattern: demand moves and many models are wanted at once, while the store serves
about one load a second. The limit holds over all servers and across a change of owner.
"""

import collections

from kumquatproxy.fleet import engineorders

# Loads beyond the rate that a window may hold; the store takes three.
RESERVE_USED = 1.5


class StoreWindow:
    """Count the loads that may have begun lately."""

    __slots__ = ("_begins", "_unknown_until", "window_s")

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._begins: collections.deque[float] = collections.deque()
        self._unknown_until: list[float] = []

    def allows(self, loads_per_s: float, now: float) -> bool:
        """Return whether one more load may begin at ``now``."""
        while self._begins and now - self._begins[0] >= self.window_s:
            self._begins.popleft()
        self._unknown_until = [end for end in self._unknown_until if end > now]
        used = len(self._begins) + len(self._unknown_until)
        return used + 1 <= loads_per_s * self.window_s + RESERVE_USED

    def begin(self, now: float) -> None:
        """Note a load that was ordered."""
        self._begins.append(now)

    def begin_unknown(self, now: float) -> None:
        """Note an order that may begin a load at any time within the next seconds."""
        self._unknown_until.append(now + engineorders.LATE_ORDER_S)

    def fill(self, loads_per_s: float, now: float) -> None:
        """Count as if an earlier owner had just used the whole window."""
        for _ in range(int(loads_per_s * self.window_s)):
            self._begins.append(now)
