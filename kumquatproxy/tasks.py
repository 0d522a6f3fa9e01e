"""Actors: tasks that own their state and communicate only by messages."""

from collections.abc import Callable

import gevent
import gevent.event
import gevent.queue

from kumquatproxy import clock, errors, logs

TICK_INTERVAL_S = 0.05


class Ask:
    """Wrap a message whose sender waits for an answer."""

    __slots__ = ("message", "reply")

    def __init__(self, message):
        self.message = message
        self.reply = gevent.event.AsyncResult()


ANSWER_PENDING = object()
"""Returned by ``handle`` if the answer to an Ask is set later."""


class Stop:
    """End a task once the messages queued before this one are handled."""

    __slots__ = ()


class Task:
    """Run one greenlet that handles messages and periodic ticks in sequence.

    Messages of ``foreign_types`` hold what another process says. One that cannot be
    handled is dropped; an error in any other one ends the task.
    """

    foreign_types: tuple[type, ...] = ()

    def __init__(self, tick_interval_s=TICK_INTERVAL_S):
        self._inbox: gevent.queue.Queue = gevent.queue.Queue()
        self._tick_interval_s = tick_interval_s
        self._greenlet = None
        self._log = logs.Log("task")
        self.on_failure: Callable[[Exception], None] = lambda error: None

    def start(self) -> None:
        """Start the greenlet of the task."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Handle the queued messages, then end the greenlet and wait for it."""
        self._inbox.put(Stop())
        if self._greenlet is not None:
            self._greenlet.join()

    def tell(self, message) -> None:
        """Send a message without waiting for an answer."""
        self._inbox.put(message)

    def ask(self, message, timeout_s: float):
        """Send a message and return the answer; raise ProxyError on a timeout."""
        request = Ask(message)
        self._inbox.put(request)
        try:
            return request.reply.get(timeout=timeout_s)
        except gevent.Timeout:
            raise errors.ProxyError(
                errors.ErrorKind.INTERNAL,
                f"{type(self).__name__} did not answer within {timeout_s} s",
            ) from None

    def handle(self, message, now: float, reply):
        """Handle one message; the return value is the answer to an Ask.

        If the method returns ANSWER_PENDING for an Ask, it must set ``reply`` later.
        """
        raise NotImplementedError

    def tick(self, now: float) -> None:
        """Do the periodic work that is due at ``now``."""

    def _run(self):
        try:
            self._loop()
        except Exception as error:
            # The state may be inconsistent, so the task must not continue; its owner
            # ends the process.
            self._log.write(clock.now(), f"{type(self).__name__} failed: {error!r}")
            self.on_failure(error)
            raise

    def _loop(self):
        next_tick = clock.now()
        while True:
            wait_s = max(0.0, next_tick - clock.now())
            try:
                message = self._inbox.get(timeout=wait_s)
            except gevent.queue.Empty:
                message = None
            now = clock.now()
            if isinstance(message, Stop):
                return
            if message is not None:
                self._dispatch(message, now)
            if now >= next_tick:
                self.tick(now)
                next_tick = now + self._tick_interval_s

    def _dispatch(self, message, now):
        if not isinstance(message, Ask):
            self._handle_tell(message, now)
            return
        try:
            answer = self.handle(message.message, now, message.reply)
        except errors.ProxyError as error:
            message.reply.set_exception(error)
            return
        if answer is not ANSWER_PENDING:
            message.reply.set(answer)

    def _handle_tell(self, message, now):
        try:
            self.handle(message, now, None)
        except errors.ProxyError as error:
            self._log.write(now, f"{type(self).__name__} rejected a message: {error}")
        except Exception as error:
            if not isinstance(message, self.foreign_types):
                raise
            self._log.write_exception(
                now, error, f"{type(self).__name__} dropped a message of another host"
            )
