"""A sound backend server of the platform: heartbeats, requests, orders and reports."""

import contextlib
import http.server
import json
import random
import socket
import socketserver
import struct
import threading
import time

import fleet

HEARTBEAT_S = 1.2


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def _body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def do_GET(self):
        self._answer()

    def do_POST(self):
        self._answer()

    def _answer(self):
        body = self._body()
        runner = self.server.runner
        pause_s = runner.pause_left_s()
        if pause_s > 0.0:
            headers = {
                "Kumquatproxy-Not-Executed": "1",
                "Retry-After": f"{pause_s:.2f}",
            }
            if "Kumquatproxy-Request-Id" in self.headers:
                request_id = self.headers["Kumquatproxy-Request-Id"]
                headers["Kumquatproxy-Request-Id"] = request_id
            self._send(503, b"", headers)
        elif self.path == "/-/report":
            self._send(200, json.dumps(runner.report()).encode(), {})
        elif self.path == "/-/order":
            status = runner.take_order(json.loads(body), self.headers)
            self._send(status, b"", {})
        elif self.path.startswith("/stream/"):
            runner.serve_stream(self, self.headers, int(self.path.split("/")[2]))
        else:
            status, payload, headers = runner.serve(self.path, body, self.headers)
            self._send(status, payload, headers)

    def send_whole(self, status, body, headers):
        """Send a whole answer."""
        self._send(status, body, headers)

    def begin_chunks(self, headers):
        """Send the head of an answer whose body follows in chunks."""
        self.send_response(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data):
        """Send a chunk; an empty one ends the body."""
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def _send(self, status, body, headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass

    def process_request(self, request, client_address):
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)


class Runner:
    """One runner; ``models`` makes it a model runner that holds them."""

    def __init__(self, deployment, number, service, models=(), slots=8):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.number = number
        self.slots = slots
        self.zone = fleet.DATA_CENTRES[number % len(fleet.DATA_CENTRES)]
        self.ip = f"{deployment.prefix}.2.{number}"
        self.address = f"{self.ip}:{deployment.ports['server']}"
        self.instance_id = f"i-{service}-{number}"
        self.born_ms = int(time.time() * 1000)
        self.models = list(models)
        self.is_engine = bool(models)
        self.adapters_by_model = {name: [] for name in self.models}
        self.orders = []  # (time, holder, fence, operation, name, status)
        self.order_count = 0
        self.sequence = 0
        self.run_ids = []
        self.state = "ready"
        self.is_running = True
        self.is_down = False
        self.paused_until = 0.0
        self.lock = threading.Lock()
        self._listen()
        threading.Thread(target=self._beat, daemon=True).start()

    def _listen(self):
        self._server = Server((self.ip, self.deployment.ports["server"]), Handler)
        self._server.runner = self
        self._server.open_sockets = set()
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def pause_left_s(self):
        """Return for how long this runner wants nothing, 0.0 without a pause."""
        return max(0.0, self.paused_until - time.monotonic())

    def pause(self, seconds):
        """Turn all requests away for a time, and say for how long."""
        self.paused_until = time.monotonic() + seconds
        self.record.write(f"{self.instance_id} asks for a pause of {seconds} s")

    def crash(self, down_s):
        """Break off everything, and start again under the same id, holding nothing."""
        self.record.write(f"{self.instance_id} crashes")
        self.is_down = True
        self._server.shutdown()
        self._server.server_close()
        for sock in list(self._server.open_sockets):
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                sock.shutdown(socket.SHUT_RDWR)
        threading.Timer(down_s, self._start_again).start()

    def _start_again(self):
        with self.lock:
            self.born_ms = int(time.time() * 1000)
            self.sequence = self.order_count = 0
            self.paused_until = 0.0
            self.forget()
        self._listen()
        self.is_down = False
        self.record.write(f"{self.instance_id} is back under its id, holding nothing")

    def forget(self):
        """Drop all that a lifetime holds."""
        self.models.clear()
        self.adapters_by_model.clear()

    def heartbeat_fields(self):
        """Return the body of the next heartbeat."""
        with self.lock:
            self.sequence += 1
            fields = {
                "backend": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
            if self.is_engine:
                fields["stage"] = "colocated"
                fields["models"] = self._models()
                fields["at_hand"] = {"in_memory": [], "on_disk": []}
            return fields

    def _models(self):
        return [
            {
                "name": name,
                "version": 1,
                "adapters": list(self.adapters_by_model.get(name, ())),
            }
            for name in self.models
        ]

    def send_heartbeat(self, fields):
        """Send a heartbeat to one control host after the other until it is acked."""
        path = f"/-/instances/{self.instance_id}/heartbeat"
        body = json.dumps(fields).encode()
        controls = self.deployment.controls
        for host in random.sample(controls, len(controls)):
            answer = fleet.request(host.address("control"), "POST", path, body, 1.0)
            if 200 <= answer.status < 300:
                return host.name, answer.status
        return "nobody", answer.status

    def _beat(self):
        while self.is_running:
            if self.is_down:
                time.sleep(0.05)
                continue
            self.send_heartbeat(self.heartbeat_fields())
            time.sleep(HEARTBEAT_S)

    def report(self):
        """Return the answer to a call for a report."""
        with self.lock:
            return {
                "stage": "colocated",
                "models": self._models(),
                "busy": False,
                "sequence": self.order_count,
                "waiting": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 150000,
                "handles": 0,
                "at_hand": {"in_memory": [], "on_disk": []},
            }

    def take_order(self, order, headers):
        """Carry out an order at once and return the status of its answer."""
        if headers.get("Kumquatproxy-Expect-Instance", self.instance_id) != (
            self.instance_id
        ):
            return 421
        with self.lock:
            status = self._apply_order(order)
            name = "/".join(filter(None, (order["model"], order.get("adapter"))))
            at = self.record.now()
            holder, fence, operation = (
                order["holder"],
                order["fence"],
                order["operation"],
            )
            self.orders.append((at, holder, fence, operation, name, status))
        self.record.write(
            f"{self.instance_id} gets an order of {holder}, fence {fence}: "
            f"{operation} {name}: {status}"
        )
        return status

    def _apply_order(self, order):
        if order.get("precondition", self.order_count) != self.order_count:
            return 409
        model, adapter = order["model"], order.get("adapter")
        is_load = order["operation"] == "load"
        if adapter:
            if model not in self.models:
                return 421
            held, name = self.adapters_by_model.setdefault(model, []), adapter
        else:
            held, name = self.models, model
        if is_load == (name in held):
            return 200
        if is_load:
            held.append(name)
        else:
            held.remove(name)
            if not adapter:
                self.adapters_by_model.pop(name, None)
        self.order_count += 1
        return 200 if adapter and not is_load else 202

    def serve(self, path, body, headers):
        """Run one request; return the status, the body and the headers."""
        request_id = headers.get("Kumquatproxy-Request-Id", "")
        answer = {"Kumquatproxy-Request-Id": request_id}
        expected = headers.get("Kumquatproxy-Expect-Instance", self.instance_id)
        if expected != self.instance_id:
            return 421, b"", {**answer, "Kumquatproxy-Not-Executed": "1"}
        model, _, adapter = headers.get("Kumquatproxy-Model", "").partition("/")
        with self.lock:
            is_lacking = self.is_engine and (
                model not in self.models
                or (adapter and adapter not in self.adapters_by_model.get(model, ()))
            )
        if is_lacking:
            return 421, b"", {**answer, "Kumquatproxy-Not-Executed": "1"}
        self.record.write(f"{self.instance_id} runs {request_id} {path}")
        with self.lock:
            self.run_ids.append(request_id)
        time.sleep(0.02)
        answer["Kumquatproxy-Response-Seal"] = f"s.{self.instance_id}"
        return 200, f"{request_id} by {self.instance_id}".encode(), answer

    def close(self):
        """End the server and its heartbeats."""
        self.is_running = False
        self._server.shutdown()
        self._server.server_close()
