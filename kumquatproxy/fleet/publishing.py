"""Publication of servers, marks and configuration by a control host."""

import collections.abc

from kumquatproxy import entrychecks, logs, wire
from kumquatproxy.fleet import fleetmessages, servers, serviceconfig

# Subscriptions are repeated each second, and broken links are replaced within 2 s.
SUBSCRIBER_EXPIRY_S = 5.0
# Other hosts learn from this push that servers still send heartbeats, so the interval
# is well below servers.SILENT_AFTER_S.
ALIVE_INTERVAL_S = 2.0
# A server sends its heartbeats to one control host, and an entry host gets details from
# two. What those hear from other control hosts is passed on at this interval.
RELAYED_ALIVE_INTERVAL_S = 0.5
HOSTS_INTERVAL_S = 1.0
MAX_ALIVE_AGE_S = 4.0  # of the heartbeats that such a push covers
# The rest of the frame is for the names of the fields.
MAX_PUSH_BYTES = wire.MAX_FRAME_BYTES - 1024

_log = logs.Log("member")


class Subscriber:
    """Hold the last subscription of another host."""

    __slots__ = (
        "address",
        "has_details",
        "heard_at",
        "kind",
        "knows_facts",
        "session",
        "version",
    )

    def __init__(self, subscription, now):
        self.address: str = subscription.address
        self.kind: str = subscription.kind
        self.has_details: bool = subscription.has_details
        self.session: str = subscription.session
        self.knows_facts: bool = subscription.session.endswith(
            fleetmessages.FACTS_SUFFIX
        )
        self.version: int = subscription.version
        self.heard_at: float = now


class Publisher:
    """Keep the subscribers of a control host and the changes to push to them."""

    __slots__ = (
        "_changed_ids",
        "_entry_changed_ids",
        "_full_data",
        "_full_pushes",
        "_next_alive_at",
        "_next_hosts_at",
        "_next_relayed_alive_at",
        "_own_heartbeats_by_id",
        "_own_id",
        "_relayed_alive",
        "_uncommitted_marks",
        "_unpublished_marks",
        "content",
        "subscribers_by_id",
        "table",
        "version",
    )

    def __init__(self, own_id: str, table: servers.ServerTable):
        self.table = table
        self.version = serviceconfig.NO_VERSION
        self.content = b""
        self.subscribers_by_id: dict[str, Subscriber] = {}
        self._own_id = own_id
        self._changed_ids: dict[str, None] = {}
        # Changes that another control host passes on to control hosts.
        self._entry_changed_ids: dict[str, None] = {}
        # The full state as it was when first asked for after a tick, None before, and
        # its encoded messages.
        self._full_pushes: list[fleetmessages.ServersPush] | None = None
        self._full_data: list[bytes] = []
        self._unpublished_marks: list[list] = []
        # Lifetimes of servers that have said themselves that they leave.
        self._uncommitted_marks: set[tuple[str, int]] = set()
        self._own_heartbeats_by_id: dict[str, tuple[int, float]] = {}
        # Lifetimes of servers with a recent heartbeat at other control hosts.
        self._relayed_alive: dict[tuple[str, int], None] = {}
        self._next_alive_at = 0.0
        self._next_relayed_alive_at = 0.0
        self._next_hosts_at = 0.0

    def subscribe(self, sender: str, message, now: float) -> list[wire.Send]:
        """Record a subscription; a new one gets the full state."""
        known = self.subscribers_by_id.get(sender)
        is_new = self.is_new(sender, message)
        self.subscribers_by_id[sender] = Subscriber(message, now)
        sends: list[wire.Send] = []
        if known is None or is_new or message.has_details > known.has_details:
            sends.extend(wire.Send(sender, push) for push in self._full_state())
        if message.version < self.version:
            sends.append(wire.Send(sender, self._configuration_push()))
        return sends

    def renew(self, host_id: str) -> None:
        """Send the full state at the next subscription of a host.

        Pushes to it may have been lost with an earlier link.
        """
        known = self.subscribers_by_id.get(host_id)
        if known is not None:
            known.session = ""

    def is_new(self, sender: str, message) -> bool:
        """Return whether a subscription is the first one of a host since its start."""
        known = self.subscribers_by_id.get(sender)
        return known is None or known.session != message.session

    def fact_subscribers(self, now: float) -> list[tuple[str, bool]]:
        """Return (id, whether it wants details) of those that know shared facts."""
        subscribers = {
            name: self.subscribers_by_id[name]
            for name in self._live_subscriber_ids(now)
        }
        return [
            (name, subscriber.has_details)
            for name, subscriber in subscribers.items()
            if subscriber.knows_facts
        ]

    def _full_state(self):
        """Return the pushes with the full state, built once between two ticks.

        When all hosts start together, each asks each control host for it. Changes that
        come later go to those that want details with the next tick, marks at once.
        """
        if self._full_pushes is None:
            announcements = [server.to_wire() for server in self.table.all()]
            self._full_pushes = make_pushes(announcements, self.table.marks(), [])
            self._full_data = [wire.encode(push) for push in self._full_pushes]
        return self._full_pushes

    def encode(self, message) -> bytes:
        """Return the encoded form of a message, that of the full state from before."""
        for push, data in zip(self._full_pushes or (), self._full_data):
            if push is message:
                return data
        return wire.encode(message)

    def _configuration_push(self):
        return fleetmessages.ConfigurationPush(
            content=self.content, version=self.version
        )

    def record_heartbeat(self, announcement: servers.Announcement, now: float) -> None:
        """Record a heartbeat that a server sent to this host."""
        is_new = self.table.apply_announcement(announcement, now)
        known = self.table.get(announcement.instance_id)
        if known is not None and known.lifetime == announcement.lifetime:
            self._own_heartbeats_by_id[known.instance_id] = (known.born_ms, now)
        if is_new:
            self._changed_ids[announcement.instance_id] = None

    def heartbeat_ages(self, instance_ids: list, now: float) -> list:
        """Return [instance id, born_ms, seconds] of heartbeats sent to this host.

        They are of the servers that have sent one lately.
        """
        ages = []
        for instance_id in filter(entrychecks.is_instance_id, instance_ids):
            born_ms, heard_at = self._own_heartbeats_by_id.get(instance_id, (0, None))
            if heard_at is not None:
                ages.append([instance_id, born_ms, round(now - heard_at, 3)])
        return ages

    def mark(self, instance_id: str, born_ms: int, state, now: float) -> list:
        """Apply a committed mark and return the messages that publish it.

        One that was applied before it was committed is published again, because hosts
        that have missed it must know it now.
        """
        lifetime = (instance_id, born_ms)
        is_new = self.table.mark(instance_id, born_ms, state)
        if not is_new and lifetime not in self._uncommitted_marks:
            return []
        self._uncommitted_marks.discard(lifetime)
        return self._mark_sends(lifetime, state, now)

    def mark_leaving(
        self, instance_id: str, born_ms: int, now: float
    ) -> list[wire.Send] | None:
        """Apply the mark of a server that has said in an answer that it leaves.

        Return the messages that publish it, or None if it is known.
        """
        leaving = servers.ServerState.LEAVING
        if not self.table.mark(instance_id, born_ms, leaving):
            return None
        self._uncommitted_marks = {
            lifetime
            for lifetime in self._uncommitted_marks
            if self.table.get(lifetime[0]) is not None
        }
        self._uncommitted_marks.add((instance_id, born_ms))
        return self._mark_sends((instance_id, born_ms), leaving, now)

    def _mark_sends(self, lifetime, state, now):
        self._full_pushes = None
        push = fleetmessages.ServersPush(
            alive=[], marks=[[*lifetime, state.value]], servers=[]
        )
        return [wire.Send(name, push) for name in self._live_subscriber_ids(now)]

    def merge(
        self,
        push: fleetmessages.ServersPush,
        now: float,
        relays: collections.abc.Callable[[str], bool] = lambda instance_id: True,
    ) -> None:
        """Merge a push of another control host.

        ``relays(instance_id)`` tells whether to pass a change on to control hosts.
        """
        for announcement in read_announcements(push.servers, now):
            if self.table.apply_announcement(announcement, now):
                instance_id = announcement.instance_id
                if relays(instance_id):
                    self._changed_ids[instance_id] = None
                else:
                    self._entry_changed_ids[instance_id] = None
        for instance_id, born_ms, state in read_marks(push.marks, now):
            if self.table.mark(instance_id, born_ms, state):
                self._unpublished_marks.append([instance_id, born_ms, state.value])
        refreshed = refresh_heartbeats(self.table, push.alive, now)
        self._relayed_alive.update(dict.fromkeys(refreshed))

    def configure(self, version: int, content: bytes, now: float) -> list[wire.Send]:
        """Apply a committed configuration and return messages that publish it."""
        if version <= self.version:
            return []
        self.version = version
        self.content = content
        push = self._configuration_push()
        return [wire.Send(name, push) for name in self._live_subscriber_ids(now)]

    def _live_subscriber_ids(self, now):
        return [
            name
            for name, subscriber in self.subscribers_by_id.items()
            if now - subscriber.heard_at < SUBSCRIBER_EXPIRY_S
        ]

    def entry_count(self, now: float) -> int:
        """Return the number of entry hosts that subscribe to this host."""
        return len(self.entry_ids(now))

    def entry_ids(self, now: float) -> list[str]:
        """Return the ids of the entry hosts that subscribe to this host."""
        return [
            name
            for name in self._live_subscriber_ids(now)
            if self.subscribers_by_id[name].kind == fleetmessages.ENTRY
        ]

    def entry_ids_heard(self, within_s: float, now: float) -> set[str]:
        """Return the ids of the entry hosts heard from within some seconds."""
        return {
            name
            for name, subscriber in self.subscribers_by_id.items()
            if subscriber.kind == fleetmessages.ENTRY
            and now - subscriber.heard_at < within_s
        }

    def tick(self, hosts, voters, leader: str, now: float) -> list[wire.Send]:
        """Return the messages that are due."""
        self._full_pushes = None
        live_ids = self._live_subscriber_ids(now)
        sends = self._change_sends(live_ids, now)
        if now >= self._next_hosts_at:
            self._next_hosts_at = now + HOSTS_INTERVAL_S
            message = fleetmessages.ControlHosts(
                entry_count=self.entry_count(now),
                hosts=hosts,
                leader=leader,
                voters=voters,
            )
            sends.extend(wire.Send(name, message) for name in live_ids)
        return sends

    def _change_sends(self, live_ids, now):
        """Return the pushes of changes, marks and live servers that are due."""
        changed_ids, self._changed_ids = self._changed_ids, {}
        entry_changed_ids, self._entry_changed_ids = self._entry_changed_ids, {}
        marks, self._unpublished_marks = self._unpublished_marks, []
        alive = []
        is_alive_due = now >= self._next_alive_at
        if is_alive_due:
            self._next_alive_at = now + ALIVE_INTERVAL_S
            alive = self._recently_alive(now)
        entry_ids, control_ids = self._detail_ids(live_ids)
        pushes: list = []
        if changed_ids or marks or is_alive_due:
            pushes = make_pushes(self._announcements(changed_ids), marks, alive)
        entry_pushes = pushes
        relayed_alive = self._take_relayed_alive(now)
        if relayed_alive or entry_changed_ids.keys() - changed_ids.keys():
            announcements = self._announcements({**changed_ids, **entry_changed_ids})
            entry_pushes = make_pushes(announcements, marks, alive + relayed_alive)
        # Marks go to all subscribers, as their other control hosts may be slow.
        mark_pushes = make_pushes([], marks, []) if marks else []
        other_ids = [
            name for name in live_ids if not self.subscribers_by_id[name].has_details
        ]
        return [
            wire.Send(name, push)
            for names, pushes_to_them in (
                (other_ids, mark_pushes),
                (control_ids, pushes),
                (entry_ids, entry_pushes),
            )
            for name in names
            for push in pushes_to_them
        ]

    def _detail_ids(self, live_ids):
        """Return the ids of entry hosts and of control hosts that want details."""
        detail_ids = [
            name for name in live_ids if self.subscribers_by_id[name].has_details
        ]
        entry_ids = [
            name
            for name in detail_ids
            if self.subscribers_by_id[name].kind == fleetmessages.ENTRY
        ]
        return entry_ids, [name for name in detail_ids if name not in entry_ids]

    def _announcements(self, instance_ids):
        known = [self.table.get(name) for name in instance_ids]
        return [server.to_wire() for server in known if server is not None]

    def _recently_alive(self, now):
        recent = {
            name: (born_ms, heard_at)
            for name, (born_ms, heard_at) in self._own_heartbeats_by_id.items()
            if now - heard_at < MAX_ALIVE_AGE_S
        }
        self._own_heartbeats_by_id = recent
        return [[name, born_ms] for name, (born_ms, _) in recent.items()]

    def _take_relayed_alive(self, now):
        """Return [instance id, born_ms] of servers alive elsewhere if they are due."""
        if not self._relayed_alive or now < self._next_relayed_alive_at:
            return []
        self._next_relayed_alive_at = now + RELAYED_ALIVE_INTERVAL_S
        relayed, self._relayed_alive = self._relayed_alive, {}
        return [
            [instance_id, born_ms]
            for instance_id, born_ms in relayed
            if instance_id in self.table.known_by_id
        ]


def make_pushes(announcements: list, marks: list, alive: list) -> list:
    """Return the pushes with these entries, at least one; each fits into a frame.

    Live servers come last, because a receiver must have the announcements by then.
    """
    if wire.encoded_size([announcements, marks, alive]) <= MAX_PUSH_BYTES:
        return [fleetmessages.ServersPush(alive, marks, announcements)]
    push = fleetmessages.ServersPush
    pushes = [push(alive=[], marks=[], servers=part) for part in _split(announcements)]
    pushes += [push(alive=[], marks=part, servers=[]) for part in _split(marks)]
    pushes += [push(alive=part, marks=[], servers=[]) for part in _split(alive)]
    return pushes


def _split(entries):
    """Yield parts of a list whose entries take at most MAX_PUSH_BYTES."""
    part: list = []
    size = 0
    for entry in entries:
        entry_bytes = wire.encoded_size(entry)
        if part and size + entry_bytes > MAX_PUSH_BYTES:
            yield part
            part, size = [], 0
        part.append(entry)
        size += entry_bytes
    if part:
        yield part


def read_announcements(entries: list, now: float) -> list[servers.Announcement]:
    """Return the announcements of a push without the malformed ones."""
    return _read_entries(entries, servers.from_wire, now)


def read_marks(entries: list, now: float) -> list[tuple]:
    """Return (instance id, born_ms, state) of a push without the malformed ones."""
    return _read_entries(entries, servers.mark_from_wire, now)


def _read_entries(entries, read, now):
    results = []
    for fields in entries:
        try:
            results.append(read(fields))
        except (TypeError, ValueError) as error:
            _log.write_limited(
                now, "entry", f"an entry of another host is ignored: {error!r:.200}"
            )
    return results


def read_lifetimes(entries: list) -> list[tuple]:
    """Return (instance id, born_ms) of live servers without the malformed entries."""
    return [
        tuple(entry)
        for entry in entries
        if isinstance(entry, list)
        and len(entry) == 2
        and entrychecks.is_instance_id(entry[0])
    ]


def refresh_heartbeats(
    table: servers.ServerTable, alive: list, now: float
) -> list[tuple]:
    """Refresh servers with a recent heartbeat elsewhere; return their lifetimes."""
    refreshed = []
    for instance_id, born_ms in read_lifetimes(alive):
        known = table.known_by_id.get(instance_id)
        if known is not None and known.announcement.born_ms == born_ms:
            known.heard_at = now
            refreshed.append((instance_id, born_ms))
    return refreshed
