"""Metrics: what is told, where, and that it stays small."""

import socket

import geventhttpclient
import pytest

from kumquatproxy import logs
from kumquatproxy.fleet import entryhost, fleetsettings, meters
from kumquatproxy.laboratory import demosystem

SETTINGS = """[host]
id = 127.0.0.1
data_centre = a
links = {links}
seeds = 127.0.0.2:7382
key = test
{metrics}
[entry]
callers = {callers}
readiness = {readiness}
[dialect]
name = platform
module = kumquatproxy.platform.adapter
"""


def parse(metrics=""):
    addresses = {
        name: demosystem.free_address() for name in ("links", "callers", "readiness")
    }
    return fleetsettings.parse(SETTINGS.format(metrics=metrics, **addresses))


def gauge(text, name):
    (line,) = [one for one in text.splitlines() if one.startswith(f"{name}{{")]
    return float(line.rpartition(" ")[2])


def fetch(port, path="/metrics"):
    client = geventhttpclient.HTTPClient("127.0.0.1", port, network_timeout=5.0)
    try:
        response = client.get(path)
        return response.status_code, bytes(response.read()).decode()
    finally:
        client.close()


def test_calls_attempts_and_orders_are_counted():
    one = meters.Meter(dict)
    for outcome in ("answered", "answered", "overloaded"):
        one.call("summary", "stream", outcome, 0.3, 0.02)
    one.attempt("engines", "lost")
    one.order("load", "accepted")
    lines = one.page().decode().splitlines()
    counts = [line for line in lines if "duration_seconds_count" in line]
    assert len(counts) == 2
    (answered,) = [line for line in counts if 'outcome="answered"' in line]
    assert 'route="summary"' in answered and answered.endswith(" 2.0")
    assert any("attempts" in line and 'outcome="lost"' in line for line in lines)
    assert any("orders" in line and 'action="load"' in line for line in lines)


def test_many_routes_do_not_grow_the_page_without_end():
    """The operator may add hundreds of routes, again and again."""
    one = meters.Meter(dict)
    for index in range(3 * meters.MAX_ROUTES):
        one.call(f"r{index}", "safe", "answered", 0.1, 0.0)
    counts = [
        line
        for line in one.page().decode().splitlines()
        if "duration_seconds_count" in line
    ]
    assert len(counts) == meters.MAX_ROUTES + 1
    (other,) = [line for line in counts if f'route="{meters.OTHER_ROUTES}"' in line]
    assert other.endswith(f" {2.0 * meters.MAX_ROUTES}")


def test_gauges_are_read_when_the_page_is():
    values = {"calls.waiting": 3}
    one = meters.Meter(lambda: values)
    assert gauge(one.page().decode(), "kumquatproxy_calls_waiting") == 3.0
    values["calls.waiting"] = 5
    assert gauge(one.page().decode(), "kumquatproxy_calls_waiting") == 5.0


def test_each_gauge_of_a_host_is_described():
    """A value under a name that no gauge has would never be told."""
    host = entryhost.EntryHost(parse(), seed=1)
    assert host.gauges().keys() <= meters.GAUGES.keys()


def test_an_entry_host_serves_its_metrics():
    address = demosystem.free_address()
    host = entryhost.EntryHost(parse(f"metrics = {address}"), seed=1)
    host.start()
    try:
        status, text = fetch(int(address.rpartition(":")[2]))
        assert status == 200
        assert gauge(text, "kumquatproxy_configuration_version") == 0.0
        assert fetch(int(address.rpartition(":")[2]), "/other")[0] == 404
    finally:
        host.meter_server.stop(0.1)
        host.stop()


def test_a_host_serves_callers_although_the_address_of_metrics_is_taken():
    """Guards against a host that ends because another program has the port."""
    address = demosystem.free_address()
    name, _, port = address.rpartition(":")
    with socket.create_server((name, int(port))):
        host = entryhost.EntryHost(parse(f"metrics = {address}"), seed=1)
        host.start()
        try:
            callers = host.settings.entry.callers.rpartition(":")[2]
            assert fetch(int(callers), "/x")[0] == 503  # no configuration yet
        finally:
            host.stop()


def test_without_an_address_nothing_is_counted():
    """The instruments cost time and memory at each start."""
    host = entryhost.EntryHost(parse(), seed=1)
    assert host.meter_server is None
    host.meter.call("r", "safe", "answered", 0.1, 0.0)


@pytest.fixture
def destination():
    class Stream:
        dropped = 4

        def write(self, text):
            return None

        def flush(self):
            return None

    return logs._Destination(Stream())


def test_lines_that_nobody_can_read_are_counted(destination):
    """Lines over the rate and lines that the reader did not take, since the start."""
    for second in (10.0, 11.0):
        for _ in range(logs.MAX_LINES_PER_S + 3):
            destination({"timestamp": second})
    assert destination.dropped() == 2 * 3 + 4
