"""Random schedules of servers with a limit: restarts, cuts, freezes, new leaders.

Guards against more requests than such a server takes from all hosts together. Hosts use
the limits, turns and facts of the product; network, servers and callers are simulated.
"""

import collections
import heapq
import itertools
import random

import pytest

from kumquatproxy.fleet import factexchange, fleetmessages, servers, turns
from kumquatproxy.gateway import calls, serverlimits

SEEDS = 200
DURATION_S = 30.0
WINDOW_S = 3.0  # after the limit was first named, and after a disturbance of a host
SPAN_S = 4.0
TOLD_S = 0.5
TICK_S = 0.05
ELECTION_S = 1.0  # without a leader, longer than a lease


class Member:
    """What turns need of a member of the control group."""

    def __init__(self):
        self.term = 1
        self.leader_state = None

    def has_lease(self, now):
        return self.leader_state is not None


class Host:
    """A control host or an entry host, with the state that a restart loses."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.cut_until = self.down_until = self.frozen_until = 0.0
        self.disturbed_until = 0.0
        self.member = Member()
        self.forget()

    def forget(self):
        self.lifetime = next(self.world.numbers)
        self.controls = factexchange.ControlFacts()
        self.giver = turns.TurnGiver(self.controls.table)
        self.member.leader_state = None
        self.facts = factexchange.EntryFacts(self.broadcast)
        self.limits = serverlimits.ServerLimits(self.facts.table, self.facts.publish)
        self.told_at_by_server = {}

    def broadcast(self, host_ids, message):
        for control in self.world.controls:
            if control.name in host_ids:
                self.world.send(self, control, control.controls.receive, message)

    @property
    def is_awake(self):
        return self.world.now >= max(self.down_until, self.frozen_until)

    @property
    def is_disturbed(self):
        return self.world.now < self.disturbed_until


class Server:
    """A server that names a limit from a time on, which may change or end."""

    def __init__(self, number, rng):
        self.announcement = servers.Announcement(
            f"i-{number}", "s", f"10.0.0.{number}:80", "a", 1, 1, 4
        )
        self.rate = rng.choice((0.5, 1.0, 1.6, 4.0))
        self.begins_at = rng.uniform(2.0, 6.0)
        self.arrivals = []  # (time, whether it counts)


class World:
    """Run one schedule."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self._events = []
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.calls_per_s = self.rng.choice((5, 30, 60))
        self.controls = [Host(f"c{number}", self) for number in range(3)]
        self.entries = [
            Host(f"e{number}", self) for number in range(self.rng.choice((3, 6, 20)))
        ]
        self.servers = [Server(number, self.rng) for number in range(2)]
        self.leader = None
        self.term = 0
        self.given = 0

    def at(self, delay_s, action, *arguments):
        entry = (self.now + delay_s, next(self.numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def send(self, sender, receiver, action, message):
        """Deliver a message later, unless it is lost or a host is cut off or down."""
        if self.now < max(sender.cut_until, receiver.cut_until):
            return
        if self.rng.random() < self.loss:
            return
        delay_s = self.rng.uniform(0.001, 0.03)
        delay_s += max(0.0, receiver.frozen_until - self.now)
        self.at(delay_s, self.deliver, receiver, receiver.lifetime, action, message)

    def deliver(self, receiver, lifetime, action, message):
        if receiver.lifetime == lifetime and self.now >= receiver.cut_until:
            action(message, self.now)

    def run(self):
        self.elect()
        self.every(TICK_S, self.tick)
        self.at(4.0, self.inject_fault)
        while self._events and self.now < DURATION_S:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def every(self, interval_s, action):
        action()
        self.at(interval_s, self.every, interval_s, action)

    def elect(self):
        up = [control for control in self.controls if control.is_awake]
        self.leader = self.rng.choice(up) if up else None
        if self.leader is not None:
            self.term += 1
            self.leader.member.term = self.term
            self.leader.member.leader_state = self

    def tick(self):
        for control in self.controls:
            if control.is_awake:
                control.giver.track_term(control.member, self.now)
                names = [(entry.name, True) for entry in self.entries]
                for send in control.controls.tick(names, self.now):
                    self.push(control, send)
                if self.rng.random() < TICK_S:
                    for name, _ in names:
                        self.push(control, control.controls.greet(name, self.now))
        for entry in self.entries:
            if entry.is_awake:
                entry.facts.tick(self.now)
        for _ in range(round(self.calls_per_s * TICK_S + self.rng.random() - 0.5)):
            self.request()

    def push(self, control, send):
        entry = next(entry for entry in self.entries if entry.name == send.to)
        self.send(
            control,
            entry,
            lambda message, now: entry.facts.receive(control.name, message, now),
            send.message,
        )

    def inject_fault(self):
        kind = self.rng.choice(("restart", "cut", "freeze", "new leader"))
        seconds = self.rng.uniform(0.5, 4.0)
        host = self.rng.choice([*self.controls, *self.entries])
        if kind == "new leader" or host is self.leader:
            self.depose()
        if kind == "cut":
            host.cut_until = self.now + seconds
        elif kind == "freeze":
            host.frozen_until = self.now + seconds
        elif kind == "restart":
            host.forget()
            host.down_until = self.now + min(1.5, seconds)
        ends_at = max(host.cut_until, host.frozen_until, host.down_until)
        host.disturbed_until = max(host.disturbed_until, ends_at + WINDOW_S)
        self.at(self.rng.uniform(1.0, 6.0), self.inject_fault)

    def depose(self):
        if self.leader is not None:
            self.leader.member.leader_state = None
            self.leader = None
            self.at(ELECTION_S, self.elect)

    # Requests

    def request(self):
        entry = self.rng.choice(self.entries)
        server = self.rng.choice(self.servers)
        if not entry.is_awake:
            return
        announcement = server.announcement
        rate = entry.limits.rate(announcement, self.now)
        if rate is None:
            self.arrive(entry, entry.lifetime, server)
            return
        if entry.limits.turn_wait_s(announcement, self.now) > 2.0:
            return
        if self.leader is None:
            entry.limits.record_turn(announcement, None, self.now)
            return
        message = fleetmessages.TurnWanted(
            key=serverlimits.lifetime_key(announcement),
            max_wait_s=2.0,
            number=1,
            rate=rate,
        )
        leader = self.leader

        def answer(message, now):
            reply = leader.giver.answer(leader.member, message, now)
            self.send(leader, entry, receive, reply)

        def receive(reply, now):
            turn = None
            if reply.is_leader:
                turn = serverlimits.Turn(reply.is_given, reply.wait_s)
            entry.limits.record_turn(announcement, turn, now)
            if reply.is_given:
                self.given += 1
                self.at(reply.wait_s, self.arrive, entry, entry.lifetime, server)

        self.send(entry, leader, answer, message)

    def arrive(self, entry, lifetime, server):
        if entry.lifetime != lifetime or self.now < entry.down_until:
            return
        told_at = entry.told_at_by_server.get(server)
        is_told = told_at is not None and self.now - told_at >= TOLD_S
        server.arrivals.append((self.now, is_told and not entry.is_disturbed))
        head = calls.ResponseHead(200, [])
        head.is_sealed = True
        if self.now >= server.begins_at:
            head.names_limit, head.request_limit = True, server.rate
            entry.told_at_by_server.setdefault(server, self.now)
        delay_s = self.rng.uniform(0.02, 0.5) + max(0.0, entry.frozen_until - self.now)
        self.at(delay_s, self.receive_answer, entry, lifetime, server, head, self.now)

    def receive_answer(self, entry, lifetime, server, head, sent_at):
        if entry.lifetime == lifetime:
            entry.limits.record_answer(server.announcement, head, sent_at, self.now)

    def excesses(self):
        """Return (server, number of requests, allowed) of spans over the limit."""
        found = []
        for server in self.servers:
            allowed = 1.5 * SPAN_S * server.rate + 5.0
            recent = collections.deque()
            for at, counts in server.arrivals:
                if not counts:
                    continue
                recent.append(at)
                while recent[0] <= at - SPAN_S:
                    recent.popleft()
                is_settled = at - SPAN_S >= server.begins_at + WINDOW_S
                if is_settled and len(recent) > allowed:
                    found.append(
                        (server.announcement.instance_id, len(recent), allowed)
                    )
        return found


def test_limit_holds_for_all_hosts_together_in_random_schedules():
    worlds = {seed: World(seed).run() for seed in range(SEEDS)}
    assert {
        seed: world.excesses() for seed, world in worlds.items() if world.excesses()
    } == {}
    # The limits are used, in spite of the faults.
    assert sum(world.given for world in worlds.values()) > 10 * SEEDS


def take_own_turns(self, member, key, rate, max_wait_s, now):
    """Let each request have a turn of its own, as if hosts did not share the limit."""
    return serverlimits.Turn(True, 0.0)


def forget_turns(self, member, now):
    """Begin anew at each request, as a new leader that ignores the one before."""
    self._book = serverlimits.TurnBook(0.0)


@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [
        (turns.TurnGiver, "take", take_own_turns),
        (turns.TurnGiver, "track_term", forget_turns),
        (serverlimits.ServerLimits, "rate", lambda *_: None),
    ],
)
def test_schedules_break_without_a_part_of_the_check(
    owner, name, replacement, monkeypatch
):
    """Guards against schedules that would pass without any check."""
    monkeypatch.setattr(owner, name, replacement)
    assert any(World(seed).run().excesses() for seed in range(SEEDS))
