"""One call to a backend server on the wire: connection, time limits, failures."""

import collections.abc
import contextlib

import gevent

from kumquatproxy import clock
from kumquatproxy.gateway import backendlinks, calls, eventstream
from kumquatproxy.requests import retries

CONNECT_TIMEOUT_S = 1.0
MIN_WAIT_S = 0.001  # a timer of zero would end a read before it has looked
# A kept connection that was idle for longer may be about to be closed.
MAX_IDLE_S = 10.0


class CallFailed(Exception):
    """Report a failed call and how far it may have got."""

    def __init__(self, failure, detail):
        super().__init__(detail)
        self.failure: retries.Failure = failure
        self.detail: str = detail


def _never() -> float:
    return 0.0


class Wait:
    """Bound the wait for an answer; what may extend it is asked when it is over."""

    __slots__ = ("_ends_at", "_further_s", "limit_s")

    def __init__(
        self, limit_s: float, further_s: collections.abc.Callable[[], float] = _never
    ):
        self.limit_s: float = limit_s
        self._ends_at: float = clock.now() + limit_s
        self._further_s = further_s

    def read(self, link: backendlinks.BackendLink, receive):
        """Return what ``receive`` reads from a link; raise SilentError."""

        def extend():
            further_s = self._further_s()
            self._ends_at = clock.now() + further_s
            return further_s

        left_s = max(MIN_WAIT_S, self._ends_at - clock.now())
        return link.read_patiently(left_s, receive, extend)


class Pool:
    """Keep the connections to each backend address."""

    __slots__ = ("_links",)

    def __init__(self):
        self._links = backendlinks.LinkPool()

    def open(
        self, address: str, max_idle_s: float, timeout_s: float
    ) -> backendlinks.BackendLink:
        """Return a connection that was idle for at most ``max_idle_s``."""
        return self._links.take(address, address, max_idle_s, timeout_s)

    def keep(self, link: backendlinks.BackendLink) -> None:
        """Keep a connection whose answer was read whole, if it is sound."""
        self._links.give(link)

    def renew(self, address: str) -> None:
        """Close the idle connections of an address, so that new ones are made."""
        self._links.forget(address)

    def close(self) -> None:
        """Close all idle connections."""
        self._links.forget_all()


class Exchange:
    """Own the connection of one call until its answer was read; raise CallFailed."""

    __slots__ = ("_address", "_is_whole", "_link", "_pool")

    def __init__(self, pool, address, wait, max_idle_s=MAX_IDLE_S):
        self._address: str = address
        self._pool: Pool = pool
        self._is_whole = False
        timeout_s = min(CONNECT_TIMEOUT_S, wait.limit_s)
        try:
            self._link = pool.open(address, max_idle_s, timeout_s)
        except OSError as error:
            raise CallFailed(
                retries.Failure.NOT_SENT, f"{address} accepts no connection: {error}"
            ) from None

    def __enter__(self):
        return self

    def __exit__(self, *raised):
        self.close()

    def ask(self, method, path, headers, body, wait) -> calls.AnswerHead:
        """Send a call and return the head of its answer."""
        link = self._link
        fields = [(name.lower(), value) for name, value in headers]
        fields = [pair for pair in fields if pair[0] not in ("host", "content-length")]
        fields.append(("host", self._address))
        if body or method not in ("GET", "HEAD"):
            fields.append(("content-length", str(len(body or b""))))
        target = path.encode("latin-1")
        with self._failures("started no answer", wait):
            with gevent.Timeout(wait.limit_s, backendlinks.SilentError):
                link.send(method.encode(), target, fields, body or b"")
            return wait.read(link, lambda: link.read_head(calls.AnswerHead))

    def read_part(self, wait) -> bytes | None:
        """Return the next bytes of the answer, or None after its end."""
        with self._failures("sent nothing", wait):
            part = wait.read(self._link, self._link.read_part)
        self._is_whole = part is None
        return part

    def read_whole(self, wait) -> bytes:
        """Return the rest of the answer."""
        return backendlinks.join_parts(lambda: self.read_part(wait))

    def lost(self, why: str) -> CallFailed:
        """Return the failure of a server whose answer makes no sense."""
        return CallFailed(retries.Failure.LOST, f"{self._address} {why}")

    def close(self) -> None:
        """Release the connection; closing one in use cancels its call."""
        if self._is_whole:
            self._pool.keep(self._link)
        else:
            self._link.close()

    @contextlib.contextmanager
    def _failures(self, missing, wait):
        try:
            yield
        except backendlinks.SilentError:
            self._pool.renew(self._address)
            raise CallFailed(
                retries.Failure.TIMEOUT,
                f"{self._address} {missing} for {wait.limit_s:.3f} s or more",
            ) from None
        except (OSError, backendlinks.BackendError) as error:
            raise self.lost(f"failed: {error or type(error).__name__}") from None


class EventStream:
    """Read the server-sent events of one streamed answer."""

    __slots__ = ("_exchange", "_splitter")

    def __init__(self, exchange):
        self._exchange: Exchange = exchange
        self._splitter = eventstream.EventSplitter()

    def next_events(self, wait: Wait) -> list[bytes]:
        """Return all events that have arrived, at least one; raise CallFailed.

        Events that arrive together are relayed together, which saves a timer and
        a write for each of them.
        """
        while True:
            part = self._exchange.read_part(wait)
            if part is None:
                raise self._exchange.lost("ended the stream early")
            try:
                events = [event for event, _ in self._splitter.add(part)]
            except ValueError as error:
                raise self._exchange.lost(f"failed: {error}") from None
            if events:
                return events

    def close(self) -> None:
        """Release the connection; an unfinished stream is cancelled by closing it."""
        self._exchange.close()
