"""Replication task of a member: commits, restarts, full disks, answers to proposers."""

import contextlib
import errno
import os
import random
import time

import gevent
import gevent.monkey
import pytest

from kumquatproxy import errors, logs, wire
from kumquatproxy.agreement import (
    consensus,
    diskstore,
    groupsettings,
    replication,
    voterset,
)
from kumquatproxy.laboratory import histories, registermachine

HOSTS = ("h1", "h2", "h3")
IDENTITIES = [voterset.make_identity(host, "0") for host in HOSTS]
TIMEOUT_S = 20.0
sleep = gevent.monkey.get_original("time", "sleep")


class Members:
    """Run three members whose messages are encoded and decoded on the way."""

    def __init__(self, directory):
        self.directory = directory
        self.tasks_by_host = {}
        self.full_hosts = set()
        self.tick_s = 0.01
        self.sync_s = 0.0
        voters = voterset.VoterSet(IDENTITIES).encode()
        for host, identity in zip(HOSTS, IDENTITIES):
            state = groupsettings.bootstrap_state(voters)
            diskstore.format_directory(directory / host, identity, state)

    def start(self, host):
        def sync(descriptor):
            sleep(self.sync_s)
            if host in self.full_hosts:
                raise OSError(errno.ENOSPC, "No space left on device")
            os.fsync(descriptor)

        def send(to, message):
            if to in self.tasks_by_host:
                decoded = wire.decode(wire.encode(message))
                self.tasks_by_host[to].receive(host, decoded)

        store = diskstore.DiskStore(self.directory / host, sync=sync)
        settings = groupsettings.GroupSettings(
            "test",
            store.identity,
            election_timeout_s=0.2,
            heartbeat_s=0.05,
            lease_margin_s=0.05,
            retained_entries=0,
        )
        rng = random.Random(host)
        member = consensus.Member(settings, store.state, rng, time.monotonic())
        task = replication.Replication(
            member,
            store,
            registermachine.RegisterMachine(),
            send,
            snapshot_interval_entries=20,
            tick_interval_s=self.tick_s,
        )
        self.tasks_by_host[host] = task
        task.start()

    def stop(self, host):
        self.tasks_by_host.pop(host).stop()

    def wait_for(self, is_reached):
        """Wait until ``is_reached`` is true; the timeout only ends a hanging test."""
        with gevent.Timeout(TIMEOUT_S):
            while not is_reached():
                gevent.sleep(0.005)

    def leader(self):
        """Wait for a leader that can serve reads and return its task."""
        found = []

        def find_leader():
            now = time.monotonic()
            tasks = self.tasks_by_host.values()
            found[:] = [task for task in tasks if task.member.is_serving(now)]
            return found

        self.wait_for(find_leader)
        return found[0]

    def change_voters(self, change, is_changed):
        """Repeat a change until it is committed; a new leader may have dropped it."""

        def try_change():
            leader = self.leader()
            state = leader.member.state
            if is_changed(state.voter_set):
                return state.voter_set_index <= state.commit_index
            with contextlib.suppress(errors.ProxyError):
                leader.ask(replication.ChangeVoters(change), TIMEOUT_S)
            return False

        self.wait_for(try_change)


@pytest.fixture
def members(tmp_path):
    running = Members(tmp_path)
    for host in HOSTS:
        running.start(host)
    yield running
    for host in list(running.tasks_by_host):
        running.stop(host)


def write(task, value):
    command = registermachine.RegisterCall(["write", value], b"")
    return task.submit(command, TIMEOUT_S).value


def host_of(task):
    return voterset.host_of(task.member.settings.identity)


def test_commands_are_kept_across_a_restart_of_all_members(members):
    leader = members.leader()
    for value in range(50):
        assert write(leader, value) is True
    for host in HOSTS:
        members.stop(host)
    for host in HOSTS:
        members.start(host)
    leader = members.leader()
    assert leader.machine.value == 49 and leader.machine.applied == 50


def test_history_of_concurrent_clients_is_linearizable(members):
    """Guards against answers given to the wrong proposal or before its commit."""
    rng = random.Random(5)
    operations = []

    def run(client):
        for _ in range(15):
            call = ("cas", rng.randrange(3), rng.randrange(3))
            if rng.random() < 0.3:
                call = ("write", rng.randrange(3))
            if rng.random() < 0.3:
                call = ("read",)
            while not submit(histories.Operation(client, call, time.monotonic())):
                pass

    def submit(operation):
        """Return whether the call may have been executed."""
        command = registermachine.RegisterCall(list(operation.call), b"")
        try:
            operation.result = members.leader().submit(command, TIMEOUT_S).value
            operation.returned_at = time.monotonic()
        except errors.ProxyError as error:
            if error.executed == "no":
                return False
        operations.append(operation)
        return True

    clients = [gevent.spawn(run, name) for name in "abcd"]
    gevent.sleep(0.02)
    first = members.leader()
    first.ask(replication.TransferLeadership(), TIMEOUT_S)
    members.wait_for(lambda: members.leader() is not first)
    gevent.joinall(clients, raise_error=True)
    assert len(operations) == 60
    assert histories.is_linearizable(operations, histories.compare_and_set_register)


@pytest.mark.parametrize("sync_s", [0.0, 2 * replication.MAX_INLINE_WRITE_S])
def test_leader_with_a_full_disk_is_replaced_and_recovers(members, sync_s):
    """Writes to a slow disk run in a thread, whose errors must be handled as well."""
    members.sync_s = sync_s
    leader = members.leader()
    assert write(leader, 1) is True
    members.full_hosts.add(host_of(leader))
    pending = gevent.spawn(write, leader, 2)
    members.wait_for(lambda: leader.storage_error is not None)
    assert leader.storage_error.kind is errors.ErrorKind.DISK_FULL
    assert not leader.member.has_lease(time.monotonic())
    successor = members.leader()
    assert successor is not leader
    write(successor, 3)
    members.full_hosts.clear()
    members.wait_for(lambda: leader.storage_error is None)
    members.wait_for(lambda: leader.machine.value == 3)
    assert pending.get(timeout=TIMEOUT_S) is True


def test_commands_are_committed_after_all_disks_were_full_in_turn(members, monkeypatch):
    """None of the disks had room to remove what a failed write had left."""
    real_truncate = os.ftruncate
    full_paths = set()

    def truncate(descriptor, size):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if any(path.startswith(full_path) for full_path in full_paths):
            raise OSError(errno.ENOSPC, "No space left on device")
        real_truncate(descriptor, size)

    monkeypatch.setattr(os, "ftruncate", truncate)
    for value, host in enumerate(HOSTS):
        task = members.tasks_by_host[host]
        members.full_hosts.add(host)
        full_paths.add(str(members.directory / host))
        members.wait_for(lambda task=task: not has_room(members, task))
        members.full_hosts.clear()
        full_paths.clear()
        members.wait_for(lambda task=task: task.storage_error is None)
        assert write(members.leader(), value) is True
    for task in members.tasks_by_host.values():
        members.wait_for(lambda task=task: task.machine.value == len(HOSTS) - 1)


def has_room(members, task):
    """Return whether the store of a member takes writes, after one more command."""
    with contextlib.suppress(errors.ProxyError):
        leader = members.leader()
        leader.submit(registermachine.RegisterCall(["write", -1], b""), 0.05)
    return task.storage_error is None


def test_follower_refuses_a_command_with_not_leader(members):
    leader = members.leader()
    follower = next(
        task for task in members.tasks_by_host.values() if task is not leader
    )
    with pytest.raises(consensus.NotLeader) as caught:
        write(follower, 1)
    assert caught.value.executed == "no"
    assert caught.value.leader_id == leader.member.settings.identity


def test_outcome_is_unknown_without_a_quorum(members):
    """The command may still commit later, so it must not be reported as not run."""
    leader = members.leader()
    for host in set(HOSTS) - {host_of(leader)}:
        members.stop(host)
    with pytest.raises(errors.ProxyError) as caught:
        leader.submit(registermachine.RegisterCall(["write", 1], b""), 0.1)
    assert caught.value.executed == "unknown"


def test_host_without_a_disk_keeps_its_state_in_memory():
    """A host may take part in a group without a data folder."""
    state = groupsettings.bootstrap_state(voterset.VoterSet(["h1/a"]).encode())
    store = diskstore.MemoryStore("h1/a", state)
    settings = groupsettings.GroupSettings("test", "h1/a", election_timeout_s=0.2)
    now = time.monotonic()
    member = consensus.Member(settings, store.state, random.Random(1), now)
    machine = registermachine.RegisterMachine()
    task = replication.Replication(member, store, machine, lambda *_: None)
    task.start()
    with gevent.Timeout(TIMEOUT_S):
        while member.leader_state is None:
            gevent.sleep(0.005)
    assert write(task, 3) is True and machine.value == 3
    task.stop()


def test_malformed_command_is_refused_without_stopping_the_member(members):
    leader = members.leader()
    request = replication.SubmitCommand(b"\xff")
    leader.tell(request)
    result = request.reply.get(timeout=TIMEOUT_S)
    assert result.kind is errors.ErrorKind.PROTOCOL_ERROR
    assert write(leader, 4) is True


def test_log_tells_how_an_empty_member_becomes_a_voter(members, monkeypatch):
    """Guards against a member that never becomes a voter for no visible reason."""
    lines = []

    def record(log, now, sentence, **fields):
        lines.append((sentence, fields))

    def record_limited(log, now, kind, sentence, **fields):
        lines.append((sentence, fields))

    monkeypatch.setattr(logs.Log, "write", record)
    monkeypatch.setattr(logs.Log, "write_limited", record_limited)

    def wait_for_line(start, **expected):
        members.wait_for(
            lambda: any(
                sentence.startswith(start) and expected.items() <= fields.items()
                for sentence, fields in lines
            )
        )

    for value in range(50):
        with contextlib.suppress(consensus.NotLeader):  # another one was elected
            write(members.leader(), value)
    wait_for_line("took the snapshot at entry")
    identity = voterset.make_identity("h4", "0")
    diskstore.format_directory(
        members.directory / "h4", identity, groupsettings.bootstrap_state()
    )
    change = voterset.Change(voterset.ChangeKind.ADD_LEARNER, identity)
    members.change_voters(change, lambda voters: identity in voters.learners)
    wait_for_line("the members have changed", added=[identity], promoted=[])
    wait_for_line(f"learner {identity} has not caught up", match_index=0)
    members.start("h4")
    wait_for_line("installed the snapshot at entry")
    wait_for_line(f"learner {identity} has caught up")
    change = voterset.Change(voterset.ChangeKind.PROMOTE, identity)
    members.change_voters(change, lambda voters: identity in voters.voters)
    wait_for_line("the members have changed", promoted=[identity])
