"""Incremental splitting of a stream of server-sent events."""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_PARTIAL_END = len(b"\r\n\r")
_ID_FIELD = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
_END_MARKERS = (b"data: [DONE]", b"data:[DONE]")
MAX_EVENT_BYTES = 1024 * 1024
EVENT_FIELDS = frozenset((b"data", b"event", b"id", b"retry"))


class EventSplitter:
    """Buffer received bytes and split them into complete events."""

    __slots__ = ("_buffer", "_searched_bytes")

    def __init__(self):
        self._buffer = bytearray()
        self._searched_bytes = 0  # at the start of the buffer, without an event's end

    def add(self, data: bytes) -> list[tuple[bytes, str]]:
        """Return the events that are now complete, each with its id or ''."""
        self._buffer += data
        events = []
        while True:
            end = _EVENT_END.search(self._buffer, self._searched_bytes)
            if end is None:
                # The last bytes may be the first ones of an event's end.
                self._searched_bytes = max(0, len(self._buffer) - _MAX_PARTIAL_END)
                break
            self._searched_bytes = 0
            event = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            events.append((event, event_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

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
        self._searched_bytes = 0
        return rest


def count_sound(events, other_fields: frozenset[bytes] = frozenset()) -> int:
    """Return how many events there are before the first one that is none.

    An error that a server writes into its stream ends with an empty line, as an event
    does. Its lines are no fields or comments, or end in another way than those before.
    """
    for index, (event, _) in enumerate(events):
        if not _is_event(event, other_fields):
            return index
    return len(events)


def _is_event(event, other_fields):
    pair_count = event.count(b"\r\n")
    if pair_count and event.count(b"\r") + event.count(b"\n") != 2 * pair_count:
        return False
    names = {line.partition(b":")[0] for line in event.splitlines()}
    return names <= EVENT_FIELDS | other_fields | {b""}


def _is_ignorable(line):
    return not line or line.startswith(b":") or bytes(line) in _END_MARKERS


def event_id(event: bytes) -> str:
    """Return the value of an event's ``id`` field, or ''."""
    match = _ID_FIELD.search(event)
    return match[1].decode("latin-1").strip() if match else ""
