"""Messages and records of the membership protocol."""

import enum
import hashlib

from kumquatproxy import errors, records, wire

SHORT_DIGEST_BYTES = 8


class HostState(enum.IntEnum):
    """State of a host; of two entries of one incarnation the higher state wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


PRESENT_STATES = (HostState.ALIVE, HostState.LEAVING, HostState.SUSPECT)


class Seed(records.Record):
    """Name a configured host through which a new host finds the others."""

    __slots__ = ("address", "data_centre", "host_id")

    def __init__(self, host_id, data_centre, address):
        self.host_id: str = host_id
        self.data_centre: str = data_centre
        self.address: str = address  # "IP:port"


class Settings:
    """Hold the settings of the membership of one host."""

    __slots__ = ("address", "data_centre", "host_id", "incarnation", "seeds")

    def __init__(self, host_id, data_centre, address, incarnation, seeds=()):
        self.host_id: str = host_id
        self.data_centre: str = data_centre
        self.address: str = address  # "IP:port" that other hosts dial
        # Normally rises with each restart. Lower after a restart if the clock was set
        # back and there is no data folder.
        self.incarnation: int = incarnation
        self.seeds: tuple[Seed, ...] = tuple(seeds)


def parse_seed(text: str) -> Seed:
    """Parse a seed of the form ``HOST-ID/DATA-CENTRE/IP:PORT``.

    Raise ProxyError if the text has another form.
    """
    parts = text.split("/")
    if len(parts) == 3 and all(parts):
        host, _, port = parts[2].rpartition(":")
        if host and port.isdecimal() and 0 < int(port) < 65536:
            return Seed(*parts)
    raise errors.ProxyError(
        errors.ErrorKind.INVALID_CONFIGURATION,
        f"seed {text!r} is not of the form HOST-ID/DATA-CENTRE/IP:PORT",
    )


class HostEntry(records.Record):
    """Hold the known state of one host of this data centre."""

    __slots__ = ("address", "changed_at", "host_id", "incarnation", "state")

    def __init__(self, host_id, state, incarnation, address, changed_at=0.0):
        self.host_id: str = host_id
        self.state: HostState = HostState(state)
        self.incarnation: int = incarnation
        self.address: str = address
        self.changed_at: float = changed_at

    def rank(self) -> tuple[int, int]:
        """Return the sort key that orders entries of one host from old to new."""
        return (self.incarnation, self.state)

    def to_list(self) -> list:
        """Return the form used in messages; ``parse_host`` reads it."""
        return [self.host_id, int(self.state), self.incarnation, self.address]


def parse_host(values) -> HostEntry:
    """Parse a list made by ``HostEntry.to_list``.

    Raise TypeError for wrong types and ValueError for an unknown state.
    """
    _check_types(values, (str, int, int, str))
    return HostEntry(*values)


class HostChanged(records.Record):
    """Tell other parts of this host that a host is new or that its entry changed."""

    __slots__ = ("address", "data_centre", "host_id", "state")

    def __init__(self, host_id, data_centre, state, address):
        self.host_id: str = host_id
        self.data_centre: str = data_centre
        self.state: HostState = state
        self.address: str = address


class BackendChanged(records.Record):
    """Tell other parts of this host that a backend server is new or has changed."""

    __slots__ = ("server",)

    def __init__(self, server):
        self.server: records.BackendServer = server


def list_of_server(server: records.BackendServer, age_s: float) -> list:
    """Return the form of a backend server used in messages.

    ``age_s`` is the time since the server last reported or announced.
    """
    return [
        server.backend_id,
        server.address,
        server.data_centre,
        server.kind,
        server.service,
        server.incarnation,
        server.memory_mb,
        server.accelerators,
        server.checks_fencing,
        server.leaving,
        round(age_s, 1),
    ]


_SERVER_TYPES = (str, str, str, str, str, int, int, int, bool, bool)


def parse_server(values) -> tuple[records.BackendServer, float]:
    """Parse a backend server and the seconds since it last reported or announced."""
    *fields, age_s = values
    _check_types(fields, _SERVER_TYPES)
    return records.BackendServer(*fields), float(age_s)


def parse_version(values) -> tuple[int, bytes]:
    """Parse the number and short digest of a configuration version."""
    _check_types(values, (int, bytes))
    return values[0], values[1]


def _check_types(values, types):
    if [type(value) for value in values] != list(types):
        raise TypeError(f"expected fields of types {types}, got {values!r:.100}")


def short_hash(text: str) -> int:
    """Return a 64-bit hash; the XOR of these is the checksum of a set of entries."""
    digest = hashlib.blake2b(text.encode(), digest_size=SHORT_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


@wire.register("probe")
class Probe(wire.Message):
    """Ask a host for a ProbeAck.

    By ``checksums`` and ``version``, the number and short digest of the sender's newest
    configuration version, the receiver finds out whether its data differs from the
    sender's.
    """

    __slots__ = ("checksums", "number", "sender_entry", "updates", "version")
    sender_entry: list
    updates: list
    number: int
    checksums: bytes
    version: list


@wire.register("probe-ack")
class ProbeAck(wire.Message):
    """Confirm that the host ``about`` is alive."""

    __slots__ = ("about", "checksums", "number", "sender_entry", "updates", "version")
    about: str
    sender_entry: list
    updates: list
    number: int
    checksums: bytes
    version: list


@wire.register("probe-request")
class ProbeRequest(wire.Message):
    """Ask a host to probe ``target`` on behalf of the sender."""

    __slots__ = ("number", "target")
    number: int
    target: str


@wire.register("member-sync")
class MemberSync(wire.Message):
    """List the present hosts whose incarnation is known.

    ``answer`` asks the receiver for its own list.
    """

    __slots__ = ("answer", "hosts")
    answer: bool
    hosts: list


@wire.register("member-push")
class MemberPush(wire.Message):
    """Carry changes that each receiver forwards at once if they are new to it.

    A receiver also forwards a known backend server if its last report or forwarded
    announcement was at least ``backendtable.REFRESH_INTERVAL_S`` earlier.
    """

    __slots__ = ("hosts", "servers")
    hosts: list
    servers: list


@wire.register("backend-pull")
class BackendPull(wire.Message):
    """Ask for all backend servers except those whose hashes are in ``known``."""

    __slots__ = ("known",)
    known: bytes


@wire.register("relay-notice")
class RelayNotice(wire.Message):
    """Announce the relays and the version of one data centre to another.

    ``answer`` asks the receiver for its own notice.
    """

    __slots__ = ("answer", "data_centre", "relays", "version")
    answer: bool
    data_centre: str
    relays: list
    version: list
