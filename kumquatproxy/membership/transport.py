"""Links between hosts: dialling, redialling, replacement and send queues."""

import random

import gevent
import gevent.pool
import gevent.server

from kumquatproxy import clock, errors, logs, wire
from kumquatproxy.membership import hello, link, sendqueue

MAX_ACCEPTED_LINKS = 2000
MIN_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 2.0
IDLE_TIMEOUT_S = 300.0
"""A link without messages for this time is closed, and a broken link is redialled only
within it. With 76 hosts in a data centre each pair exchanges a probe about every 40 s,
so links between live hosts of a data centre stay open."""


class Settings:
    """Hold the settings of the transport of one host."""

    __slots__ = ("address", "identity", "timing")

    def __init__(self, address, identity, timing=None):
        self.address: str = address  # "IP:port" to listen at
        self.identity: hello.Identity = identity
        self.timing: link.LinkTiming = timing or link.LinkTiming()


class Traffic:
    """Count the messages that were queued, and their bytes, by kind and distance."""

    __slots__ = ("bytes_by_kind", "messages_by_kind")

    def __init__(self):
        # By tag and whether the receiver is in the same data centre.
        self.messages_by_kind: dict[tuple[str, bool], int] = {}
        self.bytes_by_kind: dict[tuple[str, bool], int] = {}

    def add(self, tag: str, is_near: bool, size: int) -> None:
        """Count one message."""
        kind = (tag, is_near)
        self.messages_by_kind[kind] = self.messages_by_kind.get(kind, 0) + 1
        self.bytes_by_kind[kind] = self.bytes_by_kind.get(kind, 0) + size


class _Peer:
    """Hold the send queue and the links of one other host."""

    __slots__ = (
        "address",
        "data_centre",
        "dialling_link",
        "last_used_at",
        "links",
        "queue",
        "redial_delay_s",
    )

    def __init__(self):
        self.address = ""
        self.data_centre = ""  # empty before the first link
        self.queue = sendqueue.SendQueue()
        self.links: list[link.Link] = []
        self.dialling_link: link.Link | None = None
        self.redial_delay_s = MIN_REDIAL_DELAY_S
        self.last_used_at = 0.0

    def best_link(self):
        """Return the link that received data last and is not being closed, or None."""
        if len(self.links) == 1:
            return None if self.links[0].is_stopping else self.links[0]
        usable = [peer_link for peer_link in self.links if not peer_link.is_stopping]
        return max(usable, key=lambda peer_link: peer_link.heard_at, default=None)


class Transport:
    """Exchange messages with other hosts.

    ``on_message(host_id, message)`` is called for each message, in the greenlet of a
    link, and must not block. ``on_link_error(error)`` is called for each link that
    closes with a ProxyError, and ``on_opened(host_id)`` for each that opens: messages
    that an earlier link carried may be lost.
    """

    def __init__(
        self,
        settings,
        on_message,
        on_link_error=None,
        clock=clock.now,
        on_opened=None,
    ):
        self._settings: Settings = settings
        self._on_message = on_message
        self._on_link_error = on_link_error or (lambda error: None)
        self._on_opened = on_opened or (lambda host_id: None)
        self._clock = clock
        self.traffic = Traffic()
        self._log = logs.Log("link")
        self._nonce_cache = hello.NonceCache()
        self._peers_by_id: dict[str, _Peer] = {}
        self._links: set[link.Link] = set()
        self._greenlets = gevent.pool.Group()
        self._is_stopping = False
        host, _, port = settings.address.rpartition(":")
        self._server = gevent.server.StreamServer(
            (host, int(port)), self._accept, spawn=gevent.pool.Pool(MAX_ACCEPTED_LINKS)
        )

    @property
    def address(self) -> str:
        """Return the address on which the started transport listens."""
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to listen for links; raise OSError if the address is in use."""
        self._server.start()

    def stop(self) -> None:
        """Close all links and stop listening."""
        self._is_stopping = True
        self._server.close()
        for peer_link in list(self._links):
            peer_link.stop()
        self._greenlets.join(timeout=self._settings.timing.silence_timeout_s)
        self._greenlets.kill()
        self._server.stop(timeout=0.1)

    def set_address(self, host_id: str, address: str) -> None:
        """Set the address at which to dial a host."""
        self._peer(host_id).address = address

    def remove_host(self, host_id: str) -> None:
        """Close the links to a host and drop its send queue."""
        peer = self._peers_by_id.pop(host_id, None)
        if peer is not None:
            for peer_link in [
                *peer.links,
                *([peer.dialling_link] if peer.dialling_link else []),
            ]:
                peer_link.stop()

    def connected(self) -> list[str]:
        """Return the sorted ids of the hosts with an open link."""
        return sorted(
            host_id for host_id, peer in self._peers_by_id.items() if peer.links
        )

    def dropped(self) -> int:
        """Return the number of messages dropped from the current send queues."""
        return sum(peer.queue.dropped for peer in self._peers_by_id.values())

    def send(self, host_id: str, message: wire.Message, is_droppable=True) -> bool:
        """Queue a message for a host and dial the host if there is no link.

        Return whether the message was queued; raise ProxyError if it is too large.
        """
        return self.send_encoded(host_id, wire.encode(message), is_droppable)

    def send_encoded(self, host_id: str, data: bytes, is_droppable=True) -> bool:
        """Queue an encoded message and return whether it was queued.

        This saves encoding a message again for each of many hosts.
        """
        peer = self._peer(host_id)
        now = self._clock()
        peer.last_used_at = now
        is_queued = peer.queue.put(data, is_droppable, now)
        is_near = peer.data_centre == self._settings.identity.data_centre
        self.traffic.add(wire.encoded_tag(data), is_near, len(data))
        best = peer.best_link()
        if best is not None:
            best.wake()
        else:
            self._dial(host_id, peer)
        return is_queued

    def _peer(self, host_id):
        return self._peers_by_id.setdefault(host_id, _Peer())

    def _dial(self, host_id, peer):
        if peer.dialling_link is None and peer.address and not self._is_stopping:
            peer.dialling_link = self._new_link(host_id)
            self._greenlets.spawn(peer.dialling_link.run, None, peer.address)

    def _new_link(self, dialled_id=""):
        settings = self._settings
        peer_link = link.Link(
            self,
            settings.identity,
            settings.timing,
            self._nonce_cache,
            self._clock,
            dialled_id,
        )
        self._links.add(peer_link)
        return peer_link

    def _accept(self, sock, address):
        self._new_link().run(sock)

    # Callbacks of the links, called in their greenlets

    def opened(self, peer_link: link.Link) -> None:
        """Start to use an authenticated link.

        It replaces an earlier link of the same direction.
        """
        peer = self._peer(peer_link.peer_id)
        if peer.dialling_link is peer_link:
            peer.dialling_link = None
        peer.redial_delay_s = MIN_REDIAL_DELAY_S
        peer.last_used_at = self._clock()
        peer.data_centre = peer_link.peer_data_centre
        for other in peer.links:
            if bool(other.dialled_id) == bool(peer_link.dialled_id):
                other.stop()
        peer.links.append(peer_link)
        self._close_duplicate(peer)
        self._log.write(self._clock(), f"{peer_link.peer_id} connected")
        self._on_opened(peer_link.peer_id)

    def _close_duplicate(self, peer):
        """Close one of two links if each host has dialled the other.

        The link dialled by the host with the lower id stays; the host with the higher
        id closes the one that it dialled.
        """
        dialled = [peer_link for peer_link in peer.links if peer_link.dialled_id]
        accepted = [peer_link for peer_link in peer.links if not peer_link.dialled_id]
        for peer_link in dialled:
            if accepted and self._settings.identity.host_id > peer_link.peer_id:
                peer_link.stop()

    def received(self, peer_link: link.Link, message: wire.Message) -> None:
        """Deliver a received message."""
        peer = self._peers_by_id.get(peer_link.peer_id)
        if peer is not None:
            peer.last_used_at = self._clock()
        self._on_message(peer_link.peer_id, message)

    def next_data(self, peer_link: link.Link) -> bytes | None:
        """Return the next encoded message if this is the best link of its host.

        Stop the link if there is no message and the host has been idle for
        ``IDLE_TIMEOUT_S``.
        """
        peer = self._peers_by_id.get(peer_link.peer_id)
        if peer is None or peer.best_link() is not peer_link:
            return None
        now = self._clock()
        data = peer.queue.pop(now)
        if data is None and now - peer.last_used_at > IDLE_TIMEOUT_S:
            peer_link.stop()
        return data

    def closed(self, peer_link: link.Link, error: Exception | None) -> None:
        """Handle the end of a link.

        After an error redial the host if it has no other link and a message was queued
        for it or received from it, or a link opened, within ``IDLE_TIMEOUT_S``.
        """
        self._links.discard(peer_link)
        host_id = peer_link.peer_id or peer_link.dialled_id
        if isinstance(error, errors.ProxyError):
            self._on_link_error(error)
        if error is not None:
            name = host_id or "unauthenticated host"
            self._log.write(self._clock(), f"link to {name} closed: {error}")
        peer = self._peers_by_id.get(host_id)
        if peer is None:
            return
        if peer_link in peer.links:
            peer.links.remove(peer_link)
        if peer.dialling_link is peer_link:
            peer.dialling_link = None
        is_needed = self._clock() - peer.last_used_at <= IDLE_TIMEOUT_S
        if error is not None and is_needed and not peer.links:
            self._schedule_redial(host_id, peer)
        best = peer.best_link()
        if best is not None:
            best.wake()

    def _schedule_redial(self, host_id, peer):
        if self._is_stopping:
            return
        delay_s = peer.redial_delay_s * (0.5 + random.random())
        peer.redial_delay_s = min(MAX_REDIAL_DELAY_S, peer.redial_delay_s * 2)
        self._greenlets.add(gevent.spawn_later(delay_s, self._redial, host_id))

    def _redial(self, host_id):
        peer = self._peers_by_id.get(host_id)
        if peer is not None and not peer.links:
            self._dial(host_id, peer)
