"""Book of the giver: the token bucket of each team with a cap.

What hosts hold unused counts as used, so that no window exceeds the size of the bucket
and its refill, whichever hosts are out of touch.
"""

import collections
import heapq
import itertools
import math

from kumquatproxy import records
from kumquatproxy.gateway import usagecaps

# Time after a refusal during which leases do not grow.
SHORTAGE_S = 2.0
# Time in which a new giver fills its buckets.
SETTLING_S = 4.0
# Longest wait that a caller is told.
MAX_RETRY_AFTER_S = 8.0
# Parts of a window for which the fill of a bucket is recorded.
WINDOW_PARTS = 16
# Numbers of leases of one term of the giver.
NUMBERS_PER_TERM = 1 << 32
MAX_VIEWED_LEASES = 10


class Decision(records.Record):
    """Hold the answer to a question for an amount."""

    __slots__ = ("is_final", "is_given", "wait_s")

    def __init__(self, is_given, wait_s=0.0, is_final=True):
        self.is_given: bool = is_given
        self.wait_s: float = wait_s  # until there is room
        self.is_final: bool = is_final  # else it is worth asking again at once


class WindowMaximum:
    """Keep the largest value of the last window, for each of its parts."""

    __slots__ = ("_maxima", "_part_s", "_started_at")

    def __init__(self, window_s: float, now: float):
        self._part_s = window_s / WINDOW_PARTS
        self._started_at = now
        self._maxima: collections.deque[tuple[int, float]] = collections.deque()

    def record(self, value: float, now: float) -> None:
        """Record a value; one that a later value exceeds is dropped."""
        part = math.floor((now - self._started_at) / self._part_s)
        while self._maxima and self._maxima[-1][1] <= value:
            self._maxima.pop()
        if not self._maxima or self._maxima[-1][0] != part:
            self._maxima.append((part, value))
        while self._maxima[0][0] < part - WINDOW_PARTS:
            self._maxima.popleft()

    def largest(self, now: float) -> float:
        """Return the largest value, infinity until a whole window is recorded."""
        if now < self._started_at + (WINDOW_PARTS + 1) * self._part_s:
            return math.inf
        return self._maxima[0][1]


class TeamBook:
    """Keep the bucket of one team.

    ``started_at`` is when this giver began. What an earlier one leased is unknown until
    its hosts have told, or until it has expired.
    """

    def __init__(self, cap: usagecaps.Cap, started_at: float, first_number: int = 1):
        self.cap = cap
        self.started_at = started_at
        self._first_number = first_number  # of the leases of this giver
        self.used = 0.0  # given in grants since the start
        self.refused_count = 0
        self.leased_rate = 0.0
        self.leased_capacity = 0.0
        self.unknown_rate = cap.lease_rate
        self.unknown_capacity = cap.lease_capacity
        self._unknown_until = started_at + usagecaps.LEASE_S
        self._level = 0.0
        # Grants of an earlier giver may be in use until then.
        self._updated_at = started_at + usagecaps.GRANT_S
        self._grants: collections.deque[usagecaps.Grant] = collections.deque()
        self._granted = 0.0  # sum of the grants that have not expired
        # Leases that a host may be using; it has told that it has none before these.
        self._leases_by_host: dict[str, list[usagecaps.Lease]] = {}
        self._expiries: list[tuple[float, str]] = []  # heap
        # Largest rate and capacity that hosts had of an earlier giver.
        self._claims_by_host: dict[str, tuple[float, float]] = {}
        # Rate of what delegates have not used lately.
        self._returned_by_host: dict[str, float] = {}
        self._refund_level = 0.0
        self._refund_at = started_at
        # Most that could have been used at once, by the giver and by hosts.
        self._fill = WindowMaximum(cap.window_s, self._updated_at)
        self._backlog = 0.0  # refused, and expected again
        self._short_until = started_at

    @property
    def refill_rate(self) -> float:
        """Return the part of the rate that is not leased."""
        return max(0.0, self.cap.rate - self.leased_rate - self.unknown_rate)

    def _held(self):
        """Return the most that hosts may hold."""
        return self.leased_capacity + self.unknown_capacity + self._granted

    def _room(self):
        """Return the largest level beside what hosts may hold."""
        return max(0.0, self.cap.capacity - self._held())

    def _extra_rate(self, elapsed_s, now):
        """Return the refill beyond the rate for the time since the last one.

        A window that began with less than the size of the bucket may add the rest. So
        a team that asks for more than its rate all the time may use the burst again
        in each window.
        """
        window_s = self.cap.window_s
        missing = self.cap.capacity - self._fill.largest(now)
        fill = self._level + self._held() + self.cap.rate * elapsed_s
        missing_later = self.cap.capacity - fill
        return max(0.0, min(missing / window_s, missing_later / (window_s + elapsed_s)))

    def _record_fill(self, now):
        self._fill.record(self._level + self._held(), now)

    def level(self, now: float) -> float:
        """Return the amount that may be given now."""
        self._advance(now)
        return self._level

    def _advance(self, now):
        """Refill the bucket up to ``now``, with each expiry at its time."""
        while True:
            event_at = min(
                self._grants[0].until if self._grants else math.inf,
                self._expiries[0][0] if self._expiries else math.inf,
                self._unknown_until,
            )
            step_at = min(event_at, now)
            if step_at > self._updated_at:
                elapsed_s = step_at - self._updated_at
                rate = self.refill_rate + self._extra_rate(elapsed_s, self._updated_at)
                refilled = rate * elapsed_s
                self._backlog = max(0.0, self._backlog - refilled)
                self._level += refilled
                self._updated_at = step_at
            self._level = min(self._level, self._room())
            self._record_fill(max(step_at, self._updated_at))
            if event_at > now:
                return
            self._expire(event_at)

    def _expire(self, now):
        while self._grants and self._grants[0].until <= now:
            self._granted -= self._grants.popleft().amount
        if not self._grants:
            self._granted = 0.0
        while self._expiries and self._expiries[0][0] <= now:
            _, host_id = heapq.heappop(self._expiries)
            leases = self._leases_by_host.get(host_id, [])
            self._set_leases(host_id, [held for held in leases if held.until > now])
        if self._unknown_until <= now:
            self._unknown_until = math.inf
            self.unknown_rate = self.unknown_capacity = 0.0
            self._claims_by_host.clear()

    def view(self, now: float) -> dict:
        """Return the state of the bucket, for operators."""
        level = self.level(now)
        host_ids = sorted(self._leases_by_host, key=self._held_by, reverse=True)
        return {
            "backlog": round(self._backlog, 1),
            "given": round(self.used, 1),
            "grants": round(self._granted, 1),
            "leased_capacity": round(self.leased_capacity, 1),
            "leased_rate": round(self.leased_rate, 1),
            "leases": len(host_ids),
            "largest_leases": [
                {"host": host_id, "rate": round(self._held_by(host_id)[0], 1)}
                for host_id in host_ids[:MAX_VIEWED_LEASES]
            ],
            "level": round(level, 1),
            "refill_rate": round(self.refill_rate, 1),
            "refused": self.refused_count,
            "reserved_rate": round(self.unknown_rate, 1),
            "size": round(self.cap.capacity, 1),
        }

    def take(self, amount: float, now: float) -> Decision:
        """Give an amount if there is room."""
        self._advance(now)
        if amount <= self._level:
            self._level -= amount
            self._granted += amount
            self.used += amount
            self._grants.append(usagecaps.Grant(amount, now + usagecaps.GRANT_S))
            return Decision(True)
        self._short_until = now + SHORTAGE_S
        self.refused_count += 1
        missing = amount - self._level + self._backlog
        rate = self.refill_rate + sum(self._returned_by_host.values())
        rate = min(rate, self.cap.rate) + self._extra_rate(0.0, now)
        rate = max(rate, 0.1 * self.cap.rate)
        wait_s = max(0.0, self._updated_at - now) + missing / rate
        if self.unknown_rate > 0.0 or now < self.started_at + SETTLING_S:
            # A new giver has an empty bucket, and less than the rate until it knows
            # all leases.
            return Decision(False, min(wait_s, MAX_RETRY_AFTER_S), is_final=False)
        if wait_s < MAX_RETRY_AFTER_S:
            self._backlog += amount
        return Decision(False, min(wait_s, MAX_RETRY_AFTER_S))

    def refund(self, amount: float, now: float) -> None:
        """Take back what was not used, as far as the windows allow."""
        self._advance(now)
        elapsed_s = max(0.0, now - self._refund_at)
        self._refund_at = now
        self._refund_level = min(
            self.cap.refund, self._refund_level + self.cap.refund_rate * elapsed_s
        )
        part = max(0.0, min(amount, self._refund_level))
        self._refund_level -= part
        self._level = min(self._level + part, self._room())
        self._record_fill(now)

    def renew(
        self, host_id: str, request: usagecaps.LeaseRequest, number: int, now: float
    ) -> usagecaps.Lease | None:
        """Return the lease that a host gets next, None if it neither has nor gets one.

        A host that loses its lease is told so by one without a rate.
        """
        self._advance(now)
        self._record_lease(host_id, request, now)
        own = self._held_by(host_id)
        cap = self.cap
        if cap.part_rate > 0.0:
            return self._lease(host_id, number, 0.0, 0.0, now)
        rate = min(request.wanted_rate, self._allowed_rate(own[0]))
        if now < self._short_until:
            rate = min(rate, max(0.0, request.rate - request.unused_rate))
        others_capacity = self.leased_capacity - own[1] + self.unknown_capacity
        capacity = min(request.wanted_capacity, cap.lease_capacity - others_capacity)
        # A lease that holds less than one call is of no use.
        least_capacity = min(request.wanted_capacity, request.capacity or math.inf)
        if rate <= 0.0 or capacity < least_capacity:
            rate = capacity = 0.0
        return self._lease(host_id, number, rate, capacity, now)

    def renew_part(
        self, host_id: str, request: usagecaps.PartRequest, number: int, now: float
    ) -> usagecaps.Lease | None:
        """Return the lease that a delegate gets next, as ``renew`` does."""
        self._advance(now)
        self._take_unused(host_id, request, now)
        # Grants that it gives at the end of its lease may be used after that.
        self._record_lease(host_id, request, now, usagecaps.GRANT_S)
        own_rate, own_capacity = self._held_by(host_id)
        cap = self.cap
        rate = min(cap.part_rate, self._allowed_rate(own_rate))
        others_capacity = self.leased_capacity - own_capacity + self.unknown_capacity
        capacity = min(cap.part_capacity, cap.lease_capacity - others_capacity)
        if rate <= 0.0 or usagecaps.usable(rate, capacity) <= 0.0:
            rate = capacity = 0.0
        return self._lease(host_id, number, rate, capacity, now)

    def _take_unused(self, host_id, request, now):
        """Give out what a delegate has refilled since its last request and not used.

        Its lease reserves this amount. Only the first message that names the newest
        lease counts, so one that arrives late or twice gives nothing twice.
        """
        leases = self._leases_by_host.get(host_id)
        if not leases or leases[-1].number != request.number:
            return
        lease = leases[-1]
        elapsed_s = now - (lease.until - usagecaps.LEASE_S)
        part = min(request.unused, lease.rate * min(elapsed_s, usagecaps.RETURNED_S))
        if request.number < self._first_number or part <= 0.0:
            return
        self._returned_by_host[host_id] = part / elapsed_s
        self._backlog = max(0.0, self._backlog - part)
        self._level = min(self._level + part, self._room())
        self._record_fill(now)

    def _lease(self, host_id, number, rate, capacity, now):
        if rate == self._held_by(host_id)[0] == 0.0:
            return None
        lease = usagecaps.Lease(number, rate, capacity, now + usagecaps.LEASE_S)
        self._add_lease(host_id, self._leases_by_host.get(host_id, []), lease)
        self._level = min(self._level, self._room())
        self._record_fill(now)
        return lease

    def _allowed_rate(self, own_rate):
        """Return the largest rate for a host that may have ``own_rate`` now."""
        total = self.leased_rate + self.unknown_rate
        if total > self.cap.lease_rate:
            return own_rate * self.cap.lease_rate / total
        return self.cap.lease_rate - total + own_rate

    def _record_lease(self, host_id, request, now, grace_s=0.0):
        """Record the lease in use at a host, which has none with a lower number.

        It may come from an earlier giver. A message that arrives twice or late tells
        nothing wrong, as the numbers at a host only rise.
        """
        leases = self._leases_by_host.get(host_id, [])
        leases = [lease for lease in leases if lease.number >= request.number]
        is_known = any(lease.number == request.number for lease in leases)
        until = now + min(request.left_s + grace_s, usagecaps.LEASE_S)
        is_earlier = request.number < self._first_number
        is_unexpired = now < self._unknown_until < math.inf
        if request.rate > 0.0 and is_earlier and is_unexpired and not is_known:
            self._claim(host_id, request)
            lease = usagecaps.Lease(
                request.number, request.rate, request.capacity, until
            )
            self._add_lease(host_id, leases, lease)
        else:
            self._set_leases(host_id, leases)

    def _claim(self, host_id, request):
        """Count a lease of an earlier giver as known."""
        rate, capacity = self._claims_by_host.get(host_id, (0.0, 0.0))
        new_rate = max(rate, request.rate)
        new_capacity = max(capacity, request.capacity)
        self._claims_by_host[host_id] = (new_rate, new_capacity)
        self.unknown_rate = max(0.0, self.unknown_rate - (new_rate - rate))
        self.unknown_capacity = max(
            0.0, self.unknown_capacity - (new_capacity - capacity)
        )

    def _add_lease(self, host_id, leases, lease):
        heapq.heappush(self._expiries, (lease.until, host_id))
        self._set_leases(host_id, [*leases, lease])

    def _set_leases(self, host_id, leases):
        rate, capacity = self._held_by(host_id)
        if leases:
            self._leases_by_host[host_id] = leases
        else:
            self._leases_by_host.pop(host_id, None)
            self._returned_by_host.pop(host_id, None)
        new_rate, new_capacity = self._held_by(host_id)
        self.leased_rate += new_rate - rate
        self.leased_capacity += new_capacity - capacity
        if not self._leases_by_host:
            self.leased_rate = self.leased_capacity = 0.0

    def _held_by(self, host_id):
        """Return the largest rate and capacity that a host may be using."""
        leases = self._leases_by_host.get(host_id)
        if not leases:
            return 0.0, 0.0
        return (
            max(lease.rate for lease in leases),
            max(lease.capacity for lease in leases),
        )

    def set_cap(self, cap: usagecaps.Cap, now: float) -> None:
        """Apply a changed cap; the leases follow as hosts renew them."""
        self._advance(now)
        if now < self._unknown_until < math.inf:
            # An earlier giver may have leased parts of the new cap.
            self.unknown_rate += max(0.0, cap.lease_rate - self.cap.lease_rate)
            self.unknown_capacity += max(
                0.0, cap.lease_capacity - self.cap.lease_capacity
            )
        self.cap = cap
        self._level = min(self._level, self._room())
        self._fill = WindowMaximum(cap.window_s, now)


class CapBook:
    """Keep the buckets of all teams during one term of the giver."""

    def __init__(self, term: int, started_at: float):
        self.started_at = started_at
        self.by_team: dict[str, TeamBook] = {}
        self._removed_at_by_team: dict[str, float] = {}
        # (host id, expiry) by data centre and team.
        self._delegate_by_key: dict[tuple[str, str], tuple[str, float]] = {}
        self._first_number = term * NUMBERS_PER_TERM + 1
        self._numbers = itertools.count(self._first_number)

    def configure(self, caps: dict[str, usagecaps.Cap], now: float) -> None:
        """Apply the caps of a configuration.

        The bucket of a team that is removed and added again must not be full at once.
        """
        for team, cap in caps.items():
            self._removed_at_by_team.pop(team, None)
            book = self.by_team.get(team)
            if book is None:
                self.by_team[team] = TeamBook(cap, self.started_at, self._first_number)
            elif book.cap != cap:
                book.set_cap(cap, now)
        for team in self.by_team.keys() - caps.keys():
            removed_at = self._removed_at_by_team.setdefault(team, now)
            if now - removed_at > 2.0 * usagecaps.LEASE_S:
                del self.by_team[team], self._removed_at_by_team[team]
                self._delegate_by_key = {
                    key: delegate
                    for key, delegate in self._delegate_by_key.items()
                    if key[1] != team
                }

    def renew(
        self, host_id: str, request: usagecaps.LeaseRequest, now: float
    ) -> usagecaps.Lease | None:
        """Return the next lease of a host, None for a team without a cap."""
        book = self.by_team.get(request.team)
        if book is None:
            return None
        return book.renew(host_id, request, next(self._numbers), now)

    def renew_part(
        self,
        host_id: str,
        data_centre: str,
        request: usagecaps.PartRequest,
        now: float,
    ) -> usagecaps.Lease | None:
        """Return the next lease of a delegate, None for a host that is not one."""
        book = self.by_team.get(request.team)
        if book is None or not self._is_delegate(host_id, data_centre, request, now):
            return None
        return book.renew_part(host_id, request, next(self._numbers), now)

    def _is_delegate(self, host_id, data_centre, request, now):
        """Return whether a host is the delegate; make it the one if there is none.

        While leases of an earlier giver may exist, only a host that has one becomes it.
        """
        key = (data_centre, request.team)
        known_id, until = self._delegate_by_key.get(key, (host_id, now))
        is_known = known_id == host_id and now < until
        is_early = now < self.started_at + usagecaps.LEASE_S
        if now < until and not is_known:
            return False
        if is_early and not is_known and request.left_s <= 0.0:
            return False
        self._delegate_by_key[key] = (host_id, now + usagecaps.LEASE_S)
        return True
