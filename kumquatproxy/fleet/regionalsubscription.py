"""An entry host's part of the exchange by data centre.

Answers deployments with many entry hosts and dear or narrow links between data centres:
loads, placement and changes of servers come from control hosts of the own data centre.
"""

import collections
import collections.abc
import zlib

from kumquatproxy import logs
from kumquatproxy.fleet import fleetmessages, loadchanges, regionmessages

# The leader pushes loads each 0.25 s, and an election takes about a second.
LOADS_TIMEOUT_S = 1.0
UPDATE_INTERVAL_S = 0.1
PLACEMENT_RETRY_S = 0.25
KEPT_REPORTS = 16
# Time in which a configuration comes from a control host of the data centre, usually.
CONFIGURATION_WAIT_S = 0.15
DETAIL_HOST_COUNT = 2
# Interval of renewals at control hosts that push no details, a little less than two
# intervals of subscriptions.
REMOTE_RENEWAL_INTERVAL_S = 1.9
# Reports to the host that sums before the leader drops the last one sent to itself.
OVERLAPPING_REPORTS = 2


class _Regional:
    """Hold what is known of a control host that knows the exchange."""

    __slots__ = ("data_centre", "is_current")

    def __init__(self, data_centre):
        self.data_centre: str = data_centre
        self.is_current = True


class RegionalSubscription:
    """Choose the control hosts that hand on, and apply what they hand on.

    ``send(host_id, message)`` sends a message.
    """

    def __init__(
        self,
        host_id: str,
        data_centre: str,
        send: collections.abc.Callable[[str, object], None],
    ):
        self._host_id = host_id
        self._data_centre = data_centre
        self._send = send
        self._log = logs.Log("host")
        self._known_by_id: dict[str, _Regional] = {}
        self.handing_id = ""  # the control host that hands on, empty if there is none
        self._chosen_at = 0.0
        self._next_update_at = 0.0
        self._loads_at = -1e9  # as of which the sum holds the own data centre
        self.is_direct = True
        self._loads = loadchanges.ChangeReceiver()
        self._placement = loadchanges.Placement()
        self._placement_asked_at = -1e9
        self._renewed_by_id: dict[str, tuple] = {}  # last renewal and its time
        # By control host: version and time of its notice.
        self._notice_by_id: dict[str, tuple[int, float]] = {}
        self._direct_reports_left = 0  # until the leader drops the last one
        # (time, loads) of the last reports of this host.
        self._reports: collections.deque = collections.deque(maxlen=KEPT_REPORTS)

    def forget(self, host_id: str) -> None:
        """Forget what a control host knows, as its build may differ now."""
        self._known_by_id.pop(host_id, None)
        self._renewed_by_id.pop(host_id, None)

    def knows(self, host_id: str) -> bool:
        """Return whether a control host knows the exchange."""
        return host_id in self._known_by_id

    def greet(self, host_id: str, greeting: regionmessages.RegionGreeting) -> None:
        """Record that a control host knows the exchange."""
        self._known_by_id[host_id] = _Regional(greeting.data_centre)
        self._renewed_by_id.pop(host_id, None)

    def record_alive(self, host_id: str, alive: regionmessages.ControlAlive) -> None:
        """Record whether a control host is in touch with the others."""
        known = self._known_by_id.get(host_id)
        if known is not None:
            known.is_current = alive.current

    def record_notice(self, host_id: str, version: int, now: float) -> None:
        """Record that a control host has a version of the configuration."""
        self._notice_by_id[host_id] = (version, now)

    def ids_to_ask(self, version: int, now: float) -> list[str]:
        """Return the control hosts that are to push a newer configuration."""
        host_ids = []
        for host_id, (noticed, noticed_at) in list(self._notice_by_id.items()):
            if noticed <= version:
                del self._notice_by_id[host_id]
            elif now - noticed_at >= CONFIGURATION_WAIT_S:
                del self._notice_by_id[host_id]
                self._renewed_by_id.pop(host_id, None)
                host_ids.append(host_id)
        return host_ids

    def detail_ids(self, live_ids: set[str]) -> set[str]:
        """Return the control hosts that are to push all changes of servers.

        Those of the own data centre come first.
        """
        if len(live_ids) <= DETAIL_HOST_COUNT:
            return live_ids
        return set(sorted(live_ids, key=self._rank)[:DETAIL_HOST_COUNT])

    def _rank(self, host_id):
        known = self._known_by_id.get(host_id)
        is_current = known is None or known.is_current
        is_near = known is not None and known.data_centre == self._data_centre
        own_hash = zlib.crc32(f"{self._host_id} {host_id}".encode())
        return (not is_current, not is_near, own_hash)

    def update(self, live_ids: set[str], leader: str, now: float) -> bool:
        """Choose the host that hands on; return whether subscriptions change."""
        if now < self._next_update_at:
            return False
        self._next_update_at = now + UPDATE_INTERVAL_S
        near_ids = [
            host_id
            for host_id in sorted(live_ids & self._known_by_id.keys(), key=self._rank)
            if self._known_by_id[host_id].data_centre == self._data_centre
            and self._known_by_id[host_id].is_current
        ]
        handing_id = near_ids[0] if near_ids and self.knows(leader) else ""
        before = (self.handing_id, self.is_direct)
        if handing_id != self.handing_id:
            self.handing_id = handing_id
            self._chosen_at = now
            self._loads_at = -1e9
            self.is_direct = True
            self._loads = loadchanges.ChangeReceiver()
        else:
            last_at = max(self._loads_at, self._chosen_at)
            self.is_direct = not handing_id or (
                self._loads_at < self._chosen_at or now - last_at >= LOADS_TIMEOUT_S
            )
        if before == (self.handing_id, self.is_direct):
            return False
        self._log.write(now, f"loads come from {self._source()}")
        return True

    def _source(self):
        return self.handing_id if not self.is_direct else "the leader"

    def flags(self, host_id: str, has_details: bool) -> int:
        """Return the flags of the subscription at a control host."""
        flags = regionmessages.DETAILS if has_details else 0
        if self.is_direct:
            flags |= regionmessages.DIRECT
        if host_id == self.handing_id:
            flags |= regionmessages.HANDED_ON
        elif has_details and self.handing_id and not self.is_direct:
            flags |= regionmessages.STANDBY
        return flags

    def subscribe(
        self, message: fleetmessages.Subscribe, host_id: str, now: float
    ) -> None:
        """Send a subscription to a control host, or renew it in short form."""
        if not self.knows(host_id):
            self._send(host_id, message)
            return
        renewal = regionmessages.Renewal(
            flags=self.flags(host_id, message.has_details),
            session=regionmessages.session_number(message.session),
            version=message.version,
        )
        known, sent_at = self._renewed_by_id.get(host_id, (None, -1e9))
        is_due = message.has_details or now - sent_at >= REMOTE_RENEWAL_INTERVAL_S
        if known == renewal and not is_due:
            return
        self._renewed_by_id[host_id] = (renewal, now)
        self._send(host_id, renewal)
        if host_id == self.handing_id:
            hosts = sorted(self._known_by_id)
            self._send(host_id, regionmessages.HandOn(hosts))

    def report(self, loads: dict, needs: list, leader: str, now: float) -> None:
        """Send a report to the host that sums, or to the leader itself."""
        self._reports.append((now, loads))
        report = fleetmessages.EntryReport(loads_by_id=loads, needs=needs)
        if self.is_direct:
            self._direct_reports_left = OVERLAPPING_REPORTS
            self._send(leader, report)
            return
        self._send(self.handing_id, regionmessages.HostReport(loads, needs))
        if self._direct_reports_left:
            self._direct_reports_left -= 1
            if not self._direct_reports_left:
                report = fleetmessages.EntryReport(loads_by_id={}, needs=[])
                self._send(leader, report)

    def apply_loads(
        self, host_id: str, message: regionmessages.HandedLoads, now: float
    ) -> tuple[dict, dict] | None:
        """Return the loads of all hosts, and the part of this host in them.

        None if they are not of the host that hands on, or an earlier part is missing.
        """
        if host_id != self.handing_id:
            return None
        if not self._loads.apply(message):
            return None
        # Late reports to the leader count like late loads: this host's are among them.
        self._loads_at = max(self._loads_at, now - message.age_s)
        return self._loads.loads_by_id, self._own_loads_at(now - message.age_s)

    def _own_loads_at(self, reported_at):
        """Return the last report before a time; the oldest if there is none."""
        loads: dict = {}
        for sent_at, sent_loads in self._reports:
            if sent_at > reported_at:
                break
            loads = sent_loads
        return loads

    def apply_placement(
        self, host_id: str, change: regionmessages.PlacementChange, now: float
    ) -> fleetmessages.PlacementPush | None:
        """Return the whole placement, or None if it is not newer or incomplete."""
        if self._placement.is_older(change):
            return None
        if not self._placement.apply(change):
            if now - self._placement_asked_at >= PLACEMENT_RETRY_S:
                self._placement_asked_at = now
                self._send(host_id, regionmessages.PlacementWanted())
            return None
        return fleetmessages.PlacementPush(
            adapters_by_id=self._placement.adapters_by_id,
            coming=change.coming,
            fence=change.fence,
            leaving_models_by_id=change.leaving,
            number=change.number,
        )

    def record_placement(self, push: fleetmessages.PlacementPush) -> None:
        """Record a placement that the leader pushed itself."""
        if (push.fence, push.number) > (self._placement.fence, self._placement.number):
            self._placement.fence, self._placement.number = push.fence, push.number
            self._placement.adapters_by_id = push.adapters_by_id
