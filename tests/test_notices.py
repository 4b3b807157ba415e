"""Tests of what targets say about themselves in their answers."""

import asyncio
import json
import unittest

import logbook

from fulmarseam import http
from fulmarseam import ids
from fulmarseam import notices
from fulmarseam import steering
from tests import catalog_fixtures as fixtures
from tests import cut_off_case
from tests import entry_case
from tests import fakes
from tests import notice_case

RATE_PER_S = 15.0
MIN_SERVED_SHARE = 0.95
# A refusal that waits for nothing.
MAX_REFUSAL_S = 0.3


class LeavingTest(notice_case.NoticeCase):
    """Guards against requests to a target that says that it leaves."""

    async def play(self, count: int) -> None:
        """Let targets say in turn that they leave, while callers call."""

        async def leave() -> None:
            for target in self.notice_targets[:count]:
                await asyncio.sleep(0.5)
                target.is_leaving = True

        share, _ = await asyncio.gather(
            self.call_all(RATE_PER_S, 0.5 * count + notice_case.DRAIN_S + 2),
            leave(),
        )
        late = [target.count_late_arrivals() for target in self.notice_targets]
        self.assertEqual([0] * self.target_count, late)
        self.assertGreaterEqual(share, MIN_SERVED_SHARE)

    # Only announcements told entries that a target leaves.
    async def test_a_target_that_is_announced_as_ready_and_leaves(
        self,
    ) -> None:
        await self.play(1)

    async def test_most_targets_of_a_pool_leave_in_turn(self) -> None:
        await self.play(self.target_count - 1)

    async def test_a_pool_that_leaves_gets_no_requests(self) -> None:
        for target in self.notice_targets:
            target.is_leaving = True
        await self.call_all(RATE_PER_S, notice_case.DRAIN_S + 1.0)
        for target in self.notice_targets:
            self.assertEqual(0, target.count_late_arrivals())


class PauseTest(notice_case.NoticeCase):
    """Guards against requests to targets that want none for a time."""

    target_count = 3

    async def play(self, count: int, pause_s: float, after_s: float) -> float:
        """Let targets refuse for a time; return the share served."""
        loop = asyncio.get_running_loop()

        async def refuse() -> None:
            await asyncio.sleep(0.5)
            for target in self.notice_targets[:count]:
                target.retry_after = f'{pause_s:g}'
            await asyncio.sleep(0.3)
            for target in self.notice_targets[:count]:
                target.retry_after = ''

        share, _ = await asyncio.gather(
            self.call_all(RATE_PER_S, 0.8 + pause_s + after_s), refuse()
        )
        for target in self.notice_targets[:count]:
            self.assertGreater(len(target.refusals), 0)
            self.assertLessEqual(
                target.count_paused_arrivals(),
                notice_case.MAX_PAUSED_ARRIVALS,
            )
            returned_at = target.refusals[-1].time + pause_s
            self.assertLessEqual(
                target.find_first_arrival(returned_at) - returned_at,
                notice_case.MAX_RETURN_S,
            )
            self.assertLess(returned_at, loop.time())
        return share

    # A target that refused was ejected as if it had failed.
    async def test_a_target_is_used_again_when_its_time_is_over(self) -> None:
        for pause_s in (0.8, 3.0):
            share = await self.play(1, pause_s, 1.5)
            self.assertGreaterEqual(share, MIN_SERVED_SHARE)

    async def test_a_pool_that_wants_no_requests_gets_none(self) -> None:
        await self.play(self.target_count, 2.0, 1.5)
        for caller in self.callers:
            self.assertGreater(len(caller.retry_after_s), 10)
            self.assertLess(max(caller.refusal_s), MAX_REFUSAL_S)
            # The times are honest, and callers do not return together.
            self.assertGreater(max(caller.retry_after_s), 1.0)
            self.assertGreater(len(set(caller.retry_after_s)), 10)


class ReturnTest(notice_case.NoticeCase):
    """Guards against targets that get nothing after their pause."""

    target_count = 3

    async def test_a_new_process_of_a_target_that_left_is_used(self) -> None:
        target = self.notice_targets[0]
        target.is_leaving = True
        await self.call_all(RATE_PER_S, 1.0)
        for other in self.notice_targets[1:]:
            other.is_leaving = True
        target.is_leaving = False
        await self.member.announce(
            fixtures.make_record(
                't0', address=target.server.address, slots=20, born_ms=2
            )
        )
        await asyncio.sleep(0.5)
        since = asyncio.get_running_loop().time()
        share = await self.call_all(RATE_PER_S, 1.0)
        self.assertGreaterEqual(share, MIN_SERVED_SHARE)
        self.assertLess(target.find_first_arrival(since) - since, 1.0)


class RelayedNoticeTest(cut_off_case.CutOffCase):
    """Guards against requests to a target that left while paths were cut."""

    entry_count = 2

    async def test_an_entry_learns_of_a_leave_from_a_relayed_answer(
        self,
    ) -> None:
        await self.measure(20.0, 0.5)
        self.cut(0, cut_off_case.CutKind.REFUSED)
        await self.measure_one(20.0, 3.0)
        for server in self.servers:
            server.is_leaving = True
        share = await self.measure_one(20.0, 0.5)
        self.assertGreater(share.served, 0)
        self.paths[0].heal()
        load_balancer = self.entries[0].load_balancer
        left = [
            observed.target
            for observed in load_balancer._targets.values()
            if load_balancer.notices.is_leaving(observed.process)
        ]
        self.assertGreater(len(left), 0)


class GrantsTest(entry_case.EntryCase):
    """Guards against entries with grants that ignore notices."""

    async def start_switched(
        self, name: str
    ) -> tuple[fakes.FakeTarget, list[bytes]]:
        """Start a target; the last item of the list is its answer."""
        answers = [entry_case.OK]

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            while True:
                await fakes.read_request(target, reader, bytearray())
                writer.write(answers[-1])

        return await self.start_target(serve, name), answers

    async def call_often(self) -> list[int]:
        answers = [await self.call('/x') for _ in range(10)]
        return [answer.status for answer in answers]

    async def test_a_target_that_leaves_gets_no_more_requests(self) -> None:
        leaving, answers = await self.start_switched('t1')
        answers.append(
            entry_case.OK.replace(
                b'OK\r\n', b'OK\r\nFulmarseam-Leaving: 1\r\n'
            )
        )
        self.assertEqual(200, (await self.call('/x')).status)
        received = len(leaving.received_bytes)
        self.assertEqual([503] * 10, await self.call_often())
        await self.start_switched('t2')
        self.assertEqual([200] * 10, await self.call_often())
        self.assertEqual(received, len(leaving.received_bytes))

    async def test_a_target_that_pauses_returns_at_its_time(self) -> None:
        paused, answers = await self.start_switched('t1')
        answers.append(
            entry_case.SHED.replace(b'X\r\n', b'X\r\nRetry-After: 0.6\r\n')
        )
        loop = asyncio.get_running_loop()
        refused_at = loop.time()
        self.assertEqual(503, (await self.call('/x')).status)
        received = len(paused.received_bytes)
        answers.append(entry_case.OK)
        waits_s = []
        while True:
            answer = await self.call('/x')
            if answer.status == 200:
                break
            self.assertLess(loop.time(), refused_at + 1.6)
            self.assertEqual(received, len(paused.received_bytes))
            waits_s.append(json.loads(answer.body)['retry_after_ms'] / 1_000)
            await asyncio.sleep(0.05)
        self.assertGreaterEqual(loop.time() - refused_at, 0.6)
        # Refused at once, with the time that is left.
        self.assertGreater(len(waits_s), 5)
        self.assertGreater(waits_s[0], 0.5)
        self.assertLess(waits_s[-1], waits_s[0])


class TableTest(unittest.TestCase):
    """Tests the states of a target, without a network."""

    def setUp(self) -> None:
        self.table = steering.NoticeTable()
        self.process = steering.TargetProcess(ids.TargetId('t'), 'a:1', 1)

    def get_state(self, now: float) -> steering.NoticeState:
        return self.table.get_state(now, self.process)

    def test_a_pause_ends_with_one_request_at_a_time(self) -> None:
        state = steering.NoticeState
        self.assertIs(state.WILLING, self.get_state(0.0))
        self.assertTrue(self.table.note_pause(0.0, self.process, 2.0))
        self.assertFalse(self.table.note_pause(0.5, self.process, 1.0))
        self.table.note_answer(1.0, self.process)
        self.assertIs(state.PAUSED, self.get_state(1.9))
        self.assertFalse(self.table.may_send(1.9, self.process))
        self.assertIs(state.RETURNING, self.get_state(2.0))
        self.assertTrue(self.table.may_send(2.0, self.process))
        self.table.note_sent(2.0, self.process)
        self.assertFalse(self.table.may_send(2.1, self.process))
        self.assertTrue(self.table.may_send(2.3, self.process))
        self.table.note_answer(2.4, self.process)
        self.assertIs(state.WILLING, self.get_state(2.4))

    def test_only_a_new_process_ends_leaving(self) -> None:
        self.assertTrue(self.table.note_leaving(self.process))
        self.assertFalse(self.table.note_leaving(self.process))
        self.table.note_pause(0.0, self.process, 1.0)
        self.table.note_answer(5.0, self.process)
        self.assertFalse(self.table.may_send(1e9, self.process))
        for other in (
            self.process._replace(incarnation=2),
            self.process._replace(address='b:1'),
        ):
            self.assertTrue(self.table.may_send(5.0, other))

    def test_memory_is_bounded(self) -> None:
        for number in range(10_100):
            self.table.note_leaving(
                self.process._replace(target=ids.TargetId(f't{number}'))
            )
        self.assertEqual(10_000, len(self.table))


class ReadingTest(unittest.TestCase):
    """Tests notices that are odd, as any target may write anything."""

    def read(self, status: int = 503, **fields: bytes) -> notices.Notice:
        headers = [
            (name.replace('_', '-').encode(), value)
            for name, value in fields.items()
        ]
        return notices.read_notice(
            http.Response(status, b'', headers, dict(headers)), b'leaving'
        )

    def test_values_are_bounded(self) -> None:
        for value, expected_s in (
            (b'0', 0.0),
            (b'0.8', 0.8),
            (b'.5', 0.5),
            (b'30', 30.0),
            (b'1000000000', 600.0),
            (b'9' * 400, 600.0),
        ):
            notice = self.read(retry_after=value)
            self.assertEqual(expected_s, notice.pause_s, value)
            self.assertEqual(b'', notice.problem)

    def test_unreadable_values_change_nothing(self) -> None:
        for value in (
            b'-1',
            b'nan',
            b'inf',
            b'1e9',
            b'',
            b'1,2',
            b'Sat, 05 Dec 2026 08:00:00 GMT',
            b'\xff' * 400,
        ):
            notice = self.read(retry_after=value)
            self.assertEqual(0.0, notice.pause_s)
            self.assertTrue(0 < len(notice.problem) <= 80)

    def test_only_a_refusal_names_a_pause(self) -> None:
        self.assertEqual(notices.NO_NOTICE, self.read(200, retry_after=b'5'))
        self.assertTrue(self.read(200, leaving=b'1').is_leaving)
        self.assertFalse(self.read(200, leaving=b'0').is_leaving)
        self.assertEqual(b'yes', self.read(200, leaving=b'yes').problem)

    def test_a_problem_is_logged_once(self) -> None:
        recorder = notices.NoticeRecorder(steering.NoticeTable())
        process = steering.TargetProcess(ids.TargetId('t'), 'a:1', 1)
        with logbook.TestHandler() as handler:
            for _ in range(3):
                recorder.record(0.0, process, self.read(retry_after=b'nan'))
        self.assertEqual(1, len(handler.records))
