"""Cost of the request path relative to a pass-through proxy on the same libraries.

Engine, proxy under test and load generator run in separate processes. The generator
needs as much time for a request as the proxy and would hide the cost of the proxy, so
throughput is measured per second of processor time of the proxy.
"""

import json
import random
import statistics
import subprocess
import sys
import time

import gevent
import gevent.event
import geventhttpclient
import psutil

from kumquatproxy import httpapi, logs, metrics, records
from kumquatproxy.configuration import samples, sheet
from kumquatproxy.laboratory import fakes, measure
from kumquatproxy.membership import demandreports
from kumquatproxy.requests import dispatch, drivers, entry

MODULE_NAME = "kumquatproxy.laboratory.measure_proxy"
MODEL = "gait-00"
PATH = "/v1/completions"
CONNECTIONS = 32
ROUNDS = 3
REQUESTS_PER_ROUND = 3000
STREAMS = 16
TOKENS_PER_STREAM = 500
STREAM_ROUNDS = 3
OPEN_LOOP_S = 4.0
# In requests/s; the generator cannot send evenly at higher rates.
MAX_OPEN_LOOP_RATE = 500.0
TIMEOUT_S = 30.0


class PassThrough(httpapi.Application):
    """Proxy that forwards every request to one backend server."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._client = geventhttpclient.HTTPClient(
            host, int(port), concurrency=512, network_timeout=TIMEOUT_S
        )

    def answer(self, request, now):
        """Forward the response, event by event if it is a stream."""
        data = request.body()
        headers = {"Content-Type": "application/json"}
        response = self._client.request("POST", request.path, data, headers)
        reply_headers = drivers.forwarded_headers(response.items())
        if response.get("Content-Type") != "text/event-stream":
            return httpapi.Reply(response.status_code, response.read(), reply_headers)
        return httpapi.Reply(response.status_code, _relay(response), reply_headers)


def _relay(response):
    while True:
        event = response.readline(drivers.EVENT_END)
        if not event:
            return
        yield event


def entry_application(address) -> httpapi.Application:
    """Return an entry host application with one engine that has the model loaded."""
    parsed = sheet.parse(samples.generate("port-louis"))
    instruments = metrics.Metrics()
    dispatcher = dispatch.Dispatcher("dc-1", "estimate", random.Random(1), instruments)
    server = records.BackendServer(
        "engine-1", address, "dc-1", "engine", "gait-models", 1, memory_mb=80_000
    )
    now = time.monotonic()
    dispatcher.update_server(server, now)
    loaded = [parsed.models_by_name[MODEL].item()]
    dispatcher.table.apply_report(
        records.LoadReport("engine-1", 1, 1, loaded=loaded), now
    )
    dispatcher.set_sheet(parsed)
    application = entry.EntryApplication(
        dispatcher, instruments, demandreports.DemandCounter()
    )
    application.view = entry.ConfigurationView(1, parsed)
    return application


class InstantEngine(fakes.FakeEngine):
    """Engine without token delay, so that it does not limit throughput."""

    def __init__(self):
        super().__init__("engine-1", "gait-models", "dc-1", [], token_s=0.0)
        self._loaded.add(records.Item("model", MODEL, "1"))


def run_role(role: str, address: str) -> None:
    """Serve one role on a free port, print its address and run until killed."""
    if role == "engine":
        application: httpapi.Application = InstantEngine()
    elif role == "pass-through":
        application = PassThrough(address)
    else:
        with open("/dev/null", "w", encoding="utf-8") as sink:
            logs.to_stream(sink)
            _serve(entry_application(address))
        return
    _serve(application)


def _serve(application):
    server = httpapi.Server("127.0.0.1:0", application)
    print(server.start(), flush=True)
    gevent.event.Event().wait()


class RoleProcess:
    """Process that serves one role, and a client for it."""

    def __init__(self, role, address=""):
        command = [sys.executable, "-m", MODULE_NAME, role, address]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        self.address: str = self._process.stdout.readline().strip()
        self._usage = psutil.Process(self._process.pid)
        host, _, port = self.address.rpartition(":")
        self.client = geventhttpclient.HTTPClient(
            host, int(port), concurrency=CONNECTIONS * 8, network_timeout=TIMEOUT_S
        )

    def processor_s(self) -> float:
        """Return the processor time used by the process, in seconds."""
        times = self._usage.cpu_times()
        return times.user + times.system

    def stop(self) -> None:
        """Kill the process."""
        self.client.close()
        self._process.kill()
        self._process.wait()

    def request(self, stream: bool, tokens: int) -> int:
        """Send one request and return the number of requested tokens.

        Raises RuntimeError for an error status or an incomplete stream.
        """
        body = {"model": MODEL, "prompt": "p", "max_tokens": tokens}
        if stream:
            body["stream"] = True
        headers = {"Content-Type": "application/json"}
        response = self.client.post(PATH, json.dumps(body).encode(), headers)
        data = response.read()
        if response.status_code != 200:
            raise RuntimeError(f"status {response.status_code}: {data[:200]!r}")
        if stream and not data.endswith(b"data: [DONE]\n\n"):
            raise RuntimeError("stream ended without the [DONE] event")
        return tokens


def requests_per_processor_s(
    role: RoleProcess, count, workers, stream, tokens
) -> float:
    """Return requests per second of processor time in a closed loop of ``workers``."""
    remaining = [count]

    def send_requests():
        while remaining[0] > 0:
            remaining[0] -= 1
            role.request(stream, tokens)

    start_s = role.processor_s()
    gevent.joinall(
        [gevent.spawn(send_requests) for _ in range(workers)], raise_error=True
    )
    return count / (role.processor_s() - start_s)


def p99_at_rate(role: RoleProcess, rate: float, seed: int) -> float:
    """Return the 99th percentile latency in seconds of an open loop.

    Arrivals are a Poisson process.
    """
    rng = random.Random(seed)
    durations: list[float] = []

    def send_request():
        start = time.perf_counter()
        role.request(False, 8)
        durations.append(time.perf_counter() - start)

    greenlets = []
    end = time.perf_counter() + OPEN_LOOP_S
    due = time.perf_counter()
    while due < end:
        due += rng.expovariate(rate)
        gevent.sleep(max(0.0, due - time.perf_counter()))
        greenlets.append(gevent.spawn(send_request))
    gevent.joinall(greenlets, raise_error=True)
    return statistics.quantiles(durations, n=100)[98]


@measure.MEASUREMENTS.register("proxy")
def proxy_figures(seed: int) -> list[measure.Figure]:
    """Compare throughput, tail latency and stream relay with the pass-through."""
    engine = RoleProcess("engine")
    roles = [
        RoleProcess("pass-through", engine.address),
        RoleProcess("entry-host", engine.address),
    ]
    try:
        return _measure(roles, seed)
    finally:
        for role in (*roles, engine):
            role.stop()


def _measure(roles, seed):
    for role in roles:
        requests_per_processor_s(role, 200, CONNECTIONS, False, 8)
    throughput = _measure_alternately(
        roles, ROUNDS, REQUESTS_PER_ROUND, CONNECTIONS, False, 8
    )
    ratios = [entry_host / baseline for baseline, entry_host in throughput]
    half_rate = statistics.median(baseline for baseline, _ in throughput) / 2
    half_rate = min(half_rate, MAX_OPEN_LOOP_RATE)
    tails = [
        [p99_at_rate(role, half_rate, seed + i) for role in roles] for i in (0, 1, 2)
    ]
    streams = _measure_alternately(
        roles, STREAM_ROUNDS, STREAMS * 4, STREAMS, True, TOKENS_PER_STREAM
    )
    return [
        measure.Figure("proxy_throughput_ratio", statistics.median(ratios), low=0.70),
        measure.Figure(
            "proxy_added_p99_ratio",
            statistics.median(entry_host / baseline for baseline, entry_host in tails),
            high=1.5,
        ),
        measure.Figure(
            "stream_relay_ratio",
            statistics.median(
                entry_host / baseline for baseline, entry_host in streams
            ),
            low=0.80,
        ),
        measure.Figure(
            "entry_us_per_request",
            statistics.median(1e6 / entry_host for _, entry_host in throughput),
        ),
        measure.Figure(
            "entry_us_per_token",
            statistics.median(1e6 / entry_host for _, entry_host in streams)
            / TOKENS_PER_STREAM,
        ),
    ]


def _measure_alternately(roles, rounds, count, workers, stream, tokens):
    return [
        [
            requests_per_processor_s(role, count, workers, stream, tokens)
            for role in roles
        ]
        for _ in range(rounds)
    ]


if __name__ == "__main__":
    run_role(sys.argv[1], sys.argv[2])
