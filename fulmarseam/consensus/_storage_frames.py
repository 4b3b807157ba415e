"""Frames of the log file: length, CRC-32 and payload.

One frame is written and synced at a time, so only the last frame of a file
can be incomplete after a crash. A damaged frame that is followed by data is
an error and is not truncated.
"""

from collections.abc import Iterator
import os
import pathlib
import struct
import zlib

from fulmarseam import errors

REMEDY = (
    'restore the data directory from a copy, or remove this member from the '
    'group and start it with an empty directory, a new member_id and '
    'join: true'
)
HEADER = struct.Struct('<II')
# With the seed 0, a run of zero bytes would pass as valid frames.
_CHECKSUM_SEED = 0x66756C6D


class DirectoryUnavailableError(errors.FulmarseamError):
    """The data directory cannot be used now; its content may be sound."""

    def __init__(self, detail: str) -> None:
        super().__init__(errors.ErrorKind.UNAVAILABLE, detail)


def make_frame(payload: bytes) -> bytes:
    """Return a frame; its CRC-32 covers the length and the payload."""
    length = len(payload)
    return HEADER.pack(length, _compute_checksum(length, payload)) + payload


def _compute_checksum(length: int, payload: bytes | memoryview) -> int:
    start = zlib.crc32(length.to_bytes(4, 'little'), _CHECKSUM_SEED)
    return zlib.crc32(payload, start)


def read_frame(data: memoryview, offset: int) -> memoryview | None:
    """Return the payload of the frame at `offset`, or None if damaged."""
    if len(data) - offset < HEADER.size:
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    if not 0 < length <= len(data) - start:
        return None
    payload = data[start : start + length]
    return payload if _compute_checksum(length, payload) == checksum else None


def _is_torn_tail(data: memoryview, offset: int) -> bool:
    """Return whether the damaged frame at `offset` may be a partial write.

    It is not if a valid frame follows, or if the frame ends inside the file
    and is followed by bytes other than zero.
    """
    for later in range(offset + 1, len(data) - HEADER.size):
        if read_frame(data, later) is not None:
            return False
    if len(data) - offset < HEADER.size:
        return True
    length, _ = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    return length == 0 or not any(data[end:])


def read_frames(
    path: pathlib.Path, data: memoryview
) -> Iterator[tuple[int, memoryview]]:
    """Yield the offset and payload of each frame up to a torn tail.

    The first frame is written together with the file, so it cannot be
    incomplete. Raises `errors.DamagedDataError`.
    """
    offset = 0
    while offset < len(data) or offset == 0:
        payload = read_frame(data, offset)
        if payload is None:
            if offset > 0 and _is_torn_tail(data, offset):
                return
            raise make_damage_error(
                path, offset, 'the checksum does not match'
            )
        yield offset, payload
        offset += HEADER.size + len(payload)


def read_file(path: pathlib.Path) -> bytes:
    """Return the content of a file.

    Raises `errors.DamagedDataError` if the file is missing, and
    `DirectoryUnavailableError` if it cannot be read.
    """
    try:
        return path.read_bytes()
    except FileNotFoundError as error:
        raise make_damage_error(path, 0, str(error.strerror)) from error
    except OSError as error:
        raise DirectoryUnavailableError(
            f'{path}: {error.strerror or error}'
        ) from error


def write_all(file: int, data: bytes) -> None:
    """Write all of `data`; raises `OSError`."""
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def make_damage_error(
    path: pathlib.Path, offset: int, reason: str
) -> errors.DamagedDataError:
    """Return an error with the file, the offset and the remedy."""
    return errors.DamagedDataError(
        f'{path}: offset {offset}: {reason}; {REMEDY}'
    )
