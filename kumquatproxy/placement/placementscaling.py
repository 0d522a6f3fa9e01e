"""Extra replicas by predicted demand, for backend servers that would be overloaded."""

import heapq

from kumquatproxy import records
from kumquatproxy.placement import placementeviction, placementlayout, placementplan

# A server above the overload utilisation is relieved down to the target utilisation,
# so its demand must grow by a third before it is relieved again. Without this gap,
# noise around a single threshold causes needless loads.
OVERLOAD_UTILISATION = 0.8
TARGET_UTILISATION = 0.6
# The target stays at least this margin above the mean utilisation, because otherwise no
# server could take demand. The overload bound stays at least this margin above the
# target.
UTILISATION_MARGIN = 0.1
MODEL_LOAD_COST = 1.0
ADAPTER_LOAD_COST = 0.1  # adapters take about 1% of a model's memory and load time
# Share of a server's capacity that one model load must relieve at equal weights.
MIN_GAIN_PER_LOAD = 0.05
MAX_GROUPS_PER_SERVER = 4  # groups with most demand tried on an overloaded server
MAX_EVICTION_SEARCHES = 6  # destinations without free memory searched for evictions
DISTRIBUTION_PASSES = 2


def water_fill(servers, rate) -> dict[str, float]:
    """Return the split of a rate that equalises the utilisation of the servers."""
    order = sorted(
        servers, key=lambda server: (server.utilisation(), server.backend_id)
    )
    capacity = load = 0.0
    utilisation = 0.0
    used = []
    for index, server in enumerate(order):
        capacity += server.capacity
        load += server.assigned_rate
        used.append(server)
        utilisation = (load + rate) / capacity
        if index + 1 == len(order) or utilisation <= order[index + 1].utilisation():
            break
    return {
        server.backend_id: max(
            utilisation * server.capacity - server.assigned_rate, 0.0
        )
        for server in used
    }


class DemandUnit:
    """Demand for one model version, or for one adapter on its default model version."""

    __slots__ = ("group", "item", "rate", "shares")

    def __init__(self, group, item, rate):
        self.group: placementlayout.VersionGroup = group
        self.item: records.Item = item
        self.rate: float = rate
        self.shares: dict[str, float] = {}


class Scaling:
    """Addition of replicas in one data centre within a budget of loads."""

    __slots__ = (
        "_centre",
        "_layout",
        "_overload_utilisation",
        "_target_utilisation",
        "_units_by_group",
        "_units_by_server",
        "_weights",
        "budget",
    )

    def __init__(self, layout, centre, rates, weights, budget):
        self._layout = layout
        self._centre: str = centre
        self._weights: dict[str, placementplan.Weights] = weights
        self.budget: int = budget
        self._target_utilisation: float = TARGET_UTILISATION
        self._overload_utilisation: float = OVERLOAD_UTILISATION
        self._units_by_group: dict[records.Item, list[DemandUnit]] = {}
        self._units_by_server: dict[str, dict[records.Item, DemandUnit]] = {}
        self._make_units(rates)

    def _make_units(self, rates):
        catalogue = self._layout.catalogue
        for item in sorted(rates, key=records.Item.key):
            group = catalogue.groups_by_item.get(item)
            if group is None:
                continue
            # The rate of the default version includes that of its adapters.
            own_rate = rates[item]
            units = []
            if item == group.versions[0]:
                for adapter in group.adapters:
                    rate = rates.get(adapter, 0.0)
                    own_rate -= rate
                    if rate > 0.0:
                        units.append(DemandUnit(group, adapter, rate))
            if own_rate > 0.0:
                units.append(DemandUnit(group, item, own_rate))
            if units:
                self._units_by_group[item] = units

    def _servers_of(self, unit):
        holders = self._layout.holders_in(unit.group.item, self._centre)
        return [server for server in holders.values() if unit.item in server.present]

    def distribute(self) -> None:
        """Split the demand over the replicas and set each server's assigned rate."""
        units = [unit for units in self._units_by_group.values() for unit in units]
        servers_by_unit = [(unit, self._servers_of(unit)) for unit in units]
        servers_by_unit.sort(key=lambda pair: (len(pair[1]), -pair[0].rate))
        for _ in range(DISTRIBUTION_PASSES):
            for unit, servers in servers_by_unit:
                self._distribute_unit(unit, servers)
        self._set_bounds()

    def _set_bounds(self):
        servers = [
            server
            for server in self._layout.servers_by_id.values()
            if server.is_usable and server.data_centre == self._centre
        ]
        mean = sum(s.assigned_rate for s in servers) / sum(s.capacity for s in servers)
        self._target_utilisation = max(TARGET_UTILISATION, mean + UTILISATION_MARGIN)
        self._overload_utilisation = max(
            OVERLOAD_UTILISATION, self._target_utilisation + UTILISATION_MARGIN
        )

    def _distribute_unit(self, unit, servers):
        for backend_id, share in unit.shares.items():
            self._layout.servers_by_id[backend_id].assigned_rate -= share
            del self._units_by_server[backend_id][unit.item]
        unit.shares = water_fill(servers, unit.rate) if servers else {}
        for backend_id, share in unit.shares.items():
            self._layout.servers_by_id[backend_id].assigned_rate += share
            self._units_by_server.setdefault(backend_id, {})[unit.item] = unit

    def run(self) -> None:
        """Relieve overloaded servers, the highest utilisation first."""
        heap: list[tuple[float, str]] = []
        for backend_id in self._units_by_server:
            server = self._layout.servers_by_id[backend_id]
            if server.utilisation() > self._overload_utilisation:
                heapq.heappush(heap, (-server.utilisation(), backend_id))
        while heap and self.budget > 0:
            _, backend_id = heapq.heappop(heap)
            server = self._layout.servers_by_id[backend_id]
            if server.utilisation() > self._target_utilisation and self._relieve(
                server
            ):
                heapq.heappush(heap, (-server.utilisation(), backend_id))

    def _relieve(self, server):
        """Move some demand away from a server; return whether it could be done."""
        shares: dict[records.Item, float] = {}
        for unit in self._units_by_server[server.backend_id].values():
            base = unit.group.item
            shares[base] = shares.get(base, 0.0) + unit.shares[server.backend_id]
        hottest = sorted(shares, key=lambda base: (-shares[base], base.key()))
        return any(
            self._add_replica(server, base, shares[base])
            for base in hottest[:MAX_GROUPS_PER_SERVER]
        )

    def _add_replica(self, server, base, share):
        layout = self._layout
        excess_rate = min(
            share, server.assigned_rate - self._target_utilisation * server.capacity
        )
        units = [
            unit
            for unit in self._units_by_group[base]
            if server.backend_id in unit.shares
        ]
        units.sort(key=lambda u: (-u.shares[server.backend_id], u.item.key()))
        items, moved_rate = [base], 0.0
        for unit in units:
            if moved_rate < excess_rate:
                moved_rate += unit.shares[server.backend_id]
                items += [unit.item] if unit.item != base else []
        group = layout.catalogue.groups_by_item[base]
        found = self._find_destination(
            group, items, server, min(moved_rate, excess_rate)
        )
        if found is None:
            return False
        new_server, evicted = found
        for other in evicted:
            text = f"makes room for {base.key()}, other replicas take its demand"
            placementeviction.evict(layout, new_server, other, text)
            self.redistribute_group(other)
        reason = (
            f"{server.backend_id} would be at {server.utilisation():.0%} of its "
            "capacity"
        )
        for item in layout.missing_items(new_server, items):
            layout.load(new_server, item, reason)
            self.budget -= 1
        self.redistribute_group(base)
        return True

    def redistribute_group(self, base: records.Item) -> None:
        """Redistribute the demand of a group after its replicas have changed."""
        for unit in self._units_by_group.get(base, ()):
            self._distribute_unit(unit, self._servers_of(unit))

    def _net_gain(self, group, gain, missing_items):
        """Return the gain less the cost of the loads, as a share of a server."""
        service = self._layout.catalogue.sheet.services_by_name[group.service]
        weights = self._weights.get(service.organisation, placementplan.Weights())
        cost = sum(
            MODEL_LOAD_COST if item.kind == "model" else ADAPTER_LOAD_COST
            for item in missing_items
        )
        return weights.attainment * gain - weights.move * MIN_GAIN_PER_LOAD * cost

    def _find_destination(self, group, items, server, moved_rate):
        """Return the best server for a replica and what it must evict, or None."""
        layout = self._layout
        hosts = {s.host for s in layout.holders_in(group.item, self._centre).values()}
        scored = []
        for other in self._candidates(group, items):
            headroom = self._target_utilisation * other.capacity - other.assigned_rate
            missing_items = layout.missing_items(other, items)
            if other is server or headroom <= 0.0 or not missing_items:
                continue
            gain = min(moved_rate, headroom) / server.capacity
            net_gain = self._net_gain(group, gain, missing_items)
            if net_gain <= 0.0 or len(missing_items) > self.budget:
                continue
            if not layout.has_no_open_unload(other, items):
                continue
            required_mb = layout.required_mb(other, items)
            needs_eviction = other.free_mb < required_mb
            score = (
                -round(net_gain, 2),
                needs_eviction,
                other.host in hosts,
                other.utilisation(),
            )
            scored.append((score, other.backend_id, required_mb))
        searches = 0
        for score, backend_id, required_mb in sorted(scored):
            other = layout.servers_by_id[backend_id]
            searches += score[1]
            if score[1] and searches > MAX_EVICTION_SEARCHES:
                continue
            evicted = self._find_evictions(other, required_mb, group.versions)
            if evicted is not None:
                return other, evicted
        return None

    def _candidates(self, group, items):
        layout = self._layout
        required_mb = sum(layout.catalogue.memory_by_item[item] for item in items)
        found = {
            server.backend_id: server
            for server in layout.sample_candidates(
                group.service, self._centre, required_mb
            )
        }
        found.update(layout.holders_in(group.item, self._centre))
        if len(found) < placementlayout.MAX_SAMPLED_SERVERS:
            any_servers = layout.sample_candidates(group.service, self._centre, 0)
            found.update({server.backend_id: server for server in any_servers})
        return found.values()

    def _find_evictions(self, server, required_mb, excluded_versions):
        if server.free_mb >= required_mb:
            return []
        return placementeviction.find_evictions(
            self._layout,
            server,
            required_mb,
            placementeviction.SAME_CENTRE,
            excluded_versions,
            self._can_evict,
        )

    def _can_evict(self, server, base):
        """Return whether the other replicas can take the demand without overload."""
        for unit in self._units_by_group.get(base, ()):
            share = unit.shares.get(server.backend_id, 0.0)
            headroom = sum(
                max(
                    self._target_utilisation * other.capacity - other.assigned_rate, 0.0
                )
                for other in self._servers_of(unit)
                if other is not server and unit.item in other.live
            )
            if share > headroom:
                return False
        return True
