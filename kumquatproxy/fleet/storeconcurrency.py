"""Number of loads that the weight store serves at full speed, learned from loads.

Traffic pattern: several engines are replaced or demand shifts, so that many models are
to be loaded at once. Beyond a number that nobody tells, loads share the store, and each
takes proportionally longer. The most urgent ones end sooner if the others wait.
"""

import math

# Longer loads than this, as a multiple of their usual time, share the store.
SLOW_RATIO = 1.3
# Loads up to this ratio run at full speed: their end is noticed a little late.
FULL_SPEED_RATIO = 1.15
# Weight of one slow load in the estimate.
LEARNING_RATE = 0.5
RAISE = 0.5  # of the estimate for each load at full speed beside as many others
MIN_ESTIMATE = 2.0


class StoreConcurrency:
    """Estimate the number of loads at full speed and limit loads to it."""

    __slots__ = ("_active_by_key", "_area", "_updated_at", "estimate")

    def __init__(self):
        self.estimate = math.inf
        # Loads under way: when each began, and the area of active loads at that time.
        self._active_by_key: dict[tuple, tuple[float, float]] = {}
        self._area = 0.0  # active loads x seconds
        self._updated_at = 0.0

    def allows(self, planned: int) -> bool:
        """Return whether one more load beside ``planned`` new ones is at full speed."""
        return len(self._active_by_key) + planned < self.estimate

    def known_estimate(self) -> float | None:
        """Return the estimate, None before any load was slow."""
        return None if math.isinf(self.estimate) else round(self.estimate, 1)

    def begin(self, key: tuple, now: float) -> None:
        """Record that a load begins; ``key`` names its engine and model."""
        self._advance(now)
        self._active_by_key[key] = (now, self._area)

    def end(self, key: tuple, usual_s: float | None, now: float) -> None:
        """Record the end of a load and learn from its time.

        ``usual_s`` is its time at full speed, None if it was not completed.
        """
        self._advance(now)
        begun_at, area_before = self._active_by_key.pop(key)
        took_s = now - begun_at
        if usual_s is None or took_s <= 0.0 or usual_s <= 0.0:
            return
        concurrency = (self._area - area_before) / took_s
        ratio = took_s / usual_s
        if ratio > SLOW_RATIO:
            self._lower(max(MIN_ESTIMATE, concurrency / ratio))
        elif ratio <= FULL_SPEED_RATIO and concurrency > self.estimate - 1.0:
            self.estimate += RAISE

    def _lower(self, estimate):
        if self.estimate == math.inf:
            self.estimate = estimate
        elif estimate < self.estimate:
            self.estimate += LEARNING_RATE * (estimate - self.estimate)

    def _advance(self, now):
        self._area += len(self._active_by_key) * (now - self._updated_at)
        self._updated_at = now
