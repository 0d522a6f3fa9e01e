"""Planners, which decide what is loaded where and list the actions to get there."""

from kumquatproxy.laboratory import placementbaselines
from kumquatproxy.placement import (
    placementcoverage,
    placementlayout,
    placementplan,
    placementscaling,
)

PLANNERS = placementplan.PLANNERS

RATE_PER_ACCELERATOR = 200.0
"""Default capacity of one accelerator in tokens per second.

450,000 tokens/s over 2,400 accelerators are 187.5, rounded up.
"""


@PLANNERS.register("balanced")
class BalancedPlanner(placementplan.Planner):
    """Planner that keeps the current placement and changes only what a rule requires.

    Missing replicas come first, then replicas for demand within the budget of loads.
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
            placementcoverage.unload_unlisted(layout)
            scalings = self._make_scalings(layout, demand, weights, 0)
            return layout, lambda base, centre: scalings[centre].redistribute_group(
                base
            )

        layout, coverage = placementcoverage.plan_coverage(make_layout)
        self._add_replicas_for_demand(layout, demand, weights, current.move_budget)
        placementcoverage.unload_misplaced(layout)
        return placementbaselines.schedule_plan(
            layout, coverage.not_fitting, sheet.weight_store, current
        )

    def _add_replicas_for_demand(self, layout, demand, weights, budget):
        for server in layout.servers_by_id.values():
            server.assigned_rate = 0.0
        for scaling in self._make_scalings(layout, demand, weights, budget).values():
            scaling.budget = budget
            scaling.run()
            budget = scaling.budget

    def _make_scalings(self, layout, demand, weights, budget):
        centres = {
            server.data_centre
            for server in layout.servers_by_id.values()
            if server.is_usable
        }
        rates_by_centre = _rates_by_serving_centre(layout, demand, centres)
        scalings = {}
        for centre in sorted(centres):
            rates = rates_by_centre[centre]
            scaling = placementscaling.Scaling(layout, centre, rates, weights, budget)
            scaling.distribute()
            scalings[centre] = scaling
        return scalings


def _rates_by_serving_centre(layout, demand, centres):
    """Return the demand by the data centre that serves it.

    Demand for an item that a data centre has not loaded is split equally over the data
    centres that have it.
    """
    served: dict[str, dict] = {centre: {} for centre in sorted(centres)}
    for centre, rates in sorted(demand.items()):
        for item, rate in rates.items():
            serving_centres = [centre]
            if not layout.holders_in(item, centre):
                held = layout.holders.get(item, {})
                serving_centres = sorted(
                    other for other, servers in held.items() if servers
                )
            for serving_centre in serving_centres or [centre]:
                if serving_centre in served:
                    share = rate / max(len(serving_centres), 1)
                    served[serving_centre][item] = (
                        served[serving_centre].get(item, 0.0) + share
                    )
    return served
