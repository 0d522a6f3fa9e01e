"""Heartbeats with a field of another type end the processes of control hosts."""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import casemain
import fleet
import runner

TROUBLE_S = 45.0
# The day counts 0 if on half of the core (two of three) processes end three times.
MIN_HOSTS, MIN_ENDS = 2, 3

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "generate",
            "hostname": "models.example",
            "path_prefix": "/generate/",
            "mode": "unsafe",
            "timeout_ms": 3000,
            "slo_ms": 1000,
            "priority": 1,
            "backend": "models",
            "attempts": 1,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "models",
            "health_path": "/health",
            "max_conns": 360,
            "engine": {
                "slots": 64,
                "kv_capacity": 149060,
                "adapter_slots": 5,
                "loads_per_s": 1.1,
                "weights_mb": 200000.0,
                "host_mb": 130000.0,
                "disk_mb": 400000.0,
                "models": [
                    {
                        "name": name,
                        "weights_mb": 65000.0,
                        "load_time_s": 4.0,
                        "adapters": 0,
                        "adapter_mb": 12.0,
                        "warm_s": 0.5,
                        "disk_s": 1.5,
                    }
                    for name in ("m0", "m1", "m2")
                ],
            },
        }
    ],
}


def send_requests(deployment, record, answers, end):
    """Send a request for a model about four times a second, to one host in turn."""
    number = 0
    while time.monotonic() < end:
        number += 1
        host = deployment.entries[number % len(deployment.entries)]
        headers = {
            "Host": "models.example",
            "Kumquatproxy-Request-Id": f"q{number}",
            "Kumquatproxy-Model": f"m{number % 2}",
            "Kumquatproxy-Token-Usage": "100,10",
            "Kumquatproxy-Prompt-Prefix": "a1:60,b2:40",
            "Kumquatproxy-Deadline-Ms": "3000",
        }
        answer = fleet.request(
            host.address("front"), "POST", "/generate/x", b"x", 3.0, headers
        )
        answers.append(answer.status)
        record.write(f"q{number} to {host.name}: {answer.status or answer.error}")
        time.sleep(0.25)


def play(deployment, record, has_trouble):
    deployment.start()
    if not deployment.put(CONFIGURATION, 30.0):
        raise casemain.CannotRun("the first configuration was not acknowledged")
    first = runner.Runner(deployment, 1, "models", ["m0", "m1"])
    second = runner.Runner(deployment, 2, "models", ["m0", "m2"])
    if not deployment.wait_until(deployment.is_ready):
        raise casemain.CannotRun("the entry hosts are not ready")
    time.sleep(3.0)
    end = time.monotonic() + TROUBLE_S
    answers = []
    caller = threading.Thread(
        target=send_requests, args=(deployment, record, answers, end)
    )
    caller.start()
    version = 1
    while time.monotonic() < end:
        # The second writer of the heartbeats of one runner. The runner's own ones,
        # every 1.2 s too, are sound.
        fields = second.heartbeat_fields()
        if has_trouble:
            fields["at_hand"] = {"in_memory": [{"name": "m0"}], "on_disk": []}
        host, status = second.send_heartbeat(fields)
        record.write(f"second writer: heartbeat to {host}: {status}")
        time.sleep(runner.HEARTBEAT_S)
        if int(end - time.monotonic()) % 10 == 5:
            version += 1
            deployment.put({**CONFIGURATION, "version": version}, 1.0, version)
    caller.join()
    for server in (first, second):
        server.close()
    ends = {host.name: len(host.own_ends) for host in deployment.hosts}
    record.write(f"processes that ended by themselves: {ends}")
    record.write(f"answers with 200: {answers.count(200)} of {len(answers)}")
    print(ends, f"{answers.count(200)} of {len(answers)} requests answered with 200")
    often = [h.name for h in deployment.controls if len(h.own_ends) >= MIN_ENDS]
    if len(often) >= MIN_HOSTS:
        return [
            f"the processes of {', '.join(often)} ended by themselves "
            f"{MIN_ENDS} times or more, and no signal was sent to them"
        ]
    return []


# With TROUBLE=0 the same is played without the disturbance.
casemain.run(play, os.environ.get("TROUBLE", "1") != "0")
