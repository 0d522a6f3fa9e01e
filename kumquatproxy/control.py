"""Control task of a host: configuration, backend servers, placement orders."""

import gevent

from kumquatproxy import (
    adminmessages,
    backendapi,
    dispatch,
    drivers,
    entry,
    logs,
    records,
    tasks,
)
from kumquatproxy import sheet as sheets

SERVER_EXPIRY_S = 1.5
ORDER_TIMEOUT_S = 2.0
ORDER_LIFETIME_S = 10.0


class ServerEntry:
    """Hold one backend server with its reserved memory and last signs of life."""

    __slots__ = ("heard_at", "reported", "reserved_by_item", "server")

    def __init__(self, server, heard_at):
        self.server: records.BackendServer = server
        self.heard_at: float = heard_at
        self.reported: frozenset[records.Item] = frozenset()
        self.reserved_by_item: dict[records.Item, int] = {}

    def free_mb(self) -> int:
        """Return the memory that is not reserved, in megabytes."""
        return self.server.memory_mb - sum(self.reserved_by_item.values())


class ControlTask(tasks.Task):
    """Own the configuration and the placement of one host."""

    def __init__(self, dispatcher, entry_application, pool):
        super().__init__()
        self._dispatcher: dispatch.Dispatcher = dispatcher
        self._entry: entry.EntryApplication = entry_application
        self._driver = drivers.OpenAIDriver(pool)
        self._entries_by_id: dict[str, ServerEntry] = {}
        self._sheet: sheets.Sheet | None = None
        self._version = 0
        self._fence = 1
        self._orders_sent = 0
        self._log = logs.Log("place")

    def handle(self, message, now, reply):
        """Handle one message of the backend API or the administration API."""
        if isinstance(message, backendapi.Announce):
            return self._announce(message.server, now)
        if isinstance(message, backendapi.Report):
            return self._report(message.report, now)
        if isinstance(message, adminmessages.SubmitSheet):
            return self._submit(message)
        raise TypeError(f"unexpected message {type(message).__name__}")

    def tick(self, now):
        """Expire silent backend servers and place what is missing."""
        for backend_id, entry_ in list(self._entries_by_id.items()):
            if now - entry_.heard_at > SERVER_EXPIRY_S:
                del self._entries_by_id[backend_id]
                self._dispatcher.remove_server(backend_id)
        if self._sheet is not None:
            self._place(self._sheet, now)

    def _announce(self, server, now):
        known = self._entries_by_id.get(server.backend_id)
        if known is None or known.server.incarnation < server.incarnation:
            self._entries_by_id[server.backend_id] = ServerEntry(server, now)
        elif known.server.incarnation == server.incarnation:
            known.server = server
            known.heard_at = now
        else:
            return
        self._dispatcher.update_server(server, now)

    def _report(self, report, now):
        known = self._entries_by_id.get(report.backend_id)
        if known is None or known.server.incarnation != report.incarnation:
            return
        known.heard_at = now
        known.reported = frozenset(report.loaded)
        self._dispatcher.table.report(report, now)

    def _submit(self, message):
        parsed = sheets.parse(message.text)
        self._version += 1
        self._sheet = parsed
        self._dispatcher.set_sheet(parsed)
        self._entry.view = entry.ConfigurationView(self._version, parsed)
        return self._version

    def _place(self, sheet, now):
        memory_by_item = sheet.memory_by_item()
        for adapter in sheet.adapters_by_name.values():
            model = sheet.models_by_name[adapter.model]
            self._ensure(sheet, model, (model.item(), adapter.item()), memory_by_item)
        for model in sheet.models_by_name.values():
            for version in model.versions:
                self._ensure(sheet, model, (model.item(version),), memory_by_item)

    def _ensure(self, sheet, model, items, memory_by_item):
        entries = [
            entry_
            for entry_ in self._entries_by_id.values()
            if entry_.server.service == model.service and not entry_.server.leaving
        ]
        if any(set(items) <= set(entry_.reserved_by_item) for entry_ in entries):
            return
        for entry_ in sorted(entries, key=lambda one: -one.free_mb()):
            missing = [item for item in items if item not in entry_.reserved_by_item]
            needed_mb = sum(memory_by_item[item] for item in missing)
            if needed_mb <= entry_.free_mb():
                for item in missing:
                    self._send_load(entry_, item, memory_by_item[item])
                return

    def _send_load(self, entry_, item, memory_mb):
        now = gevent.get_hub().loop.now()
        entry_.reserved_by_item[item] = memory_mb
        self._orders_sent += 1
        order = records.Order(
            f"order-{self._orders_sent}",
            self._fence,
            entry_.server.backend_id,
            "load",
            item,
            memory_mb,
            tasks.time.monotonic() + ORDER_LIFETIME_S,
        )
        self._log.write(now, f"load {item.key()} on {entry_.server.backend_id}")
        gevent.spawn(self._deliver, entry_.server.address, order)

    def _deliver(self, address, order):
        try:
            self._driver.send_order(address, order, ORDER_TIMEOUT_S)
        except drivers.CallFailed as failure:
            now = tasks.time.monotonic()
            self._log.write(now, f"{order.order_id} failed: {failure.detail}")
