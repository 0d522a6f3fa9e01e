"""Tests of the planner evaluation on deployments with results computed by hand."""

import math

import pytest

from kumquatproxy.laboratory import measure, measure_placement, placementexperiments
from kumquatproxy.placement import placementplan, placementscaling
from tests import test_placement as placement_samples


def _make_planned_server(index, assigned_rate=0.0):
    server = placement_samples.planners.placementlayout.PlannedServer(
        placement_samples.make_server(index, 100), 100.0
    )
    server.assigned_rate = assigned_rate
    return server


def test_water_fill_splits_demand_to_equal_utilisation():
    """Guards against a capacity model whose split of demand favours one planner."""
    servers = [
        _make_planned_server(1, 50.0),
        _make_planned_server(2, 10.0),
        _make_planned_server(3, 90.0),
    ]
    assert placementscaling.water_fill(servers, 60.0) == {"b02": 50.0, "b01": 10.0}
    assert sum(placementscaling.water_fill(servers, 300.0).values()) == pytest.approx(
        300.0
    )


def test_served_rate_excludes_demand_without_replica_or_capacity():
    """Guards against an attainment of 1 regardless of what is loaded."""
    parsed_sheet = placement_samples.make_sheet([(10, 1), (10, 1)])
    first, second = (parsed_sheet.models_by_name[f"m{i}"].item() for i in range(2))
    backends = [
        placement_samples.make_server(1, 100),
        placement_samples.make_server(2, 100, "b"),
    ]
    deployment = placementexperiments.Deployment(parsed_sheet, backends)
    rates = {"a": {first: 300.0, second: 100.0}}
    served_rate = placementexperiments.served_rate
    assert served_rate(deployment, {}, rates) == 0.0
    assert served_rate(deployment, {"b01": {first: 10}}, rates) == 200.0
    loaded = {"b01": {first: 10}, "b02": {second: 10}}
    assert served_rate(deployment, loaded, rates) == pytest.approx(300.0)
    assert placementexperiments.clairvoyant_rate(deployment, rates) == pytest.approx(
        400.0
    )


@pytest.mark.parametrize("name", ["port-louis", "cordillera"])
def test_planner_runs_with_equal_seeds_have_equal_outcomes(name):
    """Guards against figures that cannot be reproduced from their seed."""
    outcomes = []
    for _ in range(2):
        trace = placementexperiments.Trace(
            placementexperiments.DEPLOYMENT_FACTORIES[name](), 5
        )
        outcomes.append(placementexperiments.PlannerRun(trace, "balanced").run(0.2))
    assert outcomes[0] == outcomes[1]
    assert outcomes[0].attainment_of_bound() <= 1.0


def _plan_after_server_loss():
    """Return the remaining deployment, the old placement and the plan to restore it."""
    parsed_sheet = placement_samples.make_sheet([(20, 1)] * 6, [(0, 2), (3, 2)])
    backends = [placement_samples.make_server(i, 150) for i in range(2)]
    deployment = placementexperiments.Deployment(parsed_sheet, backends)
    loaded = placementexperiments.settle_placement(deployment)
    remaining = deployment.without_servers(lambda server: server.backend_id == "b00")
    current = placementplan.CurrentPlacement({"b01": loaded["b01"]})
    plan = placement_samples.make_plan(parsed_sheet, remaining.backends, current)
    assert plan.moves() >= 3
    return remaining, loaded, plan


def test_no_excess_unreachable_time_when_lost_replicas_load_as_scheduled():
    """Guards against loads that wait longer than the weight store requires."""
    assert measure_placement.excess_unreachable_s(*_plan_after_server_loss()) == 0.0


def test_excess_unreachable_time_counts_late_loads_and_is_infinite_after_last_unload():
    """Guards against a figure for unreachable time that is always 0."""
    remaining, loaded, plan = _plan_after_server_loss()
    for action in plan.actions:
        action.start_s += 5.0
    assert measure_placement.excess_unreachable_s(remaining, loaded, plan) > 5.0
    item = next(iter(loaded["b01"]))
    unload = placementplan.Action("unload", "b01", item, 20, "last replica")
    unloading_plan = placementplan.Plan({}, [unload], ())
    assert (
        measure_placement.excess_unreachable_s(remaining, loaded, unloading_plan)
        == math.inf
    )


def test_replace_models_replaces_a_tenth_of_the_models():
    """Guards against measuring a sheet change that replaces no models."""
    parsed_sheet = placementexperiments.make_design_sheet(50)
    changed = measure_placement.replace_models(parsed_sheet, 3)
    old, new = parsed_sheet.memory_by_item(), changed.memory_by_item()
    models = [item for item in new if item.kind == "model" and item not in old]
    assert len(models) == 5
    assert len(new) == len(old)


def test_log_log_slope_of_a_power_function_is_its_exponent():
    """Guards against a wrongly scaled exponent of the planning time."""
    sizes = (100, 300, 900)
    slope = measure_placement.log_log_slope(sizes, [size**1.5 for size in sizes])
    assert slope == pytest.approx(1.5)


def test_placement_measurements_are_registered_and_figures_show_median_and_worst():
    """Guards against measurements that the bench command does not list."""
    names = [name for name in measure.MEASUREMENTS.aliases() if "placement" in name]
    assert len(names) == 6
    median, worst = measure_placement.median_and_worst_figures(
        "x", [0.0, 1.0, 3.0], high=2.0
    )
    assert (median.value, worst.value) == (1.0, 3.0)
    assert not worst.meets_target()
