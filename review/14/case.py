"""A first config with the version 0 is acknowledged."""

import json
import os
import pathlib
import sys
import time

import group

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VERSION = 0 if HAS_TROUBLE else 1
READING_S = 20.0


class TalkServer(group.Server):
    """Answer each stream with a few events."""

    def answer(self, handler, request_id):
        """Answer a request."""
        self.send_events(handler, request_id, 3, 0.05)


def play(deployment):
    """Return whether the acknowledged config is read back or obeyed."""
    configuration = {**group.stream_configuration(), "version": VERSION}
    deployment.start(configuration)
    server = TalkServer(deployment, 1)
    server.start()
    ends_at = time.monotonic() + READING_S
    reads, versions, served = 0, [], 0
    while time.monotonic() < ends_at:
        for address in deployment.api_addresses:
            status, body = group.call(address, "GET", "/-/config/get", b"", 3.0)
            reads += 1
            deployment.record.write(f"config read at {address}: {status}")
            if status == 200:
                versions.append(json.loads(body)["version"])
        for entry in deployment.entries:
            request_id = f"{time.monotonic_ns():016x}"
            requester = group.Requester(deployment, entry, request_id, 2.0)
            requester.run()
            served += requester.is_whole and requester.status == 200
        time.sleep(0.5)
    print(f"{reads} reads, {len(versions)} answered, {served} requests served")
    return VERSION in versions


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(group.run_case(play, "CONFIG", folder))
