"""Rules of one order: when it may be resent and what proves its outcome."""

import enum

from kumquatproxy import records
from kumquatproxy.placement import ledger, placementstate


class Stage(enum.Enum):
    """Name how far an order has come; closed intents are kept until forgotten."""

    PROPOSED = "proposed"  # intent not committed yet
    INTENDED = "intended"
    SENT = "sent"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no answer, or inherited from an earlier owner
    OBSERVED = "observed"  # closed


class Settings:
    """Hold the times of the order life cycle in seconds."""

    __slots__ = (
        "lifetime_s",
        "load_limit_s",
        "margin_s",
        "report_lag_s",
        "resend_first_s",
        "resend_most_s",
    )

    def __init__(
        self,
        lifetime_s=30.0,
        margin_s=5.0,
        report_lag_s=30.0,
        load_limit_s=60.0,
        resend_first_s=1.0,
        resend_most_s=8.0,
    ):
        self.lifetime_s: float = lifetime_s  # engines discard orders older than this
        self.margin_s: float = margin_s  # for clocks that drift against each other
        self.report_lag_s: float = report_lag_s  # reports later than this are lost
        self.load_limit_s: float = load_limit_s  # a load still running then has failed
        self.resend_first_s: float = resend_first_s
        self.resend_most_s: float = resend_most_s


class Tracked:
    """Hold what the present owner knows of one intent, on its own clock."""

    __slots__ = (
        "accepted_incarnation",
        "attempts",
        "closed_incarnation",
        "expires_at",
        "intended_at",
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
    )

    def __init__(self, intent, expires_at, now, is_inherited=False):
        self.intent: placementstate.Intent = intent
        self.item: records.Item = intent.loadable()
        self.stage = Stage.UNKNOWN if is_inherited else Stage.PROPOSED
        # No copy is accepted after this time, whoever sent it. An inherited intent gets
        # the full lifetime from the takeover on, because the clock of the earlier owner
        # is not comparable and its last copy was sent before the takeover.
        self.expires_at: float = expires_at
        self.intended_at: float = now
        self.next_send_at: float = now
        self.attempts = 0  # copies sent by this owner
        self.accepted_incarnation = 0
        self.refused_incarnation = 0
        self.closed_incarnation = 0
        self.is_inherited: bool = is_inherited
        self.is_abandoned = False  # no copy is sent any more; a barrier resolves it
        self.is_barrier = False  # an unload that resolves an abandoned load
        self.is_closing = False  # its closing is proposed
        self.is_reopened = False  # it was closed before the engine restarted

    @property
    def is_load(self) -> bool:
        """Return whether the order takes memory."""
        return self.intent.action == placementstate.LOAD

    @property
    def is_open(self) -> bool:
        """Return whether the order may still take effect."""
        return self.stage is not Stage.OBSERVED

    def place(self) -> tuple[str, records.Item]:
        """Return the backend server and the item; one order is open for each."""
        return self.intent.backend_id, self.item

    def is_expired(self, settings: Settings, now: float) -> bool:
        """Return whether no copy can be accepted any more."""
        return now > self.expires_at + settings.margin_s


def is_seen(tracked: Tracked, view: ledger.BackendView) -> bool:
    """Return whether the newest report lists the order as processed."""
    return tracked.intent.order_id in view.orders_seen


def outcome_of(
    tracked: Tracked,
    view: ledger.BackendView,
    fence: int,
    barriers: list[Tracked],
    settings: Settings,
    now: float,
) -> str:
    """Return the proven outcome of an open order, or an empty text.

    Each proof is causal: the report was made after the engine processed the order, a
    newer fence or a barrier. The time of arrival of a report proves nothing, because
    reports may be late.
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
        # Without the id, a copy may still arrive after an unload of the same item.
        if seen or tracked.is_expired(settings, now):
            return placementstate.LOADED
        return ""
    if seen and tracked.refused_incarnation == report.incarnation:
        return placementstate.REFUSED
    if _is_fenced_off(tracked, view, fence) and not seen:
        return placementstate.FENCED
    for barrier in barriers:
        begun_after = barrier.intended_at > tracked.expires_at + settings.margin_s
        if begun_after and is_seen(barrier, view):
            return placementstate.GONE
    return ""


def _is_fenced_off(tracked, view, fence):
    """Return whether the engine refuses every copy of an inherited order."""
    only_old_copies = tracked.is_inherited and tracked.attempts == 0
    return (
        only_old_copies
        and view.server.checks_fencing
        and view.report.fence_seen >= fence
    )


def needs_barrier(
    tracked: Tracked,
    view: ledger.BackendView,
    is_wanted: bool,
    settings: Settings,
    now: float,
) -> bool:
    """Return whether an unload must settle a load whose fate is not known."""
    if not tracked.is_load or not tracked.is_expired(settings, now):
        return False
    if view.report is None or tracked.item in view.loaded:
        return False
    if is_seen(tracked, view):
        return now > tracked.expires_at + settings.margin_s + settings.load_limit_s
    return not is_wanted


def may_resend(
    tracked: Tracked,
    view: ledger.BackendView,
    is_wanted: bool,
    now: float,
) -> bool:
    """Return whether a copy of an open, committed order is useful now."""
    if tracked.is_abandoned or tracked.is_closing or now < tracked.next_send_at:
        return False
    if view.report is None or is_seen(tracked, view):
        return False
    if tracked.accepted_incarnation == view.report.incarnation:
        return False
    if is_wanted:
        return True
    # An engine that ignores fences may still take an old copy, so the order is
    # completed rather than left open until it expires.
    completes = tracked.is_inherited and not tracked.is_reopened
    return completes and not view.server.checks_fencing and now < tracked.expires_at
