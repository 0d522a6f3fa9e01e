"""State and rules of a leader: replication, commit, lease, transfer, learners."""

import contextlib

from kumquatproxy import errors
from kumquatproxy.agreement import (
    progress,
    raftmessages,
    replicalog,
    voterpolicy,
    voterset,
)

# A learner this close behind the last entry has caught up.
CAUGHT_UP_ENTRIES = 64


class Transfer:
    """Hold a transfer of the leadership under way."""

    __slots__ = ("deadline", "requested", "target")

    def __init__(self, target, deadline):
        self.target: str = target
        self.deadline: float = deadline
        self.requested = False


class LeaderState:
    """Lead one term on behalf of a ``consensus.Member``."""

    def __init__(self, member, now):
        self._member = member
        self.settings = member.settings
        self.log = member.state.log
        self.transfer: Transfer | None = None
        self.progress_by_identity: dict[str, progress.Progress] = {}
        self._heartbeat_at = now
        self._first_index = member.state.log.last_index + 1  # first entry of this term
        self.update_members(now)

    def update_members(self, now) -> None:
        """Follow a change of the voter set."""
        members = set(self._member.voter_set.members) - {self.settings.identity}
        for identity in set(self.progress_by_identity) - members:
            del self.progress_by_identity[identity]
        for identity in sorted(members - set(self.progress_by_identity)):
            peer = progress.Progress(self._first_index, now)
            self.progress_by_identity[identity] = peer

    def has_committed_own_term(self) -> bool:
        """Return whether an entry of this term is committed."""
        return self._member.commit_index >= self._first_index

    def lease_until(self, now) -> float:
        """Return the end of the lease, 0 if there is none.

        Voters that answered a round sent at time t refuse votes until one election
        timeout after they received it, so at least until t plus the timeout.
        """
        if self.transfer is not None:
            return 0.0
        sent_at = self._member.voter_set.reached(
            self._with_own("acked_sent_at", self._member.now)
        )
        if sent_at <= 0:
            return 0.0
        return sent_at + self.settings.election_timeout_s - self.settings.lease_margin_s

    def _with_own(self, name, own_value) -> dict:
        values = {
            identity: getattr(peer, name)
            for identity, peer in self.progress_by_identity.items()
        }
        values[self.settings.identity] = own_value
        return values

    def advance_commit(self) -> None:
        """Commit what a quorum holds on disk, if it is of this term."""
        matches = self._with_own("match", self._member.state.persisted_index)
        index = int(self._member.voter_set.reached(matches))
        if index > self._member.commit_index and self._member.may_commit(index):
            self._member.commit_to(index)

    def tick(self, now) -> None:
        """Send heartbeats, check the quorum, move learners and a transfer on."""
        contact = self._member.voter_set.reached(self._with_own("contact_at", now))
        if now - contact >= self.settings.election_timeout_s:
            self._member.step_down(now, "no quorum answers")
            return
        if self.transfer is not None and now >= self.transfer.deadline:
            self._end_transfer(self.transfer, now)
            if self._member.leader is not self:
                return
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self.settings.heartbeat_s
            for identity in self.progress_by_identity:
                self._send_heartbeat(identity)
            self._request_transfer()
            self._move_learners(now)

    def _end_transfer(self, transfer, now):
        # Once the target was asked, it may start an election that ignores the lease
        # at any later time, so this term must not hold a lease again.
        if transfer.requested:
            self._member.step_down(now, f"transfer to {transfer.target} ended")
        else:
            self.transfer = None

    def replicate(self) -> None:
        """Send all entries that are due to every member."""
        for identity, peer in self.progress_by_identity.items():
            self._send_entries(identity, peer)
        if self.transfer is not None and not self.transfer.requested:
            self._request_transfer()

    def _send_entries(self, identity, peer):
        while peer.next <= self.log.last_index:
            if not peer.may_send(self.settings.max_in_flight):
                return
            if self.log.term_at(peer.next - 1) is None:
                self._start_snapshot(identity, peer)
                return
            entries = self.log.batch(
                peer.next,
                self.settings.max_batch_entries,
                self.settings.max_batch_bytes,
            )
            self._send_append(identity, peer.next - 1, entries)
            peer.sent(entries[-1].index)

    def _send_heartbeat(self, identity):
        peer = self.progress_by_identity[identity]
        if peer.snapshot is not None:
            self._send_chunk(identity, peer)
            return
        if self.log.term_at(peer.next - 1) is None:
            self._start_snapshot(identity, peer)
            return
        self._send_append(identity, peer.next - 1, [])

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
        self._send_chunk(identity, peer)

    def _send_chunk(self, identity, peer):
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
        """Note the reply of a member and send what follows."""
        peer = self._note_contact(message, now)
        if peer is None:
            return
        if not message.ok:
            peer.refused(message.index, message.hint)
            return
        peer.heartbeat_answered()
        peer.accepted(min(message.index, self.log.last_index))
        self.advance_commit()

    def receive_snapshot_reply(self, message, now) -> None:
        """Send the next chunk of a snapshot."""
        peer = self._note_contact(message, now)
        if peer is None or peer.snapshot is None:
            return
        if message.index != peer.snapshot.index:
            return
        if message.offset == peer.snapshot_offset:
            return
        peer.snapshot_offset = min(message.offset, len(peer.snapshot.data))
        self._send_chunk(message.source, peer)

    def _note_contact(self, message, now):
        peer = self.progress_by_identity.get(message.source)
        if peer is not None:
            peer.contact_at = now
            # A time that this leader has not reached yet cannot be its own.
            sent_at = min(message.sent_at, now)
            peer.acked_sent_at = max(peer.acked_sent_at, sent_at)
        return peer

    def start_transfer(self, target, now) -> None:
        """Give up the lease and hand the leadership to ``target`` when it is ready."""
        peers = self.progress_by_identity
        if target not in peers or target not in self._member.voter_set.voters:
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST, f"{target} is not another voter"
            )
        if self.transfer is not None:
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST,
                f"a transfer to {self.transfer.target} is under way",
            )
        deadline = now + self.settings.election_timeout_s
        self.transfer = Transfer(target, deadline)

    def _request_transfer(self):
        if self.transfer is None:
            return
        peer = self.progress_by_identity.get(self.transfer.target)
        if peer is not None and peer.match == self.log.last_index:
            self.transfer.requested = True
            self._member.send(raftmessages.TimeoutNow, self.transfer.target)

    def best_target(self) -> str | None:
        """Return the other voter with the most recent log, None if there is none."""
        voters = [
            identity
            for identity in self.progress_by_identity
            if identity in self._member.voter_set.voters
        ]
        if not voters:
            return None
        peers = self.progress_by_identity
        return max(voters, key=lambda name: (peers[name].match, peers[name].contact_at))

    def may_change(self) -> bool:
        """Return whether a change of the voter set may be proposed.

        Without a committed entry of this term, a change of an earlier leader could
        still be committed by others, and the quorums of the two might not overlap.
        """
        settled = self._member.state.voter_set_index <= self._member.commit_index
        return settled and self.has_committed_own_term() and self.transfer is None

    def quorum_answers(self, voter_set, now) -> bool:
        """Return whether a quorum of ``voter_set`` has answered this leader lately.

        Without this check the removal of one voter too many, while others are down,
        would stop the group for good.
        """
        answering = {self.settings.identity}
        for identity, peer in self.progress_by_identity.items():
            recent = now - peer.contact_at < self.settings.election_timeout_s
            if peer.acked_sent_at > 0 and recent:
                answering.add(identity)
        return len(answering.intersection(voter_set.voters)) >= voter_set.quorum

    def has_caught_up(self, identity) -> bool:
        """Return whether a learner holds all committed and nearly all entries."""
        peer = self.progress_by_identity.get(identity)
        if peer is None or peer.probing:
            return False
        enough = max(self._member.commit_index, self.log.last_index - CAUGHT_UP_ENTRIES)
        return peer.match >= enough

    def _move_learners(self, now):
        if not self.may_change():
            return
        if self.settings.voter_target:
            self._repair_voters(now)
            return
        for identity in self._member.voter_set.promoting:
            change = self._next_change(identity, now)
            if change is not None:
                self._propose_if_possible(change, now)
                return

    def _repair_voters(self, now):
        """Replace silent voters by learners, towards the target number."""
        views_by_identity = {
            identity: voterpolicy.MemberView(
                self.has_caught_up(identity), now - peer.contact_at
            )
            for identity, peer in self.progress_by_identity.items()
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

    def _propose_if_possible(self, change, now):
        """Propose a change that another member's state asks for."""
        with contextlib.suppress(errors.ProxyError):
            self._member.propose_change(change, now)

    def _next_change(self, identity, now):
        peer = self.progress_by_identity[identity]
        if now - peer.contact_at > self.settings.learner_expiry_s:
            return voterset.Change(voterset.ChangeKind.REMOVE, identity)
        if not self.has_caught_up(identity):
            return None
        replaced = self._member.voter_set.others_of_host(identity)
        if self.settings.identity in replaced:
            return None
        if replaced and len(self._member.voter_set.voters) > 1:
            return voterset.Change(voterset.ChangeKind.REMOVE, replaced[0])
        return voterset.Change(voterset.ChangeKind.PROMOTE, identity)

    def receive_join(self, message, now) -> None:
        """Add a member that lost its disk or its memory as a learner.

        A host that the settings admit is added as well if none of its identities is
        a member.
        """
        voter_set = self._member.voter_set
        identity = message.source
        if self.settings.voter_target:
            self._admit(identity, now)
            return
        replaced = voter_set.others_of_host(identity)
        lost = [name for name in replaced if name != self.settings.identity]
        is_admitted = voterset.host_of(identity) in self.settings.admitted_hosts
        is_wanted = lost or (is_admitted and not replaced)
        if not is_wanted or identity in voter_set.members or not self.may_change():
            return
        returning = set(lost) & {*voter_set.voters, *voter_set.promoting}
        kind = voterset.ChangeKind.ADD_LEARNER
        if returning or is_admitted:
            kind = voterset.ChangeKind.ADD_VOTER
        self._propose_if_possible(voterset.Change(kind, identity), now)

    def _admit(self, identity, now):
        """Add any host that joins as a learner."""
        if identity in self._member.voter_set.members or not self.may_change():
            return
        change = voterset.Change(voterset.ChangeKind.ADD_LEARNER, identity)
        self._propose_if_possible(change, now)

    def append_noop(self) -> None:
        """Add the entry that lets earlier entries commit."""
        self._member.append_entry(replicalog.EntryKind.NOOP, b"")
