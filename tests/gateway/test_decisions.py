"""Pure decisions about calls: waiting, patience, budget, health, choice of server."""

import random

import pytest

from kumquatproxy.fleet import servers, serviceconfig
from kumquatproxy.gateway import budget, calls, choice, health, patience, waiting


def route(mode=calls.Mode.SAFE, **options):
    targets = [serviceconfig.Target("s")]
    return serviceconfig.Route(
        "r", "a", "/", mode, targets, options.pop("timeout_s", 2.0), **options
    )


def call(mode=calls.Mode.SAFE, need=None, deadline=2.0, **options):
    made = calls.Call(b"GET", b"/", "a", [], b"", 0.0)
    made.route = route(mode, **options)
    made.need = need
    made.deadline = deadline
    made.service = "s"
    return made


def need(tokens=2000, model="m", adapter="", parts=()):
    return calls.ModelNeed(model, adapter, tokens, 100, 100, parts)


ENGINE = serviceconfig.Engine(
    [serviceconfig.Model("m", 1000, 5.0, 1.0, 0.5)], 3000, 4, 100_000
)
SERVICE = serviceconfig.Service("s", engine=ENGINE)
PLAIN = serviceconfig.Service("s")


def server(name, centre="a", born=1, models=(("m", 1, []),)):
    return servers.Announcement(
        name, "s", f"10.0.0.{name}:80", centre, born, 1, 4, models=models
    )


def chooser(*announcements):
    table = servers.ServerTable()
    for one in announcements:
        table.hear(one, 0.0)
    return choice.Chooser("a", table, random.Random(1))


def names(found):
    return [one.announcement.instance_id for one in found]


class TestWaiting:
    """Calls wait only for what will come in their time."""

    def test_a_call_waits_for_a_load_that_ends_in_time(self):
        waiter = waiting.Waiter(call(deadline=4.0), 0.0)
        verdict = waiter.verdict(SERVICE, waiting.Outlook(3.0), 0.5)
        assert verdict.error is None and verdict.wait_s > 0

    def test_what_cannot_be_served_is_refused_at_once(self):
        """Holding it until its deadline helps nobody; it is told when to come back."""
        waiter = waiting.Waiter(call(deadline=4.0), 0.0)
        error = waiter.verdict(SERVICE, waiting.Outlook(5.0), 0.0).error
        assert error.status == 503 and error.executed == "no"
        assert error.retry_after_s == pytest.approx(5.0)

    def test_without_any_prospect_a_call_waits_briefly(self):
        waiter = waiting.Waiter(call(deadline=4.0), 0.0)
        nothing = waiting.Outlook(None)
        assert waiter.verdict(SERVICE, nothing, 0.1).error is None
        assert waiter.verdict(SERVICE, nothing, 0.1 + waiting.BLIND_WAIT_S).error

    def test_no_call_waits_on_a_host_until_it_stops(self):
        """trouble-2: two calls were cut off when the grace of a stop was over."""
        waiter = waiting.Waiter(call(deadline=12.0), 0.0)
        outlook = waiting.Outlook(5.0)
        assert waiter.verdict(SERVICE, outlook, 0.0).error is None
        assert waiter.verdict(SERVICE, outlook, 0.0, stops_at=5.5).error


class TestPatience:
    """A silent server is left in time for another one, if that is allowed."""

    def test_a_call_that_cannot_be_repeated_waits_until_its_deadline(self):
        limits = patience.limits(call(calls.Mode.UNSAFE), may_try_again=False)
        assert limits.first_s is None and limits.pause_s is None

    def test_half_of_the_time_is_left_for_the_other_server(self):
        limits = patience.limits(call(timeout_s=0.8), may_try_again=True)
        assert limits.first_s <= 0.4


class TestBudget:
    """All hosts together stay within the share of retries of each window."""

    def test_a_host_keeps_to_its_share_whatever_fails(self):
        shared = budget.RetryBudget(0.2, 56.0, 10.0)
        hosts = 8
        repeats = 0
        for step in range(1000):
            now = step * 0.01
            shared.note_request("s", now)
            if shared.allows("s", hosts, now):
                shared.note_repeat("s", now)
                repeats += 1
        assert hosts * repeats <= 0.2 * hosts * 1000 + 56

    def test_old_repeats_leave_the_window(self):
        shared = budget.RetryBudget(0.0, 30.0, 10.0)
        while shared.allows("s", 1, 0.0):
            shared.note_repeat("s", 0.0)
        assert not shared.allows("s", 1, 9.0)
        assert shared.allows("s", 1, 10.5)

    def test_services_do_not_share_a_budget(self):
        shared = budget.RetryBudget(0.0, 30.0, 10.0)
        while shared.allows("s", 1, 0.0):
            shared.note_repeat("s", 0.0)
        assert shared.allows("t", 1, 0.0)


class TestHealth:
    """Servers that cannot be reached are left out for a growing time."""

    def test_the_time_doubles_and_a_success_ends_it(self):
        seen = health.Health()
        seen.failed(0.0, is_unreachable=True)
        assert not seen.is_usable(0.4) and seen.is_usable(0.6)
        seen.failed(0.6, is_unreachable=True)
        assert not seen.is_usable(1.5)
        seen.succeeded()
        assert seen.is_usable(1.5)

    def test_a_full_server_is_left_out_briefly(self):
        seen = health.Health()
        seen.refused(0.0)
        assert not seen.is_usable(0.05) and seen.is_usable(0.2)


class TestChoice:
    """The server with the least predicted delay takes a call."""

    def test_own_calls_count_at_once(self):
        """Several calls within one report interval must not meet at one server."""
        chosen = chooser(server("1"), server("2"))
        one = call(need=need())
        first = chosen.choose(chosen.candidates(one, SERVICE, set(), 0.0))
        chosen.start(one, first)
        second = chosen.candidates(one, SERVICE, set(), 0.0)[0]
        assert second.announcement.instance_id != first.instance_id

    def test_the_calls_of_other_hosts_count(self):
        chosen = chooser(server("1"), server("2"))
        chosen.set_others({"1": [3, 9000], "2": [0, 0]}, {})
        found = chosen.candidates(call(need=need()), SERVICE, set(), 0.0)
        assert names(found) == ["2", "1"]

    def test_shared_parts_draw_a_call_to_where_they_are_kept(self):
        parts = [calls.Part("p", 1500)]
        chosen = chooser(server("1"), server("2"))
        one = call(need=need(parts=parts))
        flight = chosen.start(one, chosen.table.get("2"))
        flight.has_answered = True
        chosen.end(chosen.table.get("2"), flight)
        found = chosen.candidates(one, SERVICE, set(), 0.0)
        assert names(found) == ["2", "1"]

    def test_a_model_that_is_about_to_go_is_avoided(self):
        chosen = chooser(server("1"), server("2"))
        chosen.leaving_models_by_id = {"1": frozenset(["m"])}
        found = chosen.candidates(call(need=need()), SERVICE, set(), 0.0)
        assert names(found) == ["2"]

    def test_an_adapter_must_be_there(self):
        chosen = chooser(server("1"), server("2"))
        chosen.adapters_by_id = {"2": frozenset(["m/a1"])}
        wanted = call(need=need(adapter="a1"))
        assert names(chosen.candidates(wanted, SERVICE, set(), 0.0)) == ["2"]
        chosen.lacks(chosen.table.get("2"), wanted.need)
        assert chosen.candidates(wanted, SERVICE, set(), 0.0) == []

    def test_the_own_data_centre_comes_first(self):
        chosen = chooser(server("1", "b"), server("2", "a"))
        assert names(chosen.candidates(call(), PLAIN, set(), 0.0)) == ["2", "1"]

    def test_equal_servers_are_drawn_from(self):
        """Hosts that choose at the same time must not all take the same one."""
        chosen = chooser(*[server(str(one)) for one in range(4)])
        drawn = {
            chosen.choose(chosen.candidates(call(), PLAIN, set(), 0.0)).instance_id
            for _ in range(50)
        }
        assert len(drawn) == 4
