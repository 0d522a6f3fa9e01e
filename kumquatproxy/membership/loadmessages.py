"""Compact forms of load reports between hosts.

A report has a fast part, a record of 18 bytes with the figures of the moment, and a
detail (loaded items, orders and fence seen), which changes rarely and is named in the
fast part by a short hash.
"""

import hashlib
import struct

from kumquatproxy import records, wire

KEY_BYTES = 5
"""With 120 backend servers in a data centre two keys agree with probability 7e-9."""

HASH_BYTES = 3
AGE_UNIT_S = 0.02
MAX_BYTE = 255
MAX_SHORT = 65535

_FAST = struct.Struct(">5sI3sHHBB")
FAST_BYTES = _FAST.size


def key_of(backend_id: str, incarnation: int) -> bytes:
    """Return the key of one incarnation of a backend server."""
    text = f"{backend_id} {incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()


class Detail:
    """Hold the part of a report that changes rarely."""

    __slots__ = (
        "backend_id",
        "facts",
        "fence_seen",
        "hash",
        "incarnation",
        "loaded",
        "orders_seen",
    )

    def __init__(self, backend_id, incarnation, facts):
        self.backend_id: str = backend_id
        self.incarnation: int = incarnation
        self.facts: frozenset[str] = frozenset(facts)
        ordered = sorted(self.facts)
        text = "\n".join(ordered)
        self.hash = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
        items = [fact[2:] for fact in ordered if fact[:2] == "i:"]
        self.loaded = tuple(_item_of(key) for key in items)
        self.orders_seen = tuple(fact[2:] for fact in ordered if fact[:2] == "o:")
        fences = [int(fact[2:]) for fact in ordered if fact[:2] == "f:"]
        self.fence_seen = max(fences, default=0)

    def key(self) -> bytes:
        """Return the key of the incarnation that this detail belongs to."""
        return key_of(self.backend_id, self.incarnation)


_items_by_key: dict[str, records.Item] = {}
MAX_ITEMS = 100_000


def _item_of(key):
    """Return one shared item for each key, to keep thousands of copies off memory."""
    item = _items_by_key.get(key)
    if item is None:
        if len(_items_by_key) >= MAX_ITEMS:
            _items_by_key.clear()
        item = _items_by_key[key] = records.parse_item(key)
    return item


def forget_items() -> None:
    """Drop the shared items, so that a measurement counts its own."""
    _items_by_key.clear()


def detail_of(report: records.LoadReport) -> Detail:
    """Return the detail of a report."""
    facts = {f"i:{item.key()}" for item in report.loaded}
    facts.update(f"o:{order_id}" for order_id in report.orders_seen)
    if report.fence_seen:
        facts.add(f"f:{report.fence_seen}")
    return Detail(report.backend_id, report.incarnation, facts)


def pack_fast(key, report: records.LoadReport, detail_hash, now: float) -> bytes:
    """Return the fast part of a report with its age at ``now``."""
    return _FAST.pack(
        key,
        report.sequence,
        detail_hash,
        min(report.running, MAX_SHORT),
        min(report.waiting, MAX_SHORT),
        min(MAX_BYTE, max(0, round(report.kv_used * MAX_BYTE))),
        min(MAX_BYTE, max(0, int((now - report.sent_at) / AGE_UNIT_S))),
    )


def unpack_fast(data: bytes):
    """Return an iterator over (key, sequence, hash, running, waiting, kv, age)."""
    return _FAST.iter_unpack(data)


def full_detail(key: bytes, detail: Detail) -> list:
    """Return the message form of a whole detail."""
    return [key, detail.backend_id, detail.incarnation, sorted(detail.facts)]


def delta_detail(key: bytes, old: Detail, new: Detail) -> list:
    """Return the message form of the change from one detail to the next."""
    added = sorted(new.facts - old.facts)
    removed = sorted(old.facts - new.facts)
    return [key, old.hash, added, removed]


def apply_delta(old: Detail, added: list, removed: list) -> Detail:
    """Return the detail after a change."""
    facts = (old.facts - frozenset(removed)) | frozenset(added)
    return Detail(old.backend_id, old.incarnation, facts)


@wire.register("report-batch")
class ReportBatch(wire.Message):
    """Carry fast parts and changed details; ``down`` if it comes from the root."""

    __slots__ = ("deltas", "down", "fast", "full")
    deltas: list
    down: bool
    fast: bytes
    full: list


@wire.register("report-pull")
class ReportPull(wire.Message):
    """Ask for the details with these keys."""

    __slots__ = ("keys",)
    keys: list


@wire.register("report-details")
class ReportDetails(wire.Message):
    """Answer a ReportPull with whole details."""

    __slots__ = ("full",)
    full: list
