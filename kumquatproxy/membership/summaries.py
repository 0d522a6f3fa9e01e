"""Summaries of what each data centre serves, exchanged by the relays."""

import hashlib

from kumquatproxy import records, wire
from kumquatproxy.membership import trees

SUMMARY_INTERVAL_S = 2.0
FULL_INTERVAL_S = 10.0
SUMMARY_EXPIRY_S = 7.0
FAN_OUT = 2


@wire.register("centre-summary")
class CentreSummary(wire.Message):
    """Summarise what one data centre serves and name the relay that sends the summary.

    Other data centres forward calls to this relay. ``items_by_service`` and ``engines``
    are empty if ``digest`` is unchanged, except in one summary per ``FULL_INTERVAL_S``.
    Each engine is a list of id, service and memory in megabytes.
    """

    __slots__ = (
        "address",
        "data_centre",
        "digest",
        "engines",
        "host_id",
        "items_by_service",
        "number",
    )
    address: str
    data_centre: str
    digest: bytes
    engines: list
    host_id: str
    items_by_service: dict
    number: int


class RemoteSummary(records.Record):
    """Hold the newest summary of one relay of another data centre."""

    __slots__ = ("digest", "engines", "heard_at", "items_by_service", "summary")

    def __init__(self, summary, heard_at):
        self.summary: CentreSummary = summary
        self.heard_at: float = heard_at
        self.digest: bytes = b""
        self.items_by_service: dict[str, tuple[str, ...]] = {}
        self.engines: list[records.BackendServer] = []


class Summaries:
    """Send the summary of this data centre and store and forward those of others."""

    __slots__ = (
        "_address",
        "_data_centre",
        "_full_at",
        "_host_id",
        "_number",
        "_remotes_by_host",
        "_send_at",
        "_sent_digest",
    )

    def __init__(self, host_id, data_centre, address, number):
        self._host_id: str = host_id
        self._data_centre: str = data_centre
        self._address: str = address
        self._number: int = number  # rises, also across restarts
        self._remotes_by_host: dict[str, RemoteSummary] = {}
        self._send_at = 0.0
        self._full_at = 0.0
        self._sent_digest = b""

    def is_due(self, now: float) -> bool:
        """Return whether this data centre's summary is due."""
        return now >= self._send_at

    def tick(self, items_by_service, engines, remote_relays, now: float) -> list:
        """Return the due summary, addressed to the relays of the other data centres."""
        if not self.is_due(now) or not remote_relays:
            return []
        self._send_at = now + SUMMARY_INTERVAL_S
        engine_rows = [
            [engine.backend_id, engine.service, engine.memory_mb] for engine in engines
        ]
        digest = _digest(items_by_service, engine_rows)
        is_full = digest != self._sent_digest or now >= self._full_at
        if is_full:
            self._full_at = now + FULL_INTERVAL_S
            self._sent_digest = digest
        self._number += 1
        summary = CentreSummary(
            address=self._address,
            data_centre=self._data_centre,
            digest=digest,
            engines=engine_rows if is_full else [],
            host_id=self._host_id,
            items_by_service=items_by_service if is_full else {},
            number=self._number,
        )
        return [wire.Send(relay, summary) for relay in remote_relays]

    def receive(self, sender, summary: CentreSummary, order, now: float) -> list:
        """Store a newer summary and forward it on the tree of this data centre."""
        if summary.data_centre == self._data_centre:
            return []
        known = self._remotes_by_host.get(summary.host_id)
        if known is not None and summary.number <= known.summary.number:
            return []
        self._store_summary(summary, known, now)
        neighbours = trees.neighbours_in(order, self._host_id, FAN_OUT)
        return [
            wire.Send(neighbour, summary)
            for neighbour in neighbours
            if neighbour != sender
        ]

    def _store_summary(self, summary, known, now):
        remote = RemoteSummary(summary, now)
        if summary.digest == _digest(summary.items_by_service, summary.engines):
            remote.digest = summary.digest
            remote.engines = _engines_of(summary)
            remote.items_by_service = {
                service: tuple(keys)
                for service, keys in summary.items_by_service.items()
            }
        elif known is not None and known.digest == summary.digest:
            remote.digest = known.digest
            remote.engines = known.engines
            remote.items_by_service = known.items_by_service
        self._remotes_by_host[summary.host_id] = remote

    def expire(self, now: float) -> list[str]:
        """Remove expired summaries and return the ids of their relays."""
        silent = [
            host_id
            for host_id, remote in self._remotes_by_host.items()
            if now - remote.heard_at > SUMMARY_EXPIRY_S
        ]
        for host_id in silent:
            del self._remotes_by_host[host_id]
        return silent

    def remotes(self) -> list[RemoteSummary]:
        """Return the newest summary of each remote relay."""
        return list(self._remotes_by_host.values())

    def engines_by_centre(self) -> dict[str, list[records.BackendServer]]:
        """Return the engines of the other data centres with complete summaries."""
        return {
            remote.summary.data_centre: remote.engines
            for remote in self._remotes_by_host.values()
            if remote.digest
        }

    def centres_by_item(self) -> dict[records.Item, tuple[str, ...]]:
        """Return, for each item, the other data centres that have it loaded."""
        names_by_item: dict[records.Item, set[str]] = {}
        for remote in self._remotes_by_host.values():
            for keys in remote.items_by_service.values():
                for key in keys:
                    names = names_by_item.setdefault(records.parse_item(key), set())
                    names.add(remote.summary.data_centre)
        return {item: tuple(sorted(names)) for item, names in names_by_item.items()}


def _engines_of(summary):
    return [
        records.BackendServer(
            backend_id, "", summary.data_centre, "engine", service, 0, memory_mb
        )
        for backend_id, service, memory_mb in summary.engines
    ]


def _digest(items_by_service, engines) -> bytes:
    digest = hashlib.blake2b(digest_size=8)
    for backend_id, service, memory_mb in sorted(engines):
        digest.update(f"{backend_id}\0{service}\0{memory_mb}\0".encode())
    for service in sorted(items_by_service):
        digest.update(service.encode() + b"\0")
        for key in items_by_service[service]:
            digest.update(key.encode() + b"\0")
    return digest.digest()
