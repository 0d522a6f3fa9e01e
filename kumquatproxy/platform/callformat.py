"""The platform's dialect: headers of calls and answers, reports and orders."""

from kumquatproxy import errors
from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls, dialects, framing
from kumquatproxy.platform import (
    configformat,
    configinspection,
    controlapi,
    engineformat,
)

REQUEST_ID = b"kumquatproxy-request-id"
DEADLINE = b"kumquatproxy-deadline-ms"
MODEL = b"kumquatproxy-model"
TOKENS = b"kumquatproxy-token-usage"
PREFIX = b"kumquatproxy-prompt-prefix"
CREDENTIAL = b"kumquatproxy-credential"  # key of a team
TENANT = b"kumquatproxy-tenant"  # name of the team that holds the key
LENGTH_HINT = b"kumquatproxy-length-hint"
EXPECT_INSTANCE = b"kumquatproxy-expect-instance"
PRIORITY = b"kumquatproxy-request-priority"
SEAL = b"kumquatproxy-response-seal"  # marks a complete answer; its value is not read
NOT_EXECUTED = b"kumquatproxy-not-executed"
LOAD = b"kumquatproxy-server-load"
WEIGHT_VERSIONS = b"kumquatproxy-weight-versions"  # also a field of events
LIMIT = b"server-limit"  # requests a second from all hosts together
BRITTLE = b"server-brittle"  # refusals a second after which a server falls over
LEAVING = b"server-leaving"  # "1" in all answers of a server that leaves
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
RETRY_AFTER = b"retry-after"  # seconds, from a server and to callers

# Headers of a caller that are not forwarded; the entry host sets some of them itself.
NOT_FORWARDED_HEADERS = frozenset(
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
USUAL_PACE = 100  # of a server's machine; twice as much means half as fast
LOWEST_PRIORITY = 9  # 0 is the highest, in reverse of ``CallRequest.priority``


@dialects.DIALECTS.register("platform")
class PlatformDialect(dialects.Dialect):
    """Translate the platform's headers and bodies."""

    event_fields = frozenset((WEIGHT_VERSIONS,))
    hard_load_terms = frozenset(("pressure",))
    max_configuration_bytes = controlapi.MAX_BODY_BYTES

    def read_call(self, call: calls.Call) -> None:
        """Set the fields of a call from its headers."""
        call.request_id = _header_text(call.headers, REQUEST_ID)
        call.last_event_id = _header_text(call.headers, LAST_EVENT_ID)
        call.resumed_id = _header_text(call.headers, RESUMES)
        counts = _token_counts(_header_text(call.headers, TOKENS))
        call.stated_tokens = None if counts is None else sum(counts)
        call.key_digest = _key_digest(call.headers)
        model = _header_text(call.headers, MODEL)
        if not model:
            return
        name, _, adapter = model.partition(configformat.MODEL_SEPARATOR)
        prompt_tokens, max_output_tokens = counts or (0, 0)
        hint = framing.number(_header_text(call.headers, LENGTH_HINT))
        call.need = calls.ModelNeed(
            name,
            adapter,
            prompt_tokens,
            max_output_tokens,
            max_output_tokens if hint is None else hint,
            _prompt_parts(_header_text(call.headers, PREFIX)),
        )

    def caller_timeout_s(self, call: calls.Call) -> float | None:
        """Return the caller's time limit in seconds, or None without one."""
        timeout_ms = framing.number(_header_text(call.headers, DEADLINE))
        return None if timeout_ms is None else timeout_ms / 1000

    def forwarded_headers(
        self, call, instance_id: str, left_s: float, last_event_id: str, priority=None
    ):
        """Return the headers of a call for a backend server."""
        headers = self.relayed_headers(call, left_s, last_event_id)
        headers.append((EXPECT_INSTANCE, instance_id.encode()))
        if call.team is not None:
            headers.append((TENANT, call.team.name.encode()))
        if priority is not None:
            level = min(LOWEST_PRIORITY, max(0, priority))
            headers.append((PRIORITY, str(level).encode()))
        return headers

    def relayed_headers(self, call, left_s: float, last_event_id: str):
        """Return the headers of a call for another host."""
        headers = [
            (key, value)
            for key, value in framing.end_to_end(call.headers)
            if key not in NOT_FORWARDED_HEADERS
            and not (call.hides_key and _names_team(key))
        ]
        headers.append((DEADLINE, str(max(1, int(left_s * 1000))).encode()))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id.encode()))
        if call.body or call.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        return headers

    def refusal_headers(self):
        """Return the header by which a server says that it did not run a call."""
        return [(NOT_EXECUTED, b"1")]

    def parse_response_head(self, status: int, headers) -> calls.ResponseHead:
        """Return the parsed head of a backend server's answer."""
        head = calls.ResponseHead(status, headers)
        head.echoed_id = _header_text(headers, REQUEST_ID)
        head.is_wrong_server = status == WRONG_SERVER_STATUS
        head.is_not_executed = bool(framing.header(headers, NOT_EXECUTED))
        head.is_sealed = bool(framing.header(headers, SEAL))
        head.load = _server_load(_header_text(headers, LOAD))
        head.is_leaving = _header_text(headers, LEAVING) == "1"
        head.names_limit = bool(framing.header(headers, LIMIT))
        head.request_limit = framing.decimal(_header_text(headers, LIMIT))
        head.names_pause = bool(framing.header(headers, RETRY_AFTER))
        head.pause_s = framing.retry_after_s(headers)
        head.refusals_per_s = framing.decimal(_header_text(headers, BRITTLE))
        return head

    def report_request(self, announcement):
        """Return method, target, headers and body of the call for a report."""
        return b"GET", engineformat.REPORT, _call_headers(announcement, b""), b""

    def read_report(self, body: bytes):
        """Return the report of an engine; raise ValueError if it is malformed."""
        return engineformat.read_report(body)

    def order_request(self, announcement, order, holder: str, fence: int):
        """Return method, target, headers and body of the call for an order."""
        body = engineformat.write_order(order, holder, fence)
        headers = _call_headers(announcement, body)
        headers.append((EXPECT_INSTANCE, announcement.instance_id.encode()))
        return b"POST", engineformat.ORDER, headers, body

    def parse_order_status(self, status: int):
        """Return the outcome of an order for the status of its answer."""
        return engineformat.OUTCOMES.get(status, engineformat.UNKNOWN_OUTCOME)

    def parse_configuration(self, data: bytes):
        """Return a validated configuration; raise ProxyError if it is invalid."""
        return configformat.parse(data)

    def inspect_configuration(self, data: bytes):
        """Return the inspection of a configuration, whatever its faults are."""
        return configinspection.inspect(data)

    def configuration_request(self) -> tuple[str, str]:
        """Return method and target of the request that reads the one in force."""
        return "GET", controlapi.READ_CONFIGURATION


def _call_headers(announcement, body):
    headers = [(b"host", announcement.address.encode())]
    if body:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", str(len(body)).encode()))
    return headers


def _header_text(headers, name):
    return framing.header(headers, name).decode("latin-1").strip()


def _key_digest(headers):
    """Return the digest of the key in the headers, None without one."""
    keys = [value.strip(b" \t") for key, value in headers if key == CREDENTIAL]
    if len(keys) > 1:
        return calls.SEVERAL_KEYS
    if not keys or not keys[0]:
        return None
    try:
        return serviceconfig.digest_key(keys[0].decode())
    except UnicodeDecodeError:
        return serviceconfig.digest_key(keys[0].decode("latin-1"))


def _names_team(header_name):
    # Servers may take an underscore for a hyphen.
    return header_name.replace(b"_", b"-") in (CREDENTIAL, TENANT)


def _token_counts(text):
    """Return the prompt and the most output tokens, None if they are not stated."""
    first, _, second = text.partition(",")
    counts = framing.number(first.strip()), framing.number(second.strip())
    return None if None in counts else counts


def _prompt_parts(text):
    """Return the prompt parts in a header, up to the first malformed one."""
    parts: list[calls.PromptPart] = []
    for pair in filter(None, text.split(",")):
        part_id, _, tokens_text = pair.strip().partition(":")
        tokens = framing.number(tokens_text)
        if tokens is None or len(part_id) > calls.MAX_PART_ID_LENGTH:
            return parts
        parts.append(calls.PromptPart(part_id, tokens))
    return parts


def _server_load(text):
    numbers = [framing.number(part.strip()) for part in text.split(",")]
    if len(numbers) == 3:
        numbers.append(USUAL_PACE)
    running, waiting, slots, pace = numbers if len(numbers) == 4 else [None] * 4
    if running is None or waiting is None or slots is None or pace is None:
        return None
    return calls.ServerLoad(running, waiting, slots, pace / USUAL_PACE)


def invalid(detail: str) -> errors.ProxyError:
    """Return the error for a malformed message."""
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
