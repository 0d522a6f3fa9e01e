"""Cutting a stream of server-sent events into whole events with their ids."""

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Collect bytes until an event is whole; a server may stop in the middle of one."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    def add(self, data: bytes) -> list[tuple[bytes, str]]:
        """Return the events that are whole now, each with its id or ''."""
        self._buffer += data
        events = []
        while True:
            end = _END.search(self._buffer)
            if end is None:
                break
            event = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            events.append((event, event_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def has_rest(self) -> bool:
        """Return whether an event has begun and is not whole."""
        return bool(self._buffer)


def event_id(event: bytes) -> str:
    """Return the id of an event, or ''."""
    found = _ID.search(event)
    return found[1].decode("latin-1").strip() if found else ""
