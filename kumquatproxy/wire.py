"""Typed messages and their CBOR encoding, limited in size and nesting depth."""

import cbor2

from kumquatproxy import errors, records

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 256 * 1024
MAX_DEPTH = 16

TAG_KEY = "t"
_CONTAINERS = frozenset((list, dict))
_ENCODED_KEY = cbor2.dumps(TAG_KEY)
_TEXT = 0x60  # first byte of an empty text in CBOR
_ONE_BYTE_LENGTH = 24  # the length is in the next byte

_messages_by_tag: dict[str, type["Message"]] = {}


class Message(records.Record):
    """Base class of messages between hosts; the slots of a subclass are its fields."""

    __slots__ = ()
    tag = ""

    def __init__(self, *values, **values_by_name):
        names = self._fields()
        if len(values) > len(names):
            raise TypeError(f"{type(self).__name__} takes {len(names)} fields")
        given = dict(zip(names, values), **values_by_name) if values else values_by_name
        if len(given) != len(names):
            raise TypeError(f"{type(self).__name__} needs the fields {names}")
        try:
            for name in names:
                setattr(self, name, given[name])
        except KeyError:
            raise TypeError(f"{type(self).__name__} needs the fields {names}") from None

    def to_map(self) -> dict:
        """Return the message as a tagged dictionary of CBOR values."""
        fields = {name: _to_plain(getattr(self, name)) for name in self._fields()}
        return {TAG_KEY: self.tag, **fields}


class Send(records.Record):
    """Request that a message be sent to a host."""

    __slots__ = ("message", "to")

    def __init__(self, to, message):
        self.to: str = to
        self.message: Message = message


def register(tag: str):
    """Return a decorator that registers a message class under its wire tag."""

    def add(cls):
        if tag in _messages_by_tag:
            raise ValueError(f"message tag {tag!r} is registered twice")
        cls.tag = tag
        _messages_by_tag[tag] = cls
        return cls

    return add


def encode(message: Message) -> bytes:
    """Return the CBOR encoding; raise ProxyError above MAX_FRAME_BYTES."""
    data = cbor2.dumps(message, default=_encode_message)
    if len(data) > MAX_FRAME_BYTES:
        raise errors.ProxyError(
            errors.ErrorKind.PROTOCOL_ERROR,
            f"message {message.tag!r} takes {len(data)} bytes, more than the limit of "
            f"{MAX_FRAME_BYTES}",
        )
    return data


def _encode_message(encoder, message):
    if not isinstance(message, Message):
        raise TypeError(f"{type(message).__name__} cannot be encoded")
    fields = {name: getattr(message, name) for name in message._fields()}
    encoder.encode({TAG_KEY: message.tag, **fields})


def encoded_size(value) -> int:
    """Return the number of bytes that a field or a part of one takes in a frame."""
    return len(cbor2.dumps(value))


def encoded_tag(data: bytes) -> str:
    """Return the tag of an encoded message, empty for other data.

    The tag is the first value of the map.
    """
    if data[1:3] != _ENCODED_KEY or len(data) < 5:
        return ""
    start, length = 4, data[3] - _TEXT
    if length == _ONE_BYTE_LENGTH:
        start, length = 5, data[4]
    return data[start : start + length].decode()


def decode(data: bytes) -> Message:
    """Return the decoded message; raise ProxyError if the data is malformed."""
    if len(data) > MAX_FRAME_BYTES:
        raise _malformed(
            f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, RecursionError) as error:
        raise _malformed(f"not CBOR: {error}") from None
    if not isinstance(plain, dict) or TAG_KEY not in plain:
        raise _malformed("the frame is not a tagged map")
    return from_plain(plain, 0)


def from_plain(plain, depth: int):
    """Return decoded CBOR data with all tagged maps converted to messages, in place."""
    if depth > MAX_DEPTH:
        raise _malformed(f"nested deeper than {MAX_DEPTH} levels")
    if isinstance(plain, list):
        if depth >= MAX_DEPTH and plain:
            raise _malformed(f"nested deeper than {MAX_DEPTH} levels")
        # Most values are no containers, and a call for each takes long.
        for index, value in enumerate(plain):
            if type(value) in _CONTAINERS:
                plain[index] = from_plain(value, depth + 1)
        return plain
    if not isinstance(plain, dict) or TAG_KEY not in plain:
        return plain
    cls = _messages_by_tag.get(str(plain[TAG_KEY]))
    if cls is None:
        raise _malformed(f"unknown message tag {str(plain[TAG_KEY])[:40]!r}")
    names = cls._fields()
    if len(plain) != len(names) + 1 or not all(map(plain.__contains__, names)):
        raise _malformed(
            f"message {cls.tag!r} does not have exactly the fields {names}"
        )
    if depth >= MAX_DEPTH and names:
        raise _malformed(f"nested deeper than {MAX_DEPTH} levels")
    message = cls.__new__(cls)
    for name in names:
        value = plain[name]
        if type(value) in _CONTAINERS:
            value = from_plain(value, depth + 1)
        setattr(message, name, value)
    return message


def _to_plain(value):
    if isinstance(value, Message):
        return value.to_map()
    if isinstance(value, list | tuple):
        return [_to_plain(part) for part in value]
    return value


def _malformed(detail):
    return errors.ProxyError(errors.ErrorKind.PROTOCOL_ERROR, detail)
