"""Protocols of backend servers, each found by alias in a registry."""

import json

import gevent
import gevent.socket
import geventhttpclient
import geventhttpclient.httplib
import geventhttpclient.response

from kumquatproxy import clock, records, registry, retries

DRIVERS = registry.Registry("driver")

CONNECT_TIMEOUT_S = 1.0
CONNECTIONS_PER_SERVER = 512
MAX_CALL_S = 86_400.0  # each call sets its own, shorter timeout
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
    """Keep one HTTP client with its connections for each backend address."""

    __slots__ = ("_clients_by_address",)

    def __init__(self):
        self._clients_by_address: dict[str, geventhttpclient.HTTPClient] = {}

    def client(self, address: str) -> geventhttpclient.HTTPClient:
        """Return the client of an address."""
        client = self._clients_by_address.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = geventhttpclient.HTTPClient(
                host,
                int(port),
                concurrency=CONNECTIONS_PER_SERVER,
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=MAX_CALL_S,
            )
            self._clients_by_address[address] = client
        return client

    def renew(self, address: str) -> None:
        """Close the idle connections of an address, so that new ones are made."""
        client = self._clients_by_address.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._clients_by_address):
            self.renew(address)


class Driver:
    """Base of all drivers: plain HTTP calls to one backend server."""

    def __init__(self, pool):
        self._pool: Pool = pool

    def call(
        self, server: records.BackendServer, method, path, headers, body, timeout_s
    ) -> BackendReply:
        """Make a call that may be repeated; raise CallFailed."""
        return self._call(server.address, method, path, headers, body, timeout_s)

    def _call(self, address, method, path, headers, body, timeout_s):
        try:
            with gevent.Timeout(timeout_s):
                response = self._request(address, method, path, headers, body)
                return BackendReply(
                    response.status_code,
                    forwarded_headers(response.items()),
                    response.read(),
                )
        except gevent.Timeout:
            self._pool.renew(address)
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{address} gave no complete answer within {timeout_s:.3f} s",
            ) from None
        except (OSError, geventhttpclient.response.HTTPParseError) as error:
            raise _failure(address, error) from None

    def _request(self, address, method, path, headers, body):
        client = self._pool.client(address)
        return client.request(method, path, body=body, headers=dict(headers))

    def call_once(
        self, server: records.BackendServer, method, path, headers, body, timeout_s
    ) -> BackendReply:
        """Make a call that must not be repeated, on a new connection.

        The connection is made right before the call, which proves it alive,
        and the library's own retries on broken connections are not in play.
        """
        host, _, port = server.address.rpartition(":")
        connection = geventhttpclient.httplib.HTTPConnection(host, int(port))
        try:
            connection.sock = _connect(host, int(port), server.address)
            with gevent.Timeout(timeout_s):
                connection.request(method, path, body=body, headers=dict(headers))
                response = connection.getresponse()
                data = response.read()
        except gevent.Timeout:
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{server.address} gave no complete answer within {timeout_s:.3f} s",
            ) from None
        except CallFailed:
            raise
        except Exception as error:
            raise CallFailed(
                retries.Failure.LOST, f"{server.address} failed: {error}"
            ) from None
        finally:
            connection.close()
        headers = forwarded_headers(response.getheaders())
        return BackendReply(response.status, headers, data)


def _connect(host, port, address):
    try:
        return gevent.socket.create_connection((host, port), CONNECT_TIMEOUT_S)
    except OSError as error:
        raise CallFailed(
            retries.Failure.NOT_SENT, f"{address} accepts no connection: {error}"
        ) from None


def _failure(address, error):
    refused = isinstance(error, ConnectionRefusedError)
    failure = retries.Failure.NOT_SENT if refused else retries.Failure.LOST
    return CallFailed(failure, f"{address} failed: {error or type(error).__name__}")


class EventStream:
    """Read the server-sent events of one streamed answer."""

    __slots__ = ("_address", "_pool", "_response")

    def __init__(self, address, response, pool):
        self._address: str = address
        self._response = response
        self._pool: Pool = pool

    def next_events(self, timeout_s: float) -> list[bytes]:
        """Return all events that have arrived, at least one; raise CallFailed.

        Events that arrive together are relayed together, which saves a timer and
        a write for each of them.
        """
        try:
            with gevent.Timeout(timeout_s):
                events = [self._response.readline(EVENT_END)]
        except gevent.Timeout:
            self._pool.renew(self._address)
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{self._address} sent nothing for {timeout_s:.3f} s",
            ) from None
        except (OSError, geventhttpclient.response.HTTPParseError) as error:
            raise _failure(self._address, error) from None
        if not events[0]:
            raise CallFailed(
                retries.Failure.LOST, f"{self._address} ended the stream early"
            )
        while EVENT_END in self._response._body_buffer:
            events.append(self._response.readline(EVENT_END))
        return events

    def close(self) -> None:
        """Release the connection; an unfinished stream is cancelled by closing it."""
        if not self._response.message_complete:
            socket = self._response._sock
            if socket is not None:
                socket.close()
        self._response.release()


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
        try:
            with gevent.Timeout(timeout_s):
                response = self._request(
                    server.address,
                    "POST",
                    path,
                    [*_JSON_HEADERS, *headers],
                    json.dumps(body).encode(),
                )
                if response.status_code == 200:
                    return EventStream(server.address, response, self._pool)
                detail = response.read()[:200].decode(errors="replace")
        except gevent.Timeout:
            self._pool.renew(server.address)
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{server.address} started no stream within {timeout_s:.3f} s",
            ) from None
        except (OSError, geventhttpclient.response.HTTPParseError) as error:
            raise _failure(server.address, error) from None
        refused = response.status_code in _NOT_RUN_STATUSES
        failure = retries.Failure.REFUSED if refused else retries.Failure.FAILED
        raise CallFailed(
            failure, f"{server.address} answered {response.status_code}: {detail}"
        )

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
