"""What hosts tell the owner of orders of models that calls wait for."""

import types

import pytest

from kumquatproxy.fleet import (
    controlhost,
    entryhost,
    fleetdemand,
    fleethost,
    fleetmessages,
    fleetsettings,
    modelwants,
    publishing,
    servers,
    serviceconfig,
)
from kumquatproxy.gateway import calls

NOW = 100.0
SETTINGS = """[host]
id = 127.0.0.1
data_centre = a
links = 127.0.0.1:7380
seeds = 127.0.0.2:7382
key = test
[entry]
callers = 127.0.0.1:7383
readiness = 127.0.0.1:7384
[dialect]
name = platform
module = kumquatproxy.platform.adapter
[load]
policy = %s
"""


@pytest.fixture
def sender():
    sender = modelwants.WantSender()
    sender.greet("c1", NOW)
    return sender


def wanted(model="m", objective_s=2.5):
    return modelwants.ModelWanted(model=model, objective_s=objective_s, service="s")


def test_owner_is_told_once_of_the_calls_for_a_model(sender):
    sent = [sender.want("c1", "s", "m", 2.5, NOW + step * 0.1) for step in range(10)]
    assert [index for index, message in enumerate(sent) if message] == [0, 5]
    assert sender.want("c1", "s", "other", 2.5, NOW)


def test_owner_of_an_earlier_build_gets_no_message(sender):
    """It would close the link; one that was replaced greets again."""
    assert sender.want("c2", "s", "m", 2.5, NOW) is None
    sender.reopen("c1", NOW + 0.5)  # of two links that opened at the same time
    assert sender.knows("c1")
    sender.reopen("c1", NOW + 5.0)
    assert sender.want("c1", "s", "m", 2.5, NOW) is None
    sender.greet("c1", NOW)
    assert sender.want("c1", "s", "m", 2.5, NOW)


def test_session_tells_of_wants_and_of_facts():
    session = modelwants.mark_session("ab" + fleetmessages.FACTS_SUFFIX)
    assert modelwants.sends_wants(f"1-{session}")
    assert session.endswith(fleetmessages.FACTS_SUFFIX)
    assert not modelwants.sends_wants("ab" + fleetmessages.FACTS_SUFFIX)


def test_want_counts_as_a_waiting_call_until_reports_tell():
    demand = fleetdemand.FleetDemand()
    demand.record_want("e1", wanted(), NOW)
    demand.record_want("e2", wanted(), NOW + 0.1)
    assert demand.waiting("s", NOW + 0.2)["m"] == 2
    demand.report("e1", {}, [["s", "m", "", 1, 0.1, 1]], NOW + 0.2)
    assert demand.waiting("s", NOW + 0.2)["m"] == 2
    assert demand.waiting("s", NOW + 0.2 + modelwants.WANT_KEPT_S)["m"] == 1


def test_time_left_is_that_of_the_newest_want_and_repetitions_do_not_extend_it():
    table = modelwants.WantTable()
    for step in range(4):
        table.record_want("e1", wanted(), NOW + 0.5 * step)
    assert table.time_left_s("s", "m", NOW + 1.5) == pytest.approx(1.0)
    table.record_want("e2", wanted(), NOW + 1.5)
    assert table.time_left_s("s", "m", NOW + 1.5) == pytest.approx(2.5)
    assert table.wanted("s", NOW + 9.0) == {}
    assert table.time_left_s("s", "m", NOW + 1.6) == 0.0


def test_wants_of_one_instant_are_planned_for_together():
    timer = modelwants.PlanTimer()
    waits_s = [timer.request(NOW + step * 0.005) for step in range(4)]
    assert waits_s == [pytest.approx(timer.GATHER_S), None, None, None]
    assert timer.is_requested
    timer.record_plan(NOW + 0.02, 0.03)
    assert not timer.is_requested
    # The next plan leaves the processor to heartbeats and reports for a while.
    pause_s = 0.03 / timer.MAX_CPU_SHARE
    assert timer.request(NOW + 0.05) == pytest.approx(pause_s - 0.03)


def entry_host(policy):
    """Return a host with a model service, and what it sends to the owner."""
    host = entryhost.EntryHost(fleetsettings.parse(SETTINGS % policy), seed=1)
    models = [serviceconfig.Model("m", 70_000, 2.4, 1.6, 1.2)]
    engine = serviceconfig.Engine(models, 230_000, 48, 102_000, 8, 23.0)
    service = serviceconfig.Service("s", engine=engine)
    host.configuration = serviceconfig.Configuration(1, [], [service])
    host._leader = "127.0.0.2"
    sent = []
    host.send_message = lambda host_id, message: sent.append(message)
    greeting = fleethost.ReceivedMessage("127.0.0.2", modelwants.WantsGreeting())
    host.handle(greeting, NOW)
    return host, sent


def call_for(model):
    call = calls.Call(b"POST", b"/", "host", [], b"", NOW)
    call.need = calls.ModelNeed(model)
    call.service = "s"
    call.route = serviceconfig.Route(
        "r", "host", "/", calls.Mode.STREAM, [], 8.0, 2.5, 1
    )
    return call


@pytest.mark.parametrize("policy, count", [("steady", 0), ("hard", 1)])
def test_host_tells_of_a_model_that_no_server_has(policy, count):
    """Without hard load no message is sent, and an assumed load is waited for once."""
    host, sent = entry_host(policy)
    expected = host.expected_availability(call_for("m"), NOW)
    assert len(sent) == count and modelwants.sends_wants(host._session) == bool(count)
    assert expected.is_assumed != bool(count)
    host.expected_availability(call_for("unknown"), NOW)
    announcement = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 5, 1, 4)
    announcement.models = [["m", 1, []]]
    host.table.apply_announcement(announcement, NOW)
    assert host.expected_availability(call_for("m"), NOW + 1.0).is_assumed
    assert len(sent) == count


def test_call_is_woken_when_a_server_has_its_model():
    host, _ = entry_host("hard")
    host._waiting_calls[call_for("m")] = None
    for model in ("other", "m"):
        announcement = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 5, 1, 4)
        announcement.models = [[model, 1, []]]
        push = fleetmessages.ServersPush([], [], [announcement.to_wire()])
        host._has_changes = False
        host.handle(fleethost.ReceivedMessage("127.0.0.2", push), NOW)
        assert host._has_changes == (model == "other")


def test_control_host_greets_new_subscribers_that_send_wants():
    """Hosts without hard load get no new message."""
    sent = []
    host = types.SimpleNamespace(
        publisher=publishing.Publisher("c1", servers.ServerTable()),
        _send_all=lambda sends: None,
        region=types.SimpleNamespace(greet=lambda host_id, session: None),
        _facts=types.SimpleNamespace(greet=lambda host_id, now: []),
        _origin_relay=types.SimpleNamespace(record_entry=lambda host_id, name: None),
        send_message=lambda host_id, message: sent.append((host_id, message)),
    )
    session = "ab" + fleetmessages.FACTS_SUFFIX
    for host_id, name in (("e1", session), ("e2", modelwants.mark_session(session))):
        message = fleetmessages.Subscribe("a:1", False, fleetmessages.ENTRY, name, 0)
        for _ in range(2):
            received = fleethost.ReceivedMessage(host_id, message)
            controlhost.ControlHost._on_subscribe(host, received, NOW)
    assert [host_id for host_id, _ in sent] == ["e2"]
