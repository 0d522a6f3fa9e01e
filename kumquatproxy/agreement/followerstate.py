"""Follower side of Raft: entries, snapshot chunks and replies."""

from kumquatproxy.agreement import raftmessages, snapshotassembly


class FollowerState:
    """Handle messages of the leader for a ``consensus.Member``."""

    def __init__(self, member):
        self._member = member
        self._state = member.state
        self._assembly = snapshotassembly.SnapshotAssembly()

    def receive_append(self, message, now) -> None:
        """Append entries if the preceding entry matches, otherwise refuse them."""
        if message.term < self._member.term:
            self._reply(message, False, message.prev_index)
            return
        entries = raftmessages.decode_entries(message)
        self._member.follow_leader(message.source, now)
        if message.prev_index < self._state.log.base_index:
            self._reply(message, True, self._state.commit_index)
            return
        if self._state.log.term_at(message.prev_index) != message.prev_term:
            hint = self._state.log.conflict_hint(message.prev_index)
            hint = max(hint, self._state.commit_index)
            self._reply(message, False, message.prev_index, hint)
            return
        self._state.merge(entries)
        last_index = message.prev_index + len(entries)
        self._member.commit_to(min(message.commit, last_index))
        self._reply(message, True, last_index)

    def receive_snapshot_chunk(self, message, now) -> None:
        """Collect snapshot chunks and install the snapshot once it is complete."""
        if message.term < self._member.term:
            self._reply(message, False, message.index)
            return
        self._member.follow_leader(message.source, now)
        if message.index <= self._state.commit_index:
            self._reply(message, True, self._state.commit_index)
            return
        snapshot = self._assembly.add(message)
        if snapshot is not None:
            self._state.install(snapshot)
            self._reply(message, True, snapshot.index)
            return
        self._member.send(
            raftmessages.SnapshotReply,
            message.source,
            index=message.index,
            offset=self._assembly.offset,
            sent_at=message.sent_at,
        )

    def _reply(self, message, ok, index, hint=0):
        self._member.send(
            raftmessages.AppendEntriesReply,
            message.source,
            ok=ok,
            index=index,
            hint=hint,
            sent_at=message.sent_at,
        )
