"""Pauses that servers ask hosts for in refusals."""

import pytest

from kumquatproxy.fleet import servers
from kumquatproxy.gateway import requestedpauses
from kumquatproxy.platform import callformat

SERVER = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 1, 1, 4)
DATE = (b"date", b"Fri, 04 Dec 2026 10:00:00 GMT")


def make_head(value=None, status=503, extra=()):
    headers = [(b"kumquatproxy-request-id", b"7"), *extra]
    if value is not None:
        headers.append((b"retry-after", value))
    return callformat.PlatformDialect().parse_response_head(status, headers)


@pytest.mark.parametrize(
    ("value", "extra", "pause_s"),
    [
        (b"3", [], 3.0),
        (b" 0.25 ", [], 0.25),
        (b"2.5", [DATE], 2.5),
        (b"0", [], 0.0),
        (b"Fri, 04 Dec 2026 10:00:07 GMT", [DATE], 7.0),
        (b"Fri, 04 Dec 2026 09:00:00 GMT", [DATE], 0.0),
        (b"Fri, 04 Dec 2026 10:00:07 GMT", [], None),
        (b"Fri, 04 Dec 2026 10:00:07", [DATE], None),
        (b"-3", [], None),
        (b"soon", [], None),
        (b"nan", [], None),
        (b"1e3", [], None),
        (b"\xb2", [], None),
        (b"3, 5", [], None),
        (b"9" * 400, [], None),
        (None, [], None),
    ],
)
def test_pause_is_read_from_seconds_or_a_date(value, extra, pause_s):
    head = make_head(value, extra=extra)
    assert head.pause_s == pause_s
    assert head.names_pause is (value is not None)


@pytest.mark.parametrize(
    ("head", "count"),
    [
        (make_head(b"3"), 1),
        (make_head(b"999999999"), 1),
        (make_head(b"soon"), 0),
        (make_head(), 0),
        (make_head(b"3", status=200), 0),
        (make_head(b"3", status=429), 0),
    ],
)
def test_pause_counts_from_a_refusal_with_its_time(head, count):
    pauses = requestedpauses.RequestedPauses()
    pauses.record_answer(SERVER, head, 1.0, 1.1)
    assert pauses.count(2.0) == count
    assert pauses.count(1.1 + requestedpauses.MAX_PAUSE_S) == 0
