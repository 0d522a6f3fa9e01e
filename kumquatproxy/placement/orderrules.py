"""Rules for one order: when it may be resent and what proves its outcome."""

import enum

from kumquatproxy import records
from kumquatproxy.placement import ledger, placementstate


class Stage(enum.Enum):
    """Stage of an order; closed intents are kept until they are forgotten."""

    PROPOSED = "proposed"  # intent not committed yet
    INTENDED = "intended"
    SENT = "sent"
    ACCEPTED = "accepted"
    REFUSED = "refused"  # refused by the model engine, not closed yet
    UNKNOWN = "unknown"  # no usable answer, or inherited from an earlier owner
    OBSERVED = "observed"  # closed: its outcome is recorded


class Settings:
    """Times of the order life cycle in seconds."""

    __slots__ = (
        "clock_margin_s",
        "initial_resend_interval_s",
        "lifetime_s",
        "load_timeout_s",
        "max_report_delay_s",
        "max_resend_interval_s",
    )

    def __init__(
        self,
        lifetime_s=30.0,
        clock_margin_s=5.0,
        max_report_delay_s=30.0,
        load_timeout_s=60.0,
        initial_resend_interval_s=1.0,
        max_resend_interval_s=8.0,
    ):
        self.lifetime_s: float = lifetime_s  # model engines discard older orders
        # Margin for clocks that drift against each other.
        self.clock_margin_s: float = clock_margin_s
        # Reports that are later than this are considered lost.
        self.max_report_delay_s: float = max_report_delay_s
        # A load that is still running after this time has failed.
        self.load_timeout_s: float = load_timeout_s
        self.initial_resend_interval_s: float = initial_resend_interval_s
        self.max_resend_interval_s: float = max_resend_interval_s


class TrackedOrder:
    """State of one intent as the current owner knows it, on that owner's clock."""

    __slots__ = (
        "accepted_incarnation",
        "attempts",
        "closed_incarnation",
        "expires_at",
        "intent",
        "is_abandoned",
        "is_barrier",
        "is_closing",
        "is_inherited",
        "is_reopened",
        "item",
        "next_send_at",
        "refused_incarnation",
        "stage",
        "tracked_at",
    )

    def __init__(self, intent, expires_at, now, is_inherited=False):
        self.intent: placementstate.Intent = intent
        self.item: records.Item = intent.parsed_item()
        self.stage = Stage.UNKNOWN if is_inherited else Stage.PROPOSED
        # Model engines accept no copy after this time. An inherited intent gets the
        # full lifetime from the takeover on, because the clock of the earlier owner is
        # not comparable and its last copy was sent before the takeover.
        self.expires_at: float = expires_at
        self.tracked_at: float = now  # when this owner proposed or inherited it
        self.next_send_at: float = now
        self.attempts = 0  # copies sent by this owner
        self.accepted_incarnation = 0
        self.refused_incarnation = 0
        self.closed_incarnation = 0
        self.is_inherited: bool = is_inherited
        self.is_abandoned = False  # not resent; a barrier determines its outcome
        self.is_barrier = False  # unload sent to resolve an abandoned load
        self.is_closing = False  # its closing or removal is proposed
        self.is_reopened = False  # was closed before the model engine restarted

    @property
    def is_load(self) -> bool:
        """Return whether the order is a load, which needs memory."""
        return self.intent.action == placementstate.LOAD

    @property
    def is_open(self) -> bool:
        """Return whether the order has no recorded outcome or has been reopened."""
        return self.stage is not Stage.OBSERVED

    def target(self) -> tuple[str, records.Item]:
        """Return the backend server and item.

        Only one order is open for each pair, besides barriers and reopened orders.
        """
        return self.intent.backend_id, self.item

    def is_expired(self, settings: Settings, now: float) -> bool:
        """Return whether every copy is too old to be accepted."""
        return now > self.expires_at + settings.clock_margin_s


def is_seen(tracked: TrackedOrder, view: ledger.BackendView) -> bool:
    """Return whether the newest report lists the order among those seen.

    A load that has been seen may still be running.
    """
    return tracked.intent.order_id in view.orders_seen


def outcome_of(
    tracked: TrackedOrder,
    view: ledger.BackendView,
    fence: int,
    barriers: list[TrackedOrder],
    settings: Settings,
    now: float,
) -> str:
    """Return the proven outcome of an open order, or an empty string.

    The outcome is proven by a report that the model engine made after it had seen the
    order, a newer fence or a barrier, or by the expiry of the order on this owner's
    clock. The arrival time of a report proves nothing, because reports may be late.
    """
    if tracked.is_load:
        return _load_outcome(tracked, view, fence, barriers, settings, now)
    if view.report is not None and is_seen(tracked, view):
        if tracked.item not in view.loaded:
            return placementstate.GONE
    if tracked.is_expired(settings, now):
        return placementstate.EXPIRED
    return ""


def _load_outcome(tracked, view, fence, barriers, settings, now):
    report = view.report
    if report is None:
        return ""
    seen = is_seen(tracked, view)
    if tracked.item in view.loaded:
        # The item may be from an earlier load. A copy that is neither seen nor expired
        # could load the item again after an unload, so the order stays open.
        if seen or tracked.is_expired(settings, now):
            return placementstate.LOADED
        return ""
    if seen and tracked.refused_incarnation == report.incarnation:
        return placementstate.REFUSED
    if _is_fenced(tracked, view, fence) and not seen:
        return placementstate.FENCED
    for barrier in barriers:
        is_after_expiry = (
            barrier.tracked_at > tracked.expires_at + settings.clock_margin_s
        )
        if is_after_expiry and is_seen(barrier, view):
            return placementstate.GONE
    return ""


def _is_fenced(tracked, view, fence):
    """Return whether the model engine's fence rejects every copy of the order."""
    only_old_copies = tracked.is_inherited and tracked.attempts == 0
    return (
        only_old_copies
        and view.server.checks_fencing
        and view.report.fence_seen >= fence
    )


def needs_barrier(
    tracked: TrackedOrder,
    view: ledger.BackendView,
    is_wanted: bool,
    settings: Settings,
    now: float,
) -> bool:
    """Return whether an unload must resolve a load with an unknown outcome."""
    if not tracked.is_load or not tracked.is_expired(settings, now):
        return False
    if view.report is None or tracked.item in view.loaded:
        return False
    if is_seen(tracked, view):
        return (
            now > tracked.expires_at + settings.clock_margin_s + settings.load_timeout_s
        )
    return not is_wanted


def may_resend(
    tracked: TrackedOrder,
    view: ledger.BackendView,
    is_wanted: bool,
    now: float,
) -> bool:
    """Return whether to send another copy of an open, committed order now."""
    if tracked.is_abandoned or tracked.is_closing or now < tracked.next_send_at:
        return False
    if view.report is None or is_seen(tracked, view):
        return False
    if tracked.accepted_incarnation == view.report.incarnation:
        return False
    if is_wanted:
        return True
    # A model engine that ignores fences may accept an old copy at any time until the
    # order expires, so the order is resent although no plan wants it.
    is_resent_unwanted = tracked.is_inherited and not tracked.is_reopened
    return (
        is_resent_unwanted
        and not view.server.checks_fencing
        and now < tracked.expires_at
    )
