"""Facts that are passed on by a control host.

Guards against messages that grow with the square of the number of hosts while one of
them is cut off from servers and all others renew their offers of help.
"""

import pytest

from kumquatproxy.fleet import factexchange, fleetmessages
from kumquatproxy.gateway import forwarding, sharedfacts

SUBSCRIBERS = [("near", True), *((f"far-{index}", False) for index in range(20))]


class Exchange:
    """Feed one control host with offers, and keep what it sends."""

    def __init__(self):
        self.facts = factexchange.ControlFacts()
        self.facts.tick([], 0.0)  # repeats are due each second from now on

    def offer(self, now, services=("s",), host_id="h"):
        value = ["10.0.0.1:1", list(services)]
        end = now + forwarding.KEPT_S
        fact = sharedfacts.Fact(forwarding.FORWARDER, host_id, value, now, end)
        message = fleetmessages.SharedFacts([fact.to_wire(now)])
        return self.facts.receive(message, now)

    def receivers(self, now):
        return [send.to for send in self.facts.tick(SUBSCRIBERS, now)]


def test_renewed_offer_goes_out_with_the_repeats_only():
    exchange = Exchange()
    exchange.offer(0.1)
    assert len(exchange.receivers(0.15)) == len(SUBSCRIBERS)
    for second in range(1, 5):
        assert exchange.offer(second + 0.1)
        assert exchange.receivers(second + 0.15) == ["near"]
        assert exchange.receivers(second + 0.2) == []


def test_change_of_an_offer_goes_to_all_hosts_at_once():
    exchange = Exchange()
    exchange.offer(0.1)
    exchange.receivers(0.15)
    exchange.offer(0.2, services=[])
    assert len(exchange.receivers(0.25)) == len(SUBSCRIBERS)


def test_fact_that_would_soon_end_goes_to_all_hosts_at_once():
    exchange = Exchange()
    exchange.offer(0.1)
    exchange.receivers(0.15)
    exchange.receivers(2.15)
    exchange.offer(2.2)
    assert len(exchange.receivers(2.25)) == len(SUBSCRIBERS)


def test_fact_of_an_unknown_kind_is_ignored():
    exchange = Exchange()
    message = fleetmessages.SharedFacts([["later", "key", [], 0.0, 9.0]])
    assert exchange.facts.receive(message, 0.1) == []
    assert exchange.receivers(0.15) == []


def test_renewed_facts_are_not_sent_again_where_a_link_opens():
    """Guards against whole tables of offers from all hosts when a cut is over."""
    sent = []
    host = factexchange.EntryFacts(lambda ids, message: sent.append(message))
    value = ["10.0.0.1:1", ["s"]]
    offers = [
        sharedfacts.Fact(forwarding.FORWARDER, f"h{index}", value, 0.0, 4.0)
        for index in range(40)
    ]
    (push,) = factexchange.to_messages(offers, 0.0)
    host.receive("c1", push, 0.0)
    host.reopen("c2")
    (greeting,) = factexchange.to_messages([], 0.1)
    host.receive("c2", greeting, 0.1)
    assert sent == []


class Fleet:
    """Wire entry hosts and control hosts, whose messages arrive at once."""

    def __init__(self):
        self.now = 0.0
        self.controls = {f"c{number}": factexchange.ControlFacts() for number in "123"}
        self.entries = {f"e{number}": self.make_entry() for number in "12"}
        self.run(1.0)

    def make_entry(self):
        return factexchange.EntryFacts(self.broadcast)

    def broadcast(self, host_ids, message):
        for host_id in host_ids:
            self.controls[host_id].receive(message, self.now)

    def open_links(self, entry_ids, control_ids):
        for entry_id in entry_ids:
            entry = self.entries[entry_id]
            for control_id in control_ids:
                entry.reopen(control_id)
                for send in self.controls[control_id].greet(entry_id, self.now):
                    entry.receive(control_id, send.message, self.now)

    def run(self, seconds):
        self.open_links(self.entries, self.controls)
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            subscribers = [(entry_id, True) for entry_id in self.entries]
            for control_id, control in self.controls.items():
                for send in control.tick(subscribers, self.now):
                    entry = self.entries[send.to]
                    entry.receive(control_id, send.message, self.now)
            for entry in self.entries.values():
                entry.tick(self.now)

    def restart_controls(self, control_ids):
        for control_id in control_ids:
            self.controls[control_id] = factexchange.ControlFacts()
        self.open_links(self.entries, control_ids)

    def restart_entry(self, entry_id):
        self.entries[entry_id] = self.make_entry()
        self.open_links([entry_id], self.controls)

    def knows(self, kind):
        """Return whether each host knows a fact."""
        hosts = [*self.controls.values(), *self.entries.values()]
        return [host.table.get(kind, "key", self.now) is not None for host in hosts]


def restart_together(fleet):
    fleet.restart_controls(list(fleet.controls))


def restart_in_turn(fleet):
    for control_id in list(fleet.controls):
        fleet.restart_controls([control_id])
        fleet.run(0.3)


LASTING_KINDS = [
    alias
    for alias in sharedfacts.FACT_KINDS.aliases()
    if not sharedfacts.FACT_KINDS.get(alias).is_renewed
]


@pytest.mark.parametrize("kind", LASTING_KINDS)
@pytest.mark.parametrize("observer_ends", [False, True])
@pytest.mark.parametrize(
    "restarts", [[restart_together], [restart_together] * 2, [restart_in_turn]]
)
def test_facts_are_known_after_all_control_hosts_have_restarted(
    kind, observer_ends, restarts
):
    """Guards against facts that only hosts that have restarted could tell again."""
    fleet = Fleet()
    value = [["h", 1, ["f"]]] if kind.endswith("-crash") else [1, fleet.now, ["f"]]
    fact = sharedfacts.Fact(kind, "key", value, fleet.now, fleet.now + 60.0)
    fleet.entries["e1"].publish(fact, fleet.now)
    fleet.run(0.2)
    assert all(fleet.knows(kind))
    if observer_ends:
        fleet.restart_entry("e1")
    for restart in restarts:
        restart(fleet)
    fleet.run(0.2)
    assert all(fleet.knows(kind))
