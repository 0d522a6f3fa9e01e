"""Placement of a replica of every listed item in each data centre where it fits."""

from kumquatproxy import records
from kumquatproxy.placement import placementeviction, placementplan

# If the groups without any replica need more than this share of the free memory, groups
# are sorted by data centre rank and priority, not by size.
TIGHT_MEMORY_SHARE = 0.9


class Coverage:
    """Add the replicas that the sheet requires to a layout."""

    __slots__ = (
        "_is_worst_fit",
        "_layout",
        "_on_change",
        "_smallest_failed_mb",
        "not_fitting",
    )

    def __init__(self, layout, on_change, is_worst_fit=True):
        """Initialize the pass.

        ``on_change`` is called with a model version and a data centre when a replica
        of that version is placed there, or is evicted or relocated for one. It is not
        called when an adapter is loaded next to a replica, or when room is made for it.
        """
        self._layout = layout
        self._on_change = on_change
        self._is_worst_fit: bool = is_worst_fit
        self.not_fitting: list[placementplan.NotFitting] = []
        # Smallest group that could not be placed, by service, data centre and eviction
        # scope. Larger groups also fail until a replica is evicted or relocated.
        self._smallest_failed_mb: dict[tuple, int] = {}

    def run(self, groups) -> None:
        """Place missing replicas, first the groups held in the fewest data centres."""
        layout = self._layout
        for group in groups:
            for centre in layout.data_centres(group.service):
                if layout.holders_in(group.item, centre):
                    self._load_missing_adapters(group, centre)
        groups_by_held_count: dict[int, list] = {}
        for group in self._sort_groups(groups):
            centres = [
                centre
                for centre in layout.data_centres(group.service)
                if not layout.holders_in(group.item, centre)
            ]
            held_count = len(layout.centres_of(group.item))
            if centres or not held_count:
                groups_by_held_count.setdefault(held_count, []).append((group, centres))
        while groups_by_held_count:
            held_count = min(groups_by_held_count)
            for group, centres in groups_by_held_count.pop(held_count):
                remaining = self._place_one_replica(group, centres, held_count)
                if remaining:
                    groups_by_held_count.setdefault(held_count + 1, []).append(
                        (group, remaining)
                    )
        for group in groups:
            self._add_min_replicas(group)

    def _sort_groups(self, groups):
        """Return the groups in the order in which they are placed.

        With ample memory the largest group comes first (fit decreasing). Otherwise
        groups are sorted by the position of this data centre in the ranking of their
        model and then by priority, so that placement owners of several data centres
        leave out different models.
        """
        layout = self._layout
        missing = [group for group in groups if not layout.centres_of(group.item)]
        required_mb = sum(group.memory_mb for group in missing)
        free_mb = sum(
            server.free_mb
            for server in layout.servers_by_id.values()
            if server.is_usable
        )
        if required_mb > TIGHT_MEMORY_SHARE * free_mb:
            return sorted(
                groups,
                key=lambda g: (
                    placementeviction.centre_position(layout, g),
                    -g.priority,
                    -g.memory_mb,
                    g.item.key(),
                ),
            )
        return sorted(groups, key=lambda g: (-g.memory_mb, -g.priority, g.item.key()))

    def _place_one_replica(self, group, centres, held_count):
        """Place one replica of a group; return the other data centres to try next.

        If it fits in none, each one is reported as not fitting and the list is empty.
        """
        layout = self._layout
        order = sorted(
            centres,
            key=lambda centre: (
                -round(layout.largest_free_share(group.service, centre), 1),
                placementeviction.centre_rank(group.item, centre),
            ),
        )
        # With scope 0 nothing is evicted or relocated.
        scopes = [0, placementeviction.SAME_CENTRE]
        if not held_count:
            scopes.append(placementeviction.ANY_CENTRE)
        for scope in scopes:
            for centre in order:
                if self._try_to_place(group, centre, scope):
                    return [other for other in centres if other != centre]
        for centre in order or [""]:
            self._report_not_fitting(group, centre, held_count)
        return []

    def _report_not_fitting(self, group, centre, held_count):
        free_mb = placementeviction.largest_free_mb(self._layout, group.service, centre)
        missing_mb = max(group.memory_mb - free_mb, 0)
        reason = (
            f"{group.item.key()} with its adapters needs {group.memory_mb} MB on one "
            f"backend server of {group.service}, at most {free_mb} MB are free"
        )
        if held_count:
            reason += "; another data centre has it"
        self.not_fitting.append(
            placementplan.NotFitting(group.item, centre, missing_mb, reason)
        )

    def _reason(self, group, centre):
        if self._layout.centres_of(group.item):
            return f"no replica in data centre {centre}"
        return "no replica in any data centre"

    def _try_to_place(self, group, centre, scope):
        layout = self._layout
        items = group.items()
        reason = self._reason(group, centre)
        if not scope:
            server = placementeviction.choose_server(
                layout,
                group.service,
                centre,
                items,
                layout.hosts_of(group.item),
                self._is_worst_fit,
            )
            if server is None:
                return False
        else:
            smallest_failed_mb = self._smallest_failed_mb.get(
                (group.service, centre, scope)
            )
            if smallest_failed_mb is not None and group.memory_mb >= smallest_failed_mb:
                return False
            server = self._make_room(group, centre, scope, reason)
            if server is None:
                self._smallest_failed_mb[group.service, centre, scope] = group.memory_mb
                return False
            self._smallest_failed_mb.clear()
        for item in layout.missing_items(server, items):
            layout.load(server, item, reason)
        self._on_change(group.item, centre)
        return True

    def _make_room(self, group, centre, scope, reason):
        layout = self._layout
        items = group.items()
        # Other versions of the model share its adapters, so they stay on the server.
        excluded_versions = group.versions
        servers = [
            server
            for server in layout.usable_servers(group.service, centre)
            if layout.has_no_open_unload(server, items)
        ]
        for server in servers:
            required_mb = layout.required_mb(server, items)
            evicted = placementeviction.find_evictions(
                layout, server, required_mb, scope, excluded_versions
            )
            if evicted is not None:
                for base in evicted:
                    text = f"makes room for {group.item.key()}, other replicas remain"
                    placementeviction.evict(layout, server, base, text)
                    self._on_change(base, centre)
                return server
        for server in servers:
            required_mb = layout.required_mb(server, items)
            relocations = placementeviction.find_relocations(
                layout, server, required_mb, excluded_versions
            )
            if relocations is not None:
                text = f"relocated to make room for {group.item.key()}"
                placementeviction.relocate(layout, server, relocations, text)
                for base, _ in relocations:
                    self._on_change(base, centre)
                return server
        return None

    def _load_missing_adapters(self, group, centre):
        """Load the adapters that are on no replica of the group in a data centre."""
        layout = self._layout
        holders = list(layout.holders_in(group.item, centre).values())
        for adapter in group.adapters:
            if any(adapter in server.present for server in holders):
                continue
            reason = f"no replica next to {group.item.key()} in data centre {centre}"
            required_mb = layout.catalogue.memory_by_item[adapter]
            server = self._find_holder_with_memory(holders, required_mb, group, adapter)
            if server is not None:
                layout.load(server, adapter, reason)
            elif not self._try_to_place(group, centre, 0) and not self._try_to_place(
                group, centre, placementeviction.SAME_CENTRE
            ):
                self._report_adapter(adapter, centre, required_mb, holders)

    def _find_holder_with_memory(self, holders, required_mb, group, adapter):
        layout = self._layout
        open_holders = [
            server for server in holders if layout.has_no_open_unload(server, [adapter])
        ]
        for server in sorted(open_holders, key=lambda s: (-s.free_mb, s.backend_id)):
            if server.free_mb >= required_mb:
                return server
            scope = placementeviction.SAME_CENTRE
            excluded_versions = group.versions
            evicted = placementeviction.find_evictions(
                layout, server, required_mb, scope, excluded_versions
            )
            if evicted is not None:
                for base in evicted:
                    text = f"makes room for {adapter.key()}, other replicas remain"
                    placementeviction.evict(layout, server, base, text)
                return server
            relocations = placementeviction.find_relocations(
                layout, server, required_mb, excluded_versions
            )
            if relocations is not None:
                text = f"relocated to make room for {adapter.key()}"
                placementeviction.relocate(layout, server, relocations, text)
                return server
        return None

    def _report_adapter(self, adapter, centre, required_mb, holders):
        free_mb = max((server.free_mb for server in holders), default=0)
        reason = f"{adapter.key()} needs {required_mb} MB next to its base model"
        self.not_fitting.append(
            placementplan.NotFitting(
                adapter, centre, max(required_mb - free_mb, 0), reason
            )
        )

    def _add_min_replicas(self, group):
        """Add replicas of a group until the sheet's ``min_places`` is reached."""
        layout = self._layout
        by_centre = layout.holders.get(group.item, {})
        replica_count = sum(len(servers) for servers in by_centre.values())
        replica_count += len(layout.elsewhere.get(group.item, ()))
        reason = f"fewer replicas than min_places {group.model.min_places}"
        while replica_count < group.model.min_places:
            centres = sorted(
                layout.data_centres(group.service),
                key=lambda centre: len(layout.holders_in(group.item, centre)),
            )
            for centre in centres:
                server = placementeviction.choose_server(
                    layout,
                    group.service,
                    centre,
                    group.items(),
                    layout.hosts_of(group.item),
                )
                if server is not None:
                    break
            else:
                return
            for item in layout.missing_items(server, group.items()):
                layout.load(server, item, reason)
            self._on_change(group.item, server.data_centre)
            replica_count += 1


def plan_coverage(make_layout) -> tuple:
    """Return the layout and coverage that leave the fewest groups without a replica.

    ``make_layout`` returns a new layout and an ``on_change`` function for
    ``Coverage``. Worst fit is tried first. Best fit is tried if worst fit leaves a
    group without any replica, because worst fit may leave no server with enough
    free memory.
    """
    results = []
    for is_worst_fit in (True, False):
        layout, on_change = make_layout()
        coverage = Coverage(layout, on_change, is_worst_fit)
        coverage.run(layout.catalogue.groups)
        missing = sum(
            not layout.centres_of(group.item) for group in layout.catalogue.groups
        )
        results.append((missing, layout, coverage))
        if not missing:
            break
    # ``reversed`` makes best fit, the later result, win a tie.
    _, layout, coverage = min(reversed(results), key=lambda result: result[0])
    return layout, coverage


def unload_unlisted(layout) -> None:
    """Unload items that the sheet does not list, adapters before models."""
    memory = layout.catalogue.memory_by_item
    for server in layout.servers_by_id.values():
        if not server.is_usable:
            continue
        unlisted = [item for item in server.live if item not in memory]
        for item in sorted(unlisted, key=records.Item.key):
            layout.unload(server, item, "the sheet does not list it")


def unload_misplaced(layout) -> None:
    """Unload items from servers of another service once a replica has replaced them."""
    memory = layout.catalogue.memory_by_item
    for server in layout.servers_by_id.values():
        if not server.is_usable:
            continue
        misplaced = [
            item
            for item in server.live
            if item in memory and not layout.counts_as_replica(server, item)
        ]
        for item in sorted(misplaced, key=records.Item.key):
            if _has_live_replica(layout, item):
                layout.unload(
                    server, item, "its service moved to other backend servers"
                )


def _has_live_replica(layout, item):
    """Return whether an item is live on a server of its service.

    An adapter needs a live base model on the same server.
    """
    bases = layout.catalogue.versions_by_adapter.get(item, ())
    for servers in layout.holders.get(item, {}).values():
        for server in servers.values():
            if item in server.live and (not bases or not server.live.isdisjoint(bases)):
                return True
    return False
