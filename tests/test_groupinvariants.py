"""Each invariant fails when it is broken."""

import pytest

from kumquatproxy import wire
from kumquatproxy.agreement import groupsettings, raftmessages, replicalog
from kumquatproxy.laboratory import groupinvariants, registermachine, simgroup


@pytest.fixture
def group():
    running = simgroup.Group(
        1,
        ["h1", "h2", "h3"],
        groupinvariants.Invariants(),
        registermachine.RegisterMachine,
    )
    running.start()
    running.run(6.0)
    return running


def follower(group):
    return next(node for node in group.nodes if node.member.leader_state is None)


def write(group):
    leader = group.leader()
    command = wire.encode(registermachine.RegisterCall(["write", 1], b""))
    leader.member.propose(command, leader.clock())
    leader.pump()
    group.run(2.0)


def test_a_healthy_group_passes(group):
    write(group)
    assert group.invariants.checks > 100


def test_two_votes_in_one_term(group):
    node = follower(group)
    first, second = (
        raftmessages.VoteReply(
            group="sim", source=node.identity, target=candidate, term=9, granted=True
        )
        for candidate in ("h2/0", "h3/0")
    )
    group.invariants.sent(node, first)
    with pytest.raises(groupinvariants.InvariantError, match="voted for h2/0 and h3/0"):
        group.invariants.sent(node, second)


def test_two_leaders_in_one_term(group):
    node = follower(group)
    node.member.leader_state = group.leader().member.leader_state
    with pytest.raises(groupinvariants.InvariantError, match="lead in term"):
        group.invariants.check(node)


def test_a_committed_entry_that_changed(group):
    write(group)
    node = group.leader()
    entry = node.member.state.log.slice(1, 1)[0]
    changed = replicalog.Entry(entry.index, entry.term, entry.kind, b"changed")
    with pytest.raises(groupinvariants.InvariantError, match="committed"):
        group.invariants._note_committed(node, changed)


def test_a_commit_that_was_taken_back(group):
    node = group.leader()
    node.member.state.commit_index = 0
    with pytest.raises(groupinvariants.InvariantError, match="took back commit"):
        group.invariants.check(node)


def test_a_skipped_entry(group):
    node = follower(group)
    entry = replicalog.Entry(99, 1, replicalog.EntryKind.NOOP, b"")
    outputs = groupsettings.Outputs(groupsettings.PendingWrite(), [], [entry], None, [])
    with pytest.raises(groupinvariants.InvariantError, match="skipped entry"):
        group.invariants.applied(node, outputs)


def test_states_that_differ(group):
    for number, node in enumerate(group.nodes):
        node.applier.machine.applied = number
    with pytest.raises(groupinvariants.InvariantError, match="differs in its state"):
        write(group)


def test_a_fence_that_fell(group):
    group.invariants.max_fence = 99
    with pytest.raises(groupinvariants.InvariantError, match="after 99"):
        group.invariants.check(group.leader())
