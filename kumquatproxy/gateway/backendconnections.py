"""Pooled HTTP/1.1 connections to backend servers, each with one call at a time."""

import collections
import math
import select
import socket
import typing

import gevent
import gevent.select
import gevent.socket
import h11

from kumquatproxy import clock, errors
from kumquatproxy.gateway import calls, framing

CONNECT_TIMEOUT_S = 0.6
# Keep-alive timeout that is assumed if the server does not send one.
DEFAULT_KEEP_ALIVE_S = 4.0
# An idle connection is reused only until this fraction of the keep-alive timeout has
# passed, because the server may close it when the timeout ends.
KEEP_ALIVE_USABLE_FRACTION = 0.5
MAX_IDLE_PER_SERVER = 16
# A connection ends after so many refusals on it, whose ids are kept.
MAX_REFUSALS = 32
KEEP_ALIVE_TIMEOUT_KEY = b"timeout="
# Longest body that is read only in order to use its connection again.
MAX_UNUSED_BODY_BYTES = 64 * 1024
# Longest answer to a report request or an order.
MAX_ENGINE_BODY_BYTES = 256 * 1024
# A server that sends as fast as this host reads must not keep the other greenlets, nor
# the timers, from running.
YIELD_INTERVAL_BYTES = framing.READ_BYTES
MIN_COUNTED_BYTES = 512  # as short parts take as much time as long ones
# What the parser may hold after the data of a chunk if it has nothing of the next one.
CHUNK_ENDS = (b"", b"\r\n")
# Data that has arrived is read before the time for it is over, also after a standstill.
TIMER_PRIORITY = -1
# Detects connections that were cut without a TCP reset.
TCP_USER_TIMEOUT_MS = 4000


class BackendError(Exception):
    """Report a response that is malformed, incomplete or for another call."""


class InvalidRequestError(BackendError):
    """Report a request that cannot be encoded, so that none of it was sent."""


class StallError(Exception):
    """Report that a server sent no data within the timeout."""


class ReadLimit:
    """Raise StallError in a greenlet that reads for too long.

    One timer serves many reads, as a timeout for each one takes longer than to parse
    what is read.
    """

    __slots__ = ("_ends_at", "_greenlet", "_timer", "_timer_at")

    def __init__(self):
        self._greenlet: gevent.Greenlet | None = None  # set during a read
        self._ends_at = 0.0
        self._timer: typing.Any = None
        self._timer_at = 0.0

    def begin(self, limit_s: float | None) -> None:
        """Limit the read that the current greenlet begins; None for no limit."""
        if limit_s is None:
            return
        self._greenlet = gevent.getcurrent()
        self._ends_at = clock.now() + limit_s
        is_running = self._timer is not None and self._timer.active
        if not is_running or self._timer_at > self._ends_at:
            self._start_timer(limit_s)

    def end(self) -> None:
        """End the read; the timer goes on for the next one."""
        self._greenlet = None

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _start_timer(self, wait_s):
        self.close()
        self._timer_at = clock.now() + wait_s
        loop = gevent.get_hub().loop
        self._timer = loop.timer(max(0.0, wait_s), priority=TIMER_PRIORITY)
        self._timer.start(self._check)

    def _check(self):
        greenlet = self._greenlet
        if greenlet is None:
            return
        left_s = self._ends_at - clock.now()
        if left_s > 0.0:
            self._start_timer(left_s)
        else:
            self._greenlet = None
            greenlet.throw(StallError)


class BackendConnection:
    """Send calls and read responses on one connection to a backend server."""

    __slots__ = (
        "_buffer",
        "_is_between_chunks",
        "_keep_alive_s",
        "_parser",
        "_read_limit",
        "_sock",
        "_unyielded_bytes",
        "had_earlier_call",
        "has_ended",
        "idle_since",
        "instance_id",
        "is_fully_sent",
        "is_reusable",
        "opened_at",
        "refused_ids",
        "request_count",
    )

    def __init__(self, instance_id: str, address: str, timeout_s: float):
        host, _, port = address.rpartition(":")
        try:
            endpoint = (host, int(port))
            self._sock = gevent.socket.create_connection(endpoint, timeout_s)
        except (OverflowError, ValueError):
            raise OSError(f"{address[:80]!r} is not an address") from None
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._sock.settimeout(None)
        self.opened_at: float = clock.now()
        self._buffer = bytearray()
        # The parser is known to need data for the next event.
        self._is_between_chunks = False
        self._parser = framing.new_connection(h11.CLIENT)
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._read_limit = ReadLimit()
        self._unyielded_bytes = 0  # read since other greenlets last could run
        self.instance_id: str = instance_id
        self.is_reusable = True  # whether another call may follow
        self.has_ended = False  # the server has closed it, as far as is known
        self.idle_since = 0.0
        self.had_earlier_call = False  # whether it was used or kept before
        self.request_count = 0  # requests sent
        self.is_fully_sent = False
        # Request ids of the calls that the server refused. It may write a refusal once
        # more, which seems new if its call is sent on the connection again.
        self.refused_ids: set[str] = set()

    def record_refusal(self, request_id: str, has_id: bool) -> None:
        """Record that the server refused a call, and whether it named the call's id.

        Without an id, a copy cannot be told from the refusal of a later call.
        """
        self.refused_ids.add(request_id)
        if not has_id or len(self.refused_ids) >= MAX_REFUSALS:
            self.is_reusable = False

    def send(self, method: bytes, target: bytes, headers, body: bytes) -> None:
        """Write a request; stop if the server responds before it has read the body."""
        self._parser = framing.new_connection(h11.CLIENT)
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            parts = [self._parser.send(request)]
            if body:
                parts.append(self._parser.send(h11.Data(data=body)))
            parts.append(self._parser.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise InvalidRequestError(str(error)) from None
        self.is_fully_sent = False
        self.request_count += 1
        if all(self._send_part(part) for part in framing.join_small(parts)):
            self.is_fully_sent = True
        else:
            # The server still expects the rest of the body on this connection.
            self.is_reusable = False

    def _send_part(self, data):
        """Write a part of a request; return False if a response arrived first."""
        view = memoryview(data)
        while view:
            count = self._send_some(view)
            if count == 0:
                return False
            view = view[count:]
        return True

    def _send_some(self, view):
        """Return the number of bytes written, 0 if a response arrived first."""
        descriptor = self._sock.fileno()
        while True:
            try:
                return self._sock.send(view, 0, 0.0)  # non-blocking
            except BlockingIOError:
                readable, _, _ = gevent.select.select([descriptor], [descriptor], [])
                if readable:
                    return 0

    def read_head(self, parse_head) -> tuple[calls.ResponseHead, int]:
        """Return the head of the next final response as parsed by ``parse_head``.

        Raise BackendError if it is malformed, or OSError if the connection fails.
        """
        while True:
            self._yield_if_due()
            end = framing.find_head_end(self._buffer)
            if end < 0:
                if len(self._buffer) > framing.MAX_HEAD_BYTES:
                    raise BackendError("the response head is too long")
                self._receive()
                continue
            head = bytes(self._buffer[:end])
            del self._buffer[:end]
            try:
                framing.check_head(head, is_request=False)
            except errors.ProxyError as error:
                raise BackendError(error.detail) from None
            event = self._feed(head)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BackendError("the response has no head")
            self._read_keep_alive(event)
            return parse_head(event.status_code, list(event.headers))

    def _read_keep_alive(self, event):
        value = framing.header(event.headers, b"keep-alive").lower()
        start = value.find(KEEP_ALIVE_TIMEOUT_KEY)
        digits = value[start + len(KEEP_ALIVE_TIMEOUT_KEY) :].split(b",")[0].strip()
        if start >= 0 and digits.isdigit():
            self._keep_alive_s = float(digits)
        connection = framing.header(event.headers, b"connection").lower()
        if b"close" in connection:
            self.is_reusable = False

    def _feed(self, data):
        try:
            if data:
                self._parser.receive_data(bytes(data))
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise BackendError(str(error)) from None

    def _receive(self):
        data = self._recv()
        if not data:
            raise BackendError("the server closed the connection")
        self._buffer += data

    def _recv(self):
        data = self._sock.recv(framing.READ_BYTES)
        self._unyielded_bytes += len(data)
        return data

    def _yield_if_due(self):
        """Let other greenlets run once enough was read; call this before reading."""
        self._unyielded_bytes += MIN_COUNTED_BYTES
        if self._unyielded_bytes >= YIELD_INTERVAL_BYTES:
            self._unyielded_bytes = 0
            gevent.sleep(0)

    def read_part(self) -> bytes | None:
        """Return the next bytes of the response body, or None after its end."""
        self._yield_if_due()
        while True:
            data = bytes(self._buffer)
            self._buffer.clear()
            event = h11.NEED_DATA
            if data or not self._is_between_chunks:
                event = self._feed(data)
            self._is_between_chunks = False
            if isinstance(event, h11.Data):
                self._is_between_chunks = (
                    event.chunk_end and self._parser.trailing_data[0] in CHUNK_ENDS
                )
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._clear_reusable_if_unfinished()
                return None
            if event is not h11.NEED_DATA:
                raise BackendError("the response body is incomplete")
            data = self._recv()
            try:
                self._parser.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise BackendError(str(error)) from None

    def read_with_timeout(self, limit_s: float | None, receive, get_extension_s):
        """Return the result of ``receive``; raise StallError if it times out.

        After ``limit_s`` without a result, ``get_extension_s`` returns the additional
        seconds to wait, or 0 if StallError is to be raised. ``receive`` is called
        again after each extension, so it must keep what it has read so far.
        """
        while True:
            self._read_limit.begin(limit_s)
            try:
                return receive()
            except StallError:
                self._read_limit.end()
                limit_s = get_extension_s()
                if limit_s <= 0.0:
                    raise
            finally:
                self._read_limit.end()

    def read_body(self) -> bytes:
        """Return the rest of the body of an engine's answer to this host.

        Raise BackendError if it is truncated or longer than MAX_ENGINE_BODY_BYTES.
        """
        body = bytearray()
        while (part := self.read_part()) is not None:
            body += part
            if len(body) > MAX_ENGINE_BODY_BYTES:
                raise BackendError(
                    f"the body is longer than {MAX_ENGINE_BODY_BYTES} bytes"
                )
        return bytes(body)

    def _clear_reusable_if_unfinished(self):
        if self._parser.trailing_data[0] or self._parser.our_state is not h11.DONE:
            self.is_reusable = False
        if self._parser.their_state is not h11.DONE:
            self.is_reusable = False

    def discard_response(self) -> None:
        """Discard a late response to an earlier call; the expected one follows it."""
        size = 0
        while (part := self.read_part()) is not None:
            size += len(part)
            if size > MAX_UNUSED_BODY_BYTES:
                raise BackendError("a late response is too long to be discarded")
        rest = self._parser.trailing_data[0]
        self._parser = framing.new_connection(h11.CLIENT)
        # h11 parses a response only after a request. The request below only sets the
        # state of the parser; it is not sent.
        request = h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")])
        self._parser.send(request)
        self._parser.send(h11.EndOfMessage())
        self._buffer[:0] = rest
        self.is_reusable = False

    def is_fit_for_reuse(self, now: float, max_idle_s: float) -> bool:
        """Return whether an idle connection is recent, open and without unread data."""
        idle_s = now - self.idle_since
        if idle_s > min(max_idle_s, self._keep_alive_s * KEEP_ALIVE_USABLE_FRACTION):
            return False
        return not self._is_readable()

    def receive_available(self) -> bool:
        """Buffer data that has arrived; return whether there was any."""
        if not self._is_readable():
            return False
        try:
            data = self._sock.recv(framing.READ_BYTES)
        except OSError:
            data = b""
        self._buffer += data
        self.has_ended = not data
        return bool(data)

    def _is_readable(self):
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Close the connection, so that the server cancels a call in flight."""
        self.is_reusable = False
        self._read_limit.close()
        self._sock.close()


class ConnectionPool:
    """Pool the reusable connections to each backend server."""

    __slots__ = ("_idle_by_id", "opened_count")

    def __init__(self):
        self._idle_by_id: dict[str, collections.deque[BackendConnection]] = {}
        self.opened_count = 0  # connections opened since the start

    def acquire(
        self,
        instance_id: str,
        address: str,
        max_idle_s: float,
        timeout_s: float,
        request_id: str = "",
        opened_by: float = math.inf,
    ):
        """Return an idle or new connection; raise OSError if connecting fails.

        It is not one on which the server has refused a call with this ``request_id``,
        and one that was open at the time ``opened_by`` if there is one.
        """
        now = clock.now()
        link = None
        for latest in sorted({opened_by, math.inf}):
            link = link or self._take_idle(
                instance_id, max_idle_s, request_id, latest, now
            )
        if link is not None:
            link.had_earlier_call = True
            return link
        self.opened_count += 1
        return BackendConnection(instance_id, address, timeout_s)

    def has_idle(self, instance_id: str, max_idle_s: float, opened_by: float) -> bool:
        """Return whether there is an idle connection that was open at a time."""
        now = clock.now()
        return any(
            link.opened_at <= opened_by and link.is_fit_for_reuse(now, max_idle_s)
            for link in self._idle_by_id.get(instance_id, ())
        )

    def _take_idle(self, instance_id, max_idle_s, request_id, opened_by, now):
        idle_links = self._idle_by_id.get(instance_id)
        skipped_links = []
        found = None
        while idle_links and found is None:
            link = idle_links.pop()
            if link.is_fit_for_reuse(now, max_idle_s):
                if request_id in link.refused_ids or link.opened_at > opened_by:
                    skipped_links.append(link)
                else:
                    found = link
            # With a maximum of 0 the caller wants a new connection; the idle one is
            # kept for other calls.
            elif max_idle_s > 0.0:
                link.close()
            else:
                idle_links.appendleft(link)
                break
        if idle_links is not None:
            idle_links.extend(skipped_links)
        return found

    def release(self, link: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle_links = self._idle_by_id.setdefault(link.instance_id, collections.deque())
        if not link.is_reusable or len(idle_links) >= MAX_IDLE_PER_SERVER:
            link.close()
            return
        link.idle_since = clock.now()
        idle_links.append(link)

    def close_all(self) -> None:
        """Close all idle connections."""
        for instance_id in list(self._idle_by_id):
            self.close_server(instance_id)

    def close_server(self, instance_id: str) -> None:
        """Close the idle connections to a server that is no longer available."""
        for link in self._idle_by_id.pop(instance_id, ()):
            link.close()
