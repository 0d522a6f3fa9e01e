"""Putting a snapshot together from the chunks a leader sends."""

from kumquatproxy.agreement import raftmessages, replicalog


class Assembly:
    """Collect the chunks of one snapshot in order."""

    __slots__ = ("_key", "_parts", "offset")

    def __init__(self):
        self._key: tuple = ()
        self._parts: list[bytes] = []
        self.offset = 0  # bytes received so far

    def add(self, chunk: raftmessages.SnapshotChunk) -> replicalog.Snapshot | None:
        """Take a chunk; return the snapshot once it is complete.

        Another leader may have made its snapshot at the same index with other bytes,
        so chunks of different leaders are not mixed.
        """
        key = (chunk.source, chunk.term, chunk.index)
        if key != self._key:
            self.clear()
            self._key = key
        if chunk.offset != self.offset:
            return None
        self._parts.append(chunk.data)
        self.offset += len(chunk.data)
        if not chunk.last:
            return None
        data = b"".join(self._parts)
        self.clear()
        return replicalog.Snapshot(chunk.index, chunk.index_term, chunk.voter_set, data)

    def clear(self) -> None:
        """Drop all chunks."""
        self._key = ()
        self._parts = []
        self.offset = 0
