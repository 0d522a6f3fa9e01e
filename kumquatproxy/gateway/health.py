"""Health of backend servers as seen by an entry host: failures and rejected calls."""

# A server that cannot be reached is ejected for this time, which doubles with each
# consecutive failure.
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Backoff after a server reports that it did not execute a call, usually because it is
# full: time for a few calls to end.
NOT_EXECUTED_BACKOFF_S = 0.1
# Weight of the newest outcome in the moving average of failures, which lets a server
# that fails part of its calls receive fewer of them.
FAILURE_RATE_WEIGHT = 0.15


class Health:
    """Track the health of one run of a backend server, from its start to its end."""

    __slots__ = (
        "_consecutive_failures",
        "backoff_until",
        "ejected_until",
        "failure_rate",
    )

    def __init__(self):
        self._consecutive_failures = 0
        self.failure_rate = 0.0
        self.backoff_until = 0.0
        self.ejected_until = 0.0

    def record_success(self) -> None:
        """Record a complete response."""
        self._consecutive_failures = 0
        self.ejected_until = 0.0
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT

    def record_failure(self, now: float, is_unreachable: bool) -> None:
        """Record an attempt that failed for another reason than a rejection."""
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate)
        if is_unreachable:
            ejection_s = INITIAL_EJECTION_S * 2.0**self._consecutive_failures
            self._consecutive_failures = min(self._consecutive_failures + 1, 8)
            self.ejected_until = now + min(MAX_EJECTION_S, ejection_s)

    def record_not_executed(self, now: float) -> None:
        """Record that the server reported that it did not execute a call."""
        self.backoff_until = now + NOT_EXECUTED_BACKOFF_S

    def is_usable(self, now: float) -> bool:
        """Return whether the server is neither ejected nor in backoff."""
        return now >= self.ejected_until and now >= self.backoff_until

    def usable_in_s(self, now: float) -> float:
        """Return the time until the server is neither ejected nor in backoff."""
        return max(0.0, self.ejected_until - now, self.backoff_until - now)
