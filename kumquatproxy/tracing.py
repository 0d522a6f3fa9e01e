"""Timelines of single requests, and the most frequent failures, from host logs."""

import collections
import json

MAX_SHOWN_PROBLEMS = 15
# Log text of a successful call; every other text counts as a failure.
ANSWERED = "call: answered"


class Line:
    """Hold the fields of one log line and the host that wrote it."""

    __slots__ = ("fields", "host")

    def __init__(self, host, fields):
        self.host: str = host
        self.fields: dict = fields

    @property
    def timestamp(self) -> float:
        """Return the wall-clock time at the host, in seconds."""
        return self.fields.get("timestamp", 0.0)

    @property
    def text(self) -> str:
        """Return the message text."""
        return self.fields.get("text", "")


def read(text: str, host: str) -> list[Line]:
    """Parse a log.

    A log collector may put the host's name before the JSON; it replaces ``host``.
    """
    lines = []
    for raw in text.splitlines():
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
        except json.JSONDecodeError:
            continue  # truncated when the process ended
        words = raw[:start].split()
        lines.append(Line(words[-1] if words else host, fields))
    return lines


def request_events(lines: list[Line], request_id: str) -> list[dict]:
    """Return the events of one request, grouped by host and by time within a host.

    Each host contributes the arrival of the call, its attempts and the outcome. There
    is no order across hosts, because their clocks may differ.
    """
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    events = []
    for line in sorted(request_lines, key=lambda line: (line.host, line.timestamp)):
        attempts = line.fields.get("attempts")
        if attempts is None:
            continue
        arrived_at = line.timestamp - line.fields.get("took_ms", 0) / 1000
        events.append(_event(line, arrived_at, f"arrives for {_describe_route(line)}"))
        for attempt in attempts:
            at = arrived_at + attempt["at_ms"] / 1000
            software_version = attempt.get("software_version")
            at_version = f" at version {software_version}" if software_version else ""
            sentence = (
                f"goes to {attempt['server']}{at_version}, "
                f"one of {attempt['candidates']}, "
                f"predicted {attempt['predicted_ms']} ms: {attempt['outcome']}"
            )
            if attempt["detail"]:
                sentence += f" ({attempt['detail']})"
            events.append(_event(line, at, sentence))
        took_ms = line.fields.get("took_ms", 0)
        outcome = line.text.removeprefix("call: ")
        sentence = f"{outcome} after {took_ms} ms"
        if _is_cut(line):
            sentence += "; the response was cut off"
        events.append(_event(line, line.timestamp, sentence))
    return events


def _is_cut(line):
    """Return whether a call failed after the caller had received a response head."""
    return line.text != ANSWERED and line.fields.get("response_begun", False)


def _describe_route(line):
    need = line.fields.get("need")
    route = line.fields.get("route") or "an unknown route"
    version = line.fields.get("version")
    version = "no version" if version is None else f"version {version}"
    model = f", model {need}" if need else ""
    resumed_id = line.fields.get("resumes")
    resumed = f", resumes {resumed_id}" if resumed_id else ""
    return f"route {route} of {version}{model}{resumed}"


def _event(line, at, sentence):
    return {"at": round(at, 3), "host": line.host, "text": sentence}


def problems(lines: list[Line]) -> list[dict]:
    """Return the most frequent call failures, with an example request id each."""
    counts: collections.Counter = collections.Counter()
    examples: dict[str, str] = {}
    for line in lines:
        is_call = line.fields.get("attempts") is not None
        if not is_call or line.text == ANSWERED:
            continue
        code = line.text.removeprefix("call: ").partition(":")[0]
        route = line.fields.get("route") or "no route"
        outcomes = [attempt["outcome"] for attempt in line.fields["attempts"]]
        key = f"{code}, {route}, attempts {outcomes or 'none'}"
        if _is_cut(line):
            key += ", response cut off"
        counts[key] += 1
        examples.setdefault(key, line.fields.get("request_id", ""))
    return [
        {"count": count, "problem": key, "example": examples[key]}
        for key, count in counts.most_common(MAX_SHOWN_PROBLEMS)
    ]
