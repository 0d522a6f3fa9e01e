"""Links between hosts: who is connected, dialling, replacement, queues."""

import random

import gevent
import gevent.pool
import gevent.server

from kumquatproxy import clock, errors, logs, wire
from kumquatproxy.membership import hello, link, sendqueue

MAX_LINKS = 2000
MIN_REDIAL_S = 0.1
MAX_REDIAL_S = 2.0
IDLE_AFTER_S = 300.0
"""In a data centre of 76 hosts each pair exchanges a probe about every 40 s, so links
between live hosts stay open and those to hosts that are gone close."""


class Settings:
    """Hold the settings of the links of one host."""

    __slots__ = ("address", "identity", "timing")

    def __init__(self, address, identity, timing=None):
        self.address: str = address  # "IP:port" to listen at
        self.identity: hello.Identity = identity
        self.timing: link.Timing = timing or link.Timing()


class _Peer:
    """Hold the queue and the links of one other host."""

    __slots__ = ("address", "dialling", "links", "queue", "redial_s", "used_at")

    def __init__(self):
        self.address = ""
        self.queue = sendqueue.SendQueue()
        self.links: list[link.Link] = []
        self.dialling: link.Link | None = None
        self.redial_s = MIN_REDIAL_S
        self.used_at = 0.0

    def best_link(self):
        """Return the link that was heard last, or None."""
        return max(self.links, key=lambda one: one.heard_at, default=None)


class Transport:
    """Exchange messages with other hosts; ``on_message(host_id, message)``.

    The callback runs in the greenlet of a link and must not wait. ``on_refused(error)``
    is called for each link that was refused or replaced.
    """

    def __init__(self, settings, on_message, on_refused=None, clock=clock.now):
        self._settings: Settings = settings
        self._on_message = on_message
        self._on_refused = on_refused or (lambda error: None)
        self._clock = clock
        self._log = logs.Log("link")
        self._memory = hello.NonceMemory()
        self._peers_by_id: dict[str, _Peer] = {}
        self._links: set[link.Link] = set()
        self._greenlets = gevent.pool.Group()
        self._is_stopping = False
        host, _, port = settings.address.rpartition(":")
        self._server = gevent.server.StreamServer(
            (host, int(port)), self._accept, spawn=gevent.pool.Pool(MAX_LINKS)
        )

    @property
    def address(self) -> str:
        """Return the address at which this host listens, once it is started."""
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen for links; raise OSError if the address is taken."""
        self._server.start()

    def stop(self) -> None:
        """Close all links and stop listening."""
        self._is_stopping = True
        self._server.close()
        for one in list(self._links):
            one.stop()
        self._greenlets.join(timeout=self._settings.timing.silent_s)
        self._greenlets.kill()
        self._server.stop(timeout=0.1)

    def learn(self, host_id: str, address: str) -> None:
        """Set the address at which a host is dialled."""
        self._peer(host_id).address = address

    def forget(self, host_id: str) -> None:
        """Close the links to a host that is gone, and drop its queue."""
        peer = self._peers_by_id.pop(host_id, None)
        if peer is not None:
            for one in [*peer.links, *([peer.dialling] if peer.dialling else [])]:
                one.stop()

    def connected(self) -> list[str]:
        """Return the hosts to which there is a link, in order."""
        return sorted(name for name, peer in self._peers_by_id.items() if peer.links)

    def dropped(self) -> int:
        """Return the number of messages that were dropped from queues."""
        return sum(peer.queue.dropped for peer in self._peers_by_id.values())

    def send(self, host_id: str, message: wire.Message, is_droppable=True) -> bool:
        """Queue a message and dial the host if there is no link.

        Return whether it was queued; raise ProxyError if it is too large.
        """
        return self.send_encoded(host_id, wire.encode(message), is_droppable)

    def send_encoded(self, host_id: str, data: bytes, is_droppable=True) -> bool:
        """Queue a message that is encoded already, as for many hosts at once."""
        peer = self._peer(host_id)
        now = self._clock()
        peer.used_at = now
        is_queued = peer.queue.put(data, is_droppable, now)
        best = peer.best_link()
        if best is not None:
            best.wake()
        else:
            self._dial(host_id, peer)
        return is_queued

    def _peer(self, host_id):
        return self._peers_by_id.setdefault(host_id, _Peer())

    def _dial(self, host_id, peer):
        if peer.dialling is None and peer.address and not self._is_stopping:
            peer.dialling = self._new_link(host_id)
            self._greenlets.spawn(peer.dialling.run, None, peer.address)

    def _new_link(self, dialled_id=""):
        settings = self._settings
        one = link.Link(
            self,
            settings.identity,
            settings.timing,
            self._memory,
            self._clock,
            dialled_id,
        )
        self._links.add(one)
        return one

    def _accept(self, sock, address):
        self._new_link().run(sock)

    # Called by links, in their greenlets

    def opened(self, one: link.Link) -> None:
        """Use a link whose hello is done; it replaces an earlier one of its kind."""
        peer = self._peer(one.peer_id)
        if peer.dialling is one:
            peer.dialling = None
        peer.redial_s = MIN_REDIAL_S
        peer.used_at = self._clock()
        for other in peer.links:
            if bool(other.dialled_id) == bool(one.dialled_id):
                other.stop()
        peer.links.append(one)
        self._drop_double(peer)
        self._log.write(self._clock(), f"{one.peer_id} connected")

    def _drop_double(self, peer):
        """Close the own one of two links that both hosts dialled at the same time.

        Of the two, the link dialled by the host with the lower id stays.
        """
        dialled = [one for one in peer.links if one.dialled_id]
        accepted = [one for one in peer.links if not one.dialled_id]
        for one in dialled:
            if accepted and self._settings.identity.host_id > one.peer_id:
                one.stop()

    def received(self, one: link.Link, message: wire.Message) -> None:
        """Pass a message on."""
        peer = self._peers_by_id.get(one.peer_id)
        if peer is not None:
            peer.used_at = self._clock()
        self._on_message(one.peer_id, message)

    def next_data(self, one: link.Link) -> bytes | None:
        """Return the next message for a link, if it is the one in use."""
        peer = self._peers_by_id.get(one.peer_id)
        if peer is None or peer.best_link() is not one:
            return None
        data = peer.queue.pop(self._clock())
        if data is None and self._clock() - peer.used_at > IDLE_AFTER_S:
            one.stop()
        return data

    def closed(self, one: link.Link, error: Exception | None) -> None:
        """Note the end of a link and dial again if the host is still needed."""
        self._links.discard(one)
        host_id = one.peer_id or one.dialled_id
        if isinstance(error, errors.ProxyError):
            self._on_refused(error)
        if error is not None:
            name = host_id or "an unknown host"
            self._log.write(self._clock(), f"link to {name} closed: {error}")
        peer = self._peers_by_id.get(host_id)
        if peer is None:
            return
        if one in peer.links:
            peer.links.remove(one)
        if peer.dialling is one:
            peer.dialling = None
        is_needed = self._clock() - peer.used_at <= IDLE_AFTER_S
        if error is not None and is_needed and not peer.links:
            self._redial_later(host_id, peer)
        best = peer.best_link()
        if best is not None:
            best.wake()

    def _redial_later(self, host_id, peer):
        if self._is_stopping:
            return
        wait_s = peer.redial_s * (0.5 + random.random())
        peer.redial_s = min(MAX_REDIAL_S, peer.redial_s * 2)
        self._greenlets.add(gevent.spawn_later(wait_s, self._redial, host_id))

    def _redial(self, host_id):
        peer = self._peers_by_id.get(host_id)
        if peer is not None and not peer.links:
            self._dial(host_id, peer)
