"""Connections of callers: reading requests strictly, writing answers."""

import socket
from collections.abc import Callable

import gevent
import gevent.pool
import gevent.server
import h11
import orjson

from kumquatproxy import clock, errors, logs
from kumquatproxy.gateway import calls, framing

MAX_CONNECTIONS = 2000
# A body that makes no progress for so long counts as broken off.
BODY_IDLE_S = 5.0
WRITE_TIMEOUT_S = 5.0
# What a caller still sends after a refusal is read for so long, because closing with
# unread bytes resets the connection and takes the refusal with it.
LINGER_S = 0.5
LINGER_BYTES = 256 * 1024
BACKLOG = 512

_PROBLEM = b"application/problem+json"


class Closed(Exception):
    """Tell that a connection ended between requests."""


class CallerConnection:
    """Own one connection of a caller and the framing on it."""

    __slots__ = (
        "_buffer",
        "_greenlet",
        "_has_ended",
        "_is_idle",
        "_parser",
        "_sock",
        "_watcher",
        "is_closing",
    )

    def __init__(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._buffer = bytearray()
        self._parser = framing.new_connection(h11.SERVER)
        self._has_ended = False  # the caller sends no more
        self._watcher: gevent.Greenlet | None = None
        self._greenlet = gevent.getcurrent()
        self._is_idle = False  # the greenlet waits for the first bytes of a request
        self.is_closing = False  # no further request is read after this answer

    def read_call(self, limits) -> calls.Call:
        """Return the next request; raise Closed, or ProxyError to refuse it."""
        head = self._read_head(limits)
        arrived_at = clock.now()
        framing.check_head(head, is_request=True)
        self._parser = framing.new_connection(h11.SERVER)
        request = self._feed(head)
        if not isinstance(request, h11.Request):
            raise _invalid("the request is malformed")
        host = framing.header(request.headers, b"host")
        length = framing.header(request.headers, b"content-length")
        if length and int(length) > limits.body_bytes:
            raise _too_large(limits.body_bytes)
        body = self._read_body(limits.body_bytes)
        return calls.Call(
            request.method,
            request.target,
            host.decode("latin-1").lower(),
            list(request.headers),
            body,
            arrived_at,
        )

    def _feed(self, data):
        try:
            if data:
                self._parser.receive_data(bytes(data))
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise _invalid(f"the request is malformed: {error}") from None

    def _read_head(self, limits):
        if not self._buffer:
            self._is_idle = True
            try:
                self._receive(limits.idle_timeout_s)
            finally:
                self._is_idle = False
        with gevent.Timeout(limits.head_timeout_s, _slow("head")):
            while True:
                # Empty lines before a request line are allowed and skipped.
                while self._buffer.startswith(b"\r\n"):
                    del self._buffer[:2]
                end = framing.find_head_end(self._buffer)
                if 0 <= end <= limits.head_bytes:
                    head = bytes(self._buffer[:end])
                    del self._buffer[:end]
                    return head
                if end > limits.head_bytes or len(self._buffer) > limits.head_bytes:
                    raise errors.ProxyError(
                        errors.ErrorKind.HEADER_TOO_LARGE,
                        f"the head is over {limits.head_bytes} bytes",
                    )
                self._receive(None)

    def _receive(self, timeout_s):
        """Add what arrives to the buffer; raise Closed at the end."""
        if self._has_ended:
            raise Closed
        try:
            with gevent.Timeout(timeout_s, Closed):
                data = self._sock.recv(framing.READ_BYTES)
        except OSError:
            raise Closed from None
        if not data:
            raise Closed
        self._buffer += data

    def end_idle(self) -> None:
        """End the wait for a request; to be run by the event loop itself.

        There the greenlet either still waits, or has taken bytes and goes on.
        """
        if self._is_idle:
            self._greenlet.throw(Closed)

    def _read_body(self, limit_bytes):
        if self._parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._parser.send(go_on))
        parts = []
        size = 0
        data = bytes(self._buffer)
        self._buffer.clear()
        event = self._feed(data)
        while not isinstance(event, h11.EndOfMessage):
            if event is h11.NEED_DATA:
                with gevent.Timeout(BODY_IDLE_S, _slow("body")):
                    self._receive(None)
                data = bytes(self._buffer)
                self._buffer.clear()
                event = self._feed(data)
                continue
            if not isinstance(event, h11.Data):
                raise _invalid("the body broke off")
            parts.append(event.data)
            size += len(event.data)
            if size > limit_bytes:
                raise _too_large(limit_bytes)
            event = self._feed(b"")
        self._buffer += self._parser.trailing_data[0]
        return b"".join(parts)

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call ``on_gone`` when the caller closes before the answer is complete."""
        self._watcher = gevent.spawn(self._watch, on_gone)

    def _watch(self, on_gone):
        while len(self._buffer) < framing.MAX_HEAD_BYTES:
            try:
                data = self._sock.recv(framing.READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self._has_ended = True
                on_gone()
                return
            self._buffer += data

    def unwatch(self) -> None:
        """Stop watching; what has arrived meanwhile is kept."""
        if self._watcher is not None:
            # It must have left the socket before anything else is read from there.
            watcher, self._watcher = self._watcher, None
            watcher.kill()

    def start_answer(self, status: int, headers, is_last: bool = False) -> None:
        """Write the head of an answer."""
        headers = list(headers)
        if self.is_closing or is_last:
            self.is_closing = True
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        self._write(self._parser.send(response))

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            self._write(self._parser.send(h11.Data(data=data)))

    def end_answer(self) -> None:
        """Complete the answer."""
        data = self._parser.send(h11.EndOfMessage())
        if data:
            self._write(data)

    def answer(self, status: int, headers, body: bytes) -> None:
        """Write a whole answer with one send."""
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        if self.is_closing:
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        data = self._parser.send(response)
        if body:
            data += self._parser.send(h11.Data(data=body))
        self._write(data + self._parser.send(h11.EndOfMessage()))

    def refuse(self, error: errors.ProxyError) -> None:
        """Answer a request that could not be read, and close."""
        if self._parser.our_state is not h11.SEND_RESPONSE:
            self._parser = framing.new_connection(h11.SERVER)
        status, headers, body = problem(error)
        head = [*headers, (b"content-length", str(len(body)).encode())]
        head.append((b"connection", b"close"))
        lines = [f"HTTP/1.1 {status} \r\n".encode()]
        lines.extend(name + b": " + value + b"\r\n" for name, value in head)
        self._write(b"".join(lines) + b"\r\n" + body)
        self.is_closing = True
        self.finish()

    def finish(self) -> None:
        """End the connection so that the caller gets all that was written."""
        read = 0
        with gevent.Timeout(LINGER_S, False):
            try:
                self._sock.shutdown(socket.SHUT_WR)
                while read < LINGER_BYTES:
                    data = self._sock.recv(framing.READ_BYTES)
                    if not data:
                        return
                    read += len(data)
            except OSError:
                return

    def is_reusable(self) -> bool:
        """Return whether another request may follow on this connection."""
        if self.is_closing or self._has_ended:
            return False
        return self._parser.our_state is h11.DONE and (
            self._parser.their_state is h11.DONE
        )

    def _write(self, data):
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S, calls.GoneError):
                self._sock.sendall(data)
        except OSError:
            raise calls.GoneError from None

    def close(self) -> None:
        """Close the connection."""
        self.unwatch()
        self._sock.close()


def problem(error: errors.ProxyError):
    """Return status, headers and body of the problem document of an error."""
    headers = [(b"content-type", _PROBLEM)]
    if error.retry_after_s is not None and error.status in (429, 503):
        headers.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
    return error.status, headers, orjson.dumps(error.problem())


def _invalid(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)


def _too_large(limit):
    return errors.ProxyError(
        errors.ErrorKind.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
    )


def _slow(part):
    return errors.ProxyError(
        errors.ErrorKind.SLOW_CLIENT, f"the {part} did not arrive in time"
    )


class CallerServer:
    """Accept callers and serve their requests one after the other.

    ``serve(call, connection)`` answers one request. ``limits()`` returns the limits in
    force.
    """

    def __init__(self, address: str, serve, limits):
        host, _, port = address.rpartition(":")
        self._serve = serve
        self._limits = limits
        self._log = logs.Log("caller")
        self._connections: dict[CallerConnection, bool] = {}  # whether in a request
        self._is_stopping = False
        self._is_closed = False
        self._server = gevent.server.StreamServer(
            (host, int(port)),
            self._handle,
            backlog=BACKLOG,
            spawn=gevent.pool.Pool(MAX_CONNECTIONS),
        )

    @property
    def address(self) -> str:
        """Return the bound ``IP:port``."""
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen; raise OSError if the address is taken."""
        self._server.start()

    @property
    def active(self) -> int:
        """Return the number of requests in flight."""
        return sum(self._connections.values())

    @property
    def open_count(self) -> int:
        """Return the number of open connections, also those that carry no call yet."""
        return len(self._connections)

    def start_closing(self) -> None:
        """Make each answer the last of its connection."""
        self._is_stopping = True

    def close(self) -> None:
        """Stop accepting, and end the connections on which no request has begun."""
        self._is_stopping = True
        self._is_closed = True
        self._server.close()
        loop = gevent.get_hub().loop
        for connection in list(self._connections):
            loop.run_callback(connection.end_idle)

    def stop(self) -> None:
        """Cut off all connections."""
        self._server.stop(timeout=0)

    def _handle(self, sock, address):
        connection = CallerConnection(sock)
        self._connections[connection] = False
        try:
            self._serve_all(connection)
        except (Closed, calls.GoneError):
            return
        finally:
            del self._connections[connection]
            connection.close()

    def _serve_all(self, connection):
        while True:
            try:
                call = connection.read_call(self._limits())
            except errors.ProxyError as error:
                self._log.write_limited(clock.now(), error.kind.value, str(error))
                connection.refuse(error)
                return
            self._connections[connection] = True
            connection.is_closing = self._is_stopping
            try:
                self._serve(call, connection)
            finally:
                self._connections[connection] = False
                connection.unwatch()
            if not connection.is_reusable():
                return
            if self._is_closed:
                connection.finish()
                return
