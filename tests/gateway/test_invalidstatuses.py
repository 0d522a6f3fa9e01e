"""Answers whose status is none of HTTP are failures, on each path that reads answers.

Guards against a status such as 000 or 600 that callers get as the answer of a server.
"""

import random

import pytest
import test_cutheads
import test_forwarding
import test_relay

from kumquatproxy import adminclient, clock
from kumquatproxy.fleet import engineclient, engineorders, servers
from kumquatproxy.gateway import (
    leavingservers,
    requestedpauses,
    serverlimits,
    sharedfacts,
)
from kumquatproxy.platform import callformat
from kumquatproxy.requests import drivers, exchanges, retries, serverpauses

STATUSES = [b"000", b"001", b"042", b"099", b"600", b"700", b"999"]
MALFORMED = [b"1000", b"20", b"2", b"+20", b"-20", b"2OO", b"", b"\xb2\xb0\xb0"]
BODY = test_cutheads.BODY
WHOLE = test_relay.make_response(BODY)
STREAM = test_relay.STREAM_HEAD % b"1" + b"9\r\ndata: 1\n\n\r\n0\r\n\r\n"


def with_status(answer, status):
    """Return an answer with another status."""
    head, _, rest = answer.partition(b"\r\n")
    return head.replace(b" 200", b" " + status, 1) + b"\r\n" + rest


def answering(status, answer=WHOLE, whole_answers=()):
    """Return a server whose last answer has a status that HTTP has not."""
    return test_cutheads.CuttingServer(
        with_status(answer, status), False, whole_answers
    )


@pytest.mark.parametrize("status", STATUSES + MALFORMED)
@pytest.mark.parametrize("path", [b"safe", b"once", b"stream", b"whole"])
def test_answer_is_a_failure(path, status):
    answer = STREAM if path == b"stream" else WHOLE
    server = answering(status, answer)
    try:
        with test_cutheads.running_relay(server) as (address, _):
            data = test_cutheads.send_request(address, path)
    finally:
        server.close()
    test_cutheads.assert_failed(data)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", [b"safe", b"once"])
def test_second_answer_on_a_kept_connection_is_a_failure(path, status):
    server = answering(status, whole_answers=[test_relay.make_response(b"first")])
    try:
        with test_cutheads.running_relay(server) as (address, _):
            kept = test_cutheads.send_request(address, path)
            data = test_cutheads.send_request(address, path)
    finally:
        server.close()
    assert kept.endswith(b"first")
    test_cutheads.assert_failed(data)


@pytest.mark.parametrize("status", STATUSES)
def test_call_that_may_be_repeated_is_answered_by_another_server(status):
    """Guards against an odd answer that spends the second attempt."""
    odd = answering(status)
    sound = answering(b"200")
    try:
        with test_cutheads.running_relay(odd) as (address, host):
            host.table.apply_announcement(
                servers.Announcement("i-1", "s", sound.address, "a", 1, 1, 4), 0.0
            )
            answers = [test_cutheads.send_request(address, b"safe") for _ in range(4)]
    finally:
        odd.close()
        sound.close()
    assert odd.requests and sound.requests
    for data in answers:
        assert data.startswith(b"HTTP/1.1 200") and data.endswith(BODY)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", [b"safe", b"once", b"stream"])
def test_answer_to_a_forwarded_call_is_a_failure(path, status):
    server = answering(status, STREAM if path == b"stream" else WHOLE)
    cut = test_forwarding.Host(test_forwarding.UNREACHABLE)
    sound = test_forwarding.Host(server.address)
    cut.use(sound.peer_address)
    cut.host.paths.record_unreachable(cut.host.table.all()[0])
    try:
        data = test_cutheads.send_request(cut.address, path)
    finally:
        for host in (cut, sound, server):
            host.close()
    test_cutheads.assert_failed(data)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", [b"safe", b"once", b"stream"])
def test_answer_that_another_host_passes_on_is_a_failure(path, status):
    """Guards against hosts of an earlier build, which pass such a status on."""
    other = answering(status, STREAM if path == b"stream" else WHOLE)
    cut = test_forwarding.Host(test_forwarding.UNREACHABLE)
    cut.use(other.address)
    cut.host.paths.record_unreachable(cut.host.table.all()[0])
    try:
        data = test_cutheads.send_request(cut.address, path)
    finally:
        cut.close()
        other.close()
    test_cutheads.assert_failed(data)


@pytest.mark.parametrize("status", STATUSES)
def test_stream_does_not_go_on_with_such_an_answer(status):
    """Guards against events of such an answer, and a stream that seems to be whole."""
    begun = test_relay.make_stream(1, 2, ends=False)
    odd = with_status(test_relay.make_stream(3, 4), status)
    with test_relay.running_relay([begun, None], [odd, None]) as (
        address,
        backends,
        _,
    ):
        for backend in backends:
            backend.closes = True
        data, was_closed = test_relay.send_request(address, b"stream", wait_s=4.0)
    assert b"last-event-id: 2" in backends[1].heads[0].lower()
    assert test_relay.make_event(2) in data and test_relay.make_event(3) not in data
    assert was_closed and not data.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("status", STATUSES)
def test_unsafe_call_is_not_promised_anything_and_the_health_of_its_server_falls(
    status,
):
    """Guards against "not run" for a call that may have run, and against a crash."""
    server = answering(status)
    try:
        with test_cutheads.running_relay(server) as (address, host):
            data = test_cutheads.send_request(address, b"once")
            (announcement,) = host.table.all()
            health = host.server_selector.view(announcement).health
            facts = host.facts.all(clock.now())
    finally:
        server.close()
    assert data.startswith(b"HTTP/1.1 502") and b'"executed":"unknown"' in data
    assert server.requests == 1
    assert health.failure_rate > 0.0 and health.ejected_until == 0.0
    assert facts == []


@pytest.mark.parametrize("status", STATUSES)
def test_answer_of_a_sheet_service_is_a_failure(status):
    server = answering(status)
    pool = exchanges.ConnectionPool(serverpauses.ServerPauses(random.Random(1)))
    try:
        timeout = exchanges.ExtendableTimeout(1.0)
        exchange = exchanges.Exchange(pool, server.address, timeout)
        with pytest.raises(exchanges.CallFailedError) as caught:
            exchange.send_request("GET", "/", [], b"", timeout)
        assert caught.value.failure is retries.Failure.LOST
        exchange.close()
        driver = drivers.OpenAIDriver(pool)
        with pytest.raises(exchanges.CallFailedError):
            timeout = exchanges.ExtendableTimeout(1.0)
            driver._call(server.address, "POST", "/", [], b"{}", timeout)
    finally:
        server.close()


@pytest.mark.parametrize("status", STATUSES)
def test_answer_to_an_order_or_a_report_tells_nothing(status):
    """Guards against an order that counts as refused though it may be carried out."""
    server = answering(status)
    facts = sharedfacts.FactTable()
    client = engineclient.EngineClient(
        callformat.PlatformDialect(),
        serverlimits.ServerLimits(facts, facts.merge),
        requestedpauses.RequestedPauses(random.Random(1)),
        leavingservers.LeavingServers(lambda *_: False, facts.merge),
    )
    announcement = servers.Announcement("i-1", "s", server.address, "a", 1, 1, 4)
    order = engineorders.Order(engineorders.Action.LOAD, "m")
    try:
        assert client.report(announcement) is None
        outcome = client.order(announcement, order, "h", 1)
    finally:
        server.close()
    assert outcome is engineorders.OrderOutcome.UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
def test_answer_to_an_operator_is_a_failure(status):
    """Guards against a command that reports success for such an answer."""
    answer = b"HTTP/1.1 %s \r\nContent-Length: 2\r\n\r\n{}" % status
    server = test_cutheads.CuttingServer(answer, False)
    try:
        with pytest.raises((adminclient.AdminError, adminclient.UnreachableError)):
            adminclient.AdminClient(server.address, "t").call("GET", "status")
    finally:
        server.close()


def test_answers_with_statuses_of_http_are_passed_on():
    """Guards against cases that would fail for another reason."""
    for status in (b"200", b"299", b"404", b"499"):
        server = answering(status)
        try:
            with test_cutheads.running_relay(server) as (address, _):
                data = test_cutheads.send_request(address, b"once")
        finally:
            server.close()
        assert data.startswith(b"HTTP/1.1 " + status) and data.endswith(BODY)


@pytest.mark.parametrize("status", [b"204", b"205", b"304"])
def test_bytes_after_an_answer_without_a_body_belong_to_no_request(status):
    answers = [with_status(WHOLE, status), test_relay.make_response(b"second")]
    with test_relay.running_relay(answers) as (address, *_):
        first = test_cutheads.send_request(address, b"once")
        second = test_cutheads.send_request(address, b"once")
    assert first.startswith(b"HTTP/1.1 " + status)
    assert second.startswith(b"HTTP/1.1 200") and second.endswith(b"second")
