"""Model swaps planned for typical traffic patterns."""

import random

from kumquatproxy.fleet import engineviews, fleetdemand, modelplan, serviceconfig

MODELS = [serviceconfig.Model(f"m{index}", 70_000, 5.0, 1.2, 0.6) for index in range(8)]


def service(memory_mb=230_000):
    engine = serviceconfig.Engine(MODELS, memory_mb, 64, 100_000, 8, 1.1)
    return serviceconfig.Service("s", engine=engine)


def view(name, models, **fields):
    return engineviews.EngineView(name, models, **fields)


def demand(**rates):
    """Return the demand after 100 s at constant rates of (calls, engine seconds)."""
    fleet_demand = fleetdemand.FleetDemand()
    for step in range(400):
        needs = [
            ["s", name, "", rate * 0.25, offered_load * 0.25, 0]
            for name, (rate, offered_load) in rates.items()
        ]
        fleet_demand.report("e1", {}, needs, step * 0.25)
    return fleet_demand


NOW = 100.0


def plan_swaps(views, fleet_demand, memory_mb=230_000, store_allows=lambda: True):
    planner = modelplan.Planner(service(memory_mb), views, fleet_demand, NOW)
    return planner.swaps(store_allows)


def test_unavailable_model_is_loaded_in_place_of_an_unrequested_one():
    """There are more models than fit into the engines."""
    views = [view("1", ["m0", "m1", "m2"]), view("2", ["m0", "m3", "m4"])]
    fleet_demand = demand(m0=(5.0, 0.4), m1=(0.2, 0.01), m3=(0.2, 0.01), m5=(0.2, 0.01))
    fleet_demand.unavailable_s("s", "m5", False, NOW - modelplan.REDUCED_COST_AFTER_S)
    (swap,) = plan_swaps(views, fleet_demand)
    assert swap.load == "m5" and swap.unload in (["m2"], ["m4"])


def test_rare_model_is_loaded_from_the_store_only_after_a_delay():
    """Such a load blocks its engine for other orders for several seconds."""
    views = [view("1", ["m0", "m1", "m2"]), view("2", ["m0", "m3", "m4"])]
    fleet_demand = demand(m0=(5.0, 0.8), m5=(0.2, 0.01))
    fleet_demand.unavailable_s(
        "s", "m5", False, NOW - modelplan.REDUCED_COST_AFTER_S / 2
    )
    assert plan_swaps(views, fleet_demand) == []
    views[1].in_memory = frozenset(["m5"])
    assert [swap.load for swap in plan_swaps(views, fleet_demand)] == ["m5"]


def test_little_used_fleet_loads_an_unavailable_model_sooner():
    """No other model needs the engines, so the load costs little."""
    views = [view("1", ["m0", "m1", "m2"]), view("2", ["m0", "m3", "m4"])]
    fleet_demand = demand(m0=(0.1, 0.01), m5=(0.2, 0.01))
    fleet_demand.unavailable_s("s", "m5", False, NOW - 0.5)
    assert [swap.load for swap in plan_swaps(views, fleet_demand)] == ["m5"]


def test_engine_with_the_shortest_drain_is_preferred():
    """An unload waits until the calls in flight of its model have ended."""
    views = [
        view("1", ["m0"], on_disk=["m2"], in_flight=30),
        view("2", ["m0"], on_disk=["m2"], in_flight=2),
        view("3", ["m0"], on_disk=["m2"], in_flight=30),
    ]
    (swap,) = plan_swaps(views, demand(m0=(6.0, 0.6), m2=(4.0, 0.4)), memory_mb=75_000)
    assert (swap.load, swap.instance_id) == ("m2", "2")


def test_swaps_of_one_plan_do_not_evict_all_replicas_of_a_model():
    """Guards against two engines that each rely on the other to keep a model."""
    views = [
        view("1", ["m0"], in_memory=["m1"]),
        view("2", ["m0"], in_memory=["m2"]),
    ]
    fleet_demand = demand(m0=(90.0, 0.2), m1=(20.0, 0.3), m2=(20.0, 0.3))
    swaps = plan_swaps(views, fleet_demand, memory_mb=75_000)
    assert len(swaps) == 1


def test_models_without_demand_are_not_loaded():
    """A load without any gain is not started."""
    views = [view("1", ["m0"]), view("2", ["m0"])]
    assert plan_swaps(views, demand(m0=(1.0, 0.05))) == []


def test_only_replica_of_a_busy_model_is_not_evicted_for_a_rare_one():
    views = [view("1", ["m0"], on_disk=["m1"])]
    fleet_demand = demand(m0=(10.0, 0.9), m1=(0.05, 0.005))
    assert plan_swaps(views, fleet_demand, memory_mb=75_000) == []


def test_model_with_most_of_the_demand_gets_more_replicas():
    """The demand for one model exceeds the capacity of one engine."""
    views = [view("1", ["m0", "m1"]), view("2", ["m1"]), view("3", ["m1"])]
    swaps = plan_swaps(views, demand(m0=(15.0, 1.2), m1=(0.3, 0.02)))
    assert [swap.load for swap in swaps] == ["m0"]
    assert swaps[0].unload == []


def test_engine_with_a_cached_model_is_preferred():
    views = [
        view("1", ["m0"]),
        view("2", ["m0"], on_disk=["m1"]),
        view("3", ["m0"], in_memory=["m1"]),
    ]
    (swap,) = plan_swaps(views, demand(m1=(0.5, 0.05)))
    assert swap.instance_id == "3" and not swap.needs_store


def test_models_are_loaded_only_from_caches_at_the_store_limit():
    views = [view("1", ["m0"]), view("2", ["m0"], on_disk=["m2"])]
    fleet_demand = demand(m1=(0.5, 0.05), m2=(0.5, 0.05))
    swaps = plan_swaps(views, fleet_demand, store_allows=lambda: False)
    assert [swap.load for swap in swaps] == ["m2"]


def test_unusable_engine_gets_no_swap():
    views = [view("1", ["m0"], is_usable=False)]
    assert plan_swaps(views, demand(m1=(0.5, 0.05))) == []


def test_plan_stays_within_engine_memory_less_adapter_slots():
    """Adapters count as if all of their slots were in use."""
    views = [view("1", ["m0", "m1"], adapters_mb=30_000, on_disk=["m2"])]
    (swap,) = plan_swaps(views, demand(m0=(5.0, 0.1), m2=(0.5, 0.05)))
    assert swap.unload == ["m1"]


def test_recently_loaded_model_is_not_evicted():
    """Guards against two models that evict each other in turn and serve no call."""
    loaded = {"m0": NOW - 0.5}
    views = [view("1", ["m0"], loaded_at_by_model=loaded)]
    assert plan_swaps(views, demand(m1=(0.5, 0.05)), memory_mb=75_000) == []


def test_model_that_is_not_listed_any_more_is_unloaded_before_a_load():
    """Guards against an order beyond the memory after a configuration drops a model."""
    views = [view("1", ["m0", "m1", "dropped"])]
    fleet_demand = demand(m0=(5.0, 0.4), m5=(0.2, 0.01))
    fleet_demand.unavailable_s("s", "m5", False, NOW - modelplan.REDUCED_COST_AFTER_S)
    (swap,) = plan_swaps(views, fleet_demand)
    assert swap.load == "m5" and swap.unload == ["dropped"]


def test_no_engine_is_overloaded_whatever_models_a_configuration_drops():
    """Random residents of which some are not listed, and sizes that nobody knows."""
    rng = random.Random(44)
    engine = service().engine
    for _ in range(500):
        sizes_by_name = {model.name: model.memory_mb for model in MODELS}
        dropped = {f"d{number}": rng.choice((20_000, 70_000)) for number in range(3)}
        sizes_by_name.update(dropped)
        residents = []
        for name in rng.sample(sorted(sizes_by_name), len(sizes_by_name)):
            taken_mb = sum(sizes_by_name[resident] for resident in residents)
            if taken_mb + sizes_by_name[name] <= engine.memory_mb:
                residents.append(name)
        candidates = rng.sample(residents, len(residents))
        tested = view("1", residents)
        victims = tested.select_victims(engine, 70_000, candidates)
        if victims is None:
            continue
        left = [name for name in residents if name not in victims]
        assert sum(sizes_by_name[name] for name in left) + 70_000 <= engine.memory_mb
        assert not dropped.keys() & set(left)
