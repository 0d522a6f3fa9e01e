"""Scenarios and reproducible request traces for the simulation experiments."""

import math
import random

from kumquatproxy import records
from kumquatproxy.laboratory import loadmodel

PREFIX_BLOCK_TOKENS = 128
MEAN_TOKENS = 100.0
BURST_FACTOR = 3.0
BURST_SHARE = 0.1  # share of time in which a model is in a burst
BURST_S = 8.0  # mean duration of a burst
SHIFT_FACTOR = 10.0

REQUEST_CLASSES = (
    # Share, priority (higher is served first), deadline in seconds, service, median
    # and maximum output tokens.
    (0.3, 8, 8.0, "interactive", 50.0, 130),
    (0.4, 5, 20.0, "standard", 80.0, 350),
    (0.3, 2, 30.0, "background", 120.0, 600),
)


class Scenario:
    """Fleet size, report behaviour and load of one experiment."""

    __slots__ = (
        "cache_gap_share",
        "data_centres",
        "demand_servers",
        "duration_s",
        "hosts",
        "models",
        "name",
        "organisation",
        "report_delay_s",
        "report_interval_s",
        "report_loss",
        "servers",
        "shift_s",
        "speed",
        "utilisation",
        "zipf",
    )

    def __init__(
        self,
        name,
        organisation,
        servers,
        models,
        hosts=6,
        data_centres=3,
        duration_s=180.0,
        utilisation=0.9,
        shift_s=60.0,
        zipf=1.0,
        report_interval_s=0.5,
        report_delay_s=0.5,
        report_loss=0.05,
        cache_gap_share=0.02,
        speed=None,
        demand_servers=None,
    ):
        self.name: str = name
        self.organisation: str = organisation
        self.servers: int = servers
        self.models: int = models
        self.hosts: int = hosts
        self.data_centres: int = data_centres
        self.duration_s: float = duration_s
        # Mean demand over the maximum throughput of ``demand_servers`` servers.
        self.utilisation: float = utilisation
        self.shift_s: float = shift_s  # duration of the demand shift; 0: no shift
        self.zipf: float = zipf
        self.report_interval_s: float = report_interval_s
        self.report_delay_s: float = report_delay_s  # mean
        self.report_loss: float = report_loss
        self.cache_gap_share: float = cache_gap_share
        self.speed: loadmodel.EngineSpeed = speed or loadmodel.EngineSpeed()
        # Number of servers that the demand is scaled to.
        self.demand_servers: int = demand_servers or servers

    def capacity(self) -> float:
        """Return the maximum throughput of all servers in request steps per second."""
        return self.servers * self.speed.request_steps_per_s()


SCENARIOS = {
    "port-louis": {"organisation": "port-louis", "servers": 5, "models": 17},
    "cordillera": {"organisation": "cordillera", "servers": 5, "models": 13},
    "tenth": {
        "organisation": "design-size",
        "servers": 60,
        "models": 170,
        "hosts": 12,
        "data_centres": 5,
    },
}


def scenario(name: str, **fields) -> Scenario:
    """Return the named scenario with the given fields overridden."""
    return Scenario(name, **{**SCENARIOS[name], **fields})


class Trace:
    """Requests of one run and each model's share of demand before bursts and shift."""

    __slots__ = ("base_share_by_model", "jobs")

    def __init__(self, jobs, base_share_by_model):
        self.jobs: list[loadmodel.Job] = jobs
        self.base_share_by_model: dict[str, float] = base_share_by_model


def model_name(number: int) -> str:
    """Return the name of the model with the given number."""
    return f"model-{number:03d}"


def model_item(number: int) -> records.Item:
    """Return the item of the model with the given number."""
    return records.Item("model", model_name(number), "1")


def generate(scenario: Scenario, seed: int) -> Trace:
    """Generate the trace of a scenario, deterministic for a given seed."""
    rng = random.Random(f"{scenario.name} {seed}")
    weights = [1.0 / (rank + 1) ** scenario.zipf for rank in range(scenario.models)]
    rng.shuffle(weights)
    seconds = int(scenario.duration_s)
    factors = [_burst_factors(seconds, rng) for _ in weights]
    if scenario.shift_s:
        _apply_shift(factors, weights, scenario, rng)
    rates = [
        [weight * factor for factor in row]
        for weight, row in zip(weights, factors, strict=True)
    ]
    mean_total = sum(map(sum, rates)) / seconds
    steps_per_request = MEAN_TOKENS + 2.5  # 2.5: allowance for the 1 to 3 prompt chunks
    demand_steps_per_s = scenario.demand_servers * scenario.speed.request_steps_per_s()
    request_rate = scenario.utilisation * demand_steps_per_s / steps_per_request
    jobs: list[loadmodel.Job] = []
    for number, row in enumerate(rates):
        for second, rate in enumerate(row):
            for _ in range(_poisson(rate * request_rate / mean_total, rng)):
                arrived_at = second + rng.random()
                jobs.append(_draw_job(scenario, number, arrived_at, rng))
    jobs.sort(key=lambda job: job.request.arrived_at)
    total = sum(weights)
    base_shares = {model_name(n): weight / total for n, weight in enumerate(weights)}
    return Trace(jobs, base_shares)


def _burst_factors(seconds, rng):
    row = []
    bursting = False
    for _ in range(seconds):
        if bursting:
            bursting = rng.random() >= 1.0 / BURST_S
        else:
            share = BURST_SHARE / (1.0 - BURST_SHARE)
            bursting = rng.random() < share / BURST_S
        row.append(BURST_FACTOR if bursting else 1.0)
    return row


def _apply_shift(factors, weights, scenario, rng):
    """Raise the demand of a tenth of the models tenfold and lower as many popular ones.

    The rising models are drawn from the less popular half.
    """
    count = max(1, scenario.models // 10)
    order = sorted(range(scenario.models), key=lambda number: weights[number])
    lower_half = order[: scenario.models // 2]
    rising = rng.sample(lower_half, count)
    falling = order[-count:]
    start = 0.3 * scenario.duration_s
    for second in range(len(factors[0])):
        progress = min(max((second - start) / scenario.shift_s, 0.0), 1.0)
        for number in rising:
            factors[number][second] *= SHIFT_FACTOR**progress
        for number in falling:
            factors[number][second] *= SHIFT_FACTOR**-progress


def _poisson(mean, rng):
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def _draw_job(scenario, number, arrived_at, rng):
    draw = rng.random()
    for (
        share,
        priority,
        deadline_s,
        service,
        median_tokens,
        max_response_tokens,
    ) in REQUEST_CLASSES:
        draw -= share
        if draw < 0.0:
            break
    tokens = max(
        2,
        min(int(rng.lognormvariate(math.log(median_tokens), 0.6)), max_response_tokens),
    )
    session = int(rng.paretovariate(1.0)) % 20
    blocks = rng.randint(1, 6)
    shared_blocks = min(blocks, 1 + session % 4)
    digests = [f"{number}/{session}/{block}" for block in range(shared_blocks)]
    request_id = f"{rng.getrandbits(48):x}"
    digests += [f"{request_id}/{block}" for block in range(blocks - shared_blocks)]
    name = model_name(number)
    request = records.CallRequest(
        request_id,
        scenario.organisation,
        service,
        model=name,
        version="1",
        priority=priority,
        deadline=arrived_at + deadline_s,
        prompt_tokens=blocks * PREFIX_BLOCK_TOKENS,
        max_tokens=max(64, int(tokens * rng.uniform(1.0, 4.0))),
        prefix_digests=digests,
        arrived_at=arrived_at,
    )
    return loadmodel.Job(request, (model_item(number),), tokens)
