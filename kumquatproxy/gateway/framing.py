"""Strict HTTP/1.1 framing over h11, for both sides of a proxied call.

h11 parses; this module refuses what parsers read in different ways, because a message
that two programs frame differently lets one request hide inside another.
"""

import re

import h11

from kumquatproxy import errors

MAX_HEAD_BYTES = 64 * 1024
# Larger than any head, so that the limit of the configuration is the one that binds.
H11_EVENT_BYTES = 2 * MAX_HEAD_BYTES
READ_BYTES = 64 * 1024

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_DIGITS = re.compile(rb"[0-9]{1,18}")
_REQUEST_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,32} [\x21-\x7e\x80-\xff]+ HTTP/1\.[01]"
)


def find_head_end(data: bytes | bytearray) -> int:
    """Return the length of the head with its empty line, or -1 if it is incomplete."""
    end = data.find(b"\r\n\r\n")
    return end + 4 if end >= 0 else -1


def check_head(head: bytes, is_request: bool) -> None:
    """Raise ProxyError if a head could be framed in more than one way."""
    lines = bytes(head[:-4]).split(b"\r\n")
    if any(b"\n" in line or b"\r" in line or b"\0" in line for line in lines):
        raise _refused("a line of the head does not end with CR LF")
    if is_request and not _REQUEST_LINE.fullmatch(lines[0]):
        raise _refused("the request line is malformed")
    values_by_name: dict[bytes, list[bytes]] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise _refused("a header line is malformed")
        values_by_name.setdefault(name.lower(), []).append(value.strip(b" \t"))
    _check_framing(values_by_name)
    if is_request and lines[0].endswith(b"1.1"):
        if len(values_by_name.get(b"host", ())) != 1:
            raise _refused("the request needs exactly one Host header")


def _check_framing(values_by_name):
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    if lengths and codings:
        raise _refused("Content-Length and Transfer-Encoding are both given")
    if len(lengths) > 1 or not all(_DIGITS.fullmatch(value) for value in lengths):
        raise _refused("Content-Length is not one number")
    if codings and [value.lower() for value in codings] != [b"chunked"]:
        raise _refused("Transfer-Encoding is not just 'chunked'")


def _refused(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)


def header(headers, name: bytes) -> bytes:
    """Return the value of a header with a lower-case name, or nothing."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end(headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are not about one connection alone."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | named
    return [(key, value) for key, value in headers if key not in dropped]


def new_connection(role) -> h11.Connection:
    """Return a parser for one connection in the role h11.CLIENT or h11.SERVER."""
    return h11.Connection(our_role=role, max_incomplete_event_size=H11_EVENT_BYTES)
