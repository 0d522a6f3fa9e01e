"""When a host counts as cut off from the servers of a service, and when again not."""

import pytest
import test_crashingparts

from kumquatproxy.gateway import reachability

SERVERS = 5


def lose(reach, *numbers, now=1.0, count=SERVERS):
    """Let new connections to some servers fail; return whether the host is cut off."""
    for number in numbers:
        server = test_crashingparts.make_server(number)
        reach.record_unreachable(server, count, now)
    return reach.is_cut("s")


@pytest.mark.parametrize(("count", "needed"), [(1, 1), (2, 2), (3, 3), (50, 3)])
def test_host_is_cut_off_when_some_servers_cannot_be_connected_to(count, needed):
    reach = reachability.Reachability()
    assert not lose(reach, *range(needed - 1), count=count)
    assert lose(reach, needed, count=count)


def test_one_server_that_fails_again_and_again_is_no_cut():
    assert not lose(reachability.Reachability(), *[1] * 20)


def test_servers_that_fail_one_after_the_other_are_no_cut():
    """Guards against calls that are forwarded because some servers were replaced."""
    reach = reachability.Reachability()
    for number in range(20):
        now = number * reachability.FAILURE_WINDOW_S * 0.6
        assert not lose(reach, number, now=now)


def test_new_connection_ends_a_cut_and_data_on_an_old_one_does_not():
    reach = reachability.Reachability()
    lose(reach, 1, 2, 3)
    reach.record_received("s", 1.1)
    assert reach.cut_services() == ["s"] and reach.reached_services(1.1) == []
    assert reach.record_connected("s", 1.2)
    assert not reach.is_cut("s") and reach.reached_services(1.2) == ["s"]
    assert not lose(reach, 1, 2, now=1.3)


def test_host_that_hears_nothing_reaches_no_service():
    """Guards against offers of a host whose own path is gone."""
    reach = reachability.Reachability()
    reach.record_received("s", 1.0)
    assert reach.reached_services(1.0 + reachability.EVIDENCE_S) == []


def test_servers_are_tried_while_calls_wait_in_silence_and_while_cut_off():
    reach = reachability.Reachability()
    reach.record_received("s", 1.0)
    reach.record_received("t", 1.0)
    silent_at = 1.1 + reachability.SILENCE_S
    assert reach.due_probes({"s": 1, "t": 0}, 1.1) == []
    assert reach.due_probes({"s": 1, "t": 0}, silent_at) == ["s"]
    assert reach.due_probes({"s": 1, "t": 0}, silent_at + 0.1) == []
    lose(reach, 1, 2, 3, now=2.0)
    later = 2.1 + reachability.CUT_PROBE_INTERVAL_S
    assert reach.due_probes({"s": 0, "t": 0}, later) == ["s", "t"]
    reach.record_connected("s", later)
    reach.record_received("t", later)
    assert reach.due_probes({"s": 0, "t": 1}, later + 5.0) == ["t"]
