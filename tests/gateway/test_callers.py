"""Connections of callers: malformed, slow and truncated requests, and shutdown."""

import gevent
import pytest
import rawservers

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import callers, calls

LIMITS = serviceconfig.Limits(2048, 10_000, 0.2, 0.4)
HEAD = b"POST /a%2Fb/../c?q=1 HTTP/1.1\r\nHost: A.example\r\n"


class Recorder:
    """Record each call and respond with its body."""

    def __init__(self):
        self.calls = []
        self.disconnects = 0
        self.delay_s = 0.0

    def serve(self, call, connection):
        self.calls.append(call)
        current = gevent.getcurrent()
        connection.watch_for_disconnect(
            lambda: current.kill(calls.ResponseAbortedError, block=False)
        )
        try:
            gevent.sleep(self.delay_s)
        except calls.ResponseAbortedError:
            self.disconnects += 1
            raise
        connection.send_response(200, [], call.body)


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def server(recorder):
    server = callers.CallerServer("127.0.0.1:0", recorder.serve, lambda: LIMITS)
    server.start()
    yield server
    server.abort()


def test_path_and_body_are_not_modified(server, recorder):
    """Guards against decoding the path, which may select another route."""
    data, _ = rawservers.exchange_bytes(
        server.address, HEAD + b"Content-Length: 2\r\n\r\nok"
    )
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ok")
    (call,) = recorder.calls
    assert (call.target, call.method) == (b"/a%2Fb/../c?q=1", b"POST")
    assert (call.host, call.body) == ("a.example", b"ok")


def test_chunked_body_is_joined(server, recorder):
    chunks = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    data, _ = rawservers.exchange_bytes(server.address, HEAD + chunks)
    assert data.endswith(b"abcde") and recorder.calls[0].body == b"abcde"


def test_pipelined_requests_are_served_in_order(server, recorder):
    """Guards against losing data of the second request received with the first."""
    request = HEAD + b"Content-Length: 2\r\n\r\n"
    data, _ = rawservers.exchange_bytes(
        server.address, request + b"ab" + request + b"cd"
    )
    assert [call.body for call in recorder.calls] == [b"ab", b"cd"]
    assert data.count(b"HTTP/1.1 200") == 2


def test_request_with_ambiguous_framing_gets_one_error_response(server, recorder):
    """Guards against request smuggling: the hidden request must not be served.

    A server that accepts both lengths responds to two requests.
    """
    hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
    data, is_closed = rawservers.exchange_bytes(
        server.address,
        HEAD
        + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        + hidden,
    )
    assert data.count(b"HTTP/1.1") == 1 and data.startswith(b"HTTP/1.1 400")
    assert is_closed and not recorder.calls


@pytest.mark.parametrize(
    ("rest", "status"),
    [
        (b"Content-Length: 10001\r\n\r\n", b"413"),
        (b"X: " + b"a" * 3000 + b"\r\n\r\n", b"431"),
        (b"X: " + b"a" * 3000, b"431"),
        (b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (b"X: never ends", b"408"),
    ],
)
def test_invalid_request_gets_an_error_status_and_the_connection_closes(
    server, rest, status
):
    data, is_closed = rawservers.exchange_bytes(server.address, HEAD + rest, wait_s=1.0)
    assert data.startswith(b"HTTP/1.1 " + status) and is_closed


def test_request_with_an_incomplete_body_is_not_served(server, recorder):
    """Guards against serving a call whose caller disconnects within the body."""
    rawservers.exchange_bytes(
        server.address, HEAD + b"Content-Length: 9\r\n\r\nabc", 0.05
    )
    gevent.sleep(0.05)
    assert not recorder.calls


def test_idle_connection_closes_after_the_timeout(server):
    data, is_closed = rawservers.exchange_bytes(server.address, b"", wait_s=1.0)
    assert (data, is_closed) == (b"", True)


def test_call_is_cancelled_when_the_caller_disconnects(server, recorder):
    """Guards against a server that continues work after its caller has disconnected."""
    recorder.delay_s = 1.0
    rawservers.exchange_bytes(server.address, HEAD + b"Content-Length: 0\r\n\r\n", 0.05)
    gevent.sleep(0.05)
    assert recorder.disconnects == 1


def test_stopping_server_responds_and_closes_the_connection(server, recorder):
    """Guards against dropping requests on open connections while the host stops."""
    server.disable_keep_alive()
    request = HEAD + b"Content-Length: 0\r\n\r\n"
    data, is_closed = rawservers.exchange_bytes(server.address, request)
    assert data.startswith(b"HTTP/1.1 200") and b"connection: close" in data.lower()
    assert is_closed


def test_request_received_before_the_close_gets_a_response(server, recorder):
    """Guards against executing a request just received without sending a response."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    gevent.sleep(0.05)
    recorder.delay_s = 0.1
    sock.sendall(HEAD + b"Content-Length: 2\r\n\r\nok")
    gevent.sleep(0.05)
    server.stop_accepting()
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_idle_connection_is_closed_with_the_server(server, recorder):
    """Guards against a request that arrives on an idle connection during the stop."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    gevent.sleep(0.05)
    server.stop_accepting()
    assert sock.recv(65536) == b""


def test_connection_closes_after_a_call_in_flight_during_the_close(server, recorder):
    """Guards against accepting a further call, which the stop then interrupts."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    recorder.delay_s = 0.2
    request = HEAD + b"Content-Length: 2\r\n\r\nok"
    sock.sendall(request)
    gevent.sleep(0.05)
    server.stop_accepting()
    gevent.sleep(0.05)
    data = sock.recv(65536)
    assert data.startswith(b"HTTP/1.1 200") and b"connection: close" not in data
    sock.sendall(request)
    assert sock.recv(65536) == b""
    assert len(recorder.calls) == 1


def test_connection_is_counted_while_a_request_is_being_received(server, recorder):
    """Guards against a process that exits while it is receiving a request."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    sock.sendall(HEAD)
    gevent.sleep(0.05)
    server.stop_accepting()
    gevent.sleep(0.05)
    assert (server.in_flight_count, server.open_count) == (0, 1)
    sock.sendall(b"Content-Length: 0\r\n\r\n")
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    gevent.sleep(0.05)
    assert server.open_count == 0
