"""Control host: a member of the control group that publishes the fleet's state."""

import itertools
import secrets
import time
import zlib

import gevent

from kumquatproxy import build, clock, entrychecks, errors, httpapi, logs
from kumquatproxy.agreement import (
    consensus,
    contacts,
    datafolder,
    groupsettings,
    raftmessages,
    replication,
    voterset,
)
from kumquatproxy.fleet import (
    allotments,
    contactstore,
    controlapis,
    delegations,
    factexchange,
    factstore,
    fleethost,
    fleetmessages,
    fleetsettings,
    fleetstate,
    heartbeatages,
    lowversions,
    modelwants,
    orderissuer,
    originexchange,
    originstore,
    proposing,
    publishing,
    regionalpublisher,
    regionmessages,
    servers,
    serviceconfig,
    streamrecords,
    turns,
)
from kumquatproxy.gateway import (
    leavingservers,
    requestedpauses,
    serverlimits,
    streamorigins,
)

GROUP = "control"
# Streams whose origin is kept, 1,800 begun a second for a minute; about 20 MB.
MAX_STREAMS = 108_000
# Origins that are read from the disk in a tick of 50 ms; they take some 10 ms.
RESTORED_PER_TICK = 1000
EXPIRE_INTERVAL_S = 5.0
VERSION_INTERVAL_S = 0.5
# Time since the last message of another control host after which it is out of contact.
# Each one sends a message a second.
CONTACT_TIMEOUT_S = 1.6
# Two hosts often dial each other at the same time; one subscription is for both links.
LINKS_OPEN_S = 0.15
INITIAL_DISK_ID = "first"  # of the voters that form the group
ELECTION_TIMEOUT_S = 0.8
HEARTBEAT_INTERVAL_S = 0.15
LEASE_MARGIN_S = 0.15
COMMIT_TIMEOUT_S = 2.5
PUBLISH_TIMEOUT_S = 1.0
STORAGE_RETRY_S = 0.5
STEP_DOWN_WAIT_S = 0.6


class HeartbeatReceived:
    """Hold a heartbeat that a backend server sent to this host."""

    __slots__ = ("announcement",)

    def __init__(self, announcement):
        self.announcement: servers.Announcement = announcement


def open_store(host_settings, folder):
    """Open the store of this host's group member; raise ProxyError or OSError.

    A seed of a fleet that starts for the first time is an initial voter. Any other host
    joins the group under an identity of its own.
    """
    host_id = host_settings.host.id
    seeds = host_settings.seed_ids
    if host_settings.host.forms_group and host_id in seeds:
        voter_ids = [voterset.make_identity(name, INITIAL_DISK_ID) for name in seeds]
        initial_state = groupsettings.bootstrap_state(
            voterset.VoterSet(voter_ids).encode()
        )
        identity = voterset.make_identity(host_id, INITIAL_DISK_ID)
        return folder.open_store(GROUP, identity, initial_state)
    identity = voterset.make_identity(host_id, folder.disk_id())
    return folder.open_store(GROUP, identity, groupsettings.bootstrap_state())


def open_store_or_rejoin(host_settings, folder, log):
    """Open the store; discard a damaged one, so that the host joins the group again."""
    while True:
        try:
            return _open_store_unless_damaged(host_settings, folder, log)
        except (errors.ProxyError, OSError) as error:
            log.write(
                clock.now(), f"cannot open the store of the group, retrying: {error}"
            )
            gevent.sleep(STORAGE_RETRY_S)


def _open_store_unless_damaged(host_settings, folder, log):
    try:
        return open_store(host_settings, folder)
    except errors.ProxyError as error:
        if error.kind is not errors.ErrorKind.LOG_DAMAGED:
            raise
        log.write(
            clock.now(),
            f"discarding the damaged store and rejoining the group: {error}",
        )
    folder.delete_member_state(GROUP)
    host_settings.host.replace(forms_group=False)
    return open_store(host_settings, folder)


class MarkCommitted:
    """Tell that the group has committed the mark of a server."""

    __slots__ = ("born_ms", "instance_id", "state")

    def __init__(self, instance_id, born_ms, state):
        self.instance_id: str = instance_id
        self.born_ms: int = born_ms
        self.state: servers.ServerState = state


class LinkOpened:
    """Tell that a link to another host has opened."""

    __slots__ = ("host_id",)

    def __init__(self, host_id):
        self.host_id: str = host_id


class ControlHost(fleethost.FleetHost):
    """Run one control host: group member, server table, publisher, owner of orders."""

    foreign_types = (fleethost.ReceivedMessage, HeartbeatReceived)
    role = "control"

    def __init__(self, host_settings: fleetsettings.FleetSettings, seed: int = 0):
        super().__init__(host_settings, seed)
        now = clock.now()
        centres = {host_settings.host.data_centre, *host_settings.host.data_centres}
        self._session = delegations.mark_session(self._session, len(centres))
        self._session = originexchange.mark_session(self._session)
        self._session = lowversions.mark_session(self._session)
        self._session_by_id: dict[str, str] = {}  # of the other control hosts
        self._next_subscribe_at = now
        self._next_expiry_at = now
        self._next_versions_at = now
        self._heard_at_by_id: dict[str, float] = {}  # of the other control hosts
        # Origins of streams that began at entry hosts, which send them again to a host
        # that restarts. Its disk tells those of entry hosts that have ended as well.
        self._streams = streamorigins.OriginTable(MAX_STREAMS)
        self._origin_relay = originexchange.OriginRelay(self._streams)
        self._version_history = streamorigins.VersionHistory()
        self._folder = datafolder.DataFolder(host_settings.host.data_folder)
        self._origin_store = originstore.OriginStore(self._folder, now)
        self._stored_origins = self._origin_store.load(now, time.time())
        self._facts = factexchange.ControlFacts()
        self._contact_store = contactstore.ContactStore(self._folder)
        self._fact_store = factstore.FactStore(self._folder)
        self._fact_store.load(self._facts.table, now, time.time())
        self._turn_giver = turns.TurnGiver(self._facts.table)
        self._allotment_giver = allotments.AllotmentGiver(
            host_settings.bounds, len(centres)
        )
        self._delegate = delegations.DelegateRole(
            host_settings.host.data_centre,
            len(centres),
            host_settings.bounds,
            secrets.randbits(48),
        )
        self._delegate_peers = delegations.DelegatePeers(self.host_id, len(centres))
        self.limits = serverlimits.ServerLimits(self._facts.table, self._facts.publish)
        self.pauses = requestedpauses.RequestedPauses(self._rng)
        self.leaving = leavingservers.LeavingServers(
            self._mark_leaving, self._facts.publish
        )
        self._server_log = logs.Log("member")
        self._link_address_by_id: dict[
            str, str
        ] = {}  # of control hosts; only ids are read
        self.table = servers.ServerTable()
        self.publisher = publishing.Publisher(self.host_id, self.table)
        self.region = regionalpublisher.RegionalPublisher(
            self.host_id,
            host_settings.host.data_centre,
            regionmessages.session_number(self._session),
            self.publisher,
            self._broadcast,
            self._report_region,
        )
        self.replication = self._open_member(now)
        self.proposer = proposing.Proposer(
            self.host_id, self.replication, self.send_message
        )
        self._published_marks: dict[tuple, str] = {}
        self._configuration: serviceconfig.Configuration | None = None
        self.order_issuer = orderissuer.OrderIssuer(self)
        application = controlapis.CONTROL_APIS.get(host_settings.dialect.name)(self)
        self._server = httpapi.Server(
            host_settings.control.api, application, budget=self.memory
        )

    def _open_member(self, now):
        store = open_store_or_rejoin(self.settings, self._folder, self._host_log)
        self._store_opened_s = clock.now() - now
        group = groupsettings.GroupSettings(
            GROUP,
            store.identity,
            join_hosts=self.settings.seed_ids,
            election_timeout_s=ELECTION_TIMEOUT_S,
            heartbeat_s=HEARTBEAT_INTERVAL_S,
            lease_margin_s=LEASE_MARGIN_S,
            voter_target=2 * self.settings.control.tolerated_hosts + 1,
        )
        known_contacts = contacts.Contacts(now, self._contact_store.load(now))
        member = consensus.Member(group, store.state, self._rng, now, known_contacts)
        machine = fleetstate.FleetState()
        return replication.Replication(member, store, machine, self.send_message)

    def start(self) -> None:
        """Start all tasks and servers; raise OSError if an address is taken."""
        super().start()
        self.replication.start()
        self.order_issuer.on_failure = self.on_failure
        self.replication.on_failure = self.on_failure
        self.order_issuer.start()
        self._server.start()
        self._start_operator_servers()
        machine = self.replication.machine
        self._host_log.write(
            clock.now(),
            f"{self.settings.host.name or self.host_id} started",
            build=build.digest(),
            identity=self.replication.member.settings.identity,
            revision=serviceconfig.version_or_none(machine.version),
            last_index=self.replication.member.state.log.last_index,
            voters=list(self.replication.member.voter_set.voters),
            store_opened_ms=round(1000 * self._store_opened_s),
        )

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauges by name."""
        member = self.replication.member
        return {
            **super().gauges(),
            "servers.known": len(self.table.all()),
            **fleethost.version_gauges(
                "configuration.held", self.replication.machine.version
            ),
            "control.term": member.term,
            "control.leads": float(member.leader_state is not None),
            "control.serves": float(member.is_serving(clock.now())),
            "control.hosts.heard": len(self._live_control_ids(clock.now())),
            "control.voters": len(member.voter_set.voters),
            "control.voters.silent": self._silent_voter_count(),
            "orders.fence": self.order_issuer.fence,
            "models.wanted": self.order_issuer.wanted_count(clock.now()),
            "streams.known": len(self._streams),
            "facts.known": len(self._facts.table),
            "servers.limited": serverlimits.limited_count(
                self._facts.table, clock.now()
            ),
            "servers.paused": self.pauses.count(clock.now()),
            "hosts.handed_on": self.region.handing_count(clock.now()),
        }

    def _silent_voter_count(self):
        leader = self.replication.member.leader_state
        return len(leader.silent_voters(clock.now())) if leader is not None else 0

    def team_gauges(self) -> dict[tuple[str, str], float]:
        """Return the values of the gauges by name and team."""
        return {
            **self._allotment_giver.gauges(),
            **self._delegate.gauges(clock.now()),
        }

    def add_seeds(self, host_ids: list[str]) -> None:
        """Add control hosts that are seeds in the settings."""
        for host_id in host_ids:
            self._link_address_by_id[host_id] = self.settings.link_address(host_id)

    def stop_planned(self) -> None:
        """Hand over the leadership, then stop."""
        self._host_log.write(clock.now(), "stopping")
        if self.replication.member.leader_state is not None:
            self.replication.tell(replication.TransferLeadership())
            gevent.sleep(STEP_DOWN_WAIT_S)
        self._server.drain(COMMIT_TIMEOUT_S)
        self._server.stop(0.1)
        self.replication.stop()
        self._stop_links()
        logs.flush()

    def send_to_entries(self, message, now: float) -> None:
        """Send a message to all entry hosts that subscribe to this host."""
        if self.region.push(message, now):
            return
        self._broadcast(self.publisher.entry_ids(now), message)

    def _broadcast(self, host_ids, message):
        """Send a message to several hosts, encoded once."""
        data = self.publisher.encode(message)
        for host_id in host_ids:
            self.transport.set_address(host_id, self.settings.link_address(host_id))
            self.transport.send_encoded(host_id, data)

    def configuration(self) -> serviceconfig.Configuration | None:
        """Return the configuration that this host has applied, or None."""
        return self._configuration

    # Read for operators

    @property
    def leader(self) -> str:
        """Return the control host that leads the control group, as far as known."""
        return self._leader()

    def configuration_in_force(self) -> serviceconfig.Configuration | None:
        """Return the configuration that this host uses, or None."""
        return self._configuration

    def control_host_states(self, now: float) -> dict[str, bool]:
        """Return whether each known control host has sent a message lately."""
        live_ids = self._live_control_ids(now) | {self.host_id}
        host_ids = {*self._other_host_ids(), self.host_id}
        return {host_id: host_id in live_ids for host_id in sorted(host_ids)}

    def team_view(self, team: serviceconfig.Team, now: float) -> dict:
        """Return the book of a team, which is empty if another host gives."""
        return {"book": self._allotment_giver.view(team.name, now)}

    # Messages of other hosts

    def _on_message(self, sender, message):
        if isinstance(message, raftmessages.GroupMessage):
            self.replication.receive(sender, message)
        elif isinstance(message, _OWNER_MESSAGES):
            self.order_issuer.tell(fleethost.ReceivedMessage(sender, message))
        elif isinstance(message, fleetmessages.FleetCommand):
            self.proposer.serve(sender, message)
        elif isinstance(message, fleetmessages.FleetCommandAnswer):
            self.proposer.handle_answer(message)
        else:
            super()._on_message(sender, message)

    def _on_link_opened(self, host_id):
        self.tell(LinkOpened(host_id))

    # API requests, each in the greenlet of its connection

    def put_configuration(self, data: bytes) -> int:
        """Submit a configuration and return the version in force afterwards.

        It takes effect only if its version is above the one in force. One that cannot,
        as this host has applied a higher or the same version, needs no commit: it is
        acknowledged at once, also while this host reaches no majority. Raise ProxyError
        if it is invalid, or not certain to be kept.
        """
        parsed = self.dialect.parse_configuration(data)
        applied = self.replication.machine.version
        if parsed.version <= applied:
            self._acknowledge(parsed.version, applied, is_committed=False)
            return applied
        command = fleetstate.PutConfiguration(
            content=fleetstate.pack(data), version=parsed.version
        )
        answer = self.proposer.commit(command, COMMIT_TIMEOUT_S)
        self._acknowledge(parsed.version, answer.version, is_committed=True)
        return answer.version

    def _acknowledge(self, version, in_force, is_committed):
        """Log an acknowledged version and what came of it.

        ``is_committed`` tells whether it was written to the log of the group, which is
        not needed if it cannot take effect. Raise ProxyError if a member might lose the
        version in force.
        """
        losing_ids = lowversions.losing_ids(
            in_force, self._member_host_ids(), self._session_by_id
        )
        if losing_ids:
            self._config_log.write(
                clock.now(),
                f"version {version} is not acknowledged, as control hosts of earlier "
                f"builds would not keep version {in_force}",
                submitted=version,
                in_force=in_force,
                is_committed=is_committed,
                hosts=losing_ids,
            )
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY,
                "control hosts of earlier builds keep no version of 0 or less: "
                f"{', '.join(losing_ids)}",
            )
        if version == in_force:
            outcome = "it is in force"
        else:
            outcome = f"ignored, as version {in_force} is in force"
        self._config_log.write(
            clock.now(),
            f"version {version} is acknowledged, {outcome}",
            submitted=version,
            in_force=in_force,
            is_committed=is_committed,
        )

    def read_configuration(self) -> bytes:
        """Return the committed configuration; raise ProxyError if it cannot be read."""
        answer = self.proposer.commit(fleetstate.ReadConfiguration(), COMMIT_TIMEOUT_S)
        if not answer.content:
            self._config_log.write_limited(
                clock.now(),
                "read without a version",
                "the log of the group holds no version to read",
                leader=self._leader(),
            )
            raise errors.ProxyError(
                errors.ErrorKind.NOT_READY, "there is no configuration yet"
            )
        return fleetstate.unpack(answer.content)

    def heartbeat(self, announcement: servers.Announcement) -> None:
        """Process a heartbeat, after committing the mark of a leaving server."""
        if announcement.state is not servers.ServerState.READY:
            self.mark(
                announcement.instance_id, announcement.born_ms, announcement.state
            )
        self.tell(HeartbeatReceived(announcement))

    def mark(self, instance_id: str, born_ms: int, state) -> None:
        """Commit that a server is leaving or gone, and publish it.

        A majority of the group knows it afterwards, so other hosts learn of it
        whichever control host becomes unreachable. This host need not have applied the
        commit, and the leader may be slow to publish it, so it is published here before
        it is acknowledged.
        """
        known = self.table.get(instance_id)
        if not born_ms and known is not None:
            born_ms = known.born_ms
        lifetime = (instance_id, born_ms)
        if self._published_marks.get(lifetime) == state.value:
            return
        if self.replication.machine.marks.get(lifetime) != state.value:
            command = fleetstate.MarkServer(
                born_ms=born_ms, instance_id=instance_id, state=state.value
            )
            self.proposer.commit(command, COMMIT_TIMEOUT_S)
            self._server_log.write(
                clock.now(),
                f"server {instance_id} marked {state.value}",
                born_ms=born_ms,
            )
        self.ask(MarkCommitted(instance_id, born_ms, state), PUBLISH_TIMEOUT_S)

    # Messages and ticks

    def handle(self, message, now: float, reply=None):
        """Handle one message."""
        if isinstance(message, LinkOpened):
            self.publisher.renew(message.host_id)
            self.region.forget(message.host_id)
            if message.host_id in self._other_host_ids():
                # It may have restarted, and asks its subscribers what it has forgotten.
                self._next_subscribe_at = min(
                    self._next_subscribe_at, now + LINKS_OPEN_S
                )
            return
        if isinstance(message, HeartbeatReceived):
            self.publisher.record_heartbeat(message.announcement, now)
            return
        if isinstance(message, MarkCommitted):
            self._send_all(
                self.publisher.mark(
                    message.instance_id, message.born_ms, message.state, now
                )
            )
            return
        handler = _HANDLERS.get(type(message.message))
        if handler is not None:
            handler(self, message, now)

    def _on_subscribe(self, received, now):
        is_new = self.publisher.is_new(received.sender, received.message)
        self._send_all(self.publisher.subscribe(received.sender, received.message, now))
        if is_new:
            self.region.greet(received.sender, received.message.session)
        if is_new and self.publisher.subscribers_by_id[received.sender].knows_facts:
            self._send_all(self._facts.greet(received.sender, now))
        if is_new and modelwants.sends_wants(received.message.session):
            self.send_message(received.sender, modelwants.WantsGreeting())
        if is_new and heartbeatages.asks_for_ages(received.message.session):
            greeting = heartbeatages.HeartbeatAges(ages=[], number=0)
            self.send_message(received.sender, greeting)
        if is_new and originexchange.sends_origins(received.message.session):
            wanted = originexchange.OriginsWanted(session=self._session)
            self.send_message(received.sender, wanted)
        if received.message.kind == fleetmessages.CONTROL:
            self.replication.member.contacts.record(received.sender, now)
            self._delegate_peers.record(received.sender, received.message.session)
            self._session_by_id[received.sender] = received.message.session
            self._link_address_by_id[received.sender] = received.message.address
        else:
            self._origin_relay.record_entry(received.sender, received.message.session)

    def _on_renewal(self, received, now):
        sender = received.sender
        subscription = self.region.read_renewal(sender, received.message, now)
        if subscription is not None:
            self._send_all(self.publisher.subscribe(sender, subscription, now))

    def _report_region(self, sender, report):
        self.order_issuer.tell(fleethost.ReceivedMessage(sender, report))

    def _on_hand_on(self, received, now):
        self.region.add_capable(received.sender, received.message)

    def _on_host_report(self, received, now):
        self.region.add_report(received.sender, received.message, now)

    def _on_region_report(self, received, now):
        self.region.receive_report(received.sender, received.message, now)

    def _on_totals(self, received, now):
        leader = self._leader()
        self.region.receive_totals(received.sender, leader, received.message, now)

    def _on_placement(self, received, now):
        self.region.receive_placement(received.sender, received.message, now)

    def _on_placement_wanted(self, received, now):
        self.region.send_placement(received.sender, now)

    def _leader(self):
        leader_id = self.replication.member.leader_id
        return voterset.host_of(leader_id) if leader_id else ""

    def _on_servers(self, received, now):
        live_ids = self._live_control_ids(now)

        def relays(instance_id):
            return self.region.relays(instance_id, received.sender, live_ids)

        self.publisher.merge(received.message, now, relays)

    def _on_facts(self, received, now):
        facts = self._facts.receive(received.message, now)
        self._fact_store.record(self._facts.table, facts)
        self.leaving.handle_facts(facts, now)

    def _mark_leaving(self, instance_id, born_ms, now):
        """Mark a server that has said in an answer that it leaves."""
        sends = self.publisher.mark_leaving(instance_id, born_ms, now)
        self._send_all(sends or [])
        return sends is not None

    def _on_turn_wanted(self, received, now):
        member = self.replication.member
        answer = self._turn_giver.answer(member, received.message, now)
        self.send_message(received.sender, answer)

    def _on_allotment_wanted(self, received, now):
        answer = self._allotment_giver.answer(
            self.replication.member,
            received.sender,
            received.message,
            self._configuration,
            self._leader(),
            now,
        )
        if not answer.is_giver and self._may_delegate():
            calls = self._delegate.decide(received.message.calls, now)
            answer.calls = allotments.to_wire(calls)
        self.send_message(received.sender, answer)

    def _may_delegate(self):
        """Return whether no member is known that might give what delegates hold."""
        return not self._delegate_peers.differing(self._member_host_ids())

    def _on_parts_wanted(self, received, now):
        self.send_message(received.sender, self._answer_parts(received, now))

    def _answer_parts(self, received, now):
        return self._allotment_giver.answer_parts(
            self.replication.member,
            received.sender,
            received.message,
            self._configuration,
            now,
            self._delegate_peers.unconfirmed(self._member_host_ids()),
        )

    def _on_parts_answer(self, received, now):
        self._delegate.receive(received.message, now)

    def _renew_parts(self, leader, now):
        """Ask the giver for the leases of a delegate; this host may be the giver."""
        self._delegate.configure(self._configuration, now)
        if not self._delegate_peers.knows_parts(leader):
            return
        wanted = self._delegate.next_request(now)
        if wanted is None:
            return
        if leader == self.host_id:
            received = fleethost.ReceivedMessage(leader, wanted)
            self._delegate.receive(self._answer_parts(received, now), now)
        else:
            self.send_message(leader, wanted)

    def take_turn(
        self, announcement: servers.Announcement, max_wait_s: float, now: float
    ) -> serverlimits.Turn | None:
        """Give this host a turn at a server, None if it is not certain to lead."""
        key = serverlimits.lifetime_key(announcement)
        member = self.replication.member
        return self._turn_giver.take(member, key, None, max_wait_s, now)

    def _on_hosts(self, received, now):
        self._heard_at_by_id[received.sender] = now
        for host_id, address in received.message.hosts:
            if entrychecks.is_address(address):
                self._link_address_by_id.setdefault(host_id, address)

    def _on_stream_begun(self, received, now):
        message = received.message
        origin = streamorigins.Origin(message.service, message.software_version)
        owner = self._origin_relay.owner(received.sender)
        self._streams.record(message.stream_id, origin, message.kept_s, now, owner)
        self._origin_store.add(message.stream_id, origin, message.kept_s, now)

    def _on_stream_origins(self, received, now):
        owner = self._origin_relay.owner(received.sender)
        for stream_id, origin, left_s in originexchange.from_message(received.message):
            if self._streams.restore(stream_id, origin, left_s, now, owner):
                self._origin_store.add(stream_id, origin, left_s, now)

    def _restore_stored_origins(self, now):
        """Restore a part of the origins on the disk, so that a start is not delayed."""
        part = itertools.islice(self._stored_origins, RESTORED_PER_TICK)
        for stream_id, origin, ends_at in part:
            left_s = ends_at - now
            self._streams.restore(stream_id, origin, left_s, now, originexchange.STORED)

    def _on_origins_wanted(self, received, now):
        self._origin_relay.request(received.sender, received.message.session, now)

    def _on_stream_query(self, received, now):
        query = received.message
        self._record_versions(now)
        origin = self._streams.find(query.stream_id, now)
        report = self._version_history.report(query.services, query.window_s, now)
        answer = fleetmessages.StreamQueryAnswer(
            is_complete=report.is_complete,
            is_known=origin is not None,
            service=origin.service if origin else "",
            services=query.services,
            software_version=origin.software_version if origin else "",
            stream_id=query.stream_id,
            versions=report.versions,
        )
        self.send_message(received.sender, answer)

    def _on_heartbeat_ages_wanted(self, received, now):
        wanted = received.message
        answer = heartbeatages.HeartbeatAges(
            ages=self.publisher.heartbeat_ages(wanted.instance_ids, now),
            number=wanted.number,
        )
        self.send_message(received.sender, answer)

    def _send_all(self, sends):
        """Send messages, each encoded once even if it goes to several hosts."""
        hosts_by_message: dict[int, list[str]] = {}
        for send in sends:
            hosts_by_message.setdefault(id(send.message), []).append(send.to)
        for send in sends:
            host_ids = hosts_by_message.pop(id(send.message), None)
            if host_ids is not None:
                self._broadcast(host_ids, send.message)

    def tick(self, now: float) -> None:
        """Publish changes, and subscribe at the other control hosts."""
        machine = self.replication.machine
        if machine.version > self.publisher.version:
            self._config_log.write(now, f"version {machine.version} is in force")
            self._apply_configuration(machine, now)
            sends = self.publisher.configure(machine.version, machine.content, now)
            self._send_all(self.region.announce(sends, machine.version))
        self._publish_marks(machine, now)
        self._subscribe(now)
        entry_ids = self.publisher.entry_ids_heard(originexchange.SILENCE_S, now)
        self._send_all(self._origin_relay.tick(entry_ids, now))
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRE_INTERVAL_S
            self._streams.expire(now)
            self.pauses.expire(now)
            self._version_history.expire(now)
        if now >= self._next_versions_at:
            self._next_versions_at = now + VERSION_INTERVAL_S
            self._record_versions(now)
        member = self.replication.member
        self._turn_giver.track_term(member, now)
        self._allotment_giver.track(member, self._configuration, now)
        leader = self._leader()
        self._renew_parts(leader, now)
        voters = [voterset.host_of(identity) for identity in member.voter_set.voters]
        hosts = [
            [host_id, self.settings.link_address(host_id)]
            for host_id in self._other_host_ids()
        ]
        hosts.append([self.host_id, self.settings.host.links])
        sends = self.publisher.tick(hosts, voters, leader, now)
        self._send_all(self.region.condense(sends, self._is_current(now), now))
        self.region.tick(leader, now)
        self._send_all(self._facts.tick(self.publisher.fact_subscribers(now), now))
        self._fact_store.tick(self._facts.table, now, time.time())
        self._contact_store.tick(
            member.contacts,
            self._member_host_ids() - {self.host_id},
            member.settings.replace_after_s,
            now,
        )
        self._restore_stored_origins(now)
        self._origin_store.tick(now, time.time())
        logs.flush()

    def _apply_configuration(self, machine, now):
        """Use a committed configuration, which a host of another build may have read.

        One that this build cannot read is passed on, and the earlier one is used.
        """
        try:
            text = fleetstate.unpack(machine.content)
            self._configuration = self.dialect.parse_configuration(text)
            self._configured_at = now
        except (errors.ProxyError, zlib.error) as error:
            self._config_log.write(
                now, f"version {machine.version} cannot be read: {error}"
            )

    def _record_versions(self, now):
        """Record the known software versions, and whether new ones can be missing."""
        streamrecords.record_versions(self._version_history, self.table.all(), now)
        if self._is_current(now):
            self._version_history.record_contact(now)

    def _live_control_ids(self, now):
        """Return the other control hosts that have sent a message lately."""
        return {
            host_id
            for host_id, heard_at in self._heard_at_by_id.items()
            if now - heard_at < CONTACT_TIMEOUT_S
        }

    def _is_current(self, now):
        """Return whether this host is in touch with a majority of the voters."""
        voters = self.replication.member.voter_set.voters
        voter_ids = {voterset.host_of(identity) for identity in voters}
        live_ids = self._live_control_ids(now) | {self.host_id}
        return 2 * len(voter_ids & live_ids) > len(voter_ids)

    def _publish_marks(self, machine, now):
        if machine.marks == self._published_marks:
            return
        for (instance_id, born_ms), state in machine.marks.items():
            if self._published_marks.get((instance_id, born_ms)) != state:
                state = servers.ServerState(state)
                self._send_all(self.publisher.mark(instance_id, born_ms, state, now))
        self._published_marks = dict(machine.marks)

    def _other_host_ids(self):
        """Return the other control hosts: group members, seeds, subscribers."""
        host_ids = self._member_host_ids()
        host_ids.update(self.settings.seed_ids, self._link_address_by_id)
        host_ids.discard(self.host_id)
        return sorted(host_ids)

    def _member_ids(self):
        return self.replication.member.voter_set.members

    def _member_host_ids(self):
        return {voterset.host_of(identity) for identity in self._member_ids()}

    def _subscribe(self, now):
        if now < self._next_subscribe_at:
            return
        self._next_subscribe_at = now + fleethost.SUBSCRIBE_INTERVAL_S
        other_host_ids = self._other_host_ids()
        self.replication.member.settings.join_hosts = tuple(other_host_ids)
        message = fleetmessages.Subscribe(
            address=self.settings.host.links,
            has_details=True,
            kind=fleetmessages.CONTROL,
            session=self._session,
            version=self.publisher.version,
        )
        for host_id in other_host_ids:
            self.send_message(host_id, message)


_OWNER_MESSAGES = (
    fleetmessages.EntryReport,
    fleetmessages.AdapterWanted,
    modelwants.ModelWanted,
)
_HANDLERS = {
    fleetmessages.Subscribe: ControlHost._on_subscribe,
    fleetmessages.ServersPush: ControlHost._on_servers,
    fleetmessages.ControlHosts: ControlHost._on_hosts,
    fleetmessages.SharedFacts: ControlHost._on_facts,
    fleetmessages.TurnWanted: ControlHost._on_turn_wanted,
    fleetmessages.AllotmentWanted: ControlHost._on_allotment_wanted,
    fleetmessages.PartsWanted: ControlHost._on_parts_wanted,
    fleetmessages.PartsAnswer: ControlHost._on_parts_answer,
    fleetmessages.StreamBegun: ControlHost._on_stream_begun,
    originexchange.OriginsWanted: ControlHost._on_origins_wanted,
    originexchange.StreamOrigins: ControlHost._on_stream_origins,
    fleetmessages.StreamQuery: ControlHost._on_stream_query,
    heartbeatages.HeartbeatAgesWanted: ControlHost._on_heartbeat_ages_wanted,
    regionmessages.Renewal: ControlHost._on_renewal,
    regionmessages.HandOn: ControlHost._on_hand_on,
    regionmessages.HostReport: ControlHost._on_host_report,
    regionmessages.RegionReport: ControlHost._on_region_report,
    regionmessages.TotalLoads: ControlHost._on_totals,
    regionmessages.PlacementChange: ControlHost._on_placement,
    regionmessages.PlacementWanted: ControlHost._on_placement_wanted,
}
