"""One websocket link to another host, run by one greenlet."""

import errno
import math
import os
import socket
import zlib
from typing import Any

import gevent
import gevent.event
import gevent.socket
from websockets import client, frames, http11, server, uri
from websockets.protocol import State

from kumquatproxy import errors, wire
from kumquatproxy.membership import hello

RECEIVE_BUFFER_BYTES = 64 * 1024
UNSENT_LIMIT_BYTES = 64 * 1024
"""The link takes the next message from the send queue only while less than this is
unsent, because messages in the queue can still be dropped."""

# Limit of what an unknown host may send.
MAX_HANDSHAKE_BYTES = 16 * 1024

# A link needs no ping if both hosts have sent data within this share of the interval.
FRESH_SHARE = 0.3

# A link that is stopped is read until the other host has seen the close frame and ended
# its side, as messages that it sent before are on their way. A host that does not
# answer is not waited for longer.
CLOSE_TIMEOUT_S = 0.2
MIN_WAIT_S = 0.001  # until a deadline that has just passed

READ_EVENT = 1  # event masks of gevent's I/O watchers
WRITE_EVENT = 2
LINK_URI = "ws://peer/link"

_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK)


class LinkTiming:
    """Hold the ping interval and the timeouts of links, in seconds."""

    __slots__ = (
        "dial_timeout_s",
        "handshake_timeout_s",
        "ping_interval_s",
        "silence_timeout_s",
    )

    def __init__(
        self,
        ping_interval_s=1.0,
        silence_timeout_s=3.0,
        dial_timeout_s=2.0,
        handshake_timeout_s=3.0,
    ):
        self.ping_interval_s: float = ping_interval_s
        # The link closes after this time without data.
        self.silence_timeout_s: float = silence_timeout_s
        self.dial_timeout_s: float = dial_timeout_s
        self.handshake_timeout_s: float = handshake_timeout_s


class Link:
    """Exchange messages over one socket for as long as ``run`` lasts.

    The link calls ``opened(link)``, ``received(link, message)`` and
    ``closed(link, error)`` on ``owner`` and takes messages to send from
    ``next_data(link)``.
    """

    def __init__(self, owner, identity, timing, nonce_cache, clock, dialled_id=""):
        self.dialled_id: str = dialled_id  # "" for an accepted link
        self.peer_id = ""
        self.peer_data_centre = ""
        self.heard_at = clock()
        self._owner = owner
        self._timing: LinkTiming = timing
        self._clock = clock
        self.is_stopping = False
        self._close_sent_at: float | None = None
        self._is_ended = False  # the other host has closed its side after a stop
        self._sent_at = clock()
        self._ping_phase_s = _ping_phase_s(identity.host_id, timing.ping_interval_s)
        self._ping_at = self._next_ping_at(clock())
        self._opened_at = clock()
        self._unsent = bytearray()
        self._handshake_bytes = 0  # received before the other host is known
        self._wake = gevent.event.Event()
        self._is_readable = True  # the socket may have data that was not read
        # Set for many wake-ups, as a timeout for each one takes longer than to handle
        # what it is for.
        self._timer: Any = None
        self._timer_at = 0.0
        self._handshake: hello.Initiator | hello.Responder
        self._protocol: Any
        nonce = os.urandom(hello.NONCE_BYTES)
        max_frame_bytes = wire.MAX_FRAME_BYTES
        if dialled_id:
            self._handshake = hello.Initiator(identity, dialled_id, nonce)
            self._protocol = client.ClientProtocol(
                uri.parse_uri(LINK_URI), max_size=max_frame_bytes
            )
        else:
            self._handshake = hello.Responder(identity, nonce, nonce_cache)
            self._protocol = server.ServerProtocol(max_size=max_frame_bytes)

    def wake(self) -> None:
        """Make the link check for messages to send."""
        self._wake.set()

    def stop(self) -> None:
        """Ask the greenlet of the link to close it."""
        self.is_stopping = True
        self._wake.set()

    def run(self, sock=None, address: str = "") -> None:
        """Dial ``address`` or use the accepted socket until the link closes."""
        error = None
        try:
            if sock is None:
                sock = self._dial(address)
            self._serve(sock)
        except (OSError, errors.ProxyError) as failure:
            error = failure
        finally:
            if sock is not None:
                sock.close()
            self._owner.closed(self, error)

    def _dial(self, address):
        host, _, port = address.rpartition(":")
        endpoint = (host, int(port))
        return gevent.socket.create_connection(endpoint, self._timing.dial_timeout_s)

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        loop = gevent.get_hub().loop
        readable = loop.io(sock.fileno(), READ_EVENT)
        writable = loop.io(sock.fileno(), WRITE_EVENT)
        readable.start(self._on_readable)
        try:
            if self.dialled_id:
                self._protocol.send_request(self._protocol.connect())
            while self._step(sock):
                self._watch_writable(writable)
                self._watch_deadline(loop)
                self._wake.wait()
                self._wake.clear()
        except errors.ProxyError as error:
            self._send_refusal(sock, error)
            raise
        finally:
            for watcher in filter(None, (readable, writable, self._timer)):
                watcher.stop()
                watcher.close()

    def _on_readable(self):
        self._is_readable = True
        self._wake.set()

    def _watch_writable(self, writable):
        if self._unsent and not writable.active:
            writable.start(self._wake.set)
        elif not self._unsent and writable.active:
            writable.stop()

    def _watch_deadline(self, loop):
        """Start a timer for the next deadline unless one ends before it."""
        deadline = min(self._ping_at, self.heard_at + self._timing.silence_timeout_s)
        if self._close_sent_at is not None:
            deadline = min(deadline, self._close_sent_at + CLOSE_TIMEOUT_S)
        if self._timer is not None:
            if self._timer.active and self._timer_at <= deadline:
                return
            self._timer.stop()
            self._timer.close()
        wait_s = max(MIN_WAIT_S, deadline - self._clock())
        self._timer_at = deadline
        self._timer = loop.timer(wait_s)
        self._timer.start(self._on_readable)

    def _step(self, sock):
        """Read, handle and write available data; return whether the link stays open."""
        if self._is_readable or self.is_stopping or self._is_silent(self._clock()):
            self._is_readable = False
            self._read(sock)
        now = self._clock()
        self._check_silence(now)
        if now >= self._ping_at:
            self._ping_at = self._next_ping_at(now)
            self._ping_if_quiet(now)
        if self.is_stopping:
            return self._step_to_the_end(sock, now)
        self._write(sock)
        while self._take_messages():
            self._write(sock)
        return self._protocol.state in (State.CONNECTING, State.OPEN)

    def _next_ping_at(self, now):
        """Return the next time of pings, which is that of all links of this host.

        One wake-up then serves all links, and another one most of the answers.
        """
        interval_s = self._timing.ping_interval_s
        periods = math.floor((now - self._ping_phase_s) / interval_s) + 1
        return self._ping_phase_s + periods * interval_s

    def _ping_if_quiet(self, now):
        """Send a ping unless both hosts have sent data just now."""
        if not self._can_send() or not self.dialled_id:
            return
        fresh_s = self._timing.ping_interval_s * FRESH_SHARE
        if now - min(self.heard_at, self._sent_at) < fresh_s:
            return
        self._protocol.send_ping(b"")
        self._sent_at = now

    def _take_messages(self):
        """Take messages to send up to the limit; return whether there were any.

        Several short ones then take one system call.
        """
        is_any = False
        # ``_can_send`` also covers a close frame that ``_read`` has just received.
        while self._can_send() and len(self._unsent) < UNSENT_LIMIT_BYTES:
            data = self._owner.next_data(self)
            if data is None:
                break
            self._protocol.send_binary(data)
            self._sent_at = self._clock()
            self._collect_unsent()
            is_any = True
        return is_any

    def _collect_unsent(self):
        for part in self._protocol.data_to_send():
            self._unsent += part

    def _step_to_the_end(self, sock, now):
        """Send the close frame once; return whether the other host may still send."""
        if self._close_sent_at is None:
            if not self.peer_id or self._protocol.state is not State.OPEN:
                self._write(sock)
                return False
            self._protocol.send_close(frames.CloseCode.GOING_AWAY)
            self._close_sent_at = now
        self._write(sock)
        return not (
            self._is_ended
            or self._protocol.close_rcvd is not None
            or now - self._close_sent_at >= CLOSE_TIMEOUT_S
        )

    def _can_send(self):
        return bool(self.peer_id) and self._protocol.state is State.OPEN

    def _is_silent(self, now):
        return now - self.heard_at >= self._timing.silence_timeout_s

    def _check_silence(self, now):
        if self._is_silent(now):
            raise errors.ProxyError(
                errors.ErrorKind.PROTOCOL_ERROR,
                f"no data for {self._timing.silence_timeout_s} s",
            )
        if (
            not self.peer_id
            and now - self._opened_at >= self._timing.handshake_timeout_s
        ):
            raise errors.ProxyError(
                errors.ErrorKind.PEER_REFUSED,
                f"no hello within {self._timing.handshake_timeout_s} s",
            )

    def _read(self, sock):
        while True:
            try:
                data = sock.recv(RECEIVE_BUFFER_BYTES)
            except OSError as error:
                if error.errno in _WOULD_BLOCK:
                    return
                raise
            if not data and self.is_stopping:
                self._is_ended = True
                return
            if not data:
                raise ConnectionResetError("the other host closed the connection")
            self.heard_at = self._clock()
            self._protocol.receive_data(data)
            for event in self._protocol.events_received():
                self._on_event(event)
            if self._protocol.close_rcvd is not None:
                return
            if self._websocket_failure():
                raise _protocol_error(
                    f"no valid websocket data: {self._websocket_failure()!s:.200}"
                )
            self._check_handshake_size(len(data))
            if len(data) < RECEIVE_BUFFER_BYTES:
                return  # the watcher of the socket tells of further data

    def _check_handshake_size(self, received_bytes):
        if self.peer_id:
            return
        self._handshake_bytes += received_bytes
        if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
            raise _protocol_error(
                f"more than {MAX_HANDSHAKE_BYTES} bytes before the hello"
            )

    def _websocket_failure(self):
        return self._protocol.parser_exc or self._protocol.handshake_exc

    def _write(self, sock):
        self._collect_unsent()
        while self._unsent:
            try:
                sent_bytes = sock.send(self._unsent)
            except OSError as error:
                if error.errno in _WOULD_BLOCK:
                    return
                raise
            del self._unsent[:sent_bytes]

    def _on_event(self, event):
        if isinstance(event, http11.Request):
            response = self._protocol.accept(event)
            self._protocol.send_response(response)
        elif isinstance(event, http11.Response):
            if (
                isinstance(self._handshake, hello.Initiator)
                and not self._websocket_failure()
            ):
                self._send(self._handshake.make_hello())
        elif event.opcode is frames.Opcode.BINARY and event.fin:
            self._on_frame(bytes(event.data))
        elif event.opcode not in frames.CTRL_OPCODES:
            raise _protocol_error("only whole binary frames are accepted")

    def _on_frame(self, data):
        if self.peer_id:
            message = wire.decode(data)
            self._owner.received(self, message)
            return
        if len(data) > hello.MAX_HELLO_BYTES:
            raise _protocol_error(f"hello of {len(data)} bytes")
        answer = self._handshake.receive(wire.decode(data))
        if answer is not None:
            self._send(answer)
        if self._handshake.peer_id:
            self.peer_id = self._handshake.peer_id
            self.peer_data_centre = self._handshake.peer_data_centre
            self._owner.opened(self)

    def _send(self, message):
        if self._protocol.state is not State.OPEN:
            raise ConnectionResetError("the other host closed the link")
        self._protocol.send_binary(wire.encode(message))

    def _send_refusal(self, sock, error):
        """Send the reason if the handshake has not ended, then write pending data.

        Data that the socket does not accept now is lost.
        """
        try:
            if not self.peer_id and self._protocol.state is State.OPEN:
                refusal = hello.HelloRefused(code=error.kind.value, detail=error.detail)
                self._send(refusal)
                self._protocol.send_close(frames.CloseCode.POLICY_VIOLATION)
            self._write(sock)
        except OSError:
            pass  # the other host has already closed the socket


def _ping_phase_s(host_id, interval_s):
    """Return the phase of a host's pings, so that not all hosts ping at once."""
    return zlib.crc32(host_id.encode()) / 2**32 * interval_s


def _protocol_error(detail):
    return errors.ProxyError(errors.ErrorKind.PROTOCOL_ERROR, detail)
