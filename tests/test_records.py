"""Tests of the record table and its replication."""

import unittest
from unittest import mock

from fulmarseam import records
from fulmarseam import wire
from fulmarseam.records import _table
from tests import records_fixtures


class TableTest(unittest.TestCase):
    """Guards against a second FRESH verdict and against lost answers.

    A second FRESH lets a request run twice; it comes from late, repeated or
    conflicting claims, releases and results.
    """

    def setUp(self) -> None:
        self.table = records.RecordTable()

    def claim(self, now: float, *args: str, **fields: str) -> wire.Verdict:
        message = records_fixtures.make_claim(*args, **fields)
        return self.table.claim(now, records_fixtures.GROUP, message).verdict

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
        self.table.finish(0.2, records_fixtures.make_finish())
        verdict = self.claim(0.3, 'b', fingerprint='other')
        self.assertEqual(wire.Verdict.CONFLICT, verdict)

    def test_stored_answer_is_returned(self) -> None:
        self.claim(0.0, 'a')
        self.assertIsNotNone(
            self.table.finish(0.1, records_fixtures.make_finish())
        )
        decision = self.table.claim(
            9.0, records_fixtures.GROUP, records_fixtures.make_claim('b')
        )
        self.assertEqual(wire.Verdict.DONE, decision.verdict)
        self.assertEqual(records_fixtures.ANSWER, decision.answer)

    def test_late_answer_replaces_unknown_but_not_an_answer(self) -> None:
        self.claim(0.0, 'a')
        self.table.finish(0.1, records_fixtures.make_finish(answer=None))
        self.assertEqual(wire.Verdict.UNKNOWN, self.claim(0.2, 'b'))
        self.assertIsNone(
            self.table.finish(0.3, records_fixtures.make_finish(answer=None))
        )
        self.assertIsNotNone(
            self.table.finish(0.4, records_fixtures.make_finish())
        )
        other = wire.StoredAnswer(500, [], b'')
        self.assertIsNone(
            self.table.finish(0.5, records_fixtures.make_finish(answer=other))
        )
        self.assertIsNone(
            self.table.finish(0.6, records_fixtures.make_finish(answer=None))
        )
        self.assertEqual(wire.Verdict.DONE, self.claim(0.7, 'b'))

    def test_finish_of_another_attempt_changes_nothing(self) -> None:
        self.claim(0.0, 'a')
        self.assertIsNone(
            self.table.finish(0.1, records_fixtures.make_finish('b'))
        )
        self.assertEqual(wire.Verdict.IN_PROGRESS, self.claim(0.2, 'c'))

    def test_release_frees_the_key_for_another_attempt(self) -> None:
        self.claim(0.0, 'a')
        self.assertIsNone(
            self.table.release(0.1, records_fixtures.make_release('b'))
        )
        self.assertIsNotNone(
            self.table.release(0.1, records_fixtures.make_release('a'))
        )
        self.assertEqual(wire.Verdict.FRESH, self.claim(0.2, 'c'))
        self.assertIsNone(
            self.table.release(0.3, records_fixtures.make_release('a'))
        )
        self.assertEqual(wire.Verdict.IN_PROGRESS, self.claim(0.4, 'd'))

    def test_late_claim_after_its_release_does_not_block_the_key(self) -> None:
        self.table.release(0.0, records_fixtures.make_release('a'))
        self.assertEqual(wire.Verdict.UNKNOWN, self.claim(0.1, 'a'))
        self.assertEqual(wire.Verdict.FRESH, self.claim(0.2, 'b'))

    def test_late_release_keeps_the_outcome(self) -> None:
        for answer in (records_fixtures.ANSWER, None):
            table = records.RecordTable()
            table.claim(
                0.0, records_fixtures.GROUP, records_fixtures.make_claim('a')
            )
            table.finish(0.1, records_fixtures.make_finish(answer=answer))
            self.assertIsNone(
                table.release(0.2, records_fixtures.make_release('a'))
            )
            decision = table.claim(
                0.3, records_fixtures.GROUP, records_fixtures.make_claim('b')
            )
            self.assertNotEqual(wire.Verdict.FRESH, decision.verdict)

    def test_generation_that_may_be_lost_is_never_fresh(self) -> None:
        for key in ('r.2.random-0001', 'r.0.random-0001'):
            self.assertEqual(wire.Verdict.UNKNOWN, self.claim(0.0, key=key))
        verdict = self.claim(0.0, key='r.3.random-0001')
        self.assertEqual(wire.Verdict.FRESH, verdict)

    def test_lost_generation_returns_stored_answers_only(self) -> None:
        self.claim(0.0, 'a')
        lost = records_fixtures.make_group(generation=9, lost_before=9)
        for fingerprint in ('other', 'f'):
            claim = records_fixtures.make_claim('b', fingerprint=fingerprint)
            verdict = self.table.claim(0.1, lost, claim).verdict
            self.assertEqual(wire.Verdict.UNKNOWN, verdict)
        self.table.finish(0.2, records_fixtures.make_finish())
        for fingerprint, verdict in (
            ('other', wire.Verdict.UNKNOWN),
            ('f', wire.Verdict.DONE),
        ):
            claim = records_fixtures.make_claim('b', fingerprint=fingerprint)
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
        body = b'x' * (records.MAX_STORED_BODY_BYTES + 1)
        self.table.finish(
            0.1,
            records_fixtures.make_finish(
                answer=wire.StoredAnswer(200, [], body)
            ),
        )
        decision = self.table.claim(
            0.2, records_fixtures.GROUP, records_fixtures.make_claim('b')
        )
        self.assertEqual(wire.Verdict.DONE, decision.verdict)
        self.assertEqual(wire.StoredAnswer(200, [], None), decision.answer)

    def test_oldest_bodies_are_evicted_beyond_the_limit(self) -> None:
        keys = [f'r.5.random-{number:04d}' for number in range(3)]
        with mock.patch.object(_table, 'MAX_TOTAL_BODY_BYTES', 8):
            for key in keys:
                self.claim(0.0, 'a', key=key)
                finish = wire.RecordFinish(
                    region='r',
                    key=key,
                    attempt='a',
                    answer=records_fixtures.ANSWER,
                )
                self.table.finish(0.1, finish)
        bodies = []
        for key in keys:
            answer = self.table.claim(
                9.0,
                records_fixtures.GROUP,
                records_fixtures.make_claim('b', key),
            ).answer
            assert answer is not None
            bodies.append(answer.body)
        self.assertEqual([None, b'done', b'done'], bodies)

    def test_malformed_keys_are_refused(self) -> None:
        for key in (
            '',
            'r.5',
            'r.x.random-0001',
            'R.5.random-0001',
            records_fixtures.KEY[:8],
        ):
            self.assertIsNone(records.parse_key(key), key)
        self.assertEqual(('r', 5), records.parse_key(records_fixtures.KEY))


class ReplicationTest(unittest.TestCase):
    """Guards against a backup that misses a write or applies it twice.

    Messages of the stream are lost, repeated and late, and the backup
    restarts or changes with the generation.
    """

    def setUp(self) -> None:
        self.table = records.RecordTable()
        stream = wire.RecordStream('e0', 1, 5)
        self.sender = records.StreamSender(
            stream, lambda: self.table.rows(0.0)
        )
        self.receiver = records.StreamReceiver()
        self.copy: dict[str, wire.RecordRow] = {}

    def write(self, key: str, attempt: str | None) -> None:
        row = None
        if attempt is not None:
            row = wire.RecordRow(key, 'f', attempt, wire.RecordState.UNKNOWN)
        write = wire.RecordWrite(key, row)
        self.table.apply(0.0, write)
        self.sender.append(write)

    def deliver(
        self, message: wire.RecordReplicate | wire.RecordChunk
    ) -> wire.RecordProgress:
        received = self.receiver.receive(message)
        if received.rows is not None:
            self.copy = {row.key: row for row in received.rows}
        for write in received.writes:
            self.copy.pop(write.key, None)
            if write.row is not None:
                self.copy[write.key] = write.row
        return received.progress

    def pump(self) -> list[wire.RecordReplicate | wire.RecordChunk]:
        sent = []
        while self.sender.has_pending():
            message = self.sender.next_message()
            sent.append(message)
            self.sender.handle_progress(message, self.deliver(message))
        return sent

    def assert_equal_tables(self) -> None:
        rows = {row.key: row for row in self.table.rows(0.0)}
        self.assertEqual(rows, self.copy)

    def test_new_backup_gets_a_full_copy_in_parts(self) -> None:
        for number in range(1_200):
            self.write(f'k{number}', 'a')
        self.sender.start_generation(records_fixtures.GROUP)
        first = self.sender.next_message()
        progress = self.deliver(first)
        self.assertIsNone(progress.applied)
        self.assertFalse(self.receiver.has_full_copy(5))
        self.sender.handle_progress(first, progress)
        self.write('late', 'b')
        self.write('k0', None)
        self.assertEqual(3, len(self.pump()))
        self.assertTrue(self.receiver.has_full_copy(5))
        self.assert_equal_tables()

    def test_late_repeats_change_nothing(self) -> None:
        self.sender.start_generation(records_fixtures.GROUP)
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
        self.sender.start_generation(records_fixtures.GROUP)
        self.write('k', 'a')
        self.pump()
        self.receiver.applied = 0
        self.copy = {}
        self.write('l', 'a')
        self.pump()
        self.assert_equal_tables()

    def test_restarted_backup_gets_a_new_copy(self) -> None:
        self.sender.start_generation(records_fixtures.GROUP)
        self.write('k', 'a')
        self.pump()
        self.receiver = records.StreamReceiver()
        self.copy = {}
        self.sender.start_generation(
            records_fixtures.make_group(generation=6, backup_incarnation=2)
        )
        self.assertEqual(-1, self.sender.acked_number)
        self.pump()
        self.assert_equal_tables()

    def test_same_backup_continues_but_confirms_the_generation(self) -> None:
        self.sender.start_generation(records_fixtures.GROUP)
        self.write('k', 'a')
        self.pump()
        self.sender.start_generation(records_fixtures.make_group(generation=6))
        self.assertEqual(-1, self.sender.acked_number)
        self.assertFalse(self.receiver.has_full_copy(6))
        sent = self.pump()
        self.assertIsInstance(sent[0], wire.RecordReplicate)
        self.assertEqual(1, self.sender.acked_number)
        self.assertTrue(self.receiver.has_full_copy(6))

    def test_parts_of_an_older_copy_are_ignored(self) -> None:
        self.write('k', 'a')
        self.sender.start_generation(records_fixtures.GROUP)
        old = self.sender.next_message()
        self.write('k', 'b')
        self.sender.start_generation(
            records_fixtures.make_group(generation=6, backup_incarnation=2)
        )
        self.pump()
        self.deliver(old)
        self.assert_equal_tables()

    def test_part_of_an_older_copy_does_not_enter_a_newer_one(self) -> None:
        for number in range(1_200):
            self.write(f'k{number}', 'a')
        self.sender.start_generation(records_fixtures.GROUP)
        first = self.sender.next_message()
        self.sender.handle_progress(first, self.deliver(first))
        old = self.sender.next_message()
        for number in range(1_200):
            self.write(f'k{number}', 'b')
        self.sender.start_generation(
            records_fixtures.make_group(generation=6, backup_incarnation=2)
        )
        first = self.sender.next_message()
        self.sender.handle_progress(first, self.deliver(first))
        self.deliver(old)
        self.pump()
        self.assert_equal_tables()

    def test_answer_of_an_older_generation_confirms_nothing(self) -> None:
        self.sender.start_generation(records_fixtures.GROUP)
        self.write('k', 'a')
        message = self.sender.next_message()
        self.sender.start_generation(
            records_fixtures.make_group(generation=6, backup_incarnation=2)
        )
        self.sender.handle_progress(message, wire.RecordProgress(applied=1))
        self.assertEqual(-1, self.sender.acked_number)
