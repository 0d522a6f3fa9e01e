"""A configuration whose version is 0 or less is in force before and after restarts."""

import json
import signal
import time

import addressblocks
import callerclient
import pytest
import smallfleet
import soak

BLOCK = addressblocks.find_block("test_lowversions")


@pytest.fixture(params=[0, -3])
def fleet(request, tmp_path):
    fleet = smallfleet.Fleet(tmp_path, BLOCK)
    fleet.first_version = request.param
    fleet.add_server()
    try:
        fleet.start_hosts()
        yield fleet
    finally:
        fleet.close()


def read_version(address):
    """Return the version that a control host reads, None if it cannot."""
    status, body = callerclient.call(address, "GET", "/-/config/get", b"", 3.0)[:2]
    return json.loads(body)["version"] if status == 200 else None


def is_served(entry):
    headers = {"Host": "soak.example", "Kumquatproxy-Request-Id": str(time.time_ns())}
    exchange = callerclient.Exchange(entry.ip, "", 2.0)
    connection = soak.caller_connection(entry.ip)
    connection.run(exchange, "POST", "/safe/x", headers, b"")
    connection.close()
    return exchange.status == 200


def wait_until_in_force(fleet):
    """Wait until all control hosts read the version and all entry hosts obey it."""
    version = fleet.first_version
    fleet.wait_for(
        lambda: (
            [read_version(address) for address in fleet.api_addresses] == [version] * 3
            and all(map(is_served, fleet.entries))
        )
    )


def test_first_version_is_in_force_and_survives_restarts(fleet):
    """Guards against a first version that is acknowledged and then never in force."""
    wait_until_in_force(fleet)
    for entry in fleet.entries:
        entry.terminate(signal.SIGKILL)
        entry.start()
    wait_until_in_force(fleet)
    for control in fleet.controls:
        control.terminate(signal.SIGKILL)
    for control in fleet.controls:
        control.start()
    wait_until_in_force(fleet)
