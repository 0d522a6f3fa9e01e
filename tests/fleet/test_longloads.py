"""Long loads: for what lasts, for what is served nowhere, for the first copy."""

import pytest

from kumquatproxy.fleet import engineviews, longloads

RARE, BUSY = 0.2, 12.0
CALM, MIDDLE, FULL = 0.1, 0.35, 0.6


def case(rate, **fields):
    load_fields = {"waiting": 1, "missing_s": 0.0, "lasts": False}
    load_fields |= {
        name: fields.pop(name) for name in list(fields) if name in load_fields
    }
    load = engineviews.Load(
        rate,
        rate * 0.1,
        load_fields["waiting"],
        load_fields["missing_s"],
        load_fields["lasts"],
    )
    known = {
        "has_replica": False,
        "has_copy": True,
        "level": 0.0,
        "mean_level": FULL,
        "under_way": 0,
        "engine_count": 5,
    }
    return longloads.Case(load, **(known | fields))


@pytest.mark.parametrize(
    "rate, fields, may_begin",
    [
        # A busy model that nobody serves goes before anything else.
        (BUSY, {"under_way": 4}, True),
        # Further replicas only for demand that lasts, or far beyond full load.
        (BUSY, {"has_replica": True, "level": 0.9}, False),
        (BUSY, {"has_replica": True, "level": 0.9, "lasts": True}, True),
        (BUSY, {"has_replica": True, "level": 1.8}, False),
        # trouble-3: one engine held a model of 2.4 engines' work for 15 s, while a
        # missing model was loaded elsewhere.
        (BUSY, {"has_replica": True, "level": 2.2}, True),
        (BUSY, {"has_replica": True, "level": 2.2, "under_way": 1}, True),
        (BUSY, {"has_replica": True, "level": 2.2, "under_way": 2}, False),
        # Rare models: when there is time for them, or many wait, or for very long.
        (RARE, {"mean_level": CALM}, True),
        (RARE, {"mean_level": MIDDLE}, False),
        (RARE, {"mean_level": MIDDLE, "waiting": 4}, True),
        (RARE, {"mean_level": FULL, "waiting": 4}, False),
        (RARE, {"mean_level": FULL, "missing_s": 8.5}, True),
        (RARE, {"mean_level": FULL, "has_copy": False}, True),
        # One at a time, whatever the reason.
        (RARE, {"mean_level": CALM, "under_way": 1}, False),
        (RARE, {"has_copy": False, "under_way": 1}, False),
        (RARE, {"missing_s": 30.0, "under_way": 1}, False),
    ],
)
def test_long_loads(rate, fields, may_begin):
    """Guards against engines that load for 8 s while demand moves elsewhere."""
    assert longloads.may_begin(case(rate, **fields)) == may_begin
