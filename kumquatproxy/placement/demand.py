"""Predicted demand per item from counted arrivals."""

import math

from kumquatproxy import records

FAST_S = 15.0  # follows a tenfold step to 98% within a minute
MEDIUM_S = 120.0  # follows a tenfold rise within an hour, 8% behind
SLOW_S = 600.0
RELEASE_S = 1800.0  # a peak is forgotten slowly, so a short dip causes no unload
# Six standard deviations of the fast average: chance alone stays below it for
# 7,300 items over a day, and a tenfold rise is far above it.
SIGNIFICANCE = 6.0
# The other averages leave their bands by chance seldom, and by little.
MEDIUM_SIGNIFICANCE = 4.5
SLOW_SIGNIFICANCE = 5.0
# Overdispersed arrivals exceed the Poisson noise by this share of the level.
TOLERANCE = 0.1
MAX_ITEMS = 20_000
NEGLIGIBLE = 1e-6


class _Series:
    """Hold the averages of one item."""

    __slots__ = (
        "fast",
        "level",
        "medium",
        "slow",
        "squares",
        "started_at",
        "updated_at",
    )

    def __init__(self, now):
        self.fast = 0.0
        self.medium = 0.0
        self.slow = 0.0
        self.squares = 0.0
        self.level = 0.0
        self.started_at: float = now
        self.updated_at: float = now

    def advance(self, now):
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        self.fast *= math.exp(-elapsed_s / FAST_S)
        self.medium *= math.exp(-elapsed_s / MEDIUM_S)
        slow_decay = math.exp(-elapsed_s / SLOW_S)
        self.slow *= slow_decay
        self.squares *= slow_decay
        self.updated_at = now

    def fast_rate(self, now):
        return self.fast / _filled(now - self.started_at, FAST_S)

    def medium_rate(self, now):
        return self.medium / _filled(now - self.started_at, MEDIUM_S)

    def slow_rate(self, now):
        return self.slow / _filled(now - self.started_at, SLOW_S)

    def noise(self, now, time_constant_s):
        """Return the standard deviation of an average for random arrivals.

        Arrivals of sizes a at rate r have the variance r * E[a^2] / (2 * tau).
        """
        squares = self.squares / _filled(now - self.started_at, SLOW_S)
        filled = _filled(now - self.started_at, time_constant_s)
        return math.sqrt(squares / (2.0 * time_constant_s * filled))


def _filled(age_s, time_constant_s):
    """Return the share of an exponential average that its age has filled."""
    return max(1.0 - math.exp(-age_s / time_constant_s), 0.05)


def _kept(interval_s, time_constant_s):
    """Return the share of an even flow that an average keeps after the interval."""
    ratio = interval_s / time_constant_s
    return -math.expm1(-ratio) / ratio if ratio > 0.0 else 1.0


class Predictor:
    """Predict the rate of each item, in the unit of the counted amounts per second.

    The level of an item stays while its averages are in their noise bands around it.
    It rises at once to the average that is above its band, the fastest first, and
    falls with the time constant ``RELEASE_S``. At most ``max_items`` items are kept.
    """

    __slots__ = ("_max_items", "_series_by_item", "_settled_at")

    def __init__(self, max_items=MAX_ITEMS):
        self._max_items: int = max_items
        self._series_by_item: dict[records.Item, _Series] = {}
        self._settled_at: float | None = None

    def count(
        self, item: records.Item, amount: float, now: float, arrivals=1, interval_s=0.0
    ) -> None:
        """Count the total amount, tokens or requests, of some arrivals.

        They came evenly within the last ``interval_s`` seconds.
        """
        series = self._series_by_item.get(item)
        if series is None:
            if len(self._series_by_item) >= self._max_items:
                self._drop_smallest()
            series = self._series_by_item[item] = _Series(now - interval_s)
        series.advance(now)
        series.fast += amount * _kept(interval_s, FAST_S) / FAST_S
        series.medium += amount * _kept(interval_s, MEDIUM_S) / MEDIUM_S
        kept = _kept(interval_s, SLOW_S) / SLOW_S
        series.slow += amount * kept
        series.squares += amount * amount / max(arrivals, 1) * kept

    def rates(self, now: float) -> dict[records.Item, float]:
        """Return the predicted rate of each item with demand."""
        elapsed_s = 0.0 if self._settled_at is None else now - self._settled_at
        self._settled_at = now
        release = 1.0 - math.exp(-max(elapsed_s, 0.0) / RELEASE_S)
        rates = {}
        for item, series in list(self._series_by_item.items()):
            series.advance(now)
            series.level = _next_level(series, now, release)
            if series.level < NEGLIGIBLE and series.slow < NEGLIGIBLE:
                del self._series_by_item[item]
                continue
            rates[item] = series.level
        return rates

    def retain(self, items) -> None:
        """Forget every item that is not in ``items``."""
        for item in [item for item in self._series_by_item if item not in items]:
            del self._series_by_item[item]

    def __len__(self):
        return len(self._series_by_item)

    def _drop_smallest(self):
        smallest = min(
            self._series_by_item, key=lambda item: self._series_by_item[item].slow
        )
        del self._series_by_item[smallest]


def _next_level(series, now, release):
    fast = series.fast_rate(now)
    slow = series.slow_rate(now)
    tolerance = TOLERANCE * series.level
    if fast > series.level + tolerance + SIGNIFICANCE * series.noise(now, FAST_S):
        return fast
    medium = series.medium_rate(now)
    band = tolerance + MEDIUM_SIGNIFICANCE * series.noise(now, MEDIUM_S)
    if medium > series.level + band and series.level > 0.0:
        # A rise goes on as a rule, so the level is set ahead of the average.
        return medium * (1.0 + TOLERANCE)
    band = tolerance + SLOW_SIGNIFICANCE * series.noise(now, SLOW_S)
    if series.level == 0.0 or slow > series.level + band:
        return slow
    if slow < series.level - band:
        return series.level + (slow - series.level) * release
    return series.level
