"""Whether, when and where a failed request is sent again."""

import enum

from kumquatproxy import errors, records

BUDGET_SHARE = 0.1  # retries per request of a service
BUDGET_CAP = 10.0  # retries that a quiet period can save up
# A new host starts with a full budget: the first requests after a start must not be
# lost to one dead backend server.
BUDGET_START = BUDGET_CAP
MAX_ATTEMPTS = 3
FIRST_DELAY_S = 0.05
MAX_DELAY_S = 1.0
HEDGE_QUANTILE = 0.95
HEDGE_STEP = 0.1


class Failure(enum.Enum):
    """Name how an attempt ended, as far as it matters for a retry."""

    NOT_SENT = "not-sent"  # no byte of the request was written
    REFUSED = "refused"  # the server answered that it did not run the request
    LOST = "lost"  # sent, and no answer; it may have run
    TIMEOUT = "timeout"  # sent, and no progress before the progress deadline
    INTERRUPTED = "interrupted"  # part of a stream arrived and can be resumed
    FAILED = "failed"  # the server answered with an error of its own


class Rule(records.Record):
    """Hold what may be done after one kind of failure."""

    __slots__ = ("executed", "kind", "otherwise", "repeatable")

    def __init__(self, repeatable, otherwise, kind, executed):
        self.repeatable: str = repeatable  # action for an idempotent request
        self.otherwise: str = otherwise  # action for any other request
        self.kind: errors.ErrorKind = kind  # what the caller is told without a retry
        self.executed: str = executed


_KINDS = errors.ErrorKind
RULES = {
    Failure.NOT_SENT: Rule("retry", "retry", _KINDS.NO_BACKEND_SERVER, "no"),
    Failure.REFUSED: Rule("retry", "retry", _KINDS.OVERLOADED, "no"),
    Failure.LOST: Rule("retry", "give-up", _KINDS.BACKEND_FAILED, "unknown"),
    Failure.TIMEOUT: Rule("retry", "give-up", _KINDS.BACKEND_TIMEOUT, "unknown"),
    Failure.INTERRUPTED: Rule("resume", "give-up", _KINDS.BACKEND_FAILED, "unknown"),
    Failure.FAILED: Rule("retry", "give-up", _KINDS.BACKEND_FAILED, "unknown"),
}


class RetryDecision(records.Record):
    """Tell what to do after a failed attempt.

    ``action`` is ``retry``, ``resume`` or ``give-up``; with ``give-up`` the caller
    gets ``kind`` and ``executed``.
    """

    __slots__ = ("action", "delay_s", "executed", "kind", "reason")

    def __init__(self, action, reason, delay_s=0.0, kind=None, executed="unknown"):
        self.action: str = action
        self.reason: str = reason
        self.delay_s: float = delay_s
        self.kind: errors.ErrorKind | None = kind
        self.executed: str = executed


class RetryBudget:
    """Limit the retries of each service to a share of its requests."""

    __slots__ = ("_tokens_by_service", "share")

    def __init__(self, share=BUDGET_SHARE):
        self.share: float = share
        self._tokens_by_service: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Note a first attempt; call this once for each request."""
        tokens = self._tokens_by_service.get(service, BUDGET_START)
        self._tokens_by_service[service] = min(tokens + self.share, BUDGET_CAP)

    def available(self, service: str) -> bool:
        """Return whether the service may send one more retry."""
        # The tolerance makes ten additions of a tenth worth one retry.
        return self._tokens_by_service.get(service, BUDGET_START) >= 1.0 - 1e-9

    def spend(self, service: str) -> None:
        """Take one retry from the budget."""
        tokens = self._tokens_by_service.get(service, BUDGET_START)
        self._tokens_by_service[service] = tokens - 1.0


class Attempts:
    """Remember the attempts of one request."""

    __slots__ = ("count", "executed", "tried_ids")

    def __init__(self):
        self.count: int = 0
        self.executed: str = "no"  # whether any attempt so far may have run
        self.tried_ids: set[str] = set()

    def record_start(self, backend_id: str) -> None:
        """Note that the request is being sent to a backend server."""
        self.count += 1
        self.tried_ids.add(backend_id)


def decide(request, failure, attempts, budget, expected_s, now, rng) -> RetryDecision:
    """Decide after a failed attempt; a retry is taken from the budget.

    ``expected_s`` is the predicted time of another attempt. A retry that could not
    end by the deadline is not made, and the caller is told at once.
    """
    rule = RULES[failure]
    if rule.executed != "no":
        attempts.executed = "unknown"
    delay_s = _delay_s(failure, attempts.count, rng)
    ends_at = now + delay_s + expected_s
    reason = reason_to_give_up(request, failure, attempts, budget, ends_at)
    if reason is not None:
        return RetryDecision("give-up", reason, 0.0, rule.kind, attempts.executed)
    budget.spend(request.service)
    return RetryDecision(_action(request, rule), failure.value, delay_s)


def reason_to_give_up(request, failure, attempts, budget, ends_at) -> str | None:
    """Return why no attempt may follow a failure; None if one may.

    ``ends_at`` is the predicted end of that attempt.
    """
    rule = RULES[failure]
    if _action(request, rule) == "give-up":
        return "not-repeatable"
    executed = attempts.executed if rule.executed == "no" else rule.executed
    if not request.idempotent and executed != "no":
        return "may-have-run"
    if attempts.count >= MAX_ATTEMPTS:
        return "attempts"
    if ends_at > request.deadline:
        return "deadline"
    if not budget.available(request.service):
        return "budget"
    return None


def _action(request, rule):
    return rule.repeatable if request.idempotent else rule.otherwise


def _delay_s(failure, attempt, rng):
    # Another server is tried, so the wait only spreads simultaneous retries.
    if failure is Failure.INTERRUPTED:
        return 0.0
    return rng.random() * min(FIRST_DELAY_S * 2.0 ** (attempt - 1), MAX_DELAY_S)


class HedgeDelay:
    """Learn after which time without a first token a second attempt is worth it.

    This is the 0.95 quantile of the time to first token by service and priority, so
    that about one request in twenty is sent twice; the retry budget limits it.
    """

    __slots__ = ("_delay_by_key",)

    def __init__(self):
        self._delay_by_key: dict[tuple[str, int], float] = {}

    def observe(self, request, first_token_s: float) -> None:
        """Take in the time to first token of one request."""
        key = (request.service, request.priority)
        delay_s = self._delay_by_key.get(key, max(first_token_s, 0.01) * 2.0)
        late = first_token_s > delay_s
        delay_s *= 1.0 + HEDGE_STEP * (HEDGE_QUANTILE if late else HEDGE_QUANTILE - 1.0)
        self._delay_by_key[key] = delay_s

    def delay_s(self, request) -> float | None:
        """Return the delay of the second attempt, or None for none."""
        if not request.idempotent:
            return None
        return self._delay_by_key.get((request.service, request.priority))


class StreamProgress:
    """Follow the tokens of one stream over several attempts.

    Tokens are numbered from 0. After a resume the engine may repeat tokens that the
    caller already has; a missing token must never be passed over.
    """

    __slots__ = ("complete", "delivered")

    def __init__(self):
        self.delivered: int = 0
        self.complete: bool = False

    def resume_position(self) -> int:
        """Return the number of the next token that the caller lacks."""
        return self.delivered

    def accept(self, number: int) -> bool:
        """Return whether to deliver a token; raise ProxyError for a missing one."""
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
        """Note the engine's end mark; raise ProxyError if tokens are missing."""
        if total is not None and total != self.delivered:
            raise errors.ProxyError(
                errors.ErrorKind.BACKEND_FAILED,
                f"the stream ended after {self.delivered} of {total} tokens",
            )
        self.complete = True
