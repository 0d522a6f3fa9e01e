"""Calls whose server asks for a pause, by each path on which they reach servers.

Guards against requests to a server in the pause that it asked the host for. Each server
here answers only a few requests, and its heads tell how many it got.
"""

import gevent
import pytest
import test_forwarding
import test_relay

from kumquatproxy import clock
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import backendconnections, calls, retrybudget, serverlimits

PAUSE = b"X-Not-Run: 1\r\nRetry-After: %s\r\n"


def make_pause(seconds=b"5"):
    return test_relay.make_response(b"", status=b"503 Busy", extra=PAUSE % seconds)


def request_pause(host, seconds=5.0, number=0):
    """Let a server ask for a pause, as an answer to another call would."""
    head = calls.ResponseHead(503, [])
    head.names_pause, head.pause_s = True, seconds
    now = clock.now()
    host.pauses.record_answer(host.table.all()[number], head, now, now)


def retry_after_s(data):
    _, _, rest = data.lower().partition(b"retry-after: ")
    return float(rest.partition(b"\r\n")[0])


@pytest.mark.parametrize("path", [b"safe", b"once"])
def test_later_calls_go_to_other_servers(path):
    answers = [test_relay.make_response()] * 3
    with test_relay.running_relay([make_pause()], answers) as (address, backends, _):
        for _ in range(3):
            assert test_relay.send_request(address, path, wait_s=0.4)[0].endswith(b"ok")
            gevent.sleep(0.15)
    assert [len(backend.heads) for backend in backends] == [1, 3]


@pytest.mark.parametrize("path", [b"safe", b"once", b"stream"])
def test_call_is_rejected_at_once_if_the_pause_outlasts_it(path):
    """Guards against waiting in vain, and against a time at which nothing is served."""
    with test_relay.running_relay([make_pause(), make_pause()]) as (
        address,
        (backend,),
        _,
    ):
        for _ in range(2):
            started_at = clock.now()
            data, _ = test_relay.send_request(address, path, wait_s=0.2)
            assert clock.now() - started_at < 0.5
            assert data.startswith(b"HTTP/1.1 503") and b'"executed":"no"' in data
            assert 4.0 < retry_after_s(data) < 6.5
    assert len(backend.heads) == 1


def test_call_waits_for_the_end_of_a_short_pause():
    """Guards against a retry in the pause, and against a call that is given up."""
    answers = [make_pause(b"0.3"), test_relay.make_stream(1)]
    with test_relay.running_relay(answers) as (address, (backend,), _):
        started_at = clock.now()
        data, _ = test_relay.send_request(address, b"stream", wait_s=0.8)
        assert data.endswith(b"0\r\n\r\n") and clock.now() - started_at >= 0.3
    assert len(backend.heads) == 2


def test_broken_stream_is_not_resumed_at_a_paused_server():
    broken = test_relay.make_stream(1, 2, ends=False)
    rest = test_relay.make_stream(3)
    with test_relay.running_relay([broken], [rest]) as (address, backends, host):
        backends[0].closes = True
        request_pause(host, number=1)
        data, is_closed = test_relay.send_request(address, b"stream")
    assert backends[1].heads == []
    assert test_relay.make_event(2) in data and is_closed
    assert not data.endswith(b"0\r\n\r\n")


def test_silent_server_is_not_left_for_a_paused_one():
    late = [0.9, test_relay.make_response()]
    with test_relay.running_relay([late], [test_relay.make_response()]) as (
        address,
        backends,
        host,
    ):
        request_pause(host, number=1)
        test_relay.send_request(address, b"safe")
    assert backends[1].heads == []


def test_turn_that_was_given_before_the_pause_is_not_used(monkeypatch):
    def take_turn(host, announcement, max_wait_s):
        gevent.spawn_later(0.1, request_pause, host)
        return serverlimits.Turn(True, 0.2)

    monkeypatch.setattr(test_relay.FakeHost, "take_turn", take_turn)
    with test_relay.running_relay([test_relay.make_response()]) as (
        address,
        (backend,),
        _,
    ):
        data, _ = test_relay.send_request(address, b"once", wait_s=0.7)
    assert data.startswith(b"HTTP/1.1 503") and backend.heads == []


class CountingBudget(retrybudget.RetryBudget):
    """A retry budget that keeps what was recorded."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.counted = []

    def record_request(self, service, now):
        self.counted.append("request")

    def record_retry(self, service, now):
        self.counted.append("retry")


class TestConnecting:
    """The pause begins while a call connects to the server selected for it."""

    @pytest.fixture(autouse=True)
    def slow_connections(self, monkeypatch):
        monkeypatch.setattr(
            backendconnections, "BackendConnection", test_relay.SlowConnection
        )

    def test_call_is_sent_to_another_server(self):
        """The connection is kept, and the server does not count as failing."""
        answers = [test_relay.make_response()] * 2
        with test_relay.running_relay(list(answers), list(answers)) as (
            address,
            backends,
            host,
        ):
            gevent.spawn_later(0.1, request_pause, host, 0.5)
            data, _ = test_relay.send_request(address, b"once", wait_s=0.5)
            assert data.endswith(b"ok") and backends[0].heads == []
            view = host.server_selector.view(host.table.all()[0])
            assert view.health.failure_rate == 0.0 and not view.in_flight_calls
            gevent.sleep(0.2)
            test_relay.send_request(address, b"once", wait_s=0.3)
        assert [len(backend.heads) for backend in backends] == [1, 1]
        assert backends[0].connections == 1

    def test_call_counts_once_in_the_retry_budget(self):
        """Guards against a budget that is used up by requests that were not sent."""
        with test_relay.running_relay([], [test_relay.make_response()]) as (
            address,
            _,
            host,
        ):
            host.budget = budget = CountingBudget(1.0, 100.0, 10.0)
            gevent.spawn_later(0.1, request_pause, host)
            data, _ = test_relay.send_request(address, b"once", wait_s=0.5)
        assert data.endswith(b"ok") and budget.counted == ["request"]


def test_forwarded_call_is_not_sent_to_a_server_that_paused_the_host():
    with test_forwarding.running_hosts([test_relay.make_response()]) as (
        cut,
        sound,
        (backend,),
    ):
        request_pause(sound.host)
        data = test_forwarding.send(cut, b"safe")
    assert data.startswith(b"HTTP/1.1 503") and backend.heads == []
    assert 4.0 < retry_after_s(data) < 6.5


def test_next_lifetime_at_the_address_is_used_at_once():
    with test_relay.running_relay([test_relay.make_response()]) as (
        address,
        (backend,),
        host,
    ):
        request_pause(host)
        announcement = servers.Announcement("i-0", "s", backend.address, "a", 2, 1, 4)
        host.table.apply_announcement(announcement, clock.now())
        assert test_relay.send_request(address, b"once")[0].endswith(b"ok")


def test_pause_without_a_not_executed_mark_does_not_promise_that_nothing_ran():
    answer = test_relay.make_response(
        b"", status=b"503 Busy", extra=b"Retry-After: 5\r\n"
    ).replace(b"X-Seal: 1\r\n", b"")
    with test_relay.running_relay([answer], [test_relay.make_response()]) as (
        address,
        backends,
        host,
    ):
        data, _ = test_relay.send_request(address, b"once")
        assert host.pauses.count(clock.now()) == 1
    assert data.startswith(b"HTTP/1.1 502") and backends[1].heads == []
