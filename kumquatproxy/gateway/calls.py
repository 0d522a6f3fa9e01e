"""Records of a call, its model requirements and the outcome of its attempts."""

import enum
import typing

from kumquatproxy import records

STREAM_STATUS = 200  # of a response that is a stream
MIN_SERVER_ERROR_STATUS = 500
# Callers choose the ids, and hosts remember many.
MAX_PART_ID_LENGTH = 64
# Stands for the digest of more than one key; no team has it.
SEVERAL_KEYS = b""


class Mode(enum.Enum):
    """State whether a call may be repeated, and whether it is a stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class PromptPart(records.Record):
    """Identify a part of a prompt that several calls may have in common."""

    __slots__ = ("part_id", "tokens")

    def __init__(self, part_id, tokens):
        self.part_id: str = part_id
        self.tokens: int = tokens


class ModelNeed(records.Record):
    """Hold the model, adapter and tokens that a call requires of an engine."""

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
        self.parts: tuple[PromptPart, ...] = tuple(parts)

    def key(self) -> str:
        """Return ``model/adapter``, or the model's name without an adapter."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class Call:
    """Hold one complete request of a caller."""

    __slots__ = (
        "arrived_at",
        "body",
        "caller",
        "cap_use",
        "deadline",
        "forwarded_service",
        "headers",
        "hides_key",
        "host",
        "key_digest",
        "last_event_id",
        "method",
        "need",
        "request_id",
        "resumed_id",
        "route",
        "service",
        "software_version",
        "spent_s",
        "stated_tokens",
        "target",
        "team",
        "team_name",
    )

    def __init__(self, method, target, host, headers, body, arrived_at, caller=""):
        self.caller: str = caller  # IP address
        self.method: bytes = method
        self.target: bytes = target  # as received
        self.host: str = host
        self.headers: list[tuple[bytes, bytes]] = headers
        self.body: bytes = body
        self.arrived_at: float = arrived_at
        self.deadline: float = arrived_at  # set when the call is routed
        self.request_id = ""
        self.last_event_id = ""
        self.resumed_id = ""  # request id of the call that began the caller's stream
        # Of the server that sent the first event of the stream; None before it. The
        # events of two versions do not fit together.
        self.software_version: str | None = None
        # Estimated time that the caller has spent on earlier attempts, 0 if on none.
        self.spent_s = 0.0
        self.need: ModelNeed | None = None
        self.route: typing.Any = None  # serviceconfig.Route, set by routing
        self.service = ""  # selected from the route's targets by weight
        # The service that another host selected; None for a call of a caller.
        self.forwarded_service: str | None = None
        # Whether headers with the caller's key stay at this host; not without teams.
        self.hides_key = False
        # Of the key that the caller sent, None without one.
        self.key_digest: bytes | None = None
        self.team: typing.Any = None  # serviceconfig.Team that holds the key
        # Prompt and most output tokens that the caller states; None without them.
        self.stated_tokens: int | None = None
        self.cap_use: typing.Any = None  # usagecaps.Use, None if nothing is counted
        # The team that another host found; None for a call of a caller.
        self.team_name: str | None = None

    @property
    def is_repeatable(self) -> bool:
        """Return whether the call may be executed more than once."""
        return self.route.is_repeatable

    @property
    def priority(self) -> int:
        """Return the rank of the call, 0 being the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def max_attempts(self) -> int:
        """Return the number of servers at which this host may run the call."""
        return self.route.attempts if self.forwarded_service is None else 1

    @property
    def is_resumed_stream(self) -> bool:
        """Return whether the caller resumes a stream of an earlier call."""
        is_stream = self.route.mode is Mode.STREAM
        return is_stream and bool(self.resumed_id or self.last_event_id)

    @property
    def stream_id(self) -> str:
        """Return the request id of the call that began the stream."""
        return self.resumed_id or self.request_id


class Outcome(enum.Enum):
    """State how an attempt at a backend server ended."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not-connected"  # no byte of the request was sent
    NOT_RUN = "not-run"  # the server reports that it did not execute the call
    # Another server has this address, or the server lacks the model or adapter.
    WRONG_SERVER = "wrong-server"
    # Sending began, but no usable response was received to its end. The server may
    # have executed the call.
    LOST = "lost"
    SILENT = "silent"  # sent, no data within the timeout
    # Selected, but not sent because the server leaves or pauses since.
    WITHHELD = "withheld"
    SUPERSEDED = "superseded"  # an earlier silent attempt went on before a response
    BROKEN = "broken"  # not used; a stream that ends early has the outcome LOST


# Outcomes after which the call was certainly not executed.
NOT_EXECUTED = frozenset(
    (
        Outcome.NOT_CONNECTED,
        Outcome.NOT_RUN,
        Outcome.WITHHELD,
        Outcome.WRONG_SERVER,
    )
)


class ResponseHead(records.Record):
    """Hold the head of a backend server's response and the fields read from it."""

    __slots__ = (
        "echoed_id",
        "headers",
        "is_leaving",
        "is_not_executed",
        "is_sealed",
        "is_wrong_server",
        "load",
        "names_limit",
        "names_pause",
        "pause_s",
        "refusals_per_s",
        "request_limit",
        "status",
    )

    def __init__(self, status, headers):
        self.status: int = status
        self.headers: list[tuple[bytes, bytes]] = headers
        self.echoed_id = ""  # request id that the server returns
        self.is_not_executed = False
        self.is_sealed = False  # has the checksum of a complete response
        self.is_wrong_server = False
        self.is_leaving = False  # the server takes no new calls
        self.load: ServerLoad | None = None
        # Requests a second that the server takes from all hosts together at present;
        # None if it names no limit, or one that cannot be read.
        self.request_limit: float | None = None
        self.names_limit = False
        # Seconds for which the server wants no requests from this host; None if it
        # names none, or a time that cannot be read.
        self.pause_s: float | None = None
        self.names_pause = False
        # Refusals a second after which a server of this service falls over; None if any
        # number of them does no harm.
        self.refusals_per_s: float | None = None


class ServerLoad(records.Record):
    """Hold the load that a backend server reports with a response."""

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(self, running, waiting, slots, pace=1.0):
        self.running: int = running
        self.waiting: int = waiting
        self.slots: int = slots
        # Time that work takes on the server's machine, as a multiple of the usual.
        self.pace: float = pace


class ResponseAbortedError(Exception):
    """Report that no further data of the response can or may be sent to the caller."""


class HostStoppingError(Exception):
    """Report that the host stops before a call in flight has ended."""
