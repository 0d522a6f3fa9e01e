"""Coverage: a replica of every listed item in each data centre where it fits."""

from kumquatproxy import records
from kumquatproxy.placement import placementplan, placementroom

CRAMPED = 0.9  # share of the free memory above which priority decides who gets it


class Cover:
    """Place what the sheet requires on a layout."""

    __slots__ = ("_failed_mb", "_layout", "_on_change", "_spread", "not_fitting")

    def __init__(self, layout, on_change, spread=True):
        """Take a function of model version and data centre, called on a change."""
        self._layout = layout
        self._on_change = on_change
        self._spread: bool = spread
        self.not_fitting: list[placementplan.NotFitting] = []
        # Smallest need that found no room, by service, data centre and level. A larger
        # need fails as well until a replica is evicted or relocated.
        self._failed_mb: dict[tuple, int] = {}

    def run(self, groups) -> None:
        """Place missing replicas, those with the fewest data centres first."""
        layout = self._layout
        for group in groups:
            for centre in layout.data_centres(group.service):
                if layout.holders_in(group.item, centre):
                    self._complete(group, centre)
        waiting: dict[int, list] = {}
        for group in self._ordered(groups):
            centres = [
                centre
                for centre in layout.data_centres(group.service)
                if not layout.holders_in(group.item, centre)
            ]
            held = len(layout.centres_of(group.item))
            if centres or not held:
                waiting.setdefault(held, []).append((group, centres))
        while waiting:
            held = min(waiting)
            for group, centres in waiting.pop(held):
                left = self._place_in_one(group, centres, held)
                if left:
                    waiting.setdefault(held + 1, []).append((group, left))
        for group in groups:
            self._fill_places(group)

    def _ordered(self, groups):
        """Return the groups by memory, best fit decreasing, if memory is ample.

        Otherwise the models whose turn it is in this data centre come first, then the
        priority: owners of several data centres then leave out different models.
        """
        layout = self._layout
        missing = [group for group in groups if not layout.centres_of(group.item)]
        need_mb = sum(group.memory_mb for group in missing)
        free_mb = sum(slot.free_mb for slot in layout.slots.values() if slot.usable)
        if need_mb > CRAMPED * free_mb:
            return sorted(
                groups,
                key=lambda g: (
                    placementroom.turn(layout, g),
                    -g.priority,
                    -g.memory_mb,
                    g.item.key(),
                ),
            )
        return sorted(groups, key=lambda g: (-g.memory_mb, -g.priority, g.item.key()))

    def _place_in_one(self, group, centres, held):
        """Place one replica; return the data centres that still lack one."""
        layout = self._layout
        order = sorted(
            centres,
            key=lambda centre: (
                -round(layout.free_share(group.service, centre), 1),
                placementroom.rank(group.item, centre),
            ),
        )
        levels = [0, placementroom.SAME_CENTRE]
        if not held:
            levels.append(placementroom.ANY_CENTRE)
        for level in levels:
            for centre in order:
                if self._place(group, centre, level):
                    return [other for other in centres if other != centre]
        for centre in order or [""]:
            self._report(group, centre, held)
        return []

    def _report(self, group, centre, held):
        free_mb = placementroom.largest_free_mb(self._layout, group.service, centre)
        missing_mb = max(group.memory_mb - free_mb, 0)
        reason = (
            f"{group.item.key()} with its adapters needs {group.memory_mb} MB on one "
            f"backend server of {group.service}, at most {free_mb} MB are free"
        )
        if held:
            reason += "; another data centre has it"
        self.not_fitting.append(
            placementplan.NotFitting(group.item, centre, missing_mb, reason)
        )

    def _reason(self, group, centre):
        if self._layout.centres_of(group.item):
            return f"no replica in data centre {centre}"
        return "no replica in any data centre"

    def _place(self, group, centre, level):
        layout = self._layout
        items = group.items()
        reason = self._reason(group, centre)
        if not level:
            slot = placementroom.choose(
                layout,
                group.service,
                centre,
                items,
                layout.hosts_of(group.item),
                self._spread,
            )
            if slot is None:
                return False
        else:
            failed_mb = self._failed_mb.get((group.service, centre, level))
            if failed_mb is not None and group.memory_mb >= failed_mb:
                return False
            slot = self._make_room(group, centre, level, reason)
            if slot is None:
                self._failed_mb[group.service, centre, level] = group.memory_mb
                return False
            self._failed_mb.clear()
        for item in layout.lacking(slot, items):
            layout.load(slot, item, reason)
        self._on_change(group.item, centre)
        return True

    def _make_room(self, group, centre, level, reason):
        layout = self._layout
        items = group.items()
        # Another version on the slot shares the adapters, so it must stay with them.
        keep = group.versions
        slots = [
            slot
            for slot in layout.all_slots(group.service, centre)
            if layout.is_open_to(slot, items)
        ]
        for slot in slots:
            need_mb = layout.need_mb(slot, items)
            chosen = placementroom.surplus_on(layout, slot, need_mb, level, keep)
            if chosen is not None:
                for base in chosen:
                    text = f"makes room for {group.item.key()}, other replicas remain"
                    placementroom.evict(layout, slot, base, text)
                    self._on_change(base, centre)
                return slot
        for slot in slots:
            need_mb = layout.need_mb(slot, items)
            moves = placementroom.relocations(layout, slot, need_mb, keep)
            if moves is not None:
                text = f"moves to make room for {group.item.key()}"
                placementroom.relocate(layout, slot, moves, text)
                for base, _ in moves:
                    self._on_change(base, centre)
                return slot
        return None

    def _complete(self, group, centre):
        """Load the adapters that no replica of the group has in a data centre."""
        layout = self._layout
        holders = list(layout.holders_in(group.item, centre).values())
        for adapter in group.adapters:
            if any(adapter in slot.present for slot in holders):
                continue
            reason = f"no replica next to {group.item.key()} in data centre {centre}"
            need_mb = layout.catalogue.memory_by_item[adapter]
            slot = self._with_room(holders, need_mb, group, adapter)
            if slot is not None:
                layout.load(slot, adapter, reason)
            elif not self._place(group, centre, 0) and not self._place(
                group, centre, placementroom.SAME_CENTRE
            ):
                self._report_adapter(adapter, centre, need_mb, holders)

    def _with_room(self, holders, need_mb, group, adapter):
        layout = self._layout
        open_holders = [slot for slot in holders if layout.is_open_to(slot, [adapter])]
        for slot in sorted(open_holders, key=lambda s: (-s.free_mb, s.backend_id)):
            if slot.free_mb >= need_mb:
                return slot
            level = placementroom.SAME_CENTRE
            keep = group.versions
            chosen = placementroom.surplus_on(layout, slot, need_mb, level, keep)
            if chosen is not None:
                for base in chosen:
                    text = f"makes room for {adapter.key()}, other replicas remain"
                    placementroom.evict(layout, slot, base, text)
                return slot
            moves = placementroom.relocations(layout, slot, need_mb, keep)
            if moves is not None:
                text = f"moves to make room for {adapter.key()}"
                placementroom.relocate(layout, slot, moves, text)
                return slot
        return None

    def _report_adapter(self, adapter, centre, need_mb, holders):
        free_mb = max((slot.free_mb for slot in holders), default=0)
        reason = f"{adapter.key()} needs {need_mb} MB next to its base model"
        self.not_fitting.append(
            placementplan.NotFitting(adapter, centre, max(need_mb - free_mb, 0), reason)
        )

    def _fill_places(self, group):
        """Add replicas until the sheet's ``min_places`` are reached."""
        layout = self._layout
        by_centre = layout.holders.get(group.item, {})
        places = sum(len(slots) for slots in by_centre.values())
        places += len(layout.elsewhere.get(group.item, ()))
        reason = f"fewer replicas than min_places {group.model.min_places}"
        while places < group.model.min_places:
            centres = sorted(
                layout.data_centres(group.service),
                key=lambda centre: len(layout.holders_in(group.item, centre)),
            )
            for centre in centres:
                slot = placementroom.choose(
                    layout,
                    group.service,
                    centre,
                    group.items(),
                    layout.hosts_of(group.item),
                )
                if slot is not None:
                    break
            else:
                return
            for item in layout.lacking(slot, group.items()):
                layout.load(slot, item, reason)
            self._on_change(group.item, slot.data_centre)
            places += 1


def run_cover(make_layout) -> tuple:
    """Return the layout and the finished ``Cover`` that leaves fewest groups out.

    ``make_layout`` returns a new layout and a function for ``Cover``. Worst fit comes
    first; best fit is tried when it leaves a group without any replica, because worst
    fit may leave no hole that is large enough.
    """
    results = []
    for spread in (True, False):
        layout, on_change = make_layout()
        cover = Cover(layout, on_change, spread)
        cover.run(layout.catalogue.groups)
        missing = sum(
            not layout.centres_of(group.item) for group in layout.catalogue.groups
        )
        results.append((missing, layout, cover))
        if not missing:
            break
    # At equal counts the later one, best fit, decides, also for ``sheet_fit``.
    _, layout, cover = min(reversed(results), key=lambda result: result[0])
    return layout, cover


def drop_unlisted(layout) -> None:
    """Unload what the sheet does not list, adapters before models."""
    memory = layout.catalogue.memory_by_item
    for slot in layout.slots.values():
        if not slot.usable:
            continue
        unlisted = [item for item in slot.live if item not in memory]
        for item in sorted(unlisted, key=records.Item.key):
            layout.unload(slot, item, "the sheet does not list it")


def drop_misplaced(layout) -> None:
    """Unload listed items from servers of another service once replaced."""
    memory = layout.catalogue.memory_by_item
    for slot in layout.slots.values():
        if not slot.usable:
            continue
        misplaced = [
            item
            for item in slot.live
            if item in memory and not layout.is_home(slot, item)
        ]
        for item in sorted(misplaced, key=records.Item.key):
            if _is_live(layout, item):
                layout.unload(slot, item, "its service moved to other backend servers")


def _is_live(layout, item):
    """Return whether the item, with a base model if an adapter, is live at home."""
    bases = layout.catalogue.bases.get(item, ())
    for slots in layout.holders.get(item, {}).values():
        for slot in slots.values():
            if item in slot.live and (not bases or not slot.live.isdisjoint(bases)):
                return True
    return False
