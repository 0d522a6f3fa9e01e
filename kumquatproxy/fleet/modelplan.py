"""Planner of model swaps: which model to load at which engine, and what to evict.

Traffic pattern: there are more models than fit into the engines' memory. A few models
get most of the calls, the others are requested once in a while, and the popular ones
change within seconds. A swap is rated over a short horizon: by the number of calls that
meet their latency objective because of it, less the number that miss theirs because of
it. Popular models get several replicas, and the others share the remaining memory in
turns.
"""

import math

from kumquatproxy.fleet import engineviews, latecalls, longloads

# Time within which a swap must pay off, since demand shifts after a few seconds.
HORIZON_S = 5.0
# Cost of a load, as the number of calls that must meet their objective because of it. A
# load from the store blocks its engine for about as long as demand stays with a model.
# This matters less on little used engines: its cost rises with the mean utilisation of
# the engines up to FULL_COST_UTILISATION.
STORE_LOAD_COST_CALLS = 7.0
CACHED_LOAD_COST_CALLS = 0.05
FULL_COST_UTILISATION = 0.4
# The cost of a store load falls linearly to that of a cached one while its model is
# unavailable, over this time.
REDUCED_COST_AFTER_S = longloads.LONG_UNAVAILABLE_S
# A more recently loaded replica is not evicted, as its load has not paid off yet.
MIN_RESIDENCE_S = 2.0
# Call rate that one waiting call counts as, per second.
WAITING_CALL_RATE = 0.5
# Estimated drain time of an unload: this factor times the logarithm of one plus the
# calls in flight.
DRAIN_S = 6.0
# Most replicas of one model that a plan adds while its engines are overloaded.
MAX_NEW_REPLICAS = 4
# Below this utilisation of its engines a model needs no further replica.
SCALE_UP_UTILISATION = 0.5
# Share of the calls that are late if their model must be loaded first: a base plus a
# share for each second of the load.
RELOAD_LATE_BASE = 0.1
RELOAD_LATE_PER_S = 0.2
# Share of a model's calls that an additional replica is worth even if none is late.
EXTRA_REPLICA_SHARE = 0.01
# The long average counts only up to this rate: it keeps rarely called models in the
# estimate, but does not make a formerly popular model look popular.
MAX_REMEMBERED_RATE = 0.4
# A plan considers the most urgent models: as many as there are engines, but at least
# this number, as the most urgent ones may have no possible swap for a while.
MIN_CANDIDATES = 12
# Once a plan has evaluated this many pairs of a model and an engine, at about 20 us
# each, it considers no further model.
MAX_EVALUATIONS = 2500

# Plans are made every PLAN_INTERVAL_S, as demand shifts within seconds, or less often
# if they would take more than MAX_PLAN_CPU_SHARE of a core, as the same process answers
# heartbeats.
PLAN_INTERVAL_S = 0.1
MAX_PLAN_CPU_SHARE = 0.05


def next_plan_in_s(duration_s: float) -> float:
    """Return the time until the next plan, given how long the last one took."""
    return max(PLAN_INTERVAL_S, duration_s / MAX_PLAN_CPU_SHARE)


class SteadyPolicy:
    """Rate loads for engines on which a load takes about as long as demand lasts."""

    __slots__ = ()

    def load_cost_calls(
        self,
        load_s: float,
        needs_store: bool,
        is_held: bool,
        unavailable_s: float,
        mean_utilisation: float,
    ) -> float:
        """Return the cost of a load in calls, lower for a long unavailable model."""
        if not needs_store:
            return CACHED_LOAD_COST_CALLS
        remaining_share = max(0.0, 1.0 - unavailable_s / REDUCED_COST_AFTER_S)
        utilisation_share = min(1.0, mean_utilisation / FULL_COST_UTILISATION)
        return max(
            CACHED_LOAD_COST_CALLS,
            STORE_LOAD_COST_CALLS * remaining_share * utilisation_share,
        )

    def missing_rate(
        self, demand: engineviews.DemandView, late_share: float, load_s: float
    ) -> float:
        """Return the rate of calls that gain from a load of a model nothing holds.

        ``late_share`` is that of its calls while nothing holds it.
        """
        return demand.rate + WAITING_CALL_RATE * demand.waiting

    def resident_rate(self, rate: float, adapter_count: int) -> float:
        """Return the call rate that a resident model counts as."""
        return rate

    def first_in_centre_factor(self) -> float:
        """Return the factor for the gain of a model's first replica in a data centre.

        It is at least 1, and counts if another data centre has a replica.
        """
        return 1.0

    def extra_replica_share(self, is_last_in_centre: bool) -> float:
        """Return the share of a model's calls that one of several replicas is worth."""
        return EXTRA_REPLICA_SHARE


class Planner:
    """Decide on model swaps for the engines of one service."""

    def __init__(
        self,
        service,
        views: list[engineviews.EngineView],
        demand,
        now: float,
        policy: SteadyPolicy | None = None,
    ):
        self._policy = policy or SteadyPolicy()
        self._engine = service.engine
        self._views = views
        self._view_by_id = {view.instance_id: view for view in views}
        self._now = now
        self._holders_by_model: dict[str, list[engineviews.EngineView]] = {}
        self.evaluation_count = 0  # pairs of a model and an engine so far
        self._long_load_models = [
            view.long_load_model for view in views if view.long_load_model
        ]
        for view in views:
            for name in sorted(view.models):
                self._holders_by_model.setdefault(name, []).append(view)
        self._demand_by_model: dict[str, engineviews.DemandView] = {}
        warmup_factor = demand.warmup_factor(now)
        waiting_by_model = demand.waiting(service.name, now)
        for name in self._engine.models_by_name:
            model_demand = demand.get(service.name, name, now)
            rate = max(
                model_demand.rate * warmup_factor,
                min(model_demand.long_rate, MAX_REMEMBERED_RATE),
            )
            is_held = name in self._holders_by_model
            unavailable_s = demand.unavailable_s(service.name, name, is_held, now)
            is_lasting = model_demand.long_rate >= longloads.LASTING_RATE_RATIO * rate
            offered_load = model_demand.offered_load * warmup_factor
            self._demand_by_model[name] = engineviews.DemandView(
                rate,
                offered_load,
                waiting_by_model[name],
                unavailable_s,
                is_lasting,
                demand.wants.time_left_s(service.name, name, now),
            )
        # By engine and memory of the model that is to be loaded.
        self._evictions_by_id: dict[str, dict[float, engineviews.Eviction | None]] = {}
        self._ranked_evictions_by_mb: dict[
            float, list[tuple[engineviews.Eviction, engineviews.EngineView]]
        ] = {}
        self._cached_views_by_model: dict[str, list[engineviews.EngineView]] = {}
        for view in views:
            for name in view.in_memory | view.on_disk:
                self._cached_views_by_model.setdefault(name, []).append(view)
        self._utilisation_by_id: dict[str, float] = {}
        self._utilisation_by_model: dict[str, float] = {}
        self._distribute_offered_load()

    def _distribute_offered_load(self):
        """Distribute the offered load of each model over its engines like routing."""
        self._utilisation_by_id = {view.instance_id: 0.0 for view in self._views}
        ranked_names = sorted(
            self._holders_by_model, key=lambda name: len(self._holders_by_model[name])
        )
        for name in ranked_names:
            demand = self._demand_by_model.get(name)
            ids = [view.instance_id for view in self._holders_by_model[name]]
            if demand is None or not ids:
                continue
            utilisation = latecalls.balanced_utilisation(
                [self._utilisation_by_id[instance_id] for instance_id in ids],
                demand.offered_load,
            )
            for instance_id in ids:
                self._utilisation_by_id[instance_id] = max(
                    self._utilisation_by_id[instance_id], utilisation
                )
        for name, holders in self._holders_by_model.items():
            utilisations = [
                self._utilisation_by_id[view.instance_id] for view in holders
            ]
            self._utilisation_by_model[name] = min(utilisations, default=0.0)
        self._mean_utilisation = sum(self._utilisation_by_id.values()) / len(
            self._views
        )

    def overview(self) -> dict:
        """Return replicas, utilisation, offered load, rate, waiting calls by model."""
        rows = {}
        for name, demand in self._demand_by_model.items():
            replica_count = len(self._holders_by_model.get(name, ()))
            if replica_count or demand.rate > 0.0:
                utilisation = self._utilisation_by_model.get(name, 0.0)
                figures = (utilisation, demand.offered_load, demand.rate)
                rows[name] = [
                    replica_count,
                    *(round(figure, 2) for figure in figures),
                    demand.waiting,
                ]
        return rows

    def swaps(self, store_allows) -> list[engineviews.Swap]:
        """Return the swaps to start now; ``store_allows()`` limits store loads."""
        swaps: list[engineviews.Swap] = []
        used_ids: set[str] = set()
        for name in self._ranked_models():
            if self.evaluation_count >= MAX_EVALUATIONS:
                break
            for _ in range(MAX_NEW_REPLICAS):
                swap = self._next_swap(name, used_ids, store_allows)
                if swap is None:
                    break
                swaps.append(swap)
                used_ids.add(swap.instance_id)
                self._add_replica(name, swap)
                if self._utilisation_by_model[name] <= latecalls.FULL_UTILISATION:
                    break
        return swaps

    def _next_swap(self, name, used_ids, store_allows):
        """Return the best swap for a model if it may start now, or None."""
        swap = self._best_swap(self._engine.models_by_name[name], used_ids)
        if swap is None or (swap.needs_store and not store_allows()):
            return None
        if swap.load_s > longloads.LONG_LOAD_S:
            if not self._may_start_long_load(name):
                return None
            self._long_load_models.append(name)
        return swap

    def _add_replica(self, name, swap):
        """Apply a swap to the state, so that later swaps are rated against it."""
        view = self._view_by_id[swap.instance_id]
        model = self._engine.models_by_name[name]
        eviction = self._eviction(view, model.memory_mb)
        utilisation = self._utilisation_after_adding(eviction.utilisation, name)
        for victim in swap.unload:
            for holder in self._holders_by_model[victim]:
                self._evictions_by_id.pop(holder.instance_id, None)
            self._holders_by_model[victim].remove(view)
        holders = self._holders_by_model.setdefault(name, [])
        holders.append(view)
        for holder in holders:
            self._utilisation_by_id[holder.instance_id] = utilisation
        self._utilisation_by_model[name] = utilisation

    def _utilisation_after_adding(self, utilisation_here, name):
        """Return the utilisation of a model's engines once one more holds it.

        Routing balances the load until all of its engines are equally utilised.
        """
        holders = self._holders_by_model.get(name)
        if not holders:
            return utilisation_here + self._demand_by_model[name].offered_load
        utilisations = [self._utilisation_by_id[view.instance_id] for view in holders]
        return (sum(utilisations) + utilisation_here) / (len(utilisations) + 1)

    def _may_start_long_load(self, name):
        is_rare_model = longloads.is_rare(self._demand_by_model[name])
        similar = [
            model
            for model in self._long_load_models
            if longloads.is_rare(self._demand_by_model.get(model)) == is_rare_model
        ]
        long_load = longloads.LongLoad(
            self._demand_by_model[name],
            bool(self._holders_by_model.get(name)),
            name in self._cached_views_by_model,
            self._utilisation_by_model.get(name, 0.0),
            self._mean_utilisation,
            len(similar),
            len(self._views),
        )
        return longloads.may_start(long_load)

    def _ranked_models(self):
        """Return the models that need a replica, the most urgent one first."""
        ranked = []
        for name, demand in self._demand_by_model.items():
            if demand.rate <= 0.0 and not demand.waiting:
                continue
            if not self._holders_by_model.get(name):
                model = self._engine.models_by_name[name]
                missing_rate = self._missing_rate(name, model.disk_load_s)
                ranked.append((-missing_rate, name))
            elif self._utilisation_by_model[name] > SCALE_UP_UTILISATION:
                late_rate = demand.rate * latecalls.late_share(
                    self._utilisation_by_model[name], len(self._holders_by_model[name])
                )
                ranked.append((-late_rate, name))
        max_count = max(MIN_CANDIDATES, len(self._views))
        return [name for _, name in sorted(ranked)[:max_count]]

    def _missing_rate(self, name, load_s):
        """Return the rate of calls that gain from a load of a model nothing holds."""
        model = self._engine.models_by_name[name]
        late_share = _reload_late_share(model.disk_load_s)
        demand = self._demand_by_model[name]
        return self._policy.missing_rate(demand, late_share, load_s)

    def _best_swap(self, model, used_ids):
        """Return the swap with the highest net gain that loads a model, or None."""
        best = None
        for view in self._cached_views_by_model.get(model.name, ()):
            is_excluded = view.instance_id in used_ids or model.name in view.models
            if view.is_usable and not is_excluded:
                best = self._better_swap(best, view, model)
        # Skip engines where a load from the store cannot have a higher net gain.
        max_gain = self._max_gain(model)
        discount = self._discounted_gain(1.0, model.store_load_s)
        load_cost = self._load_cost(model.name, model.store_load_s, True)
        min_added_late_rate = self._min_added_late_rate_function(model)
        for eviction, view in self._ranked_evictions(model.memory_mb):
            required_gain = ((best[0] if best else 0.0) + load_cost) / discount
            required_gain += eviction.added_late_rate * HORIZON_S / discount
            if max_gain <= required_gain:
                break  # evictions at the remaining engines cost more
            if max_gain - min_added_late_rate(eviction) <= required_gain:
                continue
            is_excluded = view.instance_id in used_ids or model.name in view.models
            if not is_excluded and view.needs_store(model.name):
                best = self._better_swap(best, view, model)
        return best[1] if best is not None else None

    def _better_swap(self, best, view, model):
        """Return the better of ``best`` and the (net gain, swap) at an engine."""
        eviction = self._eviction(view, model.memory_mb)
        if eviction is None:
            return best
        self.evaluation_count += 1
        load_s = view.load_s(model)
        needs_store = view.needs_store(model.name)
        net_gain = self._discounted_gain(
            self._gain(view, model, eviction), load_s + eviction.drain_s
        )
        net_gain -= eviction.added_late_rate * HORIZON_S + self._load_cost(
            model.name, load_s, needs_store
        )
        if net_gain <= 0.0 or (best is not None and net_gain <= best[0]):
            return best
        swap = engineviews.Swap(
            view.instance_id, model.name, eviction.victims, load_s, needs_store
        )
        return net_gain, swap

    def _discounted_gain(self, gain, delay_s):
        """Return the calls gained within the horizon, discounted by a delay."""
        return gain * HORIZON_S / (1.0 + delay_s / HORIZON_S)

    def _load_cost(self, name, load_s, needs_store):
        """Return the cost of a load in calls."""
        return self._policy.load_cost_calls(
            load_s,
            needs_store,
            bool(self._holders_by_model.get(name)),
            self._demand_by_model[name].unavailable_s,
            self._mean_utilisation,
        )

    def _gain(self, view, model, eviction):
        """Return the rate of calls that a replica here saves from being late."""
        demand = self._demand_by_model[model.name]
        if not self._holders_by_model.get(model.name):
            missing_rate = self._missing_rate(model.name, view.load_s(model))
            return missing_rate * (1.0 - eviction.late_share)
        utilisation_after = self._utilisation_after_adding(
            eviction.utilisation, model.name
        )
        if utilisation_after >= self._utilisation_by_model[model.name]:
            return 0.0
        call_rate_at_engine = (
            eviction.utilisation / demand.engine_s_per_call
            if demand.engine_s_per_call
            else 0.0
        )
        delayed_rate = call_rate_at_engine * (
            latecalls.late_share(utilisation_after) - eviction.late_share
        )
        gain = max(
            0.0,
            self._on_time_gain(model.name, utilisation_after) - max(0.0, delayed_rate),
        )
        if self._has_replica_in_centre(model.name, view):
            return gain
        return gain * self._policy.first_in_centre_factor()

    def _has_replica_in_centre(self, name, view):
        """Return whether an engine of the data centre, except this one, has a model."""
        return any(
            holder.data_centre == view.data_centre
            for holder in self._holders_by_model.get(name, ())
            if holder is not view
        )

    def _on_time_gain(self, name, utilisation_after):
        """Return the rate of calls that one more replica saves from being late.

        ``utilisation_after`` is the utilisation of the model's engines with it.
        """
        count = len(self._holders_by_model[name])
        before = latecalls.late_share(self._utilisation_by_model[name], count)
        late_share = latecalls.late_share(utilisation_after, count + 1)
        return self._demand_by_model[name].rate * (before - late_share)

    def _max_gain(self, model):
        """Return the gain of a store load at an engine without other load."""
        if not self._holders_by_model.get(model.name):
            return self._missing_rate(model.name, model.store_load_s)
        gain = max(
            0.0,
            self._on_time_gain(
                model.name, self._utilisation_after_adding(0.0, model.name)
            ),
        )
        return gain * self._policy.first_in_centre_factor()

    def _min_added_late_rate_function(self, model):
        """Return a function from an eviction to a lower bound of its added late calls.

        The function is cheap, as it is called for each engine and model of a plan.
        """
        demand = self._demand_by_model[model.name]
        if not self._holders_by_model.get(model.name):
            gain = self._missing_rate(model.name, model.store_load_s)
            return lambda eviction: gain * eviction.late_share
        if not demand.engine_s_per_call:
            return lambda eviction: 0.0
        utilisation_after = self._utilisation_after_adding(0.0, model.name)
        late_share = latecalls.late_share(utilisation_after)
        full_call_rate = 1.0 / demand.engine_s_per_call
        # At an engine of at least this utilisation, a further replica would not lower
        # the utilisation of the model's engines.
        count = len(self._holders_by_model[model.name]) + 1
        max_utilisation = count * (
            self._utilisation_by_model[model.name] - utilisation_after
        )

        def min_added_late_rate(eviction):
            if eviction.utilisation >= max_utilisation:
                return math.inf
            return (
                eviction.utilisation
                * full_call_rate
                * max(0.0, late_share - eviction.late_share)
            )

        return min_added_late_rate

    def _drain_s(self, view, victims):
        """Return how long the victims' calls in flight take to end at an engine."""
        if not victims or not view.in_flight:
            return 0.0
        rates = {name: self._rate_per_replica(name) for name in view.models}
        total = sum(rates.values())
        if total <= 0.0:
            return 0.0
        count = view.in_flight * sum(rates[name] for name in victims) / total
        return DRAIN_S * math.log1p(count)

    def _rate_per_replica(self, name):
        """Return the calls per second of one replica of a model."""
        demand = self._demand_by_model.get(name)
        holders = self._holders_by_model.get(name)
        return demand.rate / len(holders) if demand and holders else 0.0

    def _offered_load_per_replica(self, name):
        """Return the offered load of one replica, in engine seconds per second."""
        demand = self._demand_by_model.get(name)
        holders = self._holders_by_model.get(name)
        return demand.offered_load / len(holders) if demand and holders else 0.0

    def _ranked_evictions(self, memory_mb):
        """Return (eviction, view) of usable engines, fewest added late calls first.

        The list is computed once per plan and memory size. Swaps added to the plan
        later do not change it.
        """
        evictions = self._ranked_evictions_by_mb.get(memory_mb)
        if evictions is None:
            evictions = []
            for view in self._views:
                eviction = self._eviction(view, memory_mb) if view.is_usable else None
                if eviction is not None:
                    evictions.append((eviction, view))
            evictions.sort(key=lambda pair: pair[0].added_late_rate)
            self._ranked_evictions_by_mb[memory_mb] = evictions
        return evictions

    def _eviction(self, view, memory_mb):
        """Return the eviction that frees memory at an engine, or None if none does."""
        evictions = self._evictions_by_id.setdefault(view.instance_id, {})
        if memory_mb not in evictions:
            evictions[memory_mb] = self._select_eviction(view, memory_mb)
        return evictions[memory_mb]

    def _select_eviction(self, view, memory_mb):
        added_late_rate_by_name = {
            name: self._added_late_rate(view, name) for name in view.models
        }
        ranked = sorted(
            view.models, key=lambda name: (added_late_rate_by_name[name], name)
        )
        victims = view.select_victims(self._engine, memory_mb, ranked)
        if victims is None or any(
            self._is_recently_loaded(view, name) for name in victims
        ):
            return None
        added_late_rate = sum(added_late_rate_by_name[name] for name in victims)
        freed_load = sum(self._offered_load_per_replica(name) for name in victims)
        utilisation = max(0.0, self._utilisation_by_id[view.instance_id] - freed_load)
        late_share = latecalls.late_share(utilisation)
        drain_s = self._drain_s(view, victims)
        return engineviews.Eviction(
            victims, added_late_rate, utilisation, late_share, drain_s
        )

    def _is_recently_loaded(self, view, name):
        return self._now - view.loaded_at_by_model.get(name, -1e9) < MIN_RESIDENCE_S

    def _added_late_rate(self, view, name):
        """Return the calls per second that are late because a replica is evicted."""
        demand = self._demand_by_model.get(name)
        if demand is None:
            return 0.0
        if self._is_recently_loaded(view, name):
            return 1e9
        holders = self._holders_by_model[name]
        if len(holders) > 1:
            utilisation = self._utilisation_by_model[name]
            utilisation_after = utilisation + self._offered_load_per_replica(name) / (
                len(holders) - 1
            )
            count = len(holders)
            added_late_share = latecalls.late_share(
                utilisation_after, count - 1
            ) - latecalls.late_share(utilisation, count)
            is_last_in_centre = not self._has_replica_in_centre(name, view)
            return demand.rate * (
                added_late_share + self._policy.extra_replica_share(is_last_in_centre)
            )
        model = self._engine.models_by_name[name]
        # Assume that some engine has the model cached by then, so that loading it again
        # takes no longer than from disk.
        reload_s = min(model.disk_load_s, view.load_s(model))
        rate = demand.rate + WAITING_CALL_RATE * demand.waiting
        rate = self._policy.resident_rate(rate, model.adapter_count)
        return rate * _reload_late_share(reload_s)


def _reload_late_share(reload_s):
    """Return the share of a model's calls that are late once nothing holds it."""
    return min(1.0, RELOAD_LATE_BASE + RELOAD_LATE_PER_S * reload_s)
