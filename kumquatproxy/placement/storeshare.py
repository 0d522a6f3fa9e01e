"""A data centre's share of the weight store: slots, rate, adapters in transit."""

from kumquatproxy import records, wire

# One load may be sent at once after an idle time; a larger bucket would let all data
# centres together send a burst that the store's rate does not allow.
BURST_LOADS = 1.0
_ROUNDING_ERROR = 1e-9


@wire.register("store-share")
class Share(wire.Message):
    """Hold slots for model loads, model loads per second and adapters in transit."""

    __slots__ = ("adapters", "rate", "slots")
    adapters: int
    rate: float
    slots: int

    def lower_of(self, other: "Share") -> "Share":
        """Return the smaller value of each part."""
        return Share(*(min(pair) for pair in zip(self._values(), other._values())))

    def higher_of(self, other: "Share") -> "Share":
        """Return the larger value of each part."""
        return Share(*(max(pair) for pair in zip(self._values(), other._values())))

    def is_within(self, other: "Share") -> bool:
        """Return whether no part is above the same part of ``other``."""
        return all(
            own_value <= other_value
            for own_value, other_value in zip(self._values(), other._values())
        )


NO_SHARE = Share(adapters=0, rate=0.0, slots=0)


def split(limits: Share, data_centres) -> dict[str, Share]:
    """Return equal shares; remainders go to the first data centres by name."""
    names = sorted(data_centres)
    shares = {}
    for index, name in enumerate(names):
        shares[name] = Share(
            adapters=_equal_part(limits.adapters, len(names), index),
            rate=limits.rate / len(names),
            slots=_equal_part(limits.slots, len(names), index),
        )
    return shares


def _equal_part(total, count, index):
    return total // count + (1 if index < total % count else 0)


def fits(shares, limits: Share) -> bool:
    """Return whether the sum of ``shares`` is within the limits of the store."""
    shares = list(shares)
    return (
        sum(share.slots for share in shares) <= limits.slots
        and sum(share.adapters for share in shares) <= limits.adapters
        and sum(share.rate for share in shares) <= limits.rate + _ROUNDING_ERROR
    )


class StoreShare:
    """Track the use of the share by one placement owner.

    The bucket starts empty, so that an owner change never adds a burst.
    """

    __slots__ = ("_kinds_by_order", "_tokens", "_updated_at", "share")

    def __init__(self, share: Share, now: float):
        self.share = share
        self._tokens = 0.0
        self._updated_at = now
        self._kinds_by_order: dict[str, str] = {}

    def adopt(self, share: Share, now: float) -> None:
        """Use another share from ``now`` on."""
        self._refill(now)
        self.share = share

    def is_use_within(self, share: Share) -> bool:
        """Return whether the orders open now would fit ``share``."""
        return (
            self._count("model") <= share.slots
            and self._count("adapter") <= share.adapters
        )

    def can_reserve(self, item: records.Item) -> bool:
        """Return whether one more load of this kind fits the share."""
        limit = self.share.slots if item.kind == "model" else self.share.adapters
        return self._count(item.kind) < limit

    def reserve(self, order_id: str, item: records.Item) -> None:
        """Count an open load order, also one inherited from an earlier owner."""
        self._kinds_by_order[order_id] = item.kind

    def release(self, order_id: str) -> None:
        """Stop counting an order."""
        self._kinds_by_order.pop(order_id, None)

    def take_token(self, item: records.Item, now: float) -> bool:
        """Return whether a load may be sent now; the rate applies to models only."""
        if item.kind != "model":
            return True
        self._refill(now)
        if self._tokens < 1.0 - _ROUNDING_ERROR:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def _count(self, kind):
        return sum(
            1
            for reserved_kind in self._kinds_by_order.values()
            if reserved_kind == kind
        )

    def _refill(self, now):
        elapsed_s = max(0.0, now - self._updated_at)
        self._tokens = min(BURST_LOADS, self._tokens + elapsed_s * self.share.rate)
        self._updated_at = max(now, self._updated_at)
