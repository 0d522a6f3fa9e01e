"""One websocket link to another host, owned by one greenlet."""

import errno
import os
import socket
from typing import Any

import gevent
import gevent.event
import gevent.socket
from websockets import client, frames, http11, server, uri
from websockets.protocol import State

from kumquatproxy import errors, wire
from kumquatproxy.membership import hello

RECEIVED_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 64 * 1024
"""Messages stay in the queue, where they may be dropped, while so much is unsent."""

READ = 1
WRITE = 2
PATH = "ws://peer/link"

_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK)


class Timing:
    """Hold the intervals of links, in seconds."""

    __slots__ = ("dial_s", "hello_s", "ping_s", "silent_s")

    def __init__(self, ping_s=1.0, silent_s=3.0, dial_s=2.0, hello_s=3.0):
        self.ping_s: float = ping_s
        self.silent_s: float = silent_s  # a link without any reply is replaced
        self.dial_s: float = dial_s
        self.hello_s: float = hello_s


class Link:
    """Carry messages over one socket; ``run`` is the whole life of the link.

    ``owner`` gets ``opened(link)``, ``received(link, message)`` and
    ``closed(link, error)`` and gives messages by ``next_data(link)``.
    """

    def __init__(self, owner, identity, timing, memory, clock, dialled_id=""):
        self.dialled_id: str = dialled_id  # the host to reach, "" for an accepted link
        self.peer_id = ""
        self.heard_at = clock()
        self._owner = owner
        self._timing: Timing = timing
        self._clock = clock
        self._is_stopping = False
        self._ping_at = clock() + timing.ping_s
        self._opened_at = clock()
        self._unsent = bytearray()
        self._wake = gevent.event.Event()
        self._hello: hello.Initiator | hello.Responder
        self._protocol: Any
        nonce = os.urandom(hello.NONCE_BYTES)
        limit = wire.MAX_FRAME_BYTES
        if dialled_id:
            self._hello = hello.Initiator(identity, dialled_id, nonce)
            self._protocol = client.ClientProtocol(uri.parse_uri(PATH), max_size=limit)
        else:
            self._hello = hello.Responder(identity, nonce, memory)
            self._protocol = server.ServerProtocol(max_size=limit)

    def wake(self) -> None:
        """Let the link look for messages to send."""
        self._wake.set()

    def stop(self) -> None:
        """Close the link soon."""
        self._is_stopping = True
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
        place = (host, int(port))
        return gevent.socket.create_connection(place, self._timing.dial_s)

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        loop = gevent.get_hub().loop
        readable = loop.io(sock.fileno(), READ)
        writable = loop.io(sock.fileno(), WRITE)
        readable.start(self._wake.set)
        try:
            if self.dialled_id:
                self._protocol.send_request(self._protocol.connect())
            while self._step(sock):
                self._watch_writable(writable)
                self._wake.wait(self._wait_s())
                self._wake.clear()
        except errors.ProxyError as error:
            self._tell_refusal(sock, error)
            raise
        finally:
            for watcher in (readable, writable):
                watcher.stop()
                watcher.close()

    def _watch_writable(self, writable):
        if self._unsent and not writable.active:
            writable.start(self._wake.set)
        elif not self._unsent and writable.active:
            writable.stop()

    def _wait_s(self):
        now = self._clock()
        due = min(self._ping_at, self.heard_at + self._timing.silent_s)
        return max(0.001, due - now)

    def _step(self, sock):
        """Read, handle and write what there is; return whether to go on."""
        self._read(sock)
        now = self._clock()
        self._check_silence(now)
        if self.peer_id and now >= self._ping_at:
            self._ping_at = now + self._timing.ping_s
            if self.dialled_id:
                self._protocol.send_ping(b"")
        elif not self.peer_id:
            self._ping_at = now + self._timing.ping_s
        if self._is_stopping:
            if self._protocol.state is State.OPEN:
                self._protocol.send_close(frames.CloseCode.GOING_AWAY)
            self._write(sock)
            return False
        self._write(sock)
        # A close frame of the other end may just have been read.
        while self._may_send() and len(self._unsent) < MAX_UNSENT_BYTES:
            data = self._owner.next_data(self)
            if data is None:
                break
            self._protocol.send_binary(data)
            self._write(sock)
        return self._protocol.state in (State.CONNECTING, State.OPEN)

    def _may_send(self):
        return bool(self.peer_id) and self._protocol.state is State.OPEN

    def _check_silence(self, now):
        if now - self.heard_at >= self._timing.silent_s:
            raise errors.ProxyError(
                errors.ErrorKind.PROTOCOL_ERROR,
                f"no data for {self._timing.silent_s} s",
            )
        if not self.peer_id and now - self._opened_at >= self._timing.hello_s:
            raise errors.ProxyError(
                errors.ErrorKind.PEER_REFUSED,
                f"no hello within {self._timing.hello_s} s",
            )

    def _read(self, sock):
        while True:
            try:
                data = sock.recv(RECEIVED_BYTES)
            except OSError as error:
                if error.errno in _WOULD_BLOCK:
                    return
                raise
            if not data:
                raise ConnectionResetError("the other host closed the connection")
            self.heard_at = self._clock()
            self._protocol.receive_data(data)
            for event in self._protocol.events_received():
                self._on_event(event)
            if self._protocol.close_rcvd is not None:
                return
            if self._failure():
                raise _malformed(f"no valid websocket data: {self._failure()!s:.200}")

    def _failure(self):
        return self._protocol.parser_exc or self._protocol.handshake_exc

    def _write(self, sock):
        for part in self._protocol.data_to_send():
            self._unsent += part
        while self._unsent:
            try:
                count = sock.send(self._unsent)
            except OSError as error:
                if error.errno in _WOULD_BLOCK:
                    return
                raise
            del self._unsent[:count]

    def _on_event(self, event):
        if isinstance(event, http11.Request):
            response = self._protocol.accept(event)
            self._protocol.send_response(response)
        elif isinstance(event, http11.Response):
            if isinstance(self._hello, hello.Initiator) and not self._failure():
                self._send(self._hello.first())
        elif event.opcode is frames.Opcode.BINARY and event.fin:
            self._on_frame(bytes(event.data))
        elif event.opcode not in frames.CTRL_OPCODES:
            raise _malformed("only whole binary frames are accepted")

    def _on_frame(self, data):
        if self.peer_id:
            message = wire.decode(data)
            self._owner.received(self, message)
            return
        if len(data) > hello.MAX_HELLO_BYTES:
            raise _malformed(f"hello of {len(data)} bytes")
        answer = self._hello.receive(wire.decode(data))
        if answer is not None:
            self._send(answer)
        if self._hello.peer_id:
            self.peer_id = self._hello.peer_id
            self._owner.opened(self)

    def _send(self, message):
        self._protocol.send_binary(wire.encode(message))

    def _tell_refusal(self, sock, error):
        """Tell the other host the reason, as far as the socket takes it now."""
        try:
            if not self.peer_id and self._protocol.state is State.OPEN:
                refusal = hello.HelloRefused(code=error.kind.value, detail=error.detail)
                self._send(refusal)
                self._protocol.send_close(frames.CloseCode.POLICY_VIOLATION)
            self._write(sock)
        except OSError:
            pass  # the socket is already closed by the other side


def _malformed(detail):
    return errors.ProxyError(errors.ErrorKind.PROTOCOL_ERROR, detail)
