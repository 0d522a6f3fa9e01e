"""Evaluation of planners on demand traces with a static capacity model.

Each backend server serves tokens at a fixed rate. The demand of a data centre for an
item is split over its replicas there, or over those in other data centres if it has
none, so that they are equally utilised. Demand beyond the capacity of a server goes to
replicas with spare capacity; the rest is not served. Loads take effect at the end of
their scheduled load time.
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
WATER_FILL_PASSES = 3
PLAN_INTERVAL_S = 60.0
MEMORY_PER_ACCELERATOR_MB = 40_000
ACCELERATORS = 4
# Memory of a server at which a data centre with one server holds about two thirds of
# the models.
ORGANISATION_MEMORY_MB = 100_000
LOADS_PER_BUDGET_INTERVAL = 20
BUDGET_INTERVAL_S = 60.0


class Deployment(records.Record):
    """Hold a sheet and the backend servers on which its models are placed."""

    __slots__ = ("backends", "sheet")

    def __init__(self, parsed_sheet, backends):
        self.sheet: sheet.Sheet = parsed_sheet
        self.backends: list[records.BackendServer] = backends

    def data_centres(self) -> list[str]:
        """Return the data centres of the backend servers."""
        return sorted({backend.data_centre for backend in self.backends})

    def without_servers(self, is_removed) -> "Deployment":
        """Return a copy without the servers for which ``is_removed`` returns true."""
        return Deployment(
            self.sheet, [server for server in self.backends if not is_removed(server)]
        )


def make_backends(service, count, centres, memory_mb=None):
    """Return ``count`` engine servers, assigned to the data centres in turn."""
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


def make_design_sheet(models, extra_sheet_text=""):
    """Return a sheet with a number of models in the proportions of the design size."""
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
    return sheet.parse("\n".join(parts) + extra_sheet_text)


def make_organisation_deployment(name, memory_mb=ORGANISATION_MEMORY_MB) -> Deployment:
    """Return the deployment of a sample organisation on five servers."""
    size = samples.SIZES_BY_NAME[name]
    parsed_sheet = sheet.parse(samples.generate(name))
    return Deployment(parsed_sheet, make_backends(size.service, 5, 3, memory_mb))


def make_scaled_deployment(models=170, servers=60, memory_mb=None) -> Deployment:
    """Return a deployment in five data centres, by default a tenth of the design size.

    The sheet has the proportions of the design size.
    """
    backends = make_backends("engines", servers, 5, memory_mb)
    return Deployment(make_design_sheet(models), backends)


DEPLOYMENT_FACTORIES = {
    "port-louis": lambda: make_organisation_deployment("port-louis"),
    "cordillera": lambda: make_organisation_deployment("cordillera"),
    "tenth": make_scaled_deployment,
}


class Trace:
    """Give the true rate of each model version over time, equal in each data centre.

    Popularity follows Zipf's law. The demand for a share ``surge_share`` of the models
    surges: each surge starts at a random time in 10-60 % of the run, rises tenfold over
    ``surge_s`` and ends after another hour. Without surges the demand is the share
    ``utilisation`` of the total capacity.
    """

    __slots__ = (
        "_base_rates",
        "_rng",
        "_surge_s",
        "_surge_start_by_item",
        "deployment",
    )

    def __init__(
        self,
        deployment,
        seed,
        utilisation=0.4,
        surge_share=0.1,
        surge_s=3600.0,
        run_hours=3,
    ):
        self.deployment: Deployment = deployment
        self._rng = random.Random(seed)
        self._surge_s: float = surge_s
        models = list(deployment.sheet.models_by_name.values())
        self._rng.shuffle(models)
        capacity = RATE_PER_ACCELERATOR * sum(
            max(backend.accelerators, 1) for backend in deployment.backends
        )
        weights = [1.0 / (rank + 1) for rank in range(len(models))]
        scale = utilisation * capacity / sum(weights) / len(deployment.data_centres())
        self._base_rates: dict[records.Item, float] = {
            model.item(): weight * scale
            for model, weight in zip(models, weights, strict=True)
        }
        self._surge_start_by_item: dict[records.Item, float] = {}
        # The most popular fifth of the models does not surge: ten times the demand for
        # the most popular model exceeds the total capacity.
        less_popular_models = models[max(len(models) // 5, 1) :]
        for model in self._rng.sample(
            less_popular_models, max(round(surge_share * len(models)), 1)
        ):
            start_s = self._rng.uniform(0.1, 0.6) * run_hours * 3600.0
            self._surge_start_by_item[model.item()] = (
                start_s if surge_share else float("inf")  # infinite: no surge
            )

    def rates(self, now) -> dict[records.Item, float]:
        """Return the true rate by model version, equal in each data centre."""
        rates = dict(self._base_rates)
        for item, start_s in self._surge_start_by_item.items():
            rates[item] *= self._surge_factor(now - start_s)
        return rates

    def _surge_factor(self, since_s):
        if since_s <= 0.0:
            return 1.0
        if since_s < self._surge_s:
            return 10.0 ** (since_s / self._surge_s)
        if since_s < self._surge_s + 3600.0:
            return 10.0
        return 1.0

    def feed_predictors(self, predictors, rates, now) -> None:
        """Draw random arrivals of one planning interval for each predictor to count."""
        for predictor in predictors:
            for item, rate in rates.items():
                mean_arrivals = rate * PLAN_INTERVAL_S / TOKENS_PER_REQUEST
                arrivals = round(self._rng.gauss(mean_arrivals, mean_arrivals**0.5))
                if arrivals > 0:
                    tokens = arrivals * TOKENS_PER_REQUEST
                    predictor.count(item, tokens, now, arrivals, PLAN_INTERVAL_S)


def served_rate(deployment, loaded, rates_by_centre) -> float:
    """Return the rate that the loaded items can serve, in tokens per second."""
    servers_by_id: dict[str, placementlayout.PlannedServer] = {}
    # Servers in the data centre that hold the item, or else those in other centres.
    serving_servers_by_centre_item: dict[tuple[str, records.Item], list] = {}
    servers_by_item: dict[records.Item, list] = {}
    for backend in deployment.backends:
        capacity = max(backend.accelerators, 1) * RATE_PER_ACCELERATOR
        server = placementlayout.PlannedServer(backend, capacity)
        servers_by_id[backend.backend_id] = server
        for item in loaded.get(backend.backend_id, ()):
            serving_servers_by_centre_item.setdefault(
                (backend.data_centre, item), []
            ).append(server)
            servers_by_item.setdefault(item, []).append(server)
    for centre, rates in rates_by_centre.items():
        for item in rates:
            if item in servers_by_item:
                serving_servers_by_centre_item.setdefault(
                    (centre, item), servers_by_item[item]
                )
    demands = [
        (
            len(serving_servers_by_centre_item[centre, item]),
            -rate,
            centre,
            item.key(),
            item,
        )
        for centre, rates in rates_by_centre.items()
        for item, rate in rates.items()
        if (centre, item) in serving_servers_by_centre_item
    ]
    split_by_centre_item: dict[tuple, dict[str, float]] = {}
    for _ in range(WATER_FILL_PASSES):
        for _, negated_rate, centre, _, item in sorted(
            demands, key=lambda row: row[:4]
        ):
            for backend_id, rate_part in split_by_centre_item.get(
                (centre, item), {}
            ).items():
                servers_by_id[backend_id].assigned_rate -= rate_part
            split = placementscaling.water_fill(
                serving_servers_by_centre_item[centre, item], -negated_rate
            )
            for backend_id, rate_part in split.items():
                servers_by_id[backend_id].assigned_rate += rate_part
            split_by_centre_item[centre, item] = split
    total = sum(
        min(server.assigned_rate, server.capacity) for server in servers_by_id.values()
    )
    return total + _redirected_rate(
        servers_by_id, servers_by_item, split_by_centre_item
    )


def _redirected_rate(servers_by_id, servers_by_item, split_by_centre_item):
    """Return the excess rate of overloaded servers that other replicas serve."""
    unserved_fraction_by_id = {
        backend_id: max(1.0 - server.capacity / server.assigned_rate, 0.0)
        for backend_id, server in servers_by_id.items()
        if server.assigned_rate > 0.0
    }
    total = 0.0
    for (_, item), split in split_by_centre_item.items():
        excess = sum(
            rate_part * unserved_fraction_by_id.get(backend_id, 0.0)
            for backend_id, rate_part in split.items()
        )
        for server in servers_by_item[item]:
            accepted_rate = min(
                max(server.capacity - server.assigned_rate, 0.0), excess
            )
            server.assigned_rate += accepted_rate
            excess -= accepted_rate
            total += accepted_rate
    return total


def clairvoyant_rate(deployment, rates_by_centre) -> float:
    """Return the clairvoyant upper bound on the served rate.

    Even a planner that knows all demand in advance and loads every model everywhere
    without delay serves at most the capacity of all backend servers.
    """
    total = sum(sum(rates.values()) for rates in rates_by_centre.values())
    capacity = sum(max(backend.accelerators, 1) for backend in deployment.backends)
    return min(total, capacity * RATE_PER_ACCELERATOR)


class Outcome(records.Record):
    """Hold the totals of one planner run."""

    __slots__ = ("bound", "load_count", "loads_by_hour", "offered", "served")

    def __init__(self):
        self.offered = 0.0
        self.served = 0.0
        self.bound = 0.0
        self.load_count = 0
        self.loads_by_hour: dict[int, int] = {}

    def attainment(self) -> float:
        """Return the share of the demand that was served."""
        return self.served / self.offered

    def attainment_of_bound(self) -> float:
        """Return the served rate as a share of the clairvoyant bound."""
        return self.served / self.bound


class PlannerRun:
    """Run one planner over a trace, as the placement owner of all data centres."""

    def __init__(self, trace, alias, weights=None, planner=None):
        self.trace: Trace = trace
        self.deployment: Deployment = trace.deployment
        self.planner = planner or planners.PLANNERS.get(alias)()
        self.weights = weights or placementplan.weights_of(self.deployment.sheet)
        self.outcome = Outcome()
        self.loaded: dict[str, dict[records.Item, int]] = {}
        self._predictors = {
            centre: demand.Predictor() for centre in self.deployment.data_centres()
        }
        self._budget = placementplan.DemandLoadBudget(
            LOADS_PER_BUDGET_INTERVAL, BUDGET_INTERVAL_S, 0.0
        )
        self._pending: list[tuple[float, placementplan.Action]] = []

    def run(self, hours) -> Outcome:
        """Return the outcome; the initial placement is complete at time 0."""
        self._place_initially()
        steps = int(hours * 3600.0 / PLAN_INTERVAL_S)
        for step in range(1, steps + 1):
            self._run_step(step * PLAN_INTERVAL_S)
        return self.outcome

    def _place_initially(self):
        rates = self.trace.rates(0.0)
        predictors = list(self._predictors.values())
        for step in range(WARM_UP_STEPS, 0, -1):
            self.trace.feed_predictors(predictors, rates, -step * PLAN_INTERVAL_S)
        for _ in range(3):
            self._plan(0.0, 10_000)
            self._apply_finished_actions(float("inf"))

    def _run_step(self, now):
        rates = self.trace.rates(now)
        self.trace.feed_predictors(list(self._predictors.values()), rates, now)
        self._apply_finished_actions(now)
        rates_by_centre = dict.fromkeys(self.deployment.data_centres(), rates)
        self.outcome.offered += sum(
            map(
                lambda rates_of_centre: sum(rates_of_centre.values()),
                rates_by_centre.values(),
            )
        )
        self.outcome.served += served_rate(
            self.deployment, self.loaded, rates_by_centre
        )
        self.outcome.bound += clairvoyant_rate(self.deployment, rates_by_centre)
        budget = self._budget.available(now)
        plan = self._plan(now, budget)
        self._budget.spend(min(plan.moves(), budget))
        self.outcome.load_count += plan.moves()
        hour = int(now // 3600.0)
        loads_by_hour = self.outcome.loads_by_hour
        loads_by_hour[hour] = loads_by_hour.get(hour, 0) + plan.moves()

    def _plan(self, now, budget):
        rates_by_centre = {
            centre: predictor.rates(now)
            for centre, predictor in self._predictors.items()
        }
        current = placementplan.CurrentPlacement(
            {backend: dict(items) for backend, items in self.loaded.items()},
            [
                placementplan.Intent(
                    action.action, action.backend_id, action.item, action.memory_mb
                )
                for _, action in self._pending
            ],
            move_budget=budget,
        )
        plan = self.planner.plan(
            self.deployment.sheet,
            self.deployment.backends,
            rates_by_centre,
            current,
            self.weights,
        )
        store = self.deployment.sheet.weight_store
        for action in plan.actions:
            load_s = store.model_seconds
            if action.item.kind == "adapter":
                load_s = store.adapter_seconds
            if action.action == placementplan.UNLOAD:
                load_s = 0.0
            self._pending.append((now + action.start_s + load_s, action))
        return plan

    def _apply_finished_actions(self, now):
        unfinished = []
        for finish_at, action in sorted(self._pending, key=lambda pair: pair[0]):
            if finish_at > now:
                unfinished.append((finish_at, action))
                continue
            items = self.loaded.setdefault(action.backend_id, {})
            if action.action == placementplan.LOAD:
                items[action.item] = action.memory_mb
            else:
                items.pop(action.item, None)
        self._pending = unfinished


def settle_placement(deployment, alias="balanced", rates=None, max_rounds=5):
    """Return the loaded items after planning and executing until nothing changes.

    It stops after ``max_rounds`` rounds even if the placement still changes.
    """
    planner = planners.PLANNERS.get(alias)()
    weights = placementplan.weights_of(deployment.sheet)
    loaded: dict[str, dict[records.Item, int]] = {}
    rates_by_centre = dict.fromkeys(deployment.data_centres(), rates or {})
    for _ in range(max_rounds):
        current = placementplan.CurrentPlacement(loaded)
        plan = planner.plan(
            deployment.sheet, deployment.backends, rates_by_centre, current, weights
        )
        loaded = apply_actions(loaded, plan.actions)
        if not plan.actions:
            break
    return loaded


def apply_actions(loaded, actions):
    """Return the loaded items after all actions are executed."""
    loaded_after = {backend: dict(items) for backend, items in loaded.items()}
    for action in actions:
        items = loaded_after.setdefault(action.backend_id, {})
        if action.action == placementplan.LOAD:
            items[action.item] = action.memory_mb
        else:
            items.pop(action.item, None)
    return loaded_after
