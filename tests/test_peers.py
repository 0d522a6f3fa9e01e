"""Combined membership protocols: malformed messages, and hosts over real links."""

import random
import time

import clusters
import gevent
import hypothesis
import test_transport
from hypothesis import strategies

from kumquatproxy import errors, wire
from kumquatproxy.membership import hello, membermessages, peers, transport

CLASSES = sorted(
    peers._MEMBERSHIP_MESSAGES + peers._REPORT_MESSAGES + peers._VERSION_MESSAGES,
    key=lambda cls: cls.tag,
)
simple_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 2**40)
    | strategies.floats()
    | strategies.text(max_size=4)
    | strategies.binary(max_size=20)
    | strategies.just("a-01"),
    lambda inner: strategies.lists(inner, max_size=5),
    max_leaves=12,
)
simple_lists = strategies.lists(simple_values, max_size=5)
host_entries = strategies.tuples(
    strategies.sampled_from(["a-00", "a-01", "x"]),
    strategies.integers(-1, 6),
    strategies.integers(-1, 30),
    strategies.sampled_from(["127.0.0.1:1", ""]),
).map(list)
STRATEGIES_BY_TYPE = {
    bool: strategies.booleans(),
    bytes: strategies.binary(max_size=40) | strategies.just(b"\0" * 18),
    int: strategies.integers(-2, 2000),
    list: simple_lists | strategies.lists(host_entries, max_size=3) | host_entries,
    str: strategies.sampled_from(["a-01", "", "zz"]),
}


def messages_of(cls):
    fields = {
        name: STRATEGIES_BY_TYPE[kind] | simple_values
        for name, kind in cls.__annotations__.items()
    }
    return strategies.builds(cls, **fields)


@hypothesis.given(
    strategies.lists(strategies.sampled_from(CLASSES).flatmap(messages_of), max_size=8)
)
def test_malformed_messages_raise_only_proxy_errors(messages):
    """Guard against an exception that ends the greenlet that handles messages."""
    cluster = clusters.Cluster(1, 2)
    host = cluster.host("a-00")
    host.publish(1, b"content" * 100, 0.0)
    now = 0.0
    for message in messages:
        now += 0.7
        try:
            host.receive("a-01", message, now)
        except errors.ProxyError as error:
            assert error.kind is errors.ErrorKind.PROTOCOL_ERROR
        for output in host.tick(now):
            if isinstance(output, wire.Send):
                wire.encode(output.message)


class LinkedHost:
    """Run the membership protocols of one host over real links."""

    def __init__(self, host_id, seeds):
        self.inbox = []
        identity = hello.Identity(host_id, "a", test_transport.KEY, ["a"])
        settings = transport.Settings("127.0.0.1:0", identity)
        self.transport = transport.Transport(settings, self._enqueue)
        self.transport.start()
        address = self.transport.address
        settings = membermessages.Settings(host_id, "a", address, 5, seeds)
        rng = random.Random(host_id)
        self.peers = peers.HostProtocols(settings, rng, time.monotonic())
        self.greenlet = gevent.spawn(self._run)

    def _enqueue(self, sender, message):
        self.inbox.append((sender, message))

    def _run(self):
        while True:
            gevent.sleep(0.02)
            received, self.inbox = self.inbox, []
            for sender, message in received:
                self.handle(self.peers.receive(sender, message, time.monotonic()))
            self.handle(self.peers.tick(time.monotonic()))

    def handle(self, outputs):
        for output in outputs:
            if isinstance(output, wire.Send):
                self.transport.send(output.to, output.message)
            elif isinstance(output, membermessages.HostChanged):
                self.transport.set_address(output.host_id, output.address)

    def stop(self):
        self.greenlet.kill()
        self.transport.stop()


def test_hosts_over_real_links_learn_of_each_other_and_of_versions():
    hosts = [LinkedHost("a-00", [])]
    seed = membermessages.Seed("a-00", "a", hosts[0].transport.address)
    hosts += [LinkedHost(f"a-{index:02d}", [seed]) for index in range(1, 5)]
    names = [host.peers.host_id for host in hosts]
    try:
        test_transport.wait_until(
            lambda: all(
                host.peers.membership.table.present() == names for host in hosts
            )
        )
        content = random.Random(1).randbytes(200_000)
        hosts[3].handle(hosts[3].peers.publish(1, content, time.monotonic()))
        test_transport.wait_until(
            lambda: all(host.peers.versions.number == 1 for host in hosts)
        )
        assert all(host.peers.versions.version.content == content for host in hosts)
    finally:
        for host in hosts:
            host.stop()
