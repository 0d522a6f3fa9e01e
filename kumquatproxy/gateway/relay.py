"""Processing of one call: server selection, attempts, response to the caller."""

import functools
import math

import gevent
import gevent.event

from kumquatproxy import clock, errors, logs, memorybudget
from kumquatproxy.gateway import (
    attempts,
    backendconnections,
    callers,
    calllog,
    calls,
    crashingcalls,
    crashrecorder,
    eventstream,
    forwarding,
    framing,
    serverlimits,
    stalltimeouts,
    standstill,
    stopping,
    teamrecords,
    teams,
    waiting,
)

# Maximum idle time of a connection that is reused for a call that must not be repeated,
# so short that the server has not begun to close it.
UNREPEATABLE_MAX_IDLE_S = 1.0
MAX_IDLE_S = 8.0
# A call with less time left until its deadline is not sent.
MIN_REMAINING_S = 0.02
# A connection that takes longer tells that a server cannot be reached.
MIN_CONNECT_S = 0.3
# Time reserved for sending the response before the deadline.
RESPONSE_MARGIN_S = 0.005
# A call fails after more than this many attempts that certainly did not execute it.
MAX_UNEXECUTED_ATTEMPTS = 6
# A longer body is relayed as it arrives, so that the caller's pace limits what is read.
MAX_HELD_BYTES = 256 * 1024
# Copies of the newest data of a stream while the caller takes it: as received, as
# events, joined, and framed.
STREAM_COPIES = 4
# Time for which a begun stream waits for the next heartbeat of a server.
MAX_CONFIRMATION_S = 2.0
OVERLOADED_RETRY_AFTER_S = 0.5
# Why a call is not sent again.
SPENT_BUDGET = "the retry budget is spent"
MAX_ATTEMPTS_MADE = "it was sent as often as it may be"
# Statuses that promise that a call was not executed and never will be.
PROMISE_STATUSES = (408, 421, 429, 503)
# Statuses with which a host says that a server it has tried failed.
SERVER_FAILED_STATUSES = (502, 504)
# Statuses that tell a caller that the call was not executed.
NOT_EXECUTED_STATUSES = (401, *PROMISE_STATUSES)


class DeadlineExceededError(Exception):
    """Report that the deadline of a call has passed."""


class NotSendableError(Exception):
    """Report that a server may not be sent the call it was selected for any more."""


class FallbackResumedError(Exception):
    """Report that a silent server went on before another one accepted the call."""


class Relay:
    """Serve the calls of one entry host; ``host`` is the host that runs this relay."""

    def __init__(self, host, keeps_refusals: bool = False):
        self._host = host
        self._log = logs.Log("call")
        self.refusals = teamrecords.RefusalBook(keeps_refusals)
        self.late_responses = 0  # that were discarded, since the start
        self.links = backendconnections.ConnectionPool()
        self._crashes = crashrecorder.CrashRecorder(host, self.links)

    def serve_forwarded(
        self, call: calls.Call, connection: callers.CallerConnection
    ) -> None:
        """Serve one call that another host has forwarded."""
        call.forwarded_service = ""  # until its headers are read
        self.serve(call, connection)

    def serve(self, call: calls.Call, connection: callers.CallerConnection) -> None:
        """Serve one call on the connection of its caller."""
        progress = attempts.Progress()
        current = gevent.getcurrent()
        connection.watch_for_disconnect(
            lambda: current.kill(calls.ResponseAbortedError, block=False)
        )
        try:
            self._prepare(call)
            progress.last_event_id = call.last_event_id
            left_s = call.deadline - clock.now() - RESPONSE_MARGIN_S
            with gevent.Timeout(max(0.0, left_s), DeadlineExceededError):
                if call.team is not None:
                    self._host.allotments.take(call)
                self._run(call, progress, connection)
        except errors.ProxyError as error:
            self._end_with_error(call, progress, connection, error)
        except DeadlineExceededError:
            self._end_with_error(call, progress, connection, _deadline_error(progress))
        except calls.HostStoppingError:
            connection.is_closing = True
            self._end_with_error(call, progress, connection, _stopping_error())
        except calls.ResponseAbortedError:
            # This text is also a value of the outcome label in metrics.
            calllog.write_outcome(
                self._log, self._host, call, progress, "the caller has gone"
            )
            connection.is_closing = True
            raise
        except Exception as error:
            self._log.write_exception(
                clock.now(), error, "unexpected exception", request_id=call.request_id
            )
            internal_error = _internal_error(progress)
            self._end_with_error(call, progress, connection, internal_error)
        finally:
            self._end_fallback(call, progress)
            if call.cap_use is not None and not progress.may_have_executed():
                self._host.allotments.give_back(call)
            progress.release_memory()
            self._host.crashes.end_call(call, clock.now())
            self._host.load_policy.end_call(call, clock.now())

    def _prepare(self, call):
        self._host.dialect.read_call(call)
        if call.forwarded_service is not None:
            token, version = self._host.peer_token, self._host.version()
            forwarding.read_headers(call, token, version)
        configuration = self._host.configuration
        if configuration is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY,
                "this host has no configuration yet",
                retry_after_s=waiting.not_ready_retry_after_s(
                    clock.now() - self._host.started_at, self._host.spread()
                ),
            )
        path = call.target.split(b"?", 1)[0].decode("latin-1")
        http_host = call.host.rsplit(":", 1)[0]
        call.route = configuration.find_route(http_host, path)
        if call.route is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, f"no route matches {http_host}{path[:100]}"
            )
        self._check_team(call)
        call_timeout_s = self._host.dialect.caller_timeout_s(call)
        timeout_s = call.route.timeout_s
        call_timeout_s = (
            timeout_s if call_timeout_s is None else min(call_timeout_s, timeout_s)
        )
        call.deadline = call.arrived_at + call_timeout_s
        call.service = self._select_service(call)
        if call.is_resumed_stream:
            self._host.restore_origin(call)
        self._check_blame(call)
        if call.forwarded_service is None:
            self._host.record_arrival(call)
            self._host.load_policy.record_arrival(call, clock.now())

    def _select_service(self, call):
        """Return the service that another host has selected, or draw one."""
        targets = {target.service for target in call.route.targets}
        if call.forwarded_service in targets:
            return call.forwarded_service
        return self._host.pick_service(call.route)

    def _check_team(self, call):
        """Set the team of the call; raise ProxyError if it needs one and has none."""
        teams.check(call, self._host.configuration, self._host.is_in_touch)

    def _check_blame(self, call):
        """Raise ProxyError if the call or parts of its prompt crash servers."""
        now = clock.now()
        blame = self._host.crashes.find_blame(call, now)
        if blame is None:
            return
        kind = errors.ErrorKind.PROMPT_CRASHES_SERVERS
        detail = "servers crashed when they answered requests with the same parts"
        if blame.kind == crashingcalls.CRASHING_CALLS:
            kind = errors.ErrorKind.REQUEST_CRASHES_SERVERS
            detail = "servers crashed each time they got this request"
        retry_after_s = self._host.crashes.retry_after_s(blame, now)
        raise errors.ProxyError(kind, detail, retry_after_s=retry_after_s)

    def _run(self, call, progress, connection):
        attempt = self._start_attempt(call, progress)
        while True:
            self._run_attempt(call, attempt, progress, connection)
            if attempt.outcome is calls.Outcome.ANSWERED:
                calllog.write_outcome(self._log, self._host, call, progress, "answered")
                return
            attempt = self._next_attempt(call, attempt, progress)

    def _start_attempt(self, call, progress):
        """Select a server, waiting if none is available, and return an attempt at it.

        Raise ProxyError if the call is shed or no server is expected in time. With a
        fallback, return None instead of waiting.
        """
        wait_policy = waiting.WaitPolicy(call, clock.now(), progress.has_response_begun)
        try:
            with self._host.count_while_waiting(call):
                return self._await_attempt(call, progress, wait_policy)
        finally:
            now = clock.now()
            self._host.load_policy.end_wait(call, now)
            progress.waited_s += now - wait_policy.since

    def _await_attempt(self, call, progress, wait_policy):
        has_waited = False
        while True:
            self._check_team(call)
            self._check_blame(call)
            now = clock.now()
            self._check_stop(call, progress, now)
            hold_s = self._host.standstill.hold_s(now)
            if hold_s > 0.0:
                if progress.fallback is not None:
                    return None
                has_waited = True
                gevent.sleep(min(hold_s, standstill.READING_S))
                continue
            if self._host.paths.is_cut(call.service):
                forwarded = self._forward(call, progress, now)
                if forwarded is not None or progress.fallback is not None:
                    return forwarded
                self._check_forwarding(call, wait_policy, now)
                has_waited = True
                self._host.wait_for_change(waiting.RECHECK_INTERVAL_S)
                continue
            self._check_origin(call, progress)
            service = self._host.service(call.service)
            max_turn_wait_s = _max_turn_wait_s(call, progress, now)
            candidates = self._host.server_selector.candidates(
                call, service, progress.excluded_lifetimes, now, max_turn_wait_s
            )
            candidates = self._host.load_policy.rank(call, service, candidates, now)
            if call.software_version:
                candidates = self._host.with_certain_version(candidates)
                candidates = self._with_confirmed_link(
                    candidates
                ) or self._host.with_soonest_heartbeats(candidates)
                now = clock.now()
            choice = self._host.server_selector.select(candidates)
            if choice is not None:
                outlook = self._host.load_policy.outlook(call, service, candidates, now)
                hold_s = self._check_load(call, outlook, progress, has_waited, now)
                if hold_s > 0.0:
                    self._host.wait_for_change(hold_s)
                    continue
                if not self._take_turn(choice.announcement, max_turn_wait_s):
                    continue
                self._check_blame(call)
                if not self._may_send_again(call, progress):
                    return None
                self._count_in_budget(call, progress)
                attempt = attempts.Attempt(
                    choice.announcement,
                    len(candidates),
                    candidates[0].delay_s,
                    now,
                    self._host.memory,
                )
                attempt.choice = choice
                progress.attempts.append(attempt)
                return attempt
            if progress.fallback is not None:
                return None
            expected_availability = self._expected_availability(call, progress, now)
            decision = wait_policy.decide(
                service, expected_availability, now, self._host.stops_at
            )
            if decision.error is not None:
                raise decision.error
            has_waited = True
            self._host.load_policy.begin_wait(call, self._host.spread)
            self._host.wait_for_change(decision.wait_s)

    def _check_stop(self, call, progress, now):
        """Raise ProxyError for a call that the host may not see through."""
        if progress.has_response_begun or progress.may_have_executed():
            return
        error = stopping.check(call, self._host.stops_at, self._host.is_accepting, now)
        if error is not None:
            raise error

    def _check_load(self, call, outlook, progress, has_waited, now):
        """Return how long to hold a call; raise ProxyError if it is rejected."""
        state = waiting.CallState(
            not progress.attempts,
            has_waited,
            not progress.may_have_executed() and not call.is_resumed_stream,
            progress.unexecuted_attempts,
            self._host.stops_at,
        )
        decision = self._host.load_policy.decide(
            call, outlook, state, now, self._host.spread
        )
        if decision.error is not None:
            raise decision.error
        return decision.wait_s

    def _forward(self, call, progress, now):
        """Return an attempt at a host that reaches the service, or None."""
        if call.forwarded_service is not None:
            return None
        candidates = self._host.paths.candidates(
            call.service, progress.excluded_lifetimes, now
        )
        if not candidates or not self._may_send_again(call, progress):
            return None
        self._count_in_budget(call, progress)
        attempt = attempts.Attempt(
            self._host.paths.choose(candidates),
            len(candidates),
            0.0,
            now,
            self._host.memory,
            is_forwarded=True,
        )
        progress.attempts.append(attempt)
        return attempt

    def _check_forwarding(self, call, wait_policy, now):
        """Raise ProxyError if a call must not wait for a host that takes it."""
        is_forwarded = call.forwarded_service is not None
        left_s = call.deadline - now - forwarding.MAX_WAIT_S
        if (
            is_forwarded
            or left_s < 0.0
            or now - wait_policy.since >= forwarding.MAX_WAIT_S
            or not self._host.paths.may_expect_offer(call.service, now)
        ):
            raise errors.ProxyError(
                errors.ErrorKind.HOST_CUT_OFF,
                f"this host reaches no server of {call.service}, and no host that does",
                retry_after_s=forwarding.RETRY_AFTER_S,
            )

    def _check_origin(self, call, progress):
        """Restore the origin of a stream that another host began for this one."""
        if progress.has_response_begun and call.software_version is None:
            call.resumed_id = call.resumed_id or call.request_id
            self._host.restore_origin(call)

    def _take_turn(self, announcement, max_wait_s):
        """Wait for a turn at a server with a limit; return whether it can be used."""
        turn = self._host.take_turn(announcement, max_wait_s)
        if turn is None or not turn.is_given:
            gevent.sleep(0)  # the next choice may be made at once
            return False
        if turn.wait_s > 0.0:
            gevent.sleep(turn.wait_s)
        return self._host.server_selector.may_send(announcement, clock.now())

    def _expected_availability(self, call, progress, now):
        turn_wait_s = self._host.server_selector.least_turn_wait_s(
            call, progress.excluded_lifetimes, now
        )
        if turn_wait_s == math.inf:
            turn_wait_s = None  # nobody gives turns at present
        # This also requests an adapter that is missing.
        expected_availability = self._host.expected_availability(call, now, turn_wait_s)
        if call.software_version is None:
            pause_left_s = self._host.server_selector.pause_left_s(
                call, progress.excluded_lifetimes, now
            )
            if pause_left_s is None:
                return expected_availability
            return waiting.after_pause(
                expected_availability, pause_left_s, self._host.spread()
            )
        return self._host.server_selector.expected_for_begun_stream(
            call, progress.excluded_lifetimes, now
        )

    def _may_send_again(self, call, progress):
        """Return whether the retry budget still has room, as other calls use it too.

        The call may have waited for a server since it was checked. Raise ProxyError if
        there is no room and no fallback to return to.
        """
        if not progress.attempts or self._is_within_budget(call, progress):
            return True
        if progress.fallback is None:
            raise _retries_exhausted_error(progress, SPENT_BUDGET)
        return False

    def _is_within_budget(self, call, progress):
        return progress.has_reserved_retry or self._has_budget(call, progress, 1)

    def _has_budget(self, call, progress, further_retries):
        now = clock.now()
        return self._host.budget.allows(
            call.service,
            self._host.entry_counts.highest(now),
            now,
            further_retries,
            progress.has_response_begun,
        )

    def _count_in_budget(self, call, progress):
        now = clock.now()
        budget = self._host.budget
        if progress.has_reserved_retry:
            progress.has_reserved_retry = False  # recorded already
        elif progress.attempts:
            budget.record_retry(call.service, now)
        elif call.forwarded_service is None:
            budget.record_request(call.service, now)

    def _run_attempt(self, call, attempt, progress, connection):
        """Send a call to a server, or continue an attempt, and relay the response."""
        server_selector = self._host.server_selector
        is_silent = False
        try:
            if attempt.link is None:
                attempt.in_flight_call = server_selector.start_call(
                    call, attempt.announcement, clock.now()
                )
                self._host.load_policy.record_sent(
                    call, attempt.in_flight_call, clock.now()
                )
                attempt.link = self._connect(call, attempt)
                self._check_team(call)
                self._check_lifetime(call, attempt, progress)
                self._check_sendable(attempt)
                self._send(call, attempt, progress)
            self._receive(call, attempt, progress, connection)
        except (OSError, backendconnections.BackendError, ValueError) as error:
            attempt.detail = str(error) or type(error).__name__
            if attempt.outcome is None:
                attempt.outcome = calls.Outcome.NOT_CONNECTED
        except backendconnections.StallError:
            # The body of a refusal may stall too; the call has not run then.
            is_refused = attempt.outcome in calls.NOT_EXECUTED
            is_silent = not is_refused and progress.fallback is None
            if is_silent:
                attempt.detail = "no data within the timeout"
                attempt.outcome = calls.Outcome.SILENT
            elif not is_refused:
                # Only sending has a timeout beside a fallback.
                attempt.detail = "the call was not read within the timeout"
        except NotSendableError:
            attempt.detail = "the server wants no calls since it was selected"
            attempt.outcome = calls.Outcome.WITHHELD
        except FallbackResumedError:
            attempt.detail = "the server of an earlier attempt went on"
            attempt.outcome = calls.Outcome.SUPERSEDED
        except DeadlineExceededError:
            # The caller's pace may be why a long body is not at its end.
            if not progress.has_body_begun:
                view = server_selector.view(attempt.announcement)
                view.health.record_failure(clock.now(), False)
            self._crashes.record_departure(call, attempt)
            raise
        except calls.ResponseAbortedError:
            self._crashes.record_departure(call, attempt)
            raise
        finally:
            if not is_silent:
                self._end_attempt(attempt)
        self._crashes.record_soundness(call, attempt)
        self._update_health(attempt, server_selector)
        if attempt.outcome is calls.Outcome.ANSWERED and not attempt.is_forwarded:
            server_selector.record_answer(
                call, attempt, self._host.service(call.service), clock.now()
            )
        self._host.meter.attempt(call.service, attempt.outcome.value)

    def _end_attempt(self, attempt):
        """Stop counting an attempt as in flight, and release or close its connection.

        Closing the connection cancels an unfinished call at the server.
        """
        if attempt.in_flight_call is not None:
            self._host.server_selector.end_call(
                attempt.announcement, attempt.in_flight_call
            )
            attempt.in_flight_call = None
        link, attempt.link = attempt.link, None
        if link is not None and attempt.is_response_read:
            self.links.release(link)
        elif link is not None:
            link.close()

    def _end_fallback(self, call, progress):
        fallback, progress.fallback = progress.fallback, None
        if fallback is None:
            return
        fallback.link.receive_available()
        if fallback.link.has_ended and not fallback.is_forwarded:
            self._crashes.record_break(call, fallback)
        elif not fallback.link.has_ended:
            self._crashes.record_departure(call, fallback)
        self._end_attempt(fallback)

    def _connect(self, call, attempt):
        announcement = attempt.announcement
        now = clock.now()
        left_s = call.deadline - now
        max_idle_s = MAX_IDLE_S if call.is_repeatable else UNREPEATABLE_MAX_IDLE_S
        timeout_s = min(
            self._host.load_policy.connect_timeout_s(call, now), max(0.01, left_s)
        )
        try:
            link = self.links.acquire(
                announcement.instance_id,
                announcement.address,
                max_idle_s,
                timeout_s,
                call.request_id,
                self._confirmed_at(call, attempt),
            )
        except OSError as error:
            # Shortly before the deadline there is no time to connect.
            is_short = timeout_s < MIN_CONNECT_S and isinstance(error, TimeoutError)
            if not attempt.is_forwarded and not is_short:
                self._host.paths.record_unreachable(announcement)
            raise
        if not attempt.is_forwarded and not link.had_earlier_call:
            self._host.paths.record_connected(announcement)
        return link

    def _confirmed_at(self, call, attempt):
        """Return until when connections reach the announced lifetime for certain."""
        if attempt.is_forwarded or not call.software_version:
            return math.inf
        return self._host.lifetime_confirmed_until(attempt.announcement)

    def _with_confirmed_link(self, candidates):
        """Return the servers at which a begun stream goes on without a wait."""
        return [
            candidate
            for candidate in candidates
            if self.links.has_idle(
                candidate.announcement.instance_id,
                MAX_IDLE_S,
                self._host.lifetime_confirmed_until(candidate.announcement),
            )
        ]

    def _check_lifetime(self, call, attempt, progress):
        """Wait until the connection is known to reach the announced lifetime.

        A begun stream goes on only there, as a later one may run another version. Raise
        NotSendableError if this does not become known.
        """
        if attempt.is_forwarded or not call.software_version:
            return
        link = attempt.link
        ends_at = min(link.opened_at + MAX_CONFIRMATION_S, call.deadline)
        while not self._host.confirms_lifetime(attempt.announcement, link.opened_at):
            if progress.fallback and progress.fallback.link.receive_available():
                raise FallbackResumedError
            if clock.now() >= ends_at:
                attempt.link = None
                self.links.release(link)
                raise NotSendableError

    def _check_sendable(self, attempt):
        """Raise NotSendableError if the selected server may not be sent a call now."""
        now = clock.now()
        if attempt.is_forwarded or (
            self._host.standstill.hold_s(now) <= 0.0
            and self._host.server_selector.may_send(attempt.announcement, now)
        ):
            return
        link, attempt.link = attempt.link, None
        self.links.release(link)
        raise NotSendableError

    def _send(self, call, attempt, progress):
        left_s = call.deadline - clock.now()
        if left_s < MIN_REMAINING_S:
            raise DeadlineExceededError
        headers = self._request_headers(call, attempt, progress, left_s)
        # From here on the server may execute the call, even if sending fails.
        attempt.outcome = calls.Outcome.LOST
        attempt.sent_at = clock.now()
        limit_s = None if progress.fallback is None else stalltimeouts.ACCEPTANCE_S
        try:
            with gevent.Timeout(limit_s, backendconnections.StallError):
                attempt.link.send(call.method, call.target, headers, call.body)
        except backendconnections.InvalidRequestError:
            attempt.outcome = calls.Outcome.NOT_CONNECTED
            raise

    def _request_headers(self, call, attempt, progress, left_s):
        dialect = self._host.dialect
        if attempt.is_forwarded:
            relayed = dialect.relayed_headers(call, left_s, progress.last_event_id)
            return [
                # A caller must not speak for a host.
                *forwarding.without_headers(relayed),
                *forwarding.headers(call, self._host.peer_token, self._host.version()),
            ]
        return dialect.forwarded_headers(
            call,
            attempt.announcement.instance_id,
            left_s,
            progress.last_event_id,
            attempt.in_flight_call.level,
        )

    def _receive(self, call, attempt, progress, connection):
        timeouts = stalltimeouts.for_attempt(call, self._may_retry(call, progress))
        read = functools.partial(self._read, call, attempt, progress)
        if attempt.head is None:
            head = self._read_matching_head(call, attempt, read, timeouts)
            if not head.is_wrong_server and not attempt.is_forwarded:
                for tracker in (
                    self._host.limits,
                    self._host.brittle,
                    self._host.pauses,
                    self._host.leaving,
                ):
                    tracker.record_answer(
                        attempt.announcement, head, attempt.sent_at, clock.now()
                    )
            if head.load is not None and not attempt.is_forwarded:
                self._host.server_selector.record_load(
                    attempt.announcement, head.load, clock.now()
                )
            if head.is_wrong_server or head.is_not_executed:
                wrong = calls.Outcome.WRONG_SERVER
                attempt.outcome = (
                    wrong if head.is_wrong_server else calls.Outcome.NOT_RUN
                )
                attempt.detail = f"refused with {head.status}"
                if not attempt.is_forwarded:
                    has_id = bool(head.echoed_id)
                    attempt.link.record_refusal(call.request_id, has_id)
                if progress.fallback is None:
                    body = self._read_body(
                        attempt,
                        read,
                        timeouts,
                        backendconnections.MAX_UNUSED_BODY_BYTES,
                    )
                    # A begun stream may still go on at the host that it was left at.
                    is_begun = progress.has_response_begun
                    if attempt.is_forwarded and body is not None and not is_begun:
                        _check_refusal(attempt, head, body)
                return
            if not head.is_sealed or not _is_unencoded(head):
                raise backendconnections.BackendError(
                    f"response {head.status} has no checksum or is encoded"
                )
            if head.status in PROMISE_STATUSES and not call.is_repeatable:
                raise backendconnections.BackendError(
                    f"the server responded with {head.status} to a call it may have run"
                )
            if progress.fallback is not None and not progress.accepts(head):
                attempt.detail = f"the server responded with {head.status}"
                return
            attempt.head = head
            self._end_fallback(call, progress)
        is_stream = call.route.mode is calls.Mode.STREAM
        if progress.has_response_begun and not progress.continues(attempt.head):
            attempt.detail = f"response {attempt.head.status} to a resumed stream"
        elif is_stream and attempt.head.status == calls.STREAM_STATUS:
            self._relay_stream(call, attempt, progress, connection, timeouts, read)
        else:
            body = self._read_body(attempt, read, timeouts, MAX_HELD_BYTES)
            if body is None:
                self._relay_in_parts(call, attempt, progress, connection, read)
                return
            self._relay_or_reject_response(call, attempt, progress, connection, body)

    def _read(self, call, attempt, progress, limit_s, receive):
        """Return the result of ``receive``; time out only with an alternative."""

        def get_extension_s():
            if progress.fallback is not None:
                kept_s = self._check_fallback(call, attempt, progress)
                return kept_s or limit_s or call.deadline - clock.now()
            if self._has_alternative(call, attempt, progress):
                return 0.0
            return min(limit_s or math.inf, stalltimeouts.RECHECK_INTERVAL_S)

        first_limit_s = limit_s
        if progress.fallback is not None:
            kept_s = self._check_fallback(call, attempt, progress)
            first_limit_s = kept_s or limit_s
        link = attempt.link
        result = link.read_with_timeout(first_limit_s, receive, get_extension_s)
        if not attempt.is_forwarded:
            self._host.paths.record_received(call.service)
        return result

    def _check_fallback(self, call, attempt, progress):
        """Return how long to keep the fallback until the next check, 0.0 if it ended.

        Raise FallbackResumedError if its server went on.
        """
        fallback = progress.fallback
        if fallback.link.receive_available():
            raise FallbackResumedError
        if fallback.link.has_ended:
            self._end_fallback(call, progress)
            self._crashes.has_crashed_server(call, fallback)
            return 0.0
        if call.route.mode is not calls.Mode.STREAM:
            # Calls that are no streams may run at two servers at the same time.
            return stalltimeouts.RECHECK_INTERVAL_S
        left_s = attempt.sent_at + stalltimeouts.ACCEPTANCE_S - clock.now()
        if left_s > 0.0:
            return left_s
        # Its server is tried again if the other one refuses the call after all.
        progress.excluded_lifetimes.discard(fallback.announcement.lifetime)
        self._end_fallback(call, progress)
        return 0.0

    def _has_alternative(self, call, attempt, progress):
        # A stream that is refused after its silent attempt was ended is sent once more.
        further_retries = 2 if call.route.mode is calls.Mode.STREAM else 1
        if not self._may_retry(call, progress, further_retries):
            return False
        excluded_lifetimes = progress.excluded_lifetimes | {
            attempt.announcement.lifetime
        }
        now = clock.now()
        if self._host.paths.is_cut(call.service):
            return call.forwarded_service is None and bool(
                self._host.paths.candidates(call.service, excluded_lifetimes, now)
            )
        service = self._host.service(call.service)
        return bool(
            self._host.server_selector.candidates(
                call, service, excluded_lifetimes, now
            )
        )

    def _read_matching_head(self, call, attempt, read, timeouts):
        link = attempt.link
        while True:
            if attempt.is_discarding:
                read(timeouts.initial_s, link.discard_response)
                attempt.is_discarding = False
            head = read(
                timeouts.initial_s,
                lambda: link.read_head(self._host.dialect.parse_response_head),
            )
            if head.echoed_id == call.request_id:
                return head
            is_own = attempt.is_forwarded or link.request_count == 1
            if head.is_not_executed and not head.echoed_id and is_own:
                return head
            if not head.echoed_id and not head.is_not_executed:
                attempt.has_host_answered = (
                    attempt.is_forwarded and head.status in SERVER_FAILED_STATUSES
                )
                raise backendconnections.BackendError("the response has no request id")
            # This is a late response to an earlier call; the expected one follows it. A
            # refusal without an id may be one, too.
            attempt.is_discarding = True
            self._record_late_response(call, attempt, head)

    def _record_late_response(self, call, attempt, head):
        self.late_responses += 1
        self._log.write_limited(
            clock.now(),
            "late-response",
            f"{attempt.announcement.instance_id} sent a response to an earlier call",
            request_id=call.request_id,
            earlier_id=head.echoed_id,
            status=head.status,
            is_refusal=head.is_not_executed,
        )

    def _read_body(self, attempt, read, timeouts, max_bytes):
        """Return the body, or None if there is more of it than can be held."""
        while True:
            part = read(timeouts.initial_s, attempt.link.read_part)
            if part is None:
                attempt.is_response_read = True
                return bytes(attempt.body)
            attempt.body += part
            if len(attempt.body) > max_bytes or not attempt.holding.grow(len(part)):
                attempt.holding.resize(len(attempt.body))
                return None

    def _relay_in_parts(self, call, attempt, progress, connection, read):
        """Relay a response that is too long to be held, no faster than it is taken.

        An error response is not relayed if it has no length, as it may have no end, or
        if another server may be tried.
        """
        head = attempt.head
        length = framing.header(head.headers, b"content-length")
        is_error = head.status >= calls.MIN_SERVER_ERROR_STATUS
        if is_error and (not length or self._may_retry(call, progress)):
            raise backendconnections.BackendError(
                f"the body of the response {head.status} is too long to be held"
            )
        headers = _response_headers(head)
        if length:
            headers.append((b"content-length", length))
        progress.has_response_begun = progress.has_body_begun = True
        connection.start_response(head.status, headers)
        part, attempt.body = bytes(attempt.body), bytearray()
        while part is not None:
            attempt.holding.resize(len(part))
            connection.write_body(part)
            part = read(None, attempt.link.read_part)
        attempt.is_response_read = True
        attempt.outcome = calls.Outcome.ANSWERED
        connection.end_response()

    def _relay_or_reject_response(self, call, attempt, progress, connection, body):
        # On an early return the outcome stays LOST; the call is then retried or fails.
        head = attempt.head
        is_error = head.status >= calls.MIN_SERVER_ERROR_STATUS
        if is_error and self._may_retry(call, progress):
            attempt.detail = f"the server responded with {head.status}"
            progress.error_response = attempts.ErrorResponse(head, body)
            return
        attempt.outcome = calls.Outcome.ANSWERED
        progress.has_response_begun = True
        headers = _response_headers(head)
        length = framing.header(head.headers, b"content-length")
        if call.method == b"HEAD" and length:
            headers.append((b"content-length", length))
        connection.send_response(head.status, headers, body)

    def _relay_stream(self, call, attempt, progress, connection, timeouts, read):
        in_flight_call = attempt.in_flight_call
        while True:
            has_first_event = in_flight_call.has_first_event
            limit_s = timeouts.idle_s if has_first_event else timeouts.initial_s
            part = read(limit_s, attempt.link.read_part)
            if part is None:
                break
            received = attempt.splitter.add(part)
            self._hold_stream(attempt, len(part))
            sound = eventstream.count_sound(received, self._host.dialect.event_fields)
            events = received[:sound]
            if events:
                in_flight_call.has_first_event = True
                attempt.event_count += len(events)
                if attempt.first_event_at is None:
                    attempt.first_event_at = clock.now()
                    self._host.server_selector.record_first_event(
                        call, attempt, attempt.first_event_at
                    )
                if not progress.has_response_begun and not attempt.is_forwarded:
                    call.software_version = attempt.announcement.software_version
                    # Before the event, because the host may be killed after it.
                    self._host.record_origin(call)
                self._relay_events(progress, connection, attempt.head, events)
            self._hold_stream(attempt, 0)
            if sound < len(received):
                raise backendconnections.BackendError(
                    "the stream has lines that belong to no event"
                )
        attempt.is_response_read = True
        self._relay_stream_end(progress, connection, attempt)
        attempt.outcome = calls.Outcome.ANSWERED
        connection.end_response()

    def _hold_stream(self, attempt, received_bytes):
        """Count what is held of a stream; raise BackendError for a long event.

        Data that the caller does not take yet is counted beyond the budget, which
        leaves less room for new calls.
        """
        partial_bytes = attempt.splitter.partial_bytes
        growth = partial_bytes - attempt.holding.size
        if partial_bytes > memorybudget.SMALL_BYTES and not attempt.holding.grow(
            growth
        ):
            raise backendconnections.BackendError(
                f"there is no memory for an event of over {partial_bytes} bytes"
            )
        attempt.holding.resize(partial_bytes + STREAM_COPIES * received_bytes)

    def _relay_stream_end(self, progress, connection, attempt):
        """Relay what follows the last event; raise BackendError if that is partial.

        A stream that ends with its connection before any event was broken off.
        """
        rest = b""
        if framing.has_explicit_end(attempt.head.headers):
            rest = attempt.splitter.take_end_marker()
        elif attempt.first_event_at is None and not progress.last_event_id:
            raise backendconnections.BackendError("the stream ended without an event")
        if attempt.splitter.has_partial_event:
            raise backendconnections.BackendError(
                "the stream ended with an incomplete event"
            )
        self._start_response(progress, connection, attempt.head)
        if rest:
            connection.write_body(rest)

    def _start_response(self, progress, connection, head):
        if not progress.has_response_begun:
            connection.start_response(head.status, _response_headers(head))
            progress.has_response_begun = True
            progress.stream_type = framing.media_type(head.headers)

    def _relay_events(self, progress, connection, head, events):
        self._start_response(progress, connection, head)
        new_events = []
        for event, event_id in events:
            if event_id and _is_already_sent(event_id, progress.last_event_id):
                continue
            new_events.append(event)
            progress.last_event_id = event_id or progress.last_event_id
        connection.write_body(b"".join(new_events))

    def _update_health(self, attempt, server_selector):
        """Update the health of the server from the outcome of an attempt."""
        health = server_selector.view(attempt.announcement).health
        now = clock.now()
        if attempt.outcome is calls.Outcome.ANSWERED:
            health.record_success()
        elif attempt.outcome is calls.Outcome.NOT_RUN:
            health.record_not_executed(now)
        elif attempt.outcome is calls.Outcome.NOT_CONNECTED:
            health.record_failure(now, is_unreachable=True)
        elif attempt.outcome not in (
            calls.Outcome.WITHHELD,
            calls.Outcome.WRONG_SERVER,
            calls.Outcome.SUPERSEDED,
        ):
            health.record_failure(now, is_unreachable=False)

    def _may_retry(self, call, progress, further_retries=1):
        """Return whether a call can be retried if a server may have executed it."""
        if (
            not call.is_repeatable
            or progress.has_body_begun
            or progress.possible_executions + 1 >= call.max_attempts
            or progress.unexecuted_attempts > MAX_UNEXECUTED_ATTEMPTS
        ):
            return False
        return self._has_budget(call, progress, further_retries)

    def _next_attempt(self, call, attempt, progress):
        """Return the attempt after a failed one; raise ProxyError if there is none.

        It is a new one, or a silent one that no other server has replaced.
        """
        outcome = attempt.outcome
        progress.excluded_lifetimes.add(attempt.announcement.lifetime)
        calllog.write_attempt(self._log, call, attempt)
        if outcome is calls.Outcome.WRONG_SERVER:
            self._host.server_selector.remove_adapter(attempt.announcement, call.need)
        if outcome is calls.Outcome.SILENT:
            progress.keep_silent(attempt)
            next_attempt = self._start_attempt(call, progress)
            if next_attempt is None:
                return progress.return_to_fallback()
            self._reserve_retry(call, progress)
            return next_attempt
        if outcome is calls.Outcome.WITHHELD:
            progress.has_reserved_retry = True  # the next one is counted already
        elif outcome in calls.NOT_EXECUTED:
            progress.unexecuted_attempts += 1
        else:
            progress.possible_executions += 1
        has_crashed_server = outcome is calls.Outcome.LOST and (
            self._crashes.has_crashed_server(call, attempt)
        )
        if progress.fallback is None:
            if has_crashed_server:
                raise errors.ProxyError(
                    errors.ErrorKind.BACKEND_FAILED,
                    "the server crashed when it began the response",
                )
            self._check_retry(call, progress)
        # The same server may accept the call later. Another host may try another one.
        is_usable_again = attempt.has_host_answered or (
            not attempt.is_forwarded
            and outcome
            in (
                calls.Outcome.NOT_RUN,
                calls.Outcome.NOT_CONNECTED,
                calls.Outcome.WITHHELD,
            )
        )
        if is_usable_again:
            progress.excluded_lifetimes.discard(attempt.announcement.lifetime)
        if progress.fallback is not None:
            return progress.return_to_fallback()
        return self._start_attempt(call, progress)

    def _reserve_retry(self, call, progress):
        """Set a retry aside for a stream whose next server may refuse it.

        The silent attempt has ended by then, so the stream could not go on otherwise.
        """
        if call.route.mode is calls.Mode.STREAM and not progress.has_reserved_retry:
            progress.has_reserved_retry = True
            self._host.budget.record_retry(call.service, clock.now())

    def _check_retry(self, call, progress):
        """Raise ProxyError if a call must not be sent again."""
        is_final = progress.has_body_begun or not call.is_repeatable
        if progress.may_have_executed() and is_final:
            raise errors.ProxyError(
                errors.ErrorKind.BACKEND_FAILED,
                "the server sent no complete response",
            )
        if (
            progress.possible_executions >= call.max_attempts
            or progress.unexecuted_attempts > MAX_UNEXECUTED_ATTEMPTS
        ):
            raise _retries_exhausted_error(progress, MAX_ATTEMPTS_MADE)
        if not self._is_within_budget(call, progress):
            raise _retries_exhausted_error(progress, SPENT_BUDGET)

    def _end_with_error(self, call, progress, connection, error):
        """Record the outcome of a failed call and send an error response.

        An error response that a server has sent takes precedence. If a response has
        begun, raise ResponseAbortedError instead, so that the connection closes and the
        response stays incomplete.
        """
        self._end_fallback(call, progress)
        kept = progress.error_response
        if kept is not None and not progress.has_response_begun:
            calllog.write_outcome(self._log, self._host, call, progress, "answered")
            headers = _response_headers(kept.head)
            connection.send_response(kept.head.status, headers, kept.body)
            return
        if progress.may_have_executed() and error.status in NOT_EXECUTED_STATUSES:
            error = errors.ProxyError(errors.ErrorKind.BACKEND_FAILED, error.detail)
        calllog.write_outcome(self._log, self._host, call, progress, str(error))
        if progress.has_response_begun:
            # Closing without the last chunk marks the response as incomplete.
            connection.is_closing = True
            raise calls.ResponseAbortedError
        if _may_come_back(call, error):
            self._host.load_policy.record_failed(call, clock.now())
        self.refusals.record(call, error, self._host.decision_inputs, clock.now())
        status, headers, body = callers.problem(
            error, teamrecords.quoted_id(call) if call.hides_key else ""
        )
        if call.forwarded_service is not None and error.executed == "no":
            headers += self._host.dialect.refusal_headers()
        connection.send_response(status, headers, body)


def _check_refusal(attempt, head, body):
    """Raise the error with which a host refused a call if it is final.

    A host refuses as this one would if it had the same servers, unless the cause is the
    host itself.
    """
    error = forwarding.refusal(body)
    if error.kind in forwarding.LOCAL_REFUSALS:
        attempt.detail = str(error)
        return
    retry_after = framing.header(head.headers, b"retry-after").decode("latin-1")
    error.retry_after_s = framing.decimal(retry_after) or error.retry_after_s
    raise error


def _may_come_back(call, error):
    """Return whether a caller may send a call again after an error."""
    if call.route is None or call.forwarded_service is not None:
        return False
    is_failure = error.status >= calls.MIN_SERVER_ERROR_STATUS
    return error.status in PROMISE_STATUSES or (is_failure and call.is_repeatable)


def _max_turn_wait_s(call, progress, now):
    """Return how long a call may wait for its turn at a server with a limit."""
    if progress.fallback is not None:
        return 0.0
    left_s = call.deadline - now - serverlimits.SERVING_MARGIN_S
    return max(0.0, min(serverlimits.MAX_TURN_WAIT_S, left_s))


def _is_unencoded(head):
    return not framing.header(head.headers, b"content-encoding")


def _response_headers(head):
    return [
        (key, value)
        for key, value in framing.end_to_end(head.headers)
        if key != b"content-length"
    ]


def _is_already_sent(event_id, last_event_id):
    ids = (event_id, last_event_id)
    if not all(text.isascii() and text.isdigit() for text in ids):
        return False
    # Compared as texts: ids may be longer than the numbers that int accepts.
    event_digits, last_digits = (text.lstrip("0") for text in ids)
    return (len(event_digits), event_digits) <= (len(last_digits), last_digits)


def _deadline_error(progress):
    if progress.may_have_executed():
        return errors.ProxyError(
            errors.ErrorKind.BACKEND_TIMEOUT,
            "no complete response before the deadline of the call",
        )
    return errors.ProxyError(
        errors.ErrorKind.DEADLINE_UNREACHABLE,
        "no server accepted the call before its deadline",
    )


def _stopping_error():
    return errors.ProxyError(
        errors.ErrorKind.STOPPING, "the host stops before the call has ended"
    )


def _internal_error(progress):
    return errors.ProxyError(
        errors.ErrorKind.INTERNAL,
        "the host failed to process the call",
        executed=None if progress.may_have_executed() else "no",
    )


def _retries_exhausted_error(progress, reason):
    if progress.may_have_executed():
        return errors.ProxyError(
            errors.ErrorKind.BACKEND_FAILED,
            f"no server sent a complete response, and {reason}",
        )
    return errors.ProxyError(
        errors.ErrorKind.OVERLOADED,
        f"no server accepted the call, and {reason}",
        retry_after_s=OVERLOADED_RETRY_AFTER_S,
    )
