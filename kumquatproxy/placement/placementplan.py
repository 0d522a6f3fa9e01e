"""Records of placement plans, the registry of planners and the scheduling of loads."""

import heapq

from kumquatproxy import records, registry

PLANNERS = registry.Registry("planner")
"""Planner classes by alias."""

LOAD = "load"
UNLOAD = "unload"


class Intent(records.Record):
    """One open order, whose effect no report shows yet."""

    __slots__ = ("action", "backend_id", "item", "memory_mb")

    def __init__(self, action, backend_id, item, memory_mb):
        self.action: str = action  # LOAD or UNLOAD
        self.backend_id: str = backend_id
        self.item: records.Item = item
        self.memory_mb: int = memory_mb


class CurrentPlacement(records.Record):
    """The placement as it is: loaded items and open intents.

    ``elsewhere`` gives, by item, the data centres that have it loaded, other than
    those of the planned backend servers. ``data_centres`` names all data centres.
    """

    __slots__ = ("data_centres", "elsewhere", "intents", "loaded", "move_budget")

    def __init__(
        self,
        loaded=None,
        intents=(),
        elsewhere=None,
        move_budget=1000,
        data_centres=(),
    ):
        self.loaded: dict[str, dict[records.Item, int]] = loaded or {}
        self.intents: tuple[Intent, ...] = tuple(intents)
        self.elsewhere: dict[records.Item, tuple[str, ...]] = elsewhere or {}
        # Limits loads that only serve demand, not those that restore a lost replica.
        self.move_budget: int = move_budget
        self.data_centres: tuple[str, ...] = tuple(data_centres)


class Weights(records.Record):
    """Weights of one organisation in the choice of replicas for demand.

    ``attainment`` multiplies the load taken off an overloaded server, ``move`` the cost
    of the loads.
    """

    __slots__ = ("attainment", "move")

    def __init__(self, attainment=1.0, move=1.0):
        self.attainment: float = attainment
        self.move: float = move


def weights_of(parsed) -> dict[str, Weights]:
    """Return the weights that a sheet sets, by organisation."""
    return {
        entry.name: Weights(entry.attainment_weight, entry.move_weight)
        for entry in parsed.organisations_by_name.values()
    }


class Action(records.Record):
    """Load or unload of one item on one backend server.

    ``after`` holds the indices of the actions whose effect a report must show first,
    as ``start_s`` assumes; placement control does not read it. ``start_s`` is the
    earliest start, in seconds after the plan, that the limits of the weight store
    allow.
    """

    __slots__ = (
        "action",
        "after",
        "backend_id",
        "item",
        "memory_mb",
        "reason",
        "start_s",
    )

    def __init__(self, action, backend_id, item, memory_mb, reason):
        self.action: str = action
        self.backend_id: str = backend_id
        self.item: records.Item = item
        self.memory_mb: int = memory_mb
        self.reason: str = reason
        self.after: tuple[int, ...] = ()
        self.start_s: float = 0.0

    def describe(self) -> str:
        """Return a description of the action with its reason."""
        key = self.item.key()
        return f"place: {self.action} {key} on {self.backend_id}: {self.reason}"


class NotFitting(records.Record):
    """An item without a replica in a data centre, and the reason.

    An empty ``data_centre`` stands for all data centres.
    """

    __slots__ = ("data_centre", "item", "missing_mb", "reason")

    def __init__(self, item, data_centre, missing_mb, reason):
        self.item: records.Item = item
        self.data_centre: str = data_centre
        self.missing_mb: int = missing_mb
        self.reason: str = reason


class Plan(records.Record):
    """The target placement and the actions that lead to it, in order."""

    __slots__ = ("actions", "not_fitting", "target")

    def __init__(self, target, actions, not_fitting):
        self.target: dict[str, frozenset[records.Item]] = target
        self.actions: tuple[Action, ...] = tuple(actions)
        self.not_fitting: tuple[NotFitting, ...] = tuple(not_fitting)

    def moves(self) -> int:
        """Return the number of loads in the plan."""
        return sum(1 for action in self.actions if action.action == LOAD)


class DemandLoadBudget:
    """Rate limit of ``limit`` per ``interval_s`` for loads that only serve demand.

    It applies only as far as the caller subtracts loads by ``spend``.
    """

    __slots__ = ("_available", "_interval_s", "_limit", "_updated_at")

    def __init__(self, limit, interval_s, now):
        self._limit: int = limit
        self._interval_s: float = interval_s
        self._available: float = limit
        self._updated_at: float = now

    def available(self, now: float) -> int:
        """Return how many loads may be started at ``now``."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        refill = elapsed_s * self._limit / self._interval_s
        self._available = min(self._limit, self._available + refill)
        return int(self._available)

    def spend(self, loads: int) -> None:
        """Subtract a number of loads from the budget."""
        self._available -= loads


class Planner:
    """Base class of planners, which decide what is loaded where."""

    def plan(self, sheet, backends, demand, current, weights) -> Plan:
        """Return the plan for a sheet and the backend servers.

        ``demand`` gives the predicted rate by data centre and item; the rate of a
        model's default version includes that of its adapters. ``weights`` gives the
        ``Weights`` by organisation.
        """
        raise NotImplementedError


def schedule(
    actions, store, counterparts=None, open_model_loads=0, open_adapter_loads=0
) -> None:
    """Set ``after`` and ``start_s`` of the actions within the weight store's limits.

    ``counterparts`` gives the adapters of each model version and the versions of each
    adapter. A replica is complete only when both are loaded, so an unload of one also
    waits for loads of the other. ``store`` has the fields of ``sheet.WeightStore``.
    Open loads are assumed to take one full load time from now.
    """
    schedulers_by_kind = {
        "model": _LoadScheduler(
            store.concurrent_loads,
            store.loads_per_second,
            store.model_seconds,
            open_model_loads,
        ),
        "adapter": _LoadScheduler(
            store.adapters_in_transit, None, store.adapter_seconds, open_adapter_loads
        ),
    }
    end_times_s: list[float] = []
    loads_by_item: dict[records.Item, list[int]] = {}
    unloads_by_backend: dict[str, list[int]] = {}
    loads_by_backend: dict[str, list[int]] = {}
    for index, action in enumerate(actions):
        earlier_unloads = unloads_by_backend.setdefault(action.backend_id, [])
        earlier_loads = loads_by_item.setdefault(action.item, [])
        if action.action == LOAD:
            after = list(earlier_unloads)
            backend_loads = loads_by_backend.setdefault(action.backend_id, [])
            if action.item.kind == "adapter":
                after += [i for i in backend_loads if actions[i].item.kind == "model"]
            backend_loads.append(index)
            earlier_loads.append(index)
        else:
            after = earlier_loads + earlier_unloads
            for counterpart in (counterparts or {}).get(action.item, ()):
                after += loads_by_item.get(counterpart, [])
            earlier_unloads.append(index)
        ready_s = max((end_times_s[i] for i in after), default=0.0)
        action.after = tuple(sorted(set(after)))
        action.start_s = ready_s
        if action.action == LOAD:
            action.start_s, end_s = schedulers_by_kind[action.item.kind].schedule_load(
                ready_s
            )
            end_times_s.append(end_s)
        else:
            end_times_s.append(ready_s)


class _LoadScheduler:
    """Assignment of start times within a concurrency limit and a rate limit."""

    __slots__ = ("_duration_s", "_free_at", "_min_gap_s", "_next_start_s")

    def __init__(self, limit, rate, duration_s, open_loads):
        free_at = [0.0] * max(limit - open_loads, 0) + [duration_s] * min(
            open_loads, limit
        )
        self._free_at: list[float] = free_at
        self._min_gap_s: float = 1.0 / rate if rate else 0.0
        self._duration_s: float = duration_s
        # The placement owner's token bucket starts empty, so the first load waits.
        self._next_start_s: float = self._min_gap_s

    def schedule_load(self, ready_s):
        start_s = max(ready_s, self._free_at[0], self._next_start_s)
        end_s = start_s + self._duration_s
        heapq.heapreplace(self._free_at, end_s)
        self._next_start_s = start_s + self._min_gap_s
        return start_s, end_s
