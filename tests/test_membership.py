"""Tests of the tables of targets and entries."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import wire
from tests import allocator_fixtures

READY = wire.TargetState.READY
LEAVING = wire.TargetState.LEAVING
STARTING = wire.TargetState.STARTING


def make_report(
    sequence: int,
    state: wire.TargetState = READY,
    incarnation: int = 1,
    name: str = 't',
    load: int | None = None,
) -> wire.TargetReport:
    """Return a report of a target."""
    return allocator_fixtures.make_target(
        name,
        sequence=sequence,
        state=state,
        incarnation=incarnation,
        load=None if load is None else wire.TargetLoad(busy_slots=load),
    )


class TargetTableTest(unittest.TestCase):
    """Guards against old news and targets that are used too long."""

    def setUp(self) -> None:
        self.table = membership.TargetTable()

    def test_older_reports_change_nothing(self) -> None:
        self.assertTrue(self.table.record(1.0, make_report(5), 0))
        self.assertFalse(self.table.record(2.0, make_report(5), 0))
        self.assertFalse(self.table.record(2.0, make_report(4, LEAVING), 0))
        self.assertTrue(self.table.record(2.0, make_report(1, READY, 2), 0))
        self.assertFalse(self.table.record(2.0, make_report(9, LEAVING), 0))
        self.assertTrue(self.table.has_report(make_report(9)))
        self.assertFalse(self.table.has_report(make_report(2, READY, 2)))

    def test_lease_counts_from_the_receipt_at_the_entry(self) -> None:
        self.table.record(10.0, make_report(1), 500)
        self.assertEqual([], self.table.expire(12.49))
        self.assertEqual(['t'], self.table.expire(12.5))
        self.assertIsNone(self.table.get('t'))

    def test_late_ready_does_not_revive_a_leaving_target(self) -> None:
        self.table.record(0.0, make_report(1), 0)
        self.table.record(1.0, make_report(3, LEAVING), 0)
        self.assertEqual([], self.table.expire(60.9))
        self.assertFalse(self.table.record(60.9, make_report(2), 0))
        self.assertEqual(['t'], self.table.expire(61.0))

    def test_renewal_is_no_news_but_state_is(self) -> None:
        self.table.record(0.0, make_report(1, STARTING), 0)
        version = self.table.version
        self.table.record(0.5, make_report(2, STARTING), 0)
        self.assertEqual(version, self.table.version)
        self.table.record(1.0, make_report(3), 0)
        news = self.table.changes_since(1.0, version)
        self.assertFalse(news.full)
        self.assertEqual([make_report(3)], [r.report for r in news.rows])
        self.assertEqual([], self.table.rows_since(1.0, news.version))

    def test_load_is_news_at_most_every_two_seconds(self) -> None:
        self.table.record(0.0, make_report(1, load=1), 0)
        versions = []
        for number in range(1, 17):
            report = make_report(1 + number, load=number % 5)
            self.table.record(number * 0.5, report, 0)
            versions.append(self.table.version)
        self.assertEqual(1 + 4, versions[-1])

    def test_load_is_sent_without_the_facts_and_not_urgent(self) -> None:
        self.table.record(0.0, make_report(1, load=1), 0)
        version = self.table.version
        self.table.record(2.0, make_report(2, load=3), 0)
        news = self.table.changes_since(2.5, version)
        self.assertEqual([], news.rows)
        [load] = news.loads
        self.assertEqual(
            (2, 3, 500), (load.sequence, load.busy_slots, load.age_ms)
        )
        self.assertEqual(version, self.table.urgent_version)
        self.table.record(3.0, make_report(3, STARTING, load=3), 0)
        self.assertEqual(self.table.version, self.table.urgent_version)

    def test_ready_time_starts_anew_with_an_incarnation(self) -> None:
        self.table.record(1.0, make_report(1, STARTING), 0)
        row = self.table.changes_since(5.0, 0).rows[0]
        self.assertEqual(0, row.ready_ms)
        self.table.record(2.0, make_report(2), 0)
        self.table.record(4.0, make_report(3), 0)
        row = self.table.changes_since(5.0, 0).rows[0]
        self.assertEqual(3_000, row.ready_ms)
        self.table.record(4.5, make_report(1, READY, 2), 0)
        row = self.table.changes_since(5.0, 0).rows[0]
        self.assertEqual(500, row.ready_ms)

    def test_load_age_counts_from_the_last_load(self) -> None:
        self.table.record(1.0, make_report(1, load=2), 0)
        row = self.table.changes_since(3.5, 0).rows[0]
        self.assertEqual(2_500, row.load_age_ms)

    def test_removed_targets_are_listed_until_they_return(self) -> None:
        self.table.record(0.0, make_report(1), 0)
        self.table.record(0.0, make_report(1, name='u'), 0)
        version = self.table.version
        self.table.expire(3.0)
        news = self.table.changes_since(3.0, version)
        self.assertEqual((False, ['t', 'u']), (news.full, news.removed))
        self.table.record(4.0, make_report(2), 0)
        news = self.table.changes_since(4.0, version)
        self.assertEqual(['u'], news.removed)
        self.assertEqual(['t'], [row.report.target for row in news.rows])

    def test_unknown_version_gets_the_whole_table(self) -> None:
        self.table.record(0.0, make_report(1), 0)
        for version in (0, 99):
            self.assertTrue(self.table.changes_since(0.0, version).full)

    def test_reader_behind_many_removals_gets_the_whole_table(self) -> None:
        self.table.record(0.0, make_report(1, name='first'), 0)
        version = self.table.version
        for number in range(1_100):
            self.table.record(0.0, make_report(1, name=f'u{number}'), 0)
        self.table.expire(3.0)
        self.assertTrue(self.table.changes_since(3.0, version).full)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3),
                strategies.integers(1, 6),
                strategies.sampled_from([READY, LEAVING, STARTING]),
            ),
            min_size=1,
            max_size=12,
        )
    )
    def test_any_order_of_arrival_ends_in_the_newest(
        self, items: list[tuple[int, int, wire.TargetState]]
    ) -> None:
        table = membership.TargetTable()
        newest = {}
        for incarnation, sequence, state in items:
            newest.setdefault((incarnation, sequence), state)
            table.record(0.0, make_report(sequence, state, incarnation), 0)
        target = table.get('t')
        assert target is not None
        self.assertEqual(newest[max(newest)], target.report.state)


class TargetMirrorTest(unittest.TestCase):
    """Guards against use of targets that have left."""

    def setUp(self) -> None:
        self.mirror = membership.TargetMirror()

    def apply(
        self,
        now: float,
        *reports: wire.TargetReport,
        full: bool = False,
        removed: tuple[str, ...] = (),
        loads: tuple[wire.LoadRow, ...] = (),
    ) -> None:
        rows = [
            wire.TargetRow(
                report=report, lease_ms=3_000, ready_ms=1_000, load_age_ms=250
            )
            for report in reports
        ]
        response = wire.SyncResponse(
            term=1,
            leadership_age_ms=0,
            revision=0,
            full=False,
            changes=[],
            targets_version=1,
            targets_full=full,
            targets=rows,
            targets_removed=list(removed),
            loads=list(loads),
            entries=[],
            grant_sequence=1,
            grant_ttl_ms=2_800,
            grants=[],
            links=[],
        )
        self.mirror.apply(now, response)

    def names(self) -> list[str]:
        return [row.report.target for row in self.mirror.ready()]

    def test_only_ready_targets_are_listed(self) -> None:
        self.apply(5.0, make_report(1), make_report(1, STARTING, name='u'))
        self.assertEqual(['t'], self.names())
        row = self.mirror.get('t')
        assert row is not None
        self.assertEqual((4.0, None), (row.ready_since, row.load_at))
        self.apply(6.0, make_report(2, load=1))
        row = self.mirror.get('t')
        assert row is not None
        self.assertEqual(5.75, row.load_at)
        self.apply(7.0, removed=('t',))
        self.assertEqual([], self.names())

    def test_load_row_updates_the_load_and_the_sequence(self) -> None:
        self.apply(1.0, make_report(1, load=1))
        self.mirror.record_leave(1.5, make_report(2, LEAVING))
        self.assertEqual([], self.names())
        newer = wire.LoadRow(
            target=ids.TargetId('t'),
            sequence=3,
            busy_slots=7,
            queued=0,
            latency_ms=0.0,
            age_ms=500,
        )
        self.apply(2.0, loads=(newer,))
        # A "ready" after the leave revokes it.
        self.assertEqual(['t'], self.names())
        row = self.mirror.get('t')
        assert row is not None and row.report.load is not None
        self.assertEqual((7, 1.5), (row.report.load.busy_slots, row.load_at))
        self.apply(
            3.0,
            loads=(msgspec.structs.replace(newer, sequence=2, busy_slots=1),),
        )
        self.assertEqual(7, row.report.load.busy_slots)

    def test_new_leader_with_an_empty_table_removes_nothing_yet(self) -> None:
        self.apply(5.0, make_report(1), make_report(1, name='u'))
        self.apply(6.0, full=True)
        self.assertEqual(['t', 'u'], self.names())
        self.apply(7.0, make_report(2))
        self.mirror.expire(8.99)
        self.assertEqual(['t', 'u'], self.names())
        self.mirror.expire(9.0)
        self.assertEqual(['t'], self.names())

    def test_leave_heard_directly_beats_older_rows(self) -> None:
        self.apply(5.0, make_report(1))
        self.mirror.record_leave(5.1, make_report(4, LEAVING))
        self.apply(5.2, make_report(3))
        self.assertEqual([], self.names())
        self.mirror.record_leave(5.3, make_report(2, LEAVING))
        self.apply(5.4, make_report(3))
        self.assertEqual([], self.names())
        self.apply(5.5, make_report(1, READY, 2))
        self.assertEqual(['t'], self.names())

    def test_older_row_of_a_new_leader_is_ignored(self) -> None:
        self.apply(5.0, make_report(7, LEAVING))
        self.apply(6.0, make_report(6), full=True)
        self.assertEqual([], self.names())

    def test_every_change_moves_the_version(self) -> None:
        seen = [self.mirror.version]
        self.apply(5.0, make_report(1))
        seen.append(self.mirror.version)
        self.mirror.record_leave(5.1, make_report(4, LEAVING))
        seen.append(self.mirror.version)
        self.mirror.expire(70.0)
        seen.append(self.mirror.version)
        self.assertEqual(sorted(set(seen)), seen)


class EntryTableTest(unittest.TestCase):
    """Guards against look-ups that name dead or draining entries."""

    def setUp(self) -> None:
        self.table = membership.EntryTable(100.0)

    def record(
        self, now: float, incarnation: int = 1, draining: bool = False
    ) -> bool:
        cluster = allocator_fixtures.build_pair()
        if draining:
            cluster.draining.add('e0')
        request = cluster.request('e0')
        fields = {
            name: getattr(request, name) for name in request.__struct_fields__
        }
        info = request.info
        fields['info'] = wire.EntryInfo(
            entry=info.entry,
            incarnation=incarnation,
            region=info.region,
            failure_domain=info.failure_domain,
            listen='',
            api='',
            rpc='',
        )
        return self.table.record(now, wire.SyncRequest(**fields))

    def test_silent_entry_is_dead_and_comes_back(self) -> None:
        self.assertTrue(self.record(100.0))
        self.assertEqual([], self.table.expire(102.9))
        self.assertEqual(['e0'], self.table.expire(103.0))
        self.assertFalse(self.table.rows()[0].alive)
        version = self.table.version
        self.record(104.0)
        self.assertTrue(self.table.rows()[0].alive)
        self.assertGreater(self.table.version, version)

    def test_older_incarnation_is_refused(self) -> None:
        self.assertTrue(self.record(100.0, incarnation=2))
        self.assertFalse(self.record(101.0, incarnation=1))
        self.assertEqual(1.5, self.table.get_silence_s(101.5, 'e0'))
        self.assertTrue(self.record(102.0, incarnation=3))

    def test_only_changes_move_the_version(self) -> None:
        self.record(100.0)
        version = self.table.version
        self.record(100.4)
        self.assertEqual(version, self.table.version)
        self.record(100.8, draining=True)
        self.assertEqual(version + 1, self.table.version)
        self.assertTrue(self.table.rows()[0].draining)

    def test_entry_never_heard_is_silent_since_the_start(self) -> None:
        self.assertEqual(4.0, self.table.get_silence_s(104.0, 'e9'))
        self.assertIsNone(self.table.get('e9'))

    def test_dead_entry_is_forgotten_after_a_while(self) -> None:
        self.record(100.0)
        self.table.expire(800.0)
        self.assertEqual([], self.table.rows())
