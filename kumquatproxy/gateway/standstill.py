"""Standstills of an entry host, after which what it knows of servers is old.

A process that gets no processor time for a while goes on where it was. Servers may have
left meanwhile, and the messages that say so are not read yet.
"""

import math

# A tick that is later than this, well above its interval, follows a standstill.
MIN_STANDSTILL_S = 1.0
# Time in which the messages that follow the first one are read.
READING_S = 0.1
# Calls do not wait longer for a control host, as none may be reachable.
MAX_HOLD_S = 1.0


class Standstill:
    """Tell how long calls wait until a control host was heard after a standstill."""

    __slots__ = ("_hold_ends_at", "_ticked_at", "_woke_at")

    def __init__(self):
        self._ticked_at = math.inf  # none yet
        self._woke_at = -math.inf
        self._hold_ends_at = -math.inf

    def record_tick(self, now: float) -> float:
        """Return the length of the standstill that has ended, 0.0 without one."""
        late_s = max(0.0, now - self._ticked_at)
        self._ticked_at = now
        if late_s < MIN_STANDSTILL_S:
            return 0.0
        self._woke_at = now
        self._hold_ends_at = now + MAX_HOLD_S
        return late_s

    def record_message(self, now: float) -> None:
        """Record that a message of a control host was read."""
        if now > self._woke_at:
            self._hold_ends_at = min(self._hold_ends_at, now + READING_S)

    def hold_s(self, now: float) -> float:
        """Return for how long nothing is sent to servers; 0.0 at usual times."""
        if now - self._ticked_at >= MIN_STANDSTILL_S:
            return READING_S  # until the next tick
        return max(0.0, self._hold_ends_at - now)
