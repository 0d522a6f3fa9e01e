"""Base class of entry hosts and control hosts: identity, links, settings, metrics."""

import importlib
import random
import secrets
import typing

from kumquatproxy import clock, httpapi, logs, memorybudget, tasks
from kumquatproxy.fleet import (
    deferredmeter,
    fleetmessages,
    fleetsettings,
    serviceconfig,
)
from kumquatproxy.gateway import dialects, teamrecords
from kumquatproxy.membership import hello, link, transport

SUBSCRIBE_INTERVAL_S = 1.0
# A connection may stop carrying data without being closed. Silent links are replaced
# after 1.5 s, as hosts are expected to be connected again within 3 s of a fault.
LINK_TIMING = link.LinkTiming(
    ping_interval_s=0.5,
    silence_timeout_s=1.5,
    dial_timeout_s=1.0,
    handshake_timeout_s=1.5,
)


class ReceivedMessage:
    """Hold a message received from another host."""

    __slots__ = ("message", "sender")

    def __init__(self, sender, message):
        self.sender: str = sender
        self.message = message


class NullMeter:
    """Discard all counts, for settings without an address for metrics."""

    def call(self, route: str, mode: str, outcome: str, duration_s, waited_s) -> None:
        """Count a completed call."""

    def attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a backend server."""

    def order(self, action: str, outcome: str) -> None:
        """Count an order to an engine."""

    def load_decision(self, action: str, reason: str, rank: int) -> None:
        """Count a call that is held, released or rejected because of load."""


def version_gauges(name: str, version: int) -> dict[str, float]:
    """Return the gauge of a version, and whether there is one."""
    number = serviceconfig.version_or_none(version)
    return {name: number or 0, "configuration.known": float(number is not None)}


class FleetHost(tasks.Task):
    """Run the links and the metrics endpoint of one host of a fleet."""

    foreign_types: tuple[type, ...] = (ReceivedMessage,)
    role = ""  # "entry" or "control"

    def __init__(self, host_settings: fleetsettings.FleetSettings, seed: int = 0):
        super().__init__()
        host = host_settings.host
        self.settings = host_settings
        self.host_id: str = host.id
        self.memory = memorybudget.MemoryBudget(host.memory_mb)
        self.dialect = dialects.load(
            host_settings.dialect.name, host_settings.dialect.module
        )
        self._configured_at: float = clock.now()
        self.is_hard_load: bool = host_settings.is_hard_load(
            self.dialect.hard_load_terms
        )
        self._rng = random.Random(seed or secrets.randbits(64))
        # Changes at each start of the host.
        self._session = secrets.token_hex(8) + fleetmessages.FACTS_SUFFIX
        self._host_log = logs.Log("host")
        self._config_log = logs.Log("config")
        centres = set(host.data_centres) | {host.data_centre}
        identity = hello.Identity(host.id, host.data_centre, host.key.encode(), centres)
        links = transport.Settings(host.links, identity, LINK_TIMING)
        self.transport = transport.Transport(
            links, self._on_message, on_opened=self._on_link_opened
        )
        self.meter: typing.Any = NullMeter()
        self.meter_server: httpapi.Server | None = None
        if host.metrics:
            self._open_meter(host.metrics)
        self.admin_server: httpapi.Server | None = None
        if host.administration:
            self._open_administration(host)

    def _open_meter(self, address):
        self.meter = deferredmeter.DeferredMeter(
            self.gauges, self.team_gauges, self.transport.traffic
        )
        application = deferredmeter.MeterApplication(self.meter)
        self.meter_server = httpapi.Server(address, application, budget=self.memory)

    def _open_administration(self, host):
        # Imported on demand, as few deployments have this address.
        operatorviews = importlib.import_module("kumquatproxy.fleet.operatorviews")
        application = operatorviews.application(self, host.token_file)
        self.admin_server = httpapi.Server(
            host.administration, application, budget=self.memory
        )

    def start(self) -> None:
        """Start the links and this task; raise OSError if the address is taken."""
        self.transport.start()
        super().start()

    def _start_operator_servers(self):
        """Serve metrics and administration, after all other addresses are bound."""
        for name, server in (
            ("metrics", self.meter_server),
            ("the administration API", self.admin_server),
        ):
            if server is None:
                continue
            try:
                server.start()
            except OSError as error:
                # Serving callers has priority over serving operators.
                self._host_log.write(clock.now(), f"cannot serve {name}: {error}")

    def _stop_links(self):
        self.transport.stop()
        if self.admin_server is not None:
            self.admin_server.stop(0.1)
        if self.meter_server is not None:
            self.meter_server.stop(0.1)
            self.meter.close()

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauges by name."""
        return {
            "log.dropped": logs.dropped_lines(),
            "memory.held": self.memory.held_bytes,
            "memory.rejections": self.memory.rejections,
        }

    def team_gauges(self) -> dict[tuple[str, str], float]:
        """Return the values of the gauges by name and team."""
        return {}

    # Read for operators

    @property
    def leader(self) -> str:
        """Return the control host that leads the control group, as far as known."""
        raise NotImplementedError

    def configuration_in_force(self) -> serviceconfig.Configuration | None:
        """Return the configuration that this host uses, or None."""
        raise NotImplementedError

    def configuration_age_s(self, now: float) -> float:
        """Return how long the configuration has been in force at this host."""
        return now - self._configured_at

    def control_host_states(self, now: float) -> dict[str, bool]:
        """Return whether each known control host has sent a message lately."""
        raise NotImplementedError

    def team_view(self, team: serviceconfig.Team, now: float) -> dict:
        """Return what this host knows of a team beside its configuration."""
        raise NotImplementedError

    def key_refusals(self, now: float) -> dict[str, dict]:
        """Return the calls without a team that this host has refused, by reason."""
        return {}

    def find_refusal(self, request_id: str) -> teamrecords.Refusal | None:
        """Return the newest refusal of a request, None if it is not kept."""
        return None

    def _on_message(self, sender, message):
        self.tell(ReceivedMessage(sender, message))

    def _on_link_opened(self, host_id):
        """Do nothing; control hosts override this."""

    def send_message(self, host_id: str, message) -> None:
        """Send a message over the link to a host."""
        self.transport.set_address(host_id, self.settings.link_address(host_id))
        self.transport.send(host_id, message)

    def add_seeds_of(self, host_settings: fleetsettings.FleetSettings) -> None:
        """Add the seeds of changed settings; all other changes need a restart."""
        self.add_seeds(host_settings.seed_ids)
        self._host_log.write(
            clock.now(), "added seeds from the settings; other changes need a restart"
        )

    def add_seeds(self, host_ids: list[str]) -> None:
        """Add control hosts that are seeds in the settings."""
        raise NotImplementedError
