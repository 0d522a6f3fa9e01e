"""Bounded queue of messages to one host."""

import collections

MAX_MESSAGES = 2000
MAX_BYTES = 2 * 1024 * 1024
MAX_AGE_S = 5.0
"""An older droppable message is useless: this host sends newer information of the same
kind periodically, or the receiver pulls it."""


class SendQueue:
    """FIFO queue of encoded messages that drops the oldest droppable ones when full."""

    __slots__ = ("_bytes", "_entries", "dropped")

    def __init__(self):
        self.dropped = 0
        self._bytes = 0
        self._entries: collections.deque[tuple] = collections.deque()

    def __len__(self):
        return len(self._entries)

    def put(self, data: bytes, is_droppable: bool, now: float) -> bool:
        """Append a message; return False if the queue is full of non-droppable ones."""
        while self._would_overflow(len(data)):
            if not self._drop_oldest_droppable():
                self.dropped += 1
                return False
        self._entries.append((data, is_droppable, now))
        self._bytes += len(data)
        return True

    def pop(self, now: float) -> bytes | None:
        """Return the next message that has not expired, or None."""
        while self._entries:
            data, is_droppable, put_at = self._entries.popleft()
            self._bytes -= len(data)
            if not is_droppable or now - put_at <= MAX_AGE_S:
                return data
            self.dropped += 1
        return None

    def _would_overflow(self, added_bytes):
        has_max_messages = len(self._entries) >= MAX_MESSAGES
        return has_max_messages or self._bytes + added_bytes > MAX_BYTES

    def _drop_oldest_droppable(self):
        for index, (data, is_droppable, _) in enumerate(self._entries):
            if is_droppable:
                del self._entries[index]
                self._bytes -= len(data)
                self.dropped += 1
                return True
        return False
