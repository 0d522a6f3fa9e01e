"""Malformed entries of servers and of other hosts, at the places that read them."""

import pytest
import test_entryhost
import test_fleet_core

from kumquatproxy import backendapi, errors, httpapi, tasks, wire
from kumquatproxy.fleet import fleetmessages, publishing, servers
from kumquatproxy.platform import engineformat, heartbeatformat

SOUND = test_fleet_core.announcement("i-sound", address="10.0.0.9:80").to_wire()
NESTED = [[[[[[[[[[[[[[[[[["x"]]]]]]]]]]]]]]]]]]
# Values that replace one field of an announcement's list form, by its position.
ODD_VALUES = (
    None,
    [],
    {},
    -1,
    2**64,
    1e308,
    "x" * 5000,
    NESTED,
    [{"name": "m"}],
    [["m", 1, [{}]]],
    [["m", 1, NESTED]],
)
POSITIONS = range(14)
host = test_entryhost.host


def odd_entries():
    """Return announcements that each have one odd field, and other things."""
    entries = [None, 7, "x", [], {}, [1] * 14, NESTED]
    for position in POSITIONS:
        for number, value in enumerate(ODD_VALUES):
            fields = test_fleet_core.announcement(f"i-{position}-{number}").to_wire()
            fields[2] = f"10.0.{position}.{number + 1}:80"
            fields[position] = value
            entries.append(fields)
    for number, address in enumerate(("10.0.0.1:0", "10.0.0.1:65536", "h:80", "")):
        fields = test_fleet_core.announcement(f"i-address-{number}").to_wire()
        fields[2] = address
        entries.append(fields)
    return entries


def check_table(table):
    """Assert that only usable entries are there, and that they can be published."""
    assert table.get("i-sound") is not None
    for announcement in table.all():
        servers.check(announcement.values_by_field())
    for push in publishing.make_pushes(
        [server.to_wire() for server in table.all()], table.marks(), []
    ):
        assert wire.decode(wire.encode(push)) == push


def test_entry_host_reads_a_push_without_its_malformed_entries(host):
    """Guards against one entry after which a host follows no servers."""
    marks = [None, [], [1, 2, 3], [{}, [], "gone"], ["i-1", 5, "odd"]]
    marks += [["i-1", 1e308, "gone"], ["i-sound", 100, "leaving"]]
    alive = [None, [], ["i-sound"], [{}, 5], ["i-sound", 100]]
    push = fleetmessages.ServersPush([], marks, [*odd_entries(), SOUND])
    test_entryhost.receive(host, push)
    host._handle_tell(
        test_entryhost.fleethost.ReceivedMessage(
            "127.0.0.2", fleetmessages.ServersPush(alive, [], [])
        ),
        1.0,
    )
    check_table(host.table)
    assert host.table.get("i-sound").state is servers.ServerState.LEAVING


def test_control_host_merges_a_push_without_its_malformed_entries():
    """Guards against one entry that a host passes on, so that all are lost."""
    publisher = publishing.Publisher("c1", servers.ServerTable())
    marks = [None, [], [{}, [], "gone"], ["i-1", 5, "odd"]]
    push = fleetmessages.ServersPush([None, [1]], marks, [*odd_entries(), SOUND])
    publisher.merge(push, 0.0)
    check_table(publisher.table)


def test_host_does_not_ask_again_for_an_entry_that_it_cannot_use(host, monkeypatch):
    """Guards against full states that are pushed each second because of one entry."""
    fields = test_fleet_core.announcement("i-odd").to_wire()
    fields[7] = [{}]
    before = test_entryhost.subscribed_sessions(host, monkeypatch)
    test_entryhost.receive(host, fleetmessages.ServersPush([], [], [fields]))
    test_entryhost.receive(host, fleetmessages.ServersPush([["i-odd", 100]], [], []))
    assert test_entryhost.subscribed_sessions(host, monkeypatch) == before


def test_many_servers_are_pushed_in_frames():
    """Guards against a subscriber that gets no servers since they are too many."""
    table = servers.ServerTable()
    publisher = publishing.Publisher("c1", table)
    for number in range(1500):
        address = f"10.0.{number // 250}.{number % 250 + 1}:80"
        models = [["m" * 50, 1, ["a" * 50, "b" * 50]]]
        publisher.record_heartbeat(
            test_fleet_core.announcement(f"i-{number}", address=address, models=models),
            0.0,
        )
    sends = publisher.subscribe("e1", test_fleet_core.subscription(), 0.0)
    received = publishing.Publisher("e1", servers.ServerTable())
    for send in sends:
        received.merge(wire.decode(wire.encode(send.message)), 0.0)
    assert len(received.table.all()) == 1500 and len(sends) > 1
    assert all(wire.encode(send.message) for send in publisher.tick([], [], "", 0.0))


def test_number_of_servers_and_marks_is_bounded():
    """Guards against memory that another writer fills with new ids."""
    table = servers.ServerTable()
    for number in range(servers.MAX_SERVERS + 10):
        address = f"10.{number // 60_000}.{number // 250}.{number % 250 + 1}:80"
        table.apply_announcement(
            test_fleet_core.announcement(f"i-{number}", address=address), float(number)
        )
    assert len(table.all()) == servers.MAX_SERVERS
    assert table.get("i-0") is None and table.get(f"i-{number}") is not None
    for number in range(servers.MAX_MARKS + 10):
        table.mark(f"i-{number}", 100, servers.ServerState.GONE)
    assert len(table.marks()) == servers.MAX_MARKS


class FailingTask(tasks.Task):
    """Fail on each message; those of a type come from another host."""

    foreign_types = (str,)

    def handle(self, message, now, reply=None):
        raise TypeError("unhashable")


def test_message_of_another_host_does_not_end_a_task():
    """Guards against a message of another build that no handler expects."""
    task = FailingTask()
    task._handle_tell("message", 0.0)
    with pytest.raises(TypeError):
        task._handle_tell(7, 0.0)


@pytest.mark.parametrize(
    "body",
    [
        b'{"models":[{"name":"m","adapters":[{}]}],"sequence":1}',
        b'{"models":[{"name":"m","adapters":[]}],"sequence":-1}',
        b'{"models":[],"sequence":1,"coming":[1]}',
        b'{"models":[],"sequence":1,"at_hand":{"in_memory":[{"name":"m"}]}}',
        b'{"models":[],"sequence":1,"at_hand":{"on_disk":[["m"]]}}',
        b'{"models":[],"sequence":1,"running":-3}',
        b"[" * 5000,
    ],
)
def test_malformed_report_is_an_error(body):
    """Guards against a report that ends the task which reads it."""
    with pytest.raises(ValueError):
        engineformat.read_report(body)


def test_malformed_heartbeat_is_refused():
    """Guards against cached models that are no names, as review/3 sends them."""
    text = (
        b'{"backend":"s","address":"10.0.0.1:80","zone":"a","state":"ready",'
        b'"sequence":4,"at_hand":{"in_memory":%s,"on_disk":[]}}'
    )
    assert heartbeatformat.parse("i-1", text % b'["m0"]').in_memory == ["m0"]
    with pytest.raises(errors.ProxyError, match="in_memory"):
        heartbeatformat.parse("i-1", text % b'[{"name":"m0"}]')
    with pytest.raises(errors.ProxyError, match="instance_id"):
        heartbeatformat.parse("i-\u00e4", text % b"[]")


class RecordingControl(tasks.Task):
    """Record what a sheet host's address for servers passes on."""

    def __init__(self):
        self.messages = []

    def tell(self, message):
        self.messages.append(message)


ANNOUNCEMENT = {
    "backend_id": "b",
    "address": "10.0.0.1:80",
    "data_centre": "a",
    "kind": "engine",
    "service": "s",
    "incarnation": 1,
}
REPORT = {"backend_id": "b", "incarnation": 1, "sequence": 1}


@pytest.mark.parametrize(
    ("path", "fields"),
    [
        ("announce", {"address": "10.0.0.1:65536"}),
        ("announce", {"address": "10.0.0.1:0"}),
        ("announce", {"address": "10.0.0.1:\u0663"}),
        ("announce", {"incarnation": 2**64}),
        ("announce", {"service": "x" * 5000}),
        ("report", {"loaded": [[["m"]]]}),
        ("report", {"loaded": [{}]}),
        ("report", {"orders_seen": [1]}),
        ("report", {"kv_used": float("nan")}),
        ("report", {"kv_used": 1e308}),
        ("report", {"sequence": 2**70}),
    ],
)
def test_sheet_host_refuses_odd_entries(path, fields):
    """Guards against an entry that a sheet host passes on to all hosts."""
    control = RecordingControl()
    application = backendapi.BackendApplication(control)
    sound = ANNOUNCEMENT if path == "announce" else REPORT

    class Request(httpapi.Request):
        """Hold a body that was parsed already."""

        def __init__(self, body):
            super().__init__(
                {"REQUEST_METHOD": "POST", "PATH_INFO": f"/backend/v1/{path}"}
            )
            self.parsed = body

        def json(self, limit=0):
            return self.parsed

    application.answer(Request(sound), 0.0)
    with pytest.raises(errors.ProxyError):
        application.answer(Request({**sound, **fields}), 0.0)
    assert len(control.messages) == 1


def test_number_with_too_many_digits_is_an_invalid_request():
    """Guards against an error of the JSON parser that is no syntax error."""
    with pytest.raises(errors.ProxyError, match="digits"):
        httpapi.parse_json(b'{"incarnation":' + b"9" * 5000 + b"}")
