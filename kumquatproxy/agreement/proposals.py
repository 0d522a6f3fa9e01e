"""Client side of proposals to the configuration group, with redirects to its leader."""

import random
from collections.abc import Callable

from kumquatproxy import errors, records, wire

RESEND_INTERVAL_S = 0.6  # above the time of a commit across regions
MAX_PENDING_PROPOSALS = 10_000


@wire.register("propose-command")
class ProposeCommand(wire.Message):
    """Ask a voter to propose a command; the answer carries the same ``number``."""

    __slots__ = ("command", "number")
    command: wire.Message
    number: int


@wire.register("propose-answer")
class ProposeAnswer(wire.Message):
    """Answer with a result or an error kind, and the host id of the leader."""

    __slots__ = ("answer", "detail", "kind", "leader", "number")
    answer: wire.Message | None
    detail: str
    kind: str
    leader: str
    number: int


class _SentCommand(records.Record):
    __slots__ = ("command", "deadline", "done", "resend_at", "target")

    def __init__(self, command, deadline, done):
        self.command: wire.Message = command
        self.deadline: float = deadline
        # Callback for the result, called with a message or a ProxyError.
        self.done: Callable = done
        self.resend_at: float = 0.0
        self.target: str = ""


class ProposalClient:
    """Track the proposals of one host until they are answered or expire.

    A proposal is sent again until its deadline, so commands must be idempotent.
    """

    __slots__ = ("_leader", "_next_number", "_pending_by_number", "_rng", "_voters")

    def __init__(self, voters, rng: random.Random):
        self._voters: list[str] = list(voters)
        self._rng = rng
        self._leader = ""
        self._next_number = rng.getrandbits(48)
        self._pending_by_number: dict[int, _SentCommand] = {}

    @property
    def leader(self) -> str:
        """Return the last known host id of the leader, empty if unknown."""
        return self._leader

    def propose(self, command, deadline: float, on_result, now: float) -> list:
        """Register a proposal and return the messages to send."""
        if len(self._pending_by_number) >= MAX_PENDING_PROPOSALS:
            on_result(
                _unknown_outcome_error(
                    errors.ErrorKind.OVERLOADED, "too many proposals are pending"
                )
            )
            return []
        self._next_number += 1
        pending = _SentCommand(command, deadline, on_result)
        self._pending_by_number[self._next_number] = pending
        return [self._send(self._next_number, pending, now)]

    def receive(self, answer: ProposeAnswer, now: float) -> list:
        """Handle the answer of a voter and return the messages to send."""
        pending = self._pending_by_number.get(answer.number)
        if pending is None:
            return []
        if answer.kind == errors.ErrorKind.NOT_LEADER.value:
            return self._redirect(answer, pending, now)
        del self._pending_by_number[answer.number]
        if answer.kind:
            pending.done(
                _unknown_outcome_error(errors.ErrorKind(answer.kind), answer.detail)
            )
        else:
            self._leader = answer.leader
            pending.done(answer.answer)
        return []

    def _redirect(self, answer, pending, now):
        if self._leader == pending.target:
            self._leader = ""
        if answer.leader and answer.leader != pending.target:
            self._leader = answer.leader
            return [self._send(answer.number, pending, now)]
        return []

    def tick(self, now: float) -> list:
        """Fail expired proposals and return the messages that are due again."""
        sends = []
        for number, pending in list(self._pending_by_number.items()):
            if now >= pending.deadline:
                del self._pending_by_number[number]
                pending.done(
                    _unknown_outcome_error(
                        errors.ErrorKind.NO_QUORUM,
                        "the configuration group did not answer before the deadline",
                    )
                )
            elif now >= pending.resend_at:
                if self._leader == pending.target:
                    self._leader = ""
                sends.append(self._send(number, pending, now))
        return sends

    def _send(self, number, pending, now):
        pending.target = self._leader or self._rng.choice(self._voters)
        pending.resend_at = now + RESEND_INTERVAL_S
        return wire.Send(pending.target, ProposeCommand(pending.command, number))


def _unknown_outcome_error(kind, detail):
    return errors.ProxyError(kind, detail, executed="unknown")
