"""Errors that servers write into a stream, or answer to a stream that is resumed.

Guards against callers that find the text or the head of an error in the middle of their
stream, and against a stream that ends as if it were complete.
"""

import pytest
import test_forwarding
import test_relay

HEAD = (
    b"HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-Not-Run: 1\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: 1\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
BEGINNING = b"".join(test_relay.make_event(number) for number in (1, 2))
BROKEN = test_relay.make_stream(1, 2, ends=False)
# What follows the second event, before the connection ends.
ERRORS_IN_BODY = {
    "head": HEAD,
    "head-and-body": HEAD.replace(b"Length: 0", b"Length: 4") + b"full",
    "head-in-event": b"id: 3\ndata: pie" + HEAD,
    "head-after-line": b"id: 3\n" + HEAD,
    "short-head-in-event": b"id: 3\ndata: pieHTTP/1.1 503 Full\r\n\r\n",
    "cut-head": HEAD[:40],
    "json": b'{"error": {"message": "full"}}\n\n',
    "text": b"Internal error: full\n\n",
}
# Answers of the next server to the resumed stream.
ERROR_ANSWERS = {
    "whole": test_relay.make_response(b"no room\n\n", status=b"500 Failed"),
    "cut": test_relay.make_response(b"no room\n\n", status=b"500 Failed")[:-3],
    "unframed": b"HTTP/1.1 500 Failed\r\nX-Id: 7\r\nX-Seal: 1\r\n\r\nno room\n\n",
    "refusal": HEAD,
    "unsealed": b"HTTP/1.1 502 Bad\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nno",
    "not-found": test_relay.make_response(b"no room\n\n", status=b"404 Unknown"),
    "json": test_relay.make_response(
        b'{"error": "no room"}', extra=b"Content-Type: application/json\r\n"
    ),
    "json-lines": test_relay.make_response(
        b'{"error": "no room"}\n\n', extra=b"Content-Type: application/json\r\n"
    ),
    "empty-json": test_relay.make_response(
        b"", extra=b"Content-Type: application/json\r\n"
    ),
    "data-json": test_relay.make_response(
        b"id: 3\ndata: no room\n\n", extra=b"Content-Type: application/json\r\n"
    ),
}


def assert_incomplete(data, is_closed):
    """Check that a caller has two events, nothing else, and no end."""
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and is_closed
    assert not body.endswith(b"0\r\n\r\n")
    assert decode_chunks(body) == BEGINNING


def assert_complete(data):
    _, _, body = data.partition(b"\r\n\r\n")
    assert body.endswith(b"0\r\n\r\n")
    assert decode_chunks(body) == BEGINNING + test_relay.make_event(3)


def decode_chunks(body):
    decoded = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        decoded += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return decoded


@pytest.mark.parametrize("name", list(ERRORS_IN_BODY))
def test_error_in_a_stream_without_a_length_is_no_event(name):
    answer = UNFRAMED_HEAD + BEGINNING + ERRORS_IN_BODY[name]
    with test_relay.running_relay([answer]) as (address, (backend,), _):
        backend.closes = True
        data, is_closed = test_relay.send_request(address, b"whole")
    assert_incomplete(data, is_closed)


@pytest.mark.parametrize("name", list(ERRORS_IN_BODY))
def test_stream_is_resumed_after_an_error_in_it(name):
    answer = UNFRAMED_HEAD + BEGINNING + ERRORS_IN_BODY[name]
    rest = test_relay.make_stream(3)
    with test_relay.running_relay([answer], [rest]) as (address, backends, _):
        backends[0].closes = True
        data, _ = test_relay.send_request(address, b"stream")
    assert b"last-event-id: 2" in backends[1].heads[0].lower()
    assert_complete(data)


@pytest.mark.parametrize("name", list(ERRORS_IN_BODY))
def test_error_in_a_chunk_of_a_stream_is_no_event(name):
    chunk = test_relay.make_chunk(ERRORS_IN_BODY[name])
    answer = BROKEN + chunk + b"0\r\n\r\n"
    with test_relay.running_relay([answer]) as (address, _, _):
        data, is_closed = test_relay.send_request(address, b"whole")
    assert_incomplete(data, is_closed)


@pytest.mark.parametrize("name", list(ERROR_ANSWERS))
def test_error_answer_of_the_next_server_is_not_part_of_the_stream(name):
    with test_relay.running_relay([BROKEN], [ERROR_ANSWERS[name]]) as (
        address,
        backends,
        _,
    ):
        for backend in backends:
            backend.closes = True
        data, is_closed = test_relay.send_request(address, b"stream", wait_s=2.2)
    assert backends[1].heads
    assert_incomplete(data, is_closed)


@pytest.mark.parametrize("name", list(ERROR_ANSWERS))
def test_error_answer_through_a_forwarding_host_is_not_part_of_the_stream(name):
    with test_forwarding.running_hosts([BROKEN], [ERROR_ANSWERS[name]]) as (
        cut,
        _,
        backends,
    ):
        for backend in backends:
            backend.closes = True
        data, is_closed = test_relay.send_request(cut.address, b"stream", wait_s=2.2)
    assert_incomplete(data, is_closed)


def test_events_with_the_usual_fields_are_relayed():
    """Guards against a check that takes sound events for errors."""
    events = (
        b": comment\n\nevent: x\r\nid: 1\r\ndata: HTTP/1.1 503 Full: y\r\n\r\n"
        b"retry: 5\ndata\ndata:\n\nid:2\n:c\ndata:z\n\n"
    )
    answer = UNFRAMED_HEAD + events
    with test_relay.running_relay([answer]) as (address, (backend,), _):
        backend.closes = True
        data, _ = test_relay.send_request(address, b"whole")
    _, _, body = data.partition(b"\r\n\r\n")
    assert decode_chunks(body) == events and body.endswith(b"0\r\n\r\n")
