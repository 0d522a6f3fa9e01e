"""State of a call: its attempts, and what it can fall back to.

A server that falls silent for a moment may be sound. Its attempt is kept until another
server has accepted the call, because that one may refuse it or break off.
"""

from kumquatproxy import memorybudget
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import (
    backendconnections,
    calls,
    eventstream,
    framing,
    serverselection,
)


class Attempt:
    """Hold one attempt at a server: its connection, the response so far, the outcome.

    An attempt that was left because of silence can be continued from this state.
    """

    __slots__ = (
        "announcement",
        "body",
        "candidate_count",
        "choice",
        "detail",
        "event_count",
        "first_event_at",
        "has_host_answered",
        "head",
        "holding",
        "in_flight_call",
        "is_discarding",
        "is_forwarded",
        "is_response_read",
        "link",
        "lowest_delay_s",
        "outcome",
        "sent_at",
        "splitter",
        "started_at",
    )

    def __init__(
        self,
        announcement,
        candidate_count,
        lowest_delay_s,
        now,
        budget: memorybudget.MemoryBudget,
        is_forwarded=False,
    ):
        self.announcement: servers.Announcement = announcement
        self.is_forwarded: bool = is_forwarded  # to another host, not to a server
        # The other host has said that the server it tried failed.
        self.has_host_answered = False
        self.candidate_count: int = candidate_count  # servers that can serve the call
        # Predicted, among all candidates; not of the selected server.
        self.lowest_delay_s: float = lowest_delay_s
        # None for an attempt at another host.
        self.choice: serverselection.Candidate | None = None
        self.outcome: calls.Outcome | None = None
        self.detail = ""
        self.started_at: float = now
        # None before the attempt is sent and after it has ended.
        self.link: backendconnections.BackendConnection | None = None
        self.in_flight_call: serverselection.InFlightCall | None = None
        self.head: calls.ResponseHead | None = None  # of a response to be relayed
        self.first_event_at: float | None = None  # of a stream
        self.event_count = 0  # received of a stream
        self.body = bytearray()  # received so far, of a response that is held
        self.holding = memorybudget.Holding(budget)  # covers the body or stream data
        self.splitter = eventstream.EventSplitter()
        self.is_discarding = False  # reads the rest of a response to an earlier call
        self.is_response_read = False  # to its end
        self.sent_at = 0.0


class ErrorResponse:
    """Hold a complete error response of a server that another server may replace."""

    __slots__ = ("body", "head")

    def __init__(self, head, body):
        self.head: calls.ResponseHead = head
        self.body: bytes = body


class Progress:
    """Hold the state of a call across its attempts."""

    __slots__ = (
        "attempts",
        "error_response",
        "excluded_lifetimes",
        "fallback",
        "has_body_begun",
        "has_reserved_retry",
        "has_response_begun",
        "last_event_id",
        "possible_executions",
        "stream_type",
        "unexecuted_attempts",
        "waited_s",
    )

    def __init__(self):
        self.attempts: list[Attempt] = []
        # A silent attempt, kept while the next one has not been accepted.
        self.fallback: Attempt | None = None
        # The newest one, for the caller if no other server sends a response.
        self.error_response: ErrorResponse | None = None
        self.has_reserved_retry = False  # counted in the retry budget, not yet used
        self.has_response_begun = False  # the caller has received a head
        # Parts of a body that is no stream follow, so no other response can.
        self.has_body_begun = False
        self.last_event_id = ""  # of the last event the caller has received
        self.stream_type = b""  # media type of the response that has begun
        self.unexecuted_attempts = 0
        # Attempts that have ended or were left, and may have executed the call.
        self.possible_executions = 0
        self.excluded_lifetimes: set[tuple] = set()  # server runs not to be tried
        self.waited_s = 0.0

    def release_memory(self) -> None:
        """Stop counting what the attempts hold, as the call has ended."""
        for attempt in self.attempts:
            attempt.holding.release()

    def may_have_executed(self) -> bool:
        """Return whether a server may have executed the call or may still do so."""
        return any(
            attempt.outcome is not None and attempt.outcome not in calls.NOT_EXECUTED
            for attempt in self.attempts
        )

    def has_broken_attempt(self) -> bool:
        """Return whether a server ended an attempt without a complete response."""
        return any(attempt.outcome is calls.Outcome.LOST for attempt in self.attempts)

    def accepts(self, head: calls.ResponseHead) -> bool:
        """Return whether a response replaces the fallback."""
        if self.has_response_begun:
            return self.continues(head)
        return head.status < calls.MIN_SERVER_ERROR_STATUS

    def continues(self, head: calls.ResponseHead) -> bool:
        """Return whether a response can go on with the stream that has begun."""
        is_same_type = framing.media_type(head.headers) == self.stream_type
        return head.status == calls.STREAM_STATUS and is_same_type

    def keep_silent(self, attempt: Attempt) -> None:
        """Keep a silent attempt as the fallback; it counts as left."""
        self.fallback = attempt
        self.possible_executions += 1

    def return_to_fallback(self) -> Attempt:
        """Return the silent attempt, which is in progress again."""
        attempt, self.fallback = self.fallback, None
        assert attempt is not None
        attempt.outcome = calls.Outcome.LOST
        self.possible_executions -= 1
        return attempt
