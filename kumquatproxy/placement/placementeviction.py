"""Choice of servers for replicas, and eviction or relocation to free memory."""

import zlib

from kumquatproxy import records

# Eviction scopes: where another replica must remain.
SAME_CENTRE = 1  # in the same data centre
ANY_CENTRE = 2  # in any data centre


def centre_rank(item: records.Item, data_centre: str) -> int:
    """Return a hash that ranks data centres in a different order for each item."""
    return zlib.crc32(f"{item.key()}/{data_centre}".encode())


def centre_position(layout, group) -> int:
    """Return the position of the planned data centre in the ranking of a group.

    It is 0 for all groups if the plan covers more than one data centre.
    """
    planned_centres = layout.data_centres(group.service)
    if len(planned_centres) != 1 or planned_centres[0] not in layout.all_data_centres:
        return 0
    ranked_centres = sorted(
        layout.all_data_centres,
        key=lambda centre: (centre_rank(group.item, centre), centre),
    )
    return ranked_centres.index(planned_centres[0])


def is_redundant(layout, server, base, scope) -> bool:
    """Return whether a model version and its adapters on a server are redundant.

    Other backend servers within the scope must have live replicas of the version and,
    next to it, of each adapter.
    """
    if base not in server.live:
        return False
    group = layout.catalogue.groups_by_item[base]
    present_adapters = [
        adapter for adapter in group.adapters if adapter in server.present
    ]
    if any(adapter not in server.live for adapter in present_adapters):
        return False
    centres = [server.data_centre]
    if scope == ANY_CENTRE:
        centres = list(layout.holders.get(base, {}))
    others = [
        other
        for centre in centres
        for other in layout.holders_in(base, centre).values()
        if other is not server and base in other.live
    ]
    if others:
        return all(
            any(item in other.live for other in others) for item in present_adapters
        )
    if scope == ANY_CENTRE:
        return _is_kept_elsewhere(layout, server, [base, *present_adapters])
    return False


def _is_kept_elsewhere(layout, server, items):
    """Return whether another placement owner is bound to keep the items.

    The data centre with the lowest rank keeps its replica. Otherwise two owners could
    each rely on the other's replica and evict the last two at the same time.
    """
    for item in items:
        centres = layout.elsewhere.get(item, ())
        own_rank = centre_rank(item, server.data_centre)
        if not any(centre_rank(item, centre) < own_rank for centre in centres):
            return False
    return True


def evict(layout, server, base, reason) -> None:
    """Unload a model version and the adapters that only it uses on the server."""
    group = layout.catalogue.groups_by_item[base]
    for adapter in group.adapters:
        bases = layout.catalogue.versions_by_adapter[adapter]
        shared = any(other != base and other in server.present for other in bases)
        if adapter in server.present and not shared:
            layout.unload(server, adapter, reason)
    layout.unload(server, base, reason)


def unloadable_versions(layout, server) -> list[records.Item]:
    """Return the listed model versions on a server that can be unloaded, by key.

    An adapter with an open load cannot be unloaded yet, nor can its base model.
    """
    groups = layout.catalogue.groups_by_item
    candidates = [
        item
        for item in server.live
        if item in groups
        and all(
            a in server.live or a not in server.present for a in groups[item].adapters
        )
    ]
    return sorted(candidates, key=records.Item.key)


def freed_mb(layout, server, base) -> int:
    """Return the memory that evicting a model version frees on a server."""
    group = layout.catalogue.groups_by_item[base]
    total_mb = server.present[base]
    for adapter in group.adapters:
        bases = layout.catalogue.versions_by_adapter[adapter]
        shared = any(other != base and other in server.present for other in bases)
        if adapter in server.present and not shared:
            total_mb += server.present[adapter]
    return total_mb


def find_evictions(
    layout, server, required_mb, scope, excluded_versions=(), can_evict=None
):
    """Return model versions to evict so that ``required_mb`` are free, or None."""
    if required_mb > server.memory_mb:
        return None
    evicted: list[records.Item] = []
    free_mb = server.free_mb
    for base in unloadable_versions(layout, server):
        if free_mb >= required_mb:
            break
        if base in excluded_versions or not is_redundant(layout, server, base, scope):
            continue
        if can_evict is not None and not can_evict(server, base):
            continue
        evicted.append(base)
        free_mb += freed_mb(layout, server, base)
    return evicted if free_mb >= required_mb else None


def find_relocations(layout, server, required_mb, excluded_versions=()):
    """Return pairs of model version and new server that free ``required_mb``, or None.

    A single replica that frees enough memory is preferred, the smallest first. If
    none of the four smallest can be moved, several are moved, the largest first.
    """
    if required_mb > server.memory_mb:
        return None
    lacking_mb = required_mb - server.free_mb
    sizes = {
        base: freed_mb(layout, server, base)
        for base in unloadable_versions(layout, server)
        if base not in excluded_versions
    }
    sufficient = [base for base in sizes if sizes[base] >= lacking_mb]
    ranked_versions = sorted(sufficient, key=lambda base: (sizes[base], base.key()))[:4]
    for base in ranked_versions:
        new_server = _find_new_server(layout, server, base, {})
        if new_server is not None:
            return [(base, new_server)]
    reserved_mb_by_server: dict[str, int] = {}
    relocations = []
    for base in sorted(sizes, key=lambda base: (-sizes[base], base.key())):
        if lacking_mb <= 0:
            break
        new_server = _find_new_server(layout, server, base, reserved_mb_by_server)
        if new_server is None:
            continue
        moved = _items_to_relocate(layout, server, base)
        moved_mb = layout.required_mb(new_server, moved)
        reserved_mb_by_server[new_server.backend_id] = (
            reserved_mb_by_server.get(new_server.backend_id, 0) + moved_mb
        )
        relocations.append((base, new_server))
        lacking_mb -= sizes[base]
    return relocations if lacking_mb <= 0 else None


def _items_to_relocate(layout, server, base):
    group = layout.catalogue.groups_by_item[base]
    return [item for item in group.items() if item in server.present]


def _find_new_server(layout, server, base, reserved_mb_by_server):
    moved = _items_to_relocate(layout, server, base)
    required_mb = sum(layout.catalogue.memory_by_item[item] for item in moved)
    candidates = layout.sample_candidates(
        server.service, server.data_centre, required_mb
    )
    for other in candidates:
        if other is server or base in other.present:
            continue
        if not layout.has_no_open_unload(other, moved):
            continue
        if any(item in other.present and item not in other.live for item in moved):
            continue  # an open load may fail, so it does not replace a live replica
        if (
            other.free_mb - reserved_mb_by_server.get(other.backend_id, 0)
            >= required_mb
        ):
            return other
    return None


def relocate(layout, server, relocations, reason) -> None:
    """Load each replica on its new server, then unload it from the old one."""
    for base, new_server in relocations:
        for item in layout.missing_items(
            new_server, _items_to_relocate(layout, server, base)
        ):
            layout.load(new_server, item, reason)
        evict(layout, server, base, reason)


def choose_server(layout, service, data_centre, items, used_hosts, is_worst_fit=True):
    """Return the best server with free memory for the items, or None.

    Servers on hosts without a replica come first. Among them the most free memory wins
    (worst fit), which leaves memory for demand on every server, or the least (best
    fit), which leaves memory for large models.
    """
    required_mb = sum(layout.catalogue.memory_by_item[item] for item in items)
    best = None
    best_score: tuple = ()
    for server in layout.fit_candidates(
        service, data_centre, required_mb, is_worst_fit
    ):
        if items[0] in server.present or not layout.has_no_open_unload(server, items):
            continue
        fit_score = -server.free_mb if is_worst_fit else server.free_mb
        score = (
            server.host in used_hosts,
            fit_score,
            server.utilisation(),
            server.backend_id,
        )
        if best is None or score < best_score:
            best, best_score = server, score
    return best


def largest_free_mb(layout, service, data_centre) -> int:
    """Return the largest free memory of any one backend server in megabytes."""
    index = layout.free_memory_index.get((service, data_centre), [])
    return index[-1][0] if index else 0
