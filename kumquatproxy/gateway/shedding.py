"""Whether a call is turned away although servers could take it.

Load pattern: more calls arrive than the engines can read prompts for. If all are
taken, the backlog grows until every call misses its latency objective. Turning some
away at once keeps the others in time, and the callers learn when to come back.
"""

from kumquatproxy import errors

# A call is turned away if its first event is expected later than this many objectives.
OBJECTIVES = 1.6
# Objectives below this are within the error of the prediction.
MIN_OBJECTIVE_S = 0.8
MIN_RETRY_S = 0.2


def check(call, delay_s: float, now: float) -> errors.ProxyError | None:
    """Return the refusal of a call whose best server has a delay of ``delay_s``."""
    objective_s = call.route.objective_s
    if call.need is None or objective_s <= 0.0:
        return None
    limit_s = max(MIN_OBJECTIVE_S, objective_s) * OBJECTIVES
    waited_s = now - call.arrived_at
    if waited_s + delay_s <= limit_s:
        return None
    retry_after_s = max(MIN_RETRY_S, delay_s - objective_s * 0.5)
    return errors.ProxyError(
        errors.ErrorKind.OVERLOADED,
        f"the first event would come {delay_s:.1f} s from now",
        retry_after_s=retry_after_s,
    )
