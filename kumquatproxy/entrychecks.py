"""Checks of what servers and other hosts say, made before any of it is kept.

An entry that fails a check is dropped whole, because other code relies on the types
and bounds here, also when it puts an entry into a message.
"""

import functools
import ipaddress
import math
import re

MAX_TEXT_LENGTH = 200
MAX_ITEMS = 1000  # models or adapters of one server
MAX_INTEGER = 2**63 - 1
# Ids become values of headers.
_ID = re.compile(r"[\x21-\x7e]{1,200}")
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
# Each announcement repeats the address of its server.
MAX_CACHED_ADDRESSES = 8192


def is_text(value) -> bool:
    """Return whether a value is a text of a common length."""
    return isinstance(value, str) and len(value) <= MAX_TEXT_LENGTH


def is_integer(value) -> bool:
    """Return whether a value is a whole number of 0 or more."""
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_INTEGER


def is_duration(value) -> bool:
    """Return whether a value is a finite number of 0 or more."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_INTEGER and math.isfinite(value)


def is_instance_id(value) -> bool:
    """Return whether a value can be the id of a server."""
    return isinstance(value, str) and _ID.fullmatch(value) is not None


def is_names(value) -> bool:
    """Return whether a value is a list of texts."""
    is_short = isinstance(value, list) and len(value) <= MAX_ITEMS
    return is_short and all(map(is_text, value))


def is_models(value) -> bool:
    """Return whether a value is a list of [name, version, adapters]."""
    is_short = isinstance(value, list) and len(value) <= MAX_ITEMS
    return is_short and all(map(_is_model, value))


def _is_model(value):
    if not isinstance(value, list) or len(value) != 3:
        return False
    name, version, adapters = value
    return is_text(name) and is_integer(version) and is_names(adapters)


def is_address(value) -> bool:
    """Return whether a value is an address that can be connected to, ``IP:port``."""
    return is_text(value) and _is_address(value)


@functools.lru_cache(MAX_CACHED_ADDRESSES)
def _is_address(text):
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return _PORT.fullmatch(port) is not None and 0 < int(port) <= MAX_PORT


def faults(checks_by_field: dict, values: dict) -> list[str]:
    """Return the names of the fields whose values fail their checks."""
    return [
        name for name, check in checks_by_field.items() if not check(values.get(name))
    ]
