"""A few hosts as processes, before fake servers without injected faults."""

import time

import callerclient
import fakeservers
import gevent
import soak


class DirectAddress:
    """Announce the address that a server listens on, without a proxy."""

    def __init__(self, listen):
        self.address = f"{listen[0]}:{listen[1]}"

    def open_listener(self):
        return None

    def close_listener(self):
        return None

    def close(self):
        return None


class Fleet:
    """Run three control hosts, some entry hosts and servers of one service."""

    server_class = fakeservers.FakeServer
    stream_timeout_ms = 2000
    first_version = 1  # of the configuration

    def __init__(self, folder, block, entry_count=2, rng=None):
        controls = [f"127.{block}.0.{number}" for number in (1, 2, 3)]
        entries = [f"127.{block}.1.{number + 1}" for number in range(entry_count)]
        self.block = block
        self.api_addresses = [f"{ip}:{soak.API_PORT}" for ip in controls]
        self.controls = [
            soak.HostProcess("control", ip, self.api_addresses, folder)
            for ip in controls
        ]
        self.entries = [
            soak.HostProcess("entry", ip, self.api_addresses, folder) for ip in entries
        ]
        self.executions = fakeservers.ExecutionCounter()
        self.servers = []
        self.next_id = 0
        self._rng = rng

    def start_hosts(self):
        """Start the hosts with a configuration of a route for each mode."""
        for process in [*self.controls, *self.entries]:
            process.start()
        routes = [
            soak.route("once", "/once/", "unsafe", "talk"),
            soak.route("safe", "/safe/", "safe", "talk", attempts=2),
            soak.route("stream", "/stream/", "streaming", "talk", attempts=2),
        ]
        configuration = {
            "version": self.first_version,
            "routes": [
                *routes[:2],
                {
                    **routes[2],
                    "resumable": True,
                    "timeout_ms": self.stream_timeout_ms,
                },
            ],
            "services": [{"name": "talk"}],
        }
        body = soak.json.dumps(configuration).encode()
        path = "/-/config/replace"
        self.wait_for(
            lambda: (
                callerclient.call(self.api_addresses[0], "POST", path, body, 3.0)[0]
                == 200
            )
        )

    def add_server(self, version="v1", slots=8):
        """Start a server that announces itself to the control hosts."""
        listen = (f"127.{self.block}.2.{len(self.servers) + 1}", soak.SERVER_PORT)
        server = self.server_class(
            f"i-{len(self.servers)}",
            "talk",
            listen,
            DirectAddress(listen),
            self.executions,
            self.api_addresses,
            slots,
            self._rng,
            version,
        )
        self.servers.append(server)
        return server

    def wait_for(self, condition):
        """Wait until a condition holds; fail if that takes too long."""
        end = time.monotonic() + soak.READY_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, "the fleet does not serve in time"
            gevent.sleep(0.1)

    def close(self):
        for process in [*self.controls, *self.entries]:
            process.close()
        for server in self.servers:
            server.close()
