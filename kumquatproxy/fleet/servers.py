"""Backend servers that announce themselves by heartbeats, late and out of order."""

import enum

from kumquatproxy import records

# A server whose last heartbeat is older is used only if there is no other. Heartbeats
# come about once a second and may be seconds late.
SILENT_AFTER_S = 8.0
# A server that was silent for so long is forgotten.
FORGET_AFTER_S = 60.0


class ServerState(enum.Enum):
    """Name the states of a backend server."""

    READY = "ready"
    LEAVING = "leaving"  # takes no new calls
    GONE = "gone"

    @property
    def rank(self) -> int:
        """Return the position in the only order in which states follow each other."""
        return _RANKS[self]


_RANKS = {ServerState.READY: 0, ServerState.LEAVING: 1, ServerState.GONE: 2}


class Announcement(records.Record):
    """Hold what a backend server says of itself in one heartbeat."""

    __slots__ = (
        "address",
        "born_ms",
        "data_centre",
        "in_memory",
        "instance_id",
        "is_busy",
        "models",
        "on_disk",
        "remaining_s",
        "sequence",
        "service",
        "slots",
        "state",
    )

    def __init__(
        self,
        instance_id,
        service,
        address,
        data_centre,
        born_ms=0,
        sequence=0,
        slots=0,
        state=ServerState.READY,
        models=(),
        in_memory=(),
        on_disk=(),
        remaining_s=None,
        is_busy=False,
    ):
        self.instance_id: str = instance_id
        self.service: str = service
        self.address: str = address  # "IP:port"
        self.data_centre: str = data_centre
        self.born_ms: int = born_ms  # wall clock of its start; tells lifetimes apart
        self.sequence: int = sequence  # rises with each heartbeat of a lifetime
        self.slots: int = slots
        self.state: ServerState = state
        # [name, version, adapters] of each resident model
        self.models: list = [list(model) for model in models]
        self.in_memory: list[str] = list(in_memory)  # models with a copy in its memory
        self.on_disk: list[str] = list(on_disk)  # models with a copy on its disk
        self.remaining_s: float | None = remaining_s  # until it is taken away
        self.is_busy: bool = is_busy  # an order is being carried out

    @property
    def order(self) -> tuple[int, int]:
        """Return the place among all heartbeats of this id."""
        return (self.born_ms, self.sequence)

    @property
    def lifetime(self) -> tuple[str, int]:
        """Return what names this start of the server."""
        return (self.instance_id, self.born_ms)

    def has_model(self, name: str) -> bool:
        """Return whether a model is resident."""
        return any(model[0] == name for model in self.models)

    def to_plain(self) -> list:
        """Return the form that messages carry."""
        values = [getattr(self, name) for name in _PLAIN]
        return [*values, self.state.value]


_PLAIN = (
    "instance_id",
    "service",
    "address",
    "data_centre",
    "born_ms",
    "sequence",
    "slots",
    "models",
    "in_memory",
    "on_disk",
    "remaining_s",
    "is_busy",
)


def from_plain(plain: list) -> Announcement:
    """Return the announcement that a message carries."""
    values = dict(zip(_PLAIN, plain))
    return Announcement(state=ServerState(plain[len(_PLAIN)]), **values)


class Known:
    """Hold the newest announcement of one server and when it was heard."""

    __slots__ = ("announcement", "heard_at")

    def __init__(self, announcement, heard_at):
        self.announcement: Announcement = announcement
        self.heard_at: float = heard_at


class ServerTable:
    """Keep the newest announcement of each backend server."""

    __slots__ = ("_leaving_by_lifetime", "known_by_id")

    def __init__(self):
        self.known_by_id: dict[str, Known] = {}
        # The furthest state of each lifetime: it never goes back to ready.
        self._leaving_by_lifetime: dict[tuple, ServerState] = {}

    def hear(self, announcement: Announcement, now: float) -> bool:
        """Take an announcement; return whether it tells something new.

        One that is older than what is known of its id is ignored, and so is one of an
        earlier lifetime whose address another server has now.
        """
        known = self.known_by_id.get(announcement.instance_id)
        if known is not None and announcement.order <= known.announcement.order:
            return False
        if self._is_displaced(announcement):
            return False
        self._keep_leaving(announcement)
        self._displace_others(announcement)
        self.known_by_id[announcement.instance_id] = Known(announcement, now)
        return known is None or _content(known.announcement) != _content(announcement)

    def _keep_leaving(self, announcement):
        state = self._leaving_by_lifetime.get(announcement.lifetime)
        if state is not None and state.rank > announcement.state.rank:
            announcement.state = state

    def _is_displaced(self, announcement):
        return any(
            other.address == announcement.address
            and other.instance_id != announcement.instance_id
            and other.born_ms > announcement.born_ms
            for other in self.all()
        )

    def _displace_others(self, announcement):
        for other in self.all():
            is_other = other.instance_id != announcement.instance_id
            if is_other and other.address == announcement.address:
                del self.known_by_id[other.instance_id]

    def mark(self, instance_id: str, born_ms: int, state: ServerState) -> bool:
        """Note that a lifetime is leaving or gone; return whether that is new.

        ``born_ms`` 0 stands for the lifetime known at present.
        """
        known = self.known_by_id.get(instance_id)
        if not born_ms and known is not None:
            born_ms = known.announcement.born_ms
        lifetime = (instance_id, born_ms)
        before = self._leaving_by_lifetime.get(lifetime, ServerState.READY)
        if before.rank >= state.rank:
            return False
        self._leaving_by_lifetime[lifetime] = state
        if known is not None and known.announcement.lifetime == lifetime:
            known.announcement.state = state
        return True

    def marks(self) -> list[list]:
        """Return [id, birth, state] of all lifetimes that are leaving or gone."""
        return [
            [instance_id, born_ms, state.value]
            for (instance_id, born_ms), state in self._leaving_by_lifetime.items()
        ]

    def all(self) -> list[Announcement]:
        """Return the newest announcements of all servers."""
        return [known.announcement for known in self.known_by_id.values()]

    def ready(self, service: str, now: float) -> list[Announcement]:
        """Return the servers of a service that take calls.

        Silent ones are left out while there are others.
        """
        known = [
            one
            for one in self.known_by_id.values()
            if one.announcement.service == service
            and one.announcement.state is ServerState.READY
        ]
        heard = [one for one in known if now - one.heard_at < SILENT_AFTER_S]
        return [one.announcement for one in heard or known]

    def get(self, instance_id: str) -> Announcement | None:
        """Return the newest announcement of a server, or None."""
        known = self.known_by_id.get(instance_id)
        return known.announcement if known is not None else None

    def expire(self, now: float) -> list[str]:
        """Forget and return the ids of servers that were silent for long."""
        lost = [
            instance_id
            for instance_id, known in self.known_by_id.items()
            if now - known.heard_at >= FORGET_AFTER_S
        ]
        for instance_id in lost:
            del self.known_by_id[instance_id]
        return lost


def _content(announcement):
    """Return what other hosts need to know, without the sequence number."""
    return [
        value
        for name, value in zip(_PLAIN, announcement.to_plain())
        if name != "sequence"
    ] + [announcement.state]
