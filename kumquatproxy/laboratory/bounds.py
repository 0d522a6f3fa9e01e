"""A clairvoyant upper bound on attainment for a trace."""

import math

GRID_OFFSETS = 4
HORIZON_AFTER_S = 30.0


def attainment_bound(trace, scenario, capacity, start, end) -> float:
    """Return a share that no placement and no routing can exceed.

    ``capacity`` is in request steps per second, all servers at full batches. The
    bound drops every constraint but these: a request needs its steps, with each
    prompt prefix that any earlier request had already cached; it has to be served
    between arrival and deadline, and is lost if even an idle engine were too slow;
    the steps of the served requests whose windows lie in an interval fit into the
    capacity of that interval. Requests may be served in fractions, so the shortest
    are served first. The intervals are dyadic and thus nested, which makes the
    greedy choice optimal; the least bound of several offsets is taken.
    """
    jobs = _job_windows(trace, scenario)
    in_period = [job for job in jobs if start <= job[1] < end]
    if not in_period:
        return 1.0
    feasible = [job for job in in_period if job[3]]
    length = max(job[2] for job in in_period) - start
    depth = max(1, math.ceil(math.log2(length)) + 1)
    span = 2.0**depth
    served = min(
        _count_served(
            feasible, capacity, start - span * offset / (2 * GRID_OFFSETS), depth
        )
        for offset in range(GRID_OFFSETS)
    )
    return served / len(in_period)


def _job_windows(trace, scenario):
    seen: set[str] = set()
    jobs = []
    speed = scenario.speed
    for job in trace.jobs:
        request = job.request
        digests = request.prefix_digests
        cached_count = sum(digest in seen for digest in digests)
        seen.update(digests)
        uncached_share = 1.0 - cached_count / len(digests) if digests else 1.0
        steps = (
            speed.prompt_steps(request.prompt_tokens * uncached_share) + job.tokens - 1
        )
        feasible = steps * speed.step_s(1) <= request.deadline - request.arrived_at
        jobs.append((steps, request.arrived_at, request.deadline, feasible))
    return jobs


def _count_served(jobs, capacity, origin, depth):
    remaining: dict[tuple[int, int], float] = {}
    served = 0.0
    for steps, arrived_at, deadline, _ in sorted(jobs):
        intervals = _intervals(arrived_at - origin, deadline - origin, depth)
        served_steps = float(steps)
        for level, index in intervals:
            served_steps = min(
                served_steps, remaining.get((level, index), capacity * 2.0**level)
            )
        if served_steps <= 0.0:
            continue
        for level, index in intervals:
            key = (level, index)
            remaining[key] = remaining.get(key, capacity * 2.0**level) - served_steps
        served += served_steps / steps
    return served


def _intervals(begin, end, depth):
    """Return the dyadic intervals that contain a window, as (level, index)."""
    containing = []
    for level in range(depth + 1):
        size = 2.0**level
        index = int(begin // size)
        if end <= (index + 1) * size:
            containing.append((level, index))
    return containing
