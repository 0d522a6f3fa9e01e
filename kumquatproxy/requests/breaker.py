"""Circuit breakers of backend servers, and progress deadlines of streams."""

FAILURES_TO_OPEN = 3  # in a row
FAILED_SHARE_TO_OPEN = 0.5
MIN_SAMPLES = 10  # outcomes before the failed share counts
SHARE_FORGET = 0.9  # weight that an outcome keeps with each later one
FIRST_OPEN_S = 1.0
MAX_OPEN_S = 30.0
PROBES_TO_CLOSE = 2
PROBE_LIMIT_S = 30.0  # a probe without an end is given up after this time
GAP_MULTIPLE = 2.0


class CircuitBreaker:
    """Decide whether one backend server may get requests.

    ``closed`` lets all requests through; ``open`` none; ``half-open`` one probe
    at a time until enough of them have succeeded.
    """

    __slots__ = (
        "_failed",
        "_in_row",
        "_open_s",
        "_probe_since",
        "_successes",
        "_total",
        "_until",
        "state",
    )

    def __init__(self):
        self.state: str = "closed"
        self._in_row: int = 0
        self._failed: float = 0.0
        self._total: float = 0.0
        self._open_s: float = FIRST_OPEN_S
        self._until: float = 0.0
        self._probe_since: float | None = None
        self._successes: int = 0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if self.state == "closed":
            return True
        if self.state == "open" and now < self._until:
            return False
        if self._probe_since is None:
            return True
        return now - self._probe_since >= PROBE_LIMIT_S

    def record_start(self, now: float) -> None:
        """Note that a request was sent; after an open period it is a probe."""
        if self.state == "closed":
            return
        if self.state == "open":
            if now < self._until:
                return
            self.state = "half-open"
            self._successes = 0
        self._probe_since = now

    def succeeded(self, now: float) -> None:
        """Note a request that the backend server answered."""
        self._count(0.0)
        self._in_row = 0
        if self.state != "half-open":
            return
        self._probe_since = None
        self._successes += 1
        if self._successes >= PROBES_TO_CLOSE:
            self._close()

    def failed(self, now: float, rng) -> None:
        """Note a request that failed through the backend server's fault."""
        self._count(1.0)
        self._in_row += 1
        if self.state == "half-open":
            self._open_s = min(self._open_s * 2.0, MAX_OPEN_S)
            self._open(now, rng)
        elif self.state == "closed" and self._is_failing():
            self._open(now, rng)

    def abandoned(self) -> None:
        """Note a request that ended without telling anything about the server."""
        self._probe_since = None

    def _count(self, failed):
        self._failed = self._failed * SHARE_FORGET + failed
        self._total = self._total * SHARE_FORGET + 1.0

    def _is_failing(self):
        if self._in_row >= FAILURES_TO_OPEN:
            return True
        enough = self._total >= MIN_SAMPLES * 0.6  # the sum tends to 10 with forgetting
        return enough and self._failed >= self._total * FAILED_SHARE_TO_OPEN

    def _close(self):
        self.state = "closed"
        self._failed = self._total = 0.0
        self._open_s = FIRST_OPEN_S

    def _open(self, now, rng):
        self.state = "open"
        self._probe_since = None
        # Jitter keeps the hosts from probing a restarted server all at once.
        self._until = now + self._open_s * (0.5 + rng.random())


class Breakers:
    """Keep the breakers of all backend servers; only troubled ones cost a decision."""

    __slots__ = ("_breakers_by_id", "_troubled_ids")

    def __init__(self):
        self._breakers_by_id: dict[str, CircuitBreaker] = {}
        self._troubled_ids: set[str] = set()

    def breaker(self, backend_id: str) -> CircuitBreaker:
        """Return the breaker of a backend server."""
        if backend_id not in self._breakers_by_id:
            self._breakers_by_id[backend_id] = CircuitBreaker()
        return self._breakers_by_id[backend_id]

    def excluded_ids(self, now: float) -> set[str]:
        """Return the backend servers that may get no request now."""
        return {
            backend_id
            for backend_id in self._troubled_ids
            if not self._breakers_by_id[backend_id].allows(now)
        }

    def record_start(self, backend_id: str, now: float) -> None:
        """Note that a request was sent to a backend server."""
        self.breaker(backend_id).record_start(now)

    def record_finish(self, backend_id: str, result: str, now: float, rng) -> None:
        """Note the end of a request; ``result`` as in ``estimates.Outcome``.

        A refusal shows a live server, so it counts as an answer.
        """
        breaker = self.breaker(backend_id)
        if result == "failed":
            breaker.failed(now, rng)
        elif result == "abandoned":
            breaker.abandoned()
        else:
            breaker.succeeded(now)
        if breaker.state == "closed":
            self._troubled_ids.discard(backend_id)
        else:
            self._troubled_ids.add(backend_id)

    def remove(self, backend_id: str) -> None:
        """Forget a backend server; call this for a new incarnation as well."""
        self._breakers_by_id.pop(backend_id, None)
        self._troubled_ids.discard(backend_id)


def progress_deadline_s(service, expected_gap_s: float = 0.0) -> float:
    """Return the longest silence in seconds of a stream that makes progress.

    This is twice the expected gap between tokens: the service's ``token_gap``, or
    the gap of the routing estimate where the load makes that one longer.
    """
    return GAP_MULTIPLE * max(service.token_gap, expected_gap_s)


def first_token_deadline_s(service, expected_s: float = 0.0) -> float:
    """Return the longest wait in seconds for the first token."""
    return GAP_MULTIPLE * max(service.first_token, expected_s)
