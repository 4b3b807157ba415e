"""Tests of requests under which targets end."""

import asyncio
import random
import unittest

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import steering
from fulmarseam import wire
from tests import crash_case

DURATION_S = 8.0
LETHAL_INTERVAL_S = 0.4
SOUND_INTERVAL_S = 0.04
MIN_POPULAR_SHARE = 0.97
SETTLE_S = 1.0
END_INTERVAL_S = 1.0


class LethalRequestTest(crash_case.CrashCase):
    """Guards against a request that ends one target after another."""

    async def play(
        self,
        choose_entry,
        body: bytes = b'',
        make_headers=lambda number: crash_case.DEFAULT_HEADERS,
        sound_path: str = '/r/sound',
    ) -> None:
        """Send a lethal request beside others, and check the bounds."""
        lethal, sound = await asyncio.gather(
            self.call_repeatedly(
                crash_case.LETHAL_PATH,
                LETHAL_INTERVAL_S,
                DURATION_S,
                choose_entry,
                body,
                make_headers,
            ),
            self.call_repeatedly(
                sound_path,
                SOUND_INTERVAL_S,
                DURATION_S,
                lambda number: number % self.entry_count,
                make_headers=lambda number: (
                    f'cookie: fulmarseam-object=9; session={number % 20}\r\n'
                ),
            ),
        )
        served = sum(reply.status == 200 for reply in sound)
        found = (
            f'ends {len(self.list_ends())}, late arrivals '
            f'{self.count_late_arrivals()}, sound requests served {served} '
            f'of {len(sound)}, answers to the lethal request '
            f'{[reply.status for reply in lethal]}'
        )
        self.assertLessEqual(
            self.count_late_arrivals(), crash_case.MAX_LATE_ARRIVALS, found
        )
        self.assertLessEqual(len(self.list_ends()), crash_case.MAX_ENDS, found)
        self.assertGreaterEqual(
            served, crash_case.MIN_SERVED_SHARE * len(sound), found
        )

    # The entries of a catalog group did not remember what had ended targets.
    async def test_a_lethal_request_at_any_entry_ends_few_targets(
        self,
    ) -> None:
        rng = random.Random(1)
        await self.play(lambda number: rng.randrange(self.entry_count))

    async def test_a_lethal_request_at_one_entry_then_at_the_others(
        self,
    ) -> None:
        await self.play(lambda number: min(number // 4, self.entry_count - 1))

    async def test_two_copies_at_once_end_few_targets(self) -> None:
        async def send_copies() -> None:
            await self.call_repeatedly(
                crash_case.LETHAL_PATH,
                LETHAL_INTERVAL_S,
                DURATION_S,
                lambda number: (number + 1) % self.entry_count,
                b'body',
            )

        await asyncio.gather(
            send_copies(),
            self.play(lambda number: number % self.entry_count, b'body'),
        )

    # Copies were recognised by what they say of their caller as well.
    async def test_copies_with_new_cookies_end_few_targets(self) -> None:
        await self.play(
            lambda number: number % self.entry_count,
            make_headers=lambda number: (
                f'cookie: fulmarseam-object={number}\r\n'
                f'fulmarseam-deadline-ms: {1_500 + number}\r\n'
            ),
        )

    async def test_copies_with_other_credentials_end_few_targets(
        self,
    ) -> None:
        await self.play(
            lambda number: number % self.entry_count,
            make_headers=lambda number: (
                f'authorization: Bearer {number % 9}\r\n'
            ),
        )

    async def test_callers_that_share_the_path_are_served(self) -> None:
        lethal_cookie = 'fulmarseam-object=1'
        self.lethal_cookies.add(lethal_cookie)
        await self.play(
            lambda number: number % self.entry_count,
            make_headers=lambda number: f'cookie: {lethal_cookie}\r\n',
            sound_path=crash_case.LETHAL_PATH,
        )

    async def test_a_restart_of_all_entries_forgets_nothing(self) -> None:
        for number in range(3):
            await self.call(number, crash_case.LETHAL_PATH)
        ends = len(self.list_ends())
        await self.restart_entries()
        for number in range(2 * self.entry_count):
            reply = await self.call(
                number % self.entry_count, crash_case.LETHAL_PATH
            )
            self.assertEqual(503, reply.status)
            self.assertGreater(float(reply.headers['retry-after']), 1.0)
        self.assertEqual(ends, len(self.list_ends()))

    async def test_two_lethal_requests_end_few_targets(self) -> None:
        other_path = '/r/lethal-too'
        self.lethal_paths.add(other_path)
        await asyncio.gather(
            self.call_repeatedly(
                other_path,
                LETHAL_INTERVAL_S,
                DURATION_S,
                lambda number: number % self.entry_count,
            ),
            self.play(lambda number: number % self.entry_count),
        )


class SoundRequestTest(crash_case.CrashCase):
    """Guards against a quarantine of requests that end no target."""

    # A request that all callers send runs on most targets that end.
    async def test_a_popular_request_is_served_while_targets_end(
        self,
    ) -> None:
        async def end_targets() -> None:
            for number in range(7):
                await asyncio.sleep(END_INTERVAL_S)
                target = self.crash_targets[number % self.target_count]
                target.service_s = 0.05
                target.end()

        replies, _ = await asyncio.gather(
            self.call_repeatedly(
                '/r/popular',
                SOUND_INTERVAL_S,
                DURATION_S,
                lambda number: number % self.entry_count,
            ),
            end_targets(),
        )
        served = sum(reply.status == 200 for reply in replies)
        self.assertGreaterEqual(
            served,
            MIN_POPULAR_SHARE * len(replies),
            [reply.status for reply in replies if reply.status != 200],
        )

    async def test_a_popular_request_is_served_after_all_targets_ended(
        self,
    ) -> None:
        for target in self.crash_targets:
            target.service_s = 0.3
        calls = [
            asyncio.create_task(
                self.call(number % self.entry_count, '/r/popular')
            )
            for number in range(4 * self.entry_count)
        ]
        await asyncio.sleep(0.15)
        for target in self.crash_targets:
            target.end()
        await asyncio.gather(*calls)
        await asyncio.sleep(crash_case.RESTART_S + SETTLE_S)
        for number in range(2 * self.entry_count):
            reply = await self.call(number % self.entry_count, '/r/popular')
            self.assertEqual(200, reply.status)


class LeaderLossTest(crash_case.CrashCase):
    """Guards against a quarantine that ends with the leader."""

    async def test_entries_refuse_without_a_leader(self) -> None:
        for number in range(2):
            await self.call(number, crash_case.LETHAL_PATH)
        ends = len(self.list_ends())
        await asyncio.sleep(SETTLE_S)
        await self.stop_member()
        for number in range(2 * self.entry_count):
            reply = await self.call(
                number % self.entry_count, crash_case.LETHAL_PATH
            )
            self.assertEqual(503, reply.status)
        self.assertEqual(ends, len(self.list_ends()))


def make_fingerprint(name: bytes, caller: bytes = b'') -> steering.Fingerprint:
    """Return the digests of a request named `name` of a caller."""
    return steering.compute_fingerprint('GET', 'h', name.decode(), caller, b'')


class GuardTest(unittest.IsolatedAsyncioTestCase):
    """Tests what an entry holds back and what it tells the leader."""

    async def asyncSetUp(self) -> None:
        self.registry = quarantine.SuspectRegistry()
        self.term = 1
        self.reports: list[wire.SuspectReport] = []
        self.is_leader_reachable = True
        self.leader_delay_s = 0.0
        self.timeouts_s: list[float] = []
        self.guard = quarantine.CrashGuard(self.answer)
        self.other = quarantine.CrashGuard(self.answer)

    async def answer(
        self, report: wire.SuspectReport, timeout_s: float
    ) -> wire.TrialResponse:
        if not self.is_leader_reachable:
            raise errors.NotLeaderError()
        self.timeouts_s.append(timeout_s)
        await asyncio.sleep(self.leader_delay_s)
        self.reports.append(report)
        return self.registry.answer(self.now(), self.term, report)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def sync(self, guard: quarantine.CrashGuard) -> None:
        guard.apply_news(
            *self.registry.list_news(self.now(), self.term, guard.version)
        )

    async def strike(
        self,
        name: bytes,
        target: str,
        was_trial: bool = False,
        guard: quarantine.CrashGuard | None = None,
    ) -> bool:
        return await (guard or self.guard).note_broken(
            make_fingerprint(name), ids.TargetId(target), 1, was_trial
        )

    async def admit(
        self, name: bytes, guard: quarantine.CrashGuard | None = None
    ) -> quarantine.Verdict:
        admission = await (guard or self.guard).admit(
            make_fingerprint(name), 1.0
        )
        return admission.verdict

    async def test_a_suspect_runs_once_among_all_entries(self) -> None:
        verdict = quarantine.Verdict
        self.assertIs(verdict.FREE, await self.admit(b'f'))
        self.assertTrue(await self.strike(b'f', 't1'))
        self.sync(self.other)
        self.assertIs(verdict.TRIAL, await self.admit(b'f'))
        self.assertIs(verdict.WAIT, await self.admit(b'f', self.other))
        self.assertIs(verdict.FREE, await self.admit(b'g', self.other))
        await self.strike(b'f', 't2', was_trial=True)
        self.assertIs(verdict.REFUSE, await self.admit(b'f'))
        self.assertIs(verdict.REFUSE, await self.admit(b'f', self.other))

    async def break_content(self) -> None:
        """Let two targets end, each under the request of another caller."""
        for number in range(2):
            await self.guard.note_broken(
                make_fingerprint(b'f', b'%d' % number),
                ids.TargetId(f't{number}'),
                1,
                False,
            )

    async def test_a_content_that_broke_two_targets_runs_as_a_trial(
        self,
    ) -> None:
        sound = make_fingerprint(b'f', b'sound')
        self.guard.note_answered(sound)
        await self.break_content()
        self.sync(self.other)
        new = make_fingerprint(b'f', b'new')
        for guard in (self.guard, self.other):
            admission = await guard.admit(new, 1.0)
            self.assertIs(quarantine.Verdict.TRIAL, admission.verdict)
            if guard is self.guard:
                guard.end_trial(new)
                await asyncio.sleep(0.01)
        await self.other.note_broken(new, ids.TargetId('t9'), 1, True)
        self.sync(self.guard)
        for caller in (b'0', b'newer'):
            admission = await self.guard.admit(
                make_fingerprint(b'f', caller), 1.0
            )
            self.assertIs(quarantine.Verdict.REFUSE, admission.verdict)
        admission = await self.guard.admit(sound, 1.0)
        self.assertIs(quarantine.Verdict.FREE, admission.verdict)

    async def test_answers_to_several_callers_clear_a_content(self) -> None:
        await self.break_content()
        verdicts = []
        for number in range(10, 15):
            fingerprint = make_fingerprint(b'f', b'%d' % number)
            admission = await self.guard.admit(fingerprint, 1.0)
            verdicts.append(admission.verdict)
            self.guard.note_answered(fingerprint)
            self.guard.end_trial(fingerprint)
            await asyncio.sleep(0.01)
        verdict = quarantine.Verdict
        self.assertEqual([verdict.TRIAL] * 3 + [verdict.FREE] * 2, verdicts)
        self.sync(self.other)
        admission = await self.other.admit(make_fingerprint(b'f', b'x'), 1.0)
        self.assertIs(verdict.FREE, admission.verdict)

    async def test_a_target_that_starts_again_under_its_id_counts_again(
        self,
    ) -> None:
        target = ids.TargetId('t1')
        await self.guard.note_broken(make_fingerprint(b'f'), target, 1, False)
        self.assertIs(quarantine.Verdict.TRIAL, await self.admit(b'f'))
        await self.guard.note_broken(make_fingerprint(b'f'), target, 2, True)
        self.assertIs(quarantine.Verdict.REFUSE, await self.admit(b'f'))
        [row] = self.guard.list_rows()
        self.assertEqual(['t1', 't1'], row.targets)

    async def test_a_trial_without_a_result_lets_the_next_one_start(
        self,
    ) -> None:
        await self.strike(b'f', 't1')
        self.assertIs(quarantine.Verdict.TRIAL, await self.admit(b'f'))
        self.guard.end_trial(make_fingerprint(b'f'))
        await asyncio.sleep(0.01)
        self.sync(self.other)
        self.assertIs(
            quarantine.Verdict.TRIAL, await self.admit(b'f', self.other)
        )

    async def test_an_answer_frees_the_request_at_all_entries(self) -> None:
        await self.strike(b'f', 't1')
        self.sync(self.other)
        self.assertIs(quarantine.Verdict.TRIAL, await self.admit(b'f'))
        self.guard.note_answered(make_fingerprint(b'f'))
        await asyncio.sleep(0.01)
        self.sync(self.other)
        for guard in (self.guard, self.other):
            self.assertIs(
                quarantine.Verdict.FREE, await self.admit(b'f', guard)
            )

    async def test_many_targets_that_break_together_are_no_strikes(
        self,
    ) -> None:
        results = await asyncio.gather(
            *(
                self.strike(b'f%d' % number, f't{number}')
                for number in range(5)
            )
        )
        self.assertEqual([False] * 5, results)

    async def test_copies_that_break_several_targets_are_strikes(
        self,
    ) -> None:
        results = await asyncio.gather(
            *(self.strike(b'f', f't{number}') for number in range(5))
        )
        self.assertEqual([True] * 5, results)

    async def test_a_kept_connection_is_no_proof_while_the_target_listens(
        self,
    ) -> None:
        async def listen() -> bool:
            return True

        async def refuse() -> bool:
            return False

        target = ids.TargetId('t1')
        self.assertFalse(
            await self.guard.note_broken(
                make_fingerprint(b'f'), target, 1, False, listen
            )
        )
        self.assertTrue(
            self.guard.needs_new_connection(make_fingerprint(b'f'))
        )
        self.assertTrue(
            await self.guard.note_broken(
                make_fingerprint(b'g'), target, 1, False, refuse
            )
        )

    async def test_a_new_leader_learns_what_entries_know(self) -> None:
        await self.strike(b'f', 't1')
        await self.strike(b'f', 't2', was_trial=True)
        self.sync(self.guard)
        self.term = 2
        self.registry = quarantine.SuspectRegistry()
        self.sync(self.guard)
        await asyncio.sleep(0.01)
        self.sync(self.other)
        self.assertIs(
            quarantine.Verdict.REFUSE, await self.admit(b'f', self.other)
        )

    async def test_strikes_wait_for_a_leader(self) -> None:
        self.is_leader_reachable = False
        await self.strike(b'f', 't1')
        self.assertIs(quarantine.Verdict.TRIAL, await self.admit(b'f'))
        await self.strike(b'f', 't2', was_trial=True)
        self.assertIs(quarantine.Verdict.REFUSE, await self.admit(b'f'))
        self.is_leader_reachable = True
        self.term = 2
        self.registry.answer(self.now(), 2, wire.SuspectReport(known=[]))
        self.guard.version = 1 << 32
        self.sync(self.guard)
        await asyncio.sleep(0.01)
        self.sync(self.other)
        self.assertIs(
            quarantine.Verdict.REFUSE, await self.admit(b'f', self.other)
        )

    async def test_a_slow_leader_holds_nobody_up_and_keeps_its_connection(
        self,
    ) -> None:
        """A call that times out would replace the connection of the polls."""
        self.leader_delay_s = 0.6
        started_at = self.now()
        await self.strike(b'f', 't1')
        self.assertLess(self.now() - started_at, 0.5)
        self.assertGreater(min(self.timeouts_s), self.leader_delay_s)
        await asyncio.sleep(0.5)
        self.sync(self.other)
        self.leader_delay_s = 0.0
        self.assertIs(
            quarantine.Verdict.TRIAL, await self.admit(b'f', self.other)
        )

    async def test_a_request_that_turned_lethal_is_held_back(self) -> None:
        self.guard.note_answered(make_fingerprint(b'f'))
        for number in range(3):
            self.assertIs(quarantine.Verdict.FREE, await self.admit(b'f'))
            await self.strike(b'f', f't{number}')
        self.assertIs(quarantine.Verdict.TRIAL, await self.admit(b'f'))
        await self.strike(b'f', 't9', was_trial=True)
        self.assertIs(quarantine.Verdict.REFUSE, await self.admit(b'f'))
