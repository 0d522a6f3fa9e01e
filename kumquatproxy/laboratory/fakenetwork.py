"""Seeded in-memory network for many hosts in one process, in simulated time."""

import heapq
import itertools
import random
from typing import Any

from kumquatproxy import records, wire

FRAME_HEADER_BYTES = 8
"""Websocket header of a masked frame with a payload of 126 to 65535 bytes.

All frames are counted with this size, although smaller ones have shorter headers."""


class Conditions(records.Record):
    """Delay, loss and duplication of messages on the link between two hosts."""

    __slots__ = ("delay_s", "duplicated", "jitter_s", "lost")

    def __init__(self, delay_s=0.001, jitter_s=0.0, lost=0.0, duplicated=0.0):
        self.delay_s: float = delay_s
        self.jitter_s: float = jitter_s  # random extra delay, which reorders messages
        self.lost: float = lost  # share of the messages
        self.duplicated: float = duplicated  # share of the messages


class Traffic:
    """Counts of the messages and bytes of one host."""

    __slots__ = ("bytes_by_tag", "messages", "received_bytes", "sent_bytes")

    def __init__(self):
        self.bytes_by_tag: dict[str, int] = {}
        self.messages = 0
        self.received_bytes = 0
        self.sent_bytes = 0

    def total(self) -> int:
        """Return the sum of the bytes sent and received."""
        return self.sent_bytes + self.received_bytes

    def count(self, tag, size_bytes, is_sent) -> None:
        """Count one message."""
        self.messages += 1
        self.bytes_by_tag[tag] = self.bytes_by_tag.get(tag, 0) + size_bytes
        if is_sent:
            self.sent_bytes += size_bytes
        else:
            self.received_bytes += size_bytes


class FakeNetwork:
    """Deliver encoded messages between hosts and tick the hosts, in simulated time.

    A host is an object with ``tick(now)`` and ``receive(sender, message, now)`` that
    return outputs; outputs other than ``wire.Send`` are passed to ``on_output``.
    """

    def __init__(self, seed, tick_s=0.05, conditions_of=None, on_output=None):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.hosts_by_id: dict[str, Any] = {}
        self.traffic_by_id: dict[str, Traffic] = {}
        # Ids of hosts that are not ticked and whose incoming messages are dropped.
        self.unresponsive: set[str] = set()
        self._tick_s = tick_s
        self._conditions_of = conditions_of or (lambda sender, to: Conditions())
        self._on_output = on_output or (lambda host_id, output, now: None)
        self._is_cut = lambda sender, to: False
        self._queue: list[tuple] = []
        self._event_numbers = itertools.count()
        self._generation_by_id: dict[str, int] = {}

    def add(self, host_id: str, host) -> None:
        """Start a host, which replaces any host with the same id."""
        generation = self._generation_by_id.get(host_id, 0) + 1
        self._generation_by_id[host_id] = generation
        self.hosts_by_id[host_id] = host
        self.traffic_by_id.setdefault(host_id, Traffic())
        first_tick_at = self.now + self.rng.random() * self._tick_s
        self._enqueue(first_tick_at, ("tick", host_id, generation))

    def kill(self, host_id: str) -> None:
        """Remove a host without notifying the others."""
        del self.hosts_by_id[host_id]

    def cut(self, is_cut) -> None:
        """Drop messages sent from now on for which ``is_cut(sender, to)`` holds."""
        self._is_cut = is_cut

    def at(self, time_s: float, action) -> None:
        """Schedule ``action()`` for a simulated time."""
        self._enqueue(time_s, ("action", action))

    def run(self, until_s: float) -> None:
        """Process all events up to a simulated time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now, _, event = heapq.heappop(self._queue)
            getattr(self, f"_do_{event[0]}")(*event[1:])
        self.now = until_s

    def handle(self, host_id: str, outputs: list) -> None:
        """Process the outputs of a host."""
        for output in outputs:
            if isinstance(output, wire.Send):
                self._send(host_id, output.to, output.message)
            else:
                self._on_output(host_id, output, self.now)

    def _enqueue(self, time_s, event):
        heapq.heappush(self._queue, (time_s, next(self._event_numbers), event))

    def _do_action(self, action):
        action()

    def _do_tick(self, host_id, generation):
        if self._generation_by_id[host_id] != generation:
            return
        host = self.hosts_by_id.get(host_id)
        if host is None:
            return
        self._enqueue(self.now + self._tick_s, ("tick", host_id, generation))
        if host_id not in self.unresponsive:
            self.handle(host_id, self.tick_host(host_id, host))

    def _do_message(self, sender, to, data):
        host = self.hosts_by_id.get(to)
        if host is None or to in self.unresponsive:
            return
        self.handle(to, self.deliver_to_host(to, host, sender, data))

    def _send(self, sender, to, message):
        data = wire.encode(message)
        self.traffic_by_id[sender].count(
            message.tag, len(data) + FRAME_HEADER_BYTES, True
        )
        conditions = self._conditions_of(sender, to)
        if to not in self.hosts_by_id or self._is_cut(sender, to):
            return
        copies = 2 if self.rng.random() < conditions.duplicated else 1
        for _ in range(copies):
            if self.rng.random() >= conditions.lost:
                delay_s = conditions.delay_s + self.rng.random() * conditions.jitter_s
                self._enqueue(self.now + delay_s, ("message", sender, to, data))

    def tick_host(self, host_id, host) -> list:
        """Tick one host; subclasses extend this to record inputs."""
        return host.tick(self.now)

    def deliver_to_host(self, host_id, host, sender, data) -> list:
        """Decode a message for a host; subclasses extend this to record the message."""
        message = wire.decode(data)
        self.traffic_by_id[host_id].count(
            message.tag, len(data) + FRAME_HEADER_BYTES, False
        )
        return host.receive(sender, message, self.now)
