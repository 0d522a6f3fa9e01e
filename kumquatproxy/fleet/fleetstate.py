"""Replicated state machine of the control group.

It holds the configuration, the servers that are leaving or gone, and the owner of
orders.
"""

import hashlib
import zlib

import cbor2

from kumquatproxy import wire
from kumquatproxy.fleet import serviceconfig

MAX_MARKS = 2000  # lifetimes of servers kept as leaving or gone


@wire.register("put-configuration")
class PutConfiguration(wire.Message):
    """Put a configuration in force if its version is above the one in force."""

    __slots__ = ("content", "version")
    content: bytes  # compressed text of the operator
    version: int


@wire.register("configuration-put")
class ConfigurationPut(wire.Message):
    """Answer a PutConfiguration with the version in force after it."""

    __slots__ = ("is_same", "version")
    is_same: bool  # the version in force was submitted with the same content
    version: int


@wire.register("read-configuration")
class ReadConfiguration(wire.Message):
    """Read the configuration in force, linearised with all changes."""

    __slots__ = ()


@wire.register("configuration-read")
class ConfigurationRead(wire.Message):
    """Answer a ReadConfiguration; without a configuration, content is empty.

    The version is then 0, by which hosts of earlier builds recognise it.
    """

    __slots__ = ("content", "version")
    content: bytes
    version: int


@wire.register("mark-server")
class MarkServer(wire.Message):
    """Record that a lifetime of a backend server is leaving or gone."""

    __slots__ = ("born_ms", "instance_id", "state")
    born_ms: int
    instance_id: str
    state: str


@wire.register("take-fleet-ownership")
class TakeOwnership(wire.Message):
    """Make a host the owner of orders, the only one that may order servers.

    ``fence`` is a number that rises with each owner. Engines reject orders with a lower
    fence than one they have seen. An owner commits its ownership once more, with the
    same fence, when it has held it for a lease.
    """

    __slots__ = ("fence", "host_id")
    fence: int
    host_id: str


@wire.register("fleet-ownership")
class Ownership(wire.Message):
    """Answer a TakeOwnership with the fence in force and the previous owner."""

    __slots__ = ("fence", "previous_host_id")
    fence: int
    previous_host_id: str


@wire.register("noted")
class CommandApplied(wire.Message):
    """Answer a command that has no result."""

    __slots__ = ()


class FleetState:
    """Apply the committed commands of the control group."""

    __slots__ = (
        "_digest",
        "content",
        "fence",
        "is_settled",
        "marks",
        "move_count",
        "owner",
        "version",
        "was_settled",
    )

    def __init__(self):
        self.version = serviceconfig.NO_VERSION
        self.content = b""
        self._digest = ""
        self.owner = ""
        self.fence = 0
        # Moves of the ownership from one host to another.
        self.move_count = 0
        # Whether the last one is known to be a lease ago, and whether the one before
        # was when the last one took place.
        self.is_settled = False
        self.was_settled = False
        self.marks: dict[tuple[str, int], str] = {}  # by lifetime

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
        return ConfigurationRead(content=self.content, version=self._encoded_version())

    def _encoded_version(self):
        """Return the version for hosts of any build, 0 without a configuration."""
        return self.version if self.content else 0

    def _mark(self, command):
        key = (command.instance_id, command.born_ms)
        self.marks.pop(key, None)
        self.marks[key] = command.state
        while len(self.marks) > MAX_MARKS:
            del self.marks[next(iter(self.marks))]
        return CommandApplied()

    def _take_ownership(self, command):
        previous = self.owner
        is_own = command.host_id == previous
        if command.fence > self.fence:
            if previous and not is_own:
                self.move_count += 1
                self.was_settled, self.is_settled = self.is_settled, False
            self.fence = command.fence
            self.owner = command.host_id
        elif command.fence == self.fence and is_own:
            self.is_settled = True
        return Ownership(fence=self.fence, previous_host_id=previous)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        marks = [[*key, state] for key, state in self.marks.items()]
        version = self._encoded_version()
        return cbor2.dumps([version, self.content, self.owner, self.fence, marks])

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        version, content, self.owner, self.fence, marks = cbor2.loads(data)
        # A state is never without a configuration once it has one. A snapshot of an
        # earlier build may be, as such a build keeps no version of 0 or less.
        if content:
            self.version, self.content = version, content
        # Earlier builds read snapshots too, so these do not tell when the ownership
        # moved. It may have done so more than once.
        self.move_count += 2
        self.was_settled = self.is_settled = False
        self._digest = _digest_of(self.content)
        self.marks = {(name, born): state for name, born, state in marks}


_HANDLERS = {
    PutConfiguration: FleetState._put,
    ReadConfiguration: FleetState._read,
    MarkServer: FleetState._mark,
    TakeOwnership: FleetState._take_ownership,
}


def pack(text: bytes) -> bytes:
    """Compress a configuration text."""
    return zlib.compress(text, 6)


def unpack(content: bytes) -> bytes:
    """Decompress a configuration text."""
    return zlib.decompress(content)


def _digest_of(content):
    return hashlib.sha256(content).hexdigest()
