"""Voter sets: overlap of quorums across changes, limits and encoding."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatproxy import errors
from kumquatproxy.agreement import voterset

IDENTITIES = [f"h{host}/{disk}" for host in range(9) for disk in range(2)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(voterset.ChangeKind)), st.sampled_from(IDENTITIES)
        ),
        max_size=40,
    )
)
def test_quorums_before_and_after_a_change_overlap(steps):
    """Quorums that do not overlap could elect two leaders in one term."""
    current = voterset.VoterSet(["h0/0", "h1/0", "h2/0"])
    for kind, identity in steps:
        try:
            changed = current.with_change(voterset.Change(kind, identity))
        except errors.ProxyError:
            continue
        assert 1 <= len(changed.voters) <= voterset.MAX_VOTERS
        assert set(changed.promoting) <= set(changed.learners)
        assert not set(changed.voters) & set(changed.learners)
        assert voterset.decode(changed.encode()) == changed
        for old in itertools.combinations(current.voters, current.quorum):
            for new in itertools.combinations(changed.voters, changed.quorum):
                assert set(old) & set(new)
        current = changed


def test_new_identity_replaces_the_learner_but_not_the_voter_identity_of_its_host():
    group = voterset.VoterSet(["h0/0", "h1/0", "h2/0"], ["h1/1"], ["h1/1"])
    add = voterset.Change(voterset.ChangeKind.ADD_VOTER, "h1/2")
    changed = group.with_change(add)
    assert changed.learners == changed.promoting == ("h1/2",)
    assert "h1/0" in changed.voters


@pytest.mark.parametrize("count, expected", [(1, 5), (2, 4), (3, 4), (4, 3), (5, 3)])
def test_value_reached_by_quorum_for_each_number_of_voters(count, expected):
    values = dict(zip(IDENTITIES, (5, 4, 3, 2, 1)))
    assert (
        voterset.VoterSet(IDENTITIES[:count]).value_reached_by_quorum(values)
        == expected
    )
