"""Task that connects one group member to its disk, messages and state machine."""

import gevent
import gevent.event

from kumquatproxy import clock, errors, logs, tasks, wire
from kumquatproxy.agreement import applying, grouplog, groupsettings, voterset

MAX_BATCHED_MESSAGES = 256
STORAGE_RETRY_S = 1.0
# Writes run inline while the last one took less than this, since passing a write to a
# thread takes longer than a write to a fast disk. After a slower one, writes run in a
# thread, so that other tasks of the host are not blocked, until one is fast again.
MAX_INLINE_WRITE_S = 0.002


class SubmitCommand:
    """Request that the member proposes an encoded command."""

    __slots__ = ("command", "reply")

    def __init__(self, command):
        self.command: bytes = command
        self.reply = gevent.event.AsyncResult()


class Received:
    """Hold a message received from another host."""

    __slots__ = ("message", "sender")

    def __init__(self, sender, message):
        self.sender: str = sender
        self.message: wire.Message = message


class ChangeVoters:
    """Request a change of the voter set."""

    __slots__ = ("change",)

    def __init__(self, change):
        self.change: voterset.Change = change


class TransferLeadership:
    """Request a leadership transfer, by default to the most up-to-date voter."""

    __slots__ = ("target",)

    def __init__(self, target=""):
        self.target: str = target


class Replication(tasks.Task):
    """Run a member with its store and its state machine.

    ``send(host_id, message)`` must not block. Other greenlets may read ``member`` and
    ``machine`` at any time. While a write runs in a thread, the committed entries of
    the ``Outputs`` being written are not applied to ``machine`` yet.
    """

    def __init__(
        self,
        member,
        store,
        machine,
        send,
        snapshot_interval_entries=applying.SNAPSHOT_INTERVAL_ENTRIES,
        tick_interval_s=tasks.TICK_INTERVAL_S,
    ):
        super().__init__(tick_interval_s)
        self.member = member
        self.store = store
        self.applier = applying.Applier(machine, snapshot_interval_entries)
        self.applier.restore(store.state.snapshot)
        self.storage_error: errors.ProxyError | None = None
        self._send = send
        self._log = logs.Log("group")
        self._group_log = grouplog.GroupLog(member, self._log)
        self._unwritten_outputs: groupsettings.Outputs | None = None
        self._retry_at = 0.0
        self._batched_message_count = 0
        self._last_write_s = 0.0  # duration of the last write
        self._ticked_at: float | None = None

    @property
    def machine(self):
        """Return the replicated state machine."""
        return self.applier.machine

    def submit(self, command: wire.Message, timeout_s: float) -> wire.Message:
        """Return the result of a command once it is applied; raise ProxyError.

        An error of kind NOT_LEADER means that the command was not and will not be
        executed.
        """
        request = SubmitCommand(wire.encode(command))
        self.tell(request)
        try:
            result = request.reply.get(timeout=timeout_s)
        except gevent.Timeout:
            raise errors.ProxyError(
                errors.ErrorKind.NO_QUORUM,
                f"the command was not answered within {timeout_s} s",
                "unknown",
            ) from None
        if isinstance(result, errors.ProxyError):
            raise result
        return result

    def receive(self, sender: str, message: wire.Message) -> None:
        """Queue a message from another host."""
        self.tell(Received(sender, message))

    def stop(self) -> None:
        """Stop the task, fail pending proposals and close the store."""
        super().stop()
        self.applier.fail_pending("the member was stopped")
        self.store.close()

    def handle(self, message, now: float, reply=None):
        """Handle one message; outputs are batched while more messages are queued."""
        self._batched_message_count += 1
        try:
            return _HANDLERS[type(message)](self, message, now)
        finally:
            must_process = (
                self._inbox.empty()
                or self._batched_message_count >= MAX_BATCHED_MESSAGES
            )
            if must_process and self._unwritten_outputs is None:
                self._process_outputs(now)

    def tick(self, now: float) -> None:
        """Run the timers of the member and retry a failed write."""
        if self._ticked_at is not None:
            self._group_log.write_delay(now, now - self._ticked_at)
        self._ticked_at = now
        self.member.tick(now)
        if self._unwritten_outputs is None or now >= self._retry_at:
            self._process_outputs(now)

    def _handle_submit(self, request, now):
        try:
            position = self.member.propose(request.command, now)
        except errors.ProxyError as error:
            request.reply.set(error)
            return
        self.applier.add_callback(position, request.reply.set)

    def _handle_received(self, received, now):
        try:
            self.member.receive(received.sender, received.message, now)
        except errors.ProxyError as error:
            if error.kind is not errors.ErrorKind.PROTOCOL_ERROR:
                raise
            self._log.write(
                now, f"dropped a malformed message from {received.sender}: {error}"
            )

    def _handle_change(self, request, now):
        return self.member.propose_change(request.change, now)

    def _handle_transfer(self, request, now):
        target = request.target
        if not target and self.member.leader_state is not None:
            target = self.member.leader_state.best_transfer_target()
        self.member.transfer_leadership(target or "", now)

    def _process_outputs(self, now):
        """Persist, send and apply outputs until the member has no more of them."""
        self._batched_message_count = 0
        while True:
            outputs = self._unwritten_outputs
            if outputs is None:
                if self.member.halted:
                    return
                outputs = self.member.take_outputs()
                self._send_all(outputs.replicate)
            if outputs.is_empty():
                break
            if not self._write(outputs, now):
                return
            self._complete(outputs, now)
        self._group_log.write_changes(now)

    def _write(self, outputs, now):
        if outputs.persist.is_empty():
            return True
        try:
            self._append(outputs.persist)
        except errors.ProxyError as error:
            self._unwritten_outputs = outputs
            self._retry_at = now + STORAGE_RETRY_S
            self.storage_error = error
            self.member.storage_failed(now)
            self._log.write(now, f"stopped acknowledging entries: {error}")
            return False
        self._unwritten_outputs = None
        if self.member.halted:
            self.storage_error = None
            self.member.storage_recovered(now)
            self._log.write(now, "acknowledging entries again, storage write succeeded")
        return True

    def _append(self, persist):
        start = clock.now()
        if self._last_write_s < MAX_INLINE_WRITE_S:
            self.store.append(persist)
        else:
            gevent.get_hub().threadpool.apply(self.store.append, (persist,))
        self._last_write_s = clock.now() - start

    def _complete(self, outputs, now):
        if outputs.persist.entries:
            last = outputs.persist.entries[-1]
            self.member.mark_persisted(last.index, last.term)
        self._send_all(outputs.messages)
        if outputs.snapshot is not None:
            self.applier.restore(outputs.snapshot)
            self._group_log.write_snapshot(now, outputs.snapshot, is_installed=True)
        self.applier.apply(outputs.committed)
        data = self.applier.snapshot()
        if data is not None:
            self.member.compact(self.applier.applied_index, data)
            snapshot = self.member.state.snapshot
            self._group_log.write_snapshot(now, snapshot, is_installed=False)

    def _send_all(self, sends):
        for send in sends:
            self._send(send.to, send.message)


_HANDLERS = {
    SubmitCommand: Replication._handle_submit,
    Received: Replication._handle_received,
    ChangeVoters: Replication._handle_change,
    TransferLeadership: Replication._handle_transfer,
}
