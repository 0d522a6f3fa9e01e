"""On-disk format of log segments and snapshots, and replay of the log."""

import cbor2

from kumquatproxy.agreement import frames, groupsettings, replicalog

FORMAT_VERSION = 1
HEADER_FRAME = 0
BATCH_FRAME = 1
_UNKNOWN_TERM = -1  # matches no term of an entry or snapshot


class LogReplay:
    """Rebuild the log from the frames of all segments in order."""

    def __init__(self):
        self.identity = ""
        self.hard_state = groupsettings.HardState()
        self.log: replicalog.ReplicaLog | None = None
        # Last index before the first segment, of entries that it may overwrite.
        self.preceding_index = 0
        self._is_base_from_header = False
        # Highest entry index ever written to the current segment.
        self.highest_index = 0

    def add(self, body: bytes, file_name: str) -> None:
        """Replay the next frame; raise ProxyError if it is inconsistent."""
        kind, *fields = cbor2.loads(body)
        if kind == HEADER_FRAME:
            self._add_header(file_name, *fields)
        else:
            self._add_batch(file_name, *fields)

    def _add_header(self, file_name, version, identity, term, vote, index, index_term):
        if version != FORMAT_VERSION:
            raise frames.damage_error(file_name, 0, f"unknown format version {version}")
        if self.identity not in ("", identity):
            raise frames.damage_error(
                file_name, 0, f"identity {identity} follows identity {self.identity}"
            )
        self.identity = identity
        self.highest_index = 0
        if self.log is None:
            self.hard_state = groupsettings.HardState(term, vote)
            self.log = replicalog.ReplicaLog(index, index_term)
            self.preceding_index = index
            self._is_base_from_header = True

    def _add_batch(self, file_name, hard_state, reset, first_index, entries):
        if self.log is None:
            raise frames.damage_error(file_name, 0, "the segment has no header")
        if hard_state is not None:
            self.hard_state = groupsettings.HardState(*hard_state)
        if reset is not None:
            self.log.reset(*reset)
            self._is_base_from_header = False
        if not entries:
            return
        if first_index <= self.log.base_index and self._is_base_from_header:
            # This batch overwrites entries of earlier segments. Those segments were
            # removed, since a snapshot covers their entries, so the term of the entry
            # before the batch is not known.
            self.log.reset(first_index - 1, _UNKNOWN_TERM)
        if not self.log.base_index < first_index <= self.log.last_index + 1:
            raise frames.damage_error(
                file_name,
                0,
                f"entry {first_index} does not follow entry {self.log.last_index}",
            )
        self.log.truncate_from(first_index)
        for index, (term, kind, data) in enumerate(entries, start=first_index):
            kind = replicalog.EntryKind(kind)
            self.log.append(replicalog.Entry(index, term, kind, data))
        self.highest_index = max(self.highest_index, self.log.last_index)


def encode_header(
    identity: str, hard_state: groupsettings.HardState, index: int, index_term: int
) -> bytes:
    """Return the first frame of a segment with the entries after ``index``."""
    fields = [identity, hard_state.term, hard_state.vote, index, index_term]
    return frames.encode(cbor2.dumps([HEADER_FRAME, FORMAT_VERSION, *fields]))


def encode_batch(persist: groupsettings.PendingWrite) -> bytes:
    """Return one frame with all parts of ``persist`` except the snapshot data."""
    hard_state = None
    if persist.hard_state is not None:
        hard_state = [persist.hard_state.term, persist.hard_state.vote]
    reset = None
    if persist.reset and persist.snapshot is not None:
        reset = [persist.snapshot.index, persist.snapshot.term]
    first_index = persist.entries[0].index if persist.entries else 0
    entries = [[entry.term, int(entry.kind), entry.data] for entry in persist.entries]
    return frames.encode(
        cbor2.dumps([BATCH_FRAME, hard_state, reset, first_index, entries])
    )


def encode_snapshot(snapshot: replicalog.Snapshot) -> bytes:
    """Return the content of a snapshot file."""
    fields = [snapshot.index, snapshot.term, snapshot.voter_set, snapshot.data]
    return frames.encode(cbor2.dumps([FORMAT_VERSION, *fields]))


def decode_snapshot(data: bytes, file_name: str) -> replicalog.Snapshot:
    """Decode the content of a snapshot file; raise ProxyError if it is damaged."""
    body = frames.read(data, 0)
    if body is None:
        raise frames.damage_error(
            file_name, 0, "the snapshot is truncated or its checksum does not match"
        )
    version, *fields = cbor2.loads(body)
    if version != FORMAT_VERSION:
        raise frames.damage_error(file_name, 0, f"unknown format version {version}")
    return replicalog.Snapshot(*fields)
