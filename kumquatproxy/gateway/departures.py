"""Calls whose caller left while a server was running them.

The host closes its connection then and does not see how the run ends. If the server
crashes soon afterwards, the call is a suspect as well, though a weak one.
"""

# A run may go on after its connection was closed, as not all servers watch for that.
KEPT_S = 5.0
MAX_SERVERS = 1000
MAX_CALLS_PER_SERVER = 16


class Departures:
    """Hold the calls that were left at one lifetime of a server."""

    __slots__ = ("announcement", "entries")

    def __init__(self, announcement):
        self.announcement = announcement
        # (time, when the call was sent, keys of the call), the newest last.
        self.entries: list[tuple[float, float, list[str]]] = []


class DepartureTable:
    """Remember calls that were left, for each lifetime of a server."""

    __slots__ = ("_departures_by_lifetime", "_lifetime_by_address")

    def __init__(self):
        self._departures_by_lifetime: dict[tuple, Departures] = {}
        self._lifetime_by_address: dict[str, tuple] = {}

    def record(self, announcement, sent_at: float, keys: list[str], now: float) -> None:
        """Record that a call was left at a server."""
        known = self._remove(announcement.lifetime) or Departures(announcement)
        known.entries = [entry for entry in known.entries if now - entry[0] <= KEPT_S]
        known.entries = known.entries[1 - MAX_CALLS_PER_SERVER :]
        known.entries.append((now, sent_at, keys))
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
            if crashed_at - KEPT_S <= entry[0] <= crashed_at
        ]
        return known if known.entries else None
