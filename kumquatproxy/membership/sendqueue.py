"""Bounded queue of the messages that wait for a link."""

import collections

MAX_MESSAGES = 2000
MAX_BYTES = 2 * 1024 * 1024
MAX_AGE_S = 5.0
"""Older droppable messages are of no use: all of them are repeated by their senders."""


class SendQueue:
    """Keep encoded messages in order; drop the oldest droppable ones when full."""

    __slots__ = ("_bytes", "_entries", "dropped")

    def __init__(self):
        self.dropped = 0
        self._bytes = 0
        self._entries: collections.deque[tuple] = collections.deque()

    def __len__(self):
        return len(self._entries)

    def put(self, data: bytes, is_droppable: bool, now: float) -> bool:
        """Append a message; False if the queue is full of others that must stay."""
        while self._is_over(len(data)):
            if not self._drop_oldest():
                self.dropped += 1
                return False
        self._entries.append((data, is_droppable, now))
        self._bytes += len(data)
        return True

    def pop(self, now: float) -> bytes | None:
        """Return the next message that is not too old, or None."""
        while self._entries:
            data, is_droppable, put_at = self._entries.popleft()
            self._bytes -= len(data)
            if not is_droppable or now - put_at <= MAX_AGE_S:
                return data
            self.dropped += 1
        return None

    def _is_over(self, more_bytes):
        too_many = len(self._entries) >= MAX_MESSAGES
        return too_many or self._bytes + more_bytes > MAX_BYTES

    def _drop_oldest(self):
        for index, (data, is_droppable, _) in enumerate(self._entries):
            if is_droppable:
                del self._entries[index]
                self._bytes -= len(data)
                self.dropped += 1
                return True
        return False
