"""Selection of probe targets and tracking of unanswered probes."""

PROBE_INTERVAL_S = 1.0  # also the timeout of an unanswered probe
INDIRECT_PROBE_DELAY_S = 0.3


class PendingProbe:
    """Hold a probe that has not been acknowledged."""

    __slots__ = (
        "has_indirect_probes",
        "requester",
        "requester_number",
        "sent_at",
        "target",
    )

    def __init__(self, target, sent_at, requester, requester_number):
        self.target: str = target
        self.sent_at: float = sent_at
        self.has_indirect_probes = False
        self.requester: str = requester  # host that asked for the probe, or ""
        self.requester_number: int = requester_number


class Prober:
    """Select the hosts in rounds of random order and track unanswered probes."""

    __slots__ = ("_order", "_pending_by_number", "_probe_at", "_rng", "number")

    def __init__(self, rng, now):
        self.number = 0  # of the last probe
        self._rng = rng
        self._order: list[str] = []
        self._pending_by_number: dict[int, PendingProbe] = {}
        self._probe_at = now + rng.random() * PROBE_INTERVAL_S

    def schedule_next_if_due(self, now: float) -> bool:
        """Return whether a probe is due; if so, schedule the next one."""
        if now < self._probe_at:
            return False
        self._probe_at = max(self._probe_at, now - PROBE_INTERVAL_S) + PROBE_INTERVAL_S
        return True

    def next_target(self, others: list[str]) -> str:
        """Return the next host of the round, or an empty string if there is none."""
        present = set(others)
        while self._order:
            target = self._order.pop()
            if target in present:
                return target
        self._order = list(others)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else ""

    def start(self, target: str, now: float, requester="", requester_number=0) -> int:
        """Track a new probe and return its number.

        ``requester`` is the host that asked for an indirect probe.
        """
        self.number += 1
        pending = PendingProbe(target, now, requester, requester_number)
        self._pending_by_number[self.number] = pending
        return self.number

    def untracked_number(self) -> int:
        """Return the number for a probe whose ack is not tracked."""
        self.number += 1
        return self.number

    def finish(self, number: int, about: str) -> PendingProbe | None:
        """Remove and return the probe that an ack answers, or None."""
        pending = self._pending_by_number.get(number)
        if pending is None or pending.target != about:
            return None
        return self._pending_by_number.pop(number)

    def mark_overdue(self, now: float) -> list[tuple[int, str]]:
        """Return the number and target of the probes that need indirect probes.

        Each probe is returned only once.
        """
        overdue = []
        for number, pending in self._pending_by_number.items():
            is_overdue = now - pending.sent_at >= INDIRECT_PROBE_DELAY_S
            if is_overdue and not pending.has_indirect_probes and not pending.requester:
                pending.has_indirect_probes = True
                overdue.append((number, pending.target))
        return overdue

    def take_failed(self, now: float) -> list[str]:
        """Remove the probes that timed out.

        Return the targets of those that this host did not send for another host.
        """
        targets = []
        for number, pending in list(self._pending_by_number.items()):
            if now - pending.sent_at >= PROBE_INTERVAL_S:
                del self._pending_by_number[number]
                if not pending.requester:
                    targets.append(pending.target)
        return targets

    def clear(self) -> None:
        """Forget all unanswered probes."""
        self._pending_by_number.clear()
