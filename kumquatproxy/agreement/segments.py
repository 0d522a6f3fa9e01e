"""Form of the log on disk: headers and batches in frames, and how they replay."""

import cbor2

from kumquatproxy.agreement import frames, groupsettings, replicalog

FORMAT_VERSION = 1
HEADER = 0
BATCH = 1
_UNKNOWN_TERM = -1


class Replay:
    """Rebuild the log from the frames of all segments in order."""

    def __init__(self):
        self.identity = ""
        self.hard_state = groupsettings.HardState()
        self.log: replicalog.ReplicaLog | None = None
        self._starts_at_header = False
        self.highest_index = 0  # highest index the current segment has held

    def add(self, body: bytes, name: str) -> None:
        """Take the next frame; raise ProxyError if it does not fit."""
        kind, *fields = cbor2.loads(body)
        if kind == HEADER:
            self._add_header(name, *fields)
        else:
            self._add_batch(name, *fields)

    def _add_header(self, name, version, identity, term, vote, index, index_term):
        if version != FORMAT_VERSION:
            raise frames.damaged(name, 0, f"unknown format version {version}")
        if self.identity not in ("", identity):
            raise frames.damaged(name, 0, f"{identity} follows {self.identity}")
        self.identity = identity
        self.highest_index = 0
        if self.log is None:
            self.hard_state = groupsettings.HardState(term, vote)
            self.log = replicalog.ReplicaLog(index, index_term)
            self._starts_at_header = True

    def _add_batch(self, name, hard_state, reset, first, entries):
        if self.log is None:
            raise frames.damaged(name, 0, "the segment has no header")
        if hard_state is not None:
            self.hard_state = groupsettings.HardState(*hard_state)
        if reset is not None:
            self.log.reset(*reset)
            self._starts_at_header = False
        if not entries:
            return
        if first <= self.log.base_index and self._starts_at_header:
            # The entries before the header were replaced after it was written, and
            # their segments are gone because a snapshot covers all of them.
            self.log.reset(first - 1, _UNKNOWN_TERM)
        if not self.log.base_index < first <= self.log.last_index + 1:
            raise frames.damaged(
                name, 0, f"entry {first} does not follow entry {self.log.last_index}"
            )
        self.log.truncate_from(first)
        for index, (term, kind, data) in enumerate(entries, start=first):
            kind = replicalog.EntryKind(kind)
            self.log.append(replicalog.Entry(index, term, kind, data))
        self.highest_index = max(self.highest_index, self.log.last_index)


def encode_header(
    identity: str, hard_state: groupsettings.HardState, index: int, index_term: int
) -> bytes:
    """Return the first frame of a segment whose entries follow ``index``."""
    fields = [identity, hard_state.term, hard_state.vote, index, index_term]
    return frames.encode(cbor2.dumps([HEADER, FORMAT_VERSION, *fields]))


def encode_batch(persist: groupsettings.Persist) -> bytes:
    """Return one frame for all parts of ``persist`` but the snapshot's data."""
    hard_state = None
    if persist.hard_state is not None:
        hard_state = [persist.hard_state.term, persist.hard_state.vote]
    reset = None
    if persist.reset and persist.snapshot is not None:
        reset = [persist.snapshot.index, persist.snapshot.term]
    first = persist.entries[0].index if persist.entries else 0
    entries = [[entry.term, int(entry.kind), entry.data] for entry in persist.entries]
    return frames.encode(cbor2.dumps([BATCH, hard_state, reset, first, entries]))


def encode_snapshot(snapshot: replicalog.Snapshot) -> bytes:
    """Return the frame of a snapshot file."""
    fields = [snapshot.index, snapshot.term, snapshot.voter_set, snapshot.data]
    return frames.encode(cbor2.dumps([FORMAT_VERSION, *fields]))


def decode_snapshot(data: bytes, name: str) -> replicalog.Snapshot:
    """Return the snapshot of a file; raise ProxyError if it is damaged."""
    body = frames.read(data, 0)
    if body is None:
        raise frames.damaged(name, 0, "the checksum of the snapshot does not match")
    version, *fields = cbor2.loads(body)
    if version != FORMAT_VERSION:
        raise frames.damaged(name, 0, f"unknown format version {version}")
    return replicalog.Snapshot(*fields)
