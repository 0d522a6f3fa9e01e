"""All entry hosts are killed at once while streams of several versions run.

Guards against streams whose callers take them up again and that are joined from two
software versions, whatever happens to the control hosts, which keep the origins, and
while the servers of a version leave.
"""

import random
import signal

import addressblocks
import fakeservers
import gevent
import pytest
import test_streamresumption

BLOCK = addressblocks.find_block("test_rejoinedstreams")
STREAMS = 40
TAKE_UPS = 3  # of a caller
VERSIONS = ("v1", "v2", "v3")


def leave_alone(fleet):
    return None


def kill_one(fleet):
    fleet.controls[0].terminate(signal.SIGKILL)
    fleet.controls[0].start()


def kill_all(fleet):
    for control in fleet.controls:
        control.signal(signal.SIGKILL)
    for control in fleet.controls:
        control.terminate(signal.SIGKILL)
        control.start()


def pause_two(fleet):
    for control in fleet.controls[:2]:
        control.signal(signal.SIGSTOP)
    gevent.sleep(1.0)
    for control in fleet.controls[:2]:
        control.signal(signal.SIGCONT)


def lose_disk(fleet):
    control = fleet.controls[0]
    control.terminate(signal.SIGKILL)
    control.delete_data_folder()
    control.start()


class Fleet(test_streamresumption.VersionedFleet):
    """Run three entry hosts and two servers of each version."""

    def start(self):
        for version in VERSIONS * 2:
            self.add_server(version, slots=64)
        self.start_hosts()
        self.wait_for_entries()

    def drain(self, version):
        """Let the servers of a version leave."""
        for server in self.servers:
            if server.software_version == version:
                server.state = "draining"
                server.send_heartbeat(0)

    def kill_entries(self):
        """Kill all entry hosts at once and start them again."""
        for entry in self.entries:
            entry.signal(signal.SIGKILL)
        for entry in self.entries:
            entry.terminate(signal.SIGKILL)
            entry.start()


class Taker:
    """Begin a stream, and take it up again at any host when it breaks off."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.attempts = []

    def run(self):
        stream = self._begin(None)
        for _ in range(TAKE_UPS):
            if not stream.versions or len(stream.versions) >= fakeservers.EVENT_COUNT:
                return
            gevent.sleep(self.rng.uniform(0.2, 0.9))
            taken_up = self._begin(stream)
            stream.versions += taken_up.versions

    def _begin(self, resumed):
        entry = self.rng.choice(self.fleet.entries)
        stream = test_streamresumption.Stream(self.fleet, entry, resumed)
        self.attempts.append(stream)
        stream.read_to_end()
        return stream


CASES = [
    (leave_alone, True),
    (kill_one, True),
    (pause_two, True),
    (lose_disk, False),
]
LONG_CASES = [
    (disturb, drains)
    for disturb in (leave_alone, kill_one, pause_two, lose_disk, kill_all)
    for drains in (False, True)
    if (disturb, drains) not in CASES
]


@pytest.mark.parametrize(
    ("disturb", "drains"),
    [*CASES, *(pytest.param(*case, marks=pytest.mark.fuzz) for case in LONG_CASES)],
)
def test_no_stream_is_joined_from_two_versions(tmp_path, disturb, drains):
    fleet = Fleet(tmp_path, BLOCK, entry_count=3)
    rng = random.Random(37)
    try:
        fleet.start()
        takers = [Taker(fleet, rng) for _ in range(STREAMS)]
        tasks = [gevent.spawn(taker.run) for taker in takers]
        gevent.sleep(0.15)
        if drains:
            fleet.drain("v1")
        disturbance = gevent.spawn(disturb, fleet)
        fleet.kill_entries()
        gevent.joinall([*tasks, disturbance], raise_error=True)
    finally:
        fleet.close()
    begun = [taker.attempts[0] for taker in takers if taker.attempts[0].versions]
    taken_up = [stream for taker in takers for stream in taker.attempts[1:]]
    answered = [stream for stream in taken_up if stream.status == 200]
    mixed = [stream.versions for stream in begun if len(set(stream.versions)) > 1]
    assert len(begun) > STREAMS / 2 and len(taken_up) > STREAMS / 2
    assert answered or disturb is kill_all
    assert mixed == []
