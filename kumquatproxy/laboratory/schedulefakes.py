"""Fake engines and a fake placement log for schedules of orders."""

from kumquatproxy import records
from kumquatproxy.placement import orderrules, placementstate

REPORT_INTERVAL_S = 0.5
LEASE_S = 2.0


class Transfer:
    """One transfer of an item from the weight store."""

    __slots__ = ("done_at", "memory_mb")

    def __init__(self, done_at, memory_mb):
        self.done_at: float = done_at
        self.memory_mb: int = memory_mb


class FakeEngine:
    """Execute orders and track the memory used, without enforcing a limit.

    An order id that was seen before is answered again without execution; the schedule
    drops orders that arrive more than half a clock margin after their expiry. A restart
    loses the ids seen and the fence.
    """

    def __init__(self, backend_id, data_centre, memory_mb, checks_fencing, rng):
        self.backend_id = backend_id
        self.data_centre = data_centre
        self.memory_mb = memory_mb
        self.checks_fencing = checks_fencing
        self.incarnation = 0
        self.up_at = 0.0
        self.peak_mb = 0
        self._rng = rng
        self.restart(0.0, 0.0)

    def restart(self, now, down_s):
        """Lose all state and stay down for ``down_s``."""
        self.incarnation += 1
        self.up_at = now + down_s
        self.fence = 0
        self.sequence = 0
        self.loaded: dict[records.Item, int] = {}
        self.loading: dict[records.Item, Transfer] = {}
        self.answers_by_id: dict[str, orderrules.Stage] = {}

    def description(self):
        """Return the record with which this engine announces itself."""
        return records.BackendServer(
            self.backend_id,
            "",
            self.data_centre,
            "engine",
            "engines",
            self.incarnation,
            memory_mb=self.memory_mb,
            accelerators=1,
            checks_fencing=self.checks_fencing,
        )

    def used_mb(self):
        """Return the memory of all items that are loaded or loading."""
        loading_mb = sum(loading.memory_mb for loading in self.loading.values())
        return sum(self.loaded.values()) + loading_mb

    def running_transfers(self, kind):
        """Return the number of running transfers of items of a kind."""
        return sum(1 for item in self.loading if item.kind == kind)

    def receive(self, order, load_s, now):
        """Execute an order and return the stage for its answer."""
        if order.order_id in self.answers_by_id:
            return self.answers_by_id[order.order_id]
        if self.checks_fencing and order.fence < self.fence:
            return orderrules.Stage.UNKNOWN
        self.fence = max(self.fence, order.fence)
        stage = self._execute(order, load_s, now)
        self.answers_by_id[order.order_id] = stage
        self.peak_mb = max(self.peak_mb, self.used_mb())
        return stage

    def _execute(self, order, load_s, now):
        item = order.item
        if order.action == placementstate.UNLOAD:
            self.loaded.pop(item, None)
            self.loading.pop(item, None)
            return orderrules.Stage.ACCEPTED
        if self._rng.random() < 0.03:
            return orderrules.Stage.REFUSED
        if item not in self.loaded and item not in self.loading:
            self.loading[item] = Transfer(now + load_s, order.memory_mb)
        return orderrules.Stage.ACCEPTED

    def step(self, now):
        """Complete the transfers that are due."""
        for item, loading in list(self.loading.items()):
            if now >= loading.done_at:
                del self.loading[item]
                self.loaded[item] = loading.memory_mb

    def report(self, now):
        """Return the next load report."""
        self.sequence += 1
        return records.LoadReport(
            self.backend_id,
            self.incarnation,
            self.sequence,
            loaded=self.loaded,
            fence_seen=self.fence,
            orders_seen=self.answers_by_id,
            sent_at=now,
        )


class PendingEntry:
    """One proposed command and the time at which it commits."""

    __slots__ = ("command", "commits_at")

    def __init__(self, command, commits_at):
        self.command = command
        self.commits_at: float = commits_at


class FakeGroup:
    """Simulated replicated log with one leader at a time.

    The caller elects a new leader only after ``lease_until``. An election commits a
    random number of the pending entries and drops the rest.
    """

    def __init__(self, rng):
        self.committed: list = []
        self.leader = None
        self.term = 0
        self.lease_until = 0.0
        self.state = placementstate.PlacementState()
        self._pending: list[PendingEntry] = []
        self._rng = rng

    def elect(self, host, now):
        """Make a host the leader, with a first entry that takes the ownership."""
        kept_count = self._rng.randint(0, len(self._pending))
        for entry in self._pending[:kept_count]:
            self._commit(entry.command)
        self._pending = []
        self.term += self._rng.randint(1, 3)
        self.leader = host
        self.lease_until = now + LEASE_S
        self._commit(placementstate.TakeOwnership(self.term, host.host_id))

    def renew(self, now):
        """Extend the lease of the leader, as if a quorum had answered its heartbeat."""
        self.lease_until = now + LEASE_S

    def propose(self, host, command, now):
        """Append a command; return whether the host is the leader."""
        if host is not self.leader:
            return False
        delay_s = self._rng.choice((0.0, 0.1, 0.1, 0.5, 1.0))
        earliest_commit_at = self._pending[-1].commits_at if self._pending else now
        self._pending.append(
            PendingEntry(command, max(earliest_commit_at, now + delay_s))
        )
        return True

    def step(self, now):
        """Commit the pending entries that are due."""
        while self._pending and self._pending[0].commits_at <= now:
            self._commit(self._pending.pop(0).command)

    def _commit(self, command):
        self.committed.append(command)
        self.state.apply(command)
