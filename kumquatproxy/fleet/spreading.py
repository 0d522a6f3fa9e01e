"""What a control host tells the other hosts, and when."""

from kumquatproxy import wire
from kumquatproxy.fleet import fleetmessages, servers

# A subscriber repeats its subscription each second; links are replaced within 2 s.
SUBSCRIBER_EXPIRY_S = 5.0
# Hosts judge the silence of backend servers by this, so it is well below
# servers.SILENT_AFTER_S.
ALIVE_INTERVAL_S = 2.0
HOSTS_INTERVAL_S = 1.0
ALIVE_AGE_S = 4.0


class Subscriber:
    """Hold what a control host knows of one that listens to it."""

    __slots__ = ("address", "has_details", "heard_at", "kind", "session", "version")

    def __init__(self, subscription, now):
        self.address: str = subscription.address
        self.kind: str = subscription.kind
        self.has_details: bool = subscription.has_details
        self.session: str = subscription.session
        self.version: int = subscription.version
        self.heard_at: float = now


class Spreader:
    """Keep the subscribers and the changes that they have not been told of."""

    __slots__ = (
        "_alive_at",
        "_changed_ids",
        "_direct_by_id",
        "_hosts_at",
        "_marks",
        "_own_id",
        "content",
        "subscribers_by_id",
        "table",
        "version",
    )

    def __init__(self, own_id: str, table: servers.ServerTable):
        self.table = table
        self.version = 0
        self.content = b""
        self.subscribers_by_id: dict[str, Subscriber] = {}
        self._own_id = own_id
        self._changed_ids: dict[str, None] = {}
        self._marks: list[list] = []
        self._direct_by_id: dict[str, tuple[int, float]] = {}
        self._alive_at = 0.0
        self._hosts_at = 0.0

    def subscribe(self, sender: str, message, now: float) -> list[wire.Send]:
        """Note a subscription; a new one gets everything."""
        known = self.subscribers_by_id.get(sender)
        self.subscribers_by_id[sender] = Subscriber(message, now)
        sends = []
        is_new = known is None or known.session != message.session
        if known is None or is_new or message.has_details > known.has_details:
            sends.append(wire.Send(sender, self._everything()))
        if message.version < self.version:
            sends.append(wire.Send(sender, self._configuration()))
        return sends

    def _everything(self):
        return fleetmessages.ServersPush(
            alive=[],
            marks=self.table.marks(),
            servers=[one.to_plain() for one in self.table.all()],
        )

    def _configuration(self):
        return fleetmessages.ConfigurationPush(
            content=self.content, version=self.version
        )

    def hear(self, announcement: servers.Announcement, now: float) -> None:
        """Take a heartbeat that came to this host itself."""
        is_new = self.table.hear(announcement, now)
        known = self.table.get(announcement.instance_id)
        if known is not None and known.lifetime == announcement.lifetime:
            self._direct_by_id[known.instance_id] = (known.born_ms, now)
        if is_new:
            self._changed_ids[announcement.instance_id] = None

    def mark(self, instance_id: str, born_ms: int, state, now: float) -> list:
        """Note a committed mark and return the messages that spread it at once."""
        if not self.table.mark(instance_id, born_ms, state):
            return []
        push = fleetmessages.ServersPush(
            alive=[], marks=[[instance_id, born_ms, state.value]], servers=[]
        )
        return [wire.Send(name, push) for name in self._live(now)]

    def merge(self, push: fleetmessages.ServersPush, now: float) -> None:
        """Take what another control host tells."""
        for plain in push.servers:
            announcement = servers.from_plain(plain)
            if self.table.hear(announcement, now):
                self._changed_ids[announcement.instance_id] = None
        for instance_id, born_ms, state in push.marks:
            state = servers.ServerState(state)
            if self.table.mark(instance_id, born_ms, state):
                self._marks.append([instance_id, born_ms, state.value])
        refresh(self.table, push.alive, now)

    def configure(self, version: int, content: bytes, now: float) -> list[wire.Send]:
        """Take a committed configuration and return the messages that spread it."""
        if version <= self.version:
            return []
        self.version = version
        self.content = content
        push = self._configuration()
        return [wire.Send(name, push) for name in self._live(now)]

    def _live(self, now):
        return [
            name
            for name, one in self.subscribers_by_id.items()
            if now - one.heard_at < SUBSCRIBER_EXPIRY_S
        ]

    def entry_count(self, now: float) -> int:
        """Return the number of entry hosts that listen to this host."""
        return len(self.entry_ids(now))

    def entry_ids(self, now: float) -> list[str]:
        """Return the entry hosts that listen to this host."""
        return [
            name
            for name in self._live(now)
            if self.subscribers_by_id[name].kind == fleetmessages.ENTRY
        ]

    def tick(self, hosts, voters, leader: str, now: float) -> list[wire.Send]:
        """Return the messages that are due."""
        live = self._live(now)
        sends: list[wire.Send] = []
        if self._changed_ids or self._marks or now >= self._alive_at:
            push = self._changes(now)
            detailed = [
                name for name in live if self.subscribers_by_id[name].has_details
            ]
            sends.extend(wire.Send(name, push) for name in detailed)
        if now >= self._hosts_at:
            self._hosts_at = now + HOSTS_INTERVAL_S
            message = fleetmessages.ControlHosts(
                entry_count=self.entry_count(now),
                hosts=hosts,
                leader=leader,
                voters=voters,
            )
            sends.extend(wire.Send(name, message) for name in live)
        return sends

    def _changes(self, now):
        changed = [self.table.get(name) for name in self._changed_ids]
        self._changed_ids.clear()
        marks, self._marks = self._marks, []
        alive = []
        if now >= self._alive_at:
            self._alive_at = now + ALIVE_INTERVAL_S
            alive = self._alive(now)
        return fleetmessages.ServersPush(
            alive=alive,
            marks=marks,
            servers=[one.to_plain() for one in changed if one is not None],
        )

    def _alive(self, now):
        recent = {
            name: (born_ms, heard_at)
            for name, (born_ms, heard_at) in self._direct_by_id.items()
            if now - heard_at < ALIVE_AGE_S
        }
        self._direct_by_id = recent
        return [[name, born_ms] for name, (born_ms, _) in recent.items()]


def refresh(table: servers.ServerTable, alive: list, now: float) -> None:
    """Note that servers were heard by another host within the last seconds."""
    for instance_id, born_ms in alive:
        known = table.known_by_id.get(instance_id)
        if known is not None and known.announcement.born_ms == born_ms:
            known.heard_at = now
