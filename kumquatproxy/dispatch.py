"""Carry requests to backend servers: choose, call, retry, resume.

The state of a ``Dispatcher`` is changed only by methods that do not yield, so
that each change is atomic among the greenlets of the entry host.
"""

import random
import time

from kumquatproxy import drivers, errors, logs, records, sheet

MAX_ATTEMPTS = 4
FIRST_TOKEN_MARGIN = 2.0  # times the expected time to the first token
TOKEN_GAP_MARGIN = 2.0  # times the expected gap between tokens
MIN_PROGRESS_TIMEOUT_S = 0.1


class ServerState:
    """Hold what the dispatcher knows of one backend server."""

    __slots__ = ("in_flight", "loaded", "server")

    def __init__(self, server):
        self.server: records.BackendServer = server
        self.loaded: frozenset[records.Item] = frozenset()
        self.in_flight = 0


class Dispatcher:
    """Own an entry host's view of the backend servers and its calls in flight."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._states_by_id: dict[str, ServerState] = {}
        self._pool = drivers.Pool()
        self._drivers_by_alias: dict[str, drivers.Driver] = {}
        self._log = logs.Log("route")
        self.in_flight = 0

    def update_server(self, server: records.BackendServer) -> None:
        """Take a new or changed announcement."""
        state = self._states_by_id.get(server.backend_id)
        if state is None or state.server.incarnation != server.incarnation:
            self._states_by_id[server.backend_id] = ServerState(server)
        else:
            state.server = server

    def remove_server(self, backend_id: str) -> None:
        """Forget a backend server that is gone."""
        self._states_by_id.pop(backend_id, None)

    def update_report(self, report: records.LoadReport) -> None:
        """Take a load report."""
        state = self._states_by_id.get(report.backend_id)
        if state is not None:
            state.loaded = frozenset(report.loaded)

    def driver(self, service: sheet.Service) -> drivers.Driver:
        """Return the driver of a service."""
        alias = drivers.driver_alias(service)
        if alias not in self._drivers_by_alias:
            self._drivers_by_alias[alias] = drivers.DRIVERS.get(alias)(self._pool)
        return self._drivers_by_alias[alias]

    def has_server(self, service: str, items) -> bool:
        """Return whether some backend server of a service has the items."""
        return any(
            state.server.service == service and state.loaded.issuperset(items)
            for state in self._states_by_id.values()
        )

    def engine_driver(self, service: sheet.Service) -> drivers.EngineDriver:
        """Return the driver of an engine service; raise ProxyError for another."""
        driver = self.driver(service)
        if not isinstance(driver, drivers.EngineDriver):
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_CONFIGURATION,
                f"service {service.name!r} has no driver for engines",
            )
        return driver

    def choose(self, call, items, excluded_ids, now) -> ServerState:
        """Return the backend server for a call; raise ProxyError if none fits."""
        candidates = [
            state
            for state in self._states_by_id.values()
            if state.server.service == call.service
            and not state.server.leaving
            and state.loaded.issuperset(items)
        ]
        fresh = [s for s in candidates if s.server.backend_id not in excluded_ids]
        candidates = fresh or candidates
        if not candidates:
            names = ", ".join(item.key() for item in items) or "any call"
            raise errors.ProxyError(
                errors.ErrorKind.NO_BACKEND_SERVER,
                f"no backend server of {call.service!r} is ready for {names}",
            )
        sample = self._rng.sample(candidates, min(2, len(candidates)))
        state = min(sample, key=lambda candidate: candidate.in_flight)
        self._log.write(
            now,
            f"{call.request_id} to {state.server.backend_id}, fewest in flight",
            request_id=call.request_id,
        )
        return state

    def complete(self, call, target, path, body: bytes) -> drivers.BackendReply:
        """Return the whole answer of an engine; raise ProxyError."""
        driver = self.driver(target.service)
        headers = [("Content-Type", "application/json")]

        def attempt(state, now):
            timeout_s = call.deadline - now
            return driver.call(state.server, "POST", path, headers, body, timeout_s)

        return self._with_retries(call, target.items(), attempt)

    def call_service(self, call, service, method, path, headers, body):
        """Return the answer of a plain service; raise ProxyError."""
        driver = self.driver(service)

        def attempt(state, now):
            timeout_s = call.deadline - now
            make = driver.call if call.idempotent else driver.call_once
            return make(state.server, method, path, headers, body, timeout_s)

        return self._with_retries(call, (), attempt)

    def _with_retries(self, call, items, attempt):
        failed_ids: set[str] = set()
        while True:
            now = time.monotonic()
            state = self.choose(call, items, failed_ids, now)
            state.in_flight += 1
            self.in_flight += 1
            try:
                return attempt(state, now)
            except drivers.CallFailed as failure:
                failed_ids.add(state.server.backend_id)
                self._check_retry(call, failure, len(failed_ids))
            finally:
                state.in_flight -= 1
                self.in_flight -= 1

    def _check_retry(self, call, failure, attempts):
        may_repeat = call.idempotent or failure.certainly_not_run
        in_time = time.monotonic() < call.deadline
        if may_repeat and in_time and attempts < MAX_ATTEMPTS:
            return
        executed = "no" if failure.certainly_not_run else "unknown"
        raise errors.ProxyError(failure.kind, failure.detail, executed=executed)

    def stream(self, call, target, path, body: dict):
        """Return an iterator of events, once the first event has arrived."""
        events = self._events(call, target, path, body)
        first = next(events)
        return _with_first(first, events)

    def _events(self, call, target, path, body):
        driver = self.engine_driver(target.service)
        failed_ids: set[str] = set()
        delivered = 0
        while True:
            now = time.monotonic()
            state = self.choose(call, target.items(), failed_ids, now)
            state.in_flight += 1
            self.in_flight += 1
            source = None
            try:
                wait_s = self._wait_s(call, target, now, first=True)
                source = driver.open_stream(state.server, path, body, delivered, wait_s)
                while True:
                    event = source.next_event(wait_s)
                    if event.startswith(drivers.LAST_EVENT):
                        yield event
                        return
                    delivered += 1
                    yield event
                    wait_s = self._wait_s(call, target, time.monotonic(), first=False)
            except drivers.CallFailed as failure:
                failed_ids.add(state.server.backend_id)
                self._check_retry(call, failure, len(failed_ids))
            finally:
                state.in_flight -= 1
                self.in_flight -= 1
                if source is not None:
                    source.close()

    def _wait_s(self, call, target, now, first):
        if first:
            expected_s = target.service.first_token * FIRST_TOKEN_MARGIN
        else:
            expected_s = target.service.token_gap * TOKEN_GAP_MARGIN
        expected_s = max(expected_s, MIN_PROGRESS_TIMEOUT_S)
        return max(0.001, min(expected_s, call.deadline - now))


def _with_first(first, events):
    yield first
    yield from events
