"""Parse the ``model`` field of a call: ``MODEL[@VERSION][+ADAPTER]``."""

import re

from kumquatproxy import errors, records

MAX_NAME_LENGTH = 200  # characters

_PATTERN = re.compile(
    r"(?P<model>[A-Za-z0-9][\w.\-/]*)"
    r"(?:@(?P<version>[\w.\-]+))?"
    r"(?:\+(?P<adapter>[A-Za-z0-9][\w.\-/]*))?"
)


class ModelName(records.Record):
    """The parts of a ``model`` field; absent parts are empty strings."""

    __slots__ = ("adapter", "model", "version")

    def __init__(self, model, version="", adapter=""):
        self.model: str = model
        self.version: str = version
        self.adapter: str = adapter


def parse(text: str) -> ModelName:
    """Split a ``model`` field; raise ProxyError if it is malformed."""
    match = None
    if isinstance(text, str) and len(text) <= MAX_NAME_LENGTH:
        match = _PATTERN.fullmatch(text)
    if match is None:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_REQUEST,
            f"model {str(text)[:MAX_NAME_LENGTH]!r} is not of the form "
            "MODEL[@VERSION][+ADAPTER]",
        )
    return ModelName(match["model"], match["version"] or "", match["adapter"] or "")
