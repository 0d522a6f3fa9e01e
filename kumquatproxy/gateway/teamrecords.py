"""Records for operators: usage of teams and refused calls at one host."""

import collections
import collections.abc

from kumquatproxy import errors, logs, records
from kumquatproxy.gateway import calls, usagecaps

# Calls that are kept, in all and of one team, so that a team whose calls are refused
# by the thousand does not displace those of others.
MAX_REFUSALS = 4000
MAX_TEAM_REFUSALS = 1000
# Callers choose the ids; longer ones are not kept.
MAX_ID_LENGTH = 128
MAX_DETAIL_LENGTH = 200
MAX_USAGE_S = 60
# Name under which calls are counted whose key no team holds.
NO_TEAM = ""
RECORDED_STATUSES = frozenset((401, 429, 503))

NO_KEY, SEVERAL_KEYS, UNKNOWN_KEY = "no-key", "several-keys", "unknown-key"
OUT_OF_TOUCH = "key-undecided"
CAP, NO_GIVER = "cap", "no-giver"
KEY_REASONS = frozenset((NO_KEY, SEVERAL_KEYS, UNKNOWN_KEY, OUT_OF_TOUCH))
_REASON_BY_KIND = {
    errors.ErrorKind.USAGE_CAP: CAP,
    errors.ErrorKind.ALLOTMENTS_UNKNOWN: NO_GIVER,
}


class Refusal(records.Record):
    """Hold a call that was refused, and the inputs of the decision."""

    __slots__ = (
        "at",
        "detail",
        "inputs",
        "kind",
        "reason",
        "request_id",
        "retry_after_s",
        "route",
        "status",
        "team",
    )

    def __init__(self, call, team, reason, error, inputs, now):
        self.at: float = now
        self.detail: str = error.detail[:MAX_DETAIL_LENGTH]
        self.inputs: dict = inputs
        self.kind: str = error.kind.value
        self.reason: str = reason
        self.request_id: str = call.request_id
        self.retry_after_s: float | None = error.retry_after_s
        self.route: str = call.route.name if call.route else ""
        self.status: int = error.status
        self.team: str = team

    def view(self, now: float) -> dict:
        """Return the fields for an operator."""
        return {
            "age_s": round(now - self.at, 3),
            "detail": self.detail,
            "inputs": self.inputs,
            "code": self.kind,
            "reason": self.reason,
            "request_id": self.request_id,
            "retry_after_s": self.retry_after_s,
            "route": self.route,
            "status": self.status,
            "team": self.team,
        }


class ReasonCount:
    """Count the calls of a team that were refused for one reason."""

    __slots__ = ("count", "newest_at")

    def __init__(self):
        self.count = 0
        self.newest_at = 0.0


def quoted_id(call: calls.Call) -> str:
    """Return the request id of a call, the empty string if it is too long to keep."""
    return call.request_id if len(call.request_id) <= MAX_ID_LENGTH else ""


def find_reason(call: calls.Call, error: errors.ProxyError) -> str:
    """Return why a call was refused: a reason about its team, or the error kind."""
    needs_team = call.hides_key and call.route is not None and not call.route.is_public
    if needs_team and call.team is None:
        if error.kind is errors.ErrorKind.NOT_READY:
            return OUT_OF_TOUCH
        if error.kind is errors.ErrorKind.UNAUTHENTICATED:
            is_forwarded = call.team_name is not None
            if call.key_digest is None and not is_forwarded:
                return NO_KEY
            if call.key_digest == calls.SEVERAL_KEYS and not is_forwarded:
                return SEVERAL_KEYS
            return UNKNOWN_KEY
    return _REASON_BY_KIND.get(error.kind, error.kind.value)


class TeamUsage:
    """Count what calls of each team used, by second."""

    def __init__(self):
        # Lists of a second, an amount and a number of calls, the newest last.
        self._seconds_by_team: dict[str, collections.deque[list]] = {}

    def record(self, use: usagecaps.Use) -> None:
        """Count a call that was let through."""
        self._add(use.team, int(use.at), use.amount, 1)

    def take_back(self, use: usagecaps.Use) -> None:
        """Remove a call that has certainly not run from its second."""
        for row in reversed(self._seconds_by_team.get(use.team, ())):
            if row[0] == int(use.at):
                row[1] -= use.amount
                row[2] -= 1
                return

    def _add(self, team, second, amount, count):
        rows = self._seconds_by_team.setdefault(team, collections.deque())
        if rows and rows[-1][0] >= second:
            rows[-1][1] += amount
            rows[-1][2] += count
        else:
            rows.append([second, amount, count])
        while rows[0][0] <= second - MAX_USAGE_S:
            rows.popleft()

    def total(self, team: str, window_s: float, now: float) -> tuple[float, int]:
        """Return amount and number of calls in the last whole seconds and this one."""
        oldest = int(now) - min(window_s, MAX_USAGE_S)
        amount, count = 0.0, 0
        for second, second_amount, second_count in self._seconds_by_team.get(team, ()):
            if second > oldest:
                amount += second_amount
                count += second_count
        return amount, count

    def view(self, team: str, cap_window_s: float, now: float) -> list[dict]:
        """Return what a team used in windows of several lengths, for operators."""
        rows = []
        for window_s in sorted({1.0, cap_window_s, float(MAX_USAGE_S)}):
            amount, count = self.total(team, window_s, now)
            rows.append({"window_s": window_s, "amount": amount, "calls": count})
        return rows

    def retain(self, teams: collections.abc.Container[str]) -> None:
        """Forget the teams that a configuration does not list."""
        for team in [name for name in self._seconds_by_team if name not in teams]:
            del self._seconds_by_team[team]


class RefusalBook:
    """Keep the newest refused calls, and count all of them by team and reason.

    Calls are kept if ``keeps_calls``, that is if operators can ask for them.
    """

    def __init__(self, keeps_calls: bool):
        self.keeps_calls = keeps_calls
        self.counts_by_team: dict[str, dict[str, ReasonCount]] = {}
        self._refusals_by_team: dict[str, collections.OrderedDict[str, Refusal]] = {}
        self._size = 0
        self._log = logs.Log("team")

    def __len__(self):
        return self._size

    def record(
        self,
        call: calls.Call,
        error: errors.ProxyError,
        read_inputs: collections.abc.Callable[[calls.Call, float], dict],
        now: float,
    ) -> None:
        """Count a refused call; keep it with the inputs that decided."""
        if error.status not in RECORDED_STATUSES:
            return
        reason = find_reason(call, error)
        team = call.team.name if call.team is not None else NO_TEAM
        is_about_key = reason in KEY_REASONS
        keeps_call = self.keeps_calls and bool(quoted_id(call))
        inputs = read_inputs(call, now) if is_about_key or keeps_call else {}
        if call.hides_key:
            counts = self.counts_by_team.setdefault(team, {})
            reason_count = counts.setdefault(reason, ReasonCount())
            reason_count.count += 1
            reason_count.newest_at = now
        if is_about_key:
            self._log.write_limited(
                now,
                reason,
                f"a call is refused: {error.detail[:MAX_DETAIL_LENGTH]}",
                request_id=call.request_id,
                **inputs,
            )
        if keeps_call:
            self._keep(Refusal(call, team, reason, error, inputs, now))

    def _keep(self, refusal):
        kept = self._refusals_by_team.setdefault(
            refusal.team, collections.OrderedDict()
        )
        self._size -= kept.pop(refusal.request_id, None) is not None
        kept[refusal.request_id] = refusal
        self._size += 1
        if len(kept) > MAX_TEAM_REFUSALS:
            kept.popitem(last=False)
            self._size -= 1
        if self._size > MAX_REFUSALS:
            largest = max(self._refusals_by_team.values(), key=len)
            largest.popitem(last=False)
            self._size -= 1

    def find(self, request_id: str) -> Refusal | None:
        """Return the newest refusal of a request, None if it is not kept."""
        found = [
            kept[request_id]
            for kept in self._refusals_by_team.values()
            if request_id in kept
        ]
        return max(found, key=lambda refusal: refusal.at, default=None)

    def count(self, reasons: collections.abc.Container[str]) -> int:
        """Return how many calls of all teams were refused for some reasons."""
        return sum(
            counted.count
            for counts in self.counts_by_team.values()
            for reason, counted in counts.items()
            if reason in reasons
        )

    def counts(self, team: str, now: float) -> dict[str, dict]:
        """Return the number and the age of the newest refusal by reason."""
        return {
            reason: {
                "count": counted.count,
                "newest_age_s": round(now - counted.newest_at, 3),
            }
            for reason, counted in sorted(self.counts_by_team.get(team, {}).items())
        }

    def retain(self, teams: collections.abc.Container[str]) -> None:
        """Forget the teams that a configuration does not list."""
        for table in (self.counts_by_team, self._refusals_by_team):
            for team in [name for name in table if name not in teams]:
                if team != NO_TEAM:
                    del table[team]
        self._size = sum(len(kept) for kept in self._refusals_by_team.values())
