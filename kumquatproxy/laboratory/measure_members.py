"""Cost and speed of membership, load reports and dissemination at the design size.

All hosts run in one process on a fake network with encoded messages. The inputs of some
hosts are recorded and run again alone, for their processor time and memory.
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
LOST = 0.1
CHANGES_PER_S = 380 / 86_400
WARM_UP_S = 14.0
WINDOW_S = 24.0
MINUTE_S = 60.0
IN_FORCE_LIMIT_S = 60.0
PUBLISHER = "b-host-010"
PING_BYTES = 6  # masked and empty
PONG_BYTES = 2
LINK_WARM_UP = 100
LINK_MESSAGES = 3000
HEADER_BYTES = 40  # of IPv4 and TCP without options

VERSION_TAGS = ("version-push", "version-pull", "version-chunk", "version-have")
REPORT_TAGS = ("report-batch", "report-pull", "report-details")


def _sheet(number):
    text = samples.generate("design-size")
    return text.replace("priority = 5", f"priority = {5 + number % 2}", 1).encode()


def _observed(simulation):
    """Return a relay, the root, an inner host and a leaf of the tree of reports."""
    hosts = simulation.ids_by_centre["a"]
    return [hosts[0], hosts[-1], hosts[-2], hosts[2]]


@measure.MEASUREMENTS.register("config-in-force")
def config_in_force(seed: int) -> list[measure.Figure]:
    """Publish a version at 380 hosts with 10% loss; time until all have adopted it."""
    size = membersimulation.Size(380, 0, LOST)
    simulation = membersimulation.Simulation(seed, size)
    simulation.start()
    network = simulation.network
    network.run(WARM_UP_S)
    simulation.publish(PUBLISHER, 1, _sheet(1))
    limit = WARM_UP_S + IN_FORCE_LIMIT_S
    while network.now < limit and len(simulation.adopted_at(1)) < size.hosts:
        network.run(network.now + 0.5)
    adopted_at = simulation.adopted_at(1)
    is_complete = len(adopted_at) == size.hosts
    seconds = max(adopted_at.values()) - WARM_UP_S if is_complete else IN_FORCE_LIMIT_S
    return [
        measure.Figure("config_in_force_s_380", seconds, high=18.0),
        measure.Figure("config_in_force_rounds_380", simulation.depth(1)),
    ]


class _Run:
    """Hold what one size costs."""

    def __init__(self, seed, size):
        self.size = size
        self.simulation = membersimulation.Simulation(seed, size)
        observed = _observed(self.simulation)
        self.simulation.start(observed)
        network = self.simulation.network
        network.run(WARM_UP_S)
        before = {name: _parts(t) for name, t in network.traffic_by_id.items()}
        messages = {name: t.messages for name, t in network.traffic_by_id.items()}
        self.simulation.publish(PUBLISHER, 1, _sheet(1))
        network.run(WARM_UP_S + WINDOW_S)
        self.bytes_by_id = {}
        for name, traffic in network.traffic_by_id.items():
            after = _parts(traffic)
            self.bytes_by_id[name] = [
                late - early for late, early in zip(after, before[name])
            ]
        self.most_messages = max(
            traffic.messages - messages[name]
            for name, traffic in network.traffic_by_id.items()
        )
        self.links_by_id = {
            name: len(others) for name, others in network.peers_by_id.items()
        }

    def links(self):
        """Return the largest number of links of an observed host."""
        return max(self.links_by_id.values())

    def bytes_per_s(self, host_id, changes_per_s):
        """Return the bytes per second of a host, pings included."""
        members, reports, versions = self.bytes_by_id[host_id]
        pings = self.links() * (PING_BYTES + PONG_BYTES)
        return (members + reports) / WINDOW_S + pings + versions * changes_per_s

    def worst_bytes_per_s(self):
        """Return the bytes per second of the busiest host in the minute of a change."""
        return max(self.bytes_per_s(name, 1 / MINUTE_S) for name in self.bytes_by_id)

    def segments_per_s(self):
        """Return messages, pings and pongs per second, each of them one segment."""
        return self.most_messages / WINDOW_S + 2 * self.links()

    def mean_bytes_per_s(self):
        """Return the mean of all hosts over a day."""
        total = sum(self.bytes_per_s(name, CHANGES_PER_S) for name in self.bytes_by_id)
        return total / len(self.bytes_by_id)

    def worst_part(self, index):
        """Return the bytes per second of one part at the host with the most of it."""
        return max(parts[index] for parts in self.bytes_by_id.values()) / WINDOW_S

    def core_percent(self):
        """Return the processor time of the busiest observed host, in percent."""
        return max(
            Replay(self.simulation, host_id, self.links_by_id[host_id]).core_percent()
            for host_id in self.links_by_id
        )

    def megabytes(self):
        """Return the memory of the observed host that needs most, in MB."""
        return max(
            Replay(self.simulation, host_id, self.links_by_id[host_id]).megabytes()
            for host_id in self.links_by_id
        )


def _parts(traffic):
    """Return the bytes of membership, reports and versions so far."""
    reports = sum(traffic.bytes_by_tag.get(tag, 0) for tag in REPORT_TAGS)
    versions = sum(traffic.bytes_by_tag.get(tag, 0) for tag in VERSION_TAGS)
    return [traffic.total() - reports - versions, reports, versions]


class Replay:
    """Run the recorded inputs of one host again."""

    def __init__(self, simulation, host_id, links):
        self._simulation = simulation
        self._host_id = host_id
        self._links = links
        self._dialling = client.ClientProtocol(
            uri.parse_uri(link.LINK_URI), state=protocol.OPEN
        )
        self._accepting = server.ServerProtocol(state=protocol.OPEN)

    def core_percent(self) -> float:
        """Return the time of cores, coding, framing and pings in the window."""
        host = self._simulation.new_host(self._host_id)
        used_s = 0.0
        next_pings = WARM_UP_S
        for event in self._events():
            started = time.process_time()
            self._run(host, event)
            if event[0] >= next_pings:
                next_pings += 1.0
                self._ping()
            if event[0] >= WARM_UP_S:
                used_s += time.process_time() - started
        return 100.0 * used_s / WINDOW_S

    def megabytes(self) -> float:
        """Return the memory of the cores and the links at the end."""
        events = self._events()
        loadmessages.clear_item_cache()
        gc.collect()
        tracemalloc.start()
        host = self._simulation.new_host(self._host_id)
        for event in events:
            self._run(host, event)
        identity = hello.Identity(self._host_id, "a", b"key", ["a"])
        memory = hello.NonceCache()
        links = [
            link.Link(None, identity, link.LinkTiming(), memory, time.monotonic, "x")
            for _ in range(self._links)
        ]
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(links) == self._links
        return size / 1e6

    def _events(self):
        """Return the inputs, with the data of messages in websocket frames."""
        events = []
        for event in self._simulation.network.events_by_id[self._host_id]:
            if event[1] == "message":
                self._dialling.send_binary(event[3])
                frame = b"".join(self._dialling.data_to_send())
                event = (*event[:3], frame)
            events.append(event)
        return events

    def _run(self, host: peers.HostProtocols, event):
        now, kind, *values = event
        if kind == "tick":
            outputs = host.tick(now)
        elif kind == "message":
            sender, data = values
            self._accepting.receive_data(data)
            frame = self._accepting.events_received()[0]
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
                self._dialling.send_binary(wire.encode(output.message))
                b"".join(self._dialling.data_to_send())

    def _ping(self):
        """Spend the time of one ping on each link: one host pings, the other answers.

        Both ends run here, so half as many links are enough.
        """
        for _ in range((self._links + 1) // 2):
            self._dialling.send_ping(b"")
            self._accepting.receive_data(b"".join(self._dialling.data_to_send()))
            self._accepting.events_received()
            self._dialling.receive_data(b"".join(self._accepting.data_to_send()))
            self._dialling.events_received()


@measure.MEASUREMENTS.register("control-cost")
def control_cost(seed: int) -> list[measure.Figure]:
    """Run three sizes and return bytes, processor time and memory of one host.

    ``control_bytes_per_s`` is the busiest host over the minute of a configuration
    change, sent and received together, with websocket headers and pings.
    ``control_bytes_headers`` estimates the TCP/IP headers that come on top, and
    ``control_link_percent`` the processor time with sockets, from that of one message.
    """
    link_s = link_cost(seed)[0].value / 1e6
    runs = [_Run(seed, size) for size in SIZES]
    small, _, large = runs
    figures = []
    percents = []
    for run in runs:
        hosts = run.size.hosts
        percents.append(run.core_percent())
        limits = (14_000.0, 2.9) if hosts == 380 else (None, None)
        figures += [
            measure.Figure(
                f"control_bytes_per_s_{hosts}", run.worst_bytes_per_s(), high=limits[0]
            ),
            measure.Figure(f"control_bytes_mean_{hosts}", run.mean_bytes_per_s()),
            measure.Figure(
                f"control_core_percent_{hosts}", percents[-1], high=limits[1]
            ),
        ]
    members = _slope(small, large, _member_bytes, "hosts")
    reports = _slope(small, large, lambda run: run.worst_part(1), "backends")
    base = _member_bytes(large) - members * large.size.hosts
    base += large.worst_part(1) - reports * large.size.backends
    per_host = (percents[2] - percents[0]) / (large.size.hosts - small.size.hosts)
    figures += [
        measure.Figure("control_bytes_slope_per_host", members),
        measure.Figure("control_bytes_slope_per_backend", reports),
        measure.Figure("control_bytes_slope_base", base),
        measure.Figure("control_bytes_per_change_380", large.worst_part(2) * WINDOW_S),
        measure.Figure(
            "control_bytes_headers_380", large.segments_per_s() * HEADER_BYTES
        ),
        measure.Figure(
            "control_link_percent_380", large.segments_per_s() * link_s * 100
        ),
        measure.Figure("control_core_slope_per_host", per_host),
        measure.Figure("control_rss_mb_380", large.megabytes(), high=32.0),
    ]
    return figures


@measure.MEASUREMENTS.register("link-cost")
def link_cost(seed: int) -> list[measure.Figure]:
    """Send messages over one real link, each on its own; time of one end for one."""
    arrived = gevent.event.Event()
    ends = []
    for host_id in ("end-0", "end-1"):
        identity = hello.Identity(host_id, "a", b"key", ["a"])
        settings = transport.Settings("127.0.0.1:0", identity)
        ends.append(transport.Transport(settings, lambda *_: arrived.set()))
        ends[-1].start()
    ends[0].set_address("end-1", ends[1].address)
    message = membermessages.ProbeRequest(number=seed, target="a-host-001")
    started = 0.0
    for count in range(LINK_MESSAGES + LINK_WARM_UP):
        if count == LINK_WARM_UP:
            started = time.process_time()
        ends[0].send("end-1", message)
        arrived.wait()
        arrived.clear()
    used_s = time.process_time() - started
    for end in ends:
        end.stop()
    return [measure.Figure("link_us_per_message", used_s / LINK_MESSAGES / 2 * 1e6)]


def _member_bytes(run):
    return run.worst_part(0) + run.links() * (PING_BYTES + PONG_BYTES)


def _slope(small, large, value_of, field):
    difference = getattr(large.size, field) - getattr(small.size, field)
    return (value_of(large) - value_of(small)) / difference
