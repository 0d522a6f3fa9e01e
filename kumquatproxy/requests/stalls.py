"""Decide whether a call leaves a stalled backend server or keeps waiting.

When a machine is overloaded, many servers stall at once and most calls have no other
server to go to. Giving up a call then discards an answer that was in progress, and
restarting it adds load that makes the stalls longer.
"""

from kumquatproxy.requests import retries


def further_wait_s(
    request, attempts, budget, has_other_server: bool, expected_s: float, now: float
) -> float:
    """Return how long to keep waiting after a timeout; 0 to leave the server.

    ``expected_s`` is the predicted duration of an attempt at another server.
    """
    reason = retries.reason_to_give_up(
        request, retries.Failure.TIMEOUT, attempts, budget, now + expected_s
    )
    if has_other_server and reason is None:
        return 0.0
    return max(0.0, request.deadline - now)
