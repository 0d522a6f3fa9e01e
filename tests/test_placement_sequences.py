"""Sequences of plans that are executed in part while servers and demand change.

A plan must stay valid if only part of the previous one has run and more of its orders
are still open.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from kumquatproxy.placement import placementcheck, placementplan
from tests import test_placement as cases


def _execute_part(draw, backends, current, plan):
    """Return the placement after a prefix of the plan, with some open intents."""
    done = draw(st.integers(0, len(plan.actions)))
    sent = draw(st.integers(done, len(plan.actions)))
    after = cases.apply_plan(current, placementplan.Plan({}, plan.actions[:done], ()))
    intents = [
        placementplan.Intent(a.action, a.backend_id, a.item, a.memory_mb)
        for a in plan.actions[done:sent]
        if not any(index >= done for index in a.after)
    ]
    alive = {server.backend_id for server in backends}
    loaded = {name: items for name, items in after.loaded.items() if name in alive}
    return placementplan.CurrentPlacement(loaded, intents)


def _change_servers(draw, backends):
    """Return the servers after a change.

    Either none changes, one is lost, one is leaving, or no server is leaving any more.
    """
    after = [
        cases.make_server(
            int(server.backend_id[1:]),
            server.memory_mb,
            server.data_centre,
            server.leaving,
        )
        for server in backends
    ]
    change = draw(st.sampled_from(("none", "lost", "leaving", "stay")))
    if after and change == "lost":
        after.pop(draw(st.integers(0, len(after) - 1)))
    if after and change == "leaving":
        after[draw(st.integers(0, len(after) - 1))].leaving = True
    if change == "stay":
        for server in after:
            server.leaving = False
    return after


def run_sequence(data):
    """Check every plan in a sequence of changes."""
    parsed, backends, current, demand = data.draw(cases.placement_cases())
    for _ in range(5):
        plan = cases.make_plan(parsed, backends, current, demand)
        violations = placementcheck.check(parsed, backends, current, plan)
        assert violations == []
        current = _execute_part(data.draw, backends, current, plan)
        backends = _change_servers(data.draw, backends)
        for rates in demand.values():
            for item in rates:
                rates[item] = data.draw(st.sampled_from((0.0, 50.0, 500.0)))


@hypothesis.settings(max_examples=40)
@hypothesis.given(st.data())
def test_plans_stay_valid_while_servers_and_demand_change(data):
    """Guards against a plan that relies on orders that are still open."""
    run_sequence(data)


@pytest.mark.fuzz
@hypothesis.given(st.data())
def test_plans_stay_valid_in_many_sequences(data):
    """Guards against the same in many more sequences."""
    run_sequence(data)


@pytest.mark.fuzz
@hypothesis.given(cases.placement_cases())
def test_plans_are_valid_and_converge_in_many_cases(case):
    """Guards against invalid or oscillating plans in rare cases."""
    parsed, backends, current, demand = case
    plan = cases.make_plan(parsed, backends, current, demand)
    assert placementcheck.check(parsed, backends, current, plan) == []
    _, plan = cases._plan_until_idle(parsed, backends, current, demand, rounds=12)
    assert plan.actions == ()
