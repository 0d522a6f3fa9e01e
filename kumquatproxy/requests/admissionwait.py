"""Admission for greenlets: block each one until its request is admitted or refused."""

import enum

import gevent
import gevent.event

from kumquatproxy import clock
from kumquatproxy.requests import admission, routing

# Added to the wait until a queued request's latest start, since the request is refused
# only after that time.
EXPIRY_MARGIN_S = 0.005


class WaitEnd(enum.Enum):
    """Reason for which a wait ended, other than a refusal."""

    SEND = "send"  # admitted at the backend server
    ROUTE_AGAIN = "route-again"  # the backend server was removed or is paused


class RefusedError(Exception):
    """Admission refused a request, which was not sent."""

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal: routing.Refusal = refusal


class BlockingAdmission:
    """Admission control that blocks the greenlets of queued requests."""

    __slots__ = ("_admission", "_results_by_id")

    def __init__(self):
        self._admission = admission.Admission()
        self._results_by_id: dict[str, gevent.event.AsyncResult] = {}

    def set_shares(self, sheet) -> None:
        """Set the fair-queueing weights from the shares on a sheet."""
        self._admission.set_shares(sheet)

    def remove_server(self, backend_id: str) -> None:
        """Remove a backend server and have its queued requests routed again."""
        for entry in self._admission.remove_server(backend_id):
            self._wake(entry, WaitEnd.ROUTE_AGAIN)

    def reroute(self, backend_id: str) -> None:
        """Have the queued requests of a backend server routed again."""
        for entry in self._admission.take_queued(backend_id):
            self._wake(entry, WaitEnd.ROUTE_AGAIN)

    def admit(self, call, decision: routing.Decision, now: float) -> int | None:
        """Return the priority to send with, or None if the call is to be routed again.

        A queued request blocks. Raise RefusedError for a refused one: without a wait
        when the deadline is already out of reach or the queue is full.
        """
        admission_decision = self._admission.admit(call, decision, now)
        if admission_decision.action == "admit":
            return admission_decision.priority
        if admission_decision.entry is None:
            raise RefusedError(admission_decision.refusal)
        # This request may have displaced another one, which is refused at once.
        self._expire(now)
        wait_result = self._wait(admission_decision.entry, now)
        if isinstance(wait_result, routing.Refusal):
            raise RefusedError(wait_result)
        return call.priority if wait_result is WaitEnd.SEND else None

    def must_wait(self, call, decision: routing.Decision) -> bool:
        """Return whether ``admit`` would block."""
        return self._admission.must_wait(call, decision)

    def record_finish(self, backend_id, call, outcome, now: float) -> None:
        """Process the end of an admitted request and wake the requests to send now."""
        for entry in self._admission.record_finish(backend_id, call, outcome, now):
            self._wake(entry, WaitEnd.SEND)
        self._expire(now)

    def _wait(self, entry, now):
        result = gevent.event.AsyncResult()
        self._results_by_id[entry.request.request_id] = result
        wait_s = max(0.0, entry.latest_start - now) + EXPIRY_MARGIN_S
        try:
            while True:
                try:
                    return result.get(timeout=wait_s)
                except gevent.Timeout:
                    self._expire(clock.now())
                    wait_s = EXPIRY_MARGIN_S
        except BaseException:
            self._admission.cancel(entry)
            raise
        finally:
            self._results_by_id.pop(entry.request.request_id, None)

    def _expire(self, now):
        for entry, refusal in self._admission.take_refused(now):
            self._wake(entry, refusal)

    def _wake(self, entry, wait_result):
        result = self._results_by_id.pop(entry.request.request_id, None)
        if result is not None:
            result.set(wait_result)
