"""Seeded schedules of faults for the order engine, with checks after each step."""

import random

from kumquatproxy import records
from kumquatproxy.configuration import configstate
from kumquatproxy.laboratory import schedulefakes, schedulehosts
from kumquatproxy.placement import (
    orderrecords,
    orderrules,
    orders,
    placementstate,
    storeshare,
)

STEP_S = 0.25
FAULT_STEP_COUNT = 400
# Steps after the faults within which every engine must hold exactly its targets.
MAX_SETTLE_STEPS = 480
# Shorter than the defaults, so that a schedule spans many order lifetimes.
SETTINGS = orderrules.Settings(
    lifetime_s=6.0,
    clock_margin_s=1.0,
    max_report_delay_s=6.0,
    load_timeout_s=10.0,
    initial_resend_interval_s=0.5,
    max_resend_interval_s=2.0,
)
STORE_RATES = (0.5, 2.0)
SIZES_BY_KIND = {"model": 9, "adapter": 1}
MODELS = [records.Item("model", f"m{index}", "1") for index in range(6)]
ADAPTERS = [records.Item("adapter", f"a{index}", "1") for index in range(6)]


class Centre:
    """One data centre of a schedule: its log, engines, hosts and targets."""

    def __init__(self, name, world):
        rng = world.rng
        self.name = name
        self.group = schedulefakes.FakeGroup(rng)
        self.engines = [
            schedulefakes.FakeEngine(f"{name}-e{index}", name, 20, index == 0, rng)
            for index in range(2)
        ]
        self.hosts = [
            schedulehosts.Host(f"{name}-h{index}", world, self) for index in range(3)
        ]
        # Backend servers reported as gone; used by sheetapply.
        self.gone_servers: set[str] = set()
        # Known to a new owner in advance; it learns all other sizes from reports.
        self.memory_mb_by_item: dict[records.Item, int] = {}
        self.target_items_by_id: dict[str, list[records.Item]] = {}
        self._rng = rng
        self.choose_targets()

    def choose_targets(self):
        """Choose the items that each engine should hold, within its memory."""
        for engine in self.engines:
            models = self._rng.sample(MODELS, self._rng.randint(0, 2))
            adapters = self._rng.sample(ADAPTERS, self._rng.randint(0, 2))
            self.target_items_by_id[engine.backend_id] = models + adapters

    def desired_actions(self, order_engine):
        """Return a load of each target and an unload of each other reported item."""
        actions = []
        for backend_id, view in order_engine.tracker.ledger.views_by_id.items():
            loaded = view.report.loaded if view.report is not None else ()
            for item in loaded:
                if item not in self.target_items_by_id[backend_id]:
                    actions.append(_action(placementstate.UNLOAD, backend_id, item))
            for item in self.target_items_by_id[backend_id]:
                actions.append(_action(placementstate.LOAD, backend_id, item))
        return actions

    def is_settled(self):
        """Return whether every engine holds exactly its targets."""
        return all(
            set(engine.loaded) == set(self.target_items_by_id[engine.backend_id])
            for engine in self.engines
        )


class OrderSimulation:
    """One schedule of orders; ``violations`` lists the failed checks."""

    def __init__(self, seed, order_engine_class=orders.OrderEngine):
        self.rng = random.Random(seed)
        self.order_engine_class = order_engine_class
        self.settings = SETTINGS
        # Open orders are resent also if the desired actions omit them.
        self.resends_unlisted = seed % 4 == 3
        self.configuration = configstate.ConfigState()
        # If true, an order copy in flight may still arrive after its engine restarted;
        # if false, a restart drops it, as with a direct connection.
        self.copies_survive_restart = self.rng.random() < 0.3
        self.violations: list[str] = []
        self.sent = 0
        self.is_faulty = True
        self.transfer_chance = 0.01  # of a leadership transfer, at each step
        self._in_flight: list[tuple] = []
        self._burst_loads = 0.0
        self._burst_updated_at = 0.0
        names = ["dc-a", "dc-b", "dc-c"][: self.rng.randint(1, 3)]
        # About one model slot and one concurrent adapter transfer per data centre, so
        # few that the shares limit the loads.
        self.limits = storeshare.Share(
            adapters=len(names) + self.rng.randint(0, 2),
            rate=self.rng.choice(STORE_RATES),
            slots=len(names) + self.rng.randint(0, 1),
        )
        self.configuration.limits = self.limits
        self.centres = [Centre(name, self) for name in names]
        # The first voters of a data centre give it a share, so all shares change.
        for name in names[: self.rng.randint(1, len(names))]:
            self.configuration.apply(configstate.SetVoters(0, name, []))

    def run(self) -> list[str]:
        """Run with faults, then without until settled; return the violations."""
        now = 0.0
        for _ in range(FAULT_STEP_COUNT):
            now += STEP_S
            self._inject_faults(now)
            self._step(now)
            if self.violations:
                return self.violations
        self._end_faults(now)
        for _ in range(MAX_SETTLE_STEPS):
            now += STEP_S
            self._step(now)
            all_settled = all(centre.is_settled() for centre in self.centres)
            if self.violations or all_settled:
                return self.violations
        self.violations.append("targets are not loaded in time after the faults ended")
        return self.violations

    def transmit(self, host, send, now):
        """Send an order; during faults it may be lost, delayed or duplicated."""
        self._check_send(host, send, now)
        self.sent += 1
        engine = next(
            engine
            for engine in host.centre.engines
            if engine.backend_id == send.order.backend_id
        )
        expires_at = now + send.order.expires_at - host.clock(now)
        copies = 1
        if self.is_faulty:
            copies = self.rng.choices((0, 1, 2), (0.2, 0.7, 0.1))[0]
        for _ in range(copies):
            arrives_at = now + self._delay_s(8.0)
            order_copy = (engine, engine.incarnation, send.order, expires_at)
            self._in_flight.append((arrives_at, host, order_copy))

    def _delay_s(self, max_s):
        if self.is_faulty and self.rng.random() < 0.25:
            return self.rng.uniform(0.0, max_s)
        return self.rng.uniform(0.0, 0.5)

    def _inject_faults(self, now):
        rng = self.rng
        for centre in self.centres:
            if rng.random() < 0.04:
                centre.choose_targets()
            for host in centre.hosts:
                if rng.random() < 0.01:
                    host.paused_until = now + rng.choice((1.0, 3.0, 12.0))
                if rng.random() < 0.01:
                    host.disconnected_until = now + rng.choice((1.0, 3.0, 12.0))
            for engine in centre.engines:
                if rng.random() < 0.004:
                    engine.restart(now, rng.uniform(0.0, 4.0))
        if rng.random() < 0.01:
            # Changes the shares, unless the data centre has voters already.
            centre = rng.choice(self.centres)
            self.configuration.apply(configstate.SetVoters(0, centre.name, []))

    def _end_faults(self, now):
        self.is_faulty = False
        for centre in self.centres:
            self.configuration.apply(configstate.SetVoters(0, centre.name, []))
            for host in centre.hosts:
                host.paused_until = min(host.paused_until, now)
                host.disconnected_until = min(host.disconnected_until, now)

    def _step(self, now):
        for centre in self.centres:
            self._step_log(centre, now)
            for engine in centre.engines:
                engine.step(now)
                self._send_report(centre, engine, now)
        self._deliver(now)
        for centre in self.centres:
            for host in centre.hosts:
                self._deliver_share(host, now)
                host.step(now)
        self._check(now)

    def _step_log(self, centre, now):
        group = centre.group
        leader = group.leader
        has_leader = leader is not None and leader.is_reachable(now)
        if has_leader:
            group.step(now)
        if has_leader and not (
            self.is_faulty and self.rng.random() < self.transfer_chance
        ):
            return
        if has_leader:  # a planned transfer ends the lease first
            leader.lease_until = 0.0
            group.lease_until = now
        candidates = [host for host in centre.hosts if host.is_reachable(now)]
        if candidates and now >= group.lease_until:
            group.elect(self.rng.choice(candidates), now)

    def _deliver_share(self, host, now):
        share = self.configuration.shares_by_data_centre.get(host.centre.name)
        if host.order_engine is None or share is None or not host.is_reachable(now):
            return
        if not self.is_faulty or self.rng.random() < 0.1:
            host.order_engine.offer_share(self.configuration.share_version, share)

    def _send_report(self, centre, engine, now):
        if now < engine.up_at or now % schedulefakes.REPORT_INTERVAL_S:
            return
        report = engine.report(now)
        for host in centre.hosts:
            if self.is_faulty and self.rng.random() < 0.2:
                continue
            self._in_flight.append((now + self._delay_s(5.0), host, report))

    def _deliver(self, now):
        due = [message for message in self._in_flight if message[0] <= now]
        self._in_flight = [message for message in self._in_flight if message[0] > now]
        for _, host, message in sorted(due, key=lambda message: message[0]):
            if isinstance(message, tuple):
                self._deliver_order(host, message, now)
            elif now < host.paused_until:
                self._in_flight.append((host.paused_until, host, message))
            elif isinstance(message, records.LoadReport):
                host.receive_report(message)
            elif host.order_engine is not None:
                host.order_engine.answered(message)

    def _deliver_order(self, host, order_copy, now):
        engine, incarnation, order, expires_at = order_copy
        # An engine drops expired orders; its clock may be late by half of the margin.
        if now < engine.up_at or now > expires_at + self.settings.clock_margin_s / 2:
            return
        if incarnation != engine.incarnation and not self.copies_survive_restart:
            return
        load_s = self.rng.uniform(0.2, 2.0)
        if self.is_faulty and self.rng.random() < 0.05:
            load_s = self.rng.uniform(2.0, 9.0)
        stage = engine.receive(order, load_s, now)
        if self.is_faulty and self.rng.random() < 0.2:
            return
        answer = orderrecords.OrderAnswer(order.order_id, engine.incarnation, stage)
        self._in_flight.append((now + self._delay_s(4.0), host, answer))

    def _check_send(self, host, send, now):
        order = send.order
        group = host.centre.group
        if group.leader is not host or now >= group.lease_until:
            self._add_violation(now, f"{order.order_id} was sent outside the lease")
        recorded = group.state.recorded_by_id.get(order.order_id)
        if recorded is None:
            self._add_violation(
                now, f"{order.order_id} was sent without a committed intent"
            )
        if order.fence != group.state.fence:
            self._add_violation(
                now, f"{order.order_id} was sent with the stale fence {order.fence}"
            )
        if order.action == placementstate.LOAD and order.item.kind == "model":
            self._check_rate(now)

    def _check_rate(self, now):
        """Check the rate of model loads sent against that of the weight store.

        A burst above the rate may hold one load per data centre, as its share saves one
        token, and the loads that hosts queued for up to one lease.
        """
        max_burst_loads = len(self.centres) + self.limits.rate * schedulefakes.LEASE_S
        drained_loads = (now - self._burst_updated_at) * self.limits.rate
        self._burst_loads = max(0.0, self._burst_loads - drained_loads) + 1.0
        self._burst_updated_at = now
        if self._burst_loads > max_burst_loads:
            self._add_violation(
                now, "load orders exceeded the rate of the weight store"
            )

    def _check(self, now):
        engines = [engine for centre in self.centres for engine in centre.engines]
        for engine in engines:
            if engine.peak_mb > engine.memory_mb:
                detail = f"{engine.peak_mb} of {engine.memory_mb} MB"
                self._add_violation(now, f"{engine.backend_id} used {detail}")
        if self.copies_survive_restart:  # a restarted engine executes late copies
            return
        for kind, limit in (
            ("model", self.limits.slots),
            ("adapter", self.limits.adapters),
        ):
            running_count = sum(engine.running_transfers(kind) for engine in engines)
            if running_count > limit:
                self._add_violation(
                    now, f"{running_count} concurrent {kind} transfers, limit {limit}"
                )

    def _add_violation(self, now, text):
        self.violations.append(f"at {now:.2f} s: {text}")


def _action(action, backend_id, item):
    return orderrecords.Action(action, backend_id, item, SIZES_BY_KIND[item.kind])
