"""Orders to engines, given by the host that is the owner of orders."""

import math

import gevent

from kumquatproxy import clock, errors, logs, tasks
from kumquatproxy.fleet import (
    earlierloads,
    engineclient,
    engineorders,
    engines,
    engineviews,
    fleetdemand,
    fleethost,
    fleetmessages,
    fleetstate,
    longloads,
    modelplan,
    modelwants,
    placementpolicies,
    prefetching,
    replicas,
    servers,
    storeconcurrency,
    storelimiter,
)

TICK_INTERVAL_S = 0.1
PUSH_INTERVAL_S = 0.25
OWNERSHIP_TIMEOUT_S = 1.0
EXPECTED_END_STEP_S = 0.5  # smallest change of a load's expected end that is pushed
OVERVIEW_INTERVAL_S = 2.0  # between log lines with demand and replicas by model
# Time between telling entry hosts to route calls away from a model and its unload.
ROUTE_AWAY_S = 0.06
# Under hard load, a model that gets fewer calls a second is unloaded without that time:
# the engine refuses the call that arrives meanwhile, which is sent elsewhere.
ROUTE_AWAY_CALLS_PER_S = 0.5
# Under hard load, waits before the attempts at a load that follows an unload. The
# engine refuses it while the unload waits for calls of its model.
FOLLOW_WAITS_S = (0.02, 0.02, 0.02, 0.05)
# The policy for hard load stays in force this long after a host has asked for it.
HARD_LOAD_KEPT_S = 60.0
# Interval at which an engine is polled for the completion of an order.
POLL_INTERVAL_S = 0.2
# Interval at which an engine is polled while a load is not expected to have ended yet.
LOAD_CHECK_INTERVAL_S = 1.5
# Share of a server's limit that polls use. Orders and reports count like calls.
POLL_SHARE = 0.25
# Longest wait of an order or a report for its turn at a server with a limit, or for the
# end of a pause.
MAX_TURN_WAIT_S = 10.0
# Timeout of an unload, which waits until the calls of its model have ended.
UNLOAD_TIMEOUT_S = 20.0
LOAD_MARGIN_S = 12.0  # added to three times the expected time of a load
ENGINE_RETRY_S = 1.0
# Reports lag behind the engine by up to a few hundred milliseconds.
MAX_REPORT_AGE_S = 0.4
# A more recently requested adapter is not evicted for another one.
MIN_ADAPTER_UNREQUESTED_S = 0.4
MAX_ADAPTER_ATTEMPTS = 3

_SUCCESSFUL = (
    engineorders.OrderOutcome.ACCEPTED,
    engineorders.OrderOutcome.ALREADY_DONE,
)


class PlanDue:
    """Tell the task to plan because of calls that wait for a model."""

    __slots__ = ()


class OrderIssuer(tasks.Task):
    """Plan and give orders to engines while this host is the owner of orders."""

    foreign_types = (fleethost.ReceivedMessage,)

    def __init__(self, host):
        super().__init__(TICK_INTERVAL_S)
        self._host = host
        self._log = logs.Log("place")
        self._client = engineclient.EngineClient(
            host.dialect, host.limits, host.pauses, host.leaving
        )
        self._fence = 0  # of the ownership held, 0 if this host is not the owner
        self._may_order_from = 0.0
        self._last_owner = ""
        self._move_count = 0  # as last seen
        # When another host was last seen to become the owner, or may have done so.
        self._other_took_at = -math.inf
        self._is_taking_ownership = False
        self._settles_at = math.inf  # when this host has held the ownership for a lease
        self._next_plan_at = 0.0
        self._plan_timer = modelwants.PlanTimer()
        self._next_server_load_push_at = 0.0
        self._next_overview_at = 0.0
        # Only the first owner of a new deployment prefetches; later ones see demand.
        self._prefetcher: prefetching.Prefetcher | None = None
        self._last_push_number = 0
        self._last_push: tuple = ()
        self._next_placement_push_at = 0.0
        self._adapter_tasks: set[tuple] = set()
        self.table = engines.EngineTable()
        self.demand = fleetdemand.FleetDemand()
        self._contradictions_by_service: dict[str, replicas.ContradictionTracker] = {}
        self.store_concurrency = storeconcurrency.StoreConcurrency()
        self.store_limiter = storelimiter.StoreLoadLimiter(
            host.settings.bounds.load_window, host.settings.bounds.load_excess
        )
        self._load_history = earlierloads.LoadHistory(host.settings.bounds.load_window)
        # Loads of the owners before this host, None once they do not count any more.
        self._earlier_loads: earlierloads.EarlierLoads | None = None

    # Ownership

    def may_order(self, now: float) -> bool:
        """Return whether this host is certain to be the only owner at ``now``."""
        member = self._host.replication.member
        return (
            self._fence != 0
            and self._fence == member.term
            and member.leader_state is not None
            and member.has_lease(now)
            and now >= self._may_order_from
        )

    def _track_owner(self, now):
        """Record when another host becomes the owner.

        A host that was restarted has not seen when. It takes the time at which it
        learns of the owner, unless that owner has committed that a lease has passed or
        servers check fences.
        """
        machine = self._host.replication.machine
        last_owner, self._last_owner = self._last_owner, machine.owner
        moves = machine.move_count - self._move_count
        self._move_count = machine.move_count
        is_own = machine.owner == self._host.host_id
        if not moves or machine.is_settled or (is_own and machine.was_settled):
            return
        if not last_owner:
            if self._host.settings.bounds.checks_fencing:
                return
        elif is_own and moves == 1:
            return  # the other host became the owner when that was last recorded
        self._other_took_at = now

    def _settle_ownership(self, now):
        """Commit that this host has held the ownership for a lease, once it has."""
        if now >= self._settles_at:
            self._settles_at = now + OWNERSHIP_TIMEOUT_S  # in case this one fails
            gevent.spawn(self._commit_settled, self._fence)

    def _commit_settled(self, fence):
        command = fleetstate.TakeOwnership(fence=fence, host_id=self._host.host_id)
        try:
            self._host.replication.submit(command, OWNERSHIP_TIMEOUT_S)
        except errors.ProxyError as error:
            self._log.write(clock.now(), f"ownership of orders not settled: {error}")
            return
        if fence == self._fence:
            self._settles_at = math.inf

    def _track_leadership(self, now):
        member = self._host.replication.member
        if member.leader_state is None:
            if self._fence:
                self._log.write(
                    now,
                    "leadership lost; no longer the owner of orders",
                    fence=self._fence,
                )
            self._fence = 0
            return
        if self._fence != member.term and not self._is_taking_ownership:
            self._is_taking_ownership = True
            gevent.spawn(self._take_ownership, member.term)

    def _take_ownership(self, term):
        """Commit the ownership and set the time from which this host may order."""
        command = fleetstate.TakeOwnership(fence=term, host_id=self._host.host_id)
        try:
            answer = self._host.replication.submit(command, OWNERSHIP_TIMEOUT_S)
        except errors.ProxyError as error:
            self._log.write(clock.now(), f"ownership of orders not committed: {error}")
            return
        finally:
            self._is_taking_ownership = False
        now = clock.now()
        if answer.fence != term:
            return
        self._fence = term
        self._track_owner(now)
        self.table.clear()
        if not answer.previous_host_id:
            self._prefetcher = prefetching.Prefetcher(now)
        # The previous owner's lease has expired. If another host became the owner less
        # than a lease ago, this one waits until a lease has passed since then, so that
        # two hosts do not give orders in turn.
        lease_s = self._host.settings.bounds.lease
        self._may_order_from = max(now, self._other_took_at + lease_s)
        machine = self._host.replication.machine
        is_unsettled = machine.move_count > 0 and not machine.is_settled
        self._settles_at = now + lease_s if is_unsettled else math.inf
        if answer.previous_host_id:
            self._earlier_loads = earlierloads.EarlierLoads(self._load_history, now)
            for service in self._engine_services():
                self.store_limiter.fill_window(service.engine.loads_per_s, now)
        self._log.write(
            now,
            f"owner of orders now, previously {answer.previous_host_id or 'nobody'}",
            fence=term,
            from_s=round(self._may_order_from - now, 1),
        )

    def wanted_count(self, now: float) -> int:
        """Return the number of models that hosts lately wanted."""
        services = self._engine_services()
        return sum(
            len(self.demand.wants.wanted(service.name, now)) for service in services
        )

    @property
    def fence(self) -> int:
        """Return the fence of the ownership held, 0 if this host is not the owner."""
        return self._fence

    # Messages

    def handle(self, message, now: float, reply=None):
        """Handle a report or a request of an entry host, or plan for such requests."""
        if isinstance(message, PlanDue):
            if self._plan_timer.is_requested:
                self._plan_if_owner(now)
        elif isinstance(message.message, modelwants.ModelWanted):
            self._on_model_wanted(message.sender, message.message, now)
        elif isinstance(message.message, fleetmessages.EntryReport):
            report = message.message
            self.demand.report(message.sender, report.loads_by_id, report.needs, now)
        elif isinstance(message.message, fleetmessages.AdapterWanted):
            self._on_adapter_wanted(message.sender, message.message, now)

    def tick(self, now: float) -> None:
        """Plan swaps, and push server loads and placement to the entry hosts."""
        self._track_leadership(now)
        self._track_owner(now)
        announcements = self._engine_announcements()
        self._load_history.observe(announcements, now)
        if not self._fence:
            return
        self._settle_ownership(now)
        self.table.synchronise(announcements)
        for state in self.table.all():
            if state.needs_refresh(now):
                state.retry_at = now + self._poll_interval_s(state, now)
                self._spawn_task(state, self._refresh)
        if now >= self._next_plan_at:
            self._plan_if_owner(now)
        if now >= self._next_server_load_push_at:
            self._next_server_load_push_at = now + PUSH_INTERVAL_S
            self._push_server_loads(now)
        self._push_placement(now)

    def _engine_services(self):
        configuration = self._host.configuration()
        if configuration is None:
            return []
        services = configuration.services_by_name.values()
        return [service for service in services if service.engine is not None]

    def _engine_announcements(self):
        names = {service.name for service in self._engine_services()}
        return [
            announcement
            for announcement in self._host.table.all()
            if announcement.service in names
            and announcement.state is not servers.ServerState.GONE
        ]

    # Plan

    def _is_hard_load(self, now):
        """Return whether an entry host lately asked for the policy for hard load."""
        heard_at = self.demand.wants.heard_at
        return heard_at is not None and now - heard_at < HARD_LOAD_KEPT_S

    def _policy(self, now):
        is_hard = self._is_hard_load(now)
        return placementpolicies.load(
            placementpolicies.HARD if is_hard else placementpolicies.STEADY
        )

    def _on_model_wanted(self, sender, wanted, now):
        """Plan soon, unless the wanted model is being loaded."""
        self.demand.record_want(sender, wanted, now)
        if any(state.loading == wanted.model for state in self.table.all()):
            return
        wait_s = self._plan_timer.request(now)
        if wait_s is not None:
            gevent.spawn_later(wait_s, self.tell, PlanDue())

    def _plan_if_owner(self, now):
        if not self._fence or not self.may_order(now):
            return
        self._plan(now)
        took_s = clock.now() - now
        self._plan_timer.record_plan(now, took_s)
        self._next_plan_at = now + modelplan.next_plan_in_s(took_s)

    def _count_earlier_loads(self, now):
        """Replace the assumed loads of the last owner by those that engines show."""
        if self._earlier_loads is not None and self._earlier_loads.is_over(now):
            self._earlier_loads = None
        if self._earlier_loads is None or not self._is_hard_load(now):
            return
        load_times_s = [
            model.store_load_s
            for service in self._engine_services()
            for model in service.engine.models_by_name.values()
        ]
        starts = self._earlier_loads.starts(
            self.table.all(), min(load_times_s, default=0.0), now
        )
        if starts is None:
            return
        self.store_limiter.replace_assumed(
            starts, earlierloads.RESERVED_SHARE, self._earlier_loads.ends_at
        )

    def _plan(self, now):
        self._count_earlier_loads(now)
        loads_by_id = self.demand.loads_by_id(now)
        for service in self._engine_services():
            serving = replicas.serving_states(
                self._host.table, self.table.all(), service.name, now
            )
            self._ask_silent_holders(service.name, serving, now)
            states_by_id = {
                state.announcement.instance_id: state
                for state in serving
                if state.report is not None
            }
            adapters_mb = service.engine.adapters_mb
            views = [
                self._view(state, adapters_mb, loads_by_id, now)
                for state in states_by_id.values()
            ]
            if not views:
                continue
            planner = modelplan.Planner(
                service, views, self.demand, now, self._policy(now)
            )
            if now >= self._next_overview_at:
                self._next_overview_at = now + OVERVIEW_INTERVAL_S
                self._log.write(
                    now,
                    "demand and replicas by model",
                    models=planner.overview(),
                    loads_at_full_speed=self.store_concurrency.known_estimate(),
                    earlier_loads=self.store_limiter.assumed_count(now),
                )
            rate = service.engine.loads_per_s

            planned_loads: list[None] = []

            def store_allows(rate=rate, planned_loads=planned_loads):
                planned = len(planned_loads)
                is_allowed = self.store_limiter.allows(
                    rate, now, planned
                ) and self.store_concurrency.allows(planned)
                if is_allowed:
                    planned_loads.append(None)
                return is_allowed

            if self._prefetcher is not None and not self.demand.has_demand():
                swaps = self._prefetcher.swaps(service, views, store_allows, now)
            else:
                swaps = planner.swaps(store_allows)
            for swap in swaps:
                self._begin_swap(states_by_id[swap.instance_id], swap, service, now)

    def _ask_silent_holders(self, service_name, serving, now):
        """Ask the holders of a model for a report if calls wait beside them."""
        holders_by_model: dict[str, list[str]] = {}
        states_by_id = {}
        for state in serving:
            if not state.has_task and now >= state.retry_at:
                states_by_id[state.announcement.instance_id] = state
                for name in state.resident_models():
                    holders_by_model.setdefault(name, []).append(
                        state.announcement.instance_id
                    )
        waiting_by_model = self.demand.waiting(service_name, now)
        tracker = self._contradictions_by_service.setdefault(
            service_name, replicas.ContradictionTracker()
        )
        models_by_id = tracker.engines_to_ask(waiting_by_model, holders_by_model, now)
        for instance_id, name in models_by_id.items():
            self._log.write(
                now,
                f"calls wait for {name} although engine {instance_id} holds it",
                waiting=waiting_by_model[name],
            )
            self._spawn_task(states_by_id[instance_id], self._verify)

    def _verify(self, state):
        """Ask an engine for a report; without an answer it is no holder until one."""
        if not self._refresh(state) and not self._is_paused(state):
            state.is_unreachable = True
            self._log.write(
                clock.now(),
                f"engine {state.announcement.instance_id} does not answer and does "
                "not count as a holder of its models",
            )

    def _view(self, state, adapters_mb, loads_by_id, now):
        announcement = state.announcement
        calls = loads_by_id.get(announcement.instance_id, (0, 0))[0]
        return engineviews.EngineView(
            announcement.instance_id,
            state.models,
            state.in_memory,
            state.on_disk,
            state.is_usable(now),
            adapters_mb,
            state.loaded_at_by_model,
            state.loading if state.loading_until - now > longloads.LONG_LOAD_S else "",
            calls,
            announcement.data_centre,
        )

    def _begin_swap(self, state, swap, service, now):
        if swap.needs_store:
            self.store_limiter.record_load(now)
        state.loading = swap.load
        state.loading_until = now + swap.load_s + 2 * POLL_INTERVAL_S * len(swap.unload)
        state.unloading = set(swap.unload)
        self._log.write(
            now,
            f"{swap!r}",
            takes_s=round(swap.load_s, 2),
            from_store=swap.needs_store,
            **self._reasons(service.name, swap, now),
        )
        self._spawn_task(state, self._swap, swap, service.engine.loads_per_s, now)

    def _reasons(self, service, swap, now):
        """Return what a swap was decided by under hard load, to be logged."""
        if not self._is_hard_load(now):
            return {}
        wants = self.demand.wants
        return {
            "waiting": self.demand.waiting(service, now)[swap.load],
            "left_s": round(wants.time_left_s(service, swap.load, now), 2),
            "victim_rates": [
                round(self.demand.get(service, name, now).rate, 2)
                for name in swap.unload
            ],
        }

    def _spawn_task(self, state, task, *arguments):
        state.has_task = True
        gevent.spawn(self._run_task, state, task, *arguments)

    def _run_task(self, state, task, *arguments):
        try:
            task(state, *arguments)
        finally:
            state.has_task = False
            state.loading = ""
            state.unloading = set()

    # Tasks at one engine, each in its own greenlet

    def _poll_interval_s(self, state, now):
        rate = self._host.limits.rate(state.announcement, now)
        if not rate:
            return POLL_INTERVAL_S
        return max(POLL_INTERVAL_S, 1.0 / (POLL_SHARE * rate))

    def _is_paused(self, state):
        return self._host.pauses.left_s(state.announcement, clock.now()) > 0.0

    def _await_pause(self, state):
        """Wait while the engine wants a pause; return whether it has ended."""
        left_s = self._host.pauses.left_s(state.announcement, clock.now())
        if left_s > MAX_TURN_WAIT_S:
            return False
        if left_s > 0.0:
            gevent.sleep(left_s)
        return True

    def _await_turn(self, state):
        """Wait until the engine takes a request; return whether it does.

        It may want a pause, or name a limit.
        """
        if not self._await_pause(state):
            return False
        now = clock.now()
        if self._host.limits.rate(state.announcement, now) is None:
            return True
        turn = self._host.take_turn(state.announcement, MAX_TURN_WAIT_S, now)
        if turn is None or not turn.is_given:
            return False
        gevent.sleep(turn.wait_s)
        return True

    def _delay_retry(self, state):
        """Leave an engine alone for a time, at least until the end of its pause."""
        now = clock.now()
        pause_left_s = self._host.pauses.left_s(state.announcement, now)
        state.retry_at = now + max(ENGINE_RETRY_S, pause_left_s)

    def _refresh(self, state):
        if not self._await_turn(state):
            self._delay_retry(state)
            return False
        if state.is_superseded:
            return False  # the report of the lifetime that followed is not its own
        report = self._client.report(state.announcement)
        self._host.meter.order("report", "failed" if report is None else "answered")
        if report is None:
            self._delay_retry(state)
            return False
        state.apply_report(report)
        return True

    def _resynchronise(self, state):
        """Read the order count again, from a report recent enough to be reliable."""
        state.invalidate_order_count()
        self._delay_retry(state)
        gevent.sleep(MAX_REPORT_AGE_S)
        if self._refresh(state):
            state.retry_at = 0.0

    def _swap(self, state, swap, loads_per_s, planned_at):
        self._push_placement(clock.now())
        is_hard = self._is_hard_load(planned_at)
        if swap.unload and not (is_hard and self._is_rarely_called(state, swap.unload)):
            gevent.sleep(ROUTE_AWAY_S)
        unload = None  # in progress when the load is tried
        for name in swap.unload:
            order = engineorders.Order(engineorders.Action.UNLOAD, name)
            if is_hard and name == swap.unload[-1]:
                if not self._is_sent(state, self._send_once(state, order)):
                    return
                unload = order
            elif not self._execute(state, order, 0.0, UNLOAD_TIMEOUT_S, swap.load_s):
                return
        order = engineorders.Order(engineorders.Action.LOAD, swap.load)
        reserved_at = self._await_store(swap, planned_at, loads_per_s)
        outcome = self._send_load(state, swap, order, unload)
        if unload is not None and outcome is engineorders.OrderOutcome.CONFLICT:
            if not self._await_completion(
                state, unload, 0.0, UNLOAD_TIMEOUT_S, swap.load_s
            ):
                return
            self._await_store(swap, reserved_at, loads_per_s)
            outcome = self._send_load(state, swap, order)
        self._end_load(state, swap, order, outcome)

    def _is_rarely_called(self, state, names):
        now = clock.now()
        service = state.announcement.service
        rates = (self.demand.get(service, name, now).rate for name in names)
        return sum(rates) < ROUTE_AWAY_CALLS_PER_S

    def _await_store(self, swap, reserved_at, loads_per_s):
        """Wait until the store may be asked; return when that is recorded."""
        while True:
            now = clock.now()
            if not swap.needs_store or self.store_limiter.start_reserved(
                reserved_at, loads_per_s, now
            ):
                return now
            gevent.sleep(TICK_INTERVAL_S)

    def _send_load(self, state, swap, order, unload=None):
        """Send the order of a load, and count it as in progress unless it conflicts.

        The engine refuses it while an ``unload`` is in progress, so what it accepts
        fits into its memory.
        """
        load_key = (state.announcement.lifetime, swap.load)
        for wait_s in FOLLOW_WAITS_S if unload is not None else (0.0,):
            if wait_s:
                gevent.sleep(wait_s)
            state.loading_until = clock.now() + swap.load_s
            if swap.needs_store:
                self.store_concurrency.begin(load_key, clock.now())
            outcome = self._send_once(state, order)
            if unload is None or outcome is not engineorders.OrderOutcome.CONFLICT:
                break
            if swap.needs_store:
                self.store_concurrency.end(load_key, None, clock.now())
        return outcome

    def _end_load(self, state, swap, order, outcome):
        """Wait until a load that was sent is completed, and record how it ended."""
        expected_s = max(0.0, swap.load_s - POLL_INTERVAL_S)
        timeout_s = swap.load_s * 3 + LOAD_MARGIN_S
        is_loaded = self._is_sent(state, outcome) and self._await_completion(
            state, order, expected_s, timeout_s
        )
        if swap.needs_store:
            usual_s = swap.load_s if is_loaded else None
            load_key = (state.announcement.lifetime, swap.load)
            self.store_concurrency.end(load_key, usual_s, clock.now())
        if is_loaded:
            state.loaded_at_by_model[swap.load] = clock.now()
        elif swap.needs_store:
            self.store_limiter.record_uncertain_load(clock.now())

    def _is_sent(self, state, outcome):
        """Return whether an order was accepted; else read the order count again."""
        if outcome in _SUCCESSFUL:
            return True
        self._resynchronise(state)
        return False

    def _execute(self, state, order, expected_s, timeout_s, then_s=0.0):
        """Send an order and wait until a report shows that it is completed."""
        outcome = self._send_once(state, order)
        return self._is_sent(state, outcome) and self._await_completion(
            state, order, expected_s, timeout_s, then_s
        )

    def _await_completion(self, state, order, expected_s, timeout_s, then_s=0.0):
        """Wait until a report shows that an order which was sent is completed.

        Polling is frequent after ``expected_s``, when completion is likely; before
        that it notices an engine that has ended. A load that follows takes ``then_s``.
        """
        deadline = clock.now() + timeout_s
        expected_at = clock.now() + expected_s
        check_interval_s = max(
            LOAD_CHECK_INTERVAL_S, self._poll_interval_s(state, clock.now())
        )
        while (left_s := expected_at - clock.now()) > check_interval_s:
            gevent.sleep(check_interval_s)
            # One answer may be lost while the load goes on.
            if not any(self._refresh(state) for _ in range(2)):
                if not self._is_paused(state):
                    return False
        gevent.sleep(max(0.0, left_s))
        while clock.now() < deadline:
            gevent.sleep(self._poll_interval_s(state, clock.now()))
            if not self._refresh(state):
                if self._is_paused(state):
                    continue
                return False
            # What follows cannot end sooner, and entry hosts are told so.
            state.loading_until = max(state.loading_until, clock.now() + then_s)
            if state.report.order_count < state.order_count:
                continue
            is_resident = order.model in state.report.models
            is_load = order.action is engineorders.Action.LOAD
            if not state.report.is_busy and is_resident == is_load:
                return True
        return False

    def _send(self, state, order):
        """Send an order; return whether the engine is or will be in that state."""
        return self._send_once(state, order) in _SUCCESSFUL

    def _send_once(self, state, order):
        """Send an order if this host may give orders to this lifetime of the engine.

        Return its outcome, None if it was not sent.
        """
        if state.order_count is None or not self._await_turn(state):
            return None

        def may_send(now):
            return not state.is_superseded and self.may_order(now)

        if not may_send(clock.now()):
            return None
        order.expected_count = state.order_count
        outcome = self._client.order(
            state.announcement, order, self._host.host_id, self._fence, may_send
        )
        if outcome is None:
            return None
        self._host.meter.order(order.action.value, outcome.value)
        # An adapter unload takes no time, so ALREADY_DONE counts as accepted as well.
        if outcome is engineorders.OrderOutcome.ACCEPTED or (
            outcome is engineorders.OrderOutcome.ALREADY_DONE
            and order.is_adapter_unload()
        ):
            state.record_accepted(order)
        elif outcome is engineorders.OrderOutcome.STALE_FENCE:
            self._log.write(
                clock.now(), "order rejected: another owner has a higher fence"
            )
            self._fence = 0
        return outcome

    # Adapters

    def _on_adapter_wanted(self, sender, message, now):
        if not self.may_order(now):
            return
        key = f"{message.model}/{message.adapter}"
        state = self._engine_with_adapter(message.service, message.model, key)
        if state is not None:
            state.adapters_requested_at[key] = now
            self._answer_adapter(sender, message, state)
            return
        task = (message.service, key)
        if task in self._adapter_tasks:
            return
        self._adapter_tasks.add(task)
        gevent.spawn(self._provide_adapter, sender, message, task)

    def _engine_with_adapter(self, service, model, key):
        states = [
            state
            for state in self.table.all()
            if state.announcement.service == service
            and key in state.adapters_requested_at
            and model in state.models
            and state.is_usable(clock.now()) | state.has_task
        ]
        return states[0] if states else None

    def _answer_adapter(self, sender, message, state):
        answer = fleetmessages.AdapterReady(
            instance_id=state.announcement.instance_id,
            key=f"{message.model}/{message.adapter}",
        )
        self._host.send_message(sender, answer)

    def _provide_adapter(self, sender, message, task):
        try:
            for _ in range(MAX_ADAPTER_ATTEMPTS):
                state = self._pick_engine(message)
                if state is None:
                    return
                state.has_task = True
                try:
                    is_loaded = self._load_adapter(state, message)
                finally:
                    state.has_task = False
                if is_loaded:
                    gevent.sleep(engines.ADAPTER_READY_S)
                    self._push_placement(clock.now())
                    self._answer_adapter(sender, message, state)
                    return
        finally:
            self._adapter_tasks.discard(task)

    def _pick_engine(self, message):
        """Return the usable engine with the model and the lowest cost, or None.

        The cost is a weighted sum of the adapters and the calls at the engine.
        """
        now = clock.now()
        usable = [
            state
            for state in self.table.all()
            if state.announcement.service == message.service
            and state.report is not None
            and message.model in state.report.models
            and message.model not in state.unloading
            and state.is_usable(now)
        ]

        def cost(state):
            calls = self.demand.calls_at(state.announcement.instance_id, now)
            return len(state.adapters_requested_at) * 0.5 + calls * 0.1

        return min(usable, key=cost, default=None)

    def _load_adapter(self, state, message):
        now = clock.now()
        service = self._host.configuration().services_by_name[message.service]
        while len(state.adapters_requested_at) >= service.engine.adapter_places:
            least_recently_requested = state.least_recently_requested_adapter(
                now - MIN_ADAPTER_UNREQUESTED_S
            )
            if not least_recently_requested:
                return False
            model, _, adapter = least_recently_requested.partition("/")
            order = engineorders.Order(engineorders.Action.UNLOAD, model, adapter)
            if not self._send(state, order):
                self._resynchronise(state)
                return False
            del state.adapters_requested_at[least_recently_requested]
        order = engineorders.Order(
            engineorders.Action.LOAD, message.model, message.adapter
        )
        if not self._send(state, order):
            self._resynchronise(state)
            return False
        state.adapters_requested_at[order.key()] = clock.now()
        return True

    # Pushes to entry hosts

    def _push_server_loads(self, now):
        push = fleetmessages.LoadPush(loads_by_id=self.demand.loads_by_id(now))
        self._host.send_to_entries(push, now)

    def _push_placement(self, now):
        adapters = {}
        unloading = {}
        loading: dict[str, float] = {}
        for state in self.table.all():
            instance_id = state.announcement.instance_id
            if state.adapters_requested_at:
                adapters[instance_id] = sorted(state.adapters_requested_at)
            if state.unloading:
                unloading[instance_id] = sorted(state.unloading)
            if state.loading and state.is_serving():
                left_s = state.loading_until - now  # negative if it is overdue
                other_left_s = loading.get(state.loading, left_s)
                loading[state.loading] = min(left_s, other_left_s)
        ends = {
            name: round((now + left_s) / EXPECTED_END_STEP_S)
            for name, left_s in loading.items()
        }
        placement = (adapters, ends, unloading, sorted(loading))
        is_urgent = placement[2:] != self._last_push[2:]
        if placement == self._last_push or not (
            is_urgent or now >= self._next_placement_push_at
        ):
            return
        self._next_placement_push_at = now + PUSH_INTERVAL_S
        self._last_push = placement
        self._last_push_number += 1
        push = fleetmessages.PlacementPush(
            adapters_by_id=adapters,
            coming=loading,
            fence=self._fence,
            leaving_models_by_id=unloading,
            number=self._last_push_number,
        )
        self._host.send_to_entries(push, now)
