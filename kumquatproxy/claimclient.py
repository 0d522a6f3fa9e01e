"""Run a keyed call at most once: claim, dispatch, keep the result."""

import hashlib
import itertools

from kumquatproxy import (
    claimmessages,
    claimrecords,
    drivers,
    errors,
    logs,
    records,
    tasks,
)

BEGIN_TIMEOUT_S = 4.0
FINISH_TIMEOUT_S = 0.5  # the caller's answer waits no longer for the kept result


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest by which a resent request is recognised."""
    digest = hashlib.blake2b(digest_size=claimrecords.DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class ClaimClient:
    """Hold the claims of one entry host's calls in flight."""

    __slots__ = ("_attempts", "_control", "_log")

    def __init__(self, control_task):
        self._control: tasks.Task = control_task
        self._attempts = itertools.count(1)
        self._log = logs.Log("claim")

    def call_once(self, call: records.CallRequest, digest: bytes, send):
        """Return the reply of ``send`` or the kept reply; raise ProxyError."""
        key = claimmessages.ClaimKey(call.organisation, call.service, call.key, digest)
        attempt = next(self._attempts)
        answer = self._begin(key, attempt)
        if isinstance(answer, claimrecords.ClaimResult):
            headers = [(name, value) for name, value in answer.headers]
            return drivers.BackendReply(answer.status, headers, answer.body)
        if isinstance(answer, claimrecords.ClaimRefused):
            kind = errors.ErrorKind(answer.kind)
            detail = f"Idempotency-Key {call.key!r}: {errors.ANSWERS[kind].title}"
            raise errors.ProxyError(kind, detail, executed=answer.executed)
        return self._dispatch(key, attempt, send)

    def _begin(self, key, attempt):
        try:
            return self._control.ask(
                claimmessages.BeginClaim(key, attempt), BEGIN_TIMEOUT_S
            )
        except errors.ProxyError as error:
            # An earlier request with this key may have run, so the answer is not a
            # certain "no". The claim may still be committed; free its key.
            self._finish(key, attempt, claimrecords.Outcome.NOT_EXECUTED, wait=False)
            raise errors.ProxyError(
                errors.ErrorKind.NO_QUORUM, error.detail, executed="unknown"
            ) from None

    def _dispatch(self, key, attempt, send):
        outcome = claimrecords.Outcome.UNKNOWN
        try:
            reply = send()
        except errors.ProxyError as error:
            if error.executed == "no":
                outcome = claimrecords.Outcome.NOT_EXECUTED
            self._finish(key, attempt, outcome)
            raise
        except BaseException:
            self._finish(key, attempt, outcome, wait=False)
            raise
        self._finish(key, attempt, claimrecords.Outcome.DONE, reply)
        return reply

    def _finish(self, key, attempt, outcome, reply=None, wait=True):
        message = claimmessages.FinishClaim(key, attempt, outcome)
        if reply is not None:
            message.status = reply.status
            message.headers = reply.headers
            message.body = reply.body
        if not wait:
            self._control.tell(message)
            return
        try:
            self._control.ask(message, FINISH_TIMEOUT_S)
        except errors.ProxyError as error:
            # The proposal goes on in the control task; only the wait ends here.
            now = tasks.time.monotonic()
            self._log.write_limited(now, "finish", f"result not yet kept: {error}")
