"""Inputs and outputs of the order engine."""

from kumquatproxy import records, wire
from kumquatproxy.configuration import configstate
from kumquatproxy.placement import orderrules


class Action(records.Record):
    """A desired load or unload; ``needs`` is an item that must be loaded first."""

    __slots__ = ("action", "backend_id", "item", "memory_mb", "needs")

    def __init__(self, action, backend_id, item, memory_mb, needs=None):
        self.action: str = action
        self.backend_id: str = backend_id
        self.item: records.Item = item
        self.memory_mb: int = memory_mb
        self.needs: records.Item | None = needs


class OrderAnswer(records.Record):
    """A model engine's answer to an order.

    ``stage`` is REFUSED only if the engine lists the order as seen and refuses every
    copy. An order discarded because of its fence or expiry gets UNKNOWN.
    """

    __slots__ = ("incarnation", "order_id", "stage")

    def __init__(self, order_id, incarnation, stage):
        self.order_id: str = order_id
        self.incarnation: int = incarnation
        self.stage: orderrules.Stage = stage


class Propose(records.Record):
    """Request to propose a command to the placement group."""

    __slots__ = ("command",)

    def __init__(self, command):
        self.command: wire.Message = command


class SendOrder(records.Record):
    """Request to send an order if ``OrderEngine.may_send`` still allows it."""

    __slots__ = ("incarnation", "order")

    def __init__(self, order, incarnation):
        self.order: records.Order = order
        # Incarnation of the model engine in its newest report.
        self.incarnation: int = incarnation


class Acknowledge(records.Record):
    """Request to propose a command to the configuration group."""

    __slots__ = ("command",)

    def __init__(self, command):
        self.command: configstate.AcknowledgeShare = command
