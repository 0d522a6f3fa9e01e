"""Elections, leases, transfer, members that join again, snapshots, full disks."""

import random

import pytest

from kumquatproxy import errors, wire
from kumquatproxy.agreement import (
    consensus,
    groupsettings,
    raftmessages,
    replicalog,
    voterset,
)
from kumquatproxy.laboratory import groupinvariants, registermachine, simgroup

VOTERS = ("h1/0", "h2/0", "h3/0")


def make_group(voters=3, seed=1, **options):
    hosts = [f"h{number}" for number in range(1, voters + 1)]
    group = simgroup.Group(
        seed,
        hosts,
        groupinvariants.Invariants(),
        registermachine.RegisterMachine,
        **options,
    )
    group.start()
    group.run(6.0)
    return group


def write(group, value, node=None):
    node = node or group.leader()
    command = wire.encode(registermachine.RegisterCall(["write", value], b""))
    results = []
    node.applier.add_callback(
        node.member.propose(command, node.clock()), results.append
    )
    node.pump()
    return results


def isolate(group, host):
    others = set(group.nodes_by_host) - {host}
    group.faults.blocked |= {(host, other) for other in others}
    group.faults.blocked |= {(other, host) for other in others}


def make_member(identity="h1/0", voters=VOTERS, now=100.0):
    state = groupsettings.bootstrap_state(voterset.VoterSet(voters).encode())
    settings = groupsettings.GroupSettings("g", identity)
    return consensus.Member(settings, state, random.Random(1), now)


def ask_vote(member, term, now, transfer=False):
    vote = raftmessages.VoteRequest(
        group="g",
        source="h2/0",
        target=member.settings.identity,
        term=term,
        last_index=0,
        last_term=0,
        transfer=transfer,
    )
    member.receive("h2", vote, now)
    sent = [send.message for send in member.take_ready().messages]
    return any(isinstance(m, raftmessages.VoteReply) and m.granted for m in sent)


def heartbeat(member, term, now, source="h3/0"):
    message = raftmessages.AppendEntries(
        group="g",
        source=source,
        target=member.settings.identity,
        term=term,
        prev_index=0,
        prev_term=0,
        entries=[],
        commit=0,
        sent_at=1.0,
    )
    member.receive(voterset.host_of(source), message, now)


@pytest.mark.parametrize("voters", [1, 3, 5, 7])
def test_one_leader_commits_on_all_members(voters):
    group = make_group(voters)
    results = write(group, 5)
    group.run(2.0)
    assert [result.value for result in results] == [True]
    assert {node.applier.machine.value for node in group.nodes} == {5}


def test_a_voter_that_was_cut_off_does_not_raise_the_term():
    """Without pre-vote its return would end the term of a healthy leader."""
    group = make_group()
    leader = group.leader()
    term = leader.member.term
    cut_off = next(node for node in group.nodes if node is not leader)
    isolate(group, cut_off.host_id)
    group.run(20.0)
    group.faults.blocked.clear()
    group.run(5.0)
    assert group.leader() is leader and leader.member.term == term


def test_a_leader_without_quorum_steps_down():
    """Otherwise clients would wait at a leader that cannot commit."""
    group = make_group()
    leader = group.leader()
    isolate(group, leader.host_id)
    group.run(2.0)
    assert leader.member.role is not consensus.Role.LEADER
    with pytest.raises(consensus.NotLeader):
        write(group, 1, leader)


def test_votes_are_refused_while_a_leader_was_heard():
    """A vote within the election timeout would break the lease of the leader."""
    member = make_member()
    heartbeat(member, 1, 110.0)
    member.take_ready()
    assert not ask_vote(member, 2, 111.0)
    assert member.term == 1
    assert ask_vote(member, 2, 111.3)


def test_votes_are_refused_in_a_term_heard_of_elsewhere():
    """The new term may be known already while the old leader still has its lease."""
    member = make_member()
    heartbeat(member, 1, 110.0)
    refusal = raftmessages.PreVoteReply(
        group="g", source="h2/0", target="h1/0", term=2, granted=False
    )
    member.receive("h2", refusal, 110.1)
    assert member.term == 2
    assert not ask_vote(member, 2, 110.2)


def test_votes_are_refused_after_a_restart():
    """The member may have answered a leader just before it was restarted."""
    member = make_member(now=100.0)
    assert not ask_vote(member, 1, 101.0)
    assert ask_vote(member, 1, 101.3)


def test_a_vote_survives_a_restart():
    """A forgotten vote would allow two leaders in one term."""
    member = make_member()
    member.receive("h2", vote_of("h2/0"), 102.0)
    persist = member.take_ready().persist
    assert persist.hard_state == groupsettings.HardState(1, "h2/0")
    disk = simgroup.Disk(
        groupsettings.bootstrap_state(voterset.VoterSet(VOTERS).encode())
    )
    disk.sync(persist)
    again = consensus.Member(member.settings, disk.load(), random.Random(1), 200.0)
    again.receive("h3", vote_of("h3/0"), 210.0)
    replies = [send.message.granted for send in again.take_ready().messages]
    assert replies == [False]


def vote_of(source):
    return raftmessages.VoteRequest(
        group="g",
        source=source,
        target="h1/0",
        term=1,
        last_index=0,
        last_term=0,
        transfer=False,
    )


@pytest.mark.parametrize(
    "message_class", [raftmessages.PreVoteRequest, raftmessages.VoteRequest]
)
@pytest.mark.parametrize("last, granted", [((1, 9), False), ((2, 1), True)])
def test_votes_go_only_to_logs_that_are_as_recent(message_class, last, granted):
    """A leader with an older log would replace committed entries."""
    member = make_member()
    kind = replicalog.EntryKind.NOOP
    for index in (1, 2):
        member.state.append(replicalog.Entry(index, index, kind, b""))
    member.term = 2
    fields = {"transfer": False} if message_class is raftmessages.VoteRequest else {}
    message = message_class(
        group="g",
        source="h2/0",
        target="h1/0",
        term=3,
        last_term=last[0],
        last_index=last[1] + 1,
        **fields,
    )
    member.receive("h2", message, 110.0)
    replies = [send.message.granted for send in member.take_ready().messages]
    assert replies == [granted]


def test_a_transfer_gives_up_the_lease_before_the_target_is_asked():
    group = make_group()
    leader = group.leader()
    target = next(node for node in group.nodes if node is not leader)
    assert leader.member.has_lease(leader.clock())
    leader.member.transfer_leadership(target.identity, leader.clock())
    assert not leader.member.has_lease(leader.clock())
    with pytest.raises(consensus.NotLeader):
        write(group, 1, leader)
    leader.pump()
    group.run(1.0)
    assert group.leader() is target


def test_a_leader_that_asked_a_lost_target_leads_no_more():
    """The request may still arrive, and the election would ignore a new lease."""
    group = make_group()
    leader = group.leader()
    target = next(node for node in group.nodes if node is not leader)
    group.faults.blocked.add((leader.host_id, target.host_id))
    leader.member.transfer_leadership(target.identity, leader.clock())
    leader.pump()
    group.run(1.6)
    assert leader.member.leader is None
    assert leader.member.step_down_reason.startswith("transfer")


def test_a_host_without_its_disk_comes_back_as_another_voter():
    """The old identity may have voted; it must never vote or be counted again."""
    group = make_group()
    lost = next(node for node in group.nodes if node is not group.leader())
    lost.lose_disk("new")
    lost.start()
    group.run(15.0)
    voters = group.leader().member.voter_set.voters
    assert f"{lost.host_id}/new" in voters and f"{lost.host_id}/0" not in voters
    assert len(voters) == 3
    assert lost.applier.applied_index == group.leader().applier.applied_index


def test_messages_for_an_earlier_identity_are_dropped():
    member = make_member(identity="h1/new")
    member.receive("h2", vote_of("h2/0"), 110.0)
    assert member.take_ready().messages == []


def test_messages_under_a_false_sender_are_dropped():
    member = make_member()
    member.receive("h3", vote_of("h2/0"), 110.0)
    assert member.take_ready().messages == []


def test_a_learner_catches_up_by_snapshot_chunks_and_becomes_a_voter():
    group = make_group(spare_hosts=("s1",), chunk_bytes=3, retained_entries=0)
    for value in range(40):
        write(group, value)
        group.run(0.1)
    leader = group.leader()
    assert leader.member.state.log.base_index > 10
    change = voterset.Change(voterset.ChangeKind.ADD_VOTER, "s1/0")
    leader.member.propose_change(change, leader.clock())
    group.run(6.0)
    joined = group.nodes_by_host["s1"]
    assert "s1/0" in leader.member.voter_set.voters
    assert joined.applier.machine.value == 39


def test_one_change_of_the_voters_at_a_time():
    """Two changes at once could leave two quorums that do not overlap."""
    group = make_group(spare_hosts=("s1",))
    leader = group.leader()
    isolate(group, leader.host_id)
    add = voterset.Change(voterset.ChangeKind.ADD_LEARNER, "s1/0")
    leader.member.propose_change(add, leader.clock())
    remove = voterset.Change(voterset.ChangeKind.REMOVE, "s1/0")
    with pytest.raises(errors.ProxyError, match="not committed"):
        leader.member.propose_change(remove, leader.clock())


@pytest.mark.parametrize(
    "kind, identity, text",
    [
        (voterset.ChangeKind.REMOVE, None, "transfer its leadership first"),
        (voterset.ChangeKind.PROMOTE, "s1/0", "not caught up"),
        (voterset.ChangeKind.ADD_VOTER, "h1/0", "a member already"),
        (voterset.ChangeKind.REMOVE, "x/0", "not a member"),
    ],
)
def test_impossible_changes_are_refused(kind, identity, text):
    group = make_group(spare_hosts=("s1",))
    leader = group.leader()
    change = voterset.Change(kind, identity or leader.identity)
    with pytest.raises(errors.ProxyError, match=text):
        leader.member.propose_change(change, leader.clock())


def test_a_removal_that_would_stop_the_group_is_refused():
    """With one voter down, the rest of a group of three must not become two of two."""
    group = make_group()
    leader = group.leader()
    down, other = (node for node in group.nodes if node is not leader)
    down.crash()
    group.run(2.0)
    remove = voterset.Change(voterset.ChangeKind.REMOVE, other.identity)
    with pytest.raises(errors.ProxyError, match="too few of the remaining"):
        leader.member.propose_change(remove, leader.clock())
    remove = voterset.Change(voterset.ChangeKind.REMOVE, down.identity)
    leader.member.propose_change(remove, leader.clock())


def test_a_learner_that_stays_silent_is_removed():
    """It has lost its disk again and would never become a voter."""
    group = make_group(spare_hosts=("s1",), learner_expiry_s=5.0)
    leader = group.leader()
    group.nodes_by_host["s1"].crash()
    change = voterset.Change(voterset.ChangeKind.ADD_VOTER, "s1/0")
    leader.member.propose_change(change, leader.clock())
    group.run(2.0)
    assert leader.member.voter_set.promoting == ("s1/0",)
    group.run(8.0)
    assert leader.member.voter_set.learners == ()


def test_a_group_that_replaces_a_lost_one_starts_above_its_fence():
    state = groupsettings.bootstrap_state(voterset.VoterSet(["h1/0"]).encode(), 41)
    settings = groupsettings.GroupSettings("g", "h1/0")
    member = consensus.Member(settings, state, random.Random(1), 10.0)
    member.tick(20.0)
    assert member.role is consensus.Role.LEADER and member.term == 42


def test_two_hosts_of_seven_come_back_at_once():
    """The limit on voters must not keep the second one out."""
    group = make_group(7)
    lost = [node for node in group.nodes if node is not group.leader()][:2]
    for node in lost:
        node.lose_disk("new")
        node.start()
    group.run(20.0)
    voters = group.leader().member.voter_set.voters
    assert len(voters) == 7 and {node.identity for node in lost} < set(voters)


def test_a_leader_with_a_full_disk_steps_down_and_loses_nothing():
    group = make_group()
    leader = group.leader()
    group.faults.full_disks.add(leader.host_id)
    results = write(group, 7, leader)
    group.run(0.1)
    assert leader.member.leader is None and leader.member.halted
    group.run(5.0)
    assert group.leader() is not leader
    assert [result.value for result in results] == []
    group.faults.full_disks.clear()
    group.run(5.0)
    assert not leader.member.halted
    assert [result.value for result in results] == [True]


def test_every_batch_fits_into_a_frame():
    """A frame over the limit could never be sent, and replication would stop."""
    largest = groupsettings.MAX_COMMAND_BYTES
    small = groupsettings.MAX_BATCH_BYTES // groupsettings.MAX_BATCH_ENTRIES
    for size, count in ((largest, 3), (small, 3000), (1, 3000)):
        log = replicalog.ReplicaLog()
        for index in range(1, count + 1):
            kind = replicalog.EntryKind.COMMAND
            log.append(replicalog.Entry(index, 2**40, kind, bytes(size)))
        batch = log.batch(
            1, groupsettings.MAX_BATCH_ENTRIES, groupsettings.MAX_BATCH_BYTES
        )
        message = raftmessages.AppendEntries(
            group="g" * 40,
            source="h" * 80,
            target="h" * 80,
            term=2**40,
            prev_index=2**40,
            prev_term=2**40,
            entries=raftmessages.encode_entries(batch),
            commit=2**40,
            sent_at=1.5,
        )
        decoded = wire.decode(wire.encode(message))
        assert [entry.data for entry in raftmessages.unpack(decoded)] == [
            entry.data for entry in batch
        ]


@pytest.mark.parametrize(
    "field, value",
    [
        ("entries", [[1, 99, b""]]),
        ("entries", [1]),
        ("entries", None),
        ("term", "2"),
        ("prev_index", -1),
        ("commit", True),
        ("sent_at", float("nan")),
        ("source", 5),
    ],
)
def test_malformed_messages_are_refused(field, value):
    """A wrong type must not end the task that owns the member."""
    fields = {
        "group": "g",
        "source": "h3/0",
        "target": "h1/0",
        "term": 1,
        "prev_index": 0,
        "prev_term": 0,
        "entries": [],
        "commit": 0,
        "sent_at": 1.0,
    }
    message = raftmessages.AppendEntries(**{**fields, field: value})
    with pytest.raises(errors.ProxyError, match="protocol-error"):
        make_member().receive("h3", message, 110.0)


def test_a_false_sending_time_does_not_extend_the_lease():
    group = make_group()
    leader = group.leader()
    for node in group.nodes:
        if node is not leader:
            reply = raftmessages.AppendReply(
                group="sim",
                source=node.identity,
                target=leader.identity,
                term=leader.member.term,
                ok=True,
                index=0,
                hint=0,
                sent_at=1e9,
            )
            leader.member.receive(node.host_id, reply, leader.clock())
    assert leader.member.lease_until < leader.clock() + 1.2


def test_an_oversized_command_is_refused():
    group = make_group()
    leader = group.leader()
    with pytest.raises(errors.ProxyError) as caught:
        leader.member.propose(
            bytes(groupsettings.MAX_COMMAND_BYTES + 1), leader.clock()
        )
    assert caught.value.kind is errors.ErrorKind.BODY_TOO_LARGE
