"""Order engine: one order at a time, from its intent to its observed effect.

The owner, its lease or the engine may change while copies of an order are under way.
Orders sent or forgotten too early overcommit memory.
"""

import itertools
import random

from kumquatproxy import records
from kumquatproxy.configuration import configstate
from kumquatproxy.placement import (
    orderrecords,
    orderrules,
    orders,
    placementstate,
    storeshare,
)

A = records.Item("model", "a", "1")
B = records.Item("model", "b", "1")
SHARE = storeshare.Share(adapters=4, rate=1.0, slots=2)
LEASE = 1e9
LOAD_A = orderrecords.Action("load", "e1", A, 9)
Stage = orderrules.Stage


class Owner:
    """Order engine of one owner, with a state that commits immediately."""

    def __init__(self, state=None, now=100.0, checks_fencing=True, **kwargs):
        self.state = state or placementstate.PlacementState()
        self.state.share = SHARE
        self.state.apply(placementstate.TakeOwnership(self.state.fence + 1, "h"))
        rng = random.Random(1)
        self.engine = orders.OrderEngine("dc", self.state, rng, now, **kwargs)
        self.engine.set_server(
            records.BackendServer(
                "e1", "", "dc", "engine", "s", 1, 20, checks_fencing=checks_fencing
            )
        )
        self.sequence = 0

    def tick(self, now, commit=True):
        """Run one tick and return the orders it sends."""
        outputs = self.engine.tick(now, LEASE)
        for output in outputs:
            if isinstance(output, orderrecords.Propose) and commit:
                assert self.state.apply(output.command).kind == ""
                self.engine.committed(output.command, now)
        return [
            output.order
            for output in outputs
            if isinstance(output, orderrecords.SendOrder)
        ]

    def report(self, loaded=(), seen=(), fence=0, incarnation=1):
        self.sequence += 1
        self.engine.observe(
            records.LoadReport(
                "e1",
                incarnation,
                self.sequence,
                loaded=loaded,
                orders_seen=seen,
                fence_seen=fence,
            )
        )

    def used_mb(self):
        return self.engine.tracker.ledger.used_mb("e1")


def owner_with_sent_order(now=100.0, **kwargs):
    """Return an owner that has sent a load of A, and the order."""
    owner = Owner(now=now, **kwargs)
    owner.report()
    owner.engine.set_desired([LOAD_A])
    owner.tick(now)
    sent = owner.tick(now + 2.0)
    assert len(sent) == 1
    return owner, sent[0]


def test_nothing_is_sent_before_the_commit_or_outside_the_lease():
    owner = Owner()
    owner.report()
    owner.engine.set_desired([LOAD_A])
    assert owner.tick(102.0, commit=False) == []
    assert owner.tick(104.0) == [], "the intent is not committed yet"
    command = placementstate.IntendOrders(
        1, [next(iter(owner.engine.tracker.tracked_by_id.values())).intent]
    )
    owner.engine.committed(command, 104.0)
    assert owner.engine.tick(106.0, lease_until=106.0) == []
    assert len(owner.tick(106.0)) == 1


def test_queued_order_is_checked_again_before_it_is_sent():
    owner, order = owner_with_sent_order()
    send = orderrecords.SendOrder(order, 1)
    assert owner.engine.may_send(send, 103.0, 104.0)
    assert not owner.engine.may_send(send, 104.0, 104.0)
    assert not owner.engine.may_send(send, order.expires_at, LEASE)
    owner.engine.stop()
    assert not owner.engine.may_send(send, 103.0, 104.0)


def test_unanswered_order_is_resent_with_its_id_and_increasing_backoff():
    owner, order = owner_with_sent_order()
    sent_at = []
    for step in range(400):
        for copy in owner.tick(102.0 + step * 0.1):
            assert copy.order_id == order.order_id
            sent_at.append(102.0 + step * 0.1)
    gaps = [later - earlier for earlier, later in itertools.pairwise(sent_at)]
    assert gaps[0] < 3.0 and 5.0 < max(gaps) < 11.0
    assert owner.used_mb() == 9


def test_open_order_missing_from_the_plan_is_resent_only_with_resends_unlisted():
    """Guards against dropping open orders that the planner counts as done."""
    for resends_unlisted in (True, False):
        owner, order = owner_with_sent_order()
        owner.engine.set_desired([], resends_unlisted)
        sent = [copy.order_id for copy in owner.tick(110.0)]
        assert sent == [order.order_id] * resends_unlisted
    owner, _ = owner_with_sent_order()
    unload = orderrecords.Action("unload", "e1", A, 9)
    owner.engine.set_desired([unload], resends_unlisted=True)
    assert owner.tick(110.0) == []


def test_accepted_order_is_not_resent_unless_the_engine_restarts():
    owner, order = owner_with_sent_order()
    owner.engine.answered(orderrecords.OrderAnswer(order.order_id, 1, Stage.ACCEPTED))
    assert owner.tick(120.0) == []
    owner.report(incarnation=2)
    assert [copy.order_id for copy in owner.tick(121.0)] == [order.order_id]


def test_load_is_closed_when_a_report_shows_both_item_and_order():
    owner, order = owner_with_sent_order()
    owner.report(loaded=[A])
    owner.tick(103.0)
    assert owner.state.open_intents(), "the item may be from an earlier load"
    owner.report(loaded=[A], seen=[order.order_id])
    owner.tick(104.0)
    assert not owner.state.open_intents()
    assert owner.state.recorded_by_id[order.order_id].outcome == "loaded"
    assert owner.used_mb() == 9


def test_refused_order_is_closed_and_retried_after_a_delay():
    owner, order = owner_with_sent_order()
    owner.engine.answered(orderrecords.OrderAnswer(order.order_id, 1, Stage.REFUSED))
    owner.report(seen=[order.order_id])
    owner.tick(103.0)
    assert owner.state.recorded_by_id[order.order_id].outcome == "refused"
    assert not owner.state.open_intents()
    owner.tick(104.0)
    assert not owner.state.open_intents(), "retried without a delay"
    owner.tick(120.0)
    assert len(owner.state.open_intents()) == 1


def test_unwanted_load_of_unknown_outcome_is_resolved_by_an_unload():
    owner, _ = owner_with_sent_order()
    owner.engine.set_desired([])
    owner.report()
    owner.tick(130.0)
    assert owner.used_mb() == 9, "a copy of the load may still arrive"
    owner.report()
    owner.tick(140.0)
    (barrier,) = owner.tick(141.0)
    assert barrier.action == "unload"
    owner.report(seen=[barrier.order_id])
    owner.tick(142.0)
    assert not owner.state.open_intents()
    owner.tick(210.0)
    assert owner.used_mb() == 0 and not owner.state.recorded_by_id


def test_next_owner_completes_open_intents_only_if_the_engine_ignores_fences():
    owner, order = owner_with_sent_order()
    for checks_fencing in (False, True):
        state = placementstate.PlacementState()
        state.restore(owner.state.snapshot())
        next_owner = Owner(state, now=5.0, checks_fencing=checks_fencing)
        next_owner.report()
        sent = next_owner.tick(8.0)
        assert next_owner.used_mb() == 9
        assert not next_owner.engine.tracker.ledger.can_reserve("e1", B, 12)
        if not checks_fencing:
            assert [copy.order_id for copy in sent] == [order.order_id]
            continue
        assert sent == []
        next_owner.report(fence=next_owner.engine.fence)
        next_owner.tick(9.0)
        assert state.recorded_by_id[order.order_id].outcome == "fenced"


def test_no_order_after_log_loss_until_all_earlier_orders_have_expired():
    owner = Owner(log_was_lost=True)
    owner.report()
    owner.engine.set_desired([LOAD_A])
    owner.tick(134.0)
    assert not owner.state.open_intents()
    owner.tick(135.0)
    assert owner.state.open_intents()


def test_share_is_recorded_before_use_and_acknowledged_when_use_fits():
    owner, order = owner_with_sent_order()
    lowered = storeshare.Share(adapters=4, rate=0.1, slots=0)
    owner.engine.offer_share(7, lowered)
    owner.tick(103.0)
    assert owner.state.share == lowered and owner.state.share_version == 7
    assert owner.engine.tick(109.0, LEASE) == [], "a load is still open"
    owner.report(loaded=[A], seen=[order.order_id])
    owner.tick(110.0)
    (output,) = owner.engine.tick(111.0, LEASE)
    assert output.command == configstate.AcknowledgeShare("dc", 7)


def test_memory_freed_by_an_unload_is_kept_for_the_more_urgent_load():
    owner = Owner()
    owner.report(loaded=[A])
    owner.engine.record_sizes({A: 15})
    owner.engine.set_desired(
        [
            orderrecords.Action("unload", "e1", A, 15),
            orderrecords.Action("load", "e1", B, 12),
            orderrecords.Action("load", "e1", records.Item("adapter", "c", "1"), 4),
        ]
    )
    owner.tick(100.0)
    assert [intent.action for intent in owner.state.open_intents()] == ["unload"]


def test_commands_with_a_stale_fence_are_rejected():
    state = placementstate.PlacementState(base_fence=4)
    assert state.apply(placementstate.TakeOwnership(4, "h1")).kind == "stale-fence"
    assert state.apply(placementstate.TakeOwnership(5, "h1")).kind == ""
    assert state.apply(placementstate.TakeOwnership(6, "h2")).kind == ""
    intent = placementstate.Intent("load", "e1", 5, A.key(), 9, "dc-5-1")
    late = state.apply(placementstate.IntendOrders(5, [intent]))
    assert late.kind == "stale-fence" and not state.recorded_by_id
    assert state.apply(placementstate.TakeOwnership(5, "h1")).kind == "stale-fence"


def test_state_is_restored_from_a_snapshot():
    owner, order = owner_with_sent_order()
    owner.report(loaded=[A], seen=[order.order_id])
    owner.tick(104.0)
    copy = placementstate.PlacementState()
    copy.restore(owner.state.snapshot())
    assert copy.snapshot() == owner.state.snapshot()
    assert copy.observed_by_backend["e1"].report_version == (1, 2)
    assert copy.observed_by_backend["e1"].memory_by_item == {A.key(): 9}
