"""Random schedules of servers that ask for pauses: bursts, restarts, cuts, freezes.

Guards against requests in a pause, and against hosts that come back together at its
end. Hosts use the selection and the pauses of the product; network, servers and callers
are simulated.
"""

import collections
import random

import pytest
import simulatedhosts

from kumquatproxy.fleet import servers, serviceconfig
from kumquatproxy.gateway import (
    brittleservers,
    calls,
    requestedpauses,
    serverlimits,
    serverselection,
)

SEEDS = 200
SETTLE_S = 0.5
ALLOWED = 2
RETURN_S = 0.05  # in which hosts that come back are counted
SERVICE = serviceconfig.Service("s")


class Host(simulatedhosts.Host):
    """An entry host that sends calls to servers."""

    def forget(self):
        super().forget()
        rng = random.Random(self.world.rng.random())
        table = servers.ServerTable()
        for server in getattr(self.world, "servers", ()):
            table.apply_announcement(server.announcement, self.world.now)
        self.pauses = requestedpauses.RequestedPauses(rng)
        publish = self.facts.table.merge
        self.selector = serverselection.ServerSelector(
            "a",
            table,
            rng,
            serverlimits.ServerLimits(self.facts.table, publish),
            brittleservers.BrittleServers("h", self.facts.table, publish),
            self.pauses,
        )

    def announce(self, announcement):
        self.selector.table.apply_announcement(announcement, self.world.now)


class Server:
    """A server that asks for pauses at times, for all hosts or each by itself."""

    def __init__(self, number, world):
        self.announcement = simulatedhosts.make_server(number)
        self.world = world
        self.arrivals = collections.defaultdict(list)  # times by host
        self.asked = []  # (host, its lifetime, time, seconds, lifetime of the server)
        self.begins_at = self.ends_at = 0.0
        self.share = 1.0

    def begin(self):
        rng = self.world.rng
        self.begins_at = self.world.now
        self.ends_at = self.world.now + rng.choice((0.8, 2.0, 5.0))
        # Some servers turn only a part of the requests away, or name shorter pauses.
        self.share = rng.choice((1.0, 1.0, 0.3))
        self.world.at(rng.uniform(2.0, 9.0), self.begin)

    def restart(self):
        known = self.announcement
        self.announcement = simulatedhosts.make_server(
            int(known.instance_id[2:]), known.born_ms + 1
        )
        self.ends_at = 0.0
        for entry in self.world.entries:
            entry.announce(self.announcement)

    def answer(self, host):
        """Return the head of the answer to a request of a host."""
        now = self.world.now
        lifetime = self.announcement.lifetime
        self.arrivals[host, host.lifetime, lifetime].append(now)
        head = calls.ResponseHead(200, [])
        if now < self.ends_at and self.world.rng.random() < self.share:
            head.status, head.is_not_executed, head.names_pause = 503, True, True
            left_s = self.ends_at - now
            head.pause_s = left_s * self.world.rng.choice((1.0, 1.0, 0.4))
            self.asked.append((host, host.lifetime, now, head.pause_s, lifetime))
        return head


class World(simulatedhosts.World):
    """Run one schedule."""

    host_class = Host
    duration_s = 20.0
    server_count = 3
    entry_counts = (3, 6, 20)

    def __init__(self, seed):
        super().__init__(seed, self.entry_counts)
        self.calls_per_s = self.rng.choice((30, 60, 120))
        self.servers = [Server(number, self) for number in range(self.server_count)]
        self.disturbances = []  # (host, begin, end)
        self.selected = 0
        self.every(0.5, self.send_heartbeats)
        self.start_pauses()

    def send_heartbeats(self):
        for server in self.servers:
            for entry in self.entries:
                entry.announce(server.announcement)

    def start_pauses(self):
        for server in self.servers:
            self.at(self.rng.uniform(2.0, 6.0), server.begin)

    def tick(self):
        super().tick()
        for _ in range(
            round(self.calls_per_s * simulatedhosts.TICK_S + self.rng.random() - 0.5)
        ):
            self.request(self.rng.choice(self.entries))

    def inject_fault(self):
        kind = self.rng.choice(("restart", "cut", "freeze", "server"))
        if kind == "server":
            self.rng.choice(self.servers).restart()
        else:
            host = self.rng.choice(self.entries)
            ends_at = self.disturb(host, kind, self.rng.uniform(0.5, 4.0))
            self.disturbances.append((host, self.now, ends_at))
        self.at(self.rng.uniform(0.5, 4.0), self.inject_fault)

    # Requests

    def request(self, entry):
        if not entry.is_awake:
            return
        call = calls.Call(b"GET", b"/", "a", [], b"", self.now)
        call.service = "s"
        candidates = entry.selector.candidates(call, SERVICE, (), self.now)
        announcement = entry.selector.choose(candidates)
        if announcement is None:
            return
        in_flight = entry.selector.start_call(call, announcement)
        connect_s = self.rng.choice((0.0, 0.002, 0.3, 1.5))  # or waits for a turn
        self.at(connect_s, self.send_to, entry, entry.lifetime, announcement, in_flight)

    def send_to(self, entry, lifetime, announcement, in_flight):
        if entry.lifetime != lifetime or self.now < entry.cut_until:
            return
        if not entry.is_awake:
            wait_s = entry.frozen_until - self.now + 0.001
            self.at(wait_s, self.send_to, entry, lifetime, announcement, in_flight)
            return
        if not entry.selector.may_send(announcement, self.now):
            entry.selector.end_call(announcement, in_flight)
            return
        self.selected += 1
        server = self.servers[int(announcement.instance_id[2:])]
        if server.announcement.lifetime == announcement.lifetime:
            arguments = (entry, lifetime, server, announcement, in_flight, self.now)
            self.at(self.rng.uniform(0.001, 0.02), self.arrive, *arguments)

    def arrive(self, entry, lifetime, server, announcement, in_flight, sent_at):
        if server.announcement.lifetime != announcement.lifetime:
            return
        head = server.answer(entry)
        arguments = (entry, lifetime, announcement, in_flight, head, sent_at)
        self.at(self.rng.uniform(0.001, 0.02), self.receive, *arguments)

    def receive(self, entry, lifetime, announcement, in_flight, head, sent_at):
        if entry.lifetime != lifetime or self.now < entry.cut_until:
            return
        if not entry.is_awake:
            arguments = (entry, lifetime, announcement, in_flight, head, sent_at)
            self.at(entry.frozen_until - self.now + 0.001, self.receive, *arguments)
            return
        entry.pauses.record_answer(announcement, head, sent_at, self.now)
        entry.selector.end_call(announcement, in_flight)

    # Checks

    def is_excused(self, host, begins_at, ends_at):
        return any(
            disturbed is host and since <= ends_at and begins_at <= until
            for disturbed, since, until in self.disturbances
        )

    def find_excesses(self):
        """Return the pauses in which a host sent more than a few requests."""
        excesses = []
        for server in self.servers:
            for host, lifetime, asked_at, seconds, server_lifetime in server.asked:
                ends_at = asked_at + seconds
                count = sum(
                    asked_at + SETTLE_S < at < ends_at
                    for at in server.arrivals[host, lifetime, server_lifetime]
                )
                if count > ALLOWED and not self.is_excused(host, asked_at, ends_at):
                    excesses.append((host.name, asked_at, seconds, count))
        return excesses


@pytest.mark.parametrize("seed", range(SEEDS))
def test_paused_servers_are_left_alone_in_random_schedules(seed):
    world = World(seed).run()
    assert world.selected > 50 and any(server.asked for server in world.servers)
    assert world.find_excesses() == []


class CommonEndWorld(World):
    """One server that asks many hosts for pauses with the same end, and no faults."""

    duration_s = 9.0
    faults_from_s = 1e9
    ends_at = 6.0
    server_count = 1
    entry_counts = (20,)

    def start_pauses(self):
        (server,) = self.servers
        server.begins_at, server.ends_at = 2.0, self.ends_at
        self.calls_per_s = 200


@pytest.mark.parametrize("seed", range(20))
def test_hosts_do_not_come_back_together(seed):
    """At first less than half of the hosts are back, each with less than two calls."""
    world = CommonEndWorld(seed).run()
    returns_by_host = {
        key: [at for at in times if at >= world.ends_at]
        for key, times in world.servers[0].arrivals.items()
    }
    first = min(min(times) for times in returns_by_host.values())
    counts = [
        sum(at < first + RETURN_S for at in times) for times in returns_by_host.values()
    ]
    assert first < world.ends_at + 0.5 and len(counts) == 20
    assert sum(count > 0 for count in counts) < 10 and sum(counts) < 20


def shorten(self, announcement, head, sent_at, now):
    """Let the newest pause hold, also if it ends sooner."""
    self._pauses_by_lifetime.pop(announcement.lifetime, None)
    record_answer(self, announcement, head, sent_at, now)


record_answer = requestedpauses.RequestedPauses.record_answer


@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [
        (requestedpauses.RequestedPauses, "left_s", lambda *_: 0.0),
        (requestedpauses.RequestedPauses, "record_answer", shorten),
    ],
)
def test_schedules_break_without_a_part_of_the_check(
    owner, name, replacement, monkeypatch
):
    """Guards against schedules that would pass without any check."""
    monkeypatch.setattr(owner, name, replacement)
    assert any(World(seed).run().find_excesses() for seed in range(SEEDS))
