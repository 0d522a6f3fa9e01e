"""Invariant checks detect violations; more cases are in test_faultschedules.py."""

import pytest

from kumquatproxy import wire
from kumquatproxy.agreement import groupsettings, raftmessages, replicalog
from kumquatproxy.laboratory import groupinvariants, registermachine, simgroup


@pytest.fixture
def group():
    simulated_group = simgroup.Group(
        1,
        ["h1", "h2", "h3"],
        groupinvariants.Invariants(),
        registermachine.RegisterMachine,
    )
    simulated_group.start()
    simulated_group.run(6.0)
    return simulated_group


def find_follower(group):
    return next(node for node in group.nodes if node.member.leader_state is None)


def write(group):
    leader = group.leader()
    command = wire.encode(registermachine.RegisterCall(["write", 1], b""))
    leader.member.propose(command, leader.clock())
    leader.pump()
    group.run(2.0)


def test_group_without_faults_violates_no_invariant(group):
    write(group)
    assert group.invariants.checks > 100


def test_second_vote_in_one_term_is_detected(group):
    node = find_follower(group)
    first, second = (
        raftmessages.VoteReply(
            group="sim", source=node.identity, target=candidate, term=9, granted=True
        )
        for candidate in ("h2/0", "h3/0")
    )
    group.invariants.check_sent(node, first)
    with pytest.raises(groupinvariants.InvariantError, match="voted for h2/0 and h3/0"):
        group.invariants.check_sent(node, second)


def test_second_leader_in_one_term_is_detected(group):
    node = find_follower(group)
    node.member.leader_state = group.leader().member.leader_state
    with pytest.raises(
        groupinvariants.InvariantError, match="are both leaders in term"
    ):
        group.invariants.check(node)


def test_change_of_a_committed_entry_is_detected(group):
    write(group)
    node = group.leader()
    entry = node.member.state.log.slice(1, 1)[0]
    changed = replicalog.Entry(entry.index, entry.term, entry.kind, b"changed")
    with pytest.raises(groupinvariants.InvariantError, match="committed"):
        group.invariants._record_committed(node, changed)


def test_decrease_of_the_commit_index_is_detected(group):
    node = group.leader()
    node.member.state.commit_index = 0
    with pytest.raises(
        groupinvariants.InvariantError, match="decreased its commit index from"
    ):
        group.invariants.check(node)


def test_skipped_entry_is_detected(group):
    node = find_follower(group)
    entry = replicalog.Entry(99, 1, replicalog.EntryKind.NOOP, b"")
    outputs = groupsettings.Outputs(groupsettings.PendingWrite(), [], [entry], None, [])
    with pytest.raises(groupinvariants.InvariantError, match="did not apply entry"):
        group.invariants.check_applied(node, outputs)


def test_different_states_at_one_index_are_detected(group):
    for number, node in enumerate(group.nodes):
        node.applier.machine.applied = number
    with pytest.raises(
        groupinvariants.InvariantError, match="has a different state at index"
    ):
        write(group)


def test_lease_with_a_lower_fence_is_detected(group):
    group.invariants.max_fence = 99
    with pytest.raises(
        groupinvariants.InvariantError, match="below the earlier fence 99"
    ):
        group.invariants.check(group.leader())
