"""The operator's configuration in the platform's JSON."""

import orjson

from kumquatproxy import errors
from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls

MODES = {
    "safe": calls.Mode.SAFE,
    "unsafe": calls.Mode.UNSAFE,
    "streaming": calls.Mode.STREAM,
}
REQUIRED = object()


class Reader:
    """Take typed fields from a JSON object; all errors name the place."""

    __slots__ = ("_fields", "_place")

    def __init__(self, fields, place):
        if not isinstance(fields, dict):
            raise invalid(f"{place} is not an object")
        self._fields: dict = fields
        self._place: str = place

    def get(self, name: str, kinds, default=REQUIRED):
        """Return a field of one of the types ``kinds``."""
        value = self._fields.get(name)
        if value is None:
            if default is REQUIRED:
                raise invalid(f"{self._place} lacks {name!r}")
            return default
        is_other = isinstance(value, bool) and kinds is not bool
        if is_other or not isinstance(value, kinds):
            raise invalid(f"{name!r} of {self._place} has another type")
        return value

    def text(self, name: str, default=REQUIRED) -> str:
        """Return a text."""
        return self.get(name, str, default)

    def number(self, name: str, default=REQUIRED) -> float:
        """Return a number."""
        return self.get(name, (int, float), default)

    def whole(self, name: str, default=REQUIRED) -> int:
        """Return a whole number."""
        return self.get(name, int, default)

    def flag(self, name: str, default=False) -> bool:
        """Return a truth value."""
        return self.get(name, bool, default)

    def objects(self, name: str, default=REQUIRED) -> list["Reader"]:
        """Return readers of a list of objects."""
        items = self.get(name, list, default)
        return [
            Reader(item, f"{name}[{index}] of {self._place}")
            for index, item in enumerate(items)
        ]

    def has(self, name: str) -> bool:
        """Return whether a field is given."""
        return self._fields.get(name) is not None

    def object(self, name: str, default=REQUIRED) -> "Reader":
        """Return a reader of an object."""
        return Reader(self.get(name, dict, default), f"{name!r} of {self._place}")


def parse(data: bytes) -> serviceconfig.Configuration:
    """Return the checked configuration; raise ProxyError with the faults."""
    try:
        plain = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise invalid(f"the configuration is not JSON: {error}") from None
    reader = Reader(plain, "the configuration")
    version = reader.whole("version")
    services = reader.objects("services")
    routes = reader.objects("routes")
    configuration = serviceconfig.Configuration(
        version,
        [_route(one) for one in routes],
        [_service(one) for one in services],
        _limits(reader.object("limits", {})),
    )
    serviceconfig.check(configuration, len(services))
    return configuration


def _route(reader):
    mode = reader.text("mode")
    if mode not in MODES:
        raise invalid(f"mode {mode!r} is unknown")
    return serviceconfig.Route(
        reader.text("name"),
        reader.text("hostname").lower(),
        reader.text("path_prefix"),
        MODES[mode],
        _targets(reader),
        reader.number("timeout_ms") / 1000,
        reader.number("slo_ms", 0) / 1000,  # latency objective
        reader.whole("priority", 0),
        reader.whole("attempts", 1),
        reader.flag("sticky"),
        reader.flag("resumable"),
        reader.number("gap_target_ms", 0) / 1000,
    )


def _targets(reader):
    # One service stands in "backend"; several with weights in "backends".
    if reader.has("backends"):
        return [
            serviceconfig.Target(one.text("backend"), one.number("weight", 1))
            for one in reader.objects("backends")
        ]
    return [serviceconfig.Target(reader.text("backend"))]


def _service(reader):
    engine = reader.object("engine") if reader.has("engine") else None
    return serviceconfig.Service(
        reader.text("name"),
        reader.text("health_path", ""),
        reader.whole("max_conns", 0),
        _engine(engine) if engine is not None else None,
    )


def _engine(reader):
    return serviceconfig.Engine(
        [_model(one) for one in reader.objects("models", [])],
        reader.number("weights_mb", 0.0),
        reader.whole("slots", 1),
        reader.whole("kv_capacity", 0),
        reader.whole("adapter_slots", 0),
        reader.number("loads_per_s", 0.0),
        reader.whole("stride", 1),  # tokens that one event of a stream holds
        reader.number("host_mb", 0.0),  # copies of weights in the server's memory
        reader.number("disk_mb", 0.0),  # copies of weights on its disk
    )


def _model(reader):
    return serviceconfig.Model(
        reader.text("name"),
        reader.number("weights_mb"),
        reader.number("load_time_s", 0.0),
        reader.number("disk_s", 0.0),
        reader.number("warm_s", 0.0),
        reader.whole("adapters", 0),
        reader.number("adapter_mb", 0.0),
    )


def _limits(reader):
    return serviceconfig.Limits(
        reader.whole("max_header_bytes", 16384),
        reader.whole("max_body_bytes", 4 * 1024 * 1024),
        reader.number("header_timeout_ms", 3000) / 1000,
        reader.number("idle_timeout_ms", 15000) / 1000,
    )


def invalid(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_CONFIGURATION, detail)
