"""Incremental splitting of a stream of server-sent events."""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
_END_MARKERS = (b"data: [DONE]", b"data:[DONE]")
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Buffer received bytes and split them into complete events."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    def add(self, data: bytes) -> list[tuple[bytes, str]]:
        """Return the events that are now complete, each with its id or ''."""
        self._buffer += data
        events = []
        while True:
            end = _EVENT_END.search(self._buffer)
            if end is None:
                break
            event = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            events.append((event, event_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def take_end_marker(self) -> bytes:
        """Remove and return a rest that belongs to no event, or b'' if there is none.

        It has empty lines, comments and the marker that ends some streams. Any other
        rest is part of an event that the server did not finish.
        """
        lines = self._buffer.splitlines()
        if not all(_is_ignorable(line) for line in lines):
            return b""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest


def _is_ignorable(line):
    return not line or line.startswith(b":") or bytes(line) in _END_MARKERS


def event_id(event: bytes) -> str:
    """Return the value of an event's ``id`` field, or ''."""
    match = _ID_FIELD.search(event)
    return match[1].decode("latin-1").strip() if match else ""
