"""The data directory of a member: identity, log and snapshots."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import fcntl
import os
import pathlib
import re
import uuid
import zlib

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_founding
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _storage_frames
from fulmarseam.consensus import _storage_replay

_SNAPSHOT_NAME = re.compile(r'snapshot-(\d{20})')


DirectoryUnavailableError = _storage_frames.DirectoryUnavailableError


class StorageFailedError(Exception):
    """A write or sync failed; nothing more may be written.

    After a failed sync the kernel may have dropped the written pages, so
    the success of a later sync does not mean that they are on disk.
    """


class _IdentityFile(msgspec.Struct, frozen=True):
    version: int
    member: ids.MemberId
    store: str
    founding: wire.Founding | None


_identity_decoder = msgspec.json.Decoder(_IdentityFile)


def load_or_assign_member_id(directory: str, host: ids.HostId) -> ids.MemberId:
    """Return the id of the member that `directory` belongs to.

    For a new directory, return a new unique id, so that a member which has
    lost its state cannot act under its former id.
    """
    path = pathlib.Path(directory) / 'identity'
    try:
        content = path.read_bytes().splitlines()[0]
        return _identity_decoder.decode(content).member
    except (FileNotFoundError, IndexError):
        return ids.MemberId(f'{host}.{uuid.uuid4().hex[:12]}')
    except OSError as error:
        raise DirectoryUnavailableError(
            f'{path}: {error.strerror or error}'
        ) from error
    except msgspec.MsgspecError as error:
        raise errors.DamagedDataError(f'{path}: offset 0: {error}') from error


def clear_directory(directory: str) -> None:
    """Delete the files of a member that was removed from its group.

    The identity file is deleted last: as long as it exists, the directory
    does not count as new.
    """
    root = pathlib.Path(directory)
    for path in sorted(root.iterdir(), key=lambda item: item.name != 'log'):
        if path.name == 'log' or _SNAPSHOT_NAME.match(path.name):
            path.unlink()
    (root / 'identity').unlink(missing_ok=True)


class Storage:
    """The data directory of one member.

    Raises `errors.DamagedDataError` for damaged files,
    `DirectoryUnavailableError` for a directory that cannot be opened or read
    now, and `StorageFailedError` when a write or sync fails.
    """

    def __init__(self, directory: str, member: ids.MemberId) -> None:
        self._directory = pathlib.Path(directory)
        self._member_id = member
        self._identity_path = self._directory / 'identity'
        self._log_path = self._directory / 'log'
        self._log_file = -1
        self._lock_file = -1
        self._failed = False
        self.truncated_bytes = 0

    def open(self, new_store_id: str) -> _core_founding.Identity:
        """Lock the directory and return the identity of its member.

        An empty directory gets the store id `new_store_id`.
        """
        try:
            self._directory.mkdir(parents=True, exist_ok=True)
            self._lock_file = os.open(
                self._directory / 'lock', os.O_RDWR | os.O_CREAT, 0o600
            )
        except OSError as error:
            raise DirectoryUnavailableError(
                f'data_dir: found {self._directory} ({error.strerror}), '
                'expected a directory that this process may write to'
            ) from error
        try:
            self._acquire_lock()
            return self._read_or_create_identity(new_store_id)
        except BaseException:
            self.close()
            raise

    def _read_or_create_identity(
        self, new_store_id: str
    ) -> _core_founding.Identity:
        if self._identity_path.exists():
            return self._read_identity()
        self._require_empty()
        identity = _core_founding.Identity(self._member_id, new_store_id)
        self._write_identity(identity)
        return identity

    def _acquire_lock(self) -> None:
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise DirectoryUnavailableError(
                f'data_dir: found {self._directory} in use by another '
                'process, expected a directory of its own'
            ) from error

    def _require_empty(self) -> None:
        for path in (self._log_path, *self._list_snapshots()):
            if path.exists():
                raise errors.DamagedDataError(
                    f'{self._identity_path}: the file is missing although '
                    f'{path.name} exists; {_storage_frames.REMEDY}'
                )

    def _read_identity(self) -> _core_founding.Identity:
        path = self._identity_path
        try:
            lines = _storage_frames.read_file(path).splitlines()
            content, checksum = lines
            if int(checksum, 16) != zlib.crc32(content):
                raise ValueError('the checksum does not match')
            found = _identity_decoder.decode(content)
        except ValueError as error:
            raise errors.DamagedDataError(
                f'{path}: offset 0: {error}; {_storage_frames.REMEDY}'
            ) from error
        if found.member != self._member_id:
            raise errors.DamagedDataError(
                f'{path}: found member {found.member}, expected '
                f'{self._member_id}; each member needs its own data_dir'
            )
        if found.founding is not None and not self._log_path.exists():
            raise errors.DamagedDataError(
                f'{self._log_path}: the file is missing; '
                f'{_storage_frames.REMEDY}'
            )
        return _core_founding.Identity(
            found.member, found.store, found.founding
        )

    def _write_identity(self, identity: _core_founding.Identity) -> None:
        content = msgspec.json.encode(
            _IdentityFile(
                _storage_replay.FORMAT_VERSION,
                identity.member,
                identity.store_id,
                identity.founding,
            )
        )
        checksum = f'\n{zlib.crc32(content):08x}\n'.encode()
        self._replace_file(self._identity_path, [content, checksum])

    def bind(
        self, identity: _core_founding.Identity, founding: wire.Founding
    ) -> _core_founding.Identity:
        """Bind the directory to a group and start an empty log."""
        bound = _core_founding.Identity(
            identity.member, identity.store_id, founding
        )
        self._rewrite_log(
            [_storage_replay.LogStart(_storage_replay.FORMAT_VERSION, 0, 0)]
        )
        self._write_identity(bound)
        return bound

    def load(self, founding: wire.Founding) -> _core_types.DurableState:
        """Read the snapshot and the log, and open the log for appending.

        A torn tail is truncated; `truncated_bytes` is its length.
        """
        self._remove_temporary_files()
        snapshot = self._load_newest_snapshot()
        data = memoryview(_storage_frames.read_file(self._log_path))
        replay = _storage_replay.LogReplay(self._log_path)
        end = 0
        for offset, payload in _storage_frames.read_frames(
            self._log_path, data
        ):
            replay.add_frame(offset, payload)
            end = offset + _storage_frames.HEADER.size + len(payload)
        self.truncated_bytes = len(data) - end
        self._open_log(end)
        durable = replay.build_state(founding.members, snapshot)
        if durable.base_index != replay.base_index:
            self._rewrite_log(
                [
                    _storage_replay.LogStart(
                        _storage_replay.FORMAT_VERSION,
                        durable.base_index,
                        durable.base_term,
                    ),
                    _core_types.TermRecord(durable.term, durable.vote),
                ]
            )
        return durable

    def _open_log(self, end: int) -> None:
        with self._fail_permanently():
            self._log_file = os.open(self._log_path, os.O_RDWR)
            if self.truncated_bytes:
                os.ftruncate(self._log_file, end)
                os.fsync(self._log_file)
            os.lseek(self._log_file, end, os.SEEK_SET)

    def write(self, records: Sequence[_core_types.Record]) -> None:
        """Write records in order and sync them."""
        pending: list[_storage_replay.LogRecord] = []
        for record in records:
            if isinstance(record, _core_types.SnapshotRecord):
                # The rewritten log includes the pending records.
                pending.clear()
                self._save_snapshot(record)
            else:
                pending.append(record)
        if pending:
            self._append(pending)

    def _append(self, records: Sequence[_storage_replay.LogRecord]) -> None:
        frame = _storage_frames.make_frame(msgspec.msgpack.encode(records))
        with self._fail_permanently():
            _storage_frames.write_all(self._log_file, frame)
            os.fdatasync(self._log_file)

    def _save_snapshot(self, record: _core_types.SnapshotRecord) -> None:
        meta, data = record.snapshot
        path = self._directory / f'snapshot-{meta.index:020d}'
        frame = _storage_frames.make_frame(msgspec.msgpack.encode(meta))
        self._replace_file(path, [frame, data])
        self._rewrite_log(
            [
                _storage_replay.LogStart(
                    _storage_replay.FORMAT_VERSION,
                    record.base_index,
                    record.base_term,
                ),
                _core_types.TermRecord(record.term, record.vote),
                _core_types.EntriesRecord(record.entries),
            ]
        )
        with self._fail_permanently():
            for old in self._list_snapshots():
                if old != path:
                    old.unlink()

    def _rewrite_log(
        self, records: Sequence[_storage_replay.LogRecord]
    ) -> None:
        frame = _storage_frames.make_frame(msgspec.msgpack.encode(records))
        self._replace_file(self._log_path, [frame])
        with self._fail_permanently():
            if self._log_file >= 0:
                os.close(self._log_file)
                self._log_file = -1
            self._log_file = os.open(self._log_path, os.O_RDWR)
            os.lseek(self._log_file, 0, os.SEEK_END)

    def _replace_file(
        self, path: pathlib.Path, parts: Sequence[bytes]
    ) -> None:
        """Replace a file atomically: a crash leaves the old or the new one."""
        temporary = path.with_name(f'{path.name}.tmp')
        with self._fail_permanently():
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            file = os.open(temporary, flags, 0o600)
            try:
                for part in parts:
                    _storage_frames.write_all(file, part)
                os.fsync(file)
            finally:
                os.close(file)
            os.replace(temporary, path)
            self._sync_directory()

    def _sync_directory(self) -> None:
        directory = os.open(self._directory, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    @contextlib.contextmanager
    def _fail_permanently(self) -> Iterator[None]:
        if self._failed:
            raise StorageFailedError('an earlier write or sync has failed')
        try:
            yield
        except OSError as error:
            self._failed = True
            raise StorageFailedError(
                f'{self._directory}: {error.strerror or error}'
            ) from error

    def _remove_temporary_files(self) -> None:
        with self._fail_permanently():
            for path in self._directory.glob('*.tmp'):
                path.unlink()

    def _list_snapshots(self) -> list[pathlib.Path]:
        return sorted(
            path
            for path in self._directory.iterdir()
            if _SNAPSHOT_NAME.fullmatch(path.name)
        )

    def _load_newest_snapshot(self) -> _core_types.Snapshot | None:
        paths = self._list_snapshots()
        return _storage_replay.load_snapshot(paths[-1]) if paths else None

    def close(self) -> None:
        """Close the files and release the lock."""
        for file in (self._log_file, self._lock_file):
            if file >= 0:
                os.close(file)
        self._log_file = -1
        self._lock_file = -1
