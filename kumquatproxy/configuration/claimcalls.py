"""Host side of one call with an idempotency key, as a state machine without I/O.

It claims the key, dispatches the request at most once and records the outcome. The
class that uses it carries out the returned actions.
"""

import enum

from kumquatproxy import errors, records, wire
from kumquatproxy.configuration import claimrecords

# A proposal or its answer may be lost; the retry has the same attempt number.
RETRY_INTERVAL_S = 1.0

Outcome = claimrecords.Outcome


class Phase(enum.Enum):
    """The stage of a call."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    ENDED = "ended"  # the dispatch ended; its outcome may be UNKNOWN
    REFUSED = "refused"  # answered without dispatch; it must not be dispatched later


class Propose(records.Record):
    """Action: propose a command; the leader sets its time."""

    __slots__ = ("command",)

    def __init__(self, command):
        self.command: wire.Message = command


class Dispatch(records.Record):
    """Action: dispatch the request, once."""

    __slots__ = ()


class Reply(records.Record):
    """Action: answer the caller."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer: wire.Message = answer


class ClaimCall:
    """State machine of one call on one host.

    The request is dispatched only after ``ClaimGranted``, and never after the caller
    has been told that it was not executed.
    """

    __slots__ = ("_begin", "_deadline", "_pending_finish", "_retry_at", "phase")

    def __init__(self, begin: claimrecords.BeginClaim, deadline: float):
        self.phase = Phase.CLAIMING
        self._begin = begin
        self._deadline = deadline
        self._pending_finish: claimrecords.FinishClaim | None = None
        self._retry_at = 0.0

    def tick(self, now: float) -> list[records.Record]:
        """Return the proposals that are due.

        After the deadline, refuse the call and propose the release of its key.
        """
        if self.phase is Phase.CLAIMING and now >= self._deadline:
            refusal = claimrecords.refusal(errors.ErrorKind.NO_QUORUM)
            return [*self._refuse(refusal), *self._propose(now)]
        if now < self._retry_at:
            return []
        return self._propose(now)

    def handle_answer(self, answer: wire.Message, now: float) -> list[records.Record]:
        """Handle the answer to ``BeginClaim``."""
        is_granted = isinstance(answer, claimrecords.ClaimGranted)
        if self.phase is Phase.CLAIMING and is_granted:
            if now >= self._deadline:
                return self.tick(now)
            self.phase = Phase.DISPATCHED
            return [Dispatch()]
        if self.phase is Phase.CLAIMING:
            self.phase = Phase.REFUSED
            return [Reply(answer)]
        if self.phase is Phase.REFUSED and is_granted:
            # Granted after the caller was refused, so the key is released.
            self._release_key()
            return self._propose(now)
        return []

    def record_outcome(
        self, outcome: Outcome, status: int, headers: list, body: bytes, now: float
    ) -> list[records.Record]:
        """Answer the caller and propose the outcome of the dispatch."""
        self.phase = Phase.ENDED
        self._pending_finish = self._finish_command(outcome, status, headers, body)
        answers = {
            Outcome.DONE: claimrecords.ClaimResult(body, headers, status),
            Outcome.UNKNOWN: claimrecords.refusal(errors.ErrorKind.RESULT_UNKNOWN),
            Outcome.NOT_EXECUTED: claimrecords.refusal(
                errors.ErrorKind.NO_BACKEND_SERVER
            ),
        }
        return [Reply(answers[outcome]), *self._propose(now)]

    def confirm_outcome(self) -> None:
        """Stop proposing the outcome, because it is committed."""
        self._pending_finish = None

    def _refuse(self, refusal):
        self.phase = Phase.REFUSED
        self._release_key()
        return [Reply(refusal)]

    def _release_key(self):
        self._pending_finish = self._finish_command(Outcome.NOT_EXECUTED, 0, [], b"")

    def _propose(self, now):
        self._retry_at = now + RETRY_INTERVAL_S
        if self.phase is Phase.CLAIMING:
            return [Propose(self._begin)]
        return (
            [Propose(self._pending_finish)] if self._pending_finish is not None else []
        )

    def _finish_command(self, outcome, status, headers, body):
        begin = self._begin
        return claimrecords.FinishClaim(
            at=0.0,
            attempt=begin.attempt,
            body=body,
            headers=headers,
            host=begin.host,
            incarnation=begin.incarnation,
            key=begin.key,
            organisation=begin.organisation,
            outcome=int(outcome),
            service=begin.service,
            status=status,
        )
