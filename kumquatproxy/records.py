"""Record classes that several modules share."""


class Record:
    """Provide equality, hash and repr by the fields of a slotted class."""

    __slots__: tuple[str, ...] = ()

    @classmethod
    def _fields(cls) -> tuple[str, ...]:
        return cls.__slots__

    def _values(self) -> tuple:
        return tuple(getattr(self, name) for name in self._fields())

    def __eq__(self, other):
        return type(self) is type(other) and self._values() == other._values()

    def __hash__(self):
        return hash((type(self), self._values()))

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self._fields())
        return f"{type(self).__name__}({fields})"


class Item(Record):
    """Identify a model or adapter version that a backend server can load."""

    __slots__ = ("kind", "name", "version")

    def __init__(self, kind, name, version):
        self.kind: str = kind  # "model" or "adapter"
        self.name: str = name
        self.version: str = version

    # Written out for speed: items are the keys of the routing table, so every
    # request hashes and compares them.
    def __eq__(self, other):
        if self is other:
            return True
        return (
            type(other) is Item
            and self.name == other.name
            and self.version == other.version
            and self.kind == other.kind
        )

    def __hash__(self):
        return hash((self.kind, self.name, self.version))

    def key(self) -> str:
        """Return the wire format ``kind:name@version``."""
        return f"{self.kind}:{self.name}@{self.version}"


def parse_item(key: str) -> Item:
    """Return the item for a key made by ``Item.key``."""
    kind, _, rest = key.partition(":")
    name, _, version = rest.rpartition("@")
    return Item(kind, name, version)


class BackendServer(Record):
    """Hold what a backend server announces about itself."""

    __slots__ = (
        "accelerators",
        "address",
        "backend_id",
        "checks_fencing",
        "data_centre",
        "incarnation",
        "kind",
        "leaving",
        "memory_mb",
        "service",
    )

    def __init__(
        self,
        backend_id,
        address,
        data_centre,
        kind,
        service,
        incarnation,
        memory_mb=0,
        accelerators=0,
        checks_fencing=False,
        leaving=False,
    ):
        self.backend_id: str = backend_id
        self.address: str = address  # "IP:port"
        self.data_centre: str = data_centre
        self.kind: str = kind  # "engine" or "plain"
        self.service: str = service
        self.incarnation: int = incarnation
        self.memory_mb: int = memory_mb
        self.accelerators: int = accelerators
        self.checks_fencing: bool = checks_fencing
        self.leaving: bool = leaving


class LoadReport(Record):
    """Hold one load report of a backend server."""

    __slots__ = (
        "backend_id",
        "fence_seen",
        "incarnation",
        "kv_used",
        "loaded",
        "orders_seen",
        "running",
        "sent_at",
        "sequence",
        "waiting",
    )

    def __init__(
        self,
        backend_id,
        incarnation,
        sequence,
        running=0,
        waiting=0,
        kv_used=0.0,
        loaded=(),
        fence_seen=0,
        orders_seen=(),
        sent_at=0.0,
    ):
        self.backend_id: str = backend_id
        self.incarnation: int = incarnation
        self.sequence: int = sequence
        self.running: int = running
        self.waiting: int = waiting
        self.kv_used: float = kv_used  # used fraction of the KV cache, 0 to 1
        self.loaded: tuple[Item, ...] = tuple(loaded)
        self.fence_seen: int = fence_seen
        self.orders_seen: tuple[str, ...] = tuple(orders_seen)
        self.sent_at: float = sent_at


class Order(Record):
    """Instruct a backend server to load or unload one item."""

    __slots__ = (
        "action",
        "backend_id",
        "expires_at",
        "fence",
        "item",
        "memory_mb",
        "order_id",
    )

    def __init__(
        self, order_id, fence, backend_id, action, item, memory_mb, expires_at
    ):
        self.order_id: str = order_id
        self.fence: int = fence
        self.backend_id: str = backend_id
        self.action: str = action  # "load" or "unload"
        self.item: Item = item
        self.memory_mb: int = memory_mb
        self.expires_at: float = expires_at  # seconds on the placement owner's clock


class CallRequest(Record):
    """Hold the properties of a call that routing and admission use."""

    __slots__ = (
        "adapter",
        "arrived_at",
        "deadline",
        "idempotent",
        "is_forwarded",
        "key",
        "max_tokens",
        "model",
        "organisation",
        "prefix_digests",
        "priority",
        "prompt_tokens",
        "request_id",
        "service",
        "version",
    )

    def __init__(
        self,
        request_id,
        organisation,
        service,
        model="",
        adapter="",
        version="",
        priority=5,
        deadline=0.0,
        idempotent=True,
        key="",
        prompt_tokens=0,
        max_tokens=0,
        prefix_digests=(),
        arrived_at=0.0,
        is_forwarded=False,
    ):
        self.request_id: str = request_id
        self.organisation: str = organisation
        self.service: str = service
        self.model: str = model
        self.adapter: str = adapter
        self.version: str = version
        self.priority: int = priority  # 1 (lowest) to 9 (highest)
        self.deadline: float = deadline  # seconds, same clock as ``now``
        self.idempotent: bool = idempotent
        self.is_forwarded: bool = (
            is_forwarded  # by an entry host of another data centre
        )
        self.key: str = key
        self.prompt_tokens: int = prompt_tokens
        self.max_tokens: int = max_tokens
        self.prefix_digests: tuple[str, ...] = tuple(prefix_digests)
        self.arrived_at: float = arrived_at
