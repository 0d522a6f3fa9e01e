"""Crashes of servers as one entry host sees them, and the search for their causes."""

from kumquatproxy import logs
from kumquatproxy.fleet import servers
from kumquatproxy.gateway import (
    calls,
    crashingcalls,
    crashingparts,
    departures,
    sharedfacts,
    suspicion,
)

# Time for which a crash without a refused connection can be confirmed by a heartbeat of
# the server's next lifetime.
PENDING_KEPT_S = 15.0
MAX_PENDING_SERVERS = 100
# A call that was sent to a server so long after its crash was seen ran at a later
# lifetime, which has not announced itself yet.
RESTART_S = 0.5
MAX_UNANNOUNCED_LIFETIMES = 10


class PendingCrash:
    """Hold the suspects at a server that may have crashed."""

    __slots__ = (
        "address",
        "born_ms",
        "broken_at",
        "instance_id",
        "sent_at",
        "suspected_calls",
        "suspected_parts",
    )

    def __init__(self, announcement, now):
        self.instance_id: str = announcement.instance_id
        self.born_ms: int = announcement.born_ms
        self.address: str = announcement.address
        self.suspected_calls: list[list] = []
        self.suspected_parts: list[list] = []
        self.broken_at: float = now
        self.sent_at = float("-inf")  # of the call that was sent last

    def is_ended_by(self, announcement) -> bool:
        """Return whether an announcement is of a later lifetime of this server."""
        is_same = (
            announcement.instance_id == self.instance_id
            or announcement.address == self.address
        )
        return is_same and announcement.born_ms > self.born_ms


class CrashTracker:
    """Track crashes at one entry host, from its own calls and shared facts.

    ``publish(fact, now)`` adds a fact to the table and sends it to the other hosts.
    """

    def __init__(self, host_id: str, table: sharedfacts.FactTable, publish):
        self.parts = crashingparts.PartJudge(host_id, table, publish)
        self.calls = crashingcalls.CallJudge(host_id, table, publish)
        self._log = logs.Log("crash")
        self._pending_by_lifetime: dict[tuple, PendingCrash] = {}
        self._departures = departures.DepartureTable()

    @property
    def _judges(self) -> tuple[suspicion.Judge, ...]:
        return self.parts, self.calls

    # Observations of this host

    def record_answer(
        self, call: calls.Call, now: float, is_complete: bool = True
    ) -> None:
        """Record that a server has begun an answer to a call and has not crashed."""
        self.parts.record_answer(call, now)
        if is_complete:
            self.calls.record_answer(call, now)

    def record_break(
        self,
        call: calls.Call,
        announcement,
        has_begun: bool,
        now: float,
        ran_s: float | None = None,
        sent_at: float = float("-inf"),
    ) -> bool:
        """Record that a server broke off a call.

        ``ran_s`` is the time since the first event, None before it. Return whether the
        parts of the call may have crashed the server. A leaving server ends as planned.
        """
        if announcement.state is not servers.ServerState.READY:
            return False
        suspected_calls = self.calls.suspected_features(call, now)
        suspected_parts = []
        if ran_s is None:
            suspected_parts = self.parts.suspected_features(call, now)
        if not suspected_calls and not suspected_parts:
            return False
        self._expire_pending(now)
        lifetime = announcement.lifetime
        pending = self._pending_by_lifetime.get(lifetime)
        if pending is None:
            pending = PendingCrash(announcement, now)
            self._pending_by_lifetime[lifetime] = pending
        pending.sent_at = max(pending.sent_at, sent_at)
        if suspected_calls:
            is_long = ran_s is not None and ran_s >= crashingparts.SOUND_AFTER_S
            grade = crashingcalls.LONG_RUNNING if is_long else crashingcalls.RUNNING
            pending.suspected_calls = self.calls.add_suspect(
                pending.suspected_calls, grade, suspected_calls
            )
        if suspected_parts:
            pending.suspected_parts = self.parts.add_suspect(
                pending.suspected_parts, has_begun, suspected_parts
            )
        return bool(suspected_parts)

    def record_departure(
        self,
        call: calls.Call,
        announcement,
        sent_at: float,
        now: float,
        has_event: bool = False,
    ) -> None:
        """Record that a call was left while a server was running it.

        ``has_event`` tells whether an event of the response had come.
        """
        if announcement.state is not servers.ServerState.READY:
            return
        keys = self.calls.suspected_features(call, now)
        parts = [] if has_event else self.parts.suspected_features(call, now)
        if keys or parts:
            departure = departures.Departure(now, sent_at, keys, parts)
            self._departures.record(announcement, departure)

    def confirm_crash(self, lifetime: tuple, now: float) -> None:
        """Publish the suspects at a server that has crashed."""
        pending = self._pending_by_lifetime.pop(lifetime, None)
        broken_at = now if pending is None else pending.broken_at
        departed = self._departures.take(lifetime, broken_at)
        if departed is not None:
            pending = pending or PendingCrash(departed.announcement, now)
            self._add_departed(pending, departed)
        if pending is None:
            return
        instance_id, born_ms = lifetime
        self._log.write(
            now,
            f"server {instance_id} crashed before it had answered some calls",
            born_ms=born_ms,
            suspects=pending.suspected_parts,
            repetitions=pending.suspected_calls,
        )
        key = self._crash_key(pending, now)
        facts = []
        for judge, suspects in (
            (self.parts, pending.suspected_parts),
            (self.calls, pending.suspected_calls),
        ):
            if suspects:
                facts.append(judge.publish_crash(key, suspects, now))
        self.handle_facts(facts, now)

    def _add_departed(self, pending, departed):
        """Add the calls that were left, and their parts, to the suspects of a crash."""
        for entry in reversed(departed.entries):
            pending.sent_at = max(pending.sent_at, entry.sent_at)
            if entry.keys:
                grade = self.calls.departed_grade(entry.keys)
                pending.suspected_calls = self.calls.add_suspect(
                    pending.suspected_calls, grade, entry.keys
                )
            # The parts of calls that broke off come first.
            if entry.parts and self.parts.has_room(pending.suspected_parts):
                pending.suspected_parts = self.parts.add_suspect(
                    pending.suspected_parts, False, entry.parts
                )

    def _crash_key(self, pending, now):
        """Return the key of a crash, the same at all hosts that see it."""
        key = lifetime_key = f"{pending.instance_id}/{pending.born_ms}"
        for number in range(1, MAX_UNANNOUNCED_LIFETIMES):
            seen_at = min(judge.crash_seen_at(key, now) for judge in self._judges)
            if pending.sent_at <= seen_at + RESTART_S:
                break
            key = f"{lifetime_key}+{number}"
        return key

    def confirm_ended(self, announcement, now: float) -> None:
        """Confirm the crash of earlier lifetimes of a server that announces itself."""
        ended = {
            lifetime
            for lifetime, pending in self._pending_by_lifetime.items()
            if pending.is_ended_by(announcement)
        }
        departed = self._departures.find_ended(announcement)
        if departed is not None:
            ended.add(departed)
        for lifetime in ended:
            self.confirm_crash(lifetime, now)

    def _expire_pending(self, now):
        for lifetime, pending in list(self._pending_by_lifetime.items()):
            is_surplus = len(self._pending_by_lifetime) >= MAX_PENDING_SERVERS
            if is_surplus or now - pending.broken_at > PENDING_KEPT_S:
                del self._pending_by_lifetime[lifetime]

    def handle_facts(self, facts: list[sharedfacts.Fact], now: float) -> None:
        """Take new or changed facts into account."""
        for judge in self._judges:
            judge.watch(facts, now)
        crash_kinds = {judge.crash_kind for judge in self._judges}
        if any(fact.kind in crash_kinds for fact in facts):
            self.parts.blame(self.calls.explained_crashes(now), now)
            self.calls.blame(self.parts.explained_crashes(now), now)

    # Decisions

    def find_blame(self, call: calls.Call, now: float) -> sharedfacts.Fact | None:
        """Return the fact for which a call must be rejected, or None."""
        for judge in self._judges:
            blame = judge.find_blame(call, now)
            if blame is not None:
                return blame
        return None

    def retry_after_s(self, blame: sharedfacts.Fact, now: float) -> float:
        """Return the time until the next trial of what is blamed."""
        held_until = blame.observed_at + suspicion.hold_s(blame.value[0])
        return max(1.0, held_until - now)

    def end_call(self, call: calls.Call, now: float) -> None:
        """Let another call be sent as a trial if this one was."""
        for judge in self._judges:
            judge.end_call(call, now)
