"""Blame of what calls at crashed servers have in common.

When a server crashes, all its calls break off. A judge compares some features of these
calls over all crashes that the hosts have seen: a feature is blamed if it was there at
several crashes and in no answer. Features that always came together are blamed
together, until an answer clears one of them.

Calls with blamed features are rejected for a time. After it one host sends a single
call as a trial, which ends the blame or prolongs it.
"""

import collections
import hashlib

from kumquatproxy import logs
from kumquatproxy.gateway import calls, sharedfacts

# Sum of the weights over distinct servers at which a feature is blamed.
BLAME_SCORE = 6
# A feature that was in an answer up to this long before a crash is not suspected of it.
SOUND_KEPT_S = 30.0
# Duration of the first rejection. Each crash by a trial call makes it longer.
FIRST_HOLD_S = 60.0
HOLD_FACTOR = 4
MAX_HOLD_S = 3600.0
TRIAL_S = 30.0
# Calls of one trial that may reach a server, as one that is refused decides nothing.
MAX_TRIAL_CALLS = 2
MAX_BLAMES_PER_CRASH = 10
MAX_KNOWN_FEATURES = 20_000


class CrashFacts(sharedfacts.FactKind):
    """Facts about the crash of one lifetime of a server, ``ID/BORN_MS``.

    The value is a list of [host, grade, features that are not known as sound] of the
    suspects. The grade says how strongly the crash speaks against a suspect.
    """

    max_count = 32
    max_kept_s = 300.0
    max_suspects = 8
    is_durable = True

    def merge(self, known, new):
        """Return the fact with the suspects of both, as far as they fit."""
        added = [suspect for suspect in new.value if suspect not in known.value]
        suspects = self.most_suspect([*known.value, *added])
        if suspects == known.value:
            return known
        return sharedfacts.Fact(
            known.kind,
            known.key,
            suspects,
            max(known.observed_at, new.observed_at),
            max(known.expires_at, new.expires_at),
        )

    def most_suspect(self, suspects):
        """Return the suspects that a fact has room for, in an order without ties."""
        ordered = sorted(suspects, key=lambda suspect: (-suspect[1], suspect))
        return ordered[: self.max_suspects]


class SoundFacts(sharedfacts.FactKind):
    """Facts about a suspected feature that was in an answer; the value is empty."""

    max_count = 200
    max_kept_s = 300.0
    is_durable = True


class BlameFacts(sharedfacts.FactKind):
    """Facts about features that are blamed together.

    The value is [number of rejections so far, host that sends the trial, features].
    """

    max_count = 32
    max_kept_s = MAX_HOLD_S + TRIAL_S
    is_durable = True

    def merge(self, known, new):
        """Return the later rejection; all hosts agree on the host of the trial."""
        if new.value[0] != known.value[0]:
            return max(known, new, key=lambda fact: fact.value[0])
        return min(known, new, key=lambda fact: fact.value[1])


def hold_s(rejection_count: int) -> float:
    """Return how long calls with blamed features are rejected before the next trial."""
    factor = HOLD_FACTOR ** min(10, rejection_count - 1)
    return min(MAX_HOLD_S, FIRST_HOLD_S * factor)


def clears(sound_at: float, crashed_at: float) -> bool:
    """Return whether an answer shows that a feature did not cause a crash."""
    return sound_at > crashed_at - SOUND_KEPT_S


class Crash:
    """Hold what all hosts have seen of the crash of one server."""

    __slots__ = ("explaining_features", "suspects")

    def __init__(self):
        # Features that are blamed already, if a suspect has all features of a blame.
        self.explaining_features: set[str] = set()
        # (host, weight, features) without cleared features.
        self.suspects: list[tuple] = []

    def weights_by_feature(self) -> dict[str, int]:
        """Return how much the crash speaks against each feature.

        An explained crash speaks against the blamed features only.
        """
        weights: dict[str, int] = {}
        for _, weight, features in self.suspects:
            for feature in features:
                if not self.explaining_features or feature in self.explaining_features:
                    weights[feature] = max(weight, weights.get(feature, 0))
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


class Judge:
    """Find the features that crash servers, at one entry host.

    ``publish(fact, now)`` adds a fact to the table and sends it to the other hosts.
    Subclasses name their kinds of facts and define the features of a call.
    """

    crash_kind = ""
    sound_kind = ""
    blame_kind = ""
    weight_by_grade: dict[int, int] = {}
    # Whether features that cannot be told apart are all blamed, or only one of them.
    blames_ties = False

    def __init__(self, host_id: str, table: sharedfacts.FactTable, publish):
        self._host_id = host_id
        self._table = table
        self._publish = publish
        self._log = logs.Log("crash")
        self._crash_facts: CrashFacts = sharedfacts.FACT_KINDS.get(self.crash_kind)()
        self._sound_at_by_feature: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Features of suspects and blamed features; a sound one is published.
        self._watched_features: set[str] = set()
        # By the key of a blame and the number of its rejections.
        self._trials_by_key: dict[tuple, Trial] = {}

    def features(self, call: calls.Call) -> list[str]:
        """Return the features of a call that other calls may have too."""
        raise NotImplementedError

    def description(self, features) -> str:
        """Return the text that tells an operator what is blamed."""
        raise NotImplementedError

    # Observations of this host

    def record_answer(self, call: calls.Call, now: float) -> None:
        """Record that the features of a call are sound."""
        for feature in self.features(call):
            self._sound_at_by_feature[feature] = now
            self._sound_at_by_feature.move_to_end(feature)
            if feature in self._watched_features:
                self._publish_sound(feature, now, now)
        while len(self._sound_at_by_feature) > MAX_KNOWN_FEATURES:
            self._sound_at_by_feature.popitem(last=False)

    def suspected_features(self, call: calls.Call, now: float) -> list[str]:
        """Return the features of a call that are not known as sound."""
        return [
            feature
            for feature in self.features(call)
            if not clears(self._sound_at(feature, now), now)
        ]

    def has_room(self, suspects: list) -> bool:
        """Return whether no suspect of a crash has to yield to one more."""
        return len(suspects) < self._crash_facts.max_suspects

    def add_suspect(self, suspects: list, grade: int, features: list[str]) -> list:
        """Return the suspects of a crash with one more, as far as they fit."""
        suspect = [self._host_id, grade, features]
        if suspect in suspects:
            return suspects
        return self._crash_facts.most_suspect([*suspects, suspect])

    def publish_crash(self, key: str, suspects: list, now: float) -> sharedfacts.Fact:
        """Publish the suspects at a server that has crashed; return the fact."""
        ends_at = now + self._crash_facts.max_kept_s
        fact = sharedfacts.Fact(self.crash_kind, key, suspects, now, ends_at)
        self._publish(fact, now)
        self._renew_blames(fact, now)
        return fact

    def crash_seen_at(self, key: str, now: float) -> float:
        """Return when a crash was seen last, infinity if it was not."""
        fact = self._table.get(self.crash_kind, key, now)
        return float("inf") if fact is None else fact.observed_at

    # Decisions

    def find_blame(self, call: calls.Call, now: float) -> sharedfacts.Fact | None:
        """Return the fact for which a call must be rejected, or None.

        After the hold, the host of the trial lets one call pass at a time.
        """
        facts = self._table.of_kind(self.blame_kind, now)
        if not facts:
            return None
        features = set(self.features(call))
        for fact in facts:
            if features.isdisjoint(fact.value[2]):
                continue
            blamed = self._blamed_features(fact, now)
            if not blamed or not blamed <= features:
                continue
            if not self._is_on_trial(fact, now) or not self._trial(fact).admits(call):
                return fact
        return None

    def _is_on_trial(self, fact, now):
        """Return whether this host may send a call with blamed features as a trial."""
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
            fact.key: fact.value[0]
            for fact in self._table.of_kind(self.blame_kind, now)
        }
        for key, trial in list(self._trials_by_key.items()):
            if trial.call is call:
                trial.call = None
            if counts_by_key.get(key[0]) != key[1]:
                del self._trials_by_key[key]

    def blamed_count(self, now: float) -> int:
        """Return the number of blames for which calls are rejected."""
        facts = self._table.of_kind(self.blame_kind, now)
        return sum(bool(self._blamed_features(fact, now)) for fact in facts)

    def explained_crashes(self, now: float) -> set[str]:
        """Return the keys of crashes at which a call had all features of a blame."""
        blames = self._blames(now)
        return {
            fact.key
            for fact in self._table.of_kind(self.crash_kind, now)
            if any(
                blamed.issubset(features)
                for _, _, features in fact.value
                for blamed in blames
            )
        }

    def watch(self, facts: list[sharedfacts.Fact], now: float) -> None:
        """Publish which suspects of new crashes are sound, and watch the others."""
        suspected = {
            (feature, fact.observed_at)
            for fact in facts
            if fact.kind == self.crash_kind
            for _, _, features in fact.value
            for feature in features
        }
        for feature, crashed_at in suspected:
            sound_at = self._sound_at_by_feature.get(feature)
            if sound_at is not None and clears(sound_at, crashed_at):
                self._publish_sound(feature, sound_at, now)
        self._watched_features = {
            feature
            for fact in self._table.of_kind(self.crash_kind, now)
            for _, _, features in fact.value
            for feature in features
        }
        for fact in self._table.of_kind(self.blame_kind, now):
            self._watched_features.update(fact.value[2])

    def _publish_sound(self, feature, sound_at, now):
        ends_at = sound_at + SoundFacts.max_kept_s
        fact = sharedfacts.Fact(self.sound_kind, feature, [], sound_at, ends_at)
        self._publish(fact, now)

    def _sound_at(self, feature, now):
        fact = self._table.get(self.sound_kind, feature, now)
        known_at = self._sound_at_by_feature.get(feature, float("-inf"))
        return known_at if fact is None else max(known_at, fact.observed_at)

    def _blamed_features(self, fact, now):
        """Return the features of a blame without those that an answer has cleared."""
        return {
            feature
            for feature in fact.value[2]
            if self._sound_at(feature, now) <= fact.observed_at
        }

    def _blames(self, now):
        """Return the sets of features that are blamed together."""
        return [
            blamed
            for fact in self._table.of_kind(self.blame_kind, now)
            if (blamed := self._blamed_features(fact, now))
        ]

    def _renew_blames(self, crash, now):
        """Reject calls for longer if a trial has ended with a crash."""
        for fact in self._table.of_kind(self.blame_kind, now):
            count, _, features = fact.value
            blamed = self._blamed_features(fact, now)
            is_later = crash.observed_at >= fact.observed_at + hold_s(count)
            if is_later and any(
                blamed and blamed.issubset(suspected) for _, _, suspected in crash.value
            ):
                blame = self._new_blame(features, self._host_id, now, count + 1)
                self._publish(blame, now)

    def blame(self, explained_keys: set[str], now: float) -> None:
        """Blame the features that the crashes so far show to crash servers.

        Crashes with ``explained_keys`` have another cause.
        """
        for _ in range(MAX_BLAMES_PER_CRASH):
            crashes = self._crashes(explained_keys, now)
            worst = _worst_features(crashes)
            if not worst:
                return
            for feature in worst if self.blames_ties else worst[:1]:
                self._blame_feature(feature, crashes, now)

    def _blame_feature(self, feature, crashes, now):
        suspects = [
            (host_id, set(features))
            for crash in crashes
            for host_id, _, features in crash.suspects
            if feature in features
        ]
        features = sorted(set.intersection(*(features for _, features in suspects)))
        # All hosts with the same facts agree on the host of the trial.
        host_ids = {host_id for host_id, _ in suspects}
        blame = self._new_blame(features, min(host_ids), now)
        if self._host_id in host_ids:
            self._publish(blame, now)
        else:
            self._table.merge(blame, now)

    def _crashes(self, explained_keys, now):
        blames = self._blames(now)
        crashes = []
        for fact in self._table.of_kind(self.crash_kind, now):
            if fact.key in explained_keys:
                continue
            crash = Crash()
            for host_id, grade, features in fact.value:
                for blamed in blames:
                    if blamed.issubset(features):
                        crash.explaining_features |= blamed
                left = [
                    feature
                    for feature in features
                    if not clears(self._sound_at(feature, now), fact.observed_at)
                ]
                crash.suspects.append((host_id, self.weight_by_grade[grade], left))
            crashes.append(crash)
        return crashes

    def _new_blame(self, features, trial_host_id, now, rejection_count=1):
        key = hashlib.blake2b(" ".join(features).encode(), digest_size=16).hexdigest()
        held_s = hold_s(rejection_count)
        self._log.write(
            now,
            f"calls are rejected for {held_s:.0f} s if they "
            f"{self.description(features)}, which crash servers",
            rejections=rejection_count,
            trial_host=trial_host_id,
        )
        return sharedfacts.Fact(
            self.blame_kind,
            key,
            [rejection_count, trial_host_id, features],
            now,
            now + held_s + TRIAL_S,
        )


def _worst_features(crashes):
    """Return the features that are most likely to blame, those in a tie in order.

    Each explains a crash that no blamed features explain so far.
    """
    scores: collections.Counter[str] = collections.Counter()
    unexplained_features: set[str] = set()
    for crash in crashes:
        weights = crash.weights_by_feature()
        scores.update(weights)
        if not crash.explaining_features:
            unexplained_features.update(weights)
    highest = max((scores[feature] for feature in unexplained_features), default=0)
    if highest < BLAME_SCORE:
        return []
    return sorted(
        feature for feature in unexplained_features if scores[feature] == highest
    )
