"""Circuit breakers of backend servers, and timeouts for tokens of streams."""

FAILURES_TO_OPEN = 3  # consecutive
FAILED_SHARE_TO_OPEN = 0.5
OUTCOME_WEIGHT_LIMIT = 10  # the total weight of the outcomes converges to it
OUTCOME_DECAY = 0.9  # factor on an outcome's weight for each later one
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0
PROBES_TO_CLOSE = 2
PROBE_TIMEOUT_S = 30.0  # a probe without an outcome counts as lost after this time
TIMEOUT_MULTIPLE = 2.0


class CircuitBreaker:
    """Circuit breaker of one backend server.

    ``closed`` allows all requests. ``open`` allows none until its period has ended,
    then one probe, which makes it ``half-open``. That allows one probe at a time until
    ``PROBES_TO_CLOSE`` of them have succeeded.
    """

    __slots__ = (
        "_consecutive_failures",
        "_failed_weight",
        "_open_s",
        "_open_until",
        "_probe_started_at",
        "_probe_successes",
        "_total_weight",
        "state",
    )

    def __init__(self):
        self.state: str = "closed"
        self._consecutive_failures: int = 0
        self._failed_weight: float = 0.0
        self._total_weight: float = 0.0
        self._open_s: float = INITIAL_OPEN_S
        self._open_until: float = 0.0
        self._probe_started_at: float | None = None
        self._probe_successes: int = 0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if self.state == "closed":
            return True
        if self.state == "open" and now < self._open_until:
            return False
        if self._probe_started_at is None:
            return True
        return now - self._probe_started_at >= PROBE_TIMEOUT_S

    def record_start(self, now: float) -> None:
        """Record that a request was sent; after an open period it is a probe."""
        if self.state == "closed":
            return
        if self.state == "open":
            if now < self._open_until:
                return
            self.state = "half-open"
            self._probe_successes = 0
        self._probe_started_at = now

    def record_success(self, now: float) -> None:
        """Record a request that the backend server answered."""
        self._record_outcome(0.0)
        self._consecutive_failures = 0
        if self.state != "half-open":
            return
        self._probe_started_at = None
        self._probe_successes += 1
        if self._probe_successes >= PROBES_TO_CLOSE:
            self._close()

    def record_failure(self, now: float, rng) -> None:
        """Record a request that failed by the fault of the backend server."""
        self._record_outcome(1.0)
        self._consecutive_failures += 1
        if self.state == "half-open":
            self._open_s = min(self._open_s * 2.0, MAX_OPEN_S)
            self._open(now, rng)
        elif self.state == "closed" and self._is_failing():
            self._open(now, rng)

    def record_cancellation(self) -> None:
        """Record a request that ended without information about the server's health."""
        self._probe_started_at = None

    def _record_outcome(self, failed):
        self._failed_weight = self._failed_weight * OUTCOME_DECAY + failed
        self._total_weight = self._total_weight * OUTCOME_DECAY + 1.0

    def _is_failing(self):
        if self._consecutive_failures >= FAILURES_TO_OPEN:
            return True
        # The failed share is used after 9 outcomes, which reach 60 % of the limit.
        has_enough_outcomes = self._total_weight >= OUTCOME_WEIGHT_LIMIT * 0.6
        return (
            has_enough_outcomes
            and self._failed_weight >= self._total_weight * FAILED_SHARE_TO_OPEN
        )

    def _close(self):
        self.state = "closed"
        self._failed_weight = self._total_weight = 0.0
        self._open_s = INITIAL_OPEN_S

    def _open(self, now, rng):
        self.state = "open"
        self._probe_started_at = None
        # Jitter prevents all hosts from probing a restarted server simultaneously.
        self._open_until = now + self._open_s * (0.5 + rng.random())


class Breakers:
    """Circuit breakers of all backend servers.

    A routing decision looks only at the breakers that are open or half-open.
    """

    __slots__ = ("_breakers_by_id", "_not_closed_ids")

    def __init__(self):
        self._breakers_by_id: dict[str, CircuitBreaker] = {}
        self._not_closed_ids: set[str] = set()

    def breaker(self, backend_id: str) -> CircuitBreaker:
        """Return the circuit breaker of a backend server."""
        if backend_id not in self._breakers_by_id:
            self._breakers_by_id[backend_id] = CircuitBreaker()
        return self._breakers_by_id[backend_id]

    def excluded_ids(self, now: float) -> set[str]:
        """Return the backend servers that must not get a request now."""
        return {
            backend_id
            for backend_id in self._not_closed_ids
            if not self._breakers_by_id[backend_id].allows(now)
        }

    def record_start(self, backend_id: str, now: float) -> None:
        """Record that a request was sent to a backend server."""
        self.breaker(backend_id).record_start(now)

    def record_finish(self, backend_id: str, result: str, now: float, rng) -> None:
        """Record the end of a request; ``result`` is as in ``estimates.Outcome``.

        A refusal proves that the server is alive, so it counts as a success.
        """
        breaker = self.breaker(backend_id)
        if result == "failed":
            breaker.record_failure(now, rng)
        elif result == "abandoned":
            breaker.record_cancellation()
        else:
            breaker.record_success(now)
        if breaker.state == "closed":
            self._not_closed_ids.discard(backend_id)
        else:
            self._not_closed_ids.add(backend_id)

    def remove(self, backend_id: str) -> None:
        """Remove the breaker of a backend server; also needed for a new incarnation."""
        self._breakers_by_id.pop(backend_id, None)
        self._not_closed_ids.discard(backend_id)


def progress_timeout_s(service, expected_gap_s: float = 0.0) -> float:
    """Return the timeout for the next token of a stream.

    This is twice the expected gap between tokens: the service's ``token_gap``, or
    the estimated gap at the current load where that is longer.
    """
    return TIMEOUT_MULTIPLE * max(service.token_gap, expected_gap_s)


def first_token_timeout_s(service, expected_s: float = 0.0) -> float:
    """Return the timeout for the first token of an answer."""
    return TIMEOUT_MULTIPLE * max(service.first_token, expected_s)
