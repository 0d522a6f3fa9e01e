"""Demand for models: moving averages of what all entry hosts report.

Traffic pattern: demand shifts from one model to another within seconds, and rare models
are requested once in a while.
"""

import collections
import math

from kumquatproxy import wire
from kumquatproxy.fleet import modelwants

# Time constants of the two exponential moving averages. The short one follows a shift
# within a second or two; the long one keeps track of rarely requested models.
SHORT_AVERAGE_S = 2.5
LONG_AVERAGE_S = 20.0
# Maximum size of the needs in a report. The rest of the frame is for the loads.
MAX_NEEDS_BYTES = wire.MAX_FRAME_BYTES // 2
REPORT_EXPIRY_S = 2.0  # age from which an entry host's report no longer counts
MIN_WARMUP_S = 0.5


class ModelDemand:
    """Hold the demand for one model or adapter."""

    __slots__ = ("_updated_at", "last_used_at", "long_rate", "offered_load", "rate")

    def __init__(self, now):
        self._updated_at: float = now
        self.last_used_at = 0.0
        self.rate = 0.0  # calls per second, short average
        self.offered_load = 0.0  # engine seconds per second, short average
        self.long_rate = 0.0  # calls per second, long average

    def decay(self, now: float) -> None:
        """Decay the averages by the time since the last update."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        short_decay = math.exp(-elapsed_s / SHORT_AVERAGE_S)
        self.rate *= short_decay
        self.offered_load *= short_decay
        self.long_rate *= math.exp(-elapsed_s / LONG_AVERAGE_S)

    def add(self, count: int, work_s: float, now: float) -> None:
        """Add arrived calls and the engine time that they need."""
        self.decay(now)
        self.rate += count / SHORT_AVERAGE_S
        self.offered_load += work_s / SHORT_AVERAGE_S
        self.long_rate += count / LONG_AVERAGE_S
        self.last_used_at = now


class _HostReport:
    """Hold the calls that one entry host has in flight and waiting."""

    __slots__ = ("heard_at", "loads_by_id", "waiting_by_key")

    def __init__(self, loads_by_id, waiting_by_key, now):
        self.loads_by_id: dict = loads_by_id
        self.waiting_by_key: dict = waiting_by_key
        self.heard_at: float = now


class FleetDemand:
    """Aggregate the reports of the entry hosts."""

    __slots__ = (
        "_reports_by_host",
        "_unavailable_since_by_key",
        "by_key",
        "started_at",
        "wants",
    )

    def __init__(self):
        self.started_at: float | None = None  # first arrival of any call
        self.by_key: dict[tuple[str, str], ModelDemand] = {}  # by service and name
        self._reports_by_host: dict[str, _HostReport] = {}
        self._unavailable_since_by_key: dict[tuple[str, str], float] = {}
        self.wants = modelwants.WantTable()

    def record_want(
        self, sender: str, wanted: modelwants.ModelWanted, now: float
    ) -> None:
        """Record a call that waits for a model, before the next report of its host."""
        self.wants.record_want(sender, wanted, now)
        self._demand(wanted.service, wanted.model, now)

    def report(self, sender: str, loads_by_id: dict, needs: list, now: float) -> None:
        """Apply the report of an entry host."""
        waiting_by_key: dict[tuple[str, str], int] = {}
        for service, model, adapter, arrivals, work_s, waiting in needs:
            waiting_by_key[service, model] = (
                waiting_by_key.get((service, model), 0) + waiting
            )
            if not arrivals:
                continue
            if self.started_at is None:
                self.started_at = now
            self._demand(service, model, now).add(arrivals, work_s, now)
            if adapter:
                key = f"{model}/{adapter}"
                self._demand(service, key, now).add(arrivals, work_s, now)
        host_report = _HostReport(loads_by_id, waiting_by_key, now)
        self._reports_by_host[sender] = host_report

    def _demand(self, service, name, now):
        demand = self.by_key.get((service, name))
        if demand is None:
            demand = self.by_key[service, name] = ModelDemand(now)
        return demand

    def warmup_factor(self, now: float) -> float:
        """Return the factor that corrects the short averages during warm-up.

        They start at zero, so in the first seconds they underestimate the demand.
        """
        if self.started_at is None:
            return 1.0
        age_s = max(MIN_WARMUP_S, now - self.started_at)
        return 1.0 / (1.0 - math.exp(-age_s / SHORT_AVERAGE_S))

    def has_demand(self) -> bool:
        """Return whether any call for a model has arrived so far."""
        return bool(self.by_key)

    def get(self, service: str, name: str, now: float) -> ModelDemand:
        """Return the demand for a model or an adapter as of ``now``."""
        demand = self.by_key.get((service, name))
        if demand is None:
            return ModelDemand(now)
        demand.decay(now)
        return demand

    def waiting(self, service: str, now: float) -> collections.Counter:
        """Return the number of calls waiting at all entry hosts by model."""
        counts: collections.Counter[str] = collections.Counter()
        for report in self._live_reports(now):
            for (waiting_service, model), count in report.waiting_by_key.items():
                if waiting_service == service:
                    counts[model] += count
        for model, count in self.wants.wanted(service, now).items():
            counts[model] = max(counts[model], count)
        return counts

    def unavailable_s(
        self, service: str, model: str, is_held: bool, now: float
    ) -> float:
        """Return for how long a model that was ever requested has been unavailable.

        The time starts at the first query in which no engine holds the model.
        """
        key = (service, model)
        if is_held or key not in self.by_key:
            self._unavailable_since_by_key.pop(key, None)
            return 0.0
        return now - self._unavailable_since_by_key.setdefault(key, now)

    def loads_by_id(self, now: float) -> dict:
        """Return [calls in flight, prompt tokens to prefill] by instance."""
        totals: dict[str, list[int]] = {}
        for report in self._live_reports(now):
            for instance_id, (count, tokens) in report.loads_by_id.items():
                total = totals.setdefault(instance_id, [0, 0])
                total[0] += count
                total[1] += tokens
        return totals

    def calls_at(self, instance_id: str, now: float) -> int:
        """Return the calls in flight at an instance."""
        return sum(
            report.loads_by_id[instance_id][0]
            for report in self._live_reports(now)
            if instance_id in report.loads_by_id
        )

    def _live_reports(self, now):
        return [
            report
            for report in self._reports_by_host.values()
            if now - report.heard_at < REPORT_EXPIRY_S
        ]


def needs_that_fit(needs: list) -> list:
    """Return the needs up to MAX_NEEDS_BYTES, those of most calls first.

    The names of adapters come from headers of callers, so their length and number are
    not limited otherwise.
    """
    size = 0
    ranked = sorted(needs, key=lambda need: need[3] + need[5], reverse=True)
    for position, need in enumerate(ranked):
        size += wire.encoded_size(need)
        if size > MAX_NEEDS_BYTES:
            return ranked[:position]
    return ranked
