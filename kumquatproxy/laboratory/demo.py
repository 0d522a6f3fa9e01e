"""The main job of the system in one process, with its promises checked."""

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

REQUESTS = 400
ACTIONS = 40
TOKENS = 24
REQUEST_INTERVAL_S = 0.02
TIMEOUT_S = 60.0


class Tally:
    """Count the outcomes of the demo's requests by service."""

    __slots__ = ("broken", "outcomes_by_service")

    def __init__(self):
        self.outcomes_by_service: dict[str, collections.Counter] = {}
        self.broken: list[str] = []

    def note(self, service: str, outcome: str, detail: str = "") -> None:
        """Count one outcome: ``whole``, ``refused`` or ``broken``."""
        counts = self.outcomes_by_service.setdefault(service, collections.Counter())
        counts[outcome] += 1
        if outcome == "broken":
            self.broken.append(f"{service}: {detail}")


def request(address, method, path, body=b"", headers=None) -> tuple[int, bytes]:
    """Send a request and return the status and the whole body."""
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port), network_timeout=TIMEOUT_S)
    try:
        response = client.request(method, path, body, headers or {})
        return response.status_code, bytes(response.read())
    finally:
        client.close()


def post(address, path, body, headers=None) -> tuple[int, bytes]:
    """Send a JSON request and return the status and the whole body."""
    all_headers = {"Content-Type": httpapi.JSON_TYPE, **(headers or {})}
    return request(address, "POST", path, json.dumps(body).encode(), all_headers)


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
    """Make the demo's requests and check each answer."""

    def __init__(self, system, tally, rng):
        self._system: demosystem.System = system
        self._tally: Tally = tally
        self._rng: random.Random = rng
        self._names = sheet.parse(system.text).listed_names()

    def _address(self):
        """Return an entry host that is ready, as the platform's balancer does."""
        ready = [
            host_id
            for host_id, one in self._system.hosts_by_id.items()
            if not one.entry.stopping
        ]
        return self._system.callers_address(self._rng.choice(ready))

    def complete(self, index: int, stream: bool) -> None:
        """Ask for one completion and compare the whole text."""
        name = self._names[index % len(self._names)]
        prompt = f"prompt {index}"
        body = {"model": name, "prompt": prompt, "max_tokens": TOKENS}
        if stream:
            body["stream"] = True
        try:
            status, data = post(self._address(), "/v1/completions", body)
        except geventhttpclient.response.HTTPParseError as error:
            status, data = 0, f"interrupted: {error}".encode()
        expected = "".join(fakes.tokens_for(name, prompt, TOKENS))
        service = self._system.size.service
        if status in (429, 503):
            self._tally.note(service, "refused")
            return
        text = None
        if status == 200 and stream:
            streamed, complete = streamed_text(data)
            text = streamed if complete else None
        elif status == 200:
            text = json.loads(data)["choices"][0]["text"]
        if text == expected:
            self._tally.note(service, "whole")
        else:
            self._tally.note(
                service,
                "broken",
                f"{name}: status {status}, {data[:200]!r} to {data[-200:]!r}",
            )

    def act(self, index: int) -> None:
        """Send one keyed action twice, through two entry hosts."""
        service = self._system.size.plain_service
        path = f"/services/{service}/reservations"
        key = {"Idempotency-Key": f"action-{index}"}
        answers = [
            post(self._address(), path, {"action": index}, key) for _ in range(2)
        ]
        numbers = {data for status, data in answers if status == 200}
        if len(numbers) == 1:
            self._tally.note(service, "whole")
        elif not numbers:
            self._tally.note(service, "refused")
        else:
            self._tally.note(service, "broken", f"action {index}: {answers!r:.300}")


def doubled_actions(system) -> list[str]:
    """Return the actions that plain services have executed more than once."""
    counts = collections.Counter(
        body
        for plain in system.plain_by_id.values()
        for method, _, body in plain.executions
        if method == "POST"
    )
    return [body for body, count in counts.items() if count > 1]


def fast_store_sheet(sample: str) -> str:
    """Return a sample sheet whose weight store is not what limits a start."""
    text = samples.generate(sample)
    return text.replace("loads_per_second = 1\n", "loads_per_second = 50\n")


def run(requests=REQUESTS, actions=ACTIONS, seed=1, text="", engine_options=None):
    """Run the main job; return whether every promise held."""
    system = demosystem.System(
        layout=demosystem.THREE_CENTRES,
        seed=seed,
        text=text,
        engine_options=engine_options,
    )
    system.start()
    try:
        return _run(system, requests, actions, seed)
    finally:
        system.stop()


def _run(system, requests, actions, seed):
    start = time.monotonic()
    system.submit_first()
    system.wait_until_placed()
    print(f"placed: every listed model after {time.monotonic() - start:.1f} s")
    system.wait_until_settled()
    print(f"settled: no more loads after {time.monotonic() - start:.1f} s")
    placed_moves = system.moves()
    tally = Tally()
    caller = Caller(system, tally, random.Random(seed))
    work = [
        gevent.spawn_later(i * REQUEST_INTERVAL_S, caller.complete, i, i % 2 == 0)
        for i in range(requests)
    ]
    span_s = requests * REQUEST_INTERVAL_S
    work += [
        gevent.spawn_later(i * span_s / max(actions, 1), caller.act, i)
        for i in range(actions)
    ]
    gevent.sleep(span_s / 3)
    stopped = system.engines_by_id[f"{system.size.service}-0"]
    stopped.stop()
    print(f"stopped: backend server {stopped.backend_id}")
    gevent.sleep(span_s / 3)
    _stop_owner(system)
    gevent.joinall(work, raise_error=True)
    system.wait_until_placed(
        [name for name, one in system.hosts_by_id.items() if not one.entry.stopping]
    )
    return _report(system, tally, placed_moves)


def _stop_owner(system):
    """Stop the host that owns the placement, as planned."""
    for host_id, one in system.hosts_by_id.items():
        if one.control.placement.order_engine is not None:
            one.stop()
            print(f"stopped: placement owner {host_id}")
            return
    raise RuntimeError("no host owns the placement")


def _report(system, tally, placed_moves):
    for service, counts in sorted(tally.outcomes_by_service.items()):
        total = sum(counts.values())
        print(
            f"{service}: attainment {counts['whole'] / total:.3f}, "
            f"{counts['refused']} refused, {counts['broken']} broken of {total}"
        )
    print(f"moves: {placed_moves} to apply the sheet, {system.moves()} in all")
    faults = list(tally.broken)
    faults += [f"overcommitted: {name}" for name in system.overcommitted()]
    faults += [f"executed twice: {body}" for body in doubled_actions(system)]
    for fault in faults:
        print(f"broken promise: {fault}")
    print("promises: " + ("broken" if faults else "held"))
    return not faults


def serve(port: int, admin_port: int, sample: str, seed: int) -> int:
    """Serve with fake backend servers until SIGTERM."""
    addresses = {}
    if port:
        addresses["callers"] = f"127.0.0.1:{port}"
    if admin_port:
        addresses["administration"] = f"127.0.0.1:{admin_port}"
    text = fast_store_sheet(sample)
    system = demosystem.System(sample, seed=seed, text=text, first_addresses=addresses)
    system.start()
    stop_requested = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)
    system.submit_first()
    system.wait_until_placed()
    first = next(iter(system.hosts_by_id))
    print(f"callers {system.callers_address(first)}")
    print(f"administration {system.admin_address(first)}")
    print(f"tokens {demosystem.READ_TOKEN} {demosystem.OPERATE_TOKEN}")
    print("ready", flush=True)
    stop_requested.wait()
    system.stop()
    return 0
