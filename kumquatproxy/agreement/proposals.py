"""Proposals to the configuration group from any host, through its leader."""

import random
from collections.abc import Callable

from kumquatproxy import errors, records, wire

RESEND_INTERVAL_S = 0.6  # longer than a commit across regions takes
MAX_PENDING = 10_000


@wire.register("propose-command")
class ProposeCommand(wire.Message):
    """Ask a voter to propose a command; ``number`` identifies the answer."""

    __slots__ = ("command", "number")
    command: wire.Message
    number: int


@wire.register("propose-answer")
class ProposeAnswer(wire.Message):
    """Answer a proposal by a result, or by an error kind and the leader's host id."""

    __slots__ = ("answer", "detail", "kind", "leader", "number")
    answer: wire.Message | None
    detail: str
    kind: str
    leader: str
    number: int


class _Pending(records.Record):
    __slots__ = ("command", "deadline", "done", "resend_at", "target")

    def __init__(self, command, deadline, done):
        self.command: wire.Message = command
        self.deadline: float = deadline
        self.done: Callable = done  # called with a message or a ProxyError
        self.resend_at: float = 0.0
        self.target: str = ""


class Proposals:
    """Keep the proposals of one host until they are answered.

    A proposal is repeated until its deadline, so commands must be idempotent.
    """

    __slots__ = ("_leader", "_next_number", "_pending_by_number", "_rng", "_voters")

    def __init__(self, voters, rng: random.Random):
        self._voters: list[str] = list(voters)
        self._rng = rng
        self._leader = ""
        self._next_number = rng.getrandbits(48)
        self._pending_by_number: dict[int, _Pending] = {}

    @property
    def leader(self) -> str:
        """Return the host id of the leader, as last heard."""
        return self._leader

    def propose(self, command, deadline: float, done, now: float) -> list:
        """Start a proposal and return the messages to send."""
        if len(self._pending_by_number) >= MAX_PENDING:
            done(_error(errors.ErrorKind.OVERLOADED, "too many proposals are open"))
            return []
        self._next_number += 1
        pending = _Pending(command, deadline, done)
        self._pending_by_number[self._next_number] = pending
        return [self._send(self._next_number, pending, now)]

    def receive(self, answer: ProposeAnswer, now: float) -> list:
        """Handle the answer of a voter."""
        pending = self._pending_by_number.get(answer.number)
        if pending is None:
            return []
        if answer.kind == errors.ErrorKind.NOT_LEADER.value:
            return self._redirect(answer, pending, now)
        del self._pending_by_number[answer.number]
        if answer.kind:
            pending.done(_error(errors.ErrorKind(answer.kind), answer.detail))
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
        """Return the messages to send again and fail what is past its deadline."""
        sends = []
        for number, pending in list(self._pending_by_number.items()):
            if now >= pending.deadline:
                del self._pending_by_number[number]
                pending.done(
                    _error(
                        errors.ErrorKind.NO_QUORUM,
                        "the configuration group did not answer in time",
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


def _error(kind, detail):
    return errors.ProxyError(kind, detail, executed="unknown")
