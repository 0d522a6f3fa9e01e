"""Messages that carry versions of the configuration between hosts."""

from kumquatproxy import records, wire


@wire.register("version-push")
class VersionPush(wire.Message):
    """Offer a version; ``packed`` names its compressed form, ``root`` the sender."""

    __slots__ = ("chunks", "digest", "number", "packed", "root")
    chunks: int
    digest: bytes
    number: int
    packed: bytes
    root: str


@wire.register("version-pull")
class VersionPull(wire.Message):
    """Ask for chunks of a version; without ``packed``, for an offer of the newest."""

    __slots__ = ("chunks", "number", "packed")
    chunks: list
    number: int
    packed: bytes


@wire.register("version-chunk")
class VersionChunk(wire.Message):
    """Carry one chunk of the compressed form of a version."""

    __slots__ = ("data", "index", "number", "packed")
    data: bytes
    index: int
    number: int
    packed: bytes


@wire.register("version-have")
class VersionHave(wire.Message):
    """Tell the sender of an offer which version this host has."""

    __slots__ = ("number",)
    number: int


class Adopted(records.Record):
    """Tell the host's other parts that a version is now in force here."""

    __slots__ = ("content", "digest", "number", "source")

    def __init__(self, number, digest, content, source):
        self.number: int = number
        self.digest: bytes = digest
        self.content: bytes = content
        self.source: str = source  # the host that it came from


class Refused(records.Record):
    """Tell that a version from a host was refused, with a sentence for the log."""

    __slots__ = ("detail", "host_id", "number")

    def __init__(self, number, host_id, detail):
        self.number: int = number
        self.host_id: str = host_id
        self.detail: str = detail
