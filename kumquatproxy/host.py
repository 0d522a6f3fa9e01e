"""One host: builds its tasks and servers from settings, starts and stops them."""

import pathlib
import random
import secrets
import signal
import time

import gevent
import gevent.event

from kumquatproxy import (
    admin,
    backendapi,
    clock,
    control,
    errors,
    httpapi,
    logs,
    memorybudget,
    metrics,
    settings,
    startup,
)
from kumquatproxy.agreement import (
    consensus,
    datafolder,
    diskstore,
    groupsettings,
    replication,
    voterset,
)
from kumquatproxy.configuration import (
    claimclient,
    claims,
    configurationgroup,
    dissemination,
)
from kumquatproxy.membership import demandreports, hello, membermessages, transport
from kumquatproxy.requests import dispatch, entry

CONFIGURATION_GROUP = "configuration"
FIRST_DISK_ID = "first"  # disk id of the voters that form a new configuration group
BYTES_PER_MB = 1_000_000
# Request bodies of the largest size for which the memory is enough at the least.
BODIES_IN_MEMORY = 8
DRAIN_POLL_S = 0.05
CLOSE_TIMEOUT_S = 5.0


class ControlDependencies:
    """Hold the dependencies of a control task."""

    __slots__ = (
        "configuration_replication",
        "demand_counter",
        "dispatcher",
        "entry",
        "identity",
        "member_settings",
        "metrics",
        "save_configuration",
        "store_factory",
        "stored_version",
        "transport",
    )

    def __init__(
        self,
        configuration_replication,
        demand_counter,
        dispatcher,
        entry_application,
        identity,
        member_settings,
        instruments,
        folder,
        peer_transport,
    ):
        self.configuration_replication: replication.Replication | None = (
            configuration_replication
        )
        self.demand_counter: demandreports.DemandCounter = demand_counter
        self.dispatcher: dispatch.Dispatcher = dispatcher
        self.entry: entry.EntryApplication = entry_application
        self.identity: str = identity
        self.member_settings: membermessages.Settings = member_settings
        self.metrics: metrics.Metrics = instruments
        self.save_configuration = folder.save_configuration
        self.store_factory = folder.open_store
        self.stored_version: dissemination.Version | None = folder.stored_version()
        self.transport: transport.Transport = peer_transport


def initialise_voter(host_settings) -> None:
    """Format the data folder of a voter of a new deployment.

    A voter whose disk was replaced must not be initialised again, since it may have
    voted. It starts with an empty folder and joins as a learner; the others promote it.
    """
    folder = datafolder.DataFolder(host_settings.host.data_folder)
    voters = host_settings.groups.configuration_voters
    if folder.path is None or host_settings.host.id not in voters:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            f"host {host_settings.host.id!r} must be in "
            "configuration_voters and have a data_folder",
        )
    identities = [voterset.make_identity(name, FIRST_DISK_ID) for name in voters]
    state = groupsettings.bootstrap_state(voterset.VoterSet(identities).encode())
    identity = voterset.make_identity(host_settings.host.id, FIRST_DISK_ID)
    folder.write("configuration-" + datafolder.DISK_ID_FILE, identity.encode())
    diskstore.format_directory(folder.path / CONFIGURATION_GROUP, identity, state)


class Host:
    """Own the tasks and servers of one host."""

    def __init__(self, host_settings, key: bytes, roles_by_token, seed: int = 0):
        now = clock.now()
        self.settings: settings.HostSettings = host_settings
        host = host_settings.host
        self._rng = random.Random(seed or secrets.randbits(64))
        self._folder = datafolder.DataFolder(host.data_folder)
        self._log = logs.Log("host")
        self._is_closed = False
        self.metrics = metrics.Metrics()
        limits = host_settings.limits
        memory_mb = max(limits.memory, BODIES_IN_MEMORY * limits.body)
        budget = memorybudget.MemoryBudget(memory_mb)
        self.dispatcher = dispatch.Dispatcher(
            host.data_centre,
            host_settings.decisions.routing,
            self._rng,
            self.metrics,
            budget,
        )
        counter = demandreports.DemandCounter()
        self.entry = entry.EntryApplication(
            self.dispatcher,
            self.metrics,
            counter,
            max_body_bytes=limits.body * BYTES_PER_MB,
        )
        self.transport = transport.Transport(
            transport.Settings(host.peers, self._identity(key)), self._on_message
        )
        self.configuration_replication = self._create_configuration_replication(now)
        self.control = control.ControlTask(
            host_settings, self._control_dependencies(counter), self._rng, now
        )
        self.entry.claims = claimclient.ClaimClient(
            self.control, host.id, lambda: self.control.membership.own_entry.incarnation
        )
        self._entry_server = httpapi.Server(
            host.callers, self.entry, limits.connections, limits.client_timeout, budget
        )
        self._backend_server = httpapi.Server(
            host.backend_servers,
            backendapi.BackendApplication(self.control),
            budget=budget,
        )
        self._admin_server = httpapi.Server(
            host.administration,
            admin.AdminApplication(self.control, roles_by_token),
            budget=budget,
        )

    def _identity(self, key):
        peers = self.settings.peers_by_id
        data_centres = {peer.data_centre for peer in peers.values()}
        data_centres.add(self.settings.host.data_centre)
        return hello.Identity(
            self.settings.host.id, self.settings.host.data_centre, key, data_centres
        )

    def _control_dependencies(self, counter):
        host = self.settings.host
        incarnation = self._folder.next_incarnation(time.time())
        member_settings = membermessages.Settings(
            host.id, host.data_centre, host.peers, incarnation, self._seeds()
        )
        return ControlDependencies(
            self.configuration_replication,
            counter,
            self.dispatcher,
            self.entry,
            voterset.make_identity(host.id, self._folder.disk_id()),
            member_settings,
            self.metrics,
            self._folder,
            self.transport,
        )

    def _seeds(self):
        return [
            membermessages.Seed(host_id, peer.data_centre, peer.address)
            for host_id, peer in self.settings.peers_by_id.items()
        ]

    def start(self, on_failure=None) -> None:
        """Start all tasks and servers; raise OSError if an address is in use.

        ``on_failure(error)`` is called when a task fails; the host must then end.
        """
        for task in (self.control, self.configuration_replication):
            if task is not None and on_failure is not None:
                task.on_failure = on_failure
        self.transport.start()
        if self.configuration_replication is not None:
            self.configuration_replication.start()
        self.control.start()
        self._backend_server.start()
        self._admin_server.start()
        self._entry_server.start()
        host = self.settings.host
        self._log.write(clock.now(), f"{host.id} serves callers at {host.callers}")

    def _on_message(self, sender, message):
        self.control.tell(control.Received(sender, message))

    def _create_configuration_replication(self, now):
        host_id = self.settings.host.id
        voters = self.settings.groups.configuration_voters
        if host_id not in voters:
            return None
        name = "configuration-" + datafolder.DISK_ID_FILE
        identity = self._folder.read(name).decode()
        if not identity:
            identity = voterset.make_identity(host_id, self._folder.disk_id())
            self._folder.write(name, identity.encode())
        state = groupsettings.bootstrap_state()
        store = self._folder.open_store(CONFIGURATION_GROUP, identity, state)
        group = groupsettings.GroupSettings(CONFIGURATION_GROUP, identity, voters)
        member = consensus.Member(group, store.state, self._rng, now)
        machine = configurationgroup.ConfigurationMachine(self._claim_limits())
        return replication.Replication(member, store, machine, self._send)

    def _claim_limits(self):
        return claims.Limits(
            result_retention_s=self.settings.claims.result_retention,
            fingerprint_retention_s=self.settings.claims.key_retention,
        )

    def _send(self, host_id, message):
        self.control.send_message(host_id, message)

    def stop(self) -> None:
        """Stop gracefully: fail readiness, drain, transfer leaderships, close."""
        host = self.settings.host
        self._log.write(clock.now(), f"{host.id} is stopping")
        self.entry.stopping = True
        self.control.ask(control.StartLeaving(), CLOSE_TIMEOUT_S)
        gevent.sleep(host.settle_time)
        self._entry_server.drain(host.drain_timeout)
        self.control.ask(control.Leave(), CLOSE_TIMEOUT_S)
        gevent.sleep(DRAIN_POLL_S * 4)  # let the last messages be sent
        self.kill()

    def kill(self) -> None:
        """Stop at once: cut off requests in flight, transfer no leaderships."""
        if self._is_closed:
            return
        self._is_closed = True
        self._entry_server.stop(0.1)
        self._backend_server.stop(0.1)
        self._admin_server.stop(0.1)
        self.control.stop()
        if self.configuration_replication is not None:
            self.configuration_replication.stop()
        if self.control.placement.replication is not None:
            self.control.placement.replication.stop()
        self.transport.stop()
        self.dispatcher.close()
        self.metrics.close()
        logs.flush()


def read_settings(path: str) -> settings.HostSettings:
    """Read a settings file; raise ProxyError if invalid, OSError if unreadable."""
    return settings.parse(pathlib.Path(path).read_text(encoding="utf-8"), path)


def serve(path: str) -> int:
    """Run one host until SIGTERM; return the exit code."""
    parsed = read_settings(path)
    stream = open(parsed.log.file, "a", encoding="utf-8") if parsed.log.file else None
    logs.to_stream(stream)
    key = pathlib.Path(parsed.host.key_file).read_bytes().strip()
    tokens = pathlib.Path(parsed.host.token_file).read_text(encoding="utf-8")
    roles_by_token = admin.parse_tokens(tokens)
    host = Host(parsed, key, roles_by_token, parsed.decisions.seed)
    stop_requested = gevent.event.AsyncResult()
    startup.await_addresses(
        [
            parsed.host.callers,
            parsed.host.administration,
            parsed.host.backend_servers,
            parsed.host.peers,
        ],
        logs.write_waiting,
    )
    host.start(on_failure=stop_requested.set)
    startup.resume_collection()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set, None)
    print(f"serving {parsed.host.callers}", flush=True)
    failure = stop_requested.get()
    if failure is not None:
        logs.flush()
        raise failure
    host.stop()
    return 0
