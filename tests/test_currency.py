"""Tests of the proof that a member is current."""

import asyncio
import unittest

from fulmarseam import errors
from fulmarseam.control import _currency

TIMEOUT_S = 1.0


class CurrencyCheckTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a proof that is older than the question."""

    async def asyncSetUp(self) -> None:
        self.runs = 0
        self.may_end = asyncio.Event()
        self.error: errors.FulmarseamError | None = None
        self.check = await self.enterAsyncContext(
            _currency.CurrencyCheck(self.catch_up)
        )

    async def catch_up(self) -> None:
        self.runs += 1
        await self.may_end.wait()
        if self.error is not None:
            raise self.error

    async def test_a_run_in_progress_proves_nothing_to_later_calls(
        self,
    ) -> None:
        first = asyncio.create_task(self.check.prove(TIMEOUT_S))
        await asyncio.sleep(0.01)
        later = [
            asyncio.create_task(self.check.prove(TIMEOUT_S)) for _ in range(9)
        ]
        await asyncio.sleep(0.01)
        self.assertEqual(1, self.runs)
        self.may_end.set()
        self.assertEqual([True] * 10, await asyncio.gather(first, *later))
        self.assertEqual(2, self.runs)

    async def test_a_run_that_takes_long_proves_nothing(self) -> None:
        self.assertFalse(await self.check.prove(0.05))
        self.may_end.set()
        self.assertTrue(await self.check.prove(TIMEOUT_S))

    async def test_a_run_that_fails_proves_nothing(self) -> None:
        self.may_end.set()
        self.error = errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE, 'no leader is known'
        )
        self.assertFalse(await self.check.prove(TIMEOUT_S))
        self.error = None
        self.assertTrue(await self.check.prove(TIMEOUT_S))
