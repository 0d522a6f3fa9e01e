"""A loopback proxy that delays, resets or blocks traffic, also in one direction."""

import gevent
import gevent.server
import gevent.socket


class FaultProxy:
    """Forward connections from one address to another, with injected faults."""

    def __init__(self, listen, target):
        self.address = f"{listen[0]}:{listen[1]}"
        self.target = target
        self._listen = listen
        self.delay_s = 0.0
        self.blocked_directions = set()  # "up" (to the target), "down" or both
        self._pairs = []
        self._server = None
        self.open_listener()

    def open_listener(self):
        """Accept connections, unless that is so already."""
        if self._server is None:
            self._server = gevent.server.StreamServer(self._listen, self._handle)
            self._server.start()

    def close_listener(self):
        """Refuse connections; open ones go on."""
        server, self._server = self._server, None
        if server is not None:
            server.stop(timeout=0)

    def _handle(self, sock, address):
        try:
            other = gevent.socket.create_connection(self.target, 2.0)
        except OSError:
            return
        other.settimeout(None)
        pair = (sock, other)
        self._pairs.append(pair)
        pumps = [
            gevent.spawn(self._pump, sock, other, "up"),
            gevent.spawn(self._pump, other, sock, "down"),
        ]
        gevent.joinall(pumps, count=1)
        gevent.killall(pumps)
        other.close()
        self._pairs.remove(pair)

    def _pump(self, source, sink, direction):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    return
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                if direction not in self.blocked_directions:
                    sink.sendall(data)
        except OSError:
            return

    def reset(self):
        """Shut down all open connections; new ones work."""
        for pair in list(self._pairs):
            for sock in pair:
                try:
                    sock.shutdown(gevent.socket.SHUT_RDWR)
                except OSError:
                    continue  # already closed by its peer

    def clear_faults(self):
        """Remove delay and block; reset the connections if a direction was blocked.

        Data that was blocked is lost.
        """
        self.delay_s = 0.0
        if self.blocked_directions:
            self.blocked_directions = set()
            self.reset()

    def close(self):
        self.close_listener()
        self.reset()
