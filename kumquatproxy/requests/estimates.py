"""Learned speed of the backend servers of a service, and latency prediction."""

from kumquatproxy import records

DEFAULT_BATCH_SLOTS = 32.0  # concurrent requests, until reports show the limit
DEFAULT_FIRST_TOKEN_S = 1.5
DEFAULT_TOKEN_GAP_S = 0.054
DEFAULT_PREFILL_TOKENS_PER_S = 4_000.0  # at a time to first token of 1 s or more
DEFAULT_TOKENS = 100.0
PRIOR_WEIGHT = 20.0  # weight of the prior, in observations
OBSERVATION_DECAY = 0.995  # factor on an observation's weight for each later one
SMOOTHING_WEIGHT = 0.05
PREFILL_OUTLIER_MULTIPLE = 4.0
FACTOR_SMOOTHING_WEIGHT = 0.05
FACTOR_DEAD_BAND = 1.4
MIN_TIME_FACTOR = 0.25
MAX_TIME_FACTOR = 8.0
PRIORITY_COUNT = 10


class Estimate(records.Record):
    """Predicted times of one request at one backend server."""

    __slots__ = ("duration_s", "first_token_s", "gap_s", "load", "wait_s")

    def __init__(self, first_token_s, duration_s, gap_s=0.0, wait_s=0.0, load=0.0):
        self.first_token_s: float = first_token_s
        self.duration_s: float = duration_s  # until the response is complete
        self.gap_s: float = gap_s  # between tokens
        self.wait_s: float = wait_s  # until the engine starts the request
        self.load: float = load  # other requests at the backend server


class Outcome(records.Record):
    """Observed result and times of one request at one backend server.

    ``result`` is ``complete``, ``failed`` (by the fault of the backend server),
    ``refused`` (the server answered that it did not run the request) or ``abandoned``
    (cancelled by this host or its caller).
    """

    __slots__ = ("cached_tokens", "duration_s", "first_token_s", "result", "tokens")

    def __init__(
        self, result, first_token_s=0.0, duration_s=0.0, tokens=0, cached_tokens=None
    ):
        self.result: str = result
        self.first_token_s: float = first_token_s
        self.duration_s: float = duration_s
        self.tokens: int = tokens
        self.cached_tokens: int | None = cached_tokens  # None: not reported


class DecayingLinearFit:
    """Least-squares fit of ``y = base + slope * x`` with exponential decay."""

    __slots__ = ("_n", "_x", "_xx", "_xy", "_y")

    def __init__(self, points, weight):
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        for x, y in points:
            self._add(x, y, weight / len(points))

    def _add(self, x, y, weight=1.0):
        self._n += weight
        self._x += weight * x
        self._y += weight * y
        self._xx += weight * x * x
        self._xy += weight * x * y

    def observe(self, x: float, y: float) -> None:
        """Add a point and decay the weights of all earlier ones."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) * OBSERVATION_DECAY)
        self._add(x, y)

    def predict(self, x: float) -> float:
        """Return the fitted value.

        A negative slope counts as zero, which gives the mean. A negative base counts as
        zero too, which gives a line through the origin.
        """
        variance_term = self._n * self._xx - self._x * self._x
        mean = self._y / self._n
        if variance_term <= 1e-9 * self._n * self._xx:
            return mean
        slope = (self._n * self._xy - self._x * self._y) / variance_term
        base = mean - slope * self._x / self._n
        if slope < 0.0 or base < 0.0:
            return mean if slope < 0.0 else mean * x * self._n / max(self._x, 1e-9)
        return base + slope * x


class PriorityMix:
    """Number of requests by priority."""

    __slots__ = ("counts", "total")

    def __init__(self, initial_count=0.0):
        self.counts: list[float] = [initial_count] * PRIORITY_COUNT
        self.total: float = initial_count * PRIORITY_COUNT

    def add(self, priority: int, count: float = 1.0) -> None:
        """Add ``count`` requests of a priority; a negative count removes them."""
        self.counts[priority_index(priority)] += count
        self.total += count

    def share_below(self, priority: int) -> float:
        """Return the share of requests of lower priority."""
        return sum(self.counts[: priority_index(priority)]) / max(self.total, 1.0)

    def share_above(self, priority: int) -> float:
        """Return the share of requests of higher priority."""
        return sum(self.counts[priority_index(priority) + 1 :]) / max(self.total, 1.0)


def priority_index(priority: int) -> int:
    """Return the priority, clamped to an index from 0 to 9."""
    return min(max(priority, 0), PRIORITY_COUNT - 1)


class ServiceSpeed:
    """Learned speed of the backend servers of one service."""

    __slots__ = (
        "_gap_fit",
        "_prefill_s",
        "_prefill_tokens",
        "_tokens_by_priority",
        "arrivals",
        "in_flight",
        "request_s",
        "slots",
    )

    def __init__(
        self, first_token_s=DEFAULT_FIRST_TOKEN_S, token_gap_s=DEFAULT_TOKEN_GAP_S
    ):
        # The prior has a third of the expected gap at an idle server, and 0.8 of it at
        # a full batch.
        points = [(0.0, token_gap_s / 3), (DEFAULT_BATCH_SLOTS, token_gap_s * 0.8)]
        self._gap_fit = DecayingLinearFit(points, PRIOR_WEIGHT)
        # The prior is 20 prompts of 400 tokens. A service with an expected time to
        # first token below 1 s is assumed to prefill faster in proportion.
        self._prefill_tokens = PRIOR_WEIGHT * DEFAULT_PREFILL_TOKENS_PER_S * 0.1
        self._prefill_s = PRIOR_WEIGHT * 0.1 * min(first_token_s, 1.0)
        self._tokens_by_priority: list[float] = [DEFAULT_TOKENS] * PRIORITY_COUNT
        self.slots: float = DEFAULT_BATCH_SLOTS
        self.request_s: float = DEFAULT_TOKENS * token_gap_s  # mean time in the batch
        self.arrivals = PriorityMix(1.0)
        self.in_flight = PriorityMix()  # requests of this host, running or waiting

    def observe_report(self, running: int, waiting: int) -> None:
        """Learn the batch size limit; requests wait only when the batch is full."""
        if waiting > 0 and running > 0:
            self.slots += SMOOTHING_WEIGHT * (running - self.slots)
        elif running > self.slots:
            self.slots = float(running)

    def observe_arrival(self, priority: int) -> None:
        """Count a sent request in the distribution of priorities."""
        self.arrivals.add(priority)
        self.in_flight.add(priority)
        if self.arrivals.total > 1000.0:
            self.arrivals.counts = [count * 0.5 for count in self.arrivals.counts]
            self.arrivals.total *= 0.5

    def observe_outcome(self, load, request, outcome) -> None:
        """Learn from a complete response to a request sent at a load of ``load``."""
        in_batch_s = outcome.duration_s
        if outcome.tokens > 1:
            streaming_s = outcome.duration_s - outcome.first_token_s
            gap_s = streaming_s / (outcome.tokens - 1)
            self._gap_fit.observe(min(load, self.slots), gap_s)
            index = priority_index(request.priority)
            mean = self._tokens_by_priority[index]
            self._tokens_by_priority[index] = mean + SMOOTHING_WEIGHT * (
                outcome.tokens - mean
            )
            in_batch_s = streaming_s + self.prefill_s(request.prompt_tokens)
        self.request_s += SMOOTHING_WEIGHT * (in_batch_s - self.request_s)
        if load < self.slots * 0.5 and request.prompt_tokens:
            self._observe_prefill(request.prompt_tokens, outcome)

    def _observe_prefill(self, prompt_tokens, outcome):
        new_tokens = max(prompt_tokens - (outcome.cached_tokens or 0), 1)
        # A much longer time than expected includes queueing that ``load`` missed.
        limit_s = PREFILL_OUTLIER_MULTIPLE * (
            self.prefill_s(new_tokens) + self.gap_s(1.0)
        )
        if 0.0 < outcome.first_token_s < limit_s:
            self._prefill_tokens = self._prefill_tokens * OBSERVATION_DECAY + new_tokens
            self._prefill_s = (
                self._prefill_s * OBSERVATION_DECAY + outcome.first_token_s
            )

    def gap_s(self, load: float) -> float:
        """Return the expected time between tokens at a batch size of ``load``."""
        return self._gap_fit.predict(min(load, self.slots))

    def prefill_s(self, tokens: float) -> float:
        """Return the expected prefill time for ``tokens`` of a prompt."""
        return tokens * self._prefill_s / self._prefill_tokens

    def wait_s(self, priority: int, load: float) -> float:
        """Return the expected queueing time at the engine behind ``load`` requests.

        The engine serves waiting requests by priority. Load reports don't contain
        priorities, so the priorities of all hosts' requests are assumed to be
        distributed like those of this host. Requests of lower priority than this one
        are assumed to be the last in the queue, so they don't delay it.
        """
        excess = load + 1.0 - self.slots
        if excess <= 0.0:
            return 0.0
        lower_priority = self.in_flight.share_below(priority) * load
        ahead = max(excess - lower_priority, 0.0) + 1.0
        # Requests of higher priority that arrive during the wait are served first.
        remaining_share = max(1.0 - self.arrivals.share_above(priority), 0.1)
        return ahead * self.request_s / self.slots / remaining_share

    def predict(self, request, load, cached_tokens=0.0, factor=1.0) -> Estimate:
        """Return the estimate for a request at a server with ``load`` others."""
        gap_s = self.gap_s(load + 1.0) * factor
        wait_s = self.wait_s(request.priority, load) * factor
        prompt_s = self.prefill_s(max(request.prompt_tokens - cached_tokens, 0.0))
        first_token_s = wait_s + prompt_s * factor + gap_s
        tokens = self._tokens_by_priority[priority_index(request.priority)]
        if request.max_tokens > 0:
            tokens = min(request.max_tokens, tokens)
        duration_s = first_token_s + max(tokens - 1.0, 0.0) * gap_s
        return Estimate(first_token_s, duration_s, gap_s, wait_s, load)


def updated_time_factor(factor: float, expected_s: float, observed_s: float) -> float:
    """Return the moving average of a server's time factor after an observation.

    The factor is the observed time between tokens over the expected one; a server with
    a factor above 1 is slower than expected.
    """
    if expected_s <= 0.0 or observed_s <= 0.0:
        return factor
    factor += FACTOR_SMOOTHING_WEIGHT * (observed_s / expected_s - factor)
    return min(max(factor, MIN_TIME_FACTOR), MAX_TIME_FACTOR)


def effective_time_factor(factor: float) -> float:
    """Return the time factor for predictions; 1 within the dead band.

    Small differences are noise, and would make every host prefer the same servers.
    """
    if 1.0 / FACTOR_DEAD_BAND <= factor <= FACTOR_DEAD_BAND:
        return 1.0
    return factor
