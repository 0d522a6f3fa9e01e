"""Formation of placement groups: which voters are proposed, and when.

A voter set proposed too early, or by a minority, could leave two groups in one data
centre.
"""

from kumquatproxy.configuration import configstate
from kumquatproxy.placement import formation

HOSTS = ("a", "b", "c")


def make_formation(host_id="a", identity="a/1", now=0.0):
    return formation.Formation(host_id, "dc-1", identity, HOSTS, now)


def receive_candidate(group_formation, host_id, identity, waiting_s, now):
    assert identity.startswith(host_id)
    group_formation.receive(formation.PlacementCandidate(identity, waiting_s), now)


def test_first_group_waits_for_all_configured_hosts():
    group_formation = make_formation()
    group_formation.tick(0.0)
    receive_candidate(group_formation, "b", "b/1", 0.0, 0.0)
    assert group_formation.proposal(None, 0, 0.5) is None
    receive_candidate(group_formation, "c", "c/1", 0.0, 0.5)
    command = group_formation.proposal(None, 0, 0.5)
    assert command.voters == ["a/1", "b/1", "c/1"] and command.base_fence == 0


def test_first_group_forms_after_timeout_although_a_host_is_missing():
    group_formation = make_formation()
    now = formation.FULL_GROUP_TIMEOUT_S + 1.0
    group_formation.tick(now)
    receive_candidate(group_formation, "b", "b/1", now, now)
    assert group_formation.proposal(None, 7, now).voters == ["a/1", "b/1"]


def test_minority_never_forms_a_group():
    # Guards against a group on each side of a network partition.
    group_formation = make_formation()
    now = 1000.0
    group_formation.tick(now)
    assert group_formation.proposal(None, 0, now) is None


def test_lost_group_is_formed_again_with_a_higher_base_fence():
    registered = configstate.Voters(base_fence=5, voters=["a/1", "b/1", "c/1"])
    group_formation = make_formation(identity="a/2")
    group_formation.tick(0.0)
    receive_candidate(group_formation, "b", "b/2", 0.0, 0.0)
    assert group_formation.proposal(registered, 40, 1.0) is None
    now = formation.REJOIN_TIMEOUT_S + 1.0
    group_formation.tick(now)
    receive_candidate(group_formation, "b", "b/2", now, now)
    command = group_formation.proposal(registered, 40, now)
    assert command.voters == ["a/2", "b/2"]
    assert command.base_fence == 40 + formation.FENCE_GAP


def test_expired_candidates_are_ignored():
    group_formation = make_formation()
    group_formation.tick(0.0)
    receive_candidate(group_formation, "b", "b/1", 0.0, 0.0)
    receive_candidate(group_formation, "c", "c/1", 0.0, 0.0)
    now = formation.CANDIDATE_EXPIRY_S + 2.0
    group_formation.tick(now)
    assert group_formation.proposal(None, 0, now) is None
