"""Tests of the store package."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire

POOLS = wire.TableName.POOLS
ROUTES = wire.TableName.ROUTES
SHIFTS = wire.TableName.SHIFTS
DRAINS = wire.TableName.DRAINS
BLOCKS = wire.TableName.BLOCKS


def make_pool(name: str = 'katalog', **fields: object) -> wire.Pool:
    return msgspec.convert({'type': 'pool', 'name': name, **fields}, wire.Pool)


def make_route(name: str = 'r', **fields: object) -> wire.Route:
    base = {'host': 'h', 'path_prefix': '/', 'pool': 'katalog'}
    return msgspec.convert(
        {'type': 'route', 'name': name, **base, **fields}, wire.Route
    )


def make_shift(name: str = 's', **fields: object) -> wire.Shift:
    base = {
        'pool': 'katalog',
        'from_region': 'ost',
        'to_region': 'west',
        'cap_percent': 50.0,
        'start': 100.0,
        'end': 200.0,
    }
    return msgspec.convert(
        {'type': 'shift', 'name': name, **base, **fields}, wire.Shift
    )


def make_drain(name: str = 'd', **fields: object) -> wire.Drain:
    base = {'scope': 'region', 'subject': 'ost', 'start': 100.0}
    return msgspec.convert(
        {'type': 'drain', 'name': name, **base, **fields}, wire.Drain
    )


def make_link(from_region: str, to_region: str) -> wire.Link:
    return wire.Link(
        name=f'{from_region}>{to_region}',
        from_region=ids.RegionName(from_region),
        to_region=ids.RegionName(to_region),
        bytes_per_s=1_000,
    )


class Group:
    """A machine with the calls that the tests make."""

    def __init__(self, results: store.EditResults | None = None) -> None:
        self.machine = store.Machine(results=results)
        self.log: list[bytes] = []

    def apply(self, command: store.Command) -> wire.EditResult:
        data = store.encode_command(command)
        self.log.append(data)
        result = wire.decode(self.machine.apply(data))
        assert isinstance(result, wire.EditResult)
        return result

    def edit(
        self,
        edit_id: str,
        *rows: wire.Row,
        removed: tuple[tuple[wire.TableName, str], ...] = (),
        base: dict[wire.TableName, int] | None = None,
    ) -> wire.EditResult:
        changes = [store.make_change(row) for row in rows]
        changes += [wire.Change(table, key, None) for table, key in removed]
        if base is None:
            base = {
                change.table: self.machine.version(change.table)
                for change in changes
            }
        return self.apply(
            wire.Edit(edit_id=ids.EditId(edit_id), base=base, changes=changes)
        )

    def step(self, row: wire.Row) -> wire.EditResult:
        table = store.TABLE_NAMES[type(row)]
        current = self.machine.tables.find(table, row.name)
        return self.apply(store.Step(rows=[store.RowStep(current, row)]))


class EditTest(unittest.TestCase):
    """Guards against lost, doubled and reverted edits."""

    def test_of_two_edits_with_equal_versions_one_wins(self) -> None:
        group = Group()
        first = group.edit('a', make_pool(), base={POOLS: 0})
        second = group.edit('b', make_pool('other'), base={POOLS: 0})
        self.assertIsNone(first.kind)
        self.assertEqual('version_conflict', second.kind)
        self.assertEqual((1, 'a'), (second.revision, second.winner))
        self.assertIsNone(group.machine.tables.get(wire.Pool, 'other'))

    def test_resent_edit_returns_the_first_result(self) -> None:
        group = Group()
        first = group.edit('a', make_pool(), base={POOLS: 0})
        group.edit('b', make_pool(queue_limit=9))
        again = group.edit('a', make_pool(), base={POOLS: 0})
        self.assertEqual(first, again)
        self.assertEqual(2, group.machine.tables.revision)

    def test_refused_edit_is_refused_again_after_the_cause_is_gone(
        self,
    ) -> None:
        group = Group()
        first = group.edit('a', make_route(), base={ROUTES: 0})
        group.edit('b', make_pool())
        again = group.edit('a', make_route(), base={ROUTES: 0})
        self.assertEqual('invalid_edit', first.kind)
        self.assertEqual(first, again)

    def test_edit_id_with_other_content_is_refused(self) -> None:
        group = Group()
        group.edit('a', make_pool())
        other = group.edit('a', make_pool('other'), base={POOLS: 0})
        self.assertEqual('edit_id_conflict', other.kind)
        self.assertIsNone(group.machine.tables.get(wire.Pool, 'other'))

    def test_resend_is_known_by_its_content(self) -> None:
        group = Group()
        first = wire.Edit(
            edit_id=ids.EditId('a'),
            base={POOLS: 0},
            changes=[store.make_change(make_pool())],
            content='file 1',
        )
        accepted = group.apply(first)
        resent = msgspec.structs.replace(first, base={POOLS: 1}, changes=[])
        self.assertEqual(accepted, group.apply(resent))
        other = msgspec.structs.replace(first, content='file 2')
        self.assertEqual('edit_id_conflict', group.apply(other).kind)

    def test_results_are_bounded(self) -> None:
        group = Group(store.EditResults(limit=3))
        for number in range(5):
            group.edit(f'e{number}', make_pool(queue_limit=number))
        self.assertEqual(3, len(group.machine.results))
        self.assertIsNone(group.machine.results.find(ids.EditId('e1')))
        self.assertIsNotNone(group.machine.results.find(ids.EditId('e2')))

    def test_lines_of_refused_edits_are_bounded(self) -> None:
        group = Group(store.EditResults(max_problem_bytes=200))
        for number in range(5):
            group.edit(f'e{number}', make_route(pool='gone'))
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
                base={ROUTES: 0},
                changes=[store.make_change(make_route(pool='gone'))],
            )
        )
        group.machine.apply(data)
        copy.apply(data)
        self.assertEqual(group.machine.snapshot(), copy.snapshot())

    def test_edit_without_base_version_is_refused(self) -> None:
        result = Group().edit('a', make_pool(), base={})
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
        result = Group().edit('a', row)
        self.assertIn('maintained by the control leader', result.problems[0])

    def test_edit_without_effect_keeps_the_revision(self) -> None:
        group = Group()
        group.edit('a', make_pool())
        result = group.edit('b', make_pool())
        self.assertEqual((None, 1), (result.kind, result.revision))


class ValidationTest(unittest.TestCase):
    """Guards against tables that entries cannot follow."""

    def check(self, expected: list[str], *rows: wire.Row) -> None:
        group = Group()
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
            make_pool(latency_weight=1.5),
            make_route('a', methods=['GET', 'PUT']),
            make_route('b', methods=['PUT']),
            make_route('lost', host='x', pool='gone'),
            make_shift('s', cap_percent=101.0, to_region='ost'),
            make_shift('t', end=100.0, start=100.0, from_region='sued'),
        )

    def test_cap_must_be_above_zero_and_a_number(self) -> None:
        for cap in (0.0, -1.0, float('nan')):
            with self.subTest(cap=cap):
                shift = msgspec.structs.replace(make_shift(), cap_percent=cap)
                self.check(['shifts.s.cap_percent'], make_pool(), shift)

    def test_regions_must_be_linked_once_links_are_known(self) -> None:
        self.check(
            [
                "shifts.s.to_region: found 'nord', expected a region of "
                'the links table: ost, west',
                "drains.d.subject: found 'sued'",
                "blocks.10.0.0.0/8.region: found 'nord'",
            ],
            make_pool(),
            make_link('ost', 'west'),
            make_shift(to_region='nord'),
            make_drain(subject='sued'),
            wire.Block(name='10.0.0.0/8', region=ids.RegionName('nord')),
        )

    def test_blocks_must_be_canonical(self) -> None:
        for name in ('10.0.0.1/8', 'x', '2001:DB8::/32', '10.0.0.0'):
            with self.subTest(name=name):
                self.check(
                    ['blocks.' + name],
                    wire.Block(name=name, region=ids.RegionName('ost')),
                )

    def test_shifts_of_the_same_traffic_may_not_meet(self) -> None:
        self.check(
            ['shifts.t: overlaps with shifts.s'],
            make_pool(),
            make_shift('s'),
            make_shift('t', to_region='sued', start=150.0, end=300.0),
        )

    def test_route_deadline_is_bounded_by_its_pool(self) -> None:
        self.check(
            ['routes.r.deadline_ms: found 600, expected at most'],
            make_pool(max_deadline_ms=500),
            make_route(deadline_ms=600),
        )

    def test_row_must_match_its_table_and_key(self) -> None:
        edit = wire.Edit(
            edit_id=ids.EditId('a'),
            base={ROUTES: 0},
            changes=[
                wire.Change(ROUTES, 'x', make_pool('x')),
                wire.Change(ROUTES, 'y', make_route('z')),
                wire.Change(ROUTES, 'y', make_route('y')),
            ],
        )
        problems = Group().apply(edit).problems
        self.assertEqual(3, len(problems), problems)

    def test_removal_of_an_unknown_row_is_refused(self) -> None:
        result = Group().edit('a', removed=((DRAINS, 'd'),))
        self.assertIn('drains.d: found nothing', result.problems[0])

    def test_pool_in_use_cannot_be_removed(self) -> None:
        group = Group()
        group.edit('a', make_pool(), make_route())
        result = group.edit('b', removed=((POOLS, 'katalog'),))
        self.assertEqual('invalid_edit', result.kind)

    def test_problem_list_is_bounded(self) -> None:
        rows = [make_route(f'r{number}', pool='x') for number in range(20)]
        result = Group().edit('a', *rows)
        self.assertEqual(51, len(result.problems))
        self.assertIn('more problems', result.problems[-1])


class TransitionTest(unittest.TestCase):
    """Guards against drains and shifts that move backward."""

    def setUp(self) -> None:
        self.group = Group()
        self.group.edit('a', make_pool(), make_shift(), make_drain())

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
        self.group.edit('b', make_shift(cap_percent=20.0))
        self.assertEqual(wire.ShiftState.ACTIVE, self.shift().state)
        self.assertEqual(20.0, self.shift().percent)

    def test_step_does_not_conflict_with_edits(self) -> None:
        version = self.group.machine.version(SHIFTS)
        self.replace(self.shift(), state=wire.ShiftState.ACTIVE)
        self.assertEqual(version, self.group.machine.version(SHIFTS))

    def test_cancelled_shift_stays_cancelled(self) -> None:
        cancelled = make_shift(state='cancelled')
        self.assertIsNone(self.group.edit('b', cancelled).kind)
        self.group.edit('c', make_shift())
        self.assertEqual(wire.ShiftState.CANCELLED, self.shift().state)
        changed = self.group.edit('d', make_shift(end=300.0))
        self.assertEqual('invalid_edit', changed.kind)
        result = self.replace(self.shift(), state=wire.ShiftState.ACTIVE)
        self.assertEqual('version_conflict', result.kind)

    def test_active_drain_keeps_its_subject_and_is_not_removed(self) -> None:
        self.replace(make_drain(), state=wire.DrainState.ACTIVE)
        moved = self.group.edit('b', make_drain(subject='west'))
        removed = self.group.edit('c', removed=((DRAINS, 'd'),))
        self.assertIn('drains.d.subject', moved.problems[0])
        self.assertIn('cancelled before it is removed', removed.problems[0])

    def test_done_drain_can_be_cancelled_and_removed(self) -> None:
        self.replace(make_drain(), state=wire.DrainState.ACTIVE)
        drain = self.group.machine.tables.get(wire.Drain, 'd')
        assert drain is not None
        self.replace(drain, state=wire.DrainState.DONE)
        cancelled = self.group.edit('b', make_drain(state='cancelled'))
        removed = self.group.edit('c', removed=((DRAINS, 'd'),))
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


class TablesTest(unittest.TestCase):
    """Guards against readers that miss changes or go back."""

    def test_reader_gets_only_the_difference(self) -> None:
        group = Group()
        group.edit('a', make_pool())
        group.edit('b', make_pool('x'))
        group.edit('c', make_pool('x', queue_limit=1))
        found = group.machine.tables.changes_since(1)
        self.assertEqual((3, False), (found.revision, found.full))
        self.assertEqual(
            [make_pool('x', queue_limit=1)],
            [change.row for change in found.changes],
        )

    def test_reader_too_far_behind_gets_the_whole_state(self) -> None:
        tables = store.Tables(store.Journal(revisions=2))
        for number in range(1, 5):
            tables.apply_changes(
                number, [store.make_change(make_pool(f'p{number}'))], False
            )
        self.assertFalse(tables.changes_since(2).full)
        found = tables.changes_since(1)
        self.assertTrue(found.full)
        self.assertEqual(4, len(found.changes))

    def test_full_answer_removes_what_is_gone(self) -> None:
        reader = store.Tables()
        reader.apply_changes(1, [store.make_change(make_pool('old'))], False)
        reader.apply_changes(5, [store.make_change(make_pool('new'))], True)
        self.assertEqual(['new'], [row.name for row in reader.rows(wire.Pool)])

    def test_older_and_equal_revisions_are_ignored(self) -> None:
        reader = store.Tables()
        reader.apply_changes(5, [store.make_change(make_pool())], True)
        for revision in (4, 5):
            with self.subTest(revision=revision):
                self.assertFalse(reader.apply_changes(revision, [], True))
        self.assertIsNotNone(reader.get(wire.Pool, 'katalog'))

    def test_reader_ahead_gets_nothing(self) -> None:
        found = store.Tables().changes_since(7)
        self.assertEqual((False, []), (found.full, found.changes))

    def test_addresses_are_found_in_the_longest_block(self) -> None:
        group = Group()
        group.edit(
            'a',
            wire.Block(name='10.0.0.0/8', region=ids.RegionName('ost')),
            wire.Block(name='10.1.0.0/16', region=ids.RegionName('west')),
        )
        tables = group.machine.tables
        self.assertEqual('west', tables.find_region('10.1.2.3'))
        group.edit('b', removed=((BLOCKS, '10.1.0.0/16'),))
        self.assertEqual('ost', tables.find_region('10.1.2.3'))


class BlockImageTest(unittest.TestCase):
    """Guards against large block tables that stop the members."""

    def setUp(self) -> None:
        self.group = Group()
        self.block = wire.Block(
            name='10.0.0.0/8', region=ids.RegionName('ost')
        )

    def make_image(self, *rows: wire.Block) -> bytes:
        tables = store.Tables()
        tables.change_rows(store.make_change(row) for row in rows)
        return tables.dump_blocks()

    def edit_blocks(self, edit_id: str, image: bytes) -> wire.EditResult:
        return self.group.apply(
            wire.Edit(
                edit_id=ids.EditId(edit_id),
                base={BLOCKS: self.group.machine.version(BLOCKS)},
                changes=[],
                blocks=image,
            )
        )

    def test_image_replaces_the_table_and_reaches_readers(self) -> None:
        self.group.edit('a', make_pool())
        reader = store.Tables()
        found = self.group.machine.tables.changes_since(0)
        reader.apply_changes(found.revision, found.changes, found.full)
        result = self.edit_blocks('b', self.make_image(self.block))
        self.assertEqual((None, 2), (result.kind, result.revision))
        found = self.group.machine.tables.changes_since(reader.revision)
        self.assertTrue(found.full)
        reader.apply_changes(
            found.revision, found.changes, found.full, found.blocks
        )
        self.assertEqual('ost', reader.find_region('10.1.2.3'))
        self.assertIsNotNone(reader.get(wire.Pool, 'katalog'))
        again = self.edit_blocks('c', self.make_image(self.block))
        self.assertEqual(2, again.revision)

    def test_refused_image_leaves_the_table(self) -> None:
        self.group.edit('a', make_link('west', 'ost'), self.block)
        other = wire.Block(name='11.0.0.0/8', region=ids.RegionName('nord'))
        unknown = self.edit_blocks('b', self.make_image(other))
        self.assertIn("found region 'nord'", unknown.problems[0])
        damaged = self.edit_blocks('c', b'\x01')
        self.assertEqual('invalid_edit', damaged.kind)
        rows = list(self.group.machine.tables.rows(wire.Block))
        self.assertEqual([self.block], rows)

    def test_reader_keeps_its_rows_when_an_image_is_damaged(self) -> None:
        reader = store.Tables()
        reader.apply_changes(1, [store.make_change(make_pool())], True)
        with self.assertRaises(errors.WireError):
            reader.apply_changes(2, [], True, b'\x01')
        self.assertEqual(1, reader.revision)
        self.assertIsNotNone(reader.get(wire.Pool, 'katalog'))

    def test_edit_with_too_many_changes_is_refused(self) -> None:
        change = store.make_change(make_pool())
        result = self.group.apply(
            wire.Edit(
                edit_id=ids.EditId('a'),
                base={POOLS: 0},
                changes=[change] * (store.MAX_CHANGES + 1),
            )
        )
        self.assertIn(
            f'changes: found {store.MAX_CHANGES + 1}', result.problems[0]
        )

    def test_restore_takes_an_image(self) -> None:
        self.group.edit('a', make_pool(), self.block)
        export = wire.Export(
            revision=1,
            changes=[store.make_change(make_pool())],
            blocks=self.make_image(self.block),
        )
        self.edit_blocks('b', self.make_image())
        result = self.group.apply(
            wire.Restore(edit_id=ids.EditId('c'), export=export)
        )
        self.assertIsNone(result.kind)
        rows = list(self.group.machine.tables.rows(wire.Block))
        self.assertEqual([self.block], rows)


class SnapshotTest(unittest.TestCase):
    """Guards against state lost or reverted by snapshots and restores."""

    def test_restored_machine_continues_where_it_stopped(self) -> None:
        group = Group()
        group.edit('a', make_pool(), make_route())
        group.edit('b', make_pool('x'))
        copy = store.Machine()
        copy.restore(group.machine.snapshot())
        self.assertEqual(group.machine.snapshot(), copy.snapshot())
        data = group.log[0]
        self.assertEqual(group.machine.apply(data), copy.apply(data))
        self.assertFalse(copy.tables.changes_since(1).full)

    def test_damaged_snapshot_is_refused(self) -> None:
        with self.assertRaises(errors.DamagedDataError):
            store.Machine().restore(b'\x01')

    def test_export_restores_on_top_of_the_current_revision(self) -> None:
        group = Group()
        group.edit('a', make_pool(), make_route())
        tables = group.machine.tables
        export = wire.Export(revision=tables.revision, changes=tables.dump())
        group.edit('b', make_pool('x'), removed=((ROUTES, 'r'),))
        restore = wire.Restore(edit_id=ids.EditId('c'), export=export)
        result = group.apply(restore)
        self.assertEqual((None, 3), (result.kind, result.revision))
        self.assertEqual(export.changes, tables.dump())
        self.assertEqual(result, group.apply(restore))

    def test_restore_into_a_new_group_goes_above_the_exported_revision(
        self,
    ) -> None:
        group = Group()
        export = wire.Export(
            revision=900, changes=[store.make_change(make_pool())]
        )
        result = group.apply(
            wire.Restore(edit_id=ids.EditId('a'), export=export)
        )
        self.assertEqual((None, 901), (result.kind, result.revision))

    def test_restore_keeps_record_generations_and_running_drains(self) -> None:
        group = Group()
        group.edit('a', make_drain())
        export = wire.Export(revision=1, changes=group.machine.tables.dump())
        group.step(make_drain(state='active'))
        row = wire.RecordGroup(
            name=ids.RegionName('ost'), generation=4, primary=ids.EntryId('e')
        )
        group.step(row)
        group.apply(wire.Restore(edit_id=ids.EditId('b'), export=export))
        drain = group.machine.tables.get(wire.Drain, 'd')
        assert drain is not None
        self.assertEqual(wire.DrainState.ACTIVE, drain.state)
        self.assertEqual(
            row, group.machine.tables.get(wire.RecordGroup, 'ost')
        )


_names = strategies.sampled_from(['a', 'b', 'c'])
_rows = strategies.one_of(
    strategies.builds(make_pool, _names),
    strategies.builds(make_route, _names, pool=_names),
    strategies.builds(make_shift, _names, pool=_names),
    strategies.builds(make_drain, _names, subject=_names),
    strategies.builds(
        lambda octet, name: wire.Block(name=f'{octet}.0.0.0/8', region=name),
        strategies.integers(1, 300),
        _names,
    ),
)
_edits = strategies.builds(
    lambda number, rows, base: wire.Edit(
        edit_id=ids.EditId(f'e{number}'),
        base=dict.fromkeys(wire.TableName, base),
        changes=[store.make_change(row) for row in rows],
    ),
    strategies.integers(0, 30),
    strategies.lists(_rows, min_size=1, max_size=3),
    strategies.integers(0, 3),
)


class ReplayTest(unittest.TestCase):
    """Guards against members that differ after the same commands."""

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.lists(_edits, max_size=12), strategies.integers(0, 12)
    )
    def test_replay_and_snapshot_lead_to_the_same_state(
        self, edits: list[wire.Edit], cut: int
    ) -> None:
        group = Group()
        copy = store.Machine()
        reader = store.Tables()
        revision = 0
        for number, edit in enumerate(edits):
            if number == cut:
                copy.restore(group.machine.snapshot())
            group.apply(edit)
            if number >= cut:
                copy.apply(group.log[-1])
            self.assertGreaterEqual(group.machine.tables.revision, revision)
            revision = group.machine.tables.revision
            if number % 3 == 0:
                found = group.machine.tables.changes_since(reader.revision)
                reader.apply_changes(
                    found.revision, found.changes, found.full, found.blocks
                )
                self.assertEqual(group.machine.tables.dump(), reader.dump())
        replayed = store.Machine()
        for data in group.log:
            replayed.apply(data)
        self.assertEqual(group.machine.snapshot(), replayed.snapshot())
        if cut < len(edits):
            self.assertEqual(group.machine.snapshot(), copy.snapshot())
