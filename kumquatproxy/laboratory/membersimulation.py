"""Simulation of many hosts with backend servers, with recording of their inputs."""

import random

from kumquatproxy import records
from kumquatproxy.configuration import versionmessages
from kumquatproxy.laboratory import fakenetwork
from kumquatproxy.membership import membermessages, peers

REGION_BY_CENTRE = {"a": 1, "b": 1, "c": 1, "d": 2, "e": 2}
LOCAL_DELAY_S = 0.001
REGION_DELAY_S = 0.0015
CROSS_REGION_DELAY_S = 0.040
JITTER_SHARE = 0.2  # of the delay
SEED_HOSTS_PER_CENTRE = 3

MODEL_COUNT = 1700
ADAPTER_COUNT = 5600
MODELS_PER_SERVER = 16
ADAPTERS_PER_SERVER = 12
# One unload and one load, as many as the weight store allows.
MODEL_CHANGES_PER_S = 2.0
ADAPTER_CHANGES_PER_S = 10.0
REPORTED_ORDER_COUNT = 8


class Size(records.Record):
    """Size of a simulated system and its message loss."""

    __slots__ = ("backends", "hosts", "lost")

    def __init__(self, hosts, backends, lost=0.0):
        self.hosts: int = hosts
        self.backends: int = backends
        self.lost: float = lost  # share of the messages


class RecordingNetwork(fakenetwork.FakeNetwork):
    """Network that records all inputs of some hosts, to replay them later."""

    def __init__(self, seed, conditions_of, on_output):
        super().__init__(seed, conditions_of=conditions_of, on_output=on_output)
        self.events_by_id: dict[str, list[tuple]] = {}
        self.peers_by_id: dict[str, set[str]] = {}

    def start_recording(self, host_id: str) -> None:
        """Record the inputs of a host from now on."""
        self.events_by_id[host_id] = []
        self.peers_by_id[host_id] = set()

    def record_input(self, host_id: str, *event) -> None:
        """Record an input of a host if its inputs are recorded."""
        events = self.events_by_id.get(host_id)
        if events is not None:
            events.append((self.now, *event))

    def tick_host(self, host_id, host) -> list:
        """Tick one host and record the tick."""
        self.record_input(host_id, "tick")
        return super().tick_host(host_id, host)

    def deliver_to_host(self, host_id, host, sender, data) -> list:
        """Pass an encoded message to a host and record it."""
        if host_id in self.events_by_id:
            self.record_input(host_id, "message", sender, data)
            self.peers_by_id[host_id].add(sender)
        return super().deliver_to_host(host_id, host, sender, data)


class Simulation:
    """Hosts of five data centres in two regions."""

    def __init__(self, seed, size):
        self.seed = seed
        self.size: Size = size
        self.rng = random.Random(f"{seed} simulation")
        self.network = RecordingNetwork(seed, self._conditions, self._record_adoption)
        self.adoptions_by_id: dict[str, list[tuple]] = {}
        centres = list(REGION_BY_CENTRE)
        hosts_per_centre = size.hosts // len(centres)
        self.centre_by_host = {
            f"{centre}-host-{index:03d}": centre
            for centre in centres
            for index in range(hosts_per_centre)
        }
        self.host_ids_by_centre = {
            centre: [name for name in self.centre_by_host if name[0] == centre]
            for centre in centres
        }
        self._seed_hosts = [
            membermessages.Seed(name, centre, self._address(name))
            for centre in centres
            for name in self.host_ids_by_centre[centre][:SEED_HOSTS_PER_CENTRE]
        ]
        self._conditions_by_delay = {
            delay_s: fakenetwork.Conditions(delay_s, JITTER_SHARE * delay_s, size.lost)
            for delay_s in (LOCAL_DELAY_S, REGION_DELAY_S, CROSS_REGION_DELAY_S)
        }
        self._servers: list[_Server] = []

    def start(self, observed=()) -> None:
        """Start all hosts and schedule the announcements of the backend servers."""
        for host_id in self.centre_by_host:
            if host_id in observed:
                self.network.start_recording(host_id)
            self.network.add(host_id, self.new_host(host_id))
        for index in range(self.size.backends):
            centre = list(REGION_BY_CENTRE)[index % len(REGION_BY_CENTRE)]
            hosts = self.host_ids_by_centre[centre]
            collector = hosts[index // len(REGION_BY_CENTRE) % len(hosts)]
            server = _Server(index, centre, collector, self.rng)
            self._servers.append(server)
            self.network.at(1.0 + self.rng.random(), self._make_announcer(server))
        if self._servers:
            self.network.at(2.0, self._change_loaded_items)

    def new_host(self, host_id: str) -> peers.HostProtocols:
        """Return a host in its initial state."""
        settings = membermessages.Settings(
            host_id,
            self.centre_by_host[host_id],
            self._address(host_id),
            1_700_000_000,
            self._seed_hosts,
        )
        return peers.HostProtocols(
            settings, random.Random(f"{self.seed} {host_id}"), 0.0
        )

    def publish(self, host_id: str, number: int, content: bytes) -> None:
        """Publish a version at one host."""
        self.network.record_input(host_id, "publish", number, content)
        host = self.network.hosts_by_id[host_id]
        outputs = host.publish(number, content, self.network.now)
        self.network.handle(host_id, outputs)

    def adopted_at(self, number: int) -> dict[str, float]:
        """Return the time at which each host adopted a version."""
        return {
            host_id: at
            for host_id, adoptions in self.adoptions_by_id.items()
            for version, _, at in adoptions
            if version == number
        }

    def max_hops(self, number: int) -> int:
        """Return the largest number of hops that a version took to reach a host."""
        sources = {
            host_id: source
            for host_id, adoptions in self.adoptions_by_id.items()
            for version, source, _ in adoptions
            if version == number
        }

        def hops_to(host_id):
            source = sources[host_id]
            return 0 if source == host_id else 1 + hops_to(source)

        return max(hops_to(host_id) for host_id in sources)

    def _address(self, host_id):
        return f"10.0.{ord(host_id[0])}.{int(host_id[-3:])}:7400"

    def _conditions(self, sender, to):
        if sender[0] == to[0]:
            delay_s = LOCAL_DELAY_S
        elif REGION_BY_CENTRE[sender[0]] == REGION_BY_CENTRE[to[0]]:
            delay_s = REGION_DELAY_S
        else:
            delay_s = CROSS_REGION_DELAY_S
        return self._conditions_by_delay[delay_s]

    def _record_adoption(self, host_id, output, now):
        if isinstance(output, versionmessages.Adopted):
            adoption = (output.number, output.source, now)
            self.adoptions_by_id.setdefault(host_id, []).append(adoption)

    # Backend servers

    def _make_announcer(self, server):
        def announce():
            self.network.record_input(server.collector, "announce", server.record)
            host = self.network.hosts_by_id[server.collector]
            now = self.network.now
            outputs = host.membership.announce(server.record, now)
            self.network.handle(server.collector, outputs)
            report()

        def report():
            load_report = server.next_report(self.network.now)
            self.network.record_input(server.collector, "report", load_report)
            host = self.network.hosts_by_id[server.collector]
            self.network.handle(
                server.collector, host.report(load_report, self.network.now)
            )
            self.network.at(self.network.now + 1.0, report)

        return announce

    def _change_loaded_items(self):
        """Make the changes of one second at once, and again each second.

        The rates hold for 600 backend servers and scale with their number.
        """
        size_ratio = self.size.backends / 600
        for kind, rate in (
            ("model", MODEL_CHANGES_PER_S),
            ("adapter", ADAPTER_CHANGES_PER_S),
        ):
            expected_count = rate * size_ratio
            count = int(expected_count) + (self.rng.random() < expected_count % 1.0)
            for _ in range(count):
                self.rng.choice(self._servers).change_item(kind)
        self.network.at(self.network.now + 1.0, self._change_loaded_items)


class _Server:
    """Announcement and load reports of one simulated backend server."""

    def __init__(self, index, centre, collector, rng):
        self.collector = collector
        self._rng = rng
        self._sequence = 0
        self._order_ids: list[str] = []
        name = f"{centre}-server-{index:03d}"
        self.record = records.BackendServer(
            name, f"10.1.0.{index}:8000", centre, "engine", "engines", 1_700_000_000
        )
        self.record.memory_mb, self.record.accelerators = 320_000, 4
        self._loaded = [self._item("model") for _ in range(MODELS_PER_SERVER)]
        self._loaded += [self._item("adapter") for _ in range(ADAPTERS_PER_SERVER)]

    def change_item(self, kind):
        """Load or unload one item of a kind."""
        loaded = [item for item in self._loaded if item.kind == kind]
        usual_count = MODELS_PER_SERVER if kind == "model" else ADAPTERS_PER_SERVER
        if len(loaded) >= usual_count:
            self._loaded.remove(self._rng.choice(loaded))
        else:
            self._loaded.append(self._item(kind))
        order_id = f"{self.record.data_centre}-{self._rng.randrange(10**6)}"
        self._order_ids = [*self._order_ids, order_id][-REPORTED_ORDER_COUNT:]

    def next_report(self, now):
        """Return the next load report."""
        self._sequence += 1
        return records.LoadReport(
            self.record.backend_id,
            self.record.incarnation,
            self._sequence,
            self._rng.randrange(40),
            self._rng.randrange(5),
            self._rng.random(),
            self._loaded,
            3,
            self._order_ids,
            now,
        )

    def _item(self, kind):
        count = MODEL_COUNT if kind == "model" else ADAPTER_COUNT
        return records.Item(kind, f"{kind}-{self._rng.randrange(count):04d}", "1")
