"""Submission of commands to the control group from any control host."""

import itertools

import gevent
import gevent.event

from kumquatproxy import clock, errors, logs, wire
from kumquatproxy.agreement import replication, voterset
from kumquatproxy.fleet import fleetmessages

RETRY_S = 0.1
FORWARD_TIMEOUT_S = 1.0


class Proposer:
    """Commit commands at this host's member if it leads, else at the leader's host."""

    __slots__ = (
        "_host_id",
        "_log",
        "_numbers",
        "_replication",
        "_send",
        "_waiting_by_number",
    )

    def __init__(self, host_id, group_replication, send):
        self._host_id: str = host_id
        self._replication: replication.Replication = group_replication
        self._send = send
        self._log = logs.Log("group")
        self._numbers = itertools.count(1)
        self._waiting_by_number: dict[int, gevent.event.AsyncResult] = {}

    def commit(self, command: wire.Message, timeout_s: float):
        """Commit a command and return its result; raise ProxyError on a timeout.

        Commands of the control group are idempotent, so any failed attempt is repeated
        until the timeout. Then the error of the last attempt is raised.
        """
        deadline = clock.now() + timeout_s
        error = _no_quorum(timeout_s)
        attempts = 0
        while True:
            left_s = deadline - clock.now()
            if left_s <= 0:
                self._write_failure(command, attempts, error)
                raise error
            attempts += 1
            try:
                return self._try_once(command, min(left_s, FORWARD_TIMEOUT_S))
            except errors.ProxyError as attempt_error:
                error = attempt_error
            gevent.sleep(min(RETRY_S, max(0.0, deadline - clock.now())))

    def _write_failure(self, command, attempts, error):
        member = self._replication.member
        self._log.write_limited(
            clock.now(),
            f"commit {command.tag}",
            f"{command.tag} was not committed: {error}",
            attempts=attempts,
            leader=member.leader_id,
            role=member.role.value,
            term=member.term,
            commit_index=member.commit_index,
            last_index=member.state.log.last_index,
            voters=list(member.voter_set.voters),
        )

    def _try_once(self, command, timeout_s):
        member = self._replication.member
        if member.leader_state is not None:
            return self._replication.submit(command, timeout_s)
        if not member.leader_id:
            raise _no_quorum(timeout_s)
        return self._forward(voterset.host_of(member.leader_id), command, timeout_s)

    def _forward(self, leader_host_id, command, timeout_s):
        number = next(self._numbers)
        result = gevent.event.AsyncResult()
        self._waiting_by_number[number] = result
        try:
            self._send(leader_host_id, fleetmessages.FleetCommand(command, number))
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise _no_quorum(timeout_s) from None
        finally:
            del self._waiting_by_number[number]

    def serve(self, sender: str, request: fleetmessages.FleetCommand) -> None:
        """Submit a command of another host and send the outcome back."""
        gevent.spawn(self._serve, sender, request)

    def _serve(self, sender, request):
        answer, code = None, ""
        try:
            answer = self._replication.submit(request.command, FORWARD_TIMEOUT_S)
        except errors.ProxyError as error:
            code = error.kind.value
        message = fleetmessages.FleetCommandAnswer(
            answer=answer, code=code, number=request.number
        )
        self._send(sender, message)

    def handle_answer(self, message: fleetmessages.FleetCommandAnswer) -> None:
        """Handle the outcome of a forwarded command."""
        result = self._waiting_by_number.get(message.number)
        if result is None:
            return
        if message.code:
            kind = errors.ErrorKind(message.code)
            result.set_exception(
                errors.ProxyError(kind, "the leader could not commit the command")
            )
        else:
            result.set(message.answer)


def _no_quorum(timeout_s):
    return errors.ProxyError(
        errors.ErrorKind.NO_QUORUM,
        f"no known leader, or no answer from it within {timeout_s:.1f} s",
    )
