"""Learned figures of the work of backend servers, and what is known of their load.

Each figure is a factor on a fixed prediction. It is learned from observed times, counts
for less as it ages, and returns to 1 where nothing is observed any more. A large fleet
gives one host few observations of one server, so a factor moves only as far as the
number of observations allows.
"""

import collections
import math

from kumquatproxy import records, stalereports
from kumquatproxy.gateway import calls

# Weight of the assumption that a factor is 1, in observations.
PRIOR_SAMPLES = 3.0
# Observations from which on a server counts as learned.
MIN_LEARNED_SAMPLES = 1.0
# Times in which an observation loses 63% of its weight.
KIND_FADE_S = 60.0  # of a service, model or route
SERVER_FADE_S = 10.0  # servers turn slow, and recover
# An observation counts as no further from the factor than this: beyond, it tells of a
# queue or a stall that the prediction missed.
MAX_STEP = 4.0
# The pace of a machine changes several times a second, so that a figure of it says
# little after this time.
PACE_FADE_S = 0.3
MAX_PACE = 5.0
# Least recently learned factors beyond this number are forgotten. Names of models and
# routes come from the configuration, which may change.
MAX_KINDS = 2000
# Weight of the newest figure in the mean load by other hosts.
MEAN_WEIGHT = 0.1


class Factor:
    """Learn the ratio of observed to predicted values, fading with time."""

    __slots__ = ("_fade_s", "_log_sum", "_weight", "updated_at")

    def __init__(self, fade_s: float):
        self._fade_s: float = fade_s
        self._log_sum = 0.0  # of logarithms of ratios, so that outliers count little
        self._weight = 0.0  # in observations, as of the last one
        self.updated_at = -math.inf

    def observe(self, ratio: float, now: float) -> None:
        """Learn from an observed value over the one predicted without this factor."""
        value = self.value(now)
        ratio = min(value * MAX_STEP, max(value / MAX_STEP, ratio))
        kept = self._kept(now)
        self._log_sum = self._log_sum * kept + math.log(ratio)
        self._weight = self._weight * kept + 1.0
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the factor, which is 1 without recent observations."""
        if not self._weight:
            return 1.0
        kept = self._kept(now)
        return math.exp(self._log_sum * kept / (PRIOR_SAMPLES + self._weight * kept))

    def samples(self, now: float) -> float:
        """Return the number of observations, each counted with its present weight."""
        return self._weight * self._kept(now)

    def _kept(self, now):
        return math.exp(min(0.0, self.updated_at - now) / self._fade_s)


class KindFactors:
    """Hold the factors of models, routes and services by key."""

    __slots__ = ("_by_key",)

    def __init__(self):
        self._by_key: collections.OrderedDict[tuple, Factor] = collections.OrderedDict()

    def __len__(self):
        return len(self._by_key)

    def observe(self, key: tuple, ratio: float, now: float) -> None:
        """Learn from an observed value over the one predicted without this factor."""
        factor = self._by_key.get(key)
        if factor is None:
            factor = self._by_key[key] = Factor(KIND_FADE_S)
        factor.observe(ratio, now)
        self._by_key.move_to_end(key)
        while len(self._by_key) > MAX_KINDS:
            self._by_key.popitem(last=False)

    def value(self, key: tuple, now: float) -> float:
        """Return the factor of a key, 1 if nothing is known."""
        factor = self._by_key.get(key)
        return 1.0 if factor is None else factor.value(now)


class Estimate(records.Record):
    """Predicted work of one call at one server when it is sent."""

    __slots__ = ("ahead_s", "finish_s", "is_blocked", "own_s", "spread_s")

    def __init__(self, ahead_s, own_s, finish_s, spread_s, is_blocked=False):
        self.ahead_s: float = ahead_s  # wait for what the server does first
        self.own_s: float = own_s  # from then to the first event, or to the answer
        self.finish_s: float = finish_s  # until the whole answer
        # Standard deviation by calls that other hosts have sent since the last report.
        self.spread_s: float = spread_s
        # The call would wait for a place or for memory, or preempt others.
        self.is_blocked: bool = is_blocked


class OtherHosts:
    """Track a figure of the load by other hosts from reports that arrive late."""

    __slots__ = ("_mean", "reported", "reported_at")

    def __init__(self):
        self._mean = 0.0
        self.reported = 0.0
        self.reported_at = -math.inf

    def report(self, value: float, at: float) -> None:
        """Apply a report of the load at a time; only the newest one is used as such."""
        weight = MEAN_WEIGHT if self.reported_at > -math.inf else 1.0
        self._mean += weight * (value - self._mean)
        if at >= self.reported_at:
            self.reported = value
            self.reported_at = at

    def estimate(self, turnover_s: float, now: float) -> tuple[float, float]:
        """Return the expected value at present, and how much of it is only a mean."""
        age_s = max(0.0, now - self.reported_at)
        weight = stalereports.report_weight(age_s, max(1e-3, turnover_s))
        expected = stalereports.blend(self._mean, self.reported, weight)
        return expected, self._mean * (1.0 - weight * weight)


class ServerWork:
    """Hold what a host has learned of one run of a server."""

    __slots__ = ("_pace", "_pace_at", "calls", "duration", "gap", "prefill", "tokens")

    def __init__(self):
        self.prefill = Factor(SERVER_FADE_S)  # of the time to the first event
        self.gap = Factor(SERVER_FADE_S)  # of the time between events
        self.duration = Factor(SERVER_FADE_S)  # of calls without an engine
        self.calls = OtherHosts()  # in flight
        self.tokens = OtherHosts()  # that await prefill
        self._pace = 1.0
        self._pace_at = -math.inf

    def record_pace(self, pace: float, now: float) -> None:
        """Apply the pace of the server's machine."""
        self._pace = min(MAX_PACE, max(1.0 / MAX_PACE, pace))
        self._pace_at = now

    def pace(self, work_s: float, now: float) -> float:
        """Return the expected mean pace during work of the usual time ``work_s``.

        It returns to the usual one within a second.
        """
        age_s = max(0.0, now - self._pace_at)
        weight = stalereports.report_weight(age_s, PACE_FADE_S)
        if work_s > 0.0:
            left = 1.0 - stalereports.report_weight(work_s, PACE_FADE_S)
            weight *= left * PACE_FADE_S / work_s
        return stalereports.blend(1.0, self._pace, weight)

    def record_load(self, load: calls.ServerLoad, own_count: int, now: float) -> None:
        """Apply the load that a server has reported with an answer."""
        self.calls.report(max(0.0, load.running + load.waiting - own_count), now)
        self.record_pace(load.pace, now)

    def is_learned(self, now: float) -> bool:
        """Return whether a time at this server was observed lately."""
        factors = (self.prefill, self.gap, self.duration)
        return any(factor.samples(now) >= MIN_LEARNED_SAMPLES for factor in factors)
