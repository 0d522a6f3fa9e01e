"""Simulation of applying a sheet to fake model engines.

One of them fails for good once at most a quarter of the models is missing.
"""

import random

from kumquatproxy import records
from kumquatproxy.configuration import configstate, samples, sheet
from kumquatproxy.laboratory import orderschedules, schedulefakes
from kumquatproxy.placement import (
    orderrecords,
    orderrules,
    orders,
    placementstate,
    storeshare,
)

SAMPLE = "port-louis"
BACKEND_SERVER_COUNT = 5
# Four servers of this size can hold the whole sheet, three cannot.
MEMORY_MB = 48_000
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
TIME_LIMIT_S = 900.0
# Time until membership detects that a server is gone.
DETECTION_S = 3.0
EARLIER_MODEL_COUNT = 10


class ApplicationResult:
    """Result of one application of a sheet."""

    __slots__ = (
        "missing_adapters",
        "missing_models",
        "overcommits",
        "rate_use",
        "seconds",
    )

    def __init__(
        self, missing_models, missing_adapters, overcommits, rate_use, seconds
    ):
        self.missing_models: int = missing_models
        self.missing_adapters: int = missing_adapters
        self.overcommits: int = overcommits
        # Copies of model load orders sent until the last one, as a fraction of what
        # this data centre's share of the store's rate allows.
        self.rate_use: float = rate_use
        self.seconds: float = seconds


class SheetCentre(orderschedules.Centre):
    """One data centre with five servers that have an earlier sheet loaded."""

    def __init__(self, name, world):
        super().__init__(name, world)
        self.parsed = sheet.parse(samples.generate(SAMPLE))
        self.memory_mb_by_item = self.parsed.memory_by_item()
        self.engines = [
            schedulefakes.FakeEngine(
                f"{name}-e{index}", name, MEMORY_MB, index % 2 == 0, world.rng
            )
            for index in range(BACKEND_SERVER_COUNT)
        ]
        self._load_earlier_sheet()
        self.plan(self.engines)

    def _load_earlier_sheet(self):
        """Load some models, half of them in an earlier version than the sheet lists."""
        for index, model in enumerate(self.parsed.models_by_name.values()):
            item = model.item()
            if index % 2:
                item = records.Item("model", model.name, "0")
                self.memory_mb_by_item[item] = model.memory
            if index < EARLIER_MODEL_COUNT:
                engine = self.engines[index % len(self.engines)]
                engine.loaded[item] = self.memory_mb_by_item[item]

    def plan(self, engines):
        """Assign each model with its adapters to a server, if possible where loaded."""
        free_mb = {engine.backend_id: engine.memory_mb for engine in engines}
        self.target_items_by_id = {engine.backend_id: [] for engine in self.engines}
        for model in self.parsed.models_by_name.values():
            items = [model.item()]
            for adapter in self.parsed.adapters_by_name.values():
                if adapter.model == model.name:
                    items.append(adapter.item())
            needed_mb = sum(self.memory_mb_by_item[item] for item in items)
            backend_id = self._choose(engines, items[0], free_mb, needed_mb)
            free_mb[backend_id] -= needed_mb
            self.target_items_by_id[backend_id].extend(items)

    def _choose(self, engines, model, free_mb, needed_mb):
        holders = [
            engine.backend_id
            for engine in engines
            if model in engine.loaded and free_mb[engine.backend_id] >= needed_mb
        ]
        return holders[0] if holders else max(free_mb, key=lambda name: free_mb[name])

    def desired_actions(self, order_engine):
        """Return unloads, then loads in sheet order, for each server."""
        actions = []
        for backend_id, view in order_engine.tracker.ledger.views_by_id.items():
            loaded = view.report.loaded if view.report is not None else ()
            targets = self.target_items_by_id[backend_id]
            for item in loaded:
                if item not in targets:
                    actions.append(
                        self._action(placementstate.UNLOAD, backend_id, item)
                    )
            actions.extend(
                self._action(placementstate.LOAD, backend_id, item) for item in targets
            )
        return actions

    def _action(self, action, backend_id, item):
        needs = None
        if item.kind == "adapter" and action == placementstate.LOAD:
            adapter = self.parsed.adapters_by_name[item.name]
            needs = self.parsed.models_by_name[adapter.model].item()
        return orderrecords.Action(
            action, backend_id, item, self.memory_mb_by_item[item], needs
        )

    def missing(self, kind):
        """Return the number of listed items of a kind that no engine has loaded."""
        listed = {item for items in self.target_items_by_id.values() for item in items}
        held = {item for engine in self.engines for item in engine.loaded}
        return sum(1 for item in listed - held if item.kind == kind)


class SheetSimulation(orderschedules.OrderSimulation):
    """Application of the sheet in one of three data centres that share the store."""

    def __init__(self, seed, order_engine_class=orders.OrderEngine):
        super().__init__(seed, order_engine_class)
        self.rng = random.Random(seed)
        self.settings = orderrules.Settings()
        self.copies_survive_restart = False
        self.transfer_chance = 0.001  # leadership transfers about every four minutes
        parsed = sheet.parse(samples.generate(SAMPLE))
        store = parsed.weight_store
        self.limits = storeshare.Share(
            adapters=store.adapters_in_transit,
            rate=store.loads_per_second,
            slots=store.concurrent_loads,
        )
        self.configuration = configstate.ConfigState()
        self.configuration.limits = self.limits
        for name in DATA_CENTRES:
            self.configuration.apply(configstate.SetVoters(0, name, []))
        shares = storeshare.split(self.limits, DATA_CENTRES)
        self.share = shares[DATA_CENTRES[0]]
        self.centre = SheetCentre(DATA_CENTRES[0], self)
        self.centres = [self.centre]
        self.model_loads = 0
        self.last_load_at = 0.0

    def transmit(self, host, send, now):
        """Send an order and count each copy of a model load, even if it is lost."""
        if send.order.action == placementstate.LOAD and send.order.item.kind == "model":
            self.model_loads += 1
            self.last_load_at = now
        super().transmit(host, send, now)

    def apply(self) -> ApplicationResult:
        """Run until every listed item is loaded, with one engine failure on the way."""
        now = 0.0
        failed_at = None
        listed = len(self.centre.parsed.models_by_name)
        while now < TIME_LIMIT_S:
            now += orderschedules.STEP_S
            self._step(now)
            missing = self.centre.missing("model")
            if failed_at is None and missing <= listed // 4:
                failed_at = now
                failed_engine = self.rng.choice(self.centre.engines)
                failed_engine.restart(now, TIME_LIMIT_S)
            elif failed_at is not None and now == failed_at + DETECTION_S:
                self._replan(failed_engine, now)
            elif failed_at is not None and not missing:
                if not self.centre.missing("adapter"):
                    break
        return ApplicationResult(
            self.centre.missing("model"),
            self.centre.missing("adapter"),
            len(self.violations),
            self.model_loads / (self.last_load_at * self.share.rate),
            now,
        )

    def _replan(self, failed_engine, now):
        remaining_engines = [
            engine for engine in self.centre.engines if engine is not failed_engine
        ]
        self.centre.plan(remaining_engines)
        self.centre.gone_servers.add(failed_engine.backend_id)
        for host in self.centre.hosts:
            if host.order_engine is not None:
                host.order_engine.mark_server_gone(
                    failed_engine.backend_id, host.clock(now)
                )


def apply_sheet(seed: int) -> ApplicationResult:
    """Return the result of one application with seeded losses and delays."""
    return SheetSimulation(seed).apply()
