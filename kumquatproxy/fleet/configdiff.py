"""Difference between two configurations by entry, and who is affected; without I/O."""

import collections
import collections.abc
import typing

from kumquatproxy import records

ADDED, REMOVED, CHANGED = "added", "removed", "changed"
MISSING: typing.Any = None  # value of a member that an entry does not have


class MemberChange(records.Record):
    """Hold the old and the new value of a member of an entry."""

    __slots__ = ("name", "new", "old")

    def __init__(self, name, old, new):
        self.name: str = name
        self.old: typing.Any = old
        self.new: typing.Any = new


class Change(records.Record):
    """Describe an entry that differs, and count the routes, teams and keys affected."""

    __slots__ = ("action", "counts_by_kind", "entry", "members", "routes")

    def __init__(self, action, entry, members, counts_by_kind, routes=()):
        self.action: str = action
        self.entry = entry  # dialects.Entry, the old one if it was removed
        self.members: list[MemberChange] = members  # empty unless it was changed
        self.counts_by_kind: dict[str, int] = counts_by_kind
        self.routes: list[str] = list(routes)  # names of those that are affected


class Difference(records.Record):
    """Hold the differences between the version in force and a new one."""

    __slots__ = ("changes", "new_version", "old_version")

    def __init__(self, old_version, new_version, changes):
        self.old_version: int = old_version
        self.new_version: int = new_version
        self.changes: list[Change] = changes


def compare(old, new) -> Difference:
    """Return the difference between two dialects.Inspections without read faults.

    Entries with the same kind and name belong together, in their order.
    """
    old_entries, new_entries = _by_key(old.entries), _by_key(new.entries)
    scope = _Scope(old.configuration, new.configuration)
    changes = []
    for key, entry in old_entries.items():
        if key not in new_entries:
            changes.append(scope.change(REMOVED, entry, []))
    for key, entry in new_entries.items():
        earlier = old_entries.get(key)
        if earlier is None:
            changes.append(scope.change(ADDED, entry, []))
            continue
        members = _changed_members(earlier.members_by_name, entry.members_by_name)
        if members:
            changes.append(scope.change(CHANGED, entry, members, earlier))
    return Difference(old.configuration.version, new.configuration.version, changes)


def _by_key(entries):
    """Return the entries by service, kind, name and number among those alike."""
    counts: collections.Counter = collections.Counter()
    entries_by_key = {}
    for entry in entries:
        key = (entry.service, entry.kind, entry.name)
        entries_by_key[*key, counts[key]] = entry
        counts[key] += 1
    return entries_by_key


def _changed_members(old, new):
    return [
        MemberChange(name, old.get(name, MISSING), new.get(name, MISSING))
        for name in {**old, **new}
        if old.get(name, MISSING) != new.get(name, MISSING)
    ]


class _Scope:
    """Find who is affected by a change of an entry, in either configuration."""

    __slots__ = ("counts_by_kind", "is_guarded", "public_routes", "routes_by_service")

    def __init__(self, old, new):
        routes = [route for each in (old, new) for route in each.routes]
        names_by_service: dict = collections.defaultdict(dict)
        for route in routes:
            for target in route.targets:
                names_by_service[target.service][route.name] = None
        # Names in the order of the configurations, each once.
        self.routes_by_service: dict[str, list[str]] = {
            service: list(names) for service, names in names_by_service.items()
        }
        guarded_names = {route.name for route in routes if not route.is_public}
        names = {route.name for route in routes}
        self.public_routes: set[str] = names - guarded_names
        self.is_guarded: bool = old.has_teams or new.has_teams
        teams = [*old.teams, *new.teams]
        digests = {digest for team in teams for digest in team.key_digests}
        self.counts_by_kind: dict[str, int] = {
            "routes": len(names),
            "teams": len({team.name for team in teams}),
            "keys": len(digests),
        }

    def change(self, action, entry, members, earlier=None):
        """Return the change of an entry, with those that it affects."""
        counts, routes = AFFECTED_BY_KIND[entry.kind](self, entry, earlier)
        return Change(action, entry, members, counts, routes)


# Functions that return counts by kind and names of routes.
AFFECTED_BY_KIND: dict[str, collections.abc.Callable] = {}


def affected(*kinds: str):
    """Return a decorator that registers a function for the entries of some kinds."""

    def add(function):
        AFFECTED_BY_KIND.update(dict.fromkeys(kinds, function))
        return function

    return add


@affected("models", "services")
def _affected_by_service(scope, entry, earlier):
    routes = scope.routes_by_service.get(entry.service or entry.name, [])
    return {"routes": len(routes)}, routes


@affected("routes")
def _affected_by_route(scope, entry, earlier):
    if not scope.is_guarded or entry.name in scope.public_routes:
        return {}, []
    return {kind: scope.counts_by_kind[kind] for kind in ("teams", "keys")}, []


@affected("teams")
def _affected_by_team(scope, entry, earlier):
    digests: set[bytes] = set()
    for each in filter(None, (entry, earlier)):
        values = each.members_by_name.values()
        digests.update(*(value for value in values if isinstance(value, frozenset)))
    return {"keys": len(digests)}, []


@affected("limits")
def _affected_by_limits(scope, entry, earlier):
    return {"routes": scope.counts_by_kind["routes"]}, []
