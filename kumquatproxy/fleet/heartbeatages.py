"""Ages of servers' heartbeats, which tell whether a stream may go on at a server.

A server that starts again under its id and address may run another software version,
and answers do not name it. Hosts learn of it from its first heartbeat. A stream that
has begun therefore goes on only at servers that have sent a heartbeat lately, on a
connection that was open by then. Pushes tell that too late, so entry hosts ask the
control hosts.
"""

import math

import gevent
import gevent.event

from kumquatproxy import clock, entrychecks, wire
from kumquatproxy.fleet import servers

# Part of the session of an entry host that asks for ages.
AGES_MARK = "+ages"
# Servers send a heartbeat about once a second.
MAX_AGE_S = 2.0
INTERVAL_S = 1.05  # between them, with the time until a control host has the next one
# A server takes longer to end, to start and to accept connections again.
MIN_RESTART_S = 0.3
MAX_DELAY_S = 0.3  # of a heartbeat that is still expected at any moment
# A control host that is asked for the next heartbeat is asked again after this time.
REPEAT_S = 0.1
# An entry host and all control hosts are a round trip apart, also across regions.
TIMEOUT_S = 0.2
# A host that has greeted is not replaced by one of another build within this time.
GREETING_SETTLE_S = 1.5
MAX_ASKED = 16  # servers in one message


@wire.register("heartbeat-ages-wanted")
class HeartbeatAgesWanted(wire.Message):
    """Ask a control host for the ages of the heartbeats that servers sent to it."""

    __slots__ = ("instance_ids", "number")
    instance_ids: list
    number: int


@wire.register("heartbeat-ages")
class HeartbeatAges(wire.Message):
    """Answer a HeartbeatAgesWanted; a first one with number 0 greets a subscriber."""

    __slots__ = ("ages", "number")
    ages: list  # [instance id, born_ms, seconds] of servers with a recent heartbeat
    number: int


def mark_session(session: str) -> str:
    """Return the session of an entry host that asks for ages."""
    return AGES_MARK + session


def asks_for_ages(session: str) -> bool:
    """Return whether a subscriber with this session asks for ages."""
    return AGES_MARK in session


class PendingQuestion:
    """Hold a question to some control hosts and the event that its end sets."""

    __slots__ = ("asked_at", "awaited_ids", "number", "settled")

    def __init__(self, number, awaited_ids, now):
        self.number: int = number
        self.awaited_ids: set[str] = set(awaited_ids)
        self.asked_at: float = now
        self.settled = gevent.event.Event()


class HeartbeatWatch:
    """Ask control hosts for the ages of heartbeats, and remember the answers.

    ``broadcast(host_ids, message)`` sends a message to control hosts.
    """

    __slots__ = (
        "_asked_at_by_ids",
        "_broadcast",
        "_greeted_at_by_id",
        "_heard_at_by_lifetime",
        "_pending_by_ids",
        "_question_count",
    )

    def __init__(self, broadcast):
        self._broadcast = broadcast
        self._greeted_at_by_id: dict[str, float] = {}
        self._heard_at_by_lifetime: dict[tuple, float] = {}
        # By the instance ids that were asked for.
        self._pending_by_ids: dict[tuple[str, ...], PendingQuestion] = {}
        self._asked_at_by_ids: dict[tuple[str, ...], float] = {}
        self._question_count = 0

    def reopen(self, host_id: str, now: float) -> None:
        """Record a new link to a control host, which may be of another build by now."""
        if now - self._greeted_at_by_id.get(host_id, now) >= GREETING_SETTLE_S:
            del self._greeted_at_by_id[host_id]

    def receive(self, sender: str, message: HeartbeatAges, now: float) -> None:
        """Handle the greeting or the answer of a control host."""
        self._greeted_at_by_id[sender] = now
        for pending in self._pending_by_ids.values():
            if pending.number == message.number:
                self._record(message.ages, pending.asked_at)
                pending.awaited_ids.discard(sender)
                # Any answer may be the one that the calls need.
                pending.settled.set()
                pending.settled.clear()

    def _record(self, ages, asked_at):
        for entry in ages:
            if not _is_age(entry):
                continue
            instance_id, born_ms, age_s = entry
            lifetime = (instance_id, born_ms)
            heard_at = max(
                asked_at - age_s, self._heard_at_by_lifetime.get(lifetime, -math.inf)
            )
            self._heard_at_by_lifetime[lifetime] = heard_at

    def recent(
        self, announcements: list[servers.Announcement], live_ids: set[str]
    ) -> set[tuple]:
        """Return the lifetimes with a recent heartbeat; ask if none is known to be.

        ``live_ids`` are the control hosts in contact. All lifetimes count if no control
        host knows these messages.
        """
        lifetimes = {announcement.lifetime for announcement in announcements}
        if not self._greeted_at_by_id:
            return lifetimes
        now = clock.now()
        found = self.find(lifetimes, now)
        if found or not announcements:
            return found
        pending = self._ask(announcements[:MAX_ASKED], live_ids, now)
        self._wait(pending, lambda: self.find(lifetimes, clock.now()))
        return self.find(lifetimes, clock.now())

    def _wait(self, pending, is_enough):
        """Wait for answers until they are enough, or no further one is awaited."""
        ends_at = clock.now() + TIMEOUT_S
        while pending.awaited_ids and not is_enough():
            left_s = ends_at - clock.now()
            if left_s <= 0.0:
                return
            pending.settled.wait(left_s)

    def confirmed_until(self, announcement: servers.Announcement) -> float:
        """Return until when a connection must have been opened to reach a lifetime.

        It is infinite if no control host knows these messages.
        """
        if not self._greeted_at_by_id:
            return math.inf
        return self._last_at(announcement) + MIN_RESTART_S

    def _last_at(self, announcement):
        """Return when the last known heartbeat of a lifetime arrived at the latest."""
        return self._heard_at_by_lifetime.get(announcement.lifetime, -math.inf)

    def confirm(
        self, announcement: servers.Announcement, opened_at: float, live_ids: set[str]
    ) -> bool:
        """Return whether a connection is known to reach the announced lifetime.

        Wait up to TIMEOUT_S for the heartbeat that shows it. The control hosts are
        asked once that is due.
        """
        if self.confirmed_until(announcement) >= opened_at:
            return True
        now = clock.now()
        due_at = self._due_at(announcement)
        if due_at > now:
            gevent.sleep(min(due_at - now, TIMEOUT_S))
        else:
            pending = self._ask([announcement], live_ids, now)
            self._wait(pending, lambda: self.confirmed_until(announcement) >= opened_at)
        return self.confirmed_until(announcement) >= opened_at

    def soonest(
        self, announcements: list[servers.Announcement], now: float
    ) -> list[servers.Announcement]:
        """Return the half of some servers whose next heartbeats are due soonest.

        All are returned if no control host tells of heartbeats.
        """
        if not self._greeted_at_by_id:
            return announcements

        def wait_s(announcement):
            age_s = now - self._last_at(announcement)
            return INTERVAL_S - age_s if age_s < INTERVAL_S + MAX_DELAY_S else age_s

        ranked = sorted(announcements, key=wait_s)
        return ranked[: (len(ranked) + 1) // 2]

    def _due_at(self, announcement):
        """Return when to ask for the next heartbeat of a server."""
        asked_at = self._asked_at_by_ids.get((announcement.instance_id,), -math.inf)
        next_at = self._last_at(announcement) + INTERVAL_S
        return max(next_at, asked_at + REPEAT_S)

    def find(self, lifetimes: set[tuple], now: float) -> set[tuple]:
        """Return those of some lifetimes with a heartbeat known to be recent."""
        oldest = now - MAX_AGE_S
        heard_at_by_lifetime = self._heard_at_by_lifetime
        return {
            lifetime
            for lifetime in lifetimes
            if heard_at_by_lifetime.get(lifetime, -math.inf) >= oldest
        }

    def _ask(self, announcements, live_ids, now):
        """Ask the control hosts, unless they are being asked for the same servers."""
        self.expire(now)
        ids = tuple(sorted(server.instance_id for server in announcements))
        pending = self._pending_by_ids.get(ids)
        if pending is None:
            self._question_count += 1
            host_ids = live_ids & self._greeted_at_by_id.keys()
            pending = PendingQuestion(self._question_count, host_ids, now)
            self._asked_at_by_ids[ids] = now
            self._pending_by_ids[ids] = pending
            message = HeartbeatAgesWanted(
                instance_ids=list(ids), number=self._question_count
            )
            self._broadcast(sorted(host_ids), message)
        return pending

    def expire(self, now: float) -> None:
        """Remove what can no longer be needed."""
        self._pending_by_ids = {
            ids: pending
            for ids, pending in self._pending_by_ids.items()
            if pending.awaited_ids and now < pending.asked_at + TIMEOUT_S
        }
        self._asked_at_by_ids = {
            ids: asked_at
            for ids, asked_at in self._asked_at_by_ids.items()
            if now - asked_at <= REPEAT_S
        }
        self._heard_at_by_lifetime = {
            lifetime: heard_at
            for lifetime, heard_at in self._heard_at_by_lifetime.items()
            if now - heard_at <= MAX_AGE_S
        }


def _is_age(entry):
    return (
        isinstance(entry, list)
        and len(entry) == 3
        and entrychecks.is_instance_id(entry[0])
        and entrychecks.is_integer(entry[1])
        and entrychecks.is_duration(entry[2])
    )
