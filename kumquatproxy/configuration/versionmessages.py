"""Messages that transfer configuration versions, and notifications within a host.

The field ``packed`` is the short digest of the compressed content. Chunks with the same
value belong together, whichever host sent them.
"""

from kumquatproxy import records, wire


@wire.register("version-push")
class VersionPush(wire.Message):
    """Offer a version; ``root`` is the root of the tree of offers, or empty."""

    __slots__ = ("chunks", "digest", "number", "packed", "root")
    chunks: int
    digest: bytes
    number: int
    packed: bytes
    root: str


@wire.register("version-pull")
class VersionPull(wire.Message):
    """Request chunks of the content ``packed``.

    A host that has other content offers its version instead, unless that is older than
    ``number``.
    """

    __slots__ = ("chunks", "number", "packed")
    chunks: list
    number: int
    packed: bytes


@wire.register("version-chunk")
class VersionChunk(wire.Message):
    """Send one chunk of the compressed content of a version."""

    __slots__ = ("data", "index", "number", "packed")
    data: bytes
    index: int
    number: int
    packed: bytes


@wire.register("version-have")
class VersionHave(wire.Message):
    """Tell the sender of an offer which version the receiver has."""

    __slots__ = ("number",)
    number: int


class Adopted(records.Record):
    """Notify the other parts of the host that a version is now in force."""

    __slots__ = ("content", "digest", "number", "source")

    def __init__(self, number, digest, content, source):
        self.number: int = number
        self.digest: bytes = digest
        self.content: bytes = content
        self.source: str = source  # the host that sent it


class Refused(records.Record):
    """Notify that a version from a host was refused; ``detail`` is for the log.

    The version may have been transferred, offered or named in a probe.
    """

    __slots__ = ("detail", "host_id", "number")

    def __init__(self, number, host_id, detail):
        self.number: int = number
        self.host_id: str = host_id
        self.detail: str = detail
