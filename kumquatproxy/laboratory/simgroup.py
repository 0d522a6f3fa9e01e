"""A group of members on simulated time, network, clocks and disks."""

import heapq
import itertools
import random
from typing import Any

from kumquatproxy import wire
from kumquatproxy.agreement import applying, consensus, groupsettings, voterset

TICK_S = 0.1
# Share of messages that pass through their wire form, to find what it cannot carry.
ENCODED_SHARE = 0.05
CLOCK_DRIFT = 0.08  # clocks run up to this much fast or slow


class Disk:
    """Keep what was synced; everything else is lost in a crash."""

    def __init__(self, state):
        self._state: groupsettings.PersistedState = state

    def load(self) -> groupsettings.PersistedState:
        """Return the state after a restart."""
        state = self._state
        entries = [
            entry for entry in state.entries if entry.index > state.snapshot.index
        ]
        return groupsettings.PersistedState(state.hard_state, state.snapshot, entries)

    def sync(self, persist: groupsettings.PendingWrite) -> None:
        """Make a batch durable."""
        state = self._state
        if persist.snapshot is not None:
            state.snapshot = persist.snapshot
        if persist.reset:
            state.entries = []
        if persist.hard_state is not None:
            state.hard_state = persist.hard_state
        if persist.entries:
            first = persist.entries[0].index
            kept = [entry for entry in state.entries if entry.index < first]
            state.entries = kept + persist.entries


class Faults:
    """Hold the faults of the network and the disks that are in force."""

    def __init__(self):
        self.blocked: set[tuple[str, str]] = set()  # (from host, to host)
        self.loss = 0.0
        self.duplication = 0.0
        self.slow_share = 0.0  # messages that take up to a second
        self.full_disks: set[str] = set()  # host ids


class Node:
    """Run the member of one host: the counterpart of ``replication`` in simulation."""

    def __init__(self, group, host_id, settings, state):
        self.group = group
        self.host_id: str = host_id
        self.settings: groupsettings.GroupSettings = settings
        self.disk = Disk(state)
        self.member: Any = None  # None while the process is down
        self.applier: Any = None
        self.paused = False
        self._held: list[tuple] = []  # messages that arrive during a pause
        self._syncing: Any = None  # the ``Outputs`` whose batch is being synced
        self._life = 0
        drift = group.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        self._rate = 1.0 + drift
        self._offset = group.rng.uniform(1000.0, 2000.0)

    @property
    def identity(self) -> str:
        """Return the present identity of the host."""
        return self.settings.identity

    @property
    def is_syncing(self) -> bool:
        """Return whether a batch is on its way to the disk."""
        return self._syncing is not None

    def clock(self) -> float:
        """Return the time of this host's own clock, in seconds."""
        return self._offset + self._rate * self.group.now

    def start(self) -> None:
        """Start the process from what is on the disk."""
        self._life += 1
        state = self.disk.load()
        self.member = self.group.member_class(
            self.settings, state, self.group.rng, self.clock()
        )
        self.applier = applying.Applier(
            self.group.machine_class(), self.group.snapshot_every
        )
        self.applier.restore(state.snapshot)
        self._syncing = None
        self.paused = False
        self._held = []
        self.group.invariants.started(self)
        self.group.at(self.group.rng.uniform(0, TICK_S), self._tick, self._life)

    def crash(self) -> None:
        """Lose the memory, and with even odds the batch that is being synced."""
        if self.member is None:
            return
        if self._syncing is not None and self.group.rng.random() < 0.5:
            self.disk.sync(self._syncing.persist)
        applier, self.applier = self.applier, None
        self.member = None
        self._syncing = None
        self._life += 1
        applier.fail_pending("the member crashed")

    def lose_disk(self, disk_id: str) -> None:
        """Crash and come back under a new identity with an empty disk."""
        self.crash()
        identity = voterset.make_identity(self.host_id, disk_id)
        values = {
            name: getattr(self.settings, name) for name in self.settings._fields()
        }
        values["identity"] = identity
        self.settings = groupsettings.GroupSettings(**values)
        self.disk = Disk(groupsettings.bootstrap_state())

    def _tick(self, life):
        if life != self._life:
            return
        self.group.at(TICK_S / self._rate, self._tick, life)
        if not self.paused:
            self.member.tick(self.clock())
            self.pump()

    def resume(self) -> None:
        """End a pause and handle what arrived meanwhile."""
        self.paused = False
        held, self._held = self._held, []
        for sender, message in held:
            self.deliver(sender, message)

    def deliver(self, sender: str, message: wire.Message) -> None:
        """Handle a message from the network."""
        if self.member is None:
            return
        if self.paused:
            self._held.append((sender, message))
            return
        self.member.receive(sender, message, self.clock())
        self.pump()

    def pump(self) -> None:
        """Take the outputs of the member and start to sync them."""
        self.group.invariants.check(self)
        if self._syncing is not None or self.member.halted:
            return
        outputs = self.member.take_outputs()
        if outputs.is_empty():
            return
        self._send(outputs.replicate)
        if not self.group.syncs_first:
            self._send(outputs.messages)
            self._note_persisted(outputs.persist)
        if outputs.persist.is_empty():
            self._finish(outputs)
            return
        self._syncing = outputs
        self.group.at(self.group.rng.uniform(0.0005, 0.01), self._synced, self._life)

    def _synced(self, life):
        if life != self._life:
            return
        if self.host_id in self.group.faults.full_disks:
            self.member.storage_failed(self.clock())
            self.group.invariants.check(self)
            self.group.at(0.2, self._synced, life)
            return
        outputs, self._syncing = self._syncing, None
        self.disk.sync(outputs.persist)
        if self.member.halted:
            self.member.storage_recovered(self.clock())
        self._finish(outputs)
        self.pump()

    def _finish(self, outputs):
        if self.group.syncs_first:
            self._note_persisted(outputs.persist)
            self._send(outputs.messages)
        if outputs.snapshot is not None:
            self.applier.restore(outputs.snapshot)
        self.applier.apply(outputs.committed)
        self.group.invariants.applied(self, outputs)
        data = self.applier.snapshot()
        if data is not None:
            self.member.compact(self.applier.applied_index, data)
        self.group.invariants.check(self)

    def _note_persisted(self, persist):
        if persist.entries:
            last = persist.entries[-1]
            self.member.mark_persisted(last.index, last.term)

    def _send(self, sends):
        for send in sends:
            self.group.invariants.sent(self, send.message)
            self.group.transmit(self.host_id, send)


class Group:
    """Hold the nodes, the network between them and the queue of events."""

    def __init__(
        self,
        seed,
        host_ids,
        invariants,
        machine_class,
        member_class=consensus.Member,
        syncs_first=True,
        snapshot_every=12,
        spare_hosts=(),
        **settings,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faults = Faults()
        self.invariants = invariants
        self.machine_class = machine_class
        self.member_class = member_class
        self.syncs_first: bool = syncs_first
        self.snapshot_every: int = snapshot_every
        self._events: list[tuple] = []
        self._order = itertools.count()
        self.nodes_by_host: dict[str, Node] = {}
        identities = [voterset.make_identity(host, "0") for host in host_ids]
        encoded = voterset.VoterSet(identities).encode()
        for host in [*host_ids, *spare_hosts]:
            own = groupsettings.GroupSettings(
                "sim", voterset.make_identity(host, "0"), host_ids, **settings
            )
            is_voter = host in host_ids
            state = groupsettings.bootstrap_state(encoded if is_voter else b"")
            self.nodes_by_host[host] = Node(self, host, own, state)

    @property
    def nodes(self) -> list[Node]:
        """Return the nodes whose process runs."""
        return [node for node in self.nodes_by_host.values() if node.member is not None]

    def start(self) -> None:
        """Start all nodes."""
        for node in self.nodes_by_host.values():
            node.start()

    def leader(self) -> Node | None:
        """Return the running leader of the highest term."""
        leading = [node for node in self.nodes if node.member.leader_state is not None]
        return max(leading, key=lambda node: node.member.term, default=None)

    def at(self, delay_s: float, action, *arguments) -> None:
        """Call ``action`` after a delay of simulated time."""
        event = (self.now + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, duration_s: float) -> None:
        """Handle all events of the next ``duration_s`` of simulated time."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    def transmit(self, sender: str, send: wire.Send) -> None:
        """Pass a message on with the faults in force."""
        copies = 1 + (self.rng.random() < self.faults.duplication)
        for _ in range(copies):
            if self.rng.random() < self.faults.loss:
                continue
            delay_s = self.rng.uniform(0.001, 0.02)
            if self.rng.random() < self.faults.slow_share:
                delay_s += self.rng.uniform(0.0, 1.0)
            self.at(delay_s, self._arrive, sender, send)

    def _arrive(self, sender, send):
        if (sender, send.to) in self.faults.blocked:
            return
        message = send.message
        if self.rng.random() < ENCODED_SHARE:
            message = wire.decode(wire.encode(message))
        node = self.nodes_by_host.get(send.to)
        if node is not None:
            node.deliver(sender, message)
