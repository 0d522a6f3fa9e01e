"""Eliot log lines: a short sentence with the fixed prefix of its part."""

import os
import sys

import eliot
import orjson

REPEAT_WINDOW_S = 1.0
FLUSH_INTERVAL_S = 0.2
# Lines of one process in a second; ten times the usual load of an entry host.
MAX_LINES_PER_S = 200
# About 500 lines that wait for a slow reader.
MAX_BUFFERED_BYTES = 128 * 1024


class RepeatLimiter:
    """Pass one line of a kind in a window and count the ones held back."""

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
    """Write the lines of one part of the system."""

    __slots__ = ("_limiter", "_prefix")

    def __init__(self, prefix):
        self._prefix: str = prefix
        self._limiter = RepeatLimiter()

    def write(self, now: float, sentence: str, **fields) -> None:
        """Write one line, such as the one each decision has."""
        if _task is not None:
            _task.log(self._prefix, text=f"{self._prefix}: {sentence}", **fields)

    def write_limited(self, now: float, kind: str, sentence: str, **fields) -> None:
        """Write a line that may repeat, at most once a second for each kind."""
        if _task is not None and self._limiter.passes(kind, now):
            self.write(now, sentence, kind=kind, **fields)


class BoundedStream:
    """Write to a descriptor without ever waiting for its reader.

    What the reader does not take is kept up to a bound; lines beyond it are dropped
    and counted, and a line tells the count as soon as there is room again.
    """

    __slots__ = ("_buffer", "_descriptor", "_max_bytes", "dropped", "told")

    def __init__(self, descriptor: int, max_bytes: int = MAX_BUFFERED_BYTES):
        os.set_blocking(descriptor, False)
        self._descriptor: int = descriptor
        self._max_bytes: int = max_bytes
        self._buffer = bytearray()
        self.dropped = 0  # lines so far
        self.told = 0  # dropped lines that a line has told of

    def write(self, text: str) -> None:
        """Keep a line for the reader, or drop and count it."""
        data = text.encode()
        if len(self._buffer) + len(data) > self._max_bytes:
            self.flush()
        if len(self._buffer) + len(data) > self._max_bytes:
            self.dropped += 1
            return
        self._tell_dropped()
        self._buffer += data

    def _tell_dropped(self):
        count = self.dropped - self.told
        if count and len(self._buffer) < self._max_bytes // 2:
            self.told = self.dropped
            line = {"text": f"log: {count} lines were dropped", "dropped": self.dropped}
            self._buffer += orjson.dumps(line) + b"\n"

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            while self._buffer:
                count = os.write(self._descriptor, self._buffer)
                del self._buffer[:count]
        except BlockingIOError:
            return
        except OSError:
            # Without a reader nothing can be told; the process must go on.
            self._buffer.clear()


class _Destination:
    """Write lines as JSON, up to a rate; a flush for each would double its cost."""

    __slots__ = (
        "_flushed_at",
        "_lines",
        "_stream",
        "_window_start",
        "all_held_back",
        "held_back",
    )

    def __init__(self, stream):
        self._stream = stream
        self._flushed_at = 0.0
        self._window_start = 0.0
        self._lines = 0
        self.held_back = 0  # lines over the rate in the present window
        self.all_held_back = 0  # since the start

    def flush(self):
        self._stream.flush()

    def dropped(self) -> int:
        """Return the lines held back or not taken by the reader."""
        return self.all_held_back + getattr(self._stream, "dropped", 0)

    def __call__(self, message):
        timestamp = message["timestamp"]
        if timestamp - self._window_start >= 1.0 or timestamp < self._window_start:
            self._begin_window(timestamp)
        if self._lines >= MAX_LINES_PER_S:
            self.held_back += 1
            self.all_held_back += 1
            return
        self._lines += 1
        self._stream.write(orjson.dumps(message, default=str).decode() + "\n")
        if abs(timestamp - self._flushed_at) >= FLUSH_INTERVAL_S:
            self._flushed_at = timestamp
            self._stream.flush()

    def _begin_window(self, timestamp):
        if self.held_back:
            text = f"log: {self.held_back} lines over the rate were held back"
            line = {"text": text, "held_back": self.held_back, "timestamp": timestamp}
            self._stream.write(orjson.dumps(line).decode() + "\n")
        self._window_start = timestamp
        self._lines = 0
        self.held_back = 0


# One eliot task for the process: lines without a task of their own would each
# draw a random task id, which takes longer than the rest of the line.
_task: eliot.Action | None = None
_destination: _Destination | None = None


def flush() -> None:
    """Write out the lines that are still held."""
    if _destination is not None:
        _destination.flush()


def dropped_lines() -> int:
    """Return the lines since the start that nobody can read."""
    return _destination.dropped() if _destination is not None else 0


def to_stream(stream=None) -> None:
    """Send all log lines as JSON to ``stream``, by default standard error."""
    global _task, _destination
    _destination = _Destination(stream or sys.stderr)
    eliot.add_destinations(_destination)
    _task = eliot.start_task(action_type="kumquatproxy")
