"""Schedules of faults, and that they catch each protection that is switched off."""

import os

import pytest

from kumquatproxy import wire
from kumquatproxy.agreement import consensus
from kumquatproxy.laboratory import (
    faultschedules,
    groupinvariants,
    registermachine,
    simgroup,
)

SEED = int(os.environ.get("FUZZ_SEED", "1"))


class VotesAnytime(consensus.Member):
    """Grant votes although a leader was heard."""

    def _ignores_vote_requests(self, now):
        return False


class ForgetsRestart(consensus.Member):
    """Grant votes right after a restart."""

    def __init__(self, settings, persisted_state, rng, now):
        super().__init__(settings, persisted_state, rng, now)
        self._leader_contact_at = float("-inf")


class ReadsWithoutLease(consensus.Member):
    """Let a leader answer reads that may have been replaced."""

    def is_serving(self, now):
        return self.leader_state is not None


class CommitsAnyTerm(consensus.Member):
    """Commit entries of earlier terms by counting."""

    def may_commit(self, index):
        return True


@pytest.mark.parametrize("voters", [3, 5, 7])
def test_schedules_without_violation(voters):
    """The counts show that the schedules reach what they are meant to check."""
    outcomes = [faultschedules.Schedule(seed, voters).run() for seed in range(8)]
    for name in outcomes[0]._fields():
        assert sum(getattr(outcome, name) for outcome in outcomes) > 0, name


@pytest.mark.fuzz
@pytest.mark.parametrize("voters", [3, 5, 7])
def test_many_schedules_without_violation(voters):
    for number in range(1000):
        faultschedules.Schedule(SEED * 10_000_000 + number, voters).run()


def test_a_schedule_repeats_with_its_seed():
    """A violation that cannot be repeated cannot be repaired."""
    outcomes = [faultschedules.Schedule(3, 5).run() for _ in range(2)]
    assert outcomes[0] == outcomes[1]


@pytest.mark.parametrize(
    "seed, fault, options, violation",
    [
        (0, "pause", {"member_class": ReadsWithoutLease}, "not linearizable"),
        (0, "crash-in-sync", {"syncs_first": False}, "fell from term"),
        (68, "stale-leader", {"lease_margin_s": 0.0}, "hold leases"),
        (26, "stale-leader", {"member_class": VotesAnytime}, "hold leases"),
        (26, "stale-leader", {"member_class": ForgetsRestart}, "hold leases"),
    ],
)
def test_a_protection_switched_off_is_caught(seed, fault, options, violation):
    faultschedules.Schedule(seed, 3, faults=[fault]).run()
    with pytest.raises(faultschedules.ViolationError, match=violation) as caught:
        faultschedules.Schedule(seed, 3, faults=[fault], **options).run()
    assert f"seed {seed} " in str(caught.value)


def test_a_host_without_its_disk_under_its_old_identity_is_caught(monkeypatch):
    """The identity has forgotten its votes and what it acknowledged."""
    faultschedules.Schedule(0, 3, faults=["lose-disk"]).run()

    def keep_identity(schedule, host_id):
        schedule.group.nodes_by_host[host_id].lose_disk("0")

    monkeypatch.setattr(faultschedules.Schedule, "change_disk", keep_identity)
    with pytest.raises(faultschedules.ViolationError, match="fell from term"):
        faultschedules.Schedule(0, 3, faults=["lose-disk"]).run()


def run_until(group, is_reached, limit_s=10.0):
    end = group.now + limit_s
    while not is_reached():
        assert group.now < end, "the step of the script was not reached"
        group.run(0.001)


def block_from(group, host, targets):
    group.faults.blocked |= {(host, target) for target in targets}


def leader_after(group, term):
    leader = group.leader()
    return leader if leader is not None and leader.member.term > term else None


def replace_entry_held_by_quorum(member_class):
    """Replace an entry of an earlier term that a later leader has put on a quorum.

    The steps are those of figure 8 of the Raft paper.
    """
    hosts = ["h1", "h2", "h3", "h4", "h5"]
    group = simgroup.Group(
        1,
        hosts,
        groupinvariants.Invariants(),
        registermachine.RegisterMachine,
        member_class=member_class,
        max_batch_entries=1,
        max_in_flight=1,
    )
    group.start()
    group.run(8.0)
    first = group.leader()
    partner, *rest = [node for node in group.nodes if node is not first]
    block_from(group, first.host_id, [node.host_id for node in rest])
    command = wire.encode(registermachine.RegisterCall(["write", 1], b""))
    index = first.member.propose(command, first.clock()).index
    first.pump()
    run_until(group, lambda: partner.member.state.log.last_index >= index)
    group.run(0.05)
    term = first.member.term
    first.crash()
    partner.crash()
    run_until(group, lambda: leader_after(group, term))
    second = group.leader()
    block_from(group, second.host_id, hosts)
    group.run(0.03)
    term = second.member.term
    second.crash()
    group.faults.blocked.clear()
    first.start()
    partner.start()
    run_until(group, lambda: leader_after(group, term), 30.0)
    third = group.leader()
    held = [node for node in rest if node is not second]
    run_until(group, lambda: any(held_by(node, index) for node in held))
    term = third.member.term
    block_from(group, third.host_id, [node.host_id for node in held])
    group.run(0.05)
    first.crash()
    partner.crash()
    second.start()
    group.faults.blocked.clear()
    run_until(group, lambda: leader_after(group, term), 30.0)
    return group


def held_by(node, index):
    return node.member.state.log.term_at(index) is not None


def test_only_entries_of_the_own_term_commit_by_counting():
    with pytest.raises(groupinvariants.InvariantError, match="without the committed"):
        replace_entry_held_by_quorum(CommitsAnyTerm)
    group = replace_entry_held_by_quorum(consensus.Member)
    assert group.leader() is not None
