"""Run several hosts and fake backend servers in one process."""

import fcntl
import pathlib
import random
import socket
import tempfile
import time

import gevent

from kumquatproxy import adminmessages, errors, host, settings
from kumquatproxy.configuration import samples, sheet
from kumquatproxy.laboratory import fakes

PEER_KEY = b"a key for the demo only"
READ_TOKEN = "demo-read"
OPERATE_TOKEN = "demo-operate"
CONDITION_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.05
PLACEMENT_VOTER_COUNT = 3
ENGINE_COUNT = 5
PLAIN_SERVER_COUNT = 3
ENGINE_MEMORY_MB = 80_000


# Ports outside the ephemeral range: the kernel could give an ephemeral port to another
# process's outgoing connection before a host binds it.
FIRST_PORT, LAST_PORT = 12_000, 32_000
# A process holds the locks of its ports until it ends, because a port that is free may
# be chosen by another process before it is bound.
PORT_LOCKS_FOLDER = pathlib.Path(tempfile.gettempdir()) / "kumquatproxy-ports"
_lock_files: list = []


def reserve_port(port: int) -> bool:
    """Reserve a port for this process; return False if any process has reserved it."""
    PORT_LOCKS_FOLDER.mkdir(exist_ok=True)
    lock_file = open(PORT_LOCKS_FOLDER / str(port), "w")
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock_file.close()
        return False
    _lock_files.append(lock_file)
    return True


def is_free(port: int) -> bool:
    """Return whether a port can currently be bound on loopback."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_address() -> str:
    """Return a loopback address with a free port that this process has reserved."""
    while True:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if reserve_port(port) and is_free(port):
            return f"127.0.0.1:{port}"


class HostLayout:
    """Assign hosts to data centres and name the configuration voters."""

    __slots__ = ("configuration_voters", "data_centres_by_host")

    def __init__(self, data_centres_by_host, configuration_voters=()):
        self.data_centres_by_host: dict[str, str] = data_centres_by_host
        self.configuration_voters: tuple[str, ...] = tuple(
            configuration_voters or data_centres_by_host
        )

    def hosts_of(self, data_centre: str) -> list[str]:
        """Return the ids of the hosts in a data centre."""
        return [
            host_id
            for host_id, centre in self.data_centres_by_host.items()
            if centre == data_centre
        ]

    def data_centres(self) -> list[str]:
        """Return the data centres in sorted order."""
        return sorted(set(self.data_centres_by_host.values()))


ONE_CENTRE_LAYOUT = HostLayout({"host-1": "dc-1", "host-2": "dc-1", "host-3": "dc-1"})
THREE_CENTRES_LAYOUT = HostLayout(
    {f"host-{i}-{j}": f"dc-{i}" for i in (1, 2, 3) for j in (1, 2)},
    ("host-1-1", "host-2-1", "host-3-1"),
)


class System:
    """Run the hosts of a layout with fake backend servers for a sample sheet."""

    def __init__(
        self,
        sample="port-louis",
        layout=ONE_CENTRE_LAYOUT,
        seed=1,
        sheet_text="",
        engine_options=None,
        first_host_addresses=None,
    ):
        self.size = samples.SIZES_BY_NAME[sample]
        self.sheet_text: str = sheet_text or samples.generate(sample)
        self.layout: HostLayout = layout
        self.hosts_by_id: dict[str, host.Host] = {}
        self.engines_by_id: dict[str, fakes.FakeEngine] = {}
        self.plain_servers_by_id: dict[str, fakes.FakePlainService] = {}
        self._seed: int = seed
        # The placement owners of the data centres share the store's load rate, so each
        # starts one load every ``centres / loads_per_second`` seconds.
        store = sheet.parse(self.sheet_text).weight_store
        centres = len(layout.data_centres())
        # The quiet time is longer than two of these intervals.
        self._quiet_time_s: float = 2.0 + 2.0 * centres / store.loads_per_second
        self._engine_options: dict = engine_options or {}
        self._folder = tempfile.TemporaryDirectory(prefix="kumquatproxy-")
        address_kinds = ("callers", "administration", "backend_servers", "peers")
        self._addresses_by_host = {
            host_id: {kind: free_address() for kind in address_kinds}
            for host_id in layout.data_centres_by_host
        }
        first_host_id = next(iter(layout.data_centres_by_host))
        self._addresses_by_host[first_host_id].update(first_host_addresses or {})

    def settings_text(self, host_id: str) -> str:
        """Return the contents of a host's settings file."""
        data_centre = self.layout.data_centres_by_host[host_id]
        lines = ["[host]", f"id = {host_id}", f"data_centre = {data_centre}"]
        for kind, address in self._addresses_by_host[host_id].items():
            lines.append(f"{kind} = {address}")
        folder = pathlib.Path(self._folder.name) / host_id
        placement_voters = self.layout.hosts_of(data_centre)[:PLACEMENT_VOTER_COUNT]
        lines += [
            f"data_folder = {folder}",
            f"key_file = {folder}/key",
            f"token_file = {folder}/tokens",
            "settle_time = 200ms",
            "drain_timeout = 60s",
            "[groups]",
            f"configuration_voters = {', '.join(self.layout.configuration_voters)}",
            f"placement_voters = {', '.join(placement_voters)}",
        ]
        for peer_id, centre in self.layout.data_centres_by_host.items():
            if peer_id != host_id:
                address = self._addresses_by_host[peer_id]["peers"]
                lines += [f"[peer {peer_id}]", f"address = {address}"]
                lines.append(f"data_centre = {centre}")
        return "\n".join(lines) + "\n"

    def start(self) -> None:
        """Start all hosts and backend servers."""
        for host_id in self.layout.data_centres_by_host:
            host_settings = settings.parse(self.settings_text(host_id))
            if host_id in self.layout.configuration_voters:
                host.initialise_voter(host_settings)
            self.start_host(host_id)
        for index in range(ENGINE_COUNT):
            self.start_engine(
                f"{self.size.service}-{index}", self._centre_of_server(index)
            )
        for index in range(PLAIN_SERVER_COUNT):
            self.start_plain_server(
                f"{self.size.plain_service}-{index}", self._centre_of_server(index)
            )

    def start_host(self, host_id: str) -> None:
        """Start a host, or restart it after a stop."""
        host_settings = settings.parse(self.settings_text(host_id))
        roles_by_token = {READ_TOKEN: "read", OPERATE_TOKEN: "operate"}
        seed = self._seed * 1000 + len(self.hosts_by_id) + 1
        new_host = host.Host(host_settings, PEER_KEY, roles_by_token, seed)
        new_host.start()
        self.hosts_by_id[host_id] = new_host

    def _centre_of_server(self, index):
        centres = self.layout.data_centres()
        return centres[index % len(centres)]

    def announcement_addresses(self, data_centre: str) -> list[str]:
        """Return the addresses at which a data centre's hosts receive announcements."""
        return [
            self._addresses_by_host[host_id]["backend_servers"]
            for host_id in self.layout.hosts_of(data_centre)
        ]

    def start_engine(self, backend_id, data_centre, incarnation=1) -> fakes.FakeEngine:
        """Start one fake engine."""
        engine = fakes.FakeEngine(
            backend_id,
            self.size.service,
            data_centre,
            self.announcement_addresses(data_centre),
            incarnation,
            **{"memory_mb": ENGINE_MEMORY_MB, **self._engine_options},
        )
        engine.start()
        self.engines_by_id[backend_id] = engine
        return engine

    def start_plain_server(self, backend_id, data_centre) -> fakes.FakePlainService:
        """Start one fake plain server."""
        plain = fakes.FakePlainService(
            backend_id,
            self.size.plain_service,
            data_centre,
            self.announcement_addresses(data_centre),
        )
        plain.start()
        self.plain_servers_by_id[backend_id] = plain
        return plain

    def callers_address(self, host_id: str) -> str:
        """Return the address at which a host serves callers."""
        return self._addresses_by_host[host_id]["callers"]

    def is_stopping(self, address: str) -> bool:
        """Return whether the host that serves callers at an address is stopping."""
        return any(
            running_host.entry.stopping and self.callers_address(host_id) == address
            for host_id, running_host in self.hosts_by_id.items()
        )

    def admin_address(self, host_id: str) -> str:
        """Return the address at which a host serves operators."""
        return self._addresses_by_host[host_id]["administration"]

    def submit(self, host_id: str, sheet_text: str, follows: int) -> dict:
        """Submit a sheet to a host; raise ProxyError if it is refused."""
        message = adminmessages.SubmitSheet(follows, sheet_text)
        return self.hosts_by_id[host_id].control.ask(message, 10.0)

    def submit_first_sheet(self) -> None:
        """Submit the sheet; retry while it lacks a quorum or enough server memory."""
        first_host_id = next(iter(self.hosts_by_id))
        wait_for(lambda: self._try_submit(first_host_id), "an accepted sheet")

    def _try_submit(self, host_id):
        try:
            self.submit(host_id, self.sheet_text, 0)
        except errors.ProxyError as error:
            retryable_kinds = (
                errors.ErrorKind.NO_QUORUM,
                errors.ErrorKind.DOES_NOT_FIT,
            )
            if error.kind not in retryable_kinds:
                raise
            gevent.sleep(POLL_INTERVAL_S)
            return False
        return True

    def wait_until_placed(self, host_ids=None) -> None:
        """Wait until hosts can route every listed name, or raise TimeoutError."""
        parsed_sheet = sheet.parse(self.sheet_text)
        targets = [parsed_sheet.resolve(name) for name in parsed_sheet.listed_names()]
        for host_id in host_ids or self.hosts_by_id:
            dispatcher = self.hosts_by_id[host_id].dispatcher
            wait_for(
                lambda dispatcher=dispatcher: all(
                    dispatcher.has_server(target.items()) for target in targets
                ),
                f"every listed name routable at {host_id}",
            )

    def wait_until_settled(self) -> None:
        """Wait until the engines have executed no load for the quiet time."""
        last_change = [self.load_count(), time.monotonic()]

        def is_settled():
            if self.load_count() != last_change[0]:
                last_change[:] = [self.load_count(), time.monotonic()]
            return time.monotonic() - last_change[1] > self._quiet_time_s

        wait_for(is_settled, "no load executed for the quiet time")

    def load_count(self) -> int:
        """Return the number of loads that the engines have executed."""
        return sum(engine.load_count for engine in self.engines_by_id.values())

    def overcommitted_engine_ids(self) -> list[str]:
        """Return the ids of the engines whose memory was ever overcommitted."""
        engines = self.engines_by_id.values()
        return [engine.backend_id for engine in engines if engine.overcommitted]

    def stop(self) -> None:
        """Stop all backend servers, kill all hosts and delete their data."""
        for backend in (
            *self.engines_by_id.values(),
            *self.plain_servers_by_id.values(),
        ):
            backend.stop()
        for running_host in self.hosts_by_id.values():
            running_host.kill()
        self._folder.cleanup()


def wait_for(
    condition, description: str, timeout_s: float = CONDITION_TIMEOUT_S
) -> None:
    """Poll until a condition holds; raise TimeoutError after the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"{description}: not within {timeout_s} s")
        gevent.sleep(POLL_INTERVAL_S)
