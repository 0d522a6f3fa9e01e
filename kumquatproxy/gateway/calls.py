"""Records of one call: what the caller asked for, and what came of it."""

import enum
import typing

from kumquatproxy import records


class Mode(enum.Enum):
    """Name what may be repeated of a call."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Part(records.Record):
    """Name a part of a prompt that several calls may share."""

    __slots__ = ("part_id", "tokens")

    def __init__(self, part_id, tokens):
        self.part_id: str = part_id
        self.tokens: int = tokens


class ModelNeed(records.Record):
    """Hold what a call needs of a model engine."""

    __slots__ = (
        "adapter",
        "expected_output_tokens",
        "max_output_tokens",
        "model",
        "parts",
        "prompt_tokens",
    )

    def __init__(
        self,
        model,
        adapter="",
        prompt_tokens=0,
        max_output_tokens=0,
        expected_output_tokens=0,
        parts=(),
    ):
        self.model: str = model
        self.adapter: str = adapter
        self.prompt_tokens: int = prompt_tokens
        self.max_output_tokens: int = max_output_tokens
        self.expected_output_tokens: int = expected_output_tokens
        self.parts: tuple[Part, ...] = tuple(parts)

    def key(self) -> str:
        """Return the name of the model with its adapter."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class Call:
    """Hold one request of a caller, read completely."""

    __slots__ = (
        "arrived_at",
        "body",
        "deadline",
        "headers",
        "host",
        "last_event_id",
        "method",
        "need",
        "request_id",
        "route",
        "service",
        "target",
    )

    def __init__(self, method, target, host, headers, body, arrived_at):
        self.method: bytes = method
        self.target: bytes = target  # as received
        self.host: str = host
        self.headers: list[tuple[bytes, bytes]] = headers
        self.body: bytes = body
        self.arrived_at: float = arrived_at
        self.deadline: float = arrived_at  # the caller or the route ends it then
        self.request_id = ""
        self.last_event_id = ""
        self.need: ModelNeed | None = None
        self.route: typing.Any = None  # serviceconfig.Route, set once it is found
        self.service = ""  # name of the service chosen by weight

    @property
    def is_repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        if self.route.mode is Mode.STREAM:
            return self.route.is_resumable
        return self.route.mode is Mode.SAFE


class Outcome(enum.Enum):
    """Name how an attempt at a backend server ended."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not-connected"  # no byte of the request was sent
    NOT_RUN = "not-run"  # the server states that it did not run the call
    WRONG_SERVER = "wrong-server"  # another server has the address, or lacks the model
    LOST = "lost"  # sent without a whole answer; the call may have run
    SILENT = "silent"  # sent, and no sign of progress in time
    BROKEN = "broken"  # part of a stream was passed on


# Outcomes after which the call certainly has not run.
NOT_EXECUTED = frozenset((Outcome.NOT_CONNECTED, Outcome.NOT_RUN, Outcome.WRONG_SERVER))


class AnswerHead(records.Record):
    """Hold the head of a backend server's answer as the product needs it."""

    __slots__ = (
        "echoed_id",
        "headers",
        "is_not_executed",
        "is_sealed",
        "is_wrong_server",
        "load",
        "status",
    )

    def __init__(self, status, headers):
        self.status: int = status
        self.headers: list[tuple[bytes, bytes]] = headers
        self.echoed_id = ""
        self.is_not_executed = False
        self.is_sealed = False  # carries the checksum of a whole answer
        self.is_wrong_server = False
        self.load: ServerLoad | None = None


class ServerLoad(records.Record):
    """Hold what a backend server tells of its load."""

    __slots__ = ("running", "slots", "waiting")

    def __init__(self, running, waiting, slots):
        self.running: int = running
        self.waiting: int = waiting
        self.slots: int = slots


class GoneError(Exception):
    """Tell that the caller has closed its connection."""
