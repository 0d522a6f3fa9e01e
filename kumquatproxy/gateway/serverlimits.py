"""Limits that servers in need name in their answers.

A limit is the number of requests a second that a server takes from all hosts together.
It holds until the server answers without naming one. Hosts tell each other of limits by
shared facts. Each request to such a server needs a turn, which the leader of the
control group gives, so that all hosts together keep to the limit.
"""

import math

from kumquatproxy import logs
from kumquatproxy.gateway import calls, sharedfacts

SERVER_LIMIT = "server-limit"

# A limit that is named again is told to other hosts at this interval.
RENEWAL_INTERVAL_S = 5.0
# Longest wait for a turn. A call that would wait longer goes to another server or is
# rejected.
MAX_TURN_WAIT_S = 2.5
# Time that a call needs after its turn.
SERVING_MARGIN_S = 0.1
# Turns that may follow each other at once, as seconds of the limit.
BURST_S = 0.5
# Least limit that is applied: a server that takes nothing could not name another one.
MIN_RATE = 0.1
# Predicted cost of a call to a server in need, so that others are preferred.
LIMITED_PENALTY_S = 0.05
# Time without turns after nobody has answered a request for one.
NO_LEADER_RETRY_S = 0.3


@sharedfacts.FACT_KINDS.register(SERVER_LIMIT)
class ServerLimitFacts(sharedfacts.FactKind):
    """Facts about one lifetime of a server, ``ID/BORN_MS``.

    The value is [requests a second], or [None] since the server has named no limit.
    """

    max_count = 600
    max_kept_s = 600.0

    def merge(self, known, new):
        """Return the newer fact."""
        is_changed = new.value != known.value and new.observed_at > known.observed_at
        return new if is_changed else super().merge(known, new)


def lifetime_key(announcement) -> str:
    """Return the key of facts about a lifetime of a server."""
    return f"{announcement.instance_id}/{announcement.born_ms}"


def rate_of(table: sharedfacts.FactTable, key: str, now: float) -> float | None:
    """Return the requests a second that a server takes, None without a limit."""
    fact = table.get(SERVER_LIMIT, key, now)
    return fact.value[0] if fact is not None else None


def limited_count(table: sharedfacts.FactTable, now: float) -> int:
    """Return the number of servers that have a limit."""
    facts = table.of_kind(SERVER_LIMIT, now)
    return sum(fact.value[0] is not None for fact in facts)


class Turn:
    """Hold the answer to a request for a turn."""

    __slots__ = ("is_given", "wait_s")

    def __init__(self, is_given, wait_s):
        self.is_given: bool = is_given
        self.wait_s: float = wait_s  # until the turn, or until the next free one


class TurnBook:
    """Give the turns at all servers with a limit, at the leader.

    ``earlier_until`` is the time until which turns of an earlier leader may be used.
    """

    __slots__ = ("_earlier_until", "_free_at_by_key")

    def __init__(self, earlier_until: float):
        self._earlier_until = earlier_until
        # Time from which the next turn is free, if turns are taken evenly.
        self._free_at_by_key: dict[str, float] = {}

    def take(self, key: str, rate: float, max_wait_s: float, now: float) -> Turn:
        """Give a turn at a server if one is free within ``max_wait_s``."""
        interval_s = 1.0 / max(MIN_RATE, rate)
        burst_s = max(0.0, BURST_S - interval_s)
        free_at = max(self._free_at_by_key.get(key, self._earlier_until), now - burst_s)
        wait_s = max(0.0, free_at - now)
        if wait_s > max_wait_s:
            return Turn(False, wait_s)
        self._free_at_by_key[key] = free_at + interval_s
        return Turn(True, wait_s)

    def expire(self, now: float) -> None:
        """Remove the servers whose turns are all free."""
        for key, free_at in list(self._free_at_by_key.items()):
            if free_at < now - BURST_S and self._earlier_until < now - BURST_S:
                del self._free_at_by_key[key]


class ServerLimits:
    """Track the limits of servers at one host, from its own answers and shared facts.

    ``publish(fact, now)`` adds a fact to the table and sends it to the other hosts.
    """

    def __init__(self, table: sharedfacts.FactTable, publish):
        self._table = table
        self._publish = publish
        self._log = logs.Log("limit")
        self._next_turn_at_by_key: dict[str, float] = {}  # as last heard of
        self._closed_until_by_key: dict[str, float] = {}

    def record_answer(
        self, announcement, head: calls.ResponseHead, sent_at: float, now: float
    ) -> None:
        """Record whether a server names a limit in an answer.

        Only a complete answer to a request that was sent after the limit was last named
        ends it: a host that was paused reads old answers late.
        """
        key = lifetime_key(announcement)
        known = self._table.get(SERVER_LIMIT, key, now)
        rate = known.value[0] if known is not None else None
        if head.request_limit is None:
            if head.names_limit:
                self._log.write_limited(
                    now,
                    key,
                    f"the limit of server {announcement.instance_id} is no number",
                    request_id=head.echoed_id,
                )
            elif (
                known is not None
                and rate is not None
                and head.is_sealed
                and sent_at > known.observed_at
            ):
                self._tell(announcement, None, rate, head, now)
            return
        is_due = known is None or now - known.observed_at >= RENEWAL_INTERVAL_S
        if head.request_limit != rate or is_due:
            self._tell(announcement, head.request_limit, rate, head, now)

    def _tell(self, announcement, rate, previous_rate, head, now):
        fact = sharedfacts.Fact(
            SERVER_LIMIT,
            lifetime_key(announcement),
            [rate],
            now,
            now + ServerLimitFacts.max_kept_s,
        )
        self._publish(fact, now)
        if rate != previous_rate:
            self._log.write(
                now,
                f"server {announcement.instance_id} names "
                + ("no limit" if rate is None else f"a limit of {rate:g} a second"),
                born_ms=announcement.born_ms,
                previously=previous_rate,
                request_id=head.echoed_id,
            )

    def rate(self, announcement, now: float) -> float | None:
        """Return the limit of a server in requests a second, None without one."""
        if not self._table.has_kind(SERVER_LIMIT):
            return None
        return rate_of(self._table, lifetime_key(announcement), now)

    def turn_wait_s(self, announcement, now: float) -> float:
        """Return the predicted wait for a turn at a server, 0.0 without a limit."""
        if self.rate(announcement, now) is None:
            return 0.0
        key = lifetime_key(announcement)
        if now < self._closed_until_by_key.get(key, now):
            return math.inf
        return max(0.0, self._next_turn_at_by_key.get(key, now) - now)

    def record_turn(self, announcement, turn: Turn | None, now: float) -> None:
        """Record the answer to a request for a turn, None if there was none."""
        key = lifetime_key(announcement)
        if turn is None:
            self._closed_until_by_key[key] = now + NO_LEADER_RETRY_S
            return
        wait_s = turn.wait_s
        if turn.is_given:
            wait_s += 1.0 / max(MIN_RATE, rate_of(self._table, key, now) or math.inf)
        self._next_turn_at_by_key[key] = now + wait_s

    def expire(self, now: float) -> None:
        """Remove what no longer matters."""
        for times_by_key in (self._next_turn_at_by_key, self._closed_until_by_key):
            for key in [key for key, until in times_by_key.items() if until < now]:
                del times_by_key[key]
