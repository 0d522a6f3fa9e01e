"""Accounting of accelerator memory by backend server, from intents and reports."""

from kumquatproxy import errors, records


class BackendView:
    """The newest report of one backend server and the memory reserved there."""

    __slots__ = (
        "loaded",
        "memory_by_order",
        "orders_seen",
        "report",
        "report_version",
        "server",
    )

    def __init__(self, server):
        self.server: records.BackendServer = server
        self.report_version = (0, 0)  # incarnation and sequence of the newest report
        self.report: records.LoadReport | None = None
        self.loaded: frozenset[records.Item] = frozenset()  # from the report
        self.orders_seen: frozenset[str] = frozenset()
        self.memory_by_order: dict[str, tuple[records.Item, int]] = {}


class Ledger:
    """Memory accounting that keeps backend servers from being overcommitted.

    An item counts once, whether it is loaded, reserved or both. Memory of a loaded item
    is freed only by a newer report without that item. An item of unknown size counts
    as the whole memory of its backend server, so that nothing more is loaded there.
    """

    __slots__ = ("_memory_by_item", "views_by_id")

    def __init__(self):
        self.views_by_id: dict[str, BackendView] = {}
        self._memory_by_item: dict[records.Item, int] = {}

    def record_sizes(self, memory_by_item: dict[records.Item, int]) -> None:
        """Record item sizes in megabytes, keeping the largest known for each item."""
        for item, memory_mb in memory_by_item.items():
            recorded_mb = self._memory_by_item.get(item, 0)
            self._memory_by_item[item] = max(recorded_mb, memory_mb)

    def set_server(self, server: records.BackendServer) -> None:
        """Add a backend server or update its description."""
        view = self.views_by_id.get(server.backend_id)
        if view is None:
            self.views_by_id[server.backend_id] = BackendView(server)
        elif server.incarnation >= view.server.incarnation:
            view.server = server

    def remove_server(self, backend_id: str) -> None:
        """Remove a backend server that has left permanently."""
        self.views_by_id.pop(backend_id, None)

    def require_report_version(
        self, backend_id: str, report_version: tuple[int, int]
    ) -> None:
        """Forget the applied report and ignore reports older than a version.

        A version is (incarnation, sequence). Until such a report arrives, nothing
        counts as loaded and nothing can be reserved.
        """
        view = self.views_by_id.get(backend_id)
        if view is not None and report_version > view.report_version:
            view.report_version = report_version
            view.report = None
            view.loaded = frozenset()
            view.orders_seen = frozenset()

    def observe(self, report: records.LoadReport) -> bool:
        """Apply a report; return False if it is outdated or from an unknown server."""
        view = self.views_by_id.get(report.backend_id)
        report_version = (report.incarnation, report.sequence)
        if view is None or report_version < view.report_version:
            return False
        if view.report is not None and report_version == view.report_version:
            return False
        view.report_version = report_version
        view.report = report
        view.loaded = frozenset(report.loaded)
        view.orders_seen = frozenset(report.orders_seen)
        return True

    def used_mb(self, backend_id: str) -> int:
        """Return the memory of a backend server that is loaded or reserved."""
        return sum(self._used_by_item(self.views_by_id[backend_id]).values())

    def _used_by_item(self, view):
        used: dict[records.Item, int] = {}
        for item in view.loaded:
            used[item] = self._memory_by_item.get(item, view.server.memory_mb)
        for item, memory_mb in view.memory_by_order.values():
            used[item] = max(memory_mb, used.get(item, 0))
        return used

    def can_reserve(self, backend_id: str, item: records.Item, memory_mb: int) -> bool:
        """Return whether a load of an item may start.

        The server must be known and not leaving, must have reported, must not have the
        item loaded, and must have enough memory.
        """
        view = self.views_by_id.get(backend_id)
        if view is None or view.report is None or view.server.leaving:
            return False
        if item in view.loaded:
            return False
        used = self._used_by_item(view)
        # An earlier order for the same item may still hold memory.
        used[item] = max(memory_mb, used.get(item, 0))
        return sum(used.values()) <= view.server.memory_mb

    def reserve(
        self, order_id: str, backend_id: str, item: records.Item, memory_mb: int
    ) -> None:
        """Reserve memory for a load order; raise ProxyError for an unknown server."""
        view = self.views_by_id.get(backend_id)
        if view is None:
            raise errors.ProxyError(
                errors.ErrorKind.NO_BACKEND_SERVER,
                f"unknown backend server {backend_id!r}",
            )
        view.memory_by_order[order_id] = (item, memory_mb)
        self.record_sizes({item: memory_mb})

    def release(self, order_id: str, backend_id: str) -> None:
        """Release the memory reserved for an order."""
        view = self.views_by_id.get(backend_id)
        if view is not None:
            view.memory_by_order.pop(order_id, None)
