"""The operator's configuration: routes, services, limits, and their validation."""

import collections.abc
import hashlib
import math
import re
import secrets

from kumquatproxy import errors, records
from kumquatproxy.gateway import calls

# Keys are held as digests under a secret of the process, so that no log line, metric or
# memory dump of one host shows a key, and the time of a comparison tells nothing.
_DIGEST_KEY = secrets.token_bytes(32)
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")
DUPLICATE_SERVICE, DUPLICATE_TEAM = "duplicate-service", "duplicate-team"
DUPLICATE_CODES = (DUPLICATE_SERVICE, DUPLICATE_TEAM)
# Stands for the version of a host without a configuration. Below each version that a
# configuration may have.
NO_VERSION = -(2**63)


def version_or_none(version: int) -> int | None:
    """Return a version for operators, None for NO_VERSION."""
    return None if version == NO_VERSION else version


def digest_key(key: str) -> bytes:
    """Return the digest under which this process holds a key of a team."""
    return hashlib.blake2b(key.encode(), key=_DIGEST_KEY, digest_size=16).digest()


class Target(records.Record):
    """Describe a target service of a route and its weight."""

    __slots__ = ("service", "weight")

    def __init__(self, service, weight=1.0):
        self.service: str = service
        self.weight: float = weight


class Route(records.Record):
    """Describe a route."""

    __slots__ = (
        "attempts",
        "host",
        "is_public",
        "is_resumable",
        "is_sticky",
        "max_pause_s",
        "mode",
        "name",
        "objective_s",
        "path_prefix",
        "patience_s",
        "priority",
        "targets",
        "timeout_s",
    )

    def __init__(
        self,
        name,
        host,
        path_prefix,
        mode,
        targets,
        timeout_s,
        objective_s=0.0,
        priority=0,
        attempts=1,
        is_sticky=False,
        is_resumable=False,
        max_pause_s=0.0,
        patience_s=math.inf,
        is_public=False,
    ):
        self.name: str = name
        self.host: str = host
        self.path_prefix: str = path_prefix
        self.mode: calls.Mode = mode
        self.targets: list[Target] = list(targets)
        self.timeout_s: float = timeout_s
        self.objective_s: float = objective_s  # latency within which an answer counts
        self.priority: int = priority  # 0 is the most urgent
        self.attempts: int = attempts  # limit of backend servers tried for a call
        self.is_sticky: bool = is_sticky
        self.is_resumable: bool = is_resumable
        self.max_pause_s: float = max_pause_s  # between two events of a stream
        # Time without an event after which callers leave a stream.
        self.patience_s: float = patience_s
        self.is_public: bool = is_public  # callers need no key of a team

    @property
    def is_repeatable(self) -> bool:
        """Return whether a call may be executed more than once."""
        if self.mode is calls.Mode.STREAM:
            return self.is_resumable
        return self.mode is calls.Mode.SAFE


class Model(records.Record):
    """Describe a model that a service offers."""

    __slots__ = (
        "adapter_count",
        "adapter_mb",
        "disk_load_s",
        "memory_load_s",
        "memory_mb",
        "name",
        "store_load_s",
    )

    def __init__(
        self,
        name,
        memory_mb,
        store_load_s,
        disk_load_s=0.0,
        memory_load_s=0.0,
        adapter_count=0,
        adapter_mb=0.0,
    ):
        self.name: str = name
        self.memory_mb: float = memory_mb
        self.store_load_s: float = store_load_s
        self.disk_load_s: float = disk_load_s or store_load_s
        self.memory_load_s: float = memory_load_s or self.disk_load_s
        self.adapter_count: int = adapter_count
        self.adapter_mb: float = adapter_mb


class Engine(records.Record):
    """Describe the engines of a model service, which are all alike."""

    __slots__ = (
        "adapter_places",
        "batch_slots",
        "disk_cache_mb",
        "loads_per_s",
        "memory_cache_mb",
        "memory_mb",
        "models_by_name",
        "token_capacity",
        "tokens_per_event",
    )

    def __init__(
        self,
        models,
        memory_mb,
        batch_slots,
        token_capacity,
        adapter_places=0,
        loads_per_s=0.0,
        tokens_per_event=1,
        memory_cache_mb=0.0,
        disk_cache_mb=0.0,
    ):
        self.models_by_name: dict[str, Model] = {model.name: model for model in models}
        self.memory_mb: float = memory_mb
        self.batch_slots: int = batch_slots
        self.token_capacity: int = token_capacity
        self.adapter_places: int = adapter_places
        self.loads_per_s: float = loads_per_s  # limit of the store, all servers
        self.tokens_per_event: int = tokens_per_event
        self.memory_cache_mb: float = memory_cache_mb
        self.disk_cache_mb: float = disk_cache_mb

    @property
    def adapters_mb(self) -> float:
        """Return the memory of all adapter slots, each with the largest adapter."""
        models = self.models_by_name.values()
        return self.adapter_places * max(
            (model.adapter_mb for model in models), default=0.0
        )


class Service(records.Record):
    """Describe a service; ``engine`` is None if it does not serve models."""

    __slots__ = ("engine", "health_path", "max_connections", "name")

    def __init__(self, name, health_path="", max_connections=0, engine=None):
        self.name: str = name
        self.health_path: str = health_path
        self.max_connections: int = max_connections  # to one server from all callers
        self.engine: Engine | None = engine


class Team(records.Record):
    """Describe a team: its keys, its rank and the usage cap of all its calls.

    The cap allows ``burst`` at once and ``rate_per_s`` over time, by all hosts together
    and counted in calls or in tokens; without a rate there is none.
    """

    __slots__ = (
        "burst",
        "is_token_metered",
        "key_digests",
        "name",
        "plain_tokens",
        "priority",
        "rate_per_s",
    )

    def __init__(
        self,
        name,
        key_digests,
        priority=None,
        rate_per_s=0.0,
        burst=0.0,
        is_token_metered=False,
        plain_tokens=0,
    ):
        self.name: str = name
        self.key_digests: frozenset[bytes] = frozenset(key_digests)
        # Goes before the priority of a route; None leaves that in force.
        self.priority: int | None = priority
        self.rate_per_s: float = rate_per_s
        self.burst: float = burst
        self.is_token_metered: bool = is_token_metered
        self.plain_tokens: int = plain_tokens  # of a call that states no tokens

    @property
    def has_cap(self) -> bool:
        """Return whether the usage of the team is limited."""
        return self.rate_per_s > 0.0


class Limits(records.Record):
    """Limit the size and the duration of requests of callers."""

    __slots__ = ("body_bytes", "head_bytes", "head_timeout_s", "idle_timeout_s")

    def __init__(
        self,
        head_bytes=16384,
        body_bytes=4 * 1024 * 1024,
        head_timeout_s=3.0,
        idle_timeout_s=15.0,
    ):
        self.head_bytes: int = head_bytes
        self.body_bytes: int = body_bytes
        self.head_timeout_s: float = head_timeout_s
        self.idle_timeout_s: float = idle_timeout_s


class Configuration:
    """Hold one version of the operator's configuration."""

    __slots__ = (
        "has_teams",
        "limits",
        "routes",
        "routes_by_host",
        "services",
        "services_by_name",
        "teams",
        "teams_by_digest",
        "teams_by_name",
        "version",
    )

    def __init__(self, version, routes, services, limits=None, teams=None):
        self.version: int = version
        self.routes: list[Route] = list(routes)
        self.services: list[Service] = list(services)
        self.services_by_name: dict[str, Service] = {
            service.name: service for service in self.services
        }
        self.limits: Limits = limits or Limits()
        # Without teams, callers need no key and headers of callers pass unchanged.
        self.has_teams: bool = teams is not None
        self.teams: list[Team] = list(teams or ())
        self.teams_by_name: dict[str, Team] = {team.name: team for team in self.teams}
        self.teams_by_digest: dict[bytes, Team] = {
            digest: team for team in self.teams for digest in team.key_digests
        }
        # Sorted by decreasing prefix length, so the first match is the longest.
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            self.routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class Fault(records.Record):
    """Describe a fault for which a configuration is refused.

    ``location`` leads from the configuration to the field, by the names of fields and
    the indices of entries: ``("routes", 3, "timeout_s")``.
    """

    __slots__ = ("code", "location", "text")

    def __init__(self, code, location, text):
        self.code: str = code
        self.location: tuple[str | int, ...] = location
        self.text: str = text


def check(configuration: Configuration) -> None:
    """Validate a configuration; raise ProxyError that lists all faults."""
    texts: list[str] = []
    for fault in faults(configuration):
        # The text does not tell which name it is, so one of them is enough.
        if fault.code in DUPLICATE_CODES and fault.text in texts:
            continue
        texts.append(fault.text)
    if texts:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION, "; ".join(texts)
        )


def faults(configuration: Configuration) -> collections.abc.Iterator[Fault]:
    """Yield the faults for which a configuration is refused."""
    for index in _duplicate_indices(configuration.services):
        location = ("services", index, "name")
        yield Fault(DUPLICATE_SERVICE, location, "duplicate service name")
    for index in _duplicate_indices(configuration.teams):
        yield Fault(DUPLICATE_TEAM, ("teams", index, "name"), "duplicate team name")
    yield from _team_faults(configuration)
    seen = set()
    for index, route in enumerate(configuration.routes):
        yield from _route_faults(index, route, configuration)
        host_and_prefix = (route.host, route.path_prefix)
        if host_and_prefix in seen:
            yield Fault(
                "duplicate-route",
                ("routes", index, "path_prefix"),
                f"route {route.name!r} duplicates host and prefix "
                f"{route.path_prefix!r}",
            )
        seen.add(host_and_prefix)


def _duplicate_indices(entries):
    """Yield the index of each entry with the name of an earlier one."""
    names = set()
    for index, entry in enumerate(entries):
        if entry.name in names:
            yield index
        names.add(entry.name)


def _team_faults(configuration):
    """Yield the faults of teams, which never show a key."""
    holder_by_digest: dict[bytes, str] = {}
    reported = set()
    index_by_name = {team.name: index for index, team in enumerate(configuration.teams)}
    for team in configuration.teams_by_name.values():
        location = ("teams", index_by_name[team.name])
        if (
            not team.name
            or team.name != team.name.strip()
            or _CONTROL.search(team.name)
        ):
            yield Fault(
                "team-name",
                (*location, "name"),
                f"the team name {team.name!r} does not fit into a header",
            )
        if min(team.rate_per_s, team.burst, team.plain_tokens) < 0:
            yield Fault(
                "negative-cap",
                location,
                f"team {team.name!r} has a negative rate, burst or number of tokens",
            )
        for digest in team.key_digests:
            holder = holder_by_digest.setdefault(digest, team.name)
            if holder != team.name and (holder, team.name) not in reported:
                reported.add((holder, team.name))
                yield Fault(
                    "shared-key",
                    (*location, "key_digests"),
                    f"teams {holder!r} and {team.name!r} share a key",
                )


def _route_faults(index, route, configuration):
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield Fault(
            "prefix-without-slash",
            ("routes", index, "path_prefix"),
            f"route {route.name!r}: prefix {prefix!r} must start and end with a slash",
        )
    if route.timeout_s <= 0:
        yield Fault(
            "no-timeout",
            ("routes", index, "timeout_s"),
            f"route {route.name!r} needs a positive timeout",
        )
    for position, target in enumerate(route.targets):
        if target.service not in configuration.services_by_name:
            yield Fault(
                "unknown-service",
                ("routes", index, "targets", position, "service"),
                f"route {route.name!r} refers to unknown service {target.service!r}",
            )
    weights = [target.weight for target in route.targets]
    if not weights or min(weights) < 0 or sum(weights) <= 0:
        yield Fault(
            "weights",
            ("routes", index, "targets"),
            f"route {route.name!r} needs weights of 0 or more with a positive sum",
        )
