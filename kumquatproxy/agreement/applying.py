"""Applying committed entries to a state machine and answering their proposers."""

from collections.abc import Callable

from kumquatproxy import errors, wire
from kumquatproxy.agreement import replicalog

SNAPSHOT_EVERY_ENTRIES = 5000


class Waiting:
    """Hold a proposal whose outcome is not known yet."""

    __slots__ = ("answer", "term")

    def __init__(self, term, answer):
        self.term: int = term
        self.answer: Callable = answer  # called with a message or a ProxyError


class Applier:
    """Apply each committed entry once, in order."""

    def __init__(self, machine, snapshot_every=SNAPSHOT_EVERY_ENTRIES):
        self.machine = machine
        self.applied_index = 0
        self._snapshot_every: int = snapshot_every
        self._snapshot_index = 0
        # A leader that loses and regains its role may propose at an index again.
        self._waiting_by_index: dict[int, list[Waiting]] = {}

    def add_callback(self, proposal, answer: Callable) -> None:
        """Call ``answer`` with the result once the proposal's outcome is known."""
        waiting = Waiting(proposal.term, answer)
        self._waiting_by_index.setdefault(proposal.index, []).append(waiting)

    def restore(self, snapshot: replicalog.Snapshot) -> None:
        """Take over the state of a snapshot."""
        if snapshot.data:
            self.machine.restore(snapshot.data)
        self.applied_index = self._snapshot_index = snapshot.index
        for index in sorted(self._waiting_by_index):
            if index <= snapshot.index:
                for waiting in self._waiting_by_index.pop(index):
                    waiting.answer(_unknown("in a snapshot"))

    def apply(self, entries: list[replicalog.Entry]) -> None:
        """Apply committed entries and answer those who proposed them."""
        for entry in entries:
            if entry.index != self.applied_index + 1:
                raise errors.ProxyError(
                    errors.ErrorKind.INTERNAL,
                    f"entry {entry.index} does not follow {self.applied_index}",
                )
            result = self._result_of(entry)
            self.applied_index = entry.index
            for waiting in self._waiting_by_index.pop(entry.index, ()):
                waiting.answer(result if waiting.term == entry.term else _dropped())

    def _result_of(self, entry):
        if entry.kind is not replicalog.EntryKind.COMMAND:
            return None
        try:
            return self.machine.apply(wire.decode(entry.data))
        except errors.ProxyError as error:
            return error

    def fail_pending(self, detail: str) -> None:
        """Answer all proposers that the outcome stays unknown."""
        by_index, self._waiting_by_index = self._waiting_by_index, {}
        for index in sorted(by_index):
            for waiting in by_index[index]:
                waiting.answer(_unknown(detail))

    def snapshot(self) -> bytes | None:
        """Return the state if enough entries were applied since the last snapshot."""
        if self.applied_index - self._snapshot_index < self._snapshot_every:
            return None
        self._snapshot_index = self.applied_index
        return self.machine.snapshot()


def _dropped():
    detail = "another leader's entry took the place of the proposal"
    return errors.ProxyError(errors.ErrorKind.NOT_LEADER, detail, "no")


def _unknown(detail):
    detail = f"the outcome of the proposal is not known: {detail}"
    return errors.ProxyError(errors.ErrorKind.NO_QUORUM, detail, "unknown")
