"""What the router knows of the prefix cache of one backend server."""

import collections

# 256 digests of 120 servers, a data centre at the design size, take 4.3 MB.
MAX_DIGESTS = 256  # per backend server; the oldest are forgotten first
GAP_FACTOR = 0.5  # confidence that one gap in the cache events leaves
MIN_CONFIDENCE = 0.05
RECOVERY = 0.02  # share of the missing confidence that each event in order returns
OBSERVED_WEIGHT = 0.2


class PrefixKnowledge:
    """Keep the digests that a backend server is believed to have cached."""

    __slots__ = ("_digests", "_next_sequence", "confidence")

    def __init__(self):
        self._digests: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._next_sequence: int | None = None
        self.confidence: float = 1.0

    def event(self, sequence: int, stored=(), evicted=()) -> bool:
        """Apply one cache event; return whether it showed a gap.

        An event older than the last one is dropped, since it may contradict a
        newer one.
        """
        expected = self._next_sequence
        if expected is not None and sequence < expected:
            return False
        gap = expected is not None and sequence > expected
        self._next_sequence = sequence + 1
        if gap:
            self.confidence = max(self.confidence * GAP_FACTOR, MIN_CONFIDENCE)
        else:
            self.confidence += RECOVERY * (1.0 - self.confidence)
        for digest in evicted:
            self._digests.pop(digest, None)
        self.add(stored)
        return gap

    def add(self, digests) -> None:
        """Note that the digests were just used at the backend server."""
        for digest in digests:
            self._digests[digest] = None
            self._digests.move_to_end(digest)
        while len(self._digests) > MAX_DIGESTS:
            self._digests.popitem(last=False)

    def depth(self, digests) -> int:
        """Return how many leading digests are believed to be cached."""
        count = 0
        for digest in digests:
            if digest not in self._digests:
                break
            count += 1
        return count

    def cached_share(self, digests) -> float:
        """Return the share of the prompt expected in the cache, 0 to 1."""
        if not digests or not self._digests:
            return 0.0
        return self.confidence * self.depth(digests) / len(digests)

    def observe(self, expected_share: float, seen_share: float) -> None:
        """Correct the confidence by the cached share that an answer reported."""
        if expected_share <= 0.0:
            return
        ratio = min(seen_share / expected_share, 1.0)
        target = max(ratio, MIN_CONFIDENCE)
        self.confidence += OBSERVED_WEIGHT * (target - self.confidence)
