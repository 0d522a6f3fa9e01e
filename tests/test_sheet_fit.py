"""Tests of the check that a sheet's models fit the memory of the backend servers.

Without it, a sheet could be accepted whose models can never be placed.
"""

import hypothesis

from kumquatproxy.configuration import sheet_fit
from kumquatproxy.placement import placementcheck
from tests import test_placement as placement_samples


def test_model_that_fits_nowhere_is_reported_with_the_missing_memory():
    """Guard against accepting a sheet whose models cannot all be placed."""
    # Models of 50, 90 and 150 MB with one version each, and a 10 MB adapter of m2.
    parsed = placement_samples.make_sheet([(50, 1), (90, 1), (150, 1)], [(2, 10)])
    backends = [
        placement_samples.make_server(1, 100),
        placement_samples.make_server(2, 100, "b"),
    ]
    fits = {fit.item.name: fit for fit in sheet_fit.check(parsed, backends)}
    assert [fits[name].fits for name in ("m0", "m1", "m2")] == [True, True, False]
    assert fits["m2"].missing_mb == 60
    assert "needs 160 MB on one backend server of s" in fits["m2"].reason
    # One replica each, in different data centres.
    assert fits["m0"].data_centres + fits["m1"].data_centres in (
        ("a", "b"),
        ("b", "a"),
    )
    assert [fit.item.name for fit in sheet_fit.not_fitting(parsed, backends)] == ["m2"]


def test_service_without_backend_servers_is_given_as_the_reason():
    """Guard against a reason that speaks of memory when no server has the service."""
    parsed = placement_samples.make_sheet([(50, 1)])
    backends = [placement_samples.make_server(1, 100, service="other")]
    (fit,) = sheet_fit.check(parsed, backends)
    assert (fit.fits, fit.missing_mb) == (False, 50)
    assert fit.reason == "no backend server offers the service s"


def test_memory_of_leaving_servers_is_not_counted():
    """Guard against counting memory of servers that are about to leave."""
    parsed = placement_samples.make_sheet([(50, 1)])
    assert sheet_fit.not_fitting(
        parsed, [placement_samples.make_server(1, 100, leaving=True)]
    )


@hypothesis.given(placement_samples.placement_cases())
def test_models_reported_as_fitting_are_placed_on_empty_servers(world):
    """Guard against accepting a sheet that the planner then cannot place."""
    parsed, backends, _, _ = world
    plan = placement_samples.make_plan(parsed, backends)
    replay = placementcheck.Replay(
        parsed, backends, placement_samples.placementplan.CurrentPlacement()
    )
    assert replay.run(plan.actions) == []
    reachable = replay.reachable()
    for fit in sheet_fit.check(parsed, backends):
        if fit.fits:
            assert f"{fit.item.name}@{fit.item.version}" in reachable
