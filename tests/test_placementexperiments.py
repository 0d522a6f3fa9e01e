"""The evaluation gives known results for worlds that can be worked out by hand."""

import math

import pytest

from kumquatproxy.laboratory import measure, measure_placement, placementexperiments
from kumquatproxy.placement import placementplan, placementscaling
from tests import test_placement as worlds


def _slot(index, load=0.0):
    slot = worlds.planners.placementlayout.PlannedServer(
        worlds.make_server(index, 100), 100.0
    )
    slot.assigned_rate = load
    return slot


def test_demand_is_split_to_equal_utilisation():
    """Guards against a capacity model that favours a planner by its split."""
    slots = [_slot(1, 50.0), _slot(2, 10.0), _slot(3, 90.0)]
    assert placementscaling.water_fill(slots, 60.0) == {"b02": 50.0, "b01": 10.0}
    assert sum(placementscaling.water_fill(slots, 300.0).values()) == pytest.approx(
        300.0
    )


def test_missed_demand_is_counted():
    """Guards against an attainment of 1 whatever is loaded."""
    parsed = worlds.make_sheet([(10, 1), (10, 1)])
    first, second = (parsed.models_by_name[f"m{i}"].item() for i in range(2))
    backends = [worlds.make_server(1, 100), worlds.make_server(2, 100, "b")]
    world = placementexperiments.World(parsed, backends)
    rates = {"a": {first: 300.0, second: 100.0}}
    served = placementexperiments.served
    assert served(world, {}, rates) == 0.0
    assert served(world, {"b01": {first: 10}}, rates) == 200.0
    loaded = {"b01": {first: 10}, "b02": {second: 10}}
    assert served(world, loaded, rates) == pytest.approx(300.0)
    assert placementexperiments.bound(world, rates) == pytest.approx(400.0)


@pytest.mark.parametrize("name", ["port-louis", "cordillera"])
def test_runs_are_equal_for_equal_seeds(name):
    """Guards against figures that cannot be reproduced."""
    outcomes = []
    for _ in range(2):
        trace = placementexperiments.Trace(placementexperiments.WORLDS[name](), 5)
        outcomes.append(placementexperiments.Run(trace, "balanced").run(0.2))
    assert outcomes[0] == outcomes[1]
    assert outcomes[0].attainment_of_bound() <= 1.0


def _loss():
    """Return the world after a loss, the placement and the plan that restores it."""
    parsed = worlds.make_sheet([(20, 1)] * 6, [(0, 2), (3, 2)])
    backends = [worlds.make_server(i, 150) for i in range(2)]
    world = placementexperiments.World(parsed, backends)
    loaded = placementexperiments.settled(world)
    rest = world.without(lambda server: server.backend_id == "b00")
    current = placementplan.CurrentPlacement({"b01": loaded["b01"]})
    plan = worlds.make_plan(parsed, rest.backends, current)
    assert plan.moves() >= 3
    return rest, loaded, plan


def test_lost_replicas_return_within_the_unavoidable_load_time():
    """Guards against models that wait longer than the weight store demands."""
    assert measure_placement.excess_seconds(*_loss()) == 0.0


def test_late_or_missing_replicas_are_seen():
    """Guards against a figure of unreachable seconds that is always 0."""
    rest, loaded, plan = _loss()
    for action in plan.actions:
        action.start_s += 5.0
    assert measure_placement.excess_seconds(rest, loaded, plan) > 5.0
    item = next(iter(loaded["b01"]))
    gone = placementplan.Action("unload", "b01", item, 20, "breaks the rule")
    broken = placementplan.Plan({}, [gone], ())
    assert measure_placement.excess_seconds(rest, loaded, broken) == math.inf


def test_a_changed_sheet_replaces_a_tenth():
    """Guards against a measurement of a change that changes nothing."""
    parsed = placementexperiments.design_sheet(50)
    changed = measure_placement.changed_sheet(parsed, 3)
    old, new = parsed.memory_by_item(), changed.memory_by_item()
    models = [item for item in new if item.kind == "model" and item not in old]
    assert len(models) == 5
    assert len(new) == len(old)


def test_the_slope_of_a_power_is_its_exponent():
    """Guards against a cost exponent of the wrong scale."""
    sizes = (100, 300, 900)
    slope = measure_placement.slope(sizes, [size**1.5 for size in sizes])
    assert slope == pytest.approx(1.5)


def test_measurements_are_registered():
    """Guards against figures that the command cannot find."""
    names = [name for name in measure.MEASUREMENTS.aliases() if "placement" in name]
    assert len(names) == 6
    low, worst = measure_placement.spread_figures("x", [0.0, 1.0, 3.0], high=2.0)
    assert (low.value, worst.value) == (1.0, 3.0)
    assert not worst.meets_target()
