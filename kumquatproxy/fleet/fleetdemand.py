"""Demand for models, summed over the entry hosts, and how it moves.

Load pattern: the demand for a model moves within seconds to another one, and rare
models are asked for once in a while.
"""

import collections
import math

# Time constants of the two averages. The short one sees a shift within a second or two;
# the long one remembers the models that are asked for rarely.
SHORT_S = 2.5
LONG_S = 20.0
REPORT_EXPIRY_S = 2.0
MIN_RAMP_S = 0.5


class ModelDemand:
    """Hold the demand for one model or adapter."""

    __slots__ = ("_updated_at", "last_used_at", "long_rate", "rate", "work")

    def __init__(self, now):
        self._updated_at: float = now
        self.last_used_at = 0.0
        self.rate = 0.0  # calls per second, short average
        self.work = 0.0  # engine seconds per second, short average
        self.long_rate = 0.0  # calls per second, long average

    def decay(self, now: float) -> None:
        """Let the averages fall for the time since the last update."""
        passed_s = now - self._updated_at
        if passed_s <= 0:
            return
        self._updated_at = now
        short = math.exp(-passed_s / SHORT_S)
        self.rate *= short
        self.work *= short
        self.long_rate *= math.exp(-passed_s / LONG_S)

    def add(self, count: int, work_s: float, now: float) -> None:
        """Count arrivals and the engine time that they need."""
        self.decay(now)
        self.rate += count / SHORT_S
        self.work += work_s / SHORT_S
        self.long_rate += count / LONG_S
        self.last_used_at = now


class _HostReport:
    """Hold what one entry host has in flight and waiting."""

    __slots__ = ("heard_at", "loads_by_id", "waiting_by_key")

    def __init__(self, loads_by_id, waiting_by_key, now):
        self.loads_by_id: dict = loads_by_id
        self.waiting_by_key: dict = waiting_by_key
        self.heard_at: float = now


class FleetDemand:
    """Sum what the entry hosts report."""

    __slots__ = ("_missing_since", "_reports_by_host", "by_key", "started_at")

    def __init__(self):
        self.started_at: float | None = None  # first arrival of any call
        self.by_key: dict[tuple[str, str], ModelDemand] = {}  # by service and name
        self._reports_by_host: dict[str, _HostReport] = {}
        self._missing_since: dict[tuple[str, str], float] = {}

    def report(self, sender: str, loads_by_id: dict, needs: list, now: float) -> None:
        """Take the report of an entry host."""
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
        return self.by_key.setdefault((service, name), ModelDemand(now))

    def ramp(self, now: float) -> float:
        """Return the factor by which the short averages are still too low.

        They begin at nothing, so in the first seconds they show only a part.
        """
        if self.started_at is None:
            return 1.0
        age_s = max(MIN_RAMP_S, now - self.started_at)
        return 1.0 / (1.0 - math.exp(-age_s / SHORT_S))

    def has_any(self) -> bool:
        """Return whether any call has arrived so far."""
        return bool(self.by_key)

    def get(self, service: str, name: str, now: float) -> ModelDemand:
        """Return the demand for a model or an adapter as of ``now``."""
        demand = self.by_key.get((service, name))
        if demand is None:
            return ModelDemand(now)
        demand.decay(now)
        return demand

    def waiting(self, service: str, now: float) -> collections.Counter:
        """Return the calls that wait at all entry hosts, by model."""
        counts: collections.Counter[str] = collections.Counter()
        for report in self._live(now):
            for (waiting_for, model), count in report.waiting_by_key.items():
                if waiting_for == service:
                    counts[model] += count
        return counts

    def missing_s(self, service: str, model: str, is_held: bool, now: float) -> float:
        """Return for how long a model has been asked for while no engine held it."""
        key = (service, model)
        if is_held or key not in self.by_key:
            self._missing_since.pop(key, None)
            return 0.0
        return now - self._missing_since.setdefault(key, now)

    def loads_by_id(self, now: float) -> dict:
        """Return [calls, unread prompt tokens] of all entry hosts by instance."""
        totals: dict[str, list[int]] = {}
        for report in self._live(now):
            for instance_id, (count, tokens) in report.loads_by_id.items():
                total = totals.setdefault(instance_id, [0, 0])
                total[0] += count
                total[1] += tokens
        return totals

    def _live(self, now):
        return [
            report
            for report in self._reports_by_host.values()
            if now - report.heard_at < REPORT_EXPIRY_S
        ]
