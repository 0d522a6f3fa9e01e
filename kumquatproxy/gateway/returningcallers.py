"""Recognition of callers that come back after a refusal or a failure.

The load it answers: overload, in which part of the callers of a route come back with
less of their objective left. Each attempt has an id of its own, so they are known only
by the time that they have left. Callers choose how long they wait, so a first attempt
may have less left than the timeout of its route, too. As many callers come back as were
refused or failed, and these are the ones with the least time left.
"""

import collections

from kumquatproxy.gateway import calls

HALF_LIFE_S = 5.0
# Parts of a route's timeout that are counted separately.
BIN_COUNT = 64
MAX_ROUTES = 500
# A caller that comes back has spent at least this time.
MIN_SPENT_S = 0.1


class RouteArrivals:
    """Hold how much of a route's timeout its recent attempts had lacked on arrival."""

    __slots__ = ("_decayed_at", "_failed", "_weights_by_bin")

    def __init__(self):
        self._weights_by_bin = [0.0] * BIN_COUNT
        self._failed = 0.0  # first attempts
        self._decayed_at = 0.0

    def record_arrival(self, missing_share: float, now: float) -> None:
        """Count an attempt that lacks a share of the timeout."""
        self._decay(now)
        self._weights_by_bin[_bin(missing_share)] += 1.0

    def record_failed(self, now: float) -> None:
        """Count a first attempt whose caller is expected to come back."""
        self._decay(now)
        self._failed += 1.0

    def least_returning_bin(self) -> int:
        """Return the first bin whose attempts are mostly repeated ones."""
        returned = self._failed
        for index in range(BIN_COUNT - 1, -1, -1):
            weight = self._weights_by_bin[index]
            if returned < weight / 2.0 or returned <= 0.0:
                return index + 1
            returned -= weight
        return 0

    def usual_missing_share(self, first_returning_bin: int) -> float:
        """Return the mean share of the timeout that first attempts lack."""
        weights = self._weights_by_bin[:first_returning_bin]
        total = sum(weights)
        if total <= 0.0:
            return 0.0
        return sum(index * weight for index, weight in enumerate(weights)) / (
            BIN_COUNT * total
        )

    def _decay(self, now):
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / HALF_LIFE_S)
        self._decayed_at = now
        self._failed *= factor
        self._weights_by_bin = [factor * weight for weight in self._weights_by_bin]


class ReturningCallers:
    """Estimate which attempts are repeated, and the time their callers have spent.

    Hosts behind the same load balancers refuse much the same share, so the refusals of
    this host stand for those that its callers had elsewhere.
    """

    __slots__ = ("_by_route", "returned_count")

    def __init__(self):
        self.returned_count = 0  # attempts that were taken for repeated ones
        self._by_route: collections.OrderedDict[str, RouteArrivals] = (
            collections.OrderedDict()
        )

    def __len__(self):
        return len(self._by_route)

    def record_arrival(self, call: calls.Call, now: float) -> None:
        """Set the time that the caller has spent on earlier attempts, 0 if on none."""
        if call.is_resumed_stream:
            return
        route = self._route(call)
        timeout_s = call.route.timeout_s
        missing_s = max(0.0, timeout_s - (call.deadline - call.arrived_at))
        missing_share = missing_s / timeout_s
        route.record_arrival(missing_share, now)
        least_bin = route.least_returning_bin()
        if missing_s >= MIN_SPENT_S and _bin(missing_share) >= least_bin:
            usual_s = timeout_s * route.usual_missing_share(least_bin)
            call.spent_s = max(MIN_SPENT_S, missing_s - usual_s)
            self.returned_count += 1

    def record_failed(self, call: calls.Call, now: float) -> None:
        """Expect the caller to come back if this was its first attempt."""
        if not call.spent_s and not call.is_resumed_stream:
            self._route(call).record_failed(now)

    def _route(self, call):
        name = call.route.name
        route = self._by_route.get(name)
        if route is None:
            route = self._by_route[name] = RouteArrivals()
        self._by_route.move_to_end(name)
        while len(self._by_route) > MAX_ROUTES:
            self._by_route.popitem(last=False)
        return route


def _bin(missing_share):
    return min(BIN_COUNT - 1, int(missing_share * BIN_COUNT))
