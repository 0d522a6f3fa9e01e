"""Application of committed entries to a state machine and answers to proposers."""

from collections.abc import Callable

from kumquatproxy import errors, wire
from kumquatproxy.agreement import replicalog

SNAPSHOT_INTERVAL_ENTRIES = 5000
# A member that joins gets the last snapshot and the log since then, so both are bounded
# in bytes. A large state is written less often than the log grows by its size.
SNAPSHOT_INTERVAL_BYTES = 512 * 1024
MIN_LOG_PER_SNAPSHOT = 2.0  # bytes of the log for each byte of the snapshot


class PendingResult:
    """Hold the term of a proposed entry and the callback for its result."""

    __slots__ = ("callback", "term")

    def __init__(self, term, callback):
        self.term: int = term
        self.callback: Callable = callback  # called with a message or a ProxyError


class Applier:
    """Apply each committed entry exactly once, in log order."""

    def __init__(self, machine, snapshot_interval_entries=SNAPSHOT_INTERVAL_ENTRIES):
        self.machine = machine
        self.applied_index = 0
        self._snapshot_interval_entries: int = snapshot_interval_entries
        self._snapshot_index = 0
        self._snapshot_bytes = 0
        self._log_bytes = 0  # of the entries applied since the snapshot
        # A member that loses and regains leadership may propose at the same index
        # again.
        self._pending_by_index: dict[int, list[PendingResult]] = {}

    def add_callback(self, position, callback: Callable) -> None:
        """Call ``callback`` with the result of the entry proposed at ``position``.

        It is called with a ProxyError if the entry was replaced or its outcome cannot
        be known.
        """
        pending = PendingResult(position.term, callback)
        self._pending_by_index.setdefault(position.index, []).append(pending)

    def restore(self, snapshot: replicalog.Snapshot) -> None:
        """Restore the state machine; fail proposals that the snapshot covers."""
        if snapshot.data:
            self.machine.restore(snapshot.data)
        self.applied_index = snapshot.index
        self._record_snapshot(snapshot.data)
        for index in sorted(self._pending_by_index):
            if index <= snapshot.index:
                for pending in self._pending_by_index.pop(index):
                    pending.callback(
                        _unknown_outcome_error("its index is covered by a snapshot")
                    )

    def apply(self, entries: list[replicalog.Entry]) -> None:
        """Apply committed entries and call back their proposers."""
        for entry in entries:
            if entry.index != self.applied_index + 1:
                raise errors.ProxyError(
                    errors.ErrorKind.INTERNAL,
                    f"entry {entry.index} does not follow entry {self.applied_index}",
                )
            result = self._result_of(entry)
            self.applied_index = entry.index
            self._log_bytes += len(entry.data)
            for pending in self._pending_by_index.pop(entry.index, ()):
                pending.callback(
                    result if pending.term == entry.term else _replaced_error()
                )

    def _result_of(self, entry):
        if entry.kind is not replicalog.EntryKind.COMMAND:
            return None
        try:
            return self.machine.apply(wire.decode(entry.data))
        except errors.ProxyError as error:
            return error

    def fail_pending(self, detail: str) -> None:
        """Fail all pending proposals with an unknown outcome."""
        pending_by_index, self._pending_by_index = self._pending_by_index, {}
        for index in sorted(pending_by_index):
            for pending in pending_by_index[index]:
                pending.callback(_unknown_outcome_error(detail))

    def snapshot(self) -> bytes | None:
        """Return the encoded state if a new snapshot is due, otherwise None."""
        if not self._is_snapshot_due():
            return None
        data = self.machine.snapshot()
        self._record_snapshot(data)
        return data

    def _is_snapshot_due(self):
        entries = self.applied_index - self._snapshot_index
        interval_bytes = max(
            SNAPSHOT_INTERVAL_BYTES, MIN_LOG_PER_SNAPSHOT * self._snapshot_bytes
        )
        return (
            entries >= self._snapshot_interval_entries
            or self._log_bytes >= interval_bytes
        )

    def _record_snapshot(self, data):
        self._snapshot_index = self.applied_index
        self._snapshot_bytes = len(data)
        self._log_bytes = 0


def _replaced_error():
    detail = "an entry of another term replaced the proposal"
    return errors.ProxyError(errors.ErrorKind.NOT_LEADER, detail, "no")


def _unknown_outcome_error(detail):
    detail = f"the outcome of the proposal is unknown: {detail}"
    return errors.ProxyError(errors.ErrorKind.NO_QUORUM, detail, "unknown")
