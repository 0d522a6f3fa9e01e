"""Streams go on only at servers of the software version that sent their first event.

Servers of several versions serve side by side. Their events do not fit together, and a
server does not check at which version a stream began.
"""

import test_relay

from kumquatproxy import clock

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
