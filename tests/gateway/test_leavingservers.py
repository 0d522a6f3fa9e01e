"""Servers that say in an answer that they leave.

Guards against calls that are sent to such a server later, by each path, until a new
lifetime at its address.
"""

import gevent
import pytest
import test_forwarding
import test_relay

from kumquatproxy import clock
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import (
    backendconnections,
    calls,
    leavingservers,
    serverlimits,
    sharedfacts,
)
from kumquatproxy.platform import callformat

LEAVING = b"X-Leaving: 1\r\n"
OK = test_relay.make_response(extra=LEAVING)
ANSWERS = {
    "success": (b"once", OK),
    "error": (b"once", test_relay.make_response(status=b"500 No", extra=LEAVING)),
    "not-found": (b"once", test_relay.make_response(status=b"404 No", extra=LEAVING)),
    "refusal": (b"once", test_relay.NOT_RUN[:-2] + LEAVING + b"\r\n"),
    "stream": (
        b"stream",
        test_relay.make_stream(1).replace(b"X-Seal", LEAVING + b"X-Seal"),
    ),
}


def say_leaving(host, number=0):
    """Let a server say that it leaves, as an answer to another call would."""
    head = calls.ResponseHead(200, [])
    head.is_leaving = True
    announcement = host.table.all()[number]
    host.leaving.record_answer(announcement, head, clock.now(), clock.now())


@pytest.mark.parametrize("name", list(ANSWERS))
def test_no_call_follows_an_answer_that_says_so(name):
    """Also not on a kept connection, or after a heartbeat that says ready."""
    path, answer = ANSWERS[name]
    others = [test_relay.make_response()] * 9
    with test_relay.running_relay([answer, OK, OK], others) as (
        address,
        backends,
        host,
    ):
        data, _ = test_relay.send_request(address, path, wait_s=0.2)
        assert data.startswith(b"HTTP/1.1")
        for sequence in (2, 3):
            ready = servers.Announcement(
                "i-0", "s", backends[0].address, "a", 1, sequence, 4
            )
            host.table.apply_announcement(ready, clock.now())
            data, _ = test_relay.send_request(address, b"once", wait_s=0.2)
            assert data.endswith(b"ok")
    assert len(backends[0].heads) == 1


def test_next_lifetime_at_the_address_is_used_at_once():
    with test_relay.running_relay([OK, test_relay.make_response()]) as (
        address,
        (backend,),
        host,
    ):
        test_relay.send_request(address, b"once", wait_s=0.2)
        announcement = servers.Announcement("i-0", "s", backend.address, "a", 2, 1, 4)
        host.table.apply_announcement(announcement, clock.now())
        data, _ = test_relay.send_request(address, b"once", wait_s=0.2)
    assert data.endswith(b"ok") and len(backend.heads) == 2


def test_turn_that_was_given_before_is_not_used(monkeypatch):
    """Also if a heartbeat has replaced the announcement that was selected."""

    def take_turn(host, announcement, max_wait_s):
        ready = servers.Announcement("i-0", "s", announcement.address, "a", 1, 2, 4)
        host.table.apply_announcement(ready, clock.now())
        gevent.spawn_later(0.1, say_leaving, host)
        return serverlimits.Turn(True, 0.2)

    monkeypatch.setattr(test_relay.FakeHost, "take_turn", take_turn)
    with test_relay.running_relay([OK]) as (address, (backend,), _):
        data, _ = test_relay.send_request(address, b"once", wait_s=0.9)
    assert data.startswith(b"HTTP/1.1 503") and backend.heads == []


def test_call_that_connects_is_sent_to_another_server(monkeypatch):
    monkeypatch.setattr(
        backendconnections, "BackendConnection", test_relay.SlowConnection
    )
    answers = [test_relay.make_response()]
    with test_relay.running_relay([OK], answers) as (address, backends, host):
        gevent.spawn_later(0.1, say_leaving, host)
        data, _ = test_relay.send_request(address, b"once", wait_s=0.5)
    assert data.endswith(b"ok") and backends[0].heads == []


def test_broken_stream_is_not_resumed_there():
    broken, rest = test_relay.make_stream(1, ends=False), test_relay.make_stream(2)
    with test_relay.running_relay([broken], [rest]) as (address, backends, host):
        backends[0].closes = True
        say_leaving(host, number=1)
        test_relay.send_request(address, b"stream")
    assert backends[1].heads == []


def test_forwarded_call_is_not_sent_there():
    with test_forwarding.running_hosts([OK]) as (cut, sound, (backend,)):
        say_leaving(sound.host)
        data = test_forwarding.send(cut, b"safe")
    assert data.startswith(b"HTTP/1.1 503") and backend.heads == []


def test_stream_in_flight_goes_on_to_its_end():
    stream = [test_relay.make_stream(1, ends=False), 0.3]
    stream.append(test_relay.make_chunk(test_relay.make_event(2)) + b"0\r\n\r\n")
    with test_relay.running_relay([stream]) as (address, _, host):
        gevent.spawn_later(0.1, say_leaving, host)
        data, _ = test_relay.send_request(address, b"stream")
    assert test_relay.make_event(2) in data and data.endswith(b"0\r\n\r\n")


def test_other_hosts_learn_it_by_a_fact_about_the_lifetime():
    marked = []

    def mark(instance_id, born_ms, now):
        marked.append((instance_id, born_ms))
        return len(marked) == 1

    table = sharedfacts.FactTable()
    told = leavingservers.LeavingServers(mark, table.merge)
    announcement = servers.Announcement("i/1", "s", "10.0.0.1:80", "a", 7, 1, 4)
    head = calls.ResponseHead(200, [])
    head.is_leaving = True
    for now in (1.0, 2.0):
        told.record_answer(announcement, head, now, now)
    facts = table.all(3.0)
    assert [fact.key for fact in facts] == ["i/1/7"]
    told.handle_facts(facts, 3.0)
    odd = sharedfacts.Fact(leavingservers.LEAVING_SERVER, "i-1/x", [], 3.0, 9.0)
    told.handle_facts([odd], 3.0)
    assert marked == [("i/1", 7)] * 3


@pytest.mark.parametrize(
    ("value", "is_leaving"),
    [(b"1", True), (b" 1 ", True), (b"0", False), (b"yes", False), (b"", False)],
)
def test_platform_header_is_read(value, is_leaving):
    headers = [(b"server-leaving", value)]
    head = callformat.PlatformDialect().parse_response_head(200, headers)
    assert head.is_leaving is is_leaving
