"""Entry host: serves callers with the state that control hosts publish."""

import collections.abc
import contextlib
import math
import secrets
import typing
import zlib

import gevent
import gevent.event

from kumquatproxy import build, clock, errors, httpapi, logs, wire
from kumquatproxy.fleet import (
    allotments,
    factexchange,
    fleetdemand,
    fleethost,
    fleetmessages,
    fleetsettings,
    fleetstate,
    heartbeatages,
    hostcount,
    modelwants,
    originexchange,
    publishing,
    regionalsubscription,
    regionmessages,
    serverpaths,
    servers,
    serviceconfig,
    streamrecords,
    turns,
)
from kumquatproxy.gateway import (
    brittleservers,
    callers,
    calls,
    crashes,
    finishprediction,
    forwarding,
    leavingservers,
    overload,
    reachability,
    relay,
    requestedpauses,
    retrybudget,
    serverlimits,
    serverselection,
    shedding,
    standstill,
    teamrecords,
    usagecaps,
    waiting,
)

REPORT_INTERVAL_S = 0.25
# Time until no new callers arrive at a stopping host: the load balancer needs two
# readiness checks, a second apart, and callers that it sent before them arrive a little
# later.
BALANCER_SETTLE_S = 2.6
STOP_MARGIN_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
# Number of control hosts that push all changes of backend servers, and the time since
# the last message of such a host after which another one is chosen.
DETAIL_HOST_COUNT = 2
CONTROL_HOST_TIMEOUT_S = 1.6
# Two hosts often dial each other at the same time. Each link that opens makes the next
# subscription cost a full state, so one is sent for both links.
LINKS_OPEN_S = 0.15
# Least time between two requests for the full state of a control host, which takes
# seconds to arrive if there are thousands of servers.
MIN_RENEWAL_S = 4.0
# An unanswered request for an adapter is repeated after this time.
ADAPTER_RETRY_S = 0.15
# Requests for adapters that are remembered before the expired ones are forgotten.
MAX_REQUESTED_ADAPTERS = 1000
# Time that a swap of models takes in addition to the load.
SWAP_OVERHEAD_S = 0.5
# A load that has not ended this long after it should have is not waited for.
MAX_LOAD_DELAY_S = 1.0
# Engine time of one generated token, as its share of a decoding step of a batch.
OUTPUT_TOKEN_S = 0.0006
EXPIRE_INTERVAL_S = 5.0
# Interval at which the software versions of the known servers are recorded.
VERSION_INTERVAL_S = 1.0


class Readiness(httpapi.Application):
    """Answer the readiness checks of the load balancer."""

    def __init__(self, is_ready):
        self._is_ready: collections.abc.Callable[[], bool] = is_ready

    def answer(self, request, now):
        """Return an empty reply to any request."""
        return httpapi.Reply(200 if self._is_ready() else 503)


class EntryHost(fleethost.FleetHost):
    """Run one entry host: callers, server table, routing state, demand reports."""

    role = "entry"

    def __init__(self, host_settings: fleetsettings.FleetSettings, seed: int = 0):
        super().__init__(host_settings, seed)
        now = clock.now()
        self._wants: modelwants.WantSender | None = None
        if self.is_hard_load:
            session = secrets.token_hex(8) + regionmessages.REGION_SUFFIX
            self._session = modelwants.mark_session(session)
            self._wants = modelwants.WantSender()
        self._session = heartbeatages.mark_session(self._session)
        self._session = originexchange.mark_session(self._session)
        self.started_at = now
        self.configuration: typing.Any = None  # serviceconfig.Configuration
        self.table = servers.ServerTable()
        self._facts = factexchange.EntryFacts(self._broadcast)
        self.limits = serverlimits.ServerLimits(self._facts.table, self._facts.publish)
        self.brittle = brittleservers.BrittleServers(
            self.host_id, self._facts.table, self._facts.publish
        )
        self.pauses = requestedpauses.RequestedPauses(self._rng, self._schedule_wakeup)
        self.leaving = leavingservers.LeavingServers(
            self._mark_leaving, self._facts.publish
        )
        self._turn_client = turns.TurnClient(self.send_message)
        self.server_selector = serverselection.ServerSelector(
            host_settings.host.data_centre,
            self.table,
            self._rng,
            self.limits,
            self.brittle,
            self.pauses,
            finishprediction.ALIAS if self.is_hard_load else serverselection.STEADY,
            host_settings.load.local_share,
        )
        policy = overload.ALIAS if self.is_hard_load else shedding.STEADY
        self.load_policy: shedding.SteadyPolicy = shedding.LOAD_POLICIES.get(policy)(
            self.server_selector, self.meter.load_decision
        )
        bounds = host_settings.bounds
        self.budget = retrybudget.RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window
        )
        self.allotments = allotments.AllotmentClient(
            self.send_message,
            self._possible_givers,
            self.spread,
            bounds,
            secrets.randbits(48),
        )
        self.entry_counts = hostcount.HostCount()
        self.standstill = standstill.Standstill()
        self.is_stopping = False
        self.stops_at: float | None = None  # when remaining calls are aborted
        self.is_accepting = True  # connections, from callers and other hosts
        self._control_ids: set[str] = set(host_settings.seed_ids)
        self._leader = ""
        self._voter_ids: set[str] = set()  # hosts of the control group's voters
        self._next_subscribe_at = now
        # When to subscribe at control hosts to which a link has opened.
        self._subscribe_at_by_id: dict[str, float] = {}
        self._renewed_at_by_id: dict[str, float] = {}
        self._next_report_at = now
        self._next_expiry_at = now
        self._next_versions_at = now
        self._streams = streamrecords.StreamRecords(self._broadcast)
        self._heartbeats = heartbeatages.HeartbeatWatch(self._broadcast)
        self.region: regionalsubscription.RegionalSubscription | None = None
        if self.is_hard_load:
            self.region = regionalsubscription.RegionalSubscription(
                self.host_id, host_settings.host.data_centre, self.send_message
            )
        self.crashes = crashes.CrashTracker(
            self.host_id, self._facts.table, self._facts.publish
        )
        self.peer_token = forwarding.token(host_settings.host.key)
        self._heard_at_by_id: dict[str, float] = {}
        # Sessions at the control hosts of which a push was lost.
        self._session_by_id: dict[str, str] = {}
        self._renewal_count = 0
        self._unusable_ids: set[str] = set()  # of servers with malformed announcements
        self._change_event = gevent.event.Event()
        self._has_changes = False
        self._placement_version = (0, 0)  # fence and number of the last push applied
        self._expected_at_by_model: dict[str, float] = {}  # of models being loaded
        self._requested_at_by_key: dict[tuple, float] = {}
        self._arrivals_by_key: dict[tuple, tuple] = {}
        self._reported_loads: dict = {}
        self._waiting_calls: dict[calls.Call, None] = {}
        self.relay = relay.Relay(self, bool(host_settings.host.administration))
        reach = reachability.Reachability()
        offers = forwarding.Forwarding(
            self.host_id,
            host_settings.entry.peers,
            self._facts.table,
            self._facts.publish,
            reach,
        )
        self.paths = serverpaths.ServerPaths(
            reach,
            offers,
            self.server_selector,
            self.relay.links,
            self._rng,
            self._schedule_wakeup,
        )
        self._callers = callers.CallerServer(
            host_settings.entry.callers, self.relay.serve, self._limits, self.memory
        )
        self._peer_callers: callers.CallerServer | None = None
        if host_settings.entry.peers:
            self._peer_callers = callers.CallerServer(
                host_settings.entry.peers,
                self.relay.serve_forwarded,
                self._limits,
                self.memory,
            )
        self._readiness = httpapi.Server(
            host_settings.entry.readiness, Readiness(self.is_ready), budget=self.memory
        )

    def start(self) -> None:
        """Start all tasks and servers; raise OSError if an address is taken."""
        super().start()
        self._readiness.start()
        for caller_server in self._caller_servers():
            caller_server.start()
        self._start_operator_servers()
        self._host_log.write(
            clock.now(),
            f"{self.settings.host.name or self.host_id} started",
            build=build.digest(),
        )

    def _caller_servers(self):
        servers_or_none = (self._callers, self._peer_callers)
        return [server for server in servers_or_none if server is not None]

    def _in_flight_count(self):
        return sum(server.in_flight_count for server in self._caller_servers())

    def stop_planned(self) -> None:
        """Leave the load balancer, drain the calls in flight, then stop."""
        now = clock.now()
        deadline = now + self.settings.bounds.stop_grace - STOP_MARGIN_S
        self._host_log.write(now, "stopping", in_flight=self._in_flight_count())
        self.is_stopping = self.paths.is_stopping = True
        self.stops_at = deadline
        caller_servers = self._caller_servers()
        for caller_server in caller_servers:
            caller_server.disable_keep_alive()
        gevent.sleep(BALANCER_SETTLE_S)
        self.is_accepting = False
        for caller_server in caller_servers:
            caller_server.stop_accepting()
        # Idle connections count as well, as a request may be arriving on them.
        while (
            any(caller_server.open_count for caller_server in caller_servers)
            and clock.now() < deadline
        ):
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self._host_log.write(clock.now(), "stopped", in_flight=self._in_flight_count())
        for caller_server in caller_servers:
            caller_server.abort()
        self._readiness.stop(0.1)
        self._stop_links()
        logs.flush()

    def add_seeds(self, host_ids: list[str]) -> None:
        """Add control hosts that are seeds in the settings."""
        self._control_ids.update(host_ids)

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauges by name."""
        return {
            **super().gauges(),
            **self.load_policy.gauges(),
            "calls.in_flight": self._in_flight_count(),
            "connections.open": sum(
                server.open_count for server in self._caller_servers()
            ),
            "responses.late": self.relay.late_responses,
            "services.cut_off": len(self.paths.cut_services()),
            "calls.waiting": len(self._waiting_calls),
            "servers.known": len(self.table.all()),
            **fleethost.version_gauges("configuration.version", self.version()),
            "facts.known": len(self._facts.table),
            "servers.limited": serverlimits.limited_count(
                self._facts.table, clock.now()
            ),
            **self.server_selector.gauges(clock.now()),
            "servers.leaving": self.table.leaving_count(),
            "servers.silent": self.table.silent_count(clock.now()),
            "servers.paused": self.pauses.count(clock.now()),
            "prompts.rejected": self.crashes.parts.blamed_count(clock.now()),
            "repetitions.rejected": self.crashes.calls.blamed_count(clock.now()),
            "exchange.direct": float(self.region is None or self.region.is_direct),
            "keys.refused": self.relay.refusals.count(
                teamrecords.KEY_REASONS - {teamrecords.OUT_OF_TOUCH}
            ),
            "keys.undecided": self.relay.refusals.count({teamrecords.OUT_OF_TOUCH}),
        }

    def team_gauges(self) -> dict[tuple[str, str], float]:
        """Return the values of the gauges by name and team."""
        return self.allotments.gauges(clock.now())

    # Read for operators

    @property
    def leader(self) -> str:
        """Return the control host that leads the control group, as far as known."""
        return self._leader

    def configuration_in_force(self) -> serviceconfig.Configuration | None:
        """Return the configuration that this host uses, or None."""
        return self.configuration

    def control_host_states(self, now: float) -> dict[str, bool]:
        """Return whether each known control host has sent a message lately."""
        live_ids = self._live_control_ids(now)
        return {host_id: host_id in live_ids for host_id in sorted(self._control_ids)}

    def team_view(self, team: serviceconfig.Team, now: float) -> dict:
        """Return refusals of a team, what it used, and what this host holds for it."""
        view: dict = {"refused": self.relay.refusals.counts(team.name, now)}
        if team.has_cap:
            view["held"] = self.allotments.view(team.name, now)
            view["usage"] = self.allotments.usage.view(
                team.name, self.settings.bounds.cap_window, now
            )
        return view

    def key_refusals(self, now: float) -> dict[str, dict]:
        """Return the calls without a team that this host has refused, by reason."""
        return self.relay.refusals.counts(teamrecords.NO_TEAM, now)

    def find_refusal(self, request_id: str) -> teamrecords.Refusal | None:
        """Return the newest refusal of a request, None if it is not kept."""
        return self.relay.refusals.find(request_id)

    # Used by the relay

    def _limits(self):
        if self.configuration is None:
            return DEFAULT_LIMITS
        return self.configuration.limits

    def version(self) -> int:
        """Return the version in force, serviceconfig.NO_VERSION if there is none."""
        if self.configuration is None:
            return serviceconfig.NO_VERSION
        return self.configuration.version

    def is_in_touch(self) -> bool:
        """Return whether a majority of the voters has sent a message lately.

        One of them took part in the commit of the newest configuration.
        """
        heard, voters = self._heard_voters(clock.now())
        return 2 * heard > voters

    def _heard_voters(self, now):
        """Return how many voters have sent a message lately, and how many there are."""
        voter_ids = self._voter_ids or self._control_ids
        return len(self._live_control_ids(now) & voter_ids), len(voter_ids)

    def decision_inputs(self, call: calls.Call, now: float) -> dict:
        """Return what decides whether the team of a call may run it."""
        heard, voters = self._heard_voters(now)
        inputs = {
            "is_forwarded": call.forwarded_service is not None,
            "version": serviceconfig.version_or_none(self.version()),
            "version_age_ms": round((now - self._configured_at) * 1000),
            "voters": voters,
            "voters_heard": heard,
        }
        team = call.team
        if team is not None and team.has_cap:
            inputs.update(
                amount=usagecaps.amount(call),
                burst=team.burst,
                rate=team.rate_per_s,
                **self.allotments.view(team.name, now),
            )
        return inputs

    def spread(self) -> float:
        """Return a random number from 0 to 1 that spreads callers over time."""
        return self._rng.random()

    def pick_service(self, route: serviceconfig.Route) -> str:
        """Draw one of the services of a route by weight."""
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service

    def service(self, name: str) -> serviceconfig.Service:
        """Return a service as configured, or a default one under an unknown name."""
        known = self.configuration.services_by_name.get(name)
        return known if known is not None else serviceconfig.Service(name)

    @contextlib.contextmanager
    def count_while_waiting(self, call: calls.Call):
        """Count a call as waiting for a server while the context is open."""
        self._waiting_calls[call] = None
        try:
            yield
        finally:
            del self._waiting_calls[call]

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait until servers, placement or adapters change, at most ``timeout_s``."""
        self._change_event.wait(timeout_s)

    def take_turn(
        self, announcement: servers.Announcement, max_wait_s: float
    ) -> serverlimits.Turn | None:
        """Ask for a turn at a server; None if nobody can give one at present."""
        rate = self.limits.rate(announcement, clock.now())
        if rate is None:
            return serverlimits.Turn(True, 0.0)
        turn = None
        if self._leader and self._facts.knows_facts(self._leader):
            turn = self._turn_client.take(self._leader, announcement, rate, max_wait_s)
        self.limits.record_turn(announcement, turn, clock.now())
        return turn

    def expected_availability(
        self,
        call: calls.Call,
        now: float,
        turn_wait_s: float | None = None,
    ) -> waiting.ExpectedAvailability:
        """Return when a server for a call is expected, None if that is unknown.

        ``turn_wait_s`` is the wait for a turn, if servers with a limit have the model.
        """
        if call.need is None:
            is_limited = turn_wait_s is not None
            return waiting.ExpectedAvailability(turn_wait_s, is_excluded=is_limited)
        if call.need.adapter:
            self._request_adapter(call, now)
        expected_at = self._expected_at_by_model.get(call.need.model)
        if expected_at is not None:
            if now >= expected_at + MAX_LOAD_DELAY_S:
                return waiting.ExpectedAvailability(None)
            return waiting.ExpectedAvailability(max(0.0, expected_at - now))
        if turn_wait_s is not None:
            return waiting.ExpectedAvailability(turn_wait_s, is_excluded=True)
        is_wanted = self._want_model(call, now)
        return waiting.ExpectedAvailability(
            self._unplanned_load_s(call, now), is_assumed=not is_wanted
        )

    def _want_model(self, call, now):
        """Tell the owner of orders that a call misses its model; return whether it is.

        The owner begins the load as soon as an engine is free, so the call can go on
        waiting while the time left suffices.
        """
        if self._wants is None or self._offered_model(call) is None:
            return False
        if self.table.ready(call.service, now, call.need.model):
            return False  # it misses an adapter, or the server is unusable
        wanted = self._wants.want(
            self._leader, call.service, call.need.model, call.route.objective_s, now
        )
        if wanted is not None:
            self.send_message(self._leader, wanted)
        return self._wants.knows(self._leader)

    def _offered_model(self, call):
        """Return the model a call needs as its service offers it, or None."""
        if call.need is None or self.configuration is None:
            return None
        engine = self.service(call.service).engine
        return engine.models_by_name.get(call.need.model) if engine else None

    def _unplanned_load_s(self, call, now):
        """Return the time of a load that is not in progress yet, None if unknown."""
        model = self._offered_model(call)
        if model is None:
            return None
        is_cached = any(
            model.name in announcement.on_disk or model.name in announcement.in_memory
            for announcement in self.table.ready(call.service, now)
        )
        load_s = model.disk_load_s if is_cached else model.store_load_s
        return load_s + SWAP_OVERHEAD_S

    def _request_adapter(self, call, now):
        key = (call.service, call.need.key())
        if (
            now - self._requested_at_by_key.get(key, 0.0) < ADAPTER_RETRY_S
            or not self._leader
        ):
            return
        if len(self._requested_at_by_key) >= MAX_REQUESTED_ADAPTERS:
            # Callers choose the names, so their number is not limited otherwise.
            self._requested_at_by_key = {
                other_key: requested_at
                for other_key, requested_at in self._requested_at_by_key.items()
                if now - requested_at < ADAPTER_RETRY_S
            }
        self._requested_at_by_key[key] = now
        message = fleetmessages.AdapterWanted(
            adapter=call.need.adapter,
            model=call.need.model,
            service=call.service,
        )
        self.send_message(self._leader, message)

    def record_arrival(self, call: calls.Call) -> None:
        """Count a call in the demand that is reported to the owner of orders."""
        if call.need is None or self._offered_model(call) is None:
            return
        key = (call.service, call.need.model, call.need.adapter)
        count, work_s = self._arrivals_by_key.get(key, (0, 0.0))
        work_s += call.need.prompt_tokens / serverselection.DEFAULT_PREFILL_TOKENS_PER_S
        work_s += call.need.expected_output_tokens * OUTPUT_TOKEN_S
        self._arrivals_by_key[key] = (count + 1, work_s)

    def record_origin(self, call: calls.Call) -> None:
        """Send the origin of a stream to control hosts, before its first event."""
        if not call.is_repeatable:
            return
        now = clock.now()
        self._streams.record(call, self._origin_keeper_ids(now), now)

    def _origin_keeper_ids(self, now):
        """Return the control hosts that keep the origins of this host's streams."""
        host_ids = self._streams.host_ids
        ranked_ids = sorted(
            self._live_control_ids(now) & host_ids or host_ids,
            key=lambda host_id: _rendezvous_hash(self.host_id, host_id),
        )
        return ranked_ids[: streamrecords.RECORD_HOST_COUNT]

    def restore_origin(self, call: calls.Call) -> None:
        """Set the service and version of a resumed stream to those that it began at.

        Raise ProxyError if they are unknown and could differ.
        """
        now = clock.now()
        live_ids = self._live_control_ids(now)
        required = self._streams.required_origin(call, live_ids, self._voter_ids, now)
        if required is None:
            raise errors.ProxyError(
                errors.ErrorKind.NO_BACKEND_SERVER,
                "the software version that the resumed stream began at is unknown, or "
                "its service is no longer a target of the route",
                retry_after_s=waiting.MIN_RETRY_AFTER_S,
            )
        call.service = required.service
        call.software_version = required.software_version

    def with_certain_version(
        self, candidates: list[serverselection.Candidate]
    ) -> list[serverselection.Candidate]:
        """Return the servers that are known to run the version they have announced.

        It may take a round trip to the control hosts to know of any.
        """
        announcements = [candidate.announcement for candidate in candidates]
        live_ids = self._live_control_ids(clock.now())
        recent = self._heartbeats.recent(announcements, live_ids)
        return [
            candidate
            for candidate in candidates
            if candidate.announcement.lifetime in recent
        ]

    def with_soonest_heartbeats(
        self, candidates: list[serverselection.Candidate]
    ) -> list[serverselection.Candidate]:
        """Return the half of the servers whose next heartbeats are due soonest."""
        announcements = [candidate.announcement for candidate in candidates]
        soonest = self._heartbeats.soonest(announcements, clock.now())
        lifetimes = {announcement.lifetime for announcement in soonest}
        return [
            candidate
            for candidate in candidates
            if candidate.announcement.lifetime in lifetimes
        ]

    def lifetime_confirmed_until(self, announcement: servers.Announcement) -> float:
        """Return until when a connection must have been opened to reach a lifetime.

        It is infinite if no control host tells of heartbeats.
        """
        return self._heartbeats.confirmed_until(announcement)

    def confirms_lifetime(
        self, announcement: servers.Announcement, opened_at: float
    ) -> bool:
        """Return whether a connection is known to reach the announced lifetime.

        If it is not, wait for about a round trip to the control hosts.
        """
        live_ids = self._live_control_ids(clock.now())
        return self._heartbeats.confirm(announcement, opened_at, live_ids)

    # Messages

    def _broadcast(self, host_ids, message):
        """Send a message to several hosts, encoded once."""
        data = wire.encode(message)
        for host_id in host_ids:
            self.transport.set_address(host_id, self.settings.link_address(host_id))
            self.transport.send_encoded(host_id, data)

    def _on_link_opened(self, host_id):
        """Subscribe again soon, as marks may have been lost with an earlier link.

        Wait for the greeting of a control host, which may be of another build.
        """
        now = clock.now()
        if self._wants is not None:
            self._wants.reopen(host_id, now)
        if self.region is not None:
            self.region.forget(host_id)
        self._heartbeats.reopen(host_id, now)
        self._facts.reopen(host_id)
        if host_id in self._control_ids:
            self._subscribe_at_by_id[host_id] = now + LINKS_OPEN_S

    def handle(self, message, now: float, reply=None):
        """Handle one message of a control host."""
        self._heard_at_by_id[message.sender] = now
        self.standstill.record_message(now)
        if isinstance(message.message, fleetmessages.TurnAnswer):
            self._turn_client.receive(message.message)
            return
        if isinstance(message.message, fleetmessages.AllotmentAnswer):
            self.allotments.receive(message.sender, message.message, now)
            return
        if isinstance(message.message, fleetmessages.StreamQueryAnswer):
            self._streams.receive(message.sender, message.message)
            return
        if isinstance(message.message, originexchange.OriginsWanted):
            self._streams.sender.request(message.sender, message.message.session)
            return
        if isinstance(message.message, heartbeatages.HeartbeatAges):
            self._heartbeats.receive(message.sender, message.message, now)
            return
        if isinstance(message.message, fleetmessages.SharedFacts):
            self._on_facts(message.sender, message.message, now)
            return
        if self.region and self._on_region_message(self.region, message, now):
            return
        if isinstance(message.message, fleetmessages.ServersPush):
            self._streams.learn_build(message.sender, message.message)
        if self._wants and isinstance(message.message, modelwants.WantsGreeting):
            self._wants.greet(message.sender, now)
            return
        handler = _HANDLERS.get(type(message.message))
        if handler is not None:
            handler(self, message.message, now)
        if isinstance(message.message, fleetmessages.ServersPush):
            self._renew_if_incomplete(message.sender, message.message, now)

    def _on_region_message(self, region, received, now):
        """Handle a message of the exchange by data centre; return whether it is one."""
        sender, message = received.sender, received.message
        if isinstance(message, regionmessages.HandedLoads):
            loads = region.apply_loads(sender, message, now)
            if loads is not None:
                totals, own = loads
                self.server_selector.set_other_host_loads(totals, own, now)
        elif isinstance(message, regionmessages.ControlAlive):
            region.record_alive(sender, message)
            self._set_entry_count(message.entries, now)
            self._leader = message.leader or self._leader
        elif isinstance(message, regionmessages.PlacementChange):
            placement = region.apply_placement(sender, message, now)
            if placement is not None:
                self._on_placement(placement, now)
        elif isinstance(message, regionmessages.RegionGreeting):
            region.greet(sender, message)
            self._streams.host_ids.add(sender)  # all such builds keep origins
            self._subscribe_at(sender, self._wanted_detail_ids(now), now)
        elif isinstance(message, regionmessages.VersionNotice):
            region.record_notice(sender, message.version, now)
        elif isinstance(message, regionmessages.SubscribeWanted):
            self.send_message(
                sender, self._subscription(sender, self._wanted_detail_ids(now))
            )
        else:
            if isinstance(message, fleetmessages.PlacementPush):
                region.record_placement(message)
            return False
        return True

    def _on_configuration(self, message, now):
        current = self.version()
        if not message.content or message.version <= current:
            return
        text = fleetstate.unpack(message.content)
        self.configuration = self.dialect.parse_configuration(text)
        self._configured_at = now
        self.allotments.configure(self.configuration, now)
        self.allotments.usage.retain(self.configuration.teams_by_name)
        self.relay.refusals.retain(self.configuration.teams_by_name)
        self._config_log.write(
            now,
            f"version {message.version} is in force",
            replaced=serviceconfig.version_or_none(current),
            routes=len(self.configuration.routes),
        )
        self._schedule_wakeup()

    def _on_servers(self, message, now):
        announcements, repeated = self._read_servers(message.servers, now)
        has_changes = bool(message.alive)  # a silent server may be among them
        for announcement in announcements:
            if self.table.apply_announcement(announcement, now):
                self.paths.record_announced(announcement.service)
                has_changes = True
        for announcement in [*announcements, *repeated]:
            self.crashes.confirm_ended(announcement, now)
        streamrecords.record_versions(
            self._streams.history, [*announcements, *repeated], now
        )
        for instance_id, born_ms, state in publishing.read_marks(message.marks, now):
            has_changes |= self._mark(instance_id, born_ms, state)
        publishing.refresh_heartbeats(self.table, message.alive, now)
        if has_changes:
            self._schedule_wakeup()
        if self._wants is not None and self._serves_waiting_call(announcements):
            self._wake_waiting_calls()

    def _read_servers(self, entries, now):
        """Return the announcements of a push that are new, and those that are known.

        Several control hosts push the same ones.
        """
        known = [self.table.known_from(fields) for fields in entries]
        repeated = [found for found in known if found is not None]
        entries = [fields for fields, found in zip(entries, known) if found is None]
        announcements = publishing.read_announcements(entries, now)
        self._record_unusable(entries, announcements)
        return announcements, repeated

    def _record_unusable(self, entries, announcements):
        """Keep the ids of malformed entries, so that they do not seem to be missing."""
        usable_ids = {announcement.instance_id for announcement in announcements}
        if len(entries) == len(announcements):
            self._unusable_ids -= usable_ids
            return
        ids = {
            entry[0]
            for entry in entries
            if isinstance(entry, list) and entry and isinstance(entry[0], str)
        }
        if len(self._unusable_ids) >= servers.MAX_SERVERS:
            self._unusable_ids.clear()
        self._unusable_ids |= ids - usable_ids

    def _mark(self, instance_id, born_ms, state):
        """Mark a server as leaving or gone; return whether that is new."""
        if not self.table.mark(instance_id, born_ms, state):
            return False
        self.relay.links.close_server(instance_id)
        return True

    def _mark_leaving(self, instance_id, born_ms, now):
        return self._mark(instance_id, born_ms, servers.ServerState.LEAVING)

    def _renew_if_incomplete(self, host_id, push, now):
        """Ask for the full state if a push names servers that no push described.

        A control host sends it to a session that it does not know.
        """
        described_ids = self.table.known_by_id.keys() | self._unusable_ids
        lifetimes = publishing.read_lifetimes(push.alive)
        if all(instance_id in described_ids for instance_id, _ in lifetimes):
            return
        if now < self._renewed_at_by_id.get(host_id, -math.inf) + MIN_RENEWAL_S:
            return  # the full state may still be on its way
        self._renewed_at_by_id[host_id] = now
        self._renewal_count += 1
        self._session_by_id[host_id] = f"{self._renewal_count}-{self._session}"
        self._host_log.write_limited(
            now, "servers", f"asking {host_id} for all servers, as a push was lost"
        )

    def _on_facts(self, sender, message, now):
        facts = self._facts.receive(sender, message, now)
        if facts:
            self.crashes.handle_facts(facts, now)
            self.leaving.handle_facts(facts, now)
            if any(fact.kind == forwarding.CUT_HOST for fact in facts):
                self.paths.exchange_offers(now)
            self._schedule_wakeup()

    def _on_hosts(self, message, now):
        self._set_entry_count(message.entry_count, now)
        self._control_ids.update(host_id for host_id, _ in message.hosts)
        self._voter_ids = set(message.voters) or self._voter_ids
        if message.leader:
            self._leader = message.leader

    def _set_entry_count(self, count, now):
        self.entry_counts.record(count, now)
        host_count = max(1, count)
        self.load_policy.set_host_count(host_count)
        self.brittle.host_count = self.paths.host_count = host_count

    def _on_loads(self, message, now):
        self.server_selector.set_other_host_loads(
            message.loads_by_id, self._reported_loads, now
        )

    def _on_placement(self, message, now):
        placement_version = (message.fence, message.number)
        if placement_version <= self._placement_version:
            return  # of an earlier owner, or an earlier push of the same one
        self._placement_version = placement_version
        self.server_selector.adapters_by_id = {
            instance_id: frozenset(keys)
            for instance_id, keys in message.adapters_by_id.items()
        }
        self.server_selector.leaving_models_by_id = {
            instance_id: frozenset(names)
            for instance_id, names in message.leaving_models_by_id.items()
        }
        self._expected_at_by_model = {
            name: now + left_s for name, left_s in message.coming.items()
        }
        self._schedule_wakeup()

    def _on_adapter(self, message, now):
        self.server_selector.add_adapter(message.instance_id, message.key)
        self._change_event.set()
        self._change_event.clear()

    def _report(self, now):
        """Report calls in flight, arrivals and waiting calls to the owner of orders."""
        self._next_report_at = now + REPORT_INTERVAL_S
        loads = self.server_selector.own_loads()
        arrivals, self._arrivals_by_key = self._arrivals_by_key, {}
        waiting_by_key: dict[tuple, int] = {}
        for call in self._waiting_calls:
            if self.load_policy.is_held(call):
                continue
            if call.need is not None and self._offered_model(call) is not None:
                key = (call.service, call.need.model, call.need.adapter)
                waiting_by_key[key] = waiting_by_key.get(key, 0) + 1
        needs = [
            [*key, *arrivals.get(key, (0, 0.0)), waiting_by_key.get(key, 0)]
            for key in {**arrivals, **waiting_by_key}
        ]
        if not self._leader or not (loads or needs or self._reported_loads):
            return
        self._reported_loads = loads
        needs = self._needs_that_fit(needs, now)
        if self.region is not None:
            self.region.report(loads, needs, self._leader, now)
            return
        report = fleetmessages.EntryReport(loads_by_id=loads, needs=needs)
        self.send_message(self._leader, report)

    def _needs_that_fit(self, needs, now):
        kept_needs = fleetdemand.needs_that_fit(needs)
        if len(kept_needs) < len(needs):
            self._host_log.write_limited(
                now,
                "report",
                f"reported the demand for {len(kept_needs)} of {len(needs)} names",
            )
        return kept_needs

    def _serves_waiting_call(self, announcements):
        """Return whether a server has a model that a call waits for."""
        names = {call.need.model for call in self._waiting_calls if call.need}
        return any(
            model[0] in names
            for announcement in announcements
            for model in announcement.models
        )

    def _wake_waiting_calls(self):
        self._has_changes = False
        self._change_event.set()
        self._change_event.clear()

    def _schedule_wakeup(self):
        """Wake the waiting calls at the next tick.

        Changes are frequent, and each wake-up takes processor time for every waiting
        call, so changes are batched.
        """
        self._has_changes = True

    def tick(self, now: float) -> None:
        """Do the periodic work; log an error, which must not end the calls in flight.

        Each part sets its next time first, so the others go on in the next tick.
        """
        stood_still_s = self.standstill.record_tick(now)
        if stood_still_s:
            self._host_log.write(
                now,
                f"stood still for {stood_still_s:.1f} s; calls wait for a control host",
            )
        try:
            self._do_periodic_work(now)
        except Exception as error:
            self._host_log.write_exception(now, error, "periodic work failed")
        logs.flush()

    def _do_periodic_work(self, now):
        """Wake waiting calls after changes, subscribe, report, and expire servers."""
        if self._has_changes:
            self._wake_waiting_calls()
        live_ids = self._live_control_ids(now)
        if self.region is not None:
            if self.region.update(live_ids, self._leader, now):
                self._next_subscribe_at = self._next_report_at = now
            for host_id in self.region.ids_to_ask(self.version(), now):
                self._subscribe_at(host_id, self._wanted_detail_ids(now), now)
        if now >= self._next_subscribe_at:
            self._next_subscribe_at = now + fleethost.SUBSCRIBE_INTERVAL_S
            self._subscribe(now)
        for host_id, due_at in list(self._subscribe_at_by_id.items()):
            if now >= due_at:
                del self._subscribe_at_by_id[host_id]
                self._subscribe_at(host_id, self._wanted_detail_ids(now), now)
        if now >= self._next_report_at:
            self._report(now)
        self._facts.tick(now)
        for send in self._streams.tick(self._origin_keeper_ids(now), now):
            self.send_message(send.to, send.message)
        self.allotments.tick(now)
        if self.configuration is not None:
            self.paths.tick(self.configuration.services_by_name, now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRE_INTERVAL_S
            self.table.expire(now)
            self.server_selector.prune()
            self._streams.expire(now)
            self._heartbeats.expire(now)
            self.limits.expire(now)
            self.brittle.expire(now)
            self.pauses.expire(now)
        if now >= self._next_versions_at:
            self._next_versions_at = now + VERSION_INTERVAL_S
            streamrecords.record_versions(self._streams.history, self.table.all(), now)
        if 2 * len(live_ids) > len(self._control_ids):
            self._streams.history.record_contact(now)

    def _subscribe(self, now):
        detail_host_ids = self._wanted_detail_ids(now)
        for host_id in self._control_ids:
            self._subscribe_at(host_id, detail_host_ids, now)

    def _wanted_detail_ids(self, now):
        detail_host_ids = set(self._detail_host_ids(now))
        if self.table.known_by_id:
            # A push of servers tells the build of a control host.
            detail_host_ids |= self._control_ids - self._streams.host_ids
        return detail_host_ids

    def _subscription(self, host_id, detail_host_ids):
        return fleetmessages.Subscribe(
            address=self.settings.host.links,
            has_details=host_id in detail_host_ids,
            kind=fleetmessages.ENTRY,
            session=self._session_by_id.get(host_id, self._session),
            version=self.version(),
        )

    def _subscribe_at(self, host_id, detail_host_ids, now):
        message = self._subscription(host_id, detail_host_ids)
        if self.region is not None:
            self.region.subscribe(message, host_id, now)
        else:
            self.send_message(host_id, message)

    def _detail_host_ids(self, now):
        """Return the control hosts that are to push all changes of backend servers.

        Two are enough; marks and configurations come from all of them. Rendezvous
        hashing distributes the entry hosts over the control hosts.
        """
        live = self._live_control_ids(now)
        if len(live) <= DETAIL_HOST_COUNT:
            return self._control_ids
        if self.region is not None:
            return self.region.detail_ids(live)
        ranked = sorted(
            live, key=lambda host_id: _rendezvous_hash(self.host_id, host_id)
        )
        return set(ranked[:DETAIL_HOST_COUNT])

    def _possible_leaders(self):
        """Return the voters of the control group, the known leader first.

        A host that has just started knows the seeds only, which name the leader.
        """
        others = sorted((self._voter_ids or self._control_ids) - {self._leader})
        return [self._leader, *others] if self._leader else others

    def _possible_givers(self):
        """Return the control hosts to ask for parts of usage caps, the leader first.

        Then come those of the own data centre, which may have its delegate.
        """
        near_ids = self.transport.near_ids() & self._control_ids
        givers = self._possible_leaders()
        near = sorted(near_ids - {self._leader})
        first = [self._leader, *near] if self._leader else near
        return [*first, *(giver for giver in givers if giver not in first)]

    def _live_control_ids(self, now):
        """Return the control hosts that have sent a message lately."""
        return {
            host_id
            for host_id in self._control_ids
            if now - self._heard_at_by_id.get(host_id, -1e9) < CONTROL_HOST_TIMEOUT_S
        }

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        if self.configuration is None or self.is_stopping or self._callers.is_full:
            return False
        return not self.paths.is_useless(clock.now())


DEFAULT_LIMITS = serviceconfig.Limits()
_HANDLERS = {
    fleetmessages.ConfigurationPush: EntryHost._on_configuration,
    fleetmessages.ServersPush: EntryHost._on_servers,
    fleetmessages.ControlHosts: EntryHost._on_hosts,
    fleetmessages.LoadPush: EntryHost._on_loads,
    fleetmessages.PlacementPush: EntryHost._on_placement,
    fleetmessages.AdapterReady: EntryHost._on_adapter,
}


def _rendezvous_hash(host_id, control_id):
    """Return the rank of a control host for an entry host; the lowest are chosen."""
    return zlib.crc32(f"{host_id} {control_id}".encode())
