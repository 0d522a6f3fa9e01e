"""Engines of the fleet model: batched requests, loaded models and cached weights."""

from kumquatproxy.gateway import calls, serverselection, urgency, waiting

CHUNK_TOKENS = 2048  # maximum prompt tokens processed in one step


class Job:
    """Progress and outcome of one request."""

    __slots__ = (
        "arrived_at",
        "call",
        "ended_at",
        "engine",
        "first_token_at",
        "kind",
        "level",
        "model",
        "prompt_tokens",
        "refusals",
        "remaining_output_tokens",
        "remaining_prompt_tokens",
        "wait_policy",
    )

    def __init__(self, kind, model, prompt_tokens, output_tokens, now):
        self.kind = kind
        self.model: str = model
        self.prompt_tokens: int = prompt_tokens
        self.remaining_prompt_tokens: float = prompt_tokens
        self.remaining_output_tokens: int = output_tokens
        self.arrived_at: float = now
        self.first_token_at: float | None = None
        self.ended_at: float | None = None
        self.engine: Engine | None = None
        self.level: int | None = None  # at the engine
        self.refusals = 0
        self.wait_policy: waiting.WaitPolicy | None = None
        self.call = calls.Call(b"POST", b"/", "host", [], b"", now)
        self.call.route = kind.route
        self.call.need = calls.ModelNeed(model, prompt_tokens=prompt_tokens)
        self.call.deadline = now + kind.deadline_s

    def value(self) -> float:
        """Return the value of the answer to the caller, which falls with latency."""
        if self.ended_at is None or self.first_token_at is None:
            return 0.0
        if self.ended_at > self.call.deadline:
            return 0.0
        in_time = self.first_token_at - self.arrived_at <= self.kind.route.objective_s
        return self.kind.value if in_time else self.kind.late_value


class Engine:
    """Simulated fleet engine that runs requests in batched steps and holds models."""

    def __init__(self, instance_id, scenario, models, on_disk):
        self.instance_id: str = instance_id
        self.loaded_models: set[str] = set(models)
        self.on_disk: list[str] = list(on_disk)  # least recently loaded first
        self.in_memory: list[str] = list(models)
        self.loaded_at_by_model: dict[str, float] = {}
        self.loading = ""
        self.loading_until = 0.0
        self.unloading: set[str] = set()
        self.has_open_order = False
        self.jobs: list[Job] = []  # in order of arrival
        self.is_stepping = False
        self.is_discovered = True
        self.incarnation = 0
        self.models_with_cached_prefix: set[str] = set()
        self._scenario = scenario

    def crash(self) -> list[Job]:
        """Clear models, copies in memory and requests; return the interrupted requests.

        Copies on disk and the times of earlier loads stay.
        """
        lost, self.jobs = self.jobs, []
        self.is_discovered = False
        self.incarnation += 1
        self.loaded_models = set()
        self.in_memory = []
        self.loading = ""
        self.unloading = set()
        self.has_open_order = False
        self.is_stepping = False
        self.models_with_cached_prefix = set()
        return lost

    def pending_prompt_tokens(self) -> float:
        """Return the number of prompt tokens that are not processed yet."""
        return sum(job.remaining_prompt_tokens for job in self.jobs)

    def predicted_delay_s(self) -> float:
        """Return the predicted time to the first event of an additional call."""
        return serverselection.prefill_delay_s(
            self.pending_prompt_tokens(), len(self.jobs)
        )

    def outlook(self, call, near_level: int) -> urgency.Outlook:
        """Return what an additional call can expect, with all work known exactly."""
        near_tokens = sum(
            job.remaining_prompt_tokens
            for job in self.jobs
            if (job.level or 0) <= near_level
        )
        ahead_s = serverselection.prefill_delay_s(near_tokens, 0)
        all_ahead_s = serverselection.prefill_delay_s(self.pending_prompt_tokens(), 0)
        taken_share = len(self.jobs) / self._scenario.slots
        own_s = serverselection.prefill_delay_s(call.need.prompt_tokens, len(self.jobs))
        return urgency.Outlook(ahead_s, all_ahead_s, own_s, taken_share)

    def step(self, now: float) -> tuple[float, list[Job]]:
        """Start a step; return its end time and the requests that get a token."""
        scenario = self._scenario
        running = sorted(self.jobs, key=_rank)[: scenario.slots]
        decoding = [job for job in running if job.remaining_prompt_tokens <= 0]
        prefill_s = 0.0
        token_budget = float(CHUNK_TOKENS)
        prefilling = sorted(
            (job for job in running if job.remaining_prompt_tokens > 0),
            key=lambda job: (_rank(job), job.kind.route.priority),
        )
        for job in prefilling:
            chunk_tokens = min(token_budget, job.remaining_prompt_tokens)
            if chunk_tokens <= 0:
                break
            job.remaining_prompt_tokens -= chunk_tokens
            token_budget -= chunk_tokens
            prefill_s += (
                chunk_tokens
                * scenario.prefill_time_factor(job.model)
                / scenario.prefill_tokens_per_s
            )
        step_s = scenario.step_s + scenario.step_per_request_s * len(running)
        return now + step_s + prefill_s, decoding

    def record_copy(self, name: str) -> None:
        """Record copies of a loaded model in memory and on disk; evict the oldest."""
        for copies, limit_mb in (
            (self.in_memory, self._scenario.memory_cache_mb),
            (self.on_disk, self._scenario.disk_cache_mb),
        ):
            if name in copies:
                copies.remove(name)
            copies.append(name)
            while sum(self._scenario.memory_mb(copy) for copy in copies) > limit_mb:
                copies.pop(0)


def _rank(job):
    """Return the rank of a job for a place and for prefill; lower numbers first."""
    return 0 if job.level is None else job.level
