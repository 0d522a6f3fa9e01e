"""What a deployment's own wire format must provide, and the registry of formats.

A dialect translates names and formats and decides nothing.
"""

import importlib

from kumquatproxy import errors, registry
from kumquatproxy.gateway import calls

DIALECTS = registry.Registry("dialect")


class Dialect:
    """Translate between a deployment's wire format and the product's records."""

    def read_call(self, call: calls.Call) -> None:
        """Set the fields of a call that its headers hold; raise ProxyError."""
        raise NotImplementedError

    def deadline_s(self, call: calls.Call) -> float | None:
        """Return how long the caller waits, in seconds, or None if it doesn't say."""
        raise NotImplementedError

    def forwarded_headers(
        self, call, instance_id: str, left_s: float, last_event_id: str, priority=None
    ):
        """Return the headers of a call as they go to a backend server."""
        raise NotImplementedError

    def read_answer(self, status: int, headers) -> calls.AnswerHead:
        """Return the head of a backend server's answer."""
        raise NotImplementedError

    def report_call(self, announcement):
        """Return method, target, headers and body of a call for an engine's report."""
        raise NotImplementedError

    def read_report(self, body: bytes):
        """Return the engineorders.EngineReport of an answer; raise ValueError."""
        raise NotImplementedError

    def order_call(self, announcement, order, holder: str, fence: int):
        """Return method, target, headers and body of an order."""
        raise NotImplementedError

    def read_order_answer(self, status: int):
        """Return the engineorders.OrderOutcome that a status stands for."""
        raise NotImplementedError

    def parse_configuration(self, data: bytes):
        """Return a checked serviceconfig.Configuration; raise ProxyError."""
        raise NotImplementedError


def load(alias: str, module_name: str) -> Dialect:
    """Return the dialect ``alias``, which the module ``module_name`` registers."""
    try:
        importlib.import_module(module_name)
    except ImportError as error:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            f"module {module_name!r} of dialect {alias!r} cannot be loaded: {error}",
        ) from None
    return DIALECTS.get(alias)()
