"""A control host's part of the exchange by data centre.

It sums the reports of entry hosts of its data centre for the leader, and hands on the
loads and the placement that the leader pushes. As the leader, it pushes to each control
host that hands on, and to the entry hosts that nobody hands on to.
"""

import collections
import collections.abc
import zlib

from kumquatproxy import logs, wire
from kumquatproxy.fleet import (
    fleetdemand,
    fleetmessages,
    loadchanges,
    publishing,
    regionmessages,
)

REPORT_INTERVAL_S = 0.125
# Without changes, reports are sent this often, so that the leader goes on pushing.
MAX_REPORT_INTERVAL_S = 0.25
REGION_TIMEOUT_S = 2.0  # since the last report of a control host that hands on
WHOLE_HOSTS_INTERVAL_S = 10.0
# Interval of the changes of servers to hosts that get them from another host at once.
STANDBY_INTERVAL_S = 0.25
MAX_SNAPSHOTS = 32
UNKNOWN_AGE_S = 60.0


class _HostPart:
    """Hold the last report of an entry host."""

    __slots__ = ("heard_at", "loads_by_id", "waiting_by_key")

    def __init__(self, loads_by_id, waiting_by_key, now):
        self.loads_by_id: dict[str, list[int]] = loads_by_id
        self.waiting_by_key: dict[tuple, int] = waiting_by_key
        self.heard_at: float = now


class ReportSum:
    """Sum the reports of entry hosts."""

    __slots__ = ("_arrivals_by_key", "_parts_by_host")

    def __init__(self):
        self._parts_by_host: dict[str, _HostPart] = {}
        self._arrivals_by_key: dict[tuple, list] = {}

    def add(self, host_id: str, report: regionmessages.HostReport, now: float) -> None:
        """Add a report, which replaces the loads of the last one of its host."""
        waiting_by_key = {}
        for service, model, adapter, count, work_s, waiting in report.needs:
            key = (service, model, adapter)
            if waiting:
                waiting_by_key[key] = waiting
            if count:
                total = self._arrivals_by_key.setdefault(key, [0, 0.0])
                total[0] += count
                total[1] += work_s
        part = _HostPart(report.loads_by_id, waiting_by_key, now)
        self._parts_by_host[host_id] = part

    def remove(self, host_id: str) -> None:
        """Leave out a host, which reports elsewhere."""
        self._parts_by_host.pop(host_id, None)

    def take(self, now: float) -> tuple[dict, list]:
        """Return the loads by instance id, and the needs since the last call."""
        self._parts_by_host = {
            host_id: part
            for host_id, part in self._parts_by_host.items()
            if now - part.heard_at < fleetdemand.REPORT_EXPIRY_S
        }
        loads_by_id: dict[str, list[int]] = {}
        waiting_by_key: collections.Counter[tuple] = collections.Counter()
        for part in self._parts_by_host.values():
            waiting_by_key.update(part.waiting_by_key)
            for instance_id, (count, tokens) in part.loads_by_id.items():
                total = loads_by_id.setdefault(instance_id, [0, 0])
                total[0] += count
                total[1] += tokens
        arrivals, self._arrivals_by_key = self._arrivals_by_key, {}
        needs = [
            [*key, *arrivals.get(key, (0, 0.0)), waiting_by_key.get(key, 0)]
            for key in {**arrivals, **waiting_by_key}
        ]
        return loads_by_id, fleetdemand.needs_that_fit(needs)


class RegionalPublisher:
    """Sum reports, hand on loads and placement, and push to those that hand on.

    ``broadcast(host_ids, message)`` sends a message to several hosts;
    ``report(sender, message)`` passes an EntryReport to the owner of orders.
    """

    def __init__(
        self,
        host_id: str,
        data_centre: str,
        run: int,
        publisher: publishing.Publisher,
        broadcast: collections.abc.Callable,
        report: collections.abc.Callable,
    ):
        self._host_id = host_id
        self._data_centre = data_centre
        self._run = run
        self._publisher = publisher
        self._broadcast = broadcast
        self._report = report
        self._log = logs.Log("host")
        # Flags of the renewals of entry hosts that asked for the exchange.
        self._flags_by_id: dict[str, int] = {}
        self._capable_ids: set[str] = set()  # control hosts that know the exchange
        self._hosts_sent_by_id: dict[str, tuple] = {}
        self._held_ids: dict[str, None] = {}  # of hosts that await held changes
        self._held_pushes: dict[int, fleetmessages.ServersPush] = {}
        self._next_held_at = 0.0
        self._sum = ReportSum()
        self._region_changes = loadchanges.ChangeSender()
        self._snapshots: collections.deque = collections.deque(maxlen=MAX_SNAPSHOTS)
        self._reported_to = ""
        self._next_report_at = 0.0
        self._last_report_at = -1e9
        self._last_loads: dict = {}
        # As the leader: what control hosts that hand on have reported.
        self._received_by_id: dict[str, loadchanges.ChangeReceiver] = {}
        self._region_heard_at_by_id: dict[str, float] = {}
        self._total_changes = loadchanges.ChangeSender()
        self._pushed_ids: frozenset[str] = frozenset()
        # As a host that hands on.
        self._totals = loadchanges.ChangeReceiver()
        self._handed_changes = loadchanges.ChangeSender()
        self._handed_ids: frozenset[str] = frozenset()
        self._placement = loadchanges.Placement()
        self._coming: dict[str, float] = {}  # expected end of loads
        self._leaving: dict[str, list[str]] = {}

    # Subscriptions

    def handing_count(self, now: float) -> int:
        """Return the number of entry hosts that this host hands on to."""
        return len(self._ids_handed_on_to(now))

    def _ids_handed_on_to(self, now):
        return [
            name
            for name in self._publisher.entry_ids(now)
            if self._flags_by_id.get(name, 0) & regionmessages.HANDED_ON
        ]

    def forget(self, host_id: str) -> None:
        """Forget what was sent to a host, and whether it knows the exchange."""
        self._flags_by_id.pop(host_id, None)
        self._capable_ids.discard(host_id)
        self._hosts_sent_by_id.pop(host_id, None)
        self._received_by_id.pop(host_id, None)
        self._region_heard_at_by_id.pop(host_id, None)
        self._pushed_ids -= {host_id}
        self._handed_ids -= {host_id}
        if host_id == self._reported_to:
            self._reported_to = ""

    def greet(self, host_id: str, session: str) -> None:
        """Greet a new subscriber that asks for the exchange."""
        self._flags_by_id.pop(host_id, None)
        self._hosts_sent_by_id.pop(host_id, None)
        self._handed_ids -= {host_id}
        if not regionmessages.is_regional(session):
            return
        self._flags_by_id[host_id] = regionmessages.DIRECT
        greeting = regionmessages.RegionGreeting(self._data_centre)
        self._broadcast([host_id], greeting)

    def read_renewal(
        self, sender: str, renewal: regionmessages.Renewal, now: float
    ) -> fleetmessages.Subscribe | None:
        """Return the subscription that is renewed; ask for it if it is unknown."""
        known = self._publisher.subscribers_by_id.get(sender)
        if (
            known is None
            or not known.session
            or regionmessages.session_number(known.session) != renewal.session
        ):
            self._broadcast([sender], regionmessages.SubscribeWanted())
            return None
        flags = renewal.flags
        was_handed = self._flags_by_id.get(sender, 0) & regionmessages.HANDED_ON
        self._flags_by_id[sender] = flags
        if flags & regionmessages.DIRECT or not flags & regionmessages.HANDED_ON:
            self._sum.remove(sender)
        if flags & regionmessages.HANDED_ON and not was_handed:
            self.send_placement(sender, now)
        return fleetmessages.Subscribe(
            address=known.address,
            has_details=bool(flags & regionmessages.DETAILS),
            kind=known.kind,
            session=known.session,
            version=renewal.version,
        )

    def condense(
        self, sends: list[wire.Send], is_current: bool, now: float
    ) -> list[wire.Send]:
        """Shorten the ControlHosts messages that repeat what a subscriber knows."""
        alive = None
        results = []
        for send in sends:
            hosts = send.message
            if self._hold(send):
                continue
            if (
                not isinstance(hosts, fleetmessages.ControlHosts)
                or send.to not in self._flags_by_id
            ):
                results.append(send)
                continue
            sent_at, names, voters = self._hosts_sent_by_id.get(send.to, (-1e9, 0, 0))
            is_known = (names, voters) == (hosts.hosts, hosts.voters)
            if is_known and now - sent_at < WHOLE_HOSTS_INTERVAL_S:
                alive = alive or regionmessages.ControlAlive(
                    current=is_current, entries=hosts.entry_count, leader=hosts.leader
                )
                results.append(wire.Send(send.to, alive))
            else:
                self._hosts_sent_by_id[send.to] = (now, hosts.hosts, hosts.voters)
                results.append(send)
        return results + self._held_sends(now)

    def _hold(self, send):
        """Hold a push for a host that has its changes from another host."""
        push = send.message
        if (
            not isinstance(push, fleetmessages.ServersPush)
            or push.marks
            or not self._flags_by_id.get(send.to, 0) & regionmessages.STANDBY
        ):
            return False
        self._held_ids[send.to] = None
        self._held_pushes[id(push)] = push
        return True

    def _held_sends(self, now):
        """Return the held pushes as one, which names each server once."""
        if not self._held_pushes or now < self._next_held_at:
            return []
        self._next_held_at = now + STANDBY_INTERVAL_S
        held = list(self._held_pushes.values())
        fields_by_id = {fields[0]: fields for push in held for fields in push.servers}
        alive = {tuple(entry): entry for push in held for entry in push.alive}
        pushes = publishing.make_pushes(
            list(fields_by_id.values()), [], list(alive.values())
        )
        sends = [wire.Send(name, push) for push in pushes for name in self._held_ids]
        self._held_pushes.clear()
        self._held_ids.clear()
        return sends

    def announce(self, sends: list[wire.Send], version: int) -> list[wire.Send]:
        """Replace the pushes of a configuration that most entry hosts get nearby.

        They ask for it if they do not have it soon.
        """
        notice = None
        results = []
        for send in sends:
            flags = self._flags_by_id.get(send.to, regionmessages.DETAILS)
            if flags & regionmessages.DETAILS:
                results.append(send)
            else:
                notice = notice or regionmessages.VersionNotice(version)
                results.append(wire.Send(send.to, notice))
        return results

    def relays(self, instance_id: str, sender: str, live_ids: set[str]) -> bool:
        """Return whether to pass a change of a server on to control hosts.

        One host is enough, as the sender has told all that it reaches.
        """
        if not self._flags_by_id:
            return True
        ids = (live_ids | {self._host_id}) - {sender}
        relay = min(ids, key=lambda name: zlib.crc32(f"{instance_id} {name}".encode()))
        return relay == self._host_id

    # Reports

    def add_capable(self, sender: str, message: regionmessages.HandOn) -> None:
        """Record the control hosts that know the exchange."""
        known_ids = self._publisher.subscribers_by_id.keys()
        self._capable_ids.update(known_ids & set(message.hosts))

    def add_report(
        self, sender: str, report: regionmessages.HostReport, now: float
    ) -> None:
        """Add the report of an entry host."""
        self._sum.add(sender, report, now)

    def tick(self, leader: str, now: float) -> None:
        """Report the sums to the leader."""
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL_S
        if not self._last_loads and not self._ids_handed_on_to(now):
            return
        if leader != self._host_id and leader not in self._capable_ids:
            return
        loads_by_id, needs = self._sum.take(now)
        is_changed = loads_by_id != self._last_loads or bool(needs)
        is_new_leader = leader != self._reported_to
        if not (
            is_changed
            or is_new_leader
            or now - self._last_report_at >= MAX_REPORT_INTERVAL_S
        ):
            return
        self._reported_to, self._last_report_at = leader, now
        self._last_loads = loads_by_id
        changes, is_whole = self._region_changes.next_changes(
            loads_by_id, is_new_leader
        )
        number = self._region_changes.number
        self._snapshots.append((number, now))
        if leader == self._host_id:
            self._report(leader, fleetmessages.EntryReport(loads_by_id, needs))
            return
        report = regionmessages.RegionReport(
            changes=changes, needs=needs, number=number, run=self._run, whole=is_whole
        )
        self._broadcast([leader], report)

    def receive_report(
        self, sender: str, report: regionmessages.RegionReport, now: float
    ) -> None:
        """Pass the sums of a data centre to the owner of orders, each report once."""
        receiver = self._received_by_id.get(sender)
        if receiver is None:
            receiver = self._received_by_id[sender] = loadchanges.ChangeReceiver()
            self._capable_ids.add(sender)
        if receiver.is_repeated(report):
            return
        is_new = sender not in self._live_regions(now)
        self._region_heard_at_by_id[sender] = now
        receiver.apply(report)
        message = fleetmessages.EntryReport(receiver.loads_by_id, report.needs)
        self._report(sender, message)
        if is_new:
            self.send_placement(sender, now)

    def _live_regions(self, now):
        return {
            host_id
            for host_id, heard_at in self._region_heard_at_by_id.items()
            if now - heard_at < REGION_TIMEOUT_S
        }

    # Pushes of the leader

    def push(self, message, now: float) -> bool:
        """Push loads or a placement as the leader; return False for other messages.

        Without entry hosts that ask for the exchange, the message goes to each.
        """
        if not self._flags_by_id:
            return False
        direct_ids = [
            name
            for name in self._publisher.entry_ids(now)
            if self._flags_by_id.get(name, regionmessages.DIRECT)
            & regionmessages.DIRECT
        ]
        if isinstance(message, fleetmessages.LoadPush):
            self._push_loads(message, now)
        elif isinstance(message, fleetmessages.PlacementPush):
            self._push_placement(message, now)
        else:
            return False
        if direct_ids:
            self._broadcast(direct_ids, message)
        return True

    def _push_loads(self, message, now):
        region_ids = frozenset(self._live_regions(now))
        changes, is_whole = self._total_changes.next_changes(
            message.loads_by_id, bool(region_ids - self._pushed_ids)
        )
        self._pushed_ids = region_ids
        if region_ids:
            totals = regionmessages.TotalLoads(
                changes=changes,
                number=self._total_changes.number,
                reports={
                    name: self._received_by_id[name].number for name in region_ids
                },
                run=self._run,
                whole=is_whole,
            )
            self._broadcast(sorted(region_ids), totals)
        number = self._snapshots[-1][0] if self._snapshots else 0
        self._hand_on_loads(message.loads_by_id, number, now)

    def _push_placement(self, message, now):
        is_next = message.fence == self._placement.fence and self._placement.number
        change = regionmessages.PlacementChange(
            adapters=(
                self._placement.changes_to(message.adapters_by_id)
                if is_next
                else message.adapters_by_id
            ),
            base=self._placement.number if is_next else 0,
            coming=message.coming,
            fence=message.fence,
            leaving=message.leaving_models_by_id,
            number=message.number,
        )
        if not self._placement.is_older(change):
            self._apply_placement(change, now)
            self._broadcast(sorted(self._live_regions(now)), change)
            self._broadcast(self._ids_handed_on_to(now), change)

    # What is handed on

    def receive_totals(
        self, sender: str, leader: str, message: regionmessages.TotalLoads, now: float
    ) -> None:
        """Hand on the loads that the leader has pushed."""
        if sender == leader and self._totals.apply(message):
            number = message.reports.get(self._host_id, 0)
            self._hand_on_loads(self._totals.loads_by_id, number, now)

    def _hand_on_loads(self, loads_by_id, number, now):
        handed_ids = frozenset(self._ids_handed_on_to(now))
        changes, is_whole = self._handed_changes.next_changes(
            loads_by_id, bool(handed_ids - self._handed_ids)
        )
        self._handed_ids = handed_ids
        message = regionmessages.HandedLoads(
            age_s=self._report_age_s(number, now),
            changes=changes,
            number=self._handed_changes.number,
            run=self._run,
            whole=is_whole,
        )
        if handed_ids:
            self._broadcast(sorted(handed_ids), message)

    def _report_age_s(self, number, now):
        for snapshot_number, sent_at in reversed(self._snapshots):
            if snapshot_number <= number:
                return now - sent_at
        return UNKNOWN_AGE_S

    def receive_placement(
        self, sender: str, change: regionmessages.PlacementChange, now: float
    ) -> None:
        """Apply a change of the placement and hand it on."""
        if self._placement.is_older(change):
            return
        if not self._apply_placement(change, now):
            self._broadcast([sender], regionmessages.PlacementWanted())
            return
        self._broadcast(self._ids_handed_on_to(now), change)

    def _apply_placement(self, change, now):
        if not self._placement.apply(change):
            return False
        self._coming = {name: now + left_s for name, left_s in change.coming.items()}
        self._leaving = change.leaving
        return True

    def send_placement(self, host_id: str, now: float) -> None:
        """Send the whole placement to a host, if there is one."""
        if not self._placement.number:
            return
        change = regionmessages.PlacementChange(
            adapters=self._placement.adapters_by_id,
            base=0,
            coming={name: end - now for name, end in self._coming.items()},
            fence=self._placement.fence,
            leaving=self._leaving,
            number=self._placement.number,
        )
        self._broadcast([host_id], change)
