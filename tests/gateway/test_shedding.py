"""Load shedding."""

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls, shedding


def make_call(objective_s=0.8, need=True):
    new_call = calls.Call(b"POST", b"/", "a", [], b"", 0.0)
    new_call.route = serviceconfig.Route(
        "r", "a", "/", calls.Mode.STREAM, [], 4.0, objective_s, 1
    )
    new_call.need = calls.ModelNeed("m") if need else None
    return new_call


class TestShedding:
    """Overload rejects some calls, so that the others meet their objective."""

    def test_call_slightly_over_the_objective_is_accepted(self):
        assert shedding.check(make_call(), 0.9, 0.0) is None

    def test_call_with_a_late_predicted_first_event_is_rejected(self):
        error = shedding.check(make_call(), 2.0, 0.0)
        assert error.status == 429 and error.executed == "no"
        assert 1.0 < error.retry_after_s < 2.0

    def test_longer_objective_allows_a_longer_delay(self):
        assert shedding.check(make_call(objective_s=6.0), 4.0, 0.0) is None

    def test_call_without_a_model_and_route_without_an_objective_are_accepted(self):
        assert shedding.check(make_call(need=False), 9.0, 0.0) is None
        assert shedding.check(make_call(objective_s=0.0), 9.0, 0.0) is None

    def test_accepted_calls_are_in_time_when_load_exceeds_capacity(self):
        """Load is 1.5 times the capacity for 10 s.

        Without shedding the backlog would exceed the limit after about 3 s.
        """
        service_s, objective_s = 0.1, 0.8
        backlog_s, accepted_late, rejected, arrivals = 0.0, 0, 0, 0
        for step in range(150):
            now = step * service_s / 1.5
            backlog_s = max(0.0, backlog_s - service_s / 1.5)
            arrivals += 1
            new_call = make_call(objective_s)
            new_call.arrived_at = now
            if shedding.check(new_call, backlog_s, now) is not None:
                rejected += 1
                continue
            backlog_s += service_s
            accepted_late += (
                backlog_s > objective_s * shedding.MAX_DELAY_FACTOR + service_s
            )
        assert accepted_late == 0 and 0 < rejected < arrivals / 2
