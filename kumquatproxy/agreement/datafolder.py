"""Data folder with the durable files of a host."""

import pathlib
import secrets

import cbor2

from kumquatproxy.agreement import diskstore, durablefiles
from kumquatproxy.configuration import dissemination

CONFIGURATION_FILE = "version"
DISK_ID_FILE = "identity"
INCARNATION_FILE = "incarnation"


class DataFolder:
    """Store the durable files of one host; without a folder nothing is stored."""

    def __init__(self, path: str):
        self.path: pathlib.Path | None = pathlib.Path(path) if path else None
        if self.path is not None:
            self.path.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes:
        """Return the content of a file, empty if it does not exist."""
        if self.path is None or not (self.path / name).exists():
            return b""
        return (self.path / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Replace the content of a file durably, if there is a folder."""
        if self.path is not None:
            durablefiles.replace_file(self.path / name, data)

    def next_incarnation(self, wall_time_s: float) -> int:
        """Return the number of this start of the host.

        It is the wall time in milliseconds, but always above the stored number. Without
        a folder it can decrease if the clock was set back; the host then announces a
        number above the one that other hosts report for it.
        """
        previous = int(self.read(INCARNATION_FILE) or b"0")
        incarnation = max(previous + 1, int(wall_time_s * 1000))
        self.write(INCARNATION_FILE, str(incarnation).encode())
        return incarnation

    def delete_member_state(self, group: str) -> None:
        """Generate a new disk id and delete the state of one group; raise OSError.

        The new disk id changes the identity of this host in all groups. It is written
        first, since a member that lost its log must not vote under its old identity.
        """
        if self.path is None:
            return
        self.write(DISK_ID_FILE, secrets.token_hex(8).encode())
        directory = self.path / group
        for path in sorted(directory.glob("*")):
            path.unlink()

    def disk_id(self) -> str:
        """Return the id of this disk; without a folder each call returns a new one."""
        stored_id = self.read(DISK_ID_FILE).decode()
        if stored_id:
            return stored_id
        new_id = secrets.token_hex(8)
        self.write(DISK_ID_FILE, new_id.encode())
        return new_id

    def save_configuration(self, number: int, content: bytes) -> None:
        """Store the current configuration, to be used at the next start."""
        self.write(CONFIGURATION_FILE, cbor2.dumps([number, content]))

    def stored_version(self) -> dissemination.Version | None:
        """Return the stored configuration, None if there is none."""
        data = self.read(CONFIGURATION_FILE)
        if not data:
            return None
        number, content = cbor2.loads(data)
        return dissemination.Version(number, content)

    def open_store(self, group: str, identity: str, state):
        """Open the store of a group member; format its directory if it is new."""
        if self.path is None:
            return diskstore.MemoryStore(identity, state)
        directory = self.path / group.replace(":", "-")
        if not diskstore.is_formatted(directory):
            diskstore.format_directory(directory, identity, state)
        return diskstore.DiskStore(directory)
