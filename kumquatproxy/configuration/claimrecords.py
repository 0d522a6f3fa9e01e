"""Commands and answers of the at-most-once claims, and their packed form."""

import enum
import hashlib
import struct

import cbor2

from kumquatproxy import errors, wire
from kumquatproxy.configuration import fingerprints

DIGEST_BYTES = 16


class Outcome(enum.IntEnum):
    """Name how a claimed request ended, as its host knows it."""

    DONE = 1
    UNKNOWN = 2
    NOT_EXECUTED = 3  # certainly never dispatched: the key is free again


class State(enum.IntEnum):
    """Name the state of a live claim."""

    BEGUN = 1
    DONE = 2
    DONE_WITHOUT_RESULT = 3  # the result was larger than the limit
    UNKNOWN = 4


@wire.register("begin-claim")
class BeginClaim(wire.Message):
    """Claim a key for one attempt of one host; ``at`` is stamped by the leader.

    A proposal may be repeated with the same ``attempt`` after a lost answer. The host
    dispatches the request once, after an answer ``ClaimGranted``.
    """

    __slots__ = (
        "at",
        "attempt",
        "host",
        "incarnation",
        "key",
        "organisation",
        "request_digest",
        "service",
    )
    at: float
    attempt: int
    host: str
    incarnation: int
    key: str
    organisation: str
    request_digest: bytes
    service: str


@wire.register("finish-claim")
class FinishClaim(wire.Message):
    """End the claim of an attempt; ``outcome`` is a value of ``Outcome``."""

    __slots__ = (
        "at",
        "attempt",
        "body",
        "headers",
        "host",
        "incarnation",
        "key",
        "organisation",
        "outcome",
        "service",
        "status",
    )
    at: float
    attempt: int
    body: bytes
    headers: list
    host: str
    incarnation: int
    key: str
    organisation: str
    outcome: int
    service: str
    status: int


@wire.register("query-claim")
class QueryClaim(wire.Message):
    """Ask what became of a key without claiming it."""

    __slots__ = ("at", "key", "organisation", "request_digest", "service")
    at: float
    key: str
    organisation: str
    request_digest: bytes
    service: str


@wire.register("owner-lost")
class OwnerLost(wire.Message):
    """State that a host has left up to this incarnation; its claims become unknown."""

    __slots__ = ("at", "host", "incarnation")
    at: float
    host: str
    incarnation: int


@wire.register("advance-claims")
class AdvanceClaims(wire.Message):
    """Move the time of the claims forward when no other command does."""

    __slots__ = ("at",)
    at: float


@wire.register("claim-granted")
class ClaimGranted(wire.Message):
    """Allow one dispatch."""

    __slots__ = ()


@wire.register("claim-result")
class ClaimResult(wire.Message):
    """Hold the kept result of the first request with this key."""

    __slots__ = ("body", "headers", "status")
    body: bytes
    headers: list
    status: int


@wire.register("claim-refused")
class ClaimRefused(wire.Message):
    """Refuse a dispatch; ``executed`` tells about the request with this key."""

    __slots__ = ("executed", "kind")
    executed: str
    kind: str


@wire.register("claim-noted")
class ClaimNoted(wire.Message):
    """Confirm a command that needs no other answer."""

    __slots__ = ()


@wire.register("claim-absent")
class ClaimAbsent(wire.Message):
    """Answer a query for a key that nobody has claimed."""

    __slots__ = ()


def refusal(kind: errors.ErrorKind) -> ClaimRefused:
    """Return the refusal for an error kind."""
    return ClaimRefused(executed=errors.ANSWERS[kind].executed, kind=kind.value)


def fingerprint(organisation: str, service: str, key: str) -> bytes:
    """Return the 16 bytes that stand for a claim's key."""
    digest = hashlib.blake2b(digest_size=fingerprints.FINGERPRINT_BYTES)
    for part in (organisation, service, key):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


_HEAD = struct.Struct("<Bd16s")
_OWNER = struct.Struct("<QQ")


class Claim:
    """Hold one live claim unpacked; the table keeps the packed bytes.

    A claim without a result takes 25 bytes and its owner 16 and the host's name.
    """

    __slots__ = ("at", "attempt", "host", "incarnation", "request_digest", "state")

    def __init__(self, state, at, request_digest, attempt=0, incarnation=0, host=""):
        self.state: State = state
        self.at: float = at  # of its last change of state
        self.request_digest: bytes = request_digest
        self.attempt: int = attempt
        self.incarnation: int = incarnation
        self.host: str = host

    def pack(self, result: bytes = b"") -> bytes:
        """Return the packed claim; only a claim without result names its owner."""
        head = _HEAD.pack(self.state, self.at, self.request_digest)
        if self.state in (State.DONE, State.DONE_WITHOUT_RESULT):
            return head + result
        return head + _OWNER.pack(self.attempt, self.incarnation) + self.host.encode()


def unpack(data: bytes) -> Claim:
    """Return the claim of its packed form."""
    state, at, digest = _HEAD.unpack_from(data)
    if state in (State.DONE, State.DONE_WITHOUT_RESULT):
        return Claim(State(state), at, digest)
    attempt, incarnation = _OWNER.unpack_from(data, _HEAD.size)
    host = data[_HEAD.size + _OWNER.size :].decode()
    return Claim(State(state), at, digest, attempt, incarnation, host)


def time_of(data: bytes) -> float:
    """Return the time of the last change of state of a packed claim."""
    return _HEAD.unpack_from(data)[1]


def pack_result(command: FinishClaim) -> bytes:
    """Return the kept form of a result."""
    headers = [list(header) for header in command.headers]
    return cbor2.dumps([command.status, headers, command.body])


def result_of(data: bytes) -> ClaimResult:
    """Return the result in a packed claim that is done."""
    status, headers, body = cbor2.loads(data[_HEAD.size :])
    return ClaimResult(body=body, headers=headers, status=status)


def result_bytes(data: bytes) -> int:
    """Return the size of the result in a packed claim."""
    return len(data) - _HEAD.size if data[0] == State.DONE else 0
