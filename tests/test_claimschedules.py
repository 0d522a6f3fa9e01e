"""Seeded schedules of keyed calls; each protection switched off must be noticed."""

import pytest

from kumquatproxy.configuration import claimcalls, claimrecords, claims
from kumquatproxy.laboratory import claimschedules

Phase = claimcalls.Phase


@pytest.mark.parametrize("seed", range(20))
def test_no_key_runs_twice_and_no_executed_call_is_answered_no(seed):
    world = claimschedules.World(seed)
    assert world.run() == []
    assert world.granted > 5


@pytest.mark.fuzz
@pytest.mark.parametrize("block", range(10))
def test_many_schedules(block):
    for seed in range(block * 100, block * 100 + 100):
        assert claimschedules.World(seed).run() == [], f"seed {seed}"


class DispatchesBeforeClaim(claimcalls.ClaimCall):
    """Dispatch at once and claim afterwards."""

    def tick(self, now):
        if self.phase is Phase.CLAIMING:
            self.phase = Phase.DISPATCHED
            return [*self._propose(now), claimcalls.Dispatch()]
        return super().tick(now)


class DispatchesAfterRefusal(claimcalls.ClaimCall):
    """Dispatch on a late grant although the caller was told ``no``."""

    def handle_answer(self, answer, now):
        if self.phase is Phase.REFUSED:
            self.phase = Phase.CLAIMING
            self._deadline = now + 1.0
        return super().handle_answer(answer, now)


class FreesLostClaims(claims.ClaimTable):
    """Free the keys of a lost host instead of calling their outcome unknown."""

    def _mark_unknown(self, key, claim):
        self._delete(key, self._packed_by_fingerprint[key])


class FreesExpiredClaims(claims.ClaimTable):
    """Forget keys at the end of the retention time of their results."""

    def _expire(self):
        super()._expire()
        self.expired.restore([[], 0.0, b""])


@pytest.mark.parametrize(
    "options, text",
    [
        ({"call_class": DispatchesBeforeClaim}, "was executed by"),
        ({"call_class": DispatchesAfterRefusal}, "executed and answered"),
        ({"table_class": FreesLostClaims}, "was executed by"),
        ({"table_class": FreesExpiredClaims}, "was executed by"),
    ],
)
def test_a_missing_protection_is_noticed(options, text):
    violations = claimschedules.World(seed=1, **options).run()
    assert any(text in violation for violation in violations), violations


def test_a_late_grant_is_given_back():
    begin = claimrecords.BeginClaim(0.0, 1, "h", 1, "k", "o", b"d" * 16, "s")
    call = claimcalls.ClaimCall(begin, deadline=3.0)
    assert call.tick(0.0) == [claimcalls.Propose(begin)]
    reply, release = call.tick(3.0)
    assert reply.answer.executed == "no"
    assert release.command.outcome == claimrecords.Outcome.NOT_EXECUTED
    call.confirm_outcome()
    assert call.tick(9.0) == []
    (again,) = call.handle_answer(claimrecords.ClaimGranted(), 10.0)
    assert again.command == release.command
