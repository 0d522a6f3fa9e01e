"""Schedules of keyed calls run without violation and detect disabled protections."""

import pytest

from kumquatproxy.configuration import claimcalls, claimrecords, claims
from kumquatproxy.laboratory import claimschedules

Phase = claimcalls.Phase


@pytest.mark.parametrize("seed", range(20))
def test_keyed_calls_are_executed_at_most_once_and_reported_correctly(seed):
    simulation = claimschedules.ClaimSimulation(seed)
    assert simulation.run() == []
    assert simulation.dispatch_count > 5


@pytest.mark.fuzz
@pytest.mark.parametrize("block", range(10))
def test_many_schedules_run_without_violation(block):
    for seed in range(block * 100, block * 100 + 100):
        assert claimschedules.ClaimSimulation(seed).run() == [], f"seed {seed}"


class DispatchesBeforeClaim(claimcalls.ClaimCall):
    """Dispatch a call before its claim is granted."""

    def tick(self, now):
        if self.phase is Phase.CLAIMING:
            self.phase = Phase.DISPATCHED
            return [*self._propose(now), claimcalls.Dispatch()]
        return super().tick(now)


class DispatchesAfterRefusal(claimcalls.ClaimCall):
    """Dispatch on a late grant after an answer that the call was not executed."""

    def handle_answer(self, answer, now):
        if self.phase is Phase.REFUSED:
            self.phase = Phase.CLAIMING
            self._deadline = now + 1.0
        return super().handle_answer(answer, now)


class ReleasesClaimsOfLostHosts(claims.ClaimTable):
    """Release the keys of a lost host instead of marking their outcome unknown."""

    def _mark_unknown(self, fingerprint, claim):
        self._delete(fingerprint, self._packed_by_fingerprint[fingerprint])


class DropsFingerprints(claims.ClaimTable):
    """Forget expired keys completely, so that late repetitions are executed again.

    The correct table keeps a fingerprint of each key after its result has expired.
    """

    def _expire(self):
        super()._expire()
        self.expired.restore([[], 0.0, b""])


@pytest.mark.parametrize(
    "options, text",
    [
        ({"call_class": DispatchesBeforeClaim}, "was executed by the attempts"),
        ({"call_class": DispatchesAfterRefusal}, "was executed, but its answer"),
        ({"table_class": ReleasesClaimsOfLostHosts}, "was executed by the attempts"),
        ({"table_class": DropsFingerprints}, "was executed by the attempts"),
    ],
)
def test_disabled_protection_is_detected(options, text):
    violations = claimschedules.ClaimSimulation(seed=1, **options).run()
    assert any(text in violation for violation in violations), violations


def test_grant_after_the_deadline_is_released():
    begin = claimrecords.BeginClaim(0.0, 1, "h", 1, "k", "o", b"d" * 16, "s")
    call = claimcalls.ClaimCall(begin, deadline=3.0)
    assert call.tick(0.0) == [claimcalls.Propose(begin)]
    reply, release = call.tick(3.0)
    assert reply.answer.executed == "no"
    assert release.command.outcome == claimrecords.Outcome.NOT_EXECUTED
    call.confirm_outcome()
    assert call.tick(9.0) == []
    (repeated_release,) = call.handle_answer(claimrecords.ClaimGranted(), 10.0)
    assert repeated_release.command == release.command
