"""Simulated engine with continuous batching, queues and a prompt-prefix cache."""

import collections
import heapq
import itertools

from kumquatproxy import records


class EngineSpeed:
    """Speed and limits of one simulated engine.

    A step generates one token for each running request and takes
    ``step_base_s + step_slope_s * batch``; a prompt is processed in chunks of
    ``chunk_tokens``, one per step.
    """

    __slots__ = (
        "cache_blocks",
        "chunk_tokens",
        "kv_tokens",
        "max_items",
        "slots",
        "step_base_s",
        "step_slope_s",
    )

    def __init__(
        self,
        slots=24,
        step_base_s=0.015,
        step_slope_s=0.0012,
        chunk_tokens=256,
        kv_tokens=40_000,
        cache_blocks=400,
        max_items=5,
    ):
        self.slots: int = slots
        self.step_base_s: float = step_base_s
        self.step_slope_s: float = step_slope_s
        self.chunk_tokens: int = chunk_tokens
        self.kv_tokens: int = kv_tokens
        self.cache_blocks: int = cache_blocks
        self.max_items: int = max_items

    def step_s(self, batch: int) -> float:
        """Return the duration of one step with the given batch size."""
        return self.step_base_s + self.step_slope_s * batch

    def slowed(self, factor: float) -> "EngineSpeed":
        """Return a copy with step times multiplied by ``factor``."""
        return EngineSpeed(
            self.slots,
            self.step_base_s * factor,
            self.step_slope_s * factor,
            self.chunk_tokens,
            self.kv_tokens,
            self.cache_blocks,
            self.max_items,
        )

    def request_steps_per_s(self) -> float:
        """Return the maximum throughput in request steps per second.

        Each step of the engine counts once for every running request.
        """
        return self.slots / self.step_s(self.slots)

    def prompt_steps(self, tokens: float) -> int:
        """Return the number of steps to process ``tokens`` of a prompt."""
        return max(1, -(-int(tokens) // self.chunk_tokens))


class Job:
    """Request of a trace and the length of its response."""

    __slots__ = ("items", "request", "response_tokens")

    def __init__(self, request, items, response_tokens):
        self.request: records.CallRequest = request
        self.items: tuple[records.Item, ...] = items
        self.response_tokens: int = response_tokens  # unknown to routing


class _ActiveRequest:
    """Request at an engine, with steps counted from the start of the engine."""

    __slots__ = (
        "cached_tokens",
        "first_step",
        "job",
        "kv_tokens",
        "last_step",
        "resumed_tokens",
    )

    def __init__(self, job, resumed_tokens):
        self.job: Job = job
        self.resumed_tokens: int = resumed_tokens  # delivered by earlier attempts
        self.first_step: float | None = None
        self.last_step: float | None = None
        self.cached_tokens: int = 0
        self.kv_tokens: int = job.request.prompt_tokens + job.response_tokens


class EngineEvent:
    """First token or end of one request."""

    __slots__ = ("at", "cached_tokens", "job", "kind")

    def __init__(self, kind, job, at, cached_tokens):
        self.kind: str = kind  # "first" or "complete"
        self.job: Job = job
        self.at: float = at
        self.cached_tokens: int = cached_tokens


class SimulatedEngine:
    """Engine that serves requests by continuous batching in priority order.

    The caller advances the time and must call ``advance`` before it changes requests.
    All steps between two changes of the batch take the same time, so the engine
    advances from one change to the next, not step by step.
    """

    __slots__ = (
        "_cache",
        "_elapsed_steps",
        "_insertion_order",
        "_kv_used",
        "_pending_events",
        "_report_sequence",
        "_reported_items",
        "_running_by_id",
        "_updated_at",
        "_waiting",
        "_waiting_ids",
        "alive",
        "cache_event_sequence",
        "cache_events",
        "failing_share",
        "items",
        "loading",
        "server",
        "speed",
        "used_at",
    )

    def __init__(self, server, speed, items=()):
        self.server: records.BackendServer = server
        self.speed: EngineSpeed = speed
        self.items: set[records.Item] = set(items)
        self.loading: dict[records.Item, float] = {}  # item -> end of its load
        self.used_at: dict[records.Item, float] = {}
        self.alive: bool = True
        self.failing_share: float = 0.0  # share of requests that get an error
        self.cache_events: list[tuple[int, tuple, tuple]] = []
        self.cache_event_sequence: int = 0
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._kv_used: int = 0
        self._pending_events: list[tuple[float, int, str, _ActiveRequest]] = []
        self._insertion_order = itertools.count()
        self._running_by_id: dict[str, _ActiveRequest] = {}
        self._reported_items: tuple[records.Item, ...] = ()
        self._report_sequence: int = 0
        self._elapsed_steps: float = 0.0
        self._updated_at: float = 0.0
        self._waiting: list[tuple[int, int, _ActiveRequest]] = []
        self._waiting_ids: set[str] = set()

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_ids)

    def submit(
        self, job: Job, priority: int, now: float, resumed_tokens: int = 0
    ) -> None:
        """Queue a request; ``resumed_tokens`` of its response are already delivered."""
        active = _ActiveRequest(job, resumed_tokens)
        heapq.heappush(self._waiting, (-priority, next(self._insertion_order), active))
        self._waiting_ids.add(job.request.request_id)
        for item in job.items:
            self.used_at[item] = now
        self._start_waiting()

    def cancel(self, request_id: str) -> None:
        """Cancel a request."""
        active = self._running_by_id.pop(request_id, None)
        if active is not None:
            self._kv_used -= active.kv_tokens
        self._waiting_ids.discard(request_id)
        self._start_waiting()

    def advance(self, now: float) -> list[EngineEvent]:
        """Advance the time to ``now`` and return the events in order."""
        events: list[EngineEvent] = []
        while True:
            at = self.next_event_at()
            if at is None or at > now:
                break
            step, _, kind, active = heapq.heappop(self._pending_events)
            self._elapsed_steps = step
            self._updated_at = at
            request_id = active.job.request.request_id
            if kind == "complete":
                del self._running_by_id[request_id]
                self._kv_used -= active.kv_tokens
                self._start_waiting()
            events.append(EngineEvent(kind, active.job, at, active.cached_tokens))
        if self._running_by_id:
            step_s = self.speed.step_s(len(self._running_by_id))
            self._elapsed_steps += (now - self._updated_at) / step_s
        self._updated_at = now
        return events

    def next_event_at(self) -> float | None:
        """Return the time of the next first token or end of a request."""
        while self._pending_events:
            step, _, _, active = self._pending_events[0]
            if self._running_by_id.get(active.job.request.request_id) is active:
                step_s = self.speed.step_s(len(self._running_by_id))
                return self._updated_at + max(0.0, step - self._elapsed_steps) * step_s
            heapq.heappop(self._pending_events)
        return None

    def report(self, now: float) -> records.LoadReport:
        """Return the current load report."""
        self._report_sequence += 1
        return records.LoadReport(
            self.server.backend_id,
            self.server.incarnation,
            self._report_sequence,
            self.running,
            self.waiting,
            self._kv_used / self.speed.kv_tokens,
            self._loaded_items(now),
            sent_at=now,
        )

    def _loaded_items(self, now):
        ready = {item for item in self.items if self.is_loaded(item, now)}
        if len(self._reported_items) != len(ready) or not ready.issuperset(
            self._reported_items
        ):
            self._reported_items = tuple(sorted(ready, key=records.Item.key))
        return self._reported_items

    def is_loaded(self, item: records.Item, now: float) -> bool:
        """Return whether an item is loaded and ready."""
        return item in self.items and self.loading.get(item, 0.0) <= now

    def fail(self) -> list[tuple[Job, int]]:
        """Stop permanently; return the lost requests with their delivered tokens."""
        lost_jobs = []
        for active in self._running_by_id.values():
            delivered = active.resumed_tokens
            if (
                active.first_step is not None
                and self._elapsed_steps >= active.first_step
            ):
                delivered += 1 + int(self._elapsed_steps - active.first_step)
            lost_jobs.append(
                (active.job, min(delivered, active.job.response_tokens - 1))
            )
        for _, _, active in self._waiting:
            if active.job.request.request_id in self._waiting_ids:
                lost_jobs.append((active.job, active.resumed_tokens))
        self.alive = False
        self._running_by_id.clear()
        self._waiting_ids.clear()
        self._waiting.clear()
        return lost_jobs

    def _start_waiting(self):
        while self._waiting and len(self._running_by_id) < self.speed.slots:
            active = self._waiting[0][2]
            request = active.job.request
            if request.request_id not in self._waiting_ids:
                heapq.heappop(self._waiting)
                continue
            free = self.speed.kv_tokens - self._kv_used
            if active.kv_tokens > free and self._running_by_id:
                return
            heapq.heappop(self._waiting)
            self._waiting_ids.discard(request.request_id)
            self._start(active)

    def _start(self, active):
        request = active.job.request
        active.cached_tokens = self._update_prefix_cache(request)
        prompt_tokens = (
            request.prompt_tokens + active.resumed_tokens - active.cached_tokens
        )
        active.first_step = self._elapsed_steps + self.speed.prompt_steps(prompt_tokens)
        active.last_step = (
            active.first_step + active.job.response_tokens - active.resumed_tokens - 1
        )
        self._running_by_id[request.request_id] = active
        self._kv_used += active.kv_tokens
        for step, kind in (
            (active.first_step, "first"),
            (active.last_step, "complete"),
        ):
            heapq.heappush(
                self._pending_events, (step, next(self._insertion_order), kind, active)
            )

    def _update_prefix_cache(self, request):
        digests = request.prefix_digests
        if not digests:
            return 0
        hit_count = 0
        while hit_count < len(digests) and digests[hit_count] in self._cache:
            hit_count += 1
        for digest in digests:
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        evicted = []
        while len(self._cache) > self.speed.cache_blocks:
            evicted.append(self._cache.popitem(last=False)[0])
        if hit_count < len(digests) or evicted:
            self.cache_event_sequence += 1
            stored = digests[hit_count:]
            self.cache_events.append(
                (self.cache_event_sequence, stored, tuple(evicted))
            )
        return int(hit_count / len(digests) * request.prompt_tokens)
