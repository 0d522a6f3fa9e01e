"""Learned speed of a service's backend servers, and the times predicted from it."""

from kumquatproxy import records

DEFAULT_SLOTS = 32.0  # requests that run at once, until a report shows the limit
DEFAULT_FIRST_TOKEN_S = 1.5
DEFAULT_TOKEN_GAP_S = 0.054
DEFAULT_PREFILL_TOKENS_PER_S = 4_000.0
DEFAULT_TOKENS = 100.0
PRIOR_WEIGHT = 20.0  # observations that the priors count for
FORGET = 0.995  # weight that an observation keeps with each later one
SMOOTHING = 0.05
PREFILL_OUTLIER = 4.0
FACTOR_SMOOTHING = 0.05
FACTOR_DEAD_BAND = 1.4
MIN_SPEED_FACTOR = 0.25
MAX_SPEED_FACTOR = 8.0
PRIORITIES = 10


class Estimate(records.Record):
    """Predict one request at one backend server; all times in seconds from now."""

    __slots__ = ("duration_s", "first_token_s", "gap_s", "load", "wait_s")

    def __init__(self, first_token_s, duration_s, gap_s=0.0, wait_s=0.0, load=0.0):
        self.first_token_s: float = first_token_s
        self.duration_s: float = duration_s  # until the complete response
        self.gap_s: float = gap_s  # between tokens
        self.wait_s: float = wait_s  # before the engine starts the request
        self.load: float = load  # requests at the backend server


class Outcome(records.Record):
    """Hold what the edge saw of one request at one backend server.

    ``result`` is ``complete``, ``failed`` (the backend server is at fault),
    ``refused`` (it answered that it did not run the request) or ``abandoned``.
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


class LineFit:
    """Fit ``y = base + slope * x`` by least squares that forgets old points."""

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
        """Take in one point and lower the weight of all earlier ones."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) * FORGET)
        self._add(x, y)

    def predict(self, x: float) -> float:
        """Return the fitted value; a falling line is taken as level."""
        spread = self._n * self._xx - self._x * self._x
        mean = self._y / self._n
        if spread <= 1e-9 * self._n * self._xx:
            return mean
        slope = (self._n * self._xy - self._x * self._y) / spread
        base = mean - slope * self._x / self._n
        if slope < 0.0 or base < 0.0:
            return mean if slope < 0.0 else mean * x * self._n / max(self._x, 1e-9)
        return base + slope * x


class PriorityMix:
    """Count requests by priority."""

    __slots__ = ("counts", "total")

    def __init__(self, start=0.0):
        self.counts: list[float] = [start] * PRIORITIES
        self.total: float = start * PRIORITIES

    def add(self, priority: int, count: float = 1.0) -> None:
        """Add ``count`` requests of a priority; a negative count takes them away."""
        self.counts[level(priority)] += count
        self.total += count

    def share_below(self, priority: int) -> float:
        """Return the share of lower priority."""
        return sum(self.counts[: level(priority)]) / max(self.total, 1.0)

    def share_above(self, priority: int) -> float:
        """Return the share of higher priority."""
        return sum(self.counts[level(priority) + 1 :]) / max(self.total, 1.0)


def level(priority: int) -> int:
    """Return the priority as an index from 0 to 9."""
    return min(max(priority, 0), PRIORITIES - 1)


class ServiceSpeed:
    """Learn how fast the backend servers of one service work."""

    __slots__ = (
        "_gap",
        "_prefill_s",
        "_prefill_tokens",
        "_tokens_by_level",
        "arrivals",
        "in_flight",
        "request_s",
        "slots",
    )

    def __init__(
        self, first_token_s=DEFAULT_FIRST_TOKEN_S, token_gap_s=DEFAULT_TOKEN_GAP_S
    ):
        points = [(0.0, token_gap_s / 3), (DEFAULT_SLOTS, token_gap_s * 0.8)]
        self._gap = LineFit(points, PRIOR_WEIGHT)
        self._prefill_tokens = PRIOR_WEIGHT * DEFAULT_PREFILL_TOKENS_PER_S * 0.1
        self._prefill_s = PRIOR_WEIGHT * 0.1 * min(first_token_s, 1.0)
        self._tokens_by_level: list[float] = [DEFAULT_TOKENS] * PRIORITIES
        self.slots: float = DEFAULT_SLOTS
        self.request_s: float = DEFAULT_TOKENS * token_gap_s  # mean time in the batch
        self.arrivals = PriorityMix(1.0)
        self.in_flight = PriorityMix()  # own requests, running or waiting

    def observe_report(self, running: int, waiting: int) -> None:
        """Learn the batch limit: requests wait only when the batch is full."""
        if waiting > 0 and running > 0:
            self.slots += SMOOTHING * (running - self.slots)
        elif running > self.slots:
            self.slots = float(running)

    def observe_arrival(self, priority: int) -> None:
        """Learn the mix of priorities."""
        self.arrivals.add(priority)
        self.in_flight.add(priority)
        if self.arrivals.total > 1000.0:
            self.arrivals.counts = [count * 0.5 for count in self.arrivals.counts]
            self.arrivals.total *= 0.5

    def observe_outcome(self, load, request, outcome) -> None:
        """Learn from a complete response that began at ``load`` requests."""
        in_batch_s = outcome.duration_s
        if outcome.tokens > 1:
            streaming_s = outcome.duration_s - outcome.first_token_s
            gap_s = streaming_s / (outcome.tokens - 1)
            self._gap.observe(min(load, self.slots), gap_s)
            index = level(request.priority)
            mean = self._tokens_by_level[index]
            self._tokens_by_level[index] = mean + SMOOTHING * (outcome.tokens - mean)
            in_batch_s = streaming_s + self.prefill_s(request.prompt_tokens)
        self.request_s += SMOOTHING * (in_batch_s - self.request_s)
        if load < self.slots * 0.5 and request.prompt_tokens:
            self._observe_prefill(request.prompt_tokens, outcome)

    def _observe_prefill(self, prompt_tokens, outcome):
        new_tokens = max(prompt_tokens - (outcome.cached_tokens or 0), 1)
        # A much longer time than expected is a wait that the load did not show.
        limit_s = PREFILL_OUTLIER * (self.prefill_s(new_tokens) + self.gap_s(1.0))
        if 0.0 < outcome.first_token_s < limit_s:
            self._prefill_tokens = self._prefill_tokens * FORGET + new_tokens
            self._prefill_s = self._prefill_s * FORGET + outcome.first_token_s

    def gap_s(self, load: float) -> float:
        """Return the expected time between tokens at a batch of ``load``."""
        return self._gap.predict(min(load, self.slots))

    def prefill_s(self, tokens: float) -> float:
        """Return the time to read ``tokens`` of a prompt."""
        return tokens * self._prefill_s / self._prefill_tokens

    def wait_s(self, priority: int, load: float) -> float:
        """Return the time until a request that joins ``load`` others is started.

        The engine serves waiting requests by priority. Reports do not tell the
        priorities, so the own requests in flight stand for all, and those of lower
        priority are taken to be the ones that wait.
        """
        excess = load + 1.0 - self.slots
        if excess <= 0.0:
            return 0.0
        lower = self.in_flight.share_below(priority) * load
        ahead = max(excess - lower, 0.0) + 1.0
        # Requests of higher priority that arrive meanwhile go first as well.
        left = max(1.0 - self.arrivals.share_above(priority), 0.1)
        return ahead * self.request_s / self.slots / left

    def predict(self, request, load, cached_tokens=0.0, factor=1.0) -> Estimate:
        """Return the estimate for a request that joins ``load`` others."""
        gap_s = self.gap_s(load + 1.0) * factor
        wait_s = self.wait_s(request.priority, load) * factor
        prompt_s = self.prefill_s(max(request.prompt_tokens - cached_tokens, 0.0))
        first_token_s = wait_s + prompt_s * factor + gap_s
        tokens = self._tokens_by_level[level(request.priority)]
        if request.max_tokens > 0:
            tokens = min(request.max_tokens, tokens)
        duration_s = first_token_s + max(tokens - 1.0, 0.0) * gap_s
        return Estimate(first_token_s, duration_s, gap_s, wait_s, load)


def next_factor(factor: float, expected_s: float, observed_s: float) -> float:
    """Return a server's measured speed factor after one more observation."""
    if expected_s <= 0.0 or observed_s <= 0.0:
        return factor
    factor += FACTOR_SMOOTHING * (observed_s / expected_s - factor)
    return min(max(factor, MIN_SPEED_FACTOR), MAX_SPEED_FACTOR)


def applied_factor(factor: float) -> float:
    """Return the factor to predict with; small differences are not applied.

    They are chance, and would make every host favour the same servers.
    """
    if 1.0 / FACTOR_DEAD_BAND <= factor <= FACTOR_DEAD_BAND:
        return 1.0
    return factor
