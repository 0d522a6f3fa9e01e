"""Selection of the desired actions that can be started now."""

from collections.abc import Iterator

from kumquatproxy.placement import ledger, orderrecords, placementstate, storeshare


class Selection:
    """Desired actions that memory and store share allow, the most urgent first.

    The caller makes the reservation for each action before it takes the next one.
    """

    __slots__ = ("_blocked_servers", "_desired", "_ledger", "_share", "pending")

    def __init__(
        self,
        desired: list[orderrecords.Action],
        memory: ledger.Ledger,
        share: storeshare.ShareUse,
    ):
        self._desired = desired
        self._ledger = memory
        self._share = share
        self._blocked_servers: set[str] = set()
        self.pending = 0  # actions visited so far whose effect no report shows yet

    def startable(self) -> Iterator[orderrecords.Action]:
        """Yield each action that can be started at the time it is visited."""
        for action in self._desired:
            view = self._ledger.views_by_id.get(action.backend_id)
            if view is None or view.report is None:
                continue
            is_unload = action.action == placementstate.UNLOAD
            if (action.item in view.loaded) is not is_unload:
                continue
            self.pending += 1
            if is_unload or self._is_startable(action, view):
                yield action

    def _is_startable(self, action, view):
        loaded = view.loaded
        if action.backend_id in self._blocked_servers:
            return False
        if action.needs is not None and action.needs not in loaded:
            return False
        if not self._ledger.can_reserve(
            action.backend_id, action.item, action.memory_mb
        ):
            if self._fits_after_unloads(action, view):
                # Memory that unloads free is kept for this more urgent load.
                self._blocked_servers.add(action.backend_id)
            return False
        return self._share.can_reserve(action.item)

    def _fits_after_unloads(self, action, view):
        freed_mb = sum(
            other.memory_mb
            for other in self._desired
            if other.action == placementstate.UNLOAD
            and other.backend_id == action.backend_id
            and other.item in view.loaded
        )
        used_mb = self._ledger.used_mb(action.backend_id)
        return used_mb - freed_mb + action.memory_mb <= view.server.memory_mb
