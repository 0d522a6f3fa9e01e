"""Distribution of configuration versions to all hosts.

A new version is offered along a tree of hosts, and each host requests its chunks from
the host that offered it. A host that learns of a newer version from a membership probe
asks the sender of the probe for an offer.
"""

import hashlib
import zlib
from collections.abc import Callable

from kumquatproxy import errors, wire
from kumquatproxy.configuration import versionmessages
from kumquatproxy.membership import membermessages

CHUNK_BYTES = 16 * 1024
MAX_CONTENT_BYTES = 16 * 1024 * 1024
MAX_CHUNKS = MAX_CONTENT_BYTES // CHUNK_BYTES
CHUNKS_PER_PULL = 4
"""Chunks requested per message; the next are requested once these have arrived."""

RETRY_INTERVAL_S = 1.0
MAX_OFFERS_PER_HOST = 5
MAX_ATTEMPTS_PER_SOURCE = 3
MAX_KNOWN_HOSTS = 1000
SERVED_CHUNKS_PER_S = 40.0
SERVED_CHUNKS_BURST = 40.0
"""A host sends this many chunks per second on average, and this many at once. Pulls
beyond these limits are not answered; the requesting host retries them. Many hosts that
start at once thus do not use up the bandwidth of one host."""


def digest_of(content: bytes) -> bytes:
    """Return the SHA-256 digest that identifies the content of a version."""
    return hashlib.sha256(content).digest()


def short_digest(digest: bytes) -> bytes:
    """Return the prefix of a digest that probes carry."""
    return digest[: membermessages.SHORT_DIGEST_BYTES]


class Version:
    """A version of the configuration and its compressed content."""

    __slots__ = ("compressed", "compressed_digest", "content", "digest", "number")

    def __init__(self, number, content, compressed=None):
        self.number: int = number
        self.content: bytes = content
        self.digest: bytes = digest_of(content)
        self.compressed: bytes = (
            zlib.compress(content) if compressed is None else compressed
        )
        self.compressed_digest: bytes = short_digest(digest_of(self.compressed))

    def chunk_count(self) -> int:
        """Return the number of chunks of the compressed content."""
        return -(-len(self.compressed) // CHUNK_BYTES)

    def chunk(self, index: int) -> bytes:
        """Return one chunk of the compressed content."""
        return self.compressed[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]


class _Transfer:
    """The chunks received of one version; they are kept when the source changes."""

    __slots__ = (
        "attempts",
        "chunks_by_index",
        "offer",
        "requested",
        "requested_at",
        "source",
    )

    def __init__(self, offer, source):
        self.offer: versionmessages.VersionPush = offer
        self.source: str = source
        self.requested_at = 0.0
        self.requested: list[int] = []
        self.attempts = 0
        self.chunks_by_index: dict[int, bytes] = {}

    def missing(self) -> list[int]:
        """Return the indices of the chunks not received yet."""
        count = self.offer.chunks
        return [index for index in range(count) if index not in self.chunks_by_index]

    def is_same(self, offer) -> bool:
        """Return whether an offer or a chunk is of the same compressed content."""
        own = self.offer
        return (offer.number, offer.packed) == (own.number, own.packed)


class _Offer:
    """An offer that is repeated until the host confirms it or the limit is reached."""

    __slots__ = ("next_at", "root", "sent_count")

    def __init__(self, next_at, root):
        self.next_at: float = next_at
        self.sent_count = 0
        self.root: str = root


class Dissemination:
    """Hold the version in force, fetch newer ones and offer them to other hosts."""

    def __init__(self, host_id, rng, now, version=None):
        self.host_id: str = host_id
        self.version: Version | None = version
        self._rng = rng
        self._outputs: list = []
        self._transfer: _Transfer | None = None
        self._offers_by_host: dict[str, _Offer] = {}
        self._number_by_host: dict[str, int] = {}  # newest version known per host
        self._requested_at_by_host: dict[str, float] = {}
        self._servable_chunks = SERVED_CHUNKS_BURST
        self._servable_updated_at = now
        self._targets_of: Callable[[str], tuple[str, list[str]]] = _no_targets

    @property
    def is_ready(self) -> bool:
        """Return whether this host has any version."""
        return self.version is not None

    @property
    def number(self) -> int:
        """Return the number of the version in force; 0 before the first."""
        return self.version.number if self.version else 0

    def status(self) -> list:
        """Return the number and short digest of the version, as carried by probes."""
        return [self.number, short_digest(self.version.digest) if self.version else b""]

    def set_offer_targets(self, targets_of) -> None:
        """Set the function that decides to which hosts an adopted version is offered.

        It takes the root of the tree along which the version was offered to this host,
        or this host if there is none. It returns the root to name in the offers of this
        host and the hosts to send them to.
        """
        self._targets_of = targets_of

    def publish(self, number: int, content: bytes, now: float) -> list:
        """Adopt a version committed by the configuration group and offer it.

        Raise ProxyError if the version in force has this number and another digest.
        """
        own = self.version
        if own and number == own.number and digest_of(content) != own.digest:
            raise errors.ProxyError(
                errors.ErrorKind.VERSION_CONFLICT,
                f"version {number} is already in force with another digest",
            )
        if self._may_adopt(number):
            self._adopt(Version(number, content), self.host_id, self.host_id, now)
        return self._take_outputs()

    def observe(self, sender: str, status: list, now: float) -> list:
        """Compare the version in a probe with that of this host."""
        number, digest = membermessages.parse_version(status)
        if len(self._number_by_host) >= MAX_KNOWN_HOSTS:
            self._number_by_host.clear()
        self._number_by_host[sender] = number
        if number == self.number and self.version is not None:
            if digest != short_digest(self.version.digest):
                self._refuse(
                    number, sender, "another digest for the same version number"
                )
        elif number > self.number:
            self._request_offer(sender, number, now)
        return self._take_outputs()

    def receive(self, sender: str, message: wire.Message, now: float) -> list:
        """Handle one message of another host."""
        _HANDLERS[type(message)](self, sender, message, now)
        return self._take_outputs()

    def tick(self, now: float) -> list:
        """Return the offers and retries that are due at ``now``."""
        for host_id, offer in list(self._offers_by_host.items()):
            if now >= offer.next_at and self.version is not None:
                self._send_offer(host_id, self.version, offer, now)
        transfer = self._transfer
        if transfer is not None and now - transfer.requested_at >= RETRY_INTERVAL_S:
            self._retry(transfer, now)
        return self._take_outputs()

    def _take_outputs(self):
        outputs = self._outputs
        self._outputs = []
        return outputs

    def _send(self, to, message):
        self._outputs.append(wire.Send(to, message))

    def _may_adopt(self, number):
        return number > self.number

    def _adopt(self, version, received_root, source, now):
        self.version = version
        self._transfer = None
        self._outputs.append(
            versionmessages.Adopted(
                version.number, version.digest, version.content, source
            )
        )
        root, targets = self._targets_of(received_root)
        self._offers_by_host = {
            child: _Offer(now, root)
            for child in targets
            if child != self.host_id
            and self._number_by_host.get(child, 0) < version.number
        }
        for child, offer in list(self._offers_by_host.items()):
            self._send_offer(child, version, offer, now)

    def _refuse(self, number, host_id, detail):
        self._outputs.append(versionmessages.Refused(number, host_id, detail))

    # Offers

    def _send_offer(self, host_id, version, offer, now):
        offer.sent_count += 1
        offer.next_at = now + RETRY_INTERVAL_S
        if offer.sent_count >= MAX_OFFERS_PER_HOST:
            del self._offers_by_host[host_id]
        self._send(host_id, _offer_message(version, offer.root))

    def _request_offer(self, host_id, number, now):
        transfer = self._transfer
        if transfer is not None and transfer.offer.number >= number:
            return
        if (
            now - self._requested_at_by_host.get(host_id, -RETRY_INTERVAL_S)
            < RETRY_INTERVAL_S
        ):
            return
        if len(self._requested_at_by_host) > 100:
            self._requested_at_by_host.clear()
        self._requested_at_by_host[host_id] = now
        pull = versionmessages.VersionPull(chunks=[], number=number, packed=b"")
        self._send(host_id, pull)

    def _on_offer(self, sender, offer, now):
        self._number_by_host[sender] = max(
            offer.number, self._number_by_host.get(sender, 0)
        )
        if not self._may_adopt(offer.number):
            self._send(sender, versionmessages.VersionHave(number=self.number))
            return
        if not 0 < offer.chunks <= MAX_CHUNKS:
            self._refuse(offer.number, sender, f"offer of {offer.chunks} chunks")
            return
        transfer = self._transfer
        if transfer is not None and transfer.offer.number > offer.number:
            return
        if transfer is None or not transfer.is_same(offer):
            if transfer is not None and transfer.offer.number == offer.number:
                return  # compressed differently; the current transfer may still finish
            self._transfer = transfer = _Transfer(offer, sender)
            self._pull(transfer, now)

    def _on_have(self, sender, have, now):
        self._number_by_host[sender] = have.number
        if have.number >= self.number:
            self._offers_by_host.pop(sender, None)

    # Chunks

    def _pull(self, transfer, now):
        transfer.requested_at = now
        transfer.requested = transfer.missing()[:CHUNKS_PER_PULL]
        pull = versionmessages.VersionPull(
            chunks=transfer.requested,
            number=transfer.offer.number,
            packed=transfer.offer.packed,
        )
        self._send(transfer.source, pull)

    def _retry(self, transfer, now):
        transfer.attempts += 1
        if transfer.attempts >= MAX_ATTEMPTS_PER_SOURCE:
            transfer.attempts = 0
            self._change_source(transfer)
        self._pull(transfer, now)

    def _change_source(self, transfer):
        number = transfer.offer.number
        holders = [
            host_id
            for host_id, known_number in sorted(self._number_by_host.items())
            if known_number >= number and host_id != transfer.source
        ]
        if holders:
            transfer.source = self._rng.choice(holders)

    def _on_pull(self, sender, pull, now):
        if self.version is None:
            return
        if pull.number == self.number:
            self._offers_by_host.pop(sender, None)
        if pull.packed != self.version.compressed_digest:
            if self.number >= pull.number:
                self._send(sender, _offer_message(self.version, ""))
            return
        self._update_servable_chunks(now)
        for index in pull.chunks[:CHUNKS_PER_PULL]:
            if (
                self._servable_chunks < 1.0
                or not 0 <= index < self.version.chunk_count()
            ):
                return
            self._servable_chunks -= 1.0
            chunk = versionmessages.VersionChunk(
                data=self.version.chunk(index),
                index=index,
                number=self.number,
                packed=pull.packed,
            )
            self._send(sender, chunk)

    def _update_servable_chunks(self, now):
        new_chunks = (now - self._servable_updated_at) * SERVED_CHUNKS_PER_S
        self._servable_chunks = min(
            SERVED_CHUNKS_BURST, self._servable_chunks + new_chunks
        )
        self._servable_updated_at = now

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
        transfer.attempts = 0
        if not transfer.missing():
            self._finish(transfer, now)
        elif all(index in transfer.chunks_by_index for index in transfer.requested):
            self._pull(transfer, now)

    def _finish(self, transfer, now):
        offer = transfer.offer
        self._transfer = None
        compressed = b"".join(
            transfer.chunks_by_index[index] for index in range(offer.chunks)
        )
        content = _decompress(compressed)
        if content is None or not self._has_offered_digest(content, offer):
            self._number_by_host.pop(transfer.source, None)
            self._refuse(
                offer.number,
                transfer.source,
                "the content is malformed or does not have the offered digest",
            )
            return
        version = Version(offer.number, content, compressed)
        if self._may_adopt(version.number):
            received_root = offer.root or self.host_id
            self._adopt(version, received_root, transfer.source, now)
            self._send(transfer.source, versionmessages.VersionHave(number=self.number))

    def _has_offered_digest(self, content, offer):
        return digest_of(content) == offer.digest


def _decompress(compressed):
    """Return the content, or None if it is malformed or over the limit."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_CONTENT_BYTES)
    except zlib.error:
        return None
    return content if decompressor.eof and not decompressor.unused_data else None


def _offer_message(version, root):
    return versionmessages.VersionPush(
        chunks=version.chunk_count(),
        digest=version.digest,
        number=version.number,
        packed=version.compressed_digest,
        root=root,
    )


def _no_targets(received_root):
    return received_root, []


_HANDLERS = {
    versionmessages.VersionPush: Dissemination._on_offer,
    versionmessages.VersionPull: Dissemination._on_pull,
    versionmessages.VersionChunk: Dissemination._on_chunk,
    versionmessages.VersionHave: Dissemination._on_have,
}
