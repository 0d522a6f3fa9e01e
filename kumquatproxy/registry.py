"""Registries that decorators fill and settings choose from by alias."""

import difflib
from collections.abc import Callable

from kumquatproxy import errors


class Registry:
    """Map aliases to the classes or functions that implement one varying behaviour."""

    __slots__ = ("_by_alias", "name")

    def __init__(self, name):
        self.name: str = name
        self._by_alias: dict[str, Callable] = {}

    def register(self, alias: str):
        """Return a decorator that enters a class or function under ``alias``."""

        def enter(cls):
            if alias in self._by_alias:
                raise ValueError(f"{self.name} {alias!r} is registered twice")
            self._by_alias[alias] = cls
            return cls

        return enter

    def aliases(self) -> list[str]:
        """Return all aliases in alphabetical order."""
        return sorted(self._by_alias)

    def get(self, alias: str) -> Callable:
        """Return the class for ``alias``; raise ProxyError if there is none."""
        try:
            return self._by_alias[alias]
        except KeyError:
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_CONFIGURATION,
                f"unknown {self.name} {alias!r}{suggest(alias, self.aliases())}",
            ) from None


def suggest(name: str, known: list[str]) -> str:
    """Return ``; did you mean 'x'?`` for the nearest known name, or nothing."""
    nearest = difflib.get_close_matches(name, known, n=1)
    if not nearest:
        return ""
    return f"; did you mean {nearest[0]!r}?"
