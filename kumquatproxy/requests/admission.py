"""Admission control: send a request, queue it at the host, or refuse it."""

import heapq
import itertools

from kumquatproxy import errors, records
from kumquatproxy.requests import fairqueue, routing

INITIAL_LIMIT = 64.0  # requests in flight from one host at one backend server
MIN_LIMIT = 2.0
MAX_LIMIT = 1024.0
LIMIT_DECREASE_FACTOR = 0.9
LIMIT_INCREASE_STEP = 1.0  # for each ``limit`` requests that end in time
QUEUE_LIMIT = 64  # queued requests for one backend server at one host
MARGIN_QUANTILE = 0.5  # share of requests that should end within the prediction
FIRST_TOKEN_CUTOFF_SHARE = 0.8  # of the predicted duration without the wait
MARGIN_LEARNING_STEP = 0.02
MIN_MARGIN = 0.5
MAX_MARGIN = 4.0
# A model without an admission in the last interval may get one by a token bucket; each
# regular admission of any model adds the share to the bucket, up to the burst.
MINIMUM_ADMISSION_SHARE = 0.05
MINIMUM_ADMISSION_BURST = 5.0
MINIMUM_ADMISSION_INTERVAL_S = 5.0
MINIMUM_ADMISSION_PRIORITY = 9  # at the engine
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class AdmissionDecision(records.Record):
    """Result of admission control for one request.

    ``action`` is ``admit``, ``queue`` or ``refuse``. ``priority`` is the priority to
    send to the engine; it is raised for a request that ``MinimumAdmission`` admits.
    """

    __slots__ = ("action", "entry", "priority", "reason", "refusal")

    def __init__(self, action, reason, priority=0, refusal=None, entry=None):
        self.action: str = action
        self.reason: str = reason
        self.priority: int = priority
        self.refusal: routing.Refusal | None = refusal
        self.entry: QueuedRequest | None = entry  # set if queued


class QueuedRequest:
    """A request that waits at the host for a backend server."""

    __slots__ = ("backend_id", "decision", "latest_start", "request")

    def __init__(self, request, decision, latest_start):
        self.request: records.CallRequest = request
        self.decision: routing.Decision = decision
        self.backend_id: str = decision.backend_id
        # A start after this time misses the deadline. Once the entry is no longer
        # queued: -inf until ``take_refused`` returns its refusal, then inf; inf also
        # after its release or cancellation.
        self.latest_start: float = latest_start


class AdaptiveLimit:
    """Adaptive concurrency limit of one backend server.

    The limit follows additive increase and multiplicative decrease (AIMD): hosts that
    share a backend server don't communicate, and AIMD makes their limits converge.
    """

    __slots__ = ("_decreased_at", "limit")

    def __init__(self):
        self.limit: float = INITIAL_LIMIT
        self._decreased_at: float = 0.0

    def observe(self, in_time: bool, in_flight: int, started_at, now) -> None:
        """Adjust the limit to the end of a request that was sent at ``started_at``."""
        if in_time:
            if in_flight >= self.limit * 0.5:
                self.limit = min(
                    self.limit + LIMIT_INCREASE_STEP / self.limit, MAX_LIMIT
                )
            return
        # Requests sent before the last decrease were not subject to the new limit.
        if started_at >= self._decreased_at:
            reduced_from = min(self.limit, max(in_flight, MIN_LIMIT))
            self.limit = max(reduced_from * LIMIT_DECREASE_FACTOR, MIN_LIMIT)
            self._decreased_at = now


class _RequestInFlight(records.Record):
    """Start time, prediction and priority class of a request in flight."""

    __slots__ = ("level", "predicted_s", "started_at")

    def __init__(self, started_at, predicted_s, level):
        self.started_at: float = started_at
        self.predicted_s: float = predicted_s
        self.level: int = level  # index of the priority class


class ConcurrencyLimiter:
    """Concurrency limits, requests in flight and queue of one backend server.

    Each priority class has its own limit, which counts the requests of that class and
    of all higher ones. Engines serve higher classes first, so requests of a lower class
    must not use up the capacity of a higher class, nor reduce its limit by ending late.
    """

    __slots__ = ("_in_flight_by_class", "in_flight_by_id", "limits", "queue")

    def __init__(self, weights):
        self.limits = [AdaptiveLimit() for _ in range(fairqueue.CLASS_COUNT)]
        self.in_flight_by_id: dict[str, _RequestInFlight] = {}
        self.queue = fairqueue.FairQueue(QUEUE_LIMIT, weights)
        self._in_flight_by_class = [0] * fairqueue.CLASS_COUNT

    def in_flight(self, class_index: int) -> int:
        """Return the number of requests in flight of a class and all higher ones."""
        return sum(self._in_flight_by_class[class_index:])

    def has_capacity(self, class_index: int) -> bool:
        """Return whether the limit of a class allows one more request."""
        return self.in_flight(class_index) < int(self.limits[class_index].limit)

    def record_start(self, request, predicted_s: float, now: float) -> None:
        """Count a request as in flight."""
        class_index = fairqueue.priority_class(request.priority)
        self.in_flight_by_id[request.request_id] = _RequestInFlight(
            now, predicted_s, class_index
        )
        self._in_flight_by_class[class_index] += 1

    def record_end(self, request) -> _RequestInFlight | None:
        """Remove a request from those in flight; return its record, or None."""
        sent_request = self.in_flight_by_id.pop(request.request_id, None)
        if sent_request is not None:
            self._in_flight_by_class[sent_request.level] -= 1
        return sent_request


class MinimumAdmission:
    """Token bucket that admits requests of models without a recent admission.

    It applies to requests that would be refused, so that each model gets a minimum rate
    of admissions under overload; its tokens are a small share of all admissions.
    """

    __slots__ = ("_last_by_model", "_tokens")

    def __init__(self):
        self._tokens: float = MINIMUM_ADMISSION_BURST
        self._last_by_model: dict[str, float] = {}

    def record_admission(self, model: str, now: float) -> None:
        """Count a regular admission, which adds to the token bucket."""
        self._last_by_model[model] = now
        self._tokens = min(
            self._tokens + MINIMUM_ADMISSION_SHARE, MINIMUM_ADMISSION_BURST
        )

    def try_admit(self, model: str, now: float) -> bool:
        """Return whether to admit a request that would otherwise be refused.

        It is admitted if its model had no admission in the last
        ``MINIMUM_ADMISSION_INTERVAL_S`` and the bucket has a token, which is then
        taken.
        """
        last = self._last_by_model.get(model)
        if last is not None and now - last < MINIMUM_ADMISSION_INTERVAL_S:
            return False
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._last_by_model[model] = now
        return True


class PredictionMargin:
    """Learned factor that corrects predicted durations."""

    __slots__ = ("factor",)

    def __init__(self):
        self.factor: float = 1.0

    def observe(self, predicted_s: float, actual_s: float) -> None:
        """Move the factor towards the quantile of actual over predicted duration."""
        if predicted_s <= 0.0:
            return
        if actual_s > predicted_s * self.factor:
            self.factor += MARGIN_LEARNING_STEP * MARGIN_QUANTILE
        else:
            self.factor -= MARGIN_LEARNING_STEP * (1.0 - MARGIN_QUANTILE)
        self.factor = min(max(self.factor, MIN_MARGIN), MAX_MARGIN)


def latest_useful_first_token_at(request, estimate) -> float:
    """Return the latest time at which a first token is still useful.

    The simulation cancels a request without a first token at that time, as it would
    take capacity from requests that can still end in time.
    """
    service_time_s = estimate.duration_s - estimate.wait_s
    return request.deadline - service_time_s * FIRST_TOKEN_CUTOFF_SHARE


class Admission:
    """Admission control of one entry host."""

    __slots__ = (
        "_expiries",
        "_expiry_sequence",
        "_limiters_by_id",
        "_margins",
        "minimum_admission",
        "weights",
    )

    def __init__(self):
        self.minimum_admission = MinimumAdmission()
        self.weights: dict[tuple[str, str], float] = {}
        self._limiters_by_id: dict[str, ConcurrencyLimiter] = {}
        self._margins: dict[tuple[str, int], PredictionMargin] = {}
        self._expiries: list[tuple[float, int, QueuedRequest]] = []
        self._expiry_sequence = itertools.count()

    def set_shares(self, sheet) -> None:
        """Set the fair-queueing weights from the shares on a sheet.

        The services of an organisation divide the organisation's share among them.
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

    def limiter(self, backend_id: str) -> ConcurrencyLimiter:
        """Return the concurrency limiter of a backend server."""
        if backend_id not in self._limiters_by_id:
            self._limiters_by_id[backend_id] = ConcurrencyLimiter(self.weights)
        return self._limiters_by_id[backend_id]

    def margin(self, request) -> PredictionMargin:
        """Return the prediction margin for the request's service and priority class."""
        key = (request.service, fairqueue.priority_class(request.priority))
        if key not in self._margins:
            self._margins[key] = PredictionMargin()
        return self._margins[key]

    def admit(
        self, request, decision: routing.Decision, now: float
    ) -> AdmissionDecision:
        """Admit, queue or refuse a request routed to ``decision.backend_id``."""
        limiter = self.limiter(decision.backend_id)
        remaining_s = request.deadline - now
        needed_s = decision.estimate.duration_s * self.margin(request).factor
        wait_s = self._queue_wait_s(limiter, request, decision.estimate)
        if needed_s + wait_s > remaining_s:
            return self._admit_or_refuse_late(
                request, decision, remaining_s, needed_s + wait_s, now
            )
        if not self.must_wait(request, decision):
            self._record_admission(limiter, request, decision.estimate, now)
            return AdmissionDecision("admit", "in-time", request.priority)
        entry = QueuedRequest(request, decision, request.deadline - needed_s)
        displaced = limiter.queue.push(entry)
        if displaced is entry:
            return self._refuse(
                errors.ErrorKind.QUEUE_FULL,
                "the queue of the backend server is full",
                wait_s,
            )
        heapq.heappush(
            self._expiries, (entry.latest_start, next(self._expiry_sequence), entry)
        )
        if displaced is not None:
            self._schedule_refusal(displaced)
        return AdmissionDecision("queue", "limit", request.priority, entry=entry)

    def must_wait(self, request, decision: routing.Decision) -> bool:
        """Return whether a request would have to wait in the queue of a server."""
        limiter = self.limiter(decision.backend_id)
        class_index = fairqueue.priority_class(request.priority)
        is_first = limiter.queue.ahead(request.priority) == 0
        return not (is_first and limiter.has_capacity(class_index))

    def _admit_or_refuse_late(
        self, request, decision, remaining_s, total_needed_s, now
    ):
        service_time_s = decision.estimate.duration_s - decision.estimate.wait_s
        if service_time_s <= remaining_s and self.minimum_admission.try_admit(
            request.model, now
        ):
            limiter = self.limiter(decision.backend_id)
            self._record_admission(
                limiter, request, decision.estimate, now, is_minimum=True
            )
            return AdmissionDecision(
                "admit", "minimum-admission", MINIMUM_ADMISSION_PRIORITY
            )
        detail = (
            f"about {total_needed_s:.1f} s needed, "
            f"{remaining_s:.1f} s until the deadline"
        )
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        return self._refuse(kind, detail, total_needed_s - remaining_s)

    def _refuse(self, kind, detail, retry_after_s):
        retry_after_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        refusal = routing.Refusal(kind, detail, retry_after_s)
        return AdmissionDecision("refuse", kind.value, 0, refusal)

    def _queue_wait_s(self, limiter, request, estimate):
        class_index = fairqueue.priority_class(request.priority)
        ahead = limiter.queue.ahead(request.priority)
        if ahead == 0 and limiter.has_capacity(class_index):
            return 0.0
        return (ahead + 1) * estimate.duration_s / limiter.limits[class_index].limit

    def _record_admission(self, limiter, request, estimate, now, is_minimum=False):
        limiter.record_start(request, estimate.duration_s, now)
        if not is_minimum:
            self.minimum_admission.record_admission(request.model, now)

    def record_finish(self, backend_id, request, outcome, now) -> list[QueuedRequest]:
        """Process the end of an admitted request; return queued requests to send now.

        Each returned request already counts as in flight at its ``backend_id``.
        """
        limiter = self.limiter(backend_id)
        sent_request = limiter.record_end(request)
        if sent_request is not None:
            in_flight = limiter.in_flight(sent_request.level) + 1
            in_time = outcome.result == "complete" and now <= request.deadline
            if outcome.result != "abandoned" or now >= request.deadline:
                limit = limiter.limits[sent_request.level]
                limit.observe(in_time, in_flight, sent_request.started_at, now)
            if outcome.result == "complete" or now >= request.deadline:
                self.margin(request).observe(
                    sent_request.predicted_s, now - sent_request.started_at
                )
        return self._release_queued(limiter, now)

    def _release_queued(self, limiter, now):
        released = []
        while True:
            entry = limiter.queue.pop(limiter.has_capacity)
            if entry is None:
                break
            if now > entry.latest_start:
                self._schedule_refusal(entry)
                continue
            self._record_admission(limiter, entry.request, entry.decision.estimate, now)
            entry.latest_start = float("inf")
            released.append(entry)
        return released

    def _schedule_refusal(self, entry):
        # The entry is no longer queued; the next ``take_refused`` returns it.
        entry.latest_start = float("-inf")
        heapq.heappush(
            self._expiries, (entry.latest_start, next(self._expiry_sequence), entry)
        )

    def cancel(self, entry: QueuedRequest) -> None:
        """Remove a queued request whose caller has disconnected."""
        self.limiter(entry.backend_id).queue.remove(entry)
        entry.latest_start = float("inf")

    def take_refused(self, now: float) -> list[tuple[QueuedRequest, routing.Refusal]]:
        """Return the requests to refuse now, each with its refusal.

        These are the ones queued past their latest start, which leave the queue, and
        the ones that were dropped from it before.
        """
        refused = []
        while self._expiries and self._expiries[0][0] < now:
            when, _, entry = heapq.heappop(self._expiries)
            if entry.latest_start == float("inf"):
                continue
            displaced = when == float("-inf")
            if not displaced and not self.limiter(entry.backend_id).queue.remove(entry):
                continue
            entry.latest_start = float("inf")
            kind = errors.ErrorKind.DEADLINE_UNREACHABLE
            detail = "queued for so long that the deadline cannot be met"
            if displaced:
                kind = errors.ErrorKind.QUEUE_FULL
                detail = (
                    "dropped from the queue: a request with precedence took the place, "
                    "or the deadline cannot be met"
                )
            refused.append((entry, routing.Refusal(kind, detail, MIN_RETRY_AFTER_S)))
        return refused

    def next_expiry(self) -> float | None:
        """Return the time after which ``take_refused`` may return something, or None.

        A call at exactly that time returns nothing.
        """
        return self._expiries[0][0] if self._expiries else None

    def remove_server(self, backend_id: str) -> list[QueuedRequest]:
        """Remove a backend server; return its queued requests, to be routed again."""
        requeued = self.take_queued(backend_id)
        self._limiters_by_id.pop(backend_id, None)
        return requeued

    def take_queued(self, backend_id: str) -> list[QueuedRequest]:
        """Take the requests queued for a backend server, to be routed again."""
        limiter = self._limiters_by_id.get(backend_id)
        requeued: list[QueuedRequest] = []
        while limiter is not None and limiter.queue.size:
            entry = limiter.queue.pop()
            entry.latest_start = float("inf")
            requeued.append(entry)
        return requeued
