"""Exchange of short-lived facts between entry hosts and control hosts.

Entry hosts send what they observe to all control hosts, which pass on what is new to
them. Both sides repeat what is in force each second, because messages are lost while a
link is cut and a restarted host has forgotten all.
"""

from kumquatproxy import wire
from kumquatproxy.fleet import fleetmessages
from kumquatproxy.gateway import (
    brittleservers,
    crashingcalls,
    crashingparts,
    forwarding,
    leavingservers,
    serverlimits,
    sharedfacts,
)

REPEAT_INTERVAL_S = 1.0
# A fact is passed on at once, also without a change, if it would end within this time.
RENEWAL_MARGIN_S = 2.0 * REPEAT_INTERVAL_S
# All tables at their limits do not fit into a frame; so many of the largest facts do.
MAX_FACTS_PER_MESSAGE = 50

# Importing these modules registers the kinds of facts.
FACT_MODULES = (
    brittleservers,
    crashingcalls,
    crashingparts,
    forwarding,
    leavingservers,
    serverlimits,
)


class EntryFacts:
    """Keep the facts at an entry host.

    ``broadcast(host_ids, message)`` sends a message to control hosts.
    """

    def __init__(self, broadcast):
        self.table = sharedfacts.FactTable()
        # Control hosts of a build that knows facts. Others would close the link.
        self._host_ids: set[str] = set()
        # Control hosts that have not said yet what they know, on a new link.
        self._ungreeted_ids: set[str] = set()
        self._broadcast = broadcast
        self._own_keys: set[tuple[str, str]] = set()
        self._next_repeat_at = 0.0

    def publish(self, fact: sharedfacts.Fact, now: float) -> None:
        """Add a fact that this host has observed, and send it if it is new."""
        merged = self.table.merge(fact, now)
        if merged is None:
            return
        self._own_keys.add((merged.kind, merged.key))
        self._send([merged], now)

    def knows_facts(self, host_id: str) -> bool:
        """Return whether a control host is of a build that knows facts."""
        return host_id in self._host_ids

    def reopen(self, host_id: str) -> None:
        """Record that a link to a control host has opened, which may have restarted."""
        self._ungreeted_ids.add(host_id)

    def receive(
        self, sender: str, message: fleetmessages.SharedFacts, now: float
    ) -> list[sharedfacts.Fact]:
        """Merge the facts of a control host; return those that are new.

        Its first message on a link names what it knows. The other facts are sent to it,
        as all control hosts and the host that observed them may have restarted since.
        """
        self._host_ids.add(sender)
        merged = merge_all(self.table, message, now)
        if sender in self._ungreeted_ids:
            self._ungreeted_ids.discard(sender)
            self._send_missing(sender, message, now)
        return merged

    def _send_missing(self, host_id, message, now):
        known_keys = {tuple(fields[:2]) for fields in message.facts}
        missing = [
            fact
            for fact in self.table.all(now)
            if (fact.kind, fact.key) not in known_keys
            and not self.table.is_renewed(fact.kind)
        ]
        if missing:
            for facts_message in to_messages(missing, now):
                self._broadcast([host_id], facts_message)

    def tick(self, now: float) -> None:
        """Repeat the facts that this host has observed."""
        if now < self._next_repeat_at:
            return
        self._next_repeat_at = now + REPEAT_INTERVAL_S
        self.table.expire(now)
        own = {key: self.table.get(*key, now) for key in self._own_keys}
        self._own_keys = {key for key, fact in own.items() if fact is not None}
        facts = [fact for fact in own.values() if fact is not None]
        if facts:
            self._send(facts, now)

    def _send(self, facts, now):
        if not self._host_ids:
            return
        for message in to_messages(facts, now):
            self._broadcast(sorted(self._host_ids), message)


class ControlFacts:
    """Keep the facts at a control host and pass them on."""

    def __init__(self):
        self.table = sharedfacts.FactTable()
        self._changed: dict[tuple[str, str], sharedfacts.Fact] = {}
        self._next_repeat_at = 0.0

    def publish(self, fact: sharedfacts.Fact, now: float) -> None:
        """Add a fact that this host has observed."""
        self._merge(fact, now)

    def receive(
        self, message: fleetmessages.SharedFacts, now: float
    ) -> list[sharedfacts.Fact]:
        """Merge the facts of another host; return those that are new."""
        merged = [
            self._merge(sharedfacts.from_wire(fields, now), now)
            for fields in message.facts
        ]
        return [fact for fact in merged if fact is not None]

    def _merge(self, fact, now):
        """Merge a fact; return it as it is now, or None if nothing changed.

        When one host is cut off, all others renew their offers each second. That says
        nothing new, so it goes out with the repeats instead of to all hosts at once.
        """
        has_kind = self.table.knows_kind(fact.kind)
        known = self.table.get(fact.kind, fact.key, now) if has_kind else None
        merged = self.table.merge(fact, now)
        if merged is not None and not _is_renewal(known, merged, now):
            self._changed[merged.kind, merged.key] = merged
        return merged

    def greet(self, host_id: str, now: float) -> list[wire.Send]:
        """Return the messages for a new subscriber; the only one may hold no facts."""
        messages = to_messages(self.table.all(now), now)
        return [wire.Send(host_id, message) for message in messages]

    def tick(self, subscribers: list[tuple[str, bool]], now: float) -> list[wire.Send]:
        """Return the messages that are due for (id, whether it wants details).

        All get what has changed; those that want details get all facts repeated.
        """
        changed = list(self._changed.values())
        self._changed.clear()
        sends = []
        if changed:
            sends = [
                wire.Send(host_id, message)
                for message in to_messages(changed, now)
                for host_id, _ in subscribers
            ]
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + REPEAT_INTERVAL_S
            self.table.expire(now)
            facts = self.table.all(now)
            if facts:
                sends += [
                    wire.Send(host_id, message)
                    for message in to_messages(facts, now)
                    for host_id, has_details in subscribers
                    if has_details
                ]
        return sends


def _is_renewal(known, merged, now):
    """Return whether a fact only holds for longer, and is known for a while anyway."""
    return (
        known is not None
        and known.value == merged.value
        and known.expires_at - now > RENEWAL_MARGIN_S
    )


def merge_all(
    table: sharedfacts.FactTable, message: fleetmessages.SharedFacts, now: float
) -> list[sharedfacts.Fact]:
    """Merge the facts of a message and return those that changed the table."""
    merged = [
        table.merge(sharedfacts.from_wire(fields, now), now) for fields in message.facts
    ]
    return [fact for fact in merged if fact is not None]


def to_messages(facts, now: float) -> list[fleetmessages.SharedFacts]:
    """Return the messages with these facts, at least one."""
    return [
        fleetmessages.SharedFacts(
            [fact.to_wire(now) for fact in facts[start : start + MAX_FACTS_PER_MESSAGE]]
        )
        for start in range(0, max(1, len(facts)), MAX_FACTS_PER_MESSAGE)
    ]
