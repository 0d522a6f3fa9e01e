"""Interface and registry of dialects, the wire formats of deployments.

A dialect only translates headers and bodies. It makes no decisions about calls.
"""

import collections.abc
import importlib
import typing

from kumquatproxy import errors, records, registry
from kumquatproxy.gateway import calls

DIALECTS = registry.Registry("dialect")


class Entry(records.Record):
    """Hold an entry of a configuration under the names of the operator's format.

    ``kind`` is a field of the configuration, such as ``routes``, or ``models``. Members
    of nested objects have dotted names. A set of key digests stands for keys.
    """

    __slots__ = ("kind", "location", "members_by_name", "name", "service")

    def __init__(self, kind, name, location, members_by_name, service=""):
        self.kind: str = kind
        self.name: str = name
        self.location: tuple[str | int, ...] = location
        self.members_by_name: dict[str, typing.Any] = members_by_name
        self.service: str = service  # of a model, empty for other kinds


class Inspection:
    """Hold a configuration as far as it can be read, with the faults of all entries.

    ``read_faults`` are those of its form. Entries that have some hold substitutes, so
    the configuration must not be put in force then. ``remarks`` tell of what is read
    but has no effect in the dialect. ``path_of`` returns the path of a location in the
    operator's format.
    """

    __slots__ = ("configuration", "entries", "path_of", "read_faults", "remarks")

    def __init__(self, configuration, read_faults, remarks, entries, path_of):
        # A serviceconfig.Configuration; None if nothing can be read.
        self.configuration: typing.Any = configuration
        self.read_faults: list = read_faults  # of serviceconfig.Fault
        self.remarks: list = remarks  # of serviceconfig.Fault
        self.entries: list[Entry] = entries
        self.path_of: collections.abc.Callable[[tuple[str | int, ...]], str] = path_of


class Dialect:
    """Translate between the wire format of a deployment and internal records."""

    # Fields of events in streams, in addition to those that all servers use.
    event_fields: frozenset[bytes] = frozenset()
    # Terms of a deployment that call for the policies for hard load.
    hard_load_terms: frozenset[str] = frozenset()
    # Largest text of a configuration that control hosts take.
    max_configuration_bytes = 0

    def read_call(self, call: calls.Call) -> None:
        """Set the fields of a call from its headers; raise ProxyError if invalid."""
        raise NotImplementedError

    def caller_timeout_s(self, call: calls.Call) -> float | None:
        """Return the caller's timeout in seconds, or None if it sends none."""
        raise NotImplementedError

    def forwarded_headers(
        self, call, instance_id: str, left_s: float, last_event_id: str, priority=None
    ):
        """Return the headers of the request to a backend server."""
        raise NotImplementedError

    def relayed_headers(self, call, left_s: float, last_event_id: str):
        """Return the headers of the request to another host of the fleet."""
        raise NotImplementedError

    def refusal_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that mark a response as a refusal, not executed."""
        raise NotImplementedError

    def parse_response_head(self, status: int, headers) -> calls.ResponseHead:
        """Return the parsed head of a backend server's response."""
        raise NotImplementedError

    def report_request(self, announcement):
        """Return method, target, headers and body of a request for an engine report."""
        raise NotImplementedError

    def read_report(self, body: bytes):
        """Return the engineorders.EngineReport; raise ValueError if it is invalid."""
        raise NotImplementedError

    def order_request(self, announcement, order, holder: str, fence: int):
        """Return method, target, headers and body of the request that submits an order.

        ``holder`` names the owner of the orders, and ``fence`` is the fencing token of
        its ownership.
        """
        raise NotImplementedError

    def parse_order_status(self, status: int):
        """Return the engineorders.OrderOutcome for the status of a response."""
        raise NotImplementedError

    def parse_configuration(self, data: bytes):
        """Return the serviceconfig.Configuration; raise ProxyError if it is invalid."""
        raise NotImplementedError

    def inspect_configuration(self, data: bytes):
        """Return the Inspection of a configuration, whatever its faults are."""
        raise NotImplementedError

    def configuration_request(self) -> tuple[str, str]:
        """Return method and target of the request that reads the one in force."""
        raise NotImplementedError


def load(alias: str, module_name: str) -> Dialect:
    """Import ``module_name`` and return the dialect it registers as ``alias``."""
    try:
        importlib.import_module(module_name)
    except ImportError as error:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            f"module {module_name!r} of dialect {alias!r} cannot be loaded: {error}",
        ) from None
    return DIALECTS.get(alias)()
