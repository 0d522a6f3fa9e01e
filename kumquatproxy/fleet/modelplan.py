"""Which model to load where next, and what to give up for it.

Load pattern: there are more models than places; a few take most of the load, others
are asked for once in a while, and which ones these are moves within seconds. A swap is
worth the calls that it brings in time, less those that it makes late, over the next
seconds. Models that take much of the load get several replicas, and the others take
turns in the places that are left.

The weights are the best of those tried on the fleet model (docs/decisions-fleet.md).
"""

import bisect

from kumquatproxy.fleet import longloads

# Time over which a swap must pay, in seconds: demand moves on after a while.
HORIZON_S = 5.0
# Calls that a load must bring in time, so that it pays the store and the order.
STORE_LOAD_CALLS = 0.4
COPY_LOAD_CALLS = 0.05
# A replica that was loaded this recently is not given up: it has not paid its load.
MIN_STAY_S = 2.0
# Calls per second that a waiting call counts as.
WAITING_RATE = 0.5
# Share of calls that are late at an engine that is busy this share of the time. An
# engine interleaves reading prompts with making tokens, so all get slow together.
LATE_SHARES = (
    (0.0, 0.0),
    (0.4, 0.02),
    (0.6, 0.12),
    (0.8, 0.4),
    (1.0, 0.7),
    (1.5, 0.85),
    (2.0, 0.9),
    (3.0, 0.94),
    (5.0, 0.97),
    (10.0, 1.0),
)
# A model whose engines are less busy than this needs no further replica.
CALM_LEVEL = 0.5
# Share of the calls for a model that are late if it must be loaded for them first.
RELOAD_LATE_BASE = 0.1
RELOAD_LATE_PER_S = 0.2
# Share of a model's calls that a further replica is worth even where all are calm.
REPLICA_SHARE = 0.01
# Calls per second that the long average may stand for: it remembers rare models, not
# that a model was busy until a moment ago.
RARE_RATE_MEMORY = 0.4
# Models looked at in one plan, the most urgent ones first.
MAX_CANDIDATES = 12

# A plan is made this often, or so rarely that plans take at most this share of a core:
# demand moves within seconds, and the owner must answer heartbeats in between.
PLAN_INTERVAL_S = 0.1
PLAN_SHARE = 0.05


def pause_s(took_s: float) -> float:
    """Return the time from one plan to the next, by how long the last one took."""
    return max(PLAN_INTERVAL_S, took_s / PLAN_SHARE)


def late_share(level: float) -> float:
    """Return the share of late calls at an engine that is busy for ``level``."""
    place = bisect.bisect_right(LATE_SHARES, (level, 2.0))
    if place >= len(LATE_SHARES):
        return LATE_SHARES[-1][1]
    (low, low_share), (high, high_share) = LATE_SHARES[place - 1 : place + 1]
    return low_share + (high_share - low_share) * (level - low) / (high - low)


def fill_level(levels: list[float], work: float) -> float:
    """Return the level up to which work fills the least busy of some engines."""
    ordered = sorted(levels)
    total = 0.0
    for count, level in enumerate(ordered, start=1):
        total += level
        filled = (work + total) / count
        if count == len(ordered) or filled <= ordered[count]:
            return filled
    return 0.0


class EngineView:
    """Hold what the plan needs to know of one engine."""

    __slots__ = (
        "adapters_mb",
        "data_centre",
        "in_memory",
        "instance_id",
        "is_idle",
        "loaded_at_by_model",
        "long_load",
        "models",
        "on_disk",
        "service",
    )

    def __init__(
        self,
        instance_id,
        service,
        data_centre,
        models,
        in_memory=(),
        on_disk=(),
        is_idle=True,
        adapters_mb=0.0,
        loaded_at_by_model=None,
        long_load="",
    ):
        self.instance_id: str = instance_id
        self.service: str = service
        self.data_centre: str = data_centre
        self.models: frozenset[str] = frozenset(models)  # also one that is coming
        self.in_memory: frozenset[str] = frozenset(in_memory)
        self.on_disk: frozenset[str] = frozenset(on_disk)
        self.is_idle: bool = is_idle  # no order in progress
        self.adapters_mb: float = adapters_mb
        self.loaded_at_by_model: dict[str, float] = loaded_at_by_model or {}
        self.long_load: str = long_load  # model whose load takes a while yet

    def free_mb(self, engine) -> float:
        """Return the memory that neither models nor adapters may take."""
        known = engine.models_by_name
        taken_mb = sum(known[name].memory_mb for name in self.models if name in known)
        return engine.memory_mb - self.adapters_mb - taken_mb

    def load_s(self, model) -> float:
        """Return how long a load of a model takes here."""
        if model.name in self.in_memory:
            return model.memory_load_s
        if model.name in self.on_disk:
            return model.disk_load_s
        return model.store_load_s

    def needs_store(self, name: str) -> bool:
        """Return whether a load of a model fetches it from the weight store."""
        return name not in self.in_memory and name not in self.on_disk


class Swap:
    """Ask for models to be unloaded at an engine and one to be loaded."""

    __slots__ = ("instance_id", "load", "needs_store", "takes_s", "unload")

    def __init__(self, instance_id, load, unload, takes_s, needs_store):
        self.instance_id: str = instance_id
        self.load: str = load
        self.unload: list[str] = list(unload)
        self.takes_s: float = takes_s
        self.needs_store: bool = needs_store

    def __repr__(self):
        return f"load {self.load} at {self.instance_id}, unload {self.unload}"


class Load:
    """Hold the demand for one model as the plan sees it."""

    __slots__ = ("call_work", "lasts", "missing_s", "rate", "waiting", "work")

    def __init__(self, rate, work, waiting, missing_s, lasts):
        self.rate: float = rate  # calls per second
        self.work: float = work  # engine seconds per second
        self.waiting: int = waiting
        self.missing_s: float = missing_s  # asked for and held nowhere for so long
        self.lasts: bool = lasts  # the demand was alike for a while
        self.call_work: float = work / rate if rate > 0 else 0.0


class Planner:
    """Decide on swaps for the engines of one service."""

    def __init__(self, service, views: list[EngineView], demand, now: float):
        self._engine = service.engine
        self._views = views
        self._now = now
        self._holders: dict[str, list[EngineView]] = {}
        for view in views:
            for name in sorted(view.models):
                self._holders.setdefault(name, []).append(view)
        self._loads: dict[str, Load] = {}
        ramp = demand.ramp(now)
        waiting_by_model = demand.waiting(service.name, now)
        for name in self._engine.models_by_name:
            known = demand.get(service.name, name, now)
            rate = max(known.rate * ramp, min(known.long_rate, RARE_RATE_MEMORY))
            is_held = name in self._holders
            missing_s = demand.missing_s(service.name, name, is_held, now)
            lasts = known.long_rate >= longloads.LASTING_SHARE * rate
            work = known.work * ramp
            self._loads[name] = Load(
                rate, work, waiting_by_model[name], missing_s, lasts
            )
        self._room_by_id: dict[str, tuple[float, list[tuple[float, str]]]] = {}
        self._levels: dict[str, float] = {}
        self._level_by_model: dict[str, float] = {}
        self._spread_work()

    def _spread_work(self):
        """Spread the work of each model over its engines, as routing does."""
        self._levels = {view.instance_id: 0.0 for view in self._views}
        order = sorted(self._holders, key=lambda name: len(self._holders[name]))
        for name in order:
            load = self._loads.get(name)
            ids = [view.instance_id for view in self._holders[name]]
            if load is None or not ids:
                continue
            level = fill_level([self._levels[one] for one in ids], load.work)
            for one in ids:
                self._levels[one] = max(self._levels[one], level)
        for name, holders in self._holders.items():
            levels = [self._levels[view.instance_id] for view in holders]
            self._level_by_model[name] = min(levels, default=0.0)

    def overview(self) -> dict:
        """Return replicas, level, work, rate and waiting calls by model."""
        rows = {}
        for name, load in self._loads.items():
            have = len(self._holders.get(name, ()))
            if have or load.rate > 0.0:
                level = self._level_by_model.get(name, 0.0)
                numbers = (level, load.work, load.rate)
                rows[name] = [have, *(round(one, 2) for one in numbers), load.waiting]
        return rows

    def swaps(self, store_allows) -> list[Swap]:
        """Return the swaps to begin now; ``store_allows()`` limits store loads."""
        swaps: list[Swap] = []
        used: set[str] = set()
        long_loads = [view.long_load for view in self._views if view.long_load]
        for name in self._wanted():
            swap = self._best_swap(self._engine.models_by_name[name], used)
            if swap is None or (swap.needs_store and not store_allows()):
                continue
            if swap.takes_s > longloads.LONG_LOAD_S:
                if not self._may_load_long(name, long_loads):
                    continue
                long_loads.append(name)
            swaps.append(swap)
            used.add(swap.instance_id)
        return swaps

    def _may_load_long(self, name, long_loads):
        rare = longloads.is_rare(self._loads[name])
        alike = [
            one for one in long_loads if longloads.is_rare(self._loads.get(one)) == rare
        ]
        case = longloads.Case(
            self._loads[name],
            bool(self._holders.get(name)),
            any(not view.needs_store(name) for view in self._views),
            self._level_by_model.get(name, 0.0),
            sum(self._levels.values()) / len(self._views),
            len(alike),
            len(self._views),
        )
        return longloads.may_begin(case)

    def _wanted(self):
        """Return the models that lack replicas, the most urgent one first."""
        lacking = []
        for name, load in self._loads.items():
            if load.rate <= 0.0 and not load.waiting:
                continue
            if not self._holders.get(name):
                lacking.append((-self._missing_gain(load), name))
            elif self._level_by_model[name] > CALM_LEVEL:
                late = load.rate * late_share(self._level_by_model[name])
                lacking.append((-late, name))
        return [name for _, name in sorted(lacking)[:MAX_CANDIDATES]]

    def _missing_gain(self, load):
        return load.rate + WAITING_RATE * load.waiting

    def _best_swap(self, model, used):
        best = None
        for view in self._views:
            busy = not view.is_idle or view.instance_id in used
            if busy or model.name in view.models:
                continue
            found = self._swap_at(view, model)
            if found is not None and (best is None or found[0] > best[0]):
                best = found
        return best[1] if best is not None else None

    def _swap_at(self, view, model):
        """Return the value and the swap that makes room at one engine, or None."""
        found = self._victims(view, model)
        if found is None:
            return None
        victims, lost = found
        takes_s = view.load_s(model)
        gain = self._gain(view, model, victims)
        needs_store = view.needs_store(model.name)
        price = STORE_LOAD_CALLS if needs_store else COPY_LOAD_CALLS
        # A load that takes longer pays for a shorter time.
        value = gain * HORIZON_S / (1.0 + takes_s / HORIZON_S)
        value -= lost * HORIZON_S + price
        if value <= 0.0:
            return None
        swap = Swap(view.instance_id, model.name, victims, takes_s, needs_store)
        return value, swap

    def _gain(self, view, model, victims):
        """Return the calls per second that a replica here brings in time."""
        load = self._loads[model.name]
        level_here = self._levels[view.instance_id]
        level_here -= sum(self._work_at(name) for name in victims)
        level_here = max(0.0, level_here)
        holders = self._holders.get(model.name, ())
        if not holders:
            return self._missing_gain(load) * (1.0 - late_share(level_here))
        levels = [self._levels[one.instance_id] for one in holders]
        level = self._level_by_model[model.name]
        # The work moves until the engines are as busy as each other.
        after = (sum(levels) + level_here) / (len(levels) + 1)
        if after >= level:
            return 0.0
        relieved = load.rate * (late_share(level) - late_share(after))
        calls_here = level_here / load.call_work if load.call_work else 0.0
        harmed = calls_here * (late_share(after) - late_share(level_here))
        return max(0.0, relieved - max(0.0, harmed))

    def _work_at(self, name):
        """Return the work that one replica of a model takes."""
        load = self._loads.get(name)
        holders = self._holders.get(name)
        return load.work / len(holders) if load and holders else 0.0

    def _victims(self, view, model):
        """Return the cheapest models to give up and what that loses, or None."""
        free_mb, ranked = self._room_at(view)
        victims: list[str] = []
        lost = 0.0
        for loss, name in ranked:
            if free_mb >= model.memory_mb:
                break
            if self._stays(view, name):
                return None
            victims.append(name)
            lost += loss
            free_mb += self._memory_mb(name)
        return (victims, lost) if free_mb >= model.memory_mb else None

    def _room_at(self, view):
        """Return free memory and the (loss, name) pairs of an engine's models.

        They are worked out once a plan, as each candidate asks each engine for them.
        """
        room = self._room_by_id.get(view.instance_id)
        if room is None:
            ranked = sorted((self._loss(view, name), name) for name in view.models)
            room = (view.free_mb(self._engine), ranked)
            self._room_by_id[view.instance_id] = room
        return room

    def _memory_mb(self, name):
        model = self._engine.models_by_name.get(name)
        return model.memory_mb if model is not None else 0.0

    def _stays(self, view, name):
        return self._now - view.loaded_at_by_model.get(name, -1e9) < MIN_STAY_S

    def _loss(self, view, name):
        """Return the calls per second that giving up a replica makes late."""
        load = self._loads.get(name)
        if load is None:
            return 0.0
        if self._stays(view, name):
            return 1e9
        holders = self._holders[name]
        if len(holders) > 1:
            level = self._level_by_model[name]
            after = level + self._work_at(name) / (len(holders) - 1)
            late = late_share(after) - late_share(level)
            return load.rate * (late + REPLICA_SHARE)
        model = self._engine.models_by_name[name]
        # The model can be loaded again from a copy, here or where it is now.
        reload_s = min(model.disk_load_s, view.load_s(model))
        late = min(1.0, RELOAD_LATE_BASE + RELOAD_LATE_PER_S * reload_s)
        return (load.rate + WAITING_RATE * load.waiting) * late
