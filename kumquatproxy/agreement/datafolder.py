"""The folder with a host's durable files."""

import pathlib
import secrets

import cbor2

from kumquatproxy.agreement import diskstore, durablefiles
from kumquatproxy.configuration import dissemination

VERSION_FILE = "version"
IDENTITY_FILE = "identity"
INCARNATION_FILE = "incarnation"


class DataFolder:
    """Keep the durable files of one host; without a folder nothing is kept."""

    def __init__(self, path: str):
        self.path: pathlib.Path | None = pathlib.Path(path) if path else None
        if self.path is not None:
            self.path.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes:
        """Return the content of a file, or nothing."""
        if self.path is None or not (self.path / name).exists():
            return b""
        return (self.path / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Make data the durable content of a file, if there is a folder."""
        if self.path is not None:
            durablefiles.replace(self.path / name, data)

    def next_incarnation(self, wall_time_s: float) -> int:
        """Return a number that rises with each start of this host.

        Without a folder the wall clock gives it; membership lets a host whose clock
        went back refute the higher number that others remember.
        """
        known = int(self.read(INCARNATION_FILE) or b"0")
        incarnation = max(known + 1, int(wall_time_s * 1000))
        self.write(INCARNATION_FILE, str(incarnation).encode())
        return incarnation

    def discard(self, group: str) -> None:
        """Put the state of a group's member aside and draw a new disk id."""
        if self.path is None:
            return
        directory = self.path / group
        for path in sorted(directory.glob("*")):
            path.unlink()
        self.write(IDENTITY_FILE, secrets.token_hex(8).encode())

    def disk_id(self) -> str:
        """Return the id of this disk; a host without one gets a new id each time."""
        known = self.read(IDENTITY_FILE).decode()
        if known:
            return known
        fresh = secrets.token_hex(8)
        self.write(IDENTITY_FILE, fresh.encode())
        return fresh

    def save_version(self, number: int, content: bytes) -> None:
        """Keep the configuration in force for the next start."""
        self.write(VERSION_FILE, cbor2.dumps([number, content]))

    def stored_version(self) -> dissemination.Version | None:
        """Return the configuration that was kept."""
        data = self.read(VERSION_FILE)
        if not data:
            return None
        number, content = cbor2.loads(data)
        return dissemination.Version(number, content)

    def store(self, group: str, identity: str, state):
        """Return the store of a group's member, formatted if it is new."""
        if self.path is None:
            return diskstore.MemoryStore(identity, state)
        directory = self.path / group.replace(":", "-")
        if not diskstore.is_formatted(directory):
            diskstore.format_directory(directory, identity, state)
        return diskstore.DiskStore(directory)
