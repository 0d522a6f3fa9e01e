"""Simulated runs in which a late first token leads to a second attempt."""

from kumquatproxy import records
from kumquatproxy.laboratory import loadmodel, simulation
from kumquatproxy.requests import estimates, retries

COPY_SUFFIX = "~2"


class HedgedSimulation(simulation.Simulation):
    """Send a request to a second server when its first token is late.

    The attempt that yields the first token goes on, and the other is cancelled.
    """

    def __init__(self, scenario, system, trace, seed, faults=()):
        super().__init__(scenario, system, trace, seed, faults)
        self._delays = {id(host): retries.HedgeDelay() for host in self.hosts}
        self._partners: dict[str, simulation.Call] = {}
        self.hedges: int = 0

    def _send(self, call, backend_id, priority):
        super()._send(call, backend_id, priority)
        request = call.job.request
        delay_s = self._delays[id(call.host)].delay_s(request)
        is_copy = request.request_id.endswith(COPY_SUFFIX)
        if delay_s is not None and not is_copy and call.attempts.count == 1:
            self._at(self.now + delay_s, self._hedge, call, backend_id)

    def _hedge(self, call, backend_id):
        request = call.job.request
        waiting = not call.done and call.first_at is None
        if not waiting or call.backend_id != backend_id:
            return
        if not call.host.budget.available(request.service):
            return
        copy = simulation.Call(_copy(call.job), call.host)
        copy.attempts.tried_ids.add(backend_id)
        excluded = copy.attempts.tried_ids | call.host.breakers.excluded_ids(self.now)
        decision = call.host.table.choose(
            request, call.job.items, excluded, self.now, call.host.rng
        )
        if not hasattr(decision, "backend_id"):
            return
        call.host.budget.spend(request.service)
        self.hedges += 1
        self._calls[copy.job.request.request_id] = copy
        self._partners[copy.job.request.request_id] = call
        self._partners[request.request_id] = copy
        self._at(request.deadline, self._give_up, copy)
        self._send(copy, decision.backend_id, request.priority)

    def _first_token(self, call, at):
        super()._first_token(call, at)
        request = call.job.request
        self._delays[id(call.host)].observe(request, at - call.sent_at)
        other = self._partners.pop(request.request_id, None)
        if other is None:
            return
        self._partners.pop(other.job.request.request_id, None)
        if request.request_id.endswith(COPY_SUFFIX):
            original = other.job.request
            self.result.first_token_s.setdefault(
                original.request_id, at - original.arrived_at
            )
        # The engine of this call is being advanced, so the other attempt is
        # cancelled by an event of its own.
        self._at(self.now, self._cancel, other)

    def _cancel(self, call):
        if call.done or not call.backend_id:
            return
        call.done = True
        engine = self.engines[call.backend_id]
        if engine.alive:
            self._advance(engine)
            engine.cancel(call.job.request.request_id)
            self._schedule(engine)
        if call.backend_id:
            self._finish_attempt(call, estimates.Outcome("abandoned"))

    def _failed(self, call, failure):
        is_copy = call.job.request.request_id.endswith(COPY_SUFFIX)
        if is_copy and call.first_at is None and not call.done and call.backend_id:
            # The first attempt goes on, and only it is retried.
            self._finish_attempt(call, estimates.Outcome("failed"))
            call.done = True
            return
        super()._failed(call, failure)

    def _end(self, call, how):
        request_id = call.job.request.request_id
        original_id = request_id.removesuffix(COPY_SUFFIX)
        call.done = True
        is_copy = request_id != original_id
        if is_copy and how != "on-time" and not self._calls[original_id].done:
            return
        self.result.ends.setdefault(original_id, how)
        partner = self._partners.pop(request_id, None)
        if partner is not None:
            self._at(self.now, self._cancel, partner)


def _copy(job):
    request = job.request
    fields = {name: getattr(request, name) for name in records.CallRequest.__slots__}
    fields["request_id"] += COPY_SUFFIX
    return loadmodel.Job(records.CallRequest(**fields), job.items, job.tokens)
