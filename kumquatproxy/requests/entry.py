"""WSGI application of an entry host that answers callers."""

import itertools
import json
import uuid

from kumquatproxy import errors, httpapi, metrics, records
from kumquatproxy.configuration import claimclient, sheet
from kumquatproxy.membership import demandreports
from kumquatproxy.requests import dispatch

MAX_TIMEOUT_S = 24 * 3600.0
MAX_KEY_LENGTH = 255  # characters
MAX_ID_LENGTH = 100  # characters of a caller's request id that are kept
BYTES_PER_TOKEN = 4  # average for prompt text
DEFAULT_TOKENS = 100  # demand of a call without a token limit

CHAT_PATH = "/v1/chat/completions"
_COMPLETION_PATHS = (CHAT_PATH, "/v1/completions")
_NOT_FORWARDED_HEADERS = ("Idempotency-Key", dispatch.FORWARDED_HEADER)
_SERVICES_PREFIX = "/services/"


class ConfigurationView:
    """Configuration in force at this host."""

    __slots__ = ("sheet", "version")

    def __init__(self, version=0, parsed_sheet=None):
        self.version: int = version
        self.sheet: sheet.Sheet | None = parsed_sheet


class EntryApplication(httpapi.Application):
    """WSGI application for completions, models, plain services and health checks."""

    def __init__(
        self,
        dispatcher,
        metrics_registry,
        demand_counter,
        claims=None,
        max_body_bytes=httpapi.MAX_BODY_BYTES,
    ):
        self._dispatcher: dispatch.Dispatcher = dispatcher
        self._metrics: metrics.Metrics = metrics_registry
        self._demand_counter: demandreports.DemandCounter = demand_counter
        self.claims: claimclient.ClaimClient | None = claims
        self._max_body_bytes: int = max_body_bytes
        self.view = ConfigurationView()
        self.stopping = False
        self.has_load_reports = False  # whether the first load reports have arrived

    def answer(self, request, now):
        """Return the reply to a request; raise ProxyError if it is refused or fails."""
        if request.path == "/healthz":
            return httpapi.text_reply("ok\n")
        if request.path == "/readyz":
            return self._ready()
        if request.path == metrics.PATH:
            return httpapi.Reply(200, self._metrics.page(), [metrics.CONTENT_TYPE])
        current_sheet = self._sheet()
        if request.path in _COMPLETION_PATHS:
            _require_method(request, ("POST",))
            return self._completion(request, current_sheet, now)
        if request.path == "/v1/models":
            _require_method(request, ("GET",))
            return _list_models(current_sheet)
        if request.path.startswith("/v1/models/"):
            _require_method(request, ("GET",))
            name = request.path.removeprefix("/v1/models/")
            current_sheet.resolve(name)
            return httpapi.json_reply(_model_record(name, current_sheet))
        if request.path.startswith(_SERVICES_PREFIX):
            return self._service_call(request, current_sheet, now)
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND, f"{request.path!r} does not exist"
        )

    def _ready(self):
        if self.stopping:
            raise errors.ProxyError(errors.ErrorKind.STOPPING, "the host is stopping")
        self._sheet()
        if not self.has_load_reports:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY, "no load reports have arrived yet"
            )
        return httpapi.text_reply("ready\n")

    def _sheet(self):
        if self.view.sheet is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY, "no configuration has been adopted yet"
            )
        return self.view.sheet

    def _completion(self, request, current_sheet, now):
        raw_body = request.body(self._max_body_bytes)
        body = httpapi.parse_json(raw_body)
        _check_messages(request.path, body)
        target = current_sheet.resolve(body.get("model", ""))
        call = _call_request(request, target.service, now)
        call.model = target.model.name
        call.priority = _priority(request, target.model.priority)
        call.max_tokens = _positive_int(body, "max_tokens")
        call.prompt_tokens = len(raw_body) // BYTES_PER_TOKEN
        self._demand_counter.count(target.items(), call.max_tokens or DEFAULT_TOKENS)
        if body.get("stream"):
            events = self._dispatcher.stream(call, target, request.path, body)
            headers = [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-cache"),
            ]
            return httpapi.Reply(200, _with_error_event(events), headers)
        reply = self._dispatcher.complete(call, target, request.path, raw_body)
        return httpapi.Reply(reply.status, reply.body, reply.headers)

    def _service_call(self, request, current_sheet, now):
        name, _, subpath = request.path.removeprefix(_SERVICES_PREFIX).partition("/")
        service = current_sheet.services_by_name.get(name)
        if service is None or service.kind != "plain":
            raise errors.ProxyError(
                errors.ErrorKind.SERVICE_NOT_FOUND,
                f"there is no service {name!r} under /services/",
            )
        path = "/" + subpath
        call = _call_request(request, service, now)
        call.idempotent = service.is_repeatable(request.method, path)
        query = request.environ.get("QUERY_STRING", "")
        target = f"{path}?{query}" if query else path
        headers = _service_headers(request)
        body = request.body(self._max_body_bytes)

        def send():
            return self._dispatcher.call_service(
                call, service, request.method, target, headers, body
            )

        if call.key and not call.idempotent and self.claims is not None:
            digest = claimclient.request_digest(request.method, target, body)
            reply = self.claims.call_once(call, digest, send)
        else:
            reply = send()
        return httpapi.Reply(reply.status, reply.body, reply.headers)


def _with_error_event(events):
    try:
        yield from events
    except errors.ProxyError as error:
        # The missing [DONE] event and the aborted chunked body both show the client
        # that the answer is incomplete.
        problem = json.dumps(error.problem()).encode()
        yield b"data: " + problem + b"\n\n"
        raise httpapi.BrokenAnswerError(error.detail) from None


# A random prefix per process and a counter give unique ids at a lower cost than a
# random id per request.
_ID_PREFIX = uuid.uuid4().hex[:16]
_id_counter = itertools.count(1)


def _unique_id(requested_id):
    """Return a unique id for a call; callers may reuse the ids that they send."""
    number = next(_id_counter)
    if requested_id:
        return f"{requested_id[:MAX_ID_LENGTH]}.{number}"
    return f"{_ID_PREFIX}-{number}"


def _check_messages(path, body):
    """Raise ProxyError if a chat completion has no valid list of messages."""
    if path != CHAT_PATH:
        return
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_REQUEST, "'messages' must be a non-empty list"
        )
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST,
                f"'messages[{index}]' must be an object with a 'role' string",
            )


def _call_request(request, service, now):
    return records.CallRequest(
        _unique_id(request.header("X-Request-Id")),
        service.organisation,
        service.name,
        priority=_priority(request, service.priority),
        deadline=now + _timeout_s(request, service),
        key=_idempotency_key(request),
        arrived_at=now,
        is_forwarded=bool(request.header(dispatch.FORWARDED_HEADER)),
    )


def _idempotency_key(request):
    key = request.header("Idempotency-Key")
    if len(key) > MAX_KEY_LENGTH:
        raise _invalid_request(
            f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters"
        )
    return key


def _timeout_s(request, service):
    value = request.header("X-Request-Timeout-Ms")
    if not value:
        return service.deadline
    if not value.isdigit() or not 0 < int(value) <= MAX_TIMEOUT_S * 1000:
        raise _invalid_request(
            f"X-Request-Timeout-Ms {value[:40]!r} is not a whole number "
            "of milliseconds within the limits"
        )
    return int(value) / 1000


def _priority(request, max_priority):
    """Return the requested priority, limited to the one of the service or model."""
    value = request.header("X-Priority")
    if not value:
        return max_priority
    if (
        not value.isdigit()
        or not sheet.MIN_PRIORITY <= int(value) <= sheet.MAX_PRIORITY
    ):
        raise _invalid_request(
            f"X-Priority {value[:40]!r} is not between {sheet.MIN_PRIORITY} "
            f"and {sheet.MAX_PRIORITY}"
        )
    return min(int(value), max_priority)


def _positive_int(body, name):
    value = body.get(name)
    if value is None:
        return 0
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise _invalid_request(f"{name} must be a positive integer")
    return value


def _service_headers(request):
    headers = []
    for name, value in request.environ.items():
        if name.startswith("HTTP_"):
            headers.append((name[5:].replace("_", "-").title(), value))
    # Idempotency keys are handled by this host alone: a data centre that the call is
    # forwarded to must not take a claim of its own. The dispatcher sets the forwarded
    # header anew.
    headers = [header for header in headers if header[0] not in _NOT_FORWARDED_HEADERS]
    if request.environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", request.environ["CONTENT_TYPE"]))
    return dispatch.drivers.forwarded_headers(headers)


def _list_models(current_sheet):
    names = current_sheet.listed_names()
    model_records = [_model_record(name, current_sheet) for name in names]
    return httpapi.json_reply({"object": "list", "data": model_records})


def _model_record(name, current_sheet):
    service = current_sheet.resolve(name).service
    return {
        "id": name,
        "object": "model",
        "created": 0,
        "owned_by": service.organisation,
    }


def _require_method(request, methods):
    if request.method not in methods:
        raise errors.ProxyError(
            errors.ErrorKind.METHOD_NOT_ALLOWED,
            f"{request.path!r} allows {', '.join(methods)}, not {request.method}",
        )


def _invalid_request(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
