"""Demand counts that entry hosts send to the placement voters."""

from kumquatproxy import records, wire
from kumquatproxy.placement import demand

REPORT_INTERVAL_S = 5.0
MAX_ITEMS_PER_REPORT = 2000


@wire.register("demand-counts")
class DemandCounts(wire.Message):
    """Carry the [item, amount, arrivals] rows counted since the last report."""

    __slots__ = ("counts",)
    counts: list


class DemandCounter:
    """Accumulate the arrivals at one entry host until the next report."""

    __slots__ = ("_counts_by_item", "_send_at")

    def __init__(self):
        self._counts_by_item: dict[records.Item, list] = {}
        self._send_at = 0.0

    def count(self, items, amount: float) -> None:
        """Count one arrival of ``amount`` tokens for each of ``items``."""
        for item in items:
            counts = self._counts_by_item.setdefault(item, [0.0, 0])
            counts[0] += amount
            counts[1] += 1

    def tick(self, now: float) -> DemandCounts | None:
        """Return the report that is due, or None."""
        if now < self._send_at or not self._counts_by_item:
            return None
        self._send_at = now + REPORT_INTERVAL_S
        reported = list(self._counts_by_item.items())[:MAX_ITEMS_PER_REPORT]
        for item, _ in reported:
            del self._counts_by_item[item]
        return DemandCounts([[item.key(), *counts] for item, counts in reported])


def apply_counts(message: DemandCounts, predictor: demand.Predictor, now) -> None:
    """Add the counts of one host to the demand prediction."""
    for key, amount, arrivals in message.counts:
        predictor.count(records.parse_item(key), amount, now, arrivals)
