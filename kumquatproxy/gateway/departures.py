"""Calls whose caller left while a server was running them.

The host closes its connection then and does not see how the run ends. If the server
crashes soon afterwards, the call and its prompt parts are suspects as well, though
weak ones.
"""

from kumquatproxy import records

# A run may go on after its connection was closed, as not all servers watch for that.
KEPT_S = 5.0
MAX_SERVERS = 1000
MAX_CALLS_PER_SERVER = 16


class Departure(records.Record):
    """Hold what may have crashed a server after a call was left there."""

    __slots__ = ("keys", "left_at", "parts", "sent_at")

    def __init__(self, left_at, sent_at, keys, parts):
        self.left_at: float = left_at
        self.sent_at: float = sent_at
        self.keys: list[str] = keys  # of the call
        self.parts: list[str] = parts  # keys of prompt parts


class Departures:
    """Hold the calls that were left at one lifetime of a server."""

    __slots__ = ("announcement", "entries")

    def __init__(self, announcement):
        self.announcement = announcement
        self.entries: list[Departure] = []  # the newest last


class DepartureTable:
    """Remember calls that were left, for each lifetime of a server."""

    __slots__ = ("_departures_by_lifetime", "_lifetime_by_address")

    def __init__(self):
        self._departures_by_lifetime: dict[tuple, Departures] = {}
        self._lifetime_by_address: dict[str, tuple] = {}

    def record(self, announcement, departure: Departure) -> None:
        """Record that a call was left at a server."""
        known = self._remove(announcement.lifetime) or Departures(announcement)
        oldest_at = departure.left_at - KEPT_S
        known.entries = [entry for entry in known.entries if entry.left_at >= oldest_at]
        known.entries = known.entries[1 - MAX_CALLS_PER_SERVER :]
        known.entries.append(departure)
        while len(self._departures_by_lifetime) >= MAX_SERVERS:
            self._remove(next(iter(self._departures_by_lifetime)))
        self._departures_by_lifetime[announcement.lifetime] = known
        self._lifetime_by_address[announcement.address] = announcement.lifetime

    def _remove(self, lifetime):
        known = self._departures_by_lifetime.pop(lifetime, None)
        if known is not None:
            self._lifetime_by_address.pop(known.announcement.address, None)
        return known

    def find_ended(self, announcement) -> tuple | None:
        """Return the lifetime that this one replaces at its address, or None."""
        lifetime = self._lifetime_by_address.get(announcement.address)
        if lifetime is None:
            return None
        known = self._departures_by_lifetime.get(lifetime)
        if known is None or known.announcement.born_ms >= announcement.born_ms:
            return None
        return lifetime

    def take(self, lifetime: tuple, crashed_at: float) -> Departures | None:
        """Return the calls that were left shortly before a crash, None without any."""
        known = self._remove(lifetime)
        if known is None:
            return None
        known.entries = [
            entry
            for entry in known.entries
            if crashed_at - KEPT_S <= entry.left_at <= crashed_at
        ]
        return known if known.entries else None
