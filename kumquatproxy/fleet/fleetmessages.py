"""Messages between control hosts and entry hosts."""

from kumquatproxy import wire

ENTRY = "entry"
CONTROL = "control"


@wire.register("subscribe")
class Subscribe(wire.Message):
    """Ask a control host for all that it knows, and tell what the sender has.

    An entry host repeats this; a control host sends what is newer.
    """

    __slots__ = ("address", "has_details", "kind", "session", "version")
    address: str
    has_details: bool  # the sender wants all news of backend servers from here
    kind: str  # ENTRY or CONTROL
    session: str  # drawn at each start of the sender
    version: int  # configuration in force at the sender


@wire.register("control-hosts")
class ControlHosts(wire.Message):
    """Name the control hosts and how many entry hosts there are."""

    __slots__ = ("entry_count", "hosts", "leader", "voters")
    entry_count: int
    hosts: list  # [host id, link address]
    leader: str  # host id, empty if unknown
    voters: list  # host ids


@wire.register("configuration-push")
class ConfigurationPush(wire.Message):
    """Bring a committed configuration."""

    __slots__ = ("content", "version")
    content: bytes
    version: int


@wire.register("servers-push")
class ServersPush(wire.Message):
    """Bring announcements of backend servers and their final states."""

    __slots__ = ("alive", "marks", "servers")
    alive: list  # [id, birth] of servers heard within the last seconds
    marks: list  # [id, birth, state]
    servers: list  # plain announcements


@wire.register("placement-push")
class PlacementPush(wire.Message):
    """Tell what the owner of the orders has loaded and is about to change."""

    __slots__ = ("adapters_by_id", "coming", "fence", "leaving_models_by_id", "number")
    adapters_by_id: dict  # instance id: list of MODEL/ADAPTER
    coming: dict  # model: seconds until it is there
    fence: int
    leaving_models_by_id: dict  # instance id: models about to be unloaded
    number: int


@wire.register("load-push")
class LoadPush(wire.Message):
    """Tell what the calls of all entry hosts make up together."""

    __slots__ = ("loads_by_id",)
    loads_by_id: dict  # instance id: [calls, prompt tokens not yet read]


@wire.register("entry-report")
class EntryReport(wire.Message):
    """Tell the control hosts what an entry host sends and waits for."""

    __slots__ = ("loads_by_id", "needs")
    loads_by_id: dict  # instance id: [calls in flight, prompt tokens not yet read]
    needs: list  # [service, model, adapter, arrivals, engine seconds, waiting]


@wire.register("adapter-wanted")
class AdapterWanted(wire.Message):
    """Ask the owner to make an adapter ready at a server that has its model."""

    __slots__ = ("adapter", "model", "service")
    adapter: str
    model: str
    service: str


@wire.register("adapter-ready")
class AdapterReady(wire.Message):
    """Answer an AdapterWanted with a server that has the adapter now."""

    __slots__ = ("instance_id", "key")
    instance_id: str
    key: str  # MODEL/ADAPTER


@wire.register("fleet-command")
class FleetCommand(wire.Message):
    """Ask the leader to commit a command of the control group."""

    __slots__ = ("command", "number")
    command: wire.Message
    number: int


@wire.register("fleet-command-answer")
class FleetCommandAnswer(wire.Message):
    """Answer a FleetCommand: the result, or the code of an error."""

    __slots__ = ("answer", "code", "number")
    answer: wire.Message | None
    code: str  # error kind, empty with an answer
    number: int
