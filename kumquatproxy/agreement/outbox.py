"""Messages of a member that wait for the next Ready."""

from kumquatproxy import wire
from kumquatproxy.agreement import raftmessages, voterset

_EARLY = (raftmessages.AppendEntries, raftmessages.SnapshotChunk)


class Outbox:
    """Queue messages under the identity of one member."""

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

    def announce(self) -> None:
        """Queue a Join to all hosts that may know the group."""
        own_host = voterset.host_of(self._settings.identity)
        for host in self._settings.join_hosts:
            if host == own_host:
                continue
            message = raftmessages.Join(
                group=self._settings.group,
                source=self._settings.identity,
                target=host,
                term=raftmessages.NO_TERM,
            )
            self._queue.append(wire.Send(host, message))

    def take(self, splits: bool) -> tuple[list[wire.Send], list[wire.Send]]:
        """Return and clear the messages to send after and before the sync."""
        queue, self._queue = self._queue, []
        if not splits:
            return queue, []
        late = [send for send in queue if not isinstance(send.message, _EARLY)]
        early = [send for send in queue if isinstance(send.message, _EARLY)]
        return late, early
