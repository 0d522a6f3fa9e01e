"""Tests of the simulated engine, traces, bounds and run histories with faults."""

import collections
import os

import pytest

from kumquatproxy import records
from kumquatproxy.laboratory import (
    arrivals,
    bounds,
    experiments,
    loadmodel,
    measure_routing,
    simulation,
    systems,
)
from kumquatproxy.placement import fixedplacement
from kumquatproxy.requests import breaker, hedging, retries

FIRST_FUZZ_SEED = 100 * int(os.environ.get("FUZZ_SEED", "0"))
SHORT = {"duration_s": 30.0, "shift_s": 10.0, "utilisation": 1.3}


def make_job(number, priority=5, tokens=10, prompt_tokens=100, digests=()):
    request = records.CallRequest(
        f"r{number}",
        "o",
        "s",
        priority=priority,
        prompt_tokens=prompt_tokens,
        prefix_digests=digests,
        deadline=100.0,
    )
    return loadmodel.Job(request, (), tokens)


def make_engine(**fields):
    server = records.BackendServer("a", "", "dc0", "engine", "s", 1)
    return loadmodel.SimulatedEngine(server, loadmodel.EngineSpeed(**fields))


def completed_ids(events):
    return [event.job.request.request_id for event in events if event.kind != "first"]


def check_history(result, faults=()):
    """Assert that each request has an outcome and is sent as the limits allow.

    It is sent at most three times and never to a removed server.
    """
    ids = [job.request.request_id for job in result.jobs]
    assert sorted(result.outcomes_by_id) == sorted(ids), (
        "requests with an outcome differ from the trace"
    )
    sent = collections.Counter(request_id for _, _, request_id in result.sends)
    assert max(sent.values()) <= 3, "more attempts than allowed"
    for at, backend_id, _ in result.sends:
        for fault in faults:
            stopped = {f"b{number:03d}" for number in fault.servers}
            late = at > fault.at + simulation.REMOVAL_DELAY_S
            assert not (late and backend_id in stopped), "sent to a removed server"


def test_step_time_grows_with_the_batch():
    """Guards against a simulated engine with unlimited capacity."""
    fake = make_engine(slots=2, step_base_s=0.01, step_slope_s=0.01, chunk_tokens=100)
    fake.submit(make_job(1), 5, 0.0)
    fake.submit(make_job(2), 5, 0.0)
    # One prompt step and nine more tokens, each 0.03 s at a batch of two.
    assert completed_ids(fake.advance(0.29)) == []
    assert sorted(completed_ids(fake.advance(0.31))) == ["r1", "r2"]


def test_engine_serves_waiting_requests_by_priority():
    """Guards against an engine that hides faults in the handling of priorities."""
    fake = make_engine(slots=1)
    for number, priority in ((1, 5), (2, 1), (3, 9)):
        fake.submit(make_job(number, priority), priority, 0.0)
    assert completed_ids(fake.advance(100.0)) == ["r1", "r3", "r2"]


def test_cached_prefix_shortens_the_prompt_and_evictions_are_reported():
    """Guards against a cache that is never hit or never evicts."""
    fake = make_engine(cache_blocks=2)
    first = make_job(1, prompt_tokens=2560, digests=("x", "y"))
    fake.submit(first, 5, 0.0)
    cold = next(event for event in fake.advance(10.0) if event.kind == "first")
    fake.submit(make_job(2, prompt_tokens=2560, digests=("x", "y")), 5, 10.0)
    warm = next(event for event in fake.advance(20.0) if event.kind == "first")
    assert warm.cached_tokens == 2560 and cold.cached_tokens == 0
    assert warm.at - 10.0 < cold.at / 5
    fake.submit(make_job(3, digests=("z",)), 5, 20.0)
    assert fake.cache_events[-1] == (2, ("z",), ("x",))


def test_failed_engine_returns_every_request_with_its_progress():
    """Guards against requests that are lost with an engine."""
    fake = make_engine(slots=1)
    fake.submit(make_job(1, tokens=100), 5, 0.0)
    fake.submit(make_job(2), 5, 0.0)
    fake.advance(0.5)
    lost = {job.request.request_id: delivered for job, delivered in fake.fail()}
    assert 20 < lost["r1"] < 40 and lost["r2"] == 0


def test_same_seed_gives_the_same_run():
    """Guards against hidden state that makes figures irreproducible."""
    runs = [experiments.run("port-louis", "designed", 1, **SHORT) for _ in range(2)]
    assert (
        runs[0].outcomes_by_id == runs[1].outcomes_by_id
        and runs[0].sends == runs[1].sends
    )
    other = experiments.run("port-louis", "designed", 2, **SHORT)
    assert other.outcomes_by_id != runs[0].outcomes_by_id


@pytest.mark.parametrize("kind", ["stop", "silent"])
def test_every_request_ends_once_in_a_run_with_a_lost_server(kind):
    """Guards against requests that never end or are sent to removed servers."""
    faults = [systems.Fault(12.0, kind, [0])]
    result = experiments.run("cordillera", "designed", 3, faults, **SHORT)
    check_history(result, faults)
    assert any(attempt[1] == "b000" for attempt in result.sends)


def test_history_check_rejects_work_for_a_removed_server(monkeypatch):
    """Guards against a history check that accepts every run."""
    monkeypatch.setattr(
        simulation.Simulation, "_remove_server", lambda self, engine: None
    )
    monkeypatch.setattr(breaker.CircuitBreaker, "allows", lambda *_: True)
    faults = [systems.Fault(12.0, "stop", [0])]
    result = experiments.run("cordillera", "designed", 3, faults, **SHORT)
    with pytest.raises(AssertionError, match="sent to a removed server"):
        check_history(result, faults)


def run_hedged_request(faults=()):
    """Run one request for a model that three servers hold."""
    scenario = arrivals.scenario(
        "port-louis", servers=3, models=1, hosts=1, data_centres=1
    )
    model = arrivals.model_name(0)
    request = records.CallRequest(
        "r1", "o", "s", model=model, version="1", prompt_tokens=2560, deadline=30.0
    )
    job = loadmodel.Job(request, (arrivals.model_item(0),), 200)
    trace = arrivals.Trace([job], {model: 1.0})
    return hedging.HedgedSimulation(
        scenario, systems.SYSTEMS["designed"], trace, 1, faults
    ).run()


def test_request_ends_if_the_resumed_copy_of_a_hedged_request_fails(monkeypatch):
    """Guards against a hedged request without an end.

    The original is cancelled when its copy delivers the first token. The copy is
    interrupted, resumed at the third server, and fails there before its next token.
    """
    monkeypatch.setattr(retries.HedgeDelay, "delay_s", lambda *_: 0.05)
    normal_run = run_hedged_request()
    original_server, copy_server = (
        int(backend_id.removeprefix("b")) for _, backend_id, _ in normal_run.sends
    )
    faults = [
        systems.Fault(0.0, "slow", [original_server]),
        systems.Fault(1.0, "errors", range(3)),
        systems.Fault(1.0, "stop", [copy_server]),
    ]
    result = run_hedged_request(faults)
    assert "r1~2" in result.first_token_s, "the copy was not the first to answer"
    assert len(result.sends) > 2, "the copy was not resumed"
    check_history(result, faults[2:])


@pytest.mark.parametrize("system", systems.SYSTEMS)
def test_no_system_exceeds_the_bound(system):
    """Guards against a bound that is too low, which would inflate the ratio."""
    scenario = arrivals.scenario("port-louis", **SHORT)
    trace = arrivals.generate(scenario, 1)
    bound = bounds.attainment_bound(trace, scenario, scenario.capacity(), 10.0, 99.0)
    result = experiments.run("port-louis", system, 1, **SHORT)
    assert result.attainment() <= bound + 1e-9


def test_bound_is_low_at_low_capacity():
    """Guards against a bound that does not limit attainment."""
    scenario = arrivals.scenario("port-louis", **SHORT)
    trace = arrivals.generate(scenario, 1)
    tight = bounds.attainment_bound(trace, scenario, 200.0, 10.0, 99.0)
    assert tight < 0.7


def test_placement_is_within_memory_and_reaches_every_model():
    """Guards against a baseline or experiment with an impossible placement."""
    scenario = arrivals.scenario("tenth")
    base_shares = arrivals.generate(
        arrivals.scenario("tenth", duration_s=1.0), 1
    ).base_share_by_model
    for kind in ("even", "demand"):
        placed = fixedplacement.fixed_placement(scenario, kind, base_shares)
        assert max(map(len, placed)) <= scenario.speed.max_items
        assert len(set().union(*placed)) == scenario.models


def test_shift_multiplies_demand_of_rising_models():
    """Guards against traces without the configured demand shift."""
    scenario = arrivals.scenario("tenth", duration_s=60.0, shift_s=20.0)
    jobs = arrivals.generate(scenario, 1).jobs
    early = collections.Counter(
        j.request.model for j in jobs if j.request.arrived_at < 18.0
    )
    late = collections.Counter(
        j.request.model for j in jobs if j.request.arrived_at > 42.0
    )
    assert sum(late[model] > 5 * count for model, count in early.items()) >= 10


def test_target_is_checked_against_the_worst_value():
    """Guards against reporting the best value as the worst one."""
    low = experiments.median_and_worst("x", [0.5, 1.0, 2.0], low=1.3)
    high = experiments.median_and_worst("y", [0.5, 1.0, 2.0], high=1.1)
    assert [figure.value for figure in low + high] == [1.0, 0.5, 1.0, 2.0]
    assert not low[1].meets_target() and not high[1].meets_target()
    assert measure_routing.measure.MEASUREMENTS.get("herding_ratio")


@pytest.mark.fuzz
@pytest.mark.parametrize("seed", range(FIRST_FUZZ_SEED, FIRST_FUZZ_SEED + 20))
def test_every_request_ends_once_for_many_seeds(seed):
    """Guards against rare interleavings of events that lose a request."""
    faults = [
        systems.Fault(12.0, "errors", [1], 0.5),
        systems.Fault(15.0, "stop", [0]),
        systems.Fault(20.0, "silent", [2]),
    ]
    result = experiments.run("port-louis", "designed", seed, faults, **SHORT)
    check_history(result, faults[1:])
