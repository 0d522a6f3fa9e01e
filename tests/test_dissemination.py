"""Tests of the distribution of configuration versions.

They guard against a host that goes back to an older version or adopts a damaged one,
and against hosts that miss a version after message loss, isolation or the loss of
the relays, which are the first two hosts of a data centre here.
"""

import random

import clusters
import pytest

from kumquatproxy import errors, wire
from kumquatproxy.configuration import dissemination, versionmessages

CONTENT = random.Random(1).randbytes(100_000)  # 7 chunks, because it is incompressible


def content_of(number):
    return CONTENT + str(number).encode()


@pytest.mark.parametrize("seed", [1, 2])
def test_version_reaches_all_hosts_of_all_data_centres(seed):
    cluster = clusters.Cluster(seed, 10, centres=("a", "b", "c"))
    cluster.run_for(15.0)
    assert not any(host.versions.is_ready for host in cluster.hosts())
    cluster.publish("b-07", 1, content_of(1))  # no relay between data centres
    cluster.run_for(12.0)
    assert cluster.hosts_without_version(1) == []
    for host in cluster.hosts():
        assert host.versions.version.content == content_of(1)


def test_isolated_host_pulls_newest_version_after_reconnecting():
    cluster = clusters.Cluster(3, 8)
    cluster.run_for(10.0)
    cluster.network.cut(lambda sender, to: "a-06" in (sender, to))
    cluster.publish("a-00", 1, content_of(1))
    cluster.publish("a-00", 2, content_of(2))
    cluster.run_for(5.0)
    assert cluster.hosts_without_version(2) == ["a-06"]
    cluster.network.cut(lambda sender, to: False)
    cluster.run_for(15.0)
    assert cluster.hosts_without_version(2) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_version_is_in_force_within_18_s_when_both_relays_fail(seed):
    cluster = clusters.Cluster(seed, 12, centres=("a", "b"))
    cluster.run_for(12.0)
    cluster.network.kill("b-00")
    cluster.network.kill("b-01")
    cluster.publish("a-05", 1, content_of(1))
    cluster.run_for(18.0)
    assert cluster.hosts_without_version(1) == []


def test_isolated_data_centre_adopts_newest_version_after_reconnecting():
    cluster = clusters.Cluster(4, 6, centres=("a", "b"))
    cluster.run_for(12.0)
    cluster.network.cut(lambda sender, to: sender[0] != to[0])
    cluster.publish("a-03", 1, content_of(1))
    cluster.publish("a-03", 2, content_of(2))
    cluster.run_for(120.0)
    assert {host_id[0] for host_id in cluster.hosts_without_version(2)} == {"b"}
    cluster.network.cut(lambda sender, to: False)
    cluster.run_for(18.0)
    assert cluster.hosts_without_version(2) == []


def hosts_with_decreased_version(seed):
    """Return the hosts whose version number decreased during quick publications.

    Between publications a host is restarted with version 1 and offers it again.
    """
    cluster = clusters.Cluster(seed, 8)
    cluster.run_for(8.0)
    cluster.publish("a-00", 1, content_of(1))
    cluster.run_for(6.0)
    for number in range(2, 7):
        cluster.publish("a-00", number, content_of(number))
        cluster.run_for(0.7)
        cluster.network.kill("a-05")
        cluster.start("a-05", 10 + number, dissemination.Version(1, content_of(1)))
        cluster.adoptions_by_id.pop("a-05", None)
        restarted = cluster.host("a-05").versions
        offer = dissemination._offer_message(restarted.version, "")
        for host in cluster.hosts():
            cluster.network.handle("a-05", [wire.Send(host.host_id, offer)])
        cluster.run_for(0.7)
    cluster.run_for(10.0)
    return cluster.hosts_with_version_rollback()


@pytest.mark.parametrize("seed", [1, 2])
def test_adopted_version_number_never_decreases(seed):
    assert hosts_with_decreased_version(seed) == []


def test_decreased_versions_are_detected_when_older_ones_may_be_adopted(monkeypatch):
    monkeypatch.setattr(dissemination.Dissemination, "_may_adopt", lambda *_: True)
    assert hosts_with_decreased_version(1) != []


class HostPair:
    """Transfer a version from one host to another, message by message."""

    def __init__(self):
        rng = random.Random(1)
        self.source = dissemination.Dissemination("s", rng, 0.0)
        self.source.publish(3, content_of(3), 0.0)
        self.target = dissemination.Dissemination("t", rng, 0.0)
        self.outputs = []

    def transfer(self, change, now=0.0):
        """Transfer the version; ``change`` may replace or drop chunks."""
        offer = dissemination._offer_message(self.source.version, "")
        return self.run([("t", offer)], change, now)

    def run(self, messages, change, now):
        """Deliver messages until none are left; return the indices of the chunks."""
        chunks = []
        while messages:
            to, message = messages.pop(0)
            if isinstance(message, versionmessages.VersionChunk):
                chunks.append(message.index)
                message = change(message)
            if message is None:
                continue
            receiver, sender = (self.target, "s") if to == "t" else (self.source, "t")
            for output in receiver.receive(sender, message, now):
                if isinstance(output, wire.Send):
                    messages.append((output.to, output.message))
                else:
                    self.outputs.append(output)
        return chunks


def test_damaged_version_is_refused_and_can_be_transferred_again(monkeypatch):
    def damage(chunk):
        data = bytes(len(chunk.data)) if chunk.index == 2 else chunk.data
        return versionmessages.VersionChunk(
            data=data, index=chunk.index, number=chunk.number, packed=chunk.packed
        )

    pair = HostPair()
    pair.transfer(damage)
    assert not pair.target.is_ready
    assert [type(output) for output in pair.outputs] == [versionmessages.Refused]
    pair.transfer(lambda chunk: chunk, now=2.0)
    assert pair.target.version.content == content_of(3)


def test_wrong_digest_is_refused_only_because_of_the_comparison():
    """Without the comparison, content with another digest would be adopted."""
    for is_checked in (True, False):
        pair = HostPair()
        if not is_checked:
            pair.target._has_offered_digest = lambda *_: True
        offer = dissemination._offer_message(pair.source.version, "")
        offer.digest = dissemination.digest_of(b"other")
        pair.target.receive("s", offer, 0.0)
        for index in range(offer.chunks):
            chunk = versionmessages.VersionChunk(
                data=pair.source.version.chunk(index),
                index=index,
                number=3,
                packed=offer.packed,
            )
            pair.target.receive("s", chunk, 0.0)
        assert pair.target.is_ready != is_checked


def test_transfer_resumes_after_loss_with_missing_chunks_only():
    pair = HostPair()
    lost = []

    def drop_some(chunk):
        if chunk.index in (1, 5) and chunk.index not in lost:
            lost.append(chunk.index)
            return None
        return chunk

    sent = pair.transfer(drop_some)
    assert not pair.target.is_ready
    for now in (1.1, 2.2, 3.3):
        messages = [("s", output.message) for output in pair.target.tick(now)]
        sent += pair.run(messages, drop_some, now)
    assert pair.target.version.content == content_of(3)
    assert sorted(sent) == sorted([*range(7), *lost])


def test_second_content_for_one_version_number_is_refused():
    pair = HostPair()
    assert pair.source.publish(3, content_of(3), 1.0) == []
    with pytest.raises(errors.ProxyError, match="version-conflict"):
        pair.source.publish(3, content_of(4), 1.0)
    (refused,) = pair.source.observe("t", [3, b"12345678"], 1.0)
    assert isinstance(refused, versionmessages.Refused)


def test_simultaneous_pulls_get_no_more_chunks_than_the_burst_limit():
    pair = HostPair()
    compressed_digest = pair.source.version.compressed_digest
    pull = versionmessages.VersionPull(
        chunks=[0, 1, 2, 3], number=3, packed=compressed_digest
    )
    sent = [len(pair.source.receive(f"h{index}", pull, 0.0)) for index in range(100)]
    assert sum(sent) == dissemination.SERVED_CHUNKS_BURST
