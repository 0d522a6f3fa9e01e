"""Messages and records by which hosts know each other."""

import enum
import hashlib

from kumquatproxy import errors, records, wire

SHORT_DIGEST_BYTES = 8


class HostState(enum.IntEnum):
    """Order the states of a host: of two with one incarnation the higher holds."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


PRESENT_STATES = (HostState.ALIVE, HostState.LEAVING, HostState.SUSPECT)


class Seed(records.Record):
    """Name a host of the settings through which a new host finds the others."""

    __slots__ = ("address", "data_centre", "host_id")

    def __init__(self, host_id, data_centre, address):
        self.host_id: str = host_id
        self.data_centre: str = data_centre
        self.address: str = address  # "IP:port"


class Settings:
    """Hold the settings of a host that membership needs."""

    __slots__ = ("address", "data_centre", "host_id", "incarnation", "seeds")

    def __init__(self, host_id, data_centre, address, incarnation, seeds=()):
        self.host_id: str = host_id
        self.data_centre: str = data_centre
        self.address: str = address  # "IP:port" for links from other hosts
        self.incarnation: int = incarnation  # higher after each restart
        self.seeds: tuple[Seed, ...] = tuple(seeds)


def parse_seed(text: str) -> Seed:
    """Return the seed of a text ``HOST-ID/DATA-CENTRE/IP:PORT``.

    Raise ProxyError if it has another form.
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
    """Hold what is known of one host of the own data centre."""

    __slots__ = ("address", "changed_at", "host_id", "incarnation", "state")

    def __init__(self, host_id, state, incarnation, address, changed_at=0.0):
        self.host_id: str = host_id
        self.state: HostState = HostState(state)
        self.incarnation: int = incarnation
        self.address: str = address
        self.changed_at: float = changed_at

    def rank(self) -> tuple[int, int]:
        """Return the key by which the newer of two entries is found."""
        return (self.incarnation, self.state)

    def to_list(self) -> list:
        """Return the form carried by messages; see ``parse_host``."""
        return [self.host_id, int(self.state), self.incarnation, self.address]


def parse_host(values) -> HostEntry:
    """Return the entry of a list made by ``HostEntry.to_list``."""
    _check_types(values, (str, int, int, str))
    return HostEntry(*values)


class HostChanged(records.Record):
    """Tell the host's other parts that a host has another state or address."""

    __slots__ = ("address", "data_centre", "host_id", "state")

    def __init__(self, host_id, data_centre, state, address):
        self.host_id: str = host_id
        self.data_centre: str = data_centre
        self.state: HostState = state
        self.address: str = address


class BackendChanged(records.Record):
    """Tell the host's other parts that a backend server is new or has changed."""

    __slots__ = ("server",)

    def __init__(self, server):
        self.server: records.BackendServer = server


def list_of_server(server: records.BackendServer, age_s: float) -> list:
    """Return the form of a backend server that messages carry."""
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
    """Return a backend server and the seconds since it was last heard of."""
    *fields, age_s = values
    _check_types(fields, _SERVER_TYPES)
    return records.BackendServer(*fields), float(age_s)


def parse_version(values) -> tuple[int, bytes]:
    """Return number and short digest of a version named by a probe."""
    _check_types(values, (int, bytes))
    return values[0], values[1]


def _check_types(values, types):
    if [type(value) for value in values] != list(types):
        raise TypeError(f"fields of other types than {types}: {values!r:.100}")


def short_hash(text: str) -> int:
    """Return a 64-bit hash; sets of entries are compared by the XOR of these."""
    digest = hashlib.blake2b(text.encode(), digest_size=SHORT_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


@wire.register("probe")
class Probe(wire.Message):
    """Ask a host for a ProbeAck; ``checksums`` and ``version`` find stale state."""

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
    """Ask a host to probe ``target`` for the sender."""

    __slots__ = ("number", "target")
    number: int
    target: str


@wire.register("member-sync")
class MemberSync(wire.Message):
    """Carry all present hosts; ``answer`` asks for the receiver's list."""

    __slots__ = ("answer", "hosts")
    answer: bool
    hosts: list


@wire.register("member-push")
class MemberPush(wire.Message):
    """Carry changes that must be known at once and are passed on."""

    __slots__ = ("hosts", "servers")
    hosts: list
    servers: list


@wire.register("backend-pull")
class BackendPull(wire.Message):
    """Ask for all backend servers other than those with the hashes ``known``."""

    __slots__ = ("known",)
    known: bytes


@wire.register("relay-notice")
class RelayNotice(wire.Message):
    """Tell another data centre of the relays and the version of this one."""

    __slots__ = ("answer", "data_centre", "relays", "version")
    answer: bool
    data_centre: str
    relays: list
    version: list
