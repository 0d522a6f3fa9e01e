"""A sound model runner whose orders take time: loads, and unloads that wait for runs.

A run streams events for a while. The runner crashes, as the users' page tells, if it is
ordered to load more than its memory holds.
"""

import time

import runner

EVENT_S = 0.25


class Engine(runner.Runner):
    """Run streams, and carry out one order about a model at a time."""

    def __init__(
        self, *arguments, weights_mb, mb_by_model, load_s, on_disk=(), **options
    ):
        self.on_disk = list(on_disk)
        self.weights_mb = weights_mb
        self.mb_by_model = mb_by_model
        self.load_s = load_s
        self.busy_with = None  # (operation, model, time of its end or None)
        self.running_by_model = {}
        self.overloads = []
        super().__init__(*arguments, **options)

    def report(self):
        with self.lock:
            self._advance()
            fields = {
                "stage": "colocated",
                "models": self._models(),
                "busy": self.busy_with is not None,
                "sequence": self.order_count,
                "waiting": 0,
                "running": sum(self.running_by_model.values()),
                "kv_used": 0,
                "kv_total": 150000,
                "handles": 0,
                "at_hand": {"in_memory": [], "on_disk": self.on_disk},
            }
        return fields

    def heartbeat_fields(self):
        with self.lock:
            self._advance()
        fields = super().heartbeat_fields()
        fields["at_hand"] = {"in_memory": [], "on_disk": self.on_disk}
        return fields

    def forget(self):
        super().forget()
        self.busy_with = None
        self.running_by_model = {}

    def _advance(self):
        """Complete the order in progress if it is due."""
        if self.busy_with is None:
            return
        operation, model, ends_at = self.busy_with
        if operation == "unload":
            if self.running_by_model.get(model):
                return
            self.models.remove(model)
        elif time.monotonic() < ends_at:
            return
        else:
            self.models.append(model)
        self.busy_with = None
        self.record.write(f"{self.instance_id} has completed: {operation} {model}")

    def _apply_order(self, order):
        self._advance()
        if order.get("precondition", self.order_count) != self.order_count:
            return 409
        if self.busy_with is not None:
            return 409
        model = order["model"]
        is_load = order["operation"] == "load"
        if is_load == (model in self.models):
            return 200
        if is_load:
            held_mb = sum(self.mb_by_model[name] for name in [*self.models, model])
            if held_mb > self.weights_mb:
                text = (
                    f"{self.instance_id} holds {', '.join(sorted(self.models))} and is "
                    f"ordered to load {model}: {held_mb:.0f} MB of "
                    f"{self.weights_mb:.0f} MB"
                )
                self.overloads.append(text)
                self.record.write(text)
            self.busy_with = ("load", model, time.monotonic() + self.load_s)
        else:
            self.busy_with = ("unload", model, None)
        self.order_count += 1
        self._advance()
        return 202

    def serve_stream(self, handler, headers, event_count):
        """Stream the events of one run, or refuse it."""
        request_id = headers.get("Kumquatproxy-Request-Id", "")
        model = headers.get("Kumquatproxy-Model", "")
        expected = headers.get("Kumquatproxy-Expect-Instance", self.instance_id)
        fields = {"Kumquatproxy-Request-Id": request_id}
        with self.lock:
            self._advance()
            is_wrong = expected != self.instance_id or model not in self.models
            is_unloading = self.busy_with is not None and (
                self.busy_with[:2] == ("unload", model)
            )
            born_ms = self.born_ms
            if not is_wrong and not is_unloading:
                count = self.running_by_model.get(model, 0)
                self.running_by_model[model] = count + 1
        if is_wrong or is_unloading:
            fields["Kumquatproxy-Not-Executed"] = "1"
            handler.send_whole(421 if is_wrong else 503, b"", fields)
            return
        self.record.write(f"{self.instance_id} runs {request_id} for {model}")
        try:
            fields["Kumquatproxy-Response-Seal"] = f"s.{self.instance_id}"
            fields["Content-Type"] = "text/event-stream"
            handler.begin_chunks(fields)
            for number in range(1, event_count + 1):
                time.sleep(EVENT_S)
                handler.send_chunk(f"id: {number}\ndata: {request_id}\n\n".encode())
            handler.send_chunk(b"")
        except OSError:
            handler.close_connection = True
        finally:
            with self.lock:
                if self.born_ms == born_ms:
                    self.running_by_model[model] -= 1
                    self._advance()
