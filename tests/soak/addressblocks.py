"""Blocks of loopback addresses, ``127.BLOCK.x.y``, for tests that run side by side.

The blocks of a user follow those of the user before it, so no two can share one.
"""

FIRST_BLOCK, LAST_BLOCK = 10, 254
# Several blocks are for runs with different seeds or variants.
COUNT_BY_USER = {
    "soak": 200,
    "starvedfleet": 23,
    "test_brittlefleet": 1,
    "test_crashingprompts": 1,
    "test_cuthosts": 3,
    "test_cutlinks": 1,
    "test_faultyservers": 1,
    "test_limitedservers": 1,
    "test_lowversions": 1,
    "test_memory": 1,
    "test_oddentries": 1,
    "test_pausedservers": 1,
    "test_plannedstops": 1,
    "test_rejoinedstreams": 1,
    "test_releases": 1,
    "test_resubmission": 1,
    "test_restartedcontrols": 1,
    "test_starts": 1,
    "test_streamresumption": 1,
}


def find_block(user: str, number: int = 0) -> int:
    """Return the block of a user for a seed or variant."""
    users = list(COUNT_BY_USER)
    earlier = users[: users.index(user)]
    first = FIRST_BLOCK + sum(COUNT_BY_USER[name] for name in earlier)
    return first + number % COUNT_BY_USER[user]
