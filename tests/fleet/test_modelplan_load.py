"""Traffic patterns that earlier versions of the planner handled badly."""

import random

import pytest

from kumquatproxy.fleet import engineviews, fleetdemand, modelplan, serviceconfig

LARGE_MB = 72_700


def service(models, memory_mb=230_000, adapters=()):
    configured_models = [
        serviceconfig.Model(
            name, LARGE_MB, 5.8, 1.2, 0.6, adapter_count=12 if name in adapters else 0
        )
        for name in models
    ]
    engine = serviceconfig.Engine(configured_models, memory_mb, 64, 144_000, 8, 1.1)
    return serviceconfig.Service("s", engine=engine)


def demand(rates_by_name, seconds=20.0, waiting_by_name=None):
    fleet_demand = fleetdemand.FleetDemand()
    steps = int(seconds / 0.25)
    waiting_by_name = waiting_by_name or {}
    for step in range(steps):
        needs = [
            [
                "s",
                name,
                "",
                rate * 0.25,
                rate * 0.25 * 0.12,
                waiting_by_name.get(name, 0),
            ]
            for name, rate in rates_by_name.items()
        ]
        fleet_demand.report("e1", {}, needs, step * 0.25)
    return fleet_demand, (steps - 1) * 0.25


def view(name, models, **fields):
    return engineviews.EngineView(name, models, **fields)


def test_busy_model_is_loaded_before_a_rare_unavailable_one():
    """Guards against a busy model with too few replicas while rare ones are loaded."""
    fleet_demand, now = demand({"hot": 18.0, "rare": 0.2, "idle": 0.0})
    views = [
        view("1", ["hot"]),
        view("2", ["hot"]),
        view("3", ["idle", "i2", "i3"], on_disk=["hot", "rare"]),
    ]
    names = ["hot", "rare", "idle", "i2", "i3"]
    planner = modelplan.Planner(service(names), views, fleet_demand, now)
    assert next(iter(planner.swaps(lambda: True))).load == "hot"


def test_models_without_demand_are_evicted_first():
    """Guards against evicting the busy model in its first second of demand."""
    fleet_demand, now = demand({"hot": 2.0, "rare": 1.0}, seconds=1.0)
    views = [
        view(str(index), ["hot", "idle", f"i{index}"], on_disk=["rare"])
        for index in range(3)
    ]
    names = ["hot", "rare", "idle", "i0", "i1", "i2"]
    planner = modelplan.Planner(service(names), views, fleet_demand, now)
    (swap,) = planner.swaps(lambda: True)
    assert swap.load == "rare" and "hot" not in swap.unload


def test_warmup_factor_corrects_the_averages_in_the_first_seconds():
    fleet_demand, now = demand({"hot": 20.0}, seconds=1.0)
    rate = fleet_demand.get("s", "hot", now).rate * fleet_demand.warmup_factor(now)
    assert rate == pytest.approx(20.0, rel=0.4)
    later_demand, now = demand({"hot": 20.0}, seconds=30.0)
    assert later_demand.warmup_factor(now) == pytest.approx(1.0, abs=0.01)


def test_rare_models_do_not_block_all_engines_with_long_loads():
    """Guards against 8 s loads for single calls that leave no engine for a shift."""
    rare = {f"r{index}": 0.3 for index in range(4)}
    fleet_demand, now = demand(rare)
    for name in rare:
        fleet_demand.unavailable_s(
            "s", name, False, now - modelplan.REDUCED_COST_AFTER_S
        )
    views = [view(str(index), ["a", "b", "c"]) for index in range(4)]
    planner = modelplan.Planner(
        service(["a", "b", "c", *rare]), views, fleet_demand, now
    )
    assert len(planner.swaps(lambda: True)) == 1


def test_model_gets_a_replica_if_two_engines_are_overloaded_too():
    """Guards against an overloaded model that keeps a single engine.

    With one replica the utilisation is 4.8, with two it is 2.4. A plan that counted all
    calls as late in both cases found no gain.
    """
    fleet_demand, now = demand({"hot": 40.0, "idle": 0.2})
    views = [view("1", ["hot"]), view("2", ["idle"], on_disk=["hot"])]
    planner = modelplan.Planner(service(["hot", "idle"]), views, fleet_demand, now)
    (swap,) = planner.swaps(lambda: True)
    assert (swap.load, swap.instance_id) == ("hot", "2")


def test_busy_model_is_replicated_from_the_store_only_for_lasting_demand():
    """Guards against further replicas that take seconds to load from the store.

    By then demand has shifted, and their engines have been blocked for the new demand.
    """
    views = [view("1", ["hot", "a"]), view("2", ["hot", "b"]), view("3", ["c", "d"])]
    names = ["hot", "a", "b", "c", "d"]
    new_demand, now = demand({"hot": 14.0, "c": 0.1}, seconds=5.0)
    planner = modelplan.Planner(service(names), views, new_demand, now)
    assert planner.swaps(lambda: True) == []
    lasting_demand, now = demand({"hot": 14.0, "c": 0.1}, seconds=40.0)
    planner = modelplan.Planner(service(names), views, lasting_demand, now)
    assert [swap.load for swap in planner.swaps(lambda: True)] == ["hot"]


def test_unavailable_time_starts_at_the_first_call():
    """Guards against rare models that are never served beside busy ones."""
    fleet_demand = fleetdemand.FleetDemand()
    assert fleet_demand.unavailable_s("s", "rare", False, 5.0) == 0.0  # no call yet
    fleet_demand.report("e1", {}, [["s", "rare", "", 1, 0.1, 1]], 6.0)
    assert fleet_demand.unavailable_s("s", "rare", False, 6.0) == 0.0
    assert fleet_demand.unavailable_s("s", "rare", False, 9.0) == 3.0
    assert fleet_demand.unavailable_s("s", "rare", True, 10.0) == 0.0
    assert fleet_demand.unavailable_s("s", "rare", False, 11.0) == 0.0


def test_plan_interval_grows_with_the_duration_of_plans():
    """Plans for 600 engines took 0.2 s, ten times a second: more than one core."""
    assert modelplan.next_plan_in_s(0.001) == modelplan.PLAN_INTERVAL_S
    assert 0.2 / modelplan.next_plan_in_s(0.2) <= 0.05


def test_unavailable_model_is_loaded_while_overloaded_models_are_blocked():
    """Overloaded models without a possible swap must not use up the candidates."""
    hot = {f"h{index}": 20.0 for index in range(20)}
    fleet_demand, now = demand({**hot, "rare": 0.5})
    views = [
        view(name, [name], loaded_at_by_model={name: now - 0.1}) for name in sorted(hot)
    ]
    views.append(view("free", ["idle"], on_disk=["rare"]))
    names = [*hot, "rare", "idle"]
    planner = modelplan.Planner(
        service(names, LARGE_MB + 1000), views, fleet_demand, now
    )
    # Each overloaded model could use the free engine only by a load from the store.
    swaps = planner.swaps(lambda: False)
    assert [(swap.load, swap.instance_id) for swap in swaps] == [("rare", "free")]


def test_skipped_engines_never_include_the_best_one():
    """A plan skips engines only if no load there can have a higher net gain."""
    rng = random.Random(5)
    names = [f"m{index}" for index in range(24)]
    for _ in range(40):
        rates = {name: rng.choice((0.0, 0.3, 2.0, 15.0)) for name in names}
        fleet_demand, now = demand(rates, seconds=10.0)
        views = [
            view(
                str(index),
                rng.sample(names, 3),
                on_disk=rng.sample(names, 4),
                in_flight=rng.randrange(20),
            )
            for index in range(10)
        ]
        planner = modelplan.Planner(service(names), views, fleet_demand, now)
        for name in names:
            model = service(names).engine.models_by_name[name]
            found = planner._best_swap(model, set())
            best = None
            for engine_view in views:
                if name not in engine_view.models:
                    best = planner._better_swap(best, engine_view, model)
            assert (found is None) == (best is None)
            if best is not None:
                net_gain = planner._better_swap(
                    None, views[int(found.instance_id)], model
                )[0]
                assert net_gain == pytest.approx(best[0])


def test_plan_adds_several_replicas_of_an_overloaded_model():
    """One replica a plan is too few in a large fleet, which gets a plan every 2 s."""
    fleet_demand, now = demand({"hot": 60.0, "idle": 0.1})
    views = [view("0", ["hot"])]
    views += [view(str(index), ["idle"], in_memory=["hot"]) for index in range(1, 12)]
    planner = modelplan.Planner(service(["hot", "idle"]), views, fleet_demand, now)
    swaps = planner.swaps(lambda: True)
    assert [swap.load for swap in swaps] == ["hot"] * modelplan.MAX_NEW_REPLICAS
    assert len({swap.instance_id for swap in swaps}) == len(swaps)


def test_model_is_not_loaded_after_its_demand_has_ended():
    """Guards against evicting a busy model for one that is no longer requested."""
    fleet_demand = fleetdemand.FleetDemand()
    for step in range(160):
        now = step * 0.25
        has_shifted = now >= 30.0
        rates = (
            {"past": 0.0, "busy": 15.0} if has_shifted else {"past": 16.0, "busy": 2.0}
        )
        needs = [
            ["s", name, "", rate * 0.25, rate * 0.03, 0] for name, rate in rates.items()
        ]
        fleet_demand.report("e1", {}, needs, now)
    views = [view("1", ["busy"]), view("2", ["busy"], on_disk=["past"])]
    planner = modelplan.Planner(
        service(["busy", "past"], 75_000), views, fleet_demand, now
    )
    assert planner.swaps(lambda: True) == []


def test_plan_considers_no_more_models_after_the_limit_of_evaluations():
    """Guards against plans that evaluate each model at each engine.

    When no swap paid off, such a plan took 3 s at 600 engines.
    """
    count = 120
    names = [f"m{index}" for index in range(3 * count)]
    fleet_demand, now = demand(dict.fromkeys(names, 4.0), seconds=5.0)
    views = [
        view(str(index), names[3 * index : 3 * index + 3], in_flight=9)
        for index in range(count)
    ]
    planner = modelplan.Planner(service(names), views, fleet_demand, now)
    planner.swaps(lambda: True)
    assert (
        planner.evaluation_count
        <= modelplan.MAX_EVALUATIONS + modelplan.MAX_NEW_REPLICAS * count
    )
