"""Heartbeats of backend servers in the platform's JSON."""

import orjson

from kumquatproxy.fleet import servers
from kumquatproxy.platform import configformat

STATES = {"ready": servers.ServerState.READY, "draining": servers.ServerState.LEAVING}


def parse(instance_id: str, data: bytes) -> servers.Announcement:
    """Return what a server says of itself; raise ProxyError if it is malformed."""
    try:
        plain = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise configformat.invalid(f"the heartbeat is not JSON: {error}") from None
    reader = configformat.Reader(plain, "the heartbeat")
    state = reader.text("state")
    if state not in STATES:
        raise configformat.invalid(f"state {state!r} is unknown")
    at_hand = reader.object("at_hand", {})
    remaining_ms = reader.number("remaining_ms", None)
    return servers.Announcement(
        instance_id,
        reader.text("backend"),
        reader.text("address"),
        reader.text("zone"),
        reader.whole("born", 0),
        reader.whole("sequence"),
        reader.whole("slots", 0),
        STATES[state],
        models(reader),
        at_hand.get("in_memory", list, []),
        at_hand.get("on_disk", list, []),
        remaining_ms / 1000 if remaining_ms is not None else None,
        reader.flag("busy"),
    )


def models(reader) -> list[list]:
    """Return [name, version, adapters] of each resident model."""
    return [
        [one.text("name"), one.whole("version", 0), one.get("adapters", list, [])]
        for one in reader.objects("models", [])
    ]


def parse_leaving(data: bytes) -> int:
    """Return the birth that a server states when it leaves, 0 if it states none."""
    try:
        plain = orjson.loads(data) if data else {}
    except orjson.JSONDecodeError:
        return 0  # the id in the path is enough to know who leaves
    born_ms = plain.get("born") if isinstance(plain, dict) else None
    return born_ms if isinstance(born_ms, int) else 0
