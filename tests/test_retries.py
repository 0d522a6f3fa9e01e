"""Retries: never a second run, never past the deadline or the budget."""

import random

import pytest

from kumquatproxy import errors, records
from kumquatproxy.requests import retries

Failure = retries.Failure


def call(idempotent=True, deadline=10.0):
    return records.CallRequest("r", "o", "s", idempotent=idempotent, deadline=deadline)


def decide(request, failure, attempts=None, budget=None, expected_s=0.1, now=0.0):
    if attempts is None:
        attempts = retries.Attempts()
        attempts.record_start("a")
    budget = budget or retries.RetryBudget()
    rng = random.Random(1)
    return retries.decide(request, failure, attempts, budget, expected_s, now, rng)


def test_every_failure_has_a_rule():
    """Guards against a failure without a rule, which would raise KeyError."""
    assert set(retries.RULES) == set(Failure)


@pytest.mark.parametrize("failure", list(Failure))
def test_non_idempotent_is_repeated_only_if_certainly_not_run(failure):
    """Guards against a second run of an action that must not run twice."""
    decision = decide(call(idempotent=False), failure)
    certain = failure in (Failure.NOT_SENT, Failure.REFUSED)
    assert (decision.action == "retry") == certain
    if not certain:
        assert decision.executed == "unknown"


def test_earlier_unknown_attempt_keeps_executed_unknown():
    """Guards against ``executed: no`` after an attempt that may have run."""
    attempts = retries.Attempts()
    attempts.record_start("a")
    assert decide(call(), Failure.LOST, attempts).action == "retry"
    attempts.record_start("b")
    decision = decide(call(deadline=0.05), Failure.NOT_SENT, attempts)
    assert (decision.action, decision.executed) == ("give-up", "unknown")
    late = decide(call(idempotent=False), Failure.NOT_SENT, attempts)
    assert (late.action, late.reason) == ("give-up", "may-have-run")


def test_no_retry_past_the_deadline():
    """Guards against a request that is held until after its deadline."""
    decision = decide(call(deadline=10.0), Failure.LOST, expected_s=1.0, now=9.5)
    assert (decision.action, decision.reason) == ("give-up", "deadline")


def test_budget_is_a_tenth_of_the_requests():
    """Guards against retries that multiply the load of a failing service."""
    budget = retries.RetryBudget()
    retried = 0
    for _ in range(1000):
        budget.record_request("s")
        retried += decide(call(), Failure.LOST, budget=budget).action == "retry"
    assert 95 <= retried <= 101 + retries.BUDGET_START
    assert decide(call(), Failure.LOST, budget=budget).reason == "budget"


def test_attempts_are_limited():
    """Guards against endless retries of one request."""
    attempts = retries.Attempts()
    for name in "abc":
        attempts.record_start(name)
    assert decide(call(), Failure.LOST, attempts).reason == "attempts"


def test_stream_resumes_at_the_first_missing_token():
    """Guards against tokens that are repeated or left out after a resume."""
    progress = retries.StreamProgress()
    assert all(progress.accept(number) for number in range(3))
    assert decide(call(), Failure.INTERRUPTED).action == "resume"
    assert progress.resume_position() == 3
    assert not progress.accept(2)
    with pytest.raises(errors.ProxyError, match="token 4, not 3"):
        progress.accept(4)
    assert progress.accept(3)
    with pytest.raises(errors.ProxyError, match="4 of 5"):
        progress.end(5)
    assert not progress.complete
