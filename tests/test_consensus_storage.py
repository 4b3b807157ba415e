"""Tests of the data directory of a member."""

import os
import pathlib
import tempfile
import unittest
from unittest import mock

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _storage
from fulmarseam.consensus import _storage_frames
from tests import consensus_simulation as simulation

FOUNDING = wire.Founding(group='g', members=wire.GroupMembers())


def make_entries(first: int, count: int, term: int = 1) -> list[wire.LogEntry]:
    """Return `count` entries with data, starting at index `first`."""
    return [
        wire.LogEntry(
            index, term, wire.LogEntryType.COMMAND, b'data %d' % index
        )
        for index in range(first, first + count)
    ]


class StorageTestCase(unittest.TestCase):
    """Provides an empty data directory for each test."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = pathlib.Path(temporary.name)
        self.log = self.directory / 'log'

    def open(self, member: str = 'm1') -> _storage.Storage:
        storage = _storage.Storage(str(self.directory), member)
        self.addCleanup(storage.close)
        identity = storage.open('store-1')
        if identity.founding is None:
            storage.bind(identity, FOUNDING)
        return storage

    def load(self) -> _core_types.DurableState:
        storage = self.open()
        try:
            return storage.load(FOUNDING)
        finally:
            storage.close()

    def write(self, *batches: list[_core_types.Record]) -> list[int]:
        """Write batches and return the size of the log after each."""
        storage = self.open()
        storage.load(FOUNDING)
        sizes = []
        for records in batches:
            storage.write(records)
            sizes.append(self.log.stat().st_size)
        storage.close()
        return sizes

    def assert_refused(self, *parts: str) -> None:
        with self.assertRaises(errors.DamagedDataError) as caught:
            self.load()
        for part in (*parts, 'new member_id'):
            self.assertIn(part, caught.exception.detail)


class TornTailTest(StorageTestCase):
    """Guards against a log that is unreadable after a crash during a write."""

    def setUp(self) -> None:
        super().setUp()
        self.sizes = self.write(
            [_core_types.TermRecord(1, 'm1')],
            [_core_types.EntriesRecord(make_entries(1, 2))],
            [_core_types.EntriesRecord(make_entries(3, 2))],
        )
        self.content = self.log.read_bytes()

    def check_survives(self, content: bytes, entries: int) -> None:
        self.log.write_bytes(content)
        self.assertEqual(tuple(make_entries(1, entries)), self.load().entries)
        # Records written after the truncation must be readable.
        self.write([_core_types.TermRecord(2, 'm2')])
        self.assertEqual(2, self.load().term)

    def test_cut_at_each_byte(self) -> None:
        for size in range(self.sizes[1], self.sizes[2]):
            with self.subTest(size=size):
                self.check_survives(self.content[:size], 2)
        for size in range(self.sizes[0], self.sizes[1]):
            with self.subTest(size=size):
                self.check_survives(self.content[:size], 0)

    def test_zeros_from_each_byte(self) -> None:
        """After a crash, a file may have its new size but not its new data."""
        for size in range(self.sizes[1], self.sizes[2] - 1):
            with self.subTest(size=size):
                zeros = bytes(self.sizes[2] - size)
                self.check_survives(self.content[:size] + zeros, 2)

    def test_flipped_byte_before_the_last_frame_is_refused(self) -> None:
        for position in range(self.sizes[1]):
            with self.subTest(position=position):
                damaged = bytearray(self.content)
                damaged[position] ^= 0x10
                self.log.write_bytes(damaged)
                self.assert_refused(f'{self.log}: offset ')

    def test_offset_of_the_damaged_frame_is_named(self) -> None:
        damaged = bytearray(self.content)
        damaged[self.sizes[1] - 1] ^= 0xFF
        self.log.write_bytes(damaged)
        self.assert_refused(f'{self.log}: offset {self.sizes[0]}:')

    def test_flipped_byte_in_the_last_frame_is_never_read(self) -> None:
        for position in range(self.sizes[1], self.sizes[2]):
            with self.subTest(position=position):
                damaged = bytearray(self.content)
                damaged[position] ^= 0x01
                self.log.write_bytes(damaged)
                try:
                    entries = self.load().entries
                except errors.DamagedDataError:
                    continue
                self.assertEqual(tuple(make_entries(1, 2)), entries)

    def test_empty_log_file_is_refused(self) -> None:
        self.log.write_bytes(b'')
        self.assert_refused(f'{self.log}: offset 0:')


class IdentityTest(StorageTestCase):
    """Guards against a directory that is damaged or used by a wrong member."""

    def test_store_id_is_kept(self) -> None:
        self.open().close()
        storage = _storage.Storage(str(self.directory), 'm1')
        self.addCleanup(storage.close)
        identity = storage.open('store-2')
        self.assertEqual('store-1', identity.store_id)
        self.assertEqual(FOUNDING, identity.founding)

    def test_other_member_is_refused(self) -> None:
        self.open().close()
        with self.assertRaisesRegex(
            errors.DamagedDataError, 'found member m1'
        ):
            self.open('m2')

    def test_lost_files_are_refused(self) -> None:
        for name in ('identity', 'log'):
            with self.subTest(name=name):
                path = self.directory / name
                self.open().close()
                content = path.read_bytes()
                path.unlink()
                self.assert_refused(name, 'is missing')
                path.write_bytes(content)

    def test_damaged_identity_is_refused(self) -> None:
        self.open().close()
        path = self.directory / 'identity'
        content = path.read_bytes()
        for position in range(len(content) - 1):
            damaged = bytearray(content)
            damaged[position] ^= 0x01
            path.write_bytes(damaged)
            with self.subTest(position=position):
                self.assert_refused(f'{path}: offset 0:')

    def test_directory_in_use_is_refused(self) -> None:
        self.open()
        with self.assertRaises(errors.FulmarseamError) as caught:
            self.open()
        self.assertIs(errors.ErrorKind.UNAVAILABLE, caught.exception.kind)


class UnavailableTest(StorageTestCase):
    """Guards against sound files that are taken for damaged.

    The owner deletes the files of a damaged directory.
    """

    def test_a_lock_file_that_cannot_be_opened_is_no_damage(self) -> None:
        failure = OSError(24, 'Too many open files')
        with mock.patch.object(os, 'open', side_effect=failure):
            self.check_unavailable()

    def test_a_directory_without_permission_is_no_damage(self) -> None:
        failure = PermissionError(13, 'Permission denied')
        with mock.patch.object(os, 'open', side_effect=failure):
            self.check_unavailable()

    def test_a_file_that_cannot_be_read_is_no_damage(self) -> None:
        self.open().close()
        failure = OSError(24, 'Too many open files')
        with mock.patch.object(
            pathlib.Path, 'read_bytes', side_effect=failure
        ):
            self.check_unavailable()
            with self.assertRaises(errors.FulmarseamError) as caught:
                _storage.load_or_assign_member_id(
                    str(self.directory), ids.HostId('h')
                )
        self.assertIs(errors.ErrorKind.UNAVAILABLE, caught.exception.kind)

    def check_unavailable(self) -> None:
        """Check that the directory cannot be opened but is not damaged."""
        with self.assertRaises(errors.FulmarseamError) as caught:
            self.open()
        self.assertIs(errors.ErrorKind.UNAVAILABLE, caught.exception.kind)
        self.assertNotIsInstance(caught.exception, errors.DamagedDataError)


class FailedSyncTest(StorageTestCase):
    """Guards against answers based on data that was not synced."""

    def test_nothing_is_written_after_a_failed_sync(self) -> None:
        storage = self.open()
        storage.load(FOUNDING)
        record = _core_types.TermRecord(1, None)
        failure = OSError(5, 'Input/output error')
        with mock.patch.object(os, 'fdatasync', side_effect=failure):
            with self.assertRaises(_storage.StorageFailedError):
                storage.write([record])
        size = self.log.stat().st_size
        with self.assertRaises(_storage.StorageFailedError):
            storage.write([record])
        self.assertEqual(size, self.log.stat().st_size)

    def test_each_write_is_synced(self) -> None:
        storage = self.open()
        storage.load(FOUNDING)
        with mock.patch.object(os, 'fdatasync') as sync:
            storage.write([_core_types.TermRecord(1, None)])
            storage.write([_core_types.EntriesRecord(make_entries(1, 1))])
        self.assertEqual(2, sync.call_count)


class SnapshotTest(StorageTestCase):
    """Guards against a snapshot that does not match its log."""

    def setUp(self) -> None:
        super().setUp()
        self.snapshot = _core_types.make_snapshot(
            4, 1, wire.GroupMembers(), b'state'
        )
        self.record = _core_types.SnapshotRecord(
            snapshot=self.snapshot,
            base_index=2,
            base_term=1,
            entries=make_entries(3, 3),
            term=2,
            vote='m1',
        )
        self.write([_core_types.EntriesRecord(make_entries(1, 5))])

    def test_snapshot_and_log_are_read_back(self) -> None:
        self.write([self.record], [_core_types.TermRecord(3, None)])
        state = self.load()
        self.assertEqual(self.snapshot, state.snapshot)
        self.assertEqual(2, state.base_index)
        self.assertEqual(tuple(make_entries(3, 3)), state.entries)
        self.assertEqual((3, None), (state.term, state.vote))

    def test_crash_between_snapshot_and_log(self) -> None:
        """The new snapshot is on disk, but the log is still the old one."""
        received = _core_types.make_snapshot(
            9, 2, wire.GroupMembers(), b'state'
        )
        for snapshot, entries in ((self.snapshot, 5), (received, 0)):
            with self.subTest(index=snapshot.meta.index):
                storage = self.open()
                storage.load(FOUNDING)
                record = self.record
                with mock.patch.object(
                    storage, '_rewrite_log', side_effect=KeyboardInterrupt
                ):
                    with self.assertRaises(KeyboardInterrupt):
                        storage.write(
                            [
                                _core_types.SnapshotRecord(
                                    snapshot, 9, 2, [], record.term, None
                                )
                            ]
                        )
                storage.close()
                state = self.load()
                self.assertEqual(snapshot, state.snapshot)
                self.assertEqual(entries, len(state.entries))
        self.write([_core_types.EntriesRecord(make_entries(10, 1, 2))])
        self.assertEqual(tuple(make_entries(10, 1, 2)), self.load().entries)

    def test_flipped_byte_is_refused(self) -> None:
        self.write([self.record])
        path = next(self.directory.glob('snapshot-*'))
        content = path.read_bytes()
        for position in range(len(content)):
            damaged = bytearray(content)
            damaged[position] ^= 0x04
            path.write_bytes(damaged)
            with self.subTest(position=position):
                self.assert_refused(f'{path}: offset ')

    def test_lost_snapshot_is_refused(self) -> None:
        self.write([self.record])
        next(self.directory.glob('snapshot-*')).unlink()
        self.assert_refused(f'{self.log}: offset 0:')

    def test_unfinished_snapshot_is_ignored(self) -> None:
        (self.directory / 'snapshot-00000000000000000009.tmp').touch()
        self.assertIsNone(self.load().snapshot)
        self.assertEqual([], list(self.directory.glob('*.tmp')))

    def test_files_hold_what_the_replica_recorded(self) -> None:
        """The state read from files equals that of the simulated disk."""
        for seed in range(4):
            with self.subTest(seed=seed):
                self._compare_with_simulation(seed)

    def _compare_with_simulation(self, seed: int) -> None:
        run = simulation.Simulation(seed, 3)
        disk = run.nodes['n0'].disk
        directory = self.directory / str(seed)
        storage = _storage.Storage(str(directory), 'n0')
        self.addCleanup(storage.close)
        founding = wire.Founding(group='g', members=disk.state.initial_members)
        storage.bind(storage.open('s'), founding)
        storage.load(founding)
        write = disk.write

        def write_both(records: list[_core_types.Record]) -> None:
            write(records)
            storage.write(records)

        disk.write = write_both  # type: ignore[method-assign]
        with mock.patch.multiple(
            os, fsync=lambda file: None, fdatasync=lambda file: None
        ):
            simulation.Faults(run).run(10.0)
        storage.close()
        storage.open('s')
        state = storage.load(founding)
        expected = disk.state
        self.assertEqual(
            (expected.term, expected.vote, expected.snapshot),
            (state.term, state.vote, state.snapshot),
        )
        self.assertEqual(
            (expected.base_index, expected.entries),
            (state.base_index, state.entries),
        )


class FrameTest(unittest.TestCase):
    """Guards against zero bytes that are read as valid frames."""

    def test_zeros_are_no_frame(self) -> None:
        zeros = memoryview(bytes(64))
        self.assertIsNone(_storage_frames.read_frame(zeros, 0))
