"""Which parts of prompts backend servers probably keep.

Load pattern: many calls begin with the same parts. A server that has read them for
the same weights does not read them again.
"""

import collections

from kumquatproxy.gateway import calls

# Parts remembered for each server and model; far more than its memory can hold.
MAX_PARTS = 1000


class PartMemory:
    """Remember, for each server and model, the parts that were sent there last."""

    __slots__ = ("_parts_by_place",)

    def __init__(self):
        self._parts_by_place: dict[tuple, collections.OrderedDict] = {}

    def note(self, instance_id: str, need: calls.ModelNeed) -> None:
        """Note that a server reads the prompt of a call."""
        place = (instance_id, need.key())
        parts = self._parts_by_place.setdefault(place, collections.OrderedDict())
        for part in need.parts:
            parts[part.part_id] = None
            parts.move_to_end(part.part_id)
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)

    def kept_tokens(self, instance_id: str, need: calls.ModelNeed) -> int:
        """Return the tokens at the start of a prompt that a server probably keeps."""
        parts = self._parts_by_place.get((instance_id, need.key()))
        if not parts:
            return 0
        tokens = 0
        for part in need.parts:
            if part.part_id not in parts:
                break
            tokens += part.tokens
        return tokens

    def forget(self, instance_id: str) -> None:
        """Drop what is remembered of a server that is gone or was restarted."""
        for place in [one for one in self._parts_by_place if one[0] == instance_id]:
            del self._parts_by_place[place]
