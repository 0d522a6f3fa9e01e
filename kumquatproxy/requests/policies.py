"""Routing policies: the default ``estimate`` and the baselines for comparison."""

import zlib

from kumquatproxy import registry
from kumquatproxy.requests import estimates

POLICIES = registry.Registry("routing policy")
"""Policies by alias; each has ``pick(table, request, candidates, now, rng)``."""

# Power of two choices; with stale reports, larger samples cause herding.
SAMPLE_SIZE = 2
REMOTE_PENALTY_S = 0.05  # added to the estimate of a remote server
MAX_CACHE_DISCOUNT_SHARE = 0.2  # of the predicted time to first token without the cache
MAX_CACHE_DISCOUNT_S = 0.5
HASH_LOAD_BOUND = 1.25


@POLICIES.register("estimate")
class EstimatePolicy:
    """Sample servers and choose the one with the lowest estimated time to first token.

    The local data centre is preferred. A cached prompt prefix lowers the estimate by a
    bounded amount, so that a popular prefix does not overload one server.
    """

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        pool = candidates.pool
        local = self._best_of_sample(table, request, candidates, pool.local, now, rng)
        # A sample's best is (score_s, state, reason). No remote server can have a lower
        # score than the penalty, since estimates are not negative.
        if local is not None and local[0] <= REMOTE_PENALTY_S:
            return local[1], local[2]
        remote = self._best_of_sample(table, request, candidates, pool.remote, now, rng)
        if local is None and remote is None:
            return None
        if remote is None or (
            local is not None and local[0] <= remote[0] + REMOTE_PENALTY_S
        ):
            return local[1], local[2]
        return remote[1], "remote"

    def _best_of_sample(self, table, request, candidates, states, now, rng):
        if not states:
            return None
        sampled = candidates.sample(states, SAMPLE_SIZE, rng)
        if len(sampled) > 1:
            sampled = _filter_slow_start(sampled, now, rng)
        best = None
        for state in sampled:
            score_s = _score_s(table, request, state, now)
            if best is None or score_s < best[0]:
                best = (score_s, state, "estimate")
        return best


def _filter_slow_start(states, now, rng):
    eligible = [state for state in states if rng.random() < state.slow_start_share(now)]
    return eligible or states


def _score_s(table, request, state, now):
    speed = table.speed(state.server.service)
    load = table.load(state, now)
    factor = estimates.effective_time_factor(state.time_factor)
    uncached_s = speed.predict(request, load, 0.0, factor).first_token_s
    share = state.prefix_cache.cached_share(request.prefix_digests)
    discount_s = speed.prefill_s(share * request.prompt_tokens) * factor
    return uncached_s - min(
        discount_s, MAX_CACHE_DISCOUNT_SHARE * uncached_s, MAX_CACHE_DISCOUNT_S
    )


@POLICIES.register("random")
class RandomPolicy:
    """Choose a server uniformly at random."""

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        states = candidates.pool.local + candidates.pool.remote
        sampled = candidates.sample(states, 1, rng)
        return (sampled[0], "random") if sampled else None


@POLICIES.register("least-connections")
class LeastConnectionsPolicy:
    """Choose the server with the fewest requests of this host in flight."""

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        states = candidates.all_allowed(candidates.pool.local + candidates.pool.remote)
        if not states:
            return None
        fewest = min(len(state.in_flight_by_id) for state in states)
        ties = [state for state in states if len(state.in_flight_by_id) == fewest]
        return rng.choice(ties), "least-connections"


@POLICIES.register("round-robin")
class RoundRobinPolicy:
    """Choose the servers in turn."""

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        pool = candidates.pool
        states = pool.local + pool.remote
        for _ in states:
            state = states[pool.round_robin_count % len(states)]
            pool.round_robin_count += 1
            if candidates.allows(state):
                return state, "round-robin"
        return None


@POLICIES.register("bounded-hash")
class BoundedHashPolicy:
    """Hash the first block of the prompt to a server, with bounded load.

    A server is skipped once its load exceeds ``HASH_LOAD_BOUND`` times the mean. The
    policy is a baseline for the bounded cache discount of ``estimate``; it scans all
    servers.
    """

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        states = candidates.all_allowed(candidates.pool.local + candidates.pool.remote)
        if not states:
            return None
        loads = {state.backend_id: table.load(state, now) for state in states}
        limit = HASH_LOAD_BOUND * (sum(loads.values()) + 1.0) / len(states)
        key = request.prefix_digests[0] if request.prefix_digests else request.model
        states.sort(key=lambda state: zlib.crc32(f"{key} {state.backend_id}".encode()))
        for state in states:
            if loads[state.backend_id] + 1.0 <= limit:
                return state, "bounded-hash"
        return min(states, key=lambda state: loads[state.backend_id]), "bounded-hash"
