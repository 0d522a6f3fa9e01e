"""Dispatch of requests to backend servers: routing, calls, retries, resumption.

No greenlet switch happens within a change of the state of a ``Dispatcher``, so each
change is atomic for the other greenlets of the entry host.
"""

import functools
import math
import random

import gevent
import orjson

from kumquatproxy import clock, errors, logs, memorybudget, metrics, records
from kumquatproxy.configuration import sheet
from kumquatproxy.gateway import calls, stalltimeouts, waiting
from kumquatproxy.requests import (
    admissionwait,
    breaker,
    crashguard,
    drivers,
    estimates,
    exchanges,
    retries,
    routing,
    serverpauses,
    stalls,
)

REMOTE_INCARNATION = 1
PRIORITY_HEADER = "X-Priority"
FORWARDED_HEADER = "X-Kumquatproxy-Forwarded"
# Least timeout for the next token of a stream. Backend servers on a busy machine
# usually pause for less; a stream without an alternative server waits longer.
MIN_PROGRESS_TIMEOUT_S = 0.1


class Attempt:
    """One request at one backend server, until its outcome is known."""

    __slots__ = (
        "decision",
        "engine_call",
        "first_token_at",
        "is_limited",
        "priority",
        "server",
        "started_at",
        "tokens",
    )

    def __init__(self, server, decision, started_at, priority, is_limited):
        self.server: records.BackendServer = server
        self.decision: routing.Decision = decision
        self.engine_call: drivers.EngineCall | None = None  # once connected
        self.started_at: float = started_at
        self.priority: int = priority  # as sent to the engine
        self.is_limited: bool = is_limited  # counts towards a concurrency limit
        self.first_token_at: float = 0.0
        self.tokens: int = 0

    def record_token(self, now: float) -> None:
        """Count a token that has arrived."""
        if not self.tokens:
            self.first_token_at = now
        self.tokens += 1

    def outcome(self, result: str, now: float) -> estimates.Outcome:
        """Return the outcome from which the routing table learns."""
        first_token_s = max(0.0, self.first_token_at - self.started_at)
        return estimates.Outcome(
            result, first_token_s, now - self.started_at, self.tokens
        )


class FallbackResumedError(Exception):
    """The stalled server of an earlier attempt sent data before another accepted."""


class CallState:
    """Attempts of one call.

    A server that stalls may be sound, and the next one may refuse the call or break
    off. So the stalled attempt stays open until another server has accepted the call.
    """

    __slots__ = ("attempt", "fallback", "history", "subject")

    def __init__(self, subject):
        self.subject: calls.Call = subject  # the same for repetitions of the call
        self.attempt: Attempt | None = None  # the one in progress
        self.fallback: Attempt | None = None  # a stalled one
        self.history = retries.AttemptHistory()

    def is_stalled(self, failure: retries.Failure) -> bool:
        """Return whether a failed attempt can go on if its server does."""
        if failure is not retries.Failure.TIMEOUT or self.attempt is None:
            return False
        engine_call = self.attempt.engine_call
        return engine_call is not None and engine_call.is_sent

    def return_to_fallback(self) -> None:
        """Continue the stalled attempt."""
        self.attempt, self.fallback = self.fallback, None


class Dispatcher:
    """Routing state and calls in flight of one entry host."""

    def __init__(
        self,
        data_centre,
        policy,
        rng,
        metrics_registry,
        budget: memorybudget.MemoryBudget | None = None,
    ):
        self.table = routing.RoutingTable(data_centre, policy)
        self.in_flight = 0
        self._remote_ids_by_host: dict[str, set[str]] = {}
        self._remote_ids: set[str] = set()
        self._plain_services: set[str] = set()
        self._rng: random.Random = rng
        self._metrics: metrics.Metrics = metrics_registry
        self._breakers = breaker.Breakers()
        self._admission = admissionwait.BlockingAdmission()
        self._budget = retries.RetryBudget()
        self.pauses = serverpauses.ServerPauses(rng)
        self._pool = exchanges.ConnectionPool(self.pauses, budget)
        self._guard = crashguard.CrashGuard(self._pool.links)
        self._drivers_by_alias: dict[str, drivers.Driver] = {}
        self._log = logs.Log("route")

    def close(self) -> None:
        """Close the idle connections to backend servers."""
        self._pool.close()

    def update_server(self, server: records.BackendServer, now: float) -> None:
        """Apply a new or changed announcement of a backend server."""
        state = self.table.state(server.backend_id)
        if state is not None and state.server.incarnation < server.incarnation:
            self._breakers.remove(server.backend_id)
            self._pool.close_idle(state.server.address)
            self.pauses.forget(state.server.address)
        self.table.update_server(server, now)

    def remove_server(self, backend_id: str) -> None:
        """Remove a backend server that has left or failed."""
        state = self.table.state(backend_id)
        if state is not None:
            self.pauses.forget(state.server.address)
        self.table.remove_server(backend_id)
        self._breakers.remove(backend_id)
        self._admission.remove_server(backend_id)

    def set_sheet(self, new_sheet: sheet.Sheet) -> None:
        """Apply the services of a new configuration."""
        services = new_sheet.services_by_name.values()
        self._plain_services = {
            service.name for service in services if service.kind == "plain"
        }
        for service in services:
            self.table.set_service(service)
        self._admission.set_shares(new_sheet)

    def update_remote(
        self, host_id, data_centre, address, sequence, items_by_service, now
    ) -> None:
        """Apply what another data centre serves through its entry host ``host_id``.

        For routing, each of its services is represented by one backend server.
        """
        self.pauses.exempt_addresses.add(address)
        for service, keys in items_by_service.items():
            backend_id = f"{data_centre}/{host_id}/{service}"
            kind = "plain" if service in self._plain_services else "engine"
            server = records.BackendServer(
                backend_id, address, data_centre, kind, service, REMOTE_INCARNATION
            )
            self._remote_ids_by_host.setdefault(host_id, set()).add(backend_id)
            self._remote_ids.add(backend_id)
            self.table.update_server(server, now)
            items = [records.parse_item(key) for key in keys]
            report = records.LoadReport(
                backend_id, REMOTE_INCARNATION, sequence, loaded=items
            )
            self.table.apply_report(report, now)

    def remove_remote(self, host_id: str) -> None:
        """Remove what another data centre serves through an entry host."""
        for backend_id in self._remote_ids_by_host.pop(host_id, ()):
            self._remote_ids.discard(backend_id)
            self.remove_server(backend_id)

    def has_server(self, items) -> bool:
        """Return whether some backend server can take a call for the items."""
        return self.table.can_serve(items)

    def driver(self, service: sheet.Service) -> drivers.Driver:
        """Return the driver of a service."""
        alias = drivers.driver_alias(service)
        if alias not in self._drivers_by_alias:
            self._drivers_by_alias[alias] = drivers.DRIVERS.get(alias)(self._pool)
        return self._drivers_by_alias[alias]

    def engine_driver(self, service: sheet.Service) -> drivers.EngineDriver:
        """Return the driver of a service; raise ProxyError if it is not for engines."""
        driver = self.driver(service)
        if not isinstance(driver, drivers.EngineDriver):
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_CONFIGURATION,
                f"service {service.name!r} does not use an engine driver",
            )
        return driver

    def complete(self, call, target, path, body: bytes) -> drivers.BackendReply:
        """Return the complete answer of an engine; raise ProxyError."""
        driver = self.engine_driver(target.service)

        def send(state):
            attempt = state.attempt
            limit_s = _completion_limit_s(call, target.service, attempt)
            timeout = self._make_timeout(call, target.items(), state, limit_s)
            if attempt.engine_call is None:
                headers = self._extra_headers(attempt)
                attempt.engine_call = driver.open_completion(
                    attempt.server, path, headers, body, timeout
                )
                timeout = self._make_timeout(call, target.items(), state, limit_s)
            attempt.engine_call.accept(timeout)
            self._end_fallback(call, state)
            return attempt.engine_call.read_reply(timeout)

        subject = crashguard.make_subject(call, "POST", path, body)
        return self._call(call, target.items(), subject, send)

    def call_service(self, call, service, method, path, headers, body):
        """Return the answer of a plain service; raise ProxyError."""
        driver = self.driver(service)
        make_call = driver.call if call.idempotent else driver.call_on_new_connection

        def send(state):
            attempt = state.attempt
            # It ends at the deadline, so a stalled server is never left for another.
            timeout = exchanges.ExtendableTimeout(call.deadline - attempt.started_at)
            server = attempt.server
            is_remote = server.backend_id in self._remote_ids
            target = f"/services/{service.name}{path}" if is_remote else path
            all_headers = [*headers, *self._extra_headers(attempt)]
            return make_call(server, method, target, all_headers, body, timeout)

        subject = crashguard.make_subject(call, method, path, body or b"")
        items = (routing.service_item(service.name),)
        return self._call(call, items, subject, send)

    def _same_centre_ids(self, server):
        """Return the ids of all remote servers in the data centre of a remote server.

        The entry hosts of a data centre know the same backend servers, so a retry
        through another of them is unlikely to succeed.
        """
        if server.backend_id not in self._remote_ids:
            return set()
        return {
            backend_id
            for backend_id in self._remote_ids
            if self.table.server(backend_id).data_centre == server.data_centre
        }

    def _extra_headers(self, attempt):
        headers = [(PRIORITY_HEADER, str(attempt.priority))]
        if attempt.server.backend_id in self._remote_ids:
            headers.append((FORWARDED_HEADER, self.table.data_centre))
        return headers

    def _call(self, call, items, subject, send):
        state = CallState(subject)
        self._budget.record_request(call.service)
        try:
            self._guard.check(subject)
            state.attempt = self._start(call, items, state.history)
            while True:
                try:
                    reply = send(state)
                    break
                except exchanges.CallFailedError as error:
                    self._next_attempt(call, items, state, error, error.failure, 0.0)
                except FallbackResumedError:
                    self._resume_fallback(call, state)
            self._guard.record_answer(subject)
            self._end_attempt(call, state, "complete")
            self._record_duration(call, "complete")
            return reply
        finally:
            self._abandon(call, state)

    def stream(self, call, target, path, body: dict):
        """Return an iterator of events once the first ones have arrived.

        Each item is a byte string of one or more whole events.
        """
        events = self._stream_events(call, target, path, body)
        first_events = next(events)
        return _chain_events(first_events, events)

    def _stream_events(self, call, target, path, body):
        subject = crashguard.make_subject(call, "POST", path, orjson.dumps(body))
        state = CallState(subject)
        progress = retries.StreamProgress()
        items = target.items()
        self._budget.record_request(call.service)
        try:
            self._guard.check(subject)
            state.attempt = self._start(call, items, state.history)
            while not progress.complete:
                try:
                    self._open_stream(call, target, path, body, state, progress)
                    yield from self._relay(call, target, state, progress)
                except exchanges.CallFailedError as error:
                    failure = error.failure
                    if progress.delivered:
                        failure = retries.Failure.INTERRUPTED
                    min_attempt_s = state.attempt.decision.estimate.first_token_s
                    self._next_attempt(
                        call, items, state, error, failure, min_attempt_s
                    )
                except FallbackResumedError:
                    self._resume_fallback(call, state)
            self._guard.record_answer(subject)
            self._end_attempt(call, state, "complete")
            self._record_duration(call, "complete")
        finally:
            self._abandon(call, state)

    def _open_stream(self, call, target, path, body, state, progress):
        """Send the call of a new attempt, and return once the engine accepted it."""
        attempt = state.attempt
        limit_s = _first_token_limit_s(call, target.service, attempt)
        make_timeout = functools.partial(
            self._make_timeout, call, target.items(), state, limit_s
        )
        if attempt.engine_call is None:
            # Another data centre that resumes a stream requests it from a later token.
            offset = body.get("resume_from", 0) if call.is_forwarded else 0
            attempt.engine_call = self.engine_driver(target.service).open_stream(
                attempt.server,
                path,
                self._extra_headers(attempt),
                body,
                offset + progress.resume_position(),
                make_timeout(),
            )
        attempt.engine_call.accept(make_timeout())
        self._end_fallback(call, state)

    def _relay(self, call, target, state, progress):
        attempt = state.attempt
        service = target.service
        gap_s = attempt.decision.estimate.gap_s
        progress_limit_s = breaker.progress_timeout_s(service, gap_s)
        progress_limit_s = max(progress_limit_s, MIN_PROGRESS_TIMEOUT_S)
        has_started = progress.delivered > 0
        while not progress.complete:
            limit_s = _first_token_limit_s(call, service, attempt)
            if attempt.tokens:
                limit_s = progress_limit_s
            timeout = self._make_timeout(call, target.items(), state, limit_s)
            events = attempt.engine_call.next_events(timeout)
            now = clock.now()
            for event in events:
                if event.startswith(drivers.LAST_EVENT):
                    progress.end()
                else:
                    # Events carry no token numbers, so each counts as the next token.
                    progress.accept(progress.delivered)
                    attempt.record_token(now)
            if not has_started and progress.delivered:
                has_started = True
                labels = {"service": call.service}
                self._metrics.first_token.record(now - call.arrived_at, labels)
            yield b"".join(events)

    def _make_timeout(self, call, items, state, limit_s):
        """Return a timeout of ``limit_s`` for an answer or its next part.

        It is extended up to the deadline if the call cannot move to another server.
        With a fallback it first ends when a refusal is no longer expected, and raises
        FallbackResumedError if the server of the fallback has gone on by then.
        """
        remaining_s = call.deadline - clock.now()
        limit_s = max(exchanges.MIN_WAIT_S, min(limit_s, remaining_s))
        first_limit_s = limit_s
        if state.fallback is not None:
            first_limit_s = min(stalltimeouts.ACCEPTANCE_S, remaining_s)
            first_limit_s = max(exchanges.MIN_WAIT_S, first_limit_s)
        further_limit_s = limit_s - first_limit_s

        def get_extension_s():
            nonlocal further_limit_s
            if state.fallback is not None:
                if state.fallback.engine_call.receive_available():
                    raise FallbackResumedError
                self._end_fallback(call, state)
            extension_s, further_limit_s = further_limit_s, 0.0
            if extension_s > 0.0:
                return extension_s
            now = clock.now()
            return stalls.further_wait_s(
                call,
                state.history,
                self._budget,
                self._has_other_server(call, items, state.history, now),
                state.attempt.decision.estimate.first_token_s,
                now,
            )

        return exchanges.ExtendableTimeout(first_limit_s, get_extension_s)

    def _has_other_server(self, call, items, history, now):
        decision = self._choose_other(call, items, history, now)
        return isinstance(decision, routing.Decision)

    def _choose_other(self, call, items, history, now):
        excluded_ids = self._breakers.excluded_ids(now) | history.tried_ids
        excluded_ids |= self._pauses_by_id(now).keys()
        if call.is_forwarded:
            excluded_ids |= self._remote_ids
        return self.table.choose(call, items, excluded_ids, now, self._rng)

    def _start(self, call, items, history):
        """Choose a backend server and return the attempt to be sent to it.

        Calls to engines of this data centre wait for admission first.
        """
        while True:
            now = clock.now()
            decision = self._choose(call, items, history, now)
            server = self.table.server(decision.backend_id)
            is_limited = self._is_limited(server)
            priority = call.priority
            if is_limited:
                priority = self._admit(call, decision, history, now)
            if priority is not None:
                break
        attempt = Attempt(server, decision, clock.now(), priority, is_limited)
        self._record_start(call, history, attempt)
        return attempt

    def _start_replacement(self, call, items, history):
        """Return an attempt at another server that admits the call now, or None."""
        now = clock.now()
        decision = self._choose_other(call, items, history, now)
        if not isinstance(decision, routing.Decision):
            return None
        server = self.table.server(decision.backend_id)
        is_limited = self._is_limited(server)
        priority = call.priority
        if is_limited:
            if self._admission.must_wait(call, decision):
                return None
            try:
                priority = self._admission.admit(call, decision, now)
            except admissionwait.RefusedError:
                return None
        attempt = Attempt(server, decision, now, priority, is_limited)
        self._record_start(call, history, attempt)
        return attempt

    def _is_limited(self, server):
        # The data centre that a call is forwarded to performs admission control.
        return server.kind == "engine" and server.backend_id not in self._remote_ids

    def _record_start(self, call, history, attempt):
        now = attempt.started_at
        decision = attempt.decision
        self._log.write(
            now,
            f"{call.request_id} is sent to {decision.backend_id} "
            f"(routing reason: {decision.reason})",
            request_id=call.request_id,
            attempt=history.count + 1,
        )
        history.record_start(decision.backend_id)
        self.table.record_start(decision.backend_id, call, now)
        self._breakers.record_start(decision.backend_id, now)
        self.in_flight += 1

    def _admit(self, call, decision, history, now):
        try:
            return self._admission.admit(call, decision, now)
        except admissionwait.RefusedError as error:
            now = clock.now()
            raise self._refusal_error(call, error.refusal, history, now) from None

    def _refusal_error(self, call, refusal, history, now):
        self._record_duration(call, "refused")
        self._log.write(
            now, f"{call.request_id} refused: {refusal.detail}", kind=refusal.kind.value
        )
        error = refusal.error()
        error.executed = history.executed
        return error

    def _choose(self, call, items, history, now):
        open_breaker_ids = self._breakers.excluded_ids(now)
        # A call forwarded by another data centre must not be forwarded again.
        forbidden_ids = set(self._remote_ids) if call.is_forwarded else set()
        pauses_by_id = self._pauses_by_id(now)
        forbidden_ids |= pauses_by_id.keys()
        # Fall back to servers that have an open breaker or were already tried: they may
        # be the only ones with the model.
        refusals = []
        tried_or_forbidden_ids = history.tried_ids | forbidden_ids
        for excluded_ids in (
            open_breaker_ids | tried_or_forbidden_ids,
            tried_or_forbidden_ids,
            forbidden_ids,
        ):
            decision = self.table.choose(call, items, excluded_ids, now, self._rng)
            if isinstance(decision, routing.Decision):
                return decision
            refusals.append(decision)
        holders = self.table.holders(items, pauses_by_id)
        if holders:
            left_s = min(pauses_by_id[backend_id] for backend_id in holders)
            left_s += self._rng.random() * waiting.PAUSE_RETURN_SPREAD_S
            refusals[0] = routing.Refusal(
                errors.ErrorKind.OVERLOADED,
                "the backend servers that can take the call have asked for a pause",
                math.ceil(left_s),
            )
        raise self._refusal_error(call, refusals[0], history, now)

    def _pauses_by_id(self, now):
        """Return for how long to leave servers alone that have asked for a pause."""
        waits_s = self.pauses.unusable_addresses(now)
        if not waits_s:
            return {}
        return {
            backend_id: waits_s[address]
            for backend_id, address in self.table.addresses()
            if address in waits_s
        }

    def _end_attempt(self, call, state, result):
        attempt, state.attempt = state.attempt, None
        if attempt is not None:
            self._finish(call, attempt, result)

    def _end_fallback(self, call, state):
        fallback, state.fallback = state.fallback, None
        if fallback is not None:
            self._finish(call, fallback, "failed")

    def _abandon(self, call, state):
        """End the attempts that are still open when a call ends."""
        self._end_attempt(call, state, "abandoned")
        state.return_to_fallback()
        self._end_attempt(call, state, "abandoned")
        self._guard.end(state.subject)

    def _resume_fallback(self, call, state):
        """Return to a stalled attempt whose server went on."""
        self._end_attempt(call, state, "abandoned")
        state.return_to_fallback()

    def _finish(self, call, attempt, result):
        now = clock.now()
        if attempt.engine_call is not None:
            attempt.engine_call.close()
        self.in_flight -= 1
        backend_id = attempt.server.backend_id
        outcome = attempt.outcome(result, now)
        self.table.record_finish(backend_id, call, outcome, now)
        self._breakers.record_finish(backend_id, result, now, self._rng)
        if attempt.is_limited:
            if self.pauses.left_s(attempt.server.address, now) > 0.0:
                self._admission.reroute(backend_id)
            self._admission.record_finish(backend_id, call, outcome, now)

    def _next_attempt(self, call, items, state, error, failure, min_attempt_s):
        """Set the attempt that follows a failed one; raise ProxyError if none does."""
        state.history.tried_ids |= self._same_centre_ids(state.attempt.server)
        now = clock.now()
        if state.is_stalled(error.failure) and now < call.deadline:
            self._replace_stalled(call, items, state, error, failure, min_attempt_s)
            return
        attempt = state.attempt
        self._end_attempt(call, state, _outcome_result(error.failure))
        is_local = attempt.server.backend_id not in self._remote_ids
        if error.failure is retries.Failure.LOST and is_local:
            ran_s = now - attempt.first_token_at if attempt.tokens else None
            self._guard.record_break(state.subject, attempt.server, ran_s)
        if state.fallback is not None:
            self._log.write(
                now,
                f"{call.request_id}: return to {state.fallback.server.backend_id} "
                f"after a failed attempt: {error.detail}",
                request_id=call.request_id,
            )
            state.return_to_fallback()
            return
        self._after_failure(call, failure, error, state.history, min_attempt_s)
        self._check_repetition(call, state)
        state.attempt = self._start(call, items, state.history)

    def _check_repetition(self, call, state):
        """Raise ProxyError if the call crashes servers; it may have run at some."""
        try:
            self._guard.check(state.subject)
        except errors.ProxyError as error:
            self._record_duration(call, "refused")
            error.executed = state.history.executed
            raise

    def _replace_stalled(self, call, items, state, error, failure, min_attempt_s):
        """Try another server for a stalled call, or continue the attempt."""
        now = clock.now()
        reason = retries.reason_to_give_up(
            call, failure, state.history, self._budget, now + min_attempt_s
        )
        if reason is not None:
            return
        replacement = self._start_replacement(call, items, state.history)
        if replacement is None:
            return
        state.attempt, state.fallback = replacement, state.attempt
        state.history.executed = retries.RULES[failure].executed
        self._budget.spend(call.service)
        self._log.write(
            now,
            f"{call.request_id}: another server is tried after a stall: {error.detail}",
            request_id=call.request_id,
            reason=failure.value,
        )
        labels = {"service": call.service, "reason": failure.value}
        self._metrics.retries.add(1, labels)

    def _after_failure(self, call, failure, error, history, min_attempt_s):
        now = clock.now()
        decision = retries.decide(
            call, failure, history, self._budget, min_attempt_s, now, self._rng
        )
        self._log.write(
            now,
            f"{call.request_id}: {decision.action} after a failed attempt: "
            f"{error.detail}",
            request_id=call.request_id,
            reason=decision.reason,
        )
        if decision.action == "give-up":
            self._record_duration(call, "failed")
            raise errors.ProxyError(
                decision.kind, error.detail, executed=decision.executed
            )
        labels = {"service": call.service, "reason": decision.reason}
        self._metrics.retries.add(1, labels)
        if decision.delay_s > 0:
            gevent.sleep(decision.delay_s)

    def _record_duration(self, call, outcome):
        duration_s = clock.now() - call.arrived_at
        labels = {"service": call.service, "outcome": outcome}
        self._metrics.request_duration.record(duration_s, labels)


def _outcome_result(failure) -> str:
    return "refused" if failure is retries.Failure.REFUSED else "failed"


def _first_token_limit_s(call, service, attempt):
    expected_s = attempt.decision.estimate.first_token_s
    limit_s = breaker.first_token_timeout_s(service, expected_s)
    return min(limit_s, call.deadline - attempt.started_at)


def _completion_limit_s(call, service, attempt):
    remaining_s = call.deadline - attempt.started_at
    if not call.max_tokens:
        return remaining_s
    estimate = attempt.decision.estimate
    first_s = breaker.first_token_timeout_s(service, estimate.first_token_s)
    gap_s = breaker.progress_timeout_s(service, estimate.gap_s)
    return min(remaining_s, first_s + call.max_tokens * gap_s)


def _chain_events(first_events, events):
    yield first_events
    yield from events
