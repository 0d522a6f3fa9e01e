"""Servers in need name a limit, and several entry hosts with many callers use them.

Guards against hosts that each keep to the limit, or that do not read it at all, and
against calls that are rejected though the limit leaves room for them. One host is
killed and one paused meanwhile.
"""

import pathlib
import random
import time

import addressblocks
import gevent
import pytest
import smallfleet
import soak
import test_crashingprompts

BLOCK = addressblocks.find_block("test_limitedservers")
RATES = (1.0, 2.5)
LIMITED_S = 14.0
CALLS_PER_S = 30.0


@pytest.fixture(scope="module")
def limited_run(tmp_path_factory):
    """Let two of three servers name limits; return the fleet and its caller."""
    folder = pathlib.Path(tmp_path_factory.mktemp("fleet"))
    fleet = smallfleet.Fleet(folder, BLOCK, entry_count=3)
    rng = random.Random(24)
    try:
        for _ in range(3):
            fleet.add_server(slots=40)
        fleet.start_hosts()
        caller = test_crashingprompts.Caller(fleet, 8, 1.0 / CALLS_PER_S, rng)
        fleet.wait_for(lambda: caller.run(0.3) or serves(caller.exchanges[-5:]))
        caller.exchanges.clear()
        for server, rate in zip(fleet.servers, RATES):
            server.begin_limit(rate)
        disturbances = [
            gevent.spawn_later(5.0, test_crashingprompts.pause, fleet.entries[2], 1.5),
            gevent.spawn_later(7.0, test_crashingprompts.restart, fleet.entries[1]),
        ]
        caller.run(LIMITED_S)
        gevent.joinall(disturbances, raise_error=True)
        yield fleet, caller
    finally:
        fleet.close()


def serves(exchanges):
    return test_crashingprompts.served_share(exchanges, 0.0, 1e9)[1] == 1.0


def test_servers_get_no_more_than_their_limit_from_all_hosts_together(limited_run):
    fleet, caller = limited_run
    ip_by_id = {exchange.request_id: exchange.ip for exchange in caller.exchanges}
    excesses = [
        server.limit.find_excess(
            lambda request_id, _: ip_by_id.get(request_id), soak.STABILITY_WINDOW_S
        )
        for server in fleet.servers[: len(RATES)]
    ]
    counts = [len(server.limit.arrivals) for server in fleet.servers[: len(RATES)]]
    assert excesses == [None, None], counts


def test_servers_with_a_limit_are_used_up_to_it_if_no_other_has_room(limited_run):
    """Guards against a host that avoids such a server, or keeps its share unused."""
    fleet, caller = limited_run
    fleet.servers[2].state = "draining"
    fleet.wait_for(lambda: fleet.servers[2].send_heartbeat(0))
    gevent.sleep(1.0)
    begins_at = time.monotonic()
    caller.run(6.0)
    seconds = time.monotonic() - begins_at
    for server in fleet.servers[: len(RATES)]:
        count = sum(at > begins_at for at, _ in server.limit.arrivals)
        assert count >= 0.5 * server.limit.rate * seconds


def test_limit_ends_when_a_server_names_none_any_more(limited_run):
    fleet, caller = limited_run
    for server in fleet.servers[: len(RATES)]:
        server.end_limit()
    caller.run(3.0)
    begins_at = time.monotonic()
    caller.run(2.0)
    count, share = test_crashingprompts.served_share(caller.exchanges, begins_at, 1e9)
    assert count > CALLS_PER_S and share > 0.9
