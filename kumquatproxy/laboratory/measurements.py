"""Run measurements by name and print their figures."""

import importlib
import pathlib
import pkgutil

from kumquatproxy import errors, laboratory
from kumquatproxy.laboratory import capacity, measure

MODULE_PREFIX = "measure_"
CAPACITY_PAGE = pathlib.Path("docs/CAPACITY.md")


def measurement_names() -> list[str]:
    """Import the measurement modules and return the names of all measurements."""
    for module in pkgutil.iter_modules(laboratory.__path__):
        if module.name.startswith(MODULE_PREFIX):
            importlib.import_module(f"{laboratory.__name__}.{module.name}")
    return measure.MEASUREMENTS.aliases()


def _print_and_check(figure):
    """Print a figure; return it in a list if it misses its target, else ``[]``."""
    print(figure.line(), flush=True)
    return [] if figure.meets_target() else [figure]


def run(name: str, seed: int) -> list[measure.Figure]:
    """Run one measurement or all; print the figures and return those off target."""
    known_names = measurement_names()
    if name != "all" and name not in known_names:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND, f"unknown measurement {name!r}"
        )
    missed_figures = []
    printed_names = set()
    for alias in known_names if name == "all" else [name]:
        for figure in measure.MEASUREMENTS.get(alias)(seed):
            missed_figures += _print_and_check(figure)
            printed_names.add(figure.name)
    if name == "all" and CAPACITY_PAGE.exists():
        for figure in capacity.coverage(
            CAPACITY_PAGE.read_text(encoding="utf-8"), printed_names
        ):
            missed_figures += _print_and_check(figure)
    for figure in missed_figures:
        print(f"off target: {figure.line()} (target {figure.target_text()})")
    return missed_figures
