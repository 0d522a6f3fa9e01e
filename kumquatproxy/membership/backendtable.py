"""Backend servers of one data centre: incarnation, expiry and leaving."""

import struct

from kumquatproxy import errors, records
from kumquatproxy.membership import membermessages

EXPIRY_S = 10.0
"""A backend server not heard of for this long gets no requests; reports come each
second, so this passes over a change of collector."""

REFRESH_S = 4.0
"""The other hosts hear of a backend server by its reports. Where these are missing, an
announcement is passed on to them this long after the last report or announcement."""

FORGET_S = 3600.0

_HASH = struct.Struct(">Q")


class _Entry:
    __slots__ = ("hash", "heard_at", "published_at", "server")

    def __init__(self, server, heard_at):
        self.server: records.BackendServer = server
        self.heard_at: float = heard_at
        self.published_at: float = heard_at  # what the other hosts know as heard_at
        text = f"{server.backend_id} {server.incarnation} {server.leaving}"
        self.hash: int = membermessages.short_hash(text)


class BackendTable:
    """Keep the newest announcement of each backend server."""

    __slots__ = ("_entries_by_id", "checksum", "data_centre")

    def __init__(self, data_centre):
        self.data_centre: str = data_centre
        self.checksum = 0
        self._entries_by_id: dict[str, _Entry] = {}

    def __len__(self):
        return len(self._entries_by_id)

    def get(self, backend_id: str) -> records.BackendServer | None:
        """Return the newest announcement of a backend server, even if expired."""
        entry = self._entries_by_id.get(backend_id)
        return entry.server if entry else None

    def live(self, now: float) -> list[records.BackendServer]:
        """Return the backend servers that were heard of within ``EXPIRY_S``."""
        return [
            entry.server
            for entry in self._entries_by_id.values()
            if now - entry.heard_at <= EXPIRY_S
        ]

    def candidates(self, now: float) -> list[records.BackendServer]:
        """Return the live backend servers that may get new requests."""
        return [server for server in self.live(now) if not server.leaving]

    def announce(self, server: records.BackendServer, now: float) -> bool:
        """Enter an announcement; return whether it is to be passed on.

        Raise ProxyError if it is of another data centre, older than a known one, or
        differs from a known one with the same incarnation.
        """
        if server.data_centre != self.data_centre:
            raise _refusal(f"{server.backend_id!r} is of another data centre")
        known = self.get(server.backend_id)
        if known is not None:
            _check_succession(known, server)
        return self.merge(server, 0.0, now)

    def merge(self, server: records.BackendServer, age_s: float, now: float) -> bool:
        """Take a record heard ``age_s`` ago; return whether it is to be passed on.

        It is if it is newer than the known record or was heard much later.
        """
        if age_s > FORGET_S or server.data_centre != self.data_centre:
            return False
        entry = self._entries_by_id.get(server.backend_id)
        heard_at = now - max(0.0, age_s)
        if entry is None or _rank(server) > _rank(entry.server):
            self._replace(entry, _Entry(server, heard_at))
            return True
        if server.incarnation != entry.server.incarnation:
            return False
        entry.heard_at = max(entry.heard_at, heard_at)
        if heard_at - entry.published_at < REFRESH_S:
            return False
        entry.published_at = heard_at
        return True

    def heard(self, backend_id: str, incarnation: int, heard_at: float) -> None:
        """Note a report of a backend server at a time."""
        entry = self._entries_by_id.get(backend_id)
        if entry is not None and entry.server.incarnation == incarnation:
            entry.heard_at = max(entry.heard_at, heard_at)
            entry.published_at = max(entry.published_at, heard_at)

    def forget_old(self, now: float) -> list[str]:
        """Drop what was not heard of for ``FORGET_S``; return the ids."""
        old = [
            backend_id
            for backend_id, entry in self._entries_by_id.items()
            if now - entry.heard_at > FORGET_S
        ]
        for backend_id in old:
            self.checksum ^= self._entries_by_id.pop(backend_id).hash
        return old

    def known_hashes(self) -> bytes:
        """Return one hash of 8 bytes for each record."""
        hashes = [entry.hash for entry in self._entries_by_id.values()]
        return b"".join(_HASH.pack(value) for value in hashes)

    def missing_from(self, hashes: bytes, now: float) -> list[list]:
        """Return the message form of all records that are not among ``hashes``."""
        known = {value for (value,) in _HASH.iter_unpack(hashes)}
        return [
            membermessages.list_of_server(entry.server, now - entry.heard_at)
            for entry in self._entries_by_id.values()
            if entry.hash not in known
        ]

    def _replace(self, old, new):
        if old is not None:
            self.checksum ^= old.hash
        self.checksum ^= new.hash
        self._entries_by_id[new.server.backend_id] = new


def _rank(server):
    return (server.incarnation, server.leaving)


def _check_succession(known, server):
    if server.incarnation > known.incarnation:
        return
    name = f"{server.backend_id!r} with incarnation {server.incarnation}"
    if server.incarnation < known.incarnation:
        raise _refusal(f"{name} is older than the known {known.incarnation}")
    fields = [field for field in known.__slots__ if field != "leaving"]
    changed = [
        field for field in fields if getattr(known, field) != getattr(server, field)
    ]
    if changed:
        raise _refusal(f"{name} changed {', '.join(changed)}")


def _refusal(detail):
    return errors.ProxyError(
        errors.ErrorKind.INVALID_REQUEST, f"backend server {detail}"
    )
