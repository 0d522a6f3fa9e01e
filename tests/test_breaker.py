"""Circuit breakers: opening, single probes, recovery, progress deadlines."""

import random

from kumquatproxy.configuration import samples, sheet
from kumquatproxy.requests import breaker

RNG = random.Random(1)


def opened(now=0.0):
    breakers = breaker.Breakers()
    for _ in range(breaker.FAILURES_TO_OPEN):
        breakers.record_start("a", now)
        breakers.record_finish("a", "failed", now, RNG)
    return breakers


def test_failures_in_a_row_open_and_exclude():
    """Guards against a dead server that keeps getting requests."""
    breakers = opened()
    assert breakers.excluded_ids(0.1) == {"a"}
    assert breakers.breaker("a").state == "open"


def test_half_open_lets_one_probe_through():
    """Guards against a rush of probes on a server that has just restarted."""
    breakers = opened()
    assert breakers.excluded_ids(5.0) == set()
    breakers.record_start("a", 5.0)
    assert breakers.excluded_ids(5.1) == {"a"}
    breakers.record_finish("a", "complete", 5.2, RNG)
    assert breakers.excluded_ids(5.3) == set()
    breakers.record_start("a", 5.3)
    breakers.record_finish("a", "complete", 5.4, RNG)
    assert breakers.breaker("a").state == "closed"


def test_failed_probe_opens_for_longer():
    """Guards against probing a dead server at a constant rate."""
    breakers = opened()
    breakers.record_start("a", 5.0)
    breakers.record_finish("a", "failed", 5.0, random.Random(1))
    assert breakers.excluded_ids(5.0 + breaker.FIRST_OPEN_S * 2 * 0.5) == {"a"}
    assert breakers.excluded_ids(5.0 + breaker.FIRST_OPEN_S * 2 * 1.5) == set()


def test_abandoned_probe_frees_its_place():
    """Guards against a breaker that stays half-open after a caller went away."""
    breakers = opened()
    breakers.record_start("a", 5.0)
    breakers.record_finish("a", "abandoned", 5.1, RNG)
    assert breakers.excluded_ids(5.2) == set()
    breakers.record_start("a", 5.2)
    assert breakers.excluded_ids(5.2 + breaker.PROBE_LIMIT_S) == set()


def test_alternating_failures_open_by_their_share():
    """Guards against a server that fails half of its requests and never in a row."""
    breakers = breaker.Breakers()
    for number in range(40):
        result = "complete" if number % 3 == 2 else "failed"
        breakers.record_finish("a", result, 0.0, RNG)
    assert breakers.excluded_ids(0.1) == {"a"}


def test_late_failures_do_not_extend_an_open_period():
    """Guards against old requests that keep a recovered server excluded."""
    breakers = opened()
    breakers.record_finish("a", "failed", 1.4, RNG)
    assert breakers.excluded_ids(1.5) == set()


def test_progress_deadline_is_twice_the_expected_gap():
    """Guards against streams cut off by a fixed time-out."""
    parsed = sheet.parse(samples.generate("port-louis"))
    service = parsed.services_by_name["gait-models"]
    assert breaker.progress_deadline_s(service) == 2 * service.token_gap
    assert breaker.progress_deadline_s(service, 0.2) == 0.4
    assert breaker.first_token_deadline_s(service) == 2 * service.first_token
