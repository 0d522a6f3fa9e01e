"""Seeded soak test: hosts as processes, injected faults, and checked guarantees.

``python tests/soak/soak.py --seeds 50 [--first 100] [--seconds 15]`` runs it by hand.
A seed that failed is added to ``REGRESSION_SEEDS`` with a comment on the cause.
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

import fakeservers
import faultproxy

# Seeds that once failed, each with its cause; CI runs them besides its fixed seed.
REGRESSION_SEEDS: list[int] = []

# A link is a connection between hosts.
LINK_PROXY_PORT, LINK_PORT = 7380, 7381
API_PORT, CALLER_PORT, READY_PORT = 7382, 7383, 7384
SERVER_PORT, SERVER_PROXY_PORT = 7385, 7386
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
READY_TIMEOUT_S = 30.0
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
stop_grace = 4s
"""


class HostProcess:
    """One host process with its settings, its data folder and its log."""

    def __init__(self, role, ip, contact_addresses, folder):
        self.role = role
        self.ip = ip
        self.contact_addresses = contact_addresses
        self.folder = folder / f"{role}-{ip}"
        self.folder.mkdir()
        self.disk = self.folder / "disk"
        self.handle = None
        self.has_started = False
        self.proxy = faultproxy.FaultProxy((ip, LINK_PROXY_PORT), (ip, LINK_PORT))

    def start(self):
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

    def terminate(self, number, timeout_s=6.0):
        """Send a terminating signal and wait; kill the process after the timeout."""
        self.signal(signal.SIGCONT)
        self.signal(number)
        end = time.monotonic() + timeout_s
        while self.handle.poll() is None and time.monotonic() < end:
            gevent.sleep(0.05)
        if self.handle.poll() is None:
            self.handle.kill()
            self.handle.wait()

    def delete_data_folder(self):
        shutil.rmtree(self.disk, ignore_errors=True)

    def close(self):
        if self.handle is not None:
            self.terminate(signal.SIGKILL)
        self.proxy.close()


class Soak:
    """Run the system, its callers and its faults for one seed."""

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        block = 10 + seed % 200
        controls = [f"127.{block}.0.{number}" for number in (1, 2, 3)]
        entries = [f"127.{block}.1.{number}" for number in (1, 2)]
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
        self.server_proxies = []
        for number, service in enumerate(("desk", "desk", "talk", "talk"), start=1):
            ip = f"127.{block}.2.{number}"
            proxy = faultproxy.FaultProxy((ip, SERVER_PROXY_PORT), (ip, SERVER_PORT))
            self.server_proxies.append(proxy)
            self.servers.append(
                fakeservers.FakeServer(
                    f"i-{number}",
                    service,
                    (ip, SERVER_PORT),
                    f"{ip}:{SERVER_PROXY_PORT}",
                    self.executions,
                    api_addresses,
                )
            )
        self.version = 0
        self.acknowledged_version = 0
        self.mode_by_id = {}
        self.refused_ids = set()
        self.served = 0
        self.violations = []
        self.ends_at = 0.0

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
        services = [{"name": name} for name in ("desk", "talk")]
        return {"version": version, "routes": routes, "services": services}

    def submit(self):
        self.version += self.rng.randint(1, 3)
        body = json.dumps(self.configuration(self.version)).encode()
        for _ in range(30):
            api = self.rng.choice(self.api_addresses)
            status, _ = call(api, "POST", "/-/config/replace", body, {}, 3.0)
            if status == 200:
                self.acknowledged_version = max(self.acknowledged_version, self.version)
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
        status, body = call(api, "GET", "/-/config/get", b"", {}, 3.0)
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
        while time.monotonic() < self.ends_at:
            mode = self.rng.choice(("once", "safe", "stream"))
            request_id = f"{self.seed}-{number}-{self.rng.getrandbits(48):012x}"
            self.mode_by_id[request_id] = mode
            entry = self.rng.choice(self.entries)
            self.send_request(f"{entry.ip}:{CALLER_PORT}", mode, request_id)
            gevent.sleep(self.rng.uniform(0.0, 0.1))

    def send_request(self, address, mode, request_id):
        headers = {"Kumquatproxy-Request-Id": request_id, "Host": "soak.example"}
        headers["Kumquatproxy-Deadline-Ms"] = "2500"
        status, body = call(address, "POST", f"/{mode}/x", b"", headers, 4.0)
        if status in NOT_EXECUTED_STATUSES:
            self.refused_ids.add(request_id)
        if status != 200:
            return False
        self.served += 1
        expected = f"{request_id} done".encode()
        if mode == "stream":
            expected = b"".join(
                f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                for number in range(1, fakeservers.EVENT_COUNT + 1)
            )
        if body != expected:
            self.record_violation(f"{mode} {request_id} got {body[:200]!r}")
        return True

    # Faults. They run in sequence; blocked and delayed traffic lasts into the next ones

    def inject_faults(self):
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
        victim.terminate(signal.SIGKILL)
        gevent.sleep(self.rng.uniform(0.0, 1.0))
        victim.start()

    def stop_gracefully(self):
        victim = self.rng.choice([*self.controls, *self.entries])
        victim.terminate(signal.SIGTERM)
        victim.start()

    def lose_disk(self):
        victim = self.rng.choice(self.controls)
        victim.terminate(signal.SIGKILL)
        victim.delete_data_folder()
        victim.start()
        gevent.sleep(4.0)  # should suffice for the restarted host to fetch the log

    def kill_all_control_hosts(self):
        for victim in self.controls:
            victim.signal(signal.SIGKILL)
        for victim in self.controls:
            victim.terminate(signal.SIGKILL)
            victim.start()

    def proxies(self):
        hosts = [*self.controls, *self.entries]
        return [*self.server_proxies, *(host.proxy for host in hosts)]

    def reset_connections(self):
        for proxy in self.proxies():
            if self.rng.random() < 0.4:
                proxy.reset()

    def block_traffic(self):
        proxy = self.rng.choice(self.proxies())
        proxy.blocked_directions = set(
            self.rng.choice((("up",), ("down",), ("up", "down")))
        )
        gevent.spawn_later(self.rng.uniform(0.5, 3.0), proxy.clear_faults)

    def delay_traffic(self):
        proxy = self.rng.choice(self.proxies())
        proxy.delay_s = self.rng.uniform(0.01, 0.2)
        gevent.spawn_later(self.rng.uniform(0.5, 3.0), proxy.clear_faults)

    # The run

    def run(self):
        """Run to the end and return the violations."""
        try:
            for process in [*self.controls, *self.entries]:
                process.start()
            self.ends_at = time.monotonic() + READY_TIMEOUT_S
            self.submit()
            if not self.wait_for(self.is_serving):
                self.record_violation(
                    "not every entry host served a request at the start"
                )
                return self.violations
            self.ends_at = time.monotonic() + self.seconds
            tasks = [gevent.spawn(self.run_caller, number) for number in range(6)]
            tasks += [gevent.spawn(self.run_operator), gevent.spawn(self.inject_faults)]
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
            self.send_request(f"{entry.ip}:{CALLER_PORT}", "safe", request_id)
            for entry in self.entries
        )

    def wait_for(self, condition):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return True
            gevent.sleep(0.2)
        return False

    def recover(self):
        for proxy in self.proxies():
            proxy.clear_faults()
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
    Soak.stop_gracefully,
    Soak.lose_disk,
    Soak.kill_all_control_hosts,
    Soak.reset_connections,
    Soak.block_traffic,
    Soak.block_traffic,
    Soak.delay_traffic,
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
    """Return status and body of one call; status 0 without a complete answer."""
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
            f"seed {seed}: {soak.served} served, {violations or 'no violations'}",
            flush=True,
        )
        failed += [seed] if violations else []
    print(f"{arguments.seeds} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
