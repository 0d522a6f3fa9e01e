"""Logging does not block on a slow reader, and its rate is limited.

Guards against a full or closed pipe that stalls the process, and against a log volume
that grows with the load.
"""

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
    """Flush the stream and read the pipe until both are empty."""
    os.set_blocking(reader, False)
    received = b""
    while True:
        stream.flush()
        try:
            received += os.read(reader, 65536)
        except BlockingIOError:
            return received


def test_stalled_reader_does_not_block_and_dropped_lines_are_counted_exactly(pipe):
    """A blocked standard output must not delay any call."""
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
    reports = [line for line in received.splitlines() if b"were dropped" in line]
    assert json.loads(reports[-1])["dropped"] == stream.dropped
    assert received.endswith(b"after\n")


def test_closed_reader_does_not_block():
    reader, writer = os.pipe()
    stream = logs.BoundedStream(writer)
    os.close(reader)
    stream.write("line\n")
    stream.flush()
    os.close(writer)


class LineCollector:
    """Collect the parsed lines."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        self.lines.append(json.loads(text))

    def flush(self):
        return None


def test_line_rate_is_limited_and_lines_held_back_are_reported():
    """At ten times the limit, lines over the limit are counted, not written."""
    stream = LineCollector()
    destination = logs._Destination(stream)
    for number in range(1000):
        destination({"timestamp": 5.0 + number / 2000, "number": number})
    assert len(stream.lines) == logs.MAX_LINES_PER_S
    destination({"timestamp": 6.5, "number": 1000})
    assert stream.lines[-2]["held_back"] == 1000 - logs.MAX_LINES_PER_S
