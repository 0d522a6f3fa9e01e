"""Hosts as processes that are killed, paused and stopped.

Guards against guarantees that fail when a host fails: actions that run twice, lost
configurations, interrupted streams, and orders of a former placement owner.
"""

import collections
import json
import random

import gevent
import gevent.socket
import processes
import pytest

from kumquatproxy import host
from kumquatproxy.agreement import voterset
from kumquatproxy.laboratory import demo, demosystem, fakes

SEED = 1
MODELS = {
    processes.FENCING_SERVICE: ["alpha", "beta"],
    processes.NON_FENCING_SERVICE: ["gamma", "delta"],
}


@pytest.fixture(scope="module")
def running():
    system = processes.ProcessSystem(SEED)
    try:
        system.start()
        text = processes.sheet_text(MODELS, min_places=2)
        system.wait_until_all_placed(system.submit_until_accepted(text)["version"])
        yield system
    finally:
        system.stop()


@pytest.fixture
def system(running):
    running.restore_hosts()
    yield running
    overcommitted = running.overcommitted_engine_ids()
    assert overcommitted == []


class ActionCall:
    """Hold one call of an action with an idempotency key, and its executions so far."""

    def __init__(self, action, host_id, answer, executions):
        self.action = action
        self.host_id = host_id
        self.answer = answer
        self.executions = executions  # count for this action when the answer arrived

    def __repr__(self):
        return f"{self.action} at {self.host_id}: {self.answer} ({self.executions})"


def at_most_once_violations(calls, executions_by_action):
    """Return the violations of at-most-once execution in a history of calls."""
    violations = [
        f"{action} was executed {count} times"
        for action, count in executions_by_action.items()
        if count > 1
    ]
    calls_by_action = collections.defaultdict(list)
    for call in calls:
        calls_by_action[call.action].append(call)
        if call.answer.executed == "no" and call.executions:
            violations.append(f"answered executed 'no' after an execution: {call}")
        if call.answer.status == 200 and call.executions != 1:
            violations.append(f"an answer without exactly one execution: {call}")
    for action, action_calls in calls_by_action.items():
        bodies = {
            call.answer.body for call in action_calls if call.answer.status == 200
        }
        if len(bodies) > 1:
            violations.append(f"{action} has different answers: {action_calls}")
        if {call.answer.executed for call in action_calls} == {"no"}:
            if executions_by_action[action]:
                violations.append(
                    f"{action} ran though each answer says 'no': {action_calls}"
                )
    return violations


class ActionCaller:
    """Send actions with idempotency keys and resend them through other hosts."""

    def __init__(self, system, seed):
        self.calls: list[ActionCall] = []
        self._system = system
        self._rng = random.Random(seed)

    def executions_by_action(self):
        return collections.Counter(
            body
            for plain in self._system.plain_servers_by_id.values()
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
        """Send an action until it succeeds, with at most ``resends`` resends."""
        action = f"{service}-{index}"
        hosts = list(processes.HOSTS)
        self._rng.shuffle(hosts)
        if index % 3 == 0:
            # Two copies at once, as from a caller whose first connection seems dead.
            copy = gevent.spawn(self.call, service, action, hosts[1])
            self.call(service, action, hosts[0])
            copy.join()
        for number in range(resends + 1):
            answer = self.call(service, action, hosts[number % len(hosts)])
            if answer.status == 200:
                break
            gevent.sleep(0.2)
        # A resend after the answer must get the same answer.
        self.call(service, action, hosts[-1])


def test_keyed_actions_run_at_most_once_when_leader_is_killed(system):
    # Guards against a second execution after a lost answer, a lost claim or an
    # election, and against "executed: no" for an action that was executed.
    caller = ActionCaller(system, SEED)
    leader = system.wait_until_elected(system.leader)
    caller_greenlets = []
    for index in range(60):
        service = (
            processes.SECOND_PLAIN_SERVICE
            if index % 4 == 3
            else processes.PLAIN_SERVICE
        )
        resends = 0 if index % 5 == 4 else 8
        caller_greenlets.append(
            gevent.spawn_later(index * 0.05, caller.act, index, service, resends)
        )
    system.wait_until(lambda: len(caller.calls) > 15, "calls before the kill")
    system.kill_host(leader)
    system.wait_until(lambda: len(caller.calls) > 60, "calls after the kill")
    # Without its only server, calls are refused with executed "no".
    system.plain_servers_by_id[f"{processes.SECOND_PLAIN_SERVICE}-0"].stop()
    gevent.joinall(caller_greenlets, raise_error=True)
    executions = caller.executions_by_action()
    assert at_most_once_violations(caller.calls, executions) == []
    executed = collections.Counter(call.answer.executed for call in caller.calls)
    print(f"actions: {len(executions)} executed, answers {dict(executed)}")
    # An empty value stands for a success.
    assert executions and executed["no"] and executed[""]


def test_at_most_once_check_detects_violations():
    # Guards against a check that never fails.
    said_no = processes.Answer(503, b'{"executed": "no"}')
    done = processes.Answer(200, b"1")
    other = processes.Answer(200, b"2")
    for calls, count in (
        ([ActionCall("a", "host-1", done, 1)], 2),
        ([ActionCall("a", "host-1", said_no, 1)], 1),
        ([ActionCall("a", "host-1", said_no, 0)], 1),
        ([ActionCall("a", "host-1", done, 0)], 0),
        ([ActionCall("a", "host-1", answer, 1) for answer in (done, other)], 1),
    ):
        assert at_most_once_violations(calls, collections.Counter({"a": count}))
    calls = [ActionCall("a", "host-1", done, 1)]
    assert at_most_once_violations(calls, collections.Counter({"a": 1})) == []


class VersionRecorder:
    """Poll and record the version in force at each ready host."""

    def __init__(self, system):
        self.versions_by_host = collections.defaultdict(list)
        self._system = system
        self._greenlet = gevent.spawn(self._run)

    def _run(self):
        while True:
            for host_id in self._system.running_ids():
                if not self._system.is_ready(host_id):
                    continue
                version = self._system.status(host_id).get("version")
                if version is not None:
                    self.versions_by_host[host_id].append(version)
            gevent.sleep(0.05)

    def end(self):
        """Stop polling and return the versions by host."""
        self._greenlet.kill()
        return dict(self.versions_by_host)


def hosts_with_version_regression(versions_by_host):
    """Return the hosts whose version in force went backwards."""
    return [
        host_id
        for host_id, versions in versions_by_host.items()
        if versions != sorted(versions)
    ]


def two_replica_sheet(variant):
    return processes.sheet_text(MODELS, min_places=2, variant=variant)


def wait_for_version(system, host_id, version):
    system.wait_until(
        lambda: system.status(host_id).get("version", 0) >= version,
        f"version {version} at {host_id}: {system.output_of(host_id)[-2000:]}",
    )


def test_killed_host_recovers_its_configuration_after_restart(system):
    # Guards against a host that loses a synced configuration, or misses what was
    # accepted while it was down, after a SIGKILL.
    recorder = VersionRecorder(system)
    victim = system.wait_until_elected(system.leader)
    before = system.submit_until_accepted(two_replica_sheet(1))
    system.kill_host(victim)
    after = system.submit_until_accepted(two_replica_sheet(2))
    assert after["version"] > before["version"]
    system.start_host(victim)
    wait_for_version(system, victim, after["version"])
    last = system.submit_until_accepted(two_replica_sheet(3))
    wait_for_version(system, victim, last["version"])
    versions_by_host = recorder.end()
    assert hosts_with_version_regression(versions_by_host) == []
    assert set(versions_by_host) == set(processes.HOSTS)
    system.wait_until_all_placed(last["version"])


def test_host_with_deleted_data_folder_becomes_voter_again(system):
    # Guards against a replaced disk that removes a voter permanently: the host must get
    # the configuration from the others and vote again, so that a second host may fail.
    recorder = VersionRecorder(system)
    before = system.submit_until_accepted(two_replica_sheet(4))
    leader = system.wait_until_elected(system.leader)
    victim, other = [name for name in processes.HOSTS if name != leader]
    system.kill_host(victim)
    system.delete_folder(victim)
    system.start_host(victim)
    wait_for_version(system, victim, before["version"])
    after = system.submit_until_accepted(two_replica_sheet(5))
    wait_for_version(system, victim, after["version"])
    lost = voterset.make_identity(victim, host.FIRST_DISK_ID)

    def is_replaced():
        voters = [system.voters_on_disk(name) for name in (leader, other, victim)]
        return all(len(names) == 3 and lost not in names for names in voters)

    system.wait_until(is_replaced, f"{victim} among the voters again")
    system.kill_host(other)
    last = system.submit_until_accepted(two_replica_sheet(6))
    wait_for_version(system, victim, last["version"])
    assert hosts_with_version_regression(recorder.end()) == []
    assert last["version"] > after["version"] > before["version"]


def test_version_check_detects_regression():
    # Guards against a check that never fails.
    assert hosts_with_version_regression({"host-1": [1, 2, 1]}) == ["host-1"]
    assert hosts_with_version_regression({"host-1": [1, 1, 2]}) == []


def submit_without_reading(system, host_id, body):
    """Submit a sheet and close the connection before the answer can be read."""
    host, _, port = system.admin_address(host_id).rpartition(":")
    data = json.dumps(body).encode()
    head = (
        f"POST /admin/v1/sheet HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Bearer {demosystem.OPERATE_TOKEN}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    connection = gevent.socket.create_connection((host, int(port)))
    connection.sendall(head.encode() + data)
    # Give the host time to receive the whole request before the connection closes.
    gevent.sleep(0.02)
    connection.close()


def test_exactly_one_of_two_conflicting_sheets_is_accepted_by_all_hosts(system):
    # Guards against two conflicting sheets that are both accepted, and against a resend
    # that counts as a second submission.
    version_by_digest = {}
    outcomes = collections.Counter()
    for round_number in range(6):
        follows = system.status("host-1")["version"]
        for host_id in processes.HOSTS:
            wait_for_version(system, host_id, follows)
        first, second = (two_replica_sheet(10 + 2 * round_number + i) for i in (0, 1))
        body = {"follows": follows, "sheet": first}
        conflicting_body = {"follows": follows, "sheet": second}
        hosts = [processes.HOSTS[(round_number + i) % 3] for i in range(3)]
        unread_submission = gevent.spawn(submit_without_reading, system, hosts[0], body)
        read_submission = gevent.spawn(
            system.admin, hosts[1], "POST", "sheet", conflicting_body
        )
        gevent.joinall([unread_submission, read_submission], raise_error=True)
        resent = system.admin(hosts[2], "POST", "sheet", body)
        again = system.admin(hosts[0], "POST", "sheet", body)
        answers = [resent, again, read_submission.value]
        assert again.body == resent.body
        statuses = [answer.status for answer in answers]
        assert statuses in ([200, 200, 409], [409, 409, 200]), answers
        winner = next(answer for answer in answers if answer.status == 200).json()
        assert winner["version"] == follows + 1
        loser = next(answer for answer in answers if answer.status == 409).json()
        assert loser["code"] == "version-conflict"
        assert winner["digest"] in loser["detail"]
        outcomes[
            "unread submission won" if resent.status == 200 else "read submission won"
        ] += 1
        version_by_digest[winner["digest"]] = winner["version"]
        for host_id in processes.HOSTS:
            wait_for_version(system, host_id, follows + 1)
            sheet = system.admin(host_id, "GET", "sheet").json()
            assert (sheet["version"], sheet["digest"]) == (
                winner["version"],
                winner["digest"],
            )
    print(f"submissions: {dict(outcomes)}")
    for host_id in processes.HOSTS:
        rows = system.admin(host_id, "GET", "history").json()["versions"]
        known = {row["digest"]: row["version"] for row in rows}
        assert version_by_digest.items() <= known.items()
        assert len({row["version"] for row in rows}) == len(rows)


# Streams

STREAM_TOKENS = 160
STREAMS = 12
PROMPT = "tell it all"


class StreamCall:
    """Hold one streamed completion: its host, its text and the expected text."""

    def __init__(self, host_id, model, prompt, answer):
        self.host_id = host_id
        self.answer = answer
        self.text, self.is_complete = "", False
        if answer.status == 200:
            self.text, self.is_complete = demo.streamed_text(answer.body)
        self.expected = "".join(fakes.tokens_for(model, prompt, STREAM_TOKENS))

    def fault(self):
        """Describe an incomplete or wrong response; empty if it is correct."""
        if self.is_complete and self.text == self.expected:
            return ""
        return f"{self.host_id}: {self.answer}, {len(self.text)} characters"


def stream(system, host_id, model, prompt):
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    address = system.callers_address(host_id)
    answer = processes.send(address, "POST", "/v1/completions", body)
    return StreamCall(host_id, model, prompt, answer)


class StreamLoad:
    """Keep STREAMS streams in flight through randomly chosen hosts."""

    def __init__(self, system, models, seed):
        self.calls = []
        self.in_flight = collections.Counter()
        self.available_hosts = set(processes.HOSTS)
        self._system = system
        self._models = models
        self._rng = random.Random(seed)
        self._is_ending = False
        self._greenlets = [gevent.spawn(self._run, index) for index in range(STREAMS)]

    def _run(self, index):
        while not self._is_ending:
            host_id = self._rng.choice(sorted(self.available_hosts))
            model = self._rng.choice(self._models)
            prompt = f"{PROMPT} {index} {len(self.calls)}"
            self.in_flight[host_id] += 1
            call = stream(self._system, host_id, model, prompt)
            self.calls.append(call)
            self.in_flight[host_id] -= 1
            if call.answer.status in (429, 503):
                gevent.sleep(1.0)  # the smallest Retry-After value

    def end(self):
        """Wait for all streams to end and return the calls."""
        self._is_ending = True
        gevent.joinall(self._greenlets, raise_error=True)
        return self.calls


def engines_with(system, model):
    """Return the engines that have a model loaded."""
    return [
        engine
        for engine in system.engines_by_id.values()
        if any(item.name == model for item in engine._loaded)
    ]


def place_models(system):
    accepted = system.submit_until_accepted(two_replica_sheet(30))
    system.wait_until_all_placed(accepted["version"])
    system.wait_until(
        lambda: all(
            len(engines_with(system, name)) > 1
            for names in MODELS.values()
            for name in names
        ),
        "two replicas of each model",
    )
    return MODELS[processes.FENCING_SERVICE] + MODELS[processes.NON_FENCING_SERVICE]


def test_planned_stop_completes_streams_in_flight(system):
    # Guards against a planned stop that interrupts a request in flight or exits with
    # an error code.
    load = StreamLoad(system, place_models(system), SEED)
    try:
        for host_id in processes.HOSTS:
            system.wait_until(
                lambda name=host_id: load.in_flight[name] > 1, "streams to interrupt"
            )
            # The load balancer sends no new requests; those in flight must complete.
            load.available_hosts.discard(host_id)
            in_flight = load.in_flight[host_id]
            assert system.end_host(host_id) == 0, system.output_of(host_id)[-2000:]
            print(f"stopped: {host_id} with {in_flight} streams in flight")
            system.restore_hosts()
            load.available_hosts.add(host_id)
    finally:
        calls = load.end()
    # A refusal before the first token is a complete answer, not an interruption.
    refused = [call for call in calls if call.answer.status in (429, 503)]
    begun = [call for call in calls if call not in refused]
    assert [call.fault() for call in begun if call.fault()] == []
    assert len(begun) > len(refused)
    print(f"streams: {len(begun)} complete, {len(refused)} refused")


def test_ready_host_serves_every_loaded_model_after_restart(system):
    # Guards against a restarted host that reports readiness before it knows what the
    # backend servers have loaded, and refuses requests until then.
    models = place_models(system)
    answers = []
    for host_id in processes.HOSTS:
        assert system.end_host(host_id) == 0
        system.restore_hosts()
        answers += [stream(system, host_id, model, PROMPT) for model in models]
    assert [call.fault() for call in answers if call.fault()] == []


def test_stalled_stream_resumes_at_next_token_on_another_engine(system):
    # Guards against a caller that waits on a stalled engine, and against tokens that
    # are lost or duplicated where another engine takes over.
    model = place_models(system)[0]
    holders = [
        engine
        for engine in system.engines_by_id.values()
        if any(item.name == model for item in engine._loaded)
    ]
    assert len(holders) > 1
    rng = random.Random(SEED)
    calls = []
    hanging = holders[0]
    before = hanging.hung_count
    try:
        for _ in range(8):
            hanging.hang_at = rng.randrange(STREAM_TOKENS)
            # All at once, before the circuit breakers of the hosts open.
            batch = [
                gevent.spawn(stream, system, host_id, model, f"{PROMPT} {index}")
                for index, host_id in enumerate(processes.HOSTS * 2)
            ]
            gevent.joinall(batch, raise_error=True)
            calls += [greenlet.value for greenlet in batch]
            if hanging.hung_count - before >= 5:
                break
    finally:
        hanging.hang_at = None
    assert hanging.hung_count > before
    assert [call.fault() for call in calls if call.fault()] == []
    print(f"streams: {len(calls)} complete, {hanging.hung_count - before} resumed")


def test_stream_check_detects_lost_or_duplicated_token():
    # Guards against a check that never fails.
    tokens = fakes.tokens_for("alpha", PROMPT, STREAM_TOKENS)
    for faulty, end in (
        (tokens[:-1], True),
        ([tokens[0], *tokens], True),
        (tokens, False),
    ):
        assert StreamCall("host-1", "alpha", PROMPT, event_stream(faulty, end)).fault()
    whole = event_stream(tokens, True)
    assert not StreamCall("host-1", "alpha", PROMPT, whole).fault()


def event_stream(tokens, has_end):
    events = [json.dumps({"choices": [{"text": token}]}).encode() for token in tokens]
    events += [b"[DONE]"] if has_end else []
    return processes.Answer(200, b"".join(b"data: %s\n\n" % event for event in events))


# Commands of operators


def run_commands(system, host_id, *commands):
    """Run operator commands against a host concurrently."""
    options = ("--admin", system.admin_address(host_id))
    options += ("--token", demosystem.OPERATE_TOKEN)
    greenlets = [
        gevent.spawn(processes.run_command, *command, *options) for command in commands
    ]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]


def test_operator_commands_against_running_host(system, tmp_path):
    # Guards against commands that work only against a host in the same process, and
    # against unreliable exit codes.
    model = place_models(system)[0]
    version = system.status("host-2")["version"]
    conflicting_file = tmp_path / "conflicting.ini"
    conflicting_file.write_text(two_replica_sheet(31))
    follows = ("--follows", str(version - 1))
    status, as_json, history, explain, unknown, conflict, missing = run_commands(
        system,
        "host-2",
        ("status",),
        ("status", "--json"),
        ("sheet", "history"),
        ("explain", model),
        ("explain", "no-such-model"),
        ("sheet", "submit", str(conflicting_file), *follows),
        ("sheet", "submit", str(tmp_path / "missing.ini")),
    )
    assert [status.code, as_json.code, history.code, explain.code] == [0, 0, 0, 0]
    assert f"configuration version {version}" in status.output
    assert json.loads(as_json.output)["without_replica"] == []
    versions = [int(line.split()[0]) for line in history.output.splitlines()]
    assert versions == sorted(set(versions)) and versions[-1] == version
    assert "replica on" in explain.output
    assert (unknown.code, unknown.output) == (1, "")
    assert (conflict.code, missing.code) == (3, 2)
    assert system.status("host-2")["version"] == version


def test_commands_fail_when_call_is_refused_or_host_is_unreachable(system):
    # Guards against a failed command that exits with a success code.
    admin = system.admin_address("host-1")
    commands = [
        ("status", "--admin", admin, "--token", "wrong"),
        ("drain", "x", "--admin", admin, "--token", demosystem.READ_TOKEN),
        ("drain", "x", "--admin", admin, "--token", demosystem.OPERATE_TOKEN),
        ("status", "--admin", demosystem.free_address(), "--token", "wrong"),
        ("status", "--no-such-option"),
    ]
    greenlets = [gevent.spawn(processes.run_command, *command) for command in commands]
    gevent.joinall(greenlets, raise_error=True)
    results = [greenlet.value for greenlet in greenlets]
    assert [result.code for result in results] == [1, 1, 1, 4, 2]
    assert all(result.errors and not result.output for result in results)


def test_drained_backend_server_gets_no_new_requests(system):
    # Guards against a drain that is undone by the server's next announcement.
    model = place_models(system)[0]
    name = next(
        engine.backend_id
        for engine in system.engines_by_id.values()
        if any(item.name == model for item in engine._loaded)
    )
    engine = system.engines_by_id[name]
    (result,) = run_commands(system, "host-3", ("drain", name))
    assert result.code == 0 and "leaving" in result.output, result.errors

    def states():
        return {
            row["state"]
            for host_id in processes.HOSTS
            for row in system.status(host_id)["backend_servers"]
            if row["backend_id"] == name
        }

    system.wait_until(lambda: states() == {"leaving"}, "leaving at each host")
    start, sequence = engine.streams, engine._sequence
    calls = []
    while engine._sequence < sequence + 6:
        for host_id in processes.HOSTS:
            calls.append(stream(system, host_id, model, PROMPT))
    assert [call.fault() for call in calls if call.fault()] == []
    assert engine.streams == start
    assert states() == {"leaving"}


# Orders. The tests below run last, because memory reserved for a load is only released
# about a minute later, which would delay other tests.


def order_violations(orders, fence):
    """Return orders with an outdated fence after the owner resumed, and reused ids."""
    violations = [
        f"an order under an old fence: {order}"
        for order in orders
        if order.phase == "resumed" and order.fence < fence
    ]
    instruction_by_order_id = {}
    for order in orders:
        instruction = (order.backend_id, order.action, order.item)
        if (
            instruction_by_order_id.setdefault(order.order_id, instruction)
            != instruction
        ):
            violations.append(f"one order id for two instructions: {order}")
    return violations


def new_models_sheet(number):
    """Return a sheet of new models only, so that all earlier ones are unloaded."""
    names_by_service = {
        service: [f"{service}-{number}-{index}" for index in range(6)]
        for service in (processes.FENCING_SERVICE, processes.NON_FENCING_SERVICE)
    }
    return processes.sheet_text(names_by_service, memory_mb=12_000)


def test_resumed_placement_owner_issues_no_order_after_successor_is_elected(system):
    # Guards against an owner that continues after a pause although a successor was
    # elected: its orders would overcommit memory, above all at engines without fencing.
    history = system.orders
    owner = system.wait_until_elected(system.owner)
    fence = system.status(owner)["fence"]
    history.phase = "changing"
    start = len(history.orders)
    system.submit_until_accepted(new_models_sheet(0))
    system.wait_until(lambda: len(history.orders) >= start + 3, "orders to interrupt")
    system.pause_host(owner)
    history.phase = "paused"
    try:
        system.wait_until(lambda: system.owner() not in ("", owner), "another owner")
    except TimeoutError as error:
        raise AssertionError(system.describe()) from error
    new_fence = system.status(system.owner())["fence"]
    assert new_fence > fence
    system.submit_until_accepted(new_models_sheet(1))
    system.wait_until(
        lambda: any(order.fence >= new_fence for order in history.orders[start:]),
        "an order of the successor",
    )
    history.phase = "resumed"
    system.resume_host(owner)
    system.wait_until(
        lambda: system.status(owner).get("fence", 0) >= new_fence,
        "the paused host to know its successor",
    )
    last = system.submit_until_accepted(new_models_sheet(2))
    for host_id in processes.HOSTS:
        wait_for_version(system, host_id, last["version"])
    # Engine reports measure time, as a busy machine delays them as much as the hosts. A
    # wrong order would arrive within the time of ten reports.
    engine = system.engines_by_id["ignoring-0"]  # of NON_FENCING_SERVICE
    end = engine._sequence + 10
    system.wait_until(
        lambda: engine._sequence >= end and history.orders[-1].phase == "resumed",
        "an order and reports after the pause",
    )
    orders = history.orders[start:]
    assert order_violations(orders, new_fence) == []
    assert system.overcommitted_engine_ids() == []
    phases = collections.Counter((order.phase, order.fence) for order in orders)
    print(f"orders by phase and fence: {dict(phases)}")


def test_order_check_detects_outdated_fence():
    # Guards against a check that never fails.
    body = {"order_id": "1", "fence": 1, "action": "load", "item": "model:a:1"}
    order = processes.ReceivedOrder("engine-1", body, "resumed")
    other = processes.ReceivedOrder("engine-2", body, "paused")
    assert order_violations([order], 2)
    assert order_violations([order, other], 1)
    assert order_violations([order], 1) == []


def test_late_host_becomes_placement_voter():
    # Guards against a placement group that two of three configured voters form and
    # that never grows: it could not replace a paused owner.
    system = processes.ProcessSystem(SEED)
    try:
        system.start(late=("host-3",))
        text = processes.sheet_text(MODELS)
        system.wait_until_all_placed(system.submit_until_accepted(text)["version"])
        owner = system.wait_until_elected(system.owner)
        system.restore_hosts()
        # A host that is allowed to join does so within a few heartbeats. Engine reports
        # measure time, as a busy machine delays them as much as the hosts.
        engine = system.engines_by_id["ignoring-0"]  # of NON_FENCING_SERVICE
        end = engine._sequence + 12
        system.wait_until(lambda: engine._sequence >= end, "reports of an engine")
        system.pause_host(owner)
        end = engine._sequence + 30
        system.wait_until(
            lambda: system.owner() not in ("", owner) or engine._sequence >= end,
            "another owner, or 30 engine reports",
        )
        assert system.owner() not in ("", owner), system.describe()
    finally:
        system.stop()
