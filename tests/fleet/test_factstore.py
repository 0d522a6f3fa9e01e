"""Evidence on crashes that outlasts the end of all hosts.

Guards against a request that crashes as many servers again after a restart of all.
"""

import cbor2
import gevent
import pytest
import test_controlhost

from kumquatproxy import clock
from kumquatproxy.agreement import datafolder
from kumquatproxy.fleet import (
    controlhost,
    factstore,
    fleethost,
    fleetmessages,
    fleetsettings,
)
from kumquatproxy.gateway import crashingcalls, sharedfacts

NOW, WALL_S = 1000.0, 5e8


def make_fact(kind=crashingcalls.CRASHING_CALLS, key="k", left_s=100.0, now=NOW):
    return sharedfacts.Fact(kind, key, [1, "h", ["f"]], now - 5.0, now + left_s)


@pytest.fixture
def folder(tmp_path):
    return datafolder.DataFolder(str(tmp_path))


def save(folder, *facts, now=NOW):
    table = sharedfacts.FactTable()
    merged = [fact for fact in (table.merge(fact, now) for fact in facts) if fact]
    store = factstore.FactStore(folder)
    store.record(table, merged)
    store.tick(table, now, WALL_S)
    wait_for(store)


def wait_for(store):
    while store._is_writing:
        gevent.sleep(0.001)


def load(folder, passed_s, now=NOW):
    table = sharedfacts.FactTable()
    factstore.FactStore(folder).load(table, now, WALL_S + passed_s)
    return table.all(now)


def test_evidence_is_kept_for_the_time_that_is_left(folder):
    """The monotonic clock may start anew with the machine."""
    save(folder, make_fact())
    (fact,) = load(folder, 30.0, now=2.0)
    assert fact.value == [1, "h", ["f"]]
    assert fact.observed_at == pytest.approx(2.0 - 35.0)
    assert fact.expires_at == pytest.approx(2.0 + 70.0)
    assert load(folder, 100.0, now=2.0) == []


def test_clock_that_was_set_back_prolongs_nothing_beyond_the_time_left(folder):
    save(folder, make_fact())
    (fact,) = load(folder, -1e6)
    assert fact.expires_at == pytest.approx(NOW + 100.0)


def test_facts_of_other_kinds_are_not_stored(folder):
    kind = next(
        alias
        for alias in sharedfacts.FACT_KINDS.aliases()
        if not sharedfacts.FACT_KINDS.get(alias).is_durable
    )
    save(folder, make_fact(kind))
    assert folder.read(factstore.FACTS_FILE) == b""


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x00",
        b"\x82\x01",
        b"\x82\x61x\x80",
        b"\x82\x01\x81\x01",
        cbor2.dumps([WALL_S, [[crashingcalls.CRASHING_CALLS, 7, [], 0.0, 9.0]]]),
        cbor2.dumps([WALL_S, [[[], "k", [], 0.0, 9.0]]]),
    ],
)
def test_damaged_file_is_ignored(folder, data):
    folder.write(factstore.FACTS_FILE, data)
    assert load(folder, 1.0) == []


def test_full_disk_is_tried_again(folder, monkeypatch):
    def refuse(name, data):
        raise OSError(28, "No space left on device")

    table = sharedfacts.FactTable()
    store = factstore.FactStore(folder)
    store.record(table, [table.merge(make_fact(), NOW)])
    with monkeypatch.context() as patch:
        patch.setattr(folder, "write", refuse)
        store.tick(table, NOW, WALL_S)
        wait_for(store)
    assert load(folder, 0.0) == []
    store.tick(table, NOW + 0.5, WALL_S)
    wait_for(store)
    assert load(folder, 0.0) == []
    store.tick(table, NOW + factstore.WRITE_INTERVAL_S, WALL_S)
    wait_for(store)
    assert len(load(folder, 0.0)) == 1


def run_host(tmp_path):
    settings = fleetsettings.parse(test_controlhost.SETTINGS % tmp_path)
    return controlhost.ControlHost(settings, seed=1)


def test_restarted_control_host_tells_entry_hosts_what_crashes_servers(tmp_path):
    now = clock.now()
    host = run_host(tmp_path)
    message = fleetmessages.SharedFacts([make_fact(now=now).to_wire(now)])
    host.handle(fleethost.ReceivedMessage("127.0.0.9", message), now)
    host.tick(now)
    wait_for(host._fact_store)
    host.replication.store.close()
    restarted = run_host(tmp_path)
    (send,) = restarted._facts.greet("127.0.0.9", clock.now())
    assert [fields[:3] for fields in send.message.facts] == [
        [crashingcalls.CRASHING_CALLS, "k", [1, "h", ["f"]]]
    ]
