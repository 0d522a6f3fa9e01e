"""Sliding-window rate limiter of loads from the weight store.

Traffic pattern: demand shifts and many models must be loaded at once, while the store
serves about one load a second. The limit holds over all servers and across a change of
the owner of orders.
"""

import collections

from kumquatproxy.fleet import engineorders

# Loads that a window may hold beyond the rate and its excess. The store tolerates
# three, and a new owner, to whom the loads of the last one are unknown, starts up to
# two if it is of the build before, and NEW_OWNER_LOADS otherwise.
BURST_LOADS = 1.0
NEW_OWNER_LOADS = 1.0


class StoreLoadLimiter:
    """Count the loads that may have started within the last window."""

    __slots__ = (
        "_assumed_at",
        "_reserved_until",
        "_started_at",
        "_uncertain_until",
        "excess",
        "window_s",
    )

    def __init__(self, window_s: float, excess: float = 1.0):
        self.window_s = window_s
        self.excess = excess  # factor by which a window may exceed the rate
        self._started_at: collections.deque[float] = collections.deque()
        self._uncertain_until: list[float] = []
        # Loads of earlier owners, in no order.
        self._assumed_at: list[float] = []
        # Share of the limit that is kept for other loads of theirs, and until when.
        self._reserved_until: tuple[float, float] = (0.0, 0.0)

    def allows(self, loads_per_s: float, now: float, planned: int = 0) -> bool:
        """Return whether one more load beside ``planned`` new ones may start now."""
        while self._started_at and now - self._started_at[0] >= self.window_s:
            self._started_at.popleft()
        self._uncertain_until = [end for end in self._uncertain_until if end > now]
        self._assumed_at = [at for at in self._assumed_at if now - at < self.window_s]
        load_count = len(self._started_at) + len(self._assumed_at)
        load_count += len(self._uncertain_until) + planned
        share, until = self._reserved_until
        allowance = self._allowance(loads_per_s)
        if now < until:
            allowance *= 1.0 - share
        return load_count + 1 <= allowance

    def _allowance(self, loads_per_s):
        return loads_per_s * self.window_s * self.excess + BURST_LOADS

    def record_load(self, now: float) -> None:
        """Record a load that was ordered."""
        self._started_at.append(now)

    def start_reserved(
        self, reserved_at: float, loads_per_s: float, now: float
    ) -> bool:
        """Record that a load recorded at ``reserved_at`` starts now instead.

        Return False if it has to wait: other loads may have taken its place after
        its window had passed.
        """
        try:
            self._started_at.remove(reserved_at)
        except ValueError:
            pass
        if not self.allows(loads_per_s, now):
            return False
        self.record_load(now)
        return True

    def record_uncertain_load(self, now: float) -> None:
        """Record an order that may still start a load within the next seconds."""
        self._uncertain_until.append(now + engineorders.MAX_ORDER_DELAY_S)

    def fill_window(self, loads_per_s: float, now: float) -> None:
        """Assume the loads that the rate allows in a window, as started just now.

        The loads of an earlier owner are unknown. NEW_OWNER_LOADS remain available.
        """
        count = int(self._allowance(loads_per_s) - NEW_OWNER_LOADS)
        self._assumed_at += [now] * count

    def replace_assumed(
        self, starts: list[float], reserved_share: float, until: float
    ) -> None:
        """Count these loads of earlier owners instead of the assumed ones.

        ``reserved_share`` of the limit is kept for further ones until ``until``.
        """
        self._assumed_at = list(starts)
        self._reserved_until = (reserved_share, until)

    def assumed_count(self, now: float) -> int:
        """Return the number of loads of earlier owners that count at present."""
        return sum(now - at < self.window_s for at in self._assumed_at)
