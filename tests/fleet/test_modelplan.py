"""Plans for models under the load patterns that they answer."""

from kumquatproxy.fleet import engineviews, fleetdemand, modelplan, serviceconfig

MODELS = [serviceconfig.Model(f"m{one}", 70_000, 5.0, 1.2, 0.6) for one in range(8)]


def service(memory_mb=230_000):
    engine = serviceconfig.Engine(MODELS, memory_mb, 64, 100_000, 8, 1.1)
    return serviceconfig.Service("s", engine=engine)


def view(name, models, **fields):
    return engineviews.EngineView(name, models, **fields)


def demand(**rates):
    """Return demand as after a long time at ``rates`` of (calls, engine seconds)."""
    made = fleetdemand.FleetDemand()
    for step in range(400):
        needs = [
            ["s", name, "", rate * 0.25, work * 0.25, 0]
            for name, (rate, work) in rates.items()
        ]
        made.report("e1", {}, needs, step * 0.25)
    return made


NOW = 100.0


def plan(views, wanted, memory_mb=230_000, store=lambda: True):
    planner = modelplan.Planner(service(memory_mb), views, wanted, NOW)
    return planner.swaps(store)


def test_a_model_that_is_asked_for_and_missing_is_loaded():
    """More models than places: one that is silent makes room."""
    views = [view("1", ["m0", "m1", "m2"]), view("2", ["m0", "m3", "m4"])]
    wanted = demand(m0=(5.0, 0.4), m1=(0.2, 0.01), m3=(0.2, 0.01), m5=(0.2, 0.01))
    wanted.missing_s("s", "m5", False, NOW - modelplan.PATIENCE_S)
    (swap,) = plan(views, wanted)
    assert swap.load == "m5" and swap.unload in (["m2"], ["m4"])


def test_a_rare_model_is_loaded_from_the_store_only_after_a_while():
    """Each such load keeps its engine from following the demand for several seconds."""
    views = [view("1", ["m0", "m1", "m2"]), view("2", ["m0", "m3", "m4"])]
    wanted = demand(m0=(5.0, 0.8), m5=(0.2, 0.01))
    wanted.missing_s("s", "m5", False, NOW - modelplan.PATIENCE_S / 2)
    assert plan(views, wanted) == []
    views[1].in_memory = frozenset(["m5"])
    assert [swap.load for swap in plan(views, wanted)] == ["m5"]


def test_an_idle_fleet_loads_a_missing_model_sooner():
    """Nothing else needs the engines, so nobody gains by its callers' wait."""
    views = [view("1", ["m0", "m1", "m2"]), view("2", ["m0", "m3", "m4"])]
    wanted = demand(m0=(0.1, 0.01), m5=(0.2, 0.01))
    wanted.missing_s("s", "m5", False, NOW - 0.5)
    assert [swap.load for swap in plan(views, wanted)] == ["m5"]


def test_an_engine_whose_calls_end_soon_is_preferred():
    """An unload waits for the calls of its model; elsewhere nobody uses the victim."""
    views = [
        view("1", ["m0"], on_disk=["m2"], calls=30),
        view("2", ["m0"], on_disk=["m2"], calls=2),
        view("3", ["m0"], on_disk=["m2"], calls=30),
    ]
    (swap,) = plan(views, demand(m0=(6.0, 0.6), m2=(4.0, 0.4)), memory_mb=75_000)
    assert (swap.load, swap.instance_id) == ("m2", "2")


def test_two_swaps_of_one_plan_do_not_give_up_the_same_last_replicas():
    """Each of two engines counted on the other one to keep a model that both held."""
    views = [
        view("1", ["m0"], in_memory=["m1"]),
        view("2", ["m0"], in_memory=["m2"]),
    ]
    wanted = demand(m0=(90.0, 0.2), m1=(20.0, 0.3), m2=(20.0, 0.3))
    swaps = plan(views, wanted, memory_mb=75_000)
    assert len(swaps) == 1


def test_nothing_is_loaded_for_models_nobody_asks_for():
    """A load that does not pay is not begun."""
    views = [view("1", ["m0"]), view("2", ["m0"])]
    assert plan(views, demand(m0=(1.0, 0.05))) == []


def test_the_only_replica_of_a_busy_model_is_not_given_up_for_a_rare_one():
    views = [view("1", ["m0"], on_disk=["m1"])]
    wanted = demand(m0=(10.0, 0.9), m1=(0.05, 0.005))
    assert plan(views, wanted, memory_mb=75_000) == []


def test_a_model_that_takes_most_of_the_load_gets_more_replicas():
    """Demand moves to one model tenfold: one engine cannot take it."""
    views = [view("1", ["m0", "m1"]), view("2", ["m1"]), view("3", ["m1"])]
    swaps = plan(views, demand(m0=(15.0, 1.2), m1=(0.3, 0.02)))
    assert [swap.load for swap in swaps] == ["m0"]
    assert swaps[0].unload == []


def test_an_engine_with_a_copy_at_hand_is_preferred():
    views = [
        view("1", ["m0"]),
        view("2", ["m0"], on_disk=["m1"]),
        view("3", ["m0"], in_memory=["m1"]),
    ]
    (swap,) = plan(views, demand(m1=(0.5, 0.05)))
    assert swap.instance_id == "3" and not swap.needs_store


def test_the_store_is_not_asked_beyond_its_limit():
    views = [view("1", ["m0"]), view("2", ["m0"], on_disk=["m2"])]
    wanted = demand(m1=(0.5, 0.05), m2=(0.5, 0.05))
    swaps = plan(views, wanted, store=lambda: False)
    assert [swap.load for swap in swaps] == ["m2"]


def test_a_busy_engine_gets_no_swap():
    views = [view("1", ["m0"], is_idle=False)]
    assert plan(views, demand(m1=(0.5, 0.05))) == []


def test_memory_is_never_planned_beyond_what_an_engine_has():
    """Adapters count as if all of their places were filled."""
    views = [view("1", ["m0", "m1"], adapters_mb=30_000, on_disk=["m2"])]
    (swap,) = plan(views, demand(m0=(5.0, 0.1), m2=(0.5, 0.05)))
    assert swap.unload == ["m1"]


def test_a_model_that_has_just_been_loaded_stays():
    """Two models that take turns every moment would serve nobody."""
    loaded = {"m0": NOW - 0.5}
    views = [view("1", ["m0"], loaded_at_by_model=loaded)]
    assert plan(views, demand(m1=(0.5, 0.05)), memory_mb=75_000) == []
