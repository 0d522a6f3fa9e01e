"""Delegates: control hosts that give while the giver is silent."""

import re

from kumquatproxy import logs
from kumquatproxy.fleet import allotments, fleetmessages
from kumquatproxy.gateway import capbook, delegates, usagecaps

ANSWER_TIMEOUT_S = 0.5
MAX_PARTS = 200  # of a message; so many fit into a frame, also with long names
STANDBY_INTERVAL_S = 1.0  # of hosts that are not the delegate
# A delegate gives once the giver has not answered it for this time.
SILENCE_S = 0.4
# Part of the session of a control host that knows the messages of delegates.
PARTS_MARK = "+parts"
# The whole mark: also the number of data centres in the settings of that host.
_FULL_MARK = re.compile(r"\+parts\+centres([0-9]+)\+")


def mark_session(session: str, data_centres: int) -> str:
    """Return the session of a control host that knows the messages of delegates."""
    return f"{PARTS_MARK}+centres{data_centres}+{session}"


def knows_parts(session: str) -> bool:
    """Return whether a host with this session knows the messages of delegates."""
    return PARTS_MARK in session


class DelegatePeers:
    """Know which control hosts reserve the same parts for delegates as this one.

    Any of them may become the giver, and the leases of an earlier giver are valid for
    a while. One of another build or with other data centres might give their refill.
    """

    __slots__ = ("_data_centres", "_host_id", "_reserves_by_id", "_with_parts")

    def __init__(self, host_id: str, data_centres: int):
        self._host_id = host_id
        self._data_centres = data_centres
        self._reserves_by_id = {host_id: True}
        self._with_parts = {host_id}  # hosts that know the messages of delegates

    def record(self, host_id: str, session: str) -> None:
        """Record the session that a control host has now."""
        if host_id == self._host_id:
            return
        mark = _FULL_MARK.search(session)
        self._reserves_by_id[host_id] = (
            mark is not None and int(mark[1]) == self._data_centres
        )
        if knows_parts(session):
            self._with_parts.add(host_id)
        else:
            self._with_parts.discard(host_id)

    def knows_parts(self, host_id: str) -> bool:
        """Return whether a host knows the messages of delegates."""
        return host_id in self._with_parts

    def differing(self, host_ids) -> list[str]:
        """Return the hosts that are known to reserve other parts, or none."""
        known = self._reserves_by_id
        return sorted(name for name in host_ids if not known.get(name, True))

    def unconfirmed(self, host_ids) -> list[str]:
        """Return the hosts that are not known to reserve the same parts."""
        known = self._reserves_by_id
        return sorted(name for name in host_ids if not known.get(name, False))


class DelegateRole:
    """Renew the leases of this host, and decide while the giver is silent.

    ``first_number`` of messages is random, as an answer to an earlier start of this
    host must not be taken for one to this start.
    """

    def __init__(self, data_centre: str, data_centres: int, bounds, first_number: int):
        self._data_centre = data_centre
        self._data_centres = data_centres
        self._bounds = bounds
        self._log = logs.Log("cap")
        self._configuration = None
        self.part_by_team: dict[str, delegates.DelegatedPart] = {}
        self._caps: dict[str, usagecaps.Cap] = {}
        self._next_index = 0  # of the team that comes first in the next message
        self._number = first_number
        self._is_waiting = False
        self._sent_at = 0.0
        self._answered_at = 0.0
        self._lease_count = 0  # as written to the log

    def configure(self, configuration, now: float) -> None:
        """Apply the caps of a configuration that is in force."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        caps = usagecaps.caps_by_team(configuration, self._bounds, self._data_centres)
        for team, part in self.part_by_team.items():
            if team in caps and team in self._caps:
                share = usagecaps.kept_share(self._caps[team], caps[team])
                if share < 1.0:
                    part.reduce(share, now)
        self._caps = caps
        teams = {team for team, cap in caps.items() if cap.part_rate > 0.0}
        for team in teams - self.part_by_team.keys():
            self.part_by_team[team] = delegates.DelegatedPart(now)
        self.part_by_team = {
            team: part
            for team, part in self.part_by_team.items()
            if team in teams or now < part.lease.until
        }

    def next_request(self, now: float) -> fleetmessages.PartsWanted | None:
        """Return the message that renews the leases, None while none is due."""
        # With several messages for all teams, one is due more often.
        message_count = max(1, -(-len(self.part_by_team) // MAX_PARTS))
        interval_s = usagecaps.PART_RENEWAL_S / message_count
        if self._is_waiting:
            interval_s = ANSWER_TIMEOUT_S
        elif not self._has_leases(now):
            interval_s = STANDBY_INTERVAL_S
        if not self.part_by_team or now < self._sent_at + interval_s:
            return None
        self._is_waiting, self._sent_at = True, now
        self._number += 1
        is_silent = self._is_silent(now)
        requests = [
            self.part_by_team[team].request(team, now, is_silent)
            for team in self._next_teams()
        ]
        return fleetmessages.PartsWanted(
            data_centre=self._data_centre,
            number=self._number,
            parts=[_to_wire(request) for request in requests],
        )

    def _next_teams(self):
        """Return the teams of the next message; they take turns if there are many."""
        teams = list(self.part_by_team)
        if self._next_index >= len(teams):
            self._next_index = 0
        first, self._next_index = self._next_index, self._next_index + MAX_PARTS
        return teams[first : self._next_index]

    def _is_silent(self, now):
        return now >= self._answered_at + SILENCE_S

    def _has_leases(self, now):
        return any(now < part.lease.until for part in self.part_by_team.values())

    def lease_count(self, now: float) -> int:
        """Return the number of teams with a lease of this host."""
        return sum(now < part.lease.until for part in self.part_by_team.values())

    def receive(self, message: fleetmessages.PartsAnswer, now: float) -> None:
        """Use the leases of an answer to the last message."""
        if message.number != self._number or not self._is_waiting:
            return
        self._is_waiting = False
        if not message.is_giver:
            return
        self._answered_at = now
        # The last grants of a lease end with it.
        until = self._sent_at + usagecaps.LEASE_S - usagecaps.GRANT_S
        for team, number, rate, capacity in message.leases:
            part = self.part_by_team.get(team)
            if part is not None:
                part.apply_lease(usagecaps.Lease(number, rate, capacity, until), now)
        self._record_count(now)

    def _record_count(self, now):
        """Write to the log when this host becomes the delegate, or ceases to be it."""
        count = self.lease_count(now)
        if count != self._lease_count:
            self._lease_count = count
            self._log.write(
                now,
                f"delegate of {count} of {len(self.part_by_team)} teams",
                data_centre=self._data_centre,
            )

    def gauges(self, now: float) -> dict[tuple[str, str], float]:
        """Return the values of the gauges by name and team."""
        values: dict[tuple[str, str], float] = {}
        for team, part in self.part_by_team.items():
            if now < part.lease.until:
                allotments.add(values, "team.delegated", team, part.lease.rate)
                allotments.add(values, "team.delegate_given", team, part.given)
        return values

    def decide(self, wanted: list, now: float) -> list[capbook.Decision]:
        """Return decisions on [team, amount], none if this host gives nothing."""
        if not self._is_silent(now) or not self._has_leases(now):
            return []
        held = [self.part_by_team.get(team) for team, _ in wanted]
        self._log.write_limited(
            now,
            "the delegate gives",
            "the giver is silent, and calls are decided by its delegate",
            leases=self._lease_count,
            teams=len(self.part_by_team),
            silence_ms=round((now - self._answered_at) * 1000),
        )
        return [
            part.take(amount, now)
            if part is not None
            else capbook.Decision(False, is_final=False)
            for part, (_, amount) in zip(held, wanted)
        ]


def _to_wire(request):
    return [
        request.team,
        request.number,
        request.rate,
        request.capacity,
        request.left_s,
        request.unused,
    ]
