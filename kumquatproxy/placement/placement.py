"""Planners: what should be loaded where, and the actions that lead there."""

from kumquatproxy.laboratory import placementbaselines
from kumquatproxy.placement import (
    placementcover,
    placementlayout,
    placementplan,
    placementscale,
)

PLANNERS = placementplan.PLANNERS

RATE_PER_ACCELERATOR = 200.0
"""Default capacity in tokens per second; 450,000 tokens/s over 2,400 accelerators."""


@PLANNERS.register("balanced")
class Balanced(placementplan.Planner):
    """Keep the current placement and change only what a rule requires.

    Missing replicas come first, then replicas for demand within the move budget.
    """

    __slots__ = ("_rate_per_accelerator",)

    def __init__(self, rate_per_accelerator=RATE_PER_ACCELERATOR):
        self._rate_per_accelerator: float = rate_per_accelerator

    def plan(self, sheet, backends, demand, current, weights):
        """Return the plan; see ``placementplan.Planner.plan``."""
        catalogue = placementlayout.Catalogue(sheet)

        def make_layout():
            layout = placementlayout.Layout(
                catalogue, backends, current, self._rate_per_accelerator
            )
            placementcover.drop_unlisted(layout)
            scales = self._scales(layout, demand, weights, 0)
            return layout, lambda base, centre: scales[centre].split_group(base)

        layout, cover = placementcover.run_cover(make_layout)
        self._scale(layout, demand, weights, current.move_budget)
        placementcover.drop_misplaced(layout)
        return placementbaselines.finish(
            layout, cover.not_fitting, sheet.weight_store, current
        )

    def _scale(self, layout, demand, weights, budget):
        for slot in layout.slots.values():
            slot.load = 0.0
        for scale in self._scales(layout, demand, weights, budget).values():
            scale.budget = budget
            scale.run()
            budget = scale.budget

    def _scales(self, layout, demand, weights, budget):
        centres = {slot.data_centre for slot in layout.slots.values() if slot.usable}
        rates_by_centre = _served_rates(layout, demand, centres)
        scales = {}
        for centre in sorted(centres):
            rates = rates_by_centre[centre]
            scale = placementscale.Scale(layout, centre, rates, weights, budget)
            scale.spread()
            scales[centre] = scale
        return scales


def _served_rates(layout, demand, centres):
    """Return the demand by the data centre that serves it.

    What a data centre has not loaded is served by those that have it, in equal parts.
    """
    served: dict[str, dict] = {centre: {} for centre in sorted(centres)}
    for centre, rates in sorted(demand.items()):
        for item, rate in rates.items():
            takers = [centre]
            if not layout.holders_in(item, centre):
                held = layout.holders.get(item, {})
                takers = sorted(other for other, slots in held.items() if slots)
            for taker in takers or [centre]:
                if taker in served:
                    share = rate / max(len(takers), 1)
                    served[taker][item] = served[taker].get(item, 0.0) + share
    return served
