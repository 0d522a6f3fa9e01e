"""Administration API: the WSGI application for operators.

A sheet is the INI text that lists the organisations, services, models and adapters to
serve. A submitted sheet becomes the next version of the configuration.
"""

import hmac

from kumquatproxy import adminmessages, errors, httpapi, logs, registry, tasks

PREFIX = "/admin/v1/"
MAX_SHEET_BYTES = 16 * 1024 * 1024
ANSWER_TIMEOUT_S = 10.0
ROLES = ("read", "operate")

CALLS = registry.Registry("administration call")


class Call:
    """Base class of administration calls; one subclass for each method and path."""

    role = "read"

    def message(self, request, path_rest: str):
        """Return the message for the control task."""
        raise NotImplementedError


@CALLS.register("GET status")
class Status(Call):
    """Show data centres, hosts, backend servers and models without a replica."""

    def message(self, request, path_rest):
        """Return the message for the control task."""
        return adminmessages.GetStatus()


@CALLS.register("GET sheet")
class ShowSheet(Call):
    """Show the sheet in force."""

    def message(self, request, path_rest):
        """Return the message for the control task."""
        return adminmessages.GetSheet()


@CALLS.register("GET history")
class History(Call):
    """Show the versions of the sheet."""

    def message(self, request, path_rest):
        """Return the message for the control task."""
        return adminmessages.GetHistory()


@CALLS.register("POST sheet")
class SubmitSheet(Call):
    """Submit a sheet as the successor of version ``follows``."""

    role = "operate"

    def message(self, request, path_rest):
        """Return the message for the control task."""
        return _read_submission(request, check_only=False)


@CALLS.register("POST check")
class CheckSheet(Call):
    """Check a sheet against the memory of backend servers without submitting it."""

    def message(self, request, path_rest):
        """Return the message for the control task."""
        return _read_submission(request, check_only=True)


@CALLS.register("GET explain")
class Explain(Call):
    """Show where a model is loaded and the latest placement decisions about it."""

    def message(self, request, path_rest):
        """Return the message for the control task."""
        return adminmessages.ExplainModel(path_rest)


@CALLS.register("GET team")
class ExplainTeam(Call):
    """Show usage, cap and refusals of a team."""

    def message(self, request, path_rest):
        """Return the message for the host."""
        return adminmessages.ExplainTeam(_decode_name(path_rest))


@CALLS.register("GET refusal")
class ExplainRequest(Call):
    """Show why a request was refused."""

    def message(self, request, path_rest):
        """Return the message for the host."""
        return adminmessages.ExplainRequest(_decode_name(path_rest))


@CALLS.register("POST drain")
class Drain(Call):
    """Drain a backend server."""

    role = "operate"

    def message(self, request, path_rest):
        """Return the message for the control task."""
        return adminmessages.Drain(path_rest)


def _read_submission(request, check_only):
    body = request.json(MAX_SHEET_BYTES)
    follows = body.get("follows")
    text = body.get("sheet")
    if isinstance(follows, bool) or not isinstance(follows, int) or follows < 0:
        raise _invalid("'follows' is not a version number")
    if not isinstance(text, str):
        raise _invalid("'sheet' is not a string")
    if check_only:
        return adminmessages.CheckSheet(text)
    return adminmessages.SubmitSheet(follows, text)


def _decode_name(path_rest):
    """Return a name of a path; WSGI gives the bytes of the path as Latin-1."""
    try:
        return path_rest.encode("latin-1").decode()
    except UnicodeError:
        raise _invalid("the name in the path is not UTF-8") from None


def _invalid(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)


def parse_tokens(text: str) -> dict[str, str]:
    """Return roles by token from lines ``ROLE TOKEN``; raise ProxyError for others."""
    roles_by_token = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        parts = line.split()
        if len(parts) != 2 or parts[0] not in ROLES:
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_CONFIGURATION,
                f"token file: line {number} is not of the form ROLE TOKEN "
                f"with a role of {', '.join(ROLES)}",
            )
        roles_by_token[parts[1]] = parts[0]
    return roles_by_token


class AdminApplication(httpapi.Application):
    """Authenticate operators by token and pass their calls to the control task."""

    def __init__(self, control, roles_by_token):
        self._control: tasks.Task = control
        self._roles_by_token: dict[str, str] = roles_by_token
        self._log = logs.Log("admin")

    def answer(self, request, now):
        """Return the control task's answer; raise ProxyError to refuse the call."""
        if not request.path.startswith(PREFIX):
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, f"{request.path!r} does not exist"
            )
        role = self._authenticate(request)
        name, _, path_rest = request.path.removeprefix(PREFIX).partition("/")
        call_name = f"{request.method} {name}"
        if call_name not in CALLS.aliases():
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, f"unknown call {call_name!r}"
            )
        call = CALLS.get(call_name)()
        if call.role == "operate" and role != "operate":
            raise errors.ProxyError(
                errors.ErrorKind.FORBIDDEN, f"{call_name!r} requires the role 'operate'"
            )
        message = call.message(request, path_rest)
        if call.role == "operate":
            self._log.write(now, f"{call_name} {path_rest} called with role {role}")
        answer = self._control.ask(message, ANSWER_TIMEOUT_S)
        return httpapi.json_reply(answer)

    def _authenticate(self, request):
        scheme, _, presented = request.header("Authorization").partition(" ")
        if scheme.lower() == "bearer":
            for token, role in self._roles_by_token.items():
                if hmac.compare_digest(token.encode(), presented.strip().encode()):
                    return role
        raise errors.ProxyError(
            errors.ErrorKind.UNAUTHENTICATED, "a bearer token is required"
        )
