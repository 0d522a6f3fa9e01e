"""Metrics of a host: counters, gauges, bounded labels, endpoint."""

import socket

import gevent
import geventhttpclient
import pytest

from kumquatproxy import logs
from kumquatproxy.fleet import (
    deferredmeter,
    entryhost,
    fleetsettings,
    meters,
    serviceconfig,
)
from kumquatproxy.laboratory import demosystem
from kumquatproxy.membership import transport

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


class Request:
    def __init__(self, path):
        self.path = path


def parse(metrics=""):
    addresses = {
        name: demosystem.free_address() for name in ("links", "callers", "readiness")
    }
    return fleetsettings.parse(SETTINGS.format(metrics=metrics, **addresses))


def gauge(text, name):
    (line,) = [row for row in text.splitlines() if row.startswith(f"{name}{{")]
    return float(line.rpartition(" ")[2])


def fetch(port, path="/metrics"):
    client = geventhttpclient.HTTPClient("127.0.0.1", port, network_timeout=5.0)
    try:
        response = client.get(path)
        return response.status_code, bytes(response.read()).decode()
    finally:
        client.close()


def test_calls_attempts_and_orders_are_counted():
    meter = meters.Meter(dict)
    for outcome in ("answered", "answered", "overloaded"):
        meter.call("summary", "stream", outcome, 0.3, 0.02)
    meter.attempt("engines", "lost")
    meter.order("load", "accepted")
    lines = meter.page().decode().splitlines()
    counts = [line for line in lines if "duration_seconds_count" in line]
    assert len(counts) == 2
    (answered,) = [line for line in counts if 'outcome="answered"' in line]
    assert 'route="summary"' in answered and answered.endswith(" 2.0")
    assert any("attempts" in line and 'outcome="lost"' in line for line in lines)
    assert any("orders" in line and 'action="load"' in line for line in lines)


def test_what_is_recorded_before_the_first_page_is_on_it():
    meter = deferredmeter.DeferredMeter(dict)
    meter.call("summary", "stream", "answered", 0.3, 0.02)
    meter.attempt("engines", "lost")
    application = deferredmeter.MeterApplication(meter)
    for count in (1.0, 2.0):
        text = application.answer(Request("/metrics"), 0.0).body.decode()
        assert gauge(text, "kumquatproxy_call_wait_seconds_count") == count
        assert gauge(text, "kumquatproxy_attempts_total") == 1.0
        meter.call("summary", "stream", "answered", 0.3, 0.02)
    meter.close()


def test_records_without_a_page_are_bounded(monkeypatch):
    monkeypatch.setattr(deferredmeter, "MAX_RECORDS", 3)
    meter = deferredmeter.DeferredMeter(dict)
    for _ in range(4):
        meter.attempt("engines", "lost")
    assert len(meter._records) == 4
    with gevent.Timeout(10.0):
        while meter._meter is None:
            gevent.sleep(0.01)
    meter.attempt("engines", "lost")
    assert meter._records == []


def test_number_of_route_labels_is_bounded():
    """Guards against unbounded memory as the operator keeps adding routes."""
    meter = meters.Meter(dict)
    for index in range(3 * meters.MAX_ROUTES):
        meter.call(f"r{index}", "safe", "answered", 0.1, 0.0)
    counts = [
        line
        for line in meter.page().decode().splitlines()
        if "duration_seconds_count" in line
    ]
    assert len(counts) == meters.MAX_ROUTES + 1
    (other,) = [line for line in counts if f'route="{meters.OTHER_ROUTES}"' in line]
    assert other.endswith(f" {2.0 * meters.MAX_ROUTES}")


def test_gauges_are_read_at_each_scrape():
    values = {"calls.waiting": 3}
    meter = meters.Meter(lambda: values)
    assert gauge(meter.page().decode(), "kumquatproxy_calls_waiting") == 3.0
    values["calls.waiting"] = 5
    assert gauge(meter.page().decode(), "kumquatproxy_calls_waiting") == 5.0


def test_messages_are_counted_by_kind_and_data_centre():
    traffic = transport.Traffic()
    meter = meters.Meter(dict, traffic=traffic)
    for size in (100, 50):
        traffic.add("load-push", False, size)
    traffic.add("load-push", True, 7)
    lines = meter.page().decode().splitlines()
    (line,) = [
        line
        for line in lines
        if "messages_bytes" in line and 'data_centre="other"' in line
    ]
    assert 'kind="load-push"' in line and line.endswith(" 150.0")


def test_every_gauge_of_an_entry_host_is_registered():
    """Guards against values that are never exported for lack of a gauge."""
    host = entryhost.EntryHost(parse(), seed=1)
    assert host.gauges().keys() <= meters.GAUGES.keys()


def test_entry_host_serves_metrics():
    address = demosystem.free_address()
    host = entryhost.EntryHost(parse(f"metrics = {address}"), seed=1)
    host.start()
    try:
        status, text = fetch(int(address.rpartition(":")[2]))
        assert status == 200
        assert gauge(text, "kumquatproxy_configuration_version") == 0.0
        assert gauge(text, "kumquatproxy_configuration_known") == 0.0
        assert fetch(int(address.rpartition(":")[2]), "/other")[0] == 404
    finally:
        host.meter_server.stop(0.1)
        host.stop()


@pytest.mark.parametrize("version", [0, -3])
def test_gauges_tell_a_version_up_to_0_from_none(version):
    """Guards against hosts without a configuration that seem to have one."""
    host = entryhost.EntryHost(parse(), seed=1)
    assert host.gauges()["configuration.known"] == 0.0
    host.configuration = serviceconfig.Configuration(version, (), ())
    values = host.gauges()
    assert (values["configuration.version"], values["configuration.known"]) == (
        version,
        1.0,
    )


def test_host_serves_callers_if_the_metrics_address_is_in_use():
    """Guards against a host that exits because another process has the port."""
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


def test_no_meter_is_created_without_a_metrics_address():
    """The instruments take time and memory at each start."""
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


def test_dropped_log_lines_are_counted(destination):
    """Counts lines above the rate limit and lines dropped by the stream."""
    for second in (10.0, 11.0):
        for _ in range(logs.MAX_LINES_PER_S + 3):
            destination({"timestamp": second})
    assert destination.dropped() == 2 * 3 + 4
