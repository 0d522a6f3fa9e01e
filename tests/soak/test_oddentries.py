"""Odd heartbeats, reports, deregistrations and configurations at host processes.

Guards against a single entry of another writer that ends a host, or stops it from
following the servers.
"""

import itertools
import json
import random

import addressblocks
import callerclient
import fakeservers
import gevent
import gevent.pywsgi
import pytest
import smallfleet
import soak

BLOCK = addressblocks.find_block("test_oddentries")
# Servers that odd heartbeats announce at a time, so that plans see each of them.
ODD_SERVERS = 60
MODELS = ("m", "m1", "m2")
SERVICE = {
    "name": "engines",
    "engine": {
        "slots": 8,
        "kv_capacity": 100_000,
        "adapter_slots": 2,
        "loads_per_s": 1.0,
        "weights_mb": 200_000.0,
        "models": [
            {
                "name": name,
                "weights_mb": 65_000.0,
                "load_time_s": 1.0,
                "adapters": 2,
                "adapter_mb": 12.0,
            }
            for name in MODELS
        ],
    },
}


def nested(depth):
    """Return a list in a list, and so on."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


ODD_VALUES = (
    None,
    True,
    -1,
    1.5,
    2**63,
    2**64 - 1,
    1e308,
    "",
    "x" * 30_000,
    "\0",
    "\u00e4\u20ac",
    [],
    {},
    [None],
    [1, "m"],
    [["m"]],
    [{"name": "m"}],
    [{"name": {}, "version": [], "adapters": {}}],
    [{"name": "m", "version": 2**64 - 1, "adapters": [{}]}],
    [{"name": "m", "version": -5, "adapters": [["a"], 1, None]}],
    [{"name": "m", "version": 1, "adapters": nested(3)}] * 3,
    {"in_memory": [{"name": "m0"}], "on_disk": []},
    {"in_memory": [["m"]], "on_disk": [1, None]},
    {"in_memory": "m", "on_disk": {}},
    {"in_memory": nested(900), "on_disk": []},
    nested(12),
    nested(900),
    ["m"] * 5000,
)
ADDRESSES = (
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:\u0663",
    "a b:80",
    "x" * 300 + ":80",
    "\u00e4.example:80",
    "[::1]:80",
    "127.0.0.1:80:80",
)
# Bodies that are no JSON object, or hold what no encoder writes.
RAW_BODIES = (
    b"",
    b"\xff\xfe",
    b"[]",
    b"null",
    b"7",
    b'{"born":1e999}',
    b'{"born":' + b"9" * 5000 + b"}",
    b'{"state":"\xed\xa0\x80"}',
    b'{"state":"\\ud800"}',
    b"[" * 100_000,
    b'{"a":' * 50_000,
)


class Engine(fakeservers.FakeServer):
    """Answer report requests and orders too; the reports can be odd."""

    report = None  # bytes that replace the sound report

    def sound_report(self):
        """Return the report of an engine that holds one model."""
        models = [{"name": fakeservers.MODEL, "version": 1, "adapters": []}]
        return {"models": models, "busy": False, "sequence": 0, "at_hand": {}}

    def answer(self, environ, start_response):
        """Answer a request to any address that this server answers for."""
        return self._answer(environ, start_response)

    def _answer(self, environ, start_response):
        if not environ["PATH_INFO"].startswith("/-/"):
            return super()._answer(environ, start_response)
        is_report = environ["PATH_INFO"] == "/-/report"
        body = self.report or json.dumps(self.sound_report()).encode()
        start_response("200 OK" if is_report else "409 Busy", [])
        return [body]

    def heartbeat(self, sequence):
        """Return a sound heartbeat of this server."""
        return {
            "backend": self.service,
            "address": self.proxy.address,
            "zone": "z",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "sequence": sequence,
            "born": self.born_ms,
            "models": [{"name": fakeservers.MODEL, "version": 1, "adapters": []}],
            "at_hand": {"in_memory": [], "on_disk": []},
        }


class EngineFleet(smallfleet.Fleet):
    """Run three control hosts and one entry host before two engines."""

    server_class = Engine
    listeners = ()

    def start(self):
        for _ in range(2):
            self.add_server().service = "engines"
        self.start_hosts()
        self.version = 1
        self.put_sound()
        self.wait_for(self.serves)
        # Answers for the servers that only odd heartbeats announce.
        self.listeners = [
            gevent.pywsgi.WSGIServer(address, self.servers[0].answer, log=None)
            for address in self.odd_addresses()
        ]
        for listener in self.listeners:
            listener.start()

    def odd_addresses(self):
        return [
            (f"127.{BLOCK}.9.{number + 1}", soak.SERVER_PORT)
            for number in range(ODD_SERVERS)
        ]

    def close(self):
        for listener in self.listeners:
            listener.stop(timeout=0)
        super().close()

    def put_sound(self):
        """Put the sound configuration in force under the next version."""
        self.version += 10
        configuration = {
            "version": self.version,
            "routes": [soak.route("safe", "/safe/", "safe", "engines", attempts=2)],
            "services": [SERVICE],
        }
        self.wait_for(lambda: self.put(configuration) == 200)

    def put(self, configuration, number=0):
        """Send a configuration, and return the status."""
        body = configuration
        if not isinstance(body, bytes):
            body = json.dumps(configuration).encode()
        return self.send(number, "/-/config/replace", body)

    def send(self, number, path, body):
        """Send a call to a control host, and return the status."""
        address = self.api_addresses[number % len(self.api_addresses)]
        return callerclient.call(address, "POST", path, body, 3.0)[0]

    def serves(self):
        """Return whether a call for the model is answered."""
        connection = soak.caller_connection(self.entries[0].ip)
        exchange = callerclient.Exchange("", f"q{random.random()}", soak.DEADLINE_S)
        headers = {
            "Host": "soak.example",
            "Kumquatproxy-Request-Id": exchange.request_id,
            **fakeservers.prompt_headers(["a"]),
        }
        connection.run(exchange, "GET", "/safe/x", headers)
        return exchange.status == 200

    def check(self):
        """Assert that no process has ended, and that a new server is followed."""
        processes = [*self.controls, *self.entries]
        ended = [process.ip for process in processes if not process.is_running()]
        assert ended == []
        self.wait_for(self.serves)
        for server in self.servers:
            server.begin_lifetime()
        newest = self.add_server()
        newest.service = "engines"
        newest.slots = 1000
        for server in self.servers[:-1]:
            for number in range(3):
                path = f"/-/instances/{server.name}/deregister"
                self.send(number, path, b'{"born":%d}' % server.born_ms)
        gevent.sleep(1.0)
        self.wait_for(self.serves)
        counts = newest.executions.count_by_id.total()
        self.wait_for(lambda: self.serves() and counts)
        for server in self.servers:
            server.begin_lifetime()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = EngineFleet(tmp_path_factory.mktemp("odd"), BLOCK, entry_count=1)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


def odd_fields():
    """Yield the fields that replace those of a sound heartbeat, one at a time."""
    names = "at_hand models address backend zone version slots state sequence born"
    names += " busy remaining_ms cold_left_ms"
    for name, value in itertools.product(names.split(), ODD_VALUES):
        yield {name: value}
    for address in ADDRESSES:
        yield {"address": address}


@pytest.mark.parametrize("seed", [1, 2])
def test_odd_heartbeats_end_no_host(fleet, seed):
    """Guards against a heartbeat whose values reach a task unchecked.

    Each is sent under the id of a server and under an unknown one, with a sequence
    number above that of the sound ones.
    """
    rng = random.Random(seed)
    server = fleet.servers[0]
    entries = list(odd_fields())
    rng.shuffle(entries)
    sequence = itertools.count(10**6 * seed)
    addresses = fleet.odd_addresses()
    for number, fields in enumerate(entries):
        sound = server.heartbeat(next(sequence))
        body = json.dumps({**sound, **fields}).encode()
        fleet.send(number, f"/-/instances/{server.name}/heartbeat", body)
        ip, port = addresses[number % ODD_SERVERS]
        body = json.dumps({**sound, "address": f"{ip}:{port}", **fields}).encode()
        path = f"/-/instances/i-odd-{number % ODD_SERVERS}/heartbeat"
        fleet.send(number, path, body)
        gevent.sleep(0.02)
    for number, body in enumerate(RAW_BODIES):
        for action in ("heartbeat", "deregister"):
            fleet.send(number, f"/-/instances/i-odd/{action}", body)
    for number, name in enumerate(("%00", "%ff", "x" * 3000, "%E2%82%AC", "a%20b")):
        body = json.dumps(server.heartbeat(next(sequence))).encode()
        fleet.send(number, f"/-/instances/{name}/heartbeat", body)
    for number, value in enumerate(ODD_VALUES):
        body = json.dumps({"born": value}).encode()
        fleet.send(number, "/-/instances/i-unknown/deregister", body)
    gevent.sleep(1.0)
    fleet.check()


def test_odd_reports_end_no_host(fleet):
    """Guards against a report whose values reach the owner of orders unchecked."""
    rng = random.Random(1)
    bodies = list(RAW_BODIES[1:])
    sound = fleet.servers[0].sound_report()
    names = [*sound, "coming", "running", "waiting", "kv_used", "stage"]
    for name, value in itertools.product(names, ODD_VALUES):
        bodies.append(json.dumps({**sound, name: value}).encode())
    rng.shuffle(bodies)
    for body in bodies:
        for server in fleet.servers:
            server.report = body
        gevent.sleep(0.03)
    for server in fleet.servers:
        server.report = None
    fleet.check()


def test_odd_configurations_end_no_host(fleet):
    """Guards against a configuration that is acknowledged and ends its readers."""
    rng = random.Random(1)
    configurations = list(RAW_BODIES)
    route = soak.route("safe", "/safe/", "safe", "engines", attempts=2)
    for name, value in itertools.product([*route, "backends", "sticky"], ODD_VALUES):
        configurations.append({"routes": [{**route, name: value}]})
    for name, value in itertools.product(SERVICE["engine"], ODD_VALUES):
        engine = {**SERVICE["engine"], name: value}
        configurations.append({"services": [{**SERVICE, "engine": engine}]})
    model = SERVICE["engine"]["models"][0]
    for name, value in itertools.product(model, ODD_VALUES):
        engine = {**SERVICE["engine"], "models": [{**model, name: value}]}
        configurations.append({"services": [{**SERVICE, "engine": engine}]})
    limits = ("max_header_bytes", "max_body_bytes", "idle_timeout_ms")
    for name, value in itertools.product(limits, ODD_VALUES):
        configurations.append({"limits": {name: value}})
    rng.shuffle(configurations)
    for number, changed in enumerate(configurations):
        if not isinstance(changed, bytes):
            fleet.version += 1
            sound = {"routes": [route], "services": [SERVICE]}
            changed = {"version": fleet.version, **sound, **changed}
        fleet.put(changed, number)
        if number % 10 == 0:
            fleet.serves()
    fleet.put_sound()
    fleet.check()
