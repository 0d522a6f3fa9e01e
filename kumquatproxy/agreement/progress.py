"""Replication progress of one other member as seen by the leader."""

import collections

from kumquatproxy.agreement import replicalog


class Progress:
    """Track the replication to one member.

    Replication starts in probing mode, with one message at a time, until the last
    common entry of the two logs is known; then messages are pipelined. A member whose
    next entry has been compacted away receives the snapshot.
    """

    __slots__ = (
        "in_flight",
        "is_probing",
        "last_acked_sent_at",
        "last_contact_at",
        "match_index",
        "next_index",
        "probe_sent",
        "snapshot",
        "snapshot_offset",
    )

    def __init__(self, next_index, now):
        self.match_index: int = 0
        self.next_index: int = next_index
        self.is_probing = True
        self.probe_sent = False
        # Last index and bytes of each append message without a reply.
        self.in_flight: collections.deque[tuple[int, int]] = collections.deque()
        self.snapshot: replicalog.Snapshot | None = None
        self.snapshot_offset = 0  # bytes received by the member
        self.last_acked_sent_at = 0.0  # send time of the latest answered message
        self.last_contact_at: float = now

    def may_send(self, max_in_flight: int, max_in_flight_bytes: int) -> bool:
        """Return whether an append message with entries may be sent now.

        The last one may exceed the limit of bytes.
        """
        if self.snapshot is not None:
            return False
        if self.is_probing:
            return not self.probe_sent
        in_flight_bytes = sum(size_bytes for _, size_bytes in self.in_flight)
        return (
            len(self.in_flight) < max_in_flight
            and in_flight_bytes < max_in_flight_bytes
        )

    def record_sent(self, last_index: int, size_bytes: int) -> None:
        """Record that entries up to ``last_index`` were sent in one message."""
        if self.is_probing:
            self.probe_sent = True
            return
        self.next_index = last_index + 1
        self.in_flight.append((last_index, size_bytes))

    def record_match(self, index: int) -> None:
        """Record that the logs match up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)
        while self.in_flight and self.in_flight[0][0] <= index:
            self.in_flight.popleft()
        self.is_probing = False
        self.probe_sent = False
        if self.snapshot is not None and self.match_index >= self.snapshot.index:
            self.snapshot = None

    def back_off_after_rejection(self, index: int, hint: int) -> bool:
        """Lower ``next_index`` after a rejection at ``index`` and probe from there.

        Return False if the rejection is outdated.
        """
        if index <= self.match_index or index >= self.next_index:
            return False
        if self.is_probing and index != self.next_index - 1:
            return False
        self.next_index = max(self.match_index, min(hint, index - 1)) + 1
        self.is_probing = True
        self.probe_sent = False
        self.in_flight.clear()
        return True

    def free_in_flight_slot(self) -> None:
        """Free the in-flight slot of the oldest message, or allow the next probe.

        Called for every accepted reply, also to a heartbeat. The reply to the oldest
        message may be lost, and its slot would otherwise stay occupied.
        """
        self.probe_sent = False
        if self.in_flight:
            self.in_flight.popleft()

    def start_snapshot(self, snapshot: replicalog.Snapshot) -> None:
        """Switch to sending a snapshot."""
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self.is_probing = True
        self.in_flight.clear()
        self.next_index = snapshot.index + 1
