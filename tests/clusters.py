"""Test clusters of hosts on a fake network, with checks of their state."""

import itertools
import random

from kumquatproxy import records
from kumquatproxy.configuration import versionmessages
from kumquatproxy.laboratory import fakenetwork
from kumquatproxy.membership import membermessages, peers

LOSSY_CONDITIONS = fakenetwork.Conditions(
    delay_s=0.001, jitter_s=0.004, lost=0.1, duplicated=0.02
)


class Cluster:
    """Run the membership protocols of the hosts of one or more data centres."""

    def __init__(
        self, random_seed, hosts_per_centre, centres=("a",), conditions=LOSSY_CONDITIONS
    ):
        self.random_seed = random_seed
        self.network = fakenetwork.FakeNetwork(
            random_seed,
            conditions_of=lambda *_: conditions,
            on_output=self._record_output,
        )
        self.centres_by_id = {
            f"{centre}-{index:02d}": centre
            for centre in centres
            for index in range(hosts_per_centre)
        }
        self.seed_hosts = [
            membermessages.Seed(f"{centre}-{index:02d}", centre, "127.0.0.1:1")
            for centre in centres
            for index in range(min(2, hosts_per_centre))
        ]
        self.adoptions_by_id: dict[str, list[int]] = {}
        self.refusals: list[versionmessages.Refused] = []
        for host_id in self.centres_by_id:
            self.start(host_id)

    def start(self, host_id, incarnation=10, version=None):
        centre = self.centres_by_id[host_id]
        settings = membermessages.Settings(
            host_id, centre, f"127.0.0.1:{host_id[-2:]}", incarnation, self.seed_hosts
        )
        rng = random.Random(f"{self.random_seed} {host_id} {incarnation}")
        host = peers.HostProtocols(settings, rng, self.network.now, version)
        self.network.add(host_id, host)

    def _record_output(self, host_id, output, now):
        if isinstance(output, versionmessages.Adopted):
            self.adoptions_by_id.setdefault(host_id, []).append(output.number)
        if isinstance(output, versionmessages.Refused):
            self.refusals.append(output)

    def host(self, host_id) -> peers.HostProtocols:
        return self.network.hosts_by_id[host_id]

    def hosts(self):
        return list(self.network.hosts_by_id.values())

    def run_for(self, seconds):
        self.network.run(self.network.now + seconds)

    def announce(self, host_id, server):
        now = self.network.now
        self.network.handle(
            host_id, self.host(host_id).membership.announce(server, now)
        )

    def publish(self, host_id, number, content):
        outputs = self.host(host_id).publish(number, content, self.network.now)
        self.network.handle(host_id, outputs)

    def present_host_errors(self):
        """Return, per host, where its present hosts differ from the running hosts."""
        differences_by_id = {}
        for host in self.hosts():
            centre = self.centres_by_id[host.host_id]
            running = [
                name
                for name in sorted(self.network.hosts_by_id)
                if self.centres_by_id[name] == centre
            ]
            present = host.membership.table.present()
            if present != running:
                differences_by_id[host.host_id] = set(present) ^ set(running)
        return differences_by_id

    def hosts_without_version(self, number):
        """Return the hosts whose version is older than ``number``."""
        return [host.host_id for host in self.hosts() if host.versions.number < number]

    def hosts_with_version_rollback(self):
        """Return the hosts that adopted a version not newer than their previous one."""
        return [
            host_id
            for host_id, numbers in self.adoptions_by_id.items()
            if any(earlier >= later for earlier, later in itertools.pairwise(numbers))
        ]


def server_of(name, incarnation=1, leaving=False, centre="a"):
    return records.BackendServer(
        name,
        "127.0.0.1:9",
        centre,
        "engine",
        "s",
        incarnation,
        80_000,
        4,
        True,
        leaving,
    )
