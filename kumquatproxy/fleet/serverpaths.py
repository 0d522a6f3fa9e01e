"""Paths from an entry host to servers, and through other hosts while it has none."""

import collections.abc

import gevent

from kumquatproxy import clock, logs
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import (
    backendconnections,
    forwarding,
    reachability,
    serverselection,
)

# Interval at which paths are checked, and the time in which a server accepts.
CHECK_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.3
# A host that serves nobody leaves the load balancer after this time.
MAX_USELESS_S = 1.0


class ServerPaths:
    """Test the paths to servers, and find the hosts that take calls without one.

    ``on_change()`` is called when a service is cut off or reached again.
    """

    __slots__ = (
        "_forwarding",
        "_links",
        "_log",
        "_next_check_at",
        "_on_change",
        "_reach",
        "_rng",
        "_selector",
        "_table",
        "_useless_since",
        "host_count",
        "is_stopping",
    )

    def __init__(
        self,
        reach: reachability.Reachability,
        forwarding_state: forwarding.Forwarding,
        selector: serverselection.ServerSelector,
        links: backendconnections.ConnectionPool,
        rng,
        on_change: collections.abc.Callable[[], None],
    ):
        self.host_count = 1  # entry hosts, this one included
        self.is_stopping = False
        self._reach = reach
        self._forwarding = forwarding_state
        self._selector = selector
        self._table: servers.ServerTable = selector.table
        self._links = links
        self._rng = rng
        self._on_change = on_change
        self._log = logs.Log("host")
        self._next_check_at = 0.0
        self._useless_since: float | None = None  # reaches neither servers nor hosts

    def is_cut(self, service: str) -> bool:
        """Return whether this host reaches no server of a service."""
        return self._reach.is_cut(service)

    def may_expect_offer(self, service: str, now: float) -> bool:
        """Return whether offers of other hosts may be on their way."""
        return self._reach.is_newly_cut(service, now)

    def cut_services(self) -> list[str]:
        """Return the services of which this host reaches no server."""
        return self._reach.cut_services()

    def record_received(self, service: str) -> None:
        """Record data from a server on any connection."""
        self._reach.record_received(service, clock.now())

    def record_announced(self, service: str) -> None:
        """Record a new announcement; a server may be back."""
        self._reach.probe_soon(service)

    def record_unreachable(self, announcement: servers.Announcement) -> None:
        """Record that no new connection could be made to a server."""
        now = clock.now()
        service = announcement.service
        ready = self._table.ready(service, now)
        if not self._reach.record_unreachable(announcement, len(ready), now):
            return
        self._log.write(now, f"cut off from {service}: no server can be connected to")
        for server in ready:
            # Its connections may hang.
            self._links.close_server(server.instance_id)
        self.exchange_offers(now)
        self._on_change()

    def record_connected(self, announcement: servers.Announcement) -> None:
        """Record a new connection to a server."""
        now = clock.now()
        service = announcement.service
        if self._reach.record_connected(service, now):
            self._log.write(now, f"reaches {service} again: a server accepted")
            self.exchange_offers(now)
            self._on_change()

    def exchange_offers(self, now: float) -> None:
        """Ask for help, or offer it."""
        self._forwarding.tick(self.host_count, now, not self.is_stopping)

    def candidates(
        self, service: str, excluded, now: float
    ) -> list[servers.Announcement]:
        """Return the hosts that take calls for a service, in the form of servers."""
        return [
            announcement
            for announcement in self._forwarding.forwarders(service, now)
            if announcement.lifetime not in excluded
            and self._selector.view(announcement).health.is_usable(now)
        ]

    def choose(self, candidates: list[servers.Announcement]) -> servers.Announcement:
        """Return the host with fewer calls of this one, of two drawn at random."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda candidate: self._selector.view(candidate).running)

    def tick(self, services, now: float) -> None:
        """Try servers of services that are silent or cut off; exchange offers."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        in_flight = {
            # Counted only where it matters.
            service: self._selector.in_flight_count(service)
            if self._reach.is_silent(service, now)
            else 0
            for service in services
        }
        for service in self._reach.due_probes(in_flight, now):
            gevent.spawn(self._probe, service)
        self.exchange_offers(now)
        cut_services = self._reach.cut_services()
        is_useless = bool(cut_services) and len(cut_services) == len(in_flight)
        if not is_useless or any(
            self._forwarding.forwarders(service, now) for service in cut_services
        ):
            self._useless_since = None
        elif self._useless_since is None:
            self._useless_since = now

    def is_useless(self, now: float) -> bool:
        """Return whether this host can serve nobody and has not for a while."""
        since = self._useless_since
        return since is not None and now - since >= MAX_USELESS_S

    def _probe(self, service):
        """Connect to a server of a service, and to more if that fails."""
        ready = self._table.ready(service, clock.now())
        drawn = self._rng.sample(ready, min(reachability.MIN_UNREACHABLE, len(ready)))
        if drawn and not self._probe_server(drawn[0]):
            gevent.joinall([gevent.spawn(self._probe_server, s) for s in drawn[1:]])

    def _probe_server(self, announcement):
        try:
            link = self._links.acquire(
                announcement.instance_id, announcement.address, 0.0, PROBE_TIMEOUT_S
            )
        except OSError:
            self.record_unreachable(announcement)
            return False
        self._links.release(link)
        self.record_connected(announcement)
        return True
