"""Prompt parts that crash each server that begins an answer on them.

When a server crashes, all its calls break off, and those without an event so far are
suspects. Their parts are compared over all crashes that the hosts have seen: a part is
crashing if it was there at several crashes and in no answer. Parts that always came
together are blamed together, until an answer clears one of them.

Calls with such parts are rejected for a time. After it one host sends a single call as
a trial, which ends the blame or prolongs it.
"""

import collections
import hashlib

from kumquatproxy import logs
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import calls, sharedfacts

SERVER_CRASH = "server-crash"
SOUND_PART = "sound-part"
CRASHING_PARTS = "crashing-parts"

# Weights of a suspect whose response had begun, and of one that may have been queued,
# and the sum over distinct servers at which a part is blamed.
BEGUN_WEIGHT = 3
QUEUED_WEIGHT = 2
BLAME_SCORE = 6
# A part that was in an answer up to this long before a crash is not suspected of it.
SOUND_KEPT_S = 30.0
# An event shows that the parts are sound if the server is up this long afterwards.
SOUND_AFTER_S = 0.3
# Time for which a crash without a refused connection can be confirmed by a heartbeat of
# the server's next lifetime.
PENDING_KEPT_S = 15.0
# Duration of the first rejection. Each crash by a trial call makes it longer.
FIRST_HOLD_S = 60.0
HOLD_FACTOR = 4
MAX_HOLD_S = 3600.0
TRIAL_S = 30.0
# Calls of one trial that may reach a server, as one that is refused decides nothing.
MAX_TRIAL_CALLS = 2
MAX_BLAMES_PER_CRASH = 10
MAX_PENDING_SERVERS = 100
MAX_SUSPECTS_PER_CRASH = 8
MAX_PARTS_PER_SUSPECT = 8
MAX_KNOWN_PARTS = 20_000
MAX_PART_LENGTH = 40


@sharedfacts.FACT_KINDS.register(SERVER_CRASH)
class ServerCrashes(sharedfacts.FactKind):
    """Facts about the crash of one lifetime of a server, ``ID/BORN_MS``.

    The value is a list of [host, whether the response had begun, parts that are not
    known as sound] of the suspects.
    """

    max_count = 32
    max_kept_s = 300.0

    def merge(self, known, new):
        """Return the fact with the suspects of both, as far as they fit."""
        added = [suspect for suspect in new.value if suspect not in known.value]
        suspects = _most_suspect([*known.value, *added])
        if suspects == known.value:
            return known
        return sharedfacts.Fact(
            known.kind,
            known.key,
            suspects,
            max(known.observed_at, new.observed_at),
            max(known.expires_at, new.expires_at),
        )


@sharedfacts.FACT_KINDS.register(SOUND_PART)
class SoundParts(sharedfacts.FactKind):
    """Facts about a suspected part that was in an answer; the value is empty."""

    max_count = 200
    max_kept_s = 300.0


@sharedfacts.FACT_KINDS.register(CRASHING_PARTS)
class CrashingParts(sharedfacts.FactKind):
    """Facts about parts that are blamed together.

    The value is [number of rejections so far, host that sends the trial, parts].
    """

    max_count = 32
    max_kept_s = MAX_HOLD_S + TRIAL_S

    def merge(self, known, new):
        """Return the later rejection; all hosts agree on the host of the trial."""
        if new.value[0] != known.value[0]:
            return max(known, new, key=lambda fact: fact.value[0])
        return min(known, new, key=lambda fact: fact.value[1])


def _most_suspect(suspects):
    """Return the suspects that a fact has room for, in an order without ties."""
    ordered = sorted(suspects, key=lambda suspect: (not suspect[1], suspect))
    return ordered[:MAX_SUSPECTS_PER_CRASH]


def hold_s(rejection_count: int) -> float:
    """Return how long calls with blamed parts are rejected before the next trial."""
    factor = HOLD_FACTOR ** min(10, rejection_count - 1)
    return min(MAX_HOLD_S, FIRST_HOLD_S * factor)


def shared_parts(call: calls.Call) -> list[str]:
    """Return the keys of the parts that other calls of the service may have too.

    The last part belongs to the call or its session.
    """
    if call.need is None:
        return []
    return [_part_key(call.service, part.part_id) for part in call.need.parts[:-1]]


def _part_key(service, part_id):
    # Callers choose the ids.
    if len(part_id) > MAX_PART_LENGTH:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()
    return f"{service} {part_id}"


class PendingCrash:
    """Hold the suspects at a server that may have crashed."""

    __slots__ = ("address", "born_ms", "broken_at", "instance_id", "suspects")

    def __init__(self, announcement, now):
        self.instance_id: str = announcement.instance_id
        self.born_ms: int = announcement.born_ms
        self.address: str = announcement.address
        self.suspects: list[list] = []
        self.broken_at: float = now

    def is_ended_by(self, announcement) -> bool:
        """Return whether an announcement is of a later lifetime of this server."""
        is_same = (
            announcement.instance_id == self.instance_id
            or announcement.address == self.address
        )
        return is_same and announcement.born_ms > self.born_ms


class Crash:
    """Hold what all hosts have seen of the crash of one server."""

    __slots__ = ("explaining_parts", "suspects")

    def __init__(self):
        # Parts that are blamed already, if a suspect has all parts of a blame.
        self.explaining_parts: set[str] = set()
        # (host, whether the response had begun, parts) without cleared parts.
        self.suspects: list[tuple] = []

    def weights_by_part(self) -> dict[str, int]:
        """Return how much the crash speaks against each part.

        An explained crash speaks against the blamed parts only.
        """
        weights: dict[str, int] = {}
        for _, has_begun, parts in self.suspects:
            weight = BEGUN_WEIGHT if has_begun else QUEUED_WEIGHT
            for part in parts:
                if not self.explaining_parts or part in self.explaining_parts:
                    weights[part] = max(weight, weights.get(part, 0))
        return weights


class Trial:
    """Hold the call that is sent as a trial, and the number of such calls so far."""

    __slots__ = ("call", "count")

    def __init__(self):
        self.call: calls.Call | None = None
        self.count = 0

    def admits(self, call: calls.Call) -> bool:
        """Return whether a call is the trial; it becomes that if there is none."""
        if self.call is None and self.count < MAX_TRIAL_CALLS:
            self.call = call
            self.count += 1
        return self.call is call


class CrashTracker:
    """Find the crashing parts at one entry host, from its own calls and shared facts.

    ``publish(fact, now)`` adds a fact to the table and sends it to the other hosts.
    """

    def __init__(self, host_id: str, table: sharedfacts.FactTable, publish):
        self._host_id = host_id
        self._table = table
        self._publish = publish
        self._log = logs.Log("crash")
        self._sound_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._pending_by_lifetime: dict[tuple, PendingCrash] = {}
        # Parts of suspects and blamed parts; a sound one is published.
        self._watched_parts: set[str] = set()
        # By the key of a blame and the number of its rejections.
        self._trials_by_key: dict[tuple, Trial] = {}

    # Observations of this host

    def record_answer(self, call: calls.Call, now: float) -> None:
        """Record that a server has begun an answer to a call and has not crashed."""
        for part in shared_parts(call):
            self._sound_at_by_part[part] = now
            self._sound_at_by_part.move_to_end(part)
            if part in self._watched_parts:
                self._publish_sound(part, now, now)
        while len(self._sound_at_by_part) > MAX_KNOWN_PARTS:
            self._sound_at_by_part.popitem(last=False)

    def record_break(
        self, call: calls.Call, announcement, has_begun: bool, now: float
    ) -> bool:
        """Record that a server broke off a call without an event.

        Return whether the call may have crashed the server. A leaving server ends as
        planned.
        """
        if announcement.state is not servers.ServerState.READY:
            return False
        parts = [part for part in shared_parts(call) if not self._is_sound(part, now)][
            :MAX_PARTS_PER_SUSPECT
        ]
        if not parts:
            return False
        self._expire_pending(now)
        lifetime = announcement.lifetime
        pending = self._pending_by_lifetime.get(lifetime)
        if pending is None:
            pending = PendingCrash(announcement, now)
            self._pending_by_lifetime[lifetime] = pending
        suspect = [self._host_id, has_begun, parts]
        if suspect not in pending.suspects:
            pending.suspects = _most_suspect([*pending.suspects, suspect])
        return True

    def confirm_crash(self, lifetime: tuple, now: float) -> None:
        """Publish the suspects at a server that has crashed."""
        pending = self._pending_by_lifetime.pop(lifetime, None)
        if pending is None:
            return
        instance_id, born_ms = lifetime
        fact = sharedfacts.Fact(
            SERVER_CRASH,
            f"{instance_id}/{born_ms}",
            pending.suspects,
            now,
            now + ServerCrashes.max_kept_s,
        )
        self._log.write(
            now,
            f"server {instance_id} crashed before it had answered some calls",
            born_ms=born_ms,
            suspects=fact.value,
        )
        self._publish(fact, now)
        self._renew_blames(fact, now)
        self.handle_facts([fact], now)

    def confirm_ended(self, announcement, now: float) -> None:
        """Confirm the crash of earlier lifetimes of a server that announces itself."""
        for lifetime, pending in list(self._pending_by_lifetime.items()):
            if pending.is_ended_by(announcement):
                self.confirm_crash(lifetime, now)

    def _expire_pending(self, now):
        for lifetime, pending in list(self._pending_by_lifetime.items()):
            is_surplus = len(self._pending_by_lifetime) >= MAX_PENDING_SERVERS
            if is_surplus or now - pending.broken_at > PENDING_KEPT_S:
                del self._pending_by_lifetime[lifetime]

    # Decisions

    def find_blame(self, call: calls.Call, now: float) -> sharedfacts.Fact | None:
        """Return the fact for which a call must be rejected, or None.

        After the hold, the host of the trial lets one call pass at a time.
        """
        facts = self._table.of_kind(CRASHING_PARTS, now)
        if not facts:
            return None
        parts = set(shared_parts(call))
        for fact in facts:
            blamed_parts = self._blamed_parts(fact, now)
            if not blamed_parts or not blamed_parts <= parts:
                continue
            if not self._is_on_trial(fact, now) or not self._trial(fact).admits(call):
                return fact
        return None

    def _is_on_trial(self, fact, now):
        """Return whether this host may send a call with blamed parts as a trial."""
        count, trial_host_id, _ = fact.value
        return trial_host_id == self._host_id and now >= fact.observed_at + hold_s(
            count
        )

    def _trial(self, fact):
        return self._trials_by_key.setdefault((fact.key, fact.value[0]), Trial())

    def end_call(self, call: calls.Call, now: float) -> None:
        """Let another call be sent as a trial if this one was."""
        if not self._trials_by_key:
            return
        counts_by_key = {
            fact.key: fact.value[0] for fact in self._table.of_kind(CRASHING_PARTS, now)
        }
        for key, trial in list(self._trials_by_key.items()):
            if trial.call is call:
                trial.call = None
            if counts_by_key.get(key[0]) != key[1]:
                del self._trials_by_key[key]

    def retry_after_s(self, fact: sharedfacts.Fact, now: float) -> float:
        """Return the time until the next trial of blamed parts."""
        return max(1.0, fact.observed_at + hold_s(fact.value[0]) - now)

    def blamed_count(self, now: float) -> int:
        """Return the number of sets of parts whose calls are rejected."""
        facts = self._table.of_kind(CRASHING_PARTS, now)
        return sum(bool(self._blamed_parts(fact, now)) for fact in facts)

    def handle_facts(self, facts: list[sharedfacts.Fact], now: float) -> None:
        """Take new or changed facts into account."""
        crashes = [fact for fact in facts if fact.kind == SERVER_CRASH]
        suspected_parts = {
            (part, crash.observed_at)
            for crash in crashes
            for _, _, parts in crash.value
            for part in parts
        }
        for part, crashed_at in suspected_parts:
            sound_at = self._sound_at_by_part.get(part)
            if sound_at is not None and _clears(sound_at, crashed_at):
                self._publish_sound(part, sound_at, now)
        self._watch(now)
        if crashes:
            self._blame(now)

    def _renew_blames(self, crash, now):
        """Reject calls for longer if a trial has ended with a crash."""
        for fact in self._table.of_kind(CRASHING_PARTS, now):
            count, _, parts = fact.value
            blamed_parts = self._blamed_parts(fact, now)
            is_later = crash.observed_at >= fact.observed_at + hold_s(count)
            if is_later and any(
                blamed_parts and blamed_parts <= set(suspect_parts)
                for _, _, suspect_parts in crash.value
            ):
                self._publish(
                    self._new_blame(parts, self._host_id, now, count + 1), now
                )

    def _watch(self, now):
        facts = self._table.of_kind(SERVER_CRASH, now)
        self._watched_parts = {
            part for fact in facts for _, _, parts in fact.value for part in parts
        }
        for fact in self._table.of_kind(CRASHING_PARTS, now):
            self._watched_parts.update(fact.value[2])

    def _publish_sound(self, part, sound_at, now):
        fact = sharedfacts.Fact(
            SOUND_PART, part, [], sound_at, sound_at + SoundParts.max_kept_s
        )
        self._publish(fact, now)

    def _sound_at(self, part, now):
        fact = self._table.get(SOUND_PART, part, now)
        known_at = self._sound_at_by_part.get(part, float("-inf"))
        return known_at if fact is None else max(known_at, fact.observed_at)

    def _is_sound(self, part, now):
        return _clears(self._sound_at(part, now), now)

    def _blamed_parts(self, fact, now):
        """Return the parts of a blame without those that an answer has cleared."""
        return {
            part
            for part in fact.value[2]
            if self._sound_at(part, now) <= fact.observed_at
        }

    def _blame(self, now):
        """Blame the parts that the crashes so far show to be crashing."""
        for _ in range(MAX_BLAMES_PER_CRASH):
            crashes = self._crashes(now)
            worst = _worst_part(crashes)
            if worst is None:
                return
            suspects = [
                (host_id, set(parts))
                for crash in crashes
                for host_id, _, parts in crash.suspects
                if worst in parts
            ]
            parts = sorted(set.intersection(*(parts for _, parts in suspects)))
            # All hosts with the same facts agree on the host of the trial.
            host_ids = {host_id for host_id, _ in suspects}
            blame = self._new_blame(parts, min(host_ids), now)
            if self._host_id in host_ids:
                self._publish(blame, now)
            else:
                self._table.merge(blame, now)

    def _crashes(self, now):
        blames = [
            blamed_parts
            for fact in self._table.of_kind(CRASHING_PARTS, now)
            if (blamed_parts := self._blamed_parts(fact, now))
        ]
        crashes = []
        for fact in self._table.of_kind(SERVER_CRASH, now):
            crash = Crash()
            for host_id, has_begun, parts in fact.value:
                for blamed_parts in blames:
                    if blamed_parts.issubset(parts):
                        crash.explaining_parts |= blamed_parts
                left = [
                    part
                    for part in parts
                    if not _clears(self._sound_at(part, now), fact.observed_at)
                ]
                crash.suspects.append((host_id, has_begun, left))
            crashes.append(crash)
        return crashes

    def _new_blame(self, parts, trial_host_id, now, rejection_count=1):
        key = hashlib.blake2b(" ".join(parts).encode(), digest_size=16).hexdigest()
        held_s = hold_s(rejection_count)
        self._log.write(
            now,
            f"calls are rejected for {held_s:.0f} s if they have the prompt parts "
            f"{', '.join(parts)}, which crash servers",
            rejections=rejection_count,
            trial_host=trial_host_id,
        )
        return sharedfacts.Fact(
            CRASHING_PARTS,
            key,
            [rejection_count, trial_host_id, parts],
            now,
            now + held_s + TRIAL_S,
        )


def _worst_part(crashes):
    """Return the part that is most likely crashing, None if none is to be blamed.

    It explains a crash that no blamed parts explain so far.
    """
    scores: collections.Counter[str] = collections.Counter()
    unexplained_parts: set[str] = set()
    for crash in crashes:
        weights = crash.weights_by_part()
        scores.update(weights)
        if not crash.explaining_parts:
            unexplained_parts.update(weights)
    if not unexplained_parts:
        return None
    worst = max(sorted(unexplained_parts), key=lambda part: scores[part])
    return worst if scores[worst] >= BLAME_SCORE else None


def _clears(sound_at, crashed_at):
    """Return whether an answer shows that a part did not cause a crash."""
    return sound_at > crashed_at - SOUND_KEPT_S
