"""Text and JSON of the check of a configuration, in which no keys appear."""

import collections
import json

from kumquatproxy.fleet import configcheck, configdiff

MAX_NAMED_ROUTES = 3  # in the text; JSON has all of them
NOUN_BY_KIND = {
    "limits": "limits",
    "models": "model",
    "routes": "route",
    "services": "service",
    "teams": "team",
}


def answer(found, difference) -> dict:
    """Return the findings and the difference, None without one, for JSON."""
    counts = collections.Counter(finding.level.value for finding in found)
    return {
        "errors": counts["error"],
        "warnings": counts["warning"],
        "notes": counts["note"],
        "findings": [
            {
                "level": finding.level.value,
                "code": finding.code,
                "path": finding.path,
                "text": finding.text,
            }
            for finding in found
        ],
        "difference": None if difference is None else _difference_fields(difference),
    }


def lines(found, difference) -> list[str]:
    """Return the lines of text for people."""
    result = []
    for finding in found:
        place = f"{finding.path}: " if finding.path else ""
        level = finding.level.value
        result.append(f"{level}: {place}{_printable(finding.text)} [{finding.code}]")
    counts = collections.Counter(finding.level for finding in found)
    result.append(
        ", ".join(_counted(counts[level], level.value) for level in configcheck.Level)
    )
    if difference is not None:
        result.extend(_difference_lines(difference))
    return result


def _difference_fields(difference):
    return {
        "old_version": difference.old_version,
        "new_version": difference.new_version,
        "changes": [_change_fields(change) for change in difference.changes],
    }


def _change_fields(change):
    return {
        "action": change.action,
        "kind": NOUN_BY_KIND[change.entry.kind],
        "service": change.entry.service or None,
        "name": change.entry.name,
        "members": [
            {"name": member.name, **_value_fields(member)} for member in change.members
        ],
        "affected": {**change.counts_by_kind, "route_names": change.routes},
    }


def _value_fields(member):
    if isinstance(member.old, frozenset) or isinstance(member.new, frozenset):
        old, new = member.old or frozenset(), member.new or frozenset()
        return {
            "old": {"keys": len(old)},
            "new": {"keys": len(new)},
            "keys_added": len(new - old),
            "keys_removed": len(old - new),
        }
    return {"old": member.old, "new": member.new}


def _difference_lines(difference):
    yield f"version {difference.old_version} in force -> {difference.new_version}"
    if not difference.changes:
        yield "no entry differs"
    for change in difference.changes:
        noun = NOUN_BY_KIND[change.entry.kind]
        name = "" if noun == "limits" else f" {change.entry.name!r}"
        service = change.entry.service
        owner = f" of service {service!r}" if service else ""
        yield f"{change.action}: {noun}{name}{owner}{_affected(change)}"
        for member in change.members:
            yield f"  {member.name}: {_value_text(member)}"


def _affected(change):
    counts = [
        _counted(count, NOUN_BY_KIND.get(kind, "key"))
        for kind, count in change.counts_by_kind.items()
    ]
    if not counts:
        return ""
    named = ", ".join(repr(name) for name in change.routes[:MAX_NAMED_ROUTES])
    further = ", ..." if len(change.routes) > MAX_NAMED_ROUTES else ""
    names = f": {named}{further}" if named else ""
    return f" (affects {', '.join(counts)}{names})"


def _value_text(member):
    fields = _value_fields(member)
    if "keys_added" in fields:
        return (
            f"{_counted(fields['old']['keys'], 'key')} -> "
            f"{_counted(fields['new']['keys'], 'key')} "
            f"({fields['keys_added']} added, {fields['keys_removed']} removed)"
        )
    return " -> ".join(
        "not set" if value is configdiff.MISSING else json.dumps(value)
        for value in (member.old, member.new)
    )


def _counted(count, noun):
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def _printable(text):
    """Return a text without characters that control a terminal."""
    return "".join(
        char if char.isprintable() else f"\\x{ord(char):02x}" for char in text
    )
