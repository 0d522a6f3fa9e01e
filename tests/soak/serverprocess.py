"""Run a fake backend server as a process of its own, and log what it gets.

``serverprocess.py ID SERVICE IP SLOTS SEED LOG CONTROL...`` writes one line of JSON for
each event: ``[time, event, request id]``, where the event is ``arrived``, ``run``,
``left`` (a control host has acknowledged that the server leaves) or ``born``. Of an
event ``told`` or ``counted`` the third is ``[request id, headers]``. SIGUSR1 makes the
server leave and start anew.
"""

import json
import pathlib
import random
import signal
import sys
import time

import gevent
import gevent.lock

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import fakeservers
import smallfleet
import soak

LEAVING_S = 5.0
QUEUE_LENGTH = 4  # requests that wait for a slot; others are refused at once
CLOSE_SHARE = 0.03
EARLY_SHARE = 0.03


class EventLog(fakeservers.ExecutionCounter):
    """Write the events of a server to a file."""

    def __init__(self, path):
        super().__init__()
        self._file = open(path, "a", buffering=1)
        self.teams = HeaderLog(self)

    def write(self, event, subject="", at=None):
        at = time.monotonic() if at is None else at
        self._file.write(json.dumps([at, event, subject]) + "\n")

    def record(self, request_id):
        self.write("run", request_id)


class HeaderLog:
    """Write what a server is told of teams, as ``teamcallers.TeamCallers`` reads it."""

    def __init__(self, log):
        self._log = log

    def record(self, request_id, environ):
        self._log.write("told", [request_id, _headers(environ)])

    def record_run(self, request_id, environ, arrived_at):
        self._log.write("counted", [request_id, _headers(environ)], arrived_at)


def _headers(environ):
    return {name: environ[name] for name in environ if name.startswith("HTTP_")}


class QueueingServer(fakeservers.FakeServer):
    """Let requests wait for a slot, and refuse them at their deadline."""

    close_share = CLOSE_SHARE
    refusal_share = soak.REPEATED_REFUSALS
    early_share = EARLY_SHARE
    waiting = 0

    def _answer(self, environ, start_response):
        request_id = environ.get("HTTP_KUMQUATPROXY_REQUEST_ID", "")
        deadline_s = float(environ.get("HTTP_KUMQUATPROXY_DEADLINE_MS") or 0) / 1000
        self.executions.write("arrived", request_id)
        ends_at = time.monotonic() + deadline_s
        is_queued = self.waiting < QUEUE_LENGTH
        self.waiting += is_queued
        while is_queued and self._running >= self.slots and time.monotonic() < ends_at:
            gevent.sleep(0.005)
        self.waiting -= is_queued
        yield from super()._answer(environ, start_response)

    def leave(self):
        """Say in heartbeats that it leaves until that is acknowledged; start anew."""
        if self.state != "ready":
            return
        self.state = "draining"
        number = 0
        while not self.send_heartbeat(number):
            number += 1
        self.executions.write("left")
        gevent.sleep(LEAVING_S)
        self.begin_lifetime()
        self.state = "ready"
        self.executions.write("born")


def main():
    """Serve until the process is killed."""
    name, service, ip, slots, seed, path, *controls = sys.argv[1:]
    listen = (ip, soak.SERVER_PORT)
    server = QueueingServer(
        name,
        service,
        listen,
        smallfleet.DirectAddress(listen),
        EventLog(path),
        controls,
        int(slots),
        random.Random(seed),
    )
    gevent.signal_handler(signal.SIGUSR1, lambda: gevent.spawn(server.leave))
    gevent.sleep(1e9)


if __name__ == "__main__":
    main()
