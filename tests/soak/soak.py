"""Seeded soak test: hosts as processes, injected faults, and checked guarantees.

``python tests/soak/soak.py --seeds 50 [--first 100] [--seconds 15]`` runs it by hand.
A seed that failed is added to ``REGRESSION_SEEDS`` with a comment on the cause.
"""

import argparse
import collections
import contextlib
import json
import math
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import gevent

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import addressblocks
import callerclient
import cuttablehost
import fakeservers
import faultproxy
import teamcallers

# Seeds that once failed, each with its cause; CI runs them besides its fixed seed.
REGRESSION_SEEDS: list[int] = []

# A link is a connection between hosts.
LINK_PROXY_PORT, LINK_PORT = 7380, 7381
API_PORT, CALLER_PORT, READY_PORT = 7382, 7383, 7384
SERVER_PORT, SERVER_PROXY_PORT = 7385, 7386
PEER_PORT = 7387
CUTTABLE_HOST = str(pathlib.Path(__file__).parent / "cuttablehost.py")
READY_TIMEOUT_S = 30.0
DEADLINE_S = 2.5
DEADLINE_MARGIN_S = 0.1
# Time of a caller for one request; the impatient ones leave before the deadline.
PATIENCE_S = (0.8, 4.0, 4.0)
# The rules hold for a host this long after its last disturbance.
STABILITY_WINDOW_S = 3.0
# Share of streams with a prompt part that crashes servers, in half of the runs, and of
# requests that repeat one that does so, in three of eight. Hosts in touch may send a
# few of them later than the window after the last crash that is counted.
DEADLY_SHARE = 0.1
DEADLY_PART = "dead"
REPEATED_SHARE = 0.04
PART_CRASHES, REQUEST_CRASHES = 3, 3  # after which hosts reject, by service
SETTLED_CRASHES = 5  # at all services, after which sound streams are compared
# Requests a second that servers in need take, in half of the runs.
LIMIT_BOUNDS = (0.3, 1.5)
MAX_LATER_DEADLY = 3
# Refusals a second after which servers fall over, in a fifth of the runs.
BEARS_REFUSALS = 6
# Pauses that servers ask for in a third of the runs. A host that is disturbed in one is
# settled only after its end.
PAUSE_BOUNDS_S = (1.0, STABILITY_WINDOW_S)
# Share of the requests that faulty servers refuse, each refusal twice, and of events
# after which they write one into the stream, in two fifths of the runs.
REPEATED_REFUSALS, ERRORS_IN_STREAMS = 0.05, 0.005
# A host without a path to servers serves this share of what the others serve, or a few
# requests fail there.
CUT_SHARE = 2 / 3
CUT_FAILURES, CUT_FAILURES_PER_REQUEST = 10, 1 / 50
# Fewer sound streams than this are not compared with those at other times.
MIN_COMPARED = 20
# A request that crosses the closing of its connection ends within this time.
MAX_CROSSING_S = 0.2
TEMPLATE = """[host]
id = {ip}
data_centre = z
{folder}
links = {ip}:{link_port}
link_port = {link_proxy_port}
seeds = {seeds}
key = soak
forms_group = {forms}
[entry]
{entry}
[control]
{control}
[dialect]
name = platform
module = kumquatproxy.platform.adapter
[bounds]
stop_grace = 8s
"""
TEMPLATE += teamcallers.BOUNDS


class HostProcess:
    """One host process with its settings, its data folder and its log."""

    def __init__(self, role, ip, contact_addresses, folder):
        self.role = role
        self.ip = ip
        self.contact_addresses = contact_addresses
        self.folder = folder / f"{role}-{ip}"
        self.folder.mkdir()
        self.disk = self.folder / "disk"
        self.cut_file = self.folder / "cut"
        self.cut_ports = (SERVER_PORT, SERVER_PROXY_PORT)  # if it is an entry host
        self.handle = None
        self.has_started = False
        self.started_at = 0.0
        self.proxy = faultproxy.FaultProxy((ip, LINK_PROXY_PORT), (ip, LINK_PORT))

    def is_running(self):
        return self.handle is not None and self.handle.poll() is None

    def start(self):
        """Start the process unless an overlapping fault has started it."""
        if self.is_running():
            return
        self.started_at = time.monotonic()
        is_control = self.role == "control"
        text = TEMPLATE.format(
            ip=self.ip,
            folder=f"data_folder = {self.disk}" if is_control else "",
            link_port=LINK_PORT,
            link_proxy_port=LINK_PROXY_PORT,
            seeds=",".join(self.contact_addresses),
            forms="no" if self.has_started else "yes",
            control=f"api = {self.ip}:{API_PORT}" if is_control else "",
            entry="" if is_control else self.entry_lines(),
        )
        path = self.folder / "settings.ini"
        path.write_text(text)
        program = ["-m", "kumquatproxy"] if is_control else [CUTTABLE_HOST]
        command = [sys.executable, *program, "fleet", self.role]
        with open(self.folder / "log", "ab") as log:
            self.handle = subprocess.Popen(
                [*command, "--config", str(path)],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": os.getcwd(),
                    "SOAK_CUT_FILE": str(self.cut_file),
                    "SOAK_HOST_IP": self.ip,
                    "SOAK_CUT_PORTS": ",".join(map(str, self.cut_ports)),
                },
            )
        self.has_started = True

    def entry_lines(self):
        callers = f"callers = {self.ip}:{CALLER_PORT}"
        readiness = f"readiness = {self.ip}:{READY_PORT}"
        return f"{callers}\n{readiness}\npeers = {self.ip}:{PEER_PORT}"

    def signal(self, number):
        if self.is_running():
            os.kill(self.handle.pid, number)

    def terminate(self, number, timeout_s=10.0):
        """Send a terminating signal and wait; kill the process after the timeout."""
        handle = self.handle
        self.signal(signal.SIGCONT)
        self.signal(number)
        end = time.monotonic() + timeout_s
        while handle.poll() is None and time.monotonic() < end:
            gevent.sleep(0.05)
        if handle.poll() is None:
            handle.kill()
            handle.wait()

    def cut(self, mode):
        """Cut an entry host off from ``cut_ports``, as ``cuttablehost`` says."""
        self.cut_file.write_text(mode)

    def heal(self):
        self.cut_file.unlink(missing_ok=True)

    def delete_data_folder(self):
        shutil.rmtree(self.disk, ignore_errors=True)

    def close(self):
        if self.handle is not None:
            self.terminate(signal.SIGKILL)
        self.proxy.close()


class Disturbance:
    """Hold the time of a fault that is injected at a host or server."""

    def __init__(self, target):
        self.target = target
        self.is_crash = False  # caused by a request
        self.begins_at = time.monotonic()
        self.ends_at = math.inf

    def affects(self, exchange):
        """Return whether the rules do not hold for an exchange."""
        # Faults at control hosts and servers affect all hosts.
        if self.target.role == "entry" and self.target.ip != exchange.ip:
            return False
        settled_at = self.ends_at + STABILITY_WINDOW_S
        return exchange.ended_at >= self.begins_at and exchange.sent_at <= settled_at


class Soak:
    """Run the system, its callers and its faults for one seed."""

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        block = addressblocks.find_block("soak", seed)
        controls = [f"127.{block}.0.{number}" for number in (1, 2, 3)]
        entry_count = self.rng.choice((2, 2, 3, 4))
        entries = [f"127.{block}.1.{number + 1}" for number in range(entry_count)]
        self.caller_count = self.rng.choice((6, 12, 24))
        api_addresses = [f"{ip}:{API_PORT}" for ip in controls]
        self.api_addresses = api_addresses
        self.controls = [
            HostProcess("control", ip, api_addresses, self.folder) for ip in controls
        ]
        self.entries = [
            HostProcess("entry", ip, api_addresses, self.folder) for ip in entries
        ]
        self.executions = fakeservers.ExecutionCounter()
        self.servers = []
        slots = self.rng.choice((2, 3, 8))
        services = ["desk"] * self.rng.randint(2, 3) + ["talk"] * self.rng.randint(3, 5)
        for number, service in enumerate(services, start=1):
            ip = f"127.{block}.2.{number}"
            proxy = faultproxy.FaultProxy((ip, SERVER_PROXY_PORT), (ip, SERVER_PORT))
            self.servers.append(
                fakeservers.FakeServer(
                    f"i-{number}",
                    service,
                    (ip, SERVER_PORT),
                    proxy,
                    self.executions,
                    api_addresses,
                    slots,
                    self.rng,
                    on_crash=self.record_crash,
                )
            )
        self.version = 0
        self.acknowledged_version = 0
        if seed % 4 < 2:
            self.executions.crashes.deadly_parts.add(DEADLY_PART)
        # Beside prompt parts, crashes leave no calm span in some of these seeds.
        if seed % 4 == 3 or seed % 8 == 4:
            deadly_mode = random.Random(seed).choice(("once", "safe", "stream"))
            self.executions.crashes.deadly_path = f"/{deadly_mode}/dead"
        if seed % 12 in (0, 5, 11):
            self.executions.teams = teamcallers.TeamCallers(seed)
        self.cuts_paths = seed % 3 == 0
        if seed % 5 in (1, 3):
            for server in self.servers:
                server.refusal_share = REPEATED_REFUSALS
                server.error_share = ERRORS_IN_STREAMS
        self.path_cuts = []  # (IP addresses of hosts without a path, begin, end)
        self.mode_by_id = {}
        self.deadly_ids = set()
        self.refused_ids = set()
        self.exchanges = []
        self.disturbances = []
        self.is_restoring_disk = False
        self.served = 0
        self.checked_by_end = collections.Counter()
        self.compared_paths = 0
        self.asked_pauses = 0
        self.brittle_since = math.inf
        self.violations = []
        self.ends_at = 0.0
        self.deadly_from = math.inf  # servers crash from then on

    def record_violation(self, text):
        self.violations.append(text)

    # The operator

    def configuration(self, version):
        routes = [
            route("once", "/once/", "unsafe", "desk"),
            route("safe", "/safe/", "safe", "desk", attempts=2),
            route("stream", "/stream/", "streaming", "talk", attempts=2),
        ]
        routes[2]["resumable"] = True
        routes.append(route(f"extra-{version}", f"/extra-{version}/", "safe", "desk"))
        for changed in routes[:3]:
            changed["timeout_ms"] = self.rng.choice((2500, 4000))
            changed["gap_target_ms"] = self.rng.choice((100, 400))
            if self.rng.random() < 0.3:
                changed["backend"] = self.rng.choice(("desk", "talk"))
        services = [{"name": name} for name in ("desk", "talk")]
        content = {"version": version, "routes": routes, "services": services}
        if self.executions.teams is not None:
            content["tenants"] = self.executions.teams.tenants(version)
        content["limits"] = {"idle_timeout_ms": self.rng.choice((1000, 15000))}
        return content

    def submit(self):
        self.version += self.rng.randint(1, 3)
        body = json.dumps(self.configuration(self.version)).encode()
        for _ in range(30):
            api = self.rng.choice(self.api_addresses)
            status, _ = callerclient.call(api, "POST", "/-/config/replace", body, 3.0)
            if status == 200:
                self.acknowledged_version = max(self.acknowledged_version, self.version)
                if self.executions.teams is not None:
                    self.executions.teams.acknowledge(self.version)
                return
            if 400 <= status < 500:
                self.record_violation(
                    f"version {self.version} was refused with {status}"
                )
                return
            gevent.sleep(0.2)

    def check_read(self, api):
        """Check that a read misses no acknowledged version; return if it succeeded."""
        before = self.acknowledged_version
        status, body = callerclient.call(api, "GET", "/-/config/get", b"", 3.0)
        if status != 200:
            return False
        version = json.loads(body)["version"]
        if version < before:
            self.record_violation(
                f"{api} returned version {version} after {before} was acknowledged"
            )
        return True

    def run_operator(self):
        while time.monotonic() < self.ends_at:
            self.submit()
            self.check_read(self.rng.choice(self.api_addresses))
            gevent.sleep(self.rng.uniform(0.1, 0.6))

    # Callers

    def run_caller(self, number):
        """Send requests, on kept connections if the number of the caller is even."""
        connection_by_ip = {}
        while time.monotonic() < self.ends_at:
            mode = self.rng.choice(("once", "safe", "stream"))
            path = f"/{mode}/x"
            request_id = f"{self.seed}-{number}-{self.rng.getrandbits(48):012x}"
            deadly_path = self.executions.crashes.deadly_path
            is_due = time.monotonic() >= self.deadly_from
            if deadly_path and is_due and self.rng.random() < REPEATED_SHARE:
                path = deadly_path
                mode = path.split("/")[1]
                self.deadly_ids.add(request_id)
            self.mode_by_id[request_id] = mode
            ip = self.rng.choice(self.entries).ip
            connection = connection_by_ip.setdefault(ip, caller_connection(ip))
            self.send_request(connection, ip, mode, request_id, path)
            if number % 2:
                connection.close()
            gevent.sleep(self.rng.uniform(0.0, 0.1))
        for connection in connection_by_ip.values():
            connection.close()

    def prompt_headers(self, request_id):
        """Return the headers of a stream's prompt, which may crash its server."""
        parts = ["shared", f"subject-{self.rng.randrange(6)}", request_id]
        deadly_parts = self.executions.crashes.deadly_parts
        if deadly_parts and self.rng.random() < DEADLY_SHARE:
            parts[2:2] = deadly_parts
            self.deadly_ids.add(request_id)
        return fakeservers.prompt_headers(parts)

    def record_crash(self, server, down_s):
        """Record that a server is down; calls in flight there break off."""
        crash = Disturbance(server)
        crash.is_crash = True
        crash.ends_at = crash.begins_at + down_s
        self.disturbances.append(crash)

    def send_request(self, connection, ip, mode, request_id, path=None):
        headers = {"Kumquatproxy-Request-Id": request_id, "Host": "soak.example"}
        headers["Kumquatproxy-Deadline-Ms"] = f"{DEADLINE_S * 1000:.0f}"
        if mode == "stream":
            headers.update(self.prompt_headers(request_id))
        if self.executions.teams is not None:
            is_probe = "-probe-" in request_id
            headers.update(self.executions.teams.headers(request_id, is_probe))
        patience_s = self.rng.choice(PATIENCE_S)
        exchange = callerclient.Exchange(ip, request_id, patience_s)
        connection.run(exchange, "POST", path or f"/{mode}/x", headers)
        self.exchanges.append(exchange)
        if exchange.end is callerclient.End.REFUSED:
            self.refused_ids.add(request_id)
        expected = f"{request_id} done".encode()
        if mode == "stream":
            expected = b"".join(
                f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                for number in range(1, fakeservers.EVENT_COUNT + 1)
            )
        is_answered = exchange.end is callerclient.End.ANSWERED
        is_prefix = expected.startswith(exchange.body) and not is_answered
        if exchange.status == 200 and exchange.body != expected and not is_prefix:
            self.record_violation(f"{mode} {request_id} got {exchange.body[:200]!r}")
        self.served += is_answered
        return is_answered

    # Servers in need

    def name_limits(self):
        """Let some servers name a limit for most of the run, and change it once."""
        limited = self.rng.sample(self.servers, 2)
        for server in limited:
            server.begin_limit(self.rng.uniform(*LIMIT_BOUNDS))
        gevent.sleep(0.8 * self.seconds)
        limited[0].end_limit()

    def check_limits(self):
        """Check what servers got, from hosts in touch, while they named a limit."""
        exchanges_by_id = {exchange.request_id: exchange for exchange in self.exchanges}

        def host_of(request_id, at):
            exchange = exchanges_by_id.get(request_id)
            if exchange is None or any(
                fault.affects(exchange)
                for fault in self.disturbances
                if not fault.is_crash
            ):
                return None
            return exchange.ip

        for server in self.servers:
            for limit in server.limits:
                excess = limit.find_excess(host_of, STABILITY_WINDOW_S)
                if excess is not None:
                    self.record_violation(
                        f"{server.name} got {excess[1]} requests in 4 s for a limit of "
                        f"{limit.rate:.1f} a second, allowed {excess[2]:.1f}"
                    )

    def ask_for_pauses(self):
        """Let servers ask for pauses, at times all of a service at once."""
        while time.monotonic() < self.ends_at:
            gevent.sleep(self.rng.uniform(0.5, 2.0))
            server = self.rng.choice(self.servers)
            paused = [server]
            if self.rng.random() < 0.2:
                service = server.service
                paused = [other for other in self.servers if other.service == service]
            for other in paused:
                other.begin_pause(self.rng.uniform(*PAUSE_BOUNDS_S))

    def leave_at_times(self):
        """Let servers say in their answers that they leave, and start anew later."""
        while time.monotonic() < self.ends_at:
            gevent.sleep(self.rng.uniform(0.5, 2.0))
            server = self.rng.choice(self.servers)
            server.is_leaving = True
            gevent.sleep(self.rng.uniform(2.5, 5.0))
            server.begin_lifetime()

    def check_pauses(self):
        """Check that hosts in touch left servers alone that paused or were leaving."""
        exchanges_by_id = {exchange.request_id: exchange for exchange in self.exchanges}
        faults = [fault for fault in self.disturbances if not fault.is_crash]

        def host_of(request_id, address, at):
            exchange = exchanges_by_id.get(request_id)
            if exchange is None or any(fault.affects(exchange) for fault in faults):
                return None
            return exchange.ip

        for server in self.servers:
            for pauses in server.all_pauses:
                self.asked_pauses += len(pauses.asked)
                if late := pauses.find_late(host_of):
                    self.record_violation(
                        f"{server.name} got requests after it said that it leaves: "
                        f"{dict(late)}"
                    )
                for host, _, seconds, count in pauses.find_excesses(host_of):
                    self.record_violation(
                        f"{server.name} got {count} requests from {host} in a pause of "
                        f"{seconds:.1f} s"
                    )

    # Brittle servers

    def make_brittle(self):
        """Let all servers say that they are brittle for most of the run."""
        for server in self.servers:
            server.bears_refusals = BEARS_REFUSALS
        self.brittle_since = time.monotonic()
        gevent.sleep(0.8 * self.seconds)
        for server in self.servers:
            server.bears_refusals = None

    def check_brittle(self):
        """Check that few servers fell over under requests of hosts in touch."""
        exchanges_by_id = {exchange.request_id: exchange for exchange in self.exchanges}
        faults = [fault for fault in self.disturbances if not fault.is_crash]
        for service in {server.service for server in self.servers}:
            members = [server for server in self.servers if server.service == service]
            falls = 0
            for at, ids in (fall for server in members for fall in server.falls):
                calm = [
                    request_id in exchanges_by_id
                    and not any(
                        fault.affects(exchanges_by_id[request_id]) for fault in faults
                    )
                    for request_id in ids
                ]
                is_settled = at > self.brittle_since + STABILITY_WINDOW_S
                falls += is_settled and sum(calm) > len(calm) / 2
            if falls > 2 + len(members) / 10:
                self.record_violation(
                    f"brittle servers of {service} fell {falls} times"
                )

    # Hosts without a path to servers

    def cut_paths(self):
        """Cut some entry hosts off from all servers while there are no other faults."""
        gevent.sleep((1 - self.seed % 2) * self.seconds / 2)
        cut = self.rng.sample(self.entries, self.rng.randrange(1, len(self.entries)))
        mode = self.rng.choice(cuttablehost.MODES)
        for host in cut:
            with self.disturb(host):
                host.cut(mode)
        begins_at = time.monotonic()
        gevent.sleep(self.seconds / 2 - 0.5)
        self.path_cuts.append(({host.ip for host in cut}, begins_at, time.monotonic()))
        for host in cut:
            with self.disturb(host):
                host.heal()

    def check_paths(self):
        """Check that callers of hosts without a path are served as others are."""
        faults = [fault for fault in self.disturbances if not fault.is_crash]
        for ips, begins_at, ends_at in self.path_cuts:
            counted = [
                exchange
                for exchange in self.exchanges
                if begins_at + STABILITY_WINDOW_S < exchange.sent_at
                and exchange.ended_at < ends_at
                and exchange.request_id not in self.deadly_ids
                and exchange.patience_s >= DEADLINE_S
                and not any(fault.affects(exchange) for fault in faults)
            ]
            served = collections.Counter()
            sent = collections.Counter()
            for exchange in counted:
                is_cut = exchange.ip in ips
                sent[is_cut] += 1
                served[is_cut] += exchange.end is callerclient.End.ANSWERED
            if min(sent[True], sent[False]) < MIN_COMPARED:
                continue
            self.compared_paths += 1
            allowed = CUT_FAILURES + CUT_FAILURES_PER_REQUEST * len(counted)
            share, usual_share = (served[key] / sent[key] for key in (True, False))
            failures = sent[True] - served[True]
            if share < CUT_SHARE * usual_share and failures > allowed:
                self.record_violation(
                    f"hosts without a path served {served[True]} of {sent[True]}, the "
                    f"others {served[False]} of {sent[False]}"
                )

    # Planned work, beside which every request gets an answer

    def plan_work(self):
        while time.monotonic() < self.ends_at:
            gevent.sleep(self.rng.uniform(0.2, 2.0))
            host = self.rng.choice(self.entries)
            if time.monotonic() - host.started_at < STABILITY_WINDOW_S:
                continue  # the handlers of its signals may not be set yet
            if self.rng.random() < 0.7 or self.cuts_paths:
                host.signal(signal.SIGHUP)
            else:
                self.stop_gracefully(host)

    # Faults. Two series run concurrently, so that faults overlap

    def inject_faults(self, begins_at, ends_at):
        gevent.sleep(begins_at - time.monotonic())
        while time.monotonic() < ends_at:
            fault = self.rng.choice(FAULTS)
            if fault in UNTARGETED_FAULTS:
                fault(self)
            else:
                targets = self.hosts()
                targets += self.servers if fault in TRAFFIC_FAULTS else []
                target = self.rng.choice(targets)
                with self.disturb(target):
                    fault(self, target)
            gevent.sleep(self.rng.uniform(0.1, 1.2))

    @contextlib.contextmanager
    def disturb(self, target):
        """Record a disturbance while the context is open."""
        disturbance = Disturbance(target)
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ends_at = time.monotonic()

    def hosts(self):
        """Return the hosts that may be disturbed now."""
        return self.entries + ([] if self.is_restoring_disk else self.controls)

    def pause(self, victim):
        victim.signal(signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(0.3, 2.0))
        victim.signal(signal.SIGCONT)

    def kill(self, victim):
        victim.terminate(signal.SIGKILL)
        gevent.sleep(self.rng.uniform(0.0, 1.0))
        victim.start()

    def stop_gracefully(self, victim):
        victim.terminate(signal.SIGTERM)
        victim.start()

    def send_signals(self, victim):
        for _ in range(self.rng.randint(2, 6)):
            victim.signal(self.rng.choice(SERIES_SIGNALS))
            gevent.sleep(self.rng.uniform(0.0, 0.4))
        self.stop_gracefully(victim)

    def lose_disk(self):
        """Let a control host lose its disk while no other control host is faulty.

        Otherwise the last copy of a change could be lost.
        """
        if self.is_restoring_disk:
            return
        self.is_restoring_disk = True
        while any(
            fault.target in self.controls and fault.ends_at == math.inf
            for fault in self.disturbances
        ):
            gevent.sleep(0.1)
        victim = self.rng.choice(self.controls)
        with self.disturb(victim):
            victim.terminate(signal.SIGKILL)
            victim.delete_data_folder()
            victim.start()
            gevent.sleep(4.0)  # should suffice for the restarted host to fetch the log
        self.is_restoring_disk = False

    def kill_all_control_hosts(self):
        if self.is_restoring_disk:
            return
        with self.disturb(self.controls[0]):
            for victim in self.controls:
                victim.signal(signal.SIGKILL)
            for victim in self.controls:
                victim.terminate(signal.SIGKILL)
                victim.start()

    def reset_connections(self):
        for target in [*self.hosts(), *self.servers]:
            if self.rng.random() < 0.4:
                with self.disturb(target):
                    target.proxy.reset()

    def block_traffic(self, target):
        directions = self.rng.choice((("up",), ("down",), ("up", "down")))
        target.proxy.blocked_directions = set(directions)
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        target.proxy.clear_faults()

    def delay_traffic(self, target):
        target.proxy.delay_s = self.rng.uniform(0.01, 0.2)
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        target.proxy.clear_faults()

    # The run

    def run(self):
        """Run to the end and return the violations."""
        try:
            with self.disturb(self.controls[0]):
                for process in [*self.controls, *self.entries]:
                    process.start()
                self.ends_at = time.monotonic() + READY_TIMEOUT_S
                self.submit()
                is_ready = self.wait_for(self.is_serving)
            if not is_ready:
                self.record_violation(
                    "not every entry host served a request at the start"
                )
                return self.violations
            # Half of the run is calm: faults are injected in the other half only.
            # Limits are checked in calm spans, so more of a run with limits is calm.
            faults_s = self.seconds / (5 if self.seed % 4 == 2 else 2)
            begins_at = time.monotonic() + self.seed % 2 * self.seconds / 2
            self.ends_at = time.monotonic() + self.seconds
            # The calm half stays calm if it comes first.
            self.deadly_from = begins_at
            tasks = [
                gevent.spawn(self.run_caller, number)
                for number in range(self.caller_count)
            ]
            tasks += [gevent.spawn(self.run_operator), gevent.spawn(self.plan_work)]
            if self.seed % 5 == 0:
                tasks.append(gevent.spawn(self.make_brittle))
            if self.cuts_paths:
                tasks.append(gevent.spawn(self.cut_paths))
            if self.seed % 3 == 1:
                tasks.append(gevent.spawn(self.ask_for_pauses))
            if self.seed % 3 == 2:
                tasks.append(gevent.spawn(self.leave_at_times))
            if self.seed % 4 in (1, 2):
                tasks.append(gevent.spawn(self.name_limits))
            if self.executions.teams is not None:
                change = (self.executions.teams, "changes_keys", True)
                # In both cases a part of the calm half follows.
                changed_s = self.seconds / (4 if self.seed % 2 else 2)
                tasks.append(gevent.spawn_later(changed_s, setattr, *change))
            for _ in range(2):
                tasks.append(
                    gevent.spawn(self.inject_faults, begins_at, begins_at + faults_s)
                )
            gevent.joinall(tasks, raise_error=True)
            self.recover()
            self.check()
            return self.violations
        finally:
            self.close()

    def is_serving(self):
        request_id = f"{self.seed}-probe-{self.rng.getrandbits(48):012x}"
        self.mode_by_id[request_id] = "safe"
        return all(
            self.send_request(caller_connection(ip), ip, "safe", request_id)
            for ip in [entry.ip for entry in self.entries]
        )

    def wait_for(self, condition):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return True
            gevent.sleep(0.2)
        return False

    def recover(self):
        for process in [*self.controls, *self.entries]:
            process.signal(signal.SIGCONT)
        if not self.wait_for(
            lambda: all(self.check_read(api) for api in self.api_addresses)
        ):
            self.record_violation(
                "not every control host returned a configuration at the end"
            )
        if not self.wait_for(self.is_serving):
            self.record_violation("not every entry host served a request at the end")

    def check(self):
        for request_id, mode in self.mode_by_id.items():
            count = self.executions.count_by_id[request_id]
            if mode == "once" and count > 1:
                self.record_violation(f"{request_id} was executed {count} times")
            if mode == "once" and count and request_id in self.refused_ids:
                self.record_violation(f"{request_id} was refused but executed")
        unknown = set(self.executions.count_by_id) - set(self.mode_by_id)
        if unknown:
            self.record_violation(f"executed but never sent: {sorted(unknown)[:3]}")
        for exchange in self.exchanges:
            if not any(fault.affects(exchange) for fault in self.disturbances):
                self.check_end(exchange)
        if self.executions.teams is not None:
            for violation in self.executions.teams.find_violations(
                self.exchanges,
                lambda exchange: any(
                    fault.affects(exchange) for fault in self.disturbances
                ),
            ):
                self.record_violation(violation)
        self.check_crashes()
        self.check_limits()
        self.check_pauses()
        self.check_paths()
        self.check_brittle()

    def check_crashes(self):
        """Check that hosts in touch stop sending what crashes servers, and no more."""
        crashes = self.executions.crashes
        if not crashes.crashes:
            return
        exchanges_by_id = {exchange.request_id: exchange for exchange in self.exchanges}
        faults = [fault for fault in self.disturbances if not fault.is_crash]
        for cause, service in {tuple(found) for _, *found in crashes.crashes}:
            counted = PART_CRASHES if cause == DEADLY_PART else REQUEST_CRASHES
            later = [
                request_id
                for request_id in crashes.find_later(
                    cause, service, counted, STABILITY_WINDOW_S
                )
                if not any(
                    fault.affects(exchanges_by_id[request_id]) for fault in faults
                )
            ]
            if len(later) > MAX_LATER_DEADLY:
                self.record_violation(
                    f"{len(later)} requests with {cause} were sent to {service} after "
                    f"{counted} of {len(crashes.crashes)} crashes: {later}"
                )
        crashed_at = sorted(at for at, *_ in crashes.crashes)
        settled_at = crashed_at[:SETTLED_CRASHES][-1] + 2 * STABILITY_WINDOW_S
        share = self.served_share(settled_at, math.inf, faults)
        usual_share = self.served_share(0.0, settled_at, self.disturbances)
        if None not in (share, usual_share) and share < usual_share / 2:
            self.record_violation(
                f"{share:.2f} of sound streams were served beside those that crash "
                f"servers, {usual_share:.2f} before"
            )

    def served_share(self, begins_at, ends_at, faults):
        """Return the share of sound streams served in a span, None for too few."""
        ends = [
            exchange.end
            for exchange in self.exchanges
            if begins_at < exchange.sent_at <= ends_at
            and self.mode_by_id[exchange.request_id] == "stream"
            and exchange.request_id not in self.deadly_ids
            and exchange.patience_s >= DEADLINE_S
            and not any(fault.affects(exchange) for fault in faults)
        ]
        if len(ends) < MIN_COMPARED:
            return None
        return ends.count(callerclient.End.ANSWERED) / len(ends)

    def check_end(self, exchange):
        """Check that an undisturbed request got a complete answer, if it had time."""
        self.checked_by_end[exchange.end.value] += 1
        took_s = exchange.ended_at - exchange.sent_at
        if exchange.end is callerclient.End.ABANDONED:
            is_allowed = exchange.patience_s < DEADLINE_S
        elif exchange.end in (callerclient.End.UNANSWERED, callerclient.End.CUT):
            # A request may cross the closing of its connection.
            is_unread = exchange.request_id not in self.executions.received_ids
            has_crossed = is_unread and took_s <= MAX_CROSSING_S
            is_late = took_s >= DEADLINE_S - DEADLINE_MARGIN_S
            is_broken = exchange.request_id in self.executions.broken_ids
            is_allowed = has_crossed or is_late or is_broken
            if exchange.end is callerclient.End.CUT and self.executions.teams:
                is_allowed = is_allowed or self.executions.teams.may_cut(exchange)
        else:
            return
        if not is_allowed:
            self.record_violation(
                f"{exchange.request_id} at {exchange.ip}: {exchange.end.value} "
                f"after {took_s:.2f} s"
            )

    def close(self):
        for process in [*self.controls, *self.entries]:
            process.close()
        for server in self.servers:
            server.close()
        if self.violations:
            print(f"seed {self.seed}: logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder)


TRAFFIC_FAULTS = (Soak.block_traffic, Soak.block_traffic, Soak.delay_traffic)
UNTARGETED_FAULTS = (
    Soak.lose_disk,
    Soak.kill_all_control_hosts,
    Soak.reset_connections,
)
FAULTS = (
    Soak.pause,
    Soak.pause,
    Soak.kill,
    Soak.kill,
    Soak.stop_gracefully,
    Soak.send_signals,
    *UNTARGETED_FAULTS,
    *TRAFFIC_FAULTS,
)
SERIES_SIGNALS = (signal.SIGHUP, signal.SIGSTOP, signal.SIGCONT, signal.SIGTERM)


def route(name, prefix, mode, service, attempts=1):
    """Return one route of the operator's configuration."""
    return {
        "name": name,
        "hostname": "soak.example",
        "path_prefix": prefix,
        "mode": mode,
        "timeout_ms": 2000,
        "slo_ms": 500,
        "gap_target_ms": 400,
        "attempts": attempts,
        "backend": service,
    }


def caller_connection(ip):
    """Return a connection of a caller to an entry host."""
    return callerclient.Connection((ip, CALLER_PORT))


def main():
    """Run seeds in sequence; return exit code 1 if any has a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    failed = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        soak = Soak(seed, arguments.seconds)
        violations = soak.run()
        print(
            f"seed {seed}: {soak.served} served, undisturbed "
            f"{dict(soak.checked_by_end)}, {violations or 'no violations'}",
            flush=True,
        )
        failed += [seed] if violations else []
    print(f"{arguments.seeds} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
