"""Tests of retries: only safe ones, within the deadline and the retry budget."""

import random

import pytest

from kumquatproxy import errors, records
from kumquatproxy.requests import retries

Failure = retries.Failure


def call(idempotent=True, deadline=10.0):
    return records.CallRequest("r", "o", "s", idempotent=idempotent, deadline=deadline)


def decide(request, failure, history=None, budget=None, min_attempt_s=0.1, now=0.0):
    if history is None:
        history = retries.AttemptHistory()
        history.record_start("a")
    budget = budget or retries.RetryBudget()
    rng = random.Random(1)
    return retries.decide(request, failure, history, budget, min_attempt_s, now, rng)


def test_every_failure_has_a_retry_rule():
    """Guards against a failure without a rule, which would raise KeyError."""
    assert set(retries.RULES) == set(Failure)


@pytest.mark.parametrize("failure", list(Failure))
def test_non_idempotent_request_is_retried_only_if_it_was_not_executed(failure):
    """Guards against executing a non-idempotent action twice."""
    decision = decide(call(idempotent=False), failure)
    was_not_executed = failure in (Failure.NOT_SENT, Failure.REFUSED)
    assert (decision.action == "retry") == was_not_executed
    if not was_not_executed:
        assert decision.executed == "unknown"


def test_executed_stays_unknown_after_an_attempt_that_may_have_run():
    """Guards against ``executed: no`` after an attempt that may have run."""
    history = retries.AttemptHistory()
    history.record_start("a")
    assert decide(call(), Failure.LOST, history).action == "retry"
    history.record_start("b")
    decision = decide(call(deadline=0.05), Failure.NOT_SENT, history)
    assert (decision.action, decision.executed) == ("give-up", "unknown")
    non_idempotent = decide(call(idempotent=False), Failure.NOT_SENT, history)
    assert (non_idempotent.action, non_idempotent.reason) == ("give-up", "may-have-run")


def test_no_retry_that_would_end_after_the_deadline():
    """Guards against a request that continues past its deadline."""
    decision = decide(call(deadline=10.0), Failure.LOST, min_attempt_s=1.0, now=9.5)
    assert (decision.action, decision.reason) == ("give-up", "deadline")


def test_retry_budget_is_a_tenth_of_the_requests():
    """Guards against retries that multiply the load of a failing service."""
    budget = retries.RetryBudget()
    retry_count = 0
    for _ in range(1000):
        budget.record_request("s")
        retry_count += decide(call(), Failure.LOST, budget=budget).action == "retry"
    assert 95 <= retry_count <= 101 + retries.INITIAL_BUDGET
    assert decide(call(), Failure.LOST, budget=budget).reason == "budget"


def test_number_of_attempts_is_limited():
    """Guards against endless retries of one request."""
    history = retries.AttemptHistory()
    for name in "abc":
        history.record_start(name)
    assert decide(call(), Failure.LOST, history).reason == "attempts"


def test_stream_resumes_at_the_first_missing_token():
    """Guards against tokens that are repeated or omitted after a resumption."""
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
