"""Handling of the messages of control hosts at an entry host."""

import gevent
import pytest

from kumquatproxy import clock, errors, wire
from kumquatproxy.fleet import (
    entryhost,
    fleethost,
    fleetmessages,
    fleetsettings,
    fleetstate,
    hostcount,
    servers,
    serviceconfig,
    streamrecords,
)
from kumquatproxy.gateway import calls, overload, shedding

SETTINGS = """[host]
id = 127.0.0.1
data_centre = a
links = 127.0.0.1:7380
seeds = 127.0.0.2:7382,127.0.0.3:7382,127.0.0.4:7382
key = test
[entry]
callers = 127.0.0.1:7383
readiness = 127.0.0.1:7384
[dialect]
name = platform
module = kumquatproxy.platform.adapter
"""
TEXT = b'{"version": %d, "routes": [], "services": []}'


@pytest.fixture
def host():
    return entryhost.EntryHost(fleetsettings.parse(SETTINGS), seed=1)


def receive(host, message, sender="127.0.0.2", now=1.0):
    host.handle(fleethost.ReceivedMessage(sender, message), now)


def configuration_push(version):
    return fleetmessages.ConfigurationPush(fleetstate.pack(TEXT % version), version)


def test_older_configuration_version_is_ignored(host):
    """A lagging control host may push an older version after a newer one."""
    assert not host.is_ready()
    receive(host, configuration_push(5))
    receive(host, configuration_push(3), "127.0.0.3")
    assert host.version() == 5 and host.is_ready()


@pytest.mark.parametrize("version", [0, -3])
def test_first_configuration_may_have_any_version(host, version):
    """Guards against hosts that stay without the configuration of the others."""
    assert host.version() == serviceconfig.NO_VERSION
    receive(host, configuration_push(version))
    receive(host, configuration_push(version - 1), "127.0.0.3")
    assert host.version() == version and host.is_ready()
    receive(host, configuration_push(version + 1))
    assert host.version() == version + 1


def test_push_without_a_configuration_is_ignored(host):
    """A control host of an earlier build without one pushes empty content."""
    receive(host, fleetmessages.ConfigurationPush(content=b"", version=0))
    assert not host.is_ready() and host.version() == serviceconfig.NO_VERSION


def test_placement_push_of_an_earlier_owner_is_ignored(host):
    """Its last push may arrive after the first push of the new owner."""
    newer = fleetmessages.PlacementPush({"i-1": ["m/a1"]}, {}, 7, {}, 1)
    older = fleetmessages.PlacementPush({"i-1": []}, {}, 6, {}, 99)
    receive(host, newer)
    receive(host, older, "127.0.0.3")
    assert host.server_selector.adapters_by_id == {"i-1": frozenset(["m/a1"])}


def test_leaving_server_gets_no_calls(host):
    announcement = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 5, 1, 4)
    receive(host, fleetmessages.ServersPush([], [], [announcement.to_wire()]))
    assert len(host.table.ready("s", 1.0)) == 1
    receive(host, fleetmessages.ServersPush([], [["i-1", 5, "leaving"]], []))
    assert host.table.ready("s", 1.0) == []


def test_waiting_calls_are_woken_only_by_what_is_new(host):
    """Two control hosts push the same announcements, and each wake-up costs time."""
    announcement = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 5, 1, 4)
    push = fleetmessages.ServersPush([], [], [announcement.to_wire()])
    receive(host, push)
    assert host._has_changes
    host._wake_waiting_calls()
    receive(host, push, "127.0.0.3")
    assert not host._has_changes
    receive(host, fleetmessages.ServersPush([], [["i-1", 5, "leaving"]], []))
    assert host._has_changes


def subscribed_sessions(host, monkeypatch):
    """Return the session of the next subscription by control host."""
    sent = {}
    monkeypatch.setattr(
        host, "send_message", lambda host_id, message: sent.update({host_id: message})
    )
    host._subscribe(1.0)
    return {host_id: message.session for host_id, message in sent.items()}


def test_host_asks_again_for_servers_of_which_the_push_was_lost(host, monkeypatch):
    """Guards against a restarted host without servers, whose calls are all rejected."""
    before = subscribed_sessions(host, monkeypatch)
    receive(host, fleetmessages.ServersPush([["i-1", 5]], [], []))
    after = subscribed_sessions(host, monkeypatch)
    assert after["127.0.0.2"] != before["127.0.0.2"]
    assert after["127.0.0.3"] == before["127.0.0.3"]
    assert after["127.0.0.2"].endswith(fleetmessages.FACTS_SUFFIX)
    announcement = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 5, 1, 4)
    receive(host, fleetmessages.ServersPush([], [], [announcement.to_wire()]))
    receive(host, fleetmessages.ServersPush([["i-1", 5]], [], []))
    assert subscribed_sessions(host, monkeypatch) == after


def test_host_subscribes_soon_after_links_open_and_once_for_both(host, monkeypatch):
    """Guards against calls to a server that left while all links were broken.

    Two hosts that dial each other have two links, and a full state is large.
    """
    sent = []
    monkeypatch.setattr(
        host, "send_message", lambda host_id, message: sent.append((host_id, message))
    )
    now = clock.now()
    host._next_subscribe_at = now + 9.0
    for _ in range(2):
        host._on_link_opened("127.0.0.2")
    host._do_periodic_work(now + 0.05)
    assert not [pair for pair in sent if isinstance(pair[1], fleetmessages.Subscribe)]
    for tick in range(10):
        host._do_periodic_work(now + 0.2 + 0.05 * tick)
    ((host_id, _),) = [
        pair for pair in sent if isinstance(pair[1], fleetmessages.Subscribe)
    ]
    assert host_id == "127.0.0.2"


def test_server_changes_are_requested_from_two_live_control_hosts(host):
    """All are asked while fewer than three have been heard from lately."""
    assert len(host._detail_host_ids(1.0)) == 3
    for number in (2, 3, 4):
        receive(host, configuration_push(5), f"127.0.0.{number}")
    assert len(host._detail_host_ids(1.5)) == 2
    assert len(host._detail_host_ids(9.0)) == 3


def test_adapter_is_usable_after_it_is_reported_ready(host):
    receive(host, fleetmessages.AdapterReady("i-1", "m/a1"))
    assert "m/a1" in host.server_selector.adapters_by_id["i-1"]


def test_loading_model_has_an_expected_time_and_a_call_without_model_has_none(host):
    receive(host, configuration_push(5))
    receive(host, fleetmessages.PlacementPush({}, {"m": 2.0}, 1, {}, 1), now=10.0)
    assert host._expected_at_by_model == {"m": 12.0}
    call = calls.Call(b"GET", b"/", "a", [], b"", 0.0)
    assert host.expected_availability(call, 10.0).ready_in_s is None


def test_call_does_not_wait_for_a_load_that_is_overdue(host):
    """Guards against calls that wait until their callers leave."""
    offer_model(host, "m")
    receive(host, fleetmessages.PlacementPush({}, {"m": 2.0}, 1, {}, 1), now=10.0)
    assert host.expected_availability(make_call("m"), 12.5).ready_in_s == 0.0
    assert host.expected_availability(make_call("m"), 13.5).ready_in_s is None


def offer_model(host, name):
    engine = serviceconfig.Engine([serviceconfig.Model(name, 1.0, 1.0)], 1.0, 1, 1)
    services = [serviceconfig.Service("s", engine=engine)]
    host.configuration = serviceconfig.Configuration(1, [], services)


def make_call(model, adapter=""):
    call = calls.Call(b"POST", b"/", "a", [], b"", 0.0)
    call.service = "s"
    call.need = calls.ModelNeed(model, adapter)
    return call


def reported_needs(host, monkeypatch):
    """Return the needs of the next report, whose frame is encoded as for a link."""
    reports = []
    monkeypatch.setattr(host, "send_message", lambda _, report: reports.append(report))
    host._leader = "127.0.0.2"
    host._report(1.0)
    assert all(wire.encode(report) for report in reports)
    return [need for report in reports for need in report.needs]


def test_call_for_a_model_that_is_not_offered_is_not_reported(host, monkeypatch):
    """Guards against demand that callers make up by names in their headers."""
    offer_model(host, "m")
    for name in ("m", "other"):
        host.record_arrival(make_call(name))
    with host.count_while_waiting(make_call("other")):
        needs = reported_needs(host, monkeypatch)
    assert [need[:4] for need in needs] == [["s", "m", "", 1]]


def test_report_of_long_adapter_names_fits_in_a_frame(host, monkeypatch):
    """Guards against a report that cannot be sent, and against losing most calls."""
    offer_model(host, "m")
    for number in range(20):
        host.record_arrival(make_call("m", f"{number}" + "a" * 15_000))
    for _ in range(3):
        host.record_arrival(make_call("m"))
    needs = reported_needs(host, monkeypatch)
    assert needs[0][:4] == ["s", "m", "", 3] and 1 < len(needs) < 20


def test_error_of_periodic_work_does_not_end_the_host(host, monkeypatch):
    """Guards against the end of all calls, and of the work that is due later."""
    expired = []
    monkeypatch.setattr(host, "_report", lambda now: {}["missing"])
    monkeypatch.setattr(
        servers.ServerTable, "expire", lambda _, now: expired.append(now)
    )
    host._next_subscribe_at = 1e18
    host.tick(1e9)
    assert not expired
    host._next_report_at = 1e18
    host.tick(1e9)
    assert expired


def make_stream_call(resumed_id="", last_event_id="", request_id="r1"):
    targets = [serviceconfig.Target("s")]
    call = calls.Call(b"POST", b"/", "a", [], b"", 0.0)
    call.route = serviceconfig.Route("r", "a", "/", calls.Mode.STREAM, targets, 4.0)
    call.route.is_resumable = True
    call.service = "s"
    call.request_id = request_id
    call.resumed_id = resumed_id
    call.last_event_id = last_event_id
    return call


class TestStreamOrigins:
    """Origins of streams go to control hosts, and resumptions ask for them."""

    @pytest.fixture
    def sent(self, host, monkeypatch):
        """Collect messages instead of sending them, as (host id, message)."""
        messages = []
        monkeypatch.setattr(
            host.transport,
            "send_encoded",
            lambda host_id, data: messages.append((host_id, wire.decode(data))),
        )
        return messages

    def receive_server(self, host, sender, version="v1", length=None, now=None):
        announcement = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 5, 1, 4)
        announcement.software_version = version
        push = fleetmessages.ServersPush([], [], [announcement.to_wire()[:length]])
        receive(host, push, sender, clock.now() if now is None else now)

    def answer(self, host, sender, origin=None, versions=("v1", "v2")):
        service, version = origin or ("", "")
        message = fleetmessages.StreamQueryAnswer(
            is_complete=True,
            is_known=origin is not None,
            service=service,
            services=["s"],
            software_version=version,
            stream_id="r1",
            versions=list(versions),
        )
        receive(host, message, sender, clock.now())

    def test_origin_is_sent_to_three_control_hosts_at_the_first_event(self, host, sent):
        for number in range(2, 7):
            self.receive_server(host, f"127.0.0.{number}")
            host._control_ids.add(f"127.0.0.{number}")
        call = make_stream_call()
        call.software_version = "v1"
        host.record_origin(call)
        assert len({host_id for host_id, _ in sent}) == 3
        expected = fleetmessages.StreamBegun(13.0, "s", "v1", "r1")
        assert [message for _, message in sent] == [expected] * 3

    def test_control_hosts_of_the_previous_build_get_no_new_messages(self, host, sent):
        """Guards against links that close, as that build refuses unknown messages."""
        self.receive_server(host, "127.0.0.2")
        self.receive_server(host, "127.0.0.3", length=13)
        call = make_stream_call("r1")
        call.software_version = "v1"
        host.record_origin(call)
        with pytest.raises(errors.ProxyError):
            host.restore_origin(make_stream_call("other"))
        assert {host_id for host_id, _ in sent} == {"127.0.0.2"}

    def test_stream_of_this_host_is_resumed_without_a_lookup(self, host, sent):
        self.receive_server(host, "127.0.0.2")
        call = make_stream_call()
        call.software_version = "v1"
        host.record_origin(call)
        sent.clear()
        resumed = make_stream_call("r1", "3", "r2")
        host.restore_origin(resumed)
        assert resumed.software_version == "v1" and sent == []

    def test_first_known_answer_decides(self, host, sent):
        for number in (2, 3, 4):
            self.receive_server(host, f"127.0.0.{number}")
        resumed = make_stream_call("r1", "3", "r2")
        gevent.spawn(self.answer, host, "127.0.0.2")
        gevent.spawn(self.answer, host, "127.0.0.3", ("s", "v2"))
        started_at = clock.now()
        host.restore_origin(resumed)
        assert clock.now() - started_at < streamrecords.LOOKUP_TIMEOUT_S / 2
        assert resumed.software_version == "v2"
        assert {host_id for host_id, _ in sent} == {f"127.0.0.{n}" for n in (2, 3, 4)}

    def test_unknown_stream_is_rejected_once_all_live_hosts_have_answered(
        self, host, sent
    ):
        """Guards against a wait for control hosts that are down."""
        self.receive_server(host, "127.0.0.2")
        self.receive_server(host, "127.0.0.3", now=0.0)
        gevent.spawn(self.answer, host, "127.0.0.2")
        started_at = clock.now()
        with pytest.raises(errors.ProxyError) as caught:
            host.restore_origin(make_stream_call("r1", "3", "r2"))
        assert clock.now() - started_at < streamrecords.LOOKUP_TIMEOUT_S / 2
        assert caught.value.status == 503 and caught.value.executed == "no"

    def test_unknown_stream_goes_on_if_only_one_version_serves(self, host, sent):
        voter_ids = ["127.0.0.2", "127.0.0.3"]
        for voter_id in voter_ids:
            receive(host, fleetmessages.ControlHosts(1, [], "", voter_ids), voter_id)
            self.receive_server(host, voter_id)
            gevent.spawn(self.answer, host, voter_id, None, ["v1"])
        resumed = make_stream_call("r1", "3", "r2")
        host.restore_origin(resumed)
        assert resumed.software_version == "v1"

    def test_unknown_stream_is_rejected_at_a_host_that_reaches_not_all_voters(
        self, host, sent
    ):
        """Guards against a host cut off while servers of a new version join."""
        voter_ids = ["127.0.0.2", "127.0.0.3"]
        receive(host, fleetmessages.ControlHosts(1, [], "", voter_ids), "127.0.0.2")
        self.receive_server(host, "127.0.0.2")
        gevent.spawn(self.answer, host, "127.0.0.2", None, ["v1"])
        with pytest.raises(errors.ProxyError) as caught:
            host.restore_origin(make_stream_call("r1", "3", "r2"))
        assert caught.value.status == 503 and caught.value.executed == "no"

    def test_lookup_ends_without_any_answer(self, host, sent):
        self.receive_server(host, "127.0.0.2")
        with pytest.raises(errors.ProxyError):
            host.restore_origin(make_stream_call("r1", "3", "r2"))

    def test_details_are_requested_from_hosts_of_unknown_build(self, host, monkeypatch):
        """Guards against a control host whose build is never learnt, so never asked."""
        subscriptions = {}
        monkeypatch.setattr(
            host,
            "send_message",
            lambda host_id, message: subscriptions.update({host_id: message}),
        )
        now = clock.now()
        for number in (2, 3, 4):
            receive(host, configuration_push(5), f"127.0.0.{number}", now)
        detailed = sorted(host._detail_host_ids(now))
        self.receive_server(host, detailed[0])
        host._subscribe(now)
        assert all(message.has_details for message in subscriptions.values())
        for number in (2, 3, 4):
            self.receive_server(host, f"127.0.0.{number}")
        host._subscribe(now)
        assert sum(message.has_details for message in subscriptions.values()) == 2


def test_requests_for_adapters_are_forgotten(host, monkeypatch):
    """Guards against memory that callers fill with names of adapters."""
    monkeypatch.setattr(host, "send_message", lambda *_: None)
    host._leader = "127.0.0.2"
    call = make_stream_call("r1", "", "")
    call.service = "s"
    count = 5 * entryhost.MAX_REQUESTED_ADAPTERS
    for number in range(count):
        call.need = calls.ModelNeed("m", f"a{number}")
        host._request_adapter(call, number / 1000)
    assert len(host._requested_at_by_key) <= entryhost.MAX_REQUESTED_ADAPTERS
    assert ("s", f"m/a{count - 1}") in host._requested_at_by_key


def test_host_is_in_touch_while_it_hears_a_majority_of_the_voters(host, monkeypatch):
    """With fewer, a newer configuration may be in force without its knowledge."""
    assert not host.is_in_touch()
    voters = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
    others = ["127.0.0.5", "127.0.0.6", "127.0.0.7"]
    hosts = [[voter, f"{voter}:7380"] for voter in [*voters, *others]]
    message = fleetmessages.ControlHosts(1, hosts, "127.0.0.2", voters)
    now = clock.now()
    in_touch = []
    for sender in ("127.0.0.2", *others, "127.0.0.4"):
        receive(host, message, sender, now)
        in_touch.append(host.is_in_touch())
    assert in_touch == [False] * 4 + [True]
    monkeypatch.setattr(
        clock, "now", lambda: now + entryhost.CONTROL_HOST_TIMEOUT_S + 0.1
    )
    assert not host.is_in_touch()


def test_seeds_are_asked_for_parts_of_caps_until_the_leader_is_known(host):
    seeds = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
    assert host._possible_leaders() == seeds
    hosts = [[seed, f"{seed}:7380"] for seed in seeds]
    receive(host, fleetmessages.ControlHosts(1, hosts, seeds[2], seeds))
    assert host._possible_leaders() == [seeds[2], *seeds[:2]]


def test_held_call_is_not_reported_as_waiting(host, monkeypatch):
    """Guards against loads of models that engines with room for the call hold."""
    reports = []
    monkeypatch.setattr(host, "_offered_model", lambda call: call.need.model)
    monkeypatch.setattr(host, "send_message", lambda _, report: reports.append(report))
    host._leader = "leader"
    call = calls.Call(b"POST", b"/", "a", [], b"", 0.0)
    call.service, call.need = "s", calls.ModelNeed("m")
    with host.count_while_waiting(call):
        host._report(0.0)
        monkeypatch.setattr(host.load_policy, "is_held", lambda call: True)
        host._report(1.0)
    assert [report.needs for report in reports] == [[["s", "m", "", 0, 0.0, 1]]]


@pytest.mark.parametrize(
    ("section", "policy"),
    [("", shedding.SteadyPolicy), ("[load]\npolicy = hard\n", overload.HardPolicy)],
    ids=["default", "hard"],
)
def test_policy_for_hard_load_is_used_only_if_settings_call_for_it(section, policy):
    """Guards against other decisions on deployments that did not ask for them."""
    settings = fleetsettings.parse(SETTINGS + section)
    assert type(entryhost.EntryHost(settings, seed=1).load_policy) is policy


def test_retry_budget_is_divided_by_the_highest_recent_number_of_hosts(host):
    """Guards against repeats beyond the budget while a control host counts too few.

    It has just started, or is cut off from some of the entry hosts.
    """

    def extra_retries(now):
        retries = 0
        host_count = host.entry_counts.highest(now)
        while host.budget.allows("s", host_count, now, has_begun=True):
            host.budget.record_retry("s", now)
            retries += 1
        host.budget = type(host.budget)(0.2, 50.0, 10.0)
        return retries

    assert extra_retries(0.0) == 0  # no control host has counted yet
    for count, now in ((6, 1.0), (0, 1.5), (2, 2.0)):
        receive(host, fleetmessages.ControlHosts(count, [], "", []), now=now)
    assert extra_retries(2.0) == int(0.7 * 50 / 8)
    assert extra_retries(1.0 + hostcount.KEPT_S) == int(0.7 * 50 / 4)
    assert extra_retries(500.0) == int(0.7 * 50 / 4)


def test_full_state_is_asked_for_again_only_after_it_can_have_arrived(host):
    """Guards against hosts that ask again each second for lists that take longer.

    300 hosts that do so after a restart of all keep their links full.
    """
    push = fleetmessages.ServersPush([["i-1", 1]], [], [])
    sessions = []
    for now in (0.0, 1.0, 2.0, 3.9, 4.0):
        host._renew_if_incomplete("127.0.0.2", push, now)
        sessions.append(host._session_by_id["127.0.0.2"])
    assert len(set(sessions[:4])) == 1 and sessions[4] != sessions[0]
