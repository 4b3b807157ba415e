"""Tests of record table, replication, holder and journal."""

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
from fulmarseam.records import _table

KEY = 'r.5.random-0001'
ANSWER = wire.StoredAnswer(200, [(b'a', b'b')], b'done')
GROUP = wire.RecordGroup(
    name='r',
    generation=5,
    primary='e0',
    backup='e1',
    lost_before=3,
    primary_incarnation=1,
    backup_incarnation=1,
)


def make_group(**fields: object) -> wire.RecordGroup:
    """Return the group of the tests with some fields changed."""
    names = GROUP.__struct_fields__
    values = {name: getattr(GROUP, name) for name in names}
    return wire.RecordGroup(**{**values, **fields})


def make_claim(
    attempt: str = 'a', key: str = KEY, fingerprint: str = 'f'
) -> wire.RecordClaim:
    return wire.RecordClaim(
        region='r',
        key=key,
        fingerprint=fingerprint,
        attempt=attempt,
        deadline_ms=1_000,
    )


def make_finish(
    attempt: str = 'a', answer: wire.StoredAnswer | None = ANSWER
) -> wire.RecordFinish:
    return wire.RecordFinish(
        region='r', key=KEY, attempt=attempt, answer=answer
    )


def make_release(attempt: str = 'a') -> wire.RecordRelease:
    return wire.RecordRelease(region='r', key=KEY, attempt=attempt)


class TableTest(unittest.TestCase):
    """Guards against a second FRESH and against lost answers."""

    def setUp(self) -> None:
        self.table = records.RecordTable()

    def claim(self, now: float, *args: str, **fields: str) -> wire.Verdict:
        message = make_claim(*args, **fields)
        return self.table.claim(now, GROUP, message).verdict

    def test_only_the_first_attempt_is_fresh(self) -> None:
        self.assertEqual(wire.Verdict.FRESH, self.claim(0.0, 'a'))
        self.assertEqual(wire.Verdict.IN_PROGRESS, self.claim(0.1, 'b'))
        self.assertEqual(wire.Verdict.FRESH, self.claim(0.2, 'a'))

    def test_claim_past_its_deadline_is_unknown(self) -> None:
        self.claim(0.0, 'a')
        self.assertEqual(wire.Verdict.UNKNOWN, self.claim(1.0, 'a'))
        self.assertEqual(wire.Verdict.UNKNOWN, self.claim(1.0, 'b'))

    def test_other_content_is_a_conflict(self) -> None:
        self.claim(0.0, 'a')
        verdict = self.claim(0.1, 'b', fingerprint='other')
        self.assertEqual(wire.Verdict.CONFLICT, verdict)
        self.table.finish(0.2, make_finish())
        verdict = self.claim(0.3, 'b', fingerprint='other')
        self.assertEqual(wire.Verdict.CONFLICT, verdict)

    def test_stored_answer_is_returned(self) -> None:
        self.claim(0.0, 'a')
        self.assertIsNotNone(self.table.finish(0.1, make_finish()))
        decision = self.table.claim(9.0, GROUP, make_claim('b'))
        self.assertEqual(wire.Verdict.DONE, decision.verdict)
        self.assertEqual(ANSWER, decision.answer)

    def test_late_answer_replaces_unknown_but_no_answer(self) -> None:
        self.claim(0.0, 'a')
        self.table.finish(0.1, make_finish(answer=None))
        self.assertEqual(wire.Verdict.UNKNOWN, self.claim(0.2, 'b'))
        self.assertIsNone(self.table.finish(0.3, make_finish(answer=None)))
        self.assertIsNotNone(self.table.finish(0.4, make_finish()))
        other = wire.StoredAnswer(500, [], b'')
        self.assertIsNone(self.table.finish(0.5, make_finish(answer=other)))
        self.assertIsNone(self.table.finish(0.6, make_finish(answer=None)))
        self.assertEqual(wire.Verdict.DONE, self.claim(0.7, 'b'))

    def test_finish_of_another_attempt_changes_nothing(self) -> None:
        self.claim(0.0, 'a')
        self.assertIsNone(self.table.finish(0.1, make_finish('b')))
        self.assertEqual(wire.Verdict.IN_PROGRESS, self.claim(0.2, 'c'))

    def test_release_frees_the_key_for_another_attempt(self) -> None:
        self.claim(0.0, 'a')
        self.assertIsNone(self.table.release(0.1, make_release('b')))
        self.assertIsNotNone(self.table.release(0.1, make_release('a')))
        self.assertEqual(wire.Verdict.FRESH, self.claim(0.2, 'c'))
        self.assertIsNone(self.table.release(0.3, make_release('a')))
        self.assertEqual(wire.Verdict.IN_PROGRESS, self.claim(0.4, 'd'))

    def test_late_claim_after_its_release_takes_no_hold(self) -> None:
        self.table.release(0.0, make_release('a'))
        self.assertEqual(wire.Verdict.UNKNOWN, self.claim(0.1, 'a'))
        self.assertEqual(wire.Verdict.FRESH, self.claim(0.2, 'b'))

    def test_late_release_deletes_no_outcome(self) -> None:
        for answer in (ANSWER, None):
            table = records.RecordTable()
            table.claim(0.0, GROUP, make_claim('a'))
            table.finish(0.1, make_finish(answer=answer))
            self.assertIsNone(table.release(0.2, make_release('a')))
            decision = table.claim(0.3, GROUP, make_claim('b'))
            self.assertNotEqual(wire.Verdict.FRESH, decision.verdict)

    def test_generation_that_may_be_lost_is_never_fresh(self) -> None:
        for key in ('r.2.random-0001', 'r.0.random-0001'):
            self.assertEqual(wire.Verdict.UNKNOWN, self.claim(0.0, key=key))
        verdict = self.claim(0.0, key='r.3.random-0001')
        self.assertEqual(wire.Verdict.FRESH, verdict)

    def test_of_a_lost_generation_only_answers_count(self) -> None:
        self.claim(0.0, 'a')
        lost = make_group(generation=9, lost_before=9)
        for fingerprint in ('other', 'f'):
            claim = make_claim('b', fingerprint=fingerprint)
            verdict = self.table.claim(0.1, lost, claim).verdict
            self.assertEqual(wire.Verdict.UNKNOWN, verdict)
        self.table.finish(0.2, make_finish())
        for fingerprint, verdict in (
            ('other', wire.Verdict.UNKNOWN),
            ('f', wire.Verdict.DONE),
        ):
            claim = make_claim('b', fingerprint=fingerprint)
            self.assertEqual(
                verdict, self.table.claim(0.3, lost, claim).verdict
            )

    def test_old_generations_are_dropped(self) -> None:
        self.claim(0.0, 'a', key='r.3.random-0001')
        self.claim(0.0, 'a')
        self.assertEqual(1, self.table.drop_below(4))
        self.assertEqual(1, len(self.table))

    def test_large_bodies_are_not_kept(self) -> None:
        self.claim(0.0, 'a')
        body = b'x' * (records.KEPT_BODY_BYTES + 1)
        self.table.finish(
            0.1, make_finish(answer=wire.StoredAnswer(200, [], body))
        )
        decision = self.table.claim(0.2, GROUP, make_claim('b'))
        self.assertEqual(wire.Verdict.DONE, decision.verdict)
        self.assertEqual(wire.StoredAnswer(200, [], None), decision.answer)

    def test_oldest_bodies_give_way_when_memory_is_full(self) -> None:
        keys = [f'r.5.random-{number:04d}' for number in range(3)]
        with mock.patch.object(_table, 'KEPT_BYTES_TOTAL', 8):
            for key in keys:
                self.claim(0.0, 'a', key=key)
                finish = wire.RecordFinish(
                    region='r', key=key, attempt='a', answer=ANSWER
                )
                self.table.finish(0.1, finish)
        bodies = []
        for key in keys:
            answer = self.table.claim(9.0, GROUP, make_claim('b', key)).answer
            assert answer is not None
            bodies.append(answer.body)
        self.assertEqual([None, b'done', b'done'], bodies)

    def test_malformed_keys_are_no_keys(self) -> None:
        for key in ('', 'r.5', 'r.x.random-0001', 'R.5.random-0001', KEY[:8]):
            self.assertIsNone(records.parse_key(key), key)
        self.assertEqual(('r', 5), records.parse_key(KEY))


class ReplicationTest(unittest.TestCase):
    """Guards against a backup that lacks or repeats a write."""

    def setUp(self) -> None:
        self.table = records.RecordTable()
        stream = wire.RecordStream('e0', 1, 5)
        self.outbox = records.Outbox(stream, lambda: self.table.rows(0.0))
        self.inbox = records.Inbox()
        self.copy: dict[str, wire.RecordRow] = {}

    def write(self, key: str, attempt: str | None) -> None:
        row = None
        if attempt is not None:
            row = wire.RecordRow(key, 'f', attempt, wire.RecordState.UNKNOWN)
        write = wire.RecordWrite(key, row)
        self.table.apply(0.0, write)
        self.outbox.add(write)

    def deliver(
        self, message: wire.RecordReplicate | wire.RecordChunk
    ) -> wire.RecordProgress:
        intake = self.inbox.take(message)
        if intake.rows is not None:
            self.copy = {row.key: row for row in intake.rows}
        for write in intake.writes:
            self.copy.pop(write.key, None)
            if write.row is not None:
                self.copy[write.key] = write.row
        return intake.progress

    def pump(self) -> list[wire.RecordReplicate | wire.RecordChunk]:
        sent = []
        while self.outbox.has_work():
            message = self.outbox.next_message()
            sent.append(message)
            self.outbox.take_progress(message, self.deliver(message))
        return sent

    def assert_equal_tables(self) -> None:
        rows = {row.key: row for row in self.table.rows(0.0)}
        self.assertEqual(rows, self.copy)

    def test_new_backup_gets_a_full_copy_in_parts(self) -> None:
        for number in range(1_200):
            self.write(f'k{number}', 'a')
        self.outbox.start_generation(GROUP)
        first = self.outbox.next_message()
        progress = self.deliver(first)
        self.assertIsNone(progress.applied)
        self.assertFalse(self.inbox.has_copy(5))
        self.outbox.take_progress(first, progress)
        self.write('late', 'b')
        self.write('k0', None)
        self.assertEqual(3, len(self.pump()))
        self.assertTrue(self.inbox.has_copy(5))
        self.assert_equal_tables()

    def test_late_repeats_change_nothing(self) -> None:
        self.outbox.start_generation(GROUP)
        self.write('k', 'a')
        sent = self.pump()
        self.write('k', None)
        sent += self.pump()
        self.write('k', 'b')
        sent += self.pump()
        for message in [*sent, *reversed(sent)]:
            self.deliver(message)
            self.assert_equal_tables()

    def test_missing_writes_lead_to_a_new_copy(self) -> None:
        self.outbox.start_generation(GROUP)
        self.write('k', 'a')
        self.pump()
        self.inbox.applied = 0
        self.copy = {}
        self.write('l', 'a')
        self.pump()
        self.assert_equal_tables()

    def test_restarted_backup_gets_a_new_copy(self) -> None:
        self.outbox.start_generation(GROUP)
        self.write('k', 'a')
        self.pump()
        self.inbox = records.Inbox()
        self.copy = {}
        self.outbox.start_generation(
            make_group(generation=6, backup_incarnation=2)
        )
        self.assertEqual(-1, self.outbox.acked)
        self.pump()
        self.assert_equal_tables()

    def test_same_backup_goes_on_but_confirms_the_generation(self) -> None:
        self.outbox.start_generation(GROUP)
        self.write('k', 'a')
        self.pump()
        self.outbox.start_generation(make_group(generation=6))
        self.assertEqual(-1, self.outbox.acked)
        self.assertFalse(self.inbox.has_copy(6))
        sent = self.pump()
        self.assertIsInstance(sent[0], wire.RecordReplicate)
        self.assertEqual(1, self.outbox.acked)
        self.assertTrue(self.inbox.has_copy(6))

    def test_parts_of_an_older_copy_are_ignored(self) -> None:
        self.write('k', 'a')
        self.outbox.start_generation(GROUP)
        old = self.outbox.next_message()
        self.write('k', 'b')
        self.outbox.start_generation(
            make_group(generation=6, backup_incarnation=2)
        )
        self.pump()
        self.deliver(old)
        self.assert_equal_tables()

    def test_part_of_an_older_copy_does_not_enter_a_newer_one(self) -> None:
        for number in range(1_200):
            self.write(f'k{number}', 'a')
        self.outbox.start_generation(GROUP)
        first = self.outbox.next_message()
        self.outbox.take_progress(first, self.deliver(first))
        old = self.outbox.next_message()
        for number in range(1_200):
            self.write(f'k{number}', 'b')
        self.outbox.start_generation(
            make_group(generation=6, backup_incarnation=2)
        )
        first = self.outbox.next_message()
        self.outbox.take_progress(first, self.deliver(first))
        self.deliver(old)
        self.pump()
        self.assert_equal_tables()

    def test_answer_of_an_older_generation_confirms_nothing(self) -> None:
        self.outbox.start_generation(GROUP)
        self.write('k', 'a')
        message = self.outbox.next_message()
        self.outbox.start_generation(
            make_group(generation=6, backup_incarnation=2)
        )
        self.outbox.take_progress(message, wire.RecordProgress(applied=1))
        self.assertEqual(-1, self.outbox.acked)


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


class HolderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers of a holder that must not answer."""

    async def asyncSetUp(self) -> None:
        self.group = GROUP
        self.current = {'e0': True, 'e1': True}
        self.holders = {
            name: records.RecordHolder(
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
            name: Peer(holder.handle) for name, holder in self.holders.items()
        }
        for holder in self.holders.values():
            await self.enterAsyncContext(holder)
            holder.update([GROUP])

    async def refuse(self, name: str, message: wire.Message) -> None:
        with self.assertRaises(errors.FulmarseamError) as caught:
            await self.holders[name].handle(message)
        kind = caught.exception.kind
        self.assertEqual(errors.ErrorKind.RECORD_UNAVAILABLE, kind)

    def change_group(self, **fields: object) -> None:
        self.group = make_group(**fields)
        for holder in self.holders.values():
            holder.update([self.group])

    async def test_claim_is_at_the_backup_when_it_is_answered(self) -> None:
        answer = await self.holders['e0'].handle(make_claim())
        self.assertEqual(
            wire.RecordVerdict(verdict=wire.Verdict.FRESH), answer
        )
        self.change_group(
            generation=6, primary='e1', backup='e0', backup_ready=True
        )
        answer = await self.holders['e1'].handle(make_claim('b'))
        self.assertEqual(
            wire.RecordVerdict(verdict=wire.Verdict.IN_PROGRESS), answer
        )

    async def test_nothing_is_answered_without_the_backup(self) -> None:
        self.peers['e1'].reachable = False
        await self.refuse('e0', make_claim())
        self.peers['e1'].reachable = True
        self.change_group(generation=6, backup=None, backup_incarnation=0)
        await self.refuse('e0', make_claim('b', 'r.6.random-0002'))

    async def test_nothing_is_answered_without_a_lease(self) -> None:
        self.current['e0'] = False
        await self.refuse('e0', make_claim())
        self.current = {'e0': True, 'e1': False}
        await self.refuse('e0', make_claim('b'))

    async def test_only_the_primary_of_the_row_answers(self) -> None:
        await self.refuse('e1', make_claim())
        await self.holders['e0'].handle(make_claim())
        await self.holders['e0'].handle(make_finish())
        self.change_group(generation=6, primary_incarnation=2)
        # The stored answer would need no call of the backup.
        await self.refuse('e0', make_claim('b'))

    async def test_row_that_is_not_in_force_yet_is_waited_for(self) -> None:
        self.group = make_group(generation=6)
        await self.refuse('e0', make_claim())

    async def test_key_of_a_later_generation_is_refused(self) -> None:
        await self.refuse('e0', make_claim(key='r.6.random-0001'))
        await self.refuse('e0', make_claim(key='s.5.random-0001'))

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
        await self.holders['e0'].handle(make_claim('z', 'r.5.random-0009'))
        handle = self.peers['e1'].handle
        gate = asyncio.Event()

        async def wait_and_handle(
            message: wire.Message,
        ) -> wire.Message | None:
            await gate.wait()
            return await handle(message)

        self.peers['e1'].handle = wait_and_handle
        claim = asyncio.create_task(self.holders['e0'].handle(make_claim()))
        await asyncio.sleep(0)
        release = asyncio.create_task(
            self.holders['e0'].handle(make_release())
        )
        await asyncio.sleep(0)
        gate.set()
        answer = await claim
        await release
        assert isinstance(answer, wire.RecordVerdict)
        self.assertIsNot(wire.Verdict.FRESH, answer.verdict)

    async def test_answers_outlive_the_loss_of_both_holders(self) -> None:
        await self.holders['e0'].handle(make_claim())
        await self.holders['e0'].handle(make_finish())
        self.change_group(generation=7, lost_before=7)
        answer = await self.holders['e0'].handle(make_claim('b'))
        assert isinstance(answer, wire.RecordVerdict)
        self.assertEqual(ANSWER, answer.answer)

    async def test_copies_are_listed_by_the_backup_only(self) -> None:
        await self.holders['e0'].handle(make_claim())
        copies = [h.list_copies() for h in self.holders.values()]
        copy = wire.RecordCopy(region='r', generation=5)
        self.assertEqual([[], [copy]], copies)

    async def test_client_finds_the_primary_and_keeps_the_answer(
        self,
    ) -> None:
        client = records.RecordClient(
            'e1',
            lambda region: self.group if region == 'r' else None,
            lambda entry: self.peers.get(entry),
            self.holders['e1'].handle,
        )
        verdict = await client.claim(KEY, 'f', 'a', 5.0)
        self.assertIs(wire.Verdict.FRESH, verdict.verdict)
        await client.finish(KEY, 'a', ANSWER)
        await client.release(KEY, 'a')
        verdict = await client.claim(KEY, 'f', 'b', 5.0)
        self.assertEqual(ANSWER, verdict.answer)
        for key in ('bad', 's.5.random-0001'):
            with self.assertRaises(errors.FulmarseamError) as caught:
                await client.claim(key, 'f', 'c', 5.0)
            kind = caught.exception.kind
            self.assertIs(errors.ErrorKind.REQUEST_ID_REQUIRED, kind)


def sync_after(
    gate: threading.Event, sync: Callable[[int], None], file: int
) -> None:
    """Sync a file once the gate is open."""
    gate.wait(5.0)
    sync(file)


class JournalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, damaged and reordered journal entries."""

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
        claim = make_claim('0001', 'r.5.random-0001')
        decision = table.claim(-1e9, GROUP, claim)
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

    async def start_pair(self, name: str) -> records.RecordHolder:
        """Return holder e0; only `name` of e0 and e1 has a journal."""
        holders: dict[str, records.RecordHolder] = {}
        for entry in ('e0', 'e1'):
            holders[entry] = records.RecordHolder(
                entry,
                1,
                lambda region: GROUP,
                lambda: True,
                lambda other: Peer(holders[other].handle),
                self.directory if entry == name else None,
            )
            await self.enterAsyncContext(holders[entry])
            holders[entry].update([GROUP])
        return holders['e0']

    async def test_answer_waits_for_the_sync(self) -> None:
        for name in ('e0', 'e1'):
            with self.subTest(journal_at=name):
                holder = await self.start_pair(name)
                gate = threading.Event()
                wait_and_sync = functools.partial(
                    sync_after, gate, os.fdatasync
                )
                claim = make_claim(name, f'r.5.random-{name}-01')
                with mock.patch.object(os, 'fdatasync', wait_and_sync):
                    call = asyncio.create_task(holder.handle(claim))
                    done, _ = await asyncio.wait({call}, timeout=0.2)
                    gate.set()
                    self.assertEqual(set(), done)
                    answer = await call
                fresh = wire.RecordVerdict(verdict=wire.Verdict.FRESH)
                self.assertEqual(fresh, answer)

    async def test_failed_sync_stops_the_holder(self) -> None:
        holder = await self.start_pair('e0')
        failure = OSError(errno.EIO, 'input/output error')
        with mock.patch.object(os, 'fdatasync', side_effect=failure):
            with self.assertRaises(records.JournalFailedError):
                await holder.handle(make_claim())
        self.assertTrue(holder.failed.done())
        with self.assertRaises(records.JournalFailedError):
            await holder.handle(make_claim('b'))
