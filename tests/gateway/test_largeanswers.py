"""Answers and requests that are too large to be held, and answers without an end."""

import gevent
import gevent.event
import gevent.socket
import pytest
import rawservers
import test_relay

from kumquatproxy import memorybudget
from kumquatproxy.fleet import engineclient, servers, serviceconfig
from kumquatproxy.gateway import backendconnections, callers, relay

LARGE = b"y" * (3 * relay.MAX_HELD_BYTES)
ENDLESS = [b"x" * 65536] * 400  # 26 MB; the relay closes long before the end


def send_request(address, path, extra=b"Connection: close\r\n"):
    return test_relay.send_request(address, path, extra, 1.5)


def chunked_response(parts, ends=True, status=b"200 OK"):
    head = b"HTTP/1.1 %s\r\nX-Id: 7\r\nX-Seal: 1\r\n" % status
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = [test_relay.make_chunk(part) for part in parts]
    return [head, *chunks, *([b"0\r\n\r\n"] if ends else [])]


def test_large_response_with_a_length_is_relayed_whole():
    """Guards against a limit on the answers of sound servers."""
    with test_relay.running_relay([test_relay.make_response(LARGE)]) as (address, *_):
        data, _ = send_request(address, b"safe")
    assert data.endswith(b"\r\n\r\n" + LARGE)
    assert b"content-length: %d\r\n" % len(LARGE) in data.lower()


def test_large_response_in_chunks_is_relayed_whole():
    """Guards against a body whose end the caller cannot tell."""
    parts = [LARGE[index : index + 50_000] for index in range(0, len(LARGE), 50_000)]
    with test_relay.running_relay([chunked_response(parts)]) as (address, *_):
        data, _ = send_request(address, b"once")
    assert data.endswith(b"0\r\n\r\n") and data.count(b"y") == len(LARGE)


@pytest.mark.parametrize("path", [b"safe", b"once"])
def test_large_response_that_breaks_off_is_not_joined_with_another_one(path):
    """Guards against a body of two responses, and against one that looks whole."""
    cut = [test_relay.make_response(LARGE)[:-1000], None]
    whole = [test_relay.make_response(LARGE)] * 2
    with test_relay.running_relay([cut[0], None], whole) as (address, backends, _):
        backends[0].closes = True
        data, is_closed = send_request(address, path, b"")
        assert is_closed and backends[1].heads == []
    body = data.partition(b"\r\n\r\n")[2]
    assert len(body) < len(LARGE) and not body.strip(b"y")


@pytest.mark.parametrize("path", [b"safe", b"once", b"stream"])
def test_error_response_without_end_is_replaced_or_fails_at_once(path):
    """Guards against a host that collects the body until the deadline."""
    endless = [b"HTTP/1.1 500 No\r\nX-Id: 7\r\nX-Seal: 1\r\n\r\n", *ENDLESS]
    answer = test_relay.make_response()
    if path == b"stream":
        answer = test_relay.make_stream(1, 2)
    with test_relay.running_relay([endless], [answer]) as (address, _, host):
        data, _ = send_request(address, path)
        assert host.memory.held_bytes == 0
    expected = b"HTTP/1.1 502" if path == b"once" else b"HTTP/1.1 200"
    assert data.startswith(expected)


def test_large_error_response_is_replaced_if_another_server_may_be_tried():
    """Guards against an error that is relayed only because it is long."""
    failed = test_relay.make_response(LARGE, status=b"500 Failed")
    with test_relay.running_relay([failed], [test_relay.make_response()]) as (
        address,
        *_,
    ):
        assert send_request(address, b"safe")[0].endswith(b"ok")
    with test_relay.running_relay([failed]) as (address, *_):
        data, _ = send_request(address, b"once")
    assert data.startswith(b"HTTP/1.1 500") and data.endswith(LARGE)


def test_slow_reader_of_a_large_response_is_no_fault_of_the_server():
    """Guards against servers that seem to fail because of their callers."""
    answers = [test_relay.make_response(b"y" * 8_000_000)]
    with test_relay.running_relay(answers) as (address, _, host):
        ip, _, port = address.rpartition(":")
        sock = gevent.socket.create_connection((ip, int(port)), 1.0)
        request = b"POST /once/x HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\n"
        sock.sendall(request + b"Content-Length: 0\r\n\r\n")
        gevent.sleep(1.2)  # beyond the deadline of the route
        (announcement,) = host.table.all()
        health = host.server_selector.view(announcement).health
        assert health.failure_rate == 0.0
        assert host.memory.held_bytes == 0
        sock.close()


def test_body_beyond_the_memory_is_too_large_for_ever():
    """Guards against callers that are told to come back in vain."""
    limits = serviceconfig.Limits(body_bytes=10**9)
    server = callers.CallerServer("127.0.0.1:0", lambda *_: None, lambda: limits)
    server.start()
    size = memorybudget.MemoryBudget().max_message_bytes + 1
    head = b"POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
    data, _ = rawservers.exchange_bytes(server.address, head)
    server.abort()
    assert data.startswith(b"HTTP/1.1 413")


@pytest.mark.parametrize("has_id", [True, False])
def test_refusal_without_end_lets_the_call_run_elsewhere(has_id):
    """Guards against collecting the body of a refusal, which nobody uses."""
    head = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
    head += b"X-Id: 7\r\n\r\n" if has_id else b"\r\n"
    with test_relay.running_relay([[head, *ENDLESS]], [test_relay.make_response()]) as (
        address,
        *_,
    ):
        assert send_request(address, b"once")[0].endswith(b"ok")


def test_late_response_without_end_is_not_discarded_for_ever():
    """Guards against reading the rest of an earlier answer until the deadline."""
    late = [b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: 1\r\n\r\n", *ENDLESS]
    with test_relay.running_relay([late], [test_relay.make_response()]) as (
        address,
        *_,
    ):
        assert send_request(address, b"safe")[0].endswith(b"ok")


def test_response_is_relayed_in_parts_when_the_memory_is_full():
    """Guards against an answer that is lost because other answers are held."""
    with test_relay.running_relay([test_relay.make_response(b"z" * 50_000)]) as (
        address,
        _,
        host,
    ):
        other = memorybudget.Holding(host.memory)
        other.resize(host.memory.capacity_bytes)
        data, _ = send_request(address, b"once")
        other.release()
        assert host.memory.held_bytes == 0
    assert data.endswith(b"z" * 50_000) and data.startswith(b"HTTP/1.1 200")


def test_memory_is_returned_after_each_call():
    """Guards against a budget that fills up with calls that have ended."""
    cut = test_relay.make_response(LARGE)[:-1000]
    answers = [test_relay.make_response(LARGE), cut, test_relay.make_response(), None]
    with test_relay.running_relay(answers) as (address, backends, host):
        backends[0].closes = True
        for _ in answers:
            send_request(address, b"once")
        assert host.memory.held_bytes == 0


def test_fast_server_does_not_keep_other_greenlets_from_running():
    """Guards against a stopped event loop while a server sends without a pause."""
    ticks = []

    def tick():
        while True:
            ticks.append(None)
            gevent.sleep(0)

    ticker = gevent.spawn(tick)
    parts = [b"id: 1\ndata: %s\n\n" % (b"x" * 4096)] * 2000
    head = test_relay.STREAM_HEAD % b"1"
    stream = [head, b"".join(map(test_relay.make_chunk, parts)) + b"0\r\n\r\n"]
    server = rawservers.RawServer([stream])
    link = backendconnections.BackendConnection("i", server.address, 1.0)
    link.send(b"GET", b"/", [(b"host", b"a")], b"")
    link.read_head(lambda status, headers: None)
    gevent.sleep(0.5)  # all that the socket holds has arrived
    ticks.clear()
    size = 0
    while size < 512 * 1024:
        size += len(link.read_part())
    ticker.kill()
    link.close()
    server.close()
    assert len(ticks) >= size // backendconnections.YIELD_INTERVAL_BYTES // 2


class NoTracker:
    """Stand for the trackers of an engine client."""

    def left_s(self, announcement, now):
        return 0.0

    def record_answer(self, *arguments):
        return None


class ReportDialect(test_relay.TestDialect):
    """Ask for a report; there is none that could be read."""

    def report_request(self, announcement):
        return b"GET", b"/report", [(b"host", b"a")], b""

    def read_report(self, body):
        raise AssertionError("the body has no end")


def test_report_without_end_is_given_up():
    """Guards against a control host that collects the report of one engine."""
    server = rawservers.RawServer([[b"HTTP/1.1 200 OK\r\n\r\n", *ENDLESS]])
    tracker = NoTracker()
    client = engineclient.EngineClient(ReportDialect(), tracker, tracker, tracker)
    announcement = servers.Announcement("i-0", "s", server.address, "a", 1, 1, 4)
    assert client.report(announcement) is None
    server.close()
