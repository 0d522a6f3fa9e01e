"""Raft state machine of one group member: elections, leases and proposals, no I/O."""

import enum

from kumquatproxy import errors, wire
from kumquatproxy.agreement import (
    ballot,
    contacts,
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
    """Enumerate the roles of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Member:
    """Run the Raft protocol of one member; ``take_outputs`` returns its outputs.

    Other messages of hosts than those of the group may be recorded in ``contacts``.
    """

    def __init__(self, settings, persisted_state, rng, now, known_contacts=None):
        self.settings: groupsettings.GroupSettings = settings
        self.contacts: contacts.Contacts = known_contacts or contacts.Contacts(now)
        self.now: float = now
        self.term: int = persisted_state.hard_state.term
        self.vote: str = persisted_state.hard_state.vote
        self.state = logstate.LogState(persisted_state)
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None  # identity of the known leader
        # Set only while this member itself leads.
        self.leader_state: leaderstate.LeaderState | None = None
        self.halted = False
        self.step_down_reason = ""
        self._rng = rng
        self._hard_state_changed = False
        self._outbox = outbox.Outbox(settings)
        self._ballot = ballot.Ballot(self.term, settings.identity)
        # The last ones, for the log.
        self.failed_ballot: ballot.Ballot | None = None
        self.refusal: ballot.Refusal | None = None
        self._follower_state = followerstate.FollowerState(self)
        # Before a restart the member may have acknowledged a leader whose lease relies
        # on this member refusing votes, so it refuses them for one election timeout.
        self._leader_contact_at: float = now
        self._election_deadline: float = now
        self._reset_election_timer(now)
        # An empty member joins at once, since others may be lost next. The first Join
        # may find no link or no leader, so the next ones follow soon.
        self._join_interval_s: float = settings.heartbeat_s
        self._next_join_at: float = now  # of a voter without a leader
        if not self._is_member():
            self._election_deadline = now

    @property
    def voter_set(self) -> voterset.VoterSet:
        """Return the latest voter set in the log, whether committed or not."""
        return self.state.voter_set

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self.state.commit_index

    @property
    def lease_until(self) -> float:
        """Return the end of the leader lease, 0 if this member holds none."""
        return self.leader_state.lease_until(self.now) if self.leader_state else 0.0

    def has_lease(self, now: float) -> bool:
        """Return whether a lease guarantees that no other member leads at ``now``."""
        return now < self.lease_until

    def is_serving(self, now: float) -> bool:
        """Return whether this leader can serve linearizable reads at ``now``.

        A new leader knows all earlier commits only once an entry of its own term is
        committed. All committed entries must also have been handed out; while a write
        runs, some of them may not be applied yet.
        """
        has_own_commit = (
            self.leader_state is not None and self.leader_state.has_committed_own_term()
        )
        is_handed_out = self.state.handed_out_index == self.state.commit_index
        return has_own_commit and is_handed_out and self.has_lease(now)

    def tick(self, now: float) -> None:
        """Run the timers: heartbeats on a leader, election timeout on other members."""
        self.now = now
        if self.halted:
            return
        if self.leader_state is not None:
            self.leader_state.tick(now)
            return
        if now < self._election_deadline:
            return
        self._reset_election_timer(now)
        if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self.failed_ballot = self._ballot
        if self._is_voter():
            self._ask_for_votes(now)
        elif not self._is_member():
            self._outbox.queue_join()
            self._election_deadline = now + self._join_interval_s
            self._join_interval_s = min(
                2.0 * self._join_interval_s, self.settings.election_timeout_s
            )
        else:
            self.leader_id = None
            if self.settings.voter_target:
                # The group may have removed this learner for its silence.
                self._outbox.queue_join()

    def _ask_for_votes(self, now):
        self._start_pre_vote(now)
        if self.role is Role.PRE_CANDIDATE:
            # Voters that have just started refuse for an election timeout.
            self._election_deadline = now + self._pre_vote_interval_s()
        if self.settings.voter_target and now >= self._next_join_at:
            # The group may have replaced this voter while it was unreachable.
            self._next_join_at = now + self.settings.election_timeout_s
            self._outbox.queue_join()

    def receive(self, sender: str, message: wire.Message, now: float) -> None:
        """Handle a message from host ``sender``; raise ProxyError if malformed."""
        self.now = now
        if self.halted or not isinstance(message, raftmessages.GroupMessage):
            return
        raftmessages.validate(message)
        if not self._is_for_self_and_from_sender(sender, message):
            return
        self.contacts.record(sender, now)
        if message.term > self.term and raftmessages.must_adopt_term(message):
            self._adopt_term(message.term, now)
        if type(message) in _FOLLOWER_HANDLERS:
            _FOLLOWER_HANDLERS[type(message)](self._follower_state, message, now)
        elif type(message) in _LEADER_HANDLERS:
            self._receive_as_leader(message, now)
        else:
            _ELECTION_HANDLERS[type(message)](self, message, now)

    def propose(self, command: bytes, now: float) -> groupsettings.LogPosition:
        """Append a command to the log; raise NotLeader if this member does not lead."""
        self.now = now
        self._require_leadership()
        if len(command) > groupsettings.MAX_COMMAND_BYTES:
            raise errors.ProxyError(
                errors.ErrorKind.BODY_TOO_LARGE,
                f"command of {len(command)} bytes exceeds the limit of "
                f"{groupsettings.MAX_COMMAND_BYTES}",
            )
        return self.append_entry(replicalog.EntryKind.COMMAND, command)

    def propose_change(
        self, change: voterset.Change, now: float
    ) -> groupsettings.LogPosition:
        """Append a voter set change; raise ProxyError if it is not allowed now."""
        self.now = now
        leader = self._require_leadership()
        if not leader.can_change_voters():
            raise _invalid_request(
                "an earlier voter set change or the first entry of this term "
                "is not committed yet"
            )
        if change == voterset.Change(voterset.ChangeKind.REMOVE, self.leader_id):
            raise _invalid_request("the leader must transfer its leadership first")
        if change.kind is voterset.ChangeKind.PROMOTE:
            if not leader.has_caught_up(change.identity):
                raise _invalid_request(f"{change.identity} has not caught up")
        new_voter_set = self.voter_set.with_change(change)
        if not leader.has_quorum_contact(new_voter_set, now):
            raise _invalid_request(
                "too few voters of the changed voter set are reachable"
            )
        return self.append_entry(
            replicalog.EntryKind.VOTER_CHANGE, new_voter_set.encode()
        )

    def transfer_leadership(self, target: str, now: float) -> None:
        """Transfer the leadership to the voter ``target``; the lease ends at once."""
        self.now = now
        self._require_leadership().start_transfer(target, now)

    def take_outputs(self) -> groupsettings.Outputs:
        """Return and clear the outputs collected since the last call."""
        if self.leader_state is not None and not self.halted:
            self.leader_state.replicate()
        hard_state = None
        if self._hard_state_changed:
            hard_state = groupsettings.HardState(self.term, self.vote)
        # A leader counts its own copy only after the sync, so it may send entries
        # before the sync, unless its term is not durable yet.
        may_send_early = self.leader_state is not None and hard_state is None
        messages_after_write, messages_before_write = self._outbox.take(may_send_early)
        self._hard_state_changed = False
        persist = self.state.take_persist(hard_state)
        installed = self.state.take_installed_snapshot()
        committed = self.state.take_committed()
        return groupsettings.Outputs(
            persist, messages_after_write, committed, installed, messages_before_write
        )

    def mark_persisted(self, index: int, term: int) -> None:
        """Record that the log is durable up to the entry with this index and term.

        The call is ignored if the entry was replaced meanwhile.
        """
        self.state.mark_persisted(index, term)
        if self.leader_state is not None:
            self.leader_state.advance_commit()

    def compact(self, index: int, data: bytes) -> None:
        """Take ``data`` as the snapshot at ``index`` and remove older entries.

        Of these, the last ones stay in the log within the limits of the settings.
        """
        settings = self.settings
        self.state.compact(
            index, data, settings.retained_entries, settings.retained_bytes
        )

    def storage_failed(self, now: float) -> None:
        """Step down and stop acknowledging until ``storage_recovered`` is called."""
        self.halted = True
        if self.leader_state is not None:
            self.step_down(now, "storage failed")

    def storage_recovered(self, now: float) -> None:
        """Resume after a storage failure; pending writes must be durable by now."""
        self.halted = False
        self._reset_election_timer(now)

    def may_commit(self, index: int) -> bool:
        """Return whether the entry at ``index`` is of the current term.

        Only such an entry may be committed because a quorum stores it. An earlier one
        can still be overwritten by a leader whose log lacks it, and is committed
        together with a later entry of this term.
        """
        return self.state.log.term_at(index) == self.term

    def commit_to(self, index: int) -> None:
        """Advance the commit index; a leader that was removed steps down."""
        self.state.commit_index = max(self.state.commit_index, index)
        if self.leader_state is None or self.state.voter_set_index > index:
            return
        if not self._is_voter():
            self.step_down(self.now, "removed from the voters")

    def append_entry(
        self, kind: replicalog.EntryKind, data: bytes
    ) -> groupsettings.LogPosition:
        """Append an entry of the current term to the log."""
        entry = replicalog.Entry(self.state.log.last_index + 1, self.term, kind, data)
        self.state.append(entry)
        if kind is replicalog.EntryKind.VOTER_CHANGE and self.leader_state is not None:
            self.leader_state.update_members(self.now)
        return groupsettings.LogPosition(entry.index, entry.term)

    def send(self, message_class, target: str, **fields) -> None:
        """Queue a message to the member ``target``, in the current term by default."""
        fields.setdefault("term", self.term)
        self._outbox.put(message_class, target, **fields)

    def step_down(self, now: float, reason: str) -> None:
        """Become a follower in the current term."""
        self.role = Role.FOLLOWER
        self.leader_state = None
        self.leader_id = None
        self.step_down_reason = reason
        self._reset_election_timer(now)

    def follow_leader(self, leader_id: str, now: float) -> None:
        """Follow ``leader_id`` as the leader of the current term."""
        if self.role is not Role.FOLLOWER:
            self.step_down(now, f"{leader_id} is the leader")
        self.leader_id = leader_id
        self._leader_contact_at = now
        self._reset_election_timer(now)

    def _require_leadership(self):
        if (
            self.halted
            or self.leader_state is None
            or self.leader_state.pending_transfer is not None
        ):
            raise NotLeader(self.leader_id)
        return self.leader_state

    def _is_voter(self):
        return self.settings.identity in self.voter_set.voters

    def _is_member(self):
        return self.settings.identity in self.voter_set.members

    def _is_for_self_and_from_sender(self, sender, message):
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

    def _pre_vote_interval_s(self):
        return self.settings.heartbeat_s * (1.0 + self._rng.random())

    def _ignores_vote_requests(self, now):
        if self.leader_state is not None:
            return True
        return now - self._leader_contact_at < self.settings.election_timeout_s

    def _adopt_term(self, term, now):
        if self.role is not Role.FOLLOWER:
            self.step_down(now, f"a higher term {term} has begun")
        self.leader_id = None
        self.term = term
        self.vote = ""
        self._hard_state_changed = True

    def _start_pre_vote(self, now):
        self.role = Role.PRE_CANDIDATE
        self.leader_id = None
        self._ballot = ballot.Ballot(self.term + 1, self.settings.identity)
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
        self._ballot = ballot.Ballot(self.term, self.settings.identity)
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
        granted = self._ballot.granted_by.intersection(self.voter_set.voters)
        return len(granted) >= self.voter_set.quorum

    def _become_leader(self, now):
        self.role = Role.LEADER
        self.leader_id = self.settings.identity
        self.leader_state = leaderstate.LeaderState(self, now)
        self.leader_state.append_noop()

    def _receive_pre_vote(self, message, now):
        granted = (
            message.term > self.term
            and not self._ignores_vote_requests(now)
            and self.state.log.is_not_ahead_of(message.last_index, message.last_term)
        )
        if granted:
            # Two candidates at a time could split the votes.
            earliest_at = now + self._pre_vote_interval_s()
            self._election_deadline = max(self._election_deadline, earliest_at)
        else:
            self._record_refusal(message, now)
        term = message.term if granted else self.term
        self.send(raftmessages.PreVoteReply, message.source, term=term, granted=granted)

    def _receive_pre_vote_reply(self, message, now):
        if self.role is not Role.PRE_CANDIDATE or message.term != self.term + 1:
            return
        self._ballot.record(message.source, message.granted)
        if self._has_quorum():
            self._start_election(now)

    def _receive_vote(self, message, now):
        # Checked for equal terms too: the member may have learned this term from
        # another member while the lease of an earlier leader still relies on this
        # member to grant no vote.
        if not message.transfer and self._ignores_vote_requests(now):
            self._record_refusal(message, now)
            return
        if message.term > self.term:
            self._adopt_term(message.term, now)
        granted = (
            message.term == self.term
            and self.vote in ("", message.source)
            and self.state.log.is_not_ahead_of(message.last_index, message.last_term)
        )
        if granted:
            self._hard_state_changed |= self.vote != message.source
            self.vote = message.source
            self._reset_election_timer(now)
        else:
            self._record_refusal(message, now)
        self.send(raftmessages.VoteReply, message.source, granted=granted)

    def _record_refusal(self, message, now):
        """Record why a candidate gets no vote; the first reason that holds."""
        log = self.state.log
        if self.leader_state is not None:
            reason = f"this member leads term {self.term}"
        elif self._ignores_vote_requests(now):
            contact_s = now - self._leader_contact_at
            reason = (
                f"a leader was heard, or this member started, {contact_s:.2f} s ago"
            )
        elif not log.is_not_ahead_of(message.last_index, message.last_term):
            reason = (
                f"its log ends at entry {message.last_index} of term "
                f"{message.last_term}, that of this member at entry {log.last_index} "
                f"of term {log.last_term}"
            )
        elif message.term < self.term:
            reason = f"its term is {message.term}, that of this member {self.term}"
        else:
            reason = f"this member voted for {self.vote or 'none'} in term {self.term}"
        self.refusal = ballot.Refusal(message.source, reason)

    def _receive_vote_reply(self, message, now):
        if self.role is not Role.CANDIDATE or message.term != self.term:
            return
        self._ballot.record(message.source, message.granted)
        if self._has_quorum():
            self._become_leader(now)

    def _receive_timeout_now(self, message, now):
        if message.term == self.term and self._is_voter() and self.leader_state is None:
            self._start_election(now, transfer=True)

    def _receive_as_leader(self, message, now):
        is_current = message.term in (self.term, raftmessages.ANY_TERM)
        if self.leader_state is not None and is_current:
            _LEADER_HANDLERS[type(message)](self.leader_state, message, now)


_ELECTION_HANDLERS = {
    raftmessages.PreVoteRequest: Member._receive_pre_vote,
    raftmessages.PreVoteReply: Member._receive_pre_vote_reply,
    raftmessages.VoteRequest: Member._receive_vote,
    raftmessages.VoteReply: Member._receive_vote_reply,
    raftmessages.TimeoutNow: Member._receive_timeout_now,
}
_FOLLOWER_HANDLERS = {
    raftmessages.AppendEntries: followerstate.FollowerState.receive_append,
    raftmessages.SnapshotChunk: followerstate.FollowerState.receive_snapshot_chunk,
}
_LEADER_HANDLERS = {
    raftmessages.AppendEntriesReply: leaderstate.LeaderState.receive_append_reply,
    raftmessages.SnapshotReply: leaderstate.LeaderState.receive_snapshot_reply,
    raftmessages.Join: leaderstate.LeaderState.receive_join,
}


def _invalid_request(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
