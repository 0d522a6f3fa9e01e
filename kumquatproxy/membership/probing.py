"""Which host is probed next, and which probes have not been answered."""

PROBE_INTERVAL_S = 1.0
INDIRECT_AFTER_S = 0.3


class Pending:
    """Hold a probe that waits for its ack."""

    __slots__ = ("asked_others", "requester", "requester_number", "sent_at", "target")

    def __init__(self, target, sent_at, requester, requester_number):
        self.target: str = target
        self.sent_at: float = sent_at
        self.asked_others = False
        self.requester: str = requester  # the host that this probe is made for, or ""
        self.requester_number: int = requester_number


class Prober:
    """Choose random hosts in rounds and keep the probes under way."""

    __slots__ = ("_order", "_pending_by_number", "_probe_at", "_rng", "number")

    def __init__(self, rng, now):
        self.number = 0  # of the last probe
        self._rng = rng
        self._order: list[str] = []
        self._pending_by_number: dict[int, Pending] = {}
        self._probe_at = now + rng.random() * PROBE_INTERVAL_S

    def is_due(self, now: float) -> bool:
        """Return whether the next probe is due, and if so set the time after it."""
        if now < self._probe_at:
            return False
        self._probe_at = max(self._probe_at, now - PROBE_INTERVAL_S) + PROBE_INTERVAL_S
        return True

    def next_target(self, others: list[str]) -> str:
        """Return the next of the other hosts, each once in a round, or nothing."""
        present = set(others)
        while self._order:
            target = self._order.pop()
            if target in present:
                return target
        self._order = list(others)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else ""

    def start(self, target: str, now: float, requester="", requester_number=0) -> int:
        """Note a probe, made for another host if ``requester`` is given; return its
        number."""
        self.number += 1
        pending = Pending(target, now, requester, requester_number)
        self._pending_by_number[self.number] = pending
        return self.number

    def skip_number(self) -> int:
        """Return a number for a probe whose ack is not waited for."""
        self.number += 1
        return self.number

    def finish(self, number: int, about: str) -> Pending | None:
        """Return and drop the probe that an ack answers."""
        pending = self._pending_by_number.get(number)
        if pending is None or pending.target != about:
            return None
        return self._pending_by_number.pop(number)

    def late(self, now: float) -> list[tuple[int, str]]:
        """Return number and target of the probes to be repeated through others."""
        found = []
        for number, pending in self._pending_by_number.items():
            is_late = now - pending.sent_at >= INDIRECT_AFTER_S
            if is_late and not pending.asked_others and not pending.requester:
                pending.asked_others = True
                found.append((number, pending.target))
        return found

    def failed(self, now: float) -> list[str]:
        """Return and drop the targets that were silent for the whole interval."""
        targets = []
        for number, pending in list(self._pending_by_number.items()):
            if now - pending.sent_at >= PROBE_INTERVAL_S:
                del self._pending_by_number[number]
                if not pending.requester:
                    targets.append(pending.target)
        return targets

    def clear(self) -> None:
        """Drop all probes under way."""
        self._pending_by_number.clear()
