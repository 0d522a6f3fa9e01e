"""Bounded queue with priority classes, starvation protection and weighted fairness."""

import collections

CLASS_BY_PRIORITY = (0, 0, 0, 0, 1, 1, 1, 2, 2, 2)  # low, normal, high
CLASS_COUNT = 3
LOWEST_CLASS_INTERVAL = 20  # every 20th pop serves the lowest waiting class


def priority_class(priority: int) -> int:
    """Return 0 (low), 1 (normal) or 2 (high)."""
    return CLASS_BY_PRIORITY[min(max(priority, 0), 9)]


class Flow:
    """Queued entries of one organisation's service in one priority class."""

    __slots__ = ("entries", "key", "next_virtual_start")

    def __init__(self, key):
        self.key: tuple[str, str] = key
        self.entries: collections.deque = collections.deque()
        # Amount of weighted service in the class after which the next entry is due.
        self.next_virtual_start: float = 0.0


class FairQueue:
    """Order entries by priority class, then by start-time fair queueing over flows.

    Entries are objects with a ``request`` attribute. Each counts as 1 divided by the
    weight of its flow, so that each flow gets its weighted share regardless of the
    other flows' load.
    """

    __slots__ = (
        "_flows_by_class",
        "_pop_count",
        "_virtual_times",
        "limit",
        "size",
        "weights",
    )

    def __init__(self, limit, weights=None):
        self.limit: int = limit
        self.size: int = 0
        self.weights: dict[tuple[str, str], float] = weights or {}
        self._flows_by_class: list[dict[tuple[str, str], Flow]] = [
            {} for _ in range(CLASS_COUNT)
        ]
        self._virtual_times: list[float] = [0.0] * CLASS_COUNT
        self._pop_count: int = 0

    def ahead(self, priority: int) -> int:
        """Return the number of queued entries of the same class or a higher one."""
        lowest_index = priority_class(priority)
        return sum(
            len(flow.entries)
            for flows in self._flows_by_class[lowest_index:]
            for flow in flows.values()
        )

    def push(self, entry):
        """Add an entry; return the entry that is dropped for it, or None.

        A full queue drops the newest entry of the longest flow in the lowest class.
        The length of a flow is its number of entries over its weight. The new entry is
        dropped instead if all queued entries are of higher classes, or if the longest
        flow is of the new entry's class and no longer than the new entry's flow would
        be with it.
        """
        class_index = priority_class(entry.request.priority)
        key = (entry.request.organisation, entry.request.service)
        displaced = None
        if self.size >= self.limit:
            displaced = self._displace_entry(class_index, key)
            if displaced is None:
                return entry
        flows = self._flows_by_class[class_index]
        flow = flows.get(key)
        if flow is None:
            flow = flows[key] = Flow(key)
            flow.next_virtual_start = self._virtual_times[class_index]
        flow.entries.append(entry)
        self.size += 1
        return displaced

    def pop(self, has_capacity=lambda class_index: True):
        """Remove and return the next entry of a class with capacity, or return None."""
        waiting_classes = [
            class_index
            for class_index in range(CLASS_COUNT)
            if self._flows_by_class[class_index] and has_capacity(class_index)
        ]
        if not waiting_classes:
            return None
        self._pop_count += 1
        class_index = (
            waiting_classes[0]
            if self._pop_count % LOWEST_CLASS_INTERVAL == 0
            else waiting_classes[-1]
        )
        flows = self._flows_by_class[class_index]
        flow = min(flows.values(), key=lambda flow: flow.next_virtual_start)
        entry = flow.entries.popleft()
        self.size -= 1
        self._virtual_times[class_index] = max(
            self._virtual_times[class_index], flow.next_virtual_start
        )
        flow.next_virtual_start += 1.0 / self.weights.get(flow.key, 1.0)
        if not flow.entries:
            # A flow that becomes active again starts at the current virtual time, so
            # that it cannot accumulate credit while idle.
            del flows[flow.key]
        return entry

    def remove(self, entry) -> bool:
        """Remove an entry from the queue; return whether it was queued."""
        class_index = priority_class(entry.request.priority)
        key = (entry.request.organisation, entry.request.service)
        flow = self._flows_by_class[class_index].get(key)
        if flow is None or entry not in flow.entries:
            return False
        flow.entries.remove(entry)
        self.size -= 1
        if not flow.entries:
            del self._flows_by_class[class_index][key]
        return True

    def _displace_entry(self, class_index, key):
        for lower_index in range(class_index + 1):
            flows = self._flows_by_class[lower_index]
            if not flows:
                continue
            longest = max(flows.values(), key=self._weighted_length)
            own_flow = flows.get(key)
            if lower_index == class_index:
                length = self._weighted_length(own_flow) if own_flow else 0.0
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
