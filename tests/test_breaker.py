"""Tests of circuit breakers: opening, probes, recovery, progress timeouts."""

import random

from kumquatproxy.configuration import samples, sheet
from kumquatproxy.requests import breaker

RNG = random.Random(1)


def open_breakers(now=0.0):
    breakers = breaker.Breakers()
    for _ in range(breaker.FAILURES_TO_OPEN):
        breakers.record_start("a", now)
        breakers.record_finish("a", "failed", now, RNG)
    return breakers


def test_consecutive_failures_open_the_breaker():
    """Guards against sending requests to a failed server."""
    breakers = open_breakers()
    assert breakers.excluded_ids(0.1) == {"a"}
    assert breakers.breaker("a").state == "open"


def test_half_open_breaker_allows_one_probe_at_a_time():
    """Guards against simultaneous probes of a server that has just restarted."""
    breakers = open_breakers()
    assert breakers.excluded_ids(5.0) == set()
    breakers.record_start("a", 5.0)
    assert breakers.excluded_ids(5.1) == {"a"}
    breakers.record_finish("a", "complete", 5.2, RNG)
    assert breakers.excluded_ids(5.3) == set()
    breakers.record_start("a", 5.3)
    breakers.record_finish("a", "complete", 5.4, RNG)
    assert breakers.breaker("a").state == "closed"


def test_failed_probe_doubles_the_open_period():
    """Guards against probing a failed server at a constant rate."""
    breakers = open_breakers()
    breakers.record_start("a", 5.0)
    breakers.record_finish("a", "failed", 5.0, random.Random(1))
    assert breakers.excluded_ids(5.0 + breaker.INITIAL_OPEN_S * 2 * 0.5) == {"a"}
    assert breakers.excluded_ids(5.0 + breaker.INITIAL_OPEN_S * 2 * 1.5) == set()


def test_another_probe_is_allowed_after_an_abandoned_or_lost_one():
    """Guards against a breaker that stays half-open after a caller disconnected."""
    breakers = open_breakers()
    breakers.record_start("a", 5.0)
    breakers.record_finish("a", "abandoned", 5.1, RNG)
    assert breakers.excluded_ids(5.2) == set()
    breakers.record_start("a", 5.2)
    assert breakers.excluded_ids(5.2 + breaker.PROBE_TIMEOUT_S) == set()


def test_share_of_failures_opens_the_breaker():
    """Guards against a server that fails most requests, but few consecutive ones."""
    breakers = breaker.Breakers()
    for number in range(40):
        result = "complete" if number % 3 == 2 else "failed"
        breakers.record_finish("a", result, 0.0, RNG)
    assert breakers.excluded_ids(0.1) == {"a"}


def test_late_failures_do_not_extend_an_open_period():
    """Guards against late failures of old requests that exclude a recovered server."""
    breakers = open_breakers()
    breakers.record_finish("a", "failed", 1.4, RNG)
    assert breakers.excluded_ids(1.5) == set()


def test_progress_timeout_is_twice_the_expected_gap():
    """Guards against streams that are interrupted by a fixed timeout."""
    parsed = sheet.parse(samples.generate("port-louis"))
    service = parsed.services_by_name["gait-models"]
    assert breaker.progress_timeout_s(service) == 2 * service.token_gap
    assert breaker.progress_timeout_s(service, 0.2) == 0.4
    assert breaker.first_token_timeout_s(service) == 2 * service.first_token
