"""Placement control of a host: group membership, ownership, plans and orders."""

import collections

import gevent

from kumquatproxy import clock, errors, logs, records, wire
from kumquatproxy.agreement import consensus, groupsettings, replication, voterset
from kumquatproxy.configuration import configstate
from kumquatproxy.membership import demandreports
from kumquatproxy.placement import (
    demand,
    formation,
    orderrecords,
    orderrules,
    orders,
    placementplan,
    placementstate,
    planners,
)
from kumquatproxy.requests import drivers, exchanges

PLAN_INTERVAL_S = 1.0  # while a plan has actions
IDLE_PLAN_INTERVAL_S = 4.0  # changes of servers or sheet trigger a plan immediately
GROUP_TICK_INTERVAL_S = 0.1
ORDER_TIMEOUT_S = 5.0
JOIN_RETRY_S = 1.0  # after the disk has failed
STORAGE_ERRORS = (errors.ErrorKind.DISK_FULL, errors.ErrorKind.INTERNAL)
DEMAND_LOAD_LIMIT = 20  # loads that only serve demand, in one plan
DEMAND_LOAD_INTERVAL_S = 600.0  # no effect: no load is subtracted
MAX_DECISIONS = 500
GROUP_PREFIX = "placement:"


class CommandDone(records.Record):
    """Notification of the control task that a placement command has an outcome."""

    __slots__ = ("answer", "command")

    def __init__(self, command, answer):
        self.command = command
        self.answer = answer  # a PlacementAnswer or a ProxyError


class PlacementControl:
    """Member of the data centre's placement group, and its owner while leading it.

    ``context`` is the control task. It provides the sheet, the backend servers and
    the reports, sends messages, and receives ``CommandDone`` and ``OrderAnswer``.
    """

    def __init__(self, context, settings, store_factory, identity, rng, now):
        self._context = context
        self._host_id: str = settings.host.id
        self._data_centre: str = settings.host.data_centre
        peers = settings.peers_by_id.values()
        self._data_centres = sorted(
            {self._data_centre, *(peer.data_centre for peer in peers)}
        )
        self._store_factory = store_factory
        self._identity: str = identity
        self._rng = rng
        self._voters: tuple[str, ...] = tuple(settings.groups.placement_voters)
        self._planner = planners.PLANNERS.get(settings.decisions.placement)()
        self._formation = formation.Formation(
            self._host_id, self._data_centre, identity, self._voters, now
        )
        self._registered_voters: configstate.Voters | None = None
        self._join_at = now
        self._log_was_lost = False  # of the group before the registered one
        self._plan_at = now
        self._submitted_term = 0
        self._driver = drivers.OpenAIDriver(
            exchanges.ConnectionPool(context.dispatcher.pauses)
        )
        self._demand_load_budget = placementplan.DemandLoadBudget(
            DEMAND_LOAD_LIMIT, DEMAND_LOAD_INTERVAL_S, now
        )
        self._log = logs.Log("place")
        self._order_log = logs.Log("order")
        self.replication: replication.Replication | None = None
        self.order_engine: orders.OrderEngine | None = None
        self.predictor = demand.Predictor()
        self.plan: placementplan.Plan | None = None
        self.decisions: collections.deque = collections.deque(maxlen=MAX_DECISIONS)

    @property
    def is_voter(self) -> bool:
        """Return whether the settings name this host as a placement voter."""
        return self._host_id in self._voters

    @property
    def owner(self) -> str:
        """Return the host id of the owner as far as this voter knows."""
        return self.replication.machine.owner if self.replication else ""

    @property
    def fence(self) -> int:
        """Return the highest fence as far as this voter knows."""
        return self.replication.machine.fence if self.replication else 0

    def register(self, voters: configstate.Voters | None, now: float) -> None:
        """Join the group of the voter set that a new configuration registers."""
        if not self.is_voter or voters is None:
            return
        registered_voters = self._registered_voters
        if (
            registered_voters is not None
            and voters.base_fence <= registered_voters.base_fence
        ):
            return
        self._registered_voters = voters
        self._leave_group(now)
        self._log_was_lost = registered_voters is not None
        self._join_group(voters, now)

    def _leave_group(self, now):
        self._end_ownership(now, "a new voter set is registered")
        if self.replication is not None:
            self.replication.stop()
            self.replication = None

    def _join_group(self, voters, now):
        """Join the group of a voter set; the next attempt is due if that fails."""
        group = f"{GROUP_PREFIX}{self._data_centre}:{voters.base_fence}"
        # Any other identity starts without a voter set and waits to be admitted.
        is_registered_voter = self._identity in voters.voters
        voter_set = (
            voterset.VoterSet(voters.voters).encode() if is_registered_voter else b""
        )
        state = groupsettings.bootstrap_state(voter_set, voters.base_fence)
        hosts = [voterset.host_of(identity) for identity in voters.voters]
        settings = groupsettings.GroupSettings(
            group, self._identity, hosts, admitted_hosts=self._voters
        )
        try:
            store = self._store_factory(group, self._identity, state)
        except OSError as error:
            self._postpone_joining(group, error, now)
            return
        except errors.ProxyError as error:
            if error.kind not in STORAGE_ERRORS:
                raise
            self._postpone_joining(group, error, now)
            return
        member = consensus.Member(settings, store.state, self._rng, now)
        machine = placementstate.PlacementState(voters.base_fence)
        self.replication = replication.Replication(
            member,
            store,
            machine,
            self._context.send_message,
            tick_interval_s=GROUP_TICK_INTERVAL_S,
        )
        self.replication.start()
        self._log.write(now, f"joined {group} as {self._identity}")

    def _postpone_joining(self, group, error, now):
        self._join_at = now + JOIN_RETRY_S
        self._log.write(now, f"cannot join {group}, retrying: {error}")

    def request_plan(self, now: float) -> None:
        """Request a plan at the next tick, because its inputs have changed."""
        self._plan_at = now

    def receive_candidate(self, message, now: float) -> None:
        """Record the announcement of a host that is in no placement group."""
        self._formation.receive(message, now)

    def count(self, message: demandreports.DemandCounts, now: float) -> None:
        """Add the demand that an entry host has counted."""
        demandreports.apply_counts(message, self.predictor, now)

    def tick(self, now: float) -> None:
        """Form the group, take ownership, plan and issue orders, as each is due."""
        if not self.is_voter:
            return
        if (
            self.replication is None
            and self._registered_voters is not None
            and now >= self._join_at
        ):
            self._join_group(self._registered_voters, now)
        self._tick_formation(now)
        if self.replication is None:
            return
        member = self.replication.member
        if self.order_engine is not None and not _still_owns(self.order_engine, member):
            self._end_ownership(now, "this host no longer leads the group")
        if self.order_engine is None:
            self._take_ownership(member, now)
        if self.order_engine is not None:
            self._tick_owner(self.order_engine, member, now)

    def _tick_formation(self, now):
        if self._is_admitted():
            self._formation.restart_waiting(now)
            return
        for send in self._formation.tick(now):
            self._context.send_message(send.to, send.message)
        command = self._formation.proposal(
            self._registered_voters, self._context.highest_fence_seen(), now
        )
        if command is not None:
            self._context.propose_configuration(command)

    def _is_admitted(self):
        if self.replication is None:
            return False
        return self._identity in self.replication.member.voter_set.voters

    def _take_ownership(self, member, now):
        if not member.is_serving(now) or self._submitted_term == member.term:
            return
        self._submitted_term = member.term
        self._submit(placementstate.TakeOwnership(member.term, self._host_id))

    def _begin_ownership(self, machine, now):
        self.order_engine = orders.OrderEngine(
            self._data_centre,
            machine,
            self._rng,
            now,
            log_was_lost=self._log_was_lost,
        )
        for server in self._context.engines(now):
            self.order_engine.set_server(server)
        for report in self._context.reports_by_id().values():
            self.order_engine.observe(report)
        self._plan_at = now
        self._log.write(
            now, f"{self._host_id} became placement owner with fence {self.fence}"
        )

    def _end_ownership(self, now, reason):
        if self.order_engine is None:
            return
        self.order_engine.stop()
        self.order_engine = None
        self._log.write(now, f"{self._host_id} is no longer placement owner: {reason}")

    def _tick_owner(self, order_engine, member, now):
        if now >= self._plan_at:
            self._make_plan(order_engine, now)
            is_idle = self.plan is not None and not self.plan.actions
            wait_s = IDLE_PLAN_INTERVAL_S if is_idle else PLAN_INTERVAL_S
            self._plan_at = now + wait_s
        version, share = self._context.store_share()
        order_engine.offer_share(version, share)
        for output in order_engine.tick(now, member.lease_until):
            if isinstance(output, orderrecords.SendOrder):
                gevent.spawn(self._deliver, order_engine, output)
            elif isinstance(output, orderrecords.Acknowledge):
                self._acknowledge(order_engine, output.command)
            else:
                self._submit(output.command)

    def _make_plan(self, order_engine, now):
        sheet = self._context.sheet()
        if sheet is None:
            return
        servers = self._context.engines(now)
        for server in servers:
            order_engine.set_server(server)
        current = placementplan.CurrentPlacement(
            self._loaded(sheet),
            self._open_intents(order_engine),
            self._context.centres_by_item(),
            self._demand_load_budget.available(now),
            self._data_centres,
        )
        rates = {self._data_centre: self.predictor.rates(now)}
        weights = placementplan.weights_of(sheet)
        self.plan = self._planner.plan(sheet, servers, rates, current, weights)
        order_engine.record_sizes(sheet.memory_by_item())
        # The planner treats open intents as done and plans no action for them.
        order_engine.set_desired(
            self._actions_to_order(self.plan, sheet), resends_unlisted=True
        )

    def _loaded(self, sheet):
        memory_by_item = sheet.memory_by_item()
        return {
            backend_id: {
                item: memory_by_item.get(item, self._context.observed_memory_mb(item))
                for item in report.loaded
            }
            for backend_id, report in self._context.reports_by_id().items()
        }

    def _open_intents(self, order_engine):
        return [
            placementplan.Intent(
                tracked.intent.action,
                tracked.intent.backend_id,
                tracked.item,
                tracked.intent.memory_mb,
            )
            for tracked, _ in order_engine.tracker.open_orders()
            if not (tracked.is_barrier or tracked.is_reopened)
        ]

    def _actions_to_order(self, plan, sheet):
        """Return the actions to order, without unloads of items that the plan loads.

        Such an unload waits until a plan has no load of its item, because a report must
        show the new replica before the old one is unloaded. Loads that wait for memory
        or a base model are included.
        """
        loads = {
            load.item for load in plan.actions if load.action == placementplan.LOAD
        }
        actions = []
        for action in plan.actions:
            if action.action == placementplan.UNLOAD and action.item in loads:
                continue
            needs = _base_model(sheet, action)
            actions.append(
                orderrecords.Action(
                    action.action,
                    action.backend_id,
                    action.item,
                    action.memory_mb,
                    needs,
                )
            )
        return actions

    def _submit(self, command):
        if self.replication is None:
            return
        request = replication.SubmitCommand(wire.encode(command))

        def done(result):
            answer = result.get() if result.successful() else result.exception
            self._context.tell(CommandDone(command, answer))

        request.reply.rawlink(done)
        self.replication.tell(request)

    def command_done(self, done: CommandDone, now: float) -> None:
        """Apply the answer to a placement command; its outcome may be unknown."""
        has_failed = isinstance(done.answer, errors.ProxyError) or done.answer.kind
        if isinstance(done.command, placementstate.TakeOwnership):
            if not has_failed and self.replication is not None:
                if self.replication.machine.fence == done.command.fence:
                    self._begin_ownership(self.replication.machine, now)
            return
        if self.order_engine is None or done.command.fence != self.order_engine.fence:
            return
        if not has_failed:
            self._log_decisions(done.command, now)
            self.order_engine.committed(done.command, now)
        elif _is_definitive(done.answer):
            self.order_engine.rejected(done.command)
        else:
            # The command may still be committed. This host gives up the ownership, and
            # the next owner reads the outcome from the log.
            self._end_ownership(now, "the outcome of a command is unknown")
            if self.replication is not None:
                self.replication.tell(replication.TransferLeadership())

    def _log_decisions(self, command, now):
        if not isinstance(command, placementstate.IntendOrders):
            return
        reasons = {}
        if self.plan is not None:
            for action in self.plan.actions:
                reasons[action.action, action.backend_id, action.item.key()] = (
                    action.reason
                )
        for intent in command.intents:
            key = (intent.action, intent.backend_id, intent.item)
            reason = reasons.get(
                key, "resolves an order of unknown outcome, or was in an earlier plan"
            )
            text = f"{intent.action} {intent.item} on {intent.backend_id}: {reason}"
            self._log.write(now, text, order_id=intent.order_id)
            self.decisions.append((intent.item, text))

    def _acknowledge(self, order_engine, command):
        def done(answer):
            if isinstance(answer, configstate.ConfigDone):
                order_engine.share_acknowledged(command.share_version)

        self._context.propose_configuration(command, done)

    def _deliver(self, order_engine, output):
        order = output.order
        server = self._context.server(order.backend_id)
        if server is None or self.replication is None:
            return
        now = clock.now()
        member = self.replication.member

        def may_send(now):
            return order_engine.may_send(output, now, member.lease_until)

        if not may_send(now):
            self._order_log.write(
                now, f"{order.order_id} not sent: outside the lease or expired"
            )
            return
        stage = orderrules.Stage.UNKNOWN
        detail = "no answer"
        try:
            answer = self._driver.send_order(
                server.address, order, ORDER_TIMEOUT_S, may_send
            )
            stage, detail = _STAGES_BY_ANSWER[answer], answer
        except exchanges.CallFailedError as failure:
            detail = failure.detail
        self._order_log.write(
            clock.now(),
            f"{order.order_id} {order.action} {order.item.key()} at "
            f"{order.backend_id}: {detail}",
        )
        self._context.tell(
            orderrecords.OrderAnswer(order.order_id, output.incarnation, stage)
        )

    def answered(self, answer: orderrecords.OrderAnswer) -> None:
        """Pass a model engine's answer to an order to the order engine."""
        if self.order_engine is not None:
            self.order_engine.answered(answer)

    def observe(self, report: records.LoadReport) -> None:
        """Pass a load report to the order engine."""
        if self.order_engine is not None:
            self.order_engine.observe(report)

    def server_gone(self, backend_id: str, now: float) -> None:
        """Mark a backend server as gone after membership has lost it."""
        self.request_plan(now)
        if self.order_engine is not None:
            self.order_engine.mark_server_gone(backend_id, now)

    def stop(self, now: float) -> None:
        """Transfer the ownership and leave the group."""
        if self.replication is None:
            return
        self._end_ownership(now, "the host stops")
        self.replication.tell(replication.TransferLeadership())
        gevent.sleep(0.2)  # the leadership transfer takes a round trip
        self.replication.stop()


_STAGES_BY_ANSWER = {
    "accepted": orderrules.Stage.ACCEPTED,
    "refused": orderrules.Stage.REFUSED,
    "unknown": orderrules.Stage.UNKNOWN,
}


def _still_owns(order_engine, member) -> bool:
    return member.leader_state is not None and member.term == order_engine.fence


def _is_definitive(answer) -> bool:
    """Return whether a failed command has definitely not been applied."""
    if isinstance(answer, errors.ProxyError):
        return answer.executed == "no"
    return True


def _base_model(sheet, action):
    if action.action != placementplan.LOAD or action.item.kind != "adapter":
        return None
    adapter = sheet.adapters_by_name.get(action.item.name)
    if adapter is None:
        return None
    return sheet.models_by_name[adapter.model].item()
