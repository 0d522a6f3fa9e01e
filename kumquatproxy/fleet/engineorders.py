"""Orders to model engines and what engines answer and report."""

import enum

from kumquatproxy import records

# An order that got no answer may be carried out this much later.
LATE_ORDER_S = 13.0


class Action(enum.Enum):
    """Name what an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(records.Record):
    """Hold one order; ``adapter`` is empty for a whole model.

    ``expected_count`` is the number of orders that the engine has accepted. An engine
    refuses an order that expects another number, so of two orders with the same one
    only the first to arrive is carried out.
    """

    __slots__ = ("action", "adapter", "expected_count", "model")

    def __init__(self, action, model, adapter="", expected_count=None):
        self.action: Action = action
        self.model: str = model
        self.adapter: str = adapter
        self.expected_count: int | None = expected_count

    def is_adapter_unload(self) -> bool:
        """Return whether an adapter is to be unloaded, which is done at once."""
        return self.action is Action.UNLOAD and bool(self.adapter)

    def key(self) -> str:
        """Return the name of the model with its adapter."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class OrderOutcome(enum.Enum):
    """Name what came of sending an order."""

    ACCEPTED = "accepted"  # it is being carried out
    HOLDS = "holds"  # what it asks for is already so
    CONFLICT = "conflict"  # another order is in progress or came in between
    STALE_FENCE = "stale-fence"  # another owner has given orders since
    REFUSED = "refused"
    OTHER_SERVER = "other-server"
    UNKNOWN = "unknown"  # no answer: it may be carried out, also later


class EngineReport(records.Record):
    """Hold the state of an engine as of a moment before it was asked for."""

    __slots__ = (
        "adapters",
        "in_memory",
        "is_busy",
        "models",
        "on_disk",
        "order_count",
        "running",
        "tokens_used",
        "waiting",
    )

    def __init__(
        self,
        models=(),
        adapters=(),
        order_count=0,
        is_busy=False,
        in_memory=(),
        on_disk=(),
        running=0,
        waiting=0,
        tokens_used=0,
    ):
        self.models: list[str] = list(models)
        self.adapters: list[str] = list(adapters)  # MODEL/ADAPTER, also those coming
        self.order_count: int = order_count  # orders accepted so far
        self.is_busy: bool = is_busy  # an order about a model is in progress
        self.in_memory: list[str] = list(in_memory)
        self.on_disk: list[str] = list(on_disk)
        self.running: int = running
        self.waiting: int = waiting
        self.tokens_used: int = tokens_used
