"""A sheet applied while a server fails: every listed model gets a replica.

Orders are lost at random, so a model stays unloaded unless orders are resent.
"""

import pytest

from kumquatproxy.placement import orders, sheetapply


class NeverResends(orders.OrderEngine):
    """Order engine that sends each order only once, though a fifth is lost."""

    def _may_send_copy(self, tracked, view, is_wanted, now):
        may_send = super()._may_send_copy(tracked, view, is_wanted, now)
        return may_send and tracked.attempts == 0


def test_every_listed_item_is_loaded_without_overcommitting_memory():
    simulation = sheetapply.SheetSimulation(seed=9)
    result = simulation.apply()
    assert (result.missing_models, result.missing_adapters, simulation.violations) == (
        0,
        0,
        [],
    )
    assert result.rate_use > 0.9, "the weight store was not at its limit"


def test_missing_models_are_detected_when_orders_are_not_resent(monkeypatch):
    monkeypatch.setattr(sheetapply, "TIME_LIMIT_S", 200.0)
    result = sheetapply.SheetSimulation(seed=9, order_engine_class=NeverResends).apply()
    assert result.missing_models > 0


@pytest.mark.fuzz
@pytest.mark.parametrize("seed", range(40))
def test_sheet_is_applied_for_many_seeds(seed):
    result = sheetapply.apply_sheet(seed)
    assert (result.missing_models, result.missing_adapters, result.overcommits) == (
        0,
        0,
        0,
    )
