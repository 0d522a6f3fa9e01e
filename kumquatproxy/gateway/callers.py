"""HTTP/1.1 server for callers: strict parsing of requests, writing of responses."""

import array
import contextlib
import fcntl
import heapq
import select
import socket
import termios
from collections.abc import Callable

import gevent
import gevent.pool
import gevent.server
import h11
import orjson

from kumquatproxy import clock, errors, logs, memorybudget
from kumquatproxy.gateway import calls, framing

MAX_CONNECTIONS = 2000
# Beyond this share of the connections, idle ones are closed so that others find room.
CROWDED_SHARE = 0.95
ROOMY_SHARE = 0.9
# Callers that have just connected or been answered often send a request at once.
MIN_IDLE_S = 1.0
MAKE_ROOM_INTERVAL_S = 0.1
# Timeout for the next bytes of a request body.
BODY_IDLE_S = 5.0
# Timeout of a write without progress; the deadline of the call limits the whole one.
WRITE_TIMEOUT_S = 5.0
# Limits on data that is read and discarded after the last response on a connection.
# Closing a socket with unread data resets the connection, and the caller may lose the
# response.
LINGER_S = 0.5
LINGER_BYTES = 256 * 1024
# Time to write the error responses of the calls in flight when the server aborts.
ABORT_TIMEOUT_S = 0.2
BACKLOG = 512

_PROBLEM_CONTENT_TYPE = b"application/problem+json"


class ConnectionClosed(Exception):
    """Report that a connection was closed or timed out before a request was read."""


class CallerConnection:
    """Read requests from one connection of a caller and write the responses."""

    __slots__ = (
        "_buffer",
        "_caller",
        "_greenlet",
        "_holding",
        "_is_head_request",
        "_is_idle",
        "_is_peer_closed",
        "_is_reading",
        "_parser",
        "_sock",
        "_watcher",
        "idle_since",
        "ignores_new_data",
        "is_closing",
    )

    def __init__(self, sock, caller: str, budget: memorybudget.MemoryBudget):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._caller = caller  # IP address
        self._buffer = bytearray()
        # Covers the buffer and the request that is read or served.
        self._holding = memorybudget.Holding(budget)
        self._parser = framing.new_connection(h11.SERVER)
        self._is_peer_closed = False  # the caller has closed its side
        self._watcher: gevent.Greenlet | None = None
        self._greenlet = gevent.getcurrent()
        self._is_head_request = False
        self._is_idle = False  # waits for the first bytes of a request
        self._is_reading = False  # waits for a request, or for the rest of one
        self.idle_since: float | None = None  # None while it is not idle
        self.ignores_new_data = False  # serve only what was received before
        self.is_closing = False  # close after the current response

    def read_call(self, limits) -> calls.Call:
        """Return the next request; raise ConnectionClosed, or ProxyError if invalid."""
        self._is_reading = True
        try:
            return self._read_call(limits)
        finally:
            self._is_reading = False

    def _read_call(self, limits):
        self._is_head_request = False
        self._holding.resize(len(self._buffer))
        head = self._read_head(limits)
        arrived_at = clock.now()
        framing.check_head(head, is_request=True)
        self._parser = framing.new_connection(h11.SERVER)
        request = self._feed(head)
        if not isinstance(request, h11.Request):
            raise _invalid_request("the request is malformed")
        self._is_head_request = request.method == b"HEAD"
        host = framing.header(request.headers, b"host")
        length = framing.header(request.headers, b"content-length")
        limit_bytes = min(limits.body_bytes, self._holding.max_bytes)
        if length and int(length) > limit_bytes:
            raise _too_large(limit_bytes)
        body = self._read_body(limit_bytes, int(length or 0))
        return calls.Call(
            request.method,
            request.target,
            host.decode("latin-1").lower(),
            list(request.headers),
            body,
            arrived_at,
            self._caller,
        )

    def _feed(self, data):
        try:
            if data:
                self._parser.receive_data(bytes(data))
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            # What follows the colon quotes the request, which may hold a key.
            reason = str(error).partition(":")[0]
            raise _invalid_request(f"the request is malformed: {reason}") from None

    def _read_head(self, limits):
        if not self._buffer:
            self._is_idle = True
            self.idle_since = clock.now()
            try:
                size = self._receive(limits.idle_timeout_s)
            finally:
                self._is_idle = False
                self.idle_since = None
            self._hold(size)
        with gevent.Timeout(limits.head_timeout_s, _client_timeout("head")):
            while True:
                # RFC 9112 lets a server ignore empty lines before the request line.
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
                        f"the request head is larger than {limits.head_bytes} bytes",
                    )
                self._hold(self._receive(None))

    def _receive(self, timeout_s):
        """Read into the buffer and return the number of bytes.

        Raise ConnectionClosed if the caller has closed or the time is over.
        """
        if self._is_peer_closed or self.ignores_new_data:
            raise ConnectionClosed
        try:
            with gevent.Timeout(timeout_s, ConnectionClosed):
                data = self._sock.recv(framing.READ_BYTES)
        except OSError:
            raise ConnectionClosed from None
        if not data:
            raise ConnectionClosed
        self._buffer += data
        return len(data)

    def _hold(self, size):
        """Count further bytes of a request; raise ProxyError if there is no room."""
        if not self._holding.grow(size):
            raise errors.ProxyError(
                errors.ErrorKind.MEMORY_FULL,
                "the host holds as many bytes of other messages as it may",
            )

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request.

        This runs as a callback of the event loop. At that point the greenlet either
        still waits, or has received data and serves the request.
        """
        if self._is_idle:
            self._greenlet.throw(ConnectionClosed)

    def close_if_unused(self) -> None:
        """Close the connection if it waits for a request and none has arrived.

        This runs as a callback of the event loop.
        """
        unread = array.array("i", [0])
        with contextlib.suppress(OSError):
            fcntl.ioctl(self._sock.fileno(), termios.FIONREAD, unread)
        if not unread[0]:
            self.close_if_idle()

    def has_caller_left(self) -> bool:
        """Return whether the caller has closed its side, without a wait."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def ignore_new_data(self) -> None:
        """Keep what has been received, and discard all data from now on."""
        self.ignores_new_data = True

    def has_received_data(self) -> bool:
        """Return whether data of a further request has been received."""
        return bool(self._buffer)

    def interrupt_call(self) -> gevent.Greenlet:
        """Raise HostStoppingError in the greenlet of the call in flight; return it."""
        self._greenlet.kill(calls.HostStoppingError, block=False)
        return self._greenlet

    def interrupt_reading(self) -> gevent.Greenlet | None:
        """Reject the request that is being received; return the greenlet.

        Return None if none has begun to arrive.
        """
        if self._is_idle or not self._is_reading:
            return None
        self._greenlet.kill(_stopping_error(), block=False)
        return self._greenlet

    def _read_body(self, limit_bytes, length):
        """Return the body; ``length`` is that in the head, 0 without one.

        A body whose length is known is counted before it arrives, so that it is not
        refused after most of it has been sent.
        """
        self._hold(max(0, length - len(self._buffer)))
        if self._parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._parser.send(continue_response))
        body = bytearray()
        data = bytes(self._buffer)
        self._buffer.clear()
        event = self._feed(data)
        while not isinstance(event, h11.EndOfMessage):
            if event is h11.NEED_DATA:
                with gevent.Timeout(BODY_IDLE_S, _client_timeout("body")):
                    size = self._receive(None)
                if not length:
                    self._hold(size)
                data = bytes(self._buffer)
                self._buffer.clear()
                event = self._feed(data)
                continue
            if not isinstance(event, h11.Data):
                raise _invalid_request("the request body is incomplete")
            body += event.data
            if len(body) > limit_bytes:
                raise _too_large(limit_bytes)
            event = self._feed(b"")
        self._buffer += self._parser.trailing_data[0]
        self._holding.resize(len(body) + len(self._buffer))
        return bytes(body)

    def watch_for_disconnect(self, on_disconnect: Callable[[], None]) -> None:
        """Call ``on_disconnect`` if the caller closes before the response ends."""
        self._watcher = gevent.spawn(self._run_watcher, on_disconnect)

    def _run_watcher(self, on_disconnect):
        while len(self._buffer) < framing.MAX_HEAD_BYTES:
            try:
                data = self._sock.recv(framing.READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self._is_peer_closed = True
                on_disconnect()
                return
            if not self.ignores_new_data:
                self._buffer += data
                if not self._holding.grow(len(data)):
                    self._holding.resize(self._holding.size + len(data))
                    return

    def stop_watching(self) -> None:
        """Stop watching for a disconnect and keep the data received meanwhile."""
        if self._watcher is not None:
            # The watcher must end before another greenlet reads from the socket.
            watcher, self._watcher = self._watcher, None
            watcher.kill()

    def start_response(self, status: int, headers, is_last: bool = False) -> None:
        """Write the head of a response; ``is_last`` closes the connection after it."""
        headers = list(headers)
        if self.is_closing or is_last:
            self.is_closing = True
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        self._write(self._parser.send(response))

    def write_body(self, data: bytes) -> None:
        """Write a part of the response body."""
        if data:
            self._write(self._parser.send(h11.Data(data=data)))

    def end_response(self) -> None:
        """Write the end of the response."""
        data = self._parser.send(h11.EndOfMessage())
        if data:
            self._write(data)

    def send_response(self, status: int, headers, body: bytes) -> None:
        """Write a complete response with one send; a response to HEAD has no body."""
        headers = list(headers)
        if not framing.header(headers, b"content-length"):
            headers.append((b"content-length", str(len(body)).encode()))
        if self.is_closing:
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        parts = [self._parser.send(response)]
        if body and not self._is_head_request:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        for data in framing.join_small(parts):
            self._write(data)

    def reject_request(self, error: errors.ProxyError) -> None:
        """Write an error response to an invalid request and close the connection."""
        if self._parser.our_state is not h11.SEND_RESPONSE:
            self._parser = framing.new_connection(h11.SERVER)
        # Written without h11, which may not have parsed the request.
        status, headers, body = problem(error)
        head = [*headers, (b"content-length", str(len(body)).encode())]
        head.append((b"connection", b"close"))
        lines = [f"HTTP/1.1 {status} \r\n".encode()]
        lines.extend(name + b": " + value + b"\r\n" for name, value in head)
        data = b"".join(lines) + b"\r\n"
        self._write(data if self._is_head_request else data + body)
        self.is_closing = True
        self.shut_down_and_drain()

    def shut_down_and_drain(self) -> None:
        """Shut down writing and discard received data.

        Closing a socket with unread data resets the connection, and the caller may lose
        the response.
        """
        read_bytes = 0
        with gevent.Timeout(LINGER_S, False):
            try:
                self._sock.shutdown(socket.SHUT_WR)
                while read_bytes < LINGER_BYTES:
                    data = self._sock.recv(framing.READ_BYTES)
                    if not data:
                        return
                    read_bytes += len(data)
            except OSError:
                return

    def is_reusable(self) -> bool:
        """Return whether another request can be read from the connection."""
        if self.is_closing or self._is_peer_closed:
            return False
        return self._parser.our_state is h11.DONE and (
            self._parser.their_state is h11.DONE
        )

    def _write(self, data):
        view = memoryview(data)
        try:
            while view:
                view = view[self._send_some(view) :]
        except OSError:
            raise calls.ResponseAbortedError from None

    def _send_some(self, view):
        """Return the number of bytes written, after a wait if none can be."""
        try:
            return self._sock.send(view, 0, 0.0)  # non-blocking
        except BlockingIOError:
            with gevent.Timeout(WRITE_TIMEOUT_S, calls.ResponseAbortedError):
                return self._sock.send(view)

    def close(self) -> None:
        """Stop watching and close the socket."""
        self.stop_watching()
        self._sock.close()
        self._holding.release()


def problem(error: errors.ProxyError, request_id: str = ""):
    """Return the status, headers and RFC 9457 body of an error response.

    The body names the request if its id is given.
    """
    headers = [(b"content-type", _PROBLEM_CONTENT_TYPE)]
    if error.retry_after_s is not None and error.status in (429, 503):
        headers.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
    fields = error.problem()
    if request_id:
        fields["request_id"] = request_id
    return error.status, headers, orjson.dumps(fields)


def _invalid_request(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)


def _too_large(limit):
    return errors.ProxyError(
        errors.ErrorKind.BODY_TOO_LARGE,
        f"the request body is larger than {limit} bytes",
    )


def _stopping_error():
    return errors.ProxyError(
        errors.ErrorKind.STOPPING, "the host stops before the request has arrived"
    )


def _client_timeout(part):
    return errors.ProxyError(
        errors.ErrorKind.SLOW_CLIENT, f"the request {part} was not received in time"
    )


class CallerServer:
    """Accept connections of callers and serve the requests of each one in turn.

    ``serve(call, connection)`` handles one request. ``limits()`` returns the request
    limits of the current configuration. Requests are counted in ``budget``; one for
    which it has no room is refused.
    """

    def __init__(
        self,
        address: str,
        serve,
        limits,
        budget: memorybudget.MemoryBudget | None = None,
    ):
        host, _, port = address.rpartition(":")
        self._serve = serve
        self._limits = limits
        self._budget = budget or memorybudget.MemoryBudget()
        self._log = logs.Log("caller")
        # True while a request of the connection is being served.
        self._is_serving_by_connection: dict[CallerConnection, bool] = {}
        self._is_keep_alive_disabled = False
        self._is_closed = False
        self._is_ending = False  # serves no further request
        self._limit = MAX_CONNECTIONS
        self._room_maker: gevent.Greenlet | None = None
        self._server = gevent.server.StreamServer(
            (host, int(port)),
            self._handle,
            backlog=BACKLOG,
            spawn=gevent.pool.Pool(self._limit),
        )

    @property
    def address(self) -> str:
        """Return the bound address as ``IP:port``."""
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start listening; raise OSError if the address is in use."""
        self._server.start()

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests that are being served."""
        return sum(self._is_serving_by_connection.values())

    @property
    def open_count(self) -> int:
        """Return the number of open connections, including idle ones."""
        return len(self._is_serving_by_connection)

    @property
    def is_full(self) -> bool:
        """Return whether no connection is accepted until another one ends."""
        return self.open_count >= self._limit

    @property
    def _is_crowded(self):
        return self.open_count > CROWDED_SHARE * self._limit

    def _make_room(self):
        """Close idle connections while many are open.

        This goes on without new connections, which are not accepted at the limit.
        """
        loop = gevent.get_hub().loop
        try:
            while self._is_crowded and not self._is_closed:
                now = clock.now()
                surplus = self.open_count - int(ROOMY_SHARE * self._limit)
                connections = self._longest_idle(surplus, now)
                for connection in connections:
                    loop.run_callback(connection.close_if_unused)
                self._log.write_limited(
                    now,
                    "crowded",
                    f"closing {len(connections)} idle connections, as "
                    f"{self.open_count} of {self._limit} are open",
                )
                gevent.sleep(MAKE_ROOM_INTERVAL_S)
        finally:
            self._room_maker = None

    def _longest_idle(self, count, now):
        """Return the connections that have been idle for longest, at most ``count``."""
        idle = [
            (connection.idle_since, number, connection)
            for number, connection in enumerate(self._is_serving_by_connection)
            if connection.idle_since is not None
            and now - connection.idle_since >= MIN_IDLE_S
        ]
        return [connection for _, _, connection in heapq.nsmallest(count, idle)]

    def disable_keep_alive(self) -> None:
        """Close each connection after the response to the next request read from it."""
        self._is_keep_alive_disabled = True

    def stop_accepting(self) -> None:
        """Stop accepting connections and close the idle ones.

        A request that was received behind a call in flight is still served, since the
        response to that call does not announce that the connection closes.
        """
        self._is_keep_alive_disabled = True
        self._is_closed = True
        self._server.close()
        loop = gevent.get_hub().loop
        for connection in list(self._is_serving_by_connection):
            loop.run_callback(self._end_after_received_requests, connection)

    def _end_after_received_requests(self, connection):
        if self._is_serving_by_connection.get(connection):
            connection.ignore_new_data()
        else:
            connection.close_if_idle()

    def abort(self) -> None:
        """End the calls in flight with an error response and close all connections."""
        self._is_keep_alive_disabled = True
        self._is_closed = True
        self._server.close()
        self._is_ending = True
        interrupted = [
            connection.interrupt_call()
            if is_serving
            else connection.interrupt_reading()
            for connection, is_serving in self._is_serving_by_connection.items()
        ]
        gevent.joinall(
            [greenlet for greenlet in interrupted if greenlet is not None],
            timeout=ABORT_TIMEOUT_S,
        )
        self._server.stop(timeout=0)

    def _serve_request(self, connection):
        """Read a request and serve it; it is not kept while the connection is idle."""
        try:
            call = connection.read_call(self._limits())
            # Callers give up while their connection waits to be accepted.
            if self._room_maker is not None and connection.has_caller_left():
                raise ConnectionClosed
            if self._is_ending:
                raise _stopping_error()
        except errors.ProxyError as error:
            self._log.write_limited(clock.now(), error.kind.value, str(error))
            connection.reject_request(error)
            raise ConnectionClosed from None
        except ConnectionClosed:
            if connection.ignores_new_data:
                connection.shut_down_and_drain()
            raise
        self._is_serving_by_connection[connection] = True
        connection.is_closing = self._is_keep_alive_disabled
        try:
            self._serve(call, connection)
        finally:
            self._is_serving_by_connection[connection] = False
            connection.stop_watching()

    def _handle(self, sock, address):
        connection = CallerConnection(sock, address[0], self._budget)
        self._is_serving_by_connection[connection] = False
        if self._is_crowded and self._room_maker is None:
            self._room_maker = gevent.spawn(self._make_room)
        try:
            self._serve_requests(connection)
        except (
            ConnectionClosed,
            calls.HostStoppingError,
            calls.ResponseAbortedError,
        ):
            return
        finally:
            del self._is_serving_by_connection[connection]
            connection.close()

    def _serve_requests(self, connection):
        while True:
            self._serve_request(connection)
            if not connection.is_reusable():
                return
            if self._is_closed and not connection.has_received_data():
                connection.shut_down_and_drain()
                return
