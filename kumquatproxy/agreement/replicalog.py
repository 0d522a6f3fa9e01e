"""In-memory replicated log without the compacted entries at its beginning."""

import enum

from kumquatproxy import records


class EntryKind(enum.IntEnum):
    """Enumerate the kinds of log entries; the numbers are stored and sent."""

    COMMAND = 0
    VOTER_CHANGE = 1  # data is an encoded voter set
    NOOP = 2


class Entry(records.Record):
    """Hold one log entry."""

    __slots__ = ("data", "index", "kind", "term")

    def __init__(self, index, term, kind, data):
        self.index: int = index
        self.term: int = term
        self.kind: EntryKind = kind
        self.data: bytes = data


class Snapshot(records.Record):
    """Hold the state after applying all entries up to ``index``."""

    __slots__ = ("data", "index", "term", "voter_set")

    def __init__(self, index, term, voter_set, data):
        self.index: int = index
        self.term: int = term
        self.voter_set: bytes = voter_set  # encoded, see voterset.decode
        self.data: bytes = data


class ReplicaLog:
    """Keep the entries after ``base_index``.

    The entries up to and including ``base_index`` were compacted; a snapshot covers
    them and may cover some of the kept ones.
    """

    __slots__ = ("_entries", "base_index", "base_term")

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index: int = base_index
        self.base_term: int = base_term
        self._entries: list[Entry] = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at ``index``; None before ``base_index`` or after the end."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def slice(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last`` inclusive."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def batch(self, first: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Return the entries from ``first`` on that fit into both limits.

        The first entry is returned even if it exceeds ``max_bytes``.
        """
        entries = self.slice(first, min(self.last_index, first + max_entries - 1))
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.data)
            if size_bytes > max_bytes and count:
                return entries[:count]
        return entries

    def count_before(self, last: int, max_entries: int, max_bytes: int) -> int:
        """Return how many of the entries up to ``last`` fit into both limits."""
        first = max(self.base_index + 1, last - max_entries + 1)
        size_bytes = 0
        for count, entry in enumerate(reversed(self.slice(first, last))):
            size_bytes += len(entry.data)
            if size_bytes > max_bytes:
                return count
        return last - first + 1

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} does not follow entry {self.last_index}"
            )
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        del self._entries[max(0, index - self.base_index - 1) :]

    def compact(self, index: int) -> None:
        """Remove the entries up to and including ``index``; a snapshot covers them."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and restart the log after ``index``."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term

    def is_not_ahead_of(self, last_index: int, last_term: int) -> bool:
        """Return whether another log is at least as up to date as this one.

        The arguments are the index and term of the last entry of the other log.
        """
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def conflict_hint(self, index: int) -> int:
        """Return the highest index that may still match after a mismatch at ``index``.

        All entries of the conflicting term are skipped, so that finding the last common
        entry takes at most one reply for each term.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == term:
            index -= 1
        return index
