"""The sheet: the declared models, adapters and services, and their settings."""

import fnmatch
import hashlib

from kumquatproxy import errors, options, records
from kumquatproxy.configuration import modelnames

MIN_PRIORITY = 1
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5

Option = options.Option

WEIGHT_STORE_OPTIONS = [
    Option("loads_per_second", "float", 1.0, low=0.01, high=10_000.0),
    Option("concurrent_loads", "int", 6, low=1, high=10_000),
    Option("adapters_in_transit", "int", 48, low=1, high=100_000),
    Option("adapter_seconds", "duration", 0.01, low=0.0, high=3600.0),
    Option("model_seconds", "duration", 1.0, low=0.0, high=3600.0),
]
ORGANISATION_OPTIONS = [
    Option("attainment_weight", "float", 1.0, low=0.0, high=1000.0),
    Option("move_weight", "float", 1.0, low=0.0, high=1000.0),
    Option("share", "float", 1.0, low=0.001, high=1000.0),
]
SERVICE_OPTIONS = [
    Option("organisation", "text"),
    # An engine serves models; a plain service is any other HTTP service.
    Option("kind", "text", "engine", choices=("engine", "plain")),
    Option("driver", "text", ""),
    Option("checks_fencing", "bool", False),
    Option("repeatable", "list", ("GET *", "HEAD *", "OPTIONS *")),
    Option("deadline", "duration", 30.0, low=0.001, high=86_400.0),
    Option("first_token", "duration", 1.5, low=0.001, high=3600.0),
    Option("token_gap", "duration", 0.054, low=0.001, high=60.0),
    Option("share", "float", 1.0, low=0.001, high=1000.0),
    Option("priority", "int", DEFAULT_PRIORITY, low=MIN_PRIORITY, high=MAX_PRIORITY),
]
MODEL_OPTIONS = [
    Option("service", "text"),
    Option("versions", "list"),
    Option("memory", "size", low=1),
    Option("priority", "int", DEFAULT_PRIORITY, low=MIN_PRIORITY, high=MAX_PRIORITY),
    # The minimum number of replicas, over all data centres.
    Option("min_places", "int", 1, low=1, high=1000),
]
ADAPTER_OPTIONS = [
    Option("model", "text"),
    Option("version", "text", "1"),
    Option("memory", "size", low=1),
    Option("priority", "int", DEFAULT_PRIORITY, low=MIN_PRIORITY, high=MAX_PRIORITY),
]


class _SectionRecord(records.Record):
    """One section of the sheet, with an attribute for each of its options."""

    __slots__ = ()

    def __init__(self, name: str, values: dict):
        for field, value in {"name": name, **values}.items():
            setattr(self, field, value)


class WeightStore(_SectionRecord):
    """The weight store: limits for all data centres together, and load times.

    ``adapter_seconds`` and ``model_seconds`` are the times to load one of each.
    """

    __slots__ = ("name", *(option.name for option in WEIGHT_STORE_OPTIONS))
    loads_per_second: float
    concurrent_loads: int
    adapters_in_transit: int
    adapter_seconds: float
    model_seconds: float


class Organisation(_SectionRecord):
    """The settings of one organisation.

    The weights are those of attainment and of moves in the placement plan; ``share``
    is its part when calls of several organisations compete for admission.
    """

    __slots__ = ("name", *(option.name for option in ORGANISATION_OPTIONS))
    name: str
    attainment_weight: float
    move_weight: float
    share: float


class Service(_SectionRecord):
    """The settings of one service; ``share`` is its part within its organisation."""

    __slots__ = ("name", *(option.name for option in SERVICE_OPTIONS))
    name: str
    organisation: str
    kind: str
    driver: str
    checks_fencing: bool
    repeatable: tuple[str, ...]
    deadline: float
    first_token: float
    token_gap: float
    share: float
    priority: int

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be executed more than once."""
        for rule in self.repeatable:
            rule_method, _, pattern = rule.partition(" ")
            if rule_method in ("*", method) and fnmatch.fnmatchcase(
                path, pattern.strip() or "*"
            ):
                return True
        return False


class Model(_SectionRecord):
    """One listed model; each version needs ``memory`` megabytes."""

    __slots__ = ("name", *(option.name for option in MODEL_OPTIONS))
    name: str
    service: str
    versions: tuple[str, ...]
    memory: int
    priority: int
    min_places: int

    def item(self, version: str = "") -> records.Item:
        """Return the item for a version, by default the first one listed."""
        return records.Item("model", self.name, version or self.versions[0])


class Adapter(_SectionRecord):
    """One listed adapter; it needs ``memory`` megabytes."""

    __slots__ = ("name", *(option.name for option in ADAPTER_OPTIONS))
    name: str
    model: str
    version: str
    memory: int
    priority: int

    def item(self) -> records.Item:
        """Return the item for this adapter."""
        return records.Item("adapter", self.name, self.version)


class ResolvedModel(records.Record):
    """The service, model and items that a ``model`` field resolves to.

    An item is a model version or an adapter that a backend server can load. ``item``
    is the model version.
    """

    __slots__ = ("adapter", "item", "model", "service")

    def __init__(self, service, model, item, adapter=None):
        self.service: Service = service
        self.model: Model = model
        self.item: records.Item = item
        self.adapter: Adapter | None = adapter

    def items(self) -> tuple[records.Item, ...]:
        """Return the items that a backend server must have loaded for the call."""
        if self.adapter is None:
            return (self.item,)
        return (self.item, self.adapter.item())


class Sheet:
    """A parsed sheet."""

    __slots__ = (
        "adapters_by_name",
        "digest",
        "models_by_name",
        "organisations_by_name",
        "services_by_name",
        "text",
        "weight_store",
    )

    def __init__(self, text):
        self.text: str = text
        self.digest: str = digest_of(text)
        self.weight_store = WeightStore("", _default_values(WEIGHT_STORE_OPTIONS))
        self.organisations_by_name: dict[str, Organisation] = {}
        self.services_by_name: dict[str, Service] = {}
        self.models_by_name: dict[str, Model] = {}
        self.adapters_by_name: dict[str, Adapter] = {}

    def resolve(self, text: str) -> ResolvedModel:
        """Resolve a ``model`` field; raise ProxyError if it is not listed."""
        name = modelnames.parse(text)
        model = self.models_by_name.get(name.model)
        if model is None:
            hint = options.registry.suggest(name.model, list(self.models_by_name))
            raise _not_found(f"model {name.model!r} is not configured{hint}")
        if name.version and name.version not in model.versions:
            raise _not_found(f"model {name.model!r} has no version {name.version!r}")
        service = self.services_by_name[model.service]
        item = model.item(name.version)
        if not name.adapter:
            return ResolvedModel(service, model, item)
        adapter = self.adapters_by_name.get(name.adapter)
        if adapter is None or adapter.model != model.name:
            raise _not_found(f"model {name.model!r} has no adapter {name.adapter!r}")
        return ResolvedModel(service, model, item, adapter)

    def listed_names(self) -> list[str]:
        """Return the names to list for callers.

        These are each MODEL, MODEL@VERSION and MODEL+ADAPTER. ``resolve`` also accepts
        MODEL@VERSION+ADAPTER.
        """
        names = []
        for model in self.models_by_name.values():
            names.append(model.name)
            names.extend(f"{model.name}@{version}" for version in model.versions)
        for adapter in self.adapters_by_name.values():
            names.append(f"{adapter.model}+{adapter.name}")
        return names

    def memory_by_item(self) -> dict[records.Item, int]:
        """Return the memory in megabytes of every listed item."""
        memory_mb_by_item = {}
        for model in self.models_by_name.values():
            for version in model.versions:
                memory_mb_by_item[model.item(version)] = model.memory
        for adapter in self.adapters_by_name.values():
            memory_mb_by_item[adapter.item()] = adapter.memory
        return memory_mb_by_item


def _not_found(detail):
    return errors.ProxyError(errors.ErrorKind.MODEL_NOT_FOUND, detail)


def _default_values(option_table):
    return {option.name: option.default for option in option_table}


def canonical_text(text: str) -> str:
    """Normalise line endings, trailing whitespace and blank lines at both ends.

    The result has LF line endings and one final newline.
    """
    lines = [line.rstrip() for line in text.splitlines()]
    return "\n".join(lines).strip("\n") + "\n"


def digest_of(text: str) -> str:
    """Return the SHA-256 of the canonical text as a hexadecimal string."""
    return hashlib.sha256(canonical_text(text).encode()).hexdigest()


_SECTION_TYPES = {
    "organisation": (Organisation, ORGANISATION_OPTIONS, "organisations_by_name"),
    "service": (Service, SERVICE_OPTIONS, "services_by_name"),
    "model": (Model, MODEL_OPTIONS, "models_by_name"),
    "adapter": (Adapter, ADAPTER_OPTIONS, "adapters_by_name"),
}


def parse(text: str) -> Sheet:
    """Parse an INI text; raise one ProxyError that lists all faults found.

    References between sections are checked only if the sections have no faults.
    """
    faults: list[options.Fault] = []
    sections = options.read_sections(text, faults)
    parsed = Sheet(canonical_text(text))
    lines_by_entry: dict[tuple[str, str], int] = {}
    for section in sections:
        _read_section(parsed, section, lines_by_entry, faults)
    if not faults:
        _check_entries(parsed, lines_by_entry, faults)
    if not parsed.models_by_name and not faults:
        faults.append(options.Fault(0, "the sheet does not list any model"))
    options.raise_faults(faults, "sheet")
    return parsed


def _read_section(parsed, section, lines_by_entry, faults):
    if section.kind == "weight-store":
        parsed.weight_store = WeightStore(
            "", section.read(WEIGHT_STORE_OPTIONS, faults)
        )
        return
    if section.kind not in _SECTION_TYPES:
        known_kinds = [*_SECTION_TYPES, "weight-store"]
        hint = options.registry.suggest(section.kind, known_kinds)
        faults.append(
            options.Fault(section.line, f"unknown section [{section.title}]{hint}")
        )
        return
    if not section.name:
        faults.append(
            options.Fault(section.line, f"section [{section.kind}] has no name")
        )
        return
    record_class, option_table, attribute = _SECTION_TYPES[section.kind]
    entry = record_class(section.name, section.read(option_table, faults))
    getattr(parsed, attribute)[section.name] = entry
    lines_by_entry[section.kind, section.name] = section.line


def _check_entries(parsed, lines_by_entry, faults):
    references = (
        ("service", "organisation", "organisations_by_name"),
        ("model", "service", "services_by_name"),
        ("adapter", "model", "models_by_name"),
    )
    for kind, field, attribute in references:
        entries = getattr(parsed, _SECTION_TYPES[kind][2])
        known_by_name = getattr(parsed, attribute)
        for entry in entries.values():
            reference = getattr(entry, field)
            if reference not in known_by_name:
                hint = options.registry.suggest(reference, list(known_by_name))
                text = (
                    f"[{kind} {entry.name}] refers to the unknown {field} {reference!r}"
                )
                line = lines_by_entry[kind, entry.name]
                faults.append(options.Fault(line, text + hint))
    for model in parsed.models_by_name.values():
        service = parsed.services_by_name.get(model.service)
        if service is not None and service.kind != "engine":
            line = lines_by_entry["model", model.name]
            text = (
                f"[model {model.name}] needs a service of kind engine; "
                f"{service.name!r} is plain"
            )
            faults.append(options.Fault(line, text))
        if not model.versions:
            line = lines_by_entry["model", model.name]
            faults.append(options.Fault(line, f"[model {model.name}] lists no version"))
