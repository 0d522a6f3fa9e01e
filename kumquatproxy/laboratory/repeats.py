"""Repetition of pushes that must arrive despite message loss."""

REPEAT_INTERVAL_S = 0.4
REPEAT_COUNT = 4
"""With the initial push, five pushes within 1.6 s. With 10% loss and a failed parent in
the tree, practically every host receives one of them within 3 s."""


class _RepeatedPush:
    __slots__ = ("hosts", "next_at", "repeats_left", "servers")

    def __init__(self, hosts, servers, next_at):
        self.hosts: list = hosts
        self.servers: list = servers
        self.next_at: float = next_at
        self.repeats_left = REPEAT_COUNT


class Repeats:
    """Pushes that are still to be repeated."""

    __slots__ = ("_pushes",)

    def __init__(self):
        self._pushes: list[_RepeatedPush] = []

    def add(self, hosts: list, servers: list, now: float) -> None:
        """Schedule ``REPEAT_COUNT`` repetitions of a push of these changes."""
        if hosts or servers:
            self._pushes.append(_RepeatedPush(hosts, servers, now + REPEAT_INTERVAL_S))

    def due(self, now: float) -> list[tuple[list, list]]:
        """Return hosts and servers of the pushes that are due for repetition."""
        if not self._pushes:
            return []
        due_pushes = []
        for push in self._pushes:
            if now >= push.next_at:
                push.next_at = now + REPEAT_INTERVAL_S
                push.repeats_left -= 1
                due_pushes.append((push.hosts, push.servers))
        self._pushes = [push for push in self._pushes if push.repeats_left > 0]
        return due_pushes
