"""What plans for models know of engines and demand, and what they ask for."""


class EngineView:
    """Hold what the plan needs to know of one engine."""

    __slots__ = (
        "adapters_mb",
        "calls",
        "in_memory",
        "instance_id",
        "is_idle",
        "loaded_at_by_model",
        "long_load",
        "models",
        "on_disk",
    )

    def __init__(
        self,
        instance_id,
        models,
        in_memory=(),
        on_disk=(),
        is_idle=True,
        adapters_mb=0.0,
        loaded_at_by_model=None,
        long_load="",
        calls=0,
    ):
        self.instance_id: str = instance_id
        self.models: frozenset[str] = frozenset(models)  # also one that is coming
        self.in_memory: frozenset[str] = frozenset(in_memory)
        self.on_disk: frozenset[str] = frozenset(on_disk)
        self.is_idle: bool = is_idle  # no order in progress
        self.adapters_mb: float = adapters_mb
        self.loaded_at_by_model: dict[str, float] = loaded_at_by_model or {}
        self.long_load: str = long_load  # model whose load takes a while yet
        self.calls: int = calls  # in flight

    def free_mb(self, engine) -> float:
        """Return the memory that neither models nor adapters may take."""
        known = engine.models_by_name
        taken_mb = sum(known[name].memory_mb for name in self.models if name in known)
        return engine.memory_mb - self.adapters_mb - taken_mb

    def make_room(self, engine, memory_mb: float, order) -> list[str] | None:
        """Return the first models of an order that make room; None if all do not."""
        known = engine.models_by_name
        free_mb = self.free_mb(engine)
        victims: list[str] = []
        for name in order:
            if free_mb >= memory_mb:
                break
            victims.append(name)
            if name in known:
                free_mb += known[name].memory_mb
        return victims if free_mb >= memory_mb else None

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


class Room:
    """Hold how an engine makes room for a model of some size."""

    __slots__ = ("drain_s", "late", "level", "lost", "victims")

    def __init__(self, victims, lost, level, late, drain_s):
        self.victims: list[str] = victims
        self.lost: float = lost  # calls per second that become late
        self.level: float = level  # of the engine without them
        self.late: float = late  # share of late calls at that level
        self.drain_s: float = drain_s  # until their calls have ended


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
