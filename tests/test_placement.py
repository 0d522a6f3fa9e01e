"""Placement plans, replayed action by action by a checker without planner code.

A plan must not overcommit memory or unload a last replica at any step, although other
loads and unloads are open while it runs.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from kumquatproxy import errors, records
from kumquatproxy.configuration import samples, sheet
from kumquatproxy.placement import placementcheck, placementplan, planners

CENTRES = ("a", "b", "c")


def make_server(index, memory_mb, centre="a", leaving=False, service="s"):
    return records.BackendServer(
        f"b{index:02d}",
        f"10.0.0.{index}:80",
        centre,
        "engine",
        service,
        1,
        memory_mb,
        1,
        True,
        leaving,
    )


def make_sheet(models, adapters=(), store=""):
    """Return a sheet: models as (memory, versions), adapters as (model, memory)."""
    parts = [f"[weight-store]\n{store}", "[organisation o]", "[service s]"]
    parts.append("organisation = o")
    for index, (memory_mb, versions) in enumerate(models):
        names = ", ".join(str(version) for version in range(1, versions + 1))
        parts.append(f"[model m{index}]\nservice = s\nversions = {names}")
        parts.append(f"memory = {memory_mb}MB\npriority = {index % 9 + 1}")
    for index, (model, memory_mb) in enumerate(adapters):
        parts.append(f"[adapter d{index}]\nmodel = m{model}\nmemory = {memory_mb}MB")
    return sheet.parse("\n".join(parts))


def apply_plan(current, plan):
    """Return the placement after all open intents and all actions of a plan."""
    loaded = {backend: dict(items) for backend, items in current.loaded.items()}
    for intent in current.intents:
        items = loaded.setdefault(intent.backend_id, {})
        if intent.action == placementplan.LOAD:
            items[intent.item] = intent.memory_mb
        else:
            items.pop(intent.item, None)
    for action in plan.actions:
        items = loaded.setdefault(action.backend_id, {})
        if action.action == placementplan.LOAD:
            items[action.item] = action.memory_mb
        else:
            items.pop(action.item)
    return placementplan.CurrentPlacement(loaded, elsewhere=current.elsewhere)


def make_plan(parsed, backends, current=None, demand=None, alias="balanced"):
    planner = planners.PLANNERS.get(alias)()
    weights = placementplan.weights_of(parsed)
    current = current or placementplan.CurrentPlacement()
    return planner.plan(parsed, backends, demand or {}, current, weights)


@st.composite
def placement_cases(draw):
    """Draw a sheet, servers, a current placement with intents, and demand."""
    models = draw(
        st.lists(
            st.tuples(st.integers(5, 40), st.integers(1, 2)), min_size=1, max_size=7
        )
    )
    adapters = draw(
        st.lists(
            st.tuples(st.integers(0, len(models) - 1), st.integers(1, 5)), max_size=6
        )
    )
    parsed = make_sheet(models, adapters)
    backends = [
        make_server(
            index,
            draw(st.integers(20, 100)),
            draw(st.sampled_from(CENTRES)),
            draw(st.integers(0, 9)) == 0,
        )
        for index in range(draw(st.integers(1, 8)))
    ]
    demand = {
        centre: {
            item: draw(st.sampled_from((0.0, 20.0, 150.0, 400.0)))
            for item in parsed.memory_by_item()
        }
        for centre in CENTRES
    }
    older = [
        (memory_mb, versions) for memory_mb, versions in models if draw(st.booleans())
    ]
    current = placementplan.CurrentPlacement()
    if older:
        older_sheet = make_sheet(older + [(30, 1)])
        current = apply_plan(current, make_plan(older_sheet, backends))
    current = _with_intents(draw, parsed, backends, current)
    return parsed, backends, current, demand


def _with_intents(draw, parsed, backends, current):
    """Add an open load and an open unload to servers where they are possible."""
    memory = parsed.memory_by_item()
    intents = []
    for backend in backends:
        items = current.loaded.setdefault(backend.backend_id, {})
        used_mb = sum(items.values())
        if items and draw(st.booleans()):
            item = sorted(items, key=records.Item.key)[0]
            unload = placementplan.UNLOAD
            intents.append(
                placementplan.Intent(unload, backend.backend_id, item, items[item])
            )
        item = draw(st.sampled_from(sorted(memory, key=records.Item.key)))
        fits = used_mb + memory[item] <= backend.memory_mb
        if item not in items and fits and draw(st.booleans()):
            load = placementplan.LOAD
            intents.append(
                placementplan.Intent(load, backend.backend_id, item, memory[item])
            )
    return placementplan.CurrentPlacement(current.loaded, intents)


def _plan_until_idle(parsed, backends, current, demand, rounds=6):
    for _ in range(rounds):
        plan = make_plan(parsed, backends, current, demand)
        current = apply_plan(current, plan)
        if not plan.actions:
            return current, plan
    return current, plan


@hypothesis.given(placement_cases())
def test_no_step_of_a_plan_overcommits_memory_or_unloads_a_last_replica(case):
    """Guards against overcommitted memory and unreachable models while a plan runs."""
    parsed, backends, current, demand = case
    plan = make_plan(parsed, backends, current, demand)
    assert placementcheck.check(parsed, backends, current, plan) == []
    assert all(action.reason for action in plan.actions)


@hypothesis.given(placement_cases())
def test_same_input_gives_the_same_plan(case):
    """Guards against plans that depend on hash order or on the order of the input."""
    parsed, backends, current, demand = case
    plan = make_plan(parsed, backends, current, demand)
    again = make_plan(parsed, backends[::-1], current, demand)
    assert plan == again


@hypothesis.given(placement_cases())
def test_repeated_plans_converge(case):
    """Guards against replicas that are loaded and evicted alternately."""
    parsed, backends, current, demand = case
    _, plan = _plan_until_idle(parsed, backends, current, demand, rounds=12)
    assert plan.actions == ()


@hypothesis.given(placement_cases())
def test_listed_model_is_placed_or_reported_as_not_fitting(case):
    """Guards against a model that is neither loaded nor reported as not fitting."""
    parsed, backends, current, demand = case
    current, plan = _plan_until_idle(parsed, backends, current, demand, rounds=12)
    reported = {(entry.item, entry.data_centre) for entry in plan.not_fitting}
    centres = {b.data_centre for b in backends if not b.leaving}
    for model in parsed.models_by_name.values():
        for version in model.versions:
            item = model.item(version)
            for centre in centres:
                held = any(
                    item in current.loaded.get(b.backend_id, {})
                    for b in backends
                    if b.data_centre == centre and not b.leaving
                )
                assert held or (item, centre) in reported


def _make_relocation_case():
    """Return a case in which the new model fits only after a relocation."""
    parsed = make_sheet([(40, 1), (40, 1), (80, 1)])
    backends = [make_server(1, 100), make_server(2, 100)]
    items = [parsed.models_by_name[f"m{i}"].item() for i in range(3)]
    loaded = {"b01": {items[0]: 40}, "b02": {items[1]: 40}}
    return parsed, backends, placementplan.CurrentPlacement(loaded)


def test_check_reports_actions_in_a_wrong_order():
    """Guards against a check that never fails."""
    parsed, backends, current = _make_relocation_case()
    plan = make_plan(parsed, backends, current)
    assert placementcheck.check(parsed, backends, current, plan) == []
    kinds = [action.action for action in plan.actions]
    assert kinds == ["load", "unload", "load"]
    broken = placementplan.Plan(plan.target, plan.actions[::-1], ())
    text = " ".join(placementcheck.check(parsed, backends, current, broken))
    assert "exceed 100 MB" in text
    unload_first = (plan.actions[1], plan.actions[0], plan.actions[2])
    broken = placementplan.Plan(plan.target, unload_first, ())
    text = " ".join(placementcheck.check(parsed, backends, current, broken))
    assert "lost its last replica" in text


def test_check_reports_exceeded_limits_of_the_weight_store():
    """Guards against a check of the store's limits that never fails."""
    parsed = make_sheet([(10, 1)] * 4)
    backends = [make_server(1, 100)]
    plan = make_plan(parsed, backends)
    assert placementcheck.check_store(parsed.weight_store, plan.actions) == []
    for action in plan.actions:
        action.start_s = 0.0
    assert placementcheck.check_store(parsed.weight_store, plan.actions)


def test_check_reports_actions_that_start_too_early():
    """Guards against start times that ignore the effects of earlier actions."""
    parsed, backends, current = _make_relocation_case()
    plan = make_plan(parsed, backends, current)
    assert plan.actions[1].after == (0,)
    assert plan.actions[2].after == (1,)
    plan.actions[1].start_s = 0.0
    violations = placementcheck.check_timing(parsed, backends, current, plan.actions)
    assert "lost its last replica" in " ".join(violations)
    plan = make_plan(parsed, backends, current)
    plan.actions[2].start_s = 0.0
    violations = placementcheck.check_timing(parsed, backends, current, plan.actions)
    assert "exceed 100 MB" in " ".join(violations)


@pytest.mark.parametrize("adapter_is_on_b02", [True, False])
def test_unload_waits_for_model_and_adapter_of_the_other_replica(adapter_is_on_b02):
    """Guards against unloading an adapter whose other replica is still incomplete."""
    parsed = make_sheet([(10, 1)], [(0, 1)])
    base = parsed.models_by_name["m0"].item()
    adapter = parsed.adapters_by_name["d0"].item()
    already_on_b02, loaded_by_plan = (
        (adapter, base) if adapter_is_on_b02 else (base, adapter)
    )
    memory = parsed.memory_by_item()
    actions = [
        placementplan.Action(
            "load", "b02", loaded_by_plan, memory[loaded_by_plan], "first"
        ),
        placementplan.Action(
            "unload", "b01", already_on_b02, memory[already_on_b02], "second"
        ),
    ]
    counterparts = {adapter: (base,), base: (adapter,)}
    placementplan.schedule(actions, parsed.weight_store, counterparts)
    assert actions[1].after == (0,)
    loaded = {
        "b01": {base: 10, adapter: 1},
        "b02": {already_on_b02: memory[already_on_b02]},
    }
    case = (
        [make_server(1, 20), make_server(2, 20)],
        placementplan.CurrentPlacement(loaded),
    )
    assert placementcheck.check_timing(parsed, *case, actions) == []
    actions[1].start_s = 0.0
    assert placementcheck.check_timing(parsed, *case, actions)


def test_replicas_in_one_data_centre_are_spread_over_hosts():
    """Guards against replicas that are lost together in one failure."""
    parsed = make_sheet([(10, 1)])
    backends = [make_server(i, 100, CENTRES[i % 3]) for i in range(6)]
    item = parsed.models_by_name["m0"].item()
    demand = {"a": {item: 300.0}}
    plan = make_plan(parsed, backends, None, demand)
    placed = [action.backend_id for action in plan.actions]
    assert len(set(placed)) == len(placed)
    assert {"b00", "b03"} <= set(placed)


def test_overloaded_adapter_gets_a_replica_with_its_base_model():
    """Guards against another base model replica that cannot serve the adapter."""
    parsed = make_sheet([(20, 1)], [(0, 2), (0, 2)])
    base = parsed.models_by_name["m0"].item()
    hot = parsed.adapters_by_name["d0"].item()
    backends = [make_server(1, 100), make_server(2, 100)]
    loaded = {"b01": dict.fromkeys(parsed.memory_by_item(), 2) | {base: 20}}
    current = placementplan.CurrentPlacement(loaded)
    plan = make_plan(parsed, backends, current, {"a": {base: 300.0, hot: 290.0}})
    assert [(a.backend_id, a.item) for a in plan.actions] == [
        ("b02", base),
        ("b02", hot),
    ]
    assert plan.actions[1].after == (0,)


def test_lost_replicas_are_loaded_before_replicas_for_demand():
    """Guards against a lost model that waits behind optional loads."""
    parsed = make_sheet([(20, 1), (20, 1)])
    hot, lost = (parsed.models_by_name[f"m{i}"].item() for i in range(2))
    backends = [make_server(1, 100), make_server(2, 100)]
    current = placementplan.CurrentPlacement({"b01": {hot: 20}})
    plan = make_plan(parsed, backends, current, {"a": {hot: 390.0}})
    loads = [a.item for a in plan.actions]
    assert loads[0] == lost
    assert hot in loads[1:]


def test_returning_server_causes_no_move():
    """Guards against many moves at once when a backend server returns."""
    parsed = make_sheet([(20, 1)] * 6)
    backends = [make_server(i, 100) for i in range(4)]
    current, _ = _plan_until_idle(
        parsed, backends, placementplan.CurrentPlacement(), {}
    )
    current, _ = _plan_until_idle(parsed, backends[1:], current, {})
    current.loaded["b00"] = {}
    assert make_plan(parsed, backends, current).actions == ()


def test_move_budget_limits_only_loads_for_demand():
    """Guards against more moves per interval than the budget allows."""
    parsed = make_sheet([(10, 1)] * 5)
    items = [model.item() for model in parsed.models_by_name.values()]
    backends = [make_server(i, 100) for i in range(8)]
    demand = {"a": dict.fromkeys(items, 300.0)}
    current = placementplan.CurrentPlacement(move_budget=2)
    assert make_plan(parsed, backends, current, demand).moves() == 5 + 2
    budget = placementplan.DemandLoadBudget(limit=4, interval_s=60.0, now=0.0)
    budget.spend(4)
    assert [budget.available(now) for now in (0.0, 15.0, 600.0)] == [0, 1, 4]


def test_model_that_does_not_fit_is_reported_with_the_reason():
    """Guards against models that are left out without a report."""
    parsed = make_sheet([(500, 1)])
    plan = make_plan(parsed, [make_server(1, 100)])
    (not_fitting,) = plan.not_fitting
    assert (not_fitting.missing_mb, not_fitting.data_centre) == (400, "a")
    assert "needs 500 MB on one backend server of s" in not_fitting.reason


def test_owners_of_two_data_centres_do_not_both_evict_an_item():
    """Guards against owners that each rely on the other data centre's replica."""
    parsed = make_sheet([(60, 1), (60, 1)])
    shared = parsed.models_by_name["m0"].item()
    evictions = 0
    for own, other in (("a", "b"), ("b", "a")):
        loaded = {"b01": {shared: 60}}
        current = placementplan.CurrentPlacement(loaded, elsewhere={shared: (other,)})
        plan = make_plan(parsed, [make_server(1, 100, own)], current)
        evictions += any(action.item == shared for action in plan.actions)
    assert evictions == 1


@pytest.mark.parametrize("alias", ["static-even", "lru"])
@hypothesis.given(case=placement_cases())
def test_baselines_never_overcommit_memory(alias, case):
    """Guards against comparisons with a baseline that exceeds the memory."""
    parsed, backends, current, demand = case
    plan = make_plan(parsed, backends, current, demand, alias)
    violations = placementcheck.Replay(parsed, backends, current).run(plan.actions)
    assert [text for text in violations if "last replica" not in text] == []


def test_planners_are_chosen_by_alias():
    """Guards against an unregistered alias and an unclear error message."""
    assert planners.PLANNERS.aliases() == ["balanced", "lru", "static-even"]
    with pytest.raises(errors.ProxyError, match="did you mean 'balanced'"):
        planners.PLANNERS.get("balance")


def test_owners_of_full_data_centres_leave_out_different_models():
    # Guards against owners that plan independently, each with memory for all models but
    # one, and all leave out the same model.
    parsed = sheet.parse(samples.generate("port-louis"))
    names = ("dc-1", "dc-2", "dc-3")
    held = set()
    for name in names:
        servers = [
            records.BackendServer(
                f"{name}-{index}",
                "127.0.0.1:1",
                name,
                "engine",
                "gait-models",
                1,
                80_000,
            )
            for index in (0, 1)
        ]
        current = placementplan.CurrentPlacement(data_centres=names)
        planner = planners.PLANNERS.get("balanced")()
        weights = placementplan.weights_of(parsed)
        plan = planner.plan(parsed, servers, {}, current, weights)
        assert plan.not_fitting
        for items in plan.target.values():
            held |= items
    assert held == set(parsed.memory_by_item())
