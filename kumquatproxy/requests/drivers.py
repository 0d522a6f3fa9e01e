"""Protocols of backend servers, each found by alias in a registry."""

import json

import gevent

from kumquatproxy import clock, records, registry
from kumquatproxy.gateway import backendlinks, calls, eventstream
from kumquatproxy.requests import retries

DRIVERS = registry.Registry("driver")

CONNECT_TIMEOUT_S = 1.0
# A kept connection that was idle for longer may be about to be closed.
MAX_IDLE_S = 10.0
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


class CallTimeoutError(Exception):
    """Tell that the time of a call is over."""


class CallFailed(Exception):
    """Report a failed call and how far it may have got."""

    def __init__(self, failure, detail):
        super().__init__(detail)
        self.failure: retries.Failure = failure
        self.detail: str = detail


def forwarded_headers(headers) -> list[tuple[str, str]]:
    """Return the headers that a proxy passes on."""
    return [
        (name, value) for name, value in headers if name.lower() not in _HOP_HEADERS
    ]


class Pool:
    """Keep the connections to each backend address."""

    __slots__ = ("_links",)

    def __init__(self):
        self._links = backendlinks.LinkPool()

    def open(self, address: str, max_idle_s: float) -> backendlinks.BackendLink:
        """Return a connection that was idle for at most ``max_idle_s``."""
        return self._links.take(address, address, max_idle_s, CONNECT_TIMEOUT_S)

    def keep(self, link: backendlinks.BackendLink) -> None:
        """Keep a connection whose answer was read whole, if it is sound."""
        self._links.give(link)

    def renew(self, address: str) -> None:
        """Close the idle connections of an address, so that new ones are made."""
        self._links.forget(address)

    def close(self) -> None:
        """Close all idle connections."""
        self._links.forget_all()


class Driver:
    """Base of all drivers: plain HTTP calls to one backend server."""

    def __init__(self, pool):
        self._pool: Pool = pool

    def call(
        self, server: records.BackendServer, method, path, headers, body, timeout_s
    ) -> BackendReply:
        """Make a call that may be repeated; raise CallFailed."""
        return self._call(server.address, method, path, headers, body, timeout_s)

    def call_once(
        self, server: records.BackendServer, method, path, headers, body, timeout_s
    ) -> BackendReply:
        """Make a call that must not be repeated, on a new connection.

        The connection is made right before the call, which proves it alive.
        """
        address = server.address
        return self._call(address, method, path, headers, body, timeout_s, 0.0)

    def _call(
        self, address, method, path, headers, body, timeout_s, max_idle_s=MAX_IDLE_S
    ):
        link = None
        is_whole = False
        try:
            with gevent.Timeout(timeout_s, CallTimeoutError):
                link = self._open(address, max_idle_s)
                head = _send(link, address, method, path, headers, body)
                data = link.read_whole()
            is_whole = True
            return BackendReply(head.status, _plain_headers(head), data)
        except CallTimeoutError:
            self._pool.renew(address)
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{address} gave no complete answer within {timeout_s:.3f} s",
            ) from None
        except (OSError, backendlinks.BackendError) as error:
            raise _failure(address, error) from None
        finally:
            if link is not None and is_whole:
                self._pool.keep(link)
            elif link is not None:
                link.close()

    def _open(self, address, max_idle_s):
        try:
            return self._pool.open(address, max_idle_s)
        except OSError as error:
            raise CallFailed(
                retries.Failure.NOT_SENT, f"{address} accepts no connection: {error}"
            ) from None


def _send(link, address, method, path, headers, body):
    """Send a call and return the head of its answer."""
    fields = [(name.lower(), value) for name, value in headers]
    fields = [pair for pair in fields if pair[0] not in ("host", "content-length")]
    fields.append(("host", address))
    if body or method not in ("GET", "HEAD"):
        fields.append(("content-length", str(len(body or b""))))
    link.send(method.encode(), path.encode("latin-1"), fields, body or b"")
    return link.read_head(calls.AnswerHead)


def _plain_headers(head):
    pairs = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    ]
    return forwarded_headers(pairs)


def _failure(address, error):
    return CallFailed(
        retries.Failure.LOST, f"{address} failed: {error or type(error).__name__}"
    )


class EventStream:
    """Read the server-sent events of one streamed answer."""

    __slots__ = ("_address", "_has_ended", "_link", "_pool", "_splitter")

    def __init__(self, address, link, pool):
        self._address: str = address
        self._link: backendlinks.BackendLink = link
        self._pool: Pool = pool
        self._splitter = eventstream.EventSplitter()
        self._has_ended = False

    def next_events(self, timeout_s: float) -> list[bytes]:
        """Return all events that have arrived, at least one; raise CallFailed.

        Events that arrive together are relayed together, which saves a timer and
        a write for each of them.
        """
        try:
            with gevent.Timeout(timeout_s, CallTimeoutError):
                return self._next()
        except CallTimeoutError:
            self._pool.renew(self._address)
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{self._address} sent nothing for {timeout_s:.3f} s",
            ) from None
        except (OSError, ValueError, backendlinks.BackendError) as error:
            raise _failure(self._address, error) from None

    def _next(self):
        while True:
            part = self._link.read_part()
            if part is None:
                self._has_ended = True
                raise CallFailed(
                    retries.Failure.LOST, f"{self._address} ended the stream early"
                )
            events = [event for event, _ in self._splitter.add(part)]
            if events:
                return events

    def close(self) -> None:
        """Release the connection; an unfinished stream is cancelled by closing it."""
        if self._has_ended:
            self._pool.keep(self._link)
        else:
            self._link.close()


@DRIVERS.register("plain-http")
class PlainHttpDriver(Driver):
    """Talk to a plain service."""


class EngineDriver(Driver):
    """Base of the drivers for model engines."""

    def complete(self, server, path, headers, body: bytes, timeout_s) -> BackendReply:
        """Return the whole answer of a completion; raise CallFailed."""
        raise NotImplementedError

    def open_stream(
        self, server, path, headers, body: dict, delivered, timeout_s
    ) -> EventStream:
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

    def complete(self, server, path, headers, body: bytes, timeout_s) -> BackendReply:
        """Return the whole answer of a completion; raise CallFailed."""
        all_headers = [*_JSON_HEADERS, *headers]
        reply = self.call(server, "POST", path, all_headers, body, timeout_s)
        if reply.status == 200:
            return reply
        refused = reply.status in _NOT_RUN_STATUSES
        if not refused and reply.status < 500:
            return reply
        failure = retries.Failure.REFUSED if refused else retries.Failure.FAILED
        detail = reply.body[:200].decode(errors="replace")
        raise CallFailed(failure, f"{server.address} answered {reply.status}: {detail}")

    def open_stream(
        self, server, path, headers, body: dict, delivered, timeout_s
    ) -> EventStream:
        """Start a stream behind ``delivered`` tokens; raise CallFailed."""
        if delivered:
            body = {**body, "resume_from": delivered}
        data = json.dumps(body).encode()
        link = None
        stream = None
        try:
            with gevent.Timeout(timeout_s, CallTimeoutError):
                link = self._open(server.address, MAX_IDLE_S)
                all_headers = [*_JSON_HEADERS, *headers]
                head = _send(link, server.address, "POST", path, all_headers, data)
                if head.status == 200:
                    stream = EventStream(server.address, link, self._pool)
                    return stream
                detail = link.read_whole()[:200].decode(errors="replace")
        except CallTimeoutError:
            self._pool.renew(server.address)
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{server.address} started no stream within {timeout_s:.3f} s",
            ) from None
        except (OSError, backendlinks.BackendError) as error:
            raise _failure(server.address, error) from None
        finally:
            if link is not None and stream is None:
                link.close()
        refused = head.status in _NOT_RUN_STATUSES
        failure = retries.Failure.REFUSED if refused else retries.Failure.FAILED
        raise CallFailed(failure, f"{server.address} answered {head.status}: {detail}")

    def send_order(self, address: str, order: records.Order, timeout_s) -> str:
        """Send an order and return the engine's answer; raise CallFailed."""
        expires_in_s = order.expires_at - clock.now()
        if expires_in_s <= 0:
            raise CallFailed(
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
        reply = self._call(address, "POST", "/orders", _JSON_HEADERS, data, timeout_s)
        if reply.status in (200, 202):
            return "accepted"
        if reply.status in (400, 404, 409, 507):
            return "refused"
        return _ORDER_ANSWERS_BY_STATUS.get(reply.status, "unknown")


def driver_alias(service) -> str:
    """Return the alias of a service's driver; empty settings take the usual one."""
    if service.driver:
        return service.driver
    return "openai" if service.kind == "engine" else "plain-http"
