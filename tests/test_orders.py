"""Order engine: one order at a time, from its intent to its observed effect."""

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
    """Drive one engine over a state that commits at once."""

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
        """Return the orders sent by one tick."""
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

    def used(self):
        return self.engine.tracker.ledger.used_mb("e1")


def begun(now=100.0, **kwargs):
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
    assert owner.tick(104.0) == [], "the intent is still only proposed"
    command = placementstate.IntendOrders(
        1, [next(iter(owner.engine.tracker.tracked_by_id.values())).intent]
    )
    owner.engine.committed(command, 104.0)
    assert owner.engine.tick(106.0, lease_until=106.0) == []
    assert len(owner.tick(106.0)) == 1


def test_queued_order_is_checked_again_before_it_leaves():
    owner, order = begun()
    send = orderrecords.SendOrder(order, 1)
    assert owner.engine.may_send(send, 103.0, 104.0)
    assert not owner.engine.may_send(send, 104.0, 104.0)
    assert not owner.engine.may_send(send, order.expires_at, LEASE)
    owner.engine.stop()
    assert not owner.engine.may_send(send, 103.0, 104.0)


def test_lost_order_is_resent_under_its_id_with_growing_intervals():
    owner, order = begun()
    sent_at = []
    for step in range(400):
        for copy in owner.tick(102.0 + step * 0.1):
            assert copy.order_id == order.order_id
            sent_at.append(102.0 + step * 0.1)
    gaps = [later - earlier for earlier, later in itertools.pairwise(sent_at)]
    assert gaps[0] < 3.0 and 5.0 < max(gaps) < 11.0
    assert owner.used() == 9


def test_open_order_that_the_plan_leaves_out_is_resent_if_asked_for():
    """Guard against a planner that counts open intents as done."""
    for keeps_open in (True, False):
        owner, order = begun()
        owner.engine.set_desired([], keeps_open)
        sent = [copy.order_id for copy in owner.tick(110.0)]
        assert sent == [order.order_id] * keeps_open
    owner, _ = begun()
    unload = orderrecords.Action("unload", "e1", A, 9)
    owner.engine.set_desired([unload], keeps_open=True)
    assert owner.tick(110.0) == []


def test_accepted_order_is_not_resent_unless_the_engine_restarts():
    owner, order = begun()
    owner.engine.answered(orderrecords.OrderAnswer(order.order_id, 1, Stage.ACCEPTED))
    assert owner.tick(120.0) == []
    owner.report(incarnation=2)
    assert [copy.order_id for copy in owner.tick(121.0)] == [order.order_id]


def test_slot_is_free_only_when_a_report_shows_the_item_and_the_order():
    owner, order = begun()
    owner.report(loaded=[A])
    owner.tick(103.0)
    assert owner.state.open_intents(), "the item may stem from an earlier load"
    owner.report(loaded=[A], seen=[order.order_id])
    owner.tick(104.0)
    assert not owner.state.open_intents()
    assert owner.state.recorded_by_id[order.order_id].outcome == "loaded"
    assert owner.used() == 9


def test_refused_order_is_closed_and_tried_again_later():
    owner, order = begun()
    owner.engine.answered(orderrecords.OrderAnswer(order.order_id, 1, Stage.REFUSED))
    owner.report(seen=[order.order_id])
    owner.tick(103.0)
    assert owner.state.recorded_by_id[order.order_id].outcome == "refused"
    assert not owner.state.open_intents()
    owner.tick(104.0)
    assert not owner.state.open_intents(), "not at once"
    owner.tick(120.0)
    assert len(owner.state.open_intents()) == 1


def test_unwanted_order_of_unknown_fate_is_settled_by_an_unload():
    owner, _ = begun()
    owner.engine.set_desired([])
    owner.report()
    owner.tick(130.0)
    assert owner.used() == 9, "a copy may still arrive"
    owner.report()
    owner.tick(140.0)
    (barrier,) = owner.tick(141.0)
    assert barrier.action == "unload"
    owner.report(seen=[barrier.order_id])
    owner.tick(142.0)
    assert not owner.state.open_intents()
    owner.tick(210.0)
    assert owner.used() == 0 and not owner.state.recorded_by_id


def test_successor_holds_open_intents_and_completes_them_if_fences_are_ignored():
    owner, order = begun()
    for checks_fencing in (False, True):
        state = placementstate.PlacementState()
        state.restore(owner.state.snapshot())
        next_owner = Owner(state, now=5.0, checks_fencing=checks_fencing)
        next_owner.report()
        sent = next_owner.tick(8.0)
        assert next_owner.used() == 9
        assert not next_owner.engine.tracker.ledger.can_reserve("e1", B, 12)
        if not checks_fencing:
            assert [copy.order_id for copy in sent] == [order.order_id]
            continue
        assert sent == []
        next_owner.report(fence=next_owner.engine.fence)
        next_owner.tick(9.0)
        assert state.recorded_by_id[order.order_id].outcome == "fenced"


def test_after_loss_of_the_log_nothing_is_ordered_until_all_orders_expired():
    owner = Owner(log_was_lost=True)
    owner.report()
    owner.engine.set_desired([LOAD_A])
    owner.tick(134.0)
    assert not owner.state.open_intents()
    owner.tick(135.0)
    assert owner.state.open_intents()


def test_share_is_recorded_before_use_and_acknowledged_once_use_is_within():
    owner, order = begun()
    lowered = storeshare.Share(adapters=4, rate=0.1, slots=0)
    owner.engine.offer_share(7, lowered)
    owner.tick(103.0)
    assert owner.state.share == lowered and owner.state.share_version == 7
    assert owner.engine.tick(109.0, LEASE) == [], "a load is still open"
    owner.report(loaded=[A], seen=[order.order_id])
    owner.tick(110.0)
    (output,) = owner.engine.tick(111.0, LEASE)
    assert output.command == configstate.AcknowledgeShare("dc", 7)


def test_more_urgent_load_gets_the_memory_that_an_unload_frees():
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


def test_commands_of_an_earlier_owner_change_nothing():
    state = placementstate.PlacementState(base_fence=4)
    assert state.apply(placementstate.TakeOwnership(4, "h1")).kind == "stale-fence"
    assert state.apply(placementstate.TakeOwnership(5, "h1")).kind == ""
    assert state.apply(placementstate.TakeOwnership(6, "h2")).kind == ""
    intent = placementstate.Intent("load", "e1", 5, A.key(), 9, "dc-5-1")
    late = state.apply(placementstate.IntendOrders(5, [intent]))
    assert late.kind == "stale-fence" and not state.recorded_by_id
    assert state.apply(placementstate.TakeOwnership(5, "h1")).kind == "stale-fence"


def test_state_survives_a_snapshot():
    owner, order = begun()
    owner.report(loaded=[A], seen=[order.order_id])
    owner.tick(104.0)
    copy = placementstate.PlacementState()
    copy.restore(owner.state.snapshot())
    assert copy.snapshot() == owner.state.snapshot()
    assert copy.observed_by_backend["e1"].report_version == (1, 2)
    assert copy.observed_by_backend["e1"].memory_by_item == {A.key(): 9}
