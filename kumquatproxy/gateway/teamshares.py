"""Fair service of teams while room at the servers is short.

The load it answers: one team sends many times what it usually does. The room that a
host's calls get is shared out among the teams that ask for it, by the rates of their
caps, and what a team does not use goes to the others.
"""

from kumquatproxy.fleet import serviceconfig

HALF_LIFE_S = 3.0
# Less work asked for tells nothing about a team's share.
MIN_ASKED = 3.0
# Factors of the longest accepted wait. A team far beyond its due keeps the first one,
# so that it is still served.
MIN_FACTOR = 0.2
MAX_FACTOR = 1.5
MAX_TEAMS = 2000


class TeamUsage:
    """Hold the decayed work of a team: asked for, and admitted."""

    __slots__ = ("admitted", "asked", "decayed_at", "weight")

    def __init__(self, now: float):
        self.asked = 0.0
        self.admitted = 0.0
        self.weight = 0.0  # the rate of its cap, 0 without one
        self.decayed_at: float = now

    def decay(self, now: float) -> None:
        """Reduce the work by its age."""
        factor = 0.5 ** (max(0.0, now - self.decayed_at) / HALF_LIFE_S)
        self.asked *= factor
        self.admitted *= factor
        self.decayed_at = now


def due_by_name(asked_by_name, weight_by_name, total: float) -> dict[str, float]:
    """Share out a total by weight; nobody is due more than asked for.

    What one leaves goes to the others, by their weights.
    """
    due: dict[str, float] = {}
    left = total
    open_names = sorted(
        asked_by_name, key=lambda name: asked_by_name[name] / weight_by_name[name]
    )
    open_weight = sum(weight_by_name[name] for name in open_names)
    for name in open_names:
        share = left * weight_by_name[name] / open_weight
        due[name] = min(asked_by_name[name], share)
        left -= due[name]
        open_weight -= weight_by_name[name]
        if open_weight <= 0.0:
            break
    return due


class TeamShares:
    """Compare what each team gets at this host with what it is due."""

    __slots__ = ("_usage_by_name",)

    def __init__(self):
        self._usage_by_name: dict[str, TeamUsage] = {}

    def __len__(self):
        return len(self._usage_by_name)

    def record_asked(
        self, team: serviceconfig.Team | None, work: float, now: float
    ) -> None:
        """Count the work of a call that arrives."""
        usage = self._usage(team, now)
        if usage is not None:
            usage.asked += work

    def record_admitted(self, team, work: float, now: float) -> None:
        """Count the work of a call that is sent to a server."""
        usage = self._usage(team, now)
        if usage is not None:
            usage.admitted += work

    def factor(self, team: serviceconfig.Team | None, now: float) -> float:
        """Return the factor of the longest accepted wait of a team's calls.

        It is 1 for a team that gets what it is due, and for calls of no team.
        """
        usage = self._usage(team, now)
        if team is None or usage is None or usage.asked < MIN_ASKED:
            return 1.0
        for other in self._usage_by_name.values():
            other.decay(now)
        asked = {
            name: other.asked
            for name, other in self._usage_by_name.items()
            if other.asked >= MIN_ASKED
        }
        if len(asked) < 2:
            return 1.0
        total = sum(self._usage_by_name[name].admitted for name in asked)
        due = due_by_name(asked, self._weights(asked), total).get(team.name, 0.0)
        if due <= 0.0:
            return 1.0
        relative = usage.admitted / due
        if relative <= 1.0:
            return min(MAX_FACTOR, 1.0 + (1.0 - relative))
        return max(MIN_FACTOR, 1.0 / (relative * relative))

    def _forget_idle(self, now):
        """Forget teams that the configuration no longer has, or that are idle."""
        for usage in self._usage_by_name.values():
            usage.decay(now)
        ranked = sorted(
            self._usage_by_name, key=lambda name: self._usage_by_name[name].asked
        )
        for name in ranked[: MAX_TEAMS // 2]:
            del self._usage_by_name[name]

    def _weights(self, names):
        """Return the weights of some teams; without a cap, a team has the mean one."""
        known = [
            self._usage_by_name[name].weight
            for name in names
            if self._usage_by_name[name].weight > 0.0
        ]
        default = sum(known) / len(known) if known else 1.0
        return {name: self._usage_by_name[name].weight or default for name in names}

    def _usage(self, team, now):
        if team is None:
            return None
        usage = self._usage_by_name.get(team.name)
        if usage is None:
            if len(self._usage_by_name) >= MAX_TEAMS:
                self._forget_idle(now)
            usage = self._usage_by_name[team.name] = TeamUsage(now)
        usage.weight = team.rate_per_s if team.has_cap else 0.0
        usage.decay(now)
        return usage
