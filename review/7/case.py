"""All control processes are killed and come back; later an entry process ends."""

import os
import pathlib
import sys
import time

import fleetkit
import requesters
import runners
import streams

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 24  # the rule needs twelve
EVENTS = 57
EVENT_S = 0.24  # the route allows pauses of 400 ms
TIMEOUT_S = 15.0
CORE_DOWN_S = 0.5  # the pages allow a second
STABILITY_WINDOW_S = 3.0
TRIES = 3


def take_part(stream, addresses, started_at):
    """Begin a stream at one entry process and go on at the other if it breaks off."""
    first, second = addresses
    stream.try_once(first, TIMEOUT_S)
    for _ in range(TRIES):
        left_s = started_at + TIMEOUT_S - time.monotonic()
        if stream.is_complete or left_s <= 0.5 or not stream.numbers:
            return
        status, retry_after_s = stream.try_once(second, left_s)
        if status == 503:
            # Requesters honour it up to a third of the time that they have left.
            time.sleep(min(retry_after_s, left_s / 3))


def begin_new(stream, address):
    """Begin a new stream."""
    stream.try_once(address, TIMEOUT_S)


def restart_core(deployment, record):
    """Kill all control processes at the same moment and start them again."""
    for host in deployment.controls:
        host.signal(9)
    record.write("control processes killed")
    time.sleep(CORE_DOWN_S)
    for host in deployment.controls:
        host.kill()
        host.start()
    record.write("control processes started")


def run(deployment, record):
    """Play the case and return the exit status."""
    left, kept = deployment.entries
    route = {
        **requesters.make_route("notes", "/notes/", "streaming", "desk", 2),
        "timeout_ms": int(TIMEOUT_S * 1000),
        "slo_ms": 2000,
        "resumable": True,
        "gap_target_ms": 400,
    }
    for host in deployment.hosts:
        host.start()
    services = [{"name": "desk", "health_path": "/health", "max_conns": 370}]
    configuration = requesters.make_configuration(7, [route], services)
    if not deployment.put_until_acknowledged(configuration):
        return 2
    requesters.start_desk(
        deployment,
        record,
        streams.StreamRunner,
        event_count=EVENTS,
        event_s=EVENT_S,
    )
    if not fleetkit.wait_until(
        lambda: all(deployment.is_ready(host) for host in deployment.entries), 10.0
    ):
        return 2
    time.sleep(STABILITY_WINDOW_S)
    addresses = [deployment.callers_of(left), deployment.callers_of(kept)]
    resumed = [
        streams.Stream(f"stream-{n}", f"/notes/{n}", record) for n in range(STREAMS)
    ]
    started_at = time.monotonic()
    threads = [
        streams.start(take_part, stream, addresses, started_at) for stream in resumed
    ]
    time.sleep(1.0)
    if HAS_TROUBLE:
        restart_core(deployment, record)
    else:
        time.sleep(CORE_DOWN_S)
    # The core is stable again, and the other machine in touch, a window later.
    fleetkit.wait_until(lambda: deployment.read(deployment.controls[0])[0] == 200, 5.0)
    time.sleep(STABILITY_WINDOW_S + 0.5)
    left.signal(9)
    record.write("entry process killed", ip=left.ip)
    new = [streams.Stream(f"new-{n}", f"/notes/n{n}", record) for n in range(STREAMS)]
    threads += [streams.start(begin_new, stream, addresses[1]) for stream in new]
    for thread in threads:
        thread.join()
    taken_up = [s for s in resumed if len(s.statuses) > 1]
    gone_on = [s for s in taken_up if s.is_complete]
    begun = [s for s in new if s.numbers]
    share = len(gone_on) / max(1, len(taken_up))
    new_share = len(begun) / len(new)
    is_broken = len(taken_up) >= 12 and share < 0.5 * new_share
    record.write(
        "result",
        taken_up=len(taken_up),
        gone_on=len(gone_on),
        out_of_order=sum(s.numbers != sorted(set(s.numbers)) for s in resumed),
        new=len(new),
        begun=len(begun),
        statuses=sorted({status for s in taken_up for status in s.statuses[1:]}),
        broken=is_broken,
    )
    others = [*deployment.controls, kept]
    if len(taken_up) < 12 or not all(host.is_running() for host in others):
        return 2
    return 1 if is_broken else 0


def main():
    """Run the case and end all processes."""
    record = runners.Record(FOLDER / "record.txt")
    deployment = fleetkit.Deployment(control_count=3, entry_count=2)
    try:
        status = run(deployment, record)
        record.write("exit", status=status)
        return status
    finally:
        deployment.close()
        record.close()


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
