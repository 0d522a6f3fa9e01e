"""Known hosts of one data centre and the updates about them to piggyback."""

import math

from kumquatproxy import records
from kumquatproxy.membership import membermessages

MAX_UPDATES = 8
"""Changes in one probe; with an address each takes about 40 bytes."""

UPDATE_FACTOR = 3
"""Each host repeats a change 3 * log2(hosts) times, so that with 10% of the messages
lost practically every host hears of it."""

KEEP_DEAD_S = 3600.0

HostState = membermessages.HostState
HostEntry = membermessages.HostEntry


class _Update(records.Record):
    __slots__ = ("host_id", "sent")

    def __init__(self, host_id):
        self.host_id: str = host_id
        self.sent = 0


class HostTable:
    """Keep the newest entry of each host and choose the updates for a message."""

    __slots__ = ("_updates_by_id", "checksum", "entries_by_id", "host_id", "revision")

    def __init__(self, host_id):
        self.host_id: str = host_id
        self.entries_by_id: dict[str, HostEntry] = {}
        self.revision = 0  # rises when the set of present hosts changes
        self.checksum = 0
        self._updates_by_id: dict[str, _Update] = {}

    def get(self, host_id: str) -> HostEntry | None:
        """Return the entry of a host."""
        return self.entries_by_id.get(host_id)

    def is_present(self, host_id: str) -> bool:
        """Return whether a host is known and neither dead nor gone."""
        entry = self.entries_by_id.get(host_id)
        return entry is not None and entry.state in membermessages.PRESENT_STATES

    def present(self) -> list[str]:
        """Return the ids of all hosts that are not dead or gone, in order."""
        return sorted(
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state in membermessages.PRESENT_STATES
        )

    def present_lists(self) -> list[list]:
        """Return the message form of the present hosts that have been heard of."""
        entries = [self.entries_by_id[name] for name in self.present()]
        return [entry.to_list() for entry in entries if entry.incarnation]

    def working(self) -> list[str]:
        """Return the ids of the present hosts that are not leaving, in order."""
        return sorted(
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state in (HostState.ALIVE, HostState.SUSPECT)
        )

    def trusted(self) -> list[str]:
        """Return the ids of the working hosts that are not suspected, in order.

        If all are suspected, it is this host that is cut off, and all are returned.
        """
        alive = [
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state is HostState.ALIVE
        ]
        others = [host_id for host_id in alive if host_id != self.host_id]
        return sorted(alive) if others else self.working()

    def dead(self) -> list[str]:
        """Return the ids of the hosts that were declared dead, in order."""
        return sorted(
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state is HostState.DEAD
        )

    def put(self, entry: HostEntry, now: float) -> bool:
        """Take an entry if it is newer than the known one; return whether it was."""
        known = self.entries_by_id.get(entry.host_id)
        if known is not None and known.rank() >= entry.rank():
            return False
        if known is not None and not entry.address:
            entry.address = known.address
        entry.changed_at = now
        self._count(known, entry)
        self.entries_by_id[entry.host_id] = entry
        self._updates_by_id[entry.host_id] = _Update(entry.host_id)
        return True

    def updates(self, first_id: str = "") -> list[list]:
        """Return the updates sent least often, after the entry of ``first_id``."""
        chosen = []
        if first_id in self.entries_by_id:
            chosen.append(self.entries_by_id[first_id].to_list())
        if not self._updates_by_id:
            return chosen
        limit = UPDATE_FACTOR * math.ceil(math.log2(len(self.entries_by_id) + 1))
        by_sent = sorted(self._updates_by_id.values(), key=lambda update: update.sent)
        for update in by_sent[: MAX_UPDATES - len(chosen)]:
            update.sent += 1
            if update.sent >= limit:
                del self._updates_by_id[update.host_id]
            if update.host_id != first_id:
                chosen.append(self.entries_by_id[update.host_id].to_list())
        return chosen

    def forget_old(self, now: float) -> None:
        """Drop hosts that have been dead or gone for ``KEEP_DEAD_S``."""
        for entry in list(self.entries_by_id.values()):
            present = entry.state in membermessages.PRESENT_STATES
            if not present and now - entry.changed_at > KEEP_DEAD_S:
                del self.entries_by_id[entry.host_id]
                self._updates_by_id.pop(entry.host_id, None)

    def _count(self, known, entry):
        was_present = known is not None and known.state in membermessages.PRESENT_STATES
        is_present = entry.state in membermessages.PRESENT_STATES
        if was_present != is_present:
            self.checksum ^= membermessages.short_hash(entry.host_id)
        is_moved = known is None or known.state != entry.state
        if was_present != is_present or is_moved:
            self.revision += 1
