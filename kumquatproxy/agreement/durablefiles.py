"""Writing files so that a crash leaves the old or the new state, and locking."""

import contextlib
import errno
import fcntl
import os
import pathlib

from kumquatproxy import errors

TEMPORARY_SUFFIX = ".tmp"
LOCK_NAME = "lock"
_FULL = (errno.ENOSPC, errno.EDQUOT)


def storage_error(error: OSError, action: str) -> errors.ProxyError:
    """Return the ProxyError for a failed operation on a file."""
    kind = errors.ErrorKind.INTERNAL
    if error.errno in _FULL:
        kind = errors.ErrorKind.DISK_FULL
    return errors.ProxyError(kind, f"{action}: {error.strerror or error}")


def write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Write all of ``data`` at ``offset``; raise OSError."""
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset)
        view = view[written:]
        offset += written


def sync_directory(directory: pathlib.Path) -> None:
    """Make the names in a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace(path: pathlib.Path, data: bytes) -> None:
    """Make ``data`` the durable content of ``path``; raise OSError.

    The name appears only after the content is durable, so a file with this name is
    always complete.
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


def lock(directory: pathlib.Path) -> int:
    """Return the descriptor of the lock; raise ProxyError if another has it."""
    path = directory / LOCK_NAME
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
