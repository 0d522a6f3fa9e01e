"""Handling of the messages of control hosts at an entry host."""

import pytest

from kumquatproxy import wire
from kumquatproxy.fleet import (
    entryhost,
    fleethost,
    fleetmessages,
    fleetsettings,
    fleetstate,
    servers,
    serviceconfig,
)
from kumquatproxy.gateway import calls

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
    assert host.expected_availability(call).ready_in_s is None


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
