"""Copies before traffic: which ones, when, and that the engines are restored."""

import pytest

from kumquatproxy.fleet import engineviews, preparation, serviceconfig

LARGE_MB = 72_700
STORE_LOAD_S = 5.8
SETTLED = preparation.SETTLE_S


def service(models, adapters=()):
    made = [
        serviceconfig.Model(
            name,
            LARGE_MB,
            STORE_LOAD_S,
            1.2,
            0.6,
            adapter_count=12 if name in adapters else 0,
        )
        for name in models
    ]
    engine = serviceconfig.Engine(made, 230_000, 64, 144_000, 8, 1.1)
    return serviceconfig.Service("s", engine=engine)


def view(name, models, **fields):
    return engineviews.EngineView(name, models, **fields)


def settled(made, views):
    """Return a preparation that has known these engines for a while."""
    one = preparation.Preparation(0.0)
    assert one.swaps(made, views, lambda: True, 0.0) == []
    return one


def test_models_with_adapters_come_first():
    """Demand moved to the busiest model while one engine had a copy of it.

    On the model of the fleets, copies of these first serve 0.81 of a day with shifts,
    bursts and crashes at slow loads, and copies of models held nowhere first 0.76.
    """
    views = [view("1", ["a", "b", "c"]), view("2", ["a", "d", "many"])]
    names = ["a", "b", "c", "d", "nowhere", "many"]
    made = service(names, adapters=["many"])
    swaps = settled(made, views).swaps(made, views, lambda: True, SETTLED)
    assert [(swap.instance_id, swap.load) for swap in swaps] == [
        ("1", "many"),
        ("2", "nowhere"),
    ]


def test_nothing_is_chosen_while_engines_still_announce_themselves():
    """scale-2: the first engine took what the others held for held nowhere."""
    first, second = view("1", ["a", "b", "c"]), view("2", ["a", "b", "nowhere"])
    made = service(["a", "b", "c", "nowhere"])
    one = settled(made, [first])
    assert one.swaps(made, [first, second], lambda: True, 1.2) == []
    assert one.swaps(made, [first, second], lambda: True, 1.2 + SETTLED - 0.1) == []
    assert one.swaps(made, [first, second], lambda: True, 1.2 + SETTLED) == []


def test_the_wait_for_further_engines_is_bounded():
    """Engines that come one after the other must not use up the time for loads."""
    made = service(["a", "b", "c", "nowhere"])
    one = preparation.Preparation(0.0)
    views = []
    swaps = []
    for step in range(24):
        views.append(view(str(step), ["a", "b", "c"]))
        swaps = one.swaps(made, views, lambda: True, step * 0.1)
    assert [swap.load for swap in swaps] == ["nowhere"]


def test_an_engine_gets_back_what_it_held():
    """inc-b3c1: the second busiest model was resident nowhere at the start."""
    made = service(["a", "b", "c", "nowhere"])
    before = view("1", ["a", "b", "c"])
    one = settled(made, [before])
    (visit,) = one.swaps(made, [before], lambda: True, SETTLED)
    (lost,) = visit.unload
    kept = {"a", "b", "c"} - {lost}
    during = view("1", [*kept, "nowhere"], in_memory=[lost])
    (back,) = one.swaps(made, [during], lambda: True, 6.0)
    assert (back.load, back.unload, back.needs_store) == (lost, ["nowhere"], False)
    after = view("1", ["a", "b", "c"], on_disk=["nowhere"])
    assert one.swaps(made, [after], lambda: True, 7.0) == []


@pytest.mark.parametrize(
    "now, count",
    [
        (preparation.PREPARE_FIRST_S - 0.1, 1),
        (preparation.PREPARE_S - STORE_LOAD_S - 0.1, 1),
        (preparation.PREPARE_S - STORE_LOAD_S + 0.1, 0),
    ],
)
def test_no_copy_is_begun_that_ends_after_traffic_begins(now, count):
    """Guards against engines that are still loading when the first calls come."""
    made = service(["a", "b", "c", "nowhere"])
    views = [view("1", ["a"])]
    one = settled(made, views)
    assert len(one.swaps(made, views, lambda: True, now)) == count


def test_the_store_limits_the_copies():
    made = service(["a", "b", "c", "nowhere"])
    views = [view("1", ["a"])]
    assert settled(made, views).swaps(made, views, lambda: False, SETTLED) == []
