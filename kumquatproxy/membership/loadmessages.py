"""Compact encoding of load reports between hosts.

A report consists of a fast part and a detail. The fast part is an 18-byte record with
the current load figures. The detail (loaded items, orders and fence seen) changes
rarely; the fast part refers to it by a short hash.
"""

import hashlib
import struct

from kumquatproxy import records, wire

KEY_BYTES = 5
"""With 120 backend servers in a data centre, two keys collide with probability 7e-9."""

HASH_BYTES = 3
AGE_UNIT_S = 0.02
MAX_UINT8 = 255
MAX_UINT16 = 65535

_FAST_STRUCT = struct.Struct(">5sI3sHHBB")
FAST_BYTES = _FAST_STRUCT.size


def report_key(backend_id: str, incarnation: int) -> bytes:
    """Return the hash that identifies one incarnation of a backend server."""
    text = f"{backend_id} {incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()


class Detail:
    """Hold the rarely changing part of a report.

    ``prefixed_values`` holds it as text: ``i:`` item keys, ``o:`` order ids, ``f:`` the
    fence.
    """

    __slots__ = (
        "backend_id",
        "fence_seen",
        "hash",
        "incarnation",
        "loaded",
        "orders_seen",
        "prefixed_values",
    )

    def __init__(self, backend_id, incarnation, prefixed_values):
        self.backend_id: str = backend_id
        self.incarnation: int = incarnation
        self.prefixed_values: frozenset[str] = frozenset(prefixed_values)
        ordered = sorted(self.prefixed_values)
        text = "\n".join(ordered)
        self.hash = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
        item_keys = [value[2:] for value in ordered if value[:2] == "i:"]
        self.loaded = tuple(_shared_item(key) for key in item_keys)
        self.orders_seen = tuple(value[2:] for value in ordered if value[:2] == "o:")
        fence_values = [int(value[2:]) for value in ordered if value[:2] == "f:"]
        self.fence_seen = max(fence_values, default=0)

    def key(self) -> bytes:
        """Return the report key of the incarnation that this detail belongs to."""
        return report_key(self.backend_id, self.incarnation)


_items_by_key: dict[str, records.Item] = {}
MAX_CACHED_ITEMS = 100_000


def _shared_item(key):
    """Return the cached item of a key, to avoid thousands of copies in memory."""
    item = _items_by_key.get(key)
    if item is None:
        if len(_items_by_key) >= MAX_CACHED_ITEMS:
            _items_by_key.clear()
        item = _items_by_key[key] = records.parse_item(key)
    return item


def clear_item_cache() -> None:
    """Clear the item cache, so that a memory measurement includes the items."""
    _items_by_key.clear()


def make_detail(report: records.LoadReport) -> Detail:
    """Return the detail of a report."""
    prefixed_values = {f"i:{item.key()}" for item in report.loaded}
    prefixed_values.update(f"o:{order_id}" for order_id in report.orders_seen)
    if report.fence_seen:
        prefixed_values.add(f"f:{report.fence_seen}")
    return Detail(report.backend_id, report.incarnation, prefixed_values)


def pack_fast(key, report: records.LoadReport, detail_hash, now: float) -> bytes:
    """Encode the fast part of a report, with its age at ``now`` up to 5.1 s."""
    return _FAST_STRUCT.pack(
        key,
        report.sequence,
        detail_hash,
        min(report.running, MAX_UINT16),
        min(report.waiting, MAX_UINT16),
        min(MAX_UINT8, max(0, round(report.kv_used * MAX_UINT8))),
        min(MAX_UINT8, max(0, int((now - report.sent_at) / AGE_UNIT_S))),
    )


def unpack_fast(data: bytes):
    """Iterate over the (key, sequence, hash, running, waiting, kv, age) records."""
    return _FAST_STRUCT.iter_unpack(data)


def detail_to_list(key: bytes, detail: Detail) -> list:
    """Return the message form of a complete detail."""
    return [key, detail.backend_id, detail.incarnation, sorted(detail.prefixed_values)]


def delta_to_list(key: bytes, old: Detail, new: Detail) -> list:
    """Return the message form of the difference between two details."""
    added = sorted(new.prefixed_values - old.prefixed_values)
    removed = sorted(old.prefixed_values - new.prefixed_values)
    return [key, old.hash, added, removed]


def apply_delta(old: Detail, added: list, removed: list) -> Detail:
    """Return the detail that results from a delta."""
    prefixed_values = (old.prefixed_values - frozenset(removed)) | frozenset(added)
    return Detail(old.backend_id, old.incarnation, prefixed_values)


@wire.register("report-batch")
class ReportBatch(wire.Message):
    """Carry fast parts and changed details; ``down`` means away from the root."""

    __slots__ = ("deltas", "down", "fast", "full")
    deltas: list
    down: bool
    fast: bytes
    full: list


@wire.register("report-pull")
class ReportPull(wire.Message):
    """Request the details with these keys."""

    __slots__ = ("keys",)
    keys: list


@wire.register("report-details")
class ReportDetails(wire.Message):
    """Answer a ReportPull with complete details."""

    __slots__ = ("full",)
    full: list
