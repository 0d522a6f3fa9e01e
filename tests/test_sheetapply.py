"""A sheet applied while a server fails: every listed model gets a replica."""

import pytest

from kumquatproxy.placement import orders, sheetapply


class NeverResends(orders.OrderEngine):
    """Send each order once, though a fifth of them is lost."""

    def _may_send_copy(self, tracked, view, is_wanted, now):
        may_send = super()._may_send_copy(tracked, view, is_wanted, now)
        return may_send and tracked.attempts == 0


def test_every_listed_item_is_loaded_without_overcommitting():
    world = sheetapply.SheetSimulation(seed=9)
    run = world.apply()
    assert (run.lost_models, run.lost_adapters, world.violations) == (0, 0, [])
    assert run.rate_use > 0.9, "the store was not at its limit"


def test_lost_models_are_noticed(monkeypatch):
    monkeypatch.setattr(sheetapply, "TIME_LIMIT_S", 200.0)
    run = sheetapply.SheetSimulation(seed=9, engine_class=NeverResends).apply()
    assert run.lost_models > 0


@pytest.mark.fuzz
@pytest.mark.parametrize("seed", range(40))
def test_many_applications(seed):
    run = sheetapply.apply_sheet(seed)
    assert (run.lost_models, run.lost_adapters, run.overcommits) == (0, 0, 0)
