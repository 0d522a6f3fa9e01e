"""Log lines on what changes in a group: leader, voters, learners, snapshots."""

from kumquatproxy import logs
from kumquatproxy.agreement import leaderstate, replicalog


class GroupLog:
    """Write a line for each change that a member sees.

    The log of a learner that has not caught up is reported at most once a second.
    """

    __slots__ = (
        "_caught_up",
        "_failed_ballot",
        "_is_leader",
        "_log",
        "_member",
        "_refusal",
        "_voter_set",
    )

    def __init__(self, member, log: logs.Log):
        self._log = log
        self._member = member
        self._is_leader = False
        self._failed_ballot = member.failed_ballot
        self._refusal = member.refusal
        self._voter_set = member.voter_set
        self._caught_up: set[str] = set()  # learners

    def write_changes(self, now: float) -> None:
        """Write what has changed since the last call."""
        self._write_role(now)
        self._write_elections(now)
        self._write_voters(now)
        self._write_learners(now)

    def write_snapshot(
        self, now: float, snapshot: replicalog.Snapshot, is_installed: bool
    ) -> None:
        """Write that a snapshot was taken, or installed from the leader."""
        action = "installed" if is_installed else "took"
        self._log.write(
            now,
            f"{action} the snapshot at entry {snapshot.index}",
            size_bytes=len(snapshot.data),
            last_index=self._member.state.log.last_index,
        )

    def write_delay(self, now: float, since_last_s: float) -> None:
        """Write that the member did nothing for so long that others may elect."""
        if since_last_s < self._member.settings.election_timeout_s / 2.0:
            return
        self._log.write_limited(
            now,
            "delay",
            f"this member did nothing for {since_last_s:.2f} s",
            is_leader=self._member.leader_state is not None,
        )

    def _write_role(self, now):
        is_leader = self._member.leader_state is not None
        if is_leader == self._is_leader:
            return
        self._is_leader = is_leader
        identity = self._member.settings.identity
        sentence = f"{identity} became leader in term {self._member.term}"
        if not is_leader:
            sentence = f"{identity} stepped down: {self._member.step_down_reason}"
        self._log.write(now, sentence)

    def _write_elections(self, now):
        """Write an election without a majority, and a vote that was refused."""
        member = self._member
        if member.failed_ballot is not self._failed_ballot:
            self._failed_ballot = failed = member.failed_ballot
            self._log.write_limited(
                now,
                "election",
                "no majority of the voters has granted a vote",
                election_term=failed.term,
                granted=sorted(failed.granted_by),
                refused=sorted(failed.refused_by),
                silent=failed.silent(member.voter_set.voters),
                last_index=member.state.log.last_index,
                last_term=member.state.log.last_term,
            )
        if member.refusal is not self._refusal:
            self._refusal = refusal = member.refusal
            self._log.write_limited(
                now,
                f"vote for {refusal.candidate}",
                f"no vote for {refusal.candidate}: {refusal.reason}",
            )

    def _write_voters(self, now):
        state = self._member.state
        known, current = self._voter_set, state.voter_set
        if current is known or state.voter_set_index > state.commit_index:
            return
        self._voter_set = current
        if current == known:
            return
        self._log.write(
            now,
            "the members have changed",
            voters=list(current.voters),
            learners=list(current.learners),
            added=sorted(set(current.members) - set(known.members)),
            promoted=sorted(set(current.voters) & set(known.learners)),
            removed=sorted(set(known.members) - set(current.members)),
            index=state.voter_set_index,
        )

    def _write_learners(self, now):
        leader = self._member.leader_state
        if leader is None:
            self._caught_up.clear()
            return
        learners = self._member.voter_set.learners
        self._caught_up.intersection_update(learners)
        for identity in learners:
            if self._is_close(identity):
                continue
            if leader.has_caught_up(identity):
                self._caught_up.add(identity)
                self._log.write(now, f"learner {identity} has caught up")
            else:
                self._caught_up.discard(identity)
                self._write_lag(identity, now)

    def _is_close(self, identity):
        """Return whether a learner that has caught up lacks the last entries at most.

        The newest entries are committed before it has answered.
        """
        if identity not in self._caught_up:
            return False
        peer = self._member.leader_state.progress_by_identity[identity]
        lag = self._member.state.log.last_index - peer.match_index
        return lag <= leaderstate.CAUGHT_UP_MAX_LAG_ENTRIES

    def _write_lag(self, identity, now):
        peer = self._member.leader_state.progress_by_identity[identity]
        self._log.write_limited(
            now,
            f"learner {identity}",
            f"learner {identity} has not caught up",
            match_index=peer.match_index,
            last_index=self._member.state.log.last_index,
            is_probing=peer.is_probing,
            in_flight=len(peer.in_flight),
            snapshot_bytes=len(peer.snapshot.data) if peer.snapshot else 0,
            silent_s=round(now - peer.last_contact_at, 3),
        )
