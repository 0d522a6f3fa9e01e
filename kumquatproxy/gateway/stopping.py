"""Rejection of calls that a stopping host may not be able to see through.

The load is that of a planned stop under traffic: requests that arrive slowly, behind
another call or from another host are complete only when little of the grace is left.
What is sent to a server then is interrupted at the end, and a call that must not be
repeated is lost with it. Another host can serve it in full.
"""

from kumquatproxy import errors
from kumquatproxy.gateway import calls, waiting


def check(
    call: calls.Call, stops_at: float | None, is_accepting: bool, now: float
) -> errors.ProxyError | None:
    """Return the error to reject a call with that no server has got, or None.

    ``stops_at`` is when remaining calls are interrupted, None if the host goes on. Once
    it accepts no connections, a call that must not be repeated needs all of its time,
    since nobody can try again if it is interrupted.
    """
    if stops_at is None:
        return None
    needed_s = call.deadline - now
    if call.is_repeatable or is_accepting:
        needed_s = min(needed_s, call.route.objective_s, waiting.STOP_MARGIN_S)
    if needed_s <= stops_at - now:
        return None
    return errors.ProxyError(
        errors.ErrorKind.STOPPING,
        "the host stops before the call may have ended",
        retry_after_s=waiting.MIN_RETRY_AFTER_S,
    )
