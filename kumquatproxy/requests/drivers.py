"""Drivers for the protocols of backend servers, registered by alias."""

import collections.abc
import functools
import json

import orjson

from kumquatproxy import clock, memorybudget, records, registry
from kumquatproxy.gateway import eventstream, framing
from kumquatproxy.requests import exchanges, retries

DRIVERS = registry.Registry("driver")

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]"
_ERROR_MEMBER = b'"error"'

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


class EngineCall:
    """One call at an engine; after a timeout, each method can be called again.

    The methods raise CallFailedError.
    """

    __slots__ = ("_error", "_exchange", "_is_stream", "_send", "_splitter")

    def __init__(self, exchange, send, is_stream):
        self._exchange: exchanges.Exchange = exchange
        # Sends the request within a timeout.
        self._send: collections.abc.Callable[[exchanges.ExtendableTimeout], None] = send
        self._is_stream: bool = is_stream
        self._splitter = eventstream.EventSplitter()
        self._error = ""  # message with which the engine ended the stream

    @property
    def is_sent(self) -> bool:
        """Return whether the request was sent completely."""
        return self._exchange.is_sent

    def accept(self, timeout: exchanges.ExtendableTimeout) -> None:
        """Send the request if needed, and return once the engine has accepted it."""
        if not self._exchange.is_sent:
            self._send(timeout)
        head = self._exchange.read_head(timeout)
        status = head.status
        if status == 200 and self._is_stream:
            self._check_type(head)
        is_refused = status in exchanges.NOT_EXECUTED_STATUSES
        if status == 200 or not (self._is_stream or is_refused or status >= 500):
            return
        try:
            # An extension could give up another attempt, which this one cannot replace.
            data = self._exchange.read_body(timeout.without_extension())
            detail = data[:200].decode(errors="replace")
        except exchanges.CallFailedError as error:
            # The status is known, so the call is not in progress there any more.
            detail = error.detail
        raise exchanges.CallFailedError(
            retries.Failure.REFUSED if is_refused else retries.Failure.FAILED,
            f"{self._exchange.address} answered with status {status}: {detail}",
        ) from None

    def _check_type(self, head):
        """Raise CallFailedError if an answer to a stream names another media type."""
        media_type = framing.media_type(head.headers)
        if media_type not in (b"", b"text/event-stream"):
            raise exchanges.CallFailedError(
                retries.Failure.FAILED,
                f"{self._exchange.address} answered a stream with {media_type!r:.100}",
            )

    def read_reply(self, timeout: exchanges.ExtendableTimeout) -> BackendReply:
        """Return the complete answer of an accepted call."""
        head = self._exchange.read_head(timeout)
        body = self._exchange.read_body(timeout)
        return BackendReply(head.status, _decoded_forwarded_headers(head), body)

    def next_events(self, timeout: exchanges.ExtendableTimeout) -> list[bytes]:
        """Return all events that have arrived, at least one.

        An event that reports an error ends the stream, and is none of its tokens.
        Events that arrive together are returned together, which saves one timer and
        one write for each of them.
        """
        while True:
            if self._error:
                raise exchanges.CallFailedError(
                    retries.Failure.FAILED,
                    f"{self._exchange.address} ended the stream: {self._error}",
                )
            part = self._exchange.read_part(timeout)
            if part is None:
                raise self._exchange.lost_error(
                    "closed the stream before its last event"
                )
            try:
                received = self._splitter.add(part)
                partial_bytes = self._splitter.partial_bytes
                is_long = partial_bytes > memorybudget.SMALL_BYTES
                self._exchange.hold(partial_bytes if is_long else 0)
            except ValueError as error:
                raise self._exchange.lost_error(
                    f"sent an invalid event: {error}"
                ) from None
            sound = eventstream.count_sound(received)
            events = self._take_tokens([event for event, _ in received[:sound]])
            if sound < len(received) and not self._error:
                self._error = "lines that belong to no event"
            if events:
                return events

    def _take_tokens(self, events):
        for index, event in enumerate(events):
            self._error = _error_message(event)
            if self._error:
                return events[:index]
        return events

    def receive_available(self) -> bool:
        """Return whether the engine has sent data that was not read."""
        return self._exchange.receive_available()

    def close(self) -> None:
        """Release the connection, which cancels an unfinished call."""
        self._exchange.close()


def _error_message(event):
    """Return the message of an event that reports an error, or an empty string."""
    if _ERROR_MEMBER not in event:
        return ""  # text that contains it is escaped
    try:
        fields = orjson.loads(event.partition(b"data:")[2])
    except ValueError:
        return ""
    error = fields.get("error") if isinstance(fields, dict) else None
    if not error:
        return ""
    message = error.get("message") if isinstance(error, dict) else error
    return str(message)[:200] or "error"


class EngineDriver(Driver):
    """Base class of the drivers for model engines."""

    def open_completion(
        self, server, path, headers, body: bytes, timeout
    ) -> EngineCall:
        """Connect for a completion request; raise CallFailedError."""
        raise NotImplementedError

    def open_stream(
        self, server, path, headers, body: dict, delivered, timeout
    ) -> EngineCall:
        """Connect for a stream after ``delivered`` tokens; raise CallFailedError."""
        raise NotImplementedError

    def send_order(
        self,
        address: str,
        order: records.Order,
        timeout_s,
        may_send: collections.abc.Callable[[float], bool],
    ) -> str:
        """Send an order and return the engine's answer; raise CallFailedError.

        ``accepted``: the order is done or in progress. ``refused``: the engine refused
        the order, and is taken to refuse it when it is sent again. ``unknown``: the
        engine may still accept the order when it is sent again. ``may_send`` is asked
        once the connection is there.
        """
        raise NotImplementedError


@DRIVERS.register("openai")
class OpenAIDriver(EngineDriver):
    """Driver for engines with the OpenAI-compatible protocol.

    The body member ``resume_from`` requests a stream from that token on, and
    ``POST /orders`` accepts loads, unloads and role changes.
    """

    def open_completion(
        self, server, path, headers, body: bytes, timeout
    ) -> EngineCall:
        """Connect for a completion request; raise CallFailedError."""
        exchange = exchanges.Exchange(self._pool, server.address, timeout)
        all_headers = [*_JSON_HEADERS, *headers]
        send = functools.partial(exchange.send, "POST", path, all_headers, body)
        return EngineCall(exchange, send, is_stream=False)

    def open_stream(
        self, server, path, headers, body: dict, delivered, timeout
    ) -> EngineCall:
        """Connect for a stream after ``delivered`` tokens; raise CallFailedError."""
        if delivered:
            body = {**body, "resume_from": delivered}
        data = json.dumps(body).encode()
        all_headers = [*_JSON_HEADERS, *headers]
        exchange = exchanges.Exchange(self._pool, server.address, timeout)
        send = functools.partial(exchange.send, "POST", path, all_headers, data)
        return EngineCall(exchange, send, is_stream=True)

    def send_order(
        self,
        address: str,
        order: records.Order,
        timeout_s,
        may_send: collections.abc.Callable[[float], bool],
    ) -> str:
        """Send an order and return the engine's answer; raise CallFailedError.

        Statuses 200 and 202 are ``accepted``; 400, 404, 409 and 507 are ``refused``;
        all others are ``unknown``.
        """
        timeout = exchanges.ExtendableTimeout(timeout_s)
        with exchanges.Exchange(self._pool, address, timeout) as exchange:
            # The host may have stood still while it connected.
            now = clock.now()
            if not may_send(now):
                exchange.keep_unused()
                raise exchanges.CallFailedError(
                    retries.Failure.NOT_SENT,
                    "the lease or the order ended before it was sent",
                )
            body = {
                "order_id": order.order_id,
                "fence": order.fence,
                "action": order.action,
                "item": order.item.key(),
                "memory_mb": order.memory_mb,
                "expires_in_s": order.expires_at - now,
            }
            data = json.dumps(body).encode()
            head = exchange.send_request(
                "POST", "/orders", _JSON_HEADERS, data, timeout
            )
            exchange.read_body(timeout)
        if head.status in (200, 202):
            return "accepted"
        if head.status in (400, 404, 409, 507):
            return "refused"
        return _ORDER_ANSWERS_BY_STATUS.get(head.status, "unknown")


def driver_alias(service) -> str:
    """Return the alias of a service's driver, by default the one for its kind."""
    if service.driver:
        return service.driver
    return "openai" if service.kind == "engine" else "plain-http"
