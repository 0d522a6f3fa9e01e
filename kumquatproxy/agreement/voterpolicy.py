"""Which voter or learner to change next, so that a group repairs itself."""

from kumquatproxy.agreement import voterset


class MemberView:
    """Hold what a leader knows of one other member."""

    __slots__ = ("has_caught_up", "silent_s")

    def __init__(self, has_caught_up, silent_s):
        self.has_caught_up: bool = has_caught_up
        self.silent_s: float = silent_s  # seconds since its last reply


def next_change(
    voter_set: voterset.VoterSet,
    leader: str,
    views_by_identity: dict[str, MemberView],
    target: int,
    replace_after_s: float,
    learner_expiry_s: float,
) -> voterset.Change | None:
    """Return the change that brings the group nearer to ``target`` live voters.

    A voter is replaced only when a learner holds the log: the number of copies of
    what is committed never falls below what the voters alone would keep.
    """
    learners = [name for name in voter_set.learners if name in views_by_identity]
    ready = [name for name in learners if views_by_identity[name].has_caught_up]
    for identity in ready:
        lost = [
            other
            for other in voter_set.others_of_host(identity)
            if other in voter_set.voters and other != leader
        ]
        if lost and len(voter_set.voters) > 1:
            return voterset.Change(voterset.ChangeKind.REMOVE, lost[0])
    silent = _silent_voters(voter_set, views_by_identity, replace_after_s)
    if len(voter_set.voters) > target and silent:
        return voterset.Change(voterset.ChangeKind.REMOVE, silent[0])
    live = [
        name for name in ready if views_by_identity[name].silent_s < replace_after_s
    ]
    if live and len(voter_set.voters) - len(silent) < target:
        if len(voter_set.voters) < voterset.MAX_VOTERS:
            return voterset.Change(voterset.ChangeKind.PROMOTE, live[0])
    for identity in learners:
        if views_by_identity[identity].silent_s > learner_expiry_s:
            return voterset.Change(voterset.ChangeKind.REMOVE, identity)
    return None


def _silent_voters(voter_set, views_by_identity, replace_after_s):
    """Return the voters that do not answer, the longest silent one first."""
    silent = [
        name
        for name in voter_set.voters
        if name in views_by_identity
        and views_by_identity[name].silent_s >= replace_after_s
    ]
    return sorted(silent, key=lambda name: -views_by_identity[name].silent_s)
