"""Servers ask for pauses, and several entry hosts with many callers use them.

Guards against hosts that go on sending to a server that has asked them for a pause, by
any path: calls that wait, are retried, resumed or forwarded, and all hosts together at
its end.
"""

import random
import time

import addressblocks
import callerclient
import gevent
import pytest
import smallfleet
import test_cuthosts

BLOCK = addressblocks.find_block("test_pausedservers")
SERVERS = 3
PAUSE_S = 3.0
REQUESTS_PER_S = 60.0


class Run:
    """Keep a fleet and what its callers got."""

    def __init__(self, folder, rng):
        self.fleet = smallfleet.Fleet(folder, BLOCK, entry_count=3)
        self.exchanges = []
        self._rng = rng

    def start(self):
        for _ in range(SERVERS):
            self.fleet.add_server(slots=40)
        self.fleet.start_hosts()
        self.fleet.wait_for(
            lambda: all(
                test_cuthosts.send(self.fleet, entry.ip, "once", self._rng).end
                is callerclient.End.ANSWERED
                for entry in self.fleet.entries
            )
        )

    def send_for(self, seconds):
        """Send requests without waiting for the end of each."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(gevent.spawn(self._send))
            gevent.sleep(self._rng.uniform(0.5, 1.5) / REQUESTS_PER_S)
        gevent.joinall(tasks, raise_error=True)

    def _send(self):
        ip = self._rng.choice(self.fleet.entries).ip
        mode = self._rng.choice(("once", "safe", "stream"))
        self.exchanges.append(test_cuthosts.send(self.fleet, ip, mode, self._rng))

    def excesses(self):
        """Return the pauses in which a host sent too much, by the server's number."""
        found = {
            number: server.pauses.find_excesses(lambda request_id, address, at: address)
            for number, server in enumerate(self.fleet.servers)
        }
        return {number: excesses for number, excesses in found.items() if excesses}


@pytest.fixture
def run(tmp_path):
    run = Run(tmp_path, random.Random(37))
    try:
        run.start()
        yield run
    finally:
        run.fleet.close()


def test_paused_server_gets_no_requests_while_others_serve(run):
    paused = run.fleet.servers[0]
    for _ in range(2):
        paused.begin_pause(PAUSE_S)
        run.send_for(PAUSE_S + 1.0)
    assert len(paused.pauses.asked) >= 2
    assert run.excesses() == {}


def test_leaving_server_gets_no_requests_whatever_its_heartbeats_say(run):
    leaving = run.fleet.servers[0]
    leaving.is_leaving = True
    run.send_for(4.0)
    assert leaving.pauses.left
    late = leaving.pauses.find_late(lambda request_id, address, at: address, 0.5)
    assert not late
    leaving.begin_lifetime()
    run.send_for(2.0)
    assert leaving.pauses.arrivals


def test_paused_servers_get_no_requests_if_all_of_them_pause(run):
    for _ in range(2):
        for server in run.fleet.servers:
            server.begin_pause(PAUSE_S)
        run.send_for(PAUSE_S + 1.0)
    assert run.excesses() == {}
