"""Tests of the records service, its client and its journal."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import errno
import functools
import os
import pathlib
import tempfile
import threading
import unittest
from unittest import mock

from fulmarseam import errors
from fulmarseam import records
from fulmarseam import wire
from tests import records_fixtures


class Peer:
    """Stands in for the client of another entry."""

    def __init__(
        self,
        handle: Callable[[wire.Message], Awaitable[wire.Message | None]],
    ) -> None:
        self.handle = handle
        self.reachable = True

    async def call(
        self, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        if not self.reachable:
            await asyncio.sleep(timeout_s)
            raise errors.TransportError('no answer')
        answer = await self.handle(wire.decode(wire.encode(message)))
        assert answer is not None
        return wire.decode(wire.encode(answer))


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against two replicas that both let a request run.

    That happens when a replica answers without being the primary in force,
    without its lease or without the backup.
    """

    async def asyncSetUp(self) -> None:
        self.group = records_fixtures.GROUP
        self.current = {'e0': True, 'e1': True}
        self.servers = {
            name: records.RecordServer(
                name,
                1,
                lambda region: self.group,
                lambda name=name: self.current[name],
                lambda entry: self.peers.get(entry),
                None,
            )
            for name in ('e0', 'e1')
        }
        self.peers = {
            name: Peer(server.handle) for name, server in self.servers.items()
        }
        for server in self.servers.values():
            await self.enterAsyncContext(server)
            server.update_groups([records_fixtures.GROUP])

    async def refuse(self, name: str, message: wire.Message) -> None:
        with self.assertRaises(errors.FulmarseamError) as caught:
            await self.servers[name].handle(message)
        kind = caught.exception.kind
        self.assertEqual(errors.ErrorKind.RECORD_UNAVAILABLE, kind)

    def change_group(self, **fields: object) -> None:
        self.group = records_fixtures.make_group(**fields)
        for server in self.servers.values():
            server.update_groups([self.group])

    async def test_claim_is_at_the_backup_before_it_is_answered(self) -> None:
        answer = await self.servers['e0'].handle(records_fixtures.make_claim())
        self.assertEqual(
            wire.RecordVerdict(verdict=wire.Verdict.FRESH), answer
        )
        self.change_group(
            generation=6, primary='e1', backup='e0', backup_ready=True
        )
        answer = await self.servers['e1'].handle(
            records_fixtures.make_claim('b')
        )
        self.assertEqual(
            wire.RecordVerdict(verdict=wire.Verdict.IN_PROGRESS), answer
        )

    async def test_nothing_is_answered_without_the_backup(self) -> None:
        self.peers['e1'].reachable = False
        await self.refuse('e0', records_fixtures.make_claim())
        self.peers['e1'].reachable = True
        self.change_group(generation=6, backup=None, backup_incarnation=0)
        await self.refuse(
            'e0', records_fixtures.make_claim('b', 'r.6.random-0002')
        )

    async def test_nothing_is_answered_without_a_lease(self) -> None:
        self.current['e0'] = False
        await self.refuse('e0', records_fixtures.make_claim())
        self.current = {'e0': True, 'e1': False}
        await self.refuse('e0', records_fixtures.make_claim('b'))

    async def test_only_the_primary_of_the_group_answers(self) -> None:
        await self.refuse('e1', records_fixtures.make_claim())
        await self.servers['e0'].handle(records_fixtures.make_claim())
        await self.servers['e0'].handle(records_fixtures.make_finish())
        self.change_group(generation=6, primary_incarnation=2)
        # Returning the stored answer would not involve the backup.
        await self.refuse('e0', records_fixtures.make_claim('b'))

    async def test_group_that_is_not_in_force_yet_is_refused(self) -> None:
        self.group = records_fixtures.make_group(generation=6)
        await self.refuse('e0', records_fixtures.make_claim())

    async def test_key_of_a_later_generation_is_refused(self) -> None:
        await self.refuse(
            'e0', records_fixtures.make_claim(key='r.6.random-0001')
        )
        await self.refuse(
            'e0', records_fixtures.make_claim(key='s.5.random-0001')
        )

    async def test_backup_refuses_other_generations_and_primaries(
        self,
    ) -> None:
        for generation, primary, incarnation in (
            (4, 'e0', 1),
            (6, 'e0', 1),
            (5, 'e2', 1),
            (5, 'e0', 2),
        ):
            message = wire.RecordChunk(
                region='r',
                generation=generation,
                stream=wire.RecordStream(primary, incarnation, generation),
                copy=1,
                index=0,
                last=True,
                number=0,
                rows=[],
            )
            await self.refuse('e1', message)
        self.change_group(generation=6, backup_incarnation=2)
        message = wire.RecordChunk(
            region='r',
            generation=6,
            stream=wire.RecordStream('e0', 1, 5),
            copy=1,
            index=0,
            last=True,
            number=0,
            rows=[],
        )
        await self.refuse('e1', message)

    async def test_claim_released_while_it_waits_is_not_fresh(self) -> None:
        await self.servers['e0'].handle(
            records_fixtures.make_claim('z', 'r.5.random-0009')
        )
        handle = self.peers['e1'].handle
        gate = asyncio.Event()

        async def wait_and_handle(
            message: wire.Message,
        ) -> wire.Message | None:
            await gate.wait()
            return await handle(message)

        self.peers['e1'].handle = wait_and_handle
        claim = asyncio.create_task(
            self.servers['e0'].handle(records_fixtures.make_claim())
        )
        await asyncio.sleep(0)
        release = asyncio.create_task(
            self.servers['e0'].handle(records_fixtures.make_release())
        )
        await asyncio.sleep(0)
        gate.set()
        answer = await claim
        await release
        assert isinstance(answer, wire.RecordVerdict)
        self.assertIsNot(wire.Verdict.FRESH, answer.verdict)

    async def test_answers_outlive_the_loss_of_both_replicas(self) -> None:
        await self.servers['e0'].handle(records_fixtures.make_claim())
        await self.servers['e0'].handle(records_fixtures.make_finish())
        self.change_group(generation=7, lost_before=7)
        answer = await self.servers['e0'].handle(
            records_fixtures.make_claim('b')
        )
        assert isinstance(answer, wire.RecordVerdict)
        self.assertEqual(records_fixtures.ANSWER, answer.answer)

    async def test_copies_are_listed_by_the_backup_only(self) -> None:
        await self.servers['e0'].handle(records_fixtures.make_claim())
        copies = [server.list_copies() for server in self.servers.values()]
        copy = wire.RecordCopy(region='r', generation=5)
        self.assertEqual([[], [copy]], copies)

    async def test_client_finds_the_primary_and_keeps_the_answer(
        self,
    ) -> None:
        client = records.RecordClient(
            'e1',
            lambda region: self.group if region == 'r' else None,
            lambda entry: self.peers.get(entry),
            self.servers['e1'].handle,
        )
        verdict = await client.claim(records_fixtures.KEY, 'f', 'a', 5.0)
        self.assertIs(wire.Verdict.FRESH, verdict.verdict)
        await client.finish(records_fixtures.KEY, 'a', records_fixtures.ANSWER)
        await client.release(records_fixtures.KEY, 'a')
        verdict = await client.claim(records_fixtures.KEY, 'f', 'b', 5.0)
        self.assertEqual(records_fixtures.ANSWER, verdict.answer)
        for key in ('bad', 's.5.random-0001'):
            with self.assertRaises(errors.FulmarseamError) as caught:
                await client.claim(key, 'f', 'c', 5.0)
            kind = caught.exception.kind
            self.assertIs(errors.ErrorKind.REQUEST_ID_REQUIRED, kind)


def sync_after(
    gate: threading.Event, sync: Callable[[int], None], file: int
) -> None:
    """Sync a file once the gate is set."""
    gate.wait(5.0)
    sync(file)


class JournalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, damaged and reordered journal entries.

    They come from a crash during a write, a failed sync or a damaged file.
    """

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.directory = folder.name
        self.path = pathlib.Path(self.directory) / 'records.journal'

    def write(self, *attempts: str) -> None:
        journal = records.Journal(self.directory)
        journal.open()
        for attempt in attempts:
            row = wire.RecordRow(
                f'r.5.random-{attempt}',
                'f',
                attempt,
                wire.RecordState.PENDING,
                60_000,
            )
            write = wire.RecordWrite(row.key, row)
            journal.write([records.JournalEntry('r', False, 0, [write])])
        journal.close()

    def read(self) -> list[str]:
        journal = records.Journal(self.directory)
        tables = journal.open()
        journal.close()
        if 'r' not in tables:
            return []
        return [row.attempt for row in tables['r'].rows(0.0)]

    def test_writes_survive_a_restart(self) -> None:
        self.write('0001', '0002')
        self.assertEqual(['0001', '0002'], self.read())

    def test_pending_claim_is_unknown_after_a_restart(self) -> None:
        self.write('0001')
        journal = records.Journal(self.directory)
        table = journal.open()['r']
        journal.close()
        claim = records_fixtures.make_claim('0001', 'r.5.random-0001')
        decision = table.claim(-1e9, records_fixtures.GROUP, claim)
        self.assertIs(wire.Verdict.UNKNOWN, decision.verdict)

    def test_torn_tail_is_dropped_at_every_length(self) -> None:
        self.write('0001')
        kept = self.path.stat().st_size
        self.write('0002')
        whole = self.path.read_bytes()
        for end in range(kept + 1, len(whole)):
            for tail in (b'', bytes(len(whole) - end)):
                self.path.write_bytes(whole[:end] + tail)
                self.assertEqual(['0001'], self.read())
                self.assertEqual(kept, self.path.stat().st_size)
        self.write('0003')
        self.assertEqual(['0001', '0003'], self.read())

    def test_damage_before_the_end_is_refused(self) -> None:
        self.write('0001', '0002')
        whole = self.path.read_bytes()
        for offset in range(len(whole) // 2):
            data = bytearray(whole)
            data[offset] ^= 0x40
            self.path.write_bytes(data)
            with self.assertRaises(errors.DamagedDataError):
                self.read()

    def test_reset_and_drop_are_replayed(self) -> None:
        self.write('0001')
        journal = records.Journal(self.directory)
        journal.open()
        journal.write([records.JournalEntry('r', False, 6, [])])
        journal.close()
        self.assertEqual([], self.read())

    def test_every_batch_is_synced_once(self) -> None:
        journal = records.Journal(self.directory)
        journal.open()
        entry = records.JournalEntry('r', False, 0, [])
        with mock.patch.object(
            os, 'fdatasync', side_effect=os.fdatasync
        ) as sync:
            journal.write([entry] * 5)
        journal.close()
        self.assertEqual(1, sync.call_count)

    def test_nothing_is_written_after_a_failed_sync(self) -> None:
        journal = records.Journal(self.directory)
        journal.open()
        entry = records.JournalEntry('r', False, 0, [])
        failure = OSError(errno.EIO, 'input/output error')
        with mock.patch.object(os, 'fdatasync', side_effect=failure):
            with self.assertRaises(records.JournalFailedError):
                journal.write([entry])
        size = self.path.stat().st_size
        with self.assertRaises(records.JournalFailedError):
            journal.write([entry])
        self.assertEqual(size, self.path.stat().st_size)
        journal.close()

    def test_rewrite_replaces_the_content(self) -> None:
        self.write('0001', '0002')
        journal = records.Journal(self.directory)
        table = journal.open()['r']
        table.apply(0.0, wire.RecordWrite('r.5.random-0001', None))
        rows = table.rows(0.0)
        entry = records.JournalEntry(
            'r', True, 0, [wire.RecordWrite(row.key, row) for row in rows]
        )
        journal.rewrite([entry])
        journal.close()
        self.assertEqual(['0002'], self.read())

    async def start_pair(self, name: str) -> records.RecordServer:
        """Return the server of e0; of e0 and e1 only `name` has a journal."""
        servers: dict[str, records.RecordServer] = {}
        for entry in ('e0', 'e1'):
            servers[entry] = records.RecordServer(
                entry,
                1,
                lambda region: records_fixtures.GROUP,
                lambda: True,
                lambda other: Peer(servers[other].handle),
                self.directory if entry == name else None,
            )
            await self.enterAsyncContext(servers[entry])
            servers[entry].update_groups([records_fixtures.GROUP])
        return servers['e0']

    async def test_answer_waits_for_the_sync(self) -> None:
        for name in ('e0', 'e1'):
            with self.subTest(journal_at=name):
                server = await self.start_pair(name)
                gate = threading.Event()
                wait_and_sync = functools.partial(
                    sync_after, gate, os.fdatasync
                )
                claim = records_fixtures.make_claim(
                    name, f'r.5.random-{name}-01'
                )
                with mock.patch.object(os, 'fdatasync', wait_and_sync):
                    call = asyncio.create_task(server.handle(claim))
                    done, _ = await asyncio.wait({call}, timeout=0.2)
                    gate.set()
                    self.assertEqual(set(), done)
                    answer = await call
                fresh = wire.RecordVerdict(verdict=wire.Verdict.FRESH)
                self.assertEqual(fresh, answer)

    async def test_failed_sync_stops_the_server(self) -> None:
        server = await self.start_pair('e0')
        failure = OSError(errno.EIO, 'input/output error')
        with mock.patch.object(os, 'fdatasync', side_effect=failure):
            with self.assertRaises(records.JournalFailedError):
                await server.handle(records_fixtures.make_claim())
        self.assertTrue(server.failed.done())
        with self.assertRaises(records.JournalFailedError):
            await server.handle(records_fixtures.make_claim('b'))
