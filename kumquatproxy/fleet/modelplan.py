"""Which model to load where next, and what to give up for it.

Load pattern: there are more models than places; a few take most of the load, others
are asked for once in a while, and which ones these are moves within seconds. Models
that take much of the load get several replicas, and the others take turns in the
places that are left.
"""

# Engine seconds per second that one replica is meant to take.
REPLICA_WORK = 0.25
# Average calls per second above which a model is kept resident if there is room.
# Seconds that a call waits beyond the load itself until a missing model is there.
SWAP_OVERHEAD_S = 0.4
# A replica that was loaded this recently is not given up: it has not paid its load.
MIN_STAY_S = 2.0
# Weight of a waiting call against an average call per second.
WAITING_RATE = 1.0
# An extra replica must be worth so much more than what is given up for it.
EXTRA_MARGIN = 1.5


class EngineView:
    """Hold what the plan needs to know of one engine."""

    __slots__ = (
        "adapters_mb",
        "data_centre",
        "in_memory",
        "instance_id",
        "is_idle",
        "loaded_at_by_model",
        "models",
        "on_disk",
        "running",
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
        running=0,
        adapters_mb=0.0,
        loaded_at_by_model=None,
    ):
        self.instance_id: str = instance_id
        self.service: str = service
        self.data_centre: str = data_centre
        self.models: frozenset[str] = frozenset(models)  # also one that is coming
        self.in_memory: frozenset[str] = frozenset(in_memory)
        self.on_disk: frozenset[str] = frozenset(on_disk)
        self.is_idle: bool = is_idle  # no order in progress
        self.running: int = running  # calls in flight
        self.adapters_mb: float = adapters_mb
        self.loaded_at_by_model: dict[str, float] = loaded_at_by_model or {}

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


class Planner:
    """Decide on swaps for the engines of one service."""

    def __init__(self, service, views: list[EngineView], demand, now: float):
        self._service = service
        self._engine = service.engine
        self._views = views
        self._demand = demand
        self._now = now
        self._replicas: dict[str, int] = {}
        for view in views:
            for name in view.models:
                self._replicas[name] = self._replicas.get(name, 0) + 1

    def swaps(self, store_allows) -> list[Swap]:
        """Return the swaps to begin now; ``store_allows()`` limits store loads."""
        swaps: list[Swap] = []
        used: set[str] = set()
        for name in self._wanted():
            swap = self._best_swap(self._engine.models_by_name[name], used)
            if swap is None:
                continue
            if swap.needs_store and not store_allows():
                continue
            swaps.append(swap)
            used.add(swap.instance_id)
            for lost in swap.unload:
                self._replicas[lost] -= 1
            self._replicas[name] = self._replicas.get(name, 0) + 1
        return swaps

    def rate(self, name: str) -> float:
        """Return the calls per second for a model, counting those that wait."""
        demand = self._demand.get(self._service.name, name, self._now)
        waiting = self._demand.waiting(self._service.name, name, self._now)
        return max(demand.rate, demand.long_rate) + WAITING_RATE * waiting

    def wanted_replicas(self, name: str) -> int:
        """Return how many engines should hold a model at its present work."""
        work = self._demand.get(self._service.name, name, self._now).work
        return max(1, min(len(self._views), round(work / REPLICA_WORK + 0.35)))

    def _wanted(self):
        """Return the models that lack replicas, the most urgent one first."""
        lacking = []
        for name in self._engine.models_by_name:
            rate = self.rate(name)
            have = self._replicas.get(name, 0)
            if rate <= 0.0:
                continue
            if have == 0:
                lacking.append((0, -rate, name))
            elif have < self.wanted_replicas(name):
                work = self._demand.get(self._service.name, name, self._now).work
                lacking.append((1, -work / have, name))
        return [name for _, _, name in sorted(lacking)]

    def _best_swap(self, model, used):
        best = None
        for view in self._views:
            busy = not view.is_idle or view.instance_id in used
            if busy or model.name in view.models:
                continue
            found = self._swap_at(view, model)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best[1] if best is not None else None

    def _swap_at(self, view, model):
        """Return the cost and the swap that makes room at one engine, or None."""
        victims, lost_value = self._victims(view, model)
        if victims is None:
            return None
        gain = self._gain(model)
        if lost_value * EXTRA_MARGIN >= gain:
            return None
        takes_s = view.load_s(model)
        swap = Swap(
            view.instance_id,
            model.name,
            victims,
            takes_s,
            view.needs_store(model.name),
        )
        cost = lost_value + self.rate(model.name) * takes_s + view.running * 0.01
        return cost, swap

    def _gain(self, model):
        have = self._replicas.get(model.name, 0)
        if have == 0:
            return self.rate(model.name) * (model.store_load_s + SWAP_OVERHEAD_S)
        return self._extra_value(model.name, have + 1)

    def _victims(self, view, model):
        """Return the cheapest models to give up for room, and their value."""
        models_by_name = self._engine.models_by_name
        free = self._engine.memory_mb - view.adapters_mb
        free -= sum(
            models_by_name[name].memory_mb
            for name in view.models
            if name in models_by_name
        )
        victims: list[str] = []
        value = 0.0
        ranked = sorted(view.models, key=lambda name: self._keep_value(view, name))
        while free < model.memory_mb:
            if not ranked:
                return None, 0.0
            name = ranked.pop(0)
            victims.append(name)
            value += self._keep_value(view, name)
            free += models_by_name[name].memory_mb if name in models_by_name else 0.0
        return victims, value

    def _keep_value(self, view, name):
        """Return the waiting that giving up a replica would cause, per second."""
        if name not in self._engine.models_by_name:
            return 0.0
        if self._now - view.loaded_at_by_model.get(name, -1e9) < MIN_STAY_S:
            return 1e9
        have = self._replicas.get(name, 0)
        if have > 1:
            return self._extra_value(name, have)
        model = self._engine.models_by_name[name]
        # The model can be loaded here again from a copy on this engine.
        reload_s = min(model.disk_load_s, view.load_s(model))
        return self.rate(name) * (reload_s + SWAP_OVERHEAD_S)

    def _extra_value(self, name, have):
        """Return what the last of several replicas is worth."""
        wanted = self.wanted_replicas(name)
        work = self._demand.get(self._service.name, name, self._now).work
        if have > wanted:
            return 0.05 * work / have
        return work / have
