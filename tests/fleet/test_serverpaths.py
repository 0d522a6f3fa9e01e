"""Paths of an entry host: what it does when they are lost, and when they are back."""

import random

import pytest
import rawservers

from kumquatproxy import clock
from kumquatproxy.fleet import serverpaths, servers
from kumquatproxy.gateway import (
    backendconnections,
    brittleservers,
    forwarding,
    reachability,
    requestedpauses,
    serverlimits,
    serverselection,
    sharedfacts,
)

UNREACHABLE = "127.0.0.1:1"


class Host:
    """The paths of a host to some servers of one service."""

    def __init__(self, *addresses):
        self.facts = sharedfacts.FactTable()
        table = servers.ServerTable()
        for index, address in enumerate(addresses):
            table.apply_announcement(
                servers.Announcement(f"i-{index}", "s", address, "a", 1, 1, 4), 0.0
            )
        publish = self.facts.merge
        rng = random.Random(1)
        selector = serverselection.ServerSelector(
            "a",
            table,
            rng,
            serverlimits.ServerLimits(self.facts, publish),
            brittleservers.BrittleServers("h", self.facts, publish),
            requestedpauses.RequestedPauses(rng),
        )
        reach = reachability.Reachability()
        offers = forwarding.Forwarding("h", "h:1", self.facts, publish, reach)
        self.links = backendconnections.ConnectionPool()
        self.changes = []
        self.paths = serverpaths.ServerPaths(
            reach,
            offers,
            selector,
            self.links,
            rng,
            lambda: self.changes.append(self.paths.cut_services()),
        )
        self.announcements = table.all()

    def cut_off(self):
        for announcement in self.announcements:
            self.paths.record_unreachable(announcement)

    def add_offer(self, now):
        value = ["other:1", ["s"]]
        self.facts.merge(
            sharedfacts.Fact(forwarding.FORWARDER, "other", value, now, now + 4.0), now
        )


def test_host_without_servers_or_offers_is_useless_after_a_while():
    """Guards against a host that keeps callers that it cannot serve."""
    host = Host(UNREACHABLE, UNREACHABLE)
    now = clock.now()
    host.cut_off()
    for after_s, is_useless in ((0.3, False), (2.0, True)):
        host.paths.tick(["s"], now + after_s)
        assert host.paths.is_useless(now + after_s) == is_useless
    host.add_offer(now + 2.1)
    host.paths.tick(["s"], now + 2.5)
    assert not host.paths.is_useless(now + 5.0)


def test_host_that_reaches_one_of_two_services_is_not_useless():
    host = Host(UNREACHABLE)
    now = clock.now()
    host.cut_off()
    for after_s in (0.3, 2.0):
        host.paths.tick(["s", "t"], now + after_s)
    assert not host.paths.is_useless(now + 2.0)


@pytest.mark.parametrize("is_back", [True, False])
def test_probe_finds_out_whether_the_path_is_back(is_back):
    backend = rawservers.RawServer([])
    host = Host(backend.address)
    host.cut_off()
    if not is_back:
        backend.close()
    host.paths._probe("s")
    assert host.paths.is_cut("s") != is_back
    assert host.changes == ([["s"], []] if is_back else [["s"]])
    backend.close()


def test_old_connections_are_not_used_after_a_cut():
    """Guards against calls on connections that hang."""
    backend = rawservers.RawServer([])
    host = Host(backend.address)
    link = host.links.acquire("i-0", backend.address, 9.0, 0.5)
    host.links.release(link)
    host.cut_off()
    assert not host.links.acquire("i-0", backend.address, 9.0, 0.5).had_earlier_call
    backend.close()


def test_cut_host_asks_for_help_at_once():
    host = Host(UNREACHABLE)
    host.cut_off()
    (fact,) = host.facts.of_kind(forwarding.CUT_HOST, clock.now())
    assert (fact.key, fact.value) == ("h", ["s"])
