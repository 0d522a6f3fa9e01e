"""One member of a replicated-log group in the manner of Raft, without I/O."""

import enum

from kumquatproxy import errors, wire
from kumquatproxy.agreement import (
    followerstate,
    groupsettings,
    leaderstate,
    logstate,
    outbox,
    raftmessages,
    replicalog,
    voterset,
)

NotLeader = groupsettings.NotLeader


class Role(enum.Enum):
    """Name the roles of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Member:
    """Take part in one group; outputs collect until ``take_ready``."""

    def __init__(self, settings, persisted_state, rng, now):
        self.settings: groupsettings.GroupSettings = settings
        self.now: float = now
        self.term: int = persisted_state.hard_state.term
        self.vote: str = persisted_state.hard_state.vote
        self.state = logstate.LogState(persisted_state)
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None  # identity
        self.leader: leaderstate.LeaderState | None = None
        self.halted = False
        self.step_down_reason = ""
        self._rng = rng
        self._hard_state_changed = False
        self._outbox = outbox.Outbox(settings)
        self._granted: set[str] = set()
        self._follower_state = followerstate.FollowerState(self)
        # Before a restart the member may have answered a leader whose lease relies on
        # its refusing votes, so it refuses them for one election timeout.
        self._leader_contact_at: float = now
        self._election_deadline: float = now
        self._reset_election_timer(now)

    @property
    def voter_set(self) -> voterset.VoterSet:
        """Return the latest voter set in the log, committed or not."""
        return self.state.voter_set

    @property
    def commit_index(self) -> int:
        """Return the index up to which entries are known to be committed."""
        return self.state.commit_index

    @property
    def lease_until(self) -> float:
        """Return the time up to which no other member can lead, 0 without a lease."""
        return self.leader.lease_until(self.now) if self.leader else 0.0

    def has_lease(self, now: float) -> bool:
        """Return whether this member certainly is the only leader at ``now``."""
        return now < self.lease_until

    def is_serving(self, now: float) -> bool:
        """Return whether reads of the applied state are up to date at ``now``.

        A new leader knows of all earlier commits only after one of its own term.
        """
        leads = self.leader is not None and self.leader.has_committed_own_term()
        applied = self.state.applied_index == self.state.commit_index
        return leads and applied and self.has_lease(now)

    def tick(self, now: float) -> None:
        """Do what is due: heartbeats of a leader, otherwise elections."""
        self.now = now
        if self.halted:
            return
        if self.leader is not None:
            self.leader.tick(now)
            return
        if now < self._election_deadline:
            return
        self._reset_election_timer(now)
        if self._is_voter():
            self._start_pre_vote(now)
            if self.settings.voter_target:
                # The others may have replaced this voter while it was silent.
                self._outbox.announce()
        elif self.settings.identity not in self.voter_set.members:
            self._outbox.announce()

    def receive(self, sender: str, message: wire.Message, now: float) -> None:
        """Handle a message of the host ``sender``; raise ProxyError if malformed."""
        self.now = now
        if self.halted or not isinstance(message, raftmessages.GroupMessage):
            return
        raftmessages.check(message)
        if not self._is_addressed(sender, message):
            return
        if message.term > self.term and raftmessages.tells_term(message):
            self._adopt_term(message.term, now)
        if type(message) in _FOLLOWER_HANDLERS:
            _FOLLOWER_HANDLERS[type(message)](self._follower_state, message, now)
        elif type(message) in _LEADER_HANDLERS:
            self._receive_as_leader(message, now)
        else:
            _HANDLERS[type(message)](self, message, now)

    def propose(self, command: bytes, now: float) -> groupsettings.Proposal:
        """Add a command to the log; raise NotLeader if this member does not lead."""
        self.now = now
        self._check_leads()
        if len(command) > groupsettings.MAX_COMMAND_BYTES:
            raise errors.ProxyError(
                errors.ErrorKind.BODY_TOO_LARGE,
                f"a command of {len(command)} bytes is over "
                f"{groupsettings.MAX_COMMAND_BYTES}",
            )
        return self.append_entry(replicalog.EntryKind.COMMAND, command)

    def propose_change(
        self, change: voterset.Change, now: float
    ) -> groupsettings.Proposal:
        """Add a change of the voter set; raise ProxyError if it is not possible now."""
        self.now = now
        leader = self._check_leads()
        if not leader.may_change():
            raise _refused("an earlier change of the voter set is not committed")
        if change == voterset.Change(voterset.ChangeKind.REMOVE, self.leader_id):
            raise _refused("the leader must transfer its leadership first")
        if change.kind is voterset.ChangeKind.PROMOTE:
            if not leader.has_caught_up(change.identity):
                raise _refused(f"{change.identity} has not caught up")
        changed = self.voter_set.changed(change)
        if not leader.quorum_answers(changed, now):
            raise _refused("too few of the remaining voters answer")
        return self.append_entry(replicalog.EntryKind.VOTER_CHANGE, changed.encode())

    def transfer_leadership(self, target: str, now: float) -> None:
        """Hand the leadership to the voter ``target``; the lease ends at once."""
        self.now = now
        self._check_leads().start_transfer(target, now)

    def take_ready(self) -> groupsettings.Ready:
        """Return and clear the outputs since the last call."""
        if self.leader is not None and not self.halted:
            self.leader.replicate()
        hard_state = None
        if self._hard_state_changed:
            hard_state = groupsettings.HardState(self.term, self.vote)
        # A leader counts itself only after the sync, so its appends need not wait,
        # unless its own term is not durable yet.
        splits = self.leader is not None and hard_state is None
        messages, replicate = self._outbox.take(splits)
        self._hard_state_changed = False
        persist = self.state.take_persist(hard_state)
        installed = self.state.take_installed()
        committed = self.state.take_committed()
        return groupsettings.Ready(persist, messages, committed, installed, replicate)

    def note_persisted(self, index: int, term: int) -> None:
        """Note that the log up to the entry with this index and term is durable."""
        self.state.note_persisted(index, term)
        if self.leader is not None:
            self.leader.advance_commit()

    def compact(self, index: int, data: bytes) -> None:
        """Replace the applied entries up to ``index`` by a snapshot of the state."""
        self.state.compact(index, data, self.settings.retained_entries)

    def storage_failed(self, now: float) -> None:
        """Stop acknowledging and leading until ``storage_recovered``."""
        self.halted = True
        if self.leader is not None:
            self.step_down(now, "storage failed")

    def storage_recovered(self, now: float) -> None:
        """Take part again; what was not written must have been written by now."""
        self.halted = False
        self._reset_election_timer(now)

    def may_commit(self, index: int) -> bool:
        """Return whether counting replicas decides on the entry at ``index``.

        An entry of an earlier term on a quorum can still be replaced by a leader that
        did not have it; it commits together with the first entry of this term.
        """
        return self.state.log.term_at(index) == self.term

    def commit_to(self, index: int) -> None:
        """Advance the commit index."""
        self.state.commit_index = max(self.state.commit_index, index)
        if self.leader is None or self.state.voter_set_index > index:
            return
        if not self._is_voter():
            self.step_down(self.now, "no longer a voter")

    def append_entry(
        self, kind: replicalog.EntryKind, data: bytes
    ) -> groupsettings.Proposal:
        """Add an entry of this term to the log."""
        entry = replicalog.Entry(self.state.log.last_index + 1, self.term, kind, data)
        self.state.append(entry)
        if kind is replicalog.EntryKind.VOTER_CHANGE and self.leader is not None:
            self.leader.update_members(self.now)
        return groupsettings.Proposal(entry.index, entry.term)

    def send(self, message_class, target: str, **fields) -> None:
        """Queue a message to the member ``target``, in the present term by default."""
        fields.setdefault("term", self.term)
        self._outbox.put(message_class, target, **fields)

    def step_down(self, now: float, reason: str) -> None:
        """Become a follower in the present term."""
        self.role = Role.FOLLOWER
        self.leader = None
        self.leader_id = None
        self.step_down_reason = reason
        self._reset_election_timer(now)

    def follow(self, leader: str, now: float) -> None:
        """Note that ``leader`` leads the present term."""
        if self.role is not Role.FOLLOWER:
            self.step_down(now, f"{leader} leads")
        self.leader_id = leader
        self._leader_contact_at = now
        self._reset_election_timer(now)

    def _check_leads(self):
        if self.halted or self.leader is None or self.leader.transfer is not None:
            raise NotLeader(self.leader_id)
        return self.leader

    def _is_voter(self):
        return self.settings.identity in self.voter_set.voters

    def _is_addressed(self, sender, message):
        if message.group != self.settings.group:
            return False
        if voterset.host_of(message.source) != sender:
            return False
        own = self.settings.identity
        is_join = isinstance(message, raftmessages.Join)
        return message.target == (voterset.host_of(own) if is_join else own)

    def _reset_election_timer(self, now):
        timeout_s = self.settings.election_timeout_s
        self._election_deadline = now + timeout_s * (1.0 + self._rng.random())

    def _refuses_votes(self, now):
        if self.leader is not None:
            return True
        return now - self._leader_contact_at < self.settings.election_timeout_s

    def _adopt_term(self, term, now):
        if self.role is not Role.FOLLOWER:
            self.step_down(now, f"term {term} has begun")
        self.leader_id = None
        self.term = term
        self.vote = ""
        self._hard_state_changed = True

    def _start_pre_vote(self, now):
        self.role = Role.PRE_CANDIDATE
        self.leader_id = None
        self._granted = {self.settings.identity}
        if self._has_quorum():
            self._start_election(now)
            return
        self._send_to_voters(raftmessages.PreVoteRequest, term=self.term + 1)

    def _start_election(self, now, transfer=False):
        self.role = Role.CANDIDATE
        self.leader_id = None
        self.term += 1
        self.vote = self.settings.identity
        self._hard_state_changed = True
        self._granted = {self.settings.identity}
        self._reset_election_timer(now)
        if self._has_quorum():
            self._become_leader(now)
            return
        self._send_to_voters(
            raftmessages.VoteRequest, term=self.term, transfer=transfer
        )

    def _send_to_voters(self, message_class, **fields):
        for identity in self.voter_set.voters:
            if identity != self.settings.identity:
                self.send(
                    message_class,
                    identity,
                    last_index=self.state.log.last_index,
                    last_term=self.state.log.last_term,
                    **fields,
                )

    def _has_quorum(self):
        granted = self._granted.intersection(self.voter_set.voters)
        return len(granted) >= self.voter_set.quorum

    def _become_leader(self, now):
        self.role = Role.LEADER
        self.leader_id = self.settings.identity
        self.leader = leaderstate.LeaderState(self, now)
        self.leader.append_noop()

    def _receive_pre_vote(self, message, now):
        granted = (
            message.term > self.term
            and not self._refuses_votes(now)
            and self.state.log.covers(message.last_index, message.last_term)
        )
        term = message.term if granted else self.term
        self.send(raftmessages.PreVoteReply, message.source, term=term, granted=granted)

    def _receive_pre_vote_reply(self, message, now):
        if self.role is not Role.PRE_CANDIDATE or message.term != self.term + 1:
            return
        if message.granted:
            self._granted.add(message.source)
        if self._has_quorum():
            self._start_election(now)

    def _receive_vote(self, message, now):
        # The term alone does not tell: a member may have heard of this term from
        # elsewhere while the lease of an earlier leader still relies on it.
        if not message.transfer and self._refuses_votes(now):
            return
        if message.term > self.term:
            self._adopt_term(message.term, now)
        granted = (
            message.term == self.term
            and self.vote in ("", message.source)
            and self.state.log.covers(message.last_index, message.last_term)
        )
        if granted:
            self._hard_state_changed |= self.vote != message.source
            self.vote = message.source
            self._reset_election_timer(now)
        self.send(raftmessages.VoteReply, message.source, granted=granted)

    def _receive_vote_reply(self, message, now):
        if self.role is not Role.CANDIDATE or message.term != self.term:
            return
        if message.granted:
            self._granted.add(message.source)
        if self._has_quorum():
            self._become_leader(now)

    def _receive_timeout_now(self, message, now):
        if message.term == self.term and self._is_voter() and self.leader is None:
            self._start_election(now, transfer=True)

    def _receive_as_leader(self, message, now):
        is_current = message.term in (self.term, raftmessages.NO_TERM)
        if self.leader is not None and is_current:
            _LEADER_HANDLERS[type(message)](self.leader, message, now)


_HANDLERS = {
    raftmessages.PreVoteRequest: Member._receive_pre_vote,
    raftmessages.PreVoteReply: Member._receive_pre_vote_reply,
    raftmessages.VoteRequest: Member._receive_vote,
    raftmessages.VoteReply: Member._receive_vote_reply,
    raftmessages.TimeoutNow: Member._receive_timeout_now,
}
_FOLLOWER_HANDLERS = {
    raftmessages.AppendEntries: followerstate.FollowerState.receive_append,
    raftmessages.SnapshotChunk: followerstate.FollowerState.receive_chunk,
}
_LEADER_HANDLERS = {
    raftmessages.AppendReply: leaderstate.LeaderState.receive_append_reply,
    raftmessages.SnapshotReply: leaderstate.LeaderState.receive_snapshot_reply,
    raftmessages.Join: leaderstate.LeaderState.receive_join,
}


def _refused(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
