"""Orders known to the current owner, with the memory and store share they hold."""

from kumquatproxy import records
from kumquatproxy.placement import ledger, orderrules, placementstate, storeshare

Stage = orderrules.Stage


class OrderTracker:
    """Tracked orders, one for each recorded intent, on the clock of this owner.

    A load order holds a store slot (one model or adapter load of the store share) until
    it is closed, and memory until it is forgotten. Memory is held longer because a
    restarted model engine no longer knows which orders it has seen, and would execute a
    late copy of a closed order.
    """

    __slots__ = (
        "_count",
        "_data_centre",
        "_state",
        "fence",
        "ledger",
        "settings",
        "share",
        "tracked_by_id",
    )

    def __init__(
        self,
        data_centre: str,
        state: placementstate.PlacementState,
        settings: orderrules.Settings,
        now: float,
    ):
        self.fence = state.fence
        self.settings = settings
        self.ledger = ledger.Ledger()
        self.share = storeshare.ShareUse(state.share, now)
        self.tracked_by_id: dict[str, orderrules.TrackedOrder] = {}
        self._count = 0
        self._data_centre = data_centre
        self._state = state
        expires_at = now + settings.lifetime_s
        for order_id, recorded in state.recorded_by_id.items():
            tracked = orderrules.TrackedOrder(recorded.intent, expires_at, now, True)
            self.tracked_by_id[order_id] = tracked
            if recorded.outcome:
                tracked.stage = Stage.OBSERVED
                tracked.closed_incarnation = recorded.incarnation
            else:
                self._count_open_load(tracked)

    def set_server(self, server: records.BackendServer) -> None:
        """Add a server with the memory that orders hold there, or update it."""
        is_new = server.backend_id not in self.ledger.views_by_id
        self.ledger.set_server(server)
        if not is_new:
            return
        observed = self._state.observed_by_backend.get(server.backend_id)
        if observed is not None:
            self.ledger.require_report_version(
                server.backend_id, observed.report_version
            )
            self.ledger.record_sizes(
                {
                    records.parse_item(key): memory_mb
                    for key, memory_mb in observed.memory_by_item.items()
                }
            )
        for tracked in self.at_server(server.backend_id):
            self._reserve_memory(tracked)

    def at_server(self, backend_id: str) -> list[orderrules.TrackedOrder]:
        """Return the orders to one backend server."""
        return [
            tracked
            for tracked in self.tracked_by_id.values()
            if tracked.intent.backend_id == backend_id
        ]

    def open_orders(self) -> list[tuple[orderrules.TrackedOrder, ledger.BackendView]]:
        """Return the open orders to known backend servers, oldest first."""
        views = self.ledger.views_by_id
        return [
            (tracked, views[tracked.intent.backend_id])
            for tracked in self.tracked_by_id.values()
            if tracked.is_open and tracked.intent.backend_id in views
        ]

    def track(
        self, action, backend_id, item, memory_mb, now
    ) -> orderrules.TrackedOrder:
        """Add a new order and reserve its memory and store slot."""
        self._count += 1
        intent = placementstate.Intent(
            action=action,
            backend_id=backend_id,
            fence=self.fence,
            item=item.key(),
            memory_mb=memory_mb,
            order_id=f"{self._data_centre}-{self.fence}-{self._count}",
        )
        tracked = orderrules.TrackedOrder(intent, now + self.settings.lifetime_s, now)
        self.tracked_by_id[intent.order_id] = tracked
        self._count_open_load(tracked)
        self._reserve_memory(tracked)
        return tracked

    def close(self, closing: placementstate.Closing) -> None:
        """Close an order whose outcome has been committed."""
        tracked = self.tracked_by_id.get(closing.order_id)
        if tracked is None:
            return
        if closing.outcome == placementstate.UNSENT:
            self.drop(closing.order_id)  # never sent, so no late copy can arrive
            return
        tracked.stage = Stage.OBSERVED
        tracked.is_closing = False
        tracked.closed_incarnation = closing.incarnation
        self.share.release(closing.order_id)
        self.reopen_after_restart(tracked)

    def reopen_after_restart(self, tracked: orderrules.TrackedOrder) -> None:
        """Reopen a closed order if the model engine has restarted since.

        An order that is proposed to be forgotten stays closed: a report that shows the
        restart this late has exceeded ``max_report_delay_s``.
        """
        view = self.ledger.views_by_id.get(tracked.intent.backend_id)
        if view is None or view.report is None:
            return
        if tracked.is_open or tracked.is_closing:
            return
        if tracked.closed_incarnation < view.report.incarnation:
            tracked.stage = Stage.UNKNOWN
            tracked.is_reopened = True
            self._count_open_load(tracked)
            self._reserve_memory(tracked)

    def drop(self, order_id: str) -> None:
        """Remove an order and release its memory and store slot."""
        tracked = self.tracked_by_id.pop(order_id, None)
        if tracked is not None:
            self.share.release(order_id)
            self.ledger.release(order_id, tracked.intent.backend_id)

    def remove_server(self, backend_id: str) -> None:
        """Remove a backend server and all orders to it."""
        for tracked in self.at_server(backend_id):
            self.drop(tracked.intent.order_id)
        self.ledger.remove_server(backend_id)

    def _count_open_load(self, tracked):
        if tracked.is_load:
            self.share.reserve(tracked.intent.order_id, tracked.item)

    def _reserve_memory(self, tracked):
        intent = tracked.intent
        if tracked.is_load and intent.backend_id in self.ledger.views_by_id:
            self.ledger.reserve(
                intent.order_id, intent.backend_id, tracked.item, intent.memory_mb
            )
