"""Tests of the steps that a control leader proposes."""

import unittest

import msgspec

from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _drains
from fulmarseam.control import _groups
from fulmarseam.control import _leadership
from fulmarseam.control import _shifts
from tests import control_fixtures as fixtures

# By this time a new leader has waited for the reports of all entries.
SETTLED = 100.0


class LeaderCase(unittest.TestCase):
    """A leader whose steps are applied at once."""

    def setUp(self) -> None:
        self.machine = store.Machine()
        self.tables = self.machine.tables
        [content] = fixtures.make_group_settings('/nowhere', 1)
        self.leadership = _leadership.Leadership(
            0.0,
            ids.Term(1),
            fixtures.parse_control_settings(content),
            self.tables,
        )

    def apply(self, command: store.Command) -> None:
        data = store.encode_command(command)
        result = wire.decode(self.machine.apply(data))
        assert isinstance(result, wire.EditResult)
        self.assertIsNone(result.kind, result.problems)

    def edit(self, *rows: wire.Row) -> None:
        self.apply(
            wire.Edit(
                edit_id=ids.EditId(f'e{self.tables.revision}'),
                base={
                    table: self.machine.table_version(table)
                    for table in wire.TableName
                },
                changes=[store.make_change(row) for row in rows],
            )
        )

    def sync(self, now: float, *requests: wire.SyncRequest) -> None:
        for request in requests:
            self.leadership.record_sync(now, request)


class DrainTest(LeaderCase):
    """Guards against drains that start late or end too early.

    A drain ends too early when the leader misses entries that are silent,
    have not applied the drain or have not synced since it took over.
    """

    def setUp(self) -> None:
        super().setUp()
        self.planner = _drains.DrainPlanner()
        self.edit(
            wire.Pool(name=ids.PoolName('katalog'), max_deadline_ms=10_000),
            wire.Drain(
                name='d',
                scope=wire.DrainScope.DOMAIN,
                subject='ost-a',
                start=500.0,
            ),
        )

    def step(self, now: float, wall: float = 500.0) -> str:
        for row in list(
            self.planner.plan(now, wall, self.leadership, self.tables)
        ):
            self.apply(store.Step(rows=[row]))
        drain = self.tables.get(wire.Drain, 'd')
        assert drain is not None
        return drain.state.value

    def request(
        self, allowance: int, in_flight: int, entry: str = 'e1'
    ) -> wire.SyncRequest:
        return fixtures.make_request(
            fixtures.make_info(entry),
            revision=self.tables.revision,
            uses=[fixtures.make_slot_use('t1', allowance, in_flight)],
            announcements=[fixtures.make_target('t1')],
        )

    def test_starts_at_its_time_and_not_again(self) -> None:
        self.assertEqual('planned', self.step(1.0, 499.9))
        self.assertEqual('active', self.step(1.0, 500.0))
        self.assertEqual('active', self.step(1.0, 400.0))

    def test_waits_for_requests_and_slots(self) -> None:
        self.step(SETTLED)
        for allowance, in_flight in ((0, 1), (1, 0)):
            with self.subTest(allowance=allowance, in_flight=in_flight):
                self.sync(SETTLED, self.request(allowance, in_flight))
                self.assertEqual('active', self.step(SETTLED))
        self.sync(SETTLED, self.request(0, 0))
        self.assertEqual('done', self.step(SETTLED))

    def test_waits_until_every_entry_has_applied_it(self) -> None:
        stale = self.request(0, 0)
        self.step(SETTLED)
        self.sync(SETTLED, stale)
        self.assertEqual('active', self.step(SETTLED))

    def test_waits_for_deadlines_of_a_silent_entry(self) -> None:
        self.step(SETTLED)
        self.sync(SETTLED, self.request(0, 1))
        self.assertEqual('active', self.step(SETTLED + 12.7))
        self.assertEqual('done', self.step(SETTLED + 12.9))

    def test_new_leader_waits_for_reports(self) -> None:
        self.step(0.1)
        self.assertEqual('active', self.step(5.9))

    def test_does_not_wait_for_other_domains(self) -> None:
        self.step(SETTLED)
        self.sync(
            SETTLED,
            fixtures.make_request(
                revision=self.tables.revision,
                uses=[fixtures.make_slot_use('t2', 2, 2)],
                announcements=[fixtures.make_target('t2', domain='ost-b')],
            ),
        )
        self.assertEqual('done', self.step(SETTLED))


class ShiftTest(LeaderCase):
    """Guards against shifts beyond their cap or the free slots.

    The receiving region may lack free slots, and a new leader may ramp up
    before it has the reports of all entries.
    """

    def setUp(self) -> None:
        super().setUp()
        self.planner = _shifts.ShiftPlanner()
        self.edit(
            wire.Pool(name=ids.PoolName('katalog')),
            self.make_shift('s', 500.0, 900.0),
        )

    def make_shift(self, name: str, start: float, end: float) -> wire.Shift:
        return wire.Shift(
            name=name,
            pool=ids.PoolName('katalog'),
            from_region=ids.RegionName('ost'),
            to_region=ids.RegionName('west'),
            cap_percent=40.0,
            start=start,
            end=end,
            ramp_s=100.0,
        )

    def sync_busy(self, now: float, busy: int) -> None:
        target = fixtures.make_target('t1', slots=10, region='west')
        self.sync(
            now,
            fixtures.make_request(
                uses=[fixtures.make_slot_use('t1', 10, busy)],
                announcements=[target],
            ),
        )

    def step(self, now: float, wall: float = 500.0) -> tuple[str, float]:
        for row in list(
            self.planner.plan(now, wall, self.leadership, self.tables)
        ):
            self.apply(store.Step(rows=[row]))
        shift = self.tables.get(wire.Shift, 's')
        assert shift is not None
        return shift.state.value, shift.percent

    def test_ramp_is_timed_by_the_monotonic_clock(self) -> None:
        self.sync_busy(SETTLED, 0)
        self.assertEqual(('planned', 0.0), self.step(SETTLED, 499.0))
        self.assertEqual(('active', 0.0), self.step(SETTLED))
        self.assertEqual(('active', 4.0), self.step(SETTLED))
        self.assertEqual(('active', 4.0), self.step(SETTLED + 9.9, 800.0))
        self.assertEqual(('active', 8.0), self.step(SETTLED + 10.0, 100.0))

    def test_ramp_ends_at_the_cap(self) -> None:
        self.sync_busy(SETTLED, 0)
        for number in range(30):
            found = self.step(SETTLED + 10.0 * number)
        self.assertEqual(('active', 40.0), found)

    def test_holds_without_free_slots_and_resumes_with_them(self) -> None:
        self.sync_busy(SETTLED, 0)
        self.step(SETTLED)
        self.step(SETTLED)
        for now, busy, expected in (
            (110.0, 10, ('held', 4.0)),
            (120.0, 9, ('held', 4.0)),
            (130.0, 7, ('active', 4.0)),
            (131.0, 7, ('active', 8.0)),
        ):
            with self.subTest(now=now):
                self.sync_busy(now, busy)
                self.assertEqual(expected, self.step(now))

    def test_holds_without_any_target(self) -> None:
        self.step(SETTLED)
        self.assertEqual(('held', 0.0), self.step(SETTLED))

    def test_new_leader_does_not_ramp_before_it_has_reports(self) -> None:
        self.sync_busy(1.0, 0)
        self.step(1.0)
        self.assertEqual(('active', 0.0), self.step(2.0))

    def test_ends_at_its_time_and_stays_done(self) -> None:
        self.sync_busy(SETTLED, 0)
        self.step(SETTLED)
        self.step(SETTLED)
        self.assertEqual(('done', 0.0), self.step(SETTLED + 1, 900.0))
        self.assertEqual(('done', 0.0), self.step(SETTLED + 2, 600.0))

    def test_ends_even_if_its_start_was_missed(self) -> None:
        self.assertEqual(('done', 0.0), self.step(SETTLED, 901.0))


class RecordGroupTest(LeaderCase):
    """Guards against lost records that count as kept.

    A request could then run twice. Records are lost when a replica restarts
    or falls silent before another one has a full copy.
    """

    def setUp(self) -> None:
        super().setUp()
        self.planner = _groups.GroupPlanner()
        self.infos = {
            'e1': fixtures.make_info('e1'),
            'e2': fixtures.make_info('e2', domain='ost-b'),
            'e3': fixtures.make_info('e3', region='west', domain='west-a'),
        }
        self.sync_copies(SETTLED, 'e1', 'e2', 'e3')
        self.step(SETTLED)

    def sync_copies(self, now: float, *entries: str) -> None:
        """Sync entries that report full copies of the current generation."""
        row = self.tables.get(wire.RecordGroup, 'ost')
        copies = [
            wire.RecordCopy(
                region=ids.RegionName('ost'),
                generation=row.generation if row else 1,
            )
        ]
        for entry in entries:
            self.sync(
                now, fixtures.make_request(self.infos[entry], copies=copies)
            )

    def step(self, now: float) -> wire.RecordGroup:
        self.leadership.expire(now)
        for row in list(self.planner.plan(now, self.leadership, self.tables)):
            self.apply(store.Step(rows=[row]))
        row = self.tables.get(wire.RecordGroup, 'ost')
        assert row is not None
        return row

    def replicas(self, row: wire.RecordGroup) -> tuple[str, str | None]:
        return row.primary, row.backup

    def restart(self, now: float, entry: str) -> None:
        info = self.infos[entry]
        self.infos[entry] = msgspec.structs.replace(
            info, incarnation=info.incarnation + 1
        )
        self.sync(now, fixtures.make_request(self.infos[entry]))

    def test_backup_is_in_the_other_domain_and_counts_when_ready(self) -> None:
        row = self.tables.get(wire.RecordGroup, 'ost')
        assert row is not None
        self.assertEqual(('e1', 'e2'), self.replicas(row))
        self.assertFalse(row.backup_ready)
        self.assertTrue(self.step(SETTLED).backup_ready)

    def test_survivor_becomes_primary_with_a_new_backup(self) -> None:
        self.step(SETTLED)
        self.sync_copies(SETTLED + 6.0, 'e2', 'e3')
        self.assertEqual('e1', self.step(SETTLED + 6.0).primary)
        self.sync_copies(SETTLED + 6.1, 'e2', 'e3')
        row = self.step(SETTLED + 6.1)
        self.assertEqual(('e2', 'e3'), self.replicas(row))
        self.assertEqual((2, 0), (row.generation, row.lost_before))
        self.assertFalse(row.backup_ready)

    def test_second_loss_before_the_copy_loses_the_records(self) -> None:
        self.step(SETTLED)
        self.sync_copies(SETTLED + 6.1, 'e2', 'e3')
        self.step(SETTLED + 6.1)
        self.restart(SETTLED + 6.2, 'e2')
        row = self.step(SETTLED + 6.2)
        self.assertEqual((3, 3), (row.generation, row.lost_before))

    def test_restarted_primary_without_records_is_replaced(self) -> None:
        self.step(SETTLED)
        self.restart(SETTLED + 0.5, 'e1')
        row = self.step(SETTLED + 0.5)
        self.assertEqual(('e2', 'e1'), self.replicas(row))
        self.assertEqual((2, 0), (row.generation, row.lost_before))
        self.assertEqual(2, row.backup_incarnation)

    def test_copy_of_an_older_generation_is_not_ready(self) -> None:
        self.step(SETTLED)
        self.restart(SETTLED + 0.5, 'e2')
        row = self.step(SETTLED + 0.5)
        self.assertEqual((2, False), (row.generation, row.backup_ready))
        copies = [wire.RecordCopy(region=ids.RegionName('ost'), generation=1)]
        self.sync(
            SETTLED + 0.6,
            fixtures.make_request(self.infos['e2'], copies=copies),
        )
        self.assertFalse(self.step(SETTLED + 0.6).backup_ready)

    def test_loss_of_both_replicas_marks_older_records_lost(self) -> None:
        self.step(SETTLED)
        self.infos['e4'] = fixtures.make_info('e4', domain='ost-b')
        self.sync_copies(SETTLED + 6.1, 'e3', 'e4')
        row = self.step(SETTLED + 6.1)
        self.assertEqual(('e4', 'e3'), self.replicas(row))
        self.assertEqual((2, 2), (row.generation, row.lost_before))

    def test_restarted_replicas_are_preferred_for_their_journals(
        self,
    ) -> None:
        self.step(SETTLED)
        self.infos['e0'] = fixtures.make_info('e0')
        self.sync_copies(SETTLED, 'e0')
        self.restart(SETTLED + 0.5, 'e1')
        self.restart(SETTLED + 0.5, 'e2')
        row = self.step(SETTLED + 0.5)
        self.assertEqual(('e1', 'e2'), self.replicas(row))
        self.assertEqual((2, 2), (row.generation, row.lost_before))

    def test_backup_returns_to_the_region_when_a_domain_is_back(
        self,
    ) -> None:
        self.step(SETTLED)
        self.sync_copies(SETTLED + 6.1, 'e1', 'e3')
        self.assertEqual(('e1', 'e3'), self.replicas(self.step(SETTLED + 6.1)))
        self.sync_copies(SETTLED + 6.2, 'e1', 'e2', 'e3')
        row = self.step(SETTLED + 6.2)
        self.assertEqual(('e1', 'e2'), self.replicas(row))
        self.assertFalse(row.backup_ready)

    def test_ready_backup_replaces_a_draining_primary(self) -> None:
        self.step(SETTLED)
        self.sync(
            SETTLED, fixtures.make_request(self.infos['e1'], draining=True)
        )
        row = self.step(SETTLED)
        self.assertEqual(('e2', 'e3'), self.replicas(row))
        self.assertEqual(0, row.lost_before)

    def test_draining_primary_stays_as_backup_without_another_entry(
        self,
    ) -> None:
        self.step(SETTLED)
        self.sync_copies(SETTLED + 7.0, 'e1', 'e2')
        self.leadership.expire(SETTLED + 7.0)
        draining = fixtures.make_request(self.infos['e1'], draining=True)
        self.sync(SETTLED + 7.0, draining)
        row = self.step(SETTLED + 7.0)
        self.assertEqual(('e2', 'e1'), self.replicas(row))

    def test_draining_backup_is_replaced(self) -> None:
        self.assertEqual(('e1', 'e2'), self.replicas(self.step(SETTLED)))
        draining = fixtures.make_request(self.infos['e2'], draining=True)
        self.sync(SETTLED, draining)
        self.assertEqual(('e1', 'e3'), self.replicas(self.step(SETTLED)))

    def test_new_leader_does_not_replace_silent_replicas_at_once(self) -> None:
        row = self.step(SETTLED)
        self.leadership = _leadership.Leadership(
            SETTLED,
            ids.Term(2),
            fixtures.parse_control_settings(
                fixtures.make_group_settings('/nowhere', 1)[0]
            ),
            self.tables,
        )
        self.planner = _groups.GroupPlanner()
        self.sync_copies(SETTLED + 1.0, 'e3')
        self.assertEqual(row, self.step(SETTLED + 5.9))

    def test_generations_are_rotated_and_dropped_after_a_day(self) -> None:
        self.step(SETTLED)
        hour = 3_600.0
        for count in range(1, 35):
            now = SETTLED + count * hour
            self.sync_copies(now, 'e1', 'e2', 'e3')
            row = self.step(now)
            self.assertLessEqual(count / 12, row.generation)
            if count < 30:
                self.assertLessEqual(row.lost_before, 1)
        self.assertEqual(('e1', 'e2'), self.replicas(row))
        self.assertGreater(row.lost_before, 1)
        self.assertTrue(row.backup_ready)
