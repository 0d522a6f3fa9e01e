"""Calls over sockets: attempts, rejected calls, interrupted and resumed streams."""

import contextlib
import math

import gevent
import pytest
import rawservers

from kumquatproxy import clock, memorybudget
from kumquatproxy.fleet import (
    allotments,
    fleethost,
    hostcount,
    servers,
    serviceconfig,
)
from kumquatproxy.gateway import (
    backendconnections,
    brittleservers,
    callers,
    calls,
    crashes,
    dialects,
    forwarding,
    framing,
    leavingservers,
    reachability,
    relay,
    requestedpauses,
    retrybudget,
    serverlimits,
    serverselection,
    sharedfacts,
    shedding,
    standstill,
    waiting,
)

TARGETS = [serviceconfig.Target("s")]
ROUTES = [
    serviceconfig.Route("safe", "a", "/safe/", calls.Mode.SAFE, TARGETS, 0.8),
    serviceconfig.Route("once", "a", "/once/", calls.Mode.UNSAFE, TARGETS, 0.8),
    serviceconfig.Route("stream", "a", "/stream/", calls.Mode.STREAM, TARGETS, 2.0),
    serviceconfig.Route("whole", "a", "/whole/", calls.Mode.STREAM, TARGETS, 2.0),
]
for route in (ROUTES[0], ROUTES[2]):
    route.attempts = 2
ROUTES[2].is_resumable = True


class TestDialect(dialects.Dialect):
    """Translate short header names."""

    __test__ = False

    def read_call(self, call):
        call.request_id = framing.header(call.headers, b"x-id").decode()
        call.last_event_id = framing.header(call.headers, b"last-event-id").decode()
        call.resumed_id = framing.header(call.headers, b"resumes").decode()

    def caller_timeout_s(self, call):
        return None

    def forwarded_headers(self, call, instance_id, left_s, last_event_id, _):
        headers = [(b"host", b"a"), (b"x-id", call.request_id.encode())]
        headers.append((b"x-expect", instance_id.encode()))
        headers.append((b"content-length", str(len(call.body)).encode()))
        if last_event_id:
            headers.append((b"last-event-id", last_event_id.encode()))
        return headers

    def relayed_headers(self, call, left_s, last_event_id):
        return self.forwarded_headers(call, "", left_s, last_event_id, None)

    def refusal_headers(self):
        return [(b"x-not-run", b"1")]

    def parse_response_head(self, status, headers):
        head = calls.ResponseHead(status, headers)
        head.echoed_id = framing.header(headers, b"x-id").decode()
        head.is_not_executed = bool(framing.header(headers, b"x-not-run"))
        head.is_sealed = bool(framing.header(headers, b"x-seal"))
        head.is_wrong_server = status == 421
        head.is_leaving = framing.header(headers, b"x-leaving") == b"1"
        head.names_pause = bool(framing.header(headers, b"retry-after"))
        head.pause_s = framing.retry_after_s(headers)
        return head


class FakePaths:
    """Provide a relay with paths to servers, and hosts that take calls."""

    def __init__(self, table):
        self.reach = reachability.Reachability()
        self.forwarders = []
        self._table = table

    def is_cut(self, service):
        return self.reach.is_cut(service)

    def may_expect_offer(self, service, now):
        return self.reach.is_newly_cut(service, now)

    def record_received(self, service):
        self.reach.record_received(service, clock.now())

    def record_unreachable(self, announcement):
        count = len(self._table.all())
        self.reach.record_unreachable(announcement, count, clock.now())

    def record_connected(self, announcement):
        self.reach.record_connected(announcement.service, clock.now())

    def candidates(self, service, excluded, now):
        return [peer for peer in self.forwarders if peer.lifetime not in excluded]

    def choose(self, candidates):
        return candidates[0]


class FakeHost:
    """Provide a relay with a fixed configuration and deterministic decisions."""

    def __init__(self, *addresses):
        self.table = servers.ServerTable()
        for index, address in enumerate(addresses):
            self.table.apply_announcement(
                servers.Announcement(f"i-{index}", "s", address, "a", 1, 1, 4), 0.0
            )
        self.facts = sharedfacts.FactTable()
        self.brittle = brittleservers.BrittleServers("h", self.facts, self.facts.merge)
        self.limits = serverlimits.ServerLimits(self.facts, self.facts.merge)
        self.leaving = leavingservers.LeavingServers(
            self.mark_leaving, self.facts.merge
        )
        self.pauses = requestedpauses.RequestedPauses(FirstItemRandom())
        self.server_selector = serverselection.ServerSelector(
            "a", self.table, FirstItemRandom(), self.limits, self.brittle, self.pauses
        )
        self.load_policy = shedding.SteadyPolicy(self.server_selector)
        self.budget = retrybudget.RetryBudget(1.0, 100.0, 10.0)
        self.configuration = serviceconfig.Configuration(
            1, ROUTES, [serviceconfig.Service("s")]
        )
        self.dialect = TestDialect()
        self.standstill = standstill.Standstill()
        self.entry_counts = hostcount.HostCount()
        self.entry_counts.record(1, clock.now())
        self.started_at = clock.now()
        self.meter = fleethost.NullMeter()
        self.stops_at = None
        self.is_accepting = True
        self.crashes = crashes.CrashTracker("h", self.facts, self.facts.merge)
        self.peer_token = forwarding.token("key")
        self.paths = FakePaths(self.table)
        self.memory = memorybudget.MemoryBudget()
        # Teams have no caps.
        self.allotments = allotments.AllotmentClient(None, list, float, None, 1)

    def mark_leaving(self, instance_id, born_ms, now):
        return self.table.mark(instance_id, born_ms, servers.ServerState.LEAVING)

    def version(self):
        return 1

    def is_in_touch(self):
        return True

    def decision_inputs(self, call, now):
        return {"version": 1}

    def pick_service(self, route):
        return "s"

    def service(self, name):
        return self.configuration.services_by_name[name]

    def count_while_waiting(self, call):
        return contextlib.nullcontext()

    def take_turn(self, announcement, max_wait_s):
        return serverlimits.Turn(True, 0.0)

    def spread(self):
        return 0.0

    def expected_availability(self, call, now, turn_wait_s=None):
        return waiting.ExpectedAvailability(None)

    def record_arrival(self, call):
        return None

    def record_origin(self, call):
        return None

    def restore_origin(self, call):
        return None

    def with_certain_version(self, candidates):
        return candidates

    def with_soonest_heartbeats(self, candidates):
        return candidates

    def lifetime_confirmed_until(self, announcement):
        return math.inf

    def confirms_lifetime(self, announcement, opened_at):
        return True

    def wait_for_change(self, timeout_s):
        gevent.sleep(timeout_s)


class FirstItemRandom:
    """Select the first item, so that runs are deterministic."""

    def choice(self, items):
        return items[0]

    def random(self):
        return 0.0


class SlowConnection(backendconnections.BackendConnection):
    """Take a time to connect to the first server."""

    def __init__(self, instance_id, address, timeout_s):
        super().__init__(instance_id, address, timeout_s)
        if instance_id == "i-0":
            gevent.sleep(0.2)


@contextlib.contextmanager
def running_relay(*responses_by_server):
    """Run backend servers behind a caller server.

    Each list has one entry per request: the bytes to send, None to close the
    connection, ``...`` to stay silent, or a list of bytes and pauses in seconds.
    """
    backends = [rawservers.RawServer(responses) for responses in responses_by_server]
    host = FakeHost(*(backend.address for backend in backends))
    tested_relay = host.relay = relay.Relay(host)
    limits = serviceconfig.Limits
    server = callers.CallerServer("127.0.0.1:0", tested_relay.serve, limits)
    server.start()
    try:
        yield server.address, backends, host
    finally:
        server.abort()
        for backend in backends:
            backend.close()


def send_request(address, path, extra=b"", wait_s=1.5):
    """Send a request with the id 7 and return the data received."""
    head = b"POST /%s/x HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\n" % path
    return rawservers.exchange_bytes(
        address, head + extra + b"Content-Length: 0\r\n\r\n", wait_s
    )


def make_response(body=b"ok", call_id=b"7", status=b"200 OK", extra=b""):
    lines = b"X-Id: %s\r\nX-Seal: 1\r\nContent-Length: %d\r\n" % (call_id, len(body))
    return b"HTTP/1.1 " + status + b"\r\n" + lines + extra + b"\r\n" + body


NOT_RUN = make_response(b"", status=b"503 Full", extra=b"X-Not-Run: 1\r\n")
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: %s\r\n"
    b"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"
)


def make_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def make_stream(*numbers, seal=b"1", ends=True):
    body = b"".join(make_chunk(make_event(number)) for number in numbers)
    return STREAM_HEAD % seal + body + (b"0\r\n\r\n" if ends else b"")


def test_response_is_relayed_unchanged():
    with running_relay([make_response(extra=b"X-Other: 5\r\n")]) as (
        address,
        (backend,),
        _,
    ):
        data, _ = send_request(address, b"safe")
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"\r\n\r\nok")
    assert b"x-seal: 1" in data.lower() and b"x-other: 5" in data.lower()
    assert b"x-expect: i-0" in backend.heads[0].lower()


def test_request_without_a_matching_route_gets_404():
    with running_relay([]) as (address, _, _):
        assert send_request(address, b"none")[0].startswith(b"HTTP/1.1 404")


def test_request_gets_503_before_a_configuration_is_received():
    """Guards against a 404 for a route that the configuration may contain."""
    with running_relay([]) as (address, _, host):
        host.configuration = None
        data, _ = send_request(address, b"none")
    assert data.startswith(b"HTTP/1.1 503") and b"retry-after" in data.lower()


def test_call_that_a_server_did_not_execute_is_sent_to_another():
    with running_relay([NOT_RUN], [make_response()]) as (address, _, _):
        assert send_request(address, b"once")[0].endswith(b"ok")


def test_unrepeatable_call_is_not_retried_after_its_response_was_lost():
    """Guards against executing it twice, and against an error with executed "no"."""
    with running_relay([None], [make_response()]) as (address, backends, _):
        data, _ = send_request(address, b"once")
    assert data.startswith(b"HTTP/1.1 502") and b'"executed":"unknown"' in data
    assert backends[1].heads == []


def test_repeatable_call_is_retried_after_its_response_was_lost():
    with running_relay([None], [make_response()]) as (address, _, _):
        assert send_request(address, b"safe")[0].endswith(b"ok")


def test_number_of_attempts_is_limited_by_the_route():
    responses = [None] * 5
    with running_relay(list(responses), list(responses), list(responses)) as (
        address,
        backends,
        _,
    ):
        assert send_request(address, b"safe")[0].startswith(b"HTTP/1.1 502")
    assert sum(len(backend.heads) for backend in backends) == 2


def test_call_is_not_retried_without_a_retry_budget():
    with running_relay([None], [make_response()]) as (address, backends, host):
        host.budget = retrybudget.RetryBudget(0.0, 0.0, 10.0)
        assert send_request(address, b"safe")[0].startswith(b"HTTP/1.1 502")
    assert backends[1].heads == []


def test_repeatable_call_is_retried_after_a_server_error():
    failed = make_response(b"no", status=b"500 Failed")
    with running_relay([failed], [make_response()]) as (address, _, _):
        assert send_request(address, b"safe")[0].endswith(b"ok")


def test_server_error_is_relayed_to_the_caller_of_an_unrepeatable_call():
    with running_relay([make_response(b"no", status=b"500 Failed")]) as (address, _, _):
        data, _ = send_request(address, b"once")
    assert data.startswith(b"HTTP/1.1 500") and data.endswith(b"no")


@pytest.mark.parametrize("status", [b"408 Late", b"429 Busy", b"503 Full"])
def test_promise_of_a_server_that_may_have_run_the_call_is_not_relayed(status):
    """The server has not said that it did not run the call, which callers conclude."""
    with running_relay([make_response(b"no", status=status)]) as (address, _, _):
        data, _ = send_request(address, b"once")
    assert data.startswith(b"HTTP/1.1 502") and b"x-seal" not in data.lower()


@pytest.mark.parametrize(
    "answer",
    [
        make_response(b"XX", call_id=b"6"),
        b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nXX",
        b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\nXX",
        make_response(b"XX", extra=b"Content-Encoding: gzip\r\n"),
        b"XX XX\r\n\r\n",
    ],
)
def test_response_that_cannot_be_verified_is_not_relayed(answer):
    """Covers another id, no checksum, no id, an encoded body and a malformed head."""
    with running_relay([answer, None]) as (address, _, _):
        data, _ = send_request(address, b"once")
    assert not data.startswith(b"HTTP/1.1 200") and b"XX" not in data


def test_late_response_to_an_earlier_call_is_discarded():
    late = make_response(b"XX", call_id=b"6") + make_response()
    with running_relay([late]) as (address, _, _):
        assert send_request(address, b"once")[0].endswith(b"\r\n\r\nok")


def test_caller_gets_504_at_the_timeout_of_the_route():
    """Guards against an error response after the timeout of the route."""
    with running_relay([...]) as (address, _, _):
        start = clock.now()
        silence_s = 1.0  # the caller stops reading after this time without data
        data, _ = send_request(address, b"once", wait_s=silence_s)
        took_s = clock.now() - start - silence_s
    assert data.startswith(b"HTTP/1.1 504") and took_s < 0.8 + 0.5


def test_call_is_retried_in_time_after_a_server_stalls():
    with running_relay([...], [make_response()]) as (address, _, _):
        assert send_request(address, b"safe")[0].endswith(b"ok")


def test_stream_continues_after_a_pause_of_the_only_server():
    """Guards against breaking off a stream that the server continues later.

    If no other server has the model, the stream cannot be resumed elsewhere.
    """
    paused = [
        make_stream(1, ends=False),
        0.8,
        make_stream(2, 3).partition(b"\r\n\r\n")[2],
    ]
    with running_relay([paused]) as (address, (backend,), _):
        data, _ = send_request(address, b"stream")
    assert [data.count(make_event(number)) for number in (1, 2, 3)] == [1, 1, 1]
    assert data.endswith(b"0\r\n\r\n") and backend.connections == 1


@pytest.mark.parametrize("cut", [0, 30, -1])
def test_delayed_response_of_the_only_server_is_awaited(cut):
    """Guards against an error while the response is arriving, and against lost data."""
    whole = make_response()
    with running_relay([[0.5, whole[:cut], 0.1, whole[cut:]]]) as (
        address,
        (backend,),
        _,
    ):
        assert send_request(address, b"safe")[0].endswith(b"ok")
    assert backend.connections == 1


def test_stalled_stream_is_resumed_when_another_server_becomes_available():
    """Guards against waiting for a stalled server after a replica has been loaded."""
    silent = [make_stream(1, ends=False), 5.0]
    other = rawservers.RawServer([make_stream(2, seal=b"2")])
    late = servers.Announcement("i-9", "s", other.address, "a", 1, 1, 4)
    with running_relay([silent]) as (address, _, host):
        gevent.spawn_later(0.8, host.table.apply_announcement, late, 1.0)
        data, _ = send_request(address, b"stream")
    other.close()
    assert [data.count(make_event(number)) for number in (1, 2)] == [1, 1]
    assert data.endswith(b"0\r\n\r\n")


def test_call_at_the_server_ends_when_the_caller_disconnects():
    with running_relay([...]) as (address, (backend,), host):
        send_request(address, b"safe", wait_s=0.1)
        gevent.sleep(0.1)
        views = list(host.server_selector.views_by_lifetime.values())
        assert not views[0].in_flight_calls and backend.connections == 1


def test_stream_is_relayed_completely():
    with running_relay([make_stream(1, 2, 3)]) as (address, _, _):
        data, _ = send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n")
    assert [data.count(make_event(number)) for number in (1, 2, 3)] == [1, 1, 1]


def test_interrupted_stream_is_resumed_at_another_server():
    """Guards against lost and duplicate events and against a second response head."""
    broken = make_stream(1, 2, ends=False) + b"14\r\nid: 3\nda"
    rest = make_stream(2, 3, 4, seal=b"2")
    with running_relay([broken, None], [rest]) as (address, backends, _):
        backends[0].closes = True
        data, _ = send_request(address, b"stream")
    assert b"last-event-id: 2" in backends[1].heads[0].lower()
    assert [data.count(make_event(number)) for number in (1, 2, 3, 4)] == [1, 1, 1, 1]
    assert b"x-seal: 1" in data.lower() and b"x-seal: 2" not in data.lower()
    assert data.endswith(b"0\r\n\r\n")


def test_interrupted_stream_that_cannot_be_resumed_has_no_last_chunk():
    """Guards against a truncated response that looks complete to the caller."""
    with running_relay([make_stream(1, 2, ends=False), None], [make_stream(3)]) as (
        address,
        backends,
        _,
    ):
        backends[0].closes = True
        data, is_closed = send_request(address, b"whole")
    assert make_event(2) in data and is_closed and not data.endswith(b"0\r\n\r\n")
    assert backends[1].heads == []


def test_last_event_id_of_the_caller_is_forwarded():
    """Guards against copying the id before it is read from the request.

    The caller then receives events out of order.
    """
    with running_relay([make_stream(5, 6)]) as (address, (backend,), _):
        data, _ = send_request(address, b"stream", b"Last-Event-Id: 5\r\n")
    assert b"last-event-id: 5" in backend.heads[0].lower()
    assert data.count(make_event(5)) == 0 and data.count(make_event(6)) == 1


@pytest.mark.parametrize(
    ("event_id", "last_id", "is_sent"),
    [
        ("9", "10", True),
        ("10", "10", True),
        ("010", "10", True),
        ("11", "10", False),
        ("1764839299000000001", "1764839299000000002", True),
        ("1" * 5000, "1" * 5000, True),
        ("2" * 5000, "1" * 5000, False),
        ("\xb2", "9", False),
        ("", "9", False),
    ],
)
def test_event_id_at_or_below_the_last_one_is_already_sent(event_id, last_id, is_sent):
    """Guards against repeated events, and against ValueError for digits of any kind."""
    assert relay._is_already_sent(event_id, last_id) is is_sent


def test_call_without_any_server_gets_503_with_retry_after():
    with running_relay() as (address, _, _):
        data, _ = send_request(address, b"once")
    assert data.startswith(b"HTTP/1.1 503") and b"retry-after" in data.lower()
    assert b'"executed":"no"' in data
