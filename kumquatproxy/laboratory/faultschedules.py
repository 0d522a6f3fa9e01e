"""Seeded schedules of faults in a simulated group, with all invariants checked."""

import random

from kumquatproxy import errors, records, wire
from kumquatproxy.agreement import consensus, replicalog
from kumquatproxy.laboratory import (
    groupinvariants,
    histories,
    registermachine,
    simfaults,
    simgroup,
)

FAULT_INTERVAL_S = (0.2, 2.5)
CALL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 4.0
SETTLE_DURATION_S = 25.0  # simulated time without faults at the end of a schedule
SPARE_HOSTS = ("s1", "s2")
# Share of calls that read the state of a leader with a lease, without a log entry.
LEASE_READ_SHARE = 0.3
MAX_CALL_COUNT = 200
VALUE_COUNT = 5
_VOTER_CHANGE = replicalog.EntryKind.VOTER_CHANGE


class ViolationError(Exception):
    """A violated invariant or a failed check, with the seed of its schedule."""

    def __init__(self, seed, voters, detail):
        super().__init__(f"seed {seed} with {voters} voters: {detail}")


class Outcome(records.Record):
    """Counts of the events of one schedule."""

    __slots__ = (
        "calls",
        "checks",
        "commits",
        "disks_lost",
        "elections",
        "faults",
        "snapshots_installed",
        "voter_changes",
    )

    faults: int

    def __init__(self, **counts_by_name):
        for name in self._fields():
            setattr(self, name, counts_by_name[name])


class Schedule:
    """One schedule: calls under faults, a time without faults, then final checks."""

    def __init__(
        self, seed, voters=3, faults=(), group_class=simgroup.Group, **options
    ):
        self.seed: int = seed
        self.voters: int = voters
        self.rng = random.Random(seed)
        self.hosts = [f"h{number}" for number in range(1, voters + 1)]
        options.setdefault("max_batch_entries", self.rng.choice([1, 3, 64]))
        options.setdefault("max_in_flight", self.rng.choice([1, 4]))
        options.setdefault("chunk_bytes", 4)
        options.setdefault("retained_entries", self.rng.choice([0, 10]))
        options.setdefault("learner_expiry_s", 5.0)
        self.group = group_class(
            seed,
            self.hosts,
            groupinvariants.Invariants(),
            registermachine.RegisterMachine,
            spare_hosts=SPARE_HOSTS,
            **options,
        )
        self.operations: list[histories.Operation] = []
        self.fault_count = 0
        self._fault_names = list(faults) or simfaults.FAULTS.aliases()
        self._disks_replaced = 0
        self.is_active = True

    def run(self, duration_s: float = 30.0) -> Outcome:
        """Run with faults for ``duration_s`` of simulated time, then settle and check.

        Raises ViolationError with the seed if a check fails or a ProxyError escapes,
        and CheckTooLargeError if the check of the history exceeds its limit of states.
        """
        try:
            self.group.start()
            self._schedule_fault()
            for client in ("a", "b", "c"):
                self._schedule_call(client, 0)
            self.group.run(duration_s)
            self._settle()
        except (groupinvariants.InvariantError, errors.ProxyError) as error:
            raise ViolationError(self.seed, self.voters, str(error)) from error
        if not self._is_linearizable():
            raise ViolationError(self.seed, self.voters, "history not linearizable")
        invariants = self.group.invariants
        contents = invariants.committed_by_index.values()
        changes = [kind for _, kind, _ in contents if kind is _VOTER_CHANGE]
        return Outcome(
            calls=len(self.operations),
            checks=invariants.checks,
            commits=len(contents),
            disks_lost=self._disks_replaced,
            elections=invariants.elections,
            faults=self.fault_count,
            snapshots_installed=invariants.snapshots_installed,
            voter_changes=len(changes),
        )

    def _is_linearizable(self):
        return histories.is_linearizable(
            self.operations, histories.compare_and_set_register
        )

    def _schedule_fault(self):
        self.group.call_later(self.rng.uniform(*FAULT_INTERVAL_S), self._start_fault)

    def _start_fault(self):
        if not self.is_active:
            return
        self.fault_count += 1
        simfaults.FAULTS.get(self.rng.choice(self._fault_names))(self)
        self._schedule_fault()

    def _schedule_call(self, client, number):
        delay_s = self.rng.expovariate(1.0 / CALL_INTERVAL_S)
        self.group.call_later(delay_s, self._make_call, client, number)

    def _make_call(self, client, number):
        if not self.is_active or len(self.operations) >= MAX_CALL_COUNT:
            return
        node = self.rng.choice(self.group.nodes or [None])
        call = self._choose_call()
        # The number rises after each proposal; reads and refused calls keep it.
        operation = histories.Operation(f"{client}{number}", call, self.group.now)
        if node is None or node.paused or not self._submit(node, operation, client):
            self._schedule_call(client, number)

    def _choose_call(self):
        draw = self.rng.random()
        values = range(VALUE_COUNT)
        if draw < LEASE_READ_SHARE:
            return ("read",)
        if draw < 0.5:
            return ("write", self.rng.choice(values))
        return ("cas", self.rng.choice(values), self.rng.choice(values))

    def _submit(self, node, operation, client):
        """Start a call at a node; return whether the node accepted it."""
        number = int(operation.client[1:])
        if operation.call == ("read",):
            if not node.member.is_serving(node.clock()):
                return False
            operation.result = node.applier.machine.value
            operation.returned_at = self.group.now
            self.operations.append(operation)
            self._schedule_call(client, number)
            return True
        command = registermachine.RegisterCall(list(operation.call), b"")
        try:
            proposal = node.member.propose(wire.encode(command), node.clock())
        except consensus.NotLeader:
            return False
        call = _PendingCall(self, operation, client)
        node.applier.add_callback(proposal, call.answer)
        self.operations.append(operation)
        self.group.call_later(CALL_TIMEOUT_S, call.time_out)
        node.pump()
        return True

    def schedule_next_call(self, client, number) -> None:
        """Schedule the next call of a client."""
        self._schedule_call(client, number)

    def replace_disk(self, host_id: str) -> None:
        """Replace the disk of a host by an empty one."""
        self._disks_replaced += 1
        self.group.nodes_by_host[host_id].lose_disk(f"d{self._disks_replaced}")

    def _settle(self):
        """End all faults and check that the group elects a leader and converges."""
        self.is_active = False
        group = self.group
        group.faults.__init__()
        for node in group.nodes_by_host.values():
            if node.member is None:
                node.start()
            elif node.paused:
                node.resume()
        group.run(SETTLE_DURATION_S)
        leader = group.leader()
        if leader is None or not leader.member.has_lease(leader.clock()):
            raise groupinvariants.InvariantError(
                "no leader with a lease after all faults ended"
            )
        self._check_convergence(leader)

    def _check_convergence(self, leader):
        commit_index = leader.member.commit_index
        for node in self.group.nodes:
            if node.identity not in leader.member.voter_set.members:
                continue
            if node.applier.applied_index != commit_index:
                raise groupinvariants.InvariantError(
                    f"{node.identity} applied {node.applier.applied_index} of "
                    f"{commit_index} entries after all faults ended"
                )


class _PendingCall:
    """One proposal of a client, pending until its outcome or its timeout."""

    def __init__(self, schedule, operation, client):
        self._schedule = schedule
        self._operation = operation
        self._client = client
        self._is_finished = False

    def answer(self, result):
        if self._is_finished:
            return
        operation = self._operation
        if isinstance(result, errors.ProxyError):
            if result.executed == "no":
                self._schedule.operations.remove(operation)
        else:
            operation.result = result.value
            operation.returned_at = self._schedule.group.now
        self._finish()

    def time_out(self):
        if not self._is_finished:
            self._finish()

    def _finish(self):
        self._is_finished = True
        number = int(self._operation.client[1:]) + 1
        self._schedule.schedule_next_call(self._client, number)
