"""Which voter is changed next, so that a group repairs itself."""

from kumquatproxy.agreement import voterpolicy, voterset

KIND = voterset.ChangeKind
VOTERS = ("a/first", "b/first", "c/first")


def view(has_caught_up=True, silent_s=0.0):
    return voterpolicy.MemberView(has_caught_up, silent_s)


def change(voters=VOTERS, learners=(), target=3, **views):
    by_identity = {name.replace("_", "/"): one for name, one in views.items()}
    voter_set = voterset.VoterSet(voters, learners)
    return voterpolicy.next_change(voter_set, "a/first", by_identity, target, 2.5, 30.0)


def test_a_calm_group_stays():
    assert change(b_first=view(), c_first=view()) is None


def test_a_silent_voter_without_a_learner_stays():
    """Removing it would leave fewer copies, not more."""
    assert change(b_first=view(), c_first=view(silent_s=60.0)) is None


def test_a_learner_takes_the_place_of_a_silent_voter():
    silent = view(silent_s=3.0)
    first = change(learners=("d/x",), b_first=view(), c_first=silent, d_x=view())
    assert first == voterset.Change(KIND.PROMOTE, "d/x")
    second = change((*VOTERS, "d/x"), b_first=view(), c_first=silent, d_x=view())
    assert second == voterset.Change(KIND.REMOVE, "c/first")


def test_a_learner_that_lags_waits():
    lagging = view(has_caught_up=False)
    assert (
        change(
            learners=("d/x",), b_first=view(), c_first=view(silent_s=9.0), d_x=lagging
        )
        is None
    )


def test_a_host_that_lost_its_disk_replaces_its_own_old_identity():
    """The old identity can never answer again, the new one must not use its vote."""
    found = change(
        learners=("c/new",), b_first=view(), c_first=view(silent_s=1.0), c_new=view()
    )
    assert found == voterset.Change(KIND.REMOVE, "c/first")


def test_the_group_grows_to_its_target():
    """Formed by three seeds, a group that must bear two losses needs five voters."""
    learners = ("d/x", "e/x")
    views = {"b_first": view(), "c_first": view(), "d_x": view(), "e_x": view()}
    assert change(learners=learners, target=5, **views).kind is KIND.PROMOTE
    full = (*VOTERS, "d/x", "e/x")
    assert change(full, ("f/x",), target=5, **views, f_x=view()) is None


def test_a_learner_that_is_gone_for_long_is_dropped():
    found = change(
        learners=("d/x",), b_first=view(), c_first=view(), d_x=view(True, 31.0)
    )
    assert found == voterset.Change(KIND.REMOVE, "d/x")
