"""Room for a replica: free memory, evicted surplus replicas, relocated replicas."""

import zlib

from kumquatproxy import records

SAME_CENTRE = 1  # evict only replicas that have another one in the data centre
ANY_CENTRE = 2  # evict also replicas whose other one is in another data centre


def rank(item: records.Item, data_centre: str) -> int:
    """Return a number that orders data centres differently for each item."""
    return zlib.crc32(f"{item.key()}/{data_centre}".encode())


def turn(layout, group) -> int:
    """Return the position of the planned data centre among all for a model.

    It is 0 for all models if the plan is for all data centres.
    """
    own = layout.data_centres(group.service)
    if len(own) != 1 or own[0] not in layout.all_data_centres:
        return 0
    order = sorted(
        layout.all_data_centres, key=lambda centre: (rank(group.item, centre), centre)
    )
    return order.index(own[0])


def is_surplus(layout, slot, base, level) -> bool:
    """Return whether a model version can leave a slot with its adapters.

    A replica of the version, and one of each adapter next to the version, must be
    live on another backend server.
    """
    if base not in slot.live:
        return False
    group = layout.catalogue.groups_by_item[base]
    mine = [adapter for adapter in group.adapters if adapter in slot.present]
    if any(adapter not in slot.live for adapter in mine):
        return False
    centres = [slot.data_centre]
    if level == ANY_CENTRE:
        centres = list(layout.holders.get(base, {}))
    others = [
        other
        for centre in centres
        for other in layout.holders_in(base, centre).values()
        if other is not slot and base in other.live
    ]
    if others:
        return all(any(item in other.live for other in others) for item in mine)
    if level == ANY_CENTRE:
        return _is_kept_elsewhere(layout, slot, [base, *mine])
    return False


def _is_kept_elsewhere(layout, slot, items):
    """Return whether another placement owner certainly keeps the items.

    Two owners must not give up the last replicas at the same time, each counting on
    the other, so the data centre of the lowest rank keeps its replica.
    """
    for item in items:
        centres = layout.elsewhere.get(item, ())
        own = rank(item, slot.data_centre)
        if not any(rank(item, centre) < own for centre in centres):
            return False
    return True


def evict(layout, slot, base, reason) -> None:
    """Unload a model version and the adapters that only it uses on the slot."""
    group = layout.catalogue.groups_by_item[base]
    for adapter in group.adapters:
        bases = layout.catalogue.bases[adapter]
        shared = any(other != base and other in slot.present for other in bases)
        if adapter in slot.present and not shared:
            layout.unload(slot, adapter, reason)
    layout.unload(slot, base, reason)


def bases_on(layout, slot) -> list[records.Item]:
    """Return the listed model versions on a slot that could be unloaded, by key.

    An adapter with an open load cannot be unloaded yet, nor can its base model.
    """
    groups = layout.catalogue.groups_by_item
    found = [
        item
        for item in slot.live
        if item in groups
        and all(a in slot.live or a not in slot.present for a in groups[item].adapters)
    ]
    return sorted(found, key=records.Item.key)


def held_mb(layout, slot, base) -> int:
    """Return the memory that evicting a model version frees on a slot."""
    group = layout.catalogue.groups_by_item[base]
    held = slot.present[base]
    for adapter in group.adapters:
        bases = layout.catalogue.bases[adapter]
        shared = any(other != base and other in slot.present for other in bases)
        if adapter in slot.present and not shared:
            held += slot.present[adapter]
    return held


def surplus_on(layout, slot, need_mb, level, keep=(), is_idle=None):
    """Return model versions to evict so that ``need_mb`` are free, or None."""
    if need_mb > slot.memory_mb:
        return None
    chosen: list[records.Item] = []
    free_mb = slot.free_mb
    for base in bases_on(layout, slot):
        if free_mb >= need_mb:
            break
        if base in keep or not is_surplus(layout, slot, base, level):
            continue
        if is_idle is not None and not is_idle(slot, base):
            continue
        chosen.append(base)
        free_mb += held_mb(layout, slot, base)
    return chosen if free_mb >= need_mb else None


def relocations(layout, slot, need_mb, keep=()):
    """Return pairs of model version and new slot that free ``need_mb``, or None.

    Replicas are moved in the order of their memory, the smallest that suffices first.
    """
    if need_mb > slot.memory_mb:
        return None
    lacking_mb = need_mb - slot.free_mb
    sizes = {
        base: held_mb(layout, slot, base)
        for base in bases_on(layout, slot)
        if base not in keep
    }
    enough = [base for base in sizes if sizes[base] >= lacking_mb]
    order = sorted(enough, key=lambda base: (sizes[base], base.key()))[:4]
    for base in order:
        new_slot = _room_for_move(layout, slot, base, {})
        if new_slot is not None:
            return [(base, new_slot)]
    taken: dict[str, int] = {}
    moves = []
    for base in sorted(sizes, key=lambda base: (-sizes[base], base.key())):
        if lacking_mb <= 0:
            break
        new_slot = _room_for_move(layout, slot, base, taken)
        if new_slot is None:
            continue
        moved = _moved_items(layout, slot, base)
        need = layout.need_mb(new_slot, moved)
        taken[new_slot.backend_id] = taken.get(new_slot.backend_id, 0) + need
        moves.append((base, new_slot))
        lacking_mb -= sizes[base]
    return moves if lacking_mb <= 0 else None


def _moved_items(layout, slot, base):
    group = layout.catalogue.groups_by_item[base]
    return [item for item in group.items() if item in slot.present]


def _room_for_move(layout, slot, base, taken):
    moved = _moved_items(layout, slot, base)
    need_mb = sum(layout.catalogue.memory_by_item[item] for item in moved)
    found = layout.candidates(slot.service, slot.data_centre, need_mb)
    for other in found:
        if other is slot or base in other.present:
            continue
        if not layout.is_open_to(other, moved):
            continue
        if any(item in other.present and item not in other.live for item in moved):
            continue  # an open load may still fail, so it replaces no replica
        if other.free_mb - taken.get(other.backend_id, 0) >= need_mb:
            return other
    return None


def relocate(layout, slot, moves, reason) -> None:
    """Load each replica on its new slot, then unload it from the old one."""
    for base, new_slot in moves:
        for item in layout.lacking(new_slot, _moved_items(layout, slot, base)):
            layout.load(new_slot, item, reason)
        evict(layout, slot, base, reason)


def choose(layout, service, data_centre, items, taken_hosts, spread=True):
    """Return the best slot with free memory for the items, or None.

    Another host than those of the other replicas comes first, then most free memory
    (worst fit), which leaves room for demand on every server, or with ``spread`` off
    the least (best fit), which leaves room for large models.
    """
    need_mb = sum(layout.catalogue.memory_by_item[item] for item in items)
    best = None
    best_score: tuple = ()
    for slot in layout.extremes(service, data_centre, need_mb, spread):
        if items[0] in slot.present or not layout.is_open_to(slot, items):
            continue
        free_mb = -slot.free_mb if spread else slot.free_mb
        score = (slot.host in taken_hosts, free_mb, slot.utilisation(), slot.backend_id)
        if best is None or score < best_score:
            best, best_score = slot, score
    return best


def largest_free_mb(layout, service, data_centre) -> int:
    """Return the largest free memory of one backend server in megabytes."""
    index = layout.by_free.get((service, data_centre), [])
    return index[-1][0] if index else 0
