"""Choice of the next voter set change of a group that replaces failed voters."""

from kumquatproxy.agreement import voterset

# Two, as an even number of voters bears no more losses than one less.
SPARE_VOTERS = 2


class MemberView:
    """Hold what the leader knows of one other member."""

    __slots__ = ("has_caught_up", "silent_s")

    def __init__(self, has_caught_up, silent_s):
        self.has_caught_up: bool = has_caught_up
        self.silent_s: float = silent_s  # seconds since its last reply


def next_change(
    voter_set: voterset.VoterSet,
    leader_id: str,
    views_by_identity: dict[str, MemberView],
    voter_target: int,
    replace_after_s: float,
    learner_expiry_s: float,
) -> voterset.Change | None:
    """Return the next change towards ``voter_target`` reachable voters, if any.

    A group with hosts to spare has ``SPARE_VOTERS`` more, so that it bears the loss of
    as many hosts as it tolerates while a voter that was lost before is not replaced.

    A voter is removed only if another identity of its host has caught up as a learner,
    or if it is silent and the group has more voters than its target. A learner that has
    caught up is promoted first to exceed the target, so a replacement leaves no fewer
    copies of the committed entries. Only with the maximum of voters it comes second.
    """
    learners = [
        identity for identity in voter_set.learners if identity in views_by_identity
    ]
    caught_up = [
        identity for identity in learners if views_by_identity[identity].has_caught_up
    ]
    for identity in caught_up:
        replaced = [
            other
            for other in voter_set.other_identities_of_host(identity)
            if other in voter_set.voters and other != leader_id
        ]
        if replaced and len(voter_set.voters) > 1:
            return voterset.Change(voterset.ChangeKind.REMOVE, replaced[0])
    target = _target(voter_set, voter_target)
    silent = _silent_voters(voter_set, views_by_identity, replace_after_s)
    reachable = [
        identity
        for identity in caught_up
        if views_by_identity[identity].silent_s < replace_after_s
    ]
    is_full = len(voter_set.voters) >= voterset.MAX_VOTERS and bool(reachable)
    if silent and (len(voter_set.voters) > target or is_full):
        return voterset.Change(voterset.ChangeKind.REMOVE, silent[0])
    if reachable and len(voter_set.voters) - len(silent) < target:
        if len(voter_set.voters) < voterset.MAX_VOTERS:
            return voterset.Change(voterset.ChangeKind.PROMOTE, reachable[0])
    for identity in learners:
        if views_by_identity[identity].silent_s > learner_expiry_s:
            return voterset.Change(voterset.ChangeKind.REMOVE, identity)
    return None


def _target(voter_set, voter_target):
    """Return the number of voters to maintain, with a learner left to replace one."""
    with_spare = min(voter_target + SPARE_VOTERS, voterset.MAX_VOTERS)
    has_spare_hosts = len(voter_set.members) > with_spare
    return max(voter_target, with_spare) if has_spare_hosts else voter_target


def _silent_voters(voter_set, views_by_identity, replace_after_s):
    """Return the voters that do not answer, longest silence first."""
    silent = [
        identity
        for identity in voter_set.voters
        if identity in views_by_identity
        and views_by_identity[identity].silent_s >= replace_after_s
    ]
    return sorted(silent, key=lambda identity: -views_by_identity[identity].silent_s)
