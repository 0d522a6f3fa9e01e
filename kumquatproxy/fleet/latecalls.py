"""Estimate of the share of calls that are late at engines of a given utilisation.

A call is late if it misses its latency objective. Utilisation is the offered load in
engine seconds per second; values above 1 mean overload.

Traffic pattern: calls for a model arrive faster than its engines can prefill the
prompts.
"""

import bisect

# Points (utilisation, share of late calls) for one engine, interpolated linearly. An
# engine interleaves prefill and decoding, so all of its calls slow down together.
LATE_SHARES_BY_UTILISATION = (
    (0.0, 0.0),
    (0.4, 0.02),
    (0.6, 0.12),
    (0.8, 0.4),
    (1.0, 0.7),
)
# Replicas of a model pool their capacity, as a call goes to the least busy one, so
# fewer calls are late: the utilisation is raised to replicas**UTILISATION_POOLING_POWER
# and the share of late calls is divided by replicas**SHARE_POOLING_POWER.
UTILISATION_POOLING_POWER = 0.5
SHARE_POOLING_POWER = 0.5
# Utilisation of engines that are busy all the time.
FULL_UTILISATION = 1.0


def late_share(utilisation: float, replicas: int = 1) -> float:
    """Return the share of late calls at ``replicas`` engines of this utilisation.

    Overloaded engines keep serving at full throughput, and excess calls are rejected.
    """
    pool_factor = replicas**SHARE_POOLING_POWER
    full_share = LATE_SHARES_BY_UTILISATION[-1][1] / pool_factor
    if utilisation >= FULL_UTILISATION:
        return 1.0 - (1.0 - full_share) / utilisation
    utilisation **= replicas**UTILISATION_POOLING_POWER
    index = bisect.bisect_right(LATE_SHARES_BY_UTILISATION, (utilisation, 2.0))
    (low, low_share), (high, high_share) = LATE_SHARES_BY_UTILISATION[
        index - 1 : index + 1
    ]
    share = low_share + (high_share - low_share) * (utilisation - low) / (high - low)
    return share / pool_factor


def balanced_utilisation(utilisations: list[float], offered_load: float) -> float:
    """Return the utilisation of the engines that share an additional load.

    The load goes to the least utilised engines until they are equally utilised. The
    result is 0 without engines.
    """
    ascending = sorted(utilisations)
    total = 0.0
    for count, utilisation in enumerate(ascending, start=1):
        total += utilisation
        level = (offered_load + total) / count
        if count == len(ascending) or level <= ascending[count]:
            return level
    return 0.0
