"""Orders to model engines, their outcomes, and the reports of engines."""

import enum

from kumquatproxy import entrychecks, records

# An unanswered order may still be carried out until this long after it was sent.
MAX_ORDER_DELAY_S = 13.0


class Action(enum.Enum):
    """Enumerate the actions of orders."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(records.Record):
    """Describe an order about a model, or about one of its adapters if it is named.

    ``expected_count`` is the number of orders that the engine has accepted so far. The
    engine answers CONFLICT to an order that expects another number, so only the first
    of two orders with the same number to arrive is carried out.
    """

    __slots__ = ("action", "adapter", "expected_count", "model")

    def __init__(self, action, model, adapter="", expected_count=None):
        self.action: Action = action
        self.model: str = model
        self.adapter: str = adapter
        self.expected_count: int | None = expected_count

    def is_adapter_unload(self) -> bool:
        """Return whether the order unloads an adapter, which takes no time."""
        return self.action is Action.UNLOAD and bool(self.adapter)

    def key(self) -> str:
        """Return the model, or MODEL/ADAPTER for an adapter."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class OrderOutcome(enum.Enum):
    """Enumerate the outcomes of sending an order."""

    ACCEPTED = "accepted"  # the engine is carrying it out
    ALREADY_DONE = "holds"  # the engine already is in the requested state
    CONFLICT = "conflict"  # another order is in progress or was accepted before
    STALE_FENCE = "stale-fence"  # a newer owner has given orders
    REFUSED = "refused"  # the engine rejects the order as invalid
    OTHER_SERVER = "other-server"  # another server has taken over the address
    UNKNOWN = "unknown"  # no answer: it may be carried out, possibly later


def check_models(models, coming) -> None:
    """Raise ValueError if the models or coming adapters of a report are no names."""
    if not entrychecks.is_models(models) or not entrychecks.is_names(coming):
        raise ValueError("models or adapters have the wrong type, or are too many")


class EngineReport(records.Record):
    """Describe the state of an engine shortly before the report was requested."""

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
        self.adapters: list[str] = list(adapters)  # MODEL/ADAPTER, resident or loading
        self.order_count: int = order_count  # orders accepted so far
        self.is_busy: bool = is_busy  # an order about a model is in progress
        self.in_memory: list[str] = list(in_memory)
        self.on_disk: list[str] = list(on_disk)
        self.running: int = running
        self.waiting: int = waiting
        self.tokens_used: int = tokens_used

    def check(self) -> None:
        """Raise ValueError if a value has the wrong type or is out of range."""
        names = (self.in_memory, self.on_disk)
        counts = (self.order_count, self.running, self.waiting, self.tokens_used)
        if not all(map(entrychecks.is_names, names)):
            raise ValueError("cached models have the wrong type, or are too many")
        if not all(map(entrychecks.is_integer, counts)):
            raise ValueError("a count is negative or too large")
