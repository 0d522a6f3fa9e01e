"""More callers keep connections than a host may have open.

Guards against a host that says it is ready and takes no new connection, because idle
ones keep all places.
"""

import contextlib
import socket

import gevent
import gevent.socket
import pytest
import rawservers

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import callers

LIMIT = 40
REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
NEW_REQUEST = b"GET /new HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
ANSWER_S = 1.0  # callers leave a request that was not answered after this time
IDLE_S = 1.2 * callers.MIN_IDLE_S


class Server:
    """Serve requests after ``delay_s`` and count them by their path."""

    def __init__(self):
        self.delay_s = 0.0
        self.served = []
        self.callers = callers.CallerServer(
            "127.0.0.1:0", self._serve, serviceconfig.Limits
        )
        self.callers.start()

    def _serve(self, call, connection):
        gevent.sleep(self.delay_s)
        self.served.append(call.target)
        connection.send_response(200, [], b"")

    def connect(self):
        host, _, port = self.callers.address.rpartition(":")
        return gevent.socket.create_connection((host, int(port)))

    def ask_anew(self):
        """Return whether a new connection is served in time."""
        data, _ = rawservers.exchange_bytes(self.callers.address, NEW_REQUEST, ANSWER_S)
        return data.startswith(b"HTTP/1.1 200")


@pytest.fixture
def server(monkeypatch):
    monkeypatch.setattr(callers, "MAX_CONNECTIONS", LIMIT)
    running = Server()
    yield running
    running.callers.abort()


def ask(sock, number):
    """Send a request on a kept connection; return whether it is answered."""
    with gevent.Timeout(ANSWER_S, False), contextlib.suppress(OSError):
        sock.sendall(REQUEST % number)
        return sock.recv(65536).startswith(b"HTTP/1.1 200")
    return False


def keep(server, count):
    """Open connections, send a request on each and keep them."""
    socks = [server.connect() for _ in range(count)]
    for number, sock in enumerate(socks):
        ask(sock, number)
    return socks


def test_new_callers_are_served_while_many_connections_are_idle(server):
    socks = keep(server, LIMIT)
    gevent.sleep(IDLE_S)
    tasks = [gevent.spawn(server.ask_anew) for _ in range(LIMIT)]
    gevent.joinall(tasks, raise_error=True)
    assert all(task.value for task in tasks)
    assert not server.callers.is_full
    assert len(socks) == LIMIT


def test_connections_that_were_used_lately_are_kept(server):
    socks = keep(server, LIMIT)
    gevent.sleep(IDLE_S / 2)
    used = socks[:10]  # the oldest ones
    assert all(ask(sock, 100) for sock in used)
    gevent.sleep(IDLE_S / 2)
    assert server.ask_anew()
    assert all(ask(sock, 200) for sock in used)


def test_calls_in_flight_are_not_interrupted_and_the_host_is_not_ready(server):
    server.delay_s = IDLE_S + 0.5
    socks = [server.connect() for _ in range(LIMIT)]
    for number, sock in enumerate(socks):
        sock.sendall(REQUEST % number)
    gevent.sleep(IDLE_S)
    assert server.callers.is_full
    answers = [sock.recv(65536) for sock in socks]
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


def test_connection_with_a_request_that_was_not_read_yet_is_not_closed(server):
    """Guards against a request that is lost as it crosses the decision."""
    sock = server.connect()
    assert ask(sock, 1)
    gevent.sleep(0.05)
    (connection,) = server.callers._is_serving_by_connection
    sock.sendall(REQUEST % 2)
    # The callback runs before the greenlet of the connection reads the request.
    connection.close_if_unused()
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    assert server.served == [b"/1", b"/2"]


def test_few_connections_are_kept_while_they_are_idle(server):
    socks = keep(server, int(callers.CROWDED_SHARE * LIMIT))
    gevent.sleep(IDLE_S)
    assert all(ask(sock, 300) for sock in socks)


def test_requests_of_callers_that_have_left_are_not_served_beside_many(server):
    """Guards against a host that serves only callers that waited too long for it."""
    socks = keep(server, LIMIT)
    assert server.callers._room_maker is not None
    host, _, port = server.callers.address.rpartition(":")
    server.served.clear()
    for _ in range(10):
        # Blocks, so that the server accepts the connection after it was closed.
        sock = socket.create_connection((host, int(port)))
        sock.sendall(NEW_REQUEST)
        sock.close()
    gevent.sleep(IDLE_S)
    assert server.ask_anew()
    assert server.served == [b"/new"]
    assert len(socks) == LIMIT
