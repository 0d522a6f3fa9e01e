"""Storage of the version in force, so that a host has it at its next start."""

from collections.abc import Callable

from kumquatproxy import logs

RETRY_S = 1.0


class VersionStore:
    """Store the newest version; try again while the disk does not take it.

    ``save(number, content)`` raises OSError if it fails.
    """

    __slots__ = ("_log", "_retry_at", "_save", "_unsaved")

    def __init__(self, save: Callable[[int, bytes], None], log: logs.Log):
        self._save = save
        self._log = log
        self._unsaved: tuple[int, bytes] | None = None
        self._retry_at = 0.0

    def store(self, number: int, content: bytes, now: float) -> None:
        """Store a version, now or as soon as the disk takes it."""
        self._unsaved = (number, content)
        self._retry_at = now
        self.tick(now)

    def tick(self, now: float) -> None:
        """Try again to store a version that could not be stored."""
        if self._unsaved is None or now < self._retry_at:
            return
        number, content = self._unsaved
        try:
            self._save(number, content)
        except OSError as error:
            self._retry_at = now + RETRY_S
            self._log.write(now, f"cannot store revision {number}, retrying: {error}")
        else:
            self._unsaved = None
