"""Headers of calls and answers on the platform."""

from kumquatproxy import errors
from kumquatproxy.gateway import calls, dialects, framing
from kumquatproxy.platform import configformat, engineformat

REQUEST_ID = b"kumquatproxy-request-id"
DEADLINE = b"kumquatproxy-deadline-ms"
MODEL = b"kumquatproxy-model"
TOKENS = b"kumquatproxy-token-usage"
PREFIX = b"kumquatproxy-prompt-prefix"
LENGTH_HINT = b"kumquatproxy-length-hint"
EXPECT_INSTANCE = b"kumquatproxy-expect-instance"
PRIORITY = b"kumquatproxy-request-priority"
SEAL = b"kumquatproxy-response-seal"  # checksum of a whole answer
NOT_EXECUTED = b"kumquatproxy-not-executed"
LOAD = b"kumquatproxy-server-load"
LAST_EVENT_ID = b"last-event-id"

# Headers that only this system may set on calls to backend servers.
OWN_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECT_INSTANCE,
        PRIORITY,
        LAST_EVENT_ID,
        b"kumquatproxy-expect-version",
        b"kumquatproxy-hold",
        b"kumquatproxy-pin-ms",
        b"kumquatproxy-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"expect",
        b"content-length",
    )
)
WRONG_SERVER_STATUS = 421
LOWEST_PRIORITY = 9


@dialects.DIALECTS.register("platform")
class PlatformDialect(dialects.Dialect):
    """Translate the headers and bodies that the platform uses."""

    def read_call(self, call: calls.Call) -> None:
        """Set the fields of a call that its headers hold."""
        call.request_id = _text(call.headers, REQUEST_ID)
        call.last_event_id = _text(call.headers, LAST_EVENT_ID)
        model = _text(call.headers, MODEL)
        if not model:
            return
        name, _, adapter = model.partition("/")
        prompt_tokens, max_output_tokens = _token_counts(_text(call.headers, TOKENS))
        hint = _text(call.headers, LENGTH_HINT)
        call.need = calls.ModelNeed(
            name,
            adapter,
            prompt_tokens,
            max_output_tokens,
            int(hint) if hint.isdigit() else max_output_tokens,
            _parts(_text(call.headers, PREFIX)),
        )

    def deadline_s(self, call: calls.Call) -> float | None:
        """Return how long the caller waits."""
        text = _text(call.headers, DEADLINE)
        return int(text) / 1000 if text.isdigit() else None

    def forwarded_headers(
        self, call, instance_id: str, left_s: float, last_event_id: str, priority=None
    ):
        """Return the headers of a call as they go to a backend server."""
        headers = [
            (key, value)
            for key, value in framing.end_to_end(call.headers)
            if key not in OWN_HEADERS
        ]
        headers.append((EXPECT_INSTANCE, instance_id.encode()))
        headers.append((DEADLINE, str(max(1, int(left_s * 1000))).encode()))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id.encode()))
        if priority is not None:
            level = min(LOWEST_PRIORITY, max(0, priority))
            headers.append((PRIORITY, str(level).encode()))
        if call.body or call.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        return headers

    def read_answer(self, status: int, headers) -> calls.AnswerHead:
        """Return the head of a backend server's answer."""
        head = calls.AnswerHead(status, headers)
        head.echoed_id = _text(headers, REQUEST_ID)
        head.is_wrong_server = status == WRONG_SERVER_STATUS
        head.is_not_executed = bool(framing.header(headers, NOT_EXECUTED))
        head.is_sealed = bool(framing.header(headers, SEAL))
        head.load = _load(_text(headers, LOAD))
        return head

    def report_call(self, announcement):
        """Return the call for an engine's report."""
        return b"GET", engineformat.REPORT, _call_headers(announcement, b""), b""

    def read_report(self, body: bytes):
        """Return an engine's report."""
        return engineformat.read_report(body)

    def order_call(self, announcement, order, holder: str, fence: int):
        """Return the call that gives an order."""
        body = engineformat.write_order(order, holder, fence)
        headers = _call_headers(announcement, body)
        headers.append((EXPECT_INSTANCE, announcement.instance_id.encode()))
        return b"POST", engineformat.ORDER, headers, body

    def read_order_answer(self, status: int):
        """Return what came of an order."""
        return engineformat.OUTCOMES.get(status, engineformat.OTHER_OUTCOME)

    def parse_configuration(self, data: bytes):
        """Return a checked configuration."""
        return configformat.parse(data)


def _call_headers(announcement, body):
    headers = [(b"host", announcement.address.encode())]
    if body:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", str(len(body)).encode()))
    return headers


def _text(headers, name):
    return framing.header(headers, name).decode("latin-1").strip()


def _token_counts(text):
    first, _, second = text.partition(",")
    if not (first.strip().isdigit() and second.strip().isdigit()):
        return 0, 0
    return int(first), int(second)


def _parts(text):
    """Return the parts of a prompt; the header names them in order."""
    parts: list[calls.PromptPart] = []
    for pair in filter(None, text.split(",")):
        part_id, _, tokens = pair.strip().partition(":")
        if not tokens.isdigit():
            return parts
        parts.append(calls.PromptPart(part_id, int(tokens)))
    return parts


def _load(text):
    numbers = text.split(",")
    if len(numbers) != 3 or not all(one.strip().isdigit() for one in numbers):
        return None
    running, waiting, slots = (int(one) for one in numbers)
    return calls.ServerLoad(running, waiting, slots)


def invalid(detail: str) -> errors.ProxyError:
    """Return the error of a message that cannot be read."""
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
