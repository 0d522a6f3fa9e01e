"""Demo: serve requests through failures in one process and check the guarantees."""

import collections
import json
import random
import signal
import time

import gevent
import gevent.event
import geventhttpclient
import geventhttpclient.response

from kumquatproxy import httpapi
from kumquatproxy.configuration import samples, sheet
from kumquatproxy.laboratory import demosystem, fakes

REQUEST_COUNT = 400
ACTION_COUNT = 40
MAX_TOKENS = 24
REQUEST_INTERVAL_S = 0.02
TIMEOUT_S = 60.0


class OutcomeCounts:
    """Count the outcomes of the demo's requests and actions by service."""

    __slots__ = ("broken_details", "outcomes_by_service")

    def __init__(self):
        self.outcomes_by_service: dict[str, collections.Counter] = {}
        self.broken_details: list[str] = []

    def record(self, service: str, outcome: str, detail: str = "") -> None:
        """Count an outcome: ``correct``, ``refused`` or ``broken``.

        A completion is correct if its text is as expected, and refused at status 429 or
        503. An action is correct if all its answers with status 200 are equal, and
        refused if it has none. Anything else is broken.
        """
        counts = self.outcomes_by_service.setdefault(service, collections.Counter())
        counts[outcome] += 1
        if outcome == "broken":
            self.broken_details.append(f"{service}: {detail}")


def send_request(address, method, path, body=b"", headers=None) -> tuple[int, bytes]:
    """Send a request and return the status and the complete body."""
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port), network_timeout=TIMEOUT_S)
    try:
        response = client.request(method, path, body, headers or {})
        return response.status_code, bytes(response.read())
    finally:
        client.close()


def post(address, path, body, headers=None) -> tuple[int, bytes]:
    """Send a JSON request and return the status and the complete body."""
    all_headers = {"Content-Type": httpapi.JSON_TYPE, **(headers or {})}
    return send_request(address, "POST", path, json.dumps(body).encode(), all_headers)


def streamed_text(data: bytes) -> tuple[str, bool]:
    """Return the text of a streamed completion and whether it is complete."""
    text = ""
    for event in data.split(b"\n\n"):
        if event == b"data: [DONE]":
            return text, True
        if event.startswith(b"data: "):
            choices = json.loads(event[6:]).get("choices") or [{}]
            text += choices[0].get("text", "")
    return text, False


class Caller:
    """Send the demo's requests and check each answer."""

    def __init__(self, system, outcome_counts, rng):
        self._system: demosystem.System = system
        self._outcome_counts: OutcomeCounts = outcome_counts
        self._rng: random.Random = rng
        self._listed_names = sheet.parse(system.sheet_text).listed_names()

    def _ready_address(self):
        """Return the address of a random ready host, as a load balancer chooses it."""
        ready_host_ids = [
            host_id
            for host_id, running_host in self._system.hosts_by_id.items()
            if not running_host.entry.stopping
        ]
        return self._system.callers_address(self._rng.choice(ready_host_ids))

    def _post(self, path, body, headers=None):
        """Post to a ready host, and to another one if the host has just closed.

        Raise ConnectionRefusedError if a host that does not stop refuses a connection.
        """
        while True:
            address = self._ready_address()
            try:
                return post(address, path, body, headers)
            except ConnectionRefusedError:
                if not self._system.is_stopping(address):
                    raise

    def request_completion(self, index: int, stream: bool) -> None:
        """Request one completion and compare its text with the expected text."""
        name = self._listed_names[index % len(self._listed_names)]
        prompt = f"prompt {index}"
        body = {"model": name, "prompt": prompt, "max_tokens": MAX_TOKENS}
        if stream:
            body["stream"] = True
        try:
            status, data = self._post("/v1/completions", body)
        except geventhttpclient.response.HTTPParseError as error:
            status, data = 0, f"interrupted: {error}".encode()
        expected = "".join(fakes.tokens_for(name, prompt, MAX_TOKENS))
        service = self._system.size.service
        if status in (429, 503):
            self._outcome_counts.record(service, "refused")
            return
        text = None
        if status == 200 and stream:
            streamed, is_complete = streamed_text(data)
            text = streamed if is_complete else None
        elif status == 200:
            text = json.loads(data)["choices"][0]["text"]
        if text == expected:
            self._outcome_counts.record(service, "correct")
        else:
            self._outcome_counts.record(
                service,
                "broken",
                f"{name}: status {status}, text {text!r}, {data[:200]!r} to "
                f"{data[-200:]!r}",
            )

    def send_action(self, index: int) -> None:
        """Send an action twice with one idempotency key, each time to a random host.

        Checks that all successful answers are equal.
        """
        service = self._system.size.plain_service
        path = f"/services/{service}/reservations"
        key = {"Idempotency-Key": f"action-{index}"}
        answers = [self._post(path, {"action": index}, key) for _ in range(2)]
        distinct_answers = {data for status, data in answers if status == 200}
        if len(distinct_answers) == 1:
            self._outcome_counts.record(service, "correct")
        elif not distinct_answers:
            self._outcome_counts.record(service, "refused")
        else:
            self._outcome_counts.record(
                service, "broken", f"action {index}: {answers!r:.300}"
            )


def repeated_action_bodies(system) -> list[str]:
    """Return the POST bodies that the plain servers together executed repeatedly."""
    counts = collections.Counter(
        body
        for plain in system.plain_servers_by_id.values()
        for method, _, body in plain.executions
        if method == "POST"
    )
    return [body for body, count in counts.items() if count > 1]


def fast_store_sheet(sample: str) -> str:
    """Return a sample sheet whose weight store does not limit the start-up time."""
    text = samples.generate(sample)
    return text.replace("loads_per_second = 1\n", "loads_per_second = 50\n")


def run(
    request_count=REQUEST_COUNT,
    action_count=ACTION_COUNT,
    seed=1,
    sheet_text="",
    engine_options=None,
):
    """Run the demo; return whether every guarantee held."""
    system = demosystem.System(
        layout=demosystem.THREE_CENTRES_LAYOUT,
        seed=seed,
        sheet_text=sheet_text,
        engine_options=engine_options,
    )
    system.start()
    try:
        return _run_requests(system, request_count, action_count, seed)
    finally:
        system.stop()


def _run_requests(system, request_count, action_count, seed):
    start_s = time.monotonic()
    system.submit_first_sheet()
    system.wait_until_placed()
    print(
        f"placed: every listed name routable after {time.monotonic() - start_s:.1f} s"
    )
    system.wait_until_settled()
    print(
        f"settled: after {time.monotonic() - start_s:.1f} s "
        "(includes the wait without loads)"
    )
    loads_until_settled = system.load_count()
    outcome_counts = OutcomeCounts()
    caller = Caller(system, outcome_counts, random.Random(seed))
    greenlets = [
        gevent.spawn_later(
            i * REQUEST_INTERVAL_S, caller.request_completion, i, i % 2 == 0
        )
        for i in range(request_count)
    ]
    duration_s = request_count * REQUEST_INTERVAL_S
    greenlets += [
        gevent.spawn_later(i * duration_s / max(action_count, 1), caller.send_action, i)
        for i in range(action_count)
    ]
    gevent.sleep(duration_s / 3)
    stopped_engine = system.engines_by_id[f"{system.size.service}-0"]
    stopped_engine.stop()
    print(f"stopped: backend server {stopped_engine.backend_id}")
    gevent.sleep(duration_s / 3)
    _stop_a_placement_owner(system)
    gevent.joinall(greenlets, raise_error=True)
    system.wait_until_placed(
        [
            host_id
            for host_id, running_host in system.hosts_by_id.items()
            if not running_host.entry.stopping
        ]
    )
    return _report(system, outcome_counts, loads_until_settled)


def _stop_a_placement_owner(system):
    """Stop the first host that is a placement owner, as in a planned shutdown.

    There is none while a data centre elects one, so wait for it.
    """

    def owner_ids():
        return [
            host_id
            for host_id, running_host in system.hosts_by_id.items()
            if running_host.control.placement.order_engine is not None
        ]

    demosystem.wait_for(owner_ids, "a host is a placement owner")
    owner_id = owner_ids()[0]
    system.hosts_by_id[owner_id].stop()
    print(f"stopped: a placement owner, {owner_id}")


def _report(system, outcome_counts, loads_until_settled):
    for service, counts in sorted(outcome_counts.outcomes_by_service.items()):
        total = sum(counts.values())
        print(
            f"{service}: attainment {counts['correct'] / total:.3f}, "
            f"{counts['refused']} refused, {counts['broken']} broken of {total}"
        )
    print(
        f"moves: {loads_until_settled} loads to apply the sheet, "
        f"{system.load_count()} in total"
    )
    violations = list(outcome_counts.broken_details)
    violations += [
        f"overcommitted: {name}" for name in system.overcommitted_engine_ids()
    ]
    violations += [f"executed twice: {body}" for body in repeated_action_bodies(system)]
    for violation in violations:
        print(f"broken promise: {violation}")
    print("promises: " + ("broken" if violations else "held"))
    return not violations


def serve(port: int, admin_port: int, sample: str, seed: int) -> int:
    """Serve callers with fake backend servers until SIGTERM or SIGINT."""
    addresses = {}
    if port:
        addresses["callers"] = f"127.0.0.1:{port}"
    if admin_port:
        addresses["administration"] = f"127.0.0.1:{admin_port}"
    sheet_text = fast_store_sheet(sample)
    system = demosystem.System(
        sample, seed=seed, sheet_text=sheet_text, first_host_addresses=addresses
    )
    system.start()
    stop_requested = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)
    system.submit_first_sheet()
    system.wait_until_placed()
    first_host_id = next(iter(system.hosts_by_id))
    print(f"callers {system.callers_address(first_host_id)}")
    print(f"administration {system.admin_address(first_host_id)}")
    print(f"tokens {demosystem.READ_TOKEN} {demosystem.OPERATE_TOKEN}")
    print("ready", flush=True)
    stop_requested.wait()
    system.stop()
    return 0
