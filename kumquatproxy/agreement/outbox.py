"""Queue of outgoing messages that a member hands out with the next ``Outputs``."""

from kumquatproxy import wire
from kumquatproxy.agreement import raftmessages, voterset

# A leader may send these before its own log is synced.
_REPLICATION_MESSAGES = (raftmessages.AppendEntries, raftmessages.SnapshotChunk)


class Outbox:
    """Queue outgoing messages with the identity of one member as source."""

    __slots__ = ("_queue", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._queue: list[wire.Send] = []

    def put(self, message_class, target: str, **fields) -> None:
        """Queue a message to the member ``target``."""
        message = message_class(
            group=self._settings.group,
            source=self._settings.identity,
            target=target,
            **fields,
        )
        self._queue.append(wire.Send(voterset.host_of(target), message))

    def queue_join(self) -> None:
        """Queue a Join message to each host in ``join_hosts``."""
        own_host = voterset.host_of(self._settings.identity)
        for host in self._settings.join_hosts:
            if host == own_host:
                continue
            message = raftmessages.Join(
                group=self._settings.group,
                source=self._settings.identity,
                target=host,
                term=raftmessages.ANY_TERM,
            )
            self._queue.append(wire.Send(host, message))

    def take(self, may_send_early: bool) -> tuple[list[wire.Send], list[wire.Send]]:
        """Return and clear the messages to send after the sync and before it."""
        queue, self._queue = self._queue, []
        if not may_send_early:
            return queue, []
        after_sync = [
            send
            for send in queue
            if not isinstance(send.message, _REPLICATION_MESSAGES)
        ]
        before_sync = [
            send for send in queue if isinstance(send.message, _REPLICATION_MESSAGES)
        ]
        return after_sync, before_sync
