"""Retry budget of one entry host.

When many calls fail at once, retries add load to the remaining servers. All entry
hosts together stay within a limit for each service and sliding window. They do not
coordinate: each host allows retries in proportion to its own requests, plus an equal
part of a fixed number of extra retries.
"""

import collections

# Fraction of the allowed retries that is used, a margin for hosts not known yet.
SAFETY_FACTOR = 0.7
# Number of hosts that may have started without being counted yet; the extra retries are
# divided among them too.
UNCOUNTED_HOSTS = 2
# Share of the allowed retries, in whole ones, that is kept for streams that have begun:
# the callers of other calls can be told when to come back.
BEGUN_STREAM_SHARE = 0.2


class RetryBudget:
    """Limit the retries of each service in a sliding window."""

    __slots__ = (
        "_requests",
        "_retries",
        "extra_retries",
        "retries_per_request",
        "window_s",
    )

    def __init__(
        self, retries_per_request: float, extra_retries: float, window_s: float
    ):
        self.retries_per_request = retries_per_request
        self.extra_retries = extra_retries  # divided among all hosts
        self.window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count the first attempt of a call."""
        self._record(self._requests, service, now)

    def record_retry(self, service: str, now: float) -> None:
        """Count a further attempt of a call."""
        self._record(self._retries, service, now)

    def _record(self, times_by_service, service, now):
        times_by_service.setdefault(service, collections.deque()).append(now)

    def allows(
        self,
        service: str,
        host_count: float,
        now: float,
        further_retries: int = 1,
        has_begun: bool = False,
    ) -> bool:
        """Return whether further retries stay within this host's part of the limit.

        ``has_begun`` is True for a stream whose caller has received a part of it.
        """
        requests = self._count(self._requests, service, now)
        retries = self._count(self._retries, service, now)
        hosts = max(1, host_count) + UNCOUNTED_HOSTS
        allowed_retries = (
            self.retries_per_request * requests + self.extra_retries / hosts
        )
        limit = SAFETY_FACTOR * allowed_retries
        if not has_begun:
            limit -= int(BEGUN_STREAM_SHARE * limit)
        return retries + further_retries <= limit

    def _count(self, times_by_service, service, now):
        times = times_by_service.get(service)
        if times is None:
            return 0
        while times and now - times[0] > self.window_s:
            times.popleft()
        return len(times)
