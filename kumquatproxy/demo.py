"""The whole system in one process, with fake backend servers."""

import json
import random
import time

import gevent
import geventhttpclient

from kumquatproxy import (
    adminmessages,
    backendapi,
    control,
    dispatch,
    drivers,
    entry,
    fakes,
    httpapi,
    metrics,
    samples,
    sheet,
)

READY_TIMEOUT_S = 20.0
ENGINES = 5
PLAIN_SERVERS = 3


class System:
    """Run an entry host with control and fake backend servers."""

    def __init__(self, sample="port-louis", port=0, seed=1):
        self.size = samples.SIZES_BY_NAME[sample]
        self.text = samples.generate(sample)
        self.dispatcher = dispatch.Dispatcher(
            "dc-1", "estimate", random.Random(seed), metrics.Metrics()
        )
        self.entry = entry.EntryApplication(self.dispatcher)
        self.control = control.ControlTask(self.dispatcher, self.entry, drivers.Pool())
        self._entry_server = httpapi.Server(f"127.0.0.1:{port}", self.entry)
        self._backend_server = httpapi.Server(
            "127.0.0.1:0", backendapi.BackendApplication(self.control)
        )
        self.engines_by_id: dict[str, fakes.FakeEngine] = {}
        self.plain_by_id: dict[str, fakes.FakePlainService] = {}
        self.address = ""

    def start(self) -> None:
        """Start everything and put the sheet in force."""
        self.control.start()
        self.address = self._entry_server.start()
        backend_address = self._backend_server.start()
        for index in range(ENGINES):
            engine = fakes.FakeEngine(
                f"{self.size.service}-{index}",
                self.size.service,
                "dc-1",
                [backend_address],
            )
            engine.start()
            self.engines_by_id[engine.backend_id] = engine
        for index in range(PLAIN_SERVERS):
            plain = fakes.FakePlainService(
                f"{self.size.plain_service}-{index}",
                self.size.plain_service,
                "dc-1",
                [backend_address],
            )
            plain.start()
            self.plain_by_id[plain.backend_id] = plain
        self.control.ask(adminmessages.SubmitSheet(0, self.text), 5.0)

    def wait_until_placed(self) -> None:
        """Wait until every listed name can be routed; raise TimeoutError."""
        parsed = sheet.parse(self.text)
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if all(self._routable(parsed, name) for name in parsed.listed_names()):
                return
            gevent.sleep(0.05)
        raise TimeoutError(f"not every listed model was placed in {READY_TIMEOUT_S} s")

    def _routable(self, parsed, name):
        target = parsed.resolve(name)
        return self.dispatcher.has_server(target.items())

    def stop(self) -> None:
        """Stop everything."""
        for backend in (*self.engines_by_id.values(), *self.plain_by_id.values()):
            backend.stop()
        self._entry_server.stop(1.0)
        self._backend_server.stop(1.0)
        self.control.stop()


def post(address, path, body, headers=None) -> tuple[int, bytes]:
    """Send a JSON request and return the status and the whole body."""
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port), network_timeout=30.0)
    try:
        response = client.post(
            path,
            json.dumps(body).encode(),
            {"Content-Type": "application/json", **(headers or {})},
        )
        return response.status_code, bytes(response.read())
    finally:
        client.close()


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


def run(requests: int = 100, seed: int = 1) -> bool:
    """Run the main job; return whether every promise held."""
    system = System(seed=seed)
    system.start()
    system.wait_until_placed()
    names = sheet.parse(system.text).listed_names()
    whole = 0

    def one(index):
        nonlocal whole
        name = names[index % len(names)]
        prompt = f"prompt {index}"
        body = {"model": name, "prompt": prompt, "stream": True, "max_tokens": 12}
        status, data = post(system.address, "/v1/completions", body)
        expected = "".join(fakes.tokens_for(name, prompt, 12))
        if status == 200 and streamed_text(data) == (expected, True):
            whole += 1

    gevent.joinall([gevent.spawn(one, index) for index in range(requests)])
    overcommitted = [e.overcommitted for e in system.engines_by_id.values()]
    moves = sum(engine.moves for engine in system.engines_by_id.values())
    system.stop()
    print(f"answers whole: {whole} of {requests}")
    print(f"moves: {moves}")
    print(f"memory overcommitted: {any(overcommitted)}")
    return whole == requests and not any(overcommitted)
