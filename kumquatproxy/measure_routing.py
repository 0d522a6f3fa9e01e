"""Measurements of routing, admission and retries over ten seeds."""

import random
import time

from kumquatproxy import (
    arrivals,
    experiments,
    fixedplacement,
    loadmodel,
    measure,
    records,
    routing,
)

REGISTER = measure.MEASUREMENTS.register
DECISIONS = 4000
TIMINGS = 5  # the fastest counts, since other load only slows a timing down


def _over_seeds(seed, function):
    """Return the values of both organisations over ten seeds."""
    return [
        function(name, number)
        for name in experiments.ORGANISATIONS
        for number in range(seed, seed + experiments.SEEDS)
    ]


@REGISTER("attainment_per_accelerator_ratio_static")
def attainment_static(seed) -> list[measure.Figure]:
    """Measure against static even placement with random routing."""
    values = _over_seeds(
        seed, lambda name, number: experiments.fleet_ratio(name, "static", number)
    )
    name = "attainment_per_accelerator_ratio_static"
    return experiments.spread(name, values, low=1.3)


@REGISTER("attainment_per_accelerator_ratio_lru")
def attainment_lru(seed) -> list[measure.Figure]:
    """Measure against load on demand with least-connections routing."""
    name = "attainment_per_accelerator_ratio_lru"
    values = _over_seeds(
        seed, lambda place, number: experiments.fleet_ratio(place, "lru", number)
    )
    moves = _over_seeds(
        seed,
        lambda place, number: experiments.smallest_fleet(place, "lru", number).moves,
    )
    figures = experiments.spread(name, values, low=1.3)
    # The designed system keeps a fixed placement here and moves nothing.
    return [
        *figures,
        measure.Figure("moves_lru_median", sorted(moves)[len(moves) // 2]),
    ]


@REGISTER("attainment_per_accelerator_ratio_tenth")
def attainment_tenth(seed) -> list[measure.Figure]:
    """Measure both baselines at a tenth of the design size."""
    fields = {"duration_s": 45.0, "shift_s": 15.0, "hosts": 6}
    figures = []
    for baseline in ("static", "lru"):
        values = [
            experiments.fleet_ratio("tenth", baseline, number, 6, **fields)
            for number in range(seed, seed + experiments.SEEDS)
        ]
        name = f"attainment_per_accelerator_ratio_{baseline}_tenth"
        figures += experiments.spread(name, values, low=1.3)
    return figures


@REGISTER("attainment_per_accelerator_ratio_bound")
def attainment_bound(seed) -> list[measure.Figure]:
    """Measure against the clairvoyant bound of ``bounds``."""
    values = _over_seeds(seed, experiments.bound_ratio)
    name = "attainment_per_accelerator_ratio_bound"
    return experiments.spread(name, values, low=0.9)


@REGISTER("goodput_ratio_overload")
def goodput_overload(seed) -> list[measure.Figure]:
    """Measure goodput at 3 times saturation, in requests and in tokens."""
    found = _over_seeds(seed, experiments.overload)
    requests = [overload.goodput_ratio for overload in found]
    tokens = [overload.token_ratio for overload in found]
    return experiments.spread(
        "goodput_ratio_overload", requests, low=0.95
    ) + experiments.spread("goodput_tokens_ratio_overload", tokens, low=0.95)


@REGISTER("high_priority_attainment_overload")
def high_priority_overload(seed) -> list[measure.Figure]:
    """Measure attainment of high priorities at 3 times saturation."""
    values = [overload.high for overload in _over_seeds(seed, experiments.overload)]
    return experiments.spread("high_priority_attainment_overload", values, low=0.99)


@REGISTER("retry_amplification")
def retry_amplification(seed) -> list[measure.Figure]:
    """Measure attempts per request while a third of the servers fail."""
    values = _over_seeds(seed, experiments.retry_amplification)
    return experiments.spread("retry_amplification", values, high=1.1)


@REGISTER("attainment_ratio_fault")
def attainment_fault(seed) -> list[measure.Figure]:
    """Measure the 60 s after losing one server, and after losing a data centre."""
    figures = []
    for kind, label in (("stop", "server"), ("silent", "data_centre")):
        values = _over_seeds(
            seed,
            lambda name, number, kind=kind: experiments.fault_ratio(name, kind, number),
        )
        name = f"attainment_ratio_fault_{label}"
        figures += experiments.spread(name, values, low=0.95)
    return figures


@REGISTER("herding_ratio")
def herding(seed) -> list[measure.Figure]:
    """Measure the largest share of one server in a report interval."""
    figures = []
    for system, label in (("designed", ""), ("demand-random", "_random")):
        values = [
            experiments.herding_ratio(system, number)
            for number in range(seed, seed + experiments.SEEDS)
        ]
        figures += experiments.spread(f"herding_ratio{label}", values)
    return figures


@REGISTER("route_decision_cost_ratio")
def decision_cost(seed) -> list[measure.Figure]:
    """Measure the time of a decision at the design size over that at 8 servers."""
    values = []
    for number in range(seed, seed + experiments.SEEDS):
        small = _decision_s(8, 17, number)
        values.append(_decision_s(600, 1700, number) / small)
    return experiments.spread("route_decision_cost_ratio", values, high=1.5)


def _decision_s(servers, models, seed):
    """Return the time of one decision, for models drawn by their demand."""
    rng = random.Random(seed)
    scenario = arrivals.Scenario("cost", "o", servers, models, data_centres=5)
    weights = [1.0 / (rank + 1) for rank in range(models)]
    average = {arrivals.model_name(n): weight for n, weight in enumerate(weights)}
    table = routing.RoutingTable("dc0")
    placed = fixedplacement.place(scenario, "demand", average)
    for number, items in enumerate(placed):
        backend_id = f"b{number}"
        data_centre = f"dc{number % 5}"
        server = records.BackendServer(
            backend_id, "", data_centre, "engine", "engines", 1
        )
        table.update_server(server, -100.0)
        load = rng.randrange(24)
        report = records.LoadReport(backend_id, 1, 1, load, 0, loaded=items)
        table.report(report, 0.0)
    drawn = rng.choices(range(models), weights, k=DECISIONS)
    jobs = [loadmodel.Job(_request(n), (arrivals.model_item(n),), 1) for n in drawn]
    times = []
    for _ in range(TIMINGS):
        began = time.process_time()
        for job in jobs:
            table.choose(job.request, job.items, frozenset(), 1.0, rng)
        times.append(time.process_time() - began)
    return min(times) / DECISIONS


def _request(number):
    return records.CallRequest(
        "r", "o", "engines", arrivals.model_name(number), prompt_tokens=400
    )
