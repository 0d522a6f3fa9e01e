"""Server table, publisher, state machine, configuration, load limiter, engine state."""

import random
import subprocess
import sys

import cbor2
import pytest

from kumquatproxy import errors
from kumquatproxy.fleet import (
    engineorders,
    engines,
    fleetdemand,
    fleetmessages,
    fleetstate,
    publishing,
    servers,
    serviceconfig,
    storelimiter,
)
from kumquatproxy.gateway import calls

READY = servers.ServerState.READY
LEAVING = servers.ServerState.LEAVING
GONE = servers.ServerState.GONE


def announcement(name="i-1", born=100, sequence=1, address="10.0.0.1:80", **fields):
    return servers.Announcement(name, "s", address, "a", born, sequence, 4, **fields)


def ready_ids(table, now=0.0):
    return [server.instance_id for server in table.ready("s", now)]


def holder_ids(table, model, now=0.0):
    return [server.instance_id for server in table.ready("s", now, model)]


class TestServerTable:
    """Heartbeats arrive late, reordered, and from lifetimes that have ended."""

    def test_late_heartbeat_is_ignored(self):
        table = servers.ServerTable()
        table.apply_announcement(announcement(sequence=5, models=[["m", 1, []]]), 0.0)
        assert not table.apply_announcement(announcement(sequence=4), 1.0)
        assert table.get("i-1").has_model("m")

    def test_server_whose_clock_was_set_back_is_used_once_its_earlier_one_expires(self):
        """Its heartbeats look like late ones of an earlier lifetime."""
        table = servers.ServerTable()
        table.apply_announcement(announcement(born=900), 0.0)
        table.mark("i-1", 900, GONE)
        assert not table.apply_announcement(announcement(born=100), 1.0)
        assert table.expire(servers.EXPIRE_AFTER_S) == ["i-1"]
        assert table.apply_announcement(announcement(born=100), 61.0)
        assert table.get("i-1").state is servers.ServerState.READY

    def test_heartbeat_of_an_earlier_lifetime_is_ignored(self):
        """A restarted server keeps its id and numbers its heartbeats from the start."""
        table = servers.ServerTable()
        table.apply_announcement(announcement(born=100, sequence=50), 0.0)
        assert table.apply_announcement(announcement(born=200, sequence=1), 1.0)
        assert not table.apply_announcement(announcement(born=100, sequence=51), 2.0)
        assert table.get("i-1").born_ms == 200

    def test_holders_of_a_model_follow_the_announcements(self):
        """Guards against calls to servers that have unloaded their model or left."""
        table = servers.ServerTable()
        other = announcement("i-2", address="10.0.0.2:80", models=[["n", 1, []]])
        table.apply_announcement(other, 0.0)
        assert holder_ids(table, "m") == []
        table.apply_announcement(announcement(models=[["m", 1, []]]), 0.0)
        assert holder_ids(table, "m") == ["i-1"]
        both = announcement(sequence=2, models=[["m", 1, []], ["n", 1, []]])
        table.apply_announcement(both, 1.0)
        assert holder_ids(table, "n") == ["i-2", "i-1"]
        table.apply_announcement(announcement(sequence=3, models=[["n", 1, []]]), 2.0)
        assert holder_ids(table, "m") == []
        table.mark("i-2", 0, LEAVING)
        assert holder_ids(table, "n") == ["i-1"]
        table.clear()
        assert holder_ids(table, "n") == [] and not table._holders_by_model

    def test_silent_holder_of_a_model_is_used_only_if_all_servers_are_silent(self):
        table = servers.ServerTable()
        table.apply_announcement(announcement(models=[["m", 1, []]]), 0.0)
        table.apply_announcement(announcement("i-2", address="10.0.0.2:80"), 5.0)
        now = servers.SILENT_AFTER_S + 1.0
        assert holder_ids(table, "m", now) == [] and ready_ids(table, now) == ["i-2"]
        assert holder_ids(table, "m", 5.0 + servers.SILENT_AFTER_S) == ["i-1"]

    @pytest.mark.parametrize("seed", range(5))
    def test_holders_are_the_ready_servers_that_have_the_model(self, seed):
        """Guards against an index that differs from the announcements."""
        rng = random.Random(seed)
        table = servers.ServerTable()
        now = 0.0
        for sequence in range(400):
            now += rng.uniform(0.0, 1.0)
            name = f"i-{rng.randrange(6)}"
            models = [[model, 1, []] for model in rng.sample("klmn", rng.randrange(4))]
            address = f"10.0.0.{rng.randrange(8)}:80"
            born = rng.randrange(3)
            table.apply_announcement(
                announcement(name, born, sequence, address, models=models), now
            )
            if rng.random() < 0.1:
                table.mark(name, born, rng.choice([LEAVING, GONE]))
            now += 30.0 * (rng.random() < 0.05)
            table.expire(now)
            for model in "klmn":
                expected = {
                    server.instance_id
                    for server in table.ready("s", now)
                    if server.has_model(model)
                }
                assert set(holder_ids(table, model, now)) == expected

    def test_only_newer_or_malformed_lists_are_not_known(self):
        table = servers.ServerTable()
        table.apply_announcement(announcement(born=100, sequence=5), 0.0)
        for born, sequence, is_known in (
            (100, 5, True),
            (100, 4, True),
            (100, 6, False),
            (200, 1, False),
        ):
            fields = announcement(born=born, sequence=sequence).to_wire()
            assert (table.known_from(fields) is not None) is is_known
        for fields in (None, [], [["i-1"], *fields[1:]], [*fields[:5], "5", *fields]):
            assert table.known_from(fields) is None

    def test_heartbeat_of_a_replaced_server_does_not_reclaim_its_address(self):
        table = servers.ServerTable()
        table.apply_announcement(announcement("old", born=100), 0.0)
        table.apply_announcement(announcement("new", born=200), 1.0)
        assert not table.apply_announcement(
            announcement("old", born=100, sequence=9), 2.0
        )
        assert ready_ids(table) == ["new"]

    def test_leaving_server_becomes_ready_only_after_a_restart(self):
        """A heartbeat that was sent before the mark may arrive after it."""
        table = servers.ServerTable()
        table.apply_announcement(announcement(sequence=1), 0.0)
        assert table.mark("i-1", 100, LEAVING)
        assert not table.mark("i-1", 100, LEAVING)
        table.apply_announcement(announcement(sequence=2), 1.0)
        assert ready_ids(table) == []
        table.apply_announcement(announcement(born=300, sequence=1), 2.0)
        assert ready_ids(table) == ["i-1"]

    def test_mark_before_the_first_heartbeat_is_kept(self):
        table = servers.ServerTable()
        table.mark("i-1", 100, GONE)
        table.apply_announcement(announcement(), 0.0)
        assert ready_ids(table) == []

    def test_silent_servers_are_used_only_if_there_are_no_others(self):
        table = servers.ServerTable()
        table.apply_announcement(announcement("i-1"), 0.0)
        table.apply_announcement(announcement("i-2", address="10.0.0.2:80"), 9.0)
        assert ready_ids(table, 9.0) == ["i-2"]
        assert sorted(ready_ids(table, 30.0)) == ["i-1", "i-2"]

    def test_announcement_round_trips_through_its_wire_form(self):
        sent = announcement(
            models=[["m", 1, ["a1"]]],
            in_memory=["m"],
            state=LEAVING,
            software_version="v1.1",
        )
        assert servers.from_wire(sent.to_wire()) == sent

    def test_announcement_is_readable_by_and_from_a_build_without_software_versions(
        self,
    ):
        """Guards against links that break while hosts are upgraded in turn.

        The list of that build holds twelve fields and the state.
        """
        fields = announcement(state=LEAVING, software_version="v1.1").to_wire()
        assert fields[12] == "leaving" and fields[0] == "i-1"
        read = servers.from_wire(fields[:13])
        assert read.state is LEAVING and read.software_version == ""


def subscription(version=0, session="x", has_details=True):
    return fleetmessages.Subscribe(
        "10.0.0.9:1", has_details, fleetmessages.ENTRY, session, version
    )


LOW_VERSIONS = (0, -3, -(2**63) + 1)


class TestPublisher:
    """Each subscriber with details gets every change once from a control host."""

    @pytest.fixture
    def publisher(self):
        return publishing.Publisher("c1", servers.ServerTable())

    def test_new_subscriber_gets_the_full_state(self, publisher):
        publisher.configure(7, b"text", 0.0)
        publisher.record_heartbeat(announcement(), 0.0)
        sends = publisher.subscribe("e1", subscription(), 0.0)
        assert [type(send.message) for send in sends] == [
            fleetmessages.ServersPush,
            fleetmessages.ConfigurationPush,
        ]
        assert publisher.subscribe("e1", subscription(7), 1.0) == []
        # A new session means that the subscriber restarted and lost its state.
        assert len(publisher.subscribe("e1", subscription(0, "y"), 2.0)) == 2

    def test_subscriber_gets_the_full_state_again_after_a_link_has_opened(
        self, publisher
    ):
        """Guards against a push that is lost with a link that another one replaces."""
        publisher.record_heartbeat(announcement(), 0.0)
        publisher.subscribe("e1", subscription(), 0.0)
        publisher.renew("e1")
        (send,) = publisher.subscribe("e1", subscription(), 1.0)
        assert [fields[0] for fields in send.message.servers] == ["i-1"]
        assert publisher.subscribe("e1", subscription(), 2.0) == []

    def test_subscriber_with_an_older_version_gets_the_configuration(self, publisher):
        publisher.subscribe("e1", subscription(), 0.0)
        assert publisher.configure(7, b"text", 0.0)
        assert len(publisher.subscribe("e1", subscription(0), 1.0)) == 1

    def test_older_configuration_version_is_ignored(self, publisher):
        publisher.subscribe("e1", subscription(), 0.0)
        publisher.configure(7, b"new", 0.0)
        assert publisher.configure(6, b"old", 1.0) == []
        assert publisher.content == b"new"

    @pytest.mark.parametrize("version", LOW_VERSIONS)
    def test_configuration_of_any_version_is_published(self, publisher, version):
        """Guards against subscribers without a configuration that get none."""
        none = subscription(serviceconfig.NO_VERSION)
        publisher.subscribe("e1", none, 0.0)
        assert len(publisher.configure(version, b"text", 0.0)) == 1
        (send,) = publisher.subscribe("e1", none, 1.0)
        assert send.message == fleetmessages.ConfigurationPush(b"text", version)
        assert publisher.subscribe("e1", subscription(version), 2.0) == []

    def test_without_a_configuration_none_is_published(self, publisher):
        """Also not to hosts of earlier builds, which name the version 0 for none."""
        for version in (serviceconfig.NO_VERSION, 0):
            publisher.subscribe("e1", subscription(), 0.0)
            assert publisher.subscribe("e1", subscription(version), 1.0) == []

    def test_mark_is_published_immediately_and_once(self, publisher):
        publisher.subscribe("e1", subscription(), 0.0)
        publisher.record_heartbeat(announcement(), 0.0)
        (send,) = publisher.mark("i-1", 100, LEAVING, 0.0)
        assert send.message.marks == [["i-1", 100, "leaving"]]
        assert publisher.mark("i-1", 100, LEAVING, 0.0) == []

    def test_mark_that_is_known_is_published_again_when_it_is_committed(self):
        """Guards against a leave that is acknowledged while a host has missed it."""
        publisher = publishing.Publisher("c1", servers.ServerTable())
        publisher.subscribe("e1", subscription(), 0.0)
        publisher.record_heartbeat(announcement(), 0.0)
        assert len(publisher.mark_leaving("i-1", 100, 0.0)) == 1
        assert publisher.mark_leaving("i-1", 100, 0.0) is None
        (send,) = publisher.mark("i-1", 100, LEAVING, 1.0)
        assert send.message.marks == [["i-1", 100, "leaving"]]
        assert publisher.mark("i-1", 100, LEAVING, 1.0) == []

    def test_subscriber_without_details_gets_no_server_changes(self, publisher):
        """Eight control hosts may send the same changes, and two of them are enough."""
        publisher.subscribe("e1", subscription(has_details=False), 0.0)
        publisher.record_heartbeat(announcement(), 0.0)
        kinds = [type(send.message) for send in publisher.tick([], [], "", 0.0)]
        assert kinds == [fleetmessages.ControlHosts]
        assert publisher.mark("i-1", 100, LEAVING, 0.0)
        assert publisher.configure(7, b"text", 0.0)
        (servers_push, _) = publisher.subscribe("e1", subscription(), 1.0)
        assert len(servers_push.message.servers) == 1

    def test_full_state_is_built_once_between_ticks(self, publisher, monkeypatch):
        """Guards against minutes of work when hundreds of hosts start together."""
        sizes = []
        make_pushes = publishing.make_pushes

        def record(announcements, marks, alive):
            sizes.append(len(announcements))
            return make_pushes(announcements, marks, alive)

        monkeypatch.setattr(publishing, "make_pushes", record)
        publisher.record_heartbeat(announcement(), 0.0)
        for index in range(20):
            send = publisher.subscribe(f"e{index}", subscription(), 0.0)[0]
            assert publisher.encode(send.message) is publisher.encode(send.message)
        assert sizes == [1]
        publisher.record_heartbeat(announcement("i-2", address="10.1.0.9:80"), 0.0)
        sends = publisher.tick([], [], "", 0.05)
        changed = [send.to for send in sends if getattr(send.message, "servers", ())]
        assert len(changed) == 20
        publisher.subscribe("f", subscription(), 0.05)
        assert sizes[-1] == 2

    def test_full_state_has_the_marks_that_were_sent_before(self, publisher):
        publisher.record_heartbeat(announcement(), 0.0)
        publisher.subscribe("e1", subscription(), 0.0)
        publisher.mark("i-1", 100, LEAVING, 0.0)
        send = publisher.subscribe("e2", subscription(), 0.0)[0]
        assert send.message.marks == [["i-1", 100, "leaving"]]

    def test_changes_of_own_and_other_servers_share_a_push_to_entry_hosts(self):
        publisher = publishing.Publisher("c1", servers.ServerTable())
        publisher.subscribe("e1", subscription(), 0.0)
        control = fleetmessages.Subscribe(
            "10.0.0.2:1", True, fleetmessages.CONTROL, "x", 0
        )
        publisher.subscribe("c2", control, 0.0)
        publisher.tick([], [], "", 0.0)
        publisher.record_heartbeat(announcement(), 0.0)
        other = announcement("i-2", address="10.1.0.9:80").to_wire()
        push = fleetmessages.ServersPush([], [], [other])
        publisher.merge(push, 0.0, lambda instance_id: False)
        ids_by_host = {}
        for send in publisher.tick([], [], "", 0.05):
            ids = {fields[0] for fields in send.message.servers}
            ids_by_host.setdefault(send.to, []).append(ids)
        assert ids_by_host == {"e1": [{"i-1", "i-2"}], "c2": [{"i-1"}]}

    def test_servers_merged_from_another_host_are_published(self, publisher):
        publisher.subscribe("e1", subscription(), 0.0)
        push = fleetmessages.ServersPush(
            [], [["i-2", 5, "gone"]], [announcement().to_wire()]
        )
        publisher.merge(push, 0.0)
        (send,) = [
            due
            for due in publisher.tick([], [], "", 0.0)
            if isinstance(due.message, fleetmessages.ServersPush)
        ]
        assert len(send.message.servers) == 1
        assert send.message.marks == [["i-2", 5, "gone"]]

    def test_mark_learned_from_another_host_is_published_to_all(self, publisher):
        """It is not published at its commit, as it is known by then.

        Guards against an entry host that sends on to a server whose leave has been
        acknowledged, because the control hosts that push details to it are slow.
        """
        publisher.subscribe("e1", subscription(has_details=False), 0.0)
        mark = ["i-1", 100, "leaving"]
        publisher.merge(fleetmessages.ServersPush([], [mark], []), 0.0)
        sends = publisher.tick([], [], "", 0.1)
        sends += publisher.mark("i-1", 100, LEAVING, 0.2)
        pushes = [
            send.message
            for send in sends
            if isinstance(send.message, fleetmessages.ServersPush)
        ]
        assert [push.marks for push in pushes] == [[mark]]


class TestFleetState:
    """The replicated log decides on the configuration and the owner of orders."""

    def put(self, state, version, content):
        return state.apply(fleetstate.PutConfiguration(content, version))

    def test_highest_configuration_version_is_in_force(self):
        state = fleetstate.FleetState()
        self.put(state, 5, b"five")
        answer = self.put(state, 3, b"three")
        assert (answer.version, state.content) == (5, b"five")

    def test_other_content_under_the_same_version_is_ignored(self):
        state = fleetstate.FleetState()
        assert self.put(state, 5, b"five").is_same
        assert not self.put(state, 5, b"other").is_same
        assert state.content == b"five"

    @pytest.mark.parametrize("version", LOW_VERSIONS)
    def test_first_configuration_may_have_any_version(self, version):
        """Guards against a number of a configuration that stands for none."""
        state = fleetstate.FleetState()
        assert state.apply(fleetstate.ReadConfiguration()).content == b""
        assert self.put(state, version, b"first").is_same
        assert not self.put(state, version - 1, b"older").is_same
        answer = state.apply(fleetstate.ReadConfiguration())
        assert (answer.version, answer.content) == (version, b"first")

    @pytest.mark.parametrize("version", LOW_VERSIONS)
    def test_snapshot_restores_a_configuration_of_any_version(self, version):
        """Guards against a configuration that only snapshots lack."""
        state = fleetstate.FleetState()
        empty_snapshot = state.snapshot()
        self.put(state, version, b"first")
        restored = fleetstate.FleetState()
        restored.restore(state.snapshot())
        assert (restored.version, restored.content) == (version, b"first")
        # Members of earlier builds have no such version in their snapshots.
        restored.restore(empty_snapshot)
        assert (restored.version, restored.content) == (version, b"first")

    def test_earlier_builds_recognise_a_state_without_a_configuration(self):
        """They take the version 0 for none, in snapshots and in answers to reads."""
        state = fleetstate.FleetState()
        assert cbor2.loads(state.snapshot())[:2] == [0, b""]
        assert state.apply(fleetstate.ReadConfiguration()).version == 0

    def test_ownership_requires_a_higher_fence(self):
        state = fleetstate.FleetState()
        state.apply(fleetstate.TakeOwnership(4, "c1"))
        answer = state.apply(fleetstate.TakeOwnership(6, "c2"))
        assert answer.previous_host_id == "c1"
        assert state.apply(fleetstate.TakeOwnership(5, "c1")).fence == 6
        assert state.owner == "c2"

    def test_snapshot_restores_the_whole_state(self):
        state = fleetstate.FleetState()
        self.put(state, 5, b"five")
        state.apply(fleetstate.TakeOwnership(4, "c1"))
        state.apply(fleetstate.MarkServer(100, "i-1", "gone"))
        restored = fleetstate.FleetState()
        restored.restore(state.snapshot())
        assert restored.snapshot() == state.snapshot()
        assert not self.put(restored, 5, b"other").is_same


def route(name="r", host="a", prefix="/x/", service="s", timeout_s=1.0, weight=1.0):
    targets = [serviceconfig.Target(service, weight)]
    return serviceconfig.Route(name, host, prefix, calls.Mode.SAFE, targets, timeout_s)


def configuration(*routes):
    return serviceconfig.Configuration(1, routes, [serviceconfig.Service("s")])


class TestConfiguration:
    """Routes match by host and longest prefix; one fault rejects a configuration."""

    def test_route_with_the_longest_prefix_is_found(self):
        config = configuration(
            route("short", prefix="/x/"), route("long", prefix="/x/y/"), route("all")
        )
        assert config.find_route("a", "/x/y/z").name == "long"
        assert config.find_route("a", "/x/yz").name == "short"
        assert config.find_route("b", "/x/") is None
        assert config.find_route("a", "/x") is None

    @pytest.mark.parametrize(
        "routes",
        [
            [route(service="unknown")],
            [route("one"), route("two")],
            [route(weight=0.0)],
            [route(weight=-1.0)],
            [route(timeout_s=0.0)],
            [route(prefix="x/")],
        ],
    )
    def test_invalid_configuration_is_rejected(self, routes):
        with pytest.raises(errors.ProxyError) as caught:
            serviceconfig.check(configuration(*routes))
        assert caught.value.status == 400


class TestStoreLoadLimiter:
    """No window holds more loads from the weight store than allowed."""

    def test_loads_stay_within_the_limit_in_every_window(self):
        limiter = storelimiter.StoreLoadLimiter(5.0)
        started_at = []
        for step in range(1000):
            now = step * 0.05
            if limiter.allows(1.1, now):
                limiter.record_load(now)
                started_at.append(now)
        for start in started_at:
            inside = [time for time in started_at if start <= time < start + 5.0]
            assert len(inside) <= 1.1 * 5.0 * 1.1 + 3
        assert len(started_at) > 0.8 * 1.1 * 50

    def test_unanswered_order_counts_while_it_may_be_carried_out(self):
        limiter = storelimiter.StoreLoadLimiter(5.0)
        for _ in range(7):
            limiter.record_uncertain_load(0.0)
        assert not limiter.allows(1.1, 12.0)
        assert limiter.allows(1.1, 13.5)

    @pytest.mark.parametrize("rate", [1.1, 8.5, 17.0])
    @pytest.mark.parametrize("next_is_older", [True, False])
    def test_change_of_owner_stays_within_the_limit_also_between_builds(
        self, rate, next_is_older
    ):
        """The build before has no excess and leaves 1.5 loads to a new owner."""
        limiter = storelimiter.StoreLoadLimiter(5.0, 1.1)
        count = 0
        while limiter.allows(rate, 0.0):
            limiter.record_load(0.0)
            count += 1
        if next_is_older:
            count += int(rate * 5.0 + 1.5) - int(rate * 5.0)
        else:
            limiter = storelimiter.StoreLoadLimiter(5.0, 1.1)
            limiter.fill_window(rate, 0.0)
            while limiter.allows(rate, 0.0):
                limiter.record_load(0.0)
                count += 1
        assert count <= rate * 5.0 * 1.1 + 3

    def test_new_owner_may_start_only_burst_loads_at_first(self):
        """Loads of the previous owner are unknown, so the rate counts as used up."""
        limiter = storelimiter.StoreLoadLimiter(5.0)
        limiter.fill_window(1.1, 0.0)
        for _ in range(2):
            limiter.record_load(0.0)
        assert not limiter.allows(1.1, 4.0)
        assert limiter.allows(1.1, 5.1)


def report(count, models=(), adapters=(), is_busy=False):
    return engineorders.EngineReport(models, adapters, count, is_busy)


class TestEngineState:
    """Reports lag behind, and orders of other owners may be in progress."""

    def test_report_from_before_an_order_is_ignored(self):
        """Guards against losing track of an adapter that has just been loaded."""
        state = engines.EngineState(announcement())
        state.apply_report(report(1, ["m"]))
        state.order_count += 1
        state.adapters_requested_at["m/a1"] = 1.0
        assert not state.apply_report(report(1, ["m"]))
        assert "m/a1" in state.adapters_requested_at
        assert state.apply_report(report(2, ["m"], ["m/a1"]))

    def test_engine_with_an_unknown_order_in_progress_is_not_usable(self):
        """Guards against a new owner that ignores an order of the previous one."""
        state = engines.EngineState(announcement())
        state.apply_report(report(2, ["m"], is_busy=True))
        assert not state.is_usable(0.0) and state.needs_refresh(0.0)
        state.apply_report(report(2, ["m", "n"]))
        assert state.is_usable(0.0) and not state.needs_refresh(0.0)

    def test_invalid_order_count_requires_a_new_report(self):
        state = engines.EngineState(announcement())
        state.apply_report(report(7, ["m"]))
        state.invalidate_order_count()
        assert not state.is_usable(0.0)
        assert state.apply_report(report(3, ["m"]))
        assert state.is_usable(0.0)


class TestDemand:
    """The reports of all entry hosts are summed, without expired ones."""

    def test_reports_are_summed_and_expire(self):
        demand = fleetdemand.FleetDemand()
        demand.report("e1", {"i": [2, 100]}, [["s", "m", "", 3, 0.5, 1]], 0.0)
        demand.report("e2", {"i": [1, 50]}, [["s", "m", "a1", 1, 0.1, 2]], 0.0)
        assert demand.loads_by_id(1.0) == {"i": [3, 150]}
        assert demand.waiting("s", 1.0)["m"] == 3
        assert demand.loads_by_id(9.0) == {} and demand.waiting("s", 9.0)["m"] == 0
        assert demand.get("s", "m/a1", 0.0).rate > 0

    def test_demand_decays_after_a_shift(self):
        demand = fleetdemand.FleetDemand()
        demand.report("e1", {}, [["s", "m", "", 30, 5.0, 0]], 0.0)
        before = demand.get("s", "m", 0.0).rate
        assert demand.get("s", "m", 10.0).rate < before / 20


def test_engine_with_an_unconfirmed_load_is_not_usable():
    """Guards against new orders after a network partition hid the end of a load."""
    state = engines.EngineState(announcement())
    state.apply_report(report(5, ["m", "n"]))
    state.record_accepted(engineorders.Order(engineorders.Action.LOAD, "o"))
    assert not state.is_usable(0.0) and state.needs_refresh(0.0)
    assert not state.apply_report(report(5, ["m", "n"]))
    state.apply_report(report(6, ["m", "n"], is_busy=True))
    assert not state.is_usable(0.0)
    state.apply_report(report(6, ["m", "n", "o"]))
    assert state.is_usable(0.0) and state.models == {"m", "n", "o"}


def test_engine_stays_usable_after_an_adapter_order():
    state = engines.EngineState(announcement())
    state.apply_report(report(5, ["m"]))
    state.record_accepted(engineorders.Order(engineorders.Action.LOAD, "m", "a1"))
    assert state.is_usable(0.0) and state.order_count == 6


def test_host_does_not_import_libraries_of_the_command_line():
    """They add 0.1 s to each start, and a rolling restart starts dozens of hosts."""
    program = (
        "import sys, kumquatproxy.cli, kumquatproxy.fleet.running,"
        " kumquatproxy.fleet.entryhost, kumquatproxy.fleet.controlhost;"
        " print([name for name in sys.modules if name in sys.argv[1:]])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program, "geventhttpclient", "http.cookiejar"],
        capture_output=True,
        check=True,
        text=True,
    )
    assert found.stdout.strip() == "[]"
