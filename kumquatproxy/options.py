"""Typed options of INI files, with all errors of a file collected in one report."""

import configparser
import re

from kumquatproxy import errors, registry

REQUIRED = object()
MAX_TEXT_CHARACTERS = 16 * 1024 * 1024

_SECTION = re.compile(r"\[(?P<name>[^\]]+)\]")
_KEY = re.compile(r"(?P<name>[^=:\s#;][^=:]*?)\s*[=:]")
_DURATION = re.compile(r"(?P<number>[0-9.]+)\s*(?P<unit>ms|s|m|h|d)")
_SIZE = re.compile(r"(?P<number>[0-9.]+)\s*(?P<unit>KB|MB|GB|KiB|MiB|GiB)")
_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_MEGABYTES = {
    "KB": 0.001,
    "MB": 1.0,
    "GB": 1000.0,
    "KiB": 1024 / 1e6,
    "MiB": 1024**2 / 1e6,
    "GiB": 1024**3 / 1e6,
}
_BOOLEANS = {"yes": True, "true": True, "on": True, "1": True}
_BOOLEANS |= {"no": False, "false": False, "off": False, "0": False}


class Fault:
    """Describe one error in a file and its line, which is 0 if it is not known."""

    __slots__ = ("line", "text")

    def __init__(self, line, text):
        self.line: int = line
        self.text: str = text

    def __str__(self):
        return f"line {self.line}: {self.text}"


class Option:
    """Define the type, default, range and help text of one option."""

    __slots__ = ("choices", "default", "help", "high", "kind", "low", "name")

    def __init__(
        self, name, kind, default=REQUIRED, low=None, high=None, choices=(), help=""
    ):
        self.name: str = name
        self.kind: str = kind
        self.default = default
        self.low = low
        self.high = high
        self.choices: tuple[str, ...] = tuple(choices)
        self.help: str = help


def parse_text(text: str):
    """Return the text unchanged; raise ValueError if it is empty."""
    if not text:
        raise ValueError("must not be empty")
    return text


def parse_int(text: str) -> int:
    """Return an integer."""
    try:
        return int(text)
    except ValueError:
        raise ValueError(f"{text!r} is not an integer") from None


def parse_float(text: str) -> float:
    """Return a finite number."""
    try:
        number = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    if number != number or number in (float("inf"), float("-inf")):
        raise ValueError(f"{text!r} is not a finite number")
    return number


def parse_bool(text: str) -> bool:
    """Return the boolean for yes/no, true/false, on/off or 1/0."""
    try:
        return _BOOLEANS[text.lower()]
    except KeyError:
        raise ValueError(f"{text!r} is not yes or no") from None


def _parse_quantity(text, pattern, factors, example):
    match = pattern.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not of the form {example}")
    return parse_float(match["number"]) * factors[match["unit"]]


def parse_duration(text: str) -> float:
    """Return a duration in seconds."""
    return _parse_quantity(text, _DURATION, _SECONDS, "'250ms', '2s' or '1h'")


def parse_size(text: str) -> int:
    """Return a memory size in megabytes, rounded up."""
    megabytes = _parse_quantity(text, _SIZE, _MEGABYTES, "'80MB' or '14GB'")
    return int(-(-megabytes // 1))


def parse_list(text: str) -> tuple[str, ...]:
    """Return the non-empty items of a comma-separated list."""
    return tuple(part.strip() for part in text.split(",") if part.strip())


PARSERS = {
    "text": parse_text,
    "int": parse_int,
    "float": parse_float,
    "bool": parse_bool,
    "duration": parse_duration,
    "size": parse_size,
    "list": parse_list,
}


class Section:
    """Hold the raw values of one section by key, with their line numbers."""

    __slots__ = ("kind", "line", "lines_by_key", "name", "raw_by_key")

    def __init__(self, kind, name, line, raw_by_key, lines_by_key):
        self.kind: str = kind
        self.name: str = name
        self.line: int = line
        self.raw_by_key: dict[str, str] = raw_by_key
        self.lines_by_key: dict[str, int] = lines_by_key

    @property
    def title(self) -> str:
        """Return the header of the section without brackets."""
        return f"{self.kind} {self.name}".strip()

    def read(self, options: list[Option], faults: list[Fault]) -> dict:
        """Return the parsed values by option name; append errors to ``faults``."""
        known = [option.name for option in options]
        for key in self.raw_by_key:
            if key not in known:
                hint = registry.suggest(key, known)
                text = f"[{self.title}] has an unknown key {key!r}{hint}"
                faults.append(Fault(self.lines_by_key.get(key, self.line), text))
        return {option.name: self._parse_value(option, faults) for option in options}

    def _parse_value(self, option, faults):
        if option.name not in self.raw_by_key:
            if option.default is REQUIRED:
                text = f"[{self.title}] lacks the required key {option.name!r}"
                faults.append(Fault(self.line, text))
                return None
            return option.default
        line = self.lines_by_key.get(option.name, self.line)
        try:
            value = PARSERS[option.kind](self.raw_by_key[option.name].strip())
            _check_range(option, value)
        except ValueError as error:
            faults.append(Fault(line, f"[{self.title}] {option.name}: {error}"))
            return None
        return value


def _check_range(option, value):
    if option.low is not None and value < option.low:
        raise ValueError(f"{value} is below the minimum {option.low}")
    if option.high is not None and value > option.high:
        raise ValueError(f"{value} is above the maximum {option.high}")
    if option.choices and value not in option.choices:
        hint = registry.suggest(str(value), list(option.choices))
        choices = ", ".join(option.choices)
        raise ValueError(f"{value!r} is not one of {choices}{hint}")


def read_sections(text: str, faults: list[Fault]) -> list[Section]:
    """Return the sections of an INI text in order; append syntax errors."""
    if len(text) > MAX_TEXT_CHARACTERS:
        faults.append(
            Fault(0, f"the text is longer than {MAX_TEXT_CHARACTERS} characters")
        )
        return []
    lines_by_section = _index_lines(text, faults)
    parser = configparser.RawConfigParser(strict=False, default_section="\0")
    parser.optionxform = str  # type: ignore[assignment]
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        faults.append(Fault(error.lineno, "text before the first section header"))
        return []
    except configparser.ParsingError as error:
        for line, content in error.errors:
            faults.append(Fault(line, f"cannot parse {content[:80]}"))
        return []
    sections = []
    for title in parser.sections():
        kind, _, name = title.partition(" ")
        line, lines_by_key = lines_by_section.get(title, (0, {}))
        raw_by_key = dict(parser.items(title))
        sections.append(Section(kind, name.strip(), line, raw_by_key, lines_by_key))
    return sections


def _index_lines(text, faults):
    lines_by_section: dict[str, tuple[int, dict[str, int]]] = {}
    lines_by_key: dict[str, int] = {}
    title = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _SECTION.match(line)
        if header:
            title = header["name"]
            if title in lines_by_section:
                first = lines_by_section[title][0]
                faults.append(
                    Fault(number, f"[{title}] stands twice, first on line {first}")
                )
            lines_by_key = {}
            lines_by_section.setdefault(title, (number, lines_by_key))
            continue
        key = _KEY.match(line)
        if key:
            if key["name"] in lines_by_key:
                faults.append(Fault(number, f"[{title}] sets {key['name']!r} twice"))
            lines_by_key.setdefault(key["name"], number)
    return lines_by_section


def raise_faults(faults: list[Fault], file_name: str) -> None:
    """Raise one ProxyError that lists all faults; do nothing without faults."""
    if not faults:
        return
    lines = [str(fault) for fault in sorted(faults, key=lambda fault: fault.line)]
    raise errors.ProxyError(
        errors.ErrorKind.INVALID_CONFIGURATION, f"{file_name}: " + "; ".join(lines)
    )
