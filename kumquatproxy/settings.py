"""Settings of one host, read from an INI file."""

import ipaddress

from kumquatproxy import options, records

Option = options.Option
MAX_VOTERS = 7

HOST_OPTIONS = [
    Option("id", "text", help="name of this host, unique in the deployment"),
    Option("data_centre", "text", help="data centre of this host"),
    Option("region", "text", "default", help="region of the data centre"),
    Option(
        "data_folder",
        "text",
        "",
        help="folder for durable state; empty on a host without a disk",
    ),
    Option("callers", "address", help="IP:port for callers"),
    Option("administration", "address", help="IP:port of the administration API"),
    Option("backend_servers", "address", help="IP:port for backend servers"),
    Option("peers", "address", help="IP:port for other hosts"),
    Option("key_file", "text", help="file with the key that all hosts share"),
    Option("token_file", "text", help="file with the tokens of operators"),
    Option(
        "settle_time",
        "duration",
        5.0,
        low=0.0,
        high=300.0,
        help="wait on a planned stop between readyz reporting 'not ready' and closing "
        "the port for callers, such as 5s",
    ),
    Option(
        "drain_timeout",
        "duration",
        600.0,
        low=1.0,
        high=86_400.0,
        help="longest wait for requests in flight on a planned stop, such as 10m",
    ),
]
PEER_OPTIONS = [
    Option("address", "address", help="IP:port for other hosts"),
    Option("data_centre", "text", help="data centre of the peer"),
    Option("region", "text", "default", help="region of the data centre"),
]
GROUP_OPTIONS = [
    Option(
        "configuration_voters",
        "list",
        (),
        help="1 to 7 hosts that keep the configuration; usually 3 or 5",
    ),
    Option(
        "placement_voters",
        "list",
        (),
        help="hosts of this data centre that elect its placement owner",
    ),
]
LIMIT_OPTIONS = [
    Option(
        "body",
        "size",
        8,
        low=1,
        high=1024,
        help="largest body of a request, such as 8MB",
    ),
    Option(
        "memory",
        "size",
        1024,
        low=64,
        help="memory that the process may use, such as 1GB, of which messages in "
        "transit get a third; eight times `body` if that is more",
    ),
    Option(
        "connections",
        "int",
        4096,
        low=1,
        high=100_000,
        help="open connections of callers",
    ),
    Option(
        "client_timeout",
        "duration",
        30.0,
        low=0.1,
        high=3600.0,
        help="longest time without progress of a caller's connection, such as 30s",
    ),
]
DECISION_OPTIONS = [
    Option("routing", "text", "estimate", help="routing policy"),
    Option("placement", "text", "balanced", help="placement planner"),
    Option("seed", "int", 0, low=0, help="seed of random choices; 0 draws one"),
]
CLAIM_OPTIONS = [
    Option(
        "result_retention",
        "duration",
        86_400.0,
        low=1.0,
        help="time for which results of keyed requests are kept, such as 1d",
    ),
    Option(
        "key_retention",
        "duration",
        7 * 86_400.0,
        low=1.0,
        help="time for which used keys are refused, such as 7d",
    ),
]
LOG_OPTIONS = [Option("file", "text", "", help="log file; standard error if empty")]


class Values(records.Record):
    """Give access to the values of one section as attributes."""

    __slots__ = ("_by_name",)

    def __init__(self, by_name):
        self._by_name: dict = by_name

    def replace(self, **values_by_name) -> None:
        """Override values that were read from the file."""
        self._by_name.update(values_by_name)

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)
        try:
            return self._by_name[name]
        except KeyError:
            raise AttributeError(name) from None


class HostSettings:
    """Hold the validated settings of one host, by section."""

    __slots__ = (
        "claims",
        "decisions",
        "groups",
        "host",
        "limits",
        "log",
        "peers_by_id",
    )

    def __init__(self, values_by_section, peers_by_id):
        self.host = values_by_section["host"]
        self.groups = values_by_section["groups"]
        self.limits = values_by_section["limits"]
        self.decisions = values_by_section["decisions"]
        self.claims = values_by_section["claims"]
        self.log = values_by_section["log"]
        self.peers_by_id: dict[str, Values] = peers_by_id

    def data_centre_of(self, host_id: str) -> str:
        """Return the data centre of this host or of one of its peers."""
        if host_id == self.host.id:
            return self.host.data_centre
        return self.peers_by_id[host_id].data_centre


SECTIONS = {
    "host": HOST_OPTIONS,
    "groups": GROUP_OPTIONS,
    "limits": LIMIT_OPTIONS,
    "decisions": DECISION_OPTIONS,
    "claims": CLAIM_OPTIONS,
    "log": LOG_OPTIONS,
}


def parse_address(text: str) -> str:
    """Return an address ``IP:port`` unchanged; raise ValueError if malformed."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{text!r} is not of the form IP:PORT") from None
    if not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{text!r} has no port between 0 and 65535")
    return text


options.PARSERS["address"] = parse_address


def parse(text: str, file_name: str = "settings") -> HostSettings:
    """Return the settings of an INI text; raise ProxyError that lists all errors."""
    faults: list[options.Fault] = []
    sections = options.read_sections(text, faults)
    sections_by_title = {section.title: section for section in sections}
    values_by_section = {}
    for title, table in SECTIONS.items():
        section = sections_by_title.pop(title, options.Section(title, "", 0, {}, {}))
        values_by_section[title] = Values(section.read(table, faults))
    peers_by_id = {}
    for section in sections_by_title.values():
        if section.kind != "peer" or not section.name:
            hint = options.registry.suggest(section.title, list(SECTIONS))
            fault = f"unknown section [{section.title}]{hint}"
            faults.append(options.Fault(section.line, fault))
            continue
        peers_by_id[section.name] = Values(section.read(PEER_OPTIONS, faults))
    parsed = HostSettings(values_by_section, peers_by_id)
    if not faults:
        _check_groups(parsed, sections_by_title, faults)
    options.raise_faults(faults, file_name)
    return parsed


def _check_groups(parsed, sections_by_title, faults):
    line = 0
    known = [parsed.host.id, *parsed.peers_by_id]
    if parsed.host.id in parsed.peers_by_id:
        line = sections_by_title[f"peer {parsed.host.id}"].line
        faults.append(
            options.Fault(line, f"[peer {parsed.host.id}] is this host itself")
        )
    for name in ("configuration_voters", "placement_voters"):
        voters = getattr(parsed.groups, name)
        for host_id in voters:
            if host_id not in known:
                hint = options.registry.suggest(host_id, known)
                fault = f"[groups] {name} names the unknown host {host_id!r}{hint}"
                faults.append(options.Fault(line, fault))
        if len(voters) > MAX_VOTERS or len(set(voters)) < len(voters):
            fault = f"[groups] {name} names over {MAX_VOTERS} hosts or a host twice"
            faults.append(options.Fault(line, fault))
    voters = parsed.groups.configuration_voters
    if not voters:
        faults.append(options.Fault(line, "[groups] configuration_voters is empty"))
    if parsed.host.id in voters and not parsed.host.data_folder:
        fault = "a configuration voter needs [host] data_folder"
        faults.append(options.Fault(line, fault))


def describe() -> list[str]:
    """Return one line of documentation per option."""
    lines = []
    for title, table in {**SECTIONS, "peer NAME": PEER_OPTIONS}.items():
        for option in table:
            required = option.default is options.REQUIRED
            default = "required" if required else f"default {option.default!r}"
            lines.append(f"[{title}] {option.name}: {option.help} ({default})")
    return lines
