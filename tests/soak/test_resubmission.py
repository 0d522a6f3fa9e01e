"""A configuration in force is sent again to a control host that is alone."""

import signal
import time

import addressblocks
import callerclient
import pytest
import smallfleet
import soak

BLOCK = addressblocks.find_block("test_resubmission")
AT_ONCE_S = 0.5
PATH = "/-/config/replace"


@pytest.fixture
def fleet(tmp_path):
    fleet = smallfleet.Fleet(tmp_path, BLOCK, entry_count=1)
    fleet.add_server()
    try:
        fleet.start_hosts()
        yield fleet
    finally:
        fleet.close()


def put(fleet, version):
    """Send a configuration to the last control host; return status and duration."""
    configuration = {"version": version, "routes": [], "services": []}
    body = soak.json.dumps(configuration).encode()
    started_at = time.monotonic()
    status = callerclient.call(fleet.api_addresses[2], "POST", PATH, body, 4.0)[0]
    return status, time.monotonic() - started_at


def test_configuration_in_force_is_acknowledged_without_a_majority(fleet):
    """Guards against an order that was accepted and is never acknowledged again."""
    fleet.wait_for(lambda: put(fleet, 5)[0] == 200)
    fleet.wait_for(lambda: put(fleet, 5)[1] < AT_ONCE_S)
    for control in fleet.controls[:2]:
        control.terminate(signal.SIGKILL)
    for version in (5, 3):
        status, duration_s = put(fleet, version)
        assert status == 200 and duration_s < AT_ONCE_S
    assert put(fleet, 6)[0] in (0, 503)
