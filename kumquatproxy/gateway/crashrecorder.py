"""Evidence on crashed servers from the attempts of one entry host."""

from kumquatproxy import clock
from kumquatproxy.gateway import backendconnections, calls, crashingparts, crashprobe


class CrashRecorder:
    """Record which attempts crashed their servers, and which ones were answered.

    ``host`` is the host that makes the attempts.
    """

    __slots__ = ("_host", "_probe")

    def __init__(self, host, links: backendconnections.ConnectionPool):
        self._host = host
        self._probe = crashprobe.CrashProbe(links)

    def record_soundness(self, call: calls.Call, attempt) -> None:
        """Record that a server has answered a call, or has begun to and is up."""
        now = clock.now()
        is_up_since_event = (
            attempt.first_event_at is not None
            and now - attempt.first_event_at >= crashingparts.SOUND_AFTER_S
        )
        is_answered = attempt.outcome is calls.Outcome.ANSWERED
        if is_answered or is_up_since_event:
            self._host.crashes.record_answer(call, now, is_complete=is_answered)

    def record_break(self, call: calls.Call, attempt) -> bool:
        """Record that a server broke off a call; return whether its prompt is suspect.

        Whether the server has crashed may be known later.
        """
        now = clock.now()
        ran_s = None
        if attempt.first_event_at is not None:
            ran_s = now - attempt.first_event_at
        has_begun = attempt.head is not None
        return self._host.crashes.record_break(
            call, attempt.announcement, has_begun, now, ran_s, attempt.sent_at
        )

    def record_departure(self, call: calls.Call, attempt) -> None:
        """Record that an attempt is given up while its server may be running it."""
        if attempt.sent_at and not (attempt.is_response_read or attempt.is_forwarded):
            self._host.crashes.record_departure(
                call,
                attempt.announcement,
                attempt.sent_at,
                clock.now(),
                attempt.first_event_at is not None,
            )

    def has_crashed_server(self, call: calls.Call, attempt) -> bool:
        """Return whether a call has probably crashed a server, and record a crash.

        Only evidence against its prompt counts: any call may be beside another one that
        crashes its server.
        """
        if attempt.is_response_read or attempt.is_forwarded:
            return False
        announcement = attempt.announcement
        has_bad_prompt = self.record_break(call, attempt)
        # A host that was paused reads the end of a connection late.
        is_back = self._host.table.has_successor(announcement)
        if not is_back and not self._probe.has_crashed(announcement):
            return False
        now = clock.now()
        self._host.crashes.confirm_crash(announcement.lifetime, now)
        view = self._host.server_selector.view(announcement)
        view.health.record_failure(now, is_unreachable=True)
        return attempt.head is not None and has_bad_prompt
