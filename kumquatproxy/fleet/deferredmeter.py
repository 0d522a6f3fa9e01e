"""Meter of a host whose instruments are created when its page is first read."""

import importlib
import typing

import gevent

from kumquatproxy import httpapi

# With more records, the instruments are created although nobody has read the page.
MAX_RECORDS = 5000
METERS_MODULE = "kumquatproxy.fleet.meters"


class DeferredMeter:
    """Keep records until there are instruments for them.

    The instruments take 4 MB and a third of the processor time of a start, and many
    hosts end before their page is read. ``arguments`` are those of ``meters.Meter``.
    """

    __slots__ = ("_application", "_arguments", "_is_opening", "_meter", "_records")

    def __init__(self, *arguments):
        self._arguments = arguments
        self._records: list[tuple[str, tuple]] = []
        self._is_opening = False
        self._meter: typing.Any = None
        self._application: typing.Any = None

    def call(self, *values) -> None:
        """Record a completed call."""
        self._record("call", values)

    def attempt(self, *values) -> None:
        """Record an attempt at a backend server."""
        self._record("attempt", values)

    def order(self, *values) -> None:
        """Record an order to an engine."""
        self._record("order", values)

    def load_decision(self, *values) -> None:
        """Record a call that is held, released or rejected because of load."""
        self._record("load_decision", values)

    def _record(self, name, values):
        if self._meter is not None:
            getattr(self._meter, name)(*values)
            return
        self._records.append((name, values))
        if len(self._records) >= MAX_RECORDS and not self._is_opening:
            self._is_opening = True
            gevent.spawn(self.application)

    def application(self) -> httpapi.Application:
        """Return the application that serves the page, and create the instruments."""
        # Calls are served meanwhile.
        threads = gevent.get_hub().threadpool
        meters = threads.apply(importlib.import_module, (METERS_MODULE,))
        if self._meter is None:
            self._meter = meters.Meter(*self._arguments)
            self._application = meters.MeterApplication(self._meter)
            records, self._records = self._records, []
            for name, values in records:
                getattr(self._meter, name)(*values)
        return self._application

    def close(self) -> None:
        """Shut the instruments down, if there are any."""
        if self._meter is not None:
            self._meter.close()


class MeterApplication(httpapi.Application):
    """Serve the metrics page."""

    def __init__(self, meter: DeferredMeter):
        self._meter = meter

    def answer(self, request, now):
        """Return the metrics page; raise ProxyError for other paths."""
        return self._meter.application().answer(request, now)
