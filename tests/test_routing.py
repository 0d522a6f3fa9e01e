"""Tests of routing: stale reports, leaving servers, cached prefixes and refusals."""

import random

import pytest

from kumquatproxy import errors, records
from kumquatproxy.requests import estimates, policies, routing

MODEL = records.Item("model", "m", "1")
ADAPTER = records.Item("adapter", "a", "1")


def server(name, data_centre="dc1", incarnation=1, leaving=False, kind="engine"):
    return records.BackendServer(
        name, f"{name}:1", data_centre, kind, "s", incarnation, leaving=leaving
    )


def report(name, sequence, running=0, waiting=0, loaded=(MODEL,), incarnation=1):
    return records.LoadReport(
        name, incarnation, sequence, running, waiting, loaded=loaded
    )


def call(number, **fields):
    return records.CallRequest(f"r{number}", "o", "s", model="m", **fields)


def table_with(*servers, policy="estimate", loaded=(MODEL,)):
    table = routing.RoutingTable("dc1", policy, report_lag_s=0.5)
    for backend in servers:
        table.update_server(backend, -100.0)
        table.apply_report(report(backend.backend_id, 1, loaded=loaded), 0.0)
    return table


def choose(table, items=(MODEL,), excluded=(), now=1.0, seed=1, request=None):
    request = request or call(0)
    return table.choose(request, items, frozenset(excluded), now, random.Random(seed))


@pytest.mark.parametrize("policy", routing.POLICIES.aliases())
def test_leaving_removed_and_excluded_servers_are_never_chosen(policy):
    """Guards against sending requests to a server that is stopping or has failed."""
    table = table_with(*(server(name) for name in "abcd"), policy=policy)
    table.update_server(server("a", leaving=True), 1.0)
    table.remove_server("b")
    chosen_ids = {choose(table, excluded=["c"], seed=n).backend_id for n in range(50)}
    assert chosen_ids == {"d"}
    refusal = choose(table, excluded=["c", "d"])
    assert refusal.kind is errors.ErrorKind.NO_BACKEND_SERVER
    assert refusal.executed == "no" and refusal.retry_after_s > 0


def test_reordered_announcement_does_not_reset_leaving():
    """Guards against routing to a stopping server after reordered announcements."""
    table = table_with(server("a"))
    table.update_server(server("a", leaving=True), 1.0)
    table.update_server(server("a"), 1.1)
    table.apply_report(report("a", 2), 1.2)
    assert isinstance(choose(table), routing.Refusal)
    table.update_server(server("a", incarnation=2), 2.0)
    table.apply_report(report("a", 1, incarnation=2), 2.1)
    assert choose(table).backend_id == "a"


def test_stale_report_and_stale_incarnation_are_ignored():
    """Guards against a stale report that restores an unloaded item."""
    table = table_with(server("a"))
    assert table.apply_report(report("a", 3, loaded=()), 1.0)
    assert not table.apply_report(report("a", 2), 1.1)
    assert isinstance(choose(table), routing.Refusal)
    table.update_server(server("a", incarnation=2), 2.0)
    assert not table.apply_report(report("a", 9), 2.1)
    table.update_server(server("a", incarnation=1), 2.2)
    assert table.state("a").server.incarnation == 2


def test_adapter_is_routed_to_a_server_that_has_both_items():
    """Guards against choosing a server that has the adapter without its model."""
    table = table_with(server("a"), server("b"), server("c"))
    table.apply_report(report("b", 2, loaded=(MODEL, ADAPTER)), 1.0)
    table.apply_report(report("c", 2, loaded=(ADAPTER,)), 1.0)
    for seed in range(20):
        assert choose(table, (MODEL, ADAPTER), seed=seed).backend_id == "b"


def test_own_requests_are_not_counted_again_from_a_report():
    """Guards against counting own requests both from the report and as in flight."""
    table = table_with(server("a"))
    state = table.state("a")
    for number in range(4):
        table.record_start("a", call(number), 1.0 + number)
    assert table.load(state, 4.0) == 4
    # The report reflects the state at 3.5 s: three own requests and two of others.
    table.apply_report(report("a", 2, running=5), 4.0)
    assert state.others_in_flight == 2
    outcome = estimates.Outcome("complete", 0.1, 1.0, 10)
    table.record_finish("a", call(0), outcome, 4.2)
    assert len(state.in_flight_by_id) == 3
    # At 4.1 s the finished request was still in flight.
    table.apply_report(report("a", 3, running=6), 4.6)
    assert state.others_in_flight == 2


def test_load_estimate_returns_to_the_mean_as_a_report_ages():
    """Guards against all hosts sending to a server that reported itself idle."""
    table = table_with(server("a"))
    state = table.state("a")
    for sequence in range(2, 40):
        table.apply_report(report("a", sequence, running=20), 0.5 * sequence)
    table.apply_report(report("a", 40, running=0), 20.0)
    assert table.load(state, 20.0) < 5
    assert table.load(state, 60.0) > 15


def test_estimate_policy_chooses_the_less_loaded_server():
    """Guards against a score that ignores the load report."""
    table = table_with(server("a"), server("b"))
    table.apply_report(report("a", 2, running=32, waiting=20), 1.0)
    chosen_ids = [choose(table, seed=n).backend_id for n in range(20)]
    assert set(chosen_ids) == {"b"}


def test_remote_server_is_chosen_only_when_the_local_one_is_overloaded():
    """Guards against remote requests while the local server has capacity.

    It also guards against staying local when that server is overloaded.
    """
    table = table_with(server("a"), server("far", "dc2"))
    assert choose(table).backend_id == "a"
    table.apply_report(report("a", 2, running=32, waiting=200), 1.0)
    decision = choose(table)
    assert (decision.backend_id, decision.reason) == ("far", "remote")


def test_new_server_gets_less_load_during_slow_start():
    """Guards against a cold server that gets its full share of load at once."""
    table = table_with(server("a"), server("b"))
    table.update_server(server("new"), 10.0)
    table.apply_report(report("new", 1), 10.0)
    early_ids = [choose(table, now=10.5, seed=n).backend_id for n in range(400)]
    late_ids = [choose(table, now=30.0, seed=n).backend_id for n in range(400)]
    assert early_ids.count("new") < 60 < 100 < late_ids.count("new")


def test_discount_for_cached_prefix_is_bounded_and_event_gaps_reduce_confidence():
    """Guards against a popular prefix that overloads a server, and stale cache data."""
    table = table_with(server("a"), server("b"))
    request = call(1, prompt_tokens=4000, prefix_digests=("x", "y"))
    table.apply_cache_event("a", 1, stored=("x", "y"))
    chosen_ids = {choose(table, request=request, seed=n).backend_id for n in range(20)}
    assert chosen_ids == {"a"}
    confidence_before = table.state("a").prefix_cache.confidence
    table.apply_cache_event("a", 7, stored=("z",))
    assert table.state("a").prefix_cache.confidence <= confidence_before / 2
    table.apply_report(report("a", 2, running=32, waiting=64), 1.0)
    chosen_ids = {choose(table, request=request, seed=n).backend_id for n in range(20)}
    assert chosen_ids == {"b"}


def test_plain_service_is_routed_by_its_service_name():
    """Guards against plain services that get no backend server."""
    table = routing.RoutingTable("dc1")
    table.update_server(server("p", kind="plain"), 0.0)
    table.apply_report(report("p", 1, loaded=()), 0.5)
    assert choose(table, (routing.service_item("s"),)).backend_id == "p"


def test_unknown_policy_raises_an_error_with_a_suggestion():
    """Guards against a silent fallback for a misspelt alias."""
    with pytest.raises(errors.ProxyError, match="did you mean 'estimate'"):
        routing.RoutingTable("dc1", "estimte")


def test_sampling_finds_the_only_allowed_server_of_a_large_pool():
    """Guards against a refusal while one server of a large pool is allowed."""
    names = [f"b{number}" for number in range(100)]
    table = table_with(*(server(name) for name in names))
    assert choose(table, excluded=names[:-1]).backend_id == "b99"
    assert policies.SAMPLE_SIZE >= 2
