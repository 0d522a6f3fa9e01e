"""How long other hosts have been silent, across changes of the leader and restarts."""

from collections.abc import Iterable

# Silence is stored in steps of this length. A shorter one than the minimum is usual, as
# hosts send each other a message a second.
STORED_STEP_S = 0.5
MIN_STORED_S = 1.0


class Contacts:
    """Track when each other host was last heard.

    The silence of a host that was not heard since this start is counted from the start,
    and continues what ``silence_by_host`` tells of the time before it. The time in
    which this process did not run is not counted.
    """

    __slots__ = ("_heard_at_by_host", "_silence_by_host", "_started_at")

    def __init__(self, now: float, silence_by_host: dict[str, float] | None = None):
        self._started_at: float = now
        self._silence_by_host: dict[str, float] = dict(silence_by_host or {})
        self._heard_at_by_host: dict[str, float] = {}

    def record(self, host: str, now: float) -> None:
        """Record a message of a host."""
        self._heard_at_by_host[host] = now
        self._silence_by_host.pop(host, None)

    def silent_s(self, host: str, now: float) -> float:
        """Return for how long a host has been silent, in seconds."""
        heard_at = self._heard_at_by_host.get(host)
        if heard_at is not None:
            return now - heard_at
        return now - self._started_at + self._silence_by_host.get(host, 0.0)

    def stored_silence(
        self, hosts: Iterable[str], max_s: float, now: float
    ) -> dict[str, float]:
        """Return the silence of hosts to store, in seconds, without short ones.

        It changes in steps and not beyond ``max_s``, so it is written a few times.
        """
        stored = {}
        for host in sorted(hosts):
            silent_s = min(self.silent_s(host, now), max_s)
            if silent_s >= MIN_STORED_S:
                stored[host] = silent_s // STORED_STEP_S * STORED_STEP_S
        return stored
