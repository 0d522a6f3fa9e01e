"""Stand-ins for runners: they announce themselves, run requests and record them."""

import json
import socket
import threading
import time

import fleetkit

HEARTBEAT_S = 0.6


class Runner:
    """One runner that answers each request on its connections in turn."""

    def __init__(self, deployment, address, name, service, record, **options):
        self.deployment = deployment
        self.address = address
        self.name = name
        self.service = service
        self.record = record
        self.born_ms = int(time.time() * 1000)
        self.work_s = options.get("work_s", 0.02)
        self.slots = options.get("slots", 64)
        self.models = options.get("models", [])
        # Of the connections to the runner; links have small windows.
        self.window_bytes = options.get("window_bytes")
        self.version = options.get("version", "v1")  # of its software
        self.state = "ready"
        self.sequence = 0
        self.is_closed = False
        self._listener = None
        self.open()
        threading.Thread(target=self._announce, daemon=True).start()

    def open(self):
        """Listen at the address."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.window_bytes is not None:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes
            )
        self._listener.bind(self.address)
        self._listener.listen(1024)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def close(self):
        """Stop answering and announcing."""
        self.is_closed = True
        self._listener.close()

    def heartbeat(self):
        """Return the fields of the next heartbeat."""
        self.sequence += 1
        return {
            "backend": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
            "models": self.models,
        }

    def _announce(self):
        number = 0
        while not self.is_closed:
            self.announce_once(number)
            number += 1
            time.sleep(HEARTBEAT_S)

    def announce_once(self, number=0):
        """Send one heartbeat to the first control process that acknowledges it."""
        hosts = [host for host in self.deployment.controls if host.is_running()]
        body = json.dumps(self.heartbeat()).encode()
        path = f"/-/instances/{self.name}/heartbeat"
        for offset in range(len(hosts)):
            host = hosts[(number + offset) % len(hosts)]
            address = self.deployment.api_of(host)
            if fleetkit.call(address, "POST", path, {}, body, 1.0)[0] == 200:
                return True
        return False

    def _accept(self, listener):
        while not self.is_closed:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        with sock:
            while not self.is_closed:
                try:
                    message, buffer = read_request(sock, buffer)
                    if message is None:
                        return
                    self.answer(sock, *message)
                except OSError:
                    return

    def answer(self, sock, method, path, headers, body):
        """Run one request and write its answer."""
        request_id = headers.get("kumquatproxy-request-id", "")
        expected = headers.get("kumquatproxy-expect-instance", self.name)
        if expected != self.name:
            sock.sendall(make_answer(421, request_id, {"Kumquatproxy-Not-Executed": 1}))
            return
        if path == "/-/report":
            self.answer_report(sock)
            return
        self.record.write("run", runner=self.name, id=request_id, path=path)
        time.sleep(self.work_s)
        fields = {"Kumquatproxy-Response-Seal": f"seal-{request_id}"}
        sock.sendall(make_answer(200, request_id, fields, request_id.encode()))

    def answer_report(self, sock):
        """Answer a request for a report, as a runner without models."""
        sock.sendall(make_answer(404, "", {}))


def read_request(sock, buffer):
    """Return the next request on a connection and the bytes after it."""
    while b"\r\n\r\n" not in buffer:
        part = sock.recv(65536)
        if not part:
            return None, buffer
        buffer += part
    head, _, buffer = buffer.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(buffer) < length:
        part = sock.recv(65536)
        if not part:
            return None, buffer
        buffer += part
    return (method, path, headers, buffer[:length]), buffer[length:]


def make_answer(status, request_id, headers, body=b""):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    if request_id:
        lines.append(f"Kumquatproxy-Request-Id: {request_id}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Record:
    """Write what was sent, answered and run, one line of JSON each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()
        self.entries = []

    def now(self):
        """Return the seconds since the record began."""
        return round(time.monotonic() - self._began_at, 3)

    def write(self, event, **fields):
        """Write one event."""
        entry = {"at": self.now(), "event": event}
        entry.update(fields)
        with self._lock:
            self.entries.append(entry)
            self._file.write(json.dumps(entry) + "\n")
            self._file.flush()

    def of(self, event):
        """Return the events of one kind."""
        with self._lock:
            return [entry for entry in self.entries if entry["event"] == event]

    def close(self):
        """Close the file."""
        self._file.close()
