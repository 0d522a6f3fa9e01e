"""Callers send requests with a prompt part that ends each server that answers them.

Guards against hosts that send such requests to one server after the other, and against
sound requests that fail beside them. Both are counted over all hosts, of which one is
killed and one paused meanwhile.
"""

import pathlib
import random
import signal
import time

import addressblocks
import callerclient
import fakeservers
import gevent
import pytest
import smallfleet
import soak

BLOCK = addressblocks.find_block("test_crashingprompts")
SERVERS = 5
# The limits of the rule: requests with the part that reach servers later than the
# window after the fifth crash.
CRASHES = 5
ALLOWED_LATER = 3
CALM_S = 3.0
TAINTED_S = 14.0
DEADLY_PART = "dead"


class Caller:
    """Send streams to random hosts, once each, and keep when each began."""

    def __init__(self, fleet, subjects, interval_s, rng, deadly_part=""):
        self.exchanges = []
        self._fleet = fleet
        self._subjects = subjects
        self._interval_s = interval_s
        self._rng = rng
        self._deadly_part = deadly_part

    def run(self, seconds):
        """Send requests without waiting for the end of each."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(gevent.spawn(self._send))
            gevent.sleep(self._rng.uniform(0.5, 1.5) * self._interval_s)
        gevent.joinall(tasks, raise_error=True)

    def _send(self):
        request_id = f"{self._rng.getrandbits(48):012x}"
        parts = ["shared", f"subject-{self._rng.randrange(self._subjects)}"]
        parts += [self._deadly_part] if self._deadly_part else []
        parts.append(request_id)
        ip = self._rng.choice(self._fleet.entries).ip
        exchange = callerclient.Exchange(ip, request_id, soak.DEADLINE_S)
        headers = {
            "Host": "soak.example",
            "Kumquatproxy-Request-Id": request_id,
            "Kumquatproxy-Deadline-Ms": f"{soak.DEADLINE_S * 1000:.0f}",
            **fakeservers.prompt_headers(parts),
        }
        connection = soak.caller_connection(ip)
        connection.run(exchange, "POST", "/stream/x", headers)
        connection.close()
        self.exchanges.append(exchange)


def served_share(exchanges, begins_at, ends_at):
    """Return the number of requests sent in a span, and the share that was served."""
    ends = [
        exchange.end
        for exchange in exchanges
        if begins_at <= exchange.sent_at < ends_at
        and exchange.end is not callerclient.End.UNSENT
    ]
    return len(ends), ends.count(callerclient.End.ANSWERED) / max(1, len(ends))


@pytest.fixture(scope="module")
def tainted_run(tmp_path_factory):
    """Run the callers; return fleet, callers and when tainted requests were sent."""
    folder = pathlib.Path(tmp_path_factory.mktemp("fleet"))
    fleet = smallfleet.Fleet(folder, BLOCK, entry_count=3)
    rng = random.Random(24)
    try:
        fleet.executions.crashes.deadly_parts.add(DEADLY_PART)
        for _ in range(SERVERS):
            fleet.add_server()
        fleet.start_hosts()
        sound = Caller(fleet, 8, 0.05, rng)
        fleet.wait_for(
            lambda: (
                sound.run(0.3) or served_share(sound.exchanges[-5:], 0, 1e9)[1] == 1.0
            )
        )
        sound.exchanges.clear()
        tainted = Caller(fleet, 8, 0.25, rng, DEADLY_PART)
        task = gevent.spawn(sound.run, CALM_S + TAINTED_S)
        gevent.sleep(CALM_S)
        begins_at = time.monotonic()
        disturbances = [
            gevent.spawn(pause, fleet.entries[2], 2.0),
            gevent.spawn_later(5.0, restart, fleet.entries[1]),
            gevent.spawn_later(8.0, pause, fleet.entries[0], 1.0),
        ]
        tainted.run(TAINTED_S)
        gevent.joinall([task, *disturbances], raise_error=True)
        yield fleet, sound, tainted, begins_at
    finally:
        fleet.close()


def pause(entry, seconds):
    entry.signal(signal.SIGSTOP)
    gevent.sleep(seconds)
    entry.signal(signal.SIGCONT)


def restart(entry):
    entry.terminate(signal.SIGKILL)
    entry.start()


def test_requests_with_a_part_that_crashes_servers_stop_reaching_them(tainted_run):
    fleet, _, tainted, _ = tainted_run
    later = fleet.executions.crashes.find_later(
        DEADLY_PART, "talk", CRASHES, soak.STABILITY_WINDOW_S
    )
    assert len(tainted.exchanges) > 30
    assert len(later) <= ALLOWED_LATER


def test_sound_requests_are_served_beside_requests_that_crash_servers(tainted_run):
    fleet, sound, _, begins_at = tainted_run
    before_count, before = served_share(sound.exchanges, 0.0, begins_at)
    crashed_at = sorted(at for at, *_ in fleet.executions.crashes.crashes)
    settled_at = crashed_at[:CRASHES][-1] + 2 * soak.STABILITY_WINDOW_S
    count, share = served_share(
        sound.exchanges, settled_at, begins_at + TAINTED_S - soak.DEADLINE_S
    )
    assert min(before_count, count) >= 20
    assert share >= before / 2, f"{share:.2f} of {count} served, {before:.2f} before"


def test_crashes_count_by_service():
    """Another service may bear a part, and gets a request once more."""
    record = fakeservers.CrashRecord()
    record.deadly_path = "/once/dead"
    for cause in (DEADLY_PART, record.deadly_path):
        record.crashes += [(1.0, cause, "desk"), (2.0, cause, "desk")]
        record.crashes += [(3.0, cause, "desk"), (9.0, cause, "talk")]
        for service in ("desk", "talk"):
            record.arrivals += [(7.0, "7", cause, service), (13.0, "8", cause, service)]
    assert record.find_later(DEADLY_PART, "desk", 3, 3.0) == ["7", "8"]
    assert record.find_later(DEADLY_PART, "talk", 3, 3.0) == []
    assert record.find_later(record.deadly_path, "desk", 3, 3.0) == ["7", "8"]
    assert record.find_later(record.deadly_path, "talk", 3, 3.0) == ["8"]
