"""Tests of inputs that are legal but long."""

import asyncio
import time
import unittest
from unittest import mock

from fulmarseam import errors
from fulmarseam import gateway
from fulmarseam import http
from fulmarseam import wire
from fulmarseam.gateway import _requests
from fulmarseam.gateway import _routes
from fulmarseam.platform import _control_api
from tests import catalog_fixtures as fixtures
from tests import fakes

PATH_SEGMENTS = 8_000
PATH_SEARCHES = 50
# A search through all segments takes 5 ms or more.
PATHS_S = 0.1
MAX_KEY_CHARACTERS = 128
HEARTBEAT_BYTES = 12 * 1024 * 1024
ANSWER_S = 2.0


class PathTest(unittest.TestCase):
    """Guards against paths that keep an entry from all other requests."""

    def setUp(self) -> None:
        self.table = _routes.RouteTable()
        rows = []
        for name, prefix in (('a', '/a/'), ('b', '/a/b/c/')):
            row = fixtures.make_route(name, 1, path_prefix=prefix).row
            assert isinstance(row, wire.RouteItem)
            rows.append(row)
        self.table.update(rows)

    def match(self, path: str) -> str:
        return self.table.match('shop.example', path).name

    # A search took time with the square of the path.
    def test_long_paths_are_matched_in_little_time(self) -> None:
        long = 'x/' * PATH_SEGMENTS
        started = time.perf_counter()
        for _ in range(PATH_SEARCHES):
            self.assertEqual('a', self.match(f'/a/{long}'))
            with self.assertRaises(errors.FulmarseamError):
                self.match(f'/{long}')
        self.assertLess(time.perf_counter() - started, PATHS_S)

    def test_the_longest_prefix_of_a_long_path_wins(self) -> None:
        for path, name in (
            ('/a/b/c/' + 'x' * 99, 'b'),
            ('/a/b/cx/' + 'x' * 99, 'a'),
            ('/a/b/c', 'a'),
            ('/a/', 'a'),
        ):
            self.assertEqual(name, self.match(path), path)
