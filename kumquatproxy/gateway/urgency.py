"""How urgent a call is to an engine that cannot run all at once.

Load pattern: more calls reach an engine than its batch takes. The more urgent ones
run first; within a route, calls run in the order in which they came.
"""

from kumquatproxy.gateway import calls

# Level of the most urgent routes; engines take 0 to 9 and assume 5 without one.
FIRST_LEVEL = 3
LAST_LEVEL = 9


def level(call: calls.Call) -> int | None:
    """Return the level for a call to an engine, None for other calls."""
    if call.need is None:
        return None
    return min(LAST_LEVEL, FIRST_LEVEL + call.route.priority)
