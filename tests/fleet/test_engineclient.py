"""Answers of engines to orders over kept connections."""

import random

import rawservers

from kumquatproxy.fleet import engineclient, engineorders, servers
from kumquatproxy.gateway import (
    leavingservers,
    requestedpauses,
    serverlimits,
    sharedfacts,
)
from kumquatproxy.platform import callformat

CONFLICT = b"HTTP/1.1 409 Busy\r\nContent-Length: 0\r\n\r\n"
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


def test_order_is_not_answered_by_an_earlier_refusal_that_is_repeated():
    """Guards against an accepted order that seems to be refused."""
    connections = set()

    def refuse(head):
        connections.add(engine.connections)
        return CONFLICT

    def accept(head):
        is_kept = engine.connections in connections
        return CONFLICT + ACCEPTED if is_kept else ACCEPTED

    engine = rawservers.RawServer([refuse, accept])
    announcement = servers.Announcement("i-1", "s", engine.address, "a", 1, 1, 4)
    facts = sharedfacts.FactTable()
    client = engineclient.EngineClient(
        callformat.PlatformDialect(),
        serverlimits.ServerLimits(facts, facts.merge),
        requestedpauses.RequestedPauses(random.Random(1)),
        leavingservers.LeavingServers(lambda *_: False, facts.merge),
    )
    order = engineorders.Order(engineorders.Action.LOAD, "m")
    outcomes = [client.order(announcement, order, "h", 1) for _ in range(2)]
    engine.close()
    assert outcomes == [
        engineorders.OrderOutcome.CONFLICT,
        engineorders.OrderOutcome.ACCEPTED,
    ]
