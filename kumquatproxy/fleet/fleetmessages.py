"""Messages between control hosts and entry hosts."""

from kumquatproxy import wire

ENTRY = "entry"
CONTROL = "control"
# Ends the session of a subscriber that knows SharedFacts. Hosts of earlier builds only
# compare sessions, and would close the link on the message.
FACTS_SUFFIX = "+facts"


@wire.register("subscribe")
class Subscribe(wire.Message):
    """Subscribe at a control host, with the version that the subscriber has.

    Subscribers repeat this periodically; the control host sends what is newer.
    """

    __slots__ = ("address", "has_details", "kind", "session", "version")
    address: str
    has_details: bool  # whether to push all changes of backend servers
    kind: str  # ENTRY or CONTROL
    session: str  # random, changes at each start of the sender; see FACTS_SUFFIX
    version: int  # configuration in force at the sender, or serviceconfig.NO_VERSION


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
    """Push a committed configuration.

    A control host of an earlier build that has none pushes empty content.
    """

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


@wire.register("stream-begun")
class StreamBegun(wire.Message):
    """Report the origin of a stream to a control host, before its first event."""

    __slots__ = ("kept_s", "service", "software_version", "stream_id")
    kept_s: float  # how long the stream may be resumed
    service: str
    software_version: str
    stream_id: str  # request id of the call that began it


@wire.register("stream-query")
class StreamQuery(wire.Message):
    """Ask a control host for the origin of a stream, and for the versions it has seen.

    The versions decide if nobody knows the stream.
    """

    __slots__ = ("services", "stream_id", "window_s")
    services: list  # of the route
    stream_id: str  # empty if the caller names none
    window_s: float  # time in which the stream may have begun


@wire.register("stream-query-answer")
class StreamQueryAnswer(wire.Message):
    """Answer a StreamQuery."""

    __slots__ = (
        "is_complete",
        "is_known",
        "service",
        "services",
        "software_version",
        "stream_id",
        "versions",
    )
    is_complete: bool  # whether ``versions`` covers the window
    is_known: bool
    service: str  # empty if unknown, as is the version
    services: list  # as in the query
    software_version: str
    stream_id: str
    versions: list  # of the services, seen in the window


@wire.register("shared-facts")
class SharedFacts(wire.Message):
    """Tell another host of short-lived facts; the first message may have none.

    It tells the receiver that the sender knows this message.
    """

    __slots__ = ("facts",)
    facts: list  # sharedfacts.Fact in their list form


@wire.register("turn-wanted")
class TurnWanted(wire.Message):
    """Ask the leader of the control group for a turn at a server with a limit."""

    __slots__ = ("key", "max_wait_s", "number", "rate")
    key: str  # of the server's lifetime, as in facts
    max_wait_s: float  # the turn may be that much later
    number: int
    rate: float  # requests a second, as the asking host knows


@wire.register("turn-answer")
class TurnAnswer(wire.Message):
    """Answer a TurnWanted."""

    __slots__ = ("is_given", "is_leader", "number", "wait_s")
    is_given: bool
    is_leader: bool  # False at a host that cannot give turns
    number: int
    wait_s: float  # until the turn, or until one is free


@wire.register("allotment-wanted")
class AllotmentWanted(wire.Message):
    """Ask the leader of the control group for parts of the teams' usage caps."""

    __slots__ = ("calls", "leases", "number", "returned", "version")
    calls: list  # [team, amount] of calls that wait
    leases: list  # usagecaps.LeaseRequest in their list form
    number: int
    returned: list  # [team, amount] that was given to calls that did not run
    version: int  # configuration in force at the sender, or serviceconfig.NO_VERSION


@wire.register("allotment-answer")
class AllotmentAnswer(wire.Message):
    """Answer an AllotmentWanted."""

    __slots__ = ("calls", "is_giver", "leader", "leases", "number", "version")
    calls: list  # [is given, seconds until there is room, is final], as asked
    # False at a host that is not certain to lead; the calls are then decided by a
    # delegate, or empty.
    is_giver: bool
    leader: str  # host id as the sender knows, empty if unknown
    leases: list  # [team, number, rate, capacity]
    number: int
    version: int  # configuration in force at the sender, or serviceconfig.NO_VERSION


@wire.register("parts-wanted")
class PartsWanted(wire.Message):
    """Ask the leader of the control group for the leases of a delegate."""

    __slots__ = ("data_centre", "number", "parts")
    data_centre: str  # of the sender
    number: int
    parts: list  # usagecaps.PartRequest in their list form


@wire.register("parts-answer")
class PartsAnswer(wire.Message):
    """Answer a PartsWanted."""

    __slots__ = ("is_giver", "leases", "number")
    is_giver: bool  # False at a host that is not certain to lead
    leases: list  # [team, number, rate, capacity]
    number: int


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
