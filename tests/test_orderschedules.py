"""Seeded schedules of orders; each protection switched off must be noticed."""

import pytest

from kumquatproxy.laboratory import orderschedules
from kumquatproxy.placement import orderrules, orders, placementstate, storeshare


@pytest.mark.parametrize("seed", range(24))
def test_schedule_keeps_the_invariants_and_settles(seed):
    world = orderschedules.World(seed)
    assert world.run() == []
    assert world.sent > 0


@pytest.mark.fuzz
@pytest.mark.parametrize("block", range(20))
def test_many_schedules(block):
    for seed in range(block * 100, block * 100 + 100):
        assert orderschedules.World(seed).run() == [], f"seed {seed}"


class SendsBeforeCommit(orders.OrderEngine):
    """Send orders whose intent is only proposed."""

    def _may_send_copy(self, tracked, view, is_wanted, now):
        return orderrules.may_resend(tracked, view, is_wanted, now)


class ReleasesWhenAccepted(orders.OrderEngine):
    """Free the reservation with the answer instead of the report."""

    def answered(self, answer):
        super().answered(answer)
        tracked = self.tracker.tracked_by_id.get(answer.order_id)
        if tracked is not None and answer.stage is orderrules.Stage.ACCEPTED:
            self.tracker.ledger.release(answer.order_id, tracked.intent.backend_id)


class ReleasesSlotWhenAccepted(orders.OrderEngine):
    """Free the slot of the weight store with the answer instead of the report."""

    def answered(self, answer):
        super().answered(answer)
        if answer.stage is orderrules.Stage.ACCEPTED:
            self.tracker.share.release(answer.order_id)


class SendsOutsideLease(orders.OrderEngine):
    """Trust that the ownership still holds."""

    def _is_within_lease(self, now, lease_until):
        return self.fence > 0


class ForgetsPredecessors(orders.OrderEngine):
    """Start without the open intents of earlier owners."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        for order_id in list(self.tracker.tracked_by_id):
            self.tracker.drop(order_id)


class TrustsLateReports(orders.OrderEngine):
    """Close an expired load when any report lacks it, however old the report is."""

    def _outcome(self, tracked, view, barriers, now):
        if tracked.is_load and tracked.is_expired(self.settings, now):
            if view.report is not None and tracked.item not in view.report.loaded:
                self.tracker.drop(tracked.intent.order_id)
                return placementstate.GONE
        return super()._outcome(tracked, view, barriers, now)


class FullBucket(storeshare.ShareUse):
    """Begin with a load in the bucket."""

    def __init__(self, share, now):
        super().__init__(share, now)
        self._tokens = storeshare.BURST_LOADS


class StartsWithFullBucket(orders.OrderEngine):
    """Let each new owner send a load at once."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        share = self.tracker.share
        full = FullBucket(share.limits, 0.0)
        full._kinds_by_order = share._kinds_by_order
        self.tracker.share = full


class IgnoresRate(storeshare.ShareUse):
    """Limit the slots only."""

    def take_token(self, item, now):
        return True


class SendsAtAnyRate(orders.OrderEngine):
    """Send without a token."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        unlimited = IgnoresRate(self.tracker.share.limits, 0.0)
        unlimited._kinds_by_order = self.tracker.share._kinds_by_order
        self.tracker.share = unlimited


BROKEN = [
    (SendsBeforeCommit, 0, "without an intent"),
    (ReleasesWhenAccepted, 30, "of 20 MB"),
    (ReleasesSlotWhenAccepted, 25, "transfers, limit"),
    (SendsOutsideLease, 2, "outside the lease"),
    (ForgetsPredecessors, 18, "of 20 MB"),
    (TrustsLateReports, 89, "of 20 MB"),
    (StartsWithFullBucket, 68, "rate of the weight store"),
    (SendsAtAnyRate, 2, "rate of the weight store"),
]


@pytest.mark.parametrize("engine_class, seed, text", BROKEN)
def test_a_missing_protection_is_noticed(engine_class, seed, text):
    violations = orderschedules.World(seed, engine_class).run()
    assert any(text in violation for violation in violations), violations
