"""The journal of records in the data directory."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import os
import pathlib
import struct
from typing import NamedTuple
import zlib

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.records import _table

JOURNAL_FILE_NAME = 'records.journal'
# Marks the start of a frame, so that frames after a damaged one are found.
FRAME_MAGIC = b'\xf5FRJ'
FRAME_HEADER = struct.Struct('<4sII')
COMPACT_MIN_BYTES = 64 * 1024 * 1024
REWRITE_BATCH_ROWS = 500


class JournalEntry(msgspec.Struct, frozen=True, array_like=True):
    """A change of one region's table.

    If `reset` is set, the table is emptied first. Then records of
    generations below `drop_below` are dropped and `writes` are applied.
    """

    region: ids.RegionName
    reset: bool
    drop_below: int
    writes: list[wire.RecordWrite]


class _Frame(NamedTuple):
    end: int
    entries: list[JournalEntry]


class JournalFailedError(errors.FulmarseamError):
    """Raised when a write or sync failed; the process must then end."""

    def __init__(self, detail: str) -> None:
        super().__init__(errors.ErrorKind.INTERNAL, detail)


_decoder = msgspec.msgpack.Decoder(list[JournalEntry])


class Journal:
    """An append-only file of frames, one frame and one sync for each batch.

    A frame is a magic number, the length, a CRC-32 and the entries. An
    incomplete frame at the end is dropped; damage before the end is refused
    with `errors.DamagedDataError`.
    """

    def __init__(self, directory: str) -> None:
        self._path = pathlib.Path(directory) / JOURNAL_FILE_NAME
        self._file = -1
        self._failed = False
        self._size = 0
        self._compacted_size = 0

    def open(self) -> dict[ids.RegionName, _table.RecordTable]:
        """Open the file and return the tables that it holds.

        The deadline of a pending claim counts as past. Raises
        `errors.DamagedDataError` and `JournalFailedError`.
        """
        with self._latch_failure():
            self._path.parent.mkdir(parents=True, exist_ok=True)
            flags = os.O_RDWR | os.O_CREAT
            self._file = os.open(self._path, flags, 0o600)
            data = self._path.read_bytes()
        tables: dict[ids.RegionName, _table.RecordTable] = {}
        end = 0
        for frame in _read_frames(self._path, data):
            end = frame.end
            for entry in frame.entries:
                _replay(tables, entry)
        with self._latch_failure():
            os.ftruncate(self._file, end)
            os.lseek(self._file, end, os.SEEK_SET)
            os.fsync(self._file)
            _sync_directory(self._path.parent)
        self._size = self._compacted_size = end
        return tables

    def write(self, entries: Sequence[JournalEntry]) -> None:
        """Append the entries in one frame and sync.

        Raises `JournalFailedError`, also for every write after a failed one,
        since the content of the disk is then unknown.
        """
        frame = _make_frame(entries)
        with self._latch_failure():
            _write_all(self._file, frame)
            os.fdatasync(self._file)
        self._size += len(frame)

    def should_compact(self) -> bool:
        """Return whether the file is large and has doubled since a rewrite."""
        grown = self._size > 2 * self._compacted_size
        return grown and self._size > COMPACT_MIN_BYTES

    def rewrite(self, entries: Iterable[JournalEntry]) -> None:
        """Replace the content atomically.

        Raises `JournalFailedError`.
        """
        temporary = self._path.with_suffix('.tmp')
        with self._latch_failure():
            flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
            file = os.open(temporary, flags, 0o600)
            size = 0
            for entry in entries:
                frame = _make_frame([entry])
                _write_all(file, frame)
                size += len(frame)
            os.fsync(file)
            os.replace(temporary, self._path)
            _sync_directory(self._path.parent)
            os.close(self._file)
        self._file = file
        self._size = self._compacted_size = size

    def close(self) -> None:
        """Close the file."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    @contextlib.contextmanager
    def _latch_failure(self) -> Iterator[None]:
        if self._failed:
            raise JournalFailedError(f'{self._path}: an earlier write failed')
        try:
            yield
        except OSError as error:
            self._failed = True
            raise JournalFailedError(
                f'{self._path}: {error.strerror or error}'
            ) from error


def make_reset_entries(
    region: ids.RegionName, rows: Sequence[wire.RecordRow]
) -> Iterator[JournalEntry]:
    """Yield entries that replace a region's table with the rows."""
    yield JournalEntry(region, True, 0, [])
    for start in range(0, len(rows), REWRITE_BATCH_ROWS):
        batch = rows[start : start + REWRITE_BATCH_ROWS]
        writes = [wire.RecordWrite(row.key, row) for row in batch]
        yield JournalEntry(region, False, 0, writes)


def _replay(
    tables: dict[ids.RegionName, _table.RecordTable], entry: JournalEntry
) -> None:
    if entry.reset or entry.region not in tables:
        tables[entry.region] = _table.RecordTable()
    table = tables[entry.region]
    if entry.drop_below:
        table.drop_below(entry.drop_below)
    for write in entry.writes:
        # This puts the deadline of every pending claim in the past.
        table.apply(float('-inf'), write)


def _make_frame(entries: Sequence[JournalEntry]) -> bytes:
    payload = msgspec.msgpack.encode(entries)
    header = FRAME_HEADER.pack(
        FRAME_MAGIC, len(payload), _compute_checksum(payload)
    )
    return header + payload


def _compute_checksum(payload: bytes) -> int:
    """Return the CRC-32 of length and payload."""
    return zlib.crc32(payload, zlib.crc32(len(payload).to_bytes(4)))


def _read_frames(path: pathlib.Path, data: bytes) -> Iterator[_Frame]:
    """Yield each frame up to an incomplete one at the end."""
    offset = 0
    while offset < len(data):
        payload = _read_frame(data, offset)
        if payload is None:
            if _has_whole_frame_after(data, offset):
                raise _make_damage_error(path, offset)
            return
        offset += FRAME_HEADER.size + len(payload)
        try:
            entries = _decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise _make_damage_error(path, offset) from error
        yield _Frame(offset, entries)


def _read_frame(data: bytes, offset: int) -> bytes | None:
    if len(data) - offset < FRAME_HEADER.size:
        return None
    magic, length, checksum = FRAME_HEADER.unpack_from(data, offset)
    start = offset + FRAME_HEADER.size
    # The length check keeps a zeroed header from passing as an empty frame.
    if magic != FRAME_MAGIC or not 0 < length <= len(data) - start:
        return None
    payload = data[start : start + length]
    return payload if _compute_checksum(payload) == checksum else None


def _has_whole_frame_after(data: bytes, offset: int) -> bool:
    later = data.find(FRAME_MAGIC, offset + 1)
    while later >= 0:
        if _read_frame(data, later) is not None:
            return True
        later = data.find(FRAME_MAGIC, later + 1)
    return False


def _make_damage_error(
    path: pathlib.Path, offset: int
) -> errors.DamagedDataError:
    return errors.DamagedDataError(
        f'{path}: offset {offset}: found a damaged frame with whole frames '
        'after it, expected damage only at the end; remove the file to start '
        'without records'
    )


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def _sync_directory(directory: pathlib.Path) -> None:
    handle = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
