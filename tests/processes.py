"""Hosts as separate processes, with fake backend servers in the test process."""

import collections
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile

import gevent
import gevent.subprocess
import geventhttpclient.response

from kumquatproxy import host
from kumquatproxy.agreement import diskstore, logstate
from kumquatproxy.laboratory import demo, demosystem, fakes

HOSTS = ("host-1", "host-2", "host-3")
LAYOUT = demosystem.HostLayout(dict.fromkeys(HOSTS, "dc-1"))
CONDITION_TIMEOUT_S = 40.0  # generous, as the machine may be busy
ENGINE_MEMORY_MB = 40_000
# Names of services: with and without fencing, and two that load no models ("plain").
FENCING_SERVICE = "checking"
NON_FENCING_SERVICE = "ignoring"
PLAIN_SERVICE = "desk"
SECOND_PLAIN_SERVICE = "till"


def sheet_text(models_by_service, memory_mb=9_000, min_places=1, variant=0) -> str:
    """Return a sheet with a fast weight store.

    ``variant`` changes one limit, so that sheets of different variants differ.
    """
    parts = [
        "[organisation lab]\n",
        "[weight-store]\nloads_per_second = 200\nconcurrent_loads = 50\n"
        f"adapters_in_transit = {48 + variant}\nmodel_seconds = 50ms\n",
    ]
    for name, checks in ((FENCING_SERVICE, "yes"), (NON_FENCING_SERVICE, "no")):
        parts.append(
            f"[service {name}]\norganisation = lab\nkind = engine\n"
            f"checks_fencing = {checks}\n"
        )
    for name in (PLAIN_SERVICE, SECOND_PLAIN_SERVICE):
        parts.append(f"[service {name}]\norganisation = lab\nkind = plain\n")
    for service, names in models_by_service.items():
        for name in names:
            parts.append(
                f"[model {name}]\nservice = {service}\nversions = 1\n"
                f"memory = {memory_mb}MB\nmin_places = {min_places}\n"
            )
    return "\n".join(parts)


class ReceivedOrder:
    """Hold one order that an engine received."""

    __slots__ = ("action", "backend_id", "fence", "item", "order_id", "phase")

    def __init__(self, backend_id, body, phase):
        self.backend_id: str = backend_id
        self.order_id: str = body["order_id"]
        self.fence: int = body["fence"]
        self.action: str = body["action"]
        self.item: str = body["item"]
        self.phase: str = phase

    def __repr__(self):
        return (
            f"{self.phase}: {self.order_id} fence {self.fence} {self.action} "
            f"{self.item} at {self.backend_id}"
        )


class RecordingEngine(fakes.FakeEngine):
    """Record received orders, and let streams hang on demand."""

    def __init__(self, *args, orders, **options):
        super().__init__(*args, **options)
        self.hang_at: int | None = None  # position of the first token not sent
        self.hung_count = 0
        self.streams = 0
        self._orders = orders

    def _order(self, body):
        self._orders.record(self.backend_id, body)
        return super()._order(body)

    def _events(self, model, tokens, first, chat):
        self.streams += 1
        events = super()._events(model, tokens, first, chat)
        for position, event in enumerate(events, start=first):
            if self.hang_at is not None and position >= self.hang_at:
                self.hung_count += 1
                gevent.sleep(CONDITION_TIMEOUT_S * 10)
            yield event


class OrderHistory:
    """Hold the orders received by all engines, in order of arrival."""

    def __init__(self):
        self.phase = "start"
        self.orders: list[ReceivedOrder] = []

    def record(self, backend_id, body) -> None:
        self.orders.append(ReceivedOrder(backend_id, body, self.phase))


def _free_ports(count):
    """Return free ports outside the ephemeral range.

    A restarted host needs its ports again, and the kernel may have assigned an
    ephemeral port to an outgoing connection in the meantime.
    """
    ports: list[int] = []
    first, last = demosystem.FIRST_PORT, demosystem.LAST_PORT
    port = first + os.getpid() * 50 % (last - first)
    while len(ports) < count:
        port = port + 1 if port < last else first
        if demosystem.reserve_port(port) and demosystem.is_free(port):
            ports.append(port)
    return ports


class ProcessSystem(demosystem.System):
    """Run hosts as processes, and fake backend servers in this process."""

    def __init__(self, seed=1):
        super().__init__(layout=LAYOUT, seed=seed)
        addresses = list(self._addresses_by_host.values())
        ports = _free_ports(sum(len(host_addresses) for host_addresses in addresses))
        for host_addresses in addresses:
            host_addresses.update(
                {kind: f"127.0.0.1:{ports.pop()}" for kind in host_addresses}
            )
        self.orders = OrderHistory()
        self.processes_by_id: dict[str, gevent.subprocess.Popen] = {}
        self.paused_ids: set[str] = set()

    def folder(self, host_id) -> pathlib.Path:
        return pathlib.Path(self._folder.name) / host_id

    def _settings_file(self, host_id):
        return pathlib.Path(self._folder.name) / f"{host_id}.ini"

    def _write_files(self, host_id):
        folder = pathlib.Path(self._folder.name)
        (folder / "key").write_bytes(demosystem.PEER_KEY)
        tokens = f"read {demosystem.READ_TOKEN}\noperate {demosystem.OPERATE_TOKEN}\n"
        (folder / "tokens").write_text(tokens)
        text = self.settings_text(host_id)
        # Kept outside the data folder, which a test may delete.
        for name in ("key", "tokens"):
            text = text.replace(f"{folder / host_id}/{name}", str(folder / name))
        text += f"[log]\nfile = {folder / host_id}.log\n"
        text += f"[decisions]\nseed = {self._seed * 100 + HOSTS.index(host_id) + 1}\n"
        self._settings_file(host_id).write_text(text)

    def start(self, late=()) -> None:
        """Start the whole system except the hosts in ``late``."""
        for host_id in HOSTS:
            self._write_files(host_id)
        commands = [
            gevent.spawn(run_command, "init-voter", "--config", self._settings_file(h))
            for h in HOSTS
        ]
        gevent.joinall(commands, raise_error=True)
        assert [command.value.code for command in commands] == [0, 0, 0]
        for host_id in HOSTS:
            if host_id not in late:
                self.start_host(host_id)
        for index in range(3):
            for service in (FENCING_SERVICE, NON_FENCING_SERVICE):
                self._start_recording_engine(f"{service}-{index}", service)
        for service in (PLAIN_SERVICE, SECOND_PLAIN_SERVICE):
            self._start_plain_service(f"{service}-0", service)
        self._start_plain_service(f"{PLAIN_SERVICE}-1", PLAIN_SERVICE)

    def _start_recording_engine(self, backend_id, service):
        engine = RecordingEngine(
            backend_id,
            service,
            "dc-1",
            self._announce_addresses(),
            orders=self.orders,
            memory_mb=ENGINE_MEMORY_MB,
            load_s=0.05,
            token_s=0.005,
            checks_fencing=service == FENCING_SERVICE,
        )
        engine.start()
        self.engines_by_id[backend_id] = engine

    def _start_plain_service(self, backend_id, service):
        addresses = self._announce_addresses()
        plain = fakes.FakePlainService(backend_id, service, "dc-1", addresses)
        plain.start()
        self.plain_servers_by_id[backend_id] = plain

    def _announce_addresses(self):
        """Return the backend addresses, rotated to spread servers over the hosts."""
        addresses = self.announcement_addresses("dc-1")
        start = (len(self.engines_by_id) + len(self.plain_servers_by_id)) % len(
            addresses
        )
        return addresses[start:] + addresses[:start]

    def start_host(self, host_id: str) -> None:
        """Start the process of a host, which must not be running."""
        running = self.processes_by_id.get(host_id)
        assert running is None or running.poll() is not None
        output = (pathlib.Path(self._folder.name) / f"{host_id}.out").open("ab")
        with output:
            self.processes_by_id[host_id] = gevent.subprocess.Popen(
                _command("serve", "--config", self._settings_file(host_id)),
                stdout=output,
                stderr=output,
            )

    def output_of(self, host_id) -> str:
        return (pathlib.Path(self._folder.name) / f"{host_id}.out").read_text()

    def log_of(self, host_id) -> str:
        return (pathlib.Path(self._folder.name) / f"{host_id}.log").read_text()

    def kill_host(self, host_id) -> None:
        """Kill a host with SIGKILL and wait for its process to end."""
        process = self.processes_by_id[host_id]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.paused_ids.discard(host_id)

    def pause_host(self, host_id) -> None:
        self.processes_by_id[host_id].send_signal(signal.SIGSTOP)
        self.paused_ids.add(host_id)

    def resume_host(self, host_id) -> None:
        self.processes_by_id[host_id].send_signal(signal.SIGCONT)
        self.paused_ids.discard(host_id)

    def end_host(self, host_id) -> int:
        """Stop a host with SIGTERM and return its exit code."""
        process = self.processes_by_id[host_id]
        process.send_signal(signal.SIGTERM)
        return process.wait(CONDITION_TIMEOUT_S)

    def delete_folder(self, host_id) -> None:
        shutil.rmtree(self.folder(host_id))

    def running_ids(self) -> list[str]:
        return [
            host_id
            for host_id, process in self.processes_by_id.items()
            if process.poll() is None and host_id not in self.paused_ids
        ]

    def restore_hosts(self) -> None:
        """Resume or restart hosts that are down, and wait until all are ready."""
        for host_id in list(self.paused_ids):
            self.resume_host(host_id)
        for host_id in HOSTS:
            process = self.processes_by_id.get(host_id)
            if process is None or process.poll() is not None:
                self.start_host(host_id)
        for host_id in HOSTS:
            self.wait_until(lambda name=host_id: self.is_ready(name), "a ready host")

    def is_ready(self, host_id) -> bool:
        return send(self.callers_address(host_id), "GET", "/readyz").status == 200

    def wait_until(self, condition, what) -> None:
        demosystem.wait_for(condition, what, CONDITION_TIMEOUT_S)

    def voters_on_disk(self, host_id) -> list[str]:
        """Return the identities of configuration voters in a host's log on disk."""
        with tempfile.TemporaryDirectory() as copy:
            directory = pathlib.Path(copy) / "group"
            source = self.folder(host_id) / host.CONFIGURATION_GROUP
            shutil.copytree(source, directory)
            store = diskstore.DiskStore(directory)
            try:
                return list(logstate.LogState(store.state).voter_set.voters)
            finally:
                store.close()

    def describe(self) -> str:
        """Return status, output and some log lines of hosts, to explain a failure."""
        lines = [f"{host_id}: {self.status(host_id)}" for host_id in self.running_ids()]
        for host_id in HOSTS:
            for line in self.log_of(host_id).splitlines():
                entry = json.loads(line)
                if entry.get("message_type") in ("group", "place", "host", "task"):
                    lines.append(f"{host_id} {entry['timestamp']}: {entry['text']}")
            lines.append(self.output_of(host_id)[-2000:])
        return "\n".join(lines)

    # Administration

    def admin(self, host_id, method, path, body=None):
        headers = {"Authorization": f"Bearer {demosystem.OPERATE_TOKEN}"}
        address = self.admin_address(host_id)
        return send(address, method, f"/admin/v1/{path}", body, headers)

    def status(self, host_id) -> dict:
        """Return the status of a host, or an empty dictionary without an answer."""
        answer = self.admin(host_id, "GET", "status")
        return answer.json() if answer.status == 200 else {}

    def any_status(self) -> dict:
        for host_id in self.running_ids():
            status = self.status(host_id)
            if status:
                return status
        return {}

    def leader(self) -> str:
        """Return the configuration leader that a majority of hosts agrees on."""
        return self._majority_value("configuration_leader")

    def owner(self) -> str:
        """Return the placement owner that a majority of hosts agrees on."""
        return self._majority_value("placement_owner")

    def _majority_value(self, field):
        names = collections.Counter(
            self.status(host_id).get(field, "") for host_id in self.running_ids()
        )
        name, count = names.most_common(1)[0]
        return name if name in self.running_ids() and count >= 2 else ""

    def wait_until_elected(self, find) -> str:
        self.wait_until(lambda: bool(find()), "a leader that a majority agrees on")
        return find()

    def submit_until_accepted(self, text) -> dict:
        """Submit a sheet as successor of the version in force until it is accepted."""
        accepted: list[dict] = []

        def attempt():
            host_id = self.running_ids()[0]
            follows = self.status(host_id).get("version", 0)
            body = {"follows": follows, "sheet": text}
            answer = self.admin(host_id, "POST", "sheet", body)
            if answer.status == 200:
                accepted.append(answer.json())
            return answer.status == 200

        self.wait_until(attempt, "an accepted sheet")
        return accepted[-1]

    def wait_until_all_placed(self, version) -> None:
        """Wait until each running host knows a replica of every listed model."""

        def is_placed():
            statuses = [self.status(host_id) for host_id in self.running_ids()]
            return all(
                status
                and status["version"] >= version
                and not status["without_replica"]
                for status in statuses
            )

        self.wait_until(is_placed, "a replica of each listed model")

    def stop(self) -> None:
        for process in self.processes_by_id.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        super().stop()


class Answer:
    """Hold one answer; status 0 means that no complete answer arrived."""

    __slots__ = ("body", "status")

    def __init__(self, status, body):
        self.status: int = status
        self.body: bytes = body

    def json(self) -> dict:
        return json.loads(self.body)

    @property
    def executed(self) -> str:
        """Return the ``executed`` value of a problem document, or an empty string."""
        if self.status < 400:
            return ""
        return str(self.json().get("executed", ""))

    def __repr__(self):
        return f"{self.status} {self.body[:160]!r}"


def send(address, method, path, body=None, headers=None) -> Answer:
    """Send a request and return its answer."""
    data = b"" if body is None else json.dumps(body).encode()
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        return Answer(*demo.send_request(address, method, path, data, all_headers))
    except (OSError, geventhttpclient.response.HTTPParseError) as error:
        return Answer(0, str(error).encode())


class CommandResult:
    """Hold the exit code and the output of a command."""

    __slots__ = ("code", "errors", "output")

    def __init__(self, code, output, errors):
        self.code: int = code
        self.output: str = output
        self.errors: str = errors


def _command(*arguments):
    return [sys.executable, "-m", "kumquatproxy", *map(str, arguments)]


def run_command(*arguments) -> CommandResult:
    """Run a command to completion without blocking the fake backend servers."""
    process = gevent.subprocess.Popen(
        _command(*arguments),
        stdout=gevent.subprocess.PIPE,
        stderr=gevent.subprocess.PIPE,
    )
    output, errors = process.communicate()
    return CommandResult(process.returncode, output.decode(), errors.decode())
