"""How urgent calls are at an engine."""

from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls, urgency


def call(priority=1, need=True):
    made = calls.Call(b"POST", b"/", "a", [], b"", 0.0)
    made.route = serviceconfig.Route(
        "r", "a", "/", calls.Mode.STREAM, [], 4.0, 0.8, priority
    )
    made.need = calls.ModelNeed("m") if need else None
    return made


def test_urgent_routes_go_first_at_an_engine():
    """A batch takes fewer calls than come; those of low priority wait."""
    levels = [urgency.level(call(priority=one)) for one in range(12)]
    assert levels == sorted(levels) and levels[0] == 3 and max(levels) == 9
    assert urgency.level(call(need=False)) is None
