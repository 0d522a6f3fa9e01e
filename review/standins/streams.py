"""Stand-ins for runners that stream, and for requesters that take a stream up again."""

import socket
import threading
import time

import requesters
import runners


class StreamRunner(runners.Runner):
    """Answer each request with a stream of events with rising numbers."""

    def __init__(self, *arguments, **options):
        self.event_count = options.get("event_count", 57)
        self.event_s = options.get("event_s", 0.2)
        super().__init__(*arguments, **options)

    def answer(self, sock, method, path, headers, body):
        """Run one request from the event after Last-Event-Id on."""
        request_id = headers.get("kumquatproxy-request-id", "")
        expected = headers.get("kumquatproxy-expect-instance", self.name)
        if path == "/-/report" or expected != self.name:
            super().answer(sock, method, path, headers, body)
            return
        first = int(headers.get("last-event-id") or 0) + 1
        version = self.version
        self.record.write("run", runner=self.name, id=request_id, first=first)
        lines = [
            "HTTP/1.1 200 OK",
            f"Kumquatproxy-Request-Id: {request_id}",
            f"Kumquatproxy-Response-Seal: seal-{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        sock.sendall("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.event_count + 1):
            time.sleep(self.event_s)
            event = f"id: {number}\ndata: {version} event {number}\n\n".encode()
            sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        sock.sendall(b"0\r\n\r\n")


class Stream:
    """One stream of a requester, over all its tries."""

    def __init__(self, name, path, record):
        self.name = name
        self.path = path
        self.record = record
        self.numbers = []  # of the events received
        self.versions = []  # of the runners that wrote them
        self.is_complete = False
        self.first_id = ""  # of the try that brought the first event
        self.statuses = []
        self._tries = 0

    def try_once(self, address, limit_s):
        """Begin the stream or take it up again; return the status of the answer.

        Return when the answer ends or the connection does.
        """
        self._tries += 1
        request_id = f"{self.name}-{self._tries}"
        lines = [
            f"POST {self.path} HTTP/1.1",
            "Host: desk.example",
            f"Kumquatproxy-Request-Id: {request_id}",
            f"Kumquatproxy-Deadline-Ms: {int(limit_s * 1000)}",
            "Content-Length: 0",
        ]
        if self.numbers:
            lines.append(f"Last-Event-Id: {self.numbers[-1]}")
            lines.append(f"Resumes: {self.first_id}")
        message = "\r\n".join([*lines, "", ""]).encode()
        status, retry_after_s = 0, 0.0
        try:
            with socket.create_connection(address, requesters.CONNECT_S) as sock:
                sock.settimeout(limit_s)
                sock.sendall(message)
                status, retry_after_s = self._read(sock, request_id)
        except OSError:
            pass
        self.statuses.append(status)
        self.record.write(
            "try",
            stream=self.name,
            id=request_id,
            resumed=len(lines) > 5,
            status=status,
            events=len(self.numbers),
            complete=self.is_complete,
        )
        return status, retry_after_s

    def _read(self, sock, request_id):
        buffer = b""
        while b"\r\n\r\n" not in buffer:
            part = sock.recv(65536)
            if not part:
                return 0, 0.0
            buffer += part
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        status = int(first.split()[1])
        fields = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
        if status != 200:
            return status, float(fields.get("retry-after", 0.0))
        text = b""
        while True:
            # Chunks end with an event here, but an event may span chunks.
            while b"\r\n" in buffer:
                size_text, _, rest = buffer.partition(b"\r\n")
                size = int(size_text, 16)
                if size == 0:
                    self.is_complete = True
                    return status, 0.0
                if len(rest) < size + 2:
                    break
                text += rest[:size]
                buffer = rest[size + 2 :]
                while b"\n\n" in text:
                    event, _, text = text.partition(b"\n\n")
                    id_line, data_line = event.decode().split("\n")
                    number = int(id_line.removeprefix("id: "))
                    self.versions.append(data_line.split(" ")[1])
                    if not self.numbers:
                        self.first_id = request_id
                    self.numbers.append(number)
            part = sock.recv(65536)
            if not part:
                return status, 0.0
            buffer += part


def start(function, *arguments):
    """Run a function in a thread and return the thread."""
    thread = threading.Thread(target=function, args=arguments)
    thread.start()
    return thread
