"""Messages between control hosts and entry hosts."""

from kumquatproxy import wire

ENTRY = "entry"
CONTROL = "control"


@wire.register("subscribe")
class Subscribe(wire.Message):
    """Subscribe at a control host, with the version that the subscriber has.

    Subscribers repeat this periodically; the control host sends what is newer.
    """

    __slots__ = ("address", "has_details", "kind", "session", "version")
    address: str
    has_details: bool  # whether to push all changes of backend servers
    kind: str  # ENTRY or CONTROL
    session: str  # random, changes at each start of the sender
    version: int  # configuration in force at the sender


@wire.register("control-hosts")
class ControlHosts(wire.Message):
    """Push the control hosts and the number of entry hosts."""

    __slots__ = ("entry_count", "hosts", "leader", "voters")
    entry_count: int
    hosts: list  # [host id, link address]
    leader: str  # host id, empty if unknown
    voters: list  # host ids


@wire.register("configuration-push")
class ConfigurationPush(wire.Message):
    """Push a committed configuration."""

    __slots__ = ("content", "version")
    content: bytes
    version: int


@wire.register("servers-push")
class ServersPush(wire.Message):
    """Push announcements of servers, and which lifetimes are leaving or gone."""

    __slots__ = ("alive", "marks", "servers")
    alive: list  # [instance id, born_ms] of servers with a recent heartbeat
    marks: list  # [instance id, born_ms, state]
    servers: list  # announcements in their list form


@wire.register("placement-push")
class PlacementPush(wire.Message):
    """Push the adapters, loads and unloads that the owner of orders knows of."""

    __slots__ = ("adapters_by_id", "coming", "fence", "leaving_models_by_id", "number")
    adapters_by_id: dict  # instance id: list of MODEL/ADAPTER
    coming: dict  # models being loaded: seconds until they are ready
    fence: int
    leaving_models_by_id: dict  # instance id: models to be unloaded
    number: int


@wire.register("load-push")
class LoadPush(wire.Message):
    """Push the load of each server, summed over all entry hosts."""

    __slots__ = ("loads_by_id",)
    loads_by_id: dict  # instance id: [calls in flight, prompt tokens to prefill]


@wire.register("entry-report")
class EntryReport(wire.Message):
    """Report the load and the demand of an entry host to the control group's leader."""

    __slots__ = ("loads_by_id", "needs")
    loads_by_id: dict  # instance id: [calls in flight, prompt tokens to prefill]
    needs: list  # [service, model, adapter, arrivals, engine seconds, waiting]


@wire.register("adapter-wanted")
class AdapterWanted(wire.Message):
    """Ask the owner of orders to load an adapter at a server that has its model."""

    __slots__ = ("adapter", "model", "service")
    adapter: str
    model: str
    service: str


@wire.register("adapter-ready")
class AdapterReady(wire.Message):
    """Answer an AdapterWanted with a server that has loaded the adapter."""

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
    """Answer a FleetCommand with its result or the code of an error."""

    __slots__ = ("answer", "code", "number")
    answer: wire.Message | None
    code: str  # error kind, empty on success
    number: int
