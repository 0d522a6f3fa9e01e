"""Table of the backend servers, built from heartbeats that may be late or reordered."""

import enum

from kumquatproxy import entrychecks, records

# A server whose last heartbeat is older gets calls only if no other server is ready.
# Servers send a heartbeat about once a second, and it may be seconds late.
SILENT_AFTER_S = 8.0
# An entry host removes a server after this time without a heartbeat.
EXPIRE_AFTER_S = 60.0
# Servers, and lifetimes that are leaving or gone, of which a host keeps the newest.
MAX_SERVERS = 4000
MAX_MARKS = 4000


class ServerState(enum.Enum):
    """Enumerate the states of a backend server."""

    READY = "ready"
    LEAVING = "leaving"  # drains and takes no new calls
    GONE = "gone"

    @property
    def rank(self) -> int:
        """Return the position of the state; servers never return to an earlier one."""
        return _RANKS[self]


_RANKS = {ServerState.READY: 0, ServerState.LEAVING: 1, ServerState.GONE: 2}


class Announcement(records.Record):
    """Describe a backend server as of one of its heartbeats."""

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
        "software_version",
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
        software_version="",
    ):
        self.instance_id: str = instance_id
        self.service: str = service
        self.address: str = address  # "IP:port"
        self.data_centre: str = data_centre
        self.born_ms: int = born_ms  # wall clock at its start, differs by lifetime
        self.sequence: int = sequence  # rises with each heartbeat since that start
        self.slots: int = slots
        self.state: ServerState = state
        # [name, version, adapters] of each resident model
        self.models: list = [list(model) for model in models]
        self.in_memory: list[str] = list(in_memory)  # models cached in its memory
        self.on_disk: list[str] = list(on_disk)  # models cached on its disk
        self.remaining_s: float | None = remaining_s  # until it is shut down
        self.is_busy: bool = is_busy  # an order is being carried out
        # Of the server's program, not of a model's weights; empty if it names none.
        self.software_version: str = software_version

    @property
    def sequence_key(self) -> tuple[int, int]:
        """Return the key by which the heartbeats of an instance id are ordered."""
        return (self.born_ms, self.sequence)

    @property
    def lifetime(self) -> tuple[str, int]:
        """Return the id and start time, which identify the server until a restart."""
        return (self.instance_id, self.born_ms)

    def has_model(self, name: str) -> bool:
        """Return whether a model is resident."""
        return name in self.model_names()

    def model_names(self) -> list[str]:
        """Return the names of the resident models."""
        return [model[0] for model in self.models]

    def values_by_field(self) -> dict:
        """Return the values of all fields."""
        return dict(zip(self._fields(), self._values()))

    def to_wire(self) -> list:
        """Return the list form used in messages."""
        values = [getattr(self, name) for name in _WIRE_FIELDS]
        return [*values, self.state.value, self.software_version]


# The state and the software version follow these. Hosts of a build without the software
# version read the items before it only, and send lists that end with the state.
_WIRE_FIELDS = (
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

_KEY_INDEXES = [
    _WIRE_FIELDS.index(name) for name in ("instance_id", "born_ms", "sequence")
]


def has_software_version(fields: list) -> bool:
    """Return whether a list was made by a build that knows software versions."""
    return isinstance(fields, list) and len(fields) > len(_WIRE_FIELDS) + 1


def from_wire(fields: list) -> Announcement:
    """Return the announcement for a list made by ``to_wire``.

    Raise ValueError if it holds values that no server can have.
    """
    if not isinstance(fields, list) or len(fields) <= len(_WIRE_FIELDS):
        raise ValueError("an announcement is not a list of its fields")
    values = dict(zip(_WIRE_FIELDS, fields))
    state, *rest = fields[len(_WIRE_FIELDS) :]
    software_version = rest[0] if rest else ""
    check({**values, "software_version": software_version})
    return Announcement(
        state=ServerState(state), software_version=software_version, **values
    )


_CHECKS_BY_FIELD = {
    "instance_id": entrychecks.is_instance_id,
    "service": entrychecks.is_text,
    "address": entrychecks.is_address,
    "data_centre": entrychecks.is_text,
    "born_ms": entrychecks.is_integer,
    "sequence": entrychecks.is_integer,
    "slots": entrychecks.is_integer,
    "models": entrychecks.is_models,
    "in_memory": entrychecks.is_names,
    "on_disk": entrychecks.is_names,
    "remaining_s": lambda value: value is None or entrychecks.is_duration(value),
    "is_busy": lambda value: isinstance(value, bool),
    "software_version": entrychecks.is_text,
}


def check(values_by_field: dict) -> None:
    """Raise ValueError that names the fields of an announcement that are no use."""
    faults = entrychecks.faults(_CHECKS_BY_FIELD, values_by_field)
    if faults:
        raise ValueError(f"{', '.join(faults)}: wrong type or out of range")


def start_time_ms(value) -> int:
    """Return the start time of a server, 0 for a value that is none."""
    return value if entrychecks.is_integer(value) else 0


def mark_from_wire(fields: list) -> tuple[str, int, ServerState]:
    """Return the id, start time and state of a mark; raise ValueError if malformed."""
    if not isinstance(fields, list) or len(fields) != 3:
        raise ValueError("a mark is not a list of its fields")
    instance_id, born_ms, state = fields
    if not entrychecks.is_instance_id(instance_id) or not isinstance(born_ms, int):
        raise ValueError("a mark names no lifetime")
    return instance_id, born_ms, ServerState(state)


class KnownServer:
    """Hold the newest announcement of a server and the time of its receipt."""

    __slots__ = ("announcement", "heard_at")

    def __init__(self, announcement, heard_at):
        self.announcement: Announcement = announcement
        self.heard_at: float = heard_at


class ServerTable:
    """Keep the newest announcement of each backend server."""

    __slots__ = (
        "_holders_by_model",
        "_ids_by_address",
        "_marked_state_by_lifetime",
        "_servers_by_service",
        "known_by_id",
    )

    def __init__(self):
        # Only this class changes these four, together.
        self.known_by_id: dict[str, KnownServer] = {}
        self._ids_by_address: dict[str, dict[str, None]] = {}
        self._servers_by_service: dict[str, dict[str, KnownServer]] = {}
        # By service and name of a resident model, then by instance id.
        self._holders_by_model: dict[tuple[str, str], dict[str, KnownServer]] = {}
        # LEAVING or GONE, by lifetime: only a restarted server becomes ready again.
        self._marked_state_by_lifetime: dict[tuple, ServerState] = {}

    def apply_announcement(self, announcement: Announcement, now: float) -> bool:
        """Apply an announcement; return whether it changes what is known.

        Announcements older than the newest one of their id are ignored, and so are
        those of servers whose address a server that started later has taken over.
        """
        known = self.known_by_id.get(announcement.instance_id)
        if (
            known is not None
            and announcement.sequence_key <= known.announcement.sequence_key
        ):
            return False
        if self._is_address_reused(announcement):
            return False
        self._apply_marked_state(announcement)
        self._remove_servers_at_same_address(announcement)
        self._put(KnownServer(announcement, now))
        if len(self.known_by_id) > MAX_SERVERS:
            oldest = min(self.known_by_id.values(), key=lambda server: server.heard_at)
            self._remove(oldest.announcement.instance_id)
        return known is None or _comparable_fields(
            known.announcement
        ) != _comparable_fields(announcement)

    def _apply_marked_state(self, announcement):
        state = self._marked_state_by_lifetime.get(announcement.lifetime)
        if state is not None and state.rank > announcement.state.rank:
            announcement.state = state

    def _put(self, server):
        announcement = server.announcement
        instance_id = announcement.instance_id
        known = self.get(instance_id)
        # A known server keeps its place in the order.
        if known is not None and known.service != announcement.service:
            del self._servers_by_service[known.service][instance_id]
        if known is not None and known.address != announcement.address:
            self._forget_address(known)
        if known is not None:
            self._forget_models(known, kept=_model_keys(announcement))
        self.known_by_id[instance_id] = server
        self._servers_by_service.setdefault(announcement.service, {})[instance_id] = (
            server
        )
        self._ids_by_address.setdefault(announcement.address, {})[instance_id] = None
        for key in _model_keys(announcement):
            self._holders_by_model.setdefault(key, {})[instance_id] = server

    def _remove(self, instance_id):
        known = self.known_by_id.pop(instance_id).announcement
        servers_by_id = self._servers_by_service[known.service]
        del servers_by_id[instance_id]
        if not servers_by_id:
            del self._servers_by_service[known.service]
        self._forget_address(known)
        self._forget_models(known, kept=())

    def _forget_models(self, announcement, kept):
        for key in _model_keys(announcement):
            if key in kept:
                continue
            holders_by_id = self._holders_by_model.get(key, {})
            holders_by_id.pop(announcement.instance_id, None)
            if not holders_by_id:
                self._holders_by_model.pop(key, None)

    def _forget_address(self, announcement):
        ids = self._ids_by_address[announcement.address]
        del ids[announcement.instance_id]
        if not ids:
            del self._ids_by_address[announcement.address]

    def clear(self) -> None:
        """Remove all servers; which lifetimes are leaving or gone stays known."""
        for instance_id in list(self.known_by_id):
            self._remove(instance_id)

    def _at_address(self, address):
        """Return the announcements of the servers at an address."""
        return [
            self.known_by_id[instance_id].announcement
            for instance_id in self._ids_by_address.get(address, ())
        ]

    def _is_address_reused(self, announcement):
        return any(
            other.instance_id != announcement.instance_id
            and other.born_ms > announcement.born_ms
            for other in self._at_address(announcement.address)
        )

    def _remove_servers_at_same_address(self, announcement):
        for other in self._at_address(announcement.address):
            if other.instance_id != announcement.instance_id:
                self._remove(other.instance_id)

    def mark(self, instance_id: str, born_ms: int, state: ServerState) -> bool:
        """Record that a lifetime is leaving or gone; return whether that is new.

        ``born_ms`` 0 stands for the lifetime that is known at present.
        """
        known = self.known_by_id.get(instance_id)
        if not born_ms and known is not None:
            born_ms = known.announcement.born_ms
        lifetime = (instance_id, born_ms)
        previous = self._marked_state_by_lifetime.get(lifetime, ServerState.READY)
        if previous.rank >= state.rank:
            return False
        self._marked_state_by_lifetime.pop(lifetime, None)
        self._marked_state_by_lifetime[lifetime] = state
        if len(self._marked_state_by_lifetime) > MAX_MARKS:
            del self._marked_state_by_lifetime[
                next(iter(self._marked_state_by_lifetime))
            ]
        if known is not None and known.announcement.lifetime == lifetime:
            known.announcement.state = state
        return True

    def marks(self) -> list[list]:
        """Return [instance id, born_ms, state] of the lifetimes leaving or gone."""
        return [
            [instance_id, born_ms, state.value]
            for (instance_id, born_ms), state in self._marked_state_by_lifetime.items()
        ]

    def all(self) -> list[Announcement]:
        """Return the newest announcement of each server."""
        return [known.announcement for known in self.known_by_id.values()]

    def ready(
        self, service: str, now: float, model: str | None = None
    ) -> list[Announcement]:
        """Return the servers of a service that take calls, or those that have a model.

        Servers without a recent heartbeat are returned only if the service has no
        others.
        """
        in_service = self._servers_by_service.get(service, {})
        servers_by_id = in_service
        if model is not None:
            servers_by_id = self._holders_by_model.get((service, model), {})
        known = [
            server
            for server in servers_by_id.values()
            if server.announcement.state is ServerState.READY
        ]
        oldest = now - SILENT_AFTER_S
        recent = [server for server in known if server.heard_at > oldest]
        if not recent and any(
            server.heard_at > oldest and server.announcement.state is ServerState.READY
            for server in in_service.values()
        ):
            return []
        return [server.announcement for server in recent or known]

    def leaving_count(self) -> int:
        """Return the number of known servers that leave."""
        return sum(server.state is ServerState.LEAVING for server in self.all())

    def silent_count(self, now: float) -> int:
        """Return the number of servers without a recent heartbeat."""
        oldest = now - SILENT_AFTER_S
        return sum(known.heard_at <= oldest for known in self.known_by_id.values())

    def takes_calls(self, announcement: Announcement) -> bool:
        """Return whether the announced lifetime of a server still takes new calls."""
        known = self.get(announcement.instance_id)
        return (
            known is not None
            and known.lifetime == announcement.lifetime
            and known.state is ServerState.READY
        )

    def get(self, instance_id: str) -> Announcement | None:
        """Return the newest announcement of a server, or None."""
        known = self.known_by_id.get(instance_id)
        return known.announcement if known is not None else None

    def known_from(self, fields: list) -> Announcement | None:
        """Return the known announcement if a list by ``to_wire`` has nothing newer."""
        if not isinstance(fields, list) or len(fields) <= len(_WIRE_FIELDS):
            return None
        instance_id, born_ms, sequence = (fields[index] for index in _KEY_INDEXES)
        if not isinstance(instance_id, str):
            return None
        known = self.get(instance_id)
        if known is None or not entrychecks.is_integer(sequence):
            return None
        is_newer = born_ms != known.born_ms or sequence > known.sequence
        return None if is_newer else known

    def has_successor(self, announcement: Announcement) -> bool:
        """Return whether a later lifetime has announced itself in a server's place."""
        others = self._at_address(announcement.address)
        own = self.get(announcement.instance_id)
        return any(
            other.born_ms > announcement.born_ms
            for other in (others if own is None else [own, *others])
        )

    def expire(self, now: float) -> list[str]:
        """Remove servers without a heartbeat for long; return their ids."""
        expired_ids = [
            instance_id
            for instance_id, known in self.known_by_id.items()
            if now - known.heard_at >= EXPIRE_AFTER_S
        ]
        for instance_id in expired_ids:
            self._remove(instance_id)
        return expired_ids


def _model_keys(announcement):
    """Return the keys by which a table finds the holders of a model."""
    return [(announcement.service, name) for name in announcement.model_names()]


def _comparable_fields(announcement):
    """Return the fields that make a heartbeat worth publishing, so not ``sequence``."""
    return [
        value
        for name, value in zip(_WIRE_FIELDS, announcement.to_wire())
        if name != "sequence"
    ] + [announcement.state, announcement.software_version]
