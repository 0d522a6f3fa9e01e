"""Admission: refusals at once, classes, floors, shares and limits."""

import pytest

from kumquatproxy import errors, records
from kumquatproxy.configuration import samples, sheet
from kumquatproxy.requests import admission, estimates, fairqueue, routing


def call(number, priority=5, deadline=10.0, service="s", model="m"):
    return records.CallRequest(
        f"r{number}", "o", service, model, priority=priority, deadline=deadline
    )


def decision(duration_s=1.0, wait_s=0.0):
    estimate = estimates.Estimate(0.1 + wait_s, duration_s + wait_s, 0.03, wait_s)
    return routing.Decision("a", "estimate", estimate)


def full(limit=2, priority=5):
    """Return an admission whose limit at server ``a`` is used up by one class."""
    decided = admission.Admission()
    for entry in decided.gate("a").limits:
        entry.limit = float(limit)
    for number in range(limit):
        verdict = decided.admit(call(f"f{number}", priority), decision(), 0.0)
        assert verdict.action == "admit"
    return decided


def finish(decided, number, now, result="complete", **fields):
    outcome = estimates.Outcome(result, 0.1, 1.0, 10)
    return decided.record_finish("a", call(number, **fields), outcome, now)


def test_unreachable_deadline_is_refused_at_once():
    """Guards against holding a request that cannot be answered in time."""
    decided = admission.Admission()
    verdict = decided.admit(call(1, deadline=0.5), decision(1.0), 0.0)
    assert verdict.action == "refuse"
    refusal = verdict.refusal
    assert refusal.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
    assert refusal.executed == "no" and refusal.error().executed == "no"
    assert refusal.error().retry_after_s >= 1


def test_floor_admits_one_request_of_a_starved_model():
    """Guards against a low-priority model that overload makes unreachable."""
    decided = admission.Admission()
    slow = decision(1.0, wait_s=60.0)
    verdict = decided.admit(call(1, priority=1), slow, 0.0)
    assert (verdict.action, verdict.reason) == ("admit", "floor")
    assert verdict.priority == admission.FLOOR_PRIORITY
    assert decided.admit(call(2, priority=1), slow, 1.0).action == "refuse"
    later = 1.0 + admission.FLOOR_INTERVAL_S
    again = call(3, priority=1, deadline=20.0)
    assert decided.admit(again, slow, later).action == "admit"


def test_floor_is_bounded_over_all_models():
    """Guards against a floor that lets all load through when models are many."""
    decided = admission.Admission()
    verdicts = [
        decided.admit(call(n, model=f"m{n}"), decision(1.0, 60.0), 0.0).action
        for n in range(100)
    ]
    assert verdicts.count("admit") == admission.FLOOR_BURST


def test_low_class_does_not_use_up_the_places_of_the_high_class():
    """Guards against high-priority requests that wait behind low ones."""
    decided = full(priority=2)
    assert decided.admit(call(1, priority=2), decision(), 0.0).action == "queue"
    assert decided.admit(call(2, priority=8), decision(), 0.0).action == "admit"


def test_queued_request_is_refused_when_its_deadline_gets_out_of_reach():
    """Guards against a request that is held in the queue until its deadline."""
    decided = full()
    verdict = decided.admit(call(1, deadline=3.0), decision(1.0), 0.0)
    assert verdict.action == "queue"
    assert decided.next_expiry() == verdict.entry.latest_start == 2.0
    assert decided.take_expired(2.0) == []
    ((entry, refusal),) = decided.take_expired(2.1)
    assert entry is verdict.entry
    assert refusal.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
    assert finish(decided, "f0", 2.2) == []
    assert decided.take_expired(99.0) == []


def test_released_request_does_not_expire():
    """Guards against two answers to a request that left the queue in time."""
    decided = full()
    verdict = decided.admit(call(1, deadline=3.0), decision(1.0), 0.0)
    assert finish(decided, "f0", 1.0) == [verdict.entry]
    assert decided.take_expired(99.0) == []


def test_queue_is_bounded_and_a_higher_class_displaces_a_lower():
    """Guards against queues that grow without limit or are full of low priority."""
    decided = full()
    gate = decided.gate("a")
    gate.queue.limit = 3
    low = [decided.admit(call(n, 2), decision(0.1), 0.0) for n in range(3)]
    assert [verdict.action for verdict in low] == ["queue"] * 3
    refused = decided.admit(call(4, 2), decision(0.1), 0.0)
    assert refused.refusal.kind is errors.ErrorKind.QUEUE_FULL
    gate.limits[2].limit = 0.5
    assert decided.admit(call(5, 8), decision(0.1), 0.0).action == "queue"
    ((entry, refusal),) = decided.take_expired(0.1)
    assert entry is low[2].entry
    assert refusal.kind is errors.ErrorKind.QUEUE_FULL


def test_abandoned_queued_request_leaves_the_queue():
    """Guards against sending a request whose caller has gone away."""
    decided = full()
    verdict = decided.admit(call(1), decision(), 0.0)
    decided.cancel(verdict.entry)
    assert finish(decided, "f0", 1.0) == []
    assert decided.take_expired(99.0) == []


def test_removed_server_returns_its_queue_to_be_routed_anew():
    """Guards against requests lost with the queue of a dead server."""
    decided = full()
    verdict = decided.admit(call(1), decision(), 0.0)
    assert decided.remove_server("a") == [verdict.entry]


def test_limit_falls_on_misses_and_recovers():
    """Guards against a limit that never adapts, or falls for each miss of a burst."""
    limit = admission.AdaptiveLimit()
    limit.observe(False, 40, 1.0, 2.0)
    assert limit.limit == pytest.approx(36.0)
    limit.observe(False, 40, 1.5, 2.1)
    assert limit.limit == pytest.approx(36.0)
    for _ in range(40):
        limit.observe(True, 36, 3.0, 4.0)
    assert limit.limit > 36.9


class Entry:
    def __init__(self, number, priority=5, service="s"):
        self.request = call(number, priority=priority, service=service)


def test_flows_get_their_weighted_shares():
    """Guards against one service that crowds out the others."""
    queue = fairqueue.FairQueue(1000, {("o", "big"): 3.0, ("o", "small"): 1.0})
    for number in range(100):
        queue.push(Entry(number, service="small"))
    for number in range(100):
        queue.push(Entry(number, service="big"))
    taken = [queue.pop().request.service for _ in range(80)]
    assert 58 <= taken.count("big") <= 62


def test_lowest_class_gets_its_floor_in_the_queue():
    """Guards against starvation of the lowest class."""
    queue = fairqueue.FairQueue(1000)
    for number in range(100):
        queue.push(Entry(number, 8))
        queue.push(Entry(f"l{number}", 1))
    taken = [queue.pop().request.priority for _ in range(100)]
    assert taken.count(1) == 100 // fairqueue.FLOOR_EVERY


def test_shares_of_services_divide_the_share_of_their_organisation():
    """Guards against an organisation that gains weight by listing more services."""
    decided = admission.Admission()
    decided.set_shares(sheet.parse(samples.generate("port-louis")))
    assert sum(decided.weights.values()) == pytest.approx(1.0)
