"""Settings of an entry host or a control host of a fleet, read from an INI file."""

from kumquatproxy import memorybudget, options, settings

Option = options.Option

HOST_OPTIONS = [
    Option("id", "text", help="IP address of this host, its name among the others"),
    Option("name", "text", "", help="name of this host in its log lines"),
    Option("data_centre", "text", help="data centre that this host stands in"),
    Option("data_centres", "list", (), help="all data centres"),
    Option("data_folder", "text", "", help="folder for durable state"),
    Option("links", "address", help="IP:port for links between hosts"),
    Option(
        "link_port",
        "int",
        0,
        low=0,
        high=65_535,
        help="port at which all hosts are dialled; 0 for that of `links`",
    ),
    Option(
        "seeds", "list", (), help="IP:port of some control hosts; only the IP is used"
    ),
    Option("key", "text", help="key that all hosts share"),
    Option(
        "forms_group", "bool", False, help="whether the fleet starts for the first time"
    ),
    Option("metrics", "text", "", help="IP:port of the metrics; empty for none"),
    Option(
        "administration",
        "text",
        "",
        help="IP:port of the administration API; empty for none",
    ),
    Option("token_file", "text", "", help="file with the tokens of operators"),
    Option(
        "memory_mb",
        "float",
        memorybudget.DEFAULT_MEMORY_MB,
        low=64.0,
        help="memory that the process may use; messages in transit get a third",
    ),
]
ENTRY_OPTIONS = [
    Option("callers", "text", "", help="IP:port for callers"),
    Option(
        "readiness",
        "text",
        "",
        help="IP:port for readiness checks of the load balancer",
    ),
    Option(
        "peers",
        "text",
        "",
        help="IP:port for calls of entry hosts that reach no server; empty for none",
    ),
]
CONTROL_OPTIONS = [
    Option("api", "text", "", help="IP:port for operators and backend servers"),
    Option(
        "tolerated_hosts",
        "int",
        1,
        low=0,
        high=3,
        help="control hosts that may be lost at once; twice that and one more vote",
    ),
]
DIALECT_OPTIONS = [
    Option("name", "text", help="alias of the wire format"),
    Option("module", "text", help="Python module that registers it"),
]
BOUND_OPTIONS = [
    Option("stop_grace", "duration", 8.0, low=0.5, help="from SIGTERM to the end"),
    Option(
        "drain",
        "duration",
        2.0,
        low=0.1,
        help="time for calls to end at a leaving server",
    ),
    Option(
        "lease",
        "duration",
        3.0,
        low=0.1,
        help="wait after a change of the owner of orders",
    ),
    Option("retry_share", "float", 0.2, low=0.0, high=1.0, help="retries per request"),
    Option("retry_window", "duration", 10.0, low=0.1, help="window of the retries"),
    Option("retry_slack", "float", 50.0, low=0.0, help="retries beyond the share"),
    Option("load_window", "duration", 5.0, low=0.1, help="window of store loads"),
    Option(
        "load_excess",
        "float",
        1.0,
        low=1.0,
        help="factor by which a window may exceed the rate of store loads",
    ),
    Option("cap_window", "duration", 8.0, low=0.1, help="window of the teams' caps"),
    Option(
        "cap_excess", "float", 0.0, low=0.0, help="share by which a cap may be exceeded"
    ),
    Option(
        "cap_slack", "float", 0.0, low=0.0, help="amount by which a cap may be exceeded"
    ),
    Option("checks_fencing", "bool", True, help="whether servers check the fence"),
]
LOAD_OPTIONS = [
    Option(
        "policy",
        "text",
        "auto",
        help="`hard` for hard load, `steady`, or `auto` to follow the next options",
    ),
    Option(
        "local_share",
        "float",
        0.3,
        low=0.0,
        help="share of the latency objective that a call waits for a server in its own "
        "data centre before one in another is used (policy `hard`)",
    ),
    Option("terms", "list", (), help="terms that the deployment has agreed on"),
    Option(
        "link_mbps", "float", 0.0, low=0.0, help="of this host's link, 0 if unknown"
    ),
]
SECTIONS = {
    "host": HOST_OPTIONS,
    "entry": ENTRY_OPTIONS,
    "control": CONTROL_OPTIONS,
    "dialect": DIALECT_OPTIONS,
    "bounds": BOUND_OPTIONS,
    "load": LOAD_OPTIONS,
}
# Policies of the section [load].
STEADY, HARD, AUTO = "steady", "hard", "auto"
# The messages of the fleet, up to 14 KB a second, take more than a fortieth of a link
# that is narrower than this.
NARROW_LINK_MBPS = 4.0


class FleetSettings:
    """Hold the validated settings of one host of a fleet."""

    __slots__ = ("bounds", "control", "dialect", "entry", "host", "link_port", "load")

    def __init__(self, values_by_section):
        self.host = values_by_section["host"]
        self.entry = values_by_section["entry"]
        self.control = values_by_section["control"]
        self.dialect = values_by_section["dialect"]
        self.bounds = values_by_section["bounds"]
        self.load = values_by_section["load"]
        # The port at which all hosts accept links.
        self.link_port: int = self.host.link_port or int(
            self.host.links.rpartition(":")[2]
        )

    def is_hard_load(self, hard_terms: frozenset[str] = frozenset()) -> bool:
        """Return whether the policies for hard load are on.

        ``hard_terms`` are the terms by which a deployment asks for them.
        """
        if self.load.policy != AUTO:
            return self.load.policy == HARD
        is_narrow = 0.0 < self.load.link_mbps < NARROW_LINK_MBPS
        return is_narrow or bool(hard_terms.intersection(self.load.terms))

    def link_address(self, host_id: str) -> str:
        """Return the address at which a host accepts links."""
        return f"{host_id}:{self.link_port}"

    def listen_addresses(self) -> list[str]:
        """Return the addresses at which this host must listen."""
        addresses = [
            self.host.links,
            self.entry.callers,
            self.entry.readiness,
            self.entry.peers,
            self.control.api,
        ]
        return [address for address in addresses if address]

    @property
    def seed_ids(self) -> list[str]:
        """Return the host ids of the seeds."""
        return [address.rpartition(":")[0] for address in self.host.seeds]


def parse(text: str, source_name: str = "settings") -> FleetSettings:
    """Parse settings from an INI text; raise ProxyError that lists all faults."""
    faults: list[options.Fault] = []
    sections = options.read_sections(text, faults)
    sections_by_title = {section.title: section for section in sections}
    values_by_section = {}
    for title, options_table in SECTIONS.items():
        section = sections_by_title.pop(title, options.Section(title, "", 0, {}, {}))
        values_by_section[title] = settings.Values(section.read(options_table, faults))
    for section in sections_by_title.values():
        faults.append(options.Fault(section.line, f"unknown section [{section.title}]"))
    options.raise_faults(faults, source_name)
    return FleetSettings(values_by_section)
