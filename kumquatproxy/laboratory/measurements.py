"""Run measurements by name and print their figures."""

import importlib
import pathlib
import pkgutil

from kumquatproxy import errors, laboratory
from kumquatproxy.laboratory import capacity, measure

MODULE_PREFIX = "measure_"
PAGE = pathlib.Path("docs/CAPACITY.md")


def names() -> list[str]:
    """Return the names of all measurements."""
    for module in pkgutil.iter_modules(laboratory.__path__):
        if module.name.startswith(MODULE_PREFIX):
            importlib.import_module(f"{laboratory.__name__}.{module.name}")
    return measure.MEASUREMENTS.aliases()


def _print(figure):
    """Print a figure and return it in a list if it misses its target."""
    print(figure.line(), flush=True)
    return [] if figure.meets_target() else [figure]


def run(name: str, seed: int) -> list[measure.Figure]:
    """Run one measurement, or all; print the figures, return those off target."""
    known = names()
    if name != "all" and name not in known:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND, f"there is no measurement {name!r}"
        )
    missed = []
    printed = set()
    for alias in known if name == "all" else [name]:
        for figure in measure.MEASUREMENTS.get(alias)(seed):
            missed += _print(figure)
            printed.add(figure.name)
    if name == "all" and PAGE.exists():
        for figure in capacity.coverage(PAGE.read_text(encoding="utf-8"), printed):
            missed += _print(figure)
    for figure in missed:
        print(f"off target: {figure.line()} (target {figure.target_text()})")
    return missed
