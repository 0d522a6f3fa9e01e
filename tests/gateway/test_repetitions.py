"""Blame of repeated calls that crash servers, and who is rejected by mistake."""

import pytest
import test_crashingparts

from kumquatproxy.gateway import calls, crashingcalls, repetitions, suspicion

HOLD_S = suspicion.FIRST_HOLD_S


def make_call(caller="c", target=b"/x", body=b"b", service="s"):
    call = calls.Call(b"POST", target, "a", [], body, 0.0, caller)
    call.service = service
    return call


def crash(tracker, number, *suspect_calls, ran_s=None, server_number=None):
    """Let a server crash at the time ``number``, 0.1 s after it got the calls."""
    server = test_crashingparts.make_server(server_number or number)
    for call in suspect_calls:
        tracker.record_break(call, server, False, number, ran_s, number - 0.1)
    tracker.confirm_crash(server.lifetime, number)


def crashed_hosts(*suspect_calls_by_server):
    """Return hosts at which servers have crashed in turn."""
    hosts = test_crashingparts.Hosts("a", "b")
    for number, suspect_calls in enumerate(suspect_calls_by_server, start=1):
        crash(hosts.trackers[number % 2], number, *suspect_calls)
    return hosts


def is_rejected(hosts, call, now=10.0):
    rejections = hosts.rejections(call, now)
    assert len(set(rejections)) == 1
    return rejections[0]


def test_call_is_rejected_everywhere_after_three_crashes_and_not_before():
    hosts = crashed_hosts([make_call()], [make_call()])
    assert not is_rejected(hosts, make_call())
    crash(hosts.trackers[0], 3, make_call())
    assert is_rejected(hosts, make_call())


@pytest.mark.parametrize(
    "other",
    [{"caller": "d"}, {"target": b"/y"}, {"body": b"c"}, {"service": "t"}],
)
def test_other_calls_than_the_one_that_crashes_servers_are_not_rejected(other):
    hosts = crashed_hosts(*[[make_call()]] * 3)
    assert not is_rejected(hosts, make_call(**other))


def test_call_that_crashes_servers_for_several_callers_is_rejected_for_all():
    hosts = crashed_hosts(*[[make_call(caller)] for caller in "cde"])
    assert is_rejected(hosts, make_call("f"))


def test_call_that_crashes_servers_of_two_services_is_rejected_at_both():
    """Guards against a route whose services each lose three servers."""
    hosts = crashed_hosts(*[[make_call(service=service)] for service in "sst"])
    for service in "st":
        assert is_rejected(hosts, make_call(service=service))


def test_call_that_crashes_servers_of_one_service_is_served_by_another():
    """Guards against calls that nobody serves while a new version crashes."""
    hosts = test_crashingparts.Hosts("a", "b")
    for number in (1, 2, 3):
        hosts.trackers[0].record_answer(make_call(service="t"), number)
        crash(hosts.trackers[1], number, make_call(service="s"))
    assert is_rejected(hosts, make_call(service="s"))
    assert not is_rejected(hosts, make_call(service="t"))


def test_call_that_is_sound_for_other_callers_is_rejected_for_one():
    """Guards against the rejection of a path that all callers poll."""
    hosts = test_crashingparts.Hosts("a", "b")
    hosts.trackers[0].record_answer(make_call("d"), 0.5)
    for number in (1, 2, 3):
        crash(hosts.trackers[1], number, make_call("c"))
    assert is_rejected(hosts, make_call("c"))
    assert not is_rejected(hosts, make_call("d"))


@pytest.mark.parametrize("answered_at", [0.5, 2.5])
def test_sound_call_that_was_at_three_crashes_is_not_rejected(answered_at):
    """An answer before or between the crashes shows that others cause them."""
    hosts = test_crashingparts.Hosts("a", "b")
    for number in (1, 2, 3):
        if int(answered_at) == number - 1:
            hosts.trackers[1].record_answer(make_call(), answered_at)
        crash(hosts.trackers[0], number, make_call())
    assert not is_rejected(hosts, make_call())


def test_begun_answer_does_not_show_that_a_call_is_sound():
    """A server may crash in the middle of a stream."""
    hosts = test_crashingparts.Hosts("a", "b")
    for number in (1, 2, 3):
        hosts.trackers[0].record_answer(make_call(), number, is_complete=False)
        crash(hosts.trackers[0], number, make_call(), ran_s=0.1)
    assert is_rejected(hosts, make_call())


def test_stream_that_ran_for_long_is_rejected_after_six_crashes():
    """Guards against rejection of a long stream that was beside three crashes."""
    hosts = test_crashingparts.Hosts("a", "b")
    for number in range(1, 7):
        assert not is_rejected(hosts, make_call(), number)
        crash(hosts.trackers[0], number, make_call(), ran_s=5.0)
    assert is_rejected(hosts, make_call())


def test_calls_at_crashes_that_another_call_explains_are_not_rejected():
    crashes = [[make_call()]] * 3 + [[make_call(), make_call(body=b"sound")]] * 5
    assert not is_rejected(crashed_hosts(*crashes), make_call(body=b"sound"))


def test_calls_at_crashes_that_a_prompt_part_explains_are_not_rejected():
    hosts = test_crashingparts.Hosts("a", "b")
    for number in range(1, 7):
        dead = test_crashingparts.make_call("dead")
        crash(hosts.trackers[0], number, dead, *([make_call()] if number > 3 else []))
    assert not is_rejected(hosts, make_call())


def test_calls_that_crash_servers_are_told_apart_from_none_beside_them():
    """Either of two calls that were at the same crashes may be the cause."""
    hosts = crashed_hosts(*[[make_call(), make_call(body=b"too")]] * 3)
    assert is_rejected(hosts, make_call()) and is_rejected(
        hosts, make_call(body=b"too")
    )


def test_repeated_call_is_found_among_many_others_at_busy_servers():
    """A crash breaks off more calls than a fact has room for."""
    hosts = test_crashingparts.Hosts("a", "b")
    crash(hosts.trackers[0], 1, make_call())
    for number in (2, 3):
        beside = [make_call(body=b"%d %d" % (number, index)) for index in range(200)]
        crash(hosts.trackers[1], number, *beside, make_call())
        assert is_rejected(hosts, make_call()) == (number == 3)
    limit = crashingcalls.CallCrashes.max_suspects
    for _, table in hosts._members:
        for fact in table.of_kind(crashingcalls.CALL_CRASH, 5.0):
            assert len(fact.value) <= limit


def test_rejection_by_mistake_ends_with_the_answer_to_one_call():
    hosts = crashed_hosts(*[[make_call()]] * 3)
    trial = make_call()
    allowed = [
        tracker
        for tracker in hosts.trackers
        if tracker.find_blame(trial, 3.0 + HOLD_S) is None
    ]
    assert len(allowed) == 1
    allowed[0].record_answer(trial, 4.0 + HOLD_S)
    assert not is_rejected(hosts, make_call(), 4.1 + HOLD_S)


def test_key_depends_on_where_a_field_ends():
    first, second = make_call(target=b"/x", body=b"yz"), make_call(target=b"/xy")
    second.body = b"z"
    assert repetitions.keys(first) != repetitions.keys(second)


def test_crashes_of_a_server_that_did_not_announce_its_next_lifetime_count_each():
    """Guards against crashes of one server that are taken for a single one."""
    hosts = test_crashingparts.Hosts("a", "b")
    for number in (1, 3, 5):
        assert not is_rejected(hosts, make_call(), number)
        crash(hosts.trackers[number % 4 == 3], number, make_call(), server_number=9)
    assert is_rejected(hosts, make_call())


def test_one_crash_that_hosts_see_one_after_the_other_counts_once():
    """Guards against blame by a host that was paused when the server crashed."""
    hosts = test_crashingparts.Hosts("a", "b")
    server = test_crashingparts.make_server(1)
    for tracker, now in zip(hosts.trackers * 2, (1.0, 1.4, 3.0, 9.0)):
        tracker.record_break(make_call(), server, False, now, None, 0.9)
        tracker.confirm_crash(server.lifetime, now)
    assert not is_rejected(hosts, make_call())
