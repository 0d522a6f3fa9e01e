"""Edge of admission: greenlets that wait in the queue of a backend server."""

import enum

import gevent
import gevent.event

from kumquatproxy import clock
from kumquatproxy.requests import admission, routing

EXPIRY_MARGIN_S = 0.005


class Wake(enum.Enum):
    """Name why a wait ended other than by a refusal."""

    SEND = "send"  # the place at the backend server is given
    ROUTE_AGAIN = "route-again"  # the backend server is gone


class RefusedError(Exception):
    """Report that admission refused a request, which was not sent."""

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal: routing.Refusal = refusal


class AdmissionWait:
    """Admit requests, or hold their greenlets until they are admitted or refused."""

    __slots__ = ("_admission", "_waiting_by_id")

    def __init__(self):
        self._admission = admission.Admission()
        self._waiting_by_id: dict[str, gevent.event.AsyncResult] = {}

    def set_shares(self, sheet) -> None:
        """Take the shares of organisations and services from a sheet."""
        self._admission.set_shares(sheet)

    def remove_server(self, backend_id: str) -> None:
        """Forget a backend server; its waiting requests are routed again."""
        for entry in self._admission.remove_server(backend_id):
            self._wake(entry, Wake.ROUTE_AGAIN)

    def admit(self, call, decision: routing.Decision, now: float) -> int | None:
        """Return the priority to send with, or None if the call is to be routed again.

        Raise RefusedError at once when the deadline cannot be met.
        """
        verdict = self._admission.admit(call, decision, now)
        if verdict.action == "admit":
            return verdict.priority
        if verdict.entry is None:
            raise RefusedError(verdict.refusal)
        # This request may have displaced another one, which is told at once.
        self._expire(now)
        outcome = self._wait(verdict.entry, now)
        if isinstance(outcome, routing.Refusal):
            raise RefusedError(outcome)
        return call.priority if outcome is Wake.SEND else None

    def record_finish(self, backend_id, call, outcome, now: float) -> None:
        """Note the end of an admitted request and wake those that follow it."""
        for entry in self._admission.record_finish(backend_id, call, outcome, now):
            self._wake(entry, Wake.SEND)
        self._expire(now)

    def _wait(self, entry, now):
        waiting = gevent.event.AsyncResult()
        self._waiting_by_id[entry.request.request_id] = waiting
        wait_s = max(0.0, entry.latest_start - now) + EXPIRY_MARGIN_S
        try:
            while True:
                try:
                    return waiting.get(timeout=wait_s)
                except gevent.Timeout:
                    self._expire(clock.now())
                    wait_s = EXPIRY_MARGIN_S
        except BaseException:
            self._admission.cancel(entry)
            raise
        finally:
            self._waiting_by_id.pop(entry.request.request_id, None)

    def _expire(self, now):
        for entry, refusal in self._admission.take_expired(now):
            self._wake(entry, refusal)

    def _wake(self, entry, outcome):
        waiting = self._waiting_by_id.pop(entry.request.request_id, None)
        if waiting is not None:
            waiting.set(outcome)
