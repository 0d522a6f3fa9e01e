"""Whether a call leaves a silent backend server or goes on waiting for it.

Load pattern: many servers pause at once, as when a machine is busy, and there is no
other place for most of their calls. Each call that gives up then breaks off an answer
that was on its way, and each one that starts anew makes the pauses longer.
"""

from kumquatproxy.requests import retries


def further_wait_s(
    request, attempts, budget, has_other_server: bool, expected_s: float, now: float
) -> float:
    """Return how many seconds to wait beyond the expected time; 0 to leave.

    ``expected_s`` is the predicted time of an attempt elsewhere.
    """
    reason = retries.reason_to_give_up(
        request, retries.Failure.TIMEOUT, attempts, budget, now + expected_s
    )
    if has_other_server and reason is None:
        return 0.0
    return max(0.0, request.deadline - now)
