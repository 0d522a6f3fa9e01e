"""Measurements of the replicated log: commits per sync, recovery, faults survived."""

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
CLIENT_COUNT = 64
COMMAND_BYTES = 200
SLOW_SYNC_S = 0.005  # a disk without a write cache
RUN_DURATION_S = 0.6  # of each compared run
ROUND_COUNT = 5
READY_TIMEOUT_S = 10.0
ELECTION_WAIT_S = 0.01  # lets the members run an election while a client waits
RECOVERY_CHANGE_COUNT = 10_000
RECOVERY_BATCH_ENTRIES = 10  # per synced batch
SCHEDULE_COUNT = 150
VOTER_COUNTS = (3, 5, 7)


class LocalGroup:
    """Members with disk stores, connected within one process."""

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
        """Start all members and return the task of the leader."""
        for task in self._tasks_by_host.values():
            task.start()
        return self.leader()

    def leader(self):
        """Wait for a serving leader and return its task."""
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


def _make_command(rng):
    return registermachine.RegisterCall(
        ["write", rng.randrange(1000)], rng.randbytes(COMMAND_BYTES)
    )


def slow_sync(descriptor: int) -> None:
    """Sync like a disk that takes at least SLOW_SYNC_S for it."""
    os.fsync(descriptor)
    # Not patched by gevent: the store syncs in a thread, which has no gevent hub.
    gevent.monkey.get_original("time", "sleep")(SLOW_SYNC_S)


def syncs_per_s(directory: pathlib.Path, duration_s: float, sync=os.fsync) -> float:
    """Return the number of synced appends to a plain file per second."""
    data = bytes(COMMAND_BYTES)
    path = directory / "bare"
    count = 0
    with open(path, "wb", buffering=0) as stream:
        start = time.monotonic()
        while time.monotonic() - start < duration_s:
            stream.write(data)
            sync(stream.fileno())
            count += 1
        elapsed_s = time.monotonic() - start
    path.unlink()
    return count / elapsed_s


def commits_per_s(group, clients: int, duration_s: float, rng) -> float:
    """Return the commands of concurrent clients that are committed per second."""
    counts = [0] * clients
    end = time.monotonic() + duration_s

    def run(client):
        # On a busy machine delayed heartbeats can leave the group without a leader for
        # a while, so each client continues until it has at least one commit.
        while time.monotonic() < end or not counts[client]:
            try:
                group.leader().submit(_make_command(rng), READY_TIMEOUT_S)
            except consensus.NotLeader:
                gevent.sleep(ELECTION_WAIT_S)
                continue
            counts[client] += 1

    start = time.monotonic()
    greenlets = [gevent.spawn(run, client) for client in range(clients)]
    gevent.joinall(greenlets, raise_error=True)
    return sum(counts) / (time.monotonic() - start)


def measure_ratios(seed: int, sync) -> dict[int, float]:
    """Return the median ratio of commits to plain syncs for each number of clients."""
    rng = random.Random(seed)
    ratios: dict[int, list[float]] = {1: [], CLIENT_COUNT: []}
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        group = LocalGroup(directory, rng, sync)
        try:
            group.start()
            for _ in range(ROUND_COUNT):
                for clients, round_ratios in ratios.items():
                    # Other processes use the disk too: count before and after.
                    syncs_before = syncs_per_s(directory, RUN_DURATION_S / 2, sync)
                    commits = commits_per_s(group, clients, RUN_DURATION_S, rng)
                    syncs_after = syncs_per_s(directory, RUN_DURATION_S / 2, sync)
                    round_ratios.append(2 * commits / (syncs_before + syncs_after))
        finally:
            group.stop()
    return {
        clients: sorted(round_ratios)[ROUND_COUNT // 2]
        for clients, round_ratios in ratios.items()
    }


@measure.MEASUREMENTS.register("commit_per_fsync_ratio")
def measure_commits(seed: int) -> list[measure.Figure]:
    """Compare commits per second with plain syncs per second.

    All three members share one process and one core, so on a disk with a fast write
    cache the processor limits the ratios. With a slow sync the ratio for one client is
    the reciprocal of the number of syncs in sequence per commit; that for many clients
    shows how many commits share a sync.
    """
    figures = []
    for name, sync in (("fsync", os.fsync), ("slow_fsync", slow_sync)):
        ratios = measure_ratios(seed, sync)
        for clients, low in ((1, 0.5), (CLIENT_COUNT, 3.0)):
            figure_name = f"commit_per_{name}_ratio_{clients}"
            figures.append(measure.Figure(figure_name, ratios[clients], low=low))
    return figures


@measure.MEASUREMENTS.register("recovery_s_per_10k_changes")
def measure_recovery(seed: int) -> list[measure.Figure]:
    """Measure the time to open a store with 10,000 changes and to apply them."""
    rng = random.Random(seed)
    command = wire.encode(_make_command(rng))
    identity = voterset.make_identity("h1", "0")
    voters = voterset.VoterSet([identity]).encode()
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / "h1"
        diskstore.format_directory(
            path, identity, groupsettings.bootstrap_state(voters)
        )
        _write_changes(path, command)
        start = time.monotonic()
        store = diskstore.DiskStore(path)
        settings = groupsettings.GroupSettings("measure", identity)
        member = consensus.Member(settings, store.state, rng, 0.0)
        machine = registermachine.RegisterMachine()
        task = replication.Replication(member, store, machine, lambda *_: None)
        while machine.applied < RECOVERY_CHANGE_COUNT:
            # Advancing the time lets the only voter be elected without a wait.
            task.tick(member.now + 1.0)
        elapsed_s = time.monotonic() - start
        store.close()
    return [measure.Figure("recovery_s_per_10k_changes", elapsed_s)]


def _write_changes(path, command):
    store = diskstore.DiskStore(path)
    for first in range(1, RECOVERY_CHANGE_COUNT + 1, RECOVERY_BATCH_ENTRIES):
        entries = [
            replicalog.Entry(index, 1, replicalog.EntryKind.COMMAND, command)
            for index in range(first, first + RECOVERY_BATCH_ENTRIES)
        ]
        hard_state = groupsettings.HardState(1, store.identity)
        store.append(groupsettings.PendingWrite(hard_state, entries))
    store.close()


@measure.MEASUREMENTS.register("append_bytes_per_entry")
def measure_append_bytes(seed: int) -> list[measure.Figure]:
    """Measure the wire overhead per entry, for a single entry and in a batch."""
    rng = random.Random(seed)
    figures = []
    for count in (1, CLIENT_COUNT):
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
    """Run seeded schedules of faults; a violation raises ViolationError."""
    faults = 0
    for number in range(SCHEDULE_COUNT):
        voters = VOTER_COUNTS[number % len(VOTER_COUNTS)]
        schedule = faultschedules.Schedule(seed * 1_000_000 + number, voters)
        faults += schedule.run().faults
    return [
        measure.Figure("faults_survived", SCHEDULE_COUNT, low=SCHEDULE_COUNT),
        measure.Figure("faults_injected", faults, low=SCHEDULE_COUNT),
    ]
