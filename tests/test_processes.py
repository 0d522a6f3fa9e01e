"""Whole hosts as processes that are killed, paused and ended."""

import collections
import random

import gevent
import processes
import pytest

SEED = 1
MODELS = {
    processes.CHECKING: ["alpha", "beta"],
    processes.IGNORING: ["gamma", "delta"],
}


@pytest.fixture(scope="module")
def running():
    one = processes.ProcessSystem(SEED)
    try:
        one.start()
        one.submit_until_accepted(processes.sheet_text(MODELS, min_places=2))
        one.wait_until_all_placed()
        yield one
    finally:
        one.stop()


@pytest.fixture
def system(running):
    running.heal()
    yield running
    overcommitted = running.overcommitted()
    assert overcommitted == []


class ActionCall:
    """Hold one call of a keyed action and what was executed when it was answered."""

    def __init__(self, action, host_id, answer, executions):
        self.action = action
        self.host_id = host_id
        self.answer = answer
        self.executions = executions  # of this action, when the answer arrived

    def __repr__(self):
        return f"{self.action} at {self.host_id}: {self.answer} ({self.executions})"


def faults_of_actions(calls, executions_by_action):
    """Return what breaks the promises for keyed actions in a history of calls."""
    faults = [
        f"{action} was executed {count} times"
        for action, count in executions_by_action.items()
        if count > 1
    ]
    calls_by_action = collections.defaultdict(list)
    for call in calls:
        calls_by_action[call.action].append(call)
        if call.answer.executed == "no" and call.executions:
            faults.append(f"'no' after an execution: {call}")
        if call.answer.status == 200 and call.executions != 1:
            faults.append(f"an answer without an execution: {call}")
    for action, own in calls_by_action.items():
        bodies = {call.answer.body for call in own if call.answer.status == 200}
        if len(bodies) > 1:
            faults.append(f"{action} has different answers: {own}")
        if {call.answer.executed for call in own} == {"no"}:
            if executions_by_action[action]:
                faults.append(f"{action} ran though each answer says 'no': {own}")
    return faults


class ActionCaller:
    """Send keyed actions, and send them again through other hosts."""

    def __init__(self, system, seed):
        self.calls: list[ActionCall] = []
        self._system = system
        self._rng = random.Random(seed)

    def executions_by_action(self):
        return collections.Counter(
            body
            for plain in self._system.plain_by_id.values()
            for method, _, body in plain.executions
            if method == "POST"
        )

    def call(self, service, action, host_id):
        address = self._system.callers_address(host_id)
        path = f"/services/{service}/reserve"
        headers = {"Idempotency-Key": f"key-{action}"}
        answer = processes.send(address, "POST", path, action, headers)
        done = self.executions_by_action()[f'"{action}"']
        self.calls.append(ActionCall(f'"{action}"', host_id, answer, done))
        return answer

    def act(self, index, service, resends):
        """Send an action until it has an answer, at most ``resends`` times more."""
        action = f"{service}-{index}"
        hosts = list(processes.HOSTS)
        self._rng.shuffle(hosts)
        if index % 3 == 0:
            # Two copies at once: a caller whose first connection seems dead.
            copy = gevent.spawn(self.call, service, action, hosts[1])
            self.call(service, action, hosts[0])
            copy.join()
        for number in range(resends + 1):
            answer = self.call(service, action, hosts[number % len(hosts)])
            if answer.status == 200:
                break
            gevent.sleep(0.2)
        # The resend after the answer must get the same one.
        self.call(service, action, hosts[-1])


def test_keyed_actions_run_at_most_once_while_the_leader_is_killed(system):
    # Guards against a second execution after a lost answer, a lost claim or an
    # election, and against "executed: no" for an action that ran.
    caller = ActionCaller(system, SEED)
    leader = system.wait_for_name(system.leader)
    work = []
    for index in range(60):
        service = processes.SECOND_PLAIN if index % 4 == 3 else processes.PLAIN
        resends = 0 if index % 5 == 4 else 8
        work.append(
            gevent.spawn_later(index * 0.05, caller.act, index, service, resends)
        )
    system.wait_until(lambda: len(caller.calls) > 15, "calls before the kill")
    system.kill_host(leader)
    system.wait_until(lambda: len(caller.calls) > 60, "calls after the kill")
    # Its only server goes, so that calls are refused with executed "no".
    system.plain_by_id[f"{processes.SECOND_PLAIN}-0"].stop()
    gevent.joinall(work, raise_error=True)
    executions = caller.executions_by_action()
    assert faults_of_actions(caller.calls, executions) == []
    executed = collections.Counter(call.answer.executed for call in caller.calls)
    print(f"actions: {len(executions)} executed, answers {dict(executed)}")
    assert executions and executed["no"] and executed[""]


def test_the_check_of_keyed_actions_finds_broken_promises():
    # Guards against a check that cannot fail.
    said_no = processes.Answer(503, b'{"executed": "no"}')
    done = processes.Answer(200, b"1")
    other = processes.Answer(200, b"2")
    for calls, count in (
        ([ActionCall("a", "host-1", done, 1)], 2),
        ([ActionCall("a", "host-1", said_no, 1)], 1),
        ([ActionCall("a", "host-1", said_no, 0)], 1),
        ([ActionCall("a", "host-1", done, 0)], 0),
        ([ActionCall("a", "host-1", one, 1) for one in (done, other)], 1),
    ):
        assert faults_of_actions(calls, collections.Counter({"a": count}))
    calls = [ActionCall("a", "host-1", done, 1)]
    assert faults_of_actions(calls, collections.Counter({"a": 1})) == []
