"""What a leader knows of one other member: matching index, messages in flight."""

import collections

from kumquatproxy.agreement import replicalog


class Progress:
    """Track the replication to one member.

    A member starts in probing mode, one message at a time, until the common part of
    the logs is known; then messages are pipelined. A member whose next entry is no
    longer kept gets the snapshot.
    """

    __slots__ = (
        "acked_sent_at",
        "contact_at",
        "in_flight",
        "match",
        "next",
        "probe_sent",
        "probing",
        "snapshot",
        "snapshot_offset",
    )

    def __init__(self, next_index, now):
        self.match: int = 0
        self.next: int = next_index
        self.probing = True
        self.probe_sent = False
        self.in_flight: collections.deque[int] = collections.deque()
        self.snapshot: replicalog.Snapshot | None = None
        self.snapshot_offset = 0
        self.acked_sent_at = 0.0  # sending time of the latest round answered
        self.contact_at: float = now

    def may_send(self, max_in_flight: int) -> bool:
        """Return whether an append message with entries may be sent now."""
        if self.snapshot is not None:
            return False
        if self.probing:
            return not self.probe_sent
        return len(self.in_flight) < max_in_flight

    def sent(self, last_index: int) -> None:
        """Note that entries up to ``last_index`` were sent."""
        if self.probing:
            self.probe_sent = True
            return
        self.next = last_index + 1
        self.in_flight.append(last_index)

    def accepted(self, index: int) -> None:
        """Note that the logs match up to ``index``."""
        self.match = max(self.match, index)
        self.next = max(self.next, index + 1)
        while self.in_flight and self.in_flight[0] <= index:
            self.in_flight.popleft()
        self.probing = False
        self.probe_sent = False
        if self.snapshot is not None and self.match >= self.snapshot.index:
            self.snapshot = None

    def refused(self, index: int, hint: int) -> bool:
        """Step back after a refusal at ``index``; return False if it is outdated."""
        if index <= self.match or index >= self.next:
            return False
        if self.probing and index != self.next - 1:
            return False
        self.next = max(self.match, min(hint, index - 1)) + 1
        self.probing = True
        self.probe_sent = False
        self.in_flight.clear()
        return True

    def heartbeat_answered(self) -> None:
        """Allow one more message when replies to earlier ones may be lost."""
        self.probe_sent = False
        if self.in_flight:
            self.in_flight.popleft()

    def start_snapshot(self, snapshot: replicalog.Snapshot) -> None:
        """Switch to sending a snapshot."""
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self.probing = True
        self.in_flight.clear()
        self.next = snapshot.index + 1
