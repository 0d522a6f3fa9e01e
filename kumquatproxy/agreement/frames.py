"""Checksummed frames in files: length, CRC32 and body."""

import struct
import zlib

from kumquatproxy import errors

_HEADER = struct.Struct(">II")
HEADER_BYTES = _HEADER.size
MAX_BODY_BYTES = 1 << 30


def encode(body: bytes) -> bytes:
    """Return the frame of ``body``.

    The checksum covers the length too. Otherwise a file that a crash left filled with
    zeros would contain valid empty frames.
    """
    length = len(body).to_bytes(4, "big")
    return _HEADER.pack(len(body), zlib.crc32(body, zlib.crc32(length))) + body


def read(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at ``offset``, None if it is not valid."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    if length > MAX_BODY_BYTES or start + length > len(data):
        return None
    body = data[start : start + length]
    if zlib.crc32(body, zlib.crc32(data[offset : offset + 4])) != checksum:
        return None
    return body


def scan(data: bytes) -> tuple[list[bytes], int]:
    """Return the bodies of the leading valid frames and their end offset."""
    bodies = []
    offset = 0
    while offset < len(data):
        body = read(data, offset)
        if body is None:
            break
        bodies.append(body)
        offset += HEADER_BYTES + len(body)
    return bodies, offset


def find_frame_after(data: bytes, offset: int) -> int | None:
    """Return the offset of the first valid frame after ``offset``, None without one."""
    for start in range(offset + 1, len(data) - HEADER_BYTES + 1):
        if read(data, start) is not None:
            return start
    return None


def damage_error(file_name: str, offset: int, detail: str) -> errors.ProxyError:
    """Return the error for damage in a file.

    ``offset`` is the byte offset of the damage, 0 if it is not known.
    """
    return errors.ProxyError(
        errors.ErrorKind.LOG_DAMAGED, f"file {file_name}, byte {offset}: {detail}"
    )
