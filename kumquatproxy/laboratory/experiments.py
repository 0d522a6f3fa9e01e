"""Simulation experiments on routing, admission and retries over several seeds."""

import argparse
import functools
import math
import statistics
import time

from kumquatproxy import records, registry
from kumquatproxy.laboratory import arrivals, bounds, measure, simulation, systems
from kumquatproxy.requests import hedging

EXPERIMENTS = registry.Registry("experiment")
"""Functions that run an experiment over a list of seeds and return its figures."""

SEEDS = 10
TARGET_ATTAINMENT = 0.95  # for the smallest fleet
FAULT_AT_S = 40.0
FAULT_PERIOD_S = 60.0
FAULT_UTILISATION = 0.5  # 3 of 5 servers suffice after a data centre is lost
ORGANISATIONS = ("port-louis", "cordillera")


def run(name, system, seed, faults=(), **fields) -> systems.Result:
    """Simulate one system on the trace of a scenario."""
    scenario = arrivals.scenario(name, **fields)
    trace = arrivals.generate(scenario, seed)
    selected = systems.SYSTEMS[system]
    simulation_class = (
        hedging.HedgedSimulation if selected.hedging else simulation.Simulation
    )
    return simulation_class(scenario, selected, trace, seed, faults).run()


def has_high_priority(job) -> bool:
    """Return whether a job has a high priority."""
    return job.request.priority >= 7


class SmallestFleet(records.Record):
    """Smallest fleet of a system that reaches ``TARGET_ATTAINMENT``."""

    __slots__ = ("attainment", "load_count", "servers")

    def __init__(self, servers, attainment, load_count):
        self.servers: int = servers
        self.attainment: float = attainment
        self.load_count: int = load_count

    def per_server(self) -> float:
        """Return attainment per server, which stands for attainment per accelerator."""
        return self.attainment / self.servers


@functools.lru_cache(maxsize=256)
def smallest_fleet(name, system, seed, step=1, **fields) -> SmallestFleet:
    """Return the smallest fleet that reaches ``TARGET_ATTAINMENT`` on equal demand.

    The size is found by bisection up to 2.5 times the size of the scenario. If no size
    reaches the target, the largest one is returned with its attainment.
    """
    scenario = arrivals.scenario(name, **fields)
    least = math.ceil(scenario.models / scenario.speed.max_items / step)
    sizes = list(range(least * step, int(scenario.servers * 2.5) + 1, step))
    low, high = 0, len(sizes) - 1
    best = None
    while low <= high:
        middle = (low + high) // 2
        servers = sizes[middle]
        result = run(
            name,
            system,
            seed,
            servers=servers,
            demand_servers=scenario.servers,
            **fields,
        )
        fleet = SmallestFleet(servers, result.attainment(), result.load_count)
        if fleet.attainment >= TARGET_ATTAINMENT:
            best = fleet
            high = middle - 1
        else:
            low = middle + 1
            if best is None and middle == len(sizes) - 1:
                best = fleet
    assert best is not None
    return best


def fleet_ratio(name, baseline, seed, step=1, system="designed", **fields) -> float:
    """Return the ratio of attainment per accelerator of a system to a baseline."""
    system_fleet = smallest_fleet(name, system, seed, step, **fields)
    baseline_fleet = smallest_fleet(name, baseline, seed, step, **fields)
    return system_fleet.per_server() / baseline_fleet.per_server()


def bound_ratio(name, seed, utilisation=0.9, **fields) -> float:
    """Return the ratio of attainment to its upper bound for the same trace."""
    scenario = arrivals.scenario(name, utilisation=utilisation, **fields)
    trace = arrivals.generate(scenario, seed)
    result = run(name, "designed", seed, utilisation=utilisation, **fields)
    start = systems.MEASURED_FROM_S
    bound = bounds.attainment_bound(
        trace, scenario, scenario.capacity(), start, float("inf")
    )
    return result.attainment() / bound


class OverloadResult(records.Record):
    """Goodput and attainment at 3 times the demand that saturates all servers.

    The ratios are to the goodput at saturation, in requests and in tokens.
    """

    __slots__ = ("goodput_ratio", "high_priority_attainment", "token_ratio")

    def __init__(self, goodput_ratio, token_ratio, high_priority_attainment):
        self.goodput_ratio: float = goodput_ratio
        self.token_ratio: float = token_ratio
        self.high_priority_attainment: float = high_priority_attainment


@functools.lru_cache(maxsize=64)
def overload(name, seed) -> OverloadResult:
    """Compare goodput at 3 times the saturating demand with goodput at that demand."""
    at_saturation = run(name, "designed", seed, utilisation=1.0)
    overloaded = run(name, "designed", seed, utilisation=3.0)
    return OverloadResult(
        _goodput(overloaded, False) / _goodput(at_saturation, False),
        _goodput(overloaded, True) / _goodput(at_saturation, True),
        overloaded.attainment(keep=has_high_priority),
    )


def _goodput(result, by_tokens):
    met = [
        job.response_tokens if by_tokens else 1
        for job in result.jobs_in_period()
        if result.outcomes_by_id.get(job.request.request_id) == "on-time"
    ]
    return sum(met)


def retry_amplification(name, seed) -> float:
    """Return attempts per sent request while every third server answers with errors.

    Hedged copies count as attempts.
    """
    servers = arrivals.scenario(name).servers
    failing = range(0, servers, 3)
    fault = systems.Fault(FAULT_AT_S, "errors", failing)
    result = run(name, "designed", seed, [fault], utilisation=FAULT_UTILISATION)
    ids = {job.request.request_id for job in result.jobs_in_period(FAULT_AT_S)}
    sends = sum(
        request_id.removesuffix(hedging.COPY_SUFFIX) in ids
        for _, _, request_id in result.sends
    )
    return sends / len(ids & result.sent_ids)


def fault_ratio(name, kind, seed) -> float:
    """Return the ratio of attainment in the 60 s after a loss to its upper bound.

    The bound uses the capacity of the remaining servers.
    """
    fields = {
        "utilisation": FAULT_UTILISATION,
        "duration_s": FAULT_AT_S + FAULT_PERIOD_S + 20.0,
        "shift_s": 0.0,
        "speed": arrivals.loadmodel.EngineSpeed(max_items=8),
    }
    scenario = arrivals.scenario(name, **fields)
    lost = [0]
    if kind == "silent":
        lost = list(range(0, scenario.servers, scenario.data_centres))
    fault = systems.Fault(FAULT_AT_S, kind, lost)
    result = run(name, "designed", seed, [fault], **fields)
    end = FAULT_AT_S + FAULT_PERIOD_S
    trace = arrivals.generate(scenario, seed)
    remaining_share = 1.0 - len(lost) / scenario.servers
    bound = bounds.attainment_bound(
        trace, scenario, scenario.capacity() * remaining_share, FAULT_AT_S, end
    )
    return result.attainment(FAULT_AT_S, end) / bound


def herding_ratio(policy, seed, servers=16, interval_s=0.5) -> float:
    """Return how many times an even share the busiest server gets per report interval.

    All servers hold one model; the ratio is the mean over the report intervals of a
    run. Engines are ten times as fast as in other experiments. Each interval therefore
    has enough requests that the largest share is not mostly chance, and reports are
    old relative to the requests, which provokes herding: many hosts choose the same
    server.
    """
    speed = arrivals.loadmodel.EngineSpeed(step_base_s=0.0015, step_slope_s=0.00012)
    fields = {
        "servers": servers,
        "models": 1,
        "data_centres": 1,
        "hosts": 8,
        "duration_s": 22.0,
        "utilisation": 0.8,
        "shift_s": 0.0,
        "speed": speed,
    }
    result = run("port-louis", policy, seed, **fields)
    counts: dict[int, dict[str, int]] = {}
    for at, backend_id, _ in result.sends:
        if systems.MEASURED_FROM_S <= at < fields["duration_s"]:
            interval = counts.setdefault(int(at / interval_s), {})
            interval[backend_id] = interval.get(backend_id, 0) + 1
    ratios = [
        max(by_server.values()) * servers / sum(by_server.values())
        for by_server in counts.values()
    ]
    return statistics.fmean(ratios)


def median_and_worst(name, values, low=None, high=None) -> list[measure.Figure]:
    """Return the median and the worst value as figures.

    The worst value is the maximum if ``high`` is given or ``low`` is not, and the
    minimum otherwise.
    """
    worst = max(values) if high is not None or low is None else min(values)
    return [
        measure.Figure(f"{name}_median", statistics.median(values), low, high),
        measure.Figure(f"{name}_worst", worst, low, high),
    ]


@EXPERIMENTS.register("systems")
def compare_systems(seeds, utilisations=(0.6, 0.9, 1.3, 3.0)) -> list[measure.Figure]:
    """Compare the attainment of all systems at several utilisations."""
    figures = []
    for name in ORGANISATIONS:
        for utilisation in utilisations:
            for system in systems.SYSTEMS:
                values = [
                    run(name, system, seed, utilisation=utilisation).attainment()
                    for seed in seeds
                ]
                label = f"{name}/{utilisation}/{system}"
                figures += median_and_worst(label, values, low=0.0)
    return figures


@EXPERIMENTS.register("hour")
def compare_hour(seeds) -> list[measure.Figure]:
    """Compare the attainment while demand shifts tenfold within an hour."""
    figures = []
    fields = {"duration_s": 3600.0, "shift_s": 2400.0, "utilisation": 0.9}
    for name in ORGANISATIONS:
        for system in ("designed", "static", "lru"):
            values = [run(name, system, seed, **fields).attainment() for seed in seeds]
            figures += median_and_worst(f"{name}/hour/{system}", values, low=0.0)
    return figures


@EXPERIMENTS.register("tenth")
def compare_tenth(seeds) -> list[measure.Figure]:
    """Compare the attainment at a tenth of the design size, with a shift in 60 s."""
    figures = []
    fields = {"duration_s": 90.0, "utilisation": 0.9}
    for system in ("designed", "static", "lru", "demand-least"):
        values = [run("tenth", system, seed, **fields).attainment() for seed in seeds]
        figures += median_and_worst(f"tenth/{system}", values, low=0.0)
    return figures


@EXPERIMENTS.register("hedging")
def compare_hedging(seeds) -> list[measure.Figure]:
    """Compare runs with and without hedging, with no slow server and with one."""
    figures = []
    for label, kinds in (("normal", ()), ("slow", ("slow",))):
        faults = [systems.Fault(FAULT_AT_S, kind, [0]) for kind in kinds]
        for system in ("no-hedging", "designed"):
            fields = {"utilisation": 0.6, "shift_s": 0.0}
            runs = [
                run(name, system, seed, faults, **fields)
                for name in ORGANISATIONS
                for seed in seeds
            ]
            name = f"hedging/{label}/{system}"
            met = [result.attainment() for result in runs]
            tail = [_first_token_p99_s(result) for result in runs]
            sends = [len(result.sends) / len(result.jobs) for result in runs]
            figures += median_and_worst(f"{name}/attainment", met, low=0.0)
            figures += median_and_worst(f"{name}/first_token_p99_s", tail)
            figures += median_and_worst(f"{name}/sends_per_request", sends)
    return figures


def _first_token_p99_s(result):
    times = sorted(
        result.first_token_s.get(job.request.request_id, math.inf)
        for job in result.jobs_in_period(FAULT_AT_S)
        if has_high_priority(job)
    )
    return times[int(0.99 * len(times))]


def run_named(name: str, seed: int, count: int = SEEDS) -> list[measure.Figure]:
    """Run one experiment over ``count`` seeds from ``seed`` on and print figures."""
    started_at = time.perf_counter()
    figures = EXPERIMENTS.get(name)(range(seed, seed + count))
    for figure in figures:
        print(figure.line(), flush=True)
    print(f"experiment {name}: {time.perf_counter() - started_at:.0f} s", flush=True)
    return figures


def main(argv=None) -> None:
    """Run an experiment from the command line."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("name", choices=EXPERIMENTS.aliases())
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=SEEDS, help="number of seeds")
    arguments = parser.parse_args(argv)
    run_named(arguments.name, arguments.seed, arguments.count)


if __name__ == "__main__":
    main()
