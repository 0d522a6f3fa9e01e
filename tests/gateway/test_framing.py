"""Requests and responses with ambiguous framing are rejected."""

import pytest

from kumquatproxy import errors
from kumquatproxy.gateway import framing

HOST = b"Host: a.example\r\n"


def request(*lines, first=b"GET /a/ HTTP/1.1"):
    return first + b"\r\n" + b"".join(lines) + b"\r\n"


@pytest.mark.parametrize(
    "head",
    [
        request(HOST, b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        request(HOST, b"Content-Length: 5\r\nContent-Length: 5\r\n"),
        request(HOST, b"Content-Length: 5\r\nContent-Length: 6\r\n"),
        request(HOST, b"Content-Length: +5\r\n"),
        request(HOST, b"Content-Length: 5, 5\r\n"),
        request(HOST, b"Content-Length: -1\r\n"),
        request(HOST, b"Content-Length:\r\n"),
        request(HOST, b"Transfer-Encoding: xchunked\r\n"),
        request(HOST, b"Transfer-Encoding: chunked, identity\r\n"),
        request(HOST, b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        request(HOST, b"Transfer-Encoding : chunked\r\n"),
        request(HOST, b" folded: value\r\n"),
        request(HOST, b"A: b\nContent-Length: 5\r\n"),
        request(HOST, b"A: b\rC: d\r\n"),
        request(HOST, b"A: b\0c\r\n"),
        request(HOST, b"no colon\r\n"),
        request(HOST, b": no name\r\n"),
        request(),
        request(HOST, HOST),
        request(HOST, first=b"GET  /a/ HTTP/1.1"),
        request(HOST, first=b"GET /a b HTTP/1.1"),
        request(HOST, first=b"GET /a/ HTTP/2.0"),
        request(HOST, first=b"GET /a/"),
    ],
)
def test_malformed_or_ambiguous_request_is_rejected(head):
    """Guards against request smuggling, which hides a request in another one."""
    with pytest.raises(errors.ProxyError) as caught:
        framing.check_head(head, is_request=True)
    assert caught.value.status == 400


@pytest.mark.parametrize(
    "head",
    [
        request(HOST),
        request(HOST, b"Content-Length: 0\r\n"),
        request(HOST, b"transfer-encoding: Chunked\r\n"),
        request(first=b"GET /a%2Fb/../c?x=/ HTTP/1.0"),
    ],
)
def test_well_formed_request_is_accepted(head):
    framing.check_head(head, is_request=True)


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 2\r\nContent-Length: 3\r\n",
        b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 0x2\r\n",
    ],
)
def test_response_with_ambiguous_length_is_rejected(lines):
    """Guards against a response that includes data of the next one."""
    with pytest.raises(errors.ProxyError):
        framing.check_head(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n", is_request=False)


def test_hop_by_hop_headers_are_removed():
    """Guards against forwarding them to a connection that they do not apply to."""
    headers = [
        (b"connection", b"keep-alive, x-private"),
        (b"x-private", b"1"),
        (b"keep-alive", b"timeout=5"),
        (b"te", b"trailers"),
        (b"x-other", b"2"),
    ]
    assert framing.end_to_end(headers) == [(b"x-other", b"2")]
