"""Benchmark figures and the registry of the measurements that return them."""

from kumquatproxy import records, registry

MEASUREMENTS = registry.Registry("measurement")
"""Functions that take a seed and return figures; ``measure_`` modules register them."""


class Figure(records.Record):
    """Hold one measured figure and its target range."""

    __slots__ = ("high", "low", "name", "value")

    def __init__(self, name, value, low=None, high=None):
        self.name: str = name
        self.value: float = value
        self.low: float | None = low  # minimum of the target range
        self.high: float | None = high  # maximum of the target range

    def meets_target(self) -> bool:
        """Return whether the value is within the target range."""
        is_above_low = self.low is None or self.value >= self.low
        is_below_high = self.high is None or self.value <= self.high
        return is_above_low and is_below_high

    def target_text(self) -> str:
        """Return a description of the target range."""
        limits = []
        if self.low is not None:
            limits.append(f"at least {self.low:g}")
        if self.high is not None:
            limits.append(f"at most {self.high:g}")
        return ", ".join(limits) or "none"

    def line(self) -> str:
        """Return the ``name: value`` line of the figure."""
        return f"{self.name}: {self.value:.6g}"
