"""Baseline planners: static even placement and least recently used eviction.

A group is a model version with the adapters of its model.
"""

from kumquatproxy import records
from kumquatproxy.placement import placementeviction, placementlayout, placementplan


def schedule_plan(layout, not_fitting, store, current) -> placementplan.Plan:
    """Set start times within the weight store's limits; return the layout's plan."""
    # Kinds of the items whose load is ordered but not finished.
    open_load_kinds = [
        intent.item.kind
        for intent in current.intents
        if intent.action == placementplan.LOAD
    ]
    placementplan.schedule(
        layout.actions,
        store,
        layout.catalogue.counterparts(),
        open_load_kinds.count("model"),
        open_load_kinds.count("adapter"),
    )
    return placementplan.Plan(layout.target(), layout.actions, not_fitting)


@placementplan.PLANNERS.register("static-even")
class StaticEven(placementplan.Planner):
    """Planner that spreads replicas evenly, whatever the demand or current placement.

    The target assumes empty servers and is recomputed only when the sheet or the
    backend servers change. In each round each group gets one more replica in each data
    centre, on the server with the most free memory that does not hold the group yet. A
    group that does not fit in a data centre is left out of the later rounds there.
    """

    def __init__(self):
        self._inputs: tuple = ()
        self._target: dict[str, frozenset[records.Item]] = {}

    def plan(self, sheet, backends, demand, current, weights):
        """Return the plan; see ``placementplan.Planner.plan``."""
        catalogue = placementlayout.Catalogue(sheet)
        inputs = (sheet.digest, list(backends))
        if inputs != self._inputs:
            even_layout = placementlayout.Layout(
                catalogue, backends, placementplan.CurrentPlacement()
            )
            _fill_evenly(even_layout)
            self._inputs, self._target = inputs, even_layout.target()
        layout = placementlayout.Layout(catalogue, backends, current)
        add_transition_actions(layout, self._target)
        return schedule_plan(
            layout, _unplaced_groups(layout), sheet.weight_store, current
        )


def _fill_evenly(layout):
    groups_to_place = [
        (group, centre)
        for group in layout.catalogue.groups
        for centre in layout.data_centres(group.service)
    ]
    while groups_to_place:
        placed_groups = []
        for group, centre in groups_to_place:
            server = _choose_server(layout, group, centre)
            if server is None:
                continue
            for item in layout.missing_items(server, group.items()):
                layout.load(server, item, "static even placement")
            placed_groups.append((group, centre))
        groups_to_place = placed_groups


def _choose_server(layout, group, centre):
    for server in layout.usable_servers(group.service, centre):
        if server.free_mb < group.memory_mb:
            return None  # sorted by free memory, most first: no later server has room
        if group.item not in server.present:
            return server
    return None


def _unplaced_groups(layout):
    return [
        placementplan.NotFitting(
            group.item,
            centre,
            group.memory_mb,
            "no replica after this plan: no room, or the load waits for a later plan",
        )
        for group in layout.catalogue.groups
        for centre in layout.data_centres(group.service)
        if not layout.holders_in(group.item, centre)
    ]


def add_transition_actions(layout, target) -> None:
    """Append the actions that lead to a target, in an order that can be executed.

    A load needs free memory, and an unload of a listed item needs another live replica
    in its data centre. Repeats until no further action is possible; the rest is left to
    a later plan.
    """
    servers = [server for server in layout.servers_by_id.values() if server.is_usable]
    has_progressed = True
    while has_progressed:
        has_progressed = False
        for server in servers:
            target_items = target.get(server.backend_id, frozenset())
            has_progressed |= _unload_unwanted(layout, server, target_items)
            has_progressed |= _load_missing(layout, server, target_items)


def _load_missing(layout, server, target_items):
    missing_items = layout.missing_items(
        server, sorted(target_items, key=_model_before_adapter_key)
    )
    has_loaded = False
    for item in missing_items:
        versions = layout.catalogue.versions_by_adapter.get(item, ())
        if versions and not any(version in server.present for version in versions):
            continue
        fits = layout.catalogue.memory_by_item[item] <= server.free_mb
        if fits and layout.has_no_open_unload(server, [item]):
            layout.load(server, item, "part of the static placement")
            has_loaded = True
    return has_loaded


def _model_before_adapter_key(item):
    return (item.kind == "adapter", item.key())


def _unload_unwanted(layout, server, target_items):
    groups_by_item = layout.catalogue.groups_by_item
    has_unloaded = False
    for item in sorted(server.live - target_items, key=records.Item.key):
        if item not in server.live:  # an adapter already unloaded with its model
            continue
        if item not in layout.catalogue.memory_by_item:
            layout.unload(server, item, "the sheet does not list it")
            has_unloaded = True
        elif item in groups_by_item and placementeviction.is_redundant(
            layout, server, item, placementeviction.SAME_CENTRE
        ):
            placementeviction.evict(
                layout, server, item, "not part of the static placement"
            )
            has_unloaded = True
    return has_unloaded


@placementplan.PLANNERS.register("lru")
class LeastRecentlyUsed(placementplan.Planner):
    """Planner that loads on demand and evicts the least recently used groups.

    A group is loaded in a data centre when demand for it appears there. Any other
    group may be evicted to make room, even the last replica of a listed model. The
    caller reports each use with ``record_use``; without it groups are evicted in the
    order of their keys.
    """

    def __init__(self):
        self._last_used_at: dict[tuple[str, records.Item], float] = {}

    def record_use(self, data_centre: str, item: records.Item, now: float) -> None:
        """Record when a model version was last used in a data centre."""
        self._last_used_at[data_centre, item] = now

    def plan(self, sheet, backends, demand, current, weights):
        """Return the plan that loads each group in data centres with demand for it."""
        catalogue = placementlayout.Catalogue(sheet)
        layout = placementlayout.Layout(catalogue, backends, current)
        not_fitting = []
        for centre in sorted(demand):
            wanted_groups = [
                group
                for group in catalogue.groups
                if demand[centre].get(group.item, 0.0) > 0.0
            ]
            for group in wanted_groups:
                if layout.holders_in(group.item, centre):
                    continue
                if not self._load_on_demand(layout, group, centre):
                    reason = f"{group.item.key()} needs {group.memory_mb} MB"
                    not_fitting.append(
                        placementplan.NotFitting(
                            group.item, centre, group.memory_mb, reason
                        )
                    )
        return schedule_plan(layout, not_fitting, sheet.weight_store, current)

    def _load_on_demand(self, layout, group, centre):
        servers = [
            server
            for server in layout.usable_servers(group.service, centre)
            if server.memory_mb >= group.memory_mb
        ]
        if not servers:
            return False
        server = servers[0]  # the server with the most free memory
        if server.free_mb < group.memory_mb:
            server = min(
                servers, key=lambda server: self._least_recent_use_key(layout, server)
            )
        for version in sorted(
            placementeviction.unloadable_versions(layout, server),
            key=lambda version: self._last_use_key(server, version),
        ):
            if server.free_mb >= group.memory_mb:
                break
            placementeviction.evict(layout, server, version, "least recently used")
        required_mb = layout.required_mb(server, group.items())
        if server.free_mb < required_mb or not layout.has_no_open_unload(
            server, group.items()
        ):
            return False
        for item in layout.missing_items(server, group.items()):
            layout.load(server, item, "load on demand")
        return True

    def _last_use_key(self, server, version):
        return (
            self._last_used_at.get((server.data_centre, version), -1.0),
            version.key(),
        )

    def _least_recent_use_key(self, layout, server):
        versions = placementeviction.unloadable_versions(layout, server)
        least_recent = min(
            (self._last_use_key(server, version) for version in versions),
            default=(0.0, ""),
        )
        return (*least_recent, server.backend_id)
