"""Prefetching of models into the caches of engines before there is any demand.

Traffic pattern: demand shifts to models that at most one engine holds. A load from the
weight store takes about as long as the demand lasts, while a load from the cache in an
engine's memory or on its disk takes a second or two.
"""

import collections

from kumquatproxy.fleet import engineviews

# Prefetch loads are to end within this time after the first owner of orders of a new
# deployment is elected, as traffic starts about ten seconds after that election.
PREFETCH_S = 9.0
# Any load that starts within this time may end after PREFETCH_S.
ANY_PREFETCH_S = 3.0
# Prefetching starts once no new engine has been seen for SETTLE_S, in which every
# engine sends a heartbeat, and after MAX_SETTLE_S at the latest.
SETTLE_S = 1.3
MAX_SETTLE_S = 2.3


class Prefetcher:
    """Load models to fill caches, then restore the initial models of each engine.

    Models that have adapters and are held by a single engine come first, as each
    adapter serves other calls, then models that no engine holds. Engines load their
    initial models again from their caches, normally before traffic starts.
    """

    __slots__ = (
        "_any_load_until",
        "_initial_models_by_id",
        "_last_discovery_at",
        "_prefetch_until",
        "_prefetched",
        "_settle_deadline",
    )

    def __init__(self, now: float):
        self._initial_models_by_id: dict[str, frozenset[str]] = {}
        self._prefetched: set[str] = set()  # names of models
        self._last_discovery_at: float = now  # of a new engine
        self._settle_deadline: float = now + MAX_SETTLE_S
        self._prefetch_until: float = now + PREFETCH_S
        self._any_load_until: float = now + ANY_PREFETCH_S

    def swaps(
        self, service, views: list[engineviews.EngineView], store_allows, now: float
    ):
        """Return the swaps to start now."""
        swaps: list[engineviews.Swap] = []
        if any(view.instance_id not in self._initial_models_by_id for view in views):
            self._last_discovery_at = now
        is_settled = now >= min(
            self._settle_deadline, self._last_discovery_at + SETTLE_S
        )
        may_prefetch = is_settled and now < self._prefetch_until
        candidates = self._candidates(service.engine, views) if may_prefetch else []
        for view in views:
            initial_models = self._initial_models_by_id.setdefault(
                view.instance_id, view.models
            )
            if not view.is_usable:
                continue
            swap = None
            if may_prefetch and store_allows():
                swap = self._prefetch_swap(service.engine, view, candidates, now)
            if swap is None:
                swap = _restore_swap(service.engine, view, initial_models)
            if swap is not None:
                swaps.append(swap)
        return swaps

    def _prefetch_swap(self, engine, view, candidates, now):
        for model in candidates:
            if model.name in self._prefetched:
                continue
            if model.name in view.models or not view.needs_store(model.name):
                continue
            may_end_late = now < self._any_load_until
            if not may_end_late and now + model.store_load_s > self._prefetch_until:
                continue
            victims = _select_victims(engine, view, model)
            if victims is None:
                continue
            self._prefetched.add(model.name)
            load_s = model.store_load_s
            return engineviews.Swap(view.instance_id, model.name, victims, load_s, True)
        return None

    def _candidates(self, engine, views):
        """Return the models to prefetch, in the order of their priority."""
        holder_counts = collections.Counter(
            name for view in views for name in view.models
        )
        models = [
            model
            for model in engine.models_by_name.values()
            if model.name not in self._prefetched
        ]
        models_at_no_engine = [
            model for model in models if not holder_counts[model.name]
        ]
        models_at_no_engine.sort(key=lambda model: model.store_load_s)
        models_at_one_engine = [
            model
            for model in models
            if model.adapter_count and holder_counts[model.name] == 1
        ]
        return (
            sorted(models_at_one_engine, key=lambda model: -model.adapter_count)
            + models_at_no_engine
        )


def _restore_swap(engine, view, initial_models):
    """Return the swap that restores an initial model of an engine, or None."""
    missing = sorted(
        name for name in initial_models - view.models if not view.needs_store(name)
    )
    if not missing:
        return None
    model = engine.models_by_name.get(missing[0])
    if model is None:
        return None
    temporary_models = sorted(view.models - initial_models)
    load_s = view.load_s(model)
    return engineviews.Swap(
        view.instance_id, model.name, temporary_models, load_s, False
    )


def _select_victims(engine, view, model):
    """Return models to evict for a while, those with the fewest adapters first."""
    names = [name for name in view.models if name in engine.models_by_name]
    ranked = sorted(
        names, key=lambda name: (engine.models_by_name[name].adapter_count, name)
    )
    return view.select_victims(engine, model.memory_mb, ranked)
