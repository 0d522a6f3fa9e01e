"""Connections to backend servers: malformed, late and incomplete responses."""

import gevent
import pytest
import rawservers

from kumquatproxy.gateway import backendconnections, calls

OK = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\n%s"
HEADERS = [(b"host", b"a"), (b"content-length", b"0")]


def parse_head(status, headers):
    head = calls.ResponseHead(status, headers)
    head.echoed_id = dict(headers).get(b"x-id", b"").decode()
    return head


def send_call(pool, server, max_idle_s=5.0):
    link = pool.acquire("one", server.address, max_idle_s, 1.0)
    try:
        link.send(b"POST", b"/", HEADERS, b"")
        head = link.read_head(parse_head)
        return head, link.read_body()
    except BaseException:
        link.close()
        raise
    finally:
        pool.release(link)


@pytest.fixture
def pool():
    return backendconnections.ConnectionPool()


def test_two_responses_in_one_read_are_separated(pool):
    """Guards against joining them, which gives a caller another caller's data."""
    server = rawservers.RawServer([OK % (b"1", b"ok") + OK % (b"9", b"XX")] * 2)
    head, body = send_call(pool, server)
    assert (head.echoed_id, body) == ("1", b"ok")
    assert send_call(pool, server)[1] == b"ok"
    assert server.connections == 2  # data after a response closes the connection


def test_connection_with_unread_data_is_not_reused(pool):
    """Guards against reading a late response as that of the next call."""
    server = rawservers.RawServer([OK % (b"1", b"ok")] * 2)
    link = pool.acquire("one", server.address, 5.0, 1.0)
    link.send(b"POST", b"/", HEADERS, b"")
    link.read_head(parse_head)
    assert link.read_body() == b"ok"
    pool.release(link)
    assert send_call(pool, server)[1] == b"ok" and server.connections == 1
    late = rawservers.RawServer([OK % (b"1", b"ok"), OK % (b"2", b"ok")])
    late_pool = backendconnections.ConnectionPool()
    send_call(late_pool, late)
    idle_link = late_pool.acquire("one", late.address, 5.0, 1.0)
    # The response arrives while the link is idle.
    idle_link.send(b"POST", b"/", HEADERS, b"")
    gevent.sleep(0.05)
    late_pool.release(idle_link)
    late_pool.acquire("one", late.address, 5.0, 1.0)
    gevent.sleep(0.05)
    assert late.connections == 2


def test_response_to_an_earlier_call_can_be_discarded(pool):
    """It precedes the expected response and is recognised by its request id."""
    server = rawservers.RawServer([OK % (b"0", b"XX") + OK % (b"1", b"ok")])
    link = pool.acquire("one", server.address, 5.0, 1.0)
    link.send(b"POST", b"/", HEADERS, b"")
    assert link.read_head(parse_head).echoed_id == "0"
    link.discard_response()
    assert link.read_head(parse_head).echoed_id == "1"
    assert link.read_body() == b"ok"
    assert not link.is_reusable


@pytest.mark.parametrize(
    "answer",
    [
        b"garbage that is no answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
def test_malformed_or_incomplete_response_raises_an_error(pool, answer):
    """Guards against taking a truncated response for a complete one."""
    server = rawservers.RawServer([answer], closes=True)
    with pytest.raises(backendconnections.BackendError):
        send_call(pool, server)


def test_chunks_are_read_wherever_their_data_is_split(pool, monkeypatch):
    """Guards against a wait for data that the parser holds already."""
    chunks = b"2\r\nab\r\n3\r\n\r\nc\r\n0\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = rawservers.RawServer([head] * (len(chunks) + 1))
    for end in range(len(chunks) + 1):
        link = pool.acquire("one", server.address, 5.0, 1.0)
        link.send(b"POST", b"/", HEADERS, b"")
        received = [head + chunks[:end], chunks[end:]]
        monkeypatch.setattr(
            backendconnections.BackendConnection,
            "_recv",
            lambda self, parts=received: parts.pop(0),
        )
        link.read_head(parse_head)
        assert link.read_body() == b"ab\r\nc"
        link.close()


def test_limit_of_a_read_moves_on_with_the_reads(pool):
    """One timer serves the reads of a response, whatever limit each of them has."""
    server = rawservers.RawServer([OK % (b"1", b"ok")])
    link = pool.acquire("one", server.address, 5.0, 1.0)

    def read(limit_s, wait_s):
        link.read_with_timeout(limit_s, lambda: gevent.sleep(wait_s), lambda: 0.0)

    for _ in range(4):
        read(0.1, 0.05)
    read(None, 0.15)
    read(5.0, 0.0)
    with pytest.raises(backendconnections.StallError):
        link.read_with_timeout(0.1, lambda: gevent.sleep(3.0), lambda: 0.0)
    gevent.sleep(0.15)  # no read is limited by then
    link.close()


def test_response_without_a_length_ends_when_the_connection_closes(pool):
    server = rawservers.RawServer([b"HTTP/1.1 200 OK\r\n\r\nwhole"], closes=True)
    assert send_call(pool, server)[1] == b"whole"


def test_connection_is_not_reused_after_connection_close_header(pool):
    closing = OK.replace(b"X-Id", b"Connection: close\r\nX-Id") % (b"1", b"ok")
    server = rawservers.RawServer([closing, OK % (b"2", b"ok")])
    send_call(pool, server)
    send_call(pool, server)
    assert server.connections == 2


def test_connection_is_not_reused_after_a_response_before_the_end_of_the_body(pool):
    """Guards against a server that takes the next request for the rest of the body."""

    def handle(sock, address):
        sock.recv(10)
        sock.sendall(OK % (b"1", b"no"))
        gevent.sleep(1.0)

    server = gevent.server.StreamServer(("127.0.0.1", 0), handle)
    server.start()
    link = backendconnections.BackendConnection(
        "one", f"127.0.0.1:{server.server_port}", 1.0
    )
    body = b"x" * 20_000_000
    headers = [(b"host", b"a"), (b"content-length", str(len(body)).encode())]
    link.send(b"POST", b"/", headers, body)
    assert link.read_head(parse_head).echoed_id == "1"
    assert link.read_body() == b"no"
    assert not link.is_reusable and not link.is_fully_sent
    server.stop(timeout=0)


@pytest.mark.parametrize("address", ["127.0.0.1:65536", "127.0.0.1:-1", "host", "a:b"])
def test_address_that_cannot_exist_is_unreachable(address):
    """Guards against an error that tasks do not expect of a connection."""
    with pytest.raises(OSError):
        backendconnections.BackendConnection("i", address, 0.2)


def test_connection_that_was_open_at_a_time_is_preferred(pool):
    """Guards against a wait for a heartbeat beside a connection that needs none."""
    server = rawservers.RawServer([OK % (b"1", b"ok")] * 4)
    earlier, later = [pool.acquire("one", server.address, 5.0, 1.0) for _ in range(2)]
    pool.release(earlier)
    pool.release(later)
    between = (earlier.opened_at + later.opened_at) / 2
    assert pool.has_idle("one", 5.0, between)
    assert not pool.has_idle("one", 5.0, earlier.opened_at - 0.001)
    assert not pool.has_idle("two", 5.0, between)
    assert pool.acquire("one", server.address, 5.0, 1.0, "", between) is earlier
    assert pool.acquire("one", server.address, 5.0, 1.0, "", between) is later
    new = pool.acquire("one", server.address, 5.0, 1.0, "", between)
    assert new.opened_at > between and not new.had_earlier_call
