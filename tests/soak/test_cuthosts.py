"""Entry hosts lose their path to all backend servers; callers still reach them.

Guards against callers that are served only if they happen to reach another host. The
control hosts and the other entry hosts reach all.
"""

import random
import time

import addressblocks
import callerclient
import cuttablehost
import gevent
import pytest
import smallfleet
import soak

SERVERS = 4
CUT_S = 8.0
REQUESTS_PER_S = 20.0
CLOSE_SHARE = 0.2  # of connections, by the servers
MODES = ("once", "safe", "stream")


@pytest.fixture(params=cuttablehost.MODES)
def cut_run(request, tmp_path):
    """Cut two of four entry hosts; return the exchanges with each entry host."""
    number = cuttablehost.MODES.index(request.param)
    block = addressblocks.find_block("test_cuthosts", number)
    fleet = smallfleet.Fleet(tmp_path, block, entry_count=4)
    rng = random.Random(27)
    exchanges_by_ip = {entry.ip: [] for entry in fleet.entries}
    try:
        for _ in range(SERVERS):
            fleet.add_server().close_share = CLOSE_SHARE
        fleet.start_hosts()
        fleet.wait_for(
            lambda: all(
                send(fleet, entry.ip, mode, rng).end is callerclient.End.ANSWERED
                for entry in fleet.entries
                for mode in MODES
            )
        )
        for entry in fleet.entries[:2]:
            entry.cut(request.param)
        cut_at = time.monotonic()
        tasks = []
        while time.monotonic() < cut_at + CUT_S:
            ip = rng.choice(fleet.entries).ip
            mode = rng.choice(MODES)
            task = gevent.spawn(send, fleet, ip, mode, rng)
            tasks.append((ip, time.monotonic(), task))
            gevent.sleep(rng.uniform(0.5, 1.5) / REQUESTS_PER_S)
        gevent.joinall([task for _, _, task in tasks], raise_error=True)
        for ip, sent_at, task in tasks:
            if sent_at > cut_at + soak.STABILITY_WINDOW_S:
                exchanges_by_ip[ip].append(task.value)
        yield fleet, exchanges_by_ip
    finally:
        fleet.close()


def send(fleet, ip, mode, rng):
    """Send a request on a new connection and return the exchange."""
    request_id = f"{mode}-{rng.getrandbits(48):012x}"
    exchange = callerclient.Exchange(ip, request_id, soak.DEADLINE_S)
    headers = {
        "Host": "soak.example",
        "Kumquatproxy-Request-Id": request_id,
        "Kumquatproxy-Deadline-Ms": f"{soak.DEADLINE_S * 1000:.0f}",
    }
    connection = soak.caller_connection(ip)
    connection.run(exchange, "POST", f"/{mode}/{request_id}", headers)
    connection.close()
    return exchange


def test_callers_of_hosts_without_a_path_to_servers_are_served(cut_run):
    """The share served at the first attempt is two thirds of that at other hosts."""
    fleet, exchanges_by_ip = cut_run
    cut_ips = [entry.ip for entry in fleet.entries[:2]]
    exchanges = [
        [exchange for ip in ips for exchange in exchanges_by_ip[ip]]
        for ips in (cut_ips, set(exchanges_by_ip) - set(cut_ips))
    ]
    shares = [
        sum(exchange.end is callerclient.End.ANSWERED for exchange in group)
        / len(group)
        for group in exchanges
    ]
    assert min(len(group) for group in exchanges) >= 20
    assert shares[0] >= shares[1] * 2 / 3, shares
    for request_id, count in fleet.executions.count_by_id.items():
        assert count == 1 or not request_id.startswith("once"), request_id
