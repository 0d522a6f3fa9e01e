"""Start a small deployment of the project as processes on loopback addresses.

The commands and the settings template are those of ``deploy/system.toml``. The module
also has a plain HTTP client and the record of a script.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
READY_TIMEOUT_S = 30.0
# Time from the end of a process to its next start by the platform.
RESTART_DELAY_S = 0.2
# Bounds as on the sheet of the site further/lspc-planogram.
BOUNDS = {
    "grace_s": 8,
    "drain_ms": 2000,
    "lease_ms": 3000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "ceiling_window_s": 5,
    "ceiling_over": 1.1,
    "fencing": False,
}


class Record:
    """Write what was sent, answered and run to a file, one line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def now(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self.began_at

    def write(self, text):
        """Write one line with the time."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def render(template, fields):
    """Fill in a settings template as the users' page on the deployment tells."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def find(name, scope):
        if name in (".", "@", ","):
            return scope.get(name, "")
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def fill(text, scope):
        def replace_section(match):
            sign, name, inner = match.groups()
            value = find(name, scope)
            is_present = value is not None and value is not False and value != []
            if sign == "^":
                return "" if is_present else fill(inner, scope)
            if not is_present:
                return ""
            if isinstance(value, dict):
                pairs = list(value.items())
            elif isinstance(value, list):
                pairs = list(enumerate(value))
            else:
                return fill(inner, {**scope, ".": value})
            return "".join(
                fill(
                    inner,
                    {
                        **scope,
                        "@": key,
                        ".": entry,
                        ",": "," if index + 1 < len(pairs) else "",
                    },
                )
                for index, (key, entry) in enumerate(pairs)
            )

        def replace_value(match):
            value = find(match[1], scope)
            if value is None:
                return ""
            if isinstance(value, bool):
                return str(value).lower()
            if isinstance(value, list):
                return ",".join(str(part) for part in value)
            return str(value)

        text = section.sub(replace_section, text)
        return re.sub(r"\{\{([\w.@,]+)\}\}", replace_value, text)

    return fill(template, fields)


class Host:
    """One host of the deployment: its settings, its process and how that ended."""

    def __init__(self, deployment, role, number):
        self.deployment = deployment
        self.role = role
        self.name = f"{role}-{number}"
        net = 0 if role == "control" else 1
        self.ip = f"{deployment.prefix}.{net}.{number}"
        self.data_centre = DATA_CENTRES[(number - 1) % len(DATA_CENTRES)]
        self.folder = deployment.folder / self.name
        self.folder.mkdir()
        self.settings_path = self.folder / "host.ini"
        self.log_path = self.folder / "log"
        self.process = None
        self.is_first_start = True
        self.is_wanted = False
        self.own_ends = []  # (time, exit code) without a signal of the script
        self._lock = threading.Lock()

    def address(self, name):
        """Return the host's address for callers, readiness or the control API."""
        return f"{self.ip}:{self.deployment.ports[name]}"

    def write_settings(self):
        """Write the settings file as the platform does at each start."""
        ports = self.deployment.ports
        is_control = self.role == "control"
        listen = (
            {"control": self.address("control")}
            if is_control
            else {"front": self.address("front"), "ready": self.address("ready")}
        )
        fields = {
            "node": self.name,
            "ip": self.ip,
            "zone": self.data_centre,
            "zones": {name: "region" for name in DATA_CENTRES},
            "port_range": [ports["link"], ports["peer"]],
            "seeds": [host.address("control") for host in self.deployment.controls[:3]],
            "bootstrap": self.is_first_start,
            "listen": listen,
            "fault_tolerance": {"machines": self.deployment.tolerated},
            "bounds": {**BOUNDS, **self.deployment.bounds},
        }
        if is_control:
            fields["data_dir"] = str(self.folder / "data")
        template = (ROOT / self.deployment.roles[self.role]["template"]).read_text()
        text = render(template, fields)
        self.settings_path.write_text(text)

    def start(self):
        """Start the process with the command of the deploy file."""
        with self._lock:
            self.is_wanted = True
            self._spawn()
        threading.Thread(target=self._supervise, daemon=True).start()

    def _spawn(self):
        self.write_settings()
        self.is_first_start = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["KUMQUATPROXY_SETTINGS"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.deployment.roles[self.role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _supervise(self):
        """Start the process again after it has ended, as the platform does."""
        while True:
            process = self.process
            code = process.wait()
            if not self.is_wanted or self.deployment.is_closed:
                return
            if process is self.process and not getattr(process, "was_signalled", False):
                self.own_ends.append((self.deployment.record.now(), code))
                self.deployment.record.write(
                    f"{self.name} ended by itself, code {code}"
                )
            time.sleep(RESTART_DELAY_S)
            with self._lock:
                if not self.is_wanted or self.deployment.is_closed:
                    return
                self._spawn()
            self.deployment.record.write(f"{self.name} is started again")

    def signal(self, number):
        """Send a signal to the process."""
        process = self.process
        if number in (signal.SIGKILL, signal.SIGTERM, signal.SIGINT):
            process.was_signalled = True
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        name = signal.Signals(number).name
        self.deployment.record.write(f"{self.name} gets {name}")

    def stop(self):
        """End the process for good."""
        self.is_wanted = False
        process = self.process
        if process is not None and process.poll() is None:
            process.was_signalled = True
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


class Deployment:
    """Some control hosts and entry hosts; ``tolerated`` control hosts may be lost."""

    def __init__(
        self, record, entry_count=2, control_count=3, tolerated=1, bounds=None
    ):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = deploy["roles"]
        self.record = record
        self.bounds = bounds or {}
        self.tolerated = tolerated
        self.is_closed = False
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquat-review-"))
        self.prefix, self.ports = _free_block()
        self.controls = []
        for number in range(1, control_count + 1):
            self.controls.append(Host(self, "control", number))
        self.entries = [Host(self, "entry", n + 1) for n in range(entry_count)]

    @property
    def hosts(self):
        """Return all hosts."""
        return [*self.controls, *self.entries]

    def start(self):
        """Start all hosts."""
        for host in self.hosts:
            host.start()

    def put(self, configuration, timeout_s=4.0, first=0):
        """Send a configuration as the operator does; return whether it was acked.

        The operator asks one control host after the other, each for a second.
        """
        body = json.dumps(configuration).encode()
        end = time.monotonic() + timeout_s
        number = first
        while time.monotonic() < end:
            host = self.controls[number % len(self.controls)]
            number += 1
            answer = request(
                host.address("control"), "POST", "/-/config/replace", body, 1.0
            )
            self.record.write(
                f"operator sends version {configuration['version']} to {host.name}: "
                f"{answer.status or answer.error}"
            )
            if answer.status == 200:
                return True
            if answer.status in (400, 409, 412, 413, 422):
                return False
            time.sleep(0.2)
        return False

    def wait_until(self, condition, timeout_s=READY_TIMEOUT_S):
        """Wait until a condition holds; return whether it did in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.1)
        return False

    def is_ready(self):
        """Return whether all entry hosts say that they are ready."""
        return all(
            request(host.address("ready"), "GET", "/-/readiness", b"", 1.0).status
            == 200
            for host in self.entries
        )

    def close(self):
        """End all processes that were started, and remove the folder."""
        self.is_closed = True
        for host in self.hosts:
            host.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_block():
    """Return a prefix of loopback addresses and ports that are free on them."""
    names = ("front", "ready", "control", "link", "peer", "server")
    rng = random.SystemRandom()
    while True:
        prefix = f"127.{rng.randrange(16, 250)}"
        base = rng.randrange(12000, 28000)
        ports = {name: base + index for index, name in enumerate(names)}
        if all(_is_free(f"{prefix}.0.1", port) for port in ports.values()) and _is_free(
            f"{prefix}.0.1", 9464
        ):
            return prefix, ports


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
        return True


class Answer:
    """Hold the end of one request; status 0 without a complete answer."""

    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


def request(address, method, path, body, timeout_s, headers=None):
    """Send one request on a connection of its own and return its answer."""
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        data = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, fields, data)
    except (OSError, http.client.HTTPException) as error:
        return Answer(error=repr(error))
    finally:
        connection.close()
