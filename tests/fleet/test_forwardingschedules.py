"""Random schedules of hosts that lose their path to all servers, with other faults.

Guards against a cut host that finds no host to take its calls, and against offers that
last longer than the path of the host that made them.
"""

import pytest
import simulatedhosts

from kumquatproxy.fleet import factexchange
from kumquatproxy.gateway import forwarding, reachability

SEEDS = 100
HOSTS = (4, 8, 24)
# Time in which a host finds another one, and in which an offer ends, in calm.
FIND_S = 1.0
FREEZE_S = 2.0
# The age of a fact does not count the time for which its receiver was frozen.
END_S = forwarding.KEPT_S + FREEZE_S + 0.5


class Host(simulatedhosts.Host):
    """A host that offers to take calls while it reaches servers."""

    def forget(self):
        super().forget()
        self.reach = reachability.Reachability()
        self.forwarding = forwarding.Forwarding(
            self.name,
            f"{self.name}:1",
            self.facts.table,
            self.facts.publish,
            self.reach,
        )


class World(simulatedhosts.World):
    """Run one schedule; ``lost_until`` is the time until a host has no path."""

    host_class = Host

    def __init__(self, seed):
        super().__init__(seed, entry_counts=HOSTS)
        self.lost_from = dict.fromkeys(self.entries, float("inf"))
        self.lost_until = dict.fromkeys(self.entries, 0.0)
        self.violations = []

    def has_path(self, entry):
        return not self.lost_from[entry] <= self.now < self.lost_until[entry]

    def inject_fault(self):
        kind = self.rng.choice(("path", "path", "restart", "cut", "freeze"))
        seconds = self.rng.uniform(1.0, 8.0)
        if kind == "path":
            for entry in self.rng.sample(self.entries, len(self.entries) // 2):
                if self.now >= self.lost_until[entry]:
                    self.lost_from[entry] = self.now
                self.lost_until[entry] = self.now + seconds
        else:
            self.disturb(
                self.rng.choice([*self.controls, *self.entries]), kind, FREEZE_S
            )
        self.at(self.rng.uniform(0.5, 4.0), self.inject_fault)

    def tick(self):
        for entry in self.entries:
            if not entry.is_awake:
                continue
            if self.has_path(entry):
                entry.reach.record_connected("s", self.now)
            else:
                for number in range(3):
                    self.lose(entry, number)
            entry.forwarding.tick(len(self.entries), self.now)
        super().tick()
        self.check()

    def lose(self, entry, number):
        announcement = simulatedhosts.make_server(number)
        entry.reach.record_unreachable(announcement, 3, self.now)

    def check(self):
        if any(control.is_disturbed for control in self.controls):
            return
        calm = [entry for entry in self.entries if not entry.is_disturbed]
        helpful = any(
            self.has_path(entry) and self.now > self.lost_until[entry] + FIND_S
            for entry in calm
        )
        for entry in calm:
            if self.has_path(entry):
                continue
            found = entry.forwarding.forwarders("s", self.now)
            has_searched = self.now > self.lost_from[entry] + FIND_S
            if helpful and has_searched and not found:
                self.violations.append(("found none", entry.name, self.now))
            for host in found:
                offering = next(
                    other
                    for other in self.entries
                    if other.name == host.instance_id.split()[1]
                )
                lost_s = self.now - self.lost_from[offering]
                if not self.has_path(offering) and lost_s > END_S:
                    self.violations.append(("stale", offering.name, self.now))


def test_cut_hosts_find_hosts_that_reach_the_servers_in_random_schedules():
    broken = {seed: World(seed).run().violations[:1] for seed in range(SEEDS)}
    assert {seed: found for seed, found in broken.items() if found} == {}


def offer_always(self, now):
    return ["s"]


def share_nothing(self, fact, now):
    self.table.merge(fact, now)


@pytest.mark.parametrize(
    ("owner", "name", "replacement", "kind"),
    [
        (factexchange.EntryFacts, "publish", share_nothing, "found none"),
        (reachability.Reachability, "reached_services", offer_always, "stale"),
    ],
)
def test_schedules_break_without_a_part_of_the_search(
    owner, name, replacement, kind, monkeypatch
):
    """Guards against schedules that would pass without any check."""
    monkeypatch.setattr(owner, name, replacement)
    worlds = (World(seed).run() for seed in range(SEEDS))
    assert any(kind in dict.fromkeys(v[0] for v in w.violations) for w in worlds)
