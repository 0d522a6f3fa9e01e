"""Replicated state of a placement group: owner, intents and observed loads."""

import cbor2

from kumquatproxy import errors, records, wire
from kumquatproxy.placement import storeshare

LOAD = "load"
UNLOAD = "unload"

# Outcomes of a closed intent.
LOADED = "loaded"  # a report made after the load shows the item
GONE = "gone"  # a report made after the unload no longer shows the item
REFUSED = "refused"  # the engine refused the order and will refuse every copy
FENCED = "fenced"  # the engine has seen a newer fence and refuses every copy
EXPIRED = "expired"  # every copy of the unload order is too old to be accepted
UNSENT = "unsent"  # the owner that proposed the intent never sent it


@wire.register("take-ownership")
class TakeOwnership(wire.Message):
    """Make a host the owner; ``fence`` is the term in which the host is the leader."""

    __slots__ = ("fence", "owner")
    fence: int
    owner: str


@wire.register("intent")
class Intent(wire.Message):
    """An order that may be sent after this intent is committed."""

    __slots__ = ("action", "backend_id", "fence", "item", "memory_mb", "order_id")
    action: str
    backend_id: str
    fence: int
    item: str  # ``records.Item.key``
    memory_mb: int
    order_id: str

    def parsed_item(self) -> records.Item:
        """Return the item, parsed from its text form."""
        return records.parse_item(self.item)


@wire.register("closing")
class Closing(wire.Message):
    """Outcome of an order, and the version of the report that proves it."""

    __slots__ = ("incarnation", "order_id", "outcome", "sequence")
    incarnation: int
    order_id: str
    outcome: str
    sequence: int


@wire.register("intend-orders")
class IntendOrders(wire.Message):
    """Record intents before their orders are sent."""

    __slots__ = ("fence", "intents")
    fence: int
    intents: list[Intent]


@wire.register("close-intents")
class CloseIntents(wire.Message):
    """Record outcomes of intents, which are kept until they are forgotten."""

    __slots__ = ("closings", "fence")
    closings: list[Closing]
    fence: int


@wire.register("forget-intents")
class ForgetIntents(wire.Message):
    """Drop closed intents of which every copy is too old to be accepted."""

    __slots__ = ("fence", "order_ids")
    fence: int
    order_ids: list[str]


@wire.register("forget-backend")
class ForgetBackend(wire.Message):
    """Drop all records of a backend server that has left permanently."""

    __slots__ = ("backend_id", "fence")
    backend_id: str
    fence: int


@wire.register("adopt-share")
class AdoptShare(wire.Message):
    """Record the store share in use, so that the next owner never uses an older one."""

    __slots__ = ("fence", "share", "share_version")
    fence: int
    share: storeshare.Share
    share_version: int


@wire.register("placement-answer")
class PlacementAnswer(wire.Message):
    """Result of a command; ``kind`` is empty or the value of an error kind."""

    __slots__ = ("kind",)
    kind: str


class RecordedIntent:
    """An intent with its outcome, which is empty while the intent is open."""

    __slots__ = ("incarnation", "intent", "outcome")

    def __init__(self, intent, outcome="", incarnation=0):
        self.intent: Intent = intent
        self.outcome: str = outcome
        self.incarnation: int = incarnation  # of the engine when the intent was closed


class ObservedBackend:
    """Items that the group knows to be loaded on one backend server.

    The next owner ignores reports older than ``report_version``, because the previous
    owner may have closed intents based on a newer one.
    """

    __slots__ = ("memory_by_item", "report_version")

    def __init__(self, report_version=(0, 0), memory_by_item=None):
        # Incarnation and sequence of the newest report used.
        self.report_version: tuple[int, int] = tuple(report_version)
        self.memory_by_item: dict[str, int] = memory_by_item or {}


_APPLIED = PlacementAnswer("")


class PlacementState:
    """State machine of the placement group; rejects commands with a stale fence."""

    def __init__(self, base_fence=0):
        self._handlers = {
            IntendOrders: self._intend,
            CloseIntents: self._close,
            ForgetIntents: self._forget,
            ForgetBackend: self._forget_backend,
            AdoptShare: self._adopt_share,
        }
        self.base_fence = base_fence
        self.fence = base_fence
        self.owner = ""
        self.recorded_by_id: dict[str, RecordedIntent] = {}
        self.observed_by_backend: dict[str, ObservedBackend] = {}
        self.share = storeshare.NO_SHARE
        self.share_version = 0

    def apply(self, command: wire.Message) -> wire.Message:
        """Apply one committed command and return its result."""
        if isinstance(command, TakeOwnership):
            return self._take_ownership(command)
        handler = self._handlers.get(type(command))
        if handler is None:
            return PlacementAnswer(errors.ErrorKind.PROTOCOL_ERROR.value)
        if getattr(command, "fence", None) != self.fence:
            return PlacementAnswer(errors.ErrorKind.STALE_FENCE.value)
        handler(command)
        return _APPLIED

    def open_intents(self) -> list[Intent]:
        """Return the intents without an outcome, in the order they were recorded."""
        return [
            recorded.intent
            for recorded in self.recorded_by_id.values()
            if not recorded.outcome
        ]

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        return cbor2.dumps(
            {
                "base_fence": self.base_fence,
                "fence": self.fence,
                "owner": self.owner,
                "recorded": [
                    [recorded.intent.to_map(), recorded.outcome, recorded.incarnation]
                    for recorded in self.recorded_by_id.values()
                ],
                "observed": {
                    backend_id: [list(observed.report_version), observed.memory_by_item]
                    for backend_id, observed in self.observed_by_backend.items()
                },
                "share": self.share.to_map(),
                "share_version": self.share_version,
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        fields = cbor2.loads(data)
        self.base_fence = fields["base_fence"]
        self.fence = fields["fence"]
        self.owner = fields["owner"]
        self.recorded_by_id = {}
        for intent_map, outcome, incarnation in fields["recorded"]:
            intent = wire.from_plain(intent_map, 0)
            recorded = RecordedIntent(intent, outcome, incarnation)
            self.recorded_by_id[intent.order_id] = recorded
        self.observed_by_backend = {
            backend_id: ObservedBackend(report_version, memory_by_item)
            for backend_id, (report_version, memory_by_item) in fields[
                "observed"
            ].items()
        }
        self.share = wire.from_plain(fields["share"], 0)
        self.share_version = fields["share_version"]

    def _take_ownership(self, command):
        if command.fence <= self.fence:
            return PlacementAnswer(errors.ErrorKind.STALE_FENCE.value)
        self.fence = command.fence
        self.owner = command.owner
        return _APPLIED

    def _intend(self, command):
        for intent in command.intents:
            self.recorded_by_id.setdefault(intent.order_id, RecordedIntent(intent))

    def _close(self, command):
        for closing in command.closings:
            recorded = self.recorded_by_id.get(closing.order_id)
            if recorded is None:
                continue
            if closing.outcome == UNSENT:
                del self.recorded_by_id[closing.order_id]
                continue
            recorded.outcome = closing.outcome
            recorded.incarnation = closing.incarnation
            self._record_observed(recorded.intent, closing)

    def _record_observed(self, intent, closing):
        observed = self.observed_by_backend.setdefault(
            intent.backend_id, ObservedBackend()
        )
        report_version = (closing.incarnation, closing.sequence)
        if report_version < observed.report_version:
            return
        if report_version[0] > observed.report_version[0]:
            observed.memory_by_item.clear()  # a restarted engine starts empty
        observed.report_version = report_version
        if closing.outcome == LOADED:
            observed.memory_by_item[intent.item] = intent.memory_mb
        elif closing.outcome == GONE:
            observed.memory_by_item.pop(intent.item, None)

    def _forget(self, command):
        for order_id in command.order_ids:
            recorded = self.recorded_by_id.get(order_id)
            if recorded is not None and recorded.outcome:
                del self.recorded_by_id[order_id]

    def _forget_backend(self, command):
        self.observed_by_backend.pop(command.backend_id, None)
        for order_id, recorded in list(self.recorded_by_id.items()):
            if recorded.intent.backend_id == command.backend_id:
                del self.recorded_by_id[order_id]

    def _adopt_share(self, command):
        if command.share_version > self.share_version:
            self.share_version = command.share_version
            self.share = command.share
