"""Origins of streams that are sent again to control hosts that have restarted."""

import pytest

from kumquatproxy import wire
from kumquatproxy.fleet import originexchange
from kumquatproxy.gateway import streamorigins

V1 = streamorigins.Origin("s", "v1")
V2 = streamorigins.Origin("s", "v2")


@pytest.fixture
def table():
    table = streamorigins.OriginTable(10_000)
    table.record("a", V1, 30.0, 0.0)
    table.record("b", V2, 40.0, 1.0)
    return table


@pytest.fixture
def sender(table):
    return originexchange.OriginSender(table)


def streams_to(sends, host_id):
    """Return (id, origin, seconds left) of the messages to a host."""
    return [
        stream
        for send in sends
        if send.to == host_id
        for stream in originexchange.from_message(
            wire.decode(wire.encode(send.message))
        )
    ]


def test_a_restarted_host_gets_what_is_left_and_others_get_nothing(sender):
    sender.request("c1", "x")
    sends = sender.tick({"c1", "c2"}, 10.0)
    assert streams_to(sends, "c1") == [("b", V2, 31.0), ("a", V1, 20.0)]
    assert streams_to(sends, "c2") == []


def test_a_host_gets_origins_once_for_each_start(sender):
    """Guards against the whole table with each link that opens."""
    sender.request("c1", "x")
    assert sender.tick({"c1"}, 1.0)
    sender.request("c1", "x")
    assert sender.tick({"c1"}, 2.0) == []
    sender.request("c1", "y")
    assert sender.tick({"c1"}, 3.0)


def test_a_host_gets_origins_when_it_is_to_keep_them(sender, table):
    """Guards against streams whose keepers were replaced by one that knows none."""
    sender.request("c1", "x")
    assert sender.tick({"c2"}, 1.0) == []
    assert sender.tick({"c1"}, 1.0)
    assert sender.tick({"c2"}, 2.0) == []
    table.record("c", V1, 30.0, 3.0)
    assert "c" in {stream[0] for stream in streams_to(sender.tick({"c1"}, 4.0), "c1")}


def test_expired_streams_are_not_sent(sender):
    sender.request("c1", "x")
    assert [stream[0] for stream in streams_to(sender.tick({"c1"}, 35.0), "c1")] == [
        "b"
    ]
    sender.request("c1", "y")
    assert sender.tick({"c1"}, 50.0) == []


@pytest.mark.parametrize("id_length", [4, 128])
@pytest.mark.parametrize("host_ids", [{"c1"}, {"c1", "c2", "c3"}])
def test_many_streams_are_sent_in_parts_of_a_bounded_size(
    sender, table, id_length, host_ids
):
    """Guards against a slow link on which other messages wait behind one table."""
    for number in range(1800):
        table.record(f"{number:0{id_length}}", V1, 30.0, 0.0)
    for host_id in host_ids:
        sender.request(host_id, "x")
    sent = []
    while sends := sender.tick(host_ids, 1.0):
        size = sum(len(wire.encode(send.message)) for send in sends)
        assert size < 1.2 * originexchange.ENTRY_BYTES_PER_TICK
        sent += streams_to(sends, "c1")
    assert len(sent) == len({stream[0] for stream in sent}) == 1802
    assert [stream[0] for stream in sent[:1]] == [f"{1799:0{id_length}}"]


@pytest.mark.parametrize(
    "entry",
    [None, "a", ["a"], ["a", 1, 5.0], ["a", -1, 5.0], [7, 0, 5.0], ["a", 0, "5"]]
    + [["a", 0, float("nan")], ["a", 0, -1.0], ["a", True, 5.0], ["a", 2, 5.0]],
)
def test_malformed_entries_are_dropped_and_others_are_read(entry):
    message = originexchange.StreamOrigins(
        origins=[["s", "v1"], ["s"]], streams=[entry, ["b", 0, 4.0]]
    )
    assert originexchange.from_message(message) == [("b", V1, 4.0)]


@pytest.mark.parametrize("value", [None, 5, "text", {"a": 1}])
def test_a_message_of_another_form_holds_no_streams(value):
    message = originexchange.StreamOrigins(origins=value, streams=[["b", 0, 4.0]])
    assert originexchange.from_message(message) == []
    message = originexchange.StreamOrigins(origins=[["s", "v1"]], streams=value)
    assert originexchange.from_message(message) == []


class TestOriginRelay:
    """Origins of entry hosts that have ended are passed on to restarted hosts."""

    @pytest.fixture
    def table(self):
        return streamorigins.OriginTable(1000)

    @pytest.fixture
    def relay(self, table):
        relay = originexchange.OriginRelay(table)
        relay.record_entry("e1", "s1")
        relay.record_entry("e2", "s2")
        table.record("a", V1, 30.0, 0.0, relay.owner("e1"))
        table.record("b", V2, 30.0, 0.0, relay.owner("e2"))
        relay.tick({"e1", "e2"}, 0.5)
        return relay

    def test_entry_hosts_that_are_up_send_their_own(self, relay):
        relay.request("c1", "x", 1.0)
        assert relay.tick({"e1", "e2"}, 1.0) == []

    def test_a_host_that_asks_gets_those_of_ended_hosts(self, relay):
        relay.request("c1", "x", 1.0)
        assert streams_to(relay.tick({"e2"}, 1.0), "c1") == [("a", V1, 29.0)]
        assert relay.tick({"e2"}, 1.1) == []

    def test_a_host_that_asked_before_gets_those_of_hosts_that_end_later(self, relay):
        """Guards against an entry host whose end is noticed after the request."""
        relay.request("c1", "x", 1.0)
        relay.tick({"e1", "e2"}, 1.0)
        assert streams_to(relay.tick({"e1"}, 3.0), "c1") == [("b", V2, 27.0)]
        assert relay.tick(set(), streamorigins.MAX_KEPT_S + 2.0) == []

    def test_many_ends_at_once_take_few_scans(self, relay, monkeypatch):
        """Guards against a scan of the table for each of many hosts that end."""
        scans = []
        monkeypatch.setattr(
            streamorigins.OriginTable,
            "ids_of",
            lambda _, owners: scans.append(owners) or [],
        )
        relay.request("c1", "x", 1.0)
        relay.tick({"e1", "e2"}, 1.0)
        for number in range(20):
            relay.tick({"e2"} if number < 10 else set(), 2.0 + 0.01 * number)
        assert len(scans) <= 2

    def test_a_restarted_entry_host_has_forgotten_its_streams(self, relay):
        """Guards against trust in a host that is up under the same address again."""
        relay.request("c1", "x", 1.0)
        relay.tick({"e1", "e2"}, 1.0)
        relay.record_entry("e1", "1-s1")  # asks anew, without a restart
        assert relay.tick({"e1", "e2"}, 1.5) == []
        relay.record_entry("e1", "s3")
        assert streams_to(relay.tick({"e1", "e2"}, 2.0), "c1") == [("a", V1, 28.0)]

    def test_what_was_passed_on_is_passed_on_again(self, relay, table):
        """Guards against streams that are lost with the host that passed them on."""
        table.restore("p", V1, 20.0, 1.0, relay.owner("c2"))
        relay.request("c1", "x", 2.0)
        assert streams_to(relay.tick({"e1", "e2"}, 2.0), "c1") == [("p", V1, 19.0)]
        relay.request("c1", "x", 3.0)
        assert relay.tick({"e1", "e2"}, 3.0) == []
        relay.request("c1", "y", 4.0)
        assert streams_to(relay.tick({"e1", "e2"}, 4.0), "c1") == [("p", V1, 17.0)]
