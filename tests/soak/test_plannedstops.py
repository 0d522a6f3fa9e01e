"""An entry host is stopped while callers go on using their connections to it.

Guards against requests that are taken late in the grace, passed on, and interrupted at
its end.
"""

import random
import signal
import time

import addressblocks
import callerclient
import fakeservers
import gevent
import gevent.socket
import smallfleet
import soak
import test_cuthosts

BLOCK = addressblocks.find_block("test_plannedstops")
KEPT, UPLOADS, PIPES = 12, 24, 8  # connections of callers, by how these use them
GRACE_S = 8.0
BYTE_INTERVAL_S = 0.3
PATIENT = {"timeout_ms": 12000}
SETTLED_S = 3.0  # after the signal; what is sent later may not be interrupted
PIPELINED = 3
SERVICE_TIME_S = 1.0


def read_statuses(sock, wait_s):
    """Return the statuses of the answers that arrive as a whole."""
    data = b""
    with gevent.Timeout(wait_s, False):
        try:
            while part := sock.recv(65536):
                data += part
        except OSError:
            pass
    answers = data.split(b"HTTP/1.1 ")[1:]
    return [int(answer[:3]) for answer in answers if is_whole(answer)]


def is_whole(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return body.endswith(b"0\r\n\r\n")


class BusyCallers:
    """Send requests to one host in several ways, until its process is gone."""

    def __init__(self, entry, rng):
        self.entry = entry
        self.sent_at_by_id = {}
        self.status_by_id = {}  # 0 without a whole answer
        self._rng = rng

    def _make_headers(self):
        return {
            "Host": "soak.example",
            "Kumquatproxy-Request-Id": f"stop-{self._rng.getrandbits(48):012x}",
            "Kumquatproxy-Deadline-Ms": str(PATIENT["timeout_ms"]),
        }

    def _make_request(self, size):
        """Return the id of a request and its head."""
        headers = {**self._make_headers(), "Content-Length": size}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /once/x HTTP/1.1", *lines, "", ""])
        return headers["Kumquatproxy-Request-Id"], head.encode()

    def _connect(self):
        sock = gevent.socket.create_connection((self.entry.ip, soak.CALLER_PORT), 1.0)
        sock.settimeout(None)
        return sock

    def _record(self, request_id, sent_at, status):
        self.sent_at_by_id[request_id] = sent_at
        self.status_by_id[request_id] = status

    def keep_using(self):
        """Send one request after the other, on a new connection once one is closed."""
        while self.entry.is_running():
            connection = soak.caller_connection(self.entry.ip)
            is_open = True
            while is_open:
                headers = self._make_headers()
                request_id = headers["Kumquatproxy-Request-Id"]
                exchange = callerclient.Exchange(self.entry.ip, request_id, GRACE_S)
                connection.run(exchange, "POST", "/once/x", headers)
                self._record(request_id, exchange.sent_at, exchange.status)
                is_open = exchange.status > 0 and self.entry.is_running()
            connection.close()
            gevent.sleep(0.02)

    def upload_slowly(self, duration_s):
        """Send the body byte by byte over a time."""
        count = max(2, int(duration_s / BYTE_INTERVAL_S))
        request_id, head = self._make_request(count)
        sock = self._connect()
        sock.sendall(head)
        for _ in range(count):
            gevent.sleep(duration_s / count)
            try:
                sock.sendall(b"x")
            except OSError:
                break
        sent_at = time.monotonic()
        statuses = read_statuses(sock, GRACE_S)
        self._record(request_id, sent_at, statuses[0] if statuses else 0)
        sock.close()

    def pipeline(self, delay_s):
        """Send several requests at once."""
        gevent.sleep(delay_s)
        sock = self._connect()
        ids, heads = zip(
            *(self._make_request(0) for _ in range(PIPELINED)), strict=True
        )
        sock.sendall(b"".join(heads))
        sent_at = time.monotonic()
        statuses = read_statuses(sock, GRACE_S)
        for request_id, status in zip(ids, statuses + [0] * PIPELINED, strict=False):
            self._record(request_id, sent_at, status)
        sock.close()


def test_late_requests_of_a_planned_stop_are_served_or_not_passed_on(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(fakeservers, "SERVICE_TIME_S", SERVICE_TIME_S)
    route = soak.route
    monkeypatch.setattr(
        soak, "route", lambda *args, **options: {**route(*args, **options), **PATIENT}
    )
    rng = random.Random(52)
    fleet = smallfleet.Fleet(tmp_path, BLOCK, entry_count=2)
    try:
        for _ in range(3):
            fleet.add_server(slots=40)
        fleet.start_hosts()
        fleet.wait_for(
            lambda: all(
                test_cuthosts.send(fleet, entry.ip, "once", rng).end
                is callerclient.End.ANSWERED
                for entry in fleet.entries
            )
        )
        callers = BusyCallers(fleet.entries[0], rng)
        tasks = [gevent.spawn(callers.keep_using) for _ in range(KEPT)]
        for number in range(UPLOADS):
            # The last ones are complete while the process ends.
            duration_s = GRACE_S * (0.3 + 0.7 * number / UPLOADS)
            tasks.append(gevent.spawn(callers.upload_slowly, duration_s))
        for number in range(PIPES):
            tasks.append(gevent.spawn(callers.pipeline, 0.3 * number))
        gevent.sleep(0.3)
        signalled_at = time.monotonic()
        fleet.entries[0].signal(signal.SIGTERM)
        gevent.joinall(tasks, raise_error=True)
    finally:
        fleet.close()
    executed_ids = fleet.executions.received_ids & set(callers.sent_at_by_id)
    unanswered_ids = {
        request_id
        for request_id in executed_ids
        if not callers.status_by_id[request_id]
    }
    interrupted_ids = {
        request_id
        for request_id in executed_ids
        if callers.status_by_id[request_id] != 200
        and callers.sent_at_by_id[request_id] > signalled_at + SETTLED_S
    }
    assert executed_ids
    assert not unanswered_ids
    assert not interrupted_ids
    late_statuses = [
        callers.status_by_id[request_id]
        for request_id, sent_at in callers.sent_at_by_id.items()
        if sent_at > signalled_at + SETTLED_S
    ]
    assert 503 in late_statuses
