"""Spread of configuration versions: push on a tree, pull after probes."""

import hashlib
import zlib
from collections.abc import Callable

from kumquatproxy import errors, wire
from kumquatproxy.configuration import versionmessages
from kumquatproxy.membership import membermessages

CHUNK_BYTES = 16 * 1024
MAX_CONTENT_BYTES = 16 * 1024 * 1024
MAX_CHUNKS = MAX_CONTENT_BYTES // CHUNK_BYTES
PULLED_CHUNKS = 4
"""Chunks asked for in one message; the next are asked for when these are here."""

RETRY_S = 1.0
MAX_OFFERS = 5
MAX_TRIES = 3
MAX_HOLDERS = 1000
SERVED_CHUNKS_PER_S = 40.0
SERVED_CHUNKS_BURST = 40.0
"""Above this rate pulls go unanswered and are repeated, so that many hosts that start
together do not take all bandwidth of one."""


def digest_of(content: bytes) -> bytes:
    """Return the digest by which a version is checked."""
    return hashlib.sha256(content).digest()


def short(digest: bytes) -> bytes:
    """Return the part of a digest that probes carry."""
    return digest[: membermessages.SHORT_DIGEST_BYTES]


class Version:
    """Hold one version with its compressed form."""

    __slots__ = ("content", "digest", "number", "packed", "packed_digest")

    def __init__(self, number, content, packed=None):
        self.number: int = number
        self.content: bytes = content
        self.digest: bytes = digest_of(content)
        self.packed: bytes = zlib.compress(content) if packed is None else packed
        self.packed_digest: bytes = short(digest_of(self.packed))

    def chunk_count(self) -> int:
        """Return the number of chunks of the compressed form."""
        return -(-len(self.packed) // CHUNK_BYTES)

    def chunk(self, index: int) -> bytes:
        """Return one chunk of the compressed form."""
        return self.packed[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]


class _Transfer:
    """Collect the chunks of one version; they are kept when the source changes."""

    __slots__ = ("asked", "asked_at", "chunks_by_index", "offer", "source", "tries")

    def __init__(self, offer, source):
        self.offer: versionmessages.VersionPush = offer
        self.source: str = source
        self.asked_at = 0.0
        self.asked: list[int] = []
        self.tries = 0
        self.chunks_by_index: dict[int, bytes] = {}

    def missing(self) -> list[int]:
        """Return the indices of the chunks that are not here."""
        count = self.offer.chunks
        return [index for index in range(count) if index not in self.chunks_by_index]

    def is_same(self, offer) -> bool:
        """Return whether chunks of another offer fit those of this one."""
        mine = self.offer
        return (offer.number, offer.packed) == (mine.number, mine.packed)


class _Offer:
    __slots__ = ("count", "next_at", "root")

    def __init__(self, next_at, root):
        self.next_at: float = next_at
        self.count = 0
        self.root: str = root


class Dissemination:
    """Keep the version in force and pass newer ones on."""

    def __init__(self, host_id, rng, now, version=None):
        self.host_id: str = host_id
        self.version: Version | None = version
        self._rng = rng
        self._out: list = []
        self._transfer: _Transfer | None = None
        self._offers_by_host: dict[str, _Offer] = {}
        self._holders: dict[str, int] = {}  # newest version each host reported
        self._asked_at_by_host: dict[str, float] = {}
        self._tokens = SERVED_CHUNKS_BURST
        self._tokens_at = now
        self._targets_of: Callable[[str], tuple[str, list[str]]] = _no_targets

    @property
    def is_ready(self) -> bool:
        """Return whether this host has a version at all."""
        return self.version is not None

    @property
    def number(self) -> int:
        """Return the number of the version in force; 0 before the first."""
        return self.version.number if self.version else 0

    def status(self) -> list:
        """Return number and short digest of the version, as carried by probes."""
        return [self.number, short(self.version.digest) if self.version else b""]

    def set_targets(self, targets_of) -> None:
        """Set the function from the root of a push to the root and targets to use."""
        self._targets_of = targets_of

    def publish(self, number: int, content: bytes, now: float) -> list:
        """Adopt a version of the configuration group and push it.

        Raise ProxyError if another content has this number.
        """
        known = self.version
        if known and number == known.number and digest_of(content) != known.digest:
            raise errors.ProxyError(
                errors.ErrorKind.VERSION_CONFLICT,
                f"version {number} is known with another digest",
            )
        if self._may_adopt(number):
            self._adopt(Version(number, content), self.host_id, self.host_id, now)
        return self._take()

    def observe(self, sender: str, status: list, now: float) -> list:
        """Compare the version named by a probe with the own one."""
        number, digest = membermessages.parse_version(status)
        if len(self._holders) >= MAX_HOLDERS:
            self._holders.clear()
        self._holders[sender] = number
        if number == self.number and self.version is not None:
            if digest != short(self.version.digest):
                self._refuse(number, sender, "another digest under this number")
        elif number > self.number:
            self._ask_for_offer(sender, number, now)
        return self._take()

    def receive(self, sender: str, message: wire.Message, now: float) -> list:
        """Handle one message of another host."""
        _HANDLERS[type(message)](self, sender, message, now)
        return self._take()

    def tick(self, now: float) -> list:
        """Return what is due at ``now``."""
        for host_id, offer in list(self._offers_by_host.items()):
            if now >= offer.next_at and self.version is not None:
                self._send_offer(host_id, self.version, offer, now)
        transfer = self._transfer
        if transfer is not None and now - transfer.asked_at >= RETRY_S:
            self._retry(transfer, now)
        return self._take()

    def _take(self):
        taken = self._out
        self._out = []
        return taken

    def _send(self, to, message):
        self._out.append(wire.Send(to, message))

    def _may_adopt(self, number):
        return number > self.number

    def _adopt(self, version, root, source, now):
        self.version = version
        self._transfer = None
        self._out.append(
            versionmessages.Adopted(
                version.number, version.digest, version.content, source
            )
        )
        root, targets = self._targets_of(root)
        self._offers_by_host = {
            child: _Offer(now, root)
            for child in targets
            if child != self.host_id and self._holders.get(child, 0) < version.number
        }
        for child, offer in list(self._offers_by_host.items()):
            self._send_offer(child, version, offer, now)

    def _refuse(self, number, host_id, detail):
        self._out.append(versionmessages.Refused(number, host_id, detail))

    # Offers

    def _send_offer(self, host_id, version, offer, now):
        offer.count += 1
        offer.next_at = now + RETRY_S
        if offer.count >= MAX_OFFERS:
            del self._offers_by_host[host_id]
        self._send(host_id, _offer_message(version, offer.root))

    def _ask_for_offer(self, host_id, number, now):
        transfer = self._transfer
        if transfer is not None and transfer.offer.number >= number:
            return
        if now - self._asked_at_by_host.get(host_id, -RETRY_S) < RETRY_S:
            return
        if len(self._asked_at_by_host) > 100:
            self._asked_at_by_host.clear()
        self._asked_at_by_host[host_id] = now
        pull = versionmessages.VersionPull(chunks=[], number=number, packed=b"")
        self._send(host_id, pull)

    def _on_push(self, sender, offer, now):
        self._holders[sender] = max(offer.number, self._holders.get(sender, 0))
        if not self._may_adopt(offer.number):
            self._send(sender, versionmessages.VersionHave(number=self.number))
            return
        if not 0 < offer.chunks <= MAX_CHUNKS:
            self._refuse(offer.number, sender, f"{offer.chunks} chunks")
            return
        transfer = self._transfer
        if transfer is not None and transfer.offer.number > offer.number:
            return
        if transfer is None or not transfer.is_same(offer):
            if transfer is not None and transfer.offer.number == offer.number:
                return  # of another compressed form; the transfer may yet finish
            self._transfer = transfer = _Transfer(offer, sender)
            self._pull(transfer, now)

    def _on_have(self, sender, have, now):
        self._holders[sender] = have.number
        if have.number >= self.number:
            self._offers_by_host.pop(sender, None)

    # Chunks

    def _pull(self, transfer, now):
        transfer.asked_at = now
        transfer.asked = transfer.missing()[:PULLED_CHUNKS]
        pull = versionmessages.VersionPull(
            chunks=transfer.asked,
            number=transfer.offer.number,
            packed=transfer.offer.packed,
        )
        self._send(transfer.source, pull)

    def _retry(self, transfer, now):
        transfer.tries += 1
        if transfer.tries >= MAX_TRIES:
            transfer.tries = 0
            self._change_source(transfer)
        self._pull(transfer, now)

    def _change_source(self, transfer):
        number = transfer.offer.number
        holders = [
            host_id
            for host_id, known in sorted(self._holders.items())
            if known >= number and host_id != transfer.source
        ]
        if holders:
            transfer.source = self._rng.choice(holders)

    def _on_pull(self, sender, pull, now):
        if self.version is None:
            return
        if pull.number == self.number:
            self._offers_by_host.pop(sender, None)
        if pull.packed != self.version.packed_digest:
            if self.number >= pull.number:
                self._send(sender, _offer_message(self.version, ""))
            return
        self._refill(now)
        for index in pull.chunks[:PULLED_CHUNKS]:
            if self._tokens < 1.0 or not 0 <= index < self.version.chunk_count():
                return
            self._tokens -= 1.0
            chunk = versionmessages.VersionChunk(
                data=self.version.chunk(index),
                index=index,
                number=self.number,
                packed=pull.packed,
            )
            self._send(sender, chunk)

    def _refill(self, now):
        gained = (now - self._tokens_at) * SERVED_CHUNKS_PER_S
        self._tokens = min(SERVED_CHUNKS_BURST, self._tokens + gained)
        self._tokens_at = now

    def _on_chunk(self, sender, chunk, now):
        transfer = self._transfer
        if transfer is None or not transfer.is_same(chunk):
            return
        if not 0 <= chunk.index < transfer.offer.chunks:
            return
        if len(chunk.data) > CHUNK_BYTES:
            self._refuse(chunk.number, sender, f"chunk of {len(chunk.data)} bytes")
            return
        transfer.chunks_by_index[chunk.index] = chunk.data
        transfer.tries = 0
        if not transfer.missing():
            self._finish(transfer, now)
        elif all(index in transfer.chunks_by_index for index in transfer.asked):
            self._pull(transfer, now)

    def _finish(self, transfer, now):
        offer = transfer.offer
        self._transfer = None
        packed = b"".join(
            transfer.chunks_by_index[index] for index in range(offer.chunks)
        )
        content = _unpack(packed)
        if content is None or not self._matches(content, offer):
            self._holders.pop(transfer.source, None)
            self._refuse(offer.number, transfer.source, "the digest does not match")
            return
        version = Version(offer.number, content, packed)
        if self._may_adopt(version.number):
            root = offer.root or self.host_id
            self._adopt(version, root, transfer.source, now)
            self._send(transfer.source, versionmessages.VersionHave(number=self.number))

    def _matches(self, content, offer):
        return digest_of(content) == offer.digest


def _unpack(packed):
    """Return the content of a compressed form, or None if it is malformed."""
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAX_CONTENT_BYTES)
    except zlib.error:
        return None
    return content if unpacker.eof and not unpacker.unused_data else None


def _offer_message(version, root):
    return versionmessages.VersionPush(
        chunks=version.chunk_count(),
        digest=version.digest,
        number=version.number,
        packed=version.packed_digest,
        root=root,
    )


def _no_targets(root):
    return root, []


_HANDLERS = {
    versionmessages.VersionPush: Dissemination._on_push,
    versionmessages.VersionPull: Dissemination._on_pull,
    versionmessages.VersionChunk: Dissemination._on_chunk,
    versionmessages.VersionHave: Dissemination._on_have,
}
