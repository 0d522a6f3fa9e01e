"""Control task, which each host runs to own its membership and shared state."""

import time

from kumquatproxy import (
    adminmessages,
    adminviews,
    backendapi,
    clock,
    errors,
    logs,
    records,
    sendpolicy,
    tasks,
    wire,
)
from kumquatproxy.agreement import proposals, raftmessages, replication
from kumquatproxy.configuration import (
    claimmessages,
    claimrecords,
    claims,
    configstate,
    configurationgroup,
    sheet_fit,
    versionmessages,
    versionstore,
)
from kumquatproxy.configuration import sheet as sheets
from kumquatproxy.membership import (
    demandreports,
    membermessages,
    peers,
    reportstore,
    summaries,
)
from kumquatproxy.placement import formation, orderrecords, placementcontrol
from kumquatproxy.requests import dispatch, entry

_HostState = membermessages.HostState

SUBMIT_TIMEOUT_S = 8.0
OWNER_LOST_PROPOSAL_TIMEOUT_S = 30.0  # "owner" is the host that owns claims
GAUGE_INTERVAL_S = 5.0
# Other data centres send a summary every 2 s, and a complete one at least every 10 s;
# the limit is the sum of both.
REPLICA_LEARNING_TIMEOUT_S = 12.0


class Received(records.Record):
    """Carry a message from another host."""

    __slots__ = ("message", "sender")

    def __init__(self, sender, message):
        self.sender: str = sender
        self.message: wire.Message = message


class ProposalFinished(records.Record):
    """Carry the outcome of a command that another host asked this voter to propose."""

    __slots__ = ("answer", "number", "sender")

    def __init__(self, sender, number, answer):
        self.sender: str = sender
        self.number: int = number
        self.answer = answer  # a message or a ProxyError


class StartLeaving(records.Record):
    """Announce that this host accepts no new requests."""

    __slots__ = ()


class Leave(records.Record):
    """Transfer all leaderships and announce that this host has left."""

    __slots__ = ()


class ControlTask(tasks.Task):
    """Own membership, load reports, versions, proposals and placement control."""

    def __init__(self, settings, dependencies, rng, now):
        super().__init__()
        self.settings = settings
        self.host_id: str = settings.host.id
        self.data_centre: str = settings.host.data_centre
        self.dispatcher: dispatch.Dispatcher = dependencies.dispatcher
        self.peers = peers.HostProtocols(
            dependencies.member_settings, rng, now, dependencies.stored_version
        )
        self.membership = self.peers.membership
        self.reports = self.peers.reports
        self.proposals = proposals.ProposalClient(
            settings.groups.configuration_voters, rng
        )
        self.summaries = summaries.Summaries(
            self.host_id,
            self.data_centre,
            settings.host.callers,
            dependencies.member_settings.incarnation,
        )
        self.configuration_replication: replication.Replication | None = (
            dependencies.configuration_replication
        )
        self.placement = placementcontrol.PlacementControl(
            self, settings, dependencies.store_factory, dependencies.identity, rng, now
        )
        self.content: configurationgroup.HostConfiguration | None = None
        self.leaving_ids: set[str] = set()
        self._entry: entry.EntryApplication = dependencies.entry
        self._transport = dependencies.transport
        self._demand_counter: demandreports.DemandCounter = dependencies.demand_counter
        self._metrics = dependencies.metrics
        self._claim_clock: tuple[int, claims.LeaderClock] | None = None
        self._published_revision = 0
        self._next_gauge_at = now
        self._started_at = now
        self._live_ids: set[str] = set()
        self._remote_relay_ids: set[str] = set()
        self._log = logs.Log("control")
        self._member_log = logs.Log("member")
        self._config_log = logs.Log("config")
        self._version_store = versionstore.VersionStore(
            dependencies.save_configuration, self._config_log
        )
        if dependencies.stored_version is not None:
            stored = dependencies.stored_version
            self._adopt(stored.number, stored.content, now)

    # Interface for placement control

    def sheet(self) -> sheets.Sheet | None:
        """Return the sheet in force."""
        return self.content.sheet if self.content else None

    def store_share(self):
        """Return version and size of this data centre's weight store share."""
        if self.content is None:
            return 0, configstate.storeshare.NO_SHARE
        return self.content.share_version, self.content.share_of(self.data_centre)

    def engines(self, now: float) -> list[records.BackendServer]:
        """Return the live engines of this data centre."""
        live = self.membership.backends.live(now)
        return [server for server in live if server.kind == "engine"]

    def server(self, backend_id: str) -> records.BackendServer | None:
        """Return a backend server of this data centre."""
        return self.membership.backends.get(backend_id)

    def reports_by_id(self) -> dict[str, records.LoadReport]:
        """Return the newest load report of each backend server."""
        return self.reports.reports_by_id

    def centres_by_item(self):
        """Return which other data centres have each item loaded."""
        return self.summaries.centres_by_item()

    def observed_memory_mb(self, item: records.Item) -> int:
        """Return the memory in MB that an engine has observed for an item, or 0.

        It is used for items that the sheet does not list.
        """
        group = self.placement.replication
        if group is None:
            return 0
        for observed in group.machine.observed_by_backend.values():
            if item.key() in observed.memory_by_item:
                return observed.memory_by_item[item.key()]
        return 0

    def highest_fence_seen(self) -> int:
        """Return the highest fence in any load report."""
        reports = self.reports.reports_by_id.values()
        return max((report.fence_seen for report in reports), default=0)

    def send_message(self, host_id: str, message: wire.Message) -> None:
        """Send a message to a host; one to this host goes straight to the inbox."""
        if host_id == self.host_id:
            self.tell(Received(host_id, message))
            return
        self._transport.send(host_id, message, sendpolicy.is_droppable(message))

    def propose_configuration(self, command, done=None, timeout_s=5.0) -> None:
        """Propose a command to the configuration group."""
        now = clock.now()
        done = done or (lambda answer: None)
        self._process_outputs(
            self.proposals.propose(command, now + timeout_s, done, now), now
        )

    # Message handling and periodic work

    def handle(self, message, now, reply):
        """Handle one message from another task or host."""
        return _HANDLERS[type(message)](self, message, now, reply)

    def tick(self, now):
        """Do the periodic work that is due at ``now``."""
        self._process_outputs(self.peers.tick(now), now)
        self._process_outputs(self.proposals.tick(now), now)
        self._publish(now)
        self._version_store.tick(now)
        self._tick_summaries(now)
        self._expire_servers(now)
        self._send_demand(now)
        self.placement.tick(now)
        if not self._entry.has_load_reports and self.content is not None:
            self._entry.has_load_reports = self._has_learned_replicas(now)
        if now >= self._next_gauge_at:
            self._next_gauge_at = now + GAUGE_INTERVAL_S
            missing = adminviews.names_without_replica(self, now)
            self._metrics.models_without_replica.set(len(missing))
        logs.flush()

    def _has_learned_replicas(self, now):
        """Return whether a replica of every model is known, or the time limit is over.

        The time limit keeps a model without any replica from blocking readiness.
        """
        if now - self._started_at >= REPLICA_LEARNING_TIMEOUT_S:
            return True
        return not adminviews.names_without_replica(self, now)

    def _process_outputs(self, outputs, now):
        for output in outputs:
            if isinstance(output, wire.Send):
                self.send_message(output.to, output.message)
            elif type(output) in _OUTPUTS:
                _OUTPUTS[type(output)](self, output, now)

    # Configuration

    def _publish(self, now):
        if self.configuration_replication is None:
            return
        state = self.configuration_replication.machine.configuration
        if state.revision > self._published_revision:
            self._published_revision = state.revision
            if state.revision > self.peers.versions.number:
                content = configurationgroup.encode_content(state)
                self._process_outputs(
                    self.peers.publish(state.revision, content, now), now
                )

    def _on_adopted(self, adopted, now):
        self._adopt(adopted.number, adopted.content, now)
        self._version_store.store(adopted.number, adopted.content, now)

    def _adopt(self, revision, data, now):
        self.content = configurationgroup.decode_content(data)
        content = self.content
        if content.sheet is not None:
            self.dispatcher.set_sheet(content.sheet)
            self._entry.view = entry.ConfigurationView(content.version, content.sheet)
            self._metrics.configuration_version.set(content.version)
        self._config_log.write(
            now, f"revision {revision} with sheet version {content.version} is in force"
        )
        self.placement.request_plan(now)
        registered = content.voters_by_data_centre.get(self.data_centre)
        self.placement.register(registered, now)

    def _on_refused(self, refused, now):
        self._config_log.write(now, f"rejected a revision: {refused!r}")

    def _on_propose(self, received, now):
        message = received.message
        group = self.configuration_replication
        if group is None or group.member.leader_state is None:
            leader = group.member.leader_id if group else ""
            host_id = replication.voterset.host_of(leader) if leader else ""
            error = errors.ErrorKind.NOT_LEADER
            self._send_proposal_answer(
                received.sender, message.number, None, error.value, "", host_id
            )
            return
        self._set_claim_time(message.command, group, now)
        request = replication.SubmitCommand(wire.encode(message.command))

        def done(result):
            answer = result.get() if result.successful() else result.exception
            self.tell(ProposalFinished(received.sender, message.number, answer))

        request.reply.rawlink(done)
        group.tell(request)

    def _set_claim_time(self, command, group, now):
        """Set the leader's time in a claim command.

        The time continues from the last one in the log, so it never goes back after an
        election.
        """
        if not configurationgroup.is_claim_command(command):
            return
        term = group.member.term
        if self._claim_clock is None or self._claim_clock[0] != term:
            log_time = group.machine.claims.time
            self._claim_clock = (term, claims.LeaderClock(log_time, now))
        command.at = self._claim_clock[1].stamp(now)

    def _on_proposal_finished(self, finished, now, reply):
        answer = finished.answer
        if isinstance(answer, errors.ProxyError):
            self._send_proposal_answer(
                finished.sender, finished.number, None, answer.kind.value, answer.detail
            )
        else:
            self._send_proposal_answer(
                finished.sender, finished.number, answer, "", "", self.host_id
            )

    def _send_proposal_answer(self, to, number, answer, kind, detail, leader=""):
        message = proposals.ProposeAnswer(
            answer=answer, detail=detail, kind=kind, leader=leader, number=number
        )
        self.send_message(to, message)

    def _on_proposal_answer(self, received, now):
        self._process_outputs(self.proposals.receive(received.message, now), now)

    def _on_submit(self, message, now, reply):
        parsed = sheets.parse(message.text)
        command = configstate.SubmitSheet(
            follows=message.follows,
            limits=configstate.store_limits_of(parsed),
            submitted_at=time.time(),
            submitter=self.host_id,
            text=configstate.compress(message.text),
        )
        misfits = self._misfits(parsed, now)
        if misfits:
            raise errors.ProxyError(errors.ErrorKind.DOES_NOT_FIT, "; ".join(misfits))

        def done(answer):
            if isinstance(answer, configstate.SheetAccepted):
                reply.set({"version": answer.version, "digest": answer.digest})
            else:
                reply.set_exception(_error_of(answer))

        self.propose_configuration(command, done, SUBMIT_TIMEOUT_S)
        return tasks.ANSWER_PENDING

    def _misfits(self, parsed, now):
        """Return a sentence for each model that does not fit in any data centre.

        The result is empty while a configured data centre has no current summary,
        because its memory is then unknown.
        """
        engines_by_centre = self.summaries.engines_by_centre()
        expected = {peer.data_centre for peer in self.settings.peers_by_id.values()}
        if expected - {self.data_centre, *engines_by_centre}:
            return []
        servers = self.engines(now)
        for engines in engines_by_centre.values():
            servers.extend(engines)
        return [
            f"{misfit.item.key()}: {misfit.reason}, {misfit.missing_mb} MB are missing"
            for misfit in sheet_fit.not_fitting(parsed, servers)
        ]

    def _on_check(self, message, now, reply):
        parsed = sheets.parse(message.text)
        return {
            "models": len(parsed.models_by_name),
            "adapters": len(parsed.adapters_by_name),
            "digest": parsed.digest,
            "misfits": self._misfits(parsed, now),
        }

    # Claims, which reserve the idempotency keys of requests

    def _on_claim(self, message, now, reply):
        done = _reply_to(reply)
        self.propose_configuration(message.command, done, message.timeout_s)
        return tasks.ANSWER_PENDING

    # Hosts and backend servers

    def _on_host_changed(self, changed, now):
        self._member_log.write(now, f"host {changed.host_id} is {changed.state.name}")
        if changed.state not in (_HostState.DEAD, _HostState.LEFT):
            self._transport.set_address(changed.host_id, changed.address)
            return
        self._transport.remove_host(changed.host_id)
        is_own = changed.data_centre == self.data_centre
        if is_own and self.host_id == self.membership.relays()[0]:
            self._propose_owner_lost(changed.host_id)

    def _propose_owner_lost(self, host_id):
        lost_host = self.membership.table.entries_by_id[host_id]
        command = claimrecords.OwnerLost(
            at=0.0, host=host_id, incarnation=lost_host.incarnation
        )
        self.propose_configuration(command, timeout_s=OWNER_LOST_PROPOSAL_TIMEOUT_S)

    def _on_announce(self, message, now, reply):
        self._process_outputs(self.membership.announce(message.server, now), now)
        self.membership.backends.record_report(
            message.server.backend_id, message.server.incarnation, now
        )

    def _on_backend_changed(self, changed, now):
        server = changed.server
        state = "leaving" if server.leaving else "present"
        self._member_log.write(now, f"backend server {server.backend_id} is {state}")
        self.placement.request_plan(now)
        self.dispatcher.update_server(server, now)
        self._live_ids.add(server.backend_id)
        # On a host that has just started, a report may precede the announcement.
        report = self.reports.reports_by_id.get(server.backend_id)
        if report is not None:
            self.dispatcher.table.apply_report(report, now)
            self.placement.observe(report)

    def _on_report(self, message, now, reply):
        self._process_outputs(self.peers.report(message.report, now), now)
        self._apply_report(message.report, now)

    def _on_report_seen(self, seen, now):
        report = self.reports.reports_by_id.get(seen.backend_id)
        if report is not None:
            self._apply_report(report, now)

    def _apply_report(self, report, now):
        known = self.membership.backends.get(report.backend_id)
        if known is None or known.incarnation != report.incarnation:
            return
        if report.backend_id not in self._live_ids:
            self._live_ids.add(report.backend_id)
            self.dispatcher.update_server(known, now)
        self.dispatcher.table.apply_report(report, now)
        self.placement.observe(report)

    def _expire_servers(self, now):
        live = {server.backend_id for server in self.membership.backends.live(now)}
        for backend_id in self._live_ids - live:
            self._member_log.write(
                now, f"backend server {backend_id} is no longer live"
            )
            self.dispatcher.remove_server(backend_id)
            self.placement.server_gone(backend_id, now)
        self._live_ids &= live

    def _send_demand(self, now):
        counts = self._demand_counter.tick(now)
        if counts is None:
            return
        for host_id in self.settings.groups.placement_voters:
            self.send_message(host_id, counts)

    # Other data centres

    def _tick_summaries(self, now):
        is_relay = self.host_id in self.membership.relays()
        if is_relay and self.summaries.is_due(now):
            relays = self.membership.remote_relays.relays()
            served = adminviews.items_by_service(self, now)
            engines = [engine for engine in self.engines(now) if not engine.leaving]
            self._process_outputs(
                self.summaries.tick(served, engines, relays, now), now
            )
        for host_id in self.summaries.expire(now):
            self._member_log.write(now, f"summary of relay {host_id} expired")
        relay_ids = {remote.summary.host_id for remote in self.summaries.remotes()}
        for host_id in self._remote_relay_ids - relay_ids:
            self.dispatcher.remove_remote(host_id)
        self._remote_relay_ids = relay_ids

    def _on_summary(self, received, now):
        host_ids = self.membership.report_order()
        summary = received.message
        self._process_outputs(
            self.summaries.receive(received.sender, summary, host_ids, now), now
        )
        for remote in self.summaries.remotes():
            if remote.summary is summary:
                self.dispatcher.update_remote(
                    summary.host_id,
                    summary.data_centre,
                    summary.address,
                    summary.number,
                    remote.items_by_service,
                    now,
                )

    # Administration

    def _on_admin(self, message, now, reply):
        return adminviews.VIEWS[type(message)](self, message, now)

    def _on_drain(self, message, now, reply):
        server = self.membership.backends.get(message.name)
        if server is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND,
                f"{message.name!r} is not a backend server of {self.data_centre!r}; "
                "to drain a host, send SIGTERM to its process",
            )
        if not server.leaving:
            leaving = adminviews.mark_leaving(server)
            self._process_outputs(self.membership.announce(leaving, now), now)
        state = self.dispatcher.table.state(message.name)
        in_flight = len(state.in_flight_by_id) if state else 0
        return {
            "name": message.name,
            "state": f"leaving, {in_flight} requests of this host in flight",
        }

    def _on_start_leaving(self, message, now, reply):
        self._process_outputs(
            self.membership.announce_self(_HostState.LEAVING, now), now
        )

    def _on_leave(self, message, now, reply):
        self.placement.stop(now)
        if self.configuration_replication is not None:
            self.configuration_replication.tell(replication.TransferLeadership())
        self._process_outputs(self.membership.announce_self(_HostState.LEFT, now), now)
        return True

    def _on_received(self, received, now, reply):
        message = received.message
        if isinstance(message, raftmessages.GroupMessage):
            self._route_group_message(received)
            return
        handler = _PEER_HANDLERS.get(type(message))
        if handler is None:
            self._process_outputs(
                self.peers.receive(received.sender, message, now), now
            )
            return
        try:
            handler(self, received, now)
        except peers.MALFORMED_MESSAGE_ERRORS as error:
            raise peers.malformed_message_error(
                received.sender, message, error
            ) from error

    def _route_group_message(self, received):
        group = received.message.group
        for member in (self.configuration_replication, self.placement.replication):
            if member is not None and member.member.settings.group == group:
                member.receive(received.sender, received.message)

    def _on_candidate(self, received, now):
        self.placement.receive_candidate(received.message, now)

    def _on_demand(self, received, now):
        self.placement.count(received.message, now)

    def _on_command_done(self, done, now, reply):
        self.placement.command_done(done, now)

    def _on_order_answer(self, answer, now, reply):
        self._metrics.orders.add(1, {"outcome": answer.stage.value})
        self.placement.answered(answer)


def _reply_to(reply):
    def done(answer):
        if reply is None:
            return
        if isinstance(answer, errors.ProxyError):
            reply.set_exception(answer)
        else:
            reply.set(answer)

    return done


def _error_of(answer) -> errors.ProxyError:
    """Return the error for a rejected submission."""
    if isinstance(answer, errors.ProxyError):
        return answer
    detail = answer.detail
    if answer.digest:
        detail = f"{detail}; the accepted sheet has the digest {answer.digest}"
    return errors.ProxyError(errors.ErrorKind(answer.kind), detail)


_PEER_HANDLERS = {
    proposals.ProposeCommand: ControlTask._on_propose,
    proposals.ProposeAnswer: ControlTask._on_proposal_answer,
    formation.PlacementCandidate: ControlTask._on_candidate,
    demandreports.DemandCounts: ControlTask._on_demand,
    summaries.CentreSummary: ControlTask._on_summary,
}
_OUTPUTS = {
    membermessages.HostChanged: ControlTask._on_host_changed,
    membermessages.BackendChanged: ControlTask._on_backend_changed,
    reportstore.ReportSeen: ControlTask._on_report_seen,
    versionmessages.Adopted: ControlTask._on_adopted,
    versionmessages.Refused: ControlTask._on_refused,
}
_HANDLERS = {
    Received: ControlTask._on_received,
    ProposalFinished: ControlTask._on_proposal_finished,
    claimmessages.ProposeClaim: ControlTask._on_claim,
    StartLeaving: ControlTask._on_start_leaving,
    Leave: ControlTask._on_leave,
    backendapi.Announce: ControlTask._on_announce,
    backendapi.Report: ControlTask._on_report,
    adminmessages.SubmitSheet: ControlTask._on_submit,
    adminmessages.CheckSheet: ControlTask._on_check,
    adminmessages.Drain: ControlTask._on_drain,
    adminmessages.GetStatus: ControlTask._on_admin,
    adminmessages.GetSheet: ControlTask._on_admin,
    adminmessages.GetHistory: ControlTask._on_admin,
    adminmessages.ExplainModel: ControlTask._on_admin,
    placementcontrol.CommandDone: ControlTask._on_command_done,
    orderrecords.OrderAnswer: ControlTask._on_order_answer,
}
