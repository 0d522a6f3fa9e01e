"""Commands and answers for idempotency-key claims, and the packed form of a claim.

A claim gives one host the right to execute a request at most once. Its key is the
caller's ``Idempotency-Key``.
"""

import enum
import hashlib
import struct

import cbor2

from kumquatproxy import errors, wire
from kumquatproxy.configuration import fingerprints

DIGEST_BYTES = 16


class Outcome(enum.IntEnum):
    """How a claimed request ended, as far as the host that dispatched it knows."""

    DONE = 1
    UNKNOWN = 2
    NOT_EXECUTED = 3  # the request was not executed, so the key is released


class State(enum.IntEnum):
    """The state of a claim that has not expired."""

    IN_PROGRESS = 1
    DONE = 2
    DONE_WITHOUT_RESULT = 3  # the result was too large, or there was no space
    UNKNOWN = 4


@wire.register("begin-claim")
class BeginClaim(wire.Message):
    """Claim a key for one attempt of one host; the leader sets ``at``.

    If the answer is lost, the host proposes the command again with the same
    ``attempt``. It dispatches the request once, after it has received ``ClaimGranted``.
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
    """Record the outcome of an attempt; ``outcome`` is a value of ``Outcome``."""

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
    """Look up the state of a key without claiming it."""

    __slots__ = ("at", "key", "organisation", "request_digest", "service")
    at: float
    key: str
    organisation: str
    request_digest: bytes
    service: str


@wire.register("owner-lost")
class OwnerLost(wire.Message):
    """Declare this and all earlier incarnations of a host lost.

    Their claims in progress get the state ``UNKNOWN``.
    """

    __slots__ = ("at", "host", "incarnation")
    at: float
    host: str
    incarnation: int


@wire.register("advance-claims")
class AdvanceClaims(wire.Message):
    """Advance the time of the claim table when no other command does."""

    __slots__ = ("at",)
    at: float


@wire.register("claim-granted")
class ClaimGranted(wire.Message):
    """Allow the host to dispatch the request once."""

    __slots__ = ()


@wire.register("claim-result")
class ClaimResult(wire.Message):
    """Return the stored result of the first request with this key."""

    __slots__ = ("body", "headers", "status")
    body: bytes
    headers: list
    status: int


@wire.register("claim-refused")
class ClaimRefused(wire.Message):
    """Refuse a claim, or tell why a query has no result.

    ``executed`` says whether any attempt of the refused request may have been executed:
    "no" or "unknown".
    """

    __slots__ = ("executed", "kind")
    executed: str
    kind: str


@wire.register("claim-noted")
class ClaimNoted(wire.Message):
    """Confirm a command that has no other answer."""

    __slots__ = ()


@wire.register("claim-absent")
class ClaimAbsent(wire.Message):
    """Answer a query for a key that is not claimed."""

    __slots__ = ()


def refusal(kind: errors.ErrorKind) -> ClaimRefused:
    """Return the refusal for an error kind, with its default ``executed``."""
    return ClaimRefused(executed=errors.ANSWERS[kind].executed, kind=kind.value)


def fingerprint(organisation: str, service: str, key: str) -> bytes:
    """Return the 16-byte digest of a key, its organisation and its service."""
    digest = hashlib.blake2b(digest_size=fingerprints.FINGERPRINT_BYTES)
    for part in (organisation, service, key):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


_HEADER = struct.Struct("<Bd16s")
_ATTEMPT = struct.Struct("<QQ")


class Claim:
    """One claim that has not expired, unpacked; the table stores the packed bytes.

    Packed, a claim takes 25 bytes, plus its result or the identity of its attempt
    (16 bytes and the host's name).
    """

    __slots__ = (
        "attempt",
        "changed_at",
        "host",
        "incarnation",
        "request_digest",
        "state",
    )

    def __init__(
        self, state, changed_at, request_digest, attempt=0, incarnation=0, host=""
    ):
        self.state: State = state
        # Time of the last state change; a change from UNKNOWN to DONE keeps it.
        self.changed_at: float = changed_at
        self.request_digest: bytes = request_digest
        self.attempt: int = attempt
        self.incarnation: int = incarnation
        self.host: str = host

    def pack(self, result: bytes = b"") -> bytes:
        """Return the packed claim; the attempt is included until the claim is done."""
        header = _HEADER.pack(self.state, self.changed_at, self.request_digest)
        if self.state in (State.DONE, State.DONE_WITHOUT_RESULT):
            return header + result
        return (
            header + _ATTEMPT.pack(self.attempt, self.incarnation) + self.host.encode()
        )


def unpack(data: bytes) -> Claim:
    """Return the claim from its packed form, without the result."""
    state, changed_at, digest = _HEADER.unpack_from(data)
    if state in (State.DONE, State.DONE_WITHOUT_RESULT):
        return Claim(State(state), changed_at, digest)
    attempt, incarnation = _ATTEMPT.unpack_from(data, _HEADER.size)
    host = data[_HEADER.size + _ATTEMPT.size :].decode()
    return Claim(State(state), changed_at, digest, attempt, incarnation, host)


def changed_at_of(data: bytes) -> float:
    """Return the time of the last state change of a packed claim."""
    return _HEADER.unpack_from(data)[1]


def pack_result(command: FinishClaim) -> bytes:
    """Return the packed form of a result."""
    headers = [list(header) for header in command.headers]
    return cbor2.dumps([command.status, headers, command.body])


def unpack_result(data: bytes) -> ClaimResult:
    """Return the result from a packed claim in state ``DONE``."""
    status, headers, body = cbor2.loads(data[_HEADER.size :])
    return ClaimResult(body=body, headers=headers, status=status)


def result_size_of(data: bytes) -> int:
    """Return the size of the result in a packed claim, or 0 without one."""
    return len(data) - _HEADER.size if data[0] == State.DONE else 0
