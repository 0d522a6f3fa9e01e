"""What the delegate of a data centre holds of the buckets of teams.

A delegate is a control host with a lease of each team that has no leases of entry
hosts. While the giver answers, it uses nothing and tells the giver so, which
gives that refill out itself. While the giver is silent, it gives grants of its lease.
"""

import collections
import math

from kumquatproxy.gateway import capbook, usagecaps


class DelegatedPart:
    """Keep the bucket of one team at a delegate.

    Refill that does not fit is kept apart, to be returned. Both and the grants that
    entry hosts may be using stay within the lease.
    """

    __slots__ = (
        "_granted",
        "_grants",
        "_level",
        "_unused",
        "_updated_at",
        "given",
        "lease",
    )

    def __init__(self, now: float):
        self.lease = usagecaps.Lease(0, 0.0, 0.0, now)
        self.given = 0.0  # in grants since the start
        self._level = 0.0
        self._unused = 0.0
        # Grants that this host gave before it was restarted may be in use until then.
        self._updated_at = now + usagecaps.GRANT_S
        self._grants: collections.deque[usagecaps.Grant] = collections.deque()
        self._granted = 0.0

    def _usable(self):
        return usagecaps.usable(self.lease.rate, self.lease.capacity)

    def _room(self):
        return max(0.0, self._usable() - self._granted)

    def _advance(self, now):
        """Refill the bucket up to ``now``, with each expiry of a grant at its time."""
        while True:
            event_at = self._grants[0].until if self._grants else math.inf
            step_at = min(event_at, now, self.lease.until)
            if step_at > self._updated_at:
                self._level += self.lease.rate * (step_at - self._updated_at)
                self._updated_at = step_at
            room = self._room()
            self._unused += max(0.0, self._level - room)
            self._level = min(self._level, room)
            self._limit_unused()
            if event_at > now:
                break
            self._granted -= self._grants.popleft().amount
            if not self._grants:
                self._granted = 0.0
        if now >= self.lease.until:
            self._level = self._unused = 0.0
            self._updated_at = max(self._updated_at, now)

    def _limit_unused(self):
        """Keep what may be used and returned within the lease."""
        most = self.lease.rate * usagecaps.RETURNED_S
        excess = max(0.0, self._granted - self._usable())
        self._unused = max(0.0, min(self._unused, most - excess))

    def level(self, now: float) -> float:
        """Return the amount that may be given now."""
        self._advance(now)
        return self._level + self._unused

    def take(self, amount: float, now: float) -> capbook.Decision:
        """Give an amount if there is room; a refusal is not final."""
        level = self.level(now)
        if amount <= level:
            unused = max(0.0, amount - self._level)
            self._level -= amount - unused
            self._unused -= unused
            self._granted += amount
            self.given += amount
            self._grants.append(usagecaps.Grant(amount, now + usagecaps.GRANT_S))
            return capbook.Decision(True)
        left_s = max(0.0, self.lease.until - now)
        wait_s = left_s
        if self.lease.rate > 0.0:
            wait_s = min(left_s, (amount - level) / self.lease.rate)
        return capbook.Decision(False, wait_s, is_final=False)

    def apply_lease(self, lease: usagecaps.Lease, now: float) -> None:
        """Use a newer lease if the grants in use fit into it."""
        self._advance(now)
        if lease.number <= self.lease.number or now >= lease.until:
            return
        if usagecaps.usable(lease.rate, lease.capacity) < self._granted:
            return
        self.lease = lease
        self._level = min(self._level, self._room())
        self._limit_unused()

    def reduce(self, share: float, now: float) -> None:
        """Keep a share of what is held, as the cap was lowered; grants stay."""
        self._advance(now)
        lease = self.lease
        self.lease = usagecaps.Lease(
            lease.number, lease.rate * share, lease.capacity * share, lease.until
        )
        self._level = min(self._level * share, self._room())
        self._unused *= share
        self._limit_unused()

    def request(
        self, team: str, now: float, is_silent: bool = False
    ) -> usagecaps.PartRequest:
        """Return the request for the next lease, which returns what was not used.

        Nothing is returned while the giver is silent, as calls here may need it.
        """
        self._advance(now)
        lease = self.lease
        left_s = max(0.0, lease.until - now)
        rate, capacity = (lease.rate, lease.capacity) if left_s > 0.0 else (0.0, 0.0)
        unused = 0.0
        if not is_silent:
            unused, self._unused = self._unused, 0.0
        return usagecaps.PartRequest(team, lease.number, rate, capacity, left_s, unused)
