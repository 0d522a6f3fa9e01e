"""An entry host loses its links to all control hosts while a server leaves.

Guards against a host that goes on sending to the server once its links are back.
"""

import collections
import random
import time

import addressblocks
import callerclient
import gevent
import smallfleet
import soak
import test_cuthosts

BLOCK = addressblocks.find_block("test_cutlinks")
REQUESTS_PER_S = 40.0
CUT_S = 4.0
DRAIN_S = 2.0  # from the acknowledgement on, for hosts in touch


def test_host_without_links_serves_and_then_leaves_a_leaving_server_alone(tmp_path):
    fleet = smallfleet.Fleet(tmp_path, BLOCK, entry_count=2)
    cut = fleet.entries[0]
    cut.cut_ports = (soak.LINK_PROXY_PORT,)
    rng = random.Random(49)
    tasks = []

    def send_until(ends_at):
        while time.monotonic() < ends_at:
            ip = rng.choice(fleet.entries).ip
            tasks.append(gevent.spawn(test_cuthosts.send, fleet, ip, "safe", rng))
            gevent.sleep(rng.uniform(0.5, 1.5) / REQUESTS_PER_S)

    try:
        for _ in range(2):
            fleet.add_server()
        leaving = fleet.servers[0]
        fleet.start_hosts()
        fleet.wait_for(
            lambda: all(
                test_cuthosts.send(fleet, entry.ip, "once", rng).end
                is callerclient.End.ANSWERED
                for entry in fleet.entries
            )
        )
        cut.cut("reset")
        cut.proxy.close_listener()
        cut.proxy.reset()
        gevent.sleep(0.2)
        leaving.state = "draining"
        fleet.wait_for(lambda: leaving.send_heartbeat(0))
        acknowledged_at = time.monotonic()
        send_until(acknowledged_at + CUT_S)
        cut.heal()
        cut.proxy.open_listener()
        healed_at = time.monotonic()
        send_until(healed_at + 2 * soak.STABILITY_WINDOW_S)
        gevent.joinall(tasks, raise_error=True)
    finally:
        fleet.close()
    exchanges_by_id = {task.value.request_id: task.value for task in tasks}
    arrived_at_by_ip = collections.defaultdict(list)
    for at, request_id, _ in leaving.pauses.arrivals:
        if request_id in exchanges_by_id:
            arrived_at_by_ip[exchanges_by_id[request_id].ip].append(at)
    in_touch = arrived_at_by_ip[fleet.entries[1].ip]
    assert max(in_touch, default=0.0) < acknowledged_at + DRAIN_S
    arrived_at = arrived_at_by_ip[cut.ip]
    # It does not know of the leave while it is cut off, and serves.
    assert any(acknowledged_at + DRAIN_S < at < healed_at for at in arrived_at)
    assert max(arrived_at) < healed_at + soak.STABILITY_WINDOW_S
    ends = [exchange.end for exchange in exchanges_by_id.values()]
    assert ends.count(callerclient.End.ANSWERED) > 0.9 * len(ends)
