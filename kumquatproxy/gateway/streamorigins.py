"""Where streams began, so that a call that resumes one goes on at the same version.

A caller may resume a stream at another entry host, often because the first one died.
Each entry host therefore sends the origin of a stream to control hosts before it sends
the first event to the caller. The host that resumes asks them. This module decides and
remembers; it does no I/O.
"""

from kumquatproxy import records

# Callers resume within the route's timeout of each attempt, with a pause in between.
KEPT_TIMEOUTS = 2.0
KEPT_MARGIN_S = 5.0
MAX_KEPT_S = 120.0
# Callers choose the ids. A stream with a longer one is treated as unknown.
MAX_ID_LENGTH = 128
# Distinct origins whose records are shared at a time.
MAX_SHARED_ORIGINS = 1000
# A host without a majority of control hosts for longer may have missed a new version.
MAX_CONTACT_GAP_S = 2.0
_UNKNOWN = (None, 0.0, "")


def resumable_s(timeout_s: float) -> float:
    """Return how long a stream of a route with this timeout may last and be resumed."""
    return KEPT_TIMEOUTS * timeout_s + KEPT_MARGIN_S


def kept_s(timeout_s: float) -> float:
    """Return how long the origin of a stream of such a route is kept."""
    return min(MAX_KEPT_S, resumable_s(timeout_s))


class Origin(records.Record):
    """Hold the service and software version of the server that began a stream."""

    __slots__ = ("service", "software_version")

    def __init__(self, service, software_version):
        self.service: str = service
        self.software_version: str = software_version


class OriginTable:
    """Remember the origins of streams for a time, up to a number of streams.

    The oldest ones are removed first if there are too many.
    """

    __slots__ = ("_entries_by_id", "_limit", "_shared_origins")

    def __init__(self, limit: int):
        self._limit = limit
        # Origin, end of the time, and who sends the origin again while it is up.
        self._entries_by_id: dict[str, tuple[Origin, float, str]] = {}
        # Streams of the same service and version refer to one record, to save memory.
        self._shared_origins: dict[Origin, Origin] = {}

    def __len__(self):
        return len(self._entries_by_id)

    def record(
        self,
        stream_id: str,
        origin: Origin,
        kept_s: float,
        now: float,
        owner: str = "",
    ) -> None:
        """Remember the origin of a stream for ``kept_s``."""
        if not 0 < len(stream_id) <= MAX_ID_LENGTH:
            return
        self._entries_by_id.pop(stream_id, None)
        while len(self._entries_by_id) >= self._limit:
            del self._entries_by_id[next(iter(self._entries_by_id))]
        if len(self._shared_origins) >= MAX_SHARED_ORIGINS:
            self._shared_origins.clear()
        origin = self._shared_origins.setdefault(origin, origin)
        expires_at = now + min(kept_s, MAX_KEPT_S)
        self._entries_by_id[stream_id] = (origin, expires_at, owner)

    def restore(
        self,
        stream_id: str,
        origin: Origin,
        left_s: float,
        now: float,
        owner: str = "",
    ) -> bool:
        """Remember an origin that was sent again or stored, unless another is known.

        It may be out of date, so it ends no earlier for that. Return whether the stream
        was unknown.
        """
        known, expires_at, known_owner = self._entries_by_id.get(stream_id, _UNKNOWN)
        known_left_s = max(0.0, expires_at - now)
        if left_s <= 0.0 or (known_left_s > 0.0 and known != origin):
            return False
        is_newer = left_s > known_left_s
        if is_newer or (owner and owner != known_owner):
            left_s = max(left_s, known_left_s)
            self.record(stream_id, origin, left_s, now, owner or known_owner)
        return known_left_s == 0.0

    def find(self, stream_id: str, now: float) -> Origin | None:
        """Return the origin of a stream, or None if it is unknown."""
        origin, expires_at, _ = self._entries_by_id.get(stream_id, _UNKNOWN)
        return origin if now < expires_at else None

    def time_left_s(self, stream_id: str, now: float) -> float:
        """Return how long a stream is still remembered, in seconds."""
        _, expires_at, _ = self._entries_by_id.get(stream_id, _UNKNOWN)
        return max(0.0, expires_at - now)

    def ids(self) -> list[str]:
        """Return the ids of the streams, the oldest first."""
        return list(self._entries_by_id)

    def ids_of(self, owners: set[str]) -> list[str]:
        """Return the ids of the streams with one of these owners, the oldest first."""
        entries = self._entries_by_id.items()
        return [stream_id for stream_id, entry in entries if entry[2] in owners]

    def ids_except(self, owners: set[str]) -> list[str]:
        """Return the ids of the streams with other owners, the oldest first."""
        entries = self._entries_by_id.items()
        return [stream_id for stream_id, entry in entries if entry[2] not in owners]

    def expire(self, now: float) -> None:
        """Remove the streams that can no longer be resumed."""
        expired_ids = [
            stream_id
            for stream_id, (_, expires_at, _) in self._entries_by_id.items()
            if now >= expires_at
        ]
        for stream_id in expired_ids:
            del self._entries_by_id[stream_id]


class VersionReport(records.Record):
    """Hold the software versions that a host has seen in some services and a window."""

    __slots__ = ("is_complete", "versions")

    def __init__(self, is_complete, versions):
        # Whether the host could learn of all versions throughout the window.
        self.is_complete: bool = is_complete
        self.versions: list[str] = sorted(versions)


class VersionHistory:
    """Remember when a host has seen servers of each software version of a service.

    A host learns of servers through control hosts, so its report on a window is
    complete only if it was in contact with a majority of them throughout.
    """

    __slots__ = ("_contact_at", "_contact_since", "_seen_at_by_key")

    def __init__(self):
        self._contact_since: float | None = None
        self._contact_at = 0.0
        # By service and software version.
        self._seen_at_by_key: dict[tuple[str, str], float] = {}

    def record_contact(self, now: float) -> None:
        """Record that a majority of the control hosts is in contact."""
        if self._contact_since is None or now - self._contact_at > MAX_CONTACT_GAP_S:
            self._contact_since = now
        self._contact_at = now

    def record(self, service: str, software_version: str, now: float) -> None:
        """Record that a server of a version may begin streams."""
        self._seen_at_by_key[(service, software_version)] = now

    def report(self, services, window_s: float, now: float) -> VersionReport:
        """Return the versions of services in a window that ends now.

        It is not complete for a longer window than versions are remembered.
        """
        is_complete = (
            window_s <= MAX_KEPT_S
            and self._contact_since is not None
            and now - self._contact_at <= MAX_CONTACT_GAP_S
            and now - self._contact_since >= window_s
        )
        versions = {
            software_version
            for (service, software_version), seen_at in self._seen_at_by_key.items()
            if service in services and now - seen_at <= window_s
        }
        return VersionReport(is_complete, versions)

    def expire(self, now: float) -> None:
        """Remove the versions that no longer matter."""
        self._seen_at_by_key = {
            key: seen_at
            for key, seen_at in self._seen_at_by_key.items()
            if now - seen_at <= MAX_KEPT_S
        }


class Lookup:
    """Collect the answers of control hosts about one stream.

    The first known origin settles it, or the answers of all ``awaited_ids``.
    """

    __slots__ = ("_awaited_ids", "answered_ids", "origin", "reports")

    def __init__(self, awaited_ids):
        self.origin: Origin | None = None
        self.reports: list[VersionReport] = []
        self.answered_ids: set[str] = set()
        self._awaited_ids: set[str] = set(awaited_ids)

    @property
    def is_settled(self) -> bool:
        """Return whether no answer is awaited any more."""
        return self.origin is not None or not self._awaited_ids

    def add_answer(
        self, sender: str, origin: Origin | None, report: VersionReport
    ) -> None:
        """Add the answer of a control host; the origin is None if it knows none."""
        self._awaited_ids.discard(sender)
        self.answered_ids.add(sender)
        self.reports.append(report)
        if self.origin is None:
            self.origin = origin


def required_origin(
    origin: Origin | None,
    service: str,
    services: list[str],
    reports: list[VersionReport],
    has_all_answers: bool,
) -> Origin | None:
    """Return where a resumed stream must go on, or None if it must be rejected.

    ``service`` was drawn among the ``services`` of the route. A stream of unknown
    ``origin`` goes on there if only one version can have begun it. All voters must
    have answered for that: a new version may be known only to hosts that are out of
    reach, and what this host knows may be out of date without its noticing.
    """
    if origin is not None:
        return origin if origin.service in services else None
    if not has_all_answers:
        return None
    versions = {version for report in reports for version in report.versions}
    if len(versions) != 1 or not any(report.is_complete for report in reports):
        return None
    return Origin(service, versions.pop())
