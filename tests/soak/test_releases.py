"""A new version is released while one entry host is out of step with the others.

Guards against streams that began on servers of the new version through another host,
and go on at a server of another version at the host that knows nothing of it.
"""

import signal

import addressblocks
import gevent
import pytest
import soak
import test_streamresumption

BLOCK = addressblocks.find_block("test_releases")
STREAMS = 30
# Until a host may conclude that only one version can have begun a stream.
WINDOW_S = 10.0
JOIN_S = 0.8  # until a new server serves at the hosts in step


class Fleet(test_streamresumption.VersionedFleet):
    """Run three entry hosts and servers of one version."""

    def start(self):
        for entry in self.entries:
            entry.cut_ports = (soak.LINK_PROXY_PORT,)
        for _ in range(2):
            self.add_server("v1", slots=64)
        self.start_hosts()
        for entry in self.entries:
            self.wait_for(
                lambda entry=entry: test_streamresumption.Stream(
                    self, entry
                ).read_to_end()
            )


def cut_links(entry):
    """Cut a host off from all other hosts, but not from servers and callers."""
    entry.cut("hang")
    entry.proxy.blocked_directions = {"up", "down"}


def heal_links(entry):
    entry.heal()
    entry.proxy.clear_faults()


def stop(entry):
    entry.signal(signal.SIGSTOP)


def go_on(entry):
    entry.signal(signal.SIGCONT)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("releases"), BLOCK, entry_count=3)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


@pytest.mark.parametrize(
    ("version", "number", "disturb", "repair"),
    [
        ("v2", 1, cut_links, None),
        ("v3", 2, stop, go_on),
        ("v4", 1, cut_links, heal_links),
    ],
)
def test_streams_of_a_new_version_are_not_joined(
    fleet, version, number, disturb, repair
):
    first, other = fleet.entries[0], fleet.entries[number]
    heal_links(other)
    for server in fleet.servers[2:]:
        server.state = "draining"
        server.send_heartbeat(0)
    gevent.sleep(WINDOW_S)
    disturb(other)
    fleet.add_server(version, slots=64)
    gevent.sleep(JOIN_S)
    begun = [test_streamresumption.Stream(fleet, first) for _ in range(STREAMS)]
    gevent.joinall([gevent.spawn(stream.read_events, 3) for stream in begun])
    taken_up = [test_streamresumption.Stream(fleet, other, stream) for stream in begun]
    if repair is not None:
        gevent.sleep(0.1)
        repair(other)
    gevent.joinall([gevent.spawn(stream.read_to_end) for stream in taken_up])
    versions = {version for stream in begun for version in stream.versions}
    assert versions == {"v1", version}
    mixed, _ = test_streamresumption.mixed_and_finished(begun, taken_up)
    assert mixed == 0
    assert {stream.status for stream in taken_up} <= {0, 200, 503}
