"""Forwarding of calls from a host that reaches no server to one that does.

A host that is cut off from the servers of a service says so in a shared fact. Some of
the other hosts that reach the service offer to take its calls, also in a fact. A
forwarded call is one attempt: it may run at one server, and is not forwarded again.
"""

import hashlib
import hmac
import re
import zlib

from kumquatproxy import errors
from kumquatproxy.fleet import servers, serviceconfig
from kumquatproxy.gateway import calls, framing, sharedfacts

CUT_HOST = "cut-host"
FORWARDER = "forwarder"

# Facts are renewed at this interval while they hold, and end soon after.
RENEWAL_INTERVAL_S = 1.0
KEPT_S = 4.0
# Number of hosts that offer to take the calls of a host, on average.
FORWARDERS_PER_HOST = 16
# Time for which calls wait for a host that takes them.
MAX_WAIT_S = 0.4
RETRY_AFTER_S = 0.3

# Headers between hosts.
KEY = b"x-kumquatproxy-key"
CALLER = b"x-kumquatproxy-caller"
SERVICE = b"x-kumquatproxy-service"
STREAM = b"x-kumquatproxy-stream"
TEAM = b"x-kumquatproxy-team"  # only of a call that has one
VERSION = b"x-kumquatproxy-version"  # of the sender's configuration
HEADERS = frozenset((KEY, CALLER, SERVICE, STREAM, TEAM, VERSION))

_VERSION = re.compile(r"-?[0-9]{1,19}")

# Refusals after which another host may take the call.
LOCAL_REFUSALS = frozenset(
    (
        errors.ErrorKind.HOST_CUT_OFF,
        errors.ErrorKind.MEMORY_FULL,
        errors.ErrorKind.NOT_FOUND,
        errors.ErrorKind.NOT_READY,
        errors.ErrorKind.STOPPING,
        errors.ErrorKind.UNAUTHENTICATED,
    )
)


@sharedfacts.FACT_KINDS.register(CUT_HOST)
class CutHosts(sharedfacts.FactKind):
    """Facts about an entry host; the value has the services that it is cut off from."""

    max_count = 400
    max_kept_s = KEPT_S
    is_renewed = True

    def merge(self, known, new):
        """Return the newer fact."""
        is_changed = new.value != known.value and new.observed_at > known.observed_at
        return new if is_changed else super().merge(known, new)


@sharedfacts.FACT_KINDS.register(FORWARDER)
class Forwarders(CutHosts):
    """Facts about an entry host that takes calls; [address, services it reaches]."""


def token(key: str) -> bytes:
    """Return the text by which hosts with a common key recognise each other."""
    digest = hashlib.blake2b(b"forwarding", key=key.encode()[:64], digest_size=16)
    return digest.hexdigest().encode()


def is_chosen(host_id: str, cut_host_id: str, host_count: int) -> bool:
    """Return whether a host offers to take the calls of one that is cut off."""
    rank = zlib.crc32(f"{host_id} {cut_host_id}".encode()) / 2.0**32
    return rank * host_count < FORWARDERS_PER_HOST


def headers(
    call: calls.Call, key_token: bytes, version: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers that a forwarded call has in addition."""
    added = [
        (KEY, key_token),
        (CALLER, call.caller.encode()),
        (SERVICE, call.service.encode()),
        (VERSION, b"%d" % version),
    ]
    if call.route.mode is calls.Mode.STREAM:
        added.append((STREAM, call.stream_id.encode("latin-1")))
    if call.team is not None:
        added.append((TEAM, call.team.name.encode()))
    return added


def without_headers(headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are not among those that hosts add."""
    return [(name, value) for name, value in headers if name not in HEADERS]


def read_headers(call: calls.Call, key_token: bytes, version: int) -> None:
    """Set the fields of a forwarded call and remove the headers that hosts add.

    Raise ProxyError if the sender does not know the key, or has a configuration above
    ``version``: the call would be handled as an older one says.
    """
    if not hmac.compare_digest(framing.header(call.headers, KEY), key_token):
        raise errors.ProxyError(
            errors.ErrorKind.UNAUTHENTICATED, "the sender is no host of this fleet"
        )
    # Hosts of earlier builds name no version.
    sender_version = framing.header(call.headers, VERSION).decode("latin-1")
    if _VERSION.fullmatch(sender_version) and int(sender_version) > version:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_READY,
            f"this host has version {serviceconfig.version_or_none(version)} of the "
            f"configuration, the sender of the call has version {sender_version}",
            retry_after_s=RETRY_AFTER_S,
        )
    call.forwarded_service = framing.header(call.headers, SERVICE).decode()
    call.caller = framing.header(call.headers, CALLER).decode()
    stream_id = framing.header(call.headers, STREAM).decode("latin-1")
    if call.last_event_id:
        call.resumed_id = stream_id
    call.team_name = framing.header(call.headers, TEAM).decode() or None
    call.headers = without_headers(call.headers)


def refusal(body: bytes) -> errors.ProxyError:
    """Return the error for the problem with which a host has refused a call."""
    return errors.from_problem(body, errors.ErrorKind.OVERLOADED)


class Forwarding:
    """Offer help to hosts that are cut off, or find it, at one entry host.

    ``publish(fact, now)`` adds a fact to the table and sends it to the other hosts.
    """

    def __init__(
        self,
        host_id: str,
        address: str,
        table: sharedfacts.FactTable,
        publish,
        reach,
    ):
        self._host_id = host_id
        self._address = address  # at which this host takes calls of others
        self._table = table
        self._publish = publish
        self._reach = reach
        self._next_renewal_at_by_kind: dict[str, float] = {}
        self._published_by_kind: dict[str, list] = {}

    def tick(self, host_count: int, now: float, takes_calls: bool = True) -> None:
        """Publish what this host needs or offers, if it changed or is to be renewed."""
        cut_services = self._reach.cut_services()
        if cut_services or self._published_by_kind.get(CUT_HOST):
            self._tell(CUT_HOST, cut_services, now)
        wanted = {
            service
            for fact in self._table.of_kind(CUT_HOST, now)
            if fact.key != self._host_id
            and is_chosen(self._host_id, fact.key, host_count)
            for service in fact.value
        }
        if not self._address or not wanted:
            return
        offered = [
            service
            for service in self._reach.reached_services(now)
            if takes_calls and service in wanted
        ]
        if offered or self._published_by_kind.get(FORWARDER, ["", []])[1]:
            self._tell(FORWARDER, [self._address, offered], now)

    def _tell(self, kind, value, now):
        is_due = now >= self._next_renewal_at_by_kind.get(kind, 0.0)
        if not is_due and value == self._published_by_kind.get(kind):
            return
        self._published_by_kind[kind] = value
        self._next_renewal_at_by_kind[kind] = now + RENEWAL_INTERVAL_S
        self._publish(
            sharedfacts.Fact(kind, self._host_id, value, now, now + KEPT_S), now
        )

    def is_wanted(self, now: float) -> bool:
        """Return whether another host is cut off from some servers."""
        return any(fact.value for fact in self._table.of_kind(CUT_HOST, now))

    def forwarders(self, service: str, now: float) -> list[servers.Announcement]:
        """Return the hosts that take calls for a service, in the form of servers."""
        return [
            servers.Announcement(f"host {fact.key}", service, fact.value[0], "")
            for fact in self._table.of_kind(FORWARDER, now)
            if fact.key != self._host_id and service in fact.value[1]
        ]
