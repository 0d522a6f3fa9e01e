"""Estimate of the prompt prefixes in the KV caches of backend servers.

Many calls begin with the same prompt parts. A server that has processed them for the
same model and adapter can skip their prefill.
"""

import collections

from kumquatproxy.gateway import calls

# Limit per server and model, far above what a server's memory can hold.
MAX_PARTS_PER_MODEL = 1000


class PrefixCacheTracker:
    """Track the prompt parts last sent to each server and model."""

    __slots__ = ("_parts_by_server_model",)

    def __init__(self):
        self._parts_by_server_model: dict[tuple, collections.OrderedDict] = {}

    def record(self, instance_id: str, need: calls.ModelNeed) -> None:
        """Record the prompt parts of a call that is sent to a server."""
        key = (instance_id, need.key())
        parts = self._parts_by_server_model.setdefault(key, collections.OrderedDict())
        for part in need.parts:
            parts[part.part_id] = None
            parts.move_to_end(part.part_id)
        while len(parts) > MAX_PARTS_PER_MODEL:
            parts.popitem(last=False)

    def cached_tokens(self, instance_id: str, need: calls.ModelNeed) -> int:
        """Return the length in tokens of the prompt prefix that is probably cached."""
        parts = self._parts_by_server_model.get((instance_id, need.key()))
        if not parts:
            return 0
        tokens = 0
        for part in need.parts:
            if part.part_id not in parts:
                break
            tokens += part.tokens
        return tokens

    def remove_server(self, instance_id: str) -> None:
        """Remove the entries of a server that is gone or was restarted."""
        for key in [
            key for key in self._parts_by_server_model if key[0] == instance_id
        ]:
            del self._parts_by_server_model[key]
