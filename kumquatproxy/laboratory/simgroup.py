"""Simulation of a consensus group: its members, network, clocks, disks and time."""

import heapq
import itertools
import random
from typing import Any

from kumquatproxy import wire
from kumquatproxy.agreement import (
    applying,
    consensus,
    contacts,
    groupsettings,
    voterset,
)

TICK_S = 0.1
# Share of messages that are encoded and decoded in transit, to find values that this
# changes or that cannot be encoded.
ENCODED_SHARE = 0.05
MAX_CLOCK_DRIFT = 0.08  # largest deviation of a clock's rate from 1


class Disk:
    """Simulated disk of a member: holds only what survives a crash."""

    def __init__(self, state):
        self._state: groupsettings.PersistedState = state

    def load(self) -> groupsettings.PersistedState:
        """Return the state that a restarted member finds on the disk."""
        state = self._state
        entries = [
            entry for entry in state.entries if entry.index > state.snapshot.index
        ]
        return groupsettings.PersistedState(state.hard_state, state.snapshot, entries)

    def sync(self, persist: groupsettings.PendingWrite) -> None:
        """Store a batch durably."""
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
    """Network and disk faults that are active at present."""

    def __init__(self):
        # Links as (from host, to host).
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.slow_share = 0.0  # share of messages delayed by up to a second more
        self.full_disks: set[str] = set()  # host ids


class Node:
    """Run the member of one host, as ``replication`` does outside simulations."""

    def __init__(self, group, host_id, settings, state):
        self.group = group
        self.host_id: str = host_id
        self.settings: groupsettings.GroupSettings = settings
        self.disk = Disk(state)
        self.member: Any = None  # None while the process is down
        self.applier: Any = None
        self.paused = False
        self._held_messages: list[tuple] = []  # received during a pause
        self._syncing_outputs: Any = None  # ``Outputs`` that are being written
        self._generation = 0
        self._stored_silence: dict[str, float] = {}  # seconds by host
        drift = group.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self._clock_rate = 1.0 + drift
        self._clock_offset_s = group.rng.uniform(1000.0, 2000.0)

    @property
    def identity(self) -> str:
        """Return the current identity of the host."""
        return self.settings.identity

    @property
    def is_syncing(self) -> bool:
        """Return whether a batch is being written to the disk."""
        return self._syncing_outputs is not None

    def clock(self) -> float:
        """Return the time in seconds on this host's drifting clock."""
        return self._clock_offset_s + self._clock_rate * self.group.now

    def start(self) -> None:
        """Start the process with the state on its disk."""
        self._generation += 1
        state = self.disk.load()
        now = self.clock()
        self.member = self.group.member_class(self.settings, state, self.group.rng, now)
        self.member.contacts = contacts.Contacts(now, self._stored_silence)
        self.applier = applying.Applier(
            self.group.machine_class(), self.group.snapshot_every
        )
        self.applier.restore(state.snapshot)
        self._syncing_outputs = None
        self.paused = False
        self._held_messages = []
        self.group.invariants.record_start(self)
        self.group.call_later(
            self.group.rng.uniform(0, TICK_S), self._tick, self._generation
        )

    def crash(self) -> None:
        """Kill the process; a batch being written is lost with probability 0.5."""
        if self.member is None:
            return
        if self._syncing_outputs is not None and self.group.rng.random() < 0.5:
            self.disk.sync(self._syncing_outputs.persist)
        applier, self.applier = self.applier, None
        self.member = None
        self._syncing_outputs = None
        self._generation += 1
        applier.fail_pending("the member crashed")

    def lose_disk(self, disk_id: str) -> None:
        """Crash and replace the disk by an empty one, which gives a new identity."""
        self.crash()
        identity = voterset.make_identity(self.host_id, disk_id)
        values = {
            name: getattr(self.settings, name) for name in self.settings._fields()
        }
        values["identity"] = identity
        self.settings = groupsettings.GroupSettings(**values)
        self.disk = Disk(groupsettings.bootstrap_state())
        self._stored_silence = {}

    def _tick(self, generation):
        if generation != self._generation:
            return
        self.group.call_later(TICK_S / self._clock_rate, self._tick, generation)
        if not self.paused:
            self.member.tick(self.clock())
            self._store_silence()
            self.pump()

    def _store_silence(self):
        members = self.member.voter_set.members
        self._stored_silence = self.member.contacts.stored_silence(
            {voterset.host_of(identity) for identity in members} - {self.host_id},
            self.settings.replace_after_s,
            self.clock(),
        )

    def resume(self) -> None:
        """End a pause and handle the messages received during it."""
        self.paused = False
        held_messages, self._held_messages = self._held_messages, []
        for sender, message in held_messages:
            self.deliver(sender, message)

    def deliver(self, sender: str, message: wire.Message) -> None:
        """Handle a message from the network."""
        if self.member is None:
            return
        if self.paused:
            self._held_messages.append((sender, message))
            return
        self.member.receive(sender, message, self.clock())
        self.pump()

    def hear(self, host_id: str) -> None:
        """Receive a message that does not concern the group."""
        if self.member is not None:
            self.member.contacts.record(host_id, self.clock())

    def pump(self) -> None:
        """Take the member's outputs, send messages and start to sync the batch."""
        self.group.invariants.check(self)
        if self._syncing_outputs is not None or self.member.halted:
            return
        outputs = self.member.take_outputs()
        if outputs.is_empty():
            return
        self._send(outputs.replicate)
        if not self.group.sends_after_sync:
            self._send(outputs.messages)
            self._mark_persisted(outputs.persist)
        if outputs.persist.is_empty():
            self._apply_outputs(outputs)
            return
        self._syncing_outputs = outputs
        self.group.call_later(
            self.group.rng.uniform(0.0005, 0.01), self._complete_sync, self._generation
        )

    def _complete_sync(self, generation):
        if generation != self._generation:
            return
        if self.host_id in self.group.faults.full_disks:
            self.member.storage_failed(self.clock())
            self.group.invariants.check(self)
            self.group.call_later(0.2, self._complete_sync, generation)
            return
        outputs, self._syncing_outputs = self._syncing_outputs, None
        self.disk.sync(outputs.persist)
        if self.member.halted:
            self.member.storage_recovered(self.clock())
        self._apply_outputs(outputs)
        self.pump()

    def _apply_outputs(self, outputs):
        if self.group.sends_after_sync:
            self._mark_persisted(outputs.persist)
            self._send(outputs.messages)
        if outputs.snapshot is not None:
            self.applier.restore(outputs.snapshot)
        self.applier.apply(outputs.committed)
        self.group.invariants.check_applied(self, outputs)
        data = self.applier.snapshot()
        if data is not None:
            self.member.compact(self.applier.applied_index, data)
        self.group.invariants.check(self)

    def _mark_persisted(self, persist):
        if persist.entries:
            last = persist.entries[-1]
            self.member.mark_persisted(last.index, last.term)

    def _send(self, sends):
        for send in sends:
            self.group.invariants.check_sent(self, send.message)
            self.group.transmit(self.host_id, send)


class Group:
    """Nodes of a group, the network between them and the event queue."""

    def __init__(
        self,
        seed,
        host_ids,
        invariants,
        machine_class,
        member_class=consensus.Member,
        sends_after_sync=True,
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
        # False sends and marks entries as persisted before the sync, for tests.
        self.sends_after_sync: bool = sends_after_sync
        self.snapshot_every: int = snapshot_every
        self._events: list[tuple] = []
        self._event_numbers = itertools.count()
        self.nodes_by_host: dict[str, Node] = {}
        identities = [voterset.make_identity(host, "0") for host in host_ids]
        encoded_voters = voterset.VoterSet(identities).encode()
        self._settings = settings
        for host in host_ids:
            self._add_node(host, host_ids, encoded_voters)
        for host in spare_hosts:
            self._add_node(host, host_ids, b"")

    def add_host(self, host: str) -> Node:
        """Add a host with an empty disk, which knows all hosts of this time."""
        return self._add_node(host, list(self.nodes_by_host), b"")

    def _add_node(self, host, join_hosts, encoded_voters):
        host_settings = groupsettings.GroupSettings(
            "sim", voterset.make_identity(host, "0"), join_hosts, **self._settings
        )
        state = groupsettings.bootstrap_state(encoded_voters)
        self.nodes_by_host[host] = Node(self, host, host_settings, state)
        return self.nodes_by_host[host]

    @property
    def nodes(self) -> list[Node]:
        """Return the nodes whose process is running."""
        return [node for node in self.nodes_by_host.values() if node.member is not None]

    def start(self) -> None:
        """Start all nodes."""
        for node in self.nodes_by_host.values():
            node.start()

    def leader(self) -> Node | None:
        """Return the running leader with the highest term, or None."""
        leading = [node for node in self.nodes if node.member.leader_state is not None]
        return max(leading, key=lambda node: node.member.term, default=None)

    def call_later(self, delay_s: float, action, *arguments) -> None:
        """Schedule ``action(*arguments)`` after a delay in simulated time."""
        event = (self.now + delay_s, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, duration_s: float) -> None:
        """Process the events of the next ``duration_s`` of simulated time."""
        end_s = self.now + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end_s

    def transmit(self, sender: str, send: wire.Send) -> None:
        """Deliver a message subject to the active faults."""
        copies = 1 + (self.rng.random() < self.faults.duplication)
        for _ in range(copies):
            if self.rng.random() < self.faults.loss:
                continue
            delay_s = self.rng.uniform(0.001, 0.02)
            if self.rng.random() < self.faults.slow_share:
                delay_s += self.rng.uniform(0.0, 1.0)
            self.call_later(delay_s, self._deliver, sender, send)

    def _deliver(self, sender, send):
        if (sender, send.to) in self.faults.blocked_links:
            return
        message = send.message
        if self.rng.random() < ENCODED_SHARE:
            message = wire.decode(wire.encode(message))
        node = self.nodes_by_host.get(send.to)
        if node is not None:
            node.deliver(sender, message)
