"""Whether a call that no server can take now waits, and for how long.

Load pattern: a model is being loaded, or all servers are out for a moment. A call
that will be served within its time waits; any other one is refused at once with the
time after which coming back helps.
"""

from kumquatproxy import errors

# Placements and loads are looked at again so often without a change.
CHECK_S = 0.2
# Longest wait for a server that is not known to come.
BLIND_WAIT_S = 0.4
RETRY_AFTER_S = 0.6
# Time that a call needs after its wait on a host that stops.
STOP_RESERVE_S = 1.0


class Outlook:
    """Hold when a server that can take a call is expected."""

    __slots__ = ("ready_in_s",)

    def __init__(self, ready_in_s):
        self.ready_in_s: float | None = ready_in_s  # None if nothing is under way


class Verdict:
    """Tell to wait for a while, or to refuse with an error."""

    __slots__ = ("error", "wait_s")

    def __init__(self, wait_s=0.0, error=None):
        self.wait_s: float = wait_s
        self.error: errors.ProxyError | None = error


class Waiter:
    """Decide for one call."""

    __slots__ = ("_call", "since")

    def __init__(self, call, now):
        self._call = call
        self.since: float = now

    def verdict(
        self, service, outlook: Outlook, now: float, stops_at: float | None = None
    ) -> Verdict:
        """Return whether to wait on; ``outlook`` tells what is expected.

        A host that stops at ``stops_at`` keeps no call that would wait until then:
        the caller finds another host sooner.
        """
        end = self._call.deadline
        if stops_at is not None:
            end = min(end, stops_at - STOP_RESERVE_S)
        left_s = end - now
        if outlook.ready_in_s is not None and outlook.ready_in_s < left_s:
            return Verdict(wait_s=min(CHECK_S, left_s))
        if outlook.ready_in_s is None and now - self.since < BLIND_WAIT_S < left_s:
            return Verdict(wait_s=min(CHECK_S, left_s))
        return Verdict(error=_no_server(service, outlook))


def _no_server(service, outlook):
    name = service.name if service is not None else "?"
    retry_after_s = max(RETRY_AFTER_S, outlook.ready_in_s or 0.0)
    return errors.ProxyError(
        errors.ErrorKind.NO_BACKEND_SERVER,
        f"no backend server of {name} can take the call in time",
        retry_after_s=retry_after_s,
    )
