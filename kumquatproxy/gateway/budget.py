"""Share of the retries that one of several entry hosts may make.

Load pattern: many calls fail at once, and each retry adds load to what is left. All
hosts together stay under a limit for each service and sliding window, although they
do not talk about it: each one uses a share that is safe for the number of hosts.
"""

import collections

# Of the allowance, so that hosts that are not known yet have room.
SAFETY = 0.7
# Hosts that may have started without being counted yet.
UNCOUNTED_HOSTS = 2


class RetryBudget:
    """Limit the repeats of each service in a sliding window."""

    __slots__ = ("_repeats", "_requests", "share", "slack", "window_s")

    def __init__(self, share: float, slack: float, window_s: float):
        self.share = share  # repeats for each request
        self.slack = slack  # repeats beyond that, of all hosts together
        self.window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Note the first dispatch of a call."""
        self._note(self._requests, service, now)

    def note_repeat(self, service: str, now: float) -> None:
        """Note a further dispatch of a call."""
        self._note(self._repeats, service, now)

    def _note(self, times_by_service, service, now):
        times_by_service.setdefault(service, collections.deque()).append(now)

    def allows(self, service: str, host_count: int, now: float) -> bool:
        """Return whether one more repeat keeps within this host's share."""
        requests = self._count(self._requests, service, now)
        repeats = self._count(self._repeats, service, now)
        hosts = max(1, host_count) + UNCOUNTED_HOSTS
        allowance = self.share * requests + self.slack / hosts
        return repeats + 1 <= SAFETY * allowance

    def _count(self, times_by_service, service, now):
        times = times_by_service.get(service)
        if times is None:
            return 0
        while times and now - times[0] > self.window_s:
            times.popleft()
        return len(times)
