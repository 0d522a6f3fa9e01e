"""WSGI application that receives announcements and load reports of backend servers."""

from kumquatproxy import entrychecks, errors, httpapi, records, tasks

MAX_ANNOUNCE_BYTES = 256 * 1024


class Announce:
    """Carry the announcement of a backend server to the control task."""

    __slots__ = ("server",)

    def __init__(self, server):
        self.server: records.BackendServer = server


class Report:
    """Carry a load report to the control task."""

    __slots__ = ("report",)

    def __init__(self, report):
        self.report: records.LoadReport = report


class BackendApplication(httpapi.Application):
    """Parse announcements and load reports and pass them to the control task."""

    def __init__(self, control):
        self._control: tasks.Task = control

    def answer(self, request, now):
        """Queue the message for the control task and return an empty reply."""
        if request.method != "POST":
            raise errors.ProxyError(
                errors.ErrorKind.METHOD_NOT_ALLOWED,
                f"{request.path!r} accepts only POST",
            )
        body = request.json(MAX_ANNOUNCE_BYTES)
        if request.path == "/backend/v1/announce":
            self._control.tell(Announce(_server(body)))
        elif request.path == "/backend/v1/report":
            self._control.tell(Report(_report(body)))
        else:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, f"{request.path!r} does not exist"
            )
        return httpapi.Reply(204)


def _server(body):
    return records.BackendServer(
        _field(body, "backend_id", str),
        _address(body),
        _field(body, "data_centre", str),
        _field(body, "kind", str),
        _field(body, "service", str),
        _field(body, "incarnation", int),
        _field(body, "memory_mb", int, 0),
        _field(body, "accelerators", int, 0),
        _field(body, "checks_fencing", bool, False),
        _field(body, "leaving", bool, False),
    )


def _report(body):
    keys = _names(body, "loaded")
    kv_used = _field(body, "kv_used", (int, float), 0.0)
    if not entrychecks.is_duration(kv_used):
        raise _invalid("'kv_used' is out of range")
    return records.LoadReport(
        _field(body, "backend_id", str),
        _field(body, "incarnation", int),
        _field(body, "sequence", int),
        _field(body, "running", int, 0),
        _field(body, "waiting", int, 0),
        float(kv_used),
        [records.parse_item(key) for key in keys],
        _field(body, "fence_seen", int, 0),
        _names(body, "orders_seen"),
    )


def _address(body):
    address = _field(body, "address", str)
    if not entrychecks.is_address(address):
        raise _invalid(f"address {address[:80]!r} is not of the form IP:PORT")
    return address


def _field(body, name, kind, default=None):
    value = body.get(name, default)
    is_bool_for_int = isinstance(value, bool) and kind is int
    if value is None or is_bool_for_int or not isinstance(value, kind):
        raise _invalid(f"{name!r} is missing or has the wrong type")
    if kind is int and not entrychecks.is_integer(value):
        raise _invalid(f"{name!r} is negative or too large")
    if kind is str and not entrychecks.is_text(value):
        raise _invalid(f"{name!r} is too long")
    return value


def _names(body, name):
    names = _field(body, name, list, [])
    if not entrychecks.is_names(names):
        raise _invalid(f"{name!r} is no list of names, or too long")
    return names


def _invalid(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
