"""Tests of edits, validation and state transitions in the store."""

import unittest

import msgspec

from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire
from tests import store_fixtures


class EditTest(unittest.TestCase):
    """Guards against edits that are lost, applied twice or reverted.

    Operators resend edits, reuse edit ids and edit the same table at once.
    """

    def test_of_two_edits_with_equal_versions_one_wins(self) -> None:
        group = store_fixtures.MachineHarness()
        first = group.edit(
            'a', store_fixtures.make_pool(), base={store_fixtures.POOLS: 0}
        )
        second = group.edit(
            'b',
            store_fixtures.make_pool('other'),
            base={store_fixtures.POOLS: 0},
        )
        self.assertIsNone(first.kind)
        self.assertEqual('version_conflict', second.kind)
        self.assertEqual((1, 'a'), (second.revision, second.winner))
        self.assertIsNone(group.machine.tables.get(wire.Pool, 'other'))

    def test_resent_edit_returns_the_first_result(self) -> None:
        group = store_fixtures.MachineHarness()
        first = group.edit(
            'a', store_fixtures.make_pool(), base={store_fixtures.POOLS: 0}
        )
        group.edit('b', store_fixtures.make_pool(queue_limit=9))
        again = group.edit(
            'a', store_fixtures.make_pool(), base={store_fixtures.POOLS: 0}
        )
        self.assertEqual(first, again)
        self.assertEqual(2, group.machine.tables.revision)

    def test_refused_edit_is_refused_again_after_the_cause_is_gone(
        self,
    ) -> None:
        group = store_fixtures.MachineHarness()
        first = group.edit(
            'a', store_fixtures.make_route(), base={store_fixtures.ROUTES: 0}
        )
        group.edit('b', store_fixtures.make_pool())
        again = group.edit(
            'a', store_fixtures.make_route(), base={store_fixtures.ROUTES: 0}
        )
        self.assertEqual('invalid_edit', first.kind)
        self.assertEqual(first, again)

    def test_edit_id_with_other_content_is_refused(self) -> None:
        group = store_fixtures.MachineHarness()
        group.edit('a', store_fixtures.make_pool())
        other = group.edit(
            'a',
            store_fixtures.make_pool('other'),
            base={store_fixtures.POOLS: 0},
        )
        self.assertEqual('edit_id_conflict', other.kind)
        self.assertIsNone(group.machine.tables.get(wire.Pool, 'other'))

    def test_resend_is_recognized_by_its_content(self) -> None:
        group = store_fixtures.MachineHarness()
        first = wire.Edit(
            edit_id=ids.EditId('a'),
            base={store_fixtures.POOLS: 0},
            changes=[store.make_change(store_fixtures.make_pool())],
            content='file 1',
        )
        accepted = group.apply(first)
        resent = msgspec.structs.replace(
            first, base={store_fixtures.POOLS: 1}, changes=[]
        )
        self.assertEqual(accepted, group.apply(resent))
        other = msgspec.structs.replace(first, content='file 2')
        self.assertEqual('edit_id_conflict', group.apply(other).kind)

    def test_results_are_bounded(self) -> None:
        group = store_fixtures.MachineHarness(store.EditResults(max_results=3))
        for number in range(5):
            group.edit(
                f'e{number}', store_fixtures.make_pool(queue_limit=number)
            )
        self.assertEqual(3, len(group.machine.results))
        self.assertIsNone(group.machine.results.find(ids.EditId('e1')))
        self.assertIsNotNone(group.machine.results.find(ids.EditId('e2')))

    def test_problems_of_refused_edits_are_bounded(self) -> None:
        group = store_fixtures.MachineHarness(
            store.EditResults(max_problem_bytes=200)
        )
        for number in range(5):
            group.edit(f'e{number}', store_fixtures.make_route(pool='gone'))
        oldest = group.machine.results.find(ids.EditId('e0'))
        newest = group.machine.results.find(ids.EditId('e4'))
        assert oldest is not None and newest is not None
        self.assertEqual('invalid_edit', oldest.result.kind)
        self.assertEqual([], oldest.result.problems)
        self.assertEqual(1, len(newest.result.problems))
        copy = store.Machine(results=store.EditResults(max_problem_bytes=200))
        copy.restore(group.machine.snapshot())
        data = store.encode_command(
            wire.Edit(
                edit_id=ids.EditId('e5'),
                base={store_fixtures.ROUTES: 0},
                changes=[
                    store.make_change(store_fixtures.make_route(pool='gone'))
                ],
            )
        )
        group.machine.apply(data)
        copy.apply(data)
        self.assertEqual(group.machine.snapshot(), copy.snapshot())

    def test_edit_without_base_version_is_refused(self) -> None:
        result = store_fixtures.MachineHarness().edit(
            'a', store_fixtures.make_pool(), base={}
        )
        self.assertEqual('invalid_edit', result.kind)
        self.assertIn('pools: found no base version', result.problems[0])

    def test_malformed_command_changes_nothing(self) -> None:
        machine = store.Machine()
        result = wire.decode(machine.apply(b'\xc1'))
        assert isinstance(result, wire.EditResult)
        self.assertEqual('malformed_message', result.kind)
        self.assertEqual(0, machine.tables.revision)

    def test_record_groups_cannot_be_edited(self) -> None:
        row = wire.RecordGroup(
            name=ids.RegionName('ost'), generation=1, primary=ids.EntryId('e')
        )
        result = store_fixtures.MachineHarness().edit('a', row)
        self.assertIn('maintained by the control leader', result.problems[0])

    def test_edit_without_effect_keeps_the_revision(self) -> None:
        group = store_fixtures.MachineHarness()
        group.edit('a', store_fixtures.make_pool())
        result = group.edit('b', store_fixtures.make_pool())
        self.assertEqual((None, 1), (result.kind, result.revision))


class ValidationTest(unittest.TestCase):
    """Guards against accepting tables that entries cannot apply.

    An edit may hold invalid rows, or valid rows that contradict others.
    """

    def check(self, expected: list[str], *rows: wire.Row) -> None:
        group = store_fixtures.MachineHarness()
        before = group.machine.tables.dump()
        result = group.edit('a', *rows)
        self.assertEqual('invalid_edit', result.kind)
        self.assertEqual(before, group.machine.tables.dump())
        for part in expected:
            with self.subTest(part=part):
                self.assertTrue(
                    any(part in line for line in result.problems),
                    result.problems,
                )

    def test_all_problems_are_reported_together(self) -> None:
        self.check(
            [
                "routes.lost.pool: found 'gone', expected a known pool",
                'routes.b: overlaps with routes.a',
                'pools.katalog.latency_weight: found 1.5, expected a number '
                'from 0 to 1',
                'shifts.s.cap_percent: found 101.0, expected more than 0',
                "shifts.s.to_region: found 'ost', expected another region",
                'shifts.t.end: found 100.0, expected a time after start',
            ],
            store_fixtures.make_pool(latency_weight=1.5),
            store_fixtures.make_route('a', methods=['GET', 'PUT']),
            store_fixtures.make_route('b', methods=['PUT']),
            store_fixtures.make_route('lost', host='x', pool='gone'),
            store_fixtures.make_shift('s', cap_percent=101.0, to_region='ost'),
            store_fixtures.make_shift(
                't', end=100.0, start=100.0, from_region='sued'
            ),
        )

    def test_cap_must_be_above_zero_and_a_number(self) -> None:
        for cap in (0.0, -1.0, float('nan')):
            with self.subTest(cap=cap):
                shift = msgspec.structs.replace(
                    store_fixtures.make_shift(), cap_percent=cap
                )
                self.check(
                    ['shifts.s.cap_percent'], store_fixtures.make_pool(), shift
                )

    def test_regions_must_be_linked_once_links_are_known(self) -> None:
        self.check(
            [
                "shifts.s.to_region: found 'nord', expected a region of "
                'the links table: ost, west',
                "drains.d.subject: found 'sued'",
                "blocks.10.0.0.0/8.region: found 'nord'",
            ],
            store_fixtures.make_pool(),
            store_fixtures.make_link('ost', 'west'),
            store_fixtures.make_shift(to_region='nord'),
            store_fixtures.make_drain(subject='sued'),
            wire.Block(name='10.0.0.0/8', region=ids.RegionName('nord')),
        )

    def test_blocks_must_be_canonical(self) -> None:
        for name in ('10.0.0.1/8', 'x', '2001:DB8::/32', '10.0.0.0'):
            with self.subTest(name=name):
                self.check(
                    ['blocks.' + name],
                    wire.Block(name=name, region=ids.RegionName('ost')),
                )

    def test_shifts_of_the_same_traffic_may_not_overlap(self) -> None:
        self.check(
            ['shifts.t: overlaps with shifts.s'],
            store_fixtures.make_pool(),
            store_fixtures.make_shift('s'),
            store_fixtures.make_shift(
                't', to_region='sued', start=150.0, end=300.0
            ),
        )

    def test_route_deadline_is_bounded_by_its_pool(self) -> None:
        self.check(
            ['routes.r.deadline_ms: found 600, expected at most'],
            store_fixtures.make_pool(max_deadline_ms=500),
            store_fixtures.make_route(deadline_ms=600),
        )

    def test_row_must_match_its_table_and_key(self) -> None:
        edit = wire.Edit(
            edit_id=ids.EditId('a'),
            base={store_fixtures.ROUTES: 0},
            changes=[
                wire.Change(
                    store_fixtures.ROUTES, 'x', store_fixtures.make_pool('x')
                ),
                wire.Change(
                    store_fixtures.ROUTES, 'y', store_fixtures.make_route('z')
                ),
                wire.Change(
                    store_fixtures.ROUTES, 'y', store_fixtures.make_route('y')
                ),
            ],
        )
        problems = store_fixtures.MachineHarness().apply(edit).problems
        self.assertEqual(3, len(problems), problems)

    def test_removal_of_an_unknown_row_is_refused(self) -> None:
        result = store_fixtures.MachineHarness().edit(
            'a', removed=((store_fixtures.DRAINS, 'd'),)
        )
        self.assertIn('drains.d: found nothing', result.problems[0])

    def test_pool_in_use_cannot_be_removed(self) -> None:
        group = store_fixtures.MachineHarness()
        group.edit(
            'a', store_fixtures.make_pool(), store_fixtures.make_route()
        )
        result = group.edit('b', removed=((store_fixtures.POOLS, 'katalog'),))
        self.assertEqual('invalid_edit', result.kind)

    def test_problem_list_is_bounded(self) -> None:
        rows = [
            store_fixtures.make_route(f'r{number}', pool='x')
            for number in range(20)
        ]
        result = store_fixtures.MachineHarness().edit('a', *rows)
        self.assertEqual(51, len(result.problems))
        self.assertIn('more problems', result.problems[-1])


class TransitionTest(unittest.TestCase):
    """Guards against drains and shifts that return to an earlier state.

    That could follow an edit, or a step of a former leader.
    """

    def setUp(self) -> None:
        self.group = store_fixtures.MachineHarness()
        self.group.edit(
            'a',
            store_fixtures.make_pool(),
            store_fixtures.make_shift(),
            store_fixtures.make_drain(),
        )

    def replace(self, row: wire.Row, **fields: object) -> wire.EditResult:
        return self.group.step(msgspec.structs.replace(row, **fields))

    def shift(self) -> wire.Shift:
        shift = self.group.machine.tables.get(wire.Shift, 's')
        assert shift is not None
        return shift

    def test_steps_move_forward_only(self) -> None:
        state = wire.ShiftState
        steps = [
            (state.ACTIVE, 10.0, None),
            (state.HELD, 10.0, None),
            (state.PLANNED, 0.0, 'version_conflict'),
            (state.ACTIVE, 5.0, 'version_conflict'),
            (state.ACTIVE, 50.0, None),
            (state.ACTIVE, 51.0, 'version_conflict'),
            (state.DONE, 0.0, None),
            (state.ACTIVE, 10.0, 'version_conflict'),
        ]
        for new_state, percent, kind in steps:
            with self.subTest(state=new_state, percent=percent):
                result = self.replace(
                    self.shift(), state=new_state, percent=percent
                )
                self.assertEqual(kind, result.kind)

    def test_step_from_an_old_row_is_refused(self) -> None:
        planned = self.shift()
        active = msgspec.structs.replace(
            planned, state=wire.ShiftState.ACTIVE, percent=10.0
        )
        step = store.Step(rows=[store.RowStep(planned, active)])
        self.group.edit('b', msgspec.structs.replace(planned, ramp_s=1.0))
        self.assertEqual('version_conflict', self.group.apply(step).kind)

    def test_edit_keeps_the_state_in_force(self) -> None:
        self.replace(self.shift(), state=wire.ShiftState.ACTIVE, percent=30.0)
        self.group.edit('b', store_fixtures.make_shift(cap_percent=20.0))
        self.assertEqual(wire.ShiftState.ACTIVE, self.shift().state)
        self.assertEqual(20.0, self.shift().percent)

    def test_step_does_not_conflict_with_edits(self) -> None:
        version = self.group.machine.table_version(store_fixtures.SHIFTS)
        self.replace(self.shift(), state=wire.ShiftState.ACTIVE)
        self.assertEqual(
            version, self.group.machine.table_version(store_fixtures.SHIFTS)
        )

    def test_cancelled_shift_stays_cancelled(self) -> None:
        cancelled = store_fixtures.make_shift(state='cancelled')
        self.assertIsNone(self.group.edit('b', cancelled).kind)
        self.group.edit('c', store_fixtures.make_shift())
        self.assertEqual(wire.ShiftState.CANCELLED, self.shift().state)
        changed = self.group.edit('d', store_fixtures.make_shift(end=300.0))
        self.assertEqual('invalid_edit', changed.kind)
        result = self.replace(self.shift(), state=wire.ShiftState.ACTIVE)
        self.assertEqual('version_conflict', result.kind)

    def test_active_drain_keeps_its_subject_and_is_not_removed(self) -> None:
        self.replace(store_fixtures.make_drain(), state=wire.DrainState.ACTIVE)
        moved = self.group.edit('b', store_fixtures.make_drain(subject='west'))
        removed = self.group.edit('c', removed=((store_fixtures.DRAINS, 'd'),))
        self.assertIn('drains.d.subject', moved.problems[0])
        self.assertIn('cancelled before it is removed', removed.problems[0])

    def test_done_drain_can_be_cancelled_and_removed(self) -> None:
        self.replace(store_fixtures.make_drain(), state=wire.DrainState.ACTIVE)
        drain = self.group.machine.tables.get(wire.Drain, 'd')
        assert drain is not None
        self.replace(drain, state=wire.DrainState.DONE)
        cancelled = self.group.edit(
            'b', store_fixtures.make_drain(state='cancelled')
        )
        removed = self.group.edit('c', removed=((store_fixtures.DRAINS, 'd'),))
        self.assertEqual((None, None), (cancelled.kind, removed.kind))

    def test_record_generation_never_goes_back(self) -> None:
        row = wire.RecordGroup(
            name=ids.RegionName('ost'),
            generation=4,
            lost_before=2,
            primary=ids.EntryId('e1'),
        )
        self.assertIsNone(self.group.step(row).kind)
        for field, value in (('generation', 3), ('lost_before', 1)):
            with self.subTest(field=field):
                result = self.replace(row, **{field: value})
                self.assertEqual('version_conflict', result.kind)
