"""Connections to backend servers: one call at a time, kept while they are sound."""

import collections
import collections.abc
import select
import socket

import gevent.select
import gevent.socket
import h11

from kumquatproxy import clock, errors
from kumquatproxy.gateway import calls, framing

CONNECT_TIMEOUT_S = 0.6
# A kept connection is used only well within the time after which the server closes it.
DEFAULT_KEEP_S = 4.0
KEEP_SHARE = 0.5
MAX_KEPT_PER_SERVER = 16
KEEP_ALIVE_TIMEOUT = b"timeout="
# Notices connections that were cut without a reset.
USER_TIMEOUT_MS = 4000


class BackendError(Exception):
    """Tell that a server's bytes are no whole answer to the call."""


class SilentError(Exception):
    """Tell that a server made no progress for too long."""


def join_parts(read_part: collections.abc.Callable[[], bytes | None]) -> bytes:
    """Return a body of which ``read_part`` returns parts, and None after the last."""
    return b"".join(iter(read_part, None))


class BackendLink:
    """Own one connection to a backend server."""

    __slots__ = (
        "_buffer",
        "_keep_s",
        "_parser",
        "_sock",
        "instance_id",
        "is_sound",
        "kept_at",
        "sent_whole",
        "was_kept",
    )

    def __init__(self, instance_id: str, address: str, timeout_s: float):
        host, _, port = address.rpartition(":")
        self._sock = gevent.socket.create_connection((host, int(port)), timeout_s)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        self._sock.settimeout(None)
        self._buffer = bytearray()
        self._parser = framing.new_connection(h11.CLIENT)
        self._keep_s = DEFAULT_KEEP_S
        self.instance_id: str = instance_id
        self.is_sound = True  # another call may follow
        self.kept_at = 0.0
        self.was_kept = False  # an earlier call used it
        self.sent_whole = False

    def send(self, method: bytes, target: bytes, headers, body: bytes) -> None:
        """Write a call; stop when the server answers before it has read the body."""
        self._parser = framing.new_connection(h11.CLIENT)
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage())
        self.sent_whole = False
        view = memoryview(data)
        while view:
            count = self._send_some(view)
            if count == 0:
                # The rest of the body is still due on this connection.
                self.is_sound = False
                return
            view = view[count:]
        self.sent_whole = True

    def _send_some(self, view):
        """Return how many bytes were written, 0 if an answer came first."""
        descriptor = self._sock.fileno()
        while True:
            try:
                return self._sock.send(view, 0, 0.0)  # without waiting
            except BlockingIOError:
                readable, _, _ = gevent.select.select([descriptor], [descriptor], [])
                if readable:
                    return 0

    def read_head(self, read_answer) -> tuple[calls.AnswerHead, int]:
        """Return the head of the next answer; raise BackendError or OSError."""
        while True:
            end = framing.find_head_end(self._buffer)
            if end < 0:
                if len(self._buffer) > framing.MAX_HEAD_BYTES:
                    raise BackendError("the head of the answer is too long")
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
                raise BackendError("the answer has no head")
            self._note_keeping(event)
            return read_answer(event.status_code, list(event.headers))

    def _note_keeping(self, event):
        stated = framing.header(event.headers, b"keep-alive").lower()
        place = stated.find(KEEP_ALIVE_TIMEOUT)
        digits = stated[place + len(KEEP_ALIVE_TIMEOUT) :].split(b",")[0].strip()
        if place >= 0 and digits.isdigit():
            self._keep_s = float(digits)
        connection = framing.header(event.headers, b"connection").lower()
        if b"close" in connection:
            self.is_sound = False

    def _feed(self, data):
        try:
            if data:
                self._parser.receive_data(bytes(data))
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise BackendError(str(error)) from None

    def _receive(self):
        data = self._sock.recv(framing.READ_BYTES)
        if not data:
            raise BackendError("the server closed the connection")
        self._buffer += data

    def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None after its end."""
        while True:
            data = bytes(self._buffer)
            self._buffer.clear()
            event = self._feed(data)
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._end()
                return None
            if event is not h11.NEED_DATA:
                raise BackendError("the body of the answer broke off")
            data = self._sock.recv(framing.READ_BYTES)
            try:
                self._parser.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise BackendError(str(error)) from None

    def read_patiently(self, limit_s: float | None, receive, further_s):
        """Return what ``receive`` reads; raise SilentError for a silent server.

        After ``limit_s`` without a result ``further_s`` is asked for more seconds; with
        0 the server is given up. ``receive`` is called again after each interruption,
        so it must keep what it has read.
        """
        while True:
            try:
                with gevent.Timeout(limit_s, SilentError):
                    return receive()
            except SilentError:
                limit_s = further_s()
                if limit_s <= 0.0:
                    raise

    def read_whole(self) -> bytes:
        """Return the rest of the body; raise BackendError if it breaks off."""
        return join_parts(self.read_part)

    def _end(self):
        if self._parser.trailing_data[0] or self._parser.our_state is not h11.DONE:
            self.is_sound = False
        if self._parser.their_state is not h11.DONE:
            self.is_sound = False

    def skip_answer(self) -> None:
        """Drop an answer to an earlier call; the own one follows behind it."""
        while self.read_part() is not None:
            continue
        rest = self._parser.trailing_data[0]
        self._parser = framing.new_connection(h11.CLIENT)
        # The new parser only needs to expect an answer; nothing is sent again.
        ask = h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")])
        self._parser.send(ask)
        self._parser.send(h11.EndOfMessage())
        self._buffer[:0] = rest
        self.is_sound = False

    def may_be_used(self, now: float, max_idle_s: float) -> bool:
        """Return whether a kept connection certainly was open a moment ago."""
        idle_s = now - self.kept_at
        if idle_s > min(max_idle_s, self._keep_s * KEEP_SHARE):
            return False
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def close(self) -> None:
        """Close the connection; the server stops what it does for the call."""
        self.is_sound = False
        self._sock.close()


class LinkPool:
    """Keep the sound connections to each backend server."""

    __slots__ = ("_kept_by_id", "opened")

    def __init__(self):
        self._kept_by_id: dict[str, collections.deque[BackendLink]] = {}
        self.opened = 0  # new connections so far

    def take(self, instance_id: str, address: str, max_idle_s: float, timeout_s: float):
        """Return a connection to a server; raise OSError if there is none."""
        kept = self._kept_by_id.get(instance_id)
        now = clock.now()
        while kept:
            one = kept.pop()
            if one.may_be_used(now, max_idle_s):
                one.was_kept = True
                return one
            if max_idle_s > 0.0:
                one.close()
            else:
                kept.appendleft(one)
                break
        self.opened += 1
        return BackendLink(instance_id, address, timeout_s)

    def give(self, one: BackendLink) -> None:
        """Keep a connection for the next call, or close it."""
        kept = self._kept_by_id.setdefault(one.instance_id, collections.deque())
        if not one.is_sound or len(kept) >= MAX_KEPT_PER_SERVER:
            one.close()
            return
        one.kept_at = clock.now()
        kept.append(one)

    def forget_all(self) -> None:
        """Close all kept connections."""
        for instance_id in list(self._kept_by_id):
            self.forget(instance_id)

    def forget(self, instance_id: str) -> None:
        """Close the kept connections to a server that is gone."""
        for one in self._kept_by_id.pop(instance_id, ()):
            one.close()
