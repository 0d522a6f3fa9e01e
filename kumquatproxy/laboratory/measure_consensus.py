"""Figures of the replicated log: commits per sync, recovery, faults survived."""

import os
import pathlib
import random
import tempfile
import time

import gevent
import gevent.monkey

from kumquatproxy import wire
from kumquatproxy.agreement import (
    consensus,
    diskstore,
    groupsettings,
    raftmessages,
    replicalog,
    replication,
    voterset,
)
from kumquatproxy.laboratory import faultschedules, measure, registermachine

HOSTS = ("h1", "h2", "h3")
CLIENTS = 64
COMMAND_BYTES = 200
SLOW_SYNC_S = 0.005  # a disk without a write cache
PERIOD_S = 0.6  # of each of the runs compared
ROUNDS = 5
READY_TIMEOUT_S = 10.0
ELECTION_WAIT_S = 0.01  # lets the members elect while a client waits
RECOVERY_CHANGES = 10_000
RECOVERY_BATCH = 10  # entries in each synced batch
SCHEDULES = 150
VOTERS = (3, 5, 7)


class LocalGroup:
    """Connect members with disks in one process."""

    def __init__(self, directory, rng, sync=os.fsync):
        self._tasks_by_host = {}
        self._sync = sync
        identities = [voterset.make_identity(host, "0") for host in HOSTS]
        state = groupsettings.bootstrap_state(voterset.VoterSet(identities).encode())
        for host, identity in zip(HOSTS, identities):
            path = directory / host
            diskstore.format_directory(path, identity, state)
            self._tasks_by_host[host] = self._make_task(host, path, rng)

    def _make_task(self, host, path, rng):
        store = diskstore.DiskStore(path, sync=self._sync)
        settings = groupsettings.GroupSettings("measure", store.identity)
        member = consensus.Member(settings, store.state, rng, time.monotonic())

        def send(to, message):
            self._tasks_by_host[to].receive(host, message)

        machine = registermachine.RegisterMachine()
        return replication.Replication(member, store, machine, send)

    def start(self):
        """Start all members and return the leader's task."""
        for task in self._tasks_by_host.values():
            task.start()
        return self.leader()

    def leader(self):
        """Return the leader's task once there is one."""
        with gevent.Timeout(READY_TIMEOUT_S):
            while True:
                for task in self._tasks_by_host.values():
                    if task.member.is_serving(time.monotonic()):
                        return task
                gevent.sleep(0.01)

    def stop(self):
        """Stop all members."""
        for task in self._tasks_by_host.values():
            task.stop()


def _command(rng):
    return registermachine.RegisterCall(
        ["write", rng.randrange(1000)], rng.randbytes(COMMAND_BYTES)
    )


def slow_sync(descriptor: int) -> None:
    """Sync as a disk does that takes at least SLOW_SYNC_S for it."""
    os.fsync(descriptor)
    # The real call: the store syncs in a thread, which has no gevent hub.
    gevent.monkey.get_original("time", "sleep")(SLOW_SYNC_S)


def count_syncs(directory: pathlib.Path, period_s: float, sync=os.fsync) -> float:
    """Return the bare appends with a sync of each that the disk does in a second."""
    data = bytes(COMMAND_BYTES)
    path = directory / "bare"
    count = 0
    with open(path, "wb", buffering=0) as stream:
        start = time.monotonic()
        while time.monotonic() - start < period_s:
            stream.write(data)
            sync(stream.fileno())
            count += 1
        took_s = time.monotonic() - start
    path.unlink()
    return count / took_s


def count_commits(group, clients: int, period_s: float, rng) -> float:
    """Return the commands that concurrent clients get committed in a second."""
    counts = [0] * clients
    end = time.monotonic() + period_s

    def run(client):
        # A busy machine can delay heartbeats until there is no leader for a while; a
        # period without any commit would measure that alone.
        while time.monotonic() < end or not counts[client]:
            try:
                group.leader().submit(_command(rng), READY_TIMEOUT_S)
            except consensus.NotLeader:
                gevent.sleep(ELECTION_WAIT_S)
                continue
            counts[client] += 1

    start = time.monotonic()
    greenlets = [gevent.spawn(run, client) for client in range(clients)]
    gevent.joinall(greenlets, raise_error=True)
    return sum(counts) / (time.monotonic() - start)


def measure_ratios(seed: int, sync) -> dict[int, float]:
    """Return commits by bare syncs for each number of clients, the median of rounds."""
    rng = random.Random(seed)
    ratios: dict[int, list[float]] = {1: [], CLIENTS: []}
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        group = LocalGroup(directory, rng, sync)
        try:
            group.start()
            for _ in range(ROUNDS):
                for clients, values in ratios.items():
                    # Others use the disk too, so it is measured before and after.
                    before = count_syncs(directory, PERIOD_S / 2, sync)
                    commits = count_commits(group, clients, PERIOD_S, rng)
                    after = count_syncs(directory, PERIOD_S / 2, sync)
                    values.append(2 * commits / (before + after))
        finally:
            group.stop()
    return {clients: sorted(values)[ROUNDS // 2] for clients, values in ratios.items()}


@measure.MEASUREMENTS.register("commit_per_fsync_ratio")
def measure_commits(seed: int) -> list[measure.Figure]:
    """Compare commits a second with bare syncs a second.

    All three members share one process and one core, so on a disk with a fast write
    cache the figures show the processor. The figures with a slow sync show how many
    syncs follow each other for a commit.
    """
    figures = []
    for name, sync in (("fsync", os.fsync), ("slow_fsync", slow_sync)):
        ratios = measure_ratios(seed, sync)
        for clients, low in ((1, 0.5), (CLIENTS, 3.0)):
            figure_name = f"commit_per_{name}_ratio_{clients}"
            figures.append(measure.Figure(figure_name, ratios[clients], low=low))
    return figures


@measure.MEASUREMENTS.register("recovery_s_per_10k_changes")
def measure_recovery(seed: int) -> list[measure.Figure]:
    """Measure opening a store of 10,000 changes and applying them."""
    rng = random.Random(seed)
    command = wire.encode(_command(rng))
    identity = voterset.make_identity("h1", "0")
    voters = voterset.VoterSet([identity]).encode()
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / "h1"
        diskstore.format_directory(
            path, identity, groupsettings.bootstrap_state(voters)
        )
        _fill(path, command)
        start = time.monotonic()
        store = diskstore.DiskStore(path)
        settings = groupsettings.GroupSettings("measure", identity)
        member = consensus.Member(settings, store.state, rng, 0.0)
        machine = registermachine.RegisterMachine()
        task = replication.Replication(member, store, machine, lambda *_: None)
        while machine.applied < RECOVERY_CHANGES:
            # Simulated time brings the election of the only voter forward.
            task.tick(member.now + 1.0)
        took_s = time.monotonic() - start
        store.close()
    return [measure.Figure("recovery_s_per_10k_changes", took_s)]


def _fill(path, command):
    store = diskstore.DiskStore(path)
    for first in range(1, RECOVERY_CHANGES + 1, RECOVERY_BATCH):
        entries = [
            replicalog.Entry(index, 1, replicalog.EntryKind.COMMAND, command)
            for index in range(first, first + RECOVERY_BATCH)
        ]
        hard_state = groupsettings.HardState(1, store.identity)
        store.append(groupsettings.PendingWrite(hard_state, entries))
    store.close()


@measure.MEASUREMENTS.register("append_bytes_per_entry")
def measure_append_bytes(seed: int) -> list[measure.Figure]:
    """Measure the wire size of an entry beyond its command, alone and in a batch."""
    rng = random.Random(seed)
    figures = []
    for count in (1, CLIENTS):
        entries = [
            replicalog.Entry(
                1000 + number, 7, replicalog.EntryKind.COMMAND, rng.randbytes(200)
            )
            for number in range(count)
        ]
        message = raftmessages.AppendEntries(
            group="configuration",
            source=voterset.make_identity("mu-north-1-entry-1", "0123456789ab"),
            target=voterset.make_identity("mu-north-2-entry-1", "0123456789ab"),
            term=7,
            prev_index=999,
            prev_term=7,
            entries=raftmessages.encode_entries(entries),
            commit=999,
            sent_at=12345.678,
        )
        size = len(wire.encode(message)) - sum(len(entry.data) for entry in entries)
        name = f"append_bytes_per_entry_{count}"
        figures.append(measure.Figure(name, size / count))
    return figures


@measure.MEASUREMENTS.register("faults_survived")
def measure_faults(seed: int) -> list[measure.Figure]:
    """Count seeded schedules without violation; one raises ViolationError."""
    faults = 0
    for number in range(SCHEDULES):
        voters = VOTERS[number % len(VOTERS)]
        schedule = faultschedules.Schedule(seed * 1_000_000 + number, voters)
        faults += schedule.run().faults
    return [
        measure.Figure("faults_survived", SCHEDULES, low=SCHEDULES),
        measure.Figure("faults_injected", faults, low=SCHEDULES),
    ]
