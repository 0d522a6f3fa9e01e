"""Several hosts and fake backend servers in one process."""

import pathlib
import random
import socket
import tempfile
import time

import gevent

from kumquatproxy import adminmessages, errors, host, settings
from kumquatproxy.configuration import samples, sheet
from kumquatproxy.laboratory import fakes

KEY = b"a key for the demo only"
READ_TOKEN = "demo-read"
OPERATE_TOKEN = "demo-operate"
READY_TIMEOUT_S = 90.0
POLL_S = 0.05
PLACEMENT_VOTERS = 3
ENGINES = 5
PLAIN_SERVERS = 3
ENGINE_MEMORY_MB = 80_000


# Below the ports that systems give to outgoing connections: one of those may be taken
# by any process before it is used here.
FIRST_PORT, LAST_PORT = 12_000, 32_000


def is_free(port: int) -> bool:
    """Return whether nobody uses a port at present."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_address() -> str:
    """Return an address of a port that is free at present."""
    while True:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if is_free(port):
            return f"127.0.0.1:{port}"


class Layout:
    """Say which hosts stand in which data centre and who votes."""

    __slots__ = ("data_centres_by_host", "voters")

    def __init__(self, data_centres_by_host, voters=()):
        self.data_centres_by_host: dict[str, str] = data_centres_by_host
        self.voters: tuple[str, ...] = tuple(voters or data_centres_by_host)

    def hosts_of(self, data_centre: str) -> list[str]:
        """Return the hosts of a data centre."""
        return [
            host_id
            for host_id, centre in self.data_centres_by_host.items()
            if centre == data_centre
        ]

    def data_centres(self) -> list[str]:
        """Return the data centres in order."""
        return sorted(set(self.data_centres_by_host.values()))


ONE_CENTRE = Layout({"host-1": "dc-1", "host-2": "dc-1", "host-3": "dc-1"})
THREE_CENTRES = Layout(
    {f"host-{i}-{j}": f"dc-{i}" for i in (1, 2, 3) for j in (1, 2)},
    ("host-1-1", "host-2-1", "host-3-1"),
)


class System:
    """Run hosts of a layout with the backend servers of a sample."""

    def __init__(
        self,
        sample="port-louis",
        layout=ONE_CENTRE,
        seed=1,
        text="",
        engine_options=None,
        first_addresses=None,
    ):
        self.size = samples.SIZES_BY_NAME[sample]
        self.text: str = text or samples.generate(sample)
        self.layout: Layout = layout
        self.hosts_by_id: dict[str, host.Host] = {}
        self.engines_by_id: dict[str, fakes.FakeEngine] = {}
        self.plain_by_id: dict[str, fakes.FakePlainService] = {}
        self._seed: int = seed
        # With its share of the store an owner starts a model every few seconds.
        store = sheet.parse(self.text).weight_store
        centres = len(layout.data_centres())
        self._settled_s: float = 2.0 + 2.0 * centres / store.loads_per_second
        self._engine_options: dict = engine_options or {}
        self._folder = tempfile.TemporaryDirectory(prefix="kumquatproxy-")
        kinds = ("callers", "administration", "backend_servers", "peers")
        self._addresses_by_host = {
            host_id: {kind: free_address() for kind in kinds}
            for host_id in layout.data_centres_by_host
        }
        first = next(iter(layout.data_centres_by_host))
        self._addresses_by_host[first].update(first_addresses or {})

    def settings_text(self, host_id: str) -> str:
        """Return the settings file of one host."""
        data_centre = self.layout.data_centres_by_host[host_id]
        lines = ["[host]", f"id = {host_id}", f"data_centre = {data_centre}"]
        for kind, address in self._addresses_by_host[host_id].items():
            lines.append(f"{kind} = {address}")
        folder = pathlib.Path(self._folder.name) / host_id
        placement_voters = self.layout.hosts_of(data_centre)[:PLACEMENT_VOTERS]
        lines += [
            f"data_folder = {folder}",
            f"key_file = {folder}/key",
            f"token_file = {folder}/tokens",
            "settle_time = 200ms",
            "drain_timeout = 60s",
            "[groups]",
            f"configuration_voters = {', '.join(self.layout.voters)}",
            f"placement_voters = {', '.join(placement_voters)}",
        ]
        for peer, centre in self.layout.data_centres_by_host.items():
            if peer != host_id:
                address = self._addresses_by_host[peer]["peers"]
                lines += [f"[peer {peer}]", f"address = {address}"]
                lines.append(f"data_centre = {centre}")
        return "\n".join(lines) + "\n"

    def start(self) -> None:
        """Start all hosts and backend servers."""
        for host_id in self.layout.data_centres_by_host:
            parsed = settings.parse(self.settings_text(host_id))
            if host_id in self.layout.voters:
                host.initialise_voter(parsed)
            self.start_host(host_id)
        for index in range(ENGINES):
            self.start_engine(f"{self.size.service}-{index}", self._centre(index))
        for index in range(PLAIN_SERVERS):
            self.start_plain(f"{self.size.plain_service}-{index}", self._centre(index))

    def start_host(self, host_id: str) -> None:
        """Start one host, also again after a stop."""
        parsed = settings.parse(self.settings_text(host_id))
        roles_by_token = {READ_TOKEN: "read", OPERATE_TOKEN: "operate"}
        seed = self._seed * 1000 + len(self.hosts_by_id) + 1
        one = host.Host(parsed, KEY, roles_by_token, seed)
        one.start()
        self.hosts_by_id[host_id] = one

    def _centre(self, index):
        centres = self.layout.data_centres()
        return centres[index % len(centres)]

    def backend_addresses(self, data_centre: str) -> list[str]:
        """Return where backend servers of a data centre announce themselves."""
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
            self.backend_addresses(data_centre),
            incarnation,
            **{"memory_mb": ENGINE_MEMORY_MB, **self._engine_options},
        )
        engine.start()
        self.engines_by_id[backend_id] = engine
        return engine

    def start_plain(self, backend_id, data_centre) -> fakes.FakePlainService:
        """Start one fake plain service."""
        plain = fakes.FakePlainService(
            backend_id,
            self.size.plain_service,
            data_centre,
            self.backend_addresses(data_centre),
        )
        plain.start()
        self.plain_by_id[backend_id] = plain
        return plain

    def callers_address(self, host_id: str) -> str:
        """Return the address of a host for callers."""
        return self._addresses_by_host[host_id]["callers"]

    def admin_address(self, host_id: str) -> str:
        """Return the address of a host for operators."""
        return self._addresses_by_host[host_id]["administration"]

    def submit(self, host_id: str, text: str, follows: int) -> dict:
        """Submit a sheet at a host; raise ProxyError if it is refused."""
        message = adminmessages.SubmitSheet(follows, text)
        return self.hosts_by_id[host_id].control.ask(message, 10.0)

    def submit_first(self) -> None:
        """Submit the sheet as soon as the configuration group has a leader."""
        first = next(iter(self.hosts_by_id))
        wait_for(lambda: self._accepted(first), "an accepted sheet")

    def _accepted(self, host_id):
        try:
            self.submit(host_id, self.text, 0)
        except errors.ProxyError as error:
            retried = (errors.ErrorKind.NO_QUORUM, errors.ErrorKind.DOES_NOT_FIT)
            if error.kind not in retried:
                raise
            gevent.sleep(POLL_S)
            return False
        return True

    def wait_until_placed(self, host_ids=None) -> None:
        """Wait until the hosts can route every listed name; raise TimeoutError."""
        parsed = sheet.parse(self.text)
        targets = [parsed.resolve(name) for name in parsed.listed_names()]
        for host_id in host_ids or self.hosts_by_id:
            dispatcher = self.hosts_by_id[host_id].dispatcher
            wait_for(
                lambda known=dispatcher: all(
                    known.has_server(target.items()) for target in targets
                ),
                f"every listed model routable at {host_id}",
            )

    def wait_until_settled(self) -> None:
        """Wait until the engines have carried out no load for a while."""
        seen = [self.moves(), time.monotonic()]

        def is_settled():
            if self.moves() != seen[0]:
                seen[:] = [self.moves(), time.monotonic()]
            return time.monotonic() - seen[1] > self._settled_s

        wait_for(is_settled, "no more loads")

    def moves(self) -> int:
        """Return the loads that the engines have carried out."""
        return sum(engine.moves for engine in self.engines_by_id.values())

    def overcommitted(self) -> list[str]:
        """Return the engines whose memory was overcommitted at some time."""
        engines = self.engines_by_id.values()
        return [engine.backend_id for engine in engines if engine.overcommitted]

    def stop(self) -> None:
        """Stop everything at once."""
        for backend in (*self.engines_by_id.values(), *self.plain_by_id.values()):
            backend.stop()
        for one in self.hosts_by_id.values():
            one.kill()
        self._folder.cleanup()


def wait_for(condition, what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until a condition holds; raise TimeoutError."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        gevent.sleep(POLL_S)
