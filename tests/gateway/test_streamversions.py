"""Streams go on only at servers of the software version that sent their first event.

Servers of several versions serve side by side. Their events do not fit together, and a
server does not check at which version a stream began.
"""

import gevent
import test_relay

from kumquatproxy import clock
from kumquatproxy.gateway import backendconnections, relay, stalltimeouts

# Longest time for a rejection without a wait, on a busy machine.
AT_ONCE_S = 0.3


def set_versions(host, *versions):
    for number, version in enumerate(versions):
        host.table.get(f"i-{number}").software_version = version


def broken_stream(*numbers):
    """Return a stream that stops in the middle of an event."""
    return test_relay.make_stream(*numbers, ends=False) + b"14\r\nid: 3\nda"


def test_interrupted_stream_goes_on_only_at_the_version_that_began_it():
    """Guards against a stream with events of two software versions in one answer."""
    with test_relay.running_relay(
        [broken_stream(1, 2), None],
        [test_relay.make_stream(3)],
        [test_relay.make_stream(3)],
    ) as (address, backends, host):
        set_versions(host, "v1", "v2", "v1")
        backends[0].closes = True
        data, _ = test_relay.send_request(address, b"stream")
    assert backends[1].heads == [] and len(backends[2].heads) == 1
    assert data.endswith(b"0\r\n\r\n")
    assert [data.count(test_relay.make_event(number)) for number in (1, 2, 3)] == [
        1
    ] * 3


def test_stream_without_another_server_of_its_version_breaks_off_at_once():
    """Guards against an end at another version, and against a wait in vain.

    The caller resumes the stream sooner if the connection closes at once.
    """
    with test_relay.running_relay(
        [broken_stream(1, 2), None], [test_relay.make_stream(3)]
    ) as (address, backends, host):
        set_versions(host, "v1", "v2")
        backends[0].closes = True
        started_at = clock.now()
        data, is_closed = test_relay.send_request(address, b"stream")
        took_s = clock.now() - started_at
    assert backends[1].heads == [] and is_closed
    assert not data.endswith(b"0\r\n\r\n") and took_s < AT_ONCE_S


def test_stream_that_has_sent_no_event_goes_on_at_any_version():
    """Guards against a call that fails although no version is tied to it yet."""
    with test_relay.running_relay([None], [test_relay.make_stream(1)]) as (
        address,
        _,
        host,
    ):
        set_versions(host, "v1", "v2")
        data, _ = test_relay.send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n")


def test_stalled_stream_stays_at_its_server_if_the_others_have_another_version():
    """Guards against giving up a server that pauses for one that cannot go on."""
    rest = test_relay.make_stream(2).partition(b"\r\n\r\n")[2]
    paused = [test_relay.make_stream(1, ends=False), 0.8, rest]
    with test_relay.running_relay([paused], [test_relay.make_stream(2)]) as (
        address,
        backends,
        host,
    ):
        set_versions(host, "v1", "v2")
        data, _ = test_relay.send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n") and backends[1].heads == []


def test_origin_is_recorded_before_the_first_event_of_each_answer(monkeypatch):
    """Guards against a killed host whose callers have events that no host knows of."""
    steps = []
    write_body = test_relay.callers.CallerConnection.write_body

    def write(connection, data):
        steps.append(data)
        write_body(connection, data)

    def record(call):
        steps.append((call.stream_id, call.service, call.software_version))

    monkeypatch.setattr(test_relay.callers.CallerConnection, "write_body", write)
    streams = [broken_stream(1), None], [test_relay.make_stream(2)]
    with test_relay.running_relay(*streams) as (address, backends, host):
        set_versions(host, "v1", "v1")
        monkeypatch.setattr(host, "record_origin", record)
        backends[0].closes = True
        test_relay.send_request(address, b"stream", b"Resumes: 5\r\n")
    events = [test_relay.make_event(number) for number in (1, 2)]
    assert steps == [("5", "s", "v1"), *events]


def test_resumed_stream_goes_to_the_service_and_version_that_are_restored(monkeypatch):
    """Guards against a choice of the server before the origin is known."""

    def restore(call):
        call.software_version = "v2"

    with test_relay.running_relay(
        [test_relay.make_stream(4)], [test_relay.make_stream(4)]
    ) as (address, backends, host):
        set_versions(host, "v1", "v2")
        monkeypatch.setattr(host, "restore_origin", restore)
        test_relay.send_request(address, b"stream", b"Resumes: 5\r\n")
        test_relay.send_request(address, b"stream", b"Last-Event-Id: 3\r\n")
        assert [len(backend.heads) for backend in backends] == [0, 2]
        test_relay.send_request(address, b"safe", b"Resumes: 5\r\n")
        assert len(backends[0].heads) == 1


def test_interrupted_stream_does_not_go_on_at_a_server_of_uncertain_version(
    monkeypatch,
):
    """Guards against a server that has started again at another version.

    It has sent no heartbeat since, so the announcement names the earlier one.
    """
    with test_relay.running_relay(
        [broken_stream(1, 2), None],
        [test_relay.make_stream(3)],
        [test_relay.make_stream(3)],
    ) as (address, backends, host):
        set_versions(host, "v1", "v1", "v1")
        backends[0].closes = True
        monkeypatch.setattr(
            host,
            "with_certain_version",
            lambda candidates: [
                candidate
                for candidate in candidates
                if candidate.announcement.instance_id == "i-2"
            ],
        )
        data, _ = test_relay.send_request(address, b"stream")
    assert backends[1].heads == [] and len(backends[2].heads) == 1
    assert data.endswith(b"0\r\n\r\n")


def test_interrupted_stream_waits_until_a_version_is_certain(monkeypatch):
    """Heartbeats come about once a second, and the next one may tell."""
    certain_at = clock.now() + 0.6
    with test_relay.running_relay(
        [broken_stream(1, 2), None], [test_relay.make_stream(3)]
    ) as (address, backends, host):
        set_versions(host, "v1", "v1")
        backends[0].closes = True
        monkeypatch.setattr(
            host,
            "with_certain_version",
            lambda candidates: candidates if clock.now() > certain_at else [],
        )
        data, _ = test_relay.send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n") and clock.now() > certain_at


def test_silent_stream_goes_on_at_its_server_if_no_other_version_is_certain(
    monkeypatch,
):
    rest = test_relay.make_stream(2).partition(b"\r\n\r\n")[2]
    # Longer than the time after which another server is tried.
    pause_s = stalltimeouts.MAX_PAUSE_FACTOR * test_relay.ROUTES[2].max_pause_s + 0.2
    paused = [test_relay.make_stream(1, ends=False), pause_s, rest]
    with test_relay.running_relay([paused], [test_relay.make_stream(2)]) as (
        address,
        backends,
        host,
    ):
        set_versions(host, "v1", "v1")
        monkeypatch.setattr(host, "with_certain_version", lambda candidates: [])
        data, _ = test_relay.send_request(address, b"stream", wait_s=pause_s + 1.0)
    assert data.endswith(b"0\r\n\r\n") and backends[1].heads == []


def test_interrupted_stream_is_sent_once_a_heartbeat_has_followed_the_connection(
    monkeypatch,
):
    """Guards against a server that was back before its heartbeat was overdue.

    Until the next heartbeat of the announced lifetime, a new connection may reach a
    later one at another version.
    """
    asked = []

    def confirms_lifetime(announcement, opened_at):
        asked.append((announcement.instance_id, opened_at, len(backends[1].heads)))
        gevent.sleep(0.05)
        return len(asked) == 5

    with test_relay.running_relay(
        [broken_stream(1, 2), None], [test_relay.make_stream(3)]
    ) as (address, backends, host):
        set_versions(host, "v1", "v1")
        backends[0].closes = True
        monkeypatch.setattr(host, "confirms_lifetime", confirms_lifetime)
        started_at = clock.now()
        data, _ = test_relay.send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n") and len(asked) == 5
    assert {(name, heads) for name, _, heads in asked} == {("i-1", 0)}
    (opened_at,) = {time for _, time, _ in asked}
    assert started_at < opened_at <= clock.now()


def test_interrupted_stream_prefers_a_server_that_needs_no_wait(monkeypatch):
    """Guards against a wait for a heartbeat beside a connection that needs none."""
    monkeypatch.setattr(
        backendconnections.ConnectionPool,
        "has_idle",
        lambda pool, instance_id, max_idle_s, opened_by: (
            (instance_id, opened_by) == ("i-2", 7.0)
        ),
    )
    with test_relay.running_relay(
        [broken_stream(1, 2), None],
        [test_relay.make_stream(3)],
        [test_relay.make_stream(3)],
    ) as (address, backends, host):
        set_versions(host, "v1", "v1", "v1")
        backends[0].closes = True
        monkeypatch.setattr(host, "lifetime_confirmed_until", lambda announcement: 7.0)
        data, _ = test_relay.send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n")
    assert backends[1].heads == [] and len(backends[2].heads) == 1


def test_interrupted_stream_goes_elsewhere_if_no_heartbeat_follows(monkeypatch):
    """Guards against a stream that waits for a server that has started again."""
    monkeypatch.setattr(relay, "MAX_CONFIRMATION_S", 0.2)
    late = []

    def confirms_lifetime(announcement, opened_at):
        gevent.sleep(0.05)
        late.append(announcement.instance_id)
        return announcement.instance_id == "i-2"

    with test_relay.running_relay(
        [broken_stream(1, 2), None],
        [test_relay.make_stream(3)],
        [test_relay.make_stream(3)],
    ) as (address, backends, host):
        set_versions(host, "v1", "v1", "v1")
        backends[0].closes = True
        monkeypatch.setattr(host, "confirms_lifetime", confirms_lifetime)
        monkeypatch.setattr(
            host,
            "with_certain_version",
            lambda candidates: [
                candidate
                for candidate in candidates
                if late.count("i-1") < 3 or candidate.announcement.instance_id == "i-2"
            ],
        )
        data, _ = test_relay.send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n")
    assert backends[1].heads == [] and len(backends[2].heads) == 1


def test_silent_stream_goes_on_at_its_server_while_another_is_confirmed(monkeypatch):
    rest = test_relay.make_stream(2).partition(b"\r\n\r\n")[2]
    pause_s = stalltimeouts.MAX_PAUSE_FACTOR * test_relay.ROUTES[2].max_pause_s + 0.2
    paused = [test_relay.make_stream(1, ends=False), pause_s, rest]

    def confirms_lifetime(announcement, opened_at):
        gevent.sleep(0.05)

    with test_relay.running_relay([paused], [test_relay.make_stream(2)]) as (
        address,
        backends,
        host,
    ):
        set_versions(host, "v1", "v1")
        monkeypatch.setattr(host, "confirms_lifetime", confirms_lifetime)
        data, _ = test_relay.send_request(address, b"stream", wait_s=pause_s + 1.0)
    assert data.endswith(b"0\r\n\r\n") and backends[1].heads == []


def test_calls_that_are_tied_to_no_version_do_not_wait_for_heartbeats(monkeypatch):
    with test_relay.running_relay([None], [test_relay.make_stream(1)]) as (
        address,
        _,
        host,
    ):
        set_versions(host, "v1", "v2")
        monkeypatch.setattr(host, "confirms_lifetime", None)
        data, _ = test_relay.send_request(address, b"stream")
    assert data.endswith(b"0\r\n\r\n")
