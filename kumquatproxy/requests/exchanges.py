"""HTTP exchanges with backend servers: connections, timeouts, errors."""

import collections.abc
import contextlib

import gevent

from kumquatproxy import clock, memorybudget
from kumquatproxy.gateway import backendconnections, calls
from kumquatproxy.requests import retries, serverpauses

CONNECT_TIMEOUT_S = 1.0
MIN_WAIT_S = 0.001  # a timer of 0 would fire before the read checks the socket
# The server may be about to close a connection that was idle for longer.
MAX_IDLE_S = 10.0
MAX_BODY_BYTES = 64 * 1024 * 1024  # of an answer
# Engines answer 404 for a model that is no longer loaded, and 429 or 503 when full.
NOT_EXECUTED_STATUSES = frozenset((404, 429, 503))


class CallFailedError(Exception):
    """A call failed; ``failure`` tells whether it may have been executed."""

    def __init__(self, failure, detail):
        super().__init__(detail)
        self.failure: retries.Failure = failure
        self.detail: str = detail


def _no_extension() -> float:
    return 0.0


class ExtendableTimeout:
    """Timeout for an answer that a callback may extend when it expires."""

    __slots__ = ("_expires_at", "_get_extension_s", "limit_s")

    def __init__(
        self,
        limit_s: float,
        get_extension_s: collections.abc.Callable[[], float] = _no_extension,
    ):
        self.limit_s: float = limit_s
        self._expires_at: float = clock.now() + limit_s
        self._get_extension_s = get_extension_s

    def read(self, link: backendconnections.BackendConnection, receive):
        """Return what ``receive`` reads from a link; raise StallError on a timeout."""

        def extend():
            extension_s = self._get_extension_s()
            self._expires_at = clock.now() + extension_s
            return extension_s

        remaining_s = max(MIN_WAIT_S, self._expires_at - clock.now())
        return link.read_with_timeout(remaining_s, receive, extend)

    def without_extension(self) -> "ExtendableTimeout":
        """Return a timeout for the rest of the time that is not extended."""
        return ExtendableTimeout(max(MIN_WAIT_S, self._expires_at - clock.now()))


class ConnectionPool:
    """Pool of idle connections by backend address.

    Nothing is sent to an address in a pause that its server has asked for.
    """

    __slots__ = ("budget", "links", "pauses")

    def __init__(
        self,
        pauses: serverpauses.ServerPauses,
        budget: memorybudget.MemoryBudget | None = None,
    ):
        self.links = backendconnections.ConnectionPool()
        self.pauses = pauses
        self.budget = budget or memorybudget.MemoryBudget()

    def open(
        self, address: str, max_idle_s: float, timeout_s: float
    ) -> backendconnections.BackendConnection:
        """Return a pooled connection idle for at most ``max_idle_s``, or a new one."""
        return self.links.acquire(address, address, max_idle_s, timeout_s)

    def release(self, link: backendconnections.BackendConnection) -> None:
        """Pool a connection whose answer was read completely, if it is reusable."""
        self.links.release(link)

    def close_idle(self, address: str) -> None:
        """Close the idle connections of an address, so that new ones are opened."""
        self.links.close_server(address)

    def close(self) -> None:
        """Close all idle connections."""
        self.links.close_all()


class Exchange:
    """Connection of a call until its answer is read; methods raise CallFailedError."""

    __slots__ = (
        "_body",
        "_holding",
        "_is_complete",
        "_link",
        "_pool",
        "_sent_at",
        "address",
        "head",
        "is_sent",
    )

    def __init__(self, pool, address, timeout, max_idle_s=MAX_IDLE_S):
        self.address: str = address
        self._pool: ConnectionPool = pool
        self._is_complete = False
        # Kept here, so that reading can go on after a timeout.
        self._body = bytearray()
        self._holding = memorybudget.Holding(pool.budget)
        self.head: calls.ResponseHead | None = None
        self.is_sent = False
        self._sent_at = 0.0
        timeout_s = min(CONNECT_TIMEOUT_S, timeout.limit_s)
        try:
            self._link = pool.open(address, max_idle_s, timeout_s)
        except OSError as error:
            raise CallFailedError(
                retries.Failure.NOT_SENT, f"cannot connect to {address}: {error}"
            ) from None

    def __enter__(self):
        return self

    def __exit__(self, *exception_info):
        self.close()

    def send_request(self, method, path, headers, body, timeout) -> calls.ResponseHead:
        """Send a request and return the head of the answer."""
        self.send(method, path, headers, body, timeout)
        return self.read_head(timeout)

    def send(self, method, path, headers, body, timeout) -> None:
        """Send a request; this cannot be continued after a timeout."""
        self._sent_at = clock.now()
        if self._pool.pauses.left_s(self.address, self._sent_at) > 0.0:
            self.keep_unused()
            raise CallFailedError(
                retries.Failure.REFUSED, f"{self.address} has asked for a pause"
            )
        self._pool.pauses.record_start(self.address)
        fields = [(name.lower(), value) for name, value in headers]
        fields = [
            field for field in fields if field[0] not in ("host", "content-length")
        ]
        fields.append(("host", self.address))
        if body or method not in ("GET", "HEAD"):
            fields.append(("content-length", str(len(body or b""))))
        target = path.encode("latin-1")
        with self._convert_errors("did not read the request", timeout):
            with gevent.Timeout(timeout.limit_s, backendconnections.StallError):
                self._link.send(method.encode(), target, fields, body or b"")
        self.is_sent = True

    def keep_unused(self) -> None:
        """Let the connection be pooled, as nothing was sent on it."""
        self._is_complete = True

    def read_head(self, timeout) -> calls.ResponseHead:
        """Return the head of the answer."""
        link = self._link
        if self.head is None:
            with self._convert_errors("sent no response head", timeout):
                self.head = timeout.read(
                    link, lambda: link.read_head(calls.ResponseHead)
                )
            if self.head.status in NOT_EXECUTED_STATUSES:
                # Answers have no ids here, so a refusal that the server writes once
                # more would seem to be the answer to the next call.
                link.is_reusable = False
            self._pool.pauses.record_answer(
                self.address, self.head, self._sent_at, clock.now()
            )
        return self.head

    def read_part(self, timeout) -> bytes | None:
        """Return the next bytes of the answer body, or None at its end."""
        with self._convert_errors("sent no data", timeout):
            part = timeout.read(self._link, self._link.read_part)
        self._is_complete = part is None
        return part

    def read_body(self, timeout) -> bytes:
        """Return the answer body."""
        while True:
            part = self.read_part(timeout)
            if part is None:
                return bytes(self._body)
            self._body += part
            self.hold(len(self._body))

    def hold(self, size: int) -> None:
        """Set how many bytes of the answer are held; fail if they are too many."""
        if size > MAX_BODY_BYTES:
            raise self.lost_error(f"sent more than {MAX_BODY_BYTES} bytes")
        if not self._holding.grow(size - self._holding.size):
            raise self.lost_error("sent more than there is memory for")

    def receive_available(self) -> bool:
        """Return whether data has arrived that was not read."""
        return self._link.receive_available()

    def lost_error(self, problem: str) -> CallFailedError:
        """Return the error for a connection that failed or an invalid answer."""
        return CallFailedError(retries.Failure.LOST, f"{self.address} {problem}")

    def close(self) -> None:
        """Release the connection; an incomplete call is cancelled by closing it."""
        self._holding.release()
        if self._is_complete:
            self._pool.release(self._link)
        else:
            self._link.close()

    @contextlib.contextmanager
    def _convert_errors(self, problem, timeout):
        try:
            yield
        except backendconnections.StallError:
            self._pool.close_idle(self.address)
            raise CallFailedError(
                retries.Failure.TIMEOUT,
                f"{self.address} {problem} for {timeout.limit_s:.3f} s or more",
            ) from None
        except (OSError, backendconnections.BackendError) as error:
            raise self.lost_error(
                f"failed during the call: {error or type(error).__name__}"
            ) from None
