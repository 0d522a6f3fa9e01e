"""A bounded queue with priority classes, a floor for the lowest, and fair shares."""

import collections

CLASS_BY_PRIORITY = (0, 0, 0, 0, 1, 1, 1, 2, 2, 2)  # low, normal, high
CLASSES = 3
FLOOR_EVERY = 20  # each 20th request is taken from the lowest class that waits


def priority_class(priority: int) -> int:
    """Return 0 (low), 1 (normal) or 2 (high)."""
    return CLASS_BY_PRIORITY[min(max(priority, 0), 9)]


class Flow:
    """Hold the waiting entries of one organisation's service in one class."""

    __slots__ = ("entries", "key", "virtual_finish")

    def __init__(self, key):
        self.key: tuple[str, str] = key
        self.entries: collections.deque = collections.deque()
        self.virtual_finish: float = 0.0


class FairQueue:
    """Order entries by class, then by start-time fair queueing over the flows.

    An entry has ``request``; the cost of an entry is divided by the weight of its
    flow, so that each flow gets its weighted share whatever the others offer.
    """

    __slots__ = ("_flows_by_class", "_taken", "_virtual", "limit", "size", "weights")

    def __init__(self, limit, weights=None):
        self.limit: int = limit
        self.size: int = 0
        self.weights: dict[tuple[str, str], float] = weights or {}
        self._flows_by_class: list[dict[tuple[str, str], Flow]] = [
            {} for _ in range(CLASSES)
        ]
        self._virtual: list[float] = [0.0] * CLASSES
        self._taken: int = 0

    def ahead(self, priority: int) -> int:
        """Return how many waiting entries have the same class or a higher one."""
        lowest = priority_class(priority)
        return sum(
            len(flow.entries)
            for flows in self._flows_by_class[lowest:]
            for flow in flows.values()
        )

    def push(self, entry):
        """Add an entry; return the entry that found no place, or None.

        In a full queue the newest entry of the longest flow in the lowest class
        gives way, unless that class is above the new entry's.
        """
        level = priority_class(entry.request.priority)
        key = (entry.request.organisation, entry.request.service)
        displaced = None
        if self.size >= self.limit:
            displaced = self._displace(level, key)
            if displaced is None:
                return entry
        flows = self._flows_by_class[level]
        flow = flows.get(key)
        if flow is None:
            flow = flows[key] = Flow(key)
            flow.virtual_finish = self._virtual[level]
        flow.entries.append(entry)
        self.size += 1
        return displaced

    def pop(self, has_room=lambda level: True):
        """Take the next entry of a class that ``has_room``, or return None."""
        levels = [
            level
            for level in range(CLASSES)
            if self._flows_by_class[level] and has_room(level)
        ]
        if not levels:
            return None
        self._taken += 1
        level = levels[0] if self._taken % FLOOR_EVERY == 0 else levels[-1]
        flows = self._flows_by_class[level]
        flow = min(flows.values(), key=lambda flow: flow.virtual_finish)
        entry = flow.entries.popleft()
        self.size -= 1
        self._virtual[level] = max(self._virtual[level], flow.virtual_finish)
        flow.virtual_finish += 1.0 / self.weights.get(flow.key, 1.0)
        if not flow.entries:
            # An idle flow starts again at the current virtual time, so that it
            # cannot save up a share that it did not use.
            del flows[flow.key]
        return entry

    def remove(self, entry) -> bool:
        """Take a given entry out of the queue; return whether it was there."""
        level = priority_class(entry.request.priority)
        key = (entry.request.organisation, entry.request.service)
        flow = self._flows_by_class[level].get(key)
        if flow is None or entry not in flow.entries:
            return False
        flow.entries.remove(entry)
        self.size -= 1
        if not flow.entries:
            del self._flows_by_class[level][key]
        return True

    def _displace(self, level, key):
        for lower in range(level + 1):
            flows = self._flows_by_class[lower]
            if not flows:
                continue
            longest = max(flows.values(), key=self._weighted_length)
            own = flows.get(key)
            if lower == level:
                length = self._weighted_length(own) if own else 0.0
                weight = self.weights.get(key, 1.0)
                if self._weighted_length(longest) <= length + 1.0 / weight:
                    return None
            entry = longest.entries.pop()
            self.size -= 1
            if not longest.entries:
                del flows[longest.key]
            return entry
        return None

    def _weighted_length(self, flow):
        return len(flow.entries) / self.weights.get(flow.key, 1.0)
