"""The operator's configuration in the platform's JSON format."""

import collections.abc
import math

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
NUMBERS = (int, float)
ROOT_NAME = "the configuration"  # in error messages
TOKEN_UNIT = "token_metered"  # usage caps in tokens; any other unit counts calls
MODEL_SEPARATOR = "/"  # between model and adapter in the header of a call
# Sums and products of a few such numbers are finite.
MAX_NUMBER = 2**63 - 1
# Callers leave a stream after a time without an event: the longest of these.
MIN_PATIENCE_S = 2.0
PATIENCE_PER_OBJECTIVE = 4.0
PATIENCE_PER_PAUSE = 8.0


class Reader:
    """Read typed fields of a JSON object; errors name that object.

    ``location`` holds the members and indices that lead to the object. A subclass that
    goes on after an error gets an empty value in place of the field.
    """

    __slots__ = ("_fields", "_location", "_root_name")

    def __init__(self, fields, root_name, location=()):
        self._root_name: str = root_name
        self._location: tuple[str | int, ...] = location
        if not isinstance(fields, dict):
            detail = f"{self._name()} is not an object"
            fields = self._reject("not-an-object", detail, (), {})
        self._fields: dict = fields

    def get(self, name: str, types, default=REQUIRED):
        """Return a field that is an instance of ``types``."""
        value = self._fields.get(name)
        if value is None:
            if default is REQUIRED:
                detail = f"{self._name()} lacks {name!r}"
                return self._reject("missing", detail, (name,), _empty(types))
            return default
        is_unwanted_boolean = isinstance(value, bool) and types is not bool
        if is_unwanted_boolean or not isinstance(value, types):
            return self._reject_type(name, _empty(types))
        return value

    def text(self, name: str, default=REQUIRED) -> str:
        """Return a string field."""
        return self.get(name, str, default)

    def choice(self, name: str, values_by_text: dict):
        """Return the value for a string field that must be a key of the mapping."""
        text = self.text(name)
        if text not in values_by_text:
            detail = f"{name} {text!r} is unknown"
            substitute = next(iter(values_by_text.values()))
            return self._reject("unknown-value", detail, (name,), substitute)
        return values_by_text[text]

    def number(self, name: str, default=REQUIRED) -> float:
        """Return a numeric field."""
        return self._in_range(name, self.get(name, NUMBERS, default))

    def integer(self, name: str, default=REQUIRED) -> int:
        """Return an integer field."""
        return self._in_range(name, self.get(name, int, default))

    def _in_range(self, name, value):
        if value is not None and abs(value) > MAX_NUMBER:
            detail = f"{name!r} of {self._name()} is too large"
            return self._reject("too-large", detail, (name,), 0)
        return value

    def texts(self, name: str, default=REQUIRED) -> list[str]:
        """Return a list of strings."""
        texts = self.get(name, list, default)
        if not all(isinstance(text, str) for text in texts):
            return self._reject_type(name, [])
        return texts

    def digests(self, name: str, default=REQUIRED) -> list[bytes]:
        """Return the digests of a list of keys."""
        return [serviceconfig.digest_key(key) for key in self.texts(name, default)]

    def boolean(self, name: str, default=False) -> bool:
        """Return a boolean field."""
        return self.get(name, bool, default)

    def objects(
        self, name: str, default=REQUIRED
    ) -> collections.abc.Iterator["Reader"]:
        """Yield a reader for each object of a list field, made when it is read.

        A malformed list of very many objects takes no more memory so.
        """
        for index, item in enumerate(self.get(name, list, default)):
            yield self._child(item, (name, index))

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._fields.get(name) is not None

    def object(self, name: str, default=REQUIRED) -> "Reader":
        """Return a reader for an object field."""
        return self._child(self.get(name, dict, default), (name,))

    def _child(self, fields, steps):
        return Reader(fields, self._root_name, self._location + steps)

    def _reject_type(self, name, substitute):
        detail = f"{name!r} of {self._name()} has the wrong type"
        return self._reject("wrong-type", detail, (name,), substitute)

    def _reject(self, code, detail, steps, substitute):
        """Raise ProxyError; a subclass may return ``substitute`` instead."""
        raise invalid(detail)

    def _name(self):
        return object_name(self._root_name, self._location)


def object_name(root_name: str, location: tuple[str | int, ...]) -> str:
    """Return the name of an object in error messages."""
    text = root_name
    for step, following in zip(location, (*location[1:], None)):
        if isinstance(step, str):
            is_list = isinstance(following, int)
            text = (
                f"{step}[{following}] of {text}" if is_list else f"{step!r} of {text}"
            )
    return text


def _empty(types):
    return types() if isinstance(types, type) else types[0]()


def parse(data: bytes) -> serviceconfig.Configuration:
    """Return the validated configuration; raise ProxyError if it is invalid."""
    configuration = read(Reader(decode(data), ROOT_NAME))
    serviceconfig.check(configuration)
    return configuration


def decode(data: bytes):
    """Return the value of a JSON text; raise ProxyError if it is malformed."""
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise invalid(f"the configuration is not JSON: {error}") from None


def read(reader: Reader) -> serviceconfig.Configuration:
    """Return the configuration in a JSON object, which is not validated yet."""
    version = reader.integer("version")
    services = [_service(service) for service in reader.objects("services")]
    teams = None
    if reader.has("tenants"):
        teams = [_team(team) for team in reader.objects("tenants")]
    return serviceconfig.Configuration(
        version,
        [_route(route) for route in reader.objects("routes")],
        services,
        _limits(reader.object("limits", {})),
        teams,
    )


def _patience_s(mode, objective_s, max_pause_s):
    """Return the time without an event after which callers leave a stream."""
    if mode is not calls.Mode.STREAM:
        return math.inf
    return max(
        MIN_PATIENCE_S,
        PATIENCE_PER_OBJECTIVE * objective_s,
        PATIENCE_PER_PAUSE * max_pause_s,
    )


def _route(reader):
    mode = reader.choice("mode", MODES)
    objective_s = reader.number("slo_ms", 0) / 1000
    max_pause_s = reader.number("gap_target_ms", 0) / 1000
    return serviceconfig.Route(
        reader.text("name"),
        reader.text("hostname").lower(),
        reader.text("path_prefix"),
        mode,
        _targets(reader),
        reader.number("timeout_ms") / 1000,
        objective_s,
        reader.integer("priority", 0),
        reader.integer("attempts", 1),
        reader.boolean("sticky"),
        reader.boolean("resumable"),
        max_pause_s,
        _patience_s(mode, objective_s, max_pause_s),
        reader.boolean("public"),
    )


def _targets(reader):
    # "backend" names a single service; "backends" lists several with weights.
    if reader.has("backends"):
        return [
            serviceconfig.Target(backend.text("backend"), backend.number("weight", 1))
            for backend in reader.objects("backends")
        ]
    return [serviceconfig.Target(reader.text("backend"))]


def _service(reader):
    engine = reader.object("engine") if reader.has("engine") else None
    return serviceconfig.Service(
        reader.text("name"),
        reader.text("health_path", ""),
        reader.integer("max_conns", 0),
        _engine(engine) if engine is not None else None,
    )


def _engine(reader):
    return serviceconfig.Engine(
        [_model(model) for model in reader.objects("models", [])],
        reader.number("weights_mb", 0.0),
        reader.integer("slots", 1),
        reader.integer("kv_capacity", 0),
        reader.integer("adapter_slots", 0),
        reader.number("loads_per_s", 0.0),
        reader.integer("stride", 1),  # tokens in one event of a stream
        reader.number("host_mb", 0.0),  # weight cache in the server's memory
        reader.number("disk_mb", 0.0),  # weight cache on the server's disk
    )


def _team(reader):
    return serviceconfig.Team(
        reader.text("name"),
        reader.digests("api_keys", []),
        reader.integer("priority", None),
        reader.number("rate_per_s", 0.0),
        reader.number("burst", 0.0),
        reader.text("unit", "") == TOKEN_UNIT,
        int(reader.number("plain_tokens", 0)),
    )


def _model(reader):
    return serviceconfig.Model(
        reader.text("name"),
        reader.number("weights_mb"),
        reader.number("load_time_s", 0.0),
        reader.number("disk_s", 0.0),
        reader.number("warm_s", 0.0),
        reader.integer("adapters", 0),
        reader.number("adapter_mb", 0.0),
    )


def _limits(reader):
    return serviceconfig.Limits(
        reader.integer("max_header_bytes", 16384),
        reader.integer("max_body_bytes", 4 * 1024 * 1024),
        reader.number("header_timeout_ms", 3000) / 1000,
        reader.number("idle_timeout_ms", 15000) / 1000,
    )


def invalid(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_CONFIGURATION, detail)
