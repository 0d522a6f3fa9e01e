"""Leader side of Raft: replication, commit, lease, leadership transfer, learners."""

import contextlib

from kumquatproxy import errors
from kumquatproxy.agreement import (
    progress,
    raftmessages,
    replicalog,
    voterpolicy,
    voterset,
)

# A learner counts as caught up if it has all committed entries and lacks at most this
# many of the last entries.
CAUGHT_UP_MAX_LAG_ENTRIES = 64


class LeadershipTransfer:
    """Hold a leadership transfer in progress."""

    __slots__ = ("deadline", "target", "timeout_now_sent")

    def __init__(self, target, deadline):
        self.target: str = target
        self.deadline: float = deadline
        self.timeout_now_sent = False


class LeaderState:
    """Run the leader of one term for a ``consensus.Member``."""

    def __init__(self, member, now):
        self._member = member
        self.settings = member.settings
        self.log = member.state.log
        self.pending_transfer: LeadershipTransfer | None = None
        self.progress_by_identity: dict[str, progress.Progress] = {}
        self._next_heartbeat_at = now
        # Index of the first entry of this term.
        self._term_start_index = member.state.log.last_index + 1
        self.update_members(now)

    def update_members(self, now) -> None:
        """Track the members of the current voter set."""
        members = set(self._member.voter_set.members) - {self.settings.identity}
        for identity in set(self.progress_by_identity) - members:
            del self.progress_by_identity[identity]
        for identity in sorted(members - set(self.progress_by_identity)):
            peer = progress.Progress(self._term_start_index, now)
            self.progress_by_identity[identity] = peer

    def has_committed_own_term(self) -> bool:
        """Return whether an entry of this term is committed."""
        return self._member.commit_index >= self._term_start_index

    def lease_until(self, now) -> float:
        """Return the end of the lease, 0 if there is none.

        A voter that answered a message sent at time t refuses votes for one election
        timeout after receiving it, so at least until t plus the timeout.
        """
        if self.pending_transfer is not None:
            return 0.0
        quorum_sent_at = self._member.voter_set.value_reached_by_quorum(
            self._values_by_identity("last_acked_sent_at", self._member.now)
        )
        if quorum_sent_at <= 0:
            return 0.0
        return (
            quorum_sent_at
            + self.settings.election_timeout_s
            - self.settings.lease_margin_s
        )

    def _values_by_identity(self, attribute, own_value) -> dict:
        values = {
            identity: getattr(peer, attribute)
            for identity, peer in self.progress_by_identity.items()
        }
        values[self.settings.identity] = own_value
        return values

    def advance_commit(self) -> None:
        """Commit the entries that a quorum has persisted, if they are of this term."""
        match_by_identity = self._values_by_identity(
            "match_index", self._member.state.persisted_index
        )
        index = int(self._member.voter_set.value_reached_by_quorum(match_by_identity))
        if index > self._member.commit_index and self._member.may_commit(index):
            self._member.commit_to(index)

    def tick(self, now) -> None:
        """Step down if no quorum answers; otherwise run the timers of the leader.

        They send heartbeats, end an expired transfer and propose due voter set changes.
        """
        quorum_contact_at = self._member.voter_set.value_reached_by_quorum(
            self._values_by_identity("last_contact_at", now)
        )
        if now - quorum_contact_at >= self.settings.election_timeout_s:
            silent = ", ".join(self.silent_voters(now))
            self._member.step_down(
                now, f"no quorum of voters answers, silent: {silent}"
            )
            return
        if self.pending_transfer is not None and now >= self.pending_transfer.deadline:
            self._expire_transfer(self.pending_transfer, now)
            if self._member.leader_state is not self:
                return
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self.settings.heartbeat_s
            for identity in self.progress_by_identity:
                self._send_heartbeat(identity)
            self._try_transfer()
            self._propose_due_change(now)

    def silent_voters(self, now) -> list[str]:
        """Return the other voters that have not answered for an election timeout."""
        timeout_s = self.settings.election_timeout_s
        return [
            identity
            for identity, peer in self.progress_by_identity.items()
            if identity in self._member.voter_set.voters
            and now - peer.last_contact_at >= timeout_s
        ]

    def _expire_transfer(self, transfer, now):
        # A target that was asked to take over may start an election that ignores the
        # lease at any later time, so this term must not hold a lease again.
        if transfer.timeout_now_sent:
            self._member.step_down(now, f"transfer to {transfer.target} timed out")
        else:
            self.pending_transfer = None

    def replicate(self) -> None:
        """Send each member the entries it has not been sent yet."""
        for identity, peer in self.progress_by_identity.items():
            self._send_entries(identity, peer)
        if (
            self.pending_transfer is not None
            and not self.pending_transfer.timeout_now_sent
        ):
            self._try_transfer()

    def _send_entries(self, identity, peer):
        while peer.next_index <= self.log.last_index:
            if not peer.may_send(
                self.settings.max_in_flight, self.settings.max_in_flight_bytes
            ):
                return
            if self.log.term_at(peer.next_index - 1) is None:
                self._start_snapshot(identity, peer)
                return
            entries = self.log.batch(
                peer.next_index,
                self.settings.max_batch_entries,
                self.settings.max_batch_bytes,
            )
            self._send_append(identity, peer.next_index - 1, entries)
            size_bytes = sum(len(entry.data) for entry in entries)
            peer.record_sent(entries[-1].index, size_bytes)

    def _send_heartbeat(self, identity):
        peer = self.progress_by_identity[identity]
        if peer.snapshot is not None:
            self._send_snapshot_chunk(identity, peer)
            return
        if self.log.term_at(peer.next_index - 1) is None:
            self._start_snapshot(identity, peer)
            return
        self._send_append(identity, peer.next_index - 1, [])

    def _send_append(self, identity, prev_index, entries):
        self._member.send(
            raftmessages.AppendEntries,
            identity,
            prev_index=prev_index,
            prev_term=self.log.term_at(prev_index),
            entries=raftmessages.encode_entries(entries),
            commit=self._member.commit_index,
            sent_at=self._member.now,
        )

    def _start_snapshot(self, identity, peer):
        peer.start_snapshot(self._member.state.snapshot)
        self._send_snapshot_chunk(identity, peer)

    def _send_snapshot_chunk(self, identity, peer):
        snapshot = peer.snapshot
        end = peer.snapshot_offset + self.settings.chunk_bytes
        self._member.send(
            raftmessages.SnapshotChunk,
            identity,
            index=snapshot.index,
            index_term=snapshot.term,
            voter_set=snapshot.voter_set,
            offset=peer.snapshot_offset,
            data=snapshot.data[peer.snapshot_offset : end],
            last=end >= len(snapshot.data),
            sent_at=self._member.now,
        )

    def receive_append_reply(self, message, now) -> None:
        """Record the reply of a member and advance the commit index."""
        peer = self._record_contact(message, now)
        if peer is None:
            return
        if not message.ok:
            peer.back_off_after_rejection(message.index, message.hint)
            return
        peer.free_in_flight_slot()
        peer.record_match(min(message.index, self.log.last_index))
        self.advance_commit()

    def receive_snapshot_reply(self, message, now) -> None:
        """Record the bytes received and send the next chunk."""
        peer = self._record_contact(message, now)
        if peer is None or peer.snapshot is None:
            return
        if message.index != peer.snapshot.index:
            return
        if message.offset == peer.snapshot_offset:
            return
        peer.snapshot_offset = min(message.offset, len(peer.snapshot.data))
        self._send_snapshot_chunk(message.source, peer)

    def _record_contact(self, message, now):
        peer = self.progress_by_identity.get(message.source)
        if peer is not None:
            peer.last_contact_at = now
            # Limited to now, so that a reply with a wrong time cannot extend the lease.
            sent_at = min(message.sent_at, now)
            peer.last_acked_sent_at = max(peer.last_acked_sent_at, sent_at)
        return peer

    def start_transfer(self, target, now) -> None:
        """Give up the lease; ``target`` takes over once its log is complete."""
        peers = self.progress_by_identity
        if target not in peers or target not in self._member.voter_set.voters:
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST,
                f"leadership can be transferred only to another voter, not '{target}'",
            )
        if self.pending_transfer is not None:
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST,
                f"a transfer to {self.pending_transfer.target} is in progress",
            )
        deadline = now + self.settings.election_timeout_s
        self.pending_transfer = LeadershipTransfer(target, deadline)

    def _try_transfer(self):
        if self.pending_transfer is None:
            return
        peer = self.progress_by_identity.get(self.pending_transfer.target)
        if peer is not None and peer.match_index == self.log.last_index:
            self.pending_transfer.timeout_now_sent = True
            self._member.send(raftmessages.TimeoutNow, self.pending_transfer.target)

    def best_transfer_target(self) -> str | None:
        """Return the other voter with the most recent log, None if there is none."""
        voters = [
            identity
            for identity in self.progress_by_identity
            if identity in self._member.voter_set.voters
        ]
        if not voters:
            return None
        peers = self.progress_by_identity
        return max(
            voters,
            key=lambda identity: (
                peers[identity].match_index,
                peers[identity].last_contact_at,
            ),
        )

    def can_change_voters(self) -> bool:
        """Return whether a voter set change may be proposed.

        Only one change may be uncommitted at a time, and until an entry of this term is
        committed, a change by an earlier leader that this log lacks could still be
        committed. The quorums of the voter sets after that change and after the new one
        might not overlap. During a transfer the leader accepts no proposals.
        """
        is_committed = self._member.state.voter_set_index <= self._member.commit_index
        return (
            is_committed
            and self.has_committed_own_term()
            and self.pending_transfer is None
        )

    def has_quorum_contact(self, voter_set, now) -> bool:
        """Return whether a quorum of ``voter_set`` answered within an election timeout.

        Without this check, removing a voter while others are down could leave the
        group without a quorum for good.
        """
        reachable = {self.settings.identity}
        for identity, peer in self.progress_by_identity.items():
            is_recent = now - peer.last_contact_at < self.settings.election_timeout_s
            if peer.last_acked_sent_at > 0 and is_recent:
                reachable.add(identity)
        return len(reachable.intersection(voter_set.voters)) >= voter_set.quorum

    def has_caught_up(self, identity) -> bool:
        """Return whether a learner has all committed and nearly all other entries."""
        peer = self.progress_by_identity.get(identity)
        if peer is None or peer.is_probing:
            return False
        required_index = max(
            self._member.commit_index, self.log.last_index - CAUGHT_UP_MAX_LAG_ENTRIES
        )
        return peer.match_index >= required_index

    def _propose_due_change(self, now):
        if not self.can_change_voters():
            return
        if self.settings.voter_target:
            self._propose_voter_replacement(now)
            return
        for identity in self._member.voter_set.promoting:
            change = self._next_learner_change(identity, now)
            if change is not None:
                self._propose_if_possible(change, now)
                return

    def _propose_voter_replacement(self, now):
        """Propose the next change towards the target number of reachable voters."""
        views_by_identity = {
            identity: voterpolicy.MemberView(
                self.has_caught_up(identity), self._silent_s(identity, now)
            )
            for identity in self.progress_by_identity
        }
        change = voterpolicy.next_change(
            self._member.voter_set,
            self.settings.identity,
            views_by_identity,
            self.settings.voter_target,
            self.settings.replace_after_s,
            self.settings.learner_expiry_s,
        )
        if change is not None:
            self._propose_if_possible(change, now)

    def _silent_s(self, identity, now):
        """Return how long a member has not answered, also to earlier leaders.

        A member gets an election timeout to answer this leader.
        """
        own_s = now - self.progress_by_identity[identity].last_contact_at
        if own_s < self.settings.election_timeout_s:
            return own_s
        host = voterset.host_of(identity)
        return max(own_s, self._member.contacts.silent_s(host, now))

    def _propose_if_possible(self, change, now):
        """Propose a change, or do nothing if it is not allowed now."""
        with contextlib.suppress(errors.ProxyError):
            self._member.propose_change(change, now)

    def _next_learner_change(self, identity, now):
        peer = self.progress_by_identity[identity]
        if now - peer.last_contact_at > self.settings.learner_expiry_s:
            return voterset.Change(voterset.ChangeKind.REMOVE, identity)
        if not self.has_caught_up(identity):
            return None
        other_identities = self._member.voter_set.other_identities_of_host(identity)
        if self.settings.identity in other_identities:
            return None
        if other_identities and len(self._member.voter_set.voters) > 1:
            return voterset.Change(voterset.ChangeKind.REMOVE, other_identities[0])
        return voterset.Change(voterset.ChangeKind.PROMOTE, identity)

    def receive_join(self, message, now) -> None:
        """Propose to add the sender, if it may join and no other change is pending.

        With ``voter_target`` any host may join. Otherwise a host may join if it has an
        identity in the group from before it lost its disk or memory (but not that of
        this leader), or if it is one of ``admitted_hosts`` and has none.
        """
        voter_set = self._member.voter_set
        identity = message.source
        if self.settings.voter_target:
            self._add_learner(identity, now)
            return
        other_identities = voter_set.other_identities_of_host(identity)
        replaceable_identities = [
            other for other in other_identities if other != self.settings.identity
        ]
        is_admitted = voterset.host_of(identity) in self.settings.admitted_hosts
        may_join = replaceable_identities or (is_admitted and not other_identities)
        if (
            not may_join
            or identity in voter_set.members
            or not self.can_change_voters()
        ):
            return
        replaced_voters = set(replaceable_identities) & {
            *voter_set.voters,
            *voter_set.promoting,
        }
        kind = voterset.ChangeKind.ADD_LEARNER
        if replaced_voters or is_admitted:
            kind = voterset.ChangeKind.ADD_VOTER
        self._propose_if_possible(voterset.Change(kind, identity), now)

    def _add_learner(self, identity, now):
        """Add the joining member as a learner, whatever its host."""
        if identity in self._member.voter_set.members or not self.can_change_voters():
            return
        change = voterset.Change(voterset.ChangeKind.ADD_LEARNER, identity)
        self._propose_if_possible(change, now)

    def append_noop(self) -> None:
        """Append the empty entry whose commit also commits earlier terms."""
        self._member.append_entry(replicalog.EntryKind.NOOP, b"")
