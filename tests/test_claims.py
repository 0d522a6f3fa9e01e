"""Tests of the claim table.

They guard against a second execution of a request with one key after a lost answer, a
lost host or an expired result, against unbounded memory, and against a log time that
decreases when a leader with a lower clock takes over.
"""

import itertools

import hypothesis
import pytest
from hypothesis import stateful, strategies

from kumquatproxy import errors
from kumquatproxy.configuration import claimrecords, claims, fingerprints

ErrorKind = errors.ErrorKind
Outcome = claimrecords.Outcome
SCOPE = {"organisation": "o", "service": "s"}
LIMITS = claims.Limits(
    keys=12,
    max_result_bytes=100,
    total_result_bytes=500,
    result_retention_s=100.0,
    fingerprint_retention_s=1000.0,
    fingerprint_span_s=50.0,
)


def begin(at, key="k", host="h1", incarnation=1, attempt=1, digest=b"d" * 16):
    return claimrecords.BeginClaim(
        at=at,
        attempt=attempt,
        host=host,
        incarnation=incarnation,
        key=key,
        request_digest=digest,
        **SCOPE,
    )


def finish(at, key="k", host="h1", incarnation=1, attempt=1, outcome=1, body=b"r"):
    return claimrecords.FinishClaim(
        at=at,
        attempt=attempt,
        body=body,
        headers=[["content-type", "text/plain"]],
        host=host,
        incarnation=incarnation,
        key=key,
        outcome=outcome,
        status=200,
        **SCOPE,
    )


def query(at, key="k", digest=b"d" * 16):
    return claimrecords.QueryClaim(at=at, key=key, request_digest=digest, **SCOPE)


def kind_of(answer):
    return getattr(answer, "kind", answer.tag)


def test_claim_answers_from_grant_to_expiry():
    table = claims.ClaimTable(LIMITS)
    assert kind_of(table.apply(query(0.0))) == "claim-absent"
    assert kind_of(table.apply(begin(0.0))) == "claim-granted"
    assert kind_of(table.apply(begin(1.0))) == "claim-granted", "retried proposal"
    in_progress = table.apply(begin(1.0, host="h2"))
    assert (in_progress.kind, in_progress.executed) == ("key-in-progress", "unknown")
    for attempt in (1, 2):
        mismatch = table.apply(begin(1.0, digest=b"x" * 16, attempt=attempt))
        assert (mismatch.kind, mismatch.executed) == ("key-mismatch", "no")
    table.apply(finish(3.0))
    result = table.apply(begin(4.0, host="h2"))
    assert (result.status, result.body) == (200, b"r")
    assert kind_of(table.apply(query(200.0))) == "key-expired"
    assert kind_of(table.apply(query(2000.0))) == "claim-absent"


def test_claim_of_lost_owner_is_unknown_until_its_result_arrives():
    table = claims.ClaimTable(LIMITS)
    table.apply(begin(0.0))
    table.apply(claimrecords.OwnerLost(at=1.0, host="h1", incarnation=1))
    answer = table.apply(begin(2.0, host="h2"))
    assert (answer.kind, answer.executed) == ("result-unknown", "unknown")
    assert kind_of(table.apply(begin(2.0, key="new"))) == "stopping"
    assert kind_of(table.apply(begin(2.0, key="new", incarnation=2))) == "claim-granted"
    table.apply(finish(3.0))
    assert table.apply(query(3.0)).body == b"r"


def test_claims_of_earlier_incarnation_become_unknown():
    table = claims.ClaimTable(LIMITS)
    table.apply(begin(0.0))
    table.apply(begin(1.0, key="other", incarnation=2))
    assert kind_of(table.apply(query(1.0))) == "result-unknown"


def test_full_table_refuses_new_keys_and_keeps_old_ones():
    table = claims.ClaimTable(LIMITS)
    for index in range(12):
        answer = table.apply(begin(0.0, key=f"k{index}"))
        if kind_of(answer) == "claims-full":
            break
        table.apply(finish(0.0, key=f"k{index}", body=b"x" * 20))
    refused = table.apply(begin(0.0, key="one more"))
    assert (refused.kind, refused.executed) == ("claims-full", "no")
    assert kind_of(table.apply(query(0.0, key="k0"))) == "claim-result"
    # The result has expired, but the fingerprint of its key is still stored.
    table.apply(claimrecords.AdvanceClaims(at=300.0))
    assert table.stored_result_bytes == 0 and kind_of(
        table.apply(query(300.0, "k0"))
    ) == ("key-expired")


def test_oversized_result_is_not_stored_and_key_is_not_executed_again():
    table = claims.ClaimTable(LIMITS)
    table.apply(begin(0.0))
    table.apply(finish(0.0, body=b"x" * 200))
    assert kind_of(table.apply(begin(1.0, host="h2"))) == "key-expired"


def test_leader_clock_continues_from_last_log_time():
    """Guard against a new leader whose monotonic clock is lower or much higher."""
    for monotonic_now in (5.0, 9e9):
        clock = claims.LeaderClock(log_time=1000.0, now=monotonic_now)
        assert clock.stamp(monotonic_now + 2.0) == 1002.0
        assert clock.stamp(monotonic_now - 2.0) == 1000.0


def test_fingerprints_are_found_in_every_span_until_they_expire():
    kept = fingerprints.Fingerprints(retention_s=100.0, span_s=10.0)
    keys = [claimrecords.fingerprint("o", "s", str(index)) for index in range(3000)]
    for index, key in enumerate(keys):
        kept.add(key, index / 100)
    assert all(key in kept for key in keys) and len(kept) == 3000
    assert claimrecords.fingerprint("o", "s", "no") not in kept
    copy = fingerprints.Fingerprints(100.0, 10.0)
    copy.restore(kept.to_plain())
    assert copy.to_plain() == kept.to_plain() and keys[1234] in copy
    kept.advance(111.0)
    assert keys[0] not in kept and keys[-1] in kept


KEYS = strategies.sampled_from(["a", "b", "c"])
HOSTS = strategies.sampled_from(["h1", "h2"])
KINDS_NOT_EXECUTED = {"claims-full", "stopping", "key-mismatch"}


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Check at random that no key is dispatched twice while it is remembered.

    Two replicas of the table get the same random calls, losses and restarts. Every
    dispatch is recorded.
    """

    table_class: type[claims.ClaimTable] = claims.ClaimTable
    dispatches_on = {"claim-granted"}

    def __init__(self):
        super().__init__()
        self.tables = [self.table_class(LIMITS), self.table_class(LIMITS)]
        self.now = 0.0
        self.attempt = 0
        self.incarnations = {"h1": 1, "h2": 1}
        self.running = {}  # (host, incarnation, attempt) -> key
        self.executed_at = {}  # key -> times of dispatch
        self.results = {}  # key -> (time, body)

    def apply(self, command):
        answers = [table.apply(command) for table in self.tables]
        assert answers[0] == answers[1], "the replicas gave different answers"
        return answers[0]

    @stateful.rule(
        seconds=strategies.sampled_from([-500.0, 0.0, 1.0, 30.0, 99.0, 400.0])
    )
    def stamp_time(self, seconds):
        """Propose a time that may be earlier, as a new leader's clock may give."""
        self.apply(claimrecords.AdvanceClaims(at=self.now + seconds))
        self.now = max(self.now, self.now + seconds)

    @stateful.rule(key=KEYS, host=HOSTS, digest=strategies.sampled_from([b"d", b"e"]))
    def call_with_key(self, key, host, digest):
        self.attempt += 1
        incarnation = self.incarnations[host]
        command = begin(
            self.now, key, host, incarnation, self.attempt, digest=digest * 16
        )
        answer = self.apply(command)
        kind = kind_of(answer)
        if kind in self.dispatches_on:
            self.running[host, incarnation, self.attempt] = key
            self.executed_at.setdefault(key, []).append(self.now)
        elif kind == "claim-result":
            assert answer.body == self.results[key][1]
        elif kind in KINDS_NOT_EXECUTED:
            assert answer.executed == "no"
        else:
            assert answer.executed == "unknown"

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), outcome=strategies.sampled_from(Outcome))
    def end_call(self, data, outcome):
        attempt_id = data.draw(strategies.sampled_from(sorted(self.running)))
        key = self.running.pop(attempt_id)
        body = str(attempt_id).encode()
        if outcome is Outcome.NOT_EXECUTED:
            # The host found no backend server, so the request was not dispatched.
            self.executed_at[key].pop()
        self.apply(finish(self.now, key, *attempt_id, outcome=int(outcome), body=body))
        if outcome is Outcome.DONE:
            self.results[key] = (self.now, body)

    @stateful.rule(host=HOSTS, restarts=strategies.booleans())
    def lose_host(self, host, restarts):
        """Declare a host lost, rightly or not; its requests may still end."""
        incarnation = self.incarnations[host]
        command = claimrecords.OwnerLost(self.now, host, incarnation)
        self.apply(command)
        if restarts:
            self.incarnations[host] += 1

    @stateful.rule()
    def restore_replica(self):
        copy = self.table_class(LIMITS)
        copy.restore(self.tables[0].snapshot())
        assert copy.snapshot() == self.tables[0].snapshot()
        self.tables[1] = copy

    @stateful.rule(key=KEYS)
    def ask_about_key(self, key):
        answer = kind_of(self.apply(query(self.now, key)))
        times = self.executed_at.get(key)
        if times and self.now - times[-1] < LIMITS.fingerprint_retention_s:
            assert answer != "claim-absent", (
                "the key of an executed request is not claimed"
            )
        # The query uses digest d, so a request with digest e does not match. A result
        # for which there was no space is answered as expired.
        if key in self.results and self.now - self.results[key][0] < 1.0:
            assert answer in ("claim-result", "key-mismatch", "key-expired")

    @stateful.invariant()
    def no_key_is_executed_twice(self):
        for times in self.executed_at.values():
            for earlier, later in itertools.pairwise(times):
                assert later - earlier >= LIMITS.fingerprint_retention_s

    @stateful.invariant()
    def bounds_hold(self):
        for table in self.tables:
            assert table.time >= self.now, "log time decreased"
            assert table.stored_result_bytes <= LIMITS.total_result_bytes
            assert len(table) <= LIMITS.keys


class AcceptsEarlierTimes(claims.ClaimTable):
    """Use the time of the command without a lower bound."""

    def _next_time(self, at):
        return at


class DropsFingerprints(claims.ClaimTable):
    """Drop the fingerprint of a key as soon as its result expires."""

    def _expire(self):
        super()._expire()
        self.expired = fingerprints.Fingerprints(1.0, 1.0)


class EarlierTimesMachine(ClaimMachine):
    table_class = AcceptsEarlierTimes


class DroppedFingerprintsMachine(ClaimMachine):
    table_class = DropsFingerprints


class DispatchesUngrantedMachine(ClaimMachine):
    """Dispatch although another attempt has claimed the key."""

    dispatches_on = {"claim-granted", "key-in-progress"}


SETTINGS = hypothesis.settings(
    hypothesis.settings.get_profile("default"), max_examples=60, stateful_step_count=40
)


# Tests that the random runs detect a fault need only a failure, so it is not shrunk.
FIRST_FAILURE_ONLY = hypothesis.settings(
    SETTINGS, phases=[hypothesis.Phase.generate], report_multiple_bugs=False
)


def test_claim_table_keeps_its_guarantees_in_random_runs():
    stateful.run_state_machine_as_test(ClaimMachine, settings=SETTINGS)


@pytest.mark.fuzz
def test_claim_table_keeps_its_guarantees_in_long_random_runs():
    stateful.run_state_machine_as_test(ClaimMachine)


@pytest.mark.parametrize(
    "machine",
    [EarlierTimesMachine, DroppedFingerprintsMachine, DispatchesUngrantedMachine],
)
def test_random_runs_detect_a_disabled_safeguard(machine):
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=FIRST_FAILURE_ONLY)
