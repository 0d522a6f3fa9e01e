"""Memory of host processes under bodies and answers that are large or never end.

Guards against hosts that the platform ends because they hold more than their memory.
"""

import contextlib
import pathlib
import time

import addressblocks
import callerclient
import fakeservers
import gevent
import gevent.pool
import gevent.server
import gevent.socket
import pytest
import smallfleet
import soak

from kumquatproxy import memorybudget

BLOCK = addressblocks.find_block("test_memory")
MEMORY_MB = memorybudget.DEFAULT_MEMORY_MB  # the settings name no other limit
BODY_BYTES = 4 * 1024 * 1024  # max_body_bytes of the platform's example
LOAD_S = 3.0
ENDLESS_CALLERS = 8
NEIGHBOUR_INTERVAL_S = 0.1
# Share of the other requests that are answered at a host that is under load.
MIN_ANSWERED = 0.9
DATA_BLOCK = b"x" * 65536

HEADS = {
    "ok": b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
    "large": b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n",
    "error": b"HTTP/1.1 500 Failed\r\n%s\r\n",
    "body": b"HTTP/1.1 200 OK\r\n%s\r\n",
    "refusal": b"HTTP/1.1 503 Full\r\n%sKumquatproxy-Not-Executed: 1\r\n\r\n",
    "events": b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n",
    "head": b"HTTP/1.1 200 OK\r\n%sX-Long: ",
    "interim": b"",
    # The block of data goes on in a trailer, in the extension of a chunk, in its size.
    "trailer": b"HTTP/1.1 200 OK\r\n%s\r\n2\r\nok\r\n0\r\nX-Long: ",
    "extension": b"HTTP/1.1 200 OK\r\n%s\r\n2;x=",
    "size": b"HTTP/1.1 200 OK\r\n%s\r\n",
}
PARTS = {
    "events": b"id: 1\ndata: x\n\n" * 4096,
    "event": b"data: x\n" * 8192,
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048,
    "chunks": b"1\r\nx\r\n" * 8192,
    "size": b"0" * 65536,
}


class RawServer(fakeservers.FakeServer):
    """Answer each request as the second segment of its path says."""

    def open_listener(self):
        pool = gevent.pool.Pool()
        self._server = gevent.server.StreamServer(self.listen, self._handle, spawn=pool)
        self._server.start()

    def _handle(self, sock, address):
        with contextlib.suppress(OSError):
            self._serve(sock)

    def _serve(self, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(65536)
            if not part:
                return
            data += part
        head = data.partition(b"\r\n\r\n")[0]
        kind = head.split(b"/")[2].decode()
        request_id = head.lower().partition(b"kumquatproxy-request-id: ")[2]
        request_id = request_id.partition(b"\r\n")[0]
        fields = b"Kumquatproxy-Request-Id: %s\r\n" % request_id
        fields += b"Kumquatproxy-Response-Seal: s.1\r\nConnection: close\r\n"
        if kind == "late":
            fields = b"Kumquatproxy-Request-Id: other\r\n"
        if kind == "large":
            sock.sendall(HEADS[kind] % (fields, BODY_BYTES))
            for _ in range(BODY_BYTES // len(DATA_BLOCK)):
                sock.sendall(DATA_BLOCK)
            return
        if kind in ("chunks", "trailer", "extension", "size"):
            fields += b"Transfer-Encoding: chunked\r\n"
        template = HEADS.get(kind, HEADS["events" if kind == "event" else "body"])
        sock.sendall(template % fields if template else b"")
        if kind != "ok":
            part = PARTS.get(kind, DATA_BLOCK)
            while True:
                sock.sendall(part)


class RawFleet(smallfleet.Fleet):
    """Run one entry host in front of two raw servers."""

    server_class = RawServer

    def start(self):
        for _ in range(2):
            self.add_server(slots=64)
        self.start_hosts()
        self.wait_for(lambda: self.ask("ok") == 200)

    def ask(self, kind, path="once", timeout_s=soak.DEADLINE_S):
        """Return the status of a request, 0 without an answer."""
        exchange = callerclient.Exchange("", f"q{time.monotonic_ns()}", timeout_s)
        connection = callerclient.Connection((self.entries[0].ip, soak.CALLER_PORT))
        headers = {
            "Host": "soak.example",
            "Kumquatproxy-Request-Id": exchange.request_id,
        }
        connection.run(exchange, "POST", f"/{path}/{kind}/x", headers)
        return exchange.status


class PeakMemory:
    """Measure the largest resident memory of a process."""

    def __init__(self, process):
        self._folder = pathlib.Path(f"/proc/{process.handle.pid}")
        (self._folder / "clear_refs").write_text("5")  # resets the peak

    def read_mb(self):
        lines = (self._folder / "status").read_text().splitlines()
        (row,) = [line for line in lines if line.startswith("VmHWM:")]
        return float(row.split()[1]) / 1024


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = RawFleet(tmp_path_factory.mktemp("memory"), BLOCK, entry_count=1)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


def request_head(path, length=0):
    return (
        b"POST %s HTTP/1.1\r\nHost: soak.example\r\nKumquatproxy-Request-Id: %d\r\n"
        b"Content-Length: %d\r\n\r\n" % (path, time.monotonic_ns(), length)
    )


def send_and_stop(address, data, parts=1, takes_all=True):
    """Send data and leave the connection open.

    ``parts`` counts the data and the blocks after it. ``takes_all`` is False for a
    caller that reads slowly, and None for one that does not read.
    """
    sock = gevent.socket.create_connection(address, 2.0)
    with contextlib.suppress(OSError):
        sock.settimeout(LOAD_S)
        for _ in range(parts):
            sock.sendall(data)
            data = DATA_BLOCK
    end = time.monotonic() + LOAD_S
    with contextlib.suppress(OSError):
        while takes_all is not None and time.monotonic() < end:
            if not sock.recv(1 << 20 if takes_all else 2048):
                break
            gevent.sleep(0 if takes_all else 0.05)
    gevent.sleep(max(0.0, end - time.monotonic()))
    sock.close()


def run_load(fleet, count, function, *arguments):
    """Run callers at once; return the statuses of other requests meanwhile."""
    callers = [gevent.spawn(function, *arguments) for _ in range(count)]
    statuses = []
    neighbours = []
    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        ask = gevent.spawn(lambda: statuses.append(fleet.ask("ok", "safe")))
        neighbours.append(ask)
        gevent.sleep(NEIGHBOUR_INTERVAL_S)
    gevent.joinall(neighbours)
    gevent.killall(callers)
    return statuses


def check_entry(fleet, count, function, *arguments):
    """Assert that the entry host keeps to its memory and answers other requests."""
    process = fleet.entries[0]
    peak = PeakMemory(process)
    statuses = run_load(fleet, count, function, *arguments)
    assert process.is_running()
    assert peak.read_mb() < MEMORY_MB
    assert statuses.count(200) >= MIN_ANSWERED * len(statuses)


@pytest.mark.parametrize(
    "kind",
    [
        "error",
        "body",
        "chunks",
        "refusal",
        "late",
        "events",
        "event",
        "head",
        "interim",
        "trailer",
        "extension",
        "size",
    ],
)
def test_answers_without_end_keep_to_the_memory(fleet, kind):
    """Guards against a body that is collected until its end, which never comes."""
    path = b"/stream/%s/x" if kind in ("events", "event", "error") else b"/safe/%s/x"
    address = (fleet.entries[0].ip, soak.CALLER_PORT)
    request = request_head(path % kind.encode())
    check_entry(fleet, ENDLESS_CALLERS, send_and_stop, address, request)


@pytest.mark.parametrize("kind", ["large", "body", "events"])
def test_slow_readers_keep_to_the_memory(fleet, kind):
    """Guards against reading answers faster than callers take them."""
    path = b"/stream/events/x" if kind == "events" else b"/once/%s/x" % kind.encode()
    address = (fleet.entries[0].ip, soak.CALLER_PORT)
    check_entry(fleet, 120, send_and_stop, address, request_head(path), 1, False)


@pytest.mark.parametrize("port", [soak.CALLER_PORT, soak.PEER_PORT])
def test_unfinished_request_bodies_keep_to_the_memory(fleet, port):
    """Guards against bodies of callers, or of other hosts, that add up."""
    address = (fleet.entries[0].ip, port)
    request = request_head(b"/once/ok/x", BODY_BYTES)
    parts = BODY_BYTES // len(DATA_BLOCK)
    check_entry(fleet, 120, send_and_stop, address, request, parts, None)


def test_unfinished_heads_keep_to_the_memory(fleet):
    """Guards against connections whose first requests add up."""
    address = (fleet.entries[0].ip, soak.CALLER_PORT)
    head = b"POST /once/ok/x HTTP/1.1\r\nHost: soak.example\r\nX-Long: " + b"x" * 16000
    check_entry(fleet, 600, send_and_stop, address, head, 1, None)


def test_links_of_unknown_hosts_keep_to_the_memory(fleet):
    """Guards against frames that are kept before the other host is known."""
    upgrade = (
        b"GET /link HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\n"
        b"Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
        b"Sec-WebSocket-Version: 13\r\n\r\n"
    )
    frame = b"\x82\xff" + (255 * 1024).to_bytes(8, "big") + b"\0\0\0\0"
    address = (fleet.entries[0].ip, soak.LINK_PORT)
    check_entry(fleet, 300, send_and_stop, address, upgrade + frame, 4, None)


@pytest.mark.parametrize("unit", [b"[],", b"{},", b'"abc",', b'{"":{}},'])
def test_malformed_configurations_keep_to_the_memory(fleet, unit):
    """Guards against a body that takes many times its size when it is parsed."""
    process = fleet.controls[0]
    peak = PeakMemory(process)
    address = f"{process.ip}:{soak.API_PORT}"
    for size in (BODY_BYTES // 2, 2 * BODY_BYTES):
        head, end = b'{"version":1,"services":[],"routes":[', b"0]}"
        body = head + unit * ((size - 64) // len(unit)) + end
        arguments = ("POST", "/-/config/replace", body, 5.0)
        calls = [gevent.spawn(callerclient.call, address, *arguments) for _ in range(8)]
        gevent.joinall(calls)
        statuses = {call.value[0] for call in calls if call.value}
        assert statuses <= {0, 400, 413, 503}
    assert process.is_running()
    assert peak.read_mb() < MEMORY_MB


@pytest.mark.parametrize("path", [b"/-/config/replace", b"/-/instances/i-9/heartbeat"])
def test_unfinished_bodies_at_a_control_host_keep_to_the_memory(fleet, path):
    """Guards against control hosts that end because of their own address."""
    process = fleet.controls[0]
    address = (process.ip, soak.API_PORT)
    peak = PeakMemory(process)
    parts = BODY_BYTES // len(DATA_BLOCK)
    request = request_head(path, BODY_BYTES)
    run_load(fleet, 120, send_and_stop, address, request, parts, None)
    assert process.is_running()
    assert peak.read_mb() < MEMORY_MB
