"""Baseline of loading on demand, LRU eviction and least connections routing."""

MAX_LOADS_PER_S = 1.0
LOAD_DURATION_S = 1.0


class LoadOnDemand:
    """Baseline that routes and loads with perfect knowledge of all engines.

    It has advantages that a real one lacks: it knows the current load of every engine
    without delay, and a model whose engines are all full gets another replica in the
    background while the weight store is idle.
    """

    __slots__ = ("_engines", "_keeps_last_replica", "_store_free_at", "load_count")

    def __init__(self, engines, keeps_last_replica=False):
        self._engines = engines
        # Whether the last replica of a model is never evicted.
        self._keeps_last_replica: bool = keeps_last_replica
        self._store_free_at: float = 0.0
        self.load_count: int = 0

    def choose(self, item, now):
        """Return an engine for a model and the time from which the model is loaded."""
        alive = [engine for engine in self._engines if engine.alive]
        if not alive:
            return None, now
        holders = [engine for engine in alive if item in engine.items]
        if not holders:
            engine = min(alive, key=_connections)
            return engine, self._load(engine, item, now)
        ready = [engine for engine in holders if engine.loading.get(item, 0.0) <= now]
        best = min(ready or holders, key=_connections)
        if _connections(best) >= best.speed.slots and self._store_free_at <= now:
            others = [engine for engine in alive if item not in engine.items]
            idle_engine = min(others, key=_connections, default=None)
            if (
                idle_engine is not None
                and _connections(idle_engine) < idle_engine.speed.slots / 2
            ):
                if self._evictable_items(idle_engine):
                    self._load(idle_engine, item, now)
        best.used_at[item] = now
        return best, max(now, best.loading.get(item, 0.0))

    def _evictable_items(self, engine):
        if not self._keeps_last_replica:
            return list(engine.items)
        return [
            item
            for item in engine.items
            if sum(item in other.items for other in self._engines if other.alive) > 1
        ]

    def _load(self, engine, item, now):
        if len(engine.items) >= engine.speed.max_items:
            least_recent = min(
                self._evictable_items(engine),
                key=lambda item: engine.used_at.get(item, 0.0),
            )
            engine.items.discard(least_recent)
            engine.loading.pop(least_recent, None)
        start = max(now, self._store_free_at)
        self._store_free_at = start + 1.0 / MAX_LOADS_PER_S
        engine.items.add(item)
        engine.loading[item] = start + LOAD_DURATION_S
        engine.used_at[item] = now
        self.load_count += 1
        return engine.loading[item]


def _connections(engine):
    return engine.running + engine.waiting
