"""Working state of a planner: the items that each backend server would hold."""

import bisect

from kumquatproxy import records
from kumquatproxy.placement import placementplan

# Number of servers sampled evenly from all with enough free memory, so that the cost of
# a choice does not grow with the number of servers.
MAX_SAMPLED_SERVERS = 24
MAX_FIT_SERVERS = 8  # enough to find a server on another host


class VersionGroup(records.Record):
    """One model version with the adapters of the model."""

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
        # All versions of the model, which share its adapters; the first is the default.
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
    """Contents of a sheet that a planner needs, by item."""

    __slots__ = (
        "groups",
        "groups_by_item",
        "memory_by_item",
        "sheet",
        "versions_by_adapter",
    )

    def __init__(self, sheet):
        self.sheet = sheet
        self.memory_by_item: dict[records.Item, int] = sheet.memory_by_item()
        self.groups: list[VersionGroup] = []
        self.groups_by_item: dict[records.Item, VersionGroup] = {}
        self.versions_by_adapter: dict[records.Item, tuple[records.Item, ...]] = {}
        adapters: dict[str, list[records.Item]] = {}
        for adapter in sheet.adapters_by_name.values():
            adapters.setdefault(adapter.model, []).append(adapter.item())
        for model in sheet.models_by_name.values():
            own = adapters.get(model.name, [])
            versions = tuple(model.item(version) for version in model.versions)
            for item in versions:
                group = VersionGroup(item, model, versions, own, self.memory_by_item)
                self.groups.append(group)
                self.groups_by_item[item] = group
            for adapter in own:
                self.versions_by_adapter[adapter] = versions

    def counterparts(self) -> dict[records.Item, tuple[records.Item, ...]]:
        """Return the adapters by model version and the versions by adapter."""
        adapters = {group.item: group.adapters for group in self.groups}
        return {**adapters, **self.versions_by_adapter}

    def service_of(self, item: records.Item) -> str:
        """Return the service of a listed item."""
        base = self.versions_by_adapter[item][0] if item.kind == "adapter" else item
        return self.groups_by_item[base].service


class PlannedServer:
    """State of one backend server while a plan is made."""

    __slots__ = (
        "assigned_rate",
        "backend_id",
        "capacity",
        "data_centre",
        "free_mb",
        "host",
        "is_usable",
        "live",
        "memory_mb",
        "present",
        "service",
        "unloading",
    )

    def __init__(self, server, capacity):
        self.backend_id: str = server.backend_id
        self.data_centre: str = server.data_centre
        self.service: str = server.service
        self.host: str = server.address.rpartition(":")[0]
        self.is_usable: bool = server.kind == "engine" and not server.leaving
        self.memory_mb: int = server.memory_mb
        self.free_mb: int = server.memory_mb
        self.capacity: float = capacity  # in the unit of ``assigned_rate``
        self.assigned_rate: float = 0.0  # predicted demand, tokens per second
        # Items that are loaded, or will be by an open load intent or this plan.
        self.present: dict[records.Item, int] = {}
        # ``present`` without the items of open load intents, which may still fail.
        self.live: set[records.Item] = set()
        # Items with an open unload; they hold memory until a report shows them gone.
        self.unloading: set[records.Item] = set()

    def utilisation(self) -> float:
        """Return the assigned rate as a share of the capacity."""
        return self.assigned_rate / self.capacity


class Layout:
    """State of all backend servers, and the actions of the plan so far.

    ``load`` and ``unload`` change the state immediately, so that no action overcommits
    memory and a plan can be executed in the order in which it was made.
    """

    def __init__(self, catalogue, backends, current, rate_per_accelerator=1.0):
        self.catalogue: Catalogue = catalogue
        self.elsewhere = current.elsewhere
        self.all_data_centres = current.data_centres
        self.actions: list[placementplan.Action] = []
        self.servers_by_id: dict[str, PlannedServer] = {}
        self.holders: dict[records.Item, dict[str, dict[str, PlannedServer]]] = {}
        self.free_memory_index: dict[tuple[str, str], list[tuple[int, str]]] = {}
        for backend in sorted(backends, key=lambda backend: backend.backend_id):
            capacity = max(backend.accelerators, 1) * rate_per_accelerator
            self.servers_by_id[backend.backend_id] = PlannedServer(backend, capacity)
        self._apply_current(current)
        for server in self.servers_by_id.values():
            if server.is_usable:
                key = (server.service, server.data_centre)
                bisect.insort(
                    self.free_memory_index.setdefault(key, []),
                    (server.free_mb, server.backend_id),
                )

    def _apply_current(self, current):
        pending = []
        for intent in current.intents:
            server = self.servers_by_id.get(intent.backend_id)
            if server is None:
                continue
            if intent.action == placementplan.UNLOAD:
                server.unloading.add(intent.item)
            elif intent.item not in current.loaded.get(intent.backend_id, ()):
                server.free_mb -= intent.memory_mb
                pending.append(intent)
        for backend_id, memory_by_item in sorted(current.loaded.items()):
            server = self.servers_by_id.get(backend_id)
            if server is None:
                continue
            for item in sorted(memory_by_item, key=records.Item.key):
                server.free_mb -= memory_by_item[item]
                if item not in server.unloading:
                    server.present[item] = memory_by_item[item]
                    server.live.add(item)
                    self._add_holder(server, item)
        for intent in pending:
            server = self.servers_by_id[intent.backend_id]
            if intent.item not in server.unloading:
                server.present[intent.item] = intent.memory_mb
                self._add_holder(server, intent.item)

    def counts_as_replica(self, server: PlannedServer, item: records.Item) -> bool:
        """Return whether a server is usable and of the item's service in the sheet."""
        if not server.is_usable or item not in self.catalogue.memory_by_item:
            return False
        return server.service == self.catalogue.service_of(item)

    def _add_holder(self, server, item):
        if self.counts_as_replica(server, item):
            by_centre = self.holders.setdefault(item, {})
            by_centre.setdefault(server.data_centre, {})[server.backend_id] = server

    def _set_free_mb(self, server, free_mb):
        if server.is_usable:
            index = self.free_memory_index[server.service, server.data_centre]
            del index[bisect.bisect_left(index, (server.free_mb, server.backend_id))]
            bisect.insort(index, (free_mb, server.backend_id))
        server.free_mb = free_mb

    def load(self, server: PlannedServer, item: records.Item, reason: str) -> None:
        """Append a load of an item; the caller has checked that it fits."""
        memory_mb = self.catalogue.memory_by_item[item]
        if memory_mb > server.free_mb:
            raise ValueError(f"{item.key()} does not fit on {server.backend_id}")
        self._set_free_mb(server, server.free_mb - memory_mb)
        server.present[item] = memory_mb
        server.live.add(item)
        self._add_holder(server, item)
        self._append(placementplan.LOAD, server, item, memory_mb, reason)

    def unload(self, server: PlannedServer, item: records.Item, reason: str) -> None:
        """Append an unload of an item that is live on the server."""
        memory_mb = server.present.pop(item)
        server.live.discard(item)
        self.holders.get(item, {}).get(server.data_centre, {}).pop(
            server.backend_id, None
        )
        self._set_free_mb(server, server.free_mb + memory_mb)
        self._append(placementplan.UNLOAD, server, item, memory_mb, reason)

    def _append(self, action, server, item, memory_mb, reason):
        self.actions.append(
            placementplan.Action(action, server.backend_id, item, memory_mb, reason)
        )

    def data_centres(self, service: str) -> list[str]:
        """Return the data centres with usable backend servers of a service."""
        return sorted(
            centre for name, centre in self.free_memory_index if name == service
        )

    def holders_in(
        self, item: records.Item, data_centre: str
    ) -> dict[str, PlannedServer]:
        """Return the backend servers of a data centre that hold an item."""
        return self.holders.get(item, {}).get(data_centre, {})

    def centres_of(self, item: records.Item) -> set[str]:
        """Return the data centres that hold an item, planned here or elsewhere."""
        held = {
            centre for centre, servers in self.holders.get(item, {}).items() if servers
        }
        return held | set(self.elsewhere.get(item, ()))

    def largest_free_share(self, service: str, data_centre: str) -> float:
        """Return the free share of the memory of the server with most free memory."""
        free_mb, backend_id = self.free_memory_index[service, data_centre][-1]
        return free_mb / max(self.servers_by_id[backend_id].memory_mb, 1)

    def sample_candidates(
        self, service, data_centre, required_mb
    ) -> list[PlannedServer]:
        """Return a sample of servers with ``required_mb`` free, most free last."""
        index = self.free_memory_index.get((service, data_centre), [])
        first = bisect.bisect_left(index, (required_mb, ""))
        count = len(index) - first
        if count <= MAX_SAMPLED_SERVERS:
            picked = index[first:]
        else:
            picked = [
                index[first + (i + 1) * count // MAX_SAMPLED_SERVERS - 1]
                for i in range(MAX_SAMPLED_SERVERS)
            ]
        return [self.servers_by_id[backend_id] for _, backend_id in picked]

    def fit_candidates(
        self, service, data_centre, required_mb, most_free
    ) -> list[PlannedServer]:
        """Return up to ``MAX_FIT_SERVERS`` servers with enough free memory.

        They are those with the most free memory, or else those with the least.
        """
        index = self.free_memory_index.get((service, data_centre), [])
        first = bisect.bisect_left(index, (required_mb, ""))
        picked = index[first : first + MAX_FIT_SERVERS]
        if most_free:
            picked = index[max(first, len(index) - MAX_FIT_SERVERS) :]
        return [self.servers_by_id[backend_id] for _, backend_id in picked]

    def usable_servers(self, service: str, data_centre: str) -> list[PlannedServer]:
        """Return every usable backend server, most free first."""
        index = self.free_memory_index.get((service, data_centre), [])
        return [self.servers_by_id[backend_id] for _, backend_id in reversed(index)]

    def hosts_of(self, item: records.Item) -> set[str]:
        """Return the host addresses of the backend servers that hold an item."""
        by_centre = self.holders.get(item, {})
        return {
            server.host for servers in by_centre.values() for server in servers.values()
        }

    def required_mb(self, server: PlannedServer, items) -> int:
        """Return the memory that the items need on a server beyond what is present."""
        memory = self.catalogue.memory_by_item
        return sum(memory[item] for item in items if item not in server.present)

    def missing_items(self, server: PlannedServer, items) -> list[records.Item]:
        """Return the items that are neither loaded on a server nor ordered for it."""
        return [item for item in items if item not in server.present]

    def has_no_open_unload(self, server: PlannedServer, items) -> bool:
        """Return whether no item has an open unload on the server."""
        return server.unloading.isdisjoint(items)

    def target(self) -> dict[str, frozenset[records.Item]]:
        """Return the items on each backend server after all actions."""
        return {
            backend_id: frozenset(server.present)
            for backend_id, server in self.servers_by_id.items()
        }
