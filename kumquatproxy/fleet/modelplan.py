"""Which model to load where next, and what to give up for it.

Load pattern: there are more models than places; a few take most of the load, others
are asked for once in a while, and which ones these are moves within seconds. A swap is
worth the calls that it brings in time, less those that it makes late, over the next
seconds. Models that take much of the load get several replicas, and the others take
turns in the places that are left.

The weights are the best of those tried on the fleet model (docs/decisions-fleet.md).
"""

import math

from kumquatproxy.fleet import engineviews, lateness, longloads

# Time over which a swap must pay, in seconds: demand moves on after a while.
HORIZON_S = 5.0
# Calls that a load must bring in time. One from the store keeps its engine from other
# orders for as long as demand stays, the less so the idler the engines are on average,
# up to the level at which the whole price is asked.
STORE_LOAD_CALLS = 7.0
COPY_LOAD_CALLS = 0.05
FULL_PRICE_LEVEL = 0.4
# A model that has been missing for this long is loaded at no price.
PATIENCE_S = longloads.MAX_MISSING_S
# A replica that was loaded this recently is not given up: it has not paid its load.
MIN_STAY_S = 2.0
# Calls per second that a waiting call counts as.
WAITING_RATE = 0.5
# Time that one call keeps a model from being unloaded, for the estimate of how long an
# unload waits: it grows with the logarithm of the calls in flight.
DRAIN_S = 6.0
# A plan adds so many replicas of one model at most, while its engines are beyond full.
MAX_REPLICAS = 4
# A model whose engines are less busy than this needs no further replica.
CALM_LEVEL = 0.5
# Share of the calls for a model that are late if it must be loaded for them first.
RELOAD_LATE_BASE = 0.1
RELOAD_LATE_PER_S = 0.2
# Share of a model's calls that a further replica is worth even where all are calm.
REPLICA_SHARE = 0.01
# Calls per second that the long average may stand for: it remembers rare models, not
# that a model was busy until a moment ago.
RARE_RATE_MEMORY = 0.4
# Models looked at in one plan, as many as engines but at least these, the most urgent
# first: those may have to wait for long, and the others must not wait behind them.
MIN_CANDIDATES = 12
# Pairs of a model and an engine weighed in one plan, at about 20 us each.
MAX_WEIGHED = 2500

# A plan is made this often, or so rarely that plans take at most this share of a core:
# demand moves within seconds, and the owner must answer heartbeats in between.
PLAN_INTERVAL_S = 0.1
PLAN_SHARE = 0.05


def pause_s(took_s: float) -> float:
    """Return the time from one plan to the next, by how long the last one took."""
    return max(PLAN_INTERVAL_S, took_s / PLAN_SHARE)


class Planner:
    """Decide on swaps for the engines of one service."""

    def __init__(
        self, service, views: list[engineviews.EngineView], demand, now: float
    ):
        self._engine = service.engine
        self._views = views
        self._view_by_id = {view.instance_id: view for view in views}
        self._now = now
        self._holders: dict[str, list[engineviews.EngineView]] = {}
        self.weighed = 0  # pairs of a model and an engine
        self._long_loads = [view.long_load for view in views if view.long_load]
        for view in views:
            for name in sorted(view.models):
                self._holders.setdefault(name, []).append(view)
        self._loads: dict[str, engineviews.Load] = {}
        ramp = demand.ramp(now)
        waiting_by_model = demand.waiting(service.name, now)
        for name in self._engine.models_by_name:
            known = demand.get(service.name, name, now)
            rate = max(known.rate * ramp, min(known.long_rate, RARE_RATE_MEMORY))
            is_held = name in self._holders
            missing_s = demand.missing_s(service.name, name, is_held, now)
            lasts = known.long_rate >= longloads.LASTING_SHARE * rate
            work = known.work * ramp
            self._loads[name] = engineviews.Load(
                rate, work, waiting_by_model[name], missing_s, lasts
            )
        # By engine and size of the model that room is made for.
        self._rooms_by_id: dict[str, dict[float, engineviews.Room | None]] = {}
        self._rooms_by_mb: dict[
            float, list[tuple[engineviews.Room, engineviews.EngineView]]
        ] = {}
        self._copies: dict[str, list[engineviews.EngineView]] = {}
        for view in views:
            for name in view.in_memory | view.on_disk:
                self._copies.setdefault(name, []).append(view)
        self._levels: dict[str, float] = {}
        self._level_by_model: dict[str, float] = {}
        self._spread_work()

    def _spread_work(self):
        """Spread the work of each model over its engines, as routing does."""
        self._levels = {view.instance_id: 0.0 for view in self._views}
        order = sorted(self._holders, key=lambda name: len(self._holders[name]))
        for name in order:
            load = self._loads.get(name)
            ids = [view.instance_id for view in self._holders[name]]
            if load is None or not ids:
                continue
            level = lateness.fill_level([self._levels[one] for one in ids], load.work)
            for one in ids:
                self._levels[one] = max(self._levels[one], level)
        for name, holders in self._holders.items():
            levels = [self._levels[view.instance_id] for view in holders]
            self._level_by_model[name] = min(levels, default=0.0)
        self._mean_level = sum(self._levels.values()) / len(self._views)

    def overview(self) -> dict:
        """Return replicas, level, work, rate and waiting calls by model."""
        rows = {}
        for name, load in self._loads.items():
            have = len(self._holders.get(name, ()))
            if have or load.rate > 0.0:
                level = self._level_by_model.get(name, 0.0)
                numbers = (level, load.work, load.rate)
                rows[name] = [have, *(round(one, 2) for one in numbers), load.waiting]
        return rows

    def swaps(self, store_allows) -> list[engineviews.Swap]:
        """Return the swaps to begin now; ``store_allows()`` limits store loads."""
        swaps: list[engineviews.Swap] = []
        used: set[str] = set()
        for name in self._wanted():
            if self.weighed >= MAX_WEIGHED:
                break
            for _ in range(MAX_REPLICAS):
                swap = self._next_swap(name, used, store_allows)
                if swap is None:
                    break
                swaps.append(swap)
                used.add(swap.instance_id)
                self._add_replica(name, swap)
                if self._level_by_model[name] <= lateness.FULL_LEVEL:
                    break
        return swaps

    def _next_swap(self, name, used, store_allows):
        """Return the best swap for a model if it may begin now, or None."""
        swap = self._best_swap(self._engine.models_by_name[name], used)
        if swap is None or (swap.needs_store and not store_allows()):
            return None
        if swap.takes_s > longloads.LONG_LOAD_S:
            if not self._may_load_long(name):
                return None
            self._long_loads.append(name)
        return swap

    def _add_replica(self, name, swap):
        """Count a swap as done, so that the next one is weighed against it."""
        view = self._view_by_id[swap.instance_id]
        model = self._engine.models_by_name[name]
        room = self._room(view, model.memory_mb)
        level = self._level_after(room.level, name)
        for victim in swap.unload:
            for holder in self._holders[victim]:
                self._rooms_by_id.pop(holder.instance_id, None)
            self._holders[victim].remove(view)
        holders = self._holders.setdefault(name, [])
        holders.append(view)
        for holder in holders:
            self._levels[holder.instance_id] = level
        self._level_by_model[name] = level

    def _level_after(self, level_here, name):
        """Return the level of a model's engines once one more holds it.

        The work moves until the engines are as busy as each other.
        """
        holders = self._holders.get(name)
        if not holders:
            return level_here + self._loads[name].work
        levels = [self._levels[one.instance_id] for one in holders]
        return (sum(levels) + level_here) / (len(levels) + 1)

    def _may_load_long(self, name):
        rare = longloads.is_rare(self._loads[name])
        alike = [
            one
            for one in self._long_loads
            if longloads.is_rare(self._loads.get(one)) == rare
        ]
        case = longloads.Case(
            self._loads[name],
            bool(self._holders.get(name)),
            name in self._copies,
            self._level_by_model.get(name, 0.0),
            self._mean_level,
            len(alike),
            len(self._views),
        )
        return longloads.may_begin(case)

    def _wanted(self):
        """Return the models that lack replicas, the most urgent one first."""
        lacking = []
        for name, load in self._loads.items():
            if load.rate <= 0.0 and not load.waiting:
                continue
            if not self._holders.get(name):
                lacking.append((-self._missing_gain(load), name))
            elif self._level_by_model[name] > CALM_LEVEL:
                late = load.rate * lateness.late_share(
                    self._level_by_model[name], len(self._holders[name])
                )
                lacking.append((-late, name))
        most = max(MIN_CANDIDATES, len(self._views))
        return [name for _, name in sorted(lacking)[:most]]

    def _missing_gain(self, load):
        return load.rate + WAITING_RATE * load.waiting

    def _best_swap(self, model, used):
        """Return the swap of the highest value that makes room for a model, or None."""
        best = None
        for view in self._copies.get(model.name, ()):
            taken = view.instance_id in used or model.name in view.models
            if view.is_idle and not taken:
                best = self._better(best, view, model)
        # Engines are left out where a load from the store cannot be worth more.
        most = self._most_gain(model)
        scale = self._value(1.0, model.store_load_s)
        price = self._price(model.name, True)
        least_harm = self._least_harm(model)
        for room, view in self._rooms(model.memory_mb):
            needed = ((best[0] if best else 0.0) + price) / scale
            needed += room.lost * HORIZON_S / scale
            if most <= needed:
                break  # the others lose more
            if most - least_harm(room) <= needed:
                continue
            taken = view.instance_id in used or model.name in view.models
            if not taken and view.needs_store(model.name):
                best = self._better(best, view, model)
        return best[1] if best is not None else None

    def _better(self, best, view, model):
        """Return the better one of a (value, swap) and the swap at an engine."""
        room = self._room(view, model.memory_mb)
        if room is None:
            return best
        self.weighed += 1
        takes_s = view.load_s(model)
        needs_store = view.needs_store(model.name)
        value = self._value(self._gain(view, model, room), takes_s + room.drain_s)
        value -= room.lost * HORIZON_S + self._price(model.name, needs_store)
        if value <= 0.0 or (best is not None and value <= best[0]):
            return best
        swap = engineviews.Swap(
            view.instance_id, model.name, room.victims, takes_s, needs_store
        )
        return value, swap

    def _value(self, gain, takes_s):
        """Return the calls brought in time; a longer load pays for a shorter time."""
        return gain * HORIZON_S / (1.0 + takes_s / HORIZON_S)

    def _price(self, name, needs_store):
        """Return the calls that a load must bring, less for a model long missing."""
        if not needs_store:
            return COPY_LOAD_CALLS
        missing_s = self._loads[name].missing_s
        left = max(0.0, 1.0 - missing_s / PATIENCE_S)
        busy = min(1.0, self._mean_level / FULL_PRICE_LEVEL)
        return max(COPY_LOAD_CALLS, STORE_LOAD_CALLS * left * busy)

    def _gain(self, view, model, room):
        """Return the calls per second that a replica here brings in time."""
        load = self._loads[model.name]
        if not self._holders.get(model.name):
            return self._missing_gain(load) * (1.0 - room.late)
        after = self._level_after(room.level, model.name)
        if after >= self._level_by_model[model.name]:
            return 0.0
        calls_here = room.level / load.call_work if load.call_work else 0.0
        harmed = calls_here * (lateness.late_share(after) - room.late)
        return max(0.0, self._relieved(model.name, after) - max(0.0, harmed))

    def _relieved(self, name, after):
        """Return the calls per second in time once one more engine holds a model.

        ``after`` is the level of its engines then.
        """
        count = len(self._holders[name])
        before = lateness.late_share(self._level_by_model[name], count)
        late = lateness.late_share(after, count + 1)
        return self._loads[name].rate * (before - late)

    def _most_gain(self, model):
        """Return what a replica brings in time at an engine without other work."""
        if not self._holders.get(model.name):
            return self._missing_gain(self._loads[model.name])
        return max(0.0, self._relieved(model.name, self._level_after(0.0, model.name)))

    def _least_harm(self, model):
        """Return a function of the calls that a replica makes late somewhere at least.

        It is cheap, as it is asked for each engine and each model of a plan.
        """
        load = self._loads[model.name]
        if not self._holders.get(model.name):
            gain = self._missing_gain(load)
            return lambda room: gain * room.late
        if not load.call_work:
            return lambda room: 0.0
        after = self._level_after(0.0, model.name)
        late = lateness.late_share(after)
        rate = 1.0 / load.call_work
        # An engine as busy as this takes no work over.
        count = len(self._holders[model.name]) + 1
        most_level = count * (self._level_by_model[model.name] - after)

        def least_harm(room):
            if room.level >= most_level:
                return math.inf
            return room.level * rate * max(0.0, late - room.late)

        return least_harm

    def _drain_s(self, view, victims):
        """Return how long the calls of some models take to end at an engine."""
        if not victims or not view.calls:
            return 0.0
        rates = {name: self._rate_at(name) for name in view.models}
        total = sum(rates.values())
        if total <= 0.0:
            return 0.0
        count = view.calls * sum(rates[name] for name in victims) / total
        return DRAIN_S * math.log1p(count)

    def _rate_at(self, name):
        """Return the calls per second that one replica of a model gets."""
        load = self._loads.get(name)
        holders = self._holders.get(name)
        return load.rate / len(holders) if load and holders else 0.0

    def _work_at(self, name):
        """Return the work that one replica of a model takes."""
        load = self._loads.get(name)
        holders = self._holders.get(name)
        return load.work / len(holders) if load and holders else 0.0

    def _rooms(self, memory_mb):
        """Return (room, engine) of idle engines that can make room, least loss first.

        The rooms are those at the first call of a plan.
        """
        rooms = self._rooms_by_mb.get(memory_mb)
        if rooms is None:
            rooms = []
            for view in self._views:
                room = self._room(view, memory_mb) if view.is_idle else None
                if room is not None:
                    rooms.append((room, view))
            rooms.sort(key=lambda one: one[0].lost)
            self._rooms_by_mb[memory_mb] = rooms
        return rooms

    def _room(self, view, memory_mb):
        """Return how an engine makes room for a model, or None if it cannot."""
        rooms = self._rooms_by_id.setdefault(view.instance_id, {})
        if memory_mb not in rooms:
            rooms[memory_mb] = self._find_room(view, memory_mb)
        return rooms[memory_mb]

    def _find_room(self, view, memory_mb):
        loss_by_name = {name: self._loss(view, name) for name in view.models}
        ranked = sorted(view.models, key=lambda name: (loss_by_name[name], name))
        victims = view.make_room(self._engine, memory_mb, ranked)
        if victims is None or any(self._stays(view, name) for name in victims):
            return None
        lost = sum(loss_by_name[name] for name in victims)
        freed = sum(self._work_at(name) for name in victims)
        level = max(0.0, self._levels[view.instance_id] - freed)
        late = lateness.late_share(level)
        drain_s = self._drain_s(view, victims)
        return engineviews.Room(victims, lost, level, late, drain_s)

    def _stays(self, view, name):
        return self._now - view.loaded_at_by_model.get(name, -1e9) < MIN_STAY_S

    def _loss(self, view, name):
        """Return the calls per second that giving up a replica makes late."""
        load = self._loads.get(name)
        if load is None:
            return 0.0
        if self._stays(view, name):
            return 1e9
        holders = self._holders[name]
        if len(holders) > 1:
            level = self._level_by_model[name]
            after = level + self._work_at(name) / (len(holders) - 1)
            count = len(holders)
            late = lateness.late_share(after, count - 1) - lateness.late_share(
                level, count
            )
            return load.rate * (late + REPLICA_SHARE)
        model = self._engine.models_by_name[name]
        # The model can be loaded again from a copy, here or where it is now.
        reload_s = min(model.disk_load_s, view.load_s(model))
        late = min(1.0, RELOAD_LATE_BASE + RELOAD_LATE_PER_S * reload_s)
        return (load.rate + WAITING_RATE * load.waiting) * late
