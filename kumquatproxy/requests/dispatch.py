"""Dispatch of requests to backend servers: routing, calls, retries, resumption.

No greenlet switch happens within a change of the state of a ``Dispatcher``, so each
change is atomic for the other greenlets of the entry host.
"""

import functools
import random

import gevent

from kumquatproxy import clock, errors, logs, metrics, records
from kumquatproxy.configuration import sheet
from kumquatproxy.requests import (
    admissionwait,
    breaker,
    drivers,
    estimates,
    exchanges,
    retries,
    routing,
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


class Dispatcher:
    """Routing state and calls in flight of one entry host."""

    def __init__(self, data_centre, policy, rng, metrics_registry):
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
        self._pool = exchanges.ConnectionPool()
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
        self.table.update_server(server, now)

    def remove_server(self, backend_id: str) -> None:
        """Remove a backend server that has left or failed."""
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

        def send(attempt, history):
            limit_s = _completion_limit_s(call, target.service, attempt)
            timeout = self._make_timeout(
                call, target.items(), attempt, history, limit_s
            )
            headers = self._extra_headers(attempt)
            return driver.complete(attempt.server, path, headers, body, timeout)

        return self._call(call, target.items(), send)

    def call_service(self, call, service, method, path, headers, body):
        """Return the answer of a plain service; raise ProxyError."""
        driver = self.driver(service)
        make_call = driver.call if call.idempotent else driver.call_on_new_connection

        def send(attempt, history):
            timeout = exchanges.ExtendableTimeout(call.deadline - attempt.started_at)
            server = attempt.server
            is_remote = server.backend_id in self._remote_ids
            target = f"/services/{service.name}{path}" if is_remote else path
            all_headers = [*headers, *self._extra_headers(attempt)]
            return make_call(server, method, target, all_headers, body, timeout)

        return self._call(call, (routing.service_item(service.name),), send)

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

    def _call(self, call, items, send):
        history = retries.AttemptHistory()
        self._budget.record_request(call.service)
        while True:
            attempt = self._start(call, items, history)
            result = "abandoned"
            try:
                reply = send(attempt, history)
                result = "complete"
                self._record_duration(call, "complete")
                return reply
            except exchanges.CallFailedError as error:
                result = _outcome_result(error.failure)
                history.tried_ids |= self._same_centre_ids(attempt.server)
                self._after_failure(call, error.failure, error, history, 0.0)
            finally:
                self._finish(call, attempt, result)

    def stream(self, call, target, path, body: dict):
        """Return an iterator of events once the first ones have arrived.

        Each item is a byte string of one or more whole events.
        """
        events = self._stream_events(call, target, path, body)
        first_events = next(events)
        return _chain_events(first_events, events)

    def _stream_events(self, call, target, path, body):
        history = retries.AttemptHistory()
        progress = retries.StreamProgress()
        # Another data centre that resumes a stream requests it from a later token on.
        offset = body.get("resume_from", 0) if call.is_forwarded else 0
        self._budget.record_request(call.service)
        while not progress.complete:
            attempt = self._start(call, target.items(), history)
            event_stream = None
            result = "abandoned"
            try:
                resume_position = offset + progress.resume_position()
                driver = self.engine_driver(target.service)
                make_timeout = functools.partial(
                    self._make_timeout, call, target.items(), attempt, history
                )
                timeout = make_timeout(
                    _first_token_limit_s(call, target.service, attempt)
                )
                headers = self._extra_headers(attempt)
                event_stream = driver.open_stream(
                    attempt.server, path, headers, body, resume_position, timeout
                )
                yield from self._relay(
                    call, target.service, attempt, event_stream, progress, make_timeout
                )
                result = "complete"
            except exchanges.CallFailedError as error:
                result = _outcome_result(error.failure)
                history.tried_ids |= self._same_centre_ids(attempt.server)
                failure = error.failure
                if progress.delivered:
                    failure = retries.Failure.INTERRUPTED
                min_attempt_s = attempt.decision.estimate.first_token_s
                self._after_failure(call, failure, error, history, min_attempt_s)
            finally:
                if event_stream is not None:
                    event_stream.close()
                self._finish(call, attempt, result)
        self._record_duration(call, "complete")

    def _relay(self, call, service, attempt, event_stream, progress, make_timeout):
        limit_s = _first_token_limit_s(call, service, attempt)
        gap_s = attempt.decision.estimate.gap_s
        progress_limit_s = breaker.progress_timeout_s(service, gap_s)
        progress_limit_s = max(progress_limit_s, MIN_PROGRESS_TIMEOUT_S)
        has_started = progress.delivered > 0
        while not progress.complete:
            events = event_stream.next_events(make_timeout(limit_s))
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
            limit_s = min(progress_limit_s, call.deadline - now)

    def _make_timeout(self, call, items, attempt, history, limit_s):
        """Return a timeout of ``limit_s`` for an answer or its next part.

        It is extended up to the deadline if the call cannot move to another server.
        """

        def get_extension_s():
            now = clock.now()
            min_attempt_s = attempt.decision.estimate.first_token_s
            return stalls.further_wait_s(
                call,
                history,
                self._budget,
                self._has_other_server(call, items, history, now),
                min_attempt_s,
                now,
            )

        return exchanges.ExtendableTimeout(
            max(exchanges.MIN_WAIT_S, limit_s), get_extension_s
        )

    def _has_other_server(self, call, items, history, now):
        excluded_ids = self._breakers.excluded_ids(now) | history.tried_ids
        if call.is_forwarded:
            excluded_ids |= self._remote_ids
        decision = self.table.choose(call, items, excluded_ids, now, self._rng)
        return isinstance(decision, routing.Decision)

    def _start(self, call, items, history):
        """Choose a backend server and return the attempt to be sent to it.

        Calls to engines of this data centre wait for admission first.
        """
        while True:
            now = clock.now()
            decision = self._choose(call, items, history, now)
            server = self.table.server(decision.backend_id)
            # The data centre that a call is forwarded to performs admission control.
            is_limited = server.kind == "engine"
            is_limited = is_limited and server.backend_id not in self._remote_ids
            priority = call.priority
            if is_limited:
                priority = self._admit(call, decision, history, now)
            if priority is not None:
                break
        now = clock.now()
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
        return Attempt(server, decision, now, priority, is_limited)

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
        forbidden_ids = self._remote_ids if call.is_forwarded else set()
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
        raise self._refusal_error(call, refusals[0], history, now)

    def _finish(self, call, attempt, result):
        now = clock.now()
        self.in_flight -= 1
        backend_id = attempt.server.backend_id
        outcome = attempt.outcome(result, now)
        self.table.record_finish(backend_id, call, outcome, now)
        self._breakers.record_finish(backend_id, result, now, self._rng)
        if attempt.is_limited:
            self._admission.record_finish(backend_id, call, outcome, now)

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
