"""Invariants of a replicated-log group, checked after every step of a schedule."""

from kumquatproxy.agreement import raftmessages


class InvariantError(Exception):
    """Tell which invariant does not hold."""


class Invariants:
    """Observe all nodes of a simulated group."""

    def __init__(self):
        self.checks = 0
        self.committed_by_index: dict[int, tuple] = {}
        self.max_fence = 0
        self.elections = 0
        self.snapshots_installed = 0
        self._leader_by_term: dict[int, str] = {}
        self._commit_terms: dict[int, int] = {}  # term of the leader that committed
        self._votes: dict[tuple[str, int], str] = {}
        self._told_term: dict[str, int] = {}
        self._term_by_node: dict[str, int] = {}
        self._commit_by_node: dict[str, int] = {}
        self._applied_by_node: dict[str, int] = {}
        self._state_by_index: dict[int, object] = {}

    def started(self, node) -> None:
        """Note that a node has started: what it had only in memory is gone."""
        self._commit_by_node[node.host_id] = node.member.state.snapshot.index
        self._applied_by_node[node.host_id] = node.member.state.snapshot.index
        self._term_by_node[node.host_id] = 0
        self._check_term(node)

    def check(self, node) -> None:
        """Check a node after it has handled an event."""
        self.checks += 1
        self._check_term(node)
        self._check_commits(node)
        if node.member.leader_state is not None:
            self._check_leader(node)
            self._check_leases(node)

    def _check_term(self, node):
        """Check against the terms the identity has told others or had since its start.

        A term that a crash took away before it was synced was told to nobody.
        """
        told = self._told_term.get(node.identity, 0)
        highest = max(told, self._term_by_node.get(node.host_id, 0))
        if node.member.term < highest:
            raise InvariantError(
                f"{node.identity} fell from term {highest} to {node.member.term}"
            )
        self._term_by_node[node.host_id] = node.member.term

    def _check_leader(self, node):
        term = node.member.term
        if term not in self._leader_by_term:
            self._check_has_committed(node)
            self.elections += 1
        first = self._leader_by_term.setdefault(term, node.identity)
        if first != node.identity:
            raise InvariantError(f"{first} and {node.identity} lead in term {term}")

    def _check_has_committed(self, node):
        log = node.member.state.log
        last = max(self.committed_by_index, default=0)
        for index in range(log.base_index + 1, last + 1):
            # A leader elected late need not have what later terms committed.
            earlier = self._commit_terms[index] < node.member.term
            if earlier and log.term_at(index) != self.committed_by_index[index][0]:
                raise InvariantError(
                    f"{node.identity} leads in term {node.member.term} without the "
                    f"committed entry {index}"
                )

    def _check_leases(self, node):
        group = node.group
        holders = [
            other for other in group.nodes if other.member.has_lease(other.clock())
        ]
        if len(holders) > 1:
            names = " and ".join(holder.identity for holder in holders)
            raise InvariantError(f"{names} hold leases at {group.now:.3f} s")
        for holder in holders:
            if holder.member.term < self.max_fence:
                raise InvariantError(
                    f"{holder.identity} holds a lease with fence {holder.member.term} "
                    f"after {self.max_fence}"
                )
            self.max_fence = holder.member.term

    def _check_commits(self, node):
        state = node.member.state
        seen = self._commit_by_node[node.host_id]
        if state.commit_index < seen:
            raise InvariantError(f"{node.identity} took back commit {seen}")
        first = max(seen, state.log.base_index) + 1
        for entry in state.log.slice(first, state.commit_index):
            self._note_committed(node, entry)
        self._commit_by_node[node.host_id] = state.commit_index

    def _note_committed(self, node, entry):
        content = (entry.term, entry.kind, entry.data)
        first = self.committed_by_index.setdefault(entry.index, content)
        self._commit_terms.setdefault(entry.index, node.member.term)
        if first != content:
            raise InvariantError(
                f"{node.identity} committed {content} at {entry.index}, "
                f"another member {first}"
            )

    def applied(self, node, outputs) -> None:
        """Check that applied sequences are prefixes of each other."""
        applied = self._applied_by_node[node.host_id]
        if outputs.snapshot is not None:
            applied = outputs.snapshot.index
            self.snapshots_installed += 1
        for entry in outputs.committed:
            applied += 1
            if entry.index != applied:
                raise InvariantError(f"{node.identity} skipped entry {applied}")
            self._note_committed(node, entry)
        self._applied_by_node[node.host_id] = applied
        state = node.applier.machine.snapshot()
        if self._state_by_index.setdefault(applied, state) != state:
            raise InvariantError(f"{node.identity} differs in its state at {applied}")

    def sent(self, node, message) -> None:
        """Check what an identity tells: its terms, and one vote in each."""
        if not isinstance(
            message, raftmessages.PreVoteRequest | raftmessages.PreVoteReply
        ):
            told = max(message.term, self._told_term.get(node.identity, 0))
            self._told_term[node.identity] = told
        if isinstance(message, raftmessages.VoteRequest):
            self._note_vote(node.identity, message.term, node.identity)
        elif isinstance(message, raftmessages.VoteReply) and message.granted:
            self._note_vote(node.identity, message.term, message.target)

    def _note_vote(self, identity, term, candidate):
        first = self._votes.setdefault((identity, term), candidate)
        if first != candidate:
            raise InvariantError(
                f"{identity} voted for {first} and {candidate} in term {term}"
            )
