"""Replicas by predicted demand: relieve backend servers that would be overloaded."""

import heapq

from kumquatproxy import records
from kumquatproxy.placement import placementlayout, placementplan, placementroom

# A server above HIGH is relieved down to LOW, so that its demand must grow by a third
# before it is relieved again; without the gap, noise around HIGH causes moves.
HIGH = 0.8
LOW = 0.6
# With a mean utilisation above LOW both bounds rise, or no server could take demand.
MARGIN = 0.1
MODEL_MOVE = 1.0
ADAPTER_MOVE = 0.1  # an adapter is about a hundredth of a model in memory and time
# Share of a server's capacity that one model move must relieve at equal weights.
GAIN_PER_MOVE = 0.05
GROUPS_PER_SERVER = 4  # hottest groups tried on an overloaded server
EVICTION_SEARCHES = 6  # best destinations without free memory that are searched
FILL_PASSES = 2


def fill(slots, rate) -> dict[str, float]:
    """Return the split of a rate that equalises the utilisation of the slots."""
    order = sorted(slots, key=lambda slot: (slot.utilisation(), slot.backend_id))
    capacity = load = 0.0
    level = 0.0
    used = []
    for index, slot in enumerate(order):
        capacity += slot.capacity
        load += slot.load
        used.append(slot)
        level = (load + rate) / capacity
        if index + 1 == len(order) or level <= order[index + 1].utilisation():
            break
    return {
        slot.backend_id: max(level * slot.capacity - slot.load, 0.0) for slot in used
    }


class Unit:
    """Hold the demand for one model version, or for one adapter on its default one."""

    __slots__ = ("group", "item", "rate", "shares")

    def __init__(self, group, item, rate):
        self.group: placementlayout.Group = group
        self.item: records.Item = item
        self.rate: float = rate
        self.shares: dict[str, float] = {}


class Scale:
    """Add replicas in one data centre within the budget of moves."""

    __slots__ = (
        "_centre",
        "_high",
        "_layout",
        "_low",
        "_units_by_group",
        "_units_by_slot",
        "_weights",
        "budget",
    )

    def __init__(self, layout, centre, rates, weights, budget):
        self._layout = layout
        self._centre: str = centre
        self._weights: dict[str, placementplan.Weights] = weights
        self.budget: int = budget
        self._low: float = LOW
        self._high: float = HIGH
        self._units_by_group: dict[records.Item, list[Unit]] = {}
        self._units_by_slot: dict[str, dict[records.Item, Unit]] = {}
        self._make_units(rates)

    def _make_units(self, rates):
        catalogue = self._layout.catalogue
        for item in sorted(rates, key=records.Item.key):
            group = catalogue.groups_by_item.get(item)
            if group is None:
                continue
            own = rates[item]
            units = []
            if item == group.versions[0]:
                for adapter in group.adapters:
                    rate = rates.get(adapter, 0.0)
                    own -= rate
                    if rate > 0.0:
                        units.append(Unit(group, adapter, rate))
            if own > 0.0:
                units.append(Unit(group, item, own))
            if units:
                self._units_by_group[item] = units

    def _slots_of(self, unit):
        holders = self._layout.holders_in(unit.group.item, self._centre)
        return [slot for slot in holders.values() if unit.item in slot.present]

    def spread(self) -> None:
        """Split the demand over the replicas and set the load of each slot."""
        units = [unit for units in self._units_by_group.values() for unit in units]
        slots_by_unit = [(unit, self._slots_of(unit)) for unit in units]
        slots_by_unit.sort(key=lambda pair: (len(pair[1]), -pair[0].rate))
        for _ in range(FILL_PASSES):
            for unit, slots in slots_by_unit:
                self._split(unit, slots)
        self._set_bounds()

    def _set_bounds(self):
        slots = [
            slot
            for slot in self._layout.slots.values()
            if slot.usable and slot.data_centre == self._centre
        ]
        mean = sum(s.load for s in slots) / sum(s.capacity for s in slots)
        self._low = max(LOW, mean + MARGIN)
        self._high = max(HIGH, self._low + MARGIN)

    def _split(self, unit, slots):
        for backend_id, share in unit.shares.items():
            self._layout.slots[backend_id].load -= share
            del self._units_by_slot[backend_id][unit.item]
        unit.shares = fill(slots, unit.rate) if slots else {}
        for backend_id, share in unit.shares.items():
            self._layout.slots[backend_id].load += share
            self._units_by_slot.setdefault(backend_id, {})[unit.item] = unit

    def run(self) -> None:
        """Relieve overloaded servers, the highest utilisation first."""
        heap: list[tuple[float, str]] = []
        for backend_id in self._units_by_slot:
            slot = self._layout.slots[backend_id]
            if slot.utilisation() > self._high:
                heapq.heappush(heap, (-slot.utilisation(), backend_id))
        while heap and self.budget > 0:
            _, backend_id = heapq.heappop(heap)
            slot = self._layout.slots[backend_id]
            if slot.utilisation() > self._low and self._relieve(slot):
                heapq.heappush(heap, (-slot.utilisation(), backend_id))

    def _relieve(self, slot):
        """Move some demand away from a slot; return whether it could be done."""
        shares: dict[records.Item, float] = {}
        for unit in self._units_by_slot[slot.backend_id].values():
            base = unit.group.item
            shares[base] = shares.get(base, 0.0) + unit.shares[slot.backend_id]
        hottest = sorted(shares, key=lambda base: (-shares[base], base.key()))
        return any(
            self._add_replica(slot, base, shares[base])
            for base in hottest[:GROUPS_PER_SERVER]
        )

    def _add_replica(self, slot, base, share):
        layout = self._layout
        excess = min(share, slot.load - self._low * slot.capacity)
        units = [
            unit
            for unit in self._units_by_group[base]
            if slot.backend_id in unit.shares
        ]
        units.sort(key=lambda u: (-u.shares[slot.backend_id], u.item.key()))
        items, moved = [base], 0.0
        for unit in units:
            if moved < excess:
                moved += unit.shares[slot.backend_id]
                items += [unit.item] if unit.item != base else []
        group = layout.catalogue.groups_by_item[base]
        found = self._destination(group, items, slot, min(moved, excess))
        if found is None:
            return False
        new_slot, evicted = found
        for other in evicted:
            text = f"makes room for {base.key()}, other replicas take its demand"
            placementroom.evict(layout, new_slot, other, text)
            self.split_group(other)
        reason = (
            f"{slot.backend_id} would be at {slot.utilisation():.0%} of its capacity"
        )
        for item in layout.lacking(new_slot, items):
            layout.load(new_slot, item, reason)
            self.budget -= 1
        self.split_group(base)
        return True

    def split_group(self, base: records.Item) -> None:
        """Split the demand of a group anew after its replicas have changed."""
        for unit in self._units_by_group.get(base, ()):
            self._split(unit, self._slots_of(unit))

    def _worth(self, group, gain, lacking):
        """Return the gain less the cost of the loads, in shares of a server."""
        service = self._layout.catalogue.sheet.services_by_name[group.service]
        weights = self._weights.get(service.organisation, placementplan.Weights())
        cost = sum(
            MODEL_MOVE if item.kind == "model" else ADAPTER_MOVE for item in lacking
        )
        return weights.attainment * gain - weights.move * GAIN_PER_MOVE * cost

    def _destination(self, group, items, slot, moved):
        """Return the best slot for more replicas and what it must evict, or None."""
        layout = self._layout
        hosts = {s.host for s in layout.holders_in(group.item, self._centre).values()}
        scored = []
        for other in self._candidates(group, items):
            room = self._low * other.capacity - other.load
            lacking = layout.lacking(other, items)
            if other is slot or room <= 0.0 or not lacking:
                continue
            gain = min(moved, room) / slot.capacity
            worth = self._worth(group, gain, lacking)
            if worth <= 0.0 or len(lacking) > self.budget:
                continue
            if not layout.is_open_to(other, items):
                continue
            need_mb = layout.need_mb(other, items)
            full = other.free_mb < need_mb
            score = (-round(worth, 2), full, other.host in hosts, other.utilisation())
            scored.append((score, other.backend_id, need_mb))
        searches = 0
        for score, backend_id, need_mb in sorted(scored):
            other = layout.slots[backend_id]
            searches += score[1]
            if score[1] and searches > EVICTION_SEARCHES:
                continue
            evicted = self._evictions(other, need_mb, group.versions)
            if evicted is not None:
                return other, evicted
        return None

    def _candidates(self, group, items):
        layout = self._layout
        need_mb = sum(layout.catalogue.memory_by_item[item] for item in items)
        found = {
            slot.backend_id: slot
            for slot in layout.candidates(group.service, self._centre, need_mb)
        }
        found.update(layout.holders_in(group.item, self._centre))
        if len(found) < placementlayout.MAX_CANDIDATES:
            any_slots = layout.candidates(group.service, self._centre, 0)
            found.update({slot.backend_id: slot for slot in any_slots})
        return found.values()

    def _evictions(self, slot, need_mb, keep):
        if slot.free_mb >= need_mb:
            return []
        return placementroom.surplus_on(
            self._layout,
            slot,
            need_mb,
            placementroom.SAME_CENTRE,
            keep,
            self._is_idle,
        )

    def _is_idle(self, slot, base):
        """Return whether the other replicas can take the demand without overload."""
        for unit in self._units_by_group.get(base, ()):
            share = unit.shares.get(slot.backend_id, 0.0)
            room = sum(
                max(self._low * other.capacity - other.load, 0.0)
                for other in self._slots_of(unit)
                if other is not slot and unit.item in other.live
            )
            if share > room:
                return False
        return True
