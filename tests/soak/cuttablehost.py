"""Run an entry host that can be cut off from all backend servers, or all other hosts.

``SOAK_CUT_PORTS`` lists the ports of those that it can be cut off from.

``SOAK_HOST_IP`` is the address from which it connects to servers, which tell hosts
apart by it.

``SOAK_CUT_FILE`` names a file; while it exists, its text says how the host is cut off:
``hang`` (nothing arrives on old and new connections), ``reset`` (old connections end,
new ones are refused) or ``refuse`` (old connections go on, new ones are refused).
"""

import os
import pathlib
import socket
import sys
import weakref

import gevent
import gevent.socket

from kumquatproxy import cli

POLL_INTERVAL_S = 0.02
MODES = ("hang", "reset", "refuse")


class Cut:
    """Cut off the connections to some ports."""

    def __init__(self, path, ports, host_ip):
        self._path = path
        self._ports = ports
        self._source = (host_ip, 0)
        self._mode = ""
        self._socks = weakref.WeakSet()
        self._silent_ends = []
        self._connect = gevent.socket.create_connection

    def connect(self, address, timeout=None):
        """Connect as ``gevent.socket.create_connection`` does, unless cut off."""
        if address[1] not in self._ports:
            return self._connect(address, timeout)
        if self._mode == "hang":
            gevent.sleep(timeout or 0.0)
            raise TimeoutError("timed out")
        if self._mode:
            raise ConnectionRefusedError(111, "Connection refused")
        sock = self._connect(address, timeout, source_address=self._source)
        self._socks.add(sock)
        return sock

    def run(self):
        """Follow the file."""
        while True:
            mode = self._path.read_text() if self._path.exists() else ""
            if mode != self._mode:
                self._mode = mode
                for sock in list(self._socks):
                    self._cut_off(sock)
            gevent.sleep(POLL_INTERVAL_S)

    def _cut_off(self, sock):
        if sock.fileno() < 0 or self._mode not in ("hang", "reset"):
            return
        if self._mode == "hang":
            silent, end = socket.socketpair()
            silent.setblocking(False)
            os.dup2(silent.fileno(), sock.fileno())
            silent.close()
            self._silent_ends.append(end)
        else:
            sock.shutdown(socket.SHUT_RDWR)
        self._socks.discard(sock)


def main():
    """Start the host with a greenlet that cuts it off."""
    path = pathlib.Path(os.environ["SOAK_CUT_FILE"])
    ports = {int(port) for port in os.environ["SOAK_CUT_PORTS"].split(",")}
    cut = Cut(path, ports, os.environ["SOAK_HOST_IP"])
    gevent.socket.create_connection = cut.connect
    gevent.spawn(cut.run)
    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
