"""WSGI application for callers."""

import itertools
import json
import uuid

from kumquatproxy import errors, httpapi, metrics, records
from kumquatproxy.configuration import claimclient, sheet
from kumquatproxy.membership import demandreports
from kumquatproxy.requests import dispatch

MAX_TIMEOUT_S = 24 * 3600.0
MAX_KEY_LENGTH = 255  # characters
MAX_ID_LENGTH = 100  # characters of a caller's request id in the log
BYTES_PER_TOKEN = 4  # of text, on average
DEFAULT_TOKENS = 100  # counted as demand for a call that sets no limit

CHAT_PATH = "/v1/chat/completions"
_COMPLETION_PATHS = (CHAT_PATH, "/v1/completions")
_OWN_HEADERS = ("Idempotency-Key", dispatch.FORWARDED_HEADER)
_SERVICES_PREFIX = "/services/"


class ConfigurationView:
    """Hold the configuration that is in force at this host."""

    __slots__ = ("sheet", "version")

    def __init__(self, version=0, parsed=None):
        self.version: int = version
        self.sheet: sheet.Sheet | None = parsed


class _ActiveBody:
    """Pass a body on and end the request's activity when the server closes it."""

    __slots__ = ("_application", "_body")

    def __init__(self, application, body):
        self._application = application
        self._body = body

    def __iter__(self):
        return iter(self._body)

    def close(self):
        """Note the end of the request; the server calls this once."""
        self._application.active -= 1
        if hasattr(self._body, "close"):
            self._body.close()


class EntryApplication(httpapi.Application):
    """Answer callers: models, completions, plain services, health."""

    def __init__(
        self,
        dispatcher,
        instruments,
        counter,
        claims=None,
        max_body_bytes=httpapi.MAX_BODY_BYTES,
    ):
        self._dispatcher: dispatch.Dispatcher = dispatcher
        self._metrics: metrics.Metrics = instruments
        self._counter: demandreports.DemandCounter = counter
        self.claims: claimclient.ClaimClient | None = claims
        self._max_body_bytes: int = max_body_bytes
        self.view = ConfigurationView()
        self.stopping = False
        self.knows_replicas = False  # set when the first load reports have arrived
        self.active = 0  # requests whose answer has not been written yet

    def __call__(self, environ, start_response):
        """Answer a request and count it as active until its answer is written."""
        self.active += 1
        try:
            body = super().__call__(environ, start_response)
        except BaseException:
            self.active -= 1
            raise
        return _ActiveBody(self, body)

    def answer(self, request, now):
        """Return the reply to a caller's request; raise ProxyError to refuse it."""
        if request.path == "/healthz":
            return httpapi.text_reply("ok\n")
        if request.path == "/readyz":
            return self._ready()
        if request.path == metrics.PATH:
            return httpapi.Reply(200, self._metrics.page(), [metrics.CONTENT_TYPE])
        parsed = self._sheet()
        if request.path in _COMPLETION_PATHS:
            _require_method(request, ("POST",))
            return self._completion(request, parsed, now)
        if request.path == "/v1/models":
            _require_method(request, ("GET",))
            return _list_models(parsed)
        if request.path.startswith("/v1/models/"):
            _require_method(request, ("GET",))
            name = request.path.removeprefix("/v1/models/")
            parsed.resolve(name)
            return httpapi.json_reply(_model_record(name, parsed))
        if request.path.startswith(_SERVICES_PREFIX):
            return self._service_call(request, parsed, now)
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND, f"{request.path!r} does not exist"
        )

    def _ready(self):
        if self.stopping:
            raise errors.ProxyError(errors.ErrorKind.STOPPING, "the host is stopping")
        self._sheet()
        if not self.knows_replicas:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY, "the first load reports are awaited"
            )
        return httpapi.text_reply("ready\n")

    def _sheet(self):
        if self.view.sheet is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY, "no configuration has been adopted yet"
            )
        return self.view.sheet

    def _completion(self, request, parsed, now):
        data = request.body(self._max_body_bytes)
        body = httpapi.parse_json(data)
        _check_completion(request.path, body)
        target = parsed.resolve(body.get("model", ""))
        call = _call_request(request, target.service, now)
        call.model = target.model.name
        call.priority = _priority(request, target.model.priority)
        call.max_tokens = _positive_int(body, "max_tokens")
        call.prompt_tokens = len(data) // BYTES_PER_TOKEN
        self._counter.count(target.items(), call.max_tokens or DEFAULT_TOKENS)
        if body.get("stream"):
            events = self._dispatcher.stream(call, target, request.path, body)
            headers = [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-cache"),
            ]
            return httpapi.Reply(200, _until_broken(events), headers)
        reply = self._dispatcher.complete(call, target, request.path, data)
        return httpapi.Reply(reply.status, reply.body, reply.headers)

    def _service_call(self, request, parsed, now):
        name, _, rest = request.path.removeprefix(_SERVICES_PREFIX).partition("/")
        service = parsed.services_by_name.get(name)
        if service is None or service.kind != "plain":
            raise errors.ProxyError(
                errors.ErrorKind.SERVICE_NOT_FOUND,
                f"plain service {name!r} is not on the sheet",
            )
        path = "/" + rest
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


def _until_broken(events):
    try:
        yield from events
    except errors.ProxyError as error:
        # The missing [DONE] and the aborted chunked body both tell the client
        # that the answer is incomplete.
        problem = json.dumps(error.problem()).encode()
        yield b"data: " + problem + b"\n\n"
        raise httpapi.BrokenAnswerError(error.detail) from None


# A random prefix for the process and a count are unique and cost less than a
# random id for each request.
_ID_PREFIX = uuid.uuid4().hex[:16]
_id_counter = itertools.count(1)


def _unique_id(given):
    """Return an id for this call; two calls of a caller may carry the same one."""
    number = next(_id_counter)
    if given:
        return f"{given[:MAX_ID_LENGTH]}.{number}"
    return f"{_ID_PREFIX}-{number}"


def _check_completion(path, body):
    """Raise ProxyError if a completion has no usable prompt or messages."""
    if path != CHAT_PATH:
        return
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_REQUEST, "'messages' must be a list with an entry"
        )
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST,
                f"'messages[{index}]' is not an object with a role",
            )


def _call_request(request, service, now):
    return records.CallRequest(
        _unique_id(request.header("X-Request-Id")),
        service.organisation,
        service.name,
        priority=_priority(request, service.priority),
        deadline=now + _timeout_s(request, service),
        key=_key(request),
        arrived_at=now,
        is_forwarded=bool(request.header(dispatch.FORWARDED_HEADER)),
    )


def _key(request):
    key = request.header("Idempotency-Key")
    if len(key) > MAX_KEY_LENGTH:
        raise _invalid(f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters")
    return key


def _timeout_s(request, service):
    text = request.header("X-Request-Timeout-Ms")
    if not text:
        return service.deadline
    if not text.isdigit() or not 0 < int(text) <= MAX_TIMEOUT_S * 1000:
        raise _invalid(f"X-Request-Timeout-Ms {text[:40]!r} is out of range")
    return int(text) / 1000


def _priority(request, highest):
    """Return the priority asked for; a caller may lower it but not raise it."""
    text = request.header("X-Priority")
    if not text:
        return highest
    if not text.isdigit() or not sheet.MIN_PRIORITY <= int(text) <= sheet.MAX_PRIORITY:
        raise _invalid(
            f"X-Priority {text[:40]!r} is not between {sheet.MIN_PRIORITY} "
            f"and {sheet.MAX_PRIORITY}"
        )
    return min(int(text), highest)


def _positive_int(body, name):
    value = body.get(name)
    if value is None:
        return 0
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise _invalid(f"{name} is not a positive whole number")
    return value


def _service_headers(request):
    headers = []
    for name, value in request.environ.items():
        if name.startswith("HTTP_"):
            headers.append((name[5:].replace("_", "-").title(), value))
    # The claim is held here: a data centre that the call is forwarded to must not
    # take another one.
    headers = [pair for pair in headers if pair[0] not in _OWN_HEADERS]
    if request.environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", request.environ["CONTENT_TYPE"]))
    return dispatch.drivers.forwarded_headers(headers)


def _list_models(parsed):
    names = parsed.listed_names()
    records_ = [_model_record(name, parsed) for name in names]
    return httpapi.json_reply({"object": "list", "data": records_})


def _model_record(name, parsed):
    service = parsed.resolve(name).service
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
            f"{request.path!r} takes {', '.join(methods)}, not {request.method}",
        )


def _invalid(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
