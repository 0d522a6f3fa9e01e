"""Interface and registry of dialects, the wire formats of deployments.

A dialect only translates headers and bodies. It makes no decisions about calls.
"""

import importlib

from kumquatproxy import errors, registry
from kumquatproxy.gateway import calls

DIALECTS = registry.Registry("dialect")


class Dialect:
    """Translate between the wire format of a deployment and internal records."""

    def read_call(self, call: calls.Call) -> None:
        """Set the fields of a call from its headers; raise ProxyError if invalid."""
        raise NotImplementedError

    def deadline_s(self, call: calls.Call) -> float | None:
        """Return the caller's timeout in seconds, or None if it sends none."""
        raise NotImplementedError

    def forwarded_headers(
        self, call, instance_id: str, left_s: float, last_event_id: str, priority=None
    ):
        """Return the headers of the request to a backend server."""
        raise NotImplementedError

    def read_answer(self, status: int, headers) -> calls.AnswerHead:
        """Return the head of a backend server's response."""
        raise NotImplementedError

    def report_call(self, announcement):
        """Return method, target, headers and body that request an engine's report."""
        raise NotImplementedError

    def read_report(self, body: bytes):
        """Return the engineorders.EngineReport in a response; raise ValueError."""
        raise NotImplementedError

    def order_call(self, announcement, order, holder: str, fence: int):
        """Return method, target, headers and body that submit an order."""
        raise NotImplementedError

    def read_order_answer(self, status: int):
        """Return the engineorders.OrderOutcome for the status of a response."""
        raise NotImplementedError

    def parse_configuration(self, data: bytes):
        """Return the validated serviceconfig.Configuration; raise ProxyError."""
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
