"""Errors that engines write into a stream, or answer to a stream that is resumed.

Guards against callers that get the text or the head of an error as tokens.
"""

import pytest
import rawservers
import test_stalls

from kumquatproxy import errors

UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
TOKENS = [b'data: {"t": %d}\n\n' % number for number in range(3)]
ENDS = b"data: [DONE]\n\n"
ERRORS_IN_BODY = {
    "head": REFUSAL,
    "head-in-event": b'data: {"t"' + REFUSAL,
    "text": b"Internal error: full\n\n",
    "json": b'{"error": "full"}\n\n',
    "error-event": b'data: {"error": {"message": "full"}}\n\n',
}
JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
ERROR_ANSWERS = {
    "refusal": REFUSAL,
    "whole": b"HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfull\n\n",
    "unframed": b"HTTP/1.1 500 Failed\r\n\r\nfull\n\n",
    "json": JSON_HEAD + b'{"error": "full"}\n\n',
    "data-json": JSON_HEAD + TOKENS[2] + ENDS,
}


def read(dispatcher, target, engines):
    """Return what a caller reads of a stream, and the error at its end or None."""
    received, error = [], None
    try:
        call = test_stalls.call()
        received.extend(
            dispatcher.stream(call, target, "/v1/completions", {"model": "g"})
        )
    except errors.ProxyError as caught:
        error = caught
    finally:
        for engine in engines:
            engine.close()
    return b"".join(received), error


@pytest.mark.parametrize("name", list(ERRORS_IN_BODY))
def test_stream_is_resumed_after_an_error_in_it(name):
    beginning = UNFRAMED_HEAD + TOKENS[0] + TOKENS[1]
    engines = [
        rawservers.RawServer([beginning + ERRORS_IN_BODY[name]], closes=True),
        rawservers.RawServer([UNFRAMED_HEAD + TOKENS[2] + ENDS], closes=True),
    ]
    dispatcher, target = test_stalls.create_dispatcher(*engines)
    received, error = read(dispatcher, target, engines)
    assert received == b"".join(TOKENS) + ENDS and error is None


@pytest.mark.parametrize("name", list(ERROR_ANSWERS))
def test_error_answer_of_the_next_engine_is_not_part_of_the_stream(name):
    engines = [
        rawservers.RawServer([UNFRAMED_HEAD + TOKENS[0] + TOKENS[1]], closes=True),
        rawservers.RawServer([ERROR_ANSWERS[name]] * 3, closes=True),
    ]
    dispatcher, target = test_stalls.create_dispatcher(*engines)
    received, error = read(dispatcher, target, engines)
    assert received == TOKENS[0] + TOKENS[1] and error is not None
