"""Measurements of membership, load reports and dissemination at the design size.

All hosts run in one process on a fake network with encoded messages. The inputs of some
hosts are recorded and replayed alone, to measure their processor time and memory.
"""

import gc
import time
import tracemalloc

import gevent.event
from websockets import client, frames, protocol, server, uri

from kumquatproxy import wire
from kumquatproxy.configuration import samples
from kumquatproxy.laboratory import measure, membersimulation
from kumquatproxy.membership import (
    hello,
    link,
    loadmessages,
    membermessages,
    peers,
    transport,
)

SIZES = (
    membersimulation.Size(95, 150),
    membersimulation.Size(190, 300),
    membersimulation.Size(380, 600),
)
LOST_SHARE = 0.1
CONFIG_CHANGES_PER_S = 380 / 86_400  # 380 configuration changes a day
WARM_UP_S = 14.0
WINDOW_S = 24.0
MINUTE_S = 60.0
IN_FORCE_LIMIT_S = 60.0
PUBLISHER = "b-host-010"
PING_BYTES = 6  # masked frame without payload
PONG_BYTES = 2
LINK_WARM_UP = 100
LINK_MESSAGES = 3000
HEADER_BYTES = 40  # IPv4 and TCP headers without options

VERSION_TAGS = ("version-push", "version-pull", "version-chunk", "version-have")
REPORT_TAGS = ("report-batch", "report-pull", "report-details")


def _make_sheet(version):
    text = samples.generate("design-size")
    return text.replace("priority = 5", f"priority = {5 + version % 2}", 1).encode()


def _observed_hosts(simulation):
    """Return a relay and the root, an inner host and a leaf of the report tree."""
    hosts = simulation.host_ids_by_centre["a"]
    return [hosts[0], hosts[-1], hosts[-2], hosts[2]]


@measure.MEASUREMENTS.register("config-in-force")
def config_in_force(seed: int) -> list[measure.Figure]:
    """Measure the time until 380 hosts with 10% loss have adopted a version."""
    size = membersimulation.Size(380, 0, LOST_SHARE)
    simulation = membersimulation.Simulation(seed, size)
    simulation.start()
    network = simulation.network
    network.run(WARM_UP_S)
    simulation.publish(PUBLISHER, 1, _make_sheet(1))
    deadline = WARM_UP_S + IN_FORCE_LIMIT_S
    while network.now < deadline and len(simulation.adopted_at(1)) < size.hosts:
        network.run(network.now + 0.5)
    adopted_at = simulation.adopted_at(1)
    is_complete = len(adopted_at) == size.hosts
    adoption_s = (
        max(adopted_at.values()) - WARM_UP_S if is_complete else IN_FORCE_LIMIT_S
    )
    return [
        measure.Figure("config_in_force_s_380", adoption_s, high=18.0),
        measure.Figure("config_in_force_rounds_380", simulation.max_hops(1)),
    ]


class _SizeRun:
    """Simulation of one size, with the costs per host."""

    def __init__(self, seed, size):
        self.size = size
        self.simulation = membersimulation.Simulation(seed, size)
        observed = _observed_hosts(self.simulation)
        self.simulation.start(observed)
        network = self.simulation.network
        network.run(WARM_UP_S)
        before = {
            name: _bytes_by_part(traffic)
            for name, traffic in network.traffic_by_id.items()
        }
        messages_before = {
            name: traffic.messages for name, traffic in network.traffic_by_id.items()
        }
        self.simulation.publish(PUBLISHER, 1, _make_sheet(1))
        network.run(WARM_UP_S + WINDOW_S)
        self.bytes_by_id = {}
        for name, traffic in network.traffic_by_id.items():
            after = _bytes_by_part(traffic)
            self.bytes_by_id[name] = [
                end - start for end, start in zip(after, before[name])
            ]
        self.max_messages = max(
            traffic.messages - messages_before[name]
            for name, traffic in network.traffic_by_id.items()
        )
        self.link_count_by_id = {
            name: len(others) for name, others in network.peers_by_id.items()
        }

    def link_count(self):
        """Return the largest number of links of an observed host."""
        return max(self.link_count_by_id.values())

    def bytes_per_s(self, host_id, changes_per_s):
        """Return the bytes per second of a host, including pings."""
        members, reports, versions = self.bytes_by_id[host_id]
        pings = self.link_count() * (PING_BYTES + PONG_BYTES)
        return (members + reports) / WINDOW_S + pings + versions * changes_per_s

    def max_bytes_per_s(self):
        """Return the bytes per second of the busiest host, in a minute with a change.

        The bytes of one configuration version are averaged over the minute.
        """
        return max(self.bytes_per_s(name, 1 / MINUTE_S) for name in self.bytes_by_id)

    def segments_per_s(self):
        """Return messages, pings and pongs per second, each sent as one segment."""
        return self.max_messages / WINDOW_S + 2 * self.link_count()

    def mean_bytes_per_s(self):
        """Return the mean bytes per second of all hosts over a day."""
        total = sum(
            self.bytes_per_s(name, CONFIG_CHANGES_PER_S) for name in self.bytes_by_id
        )
        return total / len(self.bytes_by_id)

    def max_part_bytes_per_s(self, index):
        """Return the largest bytes per second of one part of the traffic of a host."""
        return max(parts[index] for parts in self.bytes_by_id.values()) / WINDOW_S

    def core_percent(self):
        """Return the percentage of a core that the busiest observed host uses."""
        return max(
            Replay(
                self.simulation, host_id, self.link_count_by_id[host_id]
            ).core_percent()
            for host_id in self.link_count_by_id
        )

    def memory_mb(self):
        """Return the largest memory of an observed host, in MB."""
        return max(
            Replay(self.simulation, host_id, self.link_count_by_id[host_id]).memory_mb()
            for host_id in self.link_count_by_id
        )


def _bytes_by_part(traffic):
    """Return the bytes so far of membership, load reports and versions."""
    reports = sum(traffic.bytes_by_tag.get(tag, 0) for tag in REPORT_TAGS)
    versions = sum(traffic.bytes_by_tag.get(tag, 0) for tag in VERSION_TAGS)
    return [traffic.total() - reports - versions, reports, versions]


class Replay:
    """Replay of the recorded inputs of one host."""

    def __init__(self, simulation, host_id, link_count):
        self._simulation = simulation
        self._host_id = host_id
        self._link_count = link_count
        self._client_protocol = client.ClientProtocol(
            uri.parse_uri(link.LINK_URI), state=protocol.OPEN
        )
        self._server_protocol = server.ServerProtocol(state=protocol.OPEN)

    def core_percent(self) -> float:
        """Return the percentage of a core for protocol, coding, framing and pings."""
        host = self._simulation.new_host(self._host_id)
        processor_s = 0.0
        next_ping_at = WARM_UP_S
        for event in self._framed_events():
            started = time.process_time()
            self._replay(host, event)
            if event[0] >= next_ping_at:
                next_ping_at += 1.0
                self._exchange_pings()
            if event[0] >= WARM_UP_S:
                processor_s += time.process_time() - started
        return 100.0 * processor_s / WINDOW_S

    def memory_mb(self) -> float:
        """Return the memory of the protocol state and the links after the replay."""
        events = self._framed_events()
        loadmessages.clear_item_cache()
        gc.collect()
        tracemalloc.start()
        host = self._simulation.new_host(self._host_id)
        for event in events:
            self._replay(host, event)
        identity = hello.Identity(self._host_id, "a", b"key", ["a"])
        memory = hello.NonceCache()
        links = [
            link.Link(None, identity, link.LinkTiming(), memory, time.monotonic, "x")
            for _ in range(self._link_count)
        ]
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(links) == self._link_count
        return size / 1e6

    def _framed_events(self):
        """Return the recorded inputs, with messages in websocket frames."""
        events = []
        for event in self._simulation.network.events_by_id[self._host_id]:
            if event[1] == "message":
                self._client_protocol.send_binary(event[3])
                frame = b"".join(self._client_protocol.data_to_send())
                event = (*event[:3], frame)
            events.append(event)
        return events

    def _replay(self, host: peers.HostProtocols, event):
        now, kind, *values = event
        if kind == "tick":
            outputs = host.tick(now)
        elif kind == "message":
            sender, data = values
            self._server_protocol.receive_data(data)
            frame = self._server_protocol.events_received()[0]
            assert isinstance(frame, frames.Frame)
            outputs = host.receive(sender, wire.decode(bytes(frame.data)), now)
        elif kind == "announce":
            outputs = host.membership.announce(values[0], now)
        elif kind == "report":
            outputs = host.report(values[0], now)
        else:
            number, content = values
            outputs = host.publish(number, content, now)
        for output in outputs:
            if isinstance(output, wire.Send):
                self._client_protocol.send_binary(wire.encode(output.message))
                b"".join(self._client_protocol.data_to_send())

    def _exchange_pings(self):
        """Exchange pings and pongs at the cost of one end of each link.

        Each exchange here costs the work of both ends, so exchanges on half of the
        links cost as much as one host spends on all of its links.
        """
        for _ in range((self._link_count + 1) // 2):
            self._client_protocol.send_ping(b"")
            self._server_protocol.receive_data(
                b"".join(self._client_protocol.data_to_send())
            )
            self._server_protocol.events_received()
            self._client_protocol.receive_data(
                b"".join(self._server_protocol.data_to_send())
            )
            self._client_protocol.events_received()


@measure.MEASUREMENTS.register("control-cost")
def control_cost(seed: int) -> list[measure.Figure]:
    """Measure bytes, processor time and memory of one host at three sizes.

    ``control_bytes_per_s`` is the traffic of the busiest host, sent and received,
    averaged over a minute with one configuration change, with websocket headers and
    pings.
    ``control_bytes_headers`` estimates the TCP/IP headers in addition, and
    ``control_link_percent`` is the percentage of a core with real links: the messages
    per second times the processor time per message of ``link_cost``.
    """
    link_s = link_cost(seed)[0].value / 1e6
    runs = [_SizeRun(seed, size) for size in SIZES]
    small, _, large = runs
    figures = []
    core_percents = []
    for run in runs:
        hosts = run.size.hosts
        core_percents.append(run.core_percent())
        targets = (14_000.0, 2.9) if hosts == 380 else (None, None)
        figures += [
            measure.Figure(
                f"control_bytes_per_s_{hosts}", run.max_bytes_per_s(), high=targets[0]
            ),
            measure.Figure(f"control_bytes_mean_{hosts}", run.mean_bytes_per_s()),
            measure.Figure(
                f"control_core_percent_{hosts}", core_percents[-1], high=targets[1]
            ),
        ]
    member_slope = _slope(small, large, _member_bytes_per_s, "hosts")
    report_slope = _slope(
        small, large, lambda run: run.max_part_bytes_per_s(1), "backends"
    )
    base = _member_bytes_per_s(large) - member_slope * large.size.hosts
    base += large.max_part_bytes_per_s(1) - report_slope * large.size.backends
    core_slope = (core_percents[2] - core_percents[0]) / (
        large.size.hosts - small.size.hosts
    )
    figures += [
        measure.Figure("control_bytes_slope_per_host", member_slope),
        measure.Figure("control_bytes_slope_per_backend", report_slope),
        measure.Figure("control_bytes_slope_base", base),
        measure.Figure(
            "control_bytes_per_change_380", large.max_part_bytes_per_s(2) * WINDOW_S
        ),
        measure.Figure(
            "control_bytes_headers_380", large.segments_per_s() * HEADER_BYTES
        ),
        measure.Figure(
            "control_link_percent_380", large.segments_per_s() * link_s * 100
        ),
        measure.Figure("control_core_slope_per_host", core_slope),
        measure.Figure("control_rss_mb_380", large.memory_mb(), high=32.0),
    ]
    return figures


@measure.MEASUREMENTS.register("link-cost")
def link_cost(seed: int) -> list[measure.Figure]:
    """Measure the processor time that one end of a real link takes per message."""
    arrived = gevent.event.Event()
    transports = []
    for host_id in ("end-0", "end-1"):
        identity = hello.Identity(host_id, "a", b"key", ["a"])
        settings = transport.Settings("127.0.0.1:0", identity)
        transports.append(transport.Transport(settings, lambda *_: arrived.set()))
        transports[-1].start()
    transports[0].set_address("end-1", transports[1].address)
    message = membermessages.ProbeRequest(number=seed, target="a-host-001")
    started = 0.0
    for count in range(LINK_MESSAGES + LINK_WARM_UP):
        if count == LINK_WARM_UP:
            started = time.process_time()
        transports[0].send("end-1", message)
        arrived.wait()
        arrived.clear()
    processor_s = time.process_time() - started
    for transport_end in transports:
        transport_end.stop()
    return [
        measure.Figure("link_us_per_message", processor_s / LINK_MESSAGES / 2 * 1e6)
    ]


def _member_bytes_per_s(run):
    return run.max_part_bytes_per_s(0) + run.link_count() * (PING_BYTES + PONG_BYTES)


def _slope(small, large, value_of, field):
    difference = getattr(large.size, field) - getattr(small.size, field)
    return (value_of(large) - value_of(small)) / difference
