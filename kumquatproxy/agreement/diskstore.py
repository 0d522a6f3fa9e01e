"""The durable state of a member: segment files and snapshot files in a directory."""

import contextlib
import os
import pathlib

from kumquatproxy import errors
from kumquatproxy.agreement import durablefiles, frames, groupsettings, segments

SEGMENT_BYTES = 8 * 1024 * 1024
_SEGMENT = "log-"
_SNAPSHOT = "snapshot-"


def is_formatted(directory: pathlib.Path) -> bool:
    """Return whether the directory holds the state of a member."""
    return bool(_numbered(directory, _SEGMENT))


def format_directory(
    directory: pathlib.Path, identity: str, state: groupsettings.PersistedState
) -> None:
    """Write the first state of a member with a new identity.

    The segment comes last: without it the directory counts as empty.
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
        for number in _numbered(directory, _SNAPSHOT):
            os.unlink(_path(directory, _SNAPSHOT, number))
        path = _path(directory, _SNAPSHOT, snapshot.index)
        durablefiles.replace(path, segments.encode_snapshot(snapshot))
        durablefiles.replace(_path(directory, _SEGMENT, 1), header)
        durablefiles.sync_directory(directory.parent)
    except OSError as error:
        raise durablefiles.storage_error(error, "format the directory") from error


class DiskStore:
    """Own the directory of one member.

    ``state`` is what was found when the store was opened. A frame that is not valid is
    the torn end of the last batch only if no valid frame follows: each batch is one
    frame, and the next is written only after the one before is durable.
    """

    def __init__(self, directory, segment_bytes=SEGMENT_BYTES, sync=os.fsync):
        self._directory = pathlib.Path(directory)
        self._segment_bytes: int = segment_bytes
        self._sync = sync
        self._failed = False
        self._descriptor = -1
        self._highest_by_segment: dict[int, int] = {}
        self._lock = durablefiles.lock(self._directory)
        try:
            self._open()
        except BaseException:
            self.close()
            raise

    def _open(self):
        self._remove_temporary_files()
        replay = segments.Replay()
        numbers = _numbered(self._directory, _SEGMENT)
        for position, number in enumerate(numbers):
            if number != numbers[0] + position:
                raise frames.damaged(
                    self._name(number - 1), 0, "the segment is missing"
                )
            self._replay_segment(replay, number, number == numbers[-1])
        if replay.log is None:
            raise errors.ProxyError(
                errors.ErrorKind.LOG_DAMAGED,
                f"directory {self._directory.name} holds no segment",
            )
        self.identity: str = replay.identity
        self._hard_state = replay.hard_state
        self._number = numbers[-1]
        self._open_segment()
        self._join_snapshot(replay.log)

    def _remove_temporary_files(self):
        for path in self._directory.glob("*" + durablefiles.TEMPORARY_SUFFIX):
            path.unlink()

    def _name(self, number):
        return _path(self._directory, _SEGMENT, number).name

    def _replay_segment(self, replay, number, is_last):
        path = _path(self._directory, _SEGMENT, number)
        data = path.read_bytes()
        bodies, end = frames.scan(data)
        if end < len(data):
            self._check_torn(path.name, data, end, is_last and bool(bodies))
            with open(path, "r+b") as stream:
                stream.truncate(end)
                os.fsync(stream.fileno())
        if not bodies:
            raise frames.damaged(path.name, 0, "the segment is empty")
        for body in bodies:
            replay.add(body, path.name)
        self._highest_by_segment[number] = replay.highest_index

    def _check_torn(self, name, data, end, may_be_torn):
        if not may_be_torn:
            raise frames.damaged(name, end, "the frame is damaged")
        following = frames.find_frame_after(data, end)
        if following is not None:
            raise frames.damaged(
                name, end, f"the frame is damaged, a valid one follows at {following}"
            )

    def _open_segment(self):
        path = _path(self._directory, _SEGMENT, self._number)
        self._descriptor = os.open(path, os.O_WRONLY)
        self._size = os.fstat(self._descriptor).st_size

    def _join_snapshot(self, log):
        numbers = _numbered(self._directory, _SNAPSHOT)
        if not numbers:
            raise errors.ProxyError(
                errors.ErrorKind.LOG_DAMAGED,
                f"directory {self._directory.name} holds no snapshot",
            )
        path = _path(self._directory, _SNAPSHOT, numbers[-1])
        snapshot = segments.decode_snapshot(path.read_bytes(), path.name)
        if log.base_index > snapshot.index:
            raise frames.damaged(
                path.name, 0, f"the log starts only after entry {log.base_index}"
            )
        entries = log.slice(snapshot.index + 1, log.last_index)
        if log.term_at(snapshot.index) != snapshot.term:
            # A crash came between the snapshot of a leader and the restart of the log.
            entries = []
            log.reset(snapshot.index, snapshot.term)
            self._write(groupsettings.Persist(snapshot=snapshot, reset=True))
        self._last = (log.last_index, log.last_term)
        self.state = groupsettings.PersistedState(self._hard_state, snapshot, entries)
        self._remove_covered(snapshot.index)

    def append(self, persist: groupsettings.Persist) -> None:
        """Make ``persist`` durable with one sync, and one more for a snapshot.

        Raise ProxyError with DISK_FULL if there is no space; the state on disk is then
        the one before, and the call can be repeated.
        """
        if self._failed:
            raise errors.ProxyError(
                errors.ErrorKind.INTERNAL, "the store failed and must be opened again"
            )
        if persist.is_empty():
            return
        if persist.snapshot is not None:
            self._write_snapshot(persist.snapshot)
        if persist.hard_state or persist.entries or persist.reset:
            self._write(persist)
            self._note(persist)
        if persist.snapshot is not None:
            self._remove_covered(persist.snapshot.index)
        if self._size >= self._segment_bytes:
            self._rotate()

    def _note(self, persist):
        self._hard_state = persist.hard_state or self._hard_state
        if persist.reset:
            self._last = (persist.snapshot.index, persist.snapshot.term)
        if persist.entries:
            last = persist.entries[-1]
            self._last = (last.index, last.term)
            highest = max(self._highest_by_segment[self._number], last.index)
            self._highest_by_segment[self._number] = highest

    def _write(self, persist):
        data = segments.encode_batch(persist)
        try:
            durablefiles.write_all(self._descriptor, data, self._size)
            self._sync(self._descriptor)
        except OSError as error:
            self._take_back()
            raise durablefiles.storage_error(error, "write the log") from error
        self._size += len(data)

    def _take_back(self):
        """Remove a batch that was not synced; without that the store is unusable."""
        try:
            os.ftruncate(self._descriptor, self._size)
            os.fsync(self._descriptor)
        except OSError:
            self._failed = True

    def _write_snapshot(self, snapshot):
        path = _path(self._directory, _SNAPSHOT, snapshot.index)
        try:
            durablefiles.replace(path, segments.encode_snapshot(snapshot))
        except OSError as error:
            raise durablefiles.storage_error(error, "write a snapshot") from error

    def _rotate(self):
        header = segments.encode_header(self.identity, self._hard_state, *self._last)
        path = _path(self._directory, _SEGMENT, self._number + 1)
        try:
            durablefiles.replace(path, header)
        except OSError:
            # The batch is durable and the next one tries again. A header that has
            # appeared nevertheless must go: only the last segment may have a torn end.
            with contextlib.suppress(OSError):
                path.unlink(missing_ok=True)
            self._failed = path.exists()
            return
        os.close(self._descriptor)
        self._number += 1
        self._highest_by_segment[self._number] = 0
        self._open_segment()

    def _remove_covered(self, index):
        """Remove files that the snapshot at ``index`` makes needless.

        A failure leaves files that the next snapshot removes.
        """
        with contextlib.suppress(OSError):
            for number in _numbered(self._directory, _SNAPSHOT):
                if number < index:
                    os.unlink(_path(self._directory, _SNAPSHOT, number))
            for number in sorted(self._highest_by_segment)[:-1]:
                if self._highest_by_segment[number] > index:
                    return
                os.unlink(_path(self._directory, _SEGMENT, number))
                del self._highest_by_segment[number]

    def close(self) -> None:
        """Close the files and give up the lock."""
        for descriptor in (self._descriptor, self._lock):
            if descriptor >= 0:
                os.close(descriptor)
        self._descriptor = self._lock = -1


class MemoryStore:
    """Stand in for a DiskStore on a host without a disk; a restart loses all."""

    def __init__(self, identity, state):
        self.identity: str = identity
        self.state: groupsettings.PersistedState = state

    def append(self, persist: groupsettings.Persist) -> None:
        """Keep nothing: the member itself holds its log in memory."""

    def close(self) -> None:
        """Do nothing."""


def _numbered(directory, prefix) -> list[int]:
    """Return the numbers of the files with ``prefix`` in ascending order."""
    names = [path.name.removeprefix(prefix) for path in directory.glob(prefix + "*")]
    return sorted(int(name) for name in names if name.isdigit())


def _path(directory, prefix, number) -> pathlib.Path:
    return directory / f"{prefix}{number:016d}"
