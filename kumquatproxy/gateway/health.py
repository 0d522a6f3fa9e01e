"""What an entry host has seen of each backend server: failures, refusals, latency."""

# After a failed connection or an answer that did not come a server is left out for so
# long; the time doubles with each failure in a row.
FIRST_OUT_S = 0.5
MAX_OUT_S = 4.0
# A server that refuses as full is left out until a few calls have ended there.
FULL_OUT_S = 0.1
# Weight of the newest outcome in the share of failures. A server that fails part of its
# calls while others do not is used less.
FAILURE_WEIGHT = 0.15


class Health:
    """Hold what is known of one lifetime of a backend server."""

    __slots__ = ("_failures_in_row", "failure_share", "full_until", "out_until")

    def __init__(self):
        self._failures_in_row = 0
        self.failure_share = 0.0
        self.full_until = 0.0
        self.out_until = 0.0

    def succeeded(self) -> None:
        """Note a whole answer."""
        self._failures_in_row = 0
        self.out_until = 0.0
        self.failure_share *= 1.0 - FAILURE_WEIGHT

    def failed(self, now: float, is_unreachable: bool) -> None:
        """Note a call without an answer, or a connection that did not open."""
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)
        if is_unreachable:
            wait_s = FIRST_OUT_S * 2.0**self._failures_in_row
            self._failures_in_row = min(self._failures_in_row + 1, 8)
            self.out_until = now + min(MAX_OUT_S, wait_s)

    def refused(self, now: float) -> None:
        """Note that the server is full."""
        self.full_until = now + FULL_OUT_S

    def is_usable(self, now: float) -> bool:
        """Return whether calls may go to the server."""
        return now >= self.out_until and now >= self.full_until
