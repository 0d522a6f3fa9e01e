"""Task that runs one member: disk, messages, state machine, proposals."""

import gevent
import gevent.event

from kumquatproxy import clock, errors, logs, tasks, wire
from kumquatproxy.agreement import applying, groupsettings, voterset

MAX_BATCHED_MESSAGES = 256
STORAGE_RETRY_S = 1.0
# While writes take less than this they are done in place: handing one to a thread takes
# longer than a fast disk does. After a slower one a thread does them, so that the other
# tasks of the host go on, until one is fast again.
INLINE_WRITE_S = 0.002


class Submit:
    """Ask a member to propose a command."""

    __slots__ = ("command", "reply")

    def __init__(self, command):
        self.command: bytes = command
        self.reply = gevent.event.AsyncResult()


class Received:
    """Hold a message of another host."""

    __slots__ = ("message", "sender")

    def __init__(self, sender, message):
        self.sender: str = sender
        self.message: wire.Message = message


class ChangeVoters:
    """Ask for a change of the voter set."""

    __slots__ = ("change",)

    def __init__(self, change):
        self.change: voterset.Change = change


class GiveUpLeadership:
    """Ask the leader to transfer its leadership; by default to the best voter."""

    __slots__ = ("target",)

    def __init__(self, target=""):
        self.target: str = target


class Replication(tasks.Task):
    """Own a member, its store and its state machine.

    ``send(host_id, message)`` must not block. Reads of ``member`` and ``machine`` by
    other greenlets are safe, because this task switches only between steps.
    """

    def __init__(
        self,
        member,
        store,
        machine,
        send,
        snapshot_every=applying.SNAPSHOT_EVERY_ENTRIES,
        tick_interval_s=tasks.TICK_INTERVAL_S,
    ):
        super().__init__(tick_interval_s)
        self.member = member
        self.store = store
        self.applier = applying.Applier(machine, snapshot_every)
        self.applier.restore(store.state.snapshot)
        self.storage_error: errors.ProxyError | None = None
        self._send = send
        self._log = logs.Log("group")
        self._unwritten: groupsettings.Ready | None = None
        self._retry_at = 0.0
        self._batched = 0
        self._write_s = 0.0  # duration of the last write
        self._was_leader = False

    @property
    def machine(self):
        """Return the state machine."""
        return self.applier.machine

    def submit(self, command: wire.Message, timeout_s: float) -> wire.Message:
        """Return the result of a command after its commit; raise ProxyError.

        NotLeader means that the command was certainly not taken.
        """
        request = Submit(wire.encode(command))
        self.tell(request)
        try:
            result = request.reply.get(timeout=timeout_s)
        except gevent.Timeout:
            raise errors.ProxyError(
                errors.ErrorKind.NO_QUORUM,
                f"the command was not committed within {timeout_s} s",
                "unknown",
            ) from None
        if isinstance(result, errors.ProxyError):
            raise result
        return result

    def receive(self, sender: str, message: wire.Message) -> None:
        """Take a message of another host."""
        self.tell(Received(sender, message))

    def stop(self) -> None:
        """End the task, answer all proposers and close the store."""
        super().stop()
        self.applier.fail_pending("the member stops")
        self.store.close()

    def handle(self, message, now: float, reply=None):
        """Handle one message; outputs wait while more messages are there."""
        self._batched += 1
        try:
            return _HANDLERS[type(message)](self, message, now)
        finally:
            is_due = self._inbox.empty() or self._batched >= MAX_BATCHED_MESSAGES
            if is_due and self._unwritten is None:
                self._pump(now)

    def tick(self, now: float) -> None:
        """Do what is due, and retry a failed write."""
        self.member.tick(now)
        if self._unwritten is None or now >= self._retry_at:
            self._pump(now)

    def _handle_submit(self, request, now):
        try:
            proposal = self.member.propose(request.command, now)
        except errors.ProxyError as error:
            request.reply.set(error)
            return
        self.applier.add_callback(proposal, request.reply.set)

    def _handle_received(self, received, now):
        try:
            self.member.receive(received.sender, received.message, now)
        except errors.ProxyError as error:
            if error.kind is not errors.ErrorKind.PROTOCOL_ERROR:
                raise
            self._log.write(now, f"dropped a message of {received.sender}: {error}")

    def _handle_change(self, request, now):
        return self.member.propose_change(request.change, now)

    def _handle_give_up(self, request, now):
        target = request.target
        if not target and self.member.leader is not None:
            target = self.member.leader.best_target()
        self.member.transfer_leadership(target or "", now)

    def _pump(self, now):
        """Write, send and apply until the member has no more outputs."""
        self._batched = 0
        while True:
            ready = self._unwritten
            if ready is None:
                if self.member.halted:
                    return
                ready = self.member.take_ready()
                self._deliver(ready.replicate)
            if ready.is_empty():
                break
            if not self._write(ready, now):
                return
            self._finish(ready)
        self._note_role(now)

    def _write(self, ready, now):
        if ready.persist.is_empty():
            return True
        try:
            self._append(ready.persist)
        except errors.ProxyError as error:
            self._unwritten = ready
            self._retry_at = now + STORAGE_RETRY_S
            self.storage_error = error
            self.member.storage_failed(now)
            self._log.write(now, f"stopped acknowledging: {error}")
            return False
        self._unwritten = None
        if self.member.halted:
            self.storage_error = None
            self.member.storage_recovered(now)
            self._log.write(now, "the disk takes writes again")
        return True

    def _append(self, persist):
        start = clock.now()
        if self._write_s < INLINE_WRITE_S:
            self.store.append(persist)
        else:
            gevent.get_hub().threadpool.apply(self.store.append, (persist,))
        self._write_s = clock.now() - start

    def _finish(self, ready):
        if ready.persist.entries:
            last = ready.persist.entries[-1]
            self.member.note_persisted(last.index, last.term)
        self._deliver(ready.messages)
        if ready.snapshot is not None:
            self.applier.restore(ready.snapshot)
        self.applier.apply(ready.committed)
        data = self.applier.snapshot()
        if data is not None:
            self.member.compact(self.applier.applied_index, data)

    def _deliver(self, sends):
        for send in sends:
            self._send(send.to, send.message)

    def _note_role(self, now):
        leads = self.member.leader is not None
        if leads == self._was_leader:
            return
        self._was_leader = leads
        name = self.member.settings.identity
        sentence = f"{name} leads in term {self.member.term}"
        if not leads:
            sentence = f"{name} leads no longer: {self.member.step_down_reason}"
        self._log.write(now, sentence)


_HANDLERS = {
    Submit: Replication._handle_submit,
    Received: Replication._handle_received,
    ChangeVoters: Replication._handle_change,
    GiveUpLeadership: Replication._handle_give_up,
}
