"""Selection of the server at which a call is predicted to finish first.

The load it answers: requests that look alike and cost very different amounts of work,
engines and machines of different and changing speed, engines whose memory ends before
their places do, and a few servers that more than a hundred hosts choose from with load
reports older than the calls that they count.
"""

import math

from kumquatproxy.gateway import calls, serverselection, serverwork

ALIAS = "hard"
# Assumed until it is learned: the part of the time to the first event that does not
# depend on the prompt, and the time of a decoding step.
FIRST_EVENT_S = 0.03
STEP_S = 0.012
# Mean age of a push of the load by other hosts when it arrives.
PUSH_LAG_S = 0.25
# Assumed time that a call stays at an engine.
ENGINE_CALL_DURATION_S = 1.0
# Least delay at an engine whose places or memory are used up, as a share of the call's
# latency objective: preempted calls are prefilled anew.
BLOCKED_SHARE = 0.5
DEFAULT_OBJECTIVE_S = 1.0  # of routes that state none
# A call leaves its data centre only for a gain of this share of its objective.
MOVE_GAIN_SHARE = 0.1
# Share of an observed time that is taken for work, however long the predicted wait.
MIN_WORK_SHARE = 0.25
MEAN_WEIGHT = 0.05


class ServiceMeans:
    """Hold moving averages of the calls to the engines of a service."""

    __slots__ = ("duration_s", "memory_tokens", "prefill_tokens")

    def __init__(self, memory_tokens: float, prefill_tokens: float):
        self.duration_s = ENGINE_CALL_DURATION_S
        self.memory_tokens: float = memory_tokens
        self.prefill_tokens: float = prefill_tokens

    def observe_start(self, memory_tokens: float, prefill_tokens: float) -> None:
        """Count a call that is sent."""
        self.memory_tokens += MEAN_WEIGHT * (memory_tokens - self.memory_tokens)
        self.prefill_tokens += MEAN_WEIGHT * (prefill_tokens - self.prefill_tokens)

    def observe_duration(self, duration_s: float) -> None:
        """Count a call that has ended."""
        self.duration_s += MEAN_WEIGHT * (duration_s - self.duration_s)


@serverselection.SELECTION_POLICIES.register(ALIAS)
class FinishPolicy(serverselection.SteadyPolicy):
    """Predict with learned speeds and select among servers that can't be told apart."""

    def __init__(self, data_centre, prefix_cache, local_share=0.0):
        super().__init__(data_centre, prefix_cache, local_share)
        self._local_share: float = local_share
        # By (service,) and (service, model):
        self._prefill_factors = serverwork.KindFactors()
        self._gap_factors = serverwork.KindFactors()
        # By (route,) and (route, model with adapter):
        self._output_factors = serverwork.KindFactors()
        # By (service,) and (service, route), of calls without an engine:
        self._duration_factors = serverwork.KindFactors()
        self._means_by_service: dict[str, ServiceMeans] = {}
        self._spill_count = 0
        self._avoided_count = 0

    # Prediction

    def candidate(self, call, service, announcement, view, now):
        """Return a server that can serve a call, with its predicted delay."""
        if service.engine is None or call.need is None:
            estimate = self._estimate_plain(call, announcement, view, now)
        else:
            estimate = self._estimate_engine(
                call, service.engine, announcement, view, now
            )
        objective_s = call.route.objective_s or DEFAULT_OBJECTIVE_S
        delay_s = estimate.ahead_s + estimate.own_s
        delay_s += view.health.failure_rate * serverselection.FAILURE_PENALTY_S
        if estimate.is_blocked:
            delay_s += BLOCKED_SHARE * objective_s
        is_local = announcement.data_centre == self._data_centre
        if not is_local:
            delay_s += serverselection.REMOTE_PENALTY_S
        # A late finish is worse than a late begin elsewhere.
        delay_s += max(0.0, now + estimate.finish_s - call.deadline)
        left_s = max(0.0, objective_s - (now - call.arrived_at) - estimate.own_s)
        stay_s = estimate.own_s + self._local_share * left_s
        return serverselection.Candidate(
            announcement, delay_s, is_local, estimate, stay_s, MOVE_GAIN_SHARE * left_s
        )

    def _estimate_engine(self, call, engine, announcement, view, now):
        need = call.need
        work = view.work
        uncached_tokens = self._uncached_tokens(call, announcement)
        means = self._means(call)
        service_factor = self._prefill_factors.value((call.service,), now)
        speed = service_factor * work.prefill.value(now)  # above 1 if slow
        token_s = speed / serverselection.DEFAULT_PREFILL_TOKENS_PER_S
        model_factor = self._prefill_factors.value((call.service, need.model), now)
        own_s = FIRST_EVENT_S * speed + uncached_tokens * model_factor * token_s
        others, _ = work.calls.estimate(means.duration_s, now)
        # Reported tokens are prefilled in the time that they take.
        drain_s = max(PUSH_LAG_S, work.tokens.reported * token_s)
        other_tokens, unknown_tokens = work.tokens.estimate(drain_s, now)
        running = len(view.in_flight_calls) + others
        ahead_s = (view.own_prefill_tokens() + other_tokens) * token_s
        ahead_s += running * serverselection.DELAY_PER_RUNNING_CALL_S * speed
        blocked_s = self._blocked_s(call, engine, view, uncached_tokens, running, now)
        spread_s = math.sqrt(unknown_tokens * means.prefill_tokens) * token_s
        pace = work.pace(ahead_s + own_s, now)
        ahead_s, own_s = ahead_s * pace, own_s * pace
        event_s = self._event_s(call, engine, now) * work.gap.value(now)
        event_count = self._output_tokens(call, now) / max(1, engine.tokens_per_event)
        first_s = ahead_s + blocked_s + own_s
        return serverwork.Estimate(
            ahead_s + blocked_s,
            own_s,
            first_s + event_count * event_s,
            spread_s,
            blocked_s > 0.0,
        )

    def _blocked_s(self, call, engine, view, uncached_tokens, running, now):
        """Return the wait for a place and for memory at an engine, 0 if it has both."""
        means = self._means(call)
        blocked_s = 0.0
        slots = max(1, engine.batch_slots)
        if running >= slots:
            excess = running + 1.0 - slots
            blocked_s = excess / slots * means.duration_s
        if engine.token_capacity:
            others = max(0.0, running - len(view.in_flight_calls))
            held = others * means.memory_tokens
            held += sum(sent.memory_tokens for sent in view.in_flight_calls)
            needed = held + uncached_tokens + self._output_tokens(call, now)
            excess = needed - engine.token_capacity
            if excess > 0.0 and held > 0.0:
                blocked_s = max(blocked_s, min(1.0, excess / held) * means.duration_s)
        return blocked_s

    def _event_s(self, call, engine, now):
        key = (call.service, call.need.model)
        return (
            STEP_S
            * max(1, engine.tokens_per_event)
            * self._gap_factors.value(key[:1], now)
            * self._gap_factors.value(key, now)
        )

    def _output_tokens(self, call, now):
        need = call.need
        tokens = need.expected_output_tokens
        tokens *= self._output_factors.value((call.route.name,), now)
        tokens *= self._output_factors.value((call.route.name, need.key()), now)
        return min(tokens, need.max_output_tokens or tokens)

    def _estimate_plain(self, call, announcement, view, now):
        work = view.work
        key = (call.service, call.route.name)
        own_s = (
            serverselection.ENGINELESS_CALL_DURATION_S
            * self._duration_factors.value(key[:1], now)
            * self._duration_factors.value(key, now)
            * work.duration.value(now)
        )
        own_s *= work.pace(own_s, now)
        slots = max(1, view.load.slots if view.load else announcement.slots)
        # A queue lasts until its calls are served.
        turnover_s = own_s * max(1.0, work.calls.reported / slots)
        others, unknown = work.calls.estimate(turnover_s, now)
        excess = len(view.in_flight_calls) + others + 1.0 - slots
        # Arrivals of many hosts are Poisson distributed.
        deviation = math.sqrt(unknown)
        ahead_s = _expected_excess(excess, deviation) * own_s / slots
        spread_s = deviation * own_s / slots
        return serverwork.Estimate(ahead_s, own_s, ahead_s + own_s, spread_s)

    def _means(self, call):
        means = self._means_by_service.get(call.service)
        if means is None:
            need = call.need
            memory_tokens = need.prompt_tokens + need.expected_output_tokens
            means = ServiceMeans(memory_tokens, need.prompt_tokens)
            self._means_by_service[call.service] = means
        return means

    # Choice

    def select(self, candidates, rng):
        """Return one of some candidates, which are sorted by delay."""
        best = candidates[0]
        local = [candidate for candidate in candidates if candidate.is_local]
        eligible, reason = candidates, "least"
        if local and self._stays(local[0], best):
            eligible, reason = local, "local"
        limit_s = eligible[0].delay_s + serverselection.EQUIVALENCE_MARGIN_S
        limit_s += eligible[0].estimate.spread_s
        equivalent = [
            candidate for candidate in eligible if candidate.delay_s <= limit_s
        ]
        choice = rng.choice(equivalent)
        if local and not choice.is_local:
            self._spill_count += 1
            reason = "spilled"
        if not choice.estimate.is_blocked:
            self._avoided_count += any(
                candidate.estimate.is_blocked for candidate in candidates
            )
        choice.reason = reason
        return choice

    def _stays(self, local, best):
        """Return whether a call stays at the best server of its data centre."""
        is_good_enough = local.delay_s <= local.stay_s
        return is_good_enough or local.delay_s - best.delay_s <= local.move_gain_s

    # Learning

    def in_flight_call(self, call, announcement, now):
        """Return the record of a call that is sent to a server.

        Its tokens count by the work they take: those of a small model take less.
        """
        sent = super().in_flight_call(call, announcement, now)
        if call.need is None:
            return sent
        output_tokens = self._output_tokens(call, now)
        sent.memory_tokens = round(sent.uncached_prompt_tokens + output_tokens)
        key = (call.service, call.need.model)
        factor = self._prefill_factors.value(key, now)
        sent.uncached_prompt_tokens = round(sent.uncached_prompt_tokens * factor)
        self._means(call).observe_start(sent.memory_tokens, sent.uncached_prompt_tokens)
        return sent

    def record_load(self, view, load: calls.ServerLoad, now):
        """Learn from the load that a server has reported with an answer."""
        view.work.record_load(load, len(view.in_flight_calls), now)

    def record_other_hosts(self, view, now):
        """Learn from a push of the load by other hosts."""
        view.work.calls.report(view.other_host_calls, now - PUSH_LAG_S)
        view.work.tokens.report(view.other_host_tokens, now - PUSH_LAG_S)

    def record_first_event(self, call, attempt, view, now):
        """Learn the speed of prefill from the first event of a stream."""
        estimate = _estimate(attempt)
        if estimate is None or call.need is None or estimate.is_blocked:
            return
        kind = self._prefill_factors
        observed_s = now - attempt.sent_at
        expected_s = estimate.ahead_s + estimate.own_s
        factors: list[tuple] = [(kind, (call.service,))]
        if estimate.ahead_s < estimate.own_s:
            factors.append((kind, (call.service, call.need.model)))
        _learn(factors, view.work.prefill, observed_s / expected_s, now)

    def record_answer(self, call, attempt, view, service, now):
        """Learn from a complete response: its length, and how long it took.

        Errors are no work: a server that fails at once is not a fast one.
        """
        estimate = _estimate(attempt)
        if estimate is None or attempt.head.status >= calls.MIN_SERVER_ERROR_STATUS:
            return
        duration_s = now - attempt.sent_at
        if call.need is None or service.engine is None:
            work_s = max(MIN_WORK_SHARE * duration_s, duration_s - estimate.ahead_s)
            key = (call.service, call.route.name)
            kinds = [(self._duration_factors, key[:1]), (self._duration_factors, key)]
            _learn(kinds, view.work.duration, work_s / estimate.own_s, now)
            return
        if attempt.first_event_at is None:
            return
        self._means(call).observe_duration(duration_s)
        if call.last_event_id:
            return
        tokens = attempt.event_count * max(1, service.engine.tokens_per_event)
        key = (call.route.name, call.need.key())
        kinds = [(self._output_factors, key[:1]), (self._output_factors, key)]
        _learn(kinds, None, tokens / max(1.0, self._output_tokens(call, now)), now)
        if attempt.event_count > 1:
            event_s = (now - attempt.first_event_at) / (attempt.event_count - 1)
            expected_s = self._event_s(call, service.engine, now)
            expected_s *= view.work.gap.value(now)
            key = (call.service, call.need.model)
            kinds = [(self._gap_factors, key[:1]), (self._gap_factors, key)]
            _learn(kinds, view.work.gap, event_s / expected_s, now)

    def gauges(self, views, now):
        """Return the gauges of the policy by name."""
        factors = (
            self._prefill_factors,
            self._output_factors,
            self._duration_factors,
            self._gap_factors,
        )
        return {
            "selection.learned_servers": sum(
                view.work.is_learned(now) for view in views
            ),
            "selection.learned_kinds": sum(len(kind) for kind in factors),
            "selection.spilled": self._spill_count,
            "selection.avoided_blocked": self._avoided_count,
        }


def _learn(kinds, server_factor, ratio, now):
    """Divide the ratio of an observed to a predicted value among factors.

    Each one learns from what those before it, of more calls, leave unexplained.
    """
    for factors, key in kinds:
        before = factors.value(key, now)
        factors.observe(key, before * ratio, now)
        ratio *= before / factors.value(key, now)
    if server_factor is not None:
        server_factor.observe(server_factor.value(now) * ratio, now)


def _estimate(attempt):
    return attempt.choice.estimate if attempt.choice is not None else None


def _expected_excess(mean, deviation):
    """Return the mean of the positive part of a normally distributed number."""
    if deviation <= 1e-9:
        return max(0.0, mean)
    score = mean / deviation
    density = math.exp(-score * score / 2.0) / math.sqrt(2.0 * math.pi)
    return mean * 0.5 * (1.0 + math.erf(score / math.sqrt(2.0))) + deviation * density
