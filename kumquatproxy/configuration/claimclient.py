"""Run a keyed call at most once: the edge of ``claimcalls`` on an entry host."""

import hashlib
import itertools
from collections.abc import Callable

from kumquatproxy import clock, errors, logs, records, tasks
from kumquatproxy.configuration import claimcalls, claimmessages, claimrecords
from kumquatproxy.requests import drivers

BEGIN_TIMEOUT_S = 3.0
FINISH_TIMEOUT_S = 0.5  # the caller's answer waits no longer for the kept result

Outcome = claimrecords.Outcome


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest by which a resent request is recognised."""
    digest = hashlib.blake2b(digest_size=claimrecords.DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class ClaimClient:
    """Hold the claims of one entry host's calls in flight."""

    __slots__ = ("_attempts", "_control", "_host_id", "_incarnation", "_log")

    def __init__(self, control_task, host_id, incarnation):
        self._control: tasks.Task = control_task
        self._host_id: str = host_id
        self._incarnation: Callable[[], int] = incarnation
        self._attempts = itertools.count(1)
        self._log = logs.Log("claim")

    def call_once(self, call: records.CallRequest, digest: bytes, send):
        """Return the reply of ``send`` or the kept reply; raise ProxyError."""
        begin = self._begin_command(call, digest)
        claim = claimcalls.ClaimCall(begin, clock.now() + BEGIN_TIMEOUT_S)
        answer = self._propose(begin, BEGIN_TIMEOUT_S)
        if answer is None:
            return self._give_up(claim, call)
        for output in claim.handle_answer(answer, clock.now()):
            if isinstance(output, claimcalls.Dispatch):
                return self._dispatch(claim, send)
            if isinstance(output, claimcalls.Reply):
                return _reply_of(output.answer, call)
        return self._give_up(claim, call)

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
        """Return the committed answer, or None if it did not come in time."""
        message = claimmessages.ProposeClaim(command, timeout_s)
        try:
            return self._control.ask(message, timeout_s + tasks.TICK_INTERVAL_S * 2)
        except errors.ProxyError as error:
            now = clock.now()
            self._log.write_limited(now, "propose", f"{command.tag} failed: {error}")
            return None

    def _give_up(self, claim, call):
        """Free the key in case the claim is still committed, and refuse the call."""
        for output in claim.tick(clock.now() + BEGIN_TIMEOUT_S):
            if isinstance(output, claimcalls.Propose):
                self._tell(output.command)
        # This call was not dispatched, but an earlier one with its key may have been.
        raise errors.ProxyError(
            errors.ErrorKind.NO_QUORUM,
            f"Idempotency-Key {call.key!r} cannot be claimed at present",
            executed="unknown",
        )

    def _dispatch(self, claim, send):
        try:
            reply = send()
        except errors.ProxyError as error:
            is_certain = error.executed == "no"
            outcome = Outcome.NOT_EXECUTED if is_certain else Outcome.UNKNOWN
            self._end(claim, outcome)
            raise
        except BaseException:
            self._end(claim, Outcome.UNKNOWN, wait=False)
            raise
        self._end(claim, Outcome.DONE, reply)
        return reply

    def _end(self, claim, outcome, reply=None, wait=True):
        headers = [list(pair) for pair in reply.headers] if reply else []
        status, body = (reply.status, reply.body) if reply else (0, b"")
        now = clock.now()
        for output in claim.record_outcome(outcome, status, headers, body, now):
            if not isinstance(output, claimcalls.Propose):
                continue
            if wait:
                self._propose_finish(claim, output.command)
            else:
                self._tell(output.command)

    def _propose_finish(self, claim, command):
        """Wait a little for the result to be kept; the control task repeats it."""
        message = claimmessages.ProposeClaim(command)
        try:
            self._control.ask(message, FINISH_TIMEOUT_S)
            claim.confirm_outcome()
        except errors.ProxyError as error:
            now = clock.now()
            self._log.write_limited(now, "finish", f"result not yet kept: {error}")

    def _tell(self, command):
        self._control.tell(claimmessages.ProposeClaim(command))


def _reply_of(answer, call):
    if isinstance(answer, claimrecords.ClaimResult):
        headers = [(name, value) for name, value in answer.headers]
        return drivers.BackendReply(answer.status, headers, answer.body)
    kind = errors.ErrorKind(answer.kind)
    detail = f"Idempotency-Key {call.key!r}: {errors.ANSWERS[kind].title}"
    raise errors.ProxyError(kind, detail, executed=answer.executed)
