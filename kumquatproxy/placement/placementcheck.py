"""Check of a plan by replaying its actions and listing every violated rule."""

import itertools

from kumquatproxy import records
from kumquatproxy.placement import placementplan


class Replay:
    """State of the backend servers while the actions of a plan are applied in order.

    The replay shares no code with the planners, so that it does not repeat their
    errors.
    """

    __slots__ = (
        "_holders",
        "_items_by_name",
        "_names_by_item",
        "_reserved_mb",
        "_servers",
        "_sheet",
        "_unloading",
        "loaded",
        "violations",
    )

    def __init__(self, sheet, backends, current):
        self._sheet = sheet
        self._servers = {server.backend_id: server for server in backends}
        self._reserved_mb = dict.fromkeys(self._servers, 0)
        self._unloading: set[tuple[str, records.Item]] = set()
        self.violations: list[str] = []
        self.loaded: dict[str, dict[records.Item, int]] = {
            backend_id: dict(current.loaded.get(backend_id, {}))
            for backend_id in self._servers
        }
        for intent in current.intents:
            if intent.backend_id not in self._servers:
                continue
            if intent.action == placementplan.UNLOAD:
                self._unloading.add((intent.backend_id, intent.item))
            elif intent.item not in self.loaded[intent.backend_id]:
                self._reserved_mb[intent.backend_id] += intent.memory_mb
        self._items_by_name = _listed_items_by_name(sheet)
        self._names_by_item: dict[records.Item, list[str]] = {}
        for name, listed_items in self._items_by_name.items():
            for item in listed_items:
                self._names_by_item.setdefault(item, []).append(name)
        self._holders: dict[records.Item, set[str]] = {}
        for backend_id, items in self.loaded.items():
            for item in items:
                self._add_holder(backend_id, item)
        for item in current.elsewhere:
            self._holders.setdefault(item, set()).add("elsewhere")

    def run(self, actions) -> list[str]:
        """Apply all actions; return the violations."""
        for index, action in enumerate(actions):
            _, lost_names = self.step(index, action)
            for name in sorted(lost_names):
                self._add_violation(index, action, f"{name} lost its last replica")
        return self.violations

    def step(self, index, action) -> tuple[set[str], set[str]]:
        """Apply one action; return the names that became reachable and unreachable."""
        names = self._names_by_item.get(action.item, [])
        reachable_before = {name for name in names if self._is_reachable(name)}
        self._apply(index, action)
        reachable_after = {name for name in names if self._is_reachable(name)}
        return reachable_after - reachable_before, reachable_before - reachable_after

    def reserve(self, index, action) -> None:
        """Reserve the memory of a load that starts; ``complete`` ends the load."""
        self._reserved_mb[action.backend_id] += action.memory_mb
        self._check_memory(index, action)

    def complete(self, index, action) -> None:
        """Apply a reserved load or an unload; record names that become unreachable."""
        if action.action == placementplan.LOAD:
            self._reserved_mb[action.backend_id] -= action.memory_mb
        _, lost_names = self.step(index, action)
        for name in sorted(lost_names):
            self._add_violation(index, action, f"{name} lost its last replica")

    def _check_memory(self, index, action):
        used_mb = sum(self.loaded[action.backend_id].values())
        used_mb += self._reserved_mb[action.backend_id]
        limit_mb = self._servers[action.backend_id].memory_mb
        if used_mb > limit_mb:
            self._add_violation(index, action, f"{used_mb} MB exceed {limit_mb} MB")

    def _apply(self, index, action):
        items = self.loaded.get(action.backend_id)
        if items is None:
            self._add_violation(index, action, "the backend server is unknown")
            return
        if action.action == placementplan.LOAD:
            if action.item in items:
                self._add_violation(index, action, "the item is already loaded")
            items[action.item] = action.memory_mb
            self._add_holder(action.backend_id, action.item)
            self._check_memory(index, action)
            if self._servers[action.backend_id].leaving:
                self._add_violation(index, action, "the backend server is leaving")
            return
        if items.pop(action.item, None) is None:
            self._add_violation(index, action, "the item is not loaded")
        self._holders.get(action.item, set()).discard(action.backend_id)

    def _add_violation(self, index, action, message):
        self.violations.append(f"action {index} ({action.describe()}): {message}")

    def reachable(self) -> set[str]:
        """Return the names that callers can use and that some server has loaded."""
        return {name for name in self._items_by_name if self._is_reachable(name)}

    def _is_reachable(self, name):
        base, *other_items = self._items_by_name[name]
        servers_with_all = self._holders.get(base, set())
        for item in other_items:
            servers_with_all = servers_with_all & self._holders.get(item, set())
        return bool(servers_with_all)

    def _add_holder(self, backend_id, item):
        """Add a holder unless its server is leaving or the item has an open unload."""
        if self._servers[backend_id].leaving or (backend_id, item) in self._unloading:
            return
        self._holders.setdefault(item, set()).add(backend_id)


def _listed_items_by_name(sheet):
    items_by_name: dict[str, tuple[records.Item, ...]] = {}
    for model in sheet.models_by_name.values():
        for version in model.versions:
            items_by_name[f"{model.name}@{version}"] = (model.item(version),)
    for adapter in sheet.adapters_by_name.values():
        model = sheet.models_by_name[adapter.model]
        for version in model.versions:
            name = f"{model.name}@{version}+{adapter.name}"
            items_by_name[name] = (model.item(version), adapter.item())
    return items_by_name


def check(sheet, backends, current, plan) -> list[str]:
    """Return every violation by a plan when its actions run in order."""
    replay = Replay(sheet, backends, current)
    violations = replay.run(plan.actions)
    loaded = {backend: set(items) for backend, items in replay.loaded.items()}
    for intent in current.intents:
        # An adapter load waits until its base model is loaded, so items with an open
        # load count as loaded.
        if intent.action == placementplan.LOAD and intent.backend_id in loaded:
            loaded[intent.backend_id].add(intent.item)
    violations += check_adapters(sheet, loaded, plan.actions)
    violations += check_timing(sheet, backends, current, plan.actions)
    return violations + check_store(sheet.weight_store, plan.actions)


def check_timing(sheet, backends, current, actions) -> list[str]:
    """Return every violation when actions run at their start times.

    Loads overlap: a load takes memory from its start and counts as a replica from its
    end.
    """
    store = sheet.weight_store
    durations = {"model": store.model_seconds, "adapter": store.adapter_seconds}
    # Start or end time, order at equal times, and index of the action. At equal times,
    # loads end (0) before unloads run (1) and loads start (2).
    events = []
    for index, action in enumerate(actions):
        if action.action == placementplan.UNLOAD:
            events.append((action.start_s, 1, index))
            continue
        events.append((action.start_s, 2, index))
        events.append((action.start_s + durations[action.item.kind], 0, index))
    replay = Replay(sheet, backends, current)
    for _, phase, index in sorted(events):
        if phase == 2:
            replay.reserve(index, actions[index])
        else:
            replay.complete(index, actions[index])
    return replay.violations


def check_adapters(sheet, loaded, actions) -> list[str]:
    """Return a violation for each adapter that is loaded without its base model.

    Only adapters that the actions load are checked, by the items in ``loaded`` on their
    server after all actions.
    """
    adapters_to_load = {
        (action.backend_id, action.item)
        for action in actions
        if action.item.kind == "adapter" and action.action == placementplan.LOAD
    }
    violations = []
    for backend_id, item in sorted(
        adapters_to_load,
        key=lambda pair: (pair[0], pair[1].key()),
    ):
        items = loaded[backend_id]
        adapter = sheet.adapters_by_name[item.name]
        model = sheet.models_by_name[adapter.model]
        bases = [model.item(version) for version in model.versions]
        if item in items and not any(base in items for base in bases):
            violations.append(f"{item.key()} on {backend_id} has no base model")
    return violations


def check_store(store, actions) -> list[str]:
    """Return the violations of the weight store's limits by the start times."""
    violations = []
    limits = {
        "model": (store.concurrent_loads, store.model_seconds),
        "adapter": (store.adapters_in_transit, store.adapter_seconds),
    }
    for kind, (limit, duration_s) in limits.items():
        starts = sorted(
            action.start_s
            for action in actions
            if action.action == placementplan.LOAD and action.item.kind == kind
        )
        for index in range(limit, len(starts)):
            if starts[index] < starts[index - limit] + duration_s - 1e-9:
                violations.append(f"more than {limit} loads of kind {kind} at once")
                break
        if kind == "model":
            gap_s = 1.0 / store.loads_per_second
            for earlier, later in itertools.pairwise(starts):
                if later < earlier + gap_s - 1e-9:
                    violations.append(f"loads start {later - earlier:.3f} s apart")
                    break
    return violations
