"""Origins of streams that outlast the end of all hosts.

Guards against streams that cannot be taken up once all processes were killed.
"""

import gevent
import pytest
import test_controlhost

from kumquatproxy import clock
from kumquatproxy.agreement import datafolder, durablefiles
from kumquatproxy.fleet import (
    controlhost,
    fleethost,
    fleetmessages,
    fleetsettings,
    originexchange,
    originstore,
)
from kumquatproxy.gateway import streamorigins

NOW, WALL_S = 1000.0, 5e8
V1 = streamorigins.Origin("s", "v1")
V2 = streamorigins.Origin("s", "v2")
INTERVAL_S = originstore.WRITE_INTERVAL_S


@pytest.fixture
def folder(tmp_path):
    return datafolder.DataFolder(str(tmp_path))


@pytest.fixture
def store(folder):
    return originstore.OriginStore(folder, NOW)


def write(store, now=NOW, wall_s=None):
    store.tick(now, WALL_S + now - NOW if wall_s is None else wall_s)
    wait_for(store)


def wait_for(store):
    while store._is_writing:
        gevent.sleep(0.001)


def load(folder, wall_s=WALL_S, now=NOW):
    return list(originstore.OriginStore(folder, now).load(now, wall_s))


def files(folder):
    return sorted(folder.path.glob(originstore.FILE_PREFIX + "*"))


def test_origins_are_kept_for_the_time_that_is_left(store, folder):
    """The monotonic clock may start anew with the machine."""
    store.add("a", V1, 30.0, NOW)
    store.add("b", V2, 60.0, NOW)
    write(store)
    assert sorted(load(folder, WALL_S + 10.0, now=2.0)) == [
        ("a", V1, pytest.approx(22.0)),
        ("b", V2, pytest.approx(52.0)),
    ]
    assert [entry[0] for entry in load(folder, WALL_S + 40.0)] == ["b"]


def test_clock_that_was_set_back_prolongs_nothing_beyond_the_time_left(store, folder):
    store.add("a", V1, 30.0, NOW)
    write(store)
    assert load(folder, WALL_S - 1e6) == [("a", V1, pytest.approx(NOW + 30.0))]


def test_newer_origin_of_a_stream_is_read_first(store, folder):
    """Guards against a stream that is begun anew and goes on at its earlier version."""
    origins = [streamorigins.Origin("s", f"v{number}") for number in range(4)]
    for number, origin in enumerate(origins):
        now = NOW + number * originstore.FILE_S / 2
        store.add("a", origin, 100.0, now)
        write(store, now)
    assert len(files(folder)) == 2
    assert [entry[1] for entry in load(folder)] == origins[::-1]


def test_torn_write_costs_nothing_written_before(store, folder):
    for number, name in enumerate("ab"):
        store.add(name, V1, 30.0, NOW)
        write(store, NOW + number * INTERVAL_S)
    (path,) = files(folder)
    path.write_bytes(path.read_bytes()[:-1])
    assert [entry[0] for entry in load(folder)] == ["a"]


@pytest.mark.parametrize("data", [b"", b"\xff" * 40, bytes(40)])
def test_damaged_file_is_ignored(store, folder, data):
    """Guards against a damaged file that keeps a host from its start."""
    store.add("a", V1, 30.0, NOW)
    write(store)
    (folder.path / f"{originstore.FILE_PREFIX}9").write_bytes(data)
    (folder.path / f"{originstore.FILE_PREFIX}x").write_bytes(data)
    assert [entry[0] for entry in load(folder)] == ["a"]


def test_full_disk_is_tried_again(store, folder, monkeypatch):
    def refuse(descriptor, data, offset):
        raise OSError(28, "No space left on device")

    store.add("a", V1, 30.0, NOW)
    with monkeypatch.context() as patch:
        patch.setattr(durablefiles, "write_all", refuse)
        write(store)
    assert load(folder) == []
    store.add("b", V1, 30.0, NOW)
    write(store, NOW + INTERVAL_S)
    assert [entry[0] for entry in load(folder)] == ["a", "b"]


def test_disk_that_does_not_answer_costs_a_bounded_number_of_origins(store):
    """Guards against memory that grows for as long as a write takes."""
    for number in range(originstore.MAX_UNWRITTEN + 5):
        store.add(f"{number}", V1, 30.0, NOW)
    assert len(store._unwritten) == originstore.MAX_UNWRITTEN


def test_files_end_with_their_streams_and_are_bounded(store, folder, monkeypatch):
    """Guards against a disk that fills, also if hosts start again and again."""
    monkeypatch.setattr(originstore, "MAX_FILE_BYTES", 2000)
    end = NOW + 4 * streamorigins.MAX_KEPT_S
    count = 0
    now = NOW
    while now < end:
        store.add(f"{now}" * 10, V1, 30.0, now)
        write(store, now)
        now += 1.0
        count = max(count, len(files(folder)))
        assert all(path.stat().st_size <= 2000 for path in files(folder))
    assert count <= 2 + streamorigins.MAX_KEPT_S / originstore.FILE_S
    restarted = originstore.OriginStore(folder, now)
    write(restarted, now + streamorigins.MAX_KEPT_S)
    assert files(folder) == []


def test_host_without_a_data_folder_stores_nothing():
    store = originstore.OriginStore(datafolder.DataFolder(""), NOW)
    store.add("a", V1, 30.0, NOW)
    write(store)
    assert list(store.load(NOW, WALL_S)) == []


def run_host(tmp_path):
    settings = fleetsettings.parse(test_controlhost.SETTINGS % tmp_path)
    return controlhost.ControlHost(settings, seed=1)


def receive(host, message, now):
    host.handle(fleethost.ReceivedMessage("127.0.0.9", message), now)


def restart(host, tmp_path):
    wait_for(host._origin_store)
    host.replication.store.close()
    return run_host(tmp_path)


def test_restarted_control_host_knows_where_streams_began(tmp_path):
    host = run_host(tmp_path)
    now = clock.now()
    begun = fleetmessages.StreamBegun(
        kept_s=60.0, service="s", software_version="v1", stream_id="a"
    )
    receive(host, begun, now)
    receive(host, originexchange.to_message([("b", V2, 50.0)]), now)
    host.tick(now)
    restarted = restart(host, tmp_path)
    now = clock.now()
    restarted.tick(now)
    assert restarted._streams.find("a", now) == V1
    assert restarted._streams.find("b", now) == V2
    assert restarted._streams.time_left_s("b", now) == pytest.approx(50.0, abs=10.0)
    again = restart(restarted, tmp_path)
    again.tick(now)
    assert again._streams.find("a", now) == V1


def test_start_with_many_origins_on_the_disk_is_not_delayed(tmp_path):
    """Guards against a control host that joins its group late."""
    host = run_host(tmp_path)
    now = clock.now()
    count = controlhost.RESTORED_PER_TICK + 5
    streams = [(str(number), V1, 50.0) for number in range(count)]
    receive(host, originexchange.to_message(streams), now)
    host.tick(now)
    restarted = restart(host, tmp_path)
    assert len(restarted._streams) == 0
    restarted.tick(now)
    assert len(restarted._streams) == controlhost.RESTORED_PER_TICK
    restarted.tick(now)
    assert len(restarted._streams) == count


def test_origins_on_a_disk_are_not_sent_to_other_control_hosts(tmp_path):
    """Guards against all control hosts that send all origins to all others."""
    host = run_host(tmp_path)
    now = clock.now()
    receive(host, originexchange.to_message([("a", V1, 50.0)]), now)
    host.tick(now)
    restarted = restart(host, tmp_path)
    restarted.tick(now)
    relay = restarted._origin_relay
    relay.request("127.0.0.8", "x", now)
    assert relay.tick(set(), now) == []
    # Its entry host is up and sends it again, and ends later.
    relay.record_entry("127.0.0.9", "s")
    receive(restarted, originexchange.to_message([("a", V1, 49.0)]), now)
    assert relay.tick({"127.0.0.9"}, now + 1.0) == []
    (send,) = relay.tick(set(), now + 2.0)
    assert [entry[0] for entry in originexchange.from_message(send.message)] == ["a"]
