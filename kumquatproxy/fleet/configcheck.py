"""Check of a configuration before it is sent, without I/O.

Errors are the faults for which control hosts refuse a configuration. Warnings and notes
come from registered checks, which look for entries that can never match and limits that
contradict each other.
"""

import collections
import collections.abc
import enum
import re

from kumquatproxy import errors, records, wire
from kumquatproxy.agreement import groupsettings
from kumquatproxy.fleet import configdiff, fleetstate, serviceconfig
from kumquatproxy.gateway import calls, dialects

# A path is compared as it was sent, without the query.
_PATH = re.compile(r"[\x21-\x3e\x40-\x7e]+")
_HOST = re.compile(r"[^\x00-\x20\x7f/?#@]+")
_PORT = re.compile(r":[0-9]*$")


class Level(enum.Enum):
    """Enumerate how much a finding matters."""

    ERROR = "error"  # control hosts refuse the configuration
    WARNING = "warning"
    NOTE = "note"


class Finding(records.Record):
    """Describe a finding; ``path`` is empty if it is about the whole configuration."""

    __slots__ = ("code", "level", "path", "text")

    def __init__(self, level, code, path, text):
        self.level: Level = level
        self.code: str = code
        self.path: str = path
        self.text: str = text


class Check(records.Record):
    """Hold a function that yields locations and texts for one code."""

    __slots__ = ("code", "function", "level")

    def __init__(self, code, level, function):
        self.code: str = code
        self.level: Level = level
        self.function: collections.abc.Callable = function


CHECKS_BY_CODE: dict[str, Check] = {}


def check(code: str, level: Level = Level.WARNING):
    """Return a decorator that registers a check.

    The function gets a dialects.Inspection without faults of its form.
    """

    def add(function):
        if code in CHECKS_BY_CODE:
            raise ValueError(f"check {code!r} is registered twice")
        CHECKS_BY_CODE[code] = Check(code, level, function)
        return function

    return add


def inspect(data: bytes, dialect: dialects.Dialect) -> dialects.Inspection:
    """Return the inspection of the text of a configuration, whatever its faults are.

    One that control hosts would not read to its end is not decoded.
    """
    limit_bytes = dialect.max_configuration_bytes
    if len(data) > limit_bytes:
        text = f"the configuration takes more than {limit_bytes} bytes"
        fault = serviceconfig.Fault("too-many-bytes", (), text)
        return dialects.Inspection(None, [fault], [], [], lambda location: "")
    return dialect.inspect_configuration(data)


def find(data: bytes, inspection: dialects.Inspection) -> list[Finding]:
    """Return the findings for the text of a configuration, errors first."""
    found = [
        Finding(Level.ERROR, fault.code, inspection.path_of(fault.location), fault.text)
        for fault in _faults(data, inspection)
    ]
    error_paths = {finding.path for finding in found}
    if inspection.read_faults:
        text = "entries were not checked further, as some of them cannot be read"
        advice = [Finding(Level.NOTE, "partly-checked", "", text)]
    else:
        advice = list(_advice(inspection))
    for remark in inspection.remarks:
        path = inspection.path_of(remark.location)
        advice.append(Finding(Level.WARNING, remark.code, path, remark.text))
    found.extend(
        finding
        for finding in advice
        if not finding.path or finding.path not in error_paths
    )
    return sort(found)


def sort(found: list[Finding]) -> list[Finding]:
    """Return findings by level, errors first."""
    levels = list(Level)
    return sorted(found, key=lambda finding: levels.index(finding.level))


def version_findings(difference: configdiff.Difference) -> list[Finding]:
    """Return a warning if the new version would not go in force."""
    old, new = difference.old_version, difference.new_version
    if new > old or (new == old and not difference.changes):
        return []
    text = (
        f"version {new} is acknowledged but ignored, as it is not above version {old} "
        "in force"
    )
    return [Finding(Level.WARNING, "version-ignored", "version", text)]


def has_problems(found: list[Finding]) -> bool:
    """Return whether there is an error or a warning."""
    return any(finding.level is not Level.NOTE for finding in found)


def _advice(inspection):
    """Yield the findings of the registered checks."""
    for registered in CHECKS_BY_CODE.values():
        for location, text in registered.function(inspection):
            path = inspection.path_of(location)
            yield Finding(registered.level, registered.code, path, text)


def _faults(data, inspection):
    """Yield the faults for which control hosts do not take a configuration."""
    yield from inspection.read_faults
    if inspection.configuration is None:
        return
    yield from _log_faults(data, inspection.configuration)
    faulty_paths = {
        inspection.path_of(fault.location[:2]) for fault in inspection.read_faults
    }
    # Without a list of services every route would refer to an unknown one.
    if faulty_paths & {"", inspection.path_of(("services",))}:
        return
    for fault in serviceconfig.faults(inspection.configuration):
        # The entry may hold substitutes.
        if inspection.path_of(fault.location[:2]) not in faulty_paths:
            yield fault


def _log_faults(data, configuration):
    """Yield a fault if the log of the control group cannot take a configuration."""
    command = fleetstate.PutConfiguration(
        content=fleetstate.pack(data), version=configuration.version
    )
    limit_bytes = groupsettings.MAX_COMMAND_BYTES
    try:
        fits = len(wire.encode(command)) <= limit_bytes
    except errors.ProxyError:
        fits = False
    if not fits:
        yield serviceconfig.Fault(
            "too-many-packed-bytes",
            (),
            f"compressed, the configuration takes {len(command.content)} bytes, and "
            f"the log of the control group takes {limit_bytes}",
        )


# Entries that can never match


@check("unmatchable-host")
def _unmatchable_host(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        host = route.host
        if not _HOST.fullmatch(host):
            text = f"route {route.name!r}: no request has the host {host!r}"
        elif _PORT.search(host):
            text = (
                f"route {route.name!r}: the host {host!r} never matches, as the port "
                "of a request is not compared"
            )
        else:
            continue
        yield ("routes", index, "host"), text


@check("unmatchable-prefix")
def _unmatchable_prefix(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        if not _PATH.fullmatch(route.path_prefix):
            yield (
                ("routes", index, "path_prefix"),
                f"route {route.name!r}: no path begins with {route.path_prefix!r}, as "
                "paths are compared without the query and have no blanks, controls or "
                "characters beyond ASCII",
            )


@check("weight-zero")
def _weight_zero(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        for position, target in enumerate(route.targets):
            if target.weight == 0:
                yield (
                    ("routes", index, "targets", position, "weight"),
                    f"route {route.name!r} sends nothing to service "
                    f"{target.service!r}, as its weight is 0",
                )


@check("repeated-target", Level.NOTE)
def _repeated_target(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        services = set()
        for position, target in enumerate(route.targets):
            if target.service in services:
                yield (
                    ("routes", index, "targets", position, "service"),
                    f"route {route.name!r} names service {target.service!r} twice; "
                    "the weights add up",
                )
            services.add(target.service)


@check("unreached-service")
def _unreached_service(inspection):
    configuration = inspection.configuration
    reached = {
        target.service
        for route in configuration.routes
        for target in route.targets
        if target.weight > 0
    }
    for index, service in enumerate(configuration.services):
        if service.name not in reached:
            text = f"no route sends anything to service {service.name!r}"
            yield ("services", index), text


@check("team-without-keys")
def _team_without_keys(inspection):
    for index, team in enumerate(inspection.configuration.teams):
        if not team.key_digests:
            text = f"no call can belong to team {team.name!r}, as it has no keys"
            yield ("teams", index, "key_digests"), text


@check("unreached-teams")
def _unreached_teams(inspection):
    configuration = inspection.configuration
    routes = configuration.routes
    if configuration.teams and routes and all(route.is_public for route in routes):
        yield ("teams",), "no call belongs to a team, as all routes are public"


@check("no-keys")
def _no_keys(inspection):
    configuration = inspection.configuration
    if not configuration.has_teams or configuration.teams_by_digest:
        return
    count = sum(not route.is_public for route in configuration.routes)
    if count:
        yield (
            ("teams",),
            f"no team has a key, so {count} routes that are not public refuse all "
            "calls",
        )


@check("repeated-model")
def _repeated_model(inspection):
    seen = set()
    for entry in inspection.entries:
        if entry.kind != "models":
            continue
        if (entry.service, entry.name) in seen:
            yield (
                entry.location,
                f"service {entry.service!r} lists model {entry.name!r} twice; the last "
                "entry counts",
            )
        seen.add((entry.service, entry.name))


@check("repeated-route-name", Level.NOTE)
def _repeated_route_name(inspection):
    names = set()
    for index, route in enumerate(inspection.configuration.routes):
        if route.name in names:
            yield (
                ("routes", index, "name"),
                f"another route has the name {route.name!r}; logs and metrics do not "
                "tell them apart",
            )
        names.add(route.name)


# Limits that contradict each other


@check("objective-beyond-timeout")
def _objective_beyond_timeout(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        if route.objective_s > route.timeout_s:
            yield (
                ("routes", index, "objective_s"),
                f"route {route.name!r}: the objective of {route.objective_s:.10g} s is "
                f"beyond the timeout of {route.timeout_s:.10g} s",
            )


@check("pause-beyond-timeout")
def _pause_beyond_timeout(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        if route.max_pause_s > route.timeout_s:
            yield (
                ("routes", index, "max_pause_s"),
                f"route {route.name!r}: the pause of {route.max_pause_s:.10g} s "
                f"between events is beyond the timeout of {route.timeout_s:.10g} s",
            )


@check("stream-options", Level.NOTE)
def _stream_options(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        if route.mode is calls.Mode.STREAM:
            continue
        for field, is_set in (
            ("is_resumable", route.is_resumable),
            ("max_pause_s", route.max_pause_s != 0),
        ):
            if is_set:
                text = (
                    f"route {route.name!r}: this has no effect, as it does not stream"
                )
                yield ("routes", index, field), text


@check("no-attempts")
def _no_attempts(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        if route.attempts == 0:
            text = f"route {route.name!r}: 0 attempts count as one"
            yield ("routes", index, "attempts"), text


@check("attempts-not-repeatable")
def _attempts_not_repeatable(inspection):
    for index, route in enumerate(inspection.configuration.routes):
        if route.attempts > 1 and not route.is_repeatable:
            yield (
                ("routes", index, "attempts"),
                f"route {route.name!r}: {route.attempts} attempts have no effect, as "
                "its calls must not run twice",
            )


@check("negative-value")
def _negative_value(inspection):
    for entry in inspection.entries:
        for name, value in entry.members_by_name.items():
            is_number = isinstance(value, (int, float))
            if is_number and value < 0 and entry.kind != "teams":
                location = (*entry.location, *name.split("."))
                yield location, f"{value:.10g} has no meaning, as it is below 0"


@check("impossible-limit")
def _impossible_limit(inspection):
    limits = inspection.configuration.limits
    for field in ("head_bytes", "body_bytes", "head_timeout_s", "idle_timeout_s"):
        # Without a body, requests still pass.
        if getattr(limits, field) == 0 and field != "body_bytes":
            yield ("limits", field), "no request can keep within a limit of 0"


@check("burst-below-call")
def _burst_below_call(inspection):
    for index, team in enumerate(inspection.configuration.teams):
        if not team.has_cap:
            continue
        usual = team.plain_tokens if team.is_token_metered else 1
        if team.burst < usual:
            unit = "tokens" if team.is_token_metered else "call"
            yield (
                ("teams", index, "burst"),
                f"team {team.name!r}: the burst of {team.burst:.10g} is less than the "
                f"{usual} {unit} that one request counts",
            )


@check("burst-below-engine", Level.NOTE)
def _burst_below_engine(inspection):
    """Report caps that refuse the longest requests that engines can take."""
    configuration = inspection.configuration
    capacity = max(
        (service.engine.token_capacity for _, service in _engines(inspection)),
        default=0,
    )
    for index, team in enumerate(configuration.teams):
        if team.has_cap and team.is_token_metered and team.burst < capacity:
            yield (
                ("teams", index, "burst"),
                f"team {team.name!r}: the burst of {team.burst:.10g} tokens is less "
                f"than a request can count, as an engine holds {capacity}",
            )


@check("cap-without-rate")
def _cap_without_rate(inspection):
    for index, team in enumerate(inspection.configuration.teams):
        if team.burst > 0 and not team.has_cap:
            text = f"team {team.name!r} has no cap, as its burst has no rate"
            yield ("teams", index, "burst"), text


@check("unused-plain-tokens", Level.NOTE)
def _unused_plain_tokens(inspection):
    for index, team in enumerate(inspection.configuration.teams):
        if team.plain_tokens and not (team.has_cap and team.is_token_metered):
            text = f"team {team.name!r}: this has no effect without a cap in tokens"
            yield ("teams", index, "plain_tokens"), text


@check("engine-without-slots")
def _engine_without_slots(inspection):
    for location, service in _engines(inspection):
        if service.engine.batch_slots == 0:
            text = f"the engines of service {service.name!r} have no room for a call"
            yield (*location, "batch_slots"), text


@check("no-store-loads", Level.NOTE)
def _no_store_loads(inspection):
    for location, service in _engines(inspection):
        if service.engine.models_by_name and service.engine.loads_per_s == 0:
            text = f"the weight store allows service {service.name!r} 0 loads a second"
            yield (*location, "loads_per_s"), text


@check("connections-below-slots")
def _connections_below_slots(inspection):
    for location, service in _engines(inspection):
        limit, slots = service.max_connections, service.engine.batch_slots
        if 0 < limit < slots:
            yield (
                (*location[:2], "max_connections"),
                f"service {service.name!r}: {limit} connections, each for one call at "
                f"a time, leave {slots - limit} of {slots} slots empty",
            )


@check("model-too-large")
def _model_too_large(inspection):
    entries_by_engine = _model_entries(inspection)
    for location, service in _engines(inspection):
        engine = service.engine
        adapters_mb = engine.adapters_mb
        for entry in entries_by_engine[location]:
            model = engine.models_by_name[entry.name]
            if model.memory_mb > engine.memory_mb - adapters_mb:
                yield (
                    (*entry.location, "memory_mb"),
                    f"model {model.name!r} of {model.memory_mb:.10g} MB fits into no "
                    f"engine of service {service.name!r} with {engine.memory_mb:.10g} "
                    f"MB, {adapters_mb:.10g} of them for adapters",
                )


@check("adapters-without-slots")
def _adapters_without_slots(inspection):
    for location, service in _engines(inspection):
        models = service.engine.models_by_name.values()
        count = sum(max(0, model.adapter_count) for model in models)
        if count and service.engine.adapter_places <= 0:
            yield (
                (*location, "adapter_places"),
                f"no engine of service {service.name!r} can hold any of the {count} "
                "adapters of its models",
            )


@check("load-beyond-timeout", Level.NOTE)
def _load_beyond_timeout(inspection):
    entries_by_engine = _model_entries(inspection)
    longest_s_by_service: dict[str, float] = collections.defaultdict(float)
    for route in inspection.configuration.routes:
        for target in route.targets:
            longest_s = max(longest_s_by_service[target.service], route.timeout_s)
            longest_s_by_service[target.service] = longest_s
    for location, service in _engines(inspection):
        longest_s = longest_s_by_service.get(service.name, float("inf"))
        for entry in entries_by_engine[location]:
            model = service.engine.models_by_name[entry.name]
            if model.store_load_s > longest_s:
                yield (
                    (*entry.location, "store_load_s"),
                    f"model {model.name!r} takes {model.store_load_s:.10g} s to load, "
                    f"longer than the timeouts of all routes to it ({longest_s:.10g} s "
                    "at most)",
                )


def _engines(inspection):
    """Yield the location of each engine with its service."""
    for index, service in enumerate(inspection.configuration.services):
        if service.engine is not None:
            yield ("services", index, "engine"), service


def _model_entries(inspection):
    """Return the entries of models by the location of their engine."""
    entries_by_engine = collections.defaultdict(list)
    for entry in inspection.entries:
        if entry.kind == "models":
            entries_by_engine[entry.location[:3]].append(entry)
    return entries_by_engine
