"""The fit of a sheet is known before it is submitted."""

import hypothesis

from kumquatproxy.configuration import sheet_fit
from kumquatproxy.placement import placementcheck
from tests import test_placement as worlds


def test_a_model_that_fits_nowhere_is_named_with_the_missing_memory():
    """Guards against a submitted sheet that cannot be served."""
    parsed = worlds.make_sheet([(50, 1), (90, 1), (150, 1)], [(2, 10)])
    backends = [worlds.make_server(1, 100), worlds.make_server(2, 100, "b")]
    fits = {fit.item.name: fit for fit in sheet_fit.check(parsed, backends)}
    assert [fits[name].fits for name in ("m0", "m1", "m2")] == [True, True, False]
    assert fits["m2"].missing_mb == 60
    assert "needs 160 MB on one backend server of s" in fits["m2"].reason
    assert fits["m0"].data_centres + fits["m1"].data_centres in (
        ("a", "b"),
        ("b", "a"),
    )
    assert [fit.item.name for fit in sheet_fit.not_fitting(parsed, backends)] == ["m2"]


def test_a_service_without_backend_servers_is_named():
    """Guards against a reason that hides a missing announcement."""
    parsed = worlds.make_sheet([(50, 1)])
    backends = [worlds.make_server(1, 100, service="other")]
    (fit,) = sheet_fit.check(parsed, backends)
    assert (fit.fits, fit.missing_mb) == (False, 50)
    assert fit.reason == "no backend server offers the service s"


def test_leaving_servers_do_not_count():
    """Guards against counting memory that goes away."""
    parsed = worlds.make_sheet([(50, 1)])
    assert sheet_fit.not_fitting(parsed, [worlds.make_server(1, 100, leaving=True)])


@hypothesis.given(worlds.placement_cases())
def test_what_fits_is_placed_on_empty_servers(world):
    """Guards against a sheet that is accepted and then cannot be placed."""
    parsed, backends, _, _ = world
    plan = worlds.make_plan(parsed, backends)
    replay = placementcheck.Replay(
        parsed, backends, worlds.placementplan.CurrentPlacement()
    )
    assert replay.run(plan.actions) == []
    reachable = replay.reachable()
    for fit in sheet_fit.check(parsed, backends):
        if fit.fits:
            assert f"{fit.item.name}@{fit.item.version}" in reachable
