"""Messages of the exchange by data centre; see docs/design/exchange.md.

Only hosts that have asked for the exchange, or have answered that they know it, get
these messages: hosts of earlier builds would close the link.
"""

import zlib

from kumquatproxy import wire
from kumquatproxy.fleet import fleetmessages

# Part of the session of an entry host that asks for the exchange.
REGION_SUFFIX = "+region" + fleetmessages.FACTS_SUFFIX

# Bits of Renewal.flags.
DETAILS = 1  # wants all changes of backend servers
DIRECT = 2  # gets loads and placement from the leader itself
HANDED_ON = 4  # gets loads and placement from the receiver
STANDBY = 8  # gets changes of servers from another control host as well


def is_regional(session: str) -> bool:
    """Return whether the session is that of a host that asks for the exchange."""
    return session.endswith(REGION_SUFFIX)


def session_number(session: str) -> int:
    """Return the short form of a session."""
    return zlib.crc32(session.encode())


@wire.register("region-greeting")
class RegionGreeting(wire.Message):
    """Tell a new subscriber that this control host knows the exchange."""

    __slots__ = ("data_centre",)
    data_centre: str


@wire.register("renewal")
class Renewal(wire.Message):
    """Renew a subscription, in fewer bytes than a Subscribe."""

    __slots__ = ("flags", "session", "version")
    flags: int
    session: int  # session_number of the subscription
    version: int  # configuration in force at the sender, or serviceconfig.NO_VERSION


@wire.register("subscribe-wanted")
class SubscribeWanted(wire.Message):
    """Answer a Renewal of a subscription that is unknown here."""

    __slots__ = ()


@wire.register("control-alive")
class ControlAlive(wire.Message):
    """Repeat what changes often of a ControlHosts message."""

    __slots__ = ("current", "entries", "leader")
    current: bool  # whether the sender is in touch with most voters
    entries: int
    leader: str  # host id, empty if unknown


@wire.register("version-notice")
class VersionNotice(wire.Message):
    """Tell of a committed configuration that other control hosts push."""

    __slots__ = ("version",)
    version: int


@wire.register("hand-on")
class HandOn(wire.Message):
    """Ask a control host of the data centre to exchange reports and loads."""

    __slots__ = ("hosts",)
    hosts: list  # ids of the control hosts that know the exchange


@wire.register("host-report")
class HostReport(wire.Message):
    """Report the load and the demand of an entry host, to be summed."""

    __slots__ = ("loads_by_id", "needs")
    loads_by_id: dict  # as in an EntryReport, as are the needs
    needs: list


@wire.register("region-report")
class RegionReport(wire.Message):
    """Report the sums over the entry hosts of one data centre to the leader."""

    __slots__ = ("changes", "needs", "number", "run", "whole")
    changes: dict  # instance id: [calls, tokens]; [0, 0] removes an entry
    needs: list
    number: int  # rises with each report
    run: int  # session of the sender
    whole: bool  # whether ``changes`` holds all entries


@wire.register("total-loads")
class TotalLoads(wire.Message):
    """Push the sum over all entry hosts to a host that hands it on."""

    __slots__ = ("changes", "number", "reports", "run", "whole")
    changes: dict
    number: int
    reports: dict  # host id: number of its last RegionReport in the sum
    run: int
    whole: bool


@wire.register("handed-loads")
class HandedLoads(wire.Message):
    """Hand on the sum over all entry hosts."""

    __slots__ = ("age_s", "changes", "number", "run", "whole")
    age_s: float  # since the reports of this data centre that are part of the sum
    changes: dict
    number: int
    run: int
    whole: bool


@wire.register("placement-change")
class PlacementChange(wire.Message):
    """Push what changed since another placement; the fields are as in PlacementPush."""

    __slots__ = ("adapters", "base", "coming", "fence", "leaving", "number")
    adapters: dict  # of the servers with changes; an empty list removes one
    base: int  # number of the placement before, 0 if all servers are named
    coming: dict
    fence: int
    leaving: dict
    number: int


@wire.register("placement-wanted")
class PlacementWanted(wire.Message):
    """Ask for the whole placement, as a change was missed."""

    __slots__ = ()
