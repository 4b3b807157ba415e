"""Tests of incremental updates of the leader's entry table."""

import unittest

from fulmarseam import membership
from tests import control_fixtures as fixtures


class EntryTableChangesTest(unittest.TestCase):
    """Guards against full tables in every response and against lost rows.

    Entries get only the rows that changed since the version they report.
    """

    def setUp(self) -> None:
        self.table = membership.EntryTable(0.0)
        for name in ('e1', 'e2'):
            self.record(0.0, name)

    def record(self, now: float, name: str, draining: bool = False) -> None:
        info = fixtures.make_info(name)
        request = fixtures.make_request(info, draining=draining)
        self.assertTrue(self.table.record(now, request))

    def list_changes(self, version: int) -> dict[str, bool]:
        changes = self.table.changes_since(version)
        return {row.info.entry: row.alive for row in changes.rows}

    def test_entry_without_a_table_gets_all_rows(self) -> None:
        self.assertTrue(self.table.changes_since(0).full)
        self.assertEqual({'e1': True, 'e2': True}, self.list_changes(0))

    def test_entry_gets_only_changed_rows(self) -> None:
        version = self.table.version
        self.assertEqual({}, self.list_changes(version))
        self.record(1.0, 'e1')
        self.assertEqual({}, self.list_changes(version))
        self.record(1.0, 'e1', draining=True)
        self.assertEqual({'e1': True}, self.list_changes(version))

    def test_lost_entry_is_sent(self) -> None:
        version = self.table.version
        self.record(2.0, 'e2')
        self.table.expire(4.0)
        self.assertEqual({'e1': False}, self.list_changes(version))

    def test_forgotten_entry_makes_the_next_update_full(self) -> None:
        version = self.table.version
        self.record(700.0, 'e2')
        self.table.expire(700.0)
        changes = self.table.changes_since(version)
        self.assertTrue(changes.full)
        self.assertEqual({'e2': True}, self.list_changes(version))

    def test_version_of_another_leader_gets_all_rows(self) -> None:
        self.assertTrue(self.table.changes_since(10_000).full)
