"""What the owner of the orders knows of each engine, and what it may order there."""

from kumquatproxy.fleet import engineorders, servers

# An adapter takes about 10 ms from the store. Calls that come before it is there are
# refused without having run.
ADAPTER_READY_S = 0.02


class EngineState:
    """Hold one lifetime of an engine: last report, orders since, reservations."""

    __slots__ = (
        "adapters_used_at",
        "announcement",
        "is_busy",
        "loaded_at_by_model",
        "loading",
        "loading_until",
        "order_count",
        "report",
        "retry_at",
        "unloading",
    )

    def __init__(self, announcement: servers.Announcement):
        self.announcement = announcement
        self.report: engineorders.EngineReport | None = None
        self.order_count: int | None = None  # orders that the engine has accepted
        self.is_busy = False  # a task of the owner works on this engine
        self.loading = ""  # model that is being loaded
        self.loading_until = 0.0
        self.unloading: set[str] = set()  # models that calls should avoid
        self.retry_at = 0.0  # no orders before, after a failure
        # Last use by adapter that the engine holds.
        self.adapters_used_at: dict[str, float] = {}
        self.loaded_at_by_model: dict[str, float] = {}

    def take_report(self, report: engineorders.EngineReport, now: float) -> None:
        """Take what the engine says of itself."""
        self.report = report
        self.order_count = report.order_count
        used = self.adapters_used_at
        self.adapters_used_at = {key: used.get(key, 0.0) for key in report.adapters}

    @property
    def models(self) -> set[str]:
        """Return the resident models, and the one that is coming."""
        names = {model[0] for model in self.announcement.models}
        if self.report is not None:
            names = set(self.report.models)
        if self.loading:
            names.add(self.loading)
        return names

    @property
    def in_memory(self) -> list[str]:
        """Return the models with a copy in the server's memory."""
        if self.report is not None and self.report.in_memory:
            return self.report.in_memory
        return self.announcement.in_memory

    @property
    def on_disk(self) -> list[str]:
        """Return the models with a copy on the server's disk."""
        if self.report is not None and self.report.on_disk:
            return self.report.on_disk
        return self.announcement.on_disk

    def is_usable(self, now: float) -> bool:
        """Return whether orders may go to the engine now."""
        is_ready = self.announcement.state is servers.ServerState.READY
        return is_ready and not self.is_busy and now >= self.retry_at

    def oldest_adapter(self, used_before: float) -> str:
        """Return the adapter unused for longest, '' if all were used lately."""
        if not self.adapters_used_at:
            return ""
        key = min(self.adapters_used_at, key=self.adapters_used_at.__getitem__)
        return key if self.adapters_used_at[key] < used_before else ""


class EngineTable:
    """Keep the state of each engine that the server table knows."""

    __slots__ = ("states_by_lifetime",)

    def __init__(self):
        self.states_by_lifetime: dict[tuple, EngineState] = {}

    def follow(self, announcements: list[servers.Announcement]) -> list[EngineState]:
        """Take the newest announcements; return the states of engines that are new."""
        fresh = []
        live = set()
        for announcement in announcements:
            live.add(announcement.lifetime)
            state = self.states_by_lifetime.get(announcement.lifetime)
            if state is None:
                state = EngineState(announcement)
                self.states_by_lifetime[announcement.lifetime] = state
                fresh.append(state)
            state.announcement = announcement
        for lifetime in [one for one in self.states_by_lifetime if one not in live]:
            del self.states_by_lifetime[lifetime]
        return fresh

    def all(self) -> list[EngineState]:
        """Return all states."""
        return list(self.states_by_lifetime.values())
