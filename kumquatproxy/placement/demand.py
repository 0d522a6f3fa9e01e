"""Prediction of the demand for each item from counted arrivals."""

import math

from kumquatproxy import records

# Time constants of the exponential moving averages.
FAST_TAU_S = 15.0  # follows a tenfold step to 98% within a minute
MEDIUM_TAU_S = 120.0  # follows a tenfold rise within an hour, 8% behind
SLOW_TAU_S = 600.0
RELEASE_TAU_S = 1800.0  # peaks decay slowly, so that a short dip causes no unload
# Width of the noise bands in standard deviations. Six are not exceeded by chance for
# 7,300 items over a day, and are far below a tenfold rise.
FAST_SIGNIFICANCE = 6.0
# The other averages rarely leave their bands by chance, and only by little.
MEDIUM_SIGNIFICANCE = 4.5
SLOW_SIGNIFICANCE = 5.0
# Share of the level by which overdispersed arrivals may exceed Poisson noise.
LEVEL_TOLERANCE = 0.1
MAX_ITEMS = 20_000
NEGLIGIBLE_RATE = 1e-6  # items below this rate are dropped


class _ItemAverages:
    """Exponential moving averages of one item."""

    __slots__ = (
        "fast",
        "level",
        "medium",
        "slow",
        "squared_sizes",
        "started_at",
        "updated_at",
    )

    def __init__(self, now):
        self.fast = 0.0
        self.medium = 0.0
        self.slow = 0.0
        self.squared_sizes = 0.0
        self.level = 0.0
        self.started_at: float = now
        self.updated_at: float = now

    def advance(self, now):
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        self.fast *= math.exp(-elapsed_s / FAST_TAU_S)
        self.medium *= math.exp(-elapsed_s / MEDIUM_TAU_S)
        slow_decay = math.exp(-elapsed_s / SLOW_TAU_S)
        self.slow *= slow_decay
        self.squared_sizes *= slow_decay
        self.updated_at = now

    def fast_rate(self, now):
        return self.fast / _fill_fraction(now - self.started_at, FAST_TAU_S)

    def medium_rate(self, now):
        return self.medium / _fill_fraction(now - self.started_at, MEDIUM_TAU_S)

    def slow_rate(self, now):
        return self.slow / _fill_fraction(now - self.started_at, SLOW_TAU_S)

    def standard_deviation(self, now, time_constant_s):
        """Return the standard deviation of a moving average of Poisson arrivals.

        With arrivals of sizes a at rate r its variance is r * E[a^2] / (2 * tau).
        """
        squared_sizes = self.squared_sizes / _fill_fraction(
            now - self.started_at, SLOW_TAU_S
        )
        fill_fraction = _fill_fraction(now - self.started_at, time_constant_s)
        return math.sqrt(squared_sizes / (2.0 * time_constant_s * fill_fraction))


def _fill_fraction(age_s, time_constant_s):
    """Return the weight that an exponential average has accumulated at an age.

    It is at least 0.05, so that the first arrivals do not give an extreme rate.
    """
    return max(1.0 - math.exp(-age_s / time_constant_s), 0.05)


def _retained_fraction(interval_s, time_constant_s):
    """Return the share of arrivals spread over an interval that remains at its end."""
    ratio = interval_s / time_constant_s
    return -math.expm1(-ratio) / ratio if ratio > 0.0 else 1.0


class Predictor:
    """Predictor of the rate of each item, in the counted amounts per second.

    The predicted level of an item stays constant while its averages are within their
    noise bands around it. It rises immediately to the fastest average above its band,
    and falls with the time constant ``RELEASE_TAU_S``. At most ``max_items`` items are
    kept; the one with the least demand is dropped for a new one.
    """

    __slots__ = ("_averages_by_item", "_levels_updated_at", "_max_items")

    def __init__(self, max_items=MAX_ITEMS):
        self._max_items: int = max_items
        self._averages_by_item: dict[records.Item, _ItemAverages] = {}
        self._levels_updated_at: float | None = None

    def count(
        self, item: records.Item, amount: float, now: float, arrivals=1, interval_s=0.0
    ) -> None:
        """Count the total amount, in tokens or requests, of some arrivals.

        The arrivals are assumed to be spread evenly over the last ``interval_s``
        seconds.
        """
        averages = self._averages_by_item.get(item)
        if averages is None:
            if len(self._averages_by_item) >= self._max_items:
                self._drop_smallest()
            averages = self._averages_by_item[item] = _ItemAverages(now - interval_s)
        averages.advance(now)
        averages.fast += (
            amount * _retained_fraction(interval_s, FAST_TAU_S) / FAST_TAU_S
        )
        averages.medium += (
            amount * _retained_fraction(interval_s, MEDIUM_TAU_S) / MEDIUM_TAU_S
        )
        slow_weight = _retained_fraction(interval_s, SLOW_TAU_S) / SLOW_TAU_S
        averages.slow += amount * slow_weight
        averages.squared_sizes += amount * amount / max(arrivals, 1) * slow_weight

    def rates(self, now: float) -> dict[records.Item, float]:
        """Update the predicted levels and return that of each item with demand.

        Items with a negligible level and average are dropped. Levels fall according
        to the time since the last call.
        """
        elapsed_s = (
            0.0 if self._levels_updated_at is None else now - self._levels_updated_at
        )
        self._levels_updated_at = now
        decay_fraction = 1.0 - math.exp(-max(elapsed_s, 0.0) / RELEASE_TAU_S)
        rates = {}
        for item, averages in list(self._averages_by_item.items()):
            averages.advance(now)
            averages.level = _next_level(averages, now, decay_fraction)
            if averages.level < NEGLIGIBLE_RATE and averages.slow < NEGLIGIBLE_RATE:
                del self._averages_by_item[item]
                continue
            rates[item] = averages.level
        return rates

    def retain(self, items) -> None:
        """Drop every item that is not in ``items``."""
        for item in [item for item in self._averages_by_item if item not in items]:
            del self._averages_by_item[item]

    def __len__(self):
        return len(self._averages_by_item)

    def _drop_smallest(self):
        smallest = min(
            self._averages_by_item, key=lambda item: self._averages_by_item[item].slow
        )
        del self._averages_by_item[smallest]


def _next_level(averages, now, decay_fraction):
    fast = averages.fast_rate(now)
    slow = averages.slow_rate(now)
    tolerance = LEVEL_TOLERANCE * averages.level
    if (
        fast
        > averages.level
        + tolerance
        + FAST_SIGNIFICANCE * averages.standard_deviation(now, FAST_TAU_S)
    ):
        return fast
    medium = averages.medium_rate(now)
    band = tolerance + MEDIUM_SIGNIFICANCE * averages.standard_deviation(
        now, MEDIUM_TAU_S
    )
    if medium > averages.level + band and averages.level > 0.0:
        # A rise usually continues, so the level is set above the average.
        return medium * (1.0 + LEVEL_TOLERANCE)
    band = tolerance + SLOW_SIGNIFICANCE * averages.standard_deviation(now, SLOW_TAU_S)
    if averages.level == 0.0 or slow > averages.level + band:
        return slow
    if slow < averages.level - band:
        return averages.level + (slow - averages.level) * decay_fraction
    return averages.level
