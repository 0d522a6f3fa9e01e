"""A compact set of 16-byte fingerprints that expire after a retention period."""

import array
import bisect

FINGERPRINT_BYTES = 16
# Each 4-byte offset of the index covers about this many 16-byte fingerprints.
FINGERPRINTS_PER_BUCKET = 16


class SealedSpan:
    """The sorted fingerprints of one time span, with an index by prefix."""

    __slots__ = ("_blob", "_offsets", "_shift", "ends_at")

    def __init__(self, blob: bytes, ends_at: float):
        self.ends_at = ends_at  # no fingerprint was added after this time
        self._blob = blob
        bits = max(0, (len(self) // FINGERPRINTS_PER_BUCKET).bit_length() - 1)
        self._shift = 64 - bits
        self._offsets = array.array("I", [0]) * ((1 << bits) + 1)
        for start in range(0, len(blob), FINGERPRINT_BYTES):
            bucket = self._bucket(blob[start : start + FINGERPRINT_BYTES])
            self._offsets[bucket + 1] = start + FINGERPRINT_BYTES
        for bucket in range(1, len(self._offsets)):
            previous = self._offsets[bucket - 1]
            self._offsets[bucket] = max(previous, self._offsets[bucket])

    def __len__(self):
        return len(self._blob) // FINGERPRINT_BYTES

    def __contains__(self, fingerprint):
        bucket = self._bucket(fingerprint)
        start, end = self._offsets[bucket], self._offsets[bucket + 1]
        found = self._blob.find(fingerprint, start, end)
        while found >= 0 and found % FINGERPRINT_BYTES:
            found = self._blob.find(fingerprint, found + 1, end)
        return found >= 0

    def blob(self) -> bytes:
        """Return the sorted fingerprints, concatenated without separators."""
        return self._blob

    def _bucket(self, fingerprint):
        return int.from_bytes(fingerprint[:8], "big") >> self._shift


class Fingerprints:
    """Keep each fingerprint for ``retention_s`` to ``retention_s + span_s`` seconds.

    Fingerprints are dropped one time span at a time, not individually.
    """

    __slots__ = ("_recent", "_recent_ends_at", "_retention_s", "_sealed", "_span_s")

    def __init__(self, retention_s: float, span_s: float):
        self._retention_s = retention_s
        self._span_s = span_s
        self._recent: set[bytes] = set()
        self._recent_ends_at = 0.0
        self._sealed: list[SealedSpan] = []

    def __len__(self):
        return len(self._recent) + sum(len(span) for span in self._sealed)

    def __contains__(self, fingerprint):
        if fingerprint in self._recent:
            return True
        return any(fingerprint in span for span in self._sealed)

    def add(self, fingerprint: bytes, now: float) -> None:
        """Add a fingerprint; ``now`` must not decrease between calls."""
        self.advance(now)
        if not self._recent:
            self._recent_ends_at = now + self._span_s
        self._recent.add(fingerprint)

    def advance(self, now: float) -> None:
        """Seal the current span if it has ended, and drop expired spans."""
        if self._recent and now >= self._recent_ends_at:
            blob = b"".join(sorted(self._recent))
            self._sealed.append(SealedSpan(blob, self._recent_ends_at))
            self._recent = set()
        first_kept = bisect.bisect_right(
            self._sealed, now - self._retention_s, key=lambda span: span.ends_at
        )
        if first_kept:
            del self._sealed[:first_kept]

    def to_plain(self) -> list:
        """Return the content as lists and bytes that CBOR can encode."""
        spans = [[span.ends_at, span.blob()] for span in self._sealed]
        recent = b"".join(sorted(self._recent))
        return [spans, self._recent_ends_at, recent]

    def restore(self, plain: list) -> None:
        """Replace the content by that of a value returned by ``to_plain``."""
        spans, self._recent_ends_at, recent = plain
        self._sealed = [SealedSpan(blob, ends_at) for ends_at, blob in spans]
        self._recent = {
            recent[start : start + FINGERPRINT_BYTES]
            for start in range(0, len(recent), FINGERPRINT_BYTES)
        }
