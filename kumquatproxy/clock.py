"""Clock for leases and timeouts."""

import time


def now() -> float:
    """Return monotonic seconds, including time spent in system suspend.

    A lease that expires during a suspend must be seen as expired afterwards.
    ``CLOCK_MONOTONIC`` does not advance during a suspend.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
