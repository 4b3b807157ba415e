"""Tests of the rate limits that targets name."""

import asyncio
import unittest

from fulmarseam import http
from fulmarseam.gateway import _rate_limits
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
            limited.find_peak(named_at + rate_limit_case.SETTLE_S),
            rate_limit_case.compute_bound(2.0),
        )
        statuses = {status for caller in callers for status in caller.statuses}
        self.assertEqual(statuses, {200})
