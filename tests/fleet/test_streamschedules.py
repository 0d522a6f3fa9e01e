"""Random schedules of resumed streams, with restarts, cuts and lost messages.

Guards against streams with events of two software versions. The hosts of the schedule
use the tables and decisions of the product; the network, the servers and the callers
are simulated.
"""

import heapq
import itertools
import random

import pytest

from kumquatproxy.fleet import originexchange, streamrecords
from kumquatproxy.gateway import streamorigins

SEEDS = 200
DURATION_S = 40.0
STREAMS = 60
MAX_RESUMPTIONS = 3
TIMEOUT_S = 4.0  # of the route
CONTACT_TIMEOUT_S = 1.6
SERVICE = "s"


class Host:
    """A control host or an entry host, with the state that a restart loses."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.cut_until = 0.0
        self.down_until = 0.0
        self.lifetime = 0
        self.forget()

    def forget(self):
        self.lifetime += 1
        self.table = streamorigins.OriginTable(1000)
        self.sender = originexchange.OriginSender(self.table)
        self.relay = originexchange.OriginRelay(self.table)
        self.heard_at_by_entry = {}
        self.history = streamorigins.VersionHistory()
        self.heard_at_by_name = {}
        self.versions_by_server = {}
        self.lookups_by_id = {}

    @property
    def is_up(self):
        return self.world.now >= self.down_until

    def live_controls(self):
        return {
            name
            for name, heard_at in self.heard_at_by_name.items()
            if self.world.now - heard_at < CONTACT_TIMEOUT_S
        }

    def learn(self, versions_by_server):
        self.versions_by_server = dict(versions_by_server)
        self.record_versions()

    def record_versions(self):
        for version in set(self.versions_by_server.values()):
            self.history.record(SERVICE, version, self.world.now)

    def tick(self):
        self.record_versions()
        heard = self.live_controls() | {self.name}
        controls = {control.name for control in self.world.controls}
        if 2 * len(heard & controls) > len(controls):
            self.history.record_contact(self.world.now)


class World:
    """Run one schedule."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.controls = [
            Host(f"c{number}", self) for number in range(self.rng.choice((3, 5)))
        ]
        self.entries = [Host(f"e{number}", self) for number in range(4)]
        self.servers = {"i0": "v1", "i1": "v1"}
        self.streams = []  # the versions of the events of each
        self.resumptions = 0
        self.continued = 0

    def at(self, delay_s, action, *arguments):
        entry = (self.now + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def send(self, sender, receiver, action, *arguments):
        """Deliver a message later, unless it is lost or a host is cut off or down."""
        if self.now < max(sender.cut_until, receiver.cut_until):
            return
        if self.rng.random() < self.loss:
            return
        self.at(
            self.rng.uniform(0.001, 0.06), self.deliver, receiver, action, arguments
        )

    def deliver(self, receiver, action, arguments):
        if receiver.is_up and self.now >= receiver.cut_until:
            action(*arguments)

    def run(self):
        self.every(0.5, self.tick)
        self.every(0.1, self.publish)
        self.at(1.0, self.inject_fault)
        self.at(0.5, self.change_servers)
        for _ in range(STREAMS):
            self.at(self.rng.uniform(16.0, DURATION_S), self.begin)
        while self._events and self.now < DURATION_S + 20.0:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def every(self, interval_s, action):
        action()
        if self.now < DURATION_S + 15.0:
            self.at(interval_s, self.every, interval_s, action)

    def tick(self):
        for host in [*self.controls, *self.entries]:
            if host.is_up:
                host.tick()
        for entry in self.entries:
            for control in self.controls:
                if entry.is_up:
                    arguments = (control, entry.name, str(entry.lifetime))
                    self.send(entry, control, self.receive_subscription, *arguments)
        for host in [*self.controls, *self.entries]:
            if host.is_up:
                self.send_origins(host)

    def receive_subscription(self, control, name, session):
        control.relay.record_entry(name, session)
        control.heard_at_by_entry[name] = self.now

    def send_origins(self, host):
        """Send origins again to control hosts that have restarted."""
        controls_by_name = {control.name: control for control in self.controls}
        if host in self.controls:
            live_entries = {
                name
                for name, heard_at in host.heard_at_by_entry.items()
                if self.now - heard_at < originexchange.SILENCE_S
            }
            sends = host.relay.tick(live_entries, self.now)
        else:
            sends = host.sender.tick(host.live_controls(), self.now)
        for send in sends:
            control = controls_by_name[send.to]
            arguments = (control, host, send.message)
            self.send(host, control, self.receive_origins, *arguments)

    def receive_origins(self, control, host, message):
        owner = control.relay.owner(host.name)
        for stream_id, origin, left_s in originexchange.from_message(message):
            control.table.restore(stream_id, origin, left_s, self.now, owner)

    def publish(self):
        """Servers send heartbeats to one control host; it tells all other hosts."""
        servers = dict(self.servers)
        for control in self.controls:
            if not control.is_up or self.now < control.cut_until:
                continue
            control.learn(servers)
            for host in [*self.controls, *self.entries]:
                if host is not control:
                    self.send(control, host, self.receive_push, control, host, servers)
                    arguments = (host, control.name, str(control.lifetime))
                    self.send(control, host, self.receive_request, *arguments)

    def receive_request(self, host, name, session):
        if host in self.controls:
            host.relay.request(name, session, self.now)
        else:
            host.sender.request(name, session)

    def receive_push(self, control, host, servers):
        host.heard_at_by_name[control.name] = self.now
        host.learn(servers)

    def change_servers(self):
        for name in list(self.servers):
            if len(self.servers) > 1 and self.rng.random() < 0.3:
                del self.servers[name]
        name = f"i{next(self._numbers)}"
        self.servers[name] = self.rng.choice(("v1", "v2"))
        if self.now < DURATION_S:
            self.at(self.rng.uniform(0.5, 6.0), self.change_servers)

    def inject_fault(self):
        host = self.rng.choice([*self.controls, *self.entries])
        kind = self.rng.choice(("restart", "restart", "cut", "all controls"))
        if kind == "cut":
            host.cut_until = self.now + self.rng.uniform(0.5, 6.0)
        for victim in self.controls if kind == "all controls" else [host]:
            if kind != "cut":
                self.restart(victim)
        if self.now < DURATION_S:
            self.at(self.rng.uniform(0.3, 4.0), self.inject_fault)

    def restart(self, host):
        host.forget()
        host.down_until = self.now + self.rng.uniform(0.2, 1.5)

    # Streams

    def usable(self, entry, version=None):
        return [
            name
            for name, known in entry.versions_by_server.items()
            if name in self.servers and version in (None, known)
        ]

    def begin(self):
        entries = [entry for entry in self.entries if entry.is_up]
        if not entries:
            return
        entry = self.rng.choice(entries)
        names = self.usable(entry)
        if not names:
            return
        version = self.servers[self.rng.choice(names)]
        stream_id = f"r{len(self.streams)}"
        versions = [version]
        self.streams.append(versions)
        self.record(entry, stream_id, version)
        self.interrupt(entry, stream_id, versions, MAX_RESUMPTIONS)

    def record(self, entry, stream_id, version):
        """Send the origin as an entry host does, before the first event."""
        kept_s = streamorigins.kept_s(TIMEOUT_S)
        origin = streamorigins.Origin(SERVICE, version)
        entry.table.record(stream_id, origin, kept_s, self.now)
        live = sorted(entry.live_controls() or {host.name for host in self.controls})
        self.rng.shuffle(live)
        for control in self.controls:
            if control.name in live[: streamrecords.RECORD_HOST_COUNT]:
                arguments = (control, entry, stream_id, origin, kept_s)
                self.send(entry, control, self.receive_record, *arguments)

    def receive_record(self, control, entry, stream_id, origin, kept_s):
        owner = control.relay.owner(entry.name)
        control.table.record(stream_id, origin, kept_s, self.now, owner)

    def interrupt(self, entry, stream_id, versions, left):
        if left == 0:
            return
        if self.rng.random() < 0.3:
            self.restart(entry)
        self.at(
            self.rng.uniform(0.02, TIMEOUT_S), self.resume, stream_id, versions, left
        )

    def resume(self, stream_id, versions, left):
        entries = [entry for entry in self.entries if entry.is_up]
        if not entries:
            return
        entry = self.pick_to_resume(entries)
        origin = entry.table.find(stream_id, self.now)
        lookup = streamorigins.Lookup(entry.live_controls())
        if origin is None:
            entry.lookups_by_id[stream_id] = lookup
            for control in self.controls:
                arguments = (control, entry, stream_id)
                self.send(entry, control, self.receive_query, *arguments)
        arguments = (entry, entry.lifetime, stream_id, origin, lookup, versions, left)
        self.at(streamrecords.LOOKUP_TIMEOUT_S, self.decide, *arguments)

    def pick_to_resume(self, entries):
        return self.rng.choice(entries)

    def receive_query(self, control, entry, stream_id):
        control.record_versions()
        window_s = streamorigins.kept_s(TIMEOUT_S)
        report = control.history.report([SERVICE], window_s, self.now)
        origin = control.table.find(stream_id, self.now)
        arguments = (control, entry, stream_id, origin, report)
        self.send(control, entry, self.receive_answer, *arguments)

    def receive_answer(self, control, entry, stream_id, origin, report):
        entry.heard_at_by_name[control.name] = self.now
        lookup = entry.lookups_by_id.get(stream_id)
        if lookup is not None:
            lookup.add_answer(control.name, origin, report)

    def decide(self, entry, lifetime, stream_id, origin, lookup, versions, left):
        if entry.lifetime != lifetime:
            return
        window_s = streamorigins.kept_s(TIMEOUT_S)
        reports = [entry.history.report([SERVICE], window_s, self.now), *lookup.reports]
        required = streamorigins.required_origin(
            origin or lookup.origin,
            SERVICE,
            [SERVICE],
            reports,
            lookup.answered_ids >= {control.name for control in self.controls},
        )
        is_served = versions[0] in self.servers.values()
        self.resumptions += is_served
        names = []
        if required is not None:
            names = self.usable(entry, required.software_version)
        if not names:
            return
        self.continued += is_served
        version = self.servers[self.rng.choice(names)]
        versions.append(version)
        self.record(entry, stream_id, version)
        self.interrupt(entry, stream_id, versions, left - 1)

    @property
    def mixed(self):
        """Return the number of streams with events of two versions."""
        return sum(len(set(versions)) > 1 for versions in self.streams)


class ReleaseWorld(World):
    """Cut off one host while servers of a new version join, and nothing else.

    Streams begin on them through other hosts, break off, and are taken up there.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.out_of_step = []
        self.loss = 0.0

    def change_servers(self):
        """Let servers stay."""

    def inject_fault(self):
        # Hosts have seen one version only for as long as a stream can last.
        self.at(self.rng.uniform(15.0, 25.0), self.release)

    def release(self):
        self.out_of_step = [self.rng.choice(self.entries)]
        self.out_of_step[0].cut_until = self.now + self.rng.uniform(1.0, 6.0)
        self.at(self.rng.uniform(0.05, 0.5), self.join)

    def join(self):
        number = next(self._numbers)
        self.servers[f"i{number}"] = f"v{number}"
        for _ in range(10):
            self.at(self.rng.uniform(0.1, 1.5), self.begin)

    def interrupt(self, entry, stream_id, versions, left):
        if left:
            delay_s = self.rng.uniform(0.02, 0.8)
            self.at(delay_s, self.resume, stream_id, versions, left)

    def pick_to_resume(self, entries):
        cut = [entry for entry in entries if entry in self.out_of_step]
        return self.rng.choice(cut or entries)


def test_no_stream_is_joined_at_a_host_that_is_out_of_step_during_a_release():
    """Guards against a host that is cut off and trusts what it knew before."""
    worlds = [ReleaseWorld(seed).run() for seed in range(SEEDS)]
    assert [seed for seed, world in enumerate(worlds) if world.mixed] == []
    assert sum(world.resumptions for world in worlds) > 10 * SEEDS
    assert sum(world.continued for world in worlds) > SEEDS


def test_no_stream_has_events_of_two_versions_in_random_schedules():
    """Resumptions of versions that serve go on mostly, in spite of the faults."""
    worlds = [World(seed).run() for seed in range(SEEDS)]
    assert [seed for seed, world in enumerate(worlds) if world.mixed] == []
    resumptions = sum(world.resumptions for world in worlds)
    continued = sum(world.continued for world in worlds)
    assert resumptions > 10 * SEEDS and continued > 0.5 * resumptions


def go_on_anywhere(origin, service, services, reports, has_all_answers):
    return streamorigins.Origin(SERVICE, None)


def go_on_anywhere_if_unknown(origin, service, services, reports, has_all_answers):
    return origin or streamorigins.Origin(SERVICE, None)


def trust_own_history(origin, service, services, reports, has_all_answers):
    own = streamorigins.VersionReport(True, reports[0].versions)
    return decide(origin, service, services, [own], True)


def trust_any_answer(origin, service, services, reports, has_all_answers):
    return decide(origin, service, services, reports, True)


decide = streamorigins.required_origin


@pytest.mark.parametrize(
    "replacement", [go_on_anywhere, go_on_anywhere_if_unknown, trust_own_history]
)
def test_schedules_break_without_a_part_of_the_check(replacement, monkeypatch):
    """Guards against schedules that would pass without any check."""
    monkeypatch.setattr(streamorigins, "required_origin", replacement)
    assert any(World(seed).run().mixed for seed in range(SEEDS))


def test_releases_break_without_the_answers_of_all_voters(monkeypatch):
    """Guards against schedules of releases that would pass without the check."""
    monkeypatch.setattr(streamorigins, "required_origin", trust_any_answer)
    assert any(ReleaseWorld(seed).run().mixed for seed in range(SEEDS))
