"""Heartbeats of backend servers in the platform's JSON."""

import orjson

from kumquatproxy.fleet import servers
from kumquatproxy.platform import configformat

STATES = {"ready": servers.ServerState.READY, "draining": servers.ServerState.LEAVING}


def parse(instance_id: str, data: bytes) -> servers.Announcement:
    """Return the announcement in a heartbeat; raise ProxyError if it is malformed."""
    try:
        decoded = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise configformat.invalid(f"the heartbeat is not JSON: {error}") from None
    reader = configformat.Reader(decoded, "the heartbeat")
    state = reader.text("state")
    if state not in STATES:
        raise configformat.invalid(f"state {state!r} is unknown")
    at_hand = reader.object("at_hand", {})
    remaining_ms = reader.number("remaining_ms", None)
    announcement = servers.Announcement(
        instance_id,
        reader.text("backend"),
        reader.text("address"),
        reader.text("zone"),
        reader.integer("born", 0),
        reader.integer("sequence"),
        reader.integer("slots", 0),
        STATES[state],
        models(reader),
        at_hand.get("in_memory", list, []),
        at_hand.get("on_disk", list, []),
        remaining_ms / 1000 if remaining_ms is not None else None,
        reader.boolean("busy"),
        reader.text("version", ""),
    )
    try:
        servers.check(announcement.values_by_field())
    except ValueError as error:
        raise configformat.invalid(f"the heartbeat: {error}") from None
    return announcement


def models(reader) -> list[list]:
    """Return [name, version, adapters] of each model the server has loaded."""
    return [
        [
            model.text("name"),
            model.integer("version", 0),
            model.get("adapters", list, []),
        ]
        for model in reader.objects("models", [])
    ]


def parse_deregistration(data: bytes) -> int:
    """Return the start time of the server in ms, or 0 if missing or malformed."""
    try:
        decoded = orjson.loads(data) if data else {}
    except orjson.JSONDecodeError:
        return 0  # accepted: the instance id in the path identifies the server
    born_ms = decoded.get("born") if isinstance(decoded, dict) else None
    return servers.start_time_ms(born_ms)
