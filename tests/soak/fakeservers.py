"""Fake backend servers that announce themselves and count executed requests."""

import collections
import itertools
import json

import gevent
import gevent.pywsgi
import geventhttpclient

EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.03
SERVICE_TIME_S = 0.05
HEARTBEAT_INTERVAL_S = 0.5


class ExecutionCounter:
    """Count the executions of each request over all backend servers."""

    def __init__(self):
        self.count_by_id = collections.Counter()

    def record(self, request_id):
        self.count_by_id[request_id] += 1


class FakeServer:
    """Run one backend server of a service and send its heartbeats."""

    def __init__(
        self,
        name,
        service,
        listen,
        announced,
        executions,
        controls,
        software_version="v1",
    ):
        self.name = name
        self.software_version = software_version
        self.service = service
        self.address = announced
        self.executions = executions
        self.controls = controls
        self.state = "ready"
        self._sequence = itertools.count(1)
        self._server = gevent.pywsgi.WSGIServer(
            listen, self._answer, log=None, error_log=None
        )
        self._server.start()
        self._announcer = gevent.spawn(self._announce)

    def _announce(self):
        for number in itertools.count():
            self.send_heartbeat(number)
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self, number):
        """Send one heartbeat; return whether it was acknowledged."""
        heartbeat = {
            "backend": self.service,
            "address": self.address,
            "zone": "z",
            "version": self.software_version,
            "slots": 8,
            "state": self.state,
            "sequence": next(self._sequence),
            "born": 1,
        }
        host, _, port = self.controls[number % len(self.controls)].rpartition(":")
        client = geventhttpclient.HTTPClient(
            host, int(port), connection_timeout=0.5, network_timeout=1.0
        )
        try:
            path = f"/-/instances/{self.name}/heartbeat"
            response = client.post(path, body=json.dumps(heartbeat).encode())
            return response.status_code == 200
        except (OSError, geventhttpclient.response.HTTPParseError):
            return False
        finally:
            client.close()

    def _answer(self, environ, start_response):
        request_id = environ.get("HTTP_KUMQUATPROXY_REQUEST_ID", "")
        headers = [("Kumquatproxy-Request-Id", request_id)]
        if environ.get("HTTP_KUMQUATPROXY_EXPECT_INSTANCE") != self.name:
            start_response("421 Misdirected", headers)
            return [b""]
        environ["wsgi.input"].read()
        self.executions.record(request_id)
        headers.append(("Kumquatproxy-Response-Seal", self.name))
        if "/stream/" in environ["PATH_INFO"]:
            headers.append(("Content-Type", "text/event-stream"))
            start_response("200 OK", headers)
            first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
            return self.events(request_id, first)
        gevent.sleep(SERVICE_TIME_S)
        start_response("200 OK", headers)
        return [f"{request_id} done".encode()]

    def events(self, request_id, first):
        """Yield the events of a stream from number ``first`` on."""
        for number in range(first, EVENT_COUNT + 1):
            gevent.sleep(EVENT_INTERVAL_S)
            yield f"id: {number}\ndata: {request_id} {number}\n\n".encode()

    def close(self):
        self._announcer.kill()
        self._server.stop(timeout=0)
