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
        "unconfirmed",
        "unloading",
    )

    def __init__(self, announcement: servers.Announcement):
        self.announcement = announcement
        self.report: engineorders.EngineReport | None = None
        self.order_count: int | None = None  # orders that the engine has accepted
        self.is_busy = False  # a task of the owner works on this engine
        # A model order was accepted and no report has shown its effect yet.
        self.unconfirmed = False
        self.loading = ""  # model that is being loaded
        self.loading_until = 0.0
        self.unloading: set[str] = set()  # models that calls should avoid
        self.retry_at = 0.0  # no orders before, after a failure
        # Last use by adapter that the engine holds.
        self.adapters_used_at: dict[str, float] = {}
        self.loaded_at_by_model: dict[str, float] = {}

    def take_report(self, report: engineorders.EngineReport) -> bool:
        """Take what the engine says of itself, unless that is older than known.

        A report shows the engine as it was a moment before. One that counts fewer
        orders than were accepted does not show what the last of them changed.
        """
        if self.order_count is not None and report.order_count < self.order_count:
            return False
        self.report = report
        self.order_count = report.order_count
        used = self.adapters_used_at
        self.adapters_used_at = {key: used.get(key, 0.0) for key in report.adapters}
        self.unconfirmed = self.unconfirmed and report.is_busy
        return True

    def accepted(self, order: engineorders.Order) -> None:
        """Note an order that the engine has accepted."""
        if self.order_count is not None:
            self.order_count += 1
        if not order.adapter:
            self.unconfirmed = True

    def doubt(self) -> None:
        """Trust the next report alone: orders may have been accepted or not."""
        self.order_count = None

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
        is_settled = not self._is_unclear()
        return is_ready and is_settled and not self.is_busy and now >= self.retry_at

    def has_unknown_order(self) -> bool:
        """Return whether the engine carries out an order that this owner did not give.

        Its report does not show yet what will be resident then.
        """
        return self.report is not None and self.report.is_busy and not self.is_busy

    def needs_refresh(self, now: float) -> bool:
        """Return whether the engine must be asked before it can get orders."""
        return self._is_unclear() and not self.is_busy and now >= self.retry_at

    def _is_unclear(self):
        """Return whether what is resident is not known for certain."""
        if self.order_count is None or self.unconfirmed:
            return True
        return self.has_unknown_order()

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

    def follow(self, announcements: list[servers.Announcement]) -> None:
        """Take the newest announcements and forget engines that are gone."""
        live = set()
        for announcement in announcements:
            live.add(announcement.lifetime)
            state = self.states_by_lifetime.get(announcement.lifetime)
            if state is None:
                state = EngineState(announcement)
                self.states_by_lifetime[announcement.lifetime] = state
            state.announcement = announcement
        for lifetime in [one for one in self.states_by_lifetime if one not in live]:
            del self.states_by_lifetime[lifetime]

    def all(self) -> list[EngineState]:
        """Return all states."""
        return list(self.states_by_lifetime.values())
