"""Random schedules of servers with a limit: restarts, cuts, freezes, new leaders.

Guards against more requests than such a server takes from all hosts together. Hosts use
the limits, turns and facts of the product; network, servers and callers are simulated.
"""

import collections

import pytest
import simulatedhosts

from kumquatproxy.fleet import fleetmessages, servers, turns
from kumquatproxy.gateway import calls, serverlimits

SEEDS = 200
SPAN_S = 4.0
TOLD_S = 0.5
ELECTION_S = 1.0  # without a leader, longer than a lease


class Member:
    """What turns need of a member of the control group."""

    def __init__(self):
        self.term = 1
        self.leader_state = None

    def has_lease(self, now):
        return self.leader_state is not None


class Host(simulatedhosts.Host):
    """A host that gives or takes turns."""

    def forget(self):
        super().forget()
        self.member = Member()
        self.giver = turns.TurnGiver(self.controls.table)
        self.limits = serverlimits.ServerLimits(self.facts.table, self.facts.publish)
        self.told_at_by_server = {}


class Server:
    """A server that names a limit from a time on, which may change or end."""

    def __init__(self, number, rng):
        self.announcement = servers.Announcement(
            f"i-{number}", "s", f"10.0.0.{number}:80", "a", 1, 1, 4
        )
        self.rate = rng.choice((0.5, 1.0, 1.6, 4.0))
        self.begins_at = rng.uniform(2.0, 6.0)
        self.arrivals = []  # (time, whether it counts)


class World(simulatedhosts.World):
    """Run one schedule."""

    host_class = Host

    def __init__(self, seed):
        super().__init__(seed, entry_counts=(3, 6, 20))
        self.calls_per_s = self.rng.choice((5, 30, 60))
        self.servers = [Server(number, self.rng) for number in range(2)]
        self.leader = None
        self.term = 0
        self.given = 0
        self.elect()

    def elect(self):
        up = [control for control in self.controls if control.is_awake]
        self.leader = self.rng.choice(up) if up else None
        if self.leader is not None:
            self.term += 1
            self.leader.member.term = self.term
            self.leader.member.leader_state = self

    def tick(self):
        super().tick()
        for control in self.controls:
            if control.is_awake:
                control.giver.track_term(control.member, self.now)
        for _ in range(
            round(self.calls_per_s * simulatedhosts.TICK_S + self.rng.random() - 0.5)
        ):
            self.request()

    def inject_fault(self):
        kind = self.rng.choice(("restart", "cut", "freeze", "new leader"))
        seconds = self.rng.uniform(0.5, 4.0)
        host = self.rng.choice([*self.controls, *self.entries])
        if kind == "new leader" or host is self.leader:
            self.depose()
        if kind != "new leader":
            self.disturb(host, kind, seconds)
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
                is_settled = at - SPAN_S >= server.begins_at + simulatedhosts.WINDOW_S
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
