"""Decisions about calls: waiting, timeouts, retries, health, server selection."""

import random

import pytest

from kumquatproxy.fleet import servers, serviceconfig
from kumquatproxy.gateway import (
    brittleservers,
    calls,
    health,
    requestedpauses,
    retrybudget,
    serverlimits,
    serverselection,
    sharedfacts,
    stalltimeouts,
    stopping,
    waiting,
)


def make_route(mode=calls.Mode.SAFE, **options):
    targets = [serviceconfig.Target("s")]
    return serviceconfig.Route(
        "r", "a", "/", mode, targets, options.pop("timeout_s", 2.0), **options
    )


def make_call(mode=calls.Mode.SAFE, need=None, deadline=2.0, **options):
    new_call = calls.Call(b"GET", b"/", "a", [], b"", 0.0)
    new_call.route = make_route(mode, **options)
    new_call.need = need
    new_call.deadline = deadline
    new_call.service = "s"
    return new_call


@pytest.mark.parametrize(
    ("mode", "left_s", "is_accepting", "is_rejected"),
    [
        (calls.Mode.UNSAFE, 1.9, False, True),
        (calls.Mode.UNSAFE, 2.0, False, False),
        (calls.Mode.UNSAFE, 1.9, True, False),
        (calls.Mode.UNSAFE, 0.4, True, True),
        (calls.Mode.STREAM, 1.9, False, True),
        (calls.Mode.SAFE, 0.4, False, True),
        (calls.Mode.SAFE, 0.6, False, False),
    ],
)
def test_stopping_host_rejects_calls_that_it_may_not_see_through(
    mode, left_s, is_accepting, is_rejected
):
    """Calls with 2 s to live come late in a planned stop."""
    late_call = make_call(mode, objective_s=0.5)
    error = stopping.check(late_call, left_s, is_accepting, 0.0)
    assert (error is not None) == is_rejected
    assert stopping.check(late_call, None, True, 0.0) is None


def test_stopping_host_serves_calls_whose_objective_is_longer_than_the_stop():
    """Guards against refusals of calls that most likely end in time."""
    patient_call = make_call(deadline=15.0, objective_s=6.0)
    assert stopping.check(patient_call, 5.0, True, 0.0) is None
    assert stopping.check(patient_call, 0.9, True, 0.0) is not None


def make_need(tokens=2000, model="m", adapter="", parts=()):
    return calls.ModelNeed(model, adapter, tokens, 100, 100, parts)


ENGINE = serviceconfig.Engine(
    [serviceconfig.Model("m", 1000, 5.0, 1.0, 0.5)], 3000, 4, 100_000
)
SERVICE = serviceconfig.Service("s", engine=ENGINE)
SERVICE_WITHOUT_ENGINE = serviceconfig.Service("s")


def make_server(name, data_centre="a", born=1, models=(("m", 1, []),)):
    return servers.Announcement(
        name, "s", f"10.0.0.{name}:80", data_centre, born, 1, 4, models=models
    )


def make_chooser(*announcements):
    table = servers.ServerTable()
    for announcement in announcements:
        table.apply_announcement(announcement, 0.0)
    facts = sharedfacts.FactTable()
    limits = serverlimits.ServerLimits(facts, facts.merge)
    brittle = brittleservers.BrittleServers("h", facts, facts.merge)
    rng = random.Random(1)
    pauses = requestedpauses.RequestedPauses(rng)
    return serverselection.ServerSelector("a", table, rng, limits, brittle, pauses)


def instance_ids(candidates):
    return [candidate.announcement.instance_id for candidate in candidates]


class TestWaiting:
    """Calls wait for servers expected before the deadline, or briefly if none is."""

    def test_call_waits_for_a_model_load_that_ends_before_the_deadline(self):
        wait_policy = waiting.WaitPolicy(make_call(deadline=4.0), 0.0)
        decision = wait_policy.decide(SERVICE, waiting.ExpectedAvailability(3.0), 0.5)
        assert decision.error is None and decision.wait_s > 0

    def test_call_is_rejected_at_once_if_no_server_is_ready_before_the_deadline(self):
        """Guards against a wait until the deadline; the error says when to retry."""
        wait_policy = waiting.WaitPolicy(make_call(deadline=4.0), 0.0)
        error = wait_policy.decide(
            SERVICE, waiting.ExpectedAvailability(5.0), 0.0
        ).error
        assert error.status == 503 and error.executed == "no"
        assert error.retry_after_s == pytest.approx(5.0)

    def test_call_waits_briefly_if_no_server_is_expected(self):
        wait_policy = waiting.WaitPolicy(make_call(deadline=4.0), 0.0)
        no_server_expected = waiting.ExpectedAvailability(None)
        assert wait_policy.decide(SERVICE, no_server_expected, 0.1).error is None
        assert wait_policy.decide(
            SERVICE, no_server_expected, 0.1 + waiting.MAX_UNPLANNED_WAIT_S
        ).error

    def test_call_that_its_caller_would_leave_is_rejected_at_once(self):
        """Guards against calls that are held until their callers leave, untried."""
        call = make_call(calls.Mode.STREAM, deadline=15.0, patience_s=4.8)
        wait_policy = waiting.WaitPolicy(call, 0.0)
        in_time = waiting.ExpectedAvailability(4.0)
        assert wait_policy.decide(SERVICE, in_time, 0.0).error is None
        too_late = waiting.ExpectedAvailability(4.6)
        error = wait_policy.decide(SERVICE, too_late, 0.0).error
        assert error.retry_after_s == pytest.approx(4.6)

    def test_patience_counts_from_the_last_event_of_a_begun_stream(self):
        call = make_call(calls.Mode.STREAM, deadline=15.0, patience_s=4.8)
        wait_policy = waiting.WaitPolicy(call, 6.0, has_begun=True)
        expected = waiting.ExpectedAvailability(2.0)
        assert wait_policy.decide(SERVICE, expected, 6.0).error is None

    def test_time_of_a_load_that_nobody_has_begun_is_not_assumed_anew(self):
        """Guards against an expected time that moves on with each check."""
        wait_policy = waiting.WaitPolicy(make_call(deadline=15.0), 0.0)
        assumed = waiting.ExpectedAvailability(1.5, is_assumed=True)
        assert wait_policy.decide(SERVICE, assumed, 0.0).error is None
        assert wait_policy.decide(SERVICE, assumed, 1.4).error is None
        under_way = waiting.ExpectedAvailability(1.5)
        assert wait_policy.decide(SERVICE, under_way, 1.5).error is None
        assert wait_policy.decide(SERVICE, assumed, 1.5).error

    def test_call_that_would_wait_until_the_host_stops_is_rejected(self):
        """Guards against calls that are lost when the stop's grace period ends."""
        wait_policy = waiting.WaitPolicy(make_call(deadline=12.0), 0.0)
        expected_availability = waiting.ExpectedAvailability(5.0)
        assert wait_policy.decide(SERVICE, expected_availability, 0.0).error is None
        assert wait_policy.decide(
            SERVICE, expected_availability, 0.0, stops_at=5.5
        ).error


class TestNotReady:
    """Callers come back once the control hosts have a leader again."""

    def test_callers_of_a_host_that_has_just_started_are_sent_away_for_longer(self):
        """Guards against callers whose only retry comes before the configuration."""
        early = waiting.not_ready_retry_after_s(0.1, 0.0)
        assert early == pytest.approx(waiting.READY_AFTER_START_S - 0.1)
        late = waiting.not_ready_retry_after_s(30.0, 0.0)
        assert late == waiting.MIN_NOT_READY_RETRY_AFTER_S
        assert waiting.not_ready_retry_after_s(0.1, 1.0) > early


class TestStallTimeouts:
    """A stalled server times out early enough for a retry, if one is allowed."""

    def test_call_that_must_not_be_retried_waits_until_its_deadline(self):
        timeouts = stalltimeouts.for_attempt(
            make_call(calls.Mode.UNSAFE), may_retry=False
        )
        assert timeouts.initial_s is None and timeouts.idle_s is None

    def test_half_of_the_timeout_remains_for_the_retry(self):
        timeouts = stalltimeouts.for_attempt(make_call(timeout_s=0.8), may_retry=True)
        assert timeouts.initial_s <= 0.4


class TestBudget:
    """All hosts together stay within the limit on retries of each window."""

    def test_retries_stay_within_the_limit_of_all_hosts(self):
        retry_budget = retrybudget.RetryBudget(0.2, 56.0, 10.0)
        hosts = 8
        retries = 0
        for step in range(1000):
            now = step * 0.01
            retry_budget.record_request("s", now)
            if retry_budget.allows("s", hosts, now):
                retry_budget.record_retry("s", now)
                retries += 1
        assert hosts * retries <= 0.2 * hosts * 1000 + 56

    def test_retries_expire_after_the_window(self):
        retry_budget = retrybudget.RetryBudget(0.0, 30.0, 10.0)
        while retry_budget.allows("s", 1, 0.0):
            retry_budget.record_retry("s", 0.0)
        assert not retry_budget.allows("s", 1, 9.0)
        assert retry_budget.allows("s", 1, 10.5)

    def test_each_service_has_its_own_budget(self):
        retry_budget = retrybudget.RetryBudget(0.0, 30.0, 10.0)
        while retry_budget.allows("s", 1, 0.0):
            retry_budget.record_retry("s", 0.0)
        assert retry_budget.allows("t", 1, 0.0)


class TestHealth:
    """Servers that cannot be reached are ejected for an increasing time."""

    def test_ejection_time_doubles_and_a_success_ends_it(self):
        server_health = health.Health()
        server_health.record_failure(0.0, is_unreachable=True)
        assert not server_health.is_usable(0.4) and server_health.is_usable(0.6)
        server_health.record_failure(0.6, is_unreachable=True)
        assert not server_health.is_usable(1.5)
        server_health.record_success()
        assert server_health.is_usable(1.5)

    def test_server_that_did_not_execute_a_call_is_briefly_unusable(self):
        server_health = health.Health()
        server_health.record_not_executed(0.0)
        assert not server_health.is_usable(0.05) and server_health.is_usable(0.2)


class TestChoice:
    """Calls go to the server with the lowest predicted delay."""

    def test_own_calls_in_flight_are_counted_at_once(self):
        """Guards against sending the calls of one report interval to one server."""
        selector = make_chooser(make_server("1"), make_server("2"))
        call = make_call(need=make_need())
        first = selector.choose(selector.candidates(call, SERVICE, set(), 0.0))
        selector.start_call(call, first)
        second = selector.candidates(call, SERVICE, set(), 0.0)[0]
        assert second.announcement.instance_id != first.instance_id

    def test_calls_of_other_hosts_are_counted(self):
        selector = make_chooser(make_server("1"), make_server("2"))
        selector.set_other_host_loads({"1": [3, 9000], "2": [0, 0]}, {})
        candidates = selector.candidates(
            make_call(need=make_need()), SERVICE, set(), 0.0
        )
        assert instance_ids(candidates) == ["2", "1"]

    def test_server_with_a_cached_prompt_prefix_is_preferred(self):
        parts = [calls.PromptPart("p", 1500)]
        selector = make_chooser(make_server("1"), make_server("2"))
        call = make_call(need=make_need(parts=parts))
        in_flight_call = selector.start_call(call, selector.table.get("2"))
        in_flight_call.has_first_event = True
        selector.end_call(selector.table.get("2"), in_flight_call)
        candidates = selector.candidates(call, SERVICE, set(), 0.0)
        assert instance_ids(candidates) == ["2", "1"]

    def test_server_that_is_unloading_the_model_is_excluded(self):
        selector = make_chooser(make_server("1"), make_server("2"))
        selector.leaving_models_by_id = {"1": frozenset(["m"])}
        candidates = selector.candidates(
            make_call(need=make_need()), SERVICE, set(), 0.0
        )
        assert instance_ids(candidates) == ["2"]

    def test_server_without_the_adapter_is_excluded(self):
        selector = make_chooser(make_server("1"), make_server("2"))
        selector.adapters_by_id = {"2": frozenset(["m/a1"])}
        adapter_call = make_call(need=make_need(adapter="a1"))
        assert instance_ids(selector.candidates(adapter_call, SERVICE, set(), 0.0)) == [
            "2"
        ]
        selector.remove_adapter(selector.table.get("2"), adapter_call.need)
        assert selector.candidates(adapter_call, SERVICE, set(), 0.0) == []

    def test_server_in_the_same_data_centre_is_preferred(self):
        selector = make_chooser(make_server("1", "b"), make_server("2", "a"))
        assert instance_ids(
            selector.candidates(make_call(), SERVICE_WITHOUT_ENGINE, set(), 0.0)
        ) == [
            "2",
            "1",
        ]

    def test_servers_with_equal_delay_are_selected_at_random(self):
        """Guards against concurrent hosts that all select the same server."""
        selector = make_chooser(*[make_server(str(number)) for number in range(4)])
        selected_ids = {
            selector.choose(
                selector.candidates(make_call(), SERVICE_WITHOUT_ENGINE, set(), 0.0)
            ).instance_id
            for _ in range(50)
        }
        assert len(selected_ids) == 4


class TestPausedServers:
    """Calls wait for the end of a pause only if no other server can take them."""

    def make(self, *paused_names):
        models = [["m", 1, []]]
        announcements = [make_server(name, models=models) for name in ("1", "2")]
        selector = make_chooser(*announcements)
        selector.adapters_by_id = {"1": frozenset(["m/a1"])}
        head = calls.ResponseHead(503, [])
        head.names_pause, head.pause_s = True, 3.0
        for announcement in announcements:
            if announcement.instance_id in paused_names:
                selector._pauses.record_answer(announcement, head, 0.0, 0.0)
        return selector

    @pytest.mark.parametrize(
        ("paused_names", "adapter", "is_pause"),
        [
            (("1",), "", False),
            (("1",), "a1", False),  # it can be loaded at the other server
            (("1", "2"), "", True),
            (("1", "2"), "a1", True),
            ((), "a2", False),
        ],
    )
    def test_pause_counts_if_all_servers_with_the_model_pause(
        self, paused_names, adapter, is_pause
    ):
        call = make_call(deadline=9.0)
        call.service, call.need = "s", calls.ModelNeed("m", adapter)
        left_s = self.make(*paused_names).pause_left_s(call, (), 1.0)
        assert (left_s is not None) is is_pause
        if is_pause:
            assert 2.0 <= left_s <= 2.0 + requestedpauses.MAX_RETURN_SPREAD_S

    @pytest.mark.parametrize(
        ("deadline", "waits"), [(2.4, False), (2.6, True), (9.0, True)]
    )
    def test_call_waits_for_an_end_that_leaves_time_to_serve_it(self, deadline, waits):
        policy = waiting.WaitPolicy(make_call(deadline=deadline), 0.0)
        expected = waiting.after_pause(waiting.ExpectedAvailability(None), 2.0, 1.0)
        error = policy.decide(SERVICE, expected, 0.0).error
        assert (error is None) is waits
        if not waits:
            spread_s = waiting.PAUSE_RETURN_SPREAD_S
            assert error.retry_after_s == pytest.approx(2.0 + spread_s)

    def test_load_under_way_is_waited_for_if_it_ends_sooner(self):
        policy = waiting.WaitPolicy(make_call(deadline=2.0), 0.0)
        coming = waiting.ExpectedAvailability(1.0)
        expected = waiting.after_pause(coming, 5.0, 0.0)
        assert policy.decide(SERVICE, expected, 0.0).error is None


class TestBegunStream:
    """A stream that has events goes on at servers of its software version only."""

    @pytest.fixture
    def selector(self):
        selector = make_chooser(*(make_server(str(number)) for number in range(3)))
        for number, version in enumerate(("v1", "v2", "v1")):
            selector.table.get(str(number)).software_version = version
        return selector

    def stream(self, version):
        call = make_call(calls.Mode.STREAM, make_need())
        call.software_version = version
        return call

    def test_servers_of_other_versions_are_excluded(self, selector):
        for version, expected in (
            ("v1", ["0", "2"]),
            ("v2", ["1"]),
            ("", []),
            (None, ["0", "1", "2"]),
        ):
            found = selector.candidates(self.stream(version), SERVICE, set(), 0.0)
            assert sorted(instance_ids(found)) == expected

    def test_wait_is_useless_without_a_ready_server_of_the_version(self, selector):
        """Guards against holding a call for a version that no longer serves."""
        assert selector.expected_for_begun_stream(
            self.stream("v3"), set(), 0.0
        ).is_excluded
        tried = {selector.table.get("1").lifetime}
        assert selector.expected_for_begun_stream(
            self.stream("v2"), tried, 0.0
        ).is_excluded

    def test_wait_lasts_until_an_ejected_server_of_the_version_is_usable(
        self, selector
    ):
        """Guards against a rejection just before the server takes calls again.

        A server that failed several times is not awaited.
        """
        server_health = selector.view(selector.table.get("1")).health
        server_health.record_failure(0.0, is_unreachable=True)
        expected = selector.expected_for_begun_stream(self.stream("v2"), set(), 0.1)
        assert expected.ready_in_s == pytest.approx(0.4) and not expected.is_excluded
        for _ in range(2):
            server_health.record_failure(0.1, is_unreachable=True)
        assert selector.expected_for_begun_stream(
            self.stream("v2"), set(), 0.2
        ).is_excluded

    def test_load_of_the_model_is_awaited_briefly(self, selector):
        """Guards against holding a call for a load at a server of another version."""
        selector.table.get("1").models = []
        call = self.stream("v2")
        expected = selector.expected_for_begun_stream(call, set(), 0.0)
        assert expected.ready_in_s is None and not expected.is_excluded
        wait_policy = waiting.WaitPolicy(call, 0.0)
        assert wait_policy.decide(SERVICE, expected, 0.1).error is None
        limit_s = waiting.MAX_UNPLANNED_WAIT_S
        assert wait_policy.decide(SERVICE, expected, limit_s).error
