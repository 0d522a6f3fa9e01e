"""Processes that get too little processor time, before servers that are processes too.

Callers keep connections, and send bodies with a length or in chunks.

``python tests/soak/starvedfleet.py --seeds 10 [--cores 2] [--seconds 30]`` checks, by
what callers and servers saw, that no request that must not be repeated ran twice or
after it was refused, that none that reached a server ends without an answer, that
repeats stay within the budget, and that servers that leave get nothing later than
``DRAIN_S`` after that was acknowledged. With even seeds callers
have keys of teams, and what ``teamcallers`` says holds besides. It uses the product in
the current folder, so that earlier commits can be compared.
"""

import argparse
import bisect
import collections
import json
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
import smallfleet
import soak
import teamcallers

SERVER_PROCESS = str(pathlib.Path(__file__).parent / "serverprocess.py")
SERVERS_BY_SERVICE = {"desk": 3, "talk": 5}
SERVICE_BY_MODE = {"once": "desk", "safe": "desk", "stream": "talk"}
MODE_WEIGHTS = (3, 2, 5)
DRAIN_S = 2.0
READING_S = 0.3  # in which a server that stood still reads what has arrived
REPEATS_PER_REQUEST, REPEATS, REPEATS_WINDOW_S = 0.2, 20, 10.0
BOUNDS = f"""retry_share = {REPEATS_PER_REQUEST}
retry_slack = {REPEATS}
retry_window = {REPEATS_WINDOW_S:.0f}s
"""
TEMPLATE = soak.TEMPLATE  # of the settings
HEADER_EVENTS = ("told", "counted")
STOP_S = (0.2, 3.0)
CALM_S = (0.1, 1.5)
SERVICE_STOP_SHARE = 0.15  # of the stops, those of all servers of a service
BODY_BYTES = (0, 300, 40_000)  # of requests, half of them in chunks
CHUNK_BYTES = 8_000
IDLE_CONNECTIONS = 4  # of callers that are kept for each host
STOPPERS = 3  # processes that stand still at the same time, at most


class StarvedFleet(smallfleet.Fleet):
    """Run hosts, servers and callers for one seed."""

    def __init__(self, seed, entry_count, slots=4):
        soak.TEMPLATE = TEMPLATE + BOUNDS
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"starved-{seed}-"))
        block = addressblocks.find_block("starvedfleet", seed)
        super().__init__(self.folder, block, entry_count)
        self.rng = random.Random(seed)
        self.seed = seed
        self.server_handles = []
        self.mode_by_id = {}
        self.sent = collections.defaultdict(list)  # times by service
        self.exchanges = []
        self.idle_connections = collections.defaultdict(list)  # by host
        self.repeats = {}  # by service: most in a window
        self.stops_by_name = collections.defaultdict(list)  # (begin, end)
        self.teams = None if seed % 2 else teamcallers.TeamCallers(seed)
        for service, count in SERVERS_BY_SERVICE.items():
            for _ in range(count):
                self.start_server(service, slots)

    def start_server(self, service, slots):
        number = len(self.server_handles)
        ip = f"127.{self.block}.2.{number + 1}"
        path = str(self.folder / f"server-{number}")
        seed = str(1000 * self.seed + number)
        arguments = [f"i-{number}", service, ip, str(slots), seed, path]
        command = [sys.executable, SERVER_PROCESS, *arguments, *self.api_addresses]
        with open(self.folder / f"server-{number}.log", "ab") as log:
            self.server_handles.append(
                subprocess.Popen(command, stdout=log, stderr=log)
            )

    def submit(self, version):
        routes = [
            soak.route(mode, f"/{mode}/", kind, SERVICE_BY_MODE[mode], attempts=2)
            for mode, kind in (("safe", "safe"), ("stream", "streaming"))
        ]
        routes[1]["resumable"] = True
        routes.append(soak.route("once", "/once/", "unsafe", SERVICE_BY_MODE["once"]))
        services = [{"name": name} for name in SERVERS_BY_SERVICE]
        content = {"version": version, "routes": routes, "services": services}
        if self.teams is not None:
            content["tenants"] = self.teams.tenants(version)
        body = json.dumps(content).encode()
        path = "/-/config/replace"
        self.wait_for(
            lambda: any(
                callerclient.call(api, "POST", path, body, 3.0)[0] == 200
                for api in self.api_addresses
            )
        )
        if self.teams is not None:
            self.teams.acknowledge(version)

    def configure(self):
        for process in [*self.controls, *self.entries]:
            process.start()
        self.submit(1)
        # Servers refuse some requests, so one pass in which all succeed is rare.
        unserved = [
            (entry.ip, mode) for entry in self.entries for mode in SERVICE_BY_MODE
        ]

        def are_all_served():
            unserved[:] = [
                (ip, mode)
                for ip, mode in unserved
                if self.send(ip, mode, True).end is not callerclient.End.ANSWERED
            ]
            return not unserved

        self.wait_for(are_all_served)

    def change_keys(self):
        self.teams.changes_keys = True
        self.submit(2)

    def send(self, ip, mode, is_probe=False):
        request_id = f"{self.seed}-{self.rng.getrandbits(48):012x}"
        self.mode_by_id[request_id] = mode
        self.sent[SERVICE_BY_MODE[mode]].append(time.monotonic())
        headers = {"Kumquatproxy-Request-Id": request_id, "Host": "soak.example"}
        headers["Kumquatproxy-Deadline-Ms"] = str(self.rng.choice((600, 1500, 2500)))
        if self.teams is not None:
            headers.update(self.teams.headers(request_id, is_probe))
        exchange = callerclient.Exchange(ip, request_id, 4.0)
        idle = self.idle_connections[ip]
        connection = idle.pop() if idle else soak.caller_connection(ip)
        body = bytes(self.rng.choice(BODY_BYTES))
        chunk_bytes = self.rng.choice((0, CHUNK_BYTES)) if body else 0
        connection.run(exchange, "POST", f"/{mode}/x", headers, body, chunk_bytes)
        if len(idle) < IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()
        self.exchanges.append(exchange)
        return exchange

    def stop_at_times(self, ends_at):
        """Let processes of all kinds stand still, often several at once."""
        while time.monotonic() < ends_at:
            pid_by_name = {
                process.folder.name: process.handle.pid
                for process in [*self.controls, *self.entries]
            }
            for number, handle in enumerate(self.server_handles):
                pid_by_name[f"i-{number}"] = handle.pid
            names = [self.rng.choice(list(pid_by_name))]
            if self.rng.random() < SERVICE_STOP_SHARE:
                names = [f"i-{number}" for number in range(SERVERS_BY_SERVICE["desk"])]
            begins_at = time.monotonic()
            for name in names:
                os.kill(pid_by_name[name], signal.SIGSTOP)
            gevent.sleep(self.rng.uniform(*STOP_S))
            for name in names:
                os.kill(pid_by_name[name], signal.SIGCONT)
            with open(self.folder / "stopped", "a") as file:
                print(*names, f"{begins_at:.2f} {time.monotonic():.2f}", file=file)
            for name in names:
                self.stops_by_name[name].append((begins_at, time.monotonic()))
            gevent.sleep(self.rng.uniform(*CALM_S))

    def leave_at_times(self, ends_at):
        while time.monotonic() < ends_at:
            gevent.sleep(self.rng.uniform(2.0, 4.0))
            os.kill(self.rng.choice(self.server_handles).pid, signal.SIGUSR1)

    def run(self, seconds, rate, stoppers=STOPPERS):
        """Run and return the broken promises."""
        try:
            self.configure()
            ends_at = time.monotonic() + seconds
            tasks = [gevent.spawn(self.leave_at_times, ends_at)]
            if self.teams is not None:
                tasks.append(gevent.spawn_later(seconds / 2, self.change_keys))
            for _ in range(stoppers):
                tasks.append(gevent.spawn(self.stop_at_times, ends_at))
            while time.monotonic() < ends_at:
                (mode,) = self.rng.choices(list(SERVICE_BY_MODE), MODE_WEIGHTS)
                ip = self.rng.choice(self.entries).ip
                tasks.append(gevent.spawn(self.send, ip, mode))
                gevent.sleep(self.rng.expovariate(rate))
            gevent.joinall(tasks, raise_error=True)
            gevent.sleep(3.0)  # requests may still run
            return self.check()
        finally:
            self.close()

    def check(self):
        logs_by_number = [
            [json.loads(line) for line in (self.folder / f"server-{number}").open()]
            for number in range(len(self.server_handles))
        ]
        events = sorted(
            row for log in logs_by_number for row in log if row[1] not in HEADER_EVENTS
        )
        runs = collections.Counter(key for _, event, key in events if event == "run")
        arrived_ids = {key for _, event, key in events if event == "arrived"}
        violations = []
        for exchange in self.exchanges:
            count = runs[exchange.request_id]
            is_unanswered = exchange.end is callerclient.End.UNANSWERED
            if is_unanswered and exchange.request_id in arrived_ids:
                violations.append(f"LOST {exchange.request_id} reached a server")
            if self.mode_by_id[exchange.request_id] != "once":
                continue
            if count > 1:
                violations.append(f"TWICE {exchange.request_id} ran {count} times")
            if count and exchange.end is callerclient.End.REFUSED:
                violations.append(
                    f"REFUSED {exchange.request_id} got {exchange.status} and ran"
                )
        violations += self.check_budget(events)
        violations += self.check_teams(logs_by_number)
        for number, log in enumerate(logs_by_number):
            name = f"i-{number}"
            violations += find_late(name, log, self.stops_by_name[name])
        return violations

    def check_teams(self, logs_by_number):
        """Check what servers were told and ran; a host that stood still is late."""
        if self.teams is None:
            return []
        for at, event, subject in (row for log in logs_by_number for row in log):
            if event == "told":
                self.teams.record(*subject)
            elif event == "counted":
                self.teams.record_run(*subject, at)
        stops = [stop for stops in self.stops_by_name.values() for stop in stops]

        def is_disturbed(exchange):
            return any(
                begins_at <= exchange.ended_at
                and exchange.sent_at <= ends_at + soak.STABILITY_WINDOW_S
                for begins_at, ends_at in stops
            )

        return list(self.teams.find_violations(self.exchanges, is_disturbed))

    def check_budget(self, events):
        violations = []
        for service in SERVERS_BY_SERVICE:
            arrived_ids = set()
            repeats = []
            for at, event, request_id in events:
                mode = self.mode_by_id.get(request_id)
                if event != "arrived" or SERVICE_BY_MODE.get(mode) != service:
                    continue
                if request_id in arrived_ids:
                    repeats.append(at)
                arrived_ids.add(request_id)
            count, allowed = find_worst(repeats, sorted(self.sent[service]))
            self.repeats[service] = f"{count} of {allowed:.0f}"
            if count > allowed:
                violations.append(f"BUDGET {service}: {self.repeats[service]}")
        return violations

    def counts(self):
        return dict(collections.Counter(found.end.value for found in self.exchanges))

    def close(self):
        super().close()
        for handle in self.server_handles:
            handle.kill()
            handle.wait()


def find_worst(repeats, sent):
    """Return (repeats, number allowed) of the window with the most of them."""
    worst = (0, REPEATS)
    for index, at in enumerate(repeats):
        count = index + 1 - bisect.bisect_right(repeats, at - REPEATS_WINDOW_S)
        requests = max(
            bisect.bisect_right(sent, end)
            - bisect.bisect_right(sent, end - REPEATS_WINDOW_S)
            for end in (at, at - REPEATS_WINDOW_S / 2, at - REPEATS_WINDOW_S)
        )
        allowed = REPEATS_PER_REQUEST * requests + REPEATS
        worst = max(worst, (count, allowed), key=lambda pair: pair[0] - pair[1])
    return worst


def find_late(name, log, stops):
    """Return the requests that came too long after a server said that it leaves.

    What a server reads after it stood still may have been sent before that.
    """

    def is_read_late(at, sent_by):
        return any(
            begins_at <= sent_by and at <= ends_at + READING_S
            for begins_at, ends_at in stops
        )

    left_at = None
    violations = []
    for at, event, request_id in log:
        if event in ("left", "born"):
            left_at = at if event == "left" else None
        elif event == "arrived" and left_at is not None and at > left_at + DRAIN_S:
            if not is_read_late(at, left_at + DRAIN_S):
                late_s = at - left_at
                violations.append(f"DRAIN {name} {late_s:.2f} s late: {request_id}")
    return violations


def main():
    """Run seeds in sequence; return exit code 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--rate", type=float, default=32.0)
    parser.add_argument("--cores", type=int, default=99)
    parser.add_argument("--slots", type=int, default=4)
    arguments = parser.parse_args()
    cores = sorted(os.sched_getaffinity(0))[: arguments.cores]
    os.sched_setaffinity(0, cores)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # end all processes, too
    has_failed = False
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        fleet = StarvedFleet(seed, arguments.entries, arguments.slots)
        try:
            violations = fleet.run(arguments.seconds, arguments.rate)
        except AssertionError as error:
            violations = [f"not run: {error}"]
        print(
            f"seed {seed}: {fleet.counts()}, repeats {fleet.repeats}, broken: "
            f"{violations or 'none'}",
            flush=True,
        )
        has_failed = has_failed or bool(violations)
        if violations:
            print(f"logs are in {fleet.folder}", flush=True)
        else:
            shutil.rmtree(fleet.folder)
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())
