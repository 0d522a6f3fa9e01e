"""Formation of placement groups: who is proposed, and when."""

from kumquatproxy.configuration import configstate
from kumquatproxy.placement import formation

HOSTS = ("a", "b", "c")


def former(host_id="a", identity="a/1", now=0.0):
    return formation.Formation(host_id, "dc-1", identity, HOSTS, now)


def receive_candidate(one, host_id, identity, waiting_s, now):
    assert identity.startswith(host_id)
    one.receive(formation.PlacementCandidate(identity, waiting_s), now)


def test_a_first_group_waits_for_all_configured_hosts():
    one = former()
    one.tick(0.0)
    receive_candidate(one, "b", "b/1", 0.0, 0.0)
    assert one.proposal(None, 0, 0.5) is None
    receive_candidate(one, "c", "c/1", 0.0, 0.5)
    command = one.proposal(None, 0, 0.5)
    assert command.voters == ["a/1", "b/1", "c/1"] and command.base_fence == 0


def test_a_first_group_forms_without_one_host_after_a_wait():
    one = former()
    now = formation.FULL_GROUP_TIMEOUT_S + 1.0
    one.tick(now)
    receive_candidate(one, "b", "b/1", now, now)
    assert one.proposal(None, 7, now).voters == ["a/1", "b/1"]


def test_a_minority_never_forms_a_group():
    # Guards against two groups on the two sides of a partition.
    one = former()
    now = 1000.0
    one.tick(now)
    assert one.proposal(None, 0, now) is None


def test_a_lost_group_is_formed_anew_above_every_fence():
    registered = configstate.Voters(base_fence=5, voters=["a/1", "b/1", "c/1"])
    one = former(identity="a/2")
    one.tick(0.0)
    receive_candidate(one, "b", "b/2", 0.0, 0.0)
    assert one.proposal(registered, 40, 1.0) is None
    now = formation.REJOIN_TIMEOUT_S + 1.0
    one.tick(now)
    receive_candidate(one, "b", "b/2", now, now)
    command = one.proposal(registered, 40, now)
    assert command.voters == ["a/2", "b/2"]
    assert command.base_fence == 40 + formation.FENCE_GAP


def test_candidates_that_went_silent_do_not_count():
    one = former()
    one.tick(0.0)
    receive_candidate(one, "b", "b/1", 0.0, 0.0)
    receive_candidate(one, "c", "c/1", 0.0, 0.0)
    now = formation.CANDIDATE_EXPIRY_S + 2.0
    one.tick(now)
    assert one.proposal(None, 0, now) is None
