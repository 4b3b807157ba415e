"""Tests of the tables of the store, their images and snapshots."""

import unittest

import hypothesis
from hypothesis import strategies

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire
from tests import store_fixtures


class TablesTest(unittest.TestCase):
    """Guards against readers that miss changes or return to old rows.

    A reader may be behind the journal, ahead of the tables, or get an
    update that is older than its rows.
    """

    def test_reader_gets_only_the_changes(self) -> None:
        group = store_fixtures.MachineHarness()
        group.edit('a', store_fixtures.make_pool())
        group.edit('b', store_fixtures.make_pool('x'))
        group.edit('c', store_fixtures.make_pool('x', queue_limit=1))
        update = group.machine.tables.changes_since(1)
        self.assertEqual((3, False), (update.revision, update.full))
        self.assertEqual(
            [store_fixtures.make_pool('x', queue_limit=1)],
            [change.row for change in update.changes],
        )

    def test_reader_too_far_behind_gets_the_whole_state(self) -> None:
        tables = store.Tables(store.ChangeJournal(max_revisions=2))
        for number in range(1, 5):
            tables.apply_changes(
                number,
                [store.make_change(store_fixtures.make_pool(f'p{number}'))],
                False,
            )
        self.assertFalse(tables.changes_since(2).full)
        update = tables.changes_since(1)
        self.assertTrue(update.full)
        self.assertEqual(4, len(update.changes))

    def test_full_update_removes_missing_rows(self) -> None:
        reader = store.Tables()
        reader.apply_changes(
            1, [store.make_change(store_fixtures.make_pool('old'))], False
        )
        reader.apply_changes(
            5, [store.make_change(store_fixtures.make_pool('new'))], True
        )
        self.assertEqual(['new'], [row.name for row in reader.rows(wire.Pool)])

    def test_older_and_equal_revisions_are_ignored(self) -> None:
        reader = store.Tables()
        reader.apply_changes(
            5, [store.make_change(store_fixtures.make_pool())], True
        )
        for revision in (4, 5):
            with self.subTest(revision=revision):
                self.assertFalse(reader.apply_changes(revision, [], True))
        self.assertIsNotNone(reader.get(wire.Pool, 'katalog'))

    def test_reader_ahead_gets_nothing(self) -> None:
        update = store.Tables().changes_since(7)
        self.assertEqual((False, []), (update.full, update.changes))

    def test_addresses_are_found_by_the_longest_prefix(self) -> None:
        group = store_fixtures.MachineHarness()
        group.edit(
            'a',
            wire.Block(name='10.0.0.0/8', region=ids.RegionName('ost')),
            wire.Block(name='10.1.0.0/16', region=ids.RegionName('west')),
        )
        tables = group.machine.tables
        self.assertEqual('west', tables.find_region('10.1.2.3'))
        group.edit('b', removed=((store_fixtures.BLOCKS, '10.1.0.0/16'),))
        self.assertEqual('ost', tables.find_region('10.1.2.3'))


class BlockImageTest(unittest.TestCase):
    """Guards against large edits of blocks that stall the members.

    The blocks table is replaced by an image at once, since single changes
    would block the event loop of every member.
    """

    def setUp(self) -> None:
        self.group = store_fixtures.MachineHarness()
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
                base={
                    store_fixtures.BLOCKS: self.group.machine.table_version(
                        store_fixtures.BLOCKS
                    )
                },
                changes=[],
                blocks=image,
            )
        )

    def test_image_replaces_the_table_and_reaches_readers(self) -> None:
        self.group.edit('a', store_fixtures.make_pool())
        reader = store.Tables()
        update = self.group.machine.tables.changes_since(0)
        reader.apply_changes(update.revision, update.changes, update.full)
        result = self.edit_blocks('b', self.make_image(self.block))
        self.assertEqual((None, 2), (result.kind, result.revision))
        update = self.group.machine.tables.changes_since(reader.revision)
        self.assertTrue(update.full)
        reader.apply_changes(
            update.revision, update.changes, update.full, update.blocks
        )
        self.assertEqual('ost', reader.find_region('10.1.2.3'))
        self.assertIsNotNone(reader.get(wire.Pool, 'katalog'))
        again = self.edit_blocks('c', self.make_image(self.block))
        self.assertEqual(2, again.revision)

    def test_refused_image_leaves_the_table_unchanged(self) -> None:
        self.group.edit(
            'a', store_fixtures.make_link('west', 'ost'), self.block
        )
        other = wire.Block(name='11.0.0.0/8', region=ids.RegionName('nord'))
        unknown = self.edit_blocks('b', self.make_image(other))
        self.assertIn("found region 'nord'", unknown.problems[0])
        damaged = self.edit_blocks('c', b'\x01')
        self.assertEqual('invalid_edit', damaged.kind)
        rows = list(self.group.machine.tables.rows(wire.Block))
        self.assertEqual([self.block], rows)

    def test_reader_keeps_its_rows_when_an_image_is_damaged(self) -> None:
        reader = store.Tables()
        reader.apply_changes(
            1, [store.make_change(store_fixtures.make_pool())], True
        )
        with self.assertRaises(errors.WireError):
            reader.apply_changes(2, [], True, b'\x01')
        self.assertEqual(1, reader.revision)
        self.assertIsNotNone(reader.get(wire.Pool, 'katalog'))

    def test_edit_with_too_many_changes_is_refused(self) -> None:
        change = store.make_change(store_fixtures.make_pool())
        result = self.group.apply(
            wire.Edit(
                edit_id=ids.EditId('a'),
                base={store_fixtures.POOLS: 0},
                changes=[change] * (store.MAX_CHANGES + 1),
            )
        )
        self.assertIn(
            f'changes: found {store.MAX_CHANGES + 1}', result.problems[0]
        )

    def test_restore_accepts_an_image(self) -> None:
        self.group.edit('a', store_fixtures.make_pool(), self.block)
        export = wire.Export(
            revision=1,
            changes=[store.make_change(store_fixtures.make_pool())],
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
    """Guards against state that a snapshot or restore loses or reverts."""

    def test_restored_machine_continues_from_the_snapshot(self) -> None:
        group = store_fixtures.MachineHarness()
        group.edit(
            'a', store_fixtures.make_pool(), store_fixtures.make_route()
        )
        group.edit('b', store_fixtures.make_pool('x'))
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
        group = store_fixtures.MachineHarness()
        group.edit(
            'a', store_fixtures.make_pool(), store_fixtures.make_route()
        )
        tables = group.machine.tables
        export = wire.Export(revision=tables.revision, changes=tables.dump())
        group.edit(
            'b',
            store_fixtures.make_pool('x'),
            removed=((store_fixtures.ROUTES, 'r'),),
        )
        restore = wire.Restore(edit_id=ids.EditId('c'), export=export)
        result = group.apply(restore)
        self.assertEqual((None, 3), (result.kind, result.revision))
        self.assertEqual(export.changes, tables.dump())
        self.assertEqual(result, group.apply(restore))

    def test_restore_into_a_new_group_goes_above_the_exported_revision(
        self,
    ) -> None:
        group = store_fixtures.MachineHarness()
        export = wire.Export(
            revision=900,
            changes=[store.make_change(store_fixtures.make_pool())],
        )
        result = group.apply(
            wire.Restore(edit_id=ids.EditId('a'), export=export)
        )
        self.assertEqual((None, 901), (result.kind, result.revision))

    def test_restore_keeps_record_generations_and_running_drains(self) -> None:
        group = store_fixtures.MachineHarness()
        group.edit('a', store_fixtures.make_drain())
        export = wire.Export(revision=1, changes=group.machine.tables.dump())
        group.step(store_fixtures.make_drain(state='active'))
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
    strategies.builds(store_fixtures.make_pool, _names),
    strategies.builds(store_fixtures.make_route, _names, pool=_names),
    strategies.builds(store_fixtures.make_shift, _names, pool=_names),
    strategies.builds(store_fixtures.make_drain, _names, subject=_names),
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
    """Guards against members that differ after the same commands.

    Members replay the log, load snapshots or read incremental updates.
    """

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.lists(_edits, max_size=12), strategies.integers(0, 12)
    )
    def test_replay_and_snapshot_lead_to_the_same_state(
        self, edits: list[wire.Edit], cut: int
    ) -> None:
        group = store_fixtures.MachineHarness()
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
                update = group.machine.tables.changes_since(reader.revision)
                reader.apply_changes(
                    update.revision, update.changes, update.full, update.blocks
                )
                self.assertEqual(group.machine.tables.dump(), reader.dump())
        replayed = store.Machine()
        for data in group.log:
            replayed.apply(data)
        self.assertEqual(group.machine.snapshot(), replayed.snapshot())
        if cut < len(edits):
            self.assertEqual(group.machine.snapshot(), copy.snapshot())
