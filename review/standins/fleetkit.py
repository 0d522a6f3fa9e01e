"""Processes of a small deployment on loopback addresses, and calls to them.

The processes are started with the commands of the deploy file. Settings are those that
the deploy file's template yields for a small deployment.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
READY_S = 15.0

SETTINGS = """[host]
id = {ip}
name = {name}
data_centre = zone-a
data_centres = zone-a
{folder}
links = {ip}:{links}
seeds = {seeds}
key = fleet-links
forms_group = {forms}
metrics = {ip}:{metrics}
memory_mb = 300

[entry]
{entry}

[control]
{control}
tolerated_hosts = 1

[dialect]
name = platform
module = kumquatproxy.platform.adapter

[bounds]
stop_grace = 8s
drain = 2000ms
lease = 3000ms
retry_share = 0.2
retry_window = 10s
retry_slack = 56
load_window = 5s
load_excess = 1.1
checks_fencing = {fencing}

[load]
terms = base,drain,config,cost,retry,recover,fleet,stream,engine
link_mbps = 1000.0
"""


def commands():
    """Return the command of each role in the deploy file."""
    text = (REPOSITORY / "deploy" / "system.toml").read_text(encoding="utf-8")
    roles = tomllib.loads(text)["roles"]
    return {name: role["run"].split() for name, role in roles.items()}


def find_block():
    """Return a random part of the loopback addresses for one deployment."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_ports(ips, count):
    """Return ports that are free on all addresses."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 30000)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Host:
    """One process of the deployment."""

    def __init__(self, role, ip, deployment):
        self.role = role
        self.ip = ip
        self.deployment = deployment
        self.folder = deployment.folder / f"{role}-{ip}"
        self.folder.mkdir()
        self.disk = self.folder / "disk"
        self.process = None
        self.has_started = False

    def start(self):
        """Start the process with the command of its role."""
        ports = self.deployment
        is_control = self.role == "control"
        entry = (
            f"callers = {self.ip}:{ports.callers}\n"
            f"peers = {self.ip}:{ports.peers}\n"
            f"readiness = {self.ip}:{ports.readiness}"
        )
        path = self.folder / "settings.ini"
        path.write_text(
            SETTINGS.format(
                ip=self.ip,
                name=f"{self.role}-{self.ip}",
                folder=f"data_folder = {self.disk}" if is_control else "",
                links=ports.links,
                metrics=ports.metrics,
                seeds=",".join(ports.api_addresses),
                forms="no" if self.has_started else "yes",
                entry="" if is_control else entry,
                control=f"api = {self.ip}:{ports.api}" if is_control else "",
                fencing="yes" if ports.has_fencing else "no",
            ),
            encoding="utf-8",
        )
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.deployment.commands[self.role],
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.folder),
                    "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "KUMQUATPROXY_SETTINGS": str(path),
                },
            )
        self.has_started = True

    def is_running(self):
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        """End the process with SIGKILL."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def lose_disk(self):
        """Remove the data folder of a process that has been killed."""
        shutil.rmtree(self.disk, ignore_errors=True)

    def memory_mb(self):
        """Return the resident memory of the process."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        lines = [line.split() for line in text.splitlines()]
        return next(int(line[1]) for line in lines if line[0] == "VmRSS:") / 1000

    def log_text(self):
        """Return what the process has written."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")


class Deployment:
    """Control and entry processes on addresses of their own."""

    def __init__(self, control_count=3, entry_count=2, has_fencing=True, spare=0):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.block = find_block()
        self.has_fencing = has_fencing
        self.commands = commands()
        control_ips = [f"{self.block}.{n}" for n in range(1, 1 + control_count)]
        entry_ips = [f"{self.block}.{n}" for n in range(51, 51 + entry_count)]
        ports = free_ports([*control_ips, *entry_ips], 6)
        self.links, self.api, self.callers, self.readiness, self.peers = ports[:5]
        self.metrics = ports[5]
        self.api_addresses = [
            f"{ip}:{self.api}" for ip in control_ips[: control_count - spare]
        ]
        self.controls = [Host("control", ip, self) for ip in control_ips]
        self.entries = [Host("entry", ip, self) for ip in entry_ips]

    @property
    def hosts(self):
        """Return all processes."""
        return [*self.controls, *self.entries]

    def api_of(self, host):
        """Return the address of a control process for operators and runners."""
        return (host.ip, self.api)

    def callers_of(self, host):
        """Return the address of an entry process for requesters."""
        return (host.ip, self.callers)

    def put(self, host, configuration, timeout_s=2.0):
        """Submit a configuration at one control process; return the status."""
        body = json.dumps(configuration).encode()
        address = self.api_of(host)
        return call(address, "POST", "/-/config/replace", {}, body, timeout_s)[0]

    def put_until_acknowledged(self, configuration, limit_s=READY_S):
        """Submit a configuration at any process until it is acknowledged."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for host in self.controls:
                if host.is_running() and self.put(host, configuration) == 200:
                    return True
            time.sleep(0.2)
        return False

    def read(self, host, timeout_s=4.0):
        """Read the configuration at one process; return status and value."""
        address = self.api_of(host)
        status, body = call(address, "GET", "/-/config/get", {}, b"", timeout_s)
        return status, json.loads(body) if status == 200 else None

    def is_ready(self, host):
        """Return whether an entry process says that it is ready."""
        address = (host.ip, self.readiness)
        return call(address, "GET", "/-/readiness", {}, b"", 1.0)[0] == 200

    def close(self):
        """End all processes and remove the folder."""
        for host in self.hosts:
            host.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(condition, limit_s):
    """Return whether a condition holds within a time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return bool(condition())


def call(address, method, path, headers, body, timeout_s):
    """Return status and body of one request on a new connection; 0 without one."""
    status, _, data = request(address, method, path, headers, body, timeout_s)
    return status, data


def request(address, method, path, headers, body, timeout_s):
    """Return status, headers and body of a complete answer; status 0 without one."""
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    if "Host" not in headers:
        lines.append(f"Host: {address[0]}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode() + body
    end = time.monotonic() + timeout_s
    received = b""
    try:
        with socket.create_connection(address, timeout_s) as sock:
            sock.sendall(data)
            while True:
                sock.settimeout(max(0.01, end - time.monotonic()))
                part = sock.recv(65536)
                if not part:
                    break
                received += part
    except OSError:
        pass
    return parse(received)


def parse(received):
    """Return status, headers and body of an answer; status 0 if it is incomplete."""
    head, separator, rest = received.partition(b"\r\n\r\n")
    if not separator:
        return 0, {}, b""
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(first.split()[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body, is_complete = _join_chunks(rest)
        return (status if is_complete else 0), headers, body
    length = int(headers.get("content-length", len(rest)))
    return (status if len(rest) >= length else 0), headers, rest[:length]


def _join_chunks(data):
    body = b""
    while True:
        line, separator, data = data.partition(b"\r\n")
        if not separator:
            return body, False
        size = int(line.split(b";")[0], 16)
        if size == 0:
            return body, True
        if len(data) < size + 2:
            return body + data[:size], False
        body, data = body + data[:size], data[size + 2 :]


def reset(sock):
    """Close a socket as the kernel does for a process that has crashed."""
    try:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
