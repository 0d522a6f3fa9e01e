"""Fake backend servers for tests and the demo: an engine and a plain service."""

import hashlib
import json
import time

import gevent
import geventhttpclient
import geventhttpclient.response

from kumquatproxy import httpapi, records

ANNOUNCE_INTERVAL_S = 0.25
DEFAULT_TOKENS = 16
MAX_TOKENS = 10_000


def tokens_for(model: str, prompt: str, count: int) -> list[str]:
    """Return the deterministic tokens of a fake engine for a prompt."""
    seed = hashlib.sha256(f"{model}\0{prompt}".encode()).hexdigest()[:8]
    return [f"{seed}-{index} " for index in range(count)]


def prompt_of(body: dict) -> str:
    """Return the prompt of a completion, or the joined messages of a chat."""
    if "messages" in body:
        return "\n".join(str(part.get("content")) for part in body["messages"])
    return str(body.get("prompt", ""))


class Announcer:
    """Announces a backend server and reports its load to one entry host at a time."""

    def __init__(self, describe, report, entry_addresses):
        self.interval_s = ANNOUNCE_INTERVAL_S
        self._describe = describe
        self._report = report
        self._entry_addresses = list(entry_addresses)
        self._greenlet = None

    def start(self) -> None:
        """Start announcing and reporting."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop announcing and reporting."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self):
        while True:
            for path, body in (
                ("/backend/v1/announce", self._describe()),
                ("/backend/v1/report", self._report()),
            ):
                self._post(path, body)
            gevent.sleep(self.interval_s)

    def _post(self, path, body):
        host, _, port = self._entry_addresses[0].rpartition(":")
        client = geventhttpclient.HTTPClient(
            host, int(port), connection_timeout=1.0, network_timeout=1.0
        )
        try:
            client.post(
                path, json.dumps(body).encode(), {"Content-Type": "application/json"}
            ).read()
        except (OSError, geventhttpclient.response.HTTPParseError):
            # The host may have been killed: send the next messages to the next host.
            self._entry_addresses.append(self._entry_addresses.pop(0))
        finally:
            client.close()


class FakeBackend(httpapi.Application):
    """Base of the fake backend servers: identity, announcements, start and stop."""

    kind = ""

    def __init__(self, backend_id, service, data_centre, entry_addresses, incarnation):
        self.backend_id: str = backend_id
        self.service: str = service
        self.data_centre: str = data_centre
        self.incarnation: int = incarnation
        self.address = ""
        self.leaving = False
        self._sequence = 0
        self._running = 0
        self._server = httpapi.Server("127.0.0.1:0", self)
        self._announcer = Announcer(self.describe, self.report, entry_addresses)

    def start(self) -> None:
        """Start serving and announcing."""
        self.address = self._server.start()
        self._announcer.start()

    def stop(self) -> None:
        """Stop immediately, as in a crash."""
        self._announcer.stop()
        self._server.stop(0.0)

    def describe(self) -> dict:
        """Return the body of an announcement."""
        return {
            "backend_id": self.backend_id,
            "address": self.address,
            "data_centre": self.data_centre,
            "kind": self.kind,
            "service": self.service,
            "incarnation": self.incarnation,
            "leaving": self.leaving,
        }

    def report(self) -> dict:
        """Return the body of a load report."""
        self._sequence += 1
        return {
            "backend_id": self.backend_id,
            "incarnation": self.incarnation,
            "sequence": self._sequence,
            "running": self._running,
        }


class FakeEngine(FakeBackend):
    """Fake model engine that tracks the memory of its loaded items."""

    kind = "engine"

    def __init__(
        self,
        backend_id,
        service,
        data_centre,
        entry_addresses,
        incarnation=1,
        memory_mb=80_000,
        token_s=0.002,
        load_s=0.01,
        checks_fencing=True,
        report_interval_s=ANNOUNCE_INTERVAL_S,
    ):
        super().__init__(backend_id, service, data_centre, entry_addresses, incarnation)
        self._announcer.interval_s = report_interval_s
        self.memory_mb: int = memory_mb
        self.token_s: float = token_s
        self.load_s: float = load_s
        self.checks_fencing: bool = checks_fencing
        self.fence_seen = 0
        self.orders_seen: dict[str, int] = {}
        self.memory_by_item: dict[records.Item, int] = {}
        self.overcommitted = False
        self.load_count = 0  # accepted loads
        self._loaded: set[records.Item] = set()

    def describe(self) -> dict:
        """Return the body of an announcement with memory and fencing support."""
        return {
            **super().describe(),
            "memory_mb": self.memory_mb,
            "accelerators": 1,
            "checks_fencing": self.checks_fencing,
        }

    def report(self) -> dict:
        """Return the body of a load report with loaded items, fence and orders."""
        return {
            **super().report(),
            "loaded": [item.key() for item in self._loaded],
            "fence_seen": self.fence_seen,
            "orders_seen": list(self.orders_seen)[-50:],
        }

    def answer(self, request, now):
        """Answer completions, chat completions and orders."""
        if request.path == "/orders":
            return self._order(request.json())
        body = request.json()
        chat = request.path == "/v1/chat/completions"
        if not self._has_model(body["model"]):
            return httpapi.json_reply({"error": "not loaded"}, 404)
        count = min(int(body.get("max_tokens") or DEFAULT_TOKENS), MAX_TOKENS)
        tokens = self._tokens(body["model"], prompt_of(body), count)
        if body.get("stream"):
            first = int(body.get("resume_from", 0))
            events = self._events(body["model"], tokens, first, chat)
            headers = [("Content-Type", "text/event-stream")]
            return httpapi.Reply(200, events, headers)
        self._running += 1
        gevent.sleep(self.token_s * count)
        self._running -= 1
        return httpapi.json_reply(_completion(body["model"], "".join(tokens), chat))

    _tokens = staticmethod(tokens_for)

    def _has_model(self, model_field):
        name, _, adapter = model_field.partition("+")
        name = name.partition("@")[0]
        loaded = {(item.kind, item.name) for item in self._loaded}
        if ("model", name) not in loaded:
            return False
        return not adapter or ("adapter", adapter) in loaded

    def _events(self, model, tokens, first, chat):
        self._running += 1
        try:
            for index in range(first, len(tokens)):
                gevent.sleep(self.token_s)
                yield _sse_event(_chunk(model, tokens[index], chat, None))
            yield _sse_event(_chunk(model, "", chat, "stop"))
            yield b"data: [DONE]\n\n"
        finally:
            self._running -= 1

    def _order(self, body):
        order_id = body["order_id"]
        if order_id in self.orders_seen:
            return httpapi.json_reply({"duplicate": True})
        if self.checks_fencing and body["fence"] < self.fence_seen:
            return httpapi.json_reply({"error": "stale fence"}, 409)
        self.fence_seen = max(self.fence_seen, body["fence"])
        self.orders_seen[order_id] = body["fence"]
        item = records.parse_item(body["item"])
        if body["action"] == "unload":
            self._loaded.discard(item)
            self.memory_by_item.pop(item, None)
            return httpapi.json_reply({"accepted": True})
        if item not in self.memory_by_item:
            self.memory_by_item[item] = body["memory_mb"]
            self.load_count += 1
            if sum(self.memory_by_item.values()) > self.memory_mb:
                self.overcommitted = True
            gevent.spawn_later(self.load_s, self._loaded.add, item)
        return httpapi.json_reply({"accepted": True}, 202)


def _chunk(model, text, chat, finish):
    if chat:
        part = {"delta": {"role": "assistant", "content": text}}
        return _response_body(model, "chat.completion.chunk", part, finish)
    return _response_body(model, "text_completion", {"text": text}, finish)


def _completion(model, text, chat):
    if chat:
        part = {"message": {"role": "assistant", "content": text}}
        return _response_body(model, "chat.completion", part, "stop")
    return _response_body(model, "text_completion", {"text": text}, "stop")


def _response_body(model, kind, part, finish):
    return {
        "id": "answer",
        "object": kind,
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, "finish_reason": finish, **part}],
    }


def _sse_event(value):
    return b"data: " + json.dumps(value).encode() + b"\n\n"


class FakePlainService(FakeBackend):
    """Fake plain service that records each execution."""

    kind = "plain"

    def __init__(
        self, backend_id, service, data_centre, entry_addresses, incarnation=1
    ):
        super().__init__(backend_id, service, data_centre, entry_addresses, incarnation)
        self.executions: list[tuple[str, str, str]] = []

    def answer(self, request, now):
        """Record the execution and return its number."""
        data = request.body()
        execution = (request.method, request.path, data.decode(errors="replace"))
        self.executions.append(execution)
        answer = {"service": self.service, "path": request.path, "echo": execution[2]}
        return httpapi.json_reply({**answer, "number": len(self.executions)})
