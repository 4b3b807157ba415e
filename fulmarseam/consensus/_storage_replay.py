"""Reading of the log file and of snapshots."""

import pathlib
import zlib

import msgspec

from fulmarseam import wire
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _storage_frames

FORMAT_VERSION = 1


class LogStart(msgspec.Struct, tag='start', frozen=True):
    """First record of a log file: it follows (`index`, `term`)."""

    version: int
    index: int
    term: int


LogRecord = LogStart | _core_types.TermRecord | _core_types.EntriesRecord
_records_decoder = msgspec.msgpack.Decoder(list[LogRecord])
_meta_decoder = msgspec.msgpack.Decoder(wire.SnapshotMeta)


class Replay:
    """Puts the records of a log file together."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._start: LogStart | None = None
        self._term = _core_types.TermRecord(0, None)
        self._entries: list[wire.LogEntry] = []

    def add_frame(self, offset: int, payload: memoryview) -> None:
        """Take over the records of one frame."""
        try:
            records = _records_decoder.decode(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise _storage_frames.describe_damage(
                self._path, offset, str(error)
            ) from error
        for record in records:
            if not self._add(record):
                raise _storage_frames.describe_damage(
                    self._path, offset, 'the records do not fit together'
                )

    def _add(self, record: LogRecord) -> bool:
        if isinstance(record, LogStart):
            is_first = self._start is None
            self._start = record
            return is_first and record.version == FORMAT_VERSION
        if self._start is None:
            return False
        if isinstance(record, _core_types.TermRecord):
            self._term = record
            return True
        return self._add_entries(self._start, record.entries)

    def _add_entries(
        self, start: LogStart, entries: list[wire.LogEntry]
    ) -> bool:
        if not entries:
            return True
        keep = entries[0].index - start.index - 1
        if not 0 <= keep <= len(self._entries):
            return False
        del self._entries[keep:]
        self._entries.extend(entries)
        return entries[-1].index == start.index + len(self._entries)

    @property
    def base_index(self) -> int:
        """Return the index that the log file starts after."""
        return self._start.index if self._start else 0

    def finish(
        self,
        founding: wire.GroupMembers,
        snapshot: _core_types.Snapshot | None,
    ) -> _core_types.DurableState:
        """Return the state, with the log fitted to the snapshot."""
        if self._start is None:
            raise _storage_frames.describe_damage(
                self._path, 0, 'the file is empty'
            )
        base = (self._start.index, self._start.term)
        entries = self._entries
        covered = snapshot.meta.index if snapshot else 0
        if base[0] > covered:
            raise _storage_frames.describe_damage(
                self._path,
                0,
                f'the log starts after {base[0]} but the newest snapshot '
                f'covers {covered}',
            )
        if snapshot and self._find_term(covered) != snapshot.meta.term:
            # A crash came between the snapshot and the log that fits it.
            base = (covered, snapshot.meta.term)
            entries = []
        return _core_types.DurableState(
            initial_members=founding,
            term=self._term.term,
            vote=self._term.vote,
            base_index=base[0],
            base_term=base[1],
            entries=tuple(entries),
            snapshot=snapshot,
        )

    def _find_term(self, index: int) -> int | None:
        if self._start is None:
            return None
        if index == self._start.index:
            return self._start.term
        position = index - self._start.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None


def load_snapshot(path: pathlib.Path) -> _core_types.Snapshot:
    """Read a snapshot; raises `errors.DamagedDataError`."""
    data = memoryview(_storage_frames.read_file(path))
    payload = _storage_frames.read_frame(data, 0)
    if payload is None:
        raise _storage_frames.describe_damage(
            path, 0, 'the checksum does not match'
        )
    try:
        meta = _meta_decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _storage_frames.describe_damage(path, 0, str(error)) from error
    start = _storage_frames.HEADER.size + len(payload)
    state = bytes(data[start:])
    if len(state) != meta.size or zlib.crc32(state) != meta.checksum:
        raise _storage_frames.describe_damage(
            path, start, 'the checksum does not match'
        )
    return _core_types.Snapshot(meta, state)
