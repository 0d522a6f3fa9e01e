"""Answers with neither a length nor chunks, which end with their connection."""

import test_relay

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: 1\r\n"
    b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)
EVENTS = [test_relay.make_event(number) for number in (1, 2, 3)]
END_OF_CHUNKS = b"0\r\n\r\n"


def run(path, data, replacement=None):
    """Return the response if a first server sends ``data`` and closes.

    A second server sends ``replacement``.
    """
    answers = [[replacement]] if replacement else []
    with test_relay.running_relay([data, None], *answers) as (address, backends, _):
        backends[0].closes = True
        response, _ = test_relay.send_request(address, path)
    return response


def assert_complete(response):
    assert response.startswith(b"HTTP/1.1 200")
    assert [response.count(event) for event in EVENTS] == [1, 1, 1]
    assert response.endswith(END_OF_CHUNKS)


def test_stream_that_ends_with_its_connection_is_complete():
    assert_complete(run(b"stream", HEAD + b"".join(EVENTS)))


def test_stream_that_ends_inside_an_event_goes_on_at_another_server():
    """Guards against a stream that looks complete though it was broken off."""
    data = HEAD + EVENTS[0] + EVENTS[1][:-6]
    assert_complete(run(b"stream", data, test_relay.make_stream(2, 3)))


def test_stream_that_ends_inside_an_event_is_not_ended_as_complete():
    data = HEAD + EVENTS[0] + EVENTS[1][:-6]
    response = run(b"whole", data)
    assert response.count(EVENTS[0]) == 1 and b"piece 2" not in response
    assert not response.endswith(END_OF_CHUNKS)


def test_stream_that_ends_without_an_event_is_sent_to_another_server():
    """Guards against a complete empty answer when a server ends after the head."""
    assert_complete(run(b"stream", HEAD, test_relay.make_stream(1, 2, 3)))


def test_stream_that_ends_without_an_event_is_not_ended_as_complete():
    response = run(b"whole", HEAD)
    assert response.startswith(b"HTTP/1.1 502")


def test_other_answer_that_ends_with_its_connection_is_complete():
    head = HEAD.replace(b"text/event-stream", b"text/plain")
    assert b"whole body" in run(b"safe", head + b"whole body")
