"""Order engine of the placement owner, from desired actions to observed effects."""

import random

from kumquatproxy import records
from kumquatproxy.placement import (
    orderrecords,
    orderrules,
    orderselection,
    ordertracker,
    placementstate,
    shareadoption,
    storeshare,
)

MAX_INTENTS_PER_COMMAND = 64
REPEAT_INTERVAL_S = 5.0

Stage = orderrules.Stage


class OrderEngine:
    """Conversion of desired actions into orders during one ownership of the placement.

    An order engine is created after the state has applied this host's
    ``TakeOwnership``, and replaced at the next ownership. All times are on this host's
    monotonic clock.
    """

    def __init__(
        self,
        data_centre: str,
        state: placementstate.PlacementState,
        rng: random.Random,
        now: float,
        settings: orderrules.Settings | None = None,
        log_was_lost: bool = False,
    ):
        self.settings = settings or orderrules.Settings()
        self.tracker = ordertracker.OrderTracker(data_centre, state, self.settings, now)
        self.fence = state.fence
        self._rng = rng
        self._desired: list[orderrecords.Action] = []
        # With thousands of items a pass over all desired actions takes milliseconds. It
        # is skipped until something changes if no order is open and no action for a
        # reporting server is pending.
        self._is_settled = False
        self._desired_keys: set[tuple] = set()
        self._resends_unlisted = False
        # Servers with inherited orders count as gone until their first report, so that
        # orders to a server that never reports do not hold store slots forever.
        self._gone_at_by_server: dict[str, float] = {
            tracked.intent.backend_id: now
            for tracked in self.tracker.tracked_by_id.values()
        }
        self._adoption = shareadoption.ShareAdoption(data_centre, state)
        self._retry_at_by_target: dict[tuple, float] = {}
        self._repeat_at_by_server: dict[str, float] = {}
        # After loss of the log, earlier orders are unknown, so none is issued until all
        # of them have expired.
        pause_s = self.settings.lifetime_s + self.settings.clock_margin_s
        self._paused_until = now + pause_s if log_was_lost else now

    def stop(self) -> None:
        """End the ownership; the order engine produces no further output."""
        self.fence = 0

    def set_server(self, server: records.BackendServer) -> None:
        """Add a backend server or update its description."""
        self._is_settled = False
        self.tracker.set_server(server)

    def record_sizes(self, memory_by_item: dict[records.Item, int]) -> None:
        """Record the item sizes in megabytes that the sheet lists."""
        self.tracker.ledger.record_sizes(memory_by_item)

    def mark_server_gone(self, backend_id: str, now: float) -> None:
        """Mark a backend server as gone.

        Its records are dropped once orders to it have expired and loads there have
        exceeded the load timeout, unless it reports again.
        """
        self._gone_at_by_server.setdefault(backend_id, now)

    def set_desired(
        self, actions: list[orderrecords.Action], resends_unlisted: bool = False
    ) -> None:
        """Replace the desired actions, ordered from the most urgent.

        With ``resends_unlisted`` the list may omit actions that have open orders. Those
        are resent until their effect is observed, unless the list has the opposite
        action.
        """
        self._resends_unlisted = resends_unlisted
        if actions == self._desired:
            return
        self._is_settled = False
        self._desired = list(actions)
        self._desired_keys = {
            (action.action, action.backend_id, action.item) for action in actions
        }

    def offer_share(self, share_version: int, share: storeshare.Share) -> None:
        """Record the share that the newest configuration grants this data centre."""
        self._adoption.offer(share_version, share)

    def share_acknowledged(self, share_version: int) -> None:
        """Record that the configuration group has committed the acknowledgement."""
        self._adoption.acknowledged(share_version)

    def observe(self, report: records.LoadReport) -> None:
        """Apply a load report, unless a newer one has been applied."""
        view = self.tracker.ledger.views_by_id.get(report.backend_id)
        # Incarnation, loaded items, and whether no report has been applied.
        old_state = view and (view.report_version[0], view.loaded, view.report is None)
        if view is None or not self.tracker.ledger.observe(report):
            return
        if old_state != (view.report_version[0], view.loaded, False):
            self._is_settled = False
        self._gone_at_by_server.pop(report.backend_id, None)
        for tracked in self.tracker.at_server(report.backend_id):
            self.tracker.reopen_after_restart(tracked)

    def answered(self, answer: orderrecords.OrderAnswer) -> None:
        """Apply a model engine's answer to an order."""
        tracked = self.tracker.tracked_by_id.get(answer.order_id)
        if tracked is None or not tracked.is_open or tracked.stage is Stage.PROPOSED:
            return
        tracked.stage = answer.stage
        if answer.stage is Stage.ACCEPTED:
            tracked.accepted_incarnation = answer.incarnation
        elif answer.stage is Stage.REFUSED:
            tracked.refused_incarnation = answer.incarnation

    def committed(self, command, now: float) -> None:
        """Update the orders after the state has applied a command of this owner."""
        if command.fence != self.fence:
            return
        self._is_settled = False
        if isinstance(command, placementstate.IntendOrders):
            for intent in command.intents:
                tracked = self.tracker.tracked_by_id.get(intent.order_id)
                if tracked is not None and tracked.stage is Stage.PROPOSED:
                    tracked.stage = Stage.INTENDED
        elif isinstance(command, placementstate.CloseIntents):
            for closing in command.closings:
                self._delay_retry_after_refusal(closing, now)
                self.tracker.close(closing)
        elif isinstance(command, placementstate.ForgetIntents):
            for order_id in command.order_ids:
                self.tracker.drop(order_id)
        elif isinstance(command, placementstate.ForgetBackend):
            self.tracker.remove_server(command.backend_id)
            self._gone_at_by_server.pop(command.backend_id, None)
        elif isinstance(command, placementstate.AdoptShare):
            self.tracker.share.adopt(command.share, now)
            self._adoption.recorded()

    def rejected(self, command) -> None:
        """Roll back a proposal that will definitely not be committed."""
        self._is_settled = False
        order_ids = []
        if isinstance(command, placementstate.IntendOrders):
            for intent in command.intents:
                self.tracker.drop(intent.order_id)
        elif isinstance(command, placementstate.CloseIntents):
            order_ids = [closing.order_id for closing in command.closings]
        elif isinstance(command, placementstate.ForgetIntents):
            order_ids = command.order_ids
        for order_id in order_ids:
            tracked = self.tracker.tracked_by_id.get(order_id)
            if tracked is not None:
                tracked.is_closing = False

    def tick(self, now: float, lease_until: float) -> list[records.Record]:
        """Return the proposals and orders that are due, or none outside the lease."""
        if not self._is_within_lease(now, lease_until) or now < self._paused_until:
            return []
        outputs: list[records.Record] = []
        outputs.extend(self._propose_closings(now))
        outputs.extend(self._propose_forgetting(now))
        outputs.extend(self._propose_intents(now))
        outputs.extend(self._send(now))
        outputs.extend(self._adoption.tick(self.tracker.share, self.fence, now))
        return outputs

    def may_send(
        self, send: orderrecords.SendOrder, now: float, lease_until: float
    ) -> bool:
        """Return whether a queued order may be sent; called right before each send."""
        return (
            self._is_within_lease(now, lease_until)
            and send.order.fence == self.fence
            and now < send.order.expires_at
        )

    def _is_within_lease(self, now, lease_until):
        return self.fence > 0 and now < lease_until

    def _is_still_wanted(self, tracked):
        intent = tracked.intent
        wanted = (intent.action, intent.backend_id, tracked.item) in self._desired_keys
        if wanted or tracked.is_barrier:
            return True
        if not self._resends_unlisted or tracked.is_abandoned or tracked.is_reopened:
            return False
        opposite = placementstate.UNLOAD if tracked.is_load else placementstate.LOAD
        return (opposite, intent.backend_id, tracked.item) not in self._desired_keys

    def _delay_retry_after_refusal(self, closing, now):
        tracked = self.tracker.tracked_by_id.get(closing.order_id)
        if tracked is not None and closing.outcome == placementstate.REFUSED:
            retry_at = now + self.settings.max_resend_interval_s
            self._retry_at_by_target[tracked.target()] = retry_at

    def _propose_closings(self, now):
        barriers_by_target: dict[tuple, list] = {}
        for tracked in self.tracker.tracked_by_id.values():
            if tracked.is_barrier:
                barriers_by_target.setdefault(tracked.target(), []).append(tracked)
        closings = []
        for tracked, view in self.tracker.open_orders():
            if tracked.is_closing or tracked.stage is Stage.PROPOSED:
                continue
            barriers = barriers_by_target.get(tracked.target(), [])
            outcome = self._outcome(tracked, view, barriers, now)
            if outcome:
                tracked.is_closing = True
                closings.append(_closing(tracked, view, outcome))
        if not closings:
            return []
        return [orderrecords.Propose(placementstate.CloseIntents(closings, self.fence))]

    def _outcome(self, tracked, view, barriers, now):
        is_unsent = tracked.stage is Stage.INTENDED and tracked.attempts == 0
        if is_unsent and not self._is_still_wanted(tracked):
            return placementstate.UNSENT
        return orderrules.outcome_of(
            tracked, view, self.fence, barriers, self.settings, now
        )

    def _propose_forgetting(self, now):
        """Return proposals to forget closed orders and servers that are gone.

        A closed order is forgotten once it is too late for a report of a restart of the
        model engine to reopen it.
        """
        wait_s = self.settings.clock_margin_s + self.settings.max_report_delay_s
        order_ids = []
        for order_id, tracked in self.tracker.tracked_by_id.items():
            if tracked.is_open or tracked.is_closing:
                continue
            if now > tracked.expires_at + wait_s:
                tracked.is_closing = True
                order_ids.append(order_id)
        outputs = []
        if order_ids:
            forget = placementstate.ForgetIntents(self.fence, order_ids)
            outputs.append(orderrecords.Propose(forget))
        outputs.extend(self._propose_server_removals(now))
        return outputs

    def _propose_server_removals(self, now):
        settings = self.settings
        wait_s = settings.lifetime_s + settings.clock_margin_s + settings.load_timeout_s
        for backend_id, gone_at in self._gone_at_by_server.items():
            repeat_at = self._repeat_at_by_server.get(backend_id, 0.0)
            if now > gone_at + wait_s and now >= repeat_at:
                self._repeat_at_by_server[backend_id] = now + REPEAT_INTERVAL_S
                command = placementstate.ForgetBackend(backend_id, self.fence)
                yield orderrecords.Propose(command)

    def _propose_intents(self, now):
        if self._is_settled:
            return []
        intents = self._track_barriers(now)
        targets = {tracked.target() for tracked, _ in self.tracker.open_orders()}
        selection = orderselection.Selection(
            self._desired, self.tracker.ledger, self.tracker.share
        )
        for action in selection.startable():
            if len(intents) >= MAX_INTENTS_PER_COMMAND:
                break
            target = (action.backend_id, action.item)
            is_gone = action.backend_id in self._gone_at_by_server
            if is_gone or target in targets:
                continue
            if now < self._retry_at_by_target.get(target, 0.0):
                continue
            tracked = self.tracker.track(action.action, *target, action.memory_mb, now)
            targets.add(target)
            intents.append(tracked.intent)
        if not intents:
            self._is_settled = not targets and selection.pending == 0
            return []
        return [orderrecords.Propose(placementstate.IntendOrders(self.fence, intents))]

    def _track_barriers(self, now):
        """Track and return unload intents that resolve loads of unknown outcome."""
        open_orders = self.tracker.open_orders()
        unload_targets = {
            tracked.target() for tracked, _ in open_orders if not tracked.is_load
        }
        intents = []
        for tracked, view in open_orders:
            if tracked.target() in unload_targets:
                continue
            # Abandoned and reopened orders count as unwanted here, so that a barrier
            # closes them after their expiry and frees their store slots.
            is_kept = not tracked.is_abandoned and not tracked.is_reopened
            wanted = is_kept and self._is_still_wanted(tracked)
            if orderrules.needs_barrier(tracked, view, wanted, self.settings, now):
                tracked.is_abandoned = True
                barrier = self.tracker.track(
                    placementstate.UNLOAD, *tracked.target(), 0, now
                )
                barrier.is_barrier = True
                unload_targets.add(barrier.target())
                intents.append(barrier.intent)
        return intents

    def _send(self, now):
        outputs = []
        for tracked, view in self.tracker.open_orders():
            if tracked.intent.backend_id in self._gone_at_by_server:
                continue
            wanted = self._is_still_wanted(tracked)
            if not self._may_send_copy(tracked, view, wanted, now):
                continue
            if tracked.is_load and not self.tracker.share.take_token(tracked.item, now):
                continue
            if wanted:
                tracked.expires_at = now + self.settings.lifetime_s
            outputs.append(self._send_copy(tracked, view, now))
        return outputs

    def _may_send_copy(self, tracked, view, is_wanted, now):
        if tracked.stage is Stage.PROPOSED:
            return False
        share = self.tracker.share
        if tracked.is_reopened and not share.is_use_within(share.limits):
            return False  # a restart may reopen more loads than there are store slots
        return orderrules.may_resend(tracked, view, is_wanted, now)

    def _send_copy(self, tracked, view, now):
        settings = self.settings
        wait_s = settings.initial_resend_interval_s * 2 ** min(tracked.attempts, 16)
        wait_s = min(settings.max_resend_interval_s, wait_s)
        tracked.next_send_at = now + wait_s * self._rng.uniform(0.75, 1.25)
        tracked.attempts += 1
        tracked.stage = Stage.SENT
        intent = tracked.intent
        order = records.Order(
            intent.order_id,
            self.fence,
            intent.backend_id,
            intent.action,
            tracked.item,
            intent.memory_mb,
            tracked.expires_at,
        )
        return orderrecords.SendOrder(order, view.report.incarnation)


def _closing(tracked, view, outcome):
    return placementstate.Closing(
        incarnation=view.report_version[0],
        order_id=tracked.intent.order_id,
        outcome=outcome,
        sequence=view.report_version[1],
    )
