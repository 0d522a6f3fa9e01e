"""Waiting of calls for which no server is available.

A model may be loading, or all servers may be unavailable for a moment. A call waits if
a server is expected before its deadline, or briefly if none is expected. Otherwise it
is rejected with a time after which to retry.
"""

from kumquatproxy import errors

# Interval at which waiting calls check for a server even if no change is reported.
RECHECK_INTERVAL_S = 0.2
# Maximum wait if no server is expected to become available.
MAX_UNPLANNED_WAIT_S = 0.4
MIN_RETRY_AFTER_S = 0.6
# Time from the start of a host to its configuration if the control hosts start as well:
# an election timeout and links.
READY_AFTER_START_S = 1.5
MIN_NOT_READY_RETRY_AFTER_S = 0.4
NOT_READY_SPREAD = 0.2
# Time over which callers come back after the end of a pause of all servers.
PAUSE_RETURN_SPREAD_S = 0.5
# Time reserved for serving a call that has waited for the end of a pause, as all calls
# that have waited are sent one after the other.
PAUSE_SERVING_S = 0.5
# Time reserved for serving a call after its wait, on a host that is stopping.
STOP_MARGIN_S = 1.0
# Time reserved for the first event of a stream after its wait. A caller that would have
# left by then is told at once when to come back.
FIRST_EVENT_MARGIN_S = 0.5


def not_ready_retry_after_s(uptime_s: float, spread: float) -> float:
    """Return when to retry at a host that has no configuration yet.

    Traffic pattern: all hosts have lost power or were killed, and callers are sent to
    them before the control hosts have a leader. ``spread``, from 0 to 1, keeps the
    callers of all hosts from coming back at the same moment.
    """
    left_s = max(MIN_NOT_READY_RETRY_AFTER_S, READY_AFTER_START_S - uptime_s)
    return left_s * (1.0 + NOT_READY_SPREAD * spread)


class ExpectedAvailability:
    """Hold the expected time until a server can serve a call."""

    __slots__ = (
        "is_assumed",
        "is_excluded",
        "ready_in_s",
        "return_spread_s",
        "serving_s",
    )

    def __init__(
        self,
        ready_in_s,
        is_excluded=False,
        is_assumed=False,
        serving_s=0.0,
        return_spread_s=0.0,
    ):
        self.ready_in_s: float | None = ready_in_s  # None if no server is expected
        self.is_excluded: bool = is_excluded  # waiting is known to be useless
        # Nothing is under way; the time holds if it begins now.
        self.is_assumed: bool = is_assumed
        # Time after it that a call must have left when it begins to wait.
        self.serving_s: float = serving_s
        # Added to the time after which a rejected caller is to come back.
        self.return_spread_s: float = return_spread_s


def after_pause(
    expected_availability: ExpectedAvailability, pause_left_s: float, spread: float
) -> ExpectedAvailability:
    """Return when a server is expected if all that can serve a call want a pause.

    A load that is under way may end sooner. Callers that are rejected all learn the
    same end, so ``spread``, from 0 to 1, keeps them from coming back together.
    """
    ready_in_s = pause_left_s
    is_known = not (
        expected_availability.is_assumed or expected_availability.is_excluded
    )
    if is_known and expected_availability.ready_in_s is not None:
        ready_in_s = min(ready_in_s, expected_availability.ready_in_s)
    return ExpectedAvailability(
        ready_in_s,
        serving_s=PAUSE_SERVING_S,
        return_spread_s=PAUSE_RETURN_SPREAD_S * spread,
    )


class CallState:
    """Hold what has become of a call so far."""

    __slots__ = (
        "has_waited",
        "is_first_attempt",
        "may_reject",
        "refused_attempts",
        "stops_at",
    )

    def __init__(
        self,
        is_first_attempt=True,
        has_waited=False,
        may_reject=True,
        refused_attempts=0,
        stops_at=None,
    ):
        self.is_first_attempt: bool = is_first_attempt
        self.has_waited: bool = has_waited  # for a server that can serve it
        # No server may have executed the call, and it resumes no stream.
        self.may_reject: bool = may_reject
        self.refused_attempts: int = refused_attempts
        self.stops_at: float | None = stops_at  # when the host stops


class WaitDecision:
    """Hold a time to wait, or the error to reject a call with."""

    __slots__ = ("error", "wait_s")

    def __init__(self, wait_s=0.0, error=None):
        self.wait_s: float = wait_s
        self.error: errors.ProxyError | None = error


class WaitPolicy:
    """Decide whether one call waits or is rejected."""

    __slots__ = ("_assumed_until", "_call", "_ends_at", "_has_waited", "since")

    def __init__(self, call, now, has_begun=False):
        self._call = call
        self.since: float = now
        self._assumed_until: float | None = None
        self._has_waited = False  # for a time that was known
        # Callers wait for each event for as long, also for the first one.
        last_event_at = now if has_begun else call.arrived_at
        patience_ends_at = last_event_at + call.route.patience_s - FIRST_EVENT_MARGIN_S
        self._ends_at: float = min(call.deadline, patience_ends_at)

    def decide(
        self,
        service,
        expected_availability: ExpectedAvailability,
        now: float,
        stops_at: float | None = None,
    ) -> WaitDecision:
        """Return whether to wait longer, given when a server is expected.

        On a host that stops at ``stops_at``, calls that would wait until then are
        rejected, so that the caller retries at another host sooner.
        """
        end = self._ends_at
        if stops_at is not None:
            end = min(end, stops_at - STOP_MARGIN_S)
        left_s = end - now
        if expected_availability.is_excluded or self._is_disproved(
            expected_availability, now
        ):
            return WaitDecision(
                error=_no_server(self._call, service, expected_availability)
            )
        # Once a call waits, the time for serving it is there to be used.
        serving_s = 0.0 if self._has_waited else expected_availability.serving_s
        if (
            expected_availability.ready_in_s is not None
            and expected_availability.ready_in_s + serving_s < left_s
        ):
            self._has_waited = True
            return WaitDecision(wait_s=min(RECHECK_INTERVAL_S, left_s))
        if (
            expected_availability.ready_in_s is None
            and now - self.since < MAX_UNPLANNED_WAIT_S < left_s
        ):
            return WaitDecision(wait_s=min(RECHECK_INTERVAL_S, left_s))
        return WaitDecision(
            error=_no_server(self._call, service, expected_availability)
        )

    def _is_disproved(self, expected_availability, now):
        """Return whether an assumed time has passed, so that it is not assumed anew."""
        if not expected_availability.is_assumed:
            return False
        if expected_availability.ready_in_s is None:
            return False
        if self._assumed_until is None:
            self._assumed_until = now + expected_availability.ready_in_s
        return now >= self._assumed_until


def _no_server(call, service, expected_availability):
    name = service.name if service is not None else "?"
    if call.software_version is not None:
        name = f"{name} at software version {call.software_version}"
    retry_after_s = max(MIN_RETRY_AFTER_S, expected_availability.ready_in_s or 0.0)
    retry_after_s += expected_availability.return_spread_s
    return errors.ProxyError(
        errors.ErrorKind.NO_BACKEND_SERVER,
        f"no backend server of {name} can serve the call in time",
        retry_after_s=retry_after_s,
    )
