"""Log lines and counts of calls and their attempts."""

from kumquatproxy import clock, logs
from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls, repetitions

MAX_DETAIL_LENGTH = 200


def write_attempt(log: logs.Log, call: calls.Call, attempt) -> None:
    """Write the line of a failed attempt, unless there are too many."""
    log.write_limited(
        clock.now(),
        f"attempt-{attempt.outcome.value}",
        f"attempt at {attempt.announcement.instance_id} ended with outcome "
        f"{attempt.outcome.value}: {attempt.detail[:MAX_DETAIL_LENGTH]}",
        request_id=call.request_id,
        route=call.route.name,
    )


def write_outcome(log: logs.Log, host, call: calls.Call, progress, text: str) -> None:
    """Write the line of a call that has ended, and count it at its host.

    ``text`` is the outcome, or an error in the form "kind: detail".
    """
    now = clock.now()
    host.meter.call(
        call.route.name if call.route else "",
        call.route.mode.value if call.route else "",
        # The metric has only the kind.
        text.partition(":")[0],
        now - call.arrived_at,
        progress.waited_s,
    )
    log.write(
        now,
        text,
        request_id=call.request_id,
        route=call.route.name if call.route else "",
        need=call.need.key() if call.need else "",
        version=serviceconfig.version_or_none(host.version()),
        resumes=call.resumed_id,
        software_version=call.software_version,
        is_forwarded=call.forwarded_service is not None,
        **({"team": call.team.name} if call.team else {}),
        **_crash_fields(call, progress),
        attempts=[_attempt_fields(attempt, call) for attempt in progress.attempts],
        response_begun=progress.has_response_begun,
        waited_ms=round(progress.waited_s * 1000),
        took_ms=round((now - call.arrived_at) * 1000),
        timeout_ms=round((call.deadline - call.arrived_at) * 1000),
        spent_ms=round(call.spent_s * 1000),
    )


def _attempt_fields(attempt, call):
    """Return the log fields of an attempt, with times since the call's arrival."""
    return {
        "server": attempt.announcement.instance_id,
        "born_ms": attempt.announcement.born_ms,
        "software_version": attempt.announcement.software_version,
        "at_ms": round((attempt.started_at - call.arrived_at) * 1000),
        "candidates": attempt.candidate_count,
        "predicted_ms": round(attempt.lowest_delay_s * 1000),
        **_choice_fields(attempt.choice),
        "outcome": attempt.outcome.value if attempt.outcome else "not-sent",
        "has_head": attempt.head is not None,
        "has_first_event": attempt.first_event_at is not None,
        **_time_fields(attempt),
        "detail": attempt.detail[:MAX_DETAIL_LENGTH],
    }


def _time_fields(attempt):
    """Return the log fields that the prediction of a choice is compared with."""
    fields = {}
    if attempt.sent_at:
        fields["connect_ms"] = round((attempt.sent_at - attempt.started_at) * 1000)
        if attempt.first_event_at is not None:
            first_s = attempt.first_event_at - attempt.sent_at
            fields["first_ms"] = round(first_s * 1000)
    return fields


def _choice_fields(choice):
    """Return the log fields that tell why a server was selected."""
    if choice is None or choice.estimate is None:
        return {}
    estimate = choice.estimate
    return {
        "reason": choice.reason,
        "ahead_ms": round(estimate.ahead_s * 1000),
        "own_ms": round(estimate.own_s * 1000),
        "finish_ms": round(estimate.finish_s * 1000),
    }


def _crash_fields(call, progress):
    """Return the log fields that tell what calls have in common at crashed servers."""
    if not progress.has_broken_attempt():
        return {"caller": call.caller, "repetition": "", "parts": []}
    parts = call.need.parts[:-1] if call.need else ()
    return {
        "caller": call.caller,
        "repetition": " ".join(repetitions.keys(call)),
        "parts": [part.part_id for part in parts],
    }
