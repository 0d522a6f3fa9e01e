"""Copies of models at engines before there is any demand.

Load pattern: demand moves to models that one engine holds or none, and their loads from
the store take as long as demand stays. Loads from a copy at hand take a second or two.
"""

import collections

from kumquatproxy.fleet import engineviews

# Copies are made until so long after a new deployment has its first owner: traffic
# follows about ten seconds later.
PREPARE_S = 9.0
# An engine that is seen within this time makes one copy, also if that takes longer.
PREPARE_FIRST_S = 3.0
# The choice waits until no further engine has been seen for this time, in which each
# one announces itself once, but not for longer than the second time.
SETTLE_S = 1.3
MAX_SETTLE_S = 2.3


class Preparation:
    """Make copies of models, then give each engine back what it held.

    Models with adapters come first, which serve many kinds of calls, then those that
    no engine holds. When traffic begins, nothing is missing.
    """

    __slots__ = (
        "_ends_at",
        "_first_until",
        "_grown_at",
        "_home_by_id",
        "_settled_by",
        "_visited",
    )

    def __init__(self, now: float):
        self._home_by_id: dict[str, frozenset[str]] = {}
        self._visited: set[str] = set()  # models that a copy was made of
        self._grown_at: float = now  # when the last engine was seen first
        self._settled_by: float = now + MAX_SETTLE_S
        self._ends_at: float = now + PREPARE_S
        self._first_until: float = now + PREPARE_FIRST_S

    def swaps(
        self, service, views: list[engineviews.EngineView], store_allows, now: float
    ):
        """Return the swaps to begin now."""
        swaps: list[engineviews.Swap] = []
        if any(view.instance_id not in self._home_by_id for view in views):
            self._grown_at = now
        is_settled = now >= min(self._settled_by, self._grown_at + SETTLE_S)
        may_visit = is_settled and now < self._ends_at
        wanted = self._wanted(service.engine, views) if may_visit else []
        for view in views:
            home = self._home_by_id.setdefault(view.instance_id, view.models)
            if not view.is_idle:
                continue
            swap = None
            if may_visit and store_allows():
                swap = self._visit(service.engine, view, wanted, now)
            if swap is None:
                swap = _restoring(service.engine, view, home)
            if swap is not None:
                swaps.append(swap)
        return swaps

    def _visit(self, engine, view, wanted, now):
        for model in wanted:
            if model.name in self._visited:
                continue
            if model.name in view.models or not view.needs_store(model.name):
                continue
            is_first = now < self._first_until
            if not is_first and now + model.store_load_s > self._ends_at:
                continue
            victims = _spare_models(engine, view, model)
            if victims is None:
                continue
            self._visited.add(model.name)
            takes_s = model.store_load_s
            return engineviews.Swap(
                view.instance_id, model.name, victims, takes_s, True
            )
        return None

    def _wanted(self, engine, views):
        """Return the models that a copy should be made of, the first ones first."""
        held = collections.Counter(name for view in views for name in view.models)
        models = [
            model
            for model in engine.models_by_name.values()
            if model.name not in self._visited
        ]
        nowhere = [model for model in models if not held[model.name]]
        nowhere.sort(key=lambda model: model.store_load_s)
        likely = [
            model for model in models if model.adapter_count and held[model.name] == 1
        ]
        return sorted(likely, key=lambda model: -model.adapter_count) + nowhere


def _restoring(engine, view, home):
    """Return the swap that brings back a model that an engine held, or None."""
    missing = sorted(name for name in home - view.models if not view.needs_store(name))
    if not missing:
        return None
    model = engine.models_by_name.get(missing[0])
    if model is None:
        return None
    guests = sorted(view.models - home)
    takes_s = view.load_s(model)
    return engineviews.Swap(view.instance_id, model.name, guests, takes_s, False)


def _spare_models(engine, view, model):
    """Return models to give up for a while, those without adapters first."""
    names = [name for name in view.models if name in engine.models_by_name]
    spare = sorted(
        names, key=lambda name: (engine.models_by_name[name].adapter_count, name)
    )
    return view.make_room(engine, model.memory_mb, spare)
