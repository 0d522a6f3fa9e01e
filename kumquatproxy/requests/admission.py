"""Whether a request is sent now, waits at the host, or is refused at once."""

import heapq
import itertools

from kumquatproxy import errors, records
from kumquatproxy.requests import fairqueue, routing

FIRST_LIMIT = 64.0  # requests in flight from one host at one backend server
MIN_LIMIT = 2.0
MAX_LIMIT = 1024.0
LIMIT_DECREASE = 0.9
LIMIT_INCREASE = 1.0  # per limit's worth of requests that ended in time
QUEUE_LIMIT = 64  # waiting requests for one backend server at one host
MARGIN_QUANTILE = 0.5  # share of admitted requests whose prediction must hold
LATEST_START_SHARE = 0.8  # of the predicted time after the wait
MARGIN_STEP = 0.02
MIN_MARGIN = 0.5
MAX_MARGIN = 4.0
FLOOR_SHARE = 0.05  # of admitted requests, kept for models that got none lately
FLOOR_BURST = 5.0
FLOOR_INTERVAL_S = 5.0
FLOOR_PRIORITY = 9
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class Verdict(records.Record):
    """Tell what happens to a request: ``admit``, ``queue`` or ``refuse``.

    ``priority`` is the one to send to the engine; it is raised for a request that
    is admitted to keep its model reachable.
    """

    __slots__ = ("action", "entry", "priority", "reason", "refusal")

    def __init__(self, action, reason, priority=0, refusal=None, entry=None):
        self.action: str = action
        self.reason: str = reason
        self.priority: int = priority
        self.refusal: routing.Refusal | None = refusal
        self.entry: QueuedRequest | None = entry  # the place in the queue


class QueuedRequest:
    """Hold one request that waits at the host for a backend server."""

    __slots__ = ("backend_id", "decision", "latest_start", "request")

    def __init__(self, request, decision, latest_start):
        self.request: records.CallRequest = request
        self.decision: routing.Decision = decision
        self.backend_id: str = decision.backend_id
        self.latest_start: float = latest_start  # after this the deadline is missed


class AdaptiveLimit:
    """Adapt the requests in flight at one backend server to what ends in time.

    Additive increase and multiplicative decrease: several hosts share a backend
    server without knowing of each other, and this rule makes their limits equal.
    """

    __slots__ = ("_decreased_at", "limit")

    def __init__(self):
        self.limit: float = FIRST_LIMIT
        self._decreased_at: float = 0.0

    def observe(self, in_time: bool, in_flight: int, started_at, now) -> None:
        """Take in the end of one request that began at ``started_at``."""
        if in_time:
            if in_flight >= self.limit * 0.5:
                self.limit = min(self.limit + LIMIT_INCREASE / self.limit, MAX_LIMIT)
            return
        # Requests sent before the last decrease say nothing about the new limit.
        if started_at >= self._decreased_at:
            base = min(self.limit, max(in_flight, MIN_LIMIT))
            self.limit = max(base * LIMIT_DECREASE, MIN_LIMIT)
            self._decreased_at = now


class _Sent(records.Record):
    """Hold one request in flight."""

    __slots__ = ("level", "predicted_s", "started_at")

    def __init__(self, started_at, predicted_s, level):
        self.started_at: float = started_at
        self.predicted_s: float = predicted_s
        self.level: int = level


class Gate:
    """Hold limits, requests in flight and queue of one backend server at one host.

    Each class has its own limit, which counts the requests of that class and of the
    ones above. Engines serve higher classes first, so lower ones must neither use up
    the places of the higher ones nor lower their limit by ending late.
    """

    __slots__ = ("_in_flight", "limits", "queue", "sent_by_id")

    def __init__(self, weights):
        self.limits = [AdaptiveLimit() for _ in range(fairqueue.CLASSES)]
        self.sent_by_id: dict[str, _Sent] = {}
        self.queue = fairqueue.FairQueue(QUEUE_LIMIT, weights)
        self._in_flight = [0] * fairqueue.CLASSES

    def in_flight(self, level: int) -> int:
        """Return the requests in flight of a class and of the ones above."""
        return sum(self._in_flight[level:])

    def has_room(self, level: int) -> bool:
        """Return whether one more request of a class may be sent."""
        return self.in_flight(level) < int(self.limits[level].limit)

    def enter(self, request, predicted_s: float, now: float) -> None:
        """Note that a request is sent."""
        level = fairqueue.priority_class(request.priority)
        self.sent_by_id[request.request_id] = _Sent(now, predicted_s, level)
        self._in_flight[level] += 1

    def leave(self, request) -> _Sent | None:
        """Note the end of a request; return what was noted when it was sent."""
        sent = self.sent_by_id.pop(request.request_id, None)
        if sent is not None:
            self._in_flight[sent.level] -= 1
        return sent


class Floor:
    """Keep a small share of admissions for models that got none lately."""

    __slots__ = ("_last_by_model", "_tokens")

    def __init__(self):
        self._tokens: float = FLOOR_BURST
        self._last_by_model: dict[str, float] = {}

    def admitted(self, model: str, now: float) -> None:
        """Note an ordinary admission."""
        self._last_by_model[model] = now
        self._tokens = min(self._tokens + FLOOR_SHARE, FLOOR_BURST)

    def take(self, model: str, now: float) -> bool:
        """Return whether a refused request is to be admitted after all."""
        last = self._last_by_model.get(model)
        if last is not None and now - last < FLOOR_INTERVAL_S:
            return False
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._last_by_model[model] = now
        return True


class Margin:
    """Learn by which factor predictions must be raised to hold in most cases."""

    __slots__ = ("factor",)

    def __init__(self):
        self.factor: float = 1.0

    def observe(self, predicted_s: float, actual_s: float) -> None:
        """Move towards the quantile of actual over predicted time."""
        if predicted_s <= 0.0:
            return
        if actual_s > predicted_s * self.factor:
            self.factor += MARGIN_STEP * MARGIN_QUANTILE
        else:
            self.factor -= MARGIN_STEP * (1.0 - MARGIN_QUANTILE)
        self.factor = min(max(self.factor, MIN_MARGIN), MAX_MARGIN)


def latest_first_token_at(request, estimate) -> float:
    """Return when a request without a first token is to be cancelled and refused.

    Started later it would take the place of requests that can still end in time.
    """
    served_s = estimate.duration_s - estimate.wait_s
    return request.deadline - served_s * LATEST_START_SHARE


class Admission:
    """Decide on admission at one entry host."""

    __slots__ = ("_expiries", "_gates_by_id", "_margins", "_order", "floor", "weights")

    def __init__(self):
        self.floor = Floor()
        self.weights: dict[tuple[str, str], float] = {}
        self._gates_by_id: dict[str, Gate] = {}
        self._margins: dict[tuple[str, int], Margin] = {}
        self._expiries: list[tuple[float, int, QueuedRequest]] = []
        self._order = itertools.count()

    def set_shares(self, sheet) -> None:
        """Take the shares of organisations and services from a sheet.

        The shares of an organisation's services divide the organisation's share.
        """
        totals: dict[str, float] = {}
        for service in sheet.services_by_name.values():
            total = totals.get(service.organisation, 0.0)
            totals[service.organisation] = total + service.share
        self.weights.clear()
        for service in sheet.services_by_name.values():
            organisation = sheet.organisations_by_name[service.organisation]
            part = service.share / totals[service.organisation]
            self.weights[service.organisation, service.name] = organisation.share * part

    def gate(self, backend_id: str) -> Gate:
        """Return the gate of a backend server."""
        if backend_id not in self._gates_by_id:
            self._gates_by_id[backend_id] = Gate(self.weights)
        return self._gates_by_id[backend_id]

    def margin(self, request) -> Margin:
        """Return the margin for requests like this one."""
        key = (request.service, fairqueue.priority_class(request.priority))
        if key not in self._margins:
            self._margins[key] = Margin()
        return self._margins[key]

    def admit(self, request, decision: routing.Decision, now: float) -> Verdict:
        """Decide on a request that routing would send to ``decision.backend_id``."""
        gate = self.gate(decision.backend_id)
        left_s = request.deadline - now
        needed_s = decision.estimate.duration_s * self.margin(request).factor
        wait_s = self._queue_wait_s(gate, request, decision.estimate)
        if needed_s + wait_s > left_s:
            return self._late(request, decision, left_s, needed_s + wait_s, now)
        level = fairqueue.priority_class(request.priority)
        if gate.has_room(level) and gate.queue.ahead(request.priority) == 0:
            self._enter(gate, request, decision.estimate, now)
            return Verdict("admit", "in-time", request.priority)
        entry = QueuedRequest(request, decision, request.deadline - needed_s)
        displaced = gate.queue.push(entry)
        if displaced is entry:
            return self._refuse(
                errors.ErrorKind.QUEUE_FULL, "the queue is full", wait_s
            )
        heapq.heappush(self._expiries, (entry.latest_start, next(self._order), entry))
        if displaced is not None:
            self._expire_now(displaced)
        return Verdict("queue", "limit", request.priority, entry=entry)

    def _late(self, request, decision, left_s, needed_s, now):
        unloaded_s = decision.estimate.duration_s - decision.estimate.wait_s
        if unloaded_s <= left_s and self.floor.take(request.model, now):
            gate = self.gate(decision.backend_id)
            self._enter(gate, request, decision.estimate, now, floor=True)
            return Verdict("admit", "floor", FLOOR_PRIORITY)
        detail = f"about {needed_s:.1f} s needed, {left_s:.1f} s left"
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        return self._refuse(kind, detail, needed_s - left_s)

    def _refuse(self, kind, detail, wait_s):
        retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        refusal = routing.Refusal(kind, detail, retry_after_s)
        return Verdict("refuse", kind.value, 0, refusal)

    def _queue_wait_s(self, gate, request, estimate):
        level = fairqueue.priority_class(request.priority)
        ahead = gate.queue.ahead(request.priority)
        if ahead == 0 and gate.has_room(level):
            return 0.0
        return (ahead + 1) * estimate.duration_s / gate.limits[level].limit

    def _enter(self, gate, request, estimate, now, floor=False):
        gate.enter(request, estimate.duration_s, now)
        if not floor:
            self.floor.admitted(request.model, now)

    def record_finish(self, backend_id, request, outcome, now) -> list[QueuedRequest]:
        """Note the end of an admitted request; return queued ones to send now.

        Each returned request counts as admitted at its ``backend_id``.
        """
        gate = self.gate(backend_id)
        sent = gate.leave(request)
        if sent is not None:
            in_flight = gate.in_flight(sent.level) + 1
            in_time = outcome.result == "complete" and now <= request.deadline
            if outcome.result != "abandoned" or now >= request.deadline:
                limit = gate.limits[sent.level]
                limit.observe(in_time, in_flight, sent.started_at, now)
            if outcome.result == "complete" or now >= request.deadline:
                self.margin(request).observe(sent.predicted_s, now - sent.started_at)
        return self._release(gate, now)

    def _release(self, gate, now):
        released = []
        while True:
            entry = gate.queue.pop(gate.has_room)
            if entry is None:
                break
            if now > entry.latest_start:
                self._expire_now(entry)
                continue
            self._enter(gate, entry.request, entry.decision.estimate, now)
            entry.latest_start = float("inf")
            released.append(entry)
        return released

    def _expire_now(self, entry):
        # The entry has left its queue; ``expired`` hands it out at the next call.
        entry.latest_start = float("-inf")
        heapq.heappush(self._expiries, (entry.latest_start, next(self._order), entry))

    def cancel(self, entry: QueuedRequest) -> None:
        """Take out a queued request whose caller has gone away."""
        self.gate(entry.backend_id).queue.remove(entry)
        entry.latest_start = float("inf")

    def take_expired(self, now: float) -> list[tuple[QueuedRequest, routing.Refusal]]:
        """Take out queued requests that can no longer make their deadline."""
        refused = []
        while self._expiries and self._expiries[0][0] < now:
            when, _, entry = heapq.heappop(self._expiries)
            if entry.latest_start == float("inf"):
                continue
            displaced = when == float("-inf")
            if not displaced and not self.gate(entry.backend_id).queue.remove(entry):
                continue
            entry.latest_start = float("inf")
            kind = errors.ErrorKind.DEADLINE_UNREACHABLE
            detail = "the wait in the queue leaves too little time"
            if displaced:
                kind = errors.ErrorKind.QUEUE_FULL
                detail = "a request of a higher class or a smaller flow took the place"
            refused.append((entry, routing.Refusal(kind, detail, MIN_RETRY_AFTER_S)))
        return refused

    def next_expiry(self) -> float | None:
        """Return when ``expired`` has to be called next, or None."""
        return self._expiries[0][0] if self._expiries else None

    def remove_server(self, backend_id: str) -> list[QueuedRequest]:
        """Forget a backend server; return its queued requests, to be routed anew."""
        gate = self._gates_by_id.pop(backend_id, None)
        waiting: list[QueuedRequest] = []
        while gate is not None and gate.queue.size:
            entry = gate.queue.pop()
            entry.latest_start = float("inf")
            waiting.append(entry)
        return waiting
