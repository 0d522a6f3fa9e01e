"""Callers resume streams at another entry host, before servers of two versions.

Guards against streams with events of two software versions, also when the host that
began the stream was killed, and against resumptions that are held or rejected in vain.
"""

import pathlib
import signal
import time

import addressblocks
import fakeservers
import gevent
import gevent.socket
import pytest
import smallfleet
import soak

BLOCK = addressblocks.find_block("test_streamresumption")
STREAMS = 20
# Longest time for a rejection without a wait, with a lookup at other hosts.
AT_ONCE_S = 0.35
# Time until a change of a server has reached all entry hosts.
SETTLE_S = 1.0


class VersionedServer(fakeservers.FakeServer):
    """Send its software version with each event."""

    def events(self, request_id, first):
        """Yield the events of a stream from number ``first`` on."""
        for number in range(first, fakeservers.EVENT_COUNT + 1):
            gevent.sleep(fakeservers.EVENT_INTERVAL_S)
            yield f"id: {number}\ndata: {self.software_version}\n\n".encode()


class VersionedFleet(smallfleet.Fleet):
    """Run two entry hosts and servers of two software versions."""

    server_class = VersionedServer

    def start(self):
        # Streams that were left hold their slots until a server notices it.
        for version in ("v1", "v2", "v1", "v2"):
            self.add_server(version, slots=STREAMS)
        self.start_hosts()
        self.wait_for_entries()

    def wait_for_entries(self):
        """Wait until both entry hosts serve streams of both versions."""
        for entry in self.entries:
            seen = set()
            self.wait_for(
                lambda entry=entry, seen=seen: (
                    seen.update(Stream(self, entry).read_to_end()) or len(seen) > 1
                )
            )
        gevent.sleep(SETTLE_S)


class Stream:
    """Read a stream, as its caller, over attempts at several entry hosts."""

    def __init__(self, fleet, entry, resumed=None):
        fleet.next_id += 1
        self.request_id = f"a-{time.monotonic_ns():x}-{fleet.next_id}"
        self.versions = []  # of the events received, in order
        self._received = b""
        lines = [
            "POST /stream/x HTTP/1.1",
            "Host: soak.example",
            "Content-Length: 0",
            f"Kumquatproxy-Request-Id: {self.request_id}",
            f"Kumquatproxy-Deadline-Ms: {fleet.stream_timeout_ms - 100}",
        ]
        if resumed is not None:
            lines.append(f"Resumes: {resumed.request_id}")
            lines.append(f"Last-Event-Id: {len(resumed.versions)}")
        self._sock = gevent.socket.socket()
        try:
            self._sock.connect((entry.ip, soak.CALLER_PORT))
            self._sock.sendall("\r\n".join([*lines, "", ""]).encode())
        except OSError:
            pass  # the host is starting, so the first read fails too

    def _receive(self):
        with gevent.Timeout(3.0, False):
            try:
                data = self._sock.recv(65536)
            except OSError:
                return False
            self._received += data
            events = self._received.split(b"\n\n")
            self.versions = [
                event.rpartition(b"data: ")[2].decode()
                for event in events
                if b"\ndata: " in event
            ]
            return bool(data)
        return False

    @property
    def status(self):
        """Return the status of the response, 0 before it."""
        words = self._received.split()
        return int(words[1]) if len(words) > 1 else 0

    def read_events(self, count):
        """Read at least ``count`` events, then close the connection."""
        while len(self.versions) < count and self._receive():
            pass
        self._sock.close()
        return self.versions

    def read_to_end(self):
        """Read the whole response and return the versions of its events."""
        while not self._received.endswith(b"0\r\n\r\n") and self._receive():
            if self.status not in (0, 200):
                break
        self._sock.close()
        return self.versions


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("fleet"))
    running = VersionedFleet(folder, BLOCK)
    try:
        running.start()
        yield running
    finally:
        running.close()


def mixed_and_finished(begun, resumed):
    """Return how many streams have events of two versions, and how many ended whole."""
    mixed = finished = 0
    for first, rest in zip(begun, resumed):
        versions = [*first.versions, *rest.versions]
        mixed += len(set(versions)) > 1
        finished += len(versions) == fakeservers.EVENT_COUNT
    return mixed, finished


def test_stream_resumed_at_another_host_goes_on_at_the_version_that_began_it(fleet):
    first, second = fleet.entries
    begun = [Stream(fleet, first) for _ in range(STREAMS)]
    gevent.joinall([gevent.spawn(stream.read_events, 3) for stream in begun])
    resumed = [Stream(fleet, second, stream) for stream in begun]
    gevent.joinall([gevent.spawn(stream.read_to_end) for stream in resumed])
    assert {version for stream in begun for version in stream.versions} == {"v1", "v2"}
    assert mixed_and_finished(begun, resumed) == (0, STREAMS)


def test_stream_goes_on_at_its_version_after_its_first_host_was_killed(fleet):
    """Guards against a record of the version that only the killed host has.

    The host is killed as soon as each stream has an event.
    """
    first, second = fleet.entries
    begun = [Stream(fleet, first) for _ in range(STREAMS)]
    gevent.joinall([gevent.spawn(stream.read_events, 1) for stream in begun])
    first.terminate(signal.SIGKILL)
    resumed = [Stream(fleet, second, stream) for stream in begun]
    gevent.joinall([gevent.spawn(stream.read_to_end) for stream in resumed])
    first.start()
    fleet.wait_for_entries()
    assert mixed_and_finished(begun, resumed) == (0, STREAMS)


def stream_of(fleet, entry, version):
    """Begin streams until one runs at ``version``, and read its first events."""
    while True:
        stream = Stream(fleet, entry)
        if version in stream.read_events(3):
            return stream


def test_resumption_is_rejected_at_once_if_no_server_of_the_version_serves(fleet):
    first, second = fleet.entries
    server = fleet.add_server("v3")
    begun = stream_of(fleet, first, "v3")
    server.state = "draining"
    fleet.wait_for(lambda: server.send_heartbeat(0))
    gevent.sleep(SETTLE_S)
    started_at = time.monotonic()
    resumed = Stream(fleet, second, begun)
    assert resumed.read_to_end() == [] and resumed.status == 503
    assert time.monotonic() - started_at < AT_ONCE_S


def test_resumption_waits_for_a_server_of_the_version_that_comes_back(fleet):
    first, second = fleet.entries
    server = fleet.add_server("v4")
    begun = stream_of(fleet, first, "v4")
    server.close_listener()
    gevent.spawn_later(0.25, server.open_listener)
    resumed = Stream(fleet, second, begun)
    rest = resumed.read_to_end()
    assert mixed_and_finished([begun], [resumed]) == (0, 1), (resumed.status, rest)


def test_stream_does_not_go_on_at_a_server_that_is_back_at_another_version(fleet):
    """Guards against trust in a heartbeat from before a start of the server.

    The server is back a few tenths of a second after it, and its next one is late.
    """
    first, second = fleet.entries
    server = fleet.add_server("v5")
    begun = [stream_of(fleet, first, "v5") for _ in range(3)]
    other = fleet.add_server("v5")
    gevent.sleep(SETTLE_S)
    fleet.wait_for(lambda: other.send_heartbeat(0))
    other.start_unannounced("v6", 0.3)
    server.close_listener()
    resumed = [Stream(fleet, second, stream) for stream in begun]
    gevent.joinall([gevent.spawn(stream.read_to_end) for stream in resumed])
    assert mixed_and_finished(begun, resumed) == (0, 0)
    assert not any(stream.versions for stream in resumed)
