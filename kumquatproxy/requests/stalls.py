"""Decide whether a call leaves a stalled backend server or keeps waiting.

When a machine is overloaded, many servers stall at once and most calls have no other
server to go to. Giving up a call then discards an answer that was in progress, and
restarting it adds load that makes the stalls longer.
"""

from kumquatproxy.requests import retries


def further_wait_s(
    request, history, budget, has_other_server: bool, min_attempt_s: float, now: float
) -> float:
    """Return how long to keep waiting after a timeout; 0 to leave the server.

    ``min_attempt_s`` is the least time that an attempt at another server needs to be
    useful, such as its predicted time to first token.
    """
    reason = retries.reason_to_give_up(
        request, retries.Failure.TIMEOUT, history, budget, now + min_attempt_s
    )
    if has_other_server and reason is None:
        return 0.0
    return max(0.0, request.deadline - now)
