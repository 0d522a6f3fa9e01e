"""Run measurements by name and print their figures."""

import importlib
import pkgutil

import kumquatproxy
from kumquatproxy import errors, measure

MODULE_PREFIX = "measure_"


def names() -> list[str]:
    """Return the names of all measurements."""
    for module in pkgutil.iter_modules(kumquatproxy.__path__):
        if module.name.startswith(MODULE_PREFIX):
            importlib.import_module(f"kumquatproxy.{module.name}")
    return measure.MEASUREMENTS.aliases()


def run(name: str, seed: int) -> list[measure.Figure]:
    """Run one measurement, or all; print the figures, return those off target."""
    known = names()
    if name != "all" and name not in known:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND, f"there is no measurement {name!r}"
        )
    missed = []
    for alias in known if name == "all" else [name]:
        for figure in measure.MEASUREMENTS.get(alias)(seed):
            print(figure.line(), flush=True)
            if not figure.meets_target():
                missed.append(figure)
    for figure in missed:
        print(f"off target: {figure.line()} (target {figure.target_text()})")
    return missed
