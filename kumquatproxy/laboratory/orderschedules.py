"""Seeded schedules of faults around the order engine, with checks after each step."""

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
FAULT_STEPS = 400
# After the faults every wanted item must be loaded within this many steps.
SETTLE_STEPS = 480
# The times are shorter than the defaults, so that a schedule holds many lifetimes.
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
    """Hold one data centre of a schedule."""

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
        self.gone: set[str] = set()  # servers that membership has lost
        self.sizes: dict[records.Item, int] = {}  # the owner learns others itself
        self.targets: dict[str, list[records.Item]] = {}
        self._rng = rng
        self.choose_targets()

    def choose_targets(self):
        """Choose what each engine should hold; it always fits."""
        for engine in self.engines:
            models = self._rng.sample(MODELS, self._rng.randint(0, 2))
            adapters = self._rng.sample(ADAPTERS, self._rng.randint(0, 2))
            self.targets[engine.backend_id] = models + adapters

    def desired(self, engine):
        """Return the actions from what the owner knows to the targets."""
        actions = []
        for backend_id, view in engine.tracker.ledger.views_by_id.items():
            loaded = view.report.loaded if view.report is not None else ()
            for item in loaded:
                if item not in self.targets[backend_id]:
                    actions.append(_action(placementstate.UNLOAD, backend_id, item))
            for item in self.targets[backend_id]:
                actions.append(_action(placementstate.LOAD, backend_id, item))
        return actions

    def is_settled(self):
        """Return whether every engine holds exactly its targets."""
        return all(
            set(engine.loaded) == set(self.targets[engine.backend_id])
            for engine in self.engines
        )


class World:
    """Run one schedule; ``violations`` lists what the checks found."""

    def __init__(self, seed, engine_class=orders.OrderEngine):
        self.rng = random.Random(seed)
        self.engine_class = engine_class
        self.settings = SETTINGS
        self.resends_unlisted = seed % 4 == 3
        self.configuration = configstate.ConfigState()
        # Copies either end with the connection to one incarnation of an engine, or
        # wait outside and also reach a later one.
        self.copies_survive_restart = self.rng.random() < 0.3
        self.violations: list[str] = []
        self.sent = 0
        self.is_faulty = True
        self.transfer_chance = 0.01  # of the leadership, at each step
        self._in_flight: list[tuple] = []
        self._rate_level = 0.0
        self._rate_at = 0.0
        names = ["dc-a", "dc-b", "dc-c"][: self.rng.randint(1, 3)]
        # Hardly more than one of each for a data centre, so that the share is scarce.
        self.limits = storeshare.Share(
            adapters=len(names) + self.rng.randint(0, 2),
            rate=self.rng.choice(STORE_RATES),
            slots=len(names) + self.rng.randint(0, 1),
        )
        self.configuration.limits = self.limits
        self.centres = [Centre(name, self) for name in names]
        for name in names[: self.rng.randint(1, len(names))]:
            self.configuration.apply(configstate.SetVoters(0, name, []))

    def run(self) -> list[str]:
        """Run the faulty part and the settling part; return the violations."""
        now = 0.0
        for _ in range(FAULT_STEPS):
            now += STEP_S
            self._inject(now)
            self._step(now)
            if self.violations:
                return self.violations
        self._heal(now)
        for _ in range(SETTLE_STEPS):
            now += STEP_S
            self._step(now)
            settled = all(centre.is_settled() for centre in self.centres)
            if self.violations or settled:
                return self.violations
        self.violations.append("targets are not reached after the faults")
        return self.violations

    def transmit(self, host, send, now):
        """Send copies of an order; some are lost, late or duplicated."""
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
            call = (engine, engine.incarnation, send.order, expires_at)
            self._in_flight.append((arrives_at, host, call))

    def _delay_s(self, longest_s):
        if self.is_faulty and self.rng.random() < 0.25:
            return self.rng.uniform(0.0, longest_s)
        return self.rng.uniform(0.0, 0.5)

    def _inject(self, now):
        rng = self.rng
        for centre in self.centres:
            if rng.random() < 0.04:
                centre.choose_targets()
            for host in centre.hosts:
                if rng.random() < 0.01:
                    host.paused_until = now + rng.choice((1.0, 3.0, 12.0))
                if rng.random() < 0.01:
                    host.cut_until = now + rng.choice((1.0, 3.0, 12.0))
            for engine in centre.engines:
                if rng.random() < 0.004:
                    engine.restart(now, rng.uniform(0.0, 4.0))
        if rng.random() < 0.01:
            centre = rng.choice(self.centres)
            self.configuration.apply(configstate.SetVoters(0, centre.name, []))

    def _heal(self, now):
        self.is_faulty = False
        for centre in self.centres:
            self.configuration.apply(configstate.SetVoters(0, centre.name, []))
            for host in centre.hosts:
                host.paused_until = min(host.paused_until, now)
                host.cut_until = min(host.cut_until, now)

    def _step(self, now):
        for centre in self.centres:
            self._step_group(centre, now)
            for engine in centre.engines:
                engine.step(now)
                self._send_report(centre, engine, now)
        self._deliver(now)
        for centre in self.centres:
            for host in centre.hosts:
                self._offer_share(host, now)
                host.step(now)
        self._check(now)

    def _step_group(self, centre, now):
        group = centre.group
        leader = group.leader
        is_led = leader is not None and leader.is_reachable(now)
        if is_led:
            group.step(now)
        if is_led and not (self.is_faulty and self.rng.random() < self.transfer_chance):
            return
        if is_led:  # a planned transfer gives up the lease first
            leader.lease_until = 0.0
            group.lease_until = now
        candidates = [host for host in centre.hosts if host.is_reachable(now)]
        if candidates and now >= group.lease_until:
            group.elect(self.rng.choice(candidates), now)

    def _offer_share(self, host, now):
        share = self.configuration.shares_by_data_centre.get(host.centre.name)
        if host.engine is None or share is None or not host.is_reachable(now):
            return
        if not self.is_faulty or self.rng.random() < 0.1:
            host.engine.offer_share(self.configuration.share_version, share)

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
            elif host.engine is not None:
                host.engine.answered(message)

    def _deliver_order(self, host, call, now):
        engine, incarnation, order, expires_at = call
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
            self._violate(now, f"{order.order_id} was sent outside the lease")
        recorded = group.state.recorded_by_id.get(order.order_id)
        if recorded is None:
            self._violate(now, f"{order.order_id} was sent without an intent")
        if order.fence != group.state.fence:
            self._violate(now, f"{order.order_id} has the old fence {order.fence}")
        if order.action == placementstate.LOAD and order.item.kind == "model":
            self._check_rate(now)

    def _check_rate(self, now):
        """Hold all loads sent against the store's rate.

        Each data centre may hold one load in its bucket, and orders may wait in the
        queue of their host for up to a lease.
        """
        burst = len(self.centres) + self.limits.rate * schedulefakes.LEASE_S
        drained = (now - self._rate_at) * self.limits.rate
        self._rate_level = max(0.0, self._rate_level - drained) + 1.0
        self._rate_at = now
        if self._rate_level > burst:
            self._violate(now, "the rate of the weight store was exceeded")

    def _check(self, now):
        engines = [engine for centre in self.centres for engine in centre.engines]
        for engine in engines:
            if engine.peak_mb > engine.memory_mb:
                detail = f"{engine.peak_mb} of {engine.memory_mb} MB"
                self._violate(now, f"{engine.backend_id} used {detail}")
        if self.copies_survive_restart:
            return
        for kind, limit in (
            ("model", self.limits.slots),
            ("adapter", self.limits.adapters),
        ):
            running = sum(engine.transfers(kind) for engine in engines)
            if running > limit:
                self._violate(now, f"{running} {kind} transfers, limit {limit}")

    def _violate(self, now, text):
        self.violations.append(f"at {now:.2f} s: {text}")


def _action(action, backend_id, item):
    return orderrecords.Action(action, backend_id, item, SIZES_BY_KIND[item.kind])
