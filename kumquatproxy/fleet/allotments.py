"""Parts of the teams' usage caps: entry hosts ask, the leader gives.

Only hosts with a configuration that has caps send these messages.
"""

import itertools

import gevent
import gevent.event

from kumquatproxy import clock, errors, logs
from kumquatproxy.fleet import fleetmessages, serviceconfig
from kumquatproxy.gateway import capbook, teamrecords, usagecaps

ANSWER_TIMEOUT_S = 0.2
# Longest wait for an answer that decides, as a part of the time that the call has left.
MAX_WAIT_S = 2.0
WAIT_SHARE = 0.4
# A host that is no giver is asked again after this time, a silent one not before.
ASK_AGAIN_S = 0.05
# The least time between questions for one call doubles up to this one: while a new
# giver has no room, it gives no more for being asked more often.
MAX_ASK_AGAIN_S = 0.4
SILENT_S = 1.0
NOT_GIVING_S = 0.2
RENEWAL_INTERVAL_S = 1.0
RETURN_INTERVAL_S = 0.1
EXPIRE_INTERVAL_S = 5.0  # of the books of removed teams
# How much later than there is room callers are told to come back, as a share.
RETRY_SPREAD = 0.2
UNKNOWN_RETRY_AFTER_S = 0.5
# Teams with figures of their own in logs and metrics.
MAX_REPORTED_TEAMS = 50
OTHER_TEAMS = "other"


class Question:
    """Hold a call that waits for an amount."""

    __slots__ = ("amount", "decision", "team")

    def __init__(self, team, amount):
        self.team: str = team
        self.amount: float = amount
        self.decision = gevent.event.AsyncResult()


class SentQuestions:
    """Hold the calls of a message that has not been answered."""

    __slots__ = ("giver", "questions", "sent_at")

    def __init__(self, giver, questions, sent_at):
        self.giver: str = giver
        self.questions: list[Question] = questions
        self.sent_at: float = sent_at


class TeamCounts:
    """Count the calls of a team at this host."""

    __slots__ = ("refused", "undecided", "used")

    def __init__(self):
        self.used = 0.0
        self.refused = 0  # as there was no room
        self.undecided = 0  # as no giver has answered in time


class AllotmentClient:
    """Take the amounts of calls from what this host holds, or ask for them.

    ``givers()`` returns the control hosts that may give, the leader first, then those
    of the own data centre, one of which may be its delegate;
    ``send(host_id, message)`` sends a message, and ``spread()`` returns a random number
    from 0 to 1.
    """

    def __init__(self, send, givers, spread, bounds, first_number: int):
        self._send = send
        self._givers = givers
        self._spread = spread
        self._bounds = bounds
        self._log = logs.Log("cap")
        self.holdings = usagecaps.Holdings()
        self.counts_by_team: dict[str, TeamCounts] = {}
        self.usage = teamrecords.TeamUsage()
        self._version = serviceconfig.NO_VERSION
        # Numbers of an earlier start of this host are not used again.
        self._numbers = itertools.count(first_number)
        self._waiting: list[Question] = []
        self._sent_by_number: dict[int, SentQuestions] = {}
        self._returned: dict[str, float] = {}
        self._silent_until_by_id: dict[str, float] = {}
        self._hint = ""  # the giver that another host has named
        self._hint_until = 0.0
        self._answered_at = 0.0  # by a giver, 0.0 if none has answered
        self._next_renewal_at = 0.0
        self._next_return_at = 0.0

    def configure(self, configuration, now: float) -> None:
        """Apply the caps of a configuration that is in force."""
        self._version = configuration.version
        caps = usagecaps.caps_by_team(configuration, self._bounds)
        self.holdings.configure(caps, now)

    def take(self, call) -> None:
        """Count a call for the cap of its team; raise ProxyError if it must not run.

        The host that got it from the caller counts a forwarded call.
        """
        if call.team is None or call.forwarded_service is not None:
            return
        team = call.team.name
        holding = self.holdings.by_team.get(team)
        if holding is None:
            return
        amount = usagecaps.amount(call)
        now = clock.now()
        holding.record_demand(amount)
        call.cap_use = holding.use(team, amount, now)
        left_s = max(0.0, call.deadline - now)
        ends_at = now + min(MAX_WAIT_S, WAIT_SHARE * left_s)
        ask_again_s = ASK_AGAIN_S
        while call.cap_use is None:
            asked_at = clock.now()
            decision = self._ask(team, amount)
            now = clock.now()
            # The holding may be a new one after a change of the configuration.
            holding = self.holdings.by_team.get(team)
            if holding is None:
                return
            call.cap_use = holding.use(team, amount, now)
            if call.cap_use is not None:
                break
            wait_s = 0.0 if decision is None else decision.wait_s
            if decision is not None and decision.is_final and not decision.is_given:
                raise self._refusal(call, amount, wait_s, now)
            if now + wait_s >= ends_at:
                raise self._unknown(call, amount, wait_s, now)
            if wait_s > 0.0:
                left_s = max(0.0, ends_at - now)
                gevent.sleep(max(wait_s, min(ask_again_s, left_s)))
                ask_again_s = min(2.0 * ask_again_s, MAX_ASK_AGAIN_S)
            elif now < asked_at + ASK_AGAIN_S:
                gevent.sleep(ASK_AGAIN_S)
        self._counts(team).used += amount
        self.usage.record(call.cap_use)

    def _counts(self, team):
        """Return the counts of a team; teams beyond the limit share one."""
        known = self.counts_by_team
        if team not in known and len(known) >= MAX_REPORTED_TEAMS:
            team = OTHER_TEAMS
        return known.setdefault(team, TeamCounts())

    def _refusal(self, call, amount, wait_s, now):
        self._counts(call.team.name).refused += 1
        retry_after_s = wait_s * (1.0 + RETRY_SPREAD * self._spread()) + 0.01
        self._write(call, amount, "refused at the cap", now, retry_after_s)
        return errors.ProxyError(
            errors.ErrorKind.USAGE_CAP,
            f"the usage cap of team {call.team.name} has no room for {amount} more",
            retry_after_s=retry_after_s,
        )

    def _unknown(self, call, amount, wait_s, now):
        self._counts(call.team.name).undecided += 1
        retry_after_s = wait_s + UNKNOWN_RETRY_AFTER_S * (1.0 + self._spread())
        sentence = "a new giver has no room yet" if wait_s else "no giver has decided"
        self._write(call, amount, sentence, now, retry_after_s)
        return errors.ProxyError(
            errors.ErrorKind.ALLOTMENTS_UNKNOWN,
            "no control host has told whether the team's usage cap has room",
            retry_after_s=retry_after_s,
        )

    def _write(self, call, amount, sentence, now, retry_after_s):
        team = call.team.name
        holding = self.holdings.by_team.get(team)
        givers = self._givers()
        self._log.write_limited(
            now,
            f"{sentence} {team}",
            f"team {team}: {sentence}",
            request_id=call.request_id,
            amount=amount,
            rate=call.team.rate_per_s,
            burst=call.team.burst,
            version=self._version,
            giver=givers[0] if givers else "",
            answer_age_ms=round((now - self._answered_at) * 1000)
            if self._answered_at
            else None,
            held=round(holding.held(now)) if holding else 0,
            lease_rate=round(holding.lease.rate) if holding else 0,
            lease_left_ms=round(max(0.0, holding.lease.until - now) * 1000)
            if holding
            else 0,
            retry_after_ms=round(retry_after_s * 1000),
        )

    def give_back(self, call) -> None:
        """Give back the amount of a call that has certainly not run."""
        use, call.cap_use = call.cap_use, None
        if use is None:
            return
        self._counts(use.team).used -= use.amount
        self.usage.take_back(use)
        holding = self.holdings.by_team.get(use.team)
        if holding is not None:
            expired = holding.give_back(use, clock.now())
            if expired > 0.0:
                self._returned[use.team] = self._returned.get(use.team, 0.0) + expired

    def _ask(self, team, amount):
        """Return the decision on an amount, or None if there is none in time."""
        question = Question(team, amount)
        self._waiting.append(question)
        if len(self._waiting) == 1:
            # Calls that are ready at the same time share the message.
            gevent.spawn(self._send_waiting)
        try:
            return question.decision.get(timeout=ANSWER_TIMEOUT_S)
        except gevent.Timeout:
            self._record_silence(question, clock.now())
            return None

    def _record_silence(self, question, now):
        for sent in self._sent_by_number.values():
            if question in sent.questions:
                self._silent_until_by_id[sent.giver] = now + SILENT_S
                if sent.giver == self._hint:
                    self._hint = ""

    def _giver(self, now):
        """Return the control host to ask, one that answers if possible."""
        if self._hint and now < self._hint_until:
            return self._hint
        givers = self._givers()
        for giver in givers:
            if not self._is_silent(giver, now):
                return giver
        return givers[0] if givers else ""

    def _send_waiting(self):
        questions, self._waiting = self._waiting, []
        self._send_message(questions, [], clock.now())

    def _send_message(self, questions, requests, now):
        giver = self._giver(now)
        if not giver:
            return
        returned, self._returned = self._returned, {}
        number = next(self._numbers)
        self._sent_by_number[number] = SentQuestions(giver, questions, now)
        message = fleetmessages.AllotmentWanted(
            calls=[[question.team, question.amount] for question in questions],
            leases=[_to_wire(request) for request in requests],
            number=number,
            returned=[[team, part] for team, part in returned.items()],
            version=self._version,
        )
        self._next_return_at = now + RETURN_INTERVAL_S
        self._send(giver, message)

    def receive(
        self, sender: str, message: fleetmessages.AllotmentAnswer, now: float
    ) -> None:
        """Handle an answer; what it gives is held until calls use it or it expires."""
        sent = self._sent_by_number.pop(message.number, None)
        if sent is None or sent.giver != sender:
            return
        self._silent_until_by_id.pop(sender, None)
        if message.is_giver:
            self._answered_at = now
        elif message.calls:
            self._keep_to_delegate(sender, now)
        else:
            self._skip_to(message.leader, sender, now)
            for question in sent.questions:
                question.decision.set(None)
            return
        for question, (is_given, wait_s, is_final) in zip(
            sent.questions, message.calls
        ):
            holding = self.holdings.by_team.get(question.team)
            if is_given and holding is not None:
                until = sent.sent_at + usagecaps.GRANT_S
                holding.add_grant(usagecaps.Grant(question.amount, until), now)
            question.decision.set(capbook.Decision(is_given, wait_s, is_final))
        for team, number, rate, capacity in message.leases:
            holding = self.holdings.by_team.get(team)
            if holding is not None:
                until = sent.sent_at + usagecaps.LEASE_S
                lease = usagecaps.Lease(number, rate, capacity, until)
                holding.apply_lease(lease, now)

    def _keep_to_delegate(self, sender, now):
        """Ask a delegate for a while; the giver is tried again after that."""
        if self._hint != sender or now >= self._hint_until:
            self._hint, self._hint_until = sender, now + SILENT_S

    def _skip_to(self, leader, sender, now):
        """Ask the leader that a host has named, or the next host, and not that host."""
        self._hint, self._hint_until = "", now
        self._silent_until_by_id[sender] = now + NOT_GIVING_S
        if leader not in ("", sender) and not self._is_silent(leader, now):
            self._hint, self._hint_until = leader, now + SILENT_S

    def _is_silent(self, host_id, now):
        return now < self._silent_until_by_id.get(host_id, now)

    def tick(self, now: float) -> None:
        """Renew leases, return what is unused, and forget questions without answer."""
        if not self.holdings.by_team:
            return
        requests: list[usagecaps.LeaseRequest] = []
        if now >= self._next_renewal_at:
            self._next_renewal_at = now + RENEWAL_INTERVAL_S
            requests = self.holdings.renew(now)
            oldest = now - usagecaps.LEASE_S
            for number, sent in list(self._sent_by_number.items()):
                if sent.sent_at < oldest:
                    del self._sent_by_number[number]
            self._silent_until_by_id = {
                host_id: until
                for host_id, until in self._silent_until_by_id.items()
                if now < until
            }
        is_return_due = bool(self._returned) and now >= self._next_return_at
        if requests or is_return_due:
            self._send_message([], requests, now)

    def view(self, team: str, now: float) -> dict:
        """Return what this host holds of a team's cap and who gives, for operators.

        The term is that of the giver of the newest lease, None without one.
        """
        holding = self.holdings.by_team.get(team)
        if holding is None:
            return {}
        held = holding.view(now)
        number = held.pop("lease_number")
        age_s = round(now - self._answered_at, 3) if self._answered_at else None
        return {
            **held,
            "answer_age_s": age_s,
            "demand": round(holding.demand, 1),
            "giver": self._giver(now),
            "term": number // capbook.NUMBERS_PER_TERM if number else None,
        }

    def gauges(self, now: float) -> dict[tuple[str, str], float]:
        """Return the values of the gauges by name and team."""
        values: dict[tuple[str, str], float] = {}
        for team, holding in self.holdings.by_team.items():
            has_lease = now < holding.lease.until
            add(values, "team.cap", team, holding.cap.rate)
            add(values, "team.held", team, holding.held(now))
            add(values, "team.lease", team, holding.lease.rate if has_lease else 0.0)
        for team, counts in self.counts_by_team.items():
            add(values, "team.used", team, counts.used)
            add(values, "team.refused", team, counts.refused)
            add(values, "team.undecided", team, counts.undecided)
        return values


class AllotmentGiver:
    """Give parts of the caps while this host leads the control group for certain."""

    def __init__(self, bounds, data_centres: int = 0):
        self._bounds = bounds
        self._data_centres = data_centres
        self._log = logs.Log("cap")
        self._term = 0
        self._configuration = None
        self._caps: dict[str, usagecaps.Cap] = {}
        self._next_expiry_at = 0.0
        self._is_giver = False
        self.book = capbook.CapBook(0, 0.0)

    def track(self, member, configuration, now: float) -> None:
        """Begin anew when this host leads for certain, and apply the caps.

        No earlier giver has given anything since its lease ended.
        """
        self._is_giver = member.leader_state is not None and member.has_lease(now)
        is_new_term = self._is_giver and member.term != self._term
        if is_new_term:
            self._term = member.term
            self.book = capbook.CapBook(member.term, now)
        is_changed = configuration is not self._configuration or is_new_term
        if is_changed:
            self._configuration = configuration
            self._caps = usagecaps.caps_by_team(
                configuration, self._bounds, self._data_centres
            )
            if self._caps:
                self._log.write(
                    now,
                    "usage caps of teams are in force",
                    term=self._term,
                    version=configuration.version,
                    teams=len(self._caps),
                )
        if is_changed or now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRE_INTERVAL_S
            self.book.configure(self._caps, now)

    def answer(
        self,
        member,
        sender: str,
        message: fleetmessages.AllotmentWanted,
        configuration,
        leader: str,
        now: float,
    ) -> fleetmessages.AllotmentAnswer:
        """Return the answer to an entry host."""
        is_giver = member.leader_state is not None and member.has_lease(now)
        version = serviceconfig.NO_VERSION
        if configuration is not None:
            version = configuration.version
        answer = fleetmessages.AllotmentAnswer(
            calls=[],
            is_giver=is_giver,
            leader=leader,
            leases=[],
            number=message.number,
            version=version,
        )
        if not is_giver:
            return answer
        self.track(member, configuration, now)
        for team, amount in message.returned:
            if team in self.book.by_team:
                self.book.by_team[team].refund(amount, now)
        is_older = message.version > version
        answer.calls = to_wire(
            [
                self._decide(team, amount, is_older, now)
                for team, amount in message.calls
            ]
        )
        for fields in message.leases:
            request = usagecaps.LeaseRequest(*fields)
            lease = self.book.renew(sender, request, now)
            if lease is not None:
                answer.leases.append(
                    [request.team, lease.number, lease.rate, lease.capacity]
                )
        return answer

    def answer_parts(
        self,
        member,
        sender: str,
        message: fleetmessages.PartsWanted,
        configuration,
        now: float,
        unconfirmed_ids=(),
    ) -> fleetmessages.PartsAnswer:
        """Return the answer to a delegate, or to a host that may become it.

        It has no leases while members of the control group (``unconfirmed_ids``) might
        not reserve them, as one of these might be the next giver.
        """
        is_giver = member.leader_state is not None and member.has_lease(now)
        answer = fleetmessages.PartsAnswer(
            is_giver=is_giver, leases=[], number=message.number
        )
        if not is_giver:
            return answer
        self.track(member, configuration, now)
        if unconfirmed_ids:
            self._log.write_limited(
                now,
                "no delegates",
                "delegates get no leases: control hosts may be of another build, or "
                "have other data centres in their settings",
                hosts=list(unconfirmed_ids),
            )
            return answer
        for fields in message.parts:
            request = usagecaps.PartRequest(*fields)
            lease = self.book.renew_part(sender, message.data_centre, request, now)
            if lease is not None:
                answer.leases.append(
                    [request.team, lease.number, lease.rate, lease.capacity]
                )
        return answer

    def _decide(self, team, amount, is_older, now):
        """Decide on an amount; ``is_older`` if the asking host has a newer version."""
        if team in self._caps:
            return self.book.by_team[team].take(amount, now)
        return capbook.Decision(not is_older, is_final=False)

    def view(self, team: str, now: float) -> dict:
        """Return the book of a team, for operators; empty if another host gives."""
        book = self.book.by_team.get(team)
        if not self._is_giver or book is None:
            return {}
        return {
            **book.view(now),
            "term": self._term,
            "term_age_s": round(now - self.book.started_at, 3),
        }

    def gauges(self) -> dict[tuple[str, str], float]:
        """Return the values of the gauges by name and team."""
        values: dict[tuple[str, str], float] = {}
        if not self._is_giver:
            return values
        for team, book in self.book.by_team.items():
            add(values, "team.given", team, book.used)
            add(values, "team.leased", team, book.leased_rate)
            add(values, "team.reserved", team, book.unknown_rate)
        return values


def add(values, name, team, value):
    """Add the value of a team to a gauge; teams beyond the limit share one label."""
    if (name, team) not in values:
        count = sum(known_name == name for known_name, _ in values)
        if count >= MAX_REPORTED_TEAMS:
            team = OTHER_TEAMS
    values[name, team] = values.get((name, team), 0.0) + value


def to_wire(decisions: list[capbook.Decision]) -> list:
    """Return the decisions as the calls of an AllotmentAnswer."""
    return [
        [decision.is_given, round(decision.wait_s, 3), decision.is_final]
        for decision in decisions
    ]


def _to_wire(request):
    return [
        request.team,
        request.number,
        request.rate,
        request.capacity,
        request.left_s,
        request.wanted_rate,
        request.wanted_capacity,
        request.unused_rate,
    ]
