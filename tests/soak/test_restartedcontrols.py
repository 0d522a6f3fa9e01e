"""Control hosts restart while streams last, and later the streams' entry host ends.

Guards against streams that cannot be taken up, as all hosts that knew the software
version that began them have restarted.
"""

import signal
import time

import addressblocks
import callerclient
import gevent
import pytest
import test_streamresumption

BLOCK = addressblocks.find_block("test_restartedcontrols")
STREAMS = 24
EVENT_COUNT, EVENT_INTERVAL_S = 120, 0.2
FIRST_EVENTS = 3
STABILITY_WINDOW_S = 3.0
START_TIMEOUT_S = 10.0
FACTS_STORED_S = 0.5  # until control hosts have written what they were told
# Of the streams that are taken up, beside the share of new ones that begin.
LEAST_SHARE = 0.5


class SlowServer(test_streamresumption.VersionedServer):
    """Write streams that outlast the restarts."""

    def events(self, request_id, first):
        """Yield the events of a stream from number ``first`` on."""
        for number in range(first, EVENT_COUNT + 1):
            gevent.sleep(EVENT_INTERVAL_S)
            yield f"id: {number}\ndata: {self.software_version}\n\n".encode()


class Fleet(test_streamresumption.VersionedFleet):
    """Run two entry hosts and servers of two versions with long streams."""

    server_class = SlowServer
    stream_timeout_ms = 30_000

    def start(self):
        for version in ("v1", "v2", "v1", "v2"):
            self.add_server(version, slots=200)
        self.start_hosts()
        for entry in self.entries:
            self.wait_for_entry(entry)
        gevent.sleep(STABILITY_WINDOW_S)

    def wait_for_entry(self, entry):
        """Wait until an entry host serves streams of both versions."""
        seen = set()
        self.wait_for(
            lambda: (
                seen.update(test_streamresumption.Stream(self, entry).read_events(1))
                or len(seen) > 1
            )
        )

    def wait_for_control(self, control):
        """Wait until a control host answers reads of the configuration."""
        address = self.api_addresses[self.controls.index(control)]
        end = time.monotonic() + START_TIMEOUT_S
        while callerclient.call(address, "GET", "/-/config/get", b"", 1.0)[0] != 200:
            assert time.monotonic() < end, "a control host does not answer in time"
            gevent.sleep(0.1)


def restart_together(fleet):
    for control in fleet.controls:
        control.signal(signal.SIGKILL)
    for control in fleet.controls:
        control.terminate(signal.SIGKILL)
        control.start()
    for control in fleet.controls:
        fleet.wait_for_control(control)


def restart_together_twice(fleet):
    restart_together(fleet)
    restart_together(fleet)


def kill_in_turn(fleet):
    restart_in_turn(fleet, signal.SIGKILL)


def upgrade(fleet):
    restart_in_turn(fleet, signal.SIGTERM)


def restart_in_turn(fleet, number):
    for control in fleet.controls:
        control.terminate(number)
        control.start()
        fleet.wait_for_control(control)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    running = Fleet(tmp_path_factory.mktemp("controls"), BLOCK)
    try:
        running.start()
        yield running
    finally:
        running.close()


def begin(fleet, entry, resumed):
    """Begin or take up streams and read their first events."""
    streams = [test_streamresumption.Stream(fleet, entry, one) for one in resumed]
    tasks = [gevent.spawn(stream.read_events, FIRST_EVENTS) for stream in streams]
    gevent.joinall(tasks, raise_error=True)
    return streams


def kill_entry(entry):
    entry.terminate(signal.SIGKILL)


def restart_entry(entry):
    """Kill an entry host that knows nothing of its streams when it is back."""
    entry.terminate(signal.SIGKILL)
    entry.start()


@pytest.mark.parametrize("end_entry", [kill_entry, restart_entry])
def test_streams_go_on_elsewhere_if_their_entry_host_ends_before_an_upgrade(
    fleet, end_entry
):
    """Guards against origins that only ended hosts could send again."""
    first, other = fleet.entries
    begun = begin(fleet, first, [None] * STREAMS)
    end_entry(first)
    upgrade(fleet)
    gevent.sleep(STABILITY_WINDOW_S)
    taken_up = begin(fleet, other, begun)
    first.start()
    fleet.wait_for_entry(first)
    mixed, _ = test_streamresumption.mixed_and_finished(begun, taken_up)
    assert mixed == 0
    continued = sum(bool(stream.versions) for stream in taken_up)
    assert continued > LEAST_SHARE * STREAMS, [
        (len(first.versions), second.status, len(second.versions))
        for first, second in zip(begun, taken_up)
    ]


@pytest.mark.parametrize(
    "restart", [upgrade, restart_together, restart_together_twice, kill_in_turn]
)
def test_streams_go_on_elsewhere_after_all_control_hosts_have_restarted(fleet, restart):
    first, other = fleet.entries
    begun = begin(fleet, first, [None] * STREAMS)
    restart(fleet)
    gevent.sleep(STABILITY_WINDOW_S)
    first.terminate(signal.SIGKILL)
    taken_up = begin(fleet, other, begun)
    new = begin(fleet, other, [None] * STREAMS)
    first.start()
    fleet.wait_for_entry(first)
    statuses = sorted(stream.status for stream in taken_up)
    continued = sum(bool(stream.versions) for stream in taken_up)
    started = sum(bool(stream.versions) for stream in new)
    mixed, _ = test_streamresumption.mixed_and_finished(begun, taken_up)
    assert all(stream.versions for stream in begun)
    assert {version for stream in begun for version in stream.versions} == {"v1", "v2"}
    assert mixed == 0
    assert started == STREAMS
    assert continued > LEAST_SHARE * started, statuses


def test_streams_go_on_after_all_hosts_were_killed(fleet):
    """Guards against streams whose versions were known in memory only."""
    first, other = fleet.entries
    hosts = [*fleet.controls, *fleet.entries]
    begun = begin(fleet, first, [None] * STREAMS)
    gevent.sleep(FACTS_STORED_S)
    for host in hosts:
        host.signal(signal.SIGKILL)
    for host in hosts:
        host.terminate(signal.SIGKILL)
        host.start()
    for entry in fleet.entries:
        fleet.wait_for_entry(entry)
    gevent.sleep(STABILITY_WINDOW_S)
    taken_up = begin(fleet, other, begun)
    new = begin(fleet, other, [None] * STREAMS)
    mixed, _ = test_streamresumption.mixed_and_finished(begun, taken_up)
    assert mixed == 0
    started = sum(bool(stream.versions) for stream in new)
    continued = sum(bool(stream.versions) for stream in taken_up)
    assert started == STREAMS
    assert continued > LEAST_SHARE * started, [stream.status for stream in taken_up]
