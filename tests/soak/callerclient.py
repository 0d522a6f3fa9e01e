"""HTTP client of the soak, which tells apart how requests end."""

import enum
import select
import time

import gevent
import gevent.socket
import h11

CONNECT_TIMEOUT_S = 1.0
CHUNK_PAUSE_S = 0.002
READ_BYTES = 65536
REUSABLE_STATES = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}


class End(enum.Enum):
    """How a request ended."""

    UNSENT = "not sent"
    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed with an answer"
    UNANSWERED = "connection ended without an answer"
    CUT = "cut in mid-answer"
    ABANDONED = "given up by the caller"


# The refusals promise that the request was not executed.
END_BY_STATUS = {200: End.ANSWERED}
END_BY_STATUS.update(dict.fromkeys((408, 421, 429, 503), End.REFUSED))


class Exchange:
    """Hold one request and its end."""

    def __init__(self, ip, request_id, patience_s):
        self.ip: str = ip
        self.request_id: str = request_id
        self.patience_s: float = patience_s
        self.sent_at = self.ended_at = time.monotonic()
        self.end = End.UNSENT
        self.status = 0
        self.body = b""


class Connection:
    """Send requests to one address on a connection that is kept if possible."""

    def __init__(self, address):
        self._address = address
        self._sock = None
        self._parser = None

    def run(self, exchange, method, path, headers, body=b"", chunk_bytes=0):
        """Send a request, read its answer and set the end of the exchange.

        The body is sent in chunks if these have a size.
        """
        try:
            with gevent.Timeout(exchange.patience_s):
                self._send(method, path, headers, body, chunk_bytes)
                exchange.sent_at = time.monotonic()
                exchange.end = End.UNANSWERED
                self._receive(exchange)
        except gevent.Timeout:
            if exchange.end is not End.UNSENT:
                exchange.end = End.ABANDONED
        except (OSError, h11.RemoteProtocolError):
            pass  # the end tells how far the exchange came
        exchange.ended_at = time.monotonic()
        if self._parser is not None and self._parser.states == REUSABLE_STATES:
            self._parser.start_next_cycle()
        else:
            self.close()

    def _send(self, method, path, headers, body, chunk_bytes):
        if self._sock is not None and select.select([self._sock], [], [], 0)[0]:
            self.close()  # the host has closed the idle connection
        if self._sock is None:
            self._sock = gevent.socket.create_connection(
                self._address, CONNECT_TIMEOUT_S
            )
            self._sock.settimeout(None)
            self._parser = h11.Connection(h11.CLIENT)
        framing = ("Content-Length", str(len(body)))
        if chunk_bytes:
            framing = ("Transfer-Encoding", "chunked")
        headers = [*headers.items(), framing]
        request = h11.Request(method=method, target=path, headers=headers)
        if chunk_bytes:
            self._sock.sendall(self._parser.send(request))
            for start in range(0, len(body), chunk_bytes):
                part = h11.Data(data=body[start : start + chunk_bytes])
                self._sock.sendall(self._parser.send(part))
                gevent.sleep(CHUNK_PAUSE_S)
            self._sock.sendall(self._parser.send(h11.EndOfMessage()))
            return
        events = (request, h11.Data(data=body), h11.EndOfMessage())
        self._sock.sendall(b"".join(self._parser.send(event) for event in events))

    def _receive(self, exchange):
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(self._sock.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                exchange.status = event.status_code
                exchange.end = End.CUT
            elif isinstance(event, h11.Data):
                exchange.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                exchange.end = END_BY_STATUS.get(exchange.status, End.FAILED)
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def close(self):
        if self._sock is not None:
            self._sock.close()
        self._sock = self._parser = None


def call(address, method, path, body, timeout_s):
    """Return status and body of one call; status 0 without a complete answer."""
    host, _, port = address.rpartition(":")
    exchange = Exchange(host, "", timeout_s)
    connection = Connection((host, int(port)))
    connection.run(exchange, method, path, {"Host": address}, body)
    connection.close()
    is_complete = exchange.end in (End.ANSWERED, End.REFUSED, End.FAILED)
    return (exchange.status, exchange.body) if is_complete else (0, b"")
