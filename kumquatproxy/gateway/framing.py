"""Strict checks of HTTP/1.1 framing, for requests and responses.

h11 parses the messages. This module rejects messages whose framing is ambiguous,
because parsers that disagree on it allow request smuggling.
"""

import email.utils
import re

import h11

from kumquatproxy import errors

MAX_HEAD_BYTES = 64 * 1024
# Larger than any head, so that the configured limit applies and not that of h11.
MAX_H11_EVENT_BYTES = 2 * MAX_HEAD_BYTES
READ_BYTES = 16 * 1024
MAX_JOINED_BYTES = 64 * 1024

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
# Not str.isdigit: it accepts digits that int rejects, and any length.
_NUMBER = re.compile(r"[0-9]{1,18}")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_REQUEST_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,32} [\x21-\x7e\x80-\xff]+ HTTP/1\.[01]"
)
# HTTP has no statuses outside of 100 to 599.
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [1-5][0-9]{2}( .*)?")


def find_head_end(data: bytes | bytearray) -> int:
    """Return the length of the head with its empty line, -1 if it is incomplete."""
    end = data.find(b"\r\n\r\n")
    return end + 4 if end >= 0 else -1


def check_head(head: bytes, is_request: bool) -> None:
    """Raise ProxyError if a head is malformed or its framing is ambiguous."""
    lines = bytes(head[:-4]).split(b"\r\n")
    if any(b"\n" in line or b"\r" in line or b"\0" in line for line in lines):
        raise _invalid_request("a line of the head contains CR, LF or NUL")
    if is_request and not _REQUEST_LINE.fullmatch(lines[0]):
        raise _invalid_request("the request line is malformed")
    if not is_request and not _STATUS_LINE.fullmatch(lines[0]):
        raise _invalid_request("the status line is malformed or has no status of HTTP")
    values_by_name: dict[bytes, list[bytes]] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise _invalid_request("a header line is malformed")
        values_by_name.setdefault(name.lower(), []).append(value.strip(b" \t"))
    _check_framing(values_by_name)
    if is_request and lines[0].endswith(b"1.1"):
        if len(values_by_name.get(b"host", ())) != 1:
            raise _invalid_request("the request needs exactly one Host header")


def _check_framing(values_by_name):
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    if lengths and codings:
        raise _invalid_request("Content-Length and Transfer-Encoding are both given")
    if len(lengths) > 1 or not all(_DIGITS.fullmatch(value) for value in lengths):
        raise _invalid_request("Content-Length is not a single number")
    if codings and [value.lower() for value in codings] != [b"chunked"]:
        raise _invalid_request("Transfer-Encoding is not exactly 'chunked'")


def _invalid_request(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)


def header(headers, name: bytes) -> bytes:
    """Return the first value of a header by its lower-case name, or b''."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def media_type(headers) -> bytes:
    """Return the media type of a body without its parameters, or b''."""
    value = header(headers, b"content-type")
    return value.partition(b";")[0].strip().lower()


def number(text: str) -> int | None:
    """Return a decimal number of at most 18 ASCII digits, or None."""
    return int(text) if _NUMBER.fullmatch(text) else None


def decimal(text: str) -> float | None:
    """Return a decimal number without sign or exponent, or None."""
    return float(text) if _DECIMAL.fullmatch(text) else None


def retry_after_s(headers) -> float | None:
    """Return the seconds in the Retry-After header of a response, None without any.

    A date there counts from the Date header, so that the local clock does not matter.
    """
    text = header(headers, b"retry-after").decode("latin-1").strip()
    if not text:
        return None
    seconds = decimal(text)
    if seconds is not None:
        return seconds
    try:
        date = header(headers, b"date").decode("latin-1")
        until, since = map(email.utils.parsedate_to_datetime, (text, date))
        return max(0.0, (until - since).total_seconds())
    except (TypeError, ValueError, OverflowError):
        return None


def has_explicit_end(headers) -> bool:
    """Return whether the end of a response body differs from a lost connection."""
    return bool(
        header(headers, b"transfer-encoding") or header(headers, b"content-length")
    )


def end_to_end(headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are not hop-by-hop.

    Host is kept even if it is a connection option, since a request must have it.
    """
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | (connection_options - {b"host"})
    return [(key, value) for key, value in headers if key not in dropped]


def join_small(parts: list[bytes]) -> list[bytes]:
    """Join the parts of a message for one send, unless that would copy much data."""
    if sum(map(len, parts)) > MAX_JOINED_BYTES:
        return [part for part in parts if part]
    return [b"".join(parts)]


def new_connection(role) -> h11.Connection:
    """Return an h11 parser for the role h11.CLIENT or h11.SERVER."""
    return h11.Connection(our_role=role, max_incomplete_event_size=MAX_H11_EVENT_BYTES)
