"""Schedules of orders run without violation and detect disabled protections."""

import pytest

from kumquatproxy.laboratory import orderschedules
from kumquatproxy.placement import orderrules, orders, placementstate, storeshare


@pytest.mark.parametrize("seed", range(24))
def test_schedule_runs_without_violation_and_settles(seed):
    world = orderschedules.OrderSimulation(seed)
    assert world.run() == []
    assert world.sent > 0


@pytest.mark.fuzz
@pytest.mark.parametrize("block", range(20))
def test_many_schedules_run_without_violation(block):
    for seed in range(block * 100, block * 100 + 100):
        assert orderschedules.OrderSimulation(seed).run() == [], f"seed {seed}"


class SendsBeforeCommit(orders.OrderEngine):
    """Send orders whose intent is proposed but not committed."""

    def _may_send_copy(self, tracked, view, is_wanted, now):
        return orderrules.may_resend(tracked, view, is_wanted, now)


class ReleasesMemoryWhenAccepted(orders.OrderEngine):
    """Release the memory reservation on the answer instead of the report."""

    def answered(self, answer):
        super().answered(answer)
        tracked = self.tracker.tracked_by_id.get(answer.order_id)
        if tracked is not None and answer.stage is orderrules.Stage.ACCEPTED:
            self.tracker.ledger.release(answer.order_id, tracked.intent.backend_id)


class ReleasesSlotWhenAccepted(orders.OrderEngine):
    """Release the slot of the weight store on the answer instead of the report."""

    def answered(self, answer):
        super().answered(answer)
        if answer.stage is orderrules.Stage.ACCEPTED:
            self.tracker.share.release(answer.order_id)


class SendsOutsideLease(orders.OrderEngine):
    """Send orders without checking the lease."""

    def _is_within_lease(self, now, lease_until):
        return self.fence > 0


class IgnoresInheritedIntents(orders.OrderEngine):
    """Start without the open intents of previous owners."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        for order_id in list(self.tracker.tracked_by_id):
            self.tracker.drop(order_id)


class IgnoresReportAge(orders.OrderEngine):
    """Close an expired load if a report of any age does not list it."""

    def _outcome(self, tracked, view, barriers, now):
        if tracked.is_load and tracked.is_expired(self.settings, now):
            if view.report is not None and tracked.item not in view.report.loaded:
                self.tracker.drop(tracked.intent.order_id)
                return placementstate.GONE
        return super()._outcome(tracked, view, barriers, now)


class FullBucket(storeshare.ShareUse):
    """Start with all tokens of a burst."""

    def __init__(self, share, now):
        super().__init__(share, now)
        self._tokens = storeshare.BURST_LOADS


class StartsWithFullBucket(orders.OrderEngine):
    """Let each new owner send a load immediately, without waiting for a token."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        store_share = self.tracker.share
        full_bucket = FullBucket(store_share.limits, 0.0)
        full_bucket._kinds_by_order = store_share._kinds_by_order
        self.tracker.share = full_bucket


class IgnoresRate(storeshare.ShareUse):
    """Limit the slots but not the rate."""

    def take_token(self, item, now):
        return True


class SendsAtAnyRate(orders.OrderEngine):
    """Send loads without a token of the bucket."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        unlimited_share = IgnoresRate(self.tracker.share.limits, 0.0)
        unlimited_share._kinds_by_order = self.tracker.share._kinds_by_order
        self.tracker.share = unlimited_share


DISABLED_PROTECTIONS = [
    (SendsBeforeCommit, 0, "without a committed intent"),
    (ReleasesMemoryWhenAccepted, 30, "of 20 MB"),
    (ReleasesSlotWhenAccepted, 25, "transfers, limit"),
    (SendsOutsideLease, 2, "outside the lease"),
    (IgnoresInheritedIntents, 18, "of 20 MB"),
    (IgnoresReportAge, 89, "of 20 MB"),
    (StartsWithFullBucket, 68, "rate of the weight store"),
    (SendsAtAnyRate, 2, "rate of the weight store"),
]


@pytest.mark.parametrize("engine_class, seed, text", DISABLED_PROTECTIONS)
def test_disabled_protection_is_detected(engine_class, seed, text):
    violations = orderschedules.OrderSimulation(seed, engine_class).run()
    assert any(text in violation for violation in violations), violations
