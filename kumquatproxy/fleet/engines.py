"""State of each engine as tracked by the owner of orders."""

from kumquatproxy.fleet import engineorders, servers

# Time after which an ordered adapter counts as loaded; loading takes about 10 ms. The
# engine refuses earlier calls for it without running them.
ADAPTER_READY_S = 0.02


class EngineState:
    """Track one lifetime of an engine: last report, later orders, tasks in progress."""

    __slots__ = (
        "adapters_requested_at",
        "announcement",
        "has_task",
        "is_superseded",
        "is_unconfirmed",
        "is_unreachable",
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
        self.order_count: int | None = None  # accepted by the engine, None if unknown
        self.has_task = False  # a greenlet sends it orders or requests
        # The lifetime has ended, or another owner may have given orders since. A task
        # that was begun before must send nothing more.
        self.is_superseded = False
        # A model order was accepted, and no report shows its completion yet.
        self.is_unconfirmed = False
        # Calls wait for its models, and it did not answer when asked for a report.
        self.is_unreachable = False
        self.loading = ""  # model being loaded
        self.loading_until = 0.0
        self.unloading: set[str] = set()  # models that new calls must avoid here
        self.retry_at = 0.0  # no refresh, swap or adapter load before this
        # Time of the last load or request of an entry host, by adapter key; 0 for
        # adapters known from a report only. Calls that use the adapter do not count.
        self.adapters_requested_at: dict[str, float] = {}
        self.loaded_at_by_model: dict[str, float] = {}

    def apply_report(self, report: engineorders.EngineReport) -> bool:
        """Apply a report of the engine; return False for one that is out of date.

        Reports lag behind. One that counts fewer orders than were accepted does not
        show the effect of the latest orders.
        """
        self.is_unreachable = False
        if self.order_count is not None and report.order_count < self.order_count:
            return False
        self.report = report
        self.order_count = report.order_count
        requested_at_by_key = self.adapters_requested_at
        self.adapters_requested_at = {
            key: requested_at_by_key.get(key, 0.0) for key in report.adapters
        }
        self.is_unconfirmed = self.is_unconfirmed and report.is_busy
        return True

    def record_accepted(self, order: engineorders.Order) -> None:
        """Record an order that the engine has accepted."""
        if self.order_count is not None:
            self.order_count += 1
        if not order.adapter:
            self.is_unconfirmed = True

    def invalidate_order_count(self) -> None:
        """Discard the order count, as it is unknown which orders were accepted."""
        self.order_count = None

    @property
    def models(self) -> set[str]:
        """Return the resident models and the one being loaded."""
        names = {model[0] for model in self.announcement.models}
        if self.report is not None:
            names = set(self.report.models)
        if self.loading:
            names.add(self.loading)
        return names

    def resident_models(self) -> list[str]:
        """Return the models that the engine can serve according to its last report."""
        if self.report is None:
            return [model[0] for model in self.announcement.models]
        return [name for name in self.report.models if name not in self.unloading]

    def is_serving(self) -> bool:
        """Return whether calls may go to the engine once it has their model."""
        is_ready = self.announcement.state is servers.ServerState.READY
        return is_ready and not self.is_unreachable

    @property
    def in_memory(self) -> list[str]:
        """Return the models cached in the server's memory."""
        if self.report is not None and self.report.in_memory:
            return self.report.in_memory
        return self.announcement.in_memory

    @property
    def on_disk(self) -> list[str]:
        """Return the models cached on the server's disk."""
        if self.report is not None and self.report.on_disk:
            return self.report.on_disk
        return self.announcement.on_disk

    def is_usable(self, now: float) -> bool:
        """Return whether orders may go to the engine now."""
        is_ready = self.announcement.state is servers.ServerState.READY
        is_settled = not self._is_uncertain() and not self.is_unreachable
        return is_ready and is_settled and not self.has_task and now >= self.retry_at

    def has_unknown_order(self) -> bool:
        """Return whether the engine carries out an order that this owner did not give.

        The report does not show yet which models that order will leave resident.
        """
        return self.report is not None and self.report.is_busy and not self.has_task

    def needs_refresh(self, now: float) -> bool:
        """Return whether a new report is needed before the engine can get orders."""
        is_needed = self._is_uncertain() or self.is_unreachable
        return is_needed and not self.has_task and now >= self.retry_at

    def _is_uncertain(self):
        """Return whether the resident models are uncertain."""
        if self.order_count is None or self.is_unconfirmed:
            return True
        return self.has_unknown_order()

    def least_recently_requested_adapter(self, requested_before: float) -> str:
        """Return the least recently requested adapter.

        Return '' if none was requested before ``requested_before``.
        """
        if not self.adapters_requested_at:
            return ""
        key = min(
            self.adapters_requested_at, key=self.adapters_requested_at.__getitem__
        )
        return key if self.adapters_requested_at[key] < requested_before else ""


class EngineTable:
    """Keep the state of each engine in the server table."""

    __slots__ = ("states_by_lifetime",)

    def __init__(self):
        self.states_by_lifetime: dict[tuple, EngineState] = {}

    def synchronise(self, announcements: list[servers.Announcement]) -> None:
        """Apply the announcements and remove the lifetimes that are not among them."""
        live = set()
        for announcement in announcements:
            live.add(announcement.lifetime)
            state = self.states_by_lifetime.get(announcement.lifetime)
            if state is None:
                state = EngineState(announcement)
                self.states_by_lifetime[announcement.lifetime] = state
            state.announcement = announcement
        for lifetime in [
            known for known in self.states_by_lifetime if known not in live
        ]:
            self.states_by_lifetime.pop(lifetime).is_superseded = True

    def clear(self) -> None:
        """Remove all states, as the engines may have got orders of another owner."""
        for state in self.states_by_lifetime.values():
            state.is_superseded = True
        self.states_by_lifetime.clear()

    def all(self) -> list[EngineState]:
        """Return the states of all engines."""
        return list(self.states_by_lifetime.values())
