"""Policies of model placement: what a load costs and what an eviction loses.

Traffic pattern under hard load: many more models than places, each rarely requested,
and loads that take two seconds. Some calls are in time even if their model must be
loaded first, as their objective is longer than that; others are not.
"""

from kumquatproxy import registry
from kumquatproxy.fleet import engineviews, longloads, modelplan

PLACEMENT_POLICIES = registry.Registry("placement policy")
STEADY, HARD = "steady", "hard"

# Time from a plan to the first event beside the load: orders, the unload of another
# model, the news of the load, and prefill.
ORDER_OVERHEAD_S = 0.35
# A waiting call that can be in time counts as this many that cannot.
IN_TIME_FACTOR = 2.0
# Calls that a load must bring: one, beside those that its victims lose. With less,
# models without a place and residents that are requested as often replace each other
# all the time, and in a burst the loads that the store allows go to single calls.
LOAD_COST_CALLS = 1.0
# Demand moves to models with adapters, so one of them counts as requested at this rate
# at least, per second.
ADAPTER_MODEL_RATE = 0.1
# Factor for the gain of a replica in a data centre without one: its callers are served
# without the links to other data centres then, which may be cut and cost bytes.
FIRST_IN_CENTRE_FACTOR = 1.25
# Share of a model's calls that the last one of its replicas in a data centre is worth.
LAST_IN_CENTRE_SHARE = 2.0 * modelplan.EXTRA_REPLICA_SHARE

PLACEMENT_POLICIES.register(STEADY)(modelplan.SteadyPolicy)


@PLACEMENT_POLICIES.register(HARD)
class HardPolicy(modelplan.SteadyPolicy):
    """Rate loads for many models that take turns at the places of the engines."""

    __slots__ = ()

    def load_cost_calls(
        self,
        load_s: float,
        needs_store: bool,
        is_held: bool,
        unavailable_s: float,
        mean_utilisation: float,
    ) -> float:
        """Return the cost of a load; a short one of a missing model is cheap.

        The rate of the store and the calls that evictions delay limit these loads. That
        of a further replica costs in proportion to the time for which it blocks its
        engine.
        """
        if not is_held and load_s <= longloads.LONG_LOAD_S:
            return LOAD_COST_CALLS
        cost_calls = super().load_cost_calls(
            load_s, needs_store, is_held, unavailable_s, mean_utilisation
        )
        if not needs_store:
            return cost_calls
        return cost_calls * min(1.0, load_s / modelplan.REDUCED_COST_AFTER_S)

    def missing_rate(
        self, demand: engineviews.DemandView, late_share: float, load_s: float
    ) -> float:
        """Return the rate of calls that gain from a load of a model nothing holds.

        Those that wait now gain, more if they can still be in time, and of those to
        come the ones that an eviction of the model would make late, so that a load
        never seems worth more than its undoing.
        """
        weight = modelplan.WAITING_CALL_RATE
        if load_s + ORDER_OVERHEAD_S <= demand.left_s:
            weight *= IN_TIME_FACTOR
        return demand.rate * late_share + weight * demand.waiting

    def resident_rate(self, rate: float, adapter_count: int) -> float:
        """Return the call rate that a resident model counts as."""
        return max(rate, ADAPTER_MODEL_RATE) if adapter_count else rate

    def first_in_centre_factor(self) -> float:
        """Return the factor for the gain of a model's first replica in a data centre.

        Replicas are spread over the data centres where that costs little.
        """
        return FIRST_IN_CENTRE_FACTOR

    def extra_replica_share(self, is_last_in_centre: bool) -> float:
        """Return the share of a model's calls that one of several replicas is worth."""
        if is_last_in_centre:
            return LAST_IN_CENTRE_SHARE
        return super().extra_replica_share(is_last_in_centre)


def load(alias: str) -> modelplan.SteadyPolicy:
    """Return the policy that is registered as ``alias``."""
    return PLACEMENT_POLICIES.get(alias)()
