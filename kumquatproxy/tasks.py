"""Tasks that own their state and talk by messages."""

from collections.abc import Callable

import gevent
import gevent.event
import gevent.queue

from kumquatproxy import clock, errors, logs

TICK_INTERVAL_S = 0.05


class Ask:
    """Wrap a message whose sender waits for the answer."""

    __slots__ = ("message", "reply")

    def __init__(self, message):
        self.message = message
        self.reply = gevent.event.AsyncResult()


LATER = object()
"""Returned by ``handle`` when the answer to an Ask follows later."""


class Stop:
    """Tell a task to end after the messages before this one."""

    __slots__ = ()


class Task:
    """Run one greenlet that handles messages and ticks, one at a time."""

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
        """Handle the messages so far, then end."""
        self._inbox.put(Stop())
        if self._greenlet is not None:
            self._greenlet.join()

    def tell(self, message) -> None:
        """Send a message without waiting."""
        self._inbox.put(message)

    def ask(self, message, timeout_s: float):
        """Send a message and return the answer; raise ProxyError on failure."""
        request = Ask(message)
        self._inbox.put(request)
        try:
            return request.reply.get(timeout=timeout_s)
        except gevent.Timeout:
            raise errors.ProxyError(
                errors.ErrorKind.INTERNAL,
                f"{type(self).__name__} gave no answer within {timeout_s} s",
            ) from None

    def handle(self, message, now: float, reply):
        """Handle one message; the return value is the answer to an Ask.

        For an Ask, ``reply`` is the result to set later if LATER is returned.
        """
        raise NotImplementedError

    def tick(self, now: float) -> None:
        """Do what is due at ``now``."""

    def _run(self):
        try:
            self._loop()
        except Exception as error:
            # The state may be half changed, so the task must not go on; whoever owns
            # it ends the process.
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
                self._handle_safely(message, now)
            if now >= next_tick:
                self.tick(now)
                next_tick = now + self._tick_interval_s

    def _handle_safely(self, message, now):
        if not isinstance(message, Ask):
            self._handle_told(message, now)
            return
        try:
            answer = self.handle(message.message, now, message.reply)
        except errors.ProxyError as error:
            message.reply.set_exception(error)
            return
        if answer is not LATER:
            message.reply.set(answer)

    def _handle_told(self, message, now):
        try:
            self.handle(message, now, None)
        except errors.ProxyError as error:
            self._log.write(now, f"{type(self).__name__} refused a message: {error}")
