"""Host side of one keyed call: claim, dispatch at most once, record the outcome."""

import enum

from kumquatproxy import errors, records, wire
from kumquatproxy.configuration import claimrecords

# A proposal or its answer may be lost; the repeat carries the same attempt number.
REPEAT_S = 1.0

Outcome = claimrecords.Outcome


class Phase(enum.Enum):
    """Name how far a call has come."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    ENDED = "ended"  # dispatched once, with an outcome to record
    REFUSED = "refused"  # answered without a dispatch; none may follow


class Propose(records.Record):
    """Ask the edge to propose a command; the leader stamps its time."""

    __slots__ = ("command",)

    def __init__(self, command):
        self.command: wire.Message = command


class Dispatch(records.Record):
    """Ask the edge to dispatch the request, once."""

    __slots__ = ()


class Reply(records.Record):
    """Ask the edge to answer the caller."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer: wire.Message = answer


class ClaimCall:
    """Decide about one call of one host.

    The request is dispatched only after ``ClaimGranted`` and never after the caller was
    told that it was not executed.
    """

    __slots__ = ("_begin", "_deadline", "_finish", "_repeat_at", "phase")

    def __init__(self, begin: claimrecords.BeginClaim, deadline: float):
        self.phase = Phase.CLAIMING
        self._begin = begin
        self._deadline = deadline
        self._finish: claimrecords.FinishClaim | None = None
        self._repeat_at = 0.0

    def tick(self, now: float) -> list[records.Record]:
        """Return the proposals that are due, or a refusal at the deadline."""
        if self.phase is Phase.CLAIMING and now >= self._deadline:
            refusal = claimrecords.refusal(errors.ErrorKind.NO_QUORUM)
            return [*self._refuse(refusal), *self._propose(now)]
        if now < self._repeat_at:
            return []
        return self._propose(now)

    def handle_answer(self, answer: wire.Message, now: float) -> list[records.Record]:
        """Use the answer to ``BeginClaim``."""
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
            # The claim was granted after the caller had its answer.
            self._release()
            return self._propose(now)
        return []

    def record_outcome(
        self, outcome: Outcome, status: int, headers: list, body: bytes, now: float
    ) -> list[records.Record]:
        """Record the outcome of the dispatch and return the answer for the caller."""
        self.phase = Phase.ENDED
        self._finish = self._finish_command(outcome, status, headers, body)
        answers = {
            Outcome.DONE: claimrecords.ClaimResult(body, headers, status),
            Outcome.UNKNOWN: claimrecords.refusal(errors.ErrorKind.RESULT_UNKNOWN),
            Outcome.NOT_EXECUTED: claimrecords.refusal(
                errors.ErrorKind.NO_BACKEND_SERVER
            ),
        }
        return [Reply(answers[outcome]), *self._propose(now)]

    def confirm_outcome(self) -> None:
        """Note that the outcome is committed; it is not proposed again."""
        self._finish = None

    def _refuse(self, refusal):
        self.phase = Phase.REFUSED
        self._release()
        return [Reply(refusal)]

    def _release(self):
        self._finish = self._finish_command(Outcome.NOT_EXECUTED, 0, [], b"")

    def _propose(self, now):
        self._repeat_at = now + REPEAT_S
        if self.phase is Phase.CLAIMING:
            return [Propose(self._begin)]
        return [Propose(self._finish)] if self._finish is not None else []

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
