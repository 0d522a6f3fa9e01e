"""Formation of a data centre's placement group through the configuration.

Voters without a disk lose their state when their process ends. A new voter set is
registered in the configuration, where the first registration above the current base
fence wins. This replaces a group that has lost its majority. An identity names one run
of a host's process. A host takes part in one group at a time, and leaves the old group
when it adopts the registration of the new one. The quorums of the old and of the new
group are both majorities of the configured hosts, so they have a host in common and the
old group cannot continue.
"""

from kumquatproxy import wire
from kumquatproxy.agreement import voterset
from kumquatproxy.configuration import configstate

CANDIDATE_INTERVAL_S = 1.0
CANDIDATE_EXPIRY_S = 4.0
FULL_GROUP_TIMEOUT_S = 5.0  # after it a majority of the configured hosts is enough
REJOIN_TIMEOUT_S = 15.0  # a live group readmits a restarted member within this time
# More than the terms that a group can go through before the next registration, so that
# the fences of the new group are higher.
FENCE_GAP = 1000


@wire.register("placement-candidate")
class PlacementCandidate(wire.Message):
    """Announcement that a host's current identity is in no placement group."""

    __slots__ = ("identity", "waiting_s")
    identity: str
    waiting_s: float


class _Candidate:
    __slots__ = ("heard_at", "identity", "waiting_s")

    def __init__(self, identity, waiting_s, heard_at):
        self.identity: str = identity
        self.waiting_s: float = waiting_s
        self.heard_at: float = heard_at


class Formation:
    """Tracking of the candidates of one data centre, and proposal of a voter set."""

    __slots__ = (
        "_candidates_by_host",
        "_configured_hosts",
        "_data_centre",
        "_host_id",
        "_identity",
        "_send_at",
        "_waiting_since",
    )

    def __init__(self, host_id, data_centre, identity, configured_hosts, now):
        self._host_id: str = host_id
        self._data_centre: str = data_centre
        self._identity: str = identity
        self._configured_hosts: tuple[str, ...] = tuple(configured_hosts)
        self._candidates_by_host: dict[str, _Candidate] = {}
        self._waiting_since: float = now
        self._send_at: float = now

    def restart_waiting(self, now: float) -> None:
        """Restart the waiting time, because this host is in the group."""
        self._waiting_since = now

    def receive(self, candidate: PlacementCandidate, now: float) -> None:
        """Record the announcement of a candidate host."""
        host_id = voterset.host_of(candidate.identity)
        if host_id in self._configured_hosts:
            self._candidates_by_host[host_id] = _Candidate(
                candidate.identity, candidate.waiting_s, now
            )

    def tick(self, now: float) -> list:
        """Return the announcements that are due while this host is not admitted."""
        if now < self._send_at:
            return []
        self._send_at = now + CANDIDATE_INTERVAL_S
        announcement = PlacementCandidate(self._identity, now - self._waiting_since)
        self.receive(announcement, now)
        return [
            wire.Send(host_id, announcement)
            for host_id in self._configured_hosts
            if host_id != self._host_id
        ]

    def proposal(self, registered, fence_seen: int, now: float):
        """Return the SetVoters command that is due, or None."""
        live = {
            host_id: candidate
            for host_id, candidate in self._candidates_by_host.items()
            if now - candidate.heard_at <= CANDIDATE_EXPIRY_S
        }
        if len(live) <= len(self._configured_hosts) // 2:
            return None
        waited_s = min(candidate.waiting_s for candidate in live.values())
        if registered is None:
            is_due = (
                len(live) == len(self._configured_hosts)
                or waited_s > FULL_GROUP_TIMEOUT_S
            )
            base_fence = fence_seen
        else:
            is_due = waited_s > REJOIN_TIMEOUT_S
            base_fence = max(fence_seen, registered.base_fence) + FENCE_GAP
        if not is_due:
            return None
        identities = sorted(candidate.identity for candidate in live.values())
        return configstate.SetVoters(
            base_fence=base_fence, data_centre=self._data_centre, voters=identities
        )
