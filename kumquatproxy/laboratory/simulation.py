"""Simulation of the routing, admission and retry decisions of several hosts."""

import heapq
import itertools
import random

from kumquatproxy import records
from kumquatproxy.laboratory import arrivals, loadmodel, systems
from kumquatproxy.placement import fixedplacement, ondemand
from kumquatproxy.requests import admission, breaker, estimates, retries, routing

SLOWDOWN_FACTOR = 5.0  # of the step times of a slow engine
NETWORK_DELAY_S = 0.001  # one way between host and engine
ERROR_DELAY_S = 0.01  # until the error response of a failing engine
REMOVAL_DELAY_S = 3.0  # from the loss of a server to its removal from routing tables
REMOTE_DELAY_S = 0.5  # additional age of reports from other data centres


class Call:
    """State of one job at its entry host."""

    __slots__ = (
        "attempts",
        "backend_id",
        "done",
        "entry",
        "first_at",
        "host",
        "job",
        "resumed_tokens",
        "sent_at",
    )

    def __init__(self, job, host):
        self.job: loadmodel.Job = job
        self.host: Host = host
        self.attempts = retries.AttemptHistory()
        self.backend_id: str = ""
        self.done: bool = False
        # Entry in the admission queue of the host.
        self.entry: admission.QueuedRequest | None = None
        self.first_at: float | None = None
        self.sent_at: float = 0.0
        self.resumed_tokens: int = 0


class Host:
    """Decision components of one entry host."""

    __slots__ = ("admission", "breakers", "budget", "data_centre", "rng", "table")

    def __init__(self, data_centre, policy, report_lag_s, seed):
        self.data_centre: str = data_centre
        self.table = routing.RoutingTable(data_centre, policy, report_lag_s)
        self.admission = admission.Admission()
        self.breakers = breaker.Breakers()
        self.budget = retries.RetryBudget()
        self.rng = random.Random(seed)


class Simulation:
    """Discrete-event simulation of one trace on one system."""

    def __init__(self, scenario, system, trace, seed, faults=()):
        self.scenario: arrivals.Scenario = scenario
        self.system: systems.System = system
        self.rng = random.Random(f"run {seed}")
        self.now: float = 0.0
        self.result = systems.Result(trace.jobs)
        self._events: list[tuple] = []
        self._insertion_order = itertools.count()
        self._wake_times_by_id: dict[str, float] = {}
        self._calls: dict[str, Call] = {}
        self.engines: dict[str, loadmodel.SimulatedEngine] = {}
        self.hosts = [
            Host(
                self._data_centre(number),
                system.policy,
                scenario.report_delay_s,
                f"host {number} {seed}",
            )
            for number in range(scenario.hosts)
        ]
        self._add_engines(trace)
        self._loader: ondemand.LoadOnDemand | None = None
        if system.on_demand or system.adds_replicas:
            engines = list(self.engines.values())
            self._loader = ondemand.LoadOnDemand(engines, system.adds_replicas)
        for job in trace.jobs:
            self._schedule_at(job.request.arrived_at, self._arrive, job)
        for fault in faults:
            self._schedule_at(fault.at, self._apply_fault, fault)

    def run(self) -> systems.Result:
        """Run until every request has ended."""
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.result

    def _schedule_at(self, when, action, *arguments):
        heapq.heappush(
            self._events, (when, next(self._insertion_order), action, arguments)
        )

    def _data_centre(self, number):
        return f"dc{number % self.scenario.data_centres}"

    def _add_engines(self, trace):
        items_by_server = fixedplacement.fixed_placement(
            self.scenario, self.system.placement, trace.base_share_by_model
        )
        for number in range(self.scenario.servers):
            backend_id = f"b{number:03d}"
            server = records.BackendServer(
                backend_id, "", self._data_centre(number), "engine", "engines", 1
            )
            engine = loadmodel.SimulatedEngine(
                server, self.scenario.speed, items_by_server[number]
            )
            self.engines[backend_id] = engine
            for host in self.hosts:
                host.table.update_server(server, -100.0)
                host.table.apply_report(engine.report(0.0), 0.0)
            phase = self.rng.random() * self.scenario.report_interval_s
            self._schedule_at(phase, self._send_report, engine)

    # Reports

    def _send_report(self, engine):
        if self.now > self.scenario.duration_s + 60.0 or not engine.alive:
            return
        self._advance(engine)
        report = engine.report(self.now)
        events = engine.cache_events
        engine.cache_events = []
        for host in self.hosts:
            if self.rng.random() < self.scenario.report_loss:
                continue
            delay_s = self.scenario.report_delay_s * self.rng.uniform(0.5, 1.5)
            if host.data_centre != engine.server.data_centre:
                delay_s += REMOTE_DELAY_S
            self._schedule_at(
                self.now + delay_s, self._deliver_report, host, report, events
            )
        self._schedule_at(
            self.now + self.scenario.report_interval_s, self._send_report, engine
        )

    def _deliver_report(self, host, report, events):
        host.table.apply_report(report, self.now)
        for sequence, stored, evicted in events:
            if self.rng.random() >= self.scenario.cache_gap_share:
                host.table.apply_cache_event(
                    report.backend_id, sequence, stored, evicted
                )

    # Requests

    def _arrive(self, job):
        host = self.rng.choice(self.hosts)
        call = self._calls[job.request.request_id] = Call(job, host)
        host.budget.record_request(job.request.service)
        self._schedule_at(job.request.deadline, self._abandon, call)
        self._dispatch(call)

    def _dispatch(self, call):
        if call.done:
            return
        # With ``adds_replicas`` the choice only triggers loads.
        if self._loader is not None:
            engine, ready_at = self._loader.choose(call.job.items[0], self.now)
            self.result.load_count = self._loader.load_count
        if self.system.on_demand:
            if engine is None:
                self._record_end(call, "refused")
                return
            self._schedule_at(
                ready_at, self._send_loaded, call, engine.server.backend_id
            )
            return
        host = call.host
        request = call.job.request
        excluded_ids = call.attempts.tried_ids
        if self.system.retries:
            excluded_ids = excluded_ids | host.breakers.excluded_ids(self.now)
        decision = host.table.choose(
            request, call.job.items, excluded_ids, self.now, host.rng
        )
        if isinstance(decision, routing.Refusal):
            self._record_end(call, "refused")
            return
        if not self.system.admission:
            self._send(call, decision.backend_id, request.priority)
            return
        verdict = host.admission.admit(request, decision, self.now)
        latest_first_token_at = admission.latest_useful_first_token_at(
            request, decision.estimate
        )
        self._schedule_at(
            max(latest_first_token_at, self.now), self._cancel_if_too_late, call
        )
        if verdict.action == "admit":
            self._send(call, decision.backend_id, verdict.priority)
        elif verdict.action == "refuse":
            self.result.admission_refusals += 1
            self._record_end(call, "refused")
        else:
            call.entry = verdict.entry
            self._schedule_at(
                verdict.entry.latest_start + 0.001, self._refuse_expired, host
            )

    def _send_loaded(self, call, backend_id):
        if not call.done:
            self._send(call, backend_id, call.job.request.priority)

    def _refuse_expired(self, host):
        for entry, _ in host.admission.take_refused(self.now):
            call = self._calls[entry.request.request_id]
            call.entry = None
            self.result.admission_refusals += 1
            self._record_end(call, "refused")

    def _send(self, call, backend_id, priority):
        host = call.host
        call.backend_id = backend_id
        call.sent_at = self.now
        call.first_at = None
        call.attempts.record_start(backend_id)
        host.table.record_start(backend_id, call.job.request, self.now)
        host.breakers.record_start(backend_id, self.now)
        self.result.sends.append((self.now, backend_id, call.job.request.request_id))
        self.result.sent_ids.add(call.job.request.request_id)
        self._schedule_at(
            self.now + NETWORK_DELAY_S, self._submit, call, backend_id, priority
        )

    def _submit(self, call, backend_id, priority):
        engine = self.engines[backend_id]
        if call.done:
            return
        if not engine.alive:
            self._schedule_at(
                self.now + NETWORK_DELAY_S,
                self._handle_failure,
                call,
                retries.Failure.NOT_SENT,
            )
            return
        if engine.failing_share and self.rng.random() < engine.failing_share:
            self._schedule_at(
                self.now + ERROR_DELAY_S,
                self._handle_failure,
                call,
                retries.Failure.FAILED,
            )
            return
        if self.system.adds_replicas and not engine.is_loaded(
            call.job.items[0], self.now
        ):
            self._schedule_at(
                self.now + NETWORK_DELAY_S,
                self._handle_failure,
                call,
                retries.Failure.REFUSED,
            )
            return
        self._advance(engine)
        engine.submit(call.job, priority, self.now, call.resumed_tokens)
        self._schedule_wake(engine)

    def _advance(self, engine):
        for event in engine.advance(self.now):
            call = self._calls[event.job.request.request_id]
            if event.kind == "first":
                self._first_token(call, event.at)
            else:
                self._complete(call, event)

    def _first_token(self, call, at):
        call.first_at = at
        request = call.job.request
        first_token_s = at - request.arrived_at
        self.result.first_token_s.setdefault(request.request_id, first_token_s)

    def _schedule_wake(self, engine):
        when = engine.next_event_at()
        backend_id = engine.server.backend_id
        if when is not None and self._wake_times_by_id.get(backend_id) != when:
            self._wake_times_by_id[backend_id] = when
            self._schedule_at(when, self._wake_engine, engine, when)

    def _wake_engine(self, engine, when):
        if self._wake_times_by_id.get(engine.server.backend_id) != when:
            return
        del self._wake_times_by_id[engine.server.backend_id]
        self._advance(engine)
        self._schedule_wake(engine)

    def _complete(self, call, event):
        first_at = call.first_at if call.first_at is not None else event.at
        outcome = estimates.Outcome(
            "complete",
            first_at - call.sent_at,
            event.at - call.sent_at,
            call.job.response_tokens - call.resumed_tokens,
            event.cached_tokens,
        )
        on_time = event.at <= call.job.request.deadline
        self._record_end(call, "on-time" if on_time else "late")
        self._finish_attempt(call, outcome)

    def _finish_attempt(self, call, outcome):
        host, backend_id, request = call.host, call.backend_id, call.job.request
        call.backend_id = ""
        host.table.record_finish(backend_id, request, outcome, self.now)
        host.breakers.record_finish(backend_id, outcome.result, self.now, host.rng)
        if not self.system.admission:
            return
        for entry in host.admission.record_finish(
            backend_id, request, outcome, self.now
        ):
            next_call = self._calls[entry.request.request_id]
            next_call.entry = None
            self._send(next_call, entry.backend_id, entry.request.priority)
        self._refuse_expired(host)

    def _abandon(self, call, how="late"):
        """End a call that has not been answered, and cancel its attempt."""
        if call.done:
            return
        self._record_end(call, how)
        if call.entry is not None:
            call.host.admission.cancel(call.entry)
        if call.backend_id:
            engine = self.engines[call.backend_id]
            if engine.alive:
                self._advance(engine)
                engine.cancel(call.job.request.request_id)
                self._schedule_wake(engine)
            # ``_advance`` may have completed the attempt.
            if call.backend_id:
                self._finish_attempt(call, estimates.Outcome("abandoned"))

    def _cancel_if_too_late(self, call):
        """Cancel a request whose first token is too late to meet its deadline."""
        if call.done or not call.backend_id or call.first_at is not None:
            return
        engine = self.engines[call.backend_id]
        if engine.alive:
            self._advance(engine)
        if call.first_at is None and not call.done:
            self._abandon(call, "refused")

    def _record_end(self, call, how):
        if not call.done:
            call.done = True
            self.result.outcomes_by_id[call.job.request.request_id] = how

    # Faults and retries

    def _apply_fault(self, fault):
        for number in fault.servers:
            engine = self.engines[f"b{number:03d}"]
            if fault.kind == "errors":
                engine.failing_share = fault.failing_share
                continue
            self._advance(engine)
            if fault.kind == "slow":
                engine.speed = engine.speed.slowed(SLOWDOWN_FACTOR)
                self._schedule_wake(engine)
                continue
            lost = engine.fail()
            # A stopped process resets its connections at once. After the loss of a data
            # centre, hosts give attempts up after 1 s without data.
            delay_s = NETWORK_DELAY_S if fault.kind == "stop" else 1.0
            for job, delivered in lost:
                call = self._calls[job.request.request_id]
                call.resumed_tokens = delivered
                kind = retries.Failure.LOST
                if delivered:
                    kind = retries.Failure.INTERRUPTED
                self._schedule_at(self.now + delay_s, self._handle_failure, call, kind)
            self._schedule_at(self.now + REMOVAL_DELAY_S, self._remove_server, engine)
        if fault.kind == "silent":
            self._remove_hosts(fault)

    def _remove_hosts(self, fault):
        lost_data_centres = {self._data_centre(number) for number in fault.servers}
        lost_hosts = [
            host for host in self.hosts if host.data_centre in lost_data_centres
        ]
        self.hosts = [
            host for host in self.hosts if host.data_centre not in lost_data_centres
        ]
        for call in list(self._calls.values()):
            if not call.done and call.host in lost_hosts:
                self._abandon(call, "failed")

    def _remove_server(self, engine):
        for host in self.hosts:
            host.table.remove_server(engine.server.backend_id)
            host.breakers.remove(engine.server.backend_id)
            for entry in host.admission.remove_server(engine.server.backend_id):
                call = self._calls[entry.request.request_id]
                call.entry = None
                self._dispatch(call)

    def _handle_failure(self, call, failure):
        if call.done or not call.backend_id:
            return
        host = call.host
        request = call.job.request
        result = "refused" if failure is retries.Failure.REFUSED else "failed"
        self._finish_attempt(call, estimates.Outcome(result))
        if not self.system.retries:
            self._record_end(call, "failed")
            return
        # Computed from the true response length, which a real host does not know.
        expected_s = call.job.response_tokens * self.scenario.speed.step_base_s
        decision = retries.decide(
            request, failure, call.attempts, host.budget, expected_s, self.now, host.rng
        )
        if decision.action == "give-up":
            self._record_end(call, "failed")
            return
        self._schedule_at(self.now + decision.delay_s, self._dispatch, call)
