"""Load reports of a data centre, exchanged in batches on a binary tree of its hosts.

An exchange round runs twice a second. The leaves send a batch up; an inner host sends
up once all its children have; the root sends batches down. Each host that gets a batch
from its parent at once sends each of its children a batch with what that child lacks. A
leaf starts its next round ``LEAF_LEAD_S`` before one interval has passed since the last
batch from its parent. This keeps the rounds of all hosts synchronised, so a report
reaches every host within about two intervals.

An adopted child is a host that sends its batches up to this host although it is not a
child of this host in the tree, because its own parent is silent.
"""

from kumquatproxy import records, wire
from kumquatproxy.membership import loadmessages, reportstore, trees

FAN_OUT = 2
ROUND_INTERVAL_S = 0.5
LEAF_LEAD_S = 0.08
"""After a batch from its parent a host starts its next round this much before the
interval (longer by ``LEVEL_WAIT_S`` per tree level below the host) has passed, so that
the batches of the leaves reach the root in time."""

LEVEL_WAIT_S = 0.06
"""An inner host waits this long for each tree level below it before it sends up without
the batches of its children. This exceeds the interval between two ticks, since a batch
may wait for one tick at each level."""

MISSED_ROUND_S = 0.6
"""A host without a batch from its parent for this time still sends batches to its
children, so that they do not also look for another parent (``PARENT_TIMEOUT_S``)."""

PARENT_TIMEOUT_S = 1.5
ADOPTED_CHILD_TIMEOUT_S = 2.0
MAX_DETAILS_PER_MESSAGE = 50  # a detail takes up to about 2 KB
PURGE_INTERVAL_S = 10.0


class _Neighbour:
    """Record what a neighbour still needs and which details it probably has.

    A neighbour is the parent, a child or an adopted child of this host.
    """

    __slots__ = ("hashes_by_key", "heard_at", "unsent")

    def __init__(self, heard_at):
        self.heard_at: float = heard_at
        self.unsent: dict[bytes, None] = {}
        # Hashes of the details that the neighbour probably has.
        self.hashes_by_key: dict[bytes, bytes] = {}


class LoadReports:
    """Store the newest report of each backend server and forward reports."""

    def __init__(self, host_id, rng, now):
        self.host_id: str = host_id
        self.store = reportstore.ReportStore()
        self._outputs: list = []
        self._neighbours_by_id: dict[str, _Neighbour] = {}
        self._children: list[str] = []
        self._parent_candidates: list[str] = []
        self._parent_index = 0
        self._parent_heard_at = now
        self._next_round_at = now + ROUND_INTERVAL_S * rng.random()
        self._sent_at = now
        # Whether a batch was sent to the parent since its last batch. True until the
        # first batch from the parent.
        self._has_sent_up = True
        self._awaited_children: set[str] = set()
        self._levels_below = 0
        self._purge_at = now + PURGE_INTERVAL_S
        self.set_order([host_id], now)

    def set_order(self, order: list[str], now: float) -> None:
        """Rebuild the tree over the hosts in this order."""
        if self.host_id in order:
            position = order.index(self.host_id)
        else:  # a leaving host sends its reports to the root
            position = len(order)
        parent_candidates = [
            order[index] for index in trees.ancestors_of(position, FAN_OUT)
        ]
        if position == len(order):
            parent_candidates = []
        parent_candidates += [
            host_id
            for host_id in order[: min(position, 3)]
            if host_id not in parent_candidates
        ]
        children = trees.children_in(order, self.host_id, FAN_OUT)
        if parent_candidates == self._parent_candidates and children == self._children:
            return
        self._parent_candidates, self._children = parent_candidates, children
        self._parent_index = 0
        self._parent_heard_at = now
        self._levels_below = _count_levels_below(position, len(order))
        previous_by_id = self._neighbours_by_id
        self._neighbours_by_id = {}
        for host_id in [*parent_candidates[:1], *children]:
            self._neighbours_by_id[host_id] = previous_by_id.get(
                host_id
            ) or self._new_neighbour(now)

    def accept(self, report: records.LoadReport, now: float) -> bool:
        """Store a report that a backend server sent to this host; False if outdated."""
        report.sent_at = now  # clocks differ, so servers send no time
        state = self.store.accept(report)
        if state is None:
            return False
        self._mark_unsent(state.key, "")
        return True

    @property
    def reports_by_id(self) -> dict[str, records.LoadReport]:
        """Return the newest report of each backend server."""
        return self.store.reports_by_id

    def receive(self, sender: str, message: wire.Message, now: float) -> list:
        """Handle one message from another host and return the outputs."""
        _HANDLERS[type(message)](self, sender, message, now)
        return self._take_outputs()

    def tick(self, now: float) -> list:
        """Run the timers that are due and return the outputs."""
        parent = self._parent()
        if parent and now - self._parent_heard_at > PARENT_TIMEOUT_S:
            self._parent_index += 1
            self._parent_heard_at = now
        if now >= self._next_round_at:
            self._send_round(now)
        if now >= self._purge_at:
            self._purge(now)
        return self._take_outputs()

    def _take_outputs(self):
        outputs = self._outputs + self.store.seen_reports
        self._outputs = []
        self.store.seen_reports = []
        return outputs

    def _parent(self):
        if self._parent_index < len(self._parent_candidates):
            return self._parent_candidates[self._parent_index]
        return ""

    def _new_neighbour(self, now):
        """Return a neighbour that gets all fast parts but only changed details.

        It most likely has the details already; otherwise it pulls them.
        """
        neighbour = _Neighbour(now)
        for key, state in self.store.states_by_key.items():
            neighbour.unsent[key] = None
            neighbour.hashes_by_key[key] = state.detail.hash
        return neighbour

    # Exchange rounds

    def _send_round(self, now):
        parent = self._parent()
        self._sent_at = now
        self._has_sent_up = True
        self._next_round_at = now + ROUND_INTERVAL_S + self._levels_below * LEVEL_WAIT_S
        self._awaited_children = set(self._children)
        if parent:
            self._send_batch(parent, False, now)
        if not parent or now - self._parent_heard_at > MISSED_ROUND_S:
            self._send_down(now)

    def _send_down(self, now):
        for host_id in list(self._neighbours_by_id):
            if host_id in self._children:
                self._send_batch(host_id, True, now)
            elif host_id not in self._parent_candidates[: self._parent_index + 1]:
                self._send_to_or_drop_adopted_child(host_id, now)

    def _send_to_or_drop_adopted_child(self, host_id, now):
        if now - self._neighbours_by_id[host_id].heard_at > ADOPTED_CHILD_TIMEOUT_S:
            del self._neighbours_by_id[host_id]
        else:
            self._send_batch(host_id, True, now)

    def _send_batch(self, host_id, down, now):
        neighbour = self._neighbours_by_id.get(host_id)
        if neighbour is None:
            neighbour = self._neighbours_by_id[host_id] = self._new_neighbour(now)
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
        self._outputs.append(wire.Send(host_id, message))

    def _add_detail(self, state, neighbour, full, deltas):
        detail, key = state.detail, state.key
        sent = neighbour.hashes_by_key.get(key)
        if sent == detail.hash or detail.hash != state.reported_hash:
            return
        neighbour.hashes_by_key[key] = detail.hash
        if state.previous_detail is not None and sent == state.previous_detail.hash:
            deltas.append(
                loadmessages.delta_to_list(key, state.previous_detail, detail)
            )
        else:
            full.append(loadmessages.detail_to_list(key, detail))

    def _on_batch(self, sender, batch, now):
        neighbour = self._neighbours_by_id.get(sender)
        if neighbour is None and not batch.down:
            neighbour = self._neighbours_by_id[sender] = self._new_neighbour(now)
        if neighbour is not None and not batch.down:
            # Only a batch sent up renews ``heard_at``. Otherwise two hosts that send
            # down to each other would keep each other as adopted children forever.
            neighbour.heard_at = now
        details = self.store.details_in(batch)
        for key, detail in details.items():
            if neighbour is not None:
                neighbour.hashes_by_key[key] = detail.hash
        for values in loadmessages.unpack_fast(batch.fast):
            if self.store.apply_fast(values, details.get(values[0]), now):
                self._mark_unsent(values[0], sender)
        self._pull(sender)
        if batch.down:
            self._on_batch_from_parent(sender, now)
        else:
            self._awaited_children.discard(sender)
            if (
                not self._awaited_children
                and now - self._sent_at >= ROUND_INTERVAL_S / 2
            ):
                self._send_round(now)

    def _on_batch_from_parent(self, sender, now):
        if sender not in self._parent_candidates:
            return
        position = self._parent_candidates.index(sender)
        if position > self._parent_index:
            return
        if not self._has_sent_up:
            # The batch came before the tick at which this host would have sent its own,
            # so that is sent now. Otherwise a host whose ticks are in phase with the
            # rounds would be too late in every round and never send up.
            self._send_batch(sender, False, now)
        self._parent_index = position
        self._parent_heard_at = now
        self._has_sent_up = False
        wait_s = ROUND_INTERVAL_S - LEAF_LEAD_S + self._levels_below * LEVEL_WAIT_S
        self._next_round_at = now + wait_s
        self._awaited_children = set(self._children)
        self._send_down(now)

    def _mark_unsent(self, key, sender):
        for host_id, neighbour in self._neighbours_by_id.items():
            if host_id != sender:
                neighbour.unsent[key] = None

    def _purge(self, now):
        self._purge_at = now + PURGE_INTERVAL_S
        self.store.purge(now)
        for neighbour in self._neighbours_by_id.values():
            for key in list(neighbour.hashes_by_key):
                if key not in self.store.states_by_key:
                    del neighbour.hashes_by_key[key]

    # Missing details

    def _pull(self, host_id):
        keys_to_pull = self.store.keys_to_pull
        self.store.keys_to_pull = []
        for start in range(0, len(keys_to_pull), reportstore.MAX_PULLED_KEYS):
            part = keys_to_pull[start : start + reportstore.MAX_PULLED_KEYS]
            self._outputs.append(wire.Send(host_id, loadmessages.ReportPull(keys=part)))

    def _on_pull(self, sender, pull, now):
        full = []
        for key in pull.keys[: reportstore.MAX_PULLED_KEYS]:
            state = self.store.states_by_key.get(key)
            if state is not None:
                full.append(loadmessages.detail_to_list(key, state.detail))
        for start in range(0, len(full), MAX_DETAILS_PER_MESSAGE):
            part = full[start : start + MAX_DETAILS_PER_MESSAGE]
            self._outputs.append(
                wire.Send(sender, loadmessages.ReportDetails(full=part))
            )

    def _on_details(self, sender, details, now):
        for values in details.full:
            key = self.store.apply_detail(values)
            if key is not None:
                self._mark_unsent(key, sender)


def _count_levels_below(position, size):
    """Return the number of tree levels below a position."""
    levels = 0
    first = position * FAN_OUT + 1
    while first < size:
        levels += 1
        first = first * FAN_OUT + 1
    return levels


_HANDLERS = {
    loadmessages.ReportBatch: LoadReports._on_batch,
    loadmessages.ReportPull: LoadReports._on_pull,
    loadmessages.ReportDetails: LoadReports._on_details,
}
