"""Working state of a planner: which items each backend server would hold."""

import bisect

from kumquatproxy import records
from kumquatproxy.placement import placementplan

# A choice looks at this many backend servers with room, evenly picked from all of
# them, so that the cost of a choice does not grow with the number of servers.
MAX_CANDIDATES = 24
MAX_EXTREMES = 8  # enough to find one on another host


class Group(records.Record):
    """Hold one model version with the adapters that belong to the model."""

    __slots__ = (
        "adapters",
        "item",
        "memory_mb",
        "model",
        "priority",
        "service",
        "versions",
    )

    def __init__(self, item, model, versions, adapters, memory_by_item):
        self.item: records.Item = item
        # All versions of the model, which share its adapters; the first is default.
        self.versions: tuple[records.Item, ...] = versions
        self.model = model
        self.service: str = model.service
        self.priority: int = model.priority
        self.adapters: tuple[records.Item, ...] = tuple(adapters)
        self.memory_mb: int = memory_by_item[item] + sum(
            memory_by_item[adapter] for adapter in self.adapters
        )

    def items(self) -> tuple[records.Item, ...]:
        """Return the model version and its adapters."""
        return (self.item, *self.adapters)


class Catalogue:
    """Hold what a planner needs of a sheet, by item."""

    __slots__ = ("bases", "groups", "groups_by_item", "memory_by_item", "sheet")

    def __init__(self, sheet):
        self.sheet = sheet
        self.memory_by_item: dict[records.Item, int] = sheet.memory_by_item()
        self.groups: list[Group] = []
        self.groups_by_item: dict[records.Item, Group] = {}
        self.bases: dict[records.Item, tuple[records.Item, ...]] = {}
        adapters: dict[str, list[records.Item]] = {}
        for adapter in sheet.adapters_by_name.values():
            adapters.setdefault(adapter.model, []).append(adapter.item())
        for model in sheet.models_by_name.values():
            own = adapters.get(model.name, [])
            versions = tuple(model.item(version) for version in model.versions)
            for item in versions:
                group = Group(item, model, versions, own, self.memory_by_item)
                self.groups.append(group)
                self.groups_by_item[item] = group
            for adapter in own:
                self.bases[adapter] = versions

    def partners(self) -> dict[records.Item, tuple[records.Item, ...]]:
        """Return the adapters by model version and the versions by adapter."""
        adapters = {group.item: group.adapters for group in self.groups}
        return {**adapters, **self.bases}

    def service_of(self, item: records.Item) -> str:
        """Return the service of a listed item."""
        base = self.bases[item][0] if item.kind == "adapter" else item
        return self.groups_by_item[base].service


class Slot:
    """Hold one backend server while a plan is made."""

    __slots__ = (
        "backend_id",
        "capacity",
        "closing",
        "data_centre",
        "free_mb",
        "host",
        "live",
        "load",
        "memory_mb",
        "present",
        "service",
        "usable",
    )

    def __init__(self, server, capacity):
        self.backend_id: str = server.backend_id
        self.data_centre: str = server.data_centre
        self.service: str = server.service
        self.host: str = server.address.rpartition(":")[0]
        self.usable: bool = server.kind == "engine" and not server.leaving
        self.memory_mb: int = server.memory_mb
        self.free_mb: int = server.memory_mb
        self.capacity: float = capacity
        self.load: float = 0.0
        # Items that are loaded or will be by an open load intent.
        self.present: dict[records.Item, int] = {}
        # Items that are certainly loaded, or ordered earlier in this plan.
        self.live: set[records.Item] = set()
        # Items with an open unload: they keep their memory until a report shows it.
        self.closing: set[records.Item] = set()

    def utilisation(self) -> float:
        """Return the expected load as a share of the capacity."""
        return self.load / self.capacity


class Layout:
    """Hold all backend servers and collect the actions of a plan.

    ``load`` and ``unload`` change the state at once, so memory holds after each
    action by construction, and a plan is executable in the order it was made.
    """

    def __init__(self, catalogue, backends, current, rate_per_accelerator=1.0):
        self.catalogue: Catalogue = catalogue
        self.elsewhere = current.elsewhere
        self.all_data_centres = current.data_centres
        self.actions: list[placementplan.Action] = []
        self.slots: dict[str, Slot] = {}
        self.holders: dict[records.Item, dict[str, dict[str, Slot]]] = {}
        self.by_free: dict[tuple[str, str], list[tuple[int, str]]] = {}
        for server in sorted(backends, key=lambda server: server.backend_id):
            capacity = max(server.accelerators, 1) * rate_per_accelerator
            self.slots[server.backend_id] = Slot(server, capacity)
        self._adopt(current)
        for slot in self.slots.values():
            if slot.usable:
                place = (slot.service, slot.data_centre)
                bisect.insort(
                    self.by_free.setdefault(place, []), (slot.free_mb, slot.backend_id)
                )

    def _adopt(self, current):
        pending = []
        for intent in current.intents:
            slot = self.slots.get(intent.backend_id)
            if slot is None:
                continue
            if intent.action == placementplan.UNLOAD:
                slot.closing.add(intent.item)
            elif intent.item not in current.loaded.get(intent.backend_id, ()):
                slot.free_mb -= intent.memory_mb
                pending.append(intent)
        for backend_id, memory_by_item in sorted(current.loaded.items()):
            slot = self.slots.get(backend_id)
            if slot is None:
                continue
            for item in sorted(memory_by_item, key=records.Item.key):
                slot.free_mb -= memory_by_item[item]
                if item not in slot.closing:
                    slot.present[item] = memory_by_item[item]
                    slot.live.add(item)
                    self._enter(slot, item)
        for intent in pending:
            slot = self.slots[intent.backend_id]
            if intent.item not in slot.closing:
                slot.present[intent.item] = intent.memory_mb
                self._enter(slot, intent.item)

    def is_home(self, slot: Slot, item: records.Item) -> bool:
        """Return whether a replica on the slot counts for the sheet."""
        if not slot.usable or item not in self.catalogue.memory_by_item:
            return False
        return slot.service == self.catalogue.service_of(item)

    def _enter(self, slot, item):
        if self.is_home(slot, item):
            by_centre = self.holders.setdefault(item, {})
            by_centre.setdefault(slot.data_centre, {})[slot.backend_id] = slot

    def _set_free(self, slot, free_mb):
        if slot.usable:
            index = self.by_free[slot.service, slot.data_centre]
            del index[bisect.bisect_left(index, (slot.free_mb, slot.backend_id))]
            bisect.insort(index, (free_mb, slot.backend_id))
        slot.free_mb = free_mb

    def load(self, slot: Slot, item: records.Item, reason: str) -> None:
        """Append a load; the caller has checked that it fits."""
        memory_mb = self.catalogue.memory_by_item[item]
        if memory_mb > slot.free_mb:
            raise ValueError(f"{item.key()} does not fit on {slot.backend_id}")
        self._set_free(slot, slot.free_mb - memory_mb)
        slot.present[item] = memory_mb
        slot.live.add(item)
        self._enter(slot, item)
        self._append(placementplan.LOAD, slot, item, memory_mb, reason)

    def unload(self, slot: Slot, item: records.Item, reason: str) -> None:
        """Append an unload of an item that is live on the slot."""
        memory_mb = slot.present.pop(item)
        slot.live.discard(item)
        self.holders.get(item, {}).get(slot.data_centre, {}).pop(slot.backend_id, None)
        self._set_free(slot, slot.free_mb + memory_mb)
        self._append(placementplan.UNLOAD, slot, item, memory_mb, reason)

    def _append(self, action, slot, item, memory_mb, reason):
        self.actions.append(
            placementplan.Action(action, slot.backend_id, item, memory_mb, reason)
        )

    def data_centres(self, service: str) -> list[str]:
        """Return the data centres with usable backend servers of a service."""
        return sorted(centre for name, centre in self.by_free if name == service)

    def holders_in(self, item: records.Item, data_centre: str) -> dict[str, Slot]:
        """Return the backend servers of a data centre that hold an item."""
        return self.holders.get(item, {}).get(data_centre, {})

    def centres_of(self, item: records.Item) -> set[str]:
        """Return all data centres that hold an item, seen or reported."""
        held = {centre for centre, slots in self.holders.get(item, {}).items() if slots}
        return held | set(self.elsewhere.get(item, ()))

    def free_share(self, service: str, data_centre: str) -> float:
        """Return the largest free memory of one server as a share of its memory."""
        free_mb, backend_id = self.by_free[service, data_centre][-1]
        return free_mb / max(self.slots[backend_id].memory_mb, 1)

    def candidates(self, service, data_centre, need_mb) -> list[Slot]:
        """Return some backend servers with ``need_mb`` free, most free last."""
        index = self.by_free.get((service, data_centre), [])
        first = bisect.bisect_left(index, (need_mb, ""))
        count = len(index) - first
        if count <= MAX_CANDIDATES:
            picked = index[first:]
        else:
            picked = [
                index[first + (i + 1) * count // MAX_CANDIDATES - 1]
                for i in range(MAX_CANDIDATES)
            ]
        return [self.slots[backend_id] for _, backend_id in picked]

    def extremes(self, service, data_centre, need_mb, most_free) -> list[Slot]:
        """Return the slots with ``need_mb`` free that have the most or least free."""
        index = self.by_free.get((service, data_centre), [])
        first = bisect.bisect_left(index, (need_mb, ""))
        picked = index[first : first + MAX_EXTREMES]
        if most_free:
            picked = index[max(first, len(index) - MAX_EXTREMES) :]
        return [self.slots[backend_id] for _, backend_id in picked]

    def all_slots(self, service: str, data_centre: str) -> list[Slot]:
        """Return every usable backend server, most free first."""
        index = self.by_free.get((service, data_centre), [])
        return [self.slots[backend_id] for _, backend_id in reversed(index)]

    def hosts_of(self, item: records.Item) -> set[str]:
        """Return the host addresses of the backend servers that hold an item."""
        by_centre = self.holders.get(item, {})
        return {slot.host for slots in by_centre.values() for slot in slots.values()}

    def need_mb(self, slot: Slot, items) -> int:
        """Return the memory that the items lack on a slot."""
        memory = self.catalogue.memory_by_item
        return sum(memory[item] for item in items if item not in slot.present)

    def lacking(self, slot: Slot, items) -> list[records.Item]:
        """Return the items that are neither on a slot nor ordered for it."""
        return [item for item in items if item not in slot.present]

    def is_open_to(self, slot: Slot, items) -> bool:
        """Return whether no item has an open unload on the slot."""
        return slot.closing.isdisjoint(items)

    def target(self) -> dict[str, frozenset[records.Item]]:
        """Return the items of each backend server after all actions."""
        return {
            backend_id: frozenset(slot.present)
            for backend_id, slot in self.slots.items()
        }
