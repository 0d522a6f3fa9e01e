"""Estimated content of the prefix cache of one backend server."""

import collections

# Digests per backend server, evicted least recently used first. 256 digests for each of
# 120 servers, a data centre of the design size, take 4.3 MB.
MAX_DIGESTS = 256
GAP_CONFIDENCE_FACTOR = 0.5  # applied for a gap in the sequence of cache events
MIN_CONFIDENCE = 0.05
# Share of the missing confidence that each event in sequence restores.
CONFIDENCE_RECOVERY_SHARE = 0.02
OBSERVATION_WEIGHT = 0.2


class PrefixCacheView:
    """Digests that a backend server has probably cached, and the confidence in them."""

    __slots__ = ("_digests", "_next_sequence", "confidence")

    def __init__(self):
        self._digests: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._next_sequence: int | None = None
        self.confidence: float = 1.0

    def apply_event(self, sequence: int, stored=(), evicted=()) -> bool:
        """Apply a cache event; return whether events before it were lost.

        An event that arrives out of order is dropped, since it may contradict a
        newer one.
        """
        expected_sequence = self._next_sequence
        if expected_sequence is not None and sequence < expected_sequence:
            return False
        has_gap = expected_sequence is not None and sequence > expected_sequence
        self._next_sequence = sequence + 1
        if has_gap:
            self.confidence = max(
                self.confidence * GAP_CONFIDENCE_FACTOR, MIN_CONFIDENCE
            )
        else:
            self.confidence += CONFIDENCE_RECOVERY_SHARE * (1.0 - self.confidence)
        for digest in evicted:
            self._digests.pop(digest, None)
        self.add(stored)
        return has_gap

    def add(self, digests) -> None:
        """Mark digests as most recently used at the backend server."""
        for digest in digests:
            self._digests[digest] = None
            self._digests.move_to_end(digest)
        while len(self._digests) > MAX_DIGESTS:
            self._digests.popitem(last=False)

    def cached_prefix_length(self, digests) -> int:
        """Return the number of leading digests that are probably cached."""
        count = 0
        for digest in digests:
            if digest not in self._digests:
                break
            count += 1
        return count

    def cached_share(self, digests) -> float:
        """Return the expected cached share of the prompt, 0 to 1."""
        if not digests or not self._digests:
            return 0.0
        return self.confidence * self.cached_prefix_length(digests) / len(digests)

    def observe(self, expected_share: float, actual_share: float) -> None:
        """Adjust the confidence to the cached share that an answer reported."""
        if expected_share <= 0.0:
            return
        ratio = min(actual_share / expected_share, 1.0)
        target = max(ratio, MIN_CONFIDENCE)
        self.confidence += OBSERVATION_WEIGHT * (target - self.confidence)
