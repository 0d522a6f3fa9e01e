"""Registries of interchangeable implementations, selected by alias in settings."""

import difflib
from collections.abc import Callable

from kumquatproxy import errors


class Registry:
    """Map aliases to interchangeable classes or functions."""

    __slots__ = ("_by_alias", "name")

    def __init__(self, name):
        self.name: str = name
        self._by_alias: dict[str, Callable] = {}

    def register(self, alias: str):
        """Return a decorator that registers a class or function under ``alias``."""

        def add(cls):
            if alias in self._by_alias:
                raise ValueError(f"{self.name} {alias!r} is registered twice")
            self._by_alias[alias] = cls
            return cls

        return add

    def aliases(self) -> list[str]:
        """Return the registered aliases in alphabetical order."""
        return sorted(self._by_alias)

    def get(self, alias: str) -> Callable:
        """Return what is registered as ``alias``; raise ProxyError if it is unknown."""
        try:
            return self._by_alias[alias]
        except KeyError:
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_CONFIGURATION,
                f"unknown {self.name} {alias!r}{suggest(alias, self.aliases())}",
            ) from None


def suggest(name: str, known: list[str]) -> str:
    """Return ``; did you mean 'x'?`` for the closest known name, or an empty string."""
    nearest = difflib.get_close_matches(name, known, n=1)
    if not nearest:
        return ""
    return f"; did you mean {nearest[0]!r}?"
