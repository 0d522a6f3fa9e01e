"""Many hosts with backend servers on a fake network, recorded for measurements."""

import random

from kumquatproxy import records
from kumquatproxy.configuration import versionmessages
from kumquatproxy.laboratory import fakenetwork
from kumquatproxy.membership import membermessages, peers

REGIONS_BY_CENTRE = {"a": 1, "b": 1, "c": 1, "d": 2, "e": 2}
LOCAL_DELAY_S = 0.001
CENTRE_DELAY_S = 0.0015
REGION_DELAY_S = 0.040
JITTER = 0.2  # share of the delay
SEEDS_PER_CENTRE = 3

MODELS = 1700
ADAPTERS = 5600
MODELS_PER_SERVER = 16
ADAPTERS_PER_SERVER = 12
MODEL_CHANGES_PER_S = 2.0  # one load and one unload, the rate of the weight store
ADAPTER_CHANGES_PER_S = 10.0
ORDERS_KEPT = 8


class Size(records.Record):
    """Hold the size of a simulated system."""

    __slots__ = ("backends", "hosts", "lost")

    def __init__(self, hosts, backends, lost=0.0):
        self.hosts: int = hosts
        self.backends: int = backends
        self.lost: float = lost  # share of the messages


class Recorder(fakenetwork.FakeNetwork):
    """Keep all inputs of some hosts, from which their state can be made again."""

    def __init__(self, seed, conditions_of, on_output):
        super().__init__(seed, conditions_of=conditions_of, on_output=on_output)
        self.events_by_id: dict[str, list[tuple]] = {}
        self.peers_by_id: dict[str, set[str]] = {}

    def observe(self, host_id: str) -> None:
        """Keep the inputs of a host from now on."""
        self.events_by_id[host_id] = []
        self.peers_by_id[host_id] = set()

    def note(self, host_id: str, *event) -> None:
        """Keep an input of a host if it is observed."""
        events = self.events_by_id.get(host_id)
        if events is not None:
            events.append((self.now, *event))

    def tick_host(self, host_id, host) -> list:
        """Tick one host and keep that."""
        self.note(host_id, "tick")
        return super().tick_host(host_id, host)

    def receive_host(self, host_id, host, sender, data) -> list:
        """Hand data to a host and keep it."""
        if host_id in self.events_by_id:
            self.note(host_id, "message", sender, data)
            self.peers_by_id[host_id].add(sender)
        return super().receive_host(host_id, host, sender, data)


class Simulation:
    """Run the hosts of five data centres in two regions."""

    def __init__(self, seed, size):
        self.seed = seed
        self.size: Size = size
        self.rng = random.Random(f"{seed} simulation")
        self.network = Recorder(seed, self._conditions, self._note)
        self.adoptions_by_id: dict[str, list[tuple]] = {}
        centres = list(REGIONS_BY_CENTRE)
        per_centre = size.hosts // len(centres)
        self.centres_by_id = {
            f"{centre}-host-{index:03d}": centre
            for centre in centres
            for index in range(per_centre)
        }
        self.ids_by_centre = {
            centre: [name for name in self.centres_by_id if name[0] == centre]
            for centre in centres
        }
        self._seeds = [
            membermessages.Seed(name, centre, self._address(name))
            for centre in centres
            for name in self.ids_by_centre[centre][:SEEDS_PER_CENTRE]
        ]
        self._conditions_by_delay = {
            delay_s: fakenetwork.Conditions(delay_s, JITTER * delay_s, size.lost)
            for delay_s in (LOCAL_DELAY_S, CENTRE_DELAY_S, REGION_DELAY_S)
        }
        self._servers: list[_Server] = []

    def start(self, observed=()) -> None:
        """Start all hosts at once and let the backend servers announce themselves."""
        for host_id in self.centres_by_id:
            if host_id in observed:
                self.network.observe(host_id)
            self.network.add(host_id, self.new_host(host_id))
        for index in range(self.size.backends):
            centre = list(REGIONS_BY_CENTRE)[index % len(REGIONS_BY_CENTRE)]
            hosts = self.ids_by_centre[centre]
            collector = hosts[index // len(REGIONS_BY_CENTRE) % len(hosts)]
            server = _Server(index, centre, collector, self.rng)
            self._servers.append(server)
            self.network.at(1.0 + self.rng.random(), self._announcer(server))
        if self._servers:
            self.network.at(2.0, self._change_some)

    def new_host(self, host_id: str) -> peers.HostProtocols:
        """Return the cores of a host at the start of the simulation."""
        settings = membermessages.Settings(
            host_id,
            self.centres_by_id[host_id],
            self._address(host_id),
            1_700_000_000,
            self._seeds,
        )
        return peers.HostProtocols(
            settings, random.Random(f"{self.seed} {host_id}"), 0.0
        )

    def publish(self, host_id: str, number: int, content: bytes) -> None:
        """Let one host publish a version."""
        self.network.note(host_id, "publish", number, content)
        host = self.network.hosts_by_id[host_id]
        outputs = host.publish(number, content, self.network.now)
        self.network.handle(host_id, outputs)

    def adopted_at(self, number: int) -> dict[str, float]:
        """Return when each host adopted a version."""
        return {
            host_id: at
            for host_id, adoptions in self.adoptions_by_id.items()
            for version, _, at in adoptions
            if version == number
        }

    def depth(self, number: int) -> int:
        """Return the largest number of hosts that passed a version on in a row."""
        sources = {
            host_id: source
            for host_id, adoptions in self.adoptions_by_id.items()
            for version, source, _ in adoptions
            if version == number
        }

        def depth_of(host_id):
            source = sources[host_id]
            return 0 if source == host_id else 1 + depth_of(source)

        return max(depth_of(host_id) for host_id in sources)

    def _address(self, host_id):
        return f"10.0.{ord(host_id[0])}.{int(host_id[-3:])}:7400"

    def _conditions(self, sender, to):
        if sender[0] == to[0]:
            delay_s = LOCAL_DELAY_S
        elif REGIONS_BY_CENTRE[sender[0]] == REGIONS_BY_CENTRE[to[0]]:
            delay_s = CENTRE_DELAY_S
        else:
            delay_s = REGION_DELAY_S
        return self._conditions_by_delay[delay_s]

    def _note(self, host_id, output, now):
        if isinstance(output, versionmessages.Adopted):
            adoption = (output.number, output.source, now)
            self.adoptions_by_id.setdefault(host_id, []).append(adoption)

    # Backend servers

    def _announcer(self, server):
        def announce():
            self.network.note(server.collector, "announce", server.record)
            host = self.network.hosts_by_id[server.collector]
            now = self.network.now
            outputs = host.membership.announce(server.record, now)
            self.network.handle(server.collector, outputs)
            report()

        def report():
            load = server.next_report(self.network.now)
            self.network.note(server.collector, "report", load)
            host = self.network.hosts_by_id[server.collector]
            self.network.handle(server.collector, host.report(load, self.network.now))
            self.network.at(self.network.now + 1.0, report)

        return announce

    def _change_some(self):
        """Make the changes of one second in proportion to the size."""
        share = self.size.backends / 600
        for kind, rate in (
            ("model", MODEL_CHANGES_PER_S),
            ("adapter", ADAPTER_CHANGES_PER_S),
        ):
            expected = rate * share
            count = int(expected) + (self.rng.random() < expected % 1.0)
            for _ in range(count):
                self.rng.choice(self._servers).change(kind)
        self.network.at(self.network.now + 1.0, self._change_some)


class _Server:
    """Make the announcement and the reports of one backend server."""

    def __init__(self, index, centre, collector, rng):
        self.collector = collector
        self._rng = rng
        self._sequence = 0
        self._orders: list[str] = []
        name = f"{centre}-server-{index:03d}"
        self.record = records.BackendServer(
            name, f"10.1.0.{index}:8000", centre, "engine", "engines", 1_700_000_000
        )
        self.record.memory_mb, self.record.accelerators = 320_000, 4
        self._loaded = [self._item("model") for _ in range(MODELS_PER_SERVER)]
        self._loaded += [self._item("adapter") for _ in range(ADAPTERS_PER_SERVER)]

    def change(self, kind):
        """Load or unload one item of a kind."""
        loaded = [item for item in self._loaded if item.kind == kind]
        usual = MODELS_PER_SERVER if kind == "model" else ADAPTERS_PER_SERVER
        if len(loaded) >= usual:
            self._loaded.remove(self._rng.choice(loaded))
        else:
            self._loaded.append(self._item(kind))
        order_id = f"{self.record.data_centre}-{self._rng.randrange(10**6)}"
        self._orders = [*self._orders, order_id][-ORDERS_KEPT:]

    def next_report(self, now):
        """Return the report of this second."""
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
            self._orders,
            now,
        )

    def _item(self, kind):
        count = MODELS if kind == "model" else ADAPTERS
        return records.Item(kind, f"{kind}-{self._rng.randrange(count):04d}", "1")
