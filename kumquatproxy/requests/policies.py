"""Routing policies: the designed one and the baselines it is measured against."""

import zlib

from kumquatproxy import registry
from kumquatproxy.requests import estimates

POLICIES = registry.Registry("routing policy")
"""Policies by alias; each has ``pick(table, request, candidates, now, rng)``."""

SAMPLED = 2  # power of two choices: more choices on old reports herd
REMOTE_PENALTY_S = 0.05  # a remote server must be better by this much
MAX_AFFINITY_SHARE = 0.2  # of the request's first-token estimate without the cache
MAX_AFFINITY_S = 0.5
HASH_BOUND = 1.25


@POLICIES.register("estimate")
class EstimatePolicy:
    """Least expected time to first token of two random servers.

    Own data centre first; a cached prefix lowers the estimate by a bounded amount.
    """

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        pool = candidates.pool
        local = self._best(table, request, candidates, pool.local, now, rng)
        if local is not None and local[0] <= REMOTE_PENALTY_S:
            return local[1], local[2]
        remote = self._best(table, request, candidates, pool.remote, now, rng)
        if local is None and remote is None:
            return None
        if remote is None or (
            local is not None and local[0] <= remote[0] + REMOTE_PENALTY_S
        ):
            return local[1], local[2]
        return remote[1], "remote"

    def _best(self, table, request, candidates, states, now, rng):
        if not states:
            return None
        sampled = candidates.sample(states, SAMPLED, rng)
        if len(sampled) > 1:
            sampled = _slow_start(sampled, now, rng)
        best = None
        for state in sampled:
            score = _score(table, request, state, now)
            if best is None or score < best[0]:
                best = (score, state, "estimate")
        return best


def _slow_start(states, now, rng):
    kept = [state for state in states if rng.random() < state.slow_start_share(now)]
    return kept or states


def _score(table, request, state, now):
    speed = table.speed(state.server.service)
    load = table.load(state, now)
    factor = estimates.applied_factor(state.factor)
    plain = speed.predict(request, load, 0.0, factor).first_token_s
    share = state.prefix_knowledge.cached_share(request.prefix_digests)
    discount_s = speed.prefill_s(share * request.prompt_tokens) * factor
    return plain - min(discount_s, MAX_AFFINITY_SHARE * plain, MAX_AFFINITY_S)


@POLICIES.register("random")
class RandomPolicy:
    """Choose any server with the item."""

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        states = candidates.pool.local + candidates.pool.remote
        drawn = candidates.sample(states, 1, rng)
        return (drawn[0], "random") if drawn else None


@POLICIES.register("least-connections")
class LeastConnectionsPolicy:
    """Choose the server with the fewest own requests in flight."""

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        states = candidates.everyone(candidates.pool.local + candidates.pool.remote)
        if not states:
            return None
        fewest = min(len(state.in_flight_by_id) for state in states)
        ties = [state for state in states if len(state.in_flight_by_id) == fewest]
        return rng.choice(ties), "least-connections"


@POLICIES.register("round-robin")
class RoundRobinPolicy:
    """Take the servers in turn."""

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        pool = candidates.pool
        states = pool.local + pool.remote
        for _ in states:
            state = states[pool.turn % len(states)]
            pool.turn += 1
            if candidates.allows(state):
                return state, "round-robin"
        return None


@POLICIES.register("bounded-hash")
class BoundedHashPolicy:
    """Consistent hashing of the prompt's first block, with bounded loads.

    A server takes requests until its load exceeds the mean by ``HASH_BOUND``; it was
    measured against the bounded discount of ``estimate`` and looks at every server.
    """

    __slots__ = ()

    def pick(self, table, request, candidates, now, rng):
        """Return the chosen server and the reason, or None."""
        states = candidates.everyone(candidates.pool.local + candidates.pool.remote)
        if not states:
            return None
        loads = {state.backend_id: table.load(state, now) for state in states}
        limit = HASH_BOUND * (sum(loads.values()) + 1.0) / len(states)
        key = request.prefix_digests[0] if request.prefix_digests else request.model
        states.sort(key=lambda state: zlib.crc32(f"{key} {state.backend_id}".encode()))
        for state in states:
            if loads[state.backend_id] + 1.0 <= limit:
                return state, "bounded-hash"
        return min(states, key=lambda state: loads[state.backend_id]), "bounded-hash"
