"""Durable state of a group member: log segments and snapshots in a directory."""

import contextlib
import os
import pathlib

from kumquatproxy import errors
from kumquatproxy.agreement import durablefiles, frames, groupsettings, segments

SEGMENT_BYTES = 8 * 1024 * 1024  # a segment of this size is closed
_SEGMENT_PREFIX = "log-"
_SNAPSHOT_PREFIX = "snapshot-"


def is_formatted(directory: pathlib.Path) -> bool:
    """Return whether the directory contains the state of a member."""
    return bool(_file_numbers(directory, _SEGMENT_PREFIX))


def format_directory(
    directory: pathlib.Path, identity: str, state: groupsettings.PersistedState
) -> None:
    """Write the initial state of a member with a new identity.

    The segment is written last, because a directory without a segment counts as empty.
    """
    directory.mkdir(parents=True, exist_ok=True)
    if is_formatted(directory):
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            f"directory {directory.name} already holds the state of a member",
        )
    snapshot = state.snapshot
    header = segments.encode_header(
        identity, state.hard_state, snapshot.index, snapshot.term
    )
    try:
        for number in _file_numbers(directory, _SNAPSHOT_PREFIX):
            os.unlink(_file_path(directory, _SNAPSHOT_PREFIX, number))
        path = _file_path(directory, _SNAPSHOT_PREFIX, snapshot.index)
        durablefiles.replace_file(path, segments.encode_snapshot(snapshot))
        durablefiles.replace_file(_file_path(directory, _SEGMENT_PREFIX, 1), header)
        durablefiles.sync_directory(directory.parent)
    except OSError as error:
        raise durablefiles.storage_error(
            error, "formatting the directory failed"
        ) from error


class DiskStore:
    """Store the log and snapshots of one member in a directory.

    ``state`` is the state recovered when the store was opened. Each batch is one frame,
    and the next one is written only after it is durable. An invalid frame is therefore
    a torn write of the last batch only if no valid frame follows; otherwise the file is
    damaged.
    """

    def __init__(self, directory, segment_bytes=SEGMENT_BYTES, sync=os.fsync):
        self._directory = pathlib.Path(directory)
        self._segment_bytes: int = segment_bytes
        self._sync = sync
        self._must_repair = False  # the end of the log could not be cleaned up
        self._segment_descriptor = -1
        self._highest_index_by_segment: dict[int, int] = {}
        self._lock_descriptor = durablefiles.lock_directory(self._directory)
        try:
            self._recover()
        except BaseException:
            self.close()
            raise

    def _recover(self):
        self._remove_temporary_files()
        replay = segments.LogReplay()
        all_numbers = _file_numbers(self._directory, _SEGMENT_PREFIX)
        numbers = _consecutive_end(all_numbers)
        for number in numbers:
            self._replay_segment(replay, number, number == numbers[-1])
        if replay.log is None:
            raise errors.ProxyError(
                errors.ErrorKind.LOG_DAMAGED,
                f"directory {self._directory.name} contains no log segment",
            )
        self.identity: str = replay.identity
        self._hard_state = replay.hard_state
        self._segment_number = numbers[-1]
        self._open_segment()
        # A loss of power may undo the removal of some of the files that a snapshot
        # covers and not that of others.
        leftovers = all_numbers[: len(all_numbers) - len(numbers)]
        self._highest_index_by_segment.update(dict.fromkeys(leftovers, 0))
        self._load_snapshot(replay, numbers[0] - 1 if leftovers else None)

    def _remove_temporary_files(self):
        for path in self._directory.glob("*" + durablefiles.TEMPORARY_SUFFIX):
            path.unlink()

    def _segment_name(self, number):
        return _file_path(self._directory, _SEGMENT_PREFIX, number).name

    def _replay_segment(self, replay, number, is_last):
        path = _file_path(self._directory, _SEGMENT_PREFIX, number)
        data = path.read_bytes()
        bodies, end = frames.scan(data)
        if end < len(data):
            self._check_torn_tail(path.name, data, end, is_last and bool(bodies))
            with open(path, "r+b") as stream:
                stream.truncate(end)
                os.fsync(stream.fileno())
        if not bodies:
            raise frames.damage_error(path.name, 0, "the segment is empty")
        for body in bodies:
            replay.add(body, path.name)
        self._highest_index_by_segment[number] = replay.highest_index

    def _check_torn_tail(self, file_name, data, end, may_be_torn):
        if not may_be_torn:
            raise frames.damage_error(file_name, end, "the frame is damaged")
        valid_frame_offset = frames.find_frame_after(data, end)
        if valid_frame_offset is not None:
            raise frames.damage_error(
                file_name,
                end,
                f"the frame is damaged, a valid one follows at {valid_frame_offset}",
            )

    def _open_segment(self):
        path = _file_path(self._directory, _SEGMENT_PREFIX, self._segment_number)
        self._segment_descriptor = os.open(path, os.O_WRONLY)
        self._segment_size_bytes = os.fstat(self._segment_descriptor).st_size

    def _load_snapshot(self, replay, missing_number):
        """Load the newest snapshot; ``missing_number`` is a segment before the log."""
        log = replay.log
        numbers = _file_numbers(self._directory, _SNAPSHOT_PREFIX)
        if not numbers:
            raise errors.ProxyError(
                errors.ErrorKind.LOG_DAMAGED,
                f"directory {self._directory.name} contains no snapshot",
            )
        path = _file_path(self._directory, _SNAPSHOT_PREFIX, numbers[-1])
        snapshot = segments.decode_snapshot(path.read_bytes(), path.name)
        if missing_number is not None and replay.preceding_index > snapshot.index:
            raise frames.damage_error(
                self._segment_name(missing_number), 0, "the segment is missing"
            )
        if log.base_index > snapshot.index:
            raise frames.damage_error(
                path.name,
                0,
                f"entries after the snapshot, up to entry {log.base_index}, are in no "
                "log segment",
            )
        entries = log.slice(snapshot.index + 1, log.last_index)
        if log.term_at(snapshot.index) != snapshot.term:
            # The process crashed after writing a snapshot of the leader and before
            # restarting the log at it.
            entries = []
            log.reset(snapshot.index, snapshot.term)
            self._write(groupsettings.PendingWrite(snapshot=snapshot, reset=True))
        self._last_index_and_term = (log.last_index, log.last_term)
        self.state = groupsettings.PersistedState(self._hard_state, snapshot, entries)
        self._remove_obsolete_files(snapshot.index)

    def append(self, persist: groupsettings.PendingWrite) -> None:
        """Make ``persist`` durable with one sync of the log.

        A snapshot is synced before it, in its own file. Raise ProxyError, of kind
        DISK_FULL if there is no space. A snapshot may already be written then, and the
        call can be repeated. What a failed write has left at the end of the log is
        removed before anything else is written.
        """
        if persist.is_empty():
            return
        if self._must_repair:
            self._repair()
        if persist.snapshot is not None:
            self._write_snapshot(persist.snapshot)
        if persist.hard_state or persist.entries or persist.reset:
            self._write(persist)
            self._record_append(persist)
        if persist.snapshot is not None:
            self._remove_obsolete_files(persist.snapshot.index)
        if self._segment_size_bytes >= self._segment_bytes:
            self._rotate()

    def _record_append(self, persist):
        self._hard_state = persist.hard_state or self._hard_state
        if persist.reset:
            self._last_index_and_term = (persist.snapshot.index, persist.snapshot.term)
        if persist.entries:
            last = persist.entries[-1]
            self._last_index_and_term = (last.index, last.term)
            highest = max(
                self._highest_index_by_segment[self._segment_number], last.index
            )
            self._highest_index_by_segment[self._segment_number] = highest

    def _write(self, persist):
        data = segments.encode_batch(persist)
        try:
            durablefiles.write_all(
                self._segment_descriptor, data, self._segment_size_bytes
            )
            self._sync(self._segment_descriptor)
        except OSError as error:
            self._must_repair = True
            with contextlib.suppress(errors.ProxyError):
                self._repair()
            raise durablefiles.storage_error(error, "writing the log failed") from error
        self._segment_size_bytes += len(data)

    def _repair(self):
        """Remove a batch that was not synced, and a segment that was not opened.

        Only the last segment may end in a torn write, so nothing may be written before
        this has succeeded. Raise ProxyError if it fails.
        """
        next_path = _file_path(
            self._directory, _SEGMENT_PREFIX, self._segment_number + 1
        )
        try:
            if next_path.exists():
                next_path.unlink()
                durablefiles.sync_directory(self._directory)
            os.ftruncate(self._segment_descriptor, self._segment_size_bytes)
            self._sync(self._segment_descriptor)
        except OSError as error:
            raise durablefiles.storage_error(
                error, "cleaning up the end of the log failed"
            ) from error
        self._must_repair = False

    def _write_snapshot(self, snapshot):
        path = _file_path(self._directory, _SNAPSHOT_PREFIX, snapshot.index)
        try:
            durablefiles.replace_file(path, segments.encode_snapshot(snapshot))
        except OSError as error:
            raise durablefiles.storage_error(
                error, "writing a snapshot failed"
            ) from error

    def _rotate(self):
        header = segments.encode_header(
            self.identity, self._hard_state, *self._last_index_and_term
        )
        path = _file_path(self._directory, _SEGMENT_PREFIX, self._segment_number + 1)
        try:
            durablefiles.replace_file(path, header)
        except OSError:
            # The batch is durable, and the next one tries to rotate again. The new
            # segment may exist in spite of the error.
            self._must_repair = True
            with contextlib.suppress(errors.ProxyError):
                self._repair()
            return
        os.close(self._segment_descriptor)
        self._segment_number += 1
        self._highest_index_by_segment[self._segment_number] = 0
        self._open_segment()

    def _remove_obsolete_files(self, index):
        """Remove the files that the snapshot at ``index`` covers.

        Files that cannot be removed now are removed with the next snapshot.
        """
        with contextlib.suppress(OSError):
            for number in _file_numbers(self._directory, _SNAPSHOT_PREFIX):
                if number < index:
                    os.unlink(_file_path(self._directory, _SNAPSHOT_PREFIX, number))
            for number in sorted(self._highest_index_by_segment)[:-1]:
                if self._highest_index_by_segment[number] > index:
                    return
                os.unlink(_file_path(self._directory, _SEGMENT_PREFIX, number))
                del self._highest_index_by_segment[number]

    def close(self) -> None:
        """Close the current segment and release the lock."""
        for descriptor in (self._segment_descriptor, self._lock_descriptor):
            if descriptor >= 0:
                os.close(descriptor)
        self._segment_descriptor = self._lock_descriptor = -1


class MemoryStore:
    """Replace a DiskStore on a host without a disk; a restart loses the state."""

    def __init__(self, identity, state):
        self.identity: str = identity
        self.state: groupsettings.PersistedState = state

    def append(self, persist: groupsettings.PendingWrite) -> None:
        """Do nothing; the member keeps its log in memory."""

    def close(self) -> None:
        """Do nothing."""


def _file_numbers(directory, prefix) -> list[int]:
    """Return the numbers of the files with ``prefix`` in ascending order."""
    names = [path.name.removeprefix(prefix) for path in directory.glob(prefix + "*")]
    return sorted(int(name) for name in names if name.isdigit())


def _consecutive_end(numbers):
    """Return the longest end of ``numbers`` without a gap."""
    first = len(numbers) - 1
    while first > 0 and numbers[first - 1] == numbers[first] - 1:
        first -= 1
    return numbers[max(0, first) :]


def _file_path(directory, prefix, number) -> pathlib.Path:
    return directory / f"{prefix}{number:016d}"
