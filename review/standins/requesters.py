"""Stand-ins for requesters that keep connections, or open a new one for each try."""

import socket
import threading
import time

import fleetkit
import runners

CONNECT_S = 1.0
# Requesters use a connection again that was idle for up to four fifths of the limit.
REUSE_S = 10.0


class KeptConnection:
    """One connection that a requester keeps and uses again in time."""

    def __init__(self, address, host_name, record):
        self._address = address
        self._host_name = host_name
        self._record = record
        self._sock = None
        self._buffer = b""

    def open(self):
        """Connect; return whether the connection is there."""
        try:
            self._sock = socket.create_connection(self._address, CONNECT_S)
        except OSError:
            self._sock = None
        return self._sock is not None

    def ask(self, request_id, path, limit_s=2.0):
        """Send a request and return the status of its answer, 0 without one."""
        sock = self._sock
        if sock is None:
            return 0
        message = make_request("GET", path, self._host_name, request_id)
        try:
            sock.settimeout(limit_s)
            sock.sendall(message)
            status, self._buffer = read_answer(sock, self._buffer)
        except OSError:
            status = 0
        if status == 0:
            self.close()
        return status

    @property
    def is_open(self):
        """Return whether there is a connection."""
        return self._sock is not None

    def close(self):
        """Close the connection."""
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()


class Crowd:
    """Requesters that keep a connection each and use it every ten seconds."""

    def __init__(self, address, host_name, count, record):
        self._record = record
        self._connections = [
            KeptConnection(address, host_name, record) for _ in range(count)
        ]
        self._is_ended = False
        self._threads = []
        self.answered = 0
        self.failed = 0
        self._lock = threading.Lock()

    def start(self, thread_count=40):
        """Open all connections, with a request on each, and keep them in use."""
        opened = threading.Barrier(thread_count + 1)
        for number in range(thread_count):
            part = self._connections[number::thread_count]
            thread = threading.Thread(target=self._run, args=(number, part, opened))
            thread.start()
            self._threads.append(thread)
        opened.wait()

    def _run(self, number, part, opened):
        for connection in part:
            connection.open()
        opened.wait()
        round_number = 0
        while not self._is_ended:
            began_at = time.monotonic()
            for index, connection in enumerate(part):
                if self._is_ended:
                    break
                request_id = f"kept-{round_number}-{number}-{index}"
                if not connection.is_open:
                    continue
                status = connection.ask(request_id, f"/look/{request_id}")
                with self._lock:
                    self.answered += status == 200
                    self.failed += status != 200
                # Spread over the time in which each connection is to be used again.
                if round_number:
                    due_at = began_at + REUSE_S * (index + 1) / len(part)
                    time.sleep(max(0.0, due_at - time.monotonic()))
            round_number += 1

    def leave_half(self):
        """Let every second requester leave; its connection closes."""
        for connection in self._connections[::2]:
            connection.close()

    def end(self):
        """Close all connections."""
        self._is_ended = True
        for thread in self._threads:
            thread.join()
        for connection in self._connections:
            connection.close()


def make_request(method, path, host_name, request_id, body=b"", deadline_ms=1500):
    """Return the bytes of a request as requesters send it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host_name}",
        f"Kumquatproxy-Request-Id: {request_id}",
        f"Kumquatproxy-Deadline-Ms: {deadline_ms}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def read_answer(sock, buffer):
    """Return the status of a whole answer with a length, and the bytes after it.

    The status is 0 if the connection ends before the answer does.
    """
    while b"\r\n\r\n" not in buffer:
        part = sock.recv(65536)
        if not part:
            return 0, b""
        buffer += part
    head, _, rest = buffer.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    while len(rest) < length:
        part = sock.recv(65536)
        if not part:
            return 0, b""
        rest += part
    return int(first.split()[1]), rest[length:]


def make_configuration(version, routes, services):
    """Return a configuration with the limits of the site."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def make_route(name, prefix, mode, service, attempts):
    """Return a route as the site's desk has it."""
    return {
        "name": name,
        "hostname": "desk.example",
        "path_prefix": prefix,
        "mode": mode,
        "timeout_ms": 1500,
        "slo_ms": 400,
        "priority": 1,
        "backend": service,
        "attempts": attempts,
        "sticky": False,
        "resumable": False,
        "gap_target_ms": 0,
    }


def start_desk(deployment, record, runner_class=runners.Runner, count=3, **options):
    """Start the runners of the desk and return them."""
    ips = [f"{deployment.block}.{101 + number}" for number in range(count)]
    port = fleetkit.free_ports(ips, 1)[0]
    return [
        runner_class(deployment, (ip, port), f"i-{number}", "desk", record, **options)
        for number, ip in enumerate(ips)
    ]
