"""Mutual authentication of two hosts on a new link with a pre-shared key.

The dialling host sends Hello, the accepting host replies with HelloAnswer, and the
dialling host ends the handshake with HelloProof. Each side proves that it knows the key
by an HMAC over both nonces, so a recorded handshake cannot be replayed on another link.

Texts of refusals are sent to the other host.
"""

import collections
import fnmatch
import hashlib
import hmac

from kumquatproxy import errors, wire

NONCE_BYTES = 16
MAX_HELLO_BYTES = 1024
MAX_ID_LENGTH = 100
MAX_REMEMBERED_NONCES = 10_000


class Identity:
    """Hold the identity of this host and the rules for accepting other hosts."""

    __slots__ = ("data_centre", "data_centres", "host_id", "host_patterns", "key")

    def __init__(self, host_id, data_centre, key, data_centres, host_patterns=("*",)):
        self.host_id: str = host_id
        self.data_centre: str = data_centre
        self.key: bytes = key
        self.data_centres: frozenset[str] = frozenset(data_centres)
        self.host_patterns: tuple[str, ...] = tuple(host_patterns)

    def check(self, host_id: str, data_centre: str, protocol: int) -> None:
        """Raise ProxyError unless a host with these values may open a link."""
        if protocol != wire.PROTOCOL_VERSION:
            raise _refused_error(
                f"protocol version {protocol!r:.20} is not spoken here"
            )
        if not isinstance(host_id, str) or not 0 < len(host_id) <= MAX_ID_LENGTH:
            raise _refused_error("the host id is not a text of usual length")
        is_known = any(
            fnmatch.fnmatch(host_id, pattern) for pattern in self.host_patterns
        )
        if not is_known or host_id == self.host_id:
            raise _refused_error(f"host {host_id!r} is unknown here")
        if data_centre not in self.data_centres:
            raise _refused_error(f"data centre {data_centre!r:.50} is unknown here")


@wire.register("hello")
class Hello(wire.Message):
    """Identify the dialling host."""

    __slots__ = ("data_centre", "host_id", "nonce", "protocol")
    data_centre: str
    host_id: str
    nonce: bytes
    protocol: int


@wire.register("hello-answer")
class HelloAnswer(wire.Message):
    """Identify the accepting host and prove that it knows the key."""

    __slots__ = ("data_centre", "host_id", "mac", "nonce", "protocol")
    data_centre: str
    host_id: str
    mac: bytes
    nonce: bytes
    protocol: int


@wire.register("hello-proof")
class HelloProof(wire.Message):
    """Prove that the dialling host knows the key."""

    __slots__ = ("mac",)
    mac: bytes


@wire.register("hello-refused")
class HelloRefused(wire.Message):
    """Tell the other host why the link is refused."""

    __slots__ = ("code", "detail")
    code: str
    detail: str


class NonceCache:
    """Bounded set of the nonces of recent hellos.

    With it a replayed hello is refused before its proof is awaited.
    """

    __slots__ = ("_nonces",)

    def __init__(self):
        self._nonces: collections.OrderedDict[bytes, None] = collections.OrderedDict()

    def add_if_new(self, nonce: bytes) -> bool:
        """Add a nonce and return whether it was new."""
        if nonce in self._nonces:
            return False
        self._nonces[nonce] = None
        if len(self._nonces) > MAX_REMEMBERED_NONCES:
            self._nonces.popitem(last=False)
        return True


class Initiator:
    """Dialling side of the handshake; success sets ``peer_id``."""

    def __init__(self, identity, expected_id, nonce):
        self.peer_id = ""
        self.peer_data_centre = ""
        self._identity: Identity = identity
        self._expected_id: str = expected_id
        self._nonce: bytes = nonce

    def make_hello(self) -> Hello:
        """Return the first message of the handshake."""
        return Hello(
            data_centre=self._identity.data_centre,
            host_id=self._identity.host_id,
            nonce=self._nonce,
            protocol=wire.PROTOCOL_VERSION,
        )

    def receive(self, message: wire.Message) -> HelloProof:
        """Return the proof for a HelloAnswer.

        Raise ProxyError if either side refuses the other.
        """
        if isinstance(message, HelloRefused):
            raise _refused_error(f"the other host refused: {message.detail!r:.200}")
        if not isinstance(message, HelloAnswer):
            raise _refused_error(f"message {message.tag!r} in place of an answer")
        self._identity.check(message.host_id, message.data_centre, message.protocol)
        if message.host_id != self._expected_id:
            raise _refused_error(
                f"host {message.host_id!r} answers in place of {self._expected_id!r}"
            )
        _check_nonce(message.nonce)
        names = _host_names(self._identity, message.host_id, message.data_centre)
        _check_mac(
            self._identity, b"accepting", self._nonce, message.nonce, names, message.mac
        )
        self.peer_id = message.host_id
        self.peer_data_centre = message.data_centre
        mac = _mac(self._identity, b"dialling", self._nonce, message.nonce, names)
        return HelloProof(mac=mac)


class Responder:
    """Accepting side of the handshake; success sets ``peer_id``."""

    def __init__(self, identity, nonce, nonce_cache):
        self.peer_id = ""
        self.peer_data_centre = ""
        self._identity: Identity = identity
        self._nonce: bytes = nonce
        self._nonce_cache: NonceCache = nonce_cache
        self._hello: Hello | None = None

    def receive(self, message: wire.Message) -> HelloAnswer | None:
        """Return the answer to a Hello, or None for a valid proof.

        Raise ProxyError if this side refuses the other host.
        """
        if self._hello is None:
            return self._answer(message)
        if not isinstance(message, HelloProof):
            raise _refused_error(f"message {message.tag!r} in place of a proof")
        hello = self._hello
        names = _host_names(self._identity, hello.host_id, hello.data_centre)
        _check_mac(
            self._identity, b"dialling", hello.nonce, self._nonce, names, message.mac
        )
        self.peer_id = hello.host_id
        self.peer_data_centre = hello.data_centre
        return None

    def _answer(self, hello):
        if not isinstance(hello, Hello):
            raise _refused_error(f"message {hello.tag!r} in place of a hello")
        self._identity.check(hello.host_id, hello.data_centre, hello.protocol)
        _check_nonce(hello.nonce)
        if not self._nonce_cache.add_if_new(hello.nonce):
            raise _refused_error(f"the hello of {hello.host_id!r} is a replay")
        self._hello = hello
        names = _host_names(self._identity, hello.host_id, hello.data_centre)
        return HelloAnswer(
            data_centre=self._identity.data_centre,
            host_id=self._identity.host_id,
            mac=_mac(self._identity, b"accepting", hello.nonce, self._nonce, names),
            nonce=self._nonce,
            protocol=wire.PROTOCOL_VERSION,
        )


def _host_names(identity, peer_id, peer_data_centre):
    """Return both hosts with their data centres, in the same order on both sides."""
    own = f"{identity.host_id}\0{identity.data_centre}"
    return sorted([own, f"{peer_id}\0{peer_data_centre}"])


def _mac(identity, role, dialling_nonce, accepting_nonce, names):
    parts = [role, dialling_nonce, accepting_nonce, *(name.encode() for name in names)]
    length_prefixed = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.new(identity.key, length_prefixed, hashlib.sha256).digest()


def _check_mac(identity, role, dialling_nonce, accepting_nonce, names, mac):
    expected = _mac(identity, role, dialling_nonce, accepting_nonce, names)
    if not isinstance(mac, bytes) or not hmac.compare_digest(mac, expected):
        raise _refused_error("the proof of the shared key is wrong")


def _check_nonce(nonce):
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
        raise _refused_error(f"a nonce must have {NONCE_BYTES} bytes")


def _refused_error(detail):
    return errors.ProxyError(errors.ErrorKind.PEER_REFUSED, detail)
