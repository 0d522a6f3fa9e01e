"""Admission of long loads for rare and busy models."""

import pytest

from kumquatproxy.fleet import engineviews, longloads

RARE, BUSY = 0.2, 12.0
LOW, MIDDLE, HIGH = 0.1, 0.35, 0.6


def long_load(rate, **fields):
    demand_fields = {"waiting": 1, "unavailable_s": 0.0, "is_lasting": False}
    demand_fields |= {
        name: fields.pop(name) for name in list(fields) if name in demand_fields
    }
    demand = engineviews.DemandView(
        rate,
        rate * 0.1,
        demand_fields["waiting"],
        demand_fields["unavailable_s"],
        demand_fields["is_lasting"],
    )
    defaults = {
        "has_replica": False,
        "is_cached": True,
        "utilisation": 0.0,
        "mean_utilisation": HIGH,
        "in_progress": 0,
        "engine_count": 5,
    }
    return longloads.LongLoad(demand, **(defaults | fields))


@pytest.mark.parametrize(
    "rate, fields, may_start",
    [
        # A busy model that no engine holds is always loaded.
        (BUSY, {"in_progress": 4}, True),
        # More replicas only for lasting demand or at a high overload.
        (BUSY, {"has_replica": True, "utilisation": 0.9}, False),
        (BUSY, {"has_replica": True, "utilisation": 0.9, "is_lasting": True}, True),
        (BUSY, {"has_replica": True, "utilisation": 1.8}, False),
        # Above OVERLOAD_UTILISATION a replica is loaded even if demand is new, also
        # while another long load is in progress.
        (BUSY, {"has_replica": True, "utilisation": 2.2}, True),
        (BUSY, {"has_replica": True, "utilisation": 2.2, "in_progress": 1}, True),
        (BUSY, {"has_replica": True, "utilisation": 2.2, "in_progress": 2}, False),
        # Rare models: at little used engines, for many waiting calls, or after a
        # long wait.
        (RARE, {"mean_utilisation": LOW}, True),
        (RARE, {"mean_utilisation": MIDDLE}, False),
        (RARE, {"mean_utilisation": MIDDLE, "waiting": 4}, True),
        (RARE, {"mean_utilisation": HIGH, "waiting": 4}, False),
        (RARE, {"mean_utilisation": HIGH, "unavailable_s": 8.5}, True),
        (RARE, {"mean_utilisation": HIGH, "is_cached": False}, True),
        # Only one rare model at a time, whatever the reason.
        (RARE, {"mean_utilisation": LOW, "in_progress": 1}, False),
        (RARE, {"is_cached": False, "in_progress": 1}, False),
        (RARE, {"unavailable_s": 30.0, "in_progress": 1}, False),
    ],
)
def test_long_load_is_admitted_by_demand_and_utilisation(rate, fields, may_start):
    """Guards against engines that load for 8 s while demand shifts to other models."""
    assert longloads.may_start(long_load(rate, **fields)) == may_start
