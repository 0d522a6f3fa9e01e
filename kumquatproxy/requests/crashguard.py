"""Rejection of repeated calls that crash their backend servers, at one entry host.

The evidence is judged as in ``gateway.crashingcalls``. Hosts do not share it here, so
each host can lose three servers to a call before it rejects the repetitions.
"""

from kumquatproxy import clock, errors
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import (
    backendconnections,
    calls,
    crashes,
    crashprobe,
    sharedfacts,
)


class CrashGuard:
    """Track the calls that were in flight at crashed servers of one host."""

    __slots__ = ("_probe", "_tracker")

    def __init__(self, links: backendconnections.ConnectionPool):
        table = sharedfacts.FactTable()
        self._tracker = crashes.CrashTracker("", table, table.merge)
        self._probe = crashprobe.CrashProbe(links)

    def check(self, subject: calls.Call) -> None:
        """Raise ProxyError if a call is a repetition of one that crashes servers."""
        now = clock.now()
        blame = self._tracker.find_blame(subject, now)
        if blame is not None:
            raise errors.ProxyError(
                errors.ErrorKind.REQUEST_CRASHES_SERVERS,
                "servers crashed each time they got this request",
                retry_after_s=self._tracker.retry_after_s(blame, now),
            )

    def record_answer(self, subject: calls.Call) -> None:
        """Record that a server has answered a call completely."""
        self._tracker.record_answer(subject, clock.now())

    def record_break(self, subject: calls.Call, server, ran_s: float | None) -> None:
        """Record that a server broke off a call, and find out if it has crashed.

        ``ran_s`` is the time since the first token, None before it.
        """
        # Connections are pooled by address.
        announcement = servers.Announcement(
            server.address,
            server.service,
            server.address,
            server.data_centre,
            server.incarnation,
        )
        self._tracker.record_break(
            subject, announcement, False, clock.now(), ran_s=ran_s
        )
        if self._probe.has_crashed(announcement):
            self._tracker.confirm_crash(announcement.lifetime, clock.now())

    def end(self, subject: calls.Call) -> None:
        """Let another call be sent as a trial if this one was."""
        self._tracker.end_call(subject, clock.now())


def make_subject(call, method: str, path: str, body: bytes) -> calls.Call:
    """Return what a call has in common with its repetitions."""
    subject = calls.Call(
        method.encode(), path.encode(), call.organisation, [], body, call.arrived_at
    )
    subject.service = call.service
    return subject
