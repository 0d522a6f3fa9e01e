"""Calls that operators and backend servers make on control hosts."""

import re

from kumquatproxy import errors, httpapi
from kumquatproxy.fleet import controlapis, servers
from kumquatproxy.platform import beatformat

PUT_CONFIGURATION = "/-/config/replace"
READ_CONFIGURATION = "/-/config/get"
INSTANCE_CALL = re.compile(r"/-/instances/([^/]+)/(heartbeat|deregister)")
# The configuration of an operator may hold hundreds of routes.
MAX_BODY_BYTES = 8 * 1024 * 1024


@controlapis.CONTROL_APIS.register("platform")
class ControlApplication(httpapi.Application):
    """Translate the calls and let the control host answer them."""

    def __init__(self, host):
        self._host = host

    def answer(self, request: httpapi.Request, now: float) -> httpapi.Reply:
        """Return the reply to one call."""
        if request.path == PUT_CONFIGURATION and request.method == "POST":
            self._host.put_configuration(request.body(MAX_BODY_BYTES))
            return httpapi.json_reply({})
        if request.path == READ_CONFIGURATION and request.method == "GET":
            body = self._host.read_configuration()
            return httpapi.Reply(200, body, [("Content-Type", httpapi.JSON_TYPE)])
        found = INSTANCE_CALL.fullmatch(request.path)
        if found is None or request.method != "POST":
            raise errors.ProxyError(errors.ErrorKind.NOT_FOUND, "no such call")
        instance_id, action = found.groups()
        if action == "heartbeat":
            self._host.heartbeat(beatformat.parse(instance_id, request.body()))
        else:
            born_ms = beatformat.parse_leaving(request.body())
            self._host.mark(instance_id, born_ms, servers.ServerState.GONE)
        return httpapi.json_reply({})
