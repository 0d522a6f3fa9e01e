"""Simulation of hedged requests: a late first token triggers a second attempt."""

from kumquatproxy import records
from kumquatproxy.laboratory import loadmodel, simulation
from kumquatproxy.requests import estimates, retries

COPY_SUFFIX = "~2"


class HedgedSimulation(simulation.Simulation):
    """Simulation that sends a request to a second server if the first token is late.

    The attempt that delivers the first token continues, and the other is cancelled.
    """

    def __init__(self, scenario, system, trace, seed, faults=()):
        super().__init__(scenario, system, trace, seed, faults)
        self._delays = {id(host): retries.HedgeDelay() for host in self.hosts}
        self._paired_calls_by_id: dict[str, simulation.Call] = {}
        # Copies that delivered the first token, for which the original is cancelled.
        self._chosen_copy_ids: set[str] = set()
        self.hedges: int = 0

    def _send(self, call, backend_id, priority):
        super()._send(call, backend_id, priority)
        request = call.job.request
        delay_s = self._delays[id(call.host)].delay_s(request)
        is_copy = request.request_id.endswith(COPY_SUFFIX)
        if delay_s is not None and not is_copy and call.attempts.count == 1:
            self._schedule_at(self.now + delay_s, self._hedge, call, backend_id)

    def _hedge(self, call, backend_id):
        request = call.job.request
        is_waiting = not call.done and call.first_at is None
        if not is_waiting or call.backend_id != backend_id:
            return
        if not call.host.budget.allows_retry(request.service):
            return
        hedge_call = simulation.Call(_copy_job(call.job), call.host)
        hedge_call.attempts.tried_ids.add(backend_id)
        excluded_ids = hedge_call.attempts.tried_ids | call.host.breakers.excluded_ids(
            self.now
        )
        decision = call.host.table.choose(
            request, call.job.items, excluded_ids, self.now, call.host.rng
        )
        if not hasattr(decision, "backend_id"):
            return
        call.host.budget.spend(request.service)
        self.hedges += 1
        self._calls[hedge_call.job.request.request_id] = hedge_call
        self._paired_calls_by_id[hedge_call.job.request.request_id] = call
        self._paired_calls_by_id[request.request_id] = hedge_call
        self._schedule_at(request.deadline, self._abandon, hedge_call)
        self._send(hedge_call, decision.backend_id, request.priority)

    def _first_token(self, call, at):
        super()._first_token(call, at)
        request = call.job.request
        self._delays[id(call.host)].observe(request, at - call.sent_at)
        paired_call = self._paired_calls_by_id.pop(request.request_id, None)
        if paired_call is None:
            return
        self._paired_calls_by_id.pop(paired_call.job.request.request_id, None)
        if request.request_id.endswith(COPY_SUFFIX):
            self._chosen_copy_ids.add(request.request_id)
            original = paired_call.job.request
            self.result.first_token_s.setdefault(
                original.request_id, at - original.arrived_at
            )
        # The engine of this call is being advanced, so the other attempt is
        # cancelled by a separate event.
        self._schedule_at(self.now, self._cancel, paired_call)

    def _cancel(self, call):
        if call.done or not call.backend_id:
            return
        call.done = True
        engine = self.engines[call.backend_id]
        if engine.alive:
            self._advance(engine)
            engine.cancel(call.job.request.request_id)
            self._schedule_wake(engine)
        if call.backend_id:
            self._finish_attempt(call, estimates.Outcome("abandoned"))

    def _handle_failure(self, call, failure):
        request_id = call.job.request.request_id
        # ``first_at`` belongs to the current attempt, so it is None again for a chosen
        # copy that was resumed.
        is_unchosen_copy = (
            request_id.endswith(COPY_SUFFIX) and request_id not in self._chosen_copy_ids
        )
        if is_unchosen_copy and not call.done and call.backend_id:
            # The original attempt continues; only it is retried.
            self._finish_attempt(call, estimates.Outcome("failed"))
            call.done = True
            return
        super()._handle_failure(call, failure)

    def _record_end(self, call, how):
        request_id = call.job.request.request_id
        original_id = request_id.removesuffix(COPY_SUFFIX)
        call.done = True
        is_copy = request_id != original_id
        if is_copy and how != "on-time" and not self._calls[original_id].done:
            return
        self.result.outcomes_by_id.setdefault(original_id, how)
        paired_call = self._paired_calls_by_id.pop(request_id, None)
        if paired_call is not None:
            self._schedule_at(self.now, self._cancel, paired_call)


def _copy_job(job):
    request = job.request
    fields = {name: getattr(request, name) for name in records.CallRequest.__slots__}
    fields["request_id"] += COPY_SUFFIX
    return loadmodel.Job(records.CallRequest(**fields), job.items, job.response_tokens)
