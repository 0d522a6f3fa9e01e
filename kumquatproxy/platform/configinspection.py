"""Inspection of an operator's configuration: all faults of its form, and its entries.

It reads as ``configformat.parse`` does, and goes on after a fault.
"""

import json
import re
import typing

from kumquatproxy import errors
from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import dialects
from kumquatproxy.platform import configformat

# A text of the largest size can hold millions of faults.
MAX_FAULTS = 10_000
CONTROL = re.compile(r"[\x00-\x1f\x7f]")
# Members that are objects or lists of them. Names of unknown members are never shown,
# as they may be keys.
KNOWN_OBJECTS = frozenset(
    ("routes", "services", "tenants", "limits", "engine", "models", "backends")
)
# Names of the fields of records in the operator's format.
MEMBER_BY_FIELD = {
    "adapter_count": "adapters",
    "adapter_places": "adapter_slots",
    "batch_slots": "slots",
    "body_bytes": "max_body_bytes",
    "disk_cache_mb": "disk_mb",
    "head_bytes": "max_header_bytes",
    "head_timeout_s": "header_timeout_ms",
    "host": "hostname",
    "idle_timeout_s": "idle_timeout_ms",
    "is_resumable": "resumable",
    "key_digests": "api_keys",
    "max_connections": "max_conns",
    "max_pause_s": "gap_target_ms",
    "memory_cache_mb": "host_mb",
    "memory_mb": "weights_mb",
    "objective_s": "slo_ms",
    "service": "backend",
    "store_load_s": "load_time_s",
    "targets": "backends",
    "teams": "tenants",
    "timeout_s": "timeout_ms",
    "token_capacity": "kv_capacity",
    "tokens_per_event": "stride",
}


class RecordingReader(configformat.Reader):
    """Read on after a fault, and record the faults and the members that were read."""

    __slots__ = ("faults", "members_by_name")

    def __init__(self, fields, root_name, location, faults):
        self.faults: list[serviceconfig.Fault] = faults  # shared by all readers
        self.members_by_name: dict = {}
        super().__init__(fields, root_name, location)
        if not isinstance(fields, dict):
            self.faults = []  # its members need no faults of their own

    def get(self, name: str, types, default=configformat.REQUIRED):
        """Return a field, and record it if it is present."""
        value = self._fields.get(name)
        if value is None and default is not configformat.REQUIRED:
            return default
        kind = type(value)
        # Faster than the full check, which also finds the faults.
        if kind is types or (types is configformat.NUMBERS and kind in types):
            self.members_by_name[name] = value
            return value
        value = super().get(name, types, default)
        if self.has(name):
            self.members_by_name[name] = value
        return value

    def digests(self, name: str, default=configformat.REQUIRED) -> list[bytes]:
        """Return the digests of a list of keys, which are recorded instead of them."""
        digests = super().digests(name, default)
        if self.has(name):
            self.members_by_name[name] = frozenset(digests)
        return digests

    def objects(self, name: str, default=configformat.REQUIRED):
        """Yield a reader for each object of a list field, until faults are many."""
        members = []
        readers: typing.Any = super().objects(name, default)
        for reader in readers:
            if len(self.faults) > MAX_FAULTS:
                break
            members.append(reader.members_by_name)
            yield reader
        if self.has(name):
            self.members_by_name[name] = members

    def object(self, name: str, default=configformat.REQUIRED):
        """Return a reader for an object field."""
        reader: typing.Any = super().object(name, default)
        if self.has(name):
            self.members_by_name[name] = reader.members_by_name
        return reader

    def _child(self, fields, steps):
        location = self._location + steps
        return RecordingReader(fields, self._root_name, location, self.faults)

    def _reject(self, code, detail, steps, substitute):
        if len(self.faults) < MAX_FAULTS:
            location = self._location + steps
            self.faults.append(serviceconfig.Fault(code, location, detail))
        elif len(self.faults) == MAX_FAULTS:
            text = f"more than {MAX_FAULTS} faults; further ones are not listed"
            self.faults.append(serviceconfig.Fault("many-faults", (), text))
        return substitute


def inspect(data: bytes) -> dialects.Inspection:
    """Return the inspection of a configuration, whatever its faults are."""
    try:
        decoded = configformat.decode(data)
    except errors.ProxyError as error:
        fault = serviceconfig.Fault("not-json", (), error.detail)
        return dialects.Inspection(None, [fault], [], [], path_text)
    faults: list[serviceconfig.Fault] = []
    reader = RecordingReader(decoded, configformat.ROOT_NAME, (), faults)
    configuration = configformat.read(reader)
    members = reader.members_by_name
    remarks = _repeated_members(data)
    if not faults:
        remarks.extend(_remarks(members, decoded))

    def path_of(location):
        return path_text(_as_written(location, members))

    entries = [] if faults else list(_entries(members))
    return dialects.Inspection(configuration, faults, remarks, entries, path_of)


def path_text(location: tuple[str | int, ...]) -> str:
    """Return the path of a location, such as ``routes[3].timeout_ms``.

    Its names are fields of records, or members of the format.
    """
    text = ""
    for step in location:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{MEMBER_BY_FIELD.get(step, step)}"
    return text.removeprefix(".")


def _as_written(location, members):
    """Return a location, without the list of targets if a route names a single one."""
    if location[:1] != ("routes",) or location[2:3] != ("targets",):
        return location
    if "backends" in members["routes"][location[1]]:
        return location
    return (*location[:2], "service")


def _entries(members):
    """Yield the entries of a configuration without faults of its form."""
    limits = members.get("limits", {})
    yield dialects.Entry("limits", "", ("limits",), limits)
    for index, service in enumerate(members["services"]):
        location = ("services", index)
        plain = {key: value for key, value in service.items() if key != "engine"}
        engine = service.get("engine", {})
        plain |= {f"engine.{key}": engine[key] for key in engine if key != "models"}
        yield dialects.Entry("services", service["name"], location, plain)
        for position, model in enumerate(engine.get("models", ())):
            yield dialects.Entry(
                "models",
                model["name"],
                (*location, "engine", "models", position),
                model,
                service["name"],
            )
    for kind, field in (("tenants", "teams"), ("routes", "routes")):
        for index, entry in enumerate(members.get(kind, ())):
            yield dialects.Entry(field, entry["name"], (field, index), entry)


def _remarks(members, decoded):
    """Yield what has no effect because of the headers or words of the format."""
    for index, team in enumerate(members.get("tenants", ())):
        unit = team.get("unit", "")
        if unit not in ("", configformat.TOKEN_UNIT):
            yield serviceconfig.Fault(
                "unknown-unit",
                ("teams", index, "unit"),
                f"the cap counts calls, as only the unit {configformat.TOKEN_UNIT!r} "
                "counts tokens",
            )
        keys = decoded["tenants"][index].get("api_keys") or ()
        yield from _key_remarks(("teams", index, "key_digests"), keys)
    for index, service in enumerate(members["services"]):
        models = service.get("engine", {}).get("models", ())
        for position, model in enumerate(models):
            name = model["name"]
            if not _fits_header(name) or configformat.MODEL_SEPARATOR in name:
                yield serviceconfig.Fault(
                    "unaddressable-model",
                    ("services", index, "engine", "models", position, "name"),
                    f"no call can ask for the model {name!r}, as no header can name it",
                )


def _key_remarks(location, keys):
    seen = set()
    for position, key in enumerate(keys):
        if not _fits_header(key):
            text = "the key can never match, as no header can carry it"
            yield serviceconfig.Fault("unusable-key", (*location, position), text)
        elif key in seen:
            text = "the team lists the key twice"
            yield serviceconfig.Fault("repeated-key", (*location, position), text)
        seen.add(key)


def _fits_header(text):
    """Return whether a text can be the whole value of a header."""
    return bool(text) and text == text.strip() and not CONTROL.search(text)


def _repeated_members(data):
    """Return a remark for each object that has a member twice; names are not shown.

    The value of the last one counts.
    """
    repeating = []

    def build(pairs):
        members = dict(pairs)
        if len(members) != len(pairs):
            repeating.append(members)
        return members

    try:
        # Numbers do not matter here, and may have too many digits.
        root = json.loads(
            data.decode(), object_pairs_hook=build, parse_int=len, parse_float=len
        )
    except RecursionError:
        text = "it is nested too deeply for a search for members that occur twice"
        return [serviceconfig.Fault("deep-nesting", (), text)]
    if not repeating:
        return []
    text = "a member occurs twice in the object; the last one counts"
    location_by_id = _locations(root, {id(members) for members in repeating})
    return [
        serviceconfig.Fault(
            "repeated-member", location_by_id.get(id(members), ()), text
        )
        for members in repeating[:MAX_FAULTS]
    ]


def _locations(root, wanted_ids):
    """Return the locations of some objects by id.

    For an object under a member that the format does not have, it is that of the
    nearest one outside.
    """
    location_by_id = {}
    pending: list[tuple[tuple, bool, typing.Any]] = [((), True, root)]
    while pending:
        location, is_known, value = pending.pop()
        if id(value) in wanted_ids:
            location_by_id[id(value)] = location
        if isinstance(value, dict):
            for name, member in value.items():
                if is_known and name in KNOWN_OBJECTS:
                    pending.append(((*location, name), True, member))
                else:
                    pending.append((location, False, member))
        elif isinstance(value, list):
            for index, item in enumerate(value):
                place = (*location, index) if is_known else location
                pending.append((place, is_known, item))
    return location_by_id
