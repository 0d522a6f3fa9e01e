"""Log, snapshot and voter sets of one member, and how far each is done."""

from kumquatproxy import errors
from kumquatproxy.agreement import groupsettings, replicalog, voterset


class LogState:
    """Keep the log of a member and the marks on it.

    ``commit_index`` is decided by a quorum, ``persisted_index`` is on the own disk, and
    ``applied_index`` was handed to the edge.
    """

    __slots__ = (
        "_installed",
        "_new_snapshot",
        "_unwritten",
        "_voter_sets",
        "applied_index",
        "commit_index",
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
        self.applied_index: int = self.snapshot.index
        self.persisted_index: int = self.log.last_index
        self._unwritten = self.log.last_index + 1  # first index not handed out
        self._new_snapshot: replicalog.Snapshot | None = None
        self._installed: replicalog.Snapshot | None = None
        self._voter_sets: list[tuple[int, voterset.VoterSet]] = []
        self._read_voter_sets()

    @property
    def voter_set(self) -> voterset.VoterSet:
        """Return the latest voter set in the log, committed or not."""
        return self._voter_sets[-1][1]

    @property
    def voter_set_index(self) -> int:
        """Return the index of the entry that holds the latest voter set."""
        return self._voter_sets[-1][0]

    def append(self, entry: replicalog.Entry) -> None:
        """Add an entry; a voter set in it is in force at once."""
        self.log.append(entry)
        if entry.kind is replicalog.EntryKind.VOTER_CHANGE:
            self._voter_sets.append((entry.index, voterset.decode(entry.data)))

    def merge(self, entries: list[replicalog.Entry]) -> None:
        """Take the entries of a leader in place of those that differ."""
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
                f"entry {entry.index} of term {entry.term} would replace a "
                f"committed entry of term {term}",
            )
        self.log.truncate_from(entry.index)
        self.persisted_index = min(self.persisted_index, entry.index - 1)
        self._unwritten = min(self._unwritten, entry.index)
        while self._voter_sets[-1][0] >= entry.index:
            self._voter_sets.pop()

    def note_persisted(self, index: int, term: int) -> None:
        """Note that the log up to the entry with this index and term is durable."""
        if self.log.term_at(index) == term:
            self.persisted_index = max(self.persisted_index, index)

    def compact(self, index: int, data: bytes, retained_entries: int) -> None:
        """Replace the applied entries up to ``index`` by a snapshot of the state."""
        term = self.log.term_at(index)
        if index > self.applied_index or index <= self.snapshot.index or term is None:
            return
        older = [pair for pair in self._voter_sets if pair[0] <= index]
        encoded = older[-1][1].encode()
        self.snapshot = replicalog.Snapshot(index, term, encoded, data)
        self._new_snapshot = self.snapshot
        self._voter_sets = self._voter_sets[len(older) - 1 :]
        self.log.compact(index - retained_entries)

    def install(self, snapshot: replicalog.Snapshot) -> None:
        """Take the snapshot of a leader; later entries that match it stay."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log.reset(snapshot.index, snapshot.term)
        self.snapshot = snapshot
        self._new_snapshot = self._installed = snapshot
        self.commit_index = self.applied_index = snapshot.index
        # The log on disk restarts at the snapshot, so remaining entries are rewritten.
        self.persisted_index = snapshot.index
        self._unwritten = snapshot.index + 1
        self._read_voter_sets()

    def _read_voter_sets(self):
        first = voterset.decode(self.snapshot.voter_set)
        self._voter_sets = [(self.snapshot.index, first)]
        for entry in self.log.slice(self.snapshot.index + 1, self.log.last_index):
            if entry.kind is replicalog.EntryKind.VOTER_CHANGE:
                decoded = voterset.decode(entry.data)
                self._voter_sets.append((entry.index, decoded))

    def take_persist(self, hard_state) -> groupsettings.Persist:
        """Return what is not written yet, together with ``hard_state``."""
        entries = self.log.slice(self._unwritten, self.log.last_index)
        reset = self._installed is not None
        persist = groupsettings.Persist(hard_state, entries, self._new_snapshot, reset)
        self._unwritten = self.log.last_index + 1
        self._new_snapshot = None
        return persist

    def take_installed(self) -> replicalog.Snapshot | None:
        """Return a snapshot that the state machine must restore."""
        installed, self._installed = self._installed, None
        return installed

    def take_committed(self) -> list[replicalog.Entry]:
        """Return the committed entries that were not handed out yet."""
        committed = self.log.slice(self.applied_index + 1, self.commit_index)
        self.applied_index = self.commit_index
        return committed
