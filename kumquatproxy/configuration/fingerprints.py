"""Compact set of 16-byte fingerprints that are kept for a fixed time."""

import array
import bisect

FINGERPRINT_BYTES = 16
# One offset of 4 bytes serves about this many fingerprints of 16 bytes.
PER_BUCKET = 16


class Generation:
    """Hold the fingerprints of one time span, sorted, with an index by prefix."""

    __slots__ = ("_blob", "_offsets", "_shift", "ends_at")

    def __init__(self, blob: bytes, ends_at: float):
        self.ends_at = ends_at  # no fingerprint was added after this time
        self._blob = blob
        bits = max(0, (len(self) // PER_BUCKET).bit_length() - 1)
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
        """Return all fingerprints, sorted, without separators."""
        return self._blob

    def _bucket(self, fingerprint):
        return int.from_bytes(fingerprint[:8], "big") >> self._shift


class Fingerprints:
    """Keep fingerprints at least ``keep_s``, at most one ``span_s`` longer."""

    __slots__ = ("_keep_s", "_recent", "_recent_ends_at", "_sealed", "_span_s")

    def __init__(self, keep_s: float, span_s: float):
        self._keep_s = keep_s
        self._span_s = span_s
        self._recent: set[bytes] = set()
        self._recent_ends_at = 0.0
        self._sealed: list[Generation] = []

    def __len__(self):
        return len(self._recent) + sum(len(sealed) for sealed in self._sealed)

    def __contains__(self, fingerprint):
        if fingerprint in self._recent:
            return True
        return any(fingerprint in sealed for sealed in self._sealed)

    def add(self, fingerprint: bytes, now: float) -> None:
        """Keep a fingerprint; ``now`` must not run backwards."""
        self.advance(now)
        if not self._recent:
            self._recent_ends_at = now + self._span_s
        self._recent.add(fingerprint)

    def advance(self, now: float) -> None:
        """Seal the present span if it is over and drop spans kept long enough."""
        if self._recent and now >= self._recent_ends_at:
            blob = b"".join(sorted(self._recent))
            self._sealed.append(Generation(blob, self._recent_ends_at))
            self._recent = set()
        kept_from = bisect.bisect_right(
            self._sealed, now - self._keep_s, key=lambda sealed: sealed.ends_at
        )
        if kept_from:
            del self._sealed[:kept_from]

    def to_plain(self) -> list:
        """Return the content as CBOR can carry it."""
        spans = [[sealed.ends_at, sealed.blob()] for sealed in self._sealed]
        recent = b"".join(sorted(self._recent))
        return [spans, self._recent_ends_at, recent]

    def restore(self, plain: list) -> None:
        """Replace the content by what ``to_plain`` returned."""
        spans, self._recent_ends_at, recent = plain
        self._sealed = [Generation(blob, ends_at) for ends_at, blob in spans]
        self._recent = {
            recent[start : start + FINGERPRINT_BYTES]
            for start in range(0, len(recent), FINGERPRINT_BYTES)
        }
