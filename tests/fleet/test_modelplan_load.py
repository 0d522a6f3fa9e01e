"""Load patterns that single days showed, replayed on the plan alone."""

import random

import pytest

from kumquatproxy.fleet import engineviews, fleetdemand, modelplan, serviceconfig

LARGE_MB = 72_700


def service(models, memory_mb=230_000, adapters=()):
    made = [
        serviceconfig.Model(
            name, LARGE_MB, 5.8, 1.2, 0.6, adapter_count=12 if name in adapters else 0
        )
        for name in models
    ]
    engine = serviceconfig.Engine(made, memory_mb, 64, 144_000, 8, 1.1)
    return serviceconfig.Service("s", engine=engine)


def demand(rates_by_name, seconds=20.0, waiting_by_name=None):
    made = fleetdemand.FleetDemand()
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
        made.report("e1", {}, needs, step * 0.25)
    return made, (steps - 1) * 0.25


def view(name, models, **fields):
    return engineviews.EngineView(name, models, **fields)


def test_a_busy_model_goes_before_a_rare_missing_one():
    """scale-2: three replicas where six were wanted, while engines loaded rare ones."""
    wanted, now = demand({"hot": 18.0, "rare": 0.2, "idle": 0.0})
    views = [
        view("1", ["hot"]),
        view("2", ["hot"]),
        view("3", ["idle", "i2", "i3"], on_disk=["hot", "rare"]),
    ]
    names = ["hot", "rare", "idle", "i2", "i3"]
    planner = modelplan.Planner(service(names), views, wanted, now)
    assert next(iter(planner.swaps(lambda: True))).load == "hot"


def test_models_without_demand_make_room_first():
    """quiet-1: replicas of the busy model were given up in its first second."""
    wanted, now = demand({"hot": 2.0, "rare": 1.0}, seconds=1.0)
    views = [
        view(str(one), ["hot", "idle", f"i{one}"], on_disk=["rare"]) for one in range(3)
    ]
    names = ["hot", "rare", "idle", "i0", "i1", "i2"]
    planner = modelplan.Planner(service(names), views, wanted, now)
    (swap,) = planner.swaps(lambda: True)
    assert swap.load == "rare" and "hot" not in swap.unload


def test_averages_are_not_taken_for_calm_in_the_first_seconds():
    wanted, now = demand({"hot": 20.0}, seconds=1.0)
    rate = wanted.get("s", "hot", now).rate * wanted.ramp(now)
    assert rate == pytest.approx(20.0, rel=0.4)
    later, now = demand({"hot": 20.0}, seconds=30.0)
    assert later.ramp(now) == pytest.approx(1.0, abs=0.01)


def test_rare_models_do_not_keep_all_engines_busy_with_long_loads():
    """Loads of 8 s for single calls left no engine to follow a shift of demand."""
    rare = {f"r{one}": 0.3 for one in range(4)}
    wanted, now = demand(rare)
    for name in rare:
        wanted.missing_s("s", name, False, now - modelplan.PATIENCE_S)
    views = [view(str(one), ["a", "b", "c"]) for one in range(4)]
    planner = modelplan.Planner(service(["a", "b", "c", *rare]), views, wanted, now)
    assert len(planner.swaps(lambda: True)) == 1


def test_an_overloaded_model_gets_a_replica_however_far_it_is_overloaded():
    """scale-2 of Cordillera: one engine held the model of 60% of the calls for 8 s.

    Half of the load of an engine at 2.4 is still more than it can serve, and a plan
    that counted all calls as late in both cases saw no gain.
    """
    wanted, now = demand({"hot": 40.0, "idle": 0.2})
    views = [view("1", ["hot"]), view("2", ["idle"], on_disk=["hot"])]
    planner = modelplan.Planner(service(["hot", "idle"]), views, wanted, now)
    (swap,) = planner.swaps(lambda: True)
    assert (swap.load, swap.instance_id) == ("hot", "2")


def test_a_busy_model_is_not_copied_from_the_store_for_demand_that_just_came():
    """quiet-1 of Cordillera: fourth and fifth replicas loaded for 8.6 s each.

    When they were there, demand had moved on, and their engines had not followed it.
    """
    views = [view("1", ["hot", "a"]), view("2", ["hot", "b"]), view("3", ["c", "d"])]
    names = ["hot", "a", "b", "c", "d"]
    new, now = demand({"hot": 14.0, "c": 0.1}, seconds=5.0)
    planner = modelplan.Planner(service(names), views, new, now)
    assert planner.swaps(lambda: True) == []
    lasting, now = demand({"hot": 14.0, "c": 0.1}, seconds=40.0)
    planner = modelplan.Planner(service(names), views, lasting, now)
    assert [swap.load for swap in planner.swaps(lambda: True)] == ["hot"]


def test_a_missing_model_is_timed_from_the_first_call_on():
    """Guards against rare models that are never served beside busy ones."""
    made = fleetdemand.FleetDemand()
    assert made.missing_s("s", "rare", False, 5.0) == 0.0  # nobody has asked for it
    made.report("e1", {}, [["s", "rare", "", 1, 0.1, 1]], 6.0)
    assert made.missing_s("s", "rare", False, 6.0) == 0.0
    assert made.missing_s("s", "rare", False, 9.0) == 3.0
    assert made.missing_s("s", "rare", True, 10.0) == 0.0
    assert made.missing_s("s", "rare", False, 11.0) == 0.0


def test_large_fleets_are_planned_less_often():
    """Plans of 600 engines took 0.2 s, ten times a second: more than a core."""
    assert modelplan.pause_s(0.001) == modelplan.PLAN_INTERVAL_S
    assert 0.2 / modelplan.pause_s(0.2) <= 0.05


def test_missing_models_do_not_wait_behind_overloaded_ones_that_cannot_move():
    """grown Port Louis: 83 models were missing and only twelve were looked at."""
    hot = {f"h{one}": 20.0 for one in range(20)}
    wanted, now = demand({**hot, "rare": 0.5})
    views = [
        view(name, [name], loaded_at_by_model={name: now - 0.1}) for name in sorted(hot)
    ]
    views.append(view("free", ["idle"], on_disk=["rare"]))
    names = [*hot, "rare", "idle"]
    planner = modelplan.Planner(service(names, LARGE_MB + 1000), views, wanted, now)
    # Each overloaded model would take the free engine, from the store.
    swaps = planner.swaps(lambda: False)
    assert [(swap.load, swap.instance_id) for swap in swaps] == [("rare", "free")]


def test_a_plan_finds_the_best_engine_without_weighing_all():
    """Engines are left out only where no load there could be worth more."""
    rng = random.Random(5)
    names = [f"m{one}" for one in range(24)]
    for _ in range(40):
        rates = {name: rng.choice((0.0, 0.3, 2.0, 15.0)) for name in names}
        wanted, now = demand(rates, seconds=10.0)
        views = [
            view(
                str(one),
                rng.sample(names, 3),
                on_disk=rng.sample(names, 4),
                calls=rng.randrange(20),
            )
            for one in range(10)
        ]
        planner = modelplan.Planner(service(names), views, wanted, now)
        for name in names:
            model = service(names).engine.models_by_name[name]
            found = planner._best_swap(model, set())
            best = None
            for one in views:
                if name not in one.models:
                    best = planner._better(best, one, model)
            assert (found is None) == (best is None)
            if best is not None:
                value = planner._better(None, views[int(found.instance_id)], model)[0]
                assert value == pytest.approx(best[0])


def test_a_plan_brings_several_replicas_at_once():
    """A fleet of 600 engines is planned each 2.2 s: one replica a plan is too few."""
    wanted, now = demand({"hot": 60.0, "idle": 0.1})
    views = [view("0", ["hot"])]
    views += [view(str(one), ["idle"], in_memory=["hot"]) for one in range(1, 12)]
    planner = modelplan.Planner(service(["hot", "idle"]), views, wanted, now)
    swaps = planner.swaps(lambda: True)
    assert [swap.load for swap in swaps] == ["hot"] * modelplan.MAX_REPLICAS
    assert len({swap.instance_id for swap in swaps}) == len(swaps)


def test_a_model_whose_demand_has_gone_is_not_loaded_for_its_past():
    """inc-9020: a replica of a busy model made room for one that nobody asked for."""
    made = fleetdemand.FleetDemand()
    for step in range(160):
        now = step * 0.25
        has_moved = now >= 30.0
        rates = (
            {"past": 0.0, "busy": 15.0} if has_moved else {"past": 16.0, "busy": 2.0}
        )
        needs = [
            ["s", name, "", rate * 0.25, rate * 0.03, 0] for name, rate in rates.items()
        ]
        made.report("e1", {}, needs, now)
    views = [view("1", ["busy"]), view("2", ["busy"], on_disk=["past"])]
    planner = modelplan.Planner(service(["busy", "past"], 75_000), views, made, now)
    assert planner.swaps(lambda: True) == []


def test_a_plan_of_many_equal_engines_ends_soon():
    """Where nothing helps, all 600 models were weighed at 600 engines: 3 s a plan."""
    count = 120
    names = [f"m{one}" for one in range(3 * count)]
    wanted, now = demand(dict.fromkeys(names, 4.0), seconds=5.0)
    views = [
        view(str(one), names[3 * one : 3 * one + 3], calls=9) for one in range(count)
    ]
    planner = modelplan.Planner(service(names), views, wanted, now)
    planner.swaps(lambda: True)
    assert planner.weighed <= modelplan.MAX_WEIGHED + modelplan.MAX_REPLICAS * count
