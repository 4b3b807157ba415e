"""Tests of the clock of an entry."""

import asyncio
import time
import unittest
from unittest import mock

from fulmarseam import entry
from fulmarseam.entry import _clock
from tests import entry_case
from tests import fakes


class SuspendTest(unittest.TestCase):
    """Guards against a loop whose clock stands still during a suspend."""

    def test_the_clock_counts_the_time_of_a_suspend(self) -> None:
        with asyncio.Runner(loop_factory=entry.SteadyLoop) as runner:
            loop = runner.get_loop()
            self.assertAlmostEqual(
                time.clock_gettime(time.CLOCK_BOOTTIME), loop.time(), 1
            )

    def test_timers_that_are_due_after_a_suspend_fire_at_once(self) -> None:
        suspended_s = 0.0

        def read_clock() -> float:
            return time.monotonic() + suspended_s

        async def main() -> float:
            nonlocal suspended_s
            started = time.monotonic()
            sleeping = asyncio.create_task(asyncio.sleep(30.0))
            await asyncio.sleep(0.01)
            suspended_s = 60.0
            await sleeping
            return time.monotonic() - started

        with (
            mock.patch.object(_clock, 'read_clock', read_clock),
            asyncio.Runner(loop_factory=entry.SteadyLoop) as runner,
        ):
            self.assertLess(runner.run(main()), 5.0)


class LeaseTest(entry_case.EntryCase):
    """Guards against work on a lease that ran out during a suspend."""

    async def test_a_suspended_entry_takes_no_work_on_its_old_lease(
        self,
    ) -> None:
        await self.start_target(fakes.answer_always(entry_case.OK))
        self.assertEqual(200, (await self.call()).status)
        loop = asyncio.get_running_loop()
        real_time = loop.time
        with mock.patch.object(loop, 'time', lambda: real_time() + 10.0):
            answer = await self.call()
        self.assertEqual((503, 'config_stale', 'not-run'), answer.describe())
