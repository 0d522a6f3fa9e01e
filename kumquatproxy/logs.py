"""Eliot log lines: a short sentence with the fixed prefix of its part."""

import sys

import eliot
import orjson

REPEAT_WINDOW_S = 1.0
FLUSH_INTERVAL_S = 0.2


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


class _Destination:
    """Write lines as JSON; a flush for each line would double its cost."""

    __slots__ = ("_flushed_at", "_stream")

    def __init__(self, stream):
        self._stream = stream
        self._flushed_at = 0.0

    def flush(self):
        self._stream.flush()

    def __call__(self, message):
        self._stream.write(orjson.dumps(message, default=str).decode() + "\n")
        if message["timestamp"] - self._flushed_at >= FLUSH_INTERVAL_S:
            self._flushed_at = message["timestamp"]
            self._stream.flush()


# One eliot task for the process: lines without a task of their own would each
# draw a random task id, which takes longer than the rest of the line.
_task: eliot.Action | None = None
_destination: _Destination | None = None


def flush() -> None:
    """Write out the lines that are still held."""
    if _destination is not None:
        _destination.flush()


def to_stream(stream=None) -> None:
    """Send all log lines as JSON to ``stream``, by default standard error."""
    global _task, _destination
    _destination = _Destination(stream or sys.stderr)
    eliot.add_destinations(_destination)
    _task = eliot.start_task(action_type="kumquatproxy")
