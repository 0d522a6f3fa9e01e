"""Known hosts of one data centre and the updates that probes and acks carry."""

import math

from kumquatproxy import records
from kumquatproxy.membership import membermessages

MAX_UPDATES_PER_MESSAGE = 8
"""An update takes about 40 bytes, so the updates add at most 320 bytes to a message."""

UPDATE_REPEAT_FACTOR = 3
"""Each host sends an update 3 * log2(hosts) times, so that practically every host gets
it with 10% message loss."""

DEAD_RETENTION_S = 3600.0

HostState = membermessages.HostState
HostEntry = membermessages.HostEntry


class _Update(records.Record):
    __slots__ = ("host_id", "sent_count")

    def __init__(self, host_id):
        self.host_id: str = host_id
        self.sent_count = 0


class HostTable:
    """Keep the newest entry of each host and select the updates for a message."""

    __slots__ = ("_updates_by_id", "checksum", "entries_by_id", "host_id", "revision")

    def __init__(self, host_id):
        self.host_id: str = host_id
        self.entries_by_id: dict[str, HostEntry] = {}
        self.revision = 0  # rises when a host is added or changes state
        self.checksum = 0
        self._updates_by_id: dict[str, _Update] = {}

    def get(self, host_id: str) -> HostEntry | None:
        """Return the entry of a host, or None if it is unknown."""
        return self.entries_by_id.get(host_id)

    def is_present(self, host_id: str) -> bool:
        """Return whether a host is known and neither dead nor has left."""
        entry = self.entries_by_id.get(host_id)
        return entry is not None and entry.state in membermessages.PRESENT_STATES

    def present(self) -> list[str]:
        """Return the sorted ids of the hosts that are neither dead nor have left."""
        return sorted(
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state in membermessages.PRESENT_STATES
        )

    def present_in_message_form(self) -> list[list]:
        """Return the message form of the present hosts whose incarnation is known.

        Incarnation 0 stands for a seed that this host has not heard from yet.
        """
        entries = [self.entries_by_id[host_id] for host_id in self.present()]
        return [entry.to_list() for entry in entries if entry.incarnation]

    def alive_or_suspect(self) -> list[str]:
        """Return the sorted ids of the ALIVE and SUSPECT hosts."""
        return sorted(
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state in (HostState.ALIVE, HostState.SUSPECT)
        )

    def unsuspected(self) -> list[str]:
        """Return the sorted ids of the ALIVE hosts.

        If no other host is ALIVE, include the SUSPECT hosts, since this host has
        probably lost its connection.
        """
        alive = [
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state is HostState.ALIVE
        ]
        others = [host_id for host_id in alive if host_id != self.host_id]
        return sorted(alive) if others else self.alive_or_suspect()

    def dead(self) -> list[str]:
        """Return the sorted ids of the hosts that were declared dead."""
        return sorted(
            entry.host_id
            for entry in self.entries_by_id.values()
            if entry.state is HostState.DEAD
        )

    def put(self, entry: HostEntry, now: float) -> bool:
        """Store an entry if it is newer than the known one; return whether it was."""
        known = self.entries_by_id.get(entry.host_id)
        if known is not None and known.rank() >= entry.rank():
            return False
        if known is not None and not entry.address:
            entry.address = known.address
        entry.changed_at = now
        self._update_checksum_and_revision(known, entry)
        self.entries_by_id[entry.host_id] = entry
        self._updates_by_id[entry.host_id] = _Update(entry.host_id)
        return True

    def take_updates(self, first_id: str = "") -> list[list]:
        """Return the least often sent updates and count them as sent.

        The entry of ``first_id`` comes first. An update is dropped after its last
        repetition.
        """
        chosen = []
        if first_id in self.entries_by_id:
            chosen.append(self.entries_by_id[first_id].to_list())
        if not self._updates_by_id:
            return chosen
        limit = UPDATE_REPEAT_FACTOR * math.ceil(math.log2(len(self.entries_by_id) + 1))
        pending = sorted(
            self._updates_by_id.values(), key=lambda update: update.sent_count
        )
        for update in pending[: MAX_UPDATES_PER_MESSAGE - len(chosen)]:
            update.sent_count += 1
            if update.sent_count >= limit:
                del self._updates_by_id[update.host_id]
            if update.host_id != first_id:
                chosen.append(self.entries_by_id[update.host_id].to_list())
        return chosen

    def purge(self, now: float) -> None:
        """Remove hosts that died or left more than ``DEAD_RETENTION_S`` ago."""
        for entry in list(self.entries_by_id.values()):
            present = entry.state in membermessages.PRESENT_STATES
            if not present and now - entry.changed_at > DEAD_RETENTION_S:
                del self.entries_by_id[entry.host_id]
                self._updates_by_id.pop(entry.host_id, None)

    def _update_checksum_and_revision(self, known, entry):
        was_present = known is not None and known.state in membermessages.PRESENT_STATES
        is_present = entry.state in membermessages.PRESENT_STATES
        if was_present != is_present:
            self.checksum ^= membermessages.short_hash(entry.host_id)
        is_state_changed = known is None or known.state != entry.state
        if was_present != is_present or is_state_changed:
            self.revision += 1
