"""Silent servers: a stream is left only for a better place, never for nothing."""

import random
import socket
import threading
import time

import gevent
import pytest
import rawservers

from kumquatproxy import clock, metrics, records
from kumquatproxy.configuration import sheet
from kumquatproxy.gateway import backendlinks
from kumquatproxy.requests import dispatch, exchanges, retries, routing, silence

TEXT = """
[organisation lab]
[service gait]
organisation = lab
kind = engine
token_gap = 20ms
first_token = 100ms
[model g]
service = gait
versions = 1
memory = 1GB
min_places = 1
"""
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SILENCE_S = 0.4  # far longer than the progress deadline of 0.1 s


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return chunk(b'data: {"t": %d}\n\n' % number)


END = chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"


def engine_with(*parts):
    """Return a server that sends these parts, with pauses, to each of some calls."""
    return rawservers.RawServer([list(parts)] * 4, closes=True)


def dispatcher(*engines):
    one = dispatch.Dispatcher("dc", "estimate", random.Random(1), metrics.Metrics())
    parsed = sheet.parse(TEXT)
    one.set_sheet(parsed)
    now = clock.now()
    for index, engine in enumerate(engines):
        server = records.BackendServer(
            f"b{index}", engine.address, "dc", "engine", "gait", 1
        )
        one.update_server(server, now)
        report = records.LoadReport(
            f"b{index}", 1, 1, loaded=[records.Item("model", "g", "1")]
        )
        one.table.apply_report(report, now)
    return one, parsed.resolve("g")


def call(idempotent=True, limit_s=5.0):
    now = clock.now()
    return records.CallRequest(
        "r",
        "lab",
        "gait",
        idempotent=idempotent,
        deadline=now + limit_s,
        arrived_at=now,
    )


def read(one, target, request):
    events = one.stream(request, target, "/v1/completions", {"model": "g"})
    return b"".join(events)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_stream_with_nowhere_else_to_go_outlasts_a_pause(idempotent):
    """Guards against answers that break off because their only server paused.

    Seen in CI beside other load: 200 streams ended with "sent nothing for 0.108 s".
    """
    engine = engine_with(HEAD, event(0), SILENCE_S, event(1), END)
    one, target = dispatcher(engine)
    text = read(one, target, call(idempotent))
    assert text.count(b"data:") == 3 and len(engine.heads) == 1


def test_a_late_first_token_is_awaited_where_no_other_server_has_the_model():
    """Guards against calls that are started anew at the server that is busy."""
    engine = engine_with(SILENCE_S, HEAD, event(0), END)
    one, target = dispatcher(engine)
    assert read(one, target, call()).count(b"data:") == 2
    assert len(engine.heads) == 1


def test_a_silent_stream_is_left_for_another_server():
    """Guards against waiting for a stopped server while another one is free."""
    silent = engine_with(HEAD, event(0), 30.0)
    working = engine_with(HEAD, event(1), END)
    one, target = dispatcher(silent, working)
    started_at = clock.now()
    seen = {read(one, target, call()) for _ in range(4)}
    assert clock.now() - started_at < 2.0
    assert silent.heads and all(b"[DONE]" in text for text in seen)


def test_a_stream_stays_when_the_retry_budget_is_spent():
    """Guards against breaking off many slow streams as soon as a few have moved."""
    engines = [engine_with(HEAD, event(0), SILENCE_S, event(1), END) for _ in range(2)]
    one, target = dispatcher(*engines)
    budget = one._budget
    while budget.allows_retry("gait"):
        budget.spend("gait")
    assert read(one, target, call()).count(b"data:") == 3
    assert sum(len(engine.heads) for engine in engines) == 1


def test_the_deadline_ends_the_wait_for_a_silent_server():
    """Guards against a wait without end at a stopped server."""
    one, target = dispatcher(engine_with(HEAD, event(0), 30.0))
    started_at = clock.now()
    with pytest.raises(Exception, match="sent nothing"):
        read(one, target, call(limit_s=1.5))
    assert 1.4 < clock.now() - started_at < 2.5


def test_bytes_that_came_while_this_process_stood_still_are_read():
    """Guards against blaming a server for a stall of the own event loop.

    The server is a thread: one in this process' event loop would stand still as well.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        sender = threading.Thread(target=send_in_time, args=(listener,))
        sender.start()
        link = backendlinks.BackendLink("b0", address, 1.0)
        gevent.spawn_later(0.01, time.sleep, 0.3)  # the whole process stands still
        part = exchanges.Wait(0.05).read(link, lambda: link._sock.recv(100))
        sender.join()
    link.close()
    assert part == b"in time"


def send_in_time(listener):
    sock, _ = listener.accept()
    time.sleep(0.1)
    sock.sendall(b"in time")
    sock.close()


def test_a_whole_answer_is_awaited_where_no_other_server_has_the_model():
    """Guards against a 504 long before the deadline of the call."""
    body = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"
    engine = engine_with(SILENCE_S, body, SILENCE_S, b"cd")
    one, target = dispatcher(engine)
    request = call()
    request.max_tokens = 1
    assert one.complete(request, target, "/v1/completions", b"{}").body == b"abcd"
    assert len(engine.heads) == 1


@pytest.mark.parametrize(
    "spent, other, idempotent, left_s, leaves",
    [
        (False, True, True, 5.0, True),
        (False, False, True, 5.0, False),
        (True, True, True, 5.0, False),
        (False, True, False, 5.0, False),
        (False, True, True, 0.05, False),
    ],
)
def test_a_silent_server_is_left_only_for_an_attempt_that_may_be_made(
    spent, other, idempotent, left_s, leaves
):
    """Guards against leaving a server when no other attempt may follow."""
    budget = retries.RetryBudget()
    while spent and budget.allows_retry("gait"):
        budget.spend("gait")
    attempts = retries.Attempts()
    attempts.record_start("b0")
    request = records.CallRequest(
        "r", "lab", "gait", idempotent=idempotent, deadline=10.0 + left_s
    )
    wait_s = silence.further_wait_s(request, attempts, budget, other, 0.1, 10.0)
    assert wait_s == pytest.approx(0.0 if leaves else left_s)


def test_routing_is_asked_for_a_server_that_was_not_tried():
    """Guards against counting the silent server itself as another place."""
    one, target = dispatcher(engine_with())
    decision = one.table.choose(
        call(), target.items(), {"b0"}, clock.now(), random.Random(1)
    )
    assert isinstance(decision, routing.Refusal)
