"""Timeouts for a server that stops sending data, before a retry at another server.

A server or the connection to it may stall while other servers work. For a call that may
be repeated, reading times out early enough for a retry at another server. Other calls
wait until their deadline.
"""

from kumquatproxy.gateway import calls

# Fraction of the route's timeout that limits each read until the first event.
INITIAL_FRACTION = 0.45
MIN_INITIAL_S = 0.25
MAX_INITIAL_S = 4.0
# Idle timeout of a stream, in multiples of the route's maximum pause between events.
MAX_PAUSE_FACTOR = 2.5
MIN_IDLE_S = 0.5
# Time within which a server is expected to refuse a call that it does not run. A silent
# attempt at another server is kept for so long; two servers must not work on one call
# for 0.4 s.
ACCEPTANCE_S = 0.3
# Interval at which a call at a stalled server checks whether another can serve it.
RECHECK_INTERVAL_S = 0.25


class StallTimeouts:
    """Hold the timeouts of one attempt; None means to wait until the deadline.

    They apply only while another server can serve the call.
    """

    __slots__ = ("idle_s", "initial_s")

    def __init__(self, initial_s=None, idle_s=None):
        # Per read until the first event of a stream. For other responses, per read
        # until the end.
        self.initial_s: float | None = initial_s
        self.idle_s: float | None = idle_s  # per read after the first event


def for_attempt(call: calls.Call, may_retry: bool) -> StallTimeouts:
    """Return the timeouts of an attempt at a call."""
    if not may_retry:
        return StallTimeouts()
    route = call.route
    initial_s = min(
        MAX_INITIAL_S, max(MIN_INITIAL_S, route.timeout_s * INITIAL_FRACTION)
    )
    idle_s = max(MIN_IDLE_S, route.max_pause_s * MAX_PAUSE_FACTOR)
    return StallTimeouts(initial_s, idle_s)
