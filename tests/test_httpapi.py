"""Tests of the planned stop of the HTTP server that serves callers and operators."""

import os
import socket
import time

import gevent
import gevent.socket
import pytest

from kumquatproxy import httpapi

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
ANSWER_S = 0.3


class SlowApplication(httpapi.Application):
    """Answer each request with its body after some time."""

    def answer(self, request, now):
        body = request.body()
        gevent.sleep(ANSWER_S)
        return httpapi.Reply(200, body)


@pytest.fixture
def server():
    server = httpapi.Server("127.0.0.1:0", SlowApplication())
    server.address = server.start().rpartition(":")
    yield server
    server.stop(0.1)


def connect(server, data):
    """Connect and send without letting the server run."""
    host, _, port = server.address
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data)
    return sock


def read_until_close(sock):
    """Return all that a connection still brings, while the server runs."""
    sock = gevent.socket.socket(fileno=sock.detach())
    sock.settimeout(5.0)
    data = b""
    while part := sock.recv(4096):
        data += part
    sock.close()
    return data


def test_request_sent_just_before_the_stop_is_answered(server):
    """Guards against a connection that is reset although its host accepted it."""
    sock = connect(server, REQUEST)
    stop = gevent.spawn(server.drain, 5.0)
    data = read_until_close(sock)
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"hi")
    stop.join(timeout=3.0)
    assert stop.dead


def test_request_on_an_open_connection_during_the_stop_is_answered(server):
    """Guards against a stop that ends between two requests of a connection."""
    sock = connect(server, REQUEST)
    gevent.sleep(ANSWER_S + 0.1)
    assert sock.recv(4096).endswith(b"hi")
    stop = gevent.spawn(server.drain, 5.0)
    gevent.sleep(0.1)
    sock.sendall(REQUEST)
    data = read_until_close(sock)
    assert b"\r\nConnection: close\r\n" in data and data.endswith(b"hi")
    stop.join(timeout=3.0)
    assert stop.dead


def test_answer_that_takes_longer_than_the_grace_of_idle_connections_is_whole(
    server, monkeypatch
):
    monkeypatch.setattr(httpapi, "IDLE_GRACE_S", 0.1)
    sock = connect(server, REQUEST)
    gevent.spawn(server.drain, 5.0)
    assert read_until_close(sock).endswith(b"hi")


def test_idle_connection_does_not_hold_up_a_stop(server):
    """Guards against a stop that lasts until its timeout because of idle callers."""
    sock = connect(server, b"")
    gevent.sleep(0.05)
    started_at = time.monotonic()
    gevent.spawn(server.drain, 20.0).join()
    assert time.monotonic() - started_at < 5.0
    assert read_until_close(sock) == b""


def test_stop_handles_connections_with_high_descriptors(server):
    """Guards against a limit of 1,024 descriptors in the check for idle ones."""
    files = [open(os.devnull) for _ in range(1100)]
    sock = connect(server, b"")
    gevent.sleep(0.05)
    (handler,) = server._server.open_handlers
    assert handler.socket.fileno() > 1024
    handler.end_if_idle()
    assert read_until_close(sock) == b""
    for file in files:
        file.close()


def test_stop_ends_at_its_timeout_beside_an_answer_that_takes_longer(server):
    sock = connect(server, REQUEST)
    gevent.sleep(0.01)
    server.drain(0.1)
    assert sock.fileno() >= 0


def test_request_in_flight_at_the_end_of_a_stop_gets_an_error_response(server):
    """Guards against a closed connection for a call that may have been executed."""
    sock = connect(server, REQUEST)
    gevent.sleep(0.01)
    server.drain(0.1)
    data = read_until_close(sock)
    assert data.startswith(b"HTTP/1.1 502") and b'"executed": "unknown"' in data
    assert b"\r\nConnection: close\r\n" in data


def test_request_that_is_incomplete_at_the_end_of_a_stop_is_rejected(server):
    """Guards against an unknown outcome for a call that nobody has executed."""
    sock = connect(server, REQUEST[:-1])
    gevent.sleep(0.01)
    server.drain(0.1)
    server.stop(0.1)
    data = read_until_close(sock)
    assert data.startswith(b"HTTP/1.1 503") and b'"executed": "no"' in data
