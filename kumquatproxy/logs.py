"""Rate-limited JSON logging through eliot; each text starts with a component prefix."""

import os
import sys
import time
import traceback

import eliot
import orjson

REPEAT_WINDOW_S = 1.0
FLUSH_INTERVAL_S = 0.2
# Limit per process; ten times the usual rate of an entry host.
MAX_LINES_PER_S = 200
# About 500 lines buffered for a slow reader.
MAX_BUFFERED_BYTES = 128 * 1024


class RepeatLimiter:
    """Allow one line of each kind per window."""

    __slots__ = ("_held_back_by_kind", "_window_start")

    def __init__(self):
        self._held_back_by_kind: dict[str, int] = {}
        self._window_start = 0.0

    def passes(self, kind: str, now: float) -> bool:
        """Return whether a line of this kind may be written at ``now``."""
        if now - self._window_start >= REPEAT_WINDOW_S:
            self._window_start = now
            self._held_back_by_kind.clear()
        if kind not in self._held_back_by_kind:
            self._held_back_by_kind[kind] = 0
            return True
        self._held_back_by_kind[kind] += 1
        return False


class Log:
    """Write the log lines of one component, with its prefix."""

    __slots__ = ("_limiter", "_prefix")

    def __init__(self, prefix):
        self._prefix: str = prefix
        self._limiter = RepeatLimiter()

    def write(self, now: float, sentence: str, **fields) -> None:
        """Write one line; eliot adds the time stamp."""
        if _task is not None:
            _task.log(self._prefix, text=f"{self._prefix}: {sentence}", **fields)

    def write_limited(self, now: float, kind: str, sentence: str, **fields) -> None:
        """Write a line at most once per second for each kind."""
        if _task is not None and self._limiter.passes(kind, now):
            self.write(now, sentence, kind=kind, **fields)

    def write_exception(
        self, now: float, error: Exception, sentence: str, **fields
    ) -> None:
        """Write a line with a traceback at most once per second for each type."""
        stack = "".join(traceback.format_exception(error))
        text = f"{sentence}: {error!r:.200}"
        kind = type(error).__name__
        self.write_limited(now, kind, text, traceback=stack, **fields)


class BoundedStream:
    """Write to a file descriptor without ever blocking on its reader.

    Unread output is buffered up to ``max_bytes``; further lines are dropped and
    counted, and the count is written as a line once there is room again.
    """

    __slots__ = ("_buffer", "_descriptor", "_max_bytes", "dropped", "reported")

    def __init__(self, descriptor: int, max_bytes: int = MAX_BUFFERED_BYTES):
        os.set_blocking(descriptor, False)
        self._descriptor: int = descriptor
        self._max_bytes: int = max_bytes
        self._buffer = bytearray()
        self.dropped = 0  # lines since the start
        self.reported = 0  # dropped lines whose count was written

    def write(self, text: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full."""
        data = text.encode()
        if len(self._buffer) + len(data) > self._max_bytes:
            self.flush()
        if len(self._buffer) + len(data) > self._max_bytes:
            self.dropped += 1
            return
        self._report_dropped()
        self._buffer += data

    def _report_dropped(self):
        count = self.dropped - self.reported
        if count and len(self._buffer) < self._max_bytes // 2:
            self.reported = self.dropped
            line = {"text": f"log: {count} lines were dropped", "dropped": self.dropped}
            self._buffer += orjson.dumps(line) + b"\n"

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        try:
            while self._buffer:
                count = os.write(self._descriptor, self._buffer)
                del self._buffer[:count]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; the process must go on without log output.
            self._buffer.clear()


class _Destination:
    """Write lines as JSON, up to MAX_LINES_PER_S.

    Lines are flushed at intervals, since a flush for each would double its cost.
    """

    __slots__ = (
        "_flushed_at",
        "_line_count",
        "_stream",
        "_window_start",
        "held_back",
        "total_held_back",
    )

    def __init__(self, stream):
        self._stream = stream
        self._flushed_at = 0.0
        self._window_start = 0.0
        self._line_count = 0
        self.held_back = 0  # lines over the limit in the current window
        self.total_held_back = 0  # since the start

    def flush(self):
        self._stream.flush()

    def dropped(self) -> int:
        """Return how many lines were held back by the rate limit or dropped."""
        return self.total_held_back + getattr(self._stream, "dropped", 0)

    def __call__(self, message):
        timestamp = message["timestamp"]
        if timestamp - self._window_start >= 1.0 or timestamp < self._window_start:
            self._begin_window(timestamp)
        if self._line_count >= MAX_LINES_PER_S:
            self.held_back += 1
            self.total_held_back += 1
            return
        self._line_count += 1
        self._stream.write(orjson.dumps(message, default=str).decode() + "\n")
        if abs(timestamp - self._flushed_at) >= FLUSH_INTERVAL_S:
            self._flushed_at = timestamp
            self._stream.flush()

    def _begin_window(self, timestamp):
        if self.held_back:
            text = f"log: {self.held_back} lines over the rate limit were held back"
            line = {"text": text, "held_back": self.held_back, "timestamp": timestamp}
            self._stream.write(orjson.dumps(line).decode() + "\n")
        self._window_start = timestamp
        self._line_count = 0
        self.held_back = 0


# One eliot task for the whole process: without it, each line would generate a random
# task id, which takes longer than the rest of the line.
_task: eliot.Action | None = None
_destination: _Destination | None = None


def write_waiting(address: str) -> None:
    """Write that the start waits for an address, at once."""
    Log("host").write(time.monotonic(), f"the start waits, as {address} is in use")
    flush()


def flush() -> None:
    """Write out all buffered lines."""
    if _destination is not None:
        _destination.flush()


def dropped_lines() -> int:
    """Return how many log lines were not written since the start."""
    return _destination.dropped() if _destination is not None else 0


def to_stream(stream=None) -> None:
    """Write all log lines as JSON to ``stream``, by default standard error."""
    global _task, _destination
    _destination = _Destination(stream or sys.stderr)
    eliot.add_destinations(_destination)
    _task = eliot.start_task(action_type="kumquatproxy")
