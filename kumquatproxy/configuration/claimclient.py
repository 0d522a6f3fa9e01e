"""Execute calls with an idempotency key at most once.

On an entry host, this carries out the actions that ``claimcalls`` returns.
"""

import hashlib
import itertools
from collections.abc import Callable

from kumquatproxy import clock, errors, logs, records, tasks
from kumquatproxy.configuration import claimcalls, claimmessages, claimrecords
from kumquatproxy.requests import drivers

BEGIN_TIMEOUT_S = 3.0
FINISH_WAIT_S = 0.5  # limits how long the caller waits for the outcome to be recorded

Outcome = claimrecords.Outcome


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that tells a repeated request from a different one."""
    digest = hashlib.blake2b(digest_size=claimrecords.DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class ClaimClient:
    """Claim keys and record outcomes for the calls of one entry host."""

    __slots__ = ("_attempts", "_control_task", "_host_id", "_incarnation", "_log")

    def __init__(self, control_task, host_id, incarnation):
        self._control_task: tasks.Task = control_task
        self._host_id: str = host_id
        self._incarnation: Callable[[], int] = incarnation
        self._attempts = itertools.count(1)
        self._log = logs.Log("claim")

    def call_once(self, call: records.CallRequest, digest: bytes, send):
        """Execute the call with ``send``, or return the stored reply of an earlier one.

        Raise ProxyError if neither is possible.
        """
        begin_command = self._begin_command(call, digest)
        claim = claimcalls.ClaimCall(begin_command, clock.now() + BEGIN_TIMEOUT_S)
        answer = self._propose(begin_command, BEGIN_TIMEOUT_S)
        if answer is None:
            return self._refuse_unclaimed(claim, call)
        for output in claim.handle_answer(answer, clock.now()):
            if isinstance(output, claimcalls.Dispatch):
                return self._dispatch(claim, send)
            if isinstance(output, claimcalls.Reply):
                return _to_reply(output.answer, call)
        return self._refuse_unclaimed(claim, call)

    def _begin_command(self, call, digest):
        return claimrecords.BeginClaim(
            at=0.0,
            attempt=next(self._attempts),
            host=self._host_id,
            incarnation=self._incarnation(),
            key=call.key,
            organisation=call.organisation,
            request_digest=digest,
            service=call.service,
        )

    def _propose(self, command, timeout_s):
        """Return the committed answer, or None on a timeout or another error."""
        message = claimmessages.ProposeClaim(command, timeout_s)
        try:
            return self._control_task.ask(
                message, timeout_s + tasks.TICK_INTERVAL_S * 2
            )
        except errors.ProxyError as error:
            now = clock.now()
            self._log.write_limited(
                now, "propose", f"proposal of {command.tag} failed: {error}"
            )
            return None

    def _refuse_unclaimed(self, claim, call):
        """Refuse the call, and release the key in case the claim is committed later."""
        # A time after the deadline makes the call refuse itself; the error below takes
        # the place of its reply.
        for output in claim.tick(clock.now() + BEGIN_TIMEOUT_S):
            if isinstance(output, claimcalls.Propose):
                self._propose_without_waiting(output.command)
        # This call was not dispatched, but an earlier one with its key may have been.
        raise errors.ProxyError(
            errors.ErrorKind.NO_QUORUM,
            f"Idempotency-Key {call.key!r}: the key could not be reserved; "
            "this request was not sent",
            executed="unknown",
        )

    def _dispatch(self, claim, send):
        try:
            reply = send()
        except errors.ProxyError as error:
            is_not_executed = error.executed == "no"
            outcome = Outcome.NOT_EXECUTED if is_not_executed else Outcome.UNKNOWN
            self._record_outcome(claim, outcome)
            raise
        except BaseException:
            self._record_outcome(claim, Outcome.UNKNOWN, wait=False)
            raise
        self._record_outcome(claim, Outcome.DONE, reply)
        return reply

    def _record_outcome(self, claim, outcome, reply=None, wait=True):
        headers = [list(pair) for pair in reply.headers] if reply else []
        status, body = (reply.status, reply.body) if reply else (0, b"")
        now = clock.now()
        for output in claim.record_outcome(outcome, status, headers, body, now):
            if not isinstance(output, claimcalls.Propose):
                continue
            if wait:
                self._propose_finish(claim, output.command)
            else:
                self._propose_without_waiting(output.command)

    def _propose_finish(self, claim, command):
        """Wait briefly for the outcome to be recorded; the control task retries."""
        message = claimmessages.ProposeClaim(command)
        try:
            self._control_task.ask(message, FINISH_WAIT_S)
            claim.confirm_outcome()
        except errors.ProxyError as error:
            now = clock.now()
            self._log.write_limited(now, "finish", f"outcome not recorded yet: {error}")

    def _propose_without_waiting(self, command):
        self._control_task.tell(claimmessages.ProposeClaim(command))


def _to_reply(answer, call):
    if isinstance(answer, claimrecords.ClaimResult):
        headers = [(name, value) for name, value in answer.headers]
        return drivers.BackendReply(answer.status, headers, answer.body)
    kind = errors.ErrorKind(answer.kind)
    detail = f"Idempotency-Key {call.key!r}: {errors.ANSWERS[kind].title}"
    raise errors.ProxyError(kind, detail, executed=answer.executed)
