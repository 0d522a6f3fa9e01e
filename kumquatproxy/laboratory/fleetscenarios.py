"""Fleets and request loads for the fleet model.

Two fleets have the figures of users' configuration sheets: one with slow loads, whose
13 models fit once, and one with room for 15 of its 17 models. The third one represents
larger fleets at a size that is simulated in seconds.
"""

import math
import typing

from kumquatproxy.fleet import placementpolicies, serviceconfig
from kumquatproxy.gateway import calls, overload, shedding
from kumquatproxy.laboratory import fleetengines

TOKENS_PER_EVENT = 3
# Exponent of the power law by which demand for rare models falls with their rank.
RANK_POWER = 0.4


class RequestKind:
    """Kind of request, with token counts from log-normal distributions."""

    __slots__ = (
        "deadline_s",
        "event_distribution",
        "is_hot",
        "late_value",
        "name",
        "prompt_distribution",
        "rate_per_s",
        "retries",
        "route",
        "shared_tokens",
        "value",
    )

    def __init__(
        self,
        name,
        rate_per_s,
        objective_s,
        deadline_s,
        value,
        late_value,
        priority,
        prompt_distribution,
        event_distribution,
        shared_tokens,
        is_hot,
    ):
        self.name: str = name
        self.rate_per_s: float = rate_per_s
        self.deadline_s: float = deadline_s
        self.value: float = value
        self.late_value: float = late_value
        # Mean, coefficient of variation and maximum of log-normal distributions.
        self.prompt_distribution: tuple[float, float, float] = prompt_distribution
        self.event_distribution: tuple[float, float, float] = event_distribution
        self.shared_tokens: int = shared_tokens
        self.is_hot: bool = is_hot  # requests the models currently in high demand
        self.retries = 1
        self.route = serviceconfig.Route(
            name,
            "host",
            "/",
            calls.Mode.STREAM,
            [],
            deadline_s,
            objective_s,
            priority,
        )

    def draw_tokens(self, rng) -> tuple[int, int]:
        """Draw the numbers of prompt and output tokens of one request."""
        prompt_tokens = self.shared_tokens + _draw(self.prompt_distribution, rng)
        return prompt_tokens, max(
            1, _draw(self.event_distribution, rng)
        ) * TOKENS_PER_EVENT


def _draw(distribution, rng):
    mean, variation, maximum = distribution
    sigma = math.sqrt(math.log(1.0 + variation * variation))
    value = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return max(1, min(int(maximum), round(value)))


def _request_kinds(objective_s, rare_deadline_s, long_objective_s, rates):
    short = (1800.0, 1.3, 6870.0)
    events = (7.5, 1.4, 30.0)
    return [
        RequestKind(
            "short",
            rates[0],
            objective_s,
            4.0,
            2.4,
            0.7,
            1,
            short,
            events,
            568,
            True,
        ),
        RequestKind(
            "rare",
            rates[1],
            6.0,
            rare_deadline_s,
            2.0,
            0.6,
            1,
            short,
            events,
            568,
            False,
        ),
        RequestKind(
            "long",
            rates[2],
            long_objective_s,
            15.0,
            3.2,
            0.97,
            0,
            (1110.0, 1.0, 3790.0),
            (57.4, 0.9, 190.0),
            350,
            True,
        ),
    ]


class Scenario:
    """Fleet, its models, and a load whose demand shifts between models.

    ``shifts`` holds (start, duration) of shifts of demand from one pair of hot models
    to the next, and ``bursts`` (start, duration, factor) of bursts of all requests.
    ``crashes`` holds (start, duration, index) of engines that restart without loaded
    models, ``replacements`` of engines that restart without cached copies as well.
    ``owner_changes`` holds (start, duration) of periods without a placement owner, in
    which no orders are issued.
    """

    load_policy = shedding.STEADY
    warmup_s = 10.4  # from the first placement owner to the first request
    first_engine_delay_s = 0.1  # until the first owner discovers an engine
    engine_interval_s = 0.55  # between discoveries of engines
    duration_s = 35.0
    slots = 64
    loads_per_s = 1.1
    load_window_s = 5.0
    load_excess = 1.1
    adapters_mb = 500.0
    step_per_request_s = 0.000018
    top_model_share = 0.73  # of requests for hot models, for the first one of the pair
    hot_model_count = 0  # models that take turns in high demand, first in the list
    step_s = 0.0  # of an empty step; running requests and prompt tokens add to it
    prefill_tokens_per_s = 1.0  # of one engine
    engine_mb = 0.0
    placement_policy = placementpolicies.STEADY
    memory_cache_mb = 0.0
    disk_cache_mb = 0.0
    kinds: typing.Sequence[RequestKind] = ()
    prefill_time_factors_by_name: typing.ClassVar[dict[str, float]] = {}
    initial_models: tuple[tuple[str, ...], ...] = ()

    def __init__(
        self,
        shifts=((1.0, 5.5), (14.0, 5.5)),
        bursts=(),
        crashes=(),
        replacements=(),
        owner_changes=(),
    ):
        self.shifts = shifts
        self.bursts = bursts
        self.crashes = crashes
        self.replacements = replacements
        self.owner_changes = owner_changes
        self.models = self.create_models()
        self._models_by_name = {model.name: model for model in self.models}

    def create_models(self) -> list[serviceconfig.Model]:
        """Create the models, with the ``hot_model_count`` hot ones first."""
        raise NotImplementedError

    def memory_mb(self, name: str) -> float:
        """Return the size of a model in memory."""
        return self._models_by_name[name].memory_mb

    def prefill_time_factor(self, name: str) -> float:
        """Return the processing time per prompt token relative to the slowest model."""
        return self.prefill_time_factors_by_name.get(name, 1.0)

    def engine_config(self) -> serviceconfig.Engine:
        """Return the operator's configuration of the engines."""
        return serviceconfig.Engine(
            self.models,
            self.engine_mb,
            self.slots,
            145_000,
            8,
            self.loads_per_s,
            TOKENS_PER_EVENT,
            self.memory_cache_mb,
            self.disk_cache_mb,
        )

    def engines(self) -> list[fleetengines.Engine]:
        """Create the engines with their initially loaded models."""
        engines = []
        for index, names in enumerate(self.initial_models):
            engines.append(fleetengines.Engine(f"e{index}", self, names, names))
        return engines

    def arrivals(self, rng):
        """Draw all requests as (time, kind, model), sorted by time."""
        requests = []
        for kind in self.kinds:
            now = 0.0
            while now < self.duration_s:
                factor = self._rate_factor(kind, now)
                now += rng.expovariate(kind.rate_per_s * factor)
                requests.append((now, kind, self._draw_model(kind, now, rng)))
        return sorted(requests, key=lambda request: request[0])

    def draw_team(self, now: float, rng) -> serviceconfig.Team | None:
        """Draw the team that sends a request, None if there are no teams."""
        return None

    def draw_missing_s(self, kind: RequestKind, rng) -> float:
        """Draw by how much a caller waits less than the timeout of the route."""
        return 0.0

    def _rate_factor(self, kind, now):
        factors = [
            factor
            for at, duration_s, factor in self.bursts
            if at <= now < at + duration_s
        ]
        return max(factors, default=1.0)

    def _draw_model(self, kind, now, rng):
        names = [model.name for model in self.models]
        if not kind.is_hot:
            rare = names[self.hot_model_count :]
            weights = [1.0 / (rank + 1) ** RANK_POWER for rank in range(len(rare))]
            return rng.choices(rare, weights)[0]
        shift_count = 0
        for at, duration_s in self.shifts:
            shift_count += rng.random() < (now - at) / duration_s
        return self._draw_hot_model(names, shift_count, rng)

    def _draw_hot_model(self, names, shift_count, rng):
        """Draw a model in high demand after ``shift_count`` shifts."""
        first = shift_count % self.hot_model_count
        if rng.random() < self.top_model_share:
            return names[first]
        return names[(first + 1) % self.hot_model_count]


class SlowLoads(Scenario):
    """Fleet with room for nearly all of 13 models, which take 4 to 8.6 s to load."""

    hot_model_count = 5
    step_s = 0.0082
    prefill_tokens_per_s = 25_800.0
    engine_mb = 200_000.0
    memory_cache_mb = 130_000.0
    disk_cache_mb = 400_000.0
    kinds = _request_kinds(0.6, 15.0, 1.5, (16.1, 2.24, 4.42))
    prefill_time_factors_by_name = {"h3": 0.93, "r5": 0.34, "r6": 0.34} | {
        name: 0.93 for name in ("r0", "r7")
    }
    initial_models = (
        ("h0", "h1"),
        ("h0", "h2"),
        ("h0", "h1", "r1"),
        ("h0", "h3", "r1"),
        ("h4", "r0"),
    )

    def create_models(self):
        """Create the models; see the base class."""
        adapters_by_name = {"h0": 32, "h1": 0, "h2": 12, "h4": 12}
        models = [
            serviceconfig.Model(name, 72_700.0, 8.6, 1.7, 0.6, count, 66.0)
            for name, count in adapters_by_name.items()
        ]
        models.insert(3, serviceconfig.Model("h3", 65_500.0, 7.8, 1.6, 0.57, 0, 40.0))
        sizes_gb = [65.5, 34.3, 34.3, 34.3, 65.1, 65.1, 65.5, 65.5]
        for index, size_gb in enumerate(sizes_gb):
            load_s = 4.0 if size_gb < 40 else 7.7
            disk_s = 0.8 if size_gb < 40 else 1.6
            models.append(
                serviceconfig.Model(f"r{index}", size_gb * 1000, load_s, disk_s, 0.5)
            )
        return models


class FewPlaces(Scenario):
    """Fleet with room for 15 of 17 models of about the same size."""

    hot_model_count = 5
    step_s = 0.0068
    prefill_tokens_per_s = 22_100.0
    engine_mb = 230_000.0
    memory_cache_mb = 150_000.0
    disk_cache_mb = 460_000.0
    kinds = _request_kinds(0.8, 12.0, 2.0, (15.2, 2.11, 4.59))
    prefill_time_factors_by_name = {
        name: 0.31 for name in ("h3", "r0", "r2", "r3", "r8", "r10")
    }
    initial_models = (
        ("h0", "h1", "h2"),
        ("h0", "h3", "r0"),
        ("h0", "h1", "r1"),
        ("h0", "h4", "r2"),
        ("h0", "r3", "r4"),
    )

    def create_models(self):
        """Create the models; see the base class."""
        models = []
        adapters = {"h0": 32, "h2": 12, "h4": 12}
        names = [f"h{index}" for index in range(5)] + [
            f"r{index}" for index in range(12)
        ]
        for name in names:
            is_small = name in self.prefill_time_factors_by_name
            models.append(
                serviceconfig.Model(
                    name,
                    65_100.0 if is_small else 72_700.0,
                    5.0 if is_small else 5.8,
                    1.0 if is_small else 1.2,
                    0.6,
                    adapters.get(name, 0),
                    66.0,
                )
            )
        return models


class ManyEngines(Scenario):
    """Fleet of 20 engines and 47 models, where one model needs several engines.

    A shift assigns each rank of demand to another model, so that the new first model
    needs many replicas within seconds.
    """

    hot_model_count = 14
    step_s = 0.0082
    prefill_tokens_per_s = 25_800.0
    engine_count = 20
    engine_mb = 200_000.0
    loads_per_s = 6.2
    memory_cache_mb = 130_000.0
    disk_cache_mb = 400_000.0
    engine_interval_s = 0.1
    kinds = _request_kinds(0.6, 15.0, 1.5, (93.0, 13.0, 25.5))
    # Share of the requests for hot models, by rank of demand.
    hot_model_shares = (
        0.336,
        0.125,
        0.093,
        0.077,
        0.067,
        0.06,
        0.055,
        0.051,
        0.048,
        0.045,
    )
    # Number of ranks by which a shift moves each model.
    shift_rank_step = 4
    # Wanted initial replicas of the hot models; a rare model has one if it still fits.
    initial_replica_counts = (6, 3, 2, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1)
    rare_model_count = 33
    # Memory in MB, seconds to load from the weight store and from disk; ``model_sizes``
    # is assigned to the models in turn.
    large = (72_700.0, 8.6, 1.7)
    medium = (65_500.0, 7.8, 1.6)
    small = (34_300.0, 4.0, 0.8)
    model_sizes = (large, large, medium, large, small, large, medium)
    hot_adapter_counts = (32, 0, 12, 0)

    def __init__(self, **load):
        super().__init__(**load)
        self.initial_models = self._initial_placement()

    def create_models(self):
        """Create the models; see the base class."""
        models = []
        for index in range(self.hot_model_count + self.rare_model_count):
            is_hot = index < self.hot_model_count
            name = f"h{index}" if is_hot else f"r{index - self.hot_model_count}"
            adapters = self.hot_adapter_counts[index % len(self.hot_adapter_counts)]
            size = self.model_sizes[index % len(self.model_sizes)]
            models.append(
                serviceconfig.Model(name, *size, 0.6, adapters if is_hot else 0, 66.0)
            )
        return models

    def _initial_placement(self):
        """Return the models of each engine, placing hot models first while they fit."""
        counts = dict(enumerate(self.initial_replica_counts))
        order = [
            model
            for index, model in enumerate(self.models)
            for _ in range(counts.get(index, 1))
        ]
        models_by_engine: list[list[str]] = [[] for _ in range(self.engine_count)]
        free_mb = [self.engine_mb - self.adapters_mb] * self.engine_count
        for model in order:
            fitting = [
                index
                for index in range(self.engine_count)
                if free_mb[index] >= model.memory_mb
                and model.name not in models_by_engine[index]
            ]
            if fitting:
                index = max(fitting, key=lambda engine: (free_mb[engine], -engine))
                models_by_engine[index].append(model.name)
                free_mb[index] -= model.memory_mb
        return tuple(tuple(names) for names in models_by_engine)

    def _draw_hot_model(self, names, shift_count, rng):
        rank = rng.choices(range(len(self.hot_model_shares)), self.hot_model_shares)[0]
        return names[(rank + shift_count * self.shift_rank_step) % self.hot_model_count]


class ManyModels(ManyEngines):
    """Fleet with places for half of its models, whose loads take about two seconds.

    The objective of the calls for rare models is a little longer than a load, that of
    the others is shorter.
    """

    step_s = 0.0101
    prefill_tokens_per_s = 20_400.0
    engine_count = 14
    engine_mb = 230_000.0
    slots = 48
    loads_per_s = 4.6
    memory_cache_mb = 150_000.0
    disk_cache_mb = 450_000.0
    kinds: typing.Sequence[RequestKind] = [
        RequestKind(
            "short", 20.0, 0.815, 5.1, 1.8, 0.53, 1, (1800.0, 1.3, 6870.0),
            (7.5, 1.4, 30.0), 568, True,
        ),
        RequestKind(
            "rare", 3.5, 2.515, 8.05, 1.8, 0.53, 2, (1800.0, 1.3, 6870.0),
            (7.5, 1.4, 30.0), 568, False,
        ),
        RequestKind(
            "long", 8.4, 0.612, 15.3, 2.5, 0.76, 0, (1110.0, 1.0, 3790.0),
            (57.4, 0.9, 190.0), 350, True,
        ),
    ]  # fmt: skip
    initial_replica_counts = (5, 3, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1)
    rare_model_count = 66
    large = (72_700.0, 2.4, 1.6)
    medium = (65_500.0, 2.2, 1.4)
    model_sizes = (large, large, medium, large, large, medium, large)

    def __init__(self, placement_policy=placementpolicies.STEADY, **load):
        self.placement_policy = placement_policy
        super().__init__(**load)

    def create_models(self):
        """Create the models; see the base class."""
        return [
            serviceconfig.Model(
                model.name,
                model.memory_mb,
                model.store_load_s,
                model.disk_load_s,
                model.disk_load_s - 0.4,
                model.adapter_count,
                model.adapter_mb,
            )
            for model in super().create_models()
        ]


class SharedEngines(Scenario):
    """Fleet of engines that all hold the same two models, so that only load counts.

    Calls with an objective of half a second are most of its load. Beside them are long
    answers, and calls for which ten seconds are in time; ``batch_bursts`` holds (start,
    duration, factor) of bursts of the latter alone. ``flood`` is the (start, factor) of
    a team that sends many times what each of the other teams sends. Callers wait up to
    ``missing_share`` of the timeout less than the timeout.
    """

    hot_model_count = 2
    step_s = 0.0082
    prefill_tokens_per_s = 25_800.0
    engine_count = 6
    engine_mb = 200_000.0
    memory_cache_mb = 150_000.0
    disk_cache_mb = 400_000.0
    load_policy = overload.ALIAS
    warmup_s = 1.0
    initial_models = (("h0", "h1"),) * engine_count
    # Calls a second by which the engines spend about 0.7 of their time on prompts.
    rates = (33.0, 5.5, 7.0)
    team_count = 8

    def __init__(
        self,
        load_factor=1.0,
        batch_bursts=(),
        has_teams=False,
        flood=(),
        missing_share=0.0,
        **load,
    ):
        super().__init__(**{"shifts": (), **load})
        self.missing_share = missing_share
        self.batch_bursts = batch_bursts
        self.flood = flood
        self.teams = [
            serviceconfig.Team(f"t{index}", ()) for index in range(self.team_count)
        ]
        self.has_teams = has_teams
        urgent, batch, long = (factor * load_factor for factor in self.rates)
        short = (1800.0, 1.3, 6870.0)
        events = (7.5, 1.4, 30.0)
        self.kinds = [
            RequestKind(
                "urgent", urgent, 0.5, 5.0, 1.8, 0.23, 0, short, events, 568, True
            ),
            RequestKind(
                "batch", batch, 10.0, 15.0, 0.97, 0.44, 2, short, events, 568, True
            ),
            RequestKind(
                "long",
                long,
                0.6,
                15.0,
                2.7,
                0.82,
                1,
                (1110.0, 1.0, 3790.0),
                (20.0, 0.9, 60.0),
                350,
                True,
            ),
        ]

    def create_models(self):
        """Create the models; see the base class."""
        return [
            serviceconfig.Model(name, 72_700.0, 8.6, 1.7, 0.6) for name in ("h0", "h1")
        ]

    def draw_team(self, now, rng):
        """Draw the team that sends a request; see the base class."""
        if not self.has_teams:
            return None
        weights = [1.0] * self.team_count
        if self.flood and now >= self.flood[0]:
            weights[0] = self.flood[1]
        return rng.choices(self.teams, weights)[0]

    def draw_missing_s(self, kind, rng):
        """Draw from 0 to ``missing_share`` of the timeout; see the base class."""
        if not self.missing_share:
            return 0.0
        return rng.uniform(0.0, self.missing_share) * kind.deadline_s

    def _rate_factor(self, kind, now):
        factor = super()._rate_factor(kind, now)
        if kind.name == "batch":
            for at, duration_s, batch_factor in self.batch_bursts:
                if at <= now < at + duration_s:
                    factor *= batch_factor
        if self.flood and now >= self.flood[0]:
            factor *= (self.team_count - 1.0 + self.flood[1]) / self.team_count
        return factor
