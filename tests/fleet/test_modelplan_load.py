"""Load patterns that single days showed, replayed on the plan alone."""

import pytest

from kumquatproxy.fleet import fleetdemand, modelplan, serviceconfig
from kumquatproxy.gateway import calls, shedding, urgency

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
    return modelplan.EngineView(name, "s", "a", models, **fields)


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
    views = [view(str(one), ["hot", "idle", f"i{one}"]) for one in range(3)]
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
    views = [view(str(one), ["a", "b", "c"]) for one in range(4)]
    planner = modelplan.Planner(service(["a", "b", "c", *rare]), views, wanted, now)
    assert len(planner.swaps(lambda: True)) == 2


def test_work_fills_the_least_busy_engines():
    assert modelplan.fill_level([0.0, 0.0], 1.0) == 0.5
    assert modelplan.fill_level([0.8, 0.0], 0.4) == pytest.approx(0.4)
    assert modelplan.fill_level([0.2, 0.4], 0.6) == pytest.approx(0.6)


def test_late_shares_rise_with_the_level():
    shares = [modelplan.late_share(level / 20) for level in range(40)]
    assert shares == sorted(shares) and shares[0] == 0.0 and shares[-1] == 1.0


class TestPreparation:
    """Before traffic, copies are made, and then the engines are as they were."""

    def test_models_that_no_engine_holds_come_first(self):
        views = [view("1", ["a", "b", "c"]), view("2", ["a", "d", "many"])]
        names = ["a", "b", "c", "d", "nowhere", "many"]
        made = service(names, adapters=["many"])
        swaps = modelplan.Preparation(0.0).swaps(made, views, lambda: True, 0.0)
        assert [swap.load for swap in swaps] == ["nowhere"]

    def test_an_engine_gets_back_what_it_held(self):
        """inc-b3c1: the second busiest model was resident nowhere at the start."""
        made = service(["a", "b", "c", "nowhere"])
        preparation = modelplan.Preparation(0.0)
        before = view("1", ["a", "b", "c"])
        (visit,) = preparation.swaps(made, [before], lambda: True, 0.0)
        (lost,) = visit.unload
        kept = {"a", "b", "c"} - {lost}
        during = view("1", [*kept, "nowhere"], in_memory=[lost])
        (back,) = preparation.swaps(made, [during], lambda: True, 6.0)
        assert (back.load, back.unload, back.needs_store) == (lost, ["nowhere"], False)
        after = view("1", ["a", "b", "c"], on_disk=["nowhere"])
        assert preparation.swaps(made, [after], lambda: True, 7.0) == []

    def test_no_copy_is_begun_shortly_before_traffic(self):
        made = service(["a", "b", "c", "nowhere"])
        preparation = modelplan.Preparation(0.0)
        late = modelplan.PREPARE_S + 0.1
        assert preparation.swaps(made, [view("1", ["a"])], lambda: True, late) == []

    def test_the_store_limits_the_copies(self):
        made = service(["a", "b", "c", "nowhere"])
        preparation = modelplan.Preparation(0.0)
        assert preparation.swaps(made, [view("1", ["a"])], lambda: False, 0.0) == []


def call(objective_s=0.8, priority=1, need=True):
    made = calls.Call(b"POST", b"/", "a", [], b"", 0.0)
    made.route = serviceconfig.Route(
        "r", "a", "/", calls.Mode.STREAM, [], 4.0, objective_s, priority
    )
    made.need = calls.ModelNeed("m") if need else None
    return made


class TestShedding:
    """At overload some calls are turned away, so that the others are in time."""

    def test_a_call_that_would_be_in_time_is_taken(self):
        assert shedding.check(call(), 0.9, 0.0) is None

    def test_a_call_that_would_be_late_is_turned_away_at_once(self):
        error = shedding.check(call(), 2.0, 0.0)
        assert error.status == 429 and error.executed == "no"
        assert 1.0 < error.retry_after_s < 2.0

    def test_a_generous_objective_waits(self):
        assert shedding.check(call(objective_s=6.0), 4.0, 0.0) is None

    def test_plain_calls_and_routes_without_an_objective_are_taken(self):
        assert shedding.check(call(need=False), 9.0, 0.0) is None
        assert shedding.check(call(objective_s=0.0), 9.0, 0.0) is None

    def test_offered_load_beyond_capacity_leaves_the_taken_calls_in_time(self):
        """Arrivals at 1.5 times the capacity for 10 s; without it all are late."""
        service_s, objective_s = 0.1, 0.8
        backlog_s, taken_late, refused, arrivals = 0.0, 0, 0, 0
        for step in range(150):
            now = step * service_s / 1.5
            backlog_s = max(0.0, backlog_s - service_s / 1.5)
            arrivals += 1
            made = call(objective_s)
            made.arrived_at = now
            if shedding.check(made, backlog_s, now) is not None:
                refused += 1
                continue
            backlog_s += service_s
            taken_late += backlog_s > objective_s * shedding.OBJECTIVES + service_s
        assert taken_late == 0 and 0 < refused < arrivals / 2


def test_urgent_routes_go_first_at_an_engine():
    levels = [urgency.level(call(priority=one)) for one in range(12)]
    assert levels == sorted(levels) and levels[0] == 3 and max(levels) == 9
    assert urgency.level(call(need=False)) is None


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
