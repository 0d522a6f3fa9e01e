"""Logs never wait for their reader, and their volume is bounded."""

import json
import os

import pytest

from kumquatproxy import logs


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def drain(stream, reader):
    """Return all that the stream holds and the pipe takes."""
    os.set_blocking(reader, False)
    received = b""
    while True:
        stream.flush()
        try:
            received += os.read(reader, 65536)
        except BlockingIOError:
            return received


def test_a_reader_that_stops_stalls_nothing_and_the_count_is_exact(pipe):
    """A blocked standard output must not hold up a single call."""
    reader, writer = pipe
    stream = logs.BoundedStream(writer, max_bytes=10_000)
    lines = 3000
    for number in range(lines):
        stream.write(f"line {number:06d} {'x' * 80}\n")
        stream.flush()
    assert stream.dropped > 0
    received = drain(stream, reader)
    stream.write("after\n")
    received += drain(stream, reader)
    kept = received.count(b"line ")
    assert kept + stream.dropped == lines
    told = [line for line in received.splitlines() if b"were dropped" in line]
    assert json.loads(told[-1])["dropped"] == stream.dropped
    assert received.endswith(b"after\n")


def test_a_closed_reader_stalls_nothing():
    reader, writer = os.pipe()
    stream = logs.BoundedStream(writer)
    os.close(reader)
    stream.write("line\n")
    stream.flush()
    os.close(writer)


class Lines:
    """Collect lines."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        self.lines.append(json.loads(text))

    def flush(self):
        return None


def test_the_rate_of_lines_is_bounded_and_told():
    """At ten times the load the volume must not grow with it."""
    stream = Lines()
    destination = logs._Destination(stream)
    for number in range(1000):
        destination({"timestamp": 5.0 + number / 2000, "number": number})
    assert len(stream.lines) == logs.MAX_LINES_PER_S
    destination({"timestamp": 6.5, "number": 1000})
    assert stream.lines[-2]["held_back"] == 1000 - logs.MAX_LINES_PER_S
