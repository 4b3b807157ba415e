"""Tests of the differences of the leader's entry table."""

import unittest

from fulmarseam import membership
from tests import control_fixtures as fixtures


class EntryNewsTest(unittest.TestCase):
    """Guards against whole tables in every answer and against lost rows."""

    def setUp(self) -> None:
        self.table = membership.EntryTable(0.0)
        for name in ('e1', 'e2'):
            self.record(0.0, name)

    def record(self, now: float, name: str, draining: bool = False) -> None:
        info = fixtures.make_info(name)
        request = fixtures.make_request(info, draining=draining)
        self.assertTrue(self.table.record(now, request))

    def list_news(self, version: int) -> dict[str, bool]:
        news = self.table.changes_since(version)
        return {row.info.entry: row.alive for row in news.rows}

    def test_reader_with_nothing_gets_all(self) -> None:
        self.assertTrue(self.table.changes_since(0).full)
        self.assertEqual({'e1': True, 'e2': True}, self.list_news(0))

    def test_reader_gets_only_changed_rows(self) -> None:
        version = self.table.version
        self.assertEqual({}, self.list_news(version))
        self.record(1.0, 'e1')
        self.assertEqual({}, self.list_news(version))
        self.record(1.0, 'e1', draining=True)
        self.assertEqual({'e1': True}, self.list_news(version))

    def test_lost_entry_is_news(self) -> None:
        version = self.table.version
        self.record(2.0, 'e2')
        self.table.expire(4.0)
        self.assertEqual({'e1': False}, self.list_news(version))

    def test_forgotten_entry_makes_the_next_answer_full(self) -> None:
        version = self.table.version
        self.record(700.0, 'e2')
        self.table.expire(700.0)
        news = self.table.changes_since(version)
        self.assertTrue(news.full)
        self.assertEqual({'e2': True}, self.list_news(version))

    def test_version_of_another_leader_gets_all(self) -> None:
        self.assertTrue(self.table.changes_since(10_000).full)
