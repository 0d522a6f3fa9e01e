"""What an entry host makes of the messages of control hosts."""

import pytest

from kumquatproxy.fleet import (
    entryhost,
    fleethost,
    fleetmessages,
    fleetsettings,
    fleetstate,
    servers,
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


def tell(host, message, sender="127.0.0.2", now=1.0):
    host.handle(fleethost.Received(sender, message), now)


def configuration(version):
    return fleetmessages.ConfigurationPush(fleetstate.pack(TEXT % version), version)


def test_versions_only_rise_within_a_lifetime(host):
    """A control host that lags may push an older version after a newer one."""
    assert not host.is_ready()
    tell(host, configuration(5))
    tell(host, configuration(3), "127.0.0.3")
    assert host.version() == 5 and host.is_ready()


def test_a_push_of_an_earlier_owner_does_not_undo_a_later_one(host):
    """Its message may arrive after the first one of the owner that follows."""
    newer = fleetmessages.PlacementPush({"i-1": ["m/a1"]}, {}, 7, {}, 1)
    older = fleetmessages.PlacementPush({"i-1": []}, {}, 6, {}, 99)
    tell(host, newer)
    tell(host, older, "127.0.0.3")
    assert host.chooser.adapters_by_id == {"i-1": frozenset(["m/a1"])}


def test_a_leave_ends_the_use_of_a_server(host):
    one = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 5, 1, 4)
    tell(host, fleetmessages.ServersPush([], [], [one.to_plain()]))
    assert len(host.table.ready("s", 1.0)) == 1
    tell(host, fleetmessages.ServersPush([], [["i-1", 5, "leaving"]], []))
    assert host.table.ready("s", 1.0) == []


def test_details_are_asked_of_two_control_hosts(host):
    """All are asked while fewer than three are heard."""
    assert len(host._detailed_ids(1.0)) == 3
    for number in (2, 3, 4):
        tell(host, configuration(5), f"127.0.0.{number}")
    assert len(host._detailed_ids(1.5)) == 2
    assert len(host._detailed_ids(9.0)) == 3


def test_an_adapter_that_was_made_ready_is_used_at_once(host):
    tell(host, fleetmessages.AdapterReady("i-1", "m/a1"))
    assert "m/a1" in host.chooser.adapters_by_id["i-1"]


def test_a_call_for_a_model_that_is_coming_knows_when(host):
    tell(host, configuration(5))
    tell(host, fleetmessages.PlacementPush({}, {"m": 2.0}, 1, {}, 1), now=10.0)
    assert host._coming == {"m": 12.0}
    call = calls.Call(b"GET", b"/", "a", [], b"", 0.0)
    assert host.outlook(call).ready_in_s is None
