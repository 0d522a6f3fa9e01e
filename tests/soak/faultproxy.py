"""A loopback proxy that delays, resets, silences and cuts connections one way."""

import gevent
import gevent.server
import gevent.socket


class FaultProxy:
    """Forward connections from one address to another, with faults from outside."""

    def __init__(self, listen, target):
        self.target = target
        self.delay_s = 0.0
        self.silent = set()  # "up" (to the target), "down", or both
        self._pairs = []
        self._server = gevent.server.StreamServer(listen, self._handle)
        self._server.start()

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

    def _pump(self, source, sink, way):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    return
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                if way not in self.silent:
                    sink.sendall(data)
        except OSError:
            return

    def reset(self):
        """Cut all open connections; new ones work."""
        for pair in list(self._pairs):
            for sock in pair:
                try:
                    sock.shutdown(gevent.socket.SHUT_RDWR)
                except OSError:
                    continue  # its other end was faster

    def heal(self):
        """Forward everything again; what was silenced stays lost."""
        self.delay_s = 0.0
        if self.silent:
            self.silent = set()
            self.reset()

    def close(self):
        self._server.stop(timeout=0)
        self.reset()
