"""Simulated hosts that exchange facts over a faulty network, for random schedules.

The hosts use the exchange of facts of the product. A schedule adds what else they do.
"""

import heapq
import itertools
import random

from kumquatproxy.fleet import factexchange, servers

TICK_S = 0.05
# Time that a host must not have been disturbed for, before the rules hold for it.
WINDOW_S = 3.0


def make_server(number, born_ms=1):
    """Return the announcement of a server."""
    return servers.Announcement(
        f"i-{number}", "s", f"10.0.0.{number}:80", "a", born_ms, 1, 4
    )


class Host:
    """A control host or an entry host, with the state that a restart loses."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.cut_until = self.down_until = self.frozen_until = 0.0
        self.disturbed_until = 0.0
        self.forget()

    def forget(self):
        """Begin a lifetime without any state."""
        self.lifetime = next(self.world.numbers)
        self.controls = factexchange.ControlFacts()
        self.facts = factexchange.EntryFacts(self.broadcast)

    def broadcast(self, host_ids, message):
        for control in self.world.controls:
            if control.name in host_ids:
                self.world.send(self, control, control.controls.receive, message)

    def receive_facts(self, sender, message, now):
        """Merge facts and return those that are new."""
        return self.facts.receive(sender, message, now)

    @property
    def is_up(self):
        return self.world.now >= self.down_until

    @property
    def is_awake(self):
        return self.is_up and self.world.now >= self.frozen_until

    @property
    def is_disturbed(self):
        return self.world.now < self.disturbed_until


class World:
    """Run one schedule: events in order of time, messages, disturbed hosts."""

    host_class = Host
    duration_s = 30.0
    faults_from_s = 4.0
    max_delay_s = 0.03

    def __init__(self, seed, entry_counts):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self._events = []
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.controls = [self.host_class(f"c{number}", self) for number in range(3)]
        self.entries = [
            self.host_class(f"e{number}", self)
            for number in range(self.rng.choice(entry_counts))
        ]

    def at(self, delay_s, action, *arguments):
        """Call an action later."""
        entry = (self.now + delay_s, next(self.numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def every(self, interval_s, action):
        """Call an action now and at intervals."""
        action()
        self.at(interval_s, self.every, interval_s, action)

    def send(self, sender, receiver, action, message):
        """Deliver a message later, unless it is lost or a host is cut off or down."""
        if self.now < max(sender.cut_until, receiver.cut_until):
            return
        if self.rng.random() < self.loss:
            return
        delay_s = self.rng.uniform(0.001, self.max_delay_s)
        delay_s += max(0.0, receiver.frozen_until - self.now)
        self.at(delay_s, self._deliver, receiver, receiver.lifetime, action, message)

    def _deliver(self, receiver, lifetime, action, message):
        if receiver.lifetime == lifetime and self.now >= receiver.cut_until:
            action(message, self.now)

    def run(self):
        """Run the schedule to its end."""
        self.every(TICK_S, self.tick)
        self.at(self.faults_from_s, self.inject_fault)
        while self._events and self.now < self.duration_s:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def tick(self):
        """Let the hosts that are awake exchange facts."""
        names = [entry.name for entry in self.entries if entry.is_up]
        for control in self.controls:
            if not control.is_awake:
                continue
            subscribers = [(name, True) for name in names]
            sends = control.controls.tick(subscribers, self.now)
            if self.rng.random() < TICK_S:  # subscriptions are repeated each second
                for name in names:
                    sends += control.controls.greet(name, self.now)
            for send in sends:
                self._push(control, send)
        for entry in self.entries:
            if entry.is_awake:
                entry.facts.tick(self.now)

    def _push(self, control, send):
        entry = next(entry for entry in self.entries if entry.name == send.to)
        self.send(
            control,
            entry,
            lambda message, now: entry.receive_facts(control.name, message, now),
            send.message,
        )

    def inject_fault(self):
        """Disturb a host, and go on doing so."""
        raise NotImplementedError

    def disturb(self, host, kind, seconds):
        """Cut off, freeze or restart a host; return when that ends."""
        if kind == "cut":
            host.cut_until = self.now + seconds
        elif kind == "freeze":
            host.frozen_until = self.now + seconds
        else:
            host.forget()
            host.down_until = self.now + min(1.5, seconds)
        ends_at = max(host.cut_until, host.frozen_until, host.down_until)
        host.disturbed_until = max(host.disturbed_until, ends_at + WINDOW_S)
        return ends_at
