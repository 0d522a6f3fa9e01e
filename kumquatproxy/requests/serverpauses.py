"""Pauses that backend servers ask one host for, by their addresses.

They are kept as in ``gateway.requestedpauses``, for calls and for orders of a host.
"""

import itertools
import random

from kumquatproxy.fleet import servers
from kumquatproxy.gateway import calls, framing, requestedpauses


class ServerPauses:
    """Track the pauses of the servers at all addresses that a host connects to."""

    __slots__ = ("_lifetimes", "_pauses", "_servers_by_address", "exempt_addresses")

    def __init__(self, rng: random.Random):
        self._pauses = requestedpauses.RequestedPauses(rng)
        # Servers that have asked for a pause, each as a lifetime of its own.
        self._lifetimes = itertools.count(1)
        self._servers_by_address: dict[str, servers.Announcement] = {}
        # Of other hosts, which refuse a call for its own sake and not for theirs.
        self.exempt_addresses: set[str] = set()

    def record_answer(
        self, address: str, head: calls.ResponseHead, sent_at: float, now: float
    ) -> None:
        """Record whether the server at an address asks for a pause in an answer."""
        server = self._servers_by_address.get(address)
        asks = head.status == requestedpauses.PAUSE_STATUS and framing.header(
            head.headers, b"retry-after"
        )
        if address in self.exempt_addresses or (server is None and not asks):
            return
        if server is None:
            lifetime = next(self._lifetimes)
            server = servers.Announcement(address, "", address, "", lifetime)
            self._servers_by_address[address] = server
        head.names_pause = bool(asks)
        head.pause_s = framing.retry_after_s(head.headers)
        self._pauses.record_answer(server, head, sent_at, now)

    def record_start(self, address: str) -> None:
        """Record that a request to an address begins."""
        server = self._servers_by_address.get(address)
        if server is not None:
            self._pauses.record_start(server)

    def left_s(self, address: str, now: float) -> float:
        """Return for how long nothing may be sent to an address, else 0.0."""
        server = self._servers_by_address.get(address)
        return 0.0 if server is None else self._pauses.left_s(server, now)

    def unusable_addresses(self, now: float) -> dict[str, float]:
        """Return the times after which further requests may go to paused servers."""
        if not self._servers_by_address:
            return {}
        self._pauses.expire(now)
        self._servers_by_address = {
            address: server
            for address, server in self._servers_by_address.items()
            if self._pauses.knows(server)
        }
        waits_s = {
            address: self._pauses.usable_in_s(server, now)
            for address, server in self._servers_by_address.items()
        }
        return {address: wait_s for address, wait_s in waits_s.items() if wait_s > 0.0}

    def forget(self, address: str) -> None:
        """Forget the pause of a server that has started again or is gone."""
        self._servers_by_address.pop(address, None)
