"""Whether this host reaches the backend servers of each service.

A host can lose its path to all servers while callers, control hosts and other entry
hosts reach it. Old connections may hang, end, or go on while new ones are refused.
Only results of new connections count, as nothing else tells these cases apart.
"""

# Distinct servers that must be unreachable, and the time in which their failures count.
MIN_UNREACHABLE = 3
FAILURE_WINDOW_S = 3.0
# Time without any data from the servers of a service, while calls are in flight there,
# after which new connections are tried.
SILENCE_S = 0.5
SILENCE_PROBE_INTERVAL_S = 1.0
# Interval of new connections that tell whether the path is back, or lost to further
# services too.
CUT_PROBE_INTERVAL_S = 0.5
# Time in which offers of other hosts arrive after a cut.
OFFER_S = 1.0
# A host that has heard of a server within this time reaches its service.
EVIDENCE_S = 2.0


class ServiceReach:
    """Hold what a host knows of its path to the servers of one service."""

    __slots__ = (
        "cut_at",
        "failed_at_by_lifetime",
        "is_cut",
        "next_probe_at",
        "received_at",
    )

    def __init__(self):
        # Servers that were unreachable since the last new connection.
        self.failed_at_by_lifetime: dict[tuple, float] = {}
        self.is_cut = False
        self.cut_at = 0.0  # of the last cut
        self.next_probe_at = 0.0
        self.received_at = float("-inf")  # new connection, or data on any connection

    def count_failures(self, now: float) -> int:
        """Return the number of servers that were unreachable lately."""
        failed = self.failed_at_by_lifetime
        for lifetime, failed_at in list(failed.items()):
            if now - failed_at > FAILURE_WINDOW_S:
                del failed[lifetime]
        return len(failed)


class Reachability:
    """Track the paths from one host to the servers of each service."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service: dict[str, ServiceReach] = {}

    def _reach(self, service):
        return self._by_service.setdefault(service, ServiceReach())

    def record_connected(self, service: str, now: float) -> bool:
        """Record a new connection; return whether the service was cut off until now."""
        reach = self._reach(service)
        reach.failed_at_by_lifetime.clear()
        reach.received_at = now
        was_cut, reach.is_cut = reach.is_cut, False
        return was_cut

    def record_received(self, service: str, now: float) -> None:
        """Record data on any connection, which may be an old one."""
        self._reach(service).received_at = now

    def record_unreachable(self, announcement, server_count: int, now: float) -> bool:
        """Record that no new connection could be made to one of some servers.

        Return whether the service counts as cut off from now on.
        """
        reach = self._reach(announcement.service)
        reach.failed_at_by_lifetime[announcement.lifetime] = now
        if reach.is_cut or reach.count_failures(now) < min(
            MIN_UNREACHABLE, server_count
        ):
            return False
        reach.is_cut, reach.cut_at = True, now
        reach.next_probe_at = now + CUT_PROBE_INTERVAL_S
        return True

    def probe_soon(self, service: str) -> None:
        """Let the servers of a service that is cut off be tried at once."""
        self._reach(service).next_probe_at = 0.0

    def is_cut(self, service: str) -> bool:
        """Return whether this host reaches no server of a service."""
        reach = self._by_service.get(service)
        return reach is not None and reach.is_cut

    def is_newly_cut(self, service: str, now: float) -> bool:
        """Return whether a service was cut off so lately that offers may be coming."""
        return self.is_cut(service) and now - self._reach(service).cut_at < OFFER_S

    def cut_services(self) -> list[str]:
        """Return the services of which this host reaches no server."""
        return sorted(name for name, reach in self._by_service.items() if reach.is_cut)

    def reached_services(self, now: float) -> list[str]:
        """Return the services of which a server was reached lately."""
        return sorted(
            name
            for name, reach in self._by_service.items()
            if not reach.is_cut and now - reach.received_at < EVIDENCE_S
        )

    def is_silent(self, service: str, now: float) -> bool:
        """Return whether no server of a service has sent anything lately."""
        return now - self._reach(service).received_at > SILENCE_S

    def due_probes(self, in_flight_by_service: dict[str, int], now: float) -> list[str]:
        """Return the services whose servers are to be tried by new connections now.

        While one service is cut off, others that are silent may be as well.
        """
        has_cut = any(reach.is_cut for reach in self._by_service.values())
        due = []
        for service, in_flight in in_flight_by_service.items():
            reach = self._reach(service)
            is_silent = self.is_silent(service, now)
            is_suspect = reach.is_cut or (is_silent and (in_flight > 0 or has_cut))
            if now < reach.next_probe_at or not is_suspect:
                continue
            interval_s = CUT_PROBE_INTERVAL_S if has_cut else SILENCE_PROBE_INTERVAL_S
            reach.next_probe_at = now + interval_s
            due.append(service)
        return due
