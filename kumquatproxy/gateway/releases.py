"""Calls that wait for a model, and what is sent when a server has loaded it.

The load it answers: calls for a model in demand wait at all hosts until one server has
loaded it, and are then sent there within a tenth of a second. Hosts learn of each
other's calls later than that. Each host therefore expects as many calls at the others
as wait beside a call here, and draws the call's place among them.
"""

from kumquatproxy.gateway import calls

# Other hosts' calls are part of the pushed load after this time.
RELEASE_S = 0.5


class WaitingCall:
    """Hold a call that waits for a model."""

    __slots__ = ("place", "priority")

    def __init__(self, place: float, priority: int):
        self.place: float = place  # drawn from 0 to 1 among the calls of all hosts
        self.priority: int = priority


class Release:
    """Hold the ranks of the calls that waited when a server had their model."""

    __slots__ = ("ends_at", "priorities")

    def __init__(self, ends_at: float, priorities: list[int]):
        self.ends_at: float = ends_at
        self.priorities: list[int] = priorities


class Releases:
    """Predict the work of calls that all hosts send to a server with a new model."""

    __slots__ = ("_release_by_key", "_waiting_by_call", "host_count")

    def __init__(self):
        self.host_count = 1  # that send to the same servers
        self._waiting_by_call: dict[calls.Call, WaitingCall] = {}
        self._release_by_key: dict[tuple, Release] = {}

    def __len__(self):
        return len(self._waiting_by_call)

    def begin_wait(self, call: calls.Call, place: float) -> None:
        """Count a call that waits for a model, unless it is counted already."""
        if call.need is not None and call not in self._waiting_by_call:
            self._waiting_by_call[call] = WaitingCall(place, call.priority)

    def end_wait(self, call: calls.Call) -> None:
        """Forget a call that is sent, rejected or left."""
        self._waiting_by_call.pop(call, None)

    def ahead_s(
        self, call: calls.Call, work_s: float, server_count: int, now: float
    ) -> float:
        """Return the work of other hosts' calls that is expected ahead of a call.

        ``work_s`` is the work of one call, and ``server_count`` the number of servers
        that have the model.
        """
        waiting = self._waiting_by_call.get(call)
        if waiting is None:
            return 0.0
        release = self._release(_key(call), now)
        beside = sum(rank <= waiting.priority for rank in release.priorities) - 1
        others = (self.host_count - 1) * max(0, beside)
        return waiting.place * others * work_s / max(1, server_count)

    def _release(self, key, now):
        release = self._release_by_key.get(key)
        if release is None or now >= release.ends_at:
            self._release_by_key = {
                other_key: other
                for other_key, other in self._release_by_key.items()
                if now < other.ends_at
            }
            priorities = [
                waiting.priority
                for call, waiting in self._waiting_by_call.items()
                if _key(call) == key
            ]
            release = Release(now + RELEASE_S, priorities)
            self._release_by_key[key] = release
        return release


def _key(call):
    return call.service, call.need.model
