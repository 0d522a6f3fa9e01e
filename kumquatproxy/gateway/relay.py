"""The life of one call: choice of a server, attempts, answer to the caller."""

import functools

import gevent
import gevent.event

from kumquatproxy import clock, errors, logs
from kumquatproxy.gateway import (
    backendlinks,
    callers,
    calls,
    choice,
    eventstream,
    framing,
    patience,
    shedding,
    urgency,
    waiting,
)

# A kept connection is reused for a call that may run once only if it was in use so
# lately that the server has not begun to close it.
ONCE_MAX_IDLE_S = 1.0
MAX_IDLE_S = 8.0
# A call whose deadline is so near is not sent any more.
MIN_LEFT_S = 0.02
# The answer to a caller must be on its way when its time is over.
ANSWER_MARGIN_S = 0.005
# How often a call may be refused by servers without having run.
MAX_REFUSALS = 6
NOT_READY_RETRY_S = 0.5
GIVEN_UP_RETRY_S = 0.5
SERVER_FAILURE = 500  # status from which on the server says that it failed
# Statuses that promise a caller that the call has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class TimeOverError(Exception):
    """Tell that the deadline of a call has passed."""


class Attempt:
    """Hold one attempt at a server and what came of it."""

    __slots__ = (
        "announcement",
        "candidate_count",
        "delay_s",
        "detail",
        "outcome",
        "started_at",
    )

    def __init__(self, announcement, candidate_count, delay_s, now):
        self.announcement = announcement
        self.candidate_count: int = candidate_count  # servers that could take the call
        self.delay_s: float = delay_s  # predicted for the best of them
        self.outcome: calls.Outcome | None = None
        self.detail = ""
        self.started_at: float = now


class Progress:
    """Hold what a call has come to over its attempts."""

    __slots__ = (
        "attempts",
        "has_answer_begun",
        "last_event_id",
        "refusals",
        "runs",
        "tried",
        "waited_s",
    )

    def __init__(self):
        self.attempts: list[Attempt] = []
        self.has_answer_begun = False  # the caller has got a head
        self.last_event_id = ""  # last one that the caller has
        self.refusals = 0
        self.runs = 0  # attempts that may have run
        self.tried: set[tuple] = set()
        self.waited_s = 0.0

    def may_have_run(self) -> bool:
        """Return whether a server may have run the call, or may yet run it."""
        return any(
            one.outcome is not None and one.outcome not in calls.NOT_EXECUTED
            for one in self.attempts
        )


class Stream:
    """Hold one stream that is being passed on."""

    __slots__ = ("_limits", "flight", "head")

    def __init__(self, head, flight, limits):
        self.head: calls.AnswerHead = head
        self.flight: choice.Flight = flight
        self._limits: patience.Limits = limits

    def silence_s(self) -> float | None:
        """Return how long to wait for the next bytes, None without a limit."""
        if self.flight.has_answered:
            return self._limits.pause_s
        return self._limits.first_s


class Relay:
    """Serve calls; ``host`` gives configuration, dialect, chooser and budget."""

    def __init__(self, host):
        self._host = host
        self._log = logs.Log("call")
        self.links = backendlinks.LinkPool()

    def serve(self, call: calls.Call, connection: callers.CallerConnection) -> None:
        """Answer one call on the connection of its caller."""
        progress = Progress()
        current = gevent.getcurrent()
        connection.watch(lambda: current.kill(calls.GoneError, block=False))
        try:
            self._prepare(call)
            progress.last_event_id = call.last_event_id
            left_s = call.deadline - clock.now() - ANSWER_MARGIN_S
            with gevent.Timeout(max(0.0, left_s), TimeOverError):
                self._run(call, progress, connection)
        except errors.ProxyError as error:
            self._refuse(call, progress, connection, error)
        except TimeOverError:
            self._refuse(call, progress, connection, _time_over(progress))
        except calls.GoneError:
            self._note(call, progress, "the caller has gone")
            connection.is_closing = True
            raise

    def _prepare(self, call):
        self._host.dialect.read_call(call)
        configuration = self._host.configuration
        if configuration is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY,
                "this host has no configuration yet",
                retry_after_s=NOT_READY_RETRY_S,
            )
        path = call.target.split(b"?", 1)[0].decode("latin-1")
        host = call.host.rsplit(":", 1)[0]
        call.route = configuration.find_route(host, path)
        if call.route is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, f"no route leads to {host}{path[:100]}"
            )
        allowed_s = self._host.dialect.deadline_s(call)
        timeout_s = call.route.timeout_s
        allowed_s = timeout_s if allowed_s is None else min(allowed_s, timeout_s)
        call.deadline = call.arrived_at + allowed_s
        call.service = self._host.pick_service(call.route)
        self._host.note_arrival(call)

    def _run(self, call, progress, connection):
        while True:
            attempt = self._place(call, progress)
            self._count(call, progress)
            progress.attempts.append(attempt)
            self._try(call, attempt, progress, connection)
            if attempt.outcome is calls.Outcome.ANSWERED:
                self._note(call, progress, "answered")
                return
            self._after(call, attempt, progress)

    def _place(self, call, progress):
        """Return an attempt at a server that was chosen; wait for one if that helps."""
        waiter = waiting.Waiter(call, clock.now())
        waited = False
        with self._host.counted_waiting(call):
            while True:
                now = clock.now()
                service = self._host.service(call.service)
                found = self._host.chooser.candidates(
                    call, service, progress.tried, now
                )
                chosen = self._host.chooser.choose(found)
                if chosen is not None and not progress.attempts and not waited:
                    error = shedding.check(call, found[0].delay_s, now)
                    if error is not None:
                        raise error
                if chosen is not None:
                    progress.waited_s += now - waiter.since
                    return Attempt(chosen, len(found), found[0].delay_s, now)
                outlook = self._host.outlook(call)
                verdict = waiter.verdict(service, outlook, now, self._host.stops_at)
                if verdict.error is not None:
                    raise verdict.error
                waited = True
                self._host.wait_for_change(verdict.wait_s)

    def _count(self, call, progress):
        now = clock.now()
        budget = self._host.budget
        if progress.attempts:
            budget.note_repeat(call.service, now)
        else:
            budget.note_request(call.service, now)

    def _try(self, call, attempt, progress, connection):
        """Send a call to a server and pass on its answer."""
        announcement = attempt.announcement
        chooser = self._host.chooser
        flight = chooser.start(call, announcement)
        link = None
        is_in_step = False  # the whole answer was read, so the link may be used again
        try:
            link = self._connect(call, announcement)
            self._send(call, attempt, progress, link)
            self._receive(call, attempt, progress, connection, link, flight)
            is_in_step = True
        except (OSError, backendlinks.BackendError, ValueError) as error:
            attempt.detail = str(error) or type(error).__name__
            if attempt.outcome is None:
                attempt.outcome = calls.Outcome.NOT_CONNECTED
        except backendlinks.SilentError:
            attempt.detail = "no progress"
            attempt.outcome = calls.Outcome.SILENT
        except TimeOverError:
            chooser.view(announcement).health.failed(clock.now(), False)
            raise
        finally:
            chooser.end(announcement, flight)
            if link is not None and is_in_step:
                self.links.give(link)
            elif link is not None:
                link.close()
        self._judge(attempt, chooser)
        self._host.meter.attempt(call.service, attempt.outcome.value)

    def _connect(self, call, announcement):
        left_s = call.deadline - clock.now()
        max_idle_s = MAX_IDLE_S if call.is_repeatable else ONCE_MAX_IDLE_S
        timeout_s = min(backendlinks.CONNECT_TIMEOUT_S, max(0.01, left_s))
        return self.links.take(
            announcement.instance_id, announcement.address, max_idle_s, timeout_s
        )

    def _send(self, call, attempt, progress, link):
        left_s = call.deadline - clock.now()
        if left_s < MIN_LEFT_S:
            raise TimeOverError
        headers = self._host.dialect.forwarded_headers(
            call,
            attempt.announcement.instance_id,
            left_s,
            progress.last_event_id,
            urgency.level(call),
        )
        # From here on the call may run, whatever is seen of it.
        attempt.outcome = calls.Outcome.LOST
        link.send(call.method, call.target, headers, call.body)

    def _receive(self, call, attempt, progress, connection, link, flight):
        limits = patience.limits(call, self._may_try_again(call, progress))
        read = functools.partial(self._read, call, attempt, progress, link)
        head = self._read_own_head(call, link, read, limits)
        if head.load is not None:
            view = self._host.chooser.view(attempt.announcement)
            view.load = head.load
        if head.is_wrong_server or head.is_not_executed:
            wrong = calls.Outcome.WRONG_SERVER
            attempt.outcome = wrong if head.is_wrong_server else calls.Outcome.NOT_RUN
            attempt.detail = f"refused with {head.status}"
            self._read_whole(link, read, limits)
            return
        if not head.is_sealed or not _is_plain(head):
            raise backendlinks.BackendError(
                f"answer {head.status} lacks the server's checksum"
            )
        is_stream = call.route.mode is calls.Mode.STREAM and head.status == 200
        if is_stream:
            stream = Stream(head, flight, limits)
            self._pass_stream(attempt, progress, connection, link, stream, read)
        else:
            body = self._read_whole(link, read, limits)
            self._pass_whole(call, attempt, progress, connection, head, body)

    def _read(self, call, attempt, progress, link, limit_s, receive):
        """Return what ``receive`` reads; leave a silent server only for another one."""

        def further_s():
            if self._has_other(call, attempt, progress):
                return 0.0
            return min(limit_s, patience.LOOK_AGAIN_S)

        return link.read_patiently(limit_s, receive, further_s)

    def _has_other(self, call, attempt, progress):
        if not self._may_try_again(call, progress):
            return False
        tried = progress.tried | {attempt.announcement.lifetime}
        service = self._host.service(call.service)
        return bool(self._host.chooser.candidates(call, service, tried, clock.now()))

    def _read_own_head(self, call, link, read, limits):
        while True:
            head = read(
                limits.first_s, lambda: link.read_head(self._host.dialect.read_answer)
            )
            is_own = head.echoed_id == call.request_id
            if is_own or (head.is_not_executed and not head.echoed_id):
                return head
            if not head.echoed_id:
                raise backendlinks.BackendError("the answer names no call")
            # A late answer to an earlier call stands before the own one.
            read(limits.first_s, link.skip_answer)

    def _read_whole(self, link, read, limits):
        return backendlinks.join_parts(lambda: read(limits.first_s, link.read_part))

    def _pass_whole(self, call, attempt, progress, connection, head, body):
        if head.status >= SERVER_FAILURE and self._may_try_again(call, progress):
            attempt.detail = f"the server failed with {head.status}"
            return
        if progress.has_answer_begun:
            attempt.detail = f"answer {head.status} to a resumed stream"
            return
        attempt.outcome = calls.Outcome.ANSWERED
        progress.has_answer_begun = True
        connection.answer(head.status, _answer_headers(head), body)

    def _pass_stream(self, attempt, progress, connection, link, stream, read):
        splitter = eventstream.EventSplitter()
        while True:
            part = read(stream.silence_s(), link.read_part)
            if part is None:
                break
            events = splitter.add(part)
            if events:
                stream.flight.has_answered = True
                self._pass_events(progress, connection, stream.head, events)
        if splitter.has_rest:
            raise backendlinks.BackendError("the stream ended within an event")
        self._begin(progress, connection, stream.head)
        attempt.outcome = calls.Outcome.ANSWERED
        connection.end_answer()

    def _begin(self, progress, connection, head):
        if not progress.has_answer_begun:
            connection.start_answer(head.status, _answer_headers(head))
            progress.has_answer_begun = True

    def _pass_events(self, progress, connection, head, events):
        self._begin(progress, connection, head)
        fresh = []
        for event, event_id in events:
            if event_id and _is_repeat(event_id, progress.last_event_id):
                continue
            fresh.append(event)
            progress.last_event_id = event_id or progress.last_event_id
        connection.write_body(b"".join(fresh))

    def _judge(self, attempt, chooser):
        """Note what the outcome says of the server."""
        health = chooser.view(attempt.announcement).health
        now = clock.now()
        if attempt.outcome is calls.Outcome.ANSWERED:
            health.succeeded()
        elif attempt.outcome is calls.Outcome.NOT_RUN:
            health.refused(now)
        elif attempt.outcome is calls.Outcome.NOT_CONNECTED:
            health.failed(now, is_unreachable=True)
        elif attempt.outcome is not calls.Outcome.WRONG_SERVER:
            health.failed(now, is_unreachable=False)

    def _may_try_again(self, call, progress):
        """Return whether a call that may have run could be sent once more."""
        if not call.is_repeatable or progress.runs + 1 >= call.route.attempts:
            return False
        hosts = self._host.entry_count
        return self._host.budget.allows(call.service, hosts, clock.now())

    def _after(self, call, attempt, progress):
        """Decide after an attempt without an answer; raise ProxyError to give up."""
        outcome = attempt.outcome
        progress.tried.add(attempt.announcement.lifetime)
        self._log_attempt(call, attempt)
        if outcome in calls.NOT_EXECUTED:
            progress.refusals += 1
        else:
            progress.runs += 1
        if outcome is calls.Outcome.WRONG_SERVER:
            self._host.chooser.lacks(attempt.announcement, call.need)
        if progress.may_have_run() and not call.is_repeatable:
            raise errors.ProxyError(
                errors.ErrorKind.BACKEND_FAILED,
                "the server gave no whole answer",
            )
        hosts = self._host.entry_count
        allowed = self._host.budget.allows(call.service, hosts, clock.now())
        too_often = progress.refusals > MAX_REFUSALS
        if progress.runs >= call.route.attempts or too_often or not allowed:
            raise _given_up(progress)
        if outcome in (calls.Outcome.NOT_RUN, calls.Outcome.NOT_CONNECTED):
            # The same server may take the call a little later.
            progress.tried.discard(attempt.announcement.lifetime)

    def _log_attempt(self, call, attempt):
        self._log.write_limited(
            clock.now(),
            f"attempt-{attempt.outcome.value}",
            f"attempt at {attempt.announcement.instance_id} was "
            f"{attempt.outcome.value}: {attempt.detail[:200]}",
            request_id=call.request_id,
            route=call.route.name,
        )

    def _refuse(self, call, progress, connection, error):
        """Give the caller the final answer to a call that failed."""
        if progress.may_have_run() and error.status in NOT_RUN_STATUSES:
            error = errors.ProxyError(errors.ErrorKind.BACKEND_FAILED, error.detail)
        self._note(call, progress, str(error))
        if progress.has_answer_begun:
            # Without its end the answer is seen as broken off.
            connection.is_closing = True
            raise calls.GoneError
        status, headers, body = callers.problem(error)
        connection.answer(status, headers, body)

    def _note(self, call, progress, outcome):
        now = clock.now()
        self._host.meter.call(
            call.route.name if call.route else "",
            call.route.mode.value if call.route else "",
            outcome.partition(":")[0],
            now - call.arrived_at,
            progress.waited_s,
        )
        self._log.write(
            now,
            outcome,
            request_id=call.request_id,
            route=call.route.name if call.route else "",
            need=call.need.key() if call.need else "",
            version=self._host.version(),
            attempts=[_attempt_fields(one, call) for one in progress.attempts],
            waited_ms=round(progress.waited_s * 1000),
            took_ms=round((now - call.arrived_at) * 1000),
        )


def _attempt_fields(attempt, call):
    """Return what a log line tells of an attempt; times since the call's arrival."""
    return {
        "server": attempt.announcement.instance_id,
        "born_ms": attempt.announcement.born_ms,
        "at_ms": round((attempt.started_at - call.arrived_at) * 1000),
        "candidates": attempt.candidate_count,
        "predicted_ms": round(attempt.delay_s * 1000),
        "outcome": attempt.outcome.value if attempt.outcome else "not-sent",
        "detail": attempt.detail[:200],
    }


def _is_plain(head):
    return not framing.header(head.headers, b"content-encoding")


def _answer_headers(head):
    return [
        (key, value)
        for key, value in framing.end_to_end(head.headers)
        if key != b"content-length"
    ]


def _is_repeat(event_id, last_event_id):
    if not (event_id.isdigit() and last_event_id.isdigit()):
        return False
    return int(event_id) <= int(last_event_id)


def _time_over(progress):
    if progress.may_have_run():
        return errors.ProxyError(
            errors.ErrorKind.BACKEND_TIMEOUT, "the time of the call is over"
        )
    return errors.ProxyError(
        errors.ErrorKind.DEADLINE_UNREACHABLE, "no server took the call in time"
    )


def _given_up(progress):
    if progress.may_have_run():
        return errors.ProxyError(
            errors.ErrorKind.BACKEND_FAILED, "no server gave a whole answer"
        )
    return errors.ProxyError(
        errors.ErrorKind.OVERLOADED,
        "no server had room for the call",
        retry_after_s=GIVEN_UP_RETRY_S,
    )
