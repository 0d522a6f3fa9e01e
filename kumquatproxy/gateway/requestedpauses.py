"""Pauses that servers ask a host for when they turn a request away.

A server says for how long it wants nothing from the host that sent the request. It asks
each host by itself, so hosts do not tell each other.

Traffic pattern: an overloaded server turns requests away while callers keep coming. At
the end of a pause the calls that have waited for it would arrive at once, from all
hosts. Each host therefore comes back at a random time, with one call, and with more as
they are answered.
"""

import collections.abc
import random

from kumquatproxy import logs
from kumquatproxy.gateway import calls

PAUSE_STATUS = 503
# Longer pauses end after this time, because a server that is sound again cannot say so.
MAX_PAUSE_S = 3600.0
# Hosts come back within this share of the pause after its end, or this time.
RETURN_SPREAD = 0.1
MAX_RETURN_SPREAD_S = 0.5
# Calls that each answer allows to follow, and the time after which any number may.
CALLS_PER_ANSWER = 2
RAMP_S = 1.0
ANSWER_S = 0.2  # expected time to the next answer


class Pause:
    """Hold the pause of one lifetime of a server, and how its use goes on after it."""

    __slots__ = ("answered", "ends_at", "resumes_at", "started")

    def __init__(self):
        self.ends_at = 0.0
        self.resumes_at = 0.0  # when this host comes back
        # Calls since then: those started, and those of them with an answer.
        self.started = 0
        self.answered = 0

    def usable_in_s(self, now: float) -> float:
        """Return the time until the server may be sent a further call."""
        if now < self.resumes_at:
            return self.resumes_at - now
        if self.started <= CALLS_PER_ANSWER * self.answered:
            return 0.0
        return min(ANSWER_S, max(0.0, self.resumes_at + RAMP_S - now))


class RequestedPauses:
    """Track the pauses that servers have asked this host for.

    ``on_answer()`` is called when an answer after a pause lets more calls follow.
    """

    def __init__(self, rng: random.Random, on_answer=lambda: None):
        self._rng = rng
        self._on_answer: collections.abc.Callable[[], None] = on_answer
        self._log = logs.Log("limit")
        self._pauses_by_lifetime: dict[tuple, Pause] = {}

    def record_answer(
        self, announcement, head: calls.ResponseHead, sent_at: float, now: float
    ) -> None:
        """Record whether a server asks for a pause in an answer.

        A pause that ends sooner than a known one does not shorten it.
        """
        pause = self._pauses_by_lifetime.get(announcement.lifetime)
        if head.status != PAUSE_STATUS or not head.names_pause:
            is_served = not head.is_not_executed
            if pause is not None and is_served and sent_at >= pause.resumes_at:
                pause.answered += 1
                self._on_answer()
            return
        if head.pause_s is None:
            self._log.write_limited(
                now,
                f"unreadable-{announcement.instance_id}",
                f"server {announcement.instance_id} asks for a pause that cannot be "
                "read",
                request_id=head.echoed_id,
            )
            return
        if pause is None:
            pause = self._pauses_by_lifetime[announcement.lifetime] = Pause()
        if now >= pause.ends_at or head.pause_s > MAX_PAUSE_S:
            self._log.write_limited(
                now,
                announcement.instance_id,
                f"server {announcement.instance_id} asks for a pause of "
                f"{head.pause_s:g} s",
                born_ms=announcement.born_ms,
                request_id=head.echoed_id,
            )
        pause_s = min(head.pause_s, MAX_PAUSE_S)
        if now + pause_s > pause.ends_at:
            pause.ends_at = now + pause_s
            spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD * pause_s)
            pause.resumes_at = pause.ends_at + self._rng.random() * spread_s
            pause.started = pause.answered = 0

    def record_start(self, announcement) -> None:
        """Record that a call to a server begins."""
        pause = self._pauses_by_lifetime.get(announcement.lifetime)
        if pause is not None:
            pause.started += 1

    def usable_in_s(self, announcement, now: float) -> float:
        """Return the time until a server may be selected for a further call."""
        pause = self._pauses_by_lifetime.get(announcement.lifetime)
        return 0.0 if pause is None else pause.usable_in_s(now)

    def left_s(self, announcement, now: float) -> float:
        """Return the time until this host comes back to a server, 0.0 without a pause.

        Until then nothing is sent to the server, even if it has been selected already.
        """
        pause = self._pauses_by_lifetime.get(announcement.lifetime)
        return 0.0 if pause is None else max(0.0, pause.resumes_at - now)

    def knows(self, announcement) -> bool:
        """Return whether a pause of a server, or its ramp, is not forgotten yet."""
        return announcement.lifetime in self._pauses_by_lifetime

    def count(self, now: float) -> int:
        """Return the number of servers that this host leaves alone at present."""
        pauses = self._pauses_by_lifetime.values()
        return sum(now < pause.resumes_at for pause in pauses)

    def expire(self, now: float) -> None:
        """Forget the pauses after which servers are in full use again."""
        for lifetime, pause in list(self._pauses_by_lifetime.items()):
            if now >= pause.resumes_at + RAMP_S:
                del self._pauses_by_lifetime[lifetime]
