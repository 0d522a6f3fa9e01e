"""Inputs and outputs of the order engine."""

from kumquatproxy import records, wire
from kumquatproxy.configuration import configstate
from kumquatproxy.placement import orderrules


class Action(records.Record):
    """Ask for one load or unload; ``needs`` names an item that must be loaded first."""

    __slots__ = ("action", "backend_id", "item", "memory_mb", "needs")

    def __init__(self, action, backend_id, item, memory_mb, needs=None):
        self.action: str = action
        self.backend_id: str = backend_id
        self.item: records.Item = item
        self.memory_mb: int = memory_mb
        self.needs: records.Item | None = needs


class OrderAnswer(records.Record):
    """Hold the engine's answer to an order.

    ``stage`` is REFUSED only if the engine lists the id as seen and refuses every copy;
    an order discarded because of its fence or expiry gets UNKNOWN.
    """

    __slots__ = ("incarnation", "order_id", "stage")

    def __init__(self, order_id, incarnation, stage):
        self.order_id: str = order_id
        self.incarnation: int = incarnation
        self.stage: orderrules.Stage = stage


class Propose(records.Record):
    """Ask the edge to propose a command to the placement group."""

    __slots__ = ("command",)

    def __init__(self, command):
        self.command: wire.Message = command


class SendOrder(records.Record):
    """Ask the edge to send an order, after ``OrderEngine.may_send`` allowed it."""

    __slots__ = ("incarnation", "order")

    def __init__(self, order, incarnation):
        self.order: records.Order = order
        self.incarnation: int = incarnation  # of the engine, from its newest report


class Acknowledge(records.Record):
    """Ask the edge to propose a command to the configuration group."""

    __slots__ = ("command",)

    def __init__(self, command):
        self.command: configstate.AcknowledgeShare = command
