"""Successions of plans that are carried out in part while the world changes."""

import hypothesis
import pytest
from hypothesis import strategies as st

from kumquatproxy.placement import placementcheck, placementplan
from tests import test_placement as worlds


def _carry_out_part(draw, backends, current, plan):
    """Return the placement after a prefix of the plan, with open intents behind it."""
    done = draw(st.integers(0, len(plan.actions)))
    sent = draw(st.integers(done, len(plan.actions)))
    after = worlds.apply(current, placementplan.Plan({}, plan.actions[:done], ()))
    intents = [
        placementplan.Intent(a.action, a.backend_id, a.item, a.memory_mb)
        for a in plan.actions[done:sent]
        if not any(index >= done for index in a.after)
    ]
    alive = {server.backend_id for server in backends}
    loaded = {name: items for name, items in after.loaded.items() if name in alive}
    return placementplan.CurrentPlacement(loaded, intents)


def _change(draw, backends):
    """Return the backend servers after one leaves, is lost or returns."""
    after = [
        worlds.server(
            int(server.backend_id[1:]),
            server.memory_mb,
            server.data_centre,
            server.leaving,
        )
        for server in backends
    ]
    what = draw(st.sampled_from(("none", "lost", "leaving", "back")))
    if after and what == "lost":
        after.pop(draw(st.integers(0, len(after) - 1)))
    if after and what == "leaving":
        after[draw(st.integers(0, len(after) - 1))].leaving = True
    if what == "back":
        for server in after:
            server.leaving = False
    return after


def run_sequence(data):
    """Check every plan of a succession of changes."""
    parsed, backends, current, demand = data.draw(worlds.worlds())
    for _ in range(5):
        plan = worlds.plan_of(parsed, backends, current, demand)
        faults = placementcheck.check(parsed, backends, current, plan)
        assert faults == []
        current = _carry_out_part(data.draw, backends, current, plan)
        backends = _change(data.draw, backends)
        for rates in demand.values():
            for item in rates:
                rates[item] = data.draw(st.sampled_from((0.0, 50.0, 500.0)))


@hypothesis.settings(max_examples=40)
@hypothesis.given(st.data())
def test_plans_stay_valid_while_the_world_changes(data):
    """Guards against a plan that relies on orders which are still open."""
    run_sequence(data)


@pytest.mark.fuzz
@hypothesis.given(st.data())
def test_many_sequences(data):
    """Guards against the same over many more successions."""
    run_sequence(data)


@pytest.mark.fuzz
@hypothesis.given(worlds.worlds())
def test_many_worlds(world):
    """Guards against a broken or unstable plan in rarer worlds."""
    parsed, backends, current, demand = world
    plan = worlds.plan_of(parsed, backends, current, demand)
    assert placementcheck.check(parsed, backends, current, plan) == []
    _, plan = worlds._settle(parsed, backends, current, demand, rounds=12)
    assert plan.actions == ()
