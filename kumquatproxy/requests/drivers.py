"""Protocols of backend servers, each found by alias in a registry."""

import json

from kumquatproxy import clock, records, registry
from kumquatproxy.requests import exchanges, retries

DRIVERS = registry.Registry("driver")

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]"

# An engine answers 404 for a model that it has unloaded, 429 and 503 when full.
_NOT_RUN_STATUSES = frozenset((404, 429, 503))

_ORDER_ANSWERS_BY_STATUS = {200: "accepted", 202: "accepted", 507: "refused"}
_JSON_HEADERS = [("Content-Type", "application/json")]
_HOP_HEADERS = frozenset(
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
    """Hold the complete answer of a backend server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status: int = status
        self.headers: list[tuple[str, str]] = headers
        self.body: bytes = body


def forwarded_headers(headers) -> list[tuple[str, str]]:
    """Return the headers that a proxy passes on."""
    return [
        (name, value) for name, value in headers if name.lower() not in _HOP_HEADERS
    ]


class Driver:
    """Base of all drivers: plain HTTP calls to one backend server."""

    def __init__(self, pool):
        self._pool: exchanges.Pool = pool

    def call(
        self, server: records.BackendServer, method, path, headers, body, wait
    ) -> BackendReply:
        """Make a call that may be repeated; raise CallFailed."""
        return self._call(server.address, method, path, headers, body, wait)

    def call_once(
        self, server: records.BackendServer, method, path, headers, body, wait
    ) -> BackendReply:
        """Make a call that must not be repeated, on a new connection.

        The connection is made right before the call, which proves it alive.
        """
        return self._call(
            server.address, method, path, headers, body, wait, max_idle_s=0.0
        )

    def _call(
        self,
        address,
        method,
        path,
        headers,
        body,
        wait,
        max_idle_s=exchanges.MAX_IDLE_S,
    ):
        with exchanges.Exchange(self._pool, address, wait, max_idle_s) as exchange:
            head = exchange.ask(method, path, headers, body, wait)
            data = exchange.read_whole(wait)
        return BackendReply(head.status, _plain_headers(head), data)


def _plain_headers(head):
    pairs = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    ]
    return forwarded_headers(pairs)


@DRIVERS.register("plain-http")
class PlainHttpDriver(Driver):
    """Talk to a plain service."""


class EngineDriver(Driver):
    """Base of the drivers for model engines."""

    def complete(self, server, path, headers, body: bytes, wait) -> BackendReply:
        """Return the whole answer of a completion; raise CallFailed."""
        raise NotImplementedError

    def open_stream(
        self, server, path, headers, body: dict, delivered, wait
    ) -> exchanges.EventStream:
        """Start a stream behind ``delivered`` tokens; raise CallFailed."""
        raise NotImplementedError

    def send_order(self, address: str, order: records.Order, timeout_s) -> str:
        """Send an order and return the engine's answer; raise CallFailed.

        ``accepted``: it is done or under way. ``refused``: the engine has noted the
        order id and will refuse every copy. ``unknown``: a stale fence or an expired
        order, which says nothing about other copies.
        """
        raise NotImplementedError


@DRIVERS.register("openai")
class OpenAIDriver(EngineDriver):
    """Talk to an engine with the OpenAI-compatible protocol.

    The body member ``resume_from`` asks for the stream from that token on, and
    ``POST /orders`` takes loads, unloads and role changes.
    """

    def complete(self, server, path, headers, body: bytes, wait) -> BackendReply:
        """Return the whole answer of a completion; raise CallFailed."""
        all_headers = [*_JSON_HEADERS, *headers]
        reply = self.call(server, "POST", path, all_headers, body, wait)
        if reply.status == 200:
            return reply
        if reply.status not in _NOT_RUN_STATUSES and reply.status < 500:
            return reply
        detail = reply.body[:200].decode(errors="replace")
        raise _refusal(server, reply.status, detail)

    def open_stream(
        self, server, path, headers, body: dict, delivered, wait
    ) -> exchanges.EventStream:
        """Start a stream behind ``delivered`` tokens; raise CallFailed."""
        if delivered:
            body = {**body, "resume_from": delivered}
        data = json.dumps(body).encode()
        all_headers = [*_JSON_HEADERS, *headers]
        exchange = exchanges.Exchange(self._pool, server.address, wait)
        stream = None
        try:
            head = exchange.ask("POST", path, all_headers, data, wait)
            if head.status == 200:
                stream = exchanges.EventStream(exchange)
                return stream
            detail = exchange.read_whole(wait)[:200].decode(errors="replace")
        finally:
            if stream is None:
                exchange.close()
        raise _refusal(server, head.status, detail)

    def send_order(self, address: str, order: records.Order, timeout_s) -> str:
        """Send an order and return the engine's answer; raise CallFailed."""
        expires_in_s = order.expires_at - clock.now()
        if expires_in_s <= 0:
            raise exchanges.CallFailed(
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
        wait = exchanges.Wait(timeout_s)
        reply = self._call(address, "POST", "/orders", _JSON_HEADERS, data, wait)
        if reply.status in (200, 202):
            return "accepted"
        if reply.status in (400, 404, 409, 507):
            return "refused"
        return _ORDER_ANSWERS_BY_STATUS.get(reply.status, "unknown")


def _refusal(server, status, detail):
    refused = status in _NOT_RUN_STATUSES
    failure = retries.Failure.REFUSED if refused else retries.Failure.FAILED
    return exchanges.CallFailed(
        failure, f"{server.address} answered {status}: {detail}"
    )


def driver_alias(service) -> str:
    """Return the alias of a service's driver; empty settings take the usual one."""
    if service.driver:
        return service.driver
    return "openai" if service.kind == "engine" else "plain-http"
