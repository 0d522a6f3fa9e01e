"""A seeded soak: real programs as processes, faults from outside, promises checked.

``python tests/soak/soak.py --seeds 50 [--first 100] [--seconds 15]`` runs it by hand;
a seed that failed is kept below with a line on the cause.
"""

import argparse
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
import geventhttpclient

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import faultproxy
import standins

# Seeds that ever failed, each with its cause; the test in CI plays them first.
REGRESSION_SEEDS: list[int] = []

LINK_PORT, REAL_LINK_PORT = 7380, 7381
API_PORT, CALLER_PORT, READY_PORT = 7382, 7383, 7384
SERVER_PORT, SERVER_PROXY_PORT = 7385, 7386
NOT_RUN = (408, 421, 429, 503)
READY_S = 30.0
TEMPLATE = """[host]
id = {ip}
data_centre = z
{folder}
links = {ip}:{real_link_port}
link_port = {link_port}
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
stop_grace = 4s
"""


class Process:
    """One program with its settings, its disk and its log."""

    def __init__(self, role, ip, seeds, folder):
        self.role = role
        self.ip = ip
        self.seeds = seeds
        self.folder = folder / f"{role}-{ip}"
        self.folder.mkdir()
        self.disk = self.folder / "disk"
        self.handle = None
        self.has_started = False
        self.proxy = faultproxy.FaultProxy((ip, LINK_PORT), (ip, REAL_LINK_PORT))

    def start(self):
        is_control = self.role == "control"
        text = TEMPLATE.format(
            ip=self.ip,
            folder=f"data_folder = {self.disk}" if is_control else "",
            real_link_port=REAL_LINK_PORT,
            link_port=LINK_PORT,
            seeds=",".join(self.seeds),
            forms="no" if self.has_started else "yes",
            control=f"api = {self.ip}:{API_PORT}" if is_control else "",
            entry="" if is_control else self.entry_lines(),
        )
        path = self.folder / "settings.ini"
        path.write_text(text)
        command = [sys.executable, "-m", "kumquatproxy", "fleet", self.role]
        with open(self.folder / "log", "ab") as log:
            self.handle = subprocess.Popen(
                [*command, "--config", str(path)], stdout=log, stderr=log
            )
        self.has_started = True

    def entry_lines(self):
        callers = f"callers = {self.ip}:{CALLER_PORT}"
        readiness = f"readiness = {self.ip}:{READY_PORT}"
        return f"{callers}\n{readiness}"

    def signal(self, number):
        if self.handle is not None and self.handle.poll() is None:
            os.kill(self.handle.pid, number)

    def end(self, number, timeout_s=6.0):
        """Send a signal that ends the process, and wait for that."""
        self.signal(signal.SIGCONT)
        self.signal(number)
        end = time.monotonic() + timeout_s
        while self.handle.poll() is None and time.monotonic() < end:
            gevent.sleep(0.05)
        if self.handle.poll() is None:
            self.handle.kill()
            self.handle.wait()

    def wipe(self):
        shutil.rmtree(self.disk, ignore_errors=True)

    def close(self):
        if self.handle is not None:
            self.end(signal.SIGKILL)
        self.proxy.close()


class Soak:
    """Run one seed."""

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        block = 10 + seed % 200
        controls = [f"127.{block}.0.{one}" for one in (1, 2, 3)]
        entries = [f"127.{block}.1.{one}" for one in (1, 2)]
        seeds = [f"{ip}:{API_PORT}" for ip in controls]
        self.apis = seeds
        self.controls = [Process("control", ip, seeds, self.folder) for ip in controls]
        self.entries = [Process("entry", ip, seeds, self.folder) for ip in entries]
        self.runs = standins.Runs()
        self.servers = []
        self.server_proxies = []
        for number, service in enumerate(("desk", "desk", "talk", "talk"), start=1):
            ip = f"127.{block}.2.{number}"
            proxy = faultproxy.FaultProxy((ip, SERVER_PROXY_PORT), (ip, SERVER_PORT))
            self.server_proxies.append(proxy)
            self.servers.append(
                standins.StandIn(
                    f"i-{number}",
                    service,
                    (ip, SERVER_PORT),
                    f"{ip}:{SERVER_PROXY_PORT}",
                    self.runs,
                    seeds,
                )
            )
        self.version = 0
        self.acknowledged = 0
        self.sent_by_id = {}  # mode by request id
        self.refused_ids = set()
        self.served = 0
        self.violations = []
        self.ends_at = 0.0

    def violate(self, text):
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
        services = [{"name": name} for name in ("desk", "talk")]
        return {"version": version, "routes": routes, "services": services}

    def submit(self):
        self.version += self.rng.randint(1, 3)
        body = json.dumps(self.configuration(self.version)).encode()
        for _ in range(30):
            api = self.rng.choice(self.apis)
            status, _ = call(api, "POST", "/-/config/replace", body, {}, 3.0)
            if status == 200:
                self.acknowledged = max(self.acknowledged, self.version)
                return
            if 400 <= status < 500:
                self.violate(f"version {self.version} was refused with {status}")
                return
            gevent.sleep(0.2)

    def read(self, api):
        """Check that a read shows what was acknowledged before it was sent."""
        before = self.acknowledged
        status, body = call(api, "GET", "/-/config/get", b"", {}, 3.0)
        if status != 200:
            return False
        version = json.loads(body)["version"]
        if version < before:
            self.violate(f"{api} showed version {version} after {before}")
        return True

    def operate(self):
        while time.monotonic() < self.ends_at:
            self.submit()
            self.read(self.rng.choice(self.apis))
            gevent.sleep(self.rng.uniform(0.1, 0.6))

    # Callers

    def request(self, number):
        while time.monotonic() < self.ends_at:
            mode = self.rng.choice(("once", "safe", "stream"))
            request_id = f"{self.seed}-{number}-{self.rng.getrandbits(48):012x}"
            self.sent_by_id[request_id] = mode
            entry = self.rng.choice(self.entries)
            self.ask(f"{entry.ip}:{CALLER_PORT}", mode, request_id)
            gevent.sleep(self.rng.uniform(0.0, 0.1))

    def ask(self, address, mode, request_id):
        headers = {"Kumquatproxy-Request-Id": request_id, "Host": "soak.example"}
        headers["Kumquatproxy-Deadline-Ms"] = "2500"
        status, body = call(address, "POST", f"/{mode}/x", b"", headers, 4.0)
        if status in NOT_RUN:
            self.refused_ids.add(request_id)
        if status != 200:
            return False
        self.served += 1
        expected = f"{request_id} done".encode()
        if mode == "stream":
            expected = b"".join(
                f"id: {one}\ndata: {request_id} {one}\n\n".encode()
                for one in range(1, standins.PIECES + 1)
            )
        if body != expected:
            self.violate(f"{mode} {request_id} got {body[:200]!r}")
        return True

    # Faults, in series and overlapping; one control host at a time loses more than time

    def disturb(self):
        while time.monotonic() < self.ends_at:
            gevent.sleep(self.rng.uniform(0.3, 1.2))
            self.rng.choice(FAULTS)(self)

    def pause(self):
        victim = self.rng.choice([*self.controls, *self.entries])
        victim.signal(signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(0.3, 2.0))
        victim.signal(signal.SIGCONT)

    def kill(self):
        victim = self.rng.choice([*self.controls, *self.entries])
        victim.end(signal.SIGKILL)
        gevent.sleep(self.rng.uniform(0.0, 1.0))
        victim.start()

    def stop_planned(self):
        victim = self.rng.choice([*self.controls, *self.entries])
        victim.end(signal.SIGTERM)
        victim.start()

    def lose_disk(self):
        victim = self.rng.choice(self.controls)
        victim.end(signal.SIGKILL)
        victim.wipe()
        victim.start()
        gevent.sleep(4.0)  # until its successor holds the log

    def kill_all_control(self):
        for victim in self.controls:
            victim.signal(signal.SIGKILL)
        for victim in self.controls:
            victim.end(signal.SIGKILL)
            victim.start()

    def proxies(self):
        hosts = [*self.controls, *self.entries]
        return [*self.server_proxies, *(host.proxy for host in hosts)]

    def reset(self):
        for proxy in self.proxies():
            if self.rng.random() < 0.4:
                proxy.reset()

    def silence(self):
        proxy = self.rng.choice(self.proxies())
        proxy.silent = set(self.rng.choice((("up",), ("down",), ("up", "down"))))
        gevent.spawn_later(self.rng.uniform(0.5, 3.0), proxy.heal)

    def delay(self):
        proxy = self.rng.choice(self.proxies())
        proxy.delay_s = self.rng.uniform(0.01, 0.2)
        gevent.spawn_later(self.rng.uniform(0.5, 3.0), proxy.heal)

    # The run

    def run(self):
        """Return the violations of one run."""
        try:
            for process in [*self.controls, *self.entries]:
                process.start()
            self.ends_at = time.monotonic() + READY_S
            self.submit()
            if not self.wait(self.is_serving):
                self.violate("nothing was served at the start")
                return self.violations
            self.ends_at = time.monotonic() + self.seconds
            tasks = [gevent.spawn(self.request, number) for number in range(6)]
            tasks += [gevent.spawn(self.operate), gevent.spawn(self.disturb)]
            gevent.joinall(tasks, raise_error=True)
            self.settle()
            self.check()
            return self.violations
        finally:
            self.close()

    def is_serving(self):
        request_id = f"{self.seed}-probe-{self.rng.getrandbits(48):012x}"
        self.sent_by_id[request_id] = "safe"
        return all(
            self.ask(f"{entry.ip}:{CALLER_PORT}", "safe", request_id)
            for entry in self.entries
        )

    def wait(self, condition):
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if condition():
                return True
            gevent.sleep(0.2)
        return False

    def settle(self):
        for proxy in self.proxies():
            proxy.heal()
        for process in [*self.controls, *self.entries]:
            process.signal(signal.SIGCONT)
        if not self.wait(lambda: all(self.read(api) for api in self.apis)):
            self.violate("no configuration was read back at the end")
        if not self.wait(self.is_serving):
            self.violate("nothing was served at the end")

    def check(self):
        for request_id, mode in self.sent_by_id.items():
            count = self.runs.count_by_id[request_id]
            if mode == "once" and count > 1:
                self.violate(f"{request_id} ran {count} times")
            if mode == "once" and count and request_id in self.refused_ids:
                self.violate(f"{request_id} was refused and ran")
        unknown = set(self.runs.count_by_id) - set(self.sent_by_id)
        if unknown:
            self.violate(f"nobody asked for {sorted(unknown)[:3]}")

    def close(self):
        for process in [*self.controls, *self.entries]:
            process.close()
        for server in self.servers:
            server.close()
        for proxy in self.server_proxies:
            proxy.close()
        if self.violations:
            print(f"seed {self.seed}: logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder)


FAULTS = (
    Soak.pause,
    Soak.pause,
    Soak.kill,
    Soak.kill,
    Soak.stop_planned,
    Soak.lose_disk,
    Soak.kill_all_control,
    Soak.reset,
    Soak.silence,
    Soak.silence,
    Soak.delay,
)


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


def call(address, method, path, body, headers, timeout_s):
    """Return status and body of one call, status 0 without a whole answer."""
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host, int(port), connection_timeout=1.0, network_timeout=timeout_s
    )
    try:
        with gevent.Timeout(timeout_s, OSError):
            response = client.request(method, path, body=body, headers=headers)
            return response.status_code, bytes(response.read())
    except (OSError, geventhttpclient.response.HTTPParseError):
        return 0, b""
    finally:
        client.close()


def main():
    """Run seeds one after the other; exit with 1 if any breaks a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    failed = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        soak = Soak(seed, arguments.seconds)
        violations = soak.run()
        print(f"seed {seed}: {soak.served} served, {violations or 'kept'}", flush=True)
        failed += [seed] if violations else []
    print(f"{arguments.seeds} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
