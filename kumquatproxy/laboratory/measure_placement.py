"""Measurements of placement decisions, each over ten seeds."""

import math
import statistics
import time

from kumquatproxy.configuration import sheet
from kumquatproxy.laboratory import measure, placementexperiments
from kumquatproxy.placement import (
    placementcheck,
    placementlayout,
    placementplan,
    planners,
)

SEEDS = 10
CHANGED_SHARE = 0.1
LOAD = 0.6
HOURS = 1.0
SURGE_S = 60.0
ORGANISATIONS = ("port-louis", "cordillera")
COST_SIZES = (100, 300, 900, 1700)
DESIGN_MODELS = 1700
DESIGN_SERVERS = 600
RAISED_WEIGHT = 8.0
COST_REPEATS = 3  # the least of some times is least disturbed by other processes


def _seeds(seed):
    return range(seed * 1000, seed * 1000 + SEEDS)


def spread_figures(name, values, low=None, high=None) -> list[measure.Figure]:
    """Return the median and the worst of some values as two figures."""
    worst = max(values) if high is not None else min(values)
    return [
        measure.Figure(f"{name}_median", statistics.median(values), low, high),
        measure.Figure(f"{name}_worst", worst, low, high),
    ]


def changed_sheet(parsed, rng_seed):
    """Return the sheet with a tenth of its models replaced by new ones."""
    names = list(parsed.models_by_name)
    count = max(round(CHANGED_SHARE * len(names)), 1)
    start = rng_seed * 7 % len(names)
    old = [names[(start + i) % len(names)] for i in range(count)]
    text = parsed.text
    for index, name in enumerate(old):
        text = text.replace(f"[model {name}]", f"[model new-{index}]")
        text = text.replace(f"model = {name}\n", f"model = new-{index}\n")
    renamed = [
        adapter.name
        for adapter in parsed.adapters_by_name.values()
        if adapter.model in old
    ]
    for name in renamed:
        text = text.replace(f"[adapter {name}]", f"[adapter new-{name}]")
    return sheet.parse(text)


class Change:
    """Hold a settled placement and what a change of the sheet makes of it."""

    __slots__ = ("by_centre", "loaded", "rates", "world")

    def __init__(self, name, seed):
        before = placementexperiments.WORLDS[name]()
        trace = placementexperiments.Trace(before, seed, LOAD)
        rates = trace.rates(0.0)
        self.loaded = placementexperiments.settled(before, rates=rates)
        parsed = changed_sheet(before.sheet, seed)
        self.world = placementexperiments.World(parsed, before.backends)
        listed = parsed.memory_by_item()
        self.rates = {item: rate for item, rate in rates.items() if item in listed}
        self.by_centre = dict.fromkeys(before.centres(), self.rates)

    def plan(self, world=None, loaded=None):
        """Return the plan of the balanced planner."""
        world = world or self.world
        loaded = self.loaded if loaded is None else loaded
        backends = {server.backend_id for server in world.backends}
        current = placementplan.CurrentPlacement(
            {name: items for name, items in loaded.items() if name in backends}
        )
        weights = placementplan.weights_of(world.sheet)
        planner = planners.PLANNERS.get("balanced")()
        return planner.plan(
            world.sheet, world.backends, self.by_centre, current, weights
        )

    def moves(self):
        """Return the loads until the planner is at rest, and the end."""
        loaded, moves = self.loaded, 0
        for _ in range(5):
            plan = self.plan(loaded=loaded)
            moves += plan.moves()
            loaded = placementexperiments.carried_out(loaded, plan.actions)
            if not plan.actions:
                break
        return moves, loaded

    def least_moves(self, loaded):
        """Return the pairs of new item and data centre in a placement."""
        before = {item for items in self.loaded.values() for item in items}
        return sum(item not in before for item, _ in self._pairs(loaded))

    def required_moves(self, loaded):
        """Return the pairs of item and data centre that were not there before."""
        return len(self._pairs(loaded) - self._pairs(self.loaded))

    def _pairs(self, loaded):
        centre_of = {s.backend_id: s.data_centre for s in self.world.backends}
        return {
            (item, centre_of[backend_id])
            for backend_id, items in loaded.items()
            for item in items
        }

    def repack_moves(self):
        """Return the loads after packing anew without regard to the placement."""
        target = placementexperiments.settled(self.world, rates=self.rates)
        return sum(
            item not in self.loaded.get(backend_id, {})
            for backend_id, items in target.items()
            for item in items
        )


@measure.MEASUREMENTS.register("placement-sheet")
def measure_sheet_change(seed: int) -> list[measure.Figure]:
    """Return the moves of a changed sheet over the least possible and over repacking.

    The least possible is one load for each new item and data centre that has it. The
    figure ``…_required`` also counts listed items for which the change made room in
    another data centre, because the rule of a replica in each data centre asks for
    them. With one server in a data centre, packing anew loads only the new items, so
    the organisations' sizes have their own figure of repacking.
    """
    over_least, over_required = [], []
    over_repack: dict[bool, list[float]] = {True: [], False: []}
    for name in placementexperiments.WORLDS:
        for trial in _seeds(seed):
            change = Change(name, trial)
            moves, loaded = change.moves()
            over_least.append(moves / max(change.least_moves(loaded), 1))
            over_required.append(moves / max(change.required_moves(loaded), 1))
            repack = moves / max(change.repack_moves(), 1)
            over_repack[name == "tenth"].append(repack)
    return [
        *spread_figures("moves_ratio_sheet", over_least, high=1.1),
        *spread_figures("moves_ratio_sheet_required", over_required, high=1.1),
        *spread_figures("moves_ratio_repack", over_repack[True], high=0.3),
        *spread_figures(
            "moves_ratio_repack_organisations", over_repack[False], high=0.3
        ),
    ]


@measure.MEASUREMENTS.register("placement-steady")
def measure_steady(seed: int) -> list[measure.Figure]:
    """Return the moves per hour under noisy demand after an hour of settling."""
    moves = []
    for name in placementexperiments.WORLDS:
        for trial in _seeds(seed):
            trace = placementexperiments.Trace(
                placementexperiments.WORLDS[name](), trial, LOAD, surges=0.0
            )
            outcome = placementexperiments.Run(trace, "balanced").run(2 * HOURS)
            by_hour = outcome.moves_by_hour
            moves.append(sum(n for hour, n in by_hour.items() if hour >= 1))
    return spread_figures("moves_per_hour_steady", moves, high=0.0)


def _reachable_at(world, loaded, plan):
    """Return when each name becomes reachable, 0 if it always is, and if it is lost."""
    current = placementplan.CurrentPlacement(
        {s.backend_id: loaded.get(s.backend_id, {}) for s in world.backends}
    )
    replay = placementcheck.Replay(world.sheet, world.backends, current)
    store = world.sheet.weight_store
    durations = {"model": store.model_seconds, "adapter": store.adapter_seconds}
    ends = []
    for index, action in enumerate(plan.actions):
        load = action.action == placementplan.LOAD
        end_s = action.start_s + (durations[action.item.kind] if load else 0.0)
        ends.append((end_s, index))
    since = dict.fromkeys(replay.reachable(), 0.0)
    gaps = 0
    for end_s, index in sorted(ends):
        gained, lost = replay.step(index, plan.actions[index])
        gaps += len(lost)
        for name in gained:
            since.setdefault(name, end_s)
    return since, gaps


def _least_times(world, since):
    """Return the finish times of the missing names if the store did nothing else."""
    actions = []
    for group in placementlayout.Catalogue(world.sheet).groups:
        if since.get(f"{group.model.name}@{group.item.version}", 1.0) > 0.0:
            for item in group.items():
                actions.append(
                    placementplan.Action("load", group.item.key(), item, 0, "least")
                )
    placementplan.schedule(actions, world.sheet.weight_store)
    store = world.sheet.weight_store
    durations = {"model": store.model_seconds, "adapter": store.adapter_seconds}
    return sorted(a.start_s + durations[a.item.kind] for a in actions)


def excess_seconds(world, loaded, plan) -> float:
    """Return the unreachable seconds of all names beyond the unavoidable load time.

    A name that loses its last replica while the plan runs makes it infinite.
    """
    since, gaps = _reachable_at(world, loaded, plan)
    if gaps:
        return math.inf
    actual = sorted(time_s for time_s in since.values() if time_s > 0.0)
    least = _least_times(world, since)
    return sum(
        max(late - early, 0.0) for late, early in zip(actual, least, strict=False)
    )


@measure.MEASUREMENTS.register("placement-unreachable")
def measure_unreachable(seed: int) -> list[measure.Figure]:
    """Return the unreachable model seconds after a change or a loss."""
    values = []
    for name in placementexperiments.WORLDS:
        for trial in _seeds(seed):
            change = Change(name, trial)
            plan = change.plan()
            values.append(excess_seconds(change.world, change.loaded, plan))
            _, loaded = change.moves()
            servers = change.world.backends
            lost = servers[trial % len(servers)]
            for attribute in ("backend_id", "data_centre"):
                gone = getattr(lost, attribute)
                rest = change.world.without(
                    lambda s, key=attribute, value=gone: getattr(s, key) == value
                )
                plan = change.plan(rest, loaded)
                values.append(excess_seconds(rest, loaded, plan))
    return spread_figures("unreachable_model_seconds", values, high=0.0)


@measure.MEASUREMENTS.register("placement-cost")
def measure_cost(seed: int) -> list[measure.Figure]:
    """Return the exponent of the time of a plan over the number of models."""
    first, again = [], []
    for trial in _seeds(seed):
        times = [_plan_times(models, trial) for models in COST_SIZES]
        first.append(slope(COST_SIZES, [pair[0] for pair in times]))
        again.append(slope(COST_SIZES, [pair[1] for pair in times]))
    return [
        *spread_figures("plan_cost_exponent", again, high=1.2),
        *spread_figures("plan_cost_exponent_first", first, high=1.2),
    ]


def _plan_times(models, seed):
    world = placementexperiments.tenth_world(
        models, models * DESIGN_SERVERS // DESIGN_MODELS
    )
    rates = placementexperiments.Trace(world, seed, LOAD).rates(0.0)
    by_centre = dict.fromkeys(world.centres(), rates)
    planner = planners.PLANNERS.get("balanced")()
    weights = placementplan.weights_of(world.sheet)
    loaded: dict = {}
    times = []
    for _ in range(2):
        current = placementplan.CurrentPlacement(loaded)
        repeats = []
        for _ in range(COST_REPEATS):
            start_s = time.process_time()
            plan = planner.plan(
                world.sheet, world.backends, by_centre, current, weights
            )
            repeats.append(time.process_time() - start_s)
        times.append(min(repeats))
        loaded = placementexperiments.carried_out(loaded, plan.actions)
    return times


def slope(sizes, times) -> float:
    """Return the least-squares slope of log time over log size."""
    fit = statistics.linear_regression(
        [math.log(size) for size in sizes], [math.log(value) for value in times]
    )
    return fit.slope


def _outcome(name, seed, alias="balanced", weights=None, hours=HOURS):
    world = placementexperiments.WORLDS[name]()
    trace = placementexperiments.Trace(world, seed, LOAD, 0.1, SURGE_S, hours)
    by_name = None
    if weights is not None:
        by_name = dict.fromkeys(world.sheet.organisations_by_name, weights)
    return placementexperiments.Run(trace, alias, by_name).run(hours)


@measure.MEASUREMENTS.register("placement-attainment")
def measure_attainment(seed: int) -> list[measure.Figure]:
    """Return the attainment against static-even and the clairvoyant bound.

    The organisations' sizes and a tenth of the design size are separate figures,
    because a data centre with one server leaves little to decide.
    """
    figures = []
    for suffix, names in (("", ("tenth",)), ("_organisations", ORGANISATIONS)):
        over_static, over_bound = [], []
        for name in names:
            for trial in _seeds(seed):
                outcome = _outcome(name, trial)
                static = _outcome(name, trial, "static-even")
                over_static.append(outcome.attainment() / static.attainment())
                over_bound.append(outcome.attainment_of_bound())
        prefix = f"placement_attainment_ratio{suffix}"
        figures += spread_figures(f"{prefix}_static", over_static, low=1.0)
        figures += spread_figures(f"{prefix}_bound", over_bound, low=0.95)
    return figures


@measure.MEASUREMENTS.register("placement-weights")
def measure_weights(seed: int) -> list[measure.Figure]:
    """Return what a raised weight does to moves and to attainment."""
    moves, attainment = [], []
    for trial in _seeds(seed):
        plain, careful, eager, low = (
            _outcome("tenth", trial, "balanced", weights, HOURS / 2)
            for weights in (
                placementplan.Weights(1.0, 1.0),
                placementplan.Weights(1.0, RAISED_WEIGHT),
                placementplan.Weights(RAISED_WEIGHT, 1.0),
                placementplan.Weights(1.0 / RAISED_WEIGHT, 1.0),
            )
        )
        moves.append(careful.moves / max(plain.moves, 1))
        attainment.append(eager.attainment() / low.attainment())
    return [
        *spread_figures("weights_move_ratio", moves, high=1.0),
        *spread_figures("weights_attainment_ratio", attainment, low=1.0),
    ]
