"""What a report of a server's load still tells once it is old.

All hosts see the same reports, and would otherwise all send to the server that was idle
when it reported.
"""

import math


def report_weight(age_s: float, turnover_s: float) -> float:
    """Return how much of a report still holds, from 1 down to 0.

    ``turnover_s`` is the time in which a server's requests are replaced by others.
    """
    return math.exp(-age_s / turnover_s)


def blend(mean: float, reported: float, weight: float) -> float:
    """Return a reported figure, replaced by the mean of all reports as it ages."""
    return mean + weight * (reported - mean)
