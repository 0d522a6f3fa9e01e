"""Answers whose body has no end take entry hosts beyond their memory."""

import itertools
import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import casemain
import fleet
import runner

MEMORY_MB = 300  # of a front machine of the site
LINK_MB_PER_S = 1000.0 / 8  # link_mbps of a machine, for all that a runner sends
RUNNERS = 5
FAULTY_SHARE = 0.05  # of the answers of one runner, as the site's garble
TIMEOUT_S = 6.0
REQUESTS_PER_S = 20
PLAY_S = 80.0
WATCH_S = 0.05
# The day counts 0 if on two machines processes end three times.
MIN_HOSTS, MIN_ENDS = 2, 3

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "stream",
            "hostname": "talk.example",
            "path_prefix": "/stream/",
            "mode": "streaming",
            "timeout_ms": TIMEOUT_S * 1000,
            "slo_ms": 1000,
            "priority": 1,
            "backend": "talk",
            "attempts": 1,
            "sticky": False,
            "resumable": False,
            "gap_target_ms": 600,
        }
    ],
    "services": [{"name": "talk", "health_path": "/health", "max_conns": 360}],
}


class Link:
    """Limit what one runner sends to the speed of its link."""

    def __init__(self):
        self._lock = threading.Lock()
        self._free_at = time.monotonic()

    def take(self, size):
        """Wait until ``size`` bytes may be sent."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + size / (LINK_MB_PER_S * 1e6)
            wait_s = self._free_at - now
        time.sleep(wait_s)


class StreamRunner(runner.Runner):
    """Stream a few events; a faulty one answers some requests without an end."""

    def __init__(self, *arguments, **options):
        self.is_faulty = False
        self.rng = random.Random()
        self.link = Link()
        super().__init__(*arguments, **options)

    def heartbeat_fields(self):
        """Return a heartbeat; all runners are as far from both entry hosts."""
        return {**super().heartbeat_fields(), "zone": "dc-c"}

    def serve_stream(self, handler, headers, event_count):
        """Answer one request."""
        request_id = headers.get("Kumquatproxy-Request-Id", "")
        fields = {"Kumquatproxy-Request-Id": request_id}
        if headers.get("Kumquatproxy-Expect-Instance") not in (None, self.instance_id):
            fields["Kumquatproxy-Not-Executed"] = "1"
            handler.send_whole(421, b"", fields)
            return
        fields["Kumquatproxy-Response-Seal"] = f"s.{self.instance_id}"
        if self.is_faulty and self.rng.random() < FAULTY_SHARE:
            self._answer_without_end(handler, fields, request_id)
            return
        self.record.write(f"{self.instance_id} runs {request_id}")
        fields["Content-Type"] = "text/event-stream"
        handler.begin_chunks(fields)
        for number in range(1, event_count + 1):
            time.sleep(0.05)
            handler.send_chunk(f"id: {number}\ndata: {request_id}\n\n".encode())
        handler.send_chunk(b"")

    def _answer_without_end(self, handler, fields, request_id):
        self.record.write(f"{self.instance_id} answers {request_id} without an end")
        handler.close_connection = True
        handler.send_response(500)
        for name, value in fields.items():
            handler.send_header(name, value)
        handler.end_headers()
        block = b"x" * 65536
        size = 0
        try:
            while self.is_running:
                self.link.take(len(block))
                handler.wfile.write(block)
                size += len(block)
        except OSError:
            pass
        self.record.write(
            f"the caller of {request_id} has closed after {size / 1e6:.0f} MB"
        )


class Platform:
    """End processes that use more memory than their machine has."""

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record
        self.is_stopped = False
        self.ends_by_name = {host.name: 0 for host in deployment.hosts}
        self.most_mb_by_name = dict.fromkeys(self.ends_by_name, 0.0)
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self):
        while not self.is_stopped:
            for host in self._deployment.entries:
                process = host.process
                used_mb = _memory_mb(process.pid)
                most_mb = max(self.most_mb_by_name[host.name], used_mb)
                self.most_mb_by_name[host.name] = most_mb
                is_over = used_mb > MEMORY_MB
                if is_over and not getattr(process, "was_signalled", False):
                    self.ends_by_name[host.name] += 1
                    self._record.write(f"{host.name} uses {used_mb:.0f} MB")
                    host.signal(fleet.signal.SIGKILL)
            time.sleep(WATCH_S)


def _memory_mb(pid):
    """Return the resident memory of a process, 0.0 if it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    rows = [line.split() for line in lines if line.startswith("VmRSS:")]
    return float(rows[0][1]) / 1024 if rows else 0.0


def send(deployment, record, number, statuses):
    """Send one request to one of the entry hosts, drawn at random."""
    host = random.choice(deployment.entries)
    headers = {
        "Host": "talk.example",
        "Kumquatproxy-Request-Id": f"q{number}",
        "Kumquatproxy-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
    }
    answer = fleet.request(
        host.address("front"), "POST", "/stream/5/x", b"x", TIMEOUT_S + 1.0, headers
    )
    statuses.append(answer.status)
    if answer.status != 200:
        record.write(f"q{number} to {host.name}: {answer.status or answer.error}")


def play(deployment, record, has_trouble):
    deployment.start()
    if not deployment.put(CONFIGURATION, 30.0):
        raise casemain.CannotRun("the first configuration was not acknowledged")
    runners = [
        StreamRunner(deployment, number + 1, "talk", slots=64)
        for number in range(RUNNERS)
    ]
    if not deployment.wait_until(deployment.is_ready):
        raise casemain.CannotRun("the entry hosts are not ready")
    time.sleep(3.0)
    platform = Platform(deployment, record)
    runners[0].is_faulty = has_trouble
    statuses = []
    numbers = itertools.count(1)
    end = time.monotonic() + PLAY_S
    while time.monotonic() < end:
        threading.Thread(
            target=send,
            args=(deployment, record, next(numbers), statuses),
            daemon=True,
        ).start()
        time.sleep(1.0 / REQUESTS_PER_S)
    time.sleep(1.0)
    platform.is_stopped = True
    for server in runners:
        server.close()
    ends = {host.name: platform.ends_by_name[host.name] for host in deployment.entries}
    most = {name: round(used) for name, used in platform.most_mb_by_name.items()}
    record.write(f"ends over the limit of memory: {ends}; most MB used: {most}")
    print(ends, most, f"{statuses.count(200)} of {len(statuses)} with 200")
    often = [name for name, count in ends.items() if count >= MIN_ENDS]
    if len(often) >= MIN_HOSTS:
        return [
            f"{', '.join(often)} used more than {MEMORY_MB} MB {MIN_ENDS} times or more"
        ]
    return []


# With TROUBLE=0 the same is played without the disturbance.
casemain.run(play, os.environ.get("TROUBLE", "1") != "0")
