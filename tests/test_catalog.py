"""Tests of the catalog: items, targets, incremental changes and entries."""

from typing import Any
import unittest

import msgspec

from fulmarseam import catalog
from fulmarseam import wire
from tests import catalog_fixtures as fixtures


class ItemTest(unittest.TestCase):
    """Guards against an older version of an item replacing a newer one."""

    def setUp(self) -> None:
        self.machine = catalog.Catalog()
        fixtures.put(self.machine, fixtures.make_pool('katalog', 1))

    def _find(self, name: str) -> wire.Item:
        return self.machine.items.get((wire.ItemKind.ROUTE, name))

    def test_highest_version_wins_in_any_order(self) -> None:
        fixtures.put(self.machine, fixtures.make_route('r', 9, timeout_ms=90))
        result = fixtures.put(
            self.machine, fixtures.make_route('r', 7, timeout_ms=70)
        )
        self.assertEqual(result.problems, [])
        self.assertEqual(self._find('r').version, 9)

    def test_equal_version_with_other_content_changes_nothing(self) -> None:
        fixtures.put(self.machine, fixtures.make_route('r', 7, timeout_ms=70))
        before = self.machine.revision
        fixtures.put(self.machine, fixtures.make_route('r', 7, timeout_ms=99))
        row = self._find('r').row
        assert isinstance(row, wire.RouteItem)
        self.assertEqual(row.timeout_ms, 70)
        self.assertEqual(self.machine.revision, before)

    def test_late_version_does_not_bring_back_a_dropped_item(self) -> None:
        fixtures.put(self.machine, fixtures.make_route('r', 7))
        fixtures.put(self.machine, fixtures.make_route_removal('r', 9))
        fixtures.put(self.machine, fixtures.make_route('r', 8))
        self.assertIsNone(self._find('r').row)

    def test_invalid_call_changes_nothing(self) -> None:
        result = fixtures.put(
            self.machine,
            fixtures.make_route('good', 2),
            fixtures.make_route('bad', 2, pool='nowhere'),
        )
        self.assertIn('nowhere', result.problems[0])
        names = [item.name for item in self.machine.items.list_live()]
        self.assertEqual(names, ['katalog'])

    def test_every_problem_of_a_call_is_reported(self) -> None:
        result = fixtures.put(
            self.machine,
            fixtures.make_route('a', 2, pool='nowhere'),
            fixtures.make_route('b', 2, max_attempts=0),
            fixtures.make_route('c', 2, target_latency_ms=61_000.0),
        )
        self.assertEqual(len(result.problems), 3)

    def test_accepted_call_is_acknowledged_again_after_pool_was_dropped(
        self,
    ) -> None:
        route = fixtures.make_route('r', 2)
        fixtures.put(self.machine, route, digest=b'call')
        drop = wire.Item(kind=wire.ItemKind.POOL, name='katalog', version=5)
        fixtures.put(self.machine, drop)
        again = fixtures.put(self.machine, route, digest=b'call')
        self.assertEqual(again.problems, [])
        other = fixtures.put(
            self.machine, fixtures.make_route('r', 3), digest=b'new'
        )
        self.assertNotEqual(other.problems, [])


class PoolRemovalTest(unittest.TestCase):
    """Guards against the removal of a pool that a live route names."""

    def setUp(self) -> None:
        self.machine = catalog.Catalog()
        self.route = fixtures.make_route('r', 1)
        fixtures.put(
            self.machine,
            fixtures.make_pool('katalog', 1),
            fixtures.make_pool('other', 1),
            self.route,
        )
        self.removal = fixtures.make_pool_removal('katalog', 2)

    def find(
        self, *items: wire.Item, digest: bytes = b'x', pending: Any = ()
    ) -> list[str]:
        """Return the problems of a call."""
        return self.machine.find_orphans(
            catalog.PutItems(items=list(items), digest=digest),
            [catalog.PutItems(items=[item], digest=b'p') for item in pending],
        )

    def test_the_problem_names_the_pool_and_the_route(self) -> None:
        (problem,) = self.find(self.removal)
        self.assertIn('pool katalog', problem)
        self.assertIn('route r', problem)

    def test_a_call_may_remove_the_route_too_in_any_order(self) -> None:
        drop = fixtures.make_route_removal('r', 2)
        self.assertEqual([], self.find(drop, self.removal))
        self.assertEqual([], self.find(self.removal, drop))

    def test_a_call_may_move_the_route_in_any_order(self) -> None:
        moved = fixtures.make_route('r', 2, pool='other')
        self.assertEqual([], self.find(moved, self.removal))
        self.assertEqual([], self.find(self.removal, moved))

    def test_an_old_version_of_the_route_does_not_free_the_pool(self) -> None:
        self.assertTrue(
            self.find(fixtures.make_route_removal('r', 1), self.removal)
        )

    def test_a_removal_that_is_not_newer_changes_nothing(self) -> None:
        self.assertEqual(
            [], self.find(fixtures.make_pool_removal('katalog', 1))
        )

    def test_a_resent_call_is_acknowledged_again(self) -> None:
        drop = fixtures.make_route_removal('r', 2)
        fixtures.put(self.machine, drop, self.removal, digest=b'd')
        fixtures.put(
            self.machine,
            fixtures.make_pool('katalog', 3),
            fixtures.make_route('r', 3),
        )
        self.assertEqual([], self.find(drop, self.removal, digest=b'd'))
        # Also after its digest has been dropped.
        self.assertEqual([], self.find(drop, self.removal))

    def test_a_route_put_together_with_the_removal(self) -> None:
        added = fixtures.make_route('s', 1)
        drop = fixtures.make_route_removal('r', 2)
        self.assertTrue(self.find(drop, added, self.removal))

    def test_calls_that_are_not_yet_applied_count(self) -> None:
        drop = fixtures.make_route_removal('r', 2)
        added = fixtures.make_route('s', 1)
        self.assertTrue(self.find(drop, self.removal, pending=[added]))
        # It may still be refused, so it does not free the pool.
        self.assertTrue(self.find(self.removal, pending=[drop]))


class TargetTest(unittest.TestCase):
    """Guards against late announcements that revive an ended incarnation."""

    def setUp(self) -> None:
        self.machine = catalog.Catalog()

    def _phase(self, target: str) -> wire.TargetPhase | None:
        record = self.machine.targets.get(fixtures.target_id(target))
        return record.phase if record else None

    def test_late_ready_does_not_undo_draining(self) -> None:
        fixtures.announce(self.machine, 'a', sequence=3)
        fixtures.announce(
            self.machine, 'a', sequence=5, phase=wire.TargetPhase.DRAINING
        )
        fixtures.announce(self.machine, 'a', sequence=4)
        self.assertIs(self._phase('a'), wire.TargetPhase.DRAINING)

    def test_late_announcement_does_not_revive_a_target_that_left(
        self,
    ) -> None:
        fixtures.announce(self.machine, 'a', born_ms=100, sequence=3)
        fixtures.leave(self.machine, 'a')
        fixtures.announce(self.machine, 'a', born_ms=100, sequence=9)
        self.assertIsNone(self._phase('a'))
        fixtures.announce(self.machine, 'a', born_ms=200, sequence=1)
        self.assertIs(self._phase('a'), wire.TargetPhase.READY)

    def test_new_incarnation_restarts_the_sequence(self) -> None:
        fixtures.announce(
            self.machine,
            'a',
            born_ms=100,
            sequence=50,
            phase=wire.TargetPhase.DRAINING,
        )
        fixtures.announce(self.machine, 'a', born_ms=200, sequence=1)
        self.assertIs(self._phase('a'), wire.TargetPhase.READY)

    def test_an_address_belongs_to_the_youngest_target(self) -> None:
        fixtures.announce(self.machine, 'old', born_ms=100, address='x:1')
        fixtures.announce(self.machine, 'new', born_ms=200, address='x:1')
        self.assertIsNone(self._phase('old'))
        fixtures.announce(
            self.machine, 'old', born_ms=100, sequence=9, address='x:1'
        )
        self.assertIsNone(self._phase('old'))
        self.assertIs(self._phase('new'), wire.TargetPhase.READY)

    def test_a_silent_target_that_was_dropped_may_come_back(self) -> None:
        fixtures.announce(self.machine, 'a', born_ms=100, sequence=3)
        fixtures.apply(
            self.machine,
            catalog.DropTargets(targets=[(fixtures.target_id('a'), 100)]),
        )
        self.assertIsNone(self._phase('a'))
        fixtures.announce(self.machine, 'a', born_ms=100, sequence=4)
        self.assertIs(self._phase('a'), wire.TargetPhase.READY)


class ChangesTest(unittest.TestCase):
    """Guards against mirrors that miss a change or go back to an old one."""

    def setUp(self) -> None:
        self.machine = catalog.Catalog()
        fixtures.put(self.machine, fixtures.make_pool('katalog', 1))
        fixtures.announce(self.machine, 'a')
        self.mirror = catalog.CatalogMirror()

    def _sync(self, machine: catalog.Catalog) -> int:
        """Fetch until no changes are left; return the number of answers."""
        count = 0
        while True:
            asked = self.mirror.revision
            changes = machine.list_changes(
                asked, self.mirror.removals_revision
            )
            if not self.mirror.apply(asked, changes):
                return count
            count += 1

    def test_a_mirror_is_updated_by_incremental_changes(self) -> None:
        self.assertEqual(self._sync(self.machine), 1)
        fixtures.announce(self.machine, 'b', address='x:2')
        fixtures.leave(self.machine, 'a')
        fixtures.evacuate(self.machine, 'ost-wien', True)
        changes = self.machine.list_changes(
            self.mirror.revision, self.mirror.removals_revision
        )
        self.assertFalse(changes.full)
        self.assertEqual((len(changes.items), len(changes.targets)), (0, 1))
        self.assertEqual(self._sync(self.machine), 1)
        self.assertEqual(list(self.mirror.targets), ['b'])
        self.assertEqual(self.mirror.evacuated, {'ost-wien'})

    def test_a_large_change_is_split_into_small_answers(self) -> None:
        """Guards against answers that time out and are fetched again.

        With 33 entries behind links of 2.4 Mbit/s, five members at once
        sent a configuration of many routes in one answer each, and no
        request was served any more.
        """
        routes = [
            fixtures.make_route(f'r-{number}', 1, source=b'x' * 400)
            for number in range(1_000)
        ]
        fixtures.put(self.machine, *routes, digest=b'big')
        parts = 0
        while True:
            asked = self.mirror.revision
            changes = self.machine.list_changes(
                asked, self.mirror.removals_revision
            )
            message = wire.EntryPollResponse(
                revision=changes.newest, changes=changes
            )
            self.assertLess(len(wire.encode(message)), 32 * 1024)
            self.mirror.confirm(self.machine.revision)
            self.assertEqual(self.mirror.is_complete, parts > 5)
            if not self.mirror.apply(asked, changes):
                break
            parts += 1
        self.assertEqual(parts, 6)
        self.assertEqual(len(self.mirror.routes), 1_000)

    def test_a_mirror_is_complete_at_the_revision_of_the_group(self) -> None:
        """Guards against requests by what a member that lags tells."""
        fixtures.put(self.machine, fixtures.make_route('r', 1))
        self.assertFalse(self.mirror.confirm(self.machine.revision))
        self.mirror.apply(0, self.machine.list_changes(0, -1))
        self.assertFalse(self.mirror.confirm(self.machine.revision + 1))
        self.assertTrue(self.mirror.confirm(self.machine.revision))
        self.assertTrue(self.mirror.is_complete)

    def test_changes_between_two_answers_are_not_lost(self) -> None:
        for number in range(500):
            fixtures.announce(
                self.machine, f't{number}', address=f'y:{number}'
            )
        changes = self.machine.list_changes(0, -1)
        self.mirror.apply(0, changes)
        fixtures.leave(self.machine, 't3')
        fixtures.leave(self.machine, 't450')
        fixtures.announce(self.machine, 't4', address='y:4', sequence=9)
        self._sync(self.machine)
        self.assertEqual(
            set(self.mirror.targets),
            {record.target for record in self.machine.targets.all()},
        )

    def test_an_entry_that_gets_the_full_state_keeps_serving(self) -> None:
        self._sync(self.machine)
        for number in range(2_500):
            fixtures.announce(
                self.machine, f't{number}', address=f'y:{number}'
            )
            if number:
                fixtures.leave(self.machine, f't{number}')
        fixtures.put(self.machine, fixtures.make_route('r', 1))
        for number in range(300):
            fixtures.announce(
                self.machine, f'u{number}', address=f'z:{number}'
            )
        fixtures.leave(self.machine, 'a')
        asked = self.mirror.revision
        changes = self.machine.list_changes(
            asked, self.mirror.removals_revision
        )
        self.assertTrue(changes.full)
        self.mirror.apply(asked, changes)
        self.assertIn('katalog', self.mirror.pools)
        self._sync(self.machine)
        self.assertEqual(
            set(self.mirror.targets),
            {record.target for record in self.machine.targets.all()},
        )

    def test_changes_from_a_member_that_is_behind_are_ignored(self) -> None:
        behind = catalog.Catalog()
        behind.restore(self.machine.snapshot())
        fixtures.put(self.machine, fixtures.make_route('r', 2))
        self._sync(self.machine)
        self.assertEqual(self._sync(behind), 0)
        self.assertIn('r', self.mirror.routes)

    def test_changes_for_another_revision_are_not_applied(self) -> None:
        changes = self.machine.list_changes(0, -1)
        self._sync(self.machine)
        fixtures.announce(self.machine, 'b', address='x:2')
        self.assertFalse(self.mirror.apply(0, changes))

    def test_a_snapshot_restores_the_whole_state(self) -> None:
        fixtures.put(self.machine, fixtures.make_route_removal('gone', 4))
        self._sync(self.machine)
        fixtures.leave(self.machine, 'a', born_ms=700)
        restored = catalog.Catalog()
        restored.restore(self.machine.snapshot())
        self.assertEqual(restored.snapshot(), self.machine.snapshot())
        fixtures.announce(restored, 'a', born_ms=700, sequence=99)
        self.assertEqual(restored.targets.all(), [])
        changes = restored.list_changes(
            self.mirror.revision, self.mirror.removals_revision
        )
        self.assertFalse(changes.full)
        self._sync(restored)
        self.assertEqual(self.mirror.targets, {})


class RestoredTest(unittest.TestCase):
    """Guards against a restart that brings back what had been withdrawn."""

    def test_what_left_or_was_dropped_stays_gone(self) -> None:
        machine = catalog.Catalog()
        fixtures.put(
            machine,
            fixtures.make_pool('katalog', 1),
            fixtures.make_route('r', 3),
        )
        fixtures.put(machine, fixtures.make_route_removal('r', 4))
        fixtures.announce(machine, 'a', born_ms=100, sequence=3)
        fixtures.leave(machine, 'a')
        fixtures.announce(machine, 'b', born_ms=100, sequence=3)
        fixtures.announce(
            machine,
            'b',
            born_ms=100,
            sequence=4,
            phase=wire.TargetPhase.DRAINING,
        )
        restored = catalog.Catalog()
        restored.restore(machine.snapshot())
        # Messages that were under way before the restart.
        fixtures.announce(restored, 'a', born_ms=100, sequence=9)
        fixtures.announce(restored, 'b', born_ms=100, sequence=9)
        fixtures.put(restored, fixtures.make_route('r', 3), digest=b'late')
        mirror = catalog.CatalogMirror()
        mirror.apply(0, restored.list_changes(0, -1))
        self.assertEqual({}, mirror.routes)
        self.assertEqual(['b'], list(mirror.targets))
        self.assertIs(
            wire.TargetPhase.DRAINING,
            mirror.targets[fixtures.target_id('b')].phase,
        )

    def test_a_leave_finds_the_incarnation_that_was_dropped(self) -> None:
        machine = catalog.Catalog()
        target = fixtures.target_id('a')
        fixtures.announce(machine, 'a', born_ms=100)
        fixtures.leave(machine, 'a')
        fixtures.announce(machine, 'a', born_ms=200)
        fixtures.apply(machine, catalog.DropTargets(targets=[(target, 200)]))
        fixtures.leave(machine, 'a', born_ms=100)
        restored = catalog.Catalog()
        restored.restore(machine.snapshot())
        self.assertEqual(200, restored.targets.find_incarnation(target))


class HeartbeatTrackerTest(unittest.TestCase):
    """Guards against a log entry for every announcement."""

    def test_only_changes_are_logged(self) -> None:
        tracker = catalog.HeartbeatTracker()
        record = fixtures.make_record('a', sequence=1)
        self.assertTrue(tracker.record(0.0, None, record))
        renewal = fixtures.make_record('a', sequence=2)
        self.assertFalse(tracker.record(1.5, record, renewal))
        self.assertEqual(tracker.take_renewed(), ['a'])
        self.assertEqual(tracker.take_renewed(), [])
        draining = fixtures.make_record(
            'a', sequence=3, phase=wire.TargetPhase.DRAINING
        )
        self.assertTrue(tracker.record(3.0, record, draining))

    def test_a_target_that_has_warmed_up_is_logged_once(self) -> None:
        tracker = catalog.HeartbeatTracker()
        known = fixtures.make_record('a', cold_ms=3_000.0)
        tracker.record(0.0, None, known)
        warm = fixtures.make_record('a', sequence=3, cold_ms=0.0)
        self.assertTrue(tracker.record(3.0, known, warm))
        renewal = fixtures.make_record('a', sequence=4, cold_ms=0.0)
        self.assertFalse(tracker.record(4.5, warm, renewal))

    def test_a_target_that_turned_cold_again_is_logged(self) -> None:
        tracker = catalog.HeartbeatTracker()
        known = fixtures.make_record('a', cold_ms=3_000.0)
        tracker.record(0.0, None, known)
        warming = fixtures.make_record('a', sequence=2, cold_ms=1_500.0)
        self.assertFalse(tracker.record(1.5, known, warming))
        cold = fixtures.make_record('a', sequence=3, cold_ms=3_000.0)
        self.assertTrue(tracker.record(9.0, known, cold))


class TargetLeasesTest(unittest.TestCase):
    """Guards against dropping live targets while the members are cut off."""

    def test_silent_targets_expire_after_the_lease(self) -> None:
        leases = catalog.TargetLeases(5.0)
        known = {
            fixtures.target_id(name): fixtures.make_record(name, born_ms=7)
            for name in 'abc'
        }
        self.assertEqual(leases.find_expired(0.0, known), [])
        leases.renew(4.0, [fixtures.target_id(name) for name in 'ab'])
        self.assertEqual(leases.find_expired(5.5, known), [('c', 7)])

    def test_no_target_is_expired_when_most_are_silent(self) -> None:
        leases = catalog.TargetLeases(5.0)
        known = {
            fixtures.target_id(name): fixtures.make_record(name)
            for name in 'abc'
        }
        leases.find_expired(0.0, known)
        leases.renew(4.0, [fixtures.target_id('a')])
        self.assertEqual(leases.find_expired(6.0, known), [])


class SenderCountTest(unittest.TestCase):
    """Guards against a count that a restarted or cut off member lowers.

    With too few senders each entry takes more than its share of a bound.
    """

    def setUp(self) -> None:
        self.count = catalog.SenderCount()
        self.registry = catalog.EntryRegistry()

    def poll(self, now: float, *entries: str) -> None:
        for entry in entries:
            self.registry.record_poll(
                now, fixtures.make_poll(entry, 'ost', 'ost-wien')
            )

    def record(self, now: float) -> int:
        self.count.record(
            now,
            self.registry.count_senders(now),
            self.registry.is_count_partial(now),
        )
        return self.count.senders

    def test_the_member_polled_last_does_not_decide(self) -> None:
        self.count.record(0.0, 7, False)
        self.count.record(0.1, 3, False)
        self.assertEqual(7, self.count.senders)

    def test_a_restarted_member_does_not_count_from_one(self) -> None:
        self.count.record(0.0, 7, False)
        for step in range(30):
            self.poll(0.1 + step * 0.8, 'e1')
            if step < 3:
                self.assertEqual(7, self.record(0.1 + step * 0.8))
        # By then the other six have really gone.
        self.assertEqual(1, self.record(30.0))

    # The others took their parts of a bound before they ended.
    def test_entries_that_ended_share_the_bound_for_its_window(self) -> None:
        count = catalog.SenderCount(20.0)
        count.record(0.0, 8, False)
        for now in (1.0, 10.0, 19.0):
            count.record(now, 4, False)
            self.assertEqual(8, count.senders)
        count.record(21.0, 3, False)
        self.assertEqual(4, count.senders)
        count.record(22.0, 5, False)
        self.assertEqual(5, count.senders)

    def test_a_first_start_counts_at_once(self) -> None:
        # All entries start with the members and know no count.
        self.poll(0.0, 'e1')
        self.assertEqual(1, self.record(0.0))
        self.poll(0.2, 'e2', 'e3')
        self.assertEqual(3, self.record(0.2))

    def test_a_member_that_was_paused_does_not_lower_the_count(self) -> None:
        for step in range(5):
            self.poll(float(step), 'e1', 'e2', 'e3')
        self.assertEqual(3, self.record(4.0))
        self.poll(104.0, 'e1')
        self.assertEqual(3, self.record(104.0))

    def test_a_member_that_is_gone_is_forgotten(self) -> None:
        self.count.record(0.0, 7, False)
        self.count.record(5.0, 3, False)
        self.count.record(11.0, 3, False)
        self.assertEqual(3, self.count.senders)


class EntryRegistryTest(unittest.TestCase):
    """Guards against look-ups that name dead or draining entries."""

    def setUp(self) -> None:
        self.registry = catalog.EntryRegistry()
        self.registry.record_poll(
            0.0, fixtures.make_poll('e1', 'ost', 'ost-wien')
        )
        self.registry.record_poll(
            0.0, fixtures.make_poll('e2', 'ost', 'ost-stp')
        )
        self.registry.record_poll(
            0.0, fixtures.make_poll('e3', 'west', 'west-ibk')
        )

    def _find(self, now: float, region: str) -> list[str]:
        return self.registry.find_entries(
            now, fixtures.region(region), fixtures.domain('ost-stp'), 64
        )

    def test_own_region_is_listed_with_the_own_domain_first(
        self,
    ) -> None:
        self.assertEqual(self._find(1.0, 'ost'), ['e2:1', 'e1:1'])

    def test_other_regions_are_listed_for_a_region_without_entries(
        self,
    ) -> None:
        self.assertEqual(len(self._find(1.0, 'sued')), 3)

    def test_silent_and_draining_entries_are_left_out(self) -> None:
        self.registry.record_poll(
            2.0,
            fixtures.make_poll(
                'e1', 'ost', 'ost-wien', wire.EntryState.DRAINING
            ),
        )
        self.registry.record_poll(
            2.0, fixtures.make_poll('e2', 'ost', 'ost-stp')
        )
        self.assertEqual(self._find(4.0, 'ost'), ['e2:1'])
        self.assertEqual(self._find(5.0, 'ost'), [])

    def test_a_late_poll_of_an_ended_process_is_ignored(self) -> None:
        restarted = fixtures.make_poll('e1', 'ost', 'ost-wien', incarnation=9)
        self.registry.record_poll(1.0, restarted)
        late = fixtures.make_poll(
            'e1', 'ost', 'ost-wien', wire.EntryState.DRAINING, incarnation=3
        )
        self.assertFalse(self.registry.record_poll(1.1, late))
        self.assertIn('e1:1', self._find(1.2, 'ost'))

    def test_a_process_that_restarts_with_an_earlier_clock_is_accepted(
        self,
    ) -> None:
        earlier = fixtures.make_poll('e1', 'ost', 'ost-wien', incarnation=3)
        self.assertTrue(self.registry.record_poll(3.0, earlier))
        self.assertEqual(self._find(3.1, 'ost'), ['e1:1'])

    def poll_with_uptime(
        self,
        now: float,
        incarnation: int,
        uptime_s: float,
        state: wire.EntryState = wire.EntryState.READY,
    ) -> bool:
        poll = fixtures.make_poll('e1', 'ost', 'ost-wien', state, incarnation)
        return self.registry.record_poll(
            now, msgspec.structs.replace(poll, uptime_s=uptime_s)
        )

    def test_a_restart_counts_at_once_whatever_its_clock_says(self) -> None:
        """The time of day, which numbers incarnations, went back."""
        self.poll_with_uptime(10.0, 5_000, 60.0, wire.EntryState.DRAINING)
        self.assertEqual([], self._find(10.1, 'ost'))
        self.assertTrue(self.poll_with_uptime(10.2, 3_000, 0.1))
        self.assertEqual(['e1:1'], self._find(10.3, 'ost'))

    def test_a_late_poll_is_told_by_its_uptime(self) -> None:
        """The time of day went back before the restart."""
        self.poll_with_uptime(10.0, 5_000, 60.0)
        self.poll_with_uptime(10.2, 3_000, 0.1)
        self.assertFalse(
            self.poll_with_uptime(14.0, 5_000, 60.0, wire.EntryState.DRAINING)
        )
        self.poll_with_uptime(14.1, 3_000, 4.0)
        self.assertEqual(['e1:1'], self._find(14.2, 'ost'))

    def test_a_paused_process_stays_the_same_one(self) -> None:
        """The steady clock of a suspended host does not count the pause."""
        self.poll_with_uptime(10.0, 5_000, 60.0)
        self.poll_with_uptime(20.0, 5_000, 60.4)
        self.assertTrue(self.poll_with_uptime(21.0, 4_000, 0.2))
        self.assertEqual(['e1:1'], self._find(21.1, 'ost'))

    def test_dead_entries_still_count_as_senders(self) -> None:
        self.assertEqual(self.registry.count_senders(30.0), 3)
        self.assertEqual(self.registry.count_senders(61.0), 0)
