"""Load reports of a data centre, exchanged in batches on a binary tree.

A wave of batches runs twice a second: the leaves send up, an inner host sends up when
its children have, the root sends down and each host passes that on at once. The next
wave of a leaf starts an interval after the last one came down, so the waves of all
hosts stay in step and a report reaches every host within about one interval.
"""

from kumquatproxy import records, wire
from kumquatproxy.membership import loadmessages, reportstore, trees

FAN_OUT = 2
WAVE_INTERVAL_S = 0.5
WAVE_LEAD_S = 0.08
"""A leaf starts this much early, for the way of the wave up to the root."""

LEVEL_S = 0.06
"""An inner host waits this much longer for each level below it before it sends up
without all its children; this is more than the interval between two ticks."""

MISSED_WAVE_S = 0.6
"""When no wave came from above for so long, a host sends down on its own, so that the
hosts below do not take it for dead as well."""

PARENT_SILENT_S = 1.5
ADOPTED_S = 2.0
MAX_DETAILS = 50  # in one message; each may take some 2 KB
PURGE_INTERVAL_S = 10.0


class _Neighbour:
    """Hold what one neighbour has not been sent yet."""

    __slots__ = ("hashes_by_key", "heard_at", "unsent")

    def __init__(self, heard_at):
        self.heard_at: float = heard_at
        self.unsent: dict[bytes, None] = {}
        self.hashes_by_key: dict[bytes, bytes] = {}  # details it has been sent


class LoadReports:
    """Keep the newest report of each backend server and pass reports on."""

    def __init__(self, host_id, rng, now):
        self.host_id: str = host_id
        self.store = reportstore.ReportStore()
        self._out: list = []
        self._neighbours_by_id: dict[str, _Neighbour] = {}
        self._children: list[str] = []
        self._chain: list[str] = []
        self._chain_at = 0
        self._parent_heard_at = now
        self._due_at = now + WAVE_INTERVAL_S * rng.random()
        self._sent_at = now
        self._has_sent_up = True  # since the last wave came down
        self._waiting: set[str] = set()
        self._level = 0
        self._purge_at = now + PURGE_INTERVAL_S
        self.set_order([host_id], now)

    def set_order(self, order: list[str], now: float) -> None:
        """Build the tree anew over the hosts in this order."""
        if self.host_id in order:
            position = order.index(self.host_id)
        else:  # a leaving host sends its reports to the root
            position = len(order)
        above = [order[i] for i in trees.ancestors_of(position, FAN_OUT)]
        if position == len(order):
            above = []
        above += [name for name in order[: min(position, 3)] if name not in above]
        children = trees.children_in(order, self.host_id, FAN_OUT)
        if above == self._chain and children == self._children:
            return
        self._chain, self._children = above, children
        self._chain_at = 0
        self._parent_heard_at = now
        self._level = _height(position, len(order))
        old = self._neighbours_by_id
        self._neighbours_by_id = {}
        for name in [*above[:1], *children]:
            self._neighbours_by_id[name] = old.get(name) or self._new_neighbour(now)

    def accept(self, report: records.LoadReport, now: float) -> bool:
        """Take a report that a backend server sent to this host; False if it is old."""
        report.sent_at = now  # servers send no time: their clocks differ
        state = self.store.accept(report)
        if state is None:
            return False
        self._mark(state.key, "")
        return True

    @property
    def reports_by_id(self) -> dict[str, records.LoadReport]:
        """Return the newest report of each backend server."""
        return self.store.reports_by_id

    def receive(self, sender: str, message: wire.Message, now: float) -> list:
        """Handle one message of another host."""
        _HANDLERS[type(message)](self, sender, message, now)
        return self._take()

    def tick(self, now: float) -> list:
        """Return what is due at ``now``."""
        parent = self._parent()
        if parent and now - self._parent_heard_at > PARENT_SILENT_S:
            self._chain_at += 1
            self._parent_heard_at = now
        if now >= self._due_at:
            self._send_wave(now)
        if now >= self._purge_at:
            self._purge(now)
        return self._take()

    def _take(self):
        taken = self._out + self.store.seen
        self._out = []
        self.store.seen = []
        return taken

    def _parent(self):
        if self._chain_at < len(self._chain):
            return self._chain[self._chain_at]
        return ""

    def _new_neighbour(self, now):
        """Return a neighbour that is sent all fast parts, but only new details.

        It most likely holds the details already and otherwise asks for them.
        """
        neighbour = _Neighbour(now)
        for key, state in self.store.states_by_key.items():
            neighbour.unsent[key] = None
            neighbour.hashes_by_key[key] = state.detail.hash
        return neighbour

    # Waves

    def _send_wave(self, now):
        parent = self._parent()
        self._sent_at = now
        self._has_sent_up = True
        self._due_at = now + WAVE_INTERVAL_S + self._level * LEVEL_S
        self._waiting = set(self._children)
        if parent:
            self._send_batch(parent, False, now)
        if not parent or now - self._parent_heard_at > MISSED_WAVE_S:
            self._send_down(now)

    def _send_down(self, now):
        for name in list(self._neighbours_by_id):
            if name in self._children:
                self._send_batch(name, True, now)
            elif name not in self._chain[: self._chain_at + 1]:
                self._send_to_adopted(name, now)

    def _send_to_adopted(self, name, now):
        if now - self._neighbours_by_id[name].heard_at > ADOPTED_S:
            del self._neighbours_by_id[name]
        else:
            self._send_batch(name, True, now)

    def _send_batch(self, name, down, now):
        neighbour = self._neighbours_by_id.get(name)
        if neighbour is None:
            neighbour = self._neighbours_by_id[name] = self._new_neighbour(now)
        fast: list[bytes] = []
        full: list[list] = []
        deltas: list[list] = []
        for key in neighbour.unsent:
            state = self.store.states_by_key.get(key)
            if state is None:
                continue
            fast.append(
                loadmessages.pack_fast(key, state.report, state.reported_hash, now)
            )
            self._add_detail(state, neighbour, full, deltas)
        neighbour.unsent = {}
        message = loadmessages.ReportBatch(
            deltas=deltas, down=down, fast=b"".join(fast), full=full
        )
        self._out.append(wire.Send(name, message))

    def _add_detail(self, state, neighbour, full, deltas):
        detail, key = state.detail, state.key
        sent = neighbour.hashes_by_key.get(key)
        if sent == detail.hash or detail.hash != state.reported_hash:
            return
        neighbour.hashes_by_key[key] = detail.hash
        if state.previous is not None and sent == state.previous.hash:
            deltas.append(loadmessages.delta_detail(key, state.previous, detail))
        else:
            full.append(loadmessages.full_detail(key, detail))

    def _on_batch(self, sender, batch, now):
        neighbour = self._neighbours_by_id.get(sender)
        if neighbour is None and not batch.down:
            neighbour = self._neighbours_by_id[sender] = self._new_neighbour(now)
        if neighbour is not None and not batch.down:
            # Otherwise two hosts that send down to each other would renew their
            # temporary entries forever.
            neighbour.heard_at = now
        details = self.store.details_in(batch)
        for key, detail in details.items():
            if neighbour is not None:
                neighbour.hashes_by_key[key] = detail.hash
        for values in loadmessages.unpack_fast(batch.fast):
            if self.store.take_fast(values, details.get(values[0]), now):
                self._mark(values[0], sender)
        self._pull(sender)
        if batch.down:
            self._on_down(sender, now)
        else:
            self._waiting.discard(sender)
            if not self._waiting and now - self._sent_at >= WAVE_INTERVAL_S / 2:
                self._send_wave(now)

    def _on_down(self, sender, now):
        if sender not in self._chain:
            return
        position = self._chain.index(sender)
        if position > self._chain_at:
            return
        if not self._has_sent_up:
            # The wave came before the tick at which this host was to send up. Where
            # the wave keeps step with the ticks, that would happen each time.
            self._send_batch(sender, False, now)
        self._chain_at = position
        self._parent_heard_at = now
        self._has_sent_up = False
        wait_s = WAVE_INTERVAL_S - WAVE_LEAD_S + self._level * LEVEL_S
        self._due_at = now + wait_s
        self._waiting = set(self._children)
        self._send_down(now)

    def _mark(self, key, sender):
        for name, neighbour in self._neighbours_by_id.items():
            if name != sender:
                neighbour.unsent[key] = None

    def _purge(self, now):
        self._purge_at = now + PURGE_INTERVAL_S
        self.store.purge(now)
        for neighbour in self._neighbours_by_id.values():
            for key in list(neighbour.hashes_by_key):
                if key not in self.store.states_by_key:
                    del neighbour.hashes_by_key[key]

    # Details that were missed

    def _pull(self, host_id):
        wanted = self.store.wanted
        self.store.wanted = []
        for start in range(0, len(wanted), reportstore.MAX_PULLED):
            part = wanted[start : start + reportstore.MAX_PULLED]
            self._out.append(wire.Send(host_id, loadmessages.ReportPull(keys=part)))

    def _on_pull(self, sender, pull, now):
        full = []
        for key in pull.keys[: reportstore.MAX_PULLED]:
            state = self.store.states_by_key.get(key)
            if state is not None:
                full.append(loadmessages.full_detail(key, state.detail))
        for start in range(0, len(full), MAX_DETAILS):
            part = full[start : start + MAX_DETAILS]
            self._out.append(wire.Send(sender, loadmessages.ReportDetails(full=part)))

    def _on_details(self, sender, details, now):
        for values in details.full:
            key = self.store.take_full(values)
            if key is not None:
                self._mark(key, sender)


def _height(position, size):
    """Return the number of levels below a position."""
    height = 0
    first = position * FAN_OUT + 1
    while first < size:
        height += 1
        first = first * FAN_OUT + 1
    return height


_HANDLERS = {
    loadmessages.ReportBatch: LoadReports._on_batch,
    loadmessages.ReportPull: LoadReports._on_pull,
    loadmessages.ReportDetails: LoadReports._on_details,
}
