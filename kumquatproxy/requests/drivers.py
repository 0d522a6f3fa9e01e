"""Drivers for the protocols of backend servers, registered by alias."""

import json

from kumquatproxy import clock, records, registry
from kumquatproxy.requests import exchanges, retries

DRIVERS = registry.Registry("driver")

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]"

# Engines answer 404 for a model that is no longer loaded, and 429 or 503 when full.
_NOT_EXECUTED_STATUSES = frozenset((404, 429, 503))

_ORDER_ANSWERS_BY_STATUS = {200: "accepted", 202: "accepted", 507: "refused"}
_JSON_HEADERS = [("Content-Type", "application/json")]
_NOT_COPIED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class BackendReply:
    """Complete answer of a backend server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status: int = status
        self.headers: list[tuple[str, str]] = headers
        self.body: bytes = body


def forwarded_headers(headers) -> list[tuple[str, str]]:
    """Return the headers that a proxy forwards.

    These exclude hop-by-hop headers and those that each message gets anew.
    """
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_COPIED_HEADERS
    ]


class Driver:
    """Base class of all drivers: HTTP calls to one backend server."""

    def __init__(self, pool):
        self._pool: exchanges.ConnectionPool = pool

    def call(
        self, server: records.BackendServer, method, path, headers, body, timeout
    ) -> BackendReply:
        """Make an idempotent call; raise CallFailedError."""
        return self._call(server.address, method, path, headers, body, timeout)

    def call_on_new_connection(
        self, server: records.BackendServer, method, path, headers, body, timeout
    ) -> BackendReply:
        """Make a non-idempotent call on a new connection; raise CallFailedError.

        A pooled connection might be closed by the server while the call is sent, which
        would leave it unknown whether the call was executed.
        """
        return self._call(
            server.address, method, path, headers, body, timeout, max_idle_s=0.0
        )

    def _call(
        self,
        address,
        method,
        path,
        headers,
        body,
        timeout,
        max_idle_s=exchanges.MAX_IDLE_S,
    ):
        with exchanges.Exchange(self._pool, address, timeout, max_idle_s) as exchange:
            head = exchange.send_request(method, path, headers, body, timeout)
            data = exchange.read_body(timeout)
        return BackendReply(head.status, _decoded_forwarded_headers(head), data)


def _decoded_forwarded_headers(head):
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    ]
    return forwarded_headers(headers)


@DRIVERS.register("plain-http")
class PlainHttpDriver(Driver):
    """Driver for plain HTTP services."""


class EngineDriver(Driver):
    """Base class of the drivers for model engines."""

    def complete(self, server, path, headers, body: bytes, timeout) -> BackendReply:
        """Return the complete answer to a completion request; raise CallFailedError."""
        raise NotImplementedError

    def open_stream(
        self, server, path, headers, body: dict, delivered, timeout
    ) -> exchanges.EventStream:
        """Start a stream after ``delivered`` tokens; raise CallFailedError."""
        raise NotImplementedError

    def send_order(self, address: str, order: records.Order, timeout_s) -> str:
        """Send an order and return the engine's answer; raise CallFailedError.

        ``accepted``: the order is done or in progress. ``refused``: the engine refused
        the order, and is taken to refuse it when it is sent again. ``unknown``: the
        engine may still accept the order when it is sent again.
        """
        raise NotImplementedError


@DRIVERS.register("openai")
class OpenAIDriver(EngineDriver):
    """Driver for engines with the OpenAI-compatible protocol.

    The body member ``resume_from`` requests a stream from that token on, and
    ``POST /orders`` accepts loads, unloads and role changes.
    """

    def complete(self, server, path, headers, body: bytes, timeout) -> BackendReply:
        """Return the complete answer to a completion request; raise CallFailedError."""
        all_headers = [*_JSON_HEADERS, *headers]
        reply = self.call(server, "POST", path, all_headers, body, timeout)
        if reply.status == 200:
            return reply
        if reply.status not in _NOT_EXECUTED_STATUSES and reply.status < 500:
            return reply
        detail = reply.body[:200].decode(errors="replace")
        raise _call_failed(server, reply.status, detail)

    def open_stream(
        self, server, path, headers, body: dict, delivered, timeout
    ) -> exchanges.EventStream:
        """Start a stream after ``delivered`` tokens; raise CallFailedError."""
        if delivered:
            body = {**body, "resume_from": delivered}
        data = json.dumps(body).encode()
        all_headers = [*_JSON_HEADERS, *headers]
        exchange = exchanges.Exchange(self._pool, server.address, timeout)
        stream = None
        try:
            head = exchange.send_request("POST", path, all_headers, data, timeout)
            if head.status == 200:
                stream = exchanges.EventStream(exchange)
                return stream
            detail = exchange.read_body(timeout)[:200].decode(errors="replace")
        finally:
            if stream is None:
                exchange.close()
        raise _call_failed(server, head.status, detail)

    def send_order(self, address: str, order: records.Order, timeout_s) -> str:
        """Send an order and return the engine's answer; raise CallFailedError.

        Statuses 200 and 202 are ``accepted``; 400, 404, 409 and 507 are ``refused``;
        all others are ``unknown``.
        """
        expires_in_s = order.expires_at - clock.now()
        if expires_in_s <= 0:
            raise exchanges.CallFailedError(
                retries.Failure.NOT_SENT, "the order expired before it was sent"
            )
        body = {
            "order_id": order.order_id,
            "fence": order.fence,
            "action": order.action,
            "item": order.item.key(),
            "memory_mb": order.memory_mb,
            "expires_in_s": expires_in_s,
        }
        data = json.dumps(body).encode()
        timeout = exchanges.ExtendableTimeout(timeout_s)
        reply = self._call(address, "POST", "/orders", _JSON_HEADERS, data, timeout)
        if reply.status in (200, 202):
            return "accepted"
        if reply.status in (400, 404, 409, 507):
            return "refused"
        return _ORDER_ANSWERS_BY_STATUS.get(reply.status, "unknown")


def _call_failed(server, status, detail):
    is_refused = status in _NOT_EXECUTED_STATUSES
    failure = retries.Failure.REFUSED if is_refused else retries.Failure.FAILED
    return exchanges.CallFailedError(
        failure, f"{server.address} answered with status {status}: {detail}"
    )


def driver_alias(service) -> str:
    """Return the alias of a service's driver, by default the one for its kind."""
    if service.driver:
        return service.driver
    return "openai" if service.kind == "engine" else "plain-http"
