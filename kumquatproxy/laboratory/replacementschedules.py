"""Seeded schedules of lost control hosts in a group that replaces its voters.

They stay within the losses that a deployment tolerates: at most ``tolerated_hosts`` are
lost at a time, and a host counts as lost until it, or its successor, has run for
``CATCH_UP_S``. Beyond that, all processes may be killed, and keep their disks, or the
hosts may be split into two halves; in between the group can elect a leader.
"""

import random

from kumquatproxy.agreement import voterset
from kumquatproxy.fleet import controlhost
from kumquatproxy.laboratory import groupinvariants, registermachine, simgroup

SEED_COUNT = 3  # hosts that form the group
CATCH_UP_S = 6.0
RECOVERY_S = 15.0
FORMATION_S = 5.0
RESTART_S = (0.5, 1.0)
OUTAGE_S = (0.1, 3.5)
CUT_S = (1.0, 5.5)
CONTACT_INTERVAL_S = 1.0
PAUSES_S = (0.1, 0.5, 1.0, 2.0, 3.0)  # between two faults
SUCCESSOR_DELAY_S = (0.4, 1.6)
# Between faults that end the leadership whatever is tolerated.
MIN_GROUP_FAULT_INTERVAL_S = 4.0
LEADER_SHARE = 0.3  # of the losses


class QuorumLostError(Exception):
    """The group has no leader that commits after losses that it has to tolerate."""


class Schedule:
    """One schedule of losses, with a final one after which the group has to serve."""

    def __init__(
        self,
        seed,
        host_count=8,
        tolerated_hosts=2,
        min_group_fault_interval_s=MIN_GROUP_FAULT_INTERVAL_S,
        stalls_disks=False,
    ):
        self.rng = random.Random(seed)
        self._seed: int = seed
        self._tolerated_hosts: int = tolerated_hosts
        hosts = [f"h{number}" for number in range(1, host_count + 1)]
        self.group = simgroup.Group(
            seed,
            hosts[:SEED_COUNT],
            groupinvariants.Invariants(),
            registermachine.RegisterMachine,
            spare_hosts=hosts[SEED_COUNT:],
            election_timeout_s=controlhost.ELECTION_TIMEOUT_S,
            heartbeat_s=controlhost.HEARTBEAT_INTERVAL_S,
            lease_margin_s=controlhost.LEASE_MARGIN_S,
            voter_target=2 * tolerated_hosts + 1,
        )
        self.events: list[str] = []
        self._numbers = iter(range(host_count + 1, 1000))
        self._disk_count = 0
        self._group_fault_at = 0.0
        self._min_group_fault_interval_s: float = min_group_fault_interval_s
        self._stalls_disks: bool = stalls_disks
        # Hosts that count as lost, with the end of that time.
        self._lost_until_by_host: dict[str, float] = {}

    def run(self, fault_count: int = 8) -> float:
        """Return the seconds from the final loss until the group serves again.

        Raise QuorumLostError if it does not within ``RECOVERY_S``.
        """
        self.group.start()
        self._exchange_contacts()
        self.group.run(FORMATION_S)
        for _ in range(fault_count):
            self._start_fault()
            self.group.run(self.rng.choice(PAUSES_S))
        self._lose_disks_at_the_end()
        return self._time_to_serve()

    def _write(self, text):
        self.events.append(f"{self.group.now:.2f} {text}")

    def _exchange_contacts(self):
        """Let each running host send a message to all others, as control hosts do."""
        self.group.call_later(CONTACT_INTERVAL_S, self._exchange_contacts)
        for node in self.group.nodes:
            node.settings.join_hosts = tuple(self.group.nodes_by_host)
            for other in self.group.nodes_by_host.values():
                if other is not node:
                    delay_s = self.rng.uniform(0.001, 0.02)
                    self.group.call_later(delay_s, self._hear, node.host_id, other)

    def _hear(self, sender, node):
        if (sender, node.host_id) not in self.group.faults.blocked_links:
            node.hear(sender)

    def _running_hosts(self):
        return [node.host_id for node in self.group.nodes]

    def _tolerated_count(self):
        lost = [
            host
            for host, until in self._lost_until_by_host.items()
            if until > self.group.now
        ]
        return self._tolerated_hosts - len(lost)

    def _start_fault(self):
        faults = []
        since_s = self.group.now - self._group_fault_at
        if since_s >= self._min_group_fault_interval_s:
            faults += [self._kill_all, self._split]
        if self._tolerated_count() > 0:
            faults += [
                self._replace,
                self._replace,
                self._lose_disk,
                self._stop,
                self._cut,
            ]
            if self._stalls_disks:
                faults.append(self._stall_disk)
        fault = self.rng.choice(faults) if faults else None
        if fault is not None and self._running_hosts():
            fault()

    def _choose_host(self):
        leader = self.group.leader()
        if leader is not None and self.rng.random() < LEADER_SHARE:
            return leader.host_id
        return self.rng.choice(self._running_hosts())

    def _kill_all(self):
        self._group_fault_at = self.group.now
        self._write("all processes are killed")
        for host in self._running_hosts():
            self._restart(host, self.rng.uniform(*RESTART_S))

    def _restart(self, host, delay_s):
        node = self.group.nodes_by_host[host]
        node.crash()
        self.group.call_later(delay_s, self._start_if_down, node)

    def _start_if_down(self, node):
        is_in_use = self.group.nodes_by_host.get(node.host_id) is node
        if is_in_use and node.member is None:
            node.start()

    def _stop(self):
        host = self._choose_host()
        outage_s = self.rng.uniform(*OUTAGE_S)
        self._write(f"{host} is killed for {outage_s:.2f} s")
        self._count_as_lost(host, outage_s)
        self._restart(host, outage_s)

    def _split(self):
        """Split the hosts into halves; nothing is lost."""
        self._group_fault_at = self.group.now
        hosts = self._running_hosts()
        half = self.rng.sample(hosts, len(hosts) // 2)
        self._block_links(half, self.rng.uniform(*CUT_S))

    def _cut(self):
        host = self._choose_host()
        duration_s = self.rng.uniform(*CUT_S)
        self._count_as_lost(host, duration_s)
        self._block_links([host], duration_s)

    def _stall_disk(self):
        """Let no write of a host succeed for a while, as on a full disk."""
        host = self._choose_host()
        duration_s = self.rng.uniform(*OUTAGE_S)
        self._write(f"the disk of {host} takes no writes for {duration_s:.2f} s")
        self._count_as_lost(host, duration_s)
        full_disks = self.group.faults.full_disks
        full_disks.add(host)
        self.group.call_later(duration_s, full_disks.discard, host)

    def _block_links(self, hosts, duration_s):
        self._write(f"{hosts} are cut off for {duration_s:.2f} s")
        others = set(self.group.nodes_by_host) - set(hosts)
        links = {(host, other) for host in hosts for other in others}
        links |= {(other, host) for host, other in links}
        blocked_links = self.group.faults.blocked_links
        blocked_links.update(links)
        self.group.call_later(duration_s, blocked_links.difference_update, links)

    def _lose_disk(self):
        host = self._choose_host()
        outage_s = self.rng.uniform(*RESTART_S)
        self._write(f"{host} loses its disk")
        self._count_as_lost(host, outage_s)
        self._replace_disk(host)
        self._restart(host, outage_s)

    def _replace_disk(self, host):
        self._disk_count += 1
        self.group.nodes_by_host[host].lose_disk(f"d{self._disk_count}")

    def _replace(self):
        """Remove a host for good; a successor starts at another address."""
        host = self._choose_host()
        successor = f"h{next(self._numbers)}"
        delay_s = self.rng.uniform(*SUCCESSOR_DELAY_S)
        self._write(
            f"{host} is gone for good, {successor} starts {delay_s:.2f} s later"
        )
        self.group.nodes_by_host.pop(host).crash()
        self._count_as_lost(successor, delay_s)
        node = self.group.add_host(successor)
        self.group.call_later(delay_s, self._start_if_down, node)

    def _count_as_lost(self, host, outage_s):
        # It may be lost for longer already, as a host that is cut off runs on.
        until = self.group.now + outage_s + CATCH_UP_S
        known_until = self._lost_until_by_host.get(host, 0.0)
        self._lost_until_by_host[host] = max(until, known_until)

    def _lose_disks_at_the_end(self):
        """Lose as many disks as the losses up to now allow; the others lose power."""
        if self.rng.random() < 0.5:
            self.group.run(CATCH_UP_S + max(RESTART_S))
        hosts = self._running_hosts()
        count = min(self._tolerated_count(), len(hosts))
        voters = self._known_voter_hosts()
        hosts.sort(key=lambda host: (host not in voters, self.rng.random()))
        loses_power = self.rng.random() < 0.5
        self._write(f"{hosts[:count]} lose their disks, all lose power: {loses_power}")
        for host in hosts:
            if host in hosts[:count]:
                self._replace_disk(host)
                self._restart(host, self.rng.uniform(*RESTART_S))
            elif loses_power:
                self._restart(host, self.rng.uniform(*RESTART_S))

    def _known_voter_hosts(self):
        leader = self.group.leader()
        if leader is None:
            return set()
        voters = leader.member.voter_set.voters
        return {voterset.host_of(identity) for identity in voters}

    def _time_to_serve(self):
        since = self.group.now
        self.group.faults.blocked_links.clear()
        while self.group.now < since + RECOVERY_S:
            self.group.run(0.05)
            leader = self.group.leader()
            if leader is not None and leader.member.is_serving(leader.clock()):
                return self.group.now - since
        raise QuorumLostError(f"seed {self._seed}: " + "; ".join(self.events))
