"""Safety invariants of a consensus group, checked after every simulated event."""

from kumquatproxy.agreement import raftmessages


class InvariantError(Exception):
    """A violated invariant."""


class Invariants:
    """Check the safety invariants over all nodes of a simulated group."""

    def __init__(self):
        self.checks = 0
        self.committed_by_index: dict[int, tuple] = {}
        self.max_fence = 0
        self.elections = 0
        self.snapshots_installed = 0
        self._leader_by_term: dict[int, str] = {}
        self._commit_term_by_index: dict[int, int] = {}  # term of the committing member
        self._candidate_by_vote: dict[tuple[str, int], str] = {}
        self._sent_term_by_identity: dict[str, int] = {}
        self._term_by_host: dict[str, int] = {}
        self._commit_index_by_host: dict[str, int] = {}
        self._applied_index_by_host: dict[str, int] = {}
        self._state_by_index: dict[int, object] = {}

    def record_start(self, node) -> None:
        """Reset the values that a node holds only in memory, after its start."""
        self._commit_index_by_host[node.host_id] = node.member.state.snapshot.index
        self._applied_index_by_host[node.host_id] = node.member.state.snapshot.index
        self._term_by_host[node.host_id] = 0
        self._check_term(node)

    def check(self, node) -> None:
        """Check a node after it has processed an event."""
        self.checks += 1
        self._check_term(node)
        self._check_commits(node)
        if node.member.leader_state is not None:
            self._check_leader(node)
            self._check_leases(node)

    def _check_term(self, node):
        """Check that the term is not below any sent ever or held since the last start.

        A crash may undo a term that was not yet synced and so was never sent.
        """
        sent_term = self._sent_term_by_identity.get(node.identity, 0)
        highest = max(sent_term, self._term_by_host.get(node.host_id, 0))
        if node.member.term < highest:
            raise InvariantError(
                f"{node.identity} went back from term {highest} to {node.member.term}"
            )
        self._term_by_host[node.host_id] = node.member.term

    def _check_leader(self, node):
        term = node.member.term
        if term not in self._leader_by_term:
            self._check_leader_log(node)
            self.elections += 1
        leader = self._leader_by_term.setdefault(term, node.identity)
        if leader != node.identity:
            raise InvariantError(
                f"{leader} and {node.identity} are both leaders in term {term}"
            )

    def _check_leader_log(self, node):
        log = node.member.state.log
        last = max(self.committed_by_index, default=0)
        for index in range(log.base_index + 1, last + 1):
            # The log need only contain entries that were committed in earlier terms.
            was_committed_before_its_term = (
                self._commit_term_by_index[index] < node.member.term
            )
            if (
                was_committed_before_its_term
                and log.term_at(index) != self.committed_by_index[index][0]
            ):
                raise InvariantError(
                    f"{node.identity} is leader in term {node.member.term} without the "
                    f"committed entry {index}"
                )

    def _check_leases(self, node):
        group = node.group
        holders = [
            other for other in group.nodes if other.member.has_lease(other.clock())
        ]
        if len(holders) > 1:
            names = " and ".join(holder.identity for holder in holders)
            raise InvariantError(
                f"{names} hold leases at the same time, at {group.now:.3f} s"
            )
        for holder in holders:
            if holder.member.term < self.max_fence:
                raise InvariantError(
                    f"{holder.identity} holds a lease with fence {holder.member.term} "
                    f"below the earlier fence {self.max_fence}"
                )
            self.max_fence = holder.member.term

    def _check_commits(self, node):
        state = node.member.state
        known_commit_index = self._commit_index_by_host[node.host_id]
        if state.commit_index < known_commit_index:
            raise InvariantError(
                f"{node.identity} decreased its commit index from {known_commit_index}"
            )
        first_index = max(known_commit_index, state.log.base_index) + 1
        for entry in state.log.slice(first_index, state.commit_index):
            self._record_committed(node, entry)
        self._commit_index_by_host[node.host_id] = state.commit_index

    def _record_committed(self, node, entry):
        content = (entry.term, entry.kind, entry.data)
        known_content = self.committed_by_index.setdefault(entry.index, content)
        self._commit_term_by_index.setdefault(entry.index, node.member.term)
        if known_content != content:
            raise InvariantError(
                f"{node.identity} committed {content} at index {entry.index}, "
                f"another member committed {known_content}"
            )

    def check_applied(self, node, outputs) -> None:
        """Check that all nodes apply entries in order and reach the same states."""
        applied_index = self._applied_index_by_host[node.host_id]
        if outputs.snapshot is not None:
            applied_index = outputs.snapshot.index
            self.snapshots_installed += 1
        for entry in outputs.committed:
            applied_index += 1
            if entry.index != applied_index:
                raise InvariantError(
                    f"{node.identity} did not apply entry {applied_index} next"
                )
            self._record_committed(node, entry)
        self._applied_index_by_host[node.host_id] = applied_index
        state = node.applier.machine.snapshot()
        if self._state_by_index.setdefault(applied_index, state) != state:
            raise InvariantError(
                f"{node.identity} has a different state at index {applied_index}"
            )

    def check_sent(self, node, message) -> None:
        """Record the term of a sent message and check for second votes in a term."""
        if not isinstance(
            message, raftmessages.PreVoteRequest | raftmessages.PreVoteReply
        ):
            sent_term = max(
                message.term, self._sent_term_by_identity.get(node.identity, 0)
            )
            self._sent_term_by_identity[node.identity] = sent_term
        if isinstance(message, raftmessages.VoteRequest):
            self._record_vote(node.identity, message.term, node.identity)
        elif isinstance(message, raftmessages.VoteReply) and message.granted:
            self._record_vote(node.identity, message.term, message.target)

    def _record_vote(self, identity, term, candidate):
        earlier = self._candidate_by_vote.setdefault((identity, term), candidate)
        if earlier != candidate:
            raise InvariantError(
                f"{identity} voted for {earlier} and {candidate} in term {term}"
            )
