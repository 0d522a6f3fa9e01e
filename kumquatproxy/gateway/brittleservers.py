"""Services whose servers fall over if they refuse many requests for lack of room.

The servers say so in all their answers, with the number of refusals a second that one
of them bears. Hosts tell each other by shared facts, which end with an answer that does
not say so. Meanwhile each host has a share of the places at each server. After a
refusal all hosts leave the server alone for a time. Only at a server without a refusal
for a while hosts use more than their share, as long as it is half empty.
"""

import zlib

from kumquatproxy import logs
from kumquatproxy.gateway import calls, serverlimits, sharedfacts

BRITTLE_SERVICE = "brittle-service"
FULL_SERVER = "full-server"

RENEWAL_INTERVAL_S = 1.0
# Least time for which a server is left alone after a refusal. Other hosts send to it
# until they hear of the refusal, so some more refusals come with each one.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
# Time since the last refusal, or the start of a server, after which hosts use more than
# their share: until then calls may wait for it at all hosts, which would come at once.
CALM_S = 2.0
# Refusals that may come at a time, over all hosts.
REFUSALS_AT_ONCE = 4
# Share of the places of a server up to which hosts use more than their own ones.
SHARED_FILL = 0.5


@sharedfacts.FACT_KINDS.register(BRITTLE_SERVICE)
class BrittleServices(serverlimits.ServerLimitFacts):
    """Facts about a service; [refusals a second that a server bears], or [None]."""

    max_count = 100
    max_kept_s = 10.0


@sharedfacts.FACT_KINDS.register(FULL_SERVER)
class FullServers(sharedfacts.FactKind):
    """Facts about one lifetime of a server that has refused a request for lack of room.

    The value is empty. The fact is kept until the server has been calm for a while.
    """

    max_count = 600
    max_kept_s = 15.0
    max_travel_s = 0.1


class BrittleServers:
    """Track brittle services at one host, from its own answers and shared facts.

    ``publish(fact, now)`` adds a fact to the table and sends it to the other hosts.
    """

    def __init__(self, host_id: str, table: sharedfacts.FactTable, publish):
        self._host_id = host_id
        self.host_count = 1  # entry hosts, this one included
        self._table = table
        self._publish = publish
        self._log = logs.Log("limit")
        self._first_seen_at_by_key: dict[str, float] = {}  # in brittle services

    def refusals_per_s(self, service: str, now: float) -> float | None:
        """Return how many refusals a server of a service bears, None if any number."""
        fact = self._table.get(BRITTLE_SERVICE, service, now)
        return fact.value[0] if fact is not None else None

    def record_answer(
        self, announcement, head: calls.ResponseHead, sent_at: float, now: float
    ) -> None:
        """Record whether a server says that it is brittle, and whether it is full."""
        service = announcement.service
        known = self._table.get(BRITTLE_SERVICE, service, now)
        limit = known.value[0] if known is not None else None
        if head.refusals_per_s is not None:
            is_due = known is None or now - known.observed_at >= RENEWAL_INTERVAL_S
            if is_due or head.refusals_per_s != limit:
                self._tell(service, head.refusals_per_s, limit, now)
            limit = head.refusals_per_s
        elif (
            known is not None
            and limit is not None
            and head.is_sealed
            and sent_at > known.observed_at
        ):
            self._tell(service, None, limit, now)
            return
        if head.is_not_executed and limit is not None:
            key = serverlimits.lifetime_key(announcement)
            ends_at = now + backoff_s(limit) + CALM_S
            self._publish(sharedfacts.Fact(FULL_SERVER, key, [], now, ends_at), now)

    def _tell(self, service, limit, previous_limit, now):
        ends_at = now + BrittleServices.max_kept_s
        self._publish(
            sharedfacts.Fact(BRITTLE_SERVICE, service, [limit], now, ends_at), now
        )
        if limit != previous_limit:
            self._log.write(
                now,
                f"servers of {service} "
                + (
                    "are not brittle any more"
                    if limit is None
                    else f"fall over at more than {limit:g} refusals a second"
                ),
            )

    def admits(self, announcement, own: int, running: int, now: float) -> bool:
        """Return whether a server may be sent a call.

        It runs ``own`` calls of this host, and ``running`` ones of all hosts as far as
        this one knows.
        """
        if not self._table.has_kind(BRITTLE_SERVICE):
            return True
        limit = self.refusals_per_s(announcement.service, now)
        if limit is None:
            return True
        key = serverlimits.lifetime_key(announcement)
        full = self._table.get(FULL_SERVER, key, now)
        if full is not None and now < full.observed_at + backoff_s(limit):
            return False
        first_seen_at = self._first_seen_at_by_key.setdefault(key, now)
        slots = max(1, announcement.slots)
        if own < own_places(self._host_id, key, slots, self.host_count):
            return True
        is_calm = full is None and now >= first_seen_at + CALM_S
        return is_calm and running < SHARED_FILL * slots

    def expire(self, now: float) -> None:
        """Forget the servers if no service is brittle any more."""
        if not self._table.of_kind(BRITTLE_SERVICE, now):
            self._first_seen_at_by_key.clear()


def own_places(host_id: str, server_key: str, slots: int, host_count: int) -> int:
    """Return the number of places of one host at a server; on average all are given."""
    places, rest = divmod(slots, max(1, host_count))
    rank = zlib.crc32(f"{host_id} {server_key}".encode()) / 2.0**32
    return places + (rank * host_count < rest)


def backoff_s(refusals_per_s: float) -> float:
    """Return how long a server is left alone after a refusal."""
    if refusals_per_s <= 0.0:
        return MAX_BACKOFF_S
    return min(
        MAX_BACKOFF_S,
        max(MIN_BACKOFF_S, REFUSALS_AT_ONCE / refusals_per_s),
    )
