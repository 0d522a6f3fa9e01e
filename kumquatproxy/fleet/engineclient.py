"""Client with which the owner of orders calls engines."""

import collections.abc

import gevent

from kumquatproxy import clock, logs
from kumquatproxy.fleet import engineorders
from kumquatproxy.gateway import (
    backendconnections,
    calls,
    leavingservers,
    requestedpauses,
    serverlimits,
)

CALL_TIMEOUT_S = 1.0
CONNECTION_IDLE_TIMEOUT_S = 5.0
MIN_REFUSAL_STATUS = 400


class NotAllowedError(Exception):
    """Report that nothing was sent, as the right to send it has ended."""


def _always(now: float) -> bool:
    return True


class EngineClient:
    """Send orders and request reports over pooled connections to engines."""

    __slots__ = ("_dialect", "_log", "_pauses", "_trackers", "links")

    def __init__(
        self,
        dialect,
        limits: serverlimits.ServerLimits,
        pauses: requestedpauses.RequestedPauses,
        leaving: leavingservers.LeavingServers,
    ):
        self._dialect = dialect
        self._trackers = (limits, pauses, leaving)
        self._pauses = pauses
        self._log = logs.Log("order")
        self.links = backendconnections.ConnectionPool()

    def report(self, announcement) -> engineorders.EngineReport | None:
        """Return the report of an engine, or None if there is no valid answer."""
        method, target, headers, body = self._dialect.report_request(announcement)
        answer = self._call(announcement, method, target, headers, body)
        if answer is None or answer[0].status != 200:
            return None
        try:
            return self._dialect.read_report(answer[1])
        except ValueError as error:
            self._log.write(
                clock.now(),
                f"invalid report from engine {announcement.instance_id}: {error}",
            )
            return None

    def order(
        self,
        announcement,
        order: engineorders.Order,
        owner_id: str,
        fence: int,
        may_send: collections.abc.Callable[[float], bool] = _always,
    ) -> engineorders.OrderOutcome | None:
        """Send an order and return its outcome; None if ``may_send`` forbids it.

        ``may_send`` is asked once the connection is there.
        """
        method, target, headers, body = self._dialect.order_request(
            announcement, order, owner_id, fence
        )
        try:
            answer = self._call(announcement, method, target, headers, body, may_send)
        except NotAllowedError:
            self._log.write(
                clock.now(),
                f"{order.action.value} {order.key()} at {announcement.instance_id} "
                "not sent: no longer the owner of orders, or another lifetime",
                fence=fence,
            )
            return None
        outcome = engineorders.OrderOutcome.UNKNOWN
        if answer is not None:
            outcome = self._dialect.parse_order_status(answer[0].status)
        self._log.write(
            clock.now(),
            f"{order.action.value} {order.key()} at {announcement.instance_id}: "
            f"{outcome.value}",
            fence=fence,
            expected_count=order.expected_count,
        )
        return outcome

    def _call(self, announcement, method, target, headers, body, may_send=_always):
        link = None
        is_reusable = False
        try:
            with gevent.Timeout(CALL_TIMEOUT_S, TimeoutError):
                link = self.links.acquire(
                    announcement.instance_id,
                    announcement.address,
                    CONNECTION_IDLE_TIMEOUT_S,
                    CALL_TIMEOUT_S,
                )
                sent_at = clock.now()
                # The host may have stood still while it connected.
                if not may_send(sent_at):
                    is_reusable = True
                    raise NotAllowedError
                if self._pauses.left_s(announcement, sent_at) > 0.0:
                    is_reusable = True
                    return None
                link.send(method, target, headers, body)
                head: calls.ResponseHead = link.read_head(
                    self._dialect.parse_response_head
                )
                body = link.read_body()
                # Answers have no ids here, so a refusal that the engine writes once
                # more would seem to be the answer to the next order.
                is_reusable = head.status < MIN_REFUSAL_STATUS
                if not head.is_wrong_server:
                    for tracker in self._trackers:
                        tracker.record_answer(announcement, head, sent_at, clock.now())
                return head, body
        except (OSError, backendconnections.BackendError) as error:
            self._log.write_limited(
                clock.now(),
                announcement.instance_id,
                f"request to engine {announcement.instance_id} failed: {error!r}",
            )
            return None
        finally:
            if link is not None and is_reusable:
                self.links.release(link)
            elif link is not None:
                link.close()
