"""Clock of leases and timeouts."""

import time


def now() -> float:
    """Return seconds that also count while the machine is suspended.

    A lease that ran out during a suspension must be seen as expired afterwards, which
    the monotonic clock does not show.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
