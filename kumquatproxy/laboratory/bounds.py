"""Upper bound on the attainment of a trace, computed with full knowledge of it."""

import math

GRID_OFFSETS = 4
HORIZON_AFTER_S = 30.0


def attainment_bound(trace, scenario, capacity, start, end) -> float:
    """Return an upper bound on attainment under any placement and routing.

    ``capacity`` is in request steps per second with full batches on all servers. The
    bound is a relaxation that keeps three constraints: a request needs its steps,
    except for prompt prefixes cached by any earlier request; it is served between
    arrival and deadline, and is lost if even an idle engine would be too slow; the
    steps of served requests whose windows lie in an interval fit into the capacity
    of that interval. Requests may be served in fractions, shortest first. The
    intervals are dyadic and therefore nested, which makes this greedy choice optimal.
    The bound is the lowest one over several offsets of the intervals.
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
            speed.prompt_steps(request.prompt_tokens * uncached_share)
            + job.response_tokens
            - 1
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
    """Return the dyadic intervals that contain a time window, as (level, index)."""
    containing = []
    for level in range(depth + 1):
        size = 2.0**level
        index = int(begin // size)
        if end <= (index + 1) * size:
            containing.append((level, index))
    return containing
