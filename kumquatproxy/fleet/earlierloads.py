"""Store loads of earlier owners of orders, as far as the engines show them.

Traffic pattern under hard load: calls for many rare models, which are loaded from the
store in about two seconds. A new owner that assumes that the last one used up the limit
loads nothing from the store for a whole window, while models without a place gather.
"""

import collections
import collections.abc

from kumquatproxy.fleet import engines

# Part of the limit that stays reserved for orders of the last owner that an engine may
# carry out late.
RESERVED_SHARE = 0.25


class LoadHistory:
    """Record when models appeared at engines, according to their heartbeats.

    A load from the store leaves copies in memory and on disk, so it is the only kind
    that makes an engine name a model it did not name before.
    """

    __slots__ = (
        "_announcements_by_lifetime",
        "_appeared_at",
        "_names_by_lifetime",
        "_observed_since",
        "window_s",
    )

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._observed_since: float | None = None
        self._announcements_by_lifetime: dict[tuple, object] = {}
        self._names_by_lifetime: dict[tuple, frozenset[str]] = {}
        self._appeared_at: collections.deque[float] = collections.deque()

    def observe(self, announcements: collections.abc.Iterable, now: float) -> None:
        """Compare the latest announcements of all engines with those before."""
        if self._observed_since is None:
            self._observed_since = now
        seen = {}
        for announcement in announcements:
            lifetime = announcement.lifetime
            seen[lifetime] = announcement
            if self._announcements_by_lifetime.get(lifetime) is announcement:
                continue
            names = _names(
                announcement.model_names(), announcement.in_memory, announcement.on_disk
            )
            known = self._names_by_lifetime.get(lifetime, names)
            self._appeared_at.extend([now] * len(names - known))
            self._names_by_lifetime[lifetime] = names
        for lifetime in self._announcements_by_lifetime.keys() - seen.keys():
            del self._names_by_lifetime[lifetime]
        self._announcements_by_lifetime = seen
        while self._appeared_at and now - self._appeared_at[0] >= self.window_s:
            self._appeared_at.popleft()

    def is_complete(self, now: float) -> bool:
        """Return whether the engines have been observed for a whole window."""
        since = self._observed_since
        return since is not None and now - since >= self.window_s

    def starts(self) -> list[float]:
        """Return the times since which loads of the last window have ended."""
        return list(self._appeared_at)

    def names_by_lifetime(self) -> dict[tuple, frozenset[str]]:
        """Return the models that engines have, in use or as copies, by lifetime."""
        return dict(self._names_by_lifetime)


class EarlierLoads:
    """Bound the store loads that began before this host became the owner of orders.

    Counted are those that heartbeats have shown, those that the first report of each
    engine shows, and an order in progress. An engine that has not reported yet may have
    loaded models one after the other.
    """

    __slots__ = (
        "_names_by_lifetime",
        "_starts",
        "_starts_by_lifetime",
        "_taken_at",
        "_window_s",
    )

    def __init__(self, history: LoadHistory, now: float):
        self._taken_at = now
        self._window_s = history.window_s
        # None if this host has not observed the engines for long enough.
        self._starts = history.starts() if history.is_complete(now) else None
        self._names_by_lifetime = history.names_by_lifetime()
        # By engines that have reported since.
        self._starts_by_lifetime: dict[tuple, list[float]] = {}

    @property
    def ends_at(self) -> float:
        """Return when none of the loads counts any more."""
        return self._taken_at + self._window_s

    def is_over(self, now: float) -> bool:
        """Return whether none of the loads counts any more."""
        return now >= self.ends_at

    def starts(
        self,
        states: collections.abc.Iterable[engines.EngineState],
        least_load_s: float,
        now: float,
    ) -> list[float] | None:
        """Return a time for each load, not before its start; None if unknown.

        ``least_load_s`` is the shortest time of a load from the store. The owner must
        ask before it gives orders to engines that have reported since the last time.
        """
        if self._starts is None:
            return None
        starts = list(self._starts)
        most_loads = 1 + int(self._window_s / max(least_load_s, 0.1))
        for state in states:
            lifetime = state.announcement.lifetime
            if state.report is None:
                starts += [self._taken_at] * most_loads
                continue
            if lifetime not in self._starts_by_lifetime:
                self._starts_by_lifetime[lifetime] = [now] * self._load_count(state)
            starts += self._starts_by_lifetime[lifetime]
        return starts

    def _load_count(self, state):
        """Return the loads of an engine that only its first report shows."""
        report = state.report
        names = _names(report.models, report.in_memory, report.on_disk)
        known = self._names_by_lifetime.get(state.announcement.lifetime, names)
        return len(names - known) + report.is_busy


def _names(models, in_memory, on_disk):
    return frozenset(models).union(in_memory, on_disk)
