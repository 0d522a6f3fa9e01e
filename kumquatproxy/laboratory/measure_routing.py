"""Measurements of routing, admission and retries over ten seeds."""

import functools
import random
import statistics
import time

from kumquatproxy import records
from kumquatproxy.laboratory import arrivals, experiments, loadmodel, measure
from kumquatproxy.placement import fixedplacement
from kumquatproxy.requests import routing

REGISTER = measure.MEASUREMENTS.register
DECISIONS = 1000
TIMINGS = 15  # the minimum is used, since other load on the machine only adds time


def _over_seeds(seed, function):
    """Return the values of ``function`` for all organisations and seeds."""
    return [
        function(name, run_seed)
        for name in experiments.ORGANISATIONS
        for run_seed in range(seed, seed + experiments.SEEDS)
    ]


@REGISTER("attainment_per_accelerator_ratio_static")
def attainment_static(seed) -> list[measure.Figure]:
    """Compare with static even placement and random routing."""
    values = _over_seeds(
        seed, lambda name, run_seed: experiments.fleet_ratio(name, "static", run_seed)
    )
    name = "attainment_per_accelerator_ratio_static"
    return experiments.median_and_worst(name, values, low=1.3)


@REGISTER("attainment_per_accelerator_ratio_lru")
def attainment_lru(seed) -> list[measure.Figure]:
    """Compare with loading on demand and least-connections routing.

    ``designed`` keeps a fixed placement and loads nothing; ``following`` adds replicas
    by the rule of the baseline.
    """
    name = "attainment_per_accelerator_ratio_lru"
    figures = []
    for system, label in (("designed", ""), ("following", "_following")):
        values = _over_seeds(seed, functools.partial(_lru_ratio, system))
        figures += experiments.median_and_worst(f"{name}{label}", values, low=1.3)
    for system in ("following", "lru"):
        moves = _over_seeds(seed, functools.partial(_moves, system))
        median = measure.Figure(f"moves_{system}_median", statistics.median(moves))
        figures.append(median)
    return figures


def _lru_ratio(system, name, run_seed):
    return experiments.fleet_ratio(name, "lru", run_seed, system=system)


def _moves(system, name, run_seed):
    return experiments.smallest_fleet(name, system, run_seed).load_count


@REGISTER("attainment_per_accelerator_ratio_tenth")
def attainment_tenth(seed) -> list[measure.Figure]:
    """Compare with both baselines at a tenth of the design size."""
    fields = {"duration_s": 45.0, "shift_s": 15.0, "hosts": 6}
    figures = []
    for baseline in ("static", "lru"):
        values = [
            experiments.fleet_ratio("tenth", baseline, run_seed, 6, **fields)
            for run_seed in range(seed, seed + experiments.SEEDS)
        ]
        name = f"attainment_per_accelerator_ratio_{baseline}_tenth"
        figures += experiments.median_and_worst(name, values, low=1.3)
    return figures


@REGISTER("attainment_per_accelerator_ratio_bound")
def attainment_bound(seed) -> list[measure.Figure]:
    """Compare attainment with the upper bound of ``bounds``."""
    values = _over_seeds(seed, experiments.bound_ratio)
    name = "attainment_per_accelerator_ratio_bound"
    return experiments.median_and_worst(name, values, low=0.9)


@REGISTER("goodput_ratio_overload")
def goodput_overload(seed) -> list[measure.Figure]:
    """Compare goodput at 3 times saturation with goodput at saturation."""
    results = _over_seeds(seed, experiments.overload)
    requests = [overload.goodput_ratio for overload in results]
    tokens = [overload.token_ratio for overload in results]
    return experiments.median_and_worst(
        "goodput_ratio_overload", requests, low=0.95
    ) + experiments.median_and_worst("goodput_tokens_ratio_overload", tokens, low=0.95)


@REGISTER("high_priority_attainment_overload")
def high_priority_overload(seed) -> list[measure.Figure]:
    """Measure the attainment of high-priority requests at 3 times saturation."""
    values = [
        overload.high_priority_attainment
        for overload in _over_seeds(seed, experiments.overload)
    ]
    return experiments.median_and_worst(
        "high_priority_attainment_overload", values, low=0.99
    )


@REGISTER("retry_amplification")
def retry_amplification(seed) -> list[measure.Figure]:
    """Measure attempts per request while every third server answers with errors."""
    values = _over_seeds(seed, experiments.retry_amplification)
    return experiments.median_and_worst("retry_amplification", values, high=1.1)


@REGISTER("attainment_ratio_fault")
def attainment_fault(seed) -> list[measure.Figure]:
    """Measure the ratio of attainment to its bound after the loss of servers.

    The period is the 60 s after the loss of a server or a data centre.
    """
    figures = []
    for kind, label in (("stop", "server"), ("silent", "data_centre")):
        values = _over_seeds(
            seed,
            lambda name, run_seed, kind=kind: experiments.fault_ratio(
                name, kind, run_seed
            ),
        )
        name = f"attainment_ratio_fault_{label}"
        figures += experiments.median_and_worst(name, values, low=0.95)
    return figures


@REGISTER("herding_ratio")
def herding(seed) -> list[measure.Figure]:
    """Measure how many times an even share the busiest server gets per interval."""
    figures = []
    for system, label in (("designed", ""), ("demand-random", "_random")):
        values = [
            experiments.herding_ratio(system, run_seed)
            for run_seed in range(seed, seed + experiments.SEEDS)
        ]
        figures += experiments.median_and_worst(f"herding_ratio{label}", values)
    return figures


@REGISTER("route_decision_cost_ratio")
def decision_cost(seed) -> list[measure.Figure]:
    """Measure the ratio of the time of a decision at the design size to 8 servers."""
    small = _DecisionTimer(8, 17)
    large = _DecisionTimer(600, 1700)
    values = []
    for run_seed in range(seed, seed + experiments.SEEDS):
        small.draw_requests(run_seed)
        large.draw_requests(run_seed)
        # Alternating runs and the minimum exclude the effect of other load.
        times = [(small.processor_s(), large.processor_s()) for _ in range(TIMINGS)]
        values.append(min(t[1] for t in times) / min(t[0] for t in times))
    return experiments.median_and_worst("route_decision_cost_ratio", values, high=1.5)


class _DecisionTimer:
    """Timer of decisions in one routing table, with models drawn by demand."""

    def __init__(self, servers, models):
        scenario = arrivals.Scenario("cost", "o", servers, models, data_centres=5)
        self._weights = [1.0 / (rank + 1) for rank in range(models)]
        names = [arrivals.model_name(index) for index in range(models)]
        weights_by_model = dict(zip(names, self._weights, strict=True))
        placed = fixedplacement.fixed_placement(scenario, "demand", weights_by_model)
        self._table = routing.RoutingTable("dc0")
        for index, items in enumerate(placed):
            server = records.BackendServer(
                f"b{index}", "", f"dc{index % 5}", "engine", "engines", 1
            )
            self._table.update_server(server, -100.0)
            report = records.LoadReport(f"b{index}", 1, 1, index * 7 % 24, loaded=items)
            self._table.apply_report(report, 0.0)

    def draw_requests(self, seed):
        """Draw the requests for a seed."""
        self._rng = random.Random(seed)
        numbers = range(len(self._weights))
        drawn = self._rng.choices(numbers, self._weights, k=DECISIONS)
        self._jobs = [
            loadmodel.Job(_request(n), (arrivals.model_item(n),), 1) for n in drawn
        ]

    def processor_s(self):
        """Decide on all requests and return the processor time in seconds."""
        started_at = time.process_time()
        for job in self._jobs:
            self._table.choose(job.request, job.items, frozenset(), 1.0, self._rng)
        return time.process_time() - started_at


def _request(number):
    return records.CallRequest(
        "r", "o", "engines", arrivals.model_name(number), prompt_tokens=400
    )
