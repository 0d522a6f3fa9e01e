"""Short-lived facts about servers and prompts that hosts tell each other.

A host that observes a fact sends it to the control hosts, which pass it on. Each fact
has an age, which travels with it, and an end, after which all hosts forget it. Facts of
one kind and key are merged, so that their order of arrival does not matter.
"""

from kumquatproxy import records, registry

FACT_KINDS = registry.Registry("kind of fact")
MAX_KEY_LENGTH = 200


class Fact(records.Record):
    """Hold one fact; ``value`` consists of CBOR values."""

    __slots__ = ("expires_at", "key", "kind", "observed_at", "value")

    def __init__(self, kind, key, value, observed_at, expires_at):
        self.kind: str = kind  # alias in FACT_KINDS
        self.key: str = key  # what the fact is about
        self.value: list = value
        self.observed_at: float = observed_at  # on the clock of this host
        self.expires_at: float = expires_at

    def to_wire(self, now: float) -> list:
        """Return the list form used in messages, with the age and the time left."""
        age_s = max(0.0, now - self.observed_at)
        return [self.kind, self.key, self.value, age_s, self.expires_at - now]


def from_wire(fields: list, now: float) -> Fact:
    """Return the fact for a list made by ``Fact.to_wire``."""
    kind, key, value, age_s, left_s = fields
    return Fact(kind, key, value, now - age_s, now + left_s)


class FactKind:
    """Define the bounds of one kind of facts, and how two facts merge."""

    max_count = 100
    max_kept_s = 60.0
    # Copies of one fact differ by the time that they travelled.
    max_travel_s = 0.5
    # The host that observes it repeats it with a new time while it holds.
    is_renewed = False
    # Whether control hosts keep it on their disks.
    is_durable = False

    def merge(self, known: Fact, new: Fact) -> Fact:
        """Return ``known`` if the other one adds nothing, else the merged fact."""
        is_newer = new.observed_at > known.observed_at + self.max_travel_s
        return new if is_newer else known


class FactTable:
    """Keep the facts that are in force, a bounded number of each kind.

    Facts of unknown kinds, as of a newer build, are ignored.
    """

    __slots__ = ("_facts_by_key_by_kind", "_kinds_by_alias")

    def __init__(self):
        self._kinds_by_alias: dict[str, FactKind] = {
            alias: FACT_KINDS.get(alias)() for alias in FACT_KINDS.aliases()
        }
        self._facts_by_key_by_kind: dict[str, dict[str, Fact]] = {
            alias: {} for alias in self._kinds_by_alias
        }

    def __len__(self):
        return sum(len(facts) for facts in self._facts_by_key_by_kind.values())

    def merge(self, fact: Fact, now: float) -> Fact | None:
        """Add or update a fact; return it as it is now, or None if nothing changed."""
        kind = self._kinds_by_alias.get(fact.kind)
        if kind is None or not 0 < len(fact.key) <= MAX_KEY_LENGTH:
            return None
        fact.expires_at = min(fact.expires_at, now + kind.max_kept_s)
        if now >= fact.expires_at:
            return None
        facts = self._facts_by_key_by_kind[fact.kind]
        known = self.get(fact.kind, fact.key, now)
        if known is not None:
            fact = kind.merge(known, fact)
            if fact is known:
                return None
        facts.pop(fact.key, None)
        facts[fact.key] = fact
        if len(facts) > kind.max_count:
            self._expire_kind(facts, now)
        while len(facts) > kind.max_count:
            oldest = min(facts.values(), key=lambda other: other.observed_at)
            del facts[oldest.key]
        return fact if fact.key in facts else None

    def knows_kind(self, kind: str) -> bool:
        """Return whether this build knows a kind of facts."""
        return kind in self._kinds_by_alias

    def is_renewed(self, kind: str) -> bool:
        """Return whether the hosts that observe facts of a known kind renew them."""
        return self._kinds_by_alias[kind].is_renewed

    def is_durable(self, kind: str) -> bool:
        """Return whether control hosts keep facts of a kind on their disks."""
        return self.knows_kind(kind) and self._kinds_by_alias[kind].is_durable

    def has_kind(self, kind: str) -> bool:
        """Return whether there may be facts of a kind in force."""
        return bool(self._facts_by_key_by_kind[kind])

    def get(self, kind: str, key: str, now: float) -> Fact | None:
        """Return a fact that is in force, or None."""
        fact = self._facts_by_key_by_kind[kind].get(key)
        return fact if fact is not None and now < fact.expires_at else None

    def of_kind(self, kind: str, now: float) -> list[Fact]:
        """Return the facts of a kind that are in force."""
        facts = self._facts_by_key_by_kind[kind].values()
        return [fact for fact in facts if now < fact.expires_at]

    def all(self, now: float) -> list[Fact]:
        """Return all facts that are in force."""
        return [
            fact for kind in self._kinds_by_alias for fact in self.of_kind(kind, now)
        ]

    def expire(self, now: float) -> None:
        """Remove the facts that have ended."""
        for facts in self._facts_by_key_by_kind.values():
            self._expire_kind(facts, now)

    def _expire_kind(self, facts, now):
        for key in [key for key, fact in facts.items() if now >= fact.expires_at]:
            del facts[key]
