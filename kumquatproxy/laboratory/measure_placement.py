"""Measurements of placement planning, each over ten trials with their own seeds."""

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

TRIALS = 10
REPLACED_MODEL_SHARE = 0.1
UTILISATION = 0.6
RUN_HOURS = 1.0
SURGE_S = 60.0
ORGANISATIONS = ("port-louis", "cordillera")
COST_MODEL_COUNTS = (100, 300, 900, 1700)
DESIGN_MODELS = 1700
DESIGN_SERVERS = 600
RAISED_WEIGHT = 8.0
COST_REPEATS = 3  # the minimum time is least affected by other processes


def _trial_seeds(seed):
    return range(seed * 1000, seed * 1000 + TRIALS)


def median_and_worst_figures(name, values, low=None, high=None) -> list[measure.Figure]:
    """Return the median and the worst of the values as two figures."""
    worst = max(values) if high is not None else min(values)
    return [
        measure.Figure(f"{name}_median", statistics.median(values), low, high),
        measure.Figure(f"{name}_worst", worst, low, high),
    ]


def replace_models(parsed_sheet, variant):
    """Return the sheet with a tenth of its models, chosen by ``variant``, replaced."""
    names = list(parsed_sheet.models_by_name)
    count = max(round(REPLACED_MODEL_SHARE * len(names)), 1)
    start = variant * 7 % len(names)
    replaced_names = [names[(start + i) % len(names)] for i in range(count)]
    sheet_text = parsed_sheet.text
    for index, name in enumerate(replaced_names):
        sheet_text = sheet_text.replace(f"[model {name}]", f"[model new-{index}]")
        sheet_text = sheet_text.replace(f"model = {name}\n", f"model = new-{index}\n")
    adapter_names = [
        adapter.name
        for adapter in parsed_sheet.adapters_by_name.values()
        if adapter.model in replaced_names
    ]
    for name in adapter_names:
        sheet_text = sheet_text.replace(f"[adapter {name}]", f"[adapter new-{name}]")
    return sheet.parse(sheet_text)


class SheetChange:
    """Hold a settled placement and the deployment after a change of its sheet."""

    __slots__ = ("deployment", "loaded", "rates", "rates_by_centre")

    def __init__(self, name, seed):
        old_deployment = placementexperiments.DEPLOYMENT_FACTORIES[name]()
        trace = placementexperiments.Trace(old_deployment, seed, UTILISATION)
        rates = trace.rates(0.0)
        self.loaded = placementexperiments.settle_placement(old_deployment, rates=rates)
        parsed_sheet = replace_models(old_deployment.sheet, seed)
        self.deployment = placementexperiments.Deployment(
            parsed_sheet, old_deployment.backends
        )
        listed_items = parsed_sheet.memory_by_item()
        self.rates = {
            item: rate for item, rate in rates.items() if item in listed_items
        }
        self.rates_by_centre = dict.fromkeys(old_deployment.data_centres(), self.rates)

    def plan(self, deployment=None, loaded=None):
        """Return the plan of the balanced planner."""
        deployment = deployment or self.deployment
        loaded = self.loaded if loaded is None else loaded
        backend_ids = {server.backend_id for server in deployment.backends}
        current = placementplan.CurrentPlacement(
            {name: items for name, items in loaded.items() if name in backend_ids}
        )
        weights = placementplan.weights_of(deployment.sheet)
        planner = planners.PLANNERS.get("balanced")()
        return planner.plan(
            deployment.sheet,
            deployment.backends,
            self.rates_by_centre,
            current,
            weights,
        )

    def settle_and_count_loads(self):
        """Plan and execute until nothing changes, for at most five rounds.

        Returns the number of loads and the placement.
        """
        loaded, load_count = self.loaded, 0
        for _ in range(5):
            plan = self.plan(loaded=loaded)
            load_count += plan.moves()
            loaded = placementexperiments.apply_actions(loaded, plan.actions)
            if not plan.actions:
                break
        return load_count, loaded

    def count_pairs_with_new_item(self, loaded):
        """Return the number of (item, data centre) pairs of items not loaded before."""
        old_items = {item for items in self.loaded.values() for item in items}
        return sum(item not in old_items for item, _ in self._item_centre_pairs(loaded))

    def count_new_pairs(self, loaded):
        """Return the number of (item, data centre) pairs not in the old placement."""
        return len(
            self._item_centre_pairs(loaded) - self._item_centre_pairs(self.loaded)
        )

    def _item_centre_pairs(self, loaded):
        centre_by_id = {
            server.backend_id: server.data_centre for server in self.deployment.backends
        }
        return {
            (item, centre_by_id[backend_id])
            for backend_id, items in loaded.items()
            for item in items
        }

    def count_repack_loads(self):
        """Return the number of loads for a placement computed from empty servers."""
        target = placementexperiments.settle_placement(
            self.deployment, rates=self.rates
        )
        return sum(
            item not in self.loaded.get(backend_id, {})
            for backend_id, items in target.items()
            for item in items
        )


@measure.MEASUREMENTS.register("placement-sheet")
def measure_sheet_change(seed: int) -> list[measure.Figure]:
    """Return the loads after a sheet change relative to the minimum and to repacking.

    The minimum is one load for each new item in each data centre that holds it.
    ``moves_ratio_sheet_required`` divides by the number of (item, data centre) pairs
    that were not in the old placement, which includes old items that are now also
    loaded in a further data centre. Repacking computes the placement from empty
    servers. The organisations have only one or two servers in each data centre, which
    leaves the planner few choices; so they have their own figure for repacking.
    """
    ratios_to_minimum, ratios_to_required = [], []
    repack_ratios_by_is_tenth: dict[bool, list[float]] = {True: [], False: []}
    for name in placementexperiments.DEPLOYMENT_FACTORIES:
        for trial_seed in _trial_seeds(seed):
            change = SheetChange(name, trial_seed)
            load_count, loaded = change.settle_and_count_loads()
            ratios_to_minimum.append(
                load_count / max(change.count_pairs_with_new_item(loaded), 1)
            )
            ratios_to_required.append(
                load_count / max(change.count_new_pairs(loaded), 1)
            )
            repack_ratio = load_count / max(change.count_repack_loads(), 1)
            repack_ratios_by_is_tenth[name == "tenth"].append(repack_ratio)
    return [
        *median_and_worst_figures("moves_ratio_sheet", ratios_to_minimum, high=1.1),
        *median_and_worst_figures(
            "moves_ratio_sheet_required", ratios_to_required, high=1.1
        ),
        *median_and_worst_figures(
            "moves_ratio_repack", repack_ratios_by_is_tenth[True], high=0.3
        ),
        *median_and_worst_figures(
            "moves_ratio_repack_organisations",
            repack_ratios_by_is_tenth[False],
            high=0.3,
        ),
    ]


@measure.MEASUREMENTS.register("placement-steady")
def measure_steady(seed: int) -> list[measure.Figure]:
    """Return the loads under steady noisy demand after an hour of settling."""
    load_counts = []
    for name in placementexperiments.DEPLOYMENT_FACTORIES:
        for trial_seed in _trial_seeds(seed):
            trace = placementexperiments.Trace(
                placementexperiments.DEPLOYMENT_FACTORIES[name](),
                trial_seed,
                UTILISATION,
                surge_share=0.0,
            )
            outcome = placementexperiments.PlannerRun(trace, "balanced").run(
                2 * RUN_HOURS
            )
            by_hour = outcome.loads_by_hour
            load_counts.append(
                sum(hour_loads for hour, hour_loads in by_hour.items() if hour >= 1)
            )
    return median_and_worst_figures("moves_per_hour_steady", load_counts, high=0.0)


def _reachable_since(deployment, loaded, plan):
    """Return when names become reachable, and how often a name became unreachable.

    The times are by ``model@version`` name: 0.0 if reachable at the start, absent if
    never reachable.
    """
    current = placementplan.CurrentPlacement(
        {
            server.backend_id: loaded.get(server.backend_id, {})
            for server in deployment.backends
        }
    )
    replay = placementcheck.Replay(deployment.sheet, deployment.backends, current)
    store = deployment.sheet.weight_store
    durations = {"model": store.model_seconds, "adapter": store.adapter_seconds}
    end_times = []
    for index, action in enumerate(plan.actions):
        is_load = action.action == placementplan.LOAD
        end_s = action.start_s + (durations[action.item.kind] if is_load else 0.0)
        end_times.append((end_s, index))
    reachable_since = dict.fromkeys(replay.reachable(), 0.0)
    lost_count = 0
    for end_s, index in sorted(end_times):
        gained, lost = replay.step(index, plan.actions[index])
        lost_count += len(lost)
        for name in gained:
            reachable_since.setdefault(name, end_s)
    return reachable_since, lost_count


def _minimum_finish_times(deployment, reachable_since):
    """Return the sorted finish times of loading the groups unreachable at the start."""
    actions = []
    for group in placementlayout.Catalogue(deployment.sheet).groups:
        # 1.0 stands for a name that never becomes reachable.
        if reachable_since.get(f"{group.model.name}@{group.item.version}", 1.0) > 0.0:
            for item in group.items():
                # Each group is on an imaginary server of its own.
                actions.append(
                    placementplan.Action(
                        "load", group.item.key(), item, 0, "ideal schedule"
                    )
                )
    placementplan.schedule(actions, deployment.sheet.weight_store)
    store = deployment.sheet.weight_store
    durations = {"model": store.model_seconds, "adapter": store.adapter_seconds}
    return sorted(action.start_s + durations[action.item.kind] for action in actions)


def excess_unreachable_s(deployment, loaded, plan) -> float:
    """Return how much later names become reachable than in the ideal schedule.

    The ideal schedule loads only the groups that are unreachable at the start. The
    n-th name to become reachable is compared with the n-th load to finish there, and
    the delays are added up; names that stay unreachable are ignored. The result is
    infinite if a name loses its last replica while the plan runs.
    """
    reachable_since, lost_count = _reachable_since(deployment, loaded, plan)
    if lost_count:
        return math.inf
    actual_times = sorted(time_s for time_s in reachable_since.values() if time_s > 0.0)
    minimum_times = _minimum_finish_times(deployment, reachable_since)
    return sum(
        max(actual_s - minimum_s, 0.0)
        for actual_s, minimum_s in zip(actual_times, minimum_times, strict=False)
    )


@measure.MEASUREMENTS.register("placement-unreachable")
def measure_unreachable(seed: int) -> list[measure.Figure]:
    """Return the excess unreachable time after a sheet change or a loss of servers."""
    values = []
    for name in placementexperiments.DEPLOYMENT_FACTORIES:
        for trial_seed in _trial_seeds(seed):
            change = SheetChange(name, trial_seed)
            plan = change.plan()
            values.append(excess_unreachable_s(change.deployment, change.loaded, plan))
            _, loaded = change.settle_and_count_loads()
            servers = change.deployment.backends
            lost_server = servers[trial_seed % len(servers)]
            for attribute in ("backend_id", "data_centre"):
                lost_value = getattr(lost_server, attribute)
                remaining = change.deployment.without_servers(
                    lambda server, key=attribute, value=lost_value: (
                        getattr(server, key) == value
                    )
                )
                plan = change.plan(remaining, loaded)
                values.append(excess_unreachable_s(remaining, loaded, plan))
    return median_and_worst_figures("unreachable_model_seconds", values, high=0.0)


@measure.MEASUREMENTS.register("placement-cost")
def measure_cost(seed: int) -> list[measure.Figure]:
    """Return the exponents of the planning time as a power of the number of models.

    One is for planning from empty servers, one for planning again after that plan.
    """
    from_empty_exponents, replanning_exponents = [], []
    for trial_seed in _trial_seeds(seed):
        time_pairs = [_plan_times(models, trial_seed) for models in COST_MODEL_COUNTS]
        from_empty_exponents.append(
            log_log_slope(COST_MODEL_COUNTS, [time_pair[0] for time_pair in time_pairs])
        )
        replanning_exponents.append(
            log_log_slope(COST_MODEL_COUNTS, [time_pair[1] for time_pair in time_pairs])
        )
    return [
        *median_and_worst_figures("plan_cost_exponent", replanning_exponents, high=1.2),
        *median_and_worst_figures(
            "plan_cost_exponent_first", from_empty_exponents, high=1.2
        ),
    ]


def _plan_times(models, seed):
    """Return the processor seconds of a plan from empty servers and of the next."""
    deployment = placementexperiments.make_scaled_deployment(
        models, models * DESIGN_SERVERS // DESIGN_MODELS
    )
    rates = placementexperiments.Trace(deployment, seed, UTILISATION).rates(0.0)
    rates_by_centre = dict.fromkeys(deployment.data_centres(), rates)
    planner = planners.PLANNERS.get("balanced")()
    weights = placementplan.weights_of(deployment.sheet)
    loaded: dict = {}
    times_s = []
    for _ in range(2):
        current = placementplan.CurrentPlacement(loaded)
        samples_s = []
        for _ in range(COST_REPEATS):
            start_s = time.process_time()
            plan = planner.plan(
                deployment.sheet, deployment.backends, rates_by_centre, current, weights
            )
            samples_s.append(time.process_time() - start_s)
        times_s.append(min(samples_s))
        loaded = placementexperiments.apply_actions(loaded, plan.actions)
    return times_s


def log_log_slope(sizes, times) -> float:
    """Return the least-squares slope of log time over log size."""
    fit = statistics.linear_regression(
        [math.log(size) for size in sizes], [math.log(value) for value in times]
    )
    return fit.slope


def _run_planner(name, seed, alias="balanced", weights=None, hours=RUN_HOURS):
    deployment = placementexperiments.DEPLOYMENT_FACTORIES[name]()
    trace = placementexperiments.Trace(
        deployment, seed, UTILISATION, 0.1, SURGE_S, hours
    )
    by_name = None
    if weights is not None:
        by_name = dict.fromkeys(deployment.sheet.organisations_by_name, weights)
    return placementexperiments.PlannerRun(trace, alias, by_name).run(hours)


@measure.MEASUREMENTS.register("placement-attainment")
def measure_attainment(seed: int) -> list[measure.Figure]:
    """Return the attainment relative to ``static-even`` and the clairvoyant bound.

    The organisations and a tenth of the design size have separate figures, because
    the one or two servers of an organisation in each data centre leave the planner few
    choices.
    """
    figures = []
    for suffix, names in (("", ("tenth",)), ("_organisations", ORGANISATIONS)):
        ratios_to_static, ratios_to_bound = [], []
        for name in names:
            for trial_seed in _trial_seeds(seed):
                outcome = _run_planner(name, trial_seed)
                static = _run_planner(name, trial_seed, "static-even")
                ratios_to_static.append(outcome.attainment() / static.attainment())
                ratios_to_bound.append(outcome.attainment_of_bound())
        prefix = f"placement_attainment_ratio{suffix}"
        figures += median_and_worst_figures(
            f"{prefix}_static", ratios_to_static, low=1.0
        )
        figures += median_and_worst_figures(
            f"{prefix}_bound", ratios_to_bound, low=0.95
        )
    return figures


@measure.MEASUREMENTS.register("placement-weights")
def measure_weights(seed: int) -> list[measure.Figure]:
    """Return the effect of the weights on loads and on attainment.

    The loads are compared between a raised and an equal move weight, the attainment
    between a raised and a lowered attainment weight.
    """
    load_ratios, attainment_ratios = [], []
    for trial_seed in _trial_seeds(seed):
        (
            outcome_equal_weights,
            outcome_high_move_weight,
            outcome_high_attainment_weight,
            outcome_low_attainment_weight,
        ) = (
            _run_planner("tenth", trial_seed, "balanced", weights, RUN_HOURS / 2)
            for weights in (
                # attainment weight, move weight
                placementplan.Weights(1.0, 1.0),
                placementplan.Weights(1.0, RAISED_WEIGHT),
                placementplan.Weights(RAISED_WEIGHT, 1.0),
                placementplan.Weights(1.0 / RAISED_WEIGHT, 1.0),
            )
        )
        load_ratios.append(
            outcome_high_move_weight.load_count
            / max(outcome_equal_weights.load_count, 1)
        )
        attainment_ratios.append(
            outcome_high_attainment_weight.attainment()
            / outcome_low_attainment_weight.attainment()
        )
    return [
        *median_and_worst_figures("weights_move_ratio", load_ratios, high=1.0),
        *median_and_worst_figures(
            "weights_attainment_ratio", attainment_ratios, low=1.0
        ),
    ]
