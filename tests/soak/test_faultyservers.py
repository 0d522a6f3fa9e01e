"""Servers write refusals once more on kept connections, and into streams.

Guards against callers that are told "not run" for what a server runs, against requests
that run twice, and against errors in the middle of streams.
"""

import random
import time

import addressblocks
import callerclient
import fakeservers
import gevent
import smallfleet
import test_cuthosts

BLOCK = addressblocks.find_block("test_faultyservers")
SECONDS = 10.0
REQUESTS_PER_S = 60.0


def test_requests_run_once_and_streams_have_no_errors_in_them(tmp_path):
    fleet = smallfleet.Fleet(tmp_path, BLOCK, entry_count=3)
    rng = random.Random(37)
    tasks = []
    try:
        for _ in range(4):
            server = fleet.add_server(slots=40)
            server.refusal_share, server.error_share = 0.1, 0.02
        fleet.start_hosts()
        fleet.wait_for(
            lambda: all(
                test_cuthosts.send(fleet, entry.ip, "once", rng).end
                is callerclient.End.ANSWERED
                for entry in fleet.entries
            )
        )
        ends_at = time.monotonic() + SECONDS
        while time.monotonic() < ends_at:
            ip = rng.choice(fleet.entries).ip
            mode = rng.choice(("once", "once", "stream"))
            tasks.append(gevent.spawn(test_cuthosts.send, fleet, ip, mode, rng))
            gevent.sleep(rng.uniform(0.5, 1.5) / REQUESTS_PER_S)
        gevent.joinall(tasks, raise_error=True)
    finally:
        fleet.close()
    exchanges = [task.value for task in tasks]
    runs = fleet.executions.count_by_id
    once = [exchange for exchange in exchanges if "once" in exchange.request_id]
    assert len(once) > SECONDS * REQUESTS_PER_S / 3
    assert [
        exchange.request_id for exchange in once if runs[exchange.request_id] > 1
    ] == []
    refused = [
        exchange.request_id
        for exchange in once
        if exchange.end is callerclient.End.REFUSED and runs[exchange.request_id]
    ]
    assert refused == []
    ends = [exchange.end for exchange in once]
    assert ends.count(callerclient.End.ANSWERED) > 0.9 * len(ends)
    for exchange in exchanges:
        if "stream" not in exchange.request_id or exchange.status != 200:
            continue
        whole = b"".join(
            f"id: {number}\ndata: {exchange.request_id} {number}\n\n".encode()
            for number in range(1, fakeservers.EVENT_COUNT + 1)
        )
        assert whole.startswith(exchange.body)
        assert exchange.body == whole or exchange.end is not callerclient.End.ANSWERED
