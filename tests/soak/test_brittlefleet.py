"""Servers say that they fall over if they refuse too many requests in a second.

Guards against hosts whose calls and retries make one server after the other fall over
while there are more calls than places. Refusals are counted over all hosts.
"""

import random
import time

import addressblocks
import callerclient
import gevent
import smallfleet
import soak
import test_cuthosts

BLOCK = addressblocks.find_block("test_brittlefleet")
SERVERS, SLOTS = 4, 2
BEARS_REFUSALS = 6
SECONDS = 10.0
REQUESTS_PER_S = 60.0  # the servers take some 100 a second at best
ALLOWED_FALLS = 2 + SERVERS / 10


def test_brittle_servers_do_not_fall_over_under_load(tmp_path):
    """Hosts learn in the stability window that the servers are brittle."""
    fleet = smallfleet.Fleet(tmp_path, BLOCK, entry_count=4)
    rng = random.Random(27)
    ends = []

    def send(ip, mode):
        exchange = test_cuthosts.send(fleet, ip, mode, rng)
        ends.append((exchange.sent_at, exchange.end))

    try:
        for _ in range(SERVERS):
            fleet.add_server(slots=SLOTS)
        fleet.start_hosts()
        fleet.wait_for(
            lambda: all(
                test_cuthosts.send(fleet, entry.ip, "once", rng).end
                is callerclient.End.ANSWERED
                for entry in fleet.entries
            )
        )
        for server in fleet.servers:
            server.bears_refusals = BEARS_REFUSALS
        begins_at = time.monotonic()
        tasks = []
        while time.monotonic() < begins_at + SECONDS:
            ip = rng.choice(fleet.entries).ip
            mode = rng.choice(("safe", "safe", "stream"))
            tasks.append(gevent.spawn(send, ip, mode))
            gevent.sleep(rng.uniform(0.5, 1.5) / REQUESTS_PER_S)
        gevent.joinall(tasks, raise_error=True)
    finally:
        fleet.close()
    settled_at = begins_at + soak.STABILITY_WINDOW_S
    falls = [
        at for server in fleet.servers for at, _ in server.falls if at > settled_at
    ]
    later = [end for sent_at, end in ends if sent_at > settled_at]
    assert len(falls) <= ALLOWED_FALLS
    assert later.count(callerclient.End.ANSWERED) > len(later) / 4
