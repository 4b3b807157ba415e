"""Tests of the rate limits that targets name."""

import asyncio
import unittest

import logbook

from fulmarseam import http
from fulmarseam import steering
from fulmarseam.gateway import _rate_limits
from fulmarseam.gateway import _summaries
from tests import arrivals
from tests import catalog_fixtures as fixtures
from tests import rate_limit_case

HEADER = b'fulmarseam-rate-limit'


def read(*values: bytes) -> _rate_limits.LimitReading:
    """Return what an answer with these values of the header says."""
    headers = [(HEADER, value) for value in values]
    response = http.Response(200, b'OK', headers, dict(headers))
    return _rate_limits.read_limit(response, HEADER)


class ReadLimitTest(unittest.TestCase):
    """Guards against a limit that is misread."""

    def test_a_decimal_number_is_a_limit(self) -> None:
        self.assertEqual(read(b'7'), (7.0, b''))
        self.assertEqual(read(b'4.25'), (4.25, b''))
        self.assertEqual(read(b'0'), (0.0, b''))
        self.assertEqual(read(), _rate_limits.NO_LIMIT)

    def test_other_values_are_no_limit(self) -> None:
        for value in (b'-3', b'nan', b'inf', b'', b'1e9', b'7/s', b'\xff'):
            with self.subTest(value=value):
                self.assertIsNone(read(value).rate_per_s)
        self.assertEqual(read(b'-3').problem, b'-3')

    def test_a_huge_limit_does_not_overflow(self) -> None:
        self.assertEqual(read(b'9' * 15).rate_per_s, 1e6)
        self.assertIsNone(read(b'9' * 400).rate_per_s)

    def test_the_lowest_of_several_values_counts(self) -> None:
        self.assertEqual(read(b'9', b'5.5'), (5.5, b''))
        self.assertEqual(read(b'9, 5.5'), (5.5, b''))
        self.assertEqual(read(b'9', b'x'), (9.0, b'9,x'))


class SharedLimitTest(rate_limit_case.RateLimitCase):
    """Guards against a target that gets more than the limit it names."""

    # Each entry used to send what it liked to a target that had named a limit
    # for all of them.
    async def test_all_entries_together_keep_to_the_limit_of_a_target(
        self,
    ) -> None:
        limited = rate_limit_case.LimitedTarget()
        free = rate_limit_case.LimitedTarget()
        await self.put_items()
        await self.add_target('limited', limited)
        await self.add_target('free', free)
        await self.start_entries(3)
        limited.rate_per_s = 2.0
        named_at = asyncio.get_running_loop().time()
        callers = self.make_callers()
        await asyncio.gather(*(caller.run(20.0, 9.0) for caller in callers))
        self.assertLessEqual(
            arrivals.find_peak(limited.arrivals, named_at + arrivals.SETTLE_S),
            arrivals.compute_bound(2.0),
        )
        statuses = {status for caller in callers for status in caller.statuses}
        self.assertEqual(statuses, {200})


class OnlyTargetTest(rate_limit_case.RateLimitCase):
    """Guards against callers that pay for a target without other targets."""

    RATE_PER_S = 5.0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.limited = rate_limit_case.LimitedTarget()
        await self.put_items(idempotent=False, max_attempts=1)
        await self.add_target('limited', self.limited)
        await self.start_entries(2)

    def now(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    async def send(
        self, rate_per_s: float, duration_s: float
    ) -> list[rate_limit_case.Caller]:
        """Send requests through both entries; return the callers."""
        callers = self.make_callers()
        await asyncio.gather(
            *(caller.run(rate_per_s, duration_s) for caller in callers)
        )
        return callers

    async def test_what_does_not_fit_is_refused_at_once(self) -> None:
        self.limited.rate_per_s = self.RATE_PER_S
        await self.send(10.0, 3.0)
        started_at = self.now()
        callers = await self.send(10.0, 6.0)
        self.assertLessEqual(
            arrivals.find_peak(self.limited.arrivals, started_at),
            arrivals.compute_bound(self.RATE_PER_S),
        )
        used = arrivals.count(
            self.limited.arrivals, started_at, started_at + 6.0
        )
        self.assertGreaterEqual(used, 0.8 * 6.0 * self.RATE_PER_S)
        for caller in callers:
            refused = caller.statuses.count(503)
            self.assertEqual(
                len(caller.statuses), caller.statuses.count(200) + refused
            )
            self.assertEqual(refused, len(caller.retry_after_s))
            self.assertLess(max(caller.refusal_s), 0.5)
            # Not all of them come back at the same time.
            self.assertGreater(len(set(caller.retry_after_s)), refused / 4)

    async def test_the_rate_returns_after_the_end_of_a_limit(self) -> None:
        self.limited.rate_per_s = self.RATE_PER_S
        await self.send(20.0, 2.0)
        self.limited.rate_per_s = None
        await self.send(20.0, 4.0)
        callers = await self.send(20.0, 2.0)
        statuses = {status for caller in callers for status in caller.statuses}
        self.assertEqual({200}, statuses)

    async def test_a_value_that_cannot_be_read_lifts_no_limit(self) -> None:
        self.limited.rate_per_s = self.RATE_PER_S
        await self.send(10.0, 2.0)
        self.limited.value = '-1'
        started_at = self.now()
        await self.send(20.0, 5.0)
        self.assertLessEqual(
            arrivals.find_peak(self.limited.arrivals, started_at),
            arrivals.compute_bound(self.RATE_PER_S),
        )

    async def test_a_limit_in_a_refusal_counts(self) -> None:
        self.limited.rate_per_s = self.RATE_PER_S
        self.limited.is_refusing = True
        started_at = self.now()
        await self.send(20.0, 5.0)
        self.assertLessEqual(
            arrivals.find_peak(self.limited.arrivals, started_at + 1.0),
            arrivals.compute_bound(self.RATE_PER_S),
        )


class ChangeLineTest(rate_limit_case.RateLimitCase):
    """Guards against a log line for each answer."""

    async def test_each_change_is_logged_once(self) -> None:
        limited = rate_limit_case.LimitedTarget()
        await self.put_items()
        await self.add_target('limited', limited)
        await self.start_entries(1)
        [caller] = self.make_callers()
        handler = logbook.TestHandler()
        with handler.applicationbound():
            for limited.value in ('900', '900', 'x', 'x', '900', '850'):
                await caller.run(10.0, 0.8)
        lines = [
            record.message
            for record in handler.records
            if 'event=target_rate_limit' in record.message
        ]
        self.assertEqual(3, len(lines), lines)

    # The end of a limit used to be logged by no entry that saw it.
    async def test_the_end_of_a_limit_is_logged_once(self) -> None:
        limited = rate_limit_case.LimitedTarget()
        await self.put_items()
        await self.add_target('limited', limited)
        await self.start_entries(1)
        [caller] = self.make_callers()
        handler = logbook.TestHandler()
        with handler.applicationbound():
            for limited.value in ('900', None):
                await caller.run(10.0, 1.0)
        ends = [
            record.message
            for record in handler.records
            if 'rate_per_s=None previous=900' in record.message
        ]
        self.assertEqual(1, len(ends), ends)


class PlacementLineTest(unittest.TestCase):
    """Guards against a limit that the line of a request leaves out."""

    def test_a_limit_of_zero_is_shown(self) -> None:
        target = steering.ObservedTarget(
            fixtures.make_record('t'), is_remote=False
        )
        placement = steering.Placement(target, steering.SlotAvailability.FREE)
        summary = _summaries.RequestSummary()
        summary.add_placement(placement, 0.0, 0.0)
        self.assertIn(':limit=0', summary.inputs[0])
