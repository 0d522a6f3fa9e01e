"""Crash-safe file replacement, syncing of directories and file locks."""

import contextlib
import errno
import fcntl
import os
import pathlib

from kumquatproxy import errors

TEMPORARY_SUFFIX = ".tmp"
LOCK_FILE = "lock"
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


def storage_error(error: OSError, action: str) -> errors.ProxyError:
    """Convert the error of a failed file operation to a ProxyError."""
    kind = errors.ErrorKind.INTERNAL
    if error.errno in _DISK_FULL_ERRNOS:
        kind = errors.ErrorKind.DISK_FULL
    return errors.ProxyError(kind, f"{action}: {error.strerror or error}")


def write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Write all of ``data`` at ``offset``, also after short writes; raise OSError."""
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset)
        view = view[written:]
        offset += written


def sync_directory(directory: pathlib.Path) -> None:
    """Sync a directory so that its file names are durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace the content of ``path`` atomically and durably; raise OSError.

    The temporary file is renamed only after its content is synced, so a file at
    ``path`` is always complete.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        descriptor = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
        try:
            write_all(descriptor, data, 0)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    sync_directory(path.parent)


def lock_directory(directory: pathlib.Path) -> int:
    """Lock a directory and return the descriptor; raise ProxyError if it is locked."""
    path = directory / LOCK_FILE
    descriptor = os.open(path, os.O_CREAT | os.O_RDWR, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            f"directory {directory.name} is used by another process",
        ) from None
    return descriptor
