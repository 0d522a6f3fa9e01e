"""Pauses that servers ask hosts for in refusals."""

import random

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
    pauses = requestedpauses.RequestedPauses(random.Random(1))
    pauses.record_answer(SERVER, head, 1.0, 1.1)
    assert pauses.count(2.0) == count
    longest_s = requestedpauses.MAX_PAUSE_S + requestedpauses.MAX_RETURN_SPREAD_S
    assert pauses.count(1.1 + longest_s) == 0


class TestPause:
    """A pause holds to its end; then the use of the server grows with its answers."""

    @pytest.fixture
    def pauses(self):
        return requestedpauses.RequestedPauses(random.Random(1))

    @pytest.mark.parametrize(("later", "ends_at"), [(b"1", 6.0), (b"9", 11.0)])
    def test_longest_of_two_pauses_holds(self, pauses, later, ends_at):
        pauses.record_answer(SERVER, make_head(b"5"), 1.0, 1.0)
        pauses.record_answer(SERVER, make_head(later), 1.5, 2.0)
        spread_s = requestedpauses.MAX_RETURN_SPREAD_S
        assert pauses.left_s(SERVER, ends_at - 0.01) > 0.0
        assert pauses.left_s(SERVER, ends_at + spread_s) == 0.0

    def test_answer_without_a_pause_does_not_end_it(self, pauses):
        pauses.record_answer(SERVER, make_head(b"5"), 1.0, 1.0)
        pauses.record_answer(SERVER, make_head(status=200), 0.9, 1.2)
        pauses.record_answer(SERVER, make_head(), 0.9, 1.3)
        assert pauses.left_s(SERVER, 5.9) > 0.0

    def test_server_is_sent_one_call_and_more_as_they_are_answered(self, pauses):
        """Guards against all calls that waited for the end, at the same time."""
        pauses.record_answer(SERVER, make_head(b"5"), 1.0, 1.0)
        now = 1.0 + 5.0 + requestedpauses.MAX_RETURN_SPREAD_S
        sent = []
        for _ in range(4):
            sent.append(0)
            while pauses.usable_in_s(SERVER, now) == 0.0:
                pauses.record_start(SERVER)
                sent[-1] += 1
            pauses.record_answer(SERVER, make_head(status=200), now, now + 0.01)
        assert sent == [1, 2, 2, 2]

    def test_refusals_do_not_let_more_calls_follow(self, pauses):
        pauses.record_answer(SERVER, make_head(b"5"), 1.0, 1.0)
        now = 1.0 + 5.0 + requestedpauses.MAX_RETURN_SPREAD_S
        pauses.record_start(SERVER)
        full = make_head(extra=[(b"kumquatproxy-not-executed", b"1")])
        pauses.record_answer(SERVER, full, now, now)
        assert pauses.usable_in_s(SERVER, now + 0.1) > 0.0
        assert pauses.usable_in_s(SERVER, now + requestedpauses.RAMP_S) == 0.0

    def test_pause_is_forgotten_after_its_end(self, pauses):
        pauses.record_answer(SERVER, make_head(b"5"), 1.0, 1.0)
        pauses.expire(5.9)
        assert pauses.left_s(SERVER, 5.9) > 0.0
        pauses.expire(8.0)
        assert not pauses._pauses_by_lifetime
