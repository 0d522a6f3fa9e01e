"""Fake backend servers that announce themselves and count executed requests.

They fall silent for a while and go on, and refuse requests when their slots are taken.
They crash when they begin to answer a request with a deadly prompt part, or the one
request that is deadly. Brittle ones fall over if they refuse too much. In need they
name a limit of requests a second, or ask hosts to pause, and record what they get.
Faulty ones write a refusal once more before a later answer, or into a stream.
"""

import collections
import itertools
import json
import math
import random
import time

import callerclient
import gevent
import gevent.event
import gevent.pool
import gevent.pywsgi

EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.03
SERVICE_TIME_S = 0.05
HEARTBEAT_INTERVAL_S = 0.5
# Bounds of the time between two silences of a server, and of a silence.
ACTIVITY_BOUNDS_S = (0.5, 5.0)
SILENCE_BOUNDS_S = (0.3, 1.6)
CRASH_BOUNDS_S = (1.5, 3.0)  # time until a crashed server is back
EVENT_END = b"\n\n"
MODEL = "m"


class CrashRecord:
    """Record requests that crash servers, by what is deadly, and the crashes."""

    def __init__(self):
        self.deadly_parts = set()
        self.deadly_path = None  # of a request that a caller repeats
        self.arrivals = []  # (time, request id, cause, service) of deadly requests
        self.crashes = []  # (time, cause, service)

    def find_cause(self, path, prefix):
        """Return what makes a request deadly, its path or a prompt part, or None."""
        if path == self.deadly_path:
            return path
        part_ids = [pair.partition(":")[0] for pair in prefix.split(",")]
        return next((name for name in part_ids if name in self.deadly_parts), None)

    def find_later(self, cause, service, crash_count, settle_s):
        """Return the ids of deadly requests that came after the last counted crash.

        A part that crashes the servers of one service may be sound at another one, so
        crashes count by service. A request is tried once more at another service.
        """
        count = 0
        for at, found, crashed_service in sorted(self.crashes):
            is_here = crashed_service == service
            count += found == cause and (is_here or cause == self.deadly_path)
            if found == cause and is_here and count >= crash_count:
                return [
                    request_id
                    for arrived_at, request_id, *key in self.arrivals
                    if key == [cause, service] and arrived_at > at + settle_s
                ]
        return []


class LimitRecord:
    """Record what one lifetime of a server gets while it names a limit."""

    def __init__(self, rate):
        self.rate = rate  # requests a second from all hosts together
        self.begins_at = time.monotonic()
        self.ends_at = math.inf
        self.arrivals = []  # (time, request id)
        self.told_by_id = {}  # by request id: when its answer named the limit

    def find_excess(self, host_of, settle_s, span_s=4.0, factor=1.5, slack=5.0):
        """Return the first span with too many requests from hosts that were told.

        ``host_of(request_id, time)`` is None for requests that do not count. The span
        is returned as (its end, number of requests, number allowed), None without one.
        """
        told_at_by_host = {}
        for request_id, told_at in self.told_by_id.items():
            host = host_of(request_id, told_at)
            told_at_by_host[host] = min(told_at, told_at_by_host.get(host, math.inf))
        allowed = factor * span_s * self.rate + slack
        recent = collections.deque()
        for at, request_id in self.arrivals:
            host = host_of(request_id, at)
            is_told = at - told_at_by_host.get(host, math.inf) >= 0.5
            is_in_force = self.begins_at + settle_s <= at - span_s and at < self.ends_at
            if host is None or not is_told:
                continue
            recent.append(at)
            while recent[0] <= at - span_s:
                recent.popleft()
            if is_in_force and len(recent) > allowed:
                return at, len(recent), allowed
        return None


class PauseRecord:
    """Record what one lifetime of a server asks hosts for, and what it gets."""

    def __init__(self):
        self.arrivals = []  # (time, request id, address of the host)
        self.asked = []  # (time, request id, address of the host, seconds)
        self.left = []  # the same without seconds, of answers that say that it leaves

    def find_excesses(self, host_of, settle_s=0.5, allowed=2):
        """Return the pauses in which a host sent more than a few requests.

        ``host_of(request_id, address, time)`` is None for hosts that do not count. Each
        pause is returned as (host, time of the answer, seconds, number of requests).
        """
        arrived_at_by_host = collections.defaultdict(list)
        for at, request_id, address in self.arrivals:
            arrived_at_by_host[host_of(request_id, address, at)].append(at)
        excesses = []
        for asked_at, request_id, address, seconds in self.asked:
            host = host_of(request_id, address, asked_at)
            count = sum(
                asked_at + settle_s < at < asked_at + seconds
                for at in arrived_at_by_host[host]
            )
            if host is not None and count > allowed:
                excesses.append((host, asked_at, seconds, count))
        return excesses

    def find_late(self, host_of, drain_s=2.0):
        """Return how many requests came too long after that, by host."""
        left_at_by_host = {}
        for at, request_id, address in self.left:
            host = host_of(request_id, address, at)
            left_at_by_host[host] = min(at, left_at_by_host.get(host, math.inf))
        left_at_by_host.pop(None, None)
        late_hosts = []
        for at, request_id, address in self.arrivals:
            host = host_of(request_id, address, at)
            if at > left_at_by_host.get(host, math.inf) + drain_s:
                late_hosts.append(host)
        return collections.Counter(late_hosts)


def make_refusal(request_id):
    """Return a refusal as a server writes it."""
    lines = (
        "HTTP/1.1 503 Full",
        f"Kumquatproxy-Request-Id: {request_id}",
        "Kumquatproxy-Not-Executed: 1",
        "Content-Length: 0",
    )
    return "\r\n".join([*lines, "", ""]).encode()


def prompt_headers(parts):
    """Return the headers of a request for a model, whose prompt has these parts."""
    return {
        "Kumquatproxy-Model": MODEL,
        "Kumquatproxy-Token-Usage": f"{10 * len(parts)},40",
        "Kumquatproxy-Prompt-Prefix": ",".join(f"{part}:10" for part in parts),
    }


class ExecutionCounter:
    """Count the executions of each request over all backend servers."""

    def __init__(self):
        self.count_by_id = collections.Counter()
        self.received_ids = set()  # also of requests that were refused
        self.broken_ids = set()  # of streams that a server ended with an error
        self.crashes = CrashRecord()
        self.teams = None  # teamcallers.TeamCallers of a run with teams

    def record(self, request_id):
        self.count_by_id[request_id] += 1


class RepeatingHandler(gevent.pywsgi.WSGIHandler):
    """Write the last refusal on the connection once more before a later answer."""

    refusal = b""

    def run_application(self):
        refusal, self.refusal = self.refusal, b""
        if refusal:
            self.socket.sendall(refusal)
        super().run_application()

    def get_environ(self):
        return {**super().get_environ(), "soak.handler": self}


class FakeServer:
    """Run one backend server of a service and send its heartbeats."""

    role = "server"
    bears_refusals = None  # a second; the server says so and falls over beyond it
    close_share = 0.0  # of the answers after which the connection is closed
    refusal_share = 0.0  # of the requests that are refused, each refusal twice
    early_share = 0.0  # of the requests that are refused before their body is read
    error_share = 0.0  # of the events after which a refusal ends the stream

    def __init__(
        self,
        name,
        service,
        listen,
        proxy,
        executions,
        controls,
        slots,
        rng=None,
        software_version="v1",
        on_crash=lambda server, down_s: None,
    ):
        self.name = name
        self.listen = listen
        self.born_ms = 1
        self.software_version = software_version
        self.service = service
        self.proxy = proxy  # forwards its announced address
        self.executions = executions
        self.controls = controls
        self.slots = slots
        self.state = "ready"
        self.falls = []  # (time, ids of the requests refused in the second before)
        self._refusals = collections.deque()  # (time, request id)
        self.limit = None  # LimitRecord while the server names a limit
        self.limits = []  # all of them
        self.paused_until = 0.0
        self.is_leaving = False  # said in all answers, but not in heartbeats
        self.pauses = PauseRecord()  # of this lifetime
        self.all_pauses = [self.pauses]
        self._rng = rng  # None for a server that never falls silent
        self._on_crash = on_crash
        self._crash_rng = rng or random.Random(name)
        self._running = 0
        self._is_active = gevent.event.Event()
        self._is_active.set()
        self._sequence = itertools.count(1)
        self._is_down = False
        self.open_listener()
        self._announcer = gevent.spawn(self._announce)
        self._silencer = gevent.spawn(self._fall_silent_at_times)

    def open_listener(self):
        """Accept connections."""
        self._server = gevent.pywsgi.WSGIServer(
            self.listen,
            self._answer,
            log=None,
            error_log=None,
            handler_class=RepeatingHandler,
            spawn=gevent.pool.Pool(),
        )
        self._server.start()
        self.proxy.open_listener()

    def close_listener(self):
        """Refuse connections until ``open_listener``; heartbeats go on."""
        self.proxy.close_listener()
        self._server.stop(timeout=0)

    def begin_limit(self, rate):
        """Name a limit in all answers until ``end_limit``."""
        self.end_limit()
        self.limit = LimitRecord(rate)
        self.limits.append(self.limit)

    def end_limit(self):
        """Name no limit any more."""
        if self.limit is not None:
            self.limit.ends_at = time.monotonic()
        self.limit = None

    def begin_pause(self, seconds):
        """Turn requests away for a time, and name the rest of it each time."""
        self.paused_until = time.monotonic() + seconds

    def begin_lifetime(self):
        """Begin a lifetime that neither leaves nor wants a pause; runs go on."""
        self.born_ms += 1
        self.paused_until = 0.0
        self.is_leaving = False
        self.pauses = PauseRecord()
        self.all_pauses.append(self.pauses)
        self._sequence = itertools.count(1)

    def crash(self, down_s, cause):
        """Break off all requests, and start again at the same address later."""
        if self._is_down:
            return
        self._is_down = True
        crash = (time.monotonic(), cause, self.service)
        self.executions.crashes.crashes.append(crash)
        self._on_crash(self, down_s)
        self.close_listener()
        gevent.spawn_later(down_s, self._start_again)

    def start_unannounced(self, software_version, down_s):
        """End, and be back at another version without a heartbeat."""
        self._is_down = True
        self.close_listener()
        self.begin_lifetime()
        self.software_version = software_version
        gevent.sleep(down_s)
        self.open_listener()

    def _start_again(self):
        self.begin_lifetime()
        self.end_limit()
        self._running = 0
        self.open_listener()
        self._is_down = False

    def _fall_silent_at_times(self):
        while self._rng is not None:
            gevent.sleep(self._rng.uniform(*ACTIVITY_BOUNDS_S))
            self._is_active.clear()
            gevent.sleep(self._rng.uniform(*SILENCE_BOUNDS_S))
            self._is_active.set()

    def _announce(self):
        for number in itertools.count():
            self._is_active.wait()
            if not self._is_down:
                self.send_heartbeat(number)
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self, number):
        """Send one heartbeat; return whether it was acknowledged."""
        heartbeat = {
            "backend": self.service,
            "address": self.proxy.address,
            "zone": "z",
            "version": self.software_version,
            "slots": self.slots,
            "state": self.state,
            "sequence": next(self._sequence),
            "born": self.born_ms,
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
        }
        control = self.controls[number % len(self.controls)]
        path = f"/-/instances/{self.name}/heartbeat"
        body = json.dumps(heartbeat).encode()
        return callerclient.call(control, "POST", path, body, 1.0)[0] == 200

    def _answer(self, environ, start_response):
        arrived_at, address = time.monotonic(), environ["REMOTE_ADDR"]
        self._is_active.wait()
        request_id = environ.get("HTTP_KUMQUATPROXY_REQUEST_ID", "")
        headers = [("Kumquatproxy-Request-Id", request_id)]
        if self._crash_rng.random() < self.close_share:
            headers.append(("Connection", "close"))
        if self._crash_rng.random() < self.early_share:
            headers.append(("Kumquatproxy-Not-Executed", "1"))
            start_response("503 Full", headers)
            return
        environ["wsgi.input"].read()
        self.executions.received_ids.add(request_id)
        if self.executions.teams is not None:
            self.executions.teams.record(request_id, environ)
        crashes = self.executions.crashes
        prefix = environ.get("HTTP_KUMQUATPROXY_PROMPT_PREFIX", "")
        cause = crashes.find_cause(environ["PATH_INFO"], prefix)
        if cause is not None:
            arrival = (time.monotonic(), request_id, cause, self.service)
            crashes.arrivals.append(arrival)
        if environ.get("HTTP_KUMQUATPROXY_EXPECT_INSTANCE") != self.name:
            start_response("421 Misdirected", headers)
            return
        if self.bears_refusals is not None:
            headers.append(("Server-Brittle", str(self.bears_refusals)))
        if self.limit is not None:
            self.limit.arrivals.append((time.monotonic(), request_id))
            self.limit.told_by_id[request_id] = time.monotonic()
            headers.append(("Server-Limit", f"{self.limit.rate:g}"))
        self.pauses.arrivals.append((arrived_at, request_id, address))
        if self.is_leaving:
            self.pauses.left.append((time.monotonic(), request_id, address))
            headers.append(("Server-Leaving", "1"))
        left_s = round(self.paused_until - time.monotonic(), 3)
        if left_s > 0.0:
            asked = (time.monotonic(), request_id, address, left_s)
            self.pauses.asked.append(asked)
            headers.append(("Kumquatproxy-Not-Executed", "1"))
            headers.append(("Retry-After", f"{left_s:.3f}"))
            start_response("503 Paused", headers)
            return
        if self._crash_rng.random() < self.refusal_share:
            environ["soak.handler"].refusal = make_refusal(request_id)
            headers.append(("Kumquatproxy-Not-Executed", "1"))
            start_response("503 Full", headers)
            return
        if self._running >= self.slots:
            self._record_refusal(request_id)
            headers.append(("Kumquatproxy-Not-Executed", "1"))
            start_response("503 Full", headers)
            return
        self.executions.record(request_id)
        if self.executions.teams is not None:
            self.executions.teams.record_run(request_id, environ, arrived_at)
        headers.append(("Kumquatproxy-Response-Seal", self.name))
        self._running += 1
        born_ms = self.born_ms
        try:
            if "/stream/" in environ["PATH_INFO"]:
                headers.append(("Content-Type", "text/event-stream"))
                first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
                parts = self.events(request_id, first)
                if cause is not None:
                    gevent.sleep(EVENT_INTERVAL_S)
            else:
                parts = [f"{request_id} ".encode(), b"done"]
                headers.append(("Content-Length", str(len(b"".join(parts)))))
                gevent.sleep(SERVICE_TIME_S)
            if cause is not None:
                self._crash_on_answer(start_response, headers, cause)
                return
            start_response("200 OK", headers)
            for part in parts:
                self._is_active.wait()
                yield part
                if part.endswith(EVENT_END) and self._has_error():
                    self.executions.broken_ids.add(request_id)
                    yield make_refusal(request_id)
                    return
        finally:
            if born_ms == self.born_ms:
                self._running -= 1

    def _has_error(self):
        return self._crash_rng.random() < self.error_share

    def _record_refusal(self, request_id):
        """Fall over if a brittle server has refused too many requests in a second."""
        now = time.monotonic()
        self._refusals.append((now, request_id))
        while self._refusals[0][0] < now - 1.0:
            self._refusals.popleft()
        if self.bears_refusals is None or self._is_down:
            return
        if len(self._refusals) > self.bears_refusals:
            self.falls.append((now, [refused for _, refused in self._refusals]))
            self._refusals.clear()
            gevent.spawn(self.crash, self._crash_rng.uniform(*CRASH_BOUNDS_S), "fall")

    def _crash_on_answer(self, start_response, headers, cause):
        """Crash before the head, after it, or inside the body."""
        request_id = headers[0][1]
        beginnings = [None, b"", b"id: 1\ndata: "]
        if cause == "/stream/dead":
            beginnings.append(f"id: 1\ndata: {request_id} 1\n\n".encode())
        elif cause == self.executions.crashes.deadly_path:
            beginnings[2:] = [f"{request_id} ".encode()]
        beginning = self._crash_rng.choice(beginnings)
        if beginning is not None:
            start_response("200 OK", headers)(beginning)
        down_s = self._crash_rng.uniform(*CRASH_BOUNDS_S)
        gevent.spawn(self.crash, down_s, cause)
        gevent.sleep(math.inf)  # the crash ends this greenlet

    def events(self, request_id, first):
        """Yield the events of a stream from number ``first`` on."""
        for number in range(first, EVENT_COUNT + 1):
            gevent.sleep(EVENT_INTERVAL_S)
            yield f"id: {number}\ndata: {request_id} {number}\n\n".encode()

    def close(self):
        gevent.killall([self._announcer, self._silencer])
        self._server.stop(timeout=0)
        self.proxy.close()
