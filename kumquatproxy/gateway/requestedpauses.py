"""Pauses that servers ask a host for when they turn a request away.

A server says for how long it wants nothing from the host that sent the request. It asks
each host by itself, so hosts do not tell each other.
"""

from kumquatproxy import logs
from kumquatproxy.gateway import calls

PAUSE_STATUS = 503
# Longer pauses end after this time, because a server that is sound again cannot say so.
MAX_PAUSE_S = 3600.0


class Pause:
    """Hold the pause that one lifetime of a server has asked for."""

    __slots__ = ("ends_at",)

    def __init__(self):
        self.ends_at = 0.0


class RequestedPauses:
    """Track the pauses that servers have asked this host for."""

    def __init__(self):
        self._log = logs.Log("limit")
        self._pauses_by_lifetime: dict[tuple, Pause] = {}

    def record_answer(
        self, announcement, head: calls.ResponseHead, sent_at: float, now: float
    ) -> None:
        """Record whether a server asks for a pause in an answer.

        A pause that ends sooner than a known one does not shorten it.
        """
        if head.status != PAUSE_STATUS or not head.names_pause:
            return
        if head.pause_s is None:
            self._log.write_limited(
                now,
                f"unreadable-{announcement.instance_id}",
                f"server {announcement.instance_id} asks for a pause that cannot be "
                "read",
                request_id=head.echoed_id,
            )
            return
        pause = self._pauses_by_lifetime.setdefault(announcement.lifetime, Pause())
        ends_at = now + min(head.pause_s, MAX_PAUSE_S)
        if now >= pause.ends_at or head.pause_s > MAX_PAUSE_S:
            self._log.write_limited(
                now,
                announcement.instance_id,
                f"server {announcement.instance_id} asks for a pause of "
                f"{head.pause_s:g} s",
                born_ms=announcement.born_ms,
                request_id=head.echoed_id,
            )
        pause.ends_at = max(pause.ends_at, ends_at)

    def count(self, now: float) -> int:
        """Return the number of servers that have asked for a pause that goes on."""
        return sum(now < pause.ends_at for pause in self._pauses_by_lifetime.values())

    def expire(self, now: float) -> None:
        """Forget the pauses that have ended."""
        for lifetime, pause in list(self._pauses_by_lifetime.items()):
            if now >= pause.ends_at:
                del self._pauses_by_lifetime[lifetime]
