"""Seeded schedules of calls with idempotency keys over a simulated log."""

import copy
import random
from typing import Any

from kumquatproxy import wire
from kumquatproxy.configuration import claimcalls, claimrecords, claims

STEP_S = 0.25
STEP_COUNT = 600
KEY_COUNT = 12
LIMITS = claims.Limits(
    keys=40,
    max_result_bytes=200,
    total_result_bytes=4000,
    result_retention_s=20.0,
    fingerprint_retention_s=1000.0,
    fingerprint_span_s=30.0,
)


class Call:
    """One call of a client with its executions and answers."""

    __slots__ = ("answers", "attempt", "claim_call", "execution_count", "key", "owner")

    def __init__(self, attempt, key, owner, claim_call):
        self.attempt: int = attempt
        self.key: str = key
        self.owner: str = owner
        self.claim_call: claimcalls.ClaimCall = claim_call
        self.answers: list = []
        self.execution_count = 0


class ClaimSimulation:
    """Keyed calls during host crashes, leader changes and loss of messages."""

    def __init__(self, seed, call_class=claimcalls.ClaimCall, table_class=None):
        self.rng = random.Random(seed)
        self.call_class = call_class
        self.table = (table_class or claims.ClaimTable)(LIMITS)
        self.calls: list[Call] = []
        self.violations: list[str] = []
        self.dispatch_count = 0
        self._pending_commands: list[tuple[float, Any, Call | None]] = []
        self._pending_answers: list[tuple[float, Call, wire.Message]] = []
        self._running_calls: list[tuple[float, Call]] = []
        self._incarnations = {"h1": 1, "h2": 1, "h3": 1}
        self._clock_offset = 0.0
        self._clock = claims.LeaderClock(0.0, 0.0)

    def run(self) -> list[str]:
        """Run the schedule and return the violations found."""
        for step in range(STEP_COUNT):
            now = step * STEP_S
            self._inject_events(now)
            self._commit_due(now)
            self._deliver_answers(now)
            self._finish_executions(now)
            for call in self.calls:
                if self._is_owner_running(call):
                    self._handle_outputs(call, call.claim_call.tick(now), now)
        self._check()
        return self.violations

    def _inject_events(self, now):
        rng = self.rng
        if rng.random() < 0.3:
            self._begin_call(now)
        if rng.random() < 0.01:  # a new leader, whose monotonic clock differs
            self._clock_offset = rng.uniform(0.0, 1e6)
            self._clock = claims.LeaderClock(self.table.time, now + self._clock_offset)
        host = rng.choice(sorted(self._incarnations))
        draw = rng.random()
        if draw < 0.02:
            incarnation = self._incarnations[host]
            owner_lost = claimrecords.OwnerLost(0.0, host, incarnation)
            self._pending_commands.append(
                (now + rng.uniform(0.0, 3.0), owner_lost, None)
            )
            # In half of the cases the process has restarted; in the others the report
            # is wrong and the process is still running.
            if draw < 0.01:
                self._incarnations[host] += 1

    def _begin_call(self, now):
        host = self.rng.choice(sorted(self._incarnations))
        key = f"k{self.rng.randrange(KEY_COUNT)}"
        attempt = len(self.calls) + 1
        begin = claimrecords.BeginClaim(
            at=0.0,
            attempt=attempt,
            host=host,
            incarnation=self._incarnations[host],
            key=key,
            organisation="o",
            request_digest=key.encode().ljust(claimrecords.DIGEST_BYTES),
            service="s",
        )
        claim_call = self.call_class(begin, deadline=now + 3.0)
        owner = f"{host}/{self._incarnations[host]}"
        self.calls.append(Call(attempt, key, owner, claim_call))

    def _is_owner_running(self, call):
        host, _, incarnation = call.owner.partition("/")
        return self._incarnations[host] == int(incarnation)

    def _handle_outputs(self, call, outputs, now):
        for output in outputs:
            if isinstance(output, claimcalls.Reply):
                call.answers.append(output.answer)
            elif isinstance(output, claimcalls.Dispatch):
                self._dispatch(call, now)
            else:
                for _ in range(self.rng.choices((0, 1, 2), (0.2, 0.7, 0.1))[0]):
                    delay_s = self.rng.choice((0.0, 0.25, 0.5, 4.0))
                    command = copy.copy(output.command)
                    self._pending_commands.append((now + delay_s, command, call))

    def _dispatch(self, call, now):
        self.dispatch_count += 1
        if self.rng.random() < 0.2:  # connection refused, so not executed
            outputs = call.claim_call.record_outcome(
                claimrecords.Outcome.NOT_EXECUTED, 0, [], b"", now
            )
            self._handle_outputs(call, outputs, now)
            return
        call.execution_count += 1
        self._running_calls.append((now + self.rng.choice((0.0, 0.5, 5.0)), call))

    def _finish_executions(self, now):
        for entry in [entry for entry in self._running_calls if entry[0] <= now]:
            self._running_calls.remove(entry)
            call = entry[1]
            if not self._is_owner_running(call):
                continue
            outcome = claimrecords.Outcome.DONE
            if self.rng.random() < 0.2:
                outcome = claimrecords.Outcome.UNKNOWN
            body = str(call.attempt).encode()
            self._handle_outputs(
                call, call.claim_call.record_outcome(outcome, 200, [], body, now), now
            )

    def _commit_due(self, now):
        for entry in [entry for entry in self._pending_commands if entry[0] <= now]:
            self._pending_commands.remove(entry)
            command, call = entry[1], entry[2]
            command.at = self._clock.stamp(now + self._clock_offset)
            answer = self.table.apply(command)
            if call is not None and self.rng.random() < 0.8:
                self._pending_answers.append(
                    (now + self.rng.choice((0.0, 0.5)), call, answer)
                )

    def _deliver_answers(self, now):
        for entry in [entry for entry in self._pending_answers if entry[0] <= now]:
            self._pending_answers.remove(entry)
            call, answer = entry[1], entry[2]
            if not self._is_owner_running(call):
                continue
            if isinstance(answer, claimrecords.ClaimNoted):
                call.claim_call.confirm_outcome()
            else:
                self._handle_outputs(
                    call, call.claim_call.handle_answer(answer, now), now
                )

    def _check(self):
        executed_by_key: dict[str, list[Call]] = {}
        for call in self.calls:
            executed_by_key.setdefault(call.key, []).extend(
                [call] * call.execution_count
            )
            self._check_answers(call)
        for key, executed in executed_by_key.items():
            if len(executed) > 1:
                attempts = [call.attempt for call in executed]
                self.violations.append(
                    f"key {key} was executed by the attempts {attempts}"
                )

    def _check_answers(self, call):
        if len(call.answers) > 1:
            self.violations.append(f"call {call.attempt} was answered twice")
        for answer in call.answers:
            denies_execution = getattr(answer, "executed", "") == "no"
            if denies_execution and call.execution_count:
                text = (
                    f"call {call.attempt} was executed, but its answer {answer.kind} "
                    "says that it was not"
                )
                self.violations.append(text)
            if isinstance(answer, claimrecords.ClaimResult):
                executing_call = self.calls[int(answer.body) - 1]
                if executing_call.key != call.key or not executing_call.execution_count:
                    self.violations.append(
                        f"call {call.attempt} got the result of a call that has "
                        "another key or was not executed"
                    )
