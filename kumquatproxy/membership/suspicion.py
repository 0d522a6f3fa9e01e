"""Deadlines after which suspected hosts are declared dead."""

SUSPICION_S = 10.0
"""A suspect has to hear of the suspicion and its refutation has to reach all hosts:
with 76 hosts and 10% loss each of both takes up to 5 s."""


class Suspicions:
    """Keep the deadline of each suspected host."""

    __slots__ = ("_deadlines_by_id",)

    def __init__(self):
        self._deadlines_by_id: dict[str, float] = {}

    def start(self, host_id: str, now: float) -> None:
        """Begin the time in which a host can refute the suspicion."""
        self._deadlines_by_id[host_id] = now + SUSPICION_S

    def end(self, host_id: str) -> None:
        """Drop the suspicion of a host, if there is one."""
        self._deadlines_by_id.pop(host_id, None)

    def extend(self, seconds: float) -> None:
        """Move all deadlines by the time in which this host was paused."""
        for host_id in self._deadlines_by_id:
            self._deadlines_by_id[host_id] += seconds

    def hold(self, now: float) -> None:
        """Keep all deadlines away while this host cannot hear refutations."""
        for host_id, deadline in self._deadlines_by_id.items():
            held = max(deadline, now + SUSPICION_S / 2)
            self._deadlines_by_id[host_id] = held

    def expired(self, now: float) -> list[str]:
        """Return the hosts whose time has passed."""
        return [name for name, at in self._deadlines_by_id.items() if now >= at]
