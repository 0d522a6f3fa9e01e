"""Retries: rules, budget and backoff after a failed attempt, and stream resumption."""

import enum

from kumquatproxy import errors, records

BUDGET_SHARE = 0.1  # retries per request of a service
MAX_BUDGET = 10.0  # retries that can accumulate while there are few failures
# A new host starts with a full budget, so that one failed backend server does not fail
# the first requests after a start.
INITIAL_BUDGET = MAX_BUDGET
MAX_ATTEMPTS = 3
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
HEDGE_QUANTILE = 0.95
HEDGE_DELAY_STEP = 0.1


class Failure(enum.Enum):
    """Ways in which an attempt can fail, as far as retries depend on them."""

    NOT_SENT = "not-sent"  # no byte of the request was written
    REFUSED = "refused"  # the server answered that it did not run the request
    LOST = "lost"  # sent, but the connection or answer broke off; it may have run
    TIMEOUT = "timeout"  # sent, and no progress within the timeout
    INTERRUPTED = "interrupted"  # part of a stream was delivered; it can be resumed
    FAILED = "failed"  # the server answered with an error


class RetryRule(records.Record):
    """Actions that are allowed after one kind of failure."""

    __slots__ = ("executed", "kind", "otherwise", "repeatable")

    def __init__(self, repeatable, otherwise, kind, executed):
        self.repeatable: str = repeatable  # action if the request is idempotent
        self.otherwise: str = otherwise  # action if it is not
        self.kind: errors.ErrorKind = kind  # error for the caller if there is no retry
        self.executed: str = executed


_ErrorKind = errors.ErrorKind
RULES = {
    Failure.NOT_SENT: RetryRule("retry", "retry", _ErrorKind.NO_BACKEND_SERVER, "no"),
    Failure.REFUSED: RetryRule("retry", "retry", _ErrorKind.OVERLOADED, "no"),
    Failure.LOST: RetryRule("retry", "give-up", _ErrorKind.BACKEND_FAILED, "unknown"),
    Failure.TIMEOUT: RetryRule(
        "retry", "give-up", _ErrorKind.BACKEND_TIMEOUT, "unknown"
    ),
    Failure.INTERRUPTED: RetryRule(
        "resume", "give-up", _ErrorKind.BACKEND_FAILED, "unknown"
    ),
    Failure.FAILED: RetryRule("retry", "give-up", _ErrorKind.BACKEND_FAILED, "unknown"),
}


class RetryDecision(records.Record):
    """Action to take after a failed attempt.

    ``action`` is ``retry``, ``resume`` or ``give-up``; for ``give-up``, ``kind`` and
    ``executed`` are returned to the caller.
    """

    __slots__ = ("action", "delay_s", "executed", "kind", "reason")

    def __init__(self, action, reason, delay_s=0.0, kind=None, executed="unknown"):
        self.action: str = action
        self.reason: str = reason
        self.delay_s: float = delay_s
        self.kind: errors.ErrorKind | None = kind
        self.executed: str = executed


class RetryBudget:
    """Token buckets that limit the retries of a service to a share of its requests."""

    __slots__ = ("_tokens_by_service", "share")

    def __init__(self, share=BUDGET_SHARE):
        self.share: float = share
        self._tokens_by_service: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Add the share of one request to the budget; call this once per request."""
        tokens = self._tokens_by_service.get(service, INITIAL_BUDGET)
        self._tokens_by_service[service] = min(tokens + self.share, MAX_BUDGET)

    def allows_retry(self, service: str) -> bool:
        """Return whether the service has budget for a retry."""
        # The tolerance makes ten additions of 0.1 add up to one retry.
        return self._tokens_by_service.get(service, INITIAL_BUDGET) >= 1.0 - 1e-9

    def spend(self, service: str) -> None:
        """Remove one retry from the budget."""
        tokens = self._tokens_by_service.get(service, INITIAL_BUDGET)
        self._tokens_by_service[service] = tokens - 1.0


class AttemptHistory:
    """Number and servers of the attempts made so far for one request."""

    __slots__ = ("count", "executed", "tried_ids")

    def __init__(self):
        self.count: int = 0
        self.executed: str = "no"  # whether any attempt so far may have run
        self.tried_ids: set[str] = set()

    def record_start(self, backend_id: str) -> None:
        """Record that the request is being sent to a backend server."""
        self.count += 1
        self.tried_ids.add(backend_id)


def decide(request, failure, history, budget, min_attempt_s, now, rng) -> RetryDecision:
    """Decide what follows a failed attempt, and charge a retry to the budget.

    ``min_attempt_s`` is the least time that another attempt needs to be useful, such as
    its predicted time to first token, or 0 if that is unknown. If it would end after
    the deadline, the request fails at once.
    """
    rule = RULES[failure]
    if rule.executed != "no":
        history.executed = "unknown"
    delay_s = _backoff_s(failure, history.count, rng)
    earliest_useful_at = now + delay_s + min_attempt_s
    reason = reason_to_give_up(request, failure, history, budget, earliest_useful_at)
    if reason is not None:
        return RetryDecision("give-up", reason, 0.0, rule.kind, history.executed)
    budget.spend(request.service)
    return RetryDecision(_action(request, rule), failure.value, delay_s)


def reason_to_give_up(
    request, failure, history, budget, earliest_useful_at
) -> str | None:
    """Return the reason against another attempt, or None if it is allowed.

    ``earliest_useful_at`` is the earliest time at which that attempt can be useful.
    """
    rule = RULES[failure]
    if _action(request, rule) == "give-up":
        return "not-repeatable"
    executed = history.executed if rule.executed == "no" else rule.executed
    if not request.idempotent and executed != "no":
        return "may-have-run"
    if history.count >= MAX_ATTEMPTS:
        return "attempts"
    if earliest_useful_at > request.deadline:
        return "deadline"
    if not budget.allows_retry(request.service):
        return "budget"
    return None


def _action(request, rule):
    return rule.repeatable if request.idempotent else rule.otherwise


def _backoff_s(failure, attempt_count, rng):
    # The retry usually goes to another server, so the delay only spreads simultaneous
    # retries.
    if failure is Failure.INTERRUPTED:
        return 0.0
    return rng.random() * min(
        INITIAL_BACKOFF_S * 2.0 ** (attempt_count - 1), MAX_BACKOFF_S
    )


class HedgeDelay:
    """Learned delay without a first token after which a request is hedged.

    The delay is the 0.95 quantile of the time to first token by service and priority,
    so that about one request in 20 is hedged. The retry budget also limits hedging.
    """

    __slots__ = ("_delay_by_key",)

    def __init__(self):
        self._delay_by_key: dict[tuple[str, int], float] = {}

    def observe(self, request, first_token_s: float) -> None:
        """Update the delay with the time to first token of one request."""
        key = (request.service, request.priority)
        delay_s = self._delay_by_key.get(key, max(first_token_s, 0.01) * 2.0)
        is_late = first_token_s > delay_s
        delay_s *= 1.0 + HEDGE_DELAY_STEP * (
            HEDGE_QUANTILE if is_late else HEDGE_QUANTILE - 1.0
        )
        self._delay_by_key[key] = delay_s

    def delay_s(self, request) -> float | None:
        """Return the delay before a second attempt, or None if there is to be none."""
        if not request.idempotent:
            return None
        return self._delay_by_key.get((request.service, request.priority))


class StreamProgress:
    """Progress of one token stream over several attempts.

    Tokens are numbered from 0. For callers that know the numbers, repeated tokens are
    recognised, and a gap in the numbers is an error.
    """

    __slots__ = ("complete", "delivered")

    def __init__(self):
        self.delivered: int = 0
        self.complete: bool = False

    def resume_position(self) -> int:
        """Return the number of the next token to deliver."""
        return self.delivered

    def accept(self, number: int) -> bool:
        """Return whether to deliver a token; raise ProxyError for a gap."""
        if number < self.delivered:
            return False
        if number > self.delivered or self.complete:
            raise errors.ProxyError(
                errors.ErrorKind.BACKEND_FAILED,
                f"the stream continued at token {number}, not {self.delivered}",
            )
        self.delivered += 1
        return True

    def end(self, total: int | None = None) -> None:
        """Mark the stream as complete; raise ProxyError if tokens are missing."""
        if total is not None and total != self.delivered:
            raise errors.ProxyError(
                errors.ErrorKind.BACKEND_FAILED,
                f"the stream ended after {self.delivered} of {total} tokens",
            )
        self.complete = True
