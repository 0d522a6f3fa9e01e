"""Rules of a member that follows a leader: entries, snapshots, replies."""

from kumquatproxy.agreement import raftmessages, snapshotassembly


class FollowerState:
    """Take what leaders send on behalf of a ``consensus.Member``."""

    def __init__(self, member):
        self._member = member
        self._state = member.state
        self._assembly = snapshotassembly.Assembly()

    def receive_append(self, message, now) -> None:
        """Take entries that follow a common part of the logs, refuse others."""
        if message.term < self._member.term:
            self._reply(message, False, message.prev_index)
            return
        entries = raftmessages.unpack(message)
        self._member.follow(message.source, now)
        if message.prev_index < self._state.log.base_index:
            self._reply(message, True, self._state.commit_index)
            return
        if self._state.log.term_at(message.prev_index) != message.prev_term:
            hint = self._state.log.conflict_hint(message.prev_index)
            hint = max(hint, self._state.commit_index)
            self._reply(message, False, message.prev_index, hint)
            return
        self._state.merge(entries)
        last = message.prev_index + len(entries)
        self._member.commit_to(min(message.commit, last))
        self._reply(message, True, last)

    def receive_chunk(self, message, now) -> None:
        """Collect the chunks of a snapshot and install it when it is complete."""
        if message.term < self._member.term:
            self._reply(message, False, message.index)
            return
        self._member.follow(message.source, now)
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
            raftmessages.AppendReply,
            message.source,
            ok=ok,
            index=index,
            hint=hint,
            sent_at=message.sent_at,
        )
