"""Assembly of a snapshot from the chunks that a leader sends."""

from kumquatproxy.agreement import raftmessages, replicalog


class SnapshotAssembly:
    """Collect the chunks of one snapshot in order."""

    __slots__ = ("_chunks", "_snapshot_key", "offset")

    def __init__(self):
        self._snapshot_key: tuple = ()
        self._chunks: list[bytes] = []
        self.offset = 0  # bytes received so far

    def add(self, chunk: raftmessages.SnapshotChunk) -> replicalog.Snapshot | None:
        """Add a chunk; return the snapshot once it is complete.

        Snapshots of two leaders at the same index may differ in their bytes, so chunks
        of different leaders are not mixed.
        """
        snapshot_key = (chunk.source, chunk.term, chunk.index)
        if snapshot_key != self._snapshot_key:
            self.clear()
            self._snapshot_key = snapshot_key
        if chunk.offset != self.offset:
            return None
        self._chunks.append(chunk.data)
        self.offset += len(chunk.data)
        if not chunk.last:
            return None
        data = b"".join(self._chunks)
        self.clear()
        return replicalog.Snapshot(chunk.index, chunk.index_term, chunk.voter_set, data)

    def clear(self) -> None:
        """Discard the chunks received so far."""
        self._snapshot_key = ()
        self._chunks = []
        self.offset = 0
