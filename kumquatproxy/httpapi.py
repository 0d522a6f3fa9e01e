"""WSGI helpers: requests, replies, problem documents and a server with limits."""

import functools
import json
import select
import socket

import gevent
import gevent.pool
import gevent.pywsgi

from kumquatproxy import clock, errors, memorybudget

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 4096
CLIENT_TIMEOUT_S = 30.0  # without progress of the client in either direction
BODY_TIMEOUT_S = 30.0
# Time that open connections have for one more request once their server closes.
IDLE_GRACE_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
INTERRUPT_TIMEOUT_S = 0.2  # for the error responses to interrupted requests
READ_BLOCK_BYTES = 64 * 1024

# Key of the holding that counts the messages of a request.
HOLDING_KEY = "kumquatproxy.holding"

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"

_REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    507: "Insufficient Storage",
}


@functools.lru_cache(maxsize=256)
def _environ_name(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")


class Request:
    """Give typed access to one WSGI request."""

    __slots__ = ("environ", "holding", "method", "path")

    def __init__(self, environ):
        self.environ: dict = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.holding: memorybudget.Holding = environ.get(
            HOLDING_KEY
        ) or memorybudget.Holding(memorybudget.MemoryBudget())

    def header(self, name: str) -> str:
        """Return a header's value, or the empty string."""
        return self.environ.get(_environ_name(name), "")

    def hold(self, size: int) -> None:
        """Count bytes held until the request ends; raise ProxyError without room."""
        if not self.holding.grow(size):
            raise errors.ProxyError(
                errors.ErrorKind.MEMORY_FULL,
                "the host holds as many bytes of other messages as it may",
            )

    def body(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Read the body; raise ProxyError if it is too large, too slow or truncated.

        A body whose length is known is counted before it arrives.
        """
        length = self.environ.get("CONTENT_LENGTH") or ""
        if length and not length.isdigit():
            raise _invalid(f"Content-Length {length[:40]!r} is not a number")
        if length and int(length) > limit:
            raise _too_large(limit)
        self.hold(int(length) if length else 0)
        try:
            with gevent.Timeout(BODY_TIMEOUT_S, False):
                return self._read_blocks(limit, int(length) if length else None)
        except HostStoppingError:
            raise errors.ProxyError(
                errors.ErrorKind.STOPPING,
                "the host stops before the request has arrived",
            ) from None
        raise errors.ProxyError(
            errors.ErrorKind.SLOW_CLIENT,
            f"the body did not arrive within {BODY_TIMEOUT_S} s",
        )

    def _read_blocks(self, limit, length):
        stream = self.environ["wsgi.input"]
        body = bytearray()
        while True:
            try:
                block = stream.read(READ_BLOCK_BYTES)
            except OSError as error:
                raise _invalid(f"reading the body failed: {error}") from None
            if not block:
                break
            body += block
            if length is None:
                self.hold(len(block))
            if len(body) > limit:
                raise _too_large(limit)
        if length is not None and len(body) < length:
            raise _invalid(f"the body is truncated: got {len(body)} of {length} bytes")
        return bytes(body)

    def json(self, limit: int = MAX_BODY_BYTES) -> dict:
        """Return the body as a JSON object; raise ProxyError if it is not one."""
        return parse_json(self.body(limit))


def parse_json(data: bytes) -> dict:
    """Parse a JSON object; raise ProxyError with the position of a syntax error."""
    try:
        value = json.loads(data)
    except UnicodeDecodeError as error:
        raise _invalid(f"the body is not UTF-8 at byte {error.start}") from None
    except RecursionError:
        raise _invalid("the body is nested too deeply") from None
    except json.JSONDecodeError as error:
        raise _invalid(
            f"the body is not JSON: {error.msg} at line {error.lineno} "
            f"column {error.colno}"
        ) from None
    except ValueError:
        raise _invalid("the body has a number with too many digits") from None
    if not isinstance(value, dict):
        raise _invalid("the body is not a JSON object")
    return value


def _invalid(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)


def _too_large(limit):
    return errors.ProxyError(
        errors.ErrorKind.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
    )


class Reply:
    """Hold a reply; a streamed one has an iterator of bytes as ``body``."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, body=b"", headers=()):
        self.status: int = status
        self.body = body
        self.headers: list[tuple[str, str]] = list(headers)


def json_reply(value, status: int = 200, headers=()) -> Reply:
    """Return a reply with a JSON body."""
    body = json.dumps(value).encode()
    return Reply(status, body, [("Content-Type", JSON_TYPE), *headers])


def text_reply(text: str, status: int = 200) -> Reply:
    """Return a reply with a plain text body."""
    return Reply(status, text.encode(), [("Content-Type", "text/plain; charset=utf-8")])


def problem_reply(error: errors.ProxyError) -> Reply:
    """Return a reply with the problem document of an error."""
    headers = [("Content-Type", PROBLEM_TYPE)]
    if error.retry_after_s is not None and error.status in (409, 429, 503):
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    return Reply(error.status, json.dumps(error.problem()).encode(), headers)


class Application:
    """Answer WSGI requests with ``answer``; turn ProxyError into problem documents."""

    def answer(self, request: Request, now: float) -> Reply:
        """Return the reply to a request; raise ProxyError to refuse it."""
        raise NotImplementedError

    def __call__(self, environ, start_response):
        request = Request(environ)
        try:
            reply = self.answer(request, clock.now())
        except errors.ProxyError as error:
            reply = problem_reply(error)
        except HostStoppingError:
            reply = problem_reply(
                errors.ProxyError(
                    errors.ErrorKind.RESULT_UNKNOWN,
                    "the host stops before the request has ended",
                )
            )
        request_id = request.header("X-Request-Id")
        if request_id:
            reply.headers.append(("X-Request-Id", request_id))
        status = f"{reply.status} {_REASONS.get(reply.status, 'Status')}"
        if isinstance(reply.body, bytes):
            # Forced, since the call may have been executed.
            request.holding.resize(request.holding.size + len(reply.body))
            if reply.status not in (204, 304):
                reply.headers.append(("Content-Length", str(len(reply.body))))
            start_response(status, reply.headers)
            return [reply.body]
        start_response(status, reply.headers)
        return reply.body


class _Handler(gevent.pywsgi.WSGIHandler):
    """Set the idle timeout of a client; write no access log."""

    client_timeout_s = CLIENT_TIMEOUT_S
    is_serving = False  # a request has begun to arrive, or is answered

    def handle(self):
        self.socket.settimeout(self.client_timeout_s)
        self.server.open_handlers[self] = None
        self.holding = memorybudget.Holding(self.server.budget)
        self._greenlet = gevent.getcurrent()
        try:
            super().handle()
        except HostStoppingError:
            pass  # the request had not arrived, or its answer had begun
        finally:
            del self.server.open_handlers[self]

    def handle_one_request(self):
        try:
            return super().handle_one_request()
        finally:
            self.is_serving = False
            self.result = None  # the body is not kept while the connection is idle
            self.holding.release()

    def get_environ(self):
        return {**super().get_environ(), HOLDING_KEY: self.holding}

    def read_requestline(self):
        line = super().read_requestline()
        self.is_serving = bool(line)
        return line

    def start_response(self, status, headers, exc_info=None):
        if self.server.is_draining:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def interrupt(self):
        """Raise HostStoppingError in the greenlet of the connection; return it."""
        self._greenlet.kill(HostStoppingError, block=False)
        return self._greenlet

    def end_if_idle(self):
        """End the connection unless a request is being served or has arrived."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        if self.is_serving or poller.poll(0):
            return
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            pass  # the client has closed the connection

    def log_request(self):
        pass

    def handle_error(self, exc_type, value, traceback):
        if issubclass(exc_type, BrokenAnswerError | HostStoppingError):
            self.close_connection = True
            return
        super().handle_error(exc_type, value, traceback)


def _handler_class(client_timeout_s):
    attributes = {"client_timeout_s": client_timeout_s}
    return type("_Handler", (_Handler,), attributes)


class BrokenAnswerError(Exception):
    """Abort a streamed reply so that the client sees it as incomplete."""


class HostStoppingError(Exception):
    """Report that the host stops before a request has ended."""


class _WsgiServer(gevent.pywsgi.WSGIServer):
    """Keep track of the open connections, so that a stop can wait for them."""

    is_draining = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.open_handlers: dict[_Handler, None] = {}

    def accept_pending(self):
        """Accept the connections that are established already."""
        while not self.full():
            connection = self.do_read()
            if connection is None:
                return
            self.do_handle(*connection)


class Server:
    """Serve one WSGI application on an address."""

    def __init__(
        self,
        address,
        application,
        max_connections=MAX_CONNECTIONS,
        client_timeout_s=CLIENT_TIMEOUT_S,
        budget: memorybudget.MemoryBudget | None = None,
    ):
        host, _, port = address.rpartition(":")
        self._pool = gevent.pool.Pool(max_connections)
        self._server = _WsgiServer(
            (host, int(port)),
            application,
            handler_class=_handler_class(client_timeout_s),
            spawn=self._pool,
            log=None,
            error_log=None,
        )
        self._server.budget = budget or memorybudget.MemoryBudget()

    def start(self) -> str:
        """Start accepting connections and return the bound ``IP:port``."""
        self._server.start()
        return f"{self._server.server_host}:{self._server.server_port}"

    def drain(self, timeout_s: float) -> None:
        """Stop accepting connections, and wait until the open ones have ended.

        Each ends with its next answer, or without one after ``IDLE_GRACE_S``. Requests
        that have not ended after ``timeout_s`` seconds get an error response.
        """
        self._server.is_draining = True
        self._server.accept_pending()
        self._server.close()
        now = clock.now()
        idle_until, deadline = now + IDLE_GRACE_S, now + timeout_s
        while len(self._pool) and clock.now() < deadline:
            if clock.now() >= idle_until:
                for handler in list(self._server.open_handlers):
                    handler.end_if_idle()
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        interrupted = [handler.interrupt() for handler in self._server.open_handlers]
        gevent.joinall(interrupted, timeout=INTERRUPT_TIMEOUT_S)

    def stop(self, timeout_s: float) -> None:
        """Stop, waiting at most ``timeout_s`` seconds for open connections."""
        self._server.stop(timeout=timeout_s)
