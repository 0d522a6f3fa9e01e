"""An entry host: serves callers by what control hosts tell it."""

import collections.abc
import contextlib
import typing
import zlib

import gevent
import gevent.event

from kumquatproxy import clock, httpapi, logs
from kumquatproxy.fleet import (
    fleethost,
    fleetmessages,
    fleetsettings,
    fleetstate,
    servers,
    serviceconfig,
    spreading,
)
from kumquatproxy.gateway import (
    budget,
    callers,
    calls,
    choice,
    relay,
    waiting,
)

REPORT_INTERVAL_S = 0.25
# The balancer needs two questions, a second apart, to see that a host is leaving, and
# callers that it has sent before that still arrive a little later.
SETTLE_S = 2.6
STOP_MARGIN_S = 0.5
POLL_S = 0.05
# Control hosts that send all news of backend servers, and the time within which such
# a host must have been heard.
DETAIL_HOSTS = 2
CONTROL_FRESH_S = 1.6
# A wish for an adapter that was not answered is repeated after so long.
ASK_AGAIN_S = 0.15
# Time that a swap of models takes besides the load.
SWAP_S = 0.5
# Engine time of one generated token, as a share of a batch that makes many at once.
OUTPUT_TOKEN_S = 0.0006
EXPIRE_INTERVAL_S = 5.0


class Readiness(httpapi.Application):
    """Tell the balancer whether a host takes calls."""

    def __init__(self, is_ready):
        self._is_ready: collections.abc.Callable[[], bool] = is_ready

    def answer(self, request, now):
        """Return an empty answer, whatever is asked for."""
        return httpapi.Reply(200 if self._is_ready() else 503)


class EntryHost(fleethost.FleetHost):
    """Own the view of the fleet of one entry host."""

    def __init__(self, host_settings: fleetsettings.FleetSettings, seed: int = 0):
        super().__init__(host_settings, seed)
        now = clock.now()
        self.configuration: typing.Any = None  # serviceconfig.Configuration
        self.table = servers.ServerTable()
        self.chooser = choice.Chooser(
            host_settings.host.data_centre, self.table, self._rng
        )
        bounds = host_settings.bounds
        self.budget = budget.RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window
        )
        self.entry_count = 1
        self.is_stopping = False
        self.stops_at: float | None = None  # when the last calls are cut off
        self._control_ids: set[str] = set(host_settings.seed_ids)
        self._leader = ""
        self._subscribe_at = now
        self._report_at = now
        self._expire_at = now
        self._heard_at_by_id: dict[str, float] = {}
        self._changed = gevent.event.Event()
        self._has_news = False
        self._placement_order = (0, 0)  # fence and number of the push in use
        self._coming: dict[str, float] = {}  # time when a model is expected
        self._asked_at_by_key: dict[tuple, float] = {}
        self._arrivals_by_key: dict[tuple, tuple] = {}
        self._reported: dict = {}
        self._waiting_calls: dict[calls.Call, None] = {}
        self.relay = relay.Relay(self)
        self._callers = callers.CallerServer(
            host_settings.entry.callers, self.relay.serve, self._limits
        )
        self._readiness = httpapi.Server(
            host_settings.entry.readiness, Readiness(self.is_ready)
        )

    def start(self) -> None:
        """Start all tasks and servers; raise OSError if an address is taken."""
        super().start()
        self._readiness.start()
        self._callers.start()
        self._start_meter()
        self._host_log.write(
            clock.now(), f"{self.settings.host.name or self.host_id} started"
        )

    def stop_planned(self) -> None:
        """Leave the balancer, let the calls in flight end, then end."""
        now = clock.now()
        end = now + self.settings.bounds.stop_grace - STOP_MARGIN_S
        self._host_log.write(now, "stopping", in_flight=self._callers.active)
        self.is_stopping = True
        self.stops_at = end
        self._callers.start_closing()
        gevent.sleep(SETTLE_S)
        self._callers.close()
        # A request may be arriving on a connection that carries no call yet.
        while self._callers.open_count and clock.now() < end:
            gevent.sleep(POLL_S)
        self._host_log.write(clock.now(), "stopped", in_flight=self._callers.active)
        self._callers.stop()
        self._readiness.stop(0.1)
        self._stop_links()
        logs.flush()

    def learn_seeds(self, host_ids: list[str]) -> None:
        """Note control hosts that the settings name."""
        self._control_ids.update(host_ids)

    def gauges(self) -> dict[str, float]:
        """Return the present values that metrics tell, by name."""
        return {
            **super().gauges(),
            "calls.in_flight": self._callers.active,
            "calls.waiting": len(self._waiting_calls),
            "servers.known": len(self.table.all()),
            "configuration.version": self.version(),
        }

    # What the relay needs

    def _limits(self):
        if self.configuration is None:
            return DEFAULT_LIMITS
        return self.configuration.limits

    def version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self.configuration.version if self.configuration else 0

    def pick_service(self, route: serviceconfig.Route) -> str:
        """Return one of the services of a route by weight."""
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service

    def service(self, name: str) -> serviceconfig.Service:
        """Return a service of the configuration in force."""
        known = self.configuration.services_by_name.get(name)
        return known if known is not None else serviceconfig.Service(name)

    @contextlib.contextmanager
    def counted_waiting(self, call: calls.Call):
        """Count a call among those that wait for a server."""
        self._waiting_calls[call] = None
        try:
            yield
        finally:
            del self._waiting_calls[call]

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the view of the servers changes, at most for a while."""
        self._changed.wait(timeout_s)

    def outlook(self, call: calls.Call) -> waiting.Outlook:
        """Return when a server for a call is expected."""
        if call.need is None:
            return waiting.Outlook(None)
        now = clock.now()
        if call.need.adapter:
            self._ask_for_adapter(call, now)
        due = self._coming.get(call.need.model)
        if due is not None:
            return waiting.Outlook(max(0.0, due - now))
        return waiting.Outlook(self._unplanned_s(call))

    def _unplanned_s(self, call):
        """Return how long a load of a model takes that is not under way yet."""
        engine = self.service(call.service).engine
        if engine is None or call.need.model not in engine.models_by_name:
            return None
        model = engine.models_by_name[call.need.model]
        return model.disk_load_s + SWAP_S

    def _ask_for_adapter(self, call, now):
        key = (call.service, call.need.key())
        if now - self._asked_at_by_key.get(key, 0.0) < ASK_AGAIN_S or not self._leader:
            return
        self._asked_at_by_key[key] = now
        message = fleetmessages.AdapterWanted(
            adapter=call.need.adapter,
            model=call.need.model,
            service=call.service,
        )
        self.send_message(self._leader, message)

    def note_arrival(self, call: calls.Call) -> None:
        """Count a call in the demand that the owner of the orders is told of."""
        if call.need is None:
            return
        key = (call.service, call.need.model, call.need.adapter)
        count, work_s = self._arrivals_by_key.get(key, (0, 0.0))
        work_s += call.need.prompt_tokens / choice.DEFAULT_PREFILL_TOKENS_PER_S
        work_s += call.need.expected_output_tokens * OUTPUT_TOKEN_S
        self._arrivals_by_key[key] = (count + 1, work_s)

    # Messages

    def handle(self, message, now: float, reply=None):
        """Handle one message of a control host."""
        self._heard_at_by_id[message.sender] = now
        handler = _HANDLERS.get(type(message.message))
        if handler is not None:
            handler(self, message.message, now)

    def _on_configuration(self, message, now):
        current = self.version()
        if message.version <= current:
            return
        text = fleetstate.unpack(message.content)
        self.configuration = self.dialect.parse_configuration(text)
        self._config_log.write(
            now,
            f"version {message.version} is in force",
            replaced=current,
            routes=len(self.configuration.routes),
        )
        self._notify()

    def _on_servers(self, message, now):
        for plain in message.servers:
            self.table.hear(servers.from_plain(plain), now)
        for instance_id, born_ms, state in message.marks:
            if self.table.mark(instance_id, born_ms, servers.ServerState(state)):
                self.relay.links.forget(instance_id)
        spreading.refresh(self.table, message.alive, now)
        self._notify()

    def _on_hosts(self, message, now):
        self.entry_count = max(1, message.entry_count)
        self._control_ids.update(host_id for host_id, _ in message.hosts)
        if message.leader:
            self._leader = message.leader

    def _on_loads(self, message, now):
        self.chooser.set_others(message.loads_by_id, self._reported)

    def _on_placement(self, message, now):
        order = (message.fence, message.number)
        if order <= self._placement_order:
            return  # an earlier owner, or an earlier push of this one
        self._placement_order = order
        self.chooser.adapters_by_id = {
            instance_id: frozenset(keys)
            for instance_id, keys in message.adapters_by_id.items()
        }
        self.chooser.leaving_models_by_id = {
            instance_id: frozenset(names)
            for instance_id, names in message.leaving_models_by_id.items()
        }
        self._coming = {name: now + left_s for name, left_s in message.coming.items()}
        self._notify()

    def _on_adapter(self, message, now):
        self.chooser.gains(message.instance_id, message.key)
        self._changed.set()
        self._changed.clear()

    def _report(self, now):
        """Tell the owner of the orders what is in flight, arrives and waits."""
        self._report_at = now + REPORT_INTERVAL_S
        loads = self.chooser.own_loads()
        arrivals, self._arrivals_by_key = self._arrivals_by_key, {}
        waiting_by_key: dict[tuple, int] = {}
        for call in self._waiting_calls:
            if call.need is not None:
                key = (call.service, call.need.model, call.need.adapter)
                waiting_by_key[key] = waiting_by_key.get(key, 0) + 1
        needs = [
            [*key, *arrivals.get(key, (0, 0.0)), waiting_by_key.get(key, 0)]
            for key in {**arrivals, **waiting_by_key}
        ]
        if not self._leader or not (loads or needs or self._reported):
            return
        self._reported = loads
        report = fleetmessages.EntryReport(loads_by_id=loads, needs=needs)
        self.send_message(self._leader, report)

    def _notify(self):
        """Let the calls that wait look again, with the next tick.

        News come often, and each look costs every waiting call some time.
        """
        self._has_news = True

    def tick(self, now: float) -> None:
        """Subscribe, report, and wake the calls that wait if there is news."""
        if self._has_news:
            self._has_news = False
            self._changed.set()
            self._changed.clear()
        if now >= self._subscribe_at:
            self._subscribe_at = now + fleethost.SUBSCRIBE_INTERVAL_S
            self._subscribe(now)
        if now >= self._report_at:
            self._report(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            self.table.expire(now)
            self.chooser.prune()
        logs.flush()

    def _subscribe(self, now):
        version = self.version()
        detailed = self._detailed_ids(now)
        for host_id in self._control_ids:
            message = fleetmessages.Subscribe(
                address=self.settings.host.links,
                has_details=host_id in detailed,
                kind=fleetmessages.ENTRY,
                session=self._session,
                version=version,
            )
            self.send_message(host_id, message)

    def _detailed_ids(self, now):
        """Return the control hosts that are asked for all news of backend servers.

        Two are enough; leaves and configurations come from all of them. The hosts
        differ in which two they ask.
        """
        fresh = [
            host_id
            for host_id in self._control_ids
            if now - self._heard_at_by_id.get(host_id, -1e9) < CONTROL_FRESH_S
        ]
        if len(fresh) <= DETAIL_HOSTS:
            return self._control_ids
        ranked = sorted(fresh, key=lambda host_id: _rank(self.host_id, host_id))
        return set(ranked[:DETAIL_HOSTS])

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self.configuration is not None and not self.is_stopping


DEFAULT_LIMITS = serviceconfig.Limits()
_HANDLERS = {
    fleetmessages.ConfigurationPush: EntryHost._on_configuration,
    fleetmessages.ServersPush: EntryHost._on_servers,
    fleetmessages.ControlHosts: EntryHost._on_hosts,
    fleetmessages.LoadPush: EntryHost._on_loads,
    fleetmessages.PlacementPush: EntryHost._on_placement,
    fleetmessages.AdapterReady: EntryHost._on_adapter,
}


def _rank(host_id, control_id):
    """Return a number by which each host orders the control hosts in its own way."""
    return zlib.crc32(f"{host_id} {control_id}".encode())
