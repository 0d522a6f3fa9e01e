"""Membership: joins, failures, partitions, pauses, restarts and leaving."""

import clusters
import pytest

from kumquatproxy import errors
from kumquatproxy.membership import membermessages, membership

CONVERGENCE_S = 40.0
LEAVING = membermessages.HostState.LEAVING
LEFT = membermessages.HostState.LEFT


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_join_and_all_remove_a_dead_host(seed):
    cluster = clusters.Cluster(seed, 16)
    cluster.run_for(15.0)
    assert cluster.present_host_errors() == {}
    cluster.network.kill("a-05")
    cluster.run_for(CONVERGENCE_S)
    assert cluster.present_host_errors() == {}


def test_death_is_detected_in_a_cluster_of_two_hosts():
    cluster = clusters.Cluster(1, 2)
    cluster.run_for(10.0)
    cluster.network.kill("a-01")
    cluster.run_for(CONVERGENCE_S)
    assert cluster.present_host_errors() == {}


def present_host_errors_after_partition(seed):
    """Return the present host errors after a long partition into halves has healed."""
    cluster = clusters.Cluster(seed, 12)
    cluster.run_for(10.0)
    cluster.network.cut(lambda sender, to: (sender < "a-06") != (to < "a-06"))
    cluster.run_for(60.0)
    assert len(cluster.present_host_errors()) == 12  # each half declared the other dead
    cluster.network.cut(lambda sender, to: False)
    cluster.run_for(CONVERGENCE_S)
    return cluster.present_host_errors()


@pytest.mark.parametrize("seed", [1, 2])
def test_all_hosts_are_present_again_after_a_partition_heals(seed):
    assert present_host_errors_after_partition(seed) == {}


def test_partition_test_notices_missing_refutation(monkeypatch):
    """Show that the test above can fail."""
    monkeypatch.setattr(membership.Membership, "_refute", lambda *_: None)
    assert present_host_errors_after_partition(1) != {}


def test_a_paused_host_is_removed_and_rejoins_after_the_pause():
    cluster = clusters.Cluster(4, 12)
    cluster.run_for(10.0)
    cluster.network.unresponsive.add("a-07")
    cluster.run_for(CONVERGENCE_S)
    others = [host for host in cluster.hosts() if host.host_id != "a-07"]
    assert not any(host.membership.table.is_present("a-07") for host in others)
    cluster.network.unresponsive.clear()
    cluster.run_for(0.2)
    paused = cluster.host("a-07").membership.table
    assert len(paused.present()) == 12  # its own pause does not make others dead
    cluster.run_for(CONVERGENCE_S)
    assert cluster.present_host_errors() == {}


def test_an_isolated_host_does_not_declare_all_others_dead():
    cluster = clusters.Cluster(5, 12)
    cluster.run_for(10.0)
    cluster.network.cut(lambda sender, to: "a-03" in (sender, to))
    cluster.run_for(120.0)
    assert len(cluster.host("a-03").membership.table.present()) == 12
    cluster.network.cut(lambda sender, to: False)
    cluster.run_for(CONVERGENCE_S)
    assert cluster.present_host_errors() == {}


@pytest.mark.parametrize("incarnation", [11, 3])
def test_a_restarted_host_rejoins_with_a_higher_or_lower_incarnation(incarnation):
    """Guard against a restarted host that stays dead.

    Without a data folder the wall clock gives the incarnation, so a clock that was set
    back gives a lower one.
    """
    cluster = clusters.Cluster(6, 8)
    cluster.run_for(10.0)
    cluster.network.kill("a-04")
    cluster.run_for(CONVERGENCE_S)
    cluster.start("a-04", incarnation)
    cluster.run_for(CONVERGENCE_S)
    assert cluster.present_host_errors() == {}
    assert cluster.host("a-00").membership.table.get("a-04").incarnation > 10


def test_a_leaving_host_stops_being_a_relay_within_1_s():
    cluster = clusters.Cluster(7, 16)
    cluster.run_for(10.0)
    leaving = cluster.host("a-00").membership
    cluster.network.handle("a-00", leaving.announce_self(LEAVING, cluster.network.now))
    cluster.run_for(1.0)
    assert {tuple(host.membership.relays()) for host in cluster.hosts()} == {
        ("a-01", "a-02")
    }
    cluster.network.handle("a-00", leaving.announce_self(LEFT, cluster.network.now))
    cluster.network.kill("a-00")
    cluster.run_for(1.0)
    assert cluster.present_host_errors() == {}


def hosts_unaware_of_a_leaving_server(seed):
    """Return the hosts that do not know 3 s later that a backend server is leaving.

    An inner host of the tree dies at the moment of the announcement.
    """
    cluster = clusters.Cluster(seed, 24)
    cluster.run_for(10.0)
    cluster.announce("a-09", clusters.server_of("gpu-1"))
    cluster.run_for(3.0)
    cluster.network.kill("a-22")
    cluster.announce("a-09", clusters.server_of("gpu-1", leaving=True))
    cluster.run_for(3.0)
    now = cluster.network.now
    return [
        host.host_id
        for host in cluster.hosts()
        if host.membership.backends.get("gpu-1") is None
        or host.membership.backends.candidates(now)
    ]


@pytest.mark.parametrize("seed", range(5))
def test_all_hosts_know_a_leaving_server_within_3_s(seed):
    assert hosts_unaware_of_a_leaving_server(seed) == []


def test_leaving_server_test_notices_missing_push(monkeypatch):
    """Show that the test above can fail."""
    monkeypatch.setattr(membership.Membership, "_push", lambda *_: None)
    monkeypatch.setattr(membership, "BACKEND_PULL_INTERVAL_S", 1000.0)
    assert hosts_unaware_of_a_leaving_server(1) != []


def test_a_host_that_missed_an_announcement_pulls_it():
    cluster = clusters.Cluster(8, 8)
    cluster.run_for(10.0)
    cluster.network.cut(lambda sender, to: "a-06" in (sender, to))
    cluster.announce("a-01", clusters.server_of("gpu-1"))
    cluster.run_for(1.0)
    cluster.network.cut(lambda sender, to: False)
    cluster.run_for(15.0)
    assert cluster.host("a-06").membership.backends.get("gpu-1") is not None


def test_announcements_keep_a_server_without_reports_alive():
    cluster = clusters.Cluster(12, 8)
    cluster.run_for(8.0)
    for _ in range(8):
        cluster.announce("a-03", clusters.server_of("desk-1"))
        cluster.run_for(2.0)
    now = cluster.network.now
    assert all(host.membership.backends.live(now) for host in cluster.hosts())
    cluster.run_for(20.0)  # the server is silent
    now = cluster.network.now
    assert not any(host.membership.backends.live(now) for host in cluster.hosts())


def test_outdated_and_conflicting_announcements_are_refused():
    backends = clusters.Cluster(9, 1).host("a-00").membership.backends
    assert backends.announce(clusters.server_of("b", 5), 0.0)
    assert not backends.announce(clusters.server_of("b", 5), 1.0)
    with pytest.raises(errors.ProxyError, match="older than the known incarnation 5"):
        backends.announce(clusters.server_of("b", 4), 1.0)
    with pytest.raises(errors.ProxyError, match="another data centre"):
        backends.announce(clusters.server_of("b", 6, centre="z"), 1.0)
    changed = clusters.server_of("b", 5)
    changed.memory_mb += 1
    with pytest.raises(
        errors.ProxyError, match="changed memory_mb, which needs a higher incarnation"
    ):
        backends.announce(changed, 1.0)


def test_leaving_lasts_until_a_new_incarnation_and_silent_servers_expire():
    backends = clusters.Cluster(9, 1).host("a-00").membership.backends
    backends.announce(clusters.server_of("b", 5, leaving=True), 0.0)
    backends.announce(clusters.server_of("b", 5), 1.0)
    assert backends.live(1.0) and not backends.candidates(1.0)
    backends.announce(clusters.server_of("b", 6), 2.0)
    assert backends.candidates(2.0)
    backends.record_report("b", 5, 20.0)  # a late report from the previous incarnation
    assert not backends.live(20.0)


def test_relays_of_all_data_centres_discover_each_other():
    cluster = clusters.Cluster(10, 4, centres=("a", "b", "c"))
    cluster.run_for(15.0)
    assert cluster.host("a-00").membership.remote_relays.relays() == [
        "b-00",
        "b-01",
        "c-00",
        "c-01",
    ]
    cluster.network.kill("b-00")
    cluster.run_for(CONVERGENCE_S)
    assert "b-02" in cluster.host("c-01").membership.remote_relays.relays()


def test_seeds_are_parsed():
    seed = membermessages.parse_seed("h-1/mu-1/10.0.0.1:7400")
    assert seed == membermessages.Seed("h-1", "mu-1", "10.0.0.1:7400")
    for text in ("h-1/mu-1", "h-1//10.0.0.1:1", "h/d/10.0.0.1", "h/d/10.0.0.1:x"):
        with pytest.raises(errors.ProxyError, match="invalid-configuration"):
            membermessages.parse_seed(text)


def test_malformed_messages_are_refused():
    cluster = clusters.Cluster(11, 2)
    host = cluster.host("a-00")
    probe = cluster.host("a-01").membership._probe_message("a-00", 1)
    for field, value in [
        ("sender_entry", [1]),
        ("checksums", b"1"),
        ("updates", [["a", 9, 1, ""]]),
    ]:
        malformed = type(probe)(
            **{name: getattr(probe, name) for name in probe.__slots__} | {field: value}
        )
        with pytest.raises(errors.ProxyError, match="malformed"):
            host.receive("a-01", malformed, 0.0)
