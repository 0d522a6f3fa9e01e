"""Log, snapshot and voter sets of one member, with commit and persistence indices."""

from kumquatproxy import errors
from kumquatproxy.agreement import groupsettings, replicalog, voterset


class LogState:
    """Keep the log of a member and the indices that track its progress.

    Entries up to ``commit_index`` are committed, those up to ``persisted_index`` are on
    the disk of this member, and those up to ``handed_out_index`` have been returned
    by ``take_committed`` to be applied.
    """

    __slots__ = (
        "_next_unwritten_index",
        "_snapshot_to_restore",
        "_unwritten_snapshot",
        "_voter_sets",
        "commit_index",
        "handed_out_index",
        "log",
        "persisted_index",
        "snapshot",
    )

    def __init__(self, persisted_state):
        self.snapshot: replicalog.Snapshot = persisted_state.snapshot
        self.log = replicalog.ReplicaLog(
            self.snapshot.index, self.snapshot.term, persisted_state.entries
        )
        self.commit_index: int = self.snapshot.index
        self.handed_out_index: int = self.snapshot.index
        self.persisted_index: int = self.log.last_index
        # First index that ``take_persist`` has not handed out.
        self._next_unwritten_index = self.log.last_index + 1
        self._unwritten_snapshot: replicalog.Snapshot | None = None
        self._snapshot_to_restore: replicalog.Snapshot | None = None
        self._voter_sets: list[tuple[int, voterset.VoterSet]] = []
        self._read_voter_sets()

    @property
    def voter_set(self) -> voterset.VoterSet:
        """Return the latest voter set in the log, whether committed or not."""
        return self._voter_sets[-1][1]

    @property
    def voter_set_index(self) -> int:
        """Return the index of the entry with the latest voter set."""
        return self._voter_sets[-1][0]

    def append(self, entry: replicalog.Entry) -> None:
        """Append an entry; a voter set in it takes effect at once."""
        self.log.append(entry)
        if entry.kind is replicalog.EntryKind.VOTER_CHANGE:
            self._voter_sets.append((entry.index, voterset.decode(entry.data)))

    def merge(self, entries: list[replicalog.Entry]) -> None:
        """Append entries of a leader, truncating the log at the first conflict."""
        for entry in entries:
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._truncate_from(entry, term)
            self.append(entry)

    def _truncate_from(self, entry, term):
        if entry.index <= self.commit_index:
            raise errors.ProxyError(
                errors.ErrorKind.INTERNAL,
                f"entry {entry.index} of term {entry.term} would overwrite a "
                f"committed entry of term {term}",
            )
        self.log.truncate_from(entry.index)
        self.persisted_index = min(self.persisted_index, entry.index - 1)
        self._next_unwritten_index = min(self._next_unwritten_index, entry.index)
        while self._voter_sets[-1][0] >= entry.index:
            self._voter_sets.pop()

    def mark_persisted(self, index: int, term: int) -> None:
        """Record that the log is durable up to the entry with this index and term.

        The call is ignored if the entry was replaced meanwhile.
        """
        if self.log.term_at(index) == term:
            self.persisted_index = max(self.persisted_index, index)

    def compact(
        self, index: int, data: bytes, retained_entries: int, retained_bytes: int
    ) -> None:
        """Take ``data`` as the snapshot at ``index`` and compact the log.

        The last entries up to ``index`` stay in the log, as many as fit into both
        limits. The call is ignored if ``index`` is not handed out yet or a snapshot at
        or after it exists.
        """
        term = self.log.term_at(index)
        if (
            index > self.handed_out_index
            or index <= self.snapshot.index
            or term is None
        ):
            return
        covered_sets = [pair for pair in self._voter_sets if pair[0] <= index]
        encoded = covered_sets[-1][1].encode()
        self.snapshot = replicalog.Snapshot(index, term, encoded, data)
        self._unwritten_snapshot = self.snapshot
        self._voter_sets = self._voter_sets[len(covered_sets) - 1 :]
        retained = self.log.count_before(index, retained_entries, retained_bytes)
        self.log.compact(index - retained)

    def install(self, snapshot: replicalog.Snapshot) -> None:
        """Install a snapshot of the leader; later entries stay if the terms match."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log.reset(snapshot.index, snapshot.term)
        self.snapshot = snapshot
        self._unwritten_snapshot = self._snapshot_to_restore = snapshot
        self.commit_index = self.handed_out_index = snapshot.index
        # The log on disk restarts at the snapshot, so later entries are written again.
        self.persisted_index = snapshot.index
        self._next_unwritten_index = snapshot.index + 1
        self._read_voter_sets()

    def _read_voter_sets(self):
        first = voterset.decode(self.snapshot.voter_set)
        self._voter_sets = [(self.snapshot.index, first)]
        for entry in self.log.slice(self.snapshot.index + 1, self.log.last_index):
            if entry.kind is replicalog.EntryKind.VOTER_CHANGE:
                decoded = voterset.decode(entry.data)
                self._voter_sets.append((entry.index, decoded))

    def take_persist(self, hard_state) -> groupsettings.PendingWrite:
        """Return the unwritten entries and snapshot together with ``hard_state``.

        Call this before ``take_installed_snapshot``, which clears the installed
        snapshot that makes the log on disk restart.
        """
        entries = self.log.slice(self._next_unwritten_index, self.log.last_index)
        reset = self._snapshot_to_restore is not None
        persist = groupsettings.PendingWrite(
            hard_state, entries, self._unwritten_snapshot, reset
        )
        self._next_unwritten_index = self.log.last_index + 1
        self._unwritten_snapshot = None
        return persist

    def take_installed_snapshot(self) -> replicalog.Snapshot | None:
        """Return and clear the snapshot that the state machine must restore."""
        installed, self._snapshot_to_restore = self._snapshot_to_restore, None
        return installed

    def take_committed(self) -> list[replicalog.Entry]:
        """Return the committed entries that no earlier call has returned."""
        committed = self.log.slice(self.handed_out_index + 1, self.commit_index)
        self.handed_out_index = self.commit_index
        return committed
