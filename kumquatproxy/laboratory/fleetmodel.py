"""Simulation of a fleet of model engines with the decision code of the hosts.

Engines run requests in steps: each step generates one token for every decoding request
and processes some prompt tokens. Models are loaded from the weight store, from disk or
from memory, and an unload waits for the requests of its model. Waiting, load shedding,
engine selection and placement use the code of the hosts. Of the hosts only the change
of the placement owner is simulated, of the network only the delay of orders.
``fleetscenarios`` describes requests, models and engines.
"""

import collections
import heapq
import itertools
import random

from kumquatproxy.fleet import (
    earlierloads,
    engineorders,
    engines,
    engineviews,
    entryhost,
    fleetdemand,
    longloads,
    modelplan,
    modelwants,
    placementpolicies,
    prefetching,
    servers,
    serviceconfig,
    storelimiter,
)
from kumquatproxy.gateway import serverselection, shedding, urgency, waiting
from kumquatproxy.laboratory import fleetengines

SERVICE = "engines"
OWNER = "owner"
MESSAGE_DELAY_S = 0.005
PLAN_S = 0.005  # processor time of a plan
REPORT_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 1.2
CHECK_INTERVAL_S = 0.2  # between checks of waiting calls and pending unloads
ORDER_DELAY_S = 0.05  # from a decision to its acceptance by the engine
SHARE_WINDOW_S = 2.0  # width of the windows for the worst-window share
MIN_REQUESTS = 4  # fewest requests for a model that can count as unserved
END_GRACE_S = 20.0  # simulated time after the last arrival


class Result:
    """Outcome of one run; shares are value served over value requested."""

    __slots__ = (
        "orders",
        "refused",
        "share",
        "store_loads",
        "unserved_models",
        "worst_kind_share",
        "worst_window_share",
    )

    def __init__(self, jobs, engine_loads):
        total_value = sum(job.kind.value for job in jobs)
        self.share: float = sum(job.value() for job in jobs) / total_value
        self.worst_kind_share: float = min(_shares(jobs, lambda job: job.kind.name))
        self.worst_window_share: float = min(
            _shares(jobs, lambda job: int(job.arrived_at / SHARE_WINDOW_S))
        )
        unanswered = [job for job in jobs if job.ended_at is None]
        # Share of requests without an answer: refused, dropped late or unfinished.
        self.refused: float = len(unanswered) / len(jobs)
        served = {job.model for job in jobs if job.ended_at is not None}
        requests_by_model = collections.Counter(job.model for job in jobs)
        frequent_models = {
            name for name, count in requests_by_model.items() if count >= MIN_REQUESTS
        }
        self.unserved_models: int = len(frequent_models - served)
        self.orders: int = len(engine_loads)
        self.store_loads: int = sum(1 for swap in engine_loads if swap.needs_store)


def _shares(jobs, key):
    totals: dict = {}
    for job in jobs:
        total = totals.setdefault(key(job), [0.0, 0.0])
        total[0] += job.value()
        total[1] += job.kind.value
    return [served / requested for served, requested in totals.values()]


def _announcement(engine):
    """Return what the heartbeat of an engine tells."""
    return servers.Announcement(
        engine.instance_id,
        SERVICE,
        engine.instance_id,
        "",
        engine.incarnation,
        models=[[name, "", []] for name in engine.loaded_models],
        in_memory=engine.in_memory,
        on_disk=engine.on_disk,
    )


def _state(engine):
    """Return what the owner knows of an engine that it has just asked."""
    state = engines.EngineState(_announcement(engine))
    report = engineorders.EngineReport(
        engine.loaded_models,
        [],
        0,
        engine.has_open_order,
        engine.in_memory,
        engine.on_disk,
    )
    state.apply_report(report)
    return state


class FleetModel:
    """Simulation of one scenario with a fixed seed."""

    def __init__(self, scenario, seed: int):
        self.scenario = scenario
        self.now = -scenario.warmup_s
        self.engines = scenario.engines()
        self.jobs: list[fleetengines.Job] = []
        self.swaps: list[engineviews.Swap] = []
        self._rng = random.Random(seed)
        self._spread_rng = random.Random(seed + 1)
        self._events: list = []
        self._order = itertools.count()
        self._waiting: list[fleetengines.Job] = []
        # Calls and prefill seconds since the last demand report.
        self._arrivals_by_model: dict[str, list[float]] = {}
        self._engine_config: serviceconfig.Engine = scenario.engine_config()
        self._load_policy: shedding.SteadyPolicy = shedding.LOAD_POLICIES.get(
            scenario.load_policy
        )(None)
        self._service = serviceconfig.Service(SERVICE, engine=self._engine_config)
        self._demand = fleetdemand.FleetDemand()
        self._store_limiter = storelimiter.StoreLoadLimiter(
            scenario.load_window_s, scenario.load_excess
        )
        self._load_history = earlierloads.LoadHistory(scenario.load_window_s)
        self._earlier_loads: earlierloads.EarlierLoads | None = None
        self._prefetcher = prefetching.Prefetcher(self.now)
        self._orders_paused_until = self.now
        self._placement_policy = placementpolicies.load(scenario.placement_policy)
        self._wants: modelwants.WantSender | None = None
        if scenario.placement_policy != placementpolicies.STEADY:
            self._wants = modelwants.WantSender()
            self._wants.greet(OWNER, self.now)
        self._plan_timer = modelwants.PlanTimer()

    def run(self) -> Result:
        """Run until ``END_GRACE_S`` after the last arrival and return the result."""
        for at, kind, model in self.scenario.arrivals(self._rng):
            self._schedule_at(at, self._arrive, kind, model)
        # Engines serve their initial models at once but are planned once discovered.
        for index, engine in enumerate(self.engines):
            engine.is_discovered = False
            discovered_at = self.now + self.scenario.first_engine_delay_s
            self._schedule_at(
                discovered_at + index * self.scenario.engine_interval_s,
                self._discover,
                engine,
            )
        for at, duration_s, index in self.scenario.crashes:
            self._schedule_at(at, self._crash, self.engines[index], duration_s, True)
        for at, duration_s, index in self.scenario.replacements:
            self._schedule_at(at, self._crash, self.engines[index], duration_s, False)
        for at, duration_s in self.scenario.owner_changes:
            self._schedule_at(at, self._pause_orders, duration_s)
        for interval_s, action in (
            (modelplan.PLAN_INTERVAL_S, self._plan),
            (REPORT_INTERVAL_S, self._report),
            (HEARTBEAT_INTERVAL_S, self._observe_engines),
            (CHECK_INTERVAL_S, self._dispatch_waiting),
        ):
            self._schedule_at(self.now, self._repeat, interval_s, action)
        end = self.scenario.duration_s + END_GRACE_S
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return Result(self.jobs, self.swaps)

    def _schedule_at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _repeat(self, interval_s, action):
        action()
        self._schedule_at(self.now + interval_s, self._repeat, interval_s, action)

    def _crash(self, engine, duration_s, keeps_disk):
        if not keeps_disk:
            engine.on_disk = []
        for job in engine.crash():
            job.engine = None
            job.remaining_prompt_tokens = job.prompt_tokens
            self._dispatch(job)
        self._schedule_at(self.now + duration_s, self._discover, engine)

    def _discover(self, engine):
        engine.is_discovered = True

    def _pause_orders(self, duration_s):
        """Pause orders until a new placement owner starts.

        It has no record of recent loads and assumes that their limit is used up. Under
        hard load it counts those that the engines show.
        """
        self._orders_paused_until = self.now + duration_s
        self._store_limiter = storelimiter.StoreLoadLimiter(
            self.scenario.load_window_s, self.scenario.load_excess
        )
        self._schedule_at(self._orders_paused_until, self._start_new_owner)

    def _start_new_owner(self):
        self._store_limiter.fill_window(self.scenario.loads_per_s, self.now)
        if self._wants is not None:
            self._earlier_loads = earlierloads.EarlierLoads(
                self._load_history, self.now
            )

    def _observe_engines(self):
        announcements = [_announcement(engine) for engine in self.engines]
        self._load_history.observe(announcements, self.now)

    def _count_earlier_loads(self):
        """Count the loads of the last owner that the engines show."""
        if self._earlier_loads is None:
            return
        if self._earlier_loads.is_over(self.now):
            self._earlier_loads = None
            return
        starts = self._earlier_loads.starts(
            [_state(engine) for engine in self.engines],
            min(model.store_load_s for model in self.scenario.models),
            self.now,
        )
        if starts is not None:
            self._store_limiter.replace_assumed(
                starts, earlierloads.RESERVED_SHARE, self._earlier_loads.ends_at
            )

    # Calls

    def _arrive(self, kind, model):
        prompt_tokens, output_tokens = kind.draw_tokens(self._rng)
        job = fleetengines.Job(kind, model, prompt_tokens, output_tokens, self.now)
        job.call.deadline -= self.scenario.draw_missing_s(kind, self._spread_rng)
        job.call.team = self.scenario.draw_team(self.now, self._spread_rng)
        self.jobs.append(job)
        self._count(job)
        self._load_policy.record_arrival(job.call, self.now)
        self._dispatch(job)

    def _count(self, job):
        tokens = job.prompt_tokens * self.scenario.prefill_time_factor(job.model)
        counts = self._arrivals_by_model.setdefault(job.model, [0.0, 0.0])
        counts[0] += 1
        counts[1] += tokens / serverselection.DEFAULT_PREFILL_TOKENS_PER_S

    def _dispatch(self, job):
        """Send a call to an engine, queue it or refuse it."""
        holders = [
            engine
            for engine in self.engines
            if job.model in engine.loaded_models and job.model not in engine.unloading
        ]
        if holders:
            best, outlook = self._best(job, holders)
            decision = self._load_policy.decide(
                job.call,
                outlook,
                waiting.CallState(),
                self.now,
                self._spread_rng.random,
            )
            if decision.error is not None:
                self._refuse(job, decision.error)
            elif decision.wait_s > 0.0:
                self._schedule_at(self.now + decision.wait_s, self._dispatch, job)
            else:
                self._start(job, best)
            return
        self._want(job)
        if job.wait_policy is None:
            job.wait_policy = waiting.WaitPolicy(job.call, self.now)
        decision = job.wait_policy.decide(
            None, self._expected_wait(job.model), self.now
        )
        if decision.error is not None:
            self._refuse(job, decision.error)
        elif job not in self._waiting:
            self._waiting.append(job)

    def _best(self, job, holders):
        """Return the engine with the least delay for a call, and its outlook."""
        if self.scenario.load_policy == shedding.STEADY:
            best = min(holders, key=lambda engine: engine.predicted_delay_s())
            return best, urgency.Outlook(0.0, 0.0, best.predicted_delay_s(), 0.0)
        level = self._load_policy.near_level(job.call, self.now) or 0
        outlooks = [(engine, engine.outlook(job.call, level)) for engine in holders]
        return min(outlooks, key=lambda entry: entry[1].ahead_s + entry[1].own_s)

    def _want(self, job):
        """Tell the owner of a call without an engine, unless a load is under way."""
        if self._wants is None or any(
            engine.loading == job.model for engine in self.engines
        ):
            return
        objective_s = job.kind.route.objective_s
        wanted = self._wants.want(OWNER, SERVICE, job.model, objective_s, self.now)
        if wanted is not None:
            self._schedule_at(self.now + MESSAGE_DELAY_S, self._receive_want, wanted)

    def _receive_want(self, wanted):
        self._demand.record_want("entry", wanted, self.now)
        wait_s = self._plan_timer.request(self.now)
        if wait_s is not None:
            self._schedule_at(self.now + wait_s, self._plan)

    def _expected_wait(self, name):
        load_ends = [
            engine.loading_until for engine in self.engines if engine.loading == name
        ]
        if load_ends:
            return waiting.ExpectedAvailability(max(0.0, min(load_ends) - self.now))
        # No load has begun: assume that one from disk begins now.
        model = self._engine_config.models_by_name[name]
        return waiting.ExpectedAvailability(
            model.disk_load_s + entryhost.SWAP_OVERHEAD_S,
            is_assumed=self._wants is None,
        )

    def _refuse(self, job, error):
        if job in self._waiting:
            self._waiting.remove(job)
        self._load_policy.end_wait(job.call, self.now)
        self._load_policy.end_call(job.call, self.now)
        self._load_policy.record_failed(job.call, self.now)
        job.refusals += 1
        job.wait_policy = None
        remaining_s = job.call.deadline - self.now
        if job.refusals <= job.kind.retries and remaining_s > 0:
            wait_s = min(error.retry_after_s or 0.0, remaining_s / 3.0)
            self._schedule_at(self.now + wait_s, self._retry, job)

    def _retry(self, job):
        # Hosts measure waiting from the arrival of each attempt.
        job.call.arrived_at = self.now
        self._count(job)
        self._load_policy.record_arrival(job.call, self.now)
        self._dispatch(job)

    def _dispatch_waiting(self):
        for job in list(self._waiting):
            self._dispatch(job)

    def _start(self, job, engine):
        if job in self._waiting:
            self._waiting.remove(job)
        job.engine = engine
        self._load_policy.end_wait(job.call, self.now)
        sent = serverselection.InFlightCall(engine.instance_id, job.prompt_tokens)
        self._load_policy.record_sent(job.call, sent, self.now)
        if self.scenario.load_policy != shedding.STEADY:
            job.level = sent.level
        if job.model in engine.models_with_cached_prefix:
            job.remaining_prompt_tokens = max(
                1.0, job.remaining_prompt_tokens - job.kind.shared_tokens
            )
        engine.models_with_cached_prefix.add(job.model)
        engine.jobs.append(job)
        if not engine.is_stepping:
            self._begin_step(engine)

    def _begin_step(self, engine):
        engine.is_stepping = True
        ends_at, decoding = engine.step(self.now)
        self._schedule_at(ends_at, self._end_step, engine, engine.incarnation, decoding)

    def _end_step(self, engine, incarnation, decoding):
        if incarnation != engine.incarnation:
            return
        for job in decoding:
            if job.first_token_at is None:
                job.first_token_at = self.now
            job.remaining_output_tokens -= 1
            if job.remaining_output_tokens <= 0:
                job.ended_at = self.now
                engine.jobs.remove(job)
                self._load_policy.end_call(job.call, self.now)
        late = [job for job in engine.jobs if job.call.deadline < self.now]
        for job in late:
            engine.jobs.remove(job)
            self._load_policy.end_call(job.call, self.now)
        if engine.jobs:
            self._begin_step(engine)
        else:
            engine.is_stepping = False

    # Demand and placement

    def _report(self):
        waiting_by_model: dict[str, int] = {}
        for job in self._waiting:
            waiting_by_model[job.model] = waiting_by_model.get(job.model, 0) + 1
        names = {*self._arrivals_by_model, *waiting_by_model}
        needs = [
            [SERVICE, name, "", *self._arrivals_by_model.get(name, (0, 0.0)), 0]
            for name in sorted(names)
        ]
        for need in needs:
            need[-1] = waiting_by_model.get(need[1], 0)
        self._arrivals_by_model = {}
        self._demand.report("entry", {}, needs, self.now)

    def _plan(self):
        if self.now < self._orders_paused_until:
            return
        self._count_earlier_loads()
        views = [self._view(engine) for engine in self.engines if engine.is_discovered]
        if not self._demand.has_demand():
            swaps = self._prefetcher.swaps(
                self._service, views, self._allows_store_load, self.now
            )
        else:
            self._plan_timer.record_plan(self.now, PLAN_S)
            planner = modelplan.Planner(
                self._service, views, self._demand, self.now, self._placement_policy
            )
            swaps = planner.swaps(self._allows_store_load)
        engines_by_id = {engine.instance_id: engine for engine in self.engines}
        for swap in swaps:
            self._begin_swap(engines_by_id[swap.instance_id], swap)

    def _allows_store_load(self):
        return self._store_limiter.allows(self.scenario.loads_per_s, self.now)

    def _view(self, engine):
        models = set(engine.loaded_models)
        if engine.loading:
            models.add(engine.loading)
        remaining_s = engine.loading_until - self.now if engine.loading else 0.0
        return engineviews.EngineView(
            engine.instance_id,
            models,
            engine.in_memory,
            engine.on_disk,
            not engine.has_open_order,
            self.scenario.adapters_mb,
            engine.loaded_at_by_model,
            engine.loading if remaining_s > longloads.LONG_LOAD_S else "",
            len(engine.jobs),
        )

    def _begin_swap(self, engine, swap):
        self.swaps.append(swap)
        if swap.needs_store:
            self._store_limiter.record_load(self.now)
        engine.has_open_order = True
        engine.loading = swap.load
        engine.loading_until = self.now + swap.load_s
        engine.unloading = set(swap.unload)
        self._schedule_at(
            self.now + ORDER_DELAY_S, self._unload, engine, engine.incarnation, swap
        )

    def _unload(self, engine, incarnation, swap):
        """Unload the evicted models once their requests have ended, then load."""
        if incarnation != engine.incarnation:
            return
        if any(job.model in engine.unloading for job in engine.jobs):
            self._schedule_at(
                self.now + CHECK_INTERVAL_S, self._unload, engine, incarnation, swap
            )
            return
        engine.loaded_models -= engine.unloading
        engine.loading_until = self.now + swap.load_s
        # The end of a load is noticed half a check interval later on average.
        loaded_at = self.now + swap.load_s + CHECK_INTERVAL_S / 2
        self._schedule_at(loaded_at, self._loaded, engine, incarnation, swap)

    def _loaded(self, engine, incarnation, swap):
        if incarnation != engine.incarnation:
            return
        engine.loaded_models.add(swap.load)
        engine.record_copy(swap.load)
        engine.loaded_at_by_model[swap.load] = self.now
        engine.loading = ""
        engine.unloading = set()
        engine.has_open_order = False
        self._dispatch_waiting()
