"""How many calls are late at engines that are busy for some share of the time.

Load pattern: calls for a model come faster than its engines can read their prompts.
"""

import bisect

# Share of calls that are late at one engine that is busy this share of the time. An
# engine interleaves reading prompts with making tokens, so all get slow together.
LATE_SHARES = ((0.0, 0.0), (0.4, 0.02), (0.6, 0.12), (0.8, 0.4), (1.0, 0.7))
# Engines that share a model are late less often: a call finds the least busy one. The
# first power of their number is the exponent of their level, the second one divides the
# share of late calls.
POOL_POWER = 0.5
OVER_POWER = 0.5
# Engines that are busy for all of the time.
FULL_LEVEL = 1.0


def late_share(level: float, replicas: int = 1) -> float:
    """Return the share of late calls at so many engines that are this busy.

    Beyond full load engines serve what they can, and the rest is turned away.
    """
    scale = replicas**OVER_POWER
    full_share = LATE_SHARES[-1][1] / scale
    if level >= FULL_LEVEL:
        return 1.0 - (1.0 - full_share) / level
    level **= replicas**POOL_POWER
    place = bisect.bisect_right(LATE_SHARES, (level, 2.0))
    (low, low_share), (high, high_share) = LATE_SHARES[place - 1 : place + 1]
    share = low_share + (high_share - low_share) * (level - low) / (high - low)
    return share / scale


def fill_level(levels: list[float], work: float) -> float:
    """Return the level up to which work fills the least busy of some engines."""
    ordered = sorted(levels)
    total = 0.0
    for count, level in enumerate(ordered, start=1):
        total += level
        filled = (work + total) / count
        if count == len(ordered) or filled <= ordered[count]:
            return filled
    return 0.0
