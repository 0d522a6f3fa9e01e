"""Servers that say in their answers that they leave.

The host that gets such an answer sends the server nothing new, whatever heartbeats of
the same lifetime say later, and tells the other hosts, which need no answer then.
"""

import collections.abc

from kumquatproxy import logs
from kumquatproxy.gateway import calls, serverlimits, sharedfacts

LEAVING_SERVER = "leaving-server"


@sharedfacts.FACT_KINDS.register(LEAVING_SERVER)
class LeavingServerFacts(sharedfacts.FactKind):
    """Facts about one lifetime of a server, ``ID/BORN_MS``; the value is empty.

    Hosts keep the mark for the lifetime, and control hosts push it to hosts that start
    later, so the fact lasts only until the control hosts have it.
    """

    max_count = 600
    max_kept_s = 5.0

    def merge(self, known, new):
        """Return the fact that is known; a later one adds nothing."""
        return known


class LeavingServers:
    """Mark the servers that leave at one host.

    ``mark(instance_id, born_ms, now)`` marks a lifetime and returns whether that is
    new. ``publish(fact, now)`` adds a fact and sends it to the other hosts.
    """

    __slots__ = ("_log", "_mark", "_publish")

    def __init__(
        self,
        mark: collections.abc.Callable[[str, int, float], bool],
        publish: collections.abc.Callable[[sharedfacts.Fact, float], object],
    ):
        self._mark = mark
        self._publish = publish
        self._log = logs.Log("member")

    def record_answer(
        self, announcement, head: calls.ResponseHead, sent_at: float, now: float
    ) -> None:
        """Record whether a server says in an answer that it leaves."""
        if not head.is_leaving:
            return
        if not self._mark(announcement.instance_id, announcement.born_ms, now):
            return
        self._log.write(
            now,
            f"server {announcement.instance_id} says that it leaves",
            born_ms=announcement.born_ms,
            request_id=head.echoed_id,
        )
        key = serverlimits.lifetime_key(announcement)
        ends_at = now + LeavingServerFacts.max_kept_s
        self._publish(sharedfacts.Fact(LEAVING_SERVER, key, [], now, ends_at), now)

    def handle_facts(self, facts: list[sharedfacts.Fact], now: float) -> None:
        """Mark the servers that other hosts have heard from."""
        for fact in facts:
            instance_id, _, born_ms = fact.key.rpartition("/")
            if fact.kind == LEAVING_SERVER and born_ms.isdecimal():
                self._mark(instance_id, int(born_ms), now)
