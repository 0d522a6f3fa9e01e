"""Budget of the memory that one process holds for messages in transit."""

DEFAULT_MEMORY_MB = 200
BYTES_PER_MB = 1_000_000
# Share of the process's memory. The rest is for the program, its state and connections,
# and for the copies that exist while a message is joined or parsed.
BUDGET_SHARE = 1 / 3
# Larger messages leave the rest of the budget to smaller ones.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 3 / 4


class MemoryBudget:
    """Count the bytes that are held, and tell whether more may be."""

    __slots__ = ("capacity_bytes", "held_bytes", "large_bytes", "rejections")

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB):
        self.capacity_bytes: int = int(memory_mb * BYTES_PER_MB * BUDGET_SHARE)
        self.held_bytes = 0
        self.large_bytes = 0  # of these, in holdings over SMALL_BYTES
        self.rejections = 0  # holdings that could not grow, since the start

    @property
    def max_message_bytes(self) -> int:
        """Return the size of the largest message for which there can be room."""
        return int(self.capacity_bytes * LARGE_SHARE)

    def _has_room(self, size, new_size):
        if self.held_bytes + new_size - size > self.capacity_bytes:
            return False
        if new_size <= SMALL_BYTES:
            return True
        large_bytes = self.large_bytes - _large_part(size) + new_size
        return large_bytes <= self.max_message_bytes


class Holding:
    """Count the bytes of one message against a budget until they are released."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self.size = 0

    @property
    def max_bytes(self) -> int:
        """Return the size beyond which there can never be room."""
        return self._budget.max_message_bytes

    def grow(self, size: int) -> bool:
        """Add bytes if the budget has room for them; return whether it has."""
        new_size = self.size + size
        if size > 0 and not self._budget._has_room(self.size, new_size):
            self._budget.rejections += 1
            return False
        self.resize(new_size)
        return True

    def resize(self, size: int) -> None:
        """Set the number of bytes, even beyond the budget.

        This is for bytes that have been received already.
        """
        budget = self._budget
        budget.held_bytes += size - self.size
        budget.large_bytes += _large_part(size) - _large_part(self.size)
        self.size = size

    def release(self) -> None:
        """Return all bytes to the budget."""
        self.resize(0)


def _large_part(size):
    return size if size > SMALL_BYTES else 0
