"""Evaluation of planners on traces of demand with a static capacity model.

A backend server serves a fixed rate. The demand of a data centre for an item is split
over the replicas there, or over those elsewhere if it has none, so that they are
equally used. What exceeds the capacity of a server goes to replicas that have capacity
left, and otherwise counts as missed. Loads take effect at their scheduled time.
"""

import random

from kumquatproxy import records
from kumquatproxy.configuration import samples, sheet
from kumquatproxy.placement import (
    demand,
    placementlayout,
    placementplan,
    placementscaling,
    planners,
)

RATE_PER_ACCELERATOR = planners.RATE_PER_ACCELERATOR
TOKENS_PER_REQUEST = 250.0
WARM_UP_STEPS = 60
FILL_PASSES = 3
PLAN_INTERVAL_S = 60.0
MEMORY_PER_ACCELERATOR_MB = 40_000
ACCELERATORS = 4
# The data centre with one server holds about two thirds of the models.
ORGANISATION_MEMORY_MB = 100_000
BUDGET_PER_INTERVAL = 20
BUDGET_INTERVAL_S = 60.0


class World(records.Record):
    """Hold a sheet and its backend servers."""

    __slots__ = ("backends", "sheet")

    def __init__(self, parsed, backends):
        self.sheet: sheet.Sheet = parsed
        self.backends: list[records.BackendServer] = backends

    def centres(self) -> list[str]:
        """Return the data centres of the backend servers."""
        return sorted({server.data_centre for server in self.backends})

    def without(self, gone) -> "World":
        """Return the world without the servers for which ``gone`` holds."""
        return World(self.sheet, [s for s in self.backends if not gone(s)])


def make_backends(service, count, centres, memory_mb=None):
    """Return ``count`` engine backend servers, dealt out to the data centres."""
    memory_mb = memory_mb or MEMORY_PER_ACCELERATOR_MB * ACCELERATORS
    return [
        records.BackendServer(
            f"{service}-{index:03d}",
            f"10.{index // 250}.{index % 250}.1:8000",
            f"dc{index % centres + 1}",
            "engine",
            service,
            1,
            memory_mb,
            ACCELERATORS,
            True,
        )
        for index in range(count)
    ]


def design_sheet(models, extra=""):
    """Return a sheet of the design size scaled down to ``models`` models."""
    size = samples.SIZES_BY_NAME["design-size"]
    share = models / size.models
    parts = [
        f"[organisation {size.organisation}]",
        f"[weight-store]\nconcurrent_loads = {max(round(60 * share), 6)}",
        f"adapters_in_transit = {max(round(480 * share), 48)}",
        f"loads_per_second = {max(10 * share, 1.0)}",
        f"[service {size.service}]\norganisation = {size.organisation}",
    ]
    for index in range(models):
        parts.append(f"[model model-{index:04d}]\nservice = {size.service}")
        parts.append(f"versions = 1\nmemory = {samples.MODEL_MEMORY_MB}MB")
        parts.append(f"priority = {9 - index % 9}")
    for index in range(round(size.adapters * share)):
        parts.append(f"[adapter adapter-{index:04d}]")
        parts.append(f"model = model-{index % models:04d}")
        parts.append(f"memory = {samples.ADAPTER_MEMORY_MB}MB")
    return sheet.parse("\n".join(parts) + extra)


def organisation_world(name, memory_mb=ORGANISATION_MEMORY_MB) -> World:
    """Return the world of ``port-louis`` or ``cordillera`` with five servers."""
    size = samples.SIZES_BY_NAME[name]
    parsed = sheet.parse(samples.generate(name))
    return World(parsed, make_backends(size.service, 5, 3, memory_mb))


def tenth_world(models=170, servers=60, memory_mb=None) -> World:
    """Return a tenth of the design size over five data centres."""
    backends = make_backends("engines", servers, 5, memory_mb)
    return World(design_sheet(models), backends)


WORLDS = {
    "port-louis": lambda: organisation_world("port-louis"),
    "cordillera": lambda: organisation_world("cordillera"),
    "tenth": tenth_world,
}


class Trace:
    """Give the true rate of each model version by data centre and time.

    Popularity follows Zipf's law. ``surges`` of the models rise tenfold within
    ``surge_s`` and stay for an hour. The mean load is ``load`` of all capacity.
    """

    __slots__ = ("_base", "_rng", "_surge_s", "_surges", "world")

    def __init__(self, world, seed, load=0.4, surges=0.1, surge_s=3600.0, hours=3):
        self.world: World = world
        self._rng = random.Random(seed)
        self._surge_s: float = surge_s
        models = list(world.sheet.models_by_name.values())
        self._rng.shuffle(models)
        capacity = RATE_PER_ACCELERATOR * sum(
            max(server.accelerators, 1) for server in world.backends
        )
        weights = [1.0 / (rank + 1) for rank in range(len(models))]
        scale = load * capacity / sum(weights) / len(world.centres())
        self._base: dict[records.Item, float] = {
            model.item(): weight * scale
            for model, weight in zip(models, weights, strict=True)
        }
        self._surges: dict[records.Item, float] = {}
        # The most popular model of all could not be served tenfold by all servers.
        tail = models[max(len(models) // 5, 1) :]
        for model in self._rng.sample(tail, max(round(surges * len(models)), 1)):
            start_s = self._rng.uniform(0.1, 0.6) * hours * 3600.0
            self._surges[model.item()] = start_s if surges else float("inf")

    def rates(self, now) -> dict[records.Item, float]:
        """Return the true rate of each model version in every data centre."""
        rates = dict(self._base)
        for item, start_s in self._surges.items():
            rates[item] *= self._factor(now - start_s)
        return rates

    def _factor(self, since_s):
        if since_s <= 0.0:
            return 1.0
        if since_s < self._surge_s:
            return 10.0 ** (since_s / self._surge_s)
        if since_s < self._surge_s + 3600.0:
            return 10.0
        return 1.0

    def observe(self, predictors, rates, now) -> None:
        """Count random arrivals of the last interval, adapters included."""
        for predictor in predictors:
            for item, rate in rates.items():
                mean = rate * PLAN_INTERVAL_S / TOKENS_PER_REQUEST
                arrivals = round(self._rng.gauss(mean, mean**0.5))
                if arrivals > 0:
                    amount = arrivals * TOKENS_PER_REQUEST
                    predictor.count(item, amount, now, arrivals, PLAN_INTERVAL_S)


def served(world, loaded, rates_by_centre) -> float:
    """Return the rate that is served in time with the loaded items."""
    slots: dict[str, placementlayout.PlannedServer] = {}
    holders: dict[tuple[str, records.Item], list] = {}
    anywhere: dict[records.Item, list] = {}
    for server in world.backends:
        capacity = max(server.accelerators, 1) * RATE_PER_ACCELERATOR
        slot = placementlayout.PlannedServer(server, capacity)
        slots[server.backend_id] = slot
        for item in loaded.get(server.backend_id, ()):
            holders.setdefault((server.data_centre, item), []).append(slot)
            anywhere.setdefault(item, []).append(slot)
    for centre, rates in rates_by_centre.items():
        for item in rates:
            if item in anywhere:
                holders.setdefault((centre, item), anywhere[item])
    demands = [
        (len(holders[centre, item]), -rate, centre, item.key(), item)
        for centre, rates in rates_by_centre.items()
        for item, rate in rates.items()
        if (centre, item) in holders
    ]
    shares: dict[tuple, dict[str, float]] = {}
    for _ in range(FILL_PASSES):
        for _, rate, centre, _, item in sorted(demands, key=lambda row: row[:4]):
            for backend_id, share in shares.get((centre, item), {}).items():
                slots[backend_id].assigned_rate -= share
            split = placementscaling.water_fill(holders[centre, item], -rate)
            for backend_id, share in split.items():
                slots[backend_id].assigned_rate += share
            shares[centre, item] = split
    total = sum(min(slot.assigned_rate, slot.capacity) for slot in slots.values())
    return total + _served_elsewhere(slots, anywhere, shares)


def _served_elsewhere(slots, anywhere, shares):
    """Return the rate that overloaded servers pass on to other replicas."""
    missed = {
        backend_id: max(1.0 - slot.capacity / slot.assigned_rate, 0.0)
        for backend_id, slot in slots.items()
        if slot.assigned_rate > 0.0
    }
    total = 0.0
    for (_, item), split in shares.items():
        excess = sum(
            share * missed.get(backend_id, 0.0) for backend_id, share in split.items()
        )
        for slot in anywhere[item]:
            taken = min(max(slot.capacity - slot.assigned_rate, 0.0), excess)
            slot.assigned_rate += taken
            excess -= taken
            total += taken
    return total


def bound(world, rates_by_centre) -> float:
    """Return the clairvoyant bound of the served rate.

    Whoever knows all demand in advance and could load every model everywhere without
    delay still serves at most the capacity of all backend servers.
    """
    total = sum(sum(rates.values()) for rates in rates_by_centre.values())
    capacity = sum(max(server.accelerators, 1) for server in world.backends)
    return min(total, capacity * RATE_PER_ACCELERATOR)


class Outcome(records.Record):
    """Hold the sums of one run."""

    __slots__ = ("bound", "moves", "moves_by_hour", "offered", "served")

    def __init__(self):
        self.offered = 0.0
        self.served = 0.0
        self.bound = 0.0
        self.moves = 0
        self.moves_by_hour: dict[int, int] = {}

    def attainment(self) -> float:
        """Return the share of the demand that was served in time."""
        return self.served / self.offered

    def attainment_of_bound(self) -> float:
        """Return the attainment as a share of the clairvoyant bound."""
        return self.served / self.bound


class Run:
    """Drive one planner over a trace, one placement owner for all data centres."""

    def __init__(self, trace, alias, weights=None, planner=None):
        self.trace: Trace = trace
        self.world: World = trace.world
        self.planner = planner or planners.PLANNERS.get(alias)()
        self.weights = weights or placementplan.weights_of(self.world.sheet)
        self.outcome = Outcome()
        self.loaded: dict[str, dict[records.Item, int]] = {}
        self._predictors = {c: demand.Predictor() for c in self.world.centres()}
        self._budget = placementplan.DemandLoadBudget(
            BUDGET_PER_INTERVAL, BUDGET_INTERVAL_S, 0.0
        )
        self._pending: list[tuple[float, placementplan.Action]] = []

    def run(self, hours) -> Outcome:
        """Return the outcome; the first plan is complete before time 0."""
        self._start()
        steps = int(hours * 3600.0 / PLAN_INTERVAL_S)
        for step in range(1, steps + 1):
            self._step(step * PLAN_INTERVAL_S)
        return self.outcome

    def _start(self):
        rates = self.trace.rates(0.0)
        predictors = list(self._predictors.values())
        for step in range(WARM_UP_STEPS, 0, -1):
            self.trace.observe(predictors, rates, -step * PLAN_INTERVAL_S)
        for _ in range(3):
            self._plan(0.0, 10_000)
            self._finish(float("inf"))

    def _step(self, now):
        rates = self.trace.rates(now)
        self.trace.observe(list(self._predictors.values()), rates, now)
        self._finish(now)
        by_centre = dict.fromkeys(self.world.centres(), rates)
        self.outcome.offered += sum(map(lambda r: sum(r.values()), by_centre.values()))
        self.outcome.served += served(self.world, self.loaded, by_centre)
        self.outcome.bound += bound(self.world, by_centre)
        budget = self._budget.available(now)
        plan = self._plan(now, budget)
        self._budget.spend(min(plan.moves(), budget))
        self.outcome.moves += plan.moves()
        hour = int(now // 3600.0)
        by_hour = self.outcome.moves_by_hour
        by_hour[hour] = by_hour.get(hour, 0) + plan.moves()

    def _plan(self, now, budget):
        rates = {c: p.rates(now) for c, p in self._predictors.items()}
        current = placementplan.CurrentPlacement(
            {backend: dict(items) for backend, items in self.loaded.items()},
            [
                placementplan.Intent(a.action, a.backend_id, a.item, a.memory_mb)
                for _, a in self._pending
            ],
            move_budget=budget,
        )
        plan = self.planner.plan(
            self.world.sheet, self.world.backends, rates, current, self.weights
        )
        store = self.world.sheet.weight_store
        for action in plan.actions:
            load_s = store.model_seconds
            if action.item.kind == "adapter":
                load_s = store.adapter_seconds
            if action.action == placementplan.UNLOAD:
                load_s = 0.0
            self._pending.append((now + action.start_s + load_s, action))
        return plan

    def _finish(self, now):
        waiting = []
        for done_at, action in sorted(self._pending, key=lambda pair: pair[0]):
            if done_at > now:
                waiting.append((done_at, action))
                continue
            items = self.loaded.setdefault(action.backend_id, {})
            if action.action == placementplan.LOAD:
                items[action.item] = action.memory_mb
            else:
                items.pop(action.item, None)
        self._pending = waiting


def settled(world, alias="balanced", rates=None, rounds=5):
    """Return the loaded items after plans have been carried out to their end."""
    planner = planners.PLANNERS.get(alias)()
    weights = placementplan.weights_of(world.sheet)
    loaded: dict[str, dict[records.Item, int]] = {}
    by_centre = dict.fromkeys(world.centres(), rates or {})
    for _ in range(rounds):
        current = placementplan.CurrentPlacement(loaded)
        plan = planner.plan(world.sheet, world.backends, by_centre, current, weights)
        loaded = carried_out(loaded, plan.actions)
        if not plan.actions:
            break
    return loaded


def carried_out(loaded, actions):
    """Return the loaded items after all actions."""
    after = {backend: dict(items) for backend, items in loaded.items()}
    for action in actions:
        items = after.setdefault(action.backend_id, {})
        if action.action == placementplan.LOAD:
            items[action.item] = action.memory_mb
        else:
            items.pop(action.item, None)
    return after
