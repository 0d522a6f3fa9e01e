"""Servers that fall over if they refuse too many requests in a second."""

import pytest
import test_crashingparts

from kumquatproxy.gateway import brittleservers, calls, sharedfacts

SERVER = test_crashingparts.make_server(1)


def make_head(refusals_per_s=None, status=200):
    head = calls.ResponseHead(status, [])
    head.refusals_per_s = refusals_per_s
    head.is_sealed = status == 200
    head.is_not_executed = status == 503
    return head


class Hosts:
    """Hosts that learn each other's facts at once."""

    def __init__(self, count):
        self.tables = [sharedfacts.FactTable() for _ in range(count)]
        self.trackers = [
            brittleservers.BrittleServers(f"h{number}", table, self.publish)
            for number, table in enumerate(self.tables)
        ]
        for tracker in self.trackers:
            tracker.host_count = count

    def publish(self, fact, now):
        for table in self.tables:
            fields = fact.to_wire(now)
            table.merge(sharedfacts.from_wire(fields, now), now)

    def admitting(self, own, running, now, server=SERVER):
        """Return the number of hosts that may send a call to a server."""
        return sum(
            tracker.admits(server, own, running, now) for tracker in self.trackers
        )


def test_all_hosts_leave_a_full_brittle_server_alone_for_a_time():
    hosts = Hosts(3)
    hosts.trackers[0].record_answer(SERVER, make_head(8), 0.0, 1.0)
    assert hosts.admitting(0, 0, 1.1) == 3  # four slots
    hosts.trackers[1].record_answer(SERVER, make_head(8, 503), 1.0, 1.2)
    assert hosts.admitting(0, 0, 1.3) == 0
    assert hosts.admitting(0, 0, 1.3 + brittleservers.backoff_s(8)) == 3


def test_hosts_without_a_place_do_not_come_at_once_after_a_refusal_or_a_start():
    """Guards against servers that fall again as soon as they are back."""
    hosts = Hosts(50)
    hosts.trackers[0].record_answer(SERVER, make_head(8), 0.0, 1.0)
    with_places = hosts.admitting(0, 0, 1.0)
    assert with_places < 10
    calm_at = 1.0 + brittleservers.CALM_S
    assert hosts.admitting(0, 0, calm_at) == 50
    assert hosts.admitting(1, 3, calm_at) == 0
    hosts.trackers[0].record_answer(SERVER, make_head(8, 503), calm_at, calm_at)
    reopened_at = calm_at + brittleservers.backoff_s(8)
    assert hosts.admitting(0, 0, reopened_at) == with_places
    hosts.trackers[0].record_answer(SERVER, make_head(8), calm_at, reopened_at)
    assert hosts.admitting(0, 0, reopened_at + brittleservers.CALM_S) == 50


@pytest.mark.parametrize("answer", [make_head(None, 503), make_head(), make_head(8)])
def test_servers_that_are_not_brittle_are_used_as_before(answer):
    """Guards against rejected calls after the servers are sound again."""
    hosts = Hosts(2)
    if answer.refusals_per_s:
        hosts.trackers[0].record_answer(SERVER, answer, 0.0, 1.0)
        assert hosts.admitting(9, 99, 1.1) == 0
        hosts.trackers[1].record_answer(SERVER, make_head(), 0.5, 1.2)
        assert hosts.admitting(9, 99, 1.3) == 0  # an answer to an earlier request
        hosts.trackers[1].record_answer(SERVER, make_head(), 1.1, 1.2)
    else:
        hosts.trackers[0].record_answer(SERVER, answer, 0.0, 1.0)
    assert hosts.admitting(9, 99, 1.3) == 2


def test_words_of_brittle_servers_end_if_nothing_is_heard():
    hosts = Hosts(1)
    hosts.trackers[0].record_answer(SERVER, make_head(8), 0.0, 1.0)
    ends_at = 1.0 + brittleservers.BrittleServices.max_kept_s
    assert hosts.admitting(9, 99, ends_at - 0.1) == 0
    assert hosts.admitting(9, 99, ends_at) == 1


@pytest.mark.parametrize(("host_count", "slots"), [(4, 2), (6, 6), (6, 64), (64, 6)])
def test_hosts_together_have_about_the_places_of_a_server(host_count, slots):
    """Guards against hosts that all fill the same places at once."""
    for number in range(20):
        places = [
            brittleservers.own_places(f"h{host}", f"i-{number}/1", slots, host_count)
            for host in range(host_count)
        ]
        assert sum(places) <= slots + min(host_count, slots) * 1.5


def test_fewer_refusals_are_risked_the_less_a_server_bears():
    backoffs = [brittleservers.backoff_s(limit) for limit in (100, 8, 2, 1, 0)]
    assert backoffs == sorted(backoffs)
    assert backoffs[0] == brittleservers.MIN_BACKOFF_S
