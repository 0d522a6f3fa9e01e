"""Limits that servers name, and the turns at such servers."""

import math

import pytest
import test_relay

from kumquatproxy import clock
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import calls, serverlimits, sharedfacts

SERVER = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 1, 1, 4)


def make_head(limit=None, names_limit=None, is_sealed=True):
    head = calls.ResponseHead(200, [])
    head.request_limit = limit
    head.names_limit = limit is not None if names_limit is None else names_limit
    head.is_sealed = is_sealed
    return head


@pytest.fixture
def limits():
    table = sharedfacts.FactTable()
    return serverlimits.ServerLimits(table, table.merge)


class TestLimits:
    """A limit holds from an answer that names it until one that names none."""

    def test_newest_limit_is_in_force(self, limits):
        for sent_at, rate in ((1.0, 3.0), (2.0, 1.5), (3.0, 8.0)):
            limits.record_answer(SERVER, make_head(rate), sent_at, sent_at + 0.1)
            assert limits.rate(SERVER, sent_at + 0.2) == rate

    def test_answer_without_a_limit_ends_it(self, limits):
        limits.record_answer(SERVER, make_head(3.0), 1.0, 1.1)
        limits.record_answer(SERVER, make_head(), 2.0, 2.1)
        assert limits.rate(SERVER, 2.2) is None

    def test_answer_to_a_request_from_before_the_limit_does_not_end_it(self, limits):
        """Guards against a host that was paused and reads an old answer."""
        limits.record_answer(SERVER, make_head(3.0), 1.0, 1.1)
        limits.record_answer(SERVER, make_head(), 0.9, 5.0)
        assert limits.rate(SERVER, 5.1) == 3.0

    @pytest.mark.parametrize(
        "head", [make_head(names_limit=True), make_head(is_sealed=False)]
    )
    def test_unreadable_limit_or_refusal_does_not_end_a_limit(self, limits, head):
        limits.record_answer(SERVER, make_head(3.0), 1.0, 1.1)
        limits.record_answer(SERVER, head, 2.0, 2.1)
        assert limits.rate(SERVER, 2.2) == 3.0

    def test_next_lifetime_of_a_server_has_no_limit(self, limits):
        limits.record_answer(SERVER, make_head(3.0), 1.0, 1.1)
        later = servers.Announcement("i-1", "s", "10.0.0.1:80", "a", 2, 1, 4)
        assert limits.rate(later, 1.2) is None

    def test_limit_is_told_to_other_hosts_once_and_then_renewed(self):
        told = []
        table = sharedfacts.FactTable()

        def publish(fact, now):
            told.append(now)
            table.merge(fact, now)

        limits = serverlimits.ServerLimits(table, publish)
        for tenth in range(100):
            limits.record_answer(SERVER, make_head(3.0), tenth / 10, tenth / 10)
        assert told == [0.0, serverlimits.RENEWAL_INTERVAL_S]

    def test_changed_limit_of_another_host_replaces_an_older_one(self):
        """Hosts agree whichever fact comes first."""
        facts = [
            sharedfacts.Fact(serverlimits.SERVER_LIMIT, "k", [rate], at, 100.0)
            for rate, at in ((3.0, 1.0), (None, 2.0), (1.0, 2.2))
        ]
        for ordered in (facts, facts[::-1]):
            table = sharedfacts.FactTable()
            for fact in ordered:
                table.merge(fact, 3.0)
            assert serverlimits.rate_of(table, "k", 3.0) == 1.0


class TestTurns:
    """Turns follow each other as the limit allows, in the order of the requests."""

    @pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 1.6, 8.0, 100.0])
    def test_number_of_turns_in_any_span_is_limited(self, rate):
        book = serverlimits.TurnBook(0.0)
        times = []
        for step in range(4000):
            now = step / 100
            turn = book.take("k", rate, 2.5, now)
            if turn.is_given:
                times.append(now + turn.wait_s)
        for start in times:
            count = sum(start <= at < start + 4.0 for at in times)
            assert count <= 1.5 * 4.0 * rate + 5.0
        assert len(times) >= 0.9 * rate * 40.0

    def test_requests_wait_in_order_up_to_the_longest_wait(self):
        book = serverlimits.TurnBook(0.0)
        turns = [book.take("k", 1.0, 2.5, 10.0) for _ in range(5)]
        assert [turn.is_given for turn in turns] == [True, True, True, False, False]
        assert [turn.wait_s for turn in turns] == [0.0, 1.0, 2.0, 3.0, 3.0]

    def test_turns_of_an_earlier_leader_are_not_given_again(self):
        book = serverlimits.TurnBook(12.5)
        assert book.take("k", 1.0, 1.0, 10.0).wait_s == 2.5

    def test_unused_turns_are_not_saved(self):
        book = serverlimits.TurnBook(0.0)
        book.take("k", 1.0, 2.5, 1.0)
        book.expire(500.0)
        given = [book.take("k", 1.0, 0.0, 500.0).is_given for _ in range(5)]
        assert given == [True, False, False, False, False]


def name_limit(host, number=0, rate=1.0):
    """Let a host know the limit of one of its servers."""
    announcement = host.table.get(f"i-{number}")
    now = clock.now()
    host.limits.record_answer(announcement, make_head(rate), now, now)
    return announcement


def test_server_without_a_limit_is_preferred():
    answers = [test_relay.make_response()], [test_relay.make_response()]
    with test_relay.running_relay(*answers) as (address, backends, host):
        name_limit(host)
        test_relay.send_request(address, b"safe", wait_s=0.2)
    assert [len(backend.heads) for backend in backends] == [0, 1]


def test_call_waits_for_its_turn():
    with test_relay.running_relay([test_relay.make_response()]) as (address, _, host):
        name_limit(host)
        host.take_turn = lambda *_: serverlimits.Turn(True, 0.3)
        started_at = clock.now()
        response, _ = test_relay.send_request(address, b"safe", wait_s=0.6)
        assert clock.now() - started_at >= 0.3
    assert response.startswith(b"HTTP/1.1 200")


def refuse_turns(host, wait_s):
    """Let all turns be further away than a call may wait."""

    def take_turn(announcement, max_wait_s):
        if host.limits.rate(announcement, clock.now()) is None:
            return serverlimits.Turn(True, 0.0)
        turn = serverlimits.Turn(wait_s <= max_wait_s, wait_s)
        host.limits.record_turn(announcement, turn, clock.now())
        return turn

    def expected_availability(call, now, turn_wait_s=None):
        return test_relay.waiting.ExpectedAvailability(turn_wait_s, True)

    host.take_turn = take_turn
    host.expected_availability = expected_availability


def test_call_without_a_turn_in_time_is_rejected_at_once():
    """Guards against calls that wait for their deadline in vain."""
    with test_relay.running_relay([test_relay.make_response()]) as (
        address,
        (backend,),
        host,
    ):
        name_limit(host)
        refuse_turns(host, 7.0)
        started_at = clock.now()
        response, _ = test_relay.send_request(address, b"safe", wait_s=0.2)
        assert clock.now() - started_at < 0.4
    assert response.startswith(b"HTTP/1.1 503") and backend.heads == []
    retry_after_s = float(response.lower().split(b"retry-after: ")[1].split()[0])
    assert 6.0 <= retry_after_s <= 8.0


def test_retry_takes_a_turn_as_well():
    """Guards against a check that is made once for each call."""
    answers = [None], [test_relay.make_response()]
    with test_relay.running_relay(*answers) as (address, (_, second), host):
        name_limit(host, 1)
        refuse_turns(host, 7.0)
        response, _ = test_relay.send_request(address, b"safe", wait_s=0.5)
    assert second.heads == [] and not response.startswith(b"HTTP/1.1 200")


def test_limit_in_an_answer_is_recorded():
    answer = test_relay.make_response(extra=b"Server-Limit: 2.5\r\n")
    with test_relay.running_relay([answer]) as (address, _, host):
        parse = host.dialect.parse_response_head

        def parse_with_limit(status, headers):
            head = parse(status, headers)
            head.names_limit, head.request_limit = True, 2.5
            return head

        host.dialect.parse_response_head = parse_with_limit
        test_relay.send_request(address, b"safe", wait_s=0.2)
        assert host.limits.rate(host.table.get("i-0"), clock.now()) == 2.5


def test_no_turn_is_expected_while_nobody_gives_turns(limits):
    limits.record_answer(SERVER, make_head(1.0), 1.0, 1.1)
    limits.record_turn(SERVER, None, 2.0)
    assert limits.turn_wait_s(SERVER, 2.1) == math.inf
    assert limits.turn_wait_s(SERVER, 2.0 + serverlimits.NO_LEADER_RETRY_S) == 0.0
