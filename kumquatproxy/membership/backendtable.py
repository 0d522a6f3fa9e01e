"""Known backend servers of one data centre, with expiry and leaving state."""

import struct

from kumquatproxy import errors, records
from kumquatproxy.membership import membermessages

EXPIRY_S = 10.0
"""A backend server gets no requests after this time without a report or announcement.
Reports come every second, so a server that starts to report to another host does not
expire meanwhile."""

REFRESH_INTERVAL_S = 4.0
"""A repeated announcement is forwarded only if it is at least this much later than the
last load report or forwarded announcement, so a server that reports causes no repeated
announcements."""

RETENTION_S = 3600.0

_HASH = struct.Struct(">Q")


class _Entry:
    __slots__ = ("forwarded_heard_at", "hash", "heard_at", "server")

    def __init__(self, server, heard_at):
        self.server: records.BackendServer = server
        self.heard_at: float = heard_at
        # Newest ``heard_at`` that the other hosts have also got, by a load report or a
        # forwarded announcement.
        self.forwarded_heard_at: float = heard_at
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
        """Return the newest announcement of a backend server, even if not ``live``."""
        entry = self._entries_by_id.get(backend_id)
        return entry.server if entry else None

    def live(self, now: float) -> list[records.BackendServer]:
        """Return the backend servers that reported or announced within ``EXPIRY_S``."""
        return [
            entry.server
            for entry in self._entries_by_id.values()
            if now - entry.heard_at <= EXPIRY_S
        ]

    def candidates(self, now: float) -> list[records.BackendServer]:
        """Return the live backend servers that accept new requests."""
        return [server for server in self.live(now) if not server.leaving]

    def announce(self, server: records.BackendServer, now: float) -> bool:
        """Record an announcement and return whether to forward it.

        Raise ProxyError if it names another data centre, has a lower incarnation than
        the known announcement, or has the same incarnation but other values in fields
        other than ``leaving``. A withdrawn ``leaving`` is ignored.
        """
        if server.data_centre != self.data_centre:
            raise _invalid_error(
                f"{server.backend_id!r} belongs to another data centre"
            )
        known = self.get(server.backend_id)
        if known is not None:
            _check_against_known(known, server)
        return self.merge(server, 0.0, now)

    def merge(self, server: records.BackendServer, age_s: float, now: float) -> bool:
        """Merge the record of a backend server and return whether to forward it.

        ``age_s`` is the time since the server last reported or announced. A record is
        forwarded if it is newer than the known one, or if the server was heard at least
        ``REFRESH_INTERVAL_S`` after the last time that the other hosts know.
        """
        if age_s > RETENTION_S or server.data_centre != self.data_centre:
            return False
        entry = self._entries_by_id.get(server.backend_id)
        heard_at = now - max(0.0, age_s)
        if entry is None or _rank(server) > _rank(entry.server):
            self._replace(entry, _Entry(server, heard_at))
            return True
        if server.incarnation != entry.server.incarnation:
            return False
        entry.heard_at = max(entry.heard_at, heard_at)
        if heard_at - entry.forwarded_heard_at < REFRESH_INTERVAL_S:
            return False
        entry.forwarded_heard_at = heard_at
        return True

    def record_report(self, backend_id: str, incarnation: int, heard_at: float) -> None:
        """Record the time of a load report of a backend server."""
        entry = self._entries_by_id.get(backend_id)
        if entry is not None and entry.server.incarnation == incarnation:
            entry.heard_at = max(entry.heard_at, heard_at)
            entry.forwarded_heard_at = max(entry.forwarded_heard_at, heard_at)

    def purge(self, now: float) -> list[str]:
        """Remove servers silent for more than ``RETENTION_S`` and return their ids."""
        silent_ids = [
            backend_id
            for backend_id, entry in self._entries_by_id.items()
            if now - entry.heard_at > RETENTION_S
        ]
        for backend_id in silent_ids:
            self.checksum ^= self._entries_by_id.pop(backend_id).hash
        return silent_ids

    def known_hashes(self) -> bytes:
        """Return the concatenated 8-byte hashes of all records."""
        hashes = [entry.hash for entry in self._entries_by_id.values()]
        return b"".join(_HASH.pack(value) for value in hashes)

    def missing_from(self, hashes: bytes, now: float) -> list[list]:
        """Return the message form of all records whose hash is not in ``hashes``."""
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


def _check_against_known(known, server):
    if server.incarnation > known.incarnation:
        return
    name = f"{server.backend_id!r} with incarnation {server.incarnation}"
    if server.incarnation < known.incarnation:
        raise _invalid_error(
            f"{name} is older than the known incarnation {known.incarnation}"
        )
    fields = [field for field in known.__slots__ if field != "leaving"]
    changed = [
        field for field in fields if getattr(known, field) != getattr(server, field)
    ]
    if changed:
        raise _invalid_error(
            f"{name} changed {', '.join(changed)}, which needs a higher incarnation"
        )


def _invalid_error(detail):
    return errors.ProxyError(
        errors.ErrorKind.INVALID_REQUEST, f"backend server {detail}"
    )
