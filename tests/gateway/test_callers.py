"""Connections of callers against odd, slow and cut bytes."""

import gevent
import pytest
import rawservers

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import callers, calls

LIMITS = serviceconfig.Limits(2048, 10_000, 0.2, 0.4)
HEAD = b"POST /a%2Fb/../c?q=1 HTTP/1.1\r\nHost: A.example\r\n"


class Recorder:
    """Answer each call with its body and remember it."""

    def __init__(self):
        self.calls = []
        self.gone = 0
        self.delay_s = 0.0

    def serve(self, call, connection):
        self.calls.append(call)
        current = gevent.getcurrent()
        connection.watch(lambda: current.kill(calls.GoneError, block=False))
        try:
            gevent.sleep(self.delay_s)
        except calls.GoneError:
            self.gone += 1
            raise
        connection.answer(200, [], call.body)


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def server(recorder):
    server = callers.CallerServer("127.0.0.1:0", recorder.serve, lambda: LIMITS)
    server.start()
    yield server
    server.stop()


def test_path_and_body_arrive_as_sent(server, recorder):
    """A decoded path would select another route than the caller's."""
    data, _ = rawservers.talk(server.address, HEAD + b"Content-Length: 2\r\n\r\nok")
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ok")
    (call,) = recorder.calls
    assert (call.target, call.method) == (b"/a%2Fb/../c?q=1", b"POST")
    assert (call.host, call.body) == ("a.example", b"ok")


def test_chunked_bodies_are_joined(server, recorder):
    chunks = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    data, _ = rawservers.talk(server.address, HEAD + chunks)
    assert data.endswith(b"abcde") and recorder.calls[0].body == b"abcde"


def test_requests_follow_on_one_connection(server, recorder):
    """Bytes that arrived with the first request belong to the second."""
    one = HEAD + b"Content-Length: 2\r\n\r\n"
    data, _ = rawservers.talk(server.address, one + b"ab" + one + b"cd")
    assert [call.body for call in recorder.calls] == [b"ab", b"cd"]
    assert data.count(b"HTTP/1.1 200") == 2


def test_a_smuggled_request_gets_one_refusal_only(server, recorder):
    """The demo's server answered the refusal and the request hidden in the body."""
    hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
    data, is_closed = rawservers.talk(
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
def test_bad_input_gets_its_status_and_the_connection_closes(server, rest, status):
    data, is_closed = rawservers.talk(server.address, HEAD + rest, wait_s=1.0)
    assert data.startswith(b"HTTP/1.1 " + status) and is_closed


def test_a_body_cut_short_reaches_nobody(server, recorder):
    """A caller that goes within its body has not asked for anything yet."""
    rawservers.talk(server.address, HEAD + b"Content-Length: 9\r\n\r\nabc", 0.05)
    gevent.sleep(0.05)
    assert not recorder.calls


def test_idle_connections_close_after_their_time(server):
    data, is_closed = rawservers.talk(server.address, b"", wait_s=1.0)
    assert (data, is_closed) == (b"", True)


def test_a_caller_that_goes_ends_its_call(server, recorder):
    """Otherwise a server works on for nobody."""
    recorder.delay_s = 1.0
    rawservers.talk(server.address, HEAD + b"Content-Length: 0\r\n\r\n", 0.05)
    gevent.sleep(0.05)
    assert recorder.gone == 1


def test_a_stopping_server_answers_and_closes(server, recorder):
    """Requests on open connections are answered until the process ends."""
    server.start_closing()
    one = HEAD + b"Content-Length: 0\r\n\r\n"
    data, is_closed = rawservers.talk(server.address, one)
    assert data.startswith(b"HTTP/1.1 200") and b"connection: close" in data.lower()
    assert is_closed


def test_a_request_that_has_arrived_is_answered_after_the_close(server, recorder):
    """trouble-2, LOST: a request that had just arrived was run but not answered."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    gevent.sleep(0.05)
    recorder.delay_s = 0.1
    sock.sendall(HEAD + b"Content-Length: 2\r\n\r\nok")
    gevent.sleep(0.05)
    server.close()
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_an_idle_connection_ends_with_the_close(server, recorder):
    """trouble-2, LOST: one that stayed open took a request too late to answer it."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    gevent.sleep(0.05)
    server.close()
    assert sock.recv(65536) == b""


def test_a_connection_ends_after_a_call_that_outlives_the_close(server, recorder):
    """trouble-2 --seed 292485787688, LOST: it took one more call and cut that off."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    recorder.delay_s = 0.2
    one = HEAD + b"Content-Length: 2\r\n\r\nok"
    sock.sendall(one)
    gevent.sleep(0.05)
    server.close()
    gevent.sleep(0.05)
    data = sock.recv(65536)
    assert data.startswith(b"HTTP/1.1 200") and b"connection: close" not in data
    sock.sendall(one)
    assert sock.recv(65536) == b""
    assert len(recorder.calls) == 1


def test_a_connection_counts_while_its_request_arrives(server, recorder):
    """trouble-2 --seed 1069286866644, LOST: the process ended as the call began."""
    host, _, port = server.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), 1.0)
    sock.sendall(HEAD)
    gevent.sleep(0.05)
    server.close()
    gevent.sleep(0.05)
    assert (server.active, server.open_count) == (0, 1)
    sock.sendall(b"Content-Length: 0\r\n\r\n")
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    gevent.sleep(0.05)
    assert server.open_count == 0
