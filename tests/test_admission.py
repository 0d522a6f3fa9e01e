"""Tests of admission control: refusals, priority classes, shares and limits."""

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


def full_admission(limit=2, priority=5):
    """Return an admission control with ``limit`` requests in flight at server ``a``."""
    controller = admission.Admission()
    for limit_of_class in controller.limiter("a").limits:
        limit_of_class.limit = float(limit)
    for number in range(limit):
        result = controller.admit(call(f"f{number}", priority), decision(), 0.0)
        assert result.action == "admit"
    return controller


def finish(controller, number, now, result="complete", **fields):
    outcome = estimates.Outcome(result, 0.1, 1.0, 10)
    return controller.record_finish("a", call(number, **fields), outcome, now)


def test_request_is_refused_at_once_when_its_deadline_is_unreachable():
    """Guards against queueing a request that cannot be answered in time."""
    controller = admission.Admission()
    result = controller.admit(call(1, deadline=0.5), decision(1.0), 0.0)
    assert result.action == "refuse"
    refusal = result.refusal
    assert refusal.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
    assert refusal.executed == "no" and refusal.error().executed == "no"
    assert refusal.error().retry_after_s >= 1


def test_minimum_admission_takes_one_request_of_a_model_without_admissions():
    """Guards against starvation of a low-priority model under overload."""
    controller = admission.Admission()
    slow = decision(1.0, wait_s=60.0)
    result = controller.admit(call(1, priority=1), slow, 0.0)
    assert (result.action, result.reason) == ("admit", "minimum-admission")
    assert result.priority == admission.MINIMUM_ADMISSION_PRIORITY
    assert controller.admit(call(2, priority=1), slow, 1.0).action == "refuse"
    later_at = 1.0 + admission.MINIMUM_ADMISSION_INTERVAL_S
    later_call = call(3, priority=1, deadline=20.0)
    assert controller.admit(later_call, slow, later_at).action == "admit"


def test_minimum_admissions_are_limited_across_all_models():
    """Guards against minimum rates that admit all load when there are many models."""
    controller = admission.Admission()
    results = [
        controller.admit(call(n, model=f"m{n}"), decision(1.0, 60.0), 0.0).action
        for n in range(100)
    ]
    assert results.count("admit") == admission.MINIMUM_ADMISSION_BURST


def test_high_class_is_admitted_while_the_low_class_is_at_its_limit():
    """Guards against high-priority requests that queue behind low-priority ones."""
    controller = full_admission(priority=2)
    assert controller.admit(call(1, priority=2), decision(), 0.0).action == "queue"
    assert controller.admit(call(2, priority=8), decision(), 0.0).action == "admit"


def test_queued_request_is_refused_once_its_deadline_is_unreachable():
    """Guards against a request that stays queued until its deadline has passed."""
    controller = full_admission()
    result = controller.admit(call(1, deadline=3.0), decision(1.0), 0.0)
    assert result.action == "queue"
    assert controller.next_expiry() == result.entry.latest_start == 2.0
    assert controller.take_refused(2.0) == []
    ((entry, refusal),) = controller.take_refused(2.1)
    assert entry is result.entry
    assert refusal.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
    assert finish(controller, "f0", 2.2) == []
    assert controller.take_refused(99.0) == []


def test_released_request_does_not_expire():
    """Guards against refusing a request that was already released from the queue."""
    controller = full_admission()
    result = controller.admit(call(1, deadline=3.0), decision(1.0), 0.0)
    assert finish(controller, "f0", 1.0) == [result.entry]
    assert controller.take_refused(99.0) == []


def test_full_queue_refuses_equal_class_and_displaces_lower_class():
    """Guards against unbounded queues and queues filled by low-priority requests."""
    controller = full_admission()
    limiter = controller.limiter("a")
    limiter.queue.limit = 3
    low_priority = [controller.admit(call(n, 2), decision(0.1), 0.0) for n in range(3)]
    assert [result.action for result in low_priority] == ["queue"] * 3
    refused = controller.admit(call(4, 2), decision(0.1), 0.0)
    assert refused.refusal.kind is errors.ErrorKind.QUEUE_FULL
    limiter.limits[2].limit = 0.5
    assert controller.admit(call(5, 8), decision(0.1), 0.0).action == "queue"
    ((entry, refusal),) = controller.take_refused(0.1)
    assert entry is low_priority[2].entry
    assert refusal.kind is errors.ErrorKind.QUEUE_FULL


def test_cancelled_request_is_removed_from_the_queue():
    """Guards against sending a request whose caller has disconnected."""
    controller = full_admission()
    result = controller.admit(call(1), decision(), 0.0)
    controller.cancel(result.entry)
    assert finish(controller, "f0", 1.0) == []
    assert controller.take_refused(99.0) == []


def test_removing_a_server_returns_its_queued_requests():
    """Guards against losing the requests queued for a failed server."""
    controller = full_admission()
    result = controller.admit(call(1), decision(), 0.0)
    assert controller.remove_server("a") == [result.entry]


def test_limit_decreases_once_per_burst_of_misses_and_recovers():
    """Guards against a limit that stays fixed, or drops for each miss of one burst."""
    limit = admission.AdaptiveLimit()
    limit.observe(False, 40, 1.0, 2.0)
    assert limit.limit == pytest.approx(36.0)
    limit.observe(False, 40, 1.5, 2.1)
    assert limit.limit == pytest.approx(36.0)
    for _ in range(40):
        limit.observe(True, 36, 3.0, 4.0)
    assert limit.limit > 36.9


class QueueEntry:
    def __init__(self, number, priority=5, service="s"):
        self.request = call(number, priority=priority, service=service)


def test_flows_are_served_in_proportion_to_their_weights():
    """Guards against one service that takes the capacity of the others."""
    queue = fairqueue.FairQueue(1000, {("o", "big"): 3.0, ("o", "small"): 1.0})
    for number in range(100):
        queue.push(QueueEntry(number, service="small"))
    for number in range(100):
        queue.push(QueueEntry(number, service="big"))
    popped = [queue.pop().request.service for _ in range(80)]
    assert 58 <= popped.count("big") <= 62


def test_lowest_class_is_served_at_a_fixed_interval():
    """Guards against starvation of the lowest class."""
    queue = fairqueue.FairQueue(1000)
    for number in range(100):
        queue.push(QueueEntry(number, 8))
        queue.push(QueueEntry(f"l{number}", 1))
    popped = [queue.pop().request.priority for _ in range(100)]
    assert popped.count(1) == 100 // fairqueue.LOWEST_CLASS_INTERVAL


def test_service_weights_of_all_organisations_add_up_to_one():
    """Guards against an organisation that gains weight by listing more services."""
    controller = admission.Admission()
    controller.set_shares(sheet.parse(samples.generate("port-louis")))
    assert sum(controller.weights.values()) == pytest.approx(1.0)
