"""Turns at servers with a limit: entry hosts ask, the leader gives."""

import itertools

import gevent.event

from kumquatproxy.fleet import fleetmessages
from kumquatproxy.gateway import serverlimits, sharedfacts

ANSWER_TIMEOUT_S = 0.2
EXPIRE_INTERVAL_S = 5.0


class TurnClient:
    """Ask the leader for turns; ``send(host_id, message)`` sends a message."""

    def __init__(self, send):
        self._send = send
        self._numbers = itertools.count(1)
        self._pending_by_number: dict[int, gevent.event.AsyncResult] = {}

    def take(
        self, leader: str, announcement, rate: float, max_wait_s: float
    ) -> serverlimits.Turn | None:
        """Return the answer of the leader, or None if there is none in time."""
        number = next(self._numbers)
        pending = self._pending_by_number[number] = gevent.event.AsyncResult()
        message = fleetmessages.TurnWanted(
            key=serverlimits.lifetime_key(announcement),
            max_wait_s=max_wait_s,
            number=number,
            rate=rate,
        )
        try:
            self._send(leader, message)
            return pending.get(timeout=ANSWER_TIMEOUT_S)
        except gevent.Timeout:
            return None
        finally:
            del self._pending_by_number[number]

    def receive(self, message: fleetmessages.TurnAnswer) -> None:
        """Handle an answer of the leader."""
        pending = self._pending_by_number.get(message.number)
        if pending is not None and message.is_leader:
            pending.set(serverlimits.Turn(message.is_given, message.wait_s))
        elif pending is not None:
            pending.set(None)


class TurnGiver:
    """Give turns while this host leads the control group for certain."""

    def __init__(self, table: sharedfacts.FactTable):
        self._table = table
        self._book = serverlimits.TurnBook(0.0)
        self._term = 0
        self._next_expiry_at = 0.0

    def track_term(self, member, now: float) -> None:
        """Begin anew when this host has become the leader."""
        if member.leader_state is not None and member.term != self._term:
            self._term = member.term
            earlier_until = now + serverlimits.MAX_TURN_WAIT_S
            self._book = serverlimits.TurnBook(earlier_until)

    def take(
        self, member, key: str, rate: float | None, max_wait_s: float, now: float
    ) -> serverlimits.Turn | None:
        """Give a turn at a server, None if this host is not certain to lead.

        ``rate`` is the limit that the asking host knows.
        """
        if member.leader_state is None or not member.has_lease(now):
            return None
        self.track_term(member, now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRE_INTERVAL_S
            self._book.expire(now)
        fact = self._table.get(serverlimits.SERVER_LIMIT, key, now)
        rate = fact.value[0] if fact is not None else rate
        if rate is None:
            return serverlimits.Turn(True, 0.0)
        return self._book.take(key, rate, max_wait_s, now)

    def answer(
        self, member, message: fleetmessages.TurnWanted, now: float
    ) -> fleetmessages.TurnAnswer:
        """Return the answer to an entry host."""
        turn = self.take(member, message.key, message.rate, message.max_wait_s, now)
        return fleetmessages.TurnAnswer(
            is_given=turn is not None and turn.is_given,
            is_leader=turn is not None,
            number=message.number,
            wait_s=turn.wait_s if turn is not None else 0.0,
        )
