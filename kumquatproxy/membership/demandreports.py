"""Counts of demand that entry hosts send to the placement voters."""

from kumquatproxy import records, wire
from kumquatproxy.placement import demand

REPORT_INTERVAL_S = 5.0
MAX_ITEMS_PER_REPORT = 2000


@wire.register("demand-counts")
class DemandCounts(wire.Message):
    """Carry what one host counted since its last report: [item, amount, arrivals]."""

    __slots__ = ("counts",)
    counts: list


class DemandCounter:
    """Count the arrivals of one entry host until they are reported."""

    __slots__ = ("_counts_by_item", "_send_at")

    def __init__(self):
        self._counts_by_item: dict[records.Item, list] = {}
        self._send_at = 0.0

    def count(self, items, amount: float) -> None:
        """Count one arrival of ``amount`` tokens for each item."""
        for item in items:
            counts = self._counts_by_item.setdefault(item, [0.0, 0])
            counts[0] += amount
            counts[1] += 1

    def tick(self, now: float) -> DemandCounts | None:
        """Return the report that is due."""
        if now < self._send_at or not self._counts_by_item:
            return None
        self._send_at = now + REPORT_INTERVAL_S
        taken = list(self._counts_by_item.items())[:MAX_ITEMS_PER_REPORT]
        for item, _ in taken:
            del self._counts_by_item[item]
        return DemandCounts([[item.key(), *counts] for item, counts in taken])


def apply_counts(message: DemandCounts, predictor: demand.Predictor, now) -> None:
    """Add the counts of one host to the prediction."""
    for key, amount, arrivals in message.counts:
        predictor.count(records.parse_item(key), amount, now, arrivals)
