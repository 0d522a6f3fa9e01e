"""Origins of streams that are sent again to control hosts that have restarted.

A control host that starts knows those on its disk, if it has one, and asks its
subscribers. Entry hosts send the origins of the streams that they began, and the other
control hosts those of entry hosts that have ended, a part with each tick.
"""

from kumquatproxy import entrychecks, wire
from kumquatproxy.gateway import streamorigins

# Part of the session of a host that sends origins again. Hosts of earlier builds only
# compare sessions, and would close the link on the messages below.
ORIGINS_MARK = "+origins"
# An entry host that has been silent for longer may have ended. Each one sends a message
# a second, and control hosts may restart a second or two after one another.
SILENCE_S = 2.0
# Owner of origins that a host has read from its disk. The others have theirs on their
# own disks, so it passes none of them on.
STORED = "stored"
# Interval at which the ends of entry hosts are looked for, as each one takes a scan of
# the table.
END_CHECK_INTERVAL_S = 0.25
# Bytes to all hosts together in a tick of 50 ms. At an entry host it is a quarter of a
# link of 5 Mbit/s; links of control hosts are faster.
ENTRY_BYTES_PER_TICK = 8 * 1024
CONTROL_BYTES_PER_TICK = 32 * 1024
STREAM_BYTES = 13  # of a stream in a message, beside its id


@wire.register("origins-wanted")
class OriginsWanted(wire.Message):
    """Ask a subscriber for the origins that it can send again."""

    __slots__ = ("session",)
    session: str  # of the asking host; changes at each of its starts


@wire.register("stream-origins")
class StreamOrigins(wire.Message):
    """Send origins of streams to a control host that has asked for them."""

    __slots__ = ("origins", "streams")
    origins: list  # [service, software version]
    streams: list  # [stream id, index in origins, seconds that it may be resumed]


def mark_session(session: str) -> str:
    """Return the session of a host that sends origins again."""
    return ORIGINS_MARK + session


def sends_origins(session: str) -> bool:
    """Return whether a subscriber with this session sends origins again."""
    return ORIGINS_MARK in session


def to_message(
    streams: list[tuple[str, streamorigins.Origin, float]],
) -> StreamOrigins:
    """Return the message with streams of (id, origin, seconds left)."""
    indices: dict[streamorigins.Origin, int] = {}
    entries = [
        [stream_id, indices.setdefault(origin, len(indices)), round(left_s, 3)]
        for stream_id, origin, left_s in streams
    ]
    origins = [[origin.service, origin.software_version] for origin in indices]
    return StreamOrigins(origins=origins, streams=entries)


def from_message(
    message: StreamOrigins,
) -> list[tuple[str, streamorigins.Origin, float]]:
    """Return (id, origin, seconds left) of a message without the malformed entries."""
    if not isinstance(message.origins, list) or not isinstance(message.streams, list):
        return []
    origins = [
        streamorigins.Origin(*fields) if _is_origin(fields) else None
        for fields in message.origins
    ]
    return [
        (entry[0], origin, entry[2])
        for entry in message.streams
        if _is_stream(entry, len(origins)) and (origin := origins[entry[1]]) is not None
    ]


def _is_origin(fields):
    is_pair = isinstance(fields, list) and len(fields) == 2
    return is_pair and all(map(entrychecks.is_text, fields))


def _is_stream(entry, origin_count):
    return (
        isinstance(entry, list)
        and len(entry) == 3
        and isinstance(entry[0], str)
        and entrychecks.is_integer(entry[1])
        and entry[1] < origin_count
        and entrychecks.is_duration(entry[2])
    )


class Outbox:
    """Hold the ids of the streams that are due to other hosts."""

    __slots__ = ("_limit_bytes", "_table", "_unsent_ids_by_host")

    def __init__(self, table: streamorigins.OriginTable, limit_bytes: int):
        self._table = table
        self._limit_bytes = limit_bytes  # of a tick
        self._unsent_ids_by_host: dict[str, list[str]] = {}

    def add(self, host_id: str, stream_ids: list[str]) -> None:
        """Add streams that are due to a host; the last ones are sent first."""
        if stream_ids:
            unsent_ids = self._unsent_ids_by_host.setdefault(host_id, [])
            unsent_ids.extend(stream_ids)

    def discard(self, host_id: str) -> None:
        """Send nothing more to a host."""
        self._unsent_ids_by_host.pop(host_id, None)

    def next_sends(self, now: float) -> list[wire.Send]:
        """Return the messages of one tick, with streams that are known at present."""
        sends = []
        host_ids = list(self._unsent_ids_by_host)
        for host_id in host_ids:
            share_bytes = self._limit_bytes // len(host_ids)
            streams = self._take_streams(host_id, share_bytes, now)
            if streams:
                sends.append(wire.Send(host_id, to_message(streams)))
        return sends

    def _take_streams(self, host_id, limit_bytes, now):
        """Return (id, origin, seconds left) of the next streams, the newest first."""
        unsent_ids = self._unsent_ids_by_host[host_id]
        streams: list[tuple[str, streamorigins.Origin, float]] = []
        size = 0
        while unsent_ids and size < limit_bytes:
            stream_id = unsent_ids.pop()
            origin = self._table.find(stream_id, now)
            if origin is not None:
                left_s = self._table.time_left_s(stream_id, now)
                streams.append((stream_id, origin, left_s))
                size += len(stream_id) + STREAM_BYTES
        if not unsent_ids:
            del self._unsent_ids_by_host[host_id]
        return streams


class OriginSender:
    """Send the origins of an entry host to the control hosts that are to keep them.

    Each start of such a host gets them once, and again if it was not to keep them for a
    while.
    """

    __slots__ = ("_asking_session_by_id", "_outbox", "_served_session_by_id", "_table")

    def __init__(self, table: streamorigins.OriginTable):
        self._table = table
        self._outbox = Outbox(table, ENTRY_BYTES_PER_TICK)
        self._asking_session_by_id: dict[str, str] = {}
        self._served_session_by_id: dict[str, str] = {}

    def request(self, host_id: str, session: str) -> None:
        """Record that a control host has asked."""
        self._asking_session_by_id[host_id] = session

    def tick(self, keeper_ids: set[str], now: float) -> list[wire.Send]:
        """Return the messages that are due to the hosts that are to keep origins."""
        for host_id in self._served_session_by_id.keys() - keeper_ids:
            del self._served_session_by_id[host_id]
            self._outbox.discard(host_id)
        for host_id in keeper_ids & self._asking_session_by_id.keys():
            session = self._asking_session_by_id[host_id]
            if self._served_session_by_id.get(host_id) != session:
                self._served_session_by_id[host_id] = session
                self._outbox.add(host_id, self._table.ids())
        return self._outbox.next_sends(now)


class OriginRelay:
    """Pass the origins of entry hosts that have ended on to other control hosts.

    Entry hosts that are up send theirs themselves.
    """

    __slots__ = (
        "_asked_at_by_id",
        "_live_owners",
        "_new_ids",
        "_next_check_at",
        "_outbox",
        "_owner_by_id",
        "_session_by_id",
        "_table",
    )

    def __init__(self, table: streamorigins.OriginTable):
        self._table = table
        self._outbox = Outbox(table, CONTROL_BYTES_PER_TICK)
        self._owner_by_id: dict[str, str] = {}  # starts of entry hosts
        self._live_owners: set[str] = set()
        self._session_by_id: dict[str, str] = {}  # of the hosts that have asked
        self._asked_at_by_id: dict[str, float] = {}
        self._new_ids: set[str] = set()  # hosts that have asked since the last check
        self._next_check_at = float("-inf")

    def record_entry(self, host_id: str, session: str) -> None:
        """Record the session with which an entry host subscribes."""
        # A host that has lost a push puts a number before its session.
        self._owner_by_id[host_id] = f"{host_id} {session.rpartition('-')[2]}"

    def owner(self, host_id: str) -> str:
        """Return the start of an entry host, empty for other hosts."""
        return self._owner_by_id.get(host_id, "")

    def request(self, host_id: str, session: str, now: float) -> None:
        """Record that a control host has asked, once for each of its starts."""
        if self._session_by_id.get(host_id) != session:
            self._session_by_id[host_id] = session
            self._asked_at_by_id[host_id] = now
            self._new_ids.add(host_id)

    def tick(self, entry_ids: set[str], now: float) -> list[wire.Send]:
        """Return the messages that are due while these entry hosts are up."""
        if self._new_ids or now >= self._next_check_at:
            self._next_check_at = now + END_CHECK_INTERVAL_S
            self._check({STORED, *map(self.owner, entry_ids)}, now)
        return self._outbox.next_sends(now)

    def _check(self, live_owners, now):
        """Add what is due to the hosts that have asked."""
        ended = self._live_owners - live_owners
        self._live_owners = live_owners
        # A host that has been up for longer lacks no stream that can be resumed.
        self._asked_at_by_id = {
            host_id: asked_at
            for host_id, asked_at in self._asked_at_by_id.items()
            if now - asked_at < streamorigins.MAX_KEPT_S
        }
        earlier_ids = self._asked_at_by_id.keys() - self._new_ids
        if ended and earlier_ids:
            stream_ids = self._table.ids_of(ended)
            for host_id in earlier_ids:
                self._outbox.add(host_id, stream_ids)
        if self._new_ids:
            stream_ids = self._table.ids_except(live_owners)
            for host_id in self._new_ids:
                self._outbox.add(host_id, stream_ids)
            self._new_ids.clear()
