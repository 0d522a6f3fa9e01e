"""Timeouts after which suspected hosts are declared dead."""

SUSPICION_TIMEOUT_S = 10.0
"""The suspicion must reach the suspect and its refutation must reach all hosts; each
takes up to 5 s with 76 hosts and 10% message loss."""


class Suspicions:
    """Keep the deadline of each suspected host."""

    __slots__ = ("_deadlines_by_id",)

    def __init__(self):
        self._deadlines_by_id: dict[str, float] = {}

    def start(self, host_id: str, now: float) -> None:
        """Start the timeout within which a host can refute the suspicion."""
        self._deadlines_by_id[host_id] = now + SUSPICION_TIMEOUT_S

    def end(self, host_id: str) -> None:
        """Cancel the suspicion of a host, if there is one."""
        self._deadlines_by_id.pop(host_id, None)

    def extend(self, seconds: float) -> None:
        """Extend all deadlines by the time during which this host was paused."""
        for host_id in self._deadlines_by_id:
            self._deadlines_by_id[host_id] += seconds

    def ensure_time_left(self, now: float) -> None:
        """Move each deadline to at least half a timeout from now.

        This is called while this host is isolated and cannot receive refutations.
        """
        for host_id, deadline in self._deadlines_by_id.items():
            postponed = max(deadline, now + SUSPICION_TIMEOUT_S / 2)
            self._deadlines_by_id[host_id] = postponed

    def expired(self, now: float) -> list[str]:
        """Return the hosts whose timeout has expired."""
        return [
            host_id
            for host_id, deadline in self._deadlines_by_id.items()
            if now >= deadline
        ]
