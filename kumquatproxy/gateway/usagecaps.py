"""Usage caps of teams: the amount of a call, and what one host may let through.

One host, the giver, keeps a token bucket for each team with a cap (see ``capbook``).
Other hosts get parts of it: grants for calls that wait for them, valid for a moment,
and leases of a part of the refill, valid for some seconds. A host that loses touch with
the giver goes on with its leases until they expire. Teams that are too small for that
have leases of delegates, which give grants in their stead.
"""

import math

from kumquatproxy import records

# Validity of a lease; hosts that are cut off for as long go on with it.
LEASE_S = 8.0
# Validity of a grant, from the question at the host, from the answer at the giver.
GRANT_S = 0.4
# Part of what may be used beyond the cap by which the bucket exceeds the burst. It
# covers what hosts hold without using it.
HELD_SHARE = 0.8
# Part of the same that is given out again per window after hosts have returned it.
REFUND_SHARE = 0.07
# Largest part of the rate that is leased. A new giver, which does not know the leases
# of an earlier one, has the rest.
MAX_LEASED_SHARE = 0.4
# Amount of a usual call, and the number of hosts that must be able to hold one each.
# The leases of smaller teams would not cover a call.
USUAL_TOKENS = 2000
MIN_LEASE_HOSTS = 16
# Teams that could not lease a usual call to each of so many hosts have delegates if
# possible: a delegate serves all hosts of its data centre, a lease one host.
MANY_LEASE_HOSTS = 600
# Part of the rate that delegates hold (see ``delegates``), and how often they renew
# it.
DELEGATED_SHARE = 0.4
PART_RENEWAL_S = 0.15
# Time after which the giver mostly has what delegates did not use.
RETURN_DELAY_S = 0.25
# Refill that a delegate can return at once to the giver; its lease reserves twice that,
# as it may have as much again while its message is on the way.
RETURNED_S = 0.3
RETURN_RESERVE_S = 2.0 * RETURNED_S
# A host asks for a lease if that covers so many of its calls.
MIN_LEASE_CALLS = 2
# Time constant of the measured demand, and what a lease may hold unused: a call of
# mean amount with a margin, or the demand of this time.
DEMAND_TIME_S = 3.0
HELD_CALLS = 1.5
HELD_DEMAND_S = 0.5


class Cap(records.Record):
    """Describe the bucket of a team: its rate, its size and the parts for hosts."""

    __slots__ = (
        "burst",
        "capacity",
        "lease_capacity",
        "lease_rate",
        "part_capacity",
        "part_rate",
        "rate",
        "refund",
        "refund_rate",
        "window_s",
    )

    def __init__(
        self,
        rate,
        burst,
        window_s,
        excess=0.0,
        slack=0.0,
        usual=USUAL_TOKENS,
        data_centres=0,
    ):
        self.rate: float = rate
        self.burst: float = burst
        self.window_s: float = window_s
        margin = excess * (rate * window_s + burst) + slack
        held = HELD_SHARE * margin
        self.capacity: float = burst + held
        # The part of the margin that grants do not need.
        unreserved = held - rate * GRANT_S
        self.lease_capacity: float = 0.0
        self.lease_rate: float = 0.0
        # Of the lease of each delegate, 0.0 if the team has none.
        self.part_rate: float = 0.0
        self.part_capacity: float = 0.0
        if data_centres > 1 and unreserved < MANY_LEASE_HOSTS * usual:
            self._delegate(unreserved, usual, data_centres)
        if self.part_rate == 0.0 and unreserved >= MIN_LEASE_HOSTS * usual:
            self.lease_rate = MAX_LEASED_SHARE * rate
            self.lease_capacity = unreserved
        self.refund: float = REFUND_SHARE * margin
        self.refund_rate: float = self.refund / window_s

    def _delegate(self, capacity, usual, data_centres):
        """Lease equal parts to delegates if each of them covers a usual call.

        While the giver is silent they also use the refill that they return else.
        """
        leased_rate = DELEGATED_SHARE * self.rate
        # What the giver lacks until delegates have told what they did not use.
        capacity -= leased_rate * RETURN_DELAY_S
        part_rate = leased_rate / data_centres
        part_capacity = capacity / data_centres
        spare = usable(part_rate, part_capacity)
        if spare >= 0.0 and spare + part_rate * RETURNED_S >= usual:
            self.lease_rate, self.lease_capacity = leased_rate, capacity
            self.part_rate, self.part_capacity = part_rate, part_capacity


def caps_by_team(configuration, bounds, data_centres: int = 0) -> dict[str, Cap]:
    """Return the caps of a configuration; ``data_centres`` have a delegate each."""
    if configuration is None:
        return {}
    return {
        team.name: Cap(
            team.rate_per_s,
            team.burst,
            bounds.cap_window,
            bounds.cap_excess,
            bounds.cap_slack,
            USUAL_TOKENS if team.is_token_metered else 1,
            data_centres,
        )
        for team in configuration.teams_by_name.values()
        if team.has_cap
    }


def amount(call) -> int:
    """Return what a call counts for the cap of its team."""
    if not call.team.is_token_metered:
        return 1
    if call.stated_tokens is None:
        return call.team.plain_tokens
    return call.stated_tokens


class Grant(records.Record):
    """Hold an amount that may be used until it expires."""

    __slots__ = ("amount", "until")

    def __init__(self, amount, until):
        self.amount: float = amount
        self.until: float = until


class Lease(records.Record):
    """Hold a part of a team's bucket; a higher number is newer."""

    __slots__ = ("capacity", "number", "rate", "until")

    def __init__(self, number, rate, capacity, until):
        self.number: int = number
        self.rate: float = rate
        self.capacity: float = capacity
        self.until: float = until


class LeaseRequest(records.Record):
    """Hold the lease that a host has, and the one that it wants."""

    __slots__ = (
        "capacity",
        "left_s",
        "number",
        "rate",
        "team",
        "unused_rate",
        "wanted_capacity",
        "wanted_rate",
    )

    def __init__(
        self,
        team,
        number,
        rate,
        capacity,
        left_s,
        wanted_rate,
        wanted_capacity,
        unused_rate,
    ):
        self.team: str = team
        self.number: int = number
        self.rate: float = rate
        self.capacity: float = capacity
        self.left_s: float = left_s
        self.wanted_rate: float = wanted_rate
        self.wanted_capacity: float = wanted_capacity
        self.unused_rate: float = unused_rate  # lost, as the lease was full


def usable(rate: float, capacity: float) -> float:
    """Return what a lease lets a delegate hold beside the refill that it returns."""
    return capacity - rate * RETURN_RESERVE_S


def kept_share(known: Cap, new: Cap) -> float:
    """Return the share of what is held that a host keeps when a cap changes."""
    return min(1.0, new.rate / known.rate, _ratio(new.burst, known.burst))


class PartRequest(records.Record):
    """Hold the lease that a delegate has, and what it did not use of it."""

    __slots__ = ("capacity", "left_s", "number", "rate", "team", "unused")

    def __init__(self, team, number, rate, capacity, left_s, unused):
        self.team: str = team
        self.number: int = number
        self.rate: float = rate
        self.capacity: float = capacity
        self.left_s: float = left_s
        self.unused: float = unused  # refill since the last request that did not fit


class Use(records.Record):
    """Record where the amount of a call was taken from."""

    __slots__ = ("amount", "at", "granted", "team", "until")

    def __init__(self, team, amount, granted, at, until):
        self.team: str = team
        self.amount: float = amount
        self.granted: float = granted  # of the amount, from grants
        self.at: float = at
        self.until: float = until  # expiry of the grants


class Holding:
    """Hold what one host may use of one team's bucket."""

    __slots__ = (
        "_asked",
        "_asked_count",
        "_grants",
        "_level",
        "_measured_at",
        "_unused",
        "_updated_at",
        "cap",
        "demand",
        "lease",
        "mean",
    )

    def __init__(self, cap: Cap, now: float, newest_number: int = 0):
        self.cap = cap
        # Leases up to this number were for an earlier holding of the team.
        self.lease = Lease(newest_number, 0.0, 0.0, now)
        self.demand = 0.0  # amount per second
        self.mean = 0.0  # amount of a call
        self._level = 0.0  # of the lease
        self._updated_at = now
        self._grants: list[Grant] = []
        self._asked = 0.0
        self._asked_count = 0
        self._unused = 0.0
        self._measured_at = now

    def _update(self, now):
        """Refill the lease up to its expiry, and remove what has expired."""
        until = min(now, self.lease.until)
        if until > self._updated_at:
            level = self._level + self.lease.rate * (until - self._updated_at)
            self._level = min(level, self.lease.capacity)
            self._unused += level - self._level
        if now >= self.lease.until:
            self._level = 0.0
        self._updated_at = max(now, self._updated_at)
        if self._grants:
            self._grants = [grant for grant in self._grants if now < grant.until]

    def held(self, now: float) -> float:
        """Return the amount that calls may use now."""
        self._update(now)
        return self._level + sum(grant.amount for grant in self._grants)

    def view(self, now: float) -> dict:
        """Return what is held, for operators."""
        held = self.held(now)
        lease = self.lease
        has_lease = now < lease.until and lease.rate > 0.0
        return {
            "granted": round(held - self._level, 1),
            "held": round(held, 1),
            "lease_age_s": round(now - lease.until + LEASE_S, 3) if has_lease else None,
            "lease_capacity": round(lease.capacity, 1) if has_lease else 0.0,
            "lease_left_s": round(lease.until - now, 3) if has_lease else 0.0,
            "lease_number": lease.number,
            "lease_rate": round(lease.rate, 1) if has_lease else 0.0,
        }

    def record_demand(self, amount: float) -> None:
        """Count the amount of a call in the demand, whether it is let through."""
        self._asked += amount
        self._asked_count += 1

    def use(self, team: str, amount: float, now: float) -> Use | None:
        """Take the amount of a call, grants first; return None if too little is held.

        The parts are rounded, so a lease may lack a fraction of a unit.
        """
        if self.held(now) < amount:
            return None
        granted, until = 0.0, now
        for grant in self._grants:
            part = min(grant.amount, amount - granted)
            grant.amount -= part
            granted += part
            until = max(until, grant.until)
        self._grants = [grant for grant in self._grants if grant.amount > 0.0]
        self._level -= amount - granted
        return Use(team, amount, granted, now, until)

    def add_grant(self, grant: Grant, now: float) -> None:
        """Add an amount that the giver has granted."""
        if now < grant.until:
            self._grants.append(grant)

    def apply_lease(self, lease: Lease, now: float) -> None:
        """Use a newer lease; what the earlier one has left stays within the new one."""
        if lease.number <= self.lease.number or now >= lease.until:
            return
        self._update(now)
        self.lease = lease
        self._level = min(self._level, lease.capacity)

    def give_back(self, use: Use, now: float) -> float:
        """Take back the amount of a call that did not run; return what has expired.

        What the lease has refilled in the meantime could not have been held besides.
        """
        self._update(now)
        expired = 0.0
        if use.granted > 0.0 and now < use.until:
            self._grants.append(Grant(use.granted, use.until))
        else:
            expired = use.granted
        leased = use.amount - use.granted
        kept = max(0.0, leased - self.lease.rate * (now - use.at))
        kept = max(0.0, min(kept, self.lease.capacity - self._level))
        if now >= self.lease.until:
            kept = 0.0
        self._level += kept
        return expired + leased - kept

    def set_cap(self, cap: Cap, now: float) -> None:
        """Apply a changed cap; a lower one reduces what is held in proportion."""
        share = kept_share(self.cap, cap)
        self.cap = cap
        if share < 1.0:
            self._update(now)
            self._level *= share
            lease = self.lease
            self.lease = Lease(
                lease.number, lease.rate * share, lease.capacity * share, lease.until
            )
            self._grants = [
                Grant(grant.amount * share, grant.until) for grant in self._grants
            ]

    def renew(self, team: str, now: float) -> LeaseRequest | None:
        """Return the request for a lease, None if there is none and none is wanted."""
        if self.cap.lease_rate == 0.0 and now >= self.lease.until:
            return None
        self._update(now)
        elapsed_s = now - self._measured_at
        if elapsed_s <= 0.0:
            return None
        weight = 1.0 - math.exp(-elapsed_s / DEMAND_TIME_S)
        self.demand += (self._asked / elapsed_s - self.demand) * weight
        if self._asked_count:
            mean = self._asked / self._asked_count
            self.mean += (mean - self.mean) * (weight if self.mean else 1.0)
        unused_rate = self._unused / elapsed_s
        self._asked, self._asked_count, self._unused = 0.0, 0, 0.0
        self._measured_at = now
        lease = self.lease
        left_s = max(0.0, lease.until - now)
        is_wanted = (
            self.cap.lease_rate > 0.0
            and self.demand * LEASE_S >= MIN_LEASE_CALLS * self.mean > 0.0
        )
        has_lease = left_s > 0.0
        wanted_capacity = max(HELD_CALLS * self.mean, self.demand * HELD_DEMAND_S)
        if not (is_wanted or has_lease):
            return None
        return LeaseRequest(
            team,
            lease.number,
            lease.rate if has_lease else 0.0,
            lease.capacity if has_lease else 0.0,
            left_s,
            self.demand if is_wanted else 0.0,
            wanted_capacity if is_wanted else 0.0,
            unused_rate,
        )


def _ratio(new, old):
    return new / old if old > 0.0 else 1.0


class Holdings:
    """Hold what one host may use of the buckets of all teams with a cap."""

    __slots__ = ("_newest_number", "by_team")

    def __init__(self):
        self.by_team: dict[str, Holding] = {}
        self._newest_number = 0  # of the leases of removed teams

    def configure(self, caps: dict[str, Cap], now: float) -> None:
        """Apply the caps of a configuration."""
        for team in self.by_team.keys() - caps.keys():
            number = self.by_team.pop(team).lease.number
            self._newest_number = max(self._newest_number, number)
        for team, cap in caps.items():
            holding = self.by_team.get(team)
            if holding is None:
                self.by_team[team] = Holding(cap, now, self._newest_number)
            elif holding.cap != cap:
                holding.set_cap(cap, now)

    def renew(self, now: float) -> list[LeaseRequest]:
        """Return the requests for leases of all teams."""
        requests = [holding.renew(team, now) for team, holding in self.by_team.items()]
        return [request for request in requests if request is not None]
