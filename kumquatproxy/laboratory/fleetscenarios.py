"""Loads and fleets for the model of engines: who asks for what, and where it fits.

Two fleets are those of the users' sites, with the figures that their sheets state:
models that nearly all fit and load slowly, and more models than places. The third one
stands for larger fleets, at a size that is played in seconds.
"""

import math
import typing

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls
from kumquatproxy.laboratory import fleetengines

TOKENS_PER_EVENT = 3
# A request for one of several equal models prefers the first ones by this power.
RANK_POWER = 0.4


class RequestKind:
    """Describe one kind of request; tokens are drawn from long-tailed distributions."""

    __slots__ = (
        "deadline_s",
        "events",
        "is_hot",
        "late_value",
        "name",
        "prompt",
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
        prompt,
        events,
        shared_tokens,
        is_hot,
    ):
        self.name: str = name
        self.rate_per_s: float = rate_per_s
        self.deadline_s: float = deadline_s
        self.value: float = value
        self.late_value: float = late_value
        self.prompt: tuple[float, float, float] = prompt  # mean, variation, most
        self.events: tuple[float, float, float] = events
        self.shared_tokens: int = shared_tokens
        self.is_hot: bool = is_hot  # asks for the models that are in demand now
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
        """Return prompt and output tokens of one request."""
        prompt = self.shared_tokens + _draw(self.prompt, rng)
        return prompt, max(1, _draw(self.events, rng)) * TOKENS_PER_EVENT


def _draw(distribution, rng):
    mean, variation, most = distribution
    sigma = math.sqrt(math.log(1.0 + variation * variation))
    value = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return max(1, min(int(most), round(value)))


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
    """Describe a fleet, its models, and a load whose demand moves.

    ``shifts`` holds (start, seconds) pairs in which demand moves from one pair of hot
    models to the next; ``bursts`` holds (start, seconds, factor) for all requests, and
    ``crashes`` (start, seconds, index) of engines that come back without models, and
    ``replacements`` the same of engines that come back without copies as well;
    ``handovers`` holds (start, seconds) in which no host gives orders until the next
    one does.
    """

    warmup_s = 10.4  # from the first owner to the first request
    first_engine_delay_s = (
        0.1  # from the first owner to the first engine that it hears of
    )
    engine_interval_s = 0.55  # between two such engines
    duration_s = 35.0
    slots = 64
    loads_per_s = 1.1
    load_window_s = 5.0
    adapters_mb = 500.0
    step_per_slot_s = 0.000018
    top_model_share = 0.73  # of the hot requests, for the first model of the pair
    hot_model_count = 0  # models that take turns in demand, the first ones of all
    step_s = 0.0  # one step of an engine without anything to read
    prefill_tokens_per_s = 1.0  # prompt tokens that an engine reads
    engine_mb = 0.0
    memory_cache_mb = 0.0
    disk_cache_mb = 0.0
    kinds: typing.ClassVar[list[RequestKind]] = []
    token_time_factors_by_name: typing.ClassVar[dict[str, float]] = {}
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
        """Return the models; the first ``hot_count`` take turns in demand."""
        raise NotImplementedError

    def memory_mb(self, name: str) -> float:
        """Return the size of a model."""
        return self._models_by_name[name].memory_mb

    def token_time_factor(self, name: str) -> float:
        """Return the time of a model's tokens as a share of the slowest one's."""
        return self.token_time_factors_by_name.get(name, 1.0)

    def engine_config(self) -> serviceconfig.Engine:
        """Return what the operator's configuration says of the engines."""
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
        """Return the engines with the models that they hold at the start."""
        made = []
        for index, names in enumerate(self.initial_models):
            made.append(fleetengines.Engine(f"e{index}", self, names, names))
        return made

    def arrivals(self, rng):
        """Return (time, kind, model) of all requests."""
        requests = []
        for kind in self.kinds:
            now = 0.0
            while now < self.duration_s:
                factor = self._rate_factor(now)
                now += rng.expovariate(kind.rate_per_s * factor)
                requests.append((now, kind, self._draw_model(kind, now, rng)))
        return sorted(requests, key=lambda one: one[0])

    def _rate_factor(self, now):
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
        """Return a model in demand after so many shifts."""
        first = shift_count % self.hot_model_count
        if rng.random() < self.top_model_share:
            return names[first]
        return names[(first + 1) % self.hot_model_count]


class SlowLoads(Scenario):
    """Thirteen models of three sizes, loads of 4 to 8.6 s, nearly room for all."""

    hot_model_count = 5
    step_s = 0.0082
    prefill_tokens_per_s = 25_800.0
    engine_mb = 200_000.0
    memory_cache_mb = 130_000.0
    disk_cache_mb = 400_000.0
    kinds = _request_kinds(0.6, 15.0, 1.5, (16.1, 2.24, 4.42))
    token_time_factors_by_name = {"h3": 0.93, "r5": 0.34, "r6": 0.34} | {
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
        """Return the models; see the base class."""
        large = {"h0": 32, "h1": 0, "h2": 12, "h4": 12}
        made = [
            serviceconfig.Model(name, 72_700.0, 8.6, 1.7, 0.6, count, 66.0)
            for name, count in large.items()
        ]
        made.insert(3, serviceconfig.Model("h3", 65_500.0, 7.8, 1.6, 0.57, 0, 40.0))
        model_sizes = [65.5, 34.3, 34.3, 34.3, 65.1, 65.1, 65.5, 65.5]
        for index, size in enumerate(model_sizes):
            load_s = 4.0 if size < 40 else 7.7
            disk_s = 0.8 if size < 40 else 1.6
            made.append(
                serviceconfig.Model(f"r{index}", size * 1000, load_s, disk_s, 0.5)
            )
        return made


class FewPlaces(Scenario):
    """Seventeen models of about the same size and room for fifteen."""

    hot_model_count = 5
    step_s = 0.0068
    prefill_tokens_per_s = 22_100.0
    engine_mb = 230_000.0
    memory_cache_mb = 150_000.0
    disk_cache_mb = 460_000.0
    kinds = _request_kinds(0.8, 12.0, 2.0, (15.2, 2.11, 4.59))
    token_time_factors_by_name = {
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
        """Return the models; see the base class."""
        made = []
        adapters = {"h0": 32, "h2": 12, "h4": 12}
        names = [f"h{one}" for one in range(5)] + [f"r{one}" for one in range(12)]
        for name in names:
            small = name in self.token_time_factors_by_name
            made.append(
                serviceconfig.Model(
                    name,
                    65_100.0 if small else 72_700.0,
                    5.0 if small else 5.8,
                    1.0 if small else 1.2,
                    0.6,
                    adapters.get(name, 0),
                    66.0,
                )
            )
        return made


class ManyEngines(Scenario):
    """Twenty engines and 47 models; one model takes the work of several engines.

    A shift moves each place in the order of demand to another model, so that the first
    model must get many replicas within seconds.
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
    # Shares of the hot requests by place in the order of demand.
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
    # Places in the order by which a shift moves each model.
    shift_rank_step = 4
    # Engines that hold the first models of all at the start.
    initial_replica_counts = (6, 3, 2, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1)
    rare_model_count = 33
    # Memory in MB, seconds to load from the store and from a disk; models take turns.
    large = (72_700.0, 8.6, 1.7)
    medium = (65_500.0, 7.8, 1.6)
    small = (34_300.0, 4.0, 0.8)
    model_sizes = (large, large, medium, large, small, large, medium)
    hot_adapter_counts = (32, 0, 12, 0)

    def __init__(self, **load):
        super().__init__(**load)
        self.initial_models = self._initial_placement()

    def create_models(self):
        """Return the models; see the base class."""
        made = []
        for index in range(self.hot_model_count + self.rare_model_count):
            is_hot = index < self.hot_model_count
            name = f"h{index}" if is_hot else f"r{index - self.hot_model_count}"
            adapters = self.hot_adapter_counts[index % len(self.hot_adapter_counts)]
            size = self.model_sizes[index % len(self.model_sizes)]
            made.append(
                serviceconfig.Model(name, *size, 0.6, adapters if is_hot else 0, 66.0)
            )
        return made

    def _initial_placement(self):
        """Return the models of each engine: replicas of hot ones, then rare ones."""
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
                index = max(fitting, key=lambda one: (free_mb[one], -one))
                models_by_engine[index].append(model.name)
                free_mb[index] -= model.memory_mb
        return tuple(tuple(names) for names in models_by_engine)

    def _draw_hot_model(self, names, shift_count, rng):
        place = rng.choices(range(len(self.hot_model_shares)), self.hot_model_shares)[0]
        return names[
            (place + shift_count * self.shift_rank_step) % self.hot_model_count
        ]
