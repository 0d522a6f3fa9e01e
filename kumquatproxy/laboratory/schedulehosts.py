"""Hosts of a schedule of orders."""

from kumquatproxy import records
from kumquatproxy.laboratory import schedulefakes
from kumquatproxy.placement import orderrecords, orders, placementstate


class Host:
    """Simulated host: clock, log replica, order queue, newest reports, order engine."""

    def __init__(self, host_id, world, centre):
        self.host_id = host_id
        self.centre = centre
        self.clock_offset = world.rng.uniform(0.0, 1e5)
        self.paused_until = 0.0
        self.disconnected_until = 0.0
        self.state = placementstate.PlacementState()
        self.applied_count = 0
        self.order_engine: orders.OrderEngine | None = None
        self.lease_until = 0.0  # on this host's clock
        self.queued_orders: list[tuple[float, orderrecords.SendOrder]] = []
        self.reports_by_id: dict[str, records.LoadReport] = {}
        self._world = world

    def clock(self, now):
        """Return the time on this host's monotonic clock."""
        return now + self.clock_offset

    def is_reachable(self, now):
        """Return whether the host is neither paused nor disconnected."""
        return now >= self.paused_until and now >= self.disconnected_until

    def step(self, now):
        """Apply committed entries, send queued orders and tick the order engine."""
        if now < self.paused_until:
            return
        group = self.centre.group
        if self.is_reachable(now):
            self._apply(now)
            if group.leader is self:
                group.renew(now)
                self.lease_until = self.clock(now) + schedulefakes.LEASE_S
        self._send_queued(now)
        if self.order_engine is not None:
            desired = self.centre.desired_actions(self.order_engine)
            self.order_engine.set_desired(desired, self._world.resends_unlisted)
            for output in self.order_engine.tick(self.clock(now), self.lease_until):
                self._handle_output(self.order_engine, output, now)

    def receive_report(self, report):
        """Keep the newest report of a server and pass each to the order engine."""
        newest = self.reports_by_id.get(report.backend_id)
        if newest is None or _report_position(report) > _report_position(newest):
            self.reports_by_id[report.backend_id] = report
        if self.order_engine is not None:
            self.order_engine.observe(report)

    def _apply(self, now):
        committed = self.centre.group.committed
        while self.applied_count < len(committed):
            command = committed[self.applied_count]
            self.applied_count += 1
            self.state.apply(command)
            if isinstance(command, placementstate.TakeOwnership):
                self._change_owner(command, now)
            elif self.order_engine is not None:
                self.order_engine.committed(command, self.clock(now))

    def _change_owner(self, command, now):
        self.order_engine = None
        is_leader = self.centre.group.leader is self
        if command.owner != self.host_id or not is_leader:
            return
        if command.fence != self.centre.group.term:
            return
        self.order_engine = self._world.order_engine_class(
            self.centre.name,
            self.state,
            self._world.rng,
            self.clock(now),
            self._world.settings,
        )
        self.order_engine.record_sizes(self.centre.memory_mb_by_item)
        for engine in self.centre.engines:
            self.order_engine.set_server(engine.description())
        for report in self.reports_by_id.values():
            self.order_engine.observe(report)
        for backend_id in self.centre.gone_servers:
            self.order_engine.mark_server_gone(backend_id, self.clock(now))

    def _handle_output(self, order_engine, output, now):
        if isinstance(output, orderrecords.SendOrder):
            delay_s = self._world.rng.choice((0.0, 0.0, 0.25, 1.0))
            self.queued_orders.append((now + delay_s, output))
        elif isinstance(output, orderrecords.Acknowledge):
            if self.is_reachable(now):
                self._world.configuration.apply(output.command)
                order_engine.share_acknowledged(output.command.share_version)
        else:
            is_appended = self.centre.group.propose(self, output.command, now)
            if not is_appended and self.is_reachable(now):
                order_engine.rejected(output.command)

    def _send_queued(self, now):
        still_queued = []
        for ready_at, send in self.queued_orders:
            if now < ready_at:
                still_queued.append((ready_at, send))
            elif self.order_engine is not None and self.order_engine.may_send(
                send, self.clock(now), self.lease_until
            ):
                self._world.transmit(self, send, now)
        self.queued_orders = still_queued


def _report_position(report):
    return report.incarnation, report.sequence
