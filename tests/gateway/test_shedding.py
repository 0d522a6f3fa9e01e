"""Turning calls away at overload."""

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls, shedding


def call(objective_s=0.8, need=True):
    made = calls.Call(b"POST", b"/", "a", [], b"", 0.0)
    made.route = serviceconfig.Route(
        "r", "a", "/", calls.Mode.STREAM, [], 4.0, objective_s, 1
    )
    made.need = calls.ModelNeed("m") if need else None
    return made


class TestShedding:
    """At overload some calls are turned away, so that the others are in time."""

    def test_a_call_that_would_be_in_time_is_taken(self):
        assert shedding.check(call(), 0.9, 0.0) is None

    def test_a_call_that_would_be_late_is_turned_away_at_once(self):
        error = shedding.check(call(), 2.0, 0.0)
        assert error.status == 429 and error.executed == "no"
        assert 1.0 < error.retry_after_s < 2.0

    def test_a_generous_objective_waits(self):
        assert shedding.check(call(objective_s=6.0), 4.0, 0.0) is None

    def test_plain_calls_and_routes_without_an_objective_are_taken(self):
        assert shedding.check(call(need=False), 9.0, 0.0) is None
        assert shedding.check(call(objective_s=0.0), 9.0, 0.0) is None

    def test_offered_load_beyond_capacity_leaves_the_taken_calls_in_time(self):
        """Arrivals at 1.5 times the capacity for 10 s; without it all are late."""
        service_s, objective_s = 0.1, 0.8
        backlog_s, taken_late, refused, arrivals = 0.0, 0, 0, 0
        for step in range(150):
            now = step * service_s / 1.5
            backlog_s = max(0.0, backlog_s - service_s / 1.5)
            arrivals += 1
            made = call(objective_s)
            made.arrived_at = now
            if shedding.check(made, backlog_s, now) is not None:
                refused += 1
                continue
            backlog_s += service_s
            taken_late += backlog_s > objective_s * shedding.OBJECTIVES + service_s
        assert taken_late == 0 and 0 < refused < arrivals / 2
