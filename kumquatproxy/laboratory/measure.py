"""Figures of the project: each is a ratio or a count of one run."""

from kumquatproxy import records, registry

MEASUREMENTS = registry.Registry("measurement")
"""Functions of a seed that return figures, entered by their modules."""


class Figure(records.Record):
    """Hold one measured figure and the target it is held against."""

    __slots__ = ("high", "low", "name", "value")

    def __init__(self, name, value, low=None, high=None):
        self.name: str = name
        self.value: float = value
        self.low: float | None = low  # target: at least this
        self.high: float | None = high  # target: at most this

    def meets_target(self) -> bool:
        """Return whether the value lies within its target."""
        above = self.low is None or self.value >= self.low
        below = self.high is None or self.value <= self.high
        return above and below

    def target_text(self) -> str:
        """Return the target in words."""
        parts = []
        if self.low is not None:
            parts.append(f"at least {self.low:g}")
        if self.high is not None:
            parts.append(f"at most {self.high:g}")
        return ", ".join(parts) or "none"

    def line(self) -> str:
        """Return the ``name: value`` line of the figure."""
        return f"{self.name}: {self.value:.6g}"
