"""Blame of prompt parts that crash servers, and its end."""

import itertools

import pytest

from kumquatproxy.fleet import servers
from kumquatproxy.gateway import (
    calls,
    crashes,
    crashingparts,
    sharedfacts,
    suspicion,
)

HOLD_S = suspicion.FIRST_HOLD_S


NUMBERS = itertools.count()


def make_call(*part_ids, service="s"):
    """Return a call with these prompt parts and one of its own."""
    call = calls.Call(b"POST", b"/%d" % next(NUMBERS), "a", [], b"", 0.0)
    call.service = service
    parts = [calls.PromptPart(part_id, 10) for part_id in (*part_ids, "own")]
    call.need = calls.ModelNeed("m", parts=parts)
    return call


def make_server(number, born_ms=1):
    return servers.Announcement(
        f"i-{number}", "s", f"10.0.0.{number}:80", "a", born_ms, 1, 4
    )


class Hosts:
    """Trackers that learn each other's facts at once."""

    def __init__(self, *host_ids):
        self._members = []
        for host_id in host_ids:
            table = sharedfacts.FactTable()

            def publish(fact, now, table=table):
                if table.merge(fact, now) is not None:
                    self._spread(fact, now, table)

            tracker = crashes.CrashTracker(host_id, table, publish)
            self._members.append((tracker, table))

    @property
    def trackers(self):
        return [tracker for tracker, _ in self._members]

    def _spread(self, fact, now, own_table):
        fields = fact.to_wire(now)
        for tracker, table in self._members:
            if table is not own_table:
                merged = table.merge(sharedfacts.from_wire(fields, now), now)
                if merged is not None:
                    tracker.handle_facts([merged], now)

    def rejections(self, call, now):
        """Return at which hosts a call is rejected."""
        return [tracker.find_blame(call, now) is not None for tracker in self.trackers]


def crash(tracker, number, now, *suspect_calls, has_begun=True, born_ms=1):
    """Let a server crash before it has sent an event of some calls."""
    server = make_server(number, born_ms)
    for call in suspect_calls:
        tracker.record_break(call, server, has_begun, now)
    tracker.confirm_crash(server.lifetime, now)


def test_part_is_blamed_at_all_hosts_after_two_crashes_at_different_hosts():
    hosts = Hosts("a", "b", "c")
    first, second, _ = hosts.trackers
    first.record_answer(make_call("shared"), 1.0)
    crash(first, 1, 2.0, make_call("shared", "dead"))
    assert hosts.rejections(make_call("shared", "dead"), 2.1) == [False] * 3
    crash(second, 2, 3.0, make_call("shared", "dead"))
    assert hosts.rejections(make_call("other", "dead"), 3.1) == [True] * 3
    assert hosts.rejections(make_call("shared"), 3.1) == [False] * 3


def test_part_is_blamed_after_three_crashes_before_a_response_had_begun():
    """A server may crash before it sends the head."""
    hosts = Hosts("a")
    for number in (1, 2, 3):
        assert hosts.rejections(make_call("dead"), number) == [False]
        call = make_call("dead")
        crash(hosts.trackers[0], number, number, call, has_begun=False)
    assert hosts.rejections(make_call("dead"), 3.1) == [True]


def test_crash_that_several_hosts_have_seen_counts_once():
    hosts = Hosts("a", "b", "c")
    for tracker in hosts.trackers:
        crash(tracker, 1, 2.0, make_call("x"))
    assert hosts.rejections(make_call("x"), 2.1) == [False] * 3


def test_each_lifetime_of_a_server_counts():
    hosts = Hosts("a")
    for born_ms in (1, 2):
        crash(hosts.trackers[0], 1, born_ms, make_call("dead"), born_ms=born_ms)
    assert hosts.rejections(make_call("dead"), 2.1) == [True]


@pytest.mark.parametrize("answered_at", [1.0, 2.5])
def test_part_with_an_answer_at_another_host_is_not_blamed(answered_at):
    """Guards against rejected sound calls that crashes have broken off."""
    hosts = Hosts("a", "b")
    if answered_at == 1.0:
        hosts.trackers[1].record_answer(make_call("x"), answered_at)
    crash(hosts.trackers[0], 1, 2.0, make_call("x"))
    if answered_at == 2.5:
        hosts.trackers[1].record_answer(make_call("x"), answered_at)
    crash(hosts.trackers[0], 2, 3.0, make_call("x"))
    crash(hosts.trackers[0], 3, 4.0, make_call("x"))
    assert hosts.rejections(make_call("x"), 4.1) == [False, False]


def test_calls_broken_off_beside_a_deadly_one_are_not_blamed():
    """Guards against blame for each part that was there at several crashes."""
    hosts = Hosts("a")
    tracker = hosts.trackers[0]
    for number in range(1, 6):
        beside = [make_call("shared", f"subject-{index}") for index in range(3)]
        for call in beside:
            tracker.record_break(call, make_server(number), False, number)
        crash(tracker, number, number, make_call("shared", "dead"))
    assert hosts.rejections(make_call("shared", "dead"), 5.1) == [True]
    assert hosts.rejections(make_call("shared", "subject-1"), 5.1) == [False]


def test_parts_that_came_together_are_blamed_together_until_one_is_cleared():
    """Guards against rejection of all calls of a caller whose first calls crash."""
    hosts = Hosts("a", "b")
    for number in (1, 2):
        crash(hosts.trackers[0], number, number, make_call("shared", "dead"))
    assert hosts.rejections(make_call("shared", "dead"), 2.1) == [True, True]
    assert hosts.rejections(make_call("shared"), 2.1) == [False, False]
    hosts.trackers[1].record_answer(make_call("shared"), 3.0)
    assert hosts.rejections(make_call("other", "dead"), 3.1) == [True, True]


def test_blame_is_narrowed_by_a_further_crash():
    """The parts shared by all crashes are blamed, whatever else a call has."""
    hosts = Hosts("a")
    tracker = hosts.trackers[0]
    for number in (1, 2):
        crash(tracker, number, number, make_call("x", "dead"))
    assert hosts.rejections(make_call("y", "dead"), 2.1) == [False]
    crash(tracker, 3, 3.0, make_call("y", "dead"))
    assert hosts.rejections(make_call("z", "dead"), 3.1) == [True]


def test_end_of_a_leaving_server_is_no_crash():
    hosts = Hosts("a")
    for number in range(1, 6):
        server = make_server(number)
        server.state = servers.ServerState.LEAVING
        call = make_call("x")
        assert not hosts.trackers[0].record_break(call, server, True, number)
        hosts.trackers[0].confirm_crash(server.lifetime, number)
    assert hosts.rejections(make_call("x"), 6.0) == [False]


def test_broken_call_without_a_crash_is_no_evidence():
    """Guards against blame for connections that were reset."""
    hosts = Hosts("a")
    for number in range(1, 6):
        call = make_call("x")
        assert hosts.trackers[0].record_break(call, make_server(number), True, number)
    assert hosts.rejections(make_call("x"), 6.0) == [False]


def test_next_lifetime_at_the_address_confirms_a_crash():
    """A dark server refuses no connection."""
    hosts = Hosts("a")
    for number in (1, 2):
        call = make_call("dead")
        hosts.trackers[0].record_break(call, make_server(number), True, 1.0)
        later = servers.Announcement(
            f"i-1{number}", "s", f"10.0.0.{number}:80", "a", 5, 1, 4
        )
        hosts.trackers[0].confirm_ended(later, 4.0)
    assert hosts.rejections(make_call("dead"), 4.1) == [True]


def test_calls_of_another_service_are_not_rejected():
    hosts = Hosts("a")
    for number in (1, 2):
        crash(hosts.trackers[0], number, number, make_call("dead"))
    assert hosts.rejections(make_call("dead", service="other"), 2.1) == [False]


def blamed_hosts():
    hosts = Hosts("a", "b", "c")
    crash(hosts.trackers[1], 1, 0.0, make_call("dead"))
    crash(hosts.trackers[2], 2, 0.0, make_call("dead"))
    return hosts


def test_one_host_sends_one_call_as_a_trial_after_the_hold():
    hosts = blamed_hosts()
    assert hosts.rejections(make_call("dead"), HOLD_S - 0.1) == [True] * 3
    trial = make_call("dead")
    assert hosts.rejections(trial, HOLD_S) == [True, False, True]
    assert hosts.rejections(make_call("dead"), HOLD_S) == [True] * 3
    assert hosts.rejections(trial, HOLD_S) == [True, False, True]


def test_answer_to_the_trial_ends_the_blame_at_all_hosts():
    """A part that was blamed by mistake is served again."""
    hosts = blamed_hosts()
    trial = make_call("dead")
    assert hosts.trackers[1].find_blame(trial, HOLD_S) is None
    hosts.trackers[1].record_answer(trial, HOLD_S + 1.0)
    assert hosts.rejections(make_call("dead"), HOLD_S + 1.1) == [False] * 3


def test_crash_by_the_trial_prolongs_the_blame():
    hosts = blamed_hosts()
    trial = make_call("dead")
    assert hosts.trackers[1].find_blame(trial, HOLD_S) is None
    crash(hosts.trackers[1], 3, HOLD_S + 1.0, trial)
    hosts.trackers[1].end_call(trial, HOLD_S + 1.0)
    for age_s in (1.1, 2 * HOLD_S, suspicion.HOLD_FACTOR * HOLD_S):
        assert hosts.rejections(make_call("dead"), HOLD_S + age_s) == [True] * 3


def test_trials_that_decide_nothing_are_few():
    """Guards against a series of calls to servers that refuse them."""
    hosts = blamed_hosts()
    tracker = hosts.trackers[1]
    sent = 0
    for _ in range(20):
        call = make_call("dead")
        sent += tracker.find_blame(call, HOLD_S) is None
        tracker.end_call(call, HOLD_S)
    assert sent == suspicion.MAX_TRIAL_CALLS


def test_ids_that_callers_choose_take_limited_memory():
    hosts = Hosts("a")
    tracker = hosts.trackers[0]
    long_id = "x" * 10_000
    for number in range(1, 3):
        crash(tracker, number, number, make_call(long_id))
    assert hosts.rejections(make_call(long_id), 2.1) == [True]
    assert all(
        len(part) < 100 for part in crashingparts.shared_parts(make_call(long_id))
    )
