"""Baseline planners: static even placement and least recently used eviction."""

from kumquatproxy import records
from kumquatproxy.placement import placementeviction, placementlayout, placementplan


def finish(layout, not_fitting, store, current) -> placementplan.Plan:
    """Return the plan of a layout, scheduled within the weight store's limits."""
    open_loads = [
        intent.item.kind
        for intent in current.intents
        if intent.action == placementplan.LOAD
    ]
    placementplan.schedule(
        layout.actions,
        store,
        layout.catalogue.counterparts(),
        open_loads.count("model"),
        open_loads.count("adapter"),
    )
    return placementplan.Plan(layout.target(), layout.actions, not_fitting)


@placementplan.PLANNERS.register("static-even")
class StaticEven(placementplan.Planner):
    """Place anew, evenly and without regard to demand or the current placement.

    The target holds as many replicas of every group as memory allows, one after the
    other, each on the server with the most free memory.
    """

    def __init__(self):
        self._inputs: tuple = ()
        self._target: dict[str, frozenset[records.Item]] = {}

    def plan(self, sheet, backends, demand, current, weights):
        """Return the plan; see ``placementplan.Planner.plan``."""
        catalogue = placementlayout.Catalogue(sheet)
        inputs = (sheet.digest, list(backends))
        if inputs != self._inputs:
            ideal = placementlayout.Layout(
                catalogue, backends, placementplan.CurrentPlacement()
            )
            _fill_evenly(ideal)
            self._inputs, self._target = inputs, ideal.target()
        layout = placementlayout.Layout(catalogue, backends, current)
        transition(layout, self._target)
        return finish(layout, _missing(layout), sheet.weight_store, current)


def _fill_evenly(layout):
    waiting = [
        (group, centre)
        for group in layout.catalogue.groups
        for centre in layout.data_centres(group.service)
    ]
    while waiting:
        placed = []
        for group, centre in waiting:
            slot = _emptiest(layout, group, centre)
            if slot is None:
                continue
            for item in layout.missing_items(slot, group.items()):
                layout.load(slot, item, "static even placement")
            placed.append((group, centre))
        waiting = placed


def _emptiest(layout, group, centre):
    for slot in layout.usable_servers(group.service, centre):
        if slot.free_mb < group.memory_mb:
            return None
        if group.item not in slot.present:
            return slot
    return None


def _missing(layout):
    return [
        placementplan.NotFitting(
            group.item, centre, group.memory_mb, "static even placement has no room"
        )
        for group in layout.catalogue.groups
        for centre in layout.data_centres(group.service)
        if not layout.holders_in(group.item, centre)
    ]


def transition(layout, target) -> None:
    """Append the actions towards a target, as far as they can be ordered.

    A load waits for memory and an unload for another live replica; what waits for
    ever is left to a later plan.
    """
    slots = [slot for slot in layout.servers_by_id.values() if slot.is_usable]
    progress = True
    while progress:
        progress = False
        for slot in slots:
            wanted = target.get(slot.backend_id, frozenset())
            progress |= _drop_unwanted(layout, slot, wanted)
            progress |= _load_wanted(layout, slot, wanted)


def _load_wanted(layout, slot, wanted):
    lacking = layout.missing_items(slot, sorted(wanted, key=_models_first))
    loaded = False
    for item in lacking:
        bases = layout.catalogue.versions_by_adapter.get(item, ())
        if bases and not any(base in slot.present for base in bases):
            continue
        fits = layout.catalogue.memory_by_item[item] <= slot.free_mb
        if fits and layout.has_no_open_unload(slot, [item]):
            layout.load(slot, item, "part of the static placement")
            loaded = True
    return loaded


def _models_first(item):
    return (item.kind == "adapter", item.key())


def _drop_unwanted(layout, slot, wanted):
    groups = layout.catalogue.groups_by_item
    dropped = False
    for item in sorted(slot.live - wanted, key=records.Item.key):
        if item not in slot.live:
            continue
        if item not in layout.catalogue.memory_by_item:
            layout.unload(slot, item, "the sheet does not list it")
            dropped = True
        elif item in groups and placementeviction.is_redundant(
            layout, slot, item, placementeviction.SAME_CENTRE
        ):
            placementeviction.evict(
                layout, slot, item, "not part of the static placement"
            )
            dropped = True
    return dropped


@placementplan.PLANNERS.register("lru")
class LeastRecentlyUsed(placementplan.Planner):
    """Load on demand and evict what was used least recently.

    A group is loaded in a data centre when demand for it appears there. Any other
    group may be evicted for it, also the last replica of a listed model.
    """

    def __init__(self):
        self._used_at: dict[tuple[str, records.Item], float] = {}

    def touch(self, data_centre: str, item: records.Item, now: float) -> None:
        """Note the use of a model version in a data centre."""
        self._used_at[data_centre, item] = now

    def plan(self, sheet, backends, demand, current, weights):
        """Return the plan; ``demand`` names what is wanted at present."""
        catalogue = placementlayout.Catalogue(sheet)
        layout = placementlayout.Layout(catalogue, backends, current)
        not_fitting = []
        for centre in sorted(demand):
            wanted = [
                group
                for group in catalogue.groups
                if demand[centre].get(group.item, 0.0) > 0.0
            ]
            for group in wanted:
                if layout.holders_in(group.item, centre):
                    continue
                if not self._load(layout, group, centre):
                    reason = f"{group.item.key()} needs {group.memory_mb} MB"
                    not_fitting.append(
                        placementplan.NotFitting(
                            group.item, centre, group.memory_mb, reason
                        )
                    )
        return finish(layout, not_fitting, sheet.weight_store, current)

    def _load(self, layout, group, centre):
        slots = [
            slot
            for slot in layout.usable_servers(group.service, centre)
            if slot.memory_mb >= group.memory_mb
        ]
        if not slots:
            return False
        slot = slots[0]
        if slot.free_mb < group.memory_mb:
            slot = min(slots, key=lambda slot: self._oldest_use(layout, slot))
        for base in sorted(
            placementeviction.unloadable_versions(layout, slot),
            key=lambda base: self._used(slot, base),
        ):
            if slot.free_mb >= group.memory_mb:
                break
            placementeviction.evict(layout, slot, base, "used least recently")
        need_mb = layout.required_mb(slot, group.items())
        if slot.free_mb < need_mb or not layout.has_no_open_unload(slot, group.items()):
            return False
        for item in layout.missing_items(slot, group.items()):
            layout.load(slot, item, "load on demand")
        return True

    def _used(self, slot, base):
        return (self._used_at.get((slot.data_centre, base), -1.0), base.key())

    def _oldest_use(self, layout, slot):
        bases = placementeviction.unloadable_versions(layout, slot)
        oldest = min((self._used(slot, base) for base in bases), default=(0.0, ""))
        return (*oldest, slot.backend_id)
