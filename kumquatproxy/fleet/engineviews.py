"""Inputs and outputs of model placement plans: engines, demand, evictions, swaps."""


class EngineView:
    """Describe one engine as the plan sees it."""

    __slots__ = (
        "adapters_mb",
        "data_centre",
        "in_flight",
        "in_memory",
        "instance_id",
        "is_usable",
        "loaded_at_by_model",
        "long_load_model",
        "models",
        "on_disk",
    )

    def __init__(
        self,
        instance_id,
        models,
        in_memory=(),
        on_disk=(),
        is_usable=True,
        adapters_mb=0.0,
        loaded_at_by_model=None,
        long_load_model="",
        in_flight=0,
        data_centre="",
    ):
        self.instance_id: str = instance_id
        self.models: frozenset[str] = frozenset(models)  # resident or being loaded
        self.in_memory: frozenset[str] = frozenset(in_memory)
        self.on_disk: frozenset[str] = frozenset(on_disk)
        self.is_usable: bool = is_usable  # may get an order now
        self.adapters_mb: float = adapters_mb
        self.loaded_at_by_model: dict[str, float] = loaded_at_by_model or {}
        # Model being loaded, if the rest takes longer than longloads.LONG_LOAD_S.
        self.long_load_model: str = long_load_model
        self.in_flight: int = in_flight  # calls at the engine
        self.data_centre: str = data_centre

    def unlisted_models(self, engine) -> list[str]:
        """Return the models here that the configuration does not list any more."""
        return sorted(self.models - engine.models_by_name.keys())

    def free_mb(self, engine) -> float:
        """Return the memory left beside listed models and reserved adapter slots.

        The memory that models take is unknown once they are not listed any more.
        """
        models_by_name = engine.models_by_name
        used_mb = sum(
            models_by_name[name].memory_mb
            for name in self.models
            if name in models_by_name
        )
        return engine.memory_mb - self.adapters_mb - used_mb

    def select_victims(self, engine, memory_mb: float, candidates) -> list[str] | None:
        """Return models that together free enough memory, or None.

        These are all that the configuration does not list any more, then the first of
        the candidates.
        """
        models_by_name = engine.models_by_name
        free_mb = self.free_mb(engine)
        victims = self.unlisted_models(engine)
        for name in candidates:
            if free_mb >= memory_mb:
                break
            if name in models_by_name:
                victims.append(name)
                free_mb += models_by_name[name].memory_mb
        return victims if free_mb >= memory_mb else None

    def load_s(self, model) -> float:
        """Return how long this engine takes to load a model."""
        if model.name in self.in_memory:
            return model.memory_load_s
        if model.name in self.on_disk:
            return model.disk_load_s
        return model.store_load_s

    def needs_store(self, name: str) -> bool:
        """Return whether loading a model here fetches it from the weight store."""
        return name not in self.in_memory and name not in self.on_disk


class Swap:
    """Describe a swap: models to unload at an engine, then one to load."""

    __slots__ = ("instance_id", "load", "load_s", "needs_store", "unload")

    def __init__(self, instance_id, load, unload, load_s, needs_store):
        self.instance_id: str = instance_id
        self.load: str = load  # model to load
        self.unload: list[str] = list(unload)  # models to evict
        self.load_s: float = load_s  # time of the load alone, without unloads
        self.needs_store: bool = needs_store

    def __repr__(self):
        return f"load {self.load} at {self.instance_id}, unload {self.unload}"


class Eviction:
    """Describe the eviction that frees memory for a model at an engine."""

    __slots__ = ("added_late_rate", "drain_s", "late_share", "utilisation", "victims")

    def __init__(self, victims, added_late_rate, utilisation, late_share, drain_s):
        self.victims: list[str] = victims
        # Calls per second that are late because of the eviction.
        self.added_late_rate: float = added_late_rate
        self.utilisation: float = utilisation  # of the engine without the victims
        self.late_share: float = late_share  # share of late calls at that utilisation
        self.drain_s: float = drain_s  # until the calls of the victims have ended


class DemandView:
    """Describe the demand for one model as the plan sees it."""

    __slots__ = (
        "engine_s_per_call",
        "is_lasting",
        "left_s",
        "offered_load",
        "rate",
        "unavailable_s",
        "waiting",
    )

    def __init__(
        self,
        rate,
        offered_load,
        waiting,
        unavailable_s,
        is_lasting,
        left_s=0.0,
    ):
        self.rate: float = rate  # calls per second
        self.offered_load: float = offered_load  # engine seconds per second
        self.waiting: int = waiting  # calls
        # Time since a plan first found the model requested and held by no engine.
        self.unavailable_s: float = unavailable_s
        self.is_lasting: bool = is_lasting  # demand has persisted for a while
        # Longest time left to a waiting call until its objective, 0 if unknown.
        self.left_s: float = left_s
        self.engine_s_per_call: float = offered_load / rate if rate > 0 else 0.0
