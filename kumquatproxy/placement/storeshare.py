"""Share of the weight store's load limits granted to a data centre."""

from kumquatproxy import records, wire

# Capacity of the token bucket. Larger bursts of several data centres at once would
# exceed the store's rate for longer.
BURST_LOADS = 1.0
_ROUNDING_ERROR = 1e-9


@wire.register("store-share")
class Share(wire.Message):
    """Limits on concurrent model loads, their rate per second and adapter loads."""

    __slots__ = ("adapters", "rate", "slots")
    adapters: int
    rate: float
    slots: int

    def lower_of(self, other: "Share") -> "Share":
        """Return the smaller value of each limit."""
        return Share(*(min(pair) for pair in zip(self._values(), other._values())))

    def higher_of(self, other: "Share") -> "Share":
        """Return the larger value of each limit."""
        return Share(*(max(pair) for pair in zip(self._values(), other._values())))

    def is_within(self, other: "Share") -> bool:
        """Return whether no limit is above the same limit of ``other``."""
        return all(
            own_value <= other_value
            for own_value, other_value in zip(self._values(), other._values())
        )


NO_SHARE = Share(adapters=0, rate=0.0, slots=0)


def split(limits: Share, data_centres) -> dict[str, Share]:
    """Split limits equally; remainders go to the first data centres by name."""
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


class ShareUse:
    """Use of a store share by one placement owner, with a token bucket for the rate.

    The bucket starts empty, so that a change of owner does not permit a burst.
    """

    __slots__ = ("_kinds_by_order", "_tokens", "_updated_at", "limits")

    def __init__(self, share: Share, now: float):
        self.limits = share
        self._tokens = 0.0
        self._updated_at = now
        self._kinds_by_order: dict[str, str] = {}

    def adopt(self, share: Share, now: float) -> None:
        """Replace the share from ``now`` on."""
        self._refill(now)
        self.limits = share

    def is_use_within(self, share: Share) -> bool:
        """Return whether the open orders fit within ``share``."""
        return (
            self._count("model") <= share.slots
            and self._count("adapter") <= share.adapters
        )

    def can_reserve(self, item: records.Item) -> bool:
        """Return whether one more load of the item's kind fits the share."""
        limit = self.limits.slots if item.kind == "model" else self.limits.adapters
        return self._count(item.kind) < limit

    def reserve(self, order_id: str, item: records.Item) -> None:
        """Count an open load order, including one inherited from an earlier owner."""
        self._kinds_by_order[order_id] = item.kind

    def release(self, order_id: str) -> None:
        """Stop counting an order."""
        self._kinds_by_order.pop(order_id, None)

    def take_token(self, item: records.Item, now: float) -> bool:
        """Take a token to send a load if there is one; adapter loads need none."""
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
        self._tokens = min(BURST_LOADS, self._tokens + elapsed_s * self.limits.rate)
        self._updated_at = max(now, self._updated_at)
