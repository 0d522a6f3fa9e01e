"""Connections to backend servers against odd bytes from the servers."""

import gevent
import pytest
import rawservers

from kumquatproxy.gateway import backendlinks, calls

OK = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\n%s"
HEADERS = [(b"host", b"a"), (b"content-length", b"0")]


def read_answer(status, headers):
    head = calls.AnswerHead(status, headers)
    head.echoed_id = dict(headers).get(b"x-id", b"").decode()
    return head


def call(pool, server, max_idle_s=5.0):
    link = pool.take("one", server.address, max_idle_s, 1.0)
    try:
        link.send(b"POST", b"/", HEADERS, b"")
        head = link.read_head(read_answer)
        return head, link.read_whole()
    except BaseException:
        link.close()
        raise
    finally:
        pool.give(link)


@pytest.fixture
def pool():
    return backendlinks.LinkPool()


def test_two_answers_in_one_read_stay_apart(pool):
    """The earlier client joined them: a caller got another caller's bytes."""
    server = rawservers.RawServer([OK % (b"1", b"ok") + OK % (b"9", b"XX")] * 2)
    head, body = call(pool, server)
    assert (head.echoed_id, body) == ("1", b"ok")
    assert call(pool, server)[1] == b"ok"
    assert server.connections == 2  # what follows an answer ends the connection


def test_late_bytes_are_noticed_before_the_connection_is_used(pool):
    """An answer that nobody waits for must not meet the next call."""
    server = rawservers.RawServer([OK % (b"1", b"ok")] * 2)
    link = pool.take("one", server.address, 5.0, 1.0)
    link.send(b"POST", b"/", HEADERS, b"")
    link.read_head(read_answer)
    assert link.read_whole() == b"ok"
    pool.give(link)
    assert call(pool, server)[1] == b"ok" and server.connections == 1
    late = rawservers.RawServer([OK % (b"1", b"ok"), OK % (b"2", b"ok")])
    late_pool = backendlinks.LinkPool()
    call(late_pool, late)
    kept = late_pool.take("one", late.address, 5.0, 1.0)
    kept.send(b"POST", b"/", HEADERS, b"")  # its answer arrives while it is kept
    gevent.sleep(0.05)
    late_pool.give(kept)
    late_pool.take("one", late.address, 5.0, 1.0)
    gevent.sleep(0.05)
    assert late.connections == 2


def test_the_answer_to_an_earlier_call_is_skipped(pool):
    """It stands where the own one is expected; the id tells them apart."""
    server = rawservers.RawServer([OK % (b"0", b"XX") + OK % (b"1", b"ok")])
    link = pool.take("one", server.address, 5.0, 1.0)
    link.send(b"POST", b"/", HEADERS, b"")
    assert link.read_head(read_answer).echoed_id == "0"
    link.skip_answer()
    assert link.read_head(read_answer).echoed_id == "1"
    assert link.read_whole() == b"ok"
    assert not link.is_sound


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
def test_answers_that_are_not_whole_fail(pool, answer):
    """An answer that broke off must not look complete."""
    server = rawservers.RawServer([answer], closes=True)
    with pytest.raises(backendlinks.BackendError):
        call(pool, server)


def test_an_answer_without_a_length_ends_with_its_connection(pool):
    server = rawservers.RawServer([b"HTTP/1.1 200 OK\r\n\r\nwhole"], closes=True)
    assert call(pool, server)[1] == b"whole"


def test_a_server_that_closes_is_not_asked_again_on_that_connection(pool):
    closing = OK.replace(b"X-Id", b"Connection: close\r\nX-Id") % (b"1", b"ok")
    server = rawservers.RawServer([closing, OK % (b"2", b"ok")])
    call(pool, server)
    call(pool, server)
    assert server.connections == 2


def test_an_answer_before_the_body_was_read_ends_the_connection(pool):
    """The server reads the rest of the body where the next request would stand."""

    def handle(sock, address):
        sock.recv(10)
        sock.sendall(OK % (b"1", b"no"))
        gevent.sleep(1.0)

    server = gevent.server.StreamServer(("127.0.0.1", 0), handle)
    server.start()
    link = backendlinks.BackendLink("one", f"127.0.0.1:{server.server_port}", 1.0)
    body = b"x" * 20_000_000
    headers = [(b"host", b"a"), (b"content-length", str(len(body)).encode())]
    link.send(b"POST", b"/", headers, body)
    assert link.read_head(read_answer).echoed_id == "1"
    assert link.read_whole() == b"no"
    assert not link.is_sound and not link.sent_whole
    server.stop(timeout=0)
