"""Exchange of loads and placement by data centre, without a network."""

import pytest

from kumquatproxy import wire
from kumquatproxy.fleet import (
    fleetmessages,
    publishing,
    regionalpublisher,
    regionalsubscription,
    regionmessages,
    servers,
    serviceconfig,
)

SESSION = "0123456789abcdef"
STEP_S = 0.05
PLACEMENT = {"i-1": ["m/a"], "i-2": ["m/b"]}


class Control:
    """A control host: its exchange and what the owner of orders gets."""

    def __init__(self, world, name, data_centre):
        self.world, self.name = world, name
        self.is_up = self.is_current = True
        self.number = 0
        self.cut_from = set()
        self.reports = {}
        self.arrivals = 0
        self.publisher = publishing.Publisher(name, servers.ServerTable())
        self.region = regionalpublisher.RegionalPublisher(
            name,
            data_centre,
            world.next_run(),
            self.publisher,
            self.broadcast,
            self.report,
        )

    def broadcast(self, host_ids, message):
        for host_id in host_ids:
            self.world.deliver(self, host_id, message)

    def report(self, sender, message):
        self.reports[sender] = (self.world.now, message.loads_by_id)
        self.arrivals += sum(need[3] for need in message.needs)

    def receive(self, sender, message):
        now, region = self.world.now, self.region
        if isinstance(message, fleetmessages.Subscribe):
            is_new = self.publisher.is_new(sender, message)
            self.publisher.subscribe(sender, message, now)
            if is_new:
                region.greet(sender, message.session)
        elif isinstance(message, regionmessages.Renewal):
            subscription = region.read_renewal(sender, message, now)
            if subscription is not None:
                self.publisher.subscribe(sender, subscription, now)
        elif isinstance(message, regionmessages.HandOn):
            region.add_capable(sender, message)
        elif isinstance(message, regionmessages.HostReport):
            region.add_report(sender, message, now)
        elif isinstance(message, regionmessages.RegionReport):
            region.receive_report(sender, message, now)
        elif isinstance(message, regionmessages.TotalLoads):
            region.receive_totals(sender, self.world.leader, message, now)
        elif isinstance(message, regionmessages.PlacementChange):
            region.receive_placement(sender, message, now)
        elif isinstance(message, regionmessages.PlacementWanted):
            region.send_placement(sender, now)
        elif isinstance(message, fleetmessages.EntryReport):
            self.report(sender, message)

    def total(self):
        """Return the sum as the owner of orders counts it."""
        live = [
            loads for at, loads in self.reports.values() if self.world.now - at < 2.0
        ]
        return sum(loads.get("i-1", (0, 0))[0] for loads in live)

    def tick(self):
        now, leader = self.world.now, self.world.leader
        hosts = [[control.name, "10.0.0.1:1"] for control in self.world.controls]
        sends = self.publisher.tick(hosts, [], leader, now)
        for send in self.region.condense(sends, self.is_current, now):
            self.world.deliver(self, send.to, send.message)
        self.region.tick(leader, now)
        if self.name == leader and self.world.step % 5 == 0:
            loads = fleetmessages.LoadPush({"i-1": [self.total(), 0]})
            for message in (loads, self.placement()):
                if not self.region.push(message, now):
                    self.broadcast(self.publisher.entry_ids(now), message)

    def placement(self):
        fence = self.world.fence
        return fleetmessages.PlacementPush(
            self.world.placement, {}, fence, {}, self.world.placement_number
        )


class EarlierControl(Control):
    """A control host of a build without the exchange."""

    def receive(self, sender, message):
        is_known = type(message).__module__ == fleetmessages.__name__
        assert is_known, f"{message.tag} would close the link"
        if isinstance(message, fleetmessages.Subscribe):
            self.publisher.subscribe(sender, message, self.world.now)
        elif isinstance(message, fleetmessages.EntryReport):
            self.report(sender, message)


class Entry:
    """An entry host with one call in flight."""

    def __init__(self, world, name, data_centre):
        self.world, self.name, self.number = world, name, 0
        self.is_up, self.cut_from = True, set()
        self.heard_at_by_id, self.leader = {}, ""
        self.total, self.own, self.loads_at = 0, 0, -1e9
        self.adapters, self.version = {}, (0, 0)
        self.next_subscribe_at = 0.0
        self.region = regionalsubscription.RegionalSubscription(
            name, data_centre, self.send
        )

    def send(self, host_id, message):
        self.world.deliver(self, host_id, message)

    def subscription(self, host_id, details=True):
        session = SESSION + regionmessages.REGION_SUFFIX
        return fleetmessages.Subscribe("10.0.0.9:1", details, "entry", session, 0)

    def receive(self, sender, message):
        now = self.world.now
        self.heard_at_by_id[sender] = now
        if isinstance(message, regionmessages.HandedLoads):
            loads = self.region.apply_loads(sender, message, now)
            if loads is not None:
                self.set_loads(loads[0], loads[1])
        elif isinstance(message, fleetmessages.LoadPush):
            self.set_loads(message.loads_by_id, {"i-1": [1, 0]})
        elif isinstance(message, fleetmessages.ControlHosts):
            self.leader = message.leader or self.leader
        elif isinstance(message, regionmessages.ControlAlive):
            self.region.record_alive(sender, message)
            self.leader = message.leader or self.leader
        elif isinstance(message, regionmessages.RegionGreeting):
            self.region.greet(sender, message)
            self.region.subscribe(self.subscription(sender), sender, now)
        elif isinstance(message, regionmessages.SubscribeWanted):
            self.send(sender, self.subscription(sender))
        elif isinstance(message, regionmessages.PlacementChange):
            placement = self.region.apply_placement(sender, message, now)
            if placement is not None:
                self.adapters = placement.adapters_by_id
        elif isinstance(message, fleetmessages.PlacementPush):
            self.region.record_placement(message)
            if (message.fence, message.number) > self.version:
                self.version = (message.fence, message.number)
                self.adapters = message.adapters_by_id

    def set_loads(self, loads, own):
        self.total = loads.get("i-1", (0, 0))[0]
        self.own = own.get("i-1", (0, 0))[0]
        self.loads_at = self.world.now

    def tick(self):
        now = self.world.now
        live = {name for name, at in self.heard_at_by_id.items() if now - at < 1.6}
        is_changed = self.region.update(live, self.leader, now)
        if is_changed:
            self.next_subscribe_at = now
        if now >= self.next_subscribe_at:
            self.next_subscribe_at = now + 1.0
            details = self.region.detail_ids(live)
            for control in self.world.controls:
                message = self.subscription(control.name, control.name in details)
                self.region.subscribe(message, control.name, now)
        if self.leader and (is_changed or self.world.step % 5 == 0):
            needs = [["s", "m", "", 1, 0.1, 0]]
            self.region.report({"i-1": [1, 0]}, needs, self.leader, now)


class World:
    """Two data centres with two control hosts and three entry hosts each."""

    def __init__(self, control_class=Control):
        self.now, self.step, self.runs = 0.0, 0, 0
        self.fence, self.placement_number, self.placement = 1, 1, dict(PLACEMENT)
        self.bytes_between = 0
        self.copies = 1
        self.controls = [
            (control_class if name == "c-a2" else Control)(self, name, centre)
            for name, centre in (
                ("c-a1", "a"), ("c-a2", "a"), ("c-b1", "b"), ("c-b2", "b"),
            )
        ]  # fmt: skip
        self.leader = "c-b1"
        self.entries = [
            Entry(self, f"e-{centre}{number}", centre)
            for centre in "ab"
            for number in range(3)
        ]
        self.hosts = {host.name: host for host in [*self.controls, *self.entries]}
        self.introduce()

    def introduce(self):
        """Subscribe the control hosts to each other."""
        for sender in self.controls:
            for receiver in self.controls:
                subscribe = fleetmessages.Subscribe("x", True, "control", SESSION, 0)
                receiver.publisher.subscribe(sender.name, subscribe, 0.0)

    def next_run(self):
        self.runs += 1
        return self.runs

    def deliver(self, sender, host_id, message):
        receiver = self.hosts[host_id]
        if not (sender.is_up and receiver.is_up) or host_id in sender.cut_from:
            return
        data = wire.encode(message)
        if sender.name[2] != host_id[2]:
            self.bytes_between += len(data)
        is_report = isinstance(message, regionmessages.RegionReport)
        for _ in range(self.copies if is_report else 1):
            receiver.receive(sender.name, wire.decode(data))

    def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            self.step += 1
            for host in self.hosts.values():
                if host.is_up:
                    host.tick()
        return self

    def cut(self, first, second):
        """Stop the messages between two hosts."""
        self.hosts[first].cut_from.add(second)
        self.hosts[second].cut_from.add(first)

    def check(self, max_age_s=0.55, max_total=6):
        """Check that each entry host knows the loads and the placement."""
        for entry in self.entries:
            assert self.now - entry.loads_at <= max_age_s, entry.name
            assert 6 <= entry.total <= max_total, entry.name
            assert entry.own == 1, entry.name
            assert entry.adapters == self.placement, entry.name

    def place(self, **adapters):
        self.placement_number += 1
        self.placement = {**self.placement, **adapters}

    def handing(self, centre="a"):
        """Return the host that hands on to the first entry host."""
        name = next(e for e in self.entries if e.name[2] == centre).region.handing_id
        return self.hosts[name]


@pytest.fixture
def world():
    return World().run(4.0)


def test_loads_and_placement_are_handed_on_inside_a_data_centre(world):
    """No entry host gets them from the leader, and each knows the whole sum."""
    world.check()
    for entry in world.entries:
        assert not entry.region.is_direct
        assert entry.region.handing_id[2] == entry.name[2]
    world.place(**{"i-3": ["m/c"]})
    world.run(0.3).check()


def test_few_bytes_pass_between_data_centres(world):
    """Without the exchange, each entry host gets each push from the leader."""
    world.placement = {f"i-{n}": ["model/adapter"] * 8 for n in range(70)}
    world.place()
    world.run(1.0)
    before = world.bytes_between
    for number in range(8):
        world.place(**{f"i-{number}": ["model/other"]})
        world.run(0.25)
    pushed_bytes = len(wire.encode(world.controls[0].placement()))
    assert world.bytes_between - before < 8 * pushed_bytes / 2


@pytest.mark.parametrize("fault", ["stopped", "frozen", "without leader", "cut off"])
def test_host_that_hands_on_is_replaced(world, fault):
    """Loads are no older than while a leader is replaced.

    The calls of the two hosts that move may count three times meanwhile.
    """
    handing = world.handing()
    if fault in ("stopped", "frozen"):
        handing.is_up = False
    elif fault == "without leader":
        world.cut(handing.name, world.leader)
    else:
        for entry in world.entries:
            world.cut(handing.name, entry.name)
    for _ in range(50):
        world.run(0.1)
        assert all(world.now - entry.loads_at < 1.7 for entry in world.entries)
        assert world.hosts[world.leader].total() <= 10
    world.place(**{"i-4": ["m/d"]})
    world.run(0.3)
    world.check()


def test_host_that_thaws_is_not_believed(world):
    """What it hands on is old; it is used again once it is up to date."""
    handing = world.handing()
    handing.is_up = False
    world.run(3.0)
    world.place(**{"i-5": ["m/e"]})
    world.run(1.0)
    handing.is_up = True
    for _ in range(40):
        world.run(0.1).check(0.6, max_total=9)
    world.run(1.0).check()


def test_leader_changes(world):
    """The new leader gets whole tables, also if its numbers begin anew."""
    world.hosts[world.leader].is_up = False
    world.leader, world.fence, world.placement_number = "c-a1", 2, 1
    world.placement = {"i-9": ["m/z"]}
    world.run(4.0).check()
    assert not any(entry.region.is_direct for entry in world.entries[:3])


def test_report_that_is_handed_on_twice_counts_once():
    """A link may be replaced between a message and its repetition."""
    once, twice = World().run(4.0), World()
    twice.copies = 2
    twice.run(4.0).check()
    arrivals = [world.hosts[world.leader].arrivals for world in (once, twice)]
    assert arrivals[0] == arrivals[1] > 0


def test_earlier_build_gets_no_new_message():
    """It neither hands on, nor gets a message that would close the link."""
    world = World(EarlierControl).run(4.0)
    world.check()
    assert all(entry.region.handing_id != "c-a2" for entry in world.entries)
    world.leader, world.fence, world.placement_number = "c-a2", 2, 1
    world.run(4.0).check()
    assert all(entry.region.is_direct for entry in world.entries)


def test_missed_change_of_the_placement_is_asked_for(world):
    """A change that has another base must not be applied."""
    entry = world.entries[0]
    world.cut(entry.name, entry.region.handing_id)
    world.place(**{"i-6": ["m/f"]})
    world.run(0.3)
    world.hosts[entry.region.handing_id].cut_from.clear()
    entry.cut_from.clear()
    world.place(**{"i-7": ["m/g"]})
    world.run(3.0)
    world.check()


def test_reports_that_do_not_arrive_are_sent_to_the_leader(world):
    """The leader may still push to a host that hands on, but not hear it."""
    world.handing().cut_from.add(world.leader)
    for _ in range(40):
        world.run(0.1)
        assert world.hosts[world.leader].total() >= 6
    world.check()


def test_restarted_control_host_asks_for_the_subscription(world):
    """A renewal does not name all that it has forgotten."""
    handing = world.handing()
    handing.__init__(world, handing.name, "a")
    world.introduce()
    world.run(3.0).check()
    assert handing.region.handing_count(world.now) > 0


def test_change_of_a_server_is_passed_on_by_one_control_host(world):
    """The first one has told all control hosts that it reaches."""
    live = {control.name for control in world.controls}
    relays = [
        control.name
        for control in world.controls
        if control.name != "c-a1"
        and control.region.relays("i-1", "c-a1", live - {control.name})
    ]
    assert len(relays) == 1


def test_configuration_is_asked_for_if_it_does_not_come_from_nearby(world):
    """Both control hosts of a data centre may stop at the moment of the commit."""
    entry, remote = world.entries[0], world.hosts["c-b2"]
    sends = remote.publisher.configure(3, b"content", world.now)
    messages = {send.to: send.message for send in remote.region.announce(sends, 3)}
    assert isinstance(messages["e-b0"], fleetmessages.ConfigurationPush)
    notice = messages["e-a0"]
    entry.region.record_notice("c-b2", notice.version, world.now)
    assert entry.region.ids_to_ask(2, world.now + 0.1) == []
    assert entry.region.ids_to_ask(2, world.now + 0.2) == ["c-b2"]
    renewal = regionmessages.Renewal(
        0, regionmessages.session_number(SESSION + regionmessages.REGION_SUFFIX), 2
    )
    subscription = remote.region.read_renewal("e-a0", renewal, world.now)
    pushes = remote.publisher.subscribe("e-a0", subscription, world.now)
    assert [push.message.version for push in pushes] == [3]


def test_configuration_that_has_come_is_not_asked_for(world):
    """The control hosts of the data centre push it at once."""
    region = world.entries[0].region
    region.record_notice("c-b2", 3, world.now)
    assert region.ids_to_ask(3, world.now + 1.0) == []
    region.record_notice("c-b2", -3, world.now)
    assert region.ids_to_ask(serviceconfig.NO_VERSION, world.now + 1.0) == ["c-b2"]


def test_standby_gets_each_changed_server_once(world):
    """Marks are not held back, nor is what no other control host sends."""
    handing = world.handing()
    standby = world.hosts["c-a1" if handing.name == "c-a2" else "c-a2"]
    name = world.entries[0].name
    pushes = [
        fleetmessages.ServersPush([], [], [["i-1", sequence]]) for sequence in (1, 2)
    ]
    mark = fleetmessages.ServersPush([], [["i-1", 5, "leaving"]], [])
    now = world.now
    sent = []
    for push in (*pushes, mark):
        sent += standby.region.condense([wire.Send(name, push)], True, now)
    sent += standby.region.condense([], True, now + 0.3)
    servers_sent = [send.message.servers for send in sent if send.message.servers]
    assert mark in [send.message for send in sent]
    assert servers_sent[-1] == [["i-1", 2]] and len(servers_sent) <= 2
    now_sent = handing.region.condense([wire.Send(name, pushes[0])], True, now)
    assert [send.message for send in now_sent] == [pushes[0]]
