"""Tests of the rate limits that targets name."""

import unittest

from fulmarseam import http
from fulmarseam.gateway import _rate_limits

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
