"""Servers that write an earlier refusal once more on a kept connection.

Guards against telling a caller that its request was not run although a server runs it,
and against running it at a second server.
"""

import contextlib

import gevent.server
import pytest
import rawservers
import test_relay

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import backendconnections, callers, framing, relay

ID = b"X-Id: %s\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n"


class RepeatingServer:
    """Refuse some requests; before the next answer on the connection, do so again."""

    def __init__(self, refusals, has_id=True):
        self.refusals = refusals  # requests that are refused at first
        self.executed_ids = []
        self._has_id = has_id
        self._server = gevent.server.StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _handle(self, sock, address):
        data = repeated = b""
        while part := sock.recv(65536):
            data += part
            end = framing.find_head_end(data)
            if end < 0:
                continue
            _, _, rest = data[:end].lower().partition(b"x-id: ")
            call_id = rest.split(b"\r\n")[0]
            data = data[end:]
            if self.refusals:
                self.refusals -= 1
                repeated = REFUSAL % (ID % call_id if self._has_id else b"")
                sock.sendall(repeated)
                continue
            self.executed_ids.append(call_id)
            with contextlib.suppress(OSError):  # the host may have closed by now
                sock.sendall(repeated)
                gevent.sleep(0.02)
                sock.sendall(test_relay.make_response(call_id=call_id))
            repeated = b""

    def close(self):
        self._server.stop(timeout=0)


def send(address, path, call_id=b"7"):
    head = b"POST /%s/x HTTP/1.1\r\nHost: a\r\nX-Id: %s\r\n" % (path, call_id)
    data = head + b"Content-Length: 0\r\n\r\n"
    return rawservers.exchange_bytes(address, data, 0.3)[0]


@contextlib.contextmanager
def running_relay(*servers):
    host = test_relay.FakeHost(*(server.address for server in servers))
    tested_relay = relay.Relay(host)
    listener = callers.CallerServer(
        "127.0.0.1:0", tested_relay.serve, serviceconfig.Limits
    )
    listener.start()
    try:
        yield listener.address
    finally:
        listener.abort()
        for server in servers:
            server.close()


@pytest.mark.parametrize("path", [b"once", b"safe"])
@pytest.mark.parametrize("has_id", [True, False])
def test_call_that_is_sent_to_its_server_again_is_run_once(path, has_id):
    """Its id is the same then, so a copy of its own refusal would seem to be new."""
    server = RepeatingServer(1, has_id)
    with running_relay(server) as address:
        data = send(address, path)
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ok")
    assert server.executed_ids == [b"7"]


@pytest.mark.parametrize("path", [b"once", b"safe"])
@pytest.mark.parametrize("has_id", [True, False])
def test_next_call_on_the_connection_is_not_refused_by_the_copy(path, has_id):
    """The first call is served by the other server in the end."""
    servers = RepeatingServer(1, has_id), RepeatingServer(0)
    with running_relay(*servers) as address:
        for call_id in (b"7", b"8", b"9"):
            data = send(address, path, call_id)
            assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ok")
            gevent.sleep(0.15)
    executed_ids = servers[0].executed_ids + servers[1].executed_ids
    assert executed_ids == [b"8", b"9", b"7"]


def test_refusal_without_an_id_on_a_kept_connection_is_no_promise():
    """An answer to an earlier call precedes it, so it may belong to that one."""
    odd = REFUSAL % b""
    answers = [test_relay.make_response(), odd + test_relay.make_response(b"2nd")]
    with test_relay.running_relay(answers) as (address, (backend,), host):
        for body in (b"ok", b"2nd"):
            data, _ = test_relay.send_request(address, b"once", wait_s=0.3)
            assert data.startswith(b"HTTP/1.1 200") and data.endswith(body)
    assert backend.connections == 1
    assert host.relay.late_responses == 1


def test_refusal_without_an_id_is_believed_on_a_connection_without_other_calls():
    """Guards against a wait for another answer on one that a probe has opened."""
    answers = [REFUSAL % b""]
    with test_relay.running_relay(answers, [test_relay.make_response()]) as (
        address,
        backends,
        host,
    ):
        server = host.table.all()[0]
        link = backendconnections.BackendConnection(
            server.instance_id, server.address, 1.0
        )
        host.relay.links.release(link)
        data = send(address, b"once")
    assert data.endswith(b"ok")
    assert [backend.connections for backend in backends] == [1, 1]
