"""Whole calls over sockets: attempts, refusals, streams that break and go on."""

import contextlib

import gevent
import pytest
import rawservers

from kumquatproxy import clock
from kumquatproxy.fleet import fleethost, servers, serviceconfig
from kumquatproxy.gateway import (
    budget,
    callers,
    calls,
    choice,
    dialects,
    framing,
    relay,
    waiting,
)

TARGETS = [serviceconfig.Target("s")]
ROUTES = [
    serviceconfig.Route("safe", "a", "/safe/", calls.Mode.SAFE, TARGETS, 0.8),
    serviceconfig.Route("once", "a", "/once/", calls.Mode.UNSAFE, TARGETS, 0.8),
    serviceconfig.Route("stream", "a", "/stream/", calls.Mode.STREAM, TARGETS, 2.0),
    serviceconfig.Route("whole", "a", "/whole/", calls.Mode.STREAM, TARGETS, 2.0),
]
for one in (ROUTES[0], ROUTES[2]):
    one.attempts = 2
ROUTES[2].is_resumable = True


class TestDialect(dialects.Dialect):
    """Use short header names."""

    __test__ = False

    def read_call(self, call):
        call.request_id = framing.header(call.headers, b"x-id").decode()
        call.last_event_id = framing.header(call.headers, b"last-event-id").decode()

    def deadline_s(self, call):
        return None

    def forwarded_headers(self, call, instance_id, left_s, last_event_id, _):
        headers = [(b"host", b"a"), (b"x-id", call.request_id.encode())]
        headers.append((b"x-expect", instance_id.encode()))
        headers.append((b"content-length", str(len(call.body)).encode()))
        if last_event_id:
            headers.append((b"last-event-id", last_event_id.encode()))
        return headers

    def read_answer(self, status, headers):
        head = calls.AnswerHead(status, headers)
        head.echoed_id = framing.header(headers, b"x-id").decode()
        head.is_not_executed = bool(framing.header(headers, b"x-not-run"))
        head.is_sealed = bool(framing.header(headers, b"x-seal"))
        head.is_wrong_server = status == 421
        return head


class FakeHost:
    """Give a relay what it needs, with fixed decisions."""

    def __init__(self, *addresses):
        self.table = servers.ServerTable()
        for index, address in enumerate(addresses):
            self.table.hear(
                servers.Announcement(f"i-{index}", "s", address, "a", 1, 1, 4), 0.0
            )
        self.chooser = choice.Chooser("a", self.table, FirstDraw())
        self.budget = budget.RetryBudget(1.0, 100.0, 10.0)
        self.configuration = serviceconfig.Configuration(
            1, ROUTES, [serviceconfig.Service("s")]
        )
        self.dialect = TestDialect()
        self.entry_count = 1
        self.meter = fleethost.NoMeter()
        self.stops_at = None

    def version(self):
        return 1

    def pick_service(self, route):
        return "s"

    def service(self, name):
        return self.configuration.services_by_name[name]

    def counted_waiting(self, call):
        return contextlib.nullcontext()

    def outlook(self, call):
        return waiting.Outlook(None)

    def note_arrival(self, call):
        return None

    def wait_for_change(self, timeout_s):
        gevent.sleep(timeout_s)


class FirstDraw:
    """Draw the first of several, so that runs repeat."""

    def choice(self, items):
        return items[0]


@contextlib.contextmanager
def served(*answers_by_server):
    """Run backend servers with these answers and a caller server before them."""
    backends = [rawservers.RawServer(answers) for answers in answers_by_server]
    host = FakeHost(*(one.address for one in backends))
    tested = relay.Relay(host)
    limits = serviceconfig.Limits
    server = callers.CallerServer("127.0.0.1:0", tested.serve, limits)
    server.start()
    try:
        yield server.address, backends, host
    finally:
        server.stop()
        for one in backends:
            one.close()


def ask(address, path, extra=b"", wait_s=1.5):
    head = b"POST /%s/x HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\n" % path
    return rawservers.talk(address, head + extra + b"Content-Length: 0\r\n\r\n", wait_s)


def ok(body=b"ok", call_id=b"7", status=b"200 OK", extra=b""):
    lines = b"X-Id: %s\r\nX-Seal: 1\r\nContent-Length: %d\r\n" % (call_id, len(body))
    return b"HTTP/1.1 " + status + b"\r\n" + lines + extra + b"\r\n" + body


NOT_RUN = ok(b"", status=b"503 Full", extra=b"X-Not-Run: 1\r\n")
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: %s\r\n"
    b"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"
)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream(*numbers, seal=b"1", ends=True):
    body = b"".join(chunk(event(one)) for one in numbers)
    return STREAM_HEAD % seal + body + (b"0\r\n\r\n" if ends else b"")


def test_an_answer_goes_back_unchanged():
    with served([ok(extra=b"X-Other: 5\r\n")]) as (address, (backend,), _):
        data, _ = ask(address, b"safe")
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"\r\n\r\nok")
    assert b"x-seal: 1" in data.lower() and b"x-other: 5" in data.lower()
    assert b"x-expect: i-0" in backend.heads[0].lower()


def test_an_unknown_route_is_not_found():
    with served([]) as (address, _, _):
        assert ask(address, b"none")[0].startswith(b"HTTP/1.1 404")


def test_without_a_configuration_nothing_is_not_found():
    """A host that knows nothing must not say that a route does not exist."""
    with served([]) as (address, _, host):
        host.configuration = None
        data, _ = ask(address, b"none")
    assert data.startswith(b"HTTP/1.1 503") and b"retry-after" in data.lower()


def test_a_refused_call_goes_to_another_server():
    with served([NOT_RUN], [ok()]) as (address, _, _):
        assert ask(address, b"once")[0].endswith(b"ok")


def test_a_call_that_may_run_once_is_not_sent_again_after_its_answer_was_lost():
    """A shoe must not be booked twice; nor may the answer say that it did not run."""
    with served([None], [ok()]) as (address, backends, _):
        data, _ = ask(address, b"once")
    assert data.startswith(b"HTTP/1.1 502") and b'"executed":"unknown"' in data
    assert backends[1].heads == []


def test_a_call_that_may_be_repeated_is():
    with served([None], [ok()]) as (address, _, _):
        assert ask(address, b"safe")[0].endswith(b"ok")


def test_attempts_of_the_route_are_kept_to():
    answers = [None] * 5
    with served(list(answers), list(answers), list(answers)) as (address, backends, _):
        assert ask(address, b"safe")[0].startswith(b"HTTP/1.1 502")
    assert sum(len(one.heads) for one in backends) == 2


def test_without_a_budget_nothing_is_repeated():
    with served([None], [ok()]) as (address, backends, host):
        host.budget = budget.RetryBudget(0.0, 0.0, 10.0)
        assert ask(address, b"safe")[0].startswith(b"HTTP/1.1 502")
    assert backends[1].heads == []


def test_a_failing_server_is_left_for_another_one():
    failed = ok(b"no", status=b"500 Failed")
    with served([failed], [ok()]) as (address, _, _):
        assert ask(address, b"safe")[0].endswith(b"ok")


def test_a_failure_of_the_server_reaches_the_caller_of_a_call_that_runs_once():
    with served([ok(b"no", status=b"500 Failed")]) as (address, _, _):
        data, _ = ask(address, b"once")
    assert data.startswith(b"HTTP/1.1 500") and data.endswith(b"no")


@pytest.mark.parametrize(
    "answer",
    [
        ok(b"XX", call_id=b"6"),
        b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nXX",
        b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\nXX",
        ok(b"XX", extra=b"Content-Encoding: gzip\r\n"),
        b"XX XX\r\n\r\n",
    ],
)
def test_bytes_that_are_no_answer_to_the_call_reach_nobody(answer):
    with served([answer, None]) as (address, _, _):
        data, _ = ask(address, b"once")
    assert not data.startswith(b"HTTP/1.1 200") and b"XX" not in data


def test_a_late_answer_before_the_own_one_is_dropped():
    late = ok(b"XX", call_id=b"6") + ok()
    with served([late]) as (address, _, _):
        assert ask(address, b"once")[0].endswith(b"\r\n\r\nok")


def test_a_silent_server_gets_a_final_answer_at_the_timeout():
    """The caller is told when the time of the route is over, not later."""
    with served([...]) as (address, _, _):
        start = clock.now()
        silence_s = 1.0  # after which the caller here stops to listen
        data, _ = ask(address, b"once", wait_s=silence_s)
        took_s = clock.now() - start - silence_s
    assert data.startswith(b"HTTP/1.1 504") and took_s < 0.8 + 0.5


def test_a_silent_server_is_left_in_time_for_another_one():
    with served([...], [ok()]) as (address, _, _):
        assert ask(address, b"safe")[0].endswith(b"ok")


def test_a_stream_outlasts_a_pause_of_the_only_server():
    """trouble-3 of Cordillera: streams broke off at a server that went on later.

    It was the only one with the model, so nothing could come after the break.
    """
    paused = [stream(1, ends=False), 0.8, stream(2, 3).partition(b"\r\n\r\n")[2]]
    with served([paused]) as (address, (backend,), _):
        data, _ = ask(address, b"stream")
    assert [data.count(event(one)) for one in (1, 2, 3)] == [1, 1, 1]
    assert data.endswith(b"0\r\n\r\n") and backend.connections == 1


@pytest.mark.parametrize("cut", [0, 30, -1])
def test_a_late_answer_of_the_only_server_is_awaited(cut):
    """Guards against a refusal while the answer is on its way, and bytes lost by it."""
    whole = ok()
    with served([[0.5, whole[:cut], 0.1, whole[cut:]]]) as (address, (backend,), _):
        assert ask(address, b"safe")[0].endswith(b"ok")
    assert backend.connections == 1


def test_a_paused_stream_goes_on_elsewhere_once_another_server_is_there():
    """The only server stopped for good, and a replica of the model came later."""
    silent = [stream(1, ends=False), 5.0]
    other = rawservers.RawServer([stream(2, seal=b"2")])
    late = servers.Announcement("i-9", "s", other.address, "a", 1, 1, 4)
    with served([silent]) as (address, _, host):
        gevent.spawn_later(0.8, host.table.hear, late, 1.0)
        data, _ = ask(address, b"stream")
    other.close()
    assert [data.count(event(one)) for one in (1, 2)] == [1, 1]
    assert data.endswith(b"0\r\n\r\n")


def test_a_caller_that_goes_ends_the_call_at_the_server():
    with served([...]) as (address, (backend,), host):
        ask(address, b"safe", wait_s=0.1)
        gevent.sleep(0.1)
        views = list(host.chooser.views_by_lifetime.values())
        assert not views[0].flights and backend.connections == 1


def test_a_stream_passes_event_by_event():
    with served([stream(1, 2, 3)]) as (address, _, _):
        data, _ = ask(address, b"stream")
    assert data.endswith(b"0\r\n\r\n")
    assert [data.count(event(one)) for one in (1, 2, 3)] == [1, 1, 1]


def test_a_broken_stream_goes_on_at_another_server():
    """No piece is lost or comes twice; the head of the first server stays."""
    broken = stream(1, 2, ends=False) + b"14\r\nid: 3\nda"
    rest = stream(2, 3, 4, seal=b"2")
    with served([broken, None], [rest]) as (address, backends, _):
        backends[0].closes = True
        data, _ = ask(address, b"stream")
    assert b"last-event-id: 2" in backends[1].heads[0].lower()
    assert [data.count(event(one)) for one in (1, 2, 3, 4)] == [1, 1, 1, 1]
    assert b"x-seal: 1" in data.lower() and b"x-seal: 2" not in data.lower()
    assert data.endswith(b"0\r\n\r\n")


def test_a_broken_stream_that_cannot_go_on_looks_broken():
    """An answer that ends early must not look complete."""
    with served([stream(1, 2, ends=False), None], [stream(3)]) as (address, all_, _):
        all_[0].closes = True
        data, is_closed = ask(address, b"whole")
    assert event(2) in data and is_closed and not data.endswith(b"0\r\n\r\n")
    assert all_[1].heads == []


def test_a_callers_own_resumption_is_passed_on():
    """trouble-1, ORDER: the id was read after it had been copied."""
    with served([stream(5, 6)]) as (address, (backend,), _):
        data, _ = ask(address, b"stream", b"Last-Event-Id: 5\r\n")
    assert b"last-event-id: 5" in backend.heads[0].lower()
    assert data.count(event(5)) == 0 and data.count(event(6)) == 1


def test_no_server_means_a_refusal_with_a_time():
    with served() as (address, _, _):
        data, _ = ask(address, b"once")
    assert data.startswith(b"HTTP/1.1 503") and b"retry-after" in data.lower()
    assert b'"executed":"no"' in data
