"""State machine of the control group: configuration, leaving servers, ownership."""

import hashlib
import zlib

import cbor2

from kumquatproxy import wire

MAX_MARKS = 2000  # lifetimes of servers that are known to be leaving


@wire.register("put-configuration")
class PutConfiguration(wire.Message):
    """Put a configuration in force unless a higher version is."""

    __slots__ = ("content", "version")
    content: bytes  # compressed text as the operator sent it
    version: int


@wire.register("configuration-put")
class ConfigurationPut(wire.Message):
    """Answer a PutConfiguration with what is in force after it."""

    __slots__ = ("is_same", "version")
    is_same: bool  # the version in force was submitted with the same content
    version: int


@wire.register("read-configuration")
class ReadConfiguration(wire.Message):
    """Read what is in force, ordered with all changes."""

    __slots__ = ()


@wire.register("configuration-read")
class ConfigurationRead(wire.Message):
    """Answer a ReadConfiguration; version 0 means that there is none yet."""

    __slots__ = ("content", "version")
    content: bytes
    version: int


@wire.register("mark-server")
class MarkServer(wire.Message):
    """Note that a lifetime of a backend server is leaving or gone."""

    __slots__ = ("born_ms", "instance_id", "state")
    born_ms: int
    instance_id: str
    state: str


@wire.register("take-fleet-ownership")
class TakeOwnership(wire.Message):
    """Make a host the only one that gives orders to backend servers."""

    __slots__ = ("fence", "host_id")
    fence: int
    host_id: str


@wire.register("fleet-ownership")
class Ownership(wire.Message):
    """Tell who owned the orders before a TakeOwnership."""

    __slots__ = ("fence", "previous_host_id")
    fence: int
    previous_host_id: str


@wire.register("noted")
class Noted(wire.Message):
    """Answer a command that has no other result."""

    __slots__ = ()


class FleetState:
    """Apply the commands of the control group."""

    __slots__ = ("_digest", "content", "fence", "marks", "owner", "version")

    def __init__(self):
        self.version = 0
        self.content = b""
        self._digest = ""
        self.owner = ""
        self.fence = 0
        self.marks: dict[tuple[str, int], str] = {}  # state by lifetime

    def apply(self, command: wire.Message) -> wire.Message:
        """Apply one committed command and return its answer."""
        return _HANDLERS[type(command)](self, command)

    def _put(self, command):
        digest = _digest_of(command.content)
        if command.version > self.version:
            self.version = command.version
            self.content = command.content
            self._digest = digest
        is_same = command.version == self.version and digest == self._digest
        return ConfigurationPut(is_same=is_same, version=self.version)

    def _read(self, command):
        return ConfigurationRead(content=self.content, version=self.version)

    def _mark(self, command):
        key = (command.instance_id, command.born_ms)
        self.marks.pop(key, None)
        self.marks[key] = command.state
        while len(self.marks) > MAX_MARKS:
            del self.marks[next(iter(self.marks))]
        return Noted()

    def _take_ownership(self, command):
        previous = self.owner
        if command.fence > self.fence:
            self.fence = command.fence
            self.owner = command.host_id
        return Ownership(fence=self.fence, previous_host_id=previous)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        marks = [[*key, state] for key, state in self.marks.items()]
        return cbor2.dumps([self.version, self.content, self.owner, self.fence, marks])

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.version, self.content, self.owner, self.fence, marks = cbor2.loads(data)
        self._digest = _digest_of(self.content)
        self.marks = {(name, born): state for name, born, state in marks}


_HANDLERS = {
    PutConfiguration: FleetState._put,
    ReadConfiguration: FleetState._read,
    MarkServer: FleetState._mark,
    TakeOwnership: FleetState._take_ownership,
}


def pack(text: bytes) -> bytes:
    """Return the compressed form of a configuration text."""
    return zlib.compress(text, 6)


def unpack(content: bytes) -> bytes:
    """Return the text of a compressed configuration."""
    return zlib.decompress(content)


def _digest_of(content):
    return hashlib.sha256(content).hexdigest()
