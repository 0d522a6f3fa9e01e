"""Calls whose callers leave before the server that runs them crashes.

Guards against a request that crashes one server after the other and is never rejected,
because its caller does not wait for the end.
"""

import gevent
import pytest
import rawservers
import test_crashingparts
import test_relay
import test_repetitions

from kumquatproxy import clock
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import departures

REQUEST = b"POST /%s/x HTTP/1.1\r\nHost: a\r\nX-Id: %d\r\nContent-Length: 0\r\n\r\n"
LEFT_AFTER_S = 0.2


def leave(address, path, number):
    """Send a request and leave before it is answered."""
    rawservers.exchange_bytes(address, REQUEST % (path, number), LEFT_AFTER_S)
    gevent.sleep(0.05)


def announce_next_lifetime(host):
    """Let the server announce itself after a crash."""
    known = host.table.get("i-0")
    values = known.values_by_field()
    values["born_ms"] += 1
    successor = servers.Announcement(**values)
    host.table.apply_announcement(successor, clock.now())
    host.crashes.confirm_ended(successor, clock.now())


@pytest.mark.parametrize("path", [b"safe", b"once", b"stream"])
def test_call_that_its_caller_leaves_is_rejected_after_four_crashes(path):
    with test_relay.running_relay([...] * 9) as (address, (backend,), host):
        for number in range(4):
            leave(address, path, number)
            announce_next_lifetime(host)
        sent = len(backend.heads)
        answer, _ = test_relay.send_request(address, path, wait_s=0.3)
        assert sent == 4 and len(backend.heads) == sent
    assert answer.startswith(b"HTTP/1.1 503") and b'"executed":"no"' in answer


def test_call_is_no_suspect_if_its_server_does_not_crash():
    with test_relay.running_relay([...] * 9) as (address, (backend,), host):
        for number in range(8):
            leave(address, b"safe", number)
        assert len(backend.heads) == 8
        assert host.facts.all(clock.now()) == []


def depart(tracker, call, number, left_at):
    """Let a server crash at the time ``number``, after a call was left there."""
    server = test_crashingparts.make_server(number)
    tracker.record_departure(call, server, left_at - 0.1, left_at)
    tracker.confirm_crash(server.lifetime, number)


def hosts_after(count, left_before_s, sound_at=None):
    hosts = test_crashingparts.Hosts("a", "b")
    call = test_repetitions.make_call()
    for number in range(10, 10 + count):
        if number == sound_at:
            hosts.trackers[0].record_answer(call, number - 0.5)
        depart(hosts.trackers[number % 2], call, number, number - left_before_s)
    return hosts


@pytest.mark.parametrize("count", [3, 4])
def test_four_crashes_are_needed(count):
    hosts = hosts_after(count, 0.6)
    call = test_repetitions.make_call()
    assert test_repetitions.is_rejected(hosts, call, 20.0) == (count == 4)


def test_call_that_was_left_long_before_the_crashes_is_not_rejected():
    hosts = hosts_after(8, departures.KEPT_S + 0.1)
    call = test_repetitions.make_call()
    assert not test_repetitions.is_rejected(hosts, call, 20.0)


def test_call_that_was_answered_meanwhile_is_not_rejected():
    """Guards against a sound call of an impatient caller beside crashes."""
    hosts = hosts_after(8, 0.6, sound_at=12)
    call = test_repetitions.make_call()
    assert not test_repetitions.is_rejected(hosts, call, 20.0)


def test_calls_that_broke_off_stay_the_first_suspects():
    """Guards against a deadly call that is displaced by calls that were left."""
    hosts = test_crashingparts.Hosts("a", "b")
    deadly = test_repetitions.make_call()
    for number in (11, 12, 13):
        server = test_crashingparts.make_server(number)
        tracker = hosts.trackers[number % 2]
        for other in range(departures.MAX_CALLS_PER_SERVER):
            call = test_repetitions.make_call(body=b"%d %d" % (number, other))
            tracker.record_departure(call, server, number - 0.5, number - 0.3)
        tracker.record_break(deadly, server, False, number, None, number - 0.1)
        tracker.confirm_crash(server.lifetime, number)
    assert test_repetitions.is_rejected(hosts, deadly, 20.0)


def crashes_after_departures(count, left_before_s=0.2, **options):
    """Return hosts after crashes beside calls with one part in common, which left."""
    hosts = test_crashingparts.Hosts("a", "b")
    hosts.trackers[0].record_answer(test_crashingparts.make_call("shared"), 9.0)
    for number in range(10, 10 + count):
        server = test_crashingparts.make_server(number)
        tracker = hosts.trackers[number % 2]
        call = test_crashingparts.make_call("shared", "dead")
        left_at = number - left_before_s
        tracker.record_departure(call, server, left_at - 0.4, left_at, **options)
        tracker.confirm_crash(server.lifetime, number)
    return hosts


@pytest.mark.parametrize("count", [2, 3])
def test_part_of_calls_that_left_is_rejected_after_three_crashes(count):
    """Guards against a deadly part in ever new requests, whose callers do not wait."""
    hosts = crashes_after_departures(count)
    deadly = test_crashingparts.make_call("shared", "dead")
    assert hosts.rejections(deadly, 20.0) == [count == 3] * 2
    sound = test_crashingparts.make_call("shared", "other")
    assert hosts.rejections(sound, 20.0) == [False] * 2


@pytest.mark.parametrize(
    "options", [{"has_event": True}, {"left_before_s": departures.KEPT_S + 0.1}]
)
def test_part_is_no_suspect_after_an_event_or_long_before_a_crash(options):
    hosts = crashes_after_departures(8, **options)
    call = test_crashingparts.make_call("shared", "dead")
    assert hosts.rejections(call, 20.0) == [False] * 2


def test_part_of_calls_that_left_is_cleared_by_an_answer():
    """Guards against a sound part of impatient callers beside crashes."""
    hosts = crashes_after_departures(4)
    call = test_crashingparts.make_call("shared", "dead")
    hosts.trackers[1].record_answer(call, 20.0)
    assert hosts.rejections(call, 20.1) == [False] * 2


def test_parts_of_calls_that_broke_off_stay_the_first_suspects():
    """Guards against a deadly part that is displaced by those of calls that left."""
    hosts = test_crashingparts.Hosts("a", "b")
    for number in (11, 12, 13):
        server = test_crashingparts.make_server(number)
        tracker = hosts.trackers[number % 2]
        for other in range(departures.MAX_CALLS_PER_SERVER):
            call = test_crashingparts.make_call(f"a{number}{other}")
            tracker.record_departure(call, server, number - 0.5, number - 0.3)
        deadly = test_crashingparts.make_call("dead")
        tracker.record_break(deadly, server, False, number, None, number - 0.1)
        tracker.confirm_crash(server.lifetime, number)
    deadly = test_crashingparts.make_call("dead")
    assert hosts.rejections(deadly, 20.0) == [True] * 2


def test_memory_of_departures_is_bounded():
    table = departures.DepartureTable()
    for number in range(2 * departures.MAX_SERVERS):
        server = servers.Announcement(
            f"i-{number}", "s", f"10.0.{number // 200}.{number % 200}:80", "a", 1, 1, 4
        )
        for _ in range(3 * departures.MAX_CALLS_PER_SERVER):
            table.record(server, departures.Departure(1.0, 1.0, ["k"], ["p"]))
    assert table.take(("i-0", 1), 1.0) is None
    last = table.take((f"i-{2 * departures.MAX_SERVERS - 1}", 1), 1.0)
    assert len(last.entries) == departures.MAX_CALLS_PER_SERVER
