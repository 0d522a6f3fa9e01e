"""Origins of streams that a control host keeps on its disk.

They outlast the end of all processes: callers resume their streams once hosts are back,
and then no other host can tell where these began.
"""

import os
import pathlib
from collections.abc import Iterator

import cbor2
import gevent

from kumquatproxy import logs
from kumquatproxy.agreement import datafolder, durablefiles, frames
from kumquatproxy.fleet import originexchange
from kumquatproxy.gateway import streamorigins

FILE_PREFIX = "stream-origins-"
# What arrives in between is written and synced together, and lost with the process.
WRITE_INTERVAL_S = 0.25
# A file is removed once all its streams have ended, so each one holds a part of the
# time for which origins are kept.
FILE_S = 30.0
# At most 5 files at a time. It takes 2,700 streams a second to fill one.
MAX_FILE_BYTES = 4 * 1024 * 1024
# Origins that wait for a disk that does not answer.
MAX_UNWRITTEN = 20_000

_READ_ERRORS = (OSError, TypeError, ValueError, OverflowError, cbor2.CBORError)


class OriginStore:
    """Append the origins of streams to files, and read them at a start.

    Times of the day, ``wall_s``, are Unix times in seconds; they tell the time between
    two starts. Without a data folder nothing is stored.
    """

    __slots__ = (
        "_expiring_files",
        "_file",
        "_file_bytes",
        "_file_since",
        "_folder",
        "_is_writing",
        "_log",
        "_next_number",
        "_next_write_at",
        "_unwritten",
    )

    def __init__(self, folder: datafolder.DataFolder, now: float):
        self._folder: pathlib.Path | None = folder.path
        self._log = logs.Log("stream")
        # With the time at which all streams in the file have ended.
        self._expiring_files: list[tuple[float, pathlib.Path]] = [
            (now + streamorigins.MAX_KEPT_S, path) for path in self._stored_files()
        ]
        self._next_number = self._first_number()
        self._file: pathlib.Path | None = None
        self._file_bytes = 0
        self._file_since = now
        # (stream id, origin, end of the time that it is kept)
        self._unwritten: list[tuple[str, streamorigins.Origin, float]] = []
        self._is_writing = False
        self._next_write_at = float("-inf")

    def _stored_files(self):
        return sorted(self._folder.glob(FILE_PREFIX + "*")) if self._folder else []

    def _first_number(self):
        names = [path.name.removeprefix(FILE_PREFIX) for path in self._stored_files()]
        return 1 + max((int(name) for name in names if name.isdigit()), default=0)

    def load(
        self, now: float, wall_s: float
    ) -> Iterator[tuple[str, streamorigins.Origin, float]]:
        """Yield (stream id, origin, end of its time) as stored, the newest file first.

        It reads while it is iterated. Call it before the first ``tick``.
        """
        count = 0
        for path in reversed(self._stored_files()):
            try:
                for entry in _read_file(path, now, wall_s):
                    count += 1
                    yield entry
            except _READ_ERRORS as error:
                self._log.write(now, f"{path.name} cannot be read: {error!r:.200}")
        if count:
            self._log.write(now, f"{count} origins of streams were read from the disk")

    def add(
        self, stream_id: str, origin: streamorigins.Origin, kept_s: float, now: float
    ) -> None:
        """Store an origin that this host keeps for ``kept_s``, with the next write."""
        if self._folder is not None and len(self._unwritten) < MAX_UNWRITTEN:
            self._unwritten.append((stream_id, origin, now + kept_s))

    def tick(self, now: float, wall_s: float) -> None:
        """Begin to write what is due, and to remove files that have ended."""
        if self._folder is None or self._is_writing or now < self._next_write_at:
            return
        ended_files = [path for ends_at, path in self._expiring_files if now >= ends_at]
        if not self._unwritten and not ended_files:
            return
        self._next_write_at = now + WRITE_INTERVAL_S
        if self._file is None or now - self._file_since >= FILE_S:
            self._begin_file(self._folder, now)
        batch, self._unwritten = self._unwritten, []
        self._is_writing = True
        gevent.spawn(self._write, batch, ended_files, now, wall_s)

    def _begin_file(self, folder, now):
        if self._file is not None:
            ends_at = now + streamorigins.MAX_KEPT_S
            self._expiring_files.append((ends_at, self._file))
        self._file = folder / f"{FILE_PREFIX}{self._next_number:016d}"
        self._next_number += 1
        self._file_bytes = 0
        self._file_since = now

    def _write(self, batch, ended_files, now, wall_s):
        """Write in a thread, as a faulty disk may not answer for seconds."""
        data = frames.encode(_encode(batch, now, wall_s)) if batch else b""
        if self._file_bytes + len(data) > MAX_FILE_BYTES:
            data = b""
        try:
            gevent.get_hub().threadpool.apply(
                _change_files, (ended_files, self._file, data, self._file_bytes)
            )
        except OSError as error:
            # A later write replaces what this one has left at the end of the file.
            self._unwritten = (batch + self._unwritten)[:MAX_UNWRITTEN]
            self._log.write_limited(
                now, "store", f"origins cannot be stored, retrying: {error}"
            )
        else:
            self._file_bytes += len(data)
            self._expiring_files = [
                entry for entry in self._expiring_files if entry[1] not in ended_files
            ]
        finally:
            self._is_writing = False


def _change_files(ended_files, path, data, offset):
    """Remove files, and write data to the end of another one, durably."""
    for ended in ended_files:
        ended.unlink(missing_ok=True)
    if not data:
        return
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY, 0o600)
    try:
        durablefiles.write_all(descriptor, data, offset)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    if offset == 0:
        durablefiles.sync_directory(path.parent)


def _encode(batch, now, wall_s):
    streams = [
        (stream_id, origin, max(0.0, ends_at - now))
        for stream_id, origin, ends_at in batch
    ]
    message = originexchange.to_message(streams)
    return cbor2.dumps([wall_s, message.origins, message.streams])


def _read_file(path, now, wall_s):
    bodies, _ = frames.scan(path.read_bytes())
    for body in reversed(bodies):
        written_s, origins, streams = cbor2.loads(body)
        message = originexchange.StreamOrigins(origins=origins, streams=streams)
        # The time of day may have been set back in between.
        written_at = now - max(0.0, wall_s - written_s)
        for stream_id, origin, left_s in originexchange.from_message(message):
            if written_at + left_s > now:
                yield stream_id, origin, written_at + left_s
