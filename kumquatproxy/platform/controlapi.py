"""HTTP calls of operators and backend servers to control hosts."""

import re

from kumquatproxy import errors, httpapi
from kumquatproxy.fleet import controlapis, servers
from kumquatproxy.platform import heartbeatformat

PUT_CONFIGURATION = "/-/config/replace"
READ_CONFIGURATION = "/-/config/get"
INSTANCE_CALL = re.compile(r"/-/instances/([^/]+)/(heartbeat|deregister)")
# The id becomes the value of a header, which must not contain these characters.
CONTROL_CHARACTER_OR_SPACE = re.compile(r"[\x00-\x20\x7f]")
# A configuration may have thousands of routes. Parsed, one of many empty objects takes
# 25 times its size.
MAX_BODY_BYTES = 2 * 1024 * 1024
# A heartbeat lists the few models and adapters of one server.
MAX_HEARTBEAT_BYTES = 64 * 1024


@controlapis.CONTROL_APIS.register("platform")
class ControlApplication(httpapi.Application):
    """Translate calls and pass them to the control host."""

    def __init__(self, host):
        self._host = host

    def answer(self, request: httpapi.Request, now: float) -> httpapi.Reply:
        """Return the reply to one call."""
        if request.path == PUT_CONFIGURATION and request.method == "POST":
            self._host.put_configuration(request.body(MAX_BODY_BYTES))
            return httpapi.json_reply({})
        if request.path == READ_CONFIGURATION and request.method == "GET":
            body = self._host.read_configuration()
            request.hold(len(body))
            return httpapi.Reply(200, body, [("Content-Type", httpapi.JSON_TYPE)])
        match = INSTANCE_CALL.fullmatch(request.path)
        if match is None or request.method != "POST":
            raise errors.ProxyError(errors.ErrorKind.NOT_FOUND, "no such call")
        instance_id, action = match.groups()
        if CONTROL_CHARACTER_OR_SPACE.search(instance_id):
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST,
                "the instance id contains a control character or a space",
            )
        if action == "heartbeat":
            body = request.body(MAX_HEARTBEAT_BYTES)
            self._host.heartbeat(heartbeatformat.parse(instance_id, body))
        else:
            body = request.body(MAX_HEARTBEAT_BYTES)
            born_ms = heartbeatformat.parse_deregistration(body)
            self._host.mark(instance_id, born_ms, servers.ServerState.GONE)
        return httpapi.json_reply({})
