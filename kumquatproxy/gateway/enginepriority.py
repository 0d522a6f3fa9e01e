"""Priority levels of calls in the queue of an engine.

When an engine gets more calls than fit into its batch, it runs those with the most
urgent level first. Calls of one route have the same level and run in order of arrival.
"""

from kumquatproxy.gateway import calls

# Levels used for routes. Engines accept 0 to 9, 0 being the most urgent, and assume 5
# if a request has no level.
MOST_URGENT_ROUTE_LEVEL = 3
LEAST_URGENT_ROUTE_LEVEL = 9


def level(call: calls.Call) -> int | None:
    """Return the priority level of a call to an engine, or None for other calls."""
    if call.need is None:
        return None
    return min(LEAST_URGENT_ROUTE_LEVEL, MOST_URGENT_ROUTE_LEVEL + call.priority)
