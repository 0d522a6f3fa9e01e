"""Repetition of pushes that must arrive in spite of loss."""

REPEAT_INTERVAL_S = 0.4
REPEATS = 4
"""With the first one these are five pushes within 1.6 s, so that with 10% loss and a
dead parent in the tree practically every host gets one of them within 3 s."""


class _Repeat:
    __slots__ = ("hosts", "left", "next_at", "servers")

    def __init__(self, hosts, servers, next_at):
        self.hosts: list = hosts
        self.servers: list = servers
        self.next_at: float = next_at
        self.left = REPEATS


class Repeats:
    """Keep the pushes that are still to be repeated."""

    __slots__ = ("_repeats",)

    def __init__(self):
        self._repeats: list[_Repeat] = []

    def add(self, hosts: list, servers: list, now: float) -> None:
        """Repeat a push of these changes some times."""
        if hosts or servers:
            self._repeats.append(_Repeat(hosts, servers, now + REPEAT_INTERVAL_S))

    def due(self, now: float) -> list[tuple[list, list]]:
        """Return hosts and servers of the pushes to be repeated now."""
        if not self._repeats:
            return []
        found = []
        for repeat in self._repeats:
            if now >= repeat.next_at:
                repeat.next_at = now + REPEAT_INTERVAL_S
                repeat.left -= 1
                found.append((repeat.hosts, repeat.servers))
        self._repeats = [repeat for repeat in self._repeats if repeat.left > 0]
        return found
